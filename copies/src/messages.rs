//! What writers, holders and successors of a stream say to each other. Who speaks, in which cluster, version
//! and start, is said by what carries these words.

use serde::{Deserialize, Serialize};

use crate::{Call, CallRecord, Change, StreamId};

/// Records of one word, at most.
pub const MAX_RECORDS_PER_MESSAGE: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Of the writer: what follows `after`, in order.
    Append {
        stream: StreamId,
        epoch: u64,
        after: u64,
        changes: Vec<Change>,
    },
    /// Of the writer: all that there is at `sequence`, in parts.
    Snapshot {
        stream: StreamId,
        epoch: u64,
        sequence: u64,
        part: Part,
    },
    /// Of the writer: others hold it now.
    Discard {
        stream: StreamId,
        epoch: u64,
    },
    /// Of a holder: it has everything up to `sequence`, 0 for nothing at all. `part`: of a whole that is on its
    /// way, so many parts received.
    Ack {
        stream: StreamId,
        epoch: u64,
        sequence: u64,
        received_parts: u32,
    },
    /// Of a holder: it has no room.
    CapacityExceeded {
        stream: StreamId,
        epoch: u64,
    },
    /// Of a holder: another one writes this stream, or is about to.
    Fenced {
        stream: StreamId,
        epoch: u64,
    },
    /// Of a successor: what is held there? Whoever wrote by an older epoch is refused from now on.
    Fetch {
        stream: StreamId,
        epoch: u64,
        from: u32,
    },
    /// The answer to that: what is held was written by `held` (0 and an empty part: nothing is held).
    Fetched {
        stream: StreamId,
        epoch: u64,
        replica_epoch: u64,
        sequence: u64,
        part: Part,
    },
    /// Of whoever gave a release of a call that it did not have: these are over, wherever they stand.
    CallsEnded {
        id: u64,
        calls: Vec<Call>,
    },
    CallsEndedAck {
        id: u64,
    },
    /// Of a writer that was succeeded by that epoch: what it noted last, which its holders may not have.
    Handover {
        id: u64,
        stream: StreamId,
        epoch: u64,
        changes: Vec<Change>,
    },
    HandoverAck {
        id: u64,
    },
    /// Of the writer of a stream, ahead of the changes that end with that: the callers of these calls have
    /// acknowledged their releases.
    ReleasesAcknowledged {
        calls: Vec<Call>,
    },
}

/// One of several parts of a whole, in the order of calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub index: u32,
    pub total: u32,
    pub records: Vec<(Call, CallRecord)>,
}

impl Part {
    /// All parts of what there is; one empty part where there is nothing.
    pub fn all<'a>(records: impl IntoIterator<Item = (&'a Call, &'a CallRecord)>) -> Vec<Part> {
        let all: Vec<(Call, CallRecord)> =
            records.into_iter().map(|(call, record)| (*call, *record)).collect();
        let total = all.len().div_ceil(MAX_RECORDS_PER_MESSAGE).max(1) as u32;
        let part = |index: u32| {
            let from = index as usize * MAX_RECORDS_PER_MESSAGE;
            let until = (from + MAX_RECORDS_PER_MESSAGE).min(all.len());
            Part { index, total, records: all[from..until].to_vec() }
        };
        (0..total).map(part).collect()
    }
}

/// Gathers the parts of a whole as they come, in order; what is out of order is asked for again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartAssembler {
    pub sequence: u64,
    total: u32,
    received: u32,
    records: Vec<(Call, CallRecord)>,
}

impl PartAssembler {
    pub fn new(sequence: u64, total: u32) -> Self {
        PartAssembler { sequence, total, received: 0, records: Vec::new() }
    }

    /// Whether a part belongs to this whole.
    pub fn accepts(&self, sequence: u64, part: &Part) -> bool {
        (self.sequence, self.total) == (sequence, part.total)
    }

    /// Parts that received, in order.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Takes the next part; whether it was the last one. Others change nothing.
    pub fn push(&mut self, part: Part) -> bool {
        if part.index == self.received && self.received < self.total {
            self.received += 1;
            self.records.extend(part.records);
        }
        self.received == self.total
    }

    pub fn records(self) -> Vec<(Call, CallRecord)> {
        self.records
    }
}
