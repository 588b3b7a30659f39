//! Calls that change hands: what a member that was succeeded tells its successor, and which of them tells
//! callers that their calls are over.

use std::collections::BTreeSet;

use super::{
    Announcement, Member, PeerRequest, ReplicationEvent, StreamOwner, DELEGATION_TIMEOUT_MS,
    MAX_CALLS_PER_MESSAGE, MAX_PEER_REQUESTS, MAX_RETAINED_RELEASES, NO_ACK_ID, RELEASE_RETENTION_MS,
    REQUEST_TIMEOUT_MS,
};
use crate::messages::Message;
use crate::primary::Primary;
use crate::{Call, CallRecord, Change, Millis, StreamId};

#[derive(Debug)]
pub(super) struct Handover {
    pub(super) id: u64,
    pub(super) to: Successor,
    pub(super) changes: Vec<Change>,
    /// These calls were relinquished: the process waits to be told that they are the successor's no more.
    pub(super) relinquished: bool,
    pub(super) sent_at: Option<Millis>,
    pub(super) expires_at: Millis,
}

/// Who writes a stream after its primary was taken for lost.
#[derive(Clone, Debug)]
pub(super) struct Successor {
    pub(super) name: String,
    pub(super) stream: StreamId,
    pub(super) epoch: u64,
}

/// Who sees to it that a caller hears of the end of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReleaseStatus {
    /// This member's process: it has told the caller, or is about to.
    Local,
    /// Another member was about to.
    AnnouncedBy(PeerProcess),
    /// Another member has told the caller.
    DeliveredByPeer,
    /// The caller has acknowledged it to another member, of which this one holds a replica.
    Acknowledged,
}

/// Another member, in one start of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerProcess {
    pub(super) name: String,
    pub(super) boot: u64,
}

/// The end of a call.
#[derive(Clone, Debug)]
pub(super) struct ReleaseEntry {
    pub(super) updated_at: Millis,
    pub(super) status: ReleaseStatus,
}

impl Member {
    /// The process gives, or is about to give, the release of a call that may be another's: peers must hear
    /// that it is over. Where a member that is there, and whose name comes first, has announced the same
    /// before, that one alone is asked.
    pub fn announce_release(&mut self, now: Millis, call: Call) {
        if self.is_acknowledged(call) {
            return self.events.push_back(ReplicationEvent::ReleaseDelivered(vec![call]));
        }
        let precedes = |announcer: &PeerProcess| announcer.name < self.name;
        if let Some(announcer) = self.living_announcer(call).filter(precedes) {
            self.last_message_id += 1;
            let awaiting = [announcer.name.clone()].into();
            let (id, expires_at) = (self.last_message_id, now + REQUEST_TIMEOUT_MS);
            self.announcements.push_back(Announcement {
                id,
                calls: vec![call],
                awaiting,
                sent_at: None,
                expires_at,
            });
            self.delegated.insert(call, (announcer, now));
        } else if !self.is_released_locally(call) {
            self.record_release(call, ReleaseEntry { updated_at: now, status: ReleaseStatus::Local });
            self.unannounced.push(call);
        }
    }

    /// Another member waits for what the process has to say of calls.
    pub(super) fn queue_peer_request(&mut self, request: PeerRequest) {
        if !self.peer_requests.contains(&request) {
            self.peer_requests.push_back(request.clone());
            if self.peer_requests.len() > MAX_PEER_REQUESTS {
                self.peer_requests.pop_front();
            }
        }
        self.events.push_back(ReplicationEvent::Barrier(request));
    }

    /// The process has carried out all that preceded this request: what it has to say of it is on its way.
    pub fn confirm(&mut self, request: PeerRequest) {
        self.peer_requests.retain(|open| *open != request);
        self.outbox.push((request.from, Message::CallsEndedAck { id: request.id }));
    }

    /// The member that has announced the end of a call, where it is there.
    fn living_announcer(&self, call: Call) -> Option<PeerProcess> {
        match &self.releases.get(&call)?.status {
            ReleaseStatus::AnnouncedBy(announcer) => {
                Some(announcer.clone()).filter(|announcer| self.is_alive(announcer))
            }
            ReleaseStatus::Local | ReleaseStatus::DeliveredByPeer | ReleaseStatus::Acknowledged => None,
        }
    }

    fn is_alive(&self, announcer: &PeerProcess) -> bool {
        self.boots.get(&announcer.name) == Some(&announcer.boot)
    }

    /// Decides on releases that were left to members that had announced them: who is lost gives none, and who
    /// is there for longer than a lost one would be taken for it does.
    pub(super) fn review_delegated(&mut self, now: Millis) {
        for (call, (announcer, since)) in std::mem::take(&mut self.delegated) {
            if !self.is_alive(&announcer) {
                self.announce_release(now, call);
                if !self.delegated.contains_key(&call) {
                    self.events.push_back(ReplicationEvent::AllNotified(vec![call]));
                }
            } else if now >= since + DELEGATION_TIMEOUT_MS {
                self.events.push_back(ReplicationEvent::DelegatedToPeer(vec![call]));
            } else {
                self.delegated.insert(call, (announcer, since));
            }
        }
    }

