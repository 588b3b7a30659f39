//! The lines of one world, printed where a rule is broken.

use std::cell::RefCell;
use std::fmt::Display;

use steprelay_decisions::CallId;

thread_local! {
    /// Whose lines are kept: `None` for nobody's.
    static TRACED: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
    static WHERE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Keeps lines from now on, on this thread.
pub fn start() {
    TRACED.set(Some(Vec::new()));
}

/// The lines so far; none are kept any more.
pub fn take() -> Vec<String> {
    TRACED.take().unwrap_or_default()
}

/// Whose turn it is, and when.
pub fn turn_of(name: impl FnOnce() -> String) {
    if TRACED.with_borrow(Option::is_some) {
        WHERE.set(name());
    }
}

pub fn line(call: u64, text: impl FnOnce() -> String) {
    TRACED.with_borrow_mut(|lines| {
        if let Some(lines) = lines {
            let place = WHERE.with_borrow(String::clone);
            lines.push(format!("call {call}: {place} {}", text()));
        }
    });
}

pub fn replicated(call: CallId, event: impl Display) {
    line(call.0, || event.to_string());
}

pub fn lease(call: CallId, left: Option<i64>, _renounced: u64) {
    line(call.0, || format!("tells its caller with {left:?} ms of lease"));
}
