//! The state machines of ASPs and application servers (RFC 4666 section 4.3), as complete tables of state and
//! event.

use super::{ErrorCode, Kind, TrafficMode};

/// The state of an ASP in one application server, as its gateway sees it (RFC 4666 4.3.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AspState {
    #[default]
    Down,
    Inactive,
    Active,
}

/// An event of an ASP: a message of it, or the loss of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AspEvent {
    Up,
    Down,
    Activate,
    Deactivate,
    /// The connection has ended, or BEATs were not answered.
    Lost,
}

/// The reply of the gateway to an ASP's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Nothing,
    Ack(Kind),
    /// The acknowledgement, then ERR (unexpected message): an ASP that sends ASPUP while active has lost its
    /// state.
    AckAndError(Kind),
    Error(ErrorCode),
}

/// The next state of an ASP and the reply to it (RFC 4666 figure 3 and 4.3.4).
pub fn next_asp_state(state: AspState, event: AspEvent) -> (AspState, Reply) {
    use Reply::{Ack, AckAndError, Error, Nothing};
    match (state, event) {
        (_, AspEvent::Lost) => (AspState::Down, Nothing),
        (_, AspEvent::Down) => (AspState::Down, Ack(Kind::AspDownAck)),
        (AspState::Down, AspEvent::Up) => (AspState::Inactive, Ack(Kind::AspUpAck)),
        (AspState::Down, AspEvent::Activate | AspEvent::Deactivate) => {
            (AspState::Down, Error(ErrorCode::Unexpected))
        }
        (AspState::Inactive, AspEvent::Up) => (AspState::Inactive, Ack(Kind::AspUpAck)),
        (AspState::Inactive, AspEvent::Activate) => (AspState::Active, Ack(Kind::AspActiveAck)),
        (AspState::Inactive, AspEvent::Deactivate) => (AspState::Inactive, Ack(Kind::AspInactiveAck)),
        (AspState::Active, AspEvent::Up) => (AspState::Inactive, AckAndError(Kind::AspUpAck)),
        (AspState::Active, AspEvent::Activate) => (AspState::Active, Ack(Kind::AspActiveAck)),
        (AspState::Active, AspEvent::Deactivate) => (AspState::Inactive, Ack(Kind::AspInactiveAck)),
    }
}

/// The state of an application server (RFC 4666 4.3.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerState {
    #[default]
    Down,
    Inactive,
    /// The last active ASP is lost: traffic is queued until an ASP is active again or T(r) expires.
    Pending,
    Active,
}

impl ServerState {
    /// The status information of NTFY, type AS state change (RFC 4666 3.8.2); `None` for DOWN, which is not
    /// notified.
    pub fn status(self) -> Option<u16> {
        match self {
            ServerState::Down => None,
            ServerState::Inactive => Some(2),
            ServerState::Active => Some(3),
            ServerState::Pending => Some(4),
        }
    }
}

/// The number of ASPs of an application server that are inactive and active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AspCounts {
    pub inactive: usize,
    pub active: usize,
}

/// The next state of an application server, from the states of its ASPs (RFC 4666 figure 4). In loadshare and
/// broadcast mode, `min_active` ASPs are needed to activate the AS; one active ASP keeps it active.
/// `recovery_expired` says that T(r) has expired.
pub fn next_server_state(
    state: ServerState,
    counts: AspCounts,
    mode: TrafficMode,
    min_active: usize,
    recovery_expired: bool,
) -> ServerState {
    let min_active = match mode {
        TrafficMode::Override => 1,
        TrafficMode::Loadshare | TrafficMode::Broadcast => min_active.max(1),
    };
    let without_active =
        if counts.inactive + counts.active > 0 { ServerState::Inactive } else { ServerState::Down };
    match (state, counts.active) {
        (ServerState::Down | ServerState::Inactive, active) if active >= min_active => ServerState::Active,
        (ServerState::Down | ServerState::Inactive, _) => without_active,
        // Within T(r), a single ASP that becomes active reactivates the AS, whatever the minimum is.
        (ServerState::Active | ServerState::Pending, 1..) => ServerState::Active,
        (ServerState::Active, 0) => ServerState::Pending,
        (ServerState::Pending, 0) if recovery_expired => without_active,
        (ServerState::Pending, 0) => ServerState::Pending,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_cell_of_the_asp_table() {
        use AspEvent::{Activate, Deactivate, Down, Lost, Up};
        let mut table = String::new();
        for state in [AspState::Down, AspState::Inactive, AspState::Active] {
            for event in [Up, Down, Activate, Deactivate, Lost] {
                let (next, reply) = next_asp_state(state, event);
                table += &format!("{state:?} + {event:?}: {next:?}, {reply:?}\n");
            }
        }
        insta::assert_snapshot!(table);
    }

    #[test]
    fn every_cell_of_the_server_table() {
        let mut table = String::new();
        for state in [ServerState::Down, ServerState::Inactive, ServerState::Pending, ServerState::Active] {
            for (inactive, active) in [(0, 0), (1, 0), (0, 1), (1, 2)] {
                let next = |mode, recovery_expired| {
                    next_server_state(state, AspCounts { inactive, active }, mode, 2, recovery_expired)
                };
                table += &format!(
                    "{state:?}, {inactive} inactive, {active} active: {:?}, share {:?}, T(r) over {:?}\n",
                    next(TrafficMode::Override, false),
                    next(TrafficMode::Loadshare, false),
                    next(TrafficMode::Override, true),
                );
            }
        }
        insta::assert_snapshot!(table);
    }
}
