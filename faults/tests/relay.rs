//! The proxy on loopback sockets: equal traffic with different timing gives equal decisions, and connection
//! faults reach the peers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use steprelay_faults::decide::Decision;
use steprelay_faults::plan::{Action, Framing, Link, Match, Plan, Rule};
use steprelay_faults::relay::Relay;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a proxy with these rules while `peers` communicate through it, and returns its decisions.
fn run_relay(
    rules: Vec<Rule>,
    seed: u64,
    peers: impl FnOnce(SocketAddr, TcpListener) + Send + 'static,
) -> Vec<Decision> {
    let upstream_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (listen, upstream) = (
        "127.0.0.1:0".parse().expect("an address"),
        upstream_listener.local_addr().expect("a bound address"),
    );
    let link = Link { name: "a".into(), listen, upstream, framing: Framing::Lines };
    let plan = Plan { seed, links: vec![link], rules };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let relay = Relay::start(plan).expect("a listener");
        let address = relay.addresses()[0];
        tokio::task::spawn_blocking(move || peers(address, upstream_listener)).await.expect("no panic");
        relay.decisions()
    })
}

fn connect(address: SocketAddr, upstream_listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(address).expect("a listener");
    let server = upstream_listener.accept().expect("a connection").0;
    for stream in [&client, &server] {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket option");
        stream.set_nodelay(true).expect("a socket option");
    }
    (client, server)
}

fn read_to_end(mut stream: TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text).map(|_| text)
}

#[test]
fn equal_seeds_give_equal_decisions_at_any_timing() {
    let rules = || {
        let rule = |action, probability| Rule { probability, ..Rule::new(action) };
        vec![rule(Action::Drop, 0.2), rule(Action::Repeat(2), 0.2), rule(Action::Corrupt(1), 0.2)]
    };
    // Four connections, opened one after the other and written to in pieces, in a pseudorandom order.
    let run = |seed: u64, order: u64| {
        run_relay(rules(), seed, move |address, upstream_listener| {
            let mut pairs: Vec<_> = (0..4).map(|_| connect(address, &upstream_listener)).collect();
            let text: Vec<String> = (0..50).map(|line| format!("{{\"n\":{line}}}\n")).collect();
            let text = text.concat();
            let mut sent = [0; 4];
            let mut random = order;
            while sent.iter().any(|sent| *sent < text.len()) {
                random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
                let (pair, piece) = ((random >> 33) as usize % 4, 1 + (random >> 40) as usize % 23);
                let end = (sent[pair] + piece).min(text.len());
                pairs[pair].0.write_all(&text.as_bytes()[sent[pair]..end]).expect("a successful write");
                sent[pair] = end;
            }
            for (client, server) in pairs.drain(..) {
                client.shutdown(Shutdown::Write).expect("an open connection");
                read_to_end(server).expect("an orderly close");
            }
        })
    };
    let first = run(5, 1);
    assert_eq!(first.len(), 200);
    assert_eq!(first, run(5, 2));
    assert_ne!(first, run(6, 1), "another seed");
}

#[test]
fn connection_faults_reach_the_peer_unchanged() {
    let on = |op: &str, action| {
        let matches = Match { op: Some(op.into()), ..Match::default() };
        Rule { matches, ..Rule::new(action) }
    };
    let rules = vec![
        on("reset", Action::Reset),
        on("half", Action::HalfClose),
        on("hush", Action::Silence),
        on("swap", Action::Swap),
    ];
    run_relay(rules, 1, |address, upstream_listener| {
        // Two messages swap places; the reverse direction is unaffected.
        let (mut client, mut server) = connect(address, &upstream_listener);
        client.write_all(b"{\"op\":\"swap\"}\n{\"op\":\"b\"}\n").expect("a successful write");
        let mut received = [0; 25];
        server.read_exact(&mut received).expect("both messages");
        assert_eq!(&received[..], b"{\"op\":\"b\"}\n{\"op\":\"swap\"}\n");
        // One direction is closed in an orderly way; the other one stays open.
        client.write_all(b"{\"op\":\"half\"}\n{\"op\":\"c\"}\n").expect("a successful write");
        assert_eq!(server.read(&mut received).expect("an orderly close"), 0);
        server.write_all(b"{\"op\":\"d\"}\n").expect("a successful write");
        server.shutdown(Shutdown::Both).expect("an open connection");
        assert_eq!(read_to_end(client).expect("an orderly close"), "{\"op\":\"d\"}\n");
        // Silence: later messages are dropped, and the connection stays open.
        let (mut client, mut server) = connect(address, &upstream_listener);
        client.write_all(b"{\"op\":\"hush\"}\n{\"op\":\"e\"}\n").expect("a successful write");
        server.write_all(b"{\"op\":\"f\"}\n").expect("a successful write");
        client.read_exact(&mut received[..11]).expect("the reverse direction");
        server.set_read_timeout(Some(Duration::from_millis(50))).expect("a socket option");
        assert!(server.read(&mut received).is_err(), "no data and no close");
        // A reset arrives as a reset.
        let (mut client, server) = connect(address, &upstream_listener);
        client.write_all(b"{\"op\":\"reset\"}\n").expect("a successful write");
        let kind = |ended: std::io::Result<String>| ended.expect_err("a connection error").kind();
        assert_eq!(kind(read_to_end(server)), std::io::ErrorKind::ConnectionReset);
        assert_eq!(kind(read_to_end(client)), std::io::ErrorKind::ConnectionReset);
    });
}

#[test]
fn non_loopback_addresses_are_rejected() {
    let address = |text: &str| text.parse().expect("an address");
    let link = |listen, upstream| Link { name: "a".into(), listen, upstream, framing: Framing::Raw };
    for (listen, upstream) in [("127.0.0.1:0", "10.0.0.1:9"), ("0.0.0.0:0", "127.0.0.1:9")] {
        let plan = Plan { links: vec![link(address(listen), address(upstream))], ..Plan::default() };
        let error = Relay::start(plan).err().expect("a rejected plan").to_string();
        assert_eq!(error, "link 'a': fault injection is limited to loopback addresses");
    }
}
