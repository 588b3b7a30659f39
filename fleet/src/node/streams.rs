//! Who writes which copies: leases of their writers, and the succession of those that are lost.
//!
//! A writer says nothing to anybody beyond its lease, which runs from when it *asked* for it. The leader
//! renews it only while all that the writer writes is its own by the log, and lets nobody succeed before the
//! last lease that it or any leader before it can have renewed is over. All of it by monotonic clocks that
//! run apart by [`DRIFT`] at most.

use super::*;

/// A member asks for its lease so often, and has it for so long from then on.
const RENEW: Millis = 250;
pub const LEASE: Millis = 1_500;
/// A leader that is none any more finds out within this: its engine looks every second whether a majority
/// has spoken since the last look, and a sleep that is too short to be noticed comes on top.
const OLD_LEADER: Millis = 2_500;
/// Clocks run apart by this at most, in hundredths.
pub const DRIFT: Millis = 5;
/// Nobody is succeeded who was renewed within this, nor by a leader that has led for less.
pub const GRACE: Millis = (LEASE + OLD_LEADER) * (100 + DRIFT) / 100;
/// What a member told that it holds counts for so long.
const TOLD: Millis = 4 * RENEW;

/// This member's part: what it writes and holds, where it takes part in copies at all.
#[derive(Debug, Default)]
pub(super) struct Streams {
    part: Option<(Vec<Written>, Vec<Held>)>,
    lease: Option<Millis>,
    asked: Option<Millis>,
    /// When it last woke from a sleep: until [`OLD_LEADER`] later it may be an old leader without knowing.
    woke: Option<Millis>,
    /// Streams whose succession this member put into the log as the leader of a term, with their epochs:
    /// while it may still be agreed their writers are not renewed, also where the lead was given up
    /// meanwhile.
    under_way: BTreeMap<u64, (u64, u64)>,
}

impl Streams {
    pub(super) fn woke(&mut self, now: Millis) {
        self.woke = Some(now);
    }
}

/// What the leader knows of others' leases.
#[derive(Debug, Default)]
pub(super) struct Leases {
    /// By the start of the program: when it was last renewed.
    renewed: BTreeMap<u64, Millis>,
    holds: BTreeMap<String, (Vec<Held>, Millis)>,
}

impl Node {
    /// Takes part in copies: what is written and held here now.
    pub fn copies(&mut self, writes: Vec<Written>, holds: Vec<Held>) {
        self.streams.part = Some((writes, holds));
    }

    /// Until when what is written here may be acted on; `None` before anything was heard.
    pub fn lease(&self) -> Option<Millis> {
        self.streams.lease
    }

    /// Says something about copies to a member, by its name.
    pub fn say_copies(&mut self, to: &str, bytes: Vec<u8>) {
        if let Some(to) = self.peers.get(to).map(|peer| peer.member.address) {
            self.send(to, Payload::Copies(bytes));
        }
    }

    /// Members that are alive, with their starts, zones, and whether they serve.
    pub fn places(&self) -> impl Iterator<Item = (&Member, bool)> {
        let alive = self.peers.values().filter(|peer| peer.health == Health::Alive);
        alive.map(|peer| {
            let out = self.page.agreed.item(&peer.member.name).is_some_and(|item| item.state.counts_as_out());
            (&peer.member, !out && peer.status.as_ref().is_none_or(|(status, _)| status.serving))
        })
    }

    /// All that this successor took over by an epoch has been kept.
    pub fn settle(&mut self, now: Millis, stream: u64, epoch: u64) {
        self.ask(now, Ask::Do(Command::Settle { stream, epoch }));
    }

    /// Whether this member surely leads, as far as time tells.
    fn may_renew(&self, now: Millis) -> bool {
        self.leads() && self.streams.woke.is_none_or(|woke| now >= woke + OLD_LEADER)
    }

    pub(super) fn renew_lease(&mut self, now: Millis) {
        let Some((writes, holds)) = self.streams.part.clone() else { return };
        if self.streams.asked.is_some_and(|asked| now < asked + RENEW) {
            return;
        }
        self.streams.asked = Some(now);
        if self.leads() {
            let me = self.me().clone();
            return self.renew(now, &me, now, &writes, holds);
        }
        let leader = self.leader_name().and_then(|name| self.peers.get(&name));
        if let Some(to) = leader.map(|peer| peer.member.address) {
            self.send(to, Payload::Renew { asked: now, writes, holds });
        }
    }

