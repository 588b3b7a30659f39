//! One member's share in the replication of call state: its own stream, the replicas that it holds, the
//! streams that it takes over, and its messages to other members.
//!
//! The process reports each change of a call's state ([`Member::record_change`]) and handles the resulting
//! [`ReplicationEvent`]s. Without a lease, a member neither writes a stream nor takes one over: a member
//! that was suspended or partitioned learns first whether it has a successor.

mod handover;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use handover::{Handover, PeerProcess, ReleaseEntry, ReleaseStatus, Successor};

use crate::failover::{Failover, RecoveredStream};
use crate::holder::ReplicaHolder;
use crate::messages::Message;
use crate::placement::{select_holders, Candidate};
use crate::primary::{Primary, ReplicationPolicy};
use crate::{Call, CallRecord, Change, Millis, StreamId};

/// Interval at which the choice of replica holders is reviewed.
const PLACEMENT_INTERVAL_MS: Millis = 500;
/// A lagging holder is not chosen again within this time.
const LAGGING_HOLDER_BACKOFF_MS: Millis = 10_000;
/// Bound on changes that wait to be committed. Beyond it, the oldest changes count as committed and are
/// added to `uncommitted_overflows`.
const MAX_UNCOMMITTED_CHANGES: usize = 65_536;
/// How long ended calls are remembered, and how many of them at most.
const RELEASE_RETENTION_MS: Millis = 60_000;
const MAX_RETAINED_RELEASES: usize = 100_000;
/// Interval at which an unacknowledged announcement or handover is sent again, and the time after which it
/// is abandoned.
const RETRANSMIT_INTERVAL_MS: Millis = 300;
const REQUEST_TIMEOUT_MS: Millis = 10_000;
/// Bounds on the calls in one announcement or handover, and on open announcements.
const MAX_CALLS_PER_MESSAGE: usize = 512;
const MAX_ANNOUNCEMENTS: usize = 256;
/// Bound on requests of peers that this member's process has not answered yet.
const MAX_PEER_REQUESTS: usize = 1_024;
/// ID of a `CallsEnded` message that answers another message; the receiver does not acknowledge it.
const NO_ACK_ID: u64 = 0;
/// A release is delegated for good to the peer that announced it if that peer is still alive after this
/// time. A lost peer is detected within it.
const DELEGATION_TIMEOUT_MS: Millis = 5_000;
/// Interval at which the consensus group is asked again to settle a finished stream.
const SETTLE_RETRY_INTERVAL_MS: Millis = 1_000;

/// Another member that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMember {
    pub name: String,
    pub zone: String,
    /// The incarnation of the process: each start has a number of its own.
    pub boot: u64,
    /// Whether the member accepts set-ups and is not about to stop.
    pub is_serving: bool,
}

/// The member that owns a stream, as agreed by the consensus group after the stream's first primary was
/// lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOwner {
    pub stream: StreamId,
    pub name: String,
    pub boot: u64,
    pub epoch: u64,
}

/// The state of the cluster as this member knows it.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Whether this member's lease is valid.
    pub has_lease: bool,
    pub peers: Vec<PeerMember>,
    pub stream_owners: Vec<StreamOwner>,
    /// Streams that the consensus group has settled: no call of them is left.
    pub settled: Vec<StreamId>,
}

