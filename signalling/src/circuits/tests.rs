use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::*;
use crate::isup::{Compatibility, Continuity, Range};

const CIRCUIT: Circuit = 2;
const CALL: CallRef = CallRef(7);

/// A bothway trunk of which this side controls the odd circuits.
fn bothway_config() -> Config {
    Config { equipped: Some((1, 4)), outgoing: true, controls: ControlledCircuits::Odd, ..Config::default() }
}

fn set_up() -> SetUp {
    SetUp { category: 10, number: "60312".into(), ..SetUp::default() }
}

fn states() -> Vec<State> {
    let set_up = || Box::new(set_up());
    let missing = |segment, continuity, digits| MissingParts { segment, continuity, digits };
    vec![
        State::Idle,
        State::Unknown,
        State::BusyAtPeer,
        State::IncompleteSetUp { call: CALL, set_up: set_up(), missing: missing(true, true, true) },
        State::ContinuityFailed,
        State::Checking,
        State::Offered { call: CALL, proceeding: false },
        State::IncomingEstablished { call: CALL },
        State::SetUpSent { call: CALL, set_up: set_up() },
        State::Proceeding { call: CALL },
        State::OutgoingEstablished { call: CALL },
        State::Releasing { cause: Cause::NORMAL, congestion: None },
        State::Resetting,
        State::Unequipped,
    ]
}

fn two_circuits(marks: [bool; 2]) -> Range {
    Range { additional: 1, status: marks.to_vec() }
}

/// Every message that the peer may send.
fn bodies() -> Vec<Body> {
    let text = String::new;
    let unknown = |compatibility| Body::Unknown { kind: 0x77, compatibility };
    let compatibility = Compatibility { release: true, notify: false, discard: true };
    vec![
        Body::SetUp(set_up()),
        Body::SubsequentAddress { digits: "3".into() },
        Body::Segment { description: "d".into() },
        Body::ContinuityResult { success: true },
        Body::ContinuityResult { success: false },
        Body::ContinuityCheckRequest,
        Body::AddressComplete { description: text() },
        Body::Progress,
        Body::Connect { description: text() },
        Body::Answer { description: text() },
        Body::Release { cause: Cause::BUSY, location: Location::User, congestion: Some(1) },
        Body::ReleaseComplete,
        Body::Suspend,
        Body::Resume,
        Body::InformationRequest,
        Body::Information,
        Body::ForwardTransfer,
        Body::LoopBackAck,
        Body::ResetCircuit,
        Body::Block,
        Body::Unblock,
        Body::BlockAck,
        Body::UnblockAck,
        Body::Unequipped,
        Body::Confusion { cause: Cause::TYPE_UNKNOWN },
        Body::ResetGroup(Range::spanning(2)),
        Body::ResetGroupAck(two_circuits([false, true])),
        Body::BlockGroup(Blocking::Maintenance, two_circuits([true, false])),
        Body::BlockGroup(Blocking::Hardware, two_circuits([true, false])),
        Body::UnblockGroup(Blocking::Maintenance, two_circuits([true, true])),
        Body::QueryGroup(Range::spanning(2)),
        Body::BlockGroupAck(Blocking::Maintenance, two_circuits([true, true])),
        unknown(None),
        unknown(Some(compatibility)),
        unknown(Some(Compatibility { release: false, ..compatibility })),
    ]
}

/// Every local request.
fn local_requests() -> Vec<Event> {
    vec![
        Event::Progress { call: CALL },
        Event::Answer { call: CALL, description: String::new() },
        Event::Release { call: CALL, cause: Cause::NORMAL, congestion: None },
        Event::ReleaseCircuit { circuit: CIRCUIT, cause: Cause::NORMAL },
        Event::Down,
        Event::Replaced,
        Event::Block(CIRCUIT, CIRCUIT, Blocking::Maintenance),
        Event::Block(CIRCUIT, CIRCUIT, Blocking::Hardware),
        Event::NumberAnalysed { circuit: CIRCUIT, complete: true },
    ]
}

