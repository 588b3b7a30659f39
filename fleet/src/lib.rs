//! A fleet of call agents that know of each other. No I/O, no clock, no wire: time comes in as an argument,
//! and what is to be written, sent or done goes out as [`node::Effect`]s, in the order in which it must
//! happen.
//!
//! Three kinds of knowledge are kept apart:
//!
//! - *seen*: what this call agent itself does and holds ([`words::Status`] of its own);
//! - *told*: who is alive ([`swim`], over a SWIM library) and how the others are (their statuses, with an
//!   age);
//! - *agreed*: the council's log ([`council`], over a raft library) and what follows from it ([`agreed`]).
//!
//! Work on machines ([`work`]) is agreed; in which order it is granted ([`order`]) follows from what is told.
//! A machine leaves only by what is agreed, asked for afresh at the moment of leaving ([`node`]).
//!
//! ```
//! use steprelay_fleet::work::{transition, Event, State};
//!
//! let approved = transition(State::Requested, false, Event::Approve).unwrap();
//! assert_eq!(approved, State::Approved);
//! assert!(transition(approved, false, Event::Drained).is_err(), "only a draining machine reports this");
//! ```

pub mod cluster_state;
pub mod consensus;
pub mod maintenance;
pub mod messages;
pub mod node;
pub mod scheduler;
pub mod swim;

/// Milliseconds of a monotonic clock, from any start.
pub type Millis = u64;
