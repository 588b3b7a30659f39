//! The five rules, as far as they can be read off events and actions.

mod common;

use std::collections::BTreeMap;

use common::*;
use steprelay_decisions::*;

#[test]
fn a_call_that_timed_out_is_answered_at_once_and_only_once() {
    let mut stand = Stand::new(settings(), 1);
    let (id, actions) = stand.call(0, 0);
    let server = sent(&actions).expect("sent");
    stand.pass(3 * SECOND);
    assert!(answered(&stand.ended(id, server, Outcome::Timeout, Cause::Untold)));
    stand.pass(SECOND);
    assert!(stand.ended(id, server, Outcome::Timeout, Cause::Untold).is_empty());
    assert!(stand.event(Event::Timer(Timer::Call(id))).is_empty());
    assert!(stand.event(Event::CallerGone { call: id }).is_empty());
}

#[test]
fn a_full_server_is_followed_by_another_and_then_by_an_answer() {
    let mut stand = Stand::new(settings(), 2);
    let (id, actions) = stand.call(0, 0);
    let first = sent(&actions).expect("sent");
    let second = sent(&stand.ended(id, first, Outcome::Full, Cause::NoLine)).expect("sent elsewhere");
    assert_ne!(first, second);
    let actions = stand.ended(id, second, Outcome::Full, Cause::NoLine);
    assert!(sent(&actions).is_none() && answered(&actions));
}

#[test]
fn nothing_goes_to_a_draining_or_missing_server_from_the_notice_on() {
    for kind in [ListKind::Changes, ListKind::All] {
        let mut stand = Stand::new(settings(), 2);
        stand.load(0, 10, 100 * MS, 50 * MS);
        let draining = [entry(0, Readiness::Draining)];
        let without = [entry(1, Readiness::Ready)];
        let entries = if kind == ListKind::Changes { &draining } else { &without };
        stand.event(Event::ServerList { kind, entries });
        for _ in 0..30 {
            let (id, actions) = stand.call(0, 0);
            let server = sent(&actions).expect("the other server is there");
            assert_eq!(server, id_of(1));
            stand.first(id, server, 0);
            stand.pass(100 * MS);
        }
    }
}

#[test]
fn the_release_is_awaited_after_timeout_reset_and_cancel() {
    for outcome in [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut stand = Stand::new(settings(), 2);
        let (id, actions) = stand.call(0, 0);
        let server = sent(&actions).expect("sent");
        stand.pass(200 * MS);
        assert!(sent(&stand.ended(id, server, outcome, Cause::Untold)).is_none());
        stand.pass(299 * MS);
        assert!(sent(&stand.event(Event::Timer(Timer::Call(id)))).is_none());
        stand.pass(MS);
        assert!(sent(&stand.event(Event::Timer(Timer::Call(id)))).is_some());
    }
}

/// Set-ups that one node sends in 3 s to a server that has just started, of 20 calls a second for it.
fn sent_to_a_cold_server(stand: &mut Stand, seconds: usize) -> usize {
    let mut count = 0;
    for _ in 0..seconds * 20 {
        let (id, actions) = stand.call(0, 0);
        if let Some(server) = sent(&actions) {
            count += usize::from(server == id_of(0));
            stand.first(id, server, 0);
        }
        stand.pass(50 * MS);
    }
    count
}

#[test]
fn a_cold_server_gets_its_part_of_what_it_took_before() {
    let mut stand = Stand::new(settings(), 2);
    stand.load(0, 100, 100 * MS, 50 * MS);
    let cold = [Entry { started: Some(stand.now), ..entry(0, Readiness::Ready) }];
    stand.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    // It took 10 a second from this node; 0.3 of that is there, and twice as much would push it over.
    let count = sent_to_a_cold_server(&mut stand, 3);
    assert!((3..=18).contains(&count), "{count}");
}

#[test]
fn a_cold_server_of_unknown_pace_gets_a_trickle() {
    let mut stand = Stand::new(settings(), 1);
    let cold = [Entry { started: Some(stand.now), ..entry(0, Readiness::Ready) }];
    stand.event(Event::ServerList { kind: ListKind::Changes, entries: &cold });
    assert!(sent_to_a_cold_server(&mut stand, 4) <= 3);
}

#[test]
fn a_restart_is_seen_before_the_list_tells_of_it() {
    let lines = |standing: f64| Report {
        free_lines: Some(500.0 - standing),
        total_lines: Some(500.0),
        ..Report::default()
    };
    let told = |stand: &mut Stand, standing: f64| {
        let actions = stand.report(id_of(0), lines(standing));
        stand.pass(SECOND);
        actions.iter().any(|action| matches!(action, Action::Log(_)))
    };
    let settings = || Settings { group_size: 250, ..settings() };
    let mut stand = Stand::new(settings(), 2);
    for _ in 0..10 {
        assert!(!told(&mut stand, 400.0));
    }
    assert!(!told(&mut stand, 200.0), "half of the calls cut is no restart");
    assert_eq!(sent_to_a_cold_server(&mut stand, 1), 20);
    assert!(told(&mut stand, 5.0), "nearly all of them cut is one, seen by a node that had no call there");
    assert!(sent_to_a_cold_server(&mut stand, 2) <= 3);
    // A node that counts one wrong is set right by the lines.
    told(&mut stand, 300.0);
    assert_eq!(sent_to_a_cold_server(&mut stand, 1), 20);
}

