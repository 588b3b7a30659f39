//! M3UA-style signalling (RFC 4666) over a stream, and the part of ISUP (Q.763, Q.764) that calls need.
//!
//! The crate performs no I/O, reads no clock and spawns no task. Each engine is a state machine: it takes an
//! event and the current time (`handle(now, event)`), returns the resulting effects (`take_effects`) and the
//! time of its next timer (`next_timeout`). The modules, from the wire upwards:
//!
//! - [`m3ua`]: the codec; [`m3ua::gateway`], a signalling gateway towards the ASPs of clients;
//!   [`m3ua::asp`], an ASP of a server's gateway; and the state tables in [`m3ua::states`];
//! - [`isup`]: the codec of call and circuit messages;
//! - [`circuits`]: the circuits of one peer, with every event in every state and the timers of Q.764;
//! - [`office`]: the gateway, the ASPs and the circuits of all peers behind one interface for call control;
//! - [`cause`]: the meaning of release causes;
//! - [`wheel`] and [`trie`]: the timer wheel and the analysis of called numbers;
//! - [`conformance`]: the conformance test cases for the gateway, the ASP and the circuits.
//!
//! ```
//! use steprelay_signalling::isup::{Body, Message};
//!
//! let release = Message { circuit: 5, body: Body::ResetCircuit };
//! let bytes = release.to_bytes();
//! assert_eq!(bytes, [5, 0, 0x12]);
//! assert_eq!(Message::read(&bytes), Ok(release));
//! ```

pub mod cause;
pub mod circuits;
pub mod conformance;
pub mod isup;
pub mod m3ua;
pub mod office;
pub mod trie;
pub mod wheel;

/// Microseconds, either a duration or a time since the Unix epoch.
pub type Micros = i64;

/// A circuit identification code (Q.763 1.2), 0 to 4095, unique for a pair of point codes.
pub type Circuit = u16;

/// The highest circuit identification code.
pub const HIGHEST_CIRCUIT: Circuit = 0x0fff;
