//! The call agent without sockets: requests, attempts and outcomes.
//!
//! It does no I/O, keeps no clock and knows no wire. The owner hands it what has happened with the present
//! time and takes the effects that follow. A request passes one stage after the other: [`take_in`],
//! [`admit`], [`route`], [`send`], [`relay`]; [`book`] counts what became of it.

mod accounting;
mod admit;
mod call_state;
mod cause;
mod circuit_call;
mod clients;
mod delivery;
pub mod lifecycle;
mod relay;
mod round_trip;
mod route;
mod send;
#[cfg(test)]
mod tests;
mod unclaimed;
mod validate;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
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
use unclaimed::UnclaimedReleases;

/// A list of servers is kept for each place that names them, so that a whole list replaces only its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListSource {
    Discovery,
    M3ua,
}

/// A set-up as a front has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub call: CallId,
    pub class: usize,
    pub tenant: usize,
    /// The number of the server of first choice, where one is named.
    pub dest: Option<u32>,
    /// The number called.
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// When its last byte came, and how long its caller waited from then on.
    pub received_at: Micros,
    pub remaining: Micros,
    pub was_cut: bool,
}

/// What a front does for the core.
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
    /// A set-up is taken back if it has not left; where it was, that is told as one that was not sent.
    WithdrawSetUp {
        server: ServerId,
        call: CallId,
    },
    Release {
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
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
    /// A release that was given to this client is taken back if its first byte has not left; that is told as
    /// [`Core::release_withdrawn`], else as [`Core::release_sent`].
    WithdrawRelease {
        client: ClientId,
        call: CallId,
    },
    /// Where nothing waits on the client's connection that was not handed on, that is told as
    /// [`Core::client_silent`].
    CheckUnreadInput {
        client: ClientId,
        call: CallId,
    },
    /// Nobody acknowledged a release that so many connections were given, and nobody waits for it any more.
    DeliveryAbandoned {
        call: CallId,
        deliveries: usize,
    },
    /// The client's connection is ended.
    Close {
        client: ClientId,
    },
    /// The client's connection is ended if nothing has come on it besides so many inputs: nothing waits on it
    /// for an answer then. Otherwise it is asked for again.
    CloseIfIdle {
        client: ClientId,
        inputs: u64,
    },
    /// Nothing more is read from the client once all that has come was handed on; that is told as
    /// [`Core::client_paused`].
    Pause {
        client: ClientId,
    },
    /// All that was read from a client that is paused, so many inputs, is answered: its connection is ended,
    /// or read again where it has been paused for too long.
    CloseIfPaused {
        client: ClientId,
        inputs: u64,
    },
    /// The client is read again.
    Resume {
        client: ClientId,
    },
    /// What is promised of a call has changed, `None` for nothing any more; where it was asked for. `by`:
    /// when its caller must have heard of it, where that follows from it.
    CallStateChanged {
        call: CallId,
        state: Option<CallState>,
        notify_by: Option<Micros>,
    },
    /// A caller has acknowledged the release of a call; where promises are told.
    ReleaseAcknowledged {
        call: CallId,
    },
    /// The end of a call that was not known here is passed on; where promises are told.
    AnnounceRelease {
        call: CallId,
    },
    /// The caller of a call, which another member is about to see to, was told here that it is over.
    ReleaseDelivered {
        call: CallId,
    },
    Log(String),
}

/// A set-up towards a server.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub call: CallId,
    pub class: usize,
    pub number: Rc<str>,
    pub description: Rc<str>,
    /// How long the answer is waited for.
    pub wait: Micros,
}

/// The final answer to a call that does not stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Trying again is harmless, after this wait.
    Refused {
        wait: Option<Micros>,
    },
    Failed,
    /// The set-up itself was wrong.
    Invalid,
}

/// How a connection to a server came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// The dial was refused: no process is there, and nothing ran.
    Refused,
    /// The dial was not answered in time: nothing ran, and what stands there may still stand.
    Unanswered,
    /// An open connection was reset or closed.
    Dropped,
    /// It was closed on this side, since what came on it could not be read.
    Unreadable,
}

