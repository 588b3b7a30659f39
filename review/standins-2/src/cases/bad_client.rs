//! Cases 6 and 10: a bad client sends set-ups at full speed, and reads what it is told. Must the call agent
//! keep within its memory?

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::agent::{Agent, Config};
use crate::caller::Caller;
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::{wire, Verdict};

const TURN: Duration = Duration::from_millis(100);

/// What the bad client sends, and what the call agent is given.
struct Flood {
    /// The number of the case, which is in its ids and addresses.
    case: u8,
    /// The length of the numbers called.
    digits: usize,
    /// Whether each set-up has a number of its own, or all the same.
    own_numbers: bool,
    left_ms: u64,
    memory_mb: u64,
    seconds: u64,
}

/// Case 6: each set-up is to a number of its own, of 12,000 digits.
pub fn long_numbers(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let flood =
        Flood { case: 6, digits: 12_000, own_numbers: true, left_ms: 3_000, memory_mb: 192, seconds: 15 };
    flood.run(trouble, folder, record)
}

/// Case 10: the same short set-up again and again, whose caller would wait for 36 s.
pub fn repeats(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let flood =
        Flood { case: 10, digits: 16, own_numbers: false, left_ms: 36_000, memory_mb: 32, seconds: 50 };
    flood.run(trouble, folder, record)
}

impl Flood {
    /// Sends set-ups until it is stopped or cut off, some at a time as the connection takes them.
    fn send(&self, mut stream: TcpStream, stop: &AtomicBool, sent: &AtomicU64) {
        let rest = "7".repeat(self.digits - 16);
        let mut number = 0u64;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let id = 0xbad << 52 | number;
            let called = if self.own_numbers { id } else { 0xbad };
            let line = format!(
                "{{\"op\":\"offer\",\"call\":\"{id:016x}\",\"with\":{{\"class\":\"standard-check\",\
                 \"left\":\"{}\",\"tenant\":\"lembah-realty\",\"key\":\"{called:016x}{rest}\",\
                 \"extras\":\"dest:0;width:1;via:-1\"}},\"desc\":\"x\"}}\n",
                self.left_ms
            );
            if stream.write_all(line.as_bytes()).is_err() {
                return;
            }
            sent.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn run(self, trouble: bool, folder: &Path, record: &Record) -> Verdict {
        let host = |last: u8| format!("127.0.{}.{last}", self.case);
        let first = Server::start("server-0", &host(1), 20, Manner::Busy, record);
        let second = Server::start("server-1", &host(2), 20, Manner::Busy, record);
        let config = Config {
            listen: wire::free_address(&host(4)),
            board: None,
            servers: vec![(1, first.address.clone(), 0), (2, second.address.clone(), 1)],
            seed: self.case.into(),
            memory_mb: self.memory_mb,
        };
        let Some(mut agent) = Agent::start(&config, folder, "agent", record) else {
            return Verdict::CouldNotRun("the call agent does not serve".into());
        };
        let Some(caller) = Caller::dial("caller", &config.listen, record) else {
            return Verdict::CouldNotRun("no connection to the call agent".into());
        };
        let stop = Arc::new(AtomicBool::new(false));
        let (sent, told) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (seconds, memory_kb) = (self.seconds, self.memory_mb << 10);
        let call = |turn: u64| format!("{:02x}a{turn:013x}", self.case);
        let calls: Vec<String> = (0..seconds * 10).map(call).collect();
        if trouble {
            let Some(stream) = wire::dial(&config.listen) else {
                return Verdict::CouldNotRun("no connection to the call agent".into());
            };
            let numbers = if self.own_numbers { "numbers of their own" } else { "the same number" };
            let left = self.left_ms;
            record.note(
                "bad",
                &format!("sends set-ups to {numbers}, {} digits, `left` {left}, at full speed", self.digits),
            );
            let (mut reads, lines) = (stream.try_clone().expect("a descriptor"), told.clone());
            spawn(move || {
                let mut bytes = [0; 65536];
                while let Ok(read @ 1..) = reads.read(&mut bytes) {
                    let more = bytes[..read].iter().filter(|byte| **byte == b'\n').count();
                    lines.fetch_add(more as u64, Ordering::SeqCst);
                }
            });
            let (stop, sent) = (stop.clone(), sent.clone());
            spawn(move || self.send(stream, &stop, &sent));
        }
        let (mut most, mut stood) = (0, 0);
        for call in calls {
            // Usual traffic beside it.
            caller.offer(&call, "standard-check", 3_000);
            sleep(TURN);
            let Some(kb) = agent.memory_kb() else { break };
            most = most.max(kb);
            let counts = (sent.load(Ordering::SeqCst), told.load(Ordering::SeqCst));
            let counts =
                format!("the bad client has sent {} set-ups and was told {} lines", counts.0, counts.1);
            record.note("platform", &format!("the call agent has {kb} kB in use; {counts}"));
            stood += u64::from(caller.when(&call, "accept").is_some());
            if kb > memory_kb {
                record.note("platform", "over its memory: it is killed");
                agent.signal("KILL");
                agent.ends_within(1_000);
                break;
            }
        }
        stop.store(true, Ordering::SeqCst);
        if most > memory_kb {
            return Verdict::Broken(format!(
                "{most} kB in use {} ms after the start, of {memory_kb} kB allowed: the call agent is killed",
                record.now()
            ));
        }
        if !agent.runs() {
            return Verdict::Broken("the call agent has ended".into());
        }
        if stood == 0 {
            return Verdict::CouldNotRun("no usual call stood".into());
        }
        Verdict::Held(format!("{most} kB at most in {seconds} s; {stood} usual calls stood"))
    }
}
