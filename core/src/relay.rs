//! Fifth stage: answers, refusals and releases on their way back, and what stands.
//!
//! A call that stands belongs to no connection. Its end may come from anywhere, also for a call that stood
//! before this process started, and is passed on by any connection that can take it, until one confirms it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use steprelay_decisions::{CallId, Cause, End, Event, Micros, Outcome, Report, ServerId};

use super::book::Over;
use super::send::Attempt;
use super::{BoundCall, ClientId, Core, Effect, Peer, Promise, ReleaseCause, Verdict, Wake};

/// A release is worth passing on this long.
const HOLD_RELEASES: Micros = 8_000_000;
/// More of them than this are not kept.
const MOST_OWED: usize = 20_000;
/// A caller confirms a release within this, or else another connection takes it: the first may have gone, or
/// belong to somebody who does not listen. A connection with nothing but tests takes it only after this time.
const CONFIRMED_WITHIN: Micros = 150_000;
/// So many connections are given one release.
const MOST_GIVEN: usize = 6;

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

    pub fn since(&self) -> Micros {
        self.since
    }

    pub fn is_adopted(&self) -> bool {
        self.client.is_none()
    }
}

/// A release that no caller has confirmed.
#[derive(Clone, Debug)]
struct Owed {
    /// Who made the call, where that is known.
    client: Option<ClientId>,
    server: ServerId,
    cause: ReleaseCause,
    since: Micros,
    /// The connections that were given it, the last one last.
    given: Vec<ClientId>,
    /// When it is given to another one.
    again: Micros,
}

#[derive(Default)]
pub struct Relay {
    standing: BTreeMap<CallId, Standing>,
    owed: BTreeMap<CallId, Owed>,
    /// Those of them that no connection could be given yet.
    untaken: BTreeSet<CallId>,
}

impl Relay {
    pub fn standing(&self) -> usize {
        self.standing.len()
    }

    /// Releases that no caller has confirmed.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Connections that were just given a release, and may still confirm it.
    pub fn unconfirmed(&self, now: Micros) -> BTreeSet<ClientId> {
        let given = self.owed.values().filter(|owed| owed.again > now);
        given.filter_map(|owed| owed.given.last().copied()).collect()
    }

    /// The client whose call stands.
    pub fn owner(&self, call: CallId) -> Option<ClientId> {
        self.standing.get(&call)?.client
    }