/// What a legal world may do to a controller, drawn from a seed; panics when a rule is broken.
fn storm(seed: u64, mut config: Settings) {
    let mut random = seed;
    let mut below = move |limit: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % limit
    };
    config.limits.cancel = below(4) > 0;
    config.limits.retry_after = below(2) == 0;
    config.limits.max_retry_after = 2 * SECOND;
    config.retry_delay = [0, 200 * MS, config.retry_delay][below(3) as usize];
    config.t1 = [0, config.t1][below(2) as usize];
    let release = config.retry_delay;
    let attempts = config.limits.max_attempts;
    let servers = 1 + below(4) as u32;
    let mut stand = Stand::new(config, servers);

    #[derive(Default)]
    struct Seen {
        until: Micros,
        out: Option<(ServerId, u32)>,
        sends: u32,
        stands: bool,
        free_at: Micros,
        answers: u32,
        over: bool,
    }
    let mut calls: BTreeMap<CallId, Seen> = BTreeMap::new();
    let mut barred: BTreeMap<ServerId, bool> = BTreeMap::new();
    let mut timers: Vec<(Micros, Timer)> = Vec::new();
    let mut next = 1u64;
    for _ in 0..3_000 {
        stand.pass(5 * MS * below(4) as Micros);
        let now = stand.now;
        let mut events: Vec<Event> = Vec::new();
        timers.retain(|&(at, timer)| {
            if at <= now {
                events.push(Event::Timer(timer));
            }
            at > now
        });
        let mut fate: Vec<CallId> = Vec::new();
        for (id, seen) in &calls {
            let late = seen.until <= now && !seen.stands;
            if seen.out.is_some() && (late || below(12) == 0) {
                fate.push(*id);
            }
        }
        for id in fate {
            let seen = calls.get_mut(&id).expect("listed");
            let (server, attempt) = seen.out.expect("out");
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
            if !seen.stands && seen.until <= now {
                end(Outcome::Timeout, Cause::Untold, seen.over);
                seen.free_at = now + release;
                seen.out = None;
            } else if seen.stands {
                end(if below(3) == 0 { Outcome::Reset } else { Outcome::Ok }, Cause::Untold, true);
                seen.out = None;
                seen.over = true;
            } else {
                match below(6) {
                    0 => end(Outcome::Full, [Cause::NoLine, FULL][below(2) as usize], seen.over),
                    1 => end(Outcome::ConnectFailed, Cause::Untold, seen.over),
                    2 => {
                        end(Outcome::Error, [Cause::Untold, Cause::NumberBusy][below(2) as usize], seen.over)
                    }
                    3 => {
                        end(Outcome::Reset, Cause::Untold, seen.over);
                        seen.free_at = now + release;
                    }
                    _ => {
                        events.push(Event::Answered { call: id, server, attempt, lag: 40 * MS });
                        seen.stands = true;
                        continue;
                    }
                }
                seen.out = None;
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
                ..call(next, class, dest)
            };
            calls.insert(call.id, Seen { until: now + remaining, ..Seen::default() });
            events.push(Event::Call(call));
            next += 1;
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
                barred.insert(entries[0].server, entries[0].state != Readiness::Ready);
            }
            for action in stand.event(event) {
                match action {
                    Action::Send { call, server, stop_at } => {
                        let seen = calls.get_mut(&call).expect("known call");
                        assert!(seen.out.is_none(), "two attempts out");
                        assert!(!seen.stands && !seen.over && seen.answers == 0, "sent after the answer");
                        assert!(now >= seen.free_at, "sent before the release");
                        assert_ne!(barred.get(&server), Some(&true), "sent to a draining server");
                        assert!(stop_at <= seen.until && seen.sends < attempts);
                        seen.out = Some((server, seen.sends));
                        seen.sends += 1;
                    }
                    Action::Refuse { call, .. } | Action::Fail { call } => {
                        let seen = calls.get_mut(&call).expect("known call");
                        assert!(seen.out.is_none() && !seen.stands, "answered with an attempt out");
                        assert!(now <= seen.until + 20 * MS, "answered too late");
                        seen.answers += 1;
                        seen.over = true;
                        assert_eq!(seen.answers, 1, "two answers");
                    }
                    Action::SetTimer { timer, after } => timers.push((now + after.max(1), timer)),
                    Action::Cancel { call, attempt } => {
                        let seen = calls.get_mut(&call).expect("known call");
                        assert!(attempt < seen.sends, "cancelled what was never sent");
                    }
                    _ => {}
                }
            }
        }
    }
    let last = stand.now;
    for (id, seen) in &calls {
        let owed = !seen.over && !seen.stands && seen.out.is_none();
        assert!(!owed || seen.until > last, "{id:?} was never answered");
    }
}

#[test]
fn the_rules_hold_in_storms() {
    let kinds: [(fn() -> Settings, u64); 3] =
        [(settings, 40), (other_settings, 15), (unreported_settings, 15)];
    for (kind, seeds) in kinds {
        (0..seeds).for_each(|seed| storm(seed, kind()));
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut stand = Stand::new(settings(), 3);
        for step in 0..200 {
            let (id, actions) = stand.call(step % 2, step as u32 % 3);
            stand.pass(30 * MS);
            if let Some(server) = sent(&actions) {
                stand.report(server, wait(step as f64 * 7.0 % 900.0));
                stand.first(id, server, 30 * MS);
            }
        }
        stand.actions
    };
    assert_eq!(run(), run());
}
