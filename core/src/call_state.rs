//! What is promised of calls, told as it changes to whoever keeps copies of it, and taken over from a call
//! agent that was lost. Nothing of it happens unless it is asked for ([`Core::tell_promises`]).
//!
//! While it is not known whether another has taken over ([`Core::doubt`]), nothing is said of calls of before
//! on this call agent's own account. What a server says of one meanwhile is passed on, since it says so to
//! one call agent alone, once the others were asked whether they have told the caller
//! ([`super::unclaimed`]).

use std::collections::BTreeSet;

use steprelay_decisions::{CallId, Event, Micros, Outcome, Report, ServerId};

use super::accounting::CallEnd;
use super::relay::EstablishedCall;
use super::send::Attempt;
use super::{CircuitCall, Core, Effect, ReleaseCause, Verdict};

/// What is promised of a call. Calls that are bound to circuits are no part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// An attempt is out at a server, and nobody was told anything yet.
    AttemptPending(ServerId),
    /// Its caller was told that it stands.
    Established(ServerId),
    /// Its server has released it, and its caller has not confirmed that.
    ReleasePending(ServerId, ReleaseCause),
}

/// Whether promises are told, and what is in doubt.
#[derive(Default)]
pub(super) struct Replication {
    enabled: bool,
    /// Calls of before this moment may have been taken over by another.
    uncertain_since: Option<Micros>,
    /// Servers that went meanwhile, with the time before which calls came to stand there.
    deferred_ends: Vec<(ServerId, Micros)>,
    /// New set-ups are refused: nobody could hold copies of them.
    lacks_replicas: bool,
}

impl Core {
    /// Has promises told from now on.
    pub fn enable_replication(&mut self) {
        self.replication.enabled = true;
    }

    /// Set-ups are refused while this is so.
    pub fn refuse_unreplicated(&mut self, lacks_replicas: bool) {
        self.replication.lacks_replicas = lacks_replicas;
    }

    pub(super) fn lacks_replicas(&self) -> bool {
        self.replication.lacks_replicas
    }

    pub(super) fn is_replicated(&self) -> bool {
        self.replication.enabled
    }

    /// The promise of a call is another one, or over. `by`: when its caller must have heard of it, where that
    /// follows from it.
    pub(super) fn publish_state(
        &mut self,
        call: CallId,
        state: Option<CallState>,
        notify_by: Option<Micros>,
    ) {
        if self.replication.enabled && CircuitCall::of(call).is_none() {
            self.effects.push(Effect::CallStateChanged { call, state, notify_by });
        }
    }

