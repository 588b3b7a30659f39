use super::*;

const CALL: CallId = CallId(5);
const OTHER: ClientId = ClientId(2);
const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// The caller receives a release within this time after the server sent it.
const RELEASED_WITHIN: Micros = 1_000 * MS;

/// A call is released to the connection that made it, and another connection has made calls, too. The test
/// carries out the effects on connections itself.
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

/// The connections that the release is delivered on.
fn recipients(effects: &[Effect]) -> Vec<ClientId> {
    let client = |effect: &Effect| match effect {
        Effect::DeliverRelease { client, call: CALL, .. } => Some(*client),
        _ => None,
    };
    effects.iter().filter_map(client).collect()
}

/// Advances the clock without input from any connection; returns all effects.
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

/// Guards against a delay of this process that is taken for a missing acknowledgement, which lies unread on
/// the connection meanwhile.
#[test]
fn redelivers_only_if_the_connection_has_no_unread_input() {
    let mut test = with_release();
    test.core.release_sent(test.now, CALLER, CALL);
    let done = wait(&mut test, 5_000 * MS);
    assert_eq!(recipients(&done), [], "the connection may hold unread input");
    assert!(
        done.contains(&Effect::CheckUnreadInput { client: CALLER, call: CALL }),
        "the connection is checked for unread input"
    );
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&wait(&mut test, 5_000 * MS)), [], "the reply follows the acknowledgement");
}

/// Guards against an acknowledgement timeout that runs while the release waits in this process.
#[test]
fn starts_the_acknowledgement_timeout_when_the_release_was_sent() {
    let mut test = with_release();
    let left = test.now + 140 * MS;
    test.now = left;
    test.core.release_sent(left, CALLER, CALL);
    test.now = left + 390 * MS;
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [], "the acknowledgement timeout has not passed");
    test.now = left + 400 * MS;
    test.core.no_unread_input(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [OTHER]);
    assert!(test.now < left + RELEASED_WITHIN);
}

/// Guards against a release that is delivered twice: if a connection does not drain, the release is withdrawn
/// before it is delivered on another one.
#[test]
fn withdraws_a_release_from_a_connection_that_does_not_drain() {
    let mut test = with_release();
    let done = wait(&mut test, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    assert_eq!(recipients(&done), [], "the release may have been sent");
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [OTHER]);
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [], "the release is with another connection");
}

/// Guards against a release that is lost when it is withdrawn and no other connection can take it.
#[test]
fn delivers_a_withdrawn_release_again_if_no_other_connection_can_take_it() {
    let mut test = with_release();
    test.core.client_closed(test.now, OTHER);
    test.core.take_effects();
    let done = wait(&mut test, 200 * MS);
    assert!(done.contains(&Effect::WithdrawRelease { client: CALLER, call: CALL }));
    test.core.release_withdrawn(test.now, CALLER, CALL);
    assert_eq!(recipients(&test.core.take_effects()), [CALLER]);
}

/// A connection that has acknowledged a release gets more time while input is received on it, unless it has
/// skipped this release; without input it is given up in time for another connection.
#[test]
fn waits_longer_for_a_connection_that_has_acknowledged_before() {
    // Whether input is received, whether a later release is acknowledged, and whether the release is
    // redelivered on another connection within a second.
    let cases: [(&str, bool, bool, bool); 3] = [
        ("the connection goes on sending", true, false, false),
        ("the connection stops sending", false, false, true),
        ("the connection acknowledges a later release", true, true, true),
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

/// Guards against closing an idle connection in the same turn in which it is sent a release: the caller's
/// acknowledgement would never be read, and another connection would be sent the release.
#[test]
fn keeps_an_idle_connection_that_was_just_sent_a_release() {
    let mut test = with_release();
    test.core.release_sent(test.now, CALLER, CALL);
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.offer(7, 3_000 * MS);
    test.answer(ONE, 7);
    // The process is suspended: all timers are due at once.
    test.now += 6_000 * MS;
    test.core.server_ended(test.now, ONE, CallId(7), RELEASE, Cause::Untold, Report::default());
    test.core.run_timers(test.now);
    let close = Effect::Close { client: CALLER };
    assert!(!test.core.take_effects().contains(&close));
}
