//! Second stage: bounds what is held for calls that wait, so that no flood of set-ups costs the process its
//! memory.

use steprelay_settings::Site;

use super::Request;

/// Where the settings name no bound.
const DEFAULT_MAX_OPEN_CALLS: usize = 20_000;
/// One client may have this part of them open, but so many in any case.
const CLIENT_SHARE_DIVISOR: usize = 4;
const MIN_OPEN_CALLS_PER_CLIENT: usize = 64;

pub struct Admission {
    max_open: usize,
    max_bytes: usize,
    open: usize,
    bytes: usize,
}

impl Admission {
    /// Descriptions and numbers of all waiting calls together take up `most_held` bytes at most.
    pub fn new(site: &Site, max_bytes: usize) -> Self {
        let max_open = if site.max_open > 0 {
            site.max_open.min(DEFAULT_MAX_OPEN_CALLS)
        } else {
            DEFAULT_MAX_OPEN_CALLS
        };
        Admission { max_open, max_bytes, open: 0, bytes: 0 }
    }

    /// Takes up room for a request of a client with so many open; false where there is none.
    pub fn admit(&mut self, request: &Request, open_of_client: usize) -> bool {
        let size = size(&request.number, &request.description);
        let max_of_client = (self.max_open / CLIENT_SHARE_DIVISOR).max(MIN_OPEN_CALLS_PER_CLIENT);
        if self.open >= self.max_open || open_of_client >= max_of_client || self.bytes + size > self.max_bytes
        {
            return false;
        }
        self.open += 1;
        self.bytes += size;
        true
    }

    pub fn remove(&mut self, number: &str, description: &str) {
        self.open -= 1;
        self.bytes -= size(number, description);
    }
}

fn size(number: &str, description: &str) -> usize {
    number.len() + description.len()
}
