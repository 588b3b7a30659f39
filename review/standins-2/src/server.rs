//! A check server. It answers after some milliseconds, or refuses as full, and replies 'error' to what it
//! can't use; it tells the state of its group
//! first of all on each new connection and each second on four open ones; it sends a release again on the
//! next connection that is opened, until the release is heard.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::record::Record;
use crate::wire;

const LINES: usize = 900;
/// It can't use a number that is longer, and replies 'error'.
const LONGEST_NUMBER: usize = 64;
const PROCESSOR: usize = 60;
const HOLD: Duration = Duration::from_millis(9_000);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Sound,
    /// It refuses every set-up as its processor is full.
    Full,
    /// It takes `PROCESSOR` set-ups a second and refuses others as its processor is full; calls stand for
    /// `HOLD`.
    Busy,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Read, not answered; its connection.
    Open(u64),
    /// Answered; the connection of its set-up.
    Stands(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: u64,
    pub call: String,
    pub what: What,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A set-up was read whole.
    Offered,
    Refused,
    /// Its answer was written.
    Answered,
    /// It stood, and the call agent released it.
    ReleasedByAgent,
    /// It stood, and its release was written.
    ReleasedHere,
    /// The release was heard.
    Heard,
    /// It was open and was given up, by a message or with its connection.
    GivenUp,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    last: u64,
    calls: BTreeMap<String, (u64, Stage)>,
    attempts: u64,
    /// When the set-ups of the last second were taken.
    second: Vec<u64>,
    unheard: Vec<String>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: String,
    record: Record,
    answer_after: Duration,
    manner: Manner,
    state: Arc<Mutex<State>>,
}

impl Server {
    pub fn start(name: &str, host: &str, answer_after: u64, manner: Manner, record: &Record) -> Server {
        let listener = wire::listen(&format!("{host}:0"));
        let server = Server {
            name: name.to_string(),
            address: listener.local_addr().expect("bound").to_string(),
            record: record.clone(),
            answer_after: Duration::from_millis(answer_after),
            manner,
            state: Arc::default(),
        };
        let (takes, tells) = (server.clone(), server.clone());
        spawn(move || takes.take(listener));
        spawn(move || loop {
            sleep(Duration::from_millis(1000));
            tells.tell_group();
        });
        server
    }

