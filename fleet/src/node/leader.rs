//! The leader's duties: it detects disturbances, maintains the set of voters, and proposes maintenance
//! events, approvals and failovers.

use super::streams::LeaseTable;
use super::*;

/// Interval of the leader's checks of the consensus group and of maintenance.
const LEADER_INTERVAL: Millis = 200;
/// The leader proposes again if its last proposal was not applied within this time.
const PROPOSAL_RETRY: Millis = 1_000;
/// An approval lapses if the machine does not begin to leave within this time.
const APPROVAL_LAPSE: Millis = 10_000;
/// A voter that has been dead for this long is replaced.
const VOTER_REPLACE_AFTER: Millis = 5_000;
/// Interval of the log entries that advance the cluster time while there are open maintenance requests.
const CLOCK_ENTRY_INTERVAL: Millis = 2_000;
/// A voter's snapshot that may have been lost is sent again after this interval.
const SNAPSHOT_RETRY: Millis = 2_000;
/// The total load has jumped if it is above this floor (in thousandths of a set-up per second) and above
/// the mean times this factor.
const LOAD_JUMP_FLOOR_MILLI: u64 = 20_000;
const LOAD_JUMP_FACTOR: f64 = 1.5;

/// State that only the leader keeps.
pub(super) struct LeaderState {
    pub(super) leading_since: Millis,
    /// Cluster time when it became the leader.
    pub(super) time_ms: Millis,
    pub(super) last_check: Millis,
    /// When it last proposed something, and the log index applied at that time.
    pub(super) last_proposal: (Millis, u64),
    pub(super) disturbance: Option<(String, Millis)>,
    pub(super) mean_load: Option<f64>,
    pub(super) avoided: u64,
    /// Members that were serving at the last check.
    pub(super) serving: BTreeSet<String>,
    /// Machines that were returning from maintenance at the last check.
    pub(super) returning_machines: BTreeSet<String>,
    pub(super) last_clock_entry: Millis,
    pub(super) last_snapshot_retry: Millis,
    pub(super) pushed_version: u64,
    /// Why nothing was approved, as last logged.
    pub(super) logged_wait_reason: String,
    pub(super) leases: LeaseTable,
}

impl Node {
    pub(super) fn cluster_view(&self, now: Millis) -> ClusterView {
        let mut members: Vec<ObservedMember> = self
            .peers
            .values()
            .map(|peer| ObservedMember {
                name: peer.member.name.clone(),
                zone: peer.member.zone.clone(),
                health: peer.health,
                status: peer.status.clone().map(|(status, at)| (status, now.saturating_sub(at))),
            })
            .collect();
        members.push(ObservedMember {
            name: self.me().name.clone(),
            zone: self.me().zone.clone(),
            health: Health::Alive,
            status: Some((self.own_status.clone(), 0)),
        });
        let disturbance = self.leader_state.as_ref().and_then(|lead| lead.disturbance.clone());
        ClusterView {
            members,
            max_status_age_ms: self.max_status_age(),
            disturbance: disturbance.map(|(what, at)| (what, now.saturating_sub(at))),
        }
    }

    pub(super) fn run_leader_duties(&mut self, now: Millis) {
        if !self.is_leader() {
            self.leader_state = None;
            return;
        }
        let time_ms = self.persistent.cluster_state.time_ms;
        let lead = self.leader_state.get_or_insert_with(|| LeaderState {
            leading_since: now,
            time_ms,
            last_check: 0,
            last_proposal: (0, 0),
            disturbance: Some(("a new leader was elected".into(), now)),
            mean_load: None,
            avoided: u64::MAX,
            serving: BTreeSet::new(),
            returning_machines: BTreeSet::new(),
            last_clock_entry: now,
            last_snapshot_retry: now,
            pushed_version: 0,
            logged_wait_reason: String::new(),
            leases: LeaseTable::default(),
        });
        if lead.pushed_version != self.persistent.cluster_state.version {
            lead.pushed_version = self.persistent.cluster_state.version;
            self.push_state();
        }
        let Some(lead) = &mut self.leader_state else { return };
        if now < lead.last_check + LEADER_INTERVAL {
            return;
        }
        lead.last_check = now;
        if now >= lead.last_snapshot_retry + SNAPSHOT_RETRY {
            lead.last_snapshot_retry = now;
            if let Some(consensus) = &mut self.consensus {
                consensus.retry_snapshots();
            }
        }
        self.detect_disturbance(now);
        let Some(lead) = &mut self.leader_state else { return };
        // Waits for the last proposal to be applied, since the next decisions depend on it.
        let (at, index) = lead.last_proposal;
        if index == self.persistent.index && now < at + PROPOSAL_RETRY {
            return;
        }
        let (before, index) = (self.command_count, self.persistent.index);
        self.maintain_voters(now);
        self.schedule_maintenance(now);
        self.fail_over_streams(now);
        if let Some(lead) = self.leader_state.as_mut().filter(|_| self.command_count > before) {
            lead.last_proposal = (now, index);
        }
        self.process_consensus(now);
    }

