//! The writer of a stream: numbers its changes, and sees to it that its holders have them.
//!
//! Each holder is told what follows the last change that it is known to have; one that lacks more than is
//! log gets the snapshot in parts. Nothing waits for a lagging holder: others are chosen in its place.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{Message, Part, MAX_RECORDS_PER_MESSAGE};
use crate::{Call, CallRecord, Change, Millis, StreamId};

/// Changes that are log for holders that lag; past that they get the snapshot.
const MAX_RETAINED_CHANGES: usize = 8_192;
/// Changes that are under way to one holder.
const MAX_IN_FLIGHT_CHANGES: u64 = 4_096;
/// Parts of a snapshot that are under way to one holder.
const MAX_IN_FLIGHT_PARTS: u32 = 4;
/// What is not confirmed is said again after this.
const RETRANSMIT_INTERVAL_MS: Millis = 300;
/// Or after so many answers that confirm nothing new: the one before was lost on its way.
const DUPLICATE_ACK_THRESHOLD: u32 = 3;
/// A holder that has confirmed nothing new for so long while something is owed to it is passed over.
const LAG_TIMEOUT_MS: Millis = 1_500;

/// How many are to hold each change, and how many must before anybody is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationPolicy {
    pub replicas: usize,
    pub required_acks: usize,
}

#[derive(Debug)]
struct HolderProgress {
    /// Its start: another one holds nothing.
    boot: u64,
    acked: u64,
    sent: u64,
    /// When it last confirmed something new, or was last owed nothing; and when it was last told again what
    /// it had not confirmed.
    progress_at: Millis,
    retransmitted_at: Millis,
    /// How often it confirmed nothing new since: it lacks what comes next.
    duplicate_acks: u32,
    snapshot: Option<SnapshotTransfer>,
    is_full: bool,
}

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

/// One stream, at its writer.
#[derive(Debug)]
pub struct Primary {
    stream: StreamId,
    epoch: u64,
    policy: ReplicationPolicy,
    sequence: u64,
    records: BTreeMap<Call, CallRecord>,
    /// The last changes, the latest last.
    log: VecDeque<Change>,
    holders: BTreeMap<String, HolderProgress>,
    /// Those that are told that they hold it no more.
    discarding: Vec<String>,
    committed: u64,
    fenced: bool,
}

impl Primary {
    /// A stream that begins.
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

    /// One that is written on by a successor, from what was found of it.
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

    /// The sequence of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn records(&self) -> &BTreeMap<Call, CallRecord> {
        &self.records
    }

    /// Whether a holder has said that another one writes this stream.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// A change; returns its sequence.
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

    /// All that there is from now on, in place of what was noted; returns the sequence of that change.
    pub fn replace(&mut self, records: BTreeMap<Call, CallRecord>) -> u64 {
        self.records = records;
        self.sequence += 1;
        self.log.clear();
        self.sequence
    }

    /// The last state of each call that changed since all holders had everything: some may not know of it.
    pub fn unconfirmed_changes(&self) -> Vec<Change> {
        let acked = self.holders.values().map(|holder| holder.acked).min().unwrap_or(0);
        let oldest = self.sequence - self.log.len() as u64;
        let from = acked.saturating_sub(oldest) as usize;
        let calls: std::collections::BTreeSet<Call> =
            self.log.range(from.min(self.log.len())..).map(|(call, _)| *call).collect();
        calls.into_iter().map(|call| (call, self.records.get(&call).copied())).collect()
    }

    /// Those that are to hold it from now on, with their starts.
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

    /// Holders that lag for too long, or have no room: others should be chosen.
    pub fn lagging(&self, now: Millis) -> impl Iterator<Item = &str> {
        let is_late = move |holder: &HolderProgress| {
            holder.acked < self.sequence && now > holder.progress_at + LAG_TIMEOUT_MS
        };
        self.holders
            .iter()
            .filter(move |(_, holder)| holder.is_full || is_late(holder))
            .map(|(name, _)| name.as_str())
    }

    /// The last change that enough others hold. It never goes back.
    pub fn committed(&self) -> u64 {
        if self.policy.required_acks == 0 {
            return self.sequence;
        }
        self.committed
    }

    /// The last change that `copies` others hold now.
    pub fn fully_replicated(&self) -> u64 {
        self.acked_by(self.policy.replicas)
    }

    /// Whether enough others would take a change now: as many as are needed, none of them late.
    pub fn has_capacity(&self, now: Millis) -> bool {
        let lagging = self.lagging(now).count();
        self.holders.len() - lagging >= self.policy.required_acks
    }

    /// Records that fewer than `copies` others hold, at most.
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

    /// What is to be said now, and to whom.
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

    /// A message of a holder, in its start `boot`.
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
                // It has lost what it held; a late message of before only has the snapshot sent once more.
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
