//! The delivery of releases in virtual time: the core and the copies of three members, two servers and
//! callers, with members that are held up, stopped or lost between any two effects, by seed.
//!
//! A member is the agent's own code of replication around its core (`net/`), its thread of copies
//! (`process.rs`), and queues in place of sockets (`world.rs`). Leases and successions are an oracle
//! (`council.rs`). The rules are in `judge.rs`. One seed is played again with its lines by
//! `SEED=17 FAULTS=Stop cargo test -p steprelay-rig --test delivery one_seed -- --nocapture`.

mod council;
mod judge;
mod net;
mod peers;
mod plan;
mod ports;
mod process;
mod trace;
mod world;

use std::collections::BTreeMap;

use judge::Findings;
use plan::Faults;
use world::World;

/// What many seeds have shown.
#[derive(Default, Debug)]
struct Shown {
    stood: usize,
    excused: usize,
    /// Of each rule that was broken: how many calls, and the seeds.
    broken: BTreeMap<&'static str, (usize, Vec<u64>)>,
}

fn play(faults: Faults, seeds: u64) -> Shown {
    let threads = 4;
    let part = |first: u64| (first..seeds).step_by(threads as usize);
    let played: Vec<(u64, Findings)> = std::thread::scope(|scope| {
        let run = |seed| (seed, World::new(seed, faults).run());
        let parts: Vec<_> =
            (0..threads).map(|first| scope.spawn(move || part(first).map(run).collect::<Vec<_>>())).collect();
        parts.into_iter().flat_map(|part| part.join().expect("it lives to its end")).collect()
    });
    let mut shown = Shown::default();
    for (seed, findings) in played {
        shown.stood += findings.stood;
        shown.excused += findings.excused;
        for (_, rule) in findings.broken {
            let (calls, of) = shown.broken.entry(rule).or_default();
            *calls += 1;
            if of.last() != Some(&seed) {
                of.push(seed);
            }
        }
    }
    shown
}

fn good(faults: Faults, seeds: u64) {
    let asked = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds = asked.unwrap_or(seeds);
    let shown = play(faults, seeds);
    println!("{faults:?}: {seeds} seeds, {} calls stood, {} excused", shown.stood, shown.excused);
    let command =
        format!("FAULTS={faults:?} cargo test -p steprelay-rig --test delivery one_seed -- --nocapture");
    for (rule, (calls, of)) in &shown.broken {
        println!("  {rule}: {calls} calls in {} seeds, SEED={} {command}", of.len(), of[0]);
    }
    assert!(shown.broken.is_empty(), "{faults:?}: rules were broken");
    assert!(shown.stood > 20 * seeds as usize, "too few calls stood");
}

/// Seeds of each kind of faults, where none are asked for by `SEEDS`.
const SEEDS: u64 = 500;
const ALL: [Faults; 8] = [
    Faults::None,
    Faults::Stalls,
    Faults::SlowWays,
    Faults::Stop,
    Faults::Kill,
    Faults::Cuts,
    Faults::Deaf,
    Faults::Mixed,
];

#[test]
fn without_faults_each_release_is_given_once() {
    good(Faults::None, SEEDS);
}

#[test]
fn members_that_are_held_up_give_each_release_once() {
    good(Faults::Stalls, SEEDS);
}

#[test]
fn slow_ways_and_peers_have_no_release_given_twice() {
    good(Faults::SlowWays, SEEDS);
}

#[test]
fn a_member_that_stops_in_order_has_no_release_given_twice() {
    good(Faults::Stop, SEEDS);
}

#[test]
fn a_member_that_is_lost_loses_no_release() {
    good(Faults::Kill, SEEDS);
}

#[test]
fn connections_that_end_lose_no_release() {
    good(Faults::Cuts, SEEDS);
}

#[test]
fn callers_that_read_nothing_have_their_releases_from_another_connection() {
    good(Faults::Deaf, SEEDS);
}

#[test]
fn faults_that_come_together_lose_no_release() {
    good(Faults::Mixed, SEEDS);
}

/// Plays one seed with its lines, where one is asked for.
#[test]
fn one_seed() {
    let Some(seed) = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()) else { return };
    let asked = std::env::var("FAULTS").unwrap_or_default();
    for faults in ALL.into_iter().filter(|faults| asked.is_empty() || format!("{faults:?}") == asked) {
        trace::start();
        let world = World::new(seed, faults);
        let findings = world.run();
        let lines = trace::take();
        println!("{faults:?}: {findings:?}");
        for (call, rule) in findings.broken.iter().take(3) {
            println!("call {call}: {rule}");
            let of = [format!("call {call}:"), "call 0:".to_string()];
            let shown = lines.iter().filter(|line| of.iter().any(|start| line.starts_with(start)));
            shown.for_each(|line| println!("  {line}"));
        }
        assert!(findings.broken.is_empty(), "{faults:?}, seed {seed}");
    }
}
