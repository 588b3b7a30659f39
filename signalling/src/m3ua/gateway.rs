//! The signalling gateway (SG) side of M3UA: application servers (AS) and the ASPs that carry their traffic.
//!
//! An association is the connection of one ASP. The ASP names its application servers by routing context,
//! comes up, and becomes active in some or all of them. A message to an application server leaves through one
//! of its active ASPs. All messages of one circuit use the same ASP while that ASP is active, which keeps
//! them in order. After the last active ASP is lost, messages wait in a bounded queue until T(r) expires.

use std::collections::{BTreeMap, VecDeque};

use super::states::{self, AspCounts, AspEvent, AspState, Reply, ServerState};
use super::{
    message, tag, AffectedPointCode, ErrorCode, Kind, Message, MessageBuilder, Parameters, ProtocolData,
    TrafficMode, ISUP,
};
use crate::{Circuit, Micros};

/// The identifier of an ASP's connection. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Association(pub u64);

/// A configured application server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub point_code: u32,
    pub routing_context: u32,
    pub mode: TrafficMode,
    /// The number of active ASPs that activates the AS in loadshare and broadcast mode (the n of n+k).
    pub min_active_asps: usize,
    /// The ASP identifiers that are accepted; an empty list accepts any.
    pub identifiers: Vec<u32>,
    /// Whether ASPs may register a routing key for this AS (RFC 4666 3.6).
    pub allows_registration: bool,
}

/// The configuration of the gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// The local point code.
    pub point_code: u32,
    /// The network indicator of outgoing DATA.
    pub network: u8,
    pub servers: Vec<ServerConfig>,
    /// T(r): how long an AS without an active ASP stays pending.
    pub recovery_timeout: Micros,
    /// The number of messages that one pending AS queues.
    pub queue_capacity: usize,
    /// The interval of BEAT on each association; 0 disables heartbeats.
    pub heartbeat_interval: Micros,
    /// The number of consecutive unanswered BEATs after which an association is closed.
    pub max_missed_heartbeats: u32,
    /// An association on which ASPUP does not arrive within this time is closed.
    pub asp_up_timeout: Micros,
    /// The number of ASPs that may be active at once in one AS.
    pub max_asps_per_server: usize,
}

/// An input of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    Opened(Association),
    Received(Association, &'a [u8]),
    Closed(Association),
    /// Sends a user part's message on a circuit to a server.
    Send {
        server: usize,
        circuit: Circuit,
        payload: &'a [u8],
    },
    /// A circuit has become idle: its next message may use another association.
    Idle {
        server: usize,
        circuit: Circuit,
    },
    /// The reachability and congestion level of a point code, which ASPs are notified of.
    Route {
        point_code: u32,
        route: Route,
        level: u8,
    },
    Timeout,
}

/// The reachability of a destination (RFC 4666 4.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    Available,
    Restricted,
    Unavailable,
}

/// An output of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Write(Association, Vec<u8>),
    Close(Association),
    /// A user part's message from a server whose label has been checked.
    Deliver {
        server: usize,
        association: Association,
        payload: Vec<u8>,
    },
    /// The AS has become active, for the first time or after T(r) expired.
    Up {
        server: usize,
    },
    /// T(r) has expired without an active ASP.
    Lost {
        server: usize,
    },
    /// The last active ASP is lost and T(r) is running.
    Pending {
        server: usize,
    },
    /// An ASP has become active again before T(r) expired.
    Recovered {
        server: usize,
    },
    /// The AS has reported its congestion level, 0 to 3.
    Congested {
        server: usize,
        level: u8,
    },
    /// ERR was sent in reply to a message.
    ErrorSent(Association, ErrorCode),
    /// ERR with this code was received.
    ErrorReceived(Association, u32),
    /// A message was not sent: the AS has no active ASP and its queue is full, or the message is too long.
    Dropped {
        server: usize,
        circuit: Circuit,
    },
}

/// The ASP at the other end of an association.
#[derive(Debug)]
struct RemoteAsp {
    is_up: bool,
    identifier: Option<u32>,
    /// Its state in each AS that it belongs to, by index of the AS.
    states: BTreeMap<usize, AspState>,
    /// The AS whose routing keys it has registered.
    registered: Vec<usize>,
    /// When the association was opened or the ASP last went down.
    down_since: Micros,
    /// When the next BEAT is due.
    next_heartbeat: Micros,
    missed_heartbeats: u32,
    /// Set while another association claims the same ASP identifier: this one is closed unless a message
    /// arrives from it by this time.
    proof_deadline: Option<Micros>,
}

#[derive(Debug, Default)]
struct ApplicationServer {
    state: ServerState,
    /// The association that each circuit in use is bound to.
    bindings: BTreeMap<Circuit, Association>,
    /// While pending: when T(r) expires.
    recovery_deadline: Option<Micros>,
    /// Messages that wait while the AS is pending.
    queue: VecDeque<(Circuit, Vec<u8>)>,
    correlation_id: u32,
    /// Whether `Effect::Up` has been emitted without a later `Effect::Lost`.
    reported_up: bool,
}

