use super::*;

const CALL: CallId = CallId(5);
const OTHER: ClientId = ClientId(2);
const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// A release reaches its caller within this of its server's word.
const RELEASED_WITHIN: Micros = 1_000 * MS;

/// A call is released to the connection that made it, and another connection has made calls too. What the
/// core wants of connections is left to the test.
fn with_release() -> TestCore {
    let mut test = TestCore::new();
    test.core.client_opened(test.now, OTHER, None);
    test.offer(5, 3_000 * MS);
    test.answer(ONE, 5);
    test.offer_from(OTHER, 6, 3_000 * MS);
    test.core.server_ended(test.now, ONE, CALL, RELEASE, Cause::Untold, Report::default());
    assert_eq!(recipients(&test.core.take_effects()), [CALLER]);
    test
}

/// The connections that are given the release.
fn recipients(effects: &[Effect]) -> Vec<ClientId> {
    let client = |effect: &Effect| match effect {
        Effect::DeliverRelease { client, call: CALL, .. } => Some(*client),
        _ => None,
    };
    effects.iter().filter_map(client).collect()
}

/// Lets time pass without a word from any connection; returns all effects.
fn wait(test: &mut TestCore, time: Micros) -> Vec<Effect> {
    let (until, mut done) = (test.now + time, Vec::new());
    while let Some(at) = test.core.next_timer().filter(|&at| at <= until) {
        test.now = at;
        test.core.run_timers(at);
        done.extend(test.core.take_effects());
    }
    test.now = until;
    done
}

/// Guards against a late turn of this process that is taken for a caller's silence: the acknowledgement lies
/// unread on the connection, however long.
#[test]
fn redelivers_only_when_the_connection_has_nothing_unread() {
    let mut test = with_release();
    test.core.release_sent(test.now, CALLER, CALL);
    let done = wait(&mut test, 5_000 * MS);
    assert_eq!(recipients(&done), [], "nobody has said that nothing is unread");
    assert!(done.contains(&Effect::CheckUnreadInput { client: CALLER, call: CALL }), "it is asked for");
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&wait(&mut test, 5_000 * MS)), [], "the answer comes behind the acknowledgement");
}

/// Guards against a deadline that runs while the release waits in this process.
#[test]
fn waits_for_a_caller_from_when_the_release_has_left() {
    let mut test = with_release();
    let left = test.now + 140 * MS;
    test.now = left;
    test.core.release_sent(left, CALLER, CALL);
    test.now = left + 390 * MS;
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [], "its caller has not had its time");
    test.now = left + 400 * MS;
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [OTHER]);
    assert!(test.now < left + RELEASED_WITHIN);
}

/// A connection that takes nothing: what has not left is taken back, so that it is given once.
#[test]
fn takes_back_what_a_connection_does_not_take() {
    let mut test = with_release();
    let done = wait(&mut test, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    assert_eq!(recipients(&done), [], "it is not known yet whether it left");
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [OTHER]);
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [], "it is another connection's by now");
}

/// Guards against a release that is lost as it is taken back: no other connection can take it.
#[test]
fn gives_back_what_no_other_connection_can_take() {
    let mut test = with_release();
    test.core.client_closed(test.now, OTHER);
    test.core.take_effects();
    let done = wait(&mut test, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [CALLER]);
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
        let mut test = TestCore::new();
        test.core.client_opened(test.now, OTHER, None);
        test.offer_from(OTHER, 6, 9_000 * MS);
        for call in [7, 5, 8] {
            test.offer(call, 9_000 * MS);
            test.answer(ONE, call);
        }
        test.end(ONE, 7, RELEASE);
        test.core.release_acknowledged(test.now, CALLER, CallId(7));
        test.now += MS;
        test.end(ONE, 5, RELEASE);
        test.now += MS;
        test.end(ONE, 8, RELEASE);
        if passes_over {
            test.core.release_acknowledged(test.now, CALLER, CallId(8));
        }
        let mut done = Vec::new();
        for _ in 0..9 {
            done.extend(test.pass(100 * MS).into_iter().map(|(_, effect)| effect));
            if calls_on {
                test.core.client_health_checked(test.now, CALLER);
            }
        }
        assert_eq!(recipients(&done), if redelivered { vec![OTHER] } else { vec![] }, "{case}");
    }
}

/// Guards against the close of an idle connection in the same turn in which it is given a release: its
/// caller's acknowledgement would never be read, and another connection be given the release.
#[test]
fn sweeps_no_idle_connection_that_was_just_given_a_release() {
    let mut test = with_release();
    test.core.release_sent(test.now, CALLER, CALL);
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.offer(7, 3_000 * MS);
    test.answer(ONE, 7);
    // The process does not run: all that is due is due at once.
    test.now += 6_000 * MS;
    test.core.server_ended(test.now, ONE, CallId(7), RELEASE, Cause::Untold, Report::default());
    test.core.run_timers(test.now);
    let close = Effect::Close { client: CALLER };
    assert!(!test.core.take_effects().contains(&close));
}
