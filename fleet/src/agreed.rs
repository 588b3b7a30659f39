//! What the council has agreed: a state that follows from the log alone, entry by entry, the same everywhere.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::words::MAJOR;
use crate::work::{step, Event, Item, Kind, NotNow, State};
use crate::Millis;

/// Requests that are not over, at most; a fleet's every machine has room.
pub const MOST_OPEN: usize = 1024;
/// Requests that are over stay to be looked at, so many of them.
const MOST_OVER: usize = 64;
/// Answers are remembered for so many commands, so that one said twice is done once.
const MOST_ANSWERED: usize = 512;
/// Machines in the roster, at most.
pub const MOST_MACHINES: usize = 1024;
/// Voters before that are remembered.
const MOST_RETIRED: usize = 256;
/// Streams of copies that are written by successors, and those that are over and remembered, at most.
const MOST_STREAMS: usize = 1024;
/// Text of one request, at most.
pub const LONGEST_TEXT: usize = 256;

/// Names one command: who made it (a number of its own for each start of a program) and its count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId {
    pub origin: u64,
    pub count: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub id: CommandId,
    /// The leader's idea of fleet time; it only moves on.
    pub at_ms: Millis,
    pub command: Command,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Staff want work on a machine.
    Add {
        machine: String,
        kind: Kind,
        zone: String,
        reason: String,
        for_ms: Millis,
        after: Vec<String>,
        /// From now on.
        within_ms: Option<Millis>,
    },
    Extend {
        machine: String,
        more_ms: Millis,
    },
    Withdraw {
        machine: String,
    },
    Finish {
        machine: String,
    },
    /// Of the leader, who decided by the state of work as it was at `basis`.
    Grant {
        machine: String,
        basis: u64,
        most_out: u32,
    },
    /// Of the machine itself, or of the leader for a check server, or of the leader who saw it gone or late.
    About {
        machine: String,
        grant: u64,
        event: Event,
    },
    /// A machine was met; a known name with another zone moves, and one with another version was upgraded.
    Join {
        name: String,
        zone: String,
        minor: u16,
    },
    /// Staff say that a machine is gone for good.
    Forget {
        name: String,
    },
    /// Fleet time moves on.
    Clock,
    /// Staff keep all grants back, with their reason; or let them go on. Since 1.1.
    Pause {
        reason: Option<String>,
    },
    /// Of the leader: a stream of copies whose writer is lost is written by another one from now on, in that
    /// start of its program. Since 1.2.
    Succeed {
        stream: u64,
        epoch: u64,
        name: String,
        boot: u64,
    },
    /// Of a successor: all that the stream promised was kept. Since 1.2.
    Settle {
        stream: u64,
        epoch: u64,
    },
}

impl Command {
    /// The minor version that knows this command first.
    pub fn since(&self) -> u16 {
        match self {
            Command::Pause { .. } => 1,
            Command::Succeed { .. } | Command::Settle { .. } => 2,
            _ => 0,
        }
    }
}

/// Who writes a stream of copies whose first writer is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Authority {
    pub name: String,
    pub boot: u64,
    /// Grows with each succession; 0 is the first writer's.
    pub epoch: u64,
}

/// A machine of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    pub zone: String,
    /// The minor version that it spoke last.
    pub minor: u16,
}

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    #[error("no machine of that name is known: {0}")]
    UnknownMachine(String),
    #[error("no work on {0} was asked for")]
    NoWork(String),
    #[error("work on {0} is asked for already, and is {1}")]
    AskedAlready(String, String),
    #[error("work on {machine} is {state}: {why}")]
    NotNow { machine: String, state: String, why: String },
    #[error("grant {told} of {machine} is not the present one, {present}")]
    Fenced { machine: String, told: u64, present: u64 },
    #[error("decided by the state {basis}, and it is {version}")]
    Stale { basis: u64, version: u64 },
    #[error("{0} machines are out, and {1} may be")]
    TooManyOut(usize, u32),
    #[error("machines of zone {0} are out")]
    OtherZone(String),
    #[error("the council would lose its majority")]
    Majority,
    #[error("work on {0} comes first")]
    After(String),
    #[error("{0} comes after itself")]
    AfterItself(String),
    #[error("{0} is alive, and cannot be forgotten")]
    Alive(String),
    #[error("all work is paused: {0}")]
    Paused(String),
    #[error("{0} speaks {MAJOR}.{1}, and this needs {MAJOR}.{2} everywhere")]
    TooOld(String, u16, u16),
    #[error("there are too many {0}")]
    TooMany(String),
    #[error("a text is longer than {LONGEST_TEXT}")]
    TooLong,
    /// No leader took it, or none that could answer in time: what became of it is not known.
    #[error("no majority of the council answers")]
    NoMajority,
    #[error("{0}")]
    Not(String),
}

