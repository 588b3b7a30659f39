//! What a fleet costs and what it brings, with real processes on this machine: a roll by the council
//! against a fixed list with sleeps and against everybody by chance; times of a turn; idle members; a call
//! with the fleet on and off. With `BEFORE=PROGRAM` only a call without a fleet, against that program
//! (`make before`).

use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use steprelay_faults::mesh::{Phase, Plan};
use steprelay_rig::checker::Findings;
use steprelay_rig::history::{Event, What};
use steprelay_rig::rig::{Rig, Setting};

const SEED: u64 = 7;
/// Machines of a roll, and how long staff who go by a list wait for each.
const ROLLED: usize = 9;
const LISTED: Duration = Duration::from_secs(3);
/// Idle members, and calls, are measured for so long.
const WATCHED: Duration = Duration::from_secs(8);

fn setting(name: &str, size: usize, rate: f64, fleet: bool) -> Setting {
    Setting {
        program: PathBuf::from(env!("CARGO_BIN_EXE_steprelay")),
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("bench-{}-{name}", std::process::id())),
        size,
        zones: 3,
        most_out: 1,
        calm_s: 0.5,
        rate,
        fleet,
        holds: Duration::from_millis(250),
        copies: None,
        old: Vec::new(),
        plan: Plan { seed: SEED, phases: vec![Phase { name: "well".into(), rules: Vec::new() }] },
    }
}

fn line(what: &str, took: Duration, findings: &Findings) {
    println!(
        "{what:24} {:5.1} s, least serving {} of {ROLLED}, calls {} stood {} refused {} lost {}",
        took.as_secs_f64(),
        findings.least_serving,
        findings.offered,
        findings.stood,
        findings.refused,
        findings.broken.iter().filter(|line| line.starts_with("call")).count()
    );
}

/// When a line of a log first came, after a moment.
fn when(events: &[Event], from: u64, holds: impl Fn(&str) -> bool) -> Option<u64> {
    let of =
        |event: &&Event| matches!(&event.what, What::Logged { line, .. } if event.at >= from && holds(line));
    events.iter().find(of).map(|event| event.at)
}

fn rolls() {
    let mut rig = Rig::start(setting("council", ROLLED, 10.0, true));
    rig.settle();
    rig.call();
    let started = Instant::now();
    assert_eq!(rig.staff(0, &["roll", "--all"]).0, 0);
    rig.roll_on(Duration::from_secs(120));
    let took = started.elapsed();
    line("by the council", took, &rig.finish());
    drop(rig);

    let mut rig = Rig::start(setting("list", ROLLED, 10.0, false));
    rig.call();
    let started = Instant::now();
    for place in 0..ROLLED {
        rig.operator(place, "standby");
        sleep(LISTED);
        rig.operator(place, "active");
    }
    let took = started.elapsed();
    line("a fixed list with sleeps", took, &rig.finish());
    drop(rig);

    let mut rig = Rig::start(setting("chance", ROLLED, 10.0, false));
    rig.call();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for place in 0..ROLLED {
            let rig = &rig;
            // Spread over as long as the list takes.
            let mixed = (place as u64 + SEED).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            let wait = LISTED.mul_f64((mixed % 1_000) as f64 / 1_000.0 * ROLLED as f64);
            scope.spawn(move || {
                sleep(wait);
                rig.operator(place, "standby");
                sleep(LISTED);
                rig.operator(place, "active");
            });
        }
    });
    let took = started.elapsed();
    line("everybody by chance", took, &rig.finish());
}

