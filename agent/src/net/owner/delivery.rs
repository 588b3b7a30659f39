//! Delivery of releases: a release that waits in the send queue of a caller's connection can be withdrawn
//! until its first byte is written.

use std::collections::BTreeMap;

use steprelay_core::{ClientId, ReleaseCause};
use steprelay_decisions::{CallId, Micros};

use super::Owner;
use crate::ports::conn::Outbox;
use crate::ports::dispatch::Dispatch;
use crate::ports::ToClient;

/// Releases that are not known to be written completely.
#[derive(Default)]
pub(super) struct UnsentReleases(BTreeMap<(ClientId, CallId), Dispatch>);

impl UnsentReleases {
    /// Removes the releases of a connection that is closed.
    pub fn remove_client(&mut self, client: ClientId) {
        if !self.0.is_empty() {
            self.0.retain(|(of, _), _| *of != client);
        }
    }
}

impl Owner {
    /// Queues a release on a caller's connection.
    pub(super) fn deliver_release(&mut self, client: ClientId, call: CallId, cause: ReleaseCause) {
        let dispatch = Dispatch::default();
        if !client.is_circuit_bound() && self.clients.contains_key(&client) {
            self.unsent.0.insert((client, call), dispatch.clone());
        }
        self.send_or_cut(client, ToClient::Released { call, cause, dispatch });
    }

    pub(super) fn release_sent(&mut self, at: Micros, client: ClientId, call: CallId) {
        self.unsent.0.remove(&(client, call));
        self.core.release_sent(at, client, call);
    }

    /// Whether a connection accepts no more data for now.
    pub(super) fn is_blocked(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(Outbox::is_blocked)
    }

    /// Withdraws a release from a blocked connection.
    pub(super) fn withdraw_release(&mut self, now: Micros, client: ClientId, call: CallId) {
        match self.unsent.0.remove(&(client, call)) {
            Some(dispatch) if !dispatch.has_begun() && dispatch.cancel() => {
                self.core.release_withdrawn(now, client, call)
            }
            _ => self.core.release_sent(now, client, call),
        }
    }
}
