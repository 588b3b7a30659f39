//! The five rules for attempts and answers, as far as events and actions show them.

mod common;

use std::collections::BTreeMap;

use common::*;
use steprelay_decisions::*;

#[test]
fn a_call_that_timed_out_fails_at_once_and_only_once() {
    let mut harness = Harness::new(settings(), 1);
    let (id, actions) = harness.call(0, 0);
    let server = sent_to(&actions).expect("sent");
    harness.advance(3 * SECOND);
    assert!(is_rejected(&harness.end_attempt(id, server, Outcome::Timeout, Cause::Untold)));
    harness.advance(SECOND);
    assert!(harness.end_attempt(id, server, Outcome::Timeout, Cause::Untold).is_empty());
    assert!(harness.event(Event::Timer(Timer::Call(id))).is_empty());
    assert!(harness.event(Event::CallerGone { call: id }).is_empty());
}

#[test]
fn a_call_refused_by_a_full_server_goes_to_another_and_is_then_refused() {
    let mut harness = Harness::new(settings(), 2);
    let (id, actions) = harness.call(0, 0);
    let first = sent_to(&actions).expect("sent");
    let second =
        sent_to(&harness.end_attempt(id, first, Outcome::Full, Cause::NoLine)).expect("sent elsewhere");
    assert_ne!(first, second);
    let actions = harness.end_attempt(id, second, Outcome::Full, Cause::NoLine);
    assert!(sent_to(&actions).is_none() && is_rejected(&actions));
}

#[test]
fn no_set_up_goes_to_a_draining_or_missing_server() {
    for kind in [ListKind::Changes, ListKind::All] {
        let mut harness = Harness::new(settings(), 2);
        harness.send_calls(0, 10, 100 * MS, 50 * MS);
        let draining = [entry(0, Readiness::Draining)];
        let without = [entry(1, Readiness::Ready)];
        let entries = if kind == ListKind::Changes { &draining } else { &without };
        harness.event(Event::ServerList { kind, entries });
        for _ in 0..30 {
            let (id, actions) = harness.call(0, 0);
            let server = sent_to(&actions).expect("the other server is ready");
            assert_eq!(server, server_id(1));
            harness.answer(id, server, 0);
            harness.advance(100 * MS);
        }
    }
}

#[test]
fn the_retry_delay_is_observed_after_timeout_reset_and_cancel() {
    for outcome in [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), 2);
        let (id, actions) = harness.call(0, 0);
        let server = sent_to(&actions).expect("sent");
        harness.advance(200 * MS);
        assert!(sent_to(&harness.end_attempt(id, server, outcome, Cause::Untold)).is_none());
        harness.advance(299 * MS);
        assert!(sent_to(&harness.event(Event::Timer(Timer::Call(id)))).is_none());
        harness.advance(MS);
        assert!(sent_to(&harness.event(Event::Timer(Timer::Call(id)))).is_some());
    }
}

/// Offers 20 calls per second for a server that has just started. Returns the number of set-ups sent to it.
fn sent_to_a_cold_server(harness: &mut Harness, seconds: usize) -> usize {
    let mut count = 0;
    for _ in 0..seconds * 20 {
        let (id, actions) = harness.call(0, 0);
        if let Some(server) = sent_to(&actions) {
            count += usize::from(server == server_id(0));
            harness.answer(id, server, 0);
        }
        harness.advance(50 * MS);
    }
    count
}

#[test]
fn a_cold_server_gets_a_share_of_its_earlier_throughput() {
    let mut harness = Harness::new(settings(), 2);
    harness.send_calls(0, 100, 100 * MS, 50 * MS);
    let cold = [Entry { started: Some(harness.now), ..entry(0, Readiness::Ready) }];
    harness.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    // The server took 10 set-ups per second from this node. Now it has 0.3 of that capacity, and twice as
    // much overloads it.
    let count = sent_to_a_cold_server(&mut harness, 3);
    assert!((3..=18).contains(&count), "{count}");
}

#[test]
fn a_cold_server_of_unknown_throughput_gets_the_minimum_rate() {
    let mut harness = Harness::new(settings(), 1);
    let cold = [Entry { started: Some(harness.now), ..entry(0, Readiness::Ready) }];
    harness.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    assert!(sent_to_a_cold_server(&mut harness, 4) <= 3);
}

