//! Lives of a stream under a fake now: a primary, holders and a successor on a network that loses, delays,
//! doubles and reorders, with members that are lost. Judged by the list of changes alone.

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
    alive: bool,
}

/// Members by their numbers; 0 writes first.
struct Simulation {
    now: u64,
    rng: StdRng,
    members: Vec<SimulatedMember>,
    primaries: BTreeMap<usize, Primary>,
    failover: Option<(usize, Failover)>,
    wire: BTreeMap<(u64, u64), (usize, u64, usize, Message)>,
    sent: u64,
    loss: f64,
    /// Everything that was ever noted by the first primary, in order.
    changes: Vec<Change>,
}

fn name(member: usize) -> String {
    format!("n{member}")
}

impl Simulation {
    fn new(seed: u64, members: usize, required_acks: usize) -> Self {
        let member = |boot| SimulatedMember { boot, holder: ReplicaHolder::default(), alive: true };
        let policy = ReplicationPolicy { replicas: 2, required_acks };
        Simulation {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            members: (0..members as u64).map(member).collect(),
            primaries: BTreeMap::from([(0, Primary::new(STREAM, policy))]),
            failover: None,
            wire: BTreeMap::new(),
            sent: 0,
            loss: 0.2,
            changes: Vec::new(),
        }
    }

    fn primary(&mut self, of: usize) -> &mut Primary {
        self.primaries.get_mut(&of).expect("it writes")
    }

    /// A call begins, goes on or ends.
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

    /// What a prefix of the changes amounts to.
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

    fn post(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(0.2)) {
            let at = self.now + self.rng.random_range(1..80);
            self.sent += 1;
            let boot = self.members[from].boot;
            self.wire.insert((at, self.sent), (from, boot, to, message.clone()));
        }
    }

    fn number_of(name: &str) -> usize {
        name[1..].parse().expect("a member")
    }

    /// The holders of a member's stream are those after it that live.
    fn place(&mut self, of: usize) {
        let count = self.members.len();
        let others = (1..count).map(|step| (of + step) % count).filter(|other| self.members[*other].alive);
        let holders: Vec<(String, u64)> =
            others.take(2).map(|other| (name(other), self.members[other].boot)).collect();
        let now = self.now;
        self.primary(of).set_holders(now, &holders);
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((&at, _)) = self.wire.first_key_value() {
            if at.0 > self.now {
                break;
            }
            let Some((from, boot, to, message)) = self.wire.remove(&at) else { break };
            self.deliver(from, boot, to, message);
        }
        for of in self.primaries.keys().copied().collect::<Vec<_>>() {
            let now = self.now;
            for (to, message) in self.primary(of).poll(now) {
                self.post(of, Self::number_of(&to), message);
            }
        }
        if let Some((by, mut failover)) = self.failover.take() {
            for (to, message) in failover.poll(self.now) {
                self.post(by, Self::number_of(&to), message);
            }
            self.failover = Some((by, failover));
        }
    }

    fn deliver(&mut self, from: usize, boot: u64, to: usize, message: Message) {
        if !self.members[to].alive {
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
                    self.post(to, from, answer);
                }
            }
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn kill(&mut self, member: usize) {
        self.members[member].alive = false;
        self.members[member].holder = ReplicaHolder::default();
    }

    /// A member succeeds by an epoch; what it recovered.
    fn fail_over(&mut self, by: usize, epoch: u64) -> RecoveredStream {
        let others = (0..self.members.len()).filter(|other| *other != by && self.members[*other].alive);
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
                self.place(by);
                return recovered;
            }
        }
    }
}

