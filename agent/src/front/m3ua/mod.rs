//! M3UA-style signalling over TCP: clients that call over it, and servers that are reached over it.
//!
//! What is said and when is decided in `steprelay-signalling`, by its [`Office`]. One task owns that; the
//! tasks of connections hand it bytes and write what it gives them, so that everything happens in one order.

mod config;
mod figures;
#[expect(clippy::result_large_err, reason = "they are boxed where they leave the module")]
mod kept;
mod sockets;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_core::{CircuitCall, ClientId, ListSource, ReleaseCause, Request, Verdict};
use steprelay_decisions::{CallId, Cause as Noted, ListKind, Micros, Readiness, Report};
use steprelay_signalling::cause::{Cause, Location, SetUpOutcome};
use steprelay_signalling::circuits::CallRef;
use steprelay_signalling::isup::{Continuity, SetUp};
use steprelay_signalling::m3ua::gateway::{Association, Route};
use steprelay_signalling::office::{Effect, Event, Office};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::ports::conn::{self, Capacity, Outbox};
use crate::ports::dispatch::Dispatch;
use crate::ports::{Input, LinkId, Shared, ToClient, ToServer, Unwritten};
use crate::trace;
pub use config::{M3uaConfig, M3uaConfigError};
pub use kept::KeptError;
use kept::{Kept, Record};
#[cfg(test)]
pub use sockets::split;
pub use sockets::{keep, serve};

/// What may wait for the front's task.
const WAITING: usize = 1024;
/// The share of set-ups that a congested server is spared, by its congestion level.
const HOLD_BACK: [f64; 4] = [0.0, 0.25, 0.5, 0.9];
/// The same for the automatic congestion levels of a release, 1 and 2 (Q.763 3.4).
const HOLD_BACK_OF_RELEASE: [f64; 3] = [0.0, 0.25, 0.5];
/// A release that asks to stay away for this long or longer says so with the higher congestion level.
const LONG_WAIT: Micros = 1_000_000;

/// Bytes for an association, which are counted until they are written.
pub struct Bytes {
    bytes: Vec<u8>,
    /// Of a set-up to a server. What follows for its circuit goes out also where this does not: a release of
    /// an idle circuit is confirmed (Q.764 2.9.5).
    dispatch: Option<Dispatch>,
    _unwritten: Unwritten,
}

impl conn::Weight for Bytes {
    fn weight(&self) -> usize {
        self.bytes.len()
    }

    fn is_cancelled(&self) -> bool {
        self.dispatch.as_ref().is_some_and(Dispatch::is_cancelled)
    }
}

/// What the tasks of connections and of the owner's messages tell the front's task.
pub enum Told {
    /// A client's connection is there, or one to the server of a link.
    Client(Association, Outbox<Bytes>),
    Server(LinkId, usize, Association, Outbox<Bytes>),
    Received(Association, Vec<u8>, Micros),
    Closed(Association),
    /// The owner wants a server reached; `over` is told when it cannot be any more.
    Link {
        link: LinkId,
        place: usize,
        over: oneshot::Sender<()>,
    },
    /// It is not to be reached any more; where no process was there, it is told.
    Unlink {
        link: LinkId,
        place: usize,
        refused: bool,
    },
    ToClient(usize, ToClient, Unwritten),
    ToServer(LinkId, usize, ToServer, Unwritten),
    /// The owner has let go of a link.
    Cut(LinkId, usize),
}

/// What the tasks of connections have of the front.
#[derive(Clone)]
pub struct Handle {
    pub config: Rc<M3uaConfig>,
    told: mpsc::Sender<Told>,
    shared: Shared,
    office: Rc<RefCell<Office>>,
    kept: Option<Rc<Kept>>,
}

/// A server that the owner wants reached.
struct Linked {
    link: LinkId,
    over: Option<oneshot::Sender<()>>,
    associations: Vec<Association>,
}

#[derive(Default)]
struct ServerState {
    linked: Option<Linked>,
    /// No process was there at the last dial: the next one that answers has just started.
    was_down: bool,
    started: Option<Micros>,
}

