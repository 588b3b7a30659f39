//! The fault plan: data that is complete before anything runs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    #[serde(default)]
    pub links: Vec<Link>,
    /// The first rule that matches a message decides.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// A listener and the address that its connections are forwarded to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    pub name: String,
    pub listen: SocketAddr,
    pub upstream: SocketAddr,
    pub framing: Framing,
}

/// How messages are delimited on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Framing {
    /// Not at all: the bytes of one read form a message.
    #[default]
    Raw,
    /// JSON lines.
    Lines,
    /// By the length in the M3UA header (RFC 4666 3.1.4).
    M3ua,
    /// As in service discovery: by a length of 4 octets that counts all octets behind it.
    #[serde(rename = "board")]
    LengthPrefixed,
}

/// The action for messages that match.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub action: Action,
    #[serde(default)]
    pub matches: Match,
    /// The probability of the action, 0 to 1.
    #[serde(default = "one")]
    pub probability: f64,
}

fn one() -> f64 {
    1.0
}

impl Rule {
    pub fn new(action: Action) -> Self {
        Rule { action, matches: Match::default(), probability: 1.0 }
    }
}

/// The conditions on a message; fields that are absent match anything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Match {
    /// The link's name, and the connection's number on it, from 0.
    pub link: Option<String>,
    pub connection: Option<u64>,
    pub to_upstream: Option<bool>,
    /// The index of the message in its direction of the connection, from 0; or the first index that
    /// matches, and the one behind the last.
    pub index: Option<u64>,
    pub from: Option<u64>,
    pub until: Option<u64>,
    /// Fields of a JSON line: type, ID, class and cause.
    pub op: Option<String>,
    pub call: Option<String>,
    pub class: Option<String>,
    pub cause: Option<u8>,
    /// M3UA message class and type; message type and circuit of the ISUP message inside.
    pub m3ua: Option<(u8, u8)>,
    pub isup: Option<u8>,
    pub circuit: Option<u16>,
}

/// What happens to a message or to its connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    #[default]
    Pass,
    Drop,
    /// The message is sent this number of times in all.
    Repeat(u8),
    /// This number of octets is corrupted; the message's frame and the messages behind it stay intact.
    #[serde(rename = "garble")]
    Corrupt(u16),
    /// The body is truncated to this number of octets, and the frame is adjusted.
    Truncate(usize),
    /// These octets are sent in place of the message.
    Replace(Vec<u8>),
    /// The message, and those behind it, wait for this number of milliseconds.
    Delay(u32),
    /// The message is sent behind the next one.
    Swap,
    /// The connection is reset in both directions.
    Reset,
    /// Nothing more is forwarded in this direction, which is closed in an orderly way.
    HalfClose,
    /// Nothing more is forwarded in this direction, which stays open.
    Silence,
}
