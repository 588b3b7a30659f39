//! Codec of ISUP messages (Q.763) for calls, circuits and circuit groups.
//!
//! A description is encoded as user-to-user information, in as many parameters as needed. A called number
//! that is not a string of address signals is encoded as generic digits. Decoding restores both unchanged.

use crate::cause::{Cause, Location};
use crate::trie::DIGITS;
use crate::{Circuit, HIGHEST_CIRCUIT};

/// Message types (Q.763 table 4).
pub mod kind {
    pub const IAM: u8 = 0x01;
    pub const SAM: u8 = 0x02;
    pub const INR: u8 = 0x03;
    pub const INF: u8 = 0x04;
    pub const COT: u8 = 0x05;
    pub const ACM: u8 = 0x06;
    pub const CON: u8 = 0x07;
    pub const FOT: u8 = 0x08;
    pub const ANM: u8 = 0x09;
    pub const REL: u8 = 0x0c;
    pub const SUS: u8 = 0x0d;
    pub const RES: u8 = 0x0e;
    pub const RLC: u8 = 0x10;
    pub const CCR: u8 = 0x11;
    pub const RSC: u8 = 0x12;
    pub const BLO: u8 = 0x13;
    pub const UBL: u8 = 0x14;
    pub const BLA: u8 = 0x15;
    pub const UBA: u8 = 0x16;
    pub const GRS: u8 = 0x17;
    pub const CGB: u8 = 0x18;
    pub const CGU: u8 = 0x19;
    pub const CGBA: u8 = 0x1a;
    pub const CGUA: u8 = 0x1b;
    pub const LPA: u8 = 0x24;
    pub const GRA: u8 = 0x29;
    pub const CQM: u8 = 0x2a;
    pub const CQR: u8 = 0x2b;
    pub const CPG: u8 = 0x2c;
    pub const UCIC: u8 = 0x2e;
    pub const CFN: u8 = 0x2f;
    pub const SGM: u8 = 0x38;
}

/// Parameter names of the optional part (Q.763 table 5).
mod parameter {
    pub const END: u8 = 0x00;
    pub const FORWARD_INDICATORS: u8 = 0x08;
    pub const USER_TO_USER: u8 = 0x20;
    pub const CONGESTION: u8 = 0x27;
    pub const MESSAGE_COMPATIBILITY: u8 = 0x38;
    pub const GENERIC_DIGITS: u8 = 0xc1;
}

/// The protocol discriminator for IA5 characters (Q.931 table 4-26).
const IA5: u8 = 0x04;
/// The most octets of user information in one parameter, after the discriminator.
const MAX_USER_INFORMATION_OCTETS: usize = 128;
/// Encoding scheme and type of generic digits: IA5, national use.
const IA5_DIGITS: u8 = 0x40;
/// The most generic digits in one parameter.
const MAX_GENERIC_DIGITS: usize = 254;
/// The most address signals in a called party number; longer numbers are sent as generic digits.
const MAX_ADDRESS_SIGNALS: usize = 64;
/// International number, ISDN numbering plan.
const NATURE_AND_PLAN: (u8, u8) = (0x04, 0x10);
/// Simple segmentation indicator: more follows in SGM (Q.763 3.38).
const MORE_FOLLOWS: u8 = 0x04;
/// The most circuits that a group message may affect (Q.764 2.9.3 and 2.8.2): the range of resets and queries
/// goes to 31, that of blocking messages to 255 with at most 32 circuits marked.
pub const MAX_GROUP_CIRCUITS: usize = 32;

/// The continuity check indicator of a set-up (Q.763 3.35).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Continuity {
    #[default]
    NotRequired,
    /// Required on this circuit.
    Required,
    /// Performed on a previous circuit of the connection.
    Performed,
}

/// The type of a group's blocking (Q.763 3.13): for maintenance or for hardware failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blocking {
    Maintenance,
    Hardware,
}

/// A set-up (IAM). SGM may add to its description, and SAM to its number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SetUp {
    pub category: u8,
    pub continuity: Continuity,
    pub number: String,
    pub description: String,
    /// Whether SGM follows with the rest of the description.
    pub segmented: bool,
}

/// Range and status (Q.763 3.43): consecutive circuits, from the message's own circuit on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The number of circuits after the first.
    pub additional: u8,
    /// The status bit of each circuit; empty in messages without status.
    pub status: Vec<bool>,
}

