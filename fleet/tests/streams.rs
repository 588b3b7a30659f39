//! Ownership of replication streams in a simulation with fault injection: a lost primary is replaced in
//! time by a member that holds a replica, and no two members would ever act on one stream at the same time
//! (checked in every step, [`Simulation::acting_primaries`]).

mod world;

use steprelay_fleet::cluster_state::{Command, Rejection};
use steprelay_fleet::messages::{LeaderRequest, LeaderResponse};
use world::Simulation;

/// A release may take 8 s; this is the part of it before the failover is committed.
const FAILOVER_DEADLINE_MS: u64 = 6_500;

/// `drift`: by how much each clock runs faster, in millionths; 0 for the others.
fn converged<const CLOCKS: usize>(seed: u64, size: usize, drift: [u64; CLOCKS]) -> Simulation {
    let mut sim = Simulation::new(seed, size, 3, 1, 1_000);
    sim.replicates = true;
    sim.machines.iter_mut().zip(drift).for_each(|(machine, drift)| machine.drift = drift);
    sim.start_all();
    assert!(sim.run_until(20_000, Simulation::has_converged), "no convergence: {}", sim.logs());
    sim.run(6_000);
    sim
}

fn stream_of(sim: &Simulation, index: usize) -> u64 {
    sim.node(index).me().boot
}

/// The owner of a stream and its epoch, in the leader's state.
fn stream_owner(sim: &Simulation, stream: u64) -> Option<(String, u64)> {
    let by = sim.node(sim.leader()?).cluster_state().stream_owners.get(&stream)?;
    Some((by.name.clone(), by.epoch))
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}\n{}", sim.violations, sim.logs());
}

#[test]
fn a_lost_primary_is_replaced_in_time_by_a_replica_holder() {
    for seed in 1..20 {
        let mut sim = converged(seed, 5, []);
        // Covers the leader itself, and others.
        let index = (seed % 5) as usize;
        let stream = stream_of(&sim, index);
        assert_eq!(sim.acting_primaries(stream), [index]);
        let killed = sim.now;
        sim.kill(index);
        assert!(
            sim.run_until(FAILOVER_DEADLINE_MS, |sim| stream_owner(sim, stream).is_some()),
            "seed {seed}: {}",
            sim.logs()
        );
        let took = sim.now - killed;
        let (name, epoch) = stream_owner(&sim, stream).expect("agreed");
        assert!(
            epoch == 1
                && sim.streams.iter().any(|held| held.boot == stream
                    && held.held.iter().any(|(holder, _)| sim.name(*holder) == name)),
            "seed {seed}: {name}"
        );
        assert!(took >= 2_000, "seed {seed}: {took} ms, while its lease held");
        assert!(
            sim.run_until(2_000, |sim| sim.acting_primaries(stream).len() == 1),
            "seed {seed}: no member acts"
        );
        assert_no_violations(&sim);
    }
}

#[test]
fn a_lost_successor_is_replaced_and_a_closed_stream_stays_closed() {
    let mut sim = converged(3, 6, []);
    let stream = stream_of(&sim, 5);
    sim.kill(5);
    assert!(sim.run_until(FAILOVER_DEADLINE_MS, |sim| stream_owner(sim, stream).is_some()), "{}", sim.logs());
    let (first, _) = stream_owner(&sim, stream).expect("agreed");
    let index = (0..6).find(|index| sim.name(*index) == first).expect("a member");
    sim.kill(index);
    let second = |sim: &Simulation| stream_owner(sim, stream).is_some_and(|(_, epoch)| epoch == 2);
    assert!(sim.run_until(FAILOVER_DEADLINE_MS, second), "{}", sim.logs());
    let leader = sim.leader().expect("a leader");
    // The older epoch can't close the stream; the later one can, once.
    let close = |epoch| Command::CloseStream { stream, epoch };
    let refused = sim.command(leader, close(1)).expect("an outcome");
    assert!(matches!(refused, Err(Rejection::Fenced { .. })), "{refused:?}");
    assert_eq!(sim.command(leader, close(2)), Some(Ok(())));
    assert!(matches!(sim.command(leader, close(2)), Some(Err(Rejection::Fenced { .. }))));
    sim.run(10_000);
    assert_eq!(stream_owner(&sim, stream), None, "a closed stream has no successor");
    // Only the leader may propose a failover.
    let response = sim.request(
        leader,
        LeaderRequest::Execute(Command::FailOver { stream, epoch: 1, name: "n1".into(), boot: 1 }),
    );
    assert!(matches!(response, Some(LeaderResponse::Outcome(Err(Rejection::NotAllowed(_))))), "{response:?}");
    assert_no_violations(&sim);
}

