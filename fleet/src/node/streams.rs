//! Who owned_streams which copies: leases of their writers, and the succession of those that are lost.
//!
//! A writer says nothing to anybody beyond its lease, which runs from when it *asked* for it. The leader
//! renews it only while all that the writer owned_streams is its own by the log, and lets nobody succeed before the
//! last lease that it or any leader before it can have renewed is over. All of it by monotonic clocks that
//! run apart by [`DRIFT`] at most.

use super::*;

/// A member asks for its lease so often, and has it for so long from then on.
const LEASE_RENEWAL_INTERVAL: Millis = 250;
pub const LEASE: Millis = 1_500;
/// A leader that is none any more finds out within this: its engine looks every second whether a majority
/// has spoken since the last look, and a sleep that is too short to be noticed comes on top.
const STALE_LEADER_BOUND: Millis = 2_500;
/// Clocks run apart by this at most, in hundredths.
pub const CLOCK_DRIFT_PERCENT: Millis = 5;
/// Nobody is succeeded who was renewed within this, nor by a leader that has led for less.
pub const FAILOVER_GRACE: Millis = (LEASE + STALE_LEADER_BOUND) * (100 + CLOCK_DRIFT_PERCENT) / 100;
/// What a member told that it held_replicas counts for so long.
const REPLICA_REPORT_VALIDITY: Millis = 4 * LEASE_RENEWAL_INTERVAL;

/// This member's part: what it owned_streams and held_replicas, where it takes part in copies at all.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    reported: Option<(Vec<StreamEpoch>, Vec<HeldReplica>)>,
    lease: Option<Millis>,
    last_request: Option<Millis>,
    /// When it last woke from a sleep: until [`OLD_LEADER`] later it may be an old leader without knowing.
    last_stall: Option<Millis>,
    /// Streams whose succession this member put into the log as the leader of a term, with their epochs:
    /// while it may still be agreed their writers are not renewed, also where the lead was given up
    /// meanwhile.
    pending_failovers: BTreeMap<u64, (u64, u64)>,
}

impl StreamState {
    pub(super) fn stall_detected(&mut self, now: Millis) {
        self.last_stall = Some(now);
    }
}

/// What the leader knows of others' leases.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    /// By the start of the program: when it was last renewed.
    renewed: BTreeMap<u64, Millis>,
    held_replicas: BTreeMap<String, (Vec<HeldReplica>, Millis)>,
}

impl Node {
    /// Takes part in copies: what is written and held here now.
    pub fn set_streams(&mut self, owned_streams: Vec<StreamEpoch>, held_replicas: Vec<HeldReplica>) {
        self.streams.reported = Some((owned_streams, held_replicas));
    }

    /// Until when what is written here may be acted on; `None` before anything was heard.
    pub fn lease(&self) -> Option<Millis> {
        self.streams.lease
    }

    /// Says something about copies to a member, by its name.
    pub fn send_replication(&mut self, to: &str, bytes: Vec<u8>) {
        if let Some(to) = self.peers.get(to).map(|peer| peer.member.address) {
            self.send(to, Payload::Replication(bytes));
        }
    }

    /// Members that are alive, with their starts, zones, and whether they serve.
    pub fn replica_candidates(&self) -> impl Iterator<Item = (&Member, bool)> {
        let alive = self.peers.values().filter(|peer| peer.health == Health::Alive);
        alive.map(|peer| {
            let out = self
                .persistent
                .cluster_state
                .open_request(&peer.member.name)
                .is_some_and(|item| item.state.counts_as_out());
            (&peer.member, !out && peer.status.as_ref().is_none_or(|(status, _)| status.serving))
        })
    }

    /// All that this successor took over by an epoch has been kept.
    pub fn close_stream(&mut self, now: Millis, stream: u64, epoch: u64) {
        self.submit(now, LeaderRequest::Execute(Command::CloseStream { stream, epoch }));
    }

    /// Whether this member surely leads, as far as time tells.
    fn may_renew_leases(&self, now: Millis) -> bool {
        self.is_leader() && self.streams.last_stall.is_none_or(|at| now >= at + STALE_LEADER_BOUND)
    }

    pub(super) fn renew_lease(&mut self, now: Millis) {
        let Some((owned_streams, held_replicas)) = self.streams.reported.clone() else { return };
        if self.streams.last_request.is_some_and(|requested_at| now < requested_at + LEASE_RENEWAL_INTERVAL) {
            return;
        }
        self.streams.last_request = Some(now);
        if self.is_leader() {
            let me = self.me().clone();
            return self.handle_lease_renewal(now, &me, now, &owned_streams, held_replicas);
        }
        let leader = self.leader_name().and_then(|name| self.peers.get(&name));
        if let Some(to) = leader.map(|peer| peer.member.address) {
            self.send(to, Payload::RenewLease { requested_at: now, owned_streams, held_replicas });
        }
    }

