//! What copies cost and bring, with real processes on this machine: a call with copies off, at once and after
//! copies; and how long it takes from the loss of a machine until its promises are kept.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use steprelay_faults::mesh::{Phase, Plan, Rule};
use steprelay_rig::history::{Event, What};
use steprelay_rig::rig::{Rig, Setting};

const SEED: u64 = 7;
const SIZE: usize = 5;
const WATCHED: Duration = Duration::from_secs(8);
const PLAYS: usize = 3;

fn setting(rate: f64, holds: Duration, copies: Option<&str>) -> Setting {
    let slow = Rule { drop: 0.1, delay_ms: (20, 20), ..Rule::default() };
    let phase = |name: &str, rules| Phase { name: name.into(), rules };
    Setting {
        program: PathBuf::from(env!("CARGO_BIN_EXE_steprelay")),
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("bench-{}-copies", std::process::id())),
        size: SIZE,
        zones: 3,
        most_out: 1,
        calm_s: 0.5,
        rate,
        fleet: true,
        holds,
        copies: copies.map(str::to_string),
        old: Vec::new(),
        plan: Plan { seed: SEED, phases: vec![phase("well", Vec::new()), phase("slow", vec![slow])] },
    }
}

fn begin(setting: Setting) -> Rig {
    let mut rig = Rig::start(setting);
    rig.settle();
    rig.call();
    rig
}

/// Milliseconds from set-up to answer of the calls that were offered after a moment, in order.
fn delays(events: &[Event], from: u64) -> Vec<u64> {
    let mut offered = BTreeMap::new();
    let mut delays = Vec::new();
    for Event { at, what } in events.iter().filter(|event| event.at >= from) {
        match what {
            What::Offered { call, .. } => drop(offered.insert(*call, *at)),
            What::Answered { call } => delays.extend(offered.get(call).map(|offered| at - offered)),
            _ => {}
        }
    }
    delays.sort_unstable();
    delays
}

/// One play: processor time, octets between members, and delays of a call.
fn play(copies: Option<&str>, phase: &str) -> (f64, f64, u64, u64) {
    let rig = begin(setting(100.0, Duration::from_secs(2), copies));
    rig.phase(phase);
    sleep(Duration::from_secs(3));
    let from = rig.history.now();
    let used = |rig: &Rig| (0..SIZE).map(|place| rig.processor_ms(place)).sum::<u64>();
    let (processor, octets) = (used(&rig), rig.mesh.forwarded().1);
    sleep(WATCHED);
    let delays = delays(&rig.history.events(), from);
    let calls = delays.len() as f64;
    let processor = (used(&rig) - processor) as f64 * 1_000.0 / calls;
    let octets = (rig.mesh.forwarded().1 - octets) as f64 / calls;
    let part = |part: usize| delays[(delays.len() - 1) * part / 100];
    (processor, octets, part(50), part(99))
}

fn calls() {
    for phase in ["well", "slow"] {
        println!("{SIZE} members, 100 calls a second each, links {phase} (slow: a tenth lost, 20 ms)");
        let mut base = 0.0;
        let all = [None, Some("answer = \"at-once\""), Some("answer = \"after-copies\"")];
        for (copies, name) in all.into_iter().zip(["off", "at once", "after copies"]) {
            let mut plays: Vec<_> = (0..PLAYS).map(|_| play(copies, phase)).collect();
            plays.sort_by(|one, other| one.0.total_cmp(&other.0));
            let (processor, octets, median, late) = plays[PLAYS / 2];
            base = if copies.is_none() { processor } else { base };
            println!(
                "  {name:13} {processor:4.0} us of processor a call, {:.2} times; {octets:4.0} octets a call \
                 between members; answered after {median} ms (p50), {late} ms (p99)",
                processor / base
            );
        }
    }
}

fn losses() {
    for rate in [20.0, 100.0] {
        let mut took = Vec::new();
        let mut standing = 0;
        for _ in 0..PLAYS {
            let mut rig = begin(setting(rate, Duration::from_secs(9), Some("")));
            sleep(Duration::from_secs(9));
            let killed = rig.history.now();
            rig.kill(4);
            rig.lose_disk(4);
            rig.stop_server(0);
            let when = |rig: &Rig, text: &str| {
                let said = |what: &What| matches!(what, What::Logged { line, .. } if line.contains(text));
                rig.history.events().iter().find(|event| said(&event.what)).map(|event| event.at - killed)
            };
            rig.until(Duration::from_secs(30), "kept", |rig| when(rig, "takeover of stream").is_some());
            let findings = rig.finish();
            assert!(findings.broken.is_empty(), "{} broken, {:?}", findings.broken.len(), findings.broken[0]);
            standing = findings.taken;
            took.push((
                when(&rig, "takes over stream").unwrap_or(0),
                when(&rig, "takeover of stream").unwrap_or(0),
            ));
        }
        took.sort_unstable();
        println!(
            "a machine lost with its disk and {standing} calls, and a check server: settled after {} ms, all \
             kept after {} ms (median of {PLAYS} plays; worst {} and {}); calls stand for 9 s",
            took[PLAYS / 2].0,
            took[PLAYS / 2].1,
            took[PLAYS - 1].0,
            took.iter().map(|took| took.1).max().unwrap_or(0)
        );
    }
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores, seed {SEED}");
    // One part alone where it is named.
    let part = std::env::var("PART").unwrap_or_default();
    if part != "losses" {
        calls();
    }
    if part != "calls" {
        losses();
    }
}
