//! Log lines about events, with the Unix time in seconds as in the logs of peers and in monitoring.

use std::fmt::Display;
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes a line to standard error.
pub fn event(line: impl Display) {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    eprintln!("steprelay: {}.{:03} {line}", at.as_secs(), at.subsec_millis());
}
