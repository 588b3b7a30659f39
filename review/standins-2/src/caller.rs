//! A connection of callers: sends lines, keeps what is answered, and hears releases of calls that stood.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire;

#[derive(Clone)]
pub struct Caller {
    name: String,
    record: Record,
    stream: Arc<TcpStream>,
    heard: Arc<Mutex<Vec<(u64, String)>>>,
    ended: Arc<AtomicBool>,
}

impl Caller {
    pub fn dial(name: &str, address: &str, record: &Record) -> Option<Caller> {
        let stream = Arc::new(wire::dial(address)?);
        record.note(name, "connected");
        let heard: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
        let caller =
            Caller { name: name.into(), record: record.clone(), stream, heard, ended: Arc::default() };
        let reads = caller.clone();
        spawn(move || {
            wire::lines(&reads.stream, |line| {
                reads.record.note(&reads.name, &format!("read {line}"));
                let (op, call) = (wire::op(line), wire::call(line));
                if op == "end" {
                    let heard = format!("{{\"op\":\"ended\",\"call\":\"{call}\",\"with\":{{}}}}");
                    wire::send(&reads.stream, &heard);
                }
                reads.heard.lock().expect("not poisoned").push((reads.record.now(), line.to_string()));
            });
            wire::close(&reads.stream);
            reads.ended.store(true, Ordering::SeqCst);
            reads.record.note(&reads.name, "its connection has ended");
        });
        Some(caller)
    }

    pub fn send(&self, line: &str) -> bool {
        self.record.note(&self.name, &format!("sends {line}"));
        wire::send(&self.stream, line)
    }

    /// Sends a set-up.
    pub fn offer(&self, call: &str, class: &str, left: u64) -> bool {
        self.send(&format!(
            "{{\"op\":\"offer\",\"call\":\"{call}\",\"with\":{{\"class\":\"{class}\",\"left\":\"{left}\",\
             \"tenant\":\"lembah-realty\",\"key\":\"{}\",\"extras\":\"dest:0;width:1;via:-1\"}},\
             \"desc\":\"of-{call}\"}}",
            &call[8..]
        ))
    }

    pub fn heard(&self) -> Vec<(u64, String)> {
        self.heard.lock().expect("not poisoned").clone()
    }

    /// When a line of this type about a call came.
    pub fn when(&self, call: &str, op: &str) -> Option<u64> {
        let heard = self.heard();
        let of_call = |line: &str| wire::op(line) == op && wire::call(line) == call;
        heard.iter().find(|(_, line)| of_call(line)).map(|(at, _)| *at)
    }

    pub fn wait_for(&self, call: &str, op: &str, millis: u64) -> Option<u64> {
        let until = Instant::now() + Duration::from_millis(millis);
        loop {
            if let Some(at) = self.when(call, op) {
                return Some(at);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(Duration::from_millis(2));
        }
    }

    /// Whether the call agent has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}
