//! What the agent's own replication code asks of its surroundings, in virtual time: the note of a promise,
//! the lease, connections to servers. The forms are those of `agent/src/ports`.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;

use steprelay_core::{ReleaseCause, SetUp};
use steprelay_decisions::{CallId, Micros, ServerId};

/// One connection to a server; its epoch is the number of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkId {
    pub server: ServerId,
    pub epoch: u64,
}

/// What a member says to a server.
#[derive(Clone, Debug)]
pub enum ToServer {
    SetUp(SetUp),
    GiveUp(CallId),
    Release(CallId, #[allow(dead_code)] ReleaseCause),
    Heard(CallId),
}

/// The time of the world, shared by all that is in it.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<AtomicI64>);

impl Clock {
    pub fn now(&self) -> Micros {
        self.0.load(Ordering::Relaxed)
    }

    pub fn set(&self, now: Micros) {
        self.0.store(now, Ordering::Relaxed);
    }
}

pub mod copies {
    use std::sync::atomic::{AtomicU64, Ordering};

    use steprelay_copies::member::PeerRequest;
    use steprelay_copies::{Call, CallRecord};
    use steprelay_core::{CallState, ReleaseCause};
    use steprelay_decisions::{CallId, ServerId};

    use super::Clock;

    /// Of the owner of the core.
    #[derive(Clone, Debug, PartialEq)]
    pub enum Note {
        Promise(CallId, Option<CallState>),
        All(Vec<(CallId, CallState)>),
        PassedOn(CallId),
        Acknowledged(CallId),
        Given(CallId),
        Confirmed(PeerRequest),
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

    /// Until when what is promised here is nobody else's, in milliseconds of the world's clock.
    #[derive(Debug)]
    pub struct Lease {
        clock: Clock,
        until: AtomicU64,
        renounced: AtomicU64,
    }

    impl Lease {
        pub fn new(clock: Clock) -> Self {
            Lease { clock, until: AtomicU64::new(0), renounced: AtomicU64::new(0) }
        }

        pub fn set(&self, until: u64, renounced: u64) {
            self.renounced.store(renounced, Ordering::Relaxed);
            self.until.store(until, Ordering::Relaxed);
        }

        fn now_ms(&self) -> u64 {
            (self.clock.now() / 1_000) as u64
        }

        pub fn holds(&self, renounced: u64) -> bool {
            let until = self.until.load(Ordering::Relaxed);
            let heard = self.renounced.load(Ordering::Relaxed) == renounced;
            until == 0 || heard && self.now_ms() < until
        }

        pub fn left(&self) -> Option<i64> {
            let until = self.until.load(Ordering::Relaxed);
            (until > 0).then(|| until as i64 - self.now_ms() as i64)
        }
    }
}
