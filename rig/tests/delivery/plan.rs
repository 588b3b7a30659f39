//! What goes wrong in a world, by its seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steprelay_decisions::Micros;

use crate::process::Strike;

const MS: Micros = 1_000;

/// Which faults there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    None,
    /// Members read late, and are held up for a while; the ways and their peers are quick.
    Stalls,
    /// The ways, callers and servers are slow.
    SlowWays,
    /// A member stops in order, and starts anew.
    Stop,
    /// A member is lost in the middle of what it does.
    Kill,
    /// Connections end by themselves.
    Cuts,
    /// Callers go without a word: their connections stay open, and nobody reads what comes on them.
    Deaf,
    /// Any of these in one world.
    Mixed,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A member is struck after so many more effects.
    Strike {
        member: usize,
        effects: u32,
        strike: Strike,
    },
    Stop {
        member: usize,
    },
    Cut {
        of_servers: bool,
        draw: usize,
    },
    /// The caller of a connection reads nothing any more.
    Deaf {
        draw: usize,
    },
    ServerGone,
}

#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest way from one to another, and how late a member may read or have its turn.
    pub way: Micros,
    pub late: Micros,
    /// The same of its thread of copies.
    pub late_copies: Micros,
    pub faults: Vec<(Micros, Fault)>,
}

/// When calls are made, and when things go wrong.
pub const CALLS_FROM: Micros = 1_000 * MS;
pub const CALLS_UNTIL: Micros = 3_200 * MS;
const FAULTS_FROM: Micros = 1_500 * MS;
const FAULTS_UNTIL: Micros = 3_500 * MS;
/// A member is struck after fewer effects than this.
const MOST_EFFECTS: u32 = 12;
/// A stall that is surely no loss, and one that surely is.
const SHORT_STALL: (Micros, Micros) = (20 * MS, 1_200 * MS);
const MOST_LATE_COPIES: Micros = 200 * MS;
const LONG_STALL: (Micros, Micros) = (3_000 * MS, 8_000 * MS);

impl Plan {
    pub fn new(seed: u64, faults: Faults, members: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x9d41_c07a);
        let quick = rng.random_range(MS..5 * MS);
        let late = rng.random_range(MS..100 * MS);
        let (way, late) = match faults {
            Faults::None => (quick, MS),
            Faults::SlowWays => (rng.random_range(20 * MS..120 * MS), MS),
            // In half of the worlds the machine carries its load.
            _ if seed.is_multiple_of(2) => (quick, MS),
            _ => (quick, late),
        };
        let late_copies = if late > MS { rng.random_range(MS..MOST_LATE_COPIES) } else { late };
        let mut plan = Plan { way, late, late_copies, faults: Vec::new() };
        plan.add(&mut rng, faults, members);
        if faults != Faults::None && rng.random_bool(0.3) {
            plan.add_one(&mut rng, Fault::ServerGone);
        }
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    fn add_one(&mut self, rng: &mut StdRng, fault: Fault) {
        self.faults.push((rng.random_range(FAULTS_FROM..FAULTS_UNTIL), fault));
    }

    fn add_strike(&mut self, rng: &mut StdRng, member: usize, strike: Strike) {
        let effects = rng.random_range(0..MOST_EFFECTS);
        self.add_one(rng, Fault::Strike { member, effects, strike });
    }

    fn add(&mut self, rng: &mut StdRng, faults: Faults, members: usize) {
        let member = rng.random_range(0..members);
        match faults {
            Faults::None | Faults::SlowWays => {}
            Faults::Stalls => {
                for _ in 0..rng.random_range(1..4) {
                    let (place, stall) =
                        (rng.random_range(0..members), rng.random_range(SHORT_STALL.0..SHORT_STALL.1));
                    self.add_strike(rng, place, Strike::Stall(stall));
                }
                if rng.random_bool(0.4) {
                    let stall = rng.random_range(LONG_STALL.0..LONG_STALL.1);
                    self.add_strike(rng, member, Strike::Stall(stall));
                }
            }
            Faults::Stop => self.add_one(rng, Fault::Stop { member }),
            Faults::Kill => self.add_strike(rng, member, Strike::Kill),
            Faults::Cuts => {
                for _ in 0..rng.random_range(1..6) {
                    let (of_servers, draw) = (rng.random_bool(0.6), rng.random_range(0..1_000));
                    self.add_one(rng, Fault::Cut { of_servers, draw });
                }
            }
            Faults::Deaf => {
                for _ in 0..rng.random_range(1..4) {
                    let draw = rng.random_range(0..1_000);
                    self.add_one(rng, Fault::Deaf { draw });
                }
            }
            Faults::Mixed => {
                for kind in [Faults::Stalls, Faults::Stop, Faults::Kill, Faults::Cuts, Faults::Deaf] {
                    if rng.random_bool(0.4) {
                        self.add(rng, kind, members);
                    }
                }
            }
        }
    }
}
