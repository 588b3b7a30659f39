//! One small scenario for each failure that was found.

mod common;

use common::*;
use steprelay_decisions::*;

fn tick(stand: &mut Stand) -> Vec<Action> {
    stand.event(Event::Timer(Timer::Tick))
}

fn cancels(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { call, .. } if *call == id))
}

#[test]
fn a_quiet_day_passes_untouched() {
    let mut stand = Stand::new(settings(), 2);
    for step in 0..600u32 {
        let dest = step % 2;
        let (id, actions) = stand.call(0, dest);
        assert_eq!(sent(&actions), Some(id_of(dest)), "step {step}");
        let lag = 40 * MS + MS * Micros::from(step % 7) * 10;
        stand.pass(lag);
        stand.first(id, id_of(dest), lag);
        stand.report(id_of(dest), wait(f64::from(step % 9) * 10.0));
        tick(&mut stand);
        let active = |action: &Action| matches!(action, Action::Cancel { .. } | Action::Log(_));
        assert!(!stand.actions.iter().any(active), "an exception acted on a quiet day");
        stand.pass(200 * MS - lag);
    }
}

#[test]
fn an_image_is_logged_once() {
    let mut stand = Stand::new(settings(), 1);
    for _ in 0..20 {
        stand.report(id_of(0), wait(460.0));
        stand.pass(100 * MS);
    }
    let logs: Vec<&Action> = stand.actions.iter().filter(|action| matches!(action, Action::Log(_))).collect();
    assert_eq!(logs.len(), 1, "{logs:?}");
}

#[test]
fn overdue_set_ups_gap_a_server_that_reports_nothing() {
    let mut stand = Stand::new(settings(), 1);
    stand.load(0, 30, 100 * MS, 50 * MS);
    let mut count = 0;
    for _ in 0..30 {
        count += usize::from(sent(&stand.call(0, 0).1).is_some());
        stand.pass(100 * MS);
        tick(&mut stand);
    }
    assert!(count < 15, "{count} of 30 went to a server that answers nothing");
}

#[test]
fn a_lost_set_up_is_no_pressure_and_is_sent_again_after_the_release() {
    let mut stand = Stand::new(settings(), 2);
    stand.load(0, 30, 100 * MS, 20 * MS);
    let (lost, actions) = stand.call(0, 0);
    assert_eq!(sent(&actions), Some(id_of(0)));
    let mut called_off = false;
    for _ in 0..6 {
        stand.pass(100 * MS);
        assert_eq!(stand.load(0, 1, 21 * MS, 20 * MS), 1, "later calls still go there");
        called_off |= cancels(&stand.actions, lost);
    }
    assert!(called_off, "by the answer to a later one, not by some tick after it");
    stand.ended(lost, id_of(0), Outcome::Cancelled, Cause::Untold);
    stand.pass(300 * MS);
    assert_eq!(sent(&stand.event(Event::Timer(Timer::Call(lost)))), Some(id_of(1)));
}

#[test]
fn a_set_up_that_only_waits_is_not_called_off() {
    let mut stand = Stand::new(settings(), 1);
    stand.load(0, 10, 100 * MS, 20 * MS);
    let (waiting, _) = stand.call(0, 0);
    for _ in 0..8 {
        stand.pass(100 * MS);
        assert!(!cancels(&tick(&mut stand), waiting));
    }
}

#[test]
fn nothing_is_sent_where_it_cannot_stand_in_time() {
    let mut stand = Stand::new(settings(), 1);
    stand.report(id_of(0), wait(2_000.0));
    let (_, actions) = stand.call(1, 0);
    assert!(sent(&actions).is_none() && answered(&actions));
}

#[test]
fn the_answers_queue_is_learned_from_set_up_delays() {
    let run = |lag: Micros| {
        let mut stand = Stand::new(Settings { group_size: 1, ..settings() }, 1);
        stand.load(0, 5, 100 * MS, 20 * MS);
        for _ in 0..60 {
            stand.report(id_of(0), wait(300.0));
            let (id, actions) = stand.call(1, 0);
            if sent(&actions).is_some() {
                stand.first(id, id_of(0), lag);
            }
            stand.pass(200 * MS);
        }
        stand.pass(7 * SECOND);
        (0..20).any(|_| {
            stand.pass(50 * MS);
            stand.report(id_of(0), wait(450.0));
            sent(&stand.call(1, 0).1).is_some()
        })
    };
    assert!(run(320 * MS), "a wait of 450 ms is a delay of as much here");
    assert!(!run(920 * MS), "a wait of 450 ms is a delay of three times as much here");
}

