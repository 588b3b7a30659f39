//! The core with a clock that the test moves: what it does about each thing that happens.

use steprelay_decisions::{Cause, Class, Limits, Readiness, Settings};

use super::*;

const MS: Micros = 1_000;
const ONE: ServerId = ServerId(1);
const TWO: ServerId = ServerId(2);
const CALLER: ClientId = ClientId(1);
const BOUNDS: Bounds = Bounds { connections: 4, connections_of_one: 3, bytes: 1 << 20 };

struct Stand {
    core: Core,
    now: Micros,
}

impl Stand {
    fn new() -> Self {
        let class = Class { slo: 1_500 * MS, importance: 1.0, is_idempotent: true, ..Class::default() };
        let decisions = Settings {
            group_size: 1,
            classes: vec![class],
            limits: Limits {
                may_cancel: true,
                may_send_retry_after: true,
                max_retry_after: 2_000 * MS,
                max_attempts: 5,
                ..Limits::default()
            },
            retry_delay: 200 * MS,
            ..Settings::default()
        };
        let site =
            Site { decisions, class_names: vec!["standard-check".into()], max_open: 3, ..Site::default() };
        let mut stand = Stand { core: Core::new(site, BOUNDS, 7, 0), now: 1_000_000 * MS };
        stand.list(&[(ONE, Readiness::Ready), (TWO, Readiness::Ready)]);
        stand.core.client_opened(stand.now, CALLER, None);
        stand
    }

    fn list(&mut self, servers: &[(ServerId, Readiness)]) -> Vec<Effect> {
        let entry = |&(server, state): &(ServerId, Readiness)| Entry {
            server,
            started: None,
            number: server.0,
            state,
        };
        let entries: Vec<_> = servers.iter().map(entry).collect();
        self.core.list(self.now, Source::Board, ListKind::Changes, &entries);
        self.core.take_effects()
    }

    fn offer(&mut self, call: u64, left: Micros) -> Vec<Effect> {
        self.offer_from(CALLER, call, left)
    }

    fn offer_from(&mut self, client: ClientId, call: u64, left: Micros) -> Vec<Effect> {
        let request = Request {
            call: CallId(call),
            class: 0,
            tenant: 0,
            dest: Some(ONE.0),
            number: format!("line-{call}").into(),
            description: "v=0".into(),
            came: self.now,
            left,
            was_cut: false,
        };
        self.core.offer(self.now, self.now, client, request);
        self.core.take_effects()
    }

    /// Lets time pass, waking the core whenever it asked for that; returns what it did about calls, and when.
    fn pass(&mut self, time: Micros) -> Vec<(Micros, Effect)> {
        let mut done = self.pass_all(time);
        done.retain(|(_, effect)| !matches!(effect, Effect::Close { .. }));
        done
    }

    fn pass_all(&mut self, time: Micros) -> Vec<(Micros, Effect)> {
        let (until, mut done) = (self.now + time, Vec::new());
        while let Some(at) = self.core.next_wake().filter(|&at| at <= until) {
            self.now = at;
            self.core.wake(at);
            let effects = self.effects().into_iter();
            let acts = effects.filter(|effect| !matches!(effect, Effect::Log(_)));
            done.extend(acts.map(|effect| (at, effect)));
        }
        self.now = until;
        done
    }

    /// Lets time pass; returns the connections that were let go of, with their inputs.
    fn let_go(&mut self, time: Micros) -> Vec<(ClientId, u64)> {
        let of = |(_, effect)| match effect {
            Effect::LetGo { client, inputs } => Some((client, inputs)),
            _ => None,
        };
        self.pass_all(time).into_iter().filter_map(of).collect()
    }

    /// What the core wants done. Connections take a release at once, and have nothing unread.
    fn effects(&mut self) -> Vec<Effect> {
        let mut done = Vec::new();
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return done;
            }
            for effect in effects {
                match effect {
                    Effect::AskIfSilent { client, call } => self.core.client_silent(self.now, client, call),
                    Effect::Released { client, call, .. } => {
                        self.core.release_sent(self.now, client, call);
                        done.push(effect);
                    }
                    _ => done.push(effect),
                }
            }
        }
    }

    fn answer(&mut self, server: ServerId, call: u64) -> Vec<Effect> {
        self.core.server_answered(self.now, server, CallId(call), "v=1".into());
        self.effects()
    }

    fn end(&mut self, server: ServerId, call: u64, cause: ReleaseCause) -> Vec<Effect> {
        self.core.server_ended(self.now, server, CallId(call), cause, Cause::Untold, Report::default());
        self.effects()
    }

    fn lost(&mut self, server: ServerId, loss: LinkLoss) -> Vec<Effect> {
        self.core.link_lost(self.now, server, loss);
        self.effects()
    }

    fn breaches(&self) -> u64 {
        Breach::ALL.iter().map(|&breach| self.core.counts().breaches(breach)).sum()
    }
}

fn set_up_at(effects: &[Effect]) -> Option<ServerId> {
    effects.iter().find_map(|effect| match effect {
        Effect::SetUp { server, .. } => Some(*server),
        _ => None,
    })
}