fn describe(effects: Vec<Effect>) -> String {
    let parts = effects.into_iter().map(|effect| match effect {
        Effect::Send(message) => format!("send {}:{:02x}", message.circuit, message.body.kind()),
        Effect::SendBytes(circuit, bytes) => format!("send {circuit}:{:02x}", bytes[2]),
        Effect::Offer { .. } => "offer".into(),
        Effect::AnalyseNumber { number, .. } => format!("analyse {number}"),
        Effect::Abandoned { cause, .. } => format!("abandoned {}", cause.0),
        Effect::Progress { .. } => "progress".into(),
        Effect::Answered { .. } => "answered".into(),
        Effect::Ended { cause, was_established, .. } => {
            format!("ended {}{}", cause.0, if was_established { " established" } else { "" })
        }
        Effect::NoCircuit { .. } => "no circuit".into(),
        Effect::EstablishedChanged { .. } => "established changed".into(),
        Effect::Idle { .. } => "idle".into(),
        Effect::Disregarded { .. } => "-".into(),
        Effect::Alert { alert, .. } => format!("{alert:?}"),
    });
    parts.collect::<Vec<_>>().join(", ")
}

/// A trunk with a circuit in the given state and the timers of that state running.
fn trunk_in_state(state: State) -> Trunk {
    let mut trunk = Trunk::new(bothway_config(), 0);
    trunk.handle(0, Event::Up);
    trunk.set_state(CIRCUIT, state.clone());
    let timers: &[Timer] = match state {
        State::IncompleteSetUp { .. } => &[Timer::T34, Timer::T8, Timer::T35],
        State::ContinuityFailed | State::Checking => &[Timer::T27],
        State::SetUpSent { .. } => &[Timer::T7],
        State::Proceeding { .. } => &[Timer::T9],
        State::Releasing { .. } => &[Timer::T1, Timer::T5],
        State::Resetting => &[Timer::T16, Timer::T17],
        _ => &[],
    };
    for timer in timers {
        trunk.start_timer(0, CIRCUIT, *timer);
    }
    trunk.take_effects();
    trunk
}

/// Records the next state and the effects of every event in every state; a changed transition shows as a
/// difference in the snapshot.
#[test]
fn every_event_in_every_state() {
    let mut table = String::new();
    for state in states() {
        table += &format!("== {}\n", state.name());
        let mut row = |what: String, trunk: &mut Trunk| {
            let done = describe(trunk.take_effects());
            table += &format!("{what:<28} {:<18} {done}\n", trunk.state(CIRCUIT).name());
        };
        for body in bodies() {
            let mut trunk = trunk_in_state(state.clone());
            let what = match &body {
                Body::Unknown { compatibility: Some(requested), .. } if requested.release => {
                    "unknown, release".into()
                }
                Body::Unknown { compatibility: Some(_), .. } => "unknown, discard".into(),
                Body::ContinuityResult { success } => format!("05 success {success}"),
                Body::BlockGroup(blocking, _) => format!("18 {blocking:?}"),
                body => format!("{:02x}", body.kind()),
            };
            trunk.receive(1, Message::new(CIRCUIT, body), CallRef(8));
            row(what, &mut trunk);
        }
        for request in local_requests() {
            let mut trunk = trunk_in_state(state.clone());
            let what = format!("{request:?}");
            trunk.handle(1, request);
            row(what.split([' ', '(']).next().expect("an event name").into(), &mut trunk);
        }
        let mut trunk = trunk_in_state(state);
        for _ in 0..3 {
            let Some(next) = trunk.next_timeout() else { break };
            // A slot of the timer wheel may begin earlier than the timer expires.
            let mut at = next;
            while trunk.effects.is_empty() {
                trunk.handle(at, Event::Timeout);
                at = trunk.next_timeout().unwrap_or(at + 1_000);
            }
            row(format!("after {} s", at.min(next) / 1_000_000), &mut trunk);
        }
    }
    insta::assert_snapshot!(table);
}

#[derive(Clone, Debug)]
enum Step {
    Peer(Circuit, Body),
    /// The peer acknowledges the last message of this side on a circuit.
    Acknowledge(Circuit),
    SetUp,
    Answer(usize),
    Release(usize),
    Block(Circuit, bool),
    Down,
    Up,
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let circuit = || 1..=4u16;
    let body = prop::sample::select(bodies());
    let continuity = prop_oneof![Just(Continuity::NotRequired), Just(Continuity::Required)];
    let set_up_message = (continuity, any::<bool>())
        .prop_map(|(continuity, segmented)| Body::SetUp(SetUp { continuity, segmented, ..set_up() }));
    prop_oneof![
        3 => (circuit(), body).prop_map(|(circuit, body)| Step::Peer(circuit, body)),
        3 => (circuit(), set_up_message).prop_map(|(circuit, body)| Step::Peer(circuit, body)),
        5 => circuit().prop_map(Step::Acknowledge),
        4 => Just(Step::SetUp),
        2 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Release),
        1 => (circuit(), any::<bool>()).prop_map(|(circuit, on)| Step::Block(circuit, on)),
        1 => Just(Step::Down),
        1 => Just(Step::Up),
        2 => (0..400_000_000i64).prop_map(Step::Wait),
    ]
}