/// The front's task.
struct Front {
    handle: Handle,
    queue: mpsc::Receiver<Told>,
    outboxes: BTreeMap<Association, Outbox<Bytes>>,
    servers: Vec<ServerState>,
    incarnation: u16,
    kept: Option<Rc<Kept>>,
    /// When the bytes that are being looked at came.
    came: Micros,
    /// The set-up that is being sent to a server.
    sending: Option<Dispatch>,
    inputs: Vec<Input>,
}

/// Starts the front's task; what is returned is for its connections. `agent` is the name of this call agent.
///
/// # Errors
/// The file of standing calls cannot be used.
pub fn start(config: M3uaConfig, shared: Shared, agent: &str) -> Result<Handle, KeptError> {
    let now = shared.clock.now();
    let incarnation = (now / 1000 % 1024) as u16;
    let mut serial = 0;
    // Ids name their circuits, so that a release finds its way also after a restart of ours.
    let name = move |client: usize, circuit| {
        serial += 1;
        CallRef(CircuitCall { client: client as u8, circuit, incarnation }.id(serial).0)
    };
    let mut office = Office::new(config.office(), Box::new(name), now);
    let mut kept = None;
    if let Some(path) = &config.kept_calls {
        let (file, stood) = Kept::open(path, agent)?;
        restore(&mut office, &config, &file, stood);
        kept = Some(Rc::new(file));
    }
    let office = Rc::new(RefCell::new(office));
    let (told, queue) = mpsc::channel(WAITING);
    let servers = config.servers.iter().map(|_| ServerState::default()).collect();
    let handle = Handle { config: Rc::new(config), told, shared, office, kept: kept.clone() };
    let (outboxes, inputs) = (BTreeMap::new(), Vec::new());
    let sending = None;
    let front = Front {
        handle: handle.clone(),
        queue,
        outboxes,
        servers,
        incarnation,
        kept,
        came: now,
        sending,
        inputs,
    };
    spawn_local(front.run());
    Ok(handle)
}

/// Takes up the calls that stood before this start. Those of peers that the file does not name any more are
/// nobody's.
fn restore(office: &mut Office, config: &M3uaConfig, kept: &Kept, stood: Vec<Record>) {
    let mut taken = 0;
    for Record { peer, is_client, circuit, call } in stood {
        let Some(call) = call else { continue };
        let place = match is_client {
            true => config.clients.iter().position(|client| client.name == peer),
            false => config.servers.iter().position(|server| server.name == peer),
        };
        let Some(place) = place else {
            kept.put(Record { peer, is_client, circuit, call: None });
            continue;
        };
        let caller = CircuitCall::of(CallId(call.0)).map(|named| usize::from(named.client));
        let theirs = is_client || caller.is_some() && caller == config.caller_place(place);
        office.restore(is_client, place, circuit, call, theirs);
        taken += 1;
    }
    eprintln!("steprelay: m3ua: {taken} calls that stood before are taken up");
}

impl Handle {
    /// The servers of the configuration, to be listed at the start.
    pub fn listed(&self) -> Input {
        let places = 0..self.config.servers.len();
        let servers = places.map(|place| self.config.entry(place, Readiness::Ready)).collect();
        Input::ServersListed { source: ListSource::M3ua, kind: ListKind::Cached, servers }
    }

    async fn tell(&self, told: Told) {
        // The front's task ends with the program only.
        let _ = self.told.send(told).await;
    }
}

impl Front {
    async fn run(mut self) {
        loop {
            let wake = self.handle.office.borrow().next_timeout();
            let wake = self.handle.shared.clock.instant(wake.unwrap_or(Micros::MAX / 2));
            tokio::select! {
                biased;
                told = self.queue.recv() => match told {
                    Some(told) => self.take(told),
                    None => return,
                },
                _ = sleep_until(wake) => self.office(Event::Timeout),
            }
            for input in std::mem::take(&mut self.inputs) {
                if self.handle.shared.inputs.send(input).await.is_err() {
                    return;
                }
            }
        }
    }

