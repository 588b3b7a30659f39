//! Admission, routing and load shedding of the call controller. Its data types are in `src/interface.rs`.
//!
//! The controller follows call gapping as an IN SCP uses it. When a call server reports pressure, the
//! controller creates an image of the server's gate, which bounds the rate of first set-ups to that server
//! until some time after the last report of pressure.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::measure::{seconds, Random, Rate, SECOND};
use crate::numbers::{NumberFingerprint, NumberTable};

/// Lifetime of an image after the last report of pressure.
const IMAGE_DURATION: Micros = 6 * SECOND;
/// Time constants for measuring a server's throughput: the present one and the usual one.
const THROUGHPUT_WINDOW: Micros = 2 * SECOND;
const LONG_THROUGHPUT_WINDOW: Micros = 10 * SECOND;
/// Minimum interval between two line counts that are compared.
const MIN_LINES_INTERVAL: Micros = SECOND / 2;
/// Time constant for measuring this node's share of the group's load, and a tenant's traffic at this node.
const SHARE_WINDOW: Micros = 15 * SECOND;
/// Weight of the prior estimate of a share, in calls. The prior is an even share of the group.
const PRIOR_SHARE_CALLS: f64 = 4.0;
/// Minimum bound rate of all nodes together at a cold server, in set-ups per second. It applies where the
/// server's throughput is unknown.
const MIN_COLD_RATE: f64 = 1.0;
/// Minimum bound rate of all nodes together, in set-ups per second.
const MIN_BOUND_RATE: f64 = 5.0;
/// A server has restarted when at most this share of its expected calls remains at once.
const RESTART_MAX_REMAINING: f64 = 0.15;
/// A supposed restart was none when more than this share of the expected calls remains soon after it.
const RUNNING_MIN_REMAINING: f64 = 0.4;
/// Deviations of a count up to this many times its square root are taken for chance.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Minimum number of expected calls for detecting a restart from the calls that remain.
const MIN_COMPARABLE_CALLS: f64 = 8.0;
/// Maximum ratio of a bound to the server's throughput.
const MAX_GROWTH: f64 = 2.0;
/// Multiples of the pressure threshold. At a delay of this multiple the bound equals the server's throughput;
/// the first applies to a fresh delay estimate, the second to a stale one.
const FRESH_DELAY_MULTIPLE: f64 = 2.0;
const STALE_DELAY_MULTIPLE: f64 = 1.2;
/// Minimum ratio of a bound to the server's throughput.
const MIN_BOUND_LEVEL: f64 = 0.05;
/// Free lines count fully when they last for this many seconds at the server's throughput, since line counts
/// arrive with a delay.
const FREE_LINES_HORIZON_S: f64 = 0.25;
/// Minimum room at a server, as a share of its free lines, however little its processor can take.
const MIN_ROOM_SHARE: f64 = 0.05;
/// Maximum burst of set-ups through a gap.
const MAX_BURST: f64 = 3.0;
/// The burst is also limited to the tokens that accrue at the bound rate within this many seconds.
const BURST_WINDOW_S: f64 = 2.0;
/// Maximum load of a cold server, as a share of the load that overloads it.
const COLD_LOAD_SHARE: f64 = 0.95;
/// Tokens by which the importance of a call shifts the threshold for passing a gap, per unit of importance
/// relative to the mean. Important calls may run the bucket into debt, unimportant ones have to leave tokens.
const IMPORTANCE_GAIN: f64 = 1.5;
/// A set-up goes only to servers whose estimated wait is within this share of the time left for its answer.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Retry-after time of a refusal, where refusals may carry one.
const RETRY_AFTER: Micros = SECOND / 2;
/// How long a number that was dialled without success is remembered, to recognize redials.
const DIALLED_RETENTION: Micros = 10 * SECOND;
/// Weight of a call in the moving averages of importance and of hold time.
const MEAN_WEIGHT: f64 = 0.02;
/// Interval between checks for overdue set-ups.
const TICK_INTERVAL: Micros = 100_000;

/// State derived from a server's reported lines: established calls of all nodes and their rate of arrival.
#[derive(Clone, Copy, Debug)]
struct LineState {
    free: f64,
    /// Established calls at the last comparison.
    established: f64,
    /// Time of the last comparison.
    at: Micros,
    /// Calls of all nodes that became established, per second, recently.
    throughput: f64,
    /// The same over a longer time.
    long_throughput: f64,
}

impl LineState {
    /// Takes a new line count. Returns the calls that became established since the last comparison, and the
    /// share that remains of those expected from it, which is 1 where too few were expected. Returns `None`
    /// within [`MIN_LINES_INTERVAL`] of the last comparison.
    fn update(&mut self, now: Micros, free: f64, size: f64, hold: Micros) -> Option<(f64, f64)> {
        self.free = free;
        let (span, established) = (now - self.at, (size - free).max(0.0));
        if span < MIN_LINES_INTERVAL {
            return None;
        }
        let expected = self.established * (-seconds(span) / seconds(hold)).exp();
        // A deficit beyond chance means that calls were cut, which says nothing about the server's
        // throughput. Smaller deficits enter the averages, which would be biased upwards without them.
        let were_cut = established < expected - CHANCE_DEVIATIONS * expected.sqrt();
        let newly_established = if were_cut { 0.0 } else { established - expected };
        if !were_cut {
            let weight = |window: Micros| 1.0 - (-seconds(span) / seconds(window)).exp();
            self.throughput +=
                (newly_established / seconds(span) - self.throughput) * weight(THROUGHPUT_WINDOW);
            self.long_throughput +=
                (newly_established / seconds(span) - self.long_throughput) * weight(LONG_THROUGHPUT_WINDOW);
        }
        (self.established, self.at) = (established, now);
        Some((newly_established, if expected >= MIN_COMPARABLE_CALLS { established / expected } else { 1.0 }))
    }
}

