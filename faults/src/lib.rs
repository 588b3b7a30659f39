//! A fault-injecting proxy between sockets: a plan and a seed decide what happens to each message.
//!
//! [`relay`] and [`mesh`] apply the decisions to sockets; all other modules are pure: they do no I/O and
//! read no clock. A [`plan::Plan`] contains the rules; [`frames::Frames`] splits a stream into messages,
//! however its bytes arrive; [`decide::Decider`] decides what happens to a message. A decision depends on the
//! seed, the link, the connection, the direction, the message's index and its content, and on nothing else:
//! neither on time nor on the order in which connections are opened. Two runs with the same traffic decide
//! the same.
//!
//! ```
//! use steprelay_faults::decide::{Decider, Direction};
//! use steprelay_faults::plan::{Action, Match, Plan, Rule};
//!
//! let matches = Match { index: Some(2), ..Match::default() };
//! let drop_third = Rule { matches, ..Rule::new(Action::Drop) };
//! let decider = Decider::new(Plan { seed: 7, rules: vec![drop_third], ..Plan::default() });
//! let direction = Direction { link: 0, connection: 0, to_upstream: true };
//! assert_eq!(decider.decide(direction, 2, b"{}\n").action, Action::Drop);
//! assert_eq!(decider.decide(direction, 3, b"{}\n").action, Action::Pass);
//! ```

mod datagrams;
pub mod decide;
pub mod frames;
pub mod matching;
pub mod mesh;
pub mod plan;
pub mod relay;
