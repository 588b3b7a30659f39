//! Ownership of replication streams: leases of their primaries, and failover of lost primaries.
//!
//! A primary sends nothing based on its calls beyond its lease, which runs from the time of the *request*
//! for it. The leader renews a lease only while the log assigns all streams of the primary to it, and lets
//! no other member take over before the last lease has expired that this or any earlier leader may have
//! renewed. All times are of monotonic clocks that drift apart by at most [`CLOCK_DRIFT_PERCENT`].

use super::*;

/// Interval of lease renewals, and the duration of a lease from the time of the request.
const LEASE_RENEWAL_INTERVAL: Millis = 250;
pub const LEASE: Millis = 1_500;
/// Time within which a deposed leader notices its loss: the engine checks every second whether a majority
/// responded since the last check, and a stall too short to be detected adds to that.
const STALE_LEADER_BOUND: Millis = 2_500;
/// Maximum drift between clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: Millis = 5;
/// No failover of a primary that was renewed within this time, nor by a leader that has led for less.
pub const FAILOVER_GRACE: Millis = (LEASE + STALE_LEADER_BOUND) * (100 + CLOCK_DRIFT_PERCENT) / 100;
/// How long a member's report of its replicas counts.
const REPLICA_REPORT_VALIDITY: Millis = 4 * LEASE_RENEWAL_INTERVAL;

/// This member's streams and replicas, if it takes part in replication.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    reported: Option<(Vec<StreamEpoch>, Vec<HeldReplica>)>,
    lease: Option<Millis>,
    last_request: Option<Millis>,
    /// When the last stall was detected: for [`STALE_LEADER_BOUND`] after it this member may be a deposed
    /// leader without knowing.
    last_stall: Option<Millis>,
    /// Failovers that this member proposed as the leader, by stream, with their epoch and term. While one
    /// may still be committed, the primary's lease is not renewed, even if leadership was lost in the
    /// meantime.
    pending_failovers: BTreeMap<u64, (u64, u64)>,
}

impl StreamState {
    pub(super) fn stall_detected(&mut self, now: Millis) {
        self.last_stall = Some(now);
    }
}

/// What the leader knows of the members' leases.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    /// By boot identifier: when the lease was last renewed.
    renewed: BTreeMap<u64, Millis>,
    held_replicas: BTreeMap<String, (Vec<HeldReplica>, Millis)>,
}

impl Node {
    /// Sets the streams that this member owns and the replicas it holds. Enables its part in replication.
    pub fn set_streams(&mut self, owned_streams: Vec<StreamEpoch>, held_replicas: Vec<HeldReplica>) {
        self.streams.reported = Some((owned_streams, held_replicas));
    }

    /// When the lease on the streams owned here expires; `None` before the first renewal.
    pub fn lease(&self) -> Option<Millis> {
        self.streams.lease
    }

    /// Sends a replication message to a member given by name.
    pub fn send_replication(&mut self, to: &str, bytes: Vec<u8>) {
        if let Some(to) = self.peers.get(to).map(|peer| peer.member.address) {
            self.send(to, Payload::Replication(bytes));
        }
    }

    /// The other members that are alive, and whether each of them serves.
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

    /// Reports that everything taken over from a stream by this epoch has been delivered.
    pub fn close_stream(&mut self, now: Millis, stream: u64, epoch: u64) {
        self.submit(now, LeaderRequest::Execute(Command::CloseStream { stream, epoch }));
    }

    /// Whether this member is certain to be the leader, as far as elapsed time tells.
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

    /// Handles a member's request to renew its lease.
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
        let owns = |owned: &StreamEpoch| match cluster_state.stream_owners.get(&owned.stream) {
            Some(owner) => (owner.boot, owner.epoch) == (from.boot, owned.epoch),
            None => owned.epoch == 0 && !cluster_state.closed_streams.contains(&owned.stream),
        };
        let owns_all = owned_streams.iter().all(owns);
        self.prune_pending_failovers();
        let Some(lead) = &mut self.leader_state else { return };
        lead.leases.held_replicas.insert(from.name.clone(), (held_replicas, now));
        let fails_over = |owned: &StreamEpoch| self.streams.pending_failovers.contains_key(&owned.stream);
        if !owns_all || owned_streams.iter().any(fails_over) {
            // The sender learns of the failover from the agreed state.
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
        // Only a voter can be the leader; a message of a member that has been removed from the group is
        // void.
        if self.persistent.cluster_state.voters.contains_key(&from.node)
            && self.streams.last_request.is_some_and(|at| requested_at <= at)
        {
            self.streams.lease = self.streams.lease.max(Some(requested_at + LEASE));
        }
    }

