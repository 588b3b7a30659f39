//! The codecs, a message at a time; and what a trunk holds in memory.
//!
//! `cargo bench -p steprelay-signalling --bench codec`.

use divan::{black_box, Bencher};
use steprelay_signalling::cause::{Cause, Location};
use steprelay_signalling::circuits::{CallRef, Config, Event, OnStart, Trunk};
use steprelay_signalling::isup::{Body, Busy, CircuitState, Message, SetUp};
use steprelay_signalling::m3ua::{self, tag, ProtocolData};
use steprelay_signalling::HIGHEST_CIRCUIT;

fn main() {
    println!("{} cores", std::thread::available_parallelism().map_or(0, usize::from));
    memory();
    divan::main();
}

fn bodies() -> [(&'static str, Body); 4] {
    let description = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    let set_up = SetUp {
        category: 10,
        number: "60312345678".into(),
        description: description.into(),
        ..SetUp::default()
    };
    let (cause, location, congestion) = (Cause::NORMAL, Location::User, None);
    [
        ("IAM", Body::SetUp(set_up)),
        ("ANM", Body::Answer { description: description.into() }),
        ("REL", Body::Release { cause, location, congestion }),
        ("RLC", Body::ReleaseComplete),
    ]
}

fn body(name: &str) -> Body {
    bodies().into_iter().find(|(known, _)| *known == name).expect("it is one of them").1
}

const NAMES: [&str; 4] = ["IAM", "ANM", "REL", "RLC"];

#[divan::bench(args = NAMES)]
fn isup_write(bencher: Bencher, name: &str) {
    let message = Message::new(5, body(name));
    bencher.bench(|| black_box(&message).to_bytes());
}

#[divan::bench(args = NAMES)]
fn isup_read(bencher: Bencher, name: &str) {
    let bytes = Message::new(5, body(name)).to_bytes();
    bencher.bench(|| Message::read(black_box(&bytes)));
}

fn data(payload: &[u8]) -> Vec<u8> {
    let (service, network, selection) = (m3ua::ISUP, 2, 5);
    let data = ProtocolData { origin: 2001, destination: 1001, service, network, selection, payload };
    data.message(1, None).expect("it fits")
}

#[divan::bench(args = NAMES)]
fn m3ua_write(bencher: Bencher, name: &str) {
    let payload = Message::new(5, body(name)).to_bytes();
    bencher.bench(|| data(black_box(&payload)));
}

#[divan::bench(args = NAMES)]
fn m3ua_read(bencher: Bencher, name: &str) {
    let bytes = data(&Message::new(5, body(name)).to_bytes());
    bencher.bench(|| {
        let message = m3ua::Message::read(black_box(&bytes)).expect("well formed");
        let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA).expect("it is there"));
        data.expect("well formed").payload.len()
    });
}

fn outgoing(on_start: OnStart) -> Trunk {
    let config =
        Config { equipped: Some((0, HIGHEST_CIRCUIT)), outgoing: true, on_start, ..Config::default() };
    let mut trunk = Trunk::new(config, 0);
    trunk.handle(0, Event::Up);
    trunk
}

fn busy() -> Trunk {
    let mut trunk = outgoing(OnStart::Trust);
    for circuit in 0..=HIGHEST_CIRCUIT {
        let call = CallRef(circuit.into());
        let Body::SetUp(set_up) = body("IAM") else { unreachable!("it is a set-up") };
        trunk.handle(0, Event::SetUp { call, set_up });
        trunk.handle(0, Event::Received { message: Message::new(circuit, body("ANM")), call: CallRef(0) });
        trunk.take_effects();
    }
    trunk
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or_default() * 4096
}

/// Memory a circuit with a call that stands on it, of 16 peers with 4,096 each.
fn memory() {
    const PEERS: usize = 16;
    let before = resident();
    let trunks: Vec<Trunk> = (0..PEERS).map(|_| busy()).collect();
    let standing = trunks.iter().filter_map(|trunk| trunk.states().get("standing").copied()).sum::<usize>();
    let after = resident();
    let empty = std::mem::size_of::<steprelay_signalling::wheel::Wheel<u64>>();
    println!("an empty timer wheel takes {empty} bytes");
    println!(
        "{standing} circuits with a call that stands: {} bytes of resident memory each",
        (after - before) / standing.max(1)
    );
}

/// A call from its set-up to its release, on a trunk of 4,096 circuits with nothing else on it.
#[divan::bench]
fn trunk_call(bencher: Bencher) {
    let mut trunk = outgoing(OnStart::Trust);
    let Body::SetUp(set_up) = body("IAM") else { unreachable!("it is a set-up") };
    let mut serial = 0;
    bencher.bench_local(|| {
        serial += 1;
        let call = CallRef(serial);
        trunk.handle(0, Event::SetUp { call, set_up: set_up.clone() });
        let circuit = trunk.circuit(call).expect("one is free");
        let receive = |trunk: &mut Trunk, body| {
            trunk.handle(0, Event::Received { message: Message::new(circuit, body), call: CallRef(0) })
        };
        receive(&mut trunk, body("ANM"));
        trunk.handle(0, Event::Release { call, cause: Cause::NORMAL, congestion: None });
        receive(&mut trunk, Body::ReleaseComplete);
        trunk.take_effects().len()
    });
}

/// All of 4,096 circuits queried after a start, the peer answering at once.
#[divan::bench]
fn trunk_recover(bencher: Bencher) {
    bencher.with_inputs(|| outgoing(OnStart::Query)).bench_local_values(|mut trunk| {
        loop {
            let effects = trunk.take_effects();
            let asked: Vec<Message> = effects
                .into_iter()
                .filter_map(|effect| match effect {
                    steprelay_signalling::circuits::Effect::Send(message) => Some(message),
                    _ => None,
                })
                .collect();
            if asked.is_empty() {
                break;
            }
            for Message { circuit, body } in asked {
                let Body::QueryGroup(range) = body else { continue };
                let (maintenance, hardware) = Default::default();
                let idle = CircuitState::Equipped { busy: Busy::Idle, maintenance, hardware };
                let answer = Body::QueryGroupResponse(range.clone(), vec![idle; range.circuits()]);
                trunk.handle(0, Event::Received { message: Message::new(circuit, answer), call: CallRef(0) });
            }
        }
        trunk.free()
    });
}
