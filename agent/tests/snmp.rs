//! The SNMP agent, asked by a client of another make.

mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};

use common::*;
use snmp2::{Oid, SyncSession, Value};

const ROOT: [u64; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 47];
const PUBLIC: &[u8] = b"semak";

fn oid(rest: &[u64]) -> Oid<'static> {
    Oid::from(&[&ROOT, rest].concat()).expect("an object's name")
}

fn figure(value: &Value) -> Option<u64> {
    match value {
        Value::Counter64(figure) => Some(*figure),
        Value::Unsigned32(figure) => Some((*figure).into()),
        Value::Integer(figure) => u64::try_from(*figure).ok(),
        _ => None,
    }
}

fn shown(value: &Value) -> Option<String> {
    match value {
        Value::OctetString(text) => Some(String::from_utf8_lossy(text).into_owned()),
        other => figure(other).map(|figure| figure.to_string()),
    }
}

fn get(session: &mut SyncSession, rest: &[u64]) -> Option<u64> {
    let answer = session.get(&oid(rest)).expect("an answer");
    let (name, value) = answer.varbinds.clone().next().expect("one variable");
    assert_eq!(name, oid(rest));
    figure(&value)
}

/// The program with a call that stands and one that was refused, and a session with its agent.
fn start() -> (Agent, Lines, SyncSession, SocketAddr) {
    let server = Server::new();
    let mut setting = Setting::new(&[server.address]);
    setting.snmp = Some("listen = '127.0.0.1:0'\ncommunity = 'semak'\n".to_string());
    let mut agent = setting.start();
    let address: SocketAddr = agent.logged("serving SNMP on ").parse().expect("an address");
    let (mut caller, mut at_server) = (agent.caller(), server.accept());
    for (call, answer) in [(1, accept(1)), (2, end(2, 34))] {
        caller.offer(call, 5000, 0);
        at_server.expect("offer", call);
        at_server.say(answer);
        caller.next().expect("an answer");
    }
    let session = SyncSession::new_v2c(address, PUBLIC, Some(PATIENCE), 1).expect("a socket");
    (agent, at_server, session, address)
}

#[test]
fn calls_servers_and_breaches_can_be_read() {
    let (_agent, _server, mut session, _) = start();
    // Offered, stood, refused and failed; unanswered and standing.
    let calls: Vec<_> = (1..=4).map(|object| get(&mut session, &[1, object, 0])).collect();
    assert_eq!(calls, [Some(2), Some(1), Some(1), Some(0)]);
    assert_eq!((get(&mut session, &[2, 1, 0]), get(&mut session, &[2, 2, 0])), (Some(0), Some(1)));
    // Number, state, attempts, stood and full of the server whose id is 1.
    let server: Vec<_> = (2..=6).map(|column| get(&mut session, &[3, 1, 1, column, 1])).collect();
    assert_eq!(server, [Some(0), Some(1), Some(2), Some(1), Some(1)]);
    assert_eq!(get(&mut session, &[4, 1, 0]), Some(0));
    assert_eq!(get(&mut session, &[9, 9, 0]), None, "no such instance");
}

#[test]
fn walks_one_by_one_and_in_bulk_see_the_same() {
    let (_agent, _server, mut session, _) = start();
    let (mut walked, mut at) = (BTreeMap::new(), oid(&[]));
    loop {
        let answer = session.getnext(&at).expect("an answer");
        let (name, value) = answer.varbinds.clone().next().expect("one variable");
        let Some(shown) = shown(&value) else { break };
        let name = name.to_owned();
        assert!(walked.insert(name.to_string(), shown).is_none(), "{name} comes again");
        at = name;
    }
    let listed: Vec<_> = walked.iter().map(|(name, figure)| format!("{name} = {figure}")).collect();
    insta::assert_snapshot!(listed.join("\n"));
    let answer = session.getbulk(&[&oid(&[])], 0, 100).expect("an answer");
    let bulk: BTreeMap<_, _> = answer
        .varbinds
        .clone()
        .filter_map(|(name, value)| Some((name.to_string(), shown(&value)?)))
        .collect();
    assert_eq!(bulk, walked);
}

