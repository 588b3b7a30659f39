//! Fifth stage: relays answers, refusals and releases, and holds the established calls.
//!
//! An established call does not depend on a connection. Its release may arrive on any connection, also for a
//! call that was established before this process started; [`super::delivery`] makes sure that a caller is
//! told.

use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_decisions::{AttemptEnd, CallId, Cause, Event, Micros, Outcome, Report, ServerId};

use super::accounting::CallEnd;
use super::send::Attempt;
use super::unclaimed::{PriorClaim, UnclaimedRelease};
use super::{CallState, CircuitCall, ClientId, Core, Effect, Peer, ReleaseCause, Verdict};

#[derive(Clone, Copy, Debug)]
pub struct EstablishedCall {
    /// The client that made the call; `None` if the call was taken over from another call agent.
    client: Option<ClientId>,
    pub(super) attempt: Attempt,
    pub(super) since: Micros,
}

impl EstablishedCall {
    /// A call taken over from another call agent. When it was established is not known.
    pub fn taken_over(attempt: Attempt) -> Self {
        EstablishedCall { client: None, attempt, since: 0 }
    }

    pub fn server(&self) -> ServerId {
        self.attempt.server
    }

    pub fn is_taken_over(&self) -> bool {
        self.client.is_none()
    }
}

#[derive(Default)]
pub struct EstablishedCalls {
    pub(super) calls: BTreeMap<CallId, EstablishedCall>,
}

impl EstablishedCalls {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// The client that made an established call.
    pub fn client_of(&self, call: CallId) -> Option<ClientId> {
        self.calls.get(&call)?.client
    }

    /// The states of all established calls.
    pub fn states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        self.calls
            .iter()
            .map(|(call, established)| (*call, CallState::Established(established.attempt.server)))
    }

    pub fn state_of(&self, call: CallId) -> Option<CallState> {
        Some(CallState::Established(self.calls.get(&call)?.attempt.server))
    }

    pub fn insert(&mut self, call: CallId, established: EstablishedCall) {
        self.calls.insert(call, established);
    }

    pub fn remove(&mut self, call: CallId) -> Option<EstablishedCall> {
        self.calls.remove(&call)
    }

    pub fn get(&self, call: CallId) -> Option<&EstablishedCall> {
        self.calls.get(&call)
    }
}

impl Core {
    /// A client's connection was opened, or a peer of the M3UA front became available.
    pub fn client_opened(&mut self, now: Micros, client: ClientId, peer: Option<Peer>) {
        if let Some(evicted) = self.clients.opened(client, peer, now) {
            self.evict(evicted);
        }
        self.deliver_pending(now);
    }

