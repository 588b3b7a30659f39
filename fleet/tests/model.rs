//! All interleavings of a small fleet's grants: messages between machines and the log are lost, doubled and
//! late, leaders decide by a state that was, machines sleep and forget what they asked. The log itself is
//! in one order, which is what the engine gives; `Agreed::apply` is the program's own.
//!
//! Bounds explored: two machines, eight steps; one that goes twice, thirteen steps, without loss and
//! doubling on the way into the log. Two grants and two commands under way at once, in every order.

use stateright::{Checker, Model, Property};
use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry};
use steprelay_fleet::maintenance::{Event, State, TargetKind};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    /// It has sent its clients away, by this grant; kept over a crash.
    away: Option<u64>,
    /// What it asked the council last: the grant, and the number of the question.
    asked: Option<(u64, u64)>,
    /// Answers on their way to it.
    answers: Vec<(u64, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    cluster_state: ClusterState,
    machines: Vec<Machine>,
    /// Commands on their way into the log, in no order; each may be said twice.
    under_way: Vec<(Option<usize>, LogEntry)>,
    count: u64,
    approvals: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// A leader decides by a state so many changes old.
    Decide {
        machine: usize,
        behind: u64,
    },
    RequestLeave(usize),
    Deliver {
        place: usize,
        twice: bool,
    },
    Lose(usize),
    Answer {
        machine: usize,
        place: usize,
        twice: bool,
    },
    /// It slept, or started anew: what it asked is void, and answers may still come.
    Forget(usize),
    /// Staff ask once more, when all is over.
    Again(usize),
    /// Staff, or the leader about a machine that it takes for lost.
    Say {
        machine: usize,
        event: Event,
    },
    Back(usize),
}

struct Grants {
    machines: usize,
    zones: &'static [&'static str],
    most_grants: u64,
    /// Steps of one life, at most.
    depth: u64,
    /// The guard of the program, or one of its parts taken out.
    guard: Guard,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    Whole,
    /// A machine leaves as soon as it sees its grant.
    NoQuestion,
    /// It takes any answer for the one to its question.
    AnyAnswer,
    /// A machine that says that it is out is taken off the list when staff say that work is over.
    DoneAtOnce,
}

fn name(machine: usize) -> String {
    format!("n{machine}")
}

fn add(machine: usize) -> Command {
    Command::Add {
        machine: name(machine),
        kind: TargetKind::Agent,
        zone: String::new(),
        reason: String::new(),
        for_ms: 1,
        after: Vec::new(),
        within_ms: None,
    }
}

