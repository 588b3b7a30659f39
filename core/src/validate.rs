//! First stage: turns a parsed set-up into a call for the decisions, or rejects it.

use steprelay_decisions::{Call, CallId, Class, Micros};

use super::accounting::CallEnd;
use super::{Core, Request};

/// How long before the caller gives up the final answer is sent: it has to reach the caller, and a timer of
/// this process may fire late on a shared CPU core.
pub const ANSWER_MARGIN: Micros = 30_000;

/// The longest wait of a caller, in deadlines of its class; an hour if the class has no deadline.
const MAX_WAIT_IN_DEADLINES: Micros = 4;
const MAX_WAIT_WITHOUT_DEADLINE: Micros = 3_600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValidationError {
    UnknownClass,
    /// It names a server that cannot exist, or a wait that no caller of its class has.
    OutOfRange,
    /// Its caller gives up before any answer could arrive.
    NoTimeLeft,
    /// A call with this id is open or has just been answered. Any answer would be its second one.
    DuplicateCall,
    /// A call with this id was sent to a server, and its caller left before the answer: it may have run.
    AlreadyAttempted,
}

impl Core {
    pub(super) fn validate(&self, now: Micros, request: &Request) -> Result<Call, ValidationError> {
        if self.is_duplicate(request.call) {
            return Err(ValidationError::DuplicateCall);
        }
        if self.accounting.ended(request.call) == Some(CallEnd::LeftAttempted) {
            return Err(ValidationError::AlreadyAttempted);
        }
        if request.class >= self.site.class_names.len() {
            return Err(ValidationError::UnknownClass);
        }
        if !self.is_in_range(request) {
            return Err(ValidationError::OutOfRange);
        }
        let remaining = answer_deadline(request) - now;
        if remaining <= 0 {
            return Err(ValidationError::NoTimeLeft);
        }
        Ok(Call {
            id: request.call,
            class: request.class,
            tenant: request.tenant,
            dest: request.dest.unwrap_or(u32::MAX),
            called_number: request.number.to_string(),
            remaining,
            is_redial: false,
            was_cut: request.was_cut,
            is_in_transit: false,
        })
    }

    /// Servers would refuse a set-up that is out of range, at the cost of their time, and the timers of
    /// unlimited waits would accumulate in this process.
    fn is_in_range(&self, request: &Request) -> bool {
        let max_wait = match self.site.deadlines.get(request.class) {
            Some(&deadline) if deadline > 0 => MAX_WAIT_IN_DEADLINES * deadline,
            _ => MAX_WAIT_WITHOUT_DEADLINE,
        };
        let is_served = |number| {
            let has_server =
                |class: &Class| class.allowed_servers.as_ref().is_none_or(|list| list.contains(&number));
            number <= u16::MAX.into() && self.site.decisions.classes.iter().any(has_server)
        };
        (1..=max_wait).contains(&request.remaining) && request.dest.is_none_or(is_served)
    }

    fn is_duplicate(&self, call: CallId) -> bool {
        self.pending.contains_key(&call)
            || self.established.get(call).is_some()
            || self.accounting.ended(call).is_some_and(CallEnd::is_final)
    }
}

pub fn answer_deadline(request: &Request) -> Micros {
    request.received_at + request.remaining - ANSWER_MARGIN
}
