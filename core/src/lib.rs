//! The call agent's core: calls, attempts and outcomes, without sockets, clock or wire format.
//!
//! The owner passes in events with the current time and carries out the [`Effect`]s that the core returns. A
//! set-up passes these stages in turn: `validate`, `admit`, `route`, `send`, `relay`;
//! `accounting` counts its outcome.
//!
//! Times and durations are in microseconds ([`Micros`]), on a clock that the owner reads.

mod accounting;
mod admit;
mod call_state;
mod cause;
mod circuit_call;
mod clients;
mod delivery;
mod ended_calls;
pub mod lifecycle;
mod relay;
mod round_trip;
mod route;
mod send;
mod server_end;
mod stalled;
#[cfg(test)]
mod tests;
mod timers;
mod unclaimed;
mod validate;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use steprelay_decisions::{Action, CallId, Entry, Event, ListKind, Micros, Report, ServerId, Timer};
use steprelay_settings::Site;

use accounting::Accounting;
pub use accounting::{Breach, ClassCounts, Counts, ServerCounts};
use admit::Admission;
pub use call_state::CallState;
use call_state::Replication;
pub use cause::ReleaseCause;
pub use circuit_call::CircuitCall;
use clients::Clients;
pub use clients::{ClientId, CoreLimits, Peer};
use delivery::{Deliveries, DRAIN_ACK_GRACE, IDLE_ACK_GRACE};
use lifecycle::Lifecycle;
use relay::EstablishedCalls;
use route::Route;
pub use send::NotSent;
use send::PendingCall;
pub use server_end::{ServerEnd, ServerEndReport};
use timers::{TimerEvent, Timers};
use unclaimed::UnclaimedReleases;

/// Where a server list comes from. The core holds one list per source, so that a full list replaces only the
/// entries of its own source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListSource {
    Discovery,
    M3ua,
}

/// A parsed set-up.
#[derive(Clone, Debug)]
pub struct Request {
    pub call: CallId,
    pub class: usize,
    pub tenant: usize,
    /// Number of the preferred server, if the caller names one.
    pub dest: Option<u32>,
    /// The called number.
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// When the last byte of the set-up was received, and how long its caller waits from then on.
    pub received_at: Micros,
    pub remaining: Micros,
    /// The call was established before, was cut off and is set up again.
    pub was_cut: bool,
}

/// A request of the core to its owner: a message to send, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SetUp {
        server: ServerId,
        set_up: SetUp,
    },
    CancelAttempt {
        server: ServerId,
        call: CallId,
    },
    /// Takes a set-up back from the send queue if its first byte has not been sent; reported with
    /// [`Core::not_sent`] if it was taken back.
    WithdrawSetUp {
        server: ServerId,
        call: CallId,
    },
    Release {
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
    },
    /// Confirms a release to its server, which need not tell it again: it was delivered, or there is
    /// nothing to deliver. Only while replication is not enabled.
    ConfirmRelease {
        server: ServerId,
        call: CallId,
    },
    Probe {
        server: ServerId,
    },
    Answer {
        client: ClientId,
        call: CallId,
        description: Rc<str>,
    },
    FinalAnswer {
        client: ClientId,
        call: CallId,
        verdict: Verdict,
    },
    DeliverRelease {
        client: ClientId,
        call: CallId,
        cause: ReleaseCause,
    },
    /// Takes a release back from this client's send queue if its first byte has not been sent. Reported with
    /// [`Core::release_withdrawn`] if it was taken back, else with [`Core::release_sent`].
    WithdrawRelease {
        client: ClientId,
        call: CallId,
    },
    /// Asks whether the client's connection holds input that was not handed on; if it holds none, that is
    /// reported with [`Core::no_unread_input`].
    CheckUnreadInput {
        client: ClientId,
        call: CallId,
    },
    /// The delivery of a release ended without an acknowledgement, after this number of connections had
    /// received it.
    DeliveryAbandoned {
        call: CallId,
        deliveries: usize,
    },
    /// Closes the connection of a client that has not completed a message, behind the messages that were sent
    /// to it. Its further set-ups are ignored.
    CloseStalled {
        client: ClientId,
    },
    /// Closes the client's connection.
    Close {
        client: ClientId,
    },
    /// Closes the client's connection if no more than this number of inputs was received on it, so that no
    /// input waits for an answer. Otherwise the core asks again later.
    CloseIfIdle {
        client: ClientId,
        inputs: u64,
    },
    /// Stops reading from the client once all received input was handed on; reported with
    /// [`Core::client_paused`].
    Pause {
        client: ClientId,
    },
    /// The paused client sent this number of inputs and all are answered: closes its connection, or resumes
    /// reading if it has been paused for too long.
    CloseIfPaused {
        client: ClientId,
        inputs: u64,
    },
    /// Resumes reading from the client.
    Resume {
        client: ClientId,
    },
    /// The replicated state of a call changed; `None` if there is none any more. Only while replication is
    /// enabled. `notify_by`: when the caller must have been told, if the new state implies a message to it.
    CallStateChanged {
        call: CallId,
        state: Option<CallState>,
        notify_by: Option<Micros>,
    },
    /// A caller acknowledged the release of a call. Only while replication is enabled.
    ReleaseAcknowledged {
        call: CallId,
    },
    /// Tells the other members that this member delivers the release of a call that it did not hold itself.
    /// Only while replication is enabled.
    AnnounceRelease {
        call: CallId,
    },
    /// Tells another member, which is about to end this call, that this member already told the caller.
    ReleaseDelivered {
        call: CallId,
    },
    Log(String),
}

