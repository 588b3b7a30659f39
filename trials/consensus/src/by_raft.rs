//! `raft`: ticks and messages by hand, a store of its own in memory.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use slog::{o, Discard, Logger};

use crate::{Life, AFTER, BEFORE, BOUND, DELAY, EVERY, VOTERS};

/// The engine is ticked so often.
const TICK: u64 = 100;

struct World {
    now: u64,
    nodes: Vec<RawNode<MemStorage>>,
    decided: Vec<Vec<u64>>,
    /// By the moment at which they arrive, and their count.
    wire: BTreeMap<(u64, u64), Message>,
    said: u64,
    cut: Option<u64>,
    /// When each command was decided first.
    when: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        let logger = Logger::root(Discard, o!());
        let node = |id: u64| {
            let voters: Vec<u64> = (1..=VOTERS).collect();
            let storage = MemStorage::new_with_conf_state(ConfState::from((voters, vec![])));
            let config = Config {
                id,
                // Patience that differs by the voter, so that a life can be lived again.
                election_tick: 10,
                min_election_tick: 9 + id as usize * 2,
                max_election_tick: 10 + id as usize * 2,
                heartbeat_tick: 2,
                pre_vote: true,
                check_quorum: true,
                ..Config::default()
            };
            RawNode::new(&config, storage, &logger).expect("a voter")
        };
        World {
            now: 0,
            nodes: (1..=VOTERS).map(node).collect(),
            decided: vec![Vec::new(); VOTERS as usize],
            wire: BTreeMap::new(),
            said: 0,
            cut: None,
            when: BTreeMap::new(),
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            self.said += 1;
            self.wire.insert((self.now + DELAY, self.said), message);
        }
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let message = entry.remove();
            if [Some(message.from), Some(message.to)].contains(&self.cut) {
                continue;
            }
            // A word that the engine has no use for is none of ours.
            let _ = self.nodes[message.to as usize - 1].step(message);
        }
        for place in 0..self.nodes.len() {
            if self.now % TICK == 0 {
                self.nodes[place].tick();
            }
            self.turn(place);
        }
    }

    fn turn(&mut self, place: usize) {
        if !self.nodes[place].has_ready() {
            return;
        }
        let mut ready = self.nodes[place].ready();
        self.send(ready.take_messages());
        let mut entries = ready.take_committed_entries();
        let store = self.nodes[place].raft.raft_log.store.clone();
        store.wl().append(ready.entries()).expect("in memory");
        if let Some(state) = ready.hs() {
            store.wl().set_hardstate(state.clone());
        }
        self.send(ready.take_persisted_messages());
        let mut light = self.nodes[place].advance(ready);
        self.send(light.take_messages());
        entries.extend(light.take_committed_entries());
        for entry in entries {
            if let Ok(bytes) = entry.data[..].try_into() {
                let command = u64::from_be_bytes(bytes);
                self.decided[place].push(command);
                self.when.entry(command).or_insert(self.now);
            }
        }
        self.nodes[place].advance_apply();
    }

    fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|place| {
            self.nodes[*place].raft.state == StateRole::Leader && self.cut != Some(*place as u64 + 1)
        })
    }

    /// Steps until something holds.
    fn until(&mut self, holds: impl Fn(&World) -> bool) {
        while !holds(self) {
            assert!(self.now < BOUND, "not in time");
            self.step();
        }
    }

    fn give(&mut self, from: u64, count: u64) -> Vec<u64> {
        let mut given = BTreeMap::new();
        for command in from..from + count {
            let leader = self.leader().expect("one leads");
            self.nodes[leader].propose(vec![], command.to_be_bytes().to_vec()).expect("taken");
            given.insert(command, self.now);
            let until = self.now + EVERY;
            self.until(|world| world.now >= until);
        }
        self.until(|world| world.when.contains_key(&(from + count - 1)));
        given.into_iter().map(|(command, at)| self.when[&command] - at).collect()
    }
}

pub fn live() -> Life {
    let (mut world, mut life) = (World::new(), Life::default());
    world.until(|world| world.leader().is_some());
    life.leader_ms = world.now;
    let before = world.said;
    let times = world.give(0, BEFORE);
    life.took(times);
    life.messages = world.said - before;
    let cut = world.now;
    world.cut = world.leader().map(|place| place as u64 + 1);
    world.until(|world| world.leader().is_some());
    world.give(BEFORE, 1);
    life.next_ms = world.when[&BEFORE] - cut;
    world.give(BEFORE + 1, AFTER - 1);
    world.cut = None;
    let all = (BEFORE + AFTER) as usize;
    world.until(|world| world.decided.iter().all(|decided| decided.len() == all));
    life.same = world.decided.iter().all(|decided| *decided == world.decided[0]);
    life
}