/// The circuit state indicator in CQR (Q.763 3.14).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    Transient,
    Unequipped,
    /// Equipped, with the call processing state and the ends that have blocked the circuit, for maintenance
    /// and for hardware failure.
    Equipped {
        call_processing: CallProcessing,
        maintenance: Ends,
        hardware: Ends,
    },
}

/// The call processing state of a circuit (Q.763 3.14).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProcessing {
    Incoming,
    Outgoing,
    Idle,
}

/// The ends of a circuit that have blocked it, as seen by the sender of the message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    pub local: bool,
    pub remote: bool,
}

/// Message compatibility information: how to treat a message of an unknown type (Q.763 3.33).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Compatibility {
    pub release: bool,
    pub notify: bool,
    pub discard: bool,
}

/// The type and the parameters of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    SetUp(SetUp),
    SubsequentAddress {
        digits: String,
    },
    InformationRequest,
    Information,
    ContinuityResult {
        success: bool,
    },
    /// Address complete (ACM): the set-up is proceeding.
    AddressComplete {
        description: String,
    },
    Connect {
        description: String,
    },
    ForwardTransfer,
    Answer {
        description: String,
    },
    Release {
        cause: Cause,
        location: Location,
        congestion: Option<u8>,
    },
    Suspend,
    Resume,
    ReleaseComplete,
    ContinuityCheckRequest,
    ResetCircuit,
    Block,
    Unblock,
    BlockAck,
    UnblockAck,
    ResetGroup(Range),
    BlockGroup(Blocking, Range),
    UnblockGroup(Blocking, Range),
    BlockGroupAck(Blocking, Range),
    UnblockGroupAck(Blocking, Range),
    LoopBackAck,
    ResetGroupAck(Range),
    QueryGroup(Range),
    QueryGroupResponse(Range, Vec<CircuitState>),
    Progress,
    Unequipped,
    Confusion {
        cause: Cause,
    },
    Segment {
        description: String,
    },
    /// A type that this codec does not know, with the sender's compatibility information.
    Unknown {
        kind: u8,
        compatibility: Option<Compatibility>,
    },
}

/// A message for a circuit, or for a group that begins with the circuit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub circuit: Circuit,
    pub body: Body,
}

/// Why a message cannot be decoded; with its circuit, where that could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("message too short for a circuit identification code and a message type")]
    Truncated,
    #[error("invalid parameters in a message of type {kind:#04x}")]
    InvalidParameters { circuit: Circuit, kind: u8 },
}

impl Message {
    pub fn new(circuit: Circuit, body: Body) -> Self {
        Message { circuit, body }
    }

    /// Decodes a message. An unknown message type is decoded as [`Body::Unknown`].
    ///
    /// # Errors
    /// The message is truncated, a parameter in it is invalid, or a pointer or length leads out of the
    /// message.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (&[low, high, kind], body) = bytes.split_first_chunk().ok_or(DecodeError::Truncated)?;
        let circuit = u16::from_le_bytes([low, high]) & HIGHEST_CIRCUIT;
        let body = Body::read(kind, body).ok_or(DecodeError::InvalidParameters { circuit, kind })?;
        Ok(Message { circuit, body })
    }

    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = (self.circuit & HIGHEST_CIRCUIT).to_le_bytes().to_vec();
        bytes.push(self.body.kind());
        self.body.write(&mut bytes);
        bytes
    }

    /// Encodes a set-up in messages of at most `max_len` bytes: in one if it fits, else in two segments.
    /// Returns `None` if it does not fit into two.
    pub fn segments(circuit: Circuit, set_up: &SetUp, max_len: usize) -> Option<Vec<Vec<u8>>> {
        let whole = Message::new(circuit, Body::SetUp(set_up.clone())).to_bytes();
        if whole.len() <= max_len {
            return Some(vec![whole]);
        }
        // The first segment takes as much of the description as fits, cut at a character boundary.
        let segments_at = |len: usize| {
            let cut = (0..=len.min(set_up.description.len()))
                .rev()
                .find(|at| set_up.description.is_char_boundary(*at))?;
            let (first, rest) = set_up.description.split_at(cut);
            let first = SetUp { description: first.into(), segmented: true, ..set_up.clone() };
            let first = Message::new(circuit, Body::SetUp(first)).to_bytes();
            let rest = Message::new(circuit, Body::Segment { description: rest.into() }).to_bytes();
            Some((first, rest))
        };
        let cut = (0..set_up.description.len())
            .rev()
            .find(|&len| segments_at(len).is_some_and(|(first, _)| first.len() <= max_len))?;
        let (first, rest) = segments_at(cut)?;
        (rest.len() <= max_len).then(|| vec![first, rest])
    }
}