#[test]
fn a_calm_report_does_not_lift_an_image_at_once() {
    let mut stand = Stand::new(settings(), 1);
    stand.load(0, 40, 200 * MS, 50 * MS);
    stand.report(id_of(0), wait(300.0));
    stand.pass(500 * MS);
    stand.report(id_of(0), wait(10.0));
    let mut count = 0;
    for _ in 0..20 {
        let (id, actions) = stand.call(0, 0);
        if sent(&actions).is_some() {
            count += 1;
            stand.first(id, id_of(0), 0);
        }
        stand.pass(5 * MS);
    }
    assert!(count <= 4, "{count} of 20 calls at once passed");
}

#[test]
fn a_busy_number_is_refused_before_sending_for_a_while() {
    let mut stand = Stand::new(settings(), 1);
    let hot = |id| Call { called_number: "hot".into(), ..call(id, 0, 0) };
    stand.event(Event::Call(hot(500)));
    assert!(answered(&stand.ended(CallId(500), id_of(0), Outcome::Error, Cause::NumberBusy)));
    let actions = stand.event(Event::Call(hot(501)));
    assert!(sent(&actions).is_none() && answered(&actions));
    assert_eq!(stand.load(0, 1, 50 * MS, 20 * MS), 1, "other numbers are free");
    stand.pass(3 * SECOND);
    assert!(sent(&stand.event(Event::Call(hot(502)))).is_some());
}

#[test]
fn a_server_without_free_lines_is_no_first_choice() {
    let mut stand = Stand::new(settings(), 2);
    stand.load(1, 10, 100 * MS, 20 * MS);
    stand.report(id_of(0), Report { free_lines: Some(0.0), total_lines: Some(50.0), ..wait(1.0) });
    let elsewhere = (0..20).filter(|_| sent(&stand.call(0, 0).1) == Some(id_of(1))).count();
    assert!(elsewhere >= 18, "{elsewhere}");
}

#[test]
fn a_server_that_fails_fast_is_left_alone_for_a_while() {
    let mut stand = Stand::new(settings(), 2);
    for _ in 0..3 {
        let (id, actions) = stand.call(0, 0);
        if sent(&actions) == Some(id_of(0)) {
            stand.ended(id, id_of(0), Outcome::ConnectFailed, Cause::Untold);
        }
        stand.pass(10 * MS);
    }
    assert_eq!(sent(&stand.call(0, 0).1), Some(id_of(1)));
}

#[test]
fn an_unmarked_redial_past_its_aim_yields_to_first_tries() {
    let mut stand = Stand::new(settings(), 1);
    stand.load(0, 40, 100 * MS, 20 * MS);
    let redial = |id| Call { called_number: "again".into(), ..call(id, 0, 0) };
    stand.report(id_of(0), wait(2_000.0));
    assert!(answered(&stand.event(Event::Call(redial(700)))));
    stand.pass(1_500 * MS);
    stand.report(id_of(0), wait(350.0));
    let went = (0..2).filter(|_| sent(&stand.call(0, 0).1).is_some()).count();
    assert_eq!(went, 2, "there is some room");
    assert_eq!(sent(&stand.event(Event::Call(redial(701)))), None, "not enough for a late redial");
    assert_eq!(sent(&stand.call(0, 0).1), Some(id_of(0)), "enough for a first try");
}

#[test]
fn over_share_traffic_yields_first() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 400.0 }];
    let mut stand = Stand::new(Settings { tenants, ..settings() }, 1);
    let mut passed = [0, 0];
    for step in 0..400u64 {
        let tenant = (step % 2) as usize;
        let call = Call { tenant, called_number: format!("{step}"), ..call(9_000 + step, 0, 0) };
        let id = call.id;
        if step > 40 && step % 2 == 0 {
            stand.report(id_of(0), wait(460.0));
        }
        let actions = stand.event(Event::Call(call));
        if sent(&actions).is_some() {
            stand.first(id, id_of(0), 0);
            passed[tenant] += usize::from(step > 100);
        }
        stand.pass(50 * MS);
    }
    assert!(2 * passed[1] > 3 * passed[0], "{passed:?}");
}