/// The image of a pressed server's gate, which bounds set-ups to it.
#[derive(Clone, Copy, Debug)]
struct Image {
    /// Bound rate of this node, in set-ups per second.
    bound: f64,
    expires: Micros,
    /// The latest sign from the server showed no pressure.
    is_calm: bool,
}

/// What the controller knows about a server.
#[derive(Debug, Default)]
struct Server {
    number: u32,
    /// The server is neither draining nor gone.
    is_ready: bool,
    started: Option<Micros>,
    /// When a restart was detected from its lines, which may be before the server list shows it.
    restart_detected_at: Option<Micros>,
    image: Option<Image>,
    /// Calls of this node that became established at the server, over [`THROUGHPUT_WINDOW`].
    established: Rate,
    /// The same over [`SHARE_WINDOW`].
    established_long: Rate,
    /// Calls of all nodes that became established at the server, over [`SHARE_WINDOW`].
    group_established: Rate,
    /// Token bucket of the bound, in set-ups. It starts with a random debt below one, so that the first
    /// set-ups of many nodes are spread out at the sum of their bounds.
    tokens: f64,
    /// When `tokens` was last updated.
    tokens_at: Micros,
    /// Tokens that a set-up needs while the server is cold.
    cold_threshold: f64,
    /// When `cold_threshold` is drawn anew.
    cold_threshold_until: Micros,
    /// Latest estimate of the wait at the server's processor.
    wait: Micros,
    /// When that estimate was made.
    wait_at: Micros,
    /// The server has reported something about its processor.
    has_reported_load: bool,
    /// The wait in the last report.
    reported_wait: Micros,
    reported_wait_at: Micros,
    /// Consecutive failures that were not caused by pressure.
    failures: u32,
    failed_at: Option<Micros>,
    /// No set-ups go to the server before this time because of those failures.
    avoided_until: Micros,
    /// Highest rate of set-ups that the server ever reported to accept, per second.
    max_allowed: f64,
    /// The rate that it reported last.
    allowed: f64,
    /// `None` until the server reports its lines.
    lines: Option<LineState>,
    /// Unanswered set-ups of this node, with the time of sending.
    pending: BTreeSet<(Micros, CallId)>,
    /// Time of sending of the latest set-up that was answered.
    last_answered_sent_at: Option<Micros>,
    /// Shortest set-up delay observed.
    min_delay: Option<Micros>,
}

impl Server {
    /// Treats the server as one that has just started.
    fn mark_restarted(&mut self, now: Micros, phase: f64) {
        self.restart_detected_at = Some(now);
        self.start_gap(now, phase);
    }

    /// Resets the token bucket to a debt of `phase` set-ups.
    fn start_gap(&mut self, now: Micros, phase: f64) {
        (self.tokens, self.tokens_at) = (-phase, now);
    }

    /// Records in the image whether the latest sign from the server showed pressure.
    fn note_pressure(&mut self, pressed: bool) {
        if let Some(image) = &mut self.image {
            image.is_calm = !pressed;
        }
    }

    /// Whether the present throughput represents the usual one: a server that is draining, gone or cold takes
    /// less.
    fn has_usual_throughput(&self, rules: &Rules, now: Micros) -> bool {
        self.is_ready && self.warm_up_level(rules, now).is_none()
    }

    /// Returns the image that is in force. An expired image stays in force until a sign shows no pressure.
    fn image(&self, now: Micros) -> Option<Image> {
        self.image.filter(|image| image.expires > now || !image.is_calm)
    }

    /// Returns the share of its capacity that a server certainly has during warm-up, and `None` when it is
    /// warm.
    fn warm_up_level(&self, rules: &Rules, now: Micros) -> Option<f64> {
        let age = now - self.started.max(self.restart_detected_at)?;
        if age >= rules.ramp_time || rules.ramp_time <= 0 {
            return None;
        }
        let start = rules.start_capacity.clamp(0.05, 1.0);
        let grown = start + (1.0 - start) * age.max(0) as f64 / rules.ramp_time as f64;
        Some(if rules.overload_multiple > 0.0 {
            grown.min(COLD_LOAD_SHARE * rules.overload_multiple * start)
        } else {
            grown
        })
    }
}

/// The image of a called number whose lines are all busy.
#[derive(Clone, Copy, Debug, Default)]
struct BusyNumber {
    /// Calls to the number are refused before this time.
    refused_until: Micros,
    /// Length of the last refusal period; it doubles each time.
    back_off: Micros,
}

/// A call that has not ended.
#[derive(Debug)]
struct OpenCall {
    class: usize,
    dest: u32,
    is_in_transit: bool,
    /// When the caller gives up.
    deadline: Micros,
    arrived_at: Micros,
    /// Time from arrival within which the call has to be answered to have its importance.
    answer_within: Micros,
    called_number: NumberFingerprint,
    importance: f64,
    /// Servers that were sent an attempt.
    tried: Vec<ServerId>,
    /// Those of them where the attempt was reset or cancelled as lost; the connection alone may be at fault.
    reset_by: Vec<ServerId>,
    attempts: u32,
    /// When the current attempt was sent; `None` without one.
    attempt_sent_at: Option<Micros>,
    is_established: bool,
    cancel_requested: bool,
    caller_gone: bool,
    /// No further attempt is sent before this time.
    not_before: Micros,
}

