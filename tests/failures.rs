//! Regression tests: one small scenario for each failure that was found.

mod common;

use common::*;
use steprelay_decisions::*;

fn tick(harness: &mut Harness) -> Vec<Action> {
    harness.event(Event::Timer(Timer::Tick))
}

fn cancels(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { call, .. } if *call == id))
}

#[test]
fn calls_at_low_load_go_to_their_preferred_server() {
    let mut harness = Harness::new(settings(), 2);
    for step in 0..600u32 {
        let dest = step % 2;
        let (id, actions) = harness.call(0, dest);
        assert_eq!(sent_to(&actions), Some(server_id(dest)), "step {step}");
        let lag = 40 * MS + MS * Micros::from(step % 7) * 10;
        harness.advance(lag);
        harness.answer(id, server_id(dest), lag);
        harness.report(server_id(dest), wait_report(f64::from(step % 9) * 10.0));
        tick(&mut harness);
        let is_exceptional = |action: &Action| matches!(action, Action::Cancel { .. } | Action::Log(_));
        assert!(!harness.actions.iter().any(is_exceptional), "cancelled or logged something at low load");
        harness.advance(200 * MS - lag);
    }
}

#[test]
fn an_image_is_logged_once() {
    let mut harness = Harness::new(settings(), 1);
    for _ in 0..20 {
        harness.report(server_id(0), wait_report(460.0));
        harness.advance(100 * MS);
    }
    let logs: Vec<&Action> =
        harness.actions.iter().filter(|action| matches!(action, Action::Log(_))).collect();
    assert_eq!(logs.len(), 1, "{logs:?}");
}

#[test]
fn overdue_set_ups_gap_a_server_that_stops_answering() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_calls(0, 30, 100 * MS, 50 * MS);
    let mut count = 0;
    for _ in 0..30 {
        count += usize::from(sent_to(&harness.call(0, 0).1).is_some());
        harness.advance(100 * MS);
        tick(&mut harness);
    }
    assert!(count < 15, "{count} of 30 set-ups went to a server that does not answer");
}

#[test]
fn a_lost_set_up_is_not_pressure_and_is_retried_after_the_retry_delay() {
    let mut harness = Harness::new(settings(), 2);
    harness.send_calls(0, 30, 100 * MS, 20 * MS);
    let (lost, actions) = harness.call(0, 0);
    assert_eq!(sent_to(&actions), Some(server_id(0)));
    let mut is_cancelled = false;
    for _ in 0..6 {
        harness.advance(100 * MS);
        assert_eq!(harness.send_calls(0, 1, 21 * MS, 20 * MS), 1, "later calls still go to the server");
        is_cancelled |= cancels(&harness.actions, lost);
    }
    assert!(is_cancelled, "the answer to a later set-up does not cancel the lost one");
    harness.end_attempt(lost, server_id(0), Outcome::Cancelled, Cause::Untold);
    harness.advance(300 * MS);
    assert_eq!(sent_to(&harness.event(Event::Timer(Timer::Call(lost)))), Some(server_id(1)));
}

#[test]
fn a_waiting_set_up_is_not_cancelled() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_calls(0, 10, 100 * MS, 20 * MS);
    let (waiting, _) = harness.call(0, 0);
    for _ in 0..8 {
        harness.advance(100 * MS);
        assert!(!cancels(&tick(&mut harness), waiting));
    }
}

#[test]
fn no_set_up_goes_to_a_server_that_cannot_answer_in_time() {
    let mut harness = Harness::new(settings(), 1);
    harness.report(server_id(0), wait_report(2_000.0));
    let (_, actions) = harness.call(1, 0);
    assert!(sent_to(&actions).is_none() && is_rejected(&actions));
}

#[test]
fn the_ratio_of_delay_to_wait_is_learned_from_set_up_delays() {
    let run = |lag: Micros| {
        let mut harness = Harness::new(Settings { group_size: 1, ..settings() }, 1);
        harness.send_calls(0, 5, 100 * MS, 20 * MS);
        for _ in 0..60 {
            harness.report(server_id(0), wait_report(300.0));
            let (id, actions) = harness.call(1, 0);
            if sent_to(&actions).is_some() {
                harness.answer(id, server_id(0), lag);
            }
            harness.advance(200 * MS);
        }
        harness.advance(7 * SECOND);
        (0..20).any(|_| {
            harness.advance(50 * MS);
            harness.report(server_id(0), wait_report(450.0));
            sent_to(&harness.call(1, 0).1).is_some()
        })
    };
    assert!(run(320 * MS), "a wait of 450 ms means a delay of 450 ms here");
    assert!(!run(920 * MS), "a wait of 450 ms means a delay of three times as much here");
}

