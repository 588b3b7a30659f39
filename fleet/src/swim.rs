//! Membership and failure detection: the SWIM engine (`foca`), its timers, and the detection of local
//! stalls.
//!
//! A process that was stopped or got no processor time finds all its timers due at once, with the responses
//! of others still unread, and would declare all others dead. Time without calls to this module therefore
//! moves the timers on, so that a slow member does not suspect others.

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

/// A cluster member in one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Identity of its disk, which changes if the machine comes back without it. Also the Raft identifier.
    pub node: u64,
    /// Grows with every start, and when the member returns after it was declared dead.
    pub incarnation: u64,
    /// Boot identifier, drawn at random at every process start, so that two starts from copies of one disk
    /// differ.
    pub boot: u64,
}

/// A member as stored in the engine. For each update of any member the engine scans all members and copies
/// some of them: names are compared by a hash that is computed once, and only a pointer is copied.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Member", into = "Member")]
struct KnownMember {
    key: u64,
    member: Rc<Member>,
}

impl From<Member> for KnownMember {
    fn from(member: Member) -> Self {
        let mut key = DefaultHasher::new();
        member.name.hash(&mut key);
        KnownMember { key: key.finish(), member: Rc::new(member) }
    }
}

impl From<KnownMember> for Member {
    fn from(known: KnownMember) -> Self {
        Rc::unwrap_or_clone(known.member)
    }
}

impl PartialEq for KnownMember {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key && (Rc::ptr_eq(&self.member, &other.member) || self.member == other.member)
    }
}

impl Eq for KnownMember {}

impl Identity for KnownMember {
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        let member = Member { incarnation: self.member.incarnation + 1, ..Member::clone(&self.member) };
        Some(KnownMember { key: self.key, member: Rc::new(member) })
    }

    fn addr(&self) -> u64 {
        self.key
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.member.incarnation, self.member.node) > (other.member.incarnation, other.member.node)
    }
}

/// Health of a member as seen by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    /// It announced that it leaves.
    Left,
}

impl Health {
    /// The name of the state, as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Dead => "dead",
            Health::Left => "left",
        }
    }
}

/// Timing of failure detection: each period one member is probed; if it does not respond within
/// `PROBE_RTT`, others probe it indirectly; after that it is suspect, and dead when `SUSPECT_TIMEOUT` has
/// passed.
const PROBE_PERIOD: Duration = Duration::from_millis(600);
const PROBE_RTT: Duration = Duration::from_millis(250);
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_400);
const GOSSIP_PERIOD: Duration = Duration::from_millis(300);
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(10);
/// Interval of announcements to members that are down, so that the end of a partition is noticed.
const ANNOUNCE_TO_DOWN_PERIOD: Duration = Duration::from_secs(2);
/// The engine forgets a dead member after this.
const FORGET_DOWN_AFTER: Duration = Duration::from_secs(60);
/// Maximum size of a SWIM message.
const MAX_PACKET_BYTES: usize = 8 * 1024;
/// Calls come far more often than this; a longer gap means that the process did not run.
pub const STALL_THRESHOLD_MS: Millis = 400;

/// The SWIM engine with its timers, driven by explicit time.
pub struct Swim {
    foca: Foca<KnownMember, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<KnownMember>,
    timers: BTreeMap<(Millis, u64), Timer<KnownMember>>,
    timer_count: u64,
    last_checked: Millis,
    /// Total time of all stalls.
    stalled_ms: Millis,
}

/// What the engine produced in a call.
#[derive(Debug, Default)]
pub struct SwimOutput {
    pub send: Vec<(Member, Vec<u8>)>,
    pub up: Vec<Member>,
    pub down: Vec<Member>,
    /// This member was declared dead and continues under a new incarnation.
    pub identity_renewed: bool,
}

impl Swim {
    pub fn new(now: Millis, me: Member, seed: u64) -> Self {
        let nonzero = |number| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
        let params = |frequency, number| foca::PeriodicParams { frequency, num_members: nonzero(number) };
        let config = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_RTT,
            num_indirect_probes: nonzero(3),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: SUSPECT_TIMEOUT,
            remove_down_after: Some(FORGET_DOWN_AFTER),
            max_packet_size: nonzero(MAX_PACKET_BYTES),
            notify_down_members: true,
            periodic_announce: Some(params(ANNOUNCE_PERIOD, 1)),
            periodic_announce_to_down_members: Some(params(ANNOUNCE_TO_DOWN_PERIOD, 2)),
            periodic_gossip: Some(params(GOSSIP_PERIOD, 3)),
        };
        Swim {
            foca: Foca::new(me.into(), config, StdRng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_count: 0,
            last_checked: now,
            stalled_ms: 0,
        }
    }

