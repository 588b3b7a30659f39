//! What follows from the log, entry by entry: a table of commands and what becomes of each.

use std::collections::BTreeSet;

use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry, Outcome, Rejection, Voter};
use steprelay_fleet::maintenance::{Event, State, TargetKind};

#[derive(Default)]
struct Log {
    cluster_state: ClusterState,
    count: u64,
}

impl Log {
    /// Machines n1 to n6 in zones z1, z2, z1, z2 and so on, all to be worked on.
    fn new() -> Self {
        let mut log = Log::default();
        for number in 1..=6 {
            let zone = format!("z{}", (number + 1) % 2 + 1);
            log.say(Command::Join { name: format!("n{number}"), zone, minor: 1 }).expect("joins");
            log.add(&format!("n{number}"), &[]).expect("asked for");
        }
        log
    }

    fn say(&mut self, command: Command) -> Outcome {
        self.count += 1;
        let id = CommandId { origin: 1, count: self.count };
        self.cluster_state.apply(&LogEntry { id, at_ms: self.count * 1_000, command })
    }

    fn add(&mut self, machine: &str, after: &[&str]) -> Outcome {
        self.say(Command::Add {
            machine: machine.into(),
            kind: TargetKind::Agent,
            zone: String::new(),
            reason: String::new(),
            for_ms: 5_000,
            after: after.iter().map(|name| name.to_string()).collect(),
            within_ms: None,
        })
    }

    /// Decided by the present state.
    fn approval(&mut self, machine: &str, max_out: u32) -> Outcome {
        let base_version = self.cluster_state.version;
        self.say(Command::Approve { machine: machine.into(), base_version, max_out })
    }

    fn about(&mut self, machine: &str, approval: u64, event: Event) -> Outcome {
        self.say(Command::ReportEvent { machine: machine.into(), approval, event })
    }

    fn state(&self, machine: &str) -> Option<State> {
        self.cluster_state.open_request(machine).map(|item| item.state)
    }
}

#[test]
fn whoever_leads_the_log_holds_to_its_bounds() {
    let mut log = Log::new();
    assert_eq!(log.approval("n1", 1), Ok(()));
    assert_eq!(log.approval("n3", 1), Err(Rejection::TooManyOut(1, 1)));
    assert_eq!(log.approval("n2", 2), Err(Rejection::OtherZone("z1".into())));
    assert_eq!(log.approval("n3", 2), Ok(()), "of the same zone");
    assert_eq!(log.approval("n5", 2), Err(Rejection::TooManyOut(2, 2)));
    let base_version = log.cluster_state.version - 1;
    let version = log.cluster_state.version;
    let stale = log.say(Command::Approve { machine: "n5".into(), base_version, max_out: 9 });
    assert_eq!(stale, Err(Rejection::StaleVersion { base_version, version }));
}

#[test]
fn an_older_number_moves_nothing() {
    let mut log = Log::new();
    log.approval("n1", 1).expect("granted");
    log.about("n1", 1, Event::Lapse).expect("lapses");
    log.approval("n1", 1).expect("granted again");
    assert_eq!(log.cluster_state.open_request("n1").and_then(|item| item.approval), Some(2));
    for event in Event::ALL {
        let fenced = log.about("n1", 1, event);
        assert!(
            matches!(fenced, Err(Rejection::Fenced { received: 1, current: 2, .. })),
            "{event:?}: {fenced:?}"
        );
    }
    assert_eq!(log.about("n1", 2, Event::Begin), Ok(()));
    assert_eq!(log.state("n1"), Some(State::Draining));
}

#[test]
fn a_command_said_twice_is_done_once_and_answered_twice() {
    let mut log = Log::new();
    let id = CommandId { origin: 9, count: 1 };
    let command = Command::Extend { machine: "n1".into(), more_ms: 1_000 };
    let entry = LogEntry { id, at_ms: 0, command };
    assert_eq!(log.cluster_state.apply(&entry), Ok(()));
    let once = log.cluster_state.clone();
    assert_eq!(log.cluster_state.apply(&entry), Ok(()));
    assert_eq!(log.cluster_state, once);
    assert_eq!(log.cluster_state.open_request("n1").map(|item| item.for_ms), Some(6_000));
}

