//! A caller writes a set-up in two pieces, with 2.5 s between them, while earlier set-ups are open on its
//! connection.

use std::time::Duration;

use review_standins::agent::{config, file, free_port, Agent};
use review_standins::caller::Caller;
use review_standins::server::{Habits, Server};
use review_standins::{could_not_run, pause, Run};

/// One set-up each 40 ms.
const EVERY_MS: u64 = 40;
const BEFORE: u64 = 100;
const AFTER: u64 = 20;
/// The processors of both servers have other work first, for so long, from so many set-ups before the stall.
const WORK: Duration = Duration::from_millis(2_900);
const WORK_BEFORE: u64 = 12;
const LEFT_MS: u64 = 3_600;
const STALL_MS: u64 = 2_500;

fn main() {
    let run = Run::from_environment();
    let habits = Habits {
        answers_after: Duration::from_millis(30),
        holds: Duration::from_secs(9),
        idle: Duration::from_secs(600),
        most_connections: 100,
        description: 80,
    };
    let servers = [Server::start("1", habits.clone(), &run.record), Server::start("2", habits, &run.record)];
    let listed = [(1, servers[0].address), (2, servers[1].address)];
    let config = file(&run.scratch, "config.json", &config("n0", free_port(), &listed));
    let agent = Agent::start(&run.root, &config, "", &run.record);
    pause(500);
    let mut caller = Caller::connect("caller", agent.address, &run.record);
    caller.test();
    let id = |number: u64| format!("{:016x}", 0x9b1f_03aa_5c7e_0000 + number);
    for number in 0..BEFORE {
        if number == BEFORE - WORK_BEFORE {
            servers.iter().for_each(|server| server.say_nothing(WORK));
        }
        caller.offer(&id(number), LEFT_MS);
        pause(EVERY_MS);
    }
    // The next set-up in two pieces.
    caller.offer_in_pieces(&id(BEFORE), LEFT_MS, if run.trouble { STALL_MS } else { 0 });
    for number in BEFORE + 1..BEFORE + AFTER {
        pause(EVERY_MS);
        caller.offer(&id(number), LEFT_MS);
    }
    pause(LEFT_MS + 550);
    let answered = |number: &u64| {
        let call = id(*number);
        ["accept", "end"].iter().any(|op| caller.hears(op, &call, Duration::ZERO).is_some())
    };
    // Only those that were whole on the connection before the one in pieces began.
    let lost: Vec<u64> = (0..BEFORE).filter(|number| !answered(number)).collect();
    let stood = (0..BEFORE).filter(|number| caller.hears("accept", &id(*number), Duration::ZERO).is_some());
    let stood = stood.count();
    run.record.note(&format!("{stood} of {BEFORE} calls came to stand"));
    drop(agent);
    if stood < 30 {
        could_not_run("too few calls came to stand");
    }
    let broken = match lost.len() {
        0 => Vec::new(),
        count => vec![format!(
            "the connection was closed with {count} set-ups open on it, which got no final answer: {lost:?}"
        )],
    };
    run.verdict(&broken)
}
