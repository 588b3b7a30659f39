//! Frames of service discovery, reassembled from a byte stream.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use steprelay_decisions::{Entry, ListKind, Readiness, ServerId};

use crate::ports::Endpoint;

/// Length of the event number and the kind, which start every frame.
const HEADER_LEN: usize = 9;
const RECORD_LEN: usize = 27;
/// Longest frame, more than any server list takes; rejects invalid lengths.
const MAX_FRAME_LEN: usize = 1 << 20;

/// Splits received bytes into frames.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

/// An event of service discovery, or a keep-alive.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// Number of the event.
    pub event: u64,
    /// The servers of the event; `None` in a keep-alive frame.
    pub list: Option<(ListKind, Vec<(Entry, Endpoint)>)>,
}

impl FrameReader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next whole frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// `InvalidData` if the frame is invalid.
    pub fn next(&mut self) -> io::Result<Option<Frame>> {
        let Some(length) = self.bytes.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(HEADER_LEN..=MAX_FRAME_LEN).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(body) = self.bytes.get(4..4 + length) else { return Ok(None) };
        let frame = read_frame(body).ok_or(io::ErrorKind::InvalidData)?;
        self.bytes.drain(..4 + length);
        Ok(Some(frame))
    }
}

fn read_frame(body: &[u8]) -> Option<Frame> {
    let (number, rest) = body.split_first_chunk::<8>()?;
    let (kind, records) = rest.split_first()?;
    let kind = match kind {
        1 => Some(ListKind::All),
        2 => Some(ListKind::Changes),
        _ => None,
    };
    let list = match kind {
        Some(kind) if records.len().is_multiple_of(RECORD_LEN) => {
            Some((kind, records.chunks_exact(RECORD_LEN).map(read_record).collect::<Option<Vec<_>>>()?))
        }
        Some(_) => return None,
        None => None,
    };
    Some(Frame { event: u64::from_be_bytes(*number), list })
}

fn read_record(bytes: &[u8]) -> Option<(Entry, Endpoint)> {
    let (id, rest) = bytes.split_first_chunk::<4>()?;
    let (address, rest) = rest.split_first_chunk::<4>()?;
    let (port, rest) = rest.split_first_chunk::<2>()?;
    let ([state, _zone, _kind], rest) = rest.split_first_chunk::<3>()?;
    let (cell, rest) = rest.split_first_chunk::<2>()?;
    let (_weight, started) = rest.split_first_chunk::<4>()?;
    let state = match state {
        0 => Readiness::Ready,
        1 => Readiness::Draining,
        2 => Readiness::Gone,
        _ => return None,
    };
    let started = u64::from_be_bytes(*started.first_chunk::<8>()?);
    let address = SocketAddr::from((Ipv4Addr::from(*address), u16::from_be_bytes(*port)));
    Some((
        server_entry(u32::from_be_bytes(*id), u16::from_be_bytes(*cell).into(), state, started),
        Endpoint::Platform(address),
    ))
}

/// Returns an entry of the server list. `started_ms` is the start of the server in Unix milliseconds, zero
/// for a start long ago.
pub fn server_entry(id: u32, number: u32, state: Readiness, started_ms: u64) -> Entry {
    let started = i64::try_from(started_ms).ok().filter(|&ms| ms > 0).and_then(|ms| ms.checked_mul(1000));
    Entry { server: ServerId(id), started, number, state }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(number: u64, kind: u8, records: &[u8]) -> Vec<u8> {
        let length = (HEADER_LEN + records.len()) as u32;
        [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], records].concat()
    }

    const SAMPLE_RECORD: [u8; RECORD_LEN] = [
        0x00, 0xc4, 0x1f, 0x7a, 127, 0, 1, 9, 0x13, 0xce, 1, 0, 0, 0, 2, 0, 0, 0x03, 0xe8, 0, 0, 0, 0, 0, 0,
        0x27, 0x10,
    ];

    #[test]
    fn frames_are_reassembled_from_pieces_of_any_size() {
        let bytes = [frame(41, 1, &SAMPLE_RECORD), frame(41, 0, &[]), frame(42, 2, &[])].concat();
        for step in 1..=bytes.len() {
            let (mut frames, mut seen) = (FrameReader::default(), Vec::new());
            for part in bytes.chunks(step) {
                frames.push(part);
                while let Some(frame) = frames.next().expect("well formed") {
                    seen.push(frame);
                }
            }
            let endpoint = Endpoint::Platform(SocketAddr::from(([127, 0, 1, 9], 5070)));
            let listed = (server_entry(0x00c4_1f7a, 2, Readiness::Draining, 10_000), endpoint);
            assert_eq!(listed.0.started, Some(10_000_000));
            let expected = [
                Frame { event: 41, list: Some((ListKind::All, vec![listed])) },
                Frame { event: 41, list: None },
                Frame { event: 42, list: Some((ListKind::Changes, Vec::new())) },
            ];
            assert_eq!(seen, expected, "in steps of {step}");
        }
    }

    #[test]
    fn an_invalid_frame_is_an_error() {
        let bad_state = SAMPLE_RECORD.map(|byte| if byte == 1 { 9 } else { byte });
        for bytes in [vec![0xff; 13], frame(1, 1, &[0; 26]), frame(1, 1, &bad_state), vec![0, 0, 0, 3]] {
            let mut frames = FrameReader::default();
            frames.push(&bytes);
            assert!(frames.next().is_err());
        }
    }
}
