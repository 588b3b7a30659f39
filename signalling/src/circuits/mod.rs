//! State machine of the circuits of one peer (Q.764): messages, local requests and timers in every state.
//!
//! A circuit carries one call. Either side seizes it with a set-up. The side that releases the call waits for
//! the release complete message before the circuit is idle again. Circuits and their calls outlive the
//! association that carries the signalling. Resets, blocking and queries, for one circuit or for a group,
//! reconcile the circuit states of both sides.
//!
//! [`Trunk::handle`] processes an event. The snapshot of the tests lists the reaction in each state.

mod messages;
mod supervision;
#[cfg(test)]
mod tests;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::cause::{Cause, Location};
use crate::isup::{Blocking, Body, Message, SetUp};
use crate::wheel::{Key, Wheel};
use crate::{Circuit, Micros, HIGHEST_CIRCUIT};
pub use supervision::GroupAction;
pub use timers::{Timer, Timers};

/// A call reference, chosen by the user of the trunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRef(pub u64);

/// The circuits of a bothway trunk that this side controls: on a dual seizure its call takes precedence
/// there (Q.764 2.9.1.4: the exchange with the higher point code controls the even circuits).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlledCircuits {
    #[default]
    All,
    Even,
    Odd,
    None,
}

impl ControlledCircuits {
    pub fn contains(self, circuit: Circuit) -> bool {
        match self {
            ControlledCircuits::All => true,
            ControlledCircuits::Even => circuit.is_multiple_of(2),
            ControlledCircuits::Odd => !circuit.is_multiple_of(2),
            ControlledCircuits::None => false,
        }
    }
}

/// The selection method: the order in which idle circuits are seized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Selection {
    /// The circuit with the lowest code.
    #[default]
    Sequential,
    /// The circuit that has been idle for the longest time.
    MostIdle,
    /// Circuits that this side controls first, the lowest code first among them. This order gives the
    /// fewest dual seizures.
    OwnFirst,
}

/// How circuits whose state is unknown after the start of this process are recovered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnStart {
    /// The circuits are assumed to be idle.
    #[default]
    Trust,
    /// The circuits are queried (CQM); established calls continue.
    Query,
    /// The circuits are reset (GRS); established calls end.
    Reset,
}

/// Settings of a trunk.
#[derive(Clone, Debug)]
pub struct Config {
    /// First and last equipped circuit; `None` stands for all circuit identification codes.
    pub equipped: Option<(Circuit, Circuit)>,
    /// Whether the peer may set up calls.
    pub incoming: bool,
    /// Whether this side may set up calls.
    pub outgoing: bool,
    pub controls: ControlledCircuits,
    pub selection: Selection,
    pub on_start: OnStart,
    pub timers: Timers,
    /// Whether the peer may send called numbers in overlap (SAM).
    pub overlap: bool,
    /// The longest message in bytes that the peer accepts; longer set-ups are segmented.
    pub max_message_len: Option<usize>,
    /// The most group messages that may be unacknowledged at once.
    pub max_pending_groups: usize,
    /// Whether [`Effect::EstablishedChanged`] reports established calls, which are persisted for a restart.
    pub reports_established: bool,
}

