//! The call agent without sockets: requests, attempts and outcomes.
//!
//! It does no I/O, keeps no clock and knows no wire. The owner hands it what has happened with the present
//! time and takes the effects that follow. A request passes one stage after the other: [`take_in`],
//! [`admit`], [`route`], [`send`], [`relay`]; [`book`] counts what became of it.

mod admit;
mod book;
mod bound;
mod cause;
mod clients;
mod delivery;
pub mod duty;
mod promise;
mod relay;
mod round_trip;
mod route;
mod send;
mod take_in;
#[cfg(test)]
mod tests;
mod unclaimed;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use steprelay_decisions::{Action, CallId, Entry, Event, ListKind, Micros, Report, ServerId, Timer};
use steprelay_settings::Site;

use admit::Admission;
use book::Book;
pub use book::{Breach, ClassCounts, Counts, ServerCounts};
pub use bound::BoundCall;
pub use cause::ReleaseCause;
use clients::Clients;
pub use clients::{Bounds, ClientId, Peer};
use delivery::{Deliveries, KEPT_IDLE_FOR, KEPT_OPEN_FOR};
use duty::Duty;
pub use promise::Promise;
use promise::Promises;
use relay::Relay;
use route::Route;
pub use send::NotSent;
use send::Pending;
use unclaimed::UnclaimedReleases;

/// A list of servers is kept for each place that names them, so that a whole list replaces only its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Board,
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
    pub came: Micros,
    pub left: Micros,
    pub was_cut: bool,
}