/// A set-up to send to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub call: CallId,
    pub class: usize,
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// How long to wait for the answer.
    pub wait: Micros,
}

/// The final answer to a call that is not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller may safely retry after this wait.
    Refused {
        wait: Option<Micros>,
    },
    Failed,
    /// The set-up is invalid.
    Invalid,
}

/// How a connection to a server was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// The server refused the connection: no set-up was executed. Either no process listens there, or it
    /// holds as many connections as it accepts, and calls established there are still up.
    Refused,
    /// The connection attempt timed out: no set-up was executed, and calls established there may still be up.
    Unanswered,
    /// An open connection was reset or closed.
    Dropped,
    /// This side closed the connection because the input on it could not be parsed.
    Unreadable,
}

/// How often idle connections are looked for.
const IDLE_SWEEP_INTERVAL: Micros = 250_000;
/// How often connections without open calls are looked for while clients are drained.
const DRAIN_SWEEP_INTERVAL: Micros = 20_000;

/// The state of one call agent. Each method that handles an event may add effects, which the owner takes with
/// [`Core::take_effects`] afterwards.
pub struct Core {
    site: Site,
    admission: Admission,
    route: Route,
    clients: Clients,
    pending: BTreeMap<CallId, PendingCall>,
    established: EstablishedCalls,
    deliveries: Deliveries,
    accounting: Accounting,
    lifecycle: Lifecycle,
    replication: Replication,
    unclaimed: UnclaimedReleases,
    /// A drain sweep is in `timers`.
    drain_sweep_scheduled: bool,
    timers: Timers,
    actions: VecDeque<Action>,
    effects: Vec<Effect>,
    /// Servers that ended with established calls, until the owner takes them for its log.
    server_ends: Vec<ServerEndReport>,
}

impl Core {
    pub fn new(site: Site, limits: CoreLimits, seed: u64, now: Micros) -> Self {
        let route = Route::new(&site, seed, now);
        let site_classes = site.class_names.len();
        let mut timers = Timers::default();
        timers.schedule(now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
        Core {
            admission: Admission::new(&site, &limits),
            route,
            site,
            clients: Clients::new(limits),
            pending: BTreeMap::new(),
            established: EstablishedCalls::default(),
            deliveries: Deliveries::default(),
            accounting: Accounting::new(site_classes, limits.ended_calls),
            lifecycle: Lifecycle::default(),
            replication: Replication::default(),
            unclaimed: UnclaimedReleases::default(),
            drain_sweep_scheduled: false,
            timers,
            actions: VecDeque::new(),
            effects: Vec::new(),
            server_ends: Vec::new(),
        }
    }

    /// Returns the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether a set-up is among the accumulated effects.
    pub fn has_set_up_to_send(&self) -> bool {
        self.effects.iter().any(|effect| matches!(effect, Effect::SetUp { .. }))
    }

    /// When [`Core::run_timers`] has to be called next.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Number of calls that were accepted and have no final answer.
    pub fn unanswered_calls(&self) -> usize {
        self.pending.len()
    }

    /// The client of an unanswered call and the server of its attempt in flight.
    pub fn attempt_of(&self, call: CallId) -> Option<(ClientId, ServerId)> {
        let pending = self.pending.get(&call)?;
        Some((pending.client, pending.in_flight?.server))
    }

    pub fn established_calls(&self) -> usize {
        self.established.len()
    }

    /// Number of calls that take memory: unanswered and established ones, and those whose release no caller
    /// has acknowledged.
    fn held_calls(&self) -> usize {
        self.pending.len() + self.established.len() + self.deliveries.len() + self.unclaimed.len()
    }

    /// Number of releases of calls unknown to this member that wait for other members to claim them.
    pub fn unclaimed_releases(&self) -> usize {
        self.unclaimed.len()
    }

    pub fn counts(&self) -> &Counts {
        &self.accounting.counts
    }

    /// All known servers, including those gone from the list, with their counts and the bound of their
    /// images, if any.
    pub fn servers(&self, now: Micros) -> impl Iterator<Item = (Entry, ServerCounts, Option<f64>)> + '_ {
        self.route.entries().map(move |entry| {
            (entry.clone(), self.accounting.server(entry.server), self.route.image(now, entry.server))
        })
    }

