//! One member of the fleet, whole: membership, its part in the council or its following of it, the leader's
//! work, and its own leaving and coming back.
//!
//! A front hands in what came ([`Node::received`]), its own status and the time ([`Node::tick`]), and carries
//! out [`Effect`]s in their order: what is to be written is on disk before what follows it is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agreed::{Agreed, Command, CommandId, Entry, Machine, Refusal, Voter};
use crate::council::{Council, CouncilError, Kept, Step, Write};
use crate::order::{self, Limits, Seen, Sight};
use crate::swim::{Found, Health, Member, Swim};
use crate::wire::{Ask, Envelope, Foundation, Payload, Status, Told};
use crate::work::{Event, Item, Kind, State};
use crate::Millis;

/// The council's engine is ticked so often.
const TICK: Millis = 100;
/// What it missed is not made up for beyond this: a member that slept calls no election for it.
const MOST_TICKS: u64 = 3;
/// The leader looks at the council and at work so often.
const LEAD: Millis = 200;
/// A command that was put into the log is put there again by the leader if nothing came of it for so long.
const AGAIN: Millis = 1_000;
/// Statuses go to the leader so often in a small fleet; and this longer for each member.
const FOLLOW: Millis = 250;
const FOLLOW_MEMBER: Millis = 10;
/// A command is said again to whoever leads after this, and given up after that.
const ASK_AGAIN: Millis = 500;
const ASK_FOR: Millis = 8_000;
/// Commands of this member that are under way, at most, and those of others that wait for the log.
const MOST_ASKS: usize = 64;
const MOST_PROPOSING: usize = 1024;
/// The council's word that this machine may leave holds for so long from when it was asked for.
pub const WORD_HOLDS: Millis = 2_000;
/// A machine that was granted its work and does not begin has lost it after this.
const LAPSE: Millis = 10_000;
/// A voter that is dead for so long is replaced.
const VOTER_DEAD: Millis = 5_000;
/// Fleet time is put into the log so often while there is work.
const CLOCK: Millis = 2_000;
/// A leader is not heard of for so long before a new council may be founded by hand.
const LEADERLESS: Millis = 5_000;
/// A founder looks for a council that there may be for so long.
const LOOK_ROUND: Millis = 2_000;
/// A member that is taken for dead is called so often: after a long cut both sides have forgotten each other.
const CALL_BACK: Millis = 1_000;
/// Dead members are shown for so long once they are out of the roster.
const SHOWN: Millis = 600_000;
/// A voter's snapshot that may have been lost is sent again after this.
const SNAPSHOT_AGAIN: Millis = 2_000;
/// Grants of a council that is lost may have gone this far beyond the copy that a new one starts from.
const REFOUNDED: u64 = 1 << 20;
/// Load that is no jump, in thousandths a second; and the factor that is one.
const SMALL_LOAD: u64 = 20_000;
const JUMP: f64 = 1.5;
/// Members and their disks that are remembered, at most.
const MOST_KNOWN: usize = 4_096;

/// How a fleet is set up: the same for all members, but for their own names.
#[derive(Clone, Debug)]
pub struct Setup {
    pub cluster: String,
    /// The first council, by names; the first of them founds it.
    pub founders: Vec<String>,
    pub limits: Limits,
    /// The minor version that this member speaks, up to [`MINOR`](crate::wire::MINOR).
    pub minor: u16,
}

/// What a member keeps on disk beside the council's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Of this disk, drawn when it was first used.
    pub node: u64,
    pub life: u64,
    pub foundation: Foundation,
    /// The highest life, and the start, that was seen of each disk.
    disks: BTreeMap<u64, (u64, u64)>,
    /// The highest life of each name.
    lives: BTreeMap<String, u64>,
    /// The grant by which this machine is out.
    left: Option<u64>,
    /// What was agreed when this was written, and its place in the log.
    index: u64,
    agreed: Agreed,
}

