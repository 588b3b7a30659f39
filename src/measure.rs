//! Rate estimation and random numbers for the controller, without tuned constants.

use crate::interface::Micros;

pub const SECOND: Micros = 1_000_000;

/// A count of events with exponential decay, from which a rate follows. All calls on one value use the same
/// time constant, `window`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    pub count: f64,
    pub at: Micros,
}

impl Rate {
    /// Adds `events` at `now`.
    pub fn add(&mut self, now: Micros, window: Micros, events: f64) {
        self.count = self.counted(now, window) + events;
        self.at = now;
    }

    /// Returns the decayed count of events.
    pub fn counted(&self, now: Micros, window: Micros) -> f64 {
        self.count * (-seconds((now - self.at).max(0)) / seconds(window)).exp()
    }

    /// Returns the rate in events per second.
    pub fn per_s(&self, now: Micros, window: Micros) -> f64 {
        self.counted(now, window) / seconds(window)
    }
}

/// Converts a duration to seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// A seeded pseudo-random generator (splitmix64).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    /// Returns a uniformly distributed number in [0, 1).
    pub fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
