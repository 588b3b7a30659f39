//! Fourth stage: attempts. A call has at most one attempt in flight, with a time limit of its own. The rules
//! for attempts are checked once more before the set-up is sent.

use std::rc::Rc;

use steprelay_decisions::{AttemptEnd, CallId, Cause, Event, Micros, Outcome, Report, ServerId};

use super::accounting::CallEnd;
use super::ended_calls::Execution;
use super::validate::{answer_deadline, ValidationError};
use super::{Breach, CallState, ClientId, Core, Effect, LinkLoss, Request, SetUp, TimerEvent, Verdict};

/// Retry-After of refusals while this call agent drains: the caller reconnects to another call agent
/// meanwhile, and its connection here becomes idle and is closed.
const DRAIN_RETRY_AFTER: Micros = 100_000;

/// If the connections were last polled longer ago than this, the process was suspended or starved.
const LATE_POLL_THRESHOLD: Micros = 100_000;

/// Why a set-up was not sent to its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// There is no connection to the server and none is being opened.
    Unreachable,
    /// The send queue of the server's connection is full.
    QueueFull,
    /// The set-up was taken back before its first byte was sent, or its server does not accept set-ups any
    /// more.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub number: u32,
    pub sent: Micros,
}

impl PendingCall {
    pub fn execution(&self) -> Execution {
        if self.attempts > 0 {
            Execution::Attempted
        } else {
            Execution::NotAttempted
        }
    }
}

impl Attempt {
    /// Its end as an event for the decisions, with the outcome alone.
    pub fn end(self, now: Micros, call: CallId, outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            call,
            server: self.server,
            attempt: self.number,
            lag: now - self.sent,
            outcome,
            cause: Cause::Untold,
            is_final: false,
            report: Report::default(),
        }
    }
}

/// A call that was accepted and has no final answer.
pub struct PendingCall {
    pub client: ClientId,
    pub class: usize,
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// When its final answer must be sent.
    pub answer_deadline: Micros,
    pub in_flight: Option<Attempt>,
    pub attempts: u32,
    /// No attempt is sent before this time, since the server of an earlier attempt may still hold capacity
    /// for it.
    pub not_before: Micros,
}

/// The time of arrival that is assumed for a set-up that is read now.
fn arrival_time(now: Micros, polled: Micros) -> Micros {
    if now - polled > LATE_POLL_THRESHOLD {
        polled
    } else {
        now
    }
}

impl Core {
    /// Handles a client's set-up. A set-up that arrives after this side closed its connection is ignored: its
    /// caller sends it again on another connection, which must not come too soon after a first attempt.
    ///
    /// `polled`: when the connections were last polled. If that is long ago, for example after the process
    /// was suspended, the set-up may have arrived at any moment since, and is accepted if it can have arrived
    /// in time.
    pub fn offer(&mut self, now: Micros, polled: Micros, client: ClientId, request: Request) {
        if !self.clients.is_connected(client) {
            return;
        }
        self.clients.input_received(client, now);
        self.accounting.counts.offered += 1;
        let rejection = match self.validate(now, &request) {
            Ok(_)
                if !self.lifecycle.accepts_set_up(arrival_time(now, polled), answer_deadline(&request))
                    || self.lacks_replicas() =>
            {
                Verdict::Refused { wait: self.site.decisions.limits.capped_retry_after(DRAIN_RETRY_AFTER) }
            }
            Ok(call)
                if {
                    let open_of_client = self.clients.open(client);
                    let calls = self.held_calls();
                    self.admission.admit(&request, open_of_client, calls)
                } =>
            {
                let pending = PendingCall {
                    client,
                    class: request.class,
                    answer_deadline: answer_deadline(&request),
                    number: request.number,
                    description: request.description,
                    in_flight: None,
                    attempts: 0,
                    not_before: now,
                };
                self.timers.schedule(pending.answer_deadline, TimerEvent::AnswerDeadline(call.id));
                self.pending.insert(call.id, pending);
                self.clients.call_offered(client, now);
                self.deliver_pending(now);
                return self.decide(now, Event::Call(call));
            }
            Ok(_) => Verdict::Refused { wait: None },
            Err(ValidationError::NoTimeLeft | ValidationError::AlreadyAttempted) => Verdict::Failed,
            Err(ValidationError::UnknownClass | ValidationError::OutOfRange) => Verdict::Invalid,
            Err(ValidationError::DuplicateCall) => {
                self.accounting.counts.repeated += 1;
                return self.reject_duplicate(client, request.call);
            }
        };
        self.accounting.final_answer(request.call, Some(request.class), rejection, Execution::NotAttempted);
        self.effects.push(Effect::FinalAnswer { client, call: request.call, verdict: rejection });
    }