impl Page {
    /// Of a directory that holds nothing yet.
    pub fn first(node: u64) -> Self {
        Page { node, ..Page::default() }
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
    Write(Write),
    /// The whole of what else is kept.
    Keep(Box<Page>),
    /// The log is another one from now on: what there was of it goes, this comes in its place (if anything),
    /// and the page with it, all at once.
    Renew {
        page: Box<Page>,
        log: Option<Write>,
    },
    Send {
        to: SocketAddr,
        payload: Payload,
    },
    /// The machine leaves: it sends its clients away.
    Leave {
        grant: u64,
    },
    /// It was out by this grant when its process ended: it takes up no work until it hears that it may.
    Stay {
        grant: u64,
    },
    /// It serves again.
    Return,
    /// No new set-ups go to these check servers, each with its grant. All others are free.
    Hold(BTreeMap<u32, u64>),
    /// A command or question of staff has come to its end.
    Told {
        id: CommandId,
        told: Told,
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
    left: Option<u64>,
    status: Option<(Status, Millis)>,
    /// The minor version that it speaks, once it was heard.
    minor: Option<u16>,
}

#[derive(Clone, Debug)]
struct Asked {
    ask: Ask,
    since: Millis,
    sent: Option<Millis>,
}

/// Where the answer to a command goes once it is in the log.
#[derive(Clone, Debug, PartialEq)]
enum Asker {
    Here,
    At(SocketAddr),
}

/// What the leader alone knows.
struct Lead {
    since: Millis,
    /// Fleet time when it began to lead.
    time_ms: Millis,
    looked: Millis,
    /// When something was last put into the log, and what had been applied then.
    proposed: (Millis, u64),
    trouble: Option<(String, Millis)>,
    load: Option<f64>,
    avoided: u64,
    /// Which members had been well.
    well: BTreeSet<String>,
    /// Machines that were on their way back.
    returning: BTreeSet<String>,
    clock: Millis,
    snapshots: Millis,
    pushed: u64,
    /// Why nothing was granted, as it was last told.
    told: String,
}

/// Figures of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub alive: u64,
    pub suspect: u64,
    pub dead: u64,
    pub voters: u64,
    /// A change of voters is under way: those before and those after it must both agree.
    pub joint: bool,
    pub leads: bool,
    pub votes: bool,
    pub leader: Option<String>,
    pub term: u64,
    pub index: u64,
    pub foundation: u64,
    pub open: u64,
    pub out: u64,
    pub last_grant: u64,
    pub slept_ms: u64,
    /// Commands that were refused because of an older grant or state.
    pub fenced: u64,
    /// Words of other clusters, other councils or unknown speakers.
    pub strange: u64,
    /// Frames that found no way out, and octets sent; the front counts these.
    pub unsent: u64,
    pub octets: u64,
}

pub struct Node {
    setup: Setup,
    swim: Swim,
    page: Page,
    kept: Page,
    council: Option<Council>,
    /// Voters that found our disk to be the one that they had seen; until there are enough of them, a voter
    /// that had a log at its start keeps still.
    vouched: BTreeSet<u64>,
    /// Enough of them did, once; or the log was begun in this start, so no older copy of it can be.
    may_speak: bool,
    peers: BTreeMap<String, Peer>,
    leader: Option<String>,
    leader_heard: Millis,
    started: Millis,
    /// Founders that know of no council.
    none_known: BTreeSet<String>,
    own: Status,
    /// The question that asks whether the machine may leave by a grant, and since when.
    begin: Option<(CommandId, Millis, u64)>,
    /// What this machine says of itself (that it has drained, that it is back), by which grant, and whether
    /// that is known to be agreed.
    saying: Option<(CommandId, Event, u64, bool)>,
    /// The machine was told to leave, or to serve.
    away: bool,
    held: BTreeMap<u32, u64>,
    asks: BTreeMap<CommandId, Asked>,
    proposing: BTreeMap<CommandId, Asker>,
    count: u64,
    lead: Option<Lead>,
    ticked: Millis,
    called: Millis,
    followed: Millis,
    next_peer: usize,
    fenced: u64,
    strange: u64,
    conflict: bool,
    effects: Vec<Effect>,
}

impl Node {
    /// Begins a new life. `me.node` and `me.life` are taken from the page.
    ///
    /// # Errors
    /// What was kept of the log can't be read.
    pub fn new(
        now: Millis,
        setup: Setup,
        me: Member,
        page: Page,
        kept: &Kept,
        seed: u64,
    ) -> Result<Self, CouncilError> {
        let mut page = page;
        page.life += 1;
        let me = Member { node: page.node, life: page.life, ..me };
        page.lives.insert(me.name.clone(), page.life);
        let had_log = !kept.snapshot.is_empty() || !kept.hard.is_empty();
        let council = if had_log { Some(Council::new(page.node, kept)?) } else { None };
        let mut node = Node {
            setup,
            swim: Swim::new(now, me, seed),
            kept: Page::default(),
            page,
            council,
            vouched: BTreeSet::new(),
            may_speak: !had_log,
            peers: BTreeMap::new(),
            leader: None,
            leader_heard: now,
            started: now,
            none_known: BTreeSet::new(),
            own: Status::default(),
            begin: None,
            saying: None,
            away: false,
            held: BTreeMap::new(),
            asks: BTreeMap::new(),
            proposing: BTreeMap::new(),
            count: 0,
            lead: None,
            ticked: now,
            called: now,
            followed: 0,
            next_peer: 0,
            fenced: 0,
            strange: 0,
            conflict: false,
            effects: Vec::new(),
        };
        if let Some((data, _)) = node.council.as_ref().and_then(Council::restored) {
            if let Ok(agreed) = postcard::from_bytes(&data) {
                node.page.agreed = agreed;
                node.page.index = node.council.as_ref().map_or(0, Council::applied);
            }
        }
        // Kept before it is spoken of: the next start must differ from this one.
        node.keep();
        if node.council.as_ref().is_some_and(|council| !council.votes()) {
            node.reborn(now, 0, "its log is of a council without it");
        }
        if let Some(grant) = node.page.left {
            node.away = true;
            node.effects.push(Effect::Stay { grant });
            node.log(format!(
                "fleet: this machine was out for work, grant {grant}, and stays so until it hears more"
            ));
        }
        node.hold();
        Ok(node)
    }

    pub fn me(&self) -> &Member {
        self.swim.me()
    }

    pub fn agreed(&self) -> &Agreed {
        &self.page.agreed
    }

    /// Whether anything was ever heard of what the council agreed.
    pub fn knows(&self) -> bool {
        self.page.index > 0 || self.page.agreed.version > 0
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What this member says of itself with every word.
    pub fn envelope(&self, payload: Payload) -> Envelope {
        let (cluster, from) = (self.setup.cluster.clone(), self.me().clone());
        Envelope { cluster, from, foundation: self.page.foundation, payload, minor: self.setup.minor }
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
            return Some(self.setup.minor);
        }
        self.peers.get(name).and_then(|peer| peer.minor)
    }

