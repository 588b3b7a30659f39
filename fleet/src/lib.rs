//! Cluster of call agents: membership, consensus group, planned maintenance and ownership of replication
//! streams.
//!
//! The crate does no I/O and reads no clock: time is an argument, and everything to write, send or do is
//! returned as [`node::Effect`]s, in the order in which it must happen.
//!
//! It keeps three kinds of knowledge apart:
//!
//! - local: what this call agent does and holds itself (its own [`messages::Status`]);
//! - reported: who is alive ([`swim`], on a SWIM library) and the status of the other members, each with an
//!   age;
//! - agreed: the log of the consensus group ([`consensus`], on a Raft library) and the state that it
//!   determines ([`cluster_state`]).
//!
//! Maintenance requests ([`maintenance`]) are part of the agreed state; the order of their approvals
//! ([`scheduler`]) depends on reported knowledge. A machine leaves only by an agreed approval, which it
//! confirms through the log at the moment of leaving ([`node`]).
//!
//! ```
//! use steprelay_fleet::maintenance::{transition, Event, State};
//!
//! let approved = transition(State::Requested, false, Event::Approve).unwrap();
//! assert_eq!(approved, State::Approved);
//! assert!(transition(approved, false, Event::Drained).is_err(), "the machine has not begun to drain");
//! ```

pub mod cluster_state;
pub mod consensus;
pub mod maintenance;
pub mod messages;
pub mod node;
pub mod scheduler;
pub mod swim;

/// Milliseconds of a monotonic clock with an arbitrary origin.
pub type Millis = u64;
