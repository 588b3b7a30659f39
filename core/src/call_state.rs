//! Replicated state of calls: changes are published to the replica holders, and calls of a lost call agent
//! are taken over. All of it is off unless replication is enabled ([`Core::enable_replication`]).
//!
//! While ownership is uncertain ([`Core::set_ownership_uncertain`]), that is while another member may have
//! taken over the calls of this one, this call agent ends no earlier call and delivers no earlier release on
//! its own account. A release that a server sends meanwhile is still delivered, since a server sends it to
//! one call agent only; the other members are asked first whether they have told the caller
//! ([`super::unclaimed`]).

use std::collections::BTreeSet;

use steprelay_decisions::{CallId, Event, Micros, Outcome, Report, ServerId};

use super::accounting::CallEnd;
use super::relay::EstablishedCall;
use super::send::Attempt;
use super::{CircuitCall, Core, Effect, ReleaseCause, ServerEnd, Verdict};

/// Replicated state of a call. Circuit-bound calls are not replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// An attempt is in flight at a server, and the caller has not been told anything.
    AttemptPending(ServerId),
    /// The caller was told that the call is established.
    Established(ServerId),
    /// The server has released the call, and no caller has acknowledged the release.
    ReleasePending(ServerId, ReleaseCause),
}

/// Whether replication is enabled, and whether ownership of calls is uncertain.
#[derive(Default)]
pub(super) struct Replication {
    enabled: bool,
    /// Calls from before this time may have been taken over by another member.
    uncertain_since: Option<Micros>,
    /// Servers that ended while ownership was uncertain, with the time before which the calls were
    /// established that ended with them.
    deferred_ends: Vec<(ServerId, Micros, ServerEnd)>,
    /// New set-ups are refused because no member could hold their replicas.
    lacks_replicas: bool,
}

impl Core {
    /// Publishes state changes from now on.
    pub fn enable_replication(&mut self) {
        self.replication.enabled = true;
    }

    /// Refuses set-ups while no member could hold their replicas.
    pub fn refuse_unreplicated(&mut self, lacks_replicas: bool) {
        self.replication.lacks_replicas = lacks_replicas;
    }

    pub(super) fn lacks_replicas(&self) -> bool {
        self.replication.lacks_replicas
    }

    pub(super) fn is_replicated(&self) -> bool {
        self.replication.enabled
    }

    /// Publishes the new state of a call, `None` if there is none any more. `notify_by`: when the caller must
    /// have been told, if the new state implies a message to it.
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