    /// All that is promised now.
    pub fn call_states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        let in_flight = self.pending.iter().filter_map(|(call, pending)| {
            Some((*call, CallState::AttemptPending(pending.in_flight?.server)))
        });
        let released = self.deliveries.states().chain(self.unclaimed.states());
        let released = self.established.states().chain(released);
        in_flight.chain(released).filter(|(call, _)| CircuitCall::of(*call).is_none())
    }

    /// It is not known from now on, or known again, whether another has taken over what was promised before.
    pub fn set_ownership_uncertain(&mut self, now: Micros, is_uncertain: bool) {
        if !is_uncertain {
            self.replication.uncertain_since = None;
            for (server, before) in std::mem::take(&mut self.replication.deferred_ends) {
                self.server_process_ended(now, server, before);
            }
        } else if self.replication.uncertain_since.is_none() {
            self.replication.uncertain_since = Some(now);
        }
    }

    /// Whether something that is so since then may be another's by now.
    pub(super) fn is_ownership_uncertain(&self, since: Micros) -> bool {
        self.replication.uncertain_since.is_some_and(|from| since < from)
    }

    /// All members are told that this call's release is given here, where promises are told.
    pub(super) fn announce_release(&mut self, call: CallId) {
        if self.replication.enabled && CircuitCall::of(call).is_none() {
            self.effects.push(Effect::AnnounceRelease { call });
        }
    }

    /// Gives the release of a call that another call agent had.
    fn release_taken_over(&mut self, now: Micros, server: ServerId, call: CallId, cause: ReleaseCause) {
        self.announce_release(call);
        // Its server may say it here too, once it was acknowledged.
        self.accounting.record_end(call, CallEnd::Answered);
        self.start_delivery(now, None, server, call, cause);
    }

    /// A server went; what stood there is looked at again once there is no doubt.
    pub(super) fn defer_server_end(&mut self, server: ServerId, before: Micros) {
        if self.replication.uncertain_since.is_some()
            && !self.replication.deferred_ends.contains(&(server, before))
        {
            self.replication.deferred_ends.push((server, before));
        }
    }

    /// Takes over what another call agent had promised, which is lost.
    pub fn take_over(&mut self, now: Micros, call: CallId, state: CallState) {
        // What another member was about to tell the caller, it has not told by its own last word.
        let is_undelivered =
            matches!(state, CallState::ReleasePending(..)) && self.is_left_to_other_member(call);
        // Its server has told the other one that it is over, and tells nobody again.
        if matches!(state, CallState::ReleasePending(..)) && self.established.get(call).is_some() {
            return self.apply_handover(now, call, Some(state));
        }
        if self.is_known(call) && !is_undelivered {
            return self.publish_state(call, self.state_of(call), None);
        }
        match state {
            CallState::AttemptPending(server) => {
                // Nobody is at the other end of it. It may stand there by now: its release cuts that, too.
                self.accounting.record_end(call, CallEnd::AttemptAborted);
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::NORMAL });
                self.publish_state(call, None, None);
            }
            CallState::Established(server) if self.route.is_listed(server) => {
                let attempt = Attempt { server, number: 0, sent: now };
                self.established.insert(call, EstablishedCall::taken_over(attempt));
            }
            CallState::Established(server) => {
                self.release_taken_over(now, server, call, ReleaseCause::TEMPORARY)
            }
            CallState::ReleasePending(server, cause) => self.release_taken_over(now, server, call, cause),
        }
    }

    /// What one that was succeeded by this call agent knows beyond what was copied in time.
    pub fn apply_handover(&mut self, now: Micros, call: CallId, state: Option<CallState>) {
        match state {
            None | Some(CallState::AttemptPending(_)) => self.drop_call(now, call),
            Some(CallState::ReleasePending(server, cause)) => {
                let established = self.established.remove(call);
                if let Some(established) = established {
                    self.release_taken_over(now, server, call, cause);
                    self.end_established(now, call, established, Outcome::Ok, Report::default());
                } else if !self.is_known(call) {
                    self.release_taken_over(now, server, call, cause);
                }
            }
            Some(state) => self.take_over(now, call, state),
        }
    }

    /// The answer to a call will not be given to its caller: the call ends at its server, and what its server
    /// says of it later is nobody's news.
    pub fn withdraw_answer(&mut self, now: Micros, call: CallId) {
        if let Some(established) = self.established.remove(call) {
            self.publish_state(call, None, None);
            let (server, cause) = (established.server(), ReleaseCause::NORMAL);
            self.effects.push(Effect::Release { server, call, cause });
            self.end_established(now, call, established, Outcome::Cancelled, Report::default());
        } else if self.deliveries.contains(call) || self.unclaimed.contains(call) {
            self.deliveries.remove(call);
            self.unclaimed.remove(call);
            self.publish_state(call, None, None);
        }
        self.effects
            .retain(|effect| !matches!(effect, Effect::DeliverRelease { call: of, .. } if *of == call));
        self.accounting.record_end(call, CallEnd::Answered);
    }

    /// Takes back answers to these calls that have not left the core yet.
    pub fn take_back_answers(&mut self, calls: &BTreeSet<CallId>) -> Vec<Effect> {
        let is_answer =
            |effect: &mut Effect| matches!(effect, Effect::Answer { call, .. } if calls.contains(call));
        self.effects.extract_if(.., is_answer).collect()
    }

    /// A call that is no longer this call agent's, and whose end is another's to tell.
    pub(super) fn drop_call(&mut self, now: Micros, call: CallId) {
        if let Some(established) = self.established.remove(call) {
            self.end_established(now, call, established, Outcome::Ok, Report::default());
        } else if !self.deliveries.remove_undelivered(call) {
            return self.accounting.record_end_elsewhere(call);
        }
        self.publish_state(call, None, None);
        self.accounting.record_end(call, CallEnd::HandledElsewhere);
    }

    /// Another call agent has taken these calls over: nothing more is said of them, but for set-ups that have
    /// no answer yet, which get theirs now.
    pub fn relinquish(&mut self, now: Micros, calls: &BTreeSet<CallId>) {
        let was_enabled = std::mem::replace(&mut self.replication.enabled, false);
        for call in calls {
            if let Some(pending) = self.pending.get(call) {
                let in_flight = pending.in_flight;
                self.decide(now, Event::Gone { call: *call });
                if let Some(attempt) = in_flight {
                    self.cancel(now, *call, attempt.number);
                }
                self.send_final_answer(now, *call, Verdict::Failed);
            } else if let Some(established) = self.established.remove(*call) {
                // Not known to be over: where its server says here that it is, that is passed on.
                self.hand_off_established(now, *call, established);
            } else if self
                .replication
                .uncertain_since
                .is_none_or(|from| self.deliveries.began_before(*call, from))
            {
                // What came up since the doubt began all members were told of: it is given here.
                self.deliveries.remove(*call);
                self.unclaimed.remove(*call);
            }
        }
        self.replication.enabled = was_enabled;
    }

    /// Whether nothing is known of a call but that another member sees to its end.
    pub(super) fn is_left_to_other_member(&self, call: CallId) -> bool {
        self.accounting.ended(call) == Some(CallEnd::HandledElsewhere) && self.state_of(call).is_none()
    }

    fn is_known(&self, call: CallId) -> bool {
        self.pending.contains_key(&call)
            || self.established.get(call).is_some()
            || self.deliveries.contains(call)
            || self.unclaimed.contains(call)
            || self.accounting.ended(call).is_some()
    }

    fn state_of(&self, call: CallId) -> Option<CallState> {
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        let in_flight = in_flight.map(|attempt| CallState::AttemptPending(attempt.server));
        in_flight
            .or_else(|| self.deliveries.state_of(call))
            .or_else(|| self.established.state_of(call))
            .or_else(|| self.unclaimed.state_of(call))
    }
}
