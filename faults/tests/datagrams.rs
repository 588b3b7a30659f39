//! Datagrams between two members of a mesh: every fault of a plan applies to them and is recorded.

use std::net::UdpSocket;
use std::time::Duration;

use steprelay_faults::mesh::{count_outcomes, Member, Mesh, Phase, Plan, Rule};

const SENT: usize = 50;

/// Sends datagrams to a member that echoes each. Returns the replies that were received, and the kinds of
/// outcome that were recorded.
fn run_with_rule(rule: Rule) -> (Vec<u8>, Vec<&'static str>) {
    let member = UdpSocket::bind("127.0.0.3:0").expect("a port");
    let caller = UdpSocket::bind("127.0.0.2:0").expect("a port");
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
    let members = [("a", &caller), ("b", &member)];
    let members =
        members.map(|(name, socket)| Member { name: name.into(), address: address(socket) }).to_vec();
    let plan = Plan { seed: 3, phases: vec![Phase { name: "all".into(), rules: vec![rule] }] };
    let mesh = Mesh::start(plan, members).expect("a mesh");
    std::thread::spawn(move || {
        let mut bytes = [0; 64];
        while let Ok((length, from)) = member.recv_from(&mut bytes) {
            if member.send_to(&bytes[..length], from).is_err() || bytes[0] == u8::MAX {
                return;
            }
        }
    });
    for number in 0..SENT as u8 {
        caller.send_to(&[number], mesh.datagram_proxy_addresses()[1]).expect("sent");
    }
    // The most delayed datagram arrives within this time after the last one; without any reply the receive
    // call times out.
    caller.set_read_timeout(Some(Duration::from_millis(400))).expect("a socket option");
    let (mut received, mut bytes) = (Vec::new(), [0; 64]);
    while caller.recv_from(&mut bytes).is_ok() {
        received.push(bytes[0]);
    }
    let decisions = mesh.decisions();
    (received, count_outcomes(&decisions).into_keys().collect())
}

#[test]
fn every_fault_applies_to_datagrams() {
    let rule = Rule { from: vec!["a".into()], to: vec!["b".into()], ..Rule::default() };
    let (received, outcomes) = run_with_rule(rule.clone());
    assert_eq!((received, outcomes), ((0..SENT as u8).collect(), vec![]));
    let (received, outcomes) = run_with_rule(Rule { cut: true, ..rule.clone() });
    assert_eq!((received.len(), outcomes), (0, vec!["dropped"]));
    let (received, outcomes) = run_with_rule(Rule { drop: 0.3, ..rule.clone() });
    assert!((20..50).contains(&received.len()) && outcomes == ["dropped"], "{received:?} {outcomes:?}");
    let (received, outcomes) = run_with_rule(Rule { duplicate: 0.3, ..rule.clone() });
    assert!((51..80).contains(&received.len()) && outcomes == ["duplicated"], "{received:?} {outcomes:?}");
    let (received, outcomes) = run_with_rule(Rule { reorder: 0.3, ..rule.clone() });
    assert!(!received.is_sorted() && outcomes == ["reordered"], "{received:?} {outcomes:?}");
    let (mut received, outcomes) = run_with_rule(Rule { delay_ms: (1, 60), ..rule });
    assert!(
        !received.is_sorted() && outcomes == ["delayed"],
        "datagrams are delayed independently: {received:?} {outcomes:?}"
    );
    received.sort_unstable();
    assert_eq!(received, (0..SENT as u8).collect::<Vec<_>>());
}