    /// Sends the agreed state to all members.
    pub(super) fn push_state(&mut self) {
        let (index, leader) = (self.persistent.index, self.leader_name());
        let cluster_state = Some(self.encoded_state());
        for to in self.addresses() {
            self.send(
                to,
                Payload::StateUpdate { index, leader: leader.clone(), cluster_state: cluster_state.clone() },
            );
        }
    }

    pub(super) fn detect_disturbance(&mut self, now: Millis) {
        let cluster_view = self.cluster_view(now);
        let cluster_state = &self.persistent.cluster_state;
        let Some(lead) = &mut self.leader_state else { return };
        let mut disturbance = None;
        let is_out =
            |name: &str| cluster_state.open_request(name).is_some_and(|item| item.state.counts_as_out());
        for member in &cluster_view.members {
            let serving = member.is_serving(cluster_view.max_status_age_ms);
            let was_serving = if serving {
                !lead.serving.insert(member.name.clone())
            } else {
                lead.serving.remove(&member.name)
            };
            if was_serving && !serving && !is_out(&member.name) {
                disturbance = Some(format!("{} was lost", member.name));
            }
        }
        let returning_machines: BTreeSet<String> = cluster_state
            .open_requests
            .iter()
            .filter(|item| matches!(item.state, State::Returning | State::Lost))
            .map(|item| item.machine.clone())
            .collect();
        if let Some(returned) = lead.returning_machines.difference(&returning_machines).next() {
            disturbance = Some(format!("{returned} returned"));
        }
        lead.returning_machines = returning_machines;
        let statuses = || {
            cluster_view.members.iter().filter_map(|member| member.status.as_ref()).map(|(status, _)| status)
        };
        let avoided: u64 = statuses().map(|status| u64::from(status.avoided)).sum();
        let servers_held =
            cluster_state.open_requests.iter().any(|item| matches!(item.kind, TargetKind::Server(_)));
        if avoided > lead.avoided && !servers_held {
            disturbance = Some(format!("members avoid {avoided} check servers"));
        }
        lead.avoided = avoided;
        let load: u64 = statuses().map(|status| status.load_milli).sum();
        let mean = lead.mean_load.unwrap_or(load as f64);
        let jumps = load > LOAD_JUMP_FLOOR_MILLI && load as f64 > LOAD_JUMP_FACTOR * mean;
        if jumps {
            disturbance = Some(format!("load rose to {} set-ups a second", load / 1000));
        }
        // Exponential mean over about 30 s, updated at each check; a jump resets it to the present load.
        let step = if jumps { 1.0 } else { LEADER_INTERVAL as f64 / 30_000.0 };
        lead.mean_load = Some(mean + (load as f64 - mean) * step);
        if let Some(what) = disturbance {
            lead.disturbance = Some((what, now));
        }
    }

