//! What a call agent holds for others, copied to other members of its fleet. No I/O, no clock, no wire: time
//! comes in as an argument, and what is to be said goes out as [`words::Word`]s.
//!
//! - A process writes a *stream* of numbered changes of what it has promised ([`writer::Writer`]): attempts
//!   that are out, calls that stand, releases that are owed.
//! - Others hold it ([`holder::Holder`]), each a prefix of it, so that whoever holds more knows all that any
//!   other knows. [`placement`] says who.
//! - When the process is lost, exactly one successor reads what the holders have ([`takeover::Takeover`]) and
//!   writes the stream on under a higher *epoch*, which holders know and by which they refuse the one before.
//!
//! [`member::Member`] is all of that together. Who succeeds whom is agreed elsewhere; here the epoch is
//! taken as given.
//!
//! ```
//! use steprelay_copies::holder::Holder;
//! use steprelay_copies::writer::{Limits, Writer};
//! use steprelay_copies::{Record, StreamId};
//!
//! let mut writer = Writer::new(StreamId(7), Limits { copies: 1, needed: 1 });
//! let mut holder = Holder::default();
//! writer.place(0, &[("n2".into(), 1)]);
//! let number = writer.note(99, Some(Record::Stands { server: 4 }));
//! for (to, word) in writer.poll(0) {
//!     let answer = holder.received(0, "n1", 5, word).expect("an answer");
//!     writer.received(0, &to, 1, answer);
//! }
//! assert_eq!(writer.covered(), number);
//! assert_eq!(holder.copy(StreamId(7)).unwrap().records()[&99], Record::Stands { server: 4 });
//! ```

pub mod holder;
pub mod member;
pub mod placement;
pub mod takeover;
pub mod words;
pub mod writer;

use serde::{Deserialize, Serialize};

/// Milliseconds of a monotonic clock, from any start.
pub type Millis = u64;
/// A call's number, as callers and servers know it.
pub type Call = u64;

/// Names a stream: drawn at the start of the process that began it, and kept by its successors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// What is promised of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An attempt is out at a server; nobody was told anything yet. Whoever succeeds ends it there.
    Out { server: u32 },
    /// Its caller was told that it stands, and waits for its release.
    Stands { server: u32 },
    /// The server has released it, and its caller has not confirmed that.
    Owed { server: u32, cause: u8 },
}

/// `None`: nothing is promised of the call any more.
pub type Change = (Call, Option<Record>);
