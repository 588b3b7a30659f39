//! A randomised test of a client with several ASPs and a server with several associations. It checks only the
//! effects of the office: the associations that messages are written to, their order, and that a call is
//! offered, answered and ended at most once.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use steprelay_signalling::cause::Cause;
use steprelay_signalling::circuits::{self, CallRef};
use steprelay_signalling::isup::SetUp;
use steprelay_signalling::m3ua::gateway::{self, Association};
use steprelay_signalling::m3ua::{asp, TrafficMode};
use steprelay_signalling::office::{Config, Effect, Event, Office, ServerConfig};
use steprelay_signalling::trie::PrefixTrie;
use steprelay_signalling::Micros;

const LOCAL_POINT_CODE: u32 = 1001;
const CLIENT_POINT_CODE: u32 = 2001;
const SERVER_POINT_CODE: u32 = 3001;
/// The number of associations of the client, and of the server.
const SLOTS: usize = 3;

const IAM: u8 = 0x01;
const ANM: u8 = 0x09;
const REL: u8 = 0x0c;
const RLC: u8 = 0x10;
const RSC: u8 = 0x12;

fn office(mode: TrafficMode) -> Office {
    let clients = gateway::ServerConfig {
        point_code: CLIENT_POINT_CODE,
        routing_context: 1,
        mode,
        min_active_asps: 1,
        identifiers: Vec::new(),
        allows_registration: false,
    };
    let server = ServerConfig {
        asp: asp::Config {
            point_code: LOCAL_POINT_CODE,
            peer_point_code: SERVER_POINT_CODE,
            network: 2,
            routing_context: 7,
            mode,
            sends_mode: false,
            identifier: None,
            ack_timeout: 700_000,
            max_attempts: 3,
            audit_interval: 0,
        },
        circuits: circuits::Config {
            equipped: Some((1, 4)),
            incoming: false,
            outgoing: true,
            ..circuits::Config::default()
        },
    };
    let gateway = gateway::Config {
        point_code: LOCAL_POINT_CODE,
        network: 2,
        servers: vec![clients],
        recovery_timeout: 2_000_000,
        queue_capacity: 8,
        heartbeat_interval: 0,
        max_missed_heartbeats: 0,
        asp_up_timeout: 2_500_000,
        max_asps_per_server: SLOTS,
    };
    let config = Config {
        gateway,
        clients: vec![circuits::Config::default()],
        servers: vec![server],
        destinations: PrefixTrie::new([]).expect("an empty trie is valid"),
    };
    let mut serial = 1000;
    let name = move |_, _| {
        serial += 1;
        CallRef(serial)
    };
    Office::new(config, Box::new(name), 0)
}

/// Encodes a message with at most one parameter, independently of the codec under test.
fn message(class: u8, kind: u8, parameter: Option<(u16, &[u8])>) -> Vec<u8> {
    let mut bytes = vec![1, 0, class, kind, 0, 0, 0, 8];
    if let Some((tag, value)) = parameter {
        bytes.extend(tag.to_be_bytes());
        bytes.extend((4 + value.len() as u16).to_be_bytes());
        bytes.extend(value);
        bytes.resize(bytes.len().next_multiple_of(4), 0);
        bytes[7] = bytes.len() as u8;
    }
    bytes
}

fn data(origin: u32, circuit: u16, kind: u8) -> Vec<u8> {
    let body: &[u8] = match kind {
        IAM => &[0, 0x20, 1, 10, 0, 2, 7, 5, 0x84, 0x10, 0x06, 0x13, 0x02, 0],
        REL => &[2, 0, 2, 0x80, 0x90],
        RSC => &[],
        _ => &[0],
    };
    let payload = [&circuit.to_le_bytes()[..], &[kind], body].concat();
    let label =
        [&origin.to_be_bytes()[..], &LOCAL_POINT_CODE.to_be_bytes(), &[5, 2, 0, 0], &payload].concat();
    message(1, 1, Some((0x0210, &label)))
}

/// The circuit and type of the ISUP message in DATA, after the header, the routing context and the label.
fn call_message(bytes: &[u8]) -> Option<(u16, u8)> {
    (bytes[2..4] == [1, 1]).then(|| (u16::from_le_bytes([bytes[32], bytes[33]]), bytes[34]))
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize),
    Close(usize),
    /// ASPUP, ASPDN, ASPAC or ASPIA from the client; or ASPUP ACK, NTFY (alternate ASP active), ASPAC ACK or
    /// ASPIA ACK from the server.
    Signal(usize, u8),
    /// An ISUP message on a circuit, by its type.
    Isup(usize, u16, u8),
    SetUp,
    Answer(usize),
    Release(usize),
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    // The first half of the slots is the client's, the other half the server's.
    let slot = || 0..2 * SLOTS;
    let kind = prop::sample::select(vec![IAM, IAM, ANM, REL, RLC, RLC, RSC]);
    prop_oneof![
        4 => slot().prop_map(Step::Open),
        1 => slot().prop_map(Step::Close),
        8 => (slot(), prop::sample::select(vec![0u8, 0, 1, 2, 2, 2, 3]))
            .prop_map(|(slot, kind)| Step::Signal(slot, kind)),
        8 => (slot(), 1..=4u16, kind).prop_map(|(slot, circuit, kind)| Step::Isup(slot, circuit, kind)),
        3 => Just(Step::SetUp),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Release),
        2 => (0..4_000_000i64).prop_map(Step::Wait),
    ]
}

