//! The replicas that a member holds for others: a prefix of each stream, and the epoch from which changes
//! are accepted.

use std::collections::BTreeMap;

use crate::messages::{Message, Part, PartAssembler};
use crate::{Call, CallRecord, Millis, StreamId};

/// Bounds on the streams and records held.
const MAX_STREAMS: usize = 256;
const MAX_RECORDS: usize = 1_000_000;
/// Closed streams are remembered, so that a late message does not recreate them; this bounds how many.
const MAX_CLOSED_STREAMS: usize = 1_024;

/// A replica of one stream.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// The member that wrote the replica last, and the incarnation of its process.
    primary: String,
    boot: u64,
    /// The epoch that the replica was written in, and the lowest epoch that may still write it.
    epoch: u64,
    fence: u64,
    sequence: u64,
    records: BTreeMap<Call, CallRecord>,
    snapshot: Option<PartAssembler>,
    last_message_at: Millis,
}

impl Replica {
    pub fn primary(&self) -> &str {
        &self.primary
    }

    pub fn boot(&self) -> u64 {
        self.boot
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn records(&self) -> &BTreeMap<Call, CallRecord> {
        &self.records
    }

    /// When the replica's primary last sent a message.
    pub fn last_message_at(&self) -> Millis {
        self.last_message_at
    }
}

/// All replicas of one member.
#[derive(Debug, Default)]
pub struct ReplicaHolder {
    replicas: BTreeMap<StreamId, Replica>,
    closed: std::collections::VecDeque<StreamId>,
}

impl ReplicaHolder {
    pub fn replica(&self, stream: StreamId) -> Option<&Replica> {
        self.replicas.get(&stream)
    }

    pub fn replicas(&self) -> impl Iterator<Item = (StreamId, &Replica)> {
        self.replicas.iter().map(|(stream, replica)| (*stream, replica))
    }

    /// The number of records in all replicas.
    pub fn record_count(&self) -> usize {
        self.replicas.values().map(|replica| replica.records.len()).sum()
    }

    /// Closes a stream of which no call is left, and discards its replica.
    pub fn close(&mut self, stream: StreamId) {
        self.replicas.remove(&stream);
        if !self.closed.contains(&stream) {
            self.closed.push_back(stream);
            if self.closed.len() > MAX_CLOSED_STREAMS {
                self.closed.pop_front();
            }
        }
    }

    /// Discards empty replicas whose primary is no longer alive.
    pub fn discard_abandoned(&mut self, is_alive: impl Fn(&str, u64) -> bool) {
        self.replicas
            .retain(|_, replica| !replica.records.is_empty() || is_alive(&replica.primary, replica.boot));
    }

    /// Rejects primaries below this epoch from now on.
    pub fn fence(&mut self, stream: StreamId, epoch: u64) {
        if self.replicas.contains_key(&stream) || self.replicas.len() < MAX_STREAMS {
            let replica = self.replicas.entry(stream).or_default();
            replica.fence = replica.fence.max(epoch);
        }
    }