impl Default for Config {
    /// An incoming trunk on which the peer may seize every circuit.
    fn default() -> Self {
        Config {
            equipped: None,
            incoming: true,
            outgoing: false,
            controls: ControlledCircuits::All,
            selection: Selection::Sequential,
            on_start: OnStart::Trust,
            timers: Timers::default(),
            overlap: false,
            max_message_len: None,
            max_pending_groups: 4,
            reports_established: false,
        }
    }
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message of the peer. `call` is the reference for the call that it may set up.
    Received { message: Message, call: CallRef },
    /// Sets up an outgoing call.
    SetUp { call: CallRef, set_up: SetUp },
    /// An incoming call proceeds.
    Progress { call: CallRef },
    /// An incoming call is answered.
    Answer { call: CallRef, description: String },
    /// Releases a call of either direction, in any state.
    Release { call: CallRef, cause: Cause, congestion: Option<u8> },
    /// Releases an incoming call from before the start of this process, by its circuit: the trunk has no
    /// record of the call.
    ReleaseCircuit { circuit: Circuit, cause: Cause },
    /// The peer is available.
    Up,
    /// The peer is unavailable.
    Down,
    /// Another process has taken the peer's place: none of its circuits carries a call.
    Replaced,
    /// An operator takes circuits (first to last) out of service.
    Block(Circuit, Circuit, Blocking),
    /// An operator returns circuits (first to last) to service.
    Unblock(Circuit, Circuit, Blocking),
    /// Queries the peer for the states of all circuits.
    Audit,
    /// The result of [`Effect::AnalyseNumber`]: the called number is complete, or needs more digits.
    NumberAnalysed { circuit: Circuit, complete: bool },
    /// The time of [`Trunk::next_timeout`] has come.
    Timeout,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message.
    Send(Message),
    /// Sends an encoded message: a set-up or one of its segments.
    SendBytes(Circuit, Vec<u8>),
    /// An incoming call.
    Offer { call: CallRef, circuit: Circuit, set_up: SetUp },
    /// The digits received so far; [`Event::NumberAnalysed`] returns whether the number is complete.
    AnalyseNumber { circuit: Circuit, number: String },
    /// An incoming call has ended, answered or not; no release is needed for it.
    Abandoned { call: CallRef, cause: Cause },
    /// An outgoing call proceeds.
    Progress { call: CallRef },
    /// An outgoing call is answered.
    Answered { call: CallRef, description: String },
    /// An outgoing call has ended, answered or not.
    Ended {
        call: CallRef,
        /// Whether the call was answered before.
        was_established: bool,
        cause: Cause,
        location: Location,
        congestion: Option<u8>,
    },
    /// No circuit was available for an outgoing call; no set-up was sent.
    NoCircuit { call: CallRef },
    /// The established call on a circuit, `None` once it has ended; reported with
    /// [`Config::reports_established`].
    EstablishedChanged { circuit: Circuit, call: Option<CallRef> },
    /// A circuit has become idle.
    Idle { circuit: Circuit },
    /// A message was discarded as unexpected in the state of its circuit.
    Disregarded { circuit: Circuit, kind: u8 },
    /// A condition that operators should know of.
    Alert { circuit: Circuit, alert: Alert },
}

/// A condition of a circuit that operators should know of (Q.764: "the maintenance system is alerted").
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Alert {
    #[error("release not acknowledged (T5); resetting")]
    ReleaseUnacknowledged,
    #[error("reset not acknowledged (T17)")]
    ResetUnacknowledged,
    #[error("blocking not acknowledged (T13)")]
    BlockUnacknowledged,
    #[error("unblocking not acknowledged (T15)")]
    UnblockUnacknowledged,
    #[error("group reset, blocking or unblocking not acknowledged (T19, T21, T23)")]
    GroupUnacknowledged,
    #[error("group query not answered (T28)")]
    QueryUnanswered,
    #[error("not equipped at the peer")]
    Unequipped,
    #[error("continuity check failed")]
    ContinuityFailed,
    #[error("blocked by the peer")]
    Blocked,
    #[error("states differ between both sides; resetting")]
    StateMismatch,
    #[error("the peer reports confusion about a message sent to it (CFN)")]
    Confusion,
}

/// The parts that are missing from an incoming set-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MissingParts {
    segment: bool,
    continuity: bool,
    digits: bool,
}

