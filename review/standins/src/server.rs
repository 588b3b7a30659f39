//! A sound check server of the platform's signalling.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::{could_not_run, json, Record};

/// How a check server behaves.
#[derive(Clone, Debug)]
pub struct Habits {
    /// From the set-up to its answer.
    pub answers_after: Duration,
    /// From the answer to the call's end.
    pub holds: Duration,
    /// A connection without a line for so long is closed, as the settings have it.
    pub idle: Duration,
    /// So many connections are held at once; further ones are refused.
    pub most_connections: usize,
    /// Length of the description of an answer.
    pub description: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Open,
    Stands,
    /// Released by this server.
    Over,
    /// Given up, or released by the call agent.
    Ended,
}

#[derive(Clone, Debug)]
pub struct Call {
    connection: u64,
    due: Instant,
    pub stage: Stage,
    /// When it was released here, and when the call agent ended it, in milliseconds of the record.
    pub released_at: Option<u64>,
    pub ended_at: Option<u64>,
}

struct Connection {
    stream: TcpStream,
    last: Instant,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<String, Call>,
    /// Releases that nobody has acknowledged, and those that go out on the next connection in any case.
    unheard: BTreeSet<String>,
    once_more: BTreeSet<String>,
    opened: u64,
    /// Releases that did not go out on the connection of their set-up.
    turn: usize,
    /// Until then nothing is written; all that is due goes out afterwards.
    quiet_until: Option<Instant>,
    /// Lines that wait, with their connections.
    waiting: Vec<(u64, String)>,
}

struct Inner {
    name: String,
    habits: Habits,
    state: Mutex<State>,
    record: Record,
}

