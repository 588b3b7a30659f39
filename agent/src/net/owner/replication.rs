//! The owner's part in replication: what it says once others hold copies, what it keeps back while another
//! member may have taken its calls over, and what it does about calls that change hands.

use std::collections::BTreeSet;

use steprelay_copies::member::{Precedence, ReplicationEvent};
use steprelay_core::{CallState, ClientId, Effect, Verdict};
use steprelay_decisions::{CallId, Micros};

use super::Owner;
use crate::net::copies::{Copies, Doubt, Unanswered};
use crate::ports::copies;
use crate::ports::ToServer;
use crate::trace;

impl Owner {
    /// Finds out before the next word whether another may have taken over.
    pub(super) fn look_at_doubt(&mut self, now: Micros) {
        let Some(copies) = &mut self.copies else { return };
        match (copies.in_doubt(), copies.was_in_doubt()) {
            (true, false) => {
                let mut doubt = Doubt::default();
                for (call, promise) in self.core.call_states() {
                    let calls = match promise {
                        CallState::AttemptPending(_) => &mut doubt.out,
                        CallState::Established(_) | CallState::ReleasePending(..) => &mut doubt.answered,
                    };
                    calls.insert(call);
                }
                copies.doubt_begins(doubt);
                self.core.set_ownership_uncertain(now, true);
            }
            (false, true) => {
                let (in_time, unanswered) = copies.doubt_ends(now);
                self.core.set_ownership_uncertain(now, false);
                in_time.into_iter().for_each(|effect| self.say(now, effect));
                self.leave_unanswered(now, unanswered);
            }
            _ => {}
        }
    }

    /// Lets out what others hold by now, and what can wait no longer.
    pub(super) fn look_at_copies(&mut self) {
        let now = self.shared.clock.now();
        self.look_at_doubt(now);
        let Some(copies) = &mut self.copies else { return };
        if copies.is_behind() {
            copies.all(self.core.call_states().collect());
        }
        let given_up = copies.given_up(now);
        let (effects, heard) = copies.due(now);
        self.give_up(now, given_up);
        effects.into_iter().for_each(|effect| self.say(now, effect));
        for (link, call) in heard {
            if self.links.is_current(link) {
                let _ = self.links.post(link.server, ToServer::Heard(call), now);
            }
        }
    }

    /// A release is about to leave, behind an answer that waits; whether it may.
    pub(super) fn may_release(&mut self, now: Micros, client: ClientId, call: CallId) -> bool {
        if self.withdraws_answer(now, call) || self.core.withhold_release(now, client, call) {
            return false;
        }
        self.copies.iter_mut().for_each(Copies::release_leaves);
        let first = self.copies.as_mut().and_then(|copies| copies.answer_first(call));
        first.into_iter().for_each(|effect| self.say(now, effect));
        true
    }

    /// All members are told that the end of a call is seen to here.
    pub(super) fn pass_on(&mut self, now: Micros, call: CallId) {
        self.copies.iter_mut().for_each(|copies| copies.passed_on(call));
        self.withdraws_answer(now, call);
    }

    /// A call is over. Where its answer is held in doubt its caller hears of neither, but that it failed;
    /// whether it was so.
    fn withdraws_answer(&mut self, now: Micros, call: CallId) -> bool {
        let expired = self.copies.as_mut().is_some_and(|copies| copies.expire_doubted_answer(call));
        if expired {
            self.core.withdraw_answer(now, call);
        }
        expired
    }

    /// Answers that never went out, and never will.
    pub(super) fn give_up(&mut self, now: Micros, answers: Vec<Effect>) {
        for effect in answers {
            if let Effect::Answer { client, call, .. } = effect {
                self.say(now, Effect::FinalAnswer { client, call, verdict: Verdict::Failed });
                self.core.withdraw_answer(now, call);
            }
        }
    }