    fn take(&mut self, told: Told) {
        self.came = self.handle.shared.clock.now();
        match told {
            Told::Client(association, outbox) => {
                trace::association(association.0, "of a client is up");
                self.outboxes.insert(association, outbox);
                self.office(Event::ClientOpened(association));
            }
            Told::Server(link, place, association, outbox) => match &mut self.servers[place].linked {
                Some(linked) if linked.link == link => {
                    linked.associations.push(association);
                    self.outboxes.insert(association, outbox);
                    self.office(Event::ServerOpened(place, association));
                }
                _ => outbox.cut(),
            },
            Told::Received(association, bytes, came) => {
                self.came = came;
                self.office(Event::Received(association, &bytes));
            }
            Told::Closed(association) => {
                trace::association(association.0, "closed");
                self.outboxes.remove(&association);
                for server in &mut self.servers {
                    if let Some(linked) = &mut server.linked {
                        linked.associations.retain(|known| *known != association);
                    }
                }
                self.office(Event::Closed(association));
            }
            Told::Link { link, place, over } => {
                let linked = Linked { link, over: Some(over), associations: Vec::new() };
                if let Some(before) = self.servers[place].linked.replace(linked) {
                    self.close_all(before.associations);
                }
            }
            Told::Unlink { link, place, refused } => {
                let server = &mut self.servers[place];
                if let Some(linked) = server.linked.take_if(|linked| linked.link == link) {
                    server.was_down |= refused;
                    self.close_all(linked.associations);
                }
                if refused {
                    // With its process went its circuits, and the next one starts cold.
                    self.office(Event::ServerReplaced { server: place });
                }
            }
            Told::ToClient(client, message, _unwritten) => self.tell_client(client, message),
            Told::ToServer(link, server, message, _unwritten) => {
                self.tell_server(link, server, message);
            }
            Told::Cut(link, place) => self.end_link(place, |linked| linked.link == link),
        }
    }

    fn close_all(&mut self, associations: Vec<Association>) {
        for association in associations {
            if let Some(outbox) = self.outboxes.remove(&association) {
                outbox.cut();
            }
            self.office(Event::Closed(association));
        }
    }

    /// Has the task that keeps a link end it.
    fn end_link(&mut self, place: usize, which: impl Fn(&Linked) -> bool) {
        let linked = self.servers[place].linked.as_mut().filter(|linked| which(linked));
        if let Some(over) = linked.and_then(|linked| linked.over.take()) {
            // The task may have ended by itself meanwhile.
            let _ = over.send(());
        }
    }

    fn tell_client(&mut self, client: usize, message: ToClient) {
        let release = |call: CallId, cause, congestion| {
            let (call, cause) = (CallRef(call.0), Cause(cause));
            Event::Release { client, call, cause, congestion }
        };
        let event = match message {
            ToClient::Answer { call, description } => {
                Event::Answer { client, call: CallRef(call.0), description: description.to_string() }
            }
            ToClient::Final { call, verdict } => match verdict {
                Verdict::Refused { wait } => {
                    release(call, ReleaseCause::CONGESTION.0, wait.map(congestion_level))
                }
                Verdict::Failed => release(call, ReleaseCause::TEMPORARY.0, None),
                Verdict::Invalid => release(call, ReleaseCause::PROTOCOL.0, None),
            },
            ToClient::Released { call, cause, .. } => {
                // A call that stood before this process started is not known here, but its id names its
                // circuit. One of this process that is not known has been released by the client already.
                let known = self.handle.office.borrow().has_call(client, CallRef(call.0));
                let earlier =
                    CircuitCall::of(call).filter(|named| named.incarnation != self.incarnation && !known);
                if let Some(named) = earlier {
                    let cause = Cause(cause.0);
                    return self.office(Event::ReleaseCircuit { client, circuit: named.circuit, cause });
                }
                release(call, cause.0, None)
            }
            ToClient::Draining => Event::LocalState { route: Route::Restricted, level: 0 },
            ToClient::Pressure(level) => Event::LocalState { route: Route::Available, level },
            // A peer's association is not a call's: it ends with the program.
            ToClient::HealthCheckPassed(_)
            | ToClient::HealthCheckFailed(_)
            | ToClient::CheckUnreadInput(_)
            | ToClient::CloseIfIdle { .. }
            | ToClient::Pause
            | ToClient::CloseIfPaused { .. }
            | ToClient::Resume
            | ToClient::Finish => return,
        };
        self.office(event);
    }

