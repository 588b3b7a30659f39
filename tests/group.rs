//! Many controllers at once against a small scripted server: what their bounds sum up to.

mod common;

use std::collections::VecDeque;

use common::*;
use steprelay_decisions::*;

const STEP: Micros = 10 * MS;
const HOLD: Micros = 8 * SECOND;
const SIZE: f64 = 2_000.0;

/// A first come, first served processor, and the nodes that send to it.
struct Group {
    now: Micros,
    nodes: Vec<Controller>,
    /// Set-ups that wait: node, call, when they were sent.
    line: VecDeque<(usize, CallId, Micros)>,
    standing: VecDeque<(Micros, usize, CallId)>,
    done: f64,
    owed: f64,
    calls: u64,
    sent: usize,
    answered: usize,
    /// The server tells of its processor.
    tells: bool,
}

impl Group {
    fn new(size: usize) -> Self {
        Self::at(size, true)
    }

    fn at(size: usize, tells: bool) -> Self {
        let mut config = Settings { group_size: size as u32, load_unreported: !tells, ..settings() };
        config.limits.cancel = false;
        config.classes.iter_mut().for_each(|class| class.mean_hold_time = HOLD);
        let now = 77 * SECOND;
        let nodes =
            (0..size).map(|node| Controller::new(config.clone(), 31 * node as u64 + 7, now)).collect();
        let (line, standing) = (VecDeque::new(), VecDeque::new());
        Group { now, nodes, line, standing, done: 0.0, owed: 0.0, calls: 0, sent: 0, answered: 0, tells }
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, .. } => {
                    self.sent += 1;
                    self.line.push_back((node, call, self.now));
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.answered += 1,
                _ => {}
            }
        }
    }

    fn list(&mut self, started: Option<Micros>) {
        let entries = [Entry { started, ..entry(0, Readiness::Ready) }];
        for node in 0..self.nodes.len() {
            self.tell(node, Event::ServerList { kind: ListKind::Changes, entries: &entries });
        }
    }

    fn end(&mut self, node: usize, call: CallId, outcome: Outcome, report: Report) {
        let (server, cause, is_final) = (id_of(0), Cause::Untold, outcome == Outcome::Ok);
        self.tell(
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

    /// Runs for `span` with `offered` calls a second at a server of `pace` set-ups a second; returns the
    /// set-ups sent and those that stood within a second, each a second.
    fn run(&mut self, span: Micros, offered: f64, pace: f64) -> (f64, f64) {
        let (sent, mut in_time, until) = (self.sent, 0, self.now + span);
        while self.now < until {
            self.now += STEP;
            let step = STEP as f64 / SECOND as f64;
            self.owed += offered * step;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                self.calls += 1;
                let node = (self.calls.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % self.nodes.len();
                let call = Call { called_number: format!("{}", self.calls), ..call(self.calls, 0, 0) };
                self.tell(node, Event::Call(call));
            }
            let free = SIZE - self.standing.len() as f64;
            let lines = Report { free_lines: Some(free), total_lines: Some(SIZE), ..Report::default() };
            let wait_ms = self.tells.then_some(self.line.len() as f64 / pace * 1_000.0);
            let waits = Report { wait_ms, ..lines };
            while self.line.front().is_some_and(|(_, _, at)| self.now - at >= 3 * SECOND) {
                let (node, call, _) = self.line.pop_front().expect("there");
                self.end(node, call, Outcome::Timeout, Report::default());
            }
            self.done = (self.done + pace * step).min(1.0 + pace * step);
            while self.done >= 1.0 && !self.line.is_empty() {
                self.done -= 1.0;
                let (node, call, at) = self.line.pop_front().expect("there");
                let lag = self.now - at;
                in_time += usize::from(lag < SECOND);
                self.standing.push_back((self.now + HOLD, node, call));
                self.tell(node, Event::Answered { call, server: id_of(0), attempt: 0, lag });
            }
            while self.standing.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, node, call) = self.standing.pop_front().expect("there");
                self.end(node, call, Outcome::Ok, waits);
            }
            for node in 0..self.nodes.len() {
                let turn = self.now + node as Micros * STEP;
                if turn % (100 * MS) == 0 {
                    self.tell(node, Event::Timer(Timer::Tick));
                }
                if turn % SECOND == 0 {
                    self.tell(
                        node,
                        Event::ProbeAnswered { server: id_of(0), ok: true, lag: 0, report: lines },
                    );
                }
            }
        }
        let seconds = span as f64 / SECOND as f64;
        ((self.sent - sent) as f64 / seconds, in_time as f64 / seconds)
    }
}

