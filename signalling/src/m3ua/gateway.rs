//! The gateway's side of M3UA: several application servers, each with the ASPs that carry its traffic.
//!
//! An association is a connection of an ASP. It names its application servers by routing contexts, comes up,
//! and becomes active in some or all of them. What is sent to a server leaves by one of its active ASPs, and
//! what belongs to one circuit always by the same while that one is active, so that its messages stay in
//! order. Where the last active ASP goes, what is to be sent waits in a bounded queue until T(r) runs out.

use std::collections::{BTreeMap, VecDeque};

use super::states::{self, Asp, AspEvent, Members, Reply, Server};
use super::{
    message, tag, Affected, Fault, Kind, Message, Parameters, ProtocolData, TrafficMode, Writer, ISUP,
};
use crate::{Circuit, Micros};

/// A connection of an ASP. Numbers are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Association(pub u64);

/// An application server of the configuration.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub point_code: u32,
    pub routing_context: u32,
    pub mode: TrafficMode,
    /// How many ASPs must be active before traffic is shared among them (the n of n+k).
    pub needed: usize,
    /// The ASP identifiers that may come up; any, where none is named.
    pub identifiers: Vec<u32>,
    /// Whether ASPs may register a routing key for it (RFC 4666 3.6).
    pub registration: bool,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub point_code: u32,
    pub network: u8,
    pub servers: Vec<ServerConfig>,
    /// T(r): how long a server without an active ASP is waited for.
    pub recovery: Micros,
    /// Messages that wait meanwhile, for one server.
    pub queue: usize,
    /// How often an association is tested, 0 for never; how many tests in a row may stay unanswered.
    pub beat: Micros,
    pub beat_misses: u32,
    /// An association that has not come up within this holds a place for nothing.
    pub coming_up: Micros,
    /// Associations that may be there at once, for one application server.
    pub most_of_one: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    Opened(Association),
    Received(Association, &'a [u8]),
    Closed(Association),
    /// A user part's message for a server, on a circuit.
    Send {
        server: usize,
        circuit: Circuit,
        user: &'a [u8],
    },
    /// Nothing more will follow on a circuit soon: its next message may take another association.
    Idle {
        server: usize,
        circuit: Circuit,
    },
    /// Whether a point code can be reached, to be told to whoever asks; and how congested it is.
    Route {
        point_code: u32,
        route: Route,
        level: u8,
    },
    Timeout,
}

/// Whether a destination can be reached (RFC 4666 4.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    Available,
    Restricted,
    Unavailable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Write(Association, Vec<u8>),
    Close(Association),
    /// A user part's message from a server, with its label in order.
    Deliver {
        server: usize,
        association: Association,
        user: Vec<u8>,
    },
    /// A server takes traffic, for the first time or again after T(r) had run out.
    Up {
        server: usize,
    },
    /// Nobody takes a server's traffic, and T(r) has run out.
    Lost {
        server: usize,
    },
    /// Nobody takes a server's traffic, and T(r) has begun; or somebody does again before its end.
    Away {
        server: usize,
    },
    Back {
        server: usize,
    },
    /// A client tells how congested it is, 0 to 3.
    Congested {
        server: usize,
        level: u8,
    },
    /// ERR was sent for a message of an association.
    Refused(Association, Fault),
    /// ERR came, with this code.
    PeerRefuses(Association, u32),
    /// A message could not be sent: its server has no ASP and its queue is full, or it is too long.
    Dropped {
        server: usize,
        circuit: Circuit,
    },
}

#[derive(Debug)]
struct Peer {
    up: bool,
    identifier: Option<u32>,
    /// Its states in the servers that it is a member of, by their places.
    members: BTreeMap<usize, Asp>,
    /// Those that it has registered itself.
    registered: Vec<usize>,
    since: Micros,
    /// The next test, and how many are unanswered.
    beat: Micros,
    misses: u32,
    /// Another one claims its identifier: it says something by this time, or is closed.
    proof: Option<Micros>,
}

#[derive(Debug, Default)]
struct ServerState {
    state: Server,
    /// The association that each circuit in use is bound to.
    paths: BTreeMap<Circuit, Association>,
    /// While pending: when T(r) runs out, and what waits.
    until: Option<Micros>,
    waiting: VecDeque<(Circuit, Vec<u8>)>,
    correlation: u32,
    /// Whether its user has been told that it is up.
    told_up: bool,
}