#[test]
fn the_majority_of_the_council_stays() {
    let mut log = Log::new();
    let voters = [1, 3, 5].map(|number: u64| {
        let address = "127.0.0.1:1".parse().expect("an address");
        (number, Voter { name: format!("n{number}"), zone: "z1".into(), address })
    });
    log.cluster_state.set_voters(&[1, 3, 5], voters.to_vec());
    assert_eq!(log.approval("n1", 9), Ok(()));
    assert_eq!(log.approval("n3", 9), Err(Rejection::QuorumAtRisk));
    // Its vote has moved to another one: two of three are left with it.
    let moved = (7, Voter { name: "n6".into(), ..voters[0].1.clone() });
    log.cluster_state.set_voters(&[3, 5, 7], vec![moved]);
    assert!(log.cluster_state.is_retired(1) && !log.cluster_state.is_retired(7));
    assert_eq!(log.approval("n3", 9), Ok(()));
    assert_eq!(log.approval("n5", 9), Err(Rejection::QuorumAtRisk));
}

#[test]
fn what_comes_after_waits_and_nothing_comes_after_itself() {
    let mut log = Log::new();
    for name in ["n1", "n2", "n3"] {
        log.say(Command::Withdraw { machine: name.into() }).expect("withdrawn");
    }
    log.add("n1", &["n2"]).expect("asked for");
    log.add("n2", &["n3"]).expect("asked for");
    assert_eq!(log.add("n3", &["n1"]), Err(Rejection::CyclicDependency("n3".into())));
    assert_eq!(log.approval("n1", 1), Err(Rejection::WaitsFor("n2".into())));
    log.say(Command::Withdraw { machine: "n2".into() }).expect("withdrawn");
    assert_eq!(log.approval("n1", 1), Ok(()));
}

/// Whatever is said in whatever order: numbers grow, bounds hold, and nothing is kept of what is over for
/// ever.
#[test]
fn random_lives_keep_the_bounds() {
    use proptest::prelude::*;
    let act = (0..9u8, 1..=6u8, 0..3u64, 0..11usize);
    proptest!(ProptestConfig::with_cases(300), |(acts in proptest::collection::vec(act, 1..120))| {
        let mut log = Log::new();
        let mut last = 0;
        for (kind, machine, back, event) in acts {
            let machine = format!("n{machine}");
            let said = match kind {
                0 => log.add(&machine, &[]),
                1 => log.say(Command::Withdraw { machine }),
                2 => log.say(Command::Finish { machine }),
                3 | 4 => {
                    let base_version = log.cluster_state.version.saturating_sub(back);
                    log.say(Command::Approve { machine, base_version, max_out: 2 })
                }
                5 => log.say(Command::Extend { machine, more_ms: 1 }),
                _ => {
                    let approval = log.cluster_state.last_approval.saturating_sub(back);
                    log.about(&machine, approval, Event::ALL[event])
                }
            };
            let granted = matches!(kind, 3 | 4) && said.is_ok();
            prop_assert!(log.cluster_state.last_approval == last + u64::from(granted));
            last = log.cluster_state.last_approval;
            let out: Vec<_> = log.cluster_state.machines_out().collect();
            prop_assert!(out.len() <= 2);
            prop_assert!(out.iter().map(|item| &item.zone).collect::<BTreeSet<_>>().len() <= 1);
            prop_assert!(log.cluster_state.closed_requests.len() <= 64);
        }
    });
}

/// Of each stream of copies and each epoch there is one successor, and what is settled stays so.
#[test]
fn successions_follow_one_another_by_their_epochs() {
    let mut log = Log::default();
    let succeed = |epoch, name: &str| Command::FailOver { stream: 7, epoch, name: name.into(), boot: 1 };
    let settle = |epoch| Command::CloseStream { stream: 7, epoch };
    let fenced = |outcome: Outcome| matches!(outcome, Err(Rejection::Fenced { .. }));
    assert!(fenced(log.say(settle(0))), "the first writer settles nothing");
    assert_eq!(log.say(succeed(1, "n1")), Ok(()));
    assert!(fenced(log.say(succeed(1, "n2"))), "one for each epoch");
    assert!(fenced(log.say(succeed(3, "n2"))));
    assert_eq!(log.say(succeed(2, "n2")), Ok(()));
    assert_eq!(
        (log.cluster_state.stream_owners[&7].name.as_str(), log.cluster_state.epoch(7)),
        ("n2", Some(2))
    );
    assert!(fenced(log.say(settle(1))), "whoever was succeeded settles nothing");
    assert_eq!(log.say(settle(2)), Ok(()));
    assert!(fenced(log.say(settle(2))) && fenced(log.say(succeed(3, "n3"))), "it is over");
    assert_eq!((log.cluster_state.epoch(7), log.cluster_state.epoch(8)), (None, Some(0)));
    assert_eq!(log.cluster_state.required_minor, 2, "members that speak less can't read it");
}
