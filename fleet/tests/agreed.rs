//! The replicated state: tables of commands and their outcomes.

use std::collections::BTreeSet;

use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry, Outcome, Rejection, Voter};
use steprelay_fleet::maintenance::{Event, State, TargetKind};

#[derive(Default)]
struct TestState {
    cluster_state: ClusterState,
    count: u64,
}

impl TestState {
    /// Machines n1 to n6 in the zones z1, z2, z1, z2 and so on, each with an open maintenance request.
    fn new() -> Self {
        let mut state = TestState::default();
        for number in 1..=6 {
            let zone = format!("z{}", (number + 1) % 2 + 1);
            state.apply(Command::Join { name: format!("n{number}"), zone, minor: 1 }).expect("joins");
            state.add(&format!("n{number}"), &[]).expect("requested");
        }
        state
    }

    fn apply(&mut self, command: Command) -> Outcome {
        self.count += 1;
        let id = CommandId { origin: 1, count: self.count };
        self.cluster_state.apply(&LogEntry { id, at_ms: self.count * 1_000, command })
    }

    fn add(&mut self, machine: &str, after: &[&str]) -> Outcome {
        self.apply(Command::Add {
            machine: machine.into(),
            kind: TargetKind::Agent,
            zone: String::new(),
            reason: String::new(),
            for_ms: 5_000,
            after: after.iter().map(|name| name.to_string()).collect(),
            within_ms: None,
        })
    }

    /// Approves by the current state version.
    fn approve(&mut self, machine: &str, max_out: u32) -> Outcome {
        let base_version = self.cluster_state.version;
        self.apply(Command::Approve { machine: machine.into(), base_version, max_out })
    }

    fn report(&mut self, machine: &str, approval: u64, event: Event) -> Outcome {
        self.apply(Command::ReportEvent { machine: machine.into(), approval, event })
    }

    fn state(&self, machine: &str) -> Option<State> {
        self.cluster_state.open_request(machine).map(|item| item.state)
    }
}

#[test]
fn the_log_enforces_its_limits_under_any_leader() {
    let mut state = TestState::new();
    assert_eq!(state.approve("n1", 1), Ok(()));
    assert_eq!(state.approve("n3", 1), Err(Rejection::TooManyOut(1, 1)));
    assert_eq!(state.approve("n2", 2), Err(Rejection::OtherZone("z1".into())));
    assert_eq!(state.approve("n3", 2), Ok(()), "same zone");
    assert_eq!(state.approve("n5", 2), Err(Rejection::TooManyOut(2, 2)));
    let base_version = state.cluster_state.version - 1;
    let version = state.cluster_state.version;
    let stale = state.apply(Command::Approve { machine: "n5".into(), base_version, max_out: 9 });
    assert_eq!(stale, Err(Rejection::StaleVersion { base_version, version }));
}

#[test]
fn an_outdated_approval_number_is_rejected() {
    let mut state = TestState::new();
    state.approve("n1", 1).expect("approved");
    state.report("n1", 1, Event::Lapse).expect("lapses");
    state.approve("n1", 1).expect("approved again");
    assert_eq!(state.cluster_state.open_request("n1").and_then(|item| item.approval), Some(2));
    for event in Event::ALL {
        let fenced = state.report("n1", 1, event);
        assert!(
            matches!(fenced, Err(Rejection::Fenced { received: 1, current: 2, .. })),
            "{event:?}: {fenced:?}"
        );
    }
    assert_eq!(state.report("n1", 2, Event::Begin), Ok(()));
    assert_eq!(state.state("n1"), Some(State::Draining));
}

#[test]
fn a_duplicate_command_is_executed_once_with_the_same_outcome() {
    let mut state = TestState::new();
    let id = CommandId { origin: 9, count: 1 };
    let command = Command::Extend { machine: "n1".into(), more_ms: 1_000 };
    let entry = LogEntry { id, at_ms: 0, command };
    assert_eq!(state.cluster_state.apply(&entry), Ok(()));
    let once = state.cluster_state.clone();
    assert_eq!(state.cluster_state.apply(&entry), Ok(()));
    assert_eq!(state.cluster_state, once);
    assert_eq!(state.cluster_state.open_request("n1").map(|item| item.for_ms), Some(6_000));
}

