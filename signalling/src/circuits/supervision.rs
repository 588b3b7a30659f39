//! Circuit group supervision: reset, blocking and query of circuit groups (Q.764 2.8.2, 2.8.3 and 2.9.3.2).
//!
//! At most [`super::Config::max_pending_groups`] group messages to the peer are unacknowledged at once; the
//! rest is queued. This limit keeps the recovery of thousands of circuits after a start from flooding the
//! peer.

use super::{Alert, Circuit, Effect, OnStart, State, Timer, Trunk};
use crate::cause::Cause;
use crate::isup::{Blocking, Body, CallProcessing, CircuitState, Ends, Range, MAX_GROUP_CIRCUITS};
use crate::wheel::Key;
use crate::Micros;

/// A supervision procedure for `circuits` consecutive circuits from `first` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupAction {
    Reset { first: Circuit, circuits: usize },
    Query { first: Circuit, circuits: usize },
    Block { first: Circuit, circuits: usize, blocking: Blocking, on: bool },
}

impl GroupAction {
    fn first(self) -> Circuit {
        match self {
            GroupAction::Reset { first, .. }
            | GroupAction::Query { first, .. }
            | GroupAction::Block { first, .. } => first,
        }
    }

    fn circuits(self) -> std::ops::Range<Circuit> {
        let (first, circuits) = match self {
            GroupAction::Reset { first, circuits }
            | GroupAction::Query { first, circuits }
            | GroupAction::Block { first, circuits, .. } => (first, circuits),
        };
        first..first + circuits as Circuit
    }

    fn body(self) -> Body {
        let range = Range::spanning(self.circuits().len());
        let marked = || Range { status: vec![true; range.circuits()], ..range.clone() };
        match self {
            GroupAction::Reset { .. } => Body::ResetGroup(range),
            GroupAction::Query { .. } => Body::QueryGroup(range),
            GroupAction::Block { blocking, on: true, .. } => Body::BlockGroup(blocking, marked()),
            GroupAction::Block { blocking, on: false, .. } => Body::UnblockGroup(blocking, marked()),
        }
    }

    /// The timer for the repetition of the message, and the one for the alert to operators.
    fn timers(self) -> (Timer, Option<Timer>) {
        match self {
            GroupAction::Reset { .. } => (Timer::T22, Some(Timer::T23)),
            GroupAction::Query { .. } => (Timer::T28, None),
            GroupAction::Block { on: true, .. } => (Timer::T18, Some(Timer::T19)),
            GroupAction::Block { on: false, .. } => (Timer::T20, Some(Timer::T21)),
        }
    }
}

/// A group message that is not acknowledged.
#[derive(Debug)]
pub(super) struct PendingGroup {
    /// Identifies the group to its timers.
    number: u64,
    action: GroupAction,
    repeat: Option<Key>,
    alert: Option<Key>,
}

impl Trunk {
    /// Queues a group procedure, and starts it as soon as the limit of unacknowledged messages permits.
    fn queue_group(&mut self, now: Micros, action: GroupAction) {
        self.queued_groups.push_back(action);
        self.send_queued_groups(now);
    }

    fn send_queued_groups(&mut self, now: Micros) {
        while self.pending_groups.len() < self.config.max_pending_groups.max(1) {
            let Some(action) = self.queued_groups.pop_front() else { return };
            if action.circuits().len() < 2 {
                self.start_single(now, action);
                continue;
            }
            if let GroupAction::Reset { .. } = action {
                for circuit in action.circuits() {
                    self.counts.resets += 1;
                    self.report_call_failure(circuit);
                    self.set_state(circuit, State::Resetting);
                }
            }
            self.last_number += 1;
            let number = self.last_number;
            let (repeat, alert) = action.timers();
            let repeat = Some(self.start_group_timer(now, number, repeat));
            let alert = alert.map(|timer| self.start_group_timer(now, number, timer));
            self.pending_groups.push(PendingGroup { number, action, repeat, alert });
            self.send(action.first(), action.body());
        }
    }