    /// A member wants its lease renewed.
    pub(super) fn renew(
        &mut self,
        now: Millis,
        from: &Member,
        asked: Millis,
        writes: &[Written],
        holds: Vec<Held>,
    ) {
        if !self.may_renew(now) {
            return;
        }
        let agreed = &self.page.agreed;
        let own = |written: &Written| match agreed.streams.get(&written.stream) {
            Some(by) => (by.boot, by.epoch) == (from.boot, written.epoch),
            None => written.epoch == 0 && !agreed.settled.contains(&written.stream),
        };
        let all_own = writes.iter().all(own);
        self.settle_under_way();
        let Some(lead) = &mut self.lead else { return };
        lead.leases.holds.insert(from.name.clone(), (holds, now));
        let moves = |written: &Written| self.streams.under_way.contains_key(&written.stream);
        if !all_own || writes.iter().any(moves) {
            // It hears of its succession by what is agreed.
            let (index, leader) = (self.page.index, self.leader_name());
            let agreed = Some(self.agreed_bytes());
            return self.send(from.address, Payload::State { index, leader, agreed });
        }
        lead.leases.renewed.insert(from.boot, now);
        if from.boot == self.me().boot {
            self.streams.lease = Some(asked + LEASE);
        } else {
            self.send(from.address, Payload::Renewed { boot: from.boot, asked });
        }
    }

    pub(super) fn renewed(&mut self, from: &Member, boot: u64, asked: Millis) {
        if boot != self.me().boot {
            return;
        }
        // Only a voter can lead; whoever was put out of the council since says nothing more.
        if self.page.agreed.voters.contains_key(&from.node)
            && self.streams.asked.is_some_and(|at| asked <= at)
        {
            self.streams.lease = self.streams.lease.max(Some(asked + LEASE));
        }
    }

    /// Forgets successions that are agreed, and those of terms before: a leader that leads for sure has
    /// applied whatever came of them.
    fn settle_under_way(&mut self) {
        let term = self.council.as_ref().map_or(0, Council::term);
        let agreed = &self.page.agreed;
        self.streams.under_way.retain(|stream, (epoch, of)| {
            *of == term && agreed.epoch(*stream).is_some_and(|now| now < *epoch)
        });
    }

    /// Has the streams of writers that are lost written on by others.
    pub(super) fn keep_streams(&mut self, now: Millis) {
        self.settle_under_way();
        let Some(lead) = &mut self.lead else { return };
        let agreed = &self.page.agreed;
        lead.leases.holds.retain(|_, (_, at)| now < *at + TOLD);
        lead.leases.renewed.retain(|_, at| now < *at + GRACE);
        if now < lead.since + GRACE || lead.leases.holds.is_empty() {
            return;
        }
        // Of each stream: who writes it by the log, and who holds the most of it.
        let mut found: BTreeMap<u64, (String, u64, u64)> = BTreeMap::new();
        for (holds, _) in lead.leases.holds.values() {
            for held in holds {
                let stream = held.written.stream;
                let Some(epoch) = agreed.epoch(stream) else { continue };
                let writer = match agreed.streams.get(&stream) {
                    Some(by) => (by.name.clone(), epoch, by.boot),
                    None => (held.writer.clone(), 0, held.boot),
                };
                found.insert(stream, writer);
            }
        }
        for (stream, authority) in &agreed.streams {
            let writer = (authority.name.clone(), authority.epoch, authority.boot);
            found.insert(*stream, writer);
        }
        let mut orders = Vec::new();
        for (stream, (writer, epoch, boot)) in found {
            if self.streams.under_way.contains_key(&stream) {
                continue;
            }
            let same = |known: u64| known == boot;
            let (me, peer) = (self.swim.me(), self.peers.get(&writer));
            let there = match peer {
                Some(peer) => {
                    matches!(peer.health, Health::Alive | Health::Suspect) && same(peer.member.boot)
                }
                None => me.name == writer && same(me.boot),
            };
            // One that said in order that it goes has said its last word.
            let went = peer.is_some_and(|peer| same(peer.member.boot) && peer.left == Some(peer.member.life));
            if there || !went && lead.leases.renewed.contains_key(&boot) {
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
            let candidates = lead.leases.holds.iter().filter(|(name, _)| alive(name) && **name != writer);
            let most = |holds: &[Held]| {
                let held = holds.iter().filter(|held| held.written.stream == stream);
                held.map(|held| (held.written.epoch, held.number)).max()
            };
            let next = candidates.filter(|(_, (holds, _))| most(holds).is_some() || epoch > 0).max_by_key(
                |(name, (holds, _))| (most(holds).is_some(), serves(name), most(holds), (*name).clone()),
            );
            if let Some((name, _)) = next {
                let (name, boot) = (name.clone(), boot_of(name));
                orders.push(Command::Succeed { stream, epoch: epoch + 1, name, boot });
            }
        }
        let term = self.council.as_ref().map_or(0, Council::term);
        for command in orders {
            if let Command::Succeed { stream, epoch, .. } = &command {
                self.streams.under_way.insert(*stream, (*epoch, term));
            }
            self.order(command);
        }
    }
}
