//! Fifth stage: answers, refusals and releases on their way back, and what stands.
//!
//! A call that stands belongs to no connection. Its end may come from anywhere, also for a call that stood
//! before this process started; [`super::delivery`] sees to it that a caller hears of it.

use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_decisions::{AttemptEnd, CallId, Cause, Event, Micros, Outcome, Report, ServerId};

use super::book::Over;
use super::send::Attempt;
use super::unclaimed::{LeftTo, Unclaimed};
use super::{BoundCall, ClientId, Core, Effect, Peer, Promise, ReleaseCause, Verdict};

#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Who made it; nobody who is here, where another call agent had it.
    client: Option<ClientId>,
    attempt: Attempt,
    since: Micros,
}

impl Standing {
    /// One that stood at another call agent, since a time that is not known.
    pub fn adopted(attempt: Attempt) -> Self {
        Standing { client: None, attempt, since: 0 }
    }

    pub fn server(&self) -> ServerId {
        self.attempt.server
    }

    pub fn is_adopted(&self) -> bool {
        self.client.is_none()
    }
}

#[derive(Default)]
pub struct Relay {
    standing: BTreeMap<CallId, Standing>,
}

impl Relay {
    pub fn standing(&self) -> usize {
        self.standing.len()
    }

    /// The client whose call stands.
    pub fn owner(&self, call: CallId) -> Option<ClientId> {
        self.standing.get(&call)?.client
    }

    /// What is promised of calls that stand.
    pub fn promised(&self) -> impl Iterator<Item = (CallId, Promise)> + '_ {
        self.standing.iter().map(|(call, standing)| (*call, Promise::Stands(standing.attempt.server)))
    }

    pub fn promise_of(&self, call: CallId) -> Option<Promise> {
        Some(Promise::Stands(self.standing.get(&call)?.attempt.server))
    }

    pub fn adopt(&mut self, call: CallId, standing: Standing) {
        self.standing.insert(call, standing);
    }

    pub fn take_standing(&mut self, call: CallId) -> Option<Standing> {
        self.standing.remove(&call)
    }

    pub fn stands(&self, call: CallId) -> Option<&Standing> {
        self.standing.get(&call)
    }
}

impl Core {
    /// A client's connection, or a peer of the M3UA front, is there.
    pub fn client_opened(&mut self, now: Micros, client: ClientId, peer: Option<Peer>) {
        if let Some(spare) = self.clients.opened(client, peer, now) {
            self.let_go(spare);
        }
        self.deliver_pending(now);
    }