struct Checker {
    office: Office,
    now: Micros,
    slots: [Option<Association>; 2 * SLOTS],
    next: u64,
    /// Associations that are open.
    open: BTreeSet<Association>,
    /// Associations on which DATA may be written.
    active: BTreeSet<Association>,
    /// The association that was last written to for each circuit of the client in use.
    last: BTreeMap<u16, Association>,
    /// Pending and established calls of the client, and whether they were answered.
    offered: BTreeMap<CallRef, bool>,
    /// Calls to the server, and whether they are established.
    outgoing: BTreeMap<CallRef, bool>,
    /// The number of set-ups requested, and of those written.
    requested_set_ups: usize,
    written_set_ups: usize,
    ended: BTreeSet<CallRef>,
    broadcast: bool,
}

impl Checker {
    fn is_server(slot: usize) -> bool {
        slot >= SLOTS
    }

    fn handle(&mut self, event: Event) {
        self.office.handle(self.now, event);
        for effect in self.office.take_effects() {
            self.check(effect);
        }
    }

    fn check(&mut self, effect: Effect) {
        match effect {
            Effect::Write(to, bytes) => self.write(to, &bytes),
            Effect::Close(association) => {
                assert!(self.open.remove(&association), "closed twice");
                self.active.remove(&association);
                self.slots
                    .iter_mut()
                    .filter(|slot| **slot == Some(association))
                    .for_each(|slot| *slot = None);
            }
            Effect::Offer { call, .. } => {
                assert!(
                    self.offered.insert(call, false).is_none() && !self.ended.contains(&call),
                    "offered twice"
                );
            }
            Effect::Abandoned { call, .. } => {
                assert!(self.offered.remove(&call).is_some(), "ended twice, or never offered");
                assert!(self.ended.insert(call));
            }
            // The call agent drops unanswered calls when their peer is lost.
            Effect::ClientLost(_) => self.offered.retain(|_, answered| *answered),
            Effect::ServerLost(_) => self.outgoing.retain(|_, established| *established),
            Effect::Answered { call, .. } => {
                let established = self.outgoing.get_mut(&call).expect("an answered call was set up");
                assert!(!std::mem::replace(established, true), "answered twice");
            }
            Effect::Ended { call, .. } | Effect::NoCircuit { call, .. } => {
                assert!(self.outgoing.remove(&call).is_some(), "ended twice");
                assert!(self.ended.insert(call));
            }
            _ => {}
        }
    }

    fn write(&mut self, to: Association, bytes: &[u8]) {
        assert!(self.open.contains(&to), "written to a connection that has ended");
        match bytes[2..4] {
            // ASPAC ACK to a client.
            [4, 3] => {
                self.active.insert(to);
            }
            // ASPUP ACK, ASPDN ACK and ASPIA ACK; below, NTFY (alternate ASP active).
            [3, 4] | [3, 5] | [4, 4] => {
                self.active.remove(&to);
            }
            [0, 1] if bytes[12..16] == [0, 2, 0, 2] => {
                self.active.remove(&to);
            }
            _ => {}
        }
        let Some((circuit, kind)) = call_message(bytes) else { return };
        assert!(self.active.contains(&to), "traffic on an association that carries none");
        let client = self.slots[..SLOTS].contains(&Some(to));
        if client && !self.broadcast {
            let before = self.last.insert(circuit, to);
            let moved = before.is_some_and(|before| before != to && self.active.contains(&before));
            assert!(!moved || kind == RLC, "circuit {circuit} has moved from an association that is active");
            if [REL, RLC, RSC].contains(&kind) {
                self.last.remove(&circuit);
            }
        }
        if !client && kind == IAM {
            self.written_set_ups += 1;
            assert!(self.written_set_ups <= self.requested_set_ups, "a set-up was sent twice");
        }
    }

