//! Work on one machine: a state a row, an event a column, every cell filled ([`step`]).
//!
//! From `draining` on, nobody but the machine itself ends its being out: it says that it is [`Event::Back`].
//! So a machine that is out is always one that the council counts as out, whatever was lost or late.

use serde::{Deserialize, Serialize};

use crate::Millis;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Staff have asked.
    Requested,
    /// The machine may go, and has not begun to.
    Approved,
    /// It takes no new work.
    Draining,
    /// Nothing stands there any more.
    Out,
    /// Work is over; it is on its way back.
    Returning,
    Done,
    Withdrawn,
    /// Out or draining for longer than was asked for.
    Overdue,
    /// It was lost while it drained or came back.
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

    /// The word that staff's scripts read.
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

    /// Whether the machine may be out, or may go at any moment.
    pub fn counts_as_out(self) -> bool {
        !matches!(self, State::Requested | State::Done | State::Withdrawn)
    }

    pub fn is_over(self) -> bool {
        matches!(self, State::Done | State::Withdrawn)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The council lets the machine go.
    Approve,
    /// The machine asks whether it may leave now.
    Begin,
    /// The machine says that nothing stands there.
    Drained,
    /// Staff say that the work is over.
    Finish,
    /// Staff take the request back.
    Withdraw,
    /// Staff give it more time.
    Extend,
    /// The machine says that it serves again.
    Returned,
    /// Its time is over.
    DeadlinePassed,
    /// The machine is lost.
    MachineLost,
    /// It was granted and has not begun.
    Lapse,
    /// The moment has passed until when it was wanted.
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

/// Why an event is not for a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum InvalidTransition {
    #[error("it is not granted")]
    NotApproved,
    #[error("it is granted already")]
    AlreadyApproved,
    #[error("the machine has not left yet; withdraw it instead")]
    MachineStillIn,
    #[error("the machine is not on its way back")]
    NotReturning,
    #[error("it is over")]
    Closed,
    #[error("that time has not come")]
    NotApplicable,
}

/// What an event makes of a state. `drained`: it was out, before it became overdue.
///
/// # Errors
/// The event is not for this state, and changes nothing.
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

        // Asked again, since the answer may have been lost: it may go, and is counted as out.
        (S::Draining | S::Out | S::Overdue, E::Begin) => Ok(state),
        (S::Draining | S::Out, E::Drained) => Ok(S::Out),
        (S::Overdue, E::Drained) => Ok(S::Overdue),
        (S::Draining | S::Out, E::DeadlinePassed) => Ok(S::Overdue),
        (S::Draining, E::MachineLost) => Ok(S::Lost),
        (S::Overdue, E::MachineLost) if !drained => Ok(S::Lost),
        // A machine under work is expected to be away.
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
        // Staff say that it is lost for good.
        (S::Lost, E::Withdraw) => Ok(S::Withdrawn),
        (S::Lost, E::Begin) => Err(InvalidTransition::NotApproved),
        (S::Lost, E::Drained | E::Extend | E::DeadlinePassed | E::MachineLost) => {
            Err(InvalidTransition::NotApplicable)
        }

        (_, E::Lapse | E::Expire) => Err(InvalidTransition::NotApplicable),
    }
}

/// What kind of machine is worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// A call agent's.
    Agent,
    /// A check server, by its number.
    Server(u32),
}

/// A request for work, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    pub machine: String,
    pub kind: TargetKind,
    /// Of a call agent's machine; empty for a check server.
    pub zone: String,
    pub reason: String,
    /// How long it may be out.
    pub for_ms: Millis,
    /// Fleet time at which it was asked for; until when it is wanted.
    pub requested_at_ms: Millis,
    pub expires_at_ms: Option<Millis>,
    /// Machines whose work must be over before.
    pub after: Vec<String>,
    pub state: State,
    pub drained: bool,
    /// The number of the present or last grant: it only grows over the whole log.
    pub approval: Option<u64>,
    /// Fleet time at which the present state began, and at which it is overdue.
    pub state_since_ms: Millis,
    pub due_at_ms: Option<Millis>,
    /// Grants that went to others while this one could have had one.
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

    /// Without the machine's own word nothing brings it from out to not counted, but staff's word that it is
    /// lost for good.
    #[test]
    fn only_the_machine_ends_its_being_out() {
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
