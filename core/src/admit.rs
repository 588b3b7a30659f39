//! Second stage: limits the memory held for unanswered calls, so that a flood of set-ups cannot exhaust it.

use steprelay_settings::Site;

use super::Request;

/// Applies if the settings name no limit, and as an upper limit if they do.
const DEFAULT_MAX_OPEN_CALLS: usize = 20_000;
/// One client may have one in `CLIENT_SHARE_DIVISOR` of the open calls, but always
/// `MIN_OPEN_CALLS_PER_CLIENT` of them.
const CLIENT_SHARE_DIVISOR: usize = 4;
const MIN_OPEN_CALLS_PER_CLIENT: usize = 64;

pub struct Admission {
    max_open: usize,
    max_bytes: usize,
    open: usize,
    bytes: usize,
}

impl Admission {
    /// `max_bytes` limits the total size of the descriptions and numbers of all unanswered calls.
    pub fn new(site: &Site, max_bytes: usize) -> Self {
        let max_open = if site.max_open > 0 {
            site.max_open.min(DEFAULT_MAX_OPEN_CALLS)
        } else {
            DEFAULT_MAX_OPEN_CALLS
        };
        Admission { max_open, max_bytes, open: 0, bytes: 0 }
    }

    /// Reserves capacity for a request of a client that has `open_of_client` open calls; returns false if
    /// there is none.
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