fn turns() {
    let (mut grants, mut elections) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let mut rig = Rig::start(setting("turns", 5, 0.0, true));
        rig.settle();
        sleep(Duration::from_secs(2));
        let asked = rig.history.now();
        assert_eq!(rig.staff(0, &["work", "add", "n5", "--for", "1m"]).0, 0);
        rig.until(Duration::from_secs(20), "out", |rig| rig.work_on("n5", 0) == "out");
        let granted = |line: &str| line.contains("is granted");
        grants.extend(when(&rig.history.events(), asked, granted).map(|at| at - asked));
        assert_eq!(rig.staff(0, &["work", "done", "n5"]).0, 0);
        rig.until(Duration::from_secs(20), "done", |rig| rig.work_on("n5", 0) == "done");
        let leader = rig.leader().expect("one leads");
        let by = (0..4).find(|place| *place != leader).expect("another");
        let next = rig.name(by).to_string();
        rig.kill(leader);
        let killed = rig.history.now();
        rig.run(leader);
        let add = |rig: &Rig| rig.staff(by, &["work", "add", &next, "--for", "1m"]).0 == 0;
        rig.until(Duration::from_secs(20), "asked", add);
        rig.until(Duration::from_secs(40), "out", |rig| rig.work_on(&next, by) == "out");
        elections.extend(when(&rig.history.events(), killed, granted).map(|at| at - killed));
    }
    grants.sort_unstable();
    elections.sort_unstable();
    println!("request to grant, calm 0.5 s: median {} ms, worst {} ms (3 plays)", grants[1], grants[2]);
    println!("leader lost to next grant: median {} ms, worst {} ms (3 plays)", elections[1], elections[2]);
}

fn idle() {
    for size in [3, 9, 30] {
        let mut rig = Rig::start(setting("idle", size, 0.0, true));
        rig.settle();
        sleep(Duration::from_secs(3));
        let before: Vec<u64> = (0..size).map(|place| rig.processor_ms(place)).collect();
        let (_, octets) = rig.mesh.forwarded();
        sleep(WATCHED);
        let seconds = WATCHED.as_secs_f64();
        let used = |place: usize| (rig.processor_ms(place) - before[place]) as f64 / seconds;
        let mut used: Vec<f64> = (0..size).map(used).collect();
        used.sort_by(f64::total_cmp);
        let sent = (rig.mesh.forwarded().1 - octets) as f64 / seconds / size as f64;
        println!(
            "idle, {size:2} members: {sent:6.0} octets/s a member, processor {:.1} ms/s median, {:.1} worst",
            used[size / 2],
            used[size - 1]
        );
    }
}

/// Processor time of a call by way of three machines, in microseconds.
fn a_call(program: Option<&Path>, fleet: bool) -> f64 {
    let mut setting = setting("calls", 3, 200.0, fleet);
    setting.program = program.map_or(setting.program, Path::to_path_buf);
    let mut rig = Rig::start(setting);
    if fleet {
        rig.settle();
    }
    rig.call();
    sleep(Duration::from_secs(1));
    let from = rig.history.now();
    let before: u64 = (0..3).map(|place| rig.processor_ms(place)).sum();
    sleep(WATCHED);
    let used: u64 = (0..3).map(|place| rig.processor_ms(place)).sum::<u64>() - before;
    let until = rig.history.now();
    let answered = |event: &Event| matches!(event.what, What::Answered { .. });
    let stood = rig.history.events().into_iter().filter(|event| answered(event) && event.at >= from);
    used as f64 * 1_000.0 / stood.filter(|event| event.at < until).count() as f64
}

/// The median of so many pairs by their ratio, with the least and the most.
fn compare(pairs: usize, what: [&str; 2], measure: impl Fn(usize) -> f64) {
    // The second one goes first in every other pair: what else the machine does changes over time.
    let mut pairs: Vec<[f64; 2]> = (0..pairs)
        .map(|pair| {
            let first = pair % 2;
            let one = measure(first);
            let other = measure(1 - first);
            if first == 0 {
                [one, other]
            } else {
                [other, one]
            }
        })
        .collect();
    let ratio = |pair: &[f64; 2]| pair[1] / pair[0];
    pairs.sort_by(|one, other| ratio(one).total_cmp(&ratio(other)));
    let median = pairs[pairs.len() / 2];
    println!(
        "a call at 200 a second: {:.0} us {}, {:.0} us {}, {:.2} times (median of {} pairs, {:.2} to {:.2})",
        median[0],
        what[0],
        median[1],
        what[1],
        ratio(&median),
        pairs.len(),
        ratio(&pairs[0]),
        ratio(&pairs[pairs.len() - 1])
    );
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores, seed {SEED}");
    if let Some(before) = std::env::var_os("BEFORE").map(PathBuf::from) {
        return compare(7, ["before", "now"], |now| a_call((now == 0).then_some(&before), false));
    }
    rolls();
    turns();
    idle();
    compare(3, ["off", "on"], |on| a_call(None, on == 1));
}
