//! Copies on the fleet's thread: hands to [`Member`] what the program notes and what others say, and carries
//! its words and news on.

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
use crate::ports::copies::{call_record, Lease, ReplicationNote};

/// Notes taken at once before anything else is looked at.
const AT_ONCE: usize = 4_096;

pub struct Copies {
    member: Member,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<ReplicationNote>,
    news: mpsc::Sender<ReplicationEvent>,
    /// Events that the channel had no capacity for yet.
    waiting: VecDeque<ReplicationEvent>,
    /// Somebody waits for what is noted to be held; else it goes out with the next tick, many notes in one
    /// word.
    urgent: bool,
    /// A lease that others gave, but that the program is not told of before the news ahead of it.
    leased: Option<Millis>,
}

impl Copies {
    pub fn new(
        config: CopiesConfig,
        me: &swim::Member,
        lease: Arc<Lease>,
        notes: mpsc::Receiver<ReplicationNote>,
        news: mpsc::Sender<ReplicationEvent>,
    ) -> Self {
        let member = Member::new(&me.name, &me.zone, me.boot, config.limits);
        let urgent = config.after_copies;
        Copies { member, lease, notes, news, waiting: VecDeque::new(), urgent, leased: None }
    }

    /// The next note of the program; those that wait with it are taken too.
    pub async fn next(&mut self) -> Option<ReplicationNote> {
        self.notes.recv().await
    }

    /// Takes notes; whether they are to go out at once.
    pub fn note(&mut self, now: Millis, first: ReplicationNote) -> bool {
        let mut next = Some(first);
        for _ in 0..AT_ONCE {
            match next {
                Some(ReplicationNote::State(call, promise)) => {
                    self.member.record_change(call.0, promise.map(call_record))
                }
                Some(ReplicationNote::FullUpdate(all)) => {
                    let records = all.into_iter().map(|(call, promise)| (call.0, call_record(promise)));
                    self.member.replace_all(records.collect());
                }
                Some(ReplicationNote::ReleaseAnnounced(call)) => self.member.announce_release(now, call.0),
                Some(ReplicationNote::Acknowledged(call)) => self.member.release_acknowledged(call.0),
                Some(ReplicationNote::Delivered(call)) => self.member.release_delivered(now, call.0),
                Some(ReplicationNote::BarrierConfirmed(question)) => self.member.confirm(question),
                Some(ReplicationNote::Relinquished(calls)) => {
                    self.member.relinquish(now, calls.into_iter().map(|call| call.0).collect());
                }
                None => break,
            }
            next = self.notes.try_recv().ok();
        }
        self.urgent
    }

    /// Takes the notes that wait.
    pub fn note_waiting(&mut self, now: Millis) {
        if let Ok(first) = self.notes.try_recv() {
            self.note(now, first);
        }
    }

    pub fn received(&mut self, now: Millis, from: &swim::Member, bytes: &[u8]) {
        // Spoilt words settle nothing.
        if let Ok(message) = postcard::from_bytes::<Message>(bytes) {
            self.member.handle_message(now, &from.name, from.boot, message);
        }
    }

    /// Time has passed: what the fleet knows by now counts.
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

    /// Says what is new, and tells the program what came of it.
    pub fn turn(&mut self, now: Millis, node: &mut Node) {
        self.member.poll(now);
        for (to, message) in self.member.take_messages() {
            // Nothing that a word holds can fail to be written into memory.
            node.send_replication(&to, postcard::to_stdvec(&message).unwrap_or_default());
        }
        while let Some(news) = self.member.next_event() {
            self.waiting.push_back(news);
        }
        while let Some(news) = self.waiting.pop_front() {
            if let Err(mpsc::error::TrySendError::Full(news)) = self.news.try_send(news) {
                self.waiting.push_front(news);
                break;
            }
        }
        if node.lease() != self.leased {
            self.leased = node.lease();
            self.lease.set(self.leased.unwrap_or(0), self.member.stats().ownership_losses);
        }
    }

    pub fn figures(&self) -> ReplicationStats {
        self.member.stats()
    }

    /// A row for each stream that is written or held here.
    pub fn rows(&self) -> Vec<CopyRow> {
        let written = self.member.primaries().map(|primary| CopyRow {
            stream: format!("{:x}", primary.stream().0),
            writer: self.member.name().into(),
            epoch: primary.epoch(),
            records: primary.records().len() as u64,
            holders: primary.holders().map(str::to_string).collect(),
            under_copied: primary.under_replicated() as u64,
        });
        let held = self.member.holder().replicas().filter(|(_, replica)| replica.sequence() > 0);
        let held = held.map(|(stream, replica)| CopyRow {
            stream: format!("{:x}", stream.0),
            writer: replica.primary().into(),
            epoch: replica.epoch(),
            records: replica.records().len() as u64,
            holders: vec![self.member.name().into()],
            under_copied: 0,
        });
        written.chain(held).collect()
    }
}
