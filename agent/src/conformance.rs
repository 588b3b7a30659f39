//! Runs the conformance suite against a peer that listens on a loopback address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};
use steprelay_signalling::conformance::{self, Case, CaseError, Outcome, Received, Subject};
use steprelay_signalling::isup::{Blocking, Body, Message, Range};
use steprelay_signalling::m3ua::{self, tag, Kind, ProtocolData, Split};
use steprelay_signalling::Micros;

#[derive(Debug, thiserror::Error)]
pub enum ConformanceError {
    #[error("conformance: {0} is no loopback address; the suite sends what no peer in service should get")]
    NotLoopback(SocketAddr),
    #[error("conformance: {0}: {1}")]
    Unreachable(SocketAddr, std::io::Error),
    #[error("conformance: {0}")]
    Case(#[from] CaseError),
    #[error("conformance: {0} cases failed")]
    Failed(usize),
}

/// What is asked for on the command line.
pub struct Wanted {
    pub address: SocketAddr,
    /// How the peer is configured, as the cases name it.
    pub profile: String,
    /// The longest time that a case may let pass.
    pub patience: Duration,
    pub json: bool,
    /// Cases whose names start so; all for an empty one.
    pub only: String,
}

/// A message comes within this, or not at all.
const PROMPT: Duration = Duration::from_millis(1500);
/// Circuits that cases leave in some state, to be reset before the next.
const USED: [u16; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 31, 4095];

struct Peer {
    wanted: Wanted,
    connections: Vec<Connection>,
}

struct Connection {
    stream: TcpStream,
    inbound: Vec<u8>,
    closed: bool,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, PROMPT)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, inbound: Vec::new(), closed: false })
    }

    fn send(&mut self, bytes: &[u8]) {
        // One that was closed shows when it is read.
        let _ = self.stream.write_all(bytes);
    }

    fn receive(&mut self) -> Received {
        let until = Instant::now() + PROMPT;
        loop {
            match m3ua::split(&self.inbound) {
                Split::Whole(length) => return Received::Message(self.inbound.drain(..length).collect()),
                Split::Broken => return Received::Message(std::mem::take(&mut self.inbound)),
                Split::Partial => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if self.closed || left.is_zero() {
                return if self.closed { Received::Closed } else { Received::Nothing };
            }
            let mut bytes = [0; 4096];
            let read = self.stream.set_read_timeout(Some(left)).and_then(|()| self.stream.read(&mut bytes));
            match read {
                Ok(0) => self.closed = true,
                Ok(read) => self.inbound.extend(&bytes[..read]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => self.closed = true,
            }
        }
    }
}

impl Peer {
    /// Leaves the peer as a case expects it: no call on the circuits that cases use.
    fn clear(&self) -> std::io::Result<()> {
        let mut connection = Connection::open(self.wanted.address)?;
        connection.send(&m3ua::message(Kind::AspUp, &[]));
        let context = conformance::ROUTING_CONTEXT.to_be_bytes();
        connection.send(&m3ua::message(Kind::AspActive, &[(tag::ROUTING_CONTEXT, &context)]));
        let all = |why| Body::UnblockGroup(why, Range { additional: 7, status: vec![true; 8] });
        let groups = [Blocking::Maintenance, Blocking::Hardware].map(|why| (1, all(why)));
        let resets = USED.into_iter().flat_map(|circuit| {
            // The confirmation is for a reset of the peer's that is still out.
            [Body::ResetCircuit, Body::ReleaseComplete, Body::Unblock].map(|body| (circuit, body))
        });
        for (circuit, body) in resets.chain(groups) {
            let payload = Message::new(circuit, body).to_bytes();
            let (origin, destination) = (conformance::TESTER_POINT_CODE, conformance::SUBJECT_POINT_CODE);
            let data = ProtocolData {
                origin,
                destination,
                service: m3ua::ISUP,
                network: 2,
                selection: 0,
                payload: &payload,
            };
            connection.send(&data.message(conformance::ROUTING_CONTEXT, None).expect("it is short"));
        }
        connection.send(&m3ua::message(Kind::Beat, &[]));
        loop {
            match connection.receive() {
                Received::Message(bytes) if bytes.get(2..4) == Some(&[3, 6]) => return Ok(()),
                Received::Message(bytes) => {
                    if let Some(answer) = confirmation(&bytes) {
                        connection.send(&answer);
                    }
                }
                Received::Closed | Received::Nothing => return Ok(()),
            }
        }
    }
}

/// Confirms a reset or a release of the peer's.
fn confirmation(bytes: &[u8]) -> Option<Vec<u8>> {
    let message = m3ua::Message::read(bytes).ok()?;
    let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA)?).ok()?;
    let Message { circuit, body } = Message::read(data.payload).ok()?;
    if !matches!(body, Body::ResetCircuit | Body::Release { .. }) {
        return None;
    }
    let payload = Message::new(circuit, Body::ReleaseComplete).to_bytes();
    let data = ProtocolData { origin: data.destination, destination: data.origin, payload: &payload, ..data };
    data.message(conformance::ROUTING_CONTEXT, None)
}

