//! The complete signalling engine of the call agent, an office (exchange) in the terms of ISUP: the gateway
//! towards clients, the ASPs towards servers, and the circuits of every peer.
//!
//! The caller of [`Office`] passes in the bytes of associations and the requests of call control, and carries
//! out the effects: bytes for associations, and calls that are offered, answered and ended. A client is
//! identified by its index. A server that also makes calls, on circuits that both sides seize, has a client
//! index too, after those of all clients.

use std::collections::BTreeMap;

use crate::cause::{Cause, Location};
use crate::circuits::{self, Alert, CallRef, Trunk};
use crate::isup::{self, Body, Message, SetUp};
use crate::m3ua::asp::{self, Asp};
use crate::m3ua::gateway::{self, Association, Gateway, Route};
use crate::m3ua::ErrorCode;
use crate::trie::PrefixTrie;
use crate::{Circuit, Micros};

/// The route of calls to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The number of the server of first choice.
    pub number: u32,
    /// The minimum length of a complete called number.
    pub digits: usize,
}

/// The configuration of a server: its ASP and its circuits.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub asp: asp::Config,
    pub circuits: circuits::Config,
}

/// The configuration of the office.
#[derive(Debug)]
pub struct Config {
    pub gateway: gateway::Config,
    /// The circuits of each client. A client is an application server of the gateway, with the same index.
    pub clients: Vec<circuits::Config>,
    pub servers: Vec<ServerConfig>,
    pub destinations: PrefixTrie<Destination>,
}

/// An input of the office.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A client has connected.
    ClientOpened(Association),
    /// A connection to a server is open.
    ServerOpened(usize, Association),
    Received(Association, &'a [u8]),
    Closed(Association),
    /// Answers a client's call.
    Answer {
        client: usize,
        call: CallRef,
        description: String,
    },
    /// Releases or refuses a client's call, with an automatic congestion level where there is one.
    Release {
        client: usize,
        call: CallRef,
        cause: Cause,
        congestion: Option<u8>,
    },
    /// Releases a client's call that was made before this process started; its call id names the circuit.
    ReleaseCircuit {
        client: usize,
        circuit: Circuit,
        cause: Cause,
    },
    /// Sets up a call to a server.
    SetUp {
        server: usize,
        call: CallRef,
        set_up: SetUp,
    },
    /// Releases a call to a server.
    ReleaseToServer {
        server: usize,
        call: CallRef,
        cause: Cause,
    },
    /// Probes a server with this heartbeat data.
    Probe {
        server: usize,
        data: [u8; 8],
    },
    /// The process of a server has ended: all its circuits are idle.
    ServerReplaced {
        server: usize,
    },
    /// The availability and congestion level of the local point code, which clients are notified of.
    LocalState {
        route: Route,
        level: u8,
    },
    /// An operator blocks or unblocks circuits of a client.
    Block {
        client: usize,
        first: Circuit,
        last: Circuit,
        reason: isup::Blocking,
        is_blocked: bool,
    },
    /// Queries the states of a client's circuits.
    Audit {
        client: usize,
    },
    Timeout,
}

/// An output of the office.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write(Association, Vec<u8>),
    Close(Association),
    ClientUp(usize),
    ClientLost(usize),
    /// A client has no active ASP: messages to it are queued until it recovers or is lost.
    ClientPending(usize),
    ClientRecovered(usize),
    /// A client has set up a call.
    Offer {
        client: usize,
        call: CallRef,
        set_up: SetUp,
    },
    /// A client has abandoned or released a call.
    Abandoned {
        client: usize,
        call: CallRef,
        cause: Cause,
    },
    ServerUp(usize),
    ServerLost(usize),
    Progress {
        server: usize,
    },
    Answered {
        server: usize,
        call: CallRef,
        description: String,
    },
    /// A server has refused or released a call, or it has failed.
    Ended {
        server: usize,
        call: CallRef,
        /// Whether the call was established.
        was_established: bool,
        cause: Cause,
        location: Location,
        congestion: Option<u8>,
    },
    /// No circuit to the server was available: the set-up was not sent.
    NoCircuit {
        server: usize,
        call: CallRef,
    },
    /// The reachability of a server has changed.
    Route {
        server: usize,
        route: Route,
    },
    /// A server has reported its congestion level, 0 to 3.
    Congested {
        server: usize,
        level: u8,
    },
    /// A server has answered a probe.
    Probed {
        server: usize,
        data: [u8; 8],
    },
    /// The established call on a circuit of a client or a server; `None` once there is none.
    EstablishedChanged {
        is_client: bool,
        index: usize,
        circuit: Circuit,
        call: Option<CallRef>,
    },
    Log(LogEvent),
}

