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
    Cancel(CallId),
    Release(CallId, #[allow(dead_code)] ReleaseCause),
    ConfirmRelease(CallId),
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
    pub enum ReplicationNote {
        State(CallId, Option<CallState>),
        FullUpdate(Vec<(CallId, CallState)>),
        ReleaseAnnounced(CallId),
        Acknowledged(CallId),
        Delivered(CallId),
        BarrierConfirmed(PeerRequest),
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

    /// Until when what is promised here is nobody else's, in milliseconds of the world's clock.
    #[derive(Debug)]
    pub struct Lease {
        clock: Clock,
        until: AtomicU64,
        ownership_losses: AtomicU64,
    }

    impl Lease {
        pub fn new(clock: Clock) -> Self {
            Lease { clock, until: AtomicU64::new(0), ownership_losses: AtomicU64::new(0) }
        }

        pub fn set(&self, until: u64, ownership_losses: u64) {
            self.ownership_losses.store(ownership_losses, Ordering::Relaxed);
            self.until.store(until, Ordering::Relaxed);
        }

        fn now_ms(&self) -> u64 {
            (self.clock.now() / 1_000) as u64
        }

        pub fn holds(&self, ownership_losses: u64) -> bool {
            let until = self.until.load(Ordering::Relaxed);
            let heard = self.ownership_losses.load(Ordering::Relaxed) == ownership_losses;
            until == 0 || heard && self.now_ms() < until
        }

        pub fn left(&self) -> Option<i64> {
            let until = self.until.load(Ordering::Relaxed);
            (until > 0).then(|| until as i64 - self.now_ms() as i64)
        }
    }
}
