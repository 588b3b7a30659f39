//! Case 9: a planned restart in a quiet hour. A check server releases a call while no caller is connected;
//! must its caller hear of it, from this process or the next one?

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::agent::{Agent, Config};
use crate::caller::Caller;
use crate::record::Record;
use crate::server::{Manner, Server, What};
use crate::{wire, Verdict};

const CALL: &str = "9a00000000000001";
/// Callers close a connection with no call on it after this time.
const IDLE_CLOSE: u64 = 4_000;
/// From SIGTERM to the server's release.
const RELEASE_AFTER: u64 = 300;
/// The new process starts so long after the old one has ended.
const DOWN: u64 = 500;
/// From the release to the next caller's connection, at least.
const CALLERS_RETURN: u64 = 2_000;
const RELEASED_AT_LAST: u64 = 8_050;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let server = Server::start("server-0", "127.0.9.1", 20, Manner::Sound, record);
    let config = Config {
        listen: wire::free_address("127.0.9.4"),
        board: None,
        servers: vec![(1, server.address.clone(), 0)],
        seed: 9,
        memory_mb: 192,
    };
    let Some(mut agent) = Agent::start(&config, folder, "agent-1", record) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let Some(caller) = Caller::dial("caller-1", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    sleep(Duration::from_millis(300));
    caller.offer(CALL, "standard-check", 8_000);
    if caller.wait_for(CALL, "accept", 4_000).is_none() {
        return Verdict::CouldNotRun("the call did not come to stand".into());
    }
    sleep(Duration::from_millis(IDLE_CLOSE));
    caller.close();
    sleep(Duration::from_millis(500));
    if trouble {
        agent.signal("TERM");
    }
    sleep(Duration::from_millis(RELEASE_AFTER));
    if !server.end_call(CALL) {
        return Verdict::CouldNotRun("the call no longer stood".into());
    }
    let ended_at = server.when(CALL, What::ReleasedHere).unwrap_or_default();
    let began = Instant::now();
    if trouble {
        // SIGKILL comes no sooner than 3.7 s after SIGTERM.
        agent.ends_within(3_700 - RELEASE_AFTER);
        sleep(Duration::from_millis(DOWN));
        let Some(next) = Agent::start(&config, folder, "agent-2", record) else {
            return Verdict::CouldNotRun("the call agent does not serve again".into());
        };
        agent = next;
    }
    sleep(Duration::from_millis(CALLERS_RETURN).saturating_sub(began.elapsed()));
    // Callers come back, and set calls up.
    let Some(caller) = Caller::dial("caller-2", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    let mut number = 2;
    while record.now() < ended_at + RELEASED_AT_LAST + 500 && caller.when(CALL, "end").is_none() {
        caller.offer(&format!("9a{number:014x}"), "standard-check", 8_000);
        number += 1;
        sleep(Duration::from_millis(500));
    }
    if !agent.runs() {
        return Verdict::CouldNotRun("the call agent has ended".into());
    }
    if caller.when(&format!("9a{:014x}", 2), "accept").is_none() {
        return Verdict::CouldNotRun("no call stood after the restart".into());
    }
    match caller.when(CALL, "end") {
        Some(at) if at <= ended_at + RELEASED_AT_LAST => {
            Verdict::Held(format!("released {} ms after its end", at - ended_at))
        }
        Some(at) => Verdict::Broken(format!("released {} ms after its end", at - ended_at)),
        None => Verdict::Broken(format!(
            "the call ended at {ended_at} ms; the server was told that its release was heard at {:?} ms; no \
             caller was told within {RELEASED_AT_LAST} ms",
            server.when(CALL, What::Heard)
        )),
    }
}