pub type Outcome = Result<(), Refusal>;

/// A voting member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agreed {
    /// Changes of the state of work so far.
    pub version: u64,
    /// Fleet time: what leaders have measured by their monotonic clocks, added up. Wall clocks play no part.
    pub time_ms: Millis,
    pub last_grant: u64,
    /// By their numbers in the raft engine.
    pub voters: BTreeMap<u64, Voter>,
    /// Numbers that voted once and never do again: their disks are discarded or lost, the last of them.
    retired: VecDeque<u64>,
    /// All machines of call agents that were met and not forgotten.
    pub roster: BTreeMap<String, Machine>,
    /// Why staff keep all grants back, if they do.
    pub paused: Option<String>,
    /// The newest minor version of any command so far: whoever speaks an older one can't read the log.
    pub spoken: u16,
    /// Oldest first.
    pub open: Vec<Item>,
    pub over: VecDeque<Item>,
    answered: VecDeque<(CommandId, Outcome)>,
    /// Streams of copies that successors write.
    pub streams: BTreeMap<u64, Authority>,
    /// Those that are over, the last of them.
    pub settled: VecDeque<u64>,
}

impl Agreed {
    /// By which epoch a stream is written; `None` once it is over.
    pub fn epoch(&self, stream: u64) -> Option<u64> {
        let epoch = self.streams.get(&stream).map_or(0, |authority| authority.epoch);
        (!self.settled.contains(&stream)).then_some(epoch)
    }

    /// The request about a machine that is not over.
    pub fn item(&self, machine: &str) -> Option<&Item> {
        self.open.iter().find(|item| item.machine == machine)
    }

    /// Machines that count as out by what is agreed.
    pub fn out(&self) -> impl Iterator<Item = &Item> {
        self.open.iter().filter(|item| item.state.counts_as_out())
    }

    /// The engine has other voters now; `added` tells of new ones.
    pub fn voters_are(&mut self, ids: &[u64], added: Vec<(u64, Voter)>) {
        let before: Vec<u64> = self.voters.keys().copied().collect();
        self.voters.extend(added);
        self.voters.retain(|id, _| ids.contains(id));
        self.retired.extend(before.into_iter().filter(|id| !ids.contains(id)));
        self.retired.drain(..self.retired.len().saturating_sub(MOST_RETIRED));
        self.version += 1;
    }

    /// Whether a disk that voted once was replaced: a member with such a number is about to begin anew.
    pub fn is_retired(&self, id: u64) -> bool {
        self.retired.contains(&id)
    }

    /// Whether all members can read a command. Those that are away count: they come back as they went.
    ///
    /// # Errors
    /// One can't.
    pub fn level(&self, command: &Command) -> Result<(), Refusal> {
        let since = command.since();
        match self.roster.iter().find(|(_, machine)| machine.minor < since) {
            Some((name, machine)) => Err(Refusal::TooOld(name.clone(), machine.minor, since)),
            None => Ok(()),
        }
    }

    /// What became of a command, if it is remembered.
    pub fn answer(&self, id: CommandId) -> Option<&Outcome> {
        self.answered.iter().find(|(known, _)| *known == id).map(|(_, outcome)| outcome)
    }

