//! The send queue of one connection: an outbox for whoever posts and an inbox for the task that writes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;

/// What waits to be written weighs this much.
pub trait Weight {
    fn weight(&self) -> usize;

    /// Whether it is an attempt, which counts once it is written whole.
    fn is_attempt(&self) -> bool {
        false
    }

    /// Whether it is not to leave any more, where its first byte has not.
    fn is_cancelled(&self) -> bool {
        false
    }

    /// Its first byte leaves.
    fn begins(&self) {}
}

/// How much may wait in a send queue. Past that it takes no more, so that a peer that does not read costs
/// neither memory nor anyone else's time.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub messages: usize,
    /// Weight of the attempts.
    pub attempts: usize,
    /// Weight of everything else. It has room of its own: no flood of attempts keeps back a release, and
    /// none of releases an attempt.
    pub others: usize,
    /// This many times as much may wait while the connection takes what is written. All that follows from one
    /// turn of the owner is posted before the writer runs, which says nothing of the peer.
    pub while_taken: usize,
}

impl Capacity {
    /// Of an association.
    pub const ASSOCIATION: Capacity =
        Capacity { messages: 4_096, attempts: 128 << 10, others: 128 << 10, while_taken: 1 };
    /// Of a connection to a client. One turn may refuse all that was read in it from one client and answer
    /// all that this client has open, some 8,000 messages.
    pub const CLIENT: Capacity = Capacity { while_taken: 8, ..Capacity::ASSOCIATION };
    /// Of a connection to a server. All that reaches the owner in one turn waits here before the writer has
    /// its own turn; what attempts hold altogether is bounded by the core's admission.
    pub const SERVER: Capacity =
        Capacity { messages: 16_384, attempts: 1 << 20, others: 1 << 20, while_taken: 1 };
}

struct Queue<M> {
    capacity: Capacity,
    messages: RefCell<VecDeque<M>>,
    /// Weight of the attempts and of the others that were posted and neither written nor dropped.
    attempts: Cell<usize>,
    others: Cell<usize>,
    /// Something was posted, or the last outbox is gone.
    changed: Notify,
    cut: Rc<Notify>,
    outboxes: Cell<usize>,
    /// The writer waits until the connection takes more.
    is_blocked: Cell<bool>,
    inbox_is_gone: Cell<bool>,
}

impl<M: Weight> Queue<M> {
    fn weight_like(&self, message: &M) -> (&Cell<usize>, usize) {
        if message.is_attempt() {
            (&self.attempts, self.capacity.attempts)
        } else {
            (&self.others, self.capacity.others)
        }
    }

    fn has_room(&self, message: &M) -> bool {
        let (weight, most) = self.weight_like(message);
        let times = if self.is_blocked.get() { 1 } else { self.capacity.while_taken };
        weight.get() + message.weight() <= times * most
            && self.messages.borrow().len() < times * self.capacity.messages
    }

    fn release(&self, message: &M) {
        let (weight, _) = self.weight_like(message);
        weight.set(weight.get().saturating_sub(message.weight()));
    }

    fn drop_cancelled(&self) {
        self.messages.borrow_mut().retain(|message| {
            if message.is_cancelled() {
                self.release(message);
            }
            !message.is_cancelled()
        });
    }
}

/// The end of a send queue at which messages are posted.
pub struct Outbox<M>(Rc<Queue<M>>);

/// The end of a send queue from which messages are written.
pub struct Inbox<M>(Rc<Queue<M>>);

pub fn channel<M>(capacity: Capacity) -> (Outbox<M>, Inbox<M>) {
    let queue = Rc::new(Queue {
        capacity,
        messages: RefCell::default(),
        attempts: Cell::default(),
        others: Cell::default(),
        changed: Notify::new(),
        cut: Rc::default(),
        outboxes: Cell::new(1),
        is_blocked: Cell::default(),
        inbox_is_gone: Cell::default(),
    });
    (Outbox(queue.clone()), Inbox(queue))
}

impl<M> Clone for Outbox<M> {
    fn clone(&self) -> Self {
        self.0.outboxes.set(self.0.outboxes.get() + 1);
        Outbox(self.0.clone())
    }
}

impl<M> Drop for Outbox<M> {
    fn drop(&mut self) {
        self.0.outboxes.set(self.0.outboxes.get() - 1);
        self.0.changed.notify_one();
    }
}

impl<M> Drop for Inbox<M> {
    fn drop(&mut self) {
        self.0.inbox_is_gone.set(true);
        self.0.messages.take();
    }
}

impl<M: Weight> Outbox<M> {
    /// Puts a message on its way; false when the connection has gone or takes no more.
    pub fn post(&self, message: M) -> bool {
        if self.is_closed() {
            return false;
        }
        if !self.0.has_room(&message) {
            self.0.drop_cancelled();
            if !self.0.has_room(&message) {
                return false;
            }
        }
        let (weight, _) = self.0.weight_like(&message);
        weight.set(weight.get() + message.weight());
        self.0.messages.borrow_mut().push_back(message);
        self.0.changed.notify_one();
        true
    }
}

impl<M> Outbox<M> {
    /// Ends the connection, whatever waits for it.
    pub fn cut(&self) {
        self.0.cut.notify_one();
    }

    /// Whether nobody writes what is posted any more.
    pub fn is_closed(&self) -> bool {
        self.0.inbox_is_gone.get()
    }

    /// Whether the writer waits until the connection takes more.
    pub fn is_blocked(&self) -> bool {
        self.0.is_blocked.get()
    }

    /// Whether nothing waits to be written.
    pub fn is_flushed(&self) -> bool {
        self.0.attempts.get() + self.0.others.get() == 0 || self.is_closed()
    }
}

impl<M: Weight> Inbox<M> {
    /// The next message; `None` once all outboxes are gone.
    pub async fn next(&mut self) -> Option<M> {
        loop {
            if let Some(message) = self.next_now() {
                return Some(message);
            }
            if self.0.outboxes.get() == 0 {
                return None;
            }
            self.0.changed.notified().await;
        }
    }

    /// The next message that waits already.
    pub fn next_now(&mut self) -> Option<M> {
        self.0.messages.borrow_mut().pop_front()
    }

    /// Takes back a message that was not written, as the next one.
    pub fn put_back(&mut self, message: M) {
        self.0.messages.borrow_mut().push_front(message);
    }

    /// Writes: while this waits, the connection takes no more.
    pub async fn writes<T>(&self, writing: impl Future<Output = T>) -> T {
        self.0.is_blocked.set(true);
        let written = writing.await;
        self.0.is_blocked.set(false);
        written
    }

    /// A message that was taken was written, or is dropped.
    pub fn done(&self, message: &M) {
        self.0.release(message);
    }

    /// Resolves when the owner wants the connection ended at once.
    pub fn cut(&self) -> Rc<Notify> {
        self.0.cut.clone()
    }
}

#[cfg(test)]
mod tests;
