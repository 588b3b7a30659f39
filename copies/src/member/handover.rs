//! Handover of calls between members: what a superseded primary sends its successor, and which of the two
//! tells callers that their calls are released.

use std::collections::BTreeSet;

use super::{
    Announcement, Member, PeerRequest, ReplicationEvent, StreamOwner, DELEGATION_TIMEOUT_MS,
    MAX_CALLS_PER_MESSAGE, MAX_PEER_REQUESTS, MAX_RETAINED_RELEASES, NO_ACK_ID, RELEASE_RETENTION_MS,
    REQUEST_TIMEOUT_MS,
};
use crate::messages::Message;
use crate::primary::Primary;
use crate::{Call, CallRecord, Change, Millis, StreamId};

/// Changes for a successor, sent again until the successor acknowledges them.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) id: u64,
    pub(super) to: Successor,
    pub(super) changes: Vec<Change>,
    /// These calls were relinquished: the process waits for the confirmation that the successor has dropped
    /// them.
    pub(super) relinquished: bool,
    pub(super) sent_at: Option<Millis>,
    pub(super) expires_at: Millis,
}

/// The member that owns a stream after the cluster declared the stream's primary lost.
#[derive(Clone, Debug)]
pub(super) struct Successor {
    pub(super) name: String,
    pub(super) stream: StreamId,
    pub(super) epoch: u64,
}

/// Which member delivers a call's release to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReleaseStatus {
    /// This member's process has told the caller, or is about to.
    Local,
    /// Another member has announced that it is about to tell the caller.
    AnnouncedBy(PeerProcess),
    /// Another member has told the caller.
    DeliveredByPeer,
    /// The caller has acknowledged the release to another member, of whose stream this member holds a
    /// replica.
    Acknowledged,
}

/// One incarnation of another member's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerProcess {
    pub(super) name: String,
    pub(super) boot: u64,
}

/// The release of a call, and when the entry was last updated.
#[derive(Clone, Debug)]
pub(super) struct ReleaseEntry {
    pub(super) updated_at: Millis,
    pub(super) status: ReleaseStatus,
}

impl Member {
    /// Announces that the process delivers, or is about to deliver, the release of a call that may belong
    /// to another member. All other members learn that the call is ended. If a living member whose name
    /// sorts first has announced the same release before, only that member is asked.
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

    /// Queues a request of another member, which waits until this member's process has handled all events
    /// before it.
    pub(super) fn queue_peer_request(&mut self, request: PeerRequest) {
        if !self.peer_requests.contains(&request) {
            self.peer_requests.push_back(request.clone());
            if self.peer_requests.len() > MAX_PEER_REQUESTS {
                self.peer_requests.pop_front();
            }
        }
        self.events.push_back(ReplicationEvent::Barrier(request));
    }

    /// Acknowledges a request of another member. The process has handled all events before the request, so
    /// its answers are already in the outbox.
    pub fn confirm(&mut self, request: PeerRequest) {
        self.peer_requests.retain(|open| *open != request);
        self.outbox.push((request.from, Message::CallsEndedAck { id: request.id }));
    }

    /// The member that has announced the call's release, if that member is alive.
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

    /// Decides on releases that were delegated to the members that announced them. If the announcing member
    /// is lost, this member delivers the release. If that member stays alive for longer than the detection
    /// of a loss takes, the release is left to it.
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

    /// Reports the calls whose end all other members have acknowledged.
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