#[test]
fn a_restart_is_detected_before_the_list_shows_it() {
    let lines = |established: f64| Report {
        free_lines: Some(500.0 - established),
        total_lines: Some(500.0),
        ..Report::default()
    };
    let reports_restart = |harness: &mut Harness, established: f64| {
        let actions = harness.report(server_id(0), lines(established));
        harness.advance(SECOND);
        actions.iter().any(|action| matches!(action, Action::Log(_)))
    };
    let settings = || Settings { group_size: 250, ..settings() };
    let mut harness = Harness::new(settings(), 2);
    for _ in 0..10 {
        assert!(!reports_restart(&mut harness, 400.0));
    }
    assert!(!reports_restart(&mut harness, 200.0), "losing half of the calls is not a restart");
    assert_eq!(sent_to_a_cold_server(&mut harness, 1), 20);
    assert!(
        reports_restart(&mut harness, 5.0),
        "losing nearly all calls is a restart, also to a node without a call there"
    );
    assert!(sent_to_a_cold_server(&mut harness, 2) <= 3);
    // Later line counts correct a false detection.
    reports_restart(&mut harness, 300.0);
    assert_eq!(sent_to_a_cold_server(&mut harness, 1), 20);
}

/// Drives a controller with random valid events, drawn from a seed; panics when a rule is broken.
fn run_random_events(seed: u64, mut config: Settings) {
    let mut random = seed;
    let mut below = move |limit: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % limit
    };
    config.limits.may_cancel = below(4) > 0;
    config.limits.may_send_retry_after = below(2) == 0;
    config.limits.max_retry_after = 2 * SECOND;
    config.retry_delay = [0, 200 * MS, config.retry_delay][below(3) as usize];
    config.t1 = [0, config.t1][below(2) as usize];
    let retry_delay = config.retry_delay;
    let max_attempts = config.limits.max_attempts;
    let servers = 1 + below(4) as u32;
    let mut harness = Harness::new(config, servers);

    #[derive(Default)]
    struct CallState {
        deadline: Micros,
        /// The current attempt.
        attempt: Option<(ServerId, u32)>,
        attempts: u32,
        is_established: bool,
        /// No attempt may be sent before this time.
        not_before: Micros,
        rejections: u32,
        is_over: bool,
    }
    let mut calls: BTreeMap<CallId, CallState> = BTreeMap::new();
    let mut not_ready: BTreeMap<ServerId, bool> = BTreeMap::new();
    let mut timers: Vec<(Micros, Timer)> = Vec::new();
    let mut next_id = 1u64;
    for _ in 0..3_000 {
        harness.advance(5 * MS * below(4) as Micros);
        let now = harness.now;
        let mut events: Vec<Event> = Vec::new();
        timers.retain(|&(at, timer)| {
            if at <= now {
                events.push(Event::Timer(timer));
            }
            at > now
        });
        let mut ending: Vec<CallId> = Vec::new();
        for (id, state) in &calls {
            let is_overdue = state.deadline <= now && !state.is_established;
            if state.attempt.is_some() && (is_overdue || below(12) == 0) {
                ending.push(*id);
            }
        }
        for id in ending {
            let state = calls.get_mut(&id).expect("listed");
            let (server, attempt) = state.attempt.expect("an attempt");
            let wait = below(3_000) as f64 - 1.0;
            let report = Report { wait_ms: Some(wait), queued: Some(f64::NAN), ..Report::default() };
            let mut end = |outcome, cause, is_final| {
                events.push(Event::AttemptEnded(AttemptEnd {
                    call: id,
                    server,
                    attempt,
                    lag: 0,
                    outcome,
                    cause,
                    is_final,
                    report,
                }));
            };
            if !state.is_established && state.deadline <= now {
                end(Outcome::Timeout, Cause::Untold, state.is_over);
                state.not_before = now + retry_delay;
                state.attempt = None;
            } else if state.is_established {
                end(if below(3) == 0 { Outcome::Reset } else { Outcome::Ok }, Cause::Untold, true);
                state.attempt = None;
                state.is_over = true;
            } else {
                match below(6) {
                    0 => {
                        end(Outcome::Full, [Cause::NoLine, PROCESSOR_FULL][below(2) as usize], state.is_over)
                    }
                    1 => end(Outcome::ConnectFailed, Cause::Untold, state.is_over),
                    2 => end(
                        Outcome::Error,
                        [Cause::Untold, Cause::NumberBusy][below(2) as usize],
                        state.is_over,
                    ),
                    3 => {
                        end(Outcome::Reset, Cause::Untold, state.is_over);
                        state.not_before = now + retry_delay;
                    }
                    _ => {
                        events.push(Event::Answered { call: id, server, attempt, lag: 40 * MS });
                        state.is_established = true;
                        continue;
                    }
                }
                state.attempt = None;
            }
        }
        for _ in 0..below(3) {
            let remaining = 500 * MS + 100 * MS * below(30) as Micros;
            let class = below(3) as usize;
            let dest = below(5) as u32;
            let call = Call {
                remaining,
                tenant: below(2) as usize,
                called_number: format!("line-{}", below(20)),
                is_redial: below(5) == 0,
                ..call(next_id, class, dest)
            };
            calls.insert(call.id, CallState { deadline: now + remaining, ..CallState::default() });
            events.push(Event::Call(call));
            next_id += 1;
        }
        let changed;
        if below(60) == 0 {
            let number = below(u64::from(servers)) as u32;
            let state = [Readiness::Ready, Readiness::Draining, Readiness::Gone][below(3) as usize];
            let started = (below(2) == 0).then_some(now);
            changed = [Entry { started, ..entry(number, state) }];
            events.push(Event::ServerList { kind: ListKind::Changes, entries: &changed });
        }
        for event in events {
            if let Event::ServerList { entries, .. } = &event {
                not_ready.insert(entries[0].server, entries[0].state != Readiness::Ready);
            }
            for action in harness.event(event) {
                match action {
                    Action::Send { call, server, stop_at } => {
                        let state = calls.get_mut(&call).expect("known call");
                        assert!(state.attempt.is_none(), "two concurrent attempts");
                        assert!(
                            !state.is_established && !state.is_over && state.rejections == 0,
                            "sent after the final answer"
                        );
                        assert!(now >= state.not_before, "sent before the end of the retry delay");
                        assert_ne!(not_ready.get(&server), Some(&true), "sent to a draining server");
                        assert!(stop_at <= state.deadline && state.attempts < max_attempts);
                        state.attempt = Some((server, state.attempts));
                        state.attempts += 1;
                    }
                    Action::Refuse { call, .. } | Action::Fail { call } => {
                        let state = calls.get_mut(&call).expect("known call");
                        assert!(
                            state.attempt.is_none() && !state.is_established,
                            "rejected during an attempt or after the answer"
                        );
                        assert!(now <= state.deadline + 20 * MS, "rejected after the deadline");
                        state.rejections += 1;
                        state.is_over = true;
                        assert_eq!(state.rejections, 1, "rejected twice");
                    }
                    Action::SetTimer { timer, after } => timers.push((now + after.max(1), timer)),
                    Action::Cancel { call, attempt } => {
                        let state = calls.get_mut(&call).expect("known call");
                        assert!(attempt < state.attempts, "cancelled an attempt that was never sent");
                    }
                    _ => {}
                }
            }
        }
    }
    let end = harness.now;
    for (id, state) in &calls {
        let is_unanswered = !state.is_over && !state.is_established && state.attempt.is_none();
        assert!(!is_unanswered || state.deadline > end, "{id:?} was never answered");
    }
}

#[test]
fn the_rules_hold_for_random_events() {
    let deployments: [(fn() -> Settings, u64); 3] =
        [(settings, 40), (other_settings, 15), (settings_without_load_reports, 15)];
    for (settings, seeds) in deployments {
        (0..seeds).for_each(|seed| run_random_events(seed, settings()));
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), 3);
        for step in 0..200 {
            let (id, actions) = harness.call(step % 2, step as u32 % 3);
            harness.advance(30 * MS);
            if let Some(server) = sent_to(&actions) {
                harness.report(server, wait_report(step as f64 * 7.0 % 900.0));
                harness.answer(id, server, 30 * MS);
            }
        }
        harness.actions
    };
    assert_eq!(run(), run());
}
