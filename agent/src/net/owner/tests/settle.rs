//! What is heard before set-ups leave, where reading is slow.

use super::super::settle::{LEAST_TURNS, MOST_TURNS, SETTLE_WITHIN};
use super::*;
use std::cell::Cell;

const OTHER: ClientId = ClientId(2);

/// Has the owner settle while a peer's messages keep coming, each of which takes the runtime long to read;
/// the turns that it waited.
pub(super) fn settle_beside(owner: &mut Owner, message: impl Fn() -> Input + 'static) -> usize {
    let clock = owner.shared.clock;
    let (inputs, mut queue) = mpsc::channel(8);
    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    let slow_peer = async move {
        loop {
            let until = clock.now() + SETTLE_WITHIN / LEAST_TURNS as Micros;
            while clock.now() < until {
                std::hint::spin_loop();
            }
            counted.set(counted.get() + 1);
            let _ = inputs.try_send(message());
            tokio::task::yield_now().await;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(slow_peer);
        owner.settle(&mut queue).await;
    });
    turns.get()
}

/// An owner with a set-up of the caller that floods, and one of another.
fn with_two_set_ups() -> (Owner, Inbox<ToClient>, Inbox<ToServer>, Inbox<ToClient>) {
    let (mut owner, callers, _, mut to_server) = with_call();
    let (outbox, other) = conn::channel(conn::Capacity::SERVER);
    owner.take(Input::ClientOpened { client: OTHER, peer: None, outbox });
    let now = owner.shared.clock.now();
    for (client, call) in [(ClientId(1), CallId(8)), (OTHER, CallId(9))] {
        owner.take(Input::Offer { client, request: request(call, now) });
    }
    while to_server.next_now().is_some() {}
    (owner, callers, to_server, other)
}

pub(super) fn flood() -> Input {
    Input::ClientTested { client: ClientId(1), call: CALL }
}

fn sent(owner: &mut Owner, to_server: &mut Inbox<ToServer>) -> Vec<CallId> {
    owner.carry_out();
    std::iter::from_fn(|| to_server.next_now()).filter_map(|message| message.set_up()).collect()
}

/// Guards against a set-up that waits behind what others keep sending: a call of 9 s went out after 9.2 s,
/// behind twelve turns of the runtime that took 0.8 s each.
#[test]
fn sends_at_once_what_nobody_has_to_be_heard_out_for() {
    let (mut owner, _callers, mut to_server, _other) = with_two_set_ups();
    let turns = settle_beside(&mut owner, flood);
    assert!((LEAST_TURNS..=LEAST_TURNS + 1).contains(&turns), "{turns} turns");
    assert_eq!(sent(&mut owner, &mut to_server), [CallId(9)]);
}

/// Guards against a set-up of a caller that has left behind a flood of its own.
#[test]
fn sends_no_set_up_whose_caller_leaves_while_it_is_heard_out() {
    type Leaves = fn() -> Input;
    let cancel: Leaves =
        || Input::ClientEnded { client: ClientId(1), call: CallId(8), cause: ReleaseCause::NORMAL };
    let close: Leaves = || Input::ClientClosed { client: ClientId(1) };
    for leaves in [cancel, close] {
        let (mut owner, _callers, mut to_server, _other) = with_two_set_ups();
        settle_beside(&mut owner, flood);
        assert_eq!(sent(&mut owner, &mut to_server), [CallId(9)]);
        owner.take(leaves());
        owner.carry_out();
        let given_up = |message: &ToServer| matches!(message, ToServer::GiveUp(CallId(8)));
        let of_call = |message: &ToServer| given_up(message) || message.set_up() == Some(CallId(8));
        let left: Vec<ToServer> = std::iter::from_fn(|| to_server.next_now()).filter(of_call).collect();
        assert!(left.is_empty(), "{left:?}");
        assert!(owner.deferred.is_empty());
    }
}

/// Guards against a caller whose set-ups never leave since it never falls quiet.
#[test]
fn hears_a_caller_out_for_a_bounded_number_of_turns() {
    let (mut owner, _callers, mut to_server, _other) = with_two_set_ups();
    let mut turns = settle_beside(&mut owner, flood);
    assert_eq!(sent(&mut owner, &mut to_server), [CallId(9)]);
    while sent(&mut owner, &mut to_server).is_empty() {
        turns += settle_beside(&mut owner, flood);
        assert!(turns <= LEAST_TURNS + MOST_TURNS + LEAST_TURNS, "{turns} turns");
    }
    assert!(owner.deferred.is_empty());
}
