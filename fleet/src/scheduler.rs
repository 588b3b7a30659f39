//! Which maintenance request is approved next: what the leader checks before it proposes an approval.
//!
//! The log itself enforces the limits that must hold under any leader ([`ClusterState::check_limits`]). The
//! reported knowledge used here (who is alive, how much load is offered) may be outdated or wrong, and so
//! it only ever delays an approval.

use std::collections::BTreeSet;

use crate::cluster_state::{ClusterState, Rejection};
use crate::maintenance::{MaintenanceRequest, State, TargetKind};
use crate::messages::Status;
use crate::swim::Health;
use crate::Millis;

/// Limits set by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of machines out at once; lost ones count.
    pub max_out: u32,
    /// Capacity that must remain in addition to the measured load, as a fraction of that load.
    pub reserve: f64,
    /// Required time without a disturbance before an approval.
    pub calm_ms: Millis,
}

/// A member as the leader sees it.
#[derive(Clone, Debug)]
pub struct ObservedMember {
    pub name: String,
    pub zone: String,
    pub health: Health,
    /// Its last status, and the age of that.
    pub status: Option<(Status, Millis)>,
}

impl ObservedMember {
    /// Whether the member serves, according to a status no older than `max_status_age`.
    pub fn is_serving(&self, max_status_age: Millis) -> bool {
        self.health == Health::Alive
            && self.status.as_ref().is_some_and(|(status, age)| status.serving && *age <= max_status_age)
    }
}

/// The reported knowledge of the leader.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    pub members: Vec<ObservedMember>,
    /// Maximum age at which a status is considered current.
    pub max_status_age_ms: Millis,
    /// The last disturbance, and the time since then.
    pub disturbance: Option<(String, Millis)>,
}

/// Why a request has not been approved yet. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaitReason {
    #[error("{0}")]
    Rejected(#[from] Rejection),
    #[error("{0} is not serving, and counts as out")]
    MemberNotServing(String),
    #[error("{0} of zone {1} is not serving")]
    OtherZoneNotServing(String, String),
    #[error("{event} {ago_ms} ms ago, {calm_ms} ms without a disturbance are required")]
    Disturbance { event: String, ago_ms: Millis, calm_ms: Millis },
    #[error("{left} set-ups a second would remain, {load} and the reserve are needed")]
    InsufficientCapacity { left: u64, load: u64 },
    #[error("no other call agent would serve")]
    LastAgent,
    #[error("{0} would be the last check server that can serve class {1}")]
    LastServer(String, usize),
    #[error("{0} goes first")]
    NotNext(String),
    #[error("the machine itself is not serving")]
    TargetNotServing,
}

/// Checks whether a request may be approved now, regardless of its rank.
///
/// # Errors
///
/// The reason to wait.
pub fn check_eligible(
    cluster_state: &ClusterState,
    view: &ClusterView,
    limits: &Limits,
    item: &MaintenanceRequest,
) -> Result<(), WaitReason> {
    cluster_state.check_limits(&item.machine, limits.max_out)?;
    if let Some((event, ago)) = view.disturbance.as_ref().filter(|(_, ago)| *ago < limits.calm_ms) {
        let (event, ago_ms, calm_ms) = (event.clone(), *ago, limits.calm_ms);
        return Err(WaitReason::Disturbance { event, ago_ms, calm_ms });
    }
    let agreed_out: BTreeSet<&str> = cluster_state.machines_out().map(|out| out.machine.as_str()).collect();
    let is_serving = |name: &str| {
        view.members.iter().any(|member| member.name == name && member.is_serving(view.max_status_age_ms))
    };
    // Crashed, suspected and silent machines count as out, in addition to those that are out by agreement.
    let lost: Vec<(&String, &String)> = cluster_state
        .roster
        .iter()
        .map(|(name, machine)| (name, &machine.zone))
        .filter(|(name, _)| !agreed_out.contains(name.as_str()) && !is_serving(name))
        .filter(|(name, _)| **name != item.machine)
        .collect();
    let out = cluster_state.machines_out().count() + lost.len();
    if out >= limits.max_out as usize {
        return Err(match lost.first() {
            Some((name, _)) => WaitReason::MemberNotServing(name.to_string()),
            None => Rejection::TooManyOut(out, limits.max_out).into(),
        });
    }
    match item.kind {
        TargetKind::Agent => {
            if let Some((name, zone)) = lost.iter().find(|(_, zone)| **zone != item.zone) {
                return Err(WaitReason::OtherZoneNotServing(name.to_string(), zone.to_string()));
            }
            check_agent(cluster_state, view, limits, item)
        }
        TargetKind::Server(number) => check_server(cluster_state, view, item, number),
    }
}

