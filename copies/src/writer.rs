//! The writer of a stream: numbers its changes, and sees to it that its holders have them.
//!
//! Each holder is told what follows the last change that it is known to have; one that lacks more than is
//! kept gets the whole in parts. Nothing waits for a slow holder: others are chosen in its place.

use std::collections::{BTreeMap, VecDeque};

use crate::words::{Part, Word, MOST_RECORDS};
use crate::{Call, Change, Millis, Record, StreamId};

/// Changes that are kept for holders that lag; past that they get the whole.
const MOST_KEPT: usize = 8_192;
/// Changes that are under way to one holder.
const UNDER_WAY: u64 = 4_096;
/// Parts of a whole that are under way to one holder.
const PARTS_UNDER_WAY: u32 = 4;
/// What is not confirmed is said again after this.
const AGAIN: Millis = 300;
/// Or after so many answers that confirm nothing new: the one before was lost on its way.
const LACKS: u32 = 3;
/// A holder that has confirmed nothing new for so long while something is owed to it is passed over.
const SLOW: Millis = 1_500;

/// How many are to hold each change, and how many must before anybody is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub copies: usize,
    pub needed: usize,
}

#[derive(Debug)]
struct HeldBy {
    /// Its start: another one holds nothing.
    boot: u64,
    held: u64,
    sent: u64,
    /// When it last confirmed something new, or was last owed nothing; and when it was last told again what
    /// it had not confirmed.
    moved: Millis,
    again: Millis,
    /// How often it confirmed nothing new since: it lacks what comes next.
    nothing_new: u32,
    whole: Option<Sending>,
    full: bool,
}

#[derive(Debug)]
struct Sending {
    number: u64,
    parts: Vec<Part>,
    sent: u32,
    came: u32,
}

impl HeldBy {
    fn new(now: Millis, boot: u64) -> Self {
        HeldBy { boot, held: 0, sent: 0, moved: now, again: now, nothing_new: 0, whole: None, full: false }
    }
}

/// One stream, at its writer.
#[derive(Debug)]
pub struct Writer {
    stream: StreamId,
    epoch: u64,
    limits: Limits,
    number: u64,
    records: BTreeMap<Call, Record>,
    /// The last changes, the latest last.
    kept: VecDeque<Change>,
    holders: BTreeMap<String, HeldBy>,
    /// Those that are told that they hold it no more.
    dropped: Vec<String>,
    covered: u64,
    fenced: bool,
}

impl Writer {
    /// A stream that begins.
    pub fn new(stream: StreamId, limits: Limits) -> Self {
        Writer {
            stream,
            epoch: 0,
            limits,
            number: 0,
            records: BTreeMap::new(),
            kept: VecDeque::new(),
            holders: BTreeMap::new(),
            dropped: Vec::new(),
            covered: 0,
            fenced: false,
        }
    }

    /// One that is written on by a successor, from what was found of it.
    pub fn resume(
        stream: StreamId,
        epoch: u64,
        limits: Limits,
        number: u64,
        records: BTreeMap<Call, Record>,
    ) -> Self {
        Writer { epoch, number: number + 1, records, ..Writer::new(stream, limits) }
    }

