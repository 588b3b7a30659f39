//! The two fronts side by side: the same calls, to the same stand-in server, through the program's release or
//! bench build. Prints set-ups a second and processor time a call for each, and their ratio.
//!
//! `cargo bench -p steprelay --bench fronts`. Callers keep a fixed number of calls open; the program runs on
//! one thread as ever, so what is measured is what one core can do.

#[path = "../tests/common/mod.rs"]
mod common;
mod load;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

use common::*;
use load::{make_calls, processor};

const CALLS: u32 = 100_000;
/// Calls that are open at once.
const OPEN: u32 = 64;
const ROUNDS: usize = 5;

fn main() {
    let mut figures = [Vec::new(), Vec::new()];
    println!("{CALLS} calls, {OPEN} open at once; {} cores", cores());
    for _ in 0..ROUNDS {
        let server = Server::new();
        let address = server.address;
        std::thread::spawn(move || answer_all(server.listener));
        let mut setting = Setting::new(&[address]);
        setting.m3ua = Some(FILE.into());
        let mut agent = setting.start();
        let m3ua: SocketAddr = agent.logged("serving M3UA on ").parse().expect("an address");
        for (place, run) in [platform(agent.address), signalling(m3ua)].into_iter().enumerate() {
            let before = processor(&agent);
            let start = Instant::now();
            run();
            let took = start.elapsed().as_secs_f64();
            let processor = processor(&agent) - before;
            figures[place].push((f64::from(CALLS) / took, processor * 1e6 / f64::from(CALLS)));
        }
    }
    let mut best = Vec::new();
    for (name, figures) in ["platform", "m3ua"].into_iter().zip(&figures) {
        let fastest = figures.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1)).expect("there are rounds");
        println!("{name:>9}: {:>7.0} calls a second, {:>5.1} us of processor a call", fastest.0, fastest.1);
        best.push(fastest.1);
    }
    println!("m3ua / platform: {:.2} of the processor time a call", best[1] / best[0]);
    recovery();
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(0, usize::from)
}

const FILE: &str = "listen = '127.0.0.1:0'\npoint_code = 1001\n\
    [[class]]\ncategory = 10\nclass = 'standard-check'\nwait_ms = 5000\n\
    [[client]]\nname = 'branch-a'\npoint_code = 2001\nrouting_context = 1\ntenant = 'lembah-realty'\n";

/// Callers over the platform's front.
fn platform(address: SocketAddr) -> Box<dyn FnOnce()> {
    Box::new(move || {
        let mut lines = Lines::new(TcpStream::connect(address).expect("it listens"));
        make_calls(&mut lines, CALLS.into(), OPEN.into());
    })
}

/// The same over M3UA.
fn signalling(address: SocketAddr) -> Box<dyn FnOnce()> {
    Box::new(move || {
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.set_nodelay(true).expect("settable");
        stream.write_all(&[1, 0, 3, 1, 0, 0, 0, 8, 1, 0, 4, 1, 0, 0, 0, 8]).expect("written");
        let set_up = |circuit: u16| {
            let mut user = circuit.to_le_bytes().to_vec();
            user.extend([1, 0, 0x20, 1, 10, 0, 2, 7, 5, 0x84, 0x10, 0x06, 0x13, 0x02, 0x20, 2, 4, b'd', 0]);
            user
        };
        for circuit in 1..=OPEN as u16 {
            stream.write_all(&data(&set_up(circuit))).expect("written");
        }
        let (mut begun, mut stood, mut inbound) = (OPEN, 0, Vec::new());
        let mut bytes = [0; 65536];
        while stood < CALLS {
            let read = stream.read(&mut bytes).expect("it goes on");
            assert!(read > 0, "it ended after {stood}");
            inbound.extend(&bytes[..read]);
            let (mut at, mut out) = (0, Vec::new());
            while let Some(length) = inbound.get(at + 4..at + 8) {
                let length = u32::from_be_bytes(length.try_into().expect("4 bytes")) as usize;
                let Some(message) = inbound.get(at..at + length) else { break };
                at += length;
                // Behind the head: the context, and the head and label of the protocol data.
                let Some(&[low, high, kind]) = message.get(32..35).filter(|_| message[2..4] == [1, 1]) else {
                    continue;
                };
                match kind {
                    0x09 => {
                        stood += 1;
                        out.extend(data(&[low, high, 0x0c, 2, 0, 2, 0x80, 0x90]));
                    }
                    0x10 if begun < CALLS => {
                        begun += 1;
                        out.extend(data(&set_up(u16::from_le_bytes([low, high]))));
                    }
                    0x06 | 0x10 => {}
                    kind => panic!("call message {kind:#x}"),
                }
            }
            inbound.drain(..at);
            stream.write_all(&out).expect("written");
        }
    })
}

fn data(user: &[u8]) -> Vec<u8> {
    label(2001, 1001, 1, user)
}

fn label(origin: u32, destination: u32, context: u32, user: &[u8]) -> Vec<u8> {
    let length = 8 + 8 + (4 + 12 + user.len()).next_multiple_of(4);
    let mut bytes = vec![1, 0, 1, 1];
    bytes.extend((length as u32).to_be_bytes());
    bytes.extend([0, 6, 0, 8]);
    bytes.extend(context.to_be_bytes());
    bytes.extend([2, 0x10]);
    bytes.extend((16 + user.len() as u16).to_be_bytes());
    bytes.extend(origin.to_be_bytes());
    bytes.extend(destination.to_be_bytes());
    bytes.extend([5, 2, 0, user[0] & 15]);
    bytes.extend(user);
    bytes.resize(length, 0);
    bytes
}

/// How long a server's 4,095 circuits take to be known after a start, from its first acknowledgement on.
fn recovery() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut setting = Setting::new(&[]);
    setting.m3ua = Some(format!(
        "{FILE}[[server]]\nname = 'archive'\naddress = '{}'\npoint_code = 3001\nrouting_context = 7\n\
         number = 1\ncircuits = 4095\non_start = 'query'\n",
        listener.local_addr().expect("bound")
    ));
    let _agent = setting.start();
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut message = || {
        let mut head = [0; 8];
        stream.read_exact(&mut head).expect("a message");
        let length = u32::from_be_bytes(head[4..].try_into().expect("4 bytes")) as usize;
        let mut body = vec![0; length - 8];
        stream.read_exact(&mut body).expect("as long as it says");
        (head, body, stream.try_clone().expect("clonable"))
    };
    let (_, _, mut out) = message();
    out.write_all(&[1, 0, 3, 4, 0, 0, 0, 8]).expect("written");
    message();
    let start = Instant::now();
    out.write_all(&[1, 0, 4, 3, 0, 0, 0, 8]).expect("written");
    let mut known = 0;
    while known < 4095 {
        let (head, body, _) = message();
        assert_eq!(head[2..4], [1, 1]);
        let user = &body[24..];
        assert_eq!(user[2], 0x2a, "a query");
        let circuits = user[5] + 1;
        let mut answer = vec![user[0], user[1], 0x2b, 2, 3, 1, user[5], circuits];
        answer.extend(std::iter::repeat_n(0b1100, circuits.into()));
        out.write_all(&label(3001, 1001, 7, &answer)).expect("written");
        known += u32::from(circuits);
    }
    println!(
        "4,095 circuits of a server are known {:.1} ms after it is active",
        start.elapsed().as_secs_f64() * 1e3
    );
}