    /// Handles all timers that have expired by now.
    pub fn run_timers(&mut self, now: Micros) {
        while let Some(event) = self.timers.pop_expired(now) {
            match event {
                TimerEvent::Tick => self.decide(now, Event::Timer(Timer::Tick)),
                TimerEvent::CallTimer(call) => self.decide(now, Event::Timer(Timer::Call(call))),
                TimerEvent::AttemptTimeout(call, attempt) => self.attempt_timed_out(now, call, attempt),
                TimerEvent::AnswerDeadline(call) => self.deadline_passed(now, call),
                TimerEvent::DeliveryCheck(call) => self.check_delivery(now, call),
                TimerEvent::ClaimTimeout(call) => self.claims_timed_out(now, call),
                TimerEvent::IdleSweep => {
                    let unacknowledged = self.deliveries.unacknowledged(now, IDLE_ACK_GRACE);
                    for client in self.clients.idle(now) {
                        if !unacknowledged.contains(&client) {
                            self.evict(client);
                        }
                    }
                    self.timers.schedule(now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep);
                }
                TimerEvent::DrainSweep => {
                    self.drain_sweep_scheduled = false;
                    self.close_idle_clients(now);
                }
                TimerEvent::FinalAnswers => self.answer_all(now),
            }
        }
    }

    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Applies a change to the lifecycle and closes connections accordingly.
    pub fn update_lifecycle<R>(&mut self, now: Micros, change: impl FnOnce(&mut Lifecycle) -> R) -> R {
        let result = change(&mut self.lifecycle);
        self.close_idle_clients(now);
        result
    }

    /// Begins the graceful shutdown: every call gets its final answer, and the process ends, before the
    /// supervisor kills it.
    pub fn stop(&mut self, now: Micros, replaced: bool) {
        let longest = self.site.deadlines.iter().copied().max().unwrap_or_default();
        self.update_lifecycle(now, |lifecycle| lifecycle.stop(now, replaced, longest));
        if let Some(at) = self.lifecycle.final_answer_deadline() {
            self.timers.schedule(at, TimerEvent::FinalAnswers);
        }
    }

    /// While clients are drained, closes the connections on which neither a set-up waits for its answer nor a
    /// release for its acknowledgement. Once no set-ups are accepted any more, a client that keeps sending is
    /// paused first, so that set-ups that cross the close are sent again to another call agent.
    fn close_idle_clients(&mut self, now: Micros) {
        let Some(from) = self.lifecycle.drains_from() else { return };
        if now >= from {
            let kept = self.clients_to_keep(now);
            let accepts = self.lifecycle.accepts_set_ups(now);
            for (client, inputs) in self.clients.without_open_calls(now) {
                if kept.contains(&client) {
                    continue;
                }
                self.effects.push(Effect::CloseIfIdle { client, inputs });
                if !accepts {
                    self.effects.push(Effect::Pause { client });
                }
            }
        }
        if !self.drain_sweep_scheduled {
            self.drain_sweep_scheduled = true;
            self.timers.schedule(from.max(now + DRAIN_SWEEP_INTERVAL), TimerEvent::DrainSweep);
        }
    }

    /// Clients whose connections stay open for now.
    fn clients_to_keep(&self, now: Micros) -> BTreeSet<ClientId> {
        let mut kept = self.deliveries.unacknowledged(now, DRAIN_ACK_GRACE);
        // Releases of established calls need a connection to be delivered on. The one that made most of the
        // calls is kept for all of them, and at the end only for its own, since it would be held idle
        // otherwise.
        let total = self.established.len() + self.deliveries.len();
        let last =
            self.clients.last_to_drain().filter(|(_, own)| self.lifecycle.keeps_connection(now, *own, total));
        kept.extend(last.map(|(client, _)| client));
        kept
    }

