//! Runs the M3UA and ISUP conformance suite against a peer that listens on a loopback address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};
use steprelay_signalling::conformance::{self, Case, CaseError, Outcome, Received, Subject};
use steprelay_signalling::isup::{Blocking, Body, Message, Range};
use steprelay_signalling::m3ua::{self, tag, Kind, ProtocolData, Split};
use steprelay_signalling::Micros;

/// Why the suite could not run or did not pass.
#[derive(Debug, thiserror::Error)]
pub enum ConformanceError {
    #[error("conformance: {0} is not a loopback address; the suite must not run against a peer in service")]
    NotLoopback(SocketAddr),
    #[error("conformance: {0}: {1}")]
    Unreachable(SocketAddr, std::io::Error),
    #[error("conformance: {0}")]
    Case(#[from] CaseError),
    #[error("conformance: {0} cases failed")]
    Failed(usize),
}

/// The options of the command line.
pub struct RunOptions {
    pub address: SocketAddr,
    /// The configuration profile of the peer, by the names in the cases.
    pub profile: String,
    /// The longest wait that a case may have.
    pub max_wait: Duration,
    pub json: bool,
    /// Runs only the cases whose names have this prefix; an empty one selects all.
    pub name_prefix: String,
}

/// Longest time to connect or to wait for a message of the peer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Circuits that the cases use, which are reset before each case.
const TEST_CIRCUITS: [u16; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 31, 4095];

struct Peer {
    options: RunOptions,
    connections: Vec<Connection>,
}

struct Connection {
    stream: TcpStream,
    inbound: Vec<u8>,
    closed: bool,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, REPLY_TIMEOUT)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, inbound: Vec::new(), closed: false })
    }

    fn send(&mut self, bytes: &[u8]) {
        // A closed connection is detected by the next read.
        let _ = self.stream.write_all(bytes);
    }

    fn receive(&mut self) -> Received {
        let until = Instant::now() + REPLY_TIMEOUT;
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
    /// Puts the peer into the initial state of a case: no call on the circuits that the cases use.
    fn reset_circuits(&self) -> std::io::Result<()> {
        let mut connection = Connection::open(self.options.address)?;
        connection.send(&m3ua::message(Kind::AspUp, &[]));
        let context = conformance::ROUTING_CONTEXT.to_be_bytes();
        connection.send(&m3ua::message(Kind::AspActive, &[(tag::ROUTING_CONTEXT, &context)]));
        let unblock_all = |kind| Body::UnblockGroup(kind, Range { additional: 7, status: vec![true; 8] });
        let groups = [Blocking::Maintenance, Blocking::Hardware].map(|kind| (1, unblock_all(kind)));
        let resets = TEST_CIRCUITS.into_iter().flat_map(|circuit| {
            // The release complete confirms a reset of the peer's that is still pending.
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

/// Returns the confirmation of a reset or release of the peer's; `None` for other messages.
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
        if profile != self.options.profile {
            return Err(format!("profile '{profile}'"));
        }
        self.connections.clear();
        self.reset_circuits().map_err(|error| error.to_string())
    }

    fn open(&mut self, _connection: usize) {
        match Connection::open(self.options.address) {
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
        if time > self.options.max_wait {
            return Err(format!("the case waits {} s", time.as_secs_f64()));
        }
        sleep(time);
        Ok(())
    }

    fn control(&mut self, _what: &str) -> Result<(), Outcome> {
        Err(Outcome::NotApplicable("needs control of the peer's call control".into()))
    }

    fn is_asp(&self) -> bool {
        false
    }
}

/// Runs the suite and prints the outcome of each case.
///
/// # Errors
/// The address is not a loopback address or cannot be reached, or a case is invalid or failed.
pub fn run(options: RunOptions) -> Result<(), ConformanceError> {
    let address = options.address;
    if !address.ip().is_loopback() {
        return Err(ConformanceError::NotLoopback(address));
    }
    let cases = conformance::suite()?;
    Connection::open(address).map_err(|error| ConformanceError::Unreachable(address, error))?;
    let json = options.json;
    let name_prefix = options.name_prefix.clone();
    let mut peer = Peer { options, connections: Vec::new() };
    let cases: Vec<Case> = cases.into_iter().filter(|case| case.name.starts_with(&name_prefix)).collect();
    let done: Vec<(Case, Outcome)> = cases
        .into_iter()
        .map(|case| {
            let outcome = conformance::run(&case, &mut peer);
            (case, outcome)
        })
        .collect();
    match json {
        true => println!("{}", format_json(&done)),
        false => println!("{}", format_table(&done)),
    }
    match count_outcomes(&done).1 {
        0 => Ok(()),
        failed => Err(ConformanceError::Failed(failed)),
    }
}

/// Returns the numbers of cases that passed, failed and were not applicable.
fn count_outcomes(done: &[(Case, Outcome)]) -> (usize, usize, usize) {
    let count = |matches: fn(&Outcome) -> bool| done.iter().filter(|(_, outcome)| matches(outcome)).count();
    (
        count(|outcome| *outcome == Outcome::Passed),
        count(|outcome| matches!(outcome, Outcome::Failed(_))),
        count(|outcome| matches!(outcome, Outcome::NotApplicable(_))),
    )
}

fn outcome_text(outcome: &Outcome) -> (&'static str, &str) {
    match outcome {
        Outcome::Passed => ("passed", ""),
        Outcome::Failed(why) => ("FAILED", why),
        Outcome::NotApplicable(why) => ("not applicable", why),
    }
}

fn format_table(done: &[(Case, Outcome)]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["case", "section", "shows", "outcome", "why"]);
    for (case, outcome) in done {
        let (word, why) = outcome_text(outcome);
        table.add_row([&*case.name, &case.section, &case.purpose, word, why]);
    }
    let (passed, failed, not) = count_outcomes(done);
    format!("{table}\n{passed} passed, {failed} failed, {not} not applicable")
}

fn format_json(done: &[(Case, Outcome)]) -> serde_json::Value {
    let cases: Vec<_> = done
        .iter()
        .map(|(case, outcome)| {
            let (word, why) = outcome_text(outcome);
            serde_json::json!({"case": case.name, "section": case.section, "shows": case.purpose,
                "outcome": word, "why": why})
        })
        .collect();
    let (passed, failed, not) = count_outcomes(done);
    serde_json::json!({"passed": passed, "failed": failed, "not_applicable": not, "cases": cases})
}
