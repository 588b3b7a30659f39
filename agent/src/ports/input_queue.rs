//! The queue of inputs to the owner of the core, in the order of their arrival.
//!
//! Places in it are limited apart for connections to servers and for all else: a server's messages concern
//! all callers, and must not wait for a place in turn behind each of many clients.

use std::sync::Arc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Input;

/// The owner of the core has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerEnded;

/// The queue is full, or the owner of the core has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no place in the queue")]
pub struct NotQueued;

/// An input and its place, which is free again once the input is taken.
struct Queued {
    input: Input,
    _place: OwnedSemaphorePermit,
}

/// The sending half, with the places of one kind of sender.
#[derive(Clone)]
pub struct InputSender {
    queue: UnboundedSender<Queued>,
    places: Arc<Semaphore>,
}

/// A place in the queue.
pub struct Place<'a> {
    queue: &'a UnboundedSender<Queued>,
    permit: OwnedSemaphorePermit,
}

impl Place<'_> {
    pub fn send(self, input: Input) {
        // Where the owner has ended, nobody waits for the input.
        let _ = self.queue.send(Queued { input, _place: self.permit });
    }
}

impl InputSender {
    /// Waits for a place.
    ///
    /// # Errors
    /// The owner has ended.
    pub async fn reserve(&self) -> Result<Place<'_>, OwnerEnded> {
        let permit = Arc::clone(&self.places).acquire_owned().await.map_err(|_| OwnerEnded)?;
        if self.is_closed() {
            return Err(OwnerEnded);
        }
        Ok(Place { queue: &self.queue, permit })
    }

    /// Queues an input once there is a place for it.
    ///
    /// # Errors
    /// The owner has ended.
    pub async fn send(&self, input: Input) -> Result<(), OwnerEnded> {
        self.reserve().await?.send(input);
        Ok(())
    }

    /// Queues an input if there is a place for it.
    ///
    /// # Errors
    /// There is no place, or the owner has ended.
    pub fn try_send(&self, input: Input) -> Result<(), NotQueued> {
        match Arc::clone(&self.places).try_acquire_owned() {
            Ok(permit) if !self.is_closed() => {
                Place { queue: &self.queue, permit }.send(input);
                Ok(())
            }
            _ => Err(NotQueued),
        }
    }

    /// Whether the owner has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// The sending halves for connections to servers and for all else.
pub struct InputSenders {
    pub servers: InputSender,
    pub others: InputSender,
}

/// The receiving half.
pub struct InputQueue {
    queue: UnboundedReceiver<Queued>,
    places: [Arc<Semaphore>; 2],
}

/// `capacity`: number of places for both kinds of senders.
pub fn channel(capacity: usize) -> (InputSenders, InputQueue) {
    let places = [(); 2].map(|()| Arc::new(Semaphore::new((capacity / 2).max(1))));
    let (queue, receiver) = mpsc::unbounded_channel();
    let [servers, others] = places.clone().map(|places| InputSender { queue: queue.clone(), places });
    (InputSenders { servers, others }, InputQueue { queue: receiver, places })
}

impl InputQueue {
    /// Number of queued inputs.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the next input, if one is queued.
    pub fn try_recv(&mut self) -> Option<Input> {
        self.queue.try_recv().ok().map(|queued| queued.input)
    }

    /// Waits for the next input; `None` once all senders are gone.
    pub async fn recv(&mut self) -> Option<Input> {
        self.queue.recv().await.map(|queued| queued.input)
    }
}

impl Drop for InputQueue {
    /// Wakes those that wait for a place.
    fn drop(&mut self) {
        self.queue.close();
        self.places.iter().for_each(|places| places.close());
    }
}
