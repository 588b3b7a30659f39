//! The state machine of the maintenance of one machine: [`transition`] covers every event in every state.
//!
//! From `draining` on, only the machine itself ends its being out, by reporting [`Event::Returned`]. A
//! machine that is out therefore always counts as out in the agreed state, whatever messages were lost or
//! late.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// State of a maintenance request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Requested by an operator.
    Requested,
    /// The machine may leave, and has not begun to.
    Approved,
    /// The machine accepts no new work.
    Draining,
    /// The machine has drained.
    Out,
    /// Maintenance is finished; the machine is returning.
    Returning,
    Done,
    Withdrawn,
    /// Draining or out for longer than requested.
    Overdue,
    /// Lost while it drained or returned.
    Lost,
}

impl State {
    pub const ALL: [State; 9] = [
        State::Requested,
        State::Approved,
        State::Draining,
        State::Out,
        State::Returning,
        State::Done,
        State::Withdrawn,
        State::Overdue,
        State::Lost,
    ];

    /// The name of the state, as operators' scripts read it.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Requested => "requested",
            State::Approved => "granted",
            State::Draining => "draining",
            State::Out => "out",
            State::Returning => "returning",
            State::Done => "done",
            State::Withdrawn => "withdrawn",
            State::Overdue => "overdue",
            State::Lost => "lost",
        }
    }

    /// Whether the machine may be out, or may leave at any moment.
    pub fn counts_as_out(self) -> bool {
        !matches!(self, State::Requested | State::Done | State::Withdrawn)
    }

    /// Whether the request is closed.
    pub fn is_over(self) -> bool {
        matches!(self, State::Done | State::Withdrawn)
    }
}

/// Event that may change the state of a maintenance request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The consensus group lets the machine leave.
    Approve,
    /// The machine asks whether it may leave now.
    Begin,
    /// The machine reports that it has drained.
    Drained,
    /// An operator reports that maintenance is finished.
    Finish,
    /// An operator withdraws the request.
    Withdraw,
    /// An operator grants more time.
    Extend,
    /// The machine reports that it serves again.
    Returned,
    /// The requested duration has passed.
    DeadlinePassed,
    /// The machine is lost.
    MachineLost,
    /// The machine was approved and has not begun to leave in time.
    Lapse,
    /// The request has expired.
    Expire,
}

impl Event {
    pub const ALL: [Event; 11] = [
        Event::Approve,
        Event::Begin,
        Event::Drained,
        Event::Finish,
        Event::Withdraw,
        Event::Extend,
        Event::Returned,
        Event::DeadlinePassed,
        Event::MachineLost,
        Event::Lapse,
        Event::Expire,
    ];
}

/// Why an event is invalid in a state. The texts are part of rejections shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum InvalidTransition {
    #[error("it has not been granted")]
    NotApproved,
    #[error("it is already granted")]
    AlreadyApproved,
    #[error("the machine has not left yet; withdraw the request instead")]
    MachineStillIn,
    #[error("the machine is not returning")]
    NotReturning,
    #[error("the request is closed")]
    Closed,
    #[error("the event does not apply in this state")]
    NotApplicable,
}

