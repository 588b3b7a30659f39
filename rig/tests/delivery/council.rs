//! What the members agree on, as an oracle: leases, and who writes the stream of one that is lost. Its times
//! are those of `docs/design/copies.md`, "Why 4.2 s are enough".

use std::collections::{BTreeMap, BTreeSet};

use steprelay_copies::member::StreamOwner;
use steprelay_copies::{Millis, StreamId};

/// A lease runs for so long from when it was asked for, which is so often.
pub const LEASE: Millis = 1_500;
pub const RENEW: Millis = 250;
/// Nobody is succeeded who was renewed within this.
pub const GRACE: Millis = 4_200;
/// Who has not run for so long is no longer named among the members that are alive.
pub const NOTICED: Millis = 2_000;

/// A start of a member.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub boot: u64,
}

#[derive(Default)]
pub struct Council {
    /// Who began each stream, and who has written it since.
    begun: BTreeMap<StreamId, Start>,
    stream_owners: BTreeMap<StreamId, StreamOwner>,
    settled: Vec<StreamId>,
    renewed: BTreeMap<u64, Millis>,
    /// Starts that have said in order that they go.
    left: BTreeSet<u64>,
}

impl Council {
    pub fn stream_owners(&self) -> Vec<StreamOwner> {
        self.stream_owners.values().cloned().collect()
    }

    pub fn settled(&self) -> Vec<StreamId> {
        self.settled.clone()
    }

    /// A member asks for its lease; until when it has it, where all that it writes is its own.
    pub fn renew(&mut self, now: Millis, start: &Start, writes: &[(StreamId, u64)]) -> Option<Millis> {
        let own = |(stream, epoch): &(StreamId, u64)| match self.stream_owners.get(stream) {
            Some(by) => (by.boot, by.epoch) == (start.boot, *epoch),
            None => *epoch == 0 && !self.settled.contains(stream),
        };
        if !writes.iter().all(own) {
            return None;
        }
        for (stream, _) in writes.iter().filter(|(_, epoch)| *epoch == 0) {
            self.begun.entry(*stream).or_insert_with(|| start.clone());
        }
        self.renewed.insert(start.boot, now);
        Some(now + LEASE)
    }

    pub fn settle(&mut self, stream: StreamId, epoch: u64) {
        if self.stream_owners.get(&stream).is_some_and(|by| by.epoch == epoch) {
            self.stream_owners.remove(&stream);
            self.begun.remove(&stream);
            self.settled.push(stream);
        }
    }

    pub fn leave(&mut self, boot: u64) {
        self.left.insert(boot);
    }

    /// Has the streams of starts that are lost written on by a member that lives; returns whose. `there`:
    /// starts that run.
    pub fn succeed(&mut self, now: Millis, there: &[Start]) -> Vec<u64> {
        let mut lost = Vec::new();
        for (stream, begun) in &self.begun {
            let by = self.stream_owners.get(stream);
            let (writer, epoch) = by.map_or((begun.boot, 0), |by| (by.boot, by.epoch));
            let went = self.left.contains(&writer);
            let renewed = self.renewed.get(&writer).copied().unwrap_or(0);
            let runs = there.iter().any(|start| start.boot == writer);
            if !went && (runs || now < renewed + GRACE) {
                continue;
            }
            if let Some(next) = there.iter().find(|start| start.boot != writer) {
                let Start { name, boot } = next.clone();
                let by = StreamOwner { stream: *stream, name, boot, epoch: epoch + 1 };
                self.stream_owners.insert(*stream, by);
                lost.push(writer);
            }
        }
        lost
    }
}
