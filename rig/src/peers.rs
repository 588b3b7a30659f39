//! Scripted callers and check servers on the platform's lines. They note what they see, and judge nothing.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::history::{History, What};

/// A caller looks so often whether anything has come.
const LOOK: Duration = Duration::from_millis(5);
/// How long a caller says that it waits.
pub const PATIENCE_MS: u64 = 3_000;
/// A set-up that crosses the close of its connection within this time comes again elsewhere (protocol page).
pub const CROSSING_MS: u64 = 50;

/// A check server: it answers each set-up, and releases each call after a while. A release goes on the
/// connection of the set-up, or else on any open one; and on another one again where the one that took it
/// ends before the release was heard.
pub struct Server {
    pub address: SocketAddr,
    calls: Arc<Mutex<Calls>>,
    history: History,
}

type Writer = Arc<Mutex<TcpStream>>;

#[derive(Default)]
struct Calls {
    connections: BTreeMap<u64, Writer>,
    /// Calls that stand, in the order of their ends, each with its connection.
    standing: VecDeque<(Instant, u64, u64)>,
    /// Releases that were not heard, each with the connection that took it, if any did.
    unheard: BTreeMap<u64, Option<u64>>,
    /// It is gone, and all that stood there is over.
    gone: bool,
}

impl Calls {
    /// Gives a release to a connection, best to its own.
    fn release(&mut self, call: u64, own: u64) {
        let message = json!({"op": "end", "call": hex(call), "with": {}, "why": 16});
        let own = self.connections.get_key_value(&own);
        let taken = own.into_iter().chain(&self.connections).find(|(_, writer)| say(writer, &message));
        let taken = taken.map(|(number, _)| *number);
        self.unheard.insert(call, taken);
    }
}

impl Server {
    /// `holds`: how long a call stands.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(number: u32, holds: Duration, history: History) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let calls: Arc<Mutex<Calls>> = Arc::default();
        let (releases, notes) = (Arc::downgrade(&calls), history.clone());
        let server = Server { address, calls: calls.clone(), history: history.clone() };
        std::thread::spawn(move || {
            // Ends with the listener's thread.
            while let Some(calls) = releases.upgrade() {
                if let Ok(mut calls) = calls.lock() {
                    while let Some((at, call, own)) = calls.standing.front().copied() {
                        if at > Instant::now() {
                            break;
                        }
                        calls.standing.pop_front();
                        notes.note(What::Released { call });
                        calls.release(call, own);
                    }
                }
                drop(calls);
                std::thread::sleep(LOOK);
            }
        });
        std::thread::spawn(move || {
            for (connection, stream) in (0..).zip(listener.incoming().flatten()) {
                if calls.lock().is_ok_and(|calls| calls.gone) {
                    return;
                }
                let (history, calls) = (history.clone(), calls.clone());
                std::thread::spawn(move || {
                    let ended = serve(stream, connection, number, holds, &calls, &history);
                    if let (None, Ok(mut calls)) = (ended, calls.lock()) {
                        calls.connections.remove(&connection);
                        let lost: Vec<u64> = calls
                            .unheard
                            .iter()
                            .filter(|(_, taken)| **taken == Some(connection))
                            .map(|(call, _)| *call)
                            .collect();
                        lost.into_iter().for_each(|call| calls.release(call, connection));
                    }
                });
            }
        });
        Ok(server)
    }

    /// Its process ends, with all calls that stand there; from now on nobody is at its address.
    pub fn stop(&self) {
        if let Ok(mut calls) = self.calls.lock() {
            calls.gone = true;
            for (_, call, _) in std::mem::take(&mut calls.standing) {
                self.history.note(What::Released { call });
            }
            calls.unheard.clear();
            for writer in calls.connections.values() {
                let _ = writer.lock().map(|stream| stream.shutdown(Shutdown::Both));
            }
            calls.connections.clear();
        }
        // The listener's thread finds out, and lets go of the address.
        let _ = TcpStream::connect(self.address);
    }
}

fn say(writer: &Writer, message: &Value) -> bool {
    let line = format!("{message}\n");
    writer.lock().is_ok_and(|mut stream| stream.write_all(line.as_bytes()).is_ok())
}

