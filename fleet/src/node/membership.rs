//! Membership: the output of the SWIM engine, the greetings of connecting members, and this member's
//! incarnations.

use super::*;

/// Interval at which a dead member is contacted: after a long partition both sides have forgotten each
/// other.
const DEAD_MEMBER_PROBE_INTERVAL: Millis = 1_000;
/// How long dead members stay listed once they are out of the roster.
const DEAD_MEMBER_RETENTION: Millis = 600_000;
/// The interval of scans of all members grows by this much per member: in a cluster of hundreds the scan is
/// most of the work.
const SCAN_INTERVAL_PER_MEMBER: Millis = 1;
/// Bound on the members and disks that are remembered.
const MAX_KNOWN_MEMBERS: usize = 4_096;

impl Node {
    pub(super) fn apply_swim_output(&mut self, now: Millis, output: SwimOutput) {
        for (to, bytes) in output.send {
            self.send(to.address, Payload::Gossip(bytes));
        }
        if output.identity_renewed {
            self.persist_incarnation(now);
        }
    }

    /// Records a new incarnation of this member, on disk before any message announces it.
    pub(super) fn persist_incarnation(&mut self, _now: Millis) {
        self.persistent.incarnation = self.persistent.incarnation.max(self.me().incarnation);
        let name = self.me().name.clone();
        self.persistent.incarnations.insert(name, self.persistent.incarnation);
        // Messages that carry the new incarnation must follow the write: effects queued so far are moved
        // behind it.
        let sent = std::mem::take(&mut self.effects);
        self.persist();
        self.effects.extend(sent);
    }

    pub(super) fn refresh_peers(&mut self, now: Millis) {
        if now < self.last_peer_scan + SCAN_INTERVAL_PER_MEMBER * self.peers.len() as Millis {
            return;
        }
        self.last_peer_scan = now;
        let Node { swim, peers, effects, persistent, .. } = self;
        let mut seen: BTreeMap<&str, (&Member, Health)> = BTreeMap::new();
        let me = &swim.me().name;
        for (member, health) in swim.members().filter(|(member, _)| member.name != *me) {
            // Of two incarnations of one name the later one counts.
            let later = |known: &(&Member, Health)| {
                (known.0.incarnation, known.0.boot) < (member.incarnation, member.boot)
            };
            if seen.get(member.name.as_str()).is_none_or(later) {
                seen.insert(&member.name, (member, health));
            }
        }
        for (name, (member, health)) in &seen {
            let has_capacity = peers.len() < MAX_KNOWN_MEMBERS;
            let log_health = |health: Health| Effect::Log(format!("fleet: {name} is {}", health.as_str()));
            let Some(peer) = peers.get_mut(*name) else {
                if has_capacity {
                    effects.push(log_health(*health));
                    let (member, health) = (Member::clone(member), *health);
                    let peer = Peer {
                        member,
                        health,
                        health_since: now,
                        left_incarnation: None,
                        status: None,
                        minor: None,
                    };
                    peers.insert(name.to_string(), peer);
                }
                continue;
            };
            let health = match peer.left_incarnation {
                Some(incarnation) if incarnation >= member.incarnation => Health::Left,
                _ => *health,
            };
            if peer.member != **member {
                if peer.member.boot != member.boot {
                    (peer.status, peer.minor) = (None, None);
                }
                peer.member = Member::clone(member);
            }
            if peer.health != health {
                (peer.health, peer.health_since) = (health, now);
                effects.push(log_health(health));
            }
        }
        let roster = &persistent.cluster_state.roster;
        peers.retain(|name, peer| {
            seen.contains_key(name.as_str())
                || roster.contains_key(name)
                || now < peer.health_since + DEAD_MEMBER_RETENTION
        });
        // The engine forgets dead members after a while; here they remain dead.
        for (name, peer) in peers {
            if !seen.contains_key(name.as_str()) && matches!(peer.health, Health::Alive | Health::Suspect) {
                (peer.health, peer.health_since) = (Health::Dead, now);
            }
        }
    }