impl MissingParts {
    fn is_empty(self) -> bool {
        self == MissingParts::default()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Idle,
    /// The state is unknown since the start of this process.
    Unknown,
    /// The peer reports a call from before the start of this process.
    BusyAtPeer,
    /// The incoming set-up is not complete yet.
    IncompleteSetUp {
        call: CallRef,
        set_up: Box<SetUp>,
        missing: MissingParts,
    },
    /// The continuity check of the incoming set-up failed.
    ContinuityFailed,
    /// The peer checks the continuity of the circuit (CCR).
    Checking,
    /// The incoming call waits for its answer; `proceeding` tells whether ACM was sent.
    Offered {
        call: CallRef,
        proceeding: bool,
    },
    /// The incoming call is established.
    IncomingEstablished {
        call: CallRef,
    },
    /// The outgoing set-up was sent; no backward message has arrived.
    SetUpSent {
        call: CallRef,
        set_up: Box<SetUp>,
    },
    /// The outgoing call waits for its answer.
    Proceeding {
        call: CallRef,
    },
    /// The outgoing call is established.
    OutgoingEstablished {
        call: CallRef,
    },
    /// Released by this side; RLC has not arrived.
    Releasing {
        cause: Cause,
        congestion: Option<u8>,
    },
    /// Reset by this side; the acknowledgement has not arrived.
    Resetting,
    /// The peer has not equipped the circuit.
    Unequipped,
}

impl State {
    /// The name in tables, the MIB and logs.
    fn name(&self) -> &'static str {
        match self {
            State::Idle => "idle",
            State::Unknown => "unknown",
            State::BusyAtPeer => "foreign",
            State::IncompleteSetUp { .. } => "gathering",
            State::ContinuityFailed => "continuity failed",
            State::Checking => "checking",
            State::Offered { .. } => "offered",
            State::IncomingEstablished { .. } => "answered",
            State::SetUpSent { .. } => "sent",
            State::Proceeding { .. } => "proceeding",
            State::OutgoingEstablished { .. } => "standing",
            State::Releasing { .. } => "releasing",
            State::Resetting => "resetting",
            State::Unequipped => "unequipped",
        }
    }

    /// The established call on the circuit.
    fn established_call(&self) -> Option<CallRef> {
        match self {
            State::IncomingEstablished { call } | State::OutgoingEstablished { call } => Some(*call),
            _ => None,
        }
    }

    /// The call on the circuit, and whether it is incoming. A call whose set-up is incomplete is left out: it
    /// was not offered yet.
    fn call(&self) -> Option<(CallRef, bool)> {
        match self {
            State::Offered { call, .. } | State::IncomingEstablished { call } => Some((*call, true)),
            State::SetUpSent { call, .. }
            | State::Proceeding { call }
            | State::OutgoingEstablished { call } => Some((*call, false)),
            _ => None,
        }
    }
}

/// Whether one side has blocked a circuit, for maintenance and for hardware failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Blocked {
    maintenance: bool,
    hardware: bool,
}

impl Blocked {
    fn any(self) -> bool {
        self.maintenance || self.hardware
    }

    fn set(&mut self, blocking: Blocking, on: bool) {
        match blocking {
            Blocking::Maintenance => self.maintenance = on,
            Blocking::Hardware => self.hardware = on,
        }
    }
}

/// The state of a circuit with its blocking and its timers.
#[derive(Debug)]
struct CircuitRecord {
    state: State,
    /// Blocking by this side.
    local: Blocked,
    /// Blocking by the peer.
    remote: Blocked,
    /// The call on the circuit is suspended.
    suspended: bool,
    /// BLO or UBL was sent and is not acknowledged.
    blocking_pending: bool,
    /// The running timers: two of the call, one for suspension or continuity, two for blocking.
    timers: [Option<Key>; timers::TIMER_SLOTS],
}

impl Default for CircuitRecord {
    fn default() -> Self {
        CircuitRecord {
            state: State::Idle,
            local: Blocked::default(),
            remote: Blocked::default(),
            suspended: false,
            blocking_pending: false,
            timers: [None; timers::TIMER_SLOTS],
        }
    }
}

/// Counters of a trunk since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub seized_by_peer: u64,
    pub seized_by_us: u64,
    /// Outgoing calls for which no circuit was available.
    pub overflowed: u64,
    /// Dual seizures: circuits that both sides seized at once.
    pub dual_seizures: u64,
    /// Circuits that either side has reset.
    pub resets: u64,
    /// Messages that were discarded as unexpected in the state of their circuit.
    pub disregarded: u64,
    pub alerts: u64,
}