/// The figures of a fleet of one come after all others, and a walk passes over none of them.
#[test]
fn the_figures_of_a_fleet_can_be_walked() {
    let server = Server::new();
    let mut setting = Setting::new(&[server.address]);
    setting.snmp = Some("listen = '127.0.0.1:0'\ncommunity = 'semak'\n".to_string());
    let directory = format!("fleet-of-one-{}", std::process::id());
    setting.fleet = Some(format!(
        "cluster = 'one'\nname = 'n0'\nlisten = '127.0.0.1:0'\nfounders = ['n0']\ndirectory = '{directory}'\n"
    ));
    let mut agent = setting.start();
    let address: SocketAddr = agent.logged("serving SNMP on ").parse().expect("an address");
    let mut session = SyncSession::new_v2c(address, PUBLIC, Some(PATIENCE), 1).expect("a socket");
    // It founds its council alone, and leads it.
    let until = std::time::Instant::now() + PATIENCE;
    while get(&mut session, &[9, 6, 0]) != Some(1) {
        assert!(std::time::Instant::now() < until, "it does not lead");
    }
    let (mut walked, mut at) = (Vec::new(), oid(&[9]));
    loop {
        let answer = session.getnext(&at).expect("an answer");
        let (name, value) = answer.varbinds.clone().next().expect("one variable");
        let Some(figure) = figure(&value) else { break };
        at = name.to_owned();
        walked.push((at.clone(), figure));
    }
    let names: Vec<Oid> = (1..=17).map(|object| oid(&[9, object, 0])).collect();
    assert_eq!(walked.iter().map(|(name, _)| name.clone()).collect::<Vec<_>>(), names);
    // Alive, suspect, dead, voters, a leader, and this one leads.
    assert_eq!(walked.iter().take(6).map(|(_, figure)| *figure).collect::<Vec<_>>(), [1, 0, 0, 1, 1, 1]);
}

#[test]
fn what_is_no_request_for_it_is_dropped_and_counted_and_nothing_can_be_set() {
    let (_agent, _server, mut session, address) = start();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bad in [&b"\x30\x03\x02\x01"[..], b"", &[0x30; 600], b"GET / HTTP/1.1\r\n\r\n"] {
        socket.send_to(bad, address).expect("sent");
    }
    let mut stranger =
        SyncSession::new_v2c(address, b"public", Some(std::time::Duration::from_millis(50)), 1)
            .expect("a socket");
    assert!(stranger.get(&oid(&[1, 1, 0])).is_err(), "another community gets no answer");
    let answer = session.set(&[(&oid(&[1, 1, 0]), Value::Counter64(9))]).expect("an answer");
    assert_eq!(answer.error_status, 17, "not writable");
    assert_eq!(get(&mut session, &[1, 1, 0]), Some(2));
    assert_eq!(get(&mut session, &[5, 1, 0]), Some(5));
}

#[test]
fn the_peers_of_the_m3ua_front_their_circuits_and_errors_can_be_read() {
    let server = Server::new();
    let mut setting = Setting::new(&[server.address]);
    setting.snmp = Some("listen = '127.0.0.1:0'\ncommunity = 'semak'\n".to_string());
    setting.m3ua = Some(
        "listen = '127.0.0.1:0'\npoint_code = 1001\n\
         [[client]]\nname = 'a'\npoint_code = 2001\nrouting_context = 1\ntenant = 'lembah-realty'\n"
            .to_string(),
    );
    let mut agent = setting.start();
    let m3ua: SocketAddr = agent.logged("serving M3UA on ").parse().expect("an address");
    let address: SocketAddr = agent.logged("serving SNMP on ").parse().expect("an address");
    let mut session = SyncSession::new_v2c(address, PUBLIC, Some(PATIENCE), 1).expect("a socket");
    assert_eq!(get(&mut session, &[7, 1, 1, 4, 1]), Some(1), "down");
    let mut peer = std::net::TcpStream::connect(m3ua).expect("it listens");
    // ASPUP, ASPAC, another version, and BLO on circuit 5, which is answered last.
    let blocked = [
        &[1, 0, 1, 1, 0, 0, 0, 28, 2, 0x10, 0, 19][..],
        &[0, 0, 7, 0xd1, 0, 0, 3, 0xe9, 5, 2, 0, 5, 5, 0, 0x13, 0],
    ];
    peer.write_all(&[1, 0, 3, 1, 0, 0, 0, 8, 1, 0, 4, 1, 0, 0, 0, 8, 2, 0, 3, 3, 0, 0, 0, 8])
        .expect("written");
    peer.write_all(&blocked.concat()).expect("written");
    let mut heard = Vec::new();
    while !heard.windows(3).any(|bytes| bytes == [5, 0, 0x15]) {
        heard.extend(bytes(&mut peer, 1));
    }
    // State, ASPs that are active, and circuits that are blocked.
    let peer: Vec<_> = [4, 5, 10].map(|column| get(&mut session, &[7, 1, 1, column, 1])).into();
    assert_eq!(peer, [Some(4), Some(1), Some(1)]);
    assert_eq!(get(&mut session, &[7, 2, 1, 2, 1]), Some(1), "ERR, invalid version");
    assert_eq!(get(&mut session, &[7, 3, 0]), Some(0));
}
