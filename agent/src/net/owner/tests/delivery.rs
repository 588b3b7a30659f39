use super::*;
use crate::ports::conn::Weight;

/// Longer than the time that a connection has to accept a release.
const LATER: Micros = 200_000;

/// The number of releases queued on a connection and not withdrawn.
fn releases(inbox: &mut Inbox<ToClient>) -> usize {
    let waiting = std::iter::from_fn(|| inbox.next_now());
    waiting.filter(|line| matches!(line, ToClient::Released { .. }) && !line.is_cancelled()).count()
}

/// An owner whose release waits in the queue of one caller's connection, with another connection that has
/// made a call.
fn with_queued_release() -> (Owner, Inbox<ToClient>, Inbox<ToClient>, Inbox<ToServer>) {
    let (mut owner, mut inbox, link, to_server) = with_call();
    let (outbox, other) = conn::channel(conn::Capacity::CLIENT);
    let client = ClientId(2);
    owner.handle(Input::ClientOpened { client, peer: None, outbox });
    let now = owner.shared.clock.now();
    owner.handle(Input::Offer { client, request: request(CallId(8), now) });
    owner.handle(Input::Answered { link, call: CALL, description: "v=1".into() });
    owner.handle_all_effects();
    assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })));
    owner.handle(ended(link));
    owner.handle_all_effects();
    (owner, inbox, other, to_server)
}

/// Guards against a second delivery beside one that still waits: an unsent release is withdrawn.
#[test]
fn a_release_on_a_blocked_connection_is_delivered_on_one_other() {
    let (mut owner, mut first, mut other, _to_server) = with_queued_release();
    let later = owner.shared.clock.now() + LATER;
    owner.core.run_timers(later);
    owner.handle_all_effects();
    assert_eq!((releases(&mut first), releases(&mut other)), (0, 1));
}

/// A release of which a byte was written is not withdrawn, and is not delivered elsewhere within its
/// acknowledgement time.
#[test]
fn a_release_that_is_being_written_is_not_withdrawn() {
    let (mut owner, mut first, mut other, _to_server) = with_queued_release();
    let line = first.next_now().expect("a release is queued");
    line.begins();
    let later = owner.shared.clock.now() + LATER;
    owner.core.run_timers(later);
    owner.handle_all_effects();
    assert!(!line.is_cancelled());
    assert_eq!(releases(&mut other), 0);
}
