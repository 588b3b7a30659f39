//! A log for lines that peers can cause at any rate: it writes at most one line per second.

use std::cell::Cell;

use steprelay_decisions::Micros;

use super::log;

const MIN_LOG_INTERVAL: Micros = 1_000_000;

#[derive(Default)]
pub struct RateLimitedLog {
    next_at: Cell<Micros>,
    suppressed: Cell<u64>,
}

impl RateLimitedLog {
    pub fn log(&self, now: Micros, line: &str) {
        if now < self.next_at.get() {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        self.next_at.set(now + MIN_LOG_INTERVAL);
        match self.suppressed.take() {
            0 => log::event(line),
            more => log::event(format_args!("{line} ({more} similar lines were suppressed)")),
        }
    }
}
