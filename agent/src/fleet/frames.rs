//! Frames of links between members: a length (4 octets), the version of the speaker (2 and 2), and an
//! [`Envelope`].

use steprelay_fleet::messages::{Envelope, MAJOR, MINOR};

/// A frame is no longer than this, its length not counted.
pub const LONGEST: usize = 1 << 20;
/// The length, and the two halves of the version.
pub const HEAD: usize = 8;

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

/// The frame of an envelope, in its sender's version.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Nothing that an envelope holds can fail to be written into memory.
    let body = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    frame.extend_from_slice(&MAJOR.to_be_bytes());
    frame.extend_from_slice(&envelope.minor.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// How many octets follow the length.
///
/// # Errors
/// No frame is so long, or so short.
pub fn length(head: [u8; 4]) -> Result<usize, FrameError> {
    match u32::from_be_bytes(head) as usize {
        long if long > LONGEST => Err(FrameError::TooLong(long)),
        short if short < 4 => Err(FrameError::TooShort(short)),
        fits => Ok(fits),
    }
}

/// Reads what follows the length; `None` where a newer version says something that is not known here.
///
/// # Errors
/// The version is another one, or nothing can be made of it.
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
    fn what_is_said_is_heard() {
        for payload in
            [Payload::Hello, Payload::Leaving, Payload::Raft(vec![1, 2, 3]), Payload::Rejected("no".into())]
        {
            let said = envelope(payload);
            assert_eq!(decode(body(&encode(&said))), Ok(Some(said)));
        }
    }

    /// While machines are worked on, versions are mixed: a newer one of the same kind is understood as far as
    /// it goes.
    #[test]
    fn a_newer_minor_version_is_understood_as_far_as_it_goes() {
        let said = Envelope { minor: 4, ..envelope(Payload::Hello) };
        let mut newer = encode(&said);
        newer.extend_from_slice(b"a field that is new");
        let frame = [&(newer.len() as u32 - 4).to_be_bytes()[..], &newer[4..]].concat();
        assert_eq!(decode(body(&frame)), Ok(Some(said.clone())), "what it adds at the end is passed over");
        // Its payload is of a kind that is not known here: its number is the last octet of a greeting.
        let mut unknown = encode(&said);
        *unknown.last_mut().expect("a frame") = 99;
        assert_eq!(decode(body(&unknown)), Ok(None), "and what it says beside is left");
        *unknown.last_mut().expect("a frame") = 0;
        unknown[HEAD - 1] = 0;
        assert!(decode(body(&unknown)).is_ok());
        let mut ours = encode(&envelope(Payload::Hello));
        *ours.last_mut().expect("a frame") = 99;
        assert_eq!(decode(body(&ours)), Err(FrameError::Unreadable), "of our own version that is no word");
    }

    #[test]
    fn another_version_and_impossible_lengths_are_refused() {
        let mut other = encode(&envelope(Payload::Hello));
        other[5] = MAJOR as u8 + 1;
        assert_eq!(decode(&other[4..]), Err(FrameError::Version(MAJOR + 1, MINOR)));
        assert_eq!(length((LONGEST as u32 + 1).to_be_bytes()), Err(FrameError::TooLong(LONGEST + 1)));
        assert_eq!(length(3u32.to_be_bytes()), Err(FrameError::TooShort(3)));
        for short in 0..4 {
            assert_eq!(decode(&vec![0; short]), Err(FrameError::TooShort(short)));
        }
    }

    proptest! {
        #[test]
        fn nothing_that_comes_can_hurt(
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
