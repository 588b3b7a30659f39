//! A set-up on its way to a server, or a release on its way to a client. Until its first byte leaves,
//! whoever posted it can cancel it: a caller may go, or a server be told to drain, while it waits for a
//! connection that takes nothing.

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
    /// Keeps what has not left yet from leaving; true where nothing has.
    pub fn cancel(&self) -> bool {
        self.0.cancelled.set(true);
        !self.0.begun.get()
    }

    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.get()
    }

    /// Its first byte leaves.
    pub fn begin(&self) {
        self.0.begun.set(true);
    }

    pub fn has_begun(&self) -> bool {
        self.0.begun.get()
    }
}