/// With `required_acks` holders, as many machines may be lost with the primary as are required_acks less one: whatever was
/// committed is recovered by the successor, and nothing that never was.
#[test]
fn what_was_covered_outlives_the_machines_that_were_reckoned_with() {
    let mut moved = 0;
    for seed in 0..300 {
        let required_acks = 1 + (seed % 2) as usize;
        let mut simulation = Simulation::new(seed, 6, required_acks);
        simulation.place(0);
        let (steps, pace) = (simulation.rng.random_range(5..200), simulation.rng.random_range(1..60));
        for _ in 0..steps {
            (0..pace).for_each(|_| simulation.record_change());
            simulation.step();
        }
        let committed = simulation.primary(0).committed();
        let told = simulation.primaries.remove(&0).expect("it writes");
        simulation.kill(0);
        if required_acks == 2 {
            simulation.kill(1);
        }
        let recovered = simulation.fail_over(2, 1);
        assert!(recovered.sequence >= committed, "seed {seed}: {} of {committed}", recovered.sequence);
        assert_eq!(recovered.records, simulation.state_at(recovered.sequence), "seed {seed}");
        moved += usize::from(committed > 0);
        // The one that was taken for dead only slept, and goes on: nobody believes it.
        simulation.members[0].alive = true;
        simulation.primaries.insert(0, told);
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
                simulation.members[Simulation::number_of(&holder)].holder.replica(STREAM).expect("held");
            assert_eq!((replica.epoch(), replica.records()), (1, &records), "seed {seed}, {holder}");
        }
    }
    assert!(moved > 200, "{moved} lives had anything to lose");
}

/// The successor is lost in the middle, and another one succeeds it: what was committed first is still there.
#[test]
fn a_successor_that_is_lost_is_succeeded() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 6, 2);
        simulation.place(0);
        for _ in 0..60 {
            (0..20).for_each(|_| simulation.record_change());
            simulation.step();
        }
        let committed = simulation.primary(0).committed();
        simulation.primaries.remove(&0);
        simulation.kill(0);
        let recovered = simulation.fail_over(1, 1);
        let steps = simulation.rng.random_range(0..80);
        simulation.run(steps);
        // It has given some of them their release, and told its holders, or not yet.
        let given: Vec<Call> = recovered.records.keys().copied().take(20).collect();
        for call in &given {
            simulation.primary(1).record_change(*call, None);
        }
        let steps = simulation.rng.random_range(0..80);
        simulation.run(steps);
        let gone_on = simulation.primary(1).committed() > recovered.sequence;
        simulation.primaries.remove(&1);
        simulation.kill(1);
        let again = simulation.fail_over(2, 2);
        assert!(recovered.sequence >= committed, "seed {seed}");
        let kept = recovered.records.iter().filter(|(call, _)| !given.contains(call));
        for (call, record) in kept {
            assert_eq!(again.records.get(call), Some(record), "seed {seed}, call {call}, {gone_on}");
        }
    }
}

/// Holders that lose all they hold, are replaced or come back end with what the primary has.
#[test]
fn holders_that_are_lost_are_made_whole_again() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 5, 1);
        simulation.place(0);
        for step in 0..300 {
            // Beyond what is kept for those that lag, in some lives.
            (0..if seed % 3 == 0 { 60 } else { 3 }).for_each(|_| simulation.record_change());
            simulation.step();
            if step % 50 == 25 {
                let lost = simulation.rng.random_range(1..5);
                let back = simulation.rng.random_bool(0.5);
                simulation.kill(lost);
                simulation.members[lost].boot += 100;
                simulation.members[lost].alive = back;
                simulation.place(0);
            }
        }
        simulation.members.iter_mut().for_each(|member| member.alive = true);
        simulation.place(0);
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
                simulation.members[Simulation::number_of(&holder)].holder.replica(STREAM).expect("held");
            assert_eq!(
                (replica.sequence(), replica.records()),
                (sequence, &records),
                "seed {seed}, {holder}"
            );
        }
    }
}

/// What is lost on the way is said again soon, however much there is to say meanwhile.
#[test]
fn what_is_new_is_covered_soon_on_a_bad_network() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 5, 1);
        simulation.place(0);
        // When each sequence was noted, and the longest that one waited.
        let (mut noted, mut longest) = (VecDeque::new(), 0);
        for _ in 0..1_000 {
            simulation.record_change();
            noted.push_back(simulation.now);
            simulation.step();
            let open = simulation.primary(0).sequence() - simulation.primary(0).committed();
            noted.drain(..noted.len() - open as usize);
            longest = longest.max(noted.front().map_or(0, |at| simulation.now - at));
        }
        assert!(longest < 450, "seed {seed}: {longest} ms");
    }
}