    pub fn stream(&self) -> StreamId {
        self.stream
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The number of the last change.
    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn records(&self) -> &BTreeMap<Call, Record> {
        &self.records
    }

    /// Whether a holder has said that another one writes this stream.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// A change; returns its number.
    pub fn note(&mut self, call: Call, record: Option<Record>) -> u64 {
        match record {
            Some(record) => self.records.insert(call, record),
            None => self.records.remove(&call),
        };
        self.number += 1;
        self.kept.push_back((call, record));
        if self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
        self.number
    }

    /// All that there is from now on, in place of what was noted; returns the number of that change.
    pub fn replace(&mut self, records: BTreeMap<Call, Record>) -> u64 {
        self.records = records;
        self.number += 1;
        self.kept.clear();
        self.number
    }

    /// The last state of each call that changed since all holders had everything: some may not know of it.
    pub fn unsure(&self) -> Vec<Change> {
        let held = self.holders.values().map(|holder| holder.held).min().unwrap_or(0);
        let oldest = self.number - self.kept.len() as u64;
        let from = held.saturating_sub(oldest) as usize;
        let calls: std::collections::BTreeSet<Call> =
            self.kept.range(from.min(self.kept.len())..).map(|(call, _)| *call).collect();
        calls.into_iter().map(|call| (call, self.records.get(&call).copied())).collect()
    }

    /// Those that are to hold it from now on, with their starts.
    pub fn place(&mut self, now: Millis, holders: &[(String, u64)]) {
        let gone = |name: &String| !holders.iter().any(|(holder, _)| holder == name);
        self.dropped.extend(self.holders.keys().filter(|name| gone(name)).cloned());
        self.holders.retain(|name, _| !gone(name));
        for (name, boot) in holders {
            let holder = self.holders.entry(name.clone()).or_insert_with(|| HeldBy::new(now, *boot));
            if holder.boot != *boot {
                *holder = HeldBy::new(now, *boot);
            }
        }
    }

    pub fn holders(&self) -> impl Iterator<Item = &str> {
        self.holders.keys().map(String::as_str)
    }

    /// Holders that lag for too long, or have no room: others should be chosen.
    pub fn slow(&self, now: Millis) -> impl Iterator<Item = &str> {
        let late = move |holder: &HeldBy| holder.held < self.number && now > holder.moved + SLOW;
        self.holders
            .iter()
            .filter(move |(_, holder)| holder.full || late(holder))
            .map(|(name, _)| name.as_str())
    }

    /// The last change that enough others hold. It never goes back.
    pub fn covered(&self) -> u64 {
        if self.limits.needed == 0 {
            return self.number;
        }
        self.covered
    }

    /// The last change that `copies` others hold now.
    pub fn copied(&self) -> u64 {
        self.held_by(self.limits.copies)
    }

    /// Whether enough others would take a change now: as many as are needed, none of them late.
    pub fn has_room(&self, now: Millis) -> bool {
        let slow = self.slow(now).count();
        self.holders.len() - slow >= self.limits.needed
    }

    /// Records that fewer than `copies` others hold, at most.
    pub fn under_copied(&self) -> usize {
        let lacking = self.number - self.copied();
        self.records.len().min(usize::try_from(lacking).unwrap_or(usize::MAX))
    }

    fn held_by(&self, count: usize) -> u64 {
        if count == 0 {
            return self.number;
        }
        let mut held: Vec<u64> = self.holders.values().map(|holder| holder.held).collect();
        held.sort_unstable_by(|one, other| other.cmp(one));
        held.get(count - 1).copied().unwrap_or(0)
    }

    /// What is to be said now, and to whom.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Word)> {
        let (stream, epoch, number) = (self.stream, self.epoch, self.number);
        let mut words: Vec<(String, Word)> =
            self.dropped.drain(..).map(|name| (name, Word::Drop { stream, epoch })).collect();
        if self.fenced {
            return words;
        }
        let oldest = number - self.kept.len() as u64;
        for (name, holder) in &mut self.holders {
            if holder.held >= number {
                holder.moved = now;
            }
            let again = now >= holder.moved.max(holder.again) + AGAIN || holder.nothing_new >= LACKS;
            if again {
                (holder.again, holder.nothing_new) = (now, 0);
            }
            if holder.whole.is_none() && (holder.held < oldest || holder.held == 0 && oldest > 0) {
                let parts = Part::all(&self.records);
                holder.whole = Some(Sending { number, parts, sent: 0, came: 0 });
            }
            if let Some(whole) = &mut holder.whole {
                if again {
                    whole.sent = whole.came;
                }
                let until = (whole.came + PARTS_UNDER_WAY).min(whole.parts.len() as u32);
                for part in &whole.parts[whole.sent as usize..until as usize] {
                    let (number, part) = (whole.number, part.clone());
                    words.push((name.clone(), Word::Whole { stream, epoch, number, part }));
                }
                whole.sent = until;
                continue;
            }
            if again {
                holder.sent = holder.held;
            }
            while holder.sent < number && holder.sent < holder.held + UNDER_WAY {
                let from = (holder.sent - oldest) as usize;
                let changes: Vec<Change> = self.kept.range(from..).take(MOST_RECORDS).copied().collect();
                let after = holder.sent;
                holder.sent += changes.len() as u64;
                words.push((name.clone(), Word::Changes { stream, epoch, after, changes }));
            }
        }
        words
    }

    /// A word of a holder, in its start `boot`.
    pub fn received(&mut self, now: Millis, from: &str, boot: u64, word: Word) {
        let (stream, epoch) = (self.stream, self.epoch);
        let known = self.holders.get_mut(from).filter(|holder| holder.boot == boot);
        match word {
            Word::Fenced { stream: of, epoch: by } if of == stream && by > epoch => self.fenced = true,
            Word::Full { stream: of, epoch: by } if (of, by) == (stream, epoch) => {
                known.into_iter().for_each(|holder| holder.full = true);
            }
            Word::Holds { stream: of, epoch: by, number, parts } if (of, by) == (stream, epoch) => {
                let Some(holder) = known.filter(|_| number <= self.number) else { return };
                // It has lost what it held; a late word of before only has the whole sent once more.
                if number == 0 && parts == 0 && holder.held > 0 {
                    *holder = HeldBy { moved: holder.moved, ..HeldBy::new(now, boot) };
                    return;
                }
                if number > holder.held {
                    (holder.held, holder.moved, holder.nothing_new) = (number, now, 0);
                    holder.sent = holder.sent.max(number);
                } else if number == holder.held && number < holder.sent {
                    holder.nothing_new += 1;
                }
                if let Some(whole) = &mut holder.whole {
                    if number >= whole.number {
                        holder.whole = None;
                    } else if parts > whole.came && parts <= whole.sent {
                        (whole.came, holder.moved) = (parts, now);
                    }
                }
                self.covered = self.covered.max(self.held_by(self.limits.needed));
            }
            _ => {}
        }
    }
}
