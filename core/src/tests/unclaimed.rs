use super::*;

const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// The caller receives a release within this time after the server sent it.
const RELEASED_WITHIN: Micros = 1_000 * MS;

fn deliveries(effects: &[(Micros, Effect)]) -> usize {
    effects.iter().filter(|(_, effect)| *effect == released(5, RELEASE)[0]).count()
}

/// A member with a client that is sent releases, and no established call.
fn other_member() -> TestCore {
    let mut test = with_replication();
    test.core.client_health_checked(test.now, CALLER);
    test.offer(9, RELEASED_WITHIN);
    test
}

/// Guards against a caller that is told twice, by two members that a server sent the same release.
#[test]
fn delivers_release_of_unknown_call_unless_its_member_has_delivered_it() {
    type Action = fn(&mut TestCore);
    let cases: [(&str, Action, usize); 4] = [
        ("no member claims the release", |_| {}, 1),
        (
            "another member announces the release, too, and yields",
            |test| test.core.ended_elsewhere(test.now, CALL),
            1,
        ),
        (
            "another member announces the release, too, and delivers it",
            |test| {
                test.core.yield_release(CALL);
                test.core.ended_elsewhere(test.now, CALL);
            },
            0,
        ),
        (
            "the member of the call has delivered the release",
            |test| test.core.delivered_elsewhere(test.now, CALL),
            0,
        ),
    ];
    for (case, action, expected) in cases {
        let mut test = other_member();
        let ended = test.end(ONE, 5, RELEASE);
        assert!(
            ended.contains(&Effect::AnnounceRelease { call: CALL }),
            "{case}: the release is announced to its member"
        );
        assert_eq!(
            published_states(&ended),
            [Some(CallState::ReleasePending(ONE, RELEASE))],
            "{case}: the release is replicated"
        );
        assert!(test.core.call_states().any(|(call, _)| call == CALL), "{case}");
        assert!(test.end(ONE, 5, RELEASE).is_empty(), "{case}: the server repeats the release");
        action(&mut test);
        let passed = test.pass(RELEASED_WITHIN);
        let first = passed.iter().position(|(_, effect)| *effect == released(5, RELEASE)[0]);
        assert_eq!(first.map_or(0, |_| 1), expected, "{case}: {passed:?}");
        assert_eq!(deliveries(&passed), expected, "{case}: {passed:?}");
        assert_eq!(test.breaches(), 0, "{case}");
    }
}

/// Guards against a second release by a member whose claim timeout passed while a reply was on its way: the
/// release is delivered at once when all members have replied.
#[test]
fn delivers_release_of_unknown_call_as_soon_as_all_members_have_replied() {
    let mut test = other_member();
    test.end(ONE, 5, RELEASE);
    assert_eq!(deliveries(&test.pass(400 * MS)), 0, "a reply may be on its way");
    test.core.deliver_unclaimed(test.now, CALL);
    assert_eq!(test.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count(), 1);
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0, "the release is delivered once");
}

/// Guards against a release that no member delivers: the member that had the call and the one that received
/// the release from the server are both lost, and their calls are taken over here in this order.
#[test]
fn delivers_pending_release_of_one_lost_member_for_call_established_at_another() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::Established(ONE));
    test.core.take_over(test.now, CALL, CallState::ReleasePending(ONE, RELEASE));
    let delivered = test.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count();
    assert_eq!((delivered, test.core.established_calls()), (1, 0));
    test.core.release_acknowledged(test.now, CALLER, CALL);
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0, "the release is delivered once");
}

/// Guards against a release that a successor delivers again: it has delivered the release as a pending one of
/// the lost member, and the caller has acknowledged it, when the same release from the server is read.
#[test]
fn a_taken_over_release_that_was_acknowledged_is_not_delivered_again_when_the_server_repeats_it() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::ReleasePending(ONE, RELEASE));
    assert!(test.effects().contains(&released(5, RELEASE)[0]));
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.core.take_effects();
    assert_eq!(test.end(ONE, 5, RELEASE), [], "the release is not announced");
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0);
}

