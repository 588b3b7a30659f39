//! A caller's connection to the call agent.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Message};
use crate::{could_not_run, pause, Record};

/// What came on a connection.
#[derive(Default)]
struct Log {
    /// Messages, with the milliseconds of the record.
    messages: Vec<(u64, Message)>,
    /// Set-ups without an answer.
    open: BTreeSet<String>,
    has_ended: bool,
}

pub struct Caller {
    name: String,
    stream: TcpStream,
    log: Arc<Mutex<Log>>,
    record: Record,
}

impl Caller {
    /// Connects; tries again for some seconds, as the front does while a call agent restarts.
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> Self {
        let until = Instant::now() + Duration::from_secs(5);
        let stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(_) if Instant::now() < until => pause(20),
                Err(error) => could_not_run(&format!("no connection to the call agent: {error}")),
            }
        };
        let _ = stream.set_nodelay(true);
        record.note(&format!("{name} connects"));
        let log = Arc::<Mutex<Log>>::default();
        let mut lines = BufReader::new(stream.try_clone().expect("clonable"));
        let mut replies = stream.try_clone().expect("clonable");
        let (shared, record_too, whose) = (log.clone(), record.clone(), name.to_string());
        std::thread::spawn(move || {
            let mut line = String::new();
            loop {
                line.clear();
                let message = match lines.read_line(&mut line) {
                    Ok(length) if length > 0 => json::read(&line),
                    _ => None,
                };
                let mut log = shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                let Some(message) = message else {
                    record_too.note(&format!("{whose}: the connection has ended"));
                    log.has_ended = true;
                    return;
                };
                let get = |name: &str| message.get(name).cloned().unwrap_or_default();
                let (op, call) = (get("op"), get("call"));
                let shown: String = get("desc").chars().take(24).collect();
                record_too.note(&format!("{whose} hears {op} {call} why {} desc {shown:?}", get("why")));
                // A release of a call that stands is acknowledged; the answer to a set-up is not.
                let is_answer = matches!(op.as_str(), "accept" | "end") && log.open.remove(&call);
                if op == "end" && !is_answer {
                    let ended = format!("{{\"op\":\"ended\",\"call\":\"{call}\",\"with\":{{}}}}\n");
                    let _ = replies.write_all(ended.as_bytes());
                }
                log.messages.push((record_too.now(), message));
            }
        });
        Caller { name: name.to_string(), stream, log, record: record.clone() }
    }

    fn say(&mut self, line: &str) {
        let _ = self.stream.write_all(line.as_bytes());
    }

    /// The test that the front makes before it takes a call agent in.
    pub fn test(&mut self) {
        self.say("{\"op\":\"test\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":0}\n");
    }

    pub fn offer(&mut self, call: &str, left: u64) {
        self.offer_in_pieces(call, left, 0);
    }

    /// Writes a set-up in two pieces, with this time between them.
    pub fn offer_in_pieces(&mut self, call: &str, left: u64, pause_ms: u64) {
        let line = format!(
            "{{\"op\":\"offer\",\"call\":\"{call}\",\"with\":{{\"class\":\"plain\",\"left\":\"{left}\",\
             \"tenant\":\"branch\",\"key\":\"7f3a\",\"extras\":\"dest:0;width:1;via:-1\"}},\
             \"desc\":\"v=caller\"}}\n"
        );
        let _ = self.log.lock().map(|mut log| log.open.insert(call.to_string()));
        let (first, rest) = line.split_at(line.len() / 2);
        if pause_ms > 0 {
            self.record.note(&format!("{} writes the first half of the set-up {call}", self.name));
            self.say(first);
            pause(pause_ms);
            self.record.note(&format!("{} writes the second half", self.name));
            self.say(rest);
        } else {
            self.say(&line);
        }
        self.record.note(&format!("{} has offered {call} left {left}", self.name));
    }

    /// What has come so far, with the milliseconds of the record.
    pub fn heard(&self) -> Vec<(u64, Message)> {
        self.log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).messages.clone()
    }

    /// When a message of this type about this call came, if it does within this time.
    pub fn hears(&self, op: &str, call: &str, within: Duration) -> Option<u64> {
        let until = Instant::now() + within;
        loop {
            let found = self.heard().into_iter().find(|(_, message)| is(message, op, call)).map(|(at, _)| at);
            if found.is_some() || Instant::now() >= until {
                return found;
            }
            pause(5);
        }
    }
}

/// Whether a message is of this type and about this call.
pub fn is(message: &Message, op: &str, call: &str) -> bool {
    message.get("op").is_some_and(|of| of == op) && message.get("call").is_some_and(|of| of == call)
}
