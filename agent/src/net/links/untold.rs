//! What a server has to be told and may not have heard, since its connection ended or none was there: calls
//! that nobody waits for any more. It is said again on the next connection. A server that knows no such call
//! passes over it.

use std::collections::{BTreeMap, VecDeque};

use steprelay_core::ReleaseCause;
use steprelay_decisions::{CallId, Micros};

use crate::ports::ToServer;

/// More calls are not kept for one server.
const MAX_CALLS: usize = 1_024;
/// A server that says something so long after a release has read it.
const READ_WITHIN: Micros = 500_000;

/// Releases that lately went out on one connection.
#[derive(Default)]
pub struct RecentReleases(VecDeque<(Micros, CallId, ReleaseCause)>);

impl RecentReleases {
    pub fn posted(&mut self, now: Micros, call: CallId, cause: ReleaseCause) {
        if self.0.len() >= MAX_CALLS {
            self.0.pop_front();
        }
        self.0.push_back((now, call, cause));
    }

    /// The server has said something on the connection.
    pub fn heard(&mut self, now: Micros) {
        while self.0.front().is_some_and(|(at, ..)| *at + READ_WITHIN <= now) {
            self.0.pop_front();
        }
    }
}

/// Calls of which one server is told on its next connection.
#[derive(Default)]
pub struct Untold(BTreeMap<CallId, ReleaseCause>);

impl Untold {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn release(&mut self, call: CallId, cause: ReleaseCause) {
        if self.0.len() < MAX_CALLS {
            self.0.insert(call, cause);
        }
    }

    /// What went with a connection: set-ups that may have run, and releases that may not have been read.
    pub fn connection_ended(&mut self, out: &[CallId], releases: RecentReleases) {
        for call in out {
            self.release(*call, ReleaseCause::NORMAL);
        }
        for (_, call, cause) in releases.0 {
            self.release(call, cause);
        }
    }

    /// Takes all, but for calls of which another attempt is on its way by now.
    pub fn take(&mut self, is_out: impl Fn(CallId) -> bool) -> Vec<ToServer> {
        let all = std::mem::take(&mut self.0).into_iter().filter(|(call, _)| !is_out(*call));
        all.map(|(call, cause)| ToServer::Release(call, cause)).collect()
    }
}
