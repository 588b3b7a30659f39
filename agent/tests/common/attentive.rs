//! A check server that listens while its story is elsewhere, as servers do.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};

use serde_json::{json, Value};

use super::{hex, peek, PATIENCE};

enum Heard {
    Connection(TcpStream),
    Message(Value, TcpStream),
}

/// Takes each connection, answers tests on it at once, and keeps what else comes for its story. One that
/// answers only when its story reads is silent to the program, which then dials others and closes it.
pub struct AttentiveServer {
    pub address: SocketAddr,
    heard: Receiver<Heard>,
    /// The connections of set-ups, by their calls.
    of_call: BTreeMap<String, TcpStream>,
}

impl AttentiveServer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (hand_on, heard) = mpsc::channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let hand_on = hand_on.clone();
                std::thread::spawn(move || attend(stream, &hand_on));
            }
        });
        AttentiveServer { address, heard, of_call: BTreeMap::new() }
    }

    fn next_heard(&self) -> Heard {
        self.heard.recv_timeout(PATIENCE).expect("a connection or a message")
    }

    /// Waits for a connection whose other side is still there: one of a program that was killed is not.
    pub fn connected(&self) {
        loop {
            if matches!(self.next_heard(), Heard::Connection(stream) if is_open(&stream)) {
                return;
            }
        }
    }

    /// The next message on any connection, without tests.
    pub fn next(&mut self) -> Value {
        loop {
            if let Heard::Message(message, stream) = self.next_heard() {
                if message["op"] == "offer" {
                    self.of_call.insert(message["call"].as_str().expect("text").into(), stream);
                }
                return message;
            }
        }
    }

    /// The next message, which must be this one about this call.
    pub fn expect(&mut self, op: &str, call: u64) -> Value {
        let message = self.next();
        assert_eq!((message["op"].as_str(), message["call"].as_str()), (Some(op), Some(&*hex(call))));
        message
    }

    /// The call of the next set-up.
    pub fn next_offer(&mut self) -> u64 {
        let message = self.next();
        assert_eq!(message["op"], "offer");
        u64::from_str_radix(message["call"].as_str().expect("text"), 16).expect("hex")
    }

    /// Says something of a call on the connection of its set-up.
    pub fn say(&mut self, message: Value) {
        let stream = self.of_call.get_mut(message["call"].as_str().expect("text")).expect("its set-up came");
        stream.write_all(format!("{message}\n").as_bytes()).expect("it takes what is written");
    }
}

fn is_open(stream: &TcpStream) -> bool {
    peek(stream).map_or_else(|error| error.kind() == ErrorKind::WouldBlock, |bytes| bytes > 0)
}

/// Serves one connection until the other side ends it.
fn attend(stream: TcpStream, hand_on: &Sender<Heard>) {
    stream.set_nodelay(true).expect("settable");
    let mut answers = stream.try_clone().expect("clonable");
    let mut say = |message: Value| answers.write_all(format!("{message}\n").as_bytes()).is_ok();
    if !say(json!({"op": "group", "call": hex(0), "with": {"load": "spare:900;total:900"}})) {
        return;
    }
    if hand_on.send(Heard::Connection(stream.try_clone().expect("clonable"))).is_err() {
        return;
    }
    for line in BufReader::new(&stream).lines().map_while(Result::ok) {
        let message: Value = serde_json::from_str(&line).expect("JSON");
        let goes_on = if message["op"] == "test" {
            say(json!({"op": "tested", "call": message["call"], "with": {}, "why": 1}))
        } else {
            hand_on.send(Heard::Message(message, stream.try_clone().expect("clonable"))).is_ok()
        };
        if !goes_on {
            return;
        }
    }
}
