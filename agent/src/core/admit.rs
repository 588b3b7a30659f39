//! Second stage: bounds what is held for calls that wait, so that no flood of set-ups costs the process its
//! memory.

use steprelay_settings::Site;

use super::Request;

/// Descriptions and numbers of all waiting calls together.
const MOST_HELD: usize = 32 << 20;
/// Where the settings name no bound.
const MOST_OPEN: usize = 20_000;

pub struct Admission {
    most_open: usize,
    open: usize,
    held: usize,
}

impl Admission {
    pub fn new(site: &Site) -> Self {
        let most_open = if site.max_open > 0 { site.max_open.min(MOST_OPEN) } else { MOST_OPEN };
        Admission { most_open, open: 0, held: 0 }
    }

    /// Takes up room for a request; false where there is none.
    pub fn admit(&mut self, request: &Request) -> bool {
        let size = held(&request.number, &request.description);
        if self.open >= self.most_open || self.held + size > MOST_HELD {
            return false;
        }
        self.open += 1;
        self.held += size;
        true
    }

    pub fn leave(&mut self, number: &str, description: &str) {
        self.open -= 1;
        self.held -= held(number, description);
    }
}

fn held(number: &str, description: &str) -> usize {
    number.len() + description.len()
}