fn sent_away(call: u64) -> Effect {
    let verdict = Verdict::Refused { wait: Some(100 * MS) };
    Effect::Final { client: CALLER, call: CallId(call), verdict }
}

fn released(call: u64, cause: ReleaseCause) -> Vec<Effect> {
    vec![Effect::Released { client: CALLER, call: CallId(call), cause }]
}

#[test]
fn a_call_stands_and_is_released_once() {
    let mut stand = Stand::new();
    assert_eq!(set_up_at(&stand.offer(9, 3_000 * MS)), Some(ONE));
    let answer = Effect::Answer { client: CALLER, call: CallId(9), description: "v=1".into() };
    assert_eq!(stand.answer(ONE, 9), [answer]);
    assert_eq!((stand.core.unanswered(), stand.core.standing()), (0, 1));
    assert_eq!(stand.end(ONE, 9, ReleaseCause::NORMAL), released(9, ReleaseCause::NORMAL));
    assert_eq!(stand.end(ONE, 9, ReleaseCause::NORMAL), [], "the release came again on another connection");
    let close = Effect::Close { client: CALLER };
    assert_eq!(stand.offer(9, 3_000 * MS), [close], "a second answer would lose the first");
    assert_eq!(stand.breaches(), 0);
}

#[test]
fn silence_is_given_up_and_answered_before_the_caller_goes() {
    let mut stand = Stand::new();
    let start = stand.now;
    stand.offer(9, 1_000 * MS);
    let done = stand.pass(2_000 * MS);
    let at = start + 970 * MS;
    let call = CallId(9);
    let expected = [
        (at, Effect::GiveUp { server: ONE, call }),
        (at, Effect::Final { client: CALLER, call, verdict: Verdict::Failed }),
    ];
    assert_eq!(done, expected);
    let late = Effect::Release { server: ONE, call, cause: ReleaseCause::NORMAL };
    assert_eq!(stand.answer(ONE, 9), [late], "nobody is left to take a late answer");
    assert_eq!(stand.breaches(), 0);
}

#[test]
fn after_a_reset_the_call_waits_for_the_release_and_goes_elsewhere() {
    let mut stand = Stand::new();
    stand.offer(9, 3_000 * MS);
    let reset = stand.now;
    assert_eq!(stand.lost(ONE, LinkLoss::Dropped), []);
    let done = stand.pass(400 * MS);
    let [(at, Effect::SetUp { server: TWO, set_up })] = &done[..] else { panic!("{done:?}") };
    assert_eq!((*at - reset, set_up.wait), (200 * MS, 2_770 * MS));
}

#[test]
fn a_refused_dial_proves_that_nothing_ran() {
    let mut stand = Stand::new();
    stand.offer(8, 3_000 * MS);
    stand.answer(ONE, 8);
    stand.offer(9, 3_000 * MS);
    let done = stand.lost(ONE, LinkLoss::Refused);
    assert_eq!(set_up_at(&done), Some(TWO), "at once");
    assert!(
        done.contains(&released(8, ReleaseCause::TEMPORARY)[0]),
        "what stood there went with the process"
    );
}

#[test]
fn a_caller_that_gives_up_is_owed_nothing() {
    let mut stand = Stand::new();
    stand.offer(9, 3_000 * MS);
    stand.core.client_ended(stand.now, CALLER, CallId(9), ReleaseCause::NORMAL);
    assert_eq!(stand.core.take_effects(), [Effect::GiveUp { server: ONE, call: CallId(9) }]);
    assert_eq!(stand.end(ONE, 9, ReleaseCause::NO_CIRCUIT), []);
    assert_eq!(stand.pass(5_000 * MS), []);
    assert_eq!(stand.core.unanswered(), 0);
}

#[test]
fn a_lost_caller_ends_what_waits_and_not_what_stands() {
    let mut stand = Stand::new();
    stand.offer(8, 3_000 * MS);
    stand.answer(ONE, 8);
    stand.offer(9, 3_000 * MS);
    stand.core.client_closed(stand.now, CALLER);
    assert_eq!(stand.core.take_effects(), [Effect::GiveUp { server: ONE, call: CallId(9) }]);
    assert_eq!(stand.end(ONE, 8, ReleaseCause::NORMAL), [], "nobody is there to take it");
    let other = ClientId(2);
    stand.core.client_opened(stand.now, other, None);
    let relayed = Effect::Released { client: other, call: CallId(8), cause: ReleaseCause::NORMAL };
    assert_eq!(stand.pass(1_000 * MS).into_iter().map(|(_, effect)| effect).collect::<Vec<_>>(), [relayed]);
    // A set-up that crossed the close comes again on another connection.
    assert_eq!(set_up_at(&stand.offer_from(other, 9, 3_000 * MS)), Some(ONE));
}

