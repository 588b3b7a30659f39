//! Handling of the peer's messages in each state of their circuit (Q.764 2.1 to 2.9).

use super::{Alert, CallRef, Circuit, Effect, Event, MissingParts, State, Timer, Trunk};
use crate::cause::{Cause, Location};
use crate::isup::{Blocking, Body, Continuity, Message, SetUp};
use crate::Micros;

impl Trunk {
    pub(super) fn handle_message(&mut self, now: Micros, message: Message, call: CallRef) {
        let Message { circuit, body } = message;
        if !self.equipped().contains(&circuit) {
            // UCIC answers each message, except UCIC and CFN, which would loop (Q.764 2.12).
            if !matches!(body, Body::Unequipped | Body::Confusion { .. }) {
                self.send(circuit, Body::Unequipped);
            }
            return;
        }
        let kind = body.kind();
        match body {
            Body::SetUp(set_up) => self.handle_set_up(now, circuit, call, set_up),
            Body::SubsequentAddress { digits } => self.handle_subsequent_address(now, circuit, kind, &digits),
            Body::Segment { description } => match self.state(circuit) {
                State::IncompleteSetUp { missing, .. } if missing.segment => {
                    self.complete_segments(circuit, &description)
                }
                // A late segment is discarded (Q.764 2.1.12).
                _ => self.disregard(circuit, kind),
            },
            Body::ContinuityResult { success } => self.handle_continuity_result(now, circuit, kind, success),
            Body::ContinuityCheckRequest => match self.state(circuit) {
                State::Idle | State::Unknown | State::ContinuityFailed | State::Checking => {
                    self.set_state(circuit, State::Checking);
                    self.send(circuit, Body::LoopBackAck);
                    self.start_timer(now, circuit, Timer::T27);
                }
                _ => self.disregard(circuit, kind),
            },
            Body::AddressComplete { .. } | Body::Progress => self.handle_progress(now, circuit, kind),
            Body::Answer { description } | Body::Connect { description } => match *self.state(circuit) {
                State::SetUpSent { call, .. } | State::Proceeding { call } => {
                    self.set_state(circuit, State::OutgoingEstablished { call });
                    self.effects.push(Effect::Answered { call, description });
                }
                State::Idle => self.handle_state_mismatch(now, circuit),
                _ => self.disregard(circuit, kind),
            },
            Body::Release { cause, location, congestion } => {
                self.handle_release(circuit, cause, location, congestion)
            }
            Body::ReleaseComplete => match self.state(circuit) {
                State::Releasing { .. } | State::Resetting => self.set_state(circuit, State::Idle),
                State::Idle | State::Unknown | State::BusyAtPeer | State::Unequipped => {}
                // RLC without a release: the call cannot continue (Q.764 2.9.5.1).
                _ => {
                    self.report_call_failure(circuit);
                    self.release(now, circuit, Cause::TEMPORARY, None);
                }
            },
            Body::Suspend | Body::Resume => match self.state(circuit) {
                State::IncomingEstablished { .. } | State::OutgoingEstablished { .. } => {
                    let suspended = kind == crate::isup::kind::SUS;
                    self.record_mut(circuit).suspended = suspended;
                    match suspended {
                        true => self.start_timer(now, circuit, Timer::T6),
                        false => self.stop_timer(circuit, Timer::T6),
                    }
                }
                State::Idle => self.handle_state_mismatch(now, circuit),
                _ => self.disregard(circuit, kind),
            },
            Body::InformationRequest => match self.state(circuit) {
                State::Idle => self.handle_state_mismatch(now, circuit),
                state if state.call().is_some() => self.send(circuit, Body::Information),
                _ => self.disregard(circuit, kind),
            },
            Body::Information | Body::ForwardTransfer => match self.state(circuit) {
                State::Idle => self.handle_state_mismatch(now, circuit),
                _ => self.disregard(circuit, kind),
            },
            Body::LoopBackAck => self.disregard(circuit, kind),
            Body::ResetCircuit => {
                self.counts.resets += 1;
                if self.records.get(&circuit).is_some_and(|record| record.local.maintenance) {
                    // The peer may have lost the blocking state with its reset (Q.764 2.9.3.1 d).
                    self.send(circuit, Body::Block);
                }
                self.reset_by_peer(circuit);
                self.send(circuit, Body::ReleaseComplete);
            }
            Body::Block => self.handle_block(now, circuit),
            Body::Unblock => {
                self.record_mut(circuit).remote.maintenance = false;
                self.update_indexes(circuit);
                self.send(circuit, Body::UnblockAck);
            }
            Body::BlockAck => self.handle_block_ack(now, circuit, true),
            Body::UnblockAck => self.handle_block_ack(now, circuit, false),
            Body::Unequipped => self.handle_unequipped(now, circuit),
            Body::Confusion { cause } => {
                self.handle_confusion(circuit, cause);
                self.alert(circuit, Alert::Confusion);
            }
            Body::ResetGroup(range) => self.handle_group_reset(circuit, range),
            Body::BlockGroup(blocking, range) => self.handle_group_blocking(circuit, blocking, range, true),
            Body::UnblockGroup(blocking, range) => {
                self.handle_group_blocking(circuit, blocking, range, false)
            }
            Body::QueryGroup(range) => self.handle_group_query(circuit, range),
            Body::ResetGroupAck(_)
            | Body::BlockGroupAck(..)
            | Body::UnblockGroupAck(..)
            | Body::QueryGroupResponse(..) => self.handle_group_ack(now, circuit, body),
            Body::Unknown { compatibility, .. } => {
                let requested = compatibility.unwrap_or_default();
                if requested.release && self.state(circuit).call().is_some() {
                    self.report_call_end(circuit, Cause::TYPE_UNKNOWN, Location::BeyondInterworking, None);
                    self.release(now, circuit, Cause::TYPE_UNKNOWN, None);
                } else if compatibility.is_none() || requested.notify {
                    // CFN answers an unknown message without compatibility information (Q.764 2.9.5.2).
                    self.send(circuit, Body::Confusion { cause: Cause::TYPE_UNKNOWN });
                }
                self.disregard(circuit, kind);
            }
        }
    }

