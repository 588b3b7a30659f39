//! What a connection of the second address carries: one line, one answer.

use steprelay_core::lifecycle::State;

use steprelay_copies::member::ReplicationStats;
use steprelay_fleet::node::Metrics as FleetFigures;

use crate::ports::Snapshot;

/// No command is longer.
pub const LONGEST: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether this process can serve.
    Status,
    /// The figures.
    Stats,
    /// Send clients away.
    Standby,
    /// Back to work.
    Active,
}

const COMMANDS: [(&str, Command); 4] = [
    ("status", Command::Status),
    ("stats", Command::Stats),
    ("standby", Command::Standby),
    ("active", Command::Active),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadLine {
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

/// Looks for a command in what has come so far; `None` while its line is not whole. CR LF ends it too.
pub fn read(bytes: &[u8]) -> Option<Result<Command, BadLine>> {
    let line = match bytes.iter().position(|&byte| byte == b'\n') {
        Some(end) if end <= LONGEST => &bytes[..end],
        None if bytes.len() <= LONGEST => return None,
        _ => return Some(Err(BadLine::TooLong)),
    };
    Some(command(line))
}

fn command(line: &[u8]) -> Result<Command, BadLine> {
    let text = std::str::from_utf8(line).map_err(|_| BadLine::NotText)?.trim();
    if text.is_empty() {
        return Err(BadLine::Empty);
    }
    let known = COMMANDS.iter().find(|(name, _)| *name == text);
    known.map(|(_, command)| *command).ok_or(BadLine::Unknown)
}

/// Says whether work is taken: yes in one state only.
pub fn status(state: State) -> &'static str {
    match state {
        State::Starting => "-ERR starting\n",
        State::Serving => "+OK serving\n",
        State::Standby => "-ERR standby\n",
        State::Stopping => "-ERR stopping\n",
    }
}

/// The figures at one moment, a line each, and a line with a point. `classes` are the settings' names.
pub fn stats(figures: &Snapshot, classes: &[String]) -> String {
    let mut text = String::from("+OK\n");
    let mut put = |name: &str, value: u64| text.push_str(&format!("edge_lb.{name}={value}\n"));
    for (name, counts) in classes.iter().zip(&figures.counts.classes) {
        put(&format!("replies.{name}.success"), counts.success);
        put(&format!("replies.{name}.overload"), counts.overload);
        put(&format!("replies.{name}.error"), counts.error);
    }
    put("dispatches", figures.tallies.dispatches);
    put("concurrent", figures.concurrent() as u64);
    put("targets", figures.targets as u64);
    put("targets_disabled", figures.targets_disabled as u64);
    put("reloads.taken", figures.tallies.reloads_taken);
    put("reloads.refused", figures.tallies.reloads_refused);
    put("reports.unfit", figures.tallies.unfit_figures);
    put("servers.out_of_reach", figures.counts.servers_out_of_reach);
    put("releases.out_of_reach", figures.counts.ended_out_of_reach);
    put("releases.redelivered", figures.counts.releases_redelivered);
    put("releases.unacknowledged", figures.counts.releases_unacknowledged);
    put("releases.lost", figures.counts.releases_lost);
    put("discovery.calls", figures.tallies.discovery_calls);
    put("discovery.failures", figures.tallies.discovery_failures);
    if let Some(fleet) = &figures.fleet {
        for (name, value) in fleet_figures(fleet) {
            put(&format!("fleet.{name}"), value);
        }
    }
    if let Some(copies) = &figures.copies {
        for (name, value) in copy_figures(copies) {
            put(&format!("copies.{name}"), value);
        }
        put("copies.uncopied", figures.unreplicated);
    }
    text.push_str(".\n");
    text
}

/// The figures of copies by their names.
pub fn copy_figures(copies: &ReplicationStats) -> [(&'static str, u64); 9] {
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

/// The fleet's figures by their names, in the order of the MIB.
pub fn fleet_figures(fleet: &FleetFigures) -> [(&'static str, u64); 17] {
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
    fn a_line_is_the_same_however_it_ends_and_comes() {
        for (line, command) in [
            (&b"status\n"[..], Ok(Command::Status)),
            (b"stats\r\n", Ok(Command::Stats)),
            (b" standby \n", Ok(Command::Standby)),
            (b"active\nstatus\n", Ok(Command::Active)),
            (b"\n", Err(BadLine::Empty)),
            (b"\r\n", Err(BadLine::Empty)),
            (b"STATUS\n", Err(BadLine::Unknown)),
            (b"status now\n", Err(BadLine::Unknown)),
            (b"sta\xfftus\n", Err(BadLine::NotText)),
        ] {
            let end = line.iter().position(|&byte| byte == b'\n').expect("whole");
            for part in 0..=end {
                assert_eq!(read(&line[..part]), None, "{line:?} up to {part}");
            }
            assert_eq!(read(line), Some(command), "{line:?}");
        }
    }

    #[test]
    fn a_line_without_end_is_refused_at_the_longest() {
        assert_eq!(read(&[b'x'; LONGEST]), None);
        assert_eq!(read(&[b'x'; LONGEST + 1]), Some(Err(BadLine::TooLong)));
        let long = [&[b' '; LONGEST + 1][..], b"status\n"].concat();
        assert_eq!(read(&long), Some(Err(BadLine::TooLong)));
    }
}
