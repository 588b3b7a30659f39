//! What operators see of the front.

use std::collections::BTreeMap;
use std::rc::Rc;

use steprelay_signalling::circuits::Trunk;
use steprelay_signalling::m3ua::states::{AspCounts, AspState, ServerState};

use super::Handle;
use crate::ports::{PeerFigures, SignallingFigures};

impl Handle {
    /// Asks for the figures of the moment.
    pub fn ask_figures(&self) -> Rc<dyn Fn() -> SignallingFigures> {
        let handle = self.clone();
        Rc::new(move || handle.figures())
    }

    fn figures(&self) -> SignallingFigures {
        let office = self.office.borrow();
        let gateway = office.gateway();
        let mut errors: BTreeMap<u8, u64> =
            gateway.errors().map(|(code, count)| (code as u8, count)).collect();
        let clients = office.clients().iter().enumerate().map(|(place, trunk)| {
            let name = self.config.clients[place].name.clone();
            peer(name, true, gateway.state(place), gateway.asp_counts(place), trunk)
        });
        let servers = office.servers().iter().enumerate().map(|(place, (asp, trunk))| {
            let in_state = |wanted| asp.associations().filter(|(_, state)| *state == wanted).count();
            let counts =
                AspCounts { inactive: in_state(AspState::Inactive), active: in_state(AspState::Active) };
            let state = match (asp.is_active(), counts.inactive) {
                (true, _) => ServerState::Active,
                (false, 0) => ServerState::Down,
                (false, _) => ServerState::Inactive,
            };
            peer(self.config.servers[place].name.clone(), false, state, counts, trunk)
        });
        let peers = clients.chain(servers).collect();
        for (asp, _) in office.servers() {
            for (code, count) in asp.errors() {
                *errors.entry(code as u8).or_default() += count;
            }
        }
        let records_lost = self.kept.as_ref().map_or(0, |kept| kept.lost());
        SignallingFigures { peers, errors: errors.into_iter().collect(), records_lost }
    }
}

fn peer(name: String, is_client: bool, state: ServerState, counts: AspCounts, trunk: &Trunk) -> PeerFigures {
    let mut circuits = [0; 5];
    for (state, count) in trunk.states() {
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
