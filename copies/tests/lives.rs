//! Simulations of a replication stream in virtual time: a primary, replica holders and a successor on a
//! network that loses, delays, duplicates and reorders messages, with members that are lost. The list of
//! changes alone decides whether a run is correct.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steprelay_copies::failover::{Failover, RecoveredStream};
use steprelay_copies::holder::ReplicaHolder;
use steprelay_copies::messages::Message;
use steprelay_copies::primary::{Primary, ReplicationPolicy};
use steprelay_copies::{Call, CallRecord, Change, StreamId};

const STREAM: StreamId = StreamId(41);
const STEP: u64 = 10;

struct SimulatedMember {
    boot: u64,
    holder: ReplicaHolder,
    is_alive: bool,
}

/// Members are identified by their index; member 0 is the first primary.
struct Simulation {
    now: u64,
    rng: StdRng,
    members: Vec<SimulatedMember>,
    primaries: BTreeMap<usize, Primary>,
    failover: Option<(usize, Failover)>,
    network: BTreeMap<(u64, u64), (usize, u64, usize, Message)>,
    sent: u64,
    loss: f64,
    /// Every change that the first primary recorded, in order.
    changes: Vec<Change>,
}

fn name(member: usize) -> String {
    format!("n{member}")
}

impl Simulation {
    fn new(seed: u64, members: usize, required_acks: usize) -> Self {
        let member = |boot| SimulatedMember { boot, holder: ReplicaHolder::default(), is_alive: true };
        let policy = ReplicationPolicy { replicas: 2, required_acks };
        Simulation {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            members: (0..members as u64).map(member).collect(),
            primaries: BTreeMap::from([(0, Primary::new(STREAM, policy))]),
            failover: None,
            network: BTreeMap::new(),
            sent: 0,
            loss: 0.2,
            changes: Vec::new(),
        }
    }

    fn primary(&mut self, of: usize) -> &mut Primary {
        self.primaries.get_mut(&of).expect("a primary")
    }

    /// A call starts, changes its state or ends.
    fn record_change(&mut self) {
        let call = self.rng.random_range(0..400);
        let record = match self.rng.random_range(0..4) {
            0 => Some(CallRecord::AttemptPending { server: 1 }),
            1 => Some(CallRecord::Established { server: 1 }),
            2 => Some(CallRecord::ReleasePending { server: 1, cause: 16 }),
            _ => None,
        };
        self.changes.push((call, record));
        self.primary(0).record_change(call, record);
    }

