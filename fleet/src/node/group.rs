//! Participation in the consensus group: creating it, voting in it, and applying what it commits.

use super::*;

/// Ticks caught up after a gap, at most, so that a member that was stalled doesn't start an election
/// because of it.
const MAX_CATCH_UP_TICKS: u64 = 3;
/// How long a founder looks for an existing group before it creates one.
const GROUP_DISCOVERY_PERIOD: Millis = 2_000;

impl Node {
    /// Adopts another member's group if this member has none or an older one. Returns whether both are in
    /// the same group now.
    pub(super) fn adopt_group(&mut self, now: Millis, from: &Member, theirs: GroupId) -> bool {
        let ours = self.persistent.group_id;
        if theirs == ours {
            return true;
        }
        if theirs.number > ours.number {
            if ours.is_some() {
                self.log(format!("fleet: adopting consensus group {} of {}", theirs.number, from.name));
            }
            self.persistent.group_id = theirs;
            self.persistent.index = 0;
            (self.leader, self.leader_seen_at) = (None, now);
            self.replace_log(None);
            return true;
        }
        if theirs.number == ours.number && !std::mem::replace(&mut self.group_conflict_logged, true) {
            self.log(format!(
                "fleet: {} is in another consensus group of the same number, an operator must choose one",
                from.name
            ));
        }
        // A member with an older group adopts ours; the membership protocol is independent of groups.
        theirs.number == 0
    }

    pub(super) fn found_group(&mut self, now: Millis) {
        let first = self.config.founders.first() == Some(&self.me().name);
        if !first || self.persistent.group_id.is_some() || now < self.started + GROUP_DISCOVERY_PERIOD {
            return;
        }
        // A majority of the founders must know of no group: if one existed, at least one of these would
        // know of it.
        if 2 * (self.founders_without_group.len() + 1) > self.config.founders.len() {
            self.create_group(now, 1);
            self.log("fleet: the consensus group is founded".into());
        }
    }

    pub(super) fn create_group(&mut self, now: Millis, number: u64) {
        let me = self.me().clone();
        self.persistent.group_id = GroupId { number, founder: me.node ^ me.boot };
        let voter = Voter { name: me.name, zone: me.zone, address: me.address };
        self.persistent.cluster_state.voters = BTreeMap::from([(me.node, voter)]);
        let write = Consensus::initial_snapshot(me.node, self.encoded_state());
        let mut image = crate::consensus::LogImage::default();
        image.write(write.clone());
        self.persistent.index = 1;
        self.replace_log(Some(write));
        self.consensus = Consensus::new(me.node, &image.persisted()).ok();
        (self.leader, self.leader_seen_at) = (None, now);
    }

    /// A voter with a log from an earlier start may take part only once enough other voters confirmed that
    /// its disk is the one they saw last. Together with this member they must be a majority, so that at
    /// least one of them received anything it ever sent.
    pub(super) fn may_participate(&mut self) -> bool {
        let is_confirmed = |consensus: &Consensus| consensus.is_majority(&self.confirming_voters);
        self.may_participate = self.may_participate || self.consensus.as_ref().is_none_or(is_confirmed);
        self.may_participate
    }

    pub(super) fn handle_raft(&mut self, now: Millis, from: &Member, bytes: &[u8]) {
        if !self.may_participate() {
            return;
        }
        if self.consensus.is_none() && self.persistent.group_id.is_some() {
            self.consensus = Consensus::new(self.persistent.node, &PersistedLog::default()).ok();
        }
        let Some(consensus) = &mut self.consensus else { return };
        if consensus.receive(bytes) && consensus.leader() == Some(from.node) {
            self.leader_seen_at = now;
        }
    }

    pub(super) fn tick_consensus(&mut self, now: Millis) {
        let ticks = (now.saturating_sub(self.last_tick) / CONSENSUS_TICK).min(MAX_CATCH_UP_TICKS);
        if ticks > 0 {
            self.last_tick = now;
            if self.may_participate() {
                if let Some(consensus) = &mut self.consensus {
                    for _ in 0..ticks {
                        consensus.tick();
                    }
                }
            }
        }
        self.process_consensus(now);
    }

