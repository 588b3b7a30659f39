//! Several processes of the program, with faults between them. The rig's checker judges what callers,
//! servers and machines did; it shares no code with the program.

mod rigs;

use std::time::Instant;

use rigs::*;
use steprelay_faults::mesh::{partition, Rule};
use steprelay_rig::history::{Event, What};
use steprelay_rig::rig::{Rig, Setting};
use steprelay_rig::trouble::{self, Trouble};

#[test]
fn nine_processes_in_three_zones_get_their_turn_and_no_call_is_lost() {
    let mut rig = start(setting("nine", 9, 3));
    let (code, said) = rig.staff(4, &["roll", "--all", "--for", "5m"]);
    assert_eq!(code, 0, "{said}");
    rig.roll_on(seconds(110));
    let findings = good(&mut rig);
    let mut left = findings.left.clone();
    left.sort();
    assert_eq!(left, names(0..9), "each once\n{}", rig.told());
    assert_eq!((findings.most_away, findings.taken), (1, 0));
    assert!(findings.least_serving >= 8, "{findings:?}");
}

/// A rig whose machine `late` hears everything 1.5 s late in the phase of that name, some of it twice.
fn with_late(name: &str, size: usize, late: usize) -> Rig {
    let mut setting = setting(name, size, 3);
    let to = names([late]);
    let slow = Rule { to: to.clone(), delay_ms: (1_500, 1_500), duplicate: 0.5, ..Rule::default() };
    setting.plan.phases.push(phase("late", vec![slow]));
    setting.plan.phases.push(phase("cut", vec![Rule::cut(&to, &[], true)]));
    start(setting)
}

/// Work on a machine is granted and it has not heard of it yet.
fn granted_late(rig: &mut Rig, by: usize, machine: &str) {
    add(rig, by, machine);
    rig.phase("late");
    rig.until(seconds(20), "it is granted", |rig| rig.work_on(machine, by) == "granted");
}

fn never_leaves(rig: &mut Rig, for_: u64, machine: &str) {
    rig.always(seconds(for_), "it does not leave", |rig| rig.state(machine) != "standby");
}

#[test]
fn the_leader_dies_between_grant_and_delivery() {
    let mut rig = with_late("leader-dies", 5, 4);
    let leader = rig.leader().expect("one leads");
    let by = if leader == 1 { 2 } else { 1 };
    granted_late(&mut rig, by, "n5");
    rig.kill(leader);
    rig.phase("well");
    rig.until(seconds(30), "another leads", |rig| rig.leader().is_some());
    rig.run(leader);
    rig.roll_on(seconds(60));
    assert_eq!(good(&mut rig).left, names([4]));
}

#[test]
fn a_grant_that_comes_late_and_twice_after_its_withdrawal_moves_nobody() {
    let mut rig = with_late("withdrawn", 4, 3);
    granted_late(&mut rig, 0, "n4");
    let (code, said) = rig.staff(0, &["work", "withdraw", "n4"]);
    assert_eq!(code, 0, "{said}");
    never_leaves(&mut rig, 5, "n4");
    rig.phase("well");
    never_leaves(&mut rig, 2, "n4");
    assert_eq!(good(&mut rig).left, Vec::<String>::new());
}

#[test]
fn a_machine_that_is_cut_off_after_its_grant_does_not_leave() {
    let mut rig = with_late("cut-off", 4, 3);
    granted_late(&mut rig, 0, "n4");
    rig.phase("cut");
    never_leaves(&mut rig, 6, "n4");
    rig.phase("well");
    rig.roll_on(seconds(60));
    assert_eq!(good(&mut rig).left, names([3]));
}