    /// A client is paused, and all of the input read from it, this number of inputs, was handed on.
    pub fn client_paused(&mut self, now: Micros, client: ClientId, inputs: u64) {
        let may_close = !self.lifecycle.accepts_set_ups(now)
            && self.clients.open(client) == 0
            && !self.clients_to_keep(now).contains(&client);
        self.effects.push(match may_close {
            true => Effect::CloseIfPaused { client, inputs },
            false => Effect::Resume { client },
        });
    }

    /// Number of callers' connections.
    pub fn connections(&self) -> usize {
        self.clients.connections()
    }

    /// Number of listed servers, and of those among them that the decisions avoid.
    pub fn targets(&self, now: Micros) -> (usize, usize) {
        self.route.targets(now)
    }

    /// Closes a client's connection to free capacity for other clients.
    fn evict(&mut self, client: ClientId) {
        self.accounting.counts.evicted_clients += 1;
        self.clients.closed(client);
        self.effects.push(Effect::Close { client });
    }

    /// Applies changes of the server list of one source, or a full list.
    pub fn update_servers(&mut self, now: Micros, source: ListSource, kind: ListKind, entries: &[Entry]) {
        let (changes, ended) = self.route.merge(source, kind, entries);
        self.decide(now, Event::ServerList { kind: ListKind::Changes, entries: &changes });
        for (server, before) in ended {
            let shown_by =
                if before == Micros::MAX { ServerEnd::ListedGone } else { ServerEnd::ListedRestart };
            self.server_process_ended(now, server, before, shown_by);
        }
        self.accounting.keep_servers(|server| self.route.is_shown(server));
    }

    /// Holds these servers administratively: they get no new set-ups, as if they drained. Servers held before
    /// and not named here are released.
    pub fn set_held_servers(&mut self, now: Micros, servers: &[ServerId]) {
        let changes = self.route.set_held(servers);
        if !changes.is_empty() {
            self.decide(now, Event::ServerList { kind: ListKind::Changes, entries: &changes });
        }
    }

    /// The servers that are held administratively.
    pub fn held_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.route.held()
    }

    /// Whether a server accepts set-ups according to the server list.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.route.is_ready(server)
    }

    /// Whether recent failures keep set-ups away from a server.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        self.route.avoids(now, server)
    }

    /// Whether a server has an established call or an attempt in flight.
    pub fn is_busy(&self, server: ServerId) -> bool {
        let has_attempt =
            |pending: &PendingCall| pending.in_flight.is_some_and(|attempt| attempt.server == server);
        self.has_established_call_at(server) || self.pending.values().any(has_attempt)
    }

    /// Passes on the load figures that a server reported.
    pub fn report(&mut self, now: Micros, server: ServerId, report: Report) {
        self.decide(now, Event::ProbeAnswered { server, ok: true, lag: 0, report });
    }

    /// Passes on the outcome of a probe; `lag`: the time until the server answered it.
    pub fn probed(&mut self, now: Micros, server: ServerId, ok: bool, lag: Micros, report: Report) {
        self.decide(now, Event::ProbeAnswered { server, ok, lag, report });
    }

    /// Passes an event to the decisions and carries out the actions that follow, including those that the
    /// actions cause in turn.
    fn decide(&mut self, now: Micros, event: Event) {
        self.route.decide(now, event, &mut self.actions);
        while let Some(action) = self.actions.pop_front() {
            match action {
                Action::Send { call, server, stop_at } => self.send(now, call, server, stop_at),
                Action::Refuse { call, retry_after } => {
                    self.send_final_answer(now, call, Verdict::Refused { wait: retry_after })
                }
                Action::Fail { call } => self.send_final_answer(now, call, Verdict::Failed),
                Action::Cancel { call, attempt } => self.cancel(now, call, attempt),
                Action::SetTimer { timer, after } => {
                    let event = match timer {
                        Timer::Tick => TimerEvent::Tick,
                        // The decisions retry calls without an answer only.
                        Timer::Call(call) if !self.pending.contains_key(&call) => continue,
                        Timer::Call(call) => TimerEvent::CallTimer(call),
                    };
                    self.timers.schedule(now + after, event);
                }
                Action::Probe { server } => self.effects.push(Effect::Probe { server }),
                Action::Log(text) => self.effects.push(Effect::Log(text)),
                // The server list arrives unasked over sockets, and call agents cannot reach each other.
                Action::WatchServerList | Action::SendToPeer { .. } => {}
            }
        }
    }
}
