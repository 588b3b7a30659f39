//! Who is there: what the membership engine says, the words of those who dial, and this member's own lives.

use super::*;

/// A member that is taken for dead is called so often: after a long cut both sides have forgotten each other.
const CALL_BACK: Millis = 1_000;
/// Dead members are shown for so long once they are out of the roster.
const SHOWN: Millis = 600_000;
/// Members are looked through this seldom for each of them: in a fleet of hundreds that is most of the work.
const LOOK_MEMBER: Millis = 1;
/// Members and their disks that are remembered, at most.
const MOST_KNOWN: usize = 4_096;

impl Node {
    pub(super) fn found(&mut self, now: Millis, found: Found) {
        for (to, bytes) in found.send {
            self.send(to.address, Payload::Gossip(bytes));
        }
        if found.renewed {
            self.lived_on(now);
        }
    }

    /// Our life is another one; the disk is told before anybody else is.
    pub(super) fn lived_on(&mut self, _now: Millis) {
        self.page.life = self.page.life.max(self.me().life);
        let name = self.me().name.clone();
        self.page.lives.insert(name, self.page.life);
        // Effects that speak of it come after this one: what was sent so far is moved behind.
        let sent = std::mem::take(&mut self.effects);
        self.keep();
        self.effects.extend(sent);
    }

    pub(super) fn look_at_members(&mut self, now: Millis) {
        if now < self.looked + LOOK_MEMBER * self.peers.len() as Millis {
            return;
        }
        self.looked = now;
        let Node { swim, peers, effects, page, .. } = self;
        let mut seen: BTreeMap<&str, (&Member, Health)> = BTreeMap::new();
        let me = &swim.me().name;
        for (member, health) in swim.members().filter(|(member, _)| member.name != *me) {
            // Of two lives of one name the later one counts.
            let later = |known: &(&Member, Health)| (known.0.life, known.0.boot) < (member.life, member.boot);
            if seen.get(member.name.as_str()).is_none_or(later) {
                seen.insert(&member.name, (member, health));
            }
        }
        for (name, (member, health)) in &seen {
            let room = peers.len() < MOST_KNOWN;
            let told = |health: Health| Effect::Log(format!("fleet: {name} is {}", health.word()));
            let Some(peer) = peers.get_mut(*name) else {
                if room {
                    effects.push(told(*health));
                    let (member, health) = (Member::clone(member), *health);
                    let peer = Peer { member, health, since: now, left: None, status: None, minor: None };
                    peers.insert(name.to_string(), peer);
                }
                continue;
            };
            let health = match peer.left {
                Some(life) if life >= member.life => Health::Left,
                _ => *health,
            };
            if peer.member != **member {
                if peer.member.boot != member.boot {
                    (peer.status, peer.minor) = (None, None);
                }
                peer.member = Member::clone(member);
            }
            if peer.health != health {
                (peer.health, peer.since) = (health, now);
                effects.push(told(health));
            }
        }
        let roster = &page.agreed.roster;
        peers.retain(|name, peer| {
            seen.contains_key(name.as_str()) || roster.contains_key(name) || now < peer.since + SHOWN
        });
        // The engine forgets its dead after a while; here they stay dead.
        for (name, peer) in peers {
            if !seen.contains_key(name.as_str()) && matches!(peer.health, Health::Alive | Health::Suspect) {
                (peer.health, peer.since) = (Health::Dead, now);
            }
        }
    }

    /// Calls members that are taken for dead, one after the other: they may take us for dead too.
    pub(super) fn call_back(&mut self, now: Millis) {
        if now < self.called + CALL_BACK {
            return;
        }
        self.called = now;
        let dead: Vec<&Peer> = self.peers.values().filter(|peer| peer.health == Health::Dead).collect();
        let next = (now / CALL_BACK) as usize % dead.len().max(1);
        if let Some(member) = dead.get(next).map(|peer| peer.member.clone()) {
            let found = self.swim.met(now, &member);
            self.found(now, found);
        }
    }

    /// What we know of another's disk and name; and that we know it from now on.
    pub(super) fn welcome(&mut self, from: &Member, back: bool) -> Payload {
        let seen = self.page.disks.get(&from.node).copied();
        // Words of one start may overtake each other.
        let fresh = seen.is_none_or(|(life, boot)| from.life > life || from.boot == boot);
        let life = self.page.lives.get(&from.name).copied().unwrap_or(0);
        if fresh && (self.page.disks.len() < MOST_KNOWN || seen.is_some()) {
            let life = seen.map_or(from.life, |(life, _)| life.max(from.life));
            self.page.disks.insert(from.node, (life, from.boot));
        }
        if self.page.lives.len() < MOST_KNOWN || life > 0 {
            self.page.lives.insert(from.name.clone(), life.max(from.life));
        }
        Payload::Welcome { about: (from.node, from.boot), life, fresh, back }
    }

    pub(super) fn welcomed(&mut self, now: Millis, from: &Member, life: u64, fresh: bool) {
        if !fresh {
            return self.reborn(now, life, "the directory is an older copy");
        }
        self.vouched.insert(from.node);
        if life > self.me().life {
            // Our name has lived on longer elsewhere: the machine came back without its disk.
            let me = Member { life: life + 1, ..self.me().clone() };
            let found = self.swim.live_on(now, me);
            self.lived_on(now);
            self.found(now, found);
        }
        if self.setup.founders.contains(&from.name) && !self.page.foundation.is_some() {
            self.none_known.insert(from.name.clone());
        }
    }

    /// Our log is no use any more: the disk is an older copy of one that was seen since, and what it holds of
    /// votes and entries may have been said otherwise; or the council has gone on without us. It is another
    /// disk from now on, and never votes as the old one. What was agreed last is kept until a newer state
    /// comes: staff and the check servers under work are not to take it for nothing.
    pub(super) fn reborn(&mut self, now: Millis, life: u64, why: &str) {
        let me = self.me().clone();
        let node = me.node.rotate_left(17) ^ me.boot;
        let life = life.max(me.life) + 1;
        self.log(format!("fleet: {why}, this machine begins anew as {node:x}"));
        let me = Member { node, life, ..me };
        let found = self.swim.live_on(now, me);
        self.page = Page {
            node,
            life,
            foundation: self.page.foundation,
            disks: std::mem::take(&mut self.page.disks),
            lives: std::mem::take(&mut self.page.lives),
            left: self.page.left,
            index: 0,
            agreed: std::mem::take(&mut self.page.agreed),
        };
        self.vouched.clear();
        let name = self.me().name.clone();
        self.page.lives.insert(name, life);
        self.begin_log(None);
        self.found(now, found);
    }

    /// Another log begins, or none is kept until one comes.
    pub(super) fn begin_log(&mut self, log: Option<Write>) {
        (self.council, self.lead, self.may_speak) = (None, None, true);
        self.saying = None;
        self.kept = self.page.clone();
        // Ahead of all that was to be sent of the one before.
        let page = Box::new(self.page.clone());
        self.effects.retain(|effect| !matches!(effect, Effect::Write(_) | Effect::Keep(_)));
        self.effects.insert(0, Effect::Renew { page, log });
    }
}