#[test]
fn a_holder_that_stalls_and_wakes_believing_asks_first() {
    let mut rig = with_late("holder-stalls", 5, 4);
    granted_late(&mut rig, 0, "n5");
    rig.stall(4);
    rig.phase("well");
    rig.until(seconds(10), "it is missed", |rig| {
        rig.members(0).unwrap_or_default().iter().any(|row| row["name"] == "n5" && row["state"] != "alive")
    });
    let (code, said) = rig.staff(0, &["work", "withdraw", "n5"]);
    assert_eq!(code, 0, "{said}");
    add(&rig, 0, "n4");
    // Whoever is stalled counts as out.
    rig.always(seconds(8), "nobody else goes", |rig| rig.work_on("n4", 0) == "requested");
    rig.go_on(4);
    never_leaves(&mut rig, 1, "n5");
    rig.roll_on(seconds(60));
    assert_eq!(good(&mut rig).left, names([3]));
}

#[test]
fn a_leader_that_stalls_is_replaced_and_obeyed_no_more() {
    let mut rig = start(setting("leader-stalls", 5, 3));
    let leader = rig.leader().expect("one leads");
    let by = if leader == 0 { 1 } else { 0 };
    let (code, said) = rig.staff(by, &["roll", "--all"]);
    assert_eq!(code, 0, "{said}");
    rig.until(seconds(30), "one is out", |rig| {
        (0..5).any(|p| rig.work_on(&format!("n{}", p + 1), by) == "out")
    });
    rig.stall(leader);
    rig.until(seconds(20), "another leads", |rig| rig.leader().is_some_and(|now| now != leader));
    rig.always(seconds(8), "it leads on", |rig| rig.leader() != Some(leader));
    rig.go_on(leader);
    rig.roll_on(seconds(100));
    let findings = good(&mut rig);
    assert_eq!(findings.most_away, 1);
}

#[test]
fn cuts_of_every_form_grant_nothing_without_a_majority() {
    let mut setting = setting("cuts", 6, 3);
    let halves = partition(&[names([0, 3]), names([1, 2, 4, 5])]);
    let thirds = partition(&[names([0, 3]), names([1, 4]), names([2, 5])]);
    setting.plan.phases.push(phase("halves", halves));
    setting.plan.phases.push(phase("thirds", thirds));
    setting.plan.phases.push(phase("deaf", vec![Rule::cut(&[], &names([0]), false)]));
    let mut rig = start(setting);
    rig.phase("halves");
    rig.until(seconds(20), "the majority leads", |rig| rig.leader().is_some_and(|leader| leader % 3 != 0));
    let (code, said) = rig.staff(3, &["work", "add", "n4", "--for", "1m"]);
    assert_eq!(code, 1, "{said}");
    assert!(said.contains("no majority of the consensus group responds"), "{said}");
    rig.phase("well");
    rig.until(seconds(40), "votes are spread over the zones", |rig| {
        let rows = rig.members(1).unwrap_or_default();
        let mut zones: Vec<_> =
            rows.iter().filter(|row| row["voter"] == true).map(|row| &row["zone"]).collect();
        zones.sort_by_key(|zone| zone.as_str());
        zones.dedup();
        zones.len() == 3
    });
    rig.phase("thirds");
    rig.until(seconds(20), "nobody leads", |rig| rig.leader().is_none());
    let (code, said) = rig.staff(1, &["work", "add", "n2", "--for", "1m"]);
    assert_eq!(code, 1, "{said}");
    rig.phase("well");
    rig.settle();
    let (code, said) = rig.staff(1, &["roll", "--zone", "z2"]);
    assert_eq!(code, 0, "{said}");
    rig.phase("deaf");
    rig.always(seconds(5), "one at most", |rig| {
        (0..6).filter(|p| rig.state(rig.name(*p)) == "standby").count() < 2
    });
    // One that heals and comes back every 2 s.
    for _ in 0..3 {
        rig.phase("halves");
        rig.always(seconds(2), "runs", |rig| rig.runs(0));
        rig.phase("well");
        rig.always(seconds(2), "runs", |rig| rig.runs(0));
    }
    rig.roll_on(seconds(90));
    let mut left = good(&mut rig).left;
    left.dedup();
    assert_eq!(left.len(), 2, "{left:?}");
}