/// One connection, to its end.
fn serve(
    stream: TcpStream,
    connection: u64,
    number: u32,
    holds: Duration,
    calls: &Mutex<Calls>,
    history: &History,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let reading = stream.try_clone().ok()?;
    let writer: Writer = Arc::new(Mutex::new(stream));
    let load = json!({"op": "group", "call": hex(0), "with": {"load": "spare:900;total:900"}});
    say(&writer, &load);
    {
        let mut calls = calls.lock().ok()?;
        calls.connections.insert(connection, writer.clone());
        let untaken: Vec<u64> =
            calls.unheard.iter().filter(|(_, taken)| taken.is_none()).map(|(call, _)| *call).collect();
        untaken.into_iter().for_each(|call| calls.release(call, connection));
    }
    for line in BufReader::new(reading).lines() {
        let message = line.ok().and_then(|line| serde_json::from_str::<Value>(&line).ok())?;
        let call = message["call"].as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok())?;
        match message["op"].as_str() {
            Some("test") => {
                say(&writer, &json!({"op": "tested", "call": hex(call), "with": {}, "why": 1}));
            }
            Some("offer") => {
                history.note(What::Asked { call, server: number });
                // Ahead of the answer: whoever hears that may end the call at once.
                calls.lock().ok()?.standing.push_back((Instant::now() + holds, call, connection));
                say(&writer, &json!({"op": "accept", "call": hex(call), "with": {}, "desc": "v=1"}));
            }
            Some("ended") => drop(calls.lock().ok()?.unheard.remove(&call)),
            Some("end") => {
                history.note(What::Cut { call });
                calls.lock().ok()?.standing.retain(|(_, standing, _)| *standing != call);
            }
            _ => {}
        }
    }
    None
}

fn hex(call: u64) -> String {
    format!("{call:016x}")
}

/// A caller that keeps calling at a rate, by way of one machine, and of the others while that one sends it
/// away. A set-up that crosses the close of its connection is sent again, once, on the next one.
pub struct Caller {
    quiet: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Where a machine takes callers.
#[derive(Clone)]
pub struct Door {
    pub name: String,
    /// It changes when the machine starts anew.
    pub address: Option<SocketAddr>,
    /// How often its process was killed.
    pub kills: u32,
}

impl Door {
    pub fn of(name: &str) -> Self {
        Door { name: name.into(), address: None, kills: 0 }
    }
}

pub type Doors = Arc<Mutex<Vec<Door>>>;

impl Caller {
    pub fn start(
        history: History,
        doors: Doors,
        home: usize,
        every: Duration,
        calls: Arc<AtomicU64>,
    ) -> Self {
        let (stop, quiet) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (told, hushed) = (stop.clone(), quiet.clone());
        let thread = std::thread::spawn(move || {
            let mut next = home;
            // Set-ups that come again, and when the caller was told to stop.
            let (mut again, mut stopped) = (Vec::new(), None::<Instant>);
            loop {
                if told.load(Ordering::Relaxed) {
                    let since = *stopped.get_or_insert_with(Instant::now);
                    if again.is_empty() || since.elapsed() > Duration::from_millis(PATIENCE_MS) {
                        return;
                    }
                }
                let door = doors.lock().ok().and_then(|doors| {
                    let place = next % doors.len().max(1);
                    doors.get(place).and_then(|door| Some((door.clone(), door.address?, place)))
                });
                next += 1;
                let Some((door, address, place)) = door else { continue };
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
                    std::thread::sleep(LOOK);
                    continue;
                };
                let kills = || doors.lock().map_or(0, |doors| doors.get(place).map_or(0, |door| door.kills));
                let is_killed = || kills() > door.kills;
                let line = Line { machine: &door.name, history: &history, every, calls: &calls };
                if line.call(stream, &is_killed, (&hushed, &told), &mut again) {
                    // It came to an end in order; the next one is the neighbour's.
                    std::thread::sleep(LOOK);
                }
                // Home again before long.
                if next > home + 3 {
                    next = home;
                }
            }
        });
        Caller { quiet, stop, thread: Some(thread) }
    }