#[test]
fn a_report_without_pressure_does_not_lift_an_image_at_once() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_calls(0, 40, 200 * MS, 50 * MS);
    harness.report(server_id(0), wait_report(300.0));
    harness.advance(500 * MS);
    harness.report(server_id(0), wait_report(10.0));
    let mut count = 0;
    for _ in 0..20 {
        let (id, actions) = harness.call(0, 0);
        if sent_to(&actions).is_some() {
            count += 1;
            harness.answer(id, server_id(0), 0);
        }
        harness.advance(5 * MS);
    }
    assert!(count <= 4, "{count} of 20 simultaneous calls passed");
}

#[test]
fn a_busy_number_is_refused_before_sending_for_a_while() {
    let mut harness = Harness::new(settings(), 1);
    let busy_call = |id| Call { called_number: "busy".into(), ..call(id, 0, 0) };
    harness.event(Event::Call(busy_call(500)));
    assert!(is_rejected(&harness.end_attempt(CallId(500), server_id(0), Outcome::Error, Cause::NumberBusy)));
    let actions = harness.event(Event::Call(busy_call(501)));
    assert!(sent_to(&actions).is_none() && is_rejected(&actions));
    assert_eq!(harness.send_calls(0, 1, 50 * MS, 20 * MS), 1, "calls to other numbers are sent");
    harness.advance(3 * SECOND);
    assert!(sent_to(&harness.event(Event::Call(busy_call(502)))).is_some());
}

#[test]
fn a_server_without_free_lines_is_not_preferred() {
    let mut harness = Harness::new(settings(), 2);
    harness.send_calls(1, 10, 100 * MS, 20 * MS);
    harness
        .report(server_id(0), Report { free_lines: Some(0.0), total_lines: Some(50.0), ..wait_report(1.0) });
    let elsewhere = (0..20).filter(|_| sent_to(&harness.call(0, 0).1) == Some(server_id(1))).count();
    assert!(elsewhere >= 18, "{elsewhere}");
}

#[test]
fn a_server_that_fails_repeatedly_is_avoided_for_a_while() {
    let mut harness = Harness::new(settings(), 2);
    for _ in 0..3 {
        let (id, actions) = harness.call(0, 0);
        if sent_to(&actions) == Some(server_id(0)) {
            harness.end_attempt(id, server_id(0), Outcome::ConnectFailed, Cause::Untold);
        }
        harness.advance(10 * MS);
    }
    assert_eq!(sent_to(&harness.call(0, 0).1), Some(server_id(1)));
}

#[test]
fn a_late_unmarked_redial_yields_to_first_tries() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_calls(0, 40, 100 * MS, 20 * MS);
    let redial = |id| Call { called_number: "again".into(), ..call(id, 0, 0) };
    harness.report(server_id(0), wait_report(2_000.0));
    assert!(is_rejected(&harness.event(Event::Call(redial(700)))));
    harness.advance(1_500 * MS);
    harness.report(server_id(0), wait_report(350.0));
    let sent = (0..2).filter(|_| sent_to(&harness.call(0, 0).1).is_some()).count();
    assert_eq!(sent, 2, "the bound lets some set-ups pass");
    assert_eq!(sent_to(&harness.event(Event::Call(redial(701)))), None, "a late redial is held back");
    assert_eq!(sent_to(&harness.call(0, 0).1), Some(server_id(0)), "a first try passes");
}

#[test]
fn traffic_beyond_the_quota_yields_first() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 400.0 }];
    let mut harness = Harness::new(Settings { tenants, ..settings() }, 1);
    let mut passed = [0, 0];
    for step in 0..400u64 {
        let tenant = (step % 2) as usize;
        let call = Call { tenant, called_number: format!("{step}"), ..call(9_000 + step, 0, 0) };
        let id = call.id;
        if step > 40 && step % 2 == 0 {
            harness.report(server_id(0), wait_report(460.0));
        }
        let actions = harness.event(Event::Call(call));
        if sent_to(&actions).is_some() {
            harness.answer(id, server_id(0), 0);
            passed[tenant] += usize::from(step > 100);
        }
        harness.advance(50 * MS);
    }
    assert!(2 * passed[1] > 3 * passed[0], "{passed:?}");
}

