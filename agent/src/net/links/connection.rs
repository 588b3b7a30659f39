//! One open connection to a server: what is out on it, and by what it is taken for silent or quiet.

use std::collections::BTreeMap;

use steprelay_core::NotSent;
use steprelay_decisions::{CallId, Micros};

use super::untold::{RecentReleases, Untold};
use super::{NOTICED, NO_PROOF};
use crate::ports::conn::Outbox;
use crate::ports::dispatch::Dispatch;
use crate::ports::ToServer;

/// A connection that owes a word is taken for silent after so many times the longest pause it lately made,
/// or after what all servers' pauses tell if that is longer, within these bounds: a server that is short of
/// processor answers late on a connection that is well, and of one that is asked now and then little is
/// known.
const PAUSES: Micros = 3;
pub const SOON: Micros = 120_000;
pub const LATE: Micros = 2_000_000;
/// The longest pause that is remembered falls by one part in so many with each shorter one. Time alone tells
/// nothing: where a server is asked every few seconds, the one pause before would be all that counts.
const FORGETS: Micros = 10;
/// What is rare among pauses before any is known.
const RARE: Micros = 1_000_000;
/// A connection on which calls stand is tested once it has brought no word for so many times the mean pause
/// between its words, since their releases come on it; but not within the second. Tests are work for
/// servers, and those of all call agents add up: where little comes anyway, a pause tells little, and the
/// limit for a release alone says when.
const QUIET: Micros = 3;
pub const SOON_QUIET: Micros = 1_000_000;
/// The mean moves by one part in so many with each word.
const WORDS: Micros = 8;

/// The pauses of all servers before a word that is owed: mean and mean deviation, and what follows from
/// these, as RFC 6298 has it (2.1 to 2.3) for one connection.
#[derive(Clone, Copy, Default)]
pub struct Pauses(pub Option<(Micros, Micros)>);

impl Pauses {
    pub fn take(&mut self, pause: Micros) {
        self.0 = Some(match self.0 {
            None => (pause, pause / 2),
            Some((mean, deviation)) => {
                let away = (mean - pause).abs();
                (mean - mean / 8 + pause / 8, deviation - deviation / 4 + away / 4)
            }
        });
    }

    /// A pause that is longer is a rare one.
    pub fn rare(self) -> Micros {
        self.0.map_or(RARE, |(mean, deviation)| mean + 4 * deviation)
    }
}

/// A connection that is open.
pub struct Conn {
    pub epoch: u64,
    pub outbox: Outbox<ToServer>,
    /// Set-ups that wait on it for an answer.
    pub out: BTreeMap<CallId, Dispatch>,
    pub heard: Micros,
    /// Since when it has owed a word, and the longest that lately took.
    pub owes: Option<Micros>,
    pub longest: Micros,
    /// When the last word about a call came, and the mean pause between two.
    pub word: Micros,
    pub pause: Option<Micros>,
    pub releases: RecentReleases,
}

impl Conn {
    pub fn new(epoch: u64, outbox: Outbox<ToServer>, now: Micros) -> Self {
        Conn {
            epoch,
            outbox,
            out: BTreeMap::new(),
            heard: now,
            owes: None,
            longest: 0,
            word: now,
            pause: None,
            releases: RecentReleases::default(),
        }
    }

    pub fn post(&mut self, message: ToServer, now: Micros) -> Result<(), NotSent> {
        let out = match &message {
            ToServer::SetUp(set_up, dispatch) => Some((set_up.call, dispatch.clone())),
            // One that has not left needs no giving up.
            ToServer::GiveUp(call) if self.out.remove(call).is_some_and(|dispatch| dispatch.cancel()) => {
                return Ok(());
            }
            _ => None,
        };
        let owes = out.is_some() || matches!(message, ToServer::Probe(_));
        let released = match &message {
            ToServer::Release(call, cause) => Some((*call, *cause)),
            _ => None,
        };
        if !self.outbox.post(message) {
            let gone = self.outbox.is_closed();
            return Err(if gone { NotSent::Unreachable } else { NotSent::QueueFull });
        }
        if let Some((call, cause)) = released {
            self.releases.posted(now, call, cause);
        }
        if owes {
            self.out.extend(out);
            self.owes.get_or_insert(now);
        }
        Ok(())
    }

    /// Takes back a set-up, unless a byte of it has left.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        let queued = self.out.get(&call).is_some_and(|dispatch| !dispatch.has_begun() && dispatch.cancel());
        queued && self.out.remove(&call).is_some()
    }

    /// The same for all of them.
    pub fn take_queued(&mut self) -> Vec<CallId> {
        let out: Vec<CallId> = self.out.keys().copied().collect();
        out.into_iter().filter(|call| self.withdraw(*call)).collect()
    }

    /// Something came on it; returns whether that answers a set-up that waits.
    pub fn heard(&mut self, about: Option<CallId>, now: Micros) -> bool {
        if let Some(since) = self.owes {
            self.longest = (self.longest - self.longest / FORGETS).max(now - since);
        }
        self.heard = now;
        self.releases.heard(now);
        if about.is_some() {
            let (pause, mean) = (now - self.word, self.pause);
            self.pause = Some(mean.map_or(pause, |mean| mean - mean / WORDS + pause / WORDS));
            self.word = now;
        }
        let answers = about.is_some_and(|call| self.out.remove(&call).is_some());
        self.owes = (!self.out.is_empty()).then_some(now);
        answers
    }

    /// How long it may owe a word.
    pub fn patience(&self, of_all: Pauses) -> Micros {
        (PAUSES * self.longest).max(of_all.rare()).clamp(SOON, LATE)
    }

    /// From when on it is silent, where it owes a word.
    pub fn silent_from(&self, of_all: Pauses) -> Option<Micros> {
        self.owes.map(|since| since + self.patience(of_all))
    }

    /// It owes nothing, and has brought nothing for longer than it lately did, or than the limit for a
    /// release allows: what follows a test that is not answered takes its time too.
    pub fn is_quiet(&self, of_all: Pauses, now: Micros) -> bool {
        let latest = NOTICED - NO_PROOF - self.patience(of_all);
        let usual = self.pause.map_or(latest, |pause| (QUIET * pause).clamp(SOON_QUIET, latest));
        self.owes.is_none() && now >= self.heard + usual
    }

    /// Lets go of one that is well and on which nothing waits. The server may be writing a release on it at
    /// this moment, so it is read on until the server ends it too.
    pub fn finish(self) {
        debug_assert!(self.out.is_empty());
        if !self.outbox.post(ToServer::Finish) {
            self.outbox.cut();
        }
    }

    pub fn end(self, untold: &mut Untold) -> Vec<CallId> {
        self.outbox.cut();
        let out: Vec<CallId> = self.out.into_keys().collect();
        untold.connection_ended(&out, self.releases);
        out
    }
}
