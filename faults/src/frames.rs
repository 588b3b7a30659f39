//! Splits a byte stream, which may arrive in any pieces, into messages.

use steprelay_signalling::m3ua;

use crate::plan::Framing;

/// Longer messages are forwarded in parts as they arrive: the proxy buffers no more of a peer's bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The buffered bytes of one direction of a connection.
#[derive(Debug)]
pub struct Frames {
    framing: Framing,
    buffer: Vec<u8>,
}

/// Where the first message in the buffer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Boundary {
    Message(usize),
    Incomplete,
    /// No message boundary can be found from here on.
    Broken,
}

impl Frames {
    pub fn new(framing: Framing) -> Self {
        Frames { framing, buffer: Vec::new() }
    }

    /// Buffers received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message. Once no boundary can be found, all buffered bytes form one message, and so
    /// do all later bytes: the proxy never withholds bytes for good.
    pub fn next_message(&mut self) -> Option<Vec<u8>> {
        if self.buffer.is_empty() {
            return None;
        }
        match self.find_boundary() {
            Boundary::Message(length) => Some(self.buffer.drain(..length).collect()),
            Boundary::Incomplete if self.buffer.len() < MAX_MESSAGE_BYTES => None,
            Boundary::Incomplete | Boundary::Broken => {
                self.framing = Framing::Raw;
                Some(std::mem::take(&mut self.buffer))
            }
        }
    }

    /// The bytes that are left when the stream has ended.
    pub fn take_remainder(&mut self) -> Option<Vec<u8>> {
        (!self.buffer.is_empty()).then(|| std::mem::take(&mut self.buffer))
    }

    fn find_boundary(&self) -> Boundary {
        match self.framing {
            Framing::Raw => Boundary::Message(self.buffer.len()),
            Framing::Lines => match self.buffer.iter().position(|byte| *byte == b'\n') {
                Some(end) => Boundary::Message(end + 1),
                None => Boundary::Incomplete,
            },
            Framing::M3ua => match m3ua::split(&self.buffer) {
                m3ua::Split::Whole(length) => Boundary::Message(length),
                m3ua::Split::Partial => Boundary::Incomplete,
                m3ua::Split::Broken => Boundary::Broken,
            },
            Framing::LengthPrefixed => {
                let Some(length) = self.buffer.first_chunk::<4>() else { return Boundary::Incomplete };
                let length = u32::from_be_bytes(*length) as usize;
                match length {
                    length if length > MAX_MESSAGE_BYTES => Boundary::Broken,
                    length if self.buffer.len() < 4 + length => Boundary::Incomplete,
                    length => Boundary::Message(4 + length),
                }
            }
        }
    }
}

/// The octets of a message that may be changed without damaging its frame or the next one: all except the
/// frame's length or terminator.
pub fn body_range(framing: Framing, message: &[u8]) -> std::ops::Range<usize> {
    let (head, tail) = match framing {
        Framing::Raw => (0, 0),
        Framing::Lines => (0, 1),
        Framing::M3ua => (8, 0),
        Framing::LengthPrefixed => (4, 0),
    };
    head.min(message.len())..message.len().saturating_sub(tail).max(head.min(message.len()))
}

/// Truncates the body of a message to at most `max_octets` and adjusts the frame.
pub fn truncate(framing: Framing, message: &[u8], max_octets: usize) -> Vec<u8> {
    let body = body_range(framing, message);
    let length = body.len().min(max_octets);
    let mut truncated = message[..body.start + length].to_vec();
    match framing {
        Framing::Raw => {}
        Framing::Lines => truncated.extend(&message[body.end..]),
        Framing::M3ua => {
            // M3UA lengths are multiples of 4 octets.
            truncated.truncate(truncated.len() / 4 * 4);
            let length = truncated.len() as u32;
            truncated[4..8].copy_from_slice(&length.to_be_bytes());
        }
        Framing::LengthPrefixed => truncated[..4].copy_from_slice(&(length as u32).to_be_bytes()),
    }
    truncated
}
