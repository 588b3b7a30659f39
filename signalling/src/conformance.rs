//! Conformance test cases (`conformance/*.cases`): the messages that the tester sends and expects.
//!
//! A line of a file is a case. Its columns are the name, the section of the standard, the initial state, the
//! test purpose, and then the steps. A step is
//!
//! - `> NAME tag=hex ...` or `> call CIRCUIT TYPE hex`: send an M3UA message, or an ISUP message in DATA;
//! - `> raw hex`: send these bytes;
//! - `< NAME tag=hex ...`, `< call CIRCUIT TYPE hex`: expect this message next, with at least these
//!   parameters, or with a body that starts with these octets (`..` is any octet);
//! - `quiet`: send a heartbeat and expect nothing before its acknowledgement;
//! - `closed`: expect the end of the connection;
//! - `wait MS`: let time pass;
//! - `! answer CIRCUIT`, `! refuse CIRCUIT`, `! hold`: an action of call control, where the tester controls
//!   it.
//!
//! `2>` and `2<` use a second connection. Network management messages (SSNM) may arrive at any time and are
//! skipped unless the case expects one. A line `@profile NAME` sets the profile of the cases that follow, and
//! `@body NAME hex` names the body of an ISUP message.

use std::collections::BTreeMap;

use crate::m3ua::{self, Kind, Message, MessageBuilder, ProtocolData, KINDS};
use crate::Micros;

/// The point code of the tested peer in the cases.
pub const SUBJECT_POINT_CODE: u32 = 1001;
/// The point code of the tester in the cases.
pub const TESTER_POINT_CODE: u32 = 2001;
/// The routing context of the tester in the cases.
pub const ROUTING_CONTEXT: u32 = 1;

/// The files of the suite, by name.
pub const SUITE: [(&str, &str); 6] = [
    ("aspsm", include_str!("../conformance/aspsm.cases")),
    ("asptm", include_str!("../conformance/asptm.cases")),
    ("ssnm", include_str!("../conformance/ssnm.cases")),
    ("calls", include_str!("../conformance/calls.cases")),
    ("circuits", include_str!("../conformance/circuits.cases")),
    ("member", include_str!("../conformance/member.cases")),
];

/// A syntax error in a file of cases.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}, line {line}: {reason}")]
pub struct CaseError {
    pub file: String,
    pub line: usize,
    pub reason: String,
}

/// The state of the ASP at the start of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Down,
    Up,
    Active,
}

/// A test case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    pub name: String,
    /// The section of the standard that the case is drawn from.
    pub section: String,
    pub start: Start,
    pub purpose: String,
    /// The name of the configuration that the tested peer has to have.
    pub profile: String,
    steps: Vec<(String, Step)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Send(usize, Vec<u8>),
    Expect(usize, Expected),
    Quiet(usize),
    Closed(usize),
    Wait(Micros),
    Control(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Expected {
    Message {
        class: u8,
        kind: u8,
        parameters: Vec<(u16, Vec<u8>)>,
    },
    /// An ISUP message and the first octets of its body; `None` is any octet.
    Call {
        circuit: u16,
        kind: u8,
        body: Vec<Option<u8>>,
    },
}

/// The outcome of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Passed,
    Failed(String),
    NotApplicable(String),
}

/// What a connection has received next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Message(Vec<u8>),
    Closed,
    Nothing,
}

/// The implementation under test: the engine in the same process, or a running peer.
pub trait Subject {
    /// Resets the subject to its initial state in this profile.
    ///
    /// # Errors
    /// The reason why the case is not applicable.
    fn reset(&mut self, profile: &str) -> Result<(), String>;
    fn open(&mut self, connection: usize);
    fn send(&mut self, connection: usize, bytes: &[u8]);
    fn receive(&mut self, connection: usize) -> Received;
    /// Lets time pass.
    ///
    /// # Errors
    /// The reason why the case is not applicable.
    fn wait(&mut self, time: Micros) -> Result<(), String>;
    /// Performs an action of call control, or checks what call control was notified of.
    ///
    /// # Errors
    /// The outcome of the case.
    fn control(&mut self, action: &str) -> Result<(), Outcome>;
    /// Whether the subject is an ASP, which sends ASPUP itself.
    fn is_asp(&self) -> bool;
}

