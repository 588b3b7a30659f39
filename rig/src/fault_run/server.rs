//! A check server of the platform's signalling whose machine or process fails by a plan.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::discovery::{Discovery, Entry, State as Listed};
use super::plan::{Fault, Habits, ServerPlan};
use super::record::{Record, What};
use crate::soak::plan::millis;
use crate::soak::servers::{call_of, hex};

/// Lines of a server; established calls take one each.
const LINES: usize = 900;
const BACKLOG: i32 = 1_024;
/// Calls stand for so long.
const HOLDS: std::ops::Range<u64> = 50..12_000;
/// A replaced server has another id: its place and so much.
pub const REPLACEMENT: u32 = 100;
/// Which a list names as gone so long after its process has died.
const LISTED_AFTER: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Well,
    /// Reads and writes nothing, and takes connections or not.
    Frozen,
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Read, and not answered.
    Open,
    Established,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    attempt: u64,
    connection: u64,
    stage: Stage,
}

struct Connection {
    writer: Mutex<Option<OwnedWriteHalf>>,
    /// Has it ended by reset.
    reset: Notify,
}

struct Server {
    number: u32,
    place: u16,
    habits: Habits,
    record: Record,
    random: RefCell<StdRng>,
    condition: watch::Sender<Condition>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    calls: RefCell<BTreeMap<u64, Call>>,
    attempts: Cell<u64>,
    /// Releases without an acknowledgement: they are sent again on the next connection that is opened.
    pending_releases: RefCell<BTreeSet<u64>>,
}

/// A server at an address that outlives its process.
pub struct Machine {
    address: SocketAddr,
    listener: Rc<TcpListener>,
    server: Rc<Server>,
    plan: ServerPlan,
    seed: u64,
}

impl Machine {
    /// # Errors
    /// No port is free.
    pub fn start(place: u16, plan: &ServerPlan, seed: u64, record: &Record) -> std::io::Result<Self> {
        let listener = Rc::new(listen(any_port())?);
        let address = listener.local_addr()?;
        let server = Server::new(u32::from(place) + 1, place, &plan.habits, seed, record);
        spawn_local(server.clone().take_connections(listener.clone()));
        Ok(Machine { address, listener, server, plan: plan.clone(), seed })
    }

    /// Brings about what the plan has for it.
    pub async fn fail_by_plan(mut self, discovery: Rc<Discovery>) {
        for (at, fault) in self.plan.faults.clone() {
            let now = self.server.record.now();
            sleep(millis(at.saturating_sub(now))).await;
            self.fail(fault, &discovery).await;
        }
        // What has befallen it lasts.
        std::future::pending::<()>().await;
    }

    async fn fail(&mut self, fault: Fault, discovery: &Discovery) {
        match fault {
            Fault::Vanishes => {
                self.server.freeze();
                let _queued = self.block_dials().await;
                self.server.gone();
                std::future::pending::<()>().await;
            }
            Fault::IsCutOff(time) => {
                self.server.freeze();
                let queued = self.block_dials().await;
                sleep(millis(time)).await;
                drop(queued);
                let _ = SockRef::from(&*self.listener).listen(BACKLOG);
                self.server.thaw();
            }
            Fault::Hangs(time) => {
                self.server.freeze();
                sleep(millis(time)).await;
                self.server.thaw();
            }
            Fault::IsReplaced(after) => self.replace(after, discovery).await,
            Fault::Drains => self.tell(discovery, Listed::Draining),
        }
    }

    fn entry(&self, state: Listed) -> Entry {
        Entry { id: self.server.number, place: self.server.place, address: self.address, state }
    }

    /// Has the list of the start name it.
    pub fn list(&self, discovery: &Discovery) {
        discovery.list(self.entry(Listed::Ready));
    }

    fn tell(&self, discovery: &Discovery, state: Listed) {
        discovery.tell(self.entry(state));
    }

    /// Has every new dial wait: the queue of the listener takes one, which is there.
    async fn block_dials(&self) -> Vec<TcpStream> {
        let _ = SockRef::from(&*self.listener).listen(0);
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(self.address)).await
        {
            queued.push(stream);
        }
        queued
    }

    async fn replace(&mut self, after: u64, discovery: &Discovery) {
        self.server.gone();
        self.server.condition.send_replace(Condition::Dead);
        // Nobody listens until another process does.
        let none = Rc::new(listen(any_port()).expect("a port"));
        drop(std::mem::replace(&mut self.listener, none));
        sleep(millis(LISTED_AFTER)).await;
        self.tell(discovery, Listed::Gone);
        sleep(millis(after)).await;
        let Ok(listener) = listen(self.address) else { return };
        self.listener = Rc::new(listener);
        let old = &self.server;
        let number = REPLACEMENT + old.number;
        let seed = self.seed ^ 1;
        self.server = Server::new(number, old.place, &self.plan.habits, seed, &old.record);
        spawn_local(self.server.clone().take_connections(self.listener.clone()));
        self.tell(discovery, Listed::Ready);
    }
}

/// Nobody dials from this address, so that its ports are free when they are needed again.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 4, 1], 0))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