/// Guards against a release that is delivered twice or not at all: the member that has the call claims it, or
/// leaves it to the member that announced the release.
#[test]
fn claims_a_call_whose_caller_it_has_told_and_drops_one_whose_caller_it_has_not() {
    type Action = fn(&mut TestCore);
    let cases: [(&str, Action, bool); 5] = [
        ("the call is unanswered", |_| {}, true),
        ("the call is established", |test| drop(test.answer(ONE, 5)), false),
        (
            "the release was delivered",
            |test| {
                test.answer(ONE, 5);
                test.end(ONE, 5, RELEASE);
            },
            true,
        ),
        (
            "the release was acknowledged",
            |test| {
                test.answer(ONE, 5);
                test.end(ONE, 5, RELEASE);
                test.core.release_acknowledged(test.now, CALLER, CALL);
            },
            true,
        ),
        ("the call failed", |test| drop(test.pass(RELEASED_WITHIN)), true),
    ];
    for (case, action, claims) in cases {
        let mut test = with_replication();
        test.offer(5, RELEASED_WITHIN);
        action(&mut test);
        test.core.take_effects();
        test.core.ended_elsewhere(test.now, CALL);
        let reported = test.core.take_effects();
        assert_eq!(
            reported.contains(&Effect::ReleaseDelivered { call: CALL }),
            claims,
            "{case}: {reported:?}"
        );
        // The announcement is repeated until the member has confirmed that it received it.
        test.core.ended_elsewhere(test.now, CALL);
        assert_eq!(
            test.core.take_effects().contains(&Effect::ReleaseDelivered { call: CALL }),
            claims,
            "{case}, repeated"
        );
        if !claims {
            let late = test.end(ONE, 5, RELEASE);
            assert!(
                !late.contains(&released(5, RELEASE)[0]),
                "{case}: the other member delivers the release"
            );
            assert_eq!(test.core.established_calls(), 0, "{case}");
        }
        assert_eq!(test.breaches(), 0, "{case}");
    }
}

/// Guards against a release that no member delivers: the member that had announced it is lost, and the
/// release arrives here again, from the server or with the lost member's calls.
#[test]
fn delivers_a_release_that_was_left_to_a_member_that_is_lost() {
    type Action = fn(&mut TestCore) -> Vec<Effect>;
    let cases: [(&str, Action); 2] = [
        ("the server repeats the release", |test| test.end(ONE, 5, RELEASE)),
        ("the member's calls are taken over here", |test| {
            test.core.take_over(test.now, CALL, CallState::ReleasePending(ONE, RELEASE));
            test.effects()
        }),
    ];
    for (case, action) in cases {
        let mut test = with_replication();
        test.offer(5, RELEASED_WITHIN);
        test.answer(ONE, 5);
        test.core.ended_elsewhere(test.now, CALL);
        test.effects();
        let mut effects: Vec<_> = action(&mut test).into_iter().map(|effect| (test.now, effect)).collect();
        assert!(
            effects.iter().any(|(_, effect)| *effect == Effect::AnnounceRelease { call: CALL }),
            "{case}"
        );
        effects.extend(test.pass(RELEASED_WITHIN));
        // The member that had announced the release is known to be lost.
        test.core.deliver_unclaimed(test.now, CALL);
        effects.extend(test.effects().into_iter().map(|effect| (test.now, effect)));
        assert_eq!(deliveries(&effects), 1, "{case}");
        test.core.release_acknowledged(test.now, CALLER, CALL);
        test.core.ended_elsewhere(test.now, CALL);
        assert!(
            test.core.take_effects().contains(&Effect::ReleaseDelivered { call: CALL }),
            "{case}: the release was delivered here"
        );
    }
}

/// Guards against a release that no member delivers: a successor that knew only of an attempt has aborted it,
/// and the former owner, whose caller was told that the call is established, wakes up and announces the
/// release.
#[test]
fn does_not_claim_a_call_whose_attempt_it_only_aborted() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::AttemptPending(ONE));
    test.effects();
    test.core.ended_elsewhere(test.now, CALL);
    assert!(!test.effects().contains(&Effect::ReleaseDelivered { call: CALL }));
    assert_eq!(test.breaches(), 0);
}