    /// Discards a message that is unexpected in the state of the circuit.
    fn disregard(&mut self, circuit: Circuit, kind: u8) {
        self.counts.disregarded += 1;
        self.effects.push(Effect::Disregarded { circuit, kind });
    }

    /// Resets a circuit that is idle here and carries a call according to the peer (Q.764 2.9.5.1).
    fn handle_state_mismatch(&mut self, now: Micros, circuit: Circuit) {
        self.alert(circuit, Alert::StateMismatch);
        self.reset(now, circuit);
    }

    /// Handles IAM.
    fn handle_set_up(&mut self, now: Micros, circuit: Circuit, call: CallRef, set_up: SetUp) {
        match self.state(circuit).clone() {
            State::Idle | State::Unknown | State::BusyAtPeer | State::Unequipped => {}
            // Dual seizure (Q.764 2.9.1.4).
            State::SetUpSent { call: outgoing, set_up: original } => {
                self.counts.dual_seizures += 1;
                if self.config.controls.contains(circuit) {
                    // The peer's set-up is discarded without an answer; the peer withdraws it.
                    self.counts.disregarded += 1;
                    return;
                }
                // The peer's call goes on. The peer has not processed the outgoing set-up, so the call may
                // use another circuit at once.
                self.set_state(circuit, State::Idle);
                self.handle_set_up(now, circuit, call, set_up);
                return self.seize(now, outgoing, *original);
            }
            _ => return self.disregard(circuit, crate::isup::kind::IAM),
        }
        let record = self.record_mut(circuit);
        if record.local.maintenance {
            // The set-up crossed BLO, or the peer has lost the blocking state (Q.764 2.8.2.3).
            return self.send(circuit, Body::Block);
        }
        if record.local.hardware {
            return self.disregard(circuit, crate::isup::kind::IAM);
        }
        // A set-up of the peer on a circuit that it has blocked removes its blocking.
        record.remote = Default::default();
        if !self.config.incoming {
            return self.release(now, circuit, Cause::FACILITY_REJECTED, None);
        }
        self.counts.seized_by_peer += 1;
        let missing = MissingParts {
            segment: set_up.segmented,
            continuity: set_up.continuity != Continuity::NotRequired,
            digits: self.config.overlap,
        };
        let number = set_up.number.clone();
        self.set_state(circuit, State::IncompleteSetUp { call, set_up: Box::new(set_up), missing });
        for (is_missing, timer) in
            [(missing.segment, Timer::T34), (missing.continuity, Timer::T8), (missing.digits, Timer::T35)]
        {
            if is_missing {
                self.start_timer(now, circuit, timer);
            }
        }
        if missing.digits {
            self.effects.push(Effect::AnalyseNumber { circuit, number });
        }
        self.offer_if_complete(circuit);
    }

