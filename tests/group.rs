//! Simulation of many controllers against one scripted server: the sum of their bounds.

mod common;

use std::collections::VecDeque;

use common::*;
use steprelay_decisions::*;

const STEP: Micros = 10 * MS;
const HOLD_TIME: Micros = 8 * SECOND;
const LINES: f64 = 2_000.0;

/// A server with a first come, first served processor, and the controllers that send to it.
struct Group {
    now: Micros,
    nodes: Vec<Controller>,
    /// Queued set-ups: node, call and time of sending.
    queue: VecDeque<(usize, CallId, Micros)>,
    /// Established calls: time of their end, node and call.
    established: VecDeque<(Micros, usize, CallId)>,
    /// Set-ups that the processor may still serve.
    service_credit: f64,
    /// Calls that are due to arrive.
    due_calls: f64,
    calls: u64,
    sent: usize,
    rejected: usize,
    /// Load reports hold the wait at the processor.
    reports_wait: bool,
}

impl Group {
    fn new(size: usize) -> Self {
        Self::with_reports(size, true)
    }

    fn with_reports(size: usize, reports_wait: bool) -> Self {
        let mut config = Settings { group_size: size as u32, load_unreported: !reports_wait, ..settings() };
        config.limits.may_cancel = false;
        config.classes.iter_mut().for_each(|class| class.mean_hold_time = HOLD_TIME);
        let now = 77 * SECOND;
        let nodes =
            (0..size).map(|node| Controller::new(config.clone(), 31 * node as u64 + 7, now)).collect();
        let (queue, established) = (VecDeque::new(), VecDeque::new());
        Group {
            now,
            nodes,
            queue,
            established,
            service_credit: 0.0,
            due_calls: 0.0,
            calls: 0,
            sent: 0,
            rejected: 0,
            reports_wait,
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, .. } => {
                    self.sent += 1;
                    self.queue.push_back((node, call, self.now));
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.rejected += 1,
                _ => {}
            }
        }
    }

    fn send_list(&mut self, started: Option<Micros>) {
        let entries = [Entry { started, ..entry(0, Readiness::Ready) }];
        for node in 0..self.nodes.len() {
            self.deliver(node, Event::ServerList { kind: ListKind::Changes, entries: &entries });
        }
    }

    fn end(&mut self, node: usize, call: CallId, outcome: Outcome, report: Report) {
        let (server, cause, is_final) = (server_id(0), Cause::Untold, outcome == Outcome::Ok);
        self.deliver(
            node,
            Event::AttemptEnded(AttemptEnd {
                call,
                server,
                attempt: 0,
                lag: 0,
                outcome,
                cause,
                is_final,
                report,
            }),
        );
    }

    /// Runs for `span` with `offered` calls per second and a server that takes `capacity` set-ups per second.
    /// Returns the rates of set-ups sent and of those answered within a second.
    fn run(&mut self, span: Micros, offered: f64, capacity: f64) -> (f64, f64) {
        let (sent, mut in_time, until) = (self.sent, 0, self.now + span);
        while self.now < until {
            self.now += STEP;
            let step = STEP as f64 / SECOND as f64;
            self.due_calls += offered * step;
            while self.due_calls >= 1.0 {
                self.due_calls -= 1.0;
                self.calls += 1;
                let node = (self.calls.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % self.nodes.len();
                let call = Call { called_number: format!("{}", self.calls), ..call(self.calls, 0, 0) };
                self.deliver(node, Event::Call(call));
            }
            let free = LINES - self.established.len() as f64;
            let lines = Report { free_lines: Some(free), total_lines: Some(LINES), ..Report::default() };
            let wait_ms = self.reports_wait.then_some(self.queue.len() as f64 / capacity * 1_000.0);
            let waits = Report { wait_ms, ..lines };
            while self.queue.front().is_some_and(|(_, _, at)| self.now - at >= 3 * SECOND) {
                let (node, call, _) = self.queue.pop_front().expect("not empty");
                self.end(node, call, Outcome::Timeout, Report::default());
            }
            self.service_credit = (self.service_credit + capacity * step).min(1.0 + capacity * step);
            while self.service_credit >= 1.0 && !self.queue.is_empty() {
                self.service_credit -= 1.0;
                let (node, call, at) = self.queue.pop_front().expect("not empty");
                let lag = self.now - at;
                in_time += usize::from(lag < SECOND);
                self.established.push_back((self.now + HOLD_TIME, node, call));
                self.deliver(node, Event::Answered { call, server: server_id(0), attempt: 0, lag });
            }
            while self.established.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, node, call) = self.established.pop_front().expect("not empty");
                self.end(node, call, Outcome::Ok, waits);
            }
            for node in 0..self.nodes.len() {
                let phase = self.now + node as Micros * STEP;
                if phase % (100 * MS) == 0 {
                    self.deliver(node, Event::Timer(Timer::Tick));
                }
                if phase % SECOND == 0 {
                    self.deliver(
                        node,
                        Event::ProbeAnswered { server: server_id(0), ok: true, lag: 0, report: lines },
                    );
                }
            }
        }
        let seconds = span as f64 / SECOND as f64;
        ((self.sent - sent) as f64 / seconds, in_time as f64 / seconds)
    }
}

