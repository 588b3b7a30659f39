use super::*;

const CALL: CallId = CallId(5);
const OTHER: ClientId = ClientId(2);
const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// A release reaches its caller within this of its server's word.
const RELEASED_WITHIN: Micros = 1_000 * MS;

/// A call is released to the connection that made it, and another connection has made calls too. What the
/// core wants of connections is left to the test.
fn with_release() -> Stand {
    let mut stand = Stand::new();
    stand.core.client_opened(stand.now, OTHER, None);
    stand.offer(5, 3_000 * MS);
    stand.answer(ONE, 5);
    stand.offer_from(OTHER, 6, 3_000 * MS);
    stand.core.server_ended(stand.now, ONE, CALL, RELEASE, Cause::Untold, Report::default());
    assert_eq!(given(&stand.core.take_effects()), [CALLER]);
    stand
}

/// The connections that are given the release.
fn given(effects: &[Effect]) -> Vec<ClientId> {
    let client = |effect: &Effect| match effect {
        Effect::Released { client, call: CALL, .. } => Some(*client),
        _ => None,
    };
    effects.iter().filter_map(client).collect()
}

/// Lets time pass without a word from any connection; returns all effects.
fn wait(stand: &mut Stand, time: Micros) -> Vec<Effect> {
    let (until, mut done) = (stand.now + time, Vec::new());
    while let Some(at) = stand.core.next_wake().filter(|&at| at <= until) {
        stand.now = at;
        stand.core.wake(at);
        done.extend(stand.core.take_effects());
    }
    stand.now = until;
    done
}

/// Guards against a late turn of this process that is taken for a caller's silence: the acknowledgement lies
/// unread on the connection, however long.
#[test]
fn redelivers_only_when_the_connection_has_nothing_unread() {
    let mut stand = with_release();
    stand.core.release_sent(stand.now, CALLER, CALL);
    let done = wait(&mut stand, 5_000 * MS);
    assert_eq!(given(&done), [], "nobody has said that nothing is unread");
    assert!(done.contains(&Effect::AskIfSilent { client: CALLER, call: CALL }), "it is asked for");
    stand.core.release_heard(stand.now, CALLER, CALL);
    stand.core.client_silent(stand.now, CALLER, CALL);
    assert_eq!(given(&wait(&mut stand, 5_000 * MS)), [], "the answer comes behind the acknowledgement");
}

/// Guards against a deadline that runs while the release waits in this process.
#[test]
fn waits_for_a_caller_from_when_the_release_has_left() {
    let mut stand = with_release();
    let left = stand.now + 140 * MS;
    stand.now = left;
    stand.core.release_sent(left, CALLER, CALL);
    stand.now = left + 390 * MS;
    stand.core.client_silent(stand.now, CALLER, CALL);
    assert_eq!(given(&stand.core.take_effects()), [], "its caller has not had its time");
    stand.now = left + 400 * MS;
    stand.core.client_silent(stand.now, CALLER, CALL);
    assert_eq!(given(&stand.core.take_effects()), [OTHER]);
    assert!(stand.now < left + RELEASED_WITHIN);
}

/// A connection that takes nothing: what has not left is taken back, so that it is given once.
#[test]
fn takes_back_what_a_connection_does_not_take() {
    let mut stand = with_release();
    let done = wait(&mut stand, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    assert_eq!(given(&done), [], "it is not known yet whether it left");
    stand.core.release_withdrawn(stand.now, CALLER, CALL);
    assert_eq!(given(&stand.core.take_effects()), [OTHER]);
    stand.core.release_withdrawn(stand.now, CALLER, CALL);
    assert_eq!(given(&stand.core.take_effects()), [], "it is another connection's by now");
}

/// Guards against a release that is lost as it is taken back: no other connection can take it.
#[test]
fn gives_back_what_no_other_connection_can_take() {
    let mut stand = with_release();
    stand.core.client_closed(stand.now, OTHER);
    stand.core.take_effects();
    let done = wait(&mut stand, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    stand.core.release_withdrawn(stand.now, CALLER, CALL);
    assert_eq!(given(&stand.core.take_effects()), [CALLER]);
}

/// A connection that has acknowledged a release is heard out while it says anything, unless it passed this
/// one over; silent, it is given up in time for another one.
#[test]
fn hears_out_a_connection_that_listens() {
    // What comes from the connection, and whether the release goes to another one within a second.
    let cases: [(&str, bool, bool, bool); 3] = [
        ("it goes on calling", true, false, false),
        ("it falls silent", false, false, true),
        ("it acknowledges a later release", true, true, true),
    ];
    for (case, calls_on, passes_over, redelivered) in cases {
        let mut stand = Stand::new();
        stand.core.client_opened(stand.now, OTHER, None);
        stand.offer_from(OTHER, 6, 9_000 * MS);
        for call in [7, 5, 8] {
            stand.offer(call, 9_000 * MS);
            stand.answer(ONE, call);
        }
        stand.end(ONE, 7, RELEASE);
        stand.core.release_heard(stand.now, CALLER, CallId(7));
        stand.now += MS;
        stand.end(ONE, 5, RELEASE);
        stand.now += MS;
        stand.end(ONE, 8, RELEASE);
        if passes_over {
            stand.core.release_heard(stand.now, CALLER, CallId(8));
        }
        let mut done = Vec::new();
        for _ in 0..9 {
            done.extend(stand.pass(100 * MS).into_iter().map(|(_, effect)| effect));
            if calls_on {
                stand.core.client_tested(stand.now, CALLER);
            }
        }
        assert_eq!(given(&done), if redelivered { vec![OTHER] } else { vec![] }, "{case}");
    }
}

/// Guards against the close of an idle connection in the same turn in which it is given a release: its
/// caller's acknowledgement would never be read, and another connection be given the release.
#[test]
fn sweeps_no_idle_connection_that_was_just_given_a_release() {
    let mut stand = with_release();
    stand.core.release_sent(stand.now, CALLER, CALL);
    stand.core.release_heard(stand.now, CALLER, CALL);
    stand.offer(7, 3_000 * MS);
    stand.answer(ONE, 7);
    // The process does not run: all that is due is due at once.
    stand.now += 6_000 * MS;
    stand.core.server_ended(stand.now, ONE, CallId(7), RELEASE, Cause::Untold, Report::default());
    stand.core.wake(stand.now);
    let close = Effect::Close { client: CALLER };
    assert!(!stand.core.take_effects().contains(&close));
}
