//! The conformance suite, run against the engines with a clock that is handed in.

use std::collections::{BTreeMap, VecDeque};

use steprelay_signalling::cause::Cause;
use steprelay_signalling::circuits::{self, CallRef, OnStart};
use steprelay_signalling::conformance::{self, Heard, Outcome, Subject, CONTEXT, OURS, PEER};
use steprelay_signalling::isup::{Blocking, SetUp};
use steprelay_signalling::m3ua::gateway::{self, Association, Route};
use steprelay_signalling::m3ua::{self, member, Fault, Kind, TrafficMode};
use steprelay_signalling::office::{Config, Destination, Effect, Event, Office, ServerConfig};
use steprelay_signalling::trie::PrefixTrie;
use steprelay_signalling::Micros;

const SECOND: Micros = 1_000_000;
/// The second client's point code, and that of a server which is never connected.
const OTHER: u32 = 2002;
const SERVER: u32 = 3001;

#[derive(Default)]
struct Connection {
    inbound: Vec<u8>,
    heard: VecDeque<Vec<u8>>,
    closed: bool,
}

/// The engines, with call control that does what a case says.
struct Engine {
    office: Office,
    now: Micros,
    member: bool,
    connections: Vec<Connection>,
    serial: u64,
    /// Calls by circuit, the latest ones.
    calls: BTreeMap<u16, CallRef>,
    made: Vec<CallRef>,
    stood: Vec<CallRef>,
    ended: VecDeque<u8>,
    route: Route,
    level: u8,
}

fn client(point_code: u32, routing_context: u32) -> gateway::ServerConfig {
    gateway::ServerConfig {
        point_code,
        routing_context,
        mode: TrafficMode::Override,
        needed: 1,
        identifiers: Vec::new(),
        registration: false,
    }
}

