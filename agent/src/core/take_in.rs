//! First stage: a set-up as read becomes a call of the decisions, or is turned back as invalid.

use steprelay_decisions::{Call, CallId, Micros};

use super::book::Over;
use super::{Core, Request};

/// The answer is given so long before the caller gives up: it has to cross to the caller, and a timer of
/// ours may fire late on a shared core.
pub const ANSWER_MARGIN: Micros = 30_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    UnknownClass,
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
        let remaining = answer_by(request) - now;
        if remaining <= 0 {
            return Err(Unfit::NoTimeLeft);
        }
        Ok(Call {
            id: request.call,
            class: request.class,
            tenant: request.tenant,
            dest: request.dest,
            subject: request.number.to_string(),
            remaining,
            again: false,
            was_cut: request.was_cut,
            in_transit: false,
        })
    }

    fn known(&self, call: CallId) -> bool {
        self.pending.contains_key(&call)
            || self.relay.stands(call).is_some()
            || self.book.over(call) == Some(Over::Answered)
    }
}

pub fn answer_by(request: &Request) -> Micros {
    request.came + request.left - ANSWER_MARGIN
}
