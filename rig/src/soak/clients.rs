//! Clients of the platform's signalling: good ones that go on calling until their connection is closed, and
//! bad ones.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

use super::plan::{millis, BadClient, Client};
use super::record::{Answer, Record, What};
use super::servers::{call_of, hex};

/// What clients say that they wait, in parts of their calls' deadline.
const PATIENCE: [(u64, u64); 4] = [(1, 10), (1, 3), (2, 3), (1, 1)];
/// One set-up in so many is given up after a moment, and one established call in so many is released by its
/// client.
const GIVES_UP: u32 = 25;
const RELEASES: u32 = 2;
/// A flood that nobody reads the answers to.
const FLOOD: usize = 4_000;

pub fn offer(call: u64, left: u64, server: usize) -> Value {
    json!({"op": "offer", "call": hex(call), "desc": "v=0", "with": {"class": "standard-check",
        "left": left.to_string(), "tenant": "lembah-realty", "key": format!("{call:x}"),
        "extras": format!("dest:{server};width:1;via:-1")}})
}

/// The end of a call, or its acknowledgement.
pub(crate) fn line(op: &str, call: u64) -> Vec<u8> {
    let mut message = json!({"op": op, "call": hex(call), "with": {}});
    if op == "end" {
        message["why"] = json!(16);
    }
    format!("{message}\n").into_bytes()
}

/// Calls on one connection after the other, for as long as new ones may be opened.
pub async fn keep_calling(client: Client, address: SocketAddr, record: Record) {
    let mut random = StdRng::seed_from_u64(client.seed);
    let mut next_call = 0;
    loop {
        let Ok(stream) = TcpStream::connect(address).await else { return };
        record.note(What::Connected { client: client.number });
        let mut connection = Connection {
            client: &client,
            stream,
            record: &record,
            random: &mut random,
            next_call: &mut next_call,
            received: Vec::new(),
            replies: Vec::new(),
            releases: Vec::new(),
            open: BTreeSet::new(),
            looked: record.now(),
        };
        connection.call_until_closed().await;
        record.note(What::Disconnected { client: client.number });
        if record.now() >= client.connects_for {
            return;
        }
        sleep(millis(5)).await;
    }
}

struct Connection<'a> {
    client: &'a Client,
    stream: TcpStream,
    record: &'a Record,
    random: &'a mut StdRng,
    next_call: &'a mut u64,
    /// Part of a line, and whole lines that are to be written.
    received: Vec<u8>,
    replies: Vec<u8>,
    /// Established calls whose release is among these.
    releases: Vec<u64>,
    /// Set-ups without an answer.
    open: BTreeSet<u64>,
    /// When the connection was last seen to be open, with nothing left to be read.
    looked: u64,
}

/// The connection has ended.
struct Closed;

impl Connection<'_> {
    async fn call_until_closed(&mut self) {
        let _ = self.stream.set_nodelay(true);
        let mut due = Instant::now();
        while self.step(&mut due).await.is_ok() {}
        // Answers that were there before the end, where that was found out by writing.
        let _ = self.read();
        for call in &self.open {
            self.record.note(What::Closed { call: *call, not_before: self.looked });
        }
    }

    /// Waits for what comes or is due. What has come is read first, so that nothing is written behind the end
    /// of the connection.
    async fn step(&mut self, due: &mut Instant) -> Result<(), Closed> {
        tokio::select! {
            _ = self.stream.readable() => {}
            () = sleep_until(*due) => {}
        }
        self.read()?;
        let replies = std::mem::take(&mut self.replies);
        self.write(&replies).await?;
        for call in self.releases.drain(..) {
            self.record.note(What::ClientReleased { call });
        }
        if Instant::now() >= *due {
            *due = Instant::now() + millis(self.client.every);
            self.call().await?;
        }
        Ok(())
    }

    async fn write(&mut self, lines: &[u8]) -> Result<(), Closed> {
        self.stream.write_all(lines).await.map_err(|_| Closed)
    }

    fn read(&mut self) -> Result<(), Closed> {
        let mut buffer = [0; 16_384];
        loop {
            let now = self.record.now();
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return Err(Closed),
                Ok(length) => self.received.extend(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.looked = now;
                    return Ok(());
                }
                Err(_) => return Err(Closed),
            }
            while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.received.drain(..=end).collect();
                let message: Value = serde_json::from_slice(&line).unwrap_or_default();
                if let Some(call) = call_of(&message) {
                    self.take(&message, call);
                }
            }
        }
    }

    fn take(&mut self, message: &Value, call: u64) {
        match message["op"].as_str() {
            Some("accept") => {
                self.record.note(What::Answered { call, answer: Answer::Accepted });
                self.open.remove(&call);
                if self.random.random_ratio(1, RELEASES) {
                    self.replies.extend(line("end", call));
                    self.releases.push(call);
                }
            }
            Some("end") if self.open.remove(&call) => {
                let refused = matches!(message["why"].as_u64(), Some(34 | 42 | 102));
                let answer = if refused { Answer::Refused } else { Answer::Failed };
                self.record.note(What::Answered { call, answer });
            }
            Some("end") => {
                self.record.note(What::HeardRelease { call });
                self.replies.extend(line("ended", call));
            }
            _ => {}
        }
    }

    /// Makes the next call; some are given up at once, with the bytes that follow.
    async fn call(&mut self) -> Result<(), Closed> {
        *self.next_call += 1;
        let call = (self.client.number + 1) << 32 | *self.next_call;
        let (part, of) = PATIENCE[self.random.random_range(0..PATIENCE.len())];
        let left = self.client.deadline * part / of;
        let set_up = format!("{}\n", offer(call, left, self.random.random_range(0..self.client.servers)));
        self.write(set_up.as_bytes()).await?;
        self.record.note(What::Sent { call, left });
        if self.random.random_ratio(1, GIVES_UP) {
            self.write(&line("end", call)).await?;
            self.record.note(What::Left { call });
        } else {
            self.open.insert(call);
        }
        Ok(())
    }
}

/// Does on one connection after the other what no client should, for as long as new ones are taken.
pub async fn misbehave(kind: BadClient, address: SocketAddr) {
    let flood: String =
        (0..FLOOD).map(|call| format!("{}\n", offer(0xbad << 40 | call as u64, 3_000, 0))).collect();
    while let Ok(mut stream) = TcpStream::connect(address).await {
        let written = match kind {
            BadClient::HalfLines => stream.write_all(b"{\"op\":\"offer\",\"call\":\"00").await,
            BadClient::NeverReads => stream.write_all(flood.as_bytes()).await,
            BadClient::Silent => Ok(()),
        };
        // Until it is ended; a silent one says nothing meanwhile, and none of them reads what it is told.
        while written.is_ok() && !is_ended(&stream) {
            sleep(millis(20)).await;
        }
    }
}

fn is_ended(stream: &TcpStream) -> bool {
    match kind_of_end(stream) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Looks at what waits to be read without reading it.
fn kind_of_end(stream: &TcpStream) -> std::io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}
