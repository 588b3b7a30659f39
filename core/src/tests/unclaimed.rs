use super::*;

const RELEASE: ReleaseCause = ReleaseCause::NORMAL;
/// A release reaches its caller within this of its server's word.
const RELEASED_WITHIN: Micros = 1_000 * MS;

fn told(effects: &[(Micros, Effect)]) -> usize {
    effects.iter().filter(|(_, effect)| *effect == released(5, RELEASE)[0]).count()
}

/// A member with a caller that takes releases, and no call of its own.
fn other_member() -> Stand {
    let mut stand = with_promises();
    stand.core.client_tested(stand.now, CALLER);
    stand.offer(9, RELEASED_WITHIN);
    stand
}

/// Guards against a caller that is told twice, by two members that a server told of one release.
#[test]
fn gives_release_of_unknown_call_unless_its_member_has_given_it() {
    type Hears = fn(&mut Stand);
    let cases: [(&str, Hears, usize); 4] = [
        ("nobody claims it", |_| {}, 1),
        ("another was told of it too, and yields", |stand| stand.core.over_elsewhere(stand.now, CALL), 1),
        (
            "another was told of it too, and gives it",
            |stand| {
                stand.core.yield_unclaimed(CALL);
                stand.core.over_elsewhere(stand.now, CALL);
            },
            0,
        ),
        ("its member has given it", |stand| stand.core.given_elsewhere(stand.now, CALL), 0),
    ];
    for (case, hears, times) in cases {
        let mut stand = other_member();
        let ended = stand.end(ONE, 5, RELEASE);
        assert!(ended.contains(&Effect::PassedOn { call: CALL }), "{case}: its member is asked");
        assert_eq!(promised(&ended), [Some(Promise::Owed(ONE, RELEASE))], "{case}: it is lost with nobody");
        assert!(stand.core.promised().any(|(call, _)| call == CALL), "{case}");
        assert!(stand.end(ONE, 5, RELEASE).is_empty(), "{case}: its server says it again");
        hears(&mut stand);
        let passed = stand.pass(RELEASED_WITHIN);
        let first = passed.iter().position(|(_, effect)| *effect == released(5, RELEASE)[0]);
        assert_eq!(first.map_or(0, |_| 1), times, "{case}: {passed:?}");
        assert_eq!(told(&passed), times, "{case}: {passed:?}");
        assert_eq!(stand.breaches(), 0, "{case}");
    }
}

/// Guards against a second release by a member whose own clock ran out while an answer was on its way: it is
/// given when all have answered, and at once then.
#[test]
fn gives_release_of_unknown_call_as_soon_as_all_members_have_answered() {
    let mut stand = other_member();
    stand.end(ONE, 5, RELEASE);
    assert_eq!(told(&stand.pass(400 * MS)), 0, "an answer may be on its way");
    stand.core.release_unclaimed(stand.now, CALL);
    assert_eq!(stand.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count(), 1);
    assert_eq!(told(&stand.pass(RELEASED_WITHIN)), 0, "once");
}

/// Guards against a release that nobody gives: the member that had the call and the one that its server told
/// of the end are both lost, and succeeded here in this order.
#[test]
fn gives_a_release_that_one_lost_member_owed_for_a_call_that_stood_at_another() {
    let mut stand = other_member();
    stand.core.adopt(stand.now, CALL, Promise::Stands(ONE));
    stand.core.adopt(stand.now, CALL, Promise::Owed(ONE, RELEASE));
    let given = stand.effects().iter().filter(|effect| **effect == released(5, RELEASE)[0]).count();
    assert_eq!((given, stand.core.standing()), (1, 0));
    stand.core.release_heard(stand.now, CALLER, CALL);
    assert_eq!(told(&stand.pass(RELEASED_WITHIN)), 0, "once");
}

/// Guards against a release that is given again by a successor: it has given it as one that was owed, and its
/// caller has acknowledged it, when what the server said to this member, too, is read.
#[test]
fn an_adopted_release_that_was_acknowledged_is_not_given_again_on_its_servers_word() {
    let mut stand = other_member();
    stand.core.adopt(stand.now, CALL, Promise::Owed(ONE, RELEASE));
    assert!(stand.effects().contains(&released(5, RELEASE)[0]));
    stand.core.release_heard(stand.now, CALLER, CALL);
    stand.core.take_effects();
    assert_eq!(stand.end(ONE, 5, RELEASE), [], "nobody is asked");
    assert_eq!(told(&stand.pass(RELEASED_WITHIN)), 0);
}