/// The circuits towards one peer.
#[derive(Debug)]
pub struct Trunk {
    config: Config,
    /// Circuits that are not in the default state: idle, without blocking, pending messages and timers.
    records: BTreeMap<Circuit, CircuitRecord>,
    calls: BTreeMap<CallRef, Circuit>,
    /// Idle circuits that this side may seize, by rank: the order in which it seizes them.
    free: BTreeSet<(u64, Circuit)>,
    /// The rank of each circuit in `free`.
    ranks: BTreeMap<Circuit, u64>,
    /// The last number given to a rank or a group.
    last_number: u64,
    wheel: Wheel<timers::TimerTarget>,
    /// Calls that were restored from before the start of this process; no other part has seen them begin.
    restored: BTreeSet<CallRef>,
    /// Group messages that are not acknowledged.
    pending_groups: Vec<supervision::PendingGroup>,
    /// Group messages that wait for one of the former to be acknowledged.
    queued_groups: VecDeque<supervision::GroupAction>,
    is_up: bool,
    /// Whether the recovery of circuits in an unknown state has begun.
    recovery_started: bool,
    counts: Counts,
    effects: Vec<Effect>,
}

impl Trunk {
    /// Creates the trunk of a peer that is not available yet.
    pub fn new(config: Config, now: Micros) -> Self {
        let mut trunk = Trunk {
            records: BTreeMap::new(),
            calls: BTreeMap::new(),
            free: BTreeSet::new(),
            ranks: BTreeMap::new(),
            last_number: 0,
            wheel: Wheel::new(now),
            restored: BTreeSet::new(),
            pending_groups: Vec::new(),
            queued_groups: VecDeque::new(),
            is_up: false,
            recovery_started: false,
            counts: Counts::default(),
            effects: Vec::new(),
            config,
        };
        if trunk.config.on_start != OnStart::Trust {
            for circuit in trunk.equipped() {
                trunk
                    .records
                    .insert(circuit, CircuitRecord { state: State::Unknown, ..CircuitRecord::default() });
            }
        }
        for circuit in trunk.equipped().filter(|_| trunk.config.outgoing).collect::<Vec<_>>() {
            trunk.update_indexes(circuit);
        }
        trunk
    }

    /// Restores a call that was established before the start of this process, incoming or outgoing. The call
    /// is not reported as newly established.
    pub fn restore(&mut self, circuit: Circuit, call: CallRef, is_incoming: bool) {
        if !self.equipped().contains(&circuit) {
            return;
        }
        let state = if is_incoming {
            State::IncomingEstablished { call }
        } else {
            State::OutgoingEstablished { call }
        };
        let reports_established = std::mem::replace(&mut self.config.reports_established, false);
        self.set_state(circuit, state);
        self.config.reports_established = reports_established;
        self.restored.insert(call);
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The time at which [`Event::Timeout`] is due; `None` while no timer runs.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.wheel.next()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of circuits in each state. Idle circuits are left out unless they are blocked.
    pub fn states(&self) -> BTreeMap<&'static str, usize> {
        let mut states = BTreeMap::new();
        for record in self.records.values() {
            let blocked = record.local.any() || record.remote.any();
            let name = if blocked && record.state == State::Idle { "blocked" } else { record.state.name() };
            *states.entry(name).or_default() += 1;
        }
        states
    }

    /// The circuit of a call, while the call lasts.
    pub fn circuit(&self, call: CallRef) -> Option<Circuit> {
        self.calls.get(&call).copied()
    }

    /// Whether an incoming call waits for its answer.
    pub fn has_unanswered_call(&self) -> bool {
        let is_unanswered = |record: &CircuitRecord| {
            matches!(record.state, State::IncompleteSetUp { .. } | State::Offered { .. })
        };
        self.records.values().any(is_unanswered)
    }

    /// Whether the circuit carries no call and no release or reset is pending; it may be blocked.
    pub fn is_idle(&self, circuit: Circuit) -> bool {
        self.records.get(&circuit).is_none_or(|record| record.state == State::Idle)
    }

