//! A Unix clock that is read once at the start and advanced by the monotonic clock, so that it never goes
//! back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use steprelay_decisions::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// The time of the runtime's timers at which this clock shows `at`.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let after = Duration::from_micros((at - self.unix).max(0) as u64);
        tokio::time::Instant::from_std(self.started + after)
    }
}