/// Guards against the other half: the member that has the call says so, or leaves it to the one that asks.
#[test]
fn claims_a_call_whose_caller_it_tells_and_drops_one_that_it_has_not_told() {
    type Comes = fn(&mut Stand);
    let cases: [(&str, Comes, bool); 5] = [
        ("its answer is awaited", |_| {}, true),
        ("it is established", |stand| drop(stand.answer(ONE, 5)), false),
        (
            "its release was given",
            |stand| {
                stand.answer(ONE, 5);
                stand.end(ONE, 5, RELEASE);
            },
            true,
        ),
        (
            "its release was confirmed",
            |stand| {
                stand.answer(ONE, 5);
                stand.end(ONE, 5, RELEASE);
                stand.core.release_heard(stand.now, CALLER, CALL);
            },
            true,
        ),
        ("it was refused", |stand| drop(stand.pass(RELEASED_WITHIN)), true),
    ];
    for (case, comes, claims) in cases {
        let mut stand = with_promises();
        stand.offer(5, RELEASED_WITHIN);
        comes(&mut stand);
        stand.core.take_effects();
        stand.core.over_elsewhere(stand.now, CALL);
        let said = stand.core.take_effects();
        assert_eq!(said.contains(&Effect::Given { call: CALL }), claims, "{case}: {said:?}");
        // It is asked until it has confirmed that it was.
        stand.core.over_elsewhere(stand.now, CALL);
        assert_eq!(
            stand.core.take_effects().contains(&Effect::Given { call: CALL }),
            claims,
            "{case}, again"
        );
        if !claims {
            let late = stand.end(ONE, 5, RELEASE);
            assert!(!late.contains(&released(5, RELEASE)[0]), "{case}: the other one gives it");
            assert_eq!(stand.core.standing(), 0, "{case}");
        }
        assert_eq!(stand.breaches(), 0, "{case}");
    }
}

/// Guards against a release that nobody gives: the member that was about to give it is lost, and it is said
/// here again, by its server or by what that member had promised.
#[test]
fn gives_a_release_that_was_left_to_a_member_that_is_lost() {
    type Comes = fn(&mut Stand) -> Vec<Effect>;
    let cases: [(&str, Comes); 2] = [
        ("its server says it again", |stand| stand.end(ONE, 5, RELEASE)),
        ("the member is succeeded here", |stand| {
            stand.core.adopt(stand.now, CALL, Promise::Owed(ONE, RELEASE));
            stand.effects()
        }),
    ];
    for (case, comes) in cases {
        let mut stand = with_promises();
        stand.offer(5, RELEASED_WITHIN);
        stand.answer(ONE, 5);
        stand.core.over_elsewhere(stand.now, CALL);
        stand.effects();
        let mut effects: Vec<_> = comes(&mut stand).into_iter().map(|effect| (stand.now, effect)).collect();
        assert!(effects.iter().any(|(_, effect)| *effect == Effect::PassedOn { call: CALL }), "{case}");
        effects.extend(stand.pass(RELEASED_WITHIN));
        // The member that had announced it is known to be lost.
        stand.core.release_unclaimed(stand.now, CALL);
        effects.extend(stand.effects().into_iter().map(|effect| (stand.now, effect)));
        assert_eq!(told(&effects), 1, "{case}");
        stand.core.release_heard(stand.now, CALLER, CALL);
        stand.core.over_elsewhere(stand.now, CALL);
        assert!(
            stand.core.take_effects().contains(&Effect::Given { call: CALL }),
            "{case}: it was given here"
        );
    }
}

/// Guards against a release that nobody gives: a successor that knew of no more than an attempt has called
/// that off, and is asked by the member that woke, whose caller was told that the call is established.
#[test]
fn claims_no_call_whose_attempt_it_only_called_off() {
    let mut stand = other_member();
    stand.core.adopt(stand.now, CALL, Promise::Out(ONE));
    stand.effects();
    stand.core.over_elsewhere(stand.now, CALL);
    assert!(!stand.effects().contains(&Effect::Given { call: CALL }));
    assert_eq!(stand.breaches(), 0);
}
