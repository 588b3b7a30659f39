//! A test harness for one controller, with example settings, a fake clock and a record of all actions.
#![allow(dead_code)]

use steprelay_decisions::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub const PROCESSOR_FULL: Cause = Cause::ProcessorFull { wait: None };

pub fn settings() -> Settings {
    Settings {
        group_size: 4,
        index: 1,
        classes: vec![
            Class {
                slo: 1_200 * MS,
                importance: 1.0,
                late_factor: 0.2,
                is_idempotent: true,
                allowed_servers: None,
                mean_hold_time: 0,
            },
            Class {
                slo: 1_200 * MS,
                importance: 6.0,
                late_factor: 0.2,
                is_idempotent: true,
                allowed_servers: None,
                mean_hold_time: 0,
            },
        ],
        over_quota_factor: 0.2,
        limits: Limits { may_cancel: true, max_attempts: 4, ..Limits::default() },
        rules: Rules {
            list_poll_interval: 10 * SECOND,
            start_capacity: 0.3,
            ramp_time: 13 * SECOND,
            overload_multiple: 2.0,
            overload_duration: 1_500 * MS,
        },
        retry_delay: 300 * MS,
        t1: 500 * MS,
        ..Settings::default()
    }
}

/// Settings of another deployment, with other set-up targets, warm-up rules and timers and more attempts.
pub fn other_settings() -> Settings {
    let mut other = settings();
    for (class, (slo, importance)) in other.classes.iter_mut().zip([(1_700 * MS, 1.0), (800 * MS, 4.0)]) {
        (class.slo, class.importance, class.mean_hold_time) = (slo, importance, 9 * SECOND);
    }
    (other.group_size, other.limits.max_attempts, other.over_quota_factor) = (7, 5, 0.0);
    other.rules = Rules {
        list_poll_interval: 0,
        start_capacity: 0.4,
        ramp_time: 11 * SECOND,
        overload_multiple: 3.0,
        overload_duration: 2_200 * MS,
    };
    (other.retry_delay, other.t1) = (550 * MS, 850 * MS);
    other
}

/// Settings of a deployment whose load reports hold nothing about processors.
pub fn settings_without_load_reports() -> Settings {
    Settings { load_unreported: true, group_size: 60, retry_delay: 200 * MS, ..other_settings() }
}

/// A controller with a fake clock.
pub struct Harness {
    pub now: Micros,
    pub controller: Controller,
    /// All actions so far.
    pub actions: Vec<Action>,
    last_call: u64,
}

impl Harness {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let now = 77 * SECOND;
        let mut harness =
            Harness { now, controller: Controller::new(settings, 5, now), actions: Vec::new(), last_call: 0 };
        let entries: Vec<Entry> = (0..servers).map(|number| entry(number, Readiness::Ready)).collect();
        harness.event(Event::ServerList { kind: ListKind::Cached, entries: &entries });
        harness
    }

    /// Passes an event to the controller and returns its actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn advance(&mut self, time: Micros) {
        self.now += time;
    }

    /// Sets up a call to a new number; returns its id and the resulting actions.
    pub fn call(&mut self, class: usize, dest: u32) -> (CallId, Vec<Action>) {
        self.last_call += 1;
        let call =
            Call { called_number: format!("line-{}", self.last_call), ..call(self.last_call, class, dest) };
        let id = call.id;
        (id, self.event(Event::Call(call)))
    }

    pub fn answer(&mut self, id: CallId, server: ServerId, lag: Micros) -> Vec<Action> {
        self.event(Event::Answered { call: id, server, attempt: 0, lag })
    }

    pub fn end_attempt(
        &mut self,
        id: CallId,
        server: ServerId,
        outcome: Outcome,
        cause: Cause,
    ) -> Vec<Action> {
        let is_final = outcome == Outcome::Ok;
        let report = Report::default();
        self.event(Event::AttemptEnded(AttemptEnd {
            call: id,
            server,
            attempt: 0,
            lag: 0,
            outcome,
            cause,
            is_final,
            report,
        }))
    }

    pub fn report(&mut self, server: ServerId, report: Report) -> Vec<Action> {
        self.event(Event::ProbeAnswered { server, ok: true, lag: 0, report })
    }

    /// Sets up `count` calls to `dest`, one per `gap`, which are answered after `lag`. Returns how many of
    /// them were sent to `dest`.
    pub fn send_calls(&mut self, dest: u32, count: usize, gap: Micros, lag: Micros) -> usize {
        let mut sent_to_dest = 0;
        for _ in 0..count {
            let (id, actions) = self.call(0, dest);
            if let Some(server) = sent_to(&actions) {
                sent_to_dest += usize::from(server == server_id(dest));
                self.advance(lag);
                self.answer(id, server, lag);
                self.advance(gap - lag);
            } else {
                self.advance(gap);
            }
        }
        sent_to_dest
    }
}

pub fn server_id(number: u32) -> ServerId {
    ServerId(1000 + number)
}

pub fn entry(number: u32, state: Readiness) -> Entry {
    Entry { server: server_id(number), started: None, number, state }
}

pub fn call(id: u64, class: usize, dest: u32) -> Call {
    Call {
        id: CallId(id),
        class,
        tenant: 0,
        dest,
        called_number: "line".into(),
        remaining: 3 * SECOND,
        is_redial: false,
        was_cut: false,
        is_in_transit: false,
    }
}

/// Returns the server that an attempt was sent to, if any.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether the call was refused or failed.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. } | Action::Fail { .. }))
}

/// A load report with the wait at the processor.
pub fn wait_report(ms: f64) -> Report {
    Report { wait_ms: Some(ms), ..Report::default() }
}
