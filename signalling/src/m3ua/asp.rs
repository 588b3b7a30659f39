//! The ASP side of M3UA: this process serves an AS of a server's signalling gateway over its associations.
//!
//! Each association comes up and, where the traffic mode allows it, becomes active. ASPUP and ASPAC are
//! repeated every T(ack) until they are acknowledged. The traffic of a circuit stays on one association while
//! that is active, and fails over to another one afterwards. No message is sent again after a failover, since
//! a message on the lost association may have arrived.

use std::collections::{BTreeMap, VecDeque};

use super::gateway::{select_association, Association, Route};
use super::states::AspState;
use super::{
    message, tag, AffectedPointCode, ErrorCode, Kind, Message, MessageBuilder, ProtocolData, TrafficMode,
    ISUP,
};
use crate::{Circuit, Micros};

/// The number of messages that are queued while another association is being activated.
const QUEUE_CAPACITY: usize = 256;

/// The configuration of an ASP.
#[derive(Clone, Debug)]
pub struct Config {
    /// The local point code.
    pub point_code: u32,
    /// The point code of the server.
    pub peer_point_code: u32,
    /// The network indicator of outgoing DATA.
    pub network: u8,
    pub routing_context: u32,
    pub mode: TrafficMode,
    /// Whether ASPAC carries the traffic mode.
    pub sends_mode: bool,
    /// The ASP identifier of the first association, where the server requires one. Further associations use
    /// the numbers that follow.
    pub identifier: Option<u32>,
    /// T(ack): the interval at which ASPUP and ASPAC are repeated.
    pub ack_timeout: Micros,
    /// The number of times that ASPUP or ASPAC is sent before the association is closed.
    pub max_attempts: u32,
    /// The interval of DAUD while the server is unavailable or congested; DAUD is also sent on activation.
    /// 0 disables DAUD.
    pub audit_interval: Micros,
}

/// An input of the ASP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    Opened(Association),
    Received(Association, &'a [u8]),
    Closed(Association),
    Send {
        circuit: Circuit,
        payload: &'a [u8],
    },
    /// A circuit has become idle: its next message may use another association.
    Idle {
        circuit: Circuit,
    },
    /// Sends BEAT with this heartbeat data on one active association.
    Probe([u8; 8]),
    Timeout,
}

/// An output of the ASP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Write(Association, Vec<u8>),
    Close(Association),
    Deliver {
        association: Association,
        payload: Vec<u8>,
    },
    /// The first association has become active.
    Up,
    /// No association is active or being activated any more.
    Lost,
    /// The gateway has reported a change of the server's reachability.
    Route(Route),
    /// The gateway has reported the server's congestion level, 0 to 3.
    Congested(u8),
    /// BEAT ACK with this heartbeat data was received.
    Probed([u8; 8]),
    /// ERR was sent in reply to a message.
    ErrorSent(Association, ErrorCode),
    /// ERR with this code was received.
    ErrorReceived(Association, u32),
    /// A message was not sent: no association is active and the queue is full, or the message is too long.
    Dropped {
        circuit: Circuit,
    },
}

/// ASPUP or ASPAC that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    kind: Kind,
    /// When the request is sent next, or the association is closed.
    deadline: Micros,
    /// The number of times that the request was sent.
    attempts: u32,
}

#[derive(Clone, Copy, Debug)]
struct AssociationState {
    state: AspState,
    pending: Option<PendingRequest>,
    identifier: Option<u32>,
    /// Another ASP carries the traffic: no ASPAC is sent until the gateway reports that it needs more ASPs.
    is_overridden: bool,
}

/// The local ASP with its associations to one server's gateway.
#[derive(Debug)]
pub struct Asp {
    config: Config,
    associations: BTreeMap<Association, AssociationState>,
    /// The association that each circuit in use is bound to.
    bindings: BTreeMap<Circuit, Association>,
    /// Messages that wait while another association is being activated.
    queue: VecDeque<(Circuit, Vec<u8>)>,
    route: Route,
    congestion_level: u8,
    next_audit: Option<Micros>,
    correlation_id: u32,
    /// Whether `Effect::Up` has been emitted without a later `Effect::Lost`.
    reported_up: bool,
    effects: Vec<Effect>,
    /// The number of ERR messages sent, by index in [`ErrorCode::ALL`].
    errors: [u64; ErrorCode::ALL.len()],
}

