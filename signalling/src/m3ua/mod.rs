//! The codec of M3UA messages (RFC 4666 section 3): a common header, then parameters of tag, length, value.

pub mod asp;
pub mod gateway;
pub mod states;

/// The protocol version of the common header.
pub const VERSION: u8 = 1;
/// The length of the common header in bytes.
const HEADER_LEN: usize = 8;
/// The longest accepted message in bytes: a call description of maximum length fits with its headers.
pub const MAX_MESSAGE_LEN: usize = 17 * 1024;
/// The number of bytes of an invalid message that ERR quotes.
const MAX_DIAGNOSTIC_LEN: usize = 40;

/// The kind of a message: its class and type (RFC 4666 3.1.2) under one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Err,
    Ntfy,
    Data,
    Duna,
    Dava,
    Daud,
    Scon,
    Dupu,
    Drst,
    AspUp,
    AspDown,
    Beat,
    AspUpAck,
    AspDownAck,
    BeatAck,
    AspActive,
    AspInactive,
    AspActiveAck,
    AspInactiveAck,
    RegReq,
    RegRsp,
    DeregReq,
    DeregRsp,
}

/// Each kind with its class and type.
pub const KINDS: [(Kind, u8, u8); 23] = [
    (Kind::Err, 0, 0),
    (Kind::Ntfy, 0, 1),
    (Kind::Data, 1, 1),
    (Kind::Duna, 2, 1),
    (Kind::Dava, 2, 2),
    (Kind::Daud, 2, 3),
    (Kind::Scon, 2, 4),
    (Kind::Dupu, 2, 5),
    (Kind::Drst, 2, 6),
    (Kind::AspUp, 3, 1),
    (Kind::AspDown, 3, 2),
    (Kind::Beat, 3, 3),
    (Kind::AspUpAck, 3, 4),
    (Kind::AspDownAck, 3, 5),
    (Kind::BeatAck, 3, 6),
    (Kind::AspActive, 4, 1),
    (Kind::AspInactive, 4, 2),
    (Kind::AspActiveAck, 4, 3),
    (Kind::AspInactiveAck, 4, 4),
    (Kind::RegReq, 9, 1),
    (Kind::RegRsp, 9, 2),
    (Kind::DeregReq, 9, 3),
    (Kind::DeregRsp, 9, 4),
];

/// Parameter tags (RFC 4666 3.2).
pub mod tag {
    pub const INFO_STRING: u16 = 0x0004;
    pub const ROUTING_CONTEXT: u16 = 0x0006;
    pub const DIAGNOSTIC_INFORMATION: u16 = 0x0007;
    pub const HEARTBEAT_DATA: u16 = 0x0009;
    pub const TRAFFIC_MODE_TYPE: u16 = 0x000b;
    pub const ERROR_CODE: u16 = 0x000c;
    pub const STATUS: u16 = 0x000d;
    pub const ASP_IDENTIFIER: u16 = 0x0011;
    pub const AFFECTED_POINT_CODE: u16 = 0x0012;
    pub const CORRELATION_ID: u16 = 0x0013;
    pub const REGISTRATION_RESULT: u16 = 0x0014;
    pub const DEREGISTRATION_RESULT: u16 = 0x0015;
    pub const REGISTRATION_STATUS: u16 = 0x0016;
    pub const DEREGISTRATION_STATUS: u16 = 0x0017;
    pub const LOCAL_ROUTING_KEY_ID: u16 = 0x0018;
    pub const NETWORK_APPEARANCE: u16 = 0x0200;
    pub const USER_CAUSE: u16 = 0x0204;
    pub const CONGESTION_INDICATIONS: u16 = 0x0205;
    pub const CONCERNED_DESTINATION: u16 = 0x0206;
    pub const ROUTING_KEY: u16 = 0x0207;
    pub const DESTINATION_POINT_CODE: u16 = 0x020b;
    pub const SERVICE_INDICATORS: u16 = 0x020c;
    pub const ORIGINATING_POINT_CODES: u16 = 0x020e;
    pub const PROTOCOL_DATA: u16 = 0x0210;
}

