//! Faults between two sockets: what happens to each message, decided by a plan and a seed.
//!
//! [`relay`] carries it out; all else is pure: it does no I/O and reads no clock. A [`plan::Plan`] says which
//! rules there are; [`frames::Frames`] cuts a stream into messages, whatever way its bytes come;
//! [`decide::Decider`] says what becomes of a message. A decision depends on the seed, the connection's tag,
//! the direction, the message's place and what it says, and on nothing else: not on time, nor on the order in
//! which connections come. So two runs on the same traffic decide the same.
//!
//! ```
//! use steprelay_faults::decide::{Decider, Way};
//! use steprelay_faults::plan::{Action, Match, Plan, Rule};
//!
//! let matches = Match { index: Some(2), ..Match::default() };
//! let drop_third = Rule { matches, ..Rule::new(Action::Drop) };
//! let decider = Decider::new(Plan { seed: 7, rules: vec![drop_third], ..Plan::default() });
//! let way = Way { link: 0, connection: 0, to_upstream: true };
//! assert_eq!(decider.decide(way, 2, b"{}\n").action, Action::Drop);
//! assert_eq!(decider.decide(way, 3, b"{}\n").action, Action::Pass);
//! ```

mod datagrams;
pub mod decide;
pub mod facts;
pub mod frames;
pub mod mesh;
pub mod plan;
pub mod relay;
