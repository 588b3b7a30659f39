use super::*;
use crate::ports::conn::Weight;

/// Time in which a connection takes a release, and some.
const LATER: Micros = 200_000;

/// The releases that a connection is given, without those that were taken back.
fn releases(inbox: &mut Inbox<ToClient>) -> usize {
    let waiting = std::iter::from_fn(|| inbox.next_now());
    waiting.filter(|line| matches!(line, ToClient::Released { .. }) && !line.is_cancelled()).count()
}

/// An owner whose release waits for one caller's connection, and another connection that has made a call.
fn with_queued_release() -> (Owner, Inbox<ToClient>, Inbox<ToClient>, Inbox<ToServer>) {
    let (mut owner, mut inbox, link, to_server) = with_call();
    let (outbox, other) = conn::channel(conn::Capacity::CLIENT);
    let client = ClientId(2);
    owner.take(Input::ClientOpened { client, peer: None, outbox });
    let now = owner.shared.clock.now();
    owner.take(Input::Offer { client, request: request(CallId(8), now) });
    owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
    owner.carry_out();
    assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })));
    owner.take(ended(link));
    owner.carry_out();
    (owner, inbox, other, to_server)
}

/// Guards against a second delivery beside one that only waits: a release that has not left is taken back.
#[test]
fn a_release_that_its_connection_does_not_take_is_given_to_one_other() {
    let (mut owner, mut first, mut other, _to_server) = with_queued_release();
    let later = owner.shared.clock.now() + LATER;
    owner.core.run_timers(later);
    owner.carry_out();
    assert_eq!((releases(&mut first), releases(&mut other)), (0, 1));
}

/// One of which a byte has left is not taken back, and goes to no other while its caller has its time.
#[test]
fn a_release_that_is_being_written_stays_with_its_connection() {
    let (mut owner, mut first, mut other, _to_server) = with_queued_release();
    let line = first.next_now().expect("it was given");
    line.begins();
    let later = owner.shared.clock.now() + LATER;
    owner.core.run_timers(later);
    owner.carry_out();
    assert!(!line.is_cancelled());
    assert_eq!(releases(&mut other), 0);
}