impl Server {
    fn new(number: u32, place: u16, habits: &Habits, seed: u64, record: &Record) -> Rc<Self> {
        Rc::new(Server {
            number,
            place,
            habits: habits.clone(),
            record: record.clone(),
            random: RefCell::new(StdRng::seed_from_u64(seed ^ u64::from(number) << 32)),
            condition: watch::Sender::new(Condition::Well),
            connections: RefCell::default(),
            calls: RefCell::default(),
            attempts: Cell::default(),
            pending_releases: RefCell::default(),
        })
    }

    fn freeze(&self) {
        self.condition.send_replace(Condition::Frozen);
        self.record.note(What::Frozen { server: self.number });
    }

    fn thaw(&self) {
        self.condition.send_replace(Condition::Well);
        self.record.note(What::Thawed { server: self.number });
    }

    /// What stands here is over, and nobody will say so.
    fn gone(&self) {
        self.calls.borrow_mut().clear();
        self.pending_releases.borrow_mut().clear();
        self.record.note(What::Gone { server: self.number });
    }

    fn chance(&self, of_a_hundred: u32) -> bool {
        self.random.borrow_mut().random_ratio(of_a_hundred, 100)
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        if range.is_empty() {
            return range.start;
        }
        self.random.borrow_mut().random_range(range)
    }

    /// Waits while it is frozen; false once it is dead.
    async fn is_alive(&self) -> bool {
        let mut condition = self.condition.subscribe();
        let condition = condition.wait_for(|condition| *condition != Condition::Frozen).await;
        condition.is_ok_and(|condition| *condition == Condition::Well)
    }

