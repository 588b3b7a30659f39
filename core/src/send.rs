//! Fourth stage: attempts. One is out at a time, each with an end of its own; the rules that an attempt must
//! keep are checked here once more before it leaves.

use std::cmp::Reverse;
use std::rc::Rc;

use steprelay_decisions::{CallId, Cause, End, Event, Micros, Outcome, Report, ServerId};

use super::accounting::CallEnd;
use super::validate::{answer_deadline, ValidationError};
use super::{Breach, CallState, ClientId, Core, Effect, LinkLoss, Request, SetUp, TimerEvent, Verdict};

/// Who is sent away comes back after this, since others serve it: its connection is quiet and closed by then.
const DRAIN_RETRY_AFTER: Micros = 100_000;

/// A process that looks at its connections so late was held up.
const LATE_POLL_THRESHOLD: Micros = 100_000;

/// Why a set-up did not leave for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// There is no connection to the server, and none is being dialled.
    Unreachable,
    /// The send queue of its connection takes no more.
    QueueFull,
    /// It was taken back before its first byte left, or its server takes none any more.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub number: u32,
    pub sent: Micros,
}

impl Attempt {
    /// Its end as the decisions are told of it, with nothing said besides the outcome.
    pub fn ended(self, now: Micros, call: CallId, outcome: Outcome) -> End {
        End {
            call,
            server: self.server,
            attempt: self.number,
            lag: now - self.sent,
            outcome,
            cause: Cause::Untold,
            last: false,
            report: Report::default(),
        }
    }
}

/// A call that was taken in and has no final answer.
pub struct PendingCall {
    pub client: ClientId,
    pub class: usize,
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// When its final answer has to leave.
    pub answer_deadline: Micros,
    pub in_flight: Option<Attempt>,
    pub attempts: u32,
    /// Nothing is sent for it before this, since what an earlier attempt held may still be taken.
    pub not_before: Micros,
}

/// When a set-up is taken to have come that is read now.
fn arrival_time(now: Micros, polled: Micros) -> Micros {
    if now - polled > LATE_POLL_THRESHOLD {
        polled
    } else {
        now
    }
}

