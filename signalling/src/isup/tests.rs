use proptest::prelude::*;

use super::*;

fn blocked_ends() -> impl Strategy<Value = Ends> {
    (any::<bool>(), any::<bool>()).prop_map(|(local, remote)| Ends { local, remote })
}

fn state() -> impl Strategy<Value = CircuitState> {
    let call_processing = prop_oneof![
        Just(CallProcessing::Incoming),
        Just(CallProcessing::Outgoing),
        Just(CallProcessing::Idle)
    ];
    prop_oneof![
        Just(CircuitState::Transient),
        Just(CircuitState::Unequipped),
        (call_processing, blocked_ends(), blocked_ends()).prop_map(
            |(call_processing, maintenance, hardware)| CircuitState::Equipped {
                call_processing,
                maintenance,
                hardware
            }
        ),
    ]
}

fn range_without_status() -> impl Strategy<Value = Range> {
    (0u8..=255).prop_map(|additional| Range { additional, status: Vec::new() })
}

fn range_with_status() -> impl Strategy<Value = Range> {
    prop::collection::vec(any::<bool>(), 1..=64)
        .prop_map(|status| Range { additional: (status.len() - 1) as u8, status })
}

fn blocking() -> impl Strategy<Value = Blocking> {
    prop_oneof![Just(Blocking::Maintenance), Just(Blocking::Hardware)]
}

/// All messages that this codec can encode.
pub fn body() -> impl Strategy<Value = Body> {
    let text = || "[ -~é\r\n]{0,300}";
    let number = prop_oneof!["[0-9a-f]{0,64}", "[a-z-]{1,300}"];
    let continuity =
        prop_oneof![Just(Continuity::NotRequired), Just(Continuity::Required), Just(Continuity::Performed),];
    let set_up = (any::<u8>(), continuity, number, text(), any::<bool>()).prop_map(
        |(category, continuity, number, description, segmented)| {
            Body::SetUp(SetUp { category, continuity, number, description, segmented })
        },
    );
    let compatibility = (any::<bool>(), any::<bool>(), any::<bool>())
        .prop_map(|(release, notify, discard)| Compatibility { release, notify, discard });
    let plain = prop::sample::select(vec![
        Body::InformationRequest,
        Body::Information,
        Body::ForwardTransfer,
        Body::Suspend,
        Body::Resume,
        Body::ReleaseComplete,
        Body::ContinuityCheckRequest,
        Body::ResetCircuit,
        Body::Block,
        Body::Unblock,
        Body::BlockAck,
        Body::UnblockAck,
        Body::LoopBackAck,
        Body::Progress,
        Body::Unequipped,
    ]);
    prop_oneof![
        set_up,
        "[0-9a-f]{0,20}".prop_map(|digits| Body::SubsequentAddress { digits }),
        any::<bool>().prop_map(|success| Body::ContinuityResult { success }),
        text().prop_map(|description| Body::AddressComplete { description }),
        text().prop_map(|description| Body::Connect { description }),
        text().prop_map(|description| Body::Answer { description }),
        text().prop_map(|description| Body::Segment { description }),
        (0u8..128, 0u8..8, prop::option::of(1u8..3)).prop_map(|(cause, location, congestion)| {
            Body::Release { cause: Cause(cause), location: Location::from_code(location), congestion }
        }),
        plain,
        range_without_status().prop_map(Body::ResetGroup),
        range_without_status().prop_map(Body::QueryGroup),
        range_with_status().prop_map(Body::ResetGroupAck),
        (blocking(), range_with_status()).prop_map(|(blocking, range)| Body::BlockGroup(blocking, range)),
        (blocking(), range_with_status()).prop_map(|(blocking, range)| Body::UnblockGroup(blocking, range)),
        (blocking(), range_with_status()).prop_map(|(blocking, range)| Body::BlockGroupAck(blocking, range)),
        (blocking(), range_with_status())
            .prop_map(|(blocking, range)| Body::UnblockGroupAck(blocking, range)),
        prop::collection::vec(state(), 1..=32)
            .prop_map(|states| Body::QueryGroupResponse(Range::spanning(states.len()), states)),
        (0u8..128).prop_map(|cause| Body::Confusion { cause: Cause(cause) }),
        (0x40u8..=0xff, prop::option::of(compatibility))
            .prop_map(|(kind, compatibility)| Body::Unknown { kind, compatibility }),
    ]
}

