//! The owner of the core: the task that hands inputs to the core and carries out the effects that follow.

use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_core::lifecycle::State;
use steprelay_core::{Breach, ClientId, Core, LinkLoss, ListSource, NotSent};
use steprelay_decisions::{CallId, Entry, ListKind, Micros, Readiness, ServerId};
use tokio::time::sleep_until;

mod delivery;
mod effects;
mod replication;
mod settle;
mod stopping;

use delivery::UnsentReleases;
use settle::Deferred;

use super::copies::{ReplicationGate, ReplicationHandle};
use super::links::{LinkAction, Links, ReadProgress, UnreachableServer};
use crate::ports::conn::Outbox;
use crate::ports::input_queue::InputQueue;
use crate::ports::{log, Endpoint, Input, LifecycleCommand, LinkId, Shared, Snapshot, ToClient};
use crate::trace;

/// Interval of the checks while the process is starting or stopping, or effects wait for replication.
const POLL_INTERVAL: Micros = 20_000;

/// The process begins to serve once the first dial of each listed server has ended, and after this time in
/// any case.
const MAX_STARTUP_WAIT: Micros = 1_000_000;

/// Interval of the checks of the servers' load.
const PRESSURE_INTERVAL: Micros = 1_000_000;

/// Starts a dial to a server. The front in question reports the connection in inputs.
pub type Dial = Rc<dyn Fn(LinkId, Endpoint)>;

