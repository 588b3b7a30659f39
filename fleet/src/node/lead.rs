//! What the leader alone does: it looks for trouble, keeps the council whole, and puts work into the log.

use super::streams::Leases;
use super::*;

/// The leader looks at the council and at work so often.
const LEAD: Millis = 200;
/// A command that was put into the log is put there again by the leader if nothing came of it for so long.
const AGAIN: Millis = 1_000;
/// A machine that was granted its work and does not begin has lost it after this.
const LAPSE: Millis = 10_000;
/// A voter that is dead for so long is replaced.
const VOTER_DEAD: Millis = 5_000;
/// Fleet time is put into the log so often while there is work.
const CLOCK: Millis = 2_000;
/// A voter's snapshot that may have been lost is sent again after this.
const SNAPSHOT_AGAIN: Millis = 2_000;
/// Load that is no jump, in thousandths a second; and the factor that is one.
const SMALL_LOAD: u64 = 20_000;
const JUMP: f64 = 1.5;

/// What the leader alone knows.
pub(super) struct Lead {
    pub(super) since: Millis,
    /// Fleet time when it began to lead.
    pub(super) time_ms: Millis,
    pub(super) looked: Millis,
    /// When something was last put into the log, and what had been applied then.
    pub(super) proposed: (Millis, u64),
    pub(super) trouble: Option<(String, Millis)>,
    pub(super) load: Option<f64>,
    pub(super) avoided: u64,
    /// Which members had been well.
    pub(super) well: BTreeSet<String>,
    /// Machines that were on their way back.
    pub(super) returning: BTreeSet<String>,
    pub(super) clock: Millis,
    pub(super) snapshots: Millis,
    pub(super) pushed: u64,
    /// Why nothing was granted, as it was last told.
    pub(super) told: String,
    pub(super) leases: Leases,
}

impl Node {
    pub(super) fn sight(&self, now: Millis) -> Sight {
        let mut seen: Vec<Seen> = self
            .peers
            .values()
            .map(|peer| Seen {
                name: peer.member.name.clone(),
                zone: peer.member.zone.clone(),
                health: peer.health,
                status: peer.status.clone().map(|(status, at)| (status, now.saturating_sub(at))),
            })
            .collect();
        seen.push(Seen {
            name: self.me().name.clone(),
            zone: self.me().zone.clone(),
            health: Health::Alive,
            status: Some((self.own.clone(), 0)),
        });
        let trouble = self.lead.as_ref().and_then(|lead| lead.trouble.clone());
        Sight {
            seen,
            fresh_ms: self.fresh(),
            trouble: trouble.map(|(what, at)| (what, now.saturating_sub(at))),
        }
    }

    pub(super) fn do_lead(&mut self, now: Millis) {
        if !self.leads() {
            self.lead = None;
            return;
        }
        let time_ms = self.page.agreed.time_ms;
        let lead = self.lead.get_or_insert_with(|| Lead {
            since: now,
            time_ms,
            looked: 0,
            proposed: (0, 0),
            trouble: Some(("a new leader came".into(), now)),
            load: None,
            avoided: u64::MAX,
            well: BTreeSet::new(),
            returning: BTreeSet::new(),
            clock: now,
            snapshots: now,
            pushed: 0,
            told: String::new(),
            leases: Leases::default(),
        });
        if lead.pushed != self.page.agreed.version {
            lead.pushed = self.page.agreed.version;
            self.push();
        }
        let Some(lead) = &mut self.lead else { return };
        if now < lead.looked + LEAD {
            return;
        }
        lead.looked = now;
        if now >= lead.snapshots + SNAPSHOT_AGAIN {
            lead.snapshots = now;
            if let Some(council) = &mut self.council {
                council.retry_snapshots();
            }
        }
        self.look_for_trouble(now);
        let Some(lead) = &mut self.lead else { return };
        // What was put into the log last is waited for: what follows from it is decided by it.
        let (at, index) = lead.proposed;
        if index == self.page.index && now < at + AGAIN {
            return;
        }
        let (before, index) = (self.count, self.page.index);
        self.keep_council(now);
        self.keep_work(now);
        self.keep_streams(now);
        if let Some(lead) = self.lead.as_mut().filter(|_| self.count > before) {
            lead.proposed = (now, index);
        }
        self.turn_council(now);
    }

    /// Gives what is agreed to all that follow.
    pub(super) fn push(&mut self) {
        let (index, leader) = (self.page.index, self.leader_name());
        let agreed = Some(self.agreed_bytes());
        for to in self.addresses() {
            self.send(to, Payload::State { index, leader: leader.clone(), agreed: agreed.clone() });
        }
    }