    /// The number of idle circuits that this side may seize.
    pub fn free_count(&self) -> usize {
        self.free.len()
    }

    fn equipped(&self) -> std::ops::RangeInclusive<Circuit> {
        let (first, last) = self.config.equipped.unwrap_or((0, HIGHEST_CIRCUIT));
        first..=last
    }

    /// Processes an event. [`Trunk::take_effects`] returns what follows.
    pub fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Received { message, call } => self.handle_message(now, message, call),
            Event::SetUp { call, set_up } => self.seize(now, call, set_up),
            Event::Progress { call } => {
                let circuit = self.circuit(call);
                if let Some((circuit, State::Offered { proceeding, .. })) = self.state_mut(circuit) {
                    if !std::mem::replace(proceeding, true) {
                        self.send(circuit, Body::AddressComplete { description: String::new() });
                    }
                }
            }
            Event::Answer { call, description } => self.answer(call, description),
            Event::Release { call, cause, congestion } => {
                if let Some(circuit) = self.circuit(call) {
                    self.release(now, circuit, cause, congestion);
                }
            }
            Event::ReleaseCircuit { circuit, cause } => {
                if matches!(self.state(circuit), State::Idle | State::Unknown | State::BusyAtPeer) {
                    self.release(now, circuit, cause, None);
                }
            }
            Event::Up => self.peer_up(now),
            Event::Down => self.peer_down(now),
            Event::Replaced => self.handle_replaced(),
            Event::Block(first, last, blocking) => self.set_local_blocking(now, first, last, blocking, true),
            Event::Unblock(first, last, blocking) => {
                self.set_local_blocking(now, first, last, blocking, false)
            }
            Event::Audit => self.query_all(now),
            Event::NumberAnalysed { circuit, complete } => self.number_analysed(circuit, complete),
            Event::Timeout => {
                while let Some(target) = self.wheel.expire(now) {
                    self.timer_expired(now, target);
                }
            }
        }
    }

    fn state(&self, circuit: Circuit) -> &State {
        self.records.get(&circuit).map_or(&State::Idle, |record| &record.state)
    }

    fn record_mut(&mut self, circuit: Circuit) -> &mut CircuitRecord {
        self.records.entry(circuit).or_default()
    }

    fn state_mut(&mut self, circuit: Option<Circuit>) -> Option<(Circuit, &mut State)> {
        let circuit = circuit?;
        self.records.get_mut(&circuit).map(|record| (circuit, &mut record.state))
    }

    fn send(&mut self, circuit: Circuit, body: Body) {
        self.effects.push(Effect::Send(Message { circuit, body }));
    }

    fn alert(&mut self, circuit: Circuit, alert: Alert) {
        self.counts.alerts += 1;
        self.effects.push(Effect::Alert { circuit, alert });
    }

    /// Sets the state of a circuit, stops its call timers and updates the indexes of calls and free circuits.
    fn set_state(&mut self, circuit: Circuit, state: State) {
        let record = self.records.entry(circuit).or_default();
        let before = std::mem::replace(&mut record.state, state);
        record.suspended = false;
        let is_idle = record.state == State::Idle;
        let established = record.state.established_call();
        if let Some((call, _)) = before.call().filter(|call| record.state.call() != Some(*call)) {
            self.calls.remove(&call);
            self.restored.remove(&call);
        }
        if self.config.reports_established && before.established_call() != established {
            self.effects.push(Effect::EstablishedChanged { circuit, call: established });
        }
        if let Some((call, _)) = self.records[&circuit].state.call() {
            self.calls.insert(call, circuit);
        }
        self.stop_call_timers(circuit);
        self.update_indexes(circuit);
        if is_idle && before != State::Idle {
            self.effects.push(Effect::Idle { circuit });
        }
    }

    /// Drops the record of a circuit in the default state, and updates the index of free circuits.
    fn update_indexes(&mut self, circuit: Circuit) {
        let (is_idle, is_default) = match self.records.get(&circuit) {
            None => (true, true),
            Some(record) => {
                let is_idle = record.state == State::Idle && !record.local.any() && !record.remote.any();
                (is_idle, is_idle && !record.blocking_pending && record.timers.iter().all(Option::is_none))
            }
        };
        if is_default {
            self.records.remove(&circuit);
        }
        if !self.config.outgoing {
            return;
        }
        match (is_idle, self.ranks.get(&circuit).copied()) {
            (true, None) => {
                self.last_number += 1;
                let rank = match self.config.selection {
                    Selection::Sequential => 0,
                    Selection::MostIdle => self.last_number,
                    Selection::OwnFirst => u64::from(!self.config.controls.contains(circuit)),
                };
                self.ranks.insert(circuit, rank);
                self.free.insert((rank, circuit));
            }
            (false, Some(rank)) => {
                self.ranks.remove(&circuit);
                self.free.remove(&(rank, circuit));
            }
            _ => {}
        }
    }

    /// Seizes a circuit for an outgoing call, or reports that none is available.
    fn seize(&mut self, now: Micros, call: CallRef, set_up: SetUp) {
        let encode = |circuit| match self.config.max_message_len {
            Some(max_message_len) => Message::segments(circuit, &set_up, max_message_len),
            None => Some(vec![Message::new(circuit, Body::SetUp(set_up.clone())).to_bytes()]),
        };
        let seized = self.free.first().copied().filter(|_| self.is_up);
        let Some((circuit, parts)) = seized.and_then(|(_, circuit)| Some((circuit, encode(circuit)?))) else {
            self.counts.overflowed += 1;
            self.effects.push(Effect::NoCircuit { call });
            return;
        };
        self.counts.seized_by_us += 1;
        self.set_state(circuit, State::SetUpSent { call, set_up: Box::new(set_up) });
        self.effects.extend(parts.into_iter().map(|bytes| Effect::SendBytes(circuit, bytes)));
        self.start_timer(now, circuit, Timer::T7);
    }

    /// Answers an incoming call; ACM goes first where it was not sent.
    fn answer(&mut self, call: CallRef, description: String) {
        let Some(circuit) = self.circuit(call) else { return };
        let State::Offered { proceeding, .. } = *self.state(circuit) else { return };
        self.set_state(circuit, State::IncomingEstablished { call });
        if !proceeding {
            self.send(circuit, Body::AddressComplete { description: String::new() });
        }
        self.send(circuit, Body::Answer { description });
    }

    /// Releases a circuit in any state, and waits for RLC.
    fn release(&mut self, now: Micros, circuit: Circuit, cause: Cause, congestion: Option<u8>) {
        self.set_state(circuit, State::Releasing { cause, congestion });
        self.send(circuit, Body::Release { cause, location: Location::BeyondInterworking, congestion });
        self.start_timer(now, circuit, Timer::T1);
        self.start_timer(now, circuit, Timer::T5);
    }

    /// Resets a circuit, and waits for the acknowledgement.
    fn reset(&mut self, now: Micros, circuit: Circuit) {
        self.counts.resets += 1;
        self.set_state(circuit, State::Resetting);
        self.send(circuit, Body::ResetCircuit);
        self.start_timer(now, circuit, Timer::T16);
        self.start_timer(now, circuit, Timer::T17);
    }

    /// Reports the end of the call on a circuit to the user of the trunk. Sends nothing to the peer.
    fn report_call_end(
        &mut self,
        circuit: Circuit,
        cause: Cause,
        location: Location,
        congestion: Option<u8>,
    ) {
        let was_established = matches!(self.state(circuit), State::OutgoingEstablished { .. });
        match self.state(circuit).call() {
            Some((call, true)) => self.effects.push(Effect::Abandoned { call, cause }),
            Some((call, false)) => {
                self.effects.push(Effect::Ended { call, was_established, cause, location, congestion })
            }
            None => {}
        }
    }

    /// Reports that the call on a circuit failed, with a cause and location of this side.
    fn report_call_failure(&mut self, circuit: Circuit) {
        self.report_call_end(circuit, Cause::TEMPORARY, Location::BeyondInterworking, None);
    }
}
