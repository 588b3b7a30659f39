//! The primary of a replication stream: numbers the changes and sends them to the replica holders.
//!
//! Each holder gets the changes that follow the last one that it acknowledged. A holder that lacks changes
//! which are no longer in the log gets a snapshot in parts. Nothing waits for a lagging holder: another
//! member is chosen in its place.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{Message, Part, MAX_RECORDS_PER_MESSAGE};
use crate::{Call, CallRecord, Change, Millis, StreamId};

/// Bound on the changes in the log, which holders that lag are served from. Holders that lag further get a
/// snapshot.
const MAX_RETAINED_CHANGES: usize = 8_192;
/// Bound on the changes in flight to one holder.
const MAX_IN_FLIGHT_CHANGES: u64 = 4_096;
/// Bound on the parts of a snapshot in flight to one holder.
const MAX_IN_FLIGHT_PARTS: u32 = 4;
/// Unacknowledged changes and parts are sent again after this time.
const RETRANSMIT_INTERVAL_MS: Millis = 300;
/// Number of acknowledgements without progress that triggers a retransmission at once: a message before
/// them was lost.
const DUPLICATE_ACK_THRESHOLD: u32 = 3;
/// A holder that makes no progress for this time while changes are outstanding counts as lagging.
const LAG_TIMEOUT_MS: Millis = 1_500;

/// How many members should hold each change, and how many have to before the change is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationPolicy {
    pub replicas: usize,
    pub required_acks: usize,
}

/// What one holder has acknowledged and been sent.
#[derive(Debug)]
struct HolderProgress {
    /// The incarnation of the holder's process; another incarnation holds nothing.
    boot: u64,
    acked: u64,
    sent: u64,
    /// When the holder last made progress or had nothing outstanding, and when its unacknowledged changes
    /// were last sent again.
    progress_at: Millis,
    retransmitted_at: Millis,
    /// Acknowledgements without progress since then: the holder lacks the next change.
    duplicate_acks: u32,
    snapshot: Option<SnapshotTransfer>,
    is_full: bool,
}

/// The transfer of a snapshot to one holder.
#[derive(Debug)]
struct SnapshotTransfer {
    sequence: u64,
    parts: Vec<Part>,
    sent: u32,
    acked_parts: u32,
}

impl HolderProgress {
    fn new(now: Millis, boot: u64) -> Self {
        HolderProgress {
            boot,
            acked: 0,
            sent: 0,
            progress_at: now,
            retransmitted_at: now,
            duplicate_acks: 0,
            snapshot: None,
            is_full: false,
        }
    }
}

/// A replication stream at its primary.
#[derive(Debug)]
pub struct Primary {
    stream: StreamId,
    epoch: u64,
    policy: ReplicationPolicy,
    sequence: u64,
    records: BTreeMap<Call, CallRecord>,
    /// The last changes, oldest first.
    log: VecDeque<Change>,
    holders: BTreeMap<String, HolderProgress>,
    /// Former holders that have to discard their replicas.
    discarding: Vec<String>,
    committed: u64,
    fenced: bool,
}

impl Primary {
    /// Starts a stream.
    pub fn new(stream: StreamId, policy: ReplicationPolicy) -> Self {
        Primary {
            stream,
            epoch: 0,
            policy,
            sequence: 0,
            records: BTreeMap::new(),
            log: VecDeque::new(),
            holders: BTreeMap::new(),
            discarding: Vec::new(),
            committed: 0,
            fenced: false,
        }
    }

    /// Continues a stream as its successor, from the recovered state. The takeover counts as one change.
    pub fn resume(
        stream: StreamId,
        epoch: u64,
        policy: ReplicationPolicy,
        sequence: u64,
        records: BTreeMap<Call, CallRecord>,
    ) -> Self {
        Primary { epoch, sequence: sequence + 1, records, ..Primary::new(stream, policy) }
    }