    /// The records after the first `sequence` changes.
    fn state_at(&self, sequence: u64) -> BTreeMap<Call, CallRecord> {
        let mut state = BTreeMap::new();
        for (call, record) in &self.changes[..sequence as usize] {
            match record {
                Some(record) => state.insert(*call, *record),
                None => state.remove(call),
            };
        }
        state
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(0.2)) {
            let at = self.now + self.rng.random_range(1..80);
            self.sent += 1;
            let boot = self.members[from].boot;
            self.network.insert((at, self.sent), (from, boot, to, message.clone()));
        }
    }

    fn index_of(name: &str) -> usize {
        name[1..].parse().expect("a member")
    }

    /// The holders of a member's stream are the two living members that follow it.
    fn place_replicas(&mut self, of: usize) {
        let count = self.members.len();
        let others = (1..count).map(|step| (of + step) % count).filter(|other| self.members[*other].is_alive);
        let holders: Vec<(String, u64)> =
            others.take(2).map(|other| (name(other), self.members[other].boot)).collect();
        let now = self.now;
        self.primary(of).set_holders(now, &holders);
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((&at, _)) = self.network.first_key_value() {
            if at.0 > self.now {
                break;
            }
            let Some((from, boot, to, message)) = self.network.remove(&at) else { break };
            self.deliver(from, boot, to, message);
        }
        for of in self.primaries.keys().copied().collect::<Vec<_>>() {
            let now = self.now;
            for (to, message) in self.primary(of).poll(now) {
                self.send(of, Self::index_of(&to), message);
            }
        }
        if let Some((by, mut failover)) = self.failover.take() {
            for (to, message) in failover.poll(self.now) {
                self.send(by, Self::index_of(&to), message);
            }
            self.failover = Some((by, failover));
        }
    }

    fn deliver(&mut self, from: usize, boot: u64, to: usize, message: Message) {
        if !self.members[to].is_alive {
            return;
        }
        match &message {
            Message::Ack { .. }
            | Message::CapacityExceeded { .. }
            | Message::Fenced { .. }
            | Message::Fetched { .. } => {
                let now = self.now;
                if let Some(primary) = self.primaries.get_mut(&to) {
                    primary.handle_message(now, &name(from), boot, message.clone());
                }
                if let Some((_, failover)) = self.failover.as_mut().filter(|(by, _)| *by == to) {
                    failover.handle_message(&name(from), message);
                }
            }
            _ => {
                let now = self.now;
                if let Some(answer) = self.members[to].holder.handle_message(now, &name(from), boot, message)
                {
                    self.send(to, from, answer);
                }
            }
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn crash(&mut self, member: usize) {
        self.members[member].is_alive = false;
        self.members[member].holder = ReplicaHolder::default();
    }

    /// A member takes over the stream in an epoch; returns the state that it recovered.
    fn fail_over(&mut self, by: usize, epoch: u64) -> RecoveredStream {
        let others = (0..self.members.len()).filter(|other| *other != by && self.members[*other].is_alive);
        let others: Vec<String> = others.map(name).collect();
        self.members[by].holder.fence(STREAM, epoch);
        let own = self.members[by].holder.replica(STREAM).map(|replica| RecoveredStream {
            epoch: replica.epoch(),
            sequence: replica.sequence(),
            records: replica.records().clone(),
        });
        self.failover = Some((by, Failover::new(self.now, STREAM, epoch, own, &others)));
        loop {
            self.step();
            let recovered = self.failover.as_ref().and_then(|(_, failover)| failover.recovered(self.now));
            if let Some(recovered) = recovered {
                self.failover = None;
                let policy = ReplicationPolicy { replicas: 2, required_acks: 1 };
                let primary =
                    Primary::resume(STREAM, epoch, policy, recovered.sequence, recovered.records.clone());
                self.primaries.insert(by, primary);
                self.place_replicas(by);
                return recovered;
            }
        }
    }
}

/// With `required_acks` holders, `required_acks` - 1 machines may be lost together with the primary: the
/// successor recovers every committed change, and nothing that was never recorded.
#[test]
fn committed_changes_survive_the_tolerated_losses() {
    let mut with_commits = 0;
    for seed in 0..300 {
        let required_acks = 1 + (seed % 2) as usize;
        let mut simulation = Simulation::new(seed, 6, required_acks);
        simulation.place_replicas(0);
        let (steps, changes_per_step) =
            (simulation.rng.random_range(5..200), simulation.rng.random_range(1..60));
        for _ in 0..steps {
            (0..changes_per_step).for_each(|_| simulation.record_change());
            simulation.step();
        }
        let committed = simulation.primary(0).committed();
        let suspended = simulation.primaries.remove(&0).expect("a primary");
        simulation.crash(0);
        if required_acks == 2 {
            simulation.crash(1);
        }
        let recovered = simulation.fail_over(2, 1);
        assert!(recovered.sequence >= committed, "seed {seed}: {} of {committed}", recovered.sequence);
        assert_eq!(recovered.records, simulation.state_at(recovered.sequence), "seed {seed}");
        with_commits += usize::from(committed > 0);
        // The first primary was only suspended and continues, but every holder rejects it.
        simulation.members[0].is_alive = true;
        simulation.primaries.insert(0, suspended);
        for _ in 0..100 {
            simulation.record_change();
            simulation.step();
        }
        simulation.loss = 0.0;
        simulation.run(300);
        assert!(simulation.primary(0).is_fenced(), "seed {seed}");
        let (records, holders): (_, Vec<String>) = {
            let primary = simulation.primary(2);
            (primary.records().clone(), primary.holders().map(str::to_string).collect())
        };
        assert_eq!(records, recovered.records, "seed {seed}");
        for holder in holders {
            let replica =
                simulation.members[Simulation::index_of(&holder)].holder.replica(STREAM).expect("held");
            assert_eq!((replica.epoch(), replica.records()), (1, &records), "seed {seed}, {holder}");
        }
    }
    assert!(with_commits > 200, "only {with_commits} runs had committed changes");
}

/// The successor is lost in the middle of the failover and a second one succeeds it: changes that were
/// committed before the first loss are still there.
#[test]
fn a_lost_successor_is_succeeded() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 6, 2);
        simulation.place_replicas(0);
        for _ in 0..60 {
            (0..20).for_each(|_| simulation.record_change());
            simulation.step();
        }
        let committed = simulation.primary(0).committed();
        simulation.primaries.remove(&0);
        simulation.crash(0);
        let recovered = simulation.fail_over(1, 1);
        let steps = simulation.rng.random_range(0..80);
        simulation.run(steps);
        // The first successor has released some calls; its holders may have received these changes or not.
        let released: Vec<Call> = recovered.records.keys().copied().take(20).collect();
        for call in &released {
            simulation.primary(1).record_change(*call, None);
        }
        let steps = simulation.rng.random_range(0..80);
        simulation.run(steps);
        let has_progressed = simulation.primary(1).committed() > recovered.sequence;
        simulation.primaries.remove(&1);
        simulation.crash(1);
        let second = simulation.fail_over(2, 2);
        assert!(recovered.sequence >= committed, "seed {seed}");
        let unreleased = recovered.records.iter().filter(|(call, _)| !released.contains(call));
        for (call, record) in unreleased {
            assert_eq!(second.records.get(call), Some(record), "seed {seed}, call {call}, {has_progressed}");
        }
    }
}