/// The signalling gateway: all associations of remote ASPs and the application servers they carry.
#[derive(Debug)]
pub struct Gateway {
    config: Config,
    asps: BTreeMap<Association, RemoteAsp>,
    servers: Vec<ApplicationServer>,
    routes: BTreeMap<u32, (Route, u8)>,
    effects: Vec<Effect>,
    /// The number of ERR messages sent, by index in [`ErrorCode::ALL`].
    errors: [u64; ErrorCode::ALL.len()],
}

/// The heartbeat data of outgoing BEATs.
const HEARTBEAT_DATA: &[u8] = b"steprelay";
/// Registration status (RFC 4666 3.6.2) and deregistration status (3.6.4) values.
mod status {
    pub const SUCCESS: u32 = 0;
    pub const INVALID_DESTINATION: u32 = 2;
    pub const INVALID_KEY: u32 = 4;
    pub const PERMISSION_DENIED: u32 = 5;
    pub const UNSUPPORTED_FIELD: u32 = 9;
    pub const UNSUPPORTED_MODE: u32 = 10;
    pub const ALREADY_REGISTERED: u32 = 12;
    pub const INVALID_CONTEXT: u32 = 2;
    pub const DENIED: u32 = 3;
    pub const NOT_REGISTERED: u32 = 4;
    pub const ASP_ACTIVE: u32 = 5;
}
/// NTFY status types, and the status information of type "other" (RFC 4666 3.8.2).
const STATUS_AS_STATE_CHANGE: u16 = 1;
const STATUS_OTHER: u16 = 2;
const INSUFFICIENT_ASPS: u16 = 1;
const ALTERNATE_ACTIVE: u16 = 2;
const ASP_FAILURE: u16 = 3;
/// The cause of DUPU for a user part that is not equipped (RFC 4666 3.4.5).
const USER_UNEQUIPPED: u32 = 1;

impl Gateway {
    pub fn new(config: Config) -> Self {
        let servers = config.servers.iter().map(|_| ApplicationServer::default()).collect();
        let routes = BTreeMap::from([(config.point_code, (Route::Available, 0))]);
        Gateway {
            config,
            asps: BTreeMap::new(),
            servers,
            routes,
            effects: Vec::new(),
            errors: Default::default(),
        }
    }

    /// Returns the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The state of an application server.
    pub fn state(&self, server: usize) -> ServerState {
        self.servers[server].state
    }

    /// Whether an application server is active.
    pub fn is_active(&self, server: usize) -> bool {
        self.state(server) == ServerState::Active
    }

    /// The number of inactive and of active ASPs of one application server.
    pub fn asp_counts(&self, server: usize) -> AspCounts {
        let states = self.asps.values().filter_map(|asp| asp.states.get(&server));
        states.fold(AspCounts::default(), |mut counts, state| {
            match state {
                AspState::Active => counts.active += 1,
                AspState::Inactive => counts.inactive += 1,
                AspState::Down => {}
            }
            counts
        })
    }

