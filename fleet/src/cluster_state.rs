//! The replicated state of the cluster: determined by the log alone, entry by entry, and so identical on
//! all members.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::maintenance::{transition, Event, InvalidTransition, MaintenanceRequest, State, TargetKind};
use crate::messages::MAJOR;
use crate::Millis;

/// Bound on open maintenance requests, large enough for one per machine of a cluster.
pub const MAX_OPEN_REQUESTS: usize = 1024;
/// Number of closed requests that are kept for inspection.
const MAX_CLOSED_REQUESTS: usize = 64;
/// Number of commands whose outcomes are remembered, so that a command received twice is executed once.
const MAX_RECORDED_OUTCOMES: usize = 512;
/// Bound on the machines in the roster.
pub const MAX_ROSTER_ENTRIES: usize = 1024;
/// Number of former voters that are remembered.
const MAX_RETIRED_IDS: usize = 256;
/// Bound on the replication streams owned by successors, and on the closed streams that are remembered.
const MAX_STREAMS: usize = 1024;
/// Bound on each text of a request, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Identifies a command: its origin (a boot identifier, unique per process start) and the origin's count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId {
    pub origin: u64,
    pub count: u64,
}

/// A log entry. Encoded by postcard, by position, like everything it contains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    pub id: CommandId,
    /// The leader's estimate of cluster time, in milliseconds; the applied time never decreases.
    pub at_ms: Millis,
    pub command: Command,
}

/// A command that is replicated through the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// An operator requests maintenance of a machine.
    Add {
        machine: String,
        kind: TargetKind,
        zone: String,
        reason: String,
        for_ms: Millis,
        after: Vec<String>,
        /// Lifetime of the request, counted from now.
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
    /// Proposed by the leader, which decided by the cluster state of version `base_version`.
    Approve {
        machine: String,
        base_version: u64,
        max_out: u32,
    },
    /// An event reported by the machine itself, or by the leader: for check servers, and for machines that
    /// are lost or overdue.
    ReportEvent {
        machine: String,
        approval: u64,
        event: Event,
    },
    /// Adds a machine to the roster, or updates its zone or its protocol version.
    Join {
        name: String,
        zone: String,
        minor: u16,
    },
    /// An operator removes a machine for good.
    Forget {
        name: String,
    },
    /// Advances the cluster time.
    AdvanceClock,
    /// An operator suspends all approvals, giving a reason, or resumes them with `None`. Since 1.1.
    Pause {
        reason: Option<String>,
    },
    /// Proposed by the leader: a stream whose primary is lost is owned by this member from now on, in that
    /// process start. Since 1.2.
    FailOver {
        stream: u64,
        epoch: u64,
        name: String,
        boot: u64,
    },
    /// Proposed by a successor: all pending work of the stream is done. Since 1.2.
    CloseStream {
        stream: u64,
        epoch: u64,
    },
}

impl Command {
    /// The minor protocol version that introduced this command.
    pub fn introduced_in(&self) -> u16 {
        match self {
            Command::Pause { .. } => 1,
            Command::FailOver { .. } | Command::CloseStream { .. } => 2,
            _ => 0,
        }
    }
}

/// The successor that owns a stream whose first primary is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOwner {
    pub name: String,
    pub boot: u64,
    /// Fencing token: grows with each failover; 0 is the first primary's.
    pub epoch: u64,
}

/// A machine of a call agent in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RosterEntry {
    pub zone: String,
    /// The minor protocol version it spoke last.
    pub minor: u16,
}

/// Why a command was rejected. Encoded by position in the log's outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    #[error("no machine of that name is known: {0}")]
    UnknownMachine(String),
    #[error("no work on {0} was requested")]
    NoRequest(String),
    #[error("work on {0} is already requested, and is {1}")]
    AlreadyRequested(String, String),
    #[error("work on {machine} is {state}: {why}")]
    InvalidTransition { machine: String, state: String, why: String },
    #[error("{received} is not the current grant or epoch of {machine}, {current}")]
    Fenced { machine: String, received: u64, current: u64 },
    #[error("decided by state version {base_version}, and the current one is {version}")]
    StaleVersion { base_version: u64, version: u64 },
    #[error("{0} machines are out, at most {1} may be")]
    TooManyOut(usize, u32),
    #[error("machines of zone {0} are out")]
    OtherZone(String),
    #[error("the consensus group would lose its majority")]
    QuorumAtRisk,
    #[error("work on {0} must be over first")]
    WaitsFor(String),
    #[error("{0} depends on itself")]
    CyclicDependency(String),
    #[error("{0} is alive, and cannot be forgotten")]
    StillAlive(String),
    #[error("all work is paused: {0}")]
    Paused(String),
    #[error("{0} speaks {MAJOR}.{1}, and this needs {MAJOR}.{2} everywhere")]
    VersionTooOld(String, u16, u16),
    #[error("there are too many {0}")]
    LimitReached(String),
    #[error("a text is longer than {MAX_TEXT_BYTES} bytes")]
    TextTooLong,
    /// No leader accepted the command, or none could respond in time. Its outcome is unknown.
    #[error("no majority of the consensus group responds")]
    NoQuorum,
    #[error("{0}")]
    NotAllowed(String),
}

