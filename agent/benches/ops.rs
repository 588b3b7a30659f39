//! What the second address costs, and how soon it answers under full load, in one run against the program
//! without it: the same calls through both, the one asked for its figures all the time.
//!
//! Before that, the memory of connections that say nothing or half a line.
//!
//! `cargo bench -p steprelay --bench ops`

#[path = "../tests/common/mod.rs"]
mod common;
mod load;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use load::{make_calls, memory, processor};

const CALLS: u64 = 100_000;
/// Calls that are open at once.
const OPEN: u64 = 64;
const ROUNDS: u64 = 9;
/// Connections whose memory is measured, of either kind; the program lets go of them after 2 s.
const CONNECTIONS: usize = 400;
/// The front asks ten times a second whether we are ready, and the figures are fetched every second.
const ASKED_EVERY: Duration = Duration::from_millis(100);

fn main() {
    memory_a_connection();
    let (mut ratios, mut waits) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        // Neither always goes first, so that a machine that changes pace favours none.
        let first = processor_a_call(round % 2 == 0, &mut waits);
        let second = processor_a_call(round % 2 != 0, &mut waits);
        let (with, without) = if round % 2 == 0 { (first, second) } else { (second, first) };
        println!("round {round}: {without:.2} us of processor a call without, {with:.2} us with");
        ratios.push(with / without);
    }
    ratios.sort_by(f64::total_cmp);
    let middle = ratios[ratios.len() / 2];
    println!(
        "with / without: {middle:.3} of the processor time a call, the median of {:.3} to {:.3}",
        ratios[0],
        ratios[ratios.len() - 1]
    );
    waits.sort();
    let part = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    println!(
        "status under full load: p50 {:.2} ms, p99 {:.2} ms, most {:.2} ms, of {}",
        part(0.5),
        part(0.99),
        part(1.0),
        waits.len()
    );
}

/// What a connection that says nothing holds, and one with half a line, in bytes.
fn memory_a_connection() {
    let mut setting = Setting::new(&[]);
    setting.sockets = 8192;
    let agent = setting.start();
    let mut usual = agent.caller();
    usual.settle();
    let mut held = vec![usual];
    for (kind, text) in [("idle", ""), ("half-written", "{\"op\":\"offer\"")] {
        let before = memory(&agent);
        for _ in 0..CONNECTIONS {
            let mut caller = agent.caller();
            caller.raw(text.as_bytes());
            held.push(caller);
        }
        // All that came before is taken in by then.
        held[0].settle();
        let more = memory(&agent).saturating_sub(before);
        println!("{kind}: {} bytes a connection, of {CONNECTIONS}", more / CONNECTIONS);
    }
}

/// Microseconds of processor time a call, where the second address is `on` and asked meanwhile, or off.
/// `waits` gets how long each answer to `status` took.
fn processor_a_call(on: bool, waits: &mut Vec<Duration>) -> f64 {
    let server = Server::new();
    let mut setting = Setting::new(&[server.address]);
    setting.ops = on.then(|| "127.0.0.1:0".into());
    let mut agent = setting.start();
    std::thread::spawn(move || answer_all(server.listener));
    let ops = on.then(|| agent.ops());
    let over = Arc::new(AtomicBool::new(false));
    let asking = ops.map(|ops| {
        let over = over.clone();
        std::thread::spawn(move || {
            let mut waits = Vec::new();
            while !over.load(Ordering::Relaxed) {
                let asked = Instant::now();
                assert_eq!(ask(ops, b"status\n"), "+OK serving\n");
                waits.push(asked.elapsed());
                if waits.len() % 10 == 0 {
                    ask(ops, b"stats\n");
                }
                std::thread::sleep(ASKED_EVERY.saturating_sub(asked.elapsed()));
            }
            waits
        })
    });
    let mut caller = agent.caller();
    let before = processor(&agent);
    make_calls(&mut caller, CALLS, OPEN);
    let used = processor(&agent) - before;
    over.store(true, Ordering::Relaxed);
    if let Some(asking) = asking {
        waits.extend(asking.join().expect("it was answered each time"));
    }
    used * 1e6 / CALLS as f64
}