/// How often connections that only hold a place are looked for.
const IDLE_SWEEP_INTERVAL: Micros = 250_000;
/// How often quiet connections are looked for while clients are sent away.
const DRAIN_SWEEP_INTERVAL: Micros = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Tick,
    CallTimer(CallId),
    /// The end of this attempt's time.
    AttemptTimeout(CallId, u32),
    /// The end of the call's time, whatever is out.
    AnswerDeadline(CallId),
    /// A release that is not acknowledged is looked at again.
    DeliveryCheck(CallId),
    /// No member has claimed this release in time.
    ClaimTimeout(CallId),
    /// Connections that only hold a place are looked for.
    IdleSweep,
    /// Clients are sent away.
    DrainSweep,
    /// The process ends soon: all that is open is answered.
    FinalAnswers,
}

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
    /// A look for quiet connections is due.
    drain_sweep_scheduled: bool,
    timers: BinaryHeap<Reverse<(Micros, TimerEvent)>>,
    actions: VecDeque<Action>,
    effects: Vec<Effect>,
}

impl Core {
    pub fn new(site: Site, limits: CoreLimits, seed: u64, now: Micros) -> Self {
        let route = Route::new(&site, seed, now);
        let site_classes = site.class_names.len();
        Core {
            admission: Admission::new(&site, limits.pending_call_bytes),
            route,
            site,
            clients: Clients::new(limits),
            pending: BTreeMap::new(),
            established: EstablishedCalls::default(),
            deliveries: Deliveries::default(),
            accounting: Accounting::new(site_classes),
            lifecycle: Lifecycle::default(),
            replication: Replication::default(),
            unclaimed: UnclaimedReleases::default(),
            drain_sweep_scheduled: false,
            timers: BinaryHeap::from([Reverse((now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep))]),
            actions: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// What has to be done since it was last asked.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether a set-up is about to leave.
    pub fn has_set_up_to_send(&self) -> bool {
        self.effects.iter().any(|effect| matches!(effect, Effect::SetUp { .. }))
    }

    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Set-ups taken in and not answered yet.
    pub fn unanswered_calls(&self) -> usize {
        self.pending.len()
    }

    /// The caller of a call whose answer is awaited, and the server at which its attempt is out.
    pub fn attempt_of(&self, call: CallId) -> Option<(ClientId, ServerId)> {
        let pending = self.pending.get(&call)?;
        Some((pending.client, pending.in_flight?.server))
    }

    pub fn established_calls(&self) -> usize {
        self.established.len()
    }

    /// Releases of calls that are not known here, of which other members are asked.
    pub fn unclaimed_releases(&self) -> usize {
        self.unclaimed.len()
    }

    pub fn counts(&self) -> &Counts {
        &self.accounting.counts
    }

    /// The servers that were ever listed, with what was sent there and the bound of the image, if any.
    pub fn servers(&self, now: Micros) -> impl Iterator<Item = (Entry, ServerCounts, Option<f64>)> + '_ {
        self.route.entries().map(move |entry| {
            (entry.clone(), self.accounting.server(entry.server), self.route.image(now, entry.server))
        })
    }

    pub fn run_timers(&mut self, now: Micros) {
        while self.next_timer().is_some_and(|at| at <= now) {
            let Some(Reverse((_, event))) = self.timers.pop() else { break };
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
                    self.timers.push(Reverse((now + IDLE_SWEEP_INTERVAL, TimerEvent::IdleSweep)));
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

    /// Changes whether work is taken, and follows it up.
    pub fn update_lifecycle<R>(&mut self, now: Micros, change: impl FnOnce(&mut Lifecycle) -> R) -> R {
        let result = change(&mut self.lifecycle);
        self.close_idle_clients(now);
        result
    }

    /// Told to stop: everything has its final answer, and the process has ended, before it is killed.
    pub fn stop(&mut self, now: Micros, replaced: bool) {
        let longest = self.site.deadlines.iter().copied().max().unwrap_or_default();
        self.update_lifecycle(now, |lifecycle| lifecycle.stop(now, replaced, longest));
        self.timers
            .extend(self.lifecycle.final_answer_deadline().map(|at| Reverse((at, TimerEvent::FinalAnswers))));
    }

    /// While clients are sent away, has the connections let go of on which nothing waits: neither a set-up
    /// for its answer nor a release for its confirmation. Once no set-ups are taken any more, a client that
    /// never falls quiet is paused first: what crosses its end comes again elsewhere.
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
            self.timers.push(Reverse((from.max(now + DRAIN_SWEEP_INTERVAL), TimerEvent::DrainSweep)));
        }
    }

    /// Clients that are not let go of now.
    fn clients_to_keep(&self, now: Micros) -> BTreeSet<ClientId> {
        let mut kept = self.deliveries.unacknowledged(now, DRAIN_ACK_GRACE);
        // Releases of what stands need a connection that takes them: the one that made most of the calls
        // stays for them; in the end only for its own, or it would be held idle.
        let total = self.established.len() + self.deliveries.len();
        let last =
            self.clients.last_to_drain().filter(|(_, own)| self.lifecycle.keeps_connection(now, *own, total));
        kept.extend(last.map(|(client, _)| client));
        kept
    }

    /// A client is paused, and all that was read from it, so many inputs, has been handed on.
    pub fn client_paused(&mut self, now: Micros, client: ClientId, inputs: u64) {
        let may_close = !self.lifecycle.accepts_set_ups(now)
            && self.clients.open(client) == 0
            && !self.clients_to_keep(now).contains(&client);
        self.effects.push(match may_close {
            true => Effect::CloseIfPaused { client, inputs },
            false => Effect::Resume { client },
        });
    }

    /// Connections of callers.
    pub fn connections(&self) -> usize {
        self.clients.connections()
    }

    /// The servers in the list, and those of them that the decisions avoid.
    pub fn targets(&self, now: Micros) -> (usize, usize) {
        self.route.targets(now)
    }

    /// Ends a client's connection for the sake of the others.
    fn evict(&mut self, client: ClientId) {
        self.accounting.counts.evicted_clients += 1;
        self.clients.closed(client);
        self.effects.push(Effect::Close { client });
    }

    /// Changes of the list of servers from one place, or the whole of it.
    pub fn update_servers(&mut self, now: Micros, source: ListSource, kind: ListKind, entries: &[Entry]) {
        let (changes, ended) = self.route.merge(source, kind, entries);
        self.decide(now, Event::List { kind: ListKind::Changes, entries: &changes });
        for (server, before) in ended {
            self.server_process_ended(now, server, before);
        }
        self.accounting.keep_servers(|server| self.route.is_shown(server));
    }

    /// Has no new set-ups sent to these servers, as if they were told to drain; all others are free again.
    pub fn set_held_servers(&mut self, now: Micros, servers: &[ServerId]) {
        let changes = self.route.set_held(servers);
        if !changes.is_empty() {
            self.decide(now, Event::List { kind: ListKind::Changes, entries: &changes });
        }
    }

    /// The servers that are held.
    pub fn held_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.route.held()
    }

