//! One member of the fleet, whole: membership, its part in the council or its following of it, the leader's
//! work, and its own leaving and coming back.
//!
//! A front hands in what came ([`Node::received`]), its own status and the time ([`Node::tick`]), and carries
//! out [`Effect`]s in their order: what is to be written is on disk before what follows it is sent.

mod commands;
mod lead;
mod members;
mod own;
mod streams;
mod voting;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agreed::{Agreed, Command, CommandId, Entry, Machine, Refusal, Voter};
use crate::council::{Council, CouncilError, Kept, Step, Write};
use crate::order::{self, Limits, Seen, Sight};
use crate::swim::{Found, Health, Member, Swim};
use crate::words::{Ask, Envelope, Foundation, Held, Payload, Status, Told, Written, MAJOR};
use crate::work::{Event, Item, Kind, State};
use crate::Millis;
use lead::Lead;
use streams::Streams;

/// The council's engine is ticked so often.
const TICK: Millis = 100;
/// Commands of this member that are under way, at most, and those of others that wait for the log.
const MOST_ASKS: usize = 64;
/// A leader is not heard of for so long before a new council may be founded by hand.
const LEADERLESS: Millis = 5_000;
/// A refusal is told in the log once, and again after this; so many are remembered.
const REFUSED_AGAIN: Millis = 60_000;
const MOST_REFUSED: usize = 64;
/// Grants of a council that is lost may have gone this far beyond the copy that a new one starts from.
const REFOUNDED: u64 = 1 << 20;

/// How a fleet is set up: the same for all members, but for their own names.
#[derive(Clone, Debug)]
pub struct Setup {
    pub cluster: String,
    /// The first council, by names; the first of them founds it.
    pub founders: Vec<String>,
    pub limits: Limits,
    /// The minor version that this member speaks, up to [`MINOR`](crate::words::MINOR).
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
    /// A word about copies came.
    Copies {
        from: Box<Member>,
        bytes: Vec<u8>,
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
    streams: Streams,
    ticked: Millis,
    called: Millis,
    looked: Millis,
    followed: Millis,
    next_peer: usize,
    fenced: u64,
    strange: u64,
    /// Refusals that the log told of, and when.
    refusals: BTreeMap<String, Millis>,
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
            streams: Streams::default(),
            ticked: now,
            called: now,
            looked: 0,
            followed: 0,
            next_peer: 0,
            fenced: 0,
            strange: 0,
            refusals: BTreeMap::new(),
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
            self.streams.woke(now);
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
        self.renew_lease(now);
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
            node.log_refusal(now, format!("fleet: {} at {to} is refused: {why}", from.name));
            node.send(to, Payload::Refused(why));
            false
        };
        if let Payload::Refused(why) = payload {
            self.log_refusal(now, format!("fleet: {} at {to} refuses us: {why}", from.name));
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
            return refuse(
                self,
                format!("version {MAJOR}.{minor} is spoken there, and the log holds {MAJOR}.{spoken}"),
            );
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
                | Payload::Renew { .. }
                | Payload::Renewed { .. }
                | Payload::Copies(_)
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
            Payload::Renew { asked, writes, holds } => self.renew(now, &from, asked, &writes, holds),
            Payload::Renewed { boot, asked } => self.renewed(&from, boot, asked),
            Payload::Copies(bytes) => self.effects.push(Effect::Copies { from: Box::new(from), bytes }),
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

    /// Whoever is refused greets again every second.
    fn log_refusal(&mut self, now: Millis, line: String) {
        self.strange += 1;
        self.refusals.retain(|_, at| now < *at + REFUSED_AGAIN);
        if !self.refusals.contains_key(&line) && self.refusals.len() < MOST_REFUSED {
            self.refusals.insert(line.clone(), now);
            self.log(line);
        }
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }
}
