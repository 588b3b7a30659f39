//! `omnipaxos`: ticks and messages by hand, its own store in memory.

use std::collections::BTreeMap;

use omnipaxos::macros::Entry;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use omnipaxos_storage::memory_storage::MemoryStorage;
use serde::{Deserialize, Serialize};

use crate::{Life, AFTER, BEFORE, BOUND, DELAY, EVERY, VOTERS};

const TICK: u64 = 100;

#[derive(Clone, Debug, Serialize, Deserialize, Entry)]
struct Command(u64);

type Node = OmniPaxos<Command, MemoryStorage<Command>>;

struct World {
    now: u64,
    nodes: Vec<Node>,
    decided: Vec<Vec<u64>>,
    wire: BTreeMap<(u64, u64), Message<Command>>,
    said: u64,
    cut: Option<u64>,
    when: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        let node = |pid: u64| {
            let cluster_config =
                ClusterConfig { configuration_id: 1, nodes: (1..=VOTERS).collect(), ..Default::default() };
            let server_config = ServerConfig {
                pid,
                election_tick_timeout: 2,
                resend_message_tick_timeout: 5,
                ..Default::default()
            };
            let config = OmniPaxosConfig { cluster_config, server_config };
            config.build(MemoryStorage::default()).expect("a voter")
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

    fn step(&mut self) {
        self.now += 1;
        while let Some(entry) = self.wire.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let message = entry.remove();
            let ends = [Some(message.get_sender()), Some(message.get_receiver())];
            if ends.contains(&self.cut) {
                continue;
            }
            self.nodes[message.get_receiver() as usize - 1].handle_incoming(message);
        }
        for place in 0..self.nodes.len() {
            if self.now % TICK == 0 {
                self.nodes[place].tick();
            }
            let mut messages = Vec::new();
            self.nodes[place].take_outgoing_messages(&mut messages);
            for message in messages {
                self.said += 1;
                self.wire.insert((self.now + DELAY, self.said), message);
            }
            let from = self.decided[place].len() as u64;
            for entry in self.nodes[place].read_decided_suffix(from as _).unwrap_or_default() {
                if let LogEntry::Decided(Command(command)) = entry {
                    self.decided[place].push(command);
                    self.when.entry(command).or_insert(self.now);
                }
            }
        }
    }

    /// The one that most take for the leader, if it can be reached.
    fn leader(&self) -> Option<usize> {
        let believed = |place: usize| {
            let there = (0..self.nodes.len()).filter(|other| self.cut != Some(*other as u64 + 1));
            let leads = |other: &usize| {
                self.nodes[*other].get_current_leader().is_some_and(|(leader, _)| leader == place as u64 + 1)
            };
            there.filter(leads).count()
        };
        (0..self.nodes.len())
            .filter(|place| self.cut != Some(*place as u64 + 1))
            .find(|place| believed(*place) > VOTERS as usize / 2)
    }

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
            self.nodes[leader].append(Command(command)).expect("taken");
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
