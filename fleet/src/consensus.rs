//! One member of the consensus group: the Raft engine, its storage, and the order of writes and messages.
//!
//! The engine ([`raft::RawNode`]) is driven by ticks and messages. What it wants persisted is emitted as
//! [`Write`] before every message that depends on it ([`Output`]s are in this order). A caller that writes
//! before it sends therefore never sends a vote or an entry that a crash could undo.

use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::{GetEntriesContext, RaftState, RawNode, SnapshotStatus, StateRole, Storage, StorageError};

/// An election starts after this many ticks without a message from the leader, and after less than twice as
/// many.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Extra delay of the first candidate, so that no other voter still considers the leader alive.
const FIRST_CANDIDATE_DELAY_TICKS: usize = 2;
/// Number of applied entries after which the log is compacted into a snapshot.
const ENTRIES_PER_SNAPSHOT: u64 = 64;
/// Bounds on the messages in flight to one follower, and on the bytes of one message.
const MAX_INFLIGHT_MESSAGES: usize = 64;
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;

/// What must be on disk before any later output is carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Term, vote and commit index.
    HardState(Vec<u8>),
    /// Entries by index. Existing entries from the first of these indices on are replaced.
    Entries(Vec<(u64, Vec<u8>)>),
    /// The state at an index. Entries up to this index may be deleted; with `replace_all`, all entries are.
    Snapshot { index: u64, bytes: Vec<u8>, replace_all: bool },
}

/// What was on disk at the start.
#[derive(Clone, Debug, Default)]
pub struct PersistedLog {
    pub hard: Vec<u8>,
    pub snapshot: Vec<u8>,
    pub entries: Vec<Vec<u8>>,
}

/// What the caller must do, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    Write(Write),
    Send {
        to: u64,
        bytes: Vec<u8>,
    },
    /// A committed entry. Emitted once, in log order.
    Apply {
        index: u64,
        data: Vec<u8>,
    },
    /// The set of voters changed: the Raft identifiers of the present voters, and the context of the
    /// change.
    VotersChanged {
        ids: Vec<u64>,
        context: Vec<u8>,
    },
    /// Replaces the whole state by a snapshot.
    Restore {
        data: Vec<u8>,
        ids: Vec<u64>,
    },
}

/// Why a persisted log is unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    #[error("the persisted log can't be decoded: {0}")]
    PersistedLog(#[from] protobuf::ProtobufError),
    #[error("the Raft engine rejects the persisted log: {0}")]
    Engine(#[from] raft::Error),
}

/// The log in memory, identical to the one on disk.
#[derive(Default)]
struct LogStore {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl LogStore {
    fn compacted_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.compacted_index(), |entry| entry.index)
    }

    fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        self.entries.extend_from_slice(entries);
    }
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let voters = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: voters })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted_index() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let from = (low - self.compacted_index() - 1) as usize;
        let until = (high - self.compacted_index() - 1) as usize;
        let mut found = self.entries[from.min(self.entries.len())..until.min(self.entries.len())].to_vec();
        raft::util::limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.compacted_index() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.compacted_index() - 1) as usize);
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, requested_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.compacted_index() < requested_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

/// A member of the consensus group.
pub struct Consensus {
    raw: RawNode<LogStore>,
    voters: ConfState,
    applied: u64,
}

impl Consensus {
    /// The initial log of a new group: `id` as the only voter, and `data` as the state.
    pub fn initial_snapshot(id: u64, data: Vec<u8>) -> Write {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().set_voters(vec![id]);
        Write::Snapshot { index: 1, bytes: encode(&snapshot), replace_all: true }
    }

