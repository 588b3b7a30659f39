//! Call gapping: images of pressed servers, redrawing to another server, and refusal before sending.

mod common;

use common::*;
use steprelay_decisions::*;

/// Offers ten calls within a second and returns how many were sent.
fn sent_of_ten(harness: &mut Harness, class: usize) -> usize {
    let mut count = 0;
    for _ in 0..10 {
        let (id, actions) = harness.call(class, 0);
        match sent_to(&actions) {
            Some(server) => {
                count += 1;
                harness.answer(id, server, 0);
            }
            None => assert!(is_rejected(&actions), "neither sent nor refused"),
        }
        harness.advance(100 * MS);
    }
    count
}

#[test]
fn a_server_without_reports_is_not_gapped() {
    let mut harness = Harness::new(settings(), 1);
    for _ in 0..5 {
        assert_eq!(sent_of_ten(&mut harness, 0), 10);
    }
}

#[test]
fn every_kind_of_report_makes_an_image() {
    let kinds = [
        wait_report(900.0),
        Report { queued: Some(60.0), ..Report::default() },
        Report { queued: Some(60.0), allowed_rate: Some(20.0), ..Report::default() },
        Report { shed_share: Some(0.8), ..Report::default() },
        Report { allowed_rate: Some(2.0), ..Report::default() },
        Report { inflight: Some(60.0), ..Report::default() },
        Report { utilization: Some(1.0), ..Report::default() },
    ];
    for report in kinds {
        let mut harness = Harness::new(settings(), 1);
        sent_of_ten(&mut harness, 0);
        harness.report(server_id(0), report);
        let count = sent_of_ten(&mut harness, 0);
        assert!(count < 9, "{report:?} let {count} of 10 pass");
    }
}

#[test]
fn an_image_lapses_six_seconds_after_the_last_report() {
    let mut harness = Harness::new(settings(), 1);
    sent_of_ten(&mut harness, 0);
    harness.report(server_id(0), wait_report(700.0));
    harness.advance(5 * SECOND);
    assert!(sent_of_ten(&mut harness, 0) < 10);
    harness.advance(SECOND);
    assert_eq!(sent_of_ten(&mut harness, 0), 10);
}

#[test]
fn a_bound_has_a_floor_that_the_group_shares() {
    // Group size, and minimum and maximum number of set-ups of one node in 20 s at five per second for all.
    for (group_size, min, max) in [(1, 60, 110), (5, 15, 24), (250, 0, 4)] {
        let mut harness = Harness::new(Settings { group_size, ..settings() }, 1);
        let mut count = 0;
        for _ in 0..20 {
            harness.report(server_id(0), wait_report(450.0));
            for _ in 0..10 {
                let (id, actions) = harness.call(0, 0);
                if let Some(server) = sent_to(&actions) {
                    count += 1;
                    harness.answer(id, server, 0);
                }
                harness.advance(100 * MS);
            }
        }
        assert!((min..=max).contains(&count), "{count} set-ups of a node among {group_size}");
    }
}

#[test]
fn a_call_gapped_at_one_server_goes_to_another() {
    let mut harness = Harness::new(settings(), 2);
    sent_of_ten(&mut harness, 0);
    harness.report(server_id(0), wait_report(900.0));
    let mut elsewhere = 0;
    for _ in 0..10 {
        let (id, actions) = harness.call(0, 0);
        let server = sent_to(&actions).expect("the other server has room");
        elsewhere += usize::from(server == server_id(1));
        harness.answer(id, server, 0);
        harness.advance(100 * MS);
    }
    assert!(elsewhere >= 7, "{elsewhere}");
}

#[test]
fn important_calls_pass_a_gap_first() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_calls(0, 30, 100 * MS, 50 * MS);
    let (mut ordinary, mut important) = (0, 0);
    for step in 0..100 {
        harness.report(server_id(0), wait_report(400.0));
        let class = usize::from(step % 10 == 9);
        let (id, actions) = harness.call(class, 0);
        if let Some(server) = sent_to(&actions) {
            harness.answer(id, server, 0);
            if class == 1 {
                important += 1;
            } else {
                ordinary += 1;
            }
        }
        harness.advance(100 * MS);
    }
    assert!(important >= 9, "{important} of 10 important calls passed");
    assert!(ordinary < 80, "{ordinary} of 90 ordinary calls passed");
}

#[test]
fn an_image_stays_until_a_report_shows_no_pressure() {
    // A node with little traffic gets no report for long; the reported lines keep its bound near the server's
    // throughput.
    let lines =
        |free: f64| Report { free_lines: Some(free), total_lines: Some(1_000.0), ..Report::default() };
    let mut harness = Harness::new(Settings { group_size: 250, ..settings() }, 1);
    harness.report(server_id(0), Report { wait_ms: Some(450.0), ..lines(900.0) });
    let mut passed = 0;
    for _ in 0..120 {
        harness.advance(100 * MS);
        harness.report(server_id(0), lines(900.0));
        harness.event(Event::Timer(Timer::Tick));
        let (id, actions) = harness.call(0, 0);
        if let Some(server) = sent_to(&actions) {
            passed += 1;
            harness.end_attempt(id, server, Outcome::Cancelled, Cause::Untold);
        }
    }
    assert!(passed <= 6, "{passed} of 120 calls passed a gap of a 250th of 20/s");
    harness.report(server_id(0), Report { wait_ms: Some(1.0), ..lines(900.0) });
    harness.advance(7 * SECOND);
    assert_eq!(sent_of_ten(&mut harness, 0), 10);
}

