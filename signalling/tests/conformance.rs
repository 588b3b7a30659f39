//! The conformance suite against the engines in this process, with a simulated clock.

use std::collections::{BTreeMap, VecDeque};

use steprelay_signalling::cause::Cause;
use steprelay_signalling::circuits::{self, CallRef, OnStart};
use steprelay_signalling::conformance::{
    self, Outcome, Received, Subject, ROUTING_CONTEXT, SUBJECT_POINT_CODE, TESTER_POINT_CODE,
};
use steprelay_signalling::isup::{Blocking, SetUp};
use steprelay_signalling::m3ua::gateway::{self, Association, Route};
use steprelay_signalling::m3ua::{self, asp, ErrorCode, Kind, TrafficMode};
use steprelay_signalling::office::{Config, Destination, Effect, Event, Office, ServerConfig};
use steprelay_signalling::trie::PrefixTrie;
use steprelay_signalling::Micros;

const SECOND: Micros = 1_000_000;
/// The point code of the second client.
const SECOND_CLIENT: u32 = 2002;
/// The point code of a server that is never connected.
const UNCONNECTED_SERVER: u32 = 3001;

#[derive(Default)]
struct Connection {
    inbound: Vec<u8>,
    received: VecDeque<Vec<u8>>,
    closed: bool,
}

/// The engines, with call control that acts on the steps of a case.
struct Engine {
    office: Office,
    now: Micros,
    is_asp: bool,
    connections: Vec<Connection>,
    serial: u64,
    /// The latest offered call of each circuit.
    calls: BTreeMap<u16, CallRef>,
    /// Calls to the server, in order of their set-up.
    outgoing: Vec<CallRef>,
    /// Calls that the server has answered.
    answered: Vec<CallRef>,
    /// The causes of ended calls to the server, not yet checked by a case.
    ended: VecDeque<u8>,
    route: Route,
    level: u8,
}

fn client(point_code: u32, routing_context: u32) -> gateway::ServerConfig {
    gateway::ServerConfig {
        point_code,
        routing_context,
        mode: TrafficMode::Override,
        min_active_asps: 1,
        identifiers: Vec::new(),
        allows_registration: false,
    }
}

fn config(profile: &str) -> Config {
    let mut first = client(TESTER_POINT_CODE, ROUTING_CONTEXT);
    let mut circuits = circuits::Config::default();
    let mut heartbeat_interval = 0;
    match profile {
        "identified" => first.identifiers = vec![5, 6],
        "beats" => heartbeat_interval = SECOND / 2,
        "loadshare" => (first.mode, first.min_active_asps) = (TrafficMode::Loadshare, 2),
        "broadcast" => first.mode = TrafficMode::Broadcast,
        "registering" => first.allows_registration = true,
        "overlap" => circuits.overlap = true,
        "small" => circuits.equipped = Some((1, 30)),
        _ => {}
    }
    let mut clients = vec![first];
    if profile == "two" {
        clients.push(client(SECOND_CLIENT, ROUTING_CONTEXT + 1));
    }
    let is_asp = profile.starts_with("member");
    let shared = profile == "member-shared";
    let server = ServerConfig {
        asp: asp::Config {
            point_code: SUBJECT_POINT_CODE,
            peer_point_code: if is_asp { TESTER_POINT_CODE } else { UNCONNECTED_SERVER },
            network: 2,
            routing_context: ROUTING_CONTEXT,
            mode: if shared { TrafficMode::Loadshare } else { TrafficMode::Override },
            sends_mode: shared,
            identifier: (profile == "member-identified").then_some(9),
            ack_timeout: 700_000,
            max_attempts: 3,
            audit_interval: if profile == "member-audit" { SECOND } else { 0 },
        },
        circuits: circuits::Config {
            equipped: Some((1, if ["member-query", "member-reset"].contains(&profile) { 4 } else { 30 })),
            incoming: false,
            outgoing: true,
            max_message_len: (profile == "member-segments").then_some(100),
            on_start: match profile {
                "member-query" => OnStart::Query,
                "member-reset" => OnStart::Reset,
                _ => OnStart::Trust,
            },
            ..circuits::Config::default()
        },
    };
    let to = Destination { number: 0, digits: 7 };
    Config {
        gateway: gateway::Config {
            point_code: SUBJECT_POINT_CODE,
            network: 2,
            recovery_timeout: 2 * SECOND,
            queue_capacity: 16,
            heartbeat_interval,
            max_missed_heartbeats: 2,
            asp_up_timeout: 2_500_000,
            max_asps_per_server: 4,
            servers: clients.clone(),
        },
        clients: clients.iter().map(|_| circuits.clone()).collect(),
        servers: vec![server],
        destinations: PrefixTrie::new([("603".to_string(), to)]).expect("digits"),
    }
}