/// A holder that is cut off is slow, and others cover what is new without it.
#[test]
fn a_slow_holder_is_passed_over() {
    let mut primary = Primary::new(STREAM, ReplicationPolicy { replicas: 2, required_acks: 1 });
    let mut quick = ReplicaHolder::default();
    primary.set_holders(0, &[("n1".into(), 1), ("n2".into(), 1)]);
    let mut sequence = 0;
    for now in (0..3_000).step_by(10) {
        sequence = primary.record_change(now, Some(CallRecord::Established { server: 1 }));
        for (to, message) in primary.poll(now) {
            let answer = (to == "n1").then(|| quick.handle_message(now, "n0", 0, message)).flatten();
            answer.into_iter().for_each(|answer| primary.handle_message(now, "n1", 1, answer));
        }
    }
    assert_eq!(primary.committed(), sequence);
    assert_eq!(primary.lagging(3_000).collect::<Vec<_>>(), ["n2"]);
    assert!(primary.has_capacity(3_000));
    assert_eq!((primary.fully_replicated(), primary.under_replicated()), (0, 300));
    primary.set_holders(3_000, &[("n2".into(), 1)]);
    assert!(!primary.has_capacity(5_000));
    let told: Vec<_> = primary.poll(5_000).into_iter().filter(|(to, _)| to == "n1").collect();
    assert_eq!(told, [("n1".into(), Message::Discard { stream: STREAM, epoch: 0 })]);
}

/// What is over stays over, whatever comes late.
#[test]
fn a_stream_that_is_over_comes_back_by_no_late_word() {
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

/// From a successor's question on, the primary before it is told that it writes no more, and no message of it
/// counts: what the successor was told would else be less than what is held.
#[test]
fn whoever_was_asked_by_a_successor_takes_nothing_of_the_one_before() {
    let mut holder = ReplicaHolder::default();
    let stands = Some(CallRecord::Established { server: 1 });
    let message =
        |after, call| Message::Append { stream: STREAM, epoch: 0, after, changes: vec![(call, stands)] };
    assert!(matches!(
        holder.handle_message(0, "n0", 0, message(0, 1)),
        Some(Message::Ack { sequence: 1, .. })
    ));
    let asked = holder.handle_message(0, "n2", 0, Message::Fetch { stream: STREAM, epoch: 1, from: 0 });
    assert!(matches!(asked, Some(Message::Fetched { sequence: 1, .. })));
    assert!(matches!(
        holder.handle_message(0, "n0", 0, message(1, 2)),
        Some(Message::Fenced { epoch: 1, .. })
    ));
    // Nor does one that held nothing begin now.
    let mut empty = ReplicaHolder::default();
    empty.handle_message(0, "n2", 0, Message::Fetch { stream: STREAM, epoch: 1, from: 0 });
    assert!(matches!(
        empty.handle_message(0, "n0", 0, message(0, 1)),
        Some(Message::Fenced { epoch: 1, .. })
    ));
    // An older question is answered by no one.
    let asked = holder.handle_message(0, "n3", 0, Message::Fetch { stream: STREAM, epoch: 0, from: 0 });
    assert!(matches!(asked, Some(Message::Fenced { epoch: 1, .. })));
    // The successor's first message is the whole: changes on what the one before wrote would be of another past.
    let changes = Message::Append { stream: STREAM, epoch: 1, after: 1, changes: vec![(3, stands)] };
    assert!(matches!(holder.handle_message(0, "n2", 0, changes), Some(Message::Ack { sequence: 0, .. })));
    assert_eq!(holder.replica(STREAM).expect("held").records().keys().collect::<Vec<_>>(), [&1]);
}