/// Checks a trunk by its effects alone, with its own record of calls and circuits.
#[derive(Default)]
struct Checker {
    now: Micros,
    /// Outgoing calls: the circuits with a set-up, and whether the call is established.
    outgoing: BTreeMap<CallRef, (Vec<Circuit>, bool)>,
    /// Incoming calls that were offered, and whether this side has answered them.
    incoming: BTreeMap<CallRef, bool>,
    ended: BTreeSet<CallRef>,
    /// Circuits whose blocking by the peer was acknowledged.
    blocked: BTreeSet<(Circuit, Blocking)>,
    /// The last unacknowledged message of this side, by circuit.
    unacknowledged: BTreeMap<Circuit, Body>,
    last_set_up: Option<CallRef>,
}

impl Checker {
    fn check(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendBytes(circuit, bytes) => {
                    assert_eq!(bytes[2], 1, "an encoded message that is not a set-up");
                    let blocked = self.blocked.iter().any(|(blocked, _)| *blocked == circuit);
                    assert!(!blocked, "set-up on blocked circuit {circuit}");
                    let call = self.call_on(circuit);
                    assert_eq!(call, None, "second call on circuit {circuit}");
                    let call = self.last_set_up.expect("a set-up was requested or moved");
                    assert!(!self.ended.contains(&call), "set-up sent after the end of the call");
                    let (circuits, established) = self.outgoing.get_mut(&call).expect("an outgoing call");
                    assert!(!*established && circuits.is_empty(), "two attempts at once");
                    circuits.push(circuit);
                }
                Effect::Send(Message { circuit, body }) => match &body {
                    Body::ResetGroupAck(range) => {
                        for circuit in circuit..circuit + range.circuits() as Circuit {
                            self.blocked.remove(&(circuit, Blocking::Maintenance));
                        }
                    }
                    Body::BlockAck => {
                        self.blocked.insert((circuit, Blocking::Maintenance));
                    }
                    Body::UnblockAck => {
                        self.blocked.remove(&(circuit, Blocking::Maintenance));
                    }
                    Body::BlockGroupAck(blocking, range) => {
                        self.blocked.extend(marked(circuit, range).map(|circuit| (circuit, *blocking)));
                    }
                    Body::UnblockGroupAck(blocking, range) => {
                        for circuit in marked(circuit, range) {
                            self.blocked.remove(&(circuit, *blocking));
                        }
                    }
                    Body::Release { .. }
                    | Body::ResetCircuit
                    | Body::Block
                    | Body::Unblock
                    | Body::BlockGroup(..)
                    | Body::UnblockGroup(..) => {
                        self.unacknowledged.insert(circuit, body);
                    }
                    _ => {}
                },
                Effect::Offer { call, .. } => {
                    assert!(self.incoming.insert(call, false).is_none(), "call offered twice");
                }
                Effect::Abandoned { call, .. } => {
                    assert!(self.incoming.remove(&call).is_some(), "call ended twice, or never offered");
                    assert!(self.ended.insert(call));
                }
                Effect::Answered { call, .. } => {
                    let (_, established) =
                        self.outgoing.get_mut(&call).expect("the call waits for its answer");
                    assert!(!std::mem::replace(established, true), "call answered twice");
                }
                Effect::Ended { call, was_established, .. } => {
                    let (_, established) =
                        self.outgoing.remove(&call).expect("call ended twice, or never sent");
                    assert_eq!(was_established, established);
                    assert!(self.ended.insert(call));
                }
                Effect::NoCircuit { call } => {
                    let (circuits, established) = self.outgoing.remove(&call).expect("call ended twice");
                    assert!(
                        !established && circuits.is_empty(),
                        "no circuit for a call whose set-up was sent"
                    );
                    assert!(self.ended.insert(call));
                }
                Effect::Progress { .. }
                | Effect::EstablishedChanged { .. }
                | Effect::Idle { .. }
                | Effect::AnalyseNumber { .. }
                | Effect::Disregarded { .. }
                | Effect::Alert { .. } => {}
            }
        }
    }

    fn call_on(&self, circuit: Circuit) -> Option<CallRef> {
        self.outgoing.iter().find(|(_, (circuits, _))| circuits.contains(&circuit)).map(|(call, _)| *call)
    }

    /// Records that an outgoing call moves to another circuit without an end: after a dual seizure of a
    /// circuit that the peer controls, and after UCIC. The first set-up then no longer counts.
    fn record_move(&mut self, circuit: Circuit, body: &Body) {
        let is_controlled = !circuit.is_multiple_of(2);
        if matches!(body, Body::SetUp(_)) && is_controlled {
            return;
        }
        if matches!(body, Body::SetUp(_) | Body::Unequipped) {
            if let Some(call) = self.call_on(circuit) {
                let (circuits, established) = self.outgoing.get_mut(&call).expect("the call on the circuit");
                if !*established {
                    circuits.clear();
                    self.last_set_up = Some(call);
                }
            }
        }
    }
}

