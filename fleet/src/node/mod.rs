//! One cluster member: membership, participation in the consensus group (as voter or as follower of its
//! state), the leader's duties, and the member's own maintenance.
//!
//! The caller passes in received messages ([`Node::receive`]), the local status and the time
//! ([`Node::tick`]), and carries out the [`Effect`]s in their order: whatever is to be persisted is on disk
//! before any later message is sent.

mod commands;
mod group;
mod leader;
mod local_maintenance;
mod membership;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cluster_state::{ClusterState, Command, CommandId, LogEntry, Rejection, RosterEntry, Voter};
use crate::consensus::{Consensus, ConsensusError, Output, PersistedLog, Write};
use crate::maintenance::{Event, MaintenanceRequest, State, TargetKind};
use crate::messages::{
    Envelope, GroupId, HeldReplica, LeaderRequest, LeaderResponse, Payload, Status, StreamEpoch, MAJOR,
};
use crate::scheduler::{self, ClusterView, Limits, ObservedMember};
use crate::swim::{Health, Member, Swim, SwimOutput};
use crate::Millis;
use leader::LeaderState;
use streams::StreamState;

/// Tick interval of the Raft engine.
const CONSENSUS_TICK: Millis = 100;
/// Bound on the requests of this member that have no response yet.
const MAX_PENDING_REQUESTS: usize = 64;
/// Time without a known leader after which an operator may found a new consensus group by hand.
const LEADER_TIMEOUT: Millis = 5_000;
/// A rejection is logged once and again after this interval; at most `MAX_LOGGED_REJECTIONS` lines are
/// remembered.
const REJECTION_LOG_INTERVAL: Millis = 60_000;
const MAX_LOGGED_REJECTIONS: usize = 64;
/// Gap left in the approval numbers when a group is recreated: the lost group may have issued up to this
/// many approvals beyond the copy of the state that the new group starts from.
const REFOUND_APPROVAL_GAP: u64 = 1 << 20;

/// Configuration of a member. Identical on all members except for their own names.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub cluster: String,
    /// Names of the initial voters; the first of them creates the consensus group.
    pub founders: Vec<String>,
    pub limits: Limits,
    /// The minor protocol version that this member speaks, at most [`MINOR`](crate::messages::MINOR).
    pub minor: u16,
}

/// What a member persists besides the Raft log. Encoded by postcard, by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Identity of this disk, drawn at random when it was first used.
    pub node: u64,
    pub incarnation: u64,
    pub group_id: GroupId,
    /// For each disk identity the highest incarnation seen, with the boot identifier of that process start.
    seen_disks: BTreeMap<u64, (u64, u64)>,
    /// The highest incarnation seen of each member name.
    incarnations: BTreeMap<String, u64>,
    /// The approval under which this machine is out for maintenance.
    away_approval: Option<u64>,
    /// The log index of `cluster_state`, the agreed state at the time of writing.
    index: u64,
    cluster_state: ClusterState,
}

impl PersistentState {
    /// The state of an empty directory.
    pub fn first(node: u64) -> Self {
        PersistentState { node, ..PersistentState::default() }
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns `None` if the bytes can't be decoded.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What the caller must do. Effects are carried out in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write to the Raft log.
    WriteLog(Write),
    /// Persist the state besides the log, as a whole.
    Persist(Box<PersistentState>),
    /// Replace the log: atomically delete the present one, write `log` (if there is one) in its place, and
    /// persist `state`.
    ReplaceLog {
        state: Box<PersistentState>,
        log: Option<Write>,
    },
    Send {
        to: SocketAddr,
        payload: Payload,
    },
    /// Begin to drain: the machine leaves for maintenance and sends its clients elsewhere.
    StartDrain {
        approval: u64,
    },
    /// The machine was out under this approval when its process ended: it does not serve until
    /// [`Effect::Resume`].
    RemainOut {
        approval: u64,
    },
    /// A replication message was received.
    Replication {
        from: Box<Member>,
        bytes: Vec<u8>,
    },
    /// Serve again.
    Resume,
    /// Send no new set-ups to these check servers, each given with its approval number. All others are
    /// released.
    HoldServers(BTreeMap<u32, u64>),
    /// The response to a request submitted by [`Node::submit`].
    Response {
        id: CommandId,
        response: LeaderResponse,
    },
    Log(String),
}

/// Another member.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    health: Health,
    /// When `health` last changed.
    health_since: Millis,
    /// The incarnation that announced a graceful leave.
    left_incarnation: Option<u64>,
    status: Option<(Status, Millis)>,
    /// The minor protocol version it speaks, known once a message was received from it.
    minor: Option<u16>,
}

