//! Case 7: an upgrade under traffic. A second process has said yes, and the first one is told to stop.
//! Check servers release calls of the first one on its connections. Must their callers hear of it, who are
//! connected to the second one?

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::agent::{Agent, Config, Upgrade};
use crate::caller::Caller;
use crate::record::Record;
use crate::server::{Manner, Server, What};
use crate::{wire, Verdict};

const CALLS: u64 = 20;
/// From SIGTERM to the first release, and between two of them: the traffic of a call agent that takes some 30
/// calls a second.
const FIRST_RELEASE: u64 = 10;
const APART: u64 = 30;
const RELEASED_WITHIN: u64 = 1_050;
const RELEASED_AT_LAST: u64 = 8_050;

/// The connections of the front, which opens a new one where the call agent ends one.
struct Front {
    callers: Vec<Caller>,
    opened: u64,
}

impl Front {
    fn connect(&mut self, address: &str, record: &Record) {
        if self.callers.last().is_none_or(Caller::has_ended) {
            self.opened += 1;
            self.callers.extend(Caller::dial(&format!("caller-{}", self.opened), address, record));
        }
    }

    /// Waits, and stays connected meanwhile.
    fn wait(&mut self, millis: u64, address: &str, record: &Record) {
        for _ in 0..millis {
            self.connect(address, record);
            sleep(Duration::from_millis(1));
        }
    }

    fn when(&self, call: &str, op: &str) -> Option<u64> {
        self.callers.iter().find_map(|caller| caller.when(call, op))
    }
}

fn name(number: u64) -> String {
    format!("7a{number:014x}")
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let server = Server::start("server-0", "127.0.7.1", 20, Manner::Sound, record);
    let second = Server::start("server-1", "127.0.7.2", 20, Manner::Sound, record);
    let socket = wire::listen("127.0.7.4:0");
    let config = Config {
        listen: socket.local_addr().expect("bound").to_string(),
        board: None,
        servers: vec![(1, server.address.clone(), 0), (2, second.address.clone(), 1)],
        seed: 7,
        memory_mb: 192,
    };
    let with = || Upgrade { socket: &socket, ops: wire::free_address("127.0.7.5") };
    let Some(mut agent) = Agent::start_with(&config, folder, "agent-1", record, &with()) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let mut front = Front { callers: Vec::new(), opened: 0 };
    front.wait(300, &config.listen, record);
    for number in 1..=CALLS {
        let Some(caller) = front.callers.last() else {
            return Verdict::CouldNotRun("no connection to the call agent".into());
        };
        caller.offer(&name(number), "standard-check", 8_000);
        if caller.wait_for(&name(number), "accept", 4_000).is_none() {
            return Verdict::CouldNotRun("the calls did not come to stand".into());
        }
    }
    front.wait(500, &config.listen, record);
    let mut old = None;
    if trouble {
        let Some(next) = Agent::start_with(&config, folder, "agent-2", record, &with()) else {
            return Verdict::CouldNotRun("the second process does not serve".into());
        };
        old = Some(std::mem::replace(&mut agent, next));
        front.wait(200, &config.listen, record);
        old.iter().for_each(|old| old.signal("TERM"));
    }
    front.wait(FIRST_RELEASE, &config.listen, record);
    let mut ended = 0;
    for number in 1..=CALLS {
        ended += u64::from([&server, &second].iter().any(|server| server.end_call(&name(number))));
        front.wait(APART, &config.listen, record);
    }
    if ended < CALLS {
        return Verdict::CouldNotRun("some calls no longer stood at their server".into());
    }
    // The traffic goes on.
    for number in CALLS + 1..=CALLS + 18 {
        front.connect(&config.listen, record);
        front.callers.iter().last().map(|caller| caller.offer(&name(number), "standard-check", 8_000));
        front.wait(500, &config.listen, record);
    }
    if !agent.runs() {
        return Verdict::CouldNotRun("the call agent has ended".into());
    }
    if let Some(status) = old.as_mut().and_then(|old| old.ends_within(1)) {
        record.note("platform", &format!("the first process has ended with {status}"));
    }
    if front.when(&name(CALLS + 1), "accept").is_none() {
        return Verdict::CouldNotRun("no call stood afterwards".into());
    }
    let (mut late, mut lost) = (Vec::new(), Vec::new());
    for number in 1..=CALLS {
        let released =
            [&server, &second].iter().find_map(|server| server.when(&name(number), What::ReleasedHere));
        let released = released.unwrap_or_default();
        match front.when(&name(number), "end") {
            Some(at) if at <= released + RELEASED_WITHIN => {}
            Some(at) => late.push((number, at - released)),
            None => lost.push(number),
        }
    }
    match (late.len(), lost.len()) {
        (0, 0) => Verdict::Held(format!("the releases of all {CALLS} calls reached their callers")),
        (_, 0) => Verdict::Broken(format!("releases came late, call and ms: {late:?}")),
        _ => Verdict::Broken(format!(
            "{} of {CALLS} calls ended and no caller was told within {RELEASED_AT_LAST} ms, though callers \
             were connected all the time: {lost:?}; late: {late:?}",
            lost.len()
        )),
    }
}