    /// The replicated states of all calls.
    pub fn call_states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        let in_flight = self.pending.iter().filter_map(|(call, pending)| {
            Some((*call, CallState::AttemptPending(pending.in_flight?.server)))
        });
        let released = self.deliveries.states().chain(self.unclaimed.states());
        let released = self.established.states().chain(released);
        in_flight.chain(released).filter(|(call, _)| CircuitCall::of(*call).is_none())
    }

    /// Sets whether ownership of the existing calls is uncertain, because another member may have taken them
    /// over. Server ends that were deferred meanwhile are handled once it is certain again.
    pub fn set_ownership_uncertain(&mut self, now: Micros, is_uncertain: bool) {
        if !is_uncertain {
            self.replication.uncertain_since = None;
            for (server, before, shown_by) in std::mem::take(&mut self.replication.deferred_ends) {
                self.server_process_ended(now, server, before, shown_by);
            }
        } else if self.replication.uncertain_since.is_none() {
            self.replication.uncertain_since = Some(now);
        }
    }

    /// Whether something that dates from `since` may belong to another member by now.
    pub(super) fn is_ownership_uncertain(&self, since: Micros) -> bool {
        self.replication.uncertain_since.is_some_and(|from| since < from)
    }

    /// Tells all members that this member delivers the release of a call, if replication is enabled.
    pub(super) fn announce_release(&mut self, call: CallId) {
        if self.replication.enabled && CircuitCall::of(call).is_none() {
            self.effects.push(Effect::AnnounceRelease { call });
        }
    }

    /// Delivers the release of a call that another call agent held.
    fn release_taken_over(&mut self, now: Micros, server: ServerId, call: CallId, cause: ReleaseCause) {
        self.announce_release(call);
        // The server may repeat the release to this member after it was acknowledged.
        self.accounting.record_end(call, CallEnd::Answered);
        self.start_delivery(now, None, server, call, cause);
    }

    /// Defers the end of a server until ownership is certain.
    pub(super) fn defer_server_end(&mut self, server: ServerId, before: Micros, shown_by: ServerEnd) {
        if self.replication.uncertain_since.is_some()
            && !self.replication.deferred_ends.contains(&(server, before, shown_by))
        {
            self.replication.deferred_ends.push((server, before, shown_by));
        }
    }

    /// Takes over a call of another call agent, which is lost.
    pub fn take_over(&mut self, now: Micros, call: CallId, state: CallState) {
        // By its last replicated state, the lost member had announced the release and not delivered it.
        let is_undelivered =
            matches!(state, CallState::ReleasePending(..)) && self.is_left_to_other_member(call);
        // The server has released the call to the lost member and does not repeat that.
        if matches!(state, CallState::ReleasePending(..)) && self.established.get(call).is_some() {
            return self.apply_handover(now, call, Some(state));
        }
        if self.is_known(call) && !is_undelivered {
            return self.publish_state(call, self.state_of(call), None);
        }
        match state {
            CallState::AttemptPending(server) => {
                // No caller waits for this attempt. Its call may be established at the server by now: the
                // release ends that, too.
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

    /// Applies what the former owner of a taken-over call knows beyond its replicated state.
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

    /// Withdraws the answer to a call, which its caller will not receive: the call is released at its server,
    /// and a later release by the server is not delivered.
    pub fn withdraw_answer(&mut self, now: Micros, call: CallId) {
        if let Some(established) = self.established.remove(call) {
            self.publish_state(call, None, None);
            let (server, cause) = (established.server(), ReleaseCause::NORMAL);
            self.effects.push(Effect::Release { server, call, cause });
            self.end_established(now, call, established, Outcome::Cancelled, Report::default());
        } else if self.deliveries.contains(call) || self.unclaimed.contains(call) {
            self.remove_delivery(call);
            self.remove_unclaimed(call);
            self.publish_state(call, None, None);
        }
        self.effects
            .retain(|effect| !matches!(effect, Effect::DeliverRelease { call: of, .. } if *of == call));
        self.accounting.record_end(call, CallEnd::Answered);
    }

    /// Takes back the answers to these calls that are still among the accumulated effects.
    pub fn take_back_answers(&mut self, calls: &BTreeSet<CallId>) -> Vec<Effect> {
        let is_answer =
            |effect: &mut Effect| matches!(effect, Effect::Answer { call, .. } if calls.contains(call));
        self.effects.extract_if(.., is_answer).collect()
    }

    /// Removes a call that no longer belongs to this call agent; another member tells the caller of its end.
    pub(super) fn drop_call(&mut self, now: Micros, call: CallId) {
        if let Some(established) = self.established.remove(call) {
            self.end_established(now, call, established, Outcome::Ok, Report::default());
        } else if !self.remove_undelivered(call) {
            return self.accounting.record_end_elsewhere(call);
        }
        self.publish_state(call, None, None);
        self.accounting.record_end(call, CallEnd::HandledElsewhere);
    }

    /// Gives up calls that another call agent has taken over. No more messages are sent for them, except the
    /// final answers to set-ups that have none yet.
    pub fn relinquish(&mut self, now: Micros, calls: &BTreeSet<CallId>) {
        let was_enabled = std::mem::replace(&mut self.replication.enabled, false);
        for call in calls {
            if let Some(pending) = self.pending.get(call) {
                let in_flight = pending.in_flight;
                self.decide(now, Event::CallerGone { call: *call });
                if let Some(attempt) = in_flight {
                    self.cancel(now, *call, attempt.number);
                }
                self.send_final_answer(now, *call, Verdict::Failed);
            } else if let Some(established) = self.established.remove(*call) {
                // The call is not known to have ended: if its server releases it here, that release is passed
                // on.
                self.hand_off_established(now, *call, established);
            } else if self
                .replication
                .uncertain_since
                .is_none_or(|from| self.deliveries.began_before(*call, from))
            {
                // Only a release that began before ownership became uncertain is dropped. A later one was
                // announced to all members and is delivered here.
                self.remove_delivery(*call);
                self.remove_unclaimed(*call);
            }
        }
        self.replication.enabled = was_enabled;
    }

    /// Whether all that is known of a call is that another member handles its end.
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