/// An event for the process that owns the calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationEvent {
    /// The number of changes, counted from the first recorded one, that are committed: enough holders have
    /// them.
    Committed(u64),
    /// The process owns these calls of a lost member from now on.
    TakenOver(Vec<(Call, CallRecord)>),
    /// The last changes of a superseded primary that was suspended, not lost.
    LateChanges(Vec<Change>),
    /// Another member owns these calls from now on.
    OwnershipLost(BTreeSet<Call>),
    /// Other members have ended these calls, or are about to.
    EndedElsewhere(Vec<Call>, Precedence),
    /// A barrier behind all previous events: the process answers it with [`Member::confirm`] once it has
    /// handled them.
    Barrier(PeerRequest),
    /// All other members were notified that these calls are ended, and have answered everything they had to
    /// say about them.
    AllNotified(Vec<Call>),
    /// Other members that are alive have announced the end of these calls and deliver the releases.
    DelegatedToPeer(Vec<Call>),
    /// Other members have told the callers of these calls that the calls are released.
    ReleaseDelivered(Vec<Call>),
    /// The successor has told the callers of these relinquished calls nothing, and never will.
    Relinquished(Vec<Call>),
    /// Whether too few other members can accept changes for them to be committed.
    Degraded(bool),
}

/// A request of another member, acknowledged once this member's process has handled all events before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    pub from: String,
    pub id: u64,
}

/// Which of two members delivers a release that both are about to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    Ours,
    Theirs,
}

/// Replication counters and gauges at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicationStats {
    /// Records in this member's own stream and in the streams that it has taken over.
    pub own_records: u64,
    pub taken_over_records: u64,
    /// How many of these records have fewer than `replicas` holders, and the number of holders of the
    /// member's own stream.
    pub under_replicated: u64,
    pub holders: u64,
    /// Streams and records of other members of which this member holds replicas.
    pub replica_streams: u64,
    pub replica_records: u64,
    /// Failovers that this member has started, and how often it has lost the ownership of calls.
    pub failovers: u64,
    pub ownership_losses: u64,
    /// Changes that counted as committed without being so, because too many were waiting.
    pub uncommitted_overflows: u64,
}

/// An announcement that calls are ended, repeated until the members in `awaiting` have acknowledged it.
#[derive(Debug)]
struct Announcement {
    id: u64,
    calls: Vec<Call>,
    awaiting: BTreeSet<String>,
    sent_at: Option<Millis>,
    expires_at: Millis,
}

/// The replication state of one member.
#[derive(Debug)]
pub struct Member {
    name: String,
    zone: String,
    boot: u64,
    policy: ReplicationPolicy,
    own: Primary,
    taken_over: BTreeMap<StreamId, Primary>,
    /// The stream of each call that was taken over.
    stream_by_call: BTreeMap<Call, StreamId>,
    failovers: BTreeMap<StreamId, Failover>,
    holder: ReplicaHolder,
    /// The number of recorded changes and of committed ones; `uncommitted` maps each change in between to
    /// its stream and sequence number.
    recorded: u64,
    committed: u64,
    uncommitted: VecDeque<(u64, StreamId, u64)>,
    /// Set while there is no lease: the calls that other members may know, recorded before the lease was
    /// lost.
    shared_before_lease_loss: Option<BTreeSet<Call>>,
    placed_at: Option<Millis>,
    avoided: BTreeMap<String, Millis>,
    releases: BTreeMap<Call, ReleaseEntry>,
    release_order: VecDeque<Call>,
    unannounced: Vec<Call>,
    /// Calls whose releases were acknowledged, by stream, until the replica holders are notified.
    acknowledged: BTreeMap<StreamId, Vec<Call>>,
    /// Releases received here of calls whose end a peer has announced, and when they were received.
    delegated: BTreeMap<Call, (PeerProcess, Millis)>,
    announcements: VecDeque<Announcement>,
    /// Requests of other members that this member's process has not answered yet.
    peer_requests: VecDeque<PeerRequest>,
    handovers: Vec<Handover>,
    /// The owner of this member's previous stream.
    successor: Option<Successor>,
    settling: BTreeMap<StreamId, Millis>,
    settled: Vec<StreamId>,
    /// The members that were alive at the last tick, and the incarnations of their processes.
    peers: Vec<String>,
    boots: BTreeMap<String, u64>,
    is_degraded: bool,
    last_message_id: u64,
    stats: ReplicationStats,
    events: VecDeque<ReplicationEvent>,
    outbox: Vec<(String, Message)>,
}