    /// Starts the procedure for a single circuit, with the message for one circuit. No query exists for one
    /// circuit, so an unknown state is assumed to be idle.
    fn start_single(&mut self, now: Micros, action: GroupAction) {
        let circuit = action.first();
        match action {
            GroupAction::Reset { .. } => self.reset(now, circuit),
            GroupAction::Query { .. } if *self.state(circuit) == State::Unknown => {
                self.set_state(circuit, State::Idle)
            }
            GroupAction::Query { .. } => {}
            GroupAction::Block { blocking: Blocking::Maintenance, on, .. } => {
                self.start_blocking(now, circuit, on)
            }
            GroupAction::Block { .. } => {}
        }
    }

    /// Splits a range of circuits into groups.
    fn split_into_groups(first: Circuit, last: Circuit) -> impl Iterator<Item = (Circuit, usize)> {
        let span = usize::from(last.saturating_sub(first)) + 1;
        let count = span.div_ceil(MAX_GROUP_CIRCUITS);
        // Groups of equal size, so that no group has a single circuit.
        (0..count).map(move |group| {
            let (from, to) = (group * span / count, (group + 1) * span / count);
            (first + from as Circuit, to - from)
        })
    }

    /// Starts the recovery of circuits in an unknown state, once after the start of this process.
    pub(super) fn start_recovery(&mut self, now: Micros) {
        if std::mem::replace(&mut self.recovery_started, true) {
            return;
        }
        let (first, last) = (*self.equipped().start(), *self.equipped().end());
        for (first, circuits) in Self::split_into_groups(first, last) {
            match self.config.on_start {
                OnStart::Trust => {}
                OnStart::Query => self.queue_group(now, GroupAction::Query { first, circuits }),
                OnStart::Reset => self.queue_group(now, GroupAction::Reset { first, circuits }),
            }
        }
    }

    /// Queries the peer for the states of all circuits.
    pub(super) fn query_all(&mut self, now: Micros) {
        let (first, last) = (*self.equipped().start(), *self.equipped().end());
        for (first, circuits) in Self::split_into_groups(first, last) {
            self.queue_group(now, GroupAction::Query { first, circuits });
        }
    }

    /// Blocks or unblocks circuits for operators. Hardware blocking ends the calls on the circuits.
    pub(super) fn set_local_blocking(
        &mut self,
        now: Micros,
        first: Circuit,
        last: Circuit,
        blocking: Blocking,
        on: bool,
    ) {
        let (lowest, highest) = (*self.equipped().start(), *self.equipped().end());
        let (first, last) = (first.max(lowest), last.min(highest));
        if first > last {
            return;
        }
        for circuit in first..=last {
            self.record_mut(circuit).local.set(blocking, on);
            if on && blocking == Blocking::Hardware {
                self.report_call_failure(circuit);
                self.set_state(circuit, State::Idle);
            }
            self.update_indexes(circuit);
        }
        for (first, circuits) in Self::split_into_groups(first, last) {
            self.queue_group(now, GroupAction::Block { first, circuits, blocking, on });
        }
    }

    /// Handles GRS.
    pub(super) fn handle_group_reset(&mut self, first: Circuit, range: Range) {
        let Some(circuits) = self.checked_circuits(first, &range) else { return };
        let mut status = Vec::new();
        for circuit in circuits {
            self.counts.resets += 1;
            self.reset_by_peer(circuit);
            status.push(self.records.get(&circuit).is_some_and(|record| record.local.maintenance));
        }
        self.send(first, Body::ResetGroupAck(Range { status, ..range }));
    }

    /// Handles CGB or CGU.
    pub(super) fn handle_group_blocking(
        &mut self,
        first: Circuit,
        blocking: Blocking,
        range: Range,
        on: bool,
    ) {
        let Some(circuits) = self.checked_circuits(first, &range) else { return };
        for (circuit, _) in circuits.zip(&range.status).filter(|(_, marked)| **marked) {
            self.set_remote_blocking(circuit, blocking, on);
        }
        let answer = if on { Body::BlockGroupAck } else { Body::UnblockGroupAck };
        self.send(first, answer(blocking, range));
    }