    /// Handles a message of a primary or a successor, sent by its incarnation `boot`. Returns the reply, if
    /// there is one.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: &str,
        boot: u64,
        message: Message,
    ) -> Option<Message> {
        match message {
            Message::Append { stream, epoch, after, changes } => {
                let replica = match self.admit(now, (from, boot), stream, epoch) {
                    Ok(replica) => replica,
                    Err(answer) => return Some(answer),
                };
                // A new primary starts with a snapshot, except for a stream that it sends from the first
                // change on.
                let is_contiguous = if replica.epoch == epoch {
                    after <= replica.sequence
                } else {
                    after == 0 && replica.sequence == 0
                };
                if is_contiguous {
                    replica.epoch = epoch;
                    let known = (replica.sequence - after) as usize;
                    for (call, record) in changes.into_iter().skip(known) {
                        match record {
                            Some(record) => replica.records.insert(call, record),
                            None => replica.records.remove(&call),
                        };
                        replica.sequence += 1;
                    }
                }
                let sequence = if replica.epoch == epoch { replica.sequence } else { 0 };
                Some(Message::Ack { stream, epoch, sequence, received_parts: replica.received_parts() })
            }
            Message::Snapshot { stream, epoch, sequence, part } => {
                let replica = match self.admit(now, (from, boot), stream, epoch) {
                    Ok(replica) => replica,
                    Err(answer) => return Some(answer),
                };
                if replica.epoch == epoch && replica.sequence >= sequence {
                    return Some(Message::Ack {
                        stream,
                        epoch,
                        sequence: replica.sequence,
                        received_parts: 0,
                    });
                }
                if replica.snapshot.as_ref().is_none_or(|snapshot| !snapshot.accepts(sequence, &part)) {
                    replica.snapshot = Some(PartAssembler::new(sequence, part.total));
                }
                if replica.snapshot.as_mut().is_some_and(|snapshot| snapshot.push(part)) {
                    let records = replica.snapshot.take().map(PartAssembler::records).unwrap_or_default();
                    (replica.epoch, replica.sequence) = (epoch, sequence);
                    replica.records = records.into_iter().collect();
                }
                let sequence = if replica.epoch == epoch { replica.sequence } else { 0 };
                Some(Message::Ack { stream, epoch, sequence, received_parts: replica.received_parts() })
            }
            Message::Discard { stream, epoch } => {
                if self
                    .replicas
                    .get(&stream)
                    .is_some_and(|replica| replica.epoch <= epoch && replica.fence <= epoch)
                {
                    self.replicas.remove(&stream);
                }
                None
            }
            Message::Fetch { stream, epoch, from } => Some(self.fetch(stream, epoch, from)),
            _ => None,
        }
    }

    /// The replica to write, unless the stream is closed, the epoch is fenced or there is no capacity.
    fn admit(
        &mut self,
        now: Millis,
        (from, boot): (&str, u64),
        stream: StreamId,
        epoch: u64,
    ) -> Result<&mut Replica, Message> {
        if self.closed.contains(&stream) {
            return Err(Message::Fenced { stream, epoch: u64::MAX });
        }
        let is_full = self.record_count() >= MAX_RECORDS;
        let known = self.replicas.contains_key(&stream);
        if !known && (is_full || self.replicas.len() >= MAX_STREAMS) {
            return Err(Message::CapacityExceeded { stream, epoch });
        }
        let replica = self.replicas.entry(stream).or_default();
        if epoch < replica.fence.max(replica.epoch) {
            return Err(Message::Fenced { stream, epoch: replica.fence.max(replica.epoch) });
        }
        if is_full {
            return Err(Message::CapacityExceeded { stream, epoch });
        }
        replica.fence = epoch;
        replica.last_message_at = now;
        if replica.primary != from {
            replica.primary = from.into();
        }
        replica.boot = boot;
        Ok(replica)
    }

    fn fetch(&mut self, stream: StreamId, epoch: u64, from: u32) -> Message {
        let fence = self.replicas.get(&stream).map_or(0, |replica| replica.fence);
        if fence > epoch {
            return Message::Fenced { stream, epoch: fence };
        }
        self.fence(stream, epoch);
        let Some(replica) = self.replicas.get(&stream) else {
            let part = Part { index: 0, total: 1, records: Vec::new() };
            return Message::Fetched { stream, epoch, replica_epoch: 0, sequence: 0, part };
        };
        // A fenced replica does not change until the successor writes, so every part is of one snapshot.
        let parts = Part::all(&replica.records);
        let part = parts[(from as usize).min(parts.len() - 1)].clone();
        Message::Fetched { stream, epoch, replica_epoch: replica.epoch, sequence: replica.sequence, part }
    }
}

impl Replica {
    fn received_parts(&self) -> u32 {
        self.snapshot.as_ref().map_or(0, PartAssembler::received)
    }
}