/// Parses all files of the suite.
pub fn suite() -> Result<Vec<Case>, CaseError> {
    let files = SUITE.iter().map(|(name, text)| parse(name, text));
    Ok(files.collect::<Result<Vec<_>, _>>()?.into_iter().flatten().collect())
}

/// Parses a file of cases.
///
/// # Errors
/// The first line with a syntax error.
pub fn parse(file: &str, text: &str) -> Result<Vec<Case>, CaseError> {
    let mut cases: Vec<Case> = Vec::new();
    let mut profile = String::from("default");
    let mut bodies = BTreeMap::new();
    for (line, text) in (1..).zip(text.lines().map(str::trim)) {
        let error = |reason: String| CaseError { file: file.into(), line, reason };
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        if let Some(directive) = text.strip_prefix('@') {
            match directive.split_once(' ') {
                Some(("profile", name)) => profile = name.trim().into(),
                Some(("body", named)) => {
                    let (name, body) = named
                        .trim()
                        .split_once(' ')
                        .ok_or_else(|| error("@body needs a name and octets".into()))?;
                    bodies.insert(name.to_string(), body.to_string());
                }
                _ => return Err(error(format!("unknown directive '{directive}'"))),
            }
            continue;
        }
        let columns: Vec<&str> = text.split('|').map(str::trim).collect();
        let [name, section, start, purpose, steps @ ..] = &columns[..] else {
            return Err(error("a case needs a name, a section, a start, a purpose and steps".into()));
        };
        let start = match *start {
            "down" => Start::Down,
            "up" => Start::Up,
            "active" => Start::Active,
            other => return Err(error(format!("unknown start '{other}'"))),
        };
        if cases.iter().any(|case| case.name == *name) {
            return Err(error(format!("duplicate case '{name}'")));
        }
        let steps = steps.iter().map(|text| Ok((text.to_string(), parse_step(text, &bodies)?)));
        let steps: Vec<_> = steps.collect::<Result<_, String>>().map_err(error)?;
        if !steps.iter().any(|(_, step)| matches!(step, Step::Expect(..) | Step::Quiet(_) | Step::Closed(_)))
        {
            return Err(error("a case needs a step that expects something".into()));
        }
        cases.push(Case {
            name: name.to_string(),
            section: section.to_string(),
            start,
            purpose: purpose.to_string(),
            profile: profile.clone(),
            steps,
        });
    }
    Ok(cases)
}

fn parse_step(text: &str, bodies: &BTreeMap<String, String>) -> Result<Step, String> {
    let (connection, text) = match text.strip_prefix("2") {
        Some(rest) if rest.starts_with(['>', '<', ' ']) => (1, rest.trim()),
        _ => (0, text),
    };
    if let Some(rest) = text.strip_prefix('>') {
        let rest = rest.trim();
        if let Some(bytes) = rest.strip_prefix("raw ") {
            return Ok(Step::Send(connection, parse_octets(bytes)?));
        }
        if let Some(call) = rest.strip_prefix("call ") {
            let (circuit, kind, body) = parse_call_message(call, bodies)?;
            let mut payload = circuit.to_le_bytes().to_vec();
            payload.push(kind);
            payload.extend(body.iter().map(|octet| octet.unwrap_or_default()));
            let data = ProtocolData {
                origin: TESTER_POINT_CODE,
                destination: SUBJECT_POINT_CODE,
                service: m3ua::ISUP,
                network: 2,
                selection: circuit as u8 & 0x0f,
                payload: &payload,
            };
            return Ok(Step::Send(
                connection,
                data.message(ROUTING_CONTEXT, None).ok_or("the message is too long")?,
            ));
        }
        let (kind, parameters) = parse_m3ua_message(rest)?;
        let builder = parameters
            .iter()
            .fold(MessageBuilder::new(kind), |builder, (tag, value)| builder.parameter(*tag, value));
        return Ok(Step::Send(connection, builder.finish().ok_or("the message is too long")?));
    }
    if let Some(rest) = text.strip_prefix('<') {
        let rest = rest.trim();
        if let Some(call) = rest.strip_prefix("call ") {
            let (circuit, kind, body) = parse_call_message(call, bodies)?;
            return Ok(Step::Expect(connection, Expected::Call { circuit, kind, body }));
        }
        let (kind, parameters) = parse_m3ua_message(rest)?;
        let &(_, class, kind) =
            KINDS.iter().find(|known| known.0 == kind).expect("every kind is in the table");
        return Ok(Step::Expect(connection, Expected::Message { class, kind, parameters }));
    }
    if let Some(action) = text.strip_prefix('!') {
        return Ok(Step::Control(action.trim().into()));
    }
    match text.split_once(' ').unwrap_or((text, "")) {
        ("quiet", "") => Ok(Step::Quiet(connection)),
        ("closed", "") => Ok(Step::Closed(connection)),
        ("wait", ms) => {
            ms.parse().map(|ms: Micros| Step::Wait(ms * 1000)).map_err(|_| format!("invalid time '{ms}'"))
        }
        _ => Err(format!("unknown step '{text}'")),
    }
}