#[derive(Debug)]
pub struct Gateway {
    config: Config,
    peers: BTreeMap<Association, Peer>,
    servers: Vec<ServerState>,
    routes: BTreeMap<u32, (Route, u8)>,
    effects: Vec<Effect>,
    /// ERR by code, as sent.
    errors: [u64; Fault::ALL.len()],
}

/// The label that tests of ours carry.
const TEST: &[u8] = b"steprelay";
/// Registration results (RFC 4666 3.6.2) and deregistration results (3.6.4).
mod result {
    pub const DONE: u32 = 0;
    pub const INVALID_DESTINATION: u32 = 2;
    pub const INVALID_KEY: u32 = 4;
    pub const PERMISSION_DENIED: u32 = 5;
    pub const UNSUPPORTED_FIELD: u32 = 9;
    pub const UNSUPPORTED_MODE: u32 = 10;
    pub const ALREADY: u32 = 12;
    pub const INVALID_CONTEXT: u32 = 2;
    pub const DENIED: u32 = 3;
    pub const NOT_REGISTERED: u32 = 4;
    pub const ACTIVE: u32 = 5;
}
/// NTFY status types and the information of the second (RFC 4666 3.8.2).
const AS_STATE: u16 = 1;
const OTHER: u16 = 2;
const INSUFFICIENT: u16 = 1;
const ALTERNATE_ACTIVE: u16 = 2;
const ASP_FAILURE: u16 = 3;
/// DUPU: the user is not there (RFC 4666 3.4.5).
const UNEQUIPPED: u32 = 1;

impl Gateway {
    pub fn new(config: Config) -> Self {
        let servers = config.servers.iter().map(|_| ServerState::default()).collect();
        let routes = BTreeMap::from([(config.point_code, (Route::Available, 0))]);
        Gateway {
            config,
            peers: BTreeMap::new(),
            servers,
            routes,
            effects: Vec::new(),
            errors: Default::default(),
        }
    }

