//! The ordinary path: images of pressed servers, redraw, refusal before sending.

mod common;

use common::*;
use steprelay_decisions::*;

/// Calls that are sent out of ten a second for a second.
fn sent_in_a_second(stand: &mut Stand, class: usize) -> usize {
    let mut count = 0;
    for _ in 0..10 {
        let (id, actions) = stand.call(class, 0);
        match sent(&actions) {
            Some(server) => {
                count += 1;
                stand.first(id, server, 0);
            }
            None => assert!(answered(&actions), "neither sent nor answered"),
        }
        stand.pass(100 * MS);
    }
    count
}

#[test]
fn an_unreported_server_is_not_gapped() {
    let mut stand = Stand::new(settings(), 1);
    for _ in 0..5 {
        assert_eq!(sent_in_a_second(&mut stand, 0), 10);
    }
}

#[test]
fn every_kind_of_report_makes_an_image() {
    let kinds = [
        wait(900.0),
        Report { queued: Some(60.0), ..Report::default() },
        Report { queued: Some(60.0), allowed_rate: Some(20.0), ..Report::default() },
        Report { shed_share: Some(0.8), ..Report::default() },
        Report { allowed_rate: Some(2.0), ..Report::default() },
        Report { inflight: Some(60.0), ..Report::default() },
        Report { utilization: Some(1.0), ..Report::default() },
    ];
    for report in kinds {
        let mut stand = Stand::new(settings(), 1);
        sent_in_a_second(&mut stand, 0);
        stand.report(id_of(0), report);
        let count = sent_in_a_second(&mut stand, 0);
        assert!(count < 9, "{report:?} let {count} of 10 pass");
    }
}

#[test]
fn an_image_lapses_six_seconds_after_the_last_report() {
    let mut stand = Stand::new(settings(), 1);
    sent_in_a_second(&mut stand, 0);
    stand.report(id_of(0), wait(700.0));
    stand.pass(5 * SECOND);
    assert!(sent_in_a_second(&mut stand, 0) < 10);
    stand.pass(SECOND);
    assert_eq!(sent_in_a_second(&mut stand, 0), 10);
}

#[test]
fn a_bound_has_a_floor_that_the_group_shares() {
    // (group size, least and most set-ups of one node in 20 s): five a second for all of them.
    for (group_size, least, most) in [(1, 60, 110), (5, 15, 24), (250, 0, 4)] {
        let mut stand = Stand::new(Settings { group_size, ..settings() }, 1);
        let mut count = 0;
        for _ in 0..20 {
            stand.report(id_of(0), wait(450.0));
            for _ in 0..10 {
                let (id, actions) = stand.call(0, 0);
                if let Some(server) = sent(&actions) {
                    count += 1;
                    stand.first(id, server, 0);
                }
                stand.pass(100 * MS);
            }
        }
        assert!((least..=most).contains(&count), "{count} of a node among {group_size}");
    }
}

#[test]
fn gapped_at_one_server_a_call_goes_to_another() {
    let mut stand = Stand::new(settings(), 2);
    sent_in_a_second(&mut stand, 0);
    stand.report(id_of(0), wait(900.0));
    let mut elsewhere = 0;
    for _ in 0..10 {
        let (id, actions) = stand.call(0, 0);
        let server = sent(&actions).expect("the other server has room");
        elsewhere += usize::from(server == id_of(1));
        stand.first(id, server, 0);
        stand.pass(100 * MS);
    }
    assert!(elsewhere >= 7, "{elsewhere}");
}

#[test]
fn worth_goes_first_through_a_gap() {
    let mut stand = Stand::new(settings(), 1);
    stand.load(0, 30, 100 * MS, 50 * MS);
    let (mut common, mut rare) = (0, 0);
    for step in 0..100 {
        stand.report(id_of(0), wait(400.0));
        let class = usize::from(step % 10 == 9);
        let (id, actions) = stand.call(class, 0);
        if let Some(server) = sent(&actions) {
            stand.first(id, server, 0);
            if class == 1 {
                rare += 1;
            } else {
                common += 1;
            }
        }
        stand.pass(100 * MS);
    }
    assert!(rare >= 9, "{rare} of 10 urgent calls passed");
    assert!(common < 80, "{common} of 90 common calls passed");
}

#[test]
fn an_image_stays_until_something_calm_is_heard() {
    // A light sender hears nothing for long; told lines keep its bound near what the server takes.
    let lines =
        |free: f64| Report { free_lines: Some(free), total_lines: Some(1_000.0), ..Report::default() };
    let mut stand = Stand::new(Settings { group_size: 250, ..settings() }, 1);
    stand.report(id_of(0), Report { wait_ms: Some(450.0), ..lines(900.0) });
    let mut passed = 0;
    for _ in 0..120 {
        stand.pass(100 * MS);
        stand.report(id_of(0), lines(900.0));
        stand.event(Event::Timer(Timer::Tick));
        let (id, actions) = stand.call(0, 0);
        if let Some(server) = sent(&actions) {
            passed += 1;
            stand.ended(id, server, Outcome::Cancelled, Cause::Untold);
        }
    }
    assert!(passed <= 6, "{passed} of 120 calls passed a gap of a 250th of 20/s");
    stand.report(id_of(0), Report { wait_ms: Some(1.0), ..lines(900.0) });
    stand.pass(7 * SECOND);
    assert_eq!(sent_in_a_second(&mut stand, 0), 10);
}