    pub fn stream(&self) -> StreamId {
        self.stream
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The sequence number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn records(&self) -> &BTreeMap<Call, CallRecord> {
        &self.records
    }

    /// Whether a holder has reported that another member is the primary.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Records a change and returns its sequence number; `None` removes the call.
    pub fn record_change(&mut self, call: Call, record: Option<CallRecord>) -> u64 {
        match record {
            Some(record) => self.records.insert(call, record),
            None => self.records.remove(&call),
        };
        self.sequence += 1;
        self.log.push_back((call, record));
        if self.log.len() > MAX_RETAINED_CHANGES {
            self.log.pop_front();
        }
        self.sequence
    }

    /// Replaces all records and returns the sequence number of that change.
    pub fn replace_all(&mut self, records: BTreeMap<Call, CallRecord>) -> u64 {
        self.records = records;
        self.sequence += 1;
        self.log.clear();
        self.sequence
    }

    /// The current state of each call that changed after the last change that all holders have. Some
    /// holders may lack these changes.
    pub fn unconfirmed_changes(&self) -> Vec<Change> {
        let acked = self.holders.values().map(|holder| holder.acked).min().unwrap_or(0);
        let oldest = self.sequence - self.log.len() as u64;
        let from = acked.saturating_sub(oldest) as usize;
        let calls: std::collections::BTreeSet<Call> =
            self.log.range(from.min(self.log.len())..).map(|(call, _)| *call).collect();
        calls.into_iter().map(|call| (call, self.records.get(&call).copied())).collect()
    }

    /// Sets the holders, each with the incarnation of its process.
    pub fn set_holders(&mut self, now: Millis, holders: &[(String, u64)]) {
        let is_removed = |name: &String| !holders.iter().any(|(holder, _)| holder == name);
        self.discarding.extend(self.holders.keys().filter(|name| is_removed(name)).cloned());
        self.holders.retain(|name, _| !is_removed(name));
        for (name, boot) in holders {
            let holder = self.holders.entry(name.clone()).or_insert_with(|| HolderProgress::new(now, *boot));
            if holder.boot != *boot {
                *holder = HolderProgress::new(now, *boot);
            }
        }
    }

    pub fn holders(&self) -> impl Iterator<Item = &str> {
        self.holders.keys().map(String::as_str)
    }

    /// Holders that have lagged for too long or have no capacity, and that should be replaced.
    pub fn lagging(&self, now: Millis) -> impl Iterator<Item = &str> {
        let is_late = move |holder: &HolderProgress| {
            holder.acked < self.sequence && now > holder.progress_at + LAG_TIMEOUT_MS
        };
        self.holders
            .iter()
            .filter(move |(_, holder)| holder.is_full || is_late(holder))
            .map(|(name, _)| name.as_str())
    }

    /// The last change that enough holders have. It never decreases.
    pub fn committed(&self) -> u64 {
        if self.policy.required_acks == 0 {
            return self.sequence;
        }
        self.committed
    }

    /// The last change that `replicas` holders have now.
    pub fn fully_replicated(&self) -> u64 {
        self.acked_by(self.policy.replicas)
    }

    /// Whether enough holders would accept a change now: `required_acks` of them that do not lag.
    pub fn has_capacity(&self, now: Millis) -> bool {
        let lagging = self.lagging(now).count();
        self.holders.len() - lagging >= self.policy.required_acks
    }

    /// An upper bound on the records that fewer than `replicas` holders have.
    pub fn under_replicated(&self) -> usize {
        let lacking = self.sequence - self.fully_replicated();
        self.records.len().min(usize::try_from(lacking).unwrap_or(usize::MAX))
    }

    fn acked_by(&self, count: usize) -> u64 {
        if count == 0 {
            return self.sequence;
        }
        let mut acked: Vec<u64> = self.holders.values().map(|holder| holder.acked).collect();
        acked.sort_unstable_by(|one, other| other.cmp(one));
        acked.get(count - 1).copied().unwrap_or(0)
    }

    /// Takes the messages that are due, each with the name of its recipient.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Message)> {
        let (stream, epoch, sequence) = (self.stream, self.epoch, self.sequence);
        let mut messages: Vec<(String, Message)> =
            self.discarding.drain(..).map(|name| (name, Message::Discard { stream, epoch })).collect();
        if self.fenced {
            return messages;
        }
        let oldest = sequence - self.log.len() as u64;
        for (name, holder) in &mut self.holders {
            if holder.acked >= sequence {
                holder.progress_at = now;
            }
            let retransmits = now >= holder.progress_at.max(holder.retransmitted_at) + RETRANSMIT_INTERVAL_MS
                || holder.duplicate_acks >= DUPLICATE_ACK_THRESHOLD;
            if retransmits {
                (holder.retransmitted_at, holder.duplicate_acks) = (now, 0);
            }
            if holder.snapshot.is_none() && (holder.acked < oldest || holder.acked == 0 && oldest > 0) {
                let parts = Part::all(&self.records);
                holder.snapshot = Some(SnapshotTransfer { sequence, parts, sent: 0, acked_parts: 0 });
            }
            if let Some(snapshot) = &mut holder.snapshot {
                if retransmits {
                    snapshot.sent = snapshot.acked_parts;
                }
                let until = (snapshot.acked_parts + MAX_IN_FLIGHT_PARTS).min(snapshot.parts.len() as u32);
                for part in &snapshot.parts[snapshot.sent as usize..until as usize] {
                    let (sequence, part) = (snapshot.sequence, part.clone());
                    messages.push((name.clone(), Message::Snapshot { stream, epoch, sequence, part }));
                }
                snapshot.sent = until;
                continue;
            }
            if retransmits {
                holder.sent = holder.acked;
            }
            while holder.sent < sequence && holder.sent < holder.acked + MAX_IN_FLIGHT_CHANGES {
                let from = (holder.sent - oldest) as usize;
                let changes: Vec<Change> =
                    self.log.range(from..).take(MAX_RECORDS_PER_MESSAGE).copied().collect();
                let after = holder.sent;
                holder.sent += changes.len() as u64;
                messages.push((name.clone(), Message::Append { stream, epoch, after, changes }));
            }
        }
        messages
    }

