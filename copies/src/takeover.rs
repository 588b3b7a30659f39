//! The beginning of a succession: the successor asks all that may hold a stream, and takes up the most that
//! any of them has. Holders have prefixes of one stream, so the longest one of the latest epoch knows all
//! that any of the others knows.

use std::collections::BTreeMap;

use crate::words::{Gather, Word};
use crate::{Call, Millis, Record, StreamId};

/// Who has not answered is asked again after this.
const AGAIN: Millis = 200;
/// Who is alive, by what others say, and has not answered after this is waited for no more: a release may
/// take 8 s, and most of that is gone by now.
const PATIENCE: Millis = 2_000;

#[derive(Debug)]
struct Asked {
    said: Option<Millis>,
    /// By which epoch it was written, and what came of it so far.
    gather: Option<(u64, Gather)>,
    done: bool,
}

/// What a holder has, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub epoch: u64,
    pub number: u64,
    pub records: BTreeMap<Call, Record>,
}

#[derive(Debug)]
pub struct Takeover {
    stream: StreamId,
    epoch: u64,
    since: Millis,
    asked: BTreeMap<String, Asked>,
    best: Option<Found>,
    fenced: bool,
}

impl Takeover {
    /// `own`: what the successor holds itself; `others`: all that may hold something.
    pub fn new(now: Millis, stream: StreamId, epoch: u64, own: Option<Found>, others: &[String]) -> Self {
        let asked = |name: &String| (name.clone(), Asked { said: None, gather: None, done: false });
        let asked = others.iter().map(asked).collect();
        Takeover { stream, epoch, since: now, asked, best: own, fenced: false }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Another one succeeds by a later epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What is to be asked now.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Word)> {
        let (stream, epoch) = (self.stream, self.epoch);
        let waits = self.asked.iter_mut().filter(|(_, asked)| !asked.done);
        let due = waits.filter(|(_, asked)| asked.said.is_none_or(|said| now >= said + AGAIN));
        due.map(|(name, asked)| {
            asked.said = Some(now);
            let from = asked.gather.as_ref().map_or(0, |(_, gather)| gather.came());
            (name.clone(), Word::Fetch { stream, epoch, from })
        })
        .collect()
    }

    /// Only these are alive any more: nobody else is waited for.
    pub fn waits_for(&mut self, is_alive: impl Fn(&str) -> bool) {
        self.asked.retain(|name, asked| asked.done || is_alive(name));
    }

    pub fn received(&mut self, from: &str, word: Word) {
        match word {
            Word::Fenced { stream, epoch } if stream == self.stream => self.fenced |= epoch > self.epoch,
            Word::Fetched { stream, epoch, held, number, part }
                if (stream, epoch) == (self.stream, self.epoch) =>
            {
                let Some(asked) = self.asked.get_mut(from).filter(|asked| !asked.done) else { return };
                let gather = match &mut asked.gather {
                    Some((by, gather)) if *by == held && gather.fits(number, &part) => gather,
                    other => &mut other.insert((held, Gather::new(number, part.of))).1,
                };
                let before = gather.came();
                asked.done = gather.take(part);
                if gather.came() > before {
                    // The next part is asked for at once.
                    asked.said = None;
                }
                if !asked.done {
                    return;
                }
                let Some((epoch, gather)) = asked.gather.take() else { return };
                let number = gather.number;
                let more = |best: &Found| (best.epoch, best.number) < (epoch, number);
                if self.best.as_ref().is_none_or(more) {
                    let records = gather.records().into_iter().collect();
                    self.best = Some(Found { epoch, number, records });
                }
            }
            _ => {}
        }
    }

    /// What is taken up, once enough have answered. `None`: others are still waited for.
    pub fn found(&self, now: Millis) -> Option<Found> {
        let all = self.asked.values().all(|asked| asked.done);
        let enough = all || now.saturating_sub(self.since) >= PATIENCE;
        (enough && !self.fenced).then(|| self.best.clone().unwrap_or_default())
    }
}
