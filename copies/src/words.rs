//! What writers, holders and successors of a stream say to each other. Who speaks, in which cluster, version
//! and start, is said by what carries these words.

use serde::{Deserialize, Serialize};

use crate::{Call, Change, Record, StreamId};

/// Records of one word, at most.
pub const MOST_RECORDS: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Of the writer: what follows `after`, in order.
    Changes {
        stream: StreamId,
        epoch: u64,
        after: u64,
        changes: Vec<Change>,
    },
    /// Of the writer: all that there is at `number`, in parts.
    Whole {
        stream: StreamId,
        epoch: u64,
        number: u64,
        part: Part,
    },
    /// Of the writer: others hold it now.
    Drop {
        stream: StreamId,
        epoch: u64,
    },
    /// Of a holder: it has everything up to `number`, 0 for nothing at all. `part`: of a whole that is on its
    /// way, so many parts came.
    Holds {
        stream: StreamId,
        epoch: u64,
        number: u64,
        parts: u32,
    },
    /// Of a holder: it has no room.
    Full {
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
        held: u64,
        number: u64,
        part: Part,
    },
    /// Of whoever gave a release of a call that it did not have: these are over, wherever they stand.
    Over {
        count: u64,
        calls: Vec<Call>,
    },
    OverHeard {
        count: u64,
    },
    /// Of a writer that was succeeded by that epoch: what it noted last, which its holders may not have.
    Handover {
        count: u64,
        stream: StreamId,
        epoch: u64,
        changes: Vec<Change>,
    },
    HandedOver {
        count: u64,
    },
    /// Of the writer of a stream, ahead of the changes that end with that: the callers of these calls have
    /// acknowledged their releases.
    Acknowledged {
        calls: Vec<Call>,
    },
}

/// One of several parts of a whole, in the order of calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub place: u32,
    pub of: u32,
    pub records: Vec<(Call, Record)>,
}

impl Part {
    /// All parts of what there is; one empty part where there is nothing.
    pub fn all<'a>(records: impl IntoIterator<Item = (&'a Call, &'a Record)>) -> Vec<Part> {
        let all: Vec<(Call, Record)> = records.into_iter().map(|(call, record)| (*call, *record)).collect();
        let of = all.len().div_ceil(MOST_RECORDS).max(1) as u32;
        let part = |place: u32| {
            let from = place as usize * MOST_RECORDS;
            let until = (from + MOST_RECORDS).min(all.len());
            Part { place, of, records: all[from..until].to_vec() }
        };
        (0..of).map(part).collect()
    }
}

/// Gathers the parts of a whole as they come, in order; what is out of order is asked for again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gather {
    pub number: u64,
    of: u32,
    came: u32,
    records: Vec<(Call, Record)>,
}

impl Gather {
    pub fn new(number: u64, of: u32) -> Self {
        Gather { number, of, came: 0, records: Vec::new() }
    }

    /// Whether a part belongs to this whole.
    pub fn fits(&self, number: u64, part: &Part) -> bool {
        (self.number, self.of) == (number, part.of)
    }

    /// Parts that came, in order.
    pub fn came(&self) -> u32 {
        self.came
    }

    /// Takes the next part; whether it was the last one. Others change nothing.
    pub fn take(&mut self, part: Part) -> bool {
        if part.place == self.came && self.came < self.of {
            self.came += 1;
            self.records.extend(part.records);
        }
        self.came == self.of
    }

    pub fn records(self) -> Vec<(Call, Record)> {
        self.records
    }
}