impl Body {
    /// The message type code.
    pub fn kind(&self) -> u8 {
        match self {
            Body::SetUp(_) => kind::IAM,
            Body::SubsequentAddress { .. } => kind::SAM,
            Body::InformationRequest => kind::INR,
            Body::Information => kind::INF,
            Body::ContinuityResult { .. } => kind::COT,
            Body::AddressComplete { .. } => kind::ACM,
            Body::Connect { .. } => kind::CON,
            Body::ForwardTransfer => kind::FOT,
            Body::Answer { .. } => kind::ANM,
            Body::Release { .. } => kind::REL,
            Body::Suspend => kind::SUS,
            Body::Resume => kind::RES,
            Body::ReleaseComplete => kind::RLC,
            Body::ContinuityCheckRequest => kind::CCR,
            Body::ResetCircuit => kind::RSC,
            Body::Block => kind::BLO,
            Body::Unblock => kind::UBL,
            Body::BlockAck => kind::BLA,
            Body::UnblockAck => kind::UBA,
            Body::ResetGroup(_) => kind::GRS,
            Body::BlockGroup(..) => kind::CGB,
            Body::UnblockGroup(..) => kind::CGU,
            Body::BlockGroupAck(..) => kind::CGBA,
            Body::UnblockGroupAck(..) => kind::CGUA,
            Body::LoopBackAck => kind::LPA,
            Body::ResetGroupAck(_) => kind::GRA,
            Body::QueryGroup(_) => kind::CQM,
            Body::QueryGroupResponse(..) => kind::CQR,
            Body::Progress => kind::CPG,
            Body::Unequipped => kind::UCIC,
            Body::Confusion { .. } => kind::CFN,
            Body::Segment { .. } => kind::SGM,
            Body::Unknown { kind, .. } => *kind,
        }
    }

