//! One member's part in copies: what it writes, what it holds, what it takes over, and what it says.
//!
//! Its process notes what it promises ([`Member::note`]) and is told [`ReplicationEvent`]. Nothing is written, and
//! nothing taken over, without a lease: whoever sleeps or is cut off finds out first whether it was
//! succeeded.

mod handover;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use handover::{Handover, PeerProcess, ReleaseEntry, ReleaseStatus, Successor};

use crate::failover::{Failover, RecoveredStream};
use crate::holder::ReplicaHolder;
use crate::messages::Message;
use crate::placement::{select_holders, Candidate};
use crate::primary::{Primary, ReplicationPolicy};
use crate::{Call, CallRecord, Change, Millis, StreamId};

/// Who holds what is looked at so often.
const PLACEMENT_INTERVAL_MS: Millis = 500;
/// A holder that was slow is not chosen again for so long.
const LAGGING_HOLDER_BACKOFF_MS: Millis = 10_000;
/// Notes that wait to be committed, at most. Past that the oldest id as committed, and as uncommitted_overflows.
const MAX_UNCOMMITTED_CHANGES: usize = 65_536;
/// Calls that are over elsewhere are remembered for so long, and so many of them.
const RELEASE_RETENTION_MS: Millis = 60_000;
const MAX_RETAINED_RELEASES: usize = 100_000;
/// Words that are owed an answer are said again after this, and given up after that.
const RETRANSMIT_INTERVAL_MS: Millis = 300;
const REQUEST_TIMEOUT_MS: Millis = 10_000;
/// Calls of one such message, and outbox of that kind at once.
const MAX_CALLS_PER_MESSAGE: usize = 512;
const MAX_ANNOUNCEMENTS: usize = 256;
/// Questions of peers that wait for their answers, at most.
const MAX_PEER_REQUESTS: usize = 1_024;
/// The sequence of a message that answers another and is not confirmed itself.
const NO_ACK_ID: u64 = 0;
/// A release is left to a member that has announced it and is there after this: a lost one is known by then.
const DELEGATION_TIMEOUT_MS: Millis = 5_000;
/// A stream that is over is put into the log so often until it is there.
const SETTLE_RETRY_INTERVAL_MS: Millis = 1_000;

/// Another member that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMember {
    pub name: String,
    pub zone: String,
    pub boot: u64,
    /// It takes calls, and is not about to go.
    pub is_serving: bool,
}

/// Who writes a stream by the log, since its first primary was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOwner {
    pub stream: StreamId,
    pub name: String,
    pub boot: u64,
    pub epoch: u64,
}

/// What is known of the fleet.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Whether this member's lease holds.
    pub has_lease: bool,
    pub peers: Vec<PeerMember>,
    pub stream_owners: Vec<StreamOwner>,
    pub settled: Vec<StreamId>,
}

/// What the process is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationEvent {
    /// Enough peers hold the first so many of its notes.
    Committed(u64),
    /// It keeps these promises from now on, of peers that are lost.
    TakenOver(Vec<(Call, CallRecord)>),
    /// What such a one says, that only slept, of what it did last.
    LateChanges(Vec<Change>),
    /// Another keeps what was promised of these calls.
    OwnershipLost(BTreeSet<Call>),
    /// Others have seen to the end of these calls, or are about to.
    EndedElsewhere(Vec<Call>, Precedence),
    /// All that precedes this was carried out: to be answered with [`Member::confirm`].
    Barrier(PeerRequest),
    /// All peer members have said of these calls, which they were told are over, what they had to say.
    AllNotified(Vec<Call>),
    /// PeerMember members, which are there, have announced the end of these calls, and see to it.
    DelegatedToPeer(Vec<Call>),
    /// Others have told the callers of these calls that they are over.
    ReleaseDelivered(Vec<Call>),
    /// Of calls that were relinquished: the successor has told their callers nothing, and never will.
    Relinquished(Vec<Call>),
    /// Whether too few peers can take copies.
    Degraded(bool),
}