/// A request of this member without a response.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: LeaderRequest,
    submitted_at: Millis,
    last_sent: Option<Millis>,
}

/// Where the response to a command goes once the command is committed.
#[derive(Clone, Debug, PartialEq)]
enum Requester {
    Local,
    Remote(SocketAddr),
}

/// Snapshot of the node's metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub alive: u64,
    pub suspect: u64,
    pub dead: u64,
    pub voters: u64,
    /// A joint configuration change of the voters is in progress: old and new voters must both agree.
    pub joint: bool,
    pub is_leader: bool,
    pub is_voter: bool,
    pub leader: Option<String>,
    pub term: u64,
    pub index: u64,
    pub group_number: u64,
    pub open_requests: u64,
    pub machines_out: u64,
    pub last_approval: u64,
    pub stalled_ms: u64,
    /// Commands rejected because of a superseded approval number or state version.
    pub fenced: u64,
    /// Messages from another cluster or another consensus group, or from senders that were rejected.
    pub unexpected_messages: u64,
    /// Frames dropped before sending, and octets sent; filled in by the caller.
    pub unsent: u64,
    pub octets: u64,
}

/// A cluster member as a state machine without I/O: inputs are method calls, outputs are [`Effect`]s.
pub struct Node {
    config: NodeConfig,
    swim: Swim,
    persistent: PersistentState,
    last_persisted: PersistentState,
    consensus: Option<Consensus>,
    /// Voters that confirmed our disk to be the one they saw last. Until they are a majority together with
    /// this member, a voter that started with an existing log takes no part in consensus.
    confirming_voters: BTreeSet<u64>,
    /// Set once a majority confirmed the disk, or if the log was created by this process, so that there can
    /// be no older copy of it.
    may_participate: bool,
    peers: BTreeMap<String, Peer>,
    leader: Option<String>,
    leader_seen_at: Millis,
    started: Millis,
    /// Founders that reported that they know of no consensus group.
    founders_without_group: BTreeSet<String>,
    own_status: Status,
    /// The request for permission to leave: its identifier, when it was submitted, and its approval number.
    leave_request: Option<(CommandId, Millis, u64)>,
    /// What this machine reports about itself (drained, returned): request, event, approval number, and
    /// whether the report is known to be committed.
    pending_report: Option<(CommandId, Event, u64, bool)>,
    /// The caller was told to drain and not yet to resume.
    is_away: bool,
    held_servers: BTreeMap<u32, u64>,
    pending_requests: BTreeMap<CommandId, PendingRequest>,
    pending_proposals: BTreeMap<CommandId, Requester>,
    command_count: u64,
    leader_state: Option<LeaderState>,
    streams: StreamState,
    last_tick: Millis,
    last_dead_probe: Millis,
    last_peer_scan: Millis,
    last_status_sent: Millis,
    next_peer: usize,
    fenced: u64,
    unexpected_messages: u64,
    /// Rejections that were logged, and when.
    logged_rejections: BTreeMap<String, Millis>,
    group_conflict_logged: bool,
    effects: Vec<Effect>,
}

impl Node {
    /// Starts a new incarnation. `me.node` and `me.incarnation` are taken from the persistent state.
    ///
    /// # Errors
    ///
    /// The persisted log can't be decoded.
    pub fn new(
        now: Millis,
        config: NodeConfig,
        me: Member,
        persistent: PersistentState,
        persisted: &PersistedLog,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        let mut persistent = persistent;
        persistent.incarnation += 1;
        let me = Member { node: persistent.node, incarnation: persistent.incarnation, ..me };
        persistent.incarnations.insert(me.name.clone(), persistent.incarnation);
        let had_log = !persisted.snapshot.is_empty() || !persisted.hard.is_empty();
        let consensus = if had_log { Some(Consensus::new(persistent.node, persisted)?) } else { None };
        let mut node = Node {
            config,
            swim: Swim::new(now, me, seed),
            last_persisted: PersistentState::default(),
            persistent,
            consensus,
            confirming_voters: BTreeSet::new(),
            may_participate: !had_log,
            peers: BTreeMap::new(),
            leader: None,
            leader_seen_at: now,
            started: now,
            founders_without_group: BTreeSet::new(),
            own_status: Status::default(),
            leave_request: None,
            pending_report: None,
            is_away: false,
            held_servers: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            command_count: 0,
            leader_state: None,
            streams: StreamState::default(),
            last_tick: now,
            last_dead_probe: now,
            last_peer_scan: 0,
            last_status_sent: 0,
            next_peer: 0,
            fenced: 0,
            unexpected_messages: 0,
            logged_rejections: BTreeMap::new(),
            group_conflict_logged: false,
            effects: Vec::new(),
        };
        if let Some((data, _)) = node.consensus.as_ref().and_then(Consensus::restored_state) {
            if let Ok(cluster_state) = postcard::from_bytes(&data) {
                node.persistent.cluster_state = cluster_state;
                node.persistent.index = node.consensus.as_ref().map_or(0, Consensus::applied);
            }
        }
        // Persisted before it is announced: the next process start must use a different incarnation.
        node.persist();
        if node.consensus.as_ref().is_some_and(|consensus| !consensus.is_voter()) {
            node.reset_identity(now, 0, "its log is of a consensus group without this member");
        }
        if let Some(approval) = node.persistent.away_approval {
            node.is_away = true;
            node.effects.push(Effect::RemainOut { approval });
            node.log(format!(
                "fleet: this machine was out for work, grant {approval}, and stays out until it may return"
            ));
        }
        node.update_held_servers();
        Ok(node)
    }