fn check_agent(
    cluster_state: &ClusterState,
    view: &ClusterView,
    limits: &Limits,
    item: &MaintenanceRequest,
) -> Result<(), WaitReason> {
    let serving: Vec<&ObservedMember> = view
        .members
        .iter()
        .filter(|member| {
            member.is_serving(view.max_status_age_ms) && cluster_state.roster.contains_key(&member.name)
        })
        .collect();
    if !serving.iter().any(|member| member.name == item.machine) {
        // A machine that is down can't drain, so its maintenance is not approved.
        return Err(WaitReason::TargetNotServing);
    }
    let is_out = |name: &str| cluster_state.machines_out().any(|out| out.machine == name);
    let left: Vec<&&ObservedMember> =
        serving.iter().filter(|member| member.name != item.machine && !is_out(&member.name)).collect();
    if left.is_empty() {
        return Err(WaitReason::LastAgent);
    }
    let load: u64 =
        serving.iter().filter_map(|member| member.status.as_ref()).map(|(s, _)| s.load_milli).sum();
    let capacities =
        || left.iter().filter_map(|member| member.status.as_ref()).map(|(s, _)| s.capacity_milli);
    // If any member's capacity is unknown, the total is unknown and not checked.
    if capacities().all(|capacity| capacity > 0) {
        let left: u64 = capacities().sum();
        let needed = load as f64 * (1.0 + limits.reserve);
        if (left as f64) < needed {
            return Err(WaitReason::InsufficientCapacity { left: left / 1000, load: load / 1000 });
        }
    }
    Ok(())
}

fn check_server(
    cluster_state: &ClusterState,
    view: &ClusterView,
    item: &MaintenanceRequest,
    number: u32,
) -> Result<(), WaitReason> {
    let held: BTreeSet<u32> = cluster_state
        .machines_out()
        .filter_map(|out| match out.kind {
            TargetKind::Server(other) => Some(other),
            TargetKind::Agent => None,
        })
        .collect();
    for (status, _) in view.members.iter().filter_map(|member| member.status.as_ref()) {
        for (class, servers) in status.classes.iter().enumerate() {
            let others = servers.iter().filter(|other| **other != number && !held.contains(other));
            if servers.contains(&number) && others.count() == 0 {
                return Err(WaitReason::LastServer(item.machine.clone(), class));
            }
        }
    }
    Ok(())
}

/// A request that was passed over by this many approvals while eligible takes precedence over all requests
/// that were passed over less often.
const STARVATION_THRESHOLD: u32 = 8;

/// Returns the machine whose request is approved next.
///
/// # Errors
///
/// For each request the reason to wait.
pub fn next_candidate(
    cluster_state: &ClusterState,
    view: &ClusterView,
    limits: &Limits,
) -> Result<String, Vec<(String, WaitReason)>> {
    let mut why = Vec::new();
    let mut eligible = Vec::new();
    for item in cluster_state.open_requests.iter().filter(|item| item.state == State::Requested) {
        match check_eligible(cluster_state, view, limits, item) {
            Ok(()) => eligible.push(item),
            Err(not_yet) => why.push((item.machine.clone(), not_yet)),
        }
    }
    eligible.sort_by_key(|item| priority(cluster_state, view, item));
    match eligible.first() {
        Some(first) => Ok(first.machine.clone()),
        None => Err(why),
    }
}

/// Order of eligible requests: those passed over too often; then those of the zone worked on last, so that
/// zones are completed one after the other; non-voters before voters; the least loaded; the oldest.
fn priority(cluster_state: &ClusterState, view: &ClusterView, item: &MaintenanceRequest) -> impl Ord {
    let starved = item.times_passed_over >= STARVATION_THRESHOLD;
    let last_zone = cluster_state.closed_requests.back().map(|over| over.zone.as_str());
    let votes = cluster_state.voters.values().any(|voter| voter.name == item.machine);
    let status = view
        .members
        .iter()
        .find(|member| member.name == item.machine)
        .and_then(|member| member.status.as_ref());
    // In steps, so that the order does not depend on noise.
    let load = status.map_or(0, |(status, _)| status.load_milli / 10_000);
    (
        !starved,
        std::cmp::Reverse(item.times_passed_over * u32::from(starved)),
        votes,
        last_zone != Some(&item.zone),
        load,
        item.requested_at_ms,
    )
}

/// Explains to operators, in one line, why a machine's request has not been approved.
pub fn explain(cluster_state: &ClusterState, view: &ClusterView, limits: &Limits, machine: &str) -> String {
    let Some(item) = cluster_state.open_request(machine) else {
        return match cluster_state.closed_requests.iter().rev().find(|item| item.machine == machine) {
            Some(item) => format!("{machine}: its work is {}", item.state.as_str()),
            None => format!("{machine}: no work was requested"),
        };
    };
    if item.state != State::Requested {
        let approval = item.approval.map_or_else(String::new, |approval| format!(", grant {approval}"));
        return format!("{machine}: {}{approval}", item.state.as_str());
    }
    match check_eligible(cluster_state, view, limits, item) {
        Err(why) => format!("{machine}: not yet, because {why}"),
        Ok(()) => match next_candidate(cluster_state, view, limits) {
            Ok(first) if first != machine => {
                format!("{machine}: not yet, because {}", WaitReason::NotNext(first))
            }
            _ => format!("{machine}: it is next"),
        },
    }
}