/// A message of another member that is confirmed once this member's process has answered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    pub from: String,
    pub id: u64,
}

/// Which of two members gives a release that both are about to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    Ours,
    Theirs,
}

/// ReplicationStats of one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicationStats {
    /// Records of this member's own, and those it has taken over.
    pub own_records: u64,
    pub taken_over_records: u64,
    /// Of these, how many fewer than `copies` peers hold; and peers that hold its own.
    pub under_replicated: u64,
    pub holders: u64,
    /// What it holds of peers.
    pub replica_streams: u64,
    pub replica_records: u64,
    /// Successions it has begun, and times that it gave something up to another.
    pub failovers: u64,
    pub ownership_losses: u64,
    /// Notes that counted as committed without being so.
    pub uncommitted_overflows: u64,
}

#[derive(Debug)]
struct Announcement {
    id: u64,
    calls: Vec<Call>,
    awaiting: BTreeSet<String>,
    sent_at: Option<Millis>,
    expires_at: Millis,
}

#[derive(Debug)]
pub struct Member {
    name: String,
    zone: String,
    boot: u64,
    policy: ReplicationPolicy,
    own: Primary,
    taken_over: BTreeMap<StreamId, Primary>,
    /// Calls that were taken over, by their streams.
    routed: BTreeMap<Call, StreamId>,
    failovers: BTreeMap<StreamId, Failover>,
    holder: ReplicaHolder,
    /// Notes so far, and those that are committed; in between, which change of which stream each was.
    recorded: u64,
    committed: u64,
    uncommitted: VecDeque<(u64, StreamId, u64)>,
    /// Without a lease: the calls that peers may know of from before.
    shared_before_lease_loss: Option<BTreeSet<Call>>,
    placed_at: Option<Millis>,
    avoided: BTreeMap<String, Millis>,
    releases: BTreeMap<Call, ReleaseEntry>,
    release_order: VecDeque<Call>,
    unannounced: Vec<Call>,
    /// Calls whose releases were acknowledged, by their streams, until the replicas are told.
    acknowledged: BTreeMap<StreamId, Vec<Call>>,
    /// Releases that came here too, of calls whose end another member has announced; since when.
    delegated: BTreeMap<Call, (PeerProcess, Millis)>,
    announcements: VecDeque<Announcement>,
    /// Questions of peer members that this member's process has not answered yet.
    peer_requests: VecDeque<PeerRequest>,
    handovers: Vec<Handover>,
    /// Of this member's own stream of before.
    successor: Option<Successor>,
    settling: BTreeMap<StreamId, Millis>,
    settled: Vec<StreamId>,
    /// Members that were alive at the last tick, and the starts of their programs.
    peers: Vec<String>,
    boots: BTreeMap<String, u64>,
    is_degraded: bool,
    last_message_id: u64,
    stats: ReplicationStats,
    events: VecDeque<ReplicationEvent>,
    outbox: Vec<(String, Message)>,
}