    fn signal(&mut self, slot: usize, kind: u8) {
        let Some(from) = self.slots[slot] else { return };
        let context: &[u8] = if Self::is_server(slot) { &[0, 0, 0, 7] } else { &[0, 0, 0, 1] };
        let bytes = match (Self::is_server(slot), kind) {
            (false, 0) => message(3, 1, None),
            (false, 1) => message(3, 2, None),
            (false, 2) => message(4, 1, Some((6, context))),
            (false, _) => message(4, 2, Some((6, context))),
            (true, 0) => message(3, 4, None),
            (true, 1) => message(0, 1, Some((0x0d, &[0, 2, 0, 2]))),
            (true, 2) => message(4, 3, Some((6, context))),
            (true, _) => message(4, 4, Some((6, context))),
        };
        if Self::is_server(slot) {
            // The expected state follows the server's message at once, whether the engine accepts it or not.
            match kind {
                2 => {
                    self.active.insert(from);
                }
                1 | 3 => {
                    self.active.remove(&from);
                }
                _ => {}
            }
        }
        self.handle(Event::Received(from, &bytes));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Open(slot) if self.slots[slot].is_none() => {
                self.next += 1;
                let association = Association(self.next);
                self.slots[slot] = Some(association);
                self.open.insert(association);
                self.handle(match Self::is_server(slot) {
                    true => Event::ServerOpened(0, association),
                    false => Event::ClientOpened(association),
                });
            }
            Step::Open(_) => {}
            Step::Close(slot) => {
                if let Some(association) = self.slots[slot].take() {
                    self.open.remove(&association);
                    self.active.remove(&association);
                    self.handle(Event::Closed(association));
                }
            }
            Step::Signal(slot, kind) => self.signal(slot, kind),
            Step::Isup(slot, circuit, kind) => {
                if let Some(from) = self.slots[slot] {
                    let origin = if Self::is_server(slot) { SERVER_POINT_CODE } else { CLIENT_POINT_CODE };
                    if kind == RLC || kind == REL || kind == RSC {
                        self.last.remove(&circuit);
                    }
                    self.handle(Event::Received(from, &data(origin, circuit, kind)));
                }
            }
            Step::SetUp => {
                self.requested_set_ups += 1;
                let call = CallRef(self.requested_set_ups as u64);
                self.outgoing.insert(call, false);
                let set_up = SetUp { category: 10, number: "60312".into(), ..SetUp::default() };
                self.handle(Event::SetUp { server: 0, call, set_up });
            }
            Step::Answer(which) => {
                let waiting: Vec<CallRef> =
                    self.offered.iter().filter(|(_, answered)| !**answered).map(|(call, _)| *call).collect();
                if let Some(&call) = waiting.get(which % waiting.len().max(1)) {
                    self.offered.insert(call, true);
                    self.handle(Event::Answer { client: 0, call, description: "d".into() });
                }
            }
            Step::Release(which) => {
                let calls: Vec<CallRef> = self.offered.keys().chain(self.outgoing.keys()).copied().collect();
                if let Some(&call) = calls.get(which % calls.len().max(1)) {
                    let is_incoming = self.offered.remove(&call).is_some();
                    self.outgoing.remove(&call);
                    self.ended.insert(call);
                    let (cause, congestion) = (Cause::NORMAL, None);
                    self.handle(match is_incoming {
                        true => Event::Release { client: 0, call, cause, congestion },
                        false => Event::ReleaseToServer { server: 0, call, cause },
                    });
                }
            }
            Step::Wait(time) => {
                let until = self.now + time;
                while let Some(at) = self.office.next_timeout().filter(|at| *at <= until) {
                    self.now = self.now.max(at);
                    self.handle(Event::Timeout);
                }
                self.now = until;
            }
        }
    }
}

fn run(mode: TrafficMode, steps: Vec<Step>) {
    let mut checker = Checker {
        office: office(mode),
        now: 0,
        slots: [None; 2 * SLOTS],
        next: 0,
        open: BTreeSet::new(),
        active: BTreeSet::new(),
        last: BTreeMap::new(),
        offered: BTreeMap::new(),
        outgoing: BTreeMap::new(),
        requested_set_ups: 0,
        written_set_ups: 0,
        ended: BTreeSet::new(),
        broadcast: mode == TrafficMode::Broadcast,
    };
    steps.into_iter().for_each(|step| checker.step(step));
    // After an ASP has come up and reset all circuits, no call is left.
    for slot in 0..SLOTS {
        checker.step(Step::Close(slot));
    }
    checker.step(Step::Open(0));
    checker.step(Step::Signal(0, 0));
    checker.step(Step::Signal(0, 2));
    for circuit in 1..=4 {
        checker.step(Step::Isup(0, circuit, RSC));
        checker.step(Step::Isup(0, circuit, RLC));
    }
    assert!(checker.offered.is_empty(), "calls were not ended");
    assert!(checker.office.clients()[0].states().is_empty(), "{:?}", checker.office.clients()[0].states());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn traffic_follows_active_associations_and_calls_end_once(
        mode in prop::sample::select(vec![
            TrafficMode::Override,
            TrafficMode::Loadshare,
            TrafficMode::Broadcast,
        ]),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        run(mode, steps);
    }
}
