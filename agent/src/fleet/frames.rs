//! Frames of links between members: a length (4 octets), the sender's major and minor version (2 octets
//! each), and an [`Envelope`].

use steprelay_fleet::messages::{Envelope, MAJOR, MINOR};

/// Maximum length of a frame in octets, without the length field.
pub const MAX_FRAME_LENGTH: usize = 1 << 20;
/// Octets of the header: the length and both versions.
pub const HEADER_LENGTH: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a frame of {0} octets is too long")]
    TooLong(usize),
    #[error("a frame of {0} octets is too short")]
    TooShort(usize),
    #[error("version {0}.{1} is spoken there, and {MAJOR}.{MINOR} here")]
    Version(u16, u16),
    #[error("a frame can't be read")]
    Unreadable,
}

/// Encodes an envelope as a frame of its sender's version.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Every value that an envelope holds can be serialized, and memory takes all of it.
    let body = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEADER_LENGTH + body.len());
    frame.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    frame.extend_from_slice(&MAJOR.to_be_bytes());
    frame.extend_from_slice(&envelope.minor.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Returns how many octets follow the length field.
///
/// # Errors
/// The length is out of bounds.
pub fn length(head: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(head) as usize {
        long if long > MAX_FRAME_LENGTH => Err(FrameError::TooLong(long)),
        short if short < 4 => Err(FrameError::TooShort(short)),
        fits => Ok(fits),
    }
}

/// Decodes the octets after the length field; `None` for a message that only a newer minor version knows.
///
/// # Errors
/// The major version differs, or the frame is unreadable.
pub fn decode(frame: &[u8]) -> Result<Option<Envelope>, FrameError> {
    let (Some((major, rest)), 4..) = (frame.split_first_chunk::<2>(), frame.len()) else {
        return Err(FrameError::TooShort(frame.len()));
    };
    let (minor, body) = rest.split_first_chunk::<2>().ok_or(FrameError::TooShort(frame.len()))?;
    let (major, minor) = (u16::from_be_bytes(*major), u16::from_be_bytes(*minor));
    if major != MAJOR {
        return Err(FrameError::Version(major, minor));
    }
    match postcard::take_from_bytes::<Envelope>(body) {
        Ok((envelope, rest)) if rest.is_empty() || minor > MINOR => Ok(Some(Envelope { minor, ..envelope })),
        Err(_) if minor > MINOR => Ok(None),
        _ => Err(FrameError::Unreadable),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use steprelay_fleet::messages::{GroupId, Payload};
    use steprelay_fleet::swim::Member;

    use super::*;

    fn envelope(payload: Payload) -> Envelope {
        let from = Member {
            name: "n1".into(),
            zone: "z1".into(),
            address: "127.0.0.1:7801".parse().expect("an address"),
            node: 7,
            incarnation: 3,
            boot: 9,
        };
        Envelope {
            cluster: "kl".into(),
            from,
            group_id: GroupId { number: 1, founder: 7 },
            payload,
            minor: MINOR,
        }
    }

    fn body(frame: &[u8]) -> &[u8] {
        assert_eq!(length([frame[0], frame[1], frame[2], frame[3]]), Ok(frame.len() - 4));
        &frame[4..]
    }

    #[test]
    fn an_encoded_frame_decodes_to_its_envelope() {
        for payload in
            [Payload::Hello, Payload::Leaving, Payload::Raft(vec![1, 2, 3]), Payload::Rejected("no".into())]
        {
            let sent = envelope(payload);
            assert_eq!(decode(body(&encode(&sent))), Ok(Some(sent)));
        }
    }

    /// During maintenance versions are mixed: of a newer minor version, the known part is decoded.
    #[test]
    fn the_known_part_of_a_newer_minor_version_is_decoded() {
        let sent = Envelope { minor: 4, ..envelope(Payload::Hello) };
        let mut newer = encode(&sent);
        newer.extend_from_slice(b"a field that is new");
        let frame = [&(newer.len() as u32 - 4).to_be_bytes()[..], &newer[4..]].concat();
        assert_eq!(decode(body(&frame)), Ok(Some(sent.clone())), "fields added at the end are ignored");
        // An unknown kind of payload: the last octet of a Hello is the number of its kind.
        let mut unknown = encode(&sent);
        *unknown.last_mut().expect("a frame") = 99;
        assert_eq!(decode(body(&unknown)), Ok(None), "an unknown payload is ignored");
        *unknown.last_mut().expect("a frame") = 0;
        unknown[HEADER_LENGTH - 1] = 0;
        assert!(decode(body(&unknown)).is_ok());
        let mut ours = encode(&envelope(Payload::Hello));
        *ours.last_mut().expect("a frame") = 99;
        assert_eq!(
            decode(body(&ours)),
            Err(FrameError::Unreadable),
            "in this version the payload is invalid"
        );
    }

    #[test]
    fn other_major_versions_and_invalid_lengths_are_rejected() {
        let mut other = encode(&envelope(Payload::Hello));
        other[5] = MAJOR as u8 + 1;
        assert_eq!(decode(&other[4..]), Err(FrameError::Version(MAJOR + 1, MINOR)));
        assert_eq!(
            length((MAX_FRAME_LENGTH as u32 + 1).to_be_bytes()),
            Err(FrameError::TooLong(MAX_FRAME_LENGTH + 1))
        );
        assert_eq!(length(3u32.to_be_bytes()), Err(FrameError::TooShort(3)));
        for short in 0..4 {
            assert_eq!(decode(&vec![0; short]), Err(FrameError::TooShort(short)));
        }
    }

    proptest! {
        #[test]
        fn decoding_arbitrary_bytes_never_panics(
            mut bytes in proptest::collection::vec(any::<u8>(), 0..400),
            ours: bool,
        ) {
            if ours && bytes.len() >= 2 {
                bytes[..2].copy_from_slice(&MAJOR.to_be_bytes());
            }
            let _ = decode(&bytes);
        }
    }
}