    /// Where the members are that are not known to be gone.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let there = |peer: &&Peer| matches!(peer.health, Health::Alive | Health::Suspect);
        self.peers.values().filter(there).map(|peer| peer.member.address).collect()
    }

    pub fn figures(&self) -> Figures {
        let of = |health| self.peers.values().filter(|peer| peer.health == health).count() as u64;
        let agreed = &self.page.agreed;
        Figures {
            alive: of(Health::Alive) + 1,
            suspect: of(Health::Suspect),
            dead: of(Health::Dead),
            voters: agreed.voters.len() as u64,
            joint: self.council.as_ref().is_some_and(Council::is_joint),
            leads: self.leads(),
            votes: self.council.as_ref().is_some_and(Council::votes),
            leader: self.leader_name(),
            term: self.council.as_ref().map_or(0, Council::term),
            index: self.page.index,
            foundation: self.page.foundation.number,
            open: agreed.open.len() as u64,
            out: agreed.out().count() as u64,
            last_grant: agreed.last_grant,
            slept_ms: self.swim.slept(),
            fenced: self.fenced,
            strange: self.strange,
            ..Figures::default()
        }
    }

    pub fn leads(&self) -> bool {
        self.council.as_ref().is_some_and(Council::leads_for_sure)
    }

    // ---- What comes in.

    /// How this call agent is.
    pub fn status(&mut self, status: Status) {
        self.own = status;
    }

    /// Time has passed. Comes at least every [`TICK`], and ahead of messages where the process may have
    /// slept.
    pub fn wake(&mut self, now: Millis) {
        if let Some(away) = self.swim.wake(now) {
            // What was asked before may have been answered long ago.
            self.begin = None;
            self.leader_heard += away;
            for peer in self.peers.values_mut() {
                peer.since += away;
            }
            self.log(format!("fleet: slept for {away} ms, others are doubted later"));
        }
    }

    pub fn tick(&mut self, now: Millis) {
        self.wake(now);
        let found = self.swim.tick(now);
        self.found(now, found);
        self.look_at_members(now);
        self.call_back(now);
        self.found_council(now);
        self.tick_council(now);
        self.follow(now);
        self.ask_on(now);
        self.do_lead(now);
        self.look_at_self(now);
        self.hold();
        self.keep();
    }

    /// A frame of another member. `false`: the link is to be closed, a refusal is among the effects.
    pub fn received(&mut self, now: Millis, envelope: Envelope) -> bool {
        self.wake(now);
        let Envelope { cluster, from, foundation, payload, minor } = envelope;
        let (to, me) = (from.address, self.me().clone());
        let refuse = |node: &mut Node, why: String| {
            node.strange += 1;
            node.log(format!("fleet: {} at {to} is refused: {why}", from.name));
            node.send(to, Payload::Refused(why));
            false
        };
        if let Payload::Refused(why) = payload {
            self.strange += 1;
            self.log(format!("fleet: {} at {to} refuses us: {why}", from.name));
            return false;
        }
        if cluster != self.setup.cluster {
            return refuse(self, format!("this is cluster {}, not {cluster}", self.setup.cluster));
        }
        if from.name == me.name {
            return refuse(self, format!("the name {} is taken", me.name));
        }
        let spoken = self.page.agreed.spoken;
        if minor < spoken {
            return refuse(self, format!("version 1.{minor} is spoken there, and the log holds 1.{spoken}"));
        }
        if let Some(peer) = self.peers.get_mut(&from.name).filter(|peer| peer.member.boot == from.boot) {
            peer.minor = Some(minor);
        }
        let of_council = matches!(
            payload,
            Payload::Raft(_)
                | Payload::Follow { .. }
                | Payload::State { .. }
                | Payload::Ask { .. }
                | Payload::Told { .. }
        );
        if !self.adopt(now, &from, foundation) && of_council {
            self.strange += 1;
            return true;
        }
        match payload {
            Payload::Hello => {
                let welcome = self.welcome(&from, false);
                self.keep();
                self.send(to, welcome);
                let found = self.swim.met(now, &from);
                self.found(now, found);
            }
            Payload::Welcome { about, life, fresh, back } => {
                if !back {
                    let welcome = self.welcome(&from, true);
                    self.keep();
                    self.send(to, welcome);
                }
                // Of a disk that is ours no more, and of a start before this one, nothing counts.
                if about == (self.page.node, me.boot) {
                    self.welcomed(now, &from, life, fresh);
                }
                let found = self.swim.met(now, &from);
                self.found(now, found);
            }
            Payload::Refused(_) => {}
            Payload::Gossip(bytes) => {
                let found = self.swim.received(now, &bytes);
                self.found(now, found);
            }
            Payload::Raft(bytes) => self.raft(now, &from, &bytes),
            Payload::Follow { known, status } => {
                if let Some(peer) = self.peers.get_mut(&from.name) {
                    peer.status = Some((status, now));
                }
                let newer = (known < self.page.index).then(|| self.agreed_bytes());
                let (index, leader) = (self.page.index, self.leader_name());
                self.send(to, Payload::State { index, leader, agreed: newer });
            }
            Payload::State { index, leader, agreed } => self.state(now, &from, index, leader, agreed),
            Payload::Ask { id, ask } => self.asked(id, ask, Asker::At(to)),
            Payload::Told { id, told } => self.told(id, told),
            Payload::Leaving => {
                if let Some(peer) = self.peers.get_mut(&from.name) {
                    peer.left = Some(from.life);
                }
            }
        }
        self.turn_council(now);
        self.look_at_self(now);
        self.hold();
        self.keep();
        true
    }