/// An event for the operator's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogEvent {
    #[error("sent ERR in reply to a peer's message: {0}")]
    ErrorSent(ErrorCode),
    #[error("received ERR from a peer, error code {0:#04x}")]
    ErrorReceived(u32),
    #[error("client {0} reports congestion level {1}")]
    ClientCongested(usize, u8),
    #[error("circuit {0}: {1}")]
    Circuit(Circuit, Alert),
    #[error("a message for circuit {0} was dropped")]
    Dropped(Circuit),
}

/// The kind of peer at the other end of an association.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerKind {
    Client,
    Server(usize),
}

/// A peer with circuits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Client(usize),
    Server(usize),
}

/// Allocates the reference of a new call on a client's circuit, from the client's index and the circuit.
type CallRefAllocator = Box<dyn FnMut(usize, Circuit) -> CallRef>;

/// The gateway, the ASPs and the circuits of all peers.
pub struct Office {
    gateway: Gateway,
    clients: Vec<Trunk>,
    servers: Vec<(Asp, Trunk)>,
    /// The local point code.
    point_code: u32,
    /// The point code of each server.
    server_codes: Vec<u32>,
    /// The servers that make calls; their client indices follow those of the clients.
    calling_servers: Vec<usize>,
    associations: BTreeMap<Association, PeerKind>,
    destinations: PrefixTrie<Destination>,
    allocate_call_ref: CallRefAllocator,
    effects: Vec<Effect>,
}

impl Office {
    pub fn new(config: Config, allocate_call_ref: CallRefAllocator, now: Micros) -> Self {
        let calling_servers =
            (0..config.servers.len()).filter(|&server| config.servers[server].circuits.incoming).collect();
        let point_code = config.gateway.point_code;
        let server_codes: Vec<u32> = config.servers.iter().map(|server| server.asp.peer_point_code).collect();
        let mut gateway = Gateway::new(config.gateway);
        for &code in &server_codes {
            let route = Route::Unavailable;
            gateway.handle(now, gateway::Event::Route { point_code: code, route, level: 0 });
        }
        Office {
            gateway,
            clients: config.clients.into_iter().map(|trunk| Trunk::new(trunk, now)).collect(),
            servers: config
                .servers
                .into_iter()
                .map(|server| (Asp::new(server.asp), Trunk::new(server.circuits, now)))
                .collect(),
            point_code,
            server_codes,
            calling_servers,
            associations: BTreeMap::new(),
            destinations: config.destinations,
            allocate_call_ref,
            effects: Vec::new(),
        }
    }

    /// Returns the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Timeout`] is due next.
    pub fn next_timeout(&self) -> Option<Micros> {
        let clients = self.clients.iter().filter_map(Trunk::next_timeout);
        let servers = self.servers.iter().flat_map(|(asp, trunk)| [asp.next_timeout(), trunk.next_timeout()]);
        clients.chain(servers.flatten()).chain(self.gateway.next_timeout()).min()
    }

    /// Restores a call that was established before this process started, on a circuit of a client or a
    /// server. `is_incoming` says that the peer made the call.
    pub fn restore(
        &mut self,
        is_client: bool,
        index: usize,
        circuit: Circuit,
        call: CallRef,
        is_incoming: bool,
    ) {
        match is_client {
            true => self.clients[index].restore(circuit, call, is_incoming),
            false => self.servers[index].1.restore(circuit, call, is_incoming),
        }
    }

