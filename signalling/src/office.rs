//! The whole of the signalling as calls see it: clients behind our gateway, servers behind theirs, and the
//! circuits of each.
//!
//! Whoever uses it hands in what comes on associations and what is wanted for calls, and carries out the
//! effects: bytes for associations, and calls that come, stand and end. A client is named by its place; a
//! server whose circuits both sides seize has a place among the clients too, behind all of these.

use std::collections::BTreeMap;

use crate::cause::{Cause, Location};
use crate::circuits::{self, Alert, CallRef, Trunk};
use crate::isup::{self, Body, Message, SetUp};
use crate::m3ua::gateway::{self, Association, Gateway, Route};
use crate::m3ua::member::{self, Member};
use crate::m3ua::Fault;
use crate::trie::PrefixTrie;
use crate::{Circuit, Micros};

/// Where calls to a prefix go first, and how many digits their numbers have at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    pub number: u32,
    pub digits: usize,
}

#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub member: member::Config,
    pub circuits: circuits::Config,
}

#[derive(Debug)]
pub struct Config {
    pub gateway: gateway::Config,
    /// The circuits of each of the gateway's servers, which are our clients.
    pub clients: Vec<circuits::Config>,
    pub servers: Vec<ServerConfig>,
    pub destinations: PrefixTrie<Destination>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A client has connected, or a server was.
    ClientOpened(Association),
    ServerOpened(usize, Association),
    Received(Association, &'a [u8]),
    Closed(Association),
    /// For calls of clients.
    Answer {
        client: usize,
        call: CallRef,
        description: String,
    },
    Release {
        client: usize,
        call: CallRef,
        cause: Cause,
        congestion: Option<u8>,
    },
    /// The same for a call of before our start, whose circuit its id tells.
    Recall {
        client: usize,
        circuit: Circuit,
        cause: Cause,
    },
    /// For calls to servers.
    SetUp {
        server: usize,
        call: CallRef,
        set_up: SetUp,
    },
    End {
        server: usize,
        call: CallRef,
        cause: Cause,
    },
    Probe {
        server: usize,
        data: [u8; 8],
    },
    /// A server's process was found gone.
    Replaced {
        server: usize,
    },
    /// How we are: what clients are told of our point code.
    Ourselves {
        route: Route,
        level: u8,
    },
    /// Circuits are blocked or unblocked by operators.
    Block {
        client: usize,
        first: Circuit,
        last: Circuit,
        why: isup::Blocking,
        on: bool,
    },
    Audit {
        client: usize,
    },
    Timeout,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write(Association, Vec<u8>),
    Close(Association),
    ClientUp(usize),
    ClientLost(usize),
    /// A client can be told nothing for now, until it is back or lost.
    ClientAway(usize),
    ClientBack(usize),
    Offer {
        client: usize,
        call: CallRef,
        set_up: SetUp,
    },
    /// A client has given a call up or released it.
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
    Ended {
        server: usize,
        call: CallRef,
        /// Whether the call was answered before.
        was_established: bool,
        cause: Cause,
        location: Location,
        congestion: Option<u8>,
    },
    NoCircuit {
        server: usize,
        call: CallRef,
    },
    Route {
        server: usize,
        route: Route,
    },
    Congested {
        server: usize,
        level: u8,
    },
    Probed {
        server: usize,
        data: [u8; 8],
    },
    /// A call stands on a circuit of a client or a server, or stands there no more.
    Stands {
        is_client: bool,
        place: usize,
        circuit: Circuit,
        call: Option<CallRef>,
    },
    Note(Note),
}

/// What operators may read in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Note {
    #[error("a peer's message is refused: {0}")]
    Refused(Fault),
    #[error("a peer refuses a message of ours, error code {0:#04x}")]
    PeerRefuses(u32),
    #[error("client {0} tells of congestion, level {1}")]
    ClientCongested(usize, u8),
    #[error("circuit {0}: {1}")]
    Circuit(Circuit, Alert),
    #[error("a message for circuit {0} could not be sent")]
    Dropped(Circuit),
}

