//! What the owner of the core and whoever keeps copies of its promises say to each other, and the lease that
//! both look at.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use steprelay_copies::member::PeerRequest;
use steprelay_copies::{Call, CallRecord};
use steprelay_core::{CallState, ReleaseCause};
use steprelay_decisions::{CallId, ServerId};

/// Of the owner of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A promise has changed; `None`: nothing is promised of the call any more.
    Promise(CallId, Option<CallState>),
    /// Some were lost on the way: all that is promised now.
    All(Vec<(CallId, CallState)>),
    /// A release of a call that was not known here was given.
    PassedOn(CallId),
    /// The caller of a call has acknowledged its release; ahead of the promise that ends with that.
    Acknowledged(CallId),
    /// The caller of a call that another member is about to see to was told here that it is over.
    Given(CallId),
    /// What preceded another member's question was carried out.
    Confirmed(PeerRequest),
    /// Of calls that were given up to a successor: their callers were told nothing, and are to be told here
    /// that they failed, unless the successor has ended them.
    Relinquished(Vec<CallId>),
}

pub fn record(promise: CallState) -> CallRecord {
    match promise {
        CallState::AttemptPending(server) => CallRecord::AttemptPending { server: server.0 },
        CallState::Established(server) => CallRecord::Established { server: server.0 },
        CallState::ReleasePending(server, cause) => {
            CallRecord::ReleasePending { server: server.0, cause: cause.0 }
        }
    }
}

pub fn promise(record: CallRecord) -> CallState {
    match record {
        CallRecord::AttemptPending { server } => CallState::AttemptPending(ServerId(server)),
        CallRecord::Established { server } => CallState::Established(ServerId(server)),
        CallRecord::ReleasePending { server, cause } => {
            CallState::ReleasePending(ServerId(server), ReleaseCause(cause))
        }
    }
}

pub fn call(call: Call) -> CallId {
    CallId(call)
}

/// Until when what is promised here is nobody else's, in milliseconds since `started`: written by the fleet's
/// thread, looked at before each word that depends on it.
#[derive(Debug)]
pub struct Lease {
    started: Instant,
    until: AtomicU64,
    renounced: AtomicU64,
}

impl Lease {
    pub fn new(started: Instant) -> Self {
        Lease { started, until: AtomicU64::new(0), renounced: AtomicU64::new(0) }
    }

    /// `renounced`: how often something was given up before this lease began.
    pub fn set(&self, until: u64, renounced: u64) {
        self.renounced.store(renounced, Ordering::Release);
        self.until.store(until, Ordering::Release);
    }

    /// Whether it holds for one who has heard so often that something was given up. One that never began
    /// holds: nobody else knows of anything yet.
    pub fn holds(&self, renounced: u64) -> bool {
        let until = self.until.load(Ordering::Acquire);
        let heard = self.renounced.load(Ordering::Acquire) == renounced;
        until == 0 || heard && (self.started.elapsed().as_millis() as u64) < until
    }

    /// Milliseconds until it ends, negative after that; `None` before the first one.
    pub fn left(&self) -> Option<i64> {
        let until = self.until.load(Ordering::Acquire);
        (until > 0).then(|| until as i64 - self.started.elapsed().as_millis() as i64)
    }
}
