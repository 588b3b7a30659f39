//! A handle of a queued set-up to a server or release to a client. Until its first byte is written, the
//! sender can cancel the message: a caller may leave, or a server drain, while it waits for a blocked
//! connection.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
pub struct Dispatch(Rc<Stage>);

#[derive(Debug, Default)]
struct Stage {
    begun: Cell<bool>,
    cancelled: Cell<bool>,
}

impl Dispatch {
    /// Cancels the message; returns whether none of it was written.
    pub fn cancel(&self) -> bool {
        self.0.cancelled.set(true);
        !self.0.begun.get()
    }

    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.get()
    }

    /// Records that the first byte is written.
    pub fn begin(&self) {
        self.0.begun.set(true);
    }

    pub fn has_begun(&self) -> bool {
        self.0.begun.get()
    }
}