    pub fn me(&self) -> &Member {
        self.swim.me()
    }

    /// The agreed state as known here.
    pub fn cluster_state(&self) -> &ClusterState {
        &self.persistent.cluster_state
    }

    /// Whether any agreed state was ever received or applied.
    pub fn has_cluster_state(&self) -> bool {
        self.persistent.index > 0 || self.persistent.cluster_state.version > 0
    }

    /// Returns the effects since the last call, to be carried out in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Wraps a payload with what this member states about itself in every message.
    pub fn envelope(&self, payload: Payload) -> Envelope {
        let (cluster, from) = (self.config.cluster.clone(), self.me().clone());
        Envelope { cluster, from, group_id: self.persistent.group_id, payload, minor: self.config.minor }
    }

    /// All known members including this one, sorted by name.
    pub fn members(&self) -> Vec<(Member, Health)> {
        let mut members: Vec<(Member, Health)> =
            self.peers.values().map(|peer| (peer.member.clone(), peer.health)).collect();
        members.push((self.me().clone(), Health::Alive));
        members.sort_by(|(one, _), (other, _)| one.name.cmp(&other.name));
        members
    }

    /// The minor protocol version of a member, if known.
    pub fn minor_version_of(&self, name: &str) -> Option<u16> {
        if name == self.me().name {
            return Some(self.config.minor);
        }
        self.peers.get(name).and_then(|peer| peer.minor)
    }