type CallMessage = (u16, u8, Vec<Option<u8>>);

fn parse_call_message(text: &str, bodies: &BTreeMap<String, String>) -> Result<CallMessage, String> {
    let mut words = text.split_whitespace();
    let circuit = words.next().and_then(|word| word.parse().ok()).ok_or("a call message needs a circuit")?;
    let kind = words.next().ok_or("a call message needs a type")?;
    let kind = call_message_type(kind).ok_or_else(|| format!("unknown call message '{kind}'"))?;
    let mut body = Vec::new();
    for word in words {
        let octets = match word.strip_prefix('@') {
            Some(name) => bodies.get(name).ok_or_else(|| format!("unknown body '{name}'"))?,
            None => word,
        };
        body.extend(parse_masked_octets(octets)?);
    }
    Ok((circuit, kind, body))
}

/// ISUP message types by name.
const CALL_MESSAGE_TYPES: [(&str, u8); 32] = [
    ("IAM", 0x01),
    ("SAM", 0x02),
    ("INR", 0x03),
    ("INF", 0x04),
    ("COT", 0x05),
    ("ACM", 0x06),
    ("CON", 0x07),
    ("FOT", 0x08),
    ("ANM", 0x09),
    ("REL", 0x0c),
    ("SUS", 0x0d),
    ("RES", 0x0e),
    ("RLC", 0x10),
    ("CCR", 0x11),
    ("RSC", 0x12),
    ("BLO", 0x13),
    ("UBL", 0x14),
    ("BLA", 0x15),
    ("UBA", 0x16),
    ("GRS", 0x17),
    ("CGB", 0x18),
    ("CGU", 0x19),
    ("CGBA", 0x1a),
    ("CGUA", 0x1b),
    ("LPA", 0x24),
    ("GRA", 0x29),
    ("CQM", 0x2a),
    ("CQR", 0x2b),
    ("CPG", 0x2c),
    ("UCIC", 0x2e),
    ("CFN", 0x2f),
    ("SGM", 0x38),
];

/// The type of an ISUP message, from its name or from two hexadecimal digits.
fn call_message_type(name: &str) -> Option<u8> {
    let known = CALL_MESSAGE_TYPES.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    known.or_else(|| u8::from_str_radix(name, 16).ok().filter(|_| name.len() == 2))
}

/// The kind of an M3UA message, from its name.
fn message_kind(name: &str) -> Option<Kind> {
    const NAMES: [(&str, Kind); 23] = [
        ("ERR", Kind::Err),
        ("NTFY", Kind::Ntfy),
        ("DATA", Kind::Data),
        ("DUNA", Kind::Duna),
        ("DAVA", Kind::Dava),
        ("DAUD", Kind::Daud),
        ("SCON", Kind::Scon),
        ("DUPU", Kind::Dupu),
        ("DRST", Kind::Drst),
        ("ASPUP", Kind::AspUp),
        ("ASPDN", Kind::AspDown),
        ("BEAT", Kind::Beat),
        ("ASPUP-ACK", Kind::AspUpAck),
        ("ASPDN-ACK", Kind::AspDownAck),
        ("BEAT-ACK", Kind::BeatAck),
        ("ASPAC", Kind::AspActive),
        ("ASPIA", Kind::AspInactive),
        ("ASPAC-ACK", Kind::AspActiveAck),
        ("ASPIA-ACK", Kind::AspInactiveAck),
        ("REG-REQ", Kind::RegReq),
        ("REG-RSP", Kind::RegRsp),
        ("DEREG-REQ", Kind::DeregReq),
        ("DEREG-RSP", Kind::DeregRsp),
    ];
    NAMES.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
}

