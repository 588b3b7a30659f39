//! Messages between the primary, the replica holders and a successor of a stream. The transport tells who
//! the sender is: its cluster, protocol version and process incarnation.

use serde::{Deserialize, Serialize};

use crate::{Call, CallRecord, Change, StreamId};

/// Bound on the records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = 512;

/// Encoded by position: variants and fields keep their order and types.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From the primary: the changes that follow sequence number `after`, in order.
    Append { stream: StreamId, epoch: u64, after: u64, changes: Vec<Change> },
    /// From the primary: one part of all records as of `sequence`.
    Snapshot { stream: StreamId, epoch: u64, sequence: u64, part: Part },
    /// From the primary: other members hold the stream now, and the receiver discards its replica.
    Discard { stream: StreamId, epoch: u64 },
    /// From a holder: it has every change up to `sequence`; 0 if it has nothing. `received_parts`: the
    /// parts that it has of a snapshot in transfer.
    Ack { stream: StreamId, epoch: u64, sequence: u64, received_parts: u32 },
    /// From a holder: it has no capacity for the stream.
    CapacityExceeded { stream: StreamId, epoch: u64 },
    /// From a holder: another member is the primary of the stream, or is about to be.
    Fenced { stream: StreamId, epoch: u64 },
    /// From a successor: requests the part number `from` of the holder's replica. The holder rejects
    /// primaries of older epochs from now on.
    Fetch { stream: StreamId, epoch: u64, from: u32 },
    /// From a holder: the reply to `Fetch`. The primary of epoch `replica_epoch` wrote the replica; epoch 0
    /// with an empty part if the holder has none.
    Fetched { stream: StreamId, epoch: u64, replica_epoch: u64, sequence: u64, part: Part },
    /// From a member that delivers or has delivered releases of calls that may belong to another member:
    /// these calls are ended wherever they are established. ID 0 marks an answer, which is not
    /// acknowledged.
    CallsEnded { id: u64, calls: Vec<Call> },
    /// Acknowledges `CallsEnded`.
    CallsEndedAck { id: u64 },
    /// From a primary that was superseded by this epoch: its last changes, which its holders may lack.
    Handover { id: u64, stream: StreamId, epoch: u64, changes: Vec<Change> },
    /// From the successor: acknowledges `Handover`.
    HandoverAck { id: u64 },
    /// From the primary, ahead of the changes that remove the calls: the callers of these calls have
    /// acknowledged their releases.
    ReleasesAcknowledged { calls: Vec<Call> },
}

/// One of several parts of a snapshot, which is sorted by call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub index: u32,
    pub total: u32,
    pub records: Vec<(Call, CallRecord)>,
}

impl Part {
    /// Splits the records into parts; no records make one empty part.
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

/// Assembles the parts of a snapshot in order. Parts that arrive out of order are ignored and requested
/// again.
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

    /// Whether a part belongs to this snapshot.
    pub fn accepts(&self, sequence: u64, part: &Part) -> bool {
        (self.sequence, self.total) == (sequence, part.total)
    }

    /// The number of parts that were received in order.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Adds the part if it is the next one, and ignores it otherwise. Returns whether the snapshot is
    /// complete.
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
