//! Releases of calls for which nobody waits any more, which a server may not have received since its
//! connection was lost or did not exist. They are sent again on the next connection. A server ignores the
//! release of a call that it does not know.
//!
//! A release names its call and not the attempt that it ends. So it is dropped once a later attempt of the
//! same call is sent to the server: it would end that one.

use std::collections::{BTreeMap, VecDeque};

use steprelay_core::ReleaseCause;
use steprelay_decisions::{CallId, Micros};

use crate::ports::ToServer;

/// Maximum number of calls stored for one server.
const MAX_CALLS: usize = 1_024;
/// A server that sends something this long after a release was queued has read the release.
const MAX_READ_DELAY: Micros = 500_000;

/// Releases that were recently sent on one connection.
#[derive(Default)]
pub struct RecentReleases(VecDeque<(Micros, CallId, ReleaseCause)>);

impl RecentReleases {
    pub fn posted(&mut self, now: Micros, call: CallId, cause: ReleaseCause) {
        if self.0.len() >= MAX_CALLS {
            self.0.pop_front();
        }
        self.0.push_back((now, call, cause));
    }

    /// Drops the release of an earlier attempt of this call.
    pub fn forget(&mut self, call: CallId) {
        self.0.retain(|(_, of, _)| *of != call);
    }

    /// The server has sent something on the connection.
    pub fn received(&mut self, now: Micros) {
        while self.0.front().is_some_and(|(at, ..)| *at + MAX_READ_DELAY <= now) {
            self.0.pop_front();
        }
    }
}

/// Calls whose release is sent to one server on its next connection.
#[derive(Default)]
pub struct PendingReleases(BTreeMap<CallId, ReleaseCause>);

impl PendingReleases {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn release(&mut self, call: CallId, cause: ReleaseCause) {
        if self.0.len() < MAX_CALLS {
            self.0.insert(call, cause);
        }
    }

    /// Drops the release of an earlier attempt of this call.
    pub fn forget(&mut self, call: CallId) {
        self.0.remove(&call);
    }

    /// Adds what was lost with a connection: attempts that may have reached the server, and releases that it
    /// may not have read.
    pub fn connection_ended(&mut self, attempts: &[CallId], releases: RecentReleases) {
        for call in attempts {
            self.release(*call, ReleaseCause::NORMAL);
        }
        for (_, call, cause) in releases.0 {
            self.release(call, cause);
        }
    }

    /// Takes all releases, except for calls of which another attempt is in progress by now.
    pub fn take(&mut self, is_pending: impl Fn(CallId) -> bool) -> Vec<ToServer> {
        let all = std::mem::take(&mut self.0).into_iter().filter(|(call, _)| !is_pending(*call));
        all.map(|(call, cause)| ToServer::Release(call, cause)).collect()
    }
}