    /// Handles a message of a holder, sent by its incarnation `boot`.
    pub fn handle_message(&mut self, now: Millis, from: &str, boot: u64, message: Message) {
        let (stream, epoch) = (self.stream, self.epoch);
        let holder = self.holders.get_mut(from).filter(|holder| holder.boot == boot);
        match message {
            Message::Fenced { stream: of, epoch: by } if of == stream && by > epoch => self.fenced = true,
            Message::CapacityExceeded { stream: of, epoch: by } if (of, by) == (stream, epoch) => {
                holder.into_iter().for_each(|holder| holder.is_full = true);
            }
            Message::Ack { stream: of, epoch: by, sequence, received_parts }
                if (of, by) == (stream, epoch) =>
            {
                let Some(holder) = holder.filter(|_| sequence <= self.sequence) else { return };
                // The holder has lost its replica. If the message is merely late, the only consequence is
                // that the snapshot is sent once more.
                if sequence == 0 && received_parts == 0 && holder.acked > 0 {
                    *holder =
                        HolderProgress { progress_at: holder.progress_at, ..HolderProgress::new(now, boot) };
                    return;
                }
                if sequence > holder.acked {
                    (holder.acked, holder.progress_at, holder.duplicate_acks) = (sequence, now, 0);
                    holder.sent = holder.sent.max(sequence);
                } else if sequence == holder.acked && sequence < holder.sent {
                    holder.duplicate_acks += 1;
                }
                if let Some(snapshot) = &mut holder.snapshot {
                    if sequence >= snapshot.sequence {
                        holder.snapshot = None;
                    } else if received_parts > snapshot.acked_parts && received_parts <= snapshot.sent {
                        (snapshot.acked_parts, holder.progress_at) = (received_parts, now);
                    }
                }
                self.committed = self.committed.max(self.acked_by(self.policy.required_acks));
            }
            _ => {}
        }
    }
}