    /// Carries out one entry. One that was said before is not done again, and gets the same answer.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        self.time_ms = self.time_ms.max(entry.at_ms);
        if let Some(outcome) = self.answer(entry.id) {
            return outcome.clone();
        }
        self.spoken = self.spoken.max(entry.command.since());
        let outcome = self.carry_out(&entry.command);
        if self.answered.len() >= MOST_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back((entry.id, outcome.clone()));
        outcome
    }

    fn carry_out(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Clock => Ok(()),
            Command::Pause { reason } => {
                if reason.as_deref().is_some_and(is_long) {
                    return Err(Refusal::TooLong);
                }
                self.paused.clone_from(reason);
                self.version += 1;
                Ok(())
            }
            Command::Succeed { stream, epoch, name, boot } => {
                let present = self.epoch(*stream).unwrap_or(u64::MAX);
                // Exactly one: whoever was decided on by an older epoch is none.
                if present.checked_add(1) != Some(*epoch) {
                    let machine = format!("stream {stream:x}");
                    return Err(Refusal::Fenced { machine, told: *epoch, present });
                }
                if self.streams.len() >= MOST_STREAMS && !self.streams.contains_key(stream) {
                    return Err(Refusal::TooMany("successions".into()));
                }
                let authority = Authority { name: name.clone(), boot: *boot, epoch: *epoch };
                self.streams.insert(*stream, authority);
                self.version += 1;
                Ok(())
            }
            Command::Settle { stream, epoch } => {
                let present = self.epoch(*stream).unwrap_or(u64::MAX);
                if present != *epoch || !self.streams.contains_key(stream) {
                    let machine = format!("stream {stream:x}");
                    return Err(Refusal::Fenced { machine, told: *epoch, present });
                }
                self.streams.remove(stream);
                self.settled.push_back(*stream);
                self.settled.drain(..self.settled.len().saturating_sub(MOST_STREAMS));
                self.version += 1;
                Ok(())
            }
            Command::Join { name, zone, minor } => {
                if self.roster.len() >= MOST_MACHINES && !self.roster.contains_key(name) {
                    return Err(Refusal::TooMany("machines".into()));
                }
                self.roster.insert(name.clone(), Machine { zone: zone.clone(), minor: *minor });
                self.version += 1;
                Ok(())
            }
            Command::Forget { name } => {
                self.roster.remove(name).ok_or_else(|| Refusal::UnknownMachine(name.clone()))?;
                self.version += 1;
                Ok(())
            }
            Command::Add { machine, kind, zone, reason, for_ms, after, within_ms } => {
                self.add(machine, *kind, zone, reason, *for_ms, after, *within_ms)
            }
            Command::Grant { machine, basis, most_out } => self.grant(machine, *basis, *most_out),
            Command::Extend { machine, more_ms } => {
                self.step(machine, Event::Extend)?;
                let time = self.time_ms;
                if let Some(item) = self.open.iter_mut().find(|item| item.machine == *machine) {
                    item.for_ms = item.for_ms.saturating_add(*more_ms);
                    item.due_ms = item.due_ms.map(|due| due.max(time).saturating_add(*more_ms));
                }
                Ok(())
            }
            Command::Withdraw { machine } => self.step(machine, Event::Withdraw),
            Command::Finish { machine } => self.step(machine, Event::Finish),
            Command::About { machine, grant, event } => {
                let present = self.item(machine).ok_or_else(|| Refusal::NoWork(machine.clone()))?.grant;
                // The fence: a number that is not the present one is an older one.
                if present != Some(*grant) {
                    let (machine, present) = (machine.clone(), present.unwrap_or(0));
                    return Err(Refusal::Fenced { machine, told: *grant, present });
                }
                self.step(machine, *event)
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        machine: &str,
        kind: Kind,
        zone: &str,
        reason: &str,
        for_ms: Millis,
        after: &[String],
        within_ms: Option<Millis>,
    ) -> Outcome {
        if let Some(item) = self.item(machine) {
            return Err(Refusal::AskedAlready(machine.into(), item.state.word().into()));
        }
        if kind == Kind::Agent && !self.roster.contains_key(machine) {
            return Err(Refusal::UnknownMachine(machine.into()));
        }
        if self.open.len() >= MOST_OPEN || after.len() > MOST_OPEN {
            return Err(Refusal::TooMany("requests".into()));
        }
        if [machine, zone, reason].into_iter().chain(after.iter().map(String::as_str)).any(is_long) {
            return Err(Refusal::TooLong);
        }
        if after.iter().any(|before| before == machine || self.comes_after(before, machine)) {
            return Err(Refusal::AfterItself(machine.into()));
        }
        let zone = self.roster.get(machine).map_or(zone, |known| &known.zone).to_string();
        self.open.push(Item {
            machine: machine.into(),
            kind,
            zone,
            reason: reason.into(),
            for_ms,
            asked_ms: self.time_ms,
            until_ms: within_ms.map(|within| self.time_ms.saturating_add(within)),
            after: after.to_vec(),
            state: State::Requested,
            drained: false,
            grant: None,
            since_ms: self.time_ms,
            due_ms: None,
            passed: 0,
        });
        self.version += 1;
        Ok(())
    }

    /// Whether `machine` waits for `other`, straight or by others.
    fn comes_after(&self, machine: &str, other: &str) -> bool {
        let mut looked = Vec::new();
        let mut look = vec![machine];
        while let Some(name) = look.pop() {
            if looked.contains(&name) {
                continue;
            }
            looked.push(name);
            for before in self.item(name).into_iter().flat_map(|item| &item.after) {
                if before == other {
                    return true;
                }
                look.push(before);
            }
        }
        false
    }

    /// Whether all that a request comes after is over.
    pub fn is_its_turn(&self, item: &Item) -> Result<(), Refusal> {
        match item.after.iter().find(|before| self.item(before).is_some()) {
            Some(before) => Err(Refusal::After(before.clone())),
            None => Ok(()),
        }
    }

    /// What the log itself holds to, whoever leads: nothing while staff say so, never more than `most_out`,
    /// never two zones, never the majority of the council.
    pub fn bounds(&self, machine: &str, most_out: u32) -> Result<(), Refusal> {
        let item = self.item(machine).ok_or_else(|| Refusal::NoWork(machine.into()))?;
        self.is_its_turn(item)?;
        if let Some(reason) = &self.paused {
            return Err(Refusal::Paused(reason.clone()));
        }
        let out: Vec<&Item> = self.out().filter(|other| other.machine != machine).collect();
        if out.len() >= most_out as usize {
            return Err(Refusal::TooManyOut(out.len(), most_out));
        }
        if item.kind == Kind::Agent {
            let other = out.iter().find(|other| other.kind == Kind::Agent && other.zone != item.zone);
            if let Some(other) = other {
                return Err(Refusal::OtherZone(other.zone.clone()));
            }
            let left = self.voters.values().filter(|voter| {
                voter.name != machine && !out.iter().any(|other| other.machine == voter.name)
            });
            let votes = self.voters.values().any(|voter| voter.name == machine);
            if votes && 2 * left.count() <= self.voters.len() {
                return Err(Refusal::Majority);
            }
        }
        Ok(())
    }

    fn grant(&mut self, machine: &str, basis: u64, most_out: u32) -> Outcome {
        // Whoever decided by another state than this one may have missed a grant.
        if basis != self.version {
            return Err(Refusal::Stale { basis, version: self.version });
        }
        self.bounds(machine, most_out)?;
        let waiting: Vec<String> = self
            .open
            .iter()
            .filter(|item| item.state == State::Requested && item.machine != machine)
            .filter(|item| self.is_its_turn(item).is_ok())
            .map(|item| item.machine.clone())
            .collect();
        self.step(machine, Event::Grant)?;
        for item in self.open.iter_mut().filter(|item| waiting.contains(&item.machine)) {
            item.passed += 1;
        }
        Ok(())
    }

    fn step(&mut self, machine: &str, event: Event) -> Outcome {
        let (time, number) = (self.time_ms, self.last_grant + 1);
        let place = self.open.iter().position(|item| item.machine == machine);
        let place = place.ok_or_else(|| Refusal::NoWork(machine.into()))?;
        let item = &mut self.open[place];
        let next = step(item.state, item.drained, event).map_err(|why: NotNow| Refusal::NotNow {
            machine: machine.into(),
            state: item.state.word().into(),
            why: why.to_string(),
        })?;
        let drained = item.drained || event == Event::Drained;
        if next == item.state && drained == item.drained {
            return Ok(());
        }
        if next != item.state {
            item.since_ms = time;
        }
        match next {
            State::Granted => {
                item.grant = Some(number);
                self.last_grant = number;
            }
            State::Draining if event == Event::Begin => {
                item.due_ms = Some(time.saturating_add(item.for_ms));
            }
            State::Requested => item.drained = false,
            _ => {}
        }
        (item.state, item.drained) = (next, drained);
        self.version += 1;
        if next.is_over() {
            let item = self.open.remove(place);
            if self.over.len() >= MOST_OVER {
                self.over.pop_front();
            }
            self.over.push_back(item);
        }
        Ok(())
    }
}

fn is_long(text: &str) -> bool {
    text.len() > LONGEST_TEXT
}
