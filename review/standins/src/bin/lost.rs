//! Three members of a fleet that copy what they have promised. One is killed outright while its calls stand;
//! its caller goes on at the second, and nobody is connected to the third.

use std::collections::BTreeMap;
use std::time::Duration;

use review_standins::agent::{config, file, free_port, Agent};
use review_standins::caller::Caller;
use review_standins::server::{Habits, Server};
use review_standins::{could_not_run, pause, Run};

const CALLS: u64 = 30;
const EVERY_MS: u64 = 100;
/// How long calls stand.
const HOLDS_MS: u64 = 12_000;
/// The limit for a release that could not be sent, with the slack of time limits.
const LIMIT_MS: u64 = 8_050;

fn main() {
    let run = Run::from_environment();
    let habits = Habits {
        answers_after: Duration::from_millis(30),
        holds: Duration::from_millis(HOLDS_MS),
        idle: Duration::from_secs(600),
        most_connections: 100,
        description: 80,
    };
    let servers = [Server::start("1", habits.clone(), &run.record), Server::start("2", habits, &run.record)];
    let listed = [(1, servers[0].address), (2, servers[1].address)];
    let ports: Vec<u16> = (0..3).map(|_| free_port()).collect();
    let seeds: Vec<String> = ports.iter().map(|port| format!("\"127.0.0.1:{port}\"")).collect();
    let seeds = seeds.join(", ");
    let mut agents: Vec<Agent> = Vec::new();
    for (place, port) in ports.iter().enumerate() {
        let name = format!("n{}", place + 1);
        let text = config(&name, free_port(), &listed);
        let config = file(&run.scratch, &format!("{name}.json"), &text);
        let fleet = format!(
            "cluster = \"review\"\nname = \"{name}\"\nzone = \"z1\"\nlisten = \"127.0.0.1:{port}\"\n\
             seeds = [{seeds}]\nfounders = [\"n1\", \"n2\", \"n3\"]\ndirectory = \"fleet-{name}\"\n\
             beyond_loopback = false\n\
             [work]\nmost_out = 1\nreserve = 0.2\ncalm_s = 30\ncapacity = 0\n\
             [copies]\ncopies = 2\nneeded = 1\nanswer = \"after-copies\"\nwhen_short = \"serve\"\n"
        );
        let fleet = file(&run.scratch, &format!("{name}.toml"), &fleet);
        agents.push(Agent::start(&run.root, &config, &format!(" --fleet {}", fleet.display()), &run.record));
    }
    // The council is founded and its voters are made up to three within some seconds.
    pause(8_000);
    let mut caller = Caller::connect("caller at n1", agents[0].address, &run.record);
    caller.test();
    let id = |call: u64| format!("{:016x}", 0x9b1f_03aa_5c7e_0000 + call);
    for call in 0..CALLS {
        caller.offer(&id(call), 3_000);
        pause(EVERY_MS);
    }
    pause(500);
    let stand: Vec<String> =
        (0..CALLS).map(id).filter(|call| caller.hears("accept", call, Duration::ZERO).is_some()).collect();
    if stand.len() < 20 {
        could_not_run("too few calls came to stand");
    }
    if run.trouble {
        agents.remove(0).kill();
        pause(1_000);
        caller = Caller::connect("caller at n2", agents[0].address, &run.record);
        caller.test();
    }
    // The caller goes on with a call each second, so that its connection is in use, until all is settled.
    let mut next = 0x1000;
    let released = || -> BTreeMap<String, u64> {
        let calls = servers.iter().flat_map(Server::calls);
        calls.filter_map(|(id, call)| Some((id, call.released_at?))).collect()
    };
    let is_settled = || {
        let released = released();
        let now = run.record.now();
        stand.iter().all(|call| released.get(call).is_some_and(|at| now > at + LIMIT_MS))
    };
    while !is_settled() {
        caller.offer(&id(next), 3_000);
        next += 1;
        pause(1_000);
    }
    let released = released();
    let told = |call: &String| caller.hears("end", call, Duration::ZERO);
    let lost: Vec<&String> =
        stand.iter().filter(|call| told(call).is_none_or(|at| at > released[*call] + LIMIT_MS)).collect();
    let broken = match lost.len() {
        0 => Vec::new(),
        count => vec![format!(
            "{count} of {} calls were released by their servers, and their caller, which was connected, was \
             not told within 8 s: {lost:?}",
            stand.len()
        )],
    };
    drop(agents);
    run.verdict(&broken)
}