    /// Tells the process of calls whose end all peers have confirmed.
    pub(super) fn finish_announcements(&mut self) {
        let all = std::mem::take(&mut self.announcements).into_iter();
        let (completed, open): (Vec<Announcement>, Vec<Announcement>) =
            all.partition(|announcement| announcement.awaiting.is_empty());
        self.announcements = open.into();
        for announcement in completed {
            let calls: Vec<Call> =
                announcement.calls.into_iter().filter(|call| !self.delegated.contains_key(call)).collect();
            self.events.push_back(ReplicationEvent::AllNotified(calls));
        }
    }

    /// The process has told the caller of a call that it is over, which another member is about to do: it is
    /// told so once, since it waits for that for less time than a second message would take. Whoever asks is
    /// told also where it is not among the members that are alive yet, as one that has just woken.
    pub fn release_delivered(&mut self, now: Millis, call: Call) {
        self.record_release(call, ReleaseEntry { updated_at: now, status: ReleaseStatus::Local });
        let requesters = self.peer_requests.iter().map(|request| &request.from);
        let recipients: BTreeSet<&String> = self.peers.iter().chain(requesters).collect();
        for to in recipients {
            let message = Message::CallsEnded { id: NO_ACK_ID, calls: vec![call] };
            self.outbox.push((to.clone(), message));
        }
    }

    /// The caller of a call has acknowledged its release.
    pub fn release_acknowledged(&mut self, call: Call) {
        let stream = self.routed.get(&call).copied().unwrap_or(self.own.stream());
        self.acknowledged.entry(stream).or_default().push(call);
    }

    /// Tells those that hold a stream of the calls whose releases were acknowledged.
    pub(super) fn send_acknowledged(&mut self) {
        for (stream, calls) in std::mem::take(&mut self.acknowledged) {
            let primary =
                if stream == self.own.stream() { Some(&self.own) } else { self.taken_over.get(&stream) };
            for holder in primary.into_iter().flat_map(Primary::holders) {
                for calls in calls.chunks(MAX_CALLS_PER_MESSAGE) {
                    let message = Message::ReleasesAcknowledged { calls: calls.to_vec() };
                    self.outbox.push((holder.to_string(), message));
                }
            }
        }
    }

    /// The primary of a stream that is held here says which releases were acknowledged. The process is told of
    /// those that it is about to give itself.
    pub(super) fn apply_acknowledged(&mut self, now: Millis, calls: Vec<Call>) {
        let (own, others): (Vec<Call>, Vec<Call>) = calls
            .into_iter()
            .partition(|call| self.is_released_locally(*call) || self.delegated.contains_key(call));
        for call in own.iter().chain(&others) {
            self.record_release(*call, ReleaseEntry { updated_at: now, status: ReleaseStatus::Acknowledged });
            self.delegated.remove(call);
        }
        if !own.is_empty() {
            self.events.push_back(ReplicationEvent::ReleaseDelivered(own));
        }
    }

    /// Another member is about to give the releases of these calls: it is told which of them were
    /// acknowledged to a member that may be lost by now.
    pub(super) fn answer_for_acknowledged(&mut self, from: &str, calls: &[Call]) {
        let calls: Vec<Call> = calls.iter().copied().filter(|call| self.is_acknowledged(*call)).collect();
        if !calls.is_empty() {
            self.outbox.push((from.into(), Message::CallsEnded { id: NO_ACK_ID, calls }));
        }
    }

    fn is_acknowledged(&self, call: Call) -> bool {
        self.releases.get(&call).is_some_and(|entry| entry.status == ReleaseStatus::Acknowledged)
    }

    /// Calls that were given up to the successor of this member's own stream, and whose callers were told
    /// nothing here: the successor is asked to drop them, and says which of them it has ended.
    pub fn relinquish(&mut self, now: Millis, calls: Vec<Call>) {
        let Some(successor) = self.successor.clone() else {
            return self.events.push_back(ReplicationEvent::Relinquished(calls));
        };
        for calls in calls.chunks(MAX_CALLS_PER_MESSAGE) {
            let changes = calls.iter().map(|call| (*call, None)).collect();
            self.queue_handover(now, &successor, changes, true);
        }
    }

    fn queue_handover(&mut self, now: Millis, to: &Successor, changes: Vec<Change>, relinquished: bool) {
        self.last_message_id += 1;
        let (id, to, expires_at) = (self.last_message_id, to.clone(), now + REQUEST_TIMEOUT_MS);
        self.handovers.push(Handover { id, to, changes, relinquished, sent_at: None, expires_at });
    }

    pub(super) fn is_released_locally(&self, call: Call) -> bool {
        self.releases.get(&call).is_some_and(|entry| entry.status == ReleaseStatus::Local)
    }