    /// Tells other members that the process has told the caller of a release which another member is about
    /// to deliver. The message is sent once only, because the other member waits for it for less time than
    /// a retransmission would take. Members with an open request are told even if they do not count as
    /// alive yet, for example after a suspension.
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
        let stream = self.stream_by_call.get(&call).copied().unwrap_or(self.own.stream());
        self.acknowledged.entry(stream).or_default().push(call);
    }

    /// Tells the holders of each stream which releases were acknowledged.
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

    /// Handles the notice of a held stream's primary that releases were acknowledged. The process is told
    /// of those that it is about to deliver itself.
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

    /// Tells another member, which is about to deliver the releases of these calls, which of them were
    /// already acknowledged, possibly to a member that is lost by now.
    pub(super) fn answer_for_acknowledged(&mut self, from: &str, calls: &[Call]) {
        let calls: Vec<Call> = calls.iter().copied().filter(|call| self.is_acknowledged(*call)).collect();
        if !calls.is_empty() {
            self.outbox.push((from.into(), Message::CallsEnded { id: NO_ACK_ID, calls }));
        }
    }

    fn is_acknowledged(&self, call: Call) -> bool {
        self.releases.get(&call).is_some_and(|entry| entry.status == ReleaseStatus::Acknowledged)
    }

    /// Relinquishes calls that went to the successor of this member's own stream and whose callers were
    /// told nothing here. The successor is asked to drop the calls, and reports which of them it has ended.
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

    /// Whether another member delivers or has delivered the release of a call with this record. A release
    /// that a lost member had announced is undelivered if the lost member's record says that it is still
    /// pending.
    pub(super) fn is_ended_elsewhere(&self, call: Call, record: Option<CallRecord>) -> bool {
        let Some(entry) = self.releases.get(&call) else { return false };
        let is_pending = matches!(record, Some(CallRecord::ReleasePending { .. }));
        match &entry.status {
            ReleaseStatus::AnnouncedBy(announcer) => !is_pending || self.is_alive(announcer),
            // The process knows whether it has told the caller or has since left that to another member.
            ReleaseStatus::Local => !is_pending,
            ReleaseStatus::DeliveredByPeer | ReleaseStatus::Acknowledged => true,
        }
    }

    /// Remembers the release of a call, and forgets the oldest ones beyond the retention bounds.
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
            // Of two members that have announced the same release, the one whose name sorts first delivers
            // it.
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

    /// Handles the last changes of the superseded primary of a stream that this member has taken over.
    /// Changes that arrive before the recovery is complete are ignored; the sender repeats them.
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
        // Sent before the acknowledgement, so that the other member does not end these calls too.
        let dropped = changes.iter().filter(|(_, record)| record.is_none()).map(|(call, _)| *call);
        let calls: Vec<Call> = dropped.filter(|call| self.is_released_locally(*call)).collect();
        if !calls.is_empty() {
            self.outbox.push((from.into(), Message::CallsEnded { id: NO_ACK_ID, calls }));
        }
        let calls = changes.into_iter().filter(|(call, record)| !self.is_ended_elsewhere(*call, *record));
        self.events.push_back(ReplicationEvent::LateChanges(calls.collect()));
        self.outbox.push((from.into(), Message::HandoverAck { id }));
    }

    /// Queues the handover of the last changes of a superseded primary to its successor.
    pub(super) fn hand_over(&mut self, now: Millis, old: &Primary, by: &StreamOwner) -> Successor {
        let shared = self.shared_before_lease_loss.as_ref();
        let is_shared = |call: &Call| shared.is_none_or(|calls| calls.contains(call));
        let changes: Vec<Change> = old.unconfirmed_changes();
        // This member cancels its own pending attempts, and no other member knows the calls that began
        // without a lease.
        let relevant = changes.into_iter().filter(|(call, record)| {
            !matches!(record, Some(CallRecord::AttemptPending { .. }))
                && (record.is_none() || is_shared(call))
        });
        // All members are told of the releases that this member delivers itself.
        let changes: Vec<Change> = relevant.filter(|(call, _)| !self.is_released_locally(*call)).collect();
        let successor = Successor { name: by.name.clone(), stream: old.stream(), epoch: by.epoch };
        for changes in changes.chunks(MAX_CALLS_PER_MESSAGE) {
            self.queue_handover(now, &successor, changes.to_vec(), false);
        }
        successor
    }

    /// Drops handovers that were not acknowledged in time. Relinquished calls stay with the successor then.
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