    /// Staff, by way of this member, want something. [`Effect::Told`] comes once, in a bounded time.
    pub fn ask(&mut self, now: Millis, ask: Ask) -> CommandId {
        self.count += 1;
        let id = CommandId { origin: self.me().boot, count: self.count };
        if self.asks.len() >= MOST_ASKS {
            let told = Told::Outcome(Err(Refusal::TooMany("commands under way".into())));
            self.effects.push(Effect::Told { id, told });
            return id;
        }
        self.asks.insert(id, Asked { ask, since: now, sent: None });
        self.ask_on(now);
        id
    }

    /// Ends in order: others hear of it, and the lead is given away.
    pub fn leave(&mut self, now: Millis) {
        let voters = &self.page.agreed.voters;
        let others = voters.iter().filter(|(id, _)| **id != self.page.node);
        let next = others
            .filter(|(_, voter)| self.peers.get(&voter.name).is_some_and(|peer| peer.health == Health::Alive))
            .map(|(id, _)| *id)
            .next();
        if let (Some(council), Some(next)) = (self.council.as_mut().filter(|c| c.leads()), next) {
            council.hand_over(next);
        }
        self.turn_council(now);
        for to in self.addresses() {
            self.send(to, Payload::Leaving);
        }
        let found = self.swim.leave(now);
        self.found(now, found);
        self.keep();
    }

    /// Staff found a new council, since the majority of the old one is lost for good. What it had agreed and
    /// this member has not heard of is lost; should the old one live after all, there are two.
    ///
    /// # Errors
    /// There is a leader, or there never was a council.
    pub fn refound(&mut self, now: Millis) -> Result<(), Refusal> {
        if !self.page.foundation.is_some() {
            return Err(Refusal::Not("no council was ever known here".into()));
        }
        if self.leader_name().is_some() && now < self.leader_heard + LEADERLESS {
            return Err(Refusal::Not("the council has a leader, and is not lost".into()));
        }
        let number = self.page.foundation.number + 1;
        self.page.agreed.last_grant += REFOUNDED;
        self.page.agreed.version += 1;
        self.begin_council(now, number);
        self.log(format!("fleet: council {number} is founded by hand"));
        Ok(())
    }

    // ---- Members.

    fn found(&mut self, now: Millis, found: Found) {
        for (to, bytes) in found.send {
            self.send(to.address, Payload::Gossip(bytes));
        }
        if found.renewed {
            self.lived_on(now);
        }
    }

    /// Our life is another one; the disk is told before anybody else is.
    fn lived_on(&mut self, _now: Millis) {
        self.page.life = self.page.life.max(self.me().life);
        let name = self.me().name.clone();
        self.page.lives.insert(name, self.page.life);
        // Effects that speak of it come after this one: what was sent so far is moved behind.
        let sent = std::mem::take(&mut self.effects);
        self.keep();
        self.effects.extend(sent);
    }

    fn look_at_members(&mut self, now: Millis) {
        let mut seen: BTreeMap<String, (Member, Health)> = BTreeMap::new();
        let me = self.me().name.clone();
        for (member, health) in self.swim.members() {
            if member.name == me {
                continue;
            }
            // Of two lives of one name the later one counts.
            let later = |known: &(Member, Health)| (known.0.life, known.0.boot) < (member.life, member.boot);
            if seen.get(&member.name).is_none_or(later) {
                seen.insert(member.name.clone(), (member.clone(), health));
            }
        }
        for (name, (member, health)) in seen {
            let left = self.peers.get(&name).and_then(|peer| peer.left);
            let health = match left {
                Some(life) if life >= member.life => Health::Left,
                _ => health,
            };
            let room = self.peers.len() < MOST_KNOWN;
            match self.peers.get_mut(&name) {
                Some(peer) => {
                    if peer.member.boot != member.boot {
                        (peer.status, peer.minor) = (None, None);
                    }
                    peer.member = member;
                    if peer.health != health {
                        (peer.health, peer.since) = (health, now);
                        self.effects.push(Effect::Log(format!("fleet: {name} is {}", health.word())));
                    }
                }
                None if room => {
                    self.log(format!("fleet: {name} is {}", health.word()));
                    let peer = Peer { member, health, since: now, left: None, status: None, minor: None };
                    self.peers.insert(name, peer);
                }
                None => {}
            }
        }
        let (roster, known) = (&self.page.agreed.roster, self.swim.members());
        let known: BTreeSet<&str> = known.map(|(member, _)| member.name.as_str()).collect();
        self.peers.retain(|name, peer| {
            known.contains(name.as_str()) || roster.contains_key(name) || now < peer.since + SHOWN
        });
        // The engine forgets its dead after a while; here they stay dead.
        for (name, peer) in &mut self.peers {
            if !known.contains(name.as_str()) && matches!(peer.health, Health::Alive | Health::Suspect) {
                (peer.health, peer.since) = (Health::Dead, now);
            }
        }
    }