impl Member {
    /// `boot`: of this start of the program, as peers know it.
    pub fn new(name: &str, zone: &str, boot: u64, policy: ReplicationPolicy) -> Self {
        Member {
            name: name.into(),
            zone: zone.into(),
            boot,
            policy,
            own: Primary::new(StreamId(boot), policy),
            taken_over: BTreeMap::new(),
            routed: BTreeMap::new(),
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

    /// What is to be said, and to whom.
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

    /// The streams of this member's own and those it has taken over, with the names of those that hold them.
    pub fn primaries(&self) -> impl Iterator<Item = &Primary> {
        [&self.own].into_iter().chain(self.taken_over.values())
    }

    /// What it writes by which epoch, and is about to.
    pub fn owned_streams(&self) -> Vec<(StreamId, u64)> {
        let primaries = self.primaries().map(|primary| (primary.stream(), primary.epoch()));
        primaries.chain(self.failovers.iter().map(|(stream, failover)| (*stream, failover.epoch()))).collect()
    }

    /// The process promises something else of a call, or nothing any more.
    pub fn record_change(&mut self, call: Call, record: Option<CallRecord>) {
        self.recorded += 1;
        let stream = self.routed.get(&call).copied();
        let primary = match stream.and_then(|stream| self.taken_over.get_mut(&stream)) {
            Some(primary) => primary,
            None => &mut self.own,
        };
        let sequence = primary.record_change(call, record);
        self.uncommitted.push_back((self.recorded, primary.stream(), sequence));
        if record.is_none() {
            self.routed.remove(&call);
        }
        if self.uncommitted.len() > MAX_UNCOMMITTED_CHANGES {
            self.uncommitted.pop_front();
            self.stats.uncommitted_overflows += 1;
        }
    }

    /// Some notes were lost on the way; this is all that the process promises. It counts as one note.
    pub fn replace_all(&mut self, records: BTreeMap<Call, CallRecord>) {
        self.recorded += 1;
        let removed: Vec<Call> =
            self.routed.keys().filter(|call| !records.contains_key(call)).copied().collect();
        for call in removed {
            if let Some(primary) =
                self.routed.remove(&call).and_then(|stream| self.taken_over.get_mut(&stream))
            {
                primary.record_change(call, None);
            }
        }
        let (routed, own): (BTreeMap<_, _>, BTreeMap<_, _>) =
            records.into_iter().partition(|(call, _)| self.routed.contains_key(call));
        for (call, record) in routed {
            let primary = self.routed.get(&call).and_then(|stream| self.taken_over.get_mut(stream));
            if let Some(primary) = primary {
                primary.record_change(call, Some(record));
            }
        }
        let sequence = self.own.replace(own);
        self.uncommitted.push_back((self.recorded, self.own.stream(), sequence));
    }

    /// A message of another member, in its start `boot`.
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
            // One message for many, where nobody has asked meanwhile.
            if let Some(ReplicationEvent::Committed(committed)) = self.events.back_mut() {
                *committed = self.committed;
            } else {
                self.events.push_back(ReplicationEvent::Committed(self.committed));
            }
        }
    }

    /// Says what is new, between ticks.
    pub fn poll(&mut self, now: Millis) {
        self.send_acknowledged();
        if self.shared_before_lease_loss.is_none() {
            for primary in [&mut self.own].into_iter().chain(self.taken_over.values_mut()) {
                self.outbox.extend(primary.poll(now));
            }
        }
        self.advance_commit();
    }

    /// Time has passed, and the fleet is so.
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
        self.holder.sweep(is_alive);
        if !view.has_lease {
            // What is new from now on nobody else hears of.
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

    /// What peers write by now is written here no more; what is this member's to write is taken over.
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
                    self.routed.retain(|call, _| !calls.contains(call));
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

    /// This member's own stream has a successor: it was taken for lost.
    fn give_up_own_stream(&mut self, now: Millis, by: &StreamOwner) {
        let all_calls = || self.own.records().keys().copied().collect();
        let shared: BTreeSet<Call> = self.shared_before_lease_loss.clone().unwrap_or_else(all_calls);
        let next = StreamId(self.own.stream().0.rotate_left(23) ^ self.boot ^ by.epoch);
        let old = std::mem::replace(&mut self.own, Primary::new(next, self.policy));
        self.successor = Some(self.hand_over(now, &old, by));
        // What came since nobody else could hear of it goes on here, and releases that are given here.
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
            self.routed.extend(taken_over.iter().map(|(call, _)| (*call, stream)));
            self.taken_over.insert(stream, primary);
            self.events.push_back(ReplicationEvent::TakenOver(taken_over));
            self.placed_at = None;
        }
        // Said until it is in the log.
        for (stream, primary) in &self.taken_over {
            if primary.records().is_empty() {
                self.settling.entry(*stream).or_insert(0);
            }
        }
        let is_open = |stream: &StreamId| view.stream_owners.iter().any(|owner| owner.stream == *stream);
        self.settling.retain(|stream, _| is_open(stream));
    }

    /// Streams of which all is kept, to be put into the log, each with its epoch.
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

    /// What is said until it is heard.
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
            // Nobody waits for the message of a member that is lost.
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
