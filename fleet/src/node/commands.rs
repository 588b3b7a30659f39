//! Following the agreed state as a member without a vote, and requests: those of operators by way of this
//! member, and those that members send to it as the leader.

use super::*;

/// Interval of status reports to the leader in a small cluster, and its growth per member.
const STATUS_INTERVAL: Millis = 250;
const STATUS_INTERVAL_PER_MEMBER: Millis = 10;
/// A request without a response is sent again to the current leader after `REQUEST_RETRY`, and fails after
/// `REQUEST_TIMEOUT`.
const REQUEST_RETRY: Millis = 500;
const REQUEST_TIMEOUT: Millis = 8_000;
const MAX_PENDING_PROPOSALS: usize = 1024;

impl Node {
    pub(super) fn status_interval(&self) -> Millis {
        STATUS_INTERVAL.max(STATUS_INTERVAL_PER_MEMBER * (self.peers.len() as Millis + 1))
    }

    /// A status up to this age is considered current.
    pub(super) fn max_status_age(&self) -> Millis {
        3 * self.status_interval() + 500
    }

    pub(super) fn send_status(&mut self, now: Millis) {
        if now < self.last_status_sent + self.status_interval() || self.is_leader() {
            return;
        }
        self.last_status_sent = now;
        let known = self.leader_name().and_then(|name| self.peers.get(&name));
        let known = known.filter(|peer| peer.health == Health::Alive).map(|peer| peer.member.address);
        let to = known.or_else(|| {
            // Without a known leader any member may have a newer state: asks a different one each time.
            let others = self.addresses();
            self.next_peer += 1;
            (!others.is_empty()).then(|| others[self.next_peer % others.len()])
        });
        if let Some(to) = to {
            let (known_index, status) = (self.persistent.index, self.own_status.clone());
            self.send(to, Payload::StatusReport { known_index, status });
        }
    }

    pub(super) fn handle_state_update(
        &mut self,
        now: Millis,
        from: &Member,
        index: u64,
        leader: Option<String>,
        cluster_state: Option<Vec<u8>>,
    ) {
        let cluster_state: Option<ClusterState> =
            cluster_state.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        if self.consensus.as_ref().is_some_and(Consensus::is_voter) {
            // A voter learns the state from the log, but one that was replaced while it was unreachable
            // gets no more entries.
            let replaced = cluster_state
                .is_some_and(|cluster_state| !cluster_state.voters.contains_key(&self.persistent.node));
            if replaced && index > self.persistent.index {
                self.reset_identity(
                    now,
                    0,
                    "the consensus group has replaced this member while it was unreachable",
                );
            }
            return;
        }
        if leader.is_some() {
            // The hint at the leader is taken from any member, but only a voter's hint proves that a leader
            // exists.
            if self.persistent.cluster_state.voters.contains_key(&from.node) {
                self.leader_seen_at = now;
            }
            self.leader = leader;
        }
        if now > self.leader_seen_at + LEADER_TIMEOUT {
            self.leader = None;
        }
        if index > self.persistent.index {
            if let Some(cluster_state) = cluster_state {
                (self.persistent.cluster_state, self.persistent.index) = (cluster_state, index);
                self.resolve_requests();
            }
        }
    }