/// The controller of one access node.
pub struct Controller {
    settings: Settings,
    random: Random,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, OpenCall>,
    /// Calls of each tenant at this node.
    tenants: Vec<Rate>,
    busy_numbers: NumberTable<BusyNumber>,
    /// When each number was first dialled by a call that is not established yet.
    first_dialled: NumberTable<Micros>,
    /// Usual throughput of the server of each number, for all nodes, in set-ups per second. A new process of
    /// a server is assumed to be like the one before.
    usual_throughputs: BTreeMap<u32, f64>,
    mean_importance: f64,
    /// Mean hold time of a call, in microseconds.
    mean_hold: f64,
    /// Calls of this node that became established at any server.
    established: Rate,
    /// The same for all nodes, as far as reported lines show it.
    group_established: Rate,
    /// Ratio of set-up delay to reported wait: the answer may be queued, too.
    delay_ratio: f64,
    is_ticking: bool,
    has_subscribed: bool,
    /// Log lines of the event that is being handled.
    log_lines: Vec<String>,
    /// A wait above this is pressure, in microseconds.
    pressure_threshold: f64,
    /// Wait beyond the pressed one at which nearly all set-ups are held back, in microseconds.
    full_shed_excess: f64,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let hold = settings.classes.first().map(|class| class.mean_hold_time).filter(|&hold| hold > 0);
        let slo = settings.classes.iter().map(|class| class.slo).filter(|&slo| slo > 0).min();
        let mut base = slo.unwrap_or(2 * SECOND) as f64 / 3.0;
        if settings.t1 > 0 {
            base = base.min(settings.t1 as f64);
        }
        let tenants = vec![Rate { count: 0.0, at: now }; settings.tenants.len()];
        Controller {
            random: Random::new(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            tenants,
            busy_numbers: NumberTable::new(settings.max_remembered_numbers),
            first_dialled: NumberTable::new(settings.max_remembered_numbers),
            usual_throughputs: BTreeMap::new(),
            mean_importance: 0.0,
            mean_hold: hold.unwrap_or(LONG_THROUGHPUT_WINDOW) as f64,
            established: Rate::default(),
            group_established: Rate::default(),
            delay_ratio: 1.5,
            is_ticking: false,
            has_subscribed: false,
            log_lines: Vec::new(),
            pressure_threshold: base * 0.6,
            full_shed_excess: base * 3.0,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.dispatch(now, event, actions);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
    }

    /// Returns the bound rate of a server's image, in set-ups per second, for monitoring; `None` without an
    /// image.
    pub fn bound(&self, now: Micros, server: ServerId) -> Option<f64> {
        Some(self.servers.get(&server)?.image(now)?.bound)
    }

    /// Whether the controller sends no set-ups to a server because it is unknown, not ready or failed
    /// recently.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        self.servers.get(&server).is_none_or(|server| !server.is_ready || server.avoided_until > now)
    }

    fn dispatch(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.is_ticking {
            self.is_ticking = true;
            actions.push(Action::SetTimer { timer: Timer::Tick, after: TICK_INTERVAL });
        }
        match event {
            Event::ServerList { kind, entries } => self.update_servers(now, kind, entries, actions),
            Event::Call(call) => self.handle_call(now, call, actions),
            Event::Answered { call, server, lag, .. } => {
                self.handle_answer(now, call, server, lag);
                self.cancel_lost_attempts(now, server, actions);
            }
            Event::AttemptEnded(end) => {
                self.handle_report(now, end.server, &end.report);
                self.handle_attempt_end(now, &end, actions);
            }
            Event::CallerGone { call } => self.handle_caller_gone(call, actions),
            Event::ProbeAnswered { server, ok, report, .. } => {
                if ok {
                    self.handle_report(now, server, &report);
                }
            }
            Event::PeerMessage { .. } => {}
            Event::Timer(Timer::Tick) => {
                let states = self.servers.iter().map(|(id, server)| {
                    let image = server.image(now).is_some();
                    let cold = server.warm_up_level(&self.settings.rules, now).is_some();
                    // A server that has reported nothing about its processor gets no image, unless no server
                    // ever reports.
                    let is_estimable = server.has_reported_load || self.settings.load_unreported;
                    let pressed = is_estimable && self.estimated_wait(server, now) > self.pressure_threshold;
                    (*id, pressed, image || cold)
                });
                let affected: Vec<_> = states.filter(|(_, pressed, bounded)| *pressed || *bounded).collect();
                for (id, pressed, _) in affected {
                    self.update_image(now, id, pressed);
                }
                self.first_dialled.retain(|&at| now < at + DIALLED_RETENTION);
                self.busy_numbers.retain(|number| now < number.refused_until + IMAGE_DURATION);
                actions.push(Action::SetTimer { timer: Timer::Tick, after: TICK_INTERVAL });
            }
            Event::Timer(Timer::Call(call)) => self.retry(now, call, actions),
        }
    }

    fn update_servers(&mut self, now: Micros, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        if self.settings.subscribe_to_list && (!self.has_subscribed || kind == ListKind::Failed) {
            self.has_subscribed = true;
            actions.push(Action::WatchServerList);
        }
        if matches!(kind, ListKind::All | ListKind::Cached) {
            self.servers.retain(|id, _| entries.iter().any(|entry| entry.server == *id));
        }
        for entry in entries {
            let phase = self.random.next_unit();
            // Servers may be replaced all the time, so nothing is kept about those that are gone.
            if entry.state == Readiness::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let server = self.servers.entry(entry.server).or_default();
            if server.started != entry.started {
                server.image = None;
                server.start_gap(now, phase);
                server.wait = 0;
                server.failures = 0;
            }
            server.number = entry.number;
            server.is_ready = entry.state == Readiness::Ready;
            server.started = entry.started;
        }
    }

