//! `raft`: ticks and messages by hand, a store of its own in memory.

use raft::eraftpb::{ConfState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use slog::{o, Discard, Logger};

use crate::by_hand::{ByHand, Seen, Wire, TICK};
use crate::VOTERS;

#[derive(Default)]
pub struct World {
    seen: Seen,
    nodes: Vec<RawNode<MemStorage>>,
    wire: Wire<Message>,
}

impl World {
    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            self.wire.send(&mut self.seen, message);
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
                self.seen.decide(place, u64::from_be_bytes(bytes));
            }
        }
        self.nodes[place].advance_apply();
    }
}

impl ByHand for World {
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
        World { nodes: (1..=VOTERS).map(node).collect(), ..World::default() }
    }

    fn seen(&mut self) -> &mut Seen {
        &mut self.seen
    }

    fn step(&mut self) {
        self.seen.now += 1;
        while let Some(message) = self.wire.next(&self.seen, |message| [message.from, message.to]) {
            // A word that the engine has no use for is none of ours.
            let _ = self.nodes[message.to as usize - 1].step(message);
        }
        for place in 0..self.nodes.len() {
            if self.seen.now % TICK == 0 {
                self.nodes[place].tick();
            }
            self.turn(place);
        }
    }

    fn leader(&mut self) -> Option<usize> {
        (0..self.nodes.len()).find(|place| {
            self.nodes[*place].raft.state == StateRole::Leader && self.seen.cut != Some(*place as u64 + 1)
        })
    }

    fn propose(&mut self, leader: usize, command: u64) {
        self.nodes[leader].propose(vec![], command.to_be_bytes().to_vec()).expect("taken");
    }
}