impl Asp {
    pub fn new(config: Config) -> Self {
        Asp {
            config,
            associations: BTreeMap::new(),
            bindings: BTreeMap::new(),
            queue: VecDeque::new(),
            route: Route::Available,
            congestion_level: 0,
            next_audit: None,
            correlation_id: 0,
            reported_up: false,
            effects: Vec::new(),
            errors: Default::default(),
        }
    }

    /// Returns the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether any association is active.
    pub fn is_active(&self) -> bool {
        self.associations.values().any(|entry| entry.state == AspState::Active)
    }

    /// All associations with their ASP states.
    pub fn associations(&self) -> impl Iterator<Item = (Association, AspState)> + '_ {
        self.associations.iter().map(|(association, entry)| (*association, entry.state))
    }

    /// The number of ERR messages sent, by code.
    pub fn errors(&self) -> impl Iterator<Item = (ErrorCode, u64)> + '_ {
        ErrorCode::ALL.into_iter().zip(self.errors)
    }

    /// When [`Event::Timeout`] is due next.
    pub fn next_timeout(&self) -> Option<Micros> {
        let acks = self.associations.values().filter_map(|entry| Some(entry.pending?.deadline));
        acks.chain(self.next_audit).min()
    }

    /// Handles an event; the results are in [`Asp::take_effects`].
    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Opened(association) => {
                let identifier = self.config.identifier.map(|first| first + self.associations.len() as u32);
                self.associations.insert(
                    association,
                    AssociationState {
                        state: AspState::Down,
                        pending: None,
                        identifier,
                        is_overridden: false,
                    },
                );
                self.request(now, association, Kind::AspUp);
            }
            Event::Received(association, bytes) => {
                if !self.associations.contains_key(&association) {
                    return;
                }
                if let Err(error) = self.handle_message(now, association, bytes) {
                    self.send_error(association, error, bytes);
                }
            }
            Event::Closed(association) => self.remove(now, association),
            Event::Send { circuit, payload } => self.send(circuit, payload),
            Event::Idle { circuit } => {
                self.bindings.remove(&circuit);
            }
            Event::Probe(data) => {
                let active = self.associations.iter().find(|(_, entry)| entry.state == AspState::Active);
                if let Some((&association, _)) = active {
                    self.write(association, message(Kind::Beat, &[(tag::HEARTBEAT_DATA, &data)]));
                }
            }
            Event::Timeout => self.timeout(now),
        }
    }

    /// Replies to a message with ERR, which quotes the start of the message. ERR is never answered with ERR.
    pub fn send_error(&mut self, association: Association, error: ErrorCode, bytes: &[u8]) {
        if !Message::is_error(bytes) {
            self.errors[error.index()] += 1;
            self.effects.push(Effect::Write(association, super::error_message(error, bytes)));
            self.effects.push(Effect::ErrorSent(association, error));
        }
    }

    fn write(&mut self, to: Association, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(to, bytes));
    }

    fn set(&mut self, association: Association, state: AspState, pending: Option<PendingRequest>) {
        if let Some(entry) = self.associations.get_mut(&association) {
            (entry.state, entry.pending) = (state, pending);
        }
    }

    /// Sends ASPUP or ASPAC for the first time and starts T(ack).
    fn request(&mut self, now: Micros, association: Association, kind: Kind) {
        let state = if kind == Kind::AspUp { AspState::Down } else { AspState::Inactive };
        self.set(
            association,
            state,
            Some(PendingRequest { kind, deadline: now + self.config.ack_timeout, attempts: 1 }),
        );
        self.send_request(association, kind);
    }

    /// Encodes and sends ASPUP or ASPAC.
    fn send_request(&mut self, association: Association, kind: Kind) {
        let builder = MessageBuilder::new(kind);
        let builder = match kind {
            Kind::AspUp => {
                let identifier = self.associations.get(&association).and_then(|entry| entry.identifier);
                identifier.into_iter().fold(builder, |builder, id| builder.number(tag::ASP_IDENTIFIER, id))
            }
            _ => {
                let named = self.config.sends_mode.then_some(self.config.mode as u32);
                let builder = named
                    .into_iter()
                    .fold(builder, |builder, mode| builder.number(tag::TRAFFIC_MODE_TYPE, mode));
                builder.number(tag::ROUTING_CONTEXT, self.config.routing_context)
            }
        };
        self.write(association, builder.finish().expect("ASPUP and ASPAC are short"));
    }

    fn handle_message(&mut self, now: Micros, from: Association, bytes: &[u8]) -> Result<(), ErrorCode> {
        let message = Message::read(bytes)?;
        let state = self.associations[&from].state;
        match message.kind {
            Kind::Beat => {
                let data = message.parameter(tag::HEARTBEAT_DATA).map(|data| (tag::HEARTBEAT_DATA, data));
                self.write(from, super::message(Kind::BeatAck, data.as_slice()));
            }
            Kind::BeatAck => {
                let data = message.parameter(tag::HEARTBEAT_DATA).and_then(|data| data.try_into().ok());
                self.effects.extend(data.map(Effect::Probed));
            }
            Kind::Err => {
                let code = message.number(tag::ERROR_CODE).ok().flatten().unwrap_or_default();
                self.effects.push(Effect::ErrorReceived(from, code));
            }
            Kind::Ntfy => self.handle_ntfy(now, from, &message)?,
            Kind::AspUpAck if state == AspState::Down => {
                self.set(from, AspState::Inactive, None);
                if self.config.mode != TrafficMode::Override || !self.has_active_or_requested() {
                    self.request(now, from, Kind::AspActive);
                }
            }
            Kind::AspActiveAck if state == AspState::Inactive => self.handle_asp_active_ack(now, from),
            // A duplicate acknowledgement, since the request was repeated.
            Kind::AspUpAck | Kind::AspActiveAck => {}
            // Unsolicited: the server's management has taken this ASP down. It comes up again after T(ack).
            Kind::AspDownAck => self.handle_unsolicited_ack(now, from, Kind::AspUp),
            Kind::AspInactiveAck => self.handle_unsolicited_ack(now, from, Kind::AspActive),
            Kind::Data if state == AspState::Active => self.handle_data(from, &message)?,
            Kind::Duna | Kind::Drst | Kind::Dava => {
                let route = match message.kind {
                    Kind::Duna => Route::Unavailable,
                    Kind::Drst => Route::Restricted,
                    _ => Route::Available,
                };
                if self.concerns_peer(&message)? && self.route != route {
                    self.route = route;
                    self.effects.push(Effect::Route(route));
                    self.schedule_audit(now);
                }
            }
            Kind::Scon => {
                let level = message.number(tag::CONGESTION_INDICATIONS)?.unwrap_or(1).min(3) as u8;
                if self.concerns_peer(&message)? {
                    self.congestion_level = level;
                    self.effects.push(Effect::Congested(level));
                    self.schedule_audit(now);
                }
            }
            // The server's user part is unavailable: no call can be set up even where the route is available.
            Kind::Dupu => {
                let user = message.number(tag::USER_CAUSE)?.ok_or(ErrorCode::Missing)?;
                if self.concerns_peer(&message)?
                    && user & 0xffff == u32::from(ISUP)
                    && self.route != Route::Unavailable
                {
                    self.route = Route::Unavailable;
                    self.effects.push(Effect::Route(Route::Unavailable));
                    self.schedule_audit(now);
                }
            }
            Kind::Data
            | Kind::Daud
            | Kind::AspUp
            | Kind::AspDown
            | Kind::AspActive
            | Kind::AspInactive
            | Kind::RegReq
            | Kind::RegRsp
            | Kind::DeregReq
            | Kind::DeregRsp => return Err(ErrorCode::Unexpected),
        }
        Ok(())
    }

    /// Whether any association is active or has sent ASPAC.
    fn has_active_or_requested(&self) -> bool {
        let has_requested = |entry: &AssociationState| {
            entry.pending.is_some_and(|pending| pending.kind == Kind::AspActive && pending.attempts > 0)
        };
        self.associations.values().any(|entry| entry.state == AspState::Active || has_requested(entry))
    }

    fn handle_asp_active_ack(&mut self, now: Micros, from: Association) {
        self.set(from, AspState::Active, None);
        for (circuit, payload) in std::mem::take(&mut self.queue) {
            self.send(circuit, &payload);
        }
        if std::mem::replace(&mut self.reported_up, true) {
            return;
        }
        // Reports on earlier associations may be out of date.
        if self.route != Route::Available {
            self.route = Route::Available;
            self.effects.push(Effect::Route(Route::Available));
        }
        self.congestion_level = 0;
        self.effects.push(Effect::Up);
        if self.config.audit_interval > 0 {
            self.send_daud();
        }
        self.schedule_audit(now);
    }

    /// NTFY (RFC 4666 3.8.2).
    fn handle_ntfy(&mut self, now: Micros, from: Association, message: &Message) -> Result<(), ErrorCode> {
        let status = message.number(tag::STATUS)?.ok_or(ErrorCode::Missing)?;
        match (status >> 16, status & 0xffff) {
            // Another ASP has taken over the traffic.
            (2, 2) if self.associations[&from].state == AspState::Active => {
                self.set(from, AspState::Inactive, None);
                for entry in self.associations.values_mut() {
                    entry.is_overridden = true;
                }
                self.fail_over(now);
            }
            // Too few ASPs are active, or another ASP has failed.
            (2, 1 | 3) => {
                for entry in self.associations.values_mut() {
                    entry.is_overridden = false;
                }
                self.activate_standby(now);
            }
            _ => {}
        }
        Ok(())
    }

    /// Takes an association out of service and schedules `request` after T(ack).
    fn handle_unsolicited_ack(&mut self, now: Micros, from: Association, request: Kind) {
        let state = if request == Kind::AspUp { AspState::Down } else { AspState::Inactive };
        let pending = PendingRequest { kind: request, deadline: now + self.config.ack_timeout, attempts: 0 };
        self.set(from, state, Some(pending));
        self.fail_over(now);
    }

    fn remove(&mut self, now: Micros, association: Association) {
        if self.associations.remove(&association).is_some() {
            self.fail_over(now);
        }
    }

    /// Handles an association that is no longer active: unbinds its circuits and activates another one.
    fn fail_over(&mut self, now: Micros) {
        let associations = &self.associations;
        self.bindings
            .retain(|_, path| associations.get(path).is_some_and(|entry| entry.state == AspState::Active));
        if !self.has_active_or_requested() {
            self.activate_standby(now);
        }
        // Queued messages stay in the queue while another association is being activated.
        if !self.has_active_or_requested() && std::mem::take(&mut self.reported_up) {
            self.next_audit = None;
            let queued = std::mem::take(&mut self.queue);
            self.effects.extend(queued.into_iter().map(|(circuit, _)| Effect::Dropped { circuit }));
            self.effects.push(Effect::Lost);
        }
    }

    /// Sends ASPAC on one association that is inactive without a pending request.
    fn activate_standby(&mut self, now: Micros) {
        let is_standby = |entry: &AssociationState| {
            entry.state == AspState::Inactive && entry.pending.is_none() && !entry.is_overridden
        };
        let standby = self
            .associations
            .iter()
            .find(|(_, entry)| is_standby(entry))
            .map(|(association, _)| *association);
        if let Some(association) = standby {
            self.request(now, association, Kind::AspActive);
        }
    }

    /// Whether the affected point codes of a message cover the server's.
    fn concerns_peer(&self, message: &Message) -> Result<bool, ErrorCode> {
        Ok(AffectedPointCode::all_in(message)?
            .iter()
            .any(|affected| affected.covers(self.config.peer_point_code)))
    }

    fn handle_data(&mut self, from: Association, message: &Message) -> Result<(), ErrorCode> {
        if message.number(tag::ROUTING_CONTEXT)?.is_some_and(|context| context != self.config.routing_context)
        {
            return Err(ErrorCode::RoutingContext);
        }
        let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA).ok_or(ErrorCode::Missing)?)?;
        if data.destination != self.config.point_code {
            let affected = AffectedPointCode::single(data.destination).word().to_be_bytes();
            self.write(from, super::message(Kind::Duna, &[(tag::AFFECTED_POINT_CODE, &affected)]));
            return Ok(());
        }
        if data.origin != self.config.peer_point_code || data.service != ISUP {
            return Err(ErrorCode::Value);
        }
        self.effects.push(Effect::Deliver { association: from, payload: data.payload.to_vec() });
        Ok(())
    }

    /// Sends DATA by the traffic mode, or queues the message while another association is being activated.
    fn send(&mut self, circuit: Circuit, payload: &[u8]) {
        let active: Vec<Association> = self
            .associations
            .iter()
            .filter(|(_, entry)| entry.state == AspState::Active)
            .map(|(association, _)| *association)
            .collect();
        let data = ProtocolData {
            origin: self.config.point_code,
            destination: self.config.peer_point_code,
            service: ISUP,
            network: self.config.network,
            selection: (circuit & 0x0f) as u8,
            payload,
        };
        let (to, correlation) = match (self.config.mode, active.first()) {
            (_, None) => {
                if self.reported_up && self.queue.len() < QUEUE_CAPACITY {
                    self.queue.push_back((circuit, payload.to_vec()));
                } else {
                    self.effects.push(Effect::Dropped { circuit });
                }
                return;
            }
            (TrafficMode::Override, Some(&first)) => (vec![first], None),
            (TrafficMode::Loadshare, Some(_)) => (
                vec![*self.bindings.entry(circuit).or_insert_with(|| select_association(circuit, &active))],
                None,
            ),
            (TrafficMode::Broadcast, Some(_)) => {
                self.correlation_id = self.correlation_id.wrapping_add(1);
                (active, Some(self.correlation_id))
            }
        };
        match data.message(self.config.routing_context, correlation) {
            Some(bytes) => self.effects.extend(to.into_iter().map(|to| Effect::Write(to, bytes.clone()))),
            None => self.effects.push(Effect::Dropped { circuit }),
        }
    }

    /// Sends DAUD for the server's point code on an active association.
    fn send_daud(&mut self) {
        let active = self.associations.iter().find(|(_, entry)| entry.state == AspState::Active);
        if let Some((&association, _)) = active {
            let affected = AffectedPointCode::single(self.config.peer_point_code).word().to_be_bytes();
            self.write(association, message(Kind::Daud, &[(tag::AFFECTED_POINT_CODE, &affected)]));
        }
    }

    /// Schedules the next DAUD while the server is unavailable, restricted or congested.
    fn schedule_audit(&mut self, now: Micros) {
        let is_impaired = self.route != Route::Available || self.congestion_level > 0;
        self.next_audit = (self.config.audit_interval > 0 && is_impaired && self.is_active())
            .then_some(now + self.config.audit_interval);
    }

    /// Repeats unacknowledged requests, closes associations whose attempts are used up, and sends due DAUDs.
    fn timeout(&mut self, now: Micros) {
        let due: Vec<(Association, PendingRequest)> = self
            .associations
            .iter()
            .filter_map(|(association, entry)| {
                Some((*association, entry.pending.filter(|pending| now >= pending.deadline)?))
            })
            .collect();
        for (association, pending) in due {
            if pending.attempts >= self.config.max_attempts {
                self.effects.push(Effect::Close(association));
                self.remove(now, association);
                continue;
            }
            let has_sibling = self.config.mode == TrafficMode::Override && self.has_active_or_requested();
            if pending.kind == Kind::AspActive && pending.attempts == 0 && has_sibling {
                // Another association has become active, so this one stays inactive as a standby.
                self.set(association, AspState::Inactive, None);
                continue;
            }
            let next = PendingRequest {
                deadline: now + self.config.ack_timeout,
                attempts: pending.attempts + 1,
                ..pending
            };
            let state = self.associations[&association].state;
            self.set(association, state, Some(next));
            self.send_request(association, pending.kind);
        }
        if self.next_audit.is_some_and(|at| now >= at) {
            self.send_daud();
            self.schedule_audit(now);
        }
    }
}
