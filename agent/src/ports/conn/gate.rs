//! Pauses the reading of one connection, so that it can be closed with everything that was read answered.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// A message that its peer wrote at most this long before the end of the connection has crossed the end: the
/// peer sends it again elsewhere. The protocol allows 50 ms; transmission and the peer's scheduling take some
/// of it.
const CROSSING_WINDOW: Duration = Duration::from_millis(25);

/// Gate between a connection and its reader.
#[derive(Default)]
pub struct Gate {
    /// Since when reading is paused.
    closed: Cell<Option<Instant>>,
    opened: Notify,
    /// Whether the reader holds no complete message and waits for the connection.
    waiting: Cell<bool>,
}

impl Gate {
    /// Records that the reader has passed on everything that it has read and waits for more.
    pub fn set_waiting(&self) {
        self.waiting.set(true);
    }

    /// Waits until the reader may read.
    pub async fn pass(&self) {
        while self.closed.get().is_some() {
            self.opened.notified().await;
        }
        self.waiting.set(false);
    }

    /// Whether the reader holds no message that it has not passed on.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get()
    }

    /// Pauses reading; returns false and changes nothing while the reader holds a message, or where `unread`
    /// tells that one has arrived.
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

    /// Whether the connection may be closed: reading was paused when no input was unread, and what has
    /// arrived since crosses the end.
    pub fn may_end(&self) -> bool {
        self.closed.get().is_some_and(|since| since.elapsed() <= CROSSING_WINDOW)
    }
}