#[test]
fn a_release_of_an_unknown_call_is_relayed_either_way() {
    let mut stand = Stand::new();
    assert_eq!(
        stand.end(TWO, 5, ReleaseCause::NORMAL),
        [],
        "the one connection may be there for tests alone"
    );
    let relayed: Vec<_> = stand.pass(500 * MS).into_iter().map(|(_, effect)| effect).collect();
    assert_eq!(relayed, released(5, ReleaseCause::NORMAL), "but it is all there is");
    assert_eq!(stand.end(TWO, 5, ReleaseCause::NORMAL), []);
    stand.core.client_ended(stand.now, CALLER, CallId(6), ReleaseCause::NORMAL);
    let release = |server| Effect::Release { server, call: CallId(6), cause: ReleaseCause::NORMAL };
    assert_eq!(stand.core.take_effects(), [release(ONE), release(TWO)]);
}

#[test]
fn a_release_is_passed_on_until_it_is_confirmed_and_then_forgotten() {
    let mut stand = Stand::new();
    let [second, third] = [ClientId(2), ClientId(3)];
    let to = |client| Effect::Released { client, call: CallId(8), cause: ReleaseCause::NORMAL };
    stand.offer(8, 3_000 * MS);
    stand.answer(ONE, 8);
    stand.core.client_opened(stand.now, second, None);
    stand.now += MS;
    stand.core.client_opened(stand.now, third, None);
    assert_eq!(stand.end(ONE, 8, ReleaseCause::NORMAL), [to(CALLER)], "who called comes first");
    stand.core.client_closed(stand.now, CALLER);
    assert_eq!(stand.core.take_effects(), [], "the others may be there for tests alone");
    let given = stand.now;
    assert_eq!(stand.pass(200 * MS), [(given + 150 * MS, to(third))]);
    stand.core.release_heard(stand.now, second, CallId(8));
    assert_eq!(stand.pass(150 * MS), [(given + 300 * MS, to(second))], "not confirmed by who was not told");
    stand.core.release_heard(stand.now, third, CallId(8));
    assert_eq!(stand.pass(9_000 * MS), []);
    assert_eq!(stand.core.counts().releases_lost, 0);
}

#[test]
fn a_server_that_is_out_of_reach_is_told_of_the_calls_that_were_released() {
    let mut stand = Stand::new();
    let server = set_up_at(&stand.offer(8, 3_000 * MS)).expect("it is sent");
    stand.answer(server, 8);
    let other = if server == ONE { TWO } else { ONE };
    assert_eq!(stand.core.out_of_reach(stand.now, other), 0);
    assert_eq!(stand.core.take_effects(), []);
    assert_eq!(stand.core.out_of_reach(stand.now, server), 1);
    let cause = ReleaseCause::TEMPORARY;
    let (call, client) = (CallId(8), CALLER);
    let effects = stand.core.take_effects();
    assert!(effects.contains(&Effect::Released { client, call, cause }), "{effects:?}");
    assert!(effects.contains(&Effect::Release { server, call, cause }), "{effects:?}");
    assert_eq!(stand.core.standing(), 0);
}

#[test]
fn connections_that_only_hold_a_place_are_let_go() {
    let mut stand = Stand::new();
    let close = |client| Effect::Close { client: ClientId(client) };
    let open = |stand: &mut Stand, client, peer| {
        stand.now += MS;
        stand.core.client_opened(stand.now, ClientId(client), Some(Peer(peer)));
        stand.core.take_effects()
    };
    stand.offer(8, 60_000 * MS);
    stand.answer(ONE, 8);
    assert_eq!(open(&mut stand, 2, 7), []);
    stand.core.client_tested(stand.now, ClientId(2));
    assert_eq!(open(&mut stand, 3, 7), []);
    assert_eq!(open(&mut stand, 4, 7), []);
    // The fourth of one peer, and the fifth in all: those go that have said nothing, the oldest first.
    assert_eq!(open(&mut stand, 5, 7), [close(3)]);
    assert_eq!(open(&mut stand, 6, 8), [close(4)]);
    let start = stand.now;
    let closed = stand.pass_all(9_000 * MS);
    let (silent, tested): (Vec<_>, Vec<_>) = closed.iter().partition(|(at, _)| *at < start + 3_000 * MS);
    assert_eq!(silent.into_iter().map(|(_, effect)| effect).collect::<Vec<_>>(), [&close(5), &close(6)]);
    let tested: Vec<_> = tested.into_iter().map(|(_, effect)| effect).collect();
    assert_eq!(tested, [&close(2)], "it made a test and stayed; the caller's call stands");
    stand.end(ONE, 8, ReleaseCause::NORMAL);
    let closed: Vec<_> = stand.pass_all(500 * MS).into_iter().map(|(_, effect)| effect).collect();
    assert_eq!(closed, [close(1)]);
}

