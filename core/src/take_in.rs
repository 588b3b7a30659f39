//! First stage: a set-up as read becomes a call of the decisions, or is turned back as invalid.

use steprelay_decisions::{Call, CallId, Class, Micros};

use super::book::Over;
use super::{Core, Request};

/// The answer is given so long before the caller gives up: it has to cross to the caller, and a timer of
/// ours may fire late on a shared core.
pub const ANSWER_MARGIN: Micros = 30_000;

/// No caller waits longer than so many times its class's deadline; without one, than an hour.
const LONGEST_WAIT: Micros = 4;
const ANY_WAIT: Micros = 3_600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    UnknownClass,
    /// It asks for a server that cannot be, or for a wait that no caller of its class has.
    OutOfRange,
    /// Its caller gives up before any answer could reach it.
    NoTimeLeft,
    /// A call of this id is open or has just been answered. Whatever is said now would be its second answer.
    SameCall,
}

impl Core {
    pub(super) fn take_in(&self, now: Micros, request: &Request) -> Result<Call, Unfit> {
        if self.known(request.call) {
            return Err(Unfit::SameCall);
        }
        if request.class >= self.site.class_names.len() {
            return Err(Unfit::UnknownClass);
        }
        if !self.in_range(request) {
            return Err(Unfit::OutOfRange);
        }
        let remaining = answer_by(request) - now;
        if remaining <= 0 {
            return Err(Unfit::NoTimeLeft);
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

    /// What is out of range would only be refused by servers, at the cost of their time, and timers for waits
    /// without end would pile up here.
    fn in_range(&self, request: &Request) -> bool {
        let longest = match self.site.deadlines.get(request.class) {
            Some(&deadline) if deadline > 0 => LONGEST_WAIT * deadline,
            _ => ANY_WAIT,
        };
        let somewhere = |number| {
            let numbers =
                |class: &Class| class.allowed_servers.as_ref().is_none_or(|list| list.contains(&number));
            number <= u16::MAX.into() && self.site.decisions.classes.iter().any(numbers)
        };
        (1..=longest).contains(&request.left) && request.dest.is_none_or(somewhere)
    }

    fn known(&self, call: CallId) -> bool {
        self.pending.contains_key(&call)
            || self.relay.stands(call).is_some()
            || self.book.over(call).is_some_and(Over::is_final)
    }
}

pub fn answer_by(request: &Request) -> Micros {
    request.came + request.left - ANSWER_MARGIN
}