#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Server {
    pub fn start(name: &str, habits: Habits, record: &Record) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no port for a server"));
        let address = listener.local_addr().expect("bound");
        let inner =
            Arc::new(Inner { name: name.into(), habits, state: Mutex::default(), record: record.clone() });
        let (accepting, ticking) = (inner.clone(), inner.clone());
        std::thread::spawn(move || accepting.accept(listener, address));
        std::thread::spawn(move || loop {
            ticking.tick();
            crate::pause(2);
        });
        Server { address, inner }
    }

    /// Says nothing for this time, with all connections open; reads on, and says afterwards what is due.
    pub fn say_nothing(&self, time: Duration) {
        self.inner.note(&format!("says nothing for {} ms", time.as_millis()));
        self.inner.lock().quiet_until = Some(Instant::now() + time);
    }

    /// The calls that it was sent, by id.
    pub fn calls(&self) -> BTreeMap<String, Call> {
        self.inner.lock().calls.clone()
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn note(&self, text: &str) {
        self.record.note(&format!("server {} {text}", self.name));
    }

    fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            let is_full = self.lock().connections.len() >= self.habits.most_connections;
            // A server that holds all the connections that it accepts refuses others.
            if is_full && listener.is_some() {
                listener = None;
                self.note("holds all the connections that it accepts");
            } else if !is_full && listener.is_none() {
                listener = TcpListener::bind(address).ok();
                listener.iter().for_each(|listener| drop(listener.set_nonblocking(true)));
            }
            let accepted = listener.as_ref().and_then(|from| from.accept().ok());
            match accepted {
                Some((stream, _)) => self.clone().keep(stream),
                None => crate::pause(1),
            }
        }
    }

    fn keep(self: Arc<Self>, stream: TcpStream) {
        let _ = (stream.set_nodelay(true), stream.set_nonblocking(false));
        let reading = stream.try_clone().expect("clonable");
        let number = {
            let mut state = self.lock();
            state.opened += 1;
            let number = state.opened;
            state.connections.insert(number, Connection { stream, last: Instant::now() });
            let group = "{\"op\":\"group\",\"call\":\"0000000000000000\",\
                         \"with\":{\"load\":\"x0:900;x1:900;qps:100\"}}\n";
            state.waiting.push((number, group.into()));
            let again: BTreeSet<String> =
                std::mem::take(&mut state.once_more).union(&state.unheard.clone()).cloned().collect();
            self.note(&format!("connection {number} is open"));
            for call in again {
                self.note(&format!("sends the release of {call} on connection {number}"));
                state.waiting.push((number, release(&call)));
            }
            number
        };
        std::thread::spawn(move || {
            let mut lines = BufReader::new(reading);
            let mut line = String::new();
            loop {
                line.clear();
                let ended = !matches!(lines.read_line(&mut line), Ok(length) if length > 0);
                let mut state = self.lock();
                if ended {
                    self.note(&format!("connection {number} has ended"));
                    state.connections.remove(&number);
                    for (call, of) in &mut state.calls {
                        if of.connection == number && of.stage == Stage::Open {
                            of.stage = Stage::Ended;
                            self.note(&format!("drops the set-up {call} with its connection"));
                        }
                    }
                    return;
                }
                self.take(&mut state, number, &line);
            }
        });
    }

    fn take(&self, state: &mut State, number: u64, line: &str) {
        if let Some(connection) = state.connections.get_mut(&number) {
            connection.last = Instant::now();
        }
        let Some(message) = json::read(line) else { return self.note("reads what is no message") };
        let get = |name: &str| message.get(name).cloned().unwrap_or_default();
        let (op, call) = (get("op"), get("call"));
        match op.as_str() {
            "offer" => {
                self.note(&format!("reads offer {call} on connection {number}"));
                let due = Instant::now() + self.habits.answers_after;
                let new =
                    Call { connection: number, due, stage: Stage::Open, released_at: None, ended_at: None };
                state.calls.insert(call, new);
            }
            "end" => {
                self.note(&format!("reads end {call} on connection {number}"));
                if let Some(of) = state.calls.get_mut(&call) {
                    if of.stage != Stage::Over {
                        of.stage = Stage::Ended;
                    }
                    of.ended_at.get_or_insert(self.record.now());
                }
                state.unheard.remove(&call);
                state.once_more.remove(&call);
            }
            "ended" => {
                self.note(&format!("reads ended {call}: the release was heard"));
                state.unheard.remove(&call);
            }
            "test" => {
                let tested = format!("{{\"op\":\"tested\",\"call\":\"{call}\",\"with\":{{}},\"why\":1}}\n");
                state.waiting.push((number, tested));
            }
            _ => {}
        }
    }

    /// Answers, releases and closes what is due.
    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.quiet_until.is_some_and(|until| now < until) {
            return;
        }
        for (number, line) in std::mem::take(&mut state.waiting) {
            write(&mut state, number, &line);
        }
        let due: Vec<String> = state
            .calls
            .iter()
            .filter(|(_, call)| now >= call.due && matches!(call.stage, Stage::Open | Stage::Stands))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(call) = state.calls.get_mut(&id) else { continue };
            let connection = call.connection;
            if call.stage == Stage::Open {
                (call.stage, call.due) = (Stage::Stands, now + self.habits.holds);
                let begin = format!("v={}-{id} ", self.name);
                let rest = "x".repeat(self.habits.description.saturating_sub(begin.len()));
                let accept = format!(
                    "{{\"op\":\"accept\",\"call\":\"{id}\",\"with\":{{}},\"desc\":\"{begin}{rest}\"}}\n"
                );
                self.note(&format!("answers {id} on connection {connection}"));
                write(&mut state, connection, &accept);
                continue;
            }
            (call.stage, call.released_at) = (Stage::Over, Some(self.record.now()));
            // On the connection of its set-up, or else on any open one: on each of them in turn.
            let open: Vec<u64> = state.connections.keys().copied().collect();
            let any = open.get(state.turn % open.len().max(1)).copied();
            let on = Some(connection).filter(|on| open.contains(on)).or_else(|| {
                state.turn += 1;
                any
            });
            state.unheard.insert(id.clone());
            state.once_more.insert(id.clone());
            self.note(&format!("releases {id}, on connection {on:?}"));
            if let Some(on) = on {
                write(&mut state, on, &release(&id));
            }
        }
        let idle = self.habits.idle;
        let open: BTreeSet<u64> = state
            .calls
            .values()
            .filter(|call| call.stage == Stage::Open)
            .map(|call| call.connection)
            .collect();
        for (number, connection) in &state.connections {
            if now >= connection.last + idle && !open.contains(number) {
                let _ = connection.stream.shutdown(Shutdown::Write);
            }
        }
    }
}

fn write(state: &mut State, number: u64, line: &str) {
    if let Some(connection) = state.connections.get_mut(&number) {
        connection.last = Instant::now();
        let _ = connection.stream.write_all(line.as_bytes());
    }
}

fn release(call: &str) -> String {
    format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":16}}\n")
}