    /// A member wants its lease renewed.
    pub(super) fn handle_lease_renewal(
        &mut self,
        now: Millis,
        from: &Member,
        requested_at: Millis,
        owned_streams: &[StreamEpoch],
        held_replicas: Vec<HeldReplica>,
    ) {
        if !self.may_renew_leases(now) {
            return;
        }
        let cluster_state = &self.persistent.cluster_state;
        let own = |written: &StreamEpoch| match cluster_state.stream_owners.get(&written.stream) {
            Some(by) => (by.boot, by.epoch) == (from.boot, written.epoch),
            None => written.epoch == 0 && !cluster_state.closed_streams.contains(&written.stream),
        };
        let owns_all = owned_streams.iter().all(own);
        self.prune_pending_failovers();
        let Some(lead) = &mut self.lead else { return };
        lead.leases.held_replicas.insert(from.name.clone(), (held_replicas, now));
        let fails_over = |written: &StreamEpoch| self.streams.pending_failovers.contains_key(&written.stream);
        if !owns_all || owned_streams.iter().any(fails_over) {
            // It hears of its succession by what is agreed.
            let (index, leader) = (self.persistent.index, self.leader_name());
            let cluster_state = Some(self.encoded_state());
            return self.send(from.address, Payload::StateUpdate { index, leader, cluster_state });
        }
        lead.leases.renewed.insert(from.boot, now);
        if from.boot == self.me().boot {
            self.streams.lease = Some(requested_at + LEASE);
        } else {
            self.send(from.address, Payload::LeaseRenewed { boot: from.boot, requested_at });
        }
    }

    pub(super) fn lease_renewed(&mut self, from: &Member, boot: u64, requested_at: Millis) {
        if boot != self.me().boot {
            return;
        }
        // Only a voter can lead; whoever was put out of the council since says nothing more.
        if self.persistent.cluster_state.voters.contains_key(&from.node)
            && self.streams.last_request.is_some_and(|at| requested_at <= at)
        {
            self.streams.lease = self.streams.lease.max(Some(requested_at + LEASE));
        }
    }

    /// Forgets successions that are agreed, and those of terms before: a leader that leads for sure has
    /// applied whatever came of them.
    fn prune_pending_failovers(&mut self) {
        let term = self.consensus.as_ref().map_or(0, Consensus::term);
        let cluster_state = &self.persistent.cluster_state;
        self.streams.pending_failovers.retain(|stream, (epoch, of)| {
            *of == term && cluster_state.epoch(*stream).is_some_and(|now| now < *epoch)
        });
    }

    /// Has the streams of writers that are lost written on by others.
    pub(super) fn fail_over_streams(&mut self, now: Millis) {
        self.prune_pending_failovers();
        let Some(lead) = &mut self.lead else { return };
        let cluster_state = &self.persistent.cluster_state;
        lead.leases.held_replicas.retain(|_, (_, at)| now < *at + REPLICA_REPORT_VALIDITY);
        lead.leases.renewed.retain(|_, at| now < *at + FAILOVER_GRACE);
        if now < lead.since + FAILOVER_GRACE || lead.leases.held_replicas.is_empty() {
            return;
        }
        // Of each stream: who owned_streams it by the log, and who held_replicas the most of it.
        let mut owners: BTreeMap<u64, (String, u64, u64)> = BTreeMap::new();
        for (held_replicas, _) in lead.leases.held_replicas.values() {
            for held in held_replicas {
                let stream = held.stream.stream;
                let Some(epoch) = cluster_state.epoch(stream) else { continue };
                let writer = match cluster_state.stream_owners.get(&stream) {
                    Some(by) => (by.name.clone(), epoch, by.boot),
                    None => (held.primary.clone(), 0, held.primary_boot),
                };
                owners.insert(stream, writer);
            }
        }
        for (stream, authority) in &cluster_state.stream_owners {
            let writer = (authority.name.clone(), authority.epoch, authority.boot);
            owners.insert(*stream, writer);
        }
        let mut orders = Vec::new();
        for (stream, (writer, epoch, boot)) in owners {
            if self.streams.pending_failovers.contains_key(&stream) {
                continue;
            }
            let same = |known: u64| known == boot;
            let (me, peer) = (self.swim.me(), self.peers.get(&writer));
            let is_running = match peer {
                Some(peer) => {
                    matches!(peer.health, Health::Alive | Health::Suspect) && same(peer.member.boot)
                }
                None => me.name == writer && same(me.boot),
            };
            // One that said in order that it goes has said its last word.
            let has_left = peer.is_some_and(|peer| {
                same(peer.member.boot) && peer.left_incarnation == Some(peer.member.incarnation)
            });
            if is_running || !has_left && lead.leases.renewed.contains_key(&boot) {
                continue;
            }
            let alive = |name: &str| {
                name == me.name || self.peers.get(name).is_some_and(|peer| peer.health == Health::Alive)
            };
            let boot_of = |name: &str| match self.peers.get(name) {
                Some(peer) => peer.member.boot,
                None => me.boot,
            };
            // Whoever has the most; one that serves before one that does not.
            let serves = |name: &str| match self.peers.get(name) {
                Some(peer) => peer.status.as_ref().is_some_and(|(status, _)| status.serving),
                None => self.own.serving,
            };
            let candidates =
                lead.leases.held_replicas.iter().filter(|(name, _)| alive(name) && **name != writer);
            let most = |held_replicas: &[HeldReplica]| {
                let held = held_replicas.iter().filter(|held| held.stream.stream == stream);
                held.map(|held| (held.stream.epoch, held.sequence)).max()
            };
            let next = candidates
                .filter(|(_, (held_replicas, _))| most(held_replicas).is_some() || epoch > 0)
                .max_by_key(|(name, (held_replicas, _))| {
                    (most(held_replicas).is_some(), serves(name), most(held_replicas), (*name).clone())
                });
            if let Some((name, _)) = next {
                let (name, boot) = (name.clone(), boot_of(name));
                orders.push(Command::FailOver { stream, epoch: epoch + 1, name, boot });
            }
        }
        let term = self.consensus.as_ref().map_or(0, Consensus::term);
        for command in orders {
            if let Command::FailOver { stream, epoch, .. } = &command {
                self.streams.pending_failovers.insert(*stream, (*epoch, term));
            }
            self.propose_own(command);
        }
    }
}