    fn handle_call(&mut self, now: Micros, call: Call, actions: &mut Vec<Action>) {
        let class = self.settings.classes.get(call.class);
        let mut importance = class.map_or(1.0, |class| class.importance);
        // The tries of a caller count as one call, from the first on. Where callers do not mark redials, the
        // called number identifies them; two callers of one number are then taken for one, which matters only
        // under overload.
        let may_be_redial = !call.was_cut && (call.is_redial || !self.settings.callers_mark_redials);
        let called_number = NumberFingerprint::of(&call.called_number);
        let dialled_at = match self.first_dialled.get(called_number) {
            Some(&at) if may_be_redial => at,
            _ => now,
        };
        self.first_dialled.set(called_number, dialled_at);
        let share = self.own_share(now);
        if let (Some(rate), Some(tenant)) =
            (self.tenants.get_mut(call.tenant), self.settings.tenants.get(call.tenant))
        {
            if !call.is_redial && dialled_at == now {
                rate.add(now, SHARE_WINDOW, 1.0);
            }
            // The node cannot know which calls are beyond the quota, so each gets the mean importance of
            // both.
            let within = (tenant.quota_per_s * share / rate.per_s(now, SHARE_WINDOW).max(1e-9)).min(1.0);
            importance *= within + (1.0 - within) * self.settings.over_quota_factor;
        }
        if let Some(class) = class.filter(|class| class.mean_hold_time > 0) {
            self.mean_hold += (class.mean_hold_time as f64 - self.mean_hold) * MEAN_WEIGHT;
        }
        let mut answer_within = class.map_or(0, |class| class.slo) - (now - dialled_at);
        if answer_within <= 0 || (call.is_redial && dialled_at == now) {
            answer_within = call.remaining;
            if now > dialled_at || call.is_redial {
                importance *= class.map_or(1.0, |class| class.late_factor);
            }
        }
        let busy_number = self.busy_numbers.get(called_number).copied().unwrap_or_default();
        if busy_number.refused_until > now {
            actions.push(Action::Refuse {
                call: call.id,
                retry_after: self.settings.limits.capped_retry_after(busy_number.refused_until - now),
            });
            return;
        }
        if busy_number.back_off > 0 {
            importance = 0.0;
        }
        self.mean_importance +=
            (importance - self.mean_importance) * if self.mean_importance == 0.0 { 1.0 } else { MEAN_WEIGHT };
        let open = OpenCall {
            class: call.class,
            dest: call.dest,
            is_in_transit: call.is_in_transit,
            deadline: now + call.remaining.max(0),
            arrived_at: now,
            answer_within,
            called_number,
            importance,
            tried: Vec::new(),
            reset_by: Vec::new(),
            attempts: 0,
            attempt_sent_at: None,
            is_established: false,
            cancel_requested: false,
            caller_gone: false,
            not_before: now,
        };
        self.calls.insert(call.id, open);
        self.route(now, call.id, actions);
    }

    /// Returns the servers that a call may go to with their weights, and its preferred server where that has
    /// room. With `back`, it returns the servers where an earlier attempt was reset or lost instead of
    /// untried ones.
    fn candidates(
        &self,
        now: Micros,
        open: &OpenCall,
        back: bool,
    ) -> (Vec<(ServerId, f64)>, Option<ServerId>) {
        let allowed = self.settings.classes.get(open.class).and_then(|class| class.allowed_servers.as_ref());
        let mut choices: Vec<(ServerId, f64)> = Vec::new();
        let mut first = None;
        for (server, state) in &self.servers {
            let usable = state.is_ready
                && Some(state.number) != self.settings.home_number
                && allowed.is_none_or(|numbers| numbers.contains(&state.number))
                && (!open.is_in_transit || state.number == open.dest)
                && if back { open.reset_by.contains(server) } else { !open.tried.contains(server) }
                && state.avoided_until <= now;
            // A set-up that the server cannot answer in time would only delay those that it can.
            if !usable
                || self.estimated_wait(state, now)
                    > MAX_WAIT_SHARE * (open.answer_within - (now - open.arrived_at)) as f64
            {
                continue;
            }
            let load = self.estimated_wait(state, now) / self.pressure_threshold;
            let (room, lines) = self.room(state, now);
            let warm_up_level = state.warm_up_level(&self.settings.rules, now);
            let weight = room * lines * warm_up_level.unwrap_or(1.0) / (1.0 + load * load);
            if state.number == open.dest
                && load < 1.0
                && lines >= 1.0
                && warm_up_level.is_none()
                && state.image(now).is_none_or(|image| image.is_calm)
            {
                first = Some(*server);
            }
            choices.push((*server, weight));
        }
        (choices, first)
    }

    /// Sends the call to a server that has room, or refuses it.
    fn route(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(open) = self.calls.get(&id) else { return };
        let (mut choices, mut first) = self.candidates(now, open, false);
        let (dest, deadline, importance) = (open.dest, open.deadline, open.importance);
        let is_too_late = now >= deadline || open.attempts >= self.settings.limits.max_attempts.max(1);
        let mut picked = None;
        // The servers that reset the call are the last resort. They are tried again because the other servers
        // cannot take all of many set-ups that are reset at once.
        let mut back = self.candidates(now, open, true).0;
        if is_too_late {
            choices.clear();
            back.clear();
        }
        while !choices.is_empty() || !back.is_empty() {
            if choices.is_empty() {
                choices = std::mem::take(&mut back);
            }
            let index = match first.take() {
                Some(first) => choices.iter().position(|choice| choice.0 == first).unwrap_or(0),
                None => self.draw_weighted(&choices),
            };
            let (server, _) = choices.remove(index);
            if self.try_pass(now, server, importance, dest) {
                picked = Some(server);
                break;
            }
        }
        let Some(open) = self.calls.get_mut(&id) else { return };
        match picked {
            Some(server) => {
                open.attempts += 1;
                open.tried.push(server);
                open.cancel_requested = false;
                open.attempt_sent_at = Some(now);
                if let Some(state) = self.servers.get_mut(&server) {
                    state.pending.insert((now, id));
                    if let Some(lines) = &mut state.lines {
                        lines.free = (lines.free - 1.0).max(0.0);
                    }
                }
                actions.push(Action::Send { call: id, server, stop_at: deadline });
            }
            None => {
                self.calls.remove(&id);
                let retry_after = self.settings.limits.capped_retry_after(RETRY_AFTER);
                actions.push(Action::Refuse { call: id, retry_after });
            }
        }
    }

