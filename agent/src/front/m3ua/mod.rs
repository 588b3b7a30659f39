//! The M3UA front: ISUP signalling over M3UA on TCP, with clients and with check servers.
//!
//! The protocol logic is in `steprelay-signalling`, in its [`Office`]. A single task owns the office. The
//! connection tasks pass received bytes to that task and write the bytes that it returns, so all events are
//! processed in one order.

#[expect(clippy::result_large_err, reason = "errors are boxed where they leave the module")]
mod call_store;
mod config;
mod figures;
mod sockets;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_core::{CircuitCall, ClientId, ListSource, ReleaseCause, Request, Verdict};
use steprelay_decisions::{CallId, Cause as RefusalCause, ListKind, Micros, Readiness, Report};
use steprelay_signalling::cause::{Cause, Location, SetUpOutcome};
use steprelay_signalling::circuits::CallRef;
use steprelay_signalling::isup::{Continuity, SetUp};
use steprelay_signalling::m3ua::gateway::{Association, Route};
use steprelay_signalling::office::{Effect, Event, Office};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Duration};

use crate::ports::conn::{self, Capacity, Outbox};
use crate::ports::dispatch::Dispatch;
use crate::ports::{Input, LinkId, Shared, ToClient, ToServer, Unwritten, UNREACHABLE_TIMEOUT};
use crate::trace;
pub use call_store::CallStoreError;
use call_store::{CallRecord, CallStore};
pub use config::{M3uaConfig, M3uaConfigError};
#[cfg(test)]
pub use sockets::split;
pub use sockets::{maintain_link, serve};

/// Capacity of the queue of events to the front's task.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// The share of set-ups to shed for a congested server, by its M3UA congestion level.
const SHED_SHARE_BY_LEVEL: [f64; 4] = [0.0, 0.25, 0.5, 0.9];
/// The share of set-ups to shed, by the automatic congestion level of a release: 1 or 2 (Q.763 3.4).
const SHED_SHARE_BY_RELEASE_LEVEL: [f64; 3] = [0.0, 0.25, 0.5];
/// A refusal whose retry delay is at least this many microseconds carries automatic congestion level 2.
const CONGESTION_LEVEL_2_MIN_WAIT: Micros = 1_000_000;

/// An encoded message in the send queue of an association; it counts as unwritten until it is written.
pub struct OutboundMessage {
    bytes: Vec<u8>,
    /// Set for a set-up to a server. Later messages for the circuit are sent even if the set-up is cancelled:
    /// the peer confirms a release of an idle circuit (Q.764 2.9.5).
    dispatch: Option<Dispatch>,
    _unwritten: Unwritten,
}

impl conn::Weight for OutboundMessage {
    fn weight(&self) -> usize {
        self.bytes.len()
    }

    fn is_cancelled(&self) -> bool {
        self.dispatch.as_ref().is_some_and(Dispatch::is_cancelled)
    }
}

/// An event for the front's task, from a connection task or a task that forwards the owner's messages.
pub enum FrontEvent {
    /// A client has connected.
    ClientConnected(Association, Outbox<OutboundMessage>),
    /// A connection to the server of a link is established.
    ServerConnected(LinkId, usize, Association, Outbox<OutboundMessage>),
    /// A whole message was received at the given time.
    Received(Association, Vec<u8>, Micros),
    Closed(Association),
    /// The owner has requested a link to a server; the front signals `stop` when the link is to end.
    LinkRequested {
        link: LinkId,
        server: usize,
        stop: oneshot::Sender<()>,
    },
    /// A link has ended; `refused` says that all addresses refused the connection.
    LinkEnded {
        link: LinkId,
        server: usize,
        refused: bool,
    },
    ToClient(usize, ToClient, Unwritten),
    ToServer(LinkId, usize, ToServer, Unwritten),
    /// The owner has dropped a link.
    LinkDropped(LinkId, usize),
}

