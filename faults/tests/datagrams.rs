//! Datagrams between two members of a mesh: each fault of a plan reaches them, and the record tells of it.

use std::net::UdpSocket;
use std::time::Duration;

use steprelay_faults::mesh::{tally, Member, Mesh, Phase, Plan, Rule};

const SENT: usize = 50;

/// What comes back of datagrams sent to a member that answers each with the same, and which were not well.
fn played(rule: Rule) -> (Vec<u8>, Vec<&'static str>) {
    let member = UdpSocket::bind("127.0.0.3:0").expect("a port");
    let caller = UdpSocket::bind("127.0.0.2:0").expect("a port");
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
    let members = [("a", &caller), ("b", &member)];
    let members =
        members.map(|(name, socket)| Member { name: name.into(), address: address(socket) }).to_vec();
    let plan = Plan { seed: 3, phases: vec![Phase { name: "all".into(), rules: vec![rule] }] };
    let mesh = Mesh::start(plan, members).expect("fronts");
    std::thread::spawn(move || {
        let mut bytes = [0; 64];
        while let Ok((length, from)) = member.recv_from(&mut bytes) {
            if member.send_to(&bytes[..length], from).is_err() || bytes[0] == u8::MAX {
                return;
            }
        }
    });
    for number in 0..SENT as u8 {
        caller.send_to(&[number], mesh.datagram_fronts()[1]).expect("sent");
    }
    // What is late at most comes after the last one by less than this; a cut says nothing at all.
    caller.set_read_timeout(Some(Duration::from_millis(400))).expect("settable");
    let (mut came, mut bytes) = (Vec::new(), [0; 64]);
    while caller.recv_from(&mut bytes).is_ok() {
        came.push(bytes[0]);
    }
    let record = mesh.record();
    (came, tally(&record).into_keys().collect())
}

#[test]
fn each_fault_reaches_datagrams() {
    let towards = Rule { from: vec!["a".into()], to: vec!["b".into()], ..Rule::default() };
    let (came, found) = played(towards.clone());
    assert_eq!((came, found), ((0..SENT as u8).collect(), vec![]));
    let (came, found) = played(Rule { cut: true, ..towards.clone() });
    assert_eq!((came.len(), found), (0, vec!["dropped"]));
    let (came, found) = played(Rule { drop: 0.3, ..towards.clone() });
    assert!((20..50).contains(&came.len()) && found == ["dropped"], "{came:?} {found:?}");
    let (came, found) = played(Rule { double: 0.3, ..towards.clone() });
    assert!((51..80).contains(&came.len()) && found == ["doubled"], "{came:?} {found:?}");
    let (came, found) = played(Rule { reorder: 0.3, ..towards.clone() });
    assert!(!came.is_sorted() && found == ["reordered"], "{came:?} {found:?}");
    let (mut came, found) = played(Rule { delay_ms: (1, 60), ..towards });
    assert!(!came.is_sorted() && found == ["delayed"], "each is late by itself: {came:?} {found:?}");
    came.sort_unstable();
    assert_eq!(came, (0..SENT as u8).collect::<Vec<_>>());
}