    pub(super) fn look_for_trouble(&mut self, now: Millis) {
        let sight = self.sight(now);
        let agreed = &self.page.agreed;
        let Some(lead) = &mut self.lead else { return };
        let mut trouble = None;
        let under_work = |name: &str| agreed.item(name).is_some_and(|item| item.state.counts_as_out());
        for seen in &sight.seen {
            let well = seen.serves(sight.fresh_ms);
            let was = if well { !lead.well.insert(seen.name.clone()) } else { lead.well.remove(&seen.name) };
            if was && !well && !under_work(&seen.name) {
                trouble = Some(format!("{} was lost", seen.name));
            }
        }
        let returning: BTreeSet<String> = agreed
            .open
            .iter()
            .filter(|item| matches!(item.state, State::Returning | State::Lost))
            .map(|item| item.machine.clone())
            .collect();
        if let Some(back) = lead.returning.difference(&returning).next() {
            trouble = Some(format!("{back} came back"));
        }
        lead.returning = returning;
        let statuses = || sight.seen.iter().filter_map(|seen| seen.status.as_ref()).map(|(status, _)| status);
        let avoided: u64 = statuses().map(|status| u64::from(status.avoided)).sum();
        let held = agreed.open.iter().any(|item| matches!(item.kind, Kind::Server(_)));
        if avoided > lead.avoided && !held {
            trouble = Some(format!("check servers are avoided at {avoided} places"));
        }
        lead.avoided = avoided;
        let load: u64 = statuses().map(|status| status.load_milli).sum();
        let mean = lead.load.unwrap_or(load as f64);
        let jumps = load > SMALL_LOAD && load as f64 > JUMP * mean;
        if jumps {
            trouble = Some(format!("load rose to {} a second", load / 1000));
        }
        // A mean of half a minute or so, in steps of a look; from a jump on it begins anew.
        let step = if jumps { 1.0 } else { LEAD as f64 / 30_000.0 };
        lead.load = Some(mean + (load as f64 - mean) * step);
        if let Some(what) = trouble {
            lead.trouble = Some((what, now));
        }
    }

