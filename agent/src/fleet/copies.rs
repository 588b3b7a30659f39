//! Replication on the cluster thread: passes the program's notes and other members' messages to [`Member`],
//! and its messages and events on.

use std::collections::VecDeque;
use std::sync::Arc;

use steprelay_copies::member::{
    ClusterView, Member, PeerMember, ReplicationEvent, ReplicationStats, StreamOwner,
};
use steprelay_copies::messages::Message;
use steprelay_copies::StreamId;
use steprelay_fleet::messages::{HeldReplica, StreamEpoch};
use steprelay_fleet::node::Node;
use steprelay_fleet::swim;
use steprelay_fleet::Millis;
use tokio::sync::mpsc;

use super::config::CopiesConfig;
use super::control::CopyRow;
use crate::ports::copies::{record, Lease, Note};

/// Notes recorded in one turn, before other events are handled.
const MAX_NOTES_PER_TURN: usize = 4_096;

pub struct Copies {
    member: Member,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<Note>,
    events: mpsc::Sender<ReplicationEvent>,
    /// Events that the channel had no capacity for yet.
    unsent: VecDeque<ReplicationEvent>,
    /// Callers wait until notes are replicated; otherwise notes go out with the next tick, many in one
    /// message.
    urgent: bool,
    /// The lease last published to the program, where it holds only after the events that precede it.
    published_lease: Option<Millis>,
}

impl Copies {
    pub fn new(
        config: CopiesConfig,
        me: &swim::Member,
        lease: Arc<Lease>,
        notes: mpsc::Receiver<Note>,
        events: mpsc::Sender<ReplicationEvent>,
    ) -> Self {
        let member = Member::new(&me.name, &me.zone, me.boot, config.limits);
        let urgent = config.after_copies;
        Copies { member, lease, notes, events, unsent: VecDeque::new(), urgent, published_lease: None }
    }

    /// Returns the program's next note.
    pub async fn next(&mut self) -> Option<Note> {
        self.notes.recv().await
    }

    /// Records `first` and the notes queued behind it; returns whether they must be sent at once.
    pub fn record(&mut self, now: Millis, first: Note) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_NOTES_PER_TURN {
            match next {
                Some(Note::Promise(call, promise)) => self.member.record_change(call.0, promise.map(record)),
                Some(Note::All(all)) => {
                    let records = all.into_iter().map(|(call, promise)| (call.0, record(promise)));
                    self.member.replace_all(records.collect());
                }
                Some(Note::PassedOn(call)) => self.member.announce_release(now, call.0),
                Some(Note::Acknowledged(call)) => self.member.release_acknowledged(call.0),
                Some(Note::Given(call)) => self.member.release_delivered(now, call.0),
                Some(Note::Confirmed(request)) => self.member.confirm(request),
                Some(Note::Relinquished(calls)) => {
                    self.member.relinquish(now, calls.into_iter().map(|call| call.0).collect());
                }
                None => break,
            }
            next = self.notes.try_recv().ok();
        }
        self.urgent
    }

    /// Records the queued notes.
    pub fn record_queued(&mut self, now: Millis) {
        if let Ok(first) = self.notes.try_recv() {
            self.record(now, first);
        }
    }

    pub fn received(&mut self, now: Millis, from: &swim::Member, bytes: &[u8]) {
        // Unreadable messages are ignored.
        if let Ok(message) = postcard::from_bytes::<Message>(bytes) {
            self.member.handle_message(now, &from.name, from.boot, message);
        }
    }

    /// Advances the time, with the node's current view of the cluster.
    pub fn tick(&mut self, now: Millis, node: &mut Node) {
        let cluster_state = node.cluster_state();
        let stream_owners = cluster_state.stream_owners.iter().map(|(stream, by)| StreamOwner {
            stream: StreamId(*stream),
            name: by.name.clone(),
            boot: by.boot,
            epoch: by.epoch,
        });
        let peers = node.replica_candidates().map(|(member, is_serving)| PeerMember {
            name: member.name.clone(),
            zone: member.zone.clone(),
            boot: member.boot,
            is_serving,
        });
        let view = ClusterView {
            has_lease: node.lease().is_some_and(|until| now < until),
            peers: peers.collect(),
            stream_owners: stream_owners.collect(),
            settled: cluster_state.closed_streams.iter().copied().map(StreamId).collect(),
        };
        self.member.tick(now, &view);
        for (stream, epoch) in self.member.streams_to_settle(now) {
            node.close_stream(now, stream.0, epoch);
        }
        let writes = self.member.owned_streams().into_iter();
        let writes = writes.map(|(stream, epoch)| StreamEpoch { stream: stream.0, epoch });
        let replicas = self.member.holder().replicas().filter(|(_, replica)| !replica.records().is_empty());
        let holds = replicas.map(|(stream, replica)| HeldReplica {
            stream_epoch: StreamEpoch { stream: stream.0, epoch: replica.epoch() },
            primary: replica.primary().into(),
            primary_boot: replica.boot(),
            sequence: replica.sequence(),
        });
        node.set_streams(writes.collect(), holds.collect());
    }

    /// Sends new messages to other members, and events and the lease to the program.
    pub fn send(&mut self, now: Millis, node: &mut Node) {
        self.member.poll(now);
        for (to, message) in self.member.take_messages() {
            // Every value that a message holds can be serialized, and memory takes all of it.
            node.send_replication(&to, postcard::to_stdvec(&message).unwrap_or_default());
        }
        while let Some(event) = self.member.next_event() {
            self.unsent.push_back(event);
        }
        while let Some(event) = self.unsent.pop_front() {
            if let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) {
                self.unsent.push_front(event);
                break;
            }
        }
        if node.lease() != self.published_lease {
            self.published_lease = node.lease();
            self.lease.set(self.published_lease.unwrap_or(0), self.member.stats().ownership_losses);
        }
    }

    pub fn stats(&self) -> ReplicationStats {
        self.member.stats()
    }

    /// Returns a row for each stream whose primary or replica is here.
    pub fn rows(&self) -> Vec<CopyRow> {
        let primaries = self.member.primaries().map(|primary| CopyRow {
            stream: format!("{:x}", primary.stream().0),
            writer: self.member.name().into(),
            epoch: primary.epoch(),
            records: primary.records().len() as u64,
            holders: primary.holders().map(str::to_string).collect(),
            under_copied: primary.under_replicated() as u64,
        });
        let replicas = self.member.holder().replicas().filter(|(_, replica)| replica.sequence() > 0);
        let replicas = replicas.map(|(stream, replica)| CopyRow {
            stream: format!("{:x}", stream.0),
            writer: replica.primary().into(),
            epoch: replica.epoch(),
            records: replica.records().len() as u64,
            holders: vec![self.member.name().into()],
            under_copied: 0,
        });
        primaries.chain(replicas).collect()
    }
}