    fn take(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            spawn(move || server.keep(stream));
        }
    }

    fn keep(&self, stream: TcpStream) {
        let number = {
            let mut state = self.state.lock().expect("not poisoned");
            state.last += 1;
            let number = state.last;
            wire::send(&stream, &group(&state));
            for call in state.unheard.clone() {
                self.record.note(&self.name, &format!("conn {number}: releases {call} again"));
                wire::send(&stream, &release(&call));
            }
            state.connections.insert(number, stream.try_clone().expect("a descriptor"));
            number
        };
        self.record.note(&self.name, &format!("conn {number}: opened"));
        wire::lines(&stream, |line| self.handle(number, &stream, line));
        let mut state = self.state.lock().expect("not poisoned");
        state.connections.remove(&number);
        let went: Vec<String> = state
            .calls
            .iter()
            .filter(|(_, (_, stage))| *stage == Stage::Open(number))
            .map(|(call, _)| call.clone())
            .collect();
        for call in went {
            state.calls.remove(&call);
            self.happened(&mut state, &call, What::GivenUp);
        }
        drop(state);
        self.record.note(&self.name, &format!("conn {number}: ended"));
    }

    fn happened(&self, state: &mut State, call: &str, what: What) {
        self.record.note(&self.name, &format!("{call} {what:?}"));
        state.events.push(Event { at: self.record.now(), call: call.to_string(), what });
    }

    fn handle(&self, number: u64, stream: &TcpStream, line: &str) {
        if wire::op(line) == "offer" && wire::field(line, "key").is_some_and(|key| key.len() > LONGEST_NUMBER)
        {
            let call = wire::call(line);
            wire::send(stream, &format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":47}}"));
            return;
        }
        self.record.note(&self.name, &format!("conn {number}: read {line}"));
        let call = wire::call(line);
        let mut state = self.state.lock().expect("not poisoned");
        match wire::op(line).as_str() {
            "test" => {
                wire::send(
                    stream,
                    &format!("{{\"op\":\"tested\",\"call\":\"{call}\",\"with\":{{}},\"why\":1}}"),
                );
            }
            "offer" => {
                self.happened(&mut state, &call, What::Offered);
                let now = self.record.now();
                state.second.retain(|at| at + 1_000 > now);
                if self.manner == Manner::Full
                    || self.manner == Manner::Busy && state.second.len() >= PROCESSOR
                {
                    self.happened(&mut state, &call, What::Refused);
                    wire::send(stream, &refusal(&call));
                    return;
                }
                state.second.push(now);
                state.attempts += 1;
                let attempt = state.attempts;
                state.calls.insert(call.clone(), (attempt, Stage::Open(number)));
                let (server, stream) = (self.clone(), stream.try_clone().expect("a descriptor"));
                spawn(move || {
                    sleep(server.answer_after);
                    server.answer(&call, attempt, number, &stream);
                    if server.manner == Manner::Busy {
                        sleep(HOLD);
                        server.end_call(&call);
                    }
                });
            }
            "end" => match state.calls.remove(&call) {
                Some((_, Stage::Open(_))) => self.happened(&mut state, &call, What::GivenUp),
                Some((_, Stage::Stands(_))) => {
                    self.happened(&mut state, &call, What::ReleasedByAgent);
                    wire::send(stream, &format!("{{\"op\":\"ended\",\"call\":\"{call}\",\"with\":{{}}}}"));
                }
                None => {}
            },
            "ended" => {
                state.unheard.retain(|unheard| *unheard != call);
                self.happened(&mut state, &call, What::Heard);
            }
            _ => {}
        }
    }

    fn answer(&self, call: &str, attempt: u64, number: u64, stream: &TcpStream) {
        let mut state = self.state.lock().expect("not poisoned");
        if state.calls.get(call) != Some(&(attempt, Stage::Open(number))) {
            return;
        }
        let desc = format!("{}-{attempt}-{call}", self.name);
        let answer = format!("{{\"op\":\"accept\",\"call\":\"{call}\",\"with\":{{}},\"desc\":\"{desc}\"}}");
        if wire::send(stream, &answer) {
            state.calls.insert(call.to_string(), (attempt, Stage::Stands(number)));
            self.happened(&mut state, call, What::Answered);
        }
    }

    /// The call has come to its end: releases it on the connection of its set-up, or else on any open one.
    pub fn end_call(&self, call: &str) -> bool {
        let mut state = self.state.lock().expect("not poisoned");
        let Some((_, Stage::Stands(number))) = state.calls.get(call).cloned() else { return false };
        state.calls.remove(call);
        state.unheard.push(call.to_string());
        let of_set_up = state.connections.get(&number).into_iter();
        let open = of_set_up.chain(state.connections.values()).filter_map(|one| one.try_clone().ok());
        let open: Vec<TcpStream> = open.collect();
        open.iter().any(|stream| wire::send(stream, &release(call)));
        self.happened(&mut state, call, What::ReleasedHere);
        true
    }

    fn tell_group(&self) {
        let state = self.state.lock().expect("not poisoned");
        for stream in state.connections.values().take(4) {
            wire::send(stream, &group(&state));
        }
    }

    pub fn events(&self) -> Vec<Event> {
        self.state.lock().expect("not poisoned").events.clone()
    }

    /// When something befell a call last.
    pub fn when(&self, call: &str, what: What) -> Option<u64> {
        let events = self.events();
        events.iter().rev().find(|event| event.call == call && event.what == what).map(|event| event.at)
    }
}

fn group(state: &State) -> String {
    let stand = state.calls.values().filter(|(_, stage)| matches!(stage, Stage::Stands(_))).count();
    let load = format!("x0:{};x1:{LINES}", LINES - stand.min(LINES));
    format!("{{\"op\":\"group\",\"call\":\"0000000000000000\",\"with\":{{\"load\":\"{load}\"}}}}")
}

fn release(call: &str) -> String {
    format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":16}}")
}

fn refusal(call: &str) -> String {
    format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{\"note\":\"swamped\"}},\"why\":34}}")
}