    /// Calls members that are taken for dead, one after the other: they may take us for dead too.
    fn call_back(&mut self, now: Millis) {
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
    fn welcome(&mut self, from: &Member, back: bool) -> Payload {
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

    fn welcomed(&mut self, now: Millis, from: &Member, life: u64, fresh: bool) {
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
    fn reborn(&mut self, now: Millis, life: u64, why: &str) {
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
        self.renew(None);
        self.found(now, found);
    }

    /// Another log begins, or none is kept until one comes.
    fn renew(&mut self, log: Option<Write>) {
        (self.council, self.lead, self.may_speak) = (None, None, true);
        self.saying = None;
        self.kept = self.page.clone();
        // Ahead of all that was to be sent of the one before.
        let page = Box::new(self.page.clone());
        self.effects.retain(|effect| !matches!(effect, Effect::Write(_) | Effect::Keep(_)));
        self.effects.insert(0, Effect::Renew { page, log });
    }

    // ---- The council.

    /// Takes up another's council where ours is none or an older one; whether both are of the same one now.
    fn adopt(&mut self, now: Millis, from: &Member, theirs: Foundation) -> bool {
        let ours = self.page.foundation;
        if theirs == ours {
            return true;
        }
        if theirs.number > ours.number {
            if ours.is_some() {
                self.log(format!("fleet: council {} of {} replaces ours", theirs.number, from.name));
            }
            self.page.foundation = theirs;
            self.page.index = 0;
            (self.leader, self.leader_heard) = (None, now);
            self.renew(None);
            return true;
        }
        if theirs.number == ours.number && !std::mem::replace(&mut self.conflict, true) {
            self.log(format!(
                "fleet: {} has another council of the same number, staff must choose",
                from.name
            ));
        }
        // Another one that is older will take up ours; membership is the same for all.
        theirs.number == 0
    }

    fn found_council(&mut self, now: Millis) {
        let first = self.setup.founders.first() == Some(&self.me().name);
        if !first || self.page.foundation.is_some() || now < self.started + LOOK_ROUND {
            return;
        }
        // A majority of the founders must know of none: of a council that stands, one of them would know.
        if 2 * (self.none_known.len() + 1) > self.setup.founders.len() {
            self.begin_council(now, 1);
            self.log("fleet: the council is founded".into());
        }
    }

    fn begin_council(&mut self, now: Millis, number: u64) {
        let me = self.me().clone();
        self.page.foundation = Foundation { number, founder: me.node ^ me.boot };
        let voter = Voter { name: me.name, zone: me.zone, address: me.address };
        self.page.agreed.voters = BTreeMap::from([(me.node, voter)]);
        let write = Council::founding(me.node, self.agreed_bytes());
        let mut kept = crate::council::Disk::default();
        kept.write(write.clone());
        self.page.index = 1;
        self.renew(Some(write));
        self.council = Council::new(me.node, &kept.kept()).ok();
        (self.leader, self.leader_heard) = (None, now);
    }

    /// A voter with a log from before may only speak once enough of the others found its disk to be the one
    /// they had seen last: with itself a majority, so that one of them heard of whatever it had said.
    fn may_speak(&mut self) -> bool {
        let vouched = |council: &Council| council.is_majority(&self.vouched);
        self.may_speak = self.may_speak || self.council.as_ref().is_none_or(vouched);
        self.may_speak
    }

    fn raft(&mut self, now: Millis, from: &Member, bytes: &[u8]) {
        if !self.may_speak() {
            return;
        }
        if self.council.is_none() && self.page.foundation.is_some() {
            self.council = Council::new(self.page.node, &Kept::default()).ok();
        }
        let Some(council) = &mut self.council else { return };
        if council.received(bytes) && council.leader() == Some(from.node) {
            self.leader_heard = now;
        }
    }

    fn tick_council(&mut self, now: Millis) {
        let ticks = (now.saturating_sub(self.ticked) / TICK).min(MOST_TICKS);
        if ticks > 0 {
            self.ticked = now;
            if self.may_speak() {
                if let Some(council) = &mut self.council {
                    for _ in 0..ticks {
                        council.tick();
                    }
                }
            }
        }
        self.turn_council(now);
    }

    /// Has the engine do what it has to, and takes over what was agreed.
    fn turn_council(&mut self, now: Millis) {
        let Some(mut council) = self.council.take() else { return };
        let voted = council.votes();
        let mut answers = Vec::new();
        let page = &mut self.page;
        let steps = council.steps(|step| {
            match step {
                Step::Apply { index, data } => {
                    let known = |entry: &Entry| entry.command.since() <= self.setup.minor;
                    if let Some(entry) = postcard::from_bytes::<Entry>(data).ok().filter(known) {
                        let before = page.agreed.version;
                        let outcome = page.agreed.apply(&entry);
                        answers.push((entry, outcome, page.agreed.version > before));
                    }
                    page.index = *index;
                }
                Step::Voters { ids, context } => {
                    page.agreed.voters_are(ids, postcard::from_bytes(context).unwrap_or_default());
                }
                Step::Restore { data, .. } => {
                    if let Ok(agreed) = postcard::from_bytes(data) {
                        page.agreed = agreed;
                    }
                }
                Step::Write(_) | Step::Send { .. } => {}
            }
            postcard::to_stdvec(&page.agreed).unwrap_or_default()
        });
        self.page.index = self.page.index.max(council.applied());
        let replaced = voted && !council.votes();
        for step in steps {
            match step {
                Step::Write(write) => self.effects.push(Effect::Write(write)),
                Step::Send { to, bytes } => {
                    if let Some(to) = self.address_of(to) {
                        self.send(to, Payload::Raft(bytes));
                    }
                }
                Step::Apply { .. } | Step::Voters { .. } | Step::Restore { .. } => {}
            }
        }
        if council.leads() {
            self.leader_heard = now;
        }
        self.council = Some(council);
        for (entry, outcome, moved) in answers {
            if matches!(outcome, Err(Refusal::Fenced { .. } | Refusal::Stale { .. })) {
                self.fenced += 1;
            }
            if moved {
                self.tell_work(&entry);
            }
            if let Some(asker) = self.proposing.remove(&entry.id) {
                self.answer(entry.id, Told::Outcome(outcome), asker);
            }
        }
        self.settle_asks();
        if replaced {
            self.reborn(now, 0, "the council has replaced this member");
        }
    }

    /// A line of the log for staff, at the leader alone.
    fn tell_work(&mut self, entry: &Entry) {
        if !self.leads() {
            return;
        }
        let machine = match &entry.command {
            Command::Add { machine, .. }
            | Command::Extend { machine, .. }
            | Command::Withdraw { machine }
            | Command::Finish { machine }
            | Command::Grant { machine, .. }
            | Command::About { machine, .. } => machine.clone(),
            Command::Pause { reason: Some(why) } => return self.log(format!("fleet: work is paused: {why}")),
            Command::Pause { reason: None } => return self.log("fleet: work goes on".into()),
            Command::Join { .. } | Command::Forget { .. } | Command::Clock => return,
        };
        let agreed = &self.page.agreed;
        let over = || agreed.over.iter().rev().find(|item| item.machine == machine);
        if let Some(item) = agreed.item(&machine).or_else(over) {
            let grant = item.grant.map_or_else(String::new, |grant| format!(", grant {grant}"));
            let state = item.state.word();
            self.log(format!("fleet: work on {machine} is {state}{grant}"));
        }
    }

    fn address_of(&self, id: u64) -> Option<SocketAddr> {
        let peer = self.peers.values().find(|peer| peer.member.node == id).map(|peer| peer.member.address);
        peer.or_else(|| self.page.agreed.voters.get(&id).map(|voter| voter.address))
    }

    fn leader_name(&self) -> Option<String> {
        let council = self.council.as_ref().filter(|council| council.votes());
        match council {
            Some(council) if council.leads() => Some(self.me().name.clone()),
            Some(council) => {
                let id = council.leader()?;
                self.page.agreed.voters.get(&id).map(|voter| voter.name.clone())
            }
            None => self.leader.clone(),
        }
    }

    fn agreed_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.page.agreed).unwrap_or_default()
    }

    // ---- Following.

    fn follow_every(&self) -> Millis {
        FOLLOW.max(FOLLOW_MEMBER * (self.peers.len() as Millis + 1))
    }

    /// A status is fresh up to this age.
    fn fresh(&self) -> Millis {
        3 * self.follow_every() + 500
    }

    fn follow(&mut self, now: Millis) {
        if now < self.followed + self.follow_every() || self.leads() {
            return;
        }
        self.followed = now;
        let known = self.leader_name().and_then(|name| self.peers.get(&name));
        let known = known.filter(|peer| peer.health == Health::Alive).map(|peer| peer.member.address);
        let to = known.or_else(|| {
            // Anybody may know more than we do; another one every time.
            let others = self.addresses();
            self.next_peer += 1;
            (!others.is_empty()).then(|| others[self.next_peer % others.len()])
        });
        if let Some(to) = to {
            let (known, status) = (self.page.index, self.own.clone());
            self.send(to, Payload::Follow { known, status });
        }
    }

    fn state(
        &mut self,
        now: Millis,
        from: &Member,
        index: u64,
        leader: Option<String>,
        agreed: Option<Vec<u8>>,
    ) {
        let agreed: Option<Agreed> = agreed.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        if self.council.as_ref().is_some_and(Council::votes) {
            // A voter hears of it by the log; but one that was replaced while it heard nothing never does.
            let gone = agreed.is_some_and(|agreed| !agreed.voters.contains_key(&self.page.node));
            if gone && index > self.page.index {
                self.reborn(now, 0, "the council went on without this member");
            }
            return;
        }
        if leader.is_some() {
            // Where to ask, whoever says so; but only a voter knows that there is one.
            if self.page.agreed.voters.contains_key(&from.node) {
                self.leader_heard = now;
            }
            self.leader = leader;
        }
        if now > self.leader_heard + LEADERLESS {
            self.leader = None;
        }
        if index > self.page.index {
            if let Some(agreed) = agreed {
                (self.page.agreed, self.page.index) = (agreed, index);
                self.settle_asks();
            }
        }
    }

    // ---- Commands.

    /// Says what is under way again where nobody answered, and gives up in time.
    fn ask_on(&mut self, now: Millis) {
        let due: Vec<CommandId> = self
            .asks
            .iter()
            .filter(|(_, asked)| asked.sent.is_none_or(|sent| now >= sent + ASK_AGAIN))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(asked) = self.asks.get_mut(&id) else { continue };
            if now >= asked.since + ASK_FOR {
                self.asks.remove(&id);
                let told = Told::Outcome(Err(Refusal::NoMajority));
                self.effects.push(Effect::Told { id, told });
                continue;
            }
            asked.sent = Some(now);
            let ask = asked.ask.clone();
            if self.leads() {
                self.asked(id, ask, Asker::Here);
                continue;
            }
            let leader = self.leader_name().and_then(|name| self.peers.get(&name));
            if let Some(to) = leader.map(|peer| peer.member.address) {
                self.send(to, Payload::Ask { id, ask });
            }
        }
        self.turn_council(now);
    }

