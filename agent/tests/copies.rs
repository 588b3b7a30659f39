//! What call agents hold for others, with real processes that are lost, stalled or cut off. The rig's checker
//! judges: each call that stood gets its release, within the protocol's time, once; nobody is answered twice.

mod rigs;

use std::time::Duration;

use rigs::*;
use steprelay_rig::history::What;
use steprelay_rig::rig::{Rig, Setting};

const AFTER: &str = "answer = \"after-copies\"";
const AT_ONCE: &str = "answer = \"at-once\"";

fn copied(name: &str, size: usize, copies: &str) -> Setting {
    Setting {
        holds: Duration::from_millis(2_500),
        rate: 20.0,
        copies: Some(copies.into()),
        ..setting(&format!("copies-{name}"), size, 3)
    }
}

fn begin(setting: Setting) -> Rig {
    let mut rig = start(setting);
    rig.always(seconds(4), "calls come to stand", |rig| rig.runs(0));
    rig
}

/// How often a machine said something.
fn said(rig: &Rig, text: &str) -> usize {
    let logged = |what: &What| matches!(what, What::Logged { line, .. } if line.contains(text));
    rig.history.events().iter().filter(|event| logged(&event.what)).count()
}

#[test]
fn three_processes_without_a_fault_lose_nothing_and_hold_each_others_promises() {
    let mut rig = begin(copied("calm", 3, AFTER));
    for place in 0..3 {
        let (code, said) = rig.staff(place, &["copies", "--json"]);
        assert_eq!(code, 0, "{said}");
        let rows: Vec<serde_json::Value> = serde_json::from_str(&said).expect("rows");
        let own = rows.iter().find(|row| row["holders"].as_array().is_some_and(|held| held.len() == 2));
        assert!(own.is_some_and(|row| row["records"].as_u64() > Some(10)), "{said}");
        let held = rows
            .iter()
            .filter(|row| row["holders"][0] == rig.name(place) && row["records"].as_u64() > Some(10));
        assert_eq!(held.count(), 2, "{said}");
    }
    assert_eq!(good(&mut rig).taken, 0);
}

/// A machine is lost with its directory while its calls stand, are set up and are released.
#[test]
fn a_machine_that_is_lost_with_its_directory_takes_no_promise_along() {
    for (name, copies) in [("lost", AFTER), ("lost-at-once", AT_ONCE)] {
        let mut rig = begin(copied(name, 5, copies));
        rig.kill(3);
        rig.lose_disk(3);
        rig.until(seconds(15), "it is succeeded", |rig| said(rig, "takes over what stream") > 0);
        rig.until(seconds(15), "all is kept", |rig| said(rig, "promised is kept") > 0);
        let findings = good(&mut rig);
        assert!(findings.taken > 20, "{findings:?}");
    }
}