    /// A client's connection was closed: its unanswered calls end, its established calls stay up.
    pub fn client_closed(&mut self, now: Micros, client: ClientId) {
        self.clients.closed(client);
        let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
        for call in waiting.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.abandon(now, call, CallEnd::ConnectionLost);
        }
        self.redeliver_from(now, client);
    }

    /// Marks whether a client can be sent messages. While it cannot, no attempts are sent for its calls: an
    /// attempt in flight may still be answered, and a queued set-up is withdrawn.
    pub fn set_client_unreachable(&mut self, client: ClientId, unreachable: bool) {
        self.clients.set_unreachable(client, unreachable);
        if unreachable {
            let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
            let in_flight = waiting.filter_map(|(call, pending)| Some((*call, pending.in_flight?.server)));
            self.effects.extend(in_flight.map(|(call, server)| Effect::WithdrawSetUp { server, call }));
        }
    }

    /// A client checks the health of this call agent.
    pub fn client_health_checked(&mut self, now: Micros, client: ClientId) {
        self.clients.input_received(client, now);
    }

    /// A client gives up a set-up or releases an established call.
    pub fn client_ended(&mut self, now: Micros, client: ClientId, call: CallId, cause: ReleaseCause) {
        self.clients.input_received(client, now);
        if self.pending.contains_key(&call) {
            return self.abandon(now, call, CallEnd::Answered);
        }
        if let Some(established) = self.established.calls.remove(&call) {
            self.publish_state(call, None, None);
            self.effects.push(Effect::Release { server: established.attempt.server, call, cause });
            return self.end_established(now, call, established, Outcome::Cancelled, Report::default());
        }
        if self.accounting.ended(call).is_none() {
            // The call was established before this process started, so its server is not known here. All
            // servers get the release: the one that has the call releases it, the others know no such call.
            let servers: Vec<_> = self.route.entries().map(|entry| entry.server).collect();
            for server in servers {
                self.effects.push(Effect::Release { server, call, cause });
            }
            self.accounting.record_unattempted_end(call);
            self.announce_release(call);
        }
    }

    /// A server answered a set-up.
    pub fn server_answered(&mut self, now: Micros, server: ServerId, call: CallId, description: Rc<str>) {
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) else {
            let is_repeated =
                self.established.get(call).is_some_and(|established| established.attempt.server == server);
            if !is_repeated {
                // The attempt was given up before its answer arrived, or was never made: no caller waits for
                // the answer. The server's reply to this release must not be taken for the release of a call
                // that was established before this process started.
                if !self.pending.contains_key(&call) && self.accounting.ended(call).is_none() {
                    self.accounting.record_end(call, CallEnd::Answered);
                }
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::NORMAL });
            }
            return;
        };
        let Some(pending) = self.remove_pending(call) else { return };
        let client = pending.client;
        self.established.calls.insert(call, EstablishedCall { client: Some(client), attempt, since: now });
        self.publish_state(call, Some(CallState::Established(server)), Some(pending.answer_deadline));
        self.accounting.call_established(server, pending.class);
        self.clients.call_established(client);
        self.effects.push(Effect::Answer { client, call, description });
        let lag = now - attempt.sent;
        self.decide(now, Event::Answered { call, server, attempt: attempt.number, lag });
    }

    /// A server refused a set-up or released a call.
    pub fn server_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
        note: Cause,
        report: Report,
    ) {
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) {
            self.confirm_release(server, call);
            let end = attempt.end(now, call, cause.outcome_before_answer());
            let proven =
                self.pending.get(&call).is_some_and(|pending| self.clients.is_proven(pending.client));
            let note = match end.outcome {
                Outcome::Error if note == Cause::Untold && !proven => Cause::Unproven,
                _ => note,
            };
            return self.end_attempt(now, AttemptEnd { cause: note, report, ..end });
        }
        let established =
            self.established.get(call).filter(|established| established.attempt.server == server);
        if let Some(&established) = established {
            self.established.calls.remove(&call);
            self.release_established(now, server, call, established, cause);
            return self.end_established(now, call, established, cause.outcome_after_answer(), report);
        }
        self.report(now, server, report);
        if !self.pending.contains_key(&call)
            && self.established.get(call).is_none()
            && (self.accounting.ended(call).is_none() || self.is_left_to_other_member(call))
        {
            // The call was established before this process started; its caller still waits for the release.
            let prior_claim = if self.is_left_to_other_member(call) {
                PriorClaim::OtherMember
            } else {
                PriorClaim::Unclaimed
            };
            self.accounting.counts.released_unknown += 1;
            if !self.admission.has_capacity(self.held_calls(), 0) {
                self.accounting.counts.releases_lost += 1;
                return;
            }
            self.accounting.record_end(call, CallEnd::Answered);
            let client = CircuitCall::of(call).map(CircuitCall::client_id);
            if client.is_none() && self.is_replicated() {
                return self.hold_for_claims(
                    now,
                    call,
                    UnclaimedRelease { client, server, cause, prior_claim },
                );
            }
            self.start_delivery(now, client, server, call, cause);
        } else if !self.deliveries.contains(call) && !self.unclaimed.contains(call) {
            // Its caller knows of the end, or has asked for it.
            self.confirm_release(server, call);
        }
    }

    /// Delivers the release of an established call, or asks the other members first if one of them may have
    /// delivered it.
    pub(super) fn release_established(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
        established: EstablishedCall,
        cause: ReleaseCause,
    ) {
        let client = established.client;
        // A circuit-bound call belongs to no other member.
        if self.is_ownership_uncertain(established.since) && CircuitCall::of(call).is_none() {
            let prior_claim = PriorClaim::Unclaimed;
            return self.hold_for_claims(now, call, UnclaimedRelease { client, server, cause, prior_claim });
        }
        if established.is_taken_over() {
            self.announce_release(call);
        }
        self.start_delivery(now, client, server, call, cause);
    }

    /// A server's release arrived on a connection that was closed meanwhile. The established call ends all
    /// the same. A pending call is left alone: its attempt on that connection counts as reset, and the
    /// release cannot be about a later attempt.
    pub fn server_ended_late(&mut self, now: Micros, server: ServerId, call: CallId, cause: ReleaseCause) {
        if !self.pending.contains_key(&call) {
            self.server_ended(now, server, call, cause, Cause::Untold, Report::default());
        }
    }

    pub(super) fn end_established(
        &mut self,
        now: Micros,
        call: CallId,
        established: EstablishedCall,
        outcome: Outcome,
        report: Report,
    ) {
        self.accounting.call_released(call, established.attempt.server, outcome);
        let end = AttemptEnd { is_final: true, report, ..established.attempt.end(now, call, outcome) };
        self.report_end(now, established, end);
    }

    /// Removes a call that now belongs to another member.
    pub(super) fn hand_off_established(&mut self, now: Micros, call: CallId, established: EstablishedCall) {
        let end = AttemptEnd { is_final: true, ..established.attempt.end(now, call, Outcome::Ok) };
        self.report_end(now, established, end);
    }

    fn report_end(&mut self, now: Micros, established: EstablishedCall, end: AttemptEnd) {
        established.client.into_iter().for_each(|client| self.clients.call_ended(client));
        self.decide(now, Event::AttemptEnded(end));
    }

    /// Sends a call its final answer.
    pub(super) fn send_final_answer(&mut self, now: Micros, call: CallId, verdict: Verdict) {
        let Some(pending) = self.remove_pending(call) else { return };
        if now > pending.answer_deadline + super::validate::ANSWER_MARGIN {
            self.accounting.counts.answered_late += 1;
        }
        self.accounting.final_answer(call, Some(pending.class), verdict, pending.execution());
        self.effects.push(Effect::FinalAnswer { client: pending.client, call, verdict });
    }
}
