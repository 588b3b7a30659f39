//! The messages from the owner of the core to the replication thread, and the lease that both use.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use steprelay_copies::member::PeerRequest;
use steprelay_copies::{Call, CallRecord};
use steprelay_core::{CallState, ReleaseCause};
use steprelay_decisions::{CallId, ServerId};

/// A message of the owner of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationNote {
    /// The state of a call has changed; `None`: the call is over.
    State(CallId, Option<CallState>),
    /// Earlier notes were lost: the states of all calls.
    FullUpdate(Vec<(CallId, CallState)>),
    /// A release of an unknown call was received.
    ReleaseAnnounced(CallId),
    /// The caller has acknowledged the release; sent before the change of state that follows.
    Acknowledged(CallId),
    /// The caller of a call that another member is about to handle was told here that it is over.
    Delivered(CallId),
    /// The events before another member's barrier were carried out.
    BarrierConfirmed(PeerRequest),
    /// Calls that were taken over by a successor, and whose callers were told nothing: they are to be told
    /// here that their call failed, unless the successor has ended it.
    Relinquished(Vec<CallId>),
}

pub fn call_record(state: CallState) -> CallRecord {
    match state {
        CallState::AttemptPending(server) => CallRecord::AttemptPending { server: server.0 },
        CallState::Established(server) => CallRecord::Established { server: server.0 },
        CallState::ReleasePending(server, cause) => {
            CallRecord::ReleasePending { server: server.0, cause: cause.0 }
        }
    }
}

pub fn call_state(record: CallRecord) -> CallState {
    match record {
        CallRecord::AttemptPending { server } => CallState::AttemptPending(ServerId(server)),
        CallRecord::Established { server } => CallState::Established(ServerId(server)),
        CallRecord::ReleasePending { server, cause } => {
            CallState::ReleasePending(ServerId(server), ReleaseCause(cause))
        }
    }
}

pub fn call_id(call: Call) -> CallId {
    CallId(call)
}

/// The time until which no other member can own the calls of this one, in milliseconds since `started`:
/// written by the cluster thread, checked before each message that depends on it.
#[derive(Debug)]
pub struct Lease {
    started: Instant,
    until: AtomicU64,
    ownership_losses: AtomicU64,
}

impl Lease {
    pub fn new(started: Instant) -> Self {
        Lease { started, until: AtomicU64::new(0), ownership_losses: AtomicU64::new(0) }
    }

    /// `ownership_losses`: how often calls were lost to a successor before this lease began.
    pub fn set(&self, until: u64, ownership_losses: u64) {
        self.ownership_losses.store(ownership_losses, Ordering::Release);
        self.until.store(until, Ordering::Release);
    }

    /// Whether the lease holds for a reader that knows of this number of losses. A lease that never began
    /// holds: no other member knows of any call yet.
    pub fn holds(&self, ownership_losses: u64) -> bool {
        let until = self.until.load(Ordering::Acquire);
        let is_current = self.ownership_losses.load(Ordering::Acquire) == ownership_losses;
        until == 0 || is_current && (self.started.elapsed().as_millis() as u64) < until
    }

    /// Milliseconds until the lease expires, negative after that; `None` before the first lease.
    pub fn left(&self) -> Option<i64> {
        let until = self.until.load(Ordering::Acquire);
        (until > 0).then(|| until as i64 - self.started.elapsed().as_millis() as i64)
    }
}