pub struct Owner {
    core: Core,
    shared: Shared,
    dial: Dial,
    clients: BTreeMap<ClientId, Outbox<ToClient>>,
    links: Links,
    /// Servers whose last dial failed, and how.
    unreachable: BTreeMap<ServerId, LinkLoss>,
    /// Replication of call states, where it is enabled.
    replication: Option<ReplicationGate>,
    deferred: Deferred,
    unsent: UnsentReleases,
    /// Unanswered probes, with their servers and when they were sent.
    probes: BTreeMap<CallId, (ServerId, Micros)>,
    started: Micros,
    /// Time reserved for what the process does after [`Owner::run`] has returned.
    exit_reserve: Micros,
    /// When the connections were last polled: input read now arrived after this time.
    last_read: Micros,
    /// Duration of the last iteration, while the process is stopping: the next one may take as long.
    last_iteration: Micros,
    /// Everything that had arrived by this time was read.
    read_until: Micros,
    /// The pressure level last sent to the clients that get it, and the time of the next check.
    pressure: u8,
    next_pressure_check: Micros,
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
            unreachable: BTreeMap::new(),
            replication: None,
            deferred: Deferred::default(),
            unsent: UnsentReleases::default(),
            probes: BTreeMap::new(),
            started,
            exit_reserve: 0,
            last_read: started,
            last_iteration: 0,
            read_until: started,
            pressure: 0,
            next_pressure_check: 0,
        }
    }

    /// Enables the replication of call states.
    pub fn enable_replication(&mut self, end: ReplicationHandle) {
        self.core.enable_replication();
        self.replication = Some(ReplicationGate::new(end));
    }

    /// Reserves time before the exit deadline for what follows [`Owner::run`].
    pub fn reserve_exit_time(&mut self, exit_reserve: Micros) {
        self.exit_reserve = exit_reserve;
    }

    /// Notifies clients whose signalling can express it of the servers' load level: 0 when no server is
    /// pressed, 1 for some, 2 for at least half of them and 3 for all.
    fn notify_pressure(&mut self) {
        let now = self.shared.clock.now();
        // Circuit-bound clients, which are notified, come last in the order of ids.
        let has_listeners = self.clients.keys().next_back().is_some_and(|client| client.is_circuit_bound());
        if now < self.next_pressure_check || !has_listeners || self.core.lifecycle().state() != State::Serving
        {
            return;
        }
        self.next_pressure_check = now + PRESSURE_INTERVAL;
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

    /// Serves until the process has to exit; returns the exit deadline, where the process was told to stop.
    pub async fn run(mut self, mut queue: InputQueue) -> Option<Micros> {
        let mut began = self.shared.clock.now();
        loop {
            self.maintain_links();
            self.notify_pressure();
            self.process_replication();
            self.handle_all_effects();
            let now = self.shared.clock.now();
            self.last_iteration = now - began;
            // Input that arrives at this moment is still handled, while there is time for it.
            if self.can_exit(now) {
                let received_more = self.settle(&mut queue).await;
                self.last_iteration = self.shared.clock.now() - began;
                if !received_more || self.is_out_of_time() {
                    break;
                }
            }
            let starting = self.core.lifecycle().state() == State::Starting;
            let has_pending = self.replication.as_ref().is_some_and(ReplicationGate::has_pending);
            let stopping = self.core.lifecycle().state() == State::Stopping;
            let poll_at = (stopping || starting || has_pending).then_some(now + POLL_INTERVAL);
            let poll_at = if self.deferred.is_empty() { poll_at } else { Some(now) };
            let wake = [self.core.next_timer(), self.links.next_due(), poll_at].into_iter().flatten().min();
            let wake = wake.unwrap_or(now + 1_000_000);
            tokio::select! {
                biased;
                input = queue.recv() => match input {
                    Some(input) => self.handle(input),
                    None => break,
                },
                _ = sleep_until(self.shared.clock.instant(wake)) => {}
            }
            trace::turn(now - began, self.shared.clock.now() - wake);
            began = self.shared.clock.now();
            self.drain(&mut queue);
            let now = self.shared.clock.now();
            let is_due = self.core.next_timer().is_some_and(|at| at <= now) || self.links.are_overdue();
            if self.core.has_set_up_to_send()
                || self.links.has_opening()
                || is_due
                || !self.deferred.is_empty()
            {
                self.settle(&mut queue).await;
            }
            self.last_read = self.shared.clock.now();
            self.core.run_timers(self.last_read);
            self.answer_all_before_deadline();
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

    pub fn handle(&mut self, input: Input) {
        let now = self.shared.clock.now();
        trace::input(&input);
        self.check_ownership(now);
        match input {
            Input::ClientOpened { client, peer, outbox } => {
                if let Some(before) = self.clients.insert(client, outbox) {
                    before.cut();
                }
                self.core.client_opened(now, client, peer);
            }
            Input::ClientClosed { client } => {
                self.clients.remove(&client);
                self.unsent.remove_client(client);
                self.core.client_closed(now, client);
            }
            Input::ClientUnreachable { client, unreachable } => {
                self.core.set_client_unreachable(client, unreachable)
            }
            Input::Offer { client, request } => self.core.offer(now, self.last_read, client, request),
            Input::InvalidSetUp { client, call, class } => self.core.offer_invalid(client, call, class),
            Input::ClientEnded { client, call, cause } => {
                if let Some(replication) = &mut self.replication {
                    replication.drop_answer(call);
                }
                self.core.client_ended(now, client, call, cause)
            }
            // Its connection may be closed once its answer was sent.
            Input::ClientStalled { client, .. } if self.holds_answer_to(client) => {}
            Input::ClientStalled { client, since } => self.core.client_stalled(now, client, since),
            Input::HealthCheck { client, call } => {
                self.core.client_health_checked(now, client);
                let passes = self.core.lifecycle().passes_health_check();
                self.send_or_cut(
                    client,
                    if passes {
                        ToClient::HealthCheckPassed(call)
                    } else {
                        ToClient::HealthCheckFailed(call)
                    },
                );
            }
            Input::ClientPaused { client, inputs } => self.core.client_paused(now, client, inputs),
            Input::ReleaseSent { client, call, at } => self.release_sent(at, client, call),
            Input::NothingUnread { client, call } => self.core.no_unread_input(now, client, call),
            Input::ReleaseAcknowledged { client, call } => self.core.release_acknowledged(now, client, call),
            Input::LinkUp { link, outbox } if self.links.is_current(link) => {
                trace::link(link, "is up");
                if self.unreachable.remove(&link.server).is_some() {
                    log::event(format_args!("server {}: reachable again", link.server.0));
                }
                let (both, out) = self.links.connected(link, outbox, now);
                for link in both {
                    self.probe(link);
                }
                self.attempts_lost(now, link.server, out, "went with a connection that another replaced");
            }
            Input::LinkLost { link, loss } if self.links.is_current(link) => {
                trace::link(link, format_args!("is lost: {loss:?}"));
                if self.links.is_replacement(link) {
                    log::event(format_args!(
                        "server {}: its second connection failed: {loss:?}",
                        link.server.0
                    ));
                }
                let out = self.links.connection_lost(link, loss, now);
                self.attempts_lost(now, link.server, out, "went with its connection");
                let is_unreachable = !self.links.is_connected(link.server);
                if is_unreachable && matches!(loss, LinkLoss::Refused | LinkLoss::Unanswered) {
                    if self.unreachable.insert(link.server, loss) != Some(loss) {
                        log::event(format_args!("server {}: unreachable: {loss:?}", link.server.0));
                    }
                    self.core.link_lost(now, link.server, loss);
                }
            }
            Input::Progress { link } if self.links.is_current(link) => {
                self.links.received(link, None, false, now);
            }
            Input::Answered { link, call, .. } | Input::Ended { link, call, .. }
                if self.links.is_current(link) && self.is_about_earlier_attempt(link, call) =>
            {
                trace::link(link, "tells of an attempt that was given up");
                self.links.received(link, Some(call), false, now);
            }
            Input::Answered { link, call, description } if self.links.is_current(link) => {
                self.links.received(link, Some(call), false, now);
                self.core.server_answered(now, link.server, call, description)
            }
            Input::Ended { link, call, cause, note, report } if self.links.is_current(link) => {
                self.links.received(link, Some(call), false, now);
                if let Some(established) = self.core.established_since(call, link.server) {
                    self.links.confirm_process(link.server, established);
                }
                if let Some(replication) = &mut self.replication {
                    replication.release_received(link, call);
                }
                self.core.server_ended(now, link.server, call, cause, note, report)
            }
            Input::Reported { link, report } if self.links.is_current(link) => {
                self.links.received(link, None, false, now);
                self.core.report(now, link.server, report)
            }
            Input::ProbeAnswered { link, call, passed, report } if self.links.is_current(link) => {
                self.links.received(link, None, true, now);
                if let Some((server, sent)) = self.probes.remove(&call) {
                    self.core.probed(now, server, passed, now - sent, report);
                }
            }
            // A message of a connection that was already closed.
            Input::Ended { link, call, cause, .. } => {
                self.core.server_ended_late(now, link.server, call, cause);
            }
            Input::LinkUp { outbox, .. } => outbox.cut(),
            Input::LinkLost { .. }
            | Input::Progress { .. }
            | Input::Answered { .. }
            | Input::Reported { .. }
            | Input::ProbeAnswered { .. } => {}
            Input::ServersListed { source, kind, servers } => self.update_servers(source, kind, servers),
            Input::HoldServers(servers) => {
                self.core.set_held_servers(now, &servers);
                self.withdraw_from_unready(now);
            }
            Input::PredecessorEnded => self.links.follow_up_all(now),
            Input::Snapshot(reply) => {
                let held =
                    self.core.held_servers().map(|server| (server, self.core.is_busy(server))).collect();
                let servers = self.core.servers(now).collect();
                let (unanswered, established) = (self.core.unanswered_calls(), self.core.established_calls());
                let counts = self.core.counts().clone();
                // The requester may be gone.
                let (targets, targets_disabled) = self.core.targets(now);
                let _ = reply.send(Snapshot {
                    counts,
                    unanswered,
                    established,
                    targets,
                    targets_disabled,
                    io_counts: self.shared.io_counts.get(),
                    lifecycle: self.core.lifecycle().state(),
                    held,
                    fleet: self.shared.fleet.borrow().clone(),
                    copies: self.shared.copies.get(),
                    unreplicated: self.replication.as_ref().map_or(0, |replication| replication.unreplicated),
                    servers,
                });
            }
            Input::Replication(event) => self.handle_replication_event(now, event),
            Input::Lifecycle(command, reply) => {
                let before = self.core.lifecycle().state();
                let done = self.core.update_lifecycle(now, |lifecycle| match command {
                    LifecycleCommand::Query => Ok(()),
                    LifecycleCommand::Standby => lifecycle.enter_standby(now),
                    LifecycleCommand::Active => lifecycle.resume_serving(),
                });
                let state = self.core.lifecycle().state();
                if state != before {
                    self.lifecycle_changed(state);
                }
                let _ = reply.send(done.map(|()| state));
            }
            Input::Stop { replaced, at } => {
                let unanswered = self.core.unanswered_calls();
                log::event(format_args!("told to stop, {unanswered} set-ups are unanswered"));
                self.core.stop(at, replaced);
                self.lifecycle_changed(State::Stopping);
            }
        }
    }

    pub fn update_servers(&mut self, source: ListSource, kind: ListKind, servers: Vec<(Entry, Endpoint)>) {
        let now = self.shared.clock.now();
        let mut servers = servers;
        let superseded = self.superseded_servers(now, &servers);
        servers.extend(superseded);
        let entries: Vec<Entry> = servers.iter().map(|(entry, _)| entry.clone()).collect();
        self.core.update_servers(now, source, kind, &entries);
        for (entry, endpoint) in &servers {
            if entry.state != Readiness::Gone && self.links.set_address(entry.server, *endpoint, now) {
                self.core.link_lost(now, entry.server, LinkLoss::Dropped);
            }
        }
        self.withdraw_from_unready(now);
    }

    /// Known servers at whose address a list has another one: an address is one process's at a time, so that
    /// theirs has gone, whether or not a list has said so.
    fn superseded_servers(&self, now: Micros, listed: &[(Entry, Endpoint)]) -> Vec<(Entry, Endpoint)> {
        let is_superseded = |known: &Entry| {
            let endpoint = self.links.endpoint(known.server);
            let has_other = listed.iter().any(|(other, at)| {
                other.state != Readiness::Gone && other.server != known.server && endpoint == Some(*at)
            });
            has_other && !listed.iter().any(|(entry, _)| entry.server == known.server)
        };
        let known = self.core.servers(now).map(|(entry, ..)| entry);
        let superseded = known.filter(|known| known.state != Readiness::Gone && is_superseded(known));
        let gone = superseded.map(|known| Entry { state: Readiness::Gone, ..known });
        gone.filter_map(|entry| Some((entry.clone(), self.links.endpoint(entry.server)?))).collect()
    }

    /// Withdraws the attempts that wait for servers which are no longer ready, and closes the connections to
    /// those that are gone.
    fn withdraw_from_unready(&mut self, now: Micros) {
        let all: Vec<_> = self.core.servers(now).map(|(entry, ..)| (entry.server, entry.state)).collect();
        for (server, state) in all {
            if state == Readiness::Ready {
                continue;
            }
            for call in self.links.withdraw_all(server) {
                self.not_sent(now, server, call, NotSent::Withdrawn);
            }
            if state == Readiness::Gone && self.links.remove(server) {
                self.unreachable.remove(&server);
                self.core.link_lost(now, server, LinkLoss::Dropped);
            }
        }
    }

    /// Notifies the clients whose signalling can express the lifecycle state.
    fn lifecycle_changed(&self, state: State) {
        match state {
            State::Starting | State::Serving => log::event("active, accepting clients"),
            State::Standby => log::event("standby, draining clients"),
            State::Stopping => {}
        }
        for outbox in self.clients.values() {
            outbox.post(match state {
                State::Starting | State::Serving => ToClient::Pressure(self.pressure),
                State::Standby | State::Stopping => ToClient::Draining,
            });
        }
    }

    fn maintain_links(&mut self) {
        let now = self.shared.clock.now();
        for (server, call, reason) in self.links.send_waiting(now) {
            self.not_sent(now, server, call, reason);
        }
        for (link, endpoint) in self.links.take_due_dials(now) {
            (self.dial)(link, endpoint);
        }
        let starting = self.core.lifecycle().state() == State::Starting;
        if starting && (self.links.are_settled() || now >= self.started + MAX_STARTUP_WAIT) {
            self.core.update_lifecycle(now, |lifecycle| lifecycle.set_ready());
        }
        let progress = ReadProgress { now, read_until: self.read_until };
        for found in self.links.check_silence(progress, |server| self.core.has_established_call_at(server)) {
            match found {
                LinkAction::Probe(link) => self.probe(link),
                LinkAction::DialReplacement(link, endpoint) => {
                    let server = link.server.0;
                    log::event(format_args!("server {server}: its connection is silent, another is dialled"));
                    (self.dial)(link, endpoint);
                }
                LinkAction::DialFollowUp(link, endpoint) => (self.dial)(link, endpoint),
                LinkAction::AttemptsLost(server, calls) => {
                    self.attempts_lost(now, server, calls, "went with a connection that stayed silent");
                }
            }
        }
        for UnreachableServer { server, silent_for } in self.links.take_unreachable(progress) {
            let ended = self.core.server_unreachable(now, server);
            log::event(format_args!(
                "server {}: unreachable, nothing received for {:.1} s; releasing its {ended} calls",
                server.0,
                silent_for as f64 / 1e6
            ));
        }
        for (server, before) in self.links.take_suspected_ends(progress) {
            self.core.server_not_confirmed(now, server, before);
        }
    }

    /// Whether a message about a call on this connection is about an attempt before the present one, which
    /// is at the same server. The server was told of the end of the earlier one.
    fn is_about_earlier_attempt(&self, link: LinkId, call: CallId) -> bool {
        let attempt = self.core.attempt_of(call);
        attempt.is_some_and(|(_, server)| server == link.server) && !self.links.holds_attempt(link, call)
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

    /// Probes a connection, where the settings allow it.
    fn probe(&mut self, link: LinkId) {
        if !self.shared.site.decisions.limits.may_probe {
            return;
        }
        let (now, call) = (self.shared.clock.now(), self.shared.new_call());
        self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
        if self.links.probe(link, call, now) {
            self.probes.insert(call, (link.server, now));
        }
    }
}

#[cfg(test)]
mod tests;
