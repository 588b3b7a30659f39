//! In which order work is granted: what the leader weighs before it asks the council.
//!
//! The log holds to what must never happen whoever leads ([`Agreed::bounds`]). What is told here (who is
//! alive, what is offered) may be late or wrong, and so it only ever keeps a grant back.

use std::collections::BTreeSet;

use crate::agreed::{Agreed, Refusal};
use crate::swim::Health;
use crate::words::Status;
use crate::work::{Item, Kind, State};
use crate::Millis;

/// What staff have set.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Machines out at once, at most; lost ones count.
    pub most_out: u32,
    /// What must be left over of the capacity, as a share of the load that is measured.
    pub reserve: f64,
    /// Without trouble for so long before a grant.
    pub calm_ms: Millis,
}

/// One member as the leader sees it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub name: String,
    pub zone: String,
    pub health: Health,
    /// Its last word, and how old that is.
    pub status: Option<(Status, Millis)>,
}

impl Seen {
    /// Whether it takes work, by a word that is fresh.
    pub fn serves(&self, fresh: Millis) -> bool {
        self.health == Health::Alive
            && self.status.as_ref().is_some_and(|(status, age)| status.serving && *age <= fresh)
    }
}

/// All that the leader goes by, beside what is agreed.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    pub seen: Vec<Seen>,
    /// A word is fresh up to this age.
    pub fresh_ms: Millis,
    /// The last trouble, and how long it has been over.
    pub trouble: Option<(String, Millis)>,
}

/// Why a machine has not been granted its work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotYet {
    #[error("{0}")]
    Agreed(#[from] Refusal),
    #[error("{0} is not serving, and counts as out")]
    Away(String),
    #[error("{0} of zone {1} is not serving")]
    AwayElsewhere(String, String),
    #[error("{what} {ago_ms} ms ago, and calm is {calm_ms} ms")]
    Trouble { what: String, ago_ms: Millis, calm_ms: Millis },
    #[error("{left} set-ups a second would be left, and {load} with a reserve are needed")]
    Capacity { left: u64, load: u64 },
    #[error("no other call agent would serve")]
    LastAgent,
    #[error("{0} would be the last check server that can serve class {1}")]
    LastServer(String, usize),
    #[error("{0} goes first")]
    NotFirst(String),
    #[error("the machine itself is not serving")]
    NotServing,
}

/// Whether work on a machine may be granted now, by all but its place in the order.
///
/// # Errors
/// Why not yet.
pub fn may_go(agreed: &Agreed, sight: &Sight, limits: &Limits, item: &Item) -> Result<(), NotYet> {
    agreed.bounds(&item.machine, limits.most_out)?;
    if let Some((what, ago)) = sight.trouble.as_ref().filter(|(_, ago)| *ago < limits.calm_ms) {
        let (what, ago_ms, calm_ms) = (what.clone(), *ago, limits.calm_ms);
        return Err(NotYet::Trouble { what, ago_ms, calm_ms });
    }
    let agreed_out: BTreeSet<&str> = agreed.out().map(|out| out.machine.as_str()).collect();
    let serves = |name: &str| sight.seen.iter().any(|seen| seen.name == name && seen.serves(sight.fresh_ms));
    // Crashed, suspected and silent machines count as out, beside those that are out by agreement.
    let lost: Vec<(&String, &String)> = agreed
        .roster
        .iter()
        .map(|(name, machine)| (name, &machine.zone))
        .filter(|(name, _)| !agreed_out.contains(name.as_str()) && !serves(name))
        .filter(|(name, _)| **name != item.machine)
        .collect();
    let out = agreed.out().count() + lost.len();
    if out >= limits.most_out as usize {
        return Err(match lost.first() {
            Some((name, _)) => NotYet::Away(name.to_string()),
            None => Refusal::TooManyOut(out, limits.most_out).into(),
        });
    }
    match item.kind {
        Kind::Agent => {
            if let Some((name, zone)) = lost.iter().find(|(_, zone)| **zone != item.zone) {
                return Err(NotYet::AwayElsewhere(name.to_string(), zone.to_string()));
            }
            agent_may_go(agreed, sight, limits, item)
        }
        Kind::Server(number) => server_may_go(agreed, sight, item, number),
    }
}