#[test]
fn bounds_sum_to_the_servers_capacity_at_any_group_size() {
    for size in [1, 5, 50, 300] {
        let mut group = Group::new(size);
        group.send_list(None);
        let (sent, in_time) = group.run(20 * SECOND, 50.0, 80.0);
        assert!(sent > 49.0 && in_time > 49.0, "{size} nodes at low load: {sent} sent, {in_time} in time");
        group.run(10 * SECOND, 160.0, 80.0);
        let (sent, in_time) = group.run(15 * SECOND, 160.0, 80.0);
        assert!(
            (60.0..110.0).contains(&sent),
            "{size} nodes send {sent}/s to a server with a capacity of 80/s"
        );
        assert!(in_time > 50.0, "{size} nodes: {in_time}/s in time of 80/s");
        // At a third of the capacity the server is neither overloaded nor starved.
        group.run(10 * SECOND, 160.0, 27.0);
        let (sent, _) = group.run(15 * SECOND, 160.0, 27.0);
        assert!(
            (14.0..50.0).contains(&sent),
            "{size} nodes send {sent}/s to a server with a capacity of 27/s"
        );
        // After recovery the load does not oscillate.
        group.run(12 * SECOND, 50.0, 80.0);
        for _ in 0..5 {
            let (sent, in_time) = group.run(2 * SECOND, 50.0, 80.0);
            assert!(
                sent < 60.0 && in_time > 40.0,
                "{size} nodes after the overload: {sent} sent, {in_time} in time"
            );
        }
        assert!(
            group.rejected as u64 + group.sent as u64 >= group.calls,
            "some calls were neither sent nor rejected"
        );
    }
}

#[test]
fn many_nodes_neither_overload_a_cold_server_nor_leave_it_idle() {
    for size in [5, 60, 250] {
        // The nodes know the server's usual throughput, or none has seen it warm, or they know it while each
        // of them is upgraded, so that a new process without any knowledge takes calls as well.
        let cases = [(true, false), (false, false), (true, true)];
        for ((known, upgraded), idle) in cases.into_iter().flat_map(|case| [(case, 0), (case, 6 * SECOND)]) {
            let mut group = Group::new(size);
            group.send_list(None);
            if known {
                group.run(20 * SECOND, 70.0, 80.0);
                let cut: Vec<_> = group.established.drain(..).collect();
                for (_, node, call) in cut {
                    group.end(node, call, Outcome::Reset, Report::default());
                }
            }
            if upgraded {
                group.nodes.extend(Group::new(size).nodes);
            }
            let started = Some(group.now);
            group.send_list(started);
            // Tokens that accrue without calls are not spent at once either.
            group.run(idle, 0.0, 24.0);
            // The server fails at twice its capacity for 1.5 s: 72 set-ups while it has 0.3 of 80/s.
            let mut total_sent = 0.0;
            for window in 0..5 {
                let capacity_growth = 1.0 + 0.7 / 0.3 * idle as f64 / (13 * SECOND) as f64;
                let (sent, _) = group.run(1_500 * MS, 1_500.0, 24.0);
                let max_sent = if known { 72.0 * capacity_growth } else { 12.0 };
                let case = format!("{size} nodes, known {known}, upgraded {upgraded}, window {window}");
                assert!(sent * 1.5 < max_sent, "{case}: {}", sent * 1.5);
                total_sent += if window > 0 { sent * 1.5 } else { 0.0 };
            }
            // The server is not idle either, however little traffic each node has: two fifths of that are
            // sent.
            let is_utilized = !known || idle > 0 || total_sent > 0.4 * 4.0 * 72.0;
            assert!(is_utilized, "{size} nodes, upgraded {upgraded}: {total_sent} set-ups in four windows");
        }
    }
}

#[test]
fn wrong_group_sizes_keep_serving_calls() {
    for wrong_size in [0, 1, 1_000] {
        let mut group = Group::new(20);
        let config = Settings { group_size: wrong_size, ..settings() };
        group.nodes = (0..20).map(|node| Controller::new(config.clone(), node, group.now)).collect();
        group.send_list(None);
        group.run(10 * SECOND, 160.0, 80.0);
        let (_, in_time) = group.run(15 * SECOND, 160.0, 80.0);
        assert!(in_time > 30.0, "group size {wrong_size}: {in_time}/s in time of 80/s");
        assert!(group.rejected as u64 + group.sent as u64 >= group.calls);
    }
}

/// Without reports about processors, each node knows only its own late answers. Guards against a burst that
/// leaves a queue which then persists for as long as calls arrive, with every answer too late.
#[test]
fn a_server_without_load_reports_gets_no_more_than_it_answers_in_time() {
    for size in [5, 60, 250] {
        let mut group = Group::with_reports(size, false);
        group.send_list(None);
        let (_, in_time) = group.run(20 * SECOND, 60.0, 80.0);
        assert!(in_time > 59.0, "{size} nodes at low load: {in_time} in time");
        group.run(5 * SECOND, 130.0, 80.0);
        let (sent, in_time) = group.run(15 * SECOND, 100.0, 80.0);
        assert!(
            (50.0..95.0).contains(&sent),
            "{size} nodes send {sent}/s to a server with a capacity of 80/s"
        );
        assert!(in_time > 45.0, "{size} nodes: {in_time}/s in time of 80/s");
        group.run(10 * SECOND, 60.0, 80.0);
        let (_, in_time) = group.run(5 * SECOND, 60.0, 80.0);
        assert!(in_time > 55.0, "{size} nodes after the overload: {in_time} in time");
    }
}
