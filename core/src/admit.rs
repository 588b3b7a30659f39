//! Second stage: limits the memory held for calls, so that a flood of set-ups cannot exhaust it. Established
//! calls and releases that no caller has acknowledged count too, and are never given up for a set-up.

use steprelay_settings::Site;

use super::{CoreLimits, Request};

/// Applies if the settings name no limit, and as an upper limit if they do.
const DEFAULT_MAX_OPEN_CALLS: usize = 20_000;
/// One client may have one in `CLIENT_SHARE_DIVISOR` of the open calls, but always
/// `MIN_OPEN_CALLS_PER_CLIENT` of them.
const CLIENT_SHARE_DIVISOR: usize = 4;
const MIN_OPEN_CALLS_PER_CLIENT: usize = 64;

pub struct Admission {
    max_open: usize,
    max_bytes: usize,
    /// Bytes of a call beside its description and number.
    call_bytes: usize,
    open: usize,
    /// Bytes of the descriptions and numbers of the open calls.
    bytes: usize,
}

impl Admission {
    pub fn new(site: &Site, limits: &CoreLimits) -> Self {
        let max_open = if site.max_open > 0 {
            site.max_open.min(DEFAULT_MAX_OPEN_CALLS)
        } else {
            DEFAULT_MAX_OPEN_CALLS
        };
        let (max_bytes, call_bytes) = (limits.total_call_bytes, limits.call_bytes);
        Admission { max_open, max_bytes, call_bytes, open: 0, bytes: 0 }
    }

    /// Whether another call fits beside this number of calls that have not ended, with this size of its
    /// description and number.
    pub fn has_capacity(&self, calls: usize, size: usize) -> bool {
        (calls + 1) * self.call_bytes + self.bytes + size <= self.max_bytes
    }

    /// Reserves capacity for a request of a client that has `open_of_client` open calls; returns false if
    /// there is none. `calls`: the calls that have not ended, answered ones too.
    pub fn admit(&mut self, request: &Request, open_of_client: usize, calls: usize) -> bool {
        let size = size(&request.number, &request.description);
        let max_of_client = (self.max_open / CLIENT_SHARE_DIVISOR).max(MIN_OPEN_CALLS_PER_CLIENT);
        if self.open >= self.max_open || open_of_client >= max_of_client || !self.has_capacity(calls, size) {
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