/// Error codes of ERR (RFC 4666 3.8.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[repr(u8)]
pub enum ErrorCode {
    #[error("invalid version")]
    Version = 0x01,
    #[error("unsupported message class")]
    Class = 0x03,
    #[error("unsupported message type")]
    Type = 0x04,
    #[error("unsupported traffic mode type")]
    TrafficMode = 0x05,
    #[error("unexpected message")]
    Unexpected = 0x06,
    #[error("protocol error")]
    Protocol = 0x07,
    #[error("refused, management blocking")]
    Blocked = 0x0d,
    #[error("ASP identifier required")]
    IdentifierRequired = 0x0e,
    #[error("invalid ASP identifier")]
    Identifier = 0x0f,
    #[error("invalid parameter value")]
    Value = 0x11,
    #[error("parameter field error")]
    Field = 0x12,
    #[error("missing parameter")]
    Missing = 0x16,
    #[error("invalid routing context")]
    RoutingContext = 0x19,
    #[error("no configured AS for ASP")]
    NoServer = 0x1a,
}

impl ErrorCode {
    /// All error codes, in ascending order.
    pub const ALL: [ErrorCode; 14] = [
        ErrorCode::Version,
        ErrorCode::Class,
        ErrorCode::Type,
        ErrorCode::TrafficMode,
        ErrorCode::Unexpected,
        ErrorCode::Protocol,
        ErrorCode::Blocked,
        ErrorCode::IdentifierRequired,
        ErrorCode::Identifier,
        ErrorCode::Value,
        ErrorCode::Field,
        ErrorCode::Missing,
        ErrorCode::RoutingContext,
        ErrorCode::NoServer,
    ];

    /// The index of this code in [`ErrorCode::ALL`].
    fn index(self) -> usize {
        Self::ALL.iter().position(|known| *known == self).expect("ALL lists every code")
    }
}

/// How the ASPs of an application server share its traffic (RFC 4666 3.4.1, Traffic Mode Type).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum TrafficMode {
    #[default]
    Override = 1,
    Loadshare = 2,
    Broadcast = 3,
}

impl TrafficMode {
    pub fn from_code(code: u32) -> Option<Self> {
        [TrafficMode::Override, TrafficMode::Loadshare, TrafficMode::Broadcast]
            .into_iter()
            .find(|mode| *mode as u32 == code)
    }
}

/// The extent of the first message in a byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Split {
    /// The message is complete and has this length in bytes.
    Whole(usize),
    /// More bytes are needed.
    Partial,
    /// The length in the header is invalid, so no later message can be found either.
    Broken,
}

/// Finds the first message by the length in its header, which includes the padding.
pub fn split(bytes: &[u8]) -> Split {
    let Some(length) = bytes.get(4..HEADER_LEN) else { return Split::Partial };
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if !(HEADER_LEN..=MAX_MESSAGE_LEN).contains(&length) || !length.is_multiple_of(4) {
        Split::Broken
    } else if bytes.len() < length {
        Split::Partial
    } else {
        Split::Whole(length)
    }
}

/// A received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub kind: Kind,
    parameters: &'a [u8],
}

impl<'a> Message<'a> {
    /// Decodes a message that [`split`] has found.
    ///
    /// # Errors
    /// The error code of the ERR reply: an unknown version, class or type, or a parameter whose length is
    /// invalid.
    pub fn read(bytes: &'a [u8]) -> Result<Self, ErrorCode> {
        let &[version, _, class, kind] = bytes.first_chunk().ok_or(ErrorCode::Protocol)?;
        if version != VERSION {
            return Err(ErrorCode::Version);
        }
        let known = KINDS.iter().find(|known| (known.1, known.2) == (class, kind));
        let Some(&(kind, ..)) = known else {
            let class_known = KINDS.iter().any(|known| known.1 == class);
            return Err(if class_known { ErrorCode::Type } else { ErrorCode::Class });
        };
        let message = Message { kind, parameters: bytes.get(HEADER_LEN..).ok_or(ErrorCode::Protocol)? };
        // All parameters are checked here, so that an invalid length is reported whichever of them is used.
        let mut rest = message.parameters;
        while !rest.is_empty() {
            rest = split_parameter(rest).ok_or(ErrorCode::Field)?.2;
        }
        Ok(message)
    }