    /// Somebody asks this member as the leader.
    fn asked(&mut self, id: CommandId, ask: Ask, asker: Asker) {
        if !self.leads() {
            return self.answer(id, Told::NotLeading(self.leader_name()), asker);
        }
        match ask {
            Ask::Explain(machine) => {
                let (sight, limits) = (self.sight(self.ticked), &self.setup.limits);
                let text = order::explain(&self.page.agreed, &sight, limits, &machine);
                self.answer(id, Told::Text(text), asker);
            }
            Ask::Do(command) => {
                if let Some(outcome) = self.page.agreed.answer(id) {
                    let told = Told::Outcome(outcome.clone());
                    return self.answer(id, told, asker);
                }
                if let Err(refusal) = self.allowed(&command) {
                    return self.answer(id, Told::Outcome(Err(refusal)), asker);
                }
                if self.proposing.len() >= MOST_PROPOSING {
                    self.proposing.pop_first();
                }
                self.proposing.insert(id, asker);
                self.propose(id, command);
            }
        }
    }

    /// What the leader refuses by what it is told, before the log sees it.
    fn allowed(&self, command: &Command) -> Result<(), Refusal> {
        self.page.agreed.level(command)?;
        match command {
            Command::Forget { name } => {
                let alive = |peer: &Peer| matches!(peer.health, Health::Alive | Health::Suspect);
                if *name == self.me().name || self.peers.get(name).is_some_and(alive) {
                    return Err(Refusal::Alive(name.clone()));
                }
                Ok(())
            }
            Command::Add { machine, kind: Kind::Server(number), .. } => {
                let lists = |status: &Status| status.classes.iter().any(|class| class.contains(number));
                let told = self.peers.values().filter_map(|peer| peer.status.as_ref());
                if lists(&self.own) || told.into_iter().any(|(status, _)| lists(status)) {
                    return Ok(());
                }
                Err(Refusal::UnknownMachine(machine.clone()))
            }
            // These are the leader's own.
            Command::Grant { .. } | Command::Clock | Command::Join { .. } => {
                Err(Refusal::Not("only the council says that".into()))
            }
            _ => Ok(()),
        }
    }