#[test]
fn a_majority_of_voters_stays() {
    let mut state = TestState::new();
    let voters = [1, 3, 5].map(|number: u64| {
        let address = "127.0.0.1:1".parse().expect("an address");
        (number, Voter { name: format!("n{number}"), zone: "z1".into(), address })
    });
    state.cluster_state.set_voters(&[1, 3, 5], voters.to_vec());
    assert_eq!(state.approve("n1", 9), Ok(()));
    assert_eq!(state.approve("n3", 9), Err(Rejection::QuorumAtRisk));
    // The vote moved to another member, so that two of three voters remain without n3.
    let moved = (7, Voter { name: "n6".into(), ..voters[0].1.clone() });
    state.cluster_state.set_voters(&[3, 5, 7], vec![moved]);
    assert!(state.cluster_state.is_retired(1) && !state.cluster_state.is_retired(7));
    assert_eq!(state.approve("n3", 9), Ok(()));
    assert_eq!(state.approve("n5", 9), Err(Rejection::QuorumAtRisk));
}

#[test]
fn dependent_requests_wait_and_cycles_are_rejected() {
    let mut state = TestState::new();
    for name in ["n1", "n2", "n3"] {
        state.apply(Command::Withdraw { machine: name.into() }).expect("withdrawn");
    }
    state.add("n1", &["n2"]).expect("requested");
    state.add("n2", &["n3"]).expect("requested");
    assert_eq!(state.add("n3", &["n1"]), Err(Rejection::CyclicDependency("n3".into())));
    assert_eq!(state.approve("n1", 1), Err(Rejection::WaitsFor("n2".into())));
    state.apply(Command::Withdraw { machine: "n2".into() }).expect("withdrawn");
    assert_eq!(state.approve("n1", 1), Ok(()));
}

/// Random commands in random order: approval numbers grow, the limits hold, and closed requests stay
/// bounded.
#[test]
fn random_commands_keep_the_limits() {
    use proptest::prelude::*;
    let act = (0..9u8, 1..=6u8, 0..3u64, 0..11usize);
    proptest!(ProptestConfig::with_cases(300), |(acts in proptest::collection::vec(act, 1..120))| {
        let mut state = TestState::new();
        let mut last = 0;
        for (kind, machine, back, event) in acts {
            let machine = format!("n{machine}");
            let outcome = match kind {
                0 => state.add(&machine, &[]),
                1 => state.apply(Command::Withdraw { machine }),
                2 => state.apply(Command::Finish { machine }),
                3 | 4 => {
                    let base_version = state.cluster_state.version.saturating_sub(back);
                    state.apply(Command::Approve { machine, base_version, max_out: 2 })
                }
                5 => state.apply(Command::Extend { machine, more_ms: 1 }),
                _ => {
                    let approval = state.cluster_state.last_approval.saturating_sub(back);
                    state.report(&machine, approval, Event::ALL[event])
                }
            };
            let granted = matches!(kind, 3 | 4) && outcome.is_ok();
            prop_assert!(state.cluster_state.last_approval == last + u64::from(granted));
            last = state.cluster_state.last_approval;
            let out: Vec<_> = state.cluster_state.machines_out().collect();
            prop_assert!(out.len() <= 2);
            prop_assert!(out.iter().map(|item| &item.zone).collect::<BTreeSet<_>>().len() <= 1);
            prop_assert!(state.cluster_state.closed_requests.len() <= 64);
        }
    });
}

/// Each epoch of a stream has one successor, and a closed stream stays closed.
#[test]
fn each_failover_needs_the_next_epoch() {
    let mut state = TestState::default();
    let fail_over = |epoch, name: &str| Command::FailOver { stream: 7, epoch, name: name.into(), boot: 1 };
    let close = |epoch| Command::CloseStream { stream: 7, epoch };
    let fenced = |outcome: Outcome| matches!(outcome, Err(Rejection::Fenced { .. }));
    assert!(fenced(state.apply(close(0))), "the first primary can't close the stream");
    assert_eq!(state.apply(fail_over(1, "n1")), Ok(()));
    assert!(fenced(state.apply(fail_over(1, "n2"))), "one successor per epoch");
    assert!(fenced(state.apply(fail_over(3, "n2"))));
    assert_eq!(state.apply(fail_over(2, "n2")), Ok(()));
    assert_eq!(
        (state.cluster_state.stream_owners[&7].name.as_str(), state.cluster_state.epoch(7)),
        ("n2", Some(2))
    );
    assert!(fenced(state.apply(close(1))), "a replaced owner can't close the stream");
    assert_eq!(state.apply(close(2)), Ok(()));
    assert!(fenced(state.apply(close(2))) && fenced(state.apply(fail_over(3, "n3"))), "the stream is closed");
    assert_eq!((state.cluster_state.epoch(7), state.cluster_state.epoch(8)), (None, Some(0)));
    assert_eq!(state.cluster_state.required_minor, 2, "members of older versions can't read the log");
}
