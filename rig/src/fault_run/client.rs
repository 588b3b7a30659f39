//! Clients of the platform's signalling: good ones, which come again at once when their connection ends, and
//! bad ones.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::plan::{BadClient, ClientPlan};
use super::record::{Answer, Record, What};
use crate::soak::clients::{line, offer};
use crate::soak::plan::millis;
use crate::soak::servers::call_of;

/// What clients say that they wait, in parts of their calls' deadline.
const PATIENCE: [(u64, u64); 4] = [(1, 10), (1, 3), (2, 3), (1, 1)];
/// A dial that fails is repeated after this.
const AGAIN: u64 = 10;
/// A client that gives up early does so within this.
const EARLY: std::ops::Range<u64> = 0..150;
/// Bad clients stay for so long, and come again.
const BAD_STAYS: u64 = 700;

/// Where clients connect, while new connections may come.
pub type Door = Rc<Cell<Option<SocketAddr>>>;

/// Calls on one connection after the other, until the run is over.
pub async fn keep_calling(plan: ClientPlan, door: Door, record: Record) {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut next_call = 0;
    loop {
        let Some(address) = door.get() else {
            sleep(millis(AGAIN)).await;
            continue;
        };
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep(millis(AGAIN)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        record.note(What::Listening { client: plan.number });
        let leaves = plan.keeps.clone().map(|keeps| Instant::now() + millis(random.random_range(keeps)));
        let mut connection = Connection {
            plan: &plan,
            stream,
            record: &record,
            random: &mut random,
            next_call: &mut next_call,
            received: Vec::new(),
            replies: Vec::new(),
            releases: Vec::new(),
            acknowledged: Vec::new(),
            open: BTreeSet::new(),
            giving_up: Vec::new(),
            looked: record.now(),
        };
        connection.call_until_ended(leaves).await;
        record.note(What::NotListening { client: plan.number });
    }
}

struct Connection<'a> {
    plan: &'a ClientPlan,
    stream: TcpStream,
    record: &'a Record,
    random: &'a mut StdRng,
    next_call: &'a mut u64,
    received: Vec<u8>,
    /// Whole lines that are to be written, and the calls whose release or its acknowledgement is among them.
    replies: Vec<u8>,
    releases: Vec<u64>,
    acknowledged: Vec<u64>,
    /// Set-ups without an answer, and those that are given up before one comes.
    open: BTreeSet<u64>,
    giving_up: Vec<(Instant, u64)>,
    /// When the connection was last seen to be open, with nothing left to be read.
    looked: u64,
}

/// The connection has ended.
struct Closed;

