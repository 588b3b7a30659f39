//! Clients that go on while the program stops, is replaced or sends them away.

mod common;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// A set-up that is written at most so long before the end of its connection comes again elsewhere.
const CROSSING: Duration = Duration::from_millis(50);

/// A client that makes a call every two milliseconds, whatever comes, until its connection ends.
struct Busy {
    /// Its calls have ids of their own, from this on.
    first: u64,
    writing: std::thread::JoinHandle<Vec<Instant>>,
    reading: std::thread::JoinHandle<BTreeMap<u64, u32>>,
}

impl Busy {
    fn start(number: u64, address: SocketAddr) -> Self {
        let first = number << 32;
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_nodelay(true).expect("settable");
        let mut lines = Lines::new(stream.try_clone().expect("clonable"));
        let reading = std::thread::spawn(move || {
            let mut answers = BTreeMap::new();
            while let Some(message) = lines.next() {
                let call = u64::from_str_radix(message["call"].as_str().expect("text"), 16).expect("hex");
                *answers.entry(call).or_default() += 1;
            }
            answers
        });
        let writing = std::thread::spawn(move || Self::write(stream, first));
        Busy { first, writing, reading }
    }

    fn write(mut stream: TcpStream, first: u64) -> Vec<Instant> {
        let mut written = Vec::new();
        while !has_ended(&stream) {
            let call = first + written.len() as u64;
            if stream.write_all(format!("{}\n", offer(call, 3000, 0)).as_bytes()).is_err() {
                break;
            }
            written.push(Instant::now());
            std::thread::park_timeout(Duration::from_millis(2));
        }
        written
    }

    /// Once its connection has ended: each set-up has had one answer, except for those that crossed the end.
    /// Returns how many there were.
    fn judge(self) -> usize {
        let began = Instant::now();
        while !self.writing.is_finished() {
            assert!(began.elapsed() < PATIENCE, "its connection does not end");
            std::thread::park_timeout(Duration::from_millis(5));
        }
        let (written, answers) =
            (self.writing.join().expect("it ends"), self.reading.join().expect("it ends"));
        let ended = *written.last().expect("some");
        for (call, at) in (self.first..).zip(&written) {
            let count = answers.get(&call).copied().unwrap_or(0);
            let before = ended - *at;
            assert!(
                count == 1 || count == 0 && before <= CROSSING,
                "call {call}, {before:?} before: {count}"
            );
        }
        written.len()
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    const PEEK: i32 = 0x2;
    const DO_NOT_WAIT: i32 = 0x40;
    match SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK | DO_NOT_WAIT) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn setting(server: &Server) -> Setting {
    let mut setting = Setting::new(&[server.address]);
    for class in [0, 1] {
        setting.settings["services"][class]["hardLimitMs"] = 3000.into();
    }
    setting.ops = Some("127.0.0.1:0".into());
    setting
}

#[test]
fn clients_that_never_pause_lose_no_call_when_the_process_stops_or_is_replaced() {
    for replaced in [false, true] {
        let server = Server::new();
        let setting = setting(&server);
        std::thread::spawn(move || answer_all(server.listener));
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut agent = if replaced { setting.start_on(&socket) } else { setting.start() };
        agent.ops();
        let address = if replaced { socket.local_addr().expect("bound") } else { agent.address };
        let busy: Vec<Busy> = (1..=4).map(|number| Busy::start(number, address)).collect();
        pass(Duration::from_millis(200));
        let stopped = Instant::now();
        agent.signal("TERM");
        assert!(agent.ended().success());
        assert!(
            stopped.elapsed() < Duration::from_millis(3_700),
            "replaced {replaced}: {:?}",
            stopped.elapsed()
        );
        for busy in busy {
            let calls = busy.judge();
            assert!(calls > 50, "replaced {replaced}: {calls}");
        }
    }
}

/// A server that answers each set-up with an error, so that nothing stands.
fn fail_all(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        std::thread::spawn(move || {
            let mut lines = Lines::new(stream);
            lines.answers_tests = true;
            while let Some(message) = lines.next() {
                if message["op"] == "offer" {
                    let call = u64::from_str_radix(message["call"].as_str().expect("text"), 16).expect("hex");
                    lines.say(end(call, 17));
                }
            }
        });
    }
}

/// 4 s after the command no connection carries a set-up of the last 2 s; nothing stands for which one would
/// stay.
#[test]
fn clients_that_never_pause_are_closed_in_standby_and_lose_no_call() {
    let server = Server::new();
    let setting = setting(&server);
    std::thread::spawn(move || fail_all(server.listener));
    let mut agent = setting.start();
    let ops = agent.ops();
    let busy: Vec<Busy> = (1..=4).map(|number| Busy::start(number, agent.address)).collect();
    pass(Duration::from_millis(200));
    let commanded = Instant::now();
    assert_eq!(ask(ops, b"standby\n"), "+OK\n");
    for busy in busy {
        let calls = busy.judge();
        assert!(calls > 50, "{calls}");
    }
    assert!(commanded.elapsed() < Duration::from_secs(4), "{:?}", commanded.elapsed());
}
