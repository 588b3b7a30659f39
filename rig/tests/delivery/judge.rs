//! The rules, judged by what callers, servers and the faults were, and by no member's word.

use std::collections::{BTreeMap, BTreeSet};

use steprelay_decisions::Micros;

/// A release is sent towards its caller within this of the server's (protocol page, with its 50 ms more).
const RELEASE_WITHIN: Micros = 1_050_000;
/// Within this where none could be sent, as of a member that was lost.
const LATE_RELEASE_WITHIN: Micros = 8_050_000;

/// A release or a final answer as a caller had it.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub at: Micros,
    /// The start of the member that gave it, and the connection.
    pub boot: u64,
    pub connection: u64,
    /// Since when a caller could be reached there, when it was given.
    pub reached: Option<Micros>,
}

#[derive(Default, Debug)]
pub struct Call {
    pub answered: Option<Micros>,
    pub released: Option<Micros>,
    pub ends: Vec<End>,
    /// Starts that were told of it by its server, when.
    pub takers: Vec<(Micros, u64)>,
    /// Given on these connections; confirmed there, as the member has read.
    pub given: Vec<End>,
    pub confirmed: BTreeSet<u64>,
    /// Starts that were lost, unplanned, after they gave it and before anybody else could know that it was
    /// heard; connections that were cut between both.
    pub excused_boots: BTreeSet<u64>,
    pub excused_connections: BTreeSet<u64>,
}

#[derive(Default)]
pub struct Judge {
    pub calls: BTreeMap<u64, Call>,
    pub stalls: Vec<(Micros, Micros)>,
    pub killed: BTreeMap<u64, Micros>,
    pub stopped: BTreeMap<u64, Micros>,
    /// What the world itself adds to the way of a release.
    pub ways: Micros,
    /// Starts at which a caller can be reached, since when.
    pub reached: BTreeMap<u64, Micros>,
    /// When none could be any more, by start.
    pub out_of_reach: Vec<(u64, Micros)>,
}

/// What was found in one world.
#[derive(Default, Debug)]
pub struct Findings {
    /// The call, and the rule that was broken.
    pub broken: Vec<(u64, &'static str)>,
    pub stood: usize,
    /// Given twice, with an excuse.
    pub excused: usize,
}

impl Judge {
    pub fn call(&mut self, call: u64) -> &mut Call {
        self.calls.entry(call).or_default()
    }

    /// Whether all that stood is over, and its callers know.
    pub fn is_settled(&self) -> bool {
        self.calls.values().all(|call| call.answered.is_none() || !call.ends.is_empty())
    }

    pub fn findings(&self) -> Findings {
        let mut findings = Findings::default();
        for (id, call) in &self.calls {
            findings.stood += usize::from(call.answered.is_some());
            if let (Some(_), Some(released)) = (call.answered, call.released) {
                match call.ends.first() {
                    None => findings.broken.push((*id, "lost")),
                    Some(end) if self.is_late(call, released, end) => findings.broken.push((*id, "late")),
                    _ => {}
                }
            }
            match self.twice(call) {
                Some(Ok(())) => findings.excused += 1,
                Some(Err(shape)) => findings.broken.push((*id, shape)),
                None => {}
            }
        }
        findings
    }

    /// Within 1 s where a caller could be reached by those that were told and nobody was lost, within 8 s
    /// else.
    fn is_late(&self, call: &Call, released: Micros, end: &End) -> bool {
        let lost = self.killed.values().copied().max();
        let within = RELEASE_WITHIN + self.ways;
        let lost_reach = |(at, taker): &(Micros, u64)| {
            let of = |(boot, since): &(u64, Micros)| boot == taker && (*at..=at + within).contains(since);
            self.out_of_reach.iter().any(of)
        };
        let reached =
            end.reached.is_some_and(|since| end.at > since + within) && !call.takers.iter().any(lost_reach);
        match lost {
            None if reached => end.at > self.due(released, RELEASE_WITHIN),
            _ => end.at > self.due(released.max(lost.unwrap_or(0)), LATE_RELEASE_WITHIN),
        }
    }

    /// Time for which members were held up does not count.
    fn due(&self, from: Micros, within: Micros) -> Micros {
        let mut due = from + within + self.ways;
        for (since, until) in &self.stalls {
            if *since <= due && *until > from {
                due += until - (*since).max(from);
            }
        }
        due
    }

    /// Whether a caller was told twice that its call is over; with an excuse, or in which shape.
    fn twice(&self, call: &Call) -> Option<Result<(), &'static str>> {
        let (first, second) = (call.ends.first()?, call.ends.get(1)?);
        let earlier = &call.ends[..call.ends.len() - 1];
        let excused = |end: &End| {
            call.excused_boots.contains(&end.boot) || call.excused_connections.contains(&end.connection)
        };
        if earlier.iter().all(excused) {
            return Some(Ok(()));
        }
        Some(Err(if first.boot == second.boot {
            "twice by one member"
        } else if self.stopped.contains_key(&first.boot) {
            "twice, first by one that stopped in order"
        } else if self.killed.contains_key(&first.boot) {
            "twice, first by one that was lost after others could know"
        } else {
            "twice by two members"
        }))
    }
}
