//! Conformance cases, as data: what a tester sends, and what has to come back (`conformance/*.cases`).
//!
//! A line of a file is a case: its name, the section it is drawn from, the state it starts in, what it shows,
//! and its steps, each in a column of its own. A step is
//!
//! - `> NAME tag=hex ...` or `> call CIRCUIT TYPE hex`: send a message of M3UA, or of ISUP inside DATA;
//! - `> raw hex`: send these bytes;
//! - `< NAME tag=hex ...`, `< call CIRCUIT TYPE hex`: this comes next, with at least these parameters, or
//!   with a body that starts so (`..` is any octet);
//! - `quiet`: nothing has come but the answer to a heartbeat sent now;
//! - `closed`: the connection has been ended;
//! - `wait MS`: time passes;
//! - `! answer CIRCUIT`, `! refuse CIRCUIT`, `! hold`: what call control does, where the tester has its hand
//!   on it.
//!
//! `2>` and `2<` are a second connection. What is told of destinations may come in between at any time, and
//! is passed over where nothing of it is asked for. Lines with `@` set the profile of those that follow.

use std::collections::BTreeMap;

use crate::m3ua::{self, Kind, Message, MessageBuilder, ProtocolData, KINDS};
use crate::Micros;

/// The point codes and the routing context that cases are written for.
pub const OURS: u32 = 1001;
pub const PEER: u32 = 2001;
pub const CONTEXT: u32 = 1;

/// The files of the suite, by name.
pub const SUITE: [(&str, &str); 6] = [
    ("aspsm", include_str!("../conformance/aspsm.cases")),
    ("asptm", include_str!("../conformance/asptm.cases")),
    ("ssnm", include_str!("../conformance/ssnm.cases")),
    ("calls", include_str!("../conformance/calls.cases")),
    ("circuits", include_str!("../conformance/circuits.cases")),
    ("member", include_str!("../conformance/member.cases")),
];

/// What is wrong with a file of cases.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}, line {line}: {why}")]
pub struct BadCase {
    pub file: String,
    pub line: usize,
    pub why: String,
}

/// The state that a case starts in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Down,
    Up,
    Active,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    pub name: String,
    pub section: String,
    pub start: Start,
    pub shows: String,
    /// How the peer has to be configured.
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
    /// A call message, with what its body starts with.
    Call {
        circuit: u16,
        kind: u8,
        body: Vec<Option<u8>>,
    },
}

/// What became of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Passed,
    Failed(String),
    NotApplicable(String),
}

/// What comes next on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Message(Vec<u8>),
    Closed,
    Nothing,
}

/// Whatever is tested: the engine in the same process, or a running peer.
pub trait Subject {
    /// Starts anew in this profile; why not, where it cannot.
    fn reset(&mut self, profile: &str) -> Result<(), String>;
    fn open(&mut self, connection: usize);
    fn send(&mut self, connection: usize, bytes: &[u8]);
    fn hear(&mut self, connection: usize) -> Heard;
    /// Lets time pass; why not, where it cannot.
    fn wait(&mut self, time: Micros) -> Result<(), String>;
    /// Has call control do something, or asks what it was told; where that fails, what becomes of the case.
    fn control(&mut self, what: &str) -> Result<(), Outcome>;
    /// Whether the tester listens, and the subject comes up by itself.
    fn comes_up(&self) -> bool;
}

/// Reads the whole suite.
pub fn suite() -> Result<Vec<Case>, BadCase> {
    let files = SUITE.iter().map(|(name, text)| read(name, text));
    Ok(files.collect::<Result<Vec<_>, _>>()?.into_iter().flatten().collect())
}

/// Reads a file of cases.
pub fn read(file: &str, text: &str) -> Result<Vec<Case>, BadCase> {
    let mut cases: Vec<Case> = Vec::new();
    let mut profile = String::from("default");
    let mut bodies = BTreeMap::new();
    for (line, text) in (1..).zip(text.lines().map(str::trim)) {
        let bad = |why: String| BadCase { file: file.into(), line, why };
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
                        .ok_or_else(|| bad("a body has a name and octets".into()))?;
                    bodies.insert(name.to_string(), body.to_string());
                }
                _ => return Err(bad(format!("no directive '{directive}'"))),
            }
            continue;
        }
        let columns: Vec<&str> = text.split('|').map(str::trim).collect();
        let [name, section, start, shows, steps @ ..] = &columns[..] else {
            return Err(bad("a case has a name, a section, a start, what it shows, and steps".into()));
        };
        let start = match *start {
            "down" => Start::Down,
            "up" => Start::Up,
            "active" => Start::Active,
            other => return Err(bad(format!("no start '{other}'"))),
        };
        if cases.iter().any(|case| case.name == *name) {
            return Err(bad(format!("'{name}' is there already")));
        }
        let steps = steps.iter().map(|text| Ok((text.to_string(), step(text, &bodies)?)));
        let steps: Vec<_> = steps.collect::<Result<_, String>>().map_err(bad)?;
        if !steps.iter().any(|(_, step)| matches!(step, Step::Expect(..) | Step::Quiet(_) | Step::Closed(_)))
        {
            return Err(bad("a case without anything to expect shows nothing".into()));
        }
        cases.push(Case {
            name: name.to_string(),
            section: section.to_string(),
            start,
            shows: shows.to_string(),
            profile: profile.clone(),
            steps,
        });
    }
    Ok(cases)
}

