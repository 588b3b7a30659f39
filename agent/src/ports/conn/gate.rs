//! Pauses the reading of one connection, so that it can be ended with everything that was read answered.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// A message that was written by its peer at most so long before the end of the connection has crossed it:
/// the peer sends it again elsewhere. The protocol allows 50 ms; the way and the peer's turn take some of it.
const CROSSING: Duration = Duration::from_millis(25);

/// Stands between a connection and its reader.
#[derive(Default)]
pub struct Gate {
    /// Since when nothing is read.
    closed: Cell<Option<Instant>>,
    opened: Notify,
    /// The reader holds no whole message, and waits for the connection.
    waiting: Cell<bool>,
}

impl Gate {
    /// The reader has handed on all that it has read, and waits for more.
    pub fn waits(&self) {
        self.waiting.set(true);
    }

    /// Resolves when the reader may read.
    pub async fn pass(&self) {
        while self.closed.get().is_some() {
            self.opened.notified().await;
        }
        self.waiting.set(false);
    }

    /// Whether the reader holds no message that it has not handed on.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get()
    }

    /// Has nothing read from now on; false, and nothing is changed, while the reader holds a message or
    /// `unread` says that one has come.
    pub fn close(&self, unread: bool) -> bool {
        let closes = self.waiting.get() && !unread;
        if closes {
            self.closed.set(Some(Instant::now()));
        }
        closes
    }

    pub fn open(&self) {
        self.closed.set(None);
        self.opened.notify_one();
    }

    /// Whether the connection may be ended: it was closed to reading when nothing was unread, and what has
    /// come since crosses the end.
    pub fn may_end(&self) -> bool {
        self.closed.get().is_some_and(|since| since.elapsed() <= CROSSING)
    }
}