    fn propose(&mut self, id: CommandId, command: Command) {
        let now = self.ticked;
        let at_ms = self
            .lead
            .as_ref()
            .map_or(self.page.agreed.time_ms, |lead| lead.time_ms + now.saturating_sub(lead.since));
        let entry = Entry { id, at_ms, command };
        if let Some(council) = &mut self.council {
            council.propose(postcard::to_stdvec(&entry).unwrap_or_default());
        }
    }

    /// A command of the leader's own.
    fn order(&mut self, command: Command) {
        self.count += 1;
        let id = CommandId { origin: self.me().boot, count: self.count };
        self.propose(id, command);
    }

    fn answer(&mut self, id: CommandId, told: Told, asker: Asker) {
        match asker {
            Asker::At(to) => self.send(to, Payload::Told { id, told }),
            Asker::Here => self.told(id, told),
        }
    }

    fn told(&mut self, id: CommandId, told: Told) {
        if let Told::NotLeading(_) = told {
            return;
        }
        // An answer that came before settles nothing more.
        if self.asks.remove(&id).is_none() {
            return;
        }
        if self.begin.is_some_and(|(begin, ..)| begin == id) {
            return self.word_came(&told);
        }
        if let Some((saying, event, grant, _)) = self.saying.filter(|(saying, ..)| *saying == id) {
            let agreed = told == Told::Outcome(Ok(()));
            self.saying = agreed.then_some((saying, event, grant, true));
            return;
        }
        self.effects.push(Effect::Told { id, told });
    }

    /// Answers that came by way of the log or of what was followed.
    fn settle_asks(&mut self) {
        let known: Vec<CommandId> =
            self.asks.keys().filter(|id| self.page.agreed.answer(**id).is_some()).copied().collect();
        for id in known {
            if let Some(outcome) = self.page.agreed.answer(id).cloned() {
                self.told(id, Told::Outcome(outcome));
            }
        }
    }

    // ---- The leader.

