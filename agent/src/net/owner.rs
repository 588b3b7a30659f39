//! The owner of the core: hands it what comes in and carries out what follows.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use steprelay_core::lifecycle::State;
use steprelay_core::{Breach, ClientId, Core, LinkLoss, ListSource, NotSent};
use steprelay_decisions::{CallId, Entry, ListKind, Micros, Readiness, ServerId};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

mod delivery;
mod effects;
mod replication;
mod settle;
mod stopping;

use delivery::UnsentReleases;
use settle::Deferred;

use super::copies::{Copies, CopiesEnd};
use super::links::{Links, OutOfReach, Silence, Watch};
use crate::ports::conn::Outbox;
use crate::ports::{log, Input, LinkId, OnDuty, Shared, Snapshot, ToClient, Way};
use crate::trace;

/// It looks so often whether all is answered.
const LOOK: Micros = 20_000;

/// It serves once each server listed at the start was dialled with some end, and after this in any case.
const READY_WITHIN: Micros = 1_000_000;

/// Pressure is looked at so often.
const PRESSURE: Micros = 1_000_000;

/// Has the front of a way dial a server. The front tells of the connection as inputs.
pub type Dial = Rc<dyn Fn(LinkId, Way)>;

pub struct Owner {
    core: Core,
    shared: Shared,
    dial: Dial,
    clients: BTreeMap<ClientId, Outbox<ToClient>>,
    links: Links,
    /// Servers of which the last dial failed.
    unreachable: BTreeSet<ServerId>,
    /// Where what is promised is copied to others.
    copies: Option<Copies>,
    deferred: Deferred,
    unsent: UnsentReleases,
    /// Probes that are out, with their servers and when they left.
    probes: BTreeMap<CallId, (ServerId, Micros)>,
    started: Micros,
    /// What follows its own end takes so long.
    farewell: Micros,
    /// When the connections were last polled: what is read now has come since.
    polled: Micros,
    /// How long its last turn took, while it is stopping: the next one may take as long.
    turn: Micros,
    /// All that had arrived by then was read.
    read_until: Micros,
    /// What clients that are told were last told of the servers' pressure, and when it is looked at again.
    pressure: u8,
    next_pressure: Micros,
}

impl Owner {
    pub fn new(core: Core, shared: Shared, dial: Dial) -> Self {
        let started = shared.clock.now();
        Owner {
            core,
            shared,
            dial,
            clients: BTreeMap::new(),
            links: Links::default(),
            unreachable: BTreeSet::new(),
            copies: None,
            deferred: Deferred::default(),
            unsent: UnsentReleases::default(),
            probes: BTreeMap::new(),
            started,
            farewell: 0,
            polled: started,
            turn: 0,
            read_until: started,
            pressure: 0,
            next_pressure: 0,
        }
    }

    /// Has what is promised copied to others from now on.
    pub fn copy(&mut self, end: CopiesEnd) {
        self.core.enable_replication();
        self.copies = Some(Copies::new(end));
    }

    /// Ends so much sooner where it is told to stop, for what follows [`Owner::run`].
    pub fn leave_time(&mut self, farewell: Micros) {
        self.farewell = farewell;
    }

    /// Tells clients whose signalling has a word for it how pressed the servers are: 0 for none, 1 for some,
    /// 2 for half of them and 3 for all.
    fn tell_pressure(&mut self) {
        let now = self.shared.clock.now();
        // Those that are told come last in the order of ids.
        let told = self.clients.keys().next_back().is_some_and(|client| client.is_circuit_bound());
        if now < self.next_pressure || !told || self.core.lifecycle().state() != State::Serving {
            return;
        }
        self.next_pressure = now + PRESSURE;
        let (mut ready, mut pressed) = (0, 0);
        for (entry, _, image) in self.core.servers(now) {
            if entry.state == Readiness::Ready {
                ready += 1;
                pressed += usize::from(image.is_some());
            }
        }
        let level = match pressed {
            0 => 0,
            all if all == ready => 3,
            half if 2 * half >= ready => 2,
            _ => 1,
        };
        if std::mem::replace(&mut self.pressure, level) != level {
            for (_, outbox) in self.clients.iter().rev().take_while(|(client, _)| client.is_circuit_bound()) {
                outbox.post(ToClient::Pressure(level));
            }
        }
    }