    /// Whether bytes are an ERR message, even an invalid one: ERR is never answered with ERR.
    pub fn is_error(bytes: &[u8]) -> bool {
        matches!(bytes, [_, _, 0, 0, ..])
    }

    /// All parameters in their order in the message.
    pub fn parameters(&self) -> Parameters<'a> {
        Parameters(self.parameters)
    }

    /// The value of the first parameter with this tag.
    pub fn parameter(&self, tag: u16) -> Option<&'a [u8]> {
        self.parameters().find(|(found, _)| *found == tag).map(|(_, value)| value)
    }

    /// The value of a parameter that holds one 32-bit number; `None` where the parameter is missing.
    ///
    /// # Errors
    /// `ErrorCode::Value` where the value is not 4 bytes long.
    pub fn number(&self, tag: u16) -> Result<Option<u32>, ErrorCode> {
        let Some(value) = self.parameter(tag) else { return Ok(None) };
        let value = value.try_into().map_err(|_| ErrorCode::Value)?;
        Ok(Some(u32::from_be_bytes(value)))
    }

    /// The values of a parameter that holds a list of 32-bit numbers; empty where the parameter is missing.
    ///
    /// # Errors
    /// `ErrorCode::Field` where the length is not a multiple of 4 bytes.
    pub fn numbers(&self, tag: u16) -> Result<Vec<u32>, ErrorCode> {
        numbers(self.parameter(tag).unwrap_or_default())
    }
}

/// An iterator over encoded parameters, as pairs of tag and value.
#[derive(Clone, Copy, Debug)]
pub struct Parameters<'a>(&'a [u8]);

impl<'a> Parameters<'a> {
    /// The parameters nested in the value of another one, such as a routing key or a registration result.
    ///
    /// # Errors
    /// `ErrorCode::Field` where a nested parameter has an invalid length.
    pub fn inside(value: &'a [u8]) -> Result<Self, ErrorCode> {
        let mut rest = value;
        while !rest.is_empty() {
            rest = split_parameter(rest).ok_or(ErrorCode::Field)?.2;
        }
        Ok(Parameters(value))
    }
}

impl<'a> Iterator for Parameters<'a> {
    type Item = (u16, &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        let (tag, value, rest) = split_parameter(self.0)?;
        self.0 = rest;
        Some((tag, value))
    }
}

/// Splits the first parameter off: its tag, its value and the bytes after its padding.
fn split_parameter(bytes: &[u8]) -> Option<(u16, &[u8], &[u8])> {
    let &[tag, tag_low, length, length_low] = bytes.first_chunk()?;
    let length = usize::from(u16::from_be_bytes([length, length_low]));
    let value = bytes.get(4..length)?;
    let rest = bytes.get(length.next_multiple_of(4)..)?;
    Some((u16::from_be_bytes([tag, tag_low]), value, rest))
}

/// Decodes a list of 32-bit numbers.
fn numbers(value: &[u8]) -> Result<Vec<u32>, ErrorCode> {
    if !value.len().is_multiple_of(4) {
        return Err(ErrorCode::Field);
    }
    Ok(value
        .chunks_exact(4)
        .map(|number| u32::from_be_bytes([number[0], number[1], number[2], number[3]]))
        .collect())
}

/// Encodes a message: parameters are appended in order, and [`MessageBuilder::finish`] sets the length.
#[derive(Clone, Debug)]
pub struct MessageBuilder(Vec<u8>);

impl MessageBuilder {
    pub fn new(kind: Kind) -> Self {
        let &(_, class, number) =
            KINDS.iter().find(|known| known.0 == kind).expect("every kind is in the table");
        MessageBuilder(vec![VERSION, 0, class, number, 0, 0, 0, 0])
    }

    /// Appends a parameter, padded to a multiple of 4 bytes.
    pub fn parameter(mut self, tag: u16, value: &[u8]) -> Self {
        put_parameter(&mut self.0, tag, value);
        self
    }

    pub fn number(self, tag: u16, value: u32) -> Self {
        self.parameter(tag, &value.to_be_bytes())
    }

    /// Appends a parameter that holds a list of 32-bit numbers; an empty list is omitted.
    pub fn numbers(self, tag: u16, values: &[u32]) -> Self {
        if values.is_empty() {
            return self;
        }
        let bytes: Vec<u8> = values.iter().flat_map(|value| value.to_be_bytes()).collect();
        self.parameter(tag, &bytes)
    }