#[test]
fn a_pressed_server_is_sent_what_it_says_it_takes() {
    // Nothing stood there yet, as after a start of this node: its own measure would stop nearly all.
    let mut stand = Stand::new(settings(), 1);
    stand.report(id_of(0), Report { allowed_rate: Some(200.0), ..wait(300.0) });
    let bound = stand.controller.bound(stand.now, id_of(0)).expect("an image");
    assert!((40.0..60.0).contains(&bound), "a quarter of 200 a second, for one of four nodes: {bound}");
}

#[test]
fn the_way_to_a_far_server_is_no_sign_of_pressure() {
    let mut stand = Stand::new(settings(), 1);
    let (id, _) = stand.call(0, 0);
    stand.pass(500 * MS);
    stand.first(id, id_of(0), 500 * MS);
    stand.report(id_of(0), wait(0.0));
    stand.call(0, 0);
    stand.pass(400 * MS);
    stand.event(Event::Timer(Timer::Tick));
    assert_eq!(stand.controller.bound(stand.now, id_of(0)), None, "its answer is not due yet");
    stand.pass(400 * MS);
    stand.event(Event::Timer(Timer::Tick));
    assert!(stand.controller.bound(stand.now, id_of(0)).is_some(), "now it is late");
}

#[test]
fn late_answers_make_no_image_of_a_server_that_has_reported_nothing() {
    let mut stand = Stand::new(settings(), 1);
    stand.call(0, 0);
    stand.pass(800 * MS);
    stand.event(Event::Timer(Timer::Tick));
    assert_eq!(stand.controller.bound(stand.now, id_of(0)), None);
}

#[test]
fn calls_that_stood_before_their_lines_were_told_are_no_rush() {
    let mut stand = Stand::new(settings(), 1);
    let told =
        |standing: f64| Report { free_lines: Some(300.0 - standing), total_lines: Some(300.0), ..wait(0.0) };
    stand.report(id_of(0), told(0.0));
    stand.pass(600 * MS);
    stand.report(id_of(0), told(180.0));
    stand.report(id_of(0), Report { allowed_rate: Some(50.0), ..Report::default() });
    assert_eq!(stand.controller.bound(stand.now, id_of(0)), None, "18 a second keep 180 standing for 10 s");
}

/// A processor that hangs tells of a wait of hours, by a report or with a refusal. Calls try it again once an
/// image would have lapsed, since nobody would ever hear that it is well.
#[test]
fn a_wait_of_hours_is_believed_no_longer_than_an_image_lasts() {
    for by_report in [true, false] {
        let mut stand = Stand::new(settings(), 1);
        stand.load(0, 10, 100 * MS, 10 * MS);
        if by_report {
            stand.report(id_of(0), wait(4.6e9));
        } else {
            let (id, actions) = stand.call(0, 0);
            assert_eq!(sent(&actions), Some(id_of(0)));
            let cause = Cause::ProcessorFull { wait: Some(3_600 * SECOND) };
            stand.ended(id, id_of(0), Outcome::Full, cause);
        }
        assert_eq!(sent(&stand.call(0, 0).1), None, "by report: {by_report}");
        stand.pass(8 * SECOND);
        assert_eq!(sent(&stand.call(0, 0).1), Some(id_of(0)), "by report: {by_report}");
    }
}

#[test]
fn nothing_is_kept_of_a_server_that_is_gone() {
    let mut stand = Stand::new(settings(), 2);
    stand.load(0, 10, 100 * MS, 10 * MS);
    for (state, kind) in [(Readiness::Gone, ListKind::Changes), (Readiness::Ready, ListKind::All)] {
        stand.report(id_of(0), wait(900.0));
        assert!(stand.controller.bound(stand.now, id_of(0)).is_some());
        // Gone by name, or left out of a whole list.
        let entries = [entry(u32::from(state == Readiness::Ready), state)];
        stand.event(Event::ServerList { kind, entries: &entries });
        stand.event(Event::ServerList { kind: ListKind::Changes, entries: &[entry(0, Readiness::Ready)] });
        assert!(stand.controller.bound(stand.now, id_of(0)).is_none(), "{state:?}");
    }
}

#[test]
fn what_is_redrawn_keeps_to_what_a_small_server_said_it_can_take() {
    // A large server drains; the small one has many free lines, and has told of no pressure. Calls for the
    // large one come at 60 a second. Where nothing is told, free lines are room; but not where nothing is
    // ever told of processors.
    for (allowed_rate, load_unreported, expected) in
        [(Some(20.0), false, 10..=30), (None, false, 51..=60), (None, true, 5..=12)]
    {
        let mut stand = Stand::new(Settings { group_size: 1, load_unreported, ..settings() }, 2);
        for _ in 0..4 {
            stand.report(
                id_of(0),
                Report {
                    free_lines: Some(900.0),
                    total_lines: Some(900.0),
                    allowed_rate,
                    ..Report::default()
                },
            );
            stand.pass(SECOND);
        }
        stand.event(Event::ServerList { kind: ListKind::Changes, entries: &[entry(1, Readiness::Draining)] });
        assert_eq!(stand.load(1, 60, SECOND / 60, 0), 0, "it drains");
        let count = stand.actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        assert!(
            expected.contains(&count),
            "{count} in a second, allowed_rate {allowed_rate:?}, load unreported: {load_unreported}"
        );
    }
}
