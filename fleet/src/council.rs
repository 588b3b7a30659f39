//! One voting member of the council: the raft engine, what it keeps, and the order in which things happen.
//!
//! The engine ([`raft::RawNode`]) is driven by ticks and messages. What it wants kept goes out as [`Write`]
//! ahead of every message that speaks of it ([`Step`]s are in that order), so a caller that writes before it
//! sends never speaks of a vote or an entry that a crash could undo.

use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::{GetEntriesContext, RaftState, RawNode, SnapshotStatus, StateRole, Storage, StorageError};

/// An election is called after so many ticks without a word of the leader, or up to twice as many.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// The first to ask for votes waits so much longer, so that no other still counts on the leader.
const FIRST_TICKS: usize = 2;
/// So many applied entries are folded into a snapshot.
const FOLD: u64 = 64;
/// Entries that are on their way to one follower at once, and the bytes of a message.
const MOST_INFLIGHT: usize = 64;
const LARGEST_MESSAGE: u64 = 64 * 1024;

/// What must be on disk before anything that comes after it is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Term, vote and commit.
    Hard(Vec<u8>),
    /// Entries by index. Those from the first of them on that were there before are no more.
    Entries(Vec<(u64, Vec<u8>)>),
    /// The state at an index. All that is at that index or below may go; with `whole`, all entries go.
    Snapshot { index: u64, bytes: Vec<u8>, whole: bool },
}

