//! Fourth stage: attempts. One is out at a time, each with an end of its own; the rules that an attempt must
//! keep are checked here once more before it leaves.

use std::cmp::Reverse;
use std::rc::Rc;

use steprelay_decisions::{AttemptEnd, CallId, Cause, Event, Micros, Outcome, Report, ServerId};

use super::book::Over;
use super::take_in::{answer_by, Unfit};
use super::{Breach, ClientId, Core, Effect, LinkLoss, Promise, Request, SetUp, Verdict, Wake};

/// Who is sent away comes back after this, since others serve it: its connection is quiet and closed by then.
const ELSEWHERE: Micros = 100_000;

/// A process that looks at its connections so late was held up.
const LATE_POLL: Micros = 100_000;

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
    pub fn ended(self, now: Micros, call: CallId, outcome: Outcome) -> AttemptEnd {
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

/// A call that was taken in and has no final answer.
pub struct Pending {
    pub client: ClientId,
    pub class: usize,
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// When its final answer has to leave.
    pub answer_by: Micros,
    pub out: Option<Attempt>,
    pub attempts: u32,
    /// Nothing is sent for it before this, since what an earlier attempt held may still be taken.
    pub not_before: Micros,
}

/// When a set-up is taken to have come that is read now.
fn came_at(now: Micros, polled: Micros) -> Micros {
    if now - polled > LATE_POLL {
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
        if !self.clients.is_here(client) {
            return;
        }
        self.clients.heard(client, now);
        self.book.counts.offered += 1;
        let unfit = match self.take_in(now, &request) {
            Ok(_) if !self.duty.takes(came_at(now, polled), answer_by(&request)) || self.is_short() => {
                Verdict::Refused { wait: self.site.decisions.limits.capped_retry_after(ELSEWHERE) }
            }
            Ok(call) if self.admission.admit(&request, self.clients.open(client)) => {
                let pending = Pending {
                    client,
                    class: request.class,
                    answer_by: answer_by(&request),
                    number: request.number,
                    description: request.description,
                    out: None,
                    attempts: 0,
                    not_before: now,
                };
                self.wakes.push(Reverse((pending.answer_by, Wake::Deadline(call.id))));
                self.pending.insert(call.id, pending);
                self.clients.called(client, now);
                self.deliver_pending(now);
                return self.decide(now, Event::Call(call));
            }
            Ok(_) => Verdict::Refused { wait: None },
            Err(Unfit::NoTimeLeft) => Verdict::Failed,
            Err(Unfit::UnknownClass | Unfit::OutOfRange) => Verdict::Invalid,
            Err(Unfit::SameCall) => {
                self.book.counts.repeated += 1;
                return self.repeated(client, request.call);
            }
        };
        self.book.verdict(request.call, Some(request.class), unfit);
        self.effects.push(Effect::Final { client, call: request.call, verdict: unfit });
    }

    /// A client's set-up of which its front can make no request. `class` is there where it names one.
    pub fn offer_unfit(&mut self, client: ClientId, call: CallId, class: Option<usize>) {
        self.clients.unfit(client);
        self.book.counts.offered += 1;
        self.book.misread(class);
        self.effects.push(Effect::Final { client, call, verdict: Verdict::Invalid });
    }

    /// A client makes a call of an id that is taken. On the connection that has the call, any answer to the
    /// second would be taken for one to the first, so that only its end tells; the same where nothing else is
    /// lost with it.
    fn repeated(&mut self, client: ClientId, call: CallId) {
        let owner = self.pending.get(&call).map(|pending| pending.client);
        if owner.or(self.relay.owner(call)) == Some(client) || self.clients.open(client) == 0 {
            self.let_go(client);
        } else {
            self.effects.push(Effect::Final { client, call, verdict: Verdict::Invalid });
        }
    }

    /// Sends a set-up, unless that would break a rule: then it counts as never sent.
    pub(super) fn send(&mut self, now: Micros, call: CallId, server: ServerId, stop_at: Micros) {
        let limits = &self.site.decisions.limits;
        let most_attempts = limits.max_attempts.max(1);
        let ready = self.route.ready(server);
        let Some(pending) = self.pending.get_mut(&call) else {
            self.book.breach(Breach::SentWhenOver);
            return;
        };
        let breach = if pending.out.is_some() {
            Some(Breach::SecondAttempt)
        } else if pending.attempts >= most_attempts {
            Some(Breach::TooManyAttempts)
        } else if !ready {
            Some(Breach::SentToDraining)
        } else if now < pending.not_before {
            Some(Breach::ResentEarly)
        } else {
            None
        };
        let attempt = Attempt { server, number: pending.attempts, sent: now };
        pending.attempts += 1;
        if self.clients.is_away(pending.client) {
            self.finish(now, call, Verdict::Failed);
            self.decide(now, Event::CallerGone { call });
            return self.decide(now, Event::AttemptEnded(attempt.ended(now, call, Outcome::NotSent)));
        }
        if let Some(breach) = breach {
            self.book.breach(breach);
            self.decide(now, Event::AttemptEnded(attempt.ended(now, call, Outcome::NotSent)));
            return;
        }
        let stop_at = stop_at.min(pending.answer_by);
        pending.out = Some(attempt);
        let set_up = SetUp {
            call,
            class: pending.class,
            number: pending.number.clone(),
            description: pending.description.clone(),
            wait: (stop_at - now).max(0),
        };
        self.wakes.push(Reverse((stop_at, Wake::Stop(call, attempt.number))));
        self.book.sent(server);
        self.promise(call, Some(Promise::Out(server)), None);
        self.effects.push(Effect::SetUp { server, set_up });
    }

    pub(super) fn attempt_timed_out(&mut self, now: Micros, call: CallId, number: u32) {
        self.call_off(now, call, number, Outcome::Timeout);
    }

    pub(super) fn cancel(&mut self, now: Micros, call: CallId, number: u32) {
        self.call_off(now, call, number, Outcome::Cancelled);
    }

    /// Gives up an attempt that is still out. The server is told, so that what it answers later is void.
    fn call_off(&mut self, now: Micros, call: CallId, number: u32, outcome: Outcome) {
        let Some(pending) = self.pending.get_mut(&call) else { return };
        let Some(attempt) = pending.out.filter(|attempt| attempt.number == number) else { return };
        self.effects.push(Effect::GiveUp { server: attempt.server, call });
        self.end_attempt(now, attempt.ended(now, call, outcome));
    }

    /// Books the end of an attempt of a call that does not stand.
    pub(super) fn end_attempt(&mut self, now: Micros, end: AttemptEnd) {
        self.book.unanswered(end.server, end.outcome);
        if let Some(pending) = self.pending.get_mut(&end.call) {
            pending.out = None;
            if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                pending.not_before = now + self.site.decisions.retry_delay;
            }
            self.promise(end.call, None, None);
        }
        self.decide(now, Event::AttemptEnded(end));
    }

    /// The time for a final answer has come. The decisions have given it by now; this guards against a call
    /// that they hold past it.
    pub(super) fn deadline_passed(&mut self, now: Micros, call: CallId) {
        let Some(pending) = self.pending.get(&call) else { return };
        if let Some(attempt) = pending.out {
            self.attempt_timed_out(now, call, attempt.number);
        }
        if self.pending.contains_key(&call) {
            self.book.breach(Breach::HeldToDeadline);
            self.finish(now, call, Verdict::Failed);
            self.decide(now, Event::CallerGone { call });
        }
    }

    /// Gives every call that is open its final answer now: a refusal where nothing was sent for it.
    pub fn answer_all(&mut self, now: Micros) {
        for call in self.pending.keys().copied().collect::<Vec<_>>() {
            let Some(pending) = self.pending.get(&call) else { continue };
            let (out, attempts) = (pending.out, pending.attempts);
            if let Some(Attempt { server, .. }) = out {
                self.effects.push(Effect::GiveUp { server, call });
                self.book.unanswered(server, Outcome::Cancelled);
                self.promise(call, None, None);
            }
            let wait = self.site.decisions.limits.capped_retry_after(ELSEWHERE);
            let verdict = if attempts == 0 { Verdict::Refused { wait } } else { Verdict::Failed };
            self.finish(now, call, verdict);
            self.decide(now, Event::CallerGone { call });
        }
    }

    /// The client has given a call up before its answer, or can no longer be answered: nothing is owed.
    pub(super) fn abandon(&mut self, now: Micros, call: CallId, over: Over) {
        let Some(pending) = self.pending.get(&call) else { return };
        let out = pending.out;
        self.book.counts.abandoned += 1;
        self.decide(now, Event::CallerGone { call });
        // Where the settings permit no cancel, the decisions do not ask for one; the attempt still ends here.
        if let Some(attempt) = out {
            self.cancel(now, call, attempt.number);
        }
        self.forget(call);
        self.book.note_over(call, over);
    }

    /// Takes a pending call out, with the room that it held.
    pub(super) fn forget(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.pending.remove(&call)?;
        self.admission.leave(&pending.number, &pending.description);
        self.clients.settled(pending.client);
        Some(pending)
    }

    /// A connection to a server has gone, or could not be had. What was out there is over.
    pub fn link_lost(&mut self, now: Micros, server: ServerId, loss: LinkLoss) {
        let outcome = match loss {
            LinkLoss::Refused | LinkLoss::Unanswered => Outcome::ConnectFailed,
            LinkLoss::Dropped | LinkLoss::Unreadable => Outcome::Reset,
        };
        for (call, attempt) in self.out_at(server) {
            self.end_attempt(now, attempt.ended(now, call, outcome));
        }
        if loss == LinkLoss::Refused {
            self.server_dead(now, server, Micros::MAX);
        }
    }

    /// A set-up went with its connection, and may have run.
    pub fn attempt_lost(&mut self, now: Micros, server: ServerId, call: CallId) {
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        if let Some(attempt) = out.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.ended(now, call, Outcome::Reset));
        }
    }

    /// One set-up could not be put on its way to a server.
    pub fn not_sent(&mut self, now: Micros, server: ServerId, call: CallId, reason: NotSent) {
        let outcome = match reason {
            NotSent::Unreachable => Outcome::ConnectFailed,
            // No failure of the server: held against it, it would keep everybody's set-ups from it.
            NotSent::QueueFull | NotSent::Withdrawn => Outcome::NotSent,
        };
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        if let Some(attempt) = out.filter(|attempt| attempt.server == server) {
            self.end_attempt(now, attempt.ended(now, call, outcome));
        }
    }

    fn out_at(&self, server: ServerId) -> Vec<(CallId, Attempt)> {
        let out = self.pending.iter().filter_map(|(call, pending)| Some((*call, pending.out?)));
        out.filter(|(_, attempt)| attempt.server == server).collect()
    }
}
