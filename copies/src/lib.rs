//! What a call agent holds for others, copied to other members of its fleet. No I/O, no clock, no wire: time
//! comes in as an argument, and what is to be said goes out as [`messages::Message`]s.
//!
//! - A process writes a *stream* of numbered changes of what it has promised ([`primary::Primary`]): attempts
//!   that are out, calls that stand, releases that are owed.
//! - Others hold it ([`holder::ReplicaHolder`]), each a prefix of it, so that whoever holds more knows all that any
//!   other knows. [`placement`] says who.
//! - When the process is lost, exactly one successor reads what the holders have ([`failover::Failover`]) and
//!   writes the stream on under a higher *epoch*, which holders know and by which they refuse the one before.
//!
//! [`member::Member`] is all of that together. Who succeeds whom is agreed elsewhere; here the epoch is
//! taken as given.
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

/// Milliseconds of a monotonic clock, from any start.
pub type Millis = u64;
/// A call's number, as callers and servers know it.
pub type Call = u64;

/// Names a stream: drawn at the start of the process that began it, and kept by its successors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// What is promised of a call.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRecord {
    /// An attempt is out at a server; nobody was told anything yet. Whoever succeeds ends it there.
    AttemptPending { server: u32 },
    /// Its caller was told that it stands, and waits for its release.
    Established { server: u32 },
    /// The server has released it, and its caller has not confirmed that.
    ReleasePending { server: u32, cause: u8 },
}

/// Traces of calls and dumps of state show records under their established names.
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

/// `None`: nothing is promised of the call any more.
pub type Change = (Call, Option<CallRecord>);
