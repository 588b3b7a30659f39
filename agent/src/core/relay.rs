//! Fifth stage: answers, refusals and releases on their way back, and what stands.
//!
//! A call that stands belongs to no connection. Its end may come from anywhere, also for a call that stood
//! before this process started, and is passed on by any connection that can take it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use steprelay_decisions::{CallId, Cause, End, Event, Micros, Outcome, Report, ServerId};

use super::book::Over;
use super::send::Attempt;
use super::{BoundCall, ClientId, Core, Effect, ReleaseCause, Verdict, Wake};

/// A release that no client could take is worth keeping this long.
const HOLD_RELEASES: Micros = 10_000_000;
/// More of them than this are not kept.
const MOST_HELD: usize = 20_000;

#[derive(Clone, Copy, Debug)]
pub struct Standing {
    client: ClientId,
    attempt: Attempt,
    since: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    /// It takes releases of calls that came on other such connections.
    shared: bool,
    heard: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    client: Option<ClientId>,
    call: CallId,
    cause: ReleaseCause,
    until: Micros,
}

#[derive(Default)]
pub struct Relay {
    standing: BTreeMap<CallId, Standing>,
    clients: BTreeMap<ClientId, Client>,
    held: VecDeque<Held>,
}

impl Relay {
    pub fn standing(&self) -> usize {
        self.standing.len()
    }

    pub fn stands(&self, call: CallId) -> Option<&Standing> {
        self.standing.get(&call)
    }

    pub fn heard_from(&mut self, client: ClientId, now: Micros) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.heard = now;
        }
    }

    /// Who can pass on a release: a peer that owns the call, else the connection that was heard from last,
    /// since one that has long been silent may be about to close.
    fn taker(&self, client: Option<ClientId>) -> Option<ClientId> {
        if let Some(own) = client.filter(|&own| is_bound(own)) {
            return self.clients.contains_key(&own).then_some(own);
        }
        let shared = self.clients.iter().filter(|(_, client)| client.shared);
        shared.max_by_key(|(_, client)| client.heard).map(|(id, _)| *id)
    }
}

/// Whether calls of this client can be released through it only.
fn is_bound(client: ClientId) -> bool {
    client.0 & ClientId::BOUND != 0
}

impl ClientId {
    /// Marks the ids of clients whose calls are bound to circuits of theirs.
    pub const BOUND: u64 = 1 << 63;
}

impl Core {
    pub fn client_opened(&mut self, now: Micros, client: ClientId) {
        self.relay.clients.insert(client, Client { shared: !is_bound(client), heard: now });
        self.relay_held(now);
    }

    /// A client's connection is gone: no answer can reach what waits on it, but what stands goes on.
    pub fn client_closed(&mut self, now: Micros, client: ClientId) {
        self.relay.clients.remove(&client);
        let waiting = self.pending.iter().filter(|(_, pending)| pending.client == client);
        for call in waiting.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.abandon(now, call, Over::Unheard);
        }
    }

    /// A client gives a set-up up or releases a call that stands.
    pub fn client_ended(&mut self, now: Micros, client: ClientId, call: CallId, cause: ReleaseCause) {
        self.relay.heard_from(client, now);
        if self.pending.contains_key(&call) {
            return self.abandon(now, call, Over::Answered);
        }
        if let Some(standing) = self.relay.standing.remove(&call) {
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
        }
    }

    /// A server has answered.
    pub fn server_answered(&mut self, now: Micros, server: ServerId, call: CallId, description: Rc<str>) {
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        let Some(attempt) = out.filter(|attempt| attempt.server == server) else {
            let again = self.relay.stands(call).is_some_and(|standing| standing.attempt.server == server);
            if !again {
                // Given up before the answer arrived: nobody is at the other end of it.
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::NORMAL });
            }
            return;
        };
        let Some(pending) = self.forget(call) else { return };
        let client = pending.client;
        self.relay.standing.insert(call, Standing { client, attempt, since: now });
        self.book.stood(server);
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
            return self.end_attempt(now, End { cause: note, report, ..end });
        }
        let standing = self.relay.stands(call).filter(|standing| standing.attempt.server == server);
        if let Some(&standing) = standing {
            self.relay.standing.remove(&call);
            self.release_to(now, Some(standing.client), call, cause);
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
            self.release_to(now, client, call, cause);
        }
    }

    /// A server's process is over, and with it what came to stand there before this time.
    pub(super) fn server_dead(&mut self, now: Micros, server: ServerId, before: Micros) {
        let cut = self
            .relay
            .standing
            .iter()
            .filter(|(_, standing)| standing.attempt.server == server && standing.since < before);
        for (call, standing) in cut.map(|(call, standing)| (*call, *standing)).collect::<Vec<_>>() {
            self.relay.standing.remove(&call);
            self.release_to(now, Some(standing.client), call, ReleaseCause::TEMPORARY);
            self.call_over(now, call, standing, Outcome::Reset, Report::default());
        }
    }

    /// A server has been out of reach for longer than what stood there can be left without a release.
    pub fn out_of_reach(&mut self, now: Micros, server: ServerId) {
        self.server_dead(now, server, Micros::MAX);
    }

    fn call_over(&mut self, now: Micros, call: CallId, over: Standing, outcome: Outcome, report: Report) {
        self.book.released(call, over.attempt.server, outcome);
        let end = End { last: true, report, ..over.attempt.ended(now, call, outcome) };
        self.decide(now, Event::Ended(end));
    }

    fn release_to(&mut self, now: Micros, client: Option<ClientId>, call: CallId, cause: ReleaseCause) {
        match self.relay.taker(client) {
            Some(client) => self.effects.push(Effect::Released { client, call, cause }),
            None if self.relay.held.len() < MOST_HELD => {
                let until = now + HOLD_RELEASES;
                self.relay.held.push_back(Held { client, call, cause, until });
                self.wakes.push(Reverse((until, Wake::Held)));
            }
            None => self.book.counts.releases_lost += 1,
        }
    }

    /// Passes on the releases that waited for a client, and drops those that nobody waits for any more.
    pub(super) fn relay_held(&mut self, now: Micros) {
        for held in std::mem::take(&mut self.relay.held) {
            match self.relay.taker(held.client) {
                Some(client) => {
                    self.effects.push(Effect::Released { client, call: held.call, cause: held.cause })
                }
                None if held.until <= now => self.book.counts.releases_lost += 1,
                None => self.relay.held.push_back(held),
            }
        }
    }

    /// Gives a call its final answer.
    pub(super) fn finish(&mut self, now: Micros, call: CallId, verdict: Verdict) {
        let Some(pending) = self.forget(call) else { return };
        if now > pending.answer_by + super::take_in::ANSWER_MARGIN {
            self.book.counts.answered_late += 1;
        }
        self.book.verdict(call, verdict);
        self.effects.push(Effect::Final { client: pending.client, call, verdict });
    }
}
