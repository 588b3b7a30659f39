//! The owner's part in replication: effects that wait until replicas are stored, effects that are withheld
//! while another member may have taken over the calls, and calls whose owner changes.

use std::collections::BTreeSet;

use steprelay_copies::member::{Precedence, ReplicationEvent};
use steprelay_core::{CallState, ClientId, Effect, Verdict};
use steprelay_decisions::{CallId, Micros};

use super::Owner;
use crate::net::copies::{ReplicationGate, UncertainCalls, UndeliveredAnswers};
use crate::ports::copies;
use crate::ports::ToServer;
use crate::trace;

impl Owner {
    /// Checks, before the next message, whether another member may have taken over.
    pub(super) fn check_ownership(&mut self, now: Micros) {
        let Some(replication) = &mut self.replication else { return };
        match (replication.is_ownership_uncertain(), replication.has_uncertain_calls()) {
            (true, false) => {
                let mut uncertain = UncertainCalls::default();
                for (call, promise) in self.core.call_states() {
                    let calls = match promise {
                        CallState::AttemptPending(_) => &mut uncertain.pending,
                        CallState::Established(_) | CallState::ReleasePending(..) => &mut uncertain.answered,
                    };
                    calls.insert(call);
                }
                replication.begin_uncertainty(uncertain);
                self.core.set_ownership_uncertain(now, true);
            }
            (false, true) => {
                let (in_time, unanswered) = replication.end_uncertainty(now);
                self.core.set_ownership_uncertain(now, false);
                in_time.into_iter().for_each(|effect| self.execute(now, effect));
                self.resolve_undelivered(now, unanswered);
            }
            _ => {}
        }
    }

    /// Carries out the effects whose call states are replicated by now, and those that can wait no longer.
    pub(super) fn process_replication(&mut self) {
        let now = self.shared.clock.now();
        self.check_ownership(now);
        let Some(replication) = &mut self.replication else { return };
        if replication.needs_full_update() {
            replication.send_full_update(self.core.call_states().collect());
        }
        let expired = replication.take_expired_answers(now);
        let (effects, confirmed) = replication.take_due(now);
        self.fail_answers(now, expired);
        effects.into_iter().for_each(|effect| self.execute(now, effect));
        for (link, call) in confirmed {
            if self.links.is_current(link) {
                let _ = self.links.post(link.server, ToServer::ConfirmRelease(call), now);
            }
        }
    }

    /// Returns whether a release may be sent; an answer that waits for the same call is sent first.
    pub(super) fn may_release(&mut self, now: Micros, client: ClientId, call: CallId) -> bool {
        if self.withdraw_uncertain_answer(now, call) || self.core.withhold_release(now, client, call) {
            return false;
        }
        self.replication.iter_mut().for_each(ReplicationGate::release_sent);
        let first = self.replication.as_mut().and_then(|replication| replication.take_answer(call));
        first.into_iter().for_each(|effect| self.execute(now, effect));
        true
    }

    /// Announces to all members that this one handles the end of a call.
    pub(super) fn announce_release(&mut self, now: Micros, call: CallId) {
        self.replication.iter_mut().for_each(|replication| replication.record_announcement(call));
        self.withdraw_uncertain_answer(now, call);
    }

    /// Handles the end of a call. Where its answer is withheld, its caller gets neither the answer nor the
    /// release, but a failure; returns whether that is so.
    fn withdraw_uncertain_answer(&mut self, now: Micros, call: CallId) -> bool {
        let expired =
            self.replication.as_mut().is_some_and(|replication| replication.expire_uncertain_answer(call));
        if expired {
            self.core.withdraw_answer(now, call);
        }
        expired
    }

    /// Reports calls as failed whose answers were not sent and never will be.
    pub(super) fn fail_answers(&mut self, now: Micros, answers: Vec<Effect>) {
        for effect in answers {
            if let Effect::Answer { client, call, .. } = effect {
                self.execute(now, Effect::FinalAnswer { client, call, verdict: Verdict::Failed });
                self.core.withdraw_answer(now, call);
            }
        }
    }