    /// Offers the incoming call once no part of its set-up is missing.
    fn offer_if_complete(&mut self, circuit: Circuit) {
        let State::IncompleteSetUp { call, set_up, missing } = self.state(circuit).clone() else { return };
        if missing.is_empty() {
            self.set_state(circuit, State::Offered { call, proceeding: false });
            self.effects.push(Effect::Offer { call, circuit, set_up: *set_up });
        }
    }

    /// Changes a set-up that is incomplete.
    fn update_set_up(&mut self, circuit: Circuit, change: impl FnOnce(&mut SetUp, &mut MissingParts)) {
        if let State::IncompleteSetUp { set_up, missing, .. } = &mut self.record_mut(circuit).state {
            change(set_up, missing);
        }
    }

    /// Appends the second segment of a set-up; it is empty after T34.
    pub(super) fn complete_segments(&mut self, circuit: Circuit, description: &str) {
        self.stop_timer(circuit, Timer::T34);
        self.update_set_up(circuit, |set_up, missing| {
            set_up.description += description;
            (set_up.segmented, missing.segment) = (false, false);
        });
        self.offer_if_complete(circuit);
    }

    /// Handles SAM.
    fn handle_subsequent_address(&mut self, now: Micros, circuit: Circuit, kind: u8, digits: &str) {
        match self.state(circuit) {
            State::IncompleteSetUp { missing, .. } if missing.digits => {}
            State::Idle => return self.handle_state_mismatch(now, circuit),
            _ => return self.disregard(circuit, kind),
        }
        let mut number = String::new();
        self.update_set_up(circuit, |set_up, _| {
            set_up.number += digits;
            number.clone_from(&set_up.number);
        });
        self.start_timer(now, circuit, Timer::T35);
        self.effects.push(Effect::AnalyseNumber { circuit, number });
    }

    /// Takes the result of the number analysis.
    pub(super) fn number_analysed(&mut self, circuit: Circuit, complete: bool) {
        if complete && matches!(self.state(circuit), State::IncompleteSetUp { missing, .. } if missing.digits)
        {
            self.stop_timer(circuit, Timer::T35);
            self.update_set_up(circuit, |_, missing| missing.digits = false);
            self.offer_if_complete(circuit);
        }
    }

    /// Handles COT.
    fn handle_continuity_result(&mut self, now: Micros, circuit: Circuit, kind: u8, success: bool) {
        match self.state(circuit) {
            State::IncompleteSetUp { missing, .. } if missing.continuity => {}
            State::Idle => return self.handle_state_mismatch(now, circuit),
            _ => return self.disregard(circuit, kind),
        }
        self.stop_timer(circuit, Timer::T8);
        if success {
            self.update_set_up(circuit, |_, missing| missing.continuity = false);
            self.offer_if_complete(circuit);
        } else {
            self.set_state(circuit, State::ContinuityFailed);
            self.start_timer(now, circuit, Timer::T27);
            self.alert(circuit, Alert::ContinuityFailed);
        }
    }

    /// Handles ACM or CPG.
    fn handle_progress(&mut self, now: Micros, circuit: Circuit, kind: u8) {
        match *self.state(circuit) {
            State::SetUpSent { call, .. } => {
                self.set_state(circuit, State::Proceeding { call });
                self.start_timer(now, circuit, Timer::T9);
                self.effects.push(Effect::Progress { call });
            }
            State::Proceeding { call } => self.effects.push(Effect::Progress { call }),
            State::Idle => self.handle_state_mismatch(now, circuit),
            _ => self.disregard(circuit, kind),
        }
    }

    /// Handles REL. RLC answers it in every state.
    fn handle_release(&mut self, circuit: Circuit, cause: Cause, location: Location, congestion: Option<u8>) {
        self.report_call_end(circuit, cause, location, congestion);
        // When both sides release at once, each waits for its own RLC (Q.764 2.3.1).
        if !matches!(self.state(circuit), State::Releasing { .. } | State::Resetting) {
            self.set_state(circuit, State::Idle);
        }
        self.send(circuit, Body::ReleaseComplete);
    }

    /// Handles a reset by the peer: the circuit becomes idle, and the peer's blocking ends.
    pub(super) fn reset_by_peer(&mut self, circuit: Circuit) {
        self.report_call_failure(circuit);
        self.record_mut(circuit).remote.maintenance = false;
        // The peer's reset acknowledges a pending release, but not a pending reset of this side.
        let state = if *self.state(circuit) == State::Resetting { State::Resetting } else { State::Idle };
        if state == State::Idle {
            self.set_state(circuit, state);
        } else {
            self.update_indexes(circuit);
        }
    }