    fn sight(&self, now: Millis) -> Sight {
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

    fn do_lead(&mut self, now: Millis) {
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
        if let Some(lead) = self.lead.as_mut().filter(|_| self.count > before) {
            lead.proposed = (now, index);
        }
        self.turn_council(now);
    }

    /// Gives what is agreed to all that follow.
    fn push(&mut self) {
        let (index, leader) = (self.page.index, self.leader_name());
        let agreed = Some(self.agreed_bytes());
        for to in self.addresses() {
            self.send(to, Payload::State { index, leader: leader.clone(), agreed: agreed.clone() });
        }
    }

    fn look_for_trouble(&mut self, now: Millis) {
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
    fn keep_council(&mut self, now: Millis) {
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
    fn keep_work(&mut self, now: Millis) {
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
    fn due(&self, item: &Item, sight: &Sight, time: Millis, now: Millis) -> Option<Event> {
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

    // ---- This machine's own work.

    fn look_at_self(&mut self, now: Millis) {
        if self.page.index == 0 {
            // Nothing is known of this council yet; what was promised to the one before stays.
            return;
        }
        let name = self.me().name.clone();
        let item = self.page.agreed.item(&name).filter(|item| item.kind == Kind::Agent).cloned();
        let Some(item) = item.filter(|item| item.grant.is_some()) else {
            return self.come_back();
        };
        let grant = item.grant.unwrap_or(0);
        match item.state {
            State::Granted | State::Draining | State::Out | State::Overdue => {
                // An older number is nobody's word any more.
                if self.page.left.is_some_and(|left| left >= grant) && self.away {
                    if self.page.left == Some(grant) && item.state == State::Draining {
                        self.say_drained(now, &name, grant);
                    }
                    return;
                }
                self.ask_to_leave(now, &name, grant);
            }
            State::Returning | State::Lost => {
                self.come_back();
                if self.own.serving {
                    self.say(now, &name, grant, Event::Back);
                }
            }
            State::Requested | State::Done | State::Withdrawn => self.come_back(),
        }
    }

    /// Asks the council whether the grant still holds, by way of the log: once that is agreed, the machine
    /// counts as out until it says otherwise itself.
    fn ask_to_leave(&mut self, now: Millis, name: &str, grant: u64) {
        let waits = self.begin.is_some_and(|(id, ..)| self.asks.contains_key(&id));
        if waits {
            return;
        }
        if let Some((id, ..)) = self.begin.take() {
            self.asks.remove(&id);
        }
        let command = Command::About { machine: name.into(), grant, event: Event::Begin };
        // Noted first: the answer may come at once where this member leads.
        let id = CommandId { origin: self.me().boot, count: self.count + 1 };
        self.begin = Some((id, now, grant));
        self.ask(now, Ask::Do(command));
    }

    /// The council's word on that.
    fn word_came(&mut self, told: &Told) {
        let Some((_, since, grant)) = self.begin.take() else { return };
        // `ticked` is of this moment or the tick before; a member that slept has dropped the question.
        if *told != Told::Outcome(Ok(())) || self.ticked > since + WORD_HOLDS {
            return;
        }
        let name = self.me().name.clone();
        // Another one may have come since it was asked about this one.
        if self.page.agreed.item(&name).is_some_and(|item| item.grant == Some(grant)) {
            self.leave_by(grant);
        }
    }

    fn leave_by(&mut self, grant: u64) {
        self.page.left = Some(grant);
        self.keep();
        self.away = true;
        self.effects.push(Effect::Leave { grant });
        self.log(format!("fleet: this machine leaves for work, grant {grant}"));
    }

    fn say_drained(&mut self, now: Millis, name: &str, grant: u64) {
        if !self.own.serving && self.own.calls == 0 {
            self.say(now, name, grant, Event::Drained);
        }
    }

    /// Says something of itself, once, until it is agreed or refused.
    fn say(&mut self, now: Millis, machine: &str, grant: u64, event: Event) {
        let said = |(id, said, by, agreed): (CommandId, Event, u64, bool)| {
            (said, by) == (event, grant) && (agreed || self.asks.contains_key(&id))
        };
        if self.saying.is_some_and(said) {
            return;
        }
        let command = Command::About { machine: machine.into(), grant, event };
        let id = CommandId { origin: self.me().boot, count: self.count + 1 };
        self.saying = Some((id, event, grant, false));
        self.ask(now, Ask::Do(command));
    }

    fn come_back(&mut self) {
        if std::mem::take(&mut self.away) {
            self.page.left = None;
            self.effects.push(Effect::Return);
            self.log("fleet: this machine serves again".into());
            self.keep();
        }
        self.begin = None;
    }

    fn hold(&mut self) {
        let held: BTreeMap<u32, u64> = self
            .page
            .agreed
            .open
            .iter()
            .filter(|item| matches!(item.state, State::Draining | State::Out | State::Overdue))
            .filter_map(|item| match item.kind {
                Kind::Server(number) => Some((number, item.grant.unwrap_or(0))),
                Kind::Agent => None,
            })
            .collect();
        if held != self.held {
            self.held.clone_from(&held);
            self.effects.push(Effect::Hold(held));
        }
    }

    // ---- What goes out.

    /// Has the page kept where anything differs that a start would miss. The place in the log alone does not
    /// count, nor does fleet time: a voter's log has them, and the others are told.
    fn keep(&mut self) {
        let (page, kept) = (&self.page, &self.kept);
        let same = (page.node, page.life, page.foundation, page.left)
            == (kept.node, kept.life, kept.foundation, kept.left)
            && page.agreed.version == kept.agreed.version
            && page.disks == kept.disks
            && page.lives == kept.lives;
        if !same {
            self.kept = self.page.clone();
            self.effects.push(Effect::Keep(Box::new(self.page.clone())));
        }
    }

    fn send(&mut self, to: SocketAddr, payload: Payload) {
        self.effects.push(Effect::Send { to, payload });
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }
}