    fn read(kind: u8, body: &[u8]) -> Option<Self> {
        let description = |pointer| read_optional(body, pointer).map(|parts| parts.description);
        Some(match kind {
            kind::IAM => Body::SetUp(read_set_up(body)?),
            kind::SAM => Body::SubsequentAddress { digits: unpack_digits(read_variable(body, 0)?, 1)? },
            kind::INR => require_octets(body, 2, Body::InformationRequest)?,
            kind::INF => require_octets(body, 2, Body::Information)?,
            kind::COT => Body::ContinuityResult { success: body.first()? & 1 == 1 },
            kind::ACM => Body::AddressComplete { description: description(2)? },
            kind::CON => Body::Connect { description: description(2)? },
            kind::FOT => Body::ForwardTransfer,
            kind::ANM => Body::Answer { description: description(0)? },
            kind::REL => {
                let &[location, cause] = read_variable(body, 0)?.first_chunk()?;
                let congestion = read_optional(body, 1)?.congestion;
                Body::Release {
                    cause: Cause(cause & 0x7f),
                    location: Location::from_code(location),
                    congestion,
                }
            }
            kind::SUS => require_octets(body, 1, Body::Suspend)?,
            kind::RES => require_octets(body, 1, Body::Resume)?,
            kind::RLC => Body::ReleaseComplete,
            kind::CCR => Body::ContinuityCheckRequest,
            kind::RSC => Body::ResetCircuit,
            kind::BLO => Body::Block,
            kind::UBL => Body::Unblock,
            kind::BLA => Body::BlockAck,
            kind::UBA => Body::UnblockAck,
            kind::GRS => Body::ResetGroup(read_range(body, 0, false)?),
            kind::CGB => Body::BlockGroup(read_blocking(body)?, read_range(body, 1, true)?),
            kind::CGU => Body::UnblockGroup(read_blocking(body)?, read_range(body, 1, true)?),
            kind::CGBA => Body::BlockGroupAck(read_blocking(body)?, read_range(body, 1, true)?),
            kind::CGUA => Body::UnblockGroupAck(read_blocking(body)?, read_range(body, 1, true)?),
            kind::LPA => Body::LoopBackAck,
            kind::GRA => Body::ResetGroupAck(read_range(body, 0, true)?),
            kind::CQM => Body::QueryGroup(read_range(body, 0, false)?),
            kind::CQR => {
                let range = read_range(body, 0, false)?;
                let states: Vec<_> =
                    read_variable(body, 1)?.iter().map(|octet| read_circuit_state(*octet)).collect();
                (states.len() == usize::from(range.additional) + 1)
                    .then_some(Body::QueryGroupResponse(range, states))?
            }
            kind::CPG => require_octets(body, 1, Body::Progress)?,
            kind::UCIC => Body::Unequipped,
            kind::CFN => Body::Confusion { cause: Cause(read_variable(body, 0)?.get(1)? & 0x7f) },
            kind::SGM => Body::Segment { description: description(0)? },
            kind => Body::Unknown {
                kind,
                compatibility: read_optional(body, 0).and_then(|parts| parts.compatibility),
            },
        })
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        match self {
            Body::SetUp(set_up) => write_set_up(bytes, set_up),
            Body::SubsequentAddress { digits } => {
                let (odd, packed) = pack_digits(digits);
                bytes.extend([2, 0, 1 + packed.len() as u8, odd]);
                bytes.extend(packed);
            }
            // No information is requested, and none is given.
            Body::InformationRequest | Body::Information => bytes.extend([0, 0, 0]),
            Body::ContinuityResult { success } => bytes.push(u8::from(*success)),
            // Backward call indicators: charge, subscriber free, ISDN user part all the way.
            Body::AddressComplete { description } | Body::Connect { description } => {
                bytes.extend([0x16, 0x14, 1]);
                write_description(bytes, description);
            }
            Body::Answer { description } | Body::Segment { description } => {
                bytes.push(1);
                write_description(bytes, description);
            }
            Body::Release { cause, location, congestion } => {
                let optional = if congestion.is_some() { 4 } else { 0 };
                bytes.extend([2, optional, 2, 0x80 | *location as u8, 0x80 | cause.0]);
                if let Some(level) = congestion {
                    bytes.extend([parameter::CONGESTION, 1, *level, parameter::END]);
                }
            }
            // Suspend/resume indicators: network initiated.
            Body::Suspend | Body::Resume => bytes.extend([1, 0]),
            // Event information: alerting.
            Body::Progress => bytes.extend([1, 0]),
            Body::ReleaseComplete | Body::ForwardTransfer => bytes.push(0),
            Body::ResetGroup(range) | Body::QueryGroup(range) => bytes.extend([1, 1, range.additional]),
            Body::ResetGroupAck(range) => {
                bytes.push(1);
                write_range(bytes, range);
            }
            Body::BlockGroup(blocking, range)
            | Body::UnblockGroup(blocking, range)
            | Body::BlockGroupAck(blocking, range)
            | Body::UnblockGroupAck(blocking, range) => {
                bytes.extend([*blocking as u8, 1]);
                write_range(bytes, range);
            }
            Body::QueryGroupResponse(range, states) => {
                bytes.extend([2, 3, 1, range.additional, states.len() as u8]);
                bytes.extend(states.iter().map(|state| circuit_state_octet(*state)));
            }
            Body::Confusion { cause } => {
                bytes.extend([2, 0, 2, 0x80 | Location::BeyondInterworking as u8, 0x80 | cause.0])
            }
            Body::Unknown { compatibility: Some(compatibility), .. } => {
                let Compatibility { release, notify, discard } = *compatibility;
                let bits = u8::from(release) << 1 | u8::from(notify) << 2 | u8::from(discard) << 3;
                bytes.extend([1, parameter::MESSAGE_COMPATIBILITY, 1, 0x80 | bits, parameter::END]);
            }
            Body::ContinuityCheckRequest
            | Body::ResetCircuit
            | Body::Block
            | Body::Unblock
            | Body::BlockAck
            | Body::UnblockAck
            | Body::LoopBackAck
            | Body::Unequipped
            | Body::Unknown { compatibility: None, .. } => {}
        }
    }
}

impl Range {
    /// A range of `circuits` circuits, from the message's own on, without status.
    pub fn spanning(circuits: usize) -> Self {
        Range { additional: (circuits.max(1) - 1) as u8, status: Vec::new() }
    }