    /// Adds voters up to the number of the founders, and replaces those that are lost or go out.
    pub(super) fn keep_council(&mut self, now: Millis) {
        let agreed = &self.page.agreed;
        if self.council.as_ref().is_none_or(Council::is_joint) {
            return;
        }
        let target = match self.setup.founders.len().min(5) {
            0..=2 => 1,
            3 | 4 => 3,
            _ => 5,
        };
        let fresh = self.fresh();
        let goes = |name: &str| agreed.item(name).is_some_and(|item| item.state.counts_as_out());
        let present = |id: &u64, voter: &Voter| {
            if *id == self.page.node {
                return true;
            }
            self.peers.get(&voter.name).is_some_and(|peer| {
                let dead = !matches!(peer.health, Health::Alive | Health::Suspect);
                peer.member.node == *id && !(dead && now >= peer.since + VOTER_DEAD)
            })
        };
        let zones = |left: &[&Voter], zone: &str| left.iter().filter(|voter| voter.zone == zone).count();
        let lost = agreed.voters.iter().find(|(id, voter)| !present(id, voter) || goes(&voter.name));
        // Zones are balanced where one has two more voters than another that has members to spare.
        let all: Vec<&Voter> = agreed.voters.values().collect();
        let mut spare: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Alive && !agreed.voters.contains_key(&peer.member.node))
            .filter(|peer| !goes(&peer.member.name) && !agreed.is_retired(peer.member.node))
            .filter(|peer| peer.status.as_ref().is_some_and(|(_, at)| now < at + fresh))
            // Founders first while the council grows: it is theirs by the file.
            .filter(|peer| {
                all.len() >= target
                    || self.setup.founders.contains(&peer.member.name)
                    || now > self.started + 30_000
            })
            .collect();
        let staying: Vec<&Voter> = agreed
            .voters
            .iter()
            .filter(|(id, _)| lost.is_none_or(|(gone, _)| gone != *id))
            .map(|(_, v)| v)
            .collect();
        let founder = |name: &String| !self.setup.founders.contains(name);
        spare.sort_by_key(|peer| {
            let member = &peer.member;
            (zones(&staying, &member.zone), founder(&member.name), member.name.clone())
        });
        let Some(new) = spare.first().map(|peer| peer.member.clone()) else { return };
        let crowded = || {
            let voter = agreed.voters.iter().filter(|(id, _)| **id != self.page.node);
            let most = voter.max_by_key(|(_, voter)| zones(&all, &voter.zone))?;
            (zones(&all, &most.1.zone) >= zones(&all, &new.zone) + 2).then_some(*most.0)
        };
        let (add, remove) = if all.len() < target {
            // To an odd number at once: of two voters none may be lost.
            let add = (target - all.len()).min(spare.len());
            (add - (all.len() + add + 1) % 2, None)
        } else {
            let remove = lost.map(|(id, _)| *id).or_else(crowded);
            (usize::from(remove.is_some()), remove)
        };
        if add == 0 {
            return;
        }
        let is_lead = remove == Some(self.page.node);
        let added: Vec<(u64, Voter)> = spare[..add]
            .iter()
            .map(|peer| &peer.member)
            .map(|new| {
                let (name, zone) = (new.name.clone(), new.zone.clone());
                (new.node, Voter { name, zone, address: new.address })
            })
            .collect();
        let heir = agreed.voters.iter().find(|(id, voter)| {
            **id != self.page.node
                && self.peers.get(&voter.name).is_some_and(|peer| peer.health == Health::Alive)
        });
        let heir = heir.map(|(id, _)| *id);
        let Some(council) = &mut self.council else { return };
        if is_lead {
            // A leader does not take itself out: another one does it.
            if let Some(heir) = heir {
                council.hand_over(heir);
            }
            return;
        }
        let ids: Vec<u64> = added.iter().map(|(id, _)| *id).collect();
        let removed: Vec<u64> = remove.into_iter().collect();
        let context = postcard::to_stdvec(&added).unwrap_or_default();
        if council.replace(&ids, &removed, context) {
            let gone = if removed.is_empty() { "" } else { ", another one does not vote any more" };
            let names: Vec<String> = added.into_iter().map(|(_, voter)| voter.name).collect();
            self.count += 1;
            self.log(format!("fleet: voters from now on: {}{gone}", names.join(", ")));
        }
    }

    /// All that the leader puts into the log about work.
    pub(super) fn keep_work(&mut self, now: Millis) {
        let sight = self.sight(now);
        let time = self.lead.as_ref().map_or(0, |lead| lead.time_ms + now.saturating_sub(lead.since));
        // Machines that were met, and are not in the roster as they are.
        let met = self.members().into_iter().filter(|(_, health)| *health == Health::Alive);
        let roster = &self.page.agreed.roster;
        let join: Vec<Command> = met
            .filter_map(|(member, _)| {
                let minor = self.minor_of(&member.name)?;
                let known = Machine { zone: member.zone, minor };
                let differs = roster.get(&member.name) != Some(&known);
                differs.then_some(Command::Join { name: member.name, zone: known.zone, minor })
            })
            .collect();
        let quiet = join.is_empty();
        join.into_iter().for_each(|command| self.order(command));
        let items = self.page.agreed.open.clone();
        let mut moved = false;
        for item in &items {
            if let Some(event) = self.due(item, &sight, time, now) {
                let (machine, grant) = (item.machine.clone(), item.grant.unwrap_or(0));
                match event {
                    Event::Expire if item.grant.is_none() => self.order(Command::Withdraw { machine }),
                    event => self.order(Command::About { machine, grant, event }),
                }
                moved = true;
            }
        }
        let Some(lead) = &mut self.lead else { return };
        if !items.is_empty() && now >= lead.clock + CLOCK {
            lead.clock = now;
            self.order(Command::Clock);
        }
        // A council that is not whole yet grants nothing: too few disks would know of it.
        let whole = self.page.agreed.voters.len() >= self.setup.founders.len().min(3);
        if moved || !quiet || !whole || items.iter().all(|item| item.state != State::Requested) {
            return;
        }
        let (agreed, limits) = (&self.page.agreed, &self.setup.limits);
        match order::next(agreed, &sight, limits) {
            Ok(machine) => {
                let (basis, most_out) = (agreed.version, limits.most_out);
                self.order(Command::Grant { machine, basis, most_out });
            }
            Err(why) => {
                let (Some(lead), Some((machine, why))) = (&mut self.lead, why.first()) else { return };
                // Of the oldest alone, and without figures that change all the time: a reason is told once.
                let kind: String = why.to_string().chars().filter(|c| !c.is_ascii_digit()).collect();
                if lead.told != kind {
                    lead.told = kind;
                    let line = format!("fleet: work on {machine} waits: {why}");
                    self.log(line);
                }
            }
        }
    }

    /// What has become due about one request.
    pub(super) fn due(&self, item: &Item, sight: &Sight, time: Millis, now: Millis) -> Option<Event> {
        let expired = item.until_ms.is_some_and(|until| time > until);
        let late = item.due_ms.is_some_and(|due| time > due);
        let seen = |seen: &&Seen| seen.health == Health::Alive;
        let all_say = |check: &dyn Fn(&Status) -> bool| {
            sight.seen.iter().filter(seen).all(|seen| {
                seen.status.as_ref().is_some_and(|(status, age)| *age <= sight.fresh_ms && check(status))
            })
        };
        match (item.state, item.kind) {
            (State::Requested | State::Granted, _) if expired => Some(Event::Expire),
            (State::Granted, Kind::Server(_)) => Some(Event::Begin),
            (State::Granted, Kind::Agent) if time > item.since_ms + LAPSE => Some(Event::Lapse),
            (State::Draining | State::Out, _) if late => Some(Event::Late),
            (State::Draining, Kind::Server(server)) => {
                let grant = item.grant.unwrap_or(0);
                let free = |status: &Status| status.held.contains(&(server, grant, false));
                all_say(&free).then_some(Event::Drained)
            }
            (State::Returning, Kind::Server(server)) => {
                let free = |status: &Status| !status.held.iter().any(|(held, ..)| *held == server);
                all_say(&free).then_some(Event::Back)
            }
            (State::Granted | State::Draining | State::Returning | State::Overdue, Kind::Agent) => {
                let lost = |peer: &Peer| peer.health == Health::Dead && now >= peer.since;
                let lost = self.peers.get(&item.machine).is_some_and(lost);
                let gone = lost && !(item.state == State::Overdue && item.drained);
                gone.then_some(Event::Gone)
            }
            _ => None,
        }
    }
}
