//! Case 8: connections to a check server are reset, twice. A call that was tried again at the same server
//! stands there; must the call agent not release it by itself, or tell its caller where it does?

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::agent::{Agent, Config};
use crate::caller::Caller;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::server::{Manner, Server, What};
use crate::{wire, Verdict};

const CALL: &str = "8a00000000000001";
const OTHER: &str = "8a00000000000002";
/// From the answer to the second reset.
const AFTER_ANSWER: u64 = 150;
/// How long the call stands, if nobody releases it before that.
const HOLD: u64 = 6_000;
/// By which the caller must hear of the release, with the 50 ms of sockets.
const RELEASED_WITHIN: u64 = 1_050;
const RELEASED_AT_LAST: u64 = 8_050;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let first = Server::start("server-0", "127.0.8.1", 60, Manner::Sound, record);
    // The processor of the other one is full.
    let second = Server::start("server-1", "127.0.8.2", 1, Manner::Full, record);
    let proxy = Proxy::start("127.0.8.3", &first.address, record);
    let config = Config {
        listen: wire::free_address("127.0.8.4"),
        board: None,
        servers: vec![(1, proxy.address.clone(), 0), (2, second.address.clone(), 1)],
        seed: 8,
        memory_mb: 192,
    };
    let Some(agent) = Agent::start(&config, folder, "agent", record) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let Some(caller) = Caller::dial("caller", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    sleep(Duration::from_millis(300));
    caller.offer(CALL, "standard-check", 8_000);
    if trouble {
        // Under the request: the server has read it and has not answered yet.
        for _ in 0..2_000 {
            if first.when(CALL, What::Offered).is_some() {
                break;
            }
            sleep(Duration::from_millis(1));
        }
        proxy.reset_all();
    }
    if caller.wait_for(CALL, "accept", 4_000).is_none() {
        return Verdict::CouldNotRun("the call did not come to stand".into());
    }
    if trouble {
        // Idle: nothing is under way on it.
        sleep(Duration::from_millis(AFTER_ANSWER));
        proxy.reset_all();
    }
    sleep(Duration::from_millis(HOLD));
    let released_by_agent = first.when(CALL, What::ReleasedByAgent);
    let ended_here = first.end_call(CALL);
    // Traffic as ever, and a caller's connection that is there all the time.
    caller.offer(OTHER, "standard-check", 8_000);
    sleep(Duration::from_millis(RELEASED_AT_LAST - HOLD + 1_000));
    drop(agent);
    let told = caller.when(CALL, "end");
    match (released_by_agent, told) {
        (Some(at), None) => Verdict::Broken(format!(
            "the call agent released a call that stood at {at} ms, which nobody had ended; its caller was \
             not told within {} ms, and counts it as standing",
            record.now() - at
        )),
        (Some(at), Some(told)) if told > at + RELEASED_WITHIN => {
            Verdict::Broken(format!("released by the call agent at {at} ms, told at {told} ms"))
        }
        (None, None) if ended_here => Verdict::Broken("the server's release was not passed on".into()),
        (_, told) => Verdict::Held(format!("its caller was told at {told:?} ms")),
    }
}
