//! Log lines that peers can cause as often as they like are written once a second at most.

use std::cell::Cell;

use steprelay_decisions::Micros;

use super::log;

const PAUSE: Micros = 1_000_000;

#[derive(Default)]
pub struct Seldom {
    next: Cell<Micros>,
    left_out: Cell<u64>,
}

impl Seldom {
    pub fn say(&self, now: Micros, line: &str) {
        if now < self.next.get() {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.next.set(now + PAUSE);
        match self.left_out.take() {
            0 => log::event(line),
            more => log::event(format_args!("{line} ({more} lines like this were left out)")),
        }
    }
}