    /// Addresses of the members that are neither dead nor gone.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let there = |peer: &&Peer| matches!(peer.health, Health::Alive | Health::Suspect);
        self.peers.values().filter(there).map(|peer| peer.member.address).collect()
    }

    pub fn metrics(&self) -> Metrics {
        let of = |health| self.peers.values().filter(|peer| peer.health == health).count() as u64;
        let cluster_state = &self.persistent.cluster_state;
        Metrics {
            alive: of(Health::Alive) + 1,
            suspect: of(Health::Suspect),
            dead: of(Health::Dead),
            voters: cluster_state.voters.len() as u64,
            joint: self.consensus.as_ref().is_some_and(Consensus::is_joint),
            is_leader: self.is_leader(),
            is_voter: self.consensus.as_ref().is_some_and(Consensus::is_voter),
            leader: self.leader_name(),
            term: self.consensus.as_ref().map_or(0, Consensus::term),
            index: self.persistent.index,
            group_number: self.persistent.group_id.number,
            open_requests: cluster_state.open_requests.len() as u64,
            machines_out: cluster_state.machines_out().count() as u64,
            last_approval: cluster_state.last_approval,
            stalled_ms: self.swim.stalled_ms(),
            fenced: self.fenced,
            unexpected_messages: self.unexpected_messages,
            ..Metrics::default()
        }
    }

    /// Whether this member leads and has applied all that earlier leaders committed.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::has_confirmed_leadership)
    }

    // ---- Inputs.

    /// Sets the local status that is reported to the leader.
    pub fn set_status(&mut self, status: Status) {
        self.own_status = status;
    }

    /// Handles a gap in the calls to the node, during which the process did not run. To be called at least
    /// every [`CONSENSUS_TICK`], and before messages are passed in that may have arrived during the gap.
    pub fn detect_stall(&mut self, now: Millis) {
        if let Some(stalled_for) = self.swim.detect_stall(now) {
            // The response may have been received long ago and may be outdated.
            self.leave_request = None;
            self.streams.stall_detected(now);
            self.leader_seen_at += stalled_for;
            for peer in self.peers.values_mut() {
                peer.health_since += stalled_for;
            }
            self.log(format!(
                "fleet: the process was stalled for {stalled_for} ms, failure detection is postponed"
            ));
        }
    }

    /// Advances time: runs all timers and periodic duties.
    pub fn tick(&mut self, now: Millis) {
        self.detect_stall(now);
        let output = self.swim.tick(now);
        self.apply_swim_output(now, output);
        self.refresh_peers(now);
        self.probe_dead_member(now);
        self.found_group(now);
        self.tick_consensus(now);
        self.send_status(now);
        self.retry_requests(now);
        self.run_leader_duties(now);
        self.renew_lease(now);
        self.update_local_maintenance(now);
        self.update_held_servers();
        self.persist();
    }

    /// Handles a message of another member. Returns `false` if the connection is to be closed; the
    /// rejection is then among the effects.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) -> bool {
        self.detect_stall(now);
        let Envelope { cluster, from, group_id, payload, minor } = envelope;
        let (to, me) = (from.address, self.me().clone());
        let reject = |node: &mut Node, why: String| {
            node.log_rejection(now, format!("fleet: {} at {to} is rejected: {why}", from.name));
            node.send(to, Payload::Rejected(why));
            false
        };
        if let Payload::Rejected(why) = payload {
            self.log_rejection(now, format!("fleet: {} at {to} rejects this member: {why}", from.name));
            return false;
        }
        if cluster != self.config.cluster {
            return reject(self, format!("this is cluster {}, not {cluster}", self.config.cluster));
        }
        if from.name == me.name {
            return reject(self, format!("the member name {} is already in use", me.name));
        }
        let required_minor = self.persistent.cluster_state.required_minor;
        if minor < required_minor {
            return reject(
                self,
                format!(
                    "version {MAJOR}.{minor} is too old, the log has entries of {MAJOR}.{required_minor}"
                ),
            );
        }
        if let Some(peer) = self.peers.get_mut(&from.name).filter(|peer| peer.member.boot == from.boot) {
            peer.minor = Some(minor);
        }
        let is_group_message = matches!(
            payload,
            Payload::Raft(_)
                | Payload::StatusReport { .. }
                | Payload::StateUpdate { .. }
                | Payload::Request { .. }
                | Payload::Response { .. }
                | Payload::RenewLease { .. }
                | Payload::LeaseRenewed { .. }
                | Payload::Replication(_)
        );
        if !self.adopt_group(now, &from, group_id) && is_group_message {
            self.unexpected_messages += 1;
            return true;
        }
        match payload {
            Payload::Hello => {
                let welcome = self.build_welcome(&from, false);
                self.persist();
                self.send(to, welcome);
                let output = self.swim.announce(now, &from);
                self.apply_swim_output(now, output);
            }
            Payload::Welcome { recipient, incarnation, disk_is_current, is_reply } => {
                if !is_reply {
                    let welcome = self.build_welcome(&from, true);
                    self.persist();
                    self.send(to, welcome);
                }
                // A welcome for a replaced disk identity or an earlier process start is ignored.
                if recipient == (self.persistent.node, me.boot) {
                    self.handle_welcome(now, &from, incarnation, disk_is_current);
                }
                let output = self.swim.announce(now, &from);
                self.apply_swim_output(now, output);
            }
            Payload::Rejected(_) => {}
            Payload::Gossip(bytes) => {
                let output = self.swim.receive(now, &bytes);
                self.apply_swim_output(now, output);
            }
            Payload::Raft(bytes) => self.handle_raft(now, &from, &bytes),
            Payload::StatusReport { known_index, status } => {
                if let Some(peer) = self.peers.get_mut(&from.name) {
                    peer.status = Some((status, now));
                }
                let newer = (known_index < self.persistent.index).then(|| self.encoded_state());
                let (index, leader) = (self.persistent.index, self.leader_name());
                self.send(to, Payload::StateUpdate { index, leader, cluster_state: newer });
            }
            Payload::StateUpdate { index, leader, cluster_state } => {
                self.handle_state_update(now, &from, index, leader, cluster_state)
            }
            Payload::Request { id, request } => self.handle_request(id, request, Requester::Remote(to)),
            Payload::Response { id, response } => self.handle_response(id, response),
            Payload::Leaving => {
                if let Some(peer) = self.peers.get_mut(&from.name) {
                    peer.left_incarnation = Some(from.incarnation);
                }
            }
            Payload::RenewLease { requested_at, owned_streams, held_replicas } => {
                self.handle_lease_renewal(now, &from, requested_at, &owned_streams, held_replicas)
            }
            Payload::LeaseRenewed { boot, requested_at } => self.lease_renewed(&from, boot, requested_at),
            Payload::Replication(bytes) => {
                self.effects.push(Effect::Replication { from: Box::new(from), bytes })
            }
        }
        self.process_consensus(now);
        self.update_local_maintenance(now);
        self.update_held_servers();
        self.persist();
        true
    }

    /// Submits an operator's request by way of this member. Exactly one [`Effect::Response`] follows,
    /// within a bounded time.
    pub fn submit(&mut self, now: Millis, request: LeaderRequest) -> CommandId {
        self.command_count += 1;
        let id = CommandId { origin: self.me().boot, count: self.command_count };
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            let response = LeaderResponse::Outcome(Err(Rejection::LimitReached("pending requests".into())));
            self.effects.push(Effect::Response { id, response });
            return id;
        }
        self.pending_requests.insert(id, PendingRequest { request, submitted_at: now, last_sent: None });
        self.retry_requests(now);
        id
    }

    /// Shuts down gracefully: announces the leave and transfers leadership.
    pub fn leave_cluster(&mut self, now: Millis) {
        let voters = &self.persistent.cluster_state.voters;
        let others = voters.iter().filter(|(id, _)| **id != self.persistent.node);
        let next = others
            .filter(|(_, voter)| self.peers.get(&voter.name).is_some_and(|peer| peer.health == Health::Alive))
            .map(|(id, _)| *id)
            .next();
        if let (Some(consensus), Some(next)) = (self.consensus.as_mut().filter(|c| c.is_leader()), next) {
            consensus.transfer_leadership(next);
        }
        self.process_consensus(now);
        for to in self.addresses() {
            self.send(to, Payload::Leaving);
        }
        let output = self.swim.leave(now);
        self.apply_swim_output(now, output);
        self.persist();
    }

    /// Founds a new consensus group on an operator's order, when the majority of the old one is lost for
    /// good. Anything that the old group agreed and this member did not receive is lost; if the old group
    /// survives after all, there are two.
    ///
    /// # Errors
    ///
    /// There is a leader, or no group was ever known.
    pub fn recreate_group(&mut self, now: Millis) -> Result<(), Rejection> {
        if !self.persistent.group_id.is_some() {
            return Err(Rejection::NotAllowed("no consensus group was ever known to this member".into()));
        }
        if self.leader_name().is_some() && now < self.leader_seen_at + LEADER_TIMEOUT {
            return Err(Rejection::NotAllowed("the consensus group has a leader, and is not lost".into()));
        }
        let number = self.persistent.group_id.number + 1;
        self.persistent.cluster_state.last_approval += REFOUND_APPROVAL_GAP;
        self.persistent.cluster_state.version += 1;
        self.create_group(now, number);
        self.log(format!("fleet: consensus group {number} is founded by hand"));
        Ok(())
    }

    // ---- Outputs.

    /// Persists the state if anything changed that a restart needs. The log index and the cluster time
    /// alone don't count: a voter restores them from its log, other members receive them.
    fn persist(&mut self) {
        let (current, persisted) = (&self.persistent, &self.last_persisted);
        let same = (current.node, current.incarnation, current.group_id, current.away_approval)
            == (persisted.node, persisted.incarnation, persisted.group_id, persisted.away_approval)
            && current.cluster_state.version == persisted.cluster_state.version
            && current.seen_disks == persisted.seen_disks
            && current.incarnations == persisted.incarnations;
        if !same {
            self.last_persisted = self.persistent.clone();
            self.effects.push(Effect::Persist(Box::new(self.persistent.clone())));
        }
    }

    fn send(&mut self, to: SocketAddr, payload: Payload) {
        self.effects.push(Effect::Send { to, payload });
    }

    /// Logs a rejection at a limited rate, since a rejected member sends a greeting every second.
    fn log_rejection(&mut self, now: Millis, line: String) {
        self.unexpected_messages += 1;
        self.logged_rejections.retain(|_, at| now < *at + REJECTION_LOG_INTERVAL);
        if !self.logged_rejections.contains_key(&line) && self.logged_rejections.len() < MAX_LOGGED_REJECTIONS
        {
            self.logged_rejections.insert(line.clone(), now);
            self.log(line);
        }
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }
}
