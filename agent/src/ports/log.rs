//! Lines of the log about what goes on: each says when, by the Unix clock in seconds, as peers' logs and
//! monitoring have it.

use std::fmt::Display;
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes a line to standard error.
pub fn event(line: impl Display) {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    eprintln!("steprelay: {}.{:03} {line}", at.as_secs(), at.subsec_millis());
}