    /// What is promised of calls that stand and of releases that are owed.
    pub fn promised(&self) -> impl Iterator<Item = (CallId, Promise)> + '_ {
        let calls = self.standing.keys().chain(self.owed.keys());
        calls.filter_map(|call| Some((*call, self.promise_of(*call)?)))
    }

    pub fn promise_of(&self, call: CallId) -> Option<Promise> {
        let owed = self.owed.get(&call).map(|owed| Promise::Owed(owed.server, owed.cause));
        owed.or_else(|| Some(Promise::Stands(self.standing.get(&call)?.attempt.server)))
    }

    pub fn is_known(&self, call: CallId) -> bool {
        self.standing.contains_key(&call) || self.owed.contains_key(&call)
    }

    /// Whether a release came up before this moment.
    pub fn is_owed_since_before(&self, call: CallId, moment: Micros) -> bool {
        self.owed.get(&call).is_some_and(|owed| owed.since < moment)
    }

    /// Whether a caller was given the release.
    pub fn has_given(&self, call: CallId) -> bool {
        self.owed.get(&call).is_some_and(|owed| !owed.given.is_empty())
    }

    pub fn adopt(&mut self, call: CallId, standing: Standing) {
        self.standing.insert(call, standing);
    }

    pub fn take_standing(&mut self, call: CallId) -> Option<Standing> {
        self.standing.remove(&call)
    }

    pub fn forget_owed(&mut self, call: CallId) {
        self.owed.remove(&call);
        self.untaken.remove(&call);
    }

    /// Forgets a release that nobody was given yet; whether there was one.
    pub fn forget_untaken(&mut self, call: CallId) -> bool {
        let untaken = self.owed.get(&call).is_some_and(|owed| owed.given.is_empty());
        if untaken {
            self.forget_owed(call);
        }
        untaken
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
        self.pass_on_untaken(now);
    }

    /// A client's connection is gone: no answer can reach what waits on it, but what stands goes on.
    pub fn client_closed(&mut self, now: Micros, client: ClientId) {
        self.clients.closed(client);
        let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
        for call in waiting.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.abandon(now, call, Over::Unheard);
        }
        // What it was given may never have arrived.
        let owed = self.relay.owed.iter().filter(|(_, owed)| owed.given.last() == Some(&client));
        for call in owed.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.pass_on(now, call);
        }
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

    /// A client confirms that it has heard a release.
    pub fn release_heard(&mut self, now: Micros, client: ClientId, call: CallId) {
        self.clients.heard(client, now);
        if self.relay.owed.get(&call).is_some_and(|owed| owed.given.contains(&client)) {
            self.relay.owed.remove(&call);
            self.promise(call, None, None);
        }
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
        self.decide(now, Event::First { call, server, attempt: attempt.number, lag });
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
            return self.end_attempt(now, End { cause: note, report, ..end });
        }
        let standing = self.relay.stands(call).filter(|standing| standing.attempt.server == server);
        if let Some(&standing) = standing {
            self.relay.standing.remove(&call);
            if self.is_shared(&standing) {
                self.pass_on_to_members(call);
            }
            self.release_to(now, standing.client, server, call, cause);
            return self.call_over(now, call, standing, cause.outcome_after_answer(), report);
        }
        self.report(now, server, report);
        if !self.pending.contains_key(&call)
            && self.relay.stands(call).is_none()
            && self.book.over(call).is_none()
        {
            // It stood before this process started; its caller still waits for the release.
            self.book.counts.released_unknown += 1;
            self.book.note_over(call, Over::Answered);
            let client = BoundCall::of(call).map(BoundCall::client_id);
            if client.is_none() && self.promises_are_told() {
                self.pass_on_to_members(call);
                return self.hold_unclaimed(now, server, call, cause);
            }
            self.release_to(now, client, server, call, cause);
        }
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
            if self.is_shared(&standing) {
                self.pass_on_to_members(call);
            }
            self.release_to(now, standing.client, server, call, ReleaseCause::TEMPORARY);
            self.call_over(now, call, standing, Outcome::Reset, Report::default());
        }
        self.note_gone(server, before);
    }

    /// A server has been out of reach for longer than what stood there can be left without a release.
    pub fn out_of_reach(&mut self, now: Micros, server: ServerId) {
        self.server_dead(now, server, Micros::MAX);
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
        let end = End { last: true, report, ..over.attempt.ended(now, call, outcome) };
        self.stands_no_more(now, over, end);
    }

    /// A call is another's from now on.
    pub(super) fn let_standing_go(&mut self, now: Micros, call: CallId, standing: Standing) {
        let end = End { last: true, ..standing.attempt.ended(now, call, Outcome::Ok) };
        self.stands_no_more(now, standing, end);
    }

    fn stands_no_more(&mut self, now: Micros, over: Standing, end: End) {
        over.client.into_iter().for_each(|client| self.clients.over(client));
        self.decide(now, Event::Ended(end));
    }

    pub(super) fn release_to(
        &mut self,
        now: Micros,
        client: Option<ClientId>,
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
    ) {
        if self.relay.owed.len() >= MOST_OWED {
            self.book.counts.releases_lost += 1;
            self.promise(call, None, None);
            return;
        }
        self.promise(call, Some(Promise::Owed(server, cause)), None);
        let owed = Owed { client, server, cause, since: now, given: Vec::new(), again: now };
        self.relay.owed.insert(call, owed);
        self.relay.untaken.insert(call);
        self.release_due(now, call);
    }

    /// Looks after a release until it is confirmed, or nobody waits for it any more.
    pub(super) fn release_due(&mut self, now: Micros, call: CallId) {
        let Some(owed) = self.relay.owed.get(&call) else { return };
        if owed.again <= now && !self.is_doubted(owed.since) {
            if now >= owed.since + HOLD_RELEASES || owed.given.len() >= MOST_GIVEN {
                self.relay.owed.remove(&call);
                if self.relay.untaken.remove(&call) {
                    self.book.counts.releases_lost += 1;
                }
                self.promise(call, None, None);
                return;
            }
            self.pass_on(now, call);
        }
        if let Some(owed) = self.relay.owed.get(&call) {
            let at =
                if self.is_doubted(owed.since) { now + CONFIRMED_WITHIN } else { owed.again.max(now + 1) };
            self.wakes.push(Reverse((at, Wake::Owed(call))));
        }
    }

    /// Gives a release to the next connection that can take it.
    fn pass_on(&mut self, now: Micros, call: CallId) {
        let Some(since) = self.relay.owed.get(&call).map(|owed| owed.since) else { return };
        // Another one may have given it meanwhile.
        let doubted = self.is_doubted(since);
        let Some(owed) = self.relay.owed.get_mut(&call) else { return };
        let untested = now >= owed.since + CONFIRMED_WITHIN;
        owed.again = now + CONFIRMED_WITHIN;
        if doubted {
            return;
        }
        let Some(client) = self.clients.taker(owed.client, &owed.given, untested) else { return };
        self.effects.push(Effect::Released { client, call, cause: owed.cause });
        owed.given.push(client);
        self.relay.untaken.remove(&call);
        if client.is_bound() {
            // Its front sees to it that the release is confirmed.
            self.relay.owed.remove(&call);
            self.promise(call, None, None);
        }
    }

    /// Passes on the releases that wait for a connection.
    pub(super) fn pass_on_untaken(&mut self, now: Micros) {
        for call in self.relay.untaken.iter().copied().collect::<Vec<_>>() {
            self.pass_on(now, call);
        }
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
