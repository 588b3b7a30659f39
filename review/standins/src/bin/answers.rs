//! One of two check servers says nothing for two seconds and then what is due, so that answers for an M3UA
//! client come together.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use review_standins::agent::{config, file, free_port, Agent};
use review_standins::m3ua::*;
use review_standins::server::{Habits, Server};
use review_standins::{could_not_run, pause, Run};

/// One set-up of the client each 20 ms, for 5 s.
const EVERY_MS: u64 = 20;
const CALLING_MS: u64 = 5_000;
const SILENT_FROM_MS: u64 = 1_500;
const SILENCE: Duration = Duration::from_millis(2_000);
/// How long the client's callers wait, as the file of the front tells the call agent.
const WAIT_MS: u64 = 3_600;
/// Length of the description of an answer: a message holds 16 KiB at most.
const DESCRIPTION: usize = 12_000;
/// A set-up that crosses the end of its association is not counted.
const CROSSING_MS: u64 = 50;

struct SetUp {
    sent: u64,
    /// The final answer: ANM or REL, and when it came.
    answered: Option<(u8, u64)>,
}

fn main() {
    let run = Run::from_environment();
    let habits = Habits {
        answers_after: Duration::from_millis(30),
        holds: Duration::from_secs(60),
        idle: Duration::from_secs(600),
        most_connections: 100,
        description: DESCRIPTION,
    };
    let servers = [Server::start("1", habits.clone(), &run.record), Server::start("2", habits, &run.record)];
    let listed = [(1, servers[0].address), (2, servers[1].address)];
    let config = file(&run.scratch, "config.json", &config(free_port(), &listed, 600_000));
    let m3ua = format!(
        "listen = '127.0.0.1:0'\npoint_code = {OURS}\n\
         [[class]]\ncategory = 10\nclass = 'plain'\nwait_ms = {WAIT_MS}\n\
         [[route]]\nprefix = '603'\nnumber = 0\n\
         [[client]]\nname = 'branch-a'\npoint_code = {}\nrouting_context = {}\ntenant = 'branch'\n",
        CLIENT.0, CLIENT.1
    );
    let m3ua = file(&run.scratch, "m3ua.toml", &m3ua);
    let agent = Agent::start(&run.root, &config, &format!(" --m3ua {}", m3ua.display()), &run.record);
    pause(300);
    let connect = |name: &str| {
        let stream = TcpStream::connect(agent.m3ua.expect("it serves M3UA"))
            .unwrap_or_else(|_| could_not_run("no association"));
        let mut client = Peer::new(stream, CLIENT, name, &run.record, attends);
        let is_told = |client: &mut Peer, kind: (u8, u8)| {
            while client.hear(Duration::from_secs(2)).is_some_and(|heard| heard.kind != kind) {}
        };
        client.say(ASPUP, &[]);
        is_told(&mut client, ASPUP_ACK);
        client.say(ASPAC, &[(6, CLIENT.1.to_be_bytes().to_vec())]);
        is_told(&mut client, ASPAC_ACK);
        client
    };
    let mut client = connect("client");
    let mut set_ups: BTreeMap<u16, SetUp> = BTreeMap::new();
    let began = Instant::now();
    let now = || began.elapsed().as_millis() as u64;
    let (mut is_calm, mut circuit, mut restored) = (true, 0, 0);
    while now() < CALLING_MS + WAIT_MS + 1_000 {
        while let Some(heard) = client.hear(Duration::from_millis(1)) {
            let Some((circuit, kind, _)) = heard.call() else { continue };
            if kind == ANM || kind == REL {
                let answer = Some((kind, now()));
                set_ups.get_mut(&circuit).into_iter().for_each(|set_up| {
                    set_up.answered = set_up.answered.or(answer);
                });
            }
            if kind == REL {
                client.data(&rlc(circuit));
            }
        }
        if client.has_ended() {
            // A client whose association is ended opens another one at once, well within T(r).
            restored += 1;
            let ended = now();
            set_ups.retain(|_, set_up| set_up.answered.is_some() || set_up.sent + CROSSING_MS < ended);
            client = connect(&format!("client, association {}", restored + 1));
        }
        if now() < CALLING_MS && now() / EVERY_MS > circuit {
            circuit += 1;
            run.record.note(&format!("client sets up on circuit {circuit}"));
            client.data(&iam(circuit as u16, 10, "v=client"));
            set_ups.insert(circuit as u16, SetUp { sent: now(), answered: None });
        }
        if run.trouble && is_calm && now() >= SILENT_FROM_MS {
            is_calm = false;
            servers.iter().for_each(|server| server.say_nothing(SILENCE));
        }
    }
    // Half a second after its time an answer only earns nothing; later, or never, the request is lost.
    let is_lost = |set_up: &SetUp| set_up.answered.is_none_or(|(_, at)| at > set_up.sent + WAIT_MS + 550);
    let lost: Vec<u16> =
        set_ups.iter().filter(|(_, set_up)| is_lost(set_up)).map(|(circuit, _)| *circuit).collect();
    let stood =
        set_ups.values().filter(|set_up| set_up.answered.is_some_and(|(kind, _)| kind == ANM)).count();
    run.record.note(&format!("{} set-ups, {stood} came to stand", set_ups.len()));
    if stood < 50 {
        could_not_run("too few calls came to stand");
    }
    let broken = match lost.len() {
        0 => Vec::new(),
        count => vec![format!(
            "{count} of {} set-ups never got a final answer, and the client's association was ended \
             {restored} times: circuits {lost:?}",
            set_ups.len()
        )],
    };
    run.verdict(&broken)
}
