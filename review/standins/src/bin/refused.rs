//! Three call agents, and two check servers that hold no more connections than one for each of them. The
//! processor of one server has some work to do first, and all answers come later than usual.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use review_standins::agent::{config, file, free_port, Agent};
use review_standins::caller::Caller;
use review_standins::server::{Habits, Server};
use review_standins::{could_not_run, pause, Run};

const AGENTS: u64 = 3;
/// One set-up each 100 ms at each call agent.
const EVERY: Duration = Duration::from_millis(100);
const CALLS: u64 = 70;
/// The work that comes first, once calls stand: less than the wait at which processors turn set-ups away.
const WORK: Duration = Duration::from_millis(800);
const WORK_AT_CALL: u64 = 45;

fn main() {
    let run = Run::from_environment();
    let habits = Habits {
        answers_after: Duration::from_millis(30),
        holds: Duration::from_secs(9),
        idle: Duration::from_secs(600),
        most_connections: if run.trouble { AGENTS as usize } else { 100 },
        description: 80,
    };
    let servers = [Server::start("1", habits.clone(), &run.record), Server::start("2", habits, &run.record)];
    let listed = [(1, servers[0].address), (2, servers[1].address)];
    let mut callers: Vec<(Agent, Caller)> = Vec::new();
    for number in 0..AGENTS {
        let text = config("n0", free_port(), &listed);
        let config = file(&run.scratch, &format!("config-{number}.json"), &text);
        let agent = Agent::start(&run.root, &config, "", &run.record);
        pause(300);
        let mut caller = Caller::connect(&format!("caller {number}"), agent.address, &run.record);
        caller.test();
        callers.push((agent, caller));
    }
    let id = |agent: u64, call: u64| format!("{:016x}", (0x9b1f_0000 + agent) << 32 | call);
    let mut due = Instant::now();
    for call in 0..CALLS {
        if call == WORK_AT_CALL {
            servers[0].say_nothing(WORK);
        }
        for (agent, (_, caller)) in callers.iter_mut().enumerate() {
            caller.offer(&id(agent as u64, call), 3_000);
        }
        due += EVERY;
        pause(due.saturating_duration_since(Instant::now()).as_millis() as u64);
    }
    pause(13_000);
    // What the callers were told against what the servers did.
    let mut stood = 0;
    let (mut untrue, mut left) = (BTreeSet::new(), BTreeSet::new());
    let calls: Vec<_> = servers.iter().map(Server::calls).collect();
    for (agent, (_, caller)) in callers.iter().enumerate() {
        for call in 0..CALLS {
            let id = id(agent as u64, call);
            let Some(_) = caller.hears("accept", &id, Duration::ZERO) else { continue };
            stood += 1;
            let Some(told) = caller.hears("end", &id, Duration::ZERO) else { continue };
            // It was over where a server had released it, or the call agent had told the server so by then
            // (or does within the second that a release may take).
            let is_true = calls.iter().filter_map(|calls| calls.get(&id)).any(|call| {
                call.released_at.is_some_and(|at| at <= told)
                    || call.ended_at.is_some_and(|at| at <= told + 1_050)
            });
            if !is_true {
                untrue.insert(id.clone());
                if calls.iter().filter_map(|calls| calls.get(&id)).any(|call| call.released_at.is_some()) {
                    left.insert(id);
                }
            }
        }
    }
    run.record.note(&format!("{stood} calls came to stand"));
    if stood < 100 {
        could_not_run("too few calls came to stand");
    }
    let mut broken = Vec::new();
    if !untrue.is_empty() {
        broken.push(format!(
            "{} of {stood} standing calls were released towards their callers while they stood at their \
             server, which was told nothing; {} of them stood there to their natural end: {untrue:?}",
            untrue.len(),
            left.len()
        ));
    }
    // Ends the call agents and waits for their ends.
    drop(callers);
    run.verdict(&broken)
}