    /// The encoded message; `None` where it is longer than [`MAX_MESSAGE_LEN`].
    pub fn finish(mut self) -> Option<Vec<u8>> {
        let length = self.0.len();
        self.0[4..HEADER_LEN].copy_from_slice(&(length as u32).to_be_bytes());
        (length <= MAX_MESSAGE_LEN).then_some(self.0)
    }
}

/// Appends an encoded parameter and its padding.
fn put_parameter(bytes: &mut Vec<u8>, tag: u16, value: &[u8]) {
    bytes.extend(tag.to_be_bytes());
    bytes.extend((4 + value.len() as u16).to_be_bytes());
    bytes.extend(value);
    bytes.resize(bytes.len().next_multiple_of(4), 0);
}

/// Encodes a message with these parameters, whose total length has to be below [`MAX_MESSAGE_LEN`].
pub fn message(kind: Kind, parameters: &[(u16, &[u8])]) -> Vec<u8> {
    let builder = parameters
        .iter()
        .fold(MessageBuilder::new(kind), |builder, (tag, value)| builder.parameter(*tag, value));
    builder.finish().expect("control messages are short")
}

/// Encodes ERR for a message, which quotes the start of the message.
pub fn error_message(code: ErrorCode, offending: &[u8]) -> Vec<u8> {
    let start = &offending[..offending.len().min(MAX_DIAGNOSTIC_LEN)];
    message(
        Kind::Err,
        &[(tag::ERROR_CODE, &(code as u32).to_be_bytes()), (tag::DIAGNOSTIC_INFORMATION, start)],
    )
}

/// The Protocol Data parameter of DATA (RFC 4666 3.3.1): the routing label and the user part's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolData<'a> {
    /// The originating point code.
    pub origin: u32,
    /// The destination point code.
    pub destination: u32,
    /// The service indicator.
    pub service: u8,
    /// The network indicator.
    pub network: u8,
    /// The signalling link selection: messages with the same value stay in order.
    pub selection: u8,
    /// The user part's message.
    pub payload: &'a [u8],
}

/// The service indicator of ISUP (Q.704 14.2.1).
pub const ISUP: u8 = 5;
/// The length of the routing label in bytes.
const LABEL_LEN: usize = 12;

impl<'a> ProtocolData<'a> {
    pub fn read(value: &'a [u8]) -> Result<Self, ErrorCode> {
        let (label, payload) = value.split_first_chunk::<LABEL_LEN>().ok_or(ErrorCode::Field)?;
        let &[o0, o1, o2, o3, d0, d1, d2, d3, service, network, _, selection] = label;
        let origin = u32::from_be_bytes([o0, o1, o2, o3]);
        let destination = u32::from_be_bytes([d0, d1, d2, d3]);
        Ok(ProtocolData { origin, destination, service, network, selection, payload })
    }

    /// Encodes the DATA message that carries this; `None` where it is too long. In broadcast mode a
    /// correlation id identifies the copies of one message.
    pub fn message(&self, routing_context: u32, correlation: Option<u32>) -> Option<Vec<u8>> {
        let mut value = Vec::with_capacity(LABEL_LEN + self.payload.len());
        value.extend(self.origin.to_be_bytes());
        value.extend(self.destination.to_be_bytes());
        value.extend([self.service, self.network, 0, self.selection]);
        value.extend(self.payload);
        let builder = MessageBuilder::new(Kind::Data).number(tag::ROUTING_CONTEXT, routing_context);
        let builder = builder.parameter(tag::PROTOCOL_DATA, &value);
        match correlation {
            Some(correlation) => builder.number(tag::CORRELATION_ID, correlation).finish(),
            None => builder.finish(),
        }
    }
}

/// An Affected Point Code of a network management message (RFC 4666 3.4.1): a point code and the number of
/// its low bits that are wildcards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AffectedPointCode {
    pub code: u32,
    pub mask: u8,
}

impl AffectedPointCode {
    /// A single point code.
    pub fn single(code: u32) -> Self {
        AffectedPointCode { code: code & 0x00ff_ffff, mask: 0 }
    }