/// The outcome of a command.
pub type Outcome = Result<(), Rejection>;

/// A voting member of the consensus group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// The replicated state. Encoded by postcard, by position, on disk and between members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// Number of changes to this state so far.
    pub version: u64,
    /// Cluster time in milliseconds: the sum of what successive leaders measured by their monotonic clocks.
    /// Wall clocks play no part.
    pub time_ms: Millis,
    /// The highest approval number issued.
    pub last_approval: u64,
    /// By their Raft identifiers.
    pub voters: BTreeMap<u64, Voter>,
    /// Raft identifiers that no longer vote, the latest of them: their disks are discarded or lost, and
    /// none of them votes again.
    retired: VecDeque<u64>,
    /// All call agents' machines that joined and were not forgotten.
    pub roster: BTreeMap<String, RosterEntry>,
    /// Reason why operators suspended approvals, if they did.
    pub paused: Option<String>,
    /// The newest minor version of any command so far: a member that speaks an older one can't read the
    /// log.
    pub required_minor: u16,
    /// Oldest first.
    pub open_requests: Vec<MaintenanceRequest>,
    /// The latest closed requests, oldest first.
    pub closed_requests: VecDeque<MaintenanceRequest>,
    /// Outcomes of the latest commands, oldest first.
    outcomes: VecDeque<(CommandId, Outcome)>,
    /// Replication streams owned by successors.
    pub stream_owners: BTreeMap<u64, StreamOwner>,
    /// The latest closed streams.
    pub closed_streams: VecDeque<u64>,
}

impl ClusterState {
    /// The current epoch of a stream; `None` once it is closed.
    pub fn epoch(&self, stream: u64) -> Option<u64> {
        let epoch = self.stream_owners.get(&stream).map_or(0, |authority| authority.epoch);
        (!self.closed_streams.contains(&stream)).then_some(epoch)
    }

    /// The open request for a machine.
    pub fn open_request(&self, machine: &str) -> Option<&MaintenanceRequest> {
        self.open_requests.iter().find(|item| item.machine == machine)
    }

    /// Requests whose machines count as out.
    pub fn machines_out(&self) -> impl Iterator<Item = &MaintenanceRequest> {
        self.open_requests.iter().filter(|item| item.state.counts_as_out())
    }

    /// Applies a change of voters; `added` describes the new ones.
    pub fn set_voters(&mut self, ids: &[u64], added: Vec<(u64, Voter)>) {
        let before: Vec<u64> = self.voters.keys().copied().collect();
        self.voters.extend(added);
        self.voters.retain(|id, _| ids.contains(id));
        self.retired.extend(before.into_iter().filter(|id| !ids.contains(id)));
        self.retired.drain(..self.retired.len().saturating_sub(MAX_RETIRED_IDS));
        self.version += 1;
    }

    /// Whether this identifier voted once and was replaced: a member that still has it is about to take a
    /// new one.
    pub fn is_retired(&self, id: u64) -> bool {
        self.retired.contains(&id)
    }

    /// Whether all members can read a command. Members that are away count, since they may return with the
    /// version that they left with.
    ///
    /// # Errors
    ///
    /// A member's version is too old.
    pub fn check_supported(&self, command: &Command) -> Result<(), Rejection> {
        let introduced_in = command.introduced_in();
        match self.roster.iter().find(|(_, machine)| machine.minor < introduced_in) {
            Some((name, machine)) => {
                Err(Rejection::VersionTooOld(name.clone(), machine.minor, introduced_in))
            }
            None => Ok(()),
        }
    }

    /// The outcome of a command, if it is still remembered.
    pub fn outcome_of(&self, id: CommandId) -> Option<&Outcome> {
        self.outcomes.iter().find(|(known, _)| *known == id).map(|(_, outcome)| outcome)
    }

