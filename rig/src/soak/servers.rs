//! Stand-ins of check servers: they answer in their own time, and release what stands after a while.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::plan::{millis, ServerKind};
use super::record::{Record, What};

/// A server that closes, resets or forgets its connections does so after this time.
const KEEPS: std::ops::Range<u64> = 300..1_500;
/// Calls stand for so long.
const HOLDS: std::ops::Range<u64> = 100..1_500;

/// Empty once its server has ended the connection, whoever would still write on it.
type Writer = Rc<Mutex<Option<OwnedWriteHalf>>>;

struct Server {
    number: u32,
    kind: ServerKind,
    record: Record,
    random: RefCell<StdRng>,
    connections: RefCell<BTreeMap<u64, Writer>>,
    /// Open and established calls, each with its latest attempt; one is taken out by whichever side ends it
    /// first.
    established: RefCell<BTreeMap<u64, u64>>,
    attempts: Cell<u64>,
    /// Releases without an acknowledgement: they are sent again on the next connection that is opened.
    pending_releases: RefCell<BTreeMap<u64, ()>>,
}

/// # Errors
/// No port is free.
pub async fn start(number: u32, kind: ServerKind, seed: u64, record: Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Rc::new(Server {
        number,
        kind,
        record,
        random: RefCell::new(StdRng::seed_from_u64(seed ^ u64::from(number) << 32)),
        connections: RefCell::default(),
        established: RefCell::default(),
        attempts: Cell::default(),
        pending_releases: RefCell::default(),
    });
    spawn_local(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 1;
            spawn_local(server.clone().keep(stream, number));
        }
    });
    Ok(address)
}

pub fn hex(call: u64) -> String {
    format!("{call:016x}")
}

/// The call that a message names.
pub fn call_of(message: &Value) -> Option<u64> {
    message["call"].as_str().and_then(|text| u64::from_str_radix(text, 16).ok())
}

async fn say(writer: &Writer, message: Value) -> bool {
    match &mut *writer.lock().await {
        Some(writing) => writing.write_all(format!("{message}\n").as_bytes()).await.is_ok(),
        None => false,
    }
}

impl Server {
    /// One connection, for as long as a server of this kind keeps one.
    async fn keep(self: Rc<Self>, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let ends = matches!(self.kind, ServerKind::Closes | ServerKind::Resets | ServerKind::Forgets);
        let keeps = self.random.borrow_mut().random_range(KEEPS);
        if self.kind == ServerKind::Resets {
            let _ = SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
        }
        let (reading, writing) = stream.into_split();
        let writer: Writer = Rc::new(Mutex::new(Some(writing)));
        say(&writer, json!({"op": "group", "call": hex(0), "with": {"load": "spare:900;total:900"}})).await;
        self.connections.borrow_mut().insert(number, writer.clone());
        let pending: Vec<u64> = self.pending_releases.borrow().keys().copied().collect();
        for call in pending {
            say(&writer, json!({"op": "end", "call": hex(call), "with": {}, "why": 16})).await;
        }
        let reading = self.clone().read(reading, writer.clone());
        if !ends {
            reading.await;
        } else if timeout(millis(keeps), reading).await.is_err() && self.kind == ServerKind::Forgets {
            // It stays open, and nobody reads or writes on it any more.
            self.connections.borrow_mut().remove(&number);
            std::future::pending::<()>().await;
        }
        self.connections.borrow_mut().remove(&number);
        writer.lock().await.take();
    }

    async fn read(self: Rc<Self>, reading: tokio::net::tcp::OwnedReadHalf, writer: Writer) {
        let mut lines = BufReader::new(reading).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Ok(message) = serde_json::from_str::<Value>(&line) else { return };
            let Some(call) = call_of(&message) else { return };
            match message["op"].as_str() {
                Some("test") if self.kind != ServerKind::Silent => {
                    say(&writer, json!({"op": "tested", "call": hex(call), "with": {}, "why": 1})).await;
                }
                Some("offer") => {
                    self.record.note(What::Attempt { call, server: self.number });
                    spawn_local(self.clone().answer(call, writer.clone()));
                }
                Some("end") => {
                    self.record.note(What::AttemptEnded { call, server: self.number });
                    self.established.borrow_mut().remove(&call);
                }
                Some("ended") => drop(self.pending_releases.borrow_mut().remove(&call)),
                _ => {}
            }
        }
    }

    async fn answer(self: Rc<Self>, call: u64, writer: Writer) {
        let delay = {
            let mut random = self.random.borrow_mut();
            let slow = random.random_range(200..2_500);
            match self.kind {
                ServerKind::Silent => return,
                ServerKind::Slow => slow,
                ServerKind::Mixed if random.random_bool(0.3) => return,
                ServerKind::Mixed if random.random_bool(0.5) => slow,
                _ => random.random_range(0..20),
            }
        };
        let holds = self.random.borrow_mut().random_range(HOLDS);
        // A call may come again once its attempt here was given up: that is another one.
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        self.established.borrow_mut().insert(call, attempt);
        let takes =
            || self.established.borrow_mut().extract_if(call..=call, |_, at| *at == attempt).count() == 1;
        sleep(millis(delay)).await;
        if self.established.borrow().get(&call) != Some(&attempt) {
            return;
        }
        let answer = json!({"op": "accept", "call": hex(call), "with": {}, "desc": "v=1"});
        if !say(&writer, answer).await {
            takes();
            return;
        }
        sleep(millis(holds)).await;
        if !takes() {
            return;
        }
        self.pending_releases.borrow_mut().insert(call, ());
        let open: Vec<Writer> = self.connections.borrow().values().cloned().collect();
        let release = json!({"op": "end", "call": hex(call), "with": {}, "why": 16});
        for writer in std::iter::once(writer).chain(open) {
            if say(&writer, release.clone()).await {
                self.record.note(What::ServerReleased { call, server: self.number });
                return;
            }
        }
    }
}