#[test]
fn a_machine_that_never_comes_back_keeps_the_others_in_until_staff_speak() {
    let mut rig = start(setting("never-back", 4, 2));
    add(&rig, 0, "n4");
    assert_eq!(rig.staff(0, &["work", "wait", "n4", "--within", "30s"]).0, 0, "{}", rig.told());
    rig.kill(3);
    add(&rig, 0, "n2");
    rig.always(seconds(8), "nobody else goes", |rig| rig.work_on("n2", 0) == "requested");
    let (_, said) = rig.staff(1, &["explain", "n2"]);
    assert!(said.contains("n2: not yet, because 1 machines are out"), "{said}");
    assert_eq!(rig.staff(0, &["work", "done", "n4"]).0, 0);
    rig.until(seconds(20), "it is lost", |rig| rig.work_on("n4", 0) == "lost");
    assert_eq!(rig.staff(0, &["work", "withdraw", "n4"]).0, 0);
    assert_eq!(rig.staff(0, &["forget", "n4"]).0, 0);
    assert_eq!(rig.staff(0, &["work", "wait", "n2", "--within", "30s"]).0, 0, "{}", rig.told());
    assert_eq!(rig.staff(2, &["work", "done", "n2"]).0, 0);
    rig.until(seconds(20), "it is done", |rig| rig.work_on("n2", 0) == "done");
    // The checker counts the dead one; staff have said that it is gone.
    let broken = rig.finish().broken;
    assert!(broken.iter().all(|line| line.contains("n2 leaves")), "{broken:?}");
}

#[test]
fn one_that_crashes_while_it_drains_is_lost_and_comes_back() {
    let mut rig = start(setting("crash-draining", 4, 2));
    add(&rig, 0, "n4");
    rig.until(seconds(30), "it drains", |rig| rig.state("n4") == "standby");
    rig.kill(3);
    rig.until(seconds(20), "it is lost", |rig| matches!(&*rig.work_on("n4", 0), "lost" | "out"));
    rig.run(3);
    rig.until(seconds(20), "it starts", |rig| matches!(&*rig.state("n4"), "standby" | "serving"));
    if rig.work_on("n4", 0) == "out" {
        assert_eq!(rig.staff(0, &["work", "done", "n4"]).0, 0);
    }
    rig.until(seconds(20), "it is done", |rig| {
        rig.work_on("n4", 0) == "done" && rig.state("n4") == "serving"
    });
    good(&mut rig);
}

#[test]
fn a_voter_without_its_disk_and_one_with_an_older_one_begin_anew() {
    let mut rig = start(setting("disks", 4, 2));
    rig.kill(1);
    rig.lose_disk(1);
    rig.run(1);
    rig.settle();
    let voter = |rig: &Rig| {
        let rows = rig.members(0).unwrap_or_default();
        let votes =
            |place: &usize| rows.iter().any(|row| row["name"] == rig.name(*place) && row["voter"] == true);
        (1..4).find(votes)
    };
    let old = voter(&rig).expect("another votes");
    rig.kill(old);
    let copy = rig.copy_disk(old);
    rig.run(old);
    rig.settle();
    rig.kill(old);
    rig.restore_disk(old, &copy);
    rig.run(old);
    rig.until(seconds(20), "it is found out", |rig| rig.told().contains("the directory is an older copy"));
    rig.settle();
    add(&rig, 0, "n3");
    rig.roll_on(seconds(60));
    good(&mut rig);
}

#[test]
fn most_machines_restart_within_seconds_during_a_roll() {
    let mut rig = start(setting("restarts", 7, 3));
    assert_eq!(rig.staff(0, &["roll", "--zone", "z1"]).0, 0);
    rig.until(seconds(30), "one is out", |rig| {
        rig.work(0).unwrap_or_default().iter().any(|row| row["state"] == "out")
    });
    for place in 1..7 {
        rig.kill(place);
        rig.run(place);
    }
    rig.settle();
    rig.roll_on(seconds(90));
    good(&mut rig);
}

