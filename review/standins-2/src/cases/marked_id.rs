//! Case 10: a call agent is killed and restarted while calls stand. A check server then releases two of them,
//! which differ in nothing but their ids. Must both callers hear of it?

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::agent::{Agent, Config};
use crate::caller::Caller;
use crate::record::Record;
use crate::server::{Manner, Server, What};
use crate::{wire, Verdict};

/// An id of 16 hex digits, as good as any; one in 65,536 begins so.
const CALL: &str = "4d33a1b2c3d4e5f6";
const OTHER: &str = "5d33a1b2c3d4e5f6";
const LATER: &str = "10a0000000000001";
const DOWN: u64 = 500;
const RELEASED_WITHIN: u64 = 1_050;
const RELEASED_AT_LAST: u64 = 8_050;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let server = Server::start("server-0", "127.0.10.1", 20, Manner::Sound, record);
    let second = Server::start("server-1", "127.0.10.2", 20, Manner::Sound, record);
    let config = Config {
        listen: wire::free_address("127.0.10.4"),
        board: None,
        servers: vec![(1, server.address.clone(), 0), (2, second.address.clone(), 1)],
        seed: 10,
        memory_mb: 192,
    };
    let Some(mut agent) = Agent::start(&config, folder, "agent-1", record) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let Some(mut caller) = Caller::dial("caller-1", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    sleep(Duration::from_millis(300));
    for call in [CALL, OTHER] {
        caller.offer(call, "standard-check", 8_000);
        if caller.wait_for(call, "accept", 4_000).is_none() {
            return Verdict::CouldNotRun("the calls did not come to stand".into());
        }
    }
    sleep(Duration::from_millis(1_000));
    if trouble {
        agent.signal("KILL");
        agent.ends_within(1_000);
        sleep(Duration::from_millis(DOWN));
        let Some(next) = Agent::start(&config, folder, "agent-2", record) else {
            return Verdict::CouldNotRun("the call agent does not serve again".into());
        };
        agent = next;
        let Some(next) = Caller::dial("caller-2", &config.listen, record) else {
            return Verdict::CouldNotRun("no connection to the call agent".into());
        };
        caller = next;
    }
    caller.offer(LATER, "standard-check", 8_000);
    if caller.wait_for(LATER, "accept", 4_000).is_none() {
        return Verdict::CouldNotRun("no call stood after the restart".into());
    }
    sleep(Duration::from_millis(1_000));
    if !(server.end_call(OTHER) && server.end_call(CALL)) {
        return Verdict::CouldNotRun("the calls no longer stood at the server".into());
    }
    let ended_at = server.when(CALL, What::ReleasedHere).unwrap_or_default();
    if caller.wait_for(OTHER, "end", RELEASED_WITHIN).is_none() {
        return Verdict::CouldNotRun("the other call was not released either".into());
    }
    let told = caller.wait_for(CALL, "end", RELEASED_AT_LAST + 500);
    if !agent.runs() {
        return Verdict::CouldNotRun("the call agent has ended".into());
    }
    match told {
        Some(at) if at <= ended_at + RELEASED_WITHIN => {
            Verdict::Held(format!("both were released, {CALL} after {} ms", at - ended_at))
        }
        Some(at) => Verdict::Broken(format!("{CALL} was released {} ms after its end", at - ended_at)),
        None => Verdict::Broken(format!(
            "{CALL} ended at {ended_at} ms; the server was told that its release was heard at {:?} ms; no \
             caller was told within {RELEASED_AT_LAST} ms, on a connection that is open all the time",
            server.when(CALL, What::Heard)
        )),
    }
}
