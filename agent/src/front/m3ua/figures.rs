//! Metrics of the front: peer states, circuits and protocol errors.

use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_signalling::circuits::Trunk;
use steprelay_signalling::m3ua::states::{AspCounts, AspState, ServerState};

use super::Handle;
use crate::ports::{PeerFigures, SignallingFigures};

impl Handle {
    /// Returns a function that reads the current metrics.
    pub fn metrics_reader(&self) -> Rc<dyn Fn() -> SignallingFigures> {
        let handle = self.clone();
        Rc::new(move || handle.read_metrics())
    }

    fn read_metrics(&self) -> SignallingFigures {
        let office = self.office.borrow();
        let gateway = office.gateway();
        let mut errors: BTreeMap<u8, u64> =
            gateway.errors().map(|(code, count)| (code as u8, count)).collect();
        let clients = office.clients().iter().enumerate().map(|(index, trunk)| {
            let name = self.config.clients[index].name.clone();
            peer_figures(name, true, gateway.state(index), gateway.asp_counts(index), trunk)
        });
        let servers = office.servers().iter().enumerate().map(|(index, (asp, trunk))| {
            let count_in = |wanted| asp.associations().filter(|(_, state)| *state == wanted).count();
            let counts =
                AspCounts { inactive: count_in(AspState::Inactive), active: count_in(AspState::Active) };
            let state = match (asp.is_active(), counts.inactive) {
                (true, _) => ServerState::Active,
                (false, 0) => ServerState::Down,
                (false, _) => ServerState::Inactive,
            };
            peer_figures(self.config.servers[index].name.clone(), false, state, counts, trunk)
        });
        let peers = clients.chain(servers).collect();
        for (asp, _) in office.servers() {
            for (code, count) in asp.errors() {
                *errors.entry(code as u8).or_default() += count;
            }
        }
        let records_lost = self.call_store.as_ref().map_or(0, |call_store| call_store.lost_records());
        SignallingFigures { peers, errors: errors.into_iter().collect(), records_lost }
    }
}

fn peer_figures(
    name: String,
    is_client: bool,
    state: ServerState,
    counts: AspCounts,
    trunk: &Trunk,
) -> PeerFigures {
    let mut circuits = [0; 5];
    for (state, count) in trunk.states() {
        // Setting up, established, releasing, blocked, other.
        let group = match state {
            "gathering" | "offered" | "sent" | "proceeding" => 0,
            "answered" | "standing" => 1,
            "releasing" | "resetting" => 2,
            "blocked" => 3,
            _ => 4,
        };
        circuits[group] += count;
    }
    PeerFigures {
        name,
        is_client,
        state: match state {
            ServerState::Down => 1,
            ServerState::Inactive => 2,
            ServerState::Pending => 3,
            ServerState::Active => 4,
        },
        active: counts.active,
        inactive: counts.inactive,
        circuits,
        counts: trunk.counts(),
    }
}