impl Member {
    /// Creates a member. `boot` identifies this incarnation of the process to other members, and names the
    /// first stream.
    pub fn new(name: &str, zone: &str, boot: u64, policy: ReplicationPolicy) -> Self {
        Member {
            name: name.into(),
            zone: zone.into(),
            boot,
            policy,
            own: Primary::new(StreamId(boot), policy),
            taken_over: BTreeMap::new(),
            stream_by_call: BTreeMap::new(),
            failovers: BTreeMap::new(),
            holder: ReplicaHolder::default(),
            recorded: 0,
            committed: 0,
            uncommitted: VecDeque::new(),
            shared_before_lease_loss: Some(BTreeSet::new()),
            placed_at: None,
            avoided: BTreeMap::new(),
            releases: BTreeMap::new(),
            release_order: VecDeque::new(),
            unannounced: Vec::new(),
            acknowledged: BTreeMap::new(),
            delegated: BTreeMap::new(),
            announcements: VecDeque::new(),
            peer_requests: VecDeque::new(),
            handovers: Vec::new(),
            successor: None,
            settling: BTreeMap::new(),
            settled: Vec::new(),
            peers: Vec::new(),
            boots: BTreeMap::new(),
            is_degraded: policy.required_acks > 0,
            last_message_id: 0,
            stats: ReplicationStats::default(),
            events: VecDeque::new(),
            outbox: Vec::new(),
        }
    }

    pub fn next_event(&mut self) -> Option<ReplicationEvent> {
        self.events.pop_front()
    }