    /// Serves until the process is to end; returns by when it has to have ended, where it was told to stop.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Input>) -> Option<Micros> {
        let mut began = self.shared.clock.now();
        loop {
            self.keep_links();
            self.tell_pressure();
            self.look_at_copies();
            self.carry_out();
            let now = self.shared.clock.now();
            self.turn = now - began;
            // What comes in the moment of leaving is taken all the same, while there is time for it.
            if self.is_done(now) {
                let more_came = self.settle(&mut queue).await;
                self.turn = self.shared.clock.now() - began;
                if !more_came || self.is_out_of_time() {
                    break;
                }
            }
            let starting = self.core.lifecycle().state() == State::Starting;
            let waits = self.copies.as_ref().is_some_and(Copies::waits);
            let stopping = self.core.lifecycle().state() == State::Stopping;
            let look = (stopping || starting || waits).then_some(now + LOOK);
            let look = if self.deferred.is_empty() { look } else { Some(now) };
            let wake = [self.core.next_timer(), self.links.next_due(), look].into_iter().flatten().min();
            let wake = wake.unwrap_or(now + 1_000_000);
            tokio::select! {
                biased;
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => break,
                },
                _ = sleep_until(self.shared.clock.instant(wake)) => {}
            }
            trace::turn(now - began, self.shared.clock.now() - wake);
            began = self.shared.clock.now();
            self.drain(&mut queue);
            let now = self.shared.clock.now();
            let is_due = self.core.next_timer().is_some_and(|at| at <= now) || self.links.are_overdue();
            if self.core.has_set_up_to_send() || self.links.opens() || is_due || !self.deferred.is_empty() {
                self.settle(&mut queue).await;
            }
            self.polled = self.shared.clock.now();
            self.core.run_timers(self.polled);
            self.answer_all_in_time();
        }
        self.flush(&mut queue).await;
        let counts = self.core.counts();
        log::event(format_args!(
            "stopped; offered {}, stood {}, refused {}, failed {}, gone {}, stand {}, breaches {}",
            counts.offered,
            counts.established,
            counts.refused,
            counts.failed,
            counts.abandoned,
            self.core.established_calls(),
            Breach::ALL.iter().map(|&breach| counts.breaches(breach)).sum::<u64>()
        ));
        self.core.lifecycle().exit_deadline()
    }

    pub fn take(&mut self, input: Input) {
        let now = self.shared.clock.now();
        trace::input(&input);
        self.look_at_doubt(now);
        match input {
            Input::ClientOpened { client, peer, outbox } => {
                if let Some(before) = self.clients.insert(client, outbox) {
                    before.cut();
                }
                self.core.client_opened(now, client, peer);
            }
            Input::ClientClosed { client } => {
                self.clients.remove(&client);
                self.unsent.forget(client);
                self.core.client_closed(now, client);
            }
            Input::ClientAway { client, away } => self.core.set_client_unreachable(client, away),
            Input::Offer { client, request } => self.core.offer(now, self.polled, client, request),
            Input::Unfit { client, call, class } => self.core.offer_invalid(client, call, class),
            Input::ClientEnded { client, call, cause } => {
                if let Some(copies) = &mut self.copies {
                    copies.drop_answer(call);
                }
                self.core.client_ended(now, client, call, cause)
            }
            Input::ClientTested { client, call } => {
                self.core.client_health_checked(now, client);
                let passes = self.core.lifecycle().passes_health_check();
                self.tell(client, if passes { ToClient::Passed(call) } else { ToClient::NotPassed(call) });
            }
            Input::ClientPaused { client, inputs } => self.core.client_paused(now, client, inputs),
            Input::ReleaseSent { client, call, at } => self.release_sent(at, client, call),
            Input::ClientSilent { client, call } => self.core.no_unread_input(now, client, call),
            Input::ReleaseHeard { client, call } => self.core.release_acknowledged(now, client, call),
            Input::LinkUp { link, outbox } if self.links.is_current(link) => {
                trace::link(link, "is up");
                if self.unreachable.remove(&link.server) {
                    log::event(format_args!("server {}: reached again", link.server.0));
                }
                let (both, out) = self.links.up(link, outbox, now);
                for link in both {
                    self.test(link);
                }
                self.attempts_lost(now, link.server, out, "went with a connection that another replaced");
            }
            Input::LinkLost { link, loss } if self.links.is_current(link) => {
                trace::link(link, format_args!("is lost: {loss:?}"));
                let out = self.links.lost(link, loss, now);
                self.attempts_lost(now, link.server, out, "went with its connection");
                if matches!(loss, LinkLoss::Refused | LinkLoss::Unanswered) {
                    if self.unreachable.insert(link.server) {
                        log::event(format_args!("server {}: cannot be reached: {loss:?}", link.server.0));
                    }
                    self.core.link_lost(now, link.server, loss);
                }
            }
            Input::Progress { link } if self.links.is_current(link) => {
                self.links.heard(link, None, false, now);
            }
            Input::Answered { link, call, description } if self.links.is_current(link) => {
                self.links.heard(link, Some(call), false, now);
                self.core.server_answered(now, link.server, call, description)
            }
            Input::Ended { link, call, cause, note, report } if self.links.is_current(link) => {
                self.links.heard(link, Some(call), false, now);
                if let Some(copies) = &mut self.copies {
                    copies.release_came(link, call);
                }
                self.core.server_ended(now, link.server, call, cause, note, report)
            }
            Input::Reported { link, report } if self.links.is_current(link) => {
                self.links.heard(link, None, false, now);
                self.core.report(now, link.server, report)
            }
            Input::Tested { link, call, passed, report } if self.links.is_current(link) => {
                self.links.heard(link, None, true, now);
                if let Some((server, sent)) = self.probes.remove(&call) {
                    self.core.probed(now, server, passed, now - sent, report);
                }
            }
            // Words of a connection that was already let go.
            Input::Ended { link, call, cause, .. } => {
                self.core.server_ended_late(now, link.server, call, cause);
            }
            Input::LinkUp { outbox, .. } => outbox.cut(),
            Input::LinkLost { .. }
            | Input::Progress { .. }
            | Input::Answered { .. }
            | Input::Reported { .. }
            | Input::Tested { .. } => {}
            Input::Listed { source, kind, servers } => self.listed(source, kind, servers),
            Input::Hold(servers) => {
                self.core.set_held_servers(now, &servers);
                self.leave_not_ready(now);
            }
            Input::Snapshot(asked) => {
                let held =
                    self.core.held_servers().map(|server| (server, self.core.is_busy(server))).collect();
                let servers = self.core.servers(now).collect();
                let (unanswered, standing) = (self.core.unanswered_calls(), self.core.established_calls());
                let counts = self.core.counts().clone();
                // Whoever asked may have gone meanwhile.
                let (targets, targets_disabled) = self.core.targets(now);
                let _ = asked.send(Snapshot {
                    counts,
                    unanswered,
                    standing,
                    targets,
                    targets_disabled,
                    tallies: self.shared.tallies.get(),
                    duty: self.core.lifecycle().state(),
                    held,
                    fleet: self.shared.fleet.borrow().clone(),
                    copies: self.shared.copies.get(),
                    uncopied: self.copies.as_ref().map_or(0, |copies| copies.uncopied),
                    servers,
                });
            }
            Input::Copies(news) => self.heard_of_copies(now, news),
            Input::Duty(wanted, asked) => {
                let before = self.core.lifecycle().state();
                let done = self.core.update_lifecycle(now, |lifecycle| match wanted {
                    OnDuty::Ask => Ok(()),
                    OnDuty::Standby => lifecycle.enter_standby(now),
                    OnDuty::Active => lifecycle.resume_serving(),
                });
                let state = self.core.lifecycle().state();
                if state != before {
                    self.duty_changed(state);
                }
                let _ = asked.send(done.map(|()| state));
            }
            Input::Stop { replaced, at } => {
                let unanswered = self.core.unanswered_calls();
                log::event(format_args!("told to stop, {unanswered} set-ups are unanswered"));
                self.core.stop(at, replaced);
                self.duty_changed(State::Stopping);
            }
        }
    }

    pub fn listed(&mut self, source: ListSource, kind: ListKind, servers: Vec<(Entry, Way)>) {
        let now = self.shared.clock.now();
        let entries: Vec<Entry> = servers.iter().map(|(entry, _)| entry.clone()).collect();
        self.core.update_servers(now, source, kind, &entries);
        for (entry, way) in &servers {
            if entry.state != Readiness::Gone && self.links.listed(entry.server, *way, now) {
                self.core.link_lost(now, entry.server, LinkLoss::Dropped);
            }
        }
        self.leave_not_ready(now);
    }

    /// What waits for servers that are not ready any more is not sent there, and those that are gone are
    /// let go.
    fn leave_not_ready(&mut self, now: Micros) {
        let all: Vec<_> = self.core.servers(now).map(|(entry, ..)| (entry.server, entry.state)).collect();
        for (server, state) in all {
            if state == Readiness::Ready {
                continue;
            }
            for call in self.links.take_waiting(server) {
                self.not_sent(now, server, call, NotSent::Withdrawn);
            }
            if state == Readiness::Gone && self.links.remove(server) {
                self.unreachable.remove(&server);
                self.core.link_lost(now, server, LinkLoss::Dropped);
            }
        }
    }

    /// Tells the clients that have a word for it in their signalling.
    fn duty_changed(&self, state: State) {
        match state {
            State::Starting | State::Serving => log::event("active, clients are welcome"),
            State::Standby => log::event("standby, clients are sent away"),
            State::Stopping => {}
        }
        for outbox in self.clients.values() {
            outbox.post(match state {
                State::Starting | State::Serving => ToClient::Pressure(self.pressure),
                State::Standby | State::Stopping => ToClient::Draining,
            });
        }
    }

    fn keep_links(&mut self) {
        let now = self.shared.clock.now();
        for (server, call, reason) in self.links.open(now) {
            self.not_sent(now, server, call, reason);
        }
        for (link, way) in self.links.due(now) {
            (self.dial)(link, way);
        }
        let starting = self.core.lifecycle().state() == State::Starting;
        if starting && (self.links.are_settled() || now >= self.started + READY_WITHIN) {
            self.core.update_lifecycle(now, |lifecycle| lifecycle.set_ready());
        }
        let silence = Silence { now, read_until: self.read_until };
        for found in self.links.watch(silence, |server| self.core.has_established_call_at(server)) {
            match found {
                Watch::Test(link) => self.test(link),
                Watch::Relieve(link, way) => {
                    let server = link.server.0;
                    log::event(format_args!("server {server}: its connection is silent, another is dialled"));
                    (self.dial)(link, way);
                }
                Watch::FollowUp(link, way) => (self.dial)(link, way),
                Watch::Reset(server, calls) => {
                    self.attempts_lost(now, server, calls, "went with a connection that stayed silent");
                }
            }
        }
        for OutOfReach { server, silent_for } in self.links.out_of_reach(silence) {
            let ended = self.core.server_unreachable(now, server);
            log::event(format_args!(
                "server {}: out of reach, nothing heard for {:.1} s, {ended} calls there are released",
                server.0,
                silent_for as f64 / 1e6
            ));
        }
    }

    fn not_sent(&mut self, now: Micros, server: ServerId, call: CallId, reason: NotSent) {
        trace::attempt_ended(server, call, format_args!("not sent: {reason:?}"));
        self.core.not_sent(now, server, call, reason);
    }

    fn attempts_lost(&mut self, now: Micros, server: ServerId, calls: Vec<CallId>, reason: &str) {
        for call in calls {
            trace::attempt_ended(server, call, reason);
            self.core.attempt_lost(now, server, call);
        }
    }

    /// Tests a connection, where the settings allow it.
    fn test(&mut self, link: LinkId) {
        if !self.shared.site.decisions.limits.may_probe {
            return;
        }
        let (now, call) = (self.shared.clock.now(), self.shared.new_call());
        self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
        if self.links.test(link, call, now) {
            self.probes.insert(call, (link.server, now));
        }
    }
}

#[cfg(test)]
mod tests;
