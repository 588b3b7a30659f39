//! What happens in a run, by its seed. All times are in milliseconds since its start.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What a server does with set-ups and connections while nothing has befallen it.
#[derive(Clone, Debug, Default)]
pub struct Habits {
    pub answers_after: Range<u64>,
    /// Of a hundred set-ups: never answered, refused, answered with what can't be read or was not asked for.
    pub never: u32,
    pub refuses: u32,
    pub spoils: u32,
    /// Of a hundred set-ups: the connection is reset once it was read.
    pub resets_under: u32,
    /// A connection is kept for so long, and then closed or reset.
    pub keeps: Option<Range<u64>>,
    pub resets: bool,
    /// The first word on a connection comes so late.
    pub first_word_after: u64,
    /// What it says goes out in pieces.
    pub in_pieces: bool,
}

impl Habits {
    /// Whether connections of it end, or say what can't be read.
    pub fn disturb(&self) -> bool {
        self.spoils > 0 || self.resets_under > 0 || self.keeps.is_some()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its machine vanishes: connections stay open and silent, and none comes up.
    Vanishes,
    /// The same from outside, for so long; what stands there goes on.
    IsCutOff(u64),
    /// Its process takes connections, and reads and writes nothing for so long.
    Hangs(u64),
    /// Its process dies; another one, of another id, is there so much later.
    IsReplaced(u64),
    /// Service discovery says that it drains.
    Drains,
}

#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub habits: Habits,
    pub faults: Vec<(u64, Fault)>,
}

/// How service discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It takes connections and says nothing on any.
    Silent,
    /// Nobody listens, and open connections are ended.
    Down,
}

#[derive(Clone, Copy, Debug)]
pub struct Window {
    pub from: u64,
    pub until: u64,
    pub fault: DiscoveryFault,
}

#[derive(Clone, Debug)]
pub struct ClientPlan {
    pub number: u64,
    pub seed: u64,
    /// Time between two set-ups.
    pub every: u64,
    pub deadline: u64,
    pub servers: usize,
    /// It leaves its connection after so long, and comes again at once.
    pub keeps: Option<Range<u64>>,
    pub in_pieces: bool,
    /// Of a hundred set-ups so many are given up early.
    pub gives_up: u32,
    /// Of a hundred established calls so many are released by the client.
    pub releases: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadClient {
    /// Calls, takes its calls back, and reads nothing.
    Deaf,
    HalfLines,
    Noise,
    Silent,
    /// Repeats one set-up with another description.
    Repeats,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The configuration names the other address for service discovery.
    HangupMoved,
    Hangup,
    Terminate,
}

/// One process after the other at one address.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Since its start; the last is SIGTERM, which may come again.
    pub signals: Vec<(u64, Signal)>,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub deadline: u64,
    pub servers: Vec<ServerPlan>,
    pub discovery: Vec<Window>,
    pub clients: Vec<ClientPlan>,
    pub bad_clients: Vec<BadClient>,
    pub instances: Vec<Instance>,
}

const DEADLINES: [u64; 4] = [300, 800, 3_000, 9_000];
/// From SIGTERM to SIGKILL, at the earliest: the longest deadline, which counts as so much at most, and this.
const MOST_DEADLINE: u64 = 3_000;
const KILL_AFTER_DEADLINE: u64 = 700;
/// A process that lives so long sees what follows from a server that vanishes.
const LONG_LIFE: u64 = 11_500;

impl Plan {
    pub fn kill_after(&self) -> u64 {
        self.deadline.min(MOST_DEADLINE) + KILL_AFTER_DEADLINE
    }

    pub fn from_seed(seed: u64) -> Self {
        let random = &mut StdRng::seed_from_u64(seed);
        let deadline = DEADLINES[random.random_range(0..DEADLINES.len())];
        let servers: Vec<ServerPlan> = (0..random.random_range(2..=4)).map(|_| server(random)).collect();
        let clients = (0..random.random_range(3..=8))
            .map(|number| client(random, number, deadline, servers.len()))
            .collect();
        let bad =
            [BadClient::Deaf, BadClient::HalfLines, BadClient::Noise, BadClient::Silent, BadClient::Repeats];
        let mut bad_clients = Vec::new();
        for kind in bad {
            if random.random_bool(0.3) {
                bad_clients.extend(vec![kind; random.random_range(1..=8)]);
            }
        }
        let instances = (0..random.random_range(1..=3)).map(|place| instance(random, place)).collect();
        let discovery = windows(random);
        Plan { seed, deadline, servers, discovery, clients, bad_clients, instances }
    }
}

fn server(random: &mut StdRng) -> ServerPlan {
    let mut habits = Habits { answers_after: 0..20, ..Habits::default() };
    match random.random_range(0..9) {
        0 => habits.answers_after = 50..1_200,
        1 => (habits.never, habits.refuses) = (10, 20),
        2 => habits.spoils = 10,
        3 => habits.keeps = Some(400..3_000),
        4 => (habits.keeps, habits.resets) = (Some(400..3_000), true),
        5 => habits.resets_under = 5,
        6 => habits.first_word_after = random.random_range(100..1_000),
        7 => habits.in_pieces = true,
        _ => {}
    }
    let mut faults = Vec::new();
    if random.random_bool(0.6) {
        let at = random.random_range(500..3_000);
        let fault = match random.random_range(0..5) {
            0 => Fault::Vanishes,
            1 => Fault::IsCutOff(random.random_range(500..6_000)),
            2 => Fault::Hangs(random.random_range(500..8_000)),
            3 => Fault::IsReplaced(random.random_range(0..1_500)),
            _ => Fault::Drains,
        };
        faults.push((at, fault));
    }
    ServerPlan { habits, faults }
}

fn client(random: &mut StdRng, number: u64, deadline: u64, servers: usize) -> ClientPlan {
    ClientPlan {
        number,
        seed: random.random(),
        every: random.random_range(10..150),
        deadline,
        servers,
        keeps: random.random_bool(0.3).then(|| {
            let least = random.random_range(50..1_500);
            least..least * 3
        }),
        in_pieces: random.random_bool(0.2),
        gives_up: [0, 5, 30][random.random_range(0..3)],
        releases: [0, 30, 80][random.random_range(0..3)],
    }
}

fn instance(random: &mut StdRng, place: usize) -> Instance {
    let life = match random.random_bool(if place == 0 { 0.5 } else { 0.1 }) {
        true => LONG_LIFE,
        false => random.random_range(600..3_000),
    };
    let mut signals = vec![(life, Signal::Terminate)];
    if random.random_bool(0.3) {
        signals.push((life + random.random_range(1..400), Signal::Terminate));
    }
    // Configurations in quick succession.
    if random.random_bool(0.4) {
        let mut at = random.random_range(300..life);
        for _ in 0..random.random_range(2..=5) {
            let signal = if random.random_bool(0.7) { Signal::HangupMoved } else { Signal::Hangup };
            signals.push((at, signal));
            at += random.random_range(2..80);
        }
    }
    signals.sort_by_key(|(at, _)| *at);
    Instance { signals }
}

fn windows(random: &mut StdRng) -> Vec<Window> {
    let mut windows = Vec::new();
    let mut from = 0;
    for _ in 0..random.random_range(0..=2) {
        from += random.random_range(200..3_000);
        let until = from + random.random_range(300..6_000);
        let fault = if random.random_bool(0.5) { DiscoveryFault::Silent } else { DiscoveryFault::Down };
        windows.push(Window { from, until, fault });
        from = until;
    }
    windows
}