/// The short names of parameters in cases; any other parameter is given by its tag in hexadecimal.
const TAGS: [(&str, u16); 8] = [
    ("rc", m3ua::tag::ROUTING_CONTEXT),
    ("hb", m3ua::tag::HEARTBEAT_DATA),
    ("mode", m3ua::tag::TRAFFIC_MODE_TYPE),
    ("code", m3ua::tag::ERROR_CODE),
    ("status", m3ua::tag::STATUS),
    ("id", m3ua::tag::ASP_IDENTIFIER),
    ("pc", m3ua::tag::AFFECTED_POINT_CODE),
    ("level", m3ua::tag::CONGESTION_INDICATIONS),
];

type M3uaMessage = (Kind, Vec<(u16, Vec<u8>)>);

fn parse_m3ua_message(text: &str) -> Result<M3uaMessage, String> {
    let mut words = text.split_whitespace();
    let name = words.next().unwrap_or_default();
    let kind = message_kind(name).ok_or_else(|| format!("unknown message '{name}'"))?;
    let parameters = words.map(|word| {
        let (tag, value) = word.split_once('=').ok_or_else(|| format!("invalid parameter '{word}'"))?;
        let named = TAGS.iter().find(|(known, _)| *known == tag);
        let number = |value: &str| value.parse::<u32>().map(u32::to_be_bytes);
        match named {
            // A list of decimal numbers, separated by commas.
            Some((_, tag)) if *tag != m3ua::tag::HEARTBEAT_DATA => {
                let numbers: Result<Vec<_>, _> = value.split(',').map(number).collect();
                Ok((*tag, numbers.map_err(|_| format!("invalid number '{value}'"))?.concat()))
            }
            Some((_, tag)) => Ok((*tag, parse_octets(value)?)),
            None => {
                let tag = u16::from_str_radix(tag, 16).map_err(|_| format!("unknown parameter '{tag}'"))?;
                Ok((tag, parse_octets(value)?))
            }
        }
    });
    Ok((kind, parameters.collect::<Result<_, String>>()?))
}

/// Parses hexadecimal octets; `None` stands for `..`, any octet.
fn parse_masked_octets(text: &str) -> Result<Vec<Option<u8>>, String> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(format!("invalid octets '{text}'"));
    }
    let pairs = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    pairs
        .map(|pair| match pair {
            ".." => Ok(None),
            pair => u8::from_str_radix(pair, 16).map(Some).map_err(|_| format!("invalid octet '{pair}'")),
        })
        .collect()
}

fn parse_octets(text: &str) -> Result<Vec<u8>, String> {
    let masked = parse_masked_octets(&text.split_whitespace().collect::<String>())?;
    masked.into_iter().map(|octet| octet.ok_or_else(|| "'..' cannot be sent".to_string())).collect()
}

/// The heartbeat data of the `quiet` step.
const QUIET: &[u8] = b"is it quiet?";

/// Runs one case.
pub fn run(case: &Case, subject: &mut dyn Subject) -> Outcome {
    if let Err(reason) = subject.reset(&case.profile) {
        return Outcome::NotApplicable(reason);
    }
    run_steps(case, subject).err().unwrap_or(Outcome::Passed)
}