    /// Runs the Raft engine, applies committed entries and emits the resulting effects.
    pub(super) fn process_consensus(&mut self, now: Millis) {
        let Some(mut consensus) = self.consensus.take() else { return };
        let was_voter = consensus.is_voter();
        let mut responses = Vec::new();
        let persistent = &mut self.persistent;
        let outputs = consensus.process_ready(|output| {
            match output {
                Output::Apply { index, data } => {
                    let known = |entry: &LogEntry| entry.command.introduced_in() <= self.config.minor;
                    if let Some(entry) = postcard::from_bytes::<LogEntry>(data).ok().filter(known) {
                        let before = persistent.cluster_state.version;
                        let outcome = persistent.cluster_state.apply(&entry);
                        responses.push((entry, outcome, persistent.cluster_state.version > before));
                    }
                    persistent.index = *index;
                }
                Output::VotersChanged { ids, context } => {
                    persistent
                        .cluster_state
                        .set_voters(ids, postcard::from_bytes(context).unwrap_or_default());
                }
                Output::Restore { data, .. } => {
                    if let Ok(cluster_state) = postcard::from_bytes(data) {
                        persistent.cluster_state = cluster_state;
                    }
                }
                Output::Write(_) | Output::Send { .. } => {}
            }
            postcard::to_stdvec(&persistent.cluster_state).unwrap_or_default()
        });
        self.persistent.index = self.persistent.index.max(consensus.applied());
        let replaced = was_voter && !consensus.is_voter();
        for output in outputs {
            match output {
                Output::Write(write) => self.effects.push(Effect::WriteLog(write)),
                Output::Send { to, bytes } => {
                    if let Some(to) = self.address_of(to) {
                        self.send(to, Payload::Raft(bytes));
                    }
                }
                Output::Apply { .. } | Output::VotersChanged { .. } | Output::Restore { .. } => {}
            }
        }
        if consensus.is_leader() {
            self.leader_seen_at = now;
        }
        self.consensus = Some(consensus);
        for (entry, outcome, state_changed) in responses {
            if matches!(outcome, Err(Rejection::Fenced { .. } | Rejection::StaleVersion { .. })) {
                self.fenced += 1;
            }
            if state_changed {
                self.log_maintenance(&entry);
            }
            if let Some(requester) = self.pending_proposals.remove(&entry.id) {
                self.respond(entry.id, LeaderResponse::Outcome(outcome), requester);
            }
        }
        self.resolve_requests();
        if replaced {
            self.reset_identity(now, 0, "the consensus group has replaced this member");
        }
    }

    /// Logs a change of maintenance for operators, at the leader only.
    pub(super) fn log_maintenance(&mut self, entry: &LogEntry) {
        if !self.is_leader() {
            return;
        }
        let machine = match &entry.command {
            Command::Add { machine, .. }
            | Command::Extend { machine, .. }
            | Command::Withdraw { machine }
            | Command::Finish { machine }
            | Command::Approve { machine, .. }
            | Command::ReportEvent { machine, .. } => machine.clone(),
            Command::Pause { reason: Some(why) } => return self.log(format!("fleet: work is paused: {why}")),
            Command::Pause { reason: None } => return self.log("fleet: work is resumed".into()),
            Command::FailOver { stream, epoch, name, .. } => {
                let line = format!("fleet: {name} takes over stream {stream:x}, epoch {epoch}");
                return self.log(line);
            }
            Command::CloseStream { stream, .. } => {
                return self.log(format!("fleet: takeover of stream {stream:x} is complete"));
            }
            Command::Join { .. } | Command::Forget { .. } | Command::AdvanceClock => return,
        };
        let cluster_state = &self.persistent.cluster_state;
        let over = || cluster_state.closed_requests.iter().rev().find(|item| item.machine == machine);
        if let Some(item) = cluster_state.open_request(&machine).or_else(over) {
            let approval = item.approval.map_or_else(String::new, |approval| format!(", grant {approval}"));
            let state = item.state.as_str();
            self.log(format!("fleet: work on {machine} is {state}{approval}"));
        }
    }

    pub(super) fn address_of(&self, id: u64) -> Option<SocketAddr> {
        let peer = self.peers.values().find(|peer| peer.member.node == id).map(|peer| peer.member.address);
        peer.or_else(|| self.persistent.cluster_state.voters.get(&id).map(|voter| voter.address))
    }

    pub(super) fn leader_name(&self) -> Option<String> {
        let consensus = self.consensus.as_ref().filter(|consensus| consensus.is_voter());
        match consensus {
            Some(consensus) if consensus.is_leader() => Some(self.me().name.clone()),
            Some(consensus) => {
                let id = consensus.leader()?;
                self.persistent.cluster_state.voters.get(&id).map(|voter| voter.name.clone())
            }
            None => self.leader.clone(),
        }
    }

    pub(super) fn encoded_state(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.persistent.cluster_state).unwrap_or_default()
    }
}
