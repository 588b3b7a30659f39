use super::*;

const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// A release reaches its caller within this of its server's word.
const RELEASED_WITHIN: Micros = 1_000 * MS;

fn deliveries(effects: &[(Micros, Effect)]) -> usize {
    effects.iter().filter(|(_, effect)| *effect == released(5, RELEASE)[0]).count()
}

/// A member with a caller that takes releases, and no call of its own.
fn other_member() -> TestCore {
    let mut test = with_replication();
    test.core.client_health_checked(test.now, CALLER);
    test.offer(9, RELEASED_WITHIN);
    test
}

/// Guards against a caller that is told twice, by two members that a server told of one release.
#[test]
fn gives_release_of_unknown_call_unless_its_member_has_given_it() {
    type Action = fn(&mut TestCore);
    let cases: [(&str, Action, usize); 4] = [
        ("nobody claims it", |_| {}, 1),
        ("another was told of it too, and yields", |test| test.core.ended_elsewhere(test.now, CALL), 1),
        (
            "another was told of it too, and gives it",
            |test| {
                test.core.yield_release(CALL);
                test.core.ended_elsewhere(test.now, CALL);
            },
            0,
        ),
        ("its member has given it", |test| test.core.delivered_elsewhere(test.now, CALL), 0),
    ];
    for (case, action, expected) in cases {
        let mut test = other_member();
        let ended = test.end(ONE, 5, RELEASE);
        assert!(ended.contains(&Effect::AnnounceRelease { call: CALL }), "{case}: its member is asked");
        assert_eq!(
            published_states(&ended),
            [Some(CallState::ReleasePending(ONE, RELEASE))],
            "{case}: it is lost with nobody"
        );
        assert!(test.core.call_states().any(|(call, _)| call == CALL), "{case}");
        assert!(test.end(ONE, 5, RELEASE).is_empty(), "{case}: its server says it again");
        action(&mut test);
        let passed = test.pass(RELEASED_WITHIN);
        let first = passed.iter().position(|(_, effect)| *effect == released(5, RELEASE)[0]);
        assert_eq!(first.map_or(0, |_| 1), expected, "{case}: {passed:?}");
        assert_eq!(deliveries(&passed), expected, "{case}: {passed:?}");
        assert_eq!(test.breaches(), 0, "{case}");
    }
}

/// Guards against a second release by a member whose own clock ran out while an answer was on its way: it is
/// given when all have answered, and at once then.
#[test]
fn gives_release_of_unknown_call_as_soon_as_all_members_have_answered() {
    let mut test = other_member();
    test.end(ONE, 5, RELEASE);
    assert_eq!(deliveries(&test.pass(400 * MS)), 0, "an answer may be on its way");
    test.core.deliver_unclaimed(test.now, CALL);
    assert_eq!(test.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count(), 1);
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0, "once");
}

/// Guards against a release that nobody gives: the member that had the call and the one that its server told
/// of the end are both lost, and succeeded here in this order.
#[test]
fn gives_a_release_that_one_lost_member_owed_for_a_call_that_stood_at_another() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::Established(ONE));
    test.core.take_over(test.now, CALL, CallState::ReleasePending(ONE, RELEASE));
    let delivered = test.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count();
    assert_eq!((delivered, test.core.established_calls()), (1, 0));
    test.core.release_acknowledged(test.now, CALLER, CALL);
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0, "once");
}

/// Guards against a release that is given again by a successor: it has given it as one that was owed, and its
/// caller has acknowledged it, when what the server said to this member, too, is read.
#[test]
fn an_adopted_release_that_was_acknowledged_is_not_given_again_on_its_servers_word() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::ReleasePending(ONE, RELEASE));
    assert!(test.effects().contains(&released(5, RELEASE)[0]));
    test.core.release_acknowledged(test.now, CALLER, CALL);
    test.core.take_effects();
    assert_eq!(test.end(ONE, 5, RELEASE), [], "nobody is asked");
    assert_eq!(deliveries(&test.pass(RELEASED_WITHIN)), 0);
}

/// Guards against the other half: the member that has the call says so, or leaves it to the one that asks.
#[test]
fn claims_a_call_whose_caller_it_tells_and_drops_one_that_it_has_not_told() {
    type Action = fn(&mut TestCore);
    let cases: [(&str, Action, bool); 5] = [
        ("its answer is awaited", |_| {}, true),
        ("it is established", |test| drop(test.answer(ONE, 5)), false),
        (
            "its release was given",
            |test| {
                test.answer(ONE, 5);
                test.end(ONE, 5, RELEASE);
            },
            true,
        ),
        (
            "its release was confirmed",
            |test| {
                test.answer(ONE, 5);
                test.end(ONE, 5, RELEASE);
                test.core.release_acknowledged(test.now, CALLER, CALL);
            },
            true,
        ),
        ("it was refused", |test| drop(test.pass(RELEASED_WITHIN)), true),
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
        // It is asked until it has confirmed that it was.
        test.core.ended_elsewhere(test.now, CALL);
        assert_eq!(
            test.core.take_effects().contains(&Effect::ReleaseDelivered { call: CALL }),
            claims,
            "{case}, again"
        );
        if !claims {
            let late = test.end(ONE, 5, RELEASE);
            assert!(!late.contains(&released(5, RELEASE)[0]), "{case}: the other one gives it");
            assert_eq!(test.core.established_calls(), 0, "{case}");
        }
        assert_eq!(test.breaches(), 0, "{case}");
    }
}

/// Guards against a release that nobody gives: the member that was about to give it is lost, and it is said
/// here again, by its server or by what that member had promised.
#[test]
fn gives_a_release_that_was_left_to_a_member_that_is_lost() {
    type Action = fn(&mut TestCore) -> Vec<Effect>;
    let cases: [(&str, Action); 2] = [
        ("its server says it again", |test| test.end(ONE, 5, RELEASE)),
        ("the member is succeeded here", |test| {
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
        // The member that had announced it is known to be lost.
        test.core.deliver_unclaimed(test.now, CALL);
        effects.extend(test.effects().into_iter().map(|effect| (test.now, effect)));
        assert_eq!(deliveries(&effects), 1, "{case}");
        test.core.release_acknowledged(test.now, CALLER, CALL);
        test.core.ended_elsewhere(test.now, CALL);
        assert!(
            test.core.take_effects().contains(&Effect::ReleaseDelivered { call: CALL }),
            "{case}: it was given here"
        );
    }
}

/// Guards against a release that nobody gives: a successor that knew of no more than an attempt has called
/// that off, and is asked by the member that woke, whose caller was told that the call is established.
#[test]
fn claims_no_call_whose_attempt_it_only_called_off() {
    let mut test = other_member();
    test.core.take_over(test.now, CALL, CallState::AttemptPending(ONE));
    test.effects();
    test.core.ended_elsewhere(test.now, CALL);
    assert!(!test.effects().contains(&Effect::ReleaseDelivered { call: CALL }));
    assert_eq!(test.breaches(), 0);
}