fn config(profile: &str) -> Config {
    let mut first = client(PEER, CONTEXT);
    let mut circuits = circuits::Config::default();
    let mut beat = 0;
    match profile {
        "identified" => first.identifiers = vec![5, 6],
        "beats" => beat = SECOND / 2,
        "loadshare" => (first.mode, first.needed) = (TrafficMode::Loadshare, 2),
        "broadcast" => first.mode = TrafficMode::Broadcast,
        "registering" => first.registration = true,
        "overlap" => circuits.overlap = true,
        "small" => circuits.equipped = Some((1, 30)),
        _ => {}
    }
    let mut clients = vec![first];
    if profile == "two" {
        clients.push(client(OTHER, CONTEXT + 1));
    }
    let member = profile.starts_with("member");
    let shared = profile == "member-shared";
    let server = ServerConfig {
        member: member::Config {
            point_code: OURS,
            peer: if member { PEER } else { SERVER },
            network: 2,
            routing_context: CONTEXT,
            mode: if shared { TrafficMode::Loadshare } else { TrafficMode::Override },
            names_mode: shared,
            identifier: (profile == "member-identified").then_some(9),
            ack: 700_000,
            tries: 3,
            audit: if profile == "member-audit" { SECOND } else { 0 },
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
            point_code: OURS,
            network: 2,
            recovery: 2 * SECOND,
            queue: 16,
            beat,
            beat_misses: 2,
            coming_up: 2_500_000,
            most_of_one: 4,
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
            member: false,
            connections: Vec::new(),
            serial: 0,
            calls: BTreeMap::new(),
            made: Vec::new(),
            stood: Vec::new(),
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
                    self.connections[connection as usize].heard.push_back(bytes);
                }
                Effect::Close(Association(connection)) => self.connections[connection as usize].closed = true,
                Effect::Offer { client, call, set_up } if ![10, 11].contains(&set_up.category) => {
                    let (cause, congestion) = (Cause::PROTOCOL, None);
                    self.handle(Event::Release { client, call, cause, congestion });
                }
                Effect::Offer { call, .. } => {
                    self.calls.insert(call.0 as u16, call);
                }
                Effect::Answered { call, .. } => self.stood.push(call),
                Effect::Ended { cause, .. } => self.ended.push_back(cause.0),
                Effect::Route { route, .. } => self.route = route,
                Effect::Congested { level, .. } => self.level = level,
                _ => {}
            }
        }
    }

    /// The call that is meant by its circuit.
    fn call(&self, circuit: u16) -> Option<CallRef> {
        if self.member {
            let trunk = &self.office.servers()[0].1;
            return self.made.iter().copied().find(|call| trunk.circuit(*call) == Some(circuit));
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
        *self = Engine { office, member: profile.starts_with("member"), ..Engine::new() };
        Ok(())
    }

    fn open(&mut self, connection: usize) {
        assert_eq!(connection, self.connections.len(), "connections are opened in order");
        self.connections.push(Connection::default());
        let association = Association(connection as u64);
        self.handle(match self.member {
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
                // What the sockets do about it.
                m3ua::Split::Broken => {
                    let told = m3ua::message(
                        Kind::Err,
                        &[(m3ua::tag::ERROR_CODE, &[0, 0, 0, Fault::Protocol as u8])],
                    );
                    self.connections[connection].heard.push_back(told);
                    self.connections[connection].closed = true;
                    return self.handle(Event::Closed(association));
                }
            }
        }
    }

    fn hear(&mut self, connection: usize) -> Heard {
        let connection = &mut self.connections[connection];
        match connection.heard.pop_front() {
            Some(bytes) => Heard::Message(bytes),
            None if connection.closed => Heard::Closed,
            None => Heard::Nothing,
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

    fn control(&mut self, what: &str) -> Result<(), Outcome> {
        let words: Vec<&str> = what.split(' ').collect();
        let number = |place: usize| words.get(place).and_then(|word| word.parse::<u16>().ok());
        let failed = |why: &str| Err(Outcome::Failed(format!("! {what}: {why}")));
        let same = |same: bool| if same { Ok(()) } else { failed("it is not so") };
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
                let Some(call) = self.call(circuit) else { return failed("there is no such call") };
                let cause = Cause(cause as u8);
                self.handle(match self.member {
                    true => Event::End { server: 0, call, cause },
                    false => Event::Release { client, call, cause, congestion: None },
                });
            }
            ("block" | "unblock", Some(first), Some(last)) => {
                let (why, on) = (Blocking::Maintenance, words[0] == "block");
                self.handle(Event::Block { client, first, last, why, on });
            }
            ("audit", ..) => self.handle(Event::Audit { client }),
            ("pressure", Some(level), _) => {
                self.handle(Event::Ourselves { route: Route::Available, level: level as u8 })
            }
            ("drain", ..) => self.handle(Event::Ourselves { route: Route::Restricted, level: 0 }),
            ("set-up", ..) => {
                self.serial += 1;
                let call = CallRef(self.serial);
                self.made.push(call);
                let (number, description) = ("60312".to_string(), "d".repeat(110));
                let set_up = SetUp { category: 10, number, description, ..SetUp::default() };
                self.handle(Event::SetUp { server: 0, call, set_up });
            }
            ("ended", Some(cause), _) => return same(self.ended.pop_front() == Some(cause as u8)),
            ("stands", Some(circuit), _) => {
                return same(self.call(circuit).is_some_and(|call| self.stood.contains(&call)));
            }
            ("congested", Some(level), _) => return same(u16::from(self.level) == level),
            ("route", ..) => return same(format!("{:?}", self.route).to_lowercase() == words[1]),
            _ => return failed("nobody can do that"),
        }
        Ok(())
    }

    fn comes_up(&self) -> bool {
        self.member
    }
}

#[test]
fn the_engines_pass_every_case() {
    let cases = conformance::suite().expect("the files are good");
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
fn a_case_that_does_not_hold_is_told() {
    let text = "one | x | down | y | > ASPUP | < ASPDN-ACK\ntwo | x | down | y | > ASPUP | < ASPUP-ACK rc=1";
    let cases = conformance::read("t", text).expect("well formed");
    let outcomes: Vec<_> = cases.iter().map(|case| conformance::run(case, &mut Engine::new())).collect();
    assert!(outcomes.iter().all(|outcome| matches!(outcome, Outcome::Failed(_))), "{outcomes:?}");
}

#[test]
fn what_is_wrong_in_a_file_is_told_with_its_line() {
    let table = [
        ("a | b", "t, line 1: a case has a name, a section, a start, what it shows, and steps"),
        ("\na | b | here | c | quiet", "t, line 2: no start 'here'"),
        ("a | b | down | c | > ASPUP", "t, line 1: a case without anything to expect shows nothing"),
        ("a | b | down | c | < NOPE", "t, line 1: no message 'NOPE'"),
        ("a | b | down | c | < call 1 IAM 0", "t, line 1: no octets '0'"),
        ("@profile x\n@nothing", "t, line 2: no directive 'nothing'"),
    ];
    for (text, told) in table {
        assert_eq!(conformance::read("t", text).expect_err("bad").to_string(), told);
    }
}
