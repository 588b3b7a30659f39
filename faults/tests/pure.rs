//! Properties of the decisions, tested without sockets.

use proptest::prelude::*;
use steprelay_faults::decide::{Decider, Decision, Direction};
use steprelay_faults::frames::Frames;
use steprelay_faults::plan::{Action, Framing, Link, Match, Plan, Rule};

const DIRECTION: Direction = Direction { link: 0, connection: 3, to_upstream: true };

fn plan(framing: Framing, rules: Vec<Rule>) -> Plan {
    let address = "127.0.0.1:0".parse().expect("an address");
    let link = Link { name: "a".into(), listen: address, upstream: address, framing };
    Plan { seed: 11, links: vec![link], rules }
}

fn framing() -> impl Strategy<Value = Framing> {
    prop::sample::select(vec![Framing::Raw, Framing::Lines, Framing::M3ua, Framing::LengthPrefixed])
}

/// Frames bodies of arbitrary content as messages.
fn framed(framing: Framing, bodies: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let encode = |body: &Vec<u8>| match framing {
        Framing::Raw => body.clone(),
        Framing::Lines => {
            let mut line: Vec<u8> = body.iter().map(|octet| b'a' + octet % 26).collect();
            line.push(b'\n');
            line
        }
        Framing::M3ua => {
            let length = 8 + body.len().next_multiple_of(4);
            let mut message = [&[1, 0, 3, 3][..], &(length as u32).to_be_bytes(), body].concat();
            message.resize(length, 0);
            message
        }
        Framing::LengthPrefixed => [&(body.len() as u32).to_be_bytes()[..], body].concat(),
    };
    bodies.iter().map(encode).collect()
}

/// Passes bytes, split at these offsets, through one direction.
fn process(plan: &Plan, bytes: &[u8], cuts: &[usize]) -> (Vec<Vec<u8>>, Vec<Decision>) {
    let decider = Decider::new(plan.clone());
    let mut frames = Frames::new(plan.links[0].framing);
    let (mut out, mut decisions) = (Vec::new(), Vec::new());
    let mut forward = |frames: &mut Frames, ended: bool| {
        while let Some(message) =
            frames.next_message().or_else(|| if ended { frames.take_remainder() } else { None })
        {
            let decision = decider.decide(DIRECTION, decisions.len() as u64, &message);
            out.extend(decider.apply(&decision, message));
            decisions.push(decision);
        }
    };
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(bytes.len());
    let mut at = 0;
    for cut in cuts {
        frames.push(&bytes[at..cut]);
        at = cut;
        forward(&mut frames, false);
    }
    forward(&mut frames, true);
    (out, decisions)
}

fn bodies() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..12)
}

proptest! {
    #[test]
    fn bytes_are_unchanged_without_faults(
        framing in framing(),
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cuts in prop::collection::vec(any::<usize>(), 0..8),
    ) {
        let (out, _) = process(&plan(framing, Vec::new()), &bytes, &cuts);
        prop_assert_eq!(out.concat(), bytes);
    }

    #[test]
    fn a_fault_in_one_message_keeps_the_others_intact_and_in_order(
        framing in prop::sample::select(vec![Framing::Lines, Framing::M3ua, Framing::LengthPrefixed]),
        bodies in bodies(),
        which in any::<prop::sample::Index>(),
        action in prop::sample::select(vec![
            Action::Drop, Action::Repeat(3), Action::Corrupt(4), Action::Truncate(5), Action::Truncate(0),
        ]),
        cuts in prop::collection::vec(any::<usize>(), 0..8),
    ) {
        let messages = framed(framing, &bodies);
        let index = which.index(messages.len());
        let matches = Match { index: Some(index as u64), ..Match::default() };
        let rule = Rule { matches, ..Rule::new(action.clone()) };
        let (out, decisions) = process(&plan(framing, vec![rule]), &messages.concat(), &cuts);
        prop_assert_eq!(decisions.len(), messages.len());
        // Reads the output as the receiver behind the proxy would.
        let mut frames = Frames::new(framing);
        frames.push(&out.concat());
        let received: Vec<Vec<u8>> = std::iter::from_fn(|| frames.next_message()).collect();
        prop_assert_eq!(frames.take_remainder(), None);
        let times = match action {
            Action::Drop => 0,
            Action::Repeat(times) => usize::from(times),
            _ => 1,
        };
        prop_assert_eq!(received.len(), messages.len() - 1 + times);
        prop_assert_eq!(&received[..index], &messages[..index]);
        prop_assert_eq!(&received[index + times..], &messages[index + 1..]);
    }

    #[test]
    fn decisions_are_independent_of_order_and_splitting(
        bodies in bodies(),
        seed in any::<u64>(),
        cuts in prop::collection::vec(any::<usize>(), 0..8),
    ) {
        let rule = |action, probability| Rule { probability, ..Rule::new(action) };
        let rules = vec![rule(Action::Drop, 0.3), rule(Action::Corrupt(2), 0.5)];
        let plan = Plan { seed, ..plan(Framing::Lines, rules) };
        let bytes = framed(Framing::Lines, &bodies).concat();
        let (whole, first) = process(&plan, &bytes, &[]);
        let (cut, second) = process(&plan, &bytes, &cuts);
        prop_assert_eq!((whole, &first), (cut, &second));
        let decider = Decider::new(plan);
        for decision in first.iter().rev() {
            prop_assert_eq!(&decider.decide(DIRECTION, decision.index, b"{}\n"), decision);
        }
    }
}

#[test]
fn rules_match_message_content() {
    let line = br#"{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"voice"},"why":34}"#;
    let data = [
        &[1, 0, 1, 1, 0, 0, 0, 28, 2, 0x10, 0, 19, 0, 0, 7, 0xd1, 0, 0, 3, 0xe9][..],
        &[5, 2, 0, 5, 5, 0, 0x13, 0],
    ]
    .concat();
    let text = |text: &str| Some(text.to_string());
    let table: [(Framing, &[u8], Match, bool); 8] = [
        (Framing::Lines, line, Match { op: text("offer"), ..Match::default() }, true),
        (Framing::Lines, line, Match { op: text("end"), ..Match::default() }, false),
        (Framing::Lines, line, Match { class: text("voice"), cause: Some(34), ..Match::default() }, true),
        (Framing::Lines, b"noise", Match { op: text("offer"), ..Match::default() }, false),
        (Framing::M3ua, &data, Match { m3ua: Some((1, 1)), ..Match::default() }, true),
        (Framing::M3ua, &data, Match { isup: Some(0x13), circuit: Some(5), ..Match::default() }, true),
        (Framing::M3ua, &data, Match { isup: Some(0x13), circuit: Some(6), ..Match::default() }, false),
        (Framing::Raw, &data, Match { m3ua: Some((1, 1)), ..Match::default() }, false),
    ];
    for (framing, message, matches, is_match) in table {
        let decider = Decider::new(plan(framing, vec![Rule { matches, ..Rule::new(Action::Drop) }]));
        assert_eq!(decider.decide(DIRECTION, 0, message).action == Action::Drop, is_match, "{framing:?}");
    }
}