    /// Adds voters up to the target derived from the number of founders, and replaces voters that are lost
    /// or leave for maintenance.
    pub(super) fn maintain_voters(&mut self, now: Millis) {
        let cluster_state = &self.persistent.cluster_state;
        if self.consensus.as_ref().is_none_or(Consensus::is_joint) {
            return;
        }
        let target = match self.config.founders.len().min(5) {
            0..=2 => 1,
            3 | 4 => 3,
            _ => 5,
        };
        let max_status_age = self.max_status_age();
        let is_out =
            |name: &str| cluster_state.open_request(name).is_some_and(|item| item.state.counts_as_out());
        let present = |id: &u64, voter: &Voter| {
            if *id == self.persistent.node {
                return true;
            }
            self.peers.get(&voter.name).is_some_and(|peer| {
                let dead = !matches!(peer.health, Health::Alive | Health::Suspect);
                peer.member.node == *id && !(dead && now >= peer.health_since + VOTER_REPLACE_AFTER)
            })
        };
        let zones = |left: &[&Voter], zone: &str| left.iter().filter(|voter| voter.zone == zone).count();
        let lost = cluster_state.voters.iter().find(|(id, voter)| !present(id, voter) || is_out(&voter.name));
        // Zones are rebalanced if one has at least two more voters than another that has candidates.
        let all: Vec<&Voter> = cluster_state.voters.values().collect();
        let mut candidates: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| {
                peer.health == Health::Alive && !cluster_state.voters.contains_key(&peer.member.node)
            })
            .filter(|peer| !is_out(&peer.member.name) && !cluster_state.is_retired(peer.member.node))
            .filter(|peer| peer.status.as_ref().is_some_and(|(_, at)| now < at + max_status_age))
            // While the group grows, founders come first, as configured.
            .filter(|peer| {
                all.len() >= target
                    || self.config.founders.contains(&peer.member.name)
                    || now > self.started + 30_000
            })
            .collect();
        let staying: Vec<&Voter> = cluster_state
            .voters
            .iter()
            .filter(|(id, _)| lost.is_none_or(|(gone, _)| gone != *id))
            .map(|(_, v)| v)
            .collect();
        let founder = |name: &String| !self.config.founders.contains(name);
        candidates.sort_by_key(|peer| {
            let member = &peer.member;
            (zones(&staying, &member.zone), founder(&member.name), member.name.clone())
        });
        let Some(new) = candidates.first().map(|peer| peer.member.clone()) else { return };
        let overrepresented = || {
            let voter = cluster_state.voters.iter().filter(|(id, _)| **id != self.persistent.node);
            let most = voter.max_by_key(|(_, voter)| zones(&all, &voter.zone))?;
            (zones(&all, &most.1.zone) >= zones(&all, &new.zone) + 2).then_some(*most.0)
        };
        let (add, remove) = if all.len() < target {
            // Grows to an odd number in one step: a group of two voters tolerates no loss.
            let add = (target - all.len()).min(candidates.len());
            (add - (all.len() + add + 1) % 2, None)
        } else {
            let remove = lost.map(|(id, _)| *id).or_else(overrepresented);
            (usize::from(remove.is_some()), remove)
        };
        if add == 0 {
            return;
        }
        let removes_leader = remove == Some(self.persistent.node);
        let added: Vec<(u64, Voter)> = candidates[..add]
            .iter()
            .map(|peer| &peer.member)
            .map(|new| {
                let (name, zone) = (new.name.clone(), new.zone.clone());
                (new.node, Voter { name, zone, address: new.address })
            })
            .collect();
        let successor = cluster_state.voters.iter().find(|(id, voter)| {
            **id != self.persistent.node
                && self.peers.get(&voter.name).is_some_and(|peer| peer.health == Health::Alive)
        });
        let successor = successor.map(|(id, _)| *id);
        let Some(consensus) = &mut self.consensus else { return };
        if removes_leader {
            // A leader does not remove itself: it hands over, and its successor removes it.
            if let Some(successor) = successor {
                consensus.transfer_leadership(successor);
            }
            return;
        }
        let ids: Vec<u64> = added.iter().map(|(id, _)| *id).collect();
        let removed: Vec<u64> = remove.into_iter().collect();
        let context = postcard::to_stdvec(&added).unwrap_or_default();
        if consensus.replace_voters(&ids, &removed, context) {
            let gone = if removed.is_empty() { "" } else { ", in place of another one" };
            let names: Vec<String> = added.into_iter().map(|(_, voter)| voter.name).collect();
            self.command_count += 1;
            self.log(format!("fleet: new voters: {}{gone}", names.join(", ")));
        }
    }

    /// Proposes everything about maintenance: roster updates, events that are due, and the next approval.
    pub(super) fn schedule_maintenance(&mut self, now: Millis) {
        let cluster_view = self.cluster_view(now);
        let time = self
            .leader_state
            .as_ref()
            .map_or(0, |lead| lead.time_ms + now.saturating_sub(lead.leading_since));
        // Members that are missing in the roster or differ from their entry.
        let alive = self.members().into_iter().filter(|(_, health)| *health == Health::Alive);
        let roster = &self.persistent.cluster_state.roster;
        let join: Vec<Command> = alive
            .filter_map(|(member, _)| {
                let minor = self.minor_version_of(&member.name)?;
                let known = RosterEntry { zone: member.zone, minor };
                let differs = roster.get(&member.name) != Some(&known);
                differs.then_some(Command::Join { name: member.name, zone: known.zone, minor })
            })
            .collect();
        let roster_is_current = join.is_empty();
        join.into_iter().for_each(|command| self.propose_own(command));
        let items = self.persistent.cluster_state.open_requests.clone();
        let mut has_proposed_event = false;
        for item in &items {
            if let Some(event) = self.due_event(item, &cluster_view, time, now) {
                let (machine, approval) = (item.machine.clone(), item.approval.unwrap_or(0));
                match event {
                    Event::Expire if item.approval.is_none() => {
                        self.propose_own(Command::Withdraw { machine })
                    }
                    event => self.propose_own(Command::ReportEvent { machine, approval, event }),
                }
                has_proposed_event = true;
            }
        }
        let Some(lead) = &mut self.leader_state else { return };
        if !items.is_empty() && now >= lead.last_clock_entry + CLOCK_ENTRY_INTERVAL {
            lead.last_clock_entry = now;
            self.propose_own(Command::AdvanceClock);
        }
        // An incomplete group approves nothing, since too few disks would record the approval.
        let is_complete = self.persistent.cluster_state.voters.len() >= self.config.founders.len().min(3);
        if has_proposed_event
            || !roster_is_current
            || !is_complete
            || items.iter().all(|item| item.state != State::Requested)
        {
            return;
        }
        let (cluster_state, limits) = (&self.persistent.cluster_state, &self.config.limits);
        match scheduler::next_candidate(cluster_state, &cluster_view, limits) {
            Ok(machine) => {
                let (base_version, max_out) = (cluster_state.version, limits.max_out);
                self.propose_own(Command::Approve { machine, base_version, max_out });
            }
            Err(why) => {
                let (Some(lead), Some((machine, why))) = (&mut self.leader_state, why.first()) else {
                    return;
                };
                // Logs the reason of the oldest request only, and compares it without digits, so that a
                // reason with changing figures is logged once.
                let kind: String = why.to_string().chars().filter(|c| !c.is_ascii_digit()).collect();
                if lead.logged_wait_reason != kind {
                    lead.logged_wait_reason = kind;
                    let line = format!("fleet: work on {machine} waits: {why}");
                    self.log(line);
                }
            }
        }
    }

    /// The event that is due for one request, if any.
    pub(super) fn due_event(
        &self,
        item: &MaintenanceRequest,
        cluster_view: &ClusterView,
        time: Millis,
        now: Millis,
    ) -> Option<Event> {
        let expired = item.expires_at_ms.is_some_and(|until| time > until);
        let late = item.due_at_ms.is_some_and(|due| time > due);
        let is_alive = |member: &&ObservedMember| member.health == Health::Alive;
        let all_report = |check: &dyn Fn(&Status) -> bool| {
            cluster_view.members.iter().filter(is_alive).all(|member| {
                member
                    .status
                    .as_ref()
                    .is_some_and(|(status, age)| *age <= cluster_view.max_status_age_ms && check(status))
            })
        };
        match (item.state, item.kind) {
            (State::Requested | State::Approved, _) if expired => Some(Event::Expire),
            (State::Approved, TargetKind::Server(_)) => Some(Event::Begin),
            (State::Approved, TargetKind::Agent) if time > item.state_since_ms + APPROVAL_LAPSE => {
                Some(Event::Lapse)
            }
            (State::Draining | State::Out, _) if late => Some(Event::DeadlinePassed),
            (State::Draining, TargetKind::Server(server)) => {
                let approval = item.approval.unwrap_or(0);
                let free = |status: &Status| status.held.contains(&(server, approval, false));
                all_report(&free).then_some(Event::Drained)
            }
            (State::Returning, TargetKind::Server(server)) => {
                let free = |status: &Status| !status.held.iter().any(|(held, ..)| *held == server);
                all_report(&free).then_some(Event::Returned)
            }
            (State::Approved | State::Draining | State::Returning | State::Overdue, TargetKind::Agent) => {
                let lost = |peer: &Peer| peer.health == Health::Dead && now >= peer.health_since;
                let lost = self.peers.get(&item.machine).is_some_and(lost);
                let gone = lost && !(item.state == State::Overdue && item.drained);
                gone.then_some(Event::MachineLost)
            }
            _ => None,
        }
    }
}
