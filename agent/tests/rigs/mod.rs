//! What the stories with several real processes have in common.
#![allow(dead_code)]

use std::path::PathBuf;
use std::time::Duration;

use steprelay_faults::mesh::{Phase, Plan, Rule};
use steprelay_rig::checker::Findings;
use steprelay_rig::rig::{Rig, Setting};

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn setting(name: &str, size: usize, zones: usize) -> Setting {
    Setting {
        program: PathBuf::from(env!("CARGO_BIN_EXE_steprelay")),
        // Runs of one test at the same time have a folder each.
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{name}", std::process::id())),
        size,
        zones,
        most_out: 1,
        calm_s: 0.5,
        rate: 10.0,
        fleet: true,
        holds: Duration::from_millis(250),
        copies: None,
        old: Vec::new(),
        plan: Plan { seed: 7, phases: vec![phase("well", Vec::new())] },
    }
}

pub fn phase(name: &str, rules: Vec<Rule>) -> Phase {
    Phase { name: name.into(), rules }
}

pub fn names(places: impl IntoIterator<Item = usize>) -> Vec<String> {
    places.into_iter().map(|place| format!("n{}", place + 1)).collect()
}

pub fn start(setting: Setting) -> Rig {
    let mut rig = Rig::start(setting);
    rig.settle();
    rig.call();
    rig
}

pub fn add(rig: &Rig, by: usize, machine: &str) {
    let (code, said) = rig.staff(by, &["work", "add", machine, "--for", "10m", "--reason", "a test"]);
    assert_eq!(code, 0, "{said}\n{}", rig.told());
}

/// All rules held, and there were calls.
pub fn good(rig: &mut Rig) -> Findings {
    let findings = rig.finish();
    assert!(findings.broken.is_empty(), "{:#?}\n{}", findings.broken, rig.told());
    assert!(findings.stood > 50, "{findings:?}");
    findings
}
