//! Who writes copies, in virtual time with faults: a writer that is lost is succeeded, in time, by one that
//! holds its copies; and no two would ever act on one stream at the same moment (the world looks at every
//! step, [`World::actors`]).

mod world;

use steprelay_fleet::cluster_state::{Command, Rejection};
use steprelay_fleet::messages::{LeaderRequest, LeaderResponse};
use world::World;

/// What is left of the 8 s that a release may take, for what comes after the council's word.
const SOON: u64 = 6_500;

/// How much faster each clock runs, in millionths; for all others not at all.
fn whole<const CLOCKS: usize>(seed: u64, size: usize, drift: [u64; CLOCKS]) -> World {
    let mut world = World::new(seed, size, 3, 1, 1_000);
    world.copied = true;
    world.machines.iter_mut().zip(drift).for_each(|(machine, drift)| machine.drift = drift);
    world.start_all();
    assert!(world.until(20_000, World::is_whole), "no whole fleet: {}", world.logs());
    world.run(6_000);
    world
}

fn stream_of(world: &World, place: usize) -> u64 {
    world.node(place).me().boot
}

/// Who writes a stream by what the leader knows.
fn writer(world: &World, stream: u64) -> Option<(String, u64)> {
    let by = world.node(world.leader()?).cluster_state().stream_owners.get(&stream)?;
    Some((by.name.clone(), by.epoch))
}

fn good(world: &World) {
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.logs());
}

#[test]
fn a_writer_that_is_lost_is_succeeded_in_time_by_one_that_holds_its_copies() {
    for seed in 1..20 {
        let mut world = whole(seed, 5, []);
        // The leader itself, and others.
        let place = (seed % 5) as usize;
        let stream = stream_of(&world, place);
        assert_eq!(world.actors(stream), [place]);
        let killed = world.now;
        world.kill(place);
        assert!(world.until(SOON, |world| writer(world, stream).is_some()), "seed {seed}: {}", world.logs());
        let took = world.now - killed;
        let (name, epoch) = writer(&world, stream).expect("agreed");
        assert!(
            epoch == 1
                && world.streams.iter().any(|held| held.boot == stream
                    && held.held.iter().any(|(holder, _)| world.name(*holder) == name)),
            "seed {seed}: {name}"
        );
        assert!(took >= 2_000, "seed {seed}: {took} ms, while its lease held");
        assert!(world.until(2_000, |world| world.actors(stream).len() == 1), "seed {seed}: nobody acts");
        good(&world);
    }
}

#[test]
fn a_successor_that_is_lost_is_succeeded_too_and_what_is_settled_is_over() {
    let mut world = whole(3, 6, []);
    let stream = stream_of(&world, 5);
    world.kill(5);
    assert!(world.until(SOON, |world| writer(world, stream).is_some()), "{}", world.logs());
    let (first, _) = writer(&world, stream).expect("agreed");
    let place = (0..6).find(|place| world.name(*place) == first).expect("a member");
    world.kill(place);
    let second = |world: &World| writer(world, stream).is_some_and(|(_, epoch)| epoch == 2);
    assert!(world.until(SOON, second), "{}", world.logs());
    let leader = world.leader().expect("one leads");
    // The older epoch settles nothing; the later one does, once.
    let settle = |epoch| Command::CloseStream { stream, epoch };
    let refused = world.command(leader, settle(1)).expect("an answer");
    assert!(matches!(refused, Err(Rejection::Fenced { .. })), "{refused:?}");
    assert_eq!(world.command(leader, settle(2)), Some(Ok(())));
    assert!(matches!(world.command(leader, settle(2)), Some(Err(Rejection::Fenced { .. }))));
    world.run(10_000);
    assert_eq!(writer(&world, stream), None, "what is over is succeeded by nobody");
    // Only the leader says who succeeds.
    let told = world.ask(
        leader,
        LeaderRequest::Execute(Command::FailOver { stream, epoch: 1, name: "n1".into(), boot: 1 }),
    );
    assert!(matches!(told, Some(LeaderResponse::Outcome(Err(Rejection::NotAllowed(_))))), "{told:?}");
    good(&world);
}

/// One that only slept, or was cut off, finds out before it acts; a shorter sleep costs it nothing.
#[test]
fn a_writer_that_sleeps_or_is_cut_off_is_no_writer_meanwhile() {
    let mut succeeded = 0;
    for seed in 1..25 {
        // Clocks run apart by no more than is reckoned with.
        let mut world = whole(seed, 5, [0, 40_000, 10_000, 20_000, 30_000]);
        let place = (seed % 5) as usize;
        let stream = stream_of(&world, place);
        let for_ms = 500 * seed;
        match seed % 3 {
            0 => world.stall(place, for_ms),
            1 => world.partition(|one| usize::from(one == place)),
            _ => world.cuts.extend((0..5).filter(|other| *other != place).map(|other| (place, other))),
        }
        world.run(for_ms);
        world.heal();
        assert!(world.until(30_000, World::is_whole), "seed {seed}: {}", world.show());
        world.run(6_000);
        let by = writer(&world, stream);
        succeeded += usize::from(by.is_some());
        assert_eq!(world.actors(stream).len(), 1, "seed {seed}: {by:?}");
        assert!(for_ms > 3_000 || by.is_none(), "seed {seed}: {for_ms} ms are no death");
        good(&world);
    }
    assert!(succeeded > 5, "{succeeded}");
}

/// The leader and another one are alone together: it renews the other until it finds out that it leads no
/// more. Where it sleeps meanwhile, it wakes believing that it leads, and its word renews nobody's lease
/// then.
#[test]
fn a_leader_that_leads_no_more_renews_nobody_for_long() {
    let mut succeeded = 0;
    for seed in 1..40 {
        let mut world = whole(seed, 5, []);
        let leader = world.leader().expect("one leads");
        let votes = |place: &usize| {
            world.node(leader).cluster_state().voters.contains_key(&world.node(*place).me().node)
        };
        let other = (0..5).find(|place| !votes(place)).expect("the others are a majority");
        let stream = stream_of(&world, other);
        if seed % 2 == 0 {
            world.stall(leader, 5_000 + 100 * seed);
        }
        world.partition(|place| usize::from(place == leader || place == other));
        world.run(12_000);
        succeeded += usize::from(writer(&world, stream).is_some());
        world.heal();
        assert!(world.until(30_000, World::is_whole), "seed {seed}: {}", world.show());
        world.run(3_000);
        good(&world);
    }
    assert!(succeeded > 20, "{succeeded}");
}

/// Without a majority nobody succeeds anybody, and leases run out.
#[test]
fn without_a_majority_nobody_succeeds() {
    let mut world = whole(4, 6, []);
    let stream = stream_of(&world, 5);
    world.partition(|place| place % 3);
    world.run(3_500);
    world.kill(5);
    world.run(20_000);
    for place in 0..5 {
        assert!(!world.node(place).cluster_state().stream_owners.contains_key(&stream));
        assert!(world.actors(stream_of(&world, place)).is_empty(), "{place} acts without a lease");
    }
    world.heal();
    assert!(world.until(20_000, |world| writer(world, stream).is_some()), "{}", world.logs());
    good(&world);
}
