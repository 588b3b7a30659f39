//! Judges the record of a run by what clients and servers saw. It shares no code with the program.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::{Plan, SERVED_UNTIL};
use super::record::{Answer, Event, What};

/// An answer that comes later than this behind its client's time is lost.
const GRACE: u64 = 500;
/// A set-up that crosses a close within this time is sent again elsewhere.
const CROSSING: u64 = 50;
/// Nothing that comes later than this after SIGTERM is sent on.
const LATEST: u64 = 1_000;
/// An attempt that begins later than this behind its client's leaving is wrong.
const LEAVING: u64 = 100;
/// Nothing is sent to a server this long after it was told to drain, and 50 ms as on all sockets.
const DRAIN: u64 = 550;
/// A release is passed on within this, and 50 ms as on all sockets.
const RELEASE: u64 = 1_050;

/// What became of a run.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Broken rules, in words, each with the call that it is about.
    pub broken: Vec<String>,
    pub sent: usize,
    pub accepted: usize,
    pub refused: usize,
    pub failed: usize,
    /// Set-ups that crossed a close, and come again elsewhere.
    pub crossed: usize,
    /// Set-ups without a final answer.
    pub lost: usize,
    pub killed: bool,
    /// When the process ended by itself, after SIGTERM.
    pub ended_after: Option<u64>,
    pub log: Vec<String>,
}

#[derive(Default)]
struct Call {
    sent: u64,
    left: u64,
    answers: Vec<(u64, Answer)>,
    given_up: Option<u64>,
    closed: Option<(u64, u64)>,
    attempts: Vec<(u64, u32)>,
    client_released: Option<u64>,
    server_released: Option<u64>,
    heard_releases: Vec<u64>,
    /// The server was told of the end.
    ended: Option<u64>,
}

pub fn judge(events: &[Event], plan: &Plan) -> Findings {
    let kill_after = plan.kill_after();
    let mut findings = Findings::default();
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut drained: BTreeMap<u32, u64> = BTreeMap::new();
    let mut connected: BTreeSet<u64> = BTreeSet::new();
    let (mut stopped, mut over, mut last_client) = (None, None, None);
    for Event { at, what } in events {
        let at = *at;
        match what {
            What::Sent { call, left } => {
                let call = calls.entry(*call).or_default();
                (call.sent, call.left) = (at, *left);
            }
            What::Answered { call, answer } => calls.entry(*call).or_default().answers.push((at, *answer)),
            What::Left { call } => calls.entry(*call).or_default().given_up = Some(at),
            What::Closed { call, not_before } => {
                calls.entry(*call).or_default().closed = Some((*not_before, at));
            }
            What::ClientReleased { call } => calls.entry(*call).or_default().client_released = Some(at),
            What::HeardRelease { call } => calls.entry(*call).or_default().heard_releases.push(at),
            What::Attempt { call, server } => calls.entry(*call).or_default().attempts.push((at, *server)),
            What::AttemptEnded { call, .. } => drop(calls.entry(*call).or_default().ended.get_or_insert(at)),
            What::ServerReleased { call, .. } => {
                calls.entry(*call).or_default().server_released.get_or_insert(at);
            }
            What::Drained { server } => drop(drained.insert(*server, at)),
            What::Connected { client } => drop(connected.insert(*client)),
            What::Disconnected { client } => {
                connected.remove(client);
                if stopped.is_some() && connected.is_empty() {
                    last_client = Some(at);
                }
            }
            What::Terminated => stopped = Some(at),
            What::Exited { code } => {
                over = Some(at);
                findings.ended_after = stopped.map(|stopped| at - stopped);
                if *code != 0 {
                    findings.broken.push(format!("the process ended with code {code}"));
                }
            }
            What::Killed => {
                over = Some(at);
                findings.killed = true;
                findings.broken.push(format!("the process still ran {kill_after} ms after SIGTERM"));
            }
            What::Logged { line } => findings.log.push(format!("{at} {line}")),
        }
    }
    let stopped = stopped.unwrap_or(plan.stop_at);
    let over = over.unwrap_or(stopped + kill_after);
    // Releases can be passed on for as long as any client is connected.
    let reachable = last_client.unwrap_or(over).min(over);
    for (id, call) in calls.iter().filter(|(_, call)| call.left > 0) {
        let mut broken = |what: String| {
            let (sent, after) = (call.sent, call.sent.saturating_sub(stopped));
            findings.broken.push(format!("call {id:x} sent at {sent} ({after} ms after SIGTERM): {what}"));
        };
        findings.sent += 1;
        match call.answers.first() {
            Some((_, Answer::Accepted)) => findings.accepted += 1,
            Some((_, Answer::Refused)) => findings.refused += 1,
            Some((_, Answer::Failed)) => findings.failed += 1,
            None => {}
        }
        let crossed = call.closed.is_some_and(|(not_before, _)| call.sent + CROSSING >= not_before);
        match call.answers[..] {
            [] if call.given_up.is_some() => {}
            [] if crossed => findings.crossed += 1,
            [] => {
                findings.lost += 1;
                broken(format!(
                    "no answer, its connection closed at {:?}, the process over at {over}",
                    call.closed
                ));
            }
            [(at, _)] if at > call.sent + call.left + GRACE => broken(format!("answered late, at {at}")),
            [_] => {}
            _ => broken(format!("answered more than once: {:?}", call.answers)),
        }
        let never_accepted = !matches!(call.answers.first(), Some((_, Answer::Accepted)));
        if never_accepted && call.given_up.is_none() && !call.heard_releases.is_empty() {
            broken("ended after its final answer".into());
        }
        let is_late = call.sent > stopped + SERVED_UNTIL && call.sent + call.left > stopped + kill_after;
        if is_late && !call.attempts.is_empty() {
            broken(format!("can't be carried to its end, and was sent on to {:?}", call.attempts));
        }
        if call.sent > stopped + LATEST && !call.attempts.is_empty() {
            broken(format!("came late and was sent on to {:?}", call.attempts));
        }
        let left = call.given_up.or(call.closed.map(|(_, at)| at));
        if let Some(&(at, server)) =
            call.attempts.iter().find(|(at, _)| left.is_some_and(|left| *at > left + LEAVING))
        {
            broken(format!("sent to server {server} at {at}, its client left at {left:?}"));
        }
        if let Some((at, server)) = call
            .attempts
            .iter()
            .find(|(at, server)| drained.get(server).is_some_and(|told| *at > told + DRAIN))
        {
            broken(format!("sent to server {server} at {at}, which drains"));
        }
        releases(call, reachable, over, &mut broken);
    }
    findings
}

/// Whoever releases an established call, the other side hears of it, for as long as the process lives.
fn releases(call: &Call, reachable: u64, over: u64, broken: &mut impl FnMut(String)) {
    if !matches!(call.answers.first(), Some((_, Answer::Accepted))) {
        return;
    }
    match (call.client_released, call.server_released) {
        (None, Some(at)) if call.heard_releases.is_empty() && at + RELEASE < reachable => {
            broken(format!("released by its server at {at}, and its client was not told"));
        }
        (Some(at), None) if call.ended.is_none() && at + RELEASE < over => {
            broken(format!("released by its client at {at}, and its server was not told"));
        }
        _ => {}
    }
}