#[test]
fn a_stale_list_is_enough_to_start_with() {
    let mut stand = Stand::new(settings(), 2);
    let list = [entry(1, Readiness::Ready), entry(2, Readiness::Ready)];
    stand.event(Event::ServerList { kind: ListKind::Cached, entries: &list });
    assert!(sent(&stand.call(0, 0).1).is_some(), "the first choice is gone, another takes the call");
}

#[test]
fn odd_input_changes_nothing() {
    let mut stand = Stand::new(settings(), 2);
    let (id, _) = stand.call(0, 0);
    let odd = Report {
        free_lines: Some(f64::NAN),
        queued: Some(f64::INFINITY),
        wait_ms: Some(-5.0),
        allowed_rate: Some(f64::NEG_INFINITY),
        shed_share: Some(f64::NAN),
        ..Report::default()
    };
    assert!(stand.report(ServerId(9), wait(900.0)).is_empty());
    assert!(stand.report(id_of(0), odd).is_empty());
    assert!(stand.first(CallId(77), id_of(0), -5).is_empty());
    assert!(stand.ended(CallId(78), ServerId(9), Outcome::Full, FULL).is_empty());
    assert!(stand.event(Event::CallerGone { call: CallId(79) }).is_empty());
    for length in 0..40 {
        let bytes: Vec<u8> = (0..length).map(|byte: u8| byte.wrapping_mul(37)).collect();
        assert!(stand.event(Event::PeerMessage { from: 900, bytes: &bytes }).is_empty());
    }
    stand.first(id, id_of(0), 20 * MS);
    assert_eq!(sent(&stand.call(0, 0).1), Some(id_of(0)));
}

#[test]
fn settings_unlike_the_known_ones_work() {
    let bare = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut stand = Stand::new(bare, 1);
    let (id, actions) = stand.call(0, 0);
    assert!(sent(&actions).is_some());
    assert!(
        answered(&stand.ended(id, id_of(0), Outcome::Timeout, Cause::Untold)),
        "one attempt where no limit is told"
    );

    let mut many = settings();
    (many.retry_delay, many.t1, many.limits.cancel) = (0, 0, false);
    let mut stand = Stand::new(many, 40);
    let (id, actions) = stand.call(0, 7);
    assert_eq!(sent(&actions), Some(id_of(7)));
    stand.pass(50 * MS);
    assert!(sent(&stand.ended(id, id_of(7), Outcome::Reset, Cause::Untold)).is_some(), "nothing to await");

    let asking = Settings { subscribe_to_list: true, ..settings() };
    let mut stand = Stand::new(asking, 1);
    assert!(stand.actions.contains(&Action::WatchServerList));
    let entries = [];
    let again = stand.event(Event::ServerList { kind: ListKind::Failed, entries: &entries });
    assert!(again.contains(&Action::WatchServerList), "asked again after a refusal");
}

#[test]
fn with_no_server_to_send_to_each_call_is_answered_at_once() {
    let draining = [entry(0, Readiness::Draining), entry(1, Readiness::Gone)];
    for entries in [&[][..], &draining[..]] {
        let mut stand = Stand::new(Settings { group_size: 250, ..settings() }, 2);
        let kind = if entries.is_empty() { ListKind::All } else { ListKind::Changes };
        stand.event(Event::ServerList { kind, entries });
        for _ in 0..50 {
            let (_, actions) = stand.call(0, 0);
            assert!(sent(&actions).is_none() && answered(&actions));
            stand.pass(20 * MS);
        }
    }
}

#[test]
fn with_all_servers_cold_and_no_report_ever_each_call_is_sent_or_answered() {
    let mut stand = Stand::new(Settings { group_size: 250, ..settings() }, 2);
    let cold = [0, 1].map(|number| Entry { started: Some(stand.now), ..entry(number, Readiness::Ready) });
    stand.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    let mut count = 0;
    for _ in 0..1_000 {
        let (id, actions) = stand.call(0, 0);
        match sent(&actions) {
            Some(server) => {
                count += 1;
                stand.first(id, server, 20 * MS);
            }
            None => assert!(answered(&actions)),
        }
        stand.pass(10 * MS);
    }
    assert!(count <= 4, "{count} set-ups of one node among 250 to servers of unknown pace");
}