#[test]
fn clients_that_are_sent_away_go_quiet_first_and_the_last_stays_for_releases() {
    let mut stand = Stand::new();
    let other = ClientId(2);
    stand.core.client_opened(stand.now, other, None);
    stand.offer(8, 3_000 * MS);
    stand.answer(ONE, 8);
    stand.offer(9, 3_000 * MS);
    let now = stand.now;
    stand.core.on_duty(now, |duty| duty.standby(now)).expect("it does not stop");
    assert_eq!(stand.let_go(390 * MS), [], "the front still opens connections");
    assert!(set_up_at(&stand.offer(10, 3_000 * MS)).is_some(), "who comes meanwhile is served");
    assert_eq!(stand.let_go(20 * MS), [(other, 0)], "the quiet one");
    stand.core.client_closed(stand.now, other);
    stand.answer(ONE, 9);
    stand.answer(ONE, 10);
    assert_eq!(stand.let_go(1_500 * MS), [], "releases may come, and need a connection");
    assert_eq!(stand.offer(11, 3_000 * MS), [sent_away(11)], "else the last would never fall quiet");
    for call in [8, 9, 10] {
        assert_eq!(stand.end(ONE, call, ReleaseCause::NORMAL), released(call, ReleaseCause::NORMAL));
    }
    assert_eq!(stand.let_go(100 * MS), [], "the confirmations are on their way");
    for call in [8, 9, 10] {
        stand.core.release_heard(stand.now, CALLER, CallId(call));
    }
    assert_eq!(stand.let_go(20 * MS), [(CALLER, 7)]);
    stand.core.on_duty(stand.now, |duty| duty.active()).expect("it does not stop");
    assert_eq!(stand.let_go(1_000 * MS), [], "nobody is sent away any more");
    assert!(set_up_at(&stand.offer(12, 3_000 * MS)).is_some());
}

#[test]
fn the_last_connection_is_not_held_idle_for_calls_of_others() {
    let mut stand = Stand::new();
    let (other, now) = (ClientId(2), stand.now);
    stand.core.client_opened(now, other, None);
    for (client, call) in [(CALLER, 8), (other, 9)] {
        stand.offer_from(client, call, 3_000 * MS);
        stand.answer(ONE, call);
    }
    stand.core.client_closed(now, CALLER);
    stand.end(ONE, 9, ReleaseCause::NORMAL);
    stand.core.release_heard(now, other, CallId(9));
    stand.core.on_duty(now, |duty| duty.standby(now)).expect("it does not stop");
    assert_eq!(stand.let_go(3_800 * MS), [], "the release of 8 may come");
    assert!(stand.let_go(100 * MS).contains(&(other, 2)), "none is idle 4 s after the command");
}

#[test]
fn one_that_was_replaced_takes_nothing_that_its_kill_could_find() {
    let mut stand = Stand::new();
    let now = stand.now;
    stand.core.stop(now, true);
    assert!(set_up_at(&stand.offer(9, 3_000 * MS)).is_some(), "its connection is not closed yet");
    stand.pass(700 * MS);
    assert_eq!(stand.offer(10, 3_000 * MS), [sent_away(10)]);
    stand.answer(ONE, 9);
    assert_eq!(stand.let_go(20 * MS), [(CALLER, 2)], "the other process passes the release of 9 on");
}

/// A generator of its own, so that the lives below come again in the same order.
fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 33
}

#[test]
fn every_call_taken_is_counted_once_by_its_outcome() {
    let mut seed = 20_261_201;
    for life in 0..200 {
        let mut stand = Stand::new();
        // What the caller saw, and nothing else, says what the counts must be.
        let (mut open, mut offered) = (Vec::new(), 0u64);
        let (mut stood, mut refused, mut failed, mut left) = (0u64, 0u64, 0u64, 0u64);
        for step in 0..60 {
            let (call, what) = (life * 1_000 + step, random(&mut seed) % 7);
            let server = if random(&mut seed).is_multiple_of(2) { ONE } else { TWO };
            let about = random(&mut seed) as usize;
            let one = (!open.is_empty()).then(|| open[about % open.len()]);
            let mut effects = match (what, one) {
                (0..=2, _) => {
                    offered += 1;
                    open.push(call);
                    stand.offer(call, 1_000 * MS)
                }
                (3, Some(call)) => stand.answer(server, call),
                (4, Some(call)) => stand.end(server, call, ReleaseCause([34, 17, 41][about % 3])),
                (5, Some(call)) => {
                    stand.core.client_ended(stand.now, CALLER, CallId(call), ReleaseCause::NORMAL);
                    left += 1;
                    open.retain(|other| *other != call);
                    stand.core.take_effects()
                }
                _ => Vec::new(),
            };
            effects.extend(stand.pass_all(20 * MS).into_iter().map(|(_, effect)| effect));
            for effect in effects {
                let (call, count) = match effect {
                    Effect::Answer { call, .. } => (call, &mut stood),
                    Effect::Final { call, verdict: Verdict::Refused { .. }, .. } => (call, &mut refused),
                    Effect::Final { call, .. } => (call, &mut failed),
                    _ => continue,
                };
                *count += 1;
                open.retain(|other| *other != call.0);
            }
            let seen = ClassCounts { success: stood, overload: refused, error: failed };
            assert_eq!(stand.core.counts().classes, [seen], "life {life}, step {step}");
            assert_eq!(stand.core.unanswered(), open.len(), "life {life}, step {step}");
            assert_eq!(offered, stood + refused + failed + left + open.len() as u64);
        }
    }
}