#[test]
fn a_council_that_is_lost_for_good_serves_on_and_is_founded_anew() {
    let mut rig = start(setting("refound", 5, 3));
    // The founders vote: two of them go for good.
    for place in [0, 1] {
        rig.kill(place);
        rig.lose_disk(place);
    }
    rig.until(seconds(20), "nobody leads", |rig| rig.leader().is_none());
    let (code, said) = rig.staff(3, &["work", "add", "n4", "--for", "1m"]);
    assert_eq!(code, 1, "{said}");
    rig.always(seconds(3), "they serve on", |rig| {
        (2..5).all(|place| rig.state(rig.name(place)) == "serving")
    });
    rig.until(seconds(10), "it is founded anew", |rig| rig.staff(3, &["refound"]).0 == 0);
    rig.run(0);
    rig.run(1);
    rig.settle();
    add(&rig, 2, "n5");
    rig.roll_on(seconds(60));
    good(&mut rig);
}

#[test]
fn loss_delay_and_doubling_all_the_while_lose_no_turn() {
    let mut setting = setting("bad-network", 5, 3);
    let bad = Rule { drop: 0.1, duplicate: 0.2, delay_ms: (0, 60), reorder: 0.1, ..Rule::default() };
    setting.plan.phases.push(phase("bad", vec![bad]));
    let mut rig = start(setting);
    rig.phase("bad");
    assert_eq!(rig.staff(1, &["roll", "--zone", "z2"]).0, 0);
    rig.roll_on(seconds(110));
    let findings = good(&mut rig);
    assert_eq!(findings.left.len(), 2, "{findings:?}");
    let record = steprelay_faults::mesh::count_outcomes(&rig.mesh.decisions());
    assert!(
        ["dropped", "duplicated", "delayed", "reordered"].iter().all(|what| record[what] > 10),
        "{record:?}"
    );
}