    /// Handles CQM.
    pub(super) fn handle_group_query(&mut self, first: Circuit, range: Range) {
        let Some(circuits) = self.checked_circuits(first, &range) else { return };
        let states = circuits.map(|circuit| self.reported_state(circuit)).collect();
        self.send(first, Body::QueryGroupResponse(range, states));
    }

    /// The circuits of a group message. A message with an invalid range, or with circuits that are not
    /// equipped, is discarded.
    fn checked_circuits(
        &mut self,
        first: Circuit,
        range: &Range,
    ) -> Option<std::ops::RangeInclusive<Circuit>> {
        let last = first + Circuit::from(range.additional);
        if !range.is_valid() || !self.equipped().contains(&last) {
            self.counts.disregarded += 1;
            self.effects.push(Effect::Disregarded { circuit: first, kind: 0 });
            return None;
        }
        Some(first..=last)
    }

    /// The state of a circuit as CQR reports it.
    fn reported_state(&self, circuit: Circuit) -> CircuitState {
        let Some(record) = self.records.get(&circuit) else {
            let (maintenance, hardware) = Default::default();
            return CircuitState::Equipped { call_processing: CallProcessing::Idle, maintenance, hardware };
        };
        let call_processing = match record.state {
            State::Idle => CallProcessing::Idle,
            State::IncompleteSetUp { .. } | State::Offered { .. } | State::IncomingEstablished { .. } => {
                CallProcessing::Incoming
            }
            State::SetUpSent { .. } | State::Proceeding { .. } | State::OutgoingEstablished { .. } => {
                CallProcessing::Outgoing
            }
            // The peer reported the call, which is from before the start of this process.
            State::BusyAtPeer => CallProcessing::Incoming,
            State::Unequipped => return CircuitState::Unequipped,
            State::Unknown
            | State::ContinuityFailed
            | State::Checking
            | State::Releasing { .. }
            | State::Resetting => return CircuitState::Transient,
        };
        CircuitState::Equipped {
            call_processing,
            maintenance: Ends { local: record.local.maintenance, remote: record.remote.maintenance },
            hardware: Ends { local: record.local.hardware, remote: record.remote.hardware },
        }
    }

    /// Handles GRA, CGBA, CGUA or CQR.
    pub(super) fn handle_group_ack(&mut self, now: Micros, first: Circuit, answer: Body) {
        let kind = answer.kind();
        let index = self.pending_groups.iter().position(|group| {
            let matches_range = |range: &Range| range.circuits() == group.action.circuits().len();
            group.action.first() == first
                && match (&answer, group.action) {
                    (Body::ResetGroupAck(of), GroupAction::Reset { .. }) => matches_range(of),
                    (Body::QueryGroupResponse(of, _), GroupAction::Query { .. }) => matches_range(of),
                    (
                        Body::BlockGroupAck(blocking, of),
                        GroupAction::Block { blocking: requested, on: true, .. },
                    ) => *blocking == requested && matches_range(of),
                    (
                        Body::UnblockGroupAck(blocking, of),
                        GroupAction::Block { blocking: requested, on: false, .. },
                    ) => *blocking == requested && matches_range(of),
                    _ => false,
                }
        });
        let Some(index) = index else {
            self.counts.disregarded += 1;
            self.effects.push(Effect::Disregarded { circuit: first, kind });
            return;
        };
        let group = self.pending_groups.swap_remove(index);
        self.cancel_group_timers(&group);
        match answer {
            Body::ResetGroupAck(range) => {
                for (circuit, blocked) in group.action.circuits().zip(range.status) {
                    self.record_mut(circuit).remote.maintenance = blocked;
                    if *self.state(circuit) == State::Resetting {
                        self.set_state(circuit, State::Idle);
                    }
                    self.update_indexes(circuit);
                }
            }
            Body::QueryGroupResponse(_, states) => {
                for (circuit, state) in group.action.circuits().zip(states) {
                    self.reconcile(now, circuit, state);
                }
            }
            _ => {}
        }
        self.send_queued_groups(now);
    }