/// What a front does for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SetUp {
        server: ServerId,
        set_up: SetUp,
    },
    GiveUp {
        server: ServerId,
        call: CallId,
    },
    /// A set-up is taken back if it has not left; where it was, that is told as one that was not sent.
    Withdraw {
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
    Final {
        client: ClientId,
        call: CallId,
        verdict: Verdict,
    },
    Released {
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
    AskIfSilent {
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
    LetGo {
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
    Promised {
        call: CallId,
        promise: Option<Promise>,
        by: Option<Micros>,
    },
    /// A caller has acknowledged the release of a call; where promises are told.
    Acknowledged {
        call: CallId,
    },
    /// The end of a call that was not known here is passed on; where promises are told.
    PassedOn {
        call: CallId,
    },
    /// The caller of a call, which another member is about to see to, was told here that it is over.
    Given {
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
const SWEEP: Micros = 250_000;
/// How often quiet connections are looked for while clients are sent away.
const LET_GO: Micros = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Tick,
    Resume(CallId),
    /// The end of this attempt's time.
    Stop(CallId, u32),
    /// The end of the call's time, whatever is out.
    Deadline(CallId),
    /// A release that is not acknowledged is looked at again.
    Delivery(CallId),
    /// No member has claimed this release in time.
    Unclaimed(CallId),
    /// Connections that only hold a place are looked for.
    Sweep,
    /// Clients are sent away.
    LetGo,
    /// The process ends soon: all that is open is answered.
    AnswerAll,
}

pub struct Core {
    site: Site,
    admission: Admission,
    route: Route,
    clients: Clients,
    pending: BTreeMap<CallId, Pending>,
    relay: Relay,
    deliveries: Deliveries,
    book: Book,
    duty: Duty,
    promises: Promises,
    unclaimed: UnclaimedReleases,
    /// A look for quiet connections is due.
    letting_go: bool,
    wakes: BinaryHeap<Reverse<(Micros, Wake)>>,
    actions: VecDeque<Action>,
    effects: Vec<Effect>,
}

impl Core {
    pub fn new(site: Site, bounds: Bounds, seed: u64, now: Micros) -> Self {
        let route = Route::new(&site, seed, now);
        let site_classes = site.class_names.len();
        Core {
            admission: Admission::new(&site, bounds.bytes),
            route,
            site,
            clients: Clients::new(bounds),
            pending: BTreeMap::new(),
            relay: Relay::default(),
            deliveries: Deliveries::default(),
            book: Book::new(site_classes),
            duty: Duty::default(),
            promises: Promises::default(),
            unclaimed: UnclaimedReleases::default(),
            letting_go: false,
            wakes: BinaryHeap::from([Reverse((now + SWEEP, Wake::Sweep))]),
            actions: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// What has to be done since it was last asked.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether a set-up is about to leave.
    pub fn sends(&self) -> bool {
        self.effects.iter().any(|effect| matches!(effect, Effect::SetUp { .. }))
    }

    pub fn next_wake(&self) -> Option<Micros> {
        self.wakes.peek().map(|Reverse((at, _))| *at)
    }

    /// Set-ups taken in and not answered yet.
    pub fn unanswered(&self) -> usize {
        self.pending.len()
    }

    /// The caller of a call whose answer is awaited, and the server at which its attempt is out.
    pub fn attempt_of(&self, call: CallId) -> Option<(ClientId, ServerId)> {
        let pending = self.pending.get(&call)?;
        Some((pending.client, pending.out?.server))
    }

    pub fn standing(&self) -> usize {
        self.relay.standing()
    }

    /// Releases of calls that are not known here, of which other members are asked.
    pub fn unclaimed(&self) -> usize {
        self.unclaimed.len()
    }

    pub fn counts(&self) -> &Counts {
        &self.book.counts
    }

    /// The servers that were ever listed, with what was sent there and the bound of the image, if any.
    pub fn servers(&self, now: Micros) -> impl Iterator<Item = (Entry, ServerCounts, Option<f64>)> + '_ {
        self.route.entries().map(move |entry| {
            (entry.clone(), self.book.server(entry.server), self.route.image(now, entry.server))
        })
    }

    pub fn wake(&mut self, now: Micros) {
        while self.next_wake().is_some_and(|at| at <= now) {
            let Some(Reverse((_, wake))) = self.wakes.pop() else { break };
            match wake {
                Wake::Tick => self.decide(now, Event::Timer(Timer::Tick)),
                Wake::Resume(call) => self.decide(now, Event::Timer(Timer::Call(call))),
                Wake::Stop(call, attempt) => self.attempt_timed_out(now, call, attempt),
                Wake::Deadline(call) => self.deadline_passed(now, call),
                Wake::Delivery(call) => self.delivery_due(now, call),
                Wake::Unclaimed(call) => self.claims_over(now, call),
                Wake::Sweep => {
                    let unacknowledged = self.deliveries.unacknowledged(now, KEPT_IDLE_FOR);
                    for client in self.clients.useless(now) {
                        if !unacknowledged.contains(&client) {
                            self.let_go(client);
                        }
                    }
                    self.wakes.push(Reverse((now + SWEEP, Wake::Sweep)));
                }
                Wake::LetGo => {
                    self.letting_go = false;
                    self.let_quiet_go(now);
                }
                Wake::AnswerAll => self.answer_all(now),
            }
        }
    }

    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Changes whether work is taken, and follows it up.
    pub fn on_duty<R>(&mut self, now: Micros, change: impl FnOnce(&mut Duty) -> R) -> R {
        let said = change(&mut self.duty);
        self.let_quiet_go(now);
        said
    }

    /// Told to stop: everything has its final answer, and the process has ended, before it is killed.
    pub fn stop(&mut self, now: Micros, replaced: bool) {
        let longest = self.site.deadlines.iter().copied().max().unwrap_or_default();
        self.on_duty(now, |duty| duty.stop(now, replaced, longest));
        self.wakes.extend(self.duty.answers_all_at().map(|at| Reverse((at, Wake::AnswerAll))));
    }

    /// While clients are sent away, has the connections let go of on which nothing waits: neither a set-up
    /// for its answer nor a release for its confirmation. Once no set-ups are taken any more, a client that
    /// never falls quiet is paused first: what crosses its end comes again elsewhere.
    fn let_quiet_go(&mut self, now: Micros) {
        let Some(from) = self.duty.lets_go_from() else { return };
        if now >= from {
            let stays = self.stays(now);
            let takes = self.duty.takes_set_ups(now);
            for (client, inputs) in self.clients.quiet(now) {
                if stays.contains(&client) {
                    continue;
                }
                self.effects.push(Effect::LetGo { client, inputs });
                if !takes {
                    self.effects.push(Effect::Pause { client });
                }
            }
        }
        if !self.letting_go {
            self.letting_go = true;
            self.wakes.push(Reverse((from.max(now + LET_GO), Wake::LetGo)));
        }
    }

    /// Clients that are not let go of now.
    fn stays(&self, now: Micros) -> BTreeSet<ClientId> {
        let mut stays = self.deliveries.unacknowledged(now, KEPT_OPEN_FOR);
        // Releases of what stands need a connection that takes them: the one that made most of the calls
        // stays for them; in the end only for its own, or it would be held idle.
        let all = self.relay.standing() + self.deliveries.len();
        let last = self.clients.last_to_go().filter(|(_, own)| self.duty.keeps(now, *own, all));
        stays.extend(last.map(|(client, _)| client));
        stays
    }

    /// A client is paused, and all that was read from it, so many inputs, has been handed on.
    pub fn client_paused(&mut self, now: Micros, client: ClientId, inputs: u64) {
        let closes = !self.duty.takes_set_ups(now)
            && self.clients.open(client) == 0
            && !self.stays(now).contains(&client);
        self.effects.push(match closes {
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
    fn let_go(&mut self, client: ClientId) {
        self.book.counts.let_go += 1;
        self.clients.closed(client);
        self.effects.push(Effect::Close { client });
    }

    /// Changes of the list of servers from one place, or the whole of it.
    pub fn list(&mut self, now: Micros, source: Source, kind: ListKind, entries: &[Entry]) {
        let (changes, over) = self.route.merge(source, kind, entries);
        self.decide(now, Event::ServerList { kind: ListKind::Changes, entries: &changes });
        for (server, before) in over {
            self.server_dead(now, server, before);
        }
        self.book.keep_servers(|server| self.route.is_shown(server));
    }

    /// Has no new set-ups sent to these servers, as if they were told to drain; all others are free again.
    pub fn hold(&mut self, now: Micros, servers: &[ServerId]) {
        let changes = self.route.hold(servers);
        if !changes.is_empty() {
            self.decide(now, Event::ServerList { kind: ListKind::Changes, entries: &changes });
        }
    }

    /// The servers that are held.
    pub fn held(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.route.held()
    }

    /// Whether a server takes set-ups, as far as is told.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.route.ready(server)
    }

    /// Whether failures keep set-ups from a server for now.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        self.route.avoids(now, server)
    }

    /// Whether a call stands at a server or a set-up is out there.
    pub fn is_busy(&self, server: ServerId) -> bool {
        let out = |pending: &Pending| pending.out.is_some_and(|attempt| attempt.server == server);
        self.stands_at(server) || self.pending.values().any(out)
    }

    pub fn report(&mut self, now: Micros, server: ServerId, report: Report) {
        self.decide(now, Event::ProbeAnswered { server, ok: true, lag: 0, report });
    }

    pub fn probed(&mut self, now: Micros, server: ServerId, ok: bool, lag: Micros, report: Report) {
        self.decide(now, Event::ProbeAnswered { server, ok, lag, report });
    }

    /// Hands an event to the decisions and carries out what follows, and what follows from that.
    fn decide(&mut self, now: Micros, event: Event) {
        self.route.decide(now, event, &mut self.actions);
        while let Some(action) = self.actions.pop_front() {
            match action {
                Action::Send { call, server, stop_at } => self.send(now, call, server, stop_at),
                Action::Refuse { call, retry_after } => {
                    self.finish(now, call, Verdict::Refused { wait: retry_after })
                }
                Action::Fail { call } => self.finish(now, call, Verdict::Failed),
                Action::Cancel { call, attempt } => self.cancel(now, call, attempt),
                Action::SetTimer { timer, after } => {
                    let wake = match timer {
                        Timer::Tick => Wake::Tick,
                        Timer::Call(call) => Wake::Resume(call),
                    };
                    self.wakes.push(Reverse((now + after, wake)));
                }
                Action::Probe { server } => self.effects.push(Effect::Probe { server }),
                Action::Log(text) => self.effects.push(Effect::Log(text)),
                // The list comes by itself on sockets, and call agents cannot reach each other.
                Action::WatchServerList | Action::SendToPeer { .. } => {}
            }
        }
    }
}