/// Three faults at a time from a seed, while machines are worked on. `RIG_SEEDS=20` for more seeds.
#[test]
fn three_faults_at_once_break_no_bound() {
    let seeds: u64 = std::env::var("RIG_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    let only: Option<u64> = std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok());
    let (mut broken, mut left) = (Vec::new(), 0);
    for seed in only.map_or(1..=seeds, |seed| seed..=seed) {
        let mut setting = setting("trouble", 5, 3);
        setting.plan.seed = seed;
        setting.plan.phases.extend(trouble::phases(&names(0..5)));
        let mut rig = start(setting);
        let mut trouble = Trouble::new(seed);
        (0..2).for_each(|_| trouble.round(&mut rig));
        rig.roll_on(seconds(90));
        let findings = rig.finish();
        println!("seed {seed}: {} left, {:?}", findings.left.len(), trouble.done);
        left += findings.left.len();
        if !findings.broken.is_empty() {
            println!("{}", rig.told());
            broken.push((seed, findings.broken));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(left > 0, "nobody left");
}

/// Each machine is started on the newest program while it is out. What the older one does not know is refused
/// until then, and whoever goes back to it is told why it can't.
#[test]
fn the_roll_itself_upgrades_every_machine_and_versions_are_mixed_meanwhile() {
    let mut rig = start(Setting { old: (0..5).collect(), ..setting("versions", 5, 3) });
    let pause = ["pause", "--reason", "an incident"];
    let mut upgraded = 0;
    assert_eq!(rig.staff(0, &["roll", "--all"]).0, 0);
    rig.roll_with(seconds(110), |rig, place| {
        let (code, said) = rig.staff(place, &pause);
        assert!(code == 1 && said.contains("speaks 1.0, and this needs 1.1 everywhere"), "{code} {said}");
        rig.kill(place);
        rig.upgrade(place);
        rig.run(place);
        rig.until(seconds(20), "it is back", |rig| rig.state(rig.name(place)) == "standby");
        upgraded += 1;
        let spoken = |rig: &Rig, version: &str| {
            let rows = rig.members((place + 1) % 5).unwrap_or_default();
            rows.iter().filter(|row| row["version"] == version).count()
        };
        rig.until(seconds(20), "versions are known", |rig| {
            (spoken(rig, "1.0"), spoken(rig, "1.2")) == (5 - upgraded, upgraded)
        });
    });
    assert_eq!(upgraded, 5);
    rig.until(seconds(20), "all may pause", |rig| rig.staff(1, &pause).0 == 0);
    add(&rig, 2, "n4");
    rig.until(seconds(5), "it is known", |rig| rig.work_on("n4", 0) == "requested");
    rig.always(seconds(4), "nobody goes", |rig| rig.work_on("n4", 0) == "requested");
    let (_, said) = rig.staff(1, &["explain", "n4"]);
    assert!(said.contains("n4: not yet, because all work is paused: an incident"), "{said}");
    assert_eq!(rig.staff(4, &["resume"]).0, 0);
    rig.roll_on(seconds(60));
    let findings = good(&mut rig);
    assert_eq!((findings.left.len(), findings.most_away), (6, 1), "{findings:?}");
}

#[test]
fn one_that_is_overdue_stays_counted_and_is_given_more_time() {
    let mut rig = start(setting("overdue", 4, 2));
    let asked = ["work", "add", "n4", "--for", "1s", "--reason", "a test"];
    assert_eq!(rig.staff(0, &asked).0, 0);
    rig.until(seconds(30), "it is overdue", |rig| rig.work_on("n4", 1) == "overdue");
    assert!(rig.told().contains("work on n4 is overdue"), "{}", rig.told());
    let (code, said) = rig.staff(0, &["work", "wait", "n4", "--within", "1s"]);
    assert!(code == 1 && said.contains("work on n4 is overdue"), "{code} {said}");
    add(&rig, 0, "n2");
    rig.always(seconds(4), "nobody else goes", |rig| rig.work_on("n2", 0) == "requested");
    assert_eq!(rig.staff(2, &["work", "extend", "n4", "--for", "10m"]).0, 0);
    rig.until(seconds(10), "it has time", |rig| rig.work_on("n4", 0) == "out");
    rig.roll_on(seconds(60));
    assert_eq!(good(&mut rig).left, names([3, 1]));
}

/// A machine that is out and starts again takes nothing, from its first answer on: it served for some
/// milliseconds until its directory was heeded.
#[test]
fn one_that_starts_while_it_is_out_serves_at_no_moment() {
    let mut rig = start(setting("out-restarts", 3, 3));
    add(&rig, 0, "n3");
    assert_eq!(rig.staff(0, &["work", "wait", "n3", "--within", "30s"]).0, 0, "{}", rig.told());
    for _ in 0..5 {
        rig.kill(2);
        rig.run(2);
        // Asked without a pause, so that its first moment is seen.
        let (mut answers, until) = (Vec::new(), Instant::now() + seconds(20));
        while answers.len() < 50 {
            assert!(Instant::now() < until, "it does not answer: {}", rig.told());
            answers.extend(rig.operator(2, "status"));
        }
        assert!(answers.iter().all(|answer| answer == "standby"), "{answers:?}");
    }
    rig.roll_on(seconds(60));
    assert_eq!(good(&mut rig).left, names([2]));
}

/// An empty list would be taken for the council's word that nothing is open.
#[test]
fn one_that_never_heard_of_a_council_says_so() {
    let mut setting = setting("unheard", 3, 3);
    setting.rate = 0.0;
    setting.plan.phases.insert(0, phase("cut", vec![Rule::cut(&[], &[], true)]));
    let mut rig = Rig::start(setting);
    let (code, said) = rig.staff(1, &["work", "list", "--json"]);
    assert!(code == 1 && said.contains("the cluster state is not known yet"), "{code} {said}");
    rig.phase("well");
    rig.settle();
    let (code, said) = rig.staff(1, &["work", "list", "--json"]);
    assert_eq!((code, said.trim()), (0, "[]"));
}

/// Strangers are told why they are refused.
#[test]
fn another_cluster_and_another_version_get_a_told_refusal() {
    use std::io::{Read, Write};
    let mut rig = Rig::start(setting("strangers", 1, 1));
    rig.settle();
    let told = |bytes: &[u8]| {
        let mut stream = std::net::TcpStream::connect(rig.mesh.proxy_addresses()[0]).expect("a front");
        stream.set_read_timeout(Some(seconds(5))).expect("settable");
        stream.write_all(bytes).expect("taken");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    // A length, a version and nothing that can be read.
    assert!(told(&[0, 0, 0, 5, 0, 9, 0, 0, 0]).contains("version 9.0 is spoken there, and 1.2 here"));
    assert!(told(&[0, 0, 0, 6, 0, 1, 0, 0, 255, 255]).contains("a frame can't be read"));
    assert!(told(&[0xff; 8]).contains("too long"));
    assert!(told(&[]).contains("no greeting came"));
    let (code, said) = rig.staff(0, &["members", "--json"]);
    assert_eq!(code, 0, "{said}");
}

#[test]
fn a_check_server_under_work_gets_no_set_ups_from_anybody() {
    let mut rig = start(setting("server", 3, 3));
    let (code, said) = rig.staff(0, &["work", "add", "s-00000009", "--for", "1m"]);
    assert!(code == 1 && said.contains("no machine of that name is known"), "{code} {said}");
    add(&rig, 0, "s-00000001");
    assert_eq!(rig.staff(2, &["work", "wait", "s-00000001", "--within", "30s"]).0, 0, "{}", rig.told());
    let out = rig.history.now();
    rig.always(seconds(3), "it stays out", |rig| rig.work_on("s-00000001", 1) == "out");
    // One that starts meanwhile knows of it from its directory.
    rig.kill(2);
    rig.run(2);
    rig.until(seconds(20), "it serves again", |rig| rig.state("n3") == "serving");
    rig.always(seconds(2), "it stays out", |rig| rig.work_on("s-00000001", 1) == "out");
    let until = rig.history.now();
    assert_eq!(rig.staff(1, &["work", "done", "s-00000001"]).0, 0);
    rig.until(seconds(20), "it is done", |rig| rig.work_on("s-00000001", 0) == "done");
    let asked = |rig: &Rig, from: u64, until: u64| {
        let of = |event: &&Event| matches!(event.what, What::Asked { server: 1, .. });
        rig.history.events().iter().filter(of).filter(|event| (from..until).contains(&event.at)).count()
    };
    assert_eq!(asked(&rig, out, until), 0, "set-ups went to a machine that is out");
    rig.until(seconds(20), "it is used again", |rig| asked(rig, until, u64::MAX) > 0);
    good(&mut rig);
}

#[test]
fn one_that_stops_in_order_has_left_and_comes_back() {
    let mut rig = start(setting("left", 3, 3));
    rig.stop(2);
    let health = |rig: &Rig| {
        let rows = rig.members(0).unwrap_or_default();
        let row = rows.iter().find(|row| row["name"] == "n3");
        row.and_then(|row| row["state"].as_str()).unwrap_or("").to_string()
    };
    rig.until(seconds(5), "it has left", |rig| health(rig) == "left");
    // Whoever is not there counts as out, whatever the reason.
    add(&rig, 0, "n1");
    rig.always(seconds(3), "nobody goes", |rig| rig.work_on("n1", 0) == "requested");
    rig.run(2);
    rig.settle();
    rig.roll_on(seconds(60));
    good(&mut rig);
}