    fn tell_server(&mut self, link: LinkId, server: usize, message: ToServer) {
        let event = match message {
            ToServer::SetUp(_, dispatch) if dispatch.is_cancelled() => return,
            ToServer::SetUp(set_up, dispatch) => {
                let Some(category) = self.handle.config.category(set_up.class) else {
                    return self.no_circuit(link, set_up.call);
                };
                let (number, description) = (set_up.number.to_string(), set_up.description.to_string());
                let call = CallRef(set_up.call.0);
                let continuity = Continuity::NotRequired;
                let set_up = SetUp { category, continuity, number, description, segmented: false };
                self.handle.shared.count(|io_counts| io_counts.dispatches += 1);
                // Its circuit is taken from now on, whether anything leaves or not.
                dispatch.begin();
                self.sending = Some(dispatch);
                Event::SetUp { server, call, set_up }
            }
            ToServer::Probe(call) => Event::Probe { server, data: call.0.to_be_bytes() },
            // Confirming a release is part of this signalling already, and a peer has one association.
            ToServer::ConfirmRelease(_) | ToServer::Finish => return,
            ToServer::Cancel(call) => {
                Event::ReleaseToServer { server, call: CallRef(call.0), cause: Cause::NORMAL }
            }
            ToServer::Release(call, cause) => {
                Event::ReleaseToServer { server, call: CallRef(call.0), cause: Cause(cause.0) }
            }
        };
        self.office(event);
        self.sending = None;
    }

    fn no_circuit(&mut self, link: LinkId, call: CallId) {
        let (cause, note, report) = (ReleaseCause::NO_CIRCUIT, Noted::NoLine, Report::default());
        self.inputs.push(Input::Ended { link, call, cause, note, report });
    }

    /// Hands an event to the office and carries out what follows.
    fn office(&mut self, event: Event) {
        let now = self.handle.shared.clock.now();
        self.handle.office.borrow_mut().handle(now, event);
        let effects = self.handle.office.borrow_mut().take_effects();
        for effect in effects {
            self.carry_out(now, effect);
        }
    }

    fn link(&self, server: usize) -> Option<LinkId> {
        self.servers[server].linked.as_ref().map(|linked| linked.link)
    }

