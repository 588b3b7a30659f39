//! `omnipaxos`: ticks and messages by hand, its own store in memory.

use omnipaxos::macros::Entry;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use omnipaxos_storage::memory_storage::MemoryStorage;
use serde::{Deserialize, Serialize};

use crate::by_hand::{ByHand, Seen, Wire, TICK};
use crate::VOTERS;

#[derive(Clone, Debug, Serialize, Deserialize, Entry)]
struct Command(u64);

type Node = OmniPaxos<Command, MemoryStorage<Command>>;

#[derive(Default)]
pub struct World {
    seen: Seen,
    nodes: Vec<Node>,
    wire: Wire<Message<Command>>,
}

impl ByHand for World {
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
        World { nodes: (1..=VOTERS).map(node).collect(), ..World::default() }
    }

    fn seen(&mut self) -> &mut Seen {
        &mut self.seen
    }

    fn step(&mut self) {
        self.seen.now += 1;
        let ends = |message: &Message<Command>| [message.get_sender(), message.get_receiver()];
        while let Some(message) = self.wire.next(&self.seen, ends) {
            self.nodes[message.get_receiver() as usize - 1].handle_incoming(message);
        }
        for place in 0..self.nodes.len() {
            if self.seen.now % TICK == 0 {
                self.nodes[place].tick();
            }
            let mut messages = Vec::new();
            self.nodes[place].take_outgoing_messages(&mut messages);
            for message in messages {
                self.wire.send(&mut self.seen, message);
            }
            let from = self.seen.decided[place].len() as u64;
            for entry in self.nodes[place].read_decided_suffix(from as _).unwrap_or_default() {
                if let LogEntry::Decided(Command(command)) = entry {
                    self.seen.decide(place, command);
                }
            }
        }
    }

    /// The one that most take for the leader, if it can be reached.
    fn leader(&mut self) -> Option<usize> {
        let believed = |place: usize| {
            let there = (0..self.nodes.len()).filter(|other| self.seen.cut != Some(*other as u64 + 1));
            let leads = |other: &usize| {
                self.nodes[*other].get_current_leader().is_some_and(|(leader, _)| leader == place as u64 + 1)
            };
            there.filter(leads).count()
        };
        (0..self.nodes.len())
            .filter(|place| self.seen.cut != Some(*place as u64 + 1))
            .find(|place| believed(*place) > VOTERS as usize / 2)
    }

    fn propose(&mut self, leader: usize, command: u64) {
        self.nodes[leader].append(Command(command)).expect("taken");
    }
}