    /// Estimates the present wait at a server's processor, in microseconds. The last estimate decays with its
    /// age; an overdue answer raises it.
    fn estimated_wait(&self, server: &Server, now: Micros) -> f64 {
        let age = (now - server.wait_at).max(0) as f64;
        // The queue is first come, first served: a set-up sent before an answered one is lost, not waiting.
        let waiting = server
            .pending
            .range((server.last_answered_sent_at.map_or(Micros::MIN, |at| at + 1), CallId(0))..)
            .next();
        // The round-trip time does not count as a wait at the processor.
        let overdue = waiting.map_or(0, |&(sent, _)| now - sent - server.min_delay.unwrap_or(0));
        let wait = server.wait as f64;
        (wait * (-age / 2e6).exp()).max(wait - age).max(overdue as f64)
    }

    /// Whether a set-up of this importance passes the bounds of a server now; takes a token if it does.
    fn try_pass(&mut self, now: Micros, id: ServerId, importance: f64, dest: u32) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let image = server.image(now).map(|image| image.bound);
        let cold =
            server.warm_up_level(&self.settings.rules, now).map(|level| self.cold_bound(server, level, now));
        let (bound, burst) = match (image, cold) {
            // Under heavy gapping elsewhere, all nodes would redraw their calls to a server of which they
            // have no image. Redrawn set-ups may double its throughput and fill its free lines within a hold
            // time.
            (None, None) => match server.lines.filter(|_| server.number != dest) {
                None => return true,
                Some(lines) => {
                    // They may not exceed the highest rate that the server reported to accept, since free
                    // lines are no capacity of a small processor. Where processors are never reported, free
                    // lines do not count at all.
                    let usable_lines = if self.settings.load_unreported { 0.0 } else { lines.free };
                    let room = usable_lines * SECOND as f64 / self.mean_hold;
                    let max_rate = if server.max_allowed > 0.0 { server.max_allowed } else { f64::MAX };
                    let rate = (MAX_GROWTH * self.throughput(server, now) + room).min(max_rate);
                    let bound = rate.max(MIN_BOUND_RATE) * self.own_share_at(server, now);
                    (bound, (bound * BURST_WINDOW_S).min(MAX_BURST))
                }
            },
            (Some(bound), None) => (
                bound,
                (bound * BURST_WINDOW_S).clamp(if server.number == dest { 1.0 } else { 0.0 }, MAX_BURST),
            ),
            // Tokens that accrue while a cold server gets no calls are limited to what the server may be sent
            // within the time that overloads it, since many nodes may spend theirs at once.
            (image, Some(cold)) => {
                let window_s = seconds(self.settings.rules.overload_duration.max(0));
                (image.map_or(cold, |image| image.min(cold)), (cold * window_s).min(MAX_BURST / 2.0))
            }
        };
        let scale = if self.mean_importance > 0.0 { importance / self.mean_importance } else { 1.0 };
        let shift = (IMPORTANCE_GAIN * (1.0 - scale)).clamp(-burst, (burst - 1.0).max(0.0));
        // The threshold is drawn for each call, so that the gaps of many nodes do not coincide. At a cold
        // server it is drawn only as often as tokens accrue; otherwise every node would pass a set-up by
        // retrying.
        let mut threshold = self.random.next_unit();
        let redraw_interval = self.settings.rules.overload_duration;
        let Some(server) = self.servers.get_mut(&id) else { return false };
        if cold.is_some() {
            if now >= server.cold_threshold_until {
                (server.cold_threshold, server.cold_threshold_until) = (threshold, now + redraw_interval);
            }
            threshold = server.cold_threshold;
        } else if server.cold_threshold_until > 0 {
            // The server is warm now. A random reduction spreads out the use of the tokens that many nodes
            // have accrued.
            (server.tokens, server.cold_threshold_until) = (server.tokens - threshold, 0);
        }
        let accrued = bound * seconds((now - server.tokens_at).max(0));
        // Where less than one token may accrue, the drawn thresholds let as many nodes pass as all of them
        // have tokens for together. A node's debt beyond the burst would be lost to all of them.
        let max_debt = if cold.is_some() { burst } else { f64::MAX };
        server.tokens = (server.tokens.max(-max_debt) + accrued).min(burst);
        server.tokens_at = now;
        let passes = server.tokens >= threshold + shift;
        if passes {
            server.tokens -= 1.0;
        }
        passes
    }

    /// Estimates a server's throughput for all nodes, in set-ups per second.
    fn throughput(&self, server: &Server, now: Micros) -> f64 {
        let own = server.established.per_s(now, THROUGHPUT_WINDOW) * self.group_size();
        server.lines.map_or(own, |lines| lines.throughput.max(0.0))
    }

    fn group_size(&self) -> f64 {
        f64::from(self.settings.group_size.max(1))
    }

    /// Estimates this node's share of the established calls of all nodes. The shares of all nodes add up to
    /// one, however little traffic each has.
    fn own_share(&self, now: Micros) -> f64 {
        self.estimate_share(&self.established, &self.group_established, 1.0 / self.group_size(), now)
    }

    /// Estimates the share at one server, which may be nearer to this node's callers than to those of others.
    fn own_share_at(&self, server: &Server, now: Micros) -> f64 {
        self.estimate_share(&server.established_long, &server.group_established, self.own_share(now), now)
    }

    /// Returns the share of `own` in `all`. The `prior` share dominates while few calls have been counted.
    fn estimate_share(&self, own: &Rate, all: &Rate, prior: f64, now: Micros) -> f64 {
        let all = all.counted(now, SHARE_WINDOW);
        let own = if all > 0.0 { own.counted(now, SHARE_WINDOW) } else { 0.0 };
        ((own + PRIOR_SHARE_CALLS) / (all.max(own) + PRIOR_SHARE_CALLS / prior)).min(1.0)
    }

    /// Returns the rate at which this node may send set-ups to a cold server, per second: its share of
    /// `level` times the usual throughput. That is the throughput of the server's previous process, or else
    /// follows from the other servers' throughputs and lines. Where neither is known, as after a start of
    /// this process, the bound follows the measured throughput with limited growth. The growth leaves room
    /// for processes that do know the usual throughput; there may be as many of them while processes are
    /// replaced.
    fn cold_bound(&self, server: &Server, level: f64, now: Micros) -> f64 {
        let size =
            |server: &Server| server.lines.map_or(1.0, |lines| (lines.free + lines.established).max(1.0));
        let of_others = || {
            let others = self.servers.values().filter_map(|other| {
                self.usual_throughputs
                    .get(&other.number)
                    .map(|throughput| throughput * size(server) / size(other))
            });
            others.reduce(f64::min)
        };
        let known = self.usual_throughputs.get(&server.number).copied().or_else(of_others);
        let measured = || {
            // Reports from before the server's start, and late ones, no longer count by then.
            let started = server.started.max(server.restart_detected_at).unwrap_or(now);
            let growth = MAX_GROWTH.min(COLD_LOAD_SHARE * self.settings.rules.overload_multiple - 1.0);
            let is_measurable = growth > 1.0 && now >= started + 2 * THROUGHPUT_WINDOW;
            if is_measurable {
                growth * self.throughput(server, now)
            } else {
                0.0
            }
        };
        known.map_or_else(measured, |throughput| level * throughput).max(MIN_COLD_RATE) * self.own_share(now)
    }

    /// Returns the room at a server, in lines, by which calls are distributed, and the share of its
    /// throughput that its free lines allow, from 0 to 1.
    fn room(&self, server: &Server, now: Micros) -> (f64, f64) {
        match server.lines {
            // A server's lines scale with its processor, so its free lines measure the room of both.
            Some(lines) => {
                let taken_meanwhile = (lines.throughput * FREE_LINES_HORIZON_S).max(1.0);
                let allowed = server.max_allowed * self.mean_hold / SECOND as f64;
                let room =
                    if allowed > 0.0 { lines.free.min(allowed - lines.established) } else { lines.free };
                (
                    room.max(MIN_ROOM_SHARE * lines.free).max(0.1),
                    (lines.free / taken_meanwhile).clamp(0.01, 1.0),
                )
            }
            None => (server.established.per_s(now, THROUGHPUT_WINDOW) + 0.5, 1.0),
        }
    }

    /// Returns the index of a choice drawn at random by weight.
    fn draw_weighted(&mut self, choices: &[(ServerId, f64)]) -> usize {
        let total: f64 = choices.iter().map(|choice| choice.1).sum();
        let mut left = self.random.next_unit() * total;
        for (index, choice) in choices.iter().enumerate() {
            left -= choice.1;
            if left < 0.0 {
                return index;
            }
        }
        choices.len() - 1
    }

    fn handle_report(&mut self, now: Micros, id: ServerId, report: &Report) {
        let usable = |figure: Option<f64>| figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
        if let (Some(free), Some(size)) = (usable(report.free_lines), usable(report.total_lines)) {
            self.update_lines(now, id, free, size);
        }
        let Some(server) = self.servers.get(&id) else { return };
        // Calls that were established before the server first reported its lines seem to arrive all at once,
        // so the throughput is limited to a multiple of the one that keeps up the established calls.
        let steady_limit =
            |lines: LineState| MAX_GROWTH * lines.established / seconds(self.mean_hold as Micros);
        let carried = self.throughput(server, now).min(server.lines.map_or(f64::MAX, steady_limit)).max(1.0);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.allowed = usable(report.allowed_rate).unwrap_or(server.allowed);
        server.max_allowed = server.max_allowed.max(server.allowed);
        let throughput = if server.max_allowed > 0.0 { server.max_allowed } else { carried };
        // Each kind of report is converted to a wait at the processor. A share to shed corresponds to the
        // wait at which `update_image` sheds as much.
        let wait_of = |share: f64| {
            FRESH_DELAY_MULTIPLE * self.pressure_threshold + share.min(1.0) * self.full_shed_excess
        };
        let delay_ratio = self.delay_ratio;
        let queued =
            usable(report.queued).or(usable(report.inflight)).map(|q| q / throughput * SECOND as f64);
        let reported = match usable(report.wait_ms).map(|ms| ms * 1000.0) {
            Some(wait) => Some(queued.map_or(wait, |queued| queued.max(wait))),
            None => queued,
        };
        if let Some(reported) = reported {
            server.reported_wait = reported as Micros;
            server.reported_wait_at = now;
        }
        let wait = reported.map(|reported| reported * delay_ratio);
        let to_shed = usable(report.shed_share).map(|share| if share > 0.02 { wait_of(share) } else { 0.0 });
        let shortfall = usable(report.allowed_rate).filter(|_| server.max_allowed > 0.0).map(|allowed| {
            let share = 1.0 - allowed / carried;
            if share > 0.0 {
                wait_of(share)
            } else {
                0.0
            }
        });
        let busy = usable(report.utilization).map(|busy| if busy > 0.95 { wait_of(busy - 0.5) } else { 0.0 });
        if let Some(wait) = [wait, to_shed].into_iter().flatten().reduce(f64::max).or(shortfall).or(busy) {
            // A processor that hangs reports a wait of hours. The estimate is limited to the lifetime of an
            // image, after which nothing is known about the server.
            server.wait = (wait as Micros).min(IMAGE_DURATION);
            server.wait_at = now;
            server.has_reported_load = true;
            let pressed = server.wait as f64 > self.pressure_threshold;
            server.note_pressure(pressed);
            if pressed || server.image(now).is_some() {
                self.update_image(now, id, pressed);
            }
        }
    }

    /// Updates a server's lines from a report. When nearly all its calls end at once, the server has
    /// restarted; the lines show this before the server list does, also to nodes without a call there. When
    /// many calls remain soon after, the restart was a false detection.
    fn update_lines(&mut self, now: Micros, id: ServerId, free: f64, size: f64) {
        let (hold, phase) = (self.mean_hold as Micros, self.random.next_unit());
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(lines) = &mut server.lines else {
            let established = (size - free).max(0.0);
            let throughput = established / seconds(hold);
            server.lines =
                Some(LineState { free, established, at: now, throughput, long_throughput: throughput });
            return;
        };
        let Some((newly_established, remaining)) = lines.update(now, free, size, hold) else { return };
        self.group_established.add(now, SHARE_WINDOW, newly_established);
        server.group_established.add(now, SHARE_WINDOW, newly_established);
        let usual = lines.long_throughput;
        let is_recent = server.restart_detected_at.is_some_and(|seen| now - seen < IMAGE_DURATION);
        if remaining < RESTART_MAX_REMAINING && !is_recent {
            server.mark_restarted(now, phase);
            self.log_lines
                .push(format!("server {}: all lines became free at once; assuming a restart", id.0));
        } else if remaining > RUNNING_MIN_REMAINING && is_recent {
            server.restart_detected_at = None;
        }
        if server.has_usual_throughput(&self.settings.rules, now) {
            self.usual_throughputs.insert(server.number, usual);
        }
    }

    /// Cancels set-ups that were lost on the way, where there is time for another attempt. A set-up counts as
    /// lost when the server has answered one that was sent sufficiently later. This protects against servers
    /// and links that drop set-ups or answers; it does harm where a server answers far out of order.
    fn cancel_lost_attempts(&mut self, now: Micros, server: ServerId, actions: &mut Vec<Action>) {
        if !self.settings.limits.may_cancel {
            return;
        }
        let tolerance = self.pressure_threshold as Micros;
        let Some(server) = self.servers.get(&server) else { return };
        let Some(answered_sent_at) = server.last_answered_sent_at else { return };
        let earlier = server.pending.range(..(answered_sent_at - tolerance, CallId(0)));
        let lost: Vec<CallId> = earlier.map(|&(_, id)| id).collect();
        for id in lost {
            let Some(open) = self.calls.get_mut(&id) else { continue };
            let retry_at = now + self.settings.retry_delay + tolerance;
            if !open.cancel_requested && retry_at < open.deadline.min(open.arrived_at + open.answer_within) {
                open.cancel_requested = true;
                actions.push(Action::Cancel { call: id, attempt: open.attempts - 1 });
            }
        }
    }

    /// Creates or updates the image of a server from its estimated wait.
    fn update_image(&mut self, now: Micros, id: ServerId, pressed: bool) {
        let Some(server) = self.servers.get(&id) else { return };
        let wait = self.estimated_wait(server, now);
        // A node that seldom receives reports receives them late, when more set-ups have already been sent.
        // The older the estimate, the lower the delay at which the bound equals the server's throughput.
        let freshness = (-seconds((now - server.wait_at).max(0))).exp();
        let pressed_delay = self.pressure_threshold
            * (STALE_DELAY_MULTIPLE + (FRESH_DELAY_MULTIPLE - STALE_DELAY_MULTIPLE) * freshness);
        let margin = pressed_delay - wait;
        let level = 1.0 + margin / if margin > 0.0 { pressed_delay } else { self.full_shed_excess };
        // Without free lines, set-ups beyond the throughput find no line.
        let max_level = if self.room(server, now).1 < 1.0 { 1.0 } else { MAX_GROWTH };
        let level = level.clamp(MIN_BOUND_LEVEL, max_level);
        // A node with little traffic may receive nothing for longer than the lifetime of an image, and many
        // images that expire at once would release as many set-ups at once. The image therefore stays until a
        // sign shows no pressure, with a growing minimum rate.
        let (expires, is_calm) = match server.image {
            Some(image) if !pressed => (image.expires, image.is_calm),
            _ => (now + IMAGE_DURATION, !pressed),
        };
        // The image of a cold server outlasts the warm-up, so that the warm server does not get all calls at
        // once.
        let cold =
            server.warm_up_level(&self.settings.rules, now).map(|level| self.cold_bound(server, level, now));
        let expires = if cold.is_some() { now + IMAGE_DURATION } else { expires };
        let floor = MIN_BOUND_RATE * (seconds((now - expires).max(0)) / seconds(IMAGE_DURATION)).exp2();
        let throughput = self.throughput(server, now).max(server.allowed);
        let bound = (throughput * level).max(floor) * self.own_share_at(server, now);
        let bound = if pressed { bound } else { bound.max(cold.unwrap_or(0.0)) };
        let phase = self.random.next_unit();
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.image(now).is_none() && cold.is_none() {
            server.start_gap(now, phase);
            let delay = wait / SECOND as f64;
            self.log_lines.push(format!("server {}: pressed, delay {delay:.1} s, bound {bound:.2}/s", id.0));
        }
        server.image = Some(Image { bound, expires, is_calm });
    }

    fn handle_answer(&mut self, now: Micros, id: CallId, server: ServerId, lag: Micros) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        open.is_established = true;
        self.first_dialled.remove(open.called_number);
        let sent = open.attempt_sent_at.unwrap_or(now);
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.pending.remove(&(sent, id));
        server.last_answered_sent_at = server.last_answered_sent_at.max(Some(sent));
        server.established.add(now, THROUGHPUT_WINDOW, 1.0);
        server.established_long.add(now, SHARE_WINDOW, 1.0);
        self.established.add(now, SHARE_WINDOW, 1.0);
        if server.lines.is_none() && server.has_usual_throughput(&self.settings.rules, now) {
            let throughput =
                server.established.per_s(now, THROUGHPUT_WINDOW) * f64::from(self.settings.group_size.max(1));
            self.usual_throughputs.insert(server.number, throughput);
        }
        server.failures = 0;
        server.avoided_until = 0;
        let base = server.min_delay.map_or(lag, |base| base.min(lag)).max(0);
        server.min_delay = Some(base);
        let wait = (lag - base).max(0);
        if server.reported_wait as f64 > self.pressure_threshold && now - server.reported_wait_at < SECOND {
            let ratio = (wait as f64 / server.reported_wait as f64).clamp(1.0, 3.0);
            self.delay_ratio += (ratio - self.delay_ratio) * 0.05;
        }
        server.note_pressure(wait as f64 > self.pressure_threshold);
        // With little traffic, the node's own answer is often newer than the last report.
        if wait > server.wait || now - server.wait_at > SECOND / 2 {
            server.wait = wait;
            server.wait_at = now;
        }
    }

    fn handle_attempt_end(&mut self, now: Micros, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { call: id, server, outcome, cause, is_final, .. } = *end;
        let severe_wait = self.full_shed_excess;
        let Some(open) = self.calls.get_mut(&id) else { return };
        let was_established = open.is_established;
        let sent = open.attempt_sent_at.take().unwrap_or(now);
        if matches!(outcome, Outcome::Reset | Outcome::Cancelled) {
            open.reset_by.push(server);
        }
        let mut pressed = false;
        if let Some(state) = self.servers.get_mut(&server) {
            state.pending.remove(&(sent, id));
            match (outcome, cause) {
                (Outcome::Full, Cause::ProcessorFull { wait }) => {
                    state.wait =
                        state.wait.max(wait.unwrap_or(0)).max(severe_wait as Micros).min(IMAGE_DURATION);
                    state.wait_at = now;
                    pressed = true;
                }
                (Outcome::Full, Cause::NoLine) => {
                    if let Some(lines) = &mut state.lines {
                        lines.free = 0.0;
                    }
                    pressed = true;
                }
                // Such errors do not count, since any caller could otherwise make the controller avoid the
                // servers with invalid set-ups.
                (Outcome::Error, Cause::NumberBusy | Cause::Unproven) => {}
                // A later set-up was answered, so this one was lost on the way and the server is healthy.
                (Outcome::Timeout | Outcome::Reset, _) if state.last_answered_sent_at > Some(sent) => {}
                (Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset, _) if !was_established => {
                    Self::note_failure(state, now)
                }
                (Outcome::Error, _) => Self::note_failure(state, now),
                _ => {}
            }
        }
        let (caller_gone, class, deadline) = (open.caller_gone, open.class, open.deadline);
        let is_number_busy = outcome == Outcome::Error && cause == Cause::NumberBusy;
        let called_number = open.called_number;
        if pressed {
            self.update_image(now, server, true);
        }
        if is_final || caller_gone {
            self.calls.remove(&id);
            return;
        }
        let is_idempotent = self.settings.classes.get(class).is_some_and(|class| class.is_idempotent);
        let may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        if is_number_busy {
            let earlier = self.busy_numbers.get(called_number).copied().unwrap_or_default();
            let back_off = (2 * earlier.back_off).clamp(SECOND / 4, 2 * SECOND);
            self.busy_numbers.set(called_number, BusyNumber { refused_until: now + back_off, back_off });
        }
        if is_number_busy || (may_have_run && !is_idempotent) {
            self.calls.remove(&id);
            actions.push(Action::Fail { call: id });
            return;
        }
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
            && self.settings.retry_delay > 0
        {
            let at = now + self.settings.retry_delay;
            if at >= deadline {
                self.calls.remove(&id);
                actions.push(Action::Fail { call: id });
            } else if let Some(open) = self.calls.get_mut(&id) {
                open.not_before = at;
                actions.push(Action::SetTimer { timer: Timer::Call(id), after: self.settings.retry_delay });
            }
            return;
        }
        self.route(now, id, actions);
    }

    /// Counts a failure of a server that was not caused by pressure. After consecutive failures the server
    /// gets no set-ups for a time that doubles with each. The attempts that end with one connection, at one
    /// moment, count as one failure.
    fn note_failure(server: &mut Server, now: Micros) {
        if server.failed_at.replace(now) == Some(now) {
            return;
        }
        server.failures = (server.failures + 1).min(5);
        if server.failures > 1 {
            server.avoided_until = now + ((SECOND / 8) << server.failures);
        }
    }

    /// Handles the retry timer of a call.
    fn retry(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(open) = self.calls.get(&id) else { return };
        if !open.is_established
            && !open.caller_gone
            && open.attempt_sent_at.is_none()
            && now >= open.not_before
        {
            self.route(now, id, actions);
        }
    }

    fn handle_caller_gone(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(open) = self.calls.get_mut(&id) else { return };
        open.caller_gone = true;
        if open.attempt_sent_at.is_none() {
            self.calls.remove(&id);
        } else if self.settings.limits.may_cancel && !open.is_established {
            actions.push(Action::Cancel { call: id, attempt: open.attempts - 1 });
        }
    }
}