fn marked(first: Circuit, range: &Range) -> impl Iterator<Item = Circuit> + '_ {
    (first..).zip(&range.status).filter(|(_, marked)| **marked).map(|(circuit, _)| circuit)
}

fn acknowledgement_of(body: &Body) -> Option<Body> {
    Some(match body {
        Body::Release { .. } | Body::ResetCircuit => Body::ReleaseComplete,
        Body::Block => Body::BlockAck,
        Body::Unblock => Body::UnblockAck,
        Body::BlockGroup(blocking, range) => Body::BlockGroupAck(*blocking, range.clone()),
        Body::UnblockGroup(blocking, range) => Body::UnblockGroupAck(*blocking, range.clone()),
        _ => return None,
    })
}

fn run_steps(steps: Vec<Step>) {
    let mut trunk = Trunk::new(bothway_config(), 0);
    let mut checker = Checker::default();
    let mut serial = 100;
    trunk.handle(0, Event::Up);
    for step in steps {
        let now = checker.now;
        match step {
            Step::Peer(circuit, body) => {
                serial += 1;
                // A call that has proceeded does not move. The checker takes the state from the trunk here,
                // and still checks the effects.
                let sent = matches!(trunk.state(circuit), State::SetUpSent { .. });
                if sent {
                    checker.record_move(circuit, &body);
                }
                let accepts_set_up =
                    matches!(trunk.state(circuit), State::Idle | State::Unequipped | State::SetUpSent { .. })
                        && !trunk.records.get(&circuit).is_some_and(|record| record.local.any());
                if matches!(body, Body::SetUp(_)) && accepts_set_up && (!sent || circuit.is_multiple_of(2)) {
                    // A set-up of the peer on a circuit that it has blocked removes its blocking.
                    checker.blocked.retain(|(blocked, _)| *blocked != circuit);
                }
                if body == Body::ResetCircuit {
                    checker.blocked.remove(&(circuit, Blocking::Maintenance));
                }
                trunk.receive(now, Message::new(circuit, body), CallRef(serial));
            }
            Step::Acknowledge(circuit) => {
                if let Some(answer) =
                    checker.unacknowledged.remove(&circuit).and_then(|body| acknowledgement_of(&body))
                {
                    trunk.receive(now, Message::new(circuit, answer), CallRef(0));
                }
            }
            Step::SetUp => {
                serial += 1;
                let call = CallRef(serial);
                checker.outgoing.insert(call, (Vec::new(), false));
                checker.last_set_up = Some(call);
                trunk.handle(now, Event::SetUp { call, set_up: set_up() });
            }
            Step::Answer(which) => {
                let open: Vec<CallRef> = checker
                    .incoming
                    .iter()
                    .filter(|(_, answered)| !**answered)
                    .map(|(call, _)| *call)
                    .collect();
                if !open.is_empty() {
                    let call = open[which % open.len()];
                    checker.incoming.insert(call, true);
                    trunk.handle(now, Event::Answer { call, description: String::new() });
                }
            }
            Step::Release(which) => {
                let open: Vec<CallRef> =
                    checker.outgoing.keys().chain(checker.incoming.keys()).copied().collect();
                if !open.is_empty() {
                    let call = open[which % open.len()];
                    checker.outgoing.remove(&call);
                    checker.incoming.remove(&call);
                    checker.ended.insert(call);
                    trunk.handle(now, Event::Release { call, cause: Cause::NORMAL, congestion: None });
                }
            }
            Step::Block(circuit, true) => {
                trunk.handle(now, Event::Block(circuit, circuit, Blocking::Maintenance))
            }
            Step::Block(circuit, false) => {
                trunk.handle(now, Event::Unblock(circuit, circuit, Blocking::Maintenance))
            }
            Step::Down => {
                // The user of the trunk ends the calls that are being set up by itself.
                checker.outgoing.retain(|_, (_, established)| *established);
                checker.incoming.retain(|_, answered| *answered);
                trunk.handle(now, Event::Down);
            }
            Step::Up => trunk.handle(now, Event::Up),
            Step::Wait(span) => {
                checker.now += span;
                while trunk.next_timeout().is_some_and(|at| at <= checker.now) {
                    let at = trunk.next_timeout().expect("a timer runs");
                    trunk.handle(at, Event::Timeout);
                    checker.check(trunk.take_effects());
                }
            }
        }
        checker.check(trunk.take_effects());
    }
    // After resets and acknowledgements of the peer every circuit is idle: none has leaked.
    trunk.handle(checker.now, Event::Up);
    for circuit in 1..=4 {
        trunk.handle(checker.now, Event::Unblock(circuit, circuit, Blocking::Maintenance));
        trunk.receive(checker.now, Message::new(circuit, Body::UnblockAck), CallRef(0));
        trunk.receive(checker.now, Message::new(circuit, Body::ResetCircuit), CallRef(0));
        trunk.receive(checker.now, Message::new(circuit, Body::ReleaseComplete), CallRef(0));
        for blocking in [Blocking::Maintenance, Blocking::Hardware] {
            let range = Range { additional: 1, status: vec![true, true] };
            trunk.receive(
                checker.now,
                Message::new(circuit.min(3), Body::UnblockGroup(blocking, range)),
                CallRef(0),
            );
        }
    }
    checker.check(trunk.take_effects());
    assert!(checker.outgoing.is_empty() && checker.incoming.is_empty(), "calls that have not ended");
    assert_eq!((trunk.free_count(), trunk.calls.len()), (4, 0), "{:?}", trunk.records);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    #[test]
    fn random_events_violate_no_invariant(steps in prop::collection::vec(step(), 1..40)) {
        run_steps(steps);
    }
}