fn agent_may_go(agreed: &Agreed, sight: &Sight, limits: &Limits, item: &Item) -> Result<(), NotYet> {
    let serving: Vec<&Seen> = sight
        .seen
        .iter()
        .filter(|seen| seen.serves(sight.fresh_ms) && agreed.roster.contains_key(&seen.name))
        .collect();
    if !serving.iter().any(|seen| seen.name == item.machine) {
        // Staff may work on one that is down; but it has to leave in order, and can't.
        return Err(NotYet::NotServing);
    }
    let is_out = |name: &str| agreed.out().any(|out| out.machine == name);
    let left: Vec<&&Seen> =
        serving.iter().filter(|seen| seen.name != item.machine && !is_out(&seen.name)).collect();
    if left.is_empty() {
        return Err(NotYet::LastAgent);
    }
    let load: u64 = serving.iter().filter_map(|seen| seen.status.as_ref()).map(|(s, _)| s.load_milli).sum();
    let capacities = || left.iter().filter_map(|seen| seen.status.as_ref()).map(|(s, _)| s.capacity_milli);
    // Where one does not know what it can take, nothing can be said of the sum.
    if capacities().all(|capacity| capacity > 0) {
        let left: u64 = capacities().sum();
        let needed = load as f64 * (1.0 + limits.reserve);
        if (left as f64) < needed {
            return Err(NotYet::Capacity { left: left / 1000, load: load / 1000 });
        }
    }
    Ok(())
}

fn server_may_go(agreed: &Agreed, sight: &Sight, item: &Item, number: u32) -> Result<(), NotYet> {
    let held: BTreeSet<u32> = agreed
        .out()
        .filter_map(|out| match out.kind {
            Kind::Server(other) => Some(other),
            Kind::Agent => None,
        })
        .collect();
    for (status, _) in sight.seen.iter().filter_map(|seen| seen.status.as_ref()) {
        for (class, servers) in status.classes.iter().enumerate() {
            let others = servers.iter().filter(|other| **other != number && !held.contains(other));
            if servers.contains(&number) && others.count() == 0 {
                return Err(NotYet::LastServer(item.machine.clone(), class));
            }
        }
    }
    Ok(())
}

/// After so many grants to others that it could have had, a request goes before all that were passed less
/// often.
const PASSED_ENOUGH: u32 = 8;

/// The request that is granted next, or for each why not yet.
pub fn next(agreed: &Agreed, sight: &Sight, limits: &Limits) -> Result<String, Vec<(String, NotYet)>> {
    let mut why = Vec::new();
    let mut able = Vec::new();
    for item in agreed.open.iter().filter(|item| item.state == State::Requested) {
        match may_go(agreed, sight, limits, item) {
            Ok(()) => able.push(item),
            Err(not_yet) => why.push((item.machine.clone(), not_yet)),
        }
    }
    able.sort_by_key(|item| rank(agreed, sight, item));
    match able.first() {
        Some(first) => Ok(first.machine.clone()),
        None => Err(why),
    }
}

/// Whoever waited too long; then the zone that was worked on last, so that zones go one after the other; then
/// those that keep no vote; then the least loaded; then the oldest.
fn rank(agreed: &Agreed, sight: &Sight, item: &Item) -> impl Ord {
    let starved = item.passed >= PASSED_ENOUGH;
    let last_zone = agreed.over.back().map(|over| over.zone.as_str());
    let votes = agreed.voters.values().any(|voter| voter.name == item.machine);
    let status =
        sight.seen.iter().find(|seen| seen.name == item.machine).and_then(|seen| seen.status.as_ref());
    // In steps, so that the order does not hang on noise.
    let load = status.map_or(0, |(status, _)| status.load_milli / 10_000);
    (
        !starved,
        std::cmp::Reverse(item.passed * u32::from(starved)),
        votes,
        last_zone != Some(&item.zone),
        load,
        item.asked_ms,
    )
}

/// Why a machine's work has not been granted, in one line for staff.
pub fn explain(agreed: &Agreed, sight: &Sight, limits: &Limits, machine: &str) -> String {
    let Some(item) = agreed.item(machine) else {
        return match agreed.over.iter().rev().find(|item| item.machine == machine) {
            Some(item) => format!("{machine}: its work is {}", item.state.word()),
            None => format!("{machine}: no work was asked for"),
        };
    };
    if item.state != State::Requested {
        let grant = item.grant.map_or_else(String::new, |grant| format!(", grant {grant}"));
        return format!("{machine}: {}{grant}", item.state.word());
    }
    match may_go(agreed, sight, limits, item) {
        Err(why) => format!("{machine}: not yet, because {why}"),
        Ok(()) => match next(agreed, sight, limits) {
            Ok(first) if first != machine => {
                format!("{machine}: not yet, because {}", NotYet::NotFirst(first))
            }
            _ => format!("{machine}: it is next"),
        },
    }
}