    /// Whether the end of a call with this record is another's to tell, or was told. What a member that is
    /// lost was about to tell, and had not told by its own record, it did not tell.
    pub(super) fn is_ended_elsewhere(&self, call: Call, record: Option<CallRecord>) -> bool {
        let Some(entry) = self.releases.get(&call) else { return false };
        let is_pending = matches!(record, Some(CallRecord::ReleasePending { .. }));
        match &entry.status {
            ReleaseStatus::AnnouncedBy(announcer) => !is_pending || self.is_alive(announcer),
            // The process knows whether it has told the caller, or has left that to another since.
            ReleaseStatus::Local => !is_pending,
            ReleaseStatus::DeliveredByPeer | ReleaseStatus::Acknowledged => true,
        }
    }

    pub(super) fn record_release(&mut self, call: Call, entry: ReleaseEntry) {
        let now = entry.updated_at;
        match self.releases.get_mut(&call) {
            None => {
                self.releases.insert(call, entry);
                self.release_order.push_back(call);
            }
            Some(before) if matches!(before.status, ReleaseStatus::Local | ReleaseStatus::Acknowledged) => {
                before.updated_at = now
            }
            Some(before)
                if before.status == ReleaseStatus::DeliveredByPeer
                    && entry.status != ReleaseStatus::Local =>
            {
                before.updated_at = now
            }
            // Of two members that have announced it the one gives it whose name comes first.
            Some(ReleaseEntry { updated_at, status: ReleaseStatus::AnnouncedBy(first) })
                if matches!(&entry.status, ReleaseStatus::AnnouncedBy(next) if first.name < next.name)
                    && self.boots.get(&first.name) == Some(&first.boot) =>
            {
                *updated_at = now;
            }
            Some(before) => *before = entry,
        }
        while let Some(oldest) = self.release_order.front().copied() {
            let is_expired =
                self.releases.get(&oldest).is_none_or(|entry| now > entry.updated_at + RELEASE_RETENTION_MS);
            if !is_expired && self.release_order.len() <= MAX_RETAINED_RELEASES {
                break;
            }
            self.release_order.pop_front();
            self.releases.remove(&oldest);
        }
    }

    /// What the primary of a stream that this member took over recorded last. It says it again until what the
    /// holders had is taken up here.
    pub(super) fn apply_handover(
        &mut self,
        from: &str,
        id: u64,
        stream: StreamId,
        epoch: u64,
        changes: Vec<Change>,
    ) {
        let has_taken_over = self.taken_over.get(&stream).is_some_and(|primary| primary.epoch() == epoch);
        if !has_taken_over && !self.settling.contains_key(&stream) && !self.settled.contains(&stream) {
            return;
        }
        // Ahead of the confirmation, so that the peer one does not end them too.
        let dropped = changes.iter().filter(|(_, record)| record.is_none()).map(|(call, _)| *call);
        let calls: Vec<Call> = dropped.filter(|call| self.is_released_locally(*call)).collect();
        if !calls.is_empty() {
            self.outbox.push((from.into(), Message::CallsEnded { id: NO_ACK_ID, calls }));
        }
        let calls = changes.into_iter().filter(|(call, record)| !self.is_ended_elsewhere(*call, *record));
        self.events.push_back(ReplicationEvent::LateChanges(calls.collect()));
        self.outbox.push((from.into(), Message::HandoverAck { id }));
    }

    pub(super) fn hand_over(&mut self, now: Millis, old: &Primary, by: &StreamOwner) -> Successor {
        let shared = self.shared_before_lease_loss.as_ref();
        let is_shared = |call: &Call| shared.is_none_or(|calls| calls.contains(call));
        let changes: Vec<Change> = old.unconfirmed_changes();
        // An attempt is called off here; and of calls that began without a lease nobody else has heard.
        let relevant = changes.into_iter().filter(|(call, record)| {
            !matches!(record, Some(CallRecord::AttemptPending { .. }))
                && (record.is_none() || is_shared(call))
        });
        // Of what is given here all members are told that it is over.
        let changes: Vec<Change> = relevant.filter(|(call, _)| !self.is_released_locally(*call)).collect();
        let successor = Successor { name: by.name.clone(), stream: old.stream(), epoch: by.epoch };
        for changes in changes.chunks(MAX_CALLS_PER_MESSAGE) {
            self.queue_handover(now, &successor, changes.to_vec(), false);
        }
        successor
    }

    /// What a successor has not confirmed by now stays its own.
    pub(super) fn expire_handovers(&mut self, now: Millis) {
        let (open, expired): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.handovers).into_iter().partition(|handover| now < handover.expires_at);
        self.handovers = open;
        for handover in expired.into_iter().filter(|handover| handover.relinquished) {
            self.events.push_back(ReplicationEvent::ReleaseDelivered(
                handover.changes.into_iter().map(|(call, _)| call).collect(),
            ));
        }
    }
}
