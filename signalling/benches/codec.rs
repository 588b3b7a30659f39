//! Benchmarks of the codecs for single messages and of a trunk, and the memory use of a trunk.
//!
//! `cargo bench -p steprelay-signalling --bench codec`.

use divan::{black_box, Bencher};
use steprelay_signalling::cause::{Cause, Location};
use steprelay_signalling::circuits::{CallRef, Config, Event, OnStart, Trunk};
use steprelay_signalling::isup::{Body, CallProcessing, CircuitState, Message, SetUp};
use steprelay_signalling::m3ua::{self, tag, ProtocolData};
use steprelay_signalling::HIGHEST_CIRCUIT;

fn main() {
    println!("{} cores", std::thread::available_parallelism().map_or(0, usize::from));
    print_memory_use();
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
    bodies().into_iter().find(|(known, _)| *known == name).expect("a known message").1
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
    data.message(1, None).expect("the message fits")
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
        let data = ProtocolData::read(message.parameter(tag::PROTOCOL_DATA).expect("protocol data"));
        data.expect("well formed").payload.len()
    });
}

fn outgoing_trunk(on_start: OnStart) -> Trunk {
    let config =
        Config { equipped: Some((0, HIGHEST_CIRCUIT)), outgoing: true, on_start, ..Config::default() };
    let mut trunk = Trunk::new(config, 0);
    trunk.handle(0, Event::Up);
    trunk
}

fn call_processing() -> Trunk {
    let mut trunk = outgoing_trunk(OnStart::Trust);
    for circuit in 0..=HIGHEST_CIRCUIT {
        let call = CallRef(circuit.into());
        let Body::SetUp(set_up) = body("IAM") else { unreachable!("IAM is a set-up") };
        trunk.handle(0, Event::SetUp { call, set_up });
        trunk.handle(0, Event::Received { message: Message::new(circuit, body("ANM")), call: CallRef(0) });
        trunk.take_effects();
    }
    trunk
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or_default() * 4096
}

/// Prints the memory per circuit with an established call, of 16 peers with 4,096 circuits each.
fn print_memory_use() {
    const PEERS: usize = 16;
    let before = resident_bytes();
    let trunks: Vec<Trunk> = (0..PEERS).map(|_| call_processing()).collect();
    let established =
        trunks.iter().filter_map(|trunk| trunk.states().get("standing").copied()).sum::<usize>();
    let after = resident_bytes();
    let empty = std::mem::size_of::<steprelay_signalling::wheel::Wheel<u64>>();
    println!("an empty timer wheel takes {empty} bytes");
    println!(
        "{established} circuits with an established call: {} bytes of resident memory each",
        (after - before) / established.max(1)
    );
}

/// A call from its set-up to its release, on an otherwise idle trunk of 4,096 circuits.
#[divan::bench]
fn trunk_call(bencher: Bencher) {
    let mut trunk = outgoing_trunk(OnStart::Trust);
    let Body::SetUp(set_up) = body("IAM") else { unreachable!("IAM is a set-up") };
    let mut serial = 0;
    bencher.bench_local(|| {
        serial += 1;
        let call = CallRef(serial);
        trunk.handle(0, Event::SetUp { call, set_up: set_up.clone() });
        let circuit = trunk.circuit(call).expect("a circuit is free");
        let receive = |trunk: &mut Trunk, body| {
            trunk.handle(0, Event::Received { message: Message::new(circuit, body), call: CallRef(0) })
        };
        receive(&mut trunk, body("ANM"));
        trunk.handle(0, Event::Release { call, cause: Cause::NORMAL, congestion: None });
        receive(&mut trunk, Body::ReleaseComplete);
        trunk.take_effects().len()
    });
}

/// The query of 4,096 circuits after a start, with immediate answers of the peer.
#[divan::bench]
fn trunk_recover(bencher: Bencher) {
    bencher.with_inputs(|| outgoing_trunk(OnStart::Query)).bench_local_values(|mut trunk| {
        loop {
            let effects = trunk.take_effects();
            let sent: Vec<Message> = effects
                .into_iter()
                .filter_map(|effect| match effect {
                    steprelay_signalling::circuits::Effect::Send(message) => Some(message),
                    _ => None,
                })
                .collect();
            if sent.is_empty() {
                break;
            }
            for Message { circuit, body } in sent {
                let Body::QueryGroup(range) = body else { continue };
                let (maintenance, hardware) = Default::default();
                let idle =
                    CircuitState::Equipped { call_processing: CallProcessing::Idle, maintenance, hardware };
                let answer = Body::QueryGroupResponse(range.clone(), vec![idle; range.circuits()]);
                trunk.handle(0, Event::Received { message: Message::new(circuit, answer), call: CallRef(0) });
            }
        }
        trunk.free_count()
    });
}
