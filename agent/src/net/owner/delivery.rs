//! The owner's part in the delivery of releases: what waits in the send queues of callers' connections can be
//! taken back until its first byte leaves.

use std::collections::BTreeMap;

use steprelay_core::{ClientId, ReleaseCause};
use steprelay_decisions::{CallId, Micros};

use super::Owner;
use crate::ports::conn::Outbox;
use crate::ports::dispatch::Dispatch;
use crate::ports::ToClient;

/// Releases that have not left whole, as far as is known.
#[derive(Default)]
pub(super) struct UnsentReleases(BTreeMap<(ClientId, CallId), Dispatch>);

impl UnsentReleases {
    /// Of a connection that is gone.
    pub fn forget(&mut self, client: ClientId) {
        if !self.0.is_empty() {
            self.0.retain(|(of, _), _| *of != client);
        }
    }
}

impl Owner {
    /// Gives a release to a caller's connection.
    pub(super) fn give_release(&mut self, client: ClientId, call: CallId, cause: ReleaseCause) {
        let dispatch = Dispatch::default();
        if !client.is_circuit_bound() && self.clients.contains_key(&client) {
            self.unsent.0.insert((client, call), dispatch.clone());
        }
        self.tell(client, ToClient::Released { call, cause, dispatch });
    }

    pub(super) fn release_sent(&mut self, at: Micros, client: ClientId, call: CallId) {
        self.unsent.0.remove(&(client, call));
        self.core.release_sent(at, client, call);
    }

    /// Whether a connection takes nothing more for now.
    pub(super) fn is_blocked(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(Outbox::is_blocked)
    }

    /// Takes a release back from a connection that takes nothing.
    pub(super) fn withdraw_release(&mut self, now: Micros, client: ClientId, call: CallId) {
        match self.unsent.0.remove(&(client, call)) {
            Some(dispatch) if !dispatch.has_begun() && dispatch.cancel() => {
                self.core.release_withdrawn(now, client, call)
            }
            _ => self.core.release_sent(now, client, call),
        }
    }
}
