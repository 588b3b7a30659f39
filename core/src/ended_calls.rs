//! The ids of calls that have ended. A late message about one of them is ignored, and its id does not come to
//! life again, while a message about an unknown call is about one that was established before this process
//! started.
//!
//! Any client can end as many calls of new ids as it likes without costing a server anything. So these ids
//! are held apart, and never displace those of calls that a server was sent.

use std::collections::HashMap;

use steprelay_decisions::CallId;

use super::accounting::CallEnd;

/// A limited number of ids in two generations: the older one is dropped when the newer one is full.
#[derive(Default)]
struct Generations {
    capacity: usize,
    newer: HashMap<CallId, CallEnd>,
    older: HashMap<CallId, CallEnd>,
}

impl Generations {
    fn new(capacity: usize) -> Self {
        Generations { capacity, ..Generations::default() }
    }

    fn insert(&mut self, call: CallId, end: CallEnd) {
        if self.newer.len() >= self.capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(call, end);
    }

    fn get(&self, call: CallId) -> Option<CallEnd> {
        self.newer.get(&call).or_else(|| self.older.get(&call)).copied()
    }
}

/// Whether a server was sent a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// A server was sent the call, or has told of it.
    Attempted,
    /// Only its caller knows of the call.
    NotAttempted,
}

#[derive(Default)]
pub struct EndedCalls {
    attempted: Generations,
    not_attempted: Generations,
}

impl EndedCalls {
    /// `capacity`: maximum number of ids in one generation, of those that a server was sent and of the
    /// others.
    pub fn new(capacity: usize) -> Self {
        EndedCalls { attempted: Generations::new(capacity), not_attempted: Generations::new(capacity) }
    }

    pub fn record(&mut self, call: CallId, end: CallEnd, execution: Execution) {
        match execution {
            Execution::Attempted => self.attempted.insert(call, end),
            Execution::NotAttempted => self.not_attempted.insert(call, end),
        }
    }

    pub fn get(&self, call: CallId) -> Option<CallEnd> {
        self.attempted.get(call).or_else(|| self.not_attempted.get(call))
    }
}