#[test]
fn bounds_sum_to_what_the_server_takes_at_any_group_size() {
    for size in [1, 5, 50, 300] {
        let mut group = Group::new(size);
        group.list(None);
        let (sent, in_time) = group.run(20 * SECOND, 50.0, 80.0);
        assert!(sent > 49.0 && in_time > 49.0, "{size} nodes on a quiet day: {sent} sent, {in_time} in time");
        group.run(10 * SECOND, 160.0, 80.0);
        let (sent, in_time) = group.run(15 * SECOND, 160.0, 80.0);
        assert!((60.0..110.0).contains(&sent), "{size} nodes send {sent}/s to a server of 80/s");
        assert!(in_time > 50.0, "{size} nodes: {in_time}/s in time of 80/s");
        // Slower by three: neither jammed nor starved.
        group.run(10 * SECOND, 160.0, 27.0);
        let (sent, _) = group.run(15 * SECOND, 160.0, 27.0);
        assert!((14.0..50.0).contains(&sent), "{size} nodes send {sent}/s to a server of 27/s");
        // And back, without a wave.
        group.run(12 * SECOND, 50.0, 80.0);
        for _ in 0..5 {
            let (sent, in_time) = group.run(2 * SECOND, 50.0, 80.0);
            assert!(sent < 60.0 && in_time > 40.0, "{size} nodes after it: {sent} sent, {in_time} in time");
        }
        assert!(group.answered as u64 + group.sent as u64 >= group.calls, "a call without an answer");
    }
}

#[test]
fn a_cold_server_is_neither_pushed_over_nor_left_idle_by_many_nodes() {
    for size in [5, 60, 250] {
        // Known before, or never seen warm by any node.
        // Or known, and each node is upgraded as it starts: a process that knows nothing takes calls too.
        let cases = [(true, false), (false, false), (true, true)];
        for ((known, upgraded), idle) in cases.into_iter().flat_map(|case| [(case, 0), (case, 6 * SECOND)]) {
            let mut group = Group::new(size);
            group.list(None);
            if known {
                group.run(20 * SECOND, 70.0, 80.0);
                let cut: Vec<_> = group.standing.drain(..).collect();
                for (_, node, call) in cut {
                    group.end(node, call, Outcome::Reset, Report::default());
                }
            }
            if upgraded {
                group.nodes.extend(Group::new(size).nodes);
            }
            let started = Some(group.now);
            group.list(started);
            // What gathers while nobody calls is not spent at once either.
            group.run(idle, 0.0, 24.0);
            // It may be sent twice what it can do for 1.5 s: 72 set-ups while it can do 0.3 of 80/s.
            let mut in_all = 0.0;
            for window in 0..5 {
                let warmed = 1.0 + 0.7 / 0.3 * idle as f64 / (13 * SECOND) as f64;
                let (sent, _) = group.run(1_500 * MS, 1_500.0, 24.0);
                let most = if known { 72.0 * warmed } else { 12.0 };
                let case = format!("{size} nodes, known {known}, upgraded {upgraded}, window {window}");
                assert!(sent * 1.5 < most, "{case}: {}", sent * 1.5);
                in_all += if window > 0 { sent * 1.5 } else { 0.0 };
            }
            // Nor does it stand idle, however light each of them is: two fifths of that are sent.
            let used = !known || idle > 0 || in_all > 0.4 * 4.0 * 72.0;
            assert!(used, "{size} nodes, upgraded {upgraded}: {in_all} in four windows");
        }
    }
}

#[test]
fn odd_group_sizes_keep_answering() {
    for told in [0, 1, 1_000] {
        let mut group = Group::new(20);
        let config = Settings { group_size: told, ..settings() };
        group.nodes = (0..20).map(|node| Controller::new(config.clone(), node, group.now)).collect();
        group.list(None);
        group.run(10 * SECOND, 160.0, 80.0);
        let (_, in_time) = group.run(15 * SECOND, 160.0, 80.0);
        assert!(in_time > 30.0, "told {told}: {in_time}/s in time of 80/s");
        assert!(group.answered as u64 + group.sent as u64 >= group.calls);
    }
}

/// A server of a site whose reports tell nothing of processors: each node knows only its own late answers. A
/// burst that leaves a line behind does not keep that line standing, with every answer too late, for as long
/// as calls come.
#[test]
fn a_server_that_tells_nothing_of_its_processor_gets_no_more_than_stands_in_time() {
    for size in [5, 60, 250] {
        let mut group = Group::at(size, false);
        group.list(None);
        let (_, in_time) = group.run(20 * SECOND, 60.0, 80.0);
        assert!(in_time > 59.0, "{size} nodes on a quiet day: {in_time} in time");
        group.run(5 * SECOND, 130.0, 80.0);
        let (sent, in_time) = group.run(15 * SECOND, 100.0, 80.0);
        assert!((50.0..95.0).contains(&sent), "{size} nodes send {sent}/s to a server of 80/s");
        assert!(in_time > 45.0, "{size} nodes: {in_time}/s in time of 80/s");
        group.run(10 * SECOND, 60.0, 80.0);
        let (_, in_time) = group.run(5 * SECOND, 60.0, 80.0);
        assert!(in_time > 55.0, "{size} nodes after it: {in_time} in time");
    }
}