fn reaction_to(trunk: &mut Trunk, now: Micros, circuit: Circuit, body: Body) -> String {
    trunk.receive(now, Message::new(circuit, body), CallRef(u64::from(circuit) + 50));
    describe(trunk.take_effects())
}

#[test]
fn dual_seizure_of_every_circuit_leaves_one_call_on_each() {
    let mut trunk = Trunk::new(bothway_config(), 0);
    trunk.handle(0, Event::Up);
    for call in 0..4 {
        trunk.handle(0, Event::SetUp { call: CallRef(call), set_up: set_up() });
    }
    assert_eq!(describe(trunk.take_effects()), "send 1:01, send 2:01, send 3:01, send 4:01");
    // This side controls the odd circuits. On the even ones its call is withdrawn, and no circuit is left.
    let reactions = ["", "idle, offer, no circuit", "", "idle, offer, no circuit"];
    for (circuit, expected) in (1..=4).zip(reactions) {
        assert_eq!(reaction_to(&mut trunk, 1, circuit, Body::SetUp(set_up())), expected, "circuit {circuit}");
    }
    assert_eq!(trunk.counts().dual_seizures, 4);
    // With a free circuit the call moves there at once: the peer has not processed the set-up.
    let mut trunk = Trunk::new(Config { equipped: Some((2, 3)), ..bothway_config() }, 0);
    trunk.handle(0, Event::Up);
    trunk.handle(0, Event::SetUp { call: CALL, set_up: set_up() });
    trunk.take_effects();
    assert_eq!(reaction_to(&mut trunk, 1, 2, Body::SetUp(set_up())), "idle, offer, send 3:01");
    assert_eq!(trunk.circuit(CALL), Some(3));
}