    /// Handles a client's set-up that could not be parsed into a request. `class` is set if the set-up names
    /// a known one.
    pub fn offer_invalid(&mut self, client: ClientId, call: CallId, class: Option<usize>) {
        self.clients.invalid_input_received(client);
        self.accounting.counts.offered += 1;
        self.accounting.invalid_set_up(class);
        self.effects.push(Effect::FinalAnswer { client, call, verdict: Verdict::Invalid });
    }

    /// Rejects a set-up whose call id is in use. On the connection that has the call, any answer to the
    /// duplicate would be taken for the answer to the first set-up, so the connection is closed instead. It
    /// is also closed if no open call is lost with it.
    fn reject_duplicate(&mut self, client: ClientId, call: CallId) {
        let client_of_call = self.pending.get(&call).map(|pending| pending.client);
        if client_of_call.or(self.established.client_of(call)) == Some(client)
            || self.clients.open(client) == 0
        {
            self.evict(client);
        } else {
            self.effects.push(Effect::FinalAnswer { client, call, verdict: Verdict::Invalid });
        }
    }

    /// Sends a set-up, unless that would break a rule: then the attempt counts as never sent.
    pub(super) fn send(&mut self, now: Micros, call: CallId, server: ServerId, stop_at: Micros) {
        let limits = &self.site.decisions.limits;
        let max_attempts = limits.max_attempts.max(1);
        let is_ready = self.route.is_ready(server);
        let Some(pending) = self.pending.get_mut(&call) else {
            self.accounting.record_breach(Breach::SentWhenOver);
            return;
        };
        let breach = if pending.in_flight.is_some() {
            Some(Breach::SecondAttempt)
        } else if pending.attempts >= max_attempts {
            Some(Breach::TooManyAttempts)
        } else if !is_ready {
            Some(Breach::SentToDraining)
        } else if now < pending.not_before {
            Some(Breach::ResentEarly)
        } else {
            None
        };
        let attempt = Attempt { server, number: pending.attempts, sent: now };
        pending.attempts += 1;
        if self.clients.is_unreachable(pending.client) {
            self.send_final_answer(now, call, Verdict::Failed);
            self.decide(now, Event::CallerGone { call });
            return self.decide(now, Event::AttemptEnded(attempt.end(now, call, Outcome::NotSent)));
        }
        if let Some(breach) = breach {
            self.accounting.record_breach(breach);
            self.decide(now, Event::AttemptEnded(attempt.end(now, call, Outcome::NotSent)));
            return;
        }
        let stop_at = stop_at.min(pending.answer_deadline);
        pending.in_flight = Some(attempt);
        let set_up = SetUp {
            call,
            class: pending.class,
            number: pending.number.clone(),
            description: pending.description.clone(),
            wait: (stop_at - now).max(0),
        };
        self.timers.schedule(stop_at, TimerEvent::AttemptTimeout(call, attempt.number));
        self.accounting.attempt_sent(server);
        self.publish_state(call, Some(CallState::AttemptPending(server)), None);
        self.effects.push(Effect::SetUp { server, set_up });
    }

    pub(super) fn attempt_timed_out(&mut self, now: Micros, call: CallId, number: u32) {
        self.abort_attempt(now, call, number, Outcome::Timeout);
    }

    pub(super) fn cancel(&mut self, now: Micros, call: CallId, number: u32) {
        self.abort_attempt(now, call, number, Outcome::Cancelled);
    }

    /// Ends an attempt that is in flight and cancels it at the server, so that a later answer is void.
    fn abort_attempt(&mut self, now: Micros, call: CallId, number: u32, outcome: Outcome) {
        let Some(pending) = self.pending.get_mut(&call) else { return };
        let Some(attempt) = pending.in_flight.filter(|attempt| attempt.number == number) else { return };
        self.effects.push(Effect::CancelAttempt { server: attempt.server, call });
        self.end_attempt(now, attempt.end(now, call, outcome));
    }

