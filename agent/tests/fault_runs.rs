//! Short runs under several faults at once, by seed (`make fault-runs SEEDS=50`, `make fault-runs SEED=17`).
//! `FAULT_RUNS_PROGRAM` names another build of the program.

use std::path::PathBuf;
use std::sync::Mutex;

use steprelay_rig::fault_run::checker::Findings;
use steprelay_rig::fault_run::FaultRun;

/// Runs at once.
const AT_ONCE: usize = 6;
const SEEDS_IN_CI: u64 = 18;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().filter(|text| !text.is_empty()).map(|text| text.parse().expect("a number"))
}

fn numbers(name: &str) -> Vec<u64> {
    let text = std::env::var(name).unwrap_or_default();
    text.split_whitespace().map(|seed| seed.parse().expect("seeds")).collect()
}

fn play(seed: u64) -> Findings {
    let directory =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("fault-run-{}-{seed}", std::process::id()));
    let program =
        std::env::var("FAULT_RUNS_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_steprelay").into());
    let run = FaultRun { program: program.into(), directory, seed };
    let findings = run.run().expect("it can be played");
    let _ = std::fs::remove_dir_all(&run.directory);
    let answers = (findings.accepted, findings.refused, findings.failed);
    let releases = (findings.releases, findings.releases_of_gone);
    println!(
        "seed {seed}: sent {}, accepted/refused/failed {answers:?}, crossed {}, releases {releases:?}",
        findings.sent, findings.crossed
    );
    findings
}

#[test]
fn faults_that_come_together_break_no_rule() {
    let left_out = numbers("FAULT_RUNS_SKIP_SEEDS");
    let seeds: Vec<u64> = match number("FAULT_RUNS_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("FAULT_RUNS_SEEDS").unwrap_or(SEEDS_IN_CI))
            .filter(|seed| !left_out.contains(seed))
            .collect(),
    };
    let (waiting, failed) = (Mutex::new(seeds.into_iter()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let Some(seed) = waiting.lock().expect("not poisoned").next() else { return };
                let findings = play(seed);
                if !findings.broken.is_empty() {
                    failed.lock().expect("not poisoned").push((seed, findings));
                }
            });
        }
    });
    let failed = failed.into_inner().expect("not poisoned");
    for (seed, findings) in &failed {
        let (count, first) = (findings.broken.len(), &findings.broken[..findings.broken.len().min(8)]);
        println!(
            "make fault-runs SEED={seed}: {count} broken rules, first {first:#?}\n{}",
            findings.ways.join("\n\n")
        );
    }
    assert!(failed.is_empty(), "{} seeds failed", failed.len());
}