#[test]
fn a_set_up_is_offered_after_its_second_segment_and_continuity_check() {
    let mut trunk = Trunk::new(Config::default(), 0);
    trunk.handle(0, Event::Up);
    let first = SetUp { segmented: true, continuity: Continuity::Required, ..set_up() };
    assert_eq!(reaction_to(&mut trunk, 0, 9, Body::SetUp(first.clone())), "");
    assert_eq!(reaction_to(&mut trunk, 1, 9, Body::ContinuityResult { success: true }), "");
    assert_eq!(reaction_to(&mut trunk, 1, 9, Body::Segment { description: "rest".into() }), "offer");
    // The second segment is missing: after T34 the call is offered with the first alone.
    assert_eq!(reaction_to(&mut trunk, 1, 8, Body::SetUp(SetUp { segmented: true, ..set_up() })), "");
    trunk.handle(1_900_000, Event::Timeout);
    assert_eq!(describe(trunk.take_effects()), "");
    trunk.handle(2_100_000, Event::Timeout);
    assert_eq!(describe(trunk.take_effects()), "offer");
    // After a failed check nothing is offered, and the circuit is not idle until a check or release ends it.
    assert_eq!(reaction_to(&mut trunk, 1, 7, Body::SetUp(first)), "");
    let failed = reaction_to(&mut trunk, 1, 7, Body::ContinuityResult { success: false });
    assert_eq!(failed, "ContinuityFailed");
    assert_eq!(reaction_to(&mut trunk, 1, 7, Body::ContinuityCheckRequest), "send 7:24");
    let release = Body::Release { cause: Cause::NORMAL, location: Location::Transit, congestion: None };
    assert_eq!(reaction_to(&mut trunk, 2, 7, release), "idle, send 7:10");
}

#[test]
fn overlap_digits_are_collected_until_the_number_is_complete() {
    let mut trunk = Trunk::new(Config { overlap: true, ..Config::default() }, 0);
    trunk.handle(0, Event::Up);
    assert_eq!(reaction_to(&mut trunk, 0, 5, Body::SetUp(set_up())), "analyse 60312");
    let more = || Body::SubsequentAddress { digits: "34".into() };
    assert_eq!(reaction_to(&mut trunk, 0, 5, more()), "analyse 6031234");
    trunk.handle(0, Event::NumberAnalysed { circuit: 5, complete: true });
    assert_eq!(describe(trunk.take_effects()), "offer");
    assert_eq!(reaction_to(&mut trunk, 0, 5, more()), "-", "late digits are discarded");
    // T35 expires without further digits.
    reaction_to(&mut trunk, 0, 6, Body::SetUp(set_up()));
    trunk.handle(15_001_000, Event::Timeout);
    assert_eq!(describe(trunk.take_effects()), "send 6:0c");
}

#[test]
fn circuits_are_seized_in_the_order_of_the_selection_method() {
    let table = [
        (Selection::Sequential, [1, 1, 2, 3]),
        (Selection::MostIdle, [1, 2, 3, 4]),
        (Selection::OwnFirst, [1, 1, 3, 2]),
    ];
    for (selection, expected) in table {
        let mut trunk = Trunk::new(Config { selection, ..bothway_config() }, 0);
        trunk.handle(0, Event::Up);
        let mut seized = Vec::new();
        for call in 0..4 {
            trunk.handle(0, Event::SetUp { call: CallRef(call), set_up: set_up() });
            let circuit = trunk.circuit(CallRef(call)).expect("a circuit is free");
            seized.push(circuit);
            // The first call ends at once, so its circuit has been idle for the shortest time.
            if call == 0 {
                let cause = Cause::NORMAL;
                trunk.handle(0, Event::Release { call: CallRef(0), cause, congestion: None });
                trunk.receive(0, Message::new(circuit, Body::ReleaseComplete), CallRef(0));
            }
        }
        assert_eq!(seized, expected, "{selection:?}");
    }
}