#[test]
fn a_number_dialled_thousands_of_times_by_callers_who_hang_up_breaks_nothing() {
    let mut stand = Stand::new(Settings { group_size: 250, ..settings() }, 2);
    for id in 1_000..6_000 {
        let actions = stand.event(Event::Call(Call { called_number: "same".into(), ..call(id, 0, 0) }));
        let server = sent(&actions);
        assert!(server.is_some() || answered(&actions));
        stand.pass(3 * MS);
        let actions = stand.event(Event::CallerGone { call: CallId(id) });
        assert!(sent(&actions).is_none());
        if let Some(server) = server {
            assert!(cancels(&actions, CallId(id)));
            let cause = Cause::Untold;
            assert!(sent(&stand.ended(CallId(id), server, Outcome::Cancelled, cause)).is_none());
        }
        tick(&mut stand);
    }
}

#[test]
fn a_tenant_within_its_share_does_not_pay_for_one_that_redials() {
    // The second tenant's callers hang up when they do not stand at once and dial again, ten times a call.
    // The server takes 12 set-ups a second of the 20 first tries and all that follows them.
    let tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 3.0 }];
    let settings = Settings { tenants, group_size: 1, callers_mark_redials: true, ..settings() };
    let mut stand = Stand::new(settings, 1);
    let (mut served, mut id, mut room) = ([0, 0], 20_000, 0.0);
    for step in 0..600 {
        room = f64::min(room + 1.2, 2.0);
        stand.report(id_of(0), wait(420.0));
        for (tenant, tries) in [(1, 10), (0, 1)] {
            for is_redial in (0..tries).map(|number| number > 0) {
                id += 1;
                let called_number = format!("{tenant}-{step}");
                let call = Call { called_number, tenant, is_redial, ..call(id, 0, 0) };
                let Some(server) = sent(&stand.event(Event::Call(call))) else { continue };
                if room >= 1.0 {
                    room -= 1.0;
                    served[tenant] += usize::from(step >= 400);
                    stand.first(CallId(id), server, 0);
                    break;
                }
                stand.event(Event::CallerGone { call: CallId(id) });
                stand.ended(CallId(id), server, Outcome::Cancelled, Cause::Untold);
            }
        }
        stand.pass(100 * MS);
    }
    assert!(served[0] > 150, "{served:?}, 200 first tries each");
}

#[test]
fn a_call_that_was_reset_goes_back_where_nobody_else_takes_it() {
    let mut stand = Stand::new(settings(), 1);
    let (id, actions) = stand.call(0, 0);
    assert_eq!(sent(&actions), Some(id_of(0)));
    stand.ended(id, id_of(0), Outcome::Reset, Cause::Untold);
    stand.pass(300 * MS);
    let again = stand.event(Event::Timer(Timer::Call(id)));
    assert_eq!(sent(&again), Some(id_of(0)), "the connection may have been at fault alone");
    // A server that is full, or has no process, is not asked twice.
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut stand = Stand::new(settings(), 1);
        let (id, _) = stand.call(0, 0);
        let actions = stand.ended(id, id_of(0), outcome, Cause::Untold);
        assert!(answered(&actions), "{outcome:?}");
    }
}

#[test]
fn what_was_lost_on_the_way_to_a_server_that_answers_is_no_failure_of_its() {
    let mut stand = Stand::new(settings(), 1);
    let lost: Vec<CallId> = (0..4).map(|_| stand.call(0, 0).0).collect();
    stand.pass(10 * MS);
    let (later, _) = stand.call(0, 0);
    stand.pass(10 * MS);
    stand.first(later, id_of(0), 10 * MS);
    for id in lost {
        stand.pass(MS);
        stand.ended(id, id_of(0), Outcome::Timeout, Cause::Untold);
    }
    assert_eq!(sent(&stand.call(0, 0).1), Some(id_of(0)), "it is not shunned");
}