/// A handle of the front for its connection tasks.
#[derive(Clone)]
pub struct Handle {
    pub config: Rc<M3uaConfig>,
    events: mpsc::Sender<FrontEvent>,
    shared: Shared,
    office: Rc<RefCell<Office>>,
    call_store: Option<Rc<CallStore>>,
}

/// A link to a server that the owner has requested.
struct ServerLink {
    link: LinkId,
    stop: Option<oneshot::Sender<()>>,
    associations: Vec<Association>,
}

#[derive(Default)]
struct ServerState {
    server_link: Option<ServerLink>,
    /// The last dial was refused: the next process that answers may have just started.
    was_down: bool,
    started: Option<Micros>,
    /// When its last association came up or ended.
    last_seen: Micros,
}

/// State of the front's task.
struct Front {
    handle: Handle,
    queue: mpsc::Receiver<FrontEvent>,
    outboxes: BTreeMap<Association, Outbox<OutboundMessage>>,
    servers: Vec<ServerState>,
    incarnation: u16,
    call_store: Option<Rc<CallStore>>,
    /// When the event that is being handled was received.
    received_at: Micros,
    /// The dispatch of the set-up that is being sent to a server.
    current_dispatch: Option<Dispatch>,
    inputs: Vec<Input>,
}

/// Starts the front's task and returns the handle for its connections. `agent` is the name of this call
/// agent.
///
/// # Errors
/// The file of established calls cannot be used.
pub fn start(config: M3uaConfig, shared: Shared, agent: &str) -> Result<Handle, CallStoreError> {
    let now = shared.clock.now();
    let incarnation = (now / 1000 % 1024) as u16;
    let mut serial = 0;
    // Call ids contain the circuit, so a release can be routed to its circuit even after a restart.
    let name = move |client: usize, circuit| {
        serial += 1;
        CallRef(CircuitCall { client: client as u8, circuit, incarnation }.id(serial).0)
    };
    let mut office = Office::new(config.office(), Box::new(name), now);
    let mut call_store = None;
    if let Some(path) = &config.call_store_path {
        let (store, established) = CallStore::open(path, agent)?;
        restore(&mut office, &config, &store, established);
        call_store = Some(Rc::new(store));
    }
    let office = Rc::new(RefCell::new(office));
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let last_seen = shared.clock.now();
    let servers =
        config.servers.iter().map(|_| ServerState { last_seen, ..ServerState::default() }).collect();
    let handle = Handle { config: Rc::new(config), events, shared, office, call_store: call_store.clone() };
    let (outboxes, inputs) = (BTreeMap::new(), Vec::new());
    let current_dispatch = None;
    let front = Front {
        handle: handle.clone(),
        queue,
        outboxes,
        servers,
        incarnation,
        call_store,
        received_at: now,
        current_dispatch,
        inputs,
    };
    spawn_local(front.run());
    Ok(handle)
}

/// Restores the calls that were established before this start. Calls of peers that the configuration no
/// longer names are removed from the store.
fn restore(office: &mut Office, config: &M3uaConfig, call_store: &CallStore, established: Vec<CallRecord>) {
    let mut restored = 0;
    for CallRecord { peer, is_client, circuit, call } in established {
        let Some(call) = call else { continue };
        let index = match is_client {
            true => config.clients.iter().position(|client| client.name == peer),
            false => config.servers.iter().position(|server| server.name == peer),
        };
        let Some(index) = index else {
            call_store.put(CallRecord { peer, is_client, circuit, call: None });
            continue;
        };
        let caller = CircuitCall::of(CallId(call.0)).map(|named| usize::from(named.client));
        let seized_by_peer = is_client || caller.is_some() && caller == config.caller_index(index);
        office.restore(is_client, index, circuit, call, seized_by_peer);
        restored += 1;
    }
    eprintln!("steprelay: m3ua: restored {restored} calls that were established before the restart");
}