#[test]
fn a_persisted_list_is_enough_to_start_with() {
    let mut harness = Harness::new(settings(), 2);
    let list = [entry(1, Readiness::Ready), entry(2, Readiness::Ready)];
    harness.event(Event::ServerList { kind: ListKind::Cached, entries: &list });
    assert!(
        sent_to(&harness.call(0, 0).1).is_some(),
        "another server takes the call of a preferred server that is gone"
    );
}

#[test]
fn invalid_input_changes_nothing() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.call(0, 0);
    let invalid = Report {
        free_lines: Some(f64::NAN),
        queued: Some(f64::INFINITY),
        wait_ms: Some(-5.0),
        allowed_rate: Some(f64::NEG_INFINITY),
        shed_share: Some(f64::NAN),
        ..Report::default()
    };
    assert!(harness.report(ServerId(9), wait_report(900.0)).is_empty());
    assert!(harness.report(server_id(0), invalid).is_empty());
    assert!(harness.answer(CallId(77), server_id(0), -5).is_empty());
    assert!(harness.end_attempt(CallId(78), ServerId(9), Outcome::Full, PROCESSOR_FULL).is_empty());
    assert!(harness.event(Event::CallerGone { call: CallId(79) }).is_empty());
    for length in 0..40 {
        let bytes: Vec<u8> = (0..length).map(|byte: u8| byte.wrapping_mul(37)).collect();
        assert!(harness.event(Event::PeerMessage { from: 900, bytes: &bytes }).is_empty());
    }
    harness.answer(id, server_id(0), 20 * MS);
    assert_eq!(sent_to(&harness.call(0, 0).1), Some(server_id(0)));
}

#[test]
fn unusual_settings_work() {
    let minimal = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut harness = Harness::new(minimal, 1);
    let (id, actions) = harness.call(0, 0);
    assert!(sent_to(&actions).is_some());
    assert!(
        is_rejected(&harness.end_attempt(id, server_id(0), Outcome::Timeout, Cause::Untold)),
        "one attempt where no limit is set"
    );

    let mut without_timers = settings();
    (without_timers.retry_delay, without_timers.t1, without_timers.limits.may_cancel) = (0, 0, false);
    let mut harness = Harness::new(without_timers, 40);
    let (id, actions) = harness.call(0, 7);
    assert_eq!(sent_to(&actions), Some(server_id(7)));
    harness.advance(50 * MS);
    assert!(
        sent_to(&harness.end_attempt(id, server_id(7), Outcome::Reset, Cause::Untold)).is_some(),
        "no retry delay is set"
    );

    let subscribing = Settings { subscribe_to_list: true, ..settings() };
    let mut harness = Harness::new(subscribing, 1);
    assert!(harness.actions.contains(&Action::WatchServerList));
    let entries = [];
    let actions = harness.event(Event::ServerList { kind: ListKind::Failed, entries: &entries });
    assert!(actions.contains(&Action::WatchServerList), "subscribes again after a failure");
}

#[test]
fn without_a_ready_server_each_call_is_refused_at_once() {
    let draining = [entry(0, Readiness::Draining), entry(1, Readiness::Gone)];
    for entries in [&[][..], &draining[..]] {
        let mut harness = Harness::new(Settings { group_size: 250, ..settings() }, 2);
        let kind = if entries.is_empty() { ListKind::All } else { ListKind::Changes };
        harness.event(Event::ServerList { kind, entries });
        for _ in 0..50 {
            let (_, actions) = harness.call(0, 0);
            assert!(sent_to(&actions).is_none() && is_rejected(&actions));
            harness.advance(20 * MS);
        }
    }
}

#[test]
fn with_cold_servers_and_no_reports_each_call_is_sent_or_refused() {
    let mut harness = Harness::new(Settings { group_size: 250, ..settings() }, 2);
    let cold = [0, 1].map(|number| Entry { started: Some(harness.now), ..entry(number, Readiness::Ready) });
    harness.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    let mut count = 0;
    for _ in 0..1_000 {
        let (id, actions) = harness.call(0, 0);
        match sent_to(&actions) {
            Some(server) => {
                count += 1;
                harness.answer(id, server, 20 * MS);
            }
            None => assert!(is_rejected(&actions)),
        }
        harness.advance(10 * MS);
    }
    assert!(count <= 4, "{count} set-ups of one node among 250 to servers of unknown throughput");
}