/// Recovery of a peer with 4,096 circuits after a start: the number of pending queries is limited, and
/// established calls continue.
#[test]
fn unknown_circuits_are_queried_in_groups_with_limited_concurrency() {
    let config = Config {
        equipped: Some((0, HIGHEST_CIRCUIT)),
        outgoing: true,
        on_start: OnStart::Query,
        ..Config::default()
    };
    let mut trunk = Trunk::new(config, 0);
    assert_eq!(trunk.free_count(), 0);
    trunk.handle(0, Event::Up);
    let mut asked = 0;
    let mut out: VecDeque<Message> = VecDeque::new();
    loop {
        for effect in trunk.take_effects() {
            if let Effect::Send(message) = effect {
                asked += 1;
                out.push_back(message);
            }
        }
        assert!(out.len() <= 4, "{} pending queries", out.len());
        let Some(Message { circuit, body: Body::QueryGroup(range) }) = out.pop_front() else { break };
        // One circuit in ten carries a call.
        let state = |circuit: Circuit| crate::isup::CircuitState::Equipped {
            call_processing: if circuit.is_multiple_of(10) {
                crate::isup::CallProcessing::Incoming
            } else {
                crate::isup::CallProcessing::Idle
            },
            maintenance: Default::default(),
            hardware: Default::default(),
        };
        let states = (0..range.circuits() as Circuit).map(|place| state(circuit + place)).collect();
        trunk.receive(0, Message::new(circuit, Body::QueryGroupResponse(range, states)), CallRef(0));
    }
    assert_eq!((asked, trunk.free_count()), (128, 4096 - 410));
    assert_eq!(trunk.states(), BTreeMap::from([("foreign", 410)]));
    // The peer releases one of these: RLC answers, and the circuit may be seized.
    let release = Body::Release { cause: Cause::NORMAL, location: Location::User, congestion: None };
    assert_eq!(reaction_to(&mut trunk, 0, 10, release), "idle, send 10:10");
    assert_eq!(trunk.free_count(), 4096 - 409);
}

#[test]
fn a_group_reset_ends_each_call_once_while_answers_are_in_transit() {
    let mut trunk = Trunk::new(bothway_config(), 0);
    trunk.handle(0, Event::Up);
    for call in 0..2 {
        trunk.handle(0, Event::SetUp { call: CallRef(call), set_up: set_up() });
    }
    reaction_to(&mut trunk, 0, 1, Body::Answer { description: String::new() });
    let done = reaction_to(&mut trunk, 1, 1, Body::ResetGroup(Range::spanning(2)));
    assert_eq!(done, "ended 41 established, idle, ended 41, idle, send 1:29");
    // The answer that crossed the reset finds an idle circuit, and causes a reset.
    let late = reaction_to(&mut trunk, 1, 2, Body::Answer { description: String::new() });
    assert_eq!(late, "StateMismatch, send 2:12");
}

/// The end of a call that was restored after a restart is reported once, whichever side ends it.
#[test]
fn the_end_of_a_restored_call_is_reported_once() {
    let release = |cause| Body::Release { cause, location: Location::User, congestion: None };
    let table: [(bool, OnStart, Event, &str); 6] = [
        (
            true,
            OnStart::Trust,
            Event::Received { message: Message::new(1, release(Cause::NORMAL)), call: CALL },
            "abandoned 16, established changed, idle, send 1:10",
        ),
        (
            false,
            OnStart::Trust,
            Event::Received { message: Message::new(1, release(Cause::NORMAL)), call: CALL },
            "ended 16 established, established changed, idle, send 1:10",
        ),
        (
            false,
            OnStart::Query,
            Event::Release { call: CALL, cause: Cause::NORMAL, congestion: None },
            "established changed, send 1:0c",
        ),
        (true, OnStart::Trust, Event::Replaced, "abandoned 41, established changed, idle"),
        (true, OnStart::Reset, Event::Up, "abandoned 41, established changed, send 1:17"),
        (false, OnStart::Query, Event::Up, "send 1:2a"),
    ];
    for (incoming, on_start, event, expected) in table {
        let mut trunk = Trunk::new(Config { on_start, reports_established: true, ..bothway_config() }, 0);
        trunk.restore(1, CALL, incoming);
        assert_eq!(describe(trunk.take_effects()), "");
        trunk.handle(0, event);
        assert_eq!(describe(trunk.take_effects()), expected, "{incoming} {on_start:?}");
    }
    // The peer reports the circuit idle: the call ended while this process was down.
    let mut trunk =
        Trunk::new(Config { on_start: OnStart::Query, reports_established: true, ..bothway_config() }, 0);
    trunk.restore(1, CALL, true);
    trunk.handle(0, Event::Up);
    trunk.take_effects();
    let (maintenance, hardware) = Default::default();
    let idle = crate::isup::CircuitState::Equipped {
        call_processing: crate::isup::CallProcessing::Idle,
        maintenance,
        hardware,
    };
    let answer = Body::QueryGroupResponse(Range::spanning(4), vec![idle; 4]);
    let ended = reaction_to(&mut trunk, 0, 1, answer);
    assert!(ended.starts_with("StateMismatch, abandoned 41, established changed, send 1:0c"), "{ended}");
}