/// What was on disk at a start.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub hard: Vec<u8>,
    pub snapshot: Vec<u8>,
    pub entries: Vec<Vec<u8>>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Step {
    Write(Write),
    Send {
        to: u64,
        bytes: Vec<u8>,
    },
    /// A committed entry, once, in the order of the log.
    Apply {
        index: u64,
        data: Vec<u8>,
    },
    /// The voters have changed: the engine's numbers of those that vote now, and what came with the change.
    Voters {
        ids: Vec<u64>,
        context: Vec<u8>,
    },
    /// Everything before is replaced by this.
    Restore {
        data: Vec<u8>,
        ids: Vec<u64>,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum CouncilError {
    #[error("what was kept can't be read: {0}")]
    Kept(#[from] protobuf::ProtobufError),
    #[error("the engine refuses what was kept: {0}")]
    Engine(#[from] raft::Error),
}

/// The log in memory, as it is on disk.
#[derive(Default)]
struct Shelf {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Shelf {
    fn folded(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.folded(), |entry| entry.index)
    }

    fn put(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        self.entries.extend_from_slice(entries);
    }
}

impl Storage for Shelf {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let voters = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: voters })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.folded() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let from = (low - self.folded() - 1) as usize;
        let until = (high - self.folded() - 1) as usize;
        let mut found = self.entries[from.min(self.entries.len())..until.min(self.entries.len())].to_vec();
        raft::util::limit_size(&mut found, most.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.folded() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.folded() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.folded() - 1) as usize);
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.folded() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, wanted: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.folded() < wanted {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

pub struct Council {
    raw: RawNode<Shelf>,
    voters: ConfState,
    applied: u64,
}

impl Council {
    /// What the founder of a council keeps: itself as the only voter, and `data` as the state.
    pub fn founding(id: u64, data: Vec<u8>) -> Write {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().set_voters(vec![id]);
        Write::Snapshot { index: 1, bytes: encode(&snapshot), whole: true }
    }

    /// Goes on from what was kept; with nothing kept, a member that waits to be made a voter. The first step
    /// of [`Council::steps`] restores the state that was kept.
    ///
    /// # Errors
    /// What was kept can't be read.
    pub fn new(id: u64, kept: &Kept) -> Result<Self, CouncilError> {
        let mut shelf = Shelf::default();
        shelf.hard.merge_from_bytes(&kept.hard)?;
        shelf.snapshot.merge_from_bytes(&kept.snapshot)?;
        for bytes in &kept.entries {
            shelf.entries.push(Entry::parse_from_bytes(bytes)?);
        }
        let folded = shelf.folded();
        shelf.entries.retain(|entry| entry.index > folded);
        shelf.hard.commit = shelf.hard.commit.clamp(folded, shelf.last());
        shelf.hard.term = shelf.hard.term.max(shelf.snapshot.get_metadata().term);
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: folded,
            max_size_per_msg: LARGEST_MESSAGE,
            max_inflight_msgs: MOST_INFLIGHT,
            // A leader that hears no majority steps down, and one that was cut off calls no elections that
            // it can't win.
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let voters = shelf.snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Council { raw: RawNode::new(&config, shelf, &logger)?, voters, applied: folded })
    }

    /// The state at the start, with the voters of that time.
    pub fn restored(&self) -> Option<(Vec<u8>, Vec<u64>)> {
        let snapshot = &self.raw.store().snapshot;
        let kept = snapshot.get_metadata().index > 0;
        kept.then(|| (snapshot.get_data().to_vec(), self.voting()))
    }

    /// The numbers of all that vote now, in both halves of a joint change.
    pub fn voting(&self) -> Vec<u64> {
        let mut ids = self.voters.get_voters().to_vec();
        ids.extend_from_slice(self.voters.get_voters_outgoing());
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether these and this member are a majority, in both halves of a joint change.
    pub fn is_majority(&self, others: &BTreeSet<u64>) -> bool {
        let half = |voters: &[u64]| {
            let with = voters.iter().filter(|id| others.contains(id) || **id == self.raw.raft.id).count();
            voters.is_empty() || 2 * with > voters.len()
        };
        half(self.voters.get_voters()) && half(self.voters.get_voters_outgoing())
    }

    pub fn votes(&self) -> bool {
        self.voting().contains(&self.raw.raft.id)
    }

    /// Whether a change of voters is under way.
    pub fn is_joint(&self) -> bool {
        !self.voters.get_voters_outgoing().is_empty() || self.raw.raft.has_pending_conf()
    }

    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Whether it leads and has applied all that leaders before it had committed.
    pub fn leads_for_sure(&self) -> bool {
        let raft = &self.raw.raft;
        self.leads() && raft.commit_to_current_term() && self.applied == raft.raft_log.committed
    }

    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn tick(&mut self) {
        // The engine draws its patience by chance, and two that draw the same split the votes. Here it is by
        // the place among all voters in an order of the term's: no two are alike, and a life under a fake now
        // can be lived again.
        let (own, term) = (self.raw.raft.id, self.raw.raft.term);
        let draw = |id: u64| {
            ((id ^ term.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32, id)
        };
        let voters = self.voting();
        let ahead = voters.iter().filter(|id| draw(**id) < draw(own)).count();
        let apart = (ELECTION_TICKS - FIRST_TICKS) / voters.len().max(1);
        let patience = ELECTION_TICKS + FIRST_TICKS + ahead * apart.max(1);
        let patience = patience.min(2 * ELECTION_TICKS - 1);
        self.raw.raft.set_randomized_election_timeout(patience);
        self.raw.tick();
    }

    /// Those that are to be sent a snapshot anew, since the one before may have been lost.
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

    /// Takes a message in; what can't be read or is for nobody here is dropped.
    pub fn received(&mut self, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        message.to == self.raw.raft.id && self.raw.step(message).is_ok()
    }

    /// Has an entry put into the log, where this member leads.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        self.leads() && self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Replaces voters by a joint change. `context` goes with it to all members.
    pub fn replace(&mut self, add: &[u64], remove: &[u64], context: Vec<u8>) -> bool {
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
        self.leads() && !self.is_joint() && self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Gives the lead away, where this member is about to go.
    pub fn hand_over(&mut self, to: u64) {
        self.raw.transfer_leader(to);
    }

    /// What is to be done now. `state` gives the state after all that was applied, for a snapshot.
    pub fn steps(&mut self, mut apply: impl FnMut(&Step) -> Vec<u8>) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                let shelf = self.raw.mut_store();
                shelf.entries.clear();
                shelf.hard.commit = shelf.hard.commit.max(snapshot.get_metadata().index);
                shelf.snapshot = snapshot.clone();
                self.voters = snapshot.get_metadata().get_conf_state().clone();
                self.applied = snapshot.get_metadata().index;
                let (index, bytes) = (self.applied, encode(&snapshot));
                steps.push(Step::Write(Write::Snapshot { index, bytes, whole: true }));
                let restore = Step::Restore { data: snapshot.get_data().to_vec(), ids: self.voting() };
                apply(&restore);
                steps.push(restore);
            }
            if !ready.entries().is_empty() {
                let entries = ready.take_entries();
                self.raw.mut_store().put(&entries);
                let kept = entries.iter().map(|entry| (entry.index, encode(entry))).collect();
                steps.push(Step::Write(Write::Entries(kept)));
            }
            if let Some(hard) = ready.hs() {
                let hard = hard.clone();
                steps.push(Step::Write(Write::Hard(encode(&hard))));
                self.raw.mut_store().hard = hard;
            }
            let messages = ready.take_messages().into_iter().chain(ready.take_persisted_messages());
            steps.extend(messages.map(outgoing));
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut steps, &mut apply);
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                let shelf = self.raw.mut_store();
                shelf.hard.commit = commit;
                let hard = encode(&shelf.hard);
                steps.push(Step::Write(Write::Hard(hard)));
            }
            steps.extend(light.take_messages().into_iter().map(outgoing));
            let committed = light.take_committed_entries();
            self.apply(committed, &mut steps, &mut apply);
            self.raw.advance_apply();
        }
        steps
    }

    fn apply(&mut self, entries: Vec<Entry>, steps: &mut Vec<Step>, apply: &mut dyn FnMut(&Step) -> Vec<u8>) {
        for entry in entries {
            let index = entry.index;
            let step = match entry.get_entry_type() {
                EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => {
                    let mut change = ConfChangeV2::default();
                    if change.merge_from_bytes(&entry.data).is_err() {
                        continue;
                    }
                    let context = change.get_context().to_vec();
                    if let Ok(voters) = self.raw.apply_conf_change(&change) {
                        self.voters = voters;
                    }
                    Some(Step::Voters { ids: self.voting(), context })
                }
                // A new leader's first entry holds nothing.
                EntryType::EntryNormal if entry.data.is_empty() => None,
                EntryType::EntryNormal => Some(Step::Apply { index, data: entry.data.to_vec() }),
            };
            self.applied = index;
            let Some(step) = step else { continue };
            let state = apply(&step);
            let changed = matches!(step, Step::Voters { .. });
            steps.push(step);
            if changed || index >= self.raw.store().folded() + FOLD {
                steps.push(Step::Write(self.fold(index, entry.term, state)));
            }
        }
    }

    /// Folds all up to `index` into a snapshot.
    fn fold(&mut self, index: u64, term: u64, state: Vec<u8>) -> Write {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.voters.clone());
        let bytes = encode(&snapshot);
        let shelf = self.raw.mut_store();
        shelf.entries.retain(|entry| entry.index > index);
        shelf.snapshot = snapshot;
        Write::Snapshot { index, bytes, whole: false }
    }
}

fn outgoing(message: Message) -> Step {
    Step::Send { to: message.to, bytes: encode(&message) }
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Fails only where a required field is missing, and these have none.
    message.write_to_bytes().unwrap_or_default()
}

/// The log as it is on a disk: what [`Write`]s add up to. Stores do the same on their own pages.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    hard: Vec<u8>,
    snapshot: Vec<u8>,
    entries: BTreeMap<u64, Vec<u8>>,
}

impl Disk {
    pub fn write(&mut self, write: Write) {
        match write {
            Write::Hard(bytes) => self.hard = bytes,
            Write::Entries(entries) => {
                if let Some((first, _)) = entries.first() {
                    self.entries.split_off(first);
                }
                self.entries.extend(entries);
            }
            Write::Snapshot { index, bytes, whole } => {
                self.snapshot = bytes;
                self.entries = if whole { BTreeMap::new() } else { self.entries.split_off(&(index + 1)) };
            }
        }
    }

    pub fn kept(&self) -> Kept {
        Kept {
            hard: self.hard.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}