impl Subject for Peer {
    fn reset(&mut self, profile: &str) -> Result<(), String> {
        if profile != self.wanted.profile {
            return Err(format!("profile '{profile}'"));
        }
        self.connections.clear();
        self.clear().map_err(|error| error.to_string())
    }

    fn open(&mut self, _connection: usize) {
        match Connection::open(self.wanted.address) {
            Ok(connection) => self.connections.push(connection),
            Err(error) => eprintln!("steprelay: conformance: {error}"),
        }
    }

    fn send(&mut self, connection: usize, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.send(bytes);
        }
    }

    fn receive(&mut self, connection: usize) -> Received {
        self.connections.get_mut(connection).map_or(Received::Closed, Connection::receive)
    }

    fn wait(&mut self, time: Micros) -> Result<(), String> {
        let time = Duration::from_micros(time as u64);
        if time > self.wanted.patience {
            return Err(format!("{} s have to pass", time.as_secs_f64()));
        }
        sleep(time);
        Ok(())
    }

    fn control(&mut self, _what: &str) -> Result<(), Outcome> {
        Err(Outcome::NotApplicable("needs a hand on its call control".into()))
    }

    fn is_asp(&self) -> bool {
        false
    }
}

/// Runs the suite and prints what became of each case.
pub fn run(wanted: Wanted) -> Result<(), ConformanceError> {
    let address = wanted.address;
    if !address.ip().is_loopback() {
        return Err(ConformanceError::NotLoopback(address));
    }
    let cases = conformance::suite()?;
    Connection::open(address).map_err(|error| ConformanceError::Unreachable(address, error))?;
    let json = wanted.json;
    let only = wanted.only.clone();
    let mut peer = Peer { wanted, connections: Vec::new() };
    let cases: Vec<Case> = cases.into_iter().filter(|case| case.name.starts_with(&only)).collect();
    let done: Vec<(Case, Outcome)> = cases
        .into_iter()
        .map(|case| {
            let outcome = conformance::run(&case, &mut peer);
            (case, outcome)
        })
        .collect();
    match json {
        true => println!("{}", as_json(&done)),
        false => println!("{}", as_table(&done)),
    }
    match count(&done).1 {
        0 => Ok(()),
        failed => Err(ConformanceError::Failed(failed)),
    }
}

/// How many passed, failed, and were not applicable.
fn count(done: &[(Case, Outcome)]) -> (usize, usize, usize) {
    let of = |wanted: fn(&Outcome) -> bool| done.iter().filter(|(_, outcome)| wanted(outcome)).count();
    (
        of(|outcome| *outcome == Outcome::Passed),
        of(|outcome| matches!(outcome, Outcome::Failed(_))),
        of(|outcome| matches!(outcome, Outcome::NotApplicable(_))),
    )
}

fn words(outcome: &Outcome) -> (&'static str, &str) {
    match outcome {
        Outcome::Passed => ("passed", ""),
        Outcome::Failed(why) => ("FAILED", why),
        Outcome::NotApplicable(why) => ("not applicable", why),
    }
}

fn as_table(done: &[(Case, Outcome)]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["case", "section", "shows", "outcome", "why"]);
    for (case, outcome) in done {
        let (word, why) = words(outcome);
        table.add_row([&*case.name, &case.section, &case.purpose, word, why]);
    }
    let (passed, failed, not) = count(done);
    format!("{table}\n{passed} passed, {failed} failed, {not} not applicable")
}

fn as_json(done: &[(Case, Outcome)]) -> serde_json::Value {
    let cases: Vec<_> = done
        .iter()
        .map(|(case, outcome)| {
            let (word, why) = words(outcome);
            serde_json::json!({"case": case.name, "section": case.section, "shows": case.purpose,
                "outcome": word, "why": why})
        })
        .collect();
    let (passed, failed, not) = count(done);
    serde_json::json!({"passed": passed, "failed": failed, "not_applicable": not, "cases": cases})
}