impl Core {
    /// A client's set-up. One that crossed the end of its connection on our side is nobody's: its caller
    /// sends it again on another, where it must not be too soon after a first attempt.
    ///
    /// `polled`: when the connections were last looked at. Where that is long ago, as after a process was
    /// held up, the set-up may have come at any moment since, and counts as taken in time where it can have
    /// been.
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
                Verdict::Refused { wait: self.site.decisions.limits.told_wait(DRAIN_RETRY_AFTER) }
            }
            Ok(call) if self.admission.admit(&request, self.clients.open(client)) => {
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
                self.timers.push(Reverse((pending.answer_deadline, TimerEvent::AnswerDeadline(call.id))));
                self.pending.insert(call.id, pending);
                self.clients.call_offered(client, now);
                self.deliver_pending(now);
                return self.decide(now, Event::Call(call));
            }
            Ok(_) => Verdict::Refused { wait: None },
            Err(ValidationError::NoTimeLeft) => Verdict::Failed,
            Err(ValidationError::UnknownClass | ValidationError::OutOfRange) => Verdict::Invalid,
            Err(ValidationError::DuplicateCall) => {
                self.accounting.counts.repeated += 1;
                return self.reject_duplicate(client, request.call);
            }
        };
        self.accounting.final_answer(request.call, Some(request.class), rejection);
        self.effects.push(Effect::FinalAnswer { client, call: request.call, verdict: rejection });
    }

    /// A client's set-up of which its front can make no request. `class` is there where it names one.
    pub fn offer_invalid(&mut self, client: ClientId, call: CallId, class: Option<usize>) {
        self.clients.invalid_input_received(client);
        self.accounting.counts.offered += 1;
        self.accounting.invalid_set_up(class);
        self.effects.push(Effect::FinalAnswer { client, call, verdict: Verdict::Invalid });
    }

    /// A client makes a call of an id that is taken. On the connection that has the call, any answer to the
    /// second would be taken for one to the first, so that only its end tells; the same where nothing else is
    /// lost with it.
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

    /// Sends a set-up, unless that would break a rule: then it counts as never sent.
    pub(super) fn send(&mut self, now: Micros, call: CallId, server: ServerId, stop_at: Micros) {
        let limits = &self.site.decisions.limits;
        let max_attempts = limits.attempts.max(1);
        let is_ready = self.route.is_ready(server);
        let Some(pending) = self.pending.get_mut(&call) else {
            self.accounting.record_breach(Breach::SentWhenCallEnd);
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
            self.decide(now, Event::Gone { call });
            return self.decide(now, Event::Ended(attempt.ended(now, call, Outcome::Moot)));
        }
        if let Some(breach) = breach {
            self.accounting.record_breach(breach);
            self.decide(now, Event::Ended(attempt.ended(now, call, Outcome::Moot)));
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
        self.timers.push(Reverse((stop_at, TimerEvent::AttemptTimeout(call, attempt.number))));
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

    /// Gives up an attempt that is still out. The server is told, so that what it answers later is void.
    fn abort_attempt(&mut self, now: Micros, call: CallId, number: u32, outcome: Outcome) {
        let Some(pending) = self.pending.get_mut(&call) else { return };
        let Some(attempt) = pending.in_flight.filter(|attempt| attempt.number == number) else { return };
        self.effects.push(Effect::CancelAttempt { server: attempt.server, call });
        self.end_attempt(now, attempt.ended(now, call, outcome));
    }

    /// Books the end of an attempt of a call that does not stand.
    pub(super) fn end_attempt(&mut self, now: Micros, end: End) {
        self.accounting.attempt_unanswered(end.server, end.outcome);
        if let Some(pending) = self.pending.get_mut(&end.call) {
            pending.in_flight = None;
            if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                pending.not_before = now + self.site.decisions.release;
            }
            self.publish_state(end.call, None, None);
        }
        self.decide(now, Event::Ended(end));
    }

    /// The time for a final answer has come. The decisions have given it by now; this guards against a call
    /// that they hold past it.
    pub(super) fn deadline_passed(&mut self, now: Micros, call: CallId) {
        let Some(pending) = self.pending.get(&call) else { return };
        if let Some(attempt) = pending.in_flight {
            self.attempt_timed_out(now, call, attempt.number);
        }
        if self.pending.contains_key(&call) {
            self.accounting.record_breach(Breach::HeldToDeadline);
            self.send_final_answer(now, call, Verdict::Failed);
            self.decide(now, Event::Gone { call });
        }
    }

    /// Gives every call that is open its final answer now: a refusal where nothing was sent for it.
    pub fn answer_all(&mut self, now: Micros) {
        for call in self.pending.keys().copied().collect::<Vec<_>>() {
            let Some(pending) = self.pending.get(&call) else { continue };
            let (in_flight, attempts) = (pending.in_flight, pending.attempts);
            if let Some(Attempt { server, .. }) = in_flight {
                self.effects.push(Effect::CancelAttempt { server, call });
                self.accounting.attempt_unanswered(server, Outcome::Cancelled);
                self.publish_state(call, None, None);
            }
            let wait = self.site.decisions.limits.told_wait(DRAIN_RETRY_AFTER);
            let verdict = if attempts == 0 { Verdict::Refused { wait } } else { Verdict::Failed };
            self.send_final_answer(now, call, verdict);
            self.decide(now, Event::Gone { call });
        }
    }

    /// The client has given a call up before its answer, or can no longer be answered: nothing is owed.
    pub(super) fn abandon(&mut self, now: Micros, call: CallId, end: CallEnd) {
        let Some(pending) = self.pending.get(&call) else { return };
        let in_flight = pending.in_flight;
        self.accounting.counts.abandoned += 1;
        self.decide(now, Event::Gone { call });
        // Where the settings permit no cancel, the decisions do not ask for one; the attempt still ends here.
        if let Some(attempt) = in_flight {
            self.cancel(now, call, attempt.number);
        }
        self.remove_pending(call);
        self.accounting.record_end(call, end);
    }

    /// Takes a pending call out, with the room that it held.
    pub(super) fn remove_pending(&mut self, call: CallId) -> Option<PendingCall> {
        let pending = self.pending.remove(&call)?;
        self.admission.remove(&pending.number, &pending.description);
        self.clients.call_answered(pending.client);
        Some(pending)
    }

    /// A connection to a server has gone, or could not be had. What was out there is over.
    pub fn link_lost(&mut self, now: Micros, server: ServerId, loss: LinkLoss) {
        let outcome = match loss {
            LinkLoss::Refused | LinkLoss::Unanswered => Outcome::ConnectFailed,
            LinkLoss::Dropped | LinkLoss::Unreadable => Outcome::Reset,
        };
        for (call, attempt) in self.in_flight_at(server) {
            self.end_attempt(now, attempt.ended(now, call, outcome));
        }
        if loss == LinkLoss::Refused {
            self.server_process_ended(now, server, Micros::MAX);
        }
    }

    /// A set-up went with its connection, and may have run.
    pub fn attempt_lost(&mut self, now: Micros, server: ServerId, call: CallId) {
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.ended(now, call, Outcome::Reset));
        }
    }

    /// One set-up could not be put on its way to a server.
    pub fn not_sent(&mut self, now: Micros, server: ServerId, call: CallId, reason: NotSent) {
        let outcome = match reason {
            NotSent::Unreachable => Outcome::ConnectFailed,
            // No failure of the server: held against it, it would keep everybody's set-ups from it.
            NotSent::QueueFull | NotSent::Withdrawn => Outcome::Moot,
        };
        let in_flight = self.pending.get(&call).and_then(|pending| pending.in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.ended(now, call, outcome));
        }
    }

    fn in_flight_at(&self, server: ServerId) -> Vec<(CallId, Attempt)> {
        let in_flight = self.pending.iter().filter_map(|(call, pending)| Some((*call, pending.in_flight?)));
        in_flight.filter(|(_, attempt)| attempt.server == server).collect()
    }
}