    pub fn from_word(word: u32) -> Self {
        AffectedPointCode { code: word & 0x00ff_ffff, mask: (word >> 24) as u8 }
    }

    pub fn word(self) -> u32 {
        u32::from(self.mask) << 24 | self.code
    }

    pub fn covers(self, code: u32) -> bool {
        let bits = u32::from(self.mask.min(24));
        code >> bits == self.code >> bits
    }

    /// All affected point codes of a message.
    ///
    /// # Errors
    /// The parameter is missing or empty, or its length is not a multiple of 4 bytes.
    pub fn all_in(message: &Message) -> Result<Vec<AffectedPointCode>, ErrorCode> {
        let words = message.numbers(tag::AFFECTED_POINT_CODE)?;
        if words.is_empty() {
            return Err(ErrorCode::Missing);
        }
        Ok(words.into_iter().map(AffectedPointCode::from_word).collect())
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn message_layout_follows_the_rfc() {
        let bytes = message(Kind::Beat, &[(tag::HEARTBEAT_DATA, b"abcde")]);
        let expected = [1, 0, 3, 3, 0, 0, 0, 20, 0, 9, 0, 9, b'a', b'b', b'c', b'd', b'e', 0, 0, 0];
        assert_eq!(bytes, expected);
        let read = Message::read(&bytes).expect("well formed");
        assert_eq!((read.kind, read.parameter(tag::HEARTBEAT_DATA)), (Kind::Beat, Some(&b"abcde"[..])));
        assert_eq!((split(&bytes[..19]), split(&bytes)), (Split::Partial, Split::Whole(20)));
    }

    #[test]
    fn invalid_messages_have_their_error_codes() {
        let good = message(Kind::AspActive, &[(tag::ROUTING_CONTEXT, &7u32.to_be_bytes())]);
        let with = |at: usize, byte: u8| {
            let mut bytes = good.clone();
            bytes[at] = byte;
            Message::read(&bytes).map(|message| message.kind)
        };
        assert_eq!(with(0, 2), Err(ErrorCode::Version));
        assert_eq!(with(2, 7), Err(ErrorCode::Class));
        assert_eq!(with(3, 200), Err(ErrorCode::Type));
        assert_eq!(with(11, 3), Err(ErrorCode::Field));
        assert_eq!(with(11, 200), Err(ErrorCode::Field));
        for length in [0u32, 7, 18, u32::MAX] {
            let mut bytes = good.clone();
            bytes[4..8].copy_from_slice(&length.to_be_bytes());
            assert_eq!(split(&bytes), Split::Broken, "{length}");
        }
    }

    #[test]
    fn mask_covers_the_low_bits() {
        let some = AffectedPointCode::from_word(0x0200_0bb8);
        assert!(some.covers(0x0bb8) && some.covers(0x0bbb) && !some.covers(0x0bbc));
        assert!(AffectedPointCode { code: 0, mask: 255 }.covers(0x00ff_ffff));
        assert_eq!(some.word(), 0x0200_0bb8);
    }

    proptest! {
        #[test]
        fn decoded_messages_encode_identically(
            kind in 0..KINDS.len(),
            parameters in
                prop::collection::vec((any::<u16>(), prop::collection::vec(any::<u8>(), 0..40)), 0..6),
        ) {
            let kind = KINDS[kind].0;
            let parts: Vec<(u16, &[u8])> = parameters.iter().map(|(tag, value)| (*tag, &value[..])).collect();
            let bytes = message(kind, &parts);
            prop_assert_eq!(split(&bytes), Split::Whole(bytes.len()));
            let read = Message::read(&bytes).expect("just written");
            let again: Vec<_> = read.parameters().collect();
            prop_assert_eq!((read.kind, &again), (kind, &parts));
            prop_assert_eq!(message(read.kind, &again), bytes);
        }

        #[test]
        fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
            let _ = split(&bytes);
            if let Ok(message) = Message::read(&bytes) {
                let _ = (AffectedPointCode::all_in(&message), message.number(tag::ROUTING_CONTEXT));
                if let Some(value) = message.parameter(tag::PROTOCOL_DATA) {
                    let _ = ProtocolData::read(value);
                }
            }
        }
    }
}