/// A primary that was only stalled or partitioned notices its loss before it acts; a shorter stall has no
/// effect.
#[test]
fn a_stalled_or_partitioned_primary_does_not_act_as_one() {
    let mut failovers = 0;
    for seed in 1..25 {
        // Clocks drift by no more than the bound that the implementation assumes.
        let mut sim = converged(seed, 5, [0, 40_000, 10_000, 20_000, 30_000]);
        let index = (seed % 5) as usize;
        let stream = stream_of(&sim, index);
        let for_ms = 500 * seed;
        match seed % 3 {
            0 => sim.stall(index, for_ms),
            1 => sim.partition(|one| usize::from(one == index)),
            _ => sim.blocked_paths.extend((0..5).filter(|other| *other != index).map(|other| (index, other))),
        }
        sim.run(for_ms);
        sim.heal();
        assert!(sim.run_until(30_000, Simulation::has_converged), "seed {seed}: {}", sim.dump());
        sim.run(6_000);
        let by = stream_owner(&sim, stream);
        failovers += usize::from(by.is_some());
        assert_eq!(sim.acting_primaries(stream).len(), 1, "seed {seed}: {by:?}");
        assert!(for_ms > 3_000 || by.is_none(), "seed {seed}: no failover after {for_ms} ms");
        assert_no_violations(&sim);
    }
    assert!(failovers > 5, "{failovers}");
}

/// The leader is partitioned together with one other member, and renews its lease until it notices that it
/// lost leadership. If it is stalled in the meantime, it still believes on waking that it leads, and must
/// not renew the other's lease then.
#[test]
fn a_deposed_leader_soon_renews_no_leases() {
    let mut failovers = 0;
    for seed in 1..40 {
        let mut sim = converged(seed, 5, []);
        let leader = sim.leader().expect("a leader");
        let votes =
            |index: &usize| sim.node(leader).cluster_state().voters.contains_key(&sim.node(*index).me().node);
        let other = (0..5).find(|index| !votes(index)).expect("a member without a vote");
        let stream = stream_of(&sim, other);
        if seed % 2 == 0 {
            sim.stall(leader, 5_000 + 100 * seed);
        }
        sim.partition(|index| usize::from(index == leader || index == other));
        sim.run(12_000);
        failovers += usize::from(stream_owner(&sim, stream).is_some());
        sim.heal();
        assert!(sim.run_until(30_000, Simulation::has_converged), "seed {seed}: {}", sim.dump());
        sim.run(3_000);
        assert_no_violations(&sim);
    }
    assert!(failovers > 20, "{failovers}");
}

/// Without a majority there is no failover, and leases expire.
#[test]
fn without_a_majority_there_is_no_failover() {
    let mut sim = converged(4, 6, []);
    let stream = stream_of(&sim, 5);
    sim.partition(|index| index % 3);
    sim.run(3_500);
    sim.kill(5);
    sim.run(20_000);
    for index in 0..5 {
        assert!(!sim.node(index).cluster_state().stream_owners.contains_key(&stream));
        assert!(sim.acting_primaries(stream_of(&sim, index)).is_empty(), "{index} acts without a lease");
    }
    sim.heal();
    assert!(sim.run_until(20_000, |sim| stream_owner(sim, stream).is_some()), "{}", sim.logs());
    assert_no_violations(&sim);
}