    /// Whether a circuit of a client index carries this call.
    pub fn has_call(&self, client: usize, call: CallRef) -> bool {
        let trunk = match self.calling_peer(client) {
            Some(Peer::Client(client)) => &self.clients[client],
            Some(Peer::Server(server)) => &self.servers[server].1,
            None => return false,
        };
        trunk.circuit(call).is_some()
    }

    /// Whether a call of the clients that an association carries waits for its answer.
    pub fn has_unanswered_call(&self, association: Association) -> bool {
        self.gateway.servers_of(association).any(|client| self.clients[client].has_unanswered_call())
    }

    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    pub fn clients(&self) -> &[Trunk] {
        &self.clients
    }

    pub fn servers(&self) -> &[(Asp, Trunk)] {
        &self.servers
    }

    /// The number of the server of first choice for a called number.
    pub fn first_choice(&self, number: &str) -> Option<u32> {
        self.destinations.longest(number).map(|destination| destination.number)
    }

    /// Handles an event; the results are in [`Office::take_effects`].
    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::ClientOpened(association) => {
                self.associations.insert(association, PeerKind::Client);
                self.handle_gateway_event(now, gateway::Event::Opened(association), None);
            }
            Event::ServerOpened(server, association) => {
                self.associations.insert(association, PeerKind::Server(server));
                self.handle_asp_event(now, server, asp::Event::Opened(association), None);
            }
            Event::Received(association, bytes) => match self.associations.get(&association) {
                Some(PeerKind::Client) => {
                    self.handle_gateway_event(now, gateway::Event::Received(association, bytes), Some(bytes))
                }
                Some(&PeerKind::Server(server)) => {
                    self.handle_asp_event(now, server, asp::Event::Received(association, bytes), Some(bytes))
                }
                None => {}
            },
            Event::Closed(association) => match self.associations.remove(&association) {
                Some(PeerKind::Client) => {
                    self.handle_gateway_event(now, gateway::Event::Closed(association), None)
                }
                Some(PeerKind::Server(server)) => {
                    self.handle_asp_event(now, server, asp::Event::Closed(association), None)
                }
                None => {}
            },
            Event::Answer { client, call, description } => {
                self.handle_caller_event(now, client, circuits::Event::Answer { call, description })
            }
            Event::Release { client, call, cause, congestion } => {
                self.handle_caller_event(now, client, circuits::Event::Release { call, cause, congestion })
            }
            Event::ReleaseCircuit { client, circuit, cause } => {
                self.handle_caller_event(now, client, circuits::Event::ReleaseCircuit { circuit, cause })
            }
            Event::SetUp { server, call, set_up } => self.handle_trunk_event(
                now,
                Peer::Server(server),
                circuits::Event::SetUp { call, set_up },
                None,
            ),
            Event::ReleaseToServer { server, call, cause } => {
                let release = circuits::Event::Release { call, cause, congestion: None };
                self.handle_trunk_event(now, Peer::Server(server), release, None)
            }
            Event::Probe { server, data } => {
                self.handle_asp_event(now, server, asp::Event::Probe(data), None)
            }
            Event::ServerReplaced { server } => {
                self.handle_trunk_event(now, Peer::Server(server), circuits::Event::Replaced, None)
            }
            Event::LocalState { route, level } => {
                let point_code = self.point_code;
                self.handle_gateway_event(now, gateway::Event::Route { point_code, route, level }, None)
            }
            Event::Block { client, first, last, reason, is_blocked } => {
                let event = match is_blocked {
                    true => circuits::Event::Block(first, last, reason),
                    false => circuits::Event::Unblock(first, last, reason),
                };
                self.handle_caller_event(now, client, event)
            }
            Event::Audit { client } => self.handle_caller_event(now, client, circuits::Event::Audit),
            Event::Timeout => self.timeout(now),
        }
    }

    fn timeout(&mut self, now: Micros) {
        self.handle_gateway_event(now, gateway::Event::Timeout, None);
        for server in 0..self.servers.len() {
            self.handle_asp_event(now, server, asp::Event::Timeout, None);
            self.handle_trunk_event(now, Peer::Server(server), circuits::Event::Timeout, None);
        }
        for client in 0..self.clients.len() {
            self.handle_trunk_event(now, Peer::Client(client), circuits::Event::Timeout, None);
        }
    }

    /// The peer of a client index.
    fn calling_peer(&self, client: usize) -> Option<Peer> {
        match client.checked_sub(self.clients.len()) {
            None => Some(Peer::Client(client)),
            Some(index) => self.calling_servers.get(index).map(|&server| Peer::Server(server)),
        }
    }

    /// The client index of a peer that makes calls.
    fn client_index(&self, peer: Peer) -> usize {
        match peer {
            Peer::Client(client) => client,
            Peer::Server(server) => {
                let index = self.calling_servers.iter().position(|caller| *caller == server);
                self.clients.len() + index.expect("only calling servers have a client index")
            }
        }
    }

    fn is_calling_server(&self, server: usize) -> bool {
        self.calling_servers.contains(&server)
    }

    fn handle_caller_event(&mut self, now: Micros, client: usize, event: circuits::Event) {
        if let Some(peer) = self.calling_peer(client) {
            self.handle_trunk_event(now, peer, event, None);
        }
    }

    /// Passes an event to the gateway. `bytes` is the received message, which an ERR reply quotes.
    fn handle_gateway_event(&mut self, now: Micros, event: gateway::Event, bytes: Option<&[u8]>) {
        self.gateway.handle(now, event);
        self.apply_gateway_effects(now, bytes);
    }

    fn apply_gateway_effects(&mut self, now: Micros, bytes: Option<&[u8]>) {
        for effect in self.gateway.take_effects() {
            match effect {
                gateway::Effect::Write(association, bytes) => {
                    self.effects.push(Effect::Write(association, bytes))
                }
                gateway::Effect::Close(association) => {
                    self.associations.remove(&association);
                    self.effects.push(Effect::Close(association));
                }
                gateway::Effect::Deliver { server: client, association, payload } => {
                    self.handle_isup(now, Peer::Client(client), association, &payload, bytes)
                }
                gateway::Effect::Up { server: client } => {
                    self.effects.push(Effect::ClientUp(client));
                    self.handle_trunk_event(now, Peer::Client(client), circuits::Event::Up, None);
                }
                gateway::Effect::Lost { server: client } => {
                    self.handle_trunk_event(now, Peer::Client(client), circuits::Event::Down, None);
                    self.effects.push(Effect::ClientLost(client));
                }
                gateway::Effect::Pending { server: client } => {
                    self.effects.push(Effect::ClientPending(client))
                }
                gateway::Effect::Recovered { server: client } => {
                    self.effects.push(Effect::ClientRecovered(client))
                }
                gateway::Effect::Congested { server: client, level } => {
                    self.log(LogEvent::ClientCongested(client, level))
                }
                gateway::Effect::ErrorSent(_, error) => self.log(LogEvent::ErrorSent(error)),
                gateway::Effect::ErrorReceived(_, code) => self.log(LogEvent::ErrorReceived(code)),
                gateway::Effect::Dropped { circuit, .. } => self.log(LogEvent::Dropped(circuit)),
            }
        }
    }

    fn handle_asp_event(&mut self, now: Micros, server: usize, event: asp::Event, bytes: Option<&[u8]>) {
        self.servers[server].0.handle(now, event);
        self.apply_asp_effects(now, server, bytes);
    }

    fn apply_asp_effects(&mut self, now: Micros, server: usize, bytes: Option<&[u8]>) {
        for effect in self.servers[server].0.take_effects() {
            match effect {
                asp::Effect::Write(association, bytes) => {
                    self.effects.push(Effect::Write(association, bytes))
                }
                asp::Effect::Close(association) => {
                    self.associations.remove(&association);
                    self.effects.push(Effect::Close(association));
                }
                asp::Effect::Deliver { association, payload } => {
                    self.handle_isup(now, Peer::Server(server), association, &payload, bytes)
                }
                asp::Effect::Up => {
                    self.handle_trunk_event(now, Peer::Server(server), circuits::Event::Up, None);
                    self.effects.push(Effect::ServerUp(server));
                    if self.is_calling_server(server) {
                        self.effects.push(Effect::ClientUp(self.client_index(Peer::Server(server))));
                    }
                    self.set_server_state(now, server, Route::Available, 0);
                }
                asp::Effect::Lost => {
                    self.handle_trunk_event(now, Peer::Server(server), circuits::Event::Down, None);
                    self.effects.push(Effect::ServerLost(server));
                    if self.is_calling_server(server) {
                        self.effects.push(Effect::ClientLost(self.client_index(Peer::Server(server))));
                    }
                    self.set_server_state(now, server, Route::Unavailable, 0);
                }
                asp::Effect::Route(route) => {
                    self.effects.push(Effect::Route { server, route });
                    self.set_server_state(now, server, route, 0);
                }
                asp::Effect::Congested(level) => {
                    self.effects.push(Effect::Congested { server, level });
                    self.set_server_state(now, server, Route::Available, level);
                }
                asp::Effect::Probed(data) => self.effects.push(Effect::Probed { server, data }),
                asp::Effect::ErrorSent(_, error) => self.log(LogEvent::ErrorSent(error)),
                asp::Effect::ErrorReceived(_, code) => self.log(LogEvent::ErrorReceived(code)),
                asp::Effect::Dropped { circuit } => self.log(LogEvent::Dropped(circuit)),
            }
        }
    }

    /// Records the state of a server's point code in the gateway, which reports it to clients.
    fn set_server_state(&mut self, now: Micros, server: usize, route: Route, level: u8) {
        let point_code = self.server_codes[server];
        self.handle_gateway_event(now, gateway::Event::Route { point_code, route, level }, None);
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    fn send_error(
        &mut self,
        now: Micros,
        peer: Peer,
        association: Association,
        error: ErrorCode,
        bytes: Option<&[u8]>,
    ) {
        let bytes = bytes.unwrap_or_default();
        match peer {
            Peer::Client(_) => {
                self.gateway.send_error(association, error, bytes);
                self.apply_gateway_effects(now, None);
            }
            Peer::Server(server) => {
                self.servers[server].0.send_error(association, error, bytes);
                self.apply_asp_effects(now, server, None);
            }
        }
    }

    /// Passes a peer's ISUP message to the peer's circuits, or rejects it where it cannot be decoded.
    fn handle_isup(
        &mut self,
        now: Micros,
        peer: Peer,
        association: Association,
        payload: &[u8],
        bytes: Option<&[u8]>,
    ) {
        let message = match Message::read(payload) {
            Ok(message) => message,
            Err(isup::DecodeError::InvalidParameters { circuit, kind: isup::kind::IAM })
                if self.trunk(peer).is_idle(circuit) =>
            {
                let cause = Cause::PROTOCOL;
                return self.handle_trunk_event(
                    now,
                    peer,
                    circuits::Event::ReleaseCircuit { circuit, cause },
                    None,
                );
            }
            Err(_) => return self.send_error(now, peer, association, ErrorCode::Protocol, bytes),
        };
        let may_call = match peer {
            Peer::Client(_) => true,
            Peer::Server(server) => self.is_calling_server(server),
        };
        let call = match message.body {
            Body::SetUp(_) if may_call => {
                let index = self.client_index(peer);
                (self.allocate_call_ref)(index, message.circuit)
            }
            _ => CallRef(0),
        };
        self.handle_trunk_event(
            now,
            peer,
            circuits::Event::Received { message, call },
            Some((association, bytes)),
        );
    }

    fn trunk(&mut self, peer: Peer) -> &mut Trunk {
        match peer {
            Peer::Client(client) => &mut self.clients[client],
            Peer::Server(server) => &mut self.servers[server].1,
        }
    }

    fn handle_trunk_event(
        &mut self,
        now: Micros,
        peer: Peer,
        event: circuits::Event,
        from: Option<(Association, Option<&[u8]>)>,
    ) {
        self.trunk(peer).handle(now, event);
        for effect in self.trunk(peer).take_effects() {
            match effect {
                circuits::Effect::Send(message) => self.send(now, peer, message.circuit, &message.to_bytes()),
                circuits::Effect::SendBytes(circuit, bytes) => self.send(now, peer, circuit, &bytes),
                circuits::Effect::Offer { call, set_up, .. } => {
                    let client = self.client_index(peer);
                    self.effects.push(Effect::Offer { client, call, set_up });
                }
                circuits::Effect::AnalyseNumber { circuit, number } => {
                    let complete = self.is_complete(&number);
                    self.handle_trunk_event(
                        now,
                        peer,
                        circuits::Event::NumberAnalysed { circuit, complete },
                        None,
                    );
                }
                circuits::Effect::Abandoned { call, cause } => {
                    let client = self.client_index(peer);
                    self.effects.push(Effect::Abandoned { client, call, cause });
                }
                circuits::Effect::Idle { circuit } => match peer {
                    Peer::Client(server) => {
                        self.gateway.handle(now, gateway::Event::Idle { server, circuit });
                    }
                    Peer::Server(server) => {
                        self.servers[server].0.handle(now, asp::Event::Idle { circuit });
                    }
                },
                circuits::Effect::EstablishedChanged { circuit, call } => {
                    let (is_client, index) = match peer {
                        Peer::Client(client) => (true, client),
                        Peer::Server(server) => (false, server),
                    };
                    self.effects.push(Effect::EstablishedChanged { is_client, index, circuit, call });
                }
                circuits::Effect::Disregarded { kind: isup::kind::IAM, .. } => {
                    // Answered with ERR, since a release would end the call that is on the circuit.
                    if let Some((association, bytes)) = from {
                        self.send_error(now, peer, association, ErrorCode::Unexpected, bytes);
                    }
                }
                circuits::Effect::Disregarded { .. } => {}
                circuits::Effect::Alert { circuit, alert } => self.log(LogEvent::Circuit(circuit, alert)),
                outgoing => {
                    if let Peer::Server(server) = peer {
                        self.effects.extend(call_effect(server, outgoing));
                    }
                }
            }
        }
    }

    /// Whether a called number sent in overlap mode is complete: it ends with the end-of-pulsing signal, or
    /// it has the minimum length of its prefix and no longer prefix can match.
    fn is_complete(&self, number: &str) -> bool {
        let found = self.destinations.analyse(number);
        number.ends_with('f')
            || found.longest.is_some_and(|to| number.len() >= to.digits) && !found.can_extend
    }

    fn send(&mut self, now: Micros, peer: Peer, circuit: Circuit, payload: &[u8]) {
        match peer {
            Peer::Client(server) => {
                self.handle_gateway_event(now, gateway::Event::Send { server, circuit, payload }, None)
            }
            Peer::Server(server) => {
                self.handle_asp_event(now, server, asp::Event::Send { circuit, payload }, None)
            }
        }
    }
}

/// The effect of a server's circuits on an outgoing call.
fn call_effect(server: usize, effect: circuits::Effect) -> Option<Effect> {
    Some(match effect {
        circuits::Effect::Progress { .. } => Effect::Progress { server },
        circuits::Effect::Answered { call, description } => Effect::Answered { server, call, description },
        circuits::Effect::Ended { call, was_established, cause, location, congestion } => {
            Effect::Ended { server, call, was_established, cause, location, congestion }
        }
        circuits::Effect::NoCircuit { call } => Effect::NoCircuit { server, call },
        _ => return None,
    })
}
