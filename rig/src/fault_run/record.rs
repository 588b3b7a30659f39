//! What clients, servers and the run saw.

use crate::soak::record;

/// How a set-up was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    Refused,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// The last byte of a set-up was written; its client waits so many milliseconds.
    Sent {
        call: u64,
        left: u64,
    },
    /// `description`: what the client was given, where it was accepted.
    Answered {
        call: u64,
        answer: Answer,
        description: Option<String>,
    },
    /// The client gave the set-up up, or left with its connection.
    Left {
        call: u64,
    },
    /// The connection of an open set-up was ended by the program; it was open and read empty at `not_before`.
    Closed {
        call: u64,
        not_before: u64,
    },
    /// A client has released an established call.
    ClientReleased {
        call: u64,
    },
    /// A client has read the release of a call.
    HeardRelease {
        call: u64,
    },
    /// It has acknowledged that.
    Acknowledged {
        call: u64,
    },
    /// A client that listens has a connection, or has none any more.
    Listening {
        client: u64,
    },
    NotListening {
        client: u64,
    },
    /// A server has read a set-up whole.
    Attempt {
        call: u64,
        server: u32,
    },
    /// The attempt is over: given up by the program, refused by the server, or gone with its connection.
    AttemptGivenUp {
        call: u64,
        server: u32,
    },
    AttemptRefused {
        call: u64,
        server: u32,
    },
    AttemptReset {
        call: u64,
        server: u32,
    },
    /// A server has written an answer that can be read whole, with this description.
    Accepted {
        call: u64,
        server: u32,
        description: String,
    },
    /// A server was told that an established call is over, or has written its release.
    ReleasedAt {
        call: u64,
        server: u32,
    },
    ServerReleased {
        call: u64,
        server: u32,
    },
    /// The machine of a server has vanished, or its process has died: what stood there is over.
    Gone {
        server: u32,
    },
    /// A server reads and writes nothing from now on, or does again.
    Frozen {
        server: u32,
    },
    Thawed {
        server: u32,
    },
    /// A server drains or is gone by the list, which counts as told by then at the latest.
    Drained {
        server: u32,
        told_by: u64,
    },
    Started,
    Terminated,
    Exited {
        code: i32,
    },
    Killed,
    Logged {
        line: String,
    },
}

impl What {
    /// The call that it is about; `None` where it is about more than one.
    pub fn call(&self) -> Option<u64> {
        match self {
            What::Sent { call, .. }
            | What::Answered { call, .. }
            | What::Left { call }
            | What::Closed { call, .. }
            | What::ClientReleased { call }
            | What::HeardRelease { call }
            | What::Acknowledged { call }
            | What::Attempt { call, .. }
            | What::AttemptGivenUp { call, .. }
            | What::AttemptRefused { call, .. }
            | What::AttemptReset { call, .. }
            | What::Accepted { call, .. }
            | What::ReleasedAt { call, .. }
            | What::ServerReleased { call, .. } => Some(*call),
            _ => None,
        }
    }
}

pub type Record = record::Record<What>;
pub type Event = record::Event<What>;