impl Engine {
    fn new() -> Self {
        Engine {
            office: Office::new(config("default"), Box::new(|_, _| CallRef(0)), 0),
            now: 0,
            is_asp: false,
            connections: Vec::new(),
            serial: 0,
            calls: BTreeMap::new(),
            outgoing: Vec::new(),
            answered: Vec::new(),
            ended: VecDeque::new(),
            route: Route::Available,
            level: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        self.office.handle(self.now, event);
        for effect in self.office.take_effects() {
            match effect {
                Effect::Write(Association(connection), bytes) => {
                    self.connections[connection as usize].received.push_back(bytes);
                }
                Effect::Close(Association(connection)) => self.connections[connection as usize].closed = true,
                Effect::Offer { client, call, set_up } if ![10, 11].contains(&set_up.category) => {
                    let (cause, congestion) = (Cause::PROTOCOL, None);
                    self.handle(Event::Release { client, call, cause, congestion });
                }
                Effect::Offer { call, .. } => {
                    self.calls.insert(call.0 as u16, call);
                }
                Effect::Answered { call, .. } => self.answered.push(call),
                Effect::Ended { cause, .. } => self.ended.push_back(cause.0),
                Effect::Route { route, .. } => self.route = route,
                Effect::Congested { level, .. } => self.level = level,
                _ => {}
            }
        }
    }

    /// The call on a circuit.
    fn call(&self, circuit: u16) -> Option<CallRef> {
        if self.is_asp {
            let trunk = &self.office.servers()[0].1;
            return self.outgoing.iter().copied().find(|call| trunk.circuit(*call) == Some(circuit));
        }
        self.calls.get(&circuit).copied()
    }
}

impl Subject for Engine {
    fn reset(&mut self, profile: &str) -> Result<(), String> {
        let mut serial = 0;
        let name = move |_, circuit| {
            serial += 1;
            CallRef(serial << 16 | u64::from(circuit))
        };
        let office = Office::new(config(profile), Box::new(name), 0);
        *self = Engine { office, is_asp: profile.starts_with("member"), ..Engine::new() };
        Ok(())
    }

    fn open(&mut self, connection: usize) {
        assert_eq!(connection, self.connections.len(), "connections are opened in order");
        self.connections.push(Connection::default());
        let association = Association(connection as u64);
        self.handle(match self.is_asp {
            true => Event::ServerOpened(0, association),
            false => Event::ClientOpened(association),
        });
    }

    fn send(&mut self, connection: usize, bytes: &[u8]) {
        let association = Association(connection as u64);
        self.connections[connection].inbound.extend(bytes);
        loop {
            let inbound = &mut self.connections[connection].inbound;
            match m3ua::split(inbound) {
                m3ua::Split::Whole(length) => {
                    let message: Vec<u8> = inbound.drain(..length).collect();
                    self.handle(Event::Received(association, &message));
                }
                m3ua::Split::Partial => return,
                // The sockets of the call agent do the same.
                m3ua::Split::Broken => {
                    let error = m3ua::message(
                        Kind::Err,
                        &[(m3ua::tag::ERROR_CODE, &[0, 0, 0, ErrorCode::Protocol as u8])],
                    );
                    self.connections[connection].received.push_back(error);
                    self.connections[connection].closed = true;
                    return self.handle(Event::Closed(association));
                }
            }
        }
    }

    fn receive(&mut self, connection: usize) -> Received {
        let connection = &mut self.connections[connection];
        match connection.received.pop_front() {
            Some(bytes) => Received::Message(bytes),
            None if connection.closed => Received::Closed,
            None => Received::Nothing,
        }
    }

    fn wait(&mut self, time: Micros) -> Result<(), String> {
        let until = self.now + time;
        while let Some(at) = self.office.next_timeout().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.handle(Event::Timeout);
        }
        self.now = until;
        Ok(())
    }

