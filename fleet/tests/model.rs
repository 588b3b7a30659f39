//! Model check of all interleavings of the approvals of a small cluster: messages between machines and the
//! log are lost, duplicated and delayed, leaders decide by an outdated state, machines stall and forget
//! their requests. The log itself is in one order, as the Raft engine guarantees; `ClusterState::apply` is
//! the real implementation.
//!
//! Explored bounds: two machines with eight steps; one machine that leaves twice with thirteen steps,
//! without loss and duplication on the way into the log. Two approvals and two commands in flight at once,
//! in every order.

use stateright::{Checker, Model, Property};
use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry};
use steprelay_fleet::maintenance::{Event, State, TargetKind};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    /// The approval under which it left; kept over a crash.
    away: Option<u64>,
    /// Its last request to leave: the approval, and the number of the request.
    request: Option<(u64, u64)>,
    /// Responses in flight to the machine.
    responses: Vec<(u64, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    cluster_state: ClusterState,
    machines: Vec<Machine>,
    /// Commands in flight to the log, unordered; each may be delivered twice.
    in_flight: Vec<(Option<usize>, LogEntry)>,
    count: u64,
    approvals: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A leader decides by a state that is `behind` changes old.
    Decide {
        machine: usize,
        behind: u64,
    },
    RequestLeave(usize),
    Deliver {
        index: usize,
        duplicate: bool,
    },
    Lose(usize),
    DeliverResponse {
        machine: usize,
        index: usize,
        duplicate: bool,
    },
    /// The machine stalled or restarted: its request is void, while responses may still arrive.
    Forget(usize),
    /// Operators request maintenance again after it was closed.
    RequestAgain(usize),
    /// A command of operators, or of the leader about a machine that it considers lost.
    ApplyEvent {
        machine: usize,
        event: Event,
    },
    Return(usize),
}

struct ApprovalModel {
    machines: usize,
    zones: &'static [&'static str],
    max_approvals: u64,
    /// Bound on the steps of one execution.
    depth: u64,
    /// The protocol as implemented, or without one of its parts.
    protocol: Protocol,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Complete,
    /// A machine leaves as soon as it sees its approval.
    NoConfirmation,
    /// A machine accepts any response as the one to its request.
    AnyResponse,
    /// A request is closed as soon as operators finish it, before the machine returns.
    CloseOnFinish,
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

