//! The timers of the core. A timer is identified by its event, so each event is scheduled at most once, and
//! the number of timers follows from the number of calls and releases that they belong to.

use std::collections::{BTreeSet, HashMap};

use steprelay_decisions::{CallId, Micros};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerEvent {
    Tick,
    CallTimer(CallId),
    /// The attempt with this number was not answered in time.
    AttemptTimeout(CallId, u32),
    /// The time for the call's final answer has come, even if an attempt is in flight.
    AnswerDeadline(CallId),
    /// The delivery of a release is checked again.
    DeliveryCheck(CallId),
    /// No member claimed this release in time.
    ClaimTimeout(CallId),
    /// Idle connections are closed.
    IdleSweep,
    /// Connections without open calls are closed while clients are drained.
    DrainSweep,
    /// The shutdown deadline is near: all open calls get their final answers.
    FinalAnswers,
}

/// The scheduled timers, in the order in which they expire.
#[derive(Debug, Default)]
pub struct Timers {
    queue: BTreeSet<(Micros, TimerEvent)>,
    scheduled: HashMap<TimerEvent, Micros>,
}

impl Timers {
    /// Schedules an event; a timer of the same event is replaced.
    pub fn schedule(&mut self, at: Micros, event: TimerEvent) {
        if let Some(earlier) = self.scheduled.insert(event, at) {
            self.queue.remove(&(earlier, event));
        }
        self.queue.insert((at, event));
    }

    /// Removes the timer of an event, if there is one.
    pub fn cancel(&mut self, event: TimerEvent) {
        if let Some(at) = self.scheduled.remove(&event) {
            self.queue.remove(&(at, event));
        }
    }

    /// When the first timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Takes the first timer if it has expired by now.
    pub fn pop_expired(&mut self, now: Micros) -> Option<TimerEvent> {
        self.queue.first().filter(|(at, _)| *at <= now)?;
        let (_, event) = self.queue.pop_first()?;
        self.scheduled.remove(&event);
        Some(event)
    }

    /// Number of scheduled timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
