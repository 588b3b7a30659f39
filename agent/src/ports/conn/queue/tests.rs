//! Send queues without connections.

use super::*;
use crate::ports::dispatch::Dispatch;

enum TestMessage {
    Attempt(Dispatch),
    Release,
}

impl Weight for TestMessage {
    fn weight(&self) -> usize {
        10
    }

    fn is_attempt(&self) -> bool {
        matches!(self, TestMessage::Attempt(_))
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, TestMessage::Attempt(dispatch) if dispatch.is_cancelled())
    }
}

const FOUR_OF_EACH: Capacity = Capacity { messages: 100, attempts: 40, others: 40, unblocked_factor: 1 };

fn attempt() -> (Dispatch, TestMessage) {
    let dispatch = Dispatch::default();
    (dispatch.clone(), TestMessage::Attempt(dispatch))
}

#[test]
fn attempts_and_other_messages_have_separate_capacities() {
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let posted = (0..9).filter(|_| outbox.post(TestMessage::Release)).count();
    assert_eq!(posted, 4);
    let posted = (0..9).filter(|_| outbox.post(attempt().1)).count();
    assert_eq!(posted, 4, "releases take no capacity of attempts");
    let first = inbox.next_now().expect("a message is queued");
    assert!(!outbox.post(TestMessage::Release), "the first release is not written yet");
    inbox.done(&first);
    assert!(
        outbox.post(TestMessage::Release) && !outbox.post(TestMessage::Release) && !outbox.post(attempt().1)
    );
}

#[test]
fn cancelled_attempts_free_their_capacity() {
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let cancelled = [(); 4].map(|()| {
        let (dispatch, message) = attempt();
        assert!(outbox.post(message));
        dispatch
    });
    let (last, message) = attempt();
    assert!(!outbox.post(message));
    cancelled.iter().for_each(|dispatch| assert!(dispatch.cancel()));
    let posted = [(); 4].map(|()| outbox.post(attempt().1));
    assert_eq!(posted, [true; 4]);
    assert!(!last.is_cancelled() && std::iter::from_fn(|| inbox.next_now()).count() == 4);
}

#[test]
fn ends_with_the_last_outbox_and_accepts_nothing_without_the_inbox() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let other = outbox.clone();
    drop(outbox);
    assert!(other.post(TestMessage::Release));
    drop(other);
    assert!(runtime.block_on(inbox.next()).is_some());
    assert!(runtime.block_on(inbox.next()).is_none());
    let (outbox, inbox) = channel(FOUR_OF_EACH);
    drop(inbox);
    assert!(outbox.is_closed() && outbox.is_flushed() && !outbox.post(TestMessage::Release));
}