    fn carry_out(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Write(association, bytes) => {
                let (dispatch, unwritten) = (self.sending.clone(), self.handle.shared.unwritten());
                let message = Bytes { bytes, dispatch, _unwritten: unwritten };
                let Some(outbox) = self.outboxes.get(&association) else { return };
                // What is said to a connection that has ended meanwhile goes with it.
                if !outbox.post(message) && !outbox.is_closed() {
                    eprintln!("steprelay: m3ua: a peer does not read, its connection is cut");
                    self.cut(association);
                }
            }
            Effect::Close(association) => self.cut(association),
            Effect::ClientUp(client) => {
                eprintln!("steprelay: m3ua: client {} is active", self.handle.config.caller_name(client));
                let outbox = self.client_outbox(client);
                let client = client_id(client);
                self.inputs.push(Input::ClientOpened { client, peer: None, outbox });
            }
            Effect::ClientLost(client) => {
                eprintln!("steprelay: m3ua: client {} is lost", self.handle.config.caller_name(client));
                self.inputs.push(Input::ClientClosed { client: client_id(client) });
            }
            Effect::ClientPending(client) => {
                self.inputs.push(Input::ClientUnreachable { client: client_id(client), unreachable: true });
            }
            Effect::ClientRecovered(client) => {
                self.inputs.push(Input::ClientUnreachable { client: client_id(client), unreachable: false });
            }
            Effect::Offer { client, call, set_up } => self.offer(client, call, set_up),
            Effect::Abandoned { client, call, cause } => {
                let (client, call, cause) = (client_id(client), CallId(call.0), ReleaseCause(cause.0));
                self.inputs.push(Input::ClientEnded { client, call, cause });
            }
            Effect::ServerUp(server) => self.server_up(now, server),
            Effect::ServerLost(server) => {
                eprintln!("steprelay: m3ua: server {} is lost", self.handle.config.servers[server].name);
                self.end_link(server, |_| true);
            }
            Effect::Route { server, route } => {
                let state = match route {
                    Route::Available => Readiness::Ready,
                    Route::Restricted | Route::Unavailable => Readiness::Draining,
                };
                self.list(server, state);
            }
            Effect::EstablishedChanged { is_client, index, circuit, call } => {
                let config = &self.handle.config;
                let peer = if is_client { &config.clients[index].name } else { &config.servers[index].name };
                if let Some(kept) = &self.kept {
                    kept.put(Record { peer: peer.clone(), is_client, circuit, call });
                }
            }
            Effect::Log(event) => {
                self.handle.shared.unreadable.log(now, &format!("m3ua: {event}"));
            }
            of_link => self.of_link(of_link),
        }
    }

    /// What concerns the link to a server.
    fn of_link(&mut self, effect: Effect) {
        let at = |server| self.link(server);
        let input = match effect {
            Effect::Progress { server } => at(server).map(|link| Input::Progress { link }),
            Effect::Answered { server, call, description } => at(server).map(|link| Input::Answered {
                link,
                call: CallId(call.0),
                description: Rc::from(description),
            }),
            Effect::Ended { server, call, was_established, cause, location, congestion } => {
                at(server).map(|link| {
                    let (cause, note) = told_cause(cause, location, was_established);
                    let level = usize::from(congestion.unwrap_or_default()).min(2);
                    let shed_share = congestion.map(|_| HOLD_BACK_OF_RELEASE[level]);
                    let report = Report { shed_share, ..Report::default() };
                    Input::Ended { link, call: CallId(call.0), cause, note, report }
                })
            }
            Effect::NoCircuit { server, call } => {
                if let Some(link) = at(server) {
                    self.no_circuit(link, CallId(call.0));
                }
                None
            }
            Effect::Congested { server, level } => at(server).map(|link| {
                let share = HOLD_BACK[usize::from(level).min(3)];
                Input::Reported { link, report: Report { shed_share: Some(share), ..Report::default() } }
            }),
            Effect::Probed { server, data } => at(server).map(|link| {
                let call = CallId(u64::from_be_bytes(data));
                Input::ProbeAnswered { link, call, passed: true, report: Report::default() }
            }),
            _ => None,
        };
        self.inputs.extend(input);
    }

    fn cut(&mut self, association: Association) {
        if let Some(outbox) = self.outboxes.remove(&association) {
            outbox.cut();
        }
    }

    /// What the owner says to a client goes through here into the front's own queue.
    fn client_outbox(&self, client: usize) -> Outbox<ToClient> {
        let handle = self.handle.clone();
        let (outbox, mut inbox) = conn::channel(Capacity::CLIENT);
        spawn_local(async move {
            while let Some(message) = inbox.next().await {
                let unwritten = handle.shared.unwritten();
                inbox.done(&message);
                handle.tell(Told::ToClient(client, message, unwritten)).await;
            }
        });
        outbox
    }

    fn server_up(&mut self, now: Micros, server: usize) {
        eprintln!("steprelay: m3ua: server {} is active", self.handle.config.servers[server].name);
        let Some(link) = self.link(server) else { return };
        let state = &mut self.servers[server];
        if std::mem::take(&mut state.was_down) {
            state.started = Some(now);
        }
        self.list(server, Readiness::Ready);
        let handle = self.handle.clone();
        let (outbox, mut inbox) = conn::channel(Capacity::SERVER);
        let cut = inbox.cut();
        self.inputs.push(Input::LinkUp { link, outbox });
        spawn_local(async move {
            let pass_on = async {
                while let Some(message) = inbox.next().await {
                    let unwritten = handle.shared.unwritten();
                    inbox.done(&message);
                    handle.tell(Told::ToServer(link, server, message, unwritten)).await;
                }
            };
            tokio::select! {
                () = pass_on => {}
                () = cut.notified() => {}
            }
            handle.tell(Told::Cut(link, server)).await;
        });
    }

    fn list(&mut self, server: usize, state: Readiness) {
        let (mut entry, endpoint) = self.handle.config.entry(server, state);
        entry.started = self.servers[server].started;
        let servers = vec![(entry, endpoint)];
        self.inputs.push(Input::ServersListed { source: ListSource::M3ua, kind: ListKind::Changes, servers });
    }

    fn offer(&mut self, client: usize, call: CallRef, set_up: SetUp) {
        let config = self.handle.config.clone();
        let Some(class) = config.class(set_up.category) else {
            let (cause, congestion) = (Cause::PROTOCOL, None);
            return self.office(Event::Release { client, call, cause, congestion });
        };
        let request = Request {
            call: CallId(call.0),
            class: class.class,
            tenant: config.tenant(client),
            dest: self.handle.office.borrow().first_choice(&set_up.number),
            number: Rc::from(set_up.number),
            description: Rc::from(set_up.description),
            received_at: self.came,
            remaining: class.wait,
            was_cut: false,
        };
        self.inputs.push(Input::Offer { client: client_id(client), request });
    }
}