/// Holders that lose their replicas, are replaced or return end up with all records of the primary.
#[test]
fn lost_holders_are_replicated_to_again() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 5, 1);
        simulation.place_replicas(0);
        for step in 0..300 {
            // In some runs, more changes than the log retains for lagging holders.
            (0..if seed % 3 == 0 { 60 } else { 3 }).for_each(|_| simulation.record_change());
            simulation.step();
            if step % 50 == 25 {
                let lost = simulation.rng.random_range(1..5);
                let is_back = simulation.rng.random_bool(0.5);
                simulation.crash(lost);
                simulation.members[lost].boot += 100;
                simulation.members[lost].is_alive = is_back;
                simulation.place_replicas(0);
            }
        }
        simulation.members.iter_mut().for_each(|member| member.is_alive = true);
        simulation.place_replicas(0);
        simulation.loss = 0.0;
        simulation.run(400);
        let (sequence, records) = (simulation.primary(0).sequence(), simulation.primary(0).records().clone());
        assert_eq!(
            (simulation.primary(0).fully_replicated(), simulation.primary(0).under_replicated()),
            (sequence, 0),
            "seed {seed}"
        );
        for holder in simulation.primary(0).holders().map(str::to_string).collect::<Vec<_>>() {
            let replica =
                simulation.members[Simulation::index_of(&holder)].holder.replica(STREAM).expect("held");
            assert_eq!(
                (replica.sequence(), replica.records()),
                (sequence, &records),
                "seed {seed}, {holder}"
            );
        }
    }
}

/// Lost messages are sent again soon, no matter how many new changes there are meanwhile.
#[test]
fn changes_are_committed_soon_on_a_lossy_network() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 5, 1);
        simulation.place_replicas(0);
        // When each uncommitted change was recorded, and the longest wait for a commit.
        let (mut recorded_at, mut longest) = (VecDeque::new(), 0);
        for _ in 0..1_000 {
            simulation.record_change();
            recorded_at.push_back(simulation.now);
            simulation.step();
            let open = simulation.primary(0).sequence() - simulation.primary(0).committed();
            recorded_at.drain(..recorded_at.len() - open as usize);
            longest = longest.max(recorded_at.front().map_or(0, |at| simulation.now - at));
        }
        assert!(longest < 450, "seed {seed}: {longest} ms");
    }
}