    async fn take_connections(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut condition = self.condition.subscribe();
        for number in 1.. {
            if !self.is_alive().await {
                return;
            }
            tokio::select! {
                biased;
                _ = condition.wait_for(|condition| *condition != Condition::Well) => {}
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    spawn_local(self.clone().keep(stream, number));
                }
            }
        }
    }

    async fn keep(self: Rc<Self>, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        if self.habits.resets {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        let keeps = self.habits.keeps.clone().map_or(u64::MAX >> 20, |keeps| self.draw(keeps));
        let (reading, writing) = stream.into_split();
        let connection = Rc::new(Connection { writer: Mutex::new(Some(writing)), reset: Notify::new() });
        let mut condition = self.condition.subscribe();
        let is_reset = tokio::select! {
            () = self.clone().greet_and_read(reading, connection.clone(), number) => false,
            () = sleep(millis(keeps)) => self.habits.resets,
            () = connection.reset.notified() => true,
            _ = condition.wait_for(|condition| *condition == Condition::Dead) => true,
        };
        self.connections.borrow_mut().remove(&number);
        if let Some(writing) = connection.writer.lock().await.take() {
            if is_reset {
                let _ = SockRef::from(writing.as_ref()).set_linger(Some(Duration::ZERO));
            }
        }
        self.attempts_went(number);
    }

    async fn greet_and_read(self: Rc<Self>, reading: OwnedReadHalf, connection: Rc<Connection>, number: u64) {
        let greeted = async {
            sleep(millis(self.habits.first_word_after)).await;
            self.say(&connection, &self.group()).await;
            self.connections.borrow_mut().insert(number, connection.clone());
            let pending: Vec<u64> = self.pending_releases.borrow().iter().copied().collect();
            for call in pending {
                self.say(&connection, &release(call)).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = greeted => {}
            () = self.clone().read(reading, connection.clone(), number) => {}
        }
    }

    /// The set-ups that were open on a connection went with it.
    fn attempts_went(&self, connection: u64) {
        let went: Vec<u64> = {
            let mut calls = self.calls.borrow_mut();
            let went =
                calls.extract_if(.., |_, call| call.connection == connection && call.stage == Stage::Open);
            went.map(|(call, _)| call).collect()
        };
        for call in went {
            self.record.note(What::AttemptReset { call, server: self.number });
        }
    }

    fn group(&self) -> Value {
        let calls = self.calls.borrow();
        let established = calls.values().filter(|call| call.stage == Stage::Established).count();
        let load = format!("spare:{};total:{LINES}", LINES - established.min(LINES));
        json!({"op": "group", "call": hex(0), "with": {"load": load}})
    }

    async fn say(&self, connection: &Connection, message: &Value) -> bool {
        self.write(connection, format!("{message}\n").as_bytes()).await
    }

    async fn write(&self, connection: &Connection, bytes: &[u8]) -> bool {
        let mut writer = connection.writer.lock().await;
        if !self.is_alive().await {
            return false;
        }
        let Some(writing) = &mut *writer else { return false };
        let parts = if self.habits.in_pieces { bytes.len().div_ceil(3) } else { bytes.len().max(1) };
        for part in bytes.chunks(parts.max(1)) {
            if writing.write_all(part).await.is_err() {
                return false;
            }
            if self.habits.in_pieces {
                sleep(millis(self.draw(1..15))).await;
            }
        }
        true
    }

    async fn read(self: Rc<Self>, reading: OwnedReadHalf, connection: Rc<Connection>, number: u64) {
        let mut lines = BufReader::new(reading).lines();
        let mut condition = self.condition.subscribe();
        while self.is_alive().await {
            let line = tokio::select! {
                biased;
                _ = condition.wait_for(|condition| *condition != Condition::Well) => continue,
                line = lines.next_line() => line,
            };
            let Ok(Some(line)) = line else { return };
            let Ok(message) = serde_json::from_str::<Value>(&line) else { return };
            let Some(call) = call_of(&message) else { return };
            match message["op"].as_str() {
                Some("test") => {
                    let passed = json!({"op": "tested", "call": hex(call), "with": {}, "why": 1});
                    self.say(&connection, &passed).await;
                }
                Some("offer") => self.clone().take_set_up(call, connection.clone(), number),
                Some("end") => self.take_end(call),
                Some("ended") => drop(self.pending_releases.borrow_mut().remove(&call)),
                _ => {}
            }
        }
    }

    fn take_set_up(self: Rc<Self>, call: u64, connection: Rc<Connection>, number: u64) {
        self.record.note(What::Attempt { call, server: self.number });
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        self.calls.borrow_mut().insert(call, Call { attempt, connection: number, stage: Stage::Open });
        if self.chance(self.habits.resets_under) {
            connection.reset.notify_one();
        } else if !self.chance(self.habits.never) {
            spawn_local(self.answer(call, attempt, connection));
        }
    }

    fn take_end(&self, call: u64) {
        let server = self.number;
        match self.calls.borrow_mut().remove(&call).map(|call| call.stage) {
            Some(Stage::Open) => self.record.note(What::AttemptGivenUp { call, server }),
            Some(Stage::Established) => self.record.note(What::ReleasedAt { call, server }),
            None => {}
        }
    }

    fn has(&self, call: u64, attempt: u64) -> bool {
        self.calls.borrow().get(&call).is_some_and(|call| call.attempt == attempt)
    }

    async fn answer(self: Rc<Self>, call: u64, attempt: u64, connection: Rc<Connection>) {
        sleep(millis(self.draw(self.habits.answers_after.clone()))).await;
        if !self.is_alive().await || !self.has(call, attempt) {
            return;
        }
        let server = self.number;
        if self.chance(self.habits.refuses) {
            self.calls.borrow_mut().remove(&call);
            self.record.note(What::AttemptRefused { call, server });
            let refusal = json!({"op": "end", "call": hex(call), "with": {}, "why": 34});
            self.say(&connection, &refusal).await;
            return;
        }
        let description = format!("v={server}-{attempt}");
        let good = json!({"op": "accept", "call": hex(call), "with": {}, "desc": description});
        let good = format!("{good}\n");
        if self.chance(self.habits.spoils) {
            return self.spoil(call, attempt, &connection, &good, description).await;
        }
        self.established(call, description);
        if self.write(&connection, good.as_bytes()).await {
            self.hold(call, attempt, connection).await;
        }
    }

    fn established(&self, call: u64, description: String) {
        if let Some(call) = self.calls.borrow_mut().get_mut(&call) {
            call.stage = Stage::Established;
        }
        self.record.note(What::Accepted { call, server: self.number, description });
    }

    /// An answer that can't be read, or brings more than belongs to it. The call has run all the same.
    async fn spoil(&self, call: u64, attempt: u64, connection: &Connection, good: &str, description: String) {
        let other = json!({"op": "accept", "call": hex(call ^ 1 << 60), "with": {}, "desc": "v=none"});
        let (bytes, is_good) = match self.draw(0..5) {
            0 => ("\u{1}\u{2}noise\n".to_string(), false),
            1 => (good[..good.len() / 2].to_string(), false),
            2 => (format!("{}\n", &good[..good.len() / 2]), false),
            3 => (format!("{other}\n{good}"), true),
            _ => (format!("{good}{good}"), true),
        };
        if is_good {
            self.established(call, description);
        }
        self.write(connection, bytes.as_bytes()).await;
        if is_good {
            sleep(millis(self.draw(HOLDS))).await;
            self.release(call, attempt, None).await;
        }
    }

    async fn hold(&self, call: u64, attempt: u64, connection: Rc<Connection>) {
        sleep(millis(self.draw(HOLDS))).await;
        self.release(call, attempt, Some(connection)).await;
    }

    /// Releases a call, on the connection of its set-up or on any that is open.
    async fn release(&self, call: u64, attempt: u64, connection: Option<Rc<Connection>>) {
        if !self.is_alive().await || !self.has(call, attempt) {
            return;
        }
        self.calls.borrow_mut().remove(&call);
        self.pending_releases.borrow_mut().insert(call);
        let open: Vec<_> = self.connections.borrow().values().cloned().collect();
        for connection in connection.into_iter().chain(open) {
            if self.say(&connection, &release(call)).await {
                break;
            }
        }
        // It is owed from now on, whether it could be written or not.
        self.record.note(What::ServerReleased { call, server: self.number });
    }
}

fn release(call: u64) -> Value {
    json!({"op": "end", "call": hex(call), "with": {}, "why": 16})
}
