//! Last stage: counts the outcomes of calls and attempts, and checks the invariants.

use std::collections::BTreeMap;

use steprelay_decisions::{CallId, Outcome, ServerId};

use super::ended_calls::{EndedCalls, Execution};
use super::Verdict;

/// Violations of the core's rules: asserted in debug builds; counted, and the violation prevented, in release
/// builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    SentWhenOver,
    SecondAttempt,
    TooManyAttempts,
    SentToDraining,
    ResentEarly,
    HeldToDeadline,
    AnsweredTwice,
}

impl Breach {
    pub const ALL: [Breach; 7] = [
        Breach::SentWhenOver,
        Breach::SecondAttempt,
        Breach::TooManyAttempts,
        Breach::SentToDraining,
        Breach::ResentEarly,
        Breach::HeldToDeadline,
        Breach::AnsweredTwice,
    ];
}

/// Final answers to set-ups of one class. Calls that their callers gave up before the answer are not
/// included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Calls that were established.
    pub success: u64,
    /// Calls that were refused and can safely be retried.
    pub overload: u64,
    /// Calls that failed or were invalid.
    pub error: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub offered: u64,
    /// Set-ups with the id of an open or answered call.
    pub repeated: u64,
    pub established: u64,
    pub refused: u64,
    pub failed: u64,
    pub invalid: u64,
    /// Calls given up by their callers.
    pub abandoned: u64,
    /// Established calls that ended normally, and those that were cut off.
    pub released: u64,
    pub cut: u64,
    pub released_unknown: u64,
    pub releases_lost: u64,
    /// Releases that were delivered on a further connection, and those that were delivered and never
    /// acknowledged.
    pub releases_redelivered: u64,
    pub releases_unacknowledged: u64,
    /// How often a server was declared unreachable, and the calls that ended with that.
    pub servers_out_of_reach: u64,
    pub ended_out_of_reach: u64,
    pub answered_late: u64,
    /// Connections of clients that were closed to free capacity for other clients.
    pub evicted_clients: u64,
    /// Connections of clients that were closed since a message on them was not completed.
    pub stalled_clients: u64,
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
    /// Its connection was closed before the answer: the same set-up may arrive again on another connection.
    ConnectionLost,
    /// Its connection was closed before the answer, and a server was sent it: it may have run, and the same
    /// set-up is not sent again.
    LeftAttempted,
    /// Another member has told the caller, or is about to.
    HandledElsewhere,
    /// Its attempt, taken over from a lost member, was aborted here; this member has not told the caller
    /// anything.
    AttemptAborted,
}

impl CallEnd {
    /// Whether the caller has its final answer, or will get it only from another member.
    pub fn is_final(self) -> bool {
        match self {
            CallEnd::Answered | CallEnd::HandledElsewhere | CallEnd::AttemptAborted => true,
            CallEnd::ConnectionLost | CallEnd::LeftAttempted => false,
        }
    }
}

#[derive(Default)]
pub struct Accounting {
    pub counts: Counts,
    servers: BTreeMap<ServerId, ServerCounts>,
    ended: EndedCalls,
}

impl Accounting {
    /// `ended_calls`: ids of ended calls in one generation.
    pub fn new(classes: usize, ended_calls: usize) -> Self {
        let counts = Counts { classes: vec![ClassCounts::default(); classes], ..Counts::default() };
        Accounting { counts, ended: EndedCalls::new(ended_calls), ..Accounting::default() }
    }

    fn class(&mut self, class: Option<usize>, count: impl FnOnce(&mut ClassCounts) -> &mut u64) {
        if let Some(counts) = class.and_then(|class| self.counts.classes.get_mut(class)) {
            *count(counts) += 1;
        }
    }

    pub fn server(&self, server: ServerId) -> ServerCounts {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Drops the counts of all other servers.
    pub fn keep_servers(&mut self, is_shown: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_shown(*server));
    }

    pub fn ended(&self, call: CallId) -> Option<CallEnd> {
        self.ended.get(call)
    }

    pub fn record_end(&mut self, call: CallId, end: CallEnd) {
        self.ended.record(call, end, Execution::Attempted);
    }

    /// Records the end of a call of which no server was told.
    pub fn record_unattempted_end(&mut self, call: CallId) {
        self.ended.record(call, CallEnd::Answered, Execution::NotAttempted);
    }

    /// Records that another member handles the end of the call, unless this member told the caller.
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

    /// Counts the answer to a set-up that could not be parsed into a request. Its call id may be any, so none
    /// is recorded.
    pub fn invalid_set_up(&mut self, class: Option<usize>) {
        self.counts.invalid += 1;
        self.class(class, |counts| &mut counts.error);
    }

    /// Counts a final answer to a call that is not established.
    pub fn final_answer(
        &mut self,
        call: CallId,
        class: Option<usize>,
        verdict: Verdict,
        execution: Execution,
    ) {
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
        self.ended.record(call, CallEnd::Answered, execution);
    }

    pub fn record_breach(&mut self, breach: Breach) {
        self.counts.breaches[breach as usize] += 1;
        debug_assert!(false, "must not happen: {breach:?}");
    }
}
