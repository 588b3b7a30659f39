//! The operators' protocol: one command line and one response per connection.

use steprelay_core::lifecycle::State;

use steprelay_copies::member::ReplicationStats;
use steprelay_fleet::node::Metrics as FleetMetrics;

use crate::ports::Snapshot;

/// Maximum length of a command in octets.
pub const MAX_LENGTH: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process accepts calls.
    Status,
    /// Reports the metrics.
    Stats,
    /// Drains the clients.
    Standby,
    /// Accepts calls again.
    Active,
}

const COMMANDS: [(&str, Command); 4] = [
    ("status", Command::Status),
    ("stats", Command::Stats),
    ("standby", Command::Standby),
    ("active", Command::Active),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLine {
    #[error("no command: status, stats, standby or active")]
    Empty,
    #[error("unknown command: status, stats, standby or active")]
    Unknown,
    #[error("not UTF-8")]
    NotText,
    #[error("the line is too long")]
    TooLong,
    #[error("the line has no end")]
    NoEnd,
}

/// Parses a command from the octets received so far; `None` while its line is incomplete. CR LF ends a line
/// too.
///
/// # Errors
/// The line is not a command, not UTF-8 or too long.
pub fn read(bytes: &[u8]) -> Option<Result<Command, InvalidLine>> {
    let line = match bytes.iter().position(|&byte| byte == b'\n') {
        Some(end) if end <= MAX_LENGTH => &bytes[..end],
        None if bytes.len() <= MAX_LENGTH => return None,
        _ => return Some(Err(InvalidLine::TooLong)),
    };
    Some(command(line))
}

fn command(line: &[u8]) -> Result<Command, InvalidLine> {
    let text = std::str::from_utf8(line).map_err(|_| InvalidLine::NotText)?.trim();
    if text.is_empty() {
        return Err(InvalidLine::Empty);
    }
    let known = COMMANDS.iter().find(|(name, _)| *name == text);
    known.map(|(_, command)| *command).ok_or(InvalidLine::Unknown)
}

/// The response to `status`: calls are accepted in one state only.
pub fn status(state: State) -> &'static str {
    match state {
        State::Starting => "-ERR starting\n",
        State::Serving => "+OK serving\n",
        State::Standby => "-ERR standby\n",
        State::Stopping => "-ERR stopping\n",
    }
}

/// The metrics at one moment, one per line, and a line with a single dot. `classes`: the names in the
/// settings.
pub fn stats(figures: &Snapshot, classes: &[String]) -> String {
    let mut text = String::from("+OK\n");
    let mut put = |name: &str, value: u64| text.push_str(&format!("edge_lb.{name}={value}\n"));
    for (name, counts) in classes.iter().zip(&figures.counts.classes) {
        put(&format!("replies.{name}.success"), counts.success);
        put(&format!("replies.{name}.overload"), counts.overload);
        put(&format!("replies.{name}.error"), counts.error);
    }
    put("dispatches", figures.io_counts.dispatches);
    put("concurrent", figures.concurrent() as u64);
    put("targets", figures.targets as u64);
    put("targets_disabled", figures.targets_disabled as u64);
    put("reloads.taken", figures.io_counts.reloads_taken);
    put("reloads.refused", figures.io_counts.reloads_refused);
    put("reports.unfit", figures.io_counts.invalid_figures);
    put("servers.out_of_reach", figures.counts.servers_out_of_reach);
    put("releases.out_of_reach", figures.counts.ended_out_of_reach);
    put("releases.redelivered", figures.counts.releases_redelivered);
    put("releases.unacknowledged", figures.counts.releases_unacknowledged);
    put("releases.lost", figures.counts.releases_lost);
    put("callers.incomplete", figures.counts.stalled_clients);
    put("discovery.calls", figures.io_counts.discovery_calls);
    put("discovery.failures", figures.io_counts.discovery_failures);
    if let Some(fleet) = &figures.fleet {
        for (name, value) in cluster_metrics(fleet) {
            put(&format!("fleet.{name}"), value);
        }
    }
    if let Some(copies) = &figures.copies {
        for (name, value) in replication_metrics(copies) {
            put(&format!("copies.{name}"), value);
        }
        put("copies.uncopied", figures.unreplicated);
    }
    text.push_str(".\n");
    text
}

/// The replication metrics by their names.
pub fn replication_metrics(copies: &ReplicationStats) -> [(&'static str, u64); 9] {
    [
        ("own", copies.own_records),
        ("adopted", copies.taken_over_records),
        ("under_copied", copies.under_replicated),
        ("holders", copies.holders),
        ("held_streams", copies.replica_streams),
        ("held", copies.replica_records),
        ("takeovers", copies.failovers),
        ("renounced", copies.ownership_losses),
        ("missed", copies.uncommitted_overflows),
    ]
}

/// The cluster metrics by their names, in the order of the MIB.
pub fn cluster_metrics(fleet: &FleetMetrics) -> [(&'static str, u64); 17] {
    [
        ("alive", fleet.alive),
        ("suspect", fleet.suspect),
        ("dead", fleet.dead),
        ("voters", fleet.voters),
        ("has_leader", u64::from(fleet.leader.is_some())),
        ("leads", u64::from(fleet.is_leader)),
        ("council", fleet.group_number),
        ("term", fleet.term),
        ("index", fleet.index),
        ("open", fleet.open_requests),
        ("out", fleet.machines_out),
        ("last_grant", fleet.last_approval),
        ("fenced", fleet.fenced),
        ("strange", fleet.unexpected_messages),
        ("slept_ms", fleet.stalled_ms),
        ("unsent", fleet.unsent),
        ("octets", fleet.octets),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_parsed_with_any_ending_and_fragmentation() {
        for (line, command) in [
            (&b"status\n"[..], Ok(Command::Status)),
            (b"stats\r\n", Ok(Command::Stats)),
            (b" standby \n", Ok(Command::Standby)),
            (b"active\nstatus\n", Ok(Command::Active)),
            (b"\n", Err(InvalidLine::Empty)),
            (b"\r\n", Err(InvalidLine::Empty)),
            (b"STATUS\n", Err(InvalidLine::Unknown)),
            (b"status now\n", Err(InvalidLine::Unknown)),
            (b"sta\xfftus\n", Err(InvalidLine::NotText)),
        ] {
            let end = line.iter().position(|&byte| byte == b'\n').expect("whole");
            for part in 0..=end {
                assert_eq!(read(&line[..part]), None, "{line:?} up to {part}");
            }
            assert_eq!(read(line), Some(command), "{line:?}");
        }
    }

    #[test]
    fn a_line_without_end_is_rejected_at_the_maximum_length() {
        assert_eq!(read(&[b'x'; MAX_LENGTH]), None);
        assert_eq!(read(&[b'x'; MAX_LENGTH + 1]), Some(Err(InvalidLine::TooLong)));
        let long = [&[b' '; MAX_LENGTH + 1][..], b"status\n"].concat();
        assert_eq!(read(&long), Some(Err(InvalidLine::TooLong)));
    }
}
