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
//! use steprelay_fleet::work::{step, Event, State};
//!
//! let granted = step(State::Requested, false, Event::Grant).unwrap();
//! assert_eq!(granted, State::Granted);
//! assert!(step(granted, false, Event::Drained).is_err(), "nobody is out without having begun");
//! ```

pub mod agreed;
pub mod council;
pub mod node;
pub mod order;
pub mod swim;
pub mod words;
pub mod work;

/// Milliseconds of a monotonic clock, from any start.
pub type Millis = u64;
