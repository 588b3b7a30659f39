//! Frames of this version, of others, and of nobody.

use proptest::prelude::*;
use steprelay_fleet::swim::Member;
use steprelay_fleet::wire::{
    decode, encode, length, Envelope, Foundation, Payload, WireError, HEAD, LONGEST, MAJOR, MINOR,
};

fn envelope(payload: Payload) -> Envelope {
    let from = Member {
        name: "n1".into(),
        zone: "z1".into(),
        address: "127.0.0.1:7801".parse().expect("an address"),
        node: 7,
        life: 3,
        boot: 9,
    };
    Envelope {
        cluster: "kl".into(),
        from,
        foundation: Foundation { number: 1, founder: 7 },
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
        [Payload::Hello, Payload::Leaving, Payload::Raft(vec![1, 2, 3]), Payload::Refused("no".into())]
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
    // Its payload is of a kind that is not known here: the payload's number is the last octet of a greeting.
    let mut unknown = encode(&said);
    *unknown.last_mut().expect("a frame") = 99;
    assert_eq!(decode(body(&unknown)), Ok(None), "and what it says beside is left");
    *unknown.last_mut().expect("a frame") = 0;
    unknown[HEAD - 1] = 0;
    assert!(decode(body(&unknown)).is_ok());
    let mut ours = encode(&envelope(Payload::Hello));
    *ours.last_mut().expect("a frame") = 99;
    assert_eq!(decode(body(&ours)), Err(WireError::Unreadable), "of our own version that is no word");
}

#[test]
fn another_version_and_impossible_lengths_are_refused() {
    let mut other = encode(&envelope(Payload::Hello));
    other[5] = MAJOR as u8 + 1;
    assert_eq!(decode(&other[4..]), Err(WireError::Version(MAJOR + 1, MINOR)));
    assert_eq!(length((LONGEST as u32 + 1).to_be_bytes()), Err(WireError::TooLong(LONGEST + 1)));
    assert_eq!(length(3u32.to_be_bytes()), Err(WireError::TooShort(3)));
    for short in 0..4 {
        assert_eq!(decode(&vec![0; short]), Err(WireError::TooShort(short)));
    }
}

proptest! {
    #[test]
    fn nothing_that_comes_can_hurt(mut bytes in proptest::collection::vec(any::<u8>(), 0..400), ours: bool) {
        if ours && bytes.len() >= 2 {
            bytes[..2].copy_from_slice(&MAJOR.to_be_bytes());
        }
        let _ = decode(&bytes);
    }
}
