//! Case 6: a bad client sends set-ups to numbers of 12,000 digits at full speed, and reads what it is told.
//! Must the call agent keep within its memory?

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

const DIGITS: usize = 12_000;
/// The most that a call agent is given on any day.
const MEMORY_MB: u64 = 192;
const TURNS: u64 = 150;
const TURN: Duration = Duration::from_millis(100);

/// Sends set-ups, each with an id and a number of its own, until it is stopped or cut off.
fn flood(mut stream: TcpStream, stop: &AtomicBool, sent: &AtomicU64) {
    let rest = "7".repeat(DIGITS - 16);
    let mut number = 0u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = 0x6bu64 << 56 | number;
        let line = format!(
            "{{\"op\":\"offer\",\"call\":\"{id:016x}\",\"with\":{{\"class\":\"standard-check\",\
             \"left\":\"3000\",\"tenant\":\"lembah-realty\",\"key\":\"{id:016x}{rest}\",\
             \"extras\":\"dest:0;width:1;via:-1\"}},\"desc\":\"x\"}}\n"
        );
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        sent.fetch_add(1, Ordering::SeqCst);
    }
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let first = Server::start("server-0", "127.0.6.1", 20, Manner::Sound, record);
    let second = Server::start("server-1", "127.0.6.2", 20, Manner::Sound, record);
    let config = Config {
        listen: wire::free_address("127.0.6.4"),
        board: None,
        servers: vec![(1, first.address.clone(), 0), (2, second.address.clone(), 1)],
        seed: 6,
        memory_mb: MEMORY_MB,
    };
    let Some(mut agent) = Agent::start(&config, folder, "agent", record) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let Some(caller) = Caller::dial("caller", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, told) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    if trouble {
        let Some(stream) = wire::dial(&config.listen) else {
            return Verdict::CouldNotRun("no connection to the call agent".into());
        };
        record.note("bad", &format!("sends set-ups to numbers of {DIGITS} digits at full speed"));
        let (mut reads, lines) = (stream.try_clone().expect("a descriptor"), told.clone());
        spawn(move || {
            let mut bytes = [0; 65536];
            while let Ok(read @ 1..) = reads.read(&mut bytes) {
                let more = bytes[..read].iter().filter(|byte| **byte == b'\n').count();
                lines.fetch_add(more as u64, Ordering::SeqCst);
            }
        });
        let (stop, sent) = (stop.clone(), sent.clone());
        spawn(move || flood(stream, &stop, &sent));
    }
    let (mut most, mut stood) = (0, 0);
    for turn in 0..TURNS {
        // Usual traffic beside it.
        caller.offer(&format!("6a{turn:014x}"), "standard-check", 3_000);
        sleep(TURN);
        let Some(kb) = agent.memory_kb() else { break };
        most = most.max(kb);
        let counts = (sent.load(Ordering::SeqCst), told.load(Ordering::SeqCst));
        let counts = format!("the bad client has sent {} set-ups and was told {} lines", counts.0, counts.1);
        record.note("platform", &format!("the call agent has {kb} kB in use; {counts}"));
        stood += u64::from(caller.when(&format!("6a{turn:014x}"), "accept").is_some());
        if kb > MEMORY_MB << 10 {
            record.note("platform", "over its memory: it is killed");
            agent.signal("KILL");
            agent.ends_within(1_000);
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    if most > MEMORY_MB << 10 {
        return Verdict::Broken(format!(
            "{most} kB in use {} ms after the start, of {} kB allowed: the call agent is killed",
            record.now(),
            MEMORY_MB << 10
        ));
    }
    if !agent.runs() {
        return Verdict::Broken("the call agent has ended".into());
    }
    if stood == 0 {
        return Verdict::CouldNotRun("no usual call stood".into());
    }
    Verdict::Held(format!("{most} kB at most in {} s; {stood} usual calls stood", TURNS / 10))
}