fn step(text: &str, bodies: &BTreeMap<String, String>) -> Result<Step, String> {
    let (connection, text) = match text.strip_prefix("2") {
        Some(rest) if rest.starts_with(['>', '<', ' ']) => (1, rest.trim()),
        _ => (0, text),
    };
    if let Some(rest) = text.strip_prefix('>') {
        let rest = rest.trim();
        if let Some(bytes) = rest.strip_prefix("raw ") {
            return Ok(Step::Send(connection, octets(bytes)?));
        }
        if let Some(call) = rest.strip_prefix("call ") {
            let (circuit, kind, body) = call_step(call, bodies)?;
            let mut user = circuit.to_le_bytes().to_vec();
            user.push(kind);
            user.extend(body.iter().map(|octet| octet.unwrap_or_default()));
            let data = ProtocolData {
                origin: PEER,
                destination: OURS,
                service: m3ua::ISUP,
                network: 2,
                selection: circuit as u8 & 0x0f,
                user: &user,
            };
            return Ok(Step::Send(connection, data.message(CONTEXT, None).ok_or("too long")?));
        }
        let (kind, parameters) = message_step(rest)?;
        let builder = parameters
            .iter()
            .fold(MessageBuilder::new(kind), |builder, (tag, value)| builder.parameter(*tag, value));
        return Ok(Step::Send(connection, builder.finish().ok_or("too long")?));
    }
    if let Some(rest) = text.strip_prefix('<') {
        let rest = rest.trim();
        if let Some(call) = rest.strip_prefix("call ") {
            let (circuit, kind, body) = call_step(call, bodies)?;
            return Ok(Step::Expect(connection, Expected::Call { circuit, kind, body }));
        }
        let (kind, parameters) = message_step(rest)?;
        let &(_, class, kind) =
            KINDS.iter().find(|known| known.0 == kind).expect("every kind is in the table");
        return Ok(Step::Expect(connection, Expected::Message { class, kind, parameters }));
    }
    if let Some(what) = text.strip_prefix('!') {
        return Ok(Step::Control(what.trim().into()));
    }
    match text.split_once(' ').unwrap_or((text, "")) {
        ("quiet", "") => Ok(Step::Quiet(connection)),
        ("closed", "") => Ok(Step::Closed(connection)),
        ("wait", ms) => {
            ms.parse().map(|ms: Micros| Step::Wait(ms * 1000)).map_err(|_| format!("no time '{ms}'"))
        }
        _ => Err(format!("no step '{text}'")),
    }
}

type CallStep = (u16, u8, Vec<Option<u8>>);

fn call_step(text: &str, bodies: &BTreeMap<String, String>) -> Result<CallStep, String> {
    let mut words = text.split_whitespace();
    let circuit =
        words.next().and_then(|word| word.parse().ok()).ok_or("a call message names its circuit")?;
    let kind = words.next().ok_or("a call message has a type")?;
    let kind = call_kind(kind).ok_or_else(|| format!("no call message '{kind}'"))?;
    let mut body = Vec::new();
    for word in words {
        let octets = match word.strip_prefix('@') {
            Some(name) => bodies.get(name).ok_or_else(|| format!("no body '{name}'"))?,
            None => word,
        };
        body.extend(masked(octets)?);
    }
    Ok((circuit, kind, body))
}

/// Call messages by name.
const CALL_KINDS: [(&str, u8); 32] = [
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

fn call_kind(name: &str) -> Option<u8> {
    let known = CALL_KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    known.or_else(|| u8::from_str_radix(name, 16).ok().filter(|_| name.len() == 2))
}

/// M3UA messages by name.
fn kind(name: &str) -> Option<Kind> {
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

/// Parameters by the short names that cases use; others are named by their tags.
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

type MessageStep = (Kind, Vec<(u16, Vec<u8>)>);

fn message_step(text: &str) -> Result<MessageStep, String> {
    let mut words = text.split_whitespace();
    let name = words.next().unwrap_or_default();
    let kind = kind(name).ok_or_else(|| format!("no message '{name}'"))?;
    let parameters = words.map(|word| {
        let (tag, value) = word.split_once('=').ok_or_else(|| format!("no parameter '{word}'"))?;
        let named = TAGS.iter().find(|(known, _)| *known == tag);
        let number = |value: &str| value.parse::<u32>().map(u32::to_be_bytes);
        match named {
            // Numbers, one after the other, in decimal.
            Some((_, tag)) if *tag != m3ua::tag::HEARTBEAT_DATA => {
                let numbers: Result<Vec<_>, _> = value.split(',').map(number).collect();
                Ok((*tag, numbers.map_err(|_| format!("no number '{value}'"))?.concat()))
            }
            Some((_, tag)) => Ok((*tag, octets(value)?)),
            None => {
                let tag = u16::from_str_radix(tag, 16).map_err(|_| format!("no parameter '{tag}'"))?;
                Ok((tag, octets(value)?))
            }
        }
    });
    Ok((kind, parameters.collect::<Result<_, String>>()?))
}

fn masked(text: &str) -> Result<Vec<Option<u8>>, String> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(format!("no octets '{text}'"));
    }
    let pairs = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    pairs
        .map(|pair| match pair {
            ".." => Ok(None),
            pair => u8::from_str_radix(pair, 16).map(Some).map_err(|_| format!("no octet '{pair}'")),
        })
        .collect()
}

