//! The end of a process that is late, or to which more keeps coming.

use super::settle::{flood, settle_beside};
use super::*;
use tokio::time::timeout;

/// Since a process whose longest deadline counts as 3 s was told to stop, when all is answered.
const ANSWERS_ALL: Micros = 3_450_000;

fn stop(owner: &mut Owner, since: Micros) {
    let at = owner.shared.clock.now() - since;
    owner.take(Input::Stop { replaced: false, at });
}

/// Guards against a process that listens once more before it ends, hears something each time, and is killed.
#[test]
fn ends_though_more_keeps_coming() {
    let (mut owner, _inbox, _, _to_server) = with_call();
    stop(&mut owner, ANSWERS_ALL);
    let (inputs, queue) = mpsc::channel(8);
    let peer = async move {
        while !inputs.is_closed() {
            let _ = inputs.try_send(flood());
            tokio::task::yield_now().await;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(peer);
        timeout(Duration::from_secs(20), owner.run(queue)).await.expect("it ends");
    });
}

/// Guards against a process whose turns take seconds: all that was open was answered after the kill.
#[test]
fn answers_all_in_the_last_turn_that_is_in_time() {
    const SECOND: Micros = 1_000_000;
    let table = [
        (ANSWERS_ALL - 2 * SECOND, SECOND, 0),
        (ANSWERS_ALL - SECOND, SECOND, 1),
        (SECOND / 2, 9 * SECOND, 0),
    ];
    for (since, turn, answers) in table {
        let (mut owner, mut inbox, _, _to_server) = with_call();
        let at = owner.shared.clock.now();
        owner.take(Input::Stop { replaced: false, at });
        (owner.polled, owner.turn) = (at + since, turn);
        owner.answer_all_in_time();
        owner.carry_out();
        let failed =
            |said: &ToClient| matches!(said, ToClient::Final { call: CALL, verdict: Verdict::Failed });
        let said = std::iter::from_fn(|| inbox.next_now()).filter(failed).count();
        assert_eq!(said, answers, "{since} since SIGTERM, turns of {turn}");
        assert_eq!(owner.is_done(owner.polled), answers == 1, "{since} since SIGTERM, turns of {turn}");
    }
}

/// Guards against answers to what was heard last that wait behind the end of their connection.
#[test]
fn answers_what_it_heard_last_before_it_ends_the_connection() {
    let (mut owner, mut inbox, _, _to_server) = with_call();
    stop(&mut owner, ANSWERS_ALL);
    owner.core.run_timers(owner.shared.clock.now());
    owner.carry_out();
    let now = owner.shared.clock.now();
    owner.polled = now;
    owner.take(Input::Offer { client: ClientId(1), request: request(CallId(8), now) });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, owner.flush(&mut mpsc::channel(1).1));
    let messages = std::iter::from_fn(|| inbox.next_now());
    let before_end: Vec<_> = messages.take_while(|message| !matches!(message, ToClient::Finish)).collect();
    assert!(matches!(before_end[..], [.., ToClient::Final { call: CallId(8), .. }]), "{before_end:?}");
}

/// Guards against a last turn that goes on for as long as there is something to hear.
#[test]
fn hears_no_more_once_it_should_have_ended() {
    // One that has all the time, and one that has none.
    for (since, left) in [(-3_600_000_000, 0), (ANSWERS_ALL + 200_000, 99)] {
        let (mut owner, _inbox, _, _to_server) = with_call();
        let (inputs, mut queue) = mpsc::channel(100);
        for _ in 0..100 {
            assert!(inputs.try_send(flood()).is_ok());
        }
        stop(&mut owner, since);
        owner.drain(&mut queue);
        assert_eq!(queue.len(), left, "{since} since SIGTERM");
        let turns = settle_beside(&mut owner, flood);
        assert_eq!(turns == 1, left > 0, "{since} since SIGTERM: {turns} turns");
    }
}