    /// Makes no more calls, and stays for the releases of others.
    pub fn quiet(&self) {
        self.quiet.store(true, Ordering::Relaxed);
    }

    /// Makes no more calls, and waits for what is open.
    pub fn finish(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A caller's connection to a machine.
struct Line<'a> {
    machine: &'a str,
    history: &'a History,
    every: Duration,
    calls: &'a AtomicU64,
}

/// A call that has not ended.
struct Open {
    /// When its set-up had been written at the latest.
    written: u64,
    is_answered: bool,
    /// It has come again already.
    is_second: bool,
}

impl Line<'_> {
    /// Calls until the connection ends, or the caller is told to stop and nothing is open any more. What
    /// comes again is sent first, and what has to come again on the next connection is left in its place.
    fn call(
        &self,
        mut stream: TcpStream,
        is_killed: &dyn Fn() -> bool,
        (quiet, stop): (&AtomicBool, &AtomicBool),
        again: &mut Vec<u64>,
    ) -> bool {
        if stream.set_read_timeout(Some(LOOK)).is_err() || stream.set_nodelay(true).is_err() {
            return false;
        }
        let Ok(reading) = stream.try_clone() else { return false };
        let mut reader = BufReader::new(reading);
        let mut open: BTreeMap<u64, Open> = BTreeMap::new();
        let (mut due, mut line) = (Instant::now(), String::new());
        let mut stopped: Option<Instant> = None;
        // When it was last seen to be open; whether it can be written to. What has come is read also where it
        // can't.
        let (mut not_before, mut takes) = (self.history.now(), true);
        for call in std::mem::take(again) {
            self.history.note(What::OfferedAgain { call, machine: self.machine.into() });
            takes = takes && write(&mut stream, &offer(call));
            open.insert(call, Open { written: self.history.now(), is_answered: false, is_second: true });
        }
        loop {
            let now = Instant::now();
            if stop.load(Ordering::Relaxed) {
                let since = *stopped.get_or_insert(now);
                if open.is_empty() || now > since + Duration::from_millis(PATIENCE_MS) {
                    return true;
                }
            } else if takes && now >= due && !quiet.load(Ordering::Relaxed) && !is_killed() {
                due = (due + self.every).max(now - self.every);
                let call = self.calls.fetch_add(1, Ordering::Relaxed);
                self.history.note(What::Offered { call, machine: self.machine.into() });
                takes = write(&mut stream, &offer(call));
                open.insert(call, Open { written: self.history.now(), is_answered: false, is_second: false });
            }
            let looked = self.history.now();
            match reader.read_line(&mut line) {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if takes {
                        not_before = looked;
                    }
                    continue;
                }
                Err(_) => break,
            }
            let message: Value = serde_json::from_str(&line).unwrap_or_default();
            line.clear();
            let call = message["call"].as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok());
            let Some(call) = call else { continue };
            match message["op"].as_str() {
                Some("accept") => {
                    self.history.note(What::Answered { call });
                    open.entry(call).and_modify(|open| open.is_answered = true);
                }
                Some("end") => {
                    let why = message["why"].as_u64().unwrap_or(0);
                    self.history.note(What::Ended { call, why, machine: self.machine.into() });
                    open.remove(&call);
                    takes =
                        takes && write(&mut stream, &json!({"op": "ended", "call": hex(call), "with": {}}));
                }
                _ => {}
            }
        }
        for (call, Open { written, is_answered, is_second }) in open {
            self.history.note(What::Closed { call, written, not_before });
            // A process that was killed has closed nothing.
            if !is_answered && !is_second && not_before <= written + CROSSING_MS && !is_killed() {
                again.push(call);
            }
        }
        false
    }
}

fn offer(call: u64) -> Value {
    json!({"op": "offer", "call": hex(call), "desc": "v=0", "with": {
        "class": "standard-check", "left": PATIENCE_MS.to_string(), "tenant": "lembah-realty",
        "key": format!("{call:x}"), "extras": format!("dest:{};width:1;via:-1", call % 2)}})
}

fn write(stream: &mut TcpStream, message: &Value) -> bool {
    stream.write_all(format!("{message}\n").as_bytes()).is_ok()
}