    /// Whether a server takes set-ups, as far as is told.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.route.is_ready(server)
    }

    /// Whether failures keep set-ups from a server for now.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        self.route.avoids(now, server)
    }

    /// Whether a call stands at a server or a set-up is out there.
    pub fn is_busy(&self, server: ServerId) -> bool {
        let has_attempt =
            |pending: &PendingCall| pending.in_flight.is_some_and(|attempt| attempt.server == server);
        self.has_established_call_at(server) || self.pending.values().any(has_attempt)
    }

    pub fn report(&mut self, now: Micros, server: ServerId, report: Report) {
        self.decide(now, Event::Probed { server, ok: true, lag: 0, report });
    }

    pub fn probed(&mut self, now: Micros, server: ServerId, ok: bool, lag: Micros, report: Report) {
        self.decide(now, Event::Probed { server, ok, lag, report });
    }

    /// Hands an event to the decisions and carries out what follows, and what follows from that.
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
                        Timer::Call(call) => TimerEvent::CallTimer(call),
                    };
                    self.timers.push(Reverse((now + after, event)));
                }
                Action::Probe { server } => self.effects.push(Effect::Probe { server }),
                Action::Log(text) => self.effects.push(Effect::Log(text)),
                // The list comes by itself on sockets, and call agents cannot reach each other.
                Action::Watch | Action::Tell { .. } => {}
            }
        }
    }
}