fn client_id(place: usize) -> ClientId {
    ClientId(ClientId::CIRCUIT_BOUND | place as u64)
}

/// The congestion level that a release of this wait carries: how long to stay away.
fn congestion_level(wait: Micros) -> u8 {
    if wait >= LONG_WAIT {
        2
    } else {
        1
    }
}

/// What the core is told of a release: the cause as the platform means it, since ISUP means some otherwise,
/// and what it says of the server. A call that had stood ends with the cause as it came.
fn told_cause(cause: Cause, location: Location, stood: bool) -> (ReleaseCause, Noted) {
    if stood {
        return (ReleaseCause(cause.0), Noted::Untold);
    }
    match cause.outcome(location) {
        SetUpOutcome::Normal => (ReleaseCause::NORMAL, Noted::Untold),
        SetUpOutcome::NotProcessed if cause == Cause::CONGESTION => {
            (ReleaseCause::CONGESTION, Noted::ProcessorFull { wait: None })
        }
        SetUpOutcome::NotProcessed => (ReleaseCause::NO_CIRCUIT, Noted::NoLine),
        SetUpOutcome::Busy => (ReleaseCause::USER_BUSY, Noted::NumberBusy),
        SetUpOutcome::MaybeProcessed => (ReleaseCause::TEMPORARY, Noted::Untold),
        SetUpOutcome::Failed | SetUpOutcome::Malformed => (ReleaseCause::UNSPECIFIED, Noted::Untold),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn causes_are_told_as_the_platform_means_them() {
        let table = [
            (Cause::TIMER, ReleaseCause::TEMPORARY),
            (Cause::REQUESTED_CIRCUIT, ReleaseCause::NO_CIRCUIT),
            (Cause::CONGESTION, ReleaseCause::CONGESTION),
            (Cause::REJECTED, ReleaseCause::UNSPECIFIED),
            (Cause::BUSY, ReleaseCause::USER_BUSY),
        ];
        for (cause, told) in table {
            assert_eq!(told_cause(cause, Location::Transit, false).0, told, "{cause:?}");
            assert_eq!(told_cause(cause, Location::Transit, true).0, ReleaseCause(cause.0), "{cause:?}");
        }
    }
}
