//! The scenario for engines that are ticked and given messages by hand.

use std::collections::BTreeMap;

use crate::{Life, AFTER, BEFORE, BOUND, DELAY, EVERY, VOTERS};

/// The engine is ticked so often.
pub const TICK: u64 = 100;

/// What is true of the world whatever the engine.
pub struct Seen {
    pub now: u64,
    pub decided: Vec<Vec<u64>>,
    pub said: u64,
    /// Who is cut off.
    pub cut: Option<u64>,
    /// When each command was decided first.
    when: BTreeMap<u64, u64>,
}

impl Default for Seen {
    fn default() -> Self {
        let decided = vec![Vec::new(); VOTERS as usize];
        Seen { now: 0, decided, said: 0, cut: None, when: BTreeMap::new() }
    }
}

impl Seen {
    pub fn decide(&mut self, place: usize, command: u64) {
        self.decided[place].push(command);
        self.when.entry(command).or_insert(self.now);
    }
}

/// Words on their way, by the moment at which they arrive.
pub struct Wire<M> {
    words: BTreeMap<(u64, u64), M>,
}

impl<M> Default for Wire<M> {
    fn default() -> Self {
        Wire { words: BTreeMap::new() }
    }
}

impl<M> Wire<M> {
    pub fn send(&mut self, seen: &mut Seen, word: M) {
        seen.said += 1;
        self.words.insert((seen.now + DELAY, seen.said), word);
    }

    /// The next word that has arrived; `ends` tells who says it and to whom, and a cut takes it away.
    pub fn next(&mut self, seen: &Seen, ends: impl Fn(&M) -> [u64; 2]) -> Option<M> {
        loop {
            let word = self.words.first_entry().filter(|entry| entry.key().0 <= seen.now)?.remove();
            if !ends(&word).iter().any(|end| seen.cut == Some(*end)) {
                return Some(word);
            }
        }
    }
}

pub trait ByHand: Sized {
    fn new() -> Self;
    fn seen(&mut self) -> &mut Seen;
    /// A millisecond passes.
    fn step(&mut self);
    /// The place of the voter that leads and can be reached.
    fn leader(&mut self) -> Option<usize>;
    fn propose(&mut self, leader: usize, command: u64);
}

fn until<W: ByHand>(world: &mut W, holds: impl Fn(&mut W) -> bool) {
    while !holds(world) {
        assert!(world.seen().now < BOUND, "not in time");
        world.step();
    }
}

/// Gives commands one after the other; how long each took.
fn give<W: ByHand>(world: &mut W, from: u64, count: u64) -> Vec<u64> {
    let mut given = BTreeMap::new();
    for command in from..from + count {
        let leader = world.leader().expect("one leads");
        world.propose(leader, command);
        let now = world.seen().now;
        given.insert(command, now);
        until(world, |world| world.seen().now >= now + EVERY);
    }
    until(world, |world| world.seen().when.contains_key(&(from + count - 1)));
    given.into_iter().map(|(command, at)| world.seen().when[&command] - at).collect()
}

pub fn live<W: ByHand>() -> Life {
    let (mut world, mut life) = (W::new(), Life::default());
    until(&mut world, |world| world.leader().is_some());
    life.leader_ms = world.seen().now;
    let before = world.seen().said;
    let times = give(&mut world, 0, BEFORE);
    life.took(times);
    life.messages = world.seen().said - before;
    let cut = world.seen().now;
    let leader = world.leader();
    world.seen().cut = leader.map(|place| place as u64 + 1);
    until(&mut world, |world| world.leader().is_some());
    give(&mut world, BEFORE, 1);
    life.next_ms = world.seen().when[&BEFORE] - cut;
    give(&mut world, BEFORE + 1, AFTER - 1);
    world.seen().cut = None;
    let all = (BEFORE + AFTER) as usize;
    until(&mut world, |world| world.seen().decided.iter().all(|decided| decided.len() == all));
    let decided = &world.seen().decided;
    life.same = decided.iter().all(|other| *other == decided[0]);
    life
}
