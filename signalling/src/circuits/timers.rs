//! The timers of Q.764 annex A that apply to an originating or terminating exchange.

use std::time::Duration;

use super::{Alert, Circuit, State, Trunk};
use crate::cause::{Cause, Location};
use crate::isup::{Blocking, Body};
use crate::wheel::Key;
use crate::Micros;

/// A timer that runs for a circuit or a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// REL is repeated.
    T1,
    /// REL is not acknowledged: the circuit is reset.
    T5,
    /// A call stays suspended for too long.
    T6,
    /// No backward message follows a set-up.
    T7,
    /// No answer follows.
    T9,
    /// The result of a continuity check is missing.
    T8,
    /// BLO is repeated.
    T12,
    /// BLO is not acknowledged: operators are alerted.
    T13,
    /// UBL is repeated.
    T14,
    /// UBL is not acknowledged: operators are alerted.
    T15,
    /// RSC is repeated.
    T16,
    /// RSC is not acknowledged: operators are alerted.
    T17,
    /// The peer does not repeat a failed continuity check: the circuit is reset.
    T27,
    /// The second segment of a set-up is missing.
    T34,
    /// No further digits arrive.
    T35,
    /// CGB is repeated.
    T18,
    /// CGB is not acknowledged: operators are alerted.
    T19,
    /// CGU is repeated.
    T20,
    /// CGU is not acknowledged: operators are alerted.
    T21,
    /// GRS is repeated.
    T22,
    /// GRS is not acknowledged: operators are alerted.
    T23,
    /// CQM is not answered.
    T28,
}

/// The duration of each timer in microseconds. Q.764 gives ranges, listed here; the defaults are their lower
/// ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timers {
    /// T1, T12, T14, T16, T18, T20 and T22: 15 to 60 s.
    pub repeat: Micros,
    /// T5, T13, T15, T17, T19, T21 and T23: 5 to 15 min.
    pub alert: Micros,
    /// T6: chosen by the operator.
    pub suspended: Micros,
    /// T7: 20 to 30 s.
    pub proceeding: Micros,
    /// T8: 10 to 15 s.
    pub continuity: Micros,
    /// T9: 90 s to 3 min.
    pub answer: Micros,
    /// T27: 4 min.
    pub recheck: Micros,
    /// T28: 10 s.
    pub query: Micros,
    /// T34: 2 to 4 s.
    pub segment: Micros,
    /// T35: 15 to 20 s.
    pub digits: Micros,
}

const SECOND: Micros = Duration::from_secs(1).as_micros() as Micros;

impl Default for Timers {
    fn default() -> Self {
        Timers {
            repeat: 15 * SECOND,
            alert: 300 * SECOND,
            suspended: 60 * SECOND,
            proceeding: 20 * SECOND,
            continuity: 10 * SECOND,
            answer: 90 * SECOND,
            recheck: 240 * SECOND,
            query: 10 * SECOND,
            segment: 2 * SECOND,
            digits: 15 * SECOND,
        }
    }
}

impl Timers {
    pub(super) fn duration(&self, timer: Timer) -> Micros {
        match timer {
            Timer::T1 | Timer::T12 | Timer::T14 | Timer::T16 | Timer::T18 | Timer::T20 | Timer::T22 => {
                self.repeat
            }
            Timer::T5 | Timer::T13 | Timer::T15 | Timer::T17 | Timer::T19 | Timer::T21 | Timer::T23 => {
                self.alert
            }
            Timer::T6 => self.suspended,
            Timer::T7 => self.proceeding,
            Timer::T8 => self.continuity,
            Timer::T9 => self.answer,
            Timer::T27 => self.recheck,
            Timer::T28 => self.query,
            Timer::T34 => self.segment,
            Timer::T35 => self.digits,
        }
    }
}

/// The timer slots of a circuit: two for the progress of its call, one for suspension or continuity, and two
/// for blocking.
pub(super) const TIMER_SLOTS: usize = 5;
/// The slots that belong to the call; these come first.
const CALL_TIMER_SLOTS: usize = 3;

impl Timer {
    /// The slot of the circuit that holds the timer.
    fn slot(self) -> usize {
        match self {
            Timer::T1 | Timer::T7 | Timer::T9 | Timer::T16 | Timer::T27 | Timer::T34 => 0,
            Timer::T5 | Timer::T17 | Timer::T35 => 1,
            Timer::T6 | Timer::T8 => 2,
            Timer::T12 | Timer::T14 => 3,
            Timer::T13 | Timer::T15 => 4,
            Timer::T18 | Timer::T19 | Timer::T20 | Timer::T21 | Timer::T22 | Timer::T23 | Timer::T28 => {
                unreachable!("a group's timer is held by the group")
            }
        }
    }
}

/// The timer that an entry of the timer wheel stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerTarget {
    Circuit(Circuit, Timer),
    /// The timer of a group, by the group's number.
    Group(u64, Timer),
}

impl Trunk {
    pub(super) fn start_timer(&mut self, now: Micros, circuit: Circuit, timer: Timer) {
        let at = now + self.config.timers.duration(timer);
        let key = self.wheel.set(at, TimerTarget::Circuit(circuit, timer));
        let previous = self.record_mut(circuit).timers[timer.slot()].replace(key);
        self.cancel(previous);
    }

    pub(super) fn stop_timer(&mut self, circuit: Circuit, timer: Timer) {
        let key = self.records.get_mut(&circuit).and_then(|record| record.timers[timer.slot()].take());
        self.cancel(key);
    }