/// Whose an association is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Client,
    Server(usize),
}

/// Whose circuits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Client(usize),
    Server(usize),
}

/// Gives a call that comes on a client's circuit its name.
type Namer = Box<dyn FnMut(usize, Circuit) -> CallRef>;

pub struct Office {
    gateway: Gateway,
    clients: Vec<Trunk>,
    servers: Vec<(Member, Trunk)>,
    /// Our point code, and those of the servers.
    point_code: u32,
    server_codes: Vec<u32>,
    /// The servers that call, behind the clients.
    callers: Vec<usize>,
    ends: BTreeMap<Association, End>,
    destinations: PrefixTrie<Destination>,
    name: Namer,
    effects: Vec<Effect>,
}

impl Office {
    pub fn new(config: Config, name: Namer, now: Micros) -> Self {
        let callers =
            (0..config.servers.len()).filter(|&server| config.servers[server].circuits.incoming).collect();
        let point_code = config.gateway.point_code;
        let server_codes: Vec<u32> = config.servers.iter().map(|server| server.member.peer).collect();
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
                .map(|server| (Member::new(server.member), Trunk::new(server.circuits, now)))
                .collect(),
            point_code,
            server_codes,
            callers,
            ends: BTreeMap::new(),
            destinations: config.destinations,
            name,
            effects: Vec::new(),
        }
    }

    /// What has to be done since it was last asked.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let clients = self.clients.iter().filter_map(Trunk::next_timeout);
        let servers =
            self.servers.iter().flat_map(|(member, trunk)| [member.next_timeout(), trunk.next_timeout()]);
        clients.chain(servers.flatten()).chain(self.gateway.next_timeout()).min()
    }

    /// Takes up a call that stood before our start, on a circuit of a client or of a server; `theirs` tells
    /// that the peer made it.
    pub fn restore(&mut self, is_client: bool, place: usize, circuit: Circuit, call: CallRef, theirs: bool) {
        match is_client {
            true => self.clients[place].restore(circuit, call, theirs),
            false => self.servers[place].1.restore(circuit, call, theirs),
        }
    }

    /// Whether the circuits of a client's place have this call.
    pub fn knows(&self, client: usize, call: CallRef) -> bool {
        let trunk = match self.caller(client) {
            Some(Peer::Client(client)) => &self.clients[client],
            Some(Peer::Server(server)) => &self.servers[server].1,
            None => return false,
        };
        trunk.circuit(call).is_some()
    }

    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    pub fn clients(&self) -> &[Trunk] {
        &self.clients
    }

    pub fn servers(&self) -> &[(Member, Trunk)] {
        &self.servers
    }

    /// The server of first choice for a called number.
    pub fn first_choice(&self, number: &str) -> Option<u32> {
        self.destinations.longest(number).map(|destination| destination.number)
    }

    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::ClientOpened(association) => {
                self.ends.insert(association, End::Client);
                self.tell_gateway(now, gateway::Event::Opened(association), None);
            }
            Event::ServerOpened(server, association) => {
                self.ends.insert(association, End::Server(server));
                self.tell_member(now, server, member::Event::Opened(association), None);
            }
            Event::Received(association, bytes) => match self.ends.get(&association) {
                Some(End::Client) => {
                    self.tell_gateway(now, gateway::Event::Received(association, bytes), Some(bytes))
                }
                Some(&End::Server(server)) => {
                    self.tell_member(now, server, member::Event::Received(association, bytes), Some(bytes))
                }
                None => {}
            },
            Event::Closed(association) => match self.ends.remove(&association) {
                Some(End::Client) => self.tell_gateway(now, gateway::Event::Closed(association), None),
                Some(End::Server(server)) => {
                    self.tell_member(now, server, member::Event::Closed(association), None)
                }
                None => {}
            },
            Event::Answer { client, call, description } => {
                self.tell_caller(now, client, circuits::Event::Answer { call, description })
            }
            Event::Release { client, call, cause, congestion } => {
                self.tell_caller(now, client, circuits::Event::Release { call, cause, congestion })
            }
            Event::Recall { client, circuit, cause } => {
                self.tell_caller(now, client, circuits::Event::ReleaseCircuit { circuit, cause })
            }
            Event::SetUp { server, call, set_up } => {
                self.tell_trunk(now, Peer::Server(server), circuits::Event::SetUp { call, set_up }, None)
            }
            Event::End { server, call, cause } => {
                let release = circuits::Event::Release { call, cause, congestion: None };
                self.tell_trunk(now, Peer::Server(server), release, None)
            }
            Event::Probe { server, data } => self.tell_member(now, server, member::Event::Probe(data), None),
            Event::Replaced { server } => {
                self.tell_trunk(now, Peer::Server(server), circuits::Event::Replaced, None)
            }
            Event::Ourselves { route, level } => {
                let point_code = self.point_code;
                self.tell_gateway(now, gateway::Event::Route { point_code, route, level }, None)
            }
            Event::Block { client, first, last, why, on } => {
                let event = match on {
                    true => circuits::Event::Block(first, last, why),
                    false => circuits::Event::Unblock(first, last, why),
                };
                self.tell_caller(now, client, event)
            }
            Event::Audit { client } => self.tell_caller(now, client, circuits::Event::Audit),
            Event::Timeout => self.timeout(now),
        }
    }

    fn timeout(&mut self, now: Micros) {
        self.tell_gateway(now, gateway::Event::Timeout, None);
        for server in 0..self.servers.len() {
            self.tell_member(now, server, member::Event::Timeout, None);
            self.tell_trunk(now, Peer::Server(server), circuits::Event::Timeout, None);
        }
        for client in 0..self.clients.len() {
            self.tell_trunk(now, Peer::Client(client), circuits::Event::Timeout, None);
        }
    }

    /// Whose circuits a client's place means.
    fn caller(&self, client: usize) -> Option<Peer> {
        match client.checked_sub(self.clients.len()) {
            None => Some(Peer::Client(client)),
            Some(place) => self.callers.get(place).map(|&server| Peer::Server(server)),
        }
    }

    /// The client's place of whoever calls on these circuits.
    fn place(&self, peer: Peer) -> usize {
        match peer {
            Peer::Client(client) => client,
            Peer::Server(server) => {
                let place = self.callers.iter().position(|caller| *caller == server);
                self.clients.len() + place.expect("only those that call have calls")
            }
        }
    }

    fn calls(&self, server: usize) -> bool {
        self.callers.contains(&server)
    }

    fn tell_caller(&mut self, now: Micros, client: usize, event: circuits::Event) {
        if let Some(peer) = self.caller(client) {
            self.tell_trunk(now, peer, event, None);
        }
    }

    /// `bytes` are the message that the event is about, to be told with an error.
    fn tell_gateway(&mut self, now: Micros, event: gateway::Event, bytes: Option<&[u8]>) {
        self.gateway.handle(now, event);
        self.gateway_did(now, bytes);
    }

    fn gateway_did(&mut self, now: Micros, bytes: Option<&[u8]>) {
        for effect in self.gateway.take_effects() {
            match effect {
                gateway::Effect::Write(association, bytes) => {
                    self.effects.push(Effect::Write(association, bytes))
                }
                gateway::Effect::Close(association) => {
                    self.ends.remove(&association);
                    self.effects.push(Effect::Close(association));
                }
                gateway::Effect::Deliver { server: client, association, user } => {
                    self.delivered(now, Peer::Client(client), association, &user, bytes)
                }
                gateway::Effect::Up { server: client } => {
                    self.effects.push(Effect::ClientUp(client));
                    self.tell_trunk(now, Peer::Client(client), circuits::Event::Up, None);
                }
                gateway::Effect::Lost { server: client } => {
                    self.tell_trunk(now, Peer::Client(client), circuits::Event::Down, None);
                    self.effects.push(Effect::ClientLost(client));
                }
                gateway::Effect::Away { server: client } => self.effects.push(Effect::ClientAway(client)),
                gateway::Effect::Back { server: client } => self.effects.push(Effect::ClientBack(client)),
                gateway::Effect::Congested { server: client, level } => {
                    self.note(Note::ClientCongested(client, level))
                }
                gateway::Effect::Refused(_, fault) => self.note(Note::Refused(fault)),
                gateway::Effect::PeerRefuses(_, code) => self.note(Note::PeerRefuses(code)),
                gateway::Effect::Dropped { circuit, .. } => self.note(Note::Dropped(circuit)),
            }
        }
    }

    fn tell_member(&mut self, now: Micros, server: usize, event: member::Event, bytes: Option<&[u8]>) {
        self.servers[server].0.handle(now, event);
        self.member_did(now, server, bytes);
    }

    fn member_did(&mut self, now: Micros, server: usize, bytes: Option<&[u8]>) {
        for effect in self.servers[server].0.take_effects() {
            match effect {
                member::Effect::Write(association, bytes) => {
                    self.effects.push(Effect::Write(association, bytes))
                }
                member::Effect::Close(association) => {
                    self.ends.remove(&association);
                    self.effects.push(Effect::Close(association));
                }
                member::Effect::Deliver { association, user } => {
                    self.delivered(now, Peer::Server(server), association, &user, bytes)
                }
                member::Effect::Up => {
                    self.tell_trunk(now, Peer::Server(server), circuits::Event::Up, None);
                    self.effects.push(Effect::ServerUp(server));
                    if self.calls(server) {
                        self.effects.push(Effect::ClientUp(self.place(Peer::Server(server))));
                    }
                    self.tell_server(now, server, Route::Available, 0);
                }
                member::Effect::Lost => {
                    self.tell_trunk(now, Peer::Server(server), circuits::Event::Down, None);
                    self.effects.push(Effect::ServerLost(server));
                    if self.calls(server) {
                        self.effects.push(Effect::ClientLost(self.place(Peer::Server(server))));
                    }
                    self.tell_server(now, server, Route::Unavailable, 0);
                }
                member::Effect::Route(route) => {
                    self.effects.push(Effect::Route { server, route });
                    self.tell_server(now, server, route, 0);
                }
                member::Effect::Congested(level) => {
                    self.effects.push(Effect::Congested { server, level });
                    self.tell_server(now, server, Route::Available, level);
                }
                member::Effect::Probed(data) => self.effects.push(Effect::Probed { server, data }),
                member::Effect::Refused(_, fault) => self.note(Note::Refused(fault)),
                member::Effect::PeerRefuses(_, code) => self.note(Note::PeerRefuses(code)),
                member::Effect::Dropped { circuit } => self.note(Note::Dropped(circuit)),
            }
        }
    }

    /// What clients that ask for a server's point code are told.
    fn tell_server(&mut self, now: Micros, server: usize, route: Route, level: u8) {
        let point_code = self.server_codes[server];
        self.tell_gateway(now, gateway::Event::Route { point_code, route, level }, None);
    }

    fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }

    fn refuse(
        &mut self,
        now: Micros,
        peer: Peer,
        association: Association,
        fault: Fault,
        bytes: Option<&[u8]>,
    ) {
        let bytes = bytes.unwrap_or_default();
        match peer {
            Peer::Client(_) => {
                self.gateway.refuse(association, fault, bytes);
                self.gateway_did(now, None);
            }
            Peer::Server(server) => {
                self.servers[server].0.refuse(association, fault, bytes);
                self.member_did(now, server, None);
            }
        }
    }

    /// A call or circuit message of a peer.
    fn delivered(
        &mut self,
        now: Micros,
        peer: Peer,
        association: Association,
        user: &[u8],
        bytes: Option<&[u8]>,
    ) {
        let message = match Message::read(user) {
            Ok(message) => message,
            Err(isup::DecodeError::InvalidParameters { circuit, kind: isup::kind::IAM })
                if self.trunk(peer).is_idle(circuit) =>
            {
                let cause = Cause::PROTOCOL;
                return self.tell_trunk(now, peer, circuits::Event::ReleaseCircuit { circuit, cause }, None);
            }
            Err(_) => return self.refuse(now, peer, association, Fault::Protocol, bytes),
        };
        let calls = match peer {
            Peer::Client(_) => true,
            Peer::Server(server) => self.calls(server),
        };
        let call = match message.body {
            Body::SetUp(_) if calls => {
                let place = self.place(peer);
                (self.name)(place, message.circuit)
            }
            _ => CallRef(0),
        };
        self.tell_trunk(now, peer, circuits::Event::Received { message, call }, Some((association, bytes)));
    }

    fn trunk(&mut self, peer: Peer) -> &mut Trunk {
        match peer {
            Peer::Client(client) => &mut self.clients[client],
            Peer::Server(server) => &mut self.servers[server].1,
        }
    }

    fn tell_trunk(
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
                    let client = self.place(peer);
                    self.effects.push(Effect::Offer { client, call, set_up });
                }
                circuits::Effect::AnalyseNumber { circuit, number } => {
                    let complete = self.is_complete(&number);
                    self.tell_trunk(now, peer, circuits::Event::NumberAnalysed { circuit, complete }, None);
                }
                circuits::Effect::Abandoned { call, cause } => {
                    let client = self.place(peer);
                    self.effects.push(Effect::Abandoned { client, call, cause });
                }
                circuits::Effect::Idle { circuit } => match peer {
                    Peer::Client(server) => {
                        self.gateway.handle(now, gateway::Event::Idle { server, circuit });
                    }
                    Peer::Server(server) => {
                        self.servers[server].0.handle(now, member::Event::Idle { circuit });
                    }
                },
                circuits::Effect::EstablishedChanged { circuit, call } => {
                    let (is_client, place) = match peer {
                        Peer::Client(client) => (true, client),
                        Peer::Server(server) => (false, server),
                    };
                    self.effects.push(Effect::Stands { is_client, place, circuit, call });
                }
                circuits::Effect::Disregarded { kind: isup::kind::IAM, .. } => {
                    // A release would end the call that is on its circuit.
                    if let Some((association, bytes)) = from {
                        self.refuse(now, peer, association, Fault::Unexpected, bytes);
                    }
                }
                circuits::Effect::Disregarded { .. } => {}
                circuits::Effect::Alert { circuit, alert } => self.note(Note::Circuit(circuit, alert)),
                of_ours => {
                    if let Peer::Server(server) = peer {
                        self.effects.extend(call_effect(server, of_ours));
                    }
                }
            }
        }
    }

    /// Whether a called number that comes in parts is whole: it ends with the end-of-pulsing signal, or it is
    /// as long as its prefix asks for and no longer prefix could follow.
    fn is_complete(&self, number: &str) -> bool {
        let found = self.destinations.analyse(number);
        number.ends_with('f') || found.longest.is_some_and(|to| number.len() >= to.digits) && !found.open
    }

    fn send(&mut self, now: Micros, peer: Peer, circuit: Circuit, user: &[u8]) {
        match peer {
            Peer::Client(server) => {
                self.tell_gateway(now, gateway::Event::Send { server, circuit, user }, None)
            }
            Peer::Server(server) => {
                self.tell_member(now, server, member::Event::Send { circuit, user }, None)
            }
        }
    }
}

/// What became of a call of ours.
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