    /// The application servers that the ASP of an association carries.
    pub fn servers_of(&self, association: Association) -> impl Iterator<Item = usize> + '_ {
        let states = self.asps.get(&association).map(|asp| &asp.states);
        states
            .into_iter()
            .flatten()
            .filter(|(_, state)| **state == AspState::Active)
            .map(|(server, _)| *server)
    }

    /// The number of ERR messages sent, by code.
    pub fn errors(&self) -> impl Iterator<Item = (ErrorCode, u64)> + '_ {
        ErrorCode::ALL.into_iter().zip(self.errors)
    }

    /// When [`Event::Timeout`] is due next.
    pub fn next_timeout(&self) -> Option<Micros> {
        let asp_up_deadlines = self
            .asps
            .values()
            .filter(|asp| !asp.is_up)
            .map(|asp| asp.down_since + self.config.asp_up_timeout);
        let heartbeats =
            self.asps.values().filter(|_| self.config.heartbeat_interval > 0).map(|asp| asp.next_heartbeat);
        let proofs = self.asps.values().filter_map(|asp| asp.proof_deadline);
        let recovery = self.servers.iter().filter_map(|server| server.recovery_deadline);
        asp_up_deadlines.chain(heartbeats).chain(proofs).chain(recovery).min()
    }

    /// Handles an event; the results are in [`Gateway::take_effects`].
    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Opened(association) => {
                let next_heartbeat = now + self.config.heartbeat_interval;
                let asp = RemoteAsp {
                    is_up: false,
                    identifier: None,
                    states: BTreeMap::new(),
                    registered: Vec::new(),
                    down_since: now,
                    next_heartbeat,
                    missed_heartbeats: 0,
                    proof_deadline: None,
                };
                self.asps.insert(association, asp);
            }
            Event::Received(association, bytes) => {
                if self.asps.contains_key(&association) {
                    if let Err(error) = self.handle_message(now, association, bytes) {
                        self.send_error(association, error, bytes);
                    }
                }
            }
            Event::Closed(association) => self.remove(now, association),
            Event::Send { server, circuit, payload } => self.send(server, circuit, payload),
            Event::Idle { server, circuit } => {
                self.servers[server].bindings.remove(&circuit);
            }
            Event::Route { point_code, route, level } => self.set_destination_state(point_code, route, level),
            Event::Timeout => self.timeout(now),
        }
    }

    /// Replies to a message with ERR, which quotes the start of the message.
    pub fn send_error(&mut self, association: Association, error: ErrorCode, bytes: &[u8]) {
        // ERR is never answered with ERR: two peers would exchange them without end.
        if Message::is_error(bytes) {
            return;
        }
        self.errors[error.index()] += 1;
        self.effects.push(Effect::Write(association, super::error_message(error, bytes)));
        self.effects.push(Effect::ErrorSent(association, error));
    }

    fn handle_message(&mut self, now: Micros, from: Association, bytes: &[u8]) -> Result<(), ErrorCode> {
        let message = Message::read(bytes)?;
        if let Some(asp) = self.asps.get_mut(&from) {
            // Any message proves that the ASP is alive.
            asp.missed_heartbeats = 0;
            asp.proof_deadline = None;
        }
        match message.kind {
            Kind::Beat => {
                let data = message.parameter(tag::HEARTBEAT_DATA).map(|data| (tag::HEARTBEAT_DATA, data));
                self.write(from, super::message(Kind::BeatAck, data.as_slice()));
            }
            Kind::BeatAck | Kind::Ntfy => {}
            Kind::Err => {
                let code = message.number(tag::ERROR_CODE).ok().flatten().unwrap_or_default();
                self.effects.push(Effect::ErrorReceived(from, code));
            }
            Kind::AspUp => self.handle_asp_up(now, from, &message, bytes)?,
            Kind::AspDown => self.take_down(now, from, AspEvent::Down),
            Kind::AspActive => self.handle_asp_active(now, from, &message)?,
            Kind::AspInactive => self.handle_asp_inactive(now, from, &message)?,
            Kind::Data => self.handle_data(from, &message)?,
            Kind::Daud => self.handle_daud(from, &message)?,
            Kind::Scon => self.handle_scon(from, &message)?,
            Kind::RegReq => self.handle_reg_req(from, &message)?,
            Kind::DeregReq => self.handle_dereg_req(from, &message)?,
            // Only a signalling gateway sends these.
            Kind::Duna
            | Kind::Dava
            | Kind::Dupu
            | Kind::Drst
            | Kind::AspUpAck
            | Kind::AspDownAck
            | Kind::AspActiveAck
            | Kind::AspInactiveAck
            | Kind::RegRsp
            | Kind::DeregRsp => return Err(ErrorCode::Unexpected),
        }
        Ok(())
    }

    fn write(&mut self, to: Association, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(to, bytes));
    }

    fn asp(&mut self, association: Association) -> &mut RemoteAsp {
        self.asps.get_mut(&association).expect("the caller has looked the association up")
    }

    /// ASPUP (RFC 4666 4.3.4.1).
    fn handle_asp_up(
        &mut self,
        now: Micros,
        from: Association,
        message: &Message,
        bytes: &[u8],
    ) -> Result<(), ErrorCode> {
        let identifier = message.number(tag::ASP_IDENTIFIER)?;
        let named: Vec<usize> = (0..self.config.servers.len())
            .filter(|&server| {
                identifier.is_some_and(|id| self.config.servers[server].identifiers.contains(&id))
            })
            .collect();
        let all_named = self.config.servers.iter().all(|server| !server.identifiers.is_empty());
        match identifier {
            None if all_named && !self.config.servers.is_empty() => {
                return Err(ErrorCode::IdentifierRequired)
            }
            Some(_) if all_named && named.is_empty() => return Err(ErrorCode::Identifier),
            Some(_) => {
                let other = self
                    .asps
                    .iter()
                    .find(|(other, asp)| **other != from && asp.is_up && asp.identifier == identifier);
                if let Some((&other, _)) = other {
                    // The other association may be dead without its end having been seen: it has to answer a
                    // BEAT or is closed, and a later ASPUP on this association is then accepted.
                    self.send_heartbeat(now, other);
                    let asp = self.asp(other);
                    asp.proof_deadline.get_or_insert(now + PROOF_TIMEOUT);
                    return Err(ErrorCode::Identifier);
                }
            }
            None => {}
        }
        let before = std::mem::replace(&mut self.asp(from).is_up, true);
        let asp = self.asp(from);
        if !before {
            asp.identifier = identifier;
        }
        let was_active: Vec<usize> = asp
            .states
            .iter()
            .filter(|(_, state)| **state == AspState::Active)
            .map(|(server, _)| *server)
            .collect();
        let (_, reply) = states::next_asp_state(
            if was_active.is_empty() { AspState::Inactive } else { AspState::Active },
            AspEvent::Up,
        );
        for &server in &named {
            self.asp(from).states.entry(server).or_insert(AspState::Inactive);
        }
        for &server in &was_active {
            self.asp(from).states.insert(server, AspState::Inactive);
        }
        self.write(from, super::message(Kind::AspUpAck, &[]));
        if reply == Reply::AckAndError(Kind::AspUpAck) {
            self.send_error(from, ErrorCode::Unexpected, bytes);
        }
        for server in named.into_iter().chain(was_active) {
            if self.update_state(now, server, None) || before {
                continue;
            }
            // A newly connected ASP is notified of the state of its AS.
            self.notify_state(server, &[from]);
        }
        Ok(())
    }

    /// Handles ASPDN or the loss of an ASP: its states are dropped and its application servers follow.
    fn take_down(&mut self, now: Micros, from: Association, event: AspEvent) {
        let (_, reply) = states::next_asp_state(AspState::Inactive, event);
        if let Reply::Ack(kind) = reply {
            self.write(from, super::message(kind, &[]));
        }
        let asp = self.asp(from);
        asp.is_up = false;
        asp.down_since = now;
        asp.registered.clear();
        let identifier = asp.identifier.take();
        let states = std::mem::take(&mut asp.states);
        for (server, state) in states {
            if event == AspEvent::Lost && state == AspState::Active {
                self.notify(server, STATUS_OTHER, ASP_FAILURE, identifier, None);
            }
            self.update_state(now, server, None);
        }
    }

    fn remove(&mut self, now: Micros, association: Association) {
        if self.asps.contains_key(&association) {
            self.take_down(now, association, AspEvent::Lost);
            self.asps.remove(&association);
        }
    }

    /// The application servers that a message concerns: those of its routing contexts, or without any, those
    /// that the ASP belongs to. Also returns whether an unknown routing context was named.
    fn named_servers(&self, from: Association, message: &Message) -> Result<(Vec<usize>, bool), ErrorCode> {
        let contexts = message.numbers(tag::ROUTING_CONTEXT)?;
        let index_of =
            |context| self.config.servers.iter().position(|server| server.routing_context == context);
        if !contexts.is_empty() {
            let found: Vec<usize> = contexts.iter().filter_map(|&context| index_of(context)).collect();
            let all = found.len() == contexts.len();
            return Ok((found, !all));
        }
        let own: Vec<usize> = self.asps[&from].states.keys().copied().collect();
        match (own.is_empty(), self.config.servers.len()) {
            (false, _) => Ok((own, false)),
            (true, 1) => Ok((vec![0], false)),
            (true, _) => Err(ErrorCode::NoServer),
        }
    }

    /// ASPAC (RFC 4666 4.3.4.3).
    fn handle_asp_active(
        &mut self,
        now: Micros,
        from: Association,
        message: &Message,
    ) -> Result<(), ErrorCode> {
        if !self.asps[&from].is_up {
            return Err(ErrorCode::Unexpected);
        }
        let mode = match message.number(tag::TRAFFIC_MODE_TYPE)? {
            Some(code) => Some(TrafficMode::from_code(code).ok_or(ErrorCode::TrafficMode)?),
            None => None,
        };
        let (named, unknown) = self.named_servers(from, message)?;
        let mut done = Vec::new();
        let mut error = unknown.then_some(ErrorCode::RoutingContext);
        for server in named {
            let config = &self.config.servers[server];
            let member = self.asps[&from].states.contains_key(&server);
            if mode.is_some_and(|mode| mode != config.mode) {
                error = Some(ErrorCode::TrafficMode);
            } else if !config.identifiers.is_empty() && !member {
                error = Some(ErrorCode::RoutingContext);
            } else if !member
                && self.asp_counts(server).active >= self.config.max_asps_per_server
                && config.mode != TrafficMode::Override
            {
                error = Some(ErrorCode::Blocked);
            } else {
                done.push(server);
            }
        }
        if !done.is_empty() {
            let contexts: Vec<u32> =
                done.iter().map(|&server| self.config.servers[server].routing_context).collect();
            let ack = MessageBuilder::new(Kind::AspActiveAck);
            let ack = mode.into_iter().fold(ack, |ack, mode| ack.number(tag::TRAFFIC_MODE_TYPE, mode as u32));
            let ack = ack.numbers(tag::ROUTING_CONTEXT, &contexts).finish().ok_or(ErrorCode::Protocol)?;
            self.write(from, ack);
        }
        for server in done {
            let before = self.asp(from).states.insert(server, AspState::Active);
            if before == Some(AspState::Active) {
                continue;
            }
            if self.config.servers[server].mode == TrafficMode::Override {
                self.override_others(server, from);
            }
            if !self.update_state(now, server, Some(from)) {
                self.notify_state(server, &[from]);
            }
        }
        error.map_or(Ok(()), Err)
    }

    /// Deactivates the other ASPs of an AS in override mode and notifies them of the alternate ASP.
    fn override_others(&mut self, server: usize, by: Association) {
        let others: Vec<Association> = self
            .asps
            .iter()
            .filter(|(other, asp)| **other != by && asp.states.get(&server) == Some(&AspState::Active))
            .map(|(other, _)| *other)
            .collect();
        let identifier = self.asps[&by].identifier;
        for other in others {
            self.asp(other).states.insert(server, AspState::Inactive);
            self.notify(server, STATUS_OTHER, ALTERNATE_ACTIVE, identifier, Some(other));
        }
        self.servers[server].bindings.clear();
    }

    /// ASPIA (RFC 4666 4.3.4.4).
    fn handle_asp_inactive(
        &mut self,
        now: Micros,
        from: Association,
        message: &Message,
    ) -> Result<(), ErrorCode> {
        if !self.asps[&from].is_up {
            return Err(ErrorCode::Unexpected);
        }
        let (named, unknown) = self.named_servers(from, message)?;
        if !named.is_empty() {
            let contexts: Vec<u32> =
                named.iter().map(|&server| self.config.servers[server].routing_context).collect();
            let ack = MessageBuilder::new(Kind::AspInactiveAck).numbers(tag::ROUTING_CONTEXT, &contexts);
            self.write(from, ack.finish().ok_or(ErrorCode::Protocol)?);
        }
        for server in named {
            if let Some(state) = self.asp(from).states.get_mut(&server) {
                *state = AspState::Inactive;
            }
            self.update_state(now, server, None);
        }
        if unknown {
            return Err(ErrorCode::RoutingContext);
        }
        Ok(())
    }

    /// Derives the state of an AS from the states of its ASPs and notifies them of a change. Returns whether
    /// the state has changed. `latest` is the association that has just become active, if any.
    fn update_state(&mut self, now: Micros, server: usize, latest: Option<Association>) -> bool {
        let counts = self.asp_counts(server);
        let config = &self.config.servers[server];
        let state = &mut self.servers[server];
        let recovery_expired = state.recovery_deadline.is_some_and(|until| now >= until);
        let before = state.state;
        let next =
            states::next_server_state(before, counts, config.mode, config.min_active_asps, recovery_expired);
        state.state = next;
        let active = |association: &Association, asps: &BTreeMap<Association, RemoteAsp>| {
            asps.get(association).is_some_and(|asp| asp.states.get(&server) == Some(&AspState::Active))
        };
        let asps = &self.asps;
        state.bindings.retain(|_, association| active(association, asps));
        let needed = config.min_active_asps;
        if before == next {
            // Too few ASPs are left to carry the traffic.
            if next == ServerState::Active
                && latest.is_none()
                && counts.active < needed
                && config.mode != TrafficMode::Override
            {
                self.notify(server, STATUS_OTHER, INSUFFICIENT_ASPS, None, None);
            }
            return false;
        }
        match next {
            ServerState::Pending => {
                state.recovery_deadline = Some(now + self.config.recovery_timeout);
                self.effects.push(Effect::Pending { server });
            }
            ServerState::Active => state.recovery_deadline = None,
            ServerState::Inactive | ServerState::Down => {
                state.recovery_deadline = None;
                let queued = std::mem::take(&mut state.queue);
                if std::mem::take(&mut state.reported_up) {
                    self.effects.push(Effect::Lost { server });
                }
                self.effects
                    .extend(queued.into_iter().map(|(circuit, _)| Effect::Dropped { server, circuit }));
            }
        }
        let all: Vec<Association> = self
            .asps
            .iter()
            .filter(|(_, asp)| asp.is_up && asp.states.contains_key(&server))
            .map(|(to, _)| *to)
            .collect();
        self.notify_state(server, &all);
        if next == ServerState::Active {
            if !std::mem::replace(&mut self.servers[server].reported_up, true) {
                self.effects.push(Effect::Up { server });
            } else if before == ServerState::Pending {
                self.effects.push(Effect::Recovered { server });
            }
            for (circuit, payload) in std::mem::take(&mut self.servers[server].queue) {
                self.send(server, circuit, &payload);
            }
        }
        true
    }

    /// Sends NTFY with the state of an AS to these associations.
    fn notify_state(&mut self, server: usize, to: &[Association]) {
        let Some(status) = self.state(server).status() else { return };
        let context = self.config.servers[server].routing_context;
        for &association in to {
            let ntfy = notification(STATUS_AS_STATE_CHANGE, status, None, context);
            self.write(association, ntfy);
        }
    }

    /// Sends NTFY to one ASP, or for `None` to all inactive ASPs of the AS.
    fn notify(
        &mut self,
        server: usize,
        kind: u16,
        information: u16,
        identifier: Option<u32>,
        to: Option<Association>,
    ) {
        let context = self.config.servers[server].routing_context;
        let all = |asp: &RemoteAsp| asp.is_up && asp.states.get(&server) == Some(&AspState::Inactive);
        let to: Vec<Association> = match to {
            Some(to) => vec![to],
            None => self.asps.iter().filter(|(_, asp)| all(asp)).map(|(to, _)| *to).collect(),
        };
        for association in to {
            let ntfy = notification(kind, information, identifier, context);
            self.write(association, ntfy);
        }
    }

    /// DATA from an ASP (RFC 4666 3.3.1).
    fn handle_data(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        let states = &self.asps[&from].states;
        let server = match message.number(tag::ROUTING_CONTEXT)? {
            Some(context) => {
                let index = self.config.servers.iter().position(|server| server.routing_context == context);
                let active = states.values().any(|state| *state == AspState::Active);
                // An ASP that is active nowhere may not send DATA at all, which takes precedence.
                index.ok_or(if active { ErrorCode::RoutingContext } else { ErrorCode::Unexpected })?
            }
            None => {
                let mut active = states.iter().filter(|(_, state)| **state == AspState::Active);
                match (active.next(), active.next()) {
                    (Some((&server, _)), None) => server,
                    (None, _) => return Err(ErrorCode::Unexpected),
                    (Some(_), Some(_)) => return Err(ErrorCode::Missing),
                }
            }
        };
        if states.get(&server) != Some(&AspState::Active) {
            return Err(ErrorCode::Unexpected);
        }
        let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA).ok_or(ErrorCode::Missing)?)?;
        if data.destination != self.config.point_code {
            let affected = AffectedPointCode::single(data.destination);
            self.send_destination_message(from, Kind::Duna, affected);
            return Ok(());
        }
        if data.origin != self.config.servers[server].point_code {
            return Err(ErrorCode::Value);
        }
        if data.service != ISUP {
            let user = USER_UNEQUIPPED << 16 | u32::from(data.service);
            let dupu = MessageBuilder::new(Kind::Dupu)
                .number(tag::AFFECTED_POINT_CODE, AffectedPointCode::single(self.config.point_code).word())
                .number(tag::USER_CAUSE, user);
            self.write(from, dupu.finish().ok_or(ErrorCode::Protocol)?);
            return Ok(());
        }
        if let Some((_, circuit)) =
            data.payload.first_chunk::<2>().map(|bytes| ((), u16::from_le_bytes(*bytes) & 0x0fff))
        {
            // Replies use the same association while it stays active.
            self.servers[server].bindings.entry(circuit).or_insert(from);
        }
        self.effects.push(Effect::Deliver { server, association: from, payload: data.payload.to_vec() });
        Ok(())
    }

    /// Sends DATA to an AS by its traffic mode, or queues the message while the AS is pending.
    fn send(&mut self, server: usize, circuit: Circuit, payload: &[u8]) {
        let active: Vec<Association> = self
            .asps
            .iter()
            .filter(|(_, asp)| asp.states.get(&server) == Some(&AspState::Active))
            .map(|(association, _)| *association)
            .collect();
        let config = &self.config.servers[server];
        let state = &mut self.servers[server];
        if state.state == ServerState::Pending {
            if state.queue.len() < self.config.queue_capacity {
                state.queue.push_back((circuit, payload.to_vec()));
            } else {
                self.effects.push(Effect::Dropped { server, circuit });
            }
            return;
        }
        let (ServerState::Active, Some(&first)) = (state.state, active.first()) else {
            self.effects.push(Effect::Dropped { server, circuit });
            return;
        };
        let data = ProtocolData {
            origin: self.config.point_code,
            destination: config.point_code,
            service: ISUP,
            network: self.config.network,
            selection: (circuit & 0x0f) as u8,
            payload,
        };
        let (to, correlation) = match config.mode {
            TrafficMode::Override => (vec![first], None),
            TrafficMode::Loadshare => {
                let path =
                    *state.bindings.entry(circuit).or_insert_with(|| select_association(circuit, &active));
                (vec![path], None)
            }
            TrafficMode::Broadcast => {
                state.correlation_id = state.correlation_id.wrapping_add(1);
                (active, Some(state.correlation_id))
            }
        };
        match data.message(config.routing_context, correlation) {
            Some(bytes) => self.effects.extend(to.into_iter().map(|to| Effect::Write(to, bytes.clone()))),
            None => self.effects.push(Effect::Dropped { server, circuit }),
        }
    }

    /// Sends DUNA, DAVA or DRST for a destination.
    fn send_destination_message(&mut self, to: Association, kind: Kind, affected: AffectedPointCode) {
        self.write(to, message(kind, &[(tag::AFFECTED_POINT_CODE, &affected.word().to_be_bytes())]));
    }

    /// DAUD: reports the state of each destination that the ASP audits (RFC 4666 4.5.3).
    fn handle_daud(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        if !self.asps[&from].is_up {
            return Err(ErrorCode::Unexpected);
        }
        for affected in AffectedPointCode::all_in(message)? {
            let known: Vec<(u32, (Route, u8))> = self
                .routes
                .iter()
                .filter(|(code, _)| affected.covers(**code))
                .map(|(code, state)| (*code, *state))
                .collect();
            if known.is_empty() {
                self.send_destination_message(from, Kind::Duna, affected);
            }
            for (code, (route, level)) in known {
                self.send_destination_state(from, code, route, level);
            }
        }
        Ok(())
    }

    fn send_destination_state(&mut self, to: Association, code: u32, route: Route, level: u8) {
        let kind = match route {
            Route::Available => Kind::Dava,
            Route::Restricted => Kind::Drst,
            Route::Unavailable => Kind::Duna,
        };
        self.send_destination_message(to, kind, AffectedPointCode::single(code));
        if level > 0 && route != Route::Unavailable {
            self.send_congestion(to, code, level);
        }
    }

    fn send_congestion(&mut self, to: Association, code: u32, level: u8) {
        let affected = AffectedPointCode::single(code).word().to_be_bytes();
        let level = u32::from(level).to_be_bytes();
        self.write(
            to,
            message(
                Kind::Scon,
                &[(tag::AFFECTED_POINT_CODE, &affected), (tag::CONGESTION_INDICATIONS, &level)],
            ),
        );
    }

    /// Records the state of a destination and reports a change to all active ASPs.
    fn set_destination_state(&mut self, code: u32, route: Route, level: u8) {
        let before = self.routes.insert(code, (route, level));
        if before == Some((route, level)) {
            return;
        }
        let active = |asp: &RemoteAsp| asp.states.values().any(|state| *state == AspState::Active);
        let to: Vec<Association> =
            self.asps.iter().filter(|(_, asp)| active(asp)).map(|(to, _)| *to).collect();
        for association in to {
            match before {
                Some((same, _)) if same == route => self.send_congestion(association, code, level),
                _ => self.send_destination_state(association, code, route, level),
            }
        }
    }

    /// SCON from an ASP, which reports its own congestion (RFC 4666 3.4.4).
    fn handle_scon(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        let level = message.number(tag::CONGESTION_INDICATIONS)?.unwrap_or(1);
        if level > 3 {
            return Err(ErrorCode::Value);
        }
        AffectedPointCode::all_in(message)?;
        let (named, _) = self.named_servers(from, message)?;
        self.effects.extend(named.into_iter().map(|server| Effect::Congested { server, level: level as u8 }));
        Ok(())
    }

    /// REG REQ: an ASP requests the traffic of routing keys (RFC 4666 4.4.1).
    fn handle_reg_req(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        if !self.asps[&from].is_up {
            return Err(ErrorCode::Unexpected);
        }
        let keys: Vec<&[u8]> = message
            .parameters()
            .filter(|(tag, _)| *tag == tag::ROUTING_KEY)
            .map(|(_, value)| value)
            .collect();
        if keys.is_empty() {
            return Err(ErrorCode::Missing);
        }
        let mut response = MessageBuilder::new(Kind::RegRsp);
        for key in keys {
            let (local, outcome) = self.register_key(from, Parameters::inside(key)?)?;
            let (status, context) = match outcome {
                Ok(server) => (status::SUCCESS, self.config.servers[server].routing_context),
                Err(status) => (status, 0),
            };
            let mut value = Vec::new();
            super::put_parameter(&mut value, tag::LOCAL_ROUTING_KEY_ID, &local.to_be_bytes());
            super::put_parameter(&mut value, tag::REGISTRATION_STATUS, &status.to_be_bytes());
            super::put_parameter(&mut value, tag::ROUTING_CONTEXT, &context.to_be_bytes());
            response = response.parameter(tag::REGISTRATION_RESULT, &value);
        }
        self.write(from, response.finish().ok_or(ErrorCode::Protocol)?);
        Ok(())
    }

    /// Registers one routing key. Returns its local identifier, and the AS or a registration status that
    /// gives the reason for the rejection.
    fn register_key(
        &mut self,
        from: Association,
        key: Parameters,
    ) -> Result<(u32, Result<usize, u32>), ErrorCode> {
        let one = |tag: u16| match key.clone().find(|(found, _)| *found == tag) {
            Some((_, value)) => {
                value.try_into().map(u32::from_be_bytes).map(Some).map_err(|_| ErrorCode::Value)
            }
            None => Ok(None),
        };
        let local = one(tag::LOCAL_ROUTING_KEY_ID)?.ok_or(ErrorCode::Missing)?;
        let Some(code) = one(tag::DESTINATION_POINT_CODE)? else {
            return Ok((local, Err(status::INVALID_KEY)));
        };
        let Some(server) =
            self.config.servers.iter().position(|server| server.point_code == code & 0x00ff_ffff)
        else {
            return Ok((local, Err(status::INVALID_DESTINATION)));
        };
        let config = &self.config.servers[server];
        let services = key.clone().find(|(found, _)| *found == tag::SERVICE_INDICATORS);
        let mode = one(tag::TRAFFIC_MODE_TYPE)?;
        let outcome = if !config.allows_registration {
            Err(status::PERMISSION_DENIED)
        } else if services.is_some_and(|(_, services)| services != [ISUP]) {
            Err(status::UNSUPPORTED_FIELD)
        } else if mode.is_some_and(|mode| TrafficMode::from_code(mode) != Some(config.mode)) {
            Err(status::UNSUPPORTED_MODE)
        } else if one(tag::ROUTING_CONTEXT)?.is_some_and(|context| context != config.routing_context) {
            Err(status::INVALID_KEY)
        } else if self.asps[&from].registered.contains(&server) {
            Err(status::ALREADY_REGISTERED)
        } else {
            Ok(server)
        };
        if let Ok(server) = outcome {
            let asp = self.asp(from);
            asp.registered.push(server);
            asp.states.entry(server).or_insert(AspState::Inactive);
        }
        Ok((local, outcome))
    }

    /// DEREG REQ (RFC 4666 4.4.2).
    fn handle_dereg_req(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        if !self.asps[&from].is_up {
            return Err(ErrorCode::Unexpected);
        }
        let contexts = message.numbers(tag::ROUTING_CONTEXT)?;
        if contexts.is_empty() {
            return Err(ErrorCode::Missing);
        }
        let mut response = MessageBuilder::new(Kind::DeregRsp);
        for context in contexts {
            let server = self.config.servers.iter().position(|server| server.routing_context == context);
            let asp = self.asp(from);
            let status = match server {
                None => status::INVALID_CONTEXT,
                Some(server) if !asp.registered.contains(&server) => {
                    if self.config.servers[server].allows_registration {
                        status::NOT_REGISTERED
                    } else {
                        status::DENIED
                    }
                }
                Some(server) if asp.states.get(&server) == Some(&AspState::Active) => status::ASP_ACTIVE,
                Some(server) => {
                    asp.registered.retain(|registered| *registered != server);
                    asp.states.remove(&server);
                    status::SUCCESS
                }
            };
            let mut value = Vec::new();
            super::put_parameter(&mut value, tag::ROUTING_CONTEXT, &context.to_be_bytes());
            super::put_parameter(&mut value, tag::DEREGISTRATION_STATUS, &status.to_be_bytes());
            response = response.parameter(tag::DEREGISTRATION_RESULT, &value);
        }
        self.write(from, response.finish().ok_or(ErrorCode::Protocol)?);
        Ok(())
    }

    fn send_heartbeat(&mut self, now: Micros, association: Association) {
        self.write(association, message(Kind::Beat, &[(tag::HEARTBEAT_DATA, HEARTBEAT_DATA)]));
        let interval = self.config.heartbeat_interval;
        self.asp(association).next_heartbeat = now + interval;
    }

    /// Closes associations that have missed ASPUP or heartbeats, sends due BEATs, and ends T(r).
    fn timeout(&mut self, now: Micros) {
        let mut expired = Vec::new();
        let mut to_probe = Vec::new();
        for (&association, asp) in &mut self.asps {
            let unproven = asp.proof_deadline.is_some_and(|by| now >= by);
            if (!asp.is_up && now >= asp.down_since + self.config.asp_up_timeout) || unproven {
                expired.push(association);
            } else if self.config.heartbeat_interval > 0 && now >= asp.next_heartbeat {
                if asp.missed_heartbeats >= self.config.max_missed_heartbeats {
                    expired.push(association);
                } else {
                    asp.missed_heartbeats += 1;
                    to_probe.push(association);
                }
            }
        }
        for association in to_probe {
            self.send_heartbeat(now, association);
        }
        for association in expired {
            self.effects.push(Effect::Close(association));
            self.remove(now, association);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].recovery_deadline.is_some_and(|until| now >= until) {
                self.update_state(now, server, None);
            }
        }
    }
}

/// The time in which an association has to answer a BEAT after another one claims its ASP identifier.
const PROOF_TIMEOUT: Micros = 1_000_000;

fn notification(kind: u16, information: u16, identifier: Option<u32>, context: u32) -> Vec<u8> {
    let status = u32::from(kind) << 16 | u32::from(information);
    let ntfy = MessageBuilder::new(Kind::Ntfy).number(tag::STATUS, status);
    let ntfy =
        identifier.into_iter().fold(ntfy, |ntfy, identifier| ntfy.number(tag::ASP_IDENTIFIER, identifier));
    ntfy.number(tag::ROUTING_CONTEXT, context).finish().expect("NTFY is short")
}

/// Selects the association of a circuit in loadshare mode by rendezvous hashing: when an association is added
/// or removed, only the circuits of that association move.
pub fn select_association(circuit: Circuit, among: &[Association]) -> Association {
    let mix = |association: Association| {
        let mixed = (association.0 ^ u64::from(circuit) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
    };
    among
        .iter()
        .copied()
        .max_by_key(|&association| mix(association))
        .expect("at least one association is active")
}