#[test]
fn thousands_of_abandoned_calls_to_one_number_are_handled() {
    let mut harness = Harness::new(Settings { group_size: 250, ..settings() }, 2);
    for id in 1_000..6_000 {
        let actions = harness.event(Event::Call(Call { called_number: "same".into(), ..call(id, 0, 0) }));
        let server = sent_to(&actions);
        assert!(server.is_some() || is_rejected(&actions));
        harness.advance(3 * MS);
        let actions = harness.event(Event::CallerGone { call: CallId(id) });
        assert!(sent_to(&actions).is_none());
        if let Some(server) = server {
            assert!(cancels(&actions, CallId(id)));
            let cause = Cause::Untold;
            assert!(sent_to(&harness.end_attempt(CallId(id), server, Outcome::Cancelled, cause)).is_none());
        }
        tick(&mut harness);
    }
}

#[test]
fn a_tenant_within_its_quota_is_not_displaced_by_one_that_redials() {
    // The second tenant's callers hang up when they are not answered at once and dial again, ten times per
    // call. The server takes 12 set-ups per second, while 20 first tries and all their redials arrive.
    let tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 3.0 }];
    let settings = Settings { tenants, group_size: 1, callers_mark_redials: true, ..settings() };
    let mut harness = Harness::new(settings, 1);
    let (mut served, mut id, mut room) = ([0, 0], 20_000, 0.0);
    for step in 0..600 {
        room = f64::min(room + 1.2, 2.0);
        harness.report(server_id(0), wait_report(420.0));
        for (tenant, tries) in [(1, 10), (0, 1)] {
            for is_redial in (0..tries).map(|number| number > 0) {
                id += 1;
                let called_number = format!("{tenant}-{step}");
                let call = Call { called_number, tenant, is_redial, ..call(id, 0, 0) };
                let Some(server) = sent_to(&harness.event(Event::Call(call))) else { continue };
                if room >= 1.0 {
                    room -= 1.0;
                    served[tenant] += usize::from(step >= 400);
                    harness.answer(CallId(id), server, 0);
                    break;
                }
                harness.event(Event::CallerGone { call: CallId(id) });
                harness.end_attempt(CallId(id), server, Outcome::Cancelled, Cause::Untold);
            }
        }
        harness.advance(100 * MS);
    }
    assert!(served[0] > 150, "{served:?}, 200 first tries each");
}

#[test]
fn a_reset_call_returns_to_its_server_when_no_other_takes_it() {
    let mut harness = Harness::new(settings(), 1);
    let (id, actions) = harness.call(0, 0);
    assert_eq!(sent_to(&actions), Some(server_id(0)));
    harness.end_attempt(id, server_id(0), Outcome::Reset, Cause::Untold);
    harness.advance(300 * MS);
    let actions = harness.event(Event::Timer(Timer::Call(id)));
    assert_eq!(sent_to(&actions), Some(server_id(0)), "the connection alone may have been at fault");
    // A server that is full or has no process gets no second attempt.
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut harness = Harness::new(settings(), 1);
        let (id, _) = harness.call(0, 0);
        let actions = harness.end_attempt(id, server_id(0), outcome, Cause::Untold);
        assert!(is_rejected(&actions), "{outcome:?}");
    }
}

#[test]
fn set_ups_lost_on_the_way_to_a_responsive_server_are_not_its_failures() {
    let mut harness = Harness::new(settings(), 1);
    let lost: Vec<CallId> = (0..4).map(|_| harness.call(0, 0).0).collect();
    harness.advance(10 * MS);
    let (later, _) = harness.call(0, 0);
    harness.advance(10 * MS);
    harness.answer(later, server_id(0), 10 * MS);
    for id in lost {
        harness.advance(MS);
        harness.end_attempt(id, server_id(0), Outcome::Timeout, Cause::Untold);
    }
    assert_eq!(sent_to(&harness.call(0, 0).1), Some(server_id(0)), "the server is not avoided");
}