proptest! {
    #[test]
    fn every_message_is_unchanged_by_encoding_and_decoding(circuit in 0..=HIGHEST_CIRCUIT, body in body()) {
        let message = Message { circuit, body };
        prop_assert_eq!(Message::read(&message.to_bytes()), Ok(message));
    }

    /// Any bytes that can be decoded decode to the same message after encoding it again.
    #[test]
    fn a_decoded_message_is_unchanged_by_encoding_and_decoding(
        kind in 0u8..=0x40,
        rest in prop::collection::vec(prop_oneof![0u8..8, any::<u8>()], 0..48),
    ) {
        let bytes = [&[1, 0, kind], &rest[..]].concat();
        if let Ok(message) = Message::read(&bytes) {
            prop_assert_eq!(Message::read(&message.to_bytes()), Ok(message));
        }
    }

    #[test]
    fn truncated_or_corrupted_messages_never_panic(
        body in body(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = Message { circuit: 1, body }.to_bytes();
        let at = at.index(bytes.len());
        let _ = Message::read(&bytes[..at]);
        bytes[at] = byte;
        let _ = Message::read(&bytes);
    }

    #[test]
    fn segments_add_up_to_the_description(description in "[ -~é]{0,700}", max_len in 100usize..300) {
        let set_up = SetUp { number: "60312".into(), description, ..SetUp::default() };
        let Some(parts) = Message::segments(9, &set_up, max_len) else {
            prop_assert!(set_up.description.len() > max_len, "a set-up within the limit was not encoded");
            return Ok(());
        };
        prop_assert!(parts.iter().all(|part| part.len() <= max_len) && parts.len() <= 2);
        let mut whole = String::new();
        for (index, part) in parts.iter().enumerate() {
            match Message::read(part).expect("just written").body {
                Body::SetUp(first) => {
                    prop_assert_eq!(first.segmented, parts.len() == 2);
                    whole += &first.description;
                }
                Body::Segment { description } => whole += &description,
                other => prop_assert!(false, "segment {} is {:?}", index, other),
            }
        }
        prop_assert_eq!(whole, set_up.description);
    }
}

#[test]
fn messages_are_encoded_as_in_the_standard() {
    let release = |congestion| Body::Release {
        cause: Cause::NORMAL,
        location: Location::BeyondInterworking,
        congestion,
    };
    let marks = |marks: &[u8]| Range {
        additional: marks.len() as u8 - 1,
        status: marks.iter().map(|mark| *mark == 1).collect(),
    };
    let idle = CircuitState::Equipped {
        call_processing: CallProcessing::Idle,
        maintenance: Ends { local: true, remote: false },
        hardware: Ends::default(),
    };
    let table: [(Body, &[u8]); 9] = [
        (release(None), &[5, 0, 0x0c, 2, 0, 2, 0x8a, 0x90]),
        (release(Some(2)), &[5, 0, 0x0c, 2, 4, 2, 0x8a, 0x90, 0x27, 1, 2, 0]),
        (Body::ResetGroup(Range::spanning(32)), &[5, 0, 0x17, 1, 1, 31]),
        (Body::ResetGroupAck(marks(&[0, 1, 0])), &[5, 0, 0x29, 1, 2, 2, 0b010]),
        (Body::BlockGroup(Blocking::Hardware, marks(&[1, 1])), &[5, 0, 0x18, 1, 1, 2, 1, 0b11]),
        (
            Body::QueryGroupResponse(Range::spanning(2), vec![idle, CircuitState::Unequipped]),
            &[5, 0, 0x2b, 2, 3, 1, 1, 2, 0x0d, 3],
        ),
        (Body::SubsequentAddress { digits: "123".into() }, &[5, 0, 0x02, 2, 0, 3, 0x80, 0x21, 0x03]),
        (Body::ContinuityResult { success: true }, &[5, 0, 0x05, 1]),
        (Body::Confusion { cause: Cause::TYPE_UNKNOWN }, &[5, 0, 0x2f, 2, 0, 2, 0x8a, 0xe1]),
    ];
    for (body, bytes) in table {
        assert_eq!(Message::new(5, body).to_bytes(), bytes);
    }
}

#[test]
fn a_release_without_a_cause_is_rejected() {
    let invalid = DecodeError::InvalidParameters { circuit: 5, kind: kind::REL };
    for body in [&[][..], &[2], &[2, 0], &[2, 0, 0], &[2, 0, 1, 0x80], &[9, 0, 2, 0x80, 0x90]] {
        assert_eq!(Message::read(&[&[5, 0, kind::REL], body].concat()), Err(invalid));
    }
    assert_eq!(Message::read(&[5, 0]), Err(DecodeError::Truncated));
}