    /// The number of circuits.
    pub fn circuits(&self) -> usize {
        usize::from(self.additional) + 1
    }

    /// Whether a group message may carry the range: more than one circuit, and at most the number that the
    /// standard allows (Q.764 2.9.3.1 for resets and queries, 2.8.2.1 for blocking).
    pub fn is_valid(&self) -> bool {
        let marked = self.status.iter().filter(|marked| **marked).count();
        self.additional > 0
            && if self.status.is_empty() {
                self.circuits() <= MAX_GROUP_CIRCUITS
            } else {
                marked <= MAX_GROUP_CIRCUITS
            }
    }
}

/// Returns the given message where its mandatory part has this many octets.
fn require_octets(body: &[u8], octets: usize, body_if_complete: Body) -> Option<Body> {
    (body.len() >= octets).then_some(body_if_complete)
}

fn read_blocking(body: &[u8]) -> Option<Blocking> {
    match body.first()? & 3 {
        0 => Some(Blocking::Maintenance),
        1 => Some(Blocking::Hardware),
        _ => None,
    }
}

/// Decodes range and status, by the position of the pointer.
fn read_range(body: &[u8], pointer: usize, with_status: bool) -> Option<Range> {
    let (&additional, octets) = read_variable(body, pointer)?.split_first()?;
    let circuits = usize::from(additional) + 1;
    if !with_status {
        return Some(Range { additional, status: Vec::new() });
    }
    if octets.len() < circuits.div_ceil(8) {
        return None;
    }
    let status = (0..circuits).map(|index| octets[index / 8] >> (index % 8) & 1 == 1).collect();
    Some(Range { additional, status })
}

fn write_range(bytes: &mut Vec<u8>, range: &Range) {
    let mut octets = vec![0; range.circuits().div_ceil(8)];
    for (index, marked) in range.status.iter().enumerate() {
        octets[index / 8] |= u8::from(*marked) << (index % 8);
    }
    bytes.extend([1 + octets.len() as u8, range.additional]);
    bytes.extend(octets);
}

fn read_circuit_state(octet: u8) -> CircuitState {
    let ends = |bits: u8| Ends { local: bits & 1 == 1, remote: bits & 2 == 2 };
    let call_processing = match octet >> 2 & 3 {
        0 if octet & 3 == 3 => return CircuitState::Unequipped,
        0 => return CircuitState::Transient,
        1 => CallProcessing::Incoming,
        2 => CallProcessing::Outgoing,
        _ => CallProcessing::Idle,
    };
    CircuitState::Equipped { call_processing, maintenance: ends(octet), hardware: ends(octet >> 4) }
}

fn circuit_state_octet(state: CircuitState) -> u8 {
    let ends = |ends: Ends| u8::from(ends.local) | u8::from(ends.remote) << 1;
    match state {
        CircuitState::Transient => 0,
        CircuitState::Unequipped => 3,
        CircuitState::Equipped { call_processing, maintenance, hardware } => {
            let call_processing = match call_processing {
                CallProcessing::Incoming => 1,
                CallProcessing::Outgoing => 2,
                CallProcessing::Idle => 3,
            };
            ends(hardware) << 4 | call_processing << 2 | ends(maintenance)
        }
    }
}

fn write_set_up(bytes: &mut Vec<u8>, set_up: &SetUp) {
    let SetUp { category, continuity, number, description, segmented } = set_up;
    let is_address_signals =
        number.len() <= MAX_ADDRESS_SIGNALS && number.bytes().all(|byte| DIGITS.contains(&byte));
    let continuity = match continuity {
        Continuity::NotRequired => 0x00,
        Continuity::Required => 0x04,
        Continuity::Performed => 0x08,
    };
    // Nature of connection without a satellite; forward call indicators with ISDN user part preferred all the
    // way; transmission medium speech.
    bytes.extend([continuity, 0x20, 0x01, *category, 0x00]);
    let (odd, called) = pack_digits(if is_address_signals { number } else { "" });
    bytes.extend([2, 4 + called.len() as u8, 2 + called.len() as u8]);
    bytes.extend([odd | NATURE_AND_PLAN.0, NATURE_AND_PLAN.1]);
    bytes.extend(called);
    if !is_address_signals {
        for part in number.as_bytes().chunks(MAX_GENERIC_DIGITS) {
            bytes.extend([parameter::GENERIC_DIGITS, 1 + part.len() as u8, IA5_DIGITS]);
            bytes.extend(part);
        }
    }
    if *segmented {
        bytes.extend([parameter::FORWARD_INDICATORS, 1, MORE_FOLLOWS]);
    }
    write_description(bytes, description);
}