impl Model for ApprovalModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut cluster_state = ClusterState::default();
        let mut count = 0;
        let mut apply = |command| {
            count += 1;
            let entry = LogEntry { id: CommandId { origin: 0, count }, at_ms: 0, command };
            cluster_state.apply(&entry).expect("initial command accepted");
        };
        for machine in 0..self.machines {
            apply(Command::Join { name: name(machine), zone: self.zones[machine].into(), minor: 1 });
            apply(add(machine));
        }
        let idle = Machine { away: None, request: None, responses: Vec::new() };
        vec![ModelState {
            cluster_state,
            machines: vec![idle; self.machines],
            in_flight: Vec::new(),
            count,
            approvals: 0,
        }]
    }

    fn actions(&self, snapshot: &ModelState, steps: &mut Vec<Step>) {
        let has_capacity = snapshot.in_flight.len() < 2;
        for machine in 0..self.machines {
            let item = snapshot.cluster_state.open_request(&name(machine));
            let state = item.map(|item| item.state);
            if has_capacity && snapshot.approvals < self.max_approvals && state == Some(State::Requested) {
                steps.push(Step::Decide { machine, behind: 0 });
                steps.push(Step::Decide { machine, behind: 1 });
            }
            let own = &snapshot.machines[machine];
            if has_capacity
                && own.request.is_none()
                && matches!(state, Some(State::Approved | State::Draining))
            {
                steps.push(Step::RequestLeave(machine));
            }
            if own.request.is_some() && self.machines > 1 {
                steps.push(Step::Forget(machine));
            }
            for index in 0..own.responses.len() {
                steps.push(Step::DeliverResponse { machine, index, duplicate: false });
                steps.push(Step::DeliverResponse { machine, index, duplicate: true });
            }
            if state.is_none() && own.away.is_none() {
                steps.push(Step::RequestAgain(machine));
            }
            if let Some(state) = state {
                for event in [Event::Withdraw, Event::Finish, Event::MachineLost, Event::Lapse] {
                    // Operators are responsible for declaring a lost machine gone for good.
                    if (state, event) != (State::Lost, Event::Withdraw) {
                        steps.push(Step::ApplyEvent { machine, event });
                    }
                }
                if has_capacity && matches!(state, State::Returning | State::Lost) {
                    steps.push(Step::Return(machine));
                }
            }
        }
        for index in 0..snapshot.in_flight.len() {
            steps.push(Step::Deliver { index, duplicate: false });
            if self.machines > 1 {
                steps.push(Step::Deliver { index, duplicate: true });
                steps.push(Step::Lose(index));
            }
        }
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut snapshot = before.clone();
        snapshot.count += 1;
        let id = CommandId { origin: 1, count: snapshot.count };
        let entry = |command| LogEntry { id, at_ms: 0, command };
        match step {
            Step::Decide { machine, behind } => {
                snapshot.approvals += 1;
                let base_version = snapshot.cluster_state.version.saturating_sub(behind);
                let approval = Command::Approve { machine: name(machine), base_version, max_out: 1 };
                snapshot.in_flight.push((None, entry(approval)));
            }
            Step::RequestLeave(machine) => {
                let approval = snapshot.cluster_state.open_request(&name(machine))?.approval?;
                let own = &mut snapshot.machines[machine];
                if self.protocol == Protocol::NoConfirmation {
                    own.away = Some(approval);
                }
                own.request = Some((approval, id.count));
                let begin = Command::ReportEvent { machine: name(machine), approval, event: Event::Begin };
                snapshot.in_flight.push((Some(machine), entry(begin)));
            }
            Step::Deliver { index, duplicate } => {
                let (requester, entry) = snapshot.in_flight[index].clone();
                if !duplicate {
                    snapshot.in_flight.remove(index);
                }
                let done = snapshot.cluster_state.apply(&entry).is_ok();
                if let Some(machine) =
                    requester.filter(|_| matches!(entry.command, Command::ReportEvent { .. }))
                {
                    let responses = &mut snapshot.machines[machine].responses;
                    if responses.len() < 2 {
                        responses.push((entry.id.count, done));
                    }
                }
            }
            Step::Lose(index) => drop(snapshot.in_flight.remove(index)),
            Step::DeliverResponse { machine, index, duplicate } => {
                let own = &mut snapshot.machines[machine];
                let (request_id, done) = own.responses[index];
                if !duplicate {
                    own.responses.remove(index);
                }
                let request = own
                    .request
                    .filter(|(_, request)| *request == request_id || self.protocol == Protocol::AnyResponse);
                let (approval, _) = request?;
                own.request = None;
                if done {
                    own.away = Some(approval);
                }
            }
            Step::RequestAgain(machine) => {
                snapshot.cluster_state.apply(&entry(add(machine))).ok()?;
            }
            Step::Forget(machine) => snapshot.machines[machine].request = None,
            Step::ApplyEvent { machine, event } => {
                let item = snapshot.cluster_state.open_request(&name(machine))?;
                let command = match event {
                    Event::Withdraw => Command::Withdraw { machine: name(machine) },
                    Event::Finish => Command::Finish { machine: name(machine) },
                    event => Command::ReportEvent {
                        machine: name(machine),
                        approval: item.approval.unwrap_or(0),
                        event,
                    },
                };
                if snapshot.cluster_state.apply(&entry(command)).is_err() {
                    return None;
                }
                if self.protocol == Protocol::CloseOnFinish && event == Event::Finish {
                    let approval = snapshot.cluster_state.open_request(&name(machine))?.approval?;
                    let back =
                        Command::ReportEvent { machine: name(machine), approval, event: Event::Returned };
                    snapshot
                        .cluster_state
                        .apply(&LogEntry {
                            id: CommandId { origin: 2, count: id.count },
                            at_ms: 0,
                            command: back,
                        })
                        .ok()?;
                }
            }
            // The machine serves again, and reports it after that.
            Step::Return(machine) => {
                let approval = snapshot.cluster_state.open_request(&name(machine))?.approval?;
                let own = &mut snapshot.machines[machine];
                (own.away, own.request) = (None, None);
                let back = Command::ReportEvent { machine: name(machine), approval, event: Event::Returned };
                snapshot.in_flight.push((None, entry(back)));
            }
        }
        Some(snapshot)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("at most one machine is out", |_, snapshot| {
                snapshot.machines.iter().filter(|machine| machine.away.is_some()).count() <= 1
            }),
            Property::<Self>::always("every machine that is out counts as out", |_, snapshot| {
                snapshot.machines.iter().enumerate().filter(|(_, own)| own.away.is_some()).all(
                    |(machine, _)| {
                        snapshot.cluster_state.machines_out().any(|item| item.machine == name(machine))
                    },
                )
            }),
            Property::<Self>::sometimes("machines leave", |_, snapshot| {
                snapshot.machines.iter().any(|machine| machine.away.is_some())
            }),
        ]
    }

    fn within_boundary(&self, snapshot: &ModelState) -> bool {
        // Requests are repeated without end; this many steps reach all distinct behaviour.
        snapshot.count < 2 * self.machines as u64 + self.depth
    }
}

/// Returns the violated properties, for two machines that leave once or one machine that leaves repeatedly.
fn violated_properties(machines: usize, protocol: Protocol) -> Vec<&'static str> {
    let depth = if machines == 1 { 14 } else { 9 };
    let model = ApprovalModel { machines, zones: &["z1", "z1"], max_approvals: 2, depth, protocol };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{machines} machines: {} states", checker.unique_state_count());
    let mut names: Vec<&str> =
        checker.discoveries().into_keys().filter(|name| *name != "machines leave").collect();
    names.sort_unstable();
    assert!(checker.discovery("machines leave").is_some(), "no machine left");
    names
}

#[test]
fn no_interleaving_has_two_machines_out_or_one_that_is_not_counted() {
    assert_eq!(violated_properties(1, Protocol::Complete), Vec::<&str>::new());
    assert_eq!(violated_properties(2, Protocol::Complete), Vec::<&str>::new());
}

/// Without each part of the protocol some property is violated.
#[test]
fn without_any_part_of_the_protocol_a_property_is_violated() {
    for (machines, protocol) in
        [(2, Protocol::NoConfirmation), (1, Protocol::AnyResponse), (2, Protocol::CloseOnFinish)]
    {
        assert!(!violated_properties(machines, protocol).is_empty(), "{protocol:?}");
    }
}
