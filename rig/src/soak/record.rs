//! What clients, servers and the run saw, with times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// How a set-up was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    /// Trying again is harmless.
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
    Answered {
        call: u64,
        answer: Answer,
    },
    /// The client gave the set-up up, or left with its connection.
    Left {
        call: u64,
    },
    /// The connection on which a set-up was open has ended; it had not at `not_before`.
    Closed {
        call: u64,
        not_before: u64,
    },
    /// A client has released an established call.
    ClientReleased {
        call: u64,
    },
    /// A client has heard of the release of a call.
    HeardRelease {
        call: u64,
    },
    /// A client's connection is there, or has ended.
    Connected {
        client: u64,
    },
    Disconnected {
        client: u64,
    },
    /// A server was sent a set-up, or the end of a call.
    Attempt {
        call: u64,
        server: u32,
    },
    AttemptEnded {
        call: u64,
        server: u32,
    },
    /// A server has written the release of an established call.
    ServerReleased {
        call: u64,
        server: u32,
    },
    /// Service discovery has told that a server drains.
    Drained {
        server: u32,
    },
    Terminated,
    /// The process has ended by itself, with this code.
    Exited {
        code: i32,
    },
    Killed,
    Logged {
        line: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event<T = What> {
    /// Milliseconds since the start of the run.
    pub at: u64,
    pub what: T,
}

/// Takes events in the order in which they are seen.
#[derive(Clone)]
pub struct Record<T = What> {
    started: Instant,
    events: Rc<RefCell<Vec<Event<T>>>>,
}

impl<T> Default for Record<T> {
    fn default() -> Self {
        Record { started: Instant::now(), events: Rc::default() }
    }
}

impl<T: Clone> Record<T> {
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, what: T) {
        self.events.borrow_mut().push(Event { at: self.now(), what });
    }

    pub fn events(&self) -> Vec<Event<T>> {
        self.events.borrow().clone()
    }
}