#[test]
fn servers_that_are_avoided_are_told() {
    let mut stand = Stand::new();
    assert_eq!(stand.core.targets(stand.now), (2, 0));
    stand.list(&[(TWO, Readiness::Draining)]);
    assert_eq!(stand.core.targets(stand.now), (2, 1), "it is in the list, and gets nothing");
    stand.list(&[(TWO, Readiness::Gone)]);
    assert_eq!(stand.core.targets(stand.now), (1, 0));
}

#[test]
fn a_second_call_of_an_open_id_is_nobodys_answer() {
    let mut stand = Stand::new();
    let other = ClientId(2);
    stand.core.client_opened(stand.now, other, None);
    stand.offer(8, 3_000 * MS);
    let again = |stand: &mut Stand, client, call| {
        let came = stand.now;
        let (number, description) = ("line".into(), "v=0".into());
        let call = CallId(call);
        let request = Request {
            call,
            class: 0,
            tenant: 0,
            dest: None,
            number,
            description,
            came,
            left: MS,
            was_cut: false,
        };
        stand.core.offer(stand.now, stand.now, client, Request { left: 2_000 * MS, ..request });
        stand.core.take_effects()
    };
    assert!(set_up_at(&again(&mut stand, other, 9)).is_some());
    // A connection with a call of its own is answered, one that repeats its own is closed.
    let verdict = Verdict::Invalid;
    assert_eq!(again(&mut stand, other, 8), [Effect::Final { client: other, call: CallId(8), verdict }]);
    assert_eq!(again(&mut stand, other, 9), [Effect::Close { client: other }]);
    assert_eq!(stand.answer(ONE, 8).len(), 1, "the first one stands");
}

#[test]
fn an_error_to_a_caller_of_whom_nothing_has_stood_speaks_against_no_server() {
    let mut stand = Stand::new();
    for call in 1..=6 {
        let at = set_up_at(&stand.offer(call, 3_000 * MS)).expect("nobody is shunned");
        let mut more = stand.end(at, call, ReleaseCause::UNSPECIFIED);
        while let Some(at) = set_up_at(&more) {
            more = stand.end(at, call, ReleaseCause::UNSPECIFIED);
        }
    }
    stand.offer(7, 3_000 * MS);
    stand.answer(ONE, 7);
    // From a caller who is known to make sense, errors in a row do.
    for call in 8..=10 {
        stand.now += MS;
        stand.offer(call, 3_000 * MS);
        stand.end(ONE, call, ReleaseCause::UNSPECIFIED);
        stand.end(TWO, call, ReleaseCause::UNSPECIFIED);
    }
    assert_eq!(set_up_at(&stand.offer(11, 3_000 * MS)), None);
}

#[test]
fn what_ends_with_one_connection_is_one_failure() {
    let mut stand = Stand::new();
    stand.list(&[(TWO, Readiness::Gone)]);
    for call in 1..=2 {
        assert_eq!(set_up_at(&stand.offer(call, 3_000 * MS)), Some(ONE));
    }
    stand.lost(ONE, LinkLoss::Dropped);
    assert_eq!(set_up_at(&stand.offer(4, 3_000 * MS)), Some(ONE), "it is still there");
}

#[test]
fn a_release_after_a_restart_finds_the_circuit_that_the_id_names() {
    let bound = BoundCall { client: 3, circuit: 0xabc, start: 0x3ff };
    let call = bound.id(u64::MAX);
    assert_eq!((BoundCall::of(call), BoundCall::of(CallId(7))), (Some(bound), None));
    let mut stand = Stand::new();
    assert_eq!(stand.end(ONE, call.0, ReleaseCause::NORMAL), [], "its client is not back yet");
    stand.core.client_opened(stand.now, bound.client_id(), None);
    let relayed = Effect::Released { client: bound.client_id(), call, cause: ReleaseCause::NORMAL };
    assert_eq!(stand.core.take_effects(), [relayed]);
}

#[test]
fn a_server_that_is_gone_takes_its_calls_with_it() {
    let mut stand = Stand::new();
    stand.offer(8, 3_000 * MS);
    stand.answer(ONE, 8);
    assert_eq!(stand.list(&[(ONE, Readiness::Draining)]), [], "a drain cuts nothing by itself");
    assert_eq!(set_up_at(&stand.offer(9, 3_000 * MS)), Some(TWO));
    let cut = released(8, ReleaseCause::TEMPORARY);
    assert_eq!(stand.list(&[(ONE, Readiness::Gone)]), cut);
}

#[test]
fn servers_that_are_gone_are_forgotten_when_they_are_many() {
    let mut stand = Stand::new();
    for id in 10..5_000 {
        stand.list(&[(ServerId(id), Readiness::Ready)]);
        stand.list(&[(ServerId(id), Readiness::Gone)]);
    }
    assert!(stand.core.servers(stand.now).count() <= 20);
    assert_eq!(set_up_at(&stand.offer(1, 3_000 * MS)), Some(ONE), "the others are still there");
}