    /// What has to be done since it was last asked.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn state(&self, server: usize) -> Server {
        self.servers[server].state
    }

    /// Whether anybody takes a server's traffic at present.
    pub fn is_active(&self, server: usize) -> bool {
        self.state(server) == Server::Active
    }

    /// How many ASPs there are in each state, for one server.
    pub fn members(&self, server: usize) -> Members {
        let states = self.peers.values().filter_map(|peer| peer.members.get(&server));
        states.fold(Members::default(), |mut members, state| {
            match state {
                Asp::Active => members.active += 1,
                Asp::Inactive => members.inactive += 1,
                Asp::Down => {}
            }
            members
        })
    }

    /// How often ERR was sent, by code.
    pub fn errors(&self) -> impl Iterator<Item = (Fault, u64)> + '_ {
        Fault::ALL.into_iter().zip(self.errors)
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let late = self.peers.values().filter(|peer| !peer.up).map(|peer| peer.since + self.config.coming_up);
        let beats = self.peers.values().filter(|_| self.config.beat > 0).map(|peer| peer.beat);
        let proofs = self.peers.values().filter_map(|peer| peer.proof);
        let recovery = self.servers.iter().filter_map(|server| server.until);
        late.chain(beats).chain(proofs).chain(recovery).min()
    }

    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Opened(association) => {
                let beat = now + self.config.beat;
                let peer = Peer {
                    up: false,
                    identifier: None,
                    members: BTreeMap::new(),
                    registered: Vec::new(),
                    since: now,
                    beat,
                    misses: 0,
                    proof: None,
                };
                self.peers.insert(association, peer);
            }
            Event::Received(association, bytes) => {
                if self.peers.contains_key(&association) {
                    if let Err(fault) = self.received(now, association, bytes) {
                        self.refuse(association, fault, bytes);
                    }
                }
            }
            Event::Closed(association) => self.closed(now, association),
            Event::Send { server, circuit, user } => self.send(server, circuit, user),
            Event::Idle { server, circuit } => {
                self.servers[server].paths.remove(&circuit);
            }
            Event::Route { point_code, route, level } => self.route(point_code, route, level),
            Event::Timeout => self.timeout(now),
        }
    }

    /// Answers a message with ERR, with the start of it.
    pub fn refuse(&mut self, association: Association, fault: Fault, bytes: &[u8]) {
        // An ERR is never answered by another: two peers would go on for ever.
        if Message::is_error(bytes) {
            return;
        }
        self.errors[fault.place()] += 1;
        self.effects.push(Effect::Write(association, super::error(fault, bytes)));
        self.effects.push(Effect::Refused(association, fault));
    }

    fn received(&mut self, now: Micros, from: Association, bytes: &[u8]) -> Result<(), Fault> {
        let message = Message::read(bytes)?;
        if let Some(peer) = self.peers.get_mut(&from) {
            // Whatever comes shows that it is there.
            peer.misses = 0;
            peer.proof = None;
        }
        match message.kind {
            Kind::Beat => {
                let data = message.parameter(tag::HEARTBEAT).map(|data| (tag::HEARTBEAT, data));
                self.write(from, super::message(Kind::BeatAck, data.as_slice()));
            }
            Kind::BeatAck | Kind::Ntfy => {}
            Kind::Err => {
                let code = message.number(tag::ERROR_CODE).ok().flatten().unwrap_or_default();
                self.effects.push(Effect::PeerRefuses(from, code));
            }
            Kind::AspUp => self.up(now, from, &message, bytes)?,
            Kind::AspDown => self.down(now, from, AspEvent::Down),
            Kind::AspActive => self.activate(now, from, &message)?,
            Kind::AspInactive => self.deactivate(now, from, &message)?,
            Kind::Data => self.data(from, &message)?,
            Kind::Daud => self.audit(from, &message)?,
            Kind::Scon => self.congested(from, &message)?,
            Kind::RegReq => self.register(from, &message)?,
            Kind::DeregReq => self.deregister(from, &message)?,
            // What only a gateway says.
            Kind::Duna
            | Kind::Dava
            | Kind::Dupu
            | Kind::Drst
            | Kind::AspUpAck
            | Kind::AspDownAck
            | Kind::AspActiveAck
            | Kind::AspInactiveAck
            | Kind::RegRsp
            | Kind::DeregRsp => return Err(Fault::Unexpected),
        }
        Ok(())
    }

    fn write(&mut self, to: Association, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(to, bytes));
    }

    fn peer(&mut self, association: Association) -> &mut Peer {
        self.peers.get_mut(&association).expect("looked up by whoever handles an event of it")
    }

    /// ASPUP (RFC 4666 4.3.4.1).
    fn up(&mut self, now: Micros, from: Association, message: &Message, bytes: &[u8]) -> Result<(), Fault> {
        let identifier = message.number(tag::ASP_IDENTIFIER)?;
        let named: Vec<usize> = (0..self.config.servers.len())
            .filter(|&server| {
                identifier.is_some_and(|id| self.config.servers[server].identifiers.contains(&id))
            })
            .collect();
        let all_named = self.config.servers.iter().all(|server| !server.identifiers.is_empty());
        match identifier {
            None if all_named && !self.config.servers.is_empty() => return Err(Fault::IdentifierRequired),
            Some(_) if all_named && named.is_empty() => return Err(Fault::Identifier),
            Some(_) => {
                let other = self
                    .peers
                    .iter()
                    .find(|(other, peer)| **other != from && peer.up && peer.identifier == identifier);
                if let Some((&other, _)) = other {
                    // The other one may be a connection whose end was never seen: it has to show itself, or
                    // it is closed, and the next try of this one is taken.
                    self.test(now, other);
                    let peer = self.peer(other);
                    peer.proof.get_or_insert(now + PROVEN_WITHIN);
                    return Err(Fault::Identifier);
                }
            }
            None => {}
        }
        let before = std::mem::replace(&mut self.peer(from).up, true);
        let peer = self.peer(from);
        if !before {
            peer.identifier = identifier;
        }
        let was_active: Vec<usize> = peer
            .members
            .iter()
            .filter(|(_, state)| **state == Asp::Active)
            .map(|(server, _)| *server)
            .collect();
        let (_, reply) =
            states::asp(if was_active.is_empty() { Asp::Inactive } else { Asp::Active }, AspEvent::Up);
        for &server in &named {
            self.peer(from).members.entry(server).or_insert(Asp::Inactive);
        }
        for &server in &was_active {
            self.peer(from).members.insert(server, Asp::Inactive);
        }
        self.write(from, super::message(Kind::AspUpAck, &[]));
        if reply == Reply::AckAndError(Kind::AspUpAck) {
            self.refuse(from, Fault::Unexpected, bytes);
        }
        for server in named.into_iter().chain(was_active) {
            if self.settle(now, server, None) || before {
                continue;
            }
            // It is told what state its server is in.
            self.notify_state(server, &[from]);
        }
        Ok(())
    }

    fn down(&mut self, now: Micros, from: Association, event: AspEvent) {
        let (_, reply) = states::asp(Asp::Inactive, event);
        if let Reply::Ack(kind) = reply {
            self.write(from, super::message(kind, &[]));
        }
        let peer = self.peer(from);
        peer.up = false;
        peer.since = now;
        peer.registered.clear();
        let identifier = peer.identifier.take();
        let members = std::mem::take(&mut peer.members);
        for (server, state) in members {
            if event == AspEvent::Lost && state == Asp::Active {
                self.notify(server, OTHER, ASP_FAILURE, identifier, None);
            }
            self.settle(now, server, None);
        }
    }

    fn closed(&mut self, now: Micros, association: Association) {
        if self.peers.contains_key(&association) {
            self.down(now, association, AspEvent::Lost);
            self.peers.remove(&association);
        }
    }

    /// The servers that a message names: by their routing contexts, or those that the ASP is known to be of.
    /// Returns those that there are, and whether any there is not was named.
    fn named(&self, from: Association, message: &Message) -> Result<(Vec<usize>, bool), Fault> {
        let contexts = message.numbers(tag::ROUTING_CONTEXT)?;
        let place = |context| self.config.servers.iter().position(|server| server.routing_context == context);
        if !contexts.is_empty() {
            let found: Vec<usize> = contexts.iter().filter_map(|&context| place(context)).collect();
            let all = found.len() == contexts.len();
            return Ok((found, !all));
        }
        let members: Vec<usize> = self.peers[&from].members.keys().copied().collect();
        match (members.is_empty(), self.config.servers.len()) {
            (false, _) => Ok((members, false)),
            (true, 1) => Ok((vec![0], false)),
            (true, _) => Err(Fault::NoServer),
        }
    }

    /// ASPAC (RFC 4666 4.3.4.3).
    fn activate(&mut self, now: Micros, from: Association, message: &Message) -> Result<(), Fault> {
        if !self.peers[&from].up {
            return Err(Fault::Unexpected);
        }
        let mode = match message.number(tag::TRAFFIC_MODE)? {
            Some(code) => Some(TrafficMode::from_code(code).ok_or(Fault::TrafficMode)?),
            None => None,
        };
        let (named, unknown) = self.named(from, message)?;
        let mut done = Vec::new();
        let mut fault = unknown.then_some(Fault::RoutingContext);
        for server in named {
            let config = &self.config.servers[server];
            let member = self.peers[&from].members.contains_key(&server);
            if mode.is_some_and(|mode| mode != config.mode) {
                fault = Some(Fault::TrafficMode);
            } else if !config.identifiers.is_empty() && !member {
                fault = Some(Fault::RoutingContext);
            } else if !member
                && self.members(server).active >= self.config.most_of_one
                && config.mode != TrafficMode::Override
            {
                fault = Some(Fault::Blocked);
            } else {
                done.push(server);
            }
        }
        if !done.is_empty() {
            let contexts: Vec<u32> =
                done.iter().map(|&server| self.config.servers[server].routing_context).collect();
            let ack = Writer::new(Kind::AspActiveAck);
            let ack = mode.into_iter().fold(ack, |ack, mode| ack.number(tag::TRAFFIC_MODE, mode as u32));
            let ack = ack.numbers(tag::ROUTING_CONTEXT, &contexts).finish().ok_or(Fault::Protocol)?;
            self.write(from, ack);
        }
        for server in done {
            let before = self.peer(from).members.insert(server, Asp::Active);
            if before == Some(Asp::Active) {
                continue;
            }
            if self.config.servers[server].mode == TrafficMode::Override {
                self.take_over(server, from);
            }
            if !self.settle(now, server, Some(from)) {
                self.notify_state(server, &[from]);
            }
        }
        fault.map_or(Ok(()), Err)
    }

    /// In override mode one ASP carries all: the one before is told that another does now.
    fn take_over(&mut self, server: usize, by: Association) {
        let others: Vec<Association> = self
            .peers
            .iter()
            .filter(|(other, peer)| **other != by && peer.members.get(&server) == Some(&Asp::Active))
            .map(|(other, _)| *other)
            .collect();
        let identifier = self.peers[&by].identifier;
        for other in others {
            self.peer(other).members.insert(server, Asp::Inactive);
            self.notify(server, OTHER, ALTERNATE_ACTIVE, identifier, Some(other));
        }
        self.servers[server].paths.clear();
    }

    /// ASPIA (RFC 4666 4.3.4.4).
    fn deactivate(&mut self, now: Micros, from: Association, message: &Message) -> Result<(), Fault> {
        if !self.peers[&from].up {
            return Err(Fault::Unexpected);
        }
        let (named, unknown) = self.named(from, message)?;
        if !named.is_empty() {
            let contexts: Vec<u32> =
                named.iter().map(|&server| self.config.servers[server].routing_context).collect();
            let ack = Writer::new(Kind::AspInactiveAck).numbers(tag::ROUTING_CONTEXT, &contexts);
            self.write(from, ack.finish().ok_or(Fault::Protocol)?);
        }
        for server in named {
            if let Some(state) = self.peer(from).members.get_mut(&server) {
                *state = Asp::Inactive;
            }
            self.settle(now, server, None);
        }
        if unknown {
            return Err(Fault::RoutingContext);
        }
        Ok(())
    }

    /// Brings a server's state up to those of its ASPs, and tells them; returns whether it has changed.
    /// `latest` has just become active.
    fn settle(&mut self, now: Micros, server: usize, latest: Option<Association>) -> bool {
        let members = self.members(server);
        let config = &self.config.servers[server];
        let state = &mut self.servers[server];
        let waited = state.until.is_some_and(|until| now >= until);
        let before = state.state;
        let next = states::server(before, members, config.mode, config.needed, waited);
        state.state = next;
        let active = |association: &Association, peers: &BTreeMap<Association, Peer>| {
            peers.get(association).is_some_and(|peer| peer.members.get(&server) == Some(&Asp::Active))
        };
        let peers = &self.peers;
        state.paths.retain(|_, association| active(association, peers));
        let needed = config.needed;
        if before == next {
            // Fewer than planned carry the traffic.
            if next == Server::Active
                && latest.is_none()
                && members.active < needed
                && config.mode != TrafficMode::Override
            {
                self.notify(server, OTHER, INSUFFICIENT, None, None);
            }
            return false;
        }
        match next {
            Server::Pending => {
                state.until = Some(now + self.config.recovery);
                self.effects.push(Effect::Away { server });
            }
            Server::Active => state.until = None,
            Server::Inactive | Server::Down => {
                state.until = None;
                let waiting = std::mem::take(&mut state.waiting);
                if std::mem::take(&mut state.told_up) {
                    self.effects.push(Effect::Lost { server });
                }
                self.effects
                    .extend(waiting.into_iter().map(|(circuit, _)| Effect::Dropped { server, circuit }));
            }
        }
        let all: Vec<Association> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.up && peer.members.contains_key(&server))
            .map(|(to, _)| *to)
            .collect();
        self.notify_state(server, &all);
        if next == Server::Active {
            if !std::mem::replace(&mut self.servers[server].told_up, true) {
                self.effects.push(Effect::Up { server });
            } else if before == Server::Pending {
                self.effects.push(Effect::Back { server });
            }
            for (circuit, user) in std::mem::take(&mut self.servers[server].waiting) {
                self.send(server, circuit, &user);
            }
        }
        true
    }

    fn notify_state(&mut self, server: usize, to: &[Association]) {
        let Some(status) = self.state(server).status() else { return };
        let context = self.config.servers[server].routing_context;
        for &association in to {
            let ntfy = notification(AS_STATE, status, None, context);
            self.write(association, ntfy);
        }
    }

    /// Tells one ASP, or else all of a server that are up and not active.
    fn notify(
        &mut self,
        server: usize,
        kind: u16,
        information: u16,
        identifier: Option<u32>,
        to: Option<Association>,
    ) {
        let context = self.config.servers[server].routing_context;
        let all = |peer: &Peer| peer.up && peer.members.get(&server) == Some(&Asp::Inactive);
        let to: Vec<Association> = match to {
            Some(to) => vec![to],
            None => self.peers.iter().filter(|(_, peer)| all(peer)).map(|(to, _)| *to).collect(),
        };
        for association in to {
            let ntfy = notification(kind, information, identifier, context);
            self.write(association, ntfy);
        }
    }

    /// DATA from an ASP.
    fn data(&mut self, from: Association, message: &Message) -> Result<(), Fault> {
        let members = &self.peers[&from].members;
        let server = match message.number(tag::ROUTING_CONTEXT)? {
            Some(context) => {
                let place = self.config.servers.iter().position(|server| server.routing_context == context);
                let active = members.values().any(|state| *state == Asp::Active);
                // One that may not send at all is told that first.
                place.ok_or(if active { Fault::RoutingContext } else { Fault::Unexpected })?
            }
            None => {
                let mut active = members.iter().filter(|(_, state)| **state == Asp::Active);
                match (active.next(), active.next()) {
                    (Some((&server, _)), None) => server,
                    (None, _) => return Err(Fault::Unexpected),
                    (Some(_), Some(_)) => return Err(Fault::Missing),
                }
            }
        };
        if members.get(&server) != Some(&Asp::Active) {
            return Err(Fault::Unexpected);
        }
        let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA).ok_or(Fault::Missing)?)?;
        if data.destination != self.config.point_code {
            let affected = Affected::one(data.destination);
            self.tell_route(from, Kind::Duna, affected);
            return Ok(());
        }
        if data.origin != self.config.servers[server].point_code {
            return Err(Fault::Value);
        }
        if data.service != ISUP {
            let user = UNEQUIPPED << 16 | u32::from(data.service);
            let dupu = Writer::new(Kind::Dupu)
                .number(tag::AFFECTED_POINT_CODE, Affected::one(self.config.point_code).word())
                .number(tag::USER_CAUSE, user);
            self.write(from, dupu.finish().ok_or(Fault::Protocol)?);
            return Ok(());
        }
        if let Some((_, circuit)) =
            data.user.first_chunk::<2>().map(|bytes| ((), u16::from_le_bytes(*bytes) & 0x0fff))
        {
            // What answers it goes back the same way, as long as that stays active.
            self.servers[server].paths.entry(circuit).or_insert(from);
        }
        self.effects.push(Effect::Deliver { server, association: from, user: data.user.to_vec() });
        Ok(())
    }

    fn send(&mut self, server: usize, circuit: Circuit, user: &[u8]) {
        let active: Vec<Association> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.members.get(&server) == Some(&Asp::Active))
            .map(|(association, _)| *association)
            .collect();
        let config = &self.config.servers[server];
        let state = &mut self.servers[server];
        if state.state == Server::Pending {
            if state.waiting.len() < self.config.queue {
                state.waiting.push_back((circuit, user.to_vec()));
            } else {
                self.effects.push(Effect::Dropped { server, circuit });
            }
            return;
        }
        let (Server::Active, Some(&first)) = (state.state, active.first()) else {
            self.effects.push(Effect::Dropped { server, circuit });
            return;
        };
        let data = ProtocolData {
            origin: self.config.point_code,
            destination: config.point_code,
            service: ISUP,
            network: self.config.network,
            selection: (circuit & 0x0f) as u8,
            user,
        };
        let (to, correlation) = match config.mode {
            TrafficMode::Override => (vec![first], None),
            TrafficMode::Loadshare => {
                let path = *state.paths.entry(circuit).or_insert_with(|| share(circuit, &active));
                (vec![path], None)
            }
            TrafficMode::Broadcast => {
                state.correlation = state.correlation.wrapping_add(1);
                (active, Some(state.correlation))
            }
        };
        match data.message(config.routing_context, correlation) {
            Some(bytes) => self.effects.extend(to.into_iter().map(|to| Effect::Write(to, bytes.clone()))),
            None => self.effects.push(Effect::Dropped { server, circuit }),
        }
    }

    fn tell_route(&mut self, to: Association, kind: Kind, affected: Affected) {
        self.write(to, message(kind, &[(tag::AFFECTED_POINT_CODE, &affected.word().to_be_bytes())]));
    }

    /// DAUD: whoever asks is told the state of each destination (RFC 4666 4.5.3).
    fn audit(&mut self, from: Association, message: &Message) -> Result<(), Fault> {
        if !self.peers[&from].up {
            return Err(Fault::Unexpected);
        }
        for affected in Affected::of(message)? {
            let known: Vec<(u32, (Route, u8))> = self
                .routes
                .iter()
                .filter(|(code, _)| affected.covers(**code))
                .map(|(code, state)| (*code, *state))
                .collect();
            if known.is_empty() {
                self.tell_route(from, Kind::Duna, affected);
            }
            for (code, (route, level)) in known {
                self.tell_state(from, code, route, level);
            }
        }
        Ok(())
    }

    fn tell_state(&mut self, to: Association, code: u32, route: Route, level: u8) {
        let kind = match route {
            Route::Available => Kind::Dava,
            Route::Restricted => Kind::Drst,
            Route::Unavailable => Kind::Duna,
        };
        self.tell_route(to, kind, Affected::one(code));
        if level > 0 && route != Route::Unavailable {
            self.tell_congestion(to, code, level);
        }
    }

    fn tell_congestion(&mut self, to: Association, code: u32, level: u8) {
        let affected = Affected::one(code).word().to_be_bytes();
        let level = u32::from(level).to_be_bytes();
        self.write(
            to,
            message(Kind::Scon, &[(tag::AFFECTED_POINT_CODE, &affected), (tag::CONGESTION, &level)]),
        );
    }

    /// A destination's state has changed: all that are active are told.
    fn route(&mut self, code: u32, route: Route, level: u8) {
        let before = self.routes.insert(code, (route, level));
        if before == Some((route, level)) {
            return;
        }
        let active = |peer: &Peer| peer.members.values().any(|state| *state == Asp::Active);
        let to: Vec<Association> =
            self.peers.iter().filter(|(_, peer)| active(peer)).map(|(to, _)| *to).collect();
        for association in to {
            match before {
                Some((same, _)) if same == route => self.tell_congestion(association, code, level),
                _ => self.tell_state(association, code, route, level),
            }
        }
    }

    /// SCON from an ASP: it is congested itself (RFC 4666 3.4.4).
    fn congested(&mut self, from: Association, message: &Message) -> Result<(), Fault> {
        let level = message.number(tag::CONGESTION)?.unwrap_or(1);
        if level > 3 {
            return Err(Fault::Value);
        }
        Affected::of(message)?;
        let (named, _) = self.named(from, message)?;
        self.effects.extend(named.into_iter().map(|server| Effect::Congested { server, level: level as u8 }));
        Ok(())
    }

    /// REG REQ: an ASP asks for the traffic of a routing key (RFC 4666 4.4.1).
    fn register(&mut self, from: Association, message: &Message) -> Result<(), Fault> {
        if !self.peers[&from].up {
            return Err(Fault::Unexpected);
        }
        let keys: Vec<&[u8]> = message
            .parameters()
            .filter(|(tag, _)| *tag == tag::ROUTING_KEY)
            .map(|(_, value)| value)
            .collect();
        if keys.is_empty() {
            return Err(Fault::Missing);
        }
        let mut response = Writer::new(Kind::RegRsp);
        for key in keys {
            let (local, outcome) = self.key(from, Parameters::inside(key)?)?;
            let (status, context) = match outcome {
                Ok(server) => (result::DONE, self.config.servers[server].routing_context),
                Err(status) => (status, 0),
            };
            let mut value = Vec::new();
            super::put(&mut value, tag::LOCAL_KEY, &local.to_be_bytes());
            super::put(&mut value, tag::REGISTRATION_STATUS, &status.to_be_bytes());
            super::put(&mut value, tag::ROUTING_CONTEXT, &context.to_be_bytes());
            response = response.put(tag::REGISTRATION_RESULT, &value);
        }
        self.write(from, response.finish().ok_or(Fault::Protocol)?);
        Ok(())
    }

    /// One routing key: its local identifier, and the server that it now is for or why not.
    fn key(&mut self, from: Association, key: Parameters) -> Result<(u32, Result<usize, u32>), Fault> {
        let one = |tag: u16| match key.clone().find(|(found, _)| *found == tag) {
            Some((_, value)) => value.try_into().map(u32::from_be_bytes).map(Some).map_err(|_| Fault::Value),
            None => Ok(None),
        };
        let local = one(tag::LOCAL_KEY)?.ok_or(Fault::Missing)?;
        let Some(code) = one(tag::DESTINATION)? else { return Ok((local, Err(result::INVALID_KEY))) };
        let Some(server) =
            self.config.servers.iter().position(|server| server.point_code == code & 0x00ff_ffff)
        else {
            return Ok((local, Err(result::INVALID_DESTINATION)));
        };
        let config = &self.config.servers[server];
        let services = key.clone().find(|(found, _)| *found == tag::SERVICES);
        let mode = one(tag::TRAFFIC_MODE)?;
        let outcome = if !config.registration {
            Err(result::PERMISSION_DENIED)
        } else if services.is_some_and(|(_, services)| services != [ISUP]) {
            Err(result::UNSUPPORTED_FIELD)
        } else if mode.is_some_and(|mode| TrafficMode::from_code(mode) != Some(config.mode)) {
            Err(result::UNSUPPORTED_MODE)
        } else if one(tag::ROUTING_CONTEXT)?.is_some_and(|context| context != config.routing_context) {
            Err(result::INVALID_KEY)
        } else if self.peers[&from].registered.contains(&server) {
            Err(result::ALREADY)
        } else {
            Ok(server)
        };
        if let Ok(server) = outcome {
            let peer = self.peer(from);
            peer.registered.push(server);
            peer.members.entry(server).or_insert(Asp::Inactive);
        }
        Ok((local, outcome))
    }

    /// DEREG REQ (RFC 4666 4.4.2).
    fn deregister(&mut self, from: Association, message: &Message) -> Result<(), Fault> {
        if !self.peers[&from].up {
            return Err(Fault::Unexpected);
        }
        let contexts = message.numbers(tag::ROUTING_CONTEXT)?;
        if contexts.is_empty() {
            return Err(Fault::Missing);
        }
        let mut response = Writer::new(Kind::DeregRsp);
        for context in contexts {
            let server = self.config.servers.iter().position(|server| server.routing_context == context);
            let peer = self.peer(from);
            let status = match server {
                None => result::INVALID_CONTEXT,
                Some(server) if !peer.registered.contains(&server) => {
                    if self.config.servers[server].registration {
                        result::NOT_REGISTERED
                    } else {
                        result::DENIED
                    }
                }
                Some(server) if peer.members.get(&server) == Some(&Asp::Active) => result::ACTIVE,
                Some(server) => {
                    peer.registered.retain(|registered| *registered != server);
                    peer.members.remove(&server);
                    result::DONE
                }
            };
            let mut value = Vec::new();
            super::put(&mut value, tag::ROUTING_CONTEXT, &context.to_be_bytes());
            super::put(&mut value, tag::DEREGISTRATION_STATUS, &status.to_be_bytes());
            response = response.put(tag::DEREGISTRATION_RESULT, &value);
        }
        self.write(from, response.finish().ok_or(Fault::Protocol)?);
        Ok(())
    }

    fn test(&mut self, now: Micros, association: Association) {
        self.write(association, message(Kind::Beat, &[(tag::HEARTBEAT, TEST)]));
        let beat = self.config.beat;
        self.peer(association).beat = now + beat;
    }

    fn timeout(&mut self, now: Micros) {
        let mut over = Vec::new();
        let mut tests = Vec::new();
        for (&association, peer) in &mut self.peers {
            let unproven = peer.proof.is_some_and(|by| now >= by);
            if (!peer.up && now >= peer.since + self.config.coming_up) || unproven {
                over.push(association);
            } else if self.config.beat > 0 && now >= peer.beat {
                if peer.misses >= self.config.beat_misses {
                    over.push(association);
                } else {
                    peer.misses += 1;
                    tests.push(association);
                }
            }
        }
        for association in tests {
            self.test(now, association);
        }
        for association in over {
            self.effects.push(Effect::Close(association));
            self.closed(now, association);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].until.is_some_and(|until| now >= until) {
                self.settle(now, server, None);
            }
        }
    }
}

/// An association whose identifier another one claims answers a heartbeat within this, or is closed.
const PROVEN_WITHIN: Micros = 1_000_000;

fn notification(kind: u16, information: u16, identifier: Option<u32>, context: u32) -> Vec<u8> {
    let status = u32::from(kind) << 16 | u32::from(information);
    let ntfy = Writer::new(Kind::Ntfy).number(tag::STATUS, status);
    let ntfy =
        identifier.into_iter().fold(ntfy, |ntfy, identifier| ntfy.number(tag::ASP_IDENTIFIER, identifier));
    ntfy.number(tag::ROUTING_CONTEXT, context).finish().expect("it is short")
}

/// The association of a circuit among those that share, by the highest of a hash of both: when one comes or
/// goes, only the circuits that are its own move.
pub fn share(circuit: Circuit, among: &[Association]) -> Association {
    let mix = |association: Association| {
        let mixed = (association.0 ^ u64::from(circuit) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
    };
    among.iter().copied().max_by_key(|&association| mix(association)).expect("somebody shares")
}