#[test]
fn a_pressed_server_is_sent_the_rate_that_it_allows() {
    // No call has been established at the server, as after a start of this node, so the measured throughput
    // would stop nearly all set-ups.
    let mut harness = Harness::new(settings(), 1);
    harness.report(server_id(0), Report { allowed_rate: Some(200.0), ..wait_report(300.0) });
    let bound = harness.controller.bound(harness.now, server_id(0)).expect("an image");
    assert!((40.0..60.0).contains(&bound), "a quarter of 200 a second, for one of four nodes: {bound}");
}

#[test]
fn the_round_trip_time_to_a_distant_server_is_not_pressure() {
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.call(0, 0);
    harness.advance(500 * MS);
    harness.answer(id, server_id(0), 500 * MS);
    harness.report(server_id(0), wait_report(0.0));
    harness.call(0, 0);
    harness.advance(400 * MS);
    harness.event(Event::Timer(Timer::Tick));
    assert_eq!(harness.controller.bound(harness.now, server_id(0)), None, "the answer is not overdue yet");
    harness.advance(400 * MS);
    harness.event(Event::Timer(Timer::Tick));
    assert!(harness.controller.bound(harness.now, server_id(0)).is_some(), "the answer is overdue");
}

#[test]
fn late_answers_make_no_image_of_a_server_that_has_reported_nothing() {
    let mut harness = Harness::new(settings(), 1);
    harness.call(0, 0);
    harness.advance(800 * MS);
    harness.event(Event::Timer(Timer::Tick));
    assert_eq!(harness.controller.bound(harness.now, server_id(0)), None);
}

#[test]
fn calls_established_before_the_first_report_are_not_a_burst() {
    let mut harness = Harness::new(settings(), 1);
    let lines = |established: f64| Report {
        free_lines: Some(300.0 - established),
        total_lines: Some(300.0),
        ..wait_report(0.0)
    };
    harness.report(server_id(0), lines(0.0));
    harness.advance(600 * MS);
    harness.report(server_id(0), lines(180.0));
    harness.report(server_id(0), Report { allowed_rate: Some(50.0), ..Report::default() });
    assert_eq!(
        harness.controller.bound(harness.now, server_id(0)),
        None,
        "18 set-ups per second keep up 180 calls of 10 s"
    );
}

/// A processor that hangs names a wait of hours, in a report or with a refusal. Set-ups go to the server
/// again after the lifetime of an image; otherwise no node would ever learn that the server has recovered.
#[test]
fn a_wait_of_hours_counts_no_longer_than_the_lifetime_of_an_image() {
    for by_report in [true, false] {
        let mut harness = Harness::new(settings(), 1);
        harness.send_calls(0, 10, 100 * MS, 10 * MS);
        if by_report {
            harness.report(server_id(0), wait_report(4.6e9));
        } else {
            let (id, actions) = harness.call(0, 0);
            assert_eq!(sent_to(&actions), Some(server_id(0)));
            let cause = Cause::ProcessorFull { wait: Some(3_600 * SECOND) };
            harness.end_attempt(id, server_id(0), Outcome::Full, cause);
        }
        assert_eq!(sent_to(&harness.call(0, 0).1), None, "by report: {by_report}");
        harness.advance(8 * SECOND);
        assert_eq!(sent_to(&harness.call(0, 0).1), Some(server_id(0)), "by report: {by_report}");
    }
}

#[test]
fn the_state_of_a_server_that_is_gone_is_dropped() {
    let mut harness = Harness::new(settings(), 2);
    harness.send_calls(0, 10, 100 * MS, 10 * MS);
    for (state, kind) in [(Readiness::Gone, ListKind::Changes), (Readiness::Ready, ListKind::All)] {
        harness.report(server_id(0), wait_report(900.0));
        assert!(harness.controller.bound(harness.now, server_id(0)).is_some());
        // The server is listed as gone, or missing from a complete list.
        let entries = [entry(u32::from(state == Readiness::Ready), state)];
        harness.event(Event::ServerList { kind, entries: &entries });
        harness.event(Event::ServerList { kind: ListKind::Changes, entries: &[entry(0, Readiness::Ready)] });
        assert!(harness.controller.bound(harness.now, server_id(0)).is_none(), "{state:?}");
    }
}

#[test]
fn redrawn_set_ups_stay_within_the_rate_that_a_small_server_allows() {
    // A large server drains while 60 calls per second arrive for it. The small server has many free lines and
    // has reported no pressure. Without an allowed rate, free lines count as room, except where processors
    // are never reported.
    for (allowed_rate, load_unreported, expected) in
        [(Some(20.0), false, 10..=30), (None, false, 51..=60), (None, true, 5..=12)]
    {
        let mut harness = Harness::new(Settings { group_size: 1, load_unreported, ..settings() }, 2);
        for _ in 0..4 {
            harness.report(
                server_id(0),
                Report {
                    free_lines: Some(900.0),
                    total_lines: Some(900.0),
                    allowed_rate,
                    ..Report::default()
                },
            );
            harness.advance(SECOND);
        }
        harness
            .event(Event::ServerList { kind: ListKind::Changes, entries: &[entry(1, Readiness::Draining)] });
        assert_eq!(harness.send_calls(1, 60, SECOND / 60, 0), 0, "set-ups went to a draining server");
        let count = harness.actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        assert!(
            expected.contains(&count),
            "{count} set-ups in a second, allowed_rate {allowed_rate:?}, load unreported: {load_unreported}"
        );
    }
}