/// Returns the state after an event. `drained`: the machine had drained before it became overdue.
///
/// # Errors
///
/// The event is invalid in this state and changes nothing.
pub fn transition(state: State, drained: bool, event: Event) -> Result<State, InvalidTransition> {
    use Event as E;
    use State as S;
    let after_all = if drained { S::Out } else { S::Draining };
    match (state, event) {
        (S::Done | S::Withdrawn, _) => Err(InvalidTransition::Closed),

        (S::Requested, E::Approve) => Ok(S::Approved),
        (S::Requested, E::Withdraw | E::Expire) => Ok(S::Withdrawn),
        (S::Requested, E::Extend) => Ok(S::Requested),
        (S::Requested, E::Begin | E::Drained | E::Returned) => Err(InvalidTransition::NotApproved),
        (S::Requested, E::Finish) => Err(InvalidTransition::MachineStillIn),
        (S::Requested, E::DeadlinePassed | E::MachineLost | E::Lapse) => {
            Err(InvalidTransition::NotApplicable)
        }

        (_, E::Approve) => Err(InvalidTransition::AlreadyApproved),

        (S::Approved, E::Begin) => Ok(S::Draining),
        (S::Approved, E::Withdraw | E::Expire) => Ok(S::Withdrawn),
        (S::Approved, E::Lapse | E::MachineLost) => Ok(S::Requested),
        (S::Approved, E::Extend) => Ok(S::Approved),
        (S::Approved, E::Drained | E::Finish) => Err(InvalidTransition::MachineStillIn),
        (S::Approved, E::Returned) => Err(InvalidTransition::NotReturning),
        (S::Approved, E::DeadlinePassed) => Err(InvalidTransition::NotApplicable),

        // Asked again, since the response may have been lost: the machine may leave, and counts as out.
        (S::Draining | S::Out | S::Overdue, E::Begin) => Ok(state),
        (S::Draining | S::Out, E::Drained) => Ok(S::Out),
        (S::Overdue, E::Drained) => Ok(S::Overdue),
        (S::Draining | S::Out, E::DeadlinePassed) => Ok(S::Overdue),
        (S::Draining, E::MachineLost) => Ok(S::Lost),
        (S::Overdue, E::MachineLost) if !drained => Ok(S::Lost),
        // A machine under maintenance is expected to be unreachable.
        (S::Out | S::Overdue, E::MachineLost) => Err(InvalidTransition::NotApplicable),
        (S::Draining | S::Out | S::Overdue, E::Extend) => Ok(after_all),
        (S::Draining | S::Out | S::Overdue, E::Finish | E::Withdraw) => Ok(S::Returning),
        (S::Draining | S::Out | S::Overdue, E::Returned) => Err(InvalidTransition::NotReturning),
        (S::Overdue, E::DeadlinePassed) => Err(InvalidTransition::NotApplicable),

        (S::Returning, E::Returned) => Ok(S::Done),
        (S::Returning, E::MachineLost) => Ok(S::Lost),
        (S::Returning, E::Finish | E::Withdraw) => Ok(S::Returning),
        (S::Returning, E::Begin) => Err(InvalidTransition::NotApproved),
        (S::Returning, E::Drained | E::Extend | E::DeadlinePassed) => Err(InvalidTransition::NotApplicable),

        (S::Lost, E::Returned) => Ok(S::Done),
        (S::Lost, E::Finish) => Ok(S::Returning),
        // An operator declares the machine lost for good.
        (S::Lost, E::Withdraw) => Ok(S::Withdrawn),
        (S::Lost, E::Begin) => Err(InvalidTransition::NotApproved),
        (S::Lost, E::Drained | E::Extend | E::DeadlinePassed | E::MachineLost) => {
            Err(InvalidTransition::NotApplicable)
        }

        (_, E::Lapse | E::Expire) => Err(InvalidTransition::NotApplicable),
    }
}

/// The kind of machine under maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// The machine of a call agent.
    Agent,
    /// A check server, by its number.
    Server(u32),
}

/// A maintenance request and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    pub machine: String,
    pub kind: TargetKind,
    /// Zone of a call agent's machine; empty for a check server.
    pub zone: String,
    pub reason: String,
    /// How long the machine may be out.
    pub for_ms: Millis,
    /// Cluster time of the request, and at which it expires.
    pub requested_at_ms: Millis,
    pub expires_at_ms: Option<Millis>,
    /// Machines whose requests must be closed before this one is approved.
    pub after: Vec<String>,
    pub state: State,
    pub drained: bool,
    /// Number of the current or last approval. Fencing token: numbers grow over the whole log.
    pub approval: Option<u64>,
    /// Cluster time at which the present state began, and at which the machine is overdue.
    pub state_since_ms: Millis,
    pub due_at_ms: Option<Millis>,
    /// Approvals given to others while this request was eligible.
    pub times_passed_over: u32,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_event_in_every_state() {
        let mut table = String::new();
        for state in State::ALL {
            for drained in [false, true] {
                for event in Event::ALL {
                    let next = match transition(state, drained, event) {
                        Ok(next) => next.as_str().to_string(),
                        Err(why) => format!("- {why}"),
                    };
                    let drained = if drained { "+drained" } else { "" };
                    table.push_str(&format!("{}{drained} {event:?}: {next}\n", state.as_str()));
                }
            }
        }
        insta::assert_snapshot!(table);
    }

    /// Only the machine itself ends its being out, except that an operator may declare a lost one gone for
    /// good.
    #[test]
    fn only_the_machine_itself_ends_its_being_out() {
        for state in State::ALL.into_iter().filter(|state| state.counts_as_out()) {
            for event in Event::ALL.into_iter().filter(|event| *event != Event::Returned) {
                for drained in [false, true] {
                    let Ok(next) = transition(state, drained, event) else { continue };
                    let may_end =
                        state == State::Approved || (state, event) == (State::Lost, Event::Withdraw);
                    assert!(next.counts_as_out() || may_end, "{state:?} {event:?} gives {next:?}");
                }
            }
        }
    }
}