fn write_description(bytes: &mut Vec<u8>, description: &str) {
    for part in description.as_bytes().chunks(MAX_USER_INFORMATION_OCTETS) {
        bytes.extend([parameter::USER_TO_USER, 1 + part.len() as u8, IA5]);
        bytes.extend(part);
    }
    bytes.push(parameter::END);
}

/// Packs address signals in pairs. Returns the odd/even indicator bit and the octets.
fn pack_digits(digits: &str) -> (u8, Vec<u8>) {
    let value = |byte: &u8| DIGITS.iter().position(|digit| digit == byte).unwrap_or(0) as u8;
    let packed = digits.as_bytes().chunks(2).map(|pair| value(&pair[0]) | pair.get(1).map_or(0, value) << 4);
    (if digits.len() % 2 == 1 { 0x80 } else { 0 }, packed.collect())
}

/// Unpacks the address signals of a number that follow `head` octets, the first of which has the odd/even
/// indicator.
fn unpack_digits(number: &[u8], head: usize) -> Option<String> {
    let odd = number.first()? & 0x80 != 0;
    let digits = number.get(head..)?.iter().flat_map(|byte| [byte & 0x0f, byte >> 4]);
    let mut text: String = digits.map(|digit| char::from(DIGITS[usize::from(digit)])).collect();
    if odd {
        text.pop();
    }
    Some(text)
}

fn read_set_up(body: &[u8]) -> Option<SetUp> {
    let continuity = match body.first()? >> 2 & 3 {
        1 => Continuity::Required,
        2 => Continuity::Performed,
        _ => Continuity::NotRequired,
    };
    let category = *body.get(3)?;
    let number = unpack_digits(read_variable(body, 5)?, 2)?;
    let parts = read_optional(body, 6)?;
    let number = if parts.digits.is_empty() { number } else { parts.digits };
    Some(SetUp {
        category,
        continuity,
        number,
        description: parts.description,
        segmented: parts.more_follows,
    })
}

/// A mandatory parameter of variable length, by the position of its pointer. Pointers count from their own
/// octet.
fn read_variable(body: &[u8], pointer: usize) -> Option<&[u8]> {
    let at = pointer + usize::from(*body.get(pointer)?);
    let length = usize::from(*body.get(at)?);
    body.get(at + 1..at + 1 + length)
}

#[derive(Default)]
struct OptionalParameters {
    description: String,
    digits: String,
    congestion: Option<u8>,
    more_follows: bool,
    compatibility: Option<Compatibility>,
}

/// Decodes the optional part, by the position of its pointer; a zero pointer stands for no optional part.
/// Unknown parameters are skipped.
fn read_optional(body: &[u8], pointer: usize) -> Option<OptionalParameters> {
    let mut found = OptionalParameters::default();
    let (mut description, mut digits) = (Vec::new(), Vec::new());
    let offset = usize::from(*body.get(pointer)?);
    let mut rest = if offset == 0 { &[] } else { body.get(pointer + offset..)? };
    while let Some((&name, after)) = rest.split_first() {
        if name == parameter::END {
            break;
        }
        let (&length, after) = after.split_first()?;
        let (value, after) = after.split_at_checked(length.into())?;
        match name {
            parameter::USER_TO_USER => description.extend(value.get(1..)?),
            parameter::GENERIC_DIGITS => digits.extend(value.get(1..)?),
            parameter::CONGESTION => found.congestion = value.first().copied(),
            parameter::FORWARD_INDICATORS => found.more_follows = value.first()? & MORE_FOLLOWS != 0,
            parameter::MESSAGE_COMPATIBILITY => {
                let bits = *value.first()?;
                let bit = |index: u8| bits >> index & 1 == 1;
                found.compatibility =
                    Some(Compatibility { release: bit(1), notify: bit(2), discard: bit(3) });
            }
            _ => {}
        }
        rest = after;
    }
    found.description = String::from_utf8(description).ok()?;
    found.digits = String::from_utf8(digits).ok()?;
    Some(found)
}

#[cfg(test)]
mod tests;