    /// A successor has taken these calls over. Whose caller was told nothing yet hears that it failed: at
    /// once, or when the successor has said that it told it nothing either.
    pub(super) fn renounce(&mut self, now: Micros, calls: &BTreeSet<CallId>) {
        let queued = self.core.take_back_answers(calls);
        let Some(copies) = &mut self.copies else { return };
        let unanswered = copies.renounced(calls, queued);
        for effect in &unanswered.fail {
            if let (Effect::Answer { call, .. }, Some(copies)) = (effect, &mut self.copies) {
                // What was noted of it last is handed over, too.
                copies.passed_on(*call);
            }
        }
        self.leave_unanswered(now, unanswered);
        self.core.relinquish(now, calls);
    }

    /// Answers that are never given: their callers are told so, or whoever may have told them is asked.
    fn leave_unanswered(&mut self, now: Micros, unanswered: Unanswered) {
        for call in unanswered.ask {
            trace::replicated(call, "is not answered until its successor says whether it was ended");
            self.core.withdraw_answer(now, call);
        }
        self.give_up(now, unanswered.fail);
    }

    pub(super) fn heard_of_copies(&mut self, now: Micros, news: ReplicationEvent) {
        match news {
            ReplicationEvent::Committed(covered) => {
                if let Some(copies) = &mut self.copies {
                    copies.covered(covered);
                }
            }
            ReplicationEvent::TakenOver(records) => {
                for (call, record) in records {
                    trace::replicated(copies::call(call), format_args!("adopted as {record:?}"));
                    self.core.take_over(now, copies::call(call), copies::promise(record));
                }
            }
            ReplicationEvent::LateChanges(changes) => {
                for (call, record) in changes {
                    trace::replicated(copies::call(call), format_args!("handed over as {record:?}"));
                    self.core.apply_handover(now, copies::call(call), record.map(copies::promise));
                }
            }
            ReplicationEvent::OwnershipLost(calls) => {
                let calls: BTreeSet<CallId> = calls.into_iter().map(copies::call).collect();
                calls.iter().for_each(|call| trace::replicated(*call, "given up to a successor"));
                self.renounce(now, &calls);
            }
            ReplicationEvent::Relinquished(calls) => {
                let calls: Vec<CallId> = calls.into_iter().map(copies::call).collect();
                let answers =
                    self.copies.as_mut().map(|copies| copies.relinquished(&calls)).unwrap_or_default();
                self.give_up(now, answers);
            }
            ReplicationEvent::EndedElsewhere(calls, precedence) => {
                for call in calls.into_iter().map(copies::call) {
                    trace::replicated(call, "over, as another member says");
                    self.copies.iter_mut().for_each(|copies| copies.over_elsewhere(call));
                    if precedence == Precedence::Theirs {
                        self.core.yield_release(call);
                    }
                    self.core.ended_elsewhere(now, call);
                }
            }
            ReplicationEvent::Barrier(question) => {
                if let Some(copies) = &mut self.copies {
                    copies.confirm(question);
                }
            }
            ReplicationEvent::AllNotified(calls) => {
                for call in calls.into_iter().map(copies::call) {
                    trace::replicated(call, "all members were told, and have answered");
                    self.core.deliver_unclaimed(now, call);
                }
            }
            ReplicationEvent::DelegatedToPeer(calls) => {
                for call in calls.into_iter().map(copies::call) {
                    trace::replicated(call, "left to the member that has announced it");
                    self.core.yield_release(call);
                }
            }
            ReplicationEvent::ReleaseDelivered(calls) => {
                for call in calls.into_iter().map(copies::call) {
                    trace::replicated(call, "over, as the member that told its caller says");
                    self.copies.iter_mut().for_each(|copies| copies.over_elsewhere(call));
                    self.core.delivered_elsewhere(now, call);
                }
            }
            ReplicationEvent::Degraded(short) => {
                let refuse = self.copies.as_mut().is_some_and(|copies| copies.short(short));
                self.core.refuse_unreplicated(refuse);
            }
        }
    }
}
