//! Send queues without connections.

use super::*;
use crate::ports::dispatch::Dispatch;

enum Line {
    Attempt(Dispatch),
    Release,
}

impl Weight for Line {
    fn weight(&self) -> usize {
        10
    }

    fn is_attempt(&self) -> bool {
        matches!(self, Line::Attempt(_))
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, Line::Attempt(dispatch) if dispatch.is_cancelled())
    }
}

const FOUR_OF_EACH: Capacity = Capacity { messages: 100, attempts: 40, others: 40, unblocked_factor: 1 };

fn attempt() -> (Dispatch, Line) {
    let dispatch = Dispatch::default();
    (dispatch.clone(), Line::Attempt(dispatch))
}

#[test]
fn keeps_room_for_attempts_and_for_others_apart() {
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let posted = (0..9).filter(|_| outbox.post(Line::Release)).count();
    assert_eq!(posted, 4);
    let posted = (0..9).filter(|_| outbox.post(attempt().1)).count();
    assert_eq!(posted, 4, "releases take no room of attempts");
    let first = inbox.next_now().expect("one waits");
    assert!(!outbox.post(Line::Release), "it is not written yet");
    inbox.done(&first);
    assert!(outbox.post(Line::Release) && !outbox.post(Line::Release) && !outbox.post(attempt().1));
}

#[test]
fn gives_room_of_cancelled_attempts_to_others() {
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let cancelled = [(); 4].map(|()| {
        let (dispatch, line) = attempt();
        assert!(outbox.post(line));
        dispatch
    });
    let (last, line) = attempt();
    assert!(!outbox.post(line));
    cancelled.iter().for_each(|dispatch| assert!(dispatch.cancel()));
    let posted = [(); 4].map(|()| outbox.post(attempt().1));
    assert_eq!(posted, [true; 4]);
    assert!(!last.is_cancelled() && std::iter::from_fn(|| inbox.next_now()).count() == 4);
}

#[test]
fn ends_with_its_last_outbox_and_takes_nothing_without_its_inbox() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let (outbox, mut inbox) = channel(FOUR_OF_EACH);
    let other = outbox.clone();
    drop(outbox);
    assert!(other.post(Line::Release));
    drop(other);
    assert!(runtime.block_on(inbox.next()).is_some());
    assert!(runtime.block_on(inbox.next()).is_none());
    let (outbox, inbox) = channel(FOUR_OF_EACH);
    drop(inbox);
    assert!(outbox.is_closed() && outbox.is_flushed() && !outbox.post(Line::Release));
}