    /// Resumes from a persisted log; an empty one makes a member that waits to become a voter. The
    /// persisted state is returned by [`Consensus::restored_state`].
    ///
    /// # Errors
    ///
    /// The persisted log can't be decoded.
    pub fn new(id: u64, persisted: &PersistedLog) -> Result<Self, ConsensusError> {
        let mut store = LogStore::default();
        store.hard.merge_from_bytes(&persisted.hard)?;
        store.snapshot.merge_from_bytes(&persisted.snapshot)?;
        for bytes in &persisted.entries {
            store.entries.push(Entry::parse_from_bytes(bytes)?);
        }
        let compacted_index = store.compacted_index();
        store.entries.retain(|entry| entry.index > compacted_index);
        store.hard.commit = store.hard.commit.clamp(compacted_index, store.last());
        store.hard.term = store.hard.term.max(store.snapshot.get_metadata().term);
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: compacted_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            // A leader without contact to a majority steps down, and a partitioned voter starts no
            // elections that it can't win.
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let voters = store.snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Consensus { raw: RawNode::new(&config, store, &logger)?, voters, applied: compacted_index })
    }

    /// The state at the start, with its voters.
    pub fn restored_state(&self) -> Option<(Vec<u8>, Vec<u64>)> {
        let snapshot = &self.raw.store().snapshot;
        let persisted = snapshot.get_metadata().index > 0;
        persisted.then(|| (snapshot.get_data().to_vec(), self.voter_ids()))
    }

    /// The identifiers of all voters, in both halves of a joint configuration.
    pub fn voter_ids(&self) -> Vec<u64> {
        let mut ids = self.voters.get_voters().to_vec();
        ids.extend_from_slice(self.voters.get_voters_outgoing());
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether these voters together with this member are a majority, in both halves of a joint
    /// configuration.
    pub fn is_majority(&self, others: &BTreeSet<u64>) -> bool {
        let half = |voters: &[u64]| {
            let with = voters.iter().filter(|id| others.contains(id) || **id == self.raw.raft.id).count();
            voters.is_empty() || 2 * with > voters.len()
        };
        half(self.voters.get_voters()) && half(self.voters.get_voters_outgoing())
    }

    pub fn is_voter(&self) -> bool {
        self.voter_ids().contains(&self.raw.raft.id)
    }

    /// Whether a change of the voters is in progress.
    pub fn is_joint(&self) -> bool {
        !self.voters.get_voters_outgoing().is_empty() || self.raw.raft.has_pending_conf()
    }

    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Whether this member leads and has applied all that earlier leaders committed.
    pub fn has_confirmed_leadership(&self) -> bool {
        let raft = &self.raw.raft;
        self.is_leader() && raft.commit_to_current_term() && self.applied == raft.raft_log.committed
    }

    /// The Raft identifier of the current leader, if known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Advances the engine by one tick.
    pub fn tick(&mut self) {
        // The engine draws its election timeout at random, and two voters with the same timeout split the
        // votes. Here the timeout follows from the voter's rank in an order that depends on the term: no
        // two are alike, and simulations are reproducible.
        let (own, term) = (self.raw.raft.id, self.raw.raft.term);
        let priority = |id: u64| {
            ((id ^ term.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32, id)
        };
        let voters = self.voter_ids();
        let ahead = voters.iter().filter(|id| priority(**id) < priority(own)).count();
        let apart = (ELECTION_TICKS - FIRST_CANDIDATE_DELAY_TICKS) / voters.len().max(1);
        let timeout = ELECTION_TICKS + FIRST_CANDIDATE_DELAY_TICKS + ahead * apart.max(1);
        let timeout = timeout.min(2 * ELECTION_TICKS - 1);
        self.raw.raft.set_randomized_election_timeout(timeout);
        self.raw.tick();
    }

    /// Resends snapshots that are in progress, since they may have been lost.
    pub fn retry_snapshots(&mut self) {
        let waiting: Vec<u64> = self
            .raw
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == raft::ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.raw.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Passes in a message. Drops it if it can't be decoded or is for another identifier.
    pub fn receive(&mut self, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        message.to == self.raw.raft.id && self.raw.step(message).is_ok()
    }

    /// Proposes an entry, if this member leads.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        self.is_leader() && self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Changes the voters by a joint configuration change. `context` is replicated with the change.
    pub fn replace_voters(&mut self, add: &[u64], remove: &[u64], context: Vec<u8>) -> bool {
        let single = |id: u64, kind| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = id;
            change
        };
        let added = add.iter().map(|id| single(*id, ConfChangeType::AddNode));
        let removed = remove.iter().map(|id| single(*id, ConfChangeType::RemoveNode));
        let mut change = ConfChangeV2::default();
        change.set_changes(added.chain(removed).collect::<Vec<_>>().into());
        change.set_context(context.into());
        self.is_leader() && !self.is_joint() && self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Transfers leadership to another voter, before this member leaves.
    pub fn transfer_leadership(&mut self, to: u64) {
        self.raw.transfer_leader(to);
    }

    /// Runs the engine and returns what is to be done. `apply` applies an output and returns the state
    /// after it, for a snapshot.
    pub fn process_ready(&mut self, mut apply: impl FnMut(&Output) -> Vec<u8>) -> Vec<Output> {
        let mut outputs = Vec::new();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                let store = self.raw.mut_store();
                store.entries.clear();
                store.hard.commit = store.hard.commit.max(snapshot.get_metadata().index);
                store.snapshot = snapshot.clone();
                self.voters = snapshot.get_metadata().get_conf_state().clone();
                self.applied = snapshot.get_metadata().index;
                let (index, bytes) = (self.applied, encode(&snapshot));
                outputs.push(Output::Write(Write::Snapshot { index, bytes, replace_all: true }));
                let restore = Output::Restore { data: snapshot.get_data().to_vec(), ids: self.voter_ids() };
                apply(&restore);
                outputs.push(restore);
            }
            if !ready.entries().is_empty() {
                let entries = ready.take_entries();
                self.raw.mut_store().append(&entries);
                let persisted = entries.iter().map(|entry| (entry.index, encode(entry))).collect();
                outputs.push(Output::Write(Write::Entries(persisted)));
            }
            if let Some(hard) = ready.hs() {
                let hard = hard.clone();
                outputs.push(Output::Write(Write::HardState(encode(&hard))));
                self.raw.mut_store().hard = hard;
            }
            let messages = ready.take_messages().into_iter().chain(ready.take_persisted_messages());
            outputs.extend(messages.map(outgoing));
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut outputs, &mut apply);
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                let store = self.raw.mut_store();
                store.hard.commit = commit;
                let hard = encode(&store.hard);
                outputs.push(Output::Write(Write::HardState(hard)));
            }
            outputs.extend(light.take_messages().into_iter().map(outgoing));
            let committed = light.take_committed_entries();
            self.apply(committed, &mut outputs, &mut apply);
            self.raw.advance_apply();
        }
        outputs
    }

    fn apply(
        &mut self,
        entries: Vec<Entry>,
        outputs: &mut Vec<Output>,
        apply: &mut dyn FnMut(&Output) -> Vec<u8>,
    ) {
        for entry in entries {
            let index = entry.index;
            let output = match entry.get_entry_type() {
                EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => {
                    let mut change = ConfChangeV2::default();
                    if change.merge_from_bytes(&entry.data).is_err() {
                        continue;
                    }
                    let context = change.get_context().to_vec();
                    if let Ok(voters) = self.raw.apply_conf_change(&change) {
                        self.voters = voters;
                    }
                    Some(Output::VotersChanged { ids: self.voter_ids(), context })
                }
                // A new leader's first entry is empty.
                EntryType::EntryNormal if entry.data.is_empty() => None,
                EntryType::EntryNormal => Some(Output::Apply { index, data: entry.data.to_vec() }),
            };
            self.applied = index;
            let Some(output) = output else { continue };
            let state = apply(&output);
            let changed = matches!(output, Output::VotersChanged { .. });
            outputs.push(output);
            if changed || index >= self.raw.store().compacted_index() + ENTRIES_PER_SNAPSHOT {
                outputs.push(Output::Write(self.compact(index, entry.term, state)));
            }
        }
    }

    /// Compacts the log up to `index` into a snapshot.
    fn compact(&mut self, index: u64, term: u64, state: Vec<u8>) -> Write {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.voters.clone());
        let bytes = encode(&snapshot);
        let store = self.raw.mut_store();
        store.entries.retain(|entry| entry.index > index);
        store.snapshot = snapshot;
        Write::Snapshot { index, bytes, replace_all: false }
    }
}

fn outgoing(message: Message) -> Output {
    Output::Send { to: message.to, bytes: encode(&message) }
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Fails only if a required field is missing, and these messages have none.
    message.write_to_bytes().unwrap_or_default()
}

/// The log as it is on disk: the sum of all [`Write`]s. Stores on disk behave the same.
#[derive(Clone, Debug, Default)]
pub struct LogImage {
    hard: Vec<u8>,
    snapshot: Vec<u8>,
    entries: BTreeMap<u64, Vec<u8>>,
}

impl LogImage {
    pub fn write(&mut self, write: Write) {
        match write {
            Write::HardState(bytes) => self.hard = bytes,
            Write::Entries(entries) => {
                if let Some((first, _)) = entries.first() {
                    self.entries.split_off(first);
                }
                self.entries.extend(entries);
            }
            Write::Snapshot { index, bytes, replace_all } => {
                self.snapshot = bytes;
                self.entries =
                    if replace_all { BTreeMap::new() } else { self.entries.split_off(&(index + 1)) };
            }
        }
    }

    /// The log in the form that [`Consensus::new`] takes.
    pub fn persisted(&self) -> PersistedLog {
        PersistedLog {
            hard: self.hard.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}
