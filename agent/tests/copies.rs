//! What call agents hold for others, with real processes that are lost, stalled or cut off. The rig's checker
//! judges: each call that stood gets its release, within the protocol's time, once; nobody is answered twice.

mod rigs;

use std::time::Duration;

use rigs::*;
use steprelay_faults::mesh::Rule;
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
        let (_, said) = rig.staff(place, &["copies"]);
        assert!(said.contains(&format!("{} may be lost now: ", rig.name(place))), "{said}");
    }
    assert_eq!(good(&mut rig).taken, 0);
}

/// A machine is lost with its directory while its calls stand, are set up and are released; and with it the
/// check server that would have said when some of them end. Only who holds copies can give their releases.
#[test]
fn a_machine_that_is_lost_with_its_directory_takes_no_promise_along() {
    for (name, copies) in [("lost", AFTER), ("lost-at-once", AT_ONCE)] {
        let mut rig = begin(copied(name, 5, copies));
        rig.kill(3);
        rig.lose_disk(3);
        rig.stop_server(0);
        kept(&mut rig, 1);
        let findings = good(&mut rig);
        assert!(findings.taken > 20, "{findings:?}");
    }
}

/// So many streams were taken over, and all that they promised was kept.
fn kept(rig: &mut Rig, streams: usize) {
    rig.until(seconds(20), "it is succeeded", |rig| said(rig, "takes over stream") >= streams);
    rig.until(seconds(20), "all is kept", |rig| said(rig, "takeover of stream") >= streams);
}

/// Two machines at once; a whole zone; the council's leader with another one.
#[test]
fn as_many_machines_as_were_reckoned_with_are_lost_at_once() {
    let mut rig = begin(copied("two", 5, "needed = 2"));
    let leader = rig.leader().expect("one leads");
    let rows = rig.members(leader).expect("it answers");
    let votes =
        |place: &usize| rows.iter().any(|row| row["name"] == rig.name(*place) && row["voter"] == true);
    let other = (0..5).find(|place| !votes(place)).expect("not all vote");
    for place in [leader, other] {
        rig.kill(place);
        rig.lose_disk(place);
    }
    rig.stop_server(0);
    kept(&mut rig, 2);
    good(&mut rig);
}

/// The one that takes over is lost while it does so.
#[test]
fn the_owner_and_then_its_successor_are_lost() {
    let mut setting = copied("successor", 6, "needed = 2");
    setting.holds = Duration::from_secs(7);
    let mut rig = begin(setting);
    rig.kill(4);
    rig.lose_disk(4);
    let successor = |rig: &Rig| {
        let events = rig.history.events();
        let line = events.iter().find_map(|event| match &event.what {
            What::Logged { line, .. } if line.contains("takes over stream") => Some(line.clone()),
            _ => None,
        })?;
        let name = line.strip_prefix("fleet: ")?.split(' ').next()?.to_string();
        Some(rig.place(&name))
    };
    rig.until(seconds(15), "it is succeeded", |rig| successor(rig).is_some());
    let place = successor(&rig).expect("it is known");
    rig.kill(place);
    rig.lose_disk(place);
    rig.stop_server(0);
    kept(&mut rig, 2);
    good(&mut rig);
}

/// One that is stalled and wakes finds out before its next word. After 3 s nobody has taken over; after 10 s
/// somebody has, and has given the releases of the calls that stood at a check server that is gone. What
/// stands at another one ends while it sleeps, and after that.
#[test]
fn an_owner_that_wakes_says_nothing_of_what_another_has_taken_over() {
    for (for_, succeeded) in [(3, false), (10, true)] {
        let mut setting = copied(&format!("stalls-{for_}"), 5, AFTER);
        setting.holds = Duration::from_secs(for_ + 2);
        let mut rig = begin(setting);
        rig.stall(2);
        rig.stop_server(0);
        rig.always(seconds(for_), "others serve", |rig| rig.runs(1));
        assert_eq!(said(&rig, "takes over stream") > 0, succeeded, "{}", rig.told());
        rig.go_on(2);
        rig.settle();
        rig.always(seconds(3), "calls go on", |rig| rig.runs(2));
        good(&mut rig);
    }
}

/// What its holders confirm does not reach the owner; then it is lost. Set-ups went out, and were answered,
/// that no caller was told of: they are ended at their servers or wait there for their end, with an owner.
#[test]
fn what_was_not_told_yet_is_left_standing_nowhere() {
    let mut setting = copied("unconfirmed", 5, AFTER);
    setting.holds = Duration::from_secs(20);
    setting.rate = 5.0;
    let all = |from: &str, to: &str| Rule::cut(&[from.to_string()], &[to.to_string()], false);
    let rules = ["n1", "n2", "n4", "n5"].map(|from| all(from, "n3")).to_vec();
    setting.plan.phases.push(phase("deaf", rules));
    let mut rig = begin(setting);
    rig.phase("deaf");
    rig.always(seconds(1), "it calls on", |rig| rig.runs(2));
    rig.kill(2);
    rig.lose_disk(2);
    rig.phase("well");
    rig.until(seconds(20), "it is succeeded", |rig| said(rig, "takes over stream") > 0);
    rig.always(seconds(4), "they are ended", |rig| rig.runs(1));
    good(&mut rig);
}

/// Words between members are lost, doubled, late and out of order all the while.
#[test]
fn a_bad_network_loses_no_promise() {
    let mut setting = copied("bad", 5, AFTER);
    let bad = Rule { drop: 0.1, duplicate: 0.3, delay_ms: (0, 40), reorder: 0.1, ..Rule::default() };
    setting.plan.phases.push(phase("bad", vec![bad]));
    let mut rig = start(setting);
    rig.phase("bad");
    rig.always(seconds(4), "calls come to stand", |rig| rig.runs(0));
    rig.kill(4);
    rig.lose_disk(4);
    rig.stop_server(1);
    kept(&mut rig, 1);
    good(&mut rig);
}

/// All machines are worked on under load, and one is lost in the middle of it.
#[test]
fn a_roll_with_a_crash_in_the_middle_of_it_loses_no_promise() {
    let mut setting = copied("roll", 5, AFTER);
    setting.holds = Duration::from_secs(1);
    let mut rig = start(setting);
    assert_eq!(rig.staff(0, &["roll", "--zone", "z1"]).0, 0);
    rig.until(seconds(30), "one goes", |rig| rig.state("n1") == "standby" || rig.state("n4") == "standby");
    rig.kill(2);
    rig.lose_disk(2);
    kept(&mut rig, 1);
    rig.run(2);
    rig.settle();
    rig.roll_on(seconds(60));
    good(&mut rig);
}

/// One that stops in order has said its last word: what stands there is another's at once, also with one
/// copy.
#[test]
fn a_machine_that_stops_in_order_hands_over_what_stands() {
    let mut setting = copied("stops", 4, "copies = 1");
    setting.holds = Duration::from_secs(5);
    let mut rig = begin(setting);
    let leader = rig.leader().expect("one leads");
    let place = (leader + 1) % 4;
    rig.stop(place);
    rig.stop_server(0);
    rig.until(seconds(3), "no lease is waited for", |rig| said(rig, "takes over stream") > 0);
    kept(&mut rig, 1);
    let findings = good(&mut rig);
    assert!(findings.taken > 20, "{findings:?}");
}