impl Connection<'_> {
    async fn call_until_ended(&mut self, leaves: Option<Instant>) {
        let mut due = Instant::now();
        loop {
            if leaves.is_some_and(|at| Instant::now() >= at) {
                return self.leave().await;
            }
            if self.step(&mut due, leaves).await.is_err() {
                break;
            }
        }
        let _ = self.read();
        for call in &self.open {
            self.record.note(What::Closed { call: *call, not_before: self.looked });
        }
    }

    /// Leaves with whatever is open, in the middle of a line or with a reset.
    async fn leave(&mut self) {
        match self.random.random_range(0..3) {
            0 => drop(socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO))),
            1 => drop(self.stream.write_all(b"{\"op\":\"offer\",\"ca").await),
            _ => {}
        }
        for call in &self.open {
            self.record.note(What::Left { call: *call });
        }
    }

    async fn step(&mut self, due: &mut Instant, leaves: Option<Instant>) -> Result<(), Closed> {
        let gives_up = self.giving_up.iter().map(|(at, _)| *at).min();
        let wake = [Some(*due), leaves, gives_up].into_iter().flatten().min().unwrap_or(*due);
        tokio::select! {
            _ = self.stream.readable() => {}
            () = sleep_until(wake) => {}
        }
        self.read()?;
        let replies = std::mem::take(&mut self.replies);
        self.write(&replies).await?;
        for call in std::mem::take(&mut self.releases) {
            self.record.note(What::ClientReleased { call });
        }
        for call in std::mem::take(&mut self.acknowledged) {
            self.record.note(What::Acknowledged { call });
        }
        self.give_up_due().await?;
        if Instant::now() >= *due {
            *due = Instant::now() + millis(self.plan.every);
            self.call().await?;
        }
        Ok(())
    }

    async fn give_up_due(&mut self) -> Result<(), Closed> {
        let now = Instant::now();
        let due: Vec<u64> =
            self.giving_up.extract_if(.., |(at, _)| *at <= now).map(|(_, call)| call).collect();
        for call in due {
            if self.open.remove(&call) {
                self.record.note(What::Left { call });
                self.write(&line("end", call)).await?;
            }
        }
        Ok(())
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Closed> {
        let part = if self.plan.in_pieces { bytes.len().div_ceil(3).max(1) } else { bytes.len().max(1) };
        for (place, part) in bytes.chunks(part).enumerate() {
            if place > 0 {
                sleep(millis(self.random.random_range(1..15))).await;
            }
            self.stream.write_all(part).await.map_err(|_| Closed)?;
        }
        Ok(())
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
                let bytes: Vec<u8> = self.received.drain(..=end).collect();
                let message: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                if let Some(call) = call_of(&message) {
                    self.take(&message, call);
                }
            }
        }
    }

    fn take(&mut self, message: &Value, call: u64) {
        let answered = |answer, description| What::Answered { call, answer, description };
        match message["op"].as_str() {
            Some("accept") => {
                let description = message["desc"].as_str().map(str::to_string);
                self.record.note(answered(Answer::Accepted, description));
                if self.open.remove(&call) && self.random.random_ratio(self.plan.releases, 100) {
                    self.replies.extend(line("end", call));
                    self.releases.push(call);
                }
            }
            Some("end") if self.open.remove(&call) => {
                let refused = matches!(message["why"].as_u64(), Some(34 | 42 | 102));
                self.record.note(answered(if refused { Answer::Refused } else { Answer::Failed }, None));
            }
            Some("end") => {
                self.record.note(What::HeardRelease { call });
                self.replies.extend(line("ended", call));
                self.acknowledged.push(call);
            }
            _ => {}
        }
    }

    async fn call(&mut self) -> Result<(), Closed> {
        *self.next_call += 1;
        let call = (self.plan.number + 1) << 32 | *self.next_call;
        let (part, of) = PATIENCE[self.random.random_range(0..PATIENCE.len())];
        let left = self.plan.deadline * part / of;
        let set_up = format!("{}\n", offer(call, left, self.random.random_range(0..self.plan.servers)));
        self.write(set_up.as_bytes()).await?;
        self.record.note(What::Sent { call, left });
        self.open.insert(call);
        if self.random.random_ratio(self.plan.gives_up, 100) {
            let after = millis(self.random.random_range(EARLY));
            self.giving_up.push((Instant::now() + after, call));
        }
        Ok(())
    }
}

/// Does what no client should, on one connection after the other.
pub async fn misbehave(kind: BadClient, number: u64, door: Door) {
    for round in 0u64.. {
        let Some(address) = door.get() else {
            sleep(millis(AGAIN)).await;
            continue;
        };
        let Ok(mut stream) = TcpStream::connect(address).await else {
            sleep(millis(AGAIN)).await;
            continue;
        };
        let first = 0xbad << 48 | number << 32 | round << 16;
        let set_up = |call: u64| format!("{}\n", offer(call, 300, 0)).into_bytes();
        let bytes: Vec<u8> = match kind {
            BadClient::Deaf => {
                (0..4).flat_map(|call| [set_up(first + call), line("end", first + call)].concat()).collect()
            }
            BadClient::HalfLines => b"{\"op\":\"offer\",\"call\":\"00".to_vec(),
            BadClient::Noise => b"\x00\xff{}{}\n\n\"offer\"".to_vec(),
            BadClient::Silent => Vec::new(),
            BadClient::Repeats => {
                let again = String::from_utf8_lossy(&set_up(first)).replace("v=0", "v=9").into_bytes();
                [set_up(first), again.clone(), again].concat()
            }
        };
        let _ = stream.write_all(&bytes).await;
        // Nothing is read; it goes in the end.
        let _ = timeout(millis(BAD_STAYS), std::future::pending::<()>()).await;
    }
}