    /// Handles BLO.
    fn handle_block(&mut self, now: Micros, circuit: Circuit) {
        self.record_mut(circuit).remote.maintenance = true;
        self.send(circuit, Body::BlockAck);
        self.update_indexes(circuit);
        // BLO may have crossed the outgoing set-up, which the peer then discards (Q.764 2.8.1). Whether it
        // did is unknown here, so the attempt counts as possibly processed.
        if matches!(self.state(circuit), State::SetUpSent { .. }) {
            self.report_call_failure(circuit);
            self.release(now, circuit, Cause::TEMPORARY, None);
        }
    }

    /// Handles BLA or UBA.
    fn handle_block_ack(&mut self, now: Micros, circuit: Circuit, blocked: bool) {
        let record = self.record_mut(circuit);
        let (requested, pending) = (record.local.maintenance, record.blocking_pending);
        match (requested == blocked, pending) {
            (true, _) => self.finish_blocking(circuit),
            // The opposite of the last request is acknowledged: the request is repeated (Q.764 2.8.2.4).
            (false, _) => self.start_blocking(now, circuit, requested),
        }
    }

    /// Handles UCIC. The peer did not process the set-up, so the call may use another circuit.
    fn handle_unequipped(&mut self, now: Micros, circuit: Circuit) {
        let state = self.state(circuit).clone();
        if let State::SetUpSent { .. } = state {
        } else {
            self.report_call_failure(circuit);
        }
        self.set_state(circuit, State::Unequipped);
        self.alert(circuit, Alert::Unequipped);
        if let State::SetUpSent { call, set_up } = state {
            self.seize(now, call, *set_up);
        }
    }

    /// Sets the peer's blocking of a circuit, from a group message. Blocking for hardware failure ends the
    /// call.
    pub(super) fn set_remote_blocking(&mut self, circuit: Circuit, blocking: Blocking, on: bool) {
        self.record_mut(circuit).remote.set(blocking, on);
        if on
            && blocking == Blocking::Hardware
            && !matches!(self.state(circuit), State::Idle | State::Unequipped)
        {
            self.report_call_failure(circuit);
            self.set_state(circuit, State::Idle);
        }
        self.update_indexes(circuit);
    }

    /// Handles the return of the peer: sends pending releases and resets again.
    pub(super) fn peer_up(&mut self, now: Micros) {
        self.is_up = true;
        let unacknowledged: Vec<(Circuit, Body)> = self
            .records
            .iter()
            .filter_map(|(circuit, record)| match record.state {
                State::Releasing { cause, congestion } => {
                    let location = Location::BeyondInterworking;
                    Some((*circuit, Body::Release { cause, location, congestion }))
                }
                State::Resetting => Some((*circuit, Body::ResetCircuit)),
                _ => None,
            })
            .collect();
        for (circuit, body) in unacknowledged {
            self.send(circuit, body);
        }
        self.start_recovery(now);
    }

    /// Handles the loss of the peer: releases calls that are being set up, with a REL that is repeated when
    /// the peer is back. Established calls continue.
    pub(super) fn peer_down(&mut self, now: Micros) {
        self.is_up = false;
        let setting_up = self.records.iter().filter_map(|(circuit, record)| match record.state {
            State::IncompleteSetUp { .. }
            | State::Offered { .. }
            | State::SetUpSent { .. }
            | State::Proceeding { .. } => Some(*circuit),
            _ => None,
        });
        for circuit in setting_up.collect::<Vec<_>>() {
            self.release(now, circuit, Cause::TEMPORARY, None);
        }
    }

    /// Handles the replacement of the peer's process: none of its circuits carries a call. The established
    /// calls have ended with the old process; the user of the trunk knows that and gets no report for them.
    pub(super) fn handle_replaced(&mut self) {
        let all: Vec<Circuit> = self.records.keys().copied().collect();
        for circuit in all {
            self.record_mut(circuit).remote = Default::default();
            let call = self.state(circuit).call();
            if call.is_some_and(|(call, _)| self.restored.contains(&call)) {
                // The user of the trunk does not know of restored calls, so their end is reported.
                self.report_call_failure(circuit);
            }
            if *self.state(circuit) != State::Idle {
                self.set_state(circuit, State::Idle);
            }
            self.update_indexes(circuit);
        }
        self.cancel_groups();
    }

    /// Processes a message as if the peer had sent it, for tests and tools without an association.
    pub fn receive(&mut self, now: Micros, message: Message, call: CallRef) {
        self.handle(now, Event::Received { message, call });
    }
}