    pub(super) fn stop_call_timers(&mut self, circuit: Circuit) {
        for slot in 0..CALL_TIMER_SLOTS {
            let key = self.records.get_mut(&circuit).and_then(|record| record.timers[slot].take());
            self.cancel(key);
        }
    }

    fn cancel(&mut self, key: Option<Key>) {
        if let Some(key) = key {
            self.wheel.cancel(key);
        }
    }

    pub(super) fn start_group_timer(&mut self, now: Micros, number: u64, timer: Timer) -> Key {
        self.wheel.set(now + self.config.timers.duration(timer), TimerTarget::Group(number, timer))
    }

    pub(super) fn timer_expired(&mut self, now: Micros, target: TimerTarget) {
        let (circuit, timer) = match target {
            TimerTarget::Group(number, timer) => return self.group_timer_expired(now, number, timer),
            TimerTarget::Circuit(circuit, timer) => (circuit, timer),
        };
        if let Some(record) = self.records.get_mut(&circuit) {
            record.timers[timer.slot()] = None;
        }
        let state = self.state(circuit).clone();
        match (timer, state) {
            (Timer::T1, State::Releasing { cause, congestion }) => {
                let location = Location::BeyondInterworking;
                self.send(circuit, Body::Release { cause, location, congestion });
                self.start_timer(now, circuit, Timer::T1);
            }
            (Timer::T5, State::Releasing { .. }) => {
                self.alert(circuit, Alert::ReleaseUnacknowledged);
                self.reset(now, circuit);
            }
            (Timer::T16, State::Resetting) => {
                self.send(circuit, Body::ResetCircuit);
                self.start_timer(now, circuit, Timer::T16);
            }
            (Timer::T17, State::Resetting) => {
                self.alert(circuit, Alert::ResetUnacknowledged);
                self.stop_timer(circuit, Timer::T16);
                self.send(circuit, Body::ResetCircuit);
                self.start_timer(now, circuit, Timer::T17);
            }
            (Timer::T6, State::IncomingEstablished { .. } | State::OutgoingEstablished { .. }) => {
                self.report_call_end(circuit, Cause::TIMER, Location::BeyondInterworking, None);
                self.release(now, circuit, Cause::TIMER, None);
            }
            (Timer::T7, State::SetUpSent { .. }) => {
                self.report_call_end(circuit, Cause::TIMER, Location::BeyondInterworking, None);
                self.release(now, circuit, Cause::TIMER, None);
            }
            (Timer::T9, State::Proceeding { .. }) => {
                self.report_call_end(circuit, Cause::NO_ANSWER, Location::BeyondInterworking, None);
                self.release(now, circuit, Cause::NO_ANSWER, None);
            }
            (Timer::T8, State::IncompleteSetUp { missing, .. }) if missing.continuity => {
                self.release(now, circuit, Cause::TEMPORARY, None);
            }
            // The peer has not repeated the continuity check.
            (Timer::T27, State::ContinuityFailed | State::Checking) => self.reset(now, circuit),
            // The call goes on with the first segment alone.
            (Timer::T34, State::IncompleteSetUp { missing, .. }) if missing.segment => {
                self.complete_segments(circuit, "")
            }
            (Timer::T35, State::IncompleteSetUp { missing, .. }) if missing.digits => {
                self.release(now, circuit, Cause::ADDRESS_INCOMPLETE, None);
            }
            (Timer::T12 | Timer::T14, _) => {
                self.send_blocking(circuit);
                self.start_timer(now, circuit, timer);
            }
            (Timer::T13 | Timer::T15, _) => {
                let is_blocking = timer == Timer::T13;
                self.alert(
                    circuit,
                    if is_blocking { Alert::BlockUnacknowledged } else { Alert::UnblockUnacknowledged },
                );
                self.stop_timer(circuit, if is_blocking { Timer::T12 } else { Timer::T14 });
                self.send_blocking(circuit);
                self.start_timer(now, circuit, timer);
            }
            // A change of state stops the call timers, so a timer never expires in another state.
            _ => debug_assert!(false, "{timer:?} runs on a circuit that is {}", self.state(circuit).name()),
        }
    }

    /// Sends BLO or UBL, whichever matches the local blocking state.
    fn send_blocking(&mut self, circuit: Circuit) {
        let blocked = self.records.get(&circuit).is_some_and(|record| record.local.maintenance);
        self.send(circuit, if blocked { Body::Block } else { Body::Unblock });
    }

    /// Changes the local blocking state, sends the first BLO or UBL and starts its timers.
    pub(super) fn start_blocking(&mut self, now: Micros, circuit: Circuit, block: bool) {
        let record = self.record_mut(circuit);
        record.local.set(Blocking::Maintenance, block);
        record.blocking_pending = true;
        for timer in [Timer::T12, Timer::T13] {
            self.stop_timer(circuit, timer);
        }
        self.send_blocking(circuit);
        let (first, second) = if block { (Timer::T12, Timer::T13) } else { (Timer::T14, Timer::T15) };
        self.start_timer(now, circuit, first);
        self.start_timer(now, circuit, second);
        self.update_indexes(circuit);
    }

    /// Ends the blocking or unblocking procedure: BLO or UBL is acknowledged.
    pub(super) fn finish_blocking(&mut self, circuit: Circuit) {
        for timer in [Timer::T12, Timer::T13] {
            self.stop_timer(circuit, timer);
        }
        self.record_mut(circuit).blocking_pending = false;
        self.update_indexes(circuit);
    }
}