    /// Drops failovers that are committed, and those of earlier terms: a leader with confirmed leadership
    /// has applied whatever became of them.
    fn prune_pending_failovers(&mut self) {
        let term = self.consensus.as_ref().map_or(0, Consensus::term);
        let cluster_state = &self.persistent.cluster_state;
        self.streams.pending_failovers.retain(|stream, (epoch, proposed_in)| {
            *proposed_in == term && cluster_state.epoch(*stream).is_some_and(|now| now < *epoch)
        });
    }

    /// Assigns the streams of lost primaries to successors.
    pub(super) fn fail_over_streams(&mut self, now: Millis) {
        self.prune_pending_failovers();
        let Some(lead) = &mut self.leader_state else { return };
        let cluster_state = &self.persistent.cluster_state;
        lead.leases.held_replicas.retain(|_, (_, at)| now < *at + REPLICA_REPORT_VALIDITY);
        lead.leases.renewed.retain(|_, at| now < *at + FAILOVER_GRACE);
        if now < lead.leading_since + FAILOVER_GRACE || lead.leases.held_replicas.is_empty() {
            return;
        }
        // For each stream: its primary according to the log, or else according to the replicas.
        let mut owners: BTreeMap<u64, (String, u64, u64)> = BTreeMap::new();
        for (held_replicas, _) in lead.leases.held_replicas.values() {
            for held in held_replicas {
                let stream = held.stream_epoch.stream;
                let Some(epoch) = cluster_state.epoch(stream) else { continue };
                let primary = match cluster_state.stream_owners.get(&stream) {
                    Some(owner) => (owner.name.clone(), epoch, owner.boot),
                    None => (held.primary.clone(), 0, held.primary_boot),
                };
                owners.insert(stream, primary);
            }
        }
        for (stream, owner) in &cluster_state.stream_owners {
            let primary = (owner.name.clone(), owner.epoch, owner.boot);
            owners.insert(*stream, primary);
        }
        let mut commands = Vec::new();
        for (stream, (primary, epoch, boot)) in owners {
            if self.streams.pending_failovers.contains_key(&stream) {
                continue;
            }
            let same = |known: u64| known == boot;
            let (me, peer) = (self.swim.me(), self.peers.get(&primary));
            let is_running = match peer {
                Some(peer) => {
                    matches!(peer.health, Health::Alive | Health::Suspect) && same(peer.member.boot)
                }
                None => me.name == primary && same(me.boot),
            };
            // A primary that announced its leave sends nothing more.
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
            // Prefers members that hold a replica, then serving ones, then the most complete replica.
            let serves = |name: &str| match self.peers.get(name) {
                Some(peer) => peer.status.as_ref().is_some_and(|(status, _)| status.serving),
                None => self.own_status.serving,
            };
            let candidates =
                lead.leases.held_replicas.iter().filter(|(name, _)| alive(name) && **name != primary);
            let newest = |held_replicas: &[HeldReplica]| {
                let held = held_replicas.iter().filter(|held| held.stream_epoch.stream == stream);
                held.map(|held| (held.stream_epoch.epoch, held.sequence)).max()
            };
            let next = candidates
                .filter(|(_, (held_replicas, _))| newest(held_replicas).is_some() || epoch > 0)
                .max_by_key(|(name, (held_replicas, _))| {
                    (newest(held_replicas).is_some(), serves(name), newest(held_replicas), (*name).clone())
                });
            if let Some((name, _)) = next {
                let (name, boot) = (name.clone(), boot_of(name));
                commands.push(Command::FailOver { stream, epoch: epoch + 1, name, boot });
            }
        }
        let term = self.consensus.as_ref().map_or(0, Consensus::term);
        for command in commands {
            if let Command::FailOver { stream, epoch, .. } = &command {
                self.streams.pending_failovers.insert(*stream, (*epoch, term));
            }
            self.propose_own(command);
        }
    }
}