fn octets(text: &str) -> Result<Vec<u8>, String> {
    let masked = masked(&text.split_whitespace().collect::<String>())?;
    masked.into_iter().map(|octet| octet.ok_or_else(|| "any octet can't be sent".to_string())).collect()
}

/// The data of the heartbeat that shows that nothing else has come.
const QUIET: &[u8] = b"is it quiet?";

/// Runs one case.
pub fn run(case: &Case, subject: &mut dyn Subject) -> Outcome {
    if let Err(why) = subject.reset(&case.profile) {
        return Outcome::NotApplicable(why);
    }
    steps(case, subject).err().unwrap_or(Outcome::Passed)
}

fn steps(case: &Case, subject: &mut dyn Subject) -> Result<(), Outcome> {
    subject.open(0);
    let up: &[&str] = match (subject.comes_up(), case.start) {
        (_, Start::Down) => &[],
        (false, Start::Up) => &["> ASPUP", "< ASPUP-ACK"],
        (false, Start::Active) => {
            &["> ASPUP", "< ASPUP-ACK", "> ASPAC rc=1", "< ASPAC-ACK", "< NTFY status=65539"]
        }
        (true, Start::Up) => &["< ASPUP", "> ASPUP-ACK", "< ASPAC"],
        (true, Start::Active) => &["< ASPUP", "> ASPUP-ACK", "< ASPAC", "> ASPAC-ACK rc=1"],
    };
    let none = BTreeMap::new();
    let prelude: Vec<(String, Step)> =
        up.iter().map(|text| (format!("to start: {text}"), step(text, &none).expect("it is good"))).collect();
    let mut open = 1;
    for (text, step) in prelude.iter().chain(&case.steps) {
        let failed = |why: String| Outcome::Failed(format!("{text}: {why}"));
        if let Step::Send(connection, _) | Step::Expect(connection, _) | Step::Quiet(connection) = step {
            while open <= *connection {
                subject.open(open);
                open += 1;
            }
        }
        match step {
            Step::Send(connection, bytes) => subject.send(*connection, bytes),
            Step::Expect(connection, expected) => {
                let heard = next(subject, *connection, expected.class());
                expected.fits(&heard).map_err(failed)?;
            }
            Step::Quiet(connection) => {
                let beat = m3ua::message(Kind::Beat, &[(m3ua::tag::HEARTBEAT_DATA, QUIET)]);
                subject.send(*connection, &beat);
                let parameters = vec![(m3ua::tag::HEARTBEAT_DATA, QUIET.to_vec())];
                let expected = Expected::Message { class: 3, kind: 6, parameters };
                expected.fits(&next(subject, *connection, 3)).map_err(failed)?;
            }
            Step::Closed(connection) => match next(subject, *connection, 0xff) {
                Heard::Closed => {}
                heard => return Err(failed(format!("not closed, but {}", shown(&heard)))),
            },
            Step::Wait(time) => subject.wait(*time).map_err(Outcome::NotApplicable)?,
            Step::Control(what) => subject.control(what)?,
        }
    }
    Ok(())
}

/// The next message; what is told of destinations is passed over where another class is expected.
fn next(subject: &mut dyn Subject, connection: usize, class: u8) -> Heard {
    loop {
        match subject.hear(connection) {
            Heard::Message(bytes) if bytes.get(2) == Some(&2) && class != 2 => {}
            heard => return heard,
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

    fn fits(&self, heard: &Heard) -> Result<(), String> {
        let Heard::Message(bytes) = heard else { return Err(format!("got {}", shown(heard))) };
        let got = || format!("got {}", shown(heard));
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
                let rest = data.user.strip_prefix(&head).ok_or_else(got)?;
                let same = rest.len() >= body.len()
                    && body
                        .iter()
                        .zip(rest)
                        .all(|(wanted, octet)| wanted.is_none_or(|wanted| wanted == *octet));
                same.then_some(()).ok_or_else(got)
            }
        }
    }
}

fn shown(heard: &Heard) -> String {
    match heard {
        Heard::Closed => "the end of the connection".into(),
        Heard::Nothing => "nothing".into(),
        Heard::Message(bytes) => {
            let name = bytes.get(2..4).and_then(|head| {
                let known = KINDS.iter().find(|known| [known.1, known.2] == head);
                known.map(|known| format!("{:?}", known.0))
            });
            let octets: String = bytes.iter().take(48).map(|octet| format!("{octet:02x}")).collect();
            format!("{} {octets}", name.unwrap_or_else(|| "a message".into()))
        }
    }
}