#[test]
fn a_flood_is_refused_and_room_comes_back() {
    let mut stand = Stand::new();
    for call in 1..=3 {
        assert!(set_up_at(&stand.offer(call, 3_000 * MS)).is_some());
    }
    let refused = Effect::Final { client: CALLER, call: CallId(4), verdict: Verdict::Refused { wait: None } };
    assert_eq!(stand.offer(4, 3_000 * MS), [refused]);
    stand.answer(ONE, 1);
    assert!(set_up_at(&stand.offer(5, 3_000 * MS)).is_some());
}

#[test]
fn a_call_that_nobody_may_take_is_refused_at_once_with_a_wait() {
    let mut stand = Stand::new();
    stand.list(&[(ONE, Readiness::Draining), (TWO, Readiness::Gone)]);
    let verdict = Verdict::Refused { wait: Some(500 * MS) };
    let refused = Effect::Final { client: CALLER, call: CallId(4), verdict };
    assert_eq!(stand.offer(4, 3_000 * MS), [refused]);
}

#[test]
fn a_server_that_is_held_gets_nothing_new_whatever_the_list_says() {
    let mut stand = Stand::new();
    assert_eq!(set_up_at(&stand.offer(1, 30_000 * MS)), Some(ONE));
    stand.core.hold(stand.now, &[ONE]);
    assert!(stand.core.is_busy(ONE), "an attempt is out there");
    assert_eq!(set_up_at(&stand.offer(2, 3_000 * MS)), Some(TWO));
    // The list repeats that it is ready, and that it drains; neither frees it.
    for state in [Readiness::Ready, Readiness::Draining, Readiness::Ready] {
        stand.list(&[(ONE, state)]);
        stand.pass(1_000 * MS);
        stand.end(TWO, 2, ReleaseCause::NORMAL);
        assert_ne!(set_up_at(&stand.offer(3 + state as u64, 300 * MS)), Some(ONE), "{state:?}");
    }
    stand.answer(ONE, 1);
    assert!(stand.core.is_busy(ONE), "a call stands there");
    stand.end(ONE, 1, ReleaseCause::NORMAL);
    assert!(!stand.core.is_busy(ONE));
    stand.pass(3_000 * MS);
    stand.core.hold(stand.now, &[]);
    assert_eq!(set_up_at(&stand.offer(9, 3_000 * MS)), Some(ONE), "as the list said last");
    stand.core.hold(stand.now, &[ONE]);
    stand.list(&[(ONE, Readiness::Gone)]);
    stand.core.hold(stand.now, &[]);
    assert_eq!(stand.core.held().count(), 0);
    assert_eq!(set_up_at(&stand.offer(10, 3_000 * MS)), Some(TWO), "one that is gone does not come back");
    assert_eq!(stand.breaches(), 0);
}

