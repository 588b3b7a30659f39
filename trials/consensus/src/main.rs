//! One scenario, three engines: five voters whose words take 5 ms, and a fake now. A leader is found; 200
//! commands go in, one every 10 ms; the leader is cut off; another one takes 50 commands; the cut heals, and
//! all must have decided the same. Each life is lived many times: an engine that draws its patience by itself
//! lives another one now and then.
//!
//! `cargo run --release` prints a line an engine; with `--no-default-features --features raft` and
//! `cargo build --timings` the cost of building one alone is seen, and `cargo tree` counts what it needs.

#[cfg(any(feature = "raft", feature = "omnipaxos"))]
mod by_hand;
#[cfg(feature = "omnipaxos")]
mod by_omnipaxos;
#[cfg(feature = "openraft")]
mod by_openraft;
#[cfg(feature = "raft")]
mod by_raft;

/// Voters, and how long their words take, in milliseconds.
pub const VOTERS: u64 = 5;
pub const DELAY: u64 = 5;
pub const BEFORE: u64 = 200;
pub const AFTER: u64 = 50;
/// Between two commands.
pub const EVERY: u64 = 10;
/// Each is lived so often.
pub const LIVES: u32 = 20;
/// Nothing takes longer than this; else the trial says so.
pub const BOUND: u64 = 60_000;

/// What one life showed. Times are of the fake now, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Life {
    pub leader_ms: u64,
    pub median_ms: u64,
    pub worst_ms: u64,
    pub messages: u64,
    /// From the cut until a command that was given to another leader is decided.
    pub next_ms: u64,
    pub same: bool,
}

impl Life {
    /// From the times that commands took.
    pub fn took(&mut self, mut times: Vec<u64>) {
        times.sort_unstable();
        self.median_ms = times.get(times.len() / 2).copied().unwrap_or(0);
        self.worst_ms = times.last().copied().unwrap_or(0);
    }
}

fn show(name: &str, live: impl Fn() -> Life) {
    let started = std::time::Instant::now();
    let lives: Vec<Life> = (0..LIVES).map(|_| live()).collect();
    let real = started.elapsed().as_millis() / u128::from(LIVES);
    let first = &lives[0];
    let others = lives.iter().filter(|life| *life != first).count();
    println!(
        "{name}: leader after {} ms, a command {} ms (worst {}), next leader's first {} ms, {} messages, \
         all decided the same: {}, {others} of {LIVES} lives differ from the first, {real} ms of real time",
        first.leader_ms,
        first.median_ms,
        first.worst_ms,
        first.next_ms,
        first.messages,
        lives.iter().all(|life| life.same)
    );
}

fn main() {
    #[cfg(feature = "raft")]
    show("raft", by_hand::live::<by_raft::World>);
    #[cfg(feature = "omnipaxos")]
    show("omnipaxos", by_hand::live::<by_omnipaxos::World>);
    #[cfg(feature = "openraft")]
    show("openraft", by_openraft::live);
}