fn run_steps(case: &Case, subject: &mut dyn Subject) -> Result<(), Outcome> {
    subject.open(0);
    let to_start: &[&str] = match (subject.is_asp(), case.start) {
        (_, Start::Down) => &[],
        (false, Start::Up) => &["> ASPUP", "< ASPUP-ACK"],
        (false, Start::Active) => {
            &["> ASPUP", "< ASPUP-ACK", "> ASPAC rc=1", "< ASPAC-ACK", "< NTFY status=65539"]
        }
        (true, Start::Up) => &["< ASPUP", "> ASPUP-ACK", "< ASPAC"],
        (true, Start::Active) => &["< ASPUP", "> ASPUP-ACK", "< ASPAC", "> ASPAC-ACK rc=1"],
    };
    let none = BTreeMap::new();
    let prelude: Vec<(String, Step)> = to_start
        .iter()
        .map(|text| (format!("to start: {text}"), parse_step(text, &none).expect("the prelude is valid")))
        .collect();
    let mut open = 1;
    for (text, step) in prelude.iter().chain(&case.steps) {
        let failed = |reason: String| Outcome::Failed(format!("{text}: {reason}"));
        if let Step::Send(connection, _) | Step::Expect(connection, _) | Step::Quiet(connection) = step {
            while open <= *connection {
                subject.open(open);
                open += 1;
            }
        }
        match step {
            Step::Send(connection, bytes) => subject.send(*connection, bytes),
            Step::Expect(connection, expected) => {
                let received = receive_next(subject, *connection, expected.class());
                expected.check(&received).map_err(failed)?;
            }
            Step::Quiet(connection) => {
                let beat = m3ua::message(Kind::Beat, &[(m3ua::tag::HEARTBEAT_DATA, QUIET)]);
                subject.send(*connection, &beat);
                let parameters = vec![(m3ua::tag::HEARTBEAT_DATA, QUIET.to_vec())];
                let expected = Expected::Message { class: 3, kind: 6, parameters };
                expected.check(&receive_next(subject, *connection, 3)).map_err(failed)?;
            }
            Step::Closed(connection) => match receive_next(subject, *connection, 0xff) {
                Received::Closed => {}
                received => {
                    return Err(failed(format!(
                        "expected the end of the connection, got {}",
                        describe(&received)
                    )))
                }
            },
            Step::Wait(time) => subject.wait(*time).map_err(Outcome::NotApplicable)?,
            Step::Control(action) => subject.control(action)?,
        }
    }
    Ok(())
}

/// Receives the next message; SSNM messages are skipped unless their class is expected.
fn receive_next(subject: &mut dyn Subject, connection: usize, class: u8) -> Received {
    loop {
        match subject.receive(connection) {
            Received::Message(bytes) if bytes.get(2) == Some(&2) && class != 2 => {}
            received => return received,
        }
    }
}

impl Expected {
    fn class(&self) -> u8 {
        match self {
            Expected::Message { class, .. } => *class,
            Expected::Call { .. } => 1,
        }
    }

    fn check(&self, received: &Received) -> Result<(), String> {
        let Received::Message(bytes) = received else { return Err(format!("got {}", describe(received))) };
        let got = || format!("got {}", describe(received));
        let message = Message::read(bytes).map_err(|fault| format!("{}: {fault}", got()))?;
        match self {
            Expected::Message { class, kind, parameters } => {
                if bytes[2..4] != [*class, *kind] {
                    return Err(got());
                }
                for (tag, value) in parameters {
                    if message.parameter(*tag) != Some(value) {
                        return Err(format!("parameter {tag:04x}: {}", got()));
                    }
                }
                Ok(())
            }
            Expected::Call { circuit, kind, body } => {
                let data = message.parameter(m3ua::tag::PROTOCOL_DATA).ok_or_else(got)?;
                let data = ProtocolData::read(data).map_err(|fault| format!("{}: {fault}", got()))?;
                let head = [circuit.to_le_bytes()[0], circuit.to_le_bytes()[1], *kind];
                let rest = data.payload.strip_prefix(&head).ok_or_else(got)?;
                let is_match = rest.len() >= body.len()
                    && body
                        .iter()
                        .zip(rest)
                        .all(|(expected, octet)| expected.is_none_or(|expected| expected == *octet));
                is_match.then_some(()).ok_or_else(got)
            }
        }
    }
}

fn describe(received: &Received) -> String {
    match received {
        Received::Closed => "the end of the connection".into(),
        Received::Nothing => "nothing".into(),
        Received::Message(bytes) => {
            let name = bytes.get(2..4).and_then(|head| {
                let known = KINDS.iter().find(|known| [known.1, known.2] == head);
                known.map(|known| format!("{:?}", known.0))
            });
            let octets: String = bytes.iter().take(48).map(|octet| format!("{octet:02x}")).collect();
            format!("{} {octets}", name.unwrap_or_else(|| "a message".into()))
        }
    }
}
