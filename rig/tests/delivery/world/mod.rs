//! Three members, two servers and callers in virtual time. Whatever goes from one to another takes its time,
//! in order on each connection; what comes to a member that gets no processor lies in its sockets.

mod faults;
mod lines;
mod members;

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steprelay_copies::messages::Message;
use steprelay_copies::Millis;
use steprelay_decisions::Micros;

use crate::council::{Council, Start, NOTICED};
use crate::judge::{Findings, Judge};
use crate::peers::{Caller, Server, EVERY, HOLDS};
use crate::plan::{Fault, Faults, Plan, CALLS_FROM, CALLS_UNTIL};
use crate::ports::{Clock, ToServer};
use crate::process::{Process, TICK};

pub const MEMBERS: usize = 3;
const SERVERS: usize = 2;
const CALLERS: usize = 6;
const MS: Micros = 1_000;
/// The world goes on for so long behind the last call and the last fault, and ends then in any case.
const QUIET: Micros = 2_500 * MS;
const LONGEST: Micros = 30_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Caller(usize),
    Server(usize),
}

/// A connection between a member and a peer.
#[derive(Debug)]
struct Connection {
    member: usize,
    boot: u64,
    peer: Peer,
    /// When the last thing to each side arrives.
    to_member: Micros,
    to_peer: Micros,
    /// Its ends that are open.
    member_open: bool,
    peer_open: bool,
    /// The member says no more, and reads on until then.
    half_closed: Option<Micros>,
    inputs: u64,
    /// When what was not read has come to the member's socket.
    unread: VecDeque<Micros>,
    /// Nothing that is under way arrives any more.
    cut: bool,
    /// The peer reads nothing any more, and says nothing.
    deaf: bool,
}

#[derive(Clone, Debug)]
enum ToMember {
    Opened,
    Offer(u64),
    Confirms(u64),
    Accept(u64),
    Release(u64),
    Load,
    Closed,
}

#[derive(Clone, Debug)]
enum ToPeer {
    Opened,
    Server(Box<ToServer>),
    Accept(u64),
    /// A release, or a final answer that is none.
    End(u64),
    Closed,
}

enum Event {
    /// Something comes to a member's socket, and is read.
    Arrives(u64, ToMember),
    /// A dial of a server that nobody is at.
    Refused(usize, u64, usize),
    Reaches(u64, ToPeer),
    Message(usize, Start, Message),
    OwnerTurn(usize, u64),
    CopiesTurn(usize, u64),
    Council,
    ReadOver(u64),
    DialServer(usize, u64, usize),
    DialMember(usize),
    Call(usize),
    ReleaseDue(usize, u64),
    Fault(Fault),
    StrikeDue(usize, u64),
    Sigkill(usize, u64),
    Wake(usize, u64),
    Start(usize),
}

pub struct World {
    clock: Clock,
    rng: StdRng,
    plan: Plan,
    queue: BTreeMap<(Micros, u64), Event>,
    posted: u64,
    members: Vec<Option<Process>>,
    /// What came to a member's sockets while it got no processor.
    asleep: BTreeMap<usize, Vec<Event>>,
    /// Starts that are lost, until others notice.
    unnoticed: Vec<(Millis, Start)>,
    council: Council,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    connections: BTreeMap<u64, Connection>,
    /// Words between two members arrive in order.
    between: BTreeMap<(usize, usize), Micros>,
    next: u64,
    judge: Judge,
    quiet_from: Micros,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let plan = Plan::new(seed, faults, MEMBERS);
        let mut world = World {
            clock: Clock::default(),
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            posted: 0,
            members: (0..MEMBERS).map(|_| None).collect(),
            asleep: BTreeMap::new(),
            unnoticed: Vec::new(),
            council: Council::default(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            callers: (0..CALLERS).map(|_| Caller::default()).collect(),
            connections: BTreeMap::new(),
            between: BTreeMap::new(),
            next: 0,
            judge: Judge { ways: 4 * (plan.way + plan.late + plan.late_copies), ..Judge::default() },
            quiet_from: CALLS_UNTIL + HOLDS.1,
            plan,
        };
        for member in 0..MEMBERS {
            world.at(0, Event::Start(member));
        }
        world.at(0, Event::Council);
        for caller in 0..CALLERS {
            world.callers[caller].next = caller % MEMBERS;
            world.at(MS, Event::DialMember(caller));
            let first = world.rng.random_range(CALLS_FROM..CALLS_FROM + EVERY.1);
            world.at(first, Event::Call(caller));
        }
        for (at, fault) in world.plan.faults.clone() {
            world.at(at, Event::Fault(fault));
        }
        world
    }

    /// Lives to its end.
    pub fn run(mut self) -> Findings {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.clock.set(at);
            self.happens(event);
            let quiet = at >= self.quiet_from + QUIET && self.judge.is_settled();
            if quiet || at >= LONGEST {
                break;
            }
        }
        self.judge.findings()
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.posted += 1;
        self.queue.insert((at, self.posted), event);
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn way(&mut self) -> Micros {
        self.rng.random_range(self.plan.way / 10..=self.plan.way)
    }

    /// Whether members carry more load than they have processors for.
    fn is_loaded(&self) -> bool {
        self.plan.late > MS
    }

    fn late(&mut self) -> Micros {
        self.rng.random_range(0..=self.plan.late)
    }

    fn late_copies(&mut self) -> Micros {
        self.rng.random_range(0..=self.plan.late_copies)
    }

    fn running(&mut self, member: usize, boot: u64) -> Option<&mut Process> {
        let process = self.members[member].as_mut();
        process.filter(|process| process.start.boot == boot && !process.is_stalled())
    }

    fn happens(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Arrives(..) | Event::Refused(..) | Event::Message(..) => self.comes(event),
            Event::Reaches(connection, word) => self.reaches(connection, word),
            Event::OwnerTurn(member, boot) => {
                let due = self.running(member, boot).filter(|process| process.owner_due == Some(now));
                if due.map(|process| process.owner_due = None).is_some() {
                    self.owner_turn(member, boot);
                }
            }
            Event::CopiesTurn(member, boot) => {
                let due = self.running(member, boot).filter(|process| process.copies_due == Some(now));
                if due.map(|process| process.copies_due = None).is_some() {
                    self.copies_turn(member, boot);
                }
            }
            Event::Council => {
                let there = |process: &Process| {
                    !process.is_stalled() || (now / 1_000) as Millis <= process.ran_until + NOTICED
                };
                let there: Vec<Start> = self
                    .members
                    .iter()
                    .flatten()
                    .filter(|process| there(process))
                    .map(|process| process.start.clone())
                    .collect();
                let lost = self.council.succeed((now / 1_000) as Millis, &there);
                for boot in lost {
                    if !self.judge.stopped.contains_key(&boot) {
                        self.excuse_unknown(boot);
                    }
                }
                self.at(now + TICK as Micros * MS, Event::Council);
            }
            Event::ReadOver(connection) => self.member_closes(connection),
            Event::DialServer(member, boot, server) => self.dial_server(member, boot, server),
            Event::DialMember(caller) => self.dial_member(caller),
            Event::Call(caller) => self.call(caller),
            Event::ReleaseDue(server, call) => {
                if let Some(saying) = self.servers[server].release(call) {
                    self.released(server, call, saying);
                }
            }
            Event::Fault(fault) => self.fault(fault),
            Event::StrikeDue(member, boot) => self.strike(member, boot),
            Event::Sigkill(member, boot) => self.kill(member, boot),
            Event::Wake(member, boot) => self.wake(member, boot),
            Event::Start(member) => self.start(member),
        }
    }
}
