//! What a member holds for others: of each stream a prefix, and by which epoch it may be written on.

use std::collections::BTreeMap;

use crate::words::{Gather, Part, Word};
use crate::{Call, Millis, Record, StreamId};

/// Streams and records that are held, at most.
const MOST_STREAMS: usize = 256;
const MOST_HELD: usize = 1_000_000;
/// Streams that are over are remembered, so that a late word brings none back.
const MOST_OVER: usize = 1_024;

#[derive(Clone, Debug, Default)]
pub struct Copy {
    /// Who wrote it last, in which start of its program.
    writer: String,
    boot: u64,
    /// By which epoch it was written, and below which nobody may write any more.
    epoch: u64,
    fence: u64,
    number: u64,
    records: BTreeMap<Call, Record>,
    whole: Option<Gather>,
    heard: Millis,
}

impl Copy {
    pub fn writer(&self) -> &str {
        &self.writer
    }

    pub fn boot(&self) -> u64 {
        self.boot
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn records(&self) -> &BTreeMap<Call, Record> {
        &self.records
    }

    /// When its writer was last heard.
    pub fn heard(&self) -> Millis {
        self.heard
    }
}

#[derive(Debug, Default)]
pub struct Holder {
    copies: BTreeMap<StreamId, Copy>,
    over: std::collections::VecDeque<StreamId>,
}

impl Holder {
    pub fn copy(&self, stream: StreamId) -> Option<&Copy> {
        self.copies.get(&stream)
    }

    pub fn copies(&self) -> impl Iterator<Item = (StreamId, &Copy)> {
        self.copies.iter().map(|(stream, copy)| (*stream, copy))
    }

    /// Records held in all.
    pub fn held(&self) -> usize {
        self.copies.values().map(|copy| copy.records.len()).sum()
    }

    /// A stream is over: all that it promised was kept.
    pub fn over(&mut self, stream: StreamId) {
        self.copies.remove(&stream);
        if !self.over.contains(&stream) {
            self.over.push_back(stream);
            if self.over.len() > MOST_OVER {
                self.over.pop_front();
            }
        }
    }

    /// Lets go of what holds nothing and whose writer is gone.
    pub fn sweep(&mut self, is_there: impl Fn(&str, u64) -> bool) {
        self.copies.retain(|_, copy| !copy.records.is_empty() || is_there(&copy.writer, copy.boot));
    }

    /// Nobody below this epoch may write it any more.
    pub fn fence(&mut self, stream: StreamId, epoch: u64) {
        if self.copies.contains_key(&stream) || self.copies.len() < MOST_STREAMS {
            let copy = self.copies.entry(stream).or_default();
            copy.fence = copy.fence.max(epoch);
        }
    }

    /// A word of a writer or a successor, in its start `boot`; the answer to it, where one is owed.
    pub fn received(&mut self, now: Millis, from: &str, boot: u64, word: Word) -> Option<Word> {
        match word {
            Word::Changes { stream, epoch, after, changes } => {
                let copy = match self.admit(now, (from, boot), stream, epoch) {
                    Ok(copy) => copy,
                    Err(answer) => return Some(answer),
                };
                // Another writer begins with the whole, but for a stream from its first change on.
                let fits =
                    if copy.epoch == epoch { after <= copy.number } else { after == 0 && copy.number == 0 };
                if fits {
                    copy.epoch = epoch;
                    let known = (copy.number - after) as usize;
                    for (call, record) in changes.into_iter().skip(known) {
                        match record {
                            Some(record) => copy.records.insert(call, record),
                            None => copy.records.remove(&call),
                        };
                        copy.number += 1;
                    }
                }
                let number = if copy.epoch == epoch { copy.number } else { 0 };
                Some(Word::Holds { stream, epoch, number, parts: copy.parts() })
            }
            Word::Whole { stream, epoch, number, part } => {
                let copy = match self.admit(now, (from, boot), stream, epoch) {
                    Ok(copy) => copy,
                    Err(answer) => return Some(answer),
                };
                if copy.epoch == epoch && copy.number >= number {
                    return Some(Word::Holds { stream, epoch, number: copy.number, parts: 0 });
                }
                if copy.whole.as_ref().is_none_or(|whole| !whole.fits(number, &part)) {
                    copy.whole = Some(Gather::new(number, part.of));
                }
                if copy.whole.as_mut().is_some_and(|whole| whole.take(part)) {
                    let records = copy.whole.take().map(Gather::records).unwrap_or_default();
                    (copy.epoch, copy.number) = (epoch, number);
                    copy.records = records.into_iter().collect();
                }
                let number = if copy.epoch == epoch { copy.number } else { 0 };
                Some(Word::Holds { stream, epoch, number, parts: copy.parts() })
            }
            Word::Drop { stream, epoch } => {
                if self.copies.get(&stream).is_some_and(|copy| copy.epoch <= epoch && copy.fence <= epoch) {
                    self.copies.remove(&stream);
                }
                None
            }
            Word::Fetch { stream, epoch, from } => Some(self.fetch(stream, epoch, from)),
            _ => None,
        }
    }

    fn admit(
        &mut self,
        now: Millis,
        (from, boot): (&str, u64),
        stream: StreamId,
        epoch: u64,
    ) -> Result<&mut Copy, Word> {
        if self.over.contains(&stream) {
            return Err(Word::Fenced { stream, epoch: u64::MAX });
        }
        let full = self.held() >= MOST_HELD;
        let known = self.copies.contains_key(&stream);
        if !known && (full || self.copies.len() >= MOST_STREAMS) {
            return Err(Word::Full { stream, epoch });
        }
        let copy = self.copies.entry(stream).or_default();
        if epoch < copy.fence.max(copy.epoch) {
            return Err(Word::Fenced { stream, epoch: copy.fence.max(copy.epoch) });
        }
        if full {
            return Err(Word::Full { stream, epoch });
        }
        copy.fence = epoch;
        copy.heard = now;
        if copy.writer != from {
            copy.writer = from.into();
        }
        copy.boot = boot;
        Ok(copy)
    }

    fn fetch(&mut self, stream: StreamId, epoch: u64, from: u32) -> Word {
        let fence = self.copies.get(&stream).map_or(0, |copy| copy.fence);
        if fence > epoch {
            return Word::Fenced { stream, epoch: fence };
        }
        self.fence(stream, epoch);
        let Some(copy) = self.copies.get(&stream) else {
            let part = Part { place: 0, of: 1, records: Vec::new() };
            return Word::Fetched { stream, epoch, held: 0, number: 0, part };
        };
        // What is held changes no more until the successor writes: every part is of one whole.
        let parts = Part::all(&copy.records);
        let part = parts[(from as usize).min(parts.len() - 1)].clone();
        Word::Fetched { stream, epoch, held: copy.epoch, number: copy.number, part }
    }
}

impl Copy {
    fn parts(&self) -> u32 {
        self.whole.as_ref().map_or(0, Gather::came)
    }
}