    /// Reconciles the state of a circuit with the state that the peer reports (Q.764 table 2).
    fn reconcile(&mut self, now: Micros, circuit: Circuit, reported: CircuitState) {
        let (call_processing, maintenance, hardware) = match reported {
            CircuitState::Transient => {
                // The state is about to change at the peer. An unknown circuit must not be seized before
                // that.
                if *self.state(circuit) == State::Unknown {
                    self.set_state(circuit, State::BusyAtPeer);
                }
                return;
            }
            CircuitState::Unequipped => {
                if *self.state(circuit) != State::Unequipped {
                    self.report_call_failure(circuit);
                    self.set_state(circuit, State::Unequipped);
                    self.alert(circuit, Alert::Unequipped);
                }
                return;
            }
            CircuitState::Equipped { call_processing, maintenance, hardware } => {
                (call_processing, maintenance, hardware)
            }
        };
        let record = self.record_mut(circuit);
        (record.remote.maintenance, record.remote.hardware) = (maintenance.local, hardware.local);
        match (self.state(circuit).clone(), call_processing) {
            (State::Unknown | State::BusyAtPeer | State::Unequipped, CallProcessing::Idle) => {
                self.set_state(circuit, State::Idle)
            }
            (State::Unknown, _) => self.set_state(circuit, State::BusyAtPeer),
            (State::Idle, CallProcessing::Incoming | CallProcessing::Outgoing) => {
                self.alert(circuit, Alert::StateMismatch);
                self.release(now, circuit, Cause::TEMPORARY, None);
            }
            (State::IncomingEstablished { .. } | State::OutgoingEstablished { .. }, CallProcessing::Idle) => {
                self.alert(circuit, Alert::StateMismatch);
                self.report_call_failure(circuit);
                self.release(now, circuit, Cause::TEMPORARY, None);
            }
            // Set-ups or releases are in transit.
            _ => self.update_indexes(circuit),
        }
    }

    fn cancel_group_timers(&mut self, group: &PendingGroup) {
        for key in [group.repeat, group.alert].into_iter().flatten() {
            self.wheel.cancel(key);
        }
    }

    pub(super) fn cancel_groups(&mut self) {
        for group in std::mem::take(&mut self.pending_groups) {
            self.cancel_group_timers(&group);
        }
        self.queued_groups.clear();
    }

    /// Handles CFN. Where the peer does not implement CQM, the query that it may refer to is given up.
    pub(super) fn handle_confusion(&mut self, first: Circuit, cause: Cause) {
        let is_query = |group: &PendingGroup| {
            matches!(group.action, GroupAction::Query { .. }) && group.action.first() == first
        };
        if cause == Cause::TYPE_UNKNOWN {
            if let Some(index) = self.pending_groups.iter().position(is_query) {
                let group = self.pending_groups.swap_remove(index);
                self.cancel_group_timers(&group);
                self.assume_idle(group.action);
            }
        }
    }

    /// Assumes that circuits in an unknown state are idle, because the peer does not answer queries.
    fn assume_idle(&mut self, action: GroupAction) {
        for circuit in action.circuits() {
            if *self.state(circuit) == State::Unknown {
                self.set_state(circuit, State::Idle);
            }
        }
    }

    pub(super) fn group_timer_expired(&mut self, now: Micros, number: u64, timer: Timer) {
        let Some(index) = self.pending_groups.iter().position(|group| group.number == number) else { return };
        let action = self.pending_groups[index].action;
        let first = action.first();
        match timer {
            Timer::T28 => {
                self.pending_groups.swap_remove(index);
                self.alert(first, Alert::QueryUnanswered);
                self.assume_idle(action);
                self.send_queued_groups(now);
            }
            Timer::T18 | Timer::T20 | Timer::T22 => {
                self.send(first, action.body());
                self.pending_groups[index].repeat = Some(self.start_group_timer(now, number, timer));
            }
            _ => {
                // From now on the message is repeated at the longer interval (Q.764 2.9.3.2).
                self.alert(first, Alert::GroupUnacknowledged);
                let repeat = self.pending_groups[index].repeat.take();
                if let Some(key) = repeat {
                    self.wheel.cancel(key);
                }
                self.send(first, action.body());
                self.pending_groups[index].alert = Some(self.start_group_timer(now, number, timer));
            }
        }
    }
}