    /// Records the end of an attempt of a call that is not established.
    pub(super) fn end_attempt(&mut self, now: Micros, end: AttemptEnd) {
        self.accounting.attempt_unanswered(end.server, end.outcome);
        self.timers.cancel(TimerEvent::AttemptTimeout(end.call, end.attempt));
        if let Some(pending) = self.pending.get_mut(&end.call) {
            pending.in_flight = None;
            if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                pending.not_before = now + self.site.decisions.retry_delay;
            }
            self.publish_state(end.call, None, None);
        }
        self.decide(now, Event::AttemptEnded(end));
    }

    /// Handles the deadline of the final answer. The decisions have normally answered by now; this covers a
    /// call that they hold past its deadline.
    pub(super) fn deadline_passed(&mut self, now: Micros, call: CallId) {
        let Some(pending) = self.pending.get(&call) else { return };
        if let Some(attempt) = pending.in_flight {
            self.attempt_timed_out(now, call, attempt.number);
        }
        if self.pending.contains_key(&call) {
            self.accounting.record_breach(Breach::HeldToDeadline);
            self.send_final_answer(now, call, Verdict::Failed);
            self.decide(now, Event::CallerGone { call });
        }
    }

    /// Gives every open call its final answer now: a refusal if no attempt was sent, else a failure.
    pub fn answer_all(&mut self, now: Micros) {
        for call in self.pending.keys().copied().collect::<Vec<_>>() {
            let Some(pending) = self.pending.get(&call) else { continue };
            let (in_flight, attempts) = (pending.in_flight, pending.attempts);
            if let Some(Attempt { server, .. }) = in_flight {
                self.effects.push(Effect::CancelAttempt { server, call });
                self.accounting.attempt_unanswered(server, Outcome::Cancelled);
                self.publish_state(call, None, None);
            }
            let wait = self.site.decisions.limits.capped_retry_after(DRAIN_RETRY_AFTER);
            let verdict = if attempts == 0 { Verdict::Refused { wait } } else { Verdict::Failed };
            self.send_final_answer(now, call, verdict);
            self.decide(now, Event::CallerGone { call });
        }
    }

    /// Removes a call that its client has given up before the answer, or whose client can no longer be
    /// answered. No final answer is sent.
    pub(super) fn abandon(&mut self, now: Micros, call: CallId, end: CallEnd) {
        let Some(pending) = self.pending.get(&call) else { return };
        let (in_flight, execution) = (pending.in_flight, pending.execution());
        self.accounting.counts.abandoned += 1;
        self.decide(now, Event::CallerGone { call });
        // If the settings do not permit cancels, the decisions request none; the attempt is ended here all
        // the same.
        if let Some(attempt) = in_flight {
            self.cancel(now, call, attempt.number);
        }
        self.remove_pending(call);
        match (end, execution) {
            (CallEnd::ConnectionLost, Execution::Attempted) => {
                self.accounting.record_end(call, CallEnd::LeftAttempted)
            }
            (end, _) => self.accounting.record_end(call, end),
        }
    }

    /// Removes a pending call with its timers, and frees its share of the admission limits.
    pub(super) fn remove_pending(&mut self, call: CallId) -> Option<PendingCall> {
        let pending = self.pending.remove(&call)?;
        self.timers.cancel(TimerEvent::AnswerDeadline(call));
        self.timers.cancel(TimerEvent::CallTimer(call));
        if let Some(attempt) = pending.in_flight {
            self.timers.cancel(TimerEvent::AttemptTimeout(call, attempt.number));
        }
        self.admission.remove(&pending.number, &pending.description);
        self.clients.call_answered(pending.client);
        Some(pending)
    }

    /// Handles a lost or failed connection to a server: all attempts in flight there have ended. Established
    /// calls do not depend on a connection.
    pub fn link_lost(&mut self, now: Micros, server: ServerId, loss: LinkLoss) {
        let outcome = match loss {
            LinkLoss::Refused | LinkLoss::Unanswered => Outcome::ConnectFailed,
            LinkLoss::Dropped | LinkLoss::Unreadable => Outcome::Reset,
        };
        for (call, attempt) in self.in_flight_at(server) {
            self.end_attempt(now, attempt.end(now, call, outcome));
        }
    }

    /// Handles a set-up that was lost with its connection and may have been executed.
    pub fn attempt_lost(&mut self, now: Micros, server: ServerId, call: CallId) {
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.end(now, call, Outcome::Reset));
        }
    }

    /// Handles a set-up that could not be sent to its server.
    pub fn not_sent(&mut self, now: Micros, server: ServerId, call: CallId, reason: NotSent) {
        let outcome = match reason {
            NotSent::Unreachable => Outcome::ConnectFailed,
            // Not a failure of the server: counting it as one would keep all set-ups away from the server.
            NotSent::QueueFull | NotSent::Withdrawn => Outcome::NotSent,
        };
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.end(now, call, outcome));
        }
    }

    fn in_flight_at(&self, server: ServerId) -> Vec<(CallId, Attempt)> {
        let in_flight = self.pending.iter().filter_map(|(call, pending)| Some((*call, pending.in_flight?)));
        in_flight.filter(|(_, attempt)| attempt.server == server).collect()
    }
}