impl Handle {
    /// The server list at the start: all configured servers, as ready.
    pub fn server_list(&self) -> Input {
        let indices = 0..self.config.servers.len();
        let servers = indices.map(|index| self.config.list_entry(index, Readiness::Ready)).collect();
        Input::ServersListed { source: ListSource::M3ua, kind: ListKind::Cached, servers }
    }

    /// Whether an association stays open while a message on it is overdue, for this time so far: a sound
    /// client may pause within a message, and its calls wait for their answers, none longer than the longest
    /// wait.
    fn keeps_stalled(&self, association: Association, partial_for: Duration) -> bool {
        (partial_for.as_micros() as Micros) < self.config.longest_wait()
            && self.office.borrow().has_unanswered_call(association)
    }

    async fn send(&self, event: FrontEvent) {
        // The front's task runs until the program ends, so an error here needs no handling.
        let _ = self.events.send(event).await;
    }
}

impl Front {
    async fn run(mut self) {
        loop {
            let wake = self.handle.office.borrow().next_timeout();
            let wake = self.handle.shared.clock.instant(wake.unwrap_or(Micros::MAX / 2));
            tokio::select! {
                biased;
                event = self.queue.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = sleep_until(wake) => self.handle_in_office(Event::Timeout),
            }
            for input in std::mem::take(&mut self.inputs) {
                if self.handle.shared.inputs.send(input).await.is_err() {
                    return;
                }
            }
        }
    }

    fn handle_event(&mut self, event: FrontEvent) {
        self.received_at = self.handle.shared.clock.now();
        match event {
            FrontEvent::ClientConnected(association, outbox) => {
                trace::association(association.0, "of a client is up");
                self.outboxes.insert(association, outbox);
                self.handle_in_office(Event::ClientOpened(association));
            }
            FrontEvent::ServerConnected(link, server, association, outbox) => {
                match &mut self.servers[server].server_link {
                    Some(linked) if linked.link == link => {
                        linked.associations.push(association);
                        self.servers[server].last_seen = self.received_at;
                        self.outboxes.insert(association, outbox);
                        self.handle_in_office(Event::ServerOpened(server, association));
                    }
                    _ => outbox.cut(),
                }
            }
            FrontEvent::Received(association, bytes, received_at) => {
                self.received_at = received_at;
                self.handle_in_office(Event::Received(association, &bytes));
            }
            FrontEvent::Closed(association) => {
                trace::association(association.0, "closed");
                self.outboxes.remove(&association);
                for server in &mut self.servers {
                    let Some(linked) = &mut server.server_link else { continue };
                    if linked.associations.contains(&association) {
                        linked.associations.retain(|known| *known != association);
                        server.last_seen = self.received_at;
                    }
                }
                self.handle_in_office(Event::Closed(association));
            }
            FrontEvent::LinkRequested { link, server, stop } => {
                let linked = ServerLink { link, stop: Some(stop), associations: Vec::new() };
                if let Some(previous) = self.servers[server].server_link.replace(linked) {
                    self.close_all(previous.associations);
                }
            }
            FrontEvent::LinkEnded { link, server, refused } => {
                let state = &mut self.servers[server];
                if let Some(linked) = state.server_link.take_if(|linked| linked.link == link) {
                    state.was_down |= refused;
                    self.close_all(linked.associations);
                }
                // A server that holds as many associations as it accepts refuses others, with its calls up.
                let is_unreachable = self.received_at >= self.servers[server].last_seen + UNREACHABLE_TIMEOUT;
                if refused && is_unreachable {
                    // The circuit states are lost with the process.
                    self.handle_in_office(Event::ServerReplaced { server });
                }
            }
            FrontEvent::ToClient(client, message, _unwritten) => self.send_to_client(client, message),
            FrontEvent::ToServer(link, server, message, _unwritten) => {
                self.send_to_server(link, server, message);
            }
            FrontEvent::LinkDropped(link, server) => self.end_link(server, |linked| linked.link == link),
        }
    }