    pub fn me(&self) -> &Member {
        &self.foca.identity().member
    }

    /// Total stalled time since the start.
    pub fn stalled_ms(&self) -> Millis {
        self.stalled_ms
    }

    /// Members known to the engine, including this one.
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

    /// Changes to another identity, after others have seen a newer incarnation or a copy of the disk.
    pub fn change_identity(&mut self, now: Millis, me: Member) -> SwimOutput {
        // An unchanged identity is refused, which has no effect.
        let _ = self.foca.change_identity(me.into(), &mut self.runtime);
        self.renew_suspicions();
        self.collect_output(now)
    }

    /// The engine's timers belong to one incarnation: a suspicion of the incarnation before would never
    /// expire. Each suspicion is raised again, so that the member refutes it or is declared dead in time.
    fn renew_suspicions(&mut self) {
        let suspect = |member: &&foca::Member<KnownMember>| member.state() == foca::State::Suspect;
        let renew = |member: &foca::Member<KnownMember>| {
            let incarnation = member.incarnation().saturating_add(1);
            foca::Member::new(member.id().clone(), incarnation, foca::State::Suspect)
        };
        let all: Vec<_> = self.foca.iter_membership_state().filter(suspect).map(renew).collect();
        // An update that is not news has no effect.
        let _ = self.foca.apply_many(all.into_iter(), true, &mut self.runtime);
    }

    /// Announces this member to another one that was met on a connection.
    pub fn announce(&mut self, now: Millis, member: &Member) -> SwimOutput {
        let _ = self.foca.announce(member.clone().into(), &mut self.runtime);
        self.collect_output(now)
    }

    /// Passes in a SWIM message.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> SwimOutput {
        // Messages that are invalid or addressed to an earlier incarnation are ignored.
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.collect_output(now)
    }

    /// Announces a graceful leave, so that others don't suspect this member.
    pub fn leave(&mut self, now: Millis) -> SwimOutput {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect_output(now)
    }

    /// Detects a stall: returns the time since the last call if it exceeds [`STALL_THRESHOLD_MS`], and
    /// postpones the timers by it. To be called before messages that arrived in the meantime are passed in.
    pub fn detect_stall(&mut self, now: Millis) -> Option<Millis> {
        let stalled_for = now.saturating_sub(self.last_checked);
        self.last_checked = now;
        if stalled_for <= STALL_THRESHOLD_MS {
            return None;
        }
        self.stalled_ms += stalled_for;
        self.timers = std::mem::take(&mut self.timers)
            .into_iter()
            .map(|((at, count), timer)| {
                ((at.max(now.saturating_sub(stalled_for)) + stalled_for, count), timer)
            })
            .collect();
        Some(stalled_for)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Millis) -> SwimOutput {
        let mut output = SwimOutput::default();
        while let Some((&(at, count), _)) = self.timers.first_key_value() {
            if at > now {
                break;
            }
            if let Some(timer) = self.timers.remove(&(at, count)) {
                // The timer of an outdated probe returns an error, which has no effect.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
            let more = self.collect_output(now);
            output.send.extend(more.send);
            output.up.extend(more.up);
            output.down.extend(more.down);
            output.identity_renewed |= more.identity_renewed;
        }
        output
    }

    fn collect_output(&mut self, now: Millis) -> SwimOutput {
        let mut output = self.collect_output_once(now);
        if output.identity_renewed {
            self.renew_suspicions();
            let more = self.collect_output_once(now);
            output.send.extend(more.send);
            output.up.extend(more.up);
            output.down.extend(more.down);
        }
        output
    }

    fn collect_output_once(&mut self, now: Millis) -> SwimOutput {
        let mut output = SwimOutput::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            output.send.push((to.into(), bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_count += 1;
            self.timers.insert((now + after.as_millis() as Millis, self.timer_count), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => output.up.push(member.into()),
                OwnedNotification::MemberDown(member) => output.down.push(member.into()),
                OwnedNotification::Rename(_, member) => output.up.push(member.into()),
                OwnedNotification::Rejoin(_) => output.identity_renewed = true,
                _ => {}
            }
        }
        output
    }
}