/// A partitioned holder counts as lagging, and other holders commit new changes without it.
#[test]
fn a_lagging_holder_does_not_delay_commits() {
    let mut primary = Primary::new(STREAM, ReplicationPolicy { replicas: 2, required_acks: 1 });
    let mut responsive = ReplicaHolder::default();
    primary.set_holders(0, &[("n1".into(), 1), ("n2".into(), 1)]);
    let mut sequence = 0;
    for now in (0..3_000).step_by(10) {
        sequence = primary.record_change(now, Some(CallRecord::Established { server: 1 }));
        for (to, message) in primary.poll(now) {
            let answer = (to == "n1").then(|| responsive.handle_message(now, "n0", 0, message)).flatten();
            answer.into_iter().for_each(|answer| primary.handle_message(now, "n1", 1, answer));
        }
    }
    assert_eq!(primary.committed(), sequence);
    assert_eq!(primary.lagging(3_000).collect::<Vec<_>>(), ["n2"]);
    assert!(primary.has_capacity(3_000));
    assert_eq!((primary.fully_replicated(), primary.under_replicated()), (0, 300));
    primary.set_holders(3_000, &[("n2".into(), 1)]);
    assert!(!primary.has_capacity(5_000));
    let sent: Vec<_> = primary.poll(5_000).into_iter().filter(|(to, _)| to == "n1").collect();
    assert_eq!(sent, [("n1".into(), Message::Discard { stream: STREAM, epoch: 0 })]);
}

/// Guards against a closed stream that a late message recreates.
#[test]
fn a_late_message_does_not_recreate_a_closed_stream() {
    let mut holder = ReplicaHolder::default();
    let message = Message::Append {
        stream: STREAM,
        epoch: 0,
        after: 0,
        changes: vec![(1, Some(CallRecord::Established { server: 1 }))],
    };
    holder.handle_message(0, "n0", 0, message.clone());
    assert_eq!(holder.record_count(), 1);
    holder.close(STREAM);
    assert!(matches!(holder.handle_message(0, "n0", 0, message), Some(Message::Fenced { .. })));
    assert_eq!((holder.record_count(), holder.replicas().count()), (0, 0));
}

/// A holder that a successor has queried fences the previous primary and rejects its changes. Otherwise the
/// successor would have recovered less than what the holder has.
#[test]
fn a_queried_holder_rejects_the_previous_primary() {
    let mut holder = ReplicaHolder::default();
    let established = Some(CallRecord::Established { server: 1 });
    let message =
        |after, call| Message::Append { stream: STREAM, epoch: 0, after, changes: vec![(call, established)] };
    assert!(matches!(
        holder.handle_message(0, "n0", 0, message(0, 1)),
        Some(Message::Ack { sequence: 1, .. })
    ));
    let reply = holder.handle_message(0, "n2", 0, Message::Fetch { stream: STREAM, epoch: 1, from: 0 });
    assert!(matches!(reply, Some(Message::Fetched { sequence: 1, .. })));
    assert!(matches!(
        holder.handle_message(0, "n0", 0, message(1, 2)),
        Some(Message::Fenced { epoch: 1, .. })
    ));
    // A holder without a replica rejects the previous primary as well.
    let mut empty = ReplicaHolder::default();
    empty.handle_message(0, "n2", 0, Message::Fetch { stream: STREAM, epoch: 1, from: 0 });
    assert!(matches!(
        empty.handle_message(0, "n0", 0, message(0, 1)),
        Some(Message::Fenced { epoch: 1, .. })
    ));
    // A query of an older epoch is rejected.
    let reply = holder.handle_message(0, "n3", 0, Message::Fetch { stream: STREAM, epoch: 0, from: 0 });
    assert!(matches!(reply, Some(Message::Fenced { epoch: 1, .. })));
    // The successor starts with a snapshot: its changes do not apply to a replica that the previous primary
    // wrote.
    let changes = Message::Append { stream: STREAM, epoch: 1, after: 1, changes: vec![(3, established)] };
    assert!(matches!(holder.handle_message(0, "n2", 0, changes), Some(Message::Ack { sequence: 0, .. })));
    assert_eq!(holder.replica(STREAM).expect("held").records().keys().collect::<Vec<_>>(), [&1]);
}
