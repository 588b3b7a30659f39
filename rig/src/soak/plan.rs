//! What happens in a run, by its seed. All times are in milliseconds.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The deadline of every class, where no other is asked for.
pub const DEADLINE: u64 = 3_000;
/// From SIGTERM to SIGKILL, at the earliest: the longest deadline, which counts as so much at most, and this.
const MOST_DEADLINE: u64 = 3_000;
const KILL_AFTER_DEADLINE: u64 = 700;
/// New connections come until so long after SIGTERM.
pub const LAST_CONNECTION: u64 = 400;
/// What comes until then is served as on any day.
pub const SERVED_UNTIL: u64 = 700;

pub fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// How a check server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    Prompt,
    /// Answers after 0.2 to 2.5 s.
    Slow,
    /// Answers at once, late, or not at all.
    Mixed,
    Silent,
    /// Closes its connections every now and then, with whatever is on them.
    Closes,
    /// Resets them.
    Resets,
    /// Forgets them: they stay open, and nothing is read or written any more.
    Forgets,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    Up,
    /// Takes connections and says nothing.
    Slow,
    Down,
}

/// A client that calls on one connection, and on the next where that is closed while new ones may come.
#[derive(Clone, Debug)]
pub struct Client {
    pub number: u64,
    pub seed: u64,
    /// Time between two set-ups.
    pub every: u64,
    /// The deadline of its calls.
    pub deadline: u64,
    /// When no new connection comes any more, from now on.
    pub connects_for: u64,
    /// How many servers it may name as first choice.
    pub servers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadClient {
    /// Sends half a line, again and again.
    HalfLines,
    /// Sends set-ups as fast as it can and reads nothing.
    NeverReads,
    /// Opens connections and says nothing.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// After the configuration was replaced by one that names another address for service discovery.
    HangupMoved,
    Hangup,
    Terminate,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// The deadline of every class.
    pub deadline: u64,
    pub servers: Vec<ServerKind>,
    pub discovery: DiscoveryKind,
    pub clients: Vec<Client>,
    pub bad_clients: Vec<BadClient>,
    /// Time between two set-ups of an M3UA client, where there is one.
    pub m3ua_every: Option<u64>,
    /// When the first SIGTERM comes, and all signals in order.
    pub stop_at: u64,
    pub signals: Vec<(u64, Signal)>,
    /// Clients that connect so long after the first SIGTERM.
    pub crowd: Vec<(u64, Client)>,
    /// A server that is drained, and when.
    pub drain: Option<(u64, usize)>,
}

impl Plan {
    /// From SIGTERM to SIGKILL, at the earliest.
    pub fn kill_after(&self) -> u64 {
        self.deadline.min(MOST_DEADLINE) + KILL_AFTER_DEADLINE
    }

    pub fn from_seed(seed: u64, deadline: u64) -> Self {
        use ServerKind::*;
        let mut random = StdRng::seed_from_u64(seed);
        let random = &mut random;
        let kinds: &[ServerKind] = match random.random_range(0..4) {
            0 => &[Prompt],
            1 => &[Slow],
            2 => &[Silent],
            _ => &[Prompt, Slow, Mixed, Silent, Closes, Resets, Forgets],
        };
        let servers = (0..random.random_range(2..=4)).map(|_| kinds[random.random_range(0..kinds.len())]);
        let servers: Vec<ServerKind> = servers.collect();
        let discovery = match random.random_range(0..4) {
            0 => DiscoveryKind::Down,
            1 => DiscoveryKind::Slow,
            _ => DiscoveryKind::Up,
        };
        let stop_at = random.random_range(600..1_200);
        let client = |random: &mut StdRng, number, connects_for| Client {
            number,
            seed: random.random(),
            every: random.random_range(5..80),
            deadline,
            connects_for,
            servers: servers.len(),
        };
        let steady = random.random_range(4..=14);
        let clients = (0..steady).map(|number| client(random, number, stop_at + LAST_CONNECTION)).collect();
        let bad = [BadClient::HalfLines, BadClient::NeverReads, BadClient::Silent];
        let bad_clients = bad.into_iter().filter(|_| random.random_bool(0.25)).collect();
        let crowd = match random.random_bool(0.3) {
            true => random.random_range(20..=120),
            false => 0,
        };
        let mut crowd: Vec<(u64, Client)> = (0..crowd)
            .map(|number| {
                let at = random.random_range(0..LAST_CONNECTION);
                (at, Client { every: random.random_range(50..300), ..client(random, 1_000 + number, 0) })
            })
            .collect();
        crowd.sort_by_key(|(at, _)| *at);
        Plan {
            seed,
            deadline,
            discovery,
            clients,
            bad_clients,
            m3ua_every: random.random_bool(0.4).then(|| random.random_range(20..100)),
            stop_at,
            signals: signals(random, stop_at),
            crowd,
            drain: (discovery == DiscoveryKind::Up && random.random_bool(0.3))
                .then(|| (random.random_range(200..stop_at + 1_000), random.random_range(0..servers.len()))),
            servers,
        }
    }
}

/// Some before the first SIGTERM, and some after it.
fn signals(random: &mut StdRng, stop_at: u64) -> Vec<(u64, Signal)> {
    let mut signals = vec![(stop_at, Signal::Terminate)];
    for signal in [Signal::HangupMoved, Signal::Hangup] {
        if random.random_bool(0.5) {
            signals.push((random.random_range(300..stop_at), signal));
        }
    }
    for signal in [Signal::HangupMoved, Signal::Hangup, Signal::Terminate, Signal::Terminate] {
        if random.random_bool(0.4) {
            signals.push((random.random_range(stop_at + 1..stop_at + 3_000), signal));
        }
    }
    signals.sort_by_key(|(at, _)| *at);
    signals
}
