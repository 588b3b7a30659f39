//! One member of the fleet, whole: membership, its part in the council or its following of it, the leader's
//! work, and its own leaving and coming back.
//!
//! A front hands in what came ([`Node::received`]), its own status and the time ([`Node::tick`]), and carries
//! out [`Effect`]s in their order: what is to be written is on disk before what follows it is sent.

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

/// The council's engine is ticked so often.
const CONSENSUS_TICK: Millis = 100;
/// Commands of this member that are under way, at most, and those of others that wait for the log.
const MAX_PENDING_REQUESTS: usize = 64;
/// A leader is not heard of for so long before a new council may be founded by hand.
const LEADER_TIMEOUT: Millis = 5_000;
/// A refusal is response in the log once, and again after this; so many are remembered.
const REJECTION_LOG_INTERVAL: Millis = 60_000;
const MAX_LOGGED_REJECTIONS: usize = 64;
/// Grants of a council that is lost may have gone this far beyond the copy that a new one starts from.
const REFOUND_APPROVAL_GAP: u64 = 1 << 20;

/// How a fleet is set up: the same for all members, but for their own names.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub cluster: String,
    /// The first council, by names; the first of them founds it.
    pub founders: Vec<String>,
    pub limits: Limits,
    /// The minor version that this member speaks, up to [`MINOR`](crate::words::MINOR).
    pub minor: u16,
}

/// What a member keeps on disk beside the council's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Of this disk, drawn when it was first used.
    pub node: u64,
    pub incarnation: u64,
    pub group_id: GroupId,
    /// The highest life, and the start, that was seen of each disk.
    seen_disks: BTreeMap<u64, (u64, u64)>,
    /// The highest life of each name.
    incarnations: BTreeMap<String, u64>,
    /// The grant by which this machine is out.
    away_approval: Option<u64>,
    /// What was agreed when this was written, and its place in the log.
    index: u64,
    cluster_state: ClusterState,
}

