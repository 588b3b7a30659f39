//! Last stage: what became of calls and attempts, and whether what must hold has held.

use std::collections::{BTreeMap, HashMap};

use steprelay_decisions::{CallId, Outcome, ServerId};

use super::Verdict;

/// Ids of calls that are over are kept until so many more are over, twice: late words about them are no
/// news, while words about a call of an unknown id concern one that stood before this process started.
const ENDED_CALLS_PER_GENERATION: usize = 20_000;

/// What must never happen: asserted in debug builds, counted and prevented in release builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    SentWhenCallEnd,
    SecondAttempt,
    TooManyAttempts,
    SentToDraining,
    ResentEarly,
    HeldToDeadline,
    AnsweredTwice,
}

impl Breach {
    pub const ALL: [Breach; 7] = [
        Breach::SentWhenCallEnd,
        Breach::SecondAttempt,
        Breach::TooManyAttempts,
        Breach::SentToDraining,
        Breach::ResentEarly,
        Breach::HeldToDeadline,
        Breach::AnsweredTwice,
    ];
}

/// Final answers to set-ups of one class. What its caller left before an answer is in none of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Calls that came to stand.
    pub success: u64,
    /// Refused: trying again is harmless.
    pub overload: u64,
    /// Failed, or not to be made sense of.
    pub error: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub offered: u64,
    /// Set-ups of an id that was open or answered.
    pub repeated: u64,
    pub established: u64,
    pub refused: u64,
    pub failed: u64,
    pub invalid: u64,
    /// Given up by their callers.
    pub abandoned: u64,
    /// Calls that stood and ended well, and those that were cut.
    pub released: u64,
    pub cut: u64,
    pub released_unknown: u64,
    pub releases_lost: u64,
    /// Releases that were given to a further connection, and those that were given and never acknowledged.
    pub releases_redelivered: u64,
    pub releases_unacknowledged: u64,
    /// How often a server was given up as out of reach, and calls that ended with that.
    pub servers_out_of_reach: u64,
    pub ended_out_of_reach: u64,
    pub answered_late: u64,
    /// Connections of clients that were ended for the sake of others.
    pub evicted_clients: u64,
    /// By class, in the order of the settings.
    pub classes: Vec<ClassCounts>,
    breaches: [u64; Breach::ALL.len()],
}

impl Counts {
    pub fn breaches(&self, breach: Breach) -> u64 {
        self.breaches[breach as usize]
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ServerCounts {
    pub attempts: u64,
    pub established: u64,
    pub full: u64,
    pub failed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Answered,
    /// Its connection went before an answer: the same set-up may come again on another one.
    ConnectionLost,
    /// Another member has told its caller, or is about to.
    HandledElsewhere,
    /// Its attempt, of a member that was lost, was called off here: its caller was told nothing here.
    AttemptAborted,
}

impl CallEnd {
    /// Whether its caller has its final answer, or gets it from another member if any.
    pub fn is_final(self) -> bool {
        match self {
            CallEnd::Answered | CallEnd::HandledElsewhere | CallEnd::AttemptAborted => true,
            CallEnd::ConnectionLost => false,
        }
    }
}

#[derive(Default)]
pub struct Accounting {
    pub counts: Counts,
    servers: BTreeMap<ServerId, ServerCounts>,
    ended: HashMap<CallId, CallEnd>,
    ended_before: HashMap<CallId, CallEnd>,
}

impl Accounting {
    pub fn new(classes: usize) -> Self {
        let counts = Counts { classes: vec![ClassCounts::default(); classes], ..Counts::default() };
        Accounting { counts, ..Accounting::default() }
    }

    fn class(&mut self, class: Option<usize>, count: impl FnOnce(&mut ClassCounts) -> &mut u64) {
        if let Some(counts) = class.and_then(|class| self.counts.classes.get_mut(class)) {
            *count(counts) += 1;
        }
    }

    pub fn server(&self, server: ServerId) -> ServerCounts {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Forgets the figures of all other servers.
    pub fn keep_servers(&mut self, is_shown: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_shown(*server));
    }

    pub fn ended(&self, call: CallId) -> Option<CallEnd> {
        self.ended.get(&call).or_else(|| self.ended_before.get(&call)).copied()
    }

    pub fn record_end(&mut self, call: CallId, end: CallEnd) {
        if self.ended.len() >= ENDED_CALLS_PER_GENERATION {
            self.ended_before = std::mem::take(&mut self.ended);
        }
        self.ended.insert(call, end);
    }

    /// Another member sees to it, unless its caller was told here.
    pub fn record_end_elsewhere(&mut self, call: CallId) {
        if self.ended(call) != Some(CallEnd::Answered) {
            self.record_end(call, CallEnd::HandledElsewhere);
        }
    }

    pub fn attempt_sent(&mut self, server: ServerId) {
        self.servers.entry(server).or_default().attempts += 1;
    }

    pub fn call_established(&mut self, server: ServerId, class: usize) {
        self.counts.established += 1;
        self.class(Some(class), |counts| &mut counts.success);
        self.servers.entry(server).or_default().established += 1;
    }

    pub fn attempt_unanswered(&mut self, server: ServerId, outcome: Outcome) {
        let counts = self.servers.entry(server).or_default();
        if outcome == Outcome::Full {
            counts.full += 1;
        } else {
            counts.failed += 1;
        }
    }

    pub fn call_released(&mut self, call: CallId, server: ServerId, outcome: Outcome) {
        if outcome == Outcome::Reset {
            self.counts.cut += 1;
            self.servers.entry(server).or_default().failed += 1;
        } else {
            self.counts.released += 1;
        }
        self.record_end(call, CallEnd::Answered);
    }

    /// A set-up that no request could be made of was answered; its id may be any.
    pub fn invalid_set_up(&mut self, class: Option<usize>) {
        self.counts.invalid += 1;
        self.class(class, |counts| &mut counts.error);
    }

    /// A final answer was given to a call that does not stand.
    pub fn final_answer(&mut self, call: CallId, class: Option<usize>, verdict: Verdict) {
        if self.ended(call).is_some_and(CallEnd::is_final) {
            self.record_breach(Breach::AnsweredTwice);
        }
        match verdict {
            Verdict::Refused { .. } => {
                self.counts.refused += 1;
                self.class(class, |counts| &mut counts.overload);
            }
            Verdict::Failed => {
                self.counts.failed += 1;
                self.class(class, |counts| &mut counts.error);
            }
            Verdict::Invalid => {
                self.counts.invalid += 1;
                self.class(class, |counts| &mut counts.error);
            }
        }
        self.record_end(call, CallEnd::Answered);
    }

    pub fn record_breach(&mut self, breach: Breach) {
        self.counts.breaches[breach as usize] += 1;
        debug_assert!(false, "must not happen: {breach:?}");
    }
}