    /// A client's connection is gone: no answer can reach what waits on it, but what stands goes on.
    pub fn client_closed(&mut self, now: Micros, client: ClientId) {
        self.clients.closed(client);
        let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
        for call in waiting.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.abandon(now, call, Over::Unheard);
        }
        self.redeliver_from(now, client);
    }

    /// A client can be told nothing for now, or can again. Nothing is sent for its set-ups meanwhile: what is
    /// out at a server may still be answered, and what has not left is taken back.
    pub fn client_away(&mut self, client: ClientId, away: bool) {
        self.clients.set_away(client, away);
        if away {
            let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
            let out = waiting.filter_map(|(call, pending)| Some((*call, pending.out?.server)));
            self.effects.extend(out.map(|(call, server)| Effect::Withdraw { server, call }));
        }
    }

    /// A client asks whether this call agent is well.
    pub fn client_tested(&mut self, now: Micros, client: ClientId) {
        self.clients.heard(client, now);
    }

    /// A client gives a set-up up or releases a call that stands.
    pub fn client_ended(&mut self, now: Micros, client: ClientId, call: CallId, cause: ReleaseCause) {
        self.clients.heard(client, now);
        if self.pending.contains_key(&call) {
            return self.abandon(now, call, Over::Answered);
        }
        if let Some(standing) = self.relay.standing.remove(&call) {
            self.promise(call, None, None);
            self.effects.push(Effect::Release { server: standing.attempt.server, call, cause });
            return self.call_over(now, call, standing, Outcome::Cancelled, Report::default());
        }
        if self.book.over(call).is_none() {
            // It stood before this process started. Which server has it is not known here: the one that does
            // releases it, and the others know no such call.
            let servers: Vec<_> = self.route.entries().map(|entry| entry.server).collect();
            for server in servers {
                self.effects.push(Effect::Release { server, call, cause });
            }
            self.book.note_over(call, Over::Answered);
            self.pass_on_to_members(call);
        }
    }

    /// A server has answered.
    pub fn server_answered(&mut self, now: Micros, server: ServerId, call: CallId, description: Rc<str>) {
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        let Some(attempt) = out.filter(|attempt| attempt.server == server) else {
            let again = self.relay.stands(call).is_some_and(|standing| standing.attempt.server == server);
            if !again {
                // Given up before the answer arrived, or never asked for: nobody is at the other end of it.
                // What the server says to the release is not news of a call from before this process started.
                if !self.pending.contains_key(&call) && self.book.over(call).is_none() {
                    self.book.note_over(call, Over::Answered);
                }
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::NORMAL });
            }
            return;
        };
        let Some(pending) = self.forget(call) else { return };
        let client = pending.client;
        self.relay.standing.insert(call, Standing { client: Some(client), attempt, since: now });
        self.promise(call, Some(Promise::Stands(server)), Some(pending.answer_by));
        self.book.stood(server, pending.class);
        self.clients.stood(client);
        self.effects.push(Effect::Answer { client, call, description });
        let lag = now - attempt.sent;
        self.decide(now, Event::Answered { call, server, attempt: attempt.number, lag });
    }

    /// A server has refused a set-up or released a call.
    pub fn server_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
        note: Cause,
        report: Report,
    ) {
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        if let Some(attempt) = out.filter(|attempt| attempt.server == server) {
            let end = attempt.ended(now, call, cause.outcome_before_answer());
            let proven =
                self.pending.get(&call).is_some_and(|pending| self.clients.is_proven(pending.client));
            let note = match end.outcome {
                Outcome::Error if note == Cause::Untold && !proven => Cause::Unproven,
                _ => note,
            };
            return self.end_attempt(now, AttemptEnd { cause: note, report, ..end });
        }
        let standing = self.relay.stands(call).filter(|standing| standing.attempt.server == server);
        if let Some(&standing) = standing {
            self.relay.standing.remove(&call);
            self.release_standing(now, server, call, standing, cause);
            return self.call_over(now, call, standing, cause.outcome_after_answer(), report);
        }
        self.report(now, server, report);
        if !self.pending.contains_key(&call)
            && self.relay.stands(call).is_none()
            && (self.book.over(call).is_none() || self.is_left_to_another(call))
        {
            // It stood before this process started; its caller still waits for the release.
            let left = if self.is_left_to_another(call) { LeftTo::Another } else { LeftTo::Nobody };
            self.book.counts.released_unknown += 1;
            self.book.note_over(call, Over::Answered);
            let client = BoundCall::of(call).map(BoundCall::client_id);
            if client.is_none() && self.promises_are_told() {
                return self.hold_unclaimed(now, call, Unclaimed { client, server, cause, left });
            }
            self.release_to(now, client, server, call, cause);
        }
    }

    /// Gives the release of a call that stood here, or asks first where another member may have given it.
    fn release_standing(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
        standing: Standing,
        cause: ReleaseCause,
    ) {
        let client = standing.client;
        // Calls that are bound to circuits are no other member's.
        if self.is_doubted(standing.since) && BoundCall::of(call).is_none() {
            let left = LeftTo::Nobody;
            return self.hold_unclaimed(now, call, Unclaimed { client, server, cause, left });
        }
        if standing.is_adopted() {
            self.pass_on_to_members(call);
        }
        self.release_to(now, client, server, call, cause);
    }

    /// A server has released a call on a connection that was let go of meanwhile. It was told already that
    /// this was heard, and does not say it again: what stands there is over all the same. A set-up that was
    /// out on that connection counts as reset, so that the word can't be about a later attempt.
    pub fn server_ended_late(&mut self, now: Micros, server: ServerId, call: CallId, cause: ReleaseCause) {
        if !self.pending.contains_key(&call) {
            self.server_ended(now, server, call, cause, Cause::Untold, Report::default());
        }
    }

    /// Whether any call stands at a server.
    pub fn stands_at(&self, server: ServerId) -> bool {
        self.relay.standing.values().any(|standing| standing.attempt.server == server)
    }

    /// A server's process is over, and with it what came to stand there before this time.
    pub(super) fn server_dead(&mut self, now: Micros, server: ServerId, before: Micros) {
        let cut = self
            .relay
            .standing
            .iter()
            .filter(|(_, standing)| standing.attempt.server == server && standing.since < before)
            .filter(|(_, standing)| !self.is_doubted(standing.since));
        for (call, standing) in cut.map(|(call, standing)| (*call, *standing)).collect::<Vec<_>>() {
            self.relay.standing.remove(&call);
            self.release_standing(now, server, call, standing, ReleaseCause::TEMPORARY);
            self.call_over(now, call, standing, Outcome::Reset, Report::default());
        }
        self.note_gone(server, before);
    }

    /// A server has been out of reach for longer than what stood there can be left without a release; returns
    /// how many calls ended with that.
    pub fn out_of_reach(&mut self, now: Micros, server: ServerId) -> usize {
        let at_server = |(_, standing): &(&CallId, &Standing)| standing.attempt.server == server;
        let calls: Vec<CallId> =
            self.relay.standing.iter().filter(at_server).map(|(call, _)| *call).collect();
        self.server_dead(now, server, Micros::MAX);
        let ended: Vec<CallId> =
            calls.into_iter().filter(|call| self.relay.stands(*call).is_none()).collect();
        // One that was only cut off still has them when it is back.
        let release = |&call: &CallId| Effect::Release { server, call, cause: ReleaseCause::TEMPORARY };
        self.effects.extend(ended.iter().map(release));
        let ended = ended.len();
        self.book.counts.servers_out_of_reach += 1;
        self.book.counts.ended_out_of_reach += ended as u64;
        ended
    }

    pub(super) fn call_over(
        &mut self,
        now: Micros,
        call: CallId,
        over: Standing,
        outcome: Outcome,
        report: Report,
    ) {
        self.book.released(call, over.attempt.server, outcome);
        let end = AttemptEnd { is_final: true, report, ..over.attempt.ended(now, call, outcome) };
        self.stands_no_more(now, over, end);
    }

    /// A call is another's from now on.
    pub(super) fn let_standing_go(&mut self, now: Micros, call: CallId, standing: Standing) {
        let end = AttemptEnd { is_final: true, ..standing.attempt.ended(now, call, Outcome::Ok) };
        self.stands_no_more(now, standing, end);
    }

    fn stands_no_more(&mut self, now: Micros, over: Standing, end: AttemptEnd) {
        over.client.into_iter().for_each(|client| self.clients.over(client));
        self.decide(now, Event::AttemptEnded(end));
    }

    /// Gives a call its final answer.
    pub(super) fn finish(&mut self, now: Micros, call: CallId, verdict: Verdict) {
        let Some(pending) = self.forget(call) else { return };
        if now > pending.answer_by + super::take_in::ANSWER_MARGIN {
            self.book.counts.answered_late += 1;
        }
        self.book.verdict(call, Some(pending.class), verdict);
        self.effects.push(Effect::Final { client: pending.client, call, verdict });
    }
}