impl PersistentState {
    /// Of a directory that held_replicas nothing yet.
    pub fn first(node: u64) -> Self {
        PersistentState { node, ..PersistentState::default() }
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` where the bytes are no page.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a front does, in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Of the council's log.
    WriteLog(Write),
    /// The whole of what else is kept.
    Persist(Box<PersistentState>),
    /// The log is another one from now on: what there was of it goes, this comes in its place (if anything),
    /// and the page with it, all at once.
    ReplaceLog {
        page: Box<PersistentState>,
        log: Option<Write>,
    },
    Send {
        to: SocketAddr,
        payload: Payload,
    },
    /// The machine leaves: it sends its clients away.
    StartDrain {
        approval: u64,
    },
    /// It was out by this grant when its process ended: it takes up no work until it hears that it may.
    RemainOut {
        approval: u64,
    },
    /// A word recipient copies came.
    Replication {
        from: Box<Member>,
        bytes: Vec<u8>,
    },
    /// It serves again.
    Resume,
    /// No new set-ups go to these check servers, each with its grant. All others are free.
    HoldServers(BTreeMap<u32, u64>),
    /// A command or question of staff has come to its end.
    Response {
        id: CommandId,
        response: LeaderResponse,
    },
    Log(String),
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    health: Health,
    /// Since when its health is so.
    since: Millis,
    /// The life in which it said that it leaves.
    left_incarnation: Option<u64>,
    status: Option<(Status, Millis)>,
    /// The minor version that it speaks, once it was heard.
    minor: Option<u16>,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    request: LeaderRequest,
    since: Millis,
    sent: Option<Millis>,
}

/// Where the answer to a command goes once it is in the log.
#[derive(Clone, Debug, PartialEq)]
enum Requester {
    Local,
    Remote(SocketAddr),
}

/// Figures of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub alive: u64,
    pub suspect: u64,
    pub dead: u64,
    pub voters: u64,
    /// A change of voters is under way: those before and those after it must both agree.
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
    /// Commands that were refused because of an older grant or state.
    pub fenced: u64,
    /// Words of other clusters, other councils or unknown speakers.
    pub unexpected_messages: u64,
    /// Frames that found no way out, and octets sent; the front counts these.
    pub unsent: u64,
    pub octets: u64,
}

pub struct Node {
    config: NodeConfig,
    swim: Swim,
    persistent: PersistentState,
    last_persisted: PersistentState,
    consensus: Option<Consensus>,
    /// Voters that found our disk to be the one that they had seen; until there are enough of them, a voter
    /// that had a log at its start keeps still.
    confirming_voters: BTreeSet<u64>,
    /// Enough of them did, once; or the log was begun in this start, so no older copy of it can be.
    may_participate: bool,
    peers: BTreeMap<String, Peer>,
    leader: Option<String>,
    leader_seen_at: Millis,
    started: Millis,
    /// Founders that know of no council.
    founders_without_group: BTreeSet<String>,
    own: Status,
    /// The question that asks whether the machine may leave by a grant, and since when.
    leave_request: Option<(CommandId, Millis, u64)>,
    /// What this machine says of itself (that it has drained, that it is back), by which grant, and whether
    /// that is known to be agreed.
    pending_report: Option<(CommandId, Event, u64, bool)>,
    /// The machine was response to leave, or to serve.
    is_away: bool,
    held: BTreeMap<u32, u64>,
    pending_requests: BTreeMap<CommandId, PendingRequest>,
    pending_proposals: BTreeMap<CommandId, Requester>,
    count: u64,
    lead: Option<LeaderState>,
    streams: StreamState,
    last_tick: Millis,
    last_dead_probe: Millis,
    last_peer_scan: Millis,
    last_status_sent: Millis,
    next_peer: usize,
    fenced: u64,
    unexpected_messages: u64,
    /// Refusals that the log response of, and when.
    logged_rejections: BTreeMap<String, Millis>,
    group_conflict_logged: bool,
    effects: Vec<Effect>,
}

impl Node {
    /// Begins a new life. `me.node` and `me.life` are taken from the page.
    ///
    /// # Errors
    /// What was kept of the log can't be read.
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
            own: Status::default(),
            leave_request: None,
            pending_report: None,
            is_away: false,
            held: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            count: 0,
            lead: None,
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
        // Kept before it is spoken of: the next start must differ from this one.
        node.persist();
        if node.consensus.as_ref().is_some_and(|consensus| !consensus.is_voter()) {
            node.reset_identity(now, 0, "its log is of a council without it");
        }
        if let Some(approval) = node.persistent.away_approval {
            node.is_away = true;
            node.effects.push(Effect::RemainOut { approval });
            node.log(format!(
                "fleet: this machine was out for work, grant {approval}, and stays so until it hears more"
            ));
        }
        node.update_held_servers();
        Ok(node)
    }

    pub fn me(&self) -> &Member {
        self.swim.me()
    }

    pub fn cluster_state(&self) -> &ClusterState {
        &self.persistent.cluster_state
    }

    /// Whether anything was ever heard of what the council agreed.
    pub fn has_cluster_state(&self) -> bool {
        self.persistent.index > 0 || self.persistent.cluster_state.version > 0
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What this member says of itself with every word.
    pub fn envelope(&self, payload: Payload) -> Envelope {
        let (cluster, from) = (self.config.cluster.clone(), self.me().clone());
        Envelope { cluster, from, group_id: self.persistent.group_id, payload, minor: self.config.minor }
    }

    /// All members that are known, this one among them, by name.
    pub fn members(&self) -> Vec<(Member, Health)> {
        let mut members: Vec<(Member, Health)> =
            self.peers.values().map(|peer| (peer.member.clone(), peer.health)).collect();
        members.push((self.me().clone(), Health::Alive));
        members.sort_by(|(one, _), (other, _)| one.name.cmp(&other.name));
        members
    }

    /// The minor version that a member speaks, where that is known.
    pub fn minor_of(&self, name: &str) -> Option<u16> {
        if name == self.me().name {
            return Some(self.config.minor);
        }
        self.peers.get(name).and_then(|peer| peer.minor)
    }

    /// Where the members are that are not known to be gone.
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

    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::has_confirmed_leadership)
    }

    // ---- What comes in.

    /// How this call agent is.
    pub fn set_status(&mut self, status: Status) {
        self.own = status;
    }

    /// Time has passed. Comes at least every [`TICK`], and ahead of messages where the process may have
    /// slept.
    pub fn detect_stall(&mut self, now: Millis) {
        if let Some(stalled_for) = self.swim.detect_stall(now) {
            // What was asked before may have been answered long ago.
            self.leave_request = None;
            self.streams.stall_detected(now);
            self.leader_seen_at += stalled_for;
            for peer in self.peers.values_mut() {
                peer.since += stalled_for;
            }
            self.log(format!("fleet: slept for {stalled_for} ms, others are doubted later"));
        }
    }

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

    /// A frame of another member. `false`: the link is to be closed, a refusal is among the effects.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) -> bool {
        self.detect_stall(now);
        let Envelope { cluster, from, group_id, payload, minor } = envelope;
        let (to, me) = (from.address, self.me().clone());
        let refuse = |node: &mut Node, why: String| {
            node.log_rejection(now, format!("fleet: {} at {to} is refused: {why}", from.name));
            node.send(to, Payload::Rejected(why));
            false
        };
        if let Payload::Rejected(why) = payload {
            self.log_rejection(now, format!("fleet: {} at {to} refuses us: {why}", from.name));
            return false;
        }
        if cluster != self.config.cluster {
            return refuse(self, format!("this is cluster {}, not {cluster}", self.config.cluster));
        }
        if from.name == me.name {
            return refuse(self, format!("the name {} is taken", me.name));
        }
        let required_minor = self.persistent.cluster_state.required_minor;
        if minor < required_minor {
            return refuse(
                self,
                format!(
                    "version {MAJOR}.{minor} is spoken there, and the log holds {MAJOR}.{required_minor}"
                ),
            );
        }
        if let Some(peer) = self.peers.get_mut(&from.name).filter(|peer| peer.member.boot == from.boot) {
            peer.minor = Some(minor);
        }
        let of_council = matches!(
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
        if !self.adopt_group(now, &from, group_id) && of_council {
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
                // Of a disk that is ours no more, and of a start before this one, nothing counts.
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

    /// Staff, by way of this member, want something. [`Effect::Told`] comes once, in a bounded time.
    pub fn submit(&mut self, now: Millis, request: LeaderRequest) -> CommandId {
        self.count += 1;
        let id = CommandId { origin: self.me().boot, count: self.count };
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            let response = LeaderResponse::Outcome(Err(Rejection::LimitReached("commands under way".into())));
            self.effects.push(Effect::Response { id, response });
            return id;
        }
        self.pending_requests.insert(id, PendingRequest { request, since: now, sent: None });
        self.retry_requests(now);
        id
    }

    /// Ends in order: others hear of it, and the lead is given away.
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

    /// Staff found a new council, since the majority of the old one is lost for good. What it had agreed and
    /// this member has not heard of is lost; should the old one live after all, there are two.
    ///
    /// # Errors
    /// There is a leader, or there never was a council.
    pub fn refound(&mut self, now: Millis) -> Result<(), Rejection> {
        if !self.persistent.group_id.is_some() {
            return Err(Rejection::NotAllowed("no council was ever known here".into()));
        }
        if self.leader_name().is_some() && now < self.leader_seen_at + LEADER_TIMEOUT {
            return Err(Rejection::NotAllowed("the council has a leader, and is not lost".into()));
        }
        let number = self.persistent.group_id.number + 1;
        self.persistent.cluster_state.last_approval += REFOUND_APPROVAL_GAP;
        self.persistent.cluster_state.version += 1;
        self.create_group(now, number);
        self.log(format!("fleet: council {number} is founded by hand"));
        Ok(())
    }

    // ---- What goes out.

    /// Has the page kept where anything differs that a start would miss. The place in the log alone does not
    /// count, nor does fleet time: a voter's log has them, and the others are response.
    fn persist(&mut self) {
        let (page, persisted) = (&self.persistent, &self.last_persisted);
        let same = (page.node, page.incarnation, page.group_id, page.away_approval)
            == (persisted.node, persisted.incarnation, persisted.group_id, persisted.away_approval)
            && page.cluster_state.version == persisted.cluster_state.version
            && page.seen_disks == persisted.seen_disks
            && page.incarnations == persisted.incarnations;
        if !same {
            self.last_persisted = self.persistent.clone();
            self.effects.push(Effect::Persist(Box::new(self.persistent.clone())));
        }
    }

    fn send(&mut self, to: SocketAddr, payload: Payload) {
        self.effects.push(Effect::Send { to, payload });
    }

    /// Whoever is refused greets again every second.
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
