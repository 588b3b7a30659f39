//! Replication of call state between call agents. The crate does no I/O and reads no clock: callers pass in
//! the time as an argument, and send the [`messages::Message`]s that come out.
//!
//! - A process is the [`primary::Primary`] of a *replication stream*: the numbered changes of the state of
//!   its calls, namely pending attempts, established calls and pending releases.
//! - Other members hold replicas of the stream ([`holder::ReplicaHolder`]). Each replica is a prefix of the
//!   stream, so a longer replica contains all that a shorter one does. [`placement`] chooses the holders.
//! - When the process is lost, exactly one successor reads the replicas ([`failover::Failover`]) and
//!   continues the stream under a higher *epoch*. The epoch is the fencing token by which holders reject the
//!   previous primary.
//!
//! [`member::Member`] combines these parts. The consensus group chooses the successor and its epoch; this
//! crate takes both as given.
//!
//! ```
//! use steprelay_copies::holder::ReplicaHolder;
//! use steprelay_copies::primary::{ReplicationPolicy, Primary};
//! use steprelay_copies::{CallRecord, StreamId};
//!
//! let mut primary = Primary::new(StreamId(7), ReplicationPolicy { replicas: 1, required_acks: 1 });
//! let mut holder = ReplicaHolder::default();
//! primary.set_holders(0, &[("n2".into(), 1)]);
//! let sequence = primary.record_change(99, Some(CallRecord::Established { server: 4 }));
//! for (to, message) in primary.poll(0) {
//!     let answer = holder.handle_message(0, "n1", 5, message).expect("an answer");
//!     primary.handle_message(0, &to, 1, answer);
//! }
//! assert_eq!(primary.committed(), sequence);
//! assert_eq!(holder.replica(StreamId(7)).unwrap().records()[&99], CallRecord::Established { server: 4 });
//! ```

pub mod failover;
pub mod holder;
pub mod member;
pub mod messages;
pub mod placement;
pub mod primary;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Milliseconds of a monotonic clock with an arbitrary origin.
pub type Millis = u64;
/// A call's number, as callers and servers use it.
pub type Call = u64;

/// Identifies a replication stream. The process that starts the stream draws the ID at its start;
/// successors keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// State of a call that has to survive the loss of the member that owns it.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRecord {
    /// An attempt is pending at a server and the caller has received no answer. A successor cancels the
    /// attempt.
    AttemptPending { server: u32 },
    /// The caller was told that the call is established. The caller waits for the release.
    Established { server: u32 },
    /// The server has released the call and the caller has not acknowledged the release.
    ReleasePending { server: u32, cause: u8 },
}

/// Call traces print records, so `Debug` keeps the names that their readers know.
impl fmt::Debug for CallRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallRecord::AttemptPending { server } => {
                formatter.debug_struct("Out").field("server", server).finish()
            }
            CallRecord::Established { server } => {
                formatter.debug_struct("Stands").field("server", server).finish()
            }
            CallRecord::ReleasePending { server, cause } => {
                formatter.debug_struct("Owed").field("server", server).field("cause", cause).finish()
            }
        }
    }
}

/// A change of one call's record; `None` removes the record.
pub type Change = (Call, Option<CallRecord>);