    /// Handles the loss of calls to a successor. A caller that was told nothing yet is told that its call
    /// failed: at once, or when the successor has reported that it told the caller nothing either.
    pub(super) fn relinquish_calls(&mut self, now: Micros, calls: &BTreeSet<CallId>) {
        let queued = self.core.take_back_answers(calls);
        let Some(replication) = &mut self.replication else { return };
        let unanswered = replication.ownership_lost(calls, queued);
        for effect in &unanswered.fail {
            if let (Effect::Answer { call, .. }, Some(replication)) = (effect, &mut self.replication) {
                // Its last recorded state is handed over, too.
                replication.record_announcement(*call);
            }
        }
        self.resolve_undelivered(now, unanswered);
        self.core.relinquish(now, calls);
    }

    /// Handles answers that are never sent: their callers are told that the call failed, or the successor
    /// that may have told them something is asked first.
    fn resolve_undelivered(&mut self, now: Micros, unanswered: UndeliveredAnswers) {
        for call in unanswered.ask {
            trace::replicated(call, "is not answered until its successor says whether it was ended");
            self.core.withdraw_answer(now, call);
        }
        self.fail_answers(now, unanswered.fail);
    }

    pub(super) fn handle_replication_event(&mut self, now: Micros, event: ReplicationEvent) {
        match event {
            ReplicationEvent::Committed(replicated) => {
                if let Some(replication) = &mut self.replication {
                    replication.set_replicated(replicated);
                }
            }
            ReplicationEvent::TakenOver(records) => {
                for (call, record) in records {
                    trace::replicated(copies::call_id(call), format_args!("adopted as {record:?}"));
                    self.core.take_over(now, copies::call_id(call), copies::call_state(record));
                }
                for server in self.links.unreachable() {
                    self.core.taken_over_at_unreachable(now, server);
                }
            }
            ReplicationEvent::LateChanges(changes) => {
                for (call, record) in changes {
                    trace::replicated(copies::call_id(call), format_args!("handed over as {record:?}"));
                    self.core.apply_handover(now, copies::call_id(call), record.map(copies::call_state));
                }
            }
            ReplicationEvent::OwnershipLost(calls) => {
                let calls: BTreeSet<CallId> = calls.into_iter().map(copies::call_id).collect();
                calls.iter().for_each(|call| trace::replicated(*call, "given up to a successor"));
                self.relinquish_calls(now, &calls);
            }
            ReplicationEvent::Relinquished(calls) => {
                let calls: Vec<CallId> = calls.into_iter().map(copies::call_id).collect();
                let answers = self
                    .replication
                    .as_mut()
                    .map(|replication| replication.take_relinquished(&calls))
                    .unwrap_or_default();
                self.fail_answers(now, answers);
            }
            ReplicationEvent::EndedElsewhere(calls, precedence) => {
                for call in calls.into_iter().map(copies::call_id) {
                    trace::replicated(call, "over, as another member says");
                    self.replication.iter_mut().for_each(|replication| replication.ended_elsewhere(call));
                    if precedence == Precedence::Theirs {
                        self.core.yield_release(call);
                    }
                    self.core.ended_elsewhere(now, call);
                }
            }
            ReplicationEvent::Barrier(barrier) => {
                if let Some(replication) = &mut self.replication {
                    replication.add_barrier(barrier);
                }
            }
            ReplicationEvent::AllNotified(calls) => {
                for call in calls.into_iter().map(copies::call_id) {
                    trace::replicated(call, "all members were told, and have answered");
                    self.core.deliver_unclaimed(now, call);
                }
            }
            ReplicationEvent::DelegatedToPeer(calls) => {
                for call in calls.into_iter().map(copies::call_id) {
                    trace::replicated(call, "left to the member that has announced it");
                    self.core.yield_release(call);
                }
            }
            ReplicationEvent::ReleaseDelivered(calls) => {
                for call in calls.into_iter().map(copies::call_id) {
                    trace::replicated(call, "over, as the member that told its caller says");
                    self.replication.iter_mut().for_each(|replication| replication.ended_elsewhere(call));
                    self.core.delivered_elsewhere(now, call);
                }
            }
            ReplicationEvent::Degraded(degraded) => {
                let refuse =
                    self.replication.as_mut().is_some_and(|replication| replication.set_degraded(degraded));
                self.core.refuse_unreplicated(refuse);
            }
        }
    }
}