    /// Resends requests without a response and fails those that timed out.
    pub(super) fn retry_requests(&mut self, now: Millis) {
        let due: Vec<CommandId> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| pending.last_sent.is_none_or(|sent| now >= sent + REQUEST_RETRY))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(pending) = self.pending_requests.get_mut(&id) else { continue };
            if now >= pending.submitted_at + REQUEST_TIMEOUT {
                self.pending_requests.remove(&id);
                let response = LeaderResponse::Outcome(Err(Rejection::NoQuorum));
                self.effects.push(Effect::Response { id, response });
                continue;
            }
            pending.last_sent = Some(now);
            let request = pending.request.clone();
            if self.is_leader() {
                self.handle_request(id, request, Requester::Local);
                continue;
            }
            let leader = self.leader_name().and_then(|name| self.peers.get(&name));
            if let Some(to) = leader.map(|peer| peer.member.address) {
                self.send(to, Payload::Request { id, request });
            }
        }
        self.process_consensus(now);
    }

    /// Handles a request addressed to this member as the leader.
    pub(super) fn handle_request(&mut self, id: CommandId, request: LeaderRequest, requester: Requester) {
        if !self.is_leader() {
            return self.respond(id, LeaderResponse::NotLeader(self.leader_name()), requester);
        }
        match request {
            LeaderRequest::Explain(machine) => {
                let (cluster_view, limits) = (self.cluster_view(self.last_tick), &self.config.limits);
                let text =
                    scheduler::explain(&self.persistent.cluster_state, &cluster_view, limits, &machine);
                self.respond(id, LeaderResponse::Text(text), requester);
            }
            LeaderRequest::Execute(command) => {
                if let Some(outcome) = self.persistent.cluster_state.outcome_of(id) {
                    let response = LeaderResponse::Outcome(outcome.clone());
                    return self.respond(id, response, requester);
                }
                if let Err(refusal) = self.check_allowed(&command) {
                    return self.respond(id, LeaderResponse::Outcome(Err(refusal)), requester);
                }
                if self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
                    self.pending_proposals.pop_first();
                }
                self.pending_proposals.insert(id, requester);
                self.propose(id, command);
            }
        }
    }

    /// What the leader rejects from its reported knowledge, before the command enters the log.
    pub(super) fn check_allowed(&self, command: &Command) -> Result<(), Rejection> {
        self.persistent.cluster_state.check_supported(command)?;
        match command {
            Command::Forget { name } => {
                let alive = |peer: &Peer| matches!(peer.health, Health::Alive | Health::Suspect);
                if *name == self.me().name || self.peers.get(name).is_some_and(alive) {
                    return Err(Rejection::StillAlive(name.clone()));
                }
                Ok(())
            }
            Command::Add { machine, kind: TargetKind::Server(number), .. } => {
                let lists = |status: &Status| status.classes.iter().any(|class| class.contains(number));
                let statuses = self.peers.values().filter_map(|peer| peer.status.as_ref());
                if lists(&self.own_status) || statuses.into_iter().any(|(status, _)| lists(status)) {
                    return Ok(());
                }
                Err(Rejection::UnknownMachine(machine.clone()))
            }
            // Only the leader itself proposes these.
            Command::Approve { .. }
            | Command::AdvanceClock
            | Command::Join { .. }
            | Command::FailOver { .. } => {
                Err(Rejection::NotAllowed("only the leader may propose this".into()))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn propose(&mut self, id: CommandId, command: Command) {
        let now = self.last_tick;
        let at_ms = self.leader_state.as_ref().map_or(self.persistent.cluster_state.time_ms, |lead| {
            lead.time_ms + now.saturating_sub(lead.leading_since)
        });
        let entry = LogEntry { id, at_ms, command };
        if let Some(consensus) = &mut self.consensus {
            consensus.propose(postcard::to_stdvec(&entry).unwrap_or_default());
        }
    }

    /// Proposes a command of the leader itself.
    pub(super) fn propose_own(&mut self, command: Command) {
        self.command_count += 1;
        let id = CommandId { origin: self.me().boot, count: self.command_count };
        self.propose(id, command);
    }

    pub(super) fn respond(&mut self, id: CommandId, response: LeaderResponse, requester: Requester) {
        match requester {
            Requester::Remote(to) => self.send(to, Payload::Response { id, response }),
            Requester::Local => self.handle_response(id, response),
        }
    }

    pub(super) fn handle_response(&mut self, id: CommandId, response: LeaderResponse) {
        if let LeaderResponse::NotLeader(_) = response {
            return;
        }
        // A duplicate response is ignored.
        if self.pending_requests.remove(&id).is_none() {
            return;
        }
        if self.leave_request.is_some_and(|(begin, ..)| begin == id) {
            return self.handle_leave_response(&response);
        }
        if let Some((reported, event, approval, _)) =
            self.pending_report.filter(|(reported, ..)| *reported == id)
        {
            let accepted = response == LeaderResponse::Outcome(Ok(()));
            self.pending_report = accepted.then_some((reported, event, approval, true));
            return;
        }
        self.effects.push(Effect::Response { id, response });
    }

    /// Resolves requests whose outcome is in the applied log or in a received state.
    pub(super) fn resolve_requests(&mut self) {
        let known: Vec<CommandId> = self
            .pending_requests
            .keys()
            .filter(|id| self.persistent.cluster_state.outcome_of(**id).is_some())
            .copied()
            .collect();
        for id in known {
            if let Some(outcome) = self.persistent.cluster_state.outcome_of(id).cloned() {
                self.handle_response(id, LeaderResponse::Outcome(outcome));
            }
        }
    }
}