    fn control(&mut self, action: &str) -> Result<(), Outcome> {
        let words: Vec<&str> = action.split(' ').collect();
        let number = |place: usize| words.get(place).and_then(|word| word.parse::<u16>().ok());
        let failed = |reason: &str| Err(Outcome::Failed(format!("! {action}: {reason}")));
        let check = |holds: bool| if holds { Ok(()) } else { failed("does not hold") };
        let client = 0;
        match (words[0], number(1), number(2)) {
            ("hold", ..) => {}
            ("answer" | "late", Some(circuit), _) => {
                let Some(call) = self.call(circuit) else { return failed("no such call was offered") };
                self.handle(Event::Answer { client, call, description: "d".into() });
            }
            ("refuse", Some(circuit), wait) => {
                let Some(call) = self.call(circuit) else { return failed("no such call was offered") };
                let congestion = wait.map(|wait| if wait >= 1000 { 2 } else { 1 });
                self.handle(Event::Release { client, call, cause: Cause::CONGESTION, congestion });
            }
            ("end", Some(circuit), Some(cause)) => {
                let Some(call) = self.call(circuit) else { return failed("no call on this circuit") };
                let cause = Cause(cause as u8);
                self.handle(match self.is_asp {
                    true => Event::ReleaseToServer { server: 0, call, cause },
                    false => Event::Release { client, call, cause, congestion: None },
                });
            }
            ("block" | "unblock", Some(first), Some(last)) => {
                let (reason, is_blocked) = (Blocking::Maintenance, words[0] == "block");
                self.handle(Event::Block { client, first, last, reason, is_blocked });
            }
            ("audit", ..) => self.handle(Event::Audit { client }),
            ("pressure", Some(level), _) => {
                self.handle(Event::LocalState { route: Route::Available, level: level as u8 })
            }
            ("drain", ..) => self.handle(Event::LocalState { route: Route::Restricted, level: 0 }),
            ("set-up", ..) => {
                self.serial += 1;
                let call = CallRef(self.serial);
                self.outgoing.push(call);
                let (number, description) = ("60312".to_string(), "d".repeat(110));
                let set_up = SetUp { category: 10, number, description, ..SetUp::default() };
                self.handle(Event::SetUp { server: 0, call, set_up });
            }
            ("ended", Some(cause), _) => return check(self.ended.pop_front() == Some(cause as u8)),
            ("stands", Some(circuit), _) => {
                return check(self.call(circuit).is_some_and(|call| self.answered.contains(&call)));
            }
            ("congested", Some(level), _) => return check(u16::from(self.level) == level),
            ("route", ..) => return check(format!("{:?}", self.route).to_lowercase() == words[1]),
            _ => return failed("unknown action"),
        }
        Ok(())
    }

    fn is_asp(&self) -> bool {
        self.is_asp
    }
}

#[test]
fn engines_pass_every_case() {
    let cases = conformance::suite().expect("the suite is valid");
    assert!(cases.len() >= 150, "{} cases", cases.len());
    let mut engine = Engine::new();
    let mut failed = Vec::new();
    for case in &cases {
        let outcome = conformance::run(case, &mut engine);
        if outcome != Outcome::Passed {
            failed.push(format!("{} ({}): {outcome:?}", case.name, case.section));
        }
    }
    assert!(failed.is_empty(), "{} of {}:\n{}", failed.len(), cases.len(), failed.join("\n"));
}

#[test]
fn unmet_expectations_fail_the_case() {
    let text = "one | x | down | y | > ASPUP | < ASPDN-ACK\ntwo | x | down | y | > ASPUP | < ASPUP-ACK rc=1";
    let cases = conformance::parse("t", text).expect("well formed");
    let outcomes: Vec<_> = cases.iter().map(|case| conformance::run(case, &mut Engine::new())).collect();
    assert!(outcomes.iter().all(|outcome| matches!(outcome, Outcome::Failed(_))), "{outcomes:?}");
}

#[test]
fn syntax_errors_name_file_and_line() {
    let table = [
        ("a | b", "t, line 1: a case needs a name, a section, a start, a purpose and steps"),
        ("\na | b | here | c | quiet", "t, line 2: unknown start 'here'"),
        ("a | b | down | c | > ASPUP", "t, line 1: a case needs a step that expects something"),
        ("a | b | down | c | < NOPE", "t, line 1: unknown message 'NOPE'"),
        ("a | b | down | c | < call 1 IAM 0", "t, line 1: invalid octets '0'"),
        ("@profile x\n@nothing", "t, line 2: unknown directive 'nothing'"),
    ];
    for (text, message) in table {
        assert_eq!(conformance::parse("t", text).expect_err("invalid").to_string(), message);
    }
}
