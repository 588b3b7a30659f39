//! This machine's own maintenance: it confirms its approval before it leaves, reports its progress, and
//! returns.

use super::*;

/// Validity of the permission to leave, counted from when it was requested.
pub const LEAVE_RESPONSE_VALIDITY: Millis = 2_000;

impl Node {
    pub(super) fn update_local_maintenance(&mut self, now: Millis) {
        if self.persistent.index == 0 {
            // No state of this group is known yet; approvals of the previous group remain in force.
            return;
        }
        let name = self.me().name.clone();
        let item = self
            .persistent
            .cluster_state
            .open_request(&name)
            .filter(|item| item.kind == TargetKind::Agent)
            .cloned();
        let Some(item) = item.filter(|item| item.approval.is_some()) else {
            return self.resume_serving();
        };
        let approval = item.approval.unwrap_or(0);
        match item.state {
            State::Approved | State::Draining | State::Out | State::Overdue => {
                // An older approval number is void.
                if self.persistent.away_approval.is_some_and(|left| left >= approval) && self.is_away {
                    if self.persistent.away_approval == Some(approval) && item.state == State::Draining {
                        self.report_drained(now, &name, approval);
                    }
                    return;
                }
                self.request_leave(now, &name, approval);
            }
            State::Returning | State::Lost => {
                self.resume_serving();
                if self.own_status.serving {
                    self.report(now, &name, approval, Event::Returned);
                }
            }
            State::Requested | State::Done | State::Withdrawn => self.resume_serving(),
        }
    }

    /// Asks through the log whether the approval is still valid. Once this is committed, the machine counts
    /// as out until it reports its return itself.
    pub(super) fn request_leave(&mut self, now: Millis, name: &str, approval: u64) {
        let is_pending = self.leave_request.is_some_and(|(id, ..)| self.pending_requests.contains_key(&id));
        if is_pending {
            return;
        }
        if let Some((id, ..)) = self.leave_request.take() {
            self.pending_requests.remove(&id);
        }
        let command = Command::ReportEvent { machine: name.into(), approval, event: Event::Begin };
        // Recorded first, since the response is immediate if this member is the leader.
        let id = CommandId { origin: self.me().boot, count: self.command_count + 1 };
        self.leave_request = Some((id, now, approval));
        self.submit(now, LeaderRequest::Execute(command));
    }

    /// Handles the response to the request to leave.
    pub(super) fn handle_leave_response(&mut self, response: &LeaderResponse) {
        let Some((_, since, approval)) = self.leave_request.take() else { return };
        // `last_tick` is the time of this tick or the one before; a member that was stalled has dropped the
        // request.
        if *response != LeaderResponse::Outcome(Ok(())) || self.last_tick > since + LEAVE_RESPONSE_VALIDITY {
            return;
        }
        let name = self.me().name.clone();
        // A newer approval may have been issued since the request was sent.
        if self
            .persistent
            .cluster_state
            .open_request(&name)
            .is_some_and(|item| item.approval == Some(approval))
        {
            self.start_leaving(approval);
        }
    }

    pub(super) fn start_leaving(&mut self, approval: u64) {
        self.persistent.away_approval = Some(approval);
        self.persist();
        self.is_away = true;
        self.effects.push(Effect::StartDrain { approval });
        self.log(format!("fleet: this machine leaves for work, grant {approval}"));
    }

    pub(super) fn report_drained(&mut self, now: Millis, name: &str, approval: u64) {
        if !self.own_status.serving && self.own_status.calls == 0 {
            self.report(now, name, approval, Event::Drained);
        }
    }

    /// Reports an event about this machine, once, until it is committed or rejected.
    pub(super) fn report(&mut self, now: Millis, machine: &str, approval: u64, event: Event) {
        let is_reported = |(id, reported, under, committed): (CommandId, Event, u64, bool)| {
            (reported, under) == (event, approval) && (committed || self.pending_requests.contains_key(&id))
        };
        if self.pending_report.is_some_and(is_reported) {
            return;
        }
        let command = Command::ReportEvent { machine: machine.into(), approval, event };
        let id = CommandId { origin: self.me().boot, count: self.command_count + 1 };
        self.pending_report = Some((id, event, approval, false));
        self.submit(now, LeaderRequest::Execute(command));
    }

    pub(super) fn resume_serving(&mut self) {
        if std::mem::take(&mut self.is_away) {
            self.persistent.away_approval = None;
            self.effects.push(Effect::Resume);
            self.log("fleet: this machine serves again".into());
            self.persist();
        }
        self.leave_request = None;
    }

    pub(super) fn update_held_servers(&mut self) {
        let held: BTreeMap<u32, u64> = self
            .persistent
            .cluster_state
            .open_requests
            .iter()
            .filter(|item| matches!(item.state, State::Draining | State::Out | State::Overdue))
            .filter_map(|item| match item.kind {
                TargetKind::Server(number) => Some((number, item.approval.unwrap_or(0))),
                TargetKind::Agent => None,
            })
            .collect();
        if held != self.held_servers {
            self.held_servers.clone_from(&held);
            self.effects.push(Effect::HoldServers(held));
        }
    }
}
