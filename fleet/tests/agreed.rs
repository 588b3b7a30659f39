//! What follows from the log, entry by entry: a table of commands and what becomes of each.

use std::collections::BTreeSet;

use steprelay_fleet::agreed::{Agreed, Command, CommandId, Entry, Outcome, Refusal, Voter};
use steprelay_fleet::work::{Event, Kind, State};

#[derive(Default)]
struct Log {
    agreed: Agreed,
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
        self.agreed.apply(&Entry { id, at_ms: self.count * 1_000, command })
    }

    fn add(&mut self, machine: &str, after: &[&str]) -> Outcome {
        self.say(Command::Add {
            machine: machine.into(),
            kind: Kind::Agent,
            zone: String::new(),
            reason: String::new(),
            for_ms: 5_000,
            after: after.iter().map(|name| name.to_string()).collect(),
            within_ms: None,
        })
    }

    /// Decided by the present state.
    fn grant(&mut self, machine: &str, most_out: u32) -> Outcome {
        let basis = self.agreed.version;
        self.say(Command::Grant { machine: machine.into(), basis, most_out })
    }

    fn about(&mut self, machine: &str, grant: u64, event: Event) -> Outcome {
        self.say(Command::About { machine: machine.into(), grant, event })
    }

    fn state(&self, machine: &str) -> Option<State> {
        self.agreed.item(machine).map(|item| item.state)
    }
}

#[test]
fn whoever_leads_the_log_holds_to_its_bounds() {
    let mut log = Log::new();
    assert_eq!(log.grant("n1", 1), Ok(()));
    assert_eq!(log.grant("n3", 1), Err(Refusal::TooManyOut(1, 1)));
    assert_eq!(log.grant("n2", 2), Err(Refusal::OtherZone("z1".into())));
    assert_eq!(log.grant("n3", 2), Ok(()), "of the same zone");
    assert_eq!(log.grant("n5", 2), Err(Refusal::TooManyOut(2, 2)));
    let basis = log.agreed.version - 1;
    let version = log.agreed.version;
    let stale = log.say(Command::Grant { machine: "n5".into(), basis, most_out: 9 });
    assert_eq!(stale, Err(Refusal::Stale { basis, version }));
}

#[test]
fn an_older_number_moves_nothing() {
    let mut log = Log::new();
    log.grant("n1", 1).expect("granted");
    log.about("n1", 1, Event::Lapse).expect("lapses");
    log.grant("n1", 1).expect("granted again");
    assert_eq!(log.agreed.item("n1").and_then(|item| item.grant), Some(2));
    for event in Event::ALL {
        let fenced = log.about("n1", 1, event);
        assert!(matches!(fenced, Err(Refusal::Fenced { told: 1, present: 2, .. })), "{event:?}: {fenced:?}");
    }
    assert_eq!(log.about("n1", 2, Event::Begin), Ok(()));
    assert_eq!(log.state("n1"), Some(State::Draining));
}

#[test]
fn a_command_said_twice_is_done_once_and_answered_twice() {
    let mut log = Log::new();
    let id = CommandId { origin: 9, count: 1 };
    let command = Command::Extend { machine: "n1".into(), more_ms: 1_000 };
    let entry = Entry { id, at_ms: 0, command };
    assert_eq!(log.agreed.apply(&entry), Ok(()));
    let once = log.agreed.clone();
    assert_eq!(log.agreed.apply(&entry), Ok(()));
    assert_eq!(log.agreed, once);
    assert_eq!(log.agreed.item("n1").map(|item| item.for_ms), Some(6_000));
}

#[test]
fn the_majority_of_the_council_stays() {
    let mut log = Log::new();
    let voters = [1, 3, 5].map(|number: u64| {
        let address = "127.0.0.1:1".parse().expect("an address");
        (number, Voter { name: format!("n{number}"), zone: "z1".into(), address })
    });
    log.agreed.voters_are(&[1, 3, 5], voters.to_vec());
    assert_eq!(log.grant("n1", 9), Ok(()));
    assert_eq!(log.grant("n3", 9), Err(Refusal::Majority));
    // Its vote has moved to another one: two of three are left with it.
    let moved = (7, Voter { name: "n6".into(), ..voters[0].1.clone() });
    log.agreed.voters_are(&[3, 5, 7], vec![moved]);
    assert!(log.agreed.is_retired(1) && !log.agreed.is_retired(7));
    assert_eq!(log.grant("n3", 9), Ok(()));
    assert_eq!(log.grant("n5", 9), Err(Refusal::Majority));
}

#[test]
fn what_comes_after_waits_and_nothing_comes_after_itself() {
    let mut log = Log::new();
    for name in ["n1", "n2", "n3"] {
        log.say(Command::Withdraw { machine: name.into() }).expect("withdrawn");
    }
    log.add("n1", &["n2"]).expect("asked for");
    log.add("n2", &["n3"]).expect("asked for");
    assert_eq!(log.add("n3", &["n1"]), Err(Refusal::AfterItself("n3".into())));
    assert_eq!(log.grant("n1", 1), Err(Refusal::After("n2".into())));
    log.say(Command::Withdraw { machine: "n2".into() }).expect("withdrawn");
    assert_eq!(log.grant("n1", 1), Ok(()));
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
                    let basis = log.agreed.version.saturating_sub(back);
                    log.say(Command::Grant { machine, basis, most_out: 2 })
                }
                5 => log.say(Command::Extend { machine, more_ms: 1 }),
                _ => {
                    let grant = log.agreed.last_grant.saturating_sub(back);
                    log.about(&machine, grant, Event::ALL[event])
                }
            };
            let granted = matches!(kind, 3 | 4) && said.is_ok();
            prop_assert!(log.agreed.last_grant == last + u64::from(granted));
            last = log.agreed.last_grant;
            let out: Vec<_> = log.agreed.out().collect();
            prop_assert!(out.len() <= 2);
            prop_assert!(out.iter().map(|item| &item.zone).collect::<BTreeSet<_>>().len() <= 1);
            prop_assert!(log.agreed.over.len() <= 64);
        }
    });
}

/// Of each stream of copies and each epoch there is one successor, and what is settled stays so.
#[test]
fn successions_follow_one_another_by_their_epochs() {
    let mut log = Log::default();
    let succeed = |epoch, name: &str| Command::Succeed { stream: 7, epoch, name: name.into(), boot: 1 };
    let settle = |epoch| Command::Settle { stream: 7, epoch };
    let fenced = |outcome: Outcome| matches!(outcome, Err(Refusal::Fenced { .. }));
    assert!(fenced(log.say(settle(0))), "the first writer settles nothing");
    assert_eq!(log.say(succeed(1, "n1")), Ok(()));
    assert!(fenced(log.say(succeed(1, "n2"))), "one for each epoch");
    assert!(fenced(log.say(succeed(3, "n2"))));
    assert_eq!(log.say(succeed(2, "n2")), Ok(()));
    assert_eq!((log.agreed.streams[&7].name.as_str(), log.agreed.epoch(7)), ("n2", Some(2)));
    assert!(fenced(log.say(settle(1))), "whoever was succeeded settles nothing");
    assert_eq!(log.say(settle(2)), Ok(()));
    assert!(fenced(log.say(settle(2))) && fenced(log.say(succeed(3, "n3"))), "it is over");
    assert_eq!((log.agreed.epoch(7), log.agreed.epoch(8)), (None, Some(0)));
    assert_eq!(log.agreed.spoken, 2, "members that speak less can't read it");
}
