//! A process that is told to stop while its clients go on, on seeds (`make soak SEEDS=50`, `make soak
//! SEED=17`, and `DEADLINE_MS=300` for calls of another deadline).

use std::path::PathBuf;
use std::sync::Mutex;

use steprelay_rig::soak::checker::Findings;
use steprelay_rig::soak::Soak;

/// Runs at once: each has a busy client of its own.
const AT_ONCE: usize = 3;
/// Seeds of a run in CI: most kinds of servers, with and without a crowd, M3UA and bad clients.
const SEEDS_IN_CI: u64 = 12;
/// The same for each of the other deadlines.
const SEEDS_OF_A_DEADLINE_IN_CI: u64 = 4;
/// The deadline of every class, in milliseconds, where no other is asked for.
const DEADLINE: u64 = 3_000;
/// Shorter and longer ones: SIGKILL follows min(the longest, 3 s) and 0.7 s after SIGTERM.
const OTHER_DEADLINES: [u64; 3] = [300, 800, 9_000];

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().filter(|text| !text.is_empty()).map(|text| text.parse().expect("a number"))
}

fn numbers(name: &str) -> Vec<u64> {
    let text = std::env::var(name).unwrap_or_default();
    text.split_whitespace().map(|seed| seed.parse().expect("seeds")).collect()
}

fn play(seed: u64, deadline: u64) -> Findings {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("soak-{}-{deadline}-{seed}", std::process::id()));
    let soak = Soak { program: env!("CARGO_BIN_EXE_steprelay").into(), directory, seed, deadline };
    let findings = soak.run().expect("it can be played");
    let _ = std::fs::remove_dir_all(&soak.directory);
    let (sent, lost, crossed, killed) = (findings.sent, findings.lost, findings.crossed, findings.killed);
    let answers = (findings.accepted, findings.refused, findings.failed);
    let ended = findings.ended_after;
    print!("seed {seed}, deadline {deadline} ms: sent {sent}, accepted/refused/failed {answers:?}, ");
    println!("crossed {crossed}, lost {lost}");
    println!("seed {seed}: killed {killed}, ended after {ended:?} ms");
    findings
}

/// Every set-up gets one final answer, whenever it comes; the process ends by itself before it is killed.
#[test]
fn a_process_that_is_told_to_stop_answers_every_call_and_ends_by_itself() {
    let left_out = numbers("SOAK_SKIP_SEEDS");
    let deadline = number("SOAK_DEADLINE_MS").unwrap_or(DEADLINE);
    let seeds: Vec<u64> = match number("SOAK_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("SOAK_SEEDS").unwrap_or(SEEDS_IN_CI))
            .filter(|seed| deadline != DEADLINE || !left_out.contains(seed))
            .collect(),
    };
    play_all(seeds.into_iter().map(|seed| (seed, deadline)).collect());
}

#[test]
fn a_process_whose_calls_have_another_deadline_ends_before_its_kill() {
    let plays = OTHER_DEADLINES
        .iter()
        .flat_map(|deadline| (1..=SEEDS_OF_A_DEADLINE_IN_CI).map(move |seed| (seed, *deadline)));
    play_all(plays.collect());
}

/// Plays these seeds, each with a deadline, and demands that no rule was broken.
fn play_all(plays: Vec<(u64, u64)>) {
    let (waiting, failed) = (Mutex::new(plays.into_iter()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let Some((seed, deadline)) = waiting.lock().expect("not poisoned").next() else { return };
                let findings = play(seed, deadline);
                if !findings.broken.is_empty() {
                    failed.lock().expect("not poisoned").push((seed, deadline, findings));
                }
            });
        }
    });
    let failed = failed.into_inner().expect("not poisoned");
    for (seed, deadline, findings) in &failed {
        let (count, first) = (findings.broken.len(), &findings.broken[..findings.broken.len().min(3)]);
        println!(
            "make soak SEED={seed} DEADLINE_MS={deadline}: {count} broken rules, first {first:#?}\n{}",
            findings.log.join("\n")
        );
    }
    assert!(failed.is_empty(), "{} seeds failed", failed.len());
}