impl Model for Grants {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut cluster_state = ClusterState::default();
        let mut count = 0;
        let mut say = |command| {
            count += 1;
            let entry = LogEntry { id: CommandId { origin: 0, count }, at_ms: 0, command };
            cluster_state.apply(&entry).expect("a start");
        };
        for machine in 0..self.machines {
            say(Command::Join { name: name(machine), zone: self.zones[machine].into(), minor: 1 });
            say(add(machine));
        }
        let idle = Machine { away: None, asked: None, answers: Vec::new() };
        vec![Fleet {
            cluster_state,
            machines: vec![idle; self.machines],
            under_way: Vec::new(),
            count,
            approvals: 0,
        }]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        let room = fleet.under_way.len() < 2;
        for machine in 0..self.machines {
            let item = fleet.cluster_state.open_request(&name(machine));
            let state = item.map(|item| item.state);
            if room && fleet.approvals < self.most_grants && state == Some(State::Requested) {
                acts.push(Act::Decide { machine, behind: 0 });
                acts.push(Act::Decide { machine, behind: 1 });
            }
            let own = &fleet.machines[machine];
            if room && own.asked.is_none() && matches!(state, Some(State::Approved | State::Draining)) {
                acts.push(Act::RequestLeave(machine));
            }
            if own.asked.is_some() && self.machines > 1 {
                acts.push(Act::Forget(machine));
            }
            for place in 0..own.answers.len() {
                acts.push(Act::Answer { machine, place, twice: false });
                acts.push(Act::Answer { machine, place, twice: true });
            }
            if state.is_none() && own.away.is_none() {
                acts.push(Act::Again(machine));
            }
            if let Some(state) = state {
                for event in [Event::Withdraw, Event::Finish, Event::MachineLost, Event::Lapse] {
                    // Staff's word that a lost machine is gone for good is theirs to answer for.
                    if (state, event) != (State::Lost, Event::Withdraw) {
                        acts.push(Act::Say { machine, event });
                    }
                }
                if room && matches!(state, State::Returning | State::Lost) {
                    acts.push(Act::Back(machine));
                }
            }
        }
        for place in 0..fleet.under_way.len() {
            acts.push(Act::Deliver { place, twice: false });
            if self.machines > 1 {
                acts.push(Act::Deliver { place, twice: true });
                acts.push(Act::Lose(place));
            }
        }
    }

    fn next_state(&self, before: &Fleet, act: Act) -> Option<Fleet> {
        let mut fleet = before.clone();
        fleet.count += 1;
        let id = CommandId { origin: 1, count: fleet.count };
        let entry = |command| LogEntry { id, at_ms: 0, command };
        match act {
            Act::Decide { machine, behind } => {
                fleet.approvals += 1;
                let base_version = fleet.cluster_state.version.saturating_sub(behind);
                let approval = Command::Approve { machine: name(machine), base_version, max_out: 1 };
                fleet.under_way.push((None, entry(approval)));
            }
            Act::RequestLeave(machine) => {
                let approval = fleet.cluster_state.open_request(&name(machine))?.approval?;
                let own = &mut fleet.machines[machine];
                if self.guard == Guard::NoQuestion {
                    own.away = Some(approval);
                }
                own.asked = Some((approval, id.count));
                let begin = Command::ReportEvent { machine: name(machine), approval, event: Event::Begin };
                fleet.under_way.push((Some(machine), entry(begin)));
            }
            Act::Deliver { place, twice } => {
                let (asker, said) = fleet.under_way[place].clone();
                if !twice {
                    fleet.under_way.remove(place);
                }
                let done = fleet.cluster_state.apply(&said).is_ok();
                if let Some(machine) = asker.filter(|_| matches!(said.command, Command::ReportEvent { .. })) {
                    let answers = &mut fleet.machines[machine].answers;
                    if answers.len() < 2 {
                        answers.push((said.id.count, done));
                    }
                }
            }
            Act::Lose(place) => drop(fleet.under_way.remove(place)),
            Act::Answer { machine, place, twice } => {
                let own = &mut fleet.machines[machine];
                let (question, done) = own.answers[place];
                if !twice {
                    own.answers.remove(place);
                }
                let asked =
                    own.asked.filter(|(_, asked)| *asked == question || self.guard == Guard::AnyAnswer);
                let (approval, _) = asked?;
                own.asked = None;
                if done {
                    own.away = Some(approval);
                }
            }
            Act::Again(machine) => {
                fleet.cluster_state.apply(&entry(add(machine))).ok()?;
            }
            Act::Forget(machine) => fleet.machines[machine].asked = None,
            Act::Say { machine, event } => {
                let item = fleet.cluster_state.open_request(&name(machine))?;
                let command = match event {
                    Event::Withdraw => Command::Withdraw { machine: name(machine) },
                    Event::Finish => Command::Finish { machine: name(machine) },
                    event => Command::ReportEvent {
                        machine: name(machine),
                        approval: item.approval.unwrap_or(0),
                        event,
                    },
                };
                if fleet.cluster_state.apply(&entry(command)).is_err() {
                    return None;
                }
                if self.guard == Guard::DoneAtOnce && event == Event::Finish {
                    let approval = fleet.cluster_state.open_request(&name(machine))?.approval?;
                    let back =
                        Command::ReportEvent { machine: name(machine), approval, event: Event::Returned };
                    fleet
                        .cluster_state
                        .apply(&LogEntry {
                            id: CommandId { origin: 2, count: id.count },
                            at_ms: 0,
                            command: back,
                        })
                        .ok()?;
                }
            }
            // It serves again, and says so after that.
            Act::Back(machine) => {
                let approval = fleet.cluster_state.open_request(&name(machine))?.approval?;
                let own = &mut fleet.machines[machine];
                (own.away, own.asked) = (None, None);
                let back = Command::ReportEvent { machine: name(machine), approval, event: Event::Returned };
                fleet.under_way.push((None, entry(back)));
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one machine at most is away", |_, fleet| {
                fleet.machines.iter().filter(|machine| machine.away.is_some()).count() <= 1
            }),
            Property::<Self>::always("whoever is away is counted as out", |_, fleet| {
                fleet.machines.iter().enumerate().filter(|(_, own)| own.away.is_some()).all(|(machine, _)| {
                    fleet.cluster_state.machines_out().any(|item| item.machine == name(machine))
                })
            }),
            Property::<Self>::sometimes("machines go", |_, fleet| {
                fleet.machines.iter().any(|machine| machine.away.is_some())
            }),
        ]
    }

    fn within_boundary(&self, fleet: &Fleet) -> bool {
        // Questions are asked again without end; so many of them show all there is.
        fleet.count < 2 * self.machines as u64 + self.depth
    }
}

/// What breaks with two machines that go once, or with one that goes again and again.
fn broken(machines: usize, guard: Guard) -> Vec<&'static str> {
    let depth = if machines == 1 { 14 } else { 9 };
    let model = Grants { machines, zones: &["z1", "z1"], most_grants: 2, depth, guard };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{machines} machines: {} states", checker.unique_state_count());
    let mut names: Vec<&str> =
        checker.discoveries().into_keys().filter(|name| *name != "machines go").collect();
    names.sort_unstable();
    assert!(checker.discovery("machines go").is_some(), "nothing was tried");
    names
}

#[test]
fn no_interleaving_has_two_machines_away_or_one_that_is_not_counted() {
    assert_eq!(broken(1, Guard::Whole), Vec::<&str>::new());
    assert_eq!(broken(2, Guard::Whole), Vec::<&str>::new());
}

/// Each part of the guard is there for something.
#[test]
fn without_a_part_of_the_guard_a_bound_breaks() {
    for (machines, guard) in [(2, Guard::NoQuestion), (1, Guard::AnyAnswer), (2, Guard::DoneAtOnce)] {
        assert!(!broken(machines, guard).is_empty(), "{guard:?}");
    }
}
