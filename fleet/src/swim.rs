//! Who is alive: the SWIM engine (`foca`) with its timers, and a member's doubt of itself.
//!
//! A process that was stopped, or had no processor, finds all its timers due at once and the answers of
//! others still unread. It would call everybody dead. So time that passed without a look moves the timers
//! on instead: whoever is slow doubts itself before others.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// A member of the fleet, in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Of its disk: another one where the machine came back without it. The raft engine knows it by this.
    pub node: u64,
    /// Grows with every start and every return from the dead.
    pub life: u64,
    /// Drawn at every start, so that two starts from one copy of a disk differ.
    pub boot: u64,
}

/// A member as the engine has it. For every update of any member the engine looks through all that it knows,
/// and copies some of them: so names are compared by a number that is drawn from them once, and nothing is
/// copied but a pointer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Member", into = "Member")]
struct Known {
    key: u64,
    member: Rc<Member>,
}

impl From<Member> for Known {
    fn from(member: Member) -> Self {
        let mut key = DefaultHasher::new();
        member.name.hash(&mut key);
        Known { key: key.finish(), member: Rc::new(member) }
    }
}

impl From<Known> for Member {
    fn from(known: Known) -> Self {
        Rc::unwrap_or_clone(known.member)
    }
}

impl PartialEq for Known {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key && (Rc::ptr_eq(&self.member, &other.member) || self.member == other.member)
    }
}

impl Eq for Known {}

impl Identity for Known {
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        let member = Member { life: self.member.life + 1, ..Member::clone(&self.member) };
        Some(Known { key: self.key, member: Rc::new(member) })
    }

    fn addr(&self) -> u64 {
        self.key
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.member.life, self.member.node) > (other.member.life, other.member.node)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    /// It said that it goes.
    Left,
}

impl Health {
    pub fn word(self) -> &'static str {
        match self {
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Dead => "dead",
            Health::Left => "left",
        }
    }
}

/// A member is asked every so often; its answer is waited for, then that of others by way of others, then it
/// is suspect, and then dead.
const PROBE_EVERY: Duration = Duration::from_millis(600);
const ANSWER_WITHIN: Duration = Duration::from_millis(250);
const SUSPECT_FOR: Duration = Duration::from_millis(2_400);
const GOSSIP_EVERY: Duration = Duration::from_millis(300);
const ANNOUNCE_EVERY: Duration = Duration::from_secs(10);
/// Those that are down are told of us so often, so that a cut that heals is found.
const CALL_BACK_EVERY: Duration = Duration::from_secs(2);
/// A dead one is forgotten by the engine after this.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A message between members, at most.
const LARGEST: usize = 8 * 1024;
/// Looks come far more often than this; what is missing has been slept through.
pub const SLEPT: Millis = 400;

pub struct Swim {
    foca: Foca<Known, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Known>,
    timers: BTreeMap<(Millis, u64), Timer<Known>>,
    count: u64,
    looked: Millis,
    /// Time that was slept through, in all.
    slept: Millis,
}

/// What came of a look.
#[derive(Debug, Default)]
pub struct Found {
    pub send: Vec<(Member, Vec<u8>)>,
    pub up: Vec<Member>,
    pub down: Vec<Member>,
    /// We were taken for dead, and live on as this.
    pub renewed: bool,
}

impl Swim {
    pub fn new(now: Millis, me: Member, seed: u64) -> Self {
        let few = |number| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
        let params = |frequency, number| foca::PeriodicParams { frequency, num_members: few(number) };
        let config = Config {
            probe_period: PROBE_EVERY,
            probe_rtt: ANSWER_WITHIN,
            num_indirect_probes: few(3),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: SUSPECT_FOR,
            remove_down_after: Some(FORGET_AFTER),
            max_packet_size: few(LARGEST),
            notify_down_members: true,
            periodic_announce: Some(params(ANNOUNCE_EVERY, 1)),
            periodic_announce_to_down_members: Some(params(CALL_BACK_EVERY, 2)),
            periodic_gossip: Some(params(GOSSIP_EVERY, 3)),
        };
        Swim {
            foca: Foca::new(me.into(), config, StdRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            count: 0,
            looked: now,
            slept: 0,
        }
    }

    pub fn me(&self) -> &Member {
        &self.foca.identity().member
    }

    /// Time slept through since the start.
    pub fn slept(&self) -> Millis {
        self.slept
    }

    /// Members that the engine knows, with itself.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Health)> {
        let others = self.foca.iter_membership_state().map(|member| {
            let health = match member.state() {
                foca::State::Alive => Health::Alive,
                foca::State::Suspect => Health::Suspect,
                foca::State::Down => Health::Dead,
            };
            (&*member.id().member, health)
        });
        others.chain([(self.me(), Health::Alive)])
    }