    /// Takes the messages to send, each with the name of its recipient.
    pub fn take_messages(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.outbox)
    }

    pub fn stats(&self) -> ReplicationStats {
        let taken_over = || self.taken_over.values();
        ReplicationStats {
            own_records: self.own.records().len() as u64,
            taken_over_records: taken_over().map(|primary| primary.records().len() as u64).sum(),
            under_replicated: taken_over()
                .chain([&self.own])
                .map(|primary| primary.under_replicated() as u64)
                .sum(),
            holders: self.own.holders().count() as u64,
            replica_streams: self.holder.replicas().count() as u64,
            replica_records: self.holder.record_count() as u64,
            ..self.stats
        }
    }

    pub fn holder(&self) -> &ReplicaHolder {
        &self.holder
    }

    /// The member's own stream and the streams that it has taken over.
    pub fn primaries(&self) -> impl Iterator<Item = &Primary> {
        [&self.own].into_iter().chain(self.taken_over.values())
    }

    /// Streams that this member owns or is taking over, each with its epoch.
    pub fn owned_streams(&self) -> Vec<(StreamId, u64)> {
        let primaries = self.primaries().map(|primary| (primary.stream(), primary.epoch()));
        primaries.chain(self.failovers.iter().map(|(stream, failover)| (*stream, failover.epoch()))).collect()
    }

    /// Records a change of a call's state; `None` removes the call.
    pub fn record_change(&mut self, call: Call, record: Option<CallRecord>) {
        self.recorded += 1;
        let stream = self.stream_by_call.get(&call).copied();
        let primary = match stream.and_then(|stream| self.taken_over.get_mut(&stream)) {
            Some(primary) => primary,
            None => &mut self.own,
        };
        let sequence = primary.record_change(call, record);
        self.uncommitted.push_back((self.recorded, primary.stream(), sequence));
        if record.is_none() {
            self.stream_by_call.remove(&call);
        }
        if self.uncommitted.len() > MAX_UNCOMMITTED_CHANGES {
            self.uncommitted.pop_front();
            self.stats.uncommitted_overflows += 1;
        }
    }

    /// Replaces all records after some changes were lost on the way. Counts as one change.
    pub fn replace_all(&mut self, records: BTreeMap<Call, CallRecord>) {
        self.recorded += 1;
        let removed: Vec<Call> =
            self.stream_by_call.keys().filter(|call| !records.contains_key(call)).copied().collect();
        for call in removed {
            if let Some(primary) =
                self.stream_by_call.remove(&call).and_then(|stream| self.taken_over.get_mut(&stream))
            {
                primary.record_change(call, None);
            }
        }
        let (routed, own): (BTreeMap<_, _>, BTreeMap<_, _>) =
            records.into_iter().partition(|(call, _)| self.stream_by_call.contains_key(call));
        for (call, record) in routed {
            let primary = self.stream_by_call.get(&call).and_then(|stream| self.taken_over.get_mut(stream));
            if let Some(primary) = primary {
                primary.record_change(call, Some(record));
            }
        }
        let sequence = self.own.replace_all(own);
        self.uncommitted.push_back((self.recorded, self.own.stream(), sequence));
    }

    /// Handles a message of another member, sent by its incarnation `boot`.
    pub fn handle_message(&mut self, now: Millis, from: &str, boot: u64, message: Message) {
        match message {
            Message::Ack { .. } | Message::CapacityExceeded { .. } => {
                self.forward_to_primaries(now, from, boot, &message);
            }
            Message::Fenced { .. } | Message::Fetched { .. } => {
                self.forward_to_primaries(now, from, boot, &message);
                self.failovers
                    .values_mut()
                    .for_each(|failover| failover.handle_message(from, message.clone()));
            }
            Message::CallsEnded { id: NO_ACK_ID, calls } => {
                for call in &calls {
                    self.record_release(
                        *call,
                        ReleaseEntry { updated_at: now, status: ReleaseStatus::DeliveredByPeer },
                    );
                    self.delegated.remove(call);
                }
                self.events.push_back(ReplicationEvent::ReleaseDelivered(calls));
            }
            Message::ReleasesAcknowledged { calls } => self.apply_acknowledged(now, calls),
            Message::CallsEnded { id, calls } => {
                self.answer_for_acknowledged(from, &calls);
                for call in &calls {
                    let status = ReleaseStatus::AnnouncedBy(PeerProcess { name: from.into(), boot });
                    self.record_release(*call, ReleaseEntry { updated_at: now, status });
                }
                let precedence =
                    if from < self.name.as_str() { Precedence::Theirs } else { Precedence::Ours };
                self.events.push_back(ReplicationEvent::EndedElsewhere(calls, precedence));
                self.queue_peer_request(PeerRequest { from: from.into(), id });
            }
            Message::CallsEndedAck { id } => {
                for announcement in self.announcements.iter_mut().filter(|announcement| announcement.id == id)
                {
                    announcement.awaiting.remove(from);
                }
                self.finish_announcements();
            }
            Message::Handover { id, stream, epoch, changes } => {
                self.apply_handover(from, id, stream, epoch, changes);
            }
            Message::HandoverAck { id } => {
                let (acknowledged, open): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut self.handovers).into_iter().partition(|handover| handover.id == id);
                self.handovers = open;
                for handover in acknowledged.into_iter().filter(|handover| handover.relinquished) {
                    let calls = handover.changes.into_iter().map(|(call, _)| call).collect();
                    self.events.push_back(ReplicationEvent::Relinquished(calls));
                }
            }
            message => {
                if let Some(answer) = self.holder.handle_message(now, from, boot, message) {
                    self.outbox.push((from.into(), answer));
                }
            }
        }
        self.advance_commit();
    }

    fn forward_to_primaries(&mut self, now: Millis, from: &str, boot: u64, message: &Message) {
        for primary in [&mut self.own].into_iter().chain(self.taken_over.values_mut()) {
            primary.handle_message(now, from, boot, message.clone());
        }
    }

    fn advance_commit(&mut self) {
        let before = self.committed;
        while let Some((change, stream, sequence)) = self.uncommitted.front().copied() {
            let primary =
                if stream == self.own.stream() { Some(&self.own) } else { self.taken_over.get(&stream) };
            if primary.is_some_and(|primary| primary.committed() < sequence) {
                break;
            }
            self.committed = change;
            self.uncommitted.pop_front();
        }
        if self.committed > before {
            // Consecutive commit events are merged while the process has taken none of them.
            if let Some(ReplicationEvent::Committed(committed)) = self.events.back_mut() {
                *committed = self.committed;
            } else {
                self.events.push_back(ReplicationEvent::Committed(self.committed));
            }
        }
    }

    /// Sends new changes, between ticks.
    pub fn poll(&mut self, now: Millis) {
        self.send_acknowledged();
        if self.shared_before_lease_loss.is_none() {
            for primary in [&mut self.own].into_iter().chain(self.taken_over.values_mut()) {
                self.outbox.extend(primary.poll(now));
            }
        }
        self.advance_commit();
    }

    /// Applies the cluster's current state and performs everything that is due.
    pub fn tick(&mut self, now: Millis, view: &ClusterView) {
        self.settled.clone_from(&view.settled);
        self.peers = view.peers.iter().map(|peer| peer.name.clone()).collect();
        self.boots = view.peers.iter().map(|peer| (peer.name.clone(), peer.boot)).collect();
        for stream in &view.settled {
            self.holder.close(*stream);
            self.settling.remove(stream);
            if self.taken_over.get(stream).is_some_and(|primary| primary.records().is_empty()) {
                self.taken_over.remove(stream);
            }
        }
        self.apply_stream_owners(now, view);
        self.review_delegated(now);
        self.retransmit(now, view);
        let is_alive = |name: &str, boot: u64| {
            view.peers.iter().any(|peer| (peer.name.as_str(), peer.boot) == (name, boot))
        };
        self.holder.discard_abandoned(is_alive);
        if !view.has_lease {
            // Changes recorded from here on reach no other member.
            if self.shared_before_lease_loss.is_none() {
                let calls = self.primaries().flat_map(|primary| primary.records().keys().copied()).collect();
                self.shared_before_lease_loss = Some(calls);
            }
        } else {
            self.shared_before_lease_loss = None;
            self.advance_failovers(now, view);
            if self.placed_at.is_none_or(|placed_at| now >= placed_at + PLACEMENT_INTERVAL_MS) {
                self.placed_at = Some(now);
                self.place_replicas(now, view);
            }
        }
        let is_degraded = self.shared_before_lease_loss.is_some() && self.policy.required_acks > 0
            || !self.own.has_capacity(now);
        if std::mem::replace(&mut self.is_degraded, is_degraded) != is_degraded {
            self.events.push_back(ReplicationEvent::Degraded(is_degraded));
        }
        self.poll(now);
    }

    /// Gives up the streams that other members own by now, and starts the failover of streams that this
    /// member owns.
    fn apply_stream_owners(&mut self, now: Millis, view: &ClusterView) {
        for owner in &view.stream_owners {
            let StreamOwner { stream, name, boot, epoch } = owner;
            self.holder.fence(*stream, *epoch);
            if *stream == self.own.stream() {
                self.give_up_own_stream(now, owner);
                continue;
            }
            let is_owner = name == &self.name && *boot == self.boot;
            if self.taken_over.get(stream).is_some_and(|primary| !is_owner || primary.epoch() < *epoch) {
                if let Some(primary) = self.taken_over.remove(stream) {
                    self.hand_over(now, &primary, owner);
                    let calls: BTreeSet<Call> = primary.records().keys().copied().collect();
                    self.stream_by_call.retain(|call, _| !calls.contains(call));
                    self.give_up_calls(calls);
                }
            }
            let active_epoch = self.failovers.get(stream).map(Failover::epoch);
            if !is_owner {
                self.failovers.remove(stream);
            } else if !self.taken_over.contains_key(stream)
                && active_epoch.is_none_or(|active| active < *epoch)
            {
                self.begin_failover(now, view, *stream, *epoch);
            }
        }
    }

    /// Gives up this member's own stream to a successor and starts a new one: the cluster has declared this
    /// member lost.
    fn give_up_own_stream(&mut self, now: Millis, by: &StreamOwner) {
        let all_calls = || self.own.records().keys().copied().collect();
        let shared: BTreeSet<Call> = self.shared_before_lease_loss.clone().unwrap_or_else(all_calls);
        let next = StreamId(self.own.stream().0.rotate_left(23) ^ self.boot ^ by.epoch);
        let old = std::mem::replace(&mut self.own, Primary::new(next, self.policy));
        self.successor = Some(self.hand_over(now, &old, by));
        // Calls that no other member could learn of stay in the new stream, and so do releases that are
        // delivered here.
        let stays_local = |call: &Call| !shared.contains(call) || self.is_released_locally(*call);
        let retained: Vec<(Call, CallRecord)> = old
            .records()
            .iter()
            .filter(|(call, _)| stays_local(call))
            .map(|(call, record)| (*call, *record))
            .collect();
        for (call, record) in retained {
            self.own.record_change(call, Some(record));
        }
        self.uncommitted.retain(|(_, stream, _)| *stream != old.stream());
        self.uncommitted.push_back((self.recorded, next, self.own.sequence()));
        self.placed_at = None;
        self.give_up_calls(shared);
    }

    fn give_up_calls(&mut self, calls: BTreeSet<Call>) {
        self.stats.ownership_losses += 1;
        self.events.push_back(ReplicationEvent::OwnershipLost(calls));
    }

    fn begin_failover(&mut self, now: Millis, view: &ClusterView, stream: StreamId, epoch: u64) {
        let own = self.holder.replica(stream).map(|replica| RecoveredStream {
            epoch: replica.epoch(),
            sequence: replica.sequence(),
            records: replica.records().clone(),
        });
        let peers: Vec<String> = view.peers.iter().map(|peer| peer.name.clone()).collect();
        self.failovers.insert(stream, Failover::new(now, stream, epoch, own, &peers));
        self.stats.failovers += 1;
    }

    fn advance_failovers(&mut self, now: Millis, view: &ClusterView) {
        for failover in self.failovers.values_mut() {
            failover.retain_alive(|name| view.peers.iter().any(|peer| peer.name == name));
            self.outbox.extend(failover.poll(now));
        }
        let ready = |(stream, failover): (&StreamId, &Failover)| {
            failover.recovered(now).map(|recovered| (*stream, failover.epoch(), recovered))
        };
        let ready: Vec<_> = self.failovers.iter().filter_map(ready).collect();
        for (stream, epoch, recovered) in ready {
            self.failovers.remove(&stream);
            let RecoveredStream { sequence, records, .. } = recovered;
            let mut primary = Primary::resume(stream, epoch, self.policy, sequence, records.clone());
            let (ended, taken_over): (Vec<_>, Vec<_>) =
                records.into_iter().partition(|(call, record)| self.is_ended_elsewhere(*call, Some(*record)));
            for (call, _) in ended {
                primary.record_change(call, None);
            }
            self.stream_by_call.extend(taken_over.iter().map(|(call, _)| (*call, stream)));
            self.taken_over.insert(stream, primary);
            self.events.push_back(ReplicationEvent::TakenOver(taken_over));
            self.placed_at = None;
        }
        // Repeated until the consensus group has settled the stream.
        for (stream, primary) in &self.taken_over {
            if primary.records().is_empty() {
                self.settling.entry(*stream).or_insert(0);
            }
        }
        let is_open = |stream: &StreamId| view.stream_owners.iter().any(|owner| owner.stream == *stream);
        self.settling.retain(|stream, _| is_open(stream));
    }

    /// Finished streams that the consensus group has to settle, each with its epoch.
    pub fn streams_to_settle(&mut self, now: Millis) -> Vec<(StreamId, u64)> {
        let mut due = Vec::new();
        for (stream, sent_at) in &mut self.settling {
            let primary = self.taken_over.get(stream).filter(|primary| primary.records().is_empty());
            if let Some(primary) =
                primary.filter(|_| *sent_at == 0 || now >= *sent_at + SETTLE_RETRY_INTERVAL_MS)
            {
                *sent_at = now.max(1);
                due.push((*stream, primary.epoch()));
            }
        }
        due
    }

    fn place_replicas(&mut self, now: Millis, view: &ClusterView) {
        self.avoided.retain(|_, until| now < *until);
        for primary in [&self.own].into_iter().chain(self.taken_over.values()) {
            self.avoided
                .extend(primary.lagging(now).map(|name| (name.to_string(), now + LAGGING_HOLDER_BACKOFF_MS)));
        }
        let pick = |accepts: &dyn Fn(&PeerMember) -> bool| -> Vec<Candidate> {
            let accepted = view.peers.iter().filter(|peer| accepts(peer));
            accepted
                .map(|peer| Candidate { name: &peer.name, zone: &peer.zone, weight: 1.0, load: 0 })
                .collect()
        };
        let preferred = pick(&|peer| peer.is_serving && !self.avoided.contains_key(&peer.name));
        let candidates = if preferred.len() >= self.policy.replicas { preferred } else { pick(&|_| true) };
        let boot = |name: &str| view.peers.iter().find(|peer| peer.name == name).map_or(0, |peer| peer.boot);
        for primary in [&mut self.own].into_iter().chain(self.taken_over.values_mut()) {
            let chosen = select_holders(primary.stream().0, &self.zone, &candidates, self.policy.replicas);
            let chosen: Vec<(String, u64)> =
                chosen.into_iter().map(|name| (name.to_string(), boot(name))).collect();
            primary.set_holders(now, &chosen);
        }
    }

    /// Sends announcements and handovers, and repeats them until they are acknowledged.
    fn retransmit(&mut self, now: Millis, view: &ClusterView) {
        let calls = std::mem::take(&mut self.unannounced);
        for calls in calls.chunks(MAX_CALLS_PER_MESSAGE) {
            self.last_message_id += 1;
            let awaiting = view.peers.iter().map(|peer| peer.name.clone()).collect();
            let (id, expires_at) = (self.last_message_id, now + REQUEST_TIMEOUT_MS);
            self.announcements.push_back(Announcement {
                id,
                calls: calls.to_vec(),
                awaiting,
                sent_at: None,
                expires_at,
            });
        }
        self.announcements.drain(..self.announcements.len().saturating_sub(MAX_ANNOUNCEMENTS));
        self.announcements.retain(|announcement| now < announcement.expires_at);
        for announcement in &mut self.announcements {
            // A lost member's acknowledgement is not awaited.
            announcement.awaiting.retain(|name| view.peers.iter().any(|peer| peer.name == *name));
        }
        self.finish_announcements();
        let is_due =
            |sent_at: Option<Millis>| sent_at.is_none_or(|sent_at| now >= sent_at + RETRANSMIT_INTERVAL_MS);
        for announcement in self.announcements.iter_mut().filter(|announcement| is_due(announcement.sent_at))
        {
            announcement.sent_at = Some(now);
            for to in &announcement.awaiting {
                let message = Message::CallsEnded { id: announcement.id, calls: announcement.calls.clone() };
                self.outbox.push((to.clone(), message));
            }
        }
        self.expire_handovers(now);
        for handover in self.handovers.iter_mut().filter(|handover| is_due(handover.sent_at)) {
            handover.sent_at = Some(now);
            let Handover { id, to, changes, .. } = handover;
            let Successor { name, stream, epoch } = to.clone();
            let message = Message::Handover { id: *id, stream, epoch, changes: changes.clone() };
            self.outbox.push((name, message));
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }
}