    /// Applies a log entry. A command that was applied before is not executed again and has the same
    /// outcome.
    pub fn apply(&mut self, entry: &LogEntry) -> Outcome {
        self.time_ms = self.time_ms.max(entry.at_ms);
        if let Some(outcome) = self.outcome_of(entry.id) {
            return outcome.clone();
        }
        self.required_minor = self.required_minor.max(entry.command.introduced_in());
        let outcome = self.execute(&entry.command);
        if self.outcomes.len() >= MAX_RECORDED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((entry.id, outcome.clone()));
        outcome
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        match command {
            Command::AdvanceClock => Ok(()),
            Command::Pause { reason } => {
                if reason.as_deref().is_some_and(is_too_long) {
                    return Err(Rejection::TextTooLong);
                }
                self.paused.clone_from(reason);
                self.version += 1;
                Ok(())
            }
            Command::FailOver { stream, epoch, name, boot } => {
                let current = self.epoch(*stream).unwrap_or(u64::MAX);
                // Exactly one successor per epoch: a failover decided by an older epoch is void.
                if current.checked_add(1) != Some(*epoch) {
                    let machine = format!("stream {stream:x}");
                    return Err(Rejection::Fenced { machine, received: *epoch, current });
                }
                if self.stream_owners.len() >= MAX_STREAMS && !self.stream_owners.contains_key(stream) {
                    return Err(Rejection::LimitReached("streams that failed over".into()));
                }
                let authority = StreamOwner { name: name.clone(), boot: *boot, epoch: *epoch };
                self.stream_owners.insert(*stream, authority);
                self.version += 1;
                Ok(())
            }
            Command::CloseStream { stream, epoch } => {
                let current = self.epoch(*stream).unwrap_or(u64::MAX);
                if current != *epoch || !self.stream_owners.contains_key(stream) {
                    let machine = format!("stream {stream:x}");
                    return Err(Rejection::Fenced { machine, received: *epoch, current });
                }
                self.stream_owners.remove(stream);
                self.closed_streams.push_back(*stream);
                self.closed_streams.drain(..self.closed_streams.len().saturating_sub(MAX_STREAMS));
                self.version += 1;
                Ok(())
            }
            Command::Join { name, zone, minor } => {
                if self.roster.len() >= MAX_ROSTER_ENTRIES && !self.roster.contains_key(name) {
                    return Err(Rejection::LimitReached("machines".into()));
                }
                self.roster.insert(name.clone(), RosterEntry { zone: zone.clone(), minor: *minor });
                self.version += 1;
                Ok(())
            }
            Command::Forget { name } => {
                self.roster.remove(name).ok_or_else(|| Rejection::UnknownMachine(name.clone()))?;
                self.version += 1;
                Ok(())
            }
            Command::Add { machine, kind, zone, reason, for_ms, after, within_ms } => {
                self.add(machine, *kind, zone, reason, *for_ms, after, *within_ms)
            }
            Command::Approve { machine, base_version, max_out } => {
                self.approve(machine, *base_version, *max_out)
            }
            Command::Extend { machine, more_ms } => {
                self.transition(machine, Event::Extend)?;
                let time = self.time_ms;
                if let Some(item) = self.open_requests.iter_mut().find(|item| item.machine == *machine) {
                    item.for_ms = item.for_ms.saturating_add(*more_ms);
                    item.due_at_ms = item.due_at_ms.map(|due| due.max(time).saturating_add(*more_ms));
                }
                Ok(())
            }
            Command::Withdraw { machine } => self.transition(machine, Event::Withdraw),
            Command::Finish { machine } => self.transition(machine, Event::Finish),
            Command::ReportEvent { machine, approval, event } => {
                let current =
                    self.open_request(machine).ok_or_else(|| Rejection::NoRequest(machine.clone()))?.approval;
                // Fencing: an approval number other than the current one is outdated.
                if current != Some(*approval) {
                    let (machine, current) = (machine.clone(), current.unwrap_or(0));
                    return Err(Rejection::Fenced { machine, received: *approval, current });
                }
                self.transition(machine, *event)
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        machine: &str,
        kind: TargetKind,
        zone: &str,
        reason: &str,
        for_ms: Millis,
        after: &[String],
        within_ms: Option<Millis>,
    ) -> Outcome {
        if let Some(item) = self.open_request(machine) {
            return Err(Rejection::AlreadyRequested(machine.into(), item.state.as_str().into()));
        }
        if kind == TargetKind::Agent && !self.roster.contains_key(machine) {
            return Err(Rejection::UnknownMachine(machine.into()));
        }
        if self.open_requests.len() >= MAX_OPEN_REQUESTS || after.len() > MAX_OPEN_REQUESTS {
            return Err(Rejection::LimitReached("requests".into()));
        }
        if [machine, zone, reason].into_iter().chain(after.iter().map(String::as_str)).any(is_too_long) {
            return Err(Rejection::TextTooLong);
        }
        if after.iter().any(|before| before == machine || self.depends_on(before, machine)) {
            return Err(Rejection::CyclicDependency(machine.into()));
        }
        let zone = self.roster.get(machine).map_or(zone, |known| &known.zone).to_string();
        self.open_requests.push(MaintenanceRequest {
            machine: machine.into(),
            kind,
            zone,
            reason: reason.into(),
            for_ms,
            requested_at_ms: self.time_ms,
            expires_at_ms: within_ms.map(|within| self.time_ms.saturating_add(within)),
            after: after.to_vec(),
            state: State::Requested,
            drained: false,
            approval: None,
            state_since_ms: self.time_ms,
            due_at_ms: None,
            times_passed_over: 0,
        });
        self.version += 1;
        Ok(())
    }

    /// Whether `machine` waits for `other`, directly or through others.
    fn depends_on(&self, machine: &str, other: &str) -> bool {
        let mut visited = Vec::new();
        let mut pending = vec![machine];
        while let Some(name) = pending.pop() {
            if visited.contains(&name) {
                continue;
            }
            visited.push(name);
            for before in self.open_request(name).into_iter().flat_map(|item| &item.after) {
                if before == other {
                    return true;
                }
                pending.push(before);
            }
        }
        false
    }

    /// Checks that all requests that this one waits for are closed.
    pub fn check_dependencies(&self, item: &MaintenanceRequest) -> Result<(), Rejection> {
        match item.after.iter().find(|before| self.open_request(before).is_some()) {
            Some(before) => Err(Rejection::WaitsFor(before.clone())),
            None => Ok(()),
        }
    }

    /// Limits that the log enforces under any leader: no approval while operators suspend them, at most
    /// `max_out` machines out, machines of one zone only, and a majority of the voters stays.
    pub fn check_limits(&self, machine: &str, max_out: u32) -> Result<(), Rejection> {
        let item = self.open_request(machine).ok_or_else(|| Rejection::NoRequest(machine.into()))?;
        self.check_dependencies(item)?;
        if let Some(reason) = &self.paused {
            return Err(Rejection::Paused(reason.clone()));
        }
        let out: Vec<&MaintenanceRequest> =
            self.machines_out().filter(|other| other.machine != machine).collect();
        if out.len() >= max_out as usize {
            return Err(Rejection::TooManyOut(out.len(), max_out));
        }
        if item.kind == TargetKind::Agent {
            let other = out.iter().find(|other| other.kind == TargetKind::Agent && other.zone != item.zone);
            if let Some(other) = other {
                return Err(Rejection::OtherZone(other.zone.clone()));
            }
            let left = self.voters.values().filter(|voter| {
                voter.name != machine && !out.iter().any(|other| other.machine == voter.name)
            });
            let votes = self.voters.values().any(|voter| voter.name == machine);
            if votes && 2 * left.count() <= self.voters.len() {
                return Err(Rejection::QuorumAtRisk);
            }
        }
        Ok(())
    }

    fn approve(&mut self, machine: &str, base_version: u64, max_out: u32) -> Outcome {
        // A decision by an older state may have missed an approval.
        if base_version != self.version {
            return Err(Rejection::StaleVersion { base_version, version: self.version });
        }
        self.check_limits(machine, max_out)?;
        let waiting: Vec<String> = self
            .open_requests
            .iter()
            .filter(|item| item.state == State::Requested && item.machine != machine)
            .filter(|item| self.check_dependencies(item).is_ok())
            .map(|item| item.machine.clone())
            .collect();
        self.transition(machine, Event::Approve)?;
        for item in self.open_requests.iter_mut().filter(|item| waiting.contains(&item.machine)) {
            item.times_passed_over += 1;
        }
        Ok(())
    }

    fn transition(&mut self, machine: &str, event: Event) -> Outcome {
        let (time, number) = (self.time_ms, self.last_approval + 1);
        let position = self.open_requests.iter().position(|item| item.machine == machine);
        let position = position.ok_or_else(|| Rejection::NoRequest(machine.into()))?;
        let item = &mut self.open_requests[position];
        let next = transition(item.state, item.drained, event).map_err(|why: InvalidTransition| {
            Rejection::InvalidTransition {
                machine: machine.into(),
                state: item.state.as_str().into(),
                why: why.to_string(),
            }
        })?;
        let drained = item.drained || event == Event::Drained;
        if next == item.state && drained == item.drained {
            return Ok(());
        }
        if next != item.state {
            item.state_since_ms = time;
        }
        match next {
            State::Approved => {
                item.approval = Some(number);
                self.last_approval = number;
            }
            State::Draining if event == Event::Begin => {
                item.due_at_ms = Some(time.saturating_add(item.for_ms));
            }
            State::Requested => item.drained = false,
            _ => {}
        }
        (item.state, item.drained) = (next, drained);
        self.version += 1;
        if next.is_over() {
            let item = self.open_requests.remove(position);
            if self.closed_requests.len() >= MAX_CLOSED_REQUESTS {
                self.closed_requests.pop_front();
            }
            self.closed_requests.push_back(item);
        }
        Ok(())
    }
}

fn is_too_long(text: &str) -> bool {
    text.len() > MAX_TEXT_BYTES
}