    fn close_all(&mut self, associations: Vec<Association>) {
        for association in associations {
            if let Some(outbox) = self.outboxes.remove(&association) {
                outbox.cut();
            }
            self.handle_in_office(Event::Closed(association));
        }
    }

    /// Signals the task that maintains the link of a server to end, if `matches` holds for the link.
    fn end_link(&mut self, server: usize, matches: impl Fn(&ServerLink) -> bool) {
        let linked = self.servers[server].server_link.as_mut().filter(|linked| matches(linked));
        if let Some(stop) = linked.and_then(|linked| linked.stop.take()) {
            // The send fails if the task has already ended by itself.
            let _ = stop.send(());
        }
    }

    fn send_to_client(&mut self, client: usize, message: ToClient) {
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
                // The office does not know a call that was established before this process started, but the
                // call id contains the circuit. An unknown call of this process has already been released by
                // the client.
                let known = self.handle.office.borrow().has_call(client, CallRef(call.0));
                let earlier =
                    CircuitCall::of(call).filter(|named| named.incarnation != self.incarnation && !known);
                if let Some(named) = earlier {
                    let cause = Cause(cause.0);
                    return self.handle_in_office(Event::ReleaseCircuit {
                        client,
                        circuit: named.circuit,
                        cause,
                    });
                }
                release(call, cause.0, None)
            }
            ToClient::Draining => Event::LocalState { route: Route::Restricted, level: 0 },
            ToClient::Pressure(level) => Event::LocalState { route: Route::Available, level },
            // An association does not belong to a single call: it ends only with the program.
            ToClient::HealthCheckPassed(_)
            | ToClient::HealthCheckFailed(_)
            | ToClient::CheckUnreadInput(_)
            | ToClient::CloseIfIdle { .. }
            | ToClient::Pause
            | ToClient::CloseIfPaused { .. }
            | ToClient::Resume
            | ToClient::Finish => return,
        };
        self.handle_in_office(event);
    }

    fn send_to_server(&mut self, link: LinkId, server: usize, message: ToServer) {
        let event = match message {
            ToServer::SetUp(_, dispatch) if dispatch.is_cancelled() => return,
            ToServer::SetUp(set_up, dispatch) => {
                let Some(category) = self.handle.config.category(set_up.class) else {
                    return self.report_no_circuit(link, set_up.call);
                };
                let (number, description) = (set_up.number.to_string(), set_up.description.to_string());
                let call = CallRef(set_up.call.0);
                let continuity = Continuity::NotRequired;
                let set_up = SetUp { category, continuity, number, description, segmented: false };
                self.handle.shared.count(|io_counts| io_counts.dispatches += 1);
                // The office seizes the circuit now, even if the message is never written.
                dispatch.begin();
                self.current_dispatch = Some(dispatch);
                Event::SetUp { server, call, set_up }
            }
            ToServer::Probe(call) => Event::Probe { server, data: call.0.to_be_bytes() },
            // ISUP itself confirms a release, and a peer's only association stays open.
            ToServer::ConfirmRelease(_) | ToServer::Finish => return,
            ToServer::Cancel(call) => {
                Event::ReleaseToServer { server, call: CallRef(call.0), cause: Cause::NORMAL }
            }
            ToServer::Release(call, cause) => {
                Event::ReleaseToServer { server, call: CallRef(call.0), cause: Cause(cause.0) }
            }
        };
        self.handle_in_office(event);
        self.current_dispatch = None;
    }

    fn report_no_circuit(&mut self, link: LinkId, call: CallId) {
        let (cause, note, report) = (ReleaseCause::NO_CIRCUIT, RefusalCause::NoLine, Report::default());
        self.inputs.push(Input::Ended { link, call, cause, note, report });
    }

    /// Passes an event to the office and applies the resulting effects.
    fn handle_in_office(&mut self, event: Event) {
        let now = self.handle.shared.clock.now();
        self.handle.office.borrow_mut().handle(now, event);
        let effects = self.handle.office.borrow_mut().take_effects();
        for effect in effects {
            self.apply_effect(now, effect);
        }
    }

    fn link(&self, server: usize) -> Option<LinkId> {
        self.servers[server].server_link.as_ref().map(|linked| linked.link)
    }

    fn apply_effect(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Write(association, bytes) => {
                let (dispatch, unwritten) = (self.current_dispatch.clone(), self.handle.shared.unwritten());
                let message = OutboundMessage { bytes, dispatch, _unwritten: unwritten };
                let Some(outbox) = self.outboxes.get(&association) else { return };
                // A message to a connection that has ended in the meantime is dropped.
                if !outbox.post(message) && !outbox.is_closed() {
                    eprintln!("steprelay: m3ua: a peer does not read; closing its connection");
                    self.cut_connection(association);
                }
            }
            Effect::Close(association) => self.cut_connection(association),
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
                self.report_server_state(server, state);
            }
            Effect::EstablishedChanged { is_client, index, circuit, call } => {
                let config = &self.handle.config;
                let peer = if is_client { &config.clients[index].name } else { &config.servers[index].name };
                if let Some(call_store) = &self.call_store {
                    call_store.put(CallRecord { peer: peer.clone(), is_client, circuit, call });
                }
            }
            Effect::Log(event) => {
                self.handle.shared.unreadable.log(now, &format!("m3ua: {event}"));
            }
            link_effect => self.apply_link_effect(link_effect),
        }
    }

    /// Applies an effect that concerns the link to a server.
    fn apply_link_effect(&mut self, effect: Effect) {
        let link_of = |server| self.link(server);
        let input = match effect {
            Effect::Progress { server } => link_of(server).map(|link| Input::Progress { link }),
            Effect::Answered { server, call, description } => link_of(server).map(|link| Input::Answered {
                link,
                call: CallId(call.0),
                description: Rc::from(description),
            }),
            Effect::Ended { server, call, was_established, cause, location, congestion } => link_of(server)
                .map(|link| {
                    let (cause, note) = release_cause(cause, location, was_established);
                    let level = usize::from(congestion.unwrap_or_default()).min(2);
                    let shed_share = congestion.map(|_| SHED_SHARE_BY_RELEASE_LEVEL[level]);
                    let report = Report { shed_share, ..Report::default() };
                    Input::Ended { link, call: CallId(call.0), cause, note, report }
                }),
            Effect::NoCircuit { server, call } => {
                if let Some(link) = link_of(server) {
                    self.report_no_circuit(link, CallId(call.0));
                }
                None
            }
            Effect::Congested { server, level } => link_of(server).map(|link| {
                let share = SHED_SHARE_BY_LEVEL[usize::from(level).min(3)];
                Input::Reported { link, report: Report { shed_share: Some(share), ..Report::default() } }
            }),
            Effect::Probed { server, data } => link_of(server).map(|link| {
                let call = CallId(u64::from_be_bytes(data));
                Input::ProbeAnswered { link, call, passed: true, report: Report::default() }
            }),
            _ => None,
        };
        self.inputs.extend(input);
    }

    fn cut_connection(&mut self, association: Association) {
        if let Some(outbox) = self.outboxes.remove(&association) {
            outbox.cut();
        }
    }

    /// Returns the owner's outbox for a client; a task forwards its messages to the front's queue.
    fn client_outbox(&self, client: usize) -> Outbox<ToClient> {
        let handle = self.handle.clone();
        let (outbox, mut inbox) = conn::channel(Capacity::CLIENT);
        spawn_local(async move {
            while let Some(message) = inbox.next().await {
                let unwritten = handle.shared.unwritten();
                inbox.done(&message);
                handle.send(FrontEvent::ToClient(client, message, unwritten)).await;
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
        self.report_server_state(server, Readiness::Ready);
        let handle = self.handle.clone();
        let (outbox, mut inbox) = conn::channel(Capacity::SERVER);
        let cut = inbox.cut();
        self.inputs.push(Input::LinkUp { link, outbox });
        spawn_local(async move {
            let forward = async {
                while let Some(message) = inbox.next().await {
                    let unwritten = handle.shared.unwritten();
                    inbox.done(&message);
                    handle.send(FrontEvent::ToServer(link, server, message, unwritten)).await;
                }
            };
            tokio::select! {
                () = forward => {}
                () = cut.notified() => {}
            }
            handle.send(FrontEvent::LinkDropped(link, server)).await;
        });
    }

    fn report_server_state(&mut self, server: usize, state: Readiness) {
        let (mut entry, endpoint) = self.handle.config.list_entry(server, state);
        entry.started = self.servers[server].started;
        let servers = vec![(entry, endpoint)];
        self.inputs.push(Input::ServersListed { source: ListSource::M3ua, kind: ListKind::Changes, servers });
    }

    fn offer(&mut self, client: usize, call: CallRef, set_up: SetUp) {
        let config = self.handle.config.clone();
        let Some(class) = config.class(set_up.category) else {
            let (cause, congestion) = (Cause::PROTOCOL, None);
            return self.handle_in_office(Event::Release { client, call, cause, congestion });
        };
        let request = Request {
            call: CallId(call.0),
            class: class.class,
            tenant: config.tenant(client),
            dest: self.handle.office.borrow().first_choice(&set_up.number),
            number: Rc::from(set_up.number),
            description: Rc::from(set_up.description),
            received_at: self.received_at,
            remaining: class.wait,
            was_cut: false,
        };
        self.inputs.push(Input::Offer { client: client_id(client), request });
    }
}

fn client_id(index: usize) -> ClientId {
    ClientId(ClientId::CIRCUIT_BOUND | index as u64)
}

/// Returns the automatic congestion level of a release that asks the client to wait this long.
fn congestion_level(wait: Micros) -> u8 {
    if wait >= CONGESTION_LEVEL_2_MIN_WAIT {
        2
    } else {
        1
    }
}

/// Maps a received release to the cause that the core expects, since ISUP uses some cause values differently,
/// and to what the release says about the server. An established call ends with the cause as received.
fn release_cause(cause: Cause, location: Location, was_established: bool) -> (ReleaseCause, RefusalCause) {
    if was_established {
        return (ReleaseCause(cause.0), RefusalCause::Untold);
    }
    match cause.outcome(location) {
        SetUpOutcome::Normal => (ReleaseCause::NORMAL, RefusalCause::Untold),
        SetUpOutcome::NotProcessed if cause == Cause::CONGESTION => {
            (ReleaseCause::CONGESTION, RefusalCause::ProcessorFull { wait: None })
        }
        SetUpOutcome::NotProcessed => (ReleaseCause::NO_CIRCUIT, RefusalCause::NoLine),
        SetUpOutcome::Busy => (ReleaseCause::USER_BUSY, RefusalCause::NumberBusy),
        SetUpOutcome::MaybeProcessed => (ReleaseCause::TEMPORARY, RefusalCause::Untold),
        SetUpOutcome::Failed | SetUpOutcome::Malformed => (ReleaseCause::UNSPECIFIED, RefusalCause::Untold),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn isup_causes_map_to_the_causes_of_the_core() {
        let table = [
            (Cause::TIMER, ReleaseCause::TEMPORARY),
            (Cause::REQUESTED_CIRCUIT, ReleaseCause::NO_CIRCUIT),
            (Cause::CONGESTION, ReleaseCause::CONGESTION),
            (Cause::REJECTED, ReleaseCause::UNSPECIFIED),
            (Cause::BUSY, ReleaseCause::USER_BUSY),
        ];
        for (cause, expected) in table {
            assert_eq!(release_cause(cause, Location::Transit, false).0, expected, "{cause:?}");
            assert_eq!(release_cause(cause, Location::Transit, true).0, ReleaseCause(cause.0), "{cause:?}");
        }
    }
}
