//! The send queue of one connection: an outbox for the tasks that post messages and an inbox for the task
//! that writes them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

use tokio::sync::Notify;

/// A message with a weight in bytes, by which a send queue is bounded.
pub trait Weight {
    fn weight(&self) -> usize;

    /// Whether the message is an attempt, which is counted once it is written completely.
    fn is_attempt(&self) -> bool {
        false
    }

    /// Whether the message was cancelled and must not be sent, if its first byte was not written.
    fn is_cancelled(&self) -> bool {
        false
    }

    /// Records that the first byte is written.
    fn mark_begun(&self) {}
}

/// Capacity of a send queue. A full queue accepts no more messages, so that a peer that does not read costs
/// neither memory nor other peers' time.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub messages: usize,
    /// Maximum weight of the attempts.
    pub attempts: usize,
    /// Maximum weight of all other messages. It is separate so that no flood of attempts holds back a
    /// release, and no flood of releases an attempt.
    pub others: usize,
    /// Factor for the capacity while the connection accepts data. All messages of one iteration of the owner
    /// are posted before the writer runs, so their number says nothing about the peer.
    pub unblocked_factor: usize,
}

impl Capacity {
    /// For an association.
    pub const ASSOCIATION: Capacity =
        Capacity { messages: 4_096, attempts: 128 << 10, others: 128 << 10, unblocked_factor: 1 };
    /// For a connection to a client. One iteration may refuse all input read from one client and answer all
    /// of its open calls, some 8,000 messages.
    pub const CLIENT: Capacity = Capacity { unblocked_factor: 8, ..Capacity::ASSOCIATION };
    /// For a connection to a server. All messages of one iteration of the owner wait here before the writer
    /// runs; the total of the attempts is bounded by the core's admission.
    pub const SERVER: Capacity =
        Capacity { messages: 16_384, attempts: 1 << 20, others: 1 << 20, unblocked_factor: 1 };
}

struct Queue<M> {
    capacity: Capacity,
    messages: RefCell<VecDeque<M>>,
    /// Weight of the attempts and of the other messages that were posted and neither written nor dropped.
    attempts: Cell<usize>,
    others: Cell<usize>,
    /// Signalled when a message is posted or the last outbox is dropped.
    changed: Notify,
    cut: Rc<Notify>,
    outboxes: Cell<usize>,
    /// Whether the writer waits until the connection accepts more data.
    is_blocked: Cell<bool>,
    inbox_is_gone: Cell<bool>,
}

impl<M: Weight> Queue<M> {
    fn weight_class(&self, message: &M) -> (&Cell<usize>, usize) {
        if message.is_attempt() {
            (&self.attempts, self.capacity.attempts)
        } else {
            (&self.others, self.capacity.others)
        }
    }

    fn has_capacity(&self, message: &M) -> bool {
        let (weight, most) = self.weight_class(message);
        let times = if self.is_blocked.get() { 1 } else { self.capacity.unblocked_factor };
        weight.get() + message.weight() <= times * most
            && self.messages.borrow().len() < times * self.capacity.messages
    }

    fn release(&self, message: &M) {
        let (weight, _) = self.weight_class(message);
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

/// The sending half of a send queue.
pub struct Outbox<M>(Rc<Queue<M>>);

/// The receiving half of a send queue.
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
    /// Queues a message; returns false when the connection is closed or the queue is full.
    pub fn post(&self, message: M) -> bool {
        if self.is_closed() {
            return false;
        }
        if !self.0.has_capacity(&message) {
            self.0.drop_cancelled();
            if !self.0.has_capacity(&message) {
                return false;
            }
        }
        let (weight, _) = self.0.weight_class(&message);
        weight.set(weight.get() + message.weight());
        self.0.messages.borrow_mut().push_back(message);
        self.0.changed.notify_one();
        true
    }
}

impl<M> Outbox<M> {
    /// Closes the connection at once, without writing queued messages.
    pub fn cut(&self) {
        self.0.cut.notify_one();
    }

    /// Whether the writer is gone.
    pub fn is_closed(&self) -> bool {
        self.0.inbox_is_gone.get()
    }

    /// Whether the writer waits until the connection accepts more data.
    pub fn is_blocked(&self) -> bool {
        self.0.is_blocked.get()
    }

    /// Whether all posted messages were written or dropped.
    pub fn is_flushed(&self) -> bool {
        self.0.attempts.get() + self.0.others.get() == 0 || self.is_closed()
    }
}

impl<M: Weight> Inbox<M> {
    /// Returns the next message, or `None` once all outboxes are dropped.
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

    /// Returns the next message, if one is queued.
    pub fn next_now(&mut self) -> Option<M> {
        self.0.messages.borrow_mut().pop_front()
    }

    /// Returns an unwritten message to the front of the queue.
    pub fn put_back(&mut self, message: M) {
        self.0.messages.borrow_mut().push_front(message);
    }

    /// Runs a write; while the future is pending, the connection counts as blocked.
    pub async fn while_blocked<T>(&self, writing: impl Future<Output = T>) -> T {
        self.0.is_blocked.set(true);
        let written = writing.await;
        self.0.is_blocked.set(false);
        written
    }

    /// Frees the capacity of a message that was written or is dropped.
    pub fn done(&self, message: &M) {
        self.0.release(message);
    }

    /// Notified when the owner closes the connection at once.
    pub fn cut(&self) -> Rc<Notify> {
        self.0.cut.clone()
    }
}

#[cfg(test)]
mod tests;