    /// Contacts the dead members in turn: they may consider this one dead, too.
    pub(super) fn probe_dead_member(&mut self, now: Millis) {
        if now < self.last_dead_probe + DEAD_MEMBER_PROBE_INTERVAL {
            return;
        }
        self.last_dead_probe = now;
        let dead: Vec<&Peer> = self.peers.values().filter(|peer| peer.health == Health::Dead).collect();
        let next = (now / DEAD_MEMBER_PROBE_INTERVAL) as usize % dead.len().max(1);
        if let Some(member) = dead.get(next).map(|peer| peer.member.clone()) {
            let output = self.swim.announce(now, &member);
            self.apply_swim_output(now, output);
        }
    }

    /// Returns what is known of the sender's disk and name, and records both.
    pub(super) fn build_welcome(&mut self, from: &Member, is_reply: bool) -> Payload {
        let seen = self.persistent.seen_disks.get(&from.node).copied();
        // Messages of one process start may be reordered.
        let disk_is_current =
            seen.is_none_or(|(incarnation, boot)| from.incarnation > incarnation || from.boot == boot);
        let incarnation = self.persistent.incarnations.get(&from.name).copied().unwrap_or(0);
        if disk_is_current && (self.persistent.seen_disks.len() < MAX_KNOWN_MEMBERS || seen.is_some()) {
            let incarnation =
                seen.map_or(from.incarnation, |(incarnation, _)| incarnation.max(from.incarnation));
            self.persistent.seen_disks.insert(from.node, (incarnation, from.boot));
        }
        if self.persistent.incarnations.len() < MAX_KNOWN_MEMBERS || incarnation > 0 {
            self.persistent.incarnations.insert(from.name.clone(), incarnation.max(from.incarnation));
        }
        Payload::Welcome { recipient: (from.node, from.boot), incarnation, disk_is_current, is_reply }
    }

    pub(super) fn handle_welcome(
        &mut self,
        now: Millis,
        from: &Member,
        incarnation: u64,
        disk_is_current: bool,
    ) {
        if !disk_is_current {
            return self.reset_identity(now, incarnation, "the directory is an older copy");
        }
        self.confirming_voters.insert(from.node);
        if incarnation > self.me().incarnation {
            // A higher incarnation of this name was seen: the machine came back without its disk.
            let me = Member { incarnation: incarnation + 1, ..self.me().clone() };
            let output = self.swim.change_identity(now, me);
            self.persist_incarnation(now);
            self.apply_swim_output(now, output);
        }
        if self.config.founders.contains(&from.name) && !self.persistent.group_id.is_some() {
            self.founders_without_group.insert(from.name.clone());
        }
    }

    /// Takes a new disk identity, because the log is unusable: the disk is an older copy of one seen since,
    /// so that its votes and entries may contradict what was sent later, or the group has replaced this
    /// member. The old identity never votes again. The last agreed state is kept until a newer one arrives,
    /// so that operators and check servers under maintenance don't see it as empty.
    pub(super) fn reset_identity(&mut self, now: Millis, incarnation: u64, why: &str) {
        let me = self.me().clone();
        let node = me.node.rotate_left(17) ^ me.boot;
        let incarnation = incarnation.max(me.incarnation) + 1;
        self.log(format!("fleet: {why}, this machine takes the new disk identity {node:x}"));
        let me = Member { node, incarnation, ..me };
        let output = self.swim.change_identity(now, me);
        self.persistent = PersistentState {
            node,
            incarnation,
            group_id: self.persistent.group_id,
            seen_disks: std::mem::take(&mut self.persistent.seen_disks),
            incarnations: std::mem::take(&mut self.persistent.incarnations),
            away_approval: self.persistent.away_approval,
            index: 0,
            cluster_state: std::mem::take(&mut self.persistent.cluster_state),
        };
        self.confirming_voters.clear();
        let name = self.me().name.clone();
        self.persistent.incarnations.insert(name, incarnation);
        self.replace_log(None);
        self.apply_swim_output(now, output);
    }

    /// Replaces the Raft log, or deletes it until a new one is received.
    pub(super) fn replace_log(&mut self, log: Option<Write>) {
        (self.consensus, self.leader_state, self.may_participate) = (None, None, true);
        self.pending_report = None;
        self.last_persisted = self.persistent.clone();
        // Comes before all effects queued for the previous log.
        let state = Box::new(self.persistent.clone());
        self.effects.retain(|effect| !matches!(effect, Effect::WriteLog(_) | Effect::Persist(_)));
        self.effects.insert(0, Effect::ReplaceLog { state, log });
    }
}