    /// Another life begins, after one that others know of.
    pub fn live_on(&mut self, now: Millis, me: Member) -> Found {
        // Refused where it is the same one, which changes nothing.
        let _ = self.foca.change_identity(me.into(), &mut self.runtime);
        self.suspect_anew();
        self.drain(now)
    }

    /// The engine's timers are of one life: a suspicion of the life before would last for ever. Each is held
    /// anew, so that whom it concerns hears of it and speaks, or is dead in time.
    fn suspect_anew(&mut self) {
        let suspect = |member: &&foca::Member<Known>| member.state() == foca::State::Suspect;
        let anew = |member: &foca::Member<Known>| {
            let incarnation = member.incarnation().saturating_add(1);
            foca::Member::new(member.id().clone(), incarnation, foca::State::Suspect)
        };
        let all: Vec<_> = self.foca.iter_membership_state().filter(suspect).map(anew).collect();
        // What is no news changes nothing.
        let _ = self.foca.apply_many(all.into_iter(), true, &mut self.runtime);
    }

    /// A member was met on a link.
    pub fn met(&mut self, now: Millis, member: &Member) -> Found {
        let _ = self.foca.announce(member.clone().into(), &mut self.runtime);
        self.drain(now)
    }

    pub fn received(&mut self, now: Millis, bytes: &[u8]) -> Found {
        // Spoilt words, and words to one of our lives before, settle nothing.
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.drain(now)
    }

    /// Says farewell: others need not suspect us.
    pub fn leave(&mut self, now: Millis) -> Found {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(now)
    }

    /// Notes how long it was not looked, ahead of anything that has come meanwhile; says how long that was,
    /// where it was too long.
    pub fn wake(&mut self, now: Millis) -> Option<Millis> {
        let away = now.saturating_sub(self.looked);
        self.looked = now;
        if away <= SLEPT {
            return None;
        }
        self.slept += away;
        self.timers = std::mem::take(&mut self.timers)
            .into_iter()
            .map(|((at, count), timer)| ((at.max(now.saturating_sub(away)) + away, count), timer))
            .collect();
        Some(away)
    }

    pub fn tick(&mut self, now: Millis) -> Found {
        let mut found = Found::default();
        while let Some((&(at, count), _)) = self.timers.first_key_value() {
            if at > now {
                break;
            }
            if let Some(timer) = self.timers.remove(&(at, count)) {
                // A timer of a probe that was overtaken says so, and nothing follows.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
            let more = self.drain(now);
            found.send.extend(more.send);
            found.up.extend(more.up);
            found.down.extend(more.down);
            found.renewed |= more.renewed;
        }
        found
    }

    fn drain(&mut self, now: Millis) -> Found {
        let mut found = self.drain_once(now);
        if found.renewed {
            self.suspect_anew();
            let more = self.drain_once(now);
            found.send.extend(more.send);
            found.up.extend(more.up);
            found.down.extend(more.down);
        }
        found
    }

    fn drain_once(&mut self, now: Millis) -> Found {
        let mut found = Found::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            found.send.push((to.into(), bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.count += 1;
            self.timers.insert((now + after.as_millis() as Millis, self.count), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(member) => found.up.push(member.into()),
                OwnedNotification::MemberDown(member) => found.down.push(member.into()),
                OwnedNotification::Rename(_, member) => found.up.push(member.into()),
                OwnedNotification::Rejoin(_) => found.renewed = true,
                _ => {}
            }
        }
        found
    }
}