/// What was told of promises.
fn promised(effects: &[Effect]) -> Vec<Option<Promise>> {
    let of = |effect: &Effect| match effect {
        Effect::Promised { promise, .. } => Some(*promise),
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

fn with_promises() -> Stand {
    let mut stand = Stand::new();
    stand.core.tell_promises();
    stand
}

const CALL: CallId = CallId(5);

#[test]
fn each_promise_is_told_ahead_of_what_follows_from_it() {
    let mut stand = with_promises();
    let sent = stand.offer(5, 1_000 * MS);
    assert_eq!(promised(&sent), [Some(Promise::Out(ONE))]);
    assert!(matches!(sent[..], [Effect::Promised { .. }, Effect::SetUp { .. }]), "{sent:?}");
    let again = stand.end(ONE, 5, ReleaseCause::NO_CIRCUIT);
    assert_eq!(promised(&again), [None, Some(Promise::Out(TWO))]);
    let answered = stand.answer(TWO, 5);
    assert!(
        matches!(answered[..], [Effect::Promised { by: Some(_), .. }, Effect::Answer { .. }]),
        "{answered:?}"
    );
    assert_eq!(stand.core.promised().collect::<Vec<_>>(), [(CALL, Promise::Stands(TWO))]);
    let ended = stand.end(TWO, 5, ReleaseCause::NORMAL);
    assert_eq!(promised(&ended), [Some(Promise::Owed(TWO, ReleaseCause::NORMAL))]);
    stand.core.release_heard(stand.now, CALLER, CALL);
    assert_eq!(promised(&stand.core.take_effects()), [None]);
    assert_eq!(stand.core.promised().count(), 0);
    assert!(promised(&Stand::new().offer(5, 1_000 * MS)).is_empty(), "unless it was asked for");
}

#[test]
fn a_successor_keeps_what_another_had_promised() {
    let adopted = |promise, also: &[(ServerId, Readiness)]| {
        let mut stand = with_promises();
        // A caller that has called takes releases at once.
        stand.offer(9, 1_000 * MS);
        stand.answer(ONE, 9);
        stand.end(ONE, 9, ReleaseCause::NORMAL);
        stand.core.release_heard(stand.now, CALLER, CallId(9));
        stand.core.take_effects();
        stand.list(also);
        stand.core.adopt(stand.now, CALL, promise);
        let effects = stand.core.take_effects();
        (stand, effects)
    };
    let (_, effects) = adopted(Promise::Out(ONE), &[]);
    let cut = Effect::Release { server: ONE, call: CALL, cause: ReleaseCause::NORMAL };
    assert!(effects.contains(&cut) && promised(&effects) == [None], "{effects:?}");
    let (_, effects) = adopted(Promise::Owed(ONE, ReleaseCause::NORMAL), &[]);
    assert!(effects.ends_with(&released(5, ReleaseCause::NORMAL)), "{effects:?}");
    let (_, effects) = adopted(Promise::Stands(ONE), &[(ONE, Readiness::Gone)]);
    assert!(effects.ends_with(&released(5, ReleaseCause::TEMPORARY)), "its server went first: {effects:?}");
    let (mut stand, effects) = adopted(Promise::Stands(ONE), &[]);
    assert!(effects.is_empty(), "{effects:?}");
    assert!(stand.end(ONE, 5, ReleaseCause::NORMAL).contains(&released(5, ReleaseCause::NORMAL)[0]));
    let (mut stand, _) = adopted(Promise::Stands(ONE), &[]);
    assert!(stand.lost(ONE, LinkLoss::Refused).contains(&released(5, ReleaseCause::TEMPORARY)[0]));
    // Others have seen to it: nothing is said, now or when its server goes.
    let (mut stand, _) = adopted(Promise::Stands(ONE), &[]);
    stand.core.over_elsewhere(stand.now, CALL);
    assert_eq!(promised(&stand.core.take_effects()), [None]);
    assert!(stand.lost(ONE, LinkLoss::Refused).is_empty());
    // The one that was taken for lost says what it did last.
    let (mut stand, _) = adopted(Promise::Stands(ONE), &[]);
    stand.core.handed(stand.now, CALL, Some(Promise::Owed(ONE, ReleaseCause::NORMAL)));
    assert!(stand.core.take_effects().contains(&released(5, ReleaseCause::NORMAL)[0]));
    stand.core.handed(stand.now, CALL, Some(Promise::Owed(ONE, ReleaseCause::NORMAL)));
    assert!(stand.core.take_effects().is_empty(), "once");
}

#[test]
fn in_doubt_nothing_is_said_of_before_but_what_a_server_says() {
    let mut stand = with_promises();
    for call in [5, 6, 7] {
        stand.offer(call, 1_000 * MS);
        stand.answer(ONE, call);
    }
    stand.end(ONE, 5, ReleaseCause::NORMAL);
    stand.core.doubt(stand.now + 1, true);
    stand.now += 1;
    // Its first connection has not confirmed it; another one would be given it.
    stand.core.client_opened(stand.now, ClientId(2), None);
    stand.offer_from(ClientId(2), 8, 1_000 * MS);
    let said = |done: Vec<(Micros, Effect)>| {
        done.iter().filter(|(_, e)| matches!(e, Effect::Released { .. })).count()
    };
    assert_eq!(said(stand.pass(1_000 * MS)), 0, "a release of before");
    let ended = stand.end(ONE, 6, ReleaseCause::NORMAL);
    let [asks, gives] = [&Effect::PassedOn { call: CallId(6) }, &released(6, ReleaseCause::NORMAL)[0]];
    assert!(ended.contains(asks) && !ended.contains(gives), "another may have given it: {ended:?}");
    stand.core.release_unclaimed(stand.now, CallId(6));
    assert!(stand.core.take_effects().contains(gives), "nobody has, and it goes to its own caller");
    assert!(!stand.lost(ONE, LinkLoss::Refused).contains(&released(7, ReleaseCause::TEMPORARY)[0]));
    stand.core.doubt(stand.now, false);
    assert!(stand.core.take_effects().contains(&released(7, ReleaseCause::TEMPORARY)[0]), "all is as it was");
    assert!(said(stand.pass(1_000 * MS)) > 0);
}

/// Guards against a release that waits for what nobody is asked: such a call is no other member's.
#[test]
fn in_doubt_the_release_of_a_call_that_is_bound_to_a_circuit_is_given_at_once() {
    let mut stand = with_promises();
    let bound = BoundCall { client: 3, circuit: 7, start: 1 };
    let (client, call) = (bound.client_id(), bound.id(1));
    stand.core.client_opened(stand.now, client, None);
    stand.offer_from(client, call.0, 1_000 * MS);
    stand.answer(ONE, call.0);
    stand.core.doubt(stand.now + 1, true);
    stand.now += 1;
    let ended = stand.end(ONE, call.0, ReleaseCause::NORMAL);
    let gives = Effect::Released { client, call, cause: ReleaseCause::NORMAL };
    assert!(ended.contains(&gives), "{ended:?}");
}

#[test]
fn what_another_has_taken_over_is_given_up() {
    let mut stand = with_promises();
    for call in [5, 6, 7] {
        stand.offer(call, 3_000 * MS);
    }
    stand.answer(ONE, 5);
    stand.answer(ONE, 6);
    stand.end(ONE, 5, ReleaseCause::NORMAL);
    let calls = [5, 6, 7].map(CallId).into_iter().collect();
    stand.core.renounce(stand.now, &calls);
    let effects = stand.core.take_effects();
    assert!(promised(&effects).is_empty());
    assert!(effects.contains(&Effect::GiveUp { server: ONE, call: CallId(7) }));
    let failed = Effect::Final { client: CALLER, call: CallId(7), verdict: Verdict::Failed };
    assert_eq!(effects.iter().filter(|effect| **effect == failed).count(), 1, "its one answer");
    assert_eq!(stand.core.promised().count(), 0);
    assert!(!stand.pass(1_000 * MS).iter().any(|(_, effect)| matches!(effect, Effect::Released { .. })));
    // Its server says here that it is over: whoever has it now must hear of it, and then its caller does.
    let ended = stand.end(ONE, 6, ReleaseCause::NORMAL);
    assert!(ended.contains(&Effect::PassedOn { call: CallId(6) }), "{ended:?}");
    assert!(
        !ended.contains(&released(6, ReleaseCause::NORMAL)[0]),
        "whoever has it may have told its caller"
    );
    let passed: Vec<Effect> = stand.pass(1_000 * MS).into_iter().map(|(_, effect)| effect).collect();
    assert!(passed.contains(&released(6, ReleaseCause::NORMAL)[0]), "{passed:?}");
    assert_eq!(stand.breaches(), 0);
}

/// A release that a server says again to another member, since the connection that took it ended unconfirmed.
mod unclaimed;

/// Releases that their callers have not acknowledged.
mod delivery;

#[test]
fn a_set_up_that_crossed_our_close_of_its_connection_is_sent_on_only_where_it_comes_again() {
    let mut stand = Stand::new();
    // Places for four: the one that is missed least makes way for the next.
    for client in 2..=4 {
        stand.core.client_opened(stand.now, ClientId(client), None);
    }
    stand.core.client_tested(stand.now, CALLER);
    let closed = |effect: &Effect| match effect {
        Effect::Close { client } => Some(*client),
        _ => None,
    };
    stand.core.client_opened(stand.now, ClientId(5), None);
    let gone = stand.core.take_effects().iter().find_map(closed).expect("one made way");
    assert_eq!(stand.offer_from(gone, 1, 9_000 * MS), []);
    stand.core.client_closed(stand.now, gone);
    assert!(set_up_at(&stand.offer_from(ClientId(5), 1, 9_000 * MS)).is_some(), "its caller sends it again");
    assert_eq!((stand.breaches(), stand.core.counts().offered), (0, 1));
}

/// An M3UA client that can be told nothing for now.
#[test]
fn a_client_that_is_away_gets_no_further_attempt_and_an_answer_at_once() {
    let mut stand = Stand::new();
    let bound = ClientId(ClientId::BOUND);
    stand.core.client_opened(stand.now, bound, None);
    assert_eq!(set_up_at(&stand.offer_from(bound, 1, 9_000 * MS)), Some(ONE));
    stand.core.client_away(bound, true);
    assert_eq!(stand.core.take_effects(), [Effect::Withdraw { server: ONE, call: CallId(1) }]);
    // It had not left: nothing goes elsewhere.
    stand.core.not_sent(stand.now, ONE, CallId(1), NotSent::Withdrawn);
    let failed = Effect::Final { client: bound, call: CallId(1), verdict: Verdict::Failed };
    assert_eq!(stand.core.take_effects(), [failed]);
    stand.core.client_away(bound, false);
    assert!(set_up_at(&stand.offer_from(bound, 2, 9_000 * MS)).is_some());
    assert_eq!((stand.breaches(), stand.core.unanswered()), (0, 1));
}

/// Only what cannot be reached has failed: a send queue that is full, and set-ups that were taken back, are
/// no reason to keep the next ones from a server.
#[test]
fn a_server_is_avoided_for_what_it_failed_and_not_for_what_never_left() {
    for (reason, avoided) in
        [(NotSent::QueueFull, false), (NotSent::Withdrawn, false), (NotSent::Unreachable, true)]
    {
        let mut stand = Stand::new();
        stand.list(&[(TWO, Readiness::Draining)]);
        for call in 1..=3 {
            stand.now += MS;
            let mut effects = stand.offer(call, 9_000 * MS);
            stand.core.not_sent(stand.now, ONE, CallId(call), reason);
            effects.extend(stand.core.take_effects());
            let refused = |effect: &Effect| matches!(effect, Effect::Final { .. });
            assert_eq!(effects.into_iter().filter(refused).count(), 1, "{reason:?}");
        }
        stand.now += MS;
        assert_eq!(stand.core.avoids(stand.now, ONE), avoided, "{reason:?}");
        assert_eq!(set_up_at(&stand.offer(4, 9_000 * MS)).is_none(), avoided, "{reason:?}");
        assert_eq!(stand.breaches(), 0);
    }
}
