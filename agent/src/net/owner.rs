//! The owner of the core: hands it what comes in and carries out what follows.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use steprelay_copies::member::News;
use steprelay_core::duty::State;
use steprelay_core::{Breach, ClientId, Core, Effect, LinkLoss, Promise, ReleaseCause, Source, Verdict};
use steprelay_decisions::{CallId, Entry, ListKind, Micros, Readiness, ServerId};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Duration};

use super::copies::{Copies, CopiesEnd};
use super::links::{Links, Watch};
use crate::ports::conn::Outbox;
use crate::ports::copies;
use crate::ports::{Input, LinkId, OnDuty, Shared, Snapshot, ToClient, ToServer, Way};
use crate::trace;

/// After a signal to stop, set-ups keep coming for so long: on new connections for 0.4 s, on those for 0.2 s
/// more, and some time to arrive.
const STILL_COMING: Micros = 900_000;
/// One that another has replaced takes no connections any more; what it had accepted is known by now.
const REPLACED_STAYS: Micros = 200_000;
/// It looks so often whether all is answered.
const LOOK: Micros = 20_000;
/// Answers get this long to leave once all are given.
const FLUSH: Micros = 400_000;

/// It serves once each server listed at the start was dialled with some end, and after this in any case.
const READY_WITHIN: Micros = 1_000_000;

/// Pressure is looked at so often.
const PRESSURE: Micros = 1_000_000;

/// Has the front of a way dial a server. The front tells of the connection as inputs.
pub type Dial = Rc<dyn Fn(LinkId, Way)>;

pub struct Owner {
    core: Core,
    shared: Shared,
    dial: Dial,
    clients: BTreeMap<ClientId, Outbox<ToClient>>,
    links: Links,
    /// Where what is promised is copied to others.
    copies: Option<Copies>,
    /// Probes that are out, with their servers and when they left.
    probes: BTreeMap<CallId, (ServerId, Micros)>,
    started: Micros,
    stopping: Option<Micros>,
    replaced: bool,
    /// What clients that are told were last told of the servers' pressure, and when it is looked at again.
    pressure: u8,
    next_pressure: Micros,
}

impl Owner {
    pub fn new(core: Core, shared: Shared, dial: Dial) -> Self {
        let started = shared.clock.now();
        Owner {
            core,
            shared,
            dial,
            clients: BTreeMap::new(),
            links: Links::default(),
            copies: None,
            probes: BTreeMap::new(),
            started,
            stopping: None,
            replaced: false,
            pressure: 0,
            next_pressure: 0,
        }
    }

    /// Has what is promised copied to others from now on.
    pub fn copy(&mut self, end: CopiesEnd) {
        self.core.tell_promises();
        self.copies = Some(Copies::new(end));
    }

    /// Tells clients whose signalling has a word for it how pressed the servers are: 0 for none, 1 for some,
    /// 2 for half of them and 3 for all.
    fn tell_pressure(&mut self) {
        let now = self.shared.clock.now();
        // Those that are told come last in the order of ids.
        let told = self.clients.keys().next_back().is_some_and(|client| client.is_bound());
        if now < self.next_pressure || !told || self.core.duty().state() != State::Serving {
            return;
        }
        self.next_pressure = now + PRESSURE;
        let (mut ready, mut pressed) = (0, 0);
        for (entry, _, image) in self.core.servers(now) {
            if entry.state == Readiness::Ready {
                ready += 1;
                pressed += usize::from(image.is_some());
            }
        }
        let level = match pressed {
            0 => 0,
            all if all == ready => 3,
            half if 2 * half >= ready => 2,
            _ => 1,
        };
        if std::mem::replace(&mut self.pressure, level) != level {
            for (_, outbox) in self.clients.iter().rev().take_while(|(client, _)| client.is_bound()) {
                outbox.post(ToClient::Pressure(level));
            }
        }
    }

    pub async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        loop {
            self.keep_links();
            self.tell_pressure();
            self.look_at_copies();
            self.carry_out();
            let now = self.shared.clock.now();
            if self.is_done(now) {
                break;
            }
            let starting = self.core.duty().state() == State::Starting;
            let waits = self.copies.as_ref().is_some_and(Copies::waits);
            let look = (self.stopping.is_some() || starting || waits).then_some(now + LOOK);
            let wake = [self.core.next_wake(), self.links.next_due(), look].into_iter().flatten().min();
            let wake = self.shared.clock.instant(wake.unwrap_or(now + 1_000_000));
            tokio::select! {
                biased;
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => break,
                },
                _ = sleep_until(wake) => {}
            }
            self.core.wake(self.shared.clock.now());
        }
        self.flush().await;
        let counts = self.core.counts();
        eprintln!(
            "steprelay: stopped; offered {}, stood {}, refused {}, failed {}, gone {}, stand {}, breaches {}",
            counts.offered,
            counts.stood,
            counts.refused,
            counts.failed,
            counts.abandoned,
            self.core.standing(),
            Breach::ALL.iter().map(|&breach| counts.breaches(breach)).sum::<u64>()
        );
    }

    /// Whether it was told to stop and nothing is left to do. One that was replaced stays while callers keep
    /// their connections.
    fn is_done(&self, now: Micros) -> bool {
        let Some(since) = self.stopping else { return false };
        if self.core.unanswered() > 0 {
            return false;
        }
        if !self.replaced {
            return now >= since + STILL_COMING;
        }
        now >= since + REPLACED_STAYS && self.core.connections() == 0
    }

    async fn flush(&self) {
        let until = self.shared.clock.now() + FLUSH;
        let waits =
            || self.shared.unwritten.get() > 0 || self.clients.values().any(|outbox| !outbox.is_flushed());
        while waits() && self.shared.clock.now() < until {
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn take(&mut self, input: Input) {
        let now = self.shared.clock.now();
        trace::came(&input);
        self.look_at_doubt(now);
        match input {
            Input::ClientOpened { client, peer, outbox } => {
                if let Some(before) = self.clients.insert(client, outbox) {
                    before.cut();
                }
                self.core.client_opened(now, client, peer);
            }
            Input::ClientClosed { client } => {
                self.clients.remove(&client);
                self.core.client_closed(now, client);
            }
            Input::Offer { client, request } => self.core.offer(now, client, request),
            Input::Unfit { client, call, class } => self.core.offer_unfit(client, call, class),
            Input::ClientEnded { client, call, cause } => {
                if let Some(copies) = &mut self.copies {
                    copies.drop_answer(call);
                }
                self.core.client_ended(now, client, call, cause)
            }
            Input::ClientTested { client, call } => {
                self.core.client_tested(now, client);
                let passes = self.core.duty().passes();
                self.tell(client, if passes { ToClient::Passed(call) } else { ToClient::NotPassed(call) });
            }
            Input::ReleaseHeard { client, call } => self.core.release_heard(now, client, call),
            Input::LinkUp { link, outbox } if self.links.is_current(link) => {
                let (both, out) = self.links.up(link, outbox, now);
                for link in both {
                    self.test(link);
                }
                for call in out {
                    self.core.attempt_lost(now, link.server, call);
                }
            }
            Input::LinkLost { link, loss } if self.links.is_current(link) => {
                for call in self.links.lost(link, loss, now) {
                    self.core.attempt_lost(now, link.server, call);
                }
                if loss != LinkLoss::Dropped {
                    self.core.link_lost(now, link.server, loss);
                }
            }
            Input::Progress { link } if self.links.is_current(link) => {
                self.links.heard(link, None, false, now);
            }
            Input::Answered { link, call, description } if self.links.is_current(link) => {
                self.links.heard(link, Some(call), false, now);
                self.core.server_answered(now, link.server, call, description)
            }
            Input::Ended { link, call, cause, note, report } if self.links.is_current(link) => {
                self.links.heard(link, Some(call), false, now);
                if let Some(copies) = &mut self.copies {
                    copies.release_came(link, call);
                }
                self.core.server_ended(now, link.server, call, cause, note, report)
            }
            Input::Reported { link, report } if self.links.is_current(link) => {
                self.links.heard(link, None, false, now);
                self.core.report(now, link.server, report)
            }
            Input::Tested { link, call, passed, report } if self.links.is_current(link) => {
                self.links.heard(link, None, true, now);
                if let Some((server, sent)) = self.probes.remove(&call) {
                    self.core.probed(now, server, passed, now - sent, report);
                }
            }
            // Words of a connection that was already let go.
            Input::Ended { link, call, cause, .. } => {
                self.core.server_ended_late(now, link.server, call, cause);
            }
            Input::LinkUp { outbox, .. } => outbox.cut(),
            Input::LinkLost { .. }
            | Input::Progress { .. }
            | Input::Answered { .. }
            | Input::Reported { .. }
            | Input::Tested { .. } => {}
            Input::Listed { source, kind, servers } => self.listed(source, kind, servers),
            Input::Hold(servers) => {
                self.core.hold(now, &servers);
                self.leave_not_ready(now);
            }
            Input::Snapshot(asked) => {
                let held = self.core.held().map(|server| (server, self.core.is_busy(server))).collect();
                let servers = self.core.servers(now).collect();
                let (unanswered, standing) = (self.core.unanswered(), self.core.standing());
                let counts = self.core.counts().clone();
                // Whoever asked may have gone meanwhile.
                let (targets, targets_disabled) = self.core.targets(now);
                let _ = asked.send(Snapshot {
                    counts,
                    unanswered,
                    standing,
                    targets,
                    targets_disabled,
                    tallies: self.shared.tallies.get(),
                    duty: self.core.duty().state(),
                    held,
                    fleet: self.shared.fleet.borrow().clone(),
                    copies: self.shared.copies.get(),
                    uncopied: self.copies.as_ref().map_or(0, |copies| copies.uncopied),
                    servers,
                });
            }
            Input::Copies(news) => self.heard_of_copies(now, news),
            Input::Duty(wanted, asked) => {
                let before = self.core.duty().state();
                let done = self.core.on_duty(now, |duty| match wanted {
                    OnDuty::Ask => Ok(()),
                    OnDuty::Standby => duty.standby(now),
                    OnDuty::Active => duty.active(),
                });
                let state = self.core.duty().state();
                if state != before {
                    self.duty_changed(state);
                }
                let _ = asked.send(done.map(|()| state));
            }
            Input::Stop { replaced } => {
                eprintln!("steprelay: told to stop, {} set-ups are unanswered", self.core.unanswered());
                self.stopping.get_or_insert(now);
                self.replaced = replaced;
                self.core.on_duty(now, |duty| duty.stop(now, replaced));
                self.duty_changed(State::Stopping);
            }
        }
    }

    pub fn listed(&mut self, source: Source, kind: ListKind, servers: Vec<(Entry, Way)>) {
        let now = self.shared.clock.now();
        let entries: Vec<Entry> = servers.iter().map(|(entry, _)| entry.clone()).collect();
        self.core.list(now, source, kind, &entries);
        for (entry, way) in &servers {
            if entry.state != Readiness::Gone && self.links.listed(entry.server, *way, now) {
                self.core.link_lost(now, entry.server, LinkLoss::Dropped);
            }
        }
        self.leave_not_ready(now);
    }

    /// What waits for servers that are not ready any more is not sent there, and those that are gone are
    /// let go.
    fn leave_not_ready(&mut self, now: Micros) {
        let all: Vec<_> = self.core.servers(now).map(|(entry, ..)| (entry.server, entry.state)).collect();
        for (server, state) in all {
            if state == Readiness::Ready {
                continue;
            }
            for call in self.links.take_waiting(server) {
                self.core.not_sent(now, server, call);
            }
            if state == Readiness::Gone && self.links.remove(server) {
                self.core.link_lost(now, server, LinkLoss::Dropped);
            }
        }
    }

    /// Tells the clients that have a word for it in their signalling.
    fn duty_changed(&self, state: State) {
        match state {
            State::Starting | State::Serving => eprintln!("steprelay: active, clients are welcome"),
            State::Standby => eprintln!("steprelay: standby, clients are sent away"),
            State::Stopping => {}
        }
        for outbox in self.clients.values() {
            outbox.post(match state {
                State::Starting | State::Serving => ToClient::Pressure(self.pressure),
                State::Standby | State::Stopping => ToClient::Draining,
            });
        }
    }

    fn keep_links(&mut self) {
        let now = self.shared.clock.now();
        for (link, way) in self.links.due(now) {
            (self.dial)(link, way);
        }
        let starting = self.core.duty().state() == State::Starting;
        if starting && (self.links.are_settled() || now >= self.started + READY_WITHIN) {
            self.core.on_duty(now, |duty| duty.ready());
        }
        for found in self.links.watch(now, |server| self.core.stands_at(server)) {
            match found {
                Watch::Test(link) => self.test(link),
                Watch::Relieve(link, way) => {
                    eprintln!(
                        "steprelay: server {}: its connection is silent, another is dialled",
                        link.server.0
                    );
                    (self.dial)(link, way);
                }
                Watch::Reset(server, calls) => {
                    for call in calls {
                        self.core.attempt_lost(now, server, call);
                    }
                }
            }
        }
        for server in self.links.out_of_reach(now) {
            self.core.out_of_reach(now, server);
        }
    }

    /// Tests a connection, where the settings allow it.
    fn test(&mut self, link: LinkId) {
        if !self.shared.site.decisions.limits.probes {
            return;
        }
        let (now, call) = (self.shared.clock.now(), self.shared.new_call());
        self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
        if self.links.test(link, call, now) {
            self.probes.insert(call, (link.server, now));
        }
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.do_one(effect);
            }
        }
        if let Some(copies) = &mut self.copies {
            copies.number_releases();
        }
    }

    // ---- Copies.

    /// Finds out before the next word whether another may have taken over.
    fn look_at_doubt(&mut self, now: Micros) {
        let Some(copies) = &mut self.copies else { return };
        match (copies.in_doubt(), copies.was_in_doubt()) {
            (true, false) => {
                let out = self.core.promised().filter(|(_, promise)| matches!(promise, Promise::Out(_)));
                copies.doubt_begins(out.map(|(call, _)| call).collect());
                self.core.doubt(now, true);
            }
            (false, true) => {
                let waited = copies.doubt_ends();
                self.core.doubt(now, false);
                waited.into_iter().for_each(|effect| self.say(now, effect));
            }
            _ => {}
        }
    }

    /// Lets out what others hold by now, and what can wait no longer.
    fn look_at_copies(&mut self) {
        let now = self.shared.clock.now();
        self.look_at_doubt(now);
        let Some(copies) = &mut self.copies else { return };
        if copies.is_behind() {
            copies.all(self.core.promised().collect());
        }
        let given_up = copies.given_up(now);
        let (effects, heard) = copies.due(now);
        self.give_up(now, given_up);
        effects.into_iter().for_each(|effect| self.say(now, effect));
        for (link, call) in heard {
            if self.links.is_current(link) {
                self.links.post(link.server, ToServer::Heard(call), now);
            }
        }
    }

    /// Answers that never went out, and never will.
    fn give_up(&mut self, now: Micros, answers: Vec<Effect>) {
        for effect in answers {
            if let Effect::Answer { client, call, .. } = effect {
                self.say(now, Effect::Final { client, call, verdict: Verdict::Failed });
                self.core.client_ended(now, client, call, ReleaseCause::NORMAL);
            }
        }
    }

    fn heard_of_copies(&mut self, now: Micros, news: News) {
        match news {
            News::Covered(covered) => {
                if let Some(copies) = &mut self.copies {
                    copies.covered(covered);
                }
            }
            News::Adopt(records) => {
                for (call, record) in records {
                    self.core.adopt(now, copies::call(call), copies::promise(record));
                }
            }
            News::Handed(changes) => {
                for (call, record) in changes {
                    self.core.handed(now, copies::call(call), record.map(copies::promise));
                }
            }
            News::Renounce(calls) => {
                let calls: BTreeSet<CallId> = calls.into_iter().map(copies::call).collect();
                self.core.renounce(now, &calls);
                let untold = self.copies.as_mut().map(|copies| copies.renounced(&calls)).unwrap_or_default();
                for effect in untold {
                    // It stands nowhere any more: whoever took it over has ended it.
                    if let Effect::Answer { client, call, .. } = effect {
                        self.say(now, Effect::Final { client, call, verdict: Verdict::Failed });
                    }
                }
            }
            News::Over(calls) => {
                calls.into_iter().for_each(|call| self.core.over_elsewhere(now, copies::call(call)));
            }
            News::Short(short) => {
                let refuse = self.copies.as_mut().is_some_and(|copies| copies.short(short));
                self.core.refuse_uncopied(refuse);
            }
        }
    }

    fn do_one(&mut self, effect: Effect) {
        let now = self.shared.clock.now();
        trace::goes(&self.core, now, &effect);
        if self.copies.is_some() {
            self.look_at_doubt(now);
            if let Effect::Released { call, .. } = &effect {
                let first = self.copies.as_mut().and_then(|copies| copies.answer_first(*call));
                first.into_iter().for_each(|effect| self.say(now, effect));
            }
            if let Some(effect) = self.copies.as_mut().and_then(|copies| copies.hold(now, effect)) {
                self.say(now, effect);
            }
            return;
        }
        self.say(now, effect);
    }

    fn say(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::SetUp { server, set_up } => {
                let call = set_up.call;
                if !self.links.post(server, ToServer::SetUp(set_up), now) {
                    self.core.not_sent(now, server, call);
                }
            }
            Effect::GiveUp { server, call } => {
                self.links.post(server, ToServer::GiveUp(call), now);
            }
            Effect::Release { server, call, cause } => {
                self.links.post(server, ToServer::Release(call, cause), now);
            }
            Effect::Probe { server } => {
                let call = self.shared.new_call();
                self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
                if self.links.post(server, ToServer::Probe(call), now) {
                    self.probes.insert(call, (server, now));
                }
            }
            Effect::Answer { client, call, description } => {
                self.tell(client, ToClient::Answer { call, description })
            }
            Effect::Final { client, call, verdict } => self.tell(client, ToClient::Final { call, verdict }),
            Effect::Released { client, call, cause } => self.tell(client, ToClient::Released { call, cause }),
            Effect::LetGo { client, inputs } => {
                if let Some(outbox) = self.clients.get(&client) {
                    outbox.post(ToClient::LetGo { inputs });
                }
            }
            Effect::Close { client } => {
                if let Some(outbox) = self.clients.get(&client) {
                    outbox.cut();
                }
            }
            Effect::Log(text) => eprintln!("steprelay: {text}"),
            Effect::Promised { call, promise, by } => {
                if let Some(copies) = &mut self.copies {
                    copies.note(call, promise, by);
                }
            }
            Effect::PassedOn { call } => {
                if let Some(copies) = &mut self.copies {
                    copies.passed_on(call);
                }
            }
        }
    }

    fn tell(&mut self, client: ClientId, message: ToClient) {
        if self.clients.get(&client).is_some_and(|outbox| !outbox.post(message)) {
            if let Some(outbox) = self.clients.remove(&client) {
                eprintln!("steprelay: a client does not read, its connection is cut");
                outbox.cut();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ports::clock::Clock;
    use crate::ports::conn::{self, Inbox};
    use crate::ports::copies::Lease;
    use std::sync::Arc;
    use steprelay_core::{Bounds, Request};
    use steprelay_decisions::{Cause, Report, Settings};
    use steprelay_settings::Site;

    const SERVER: ServerId = ServerId(1);
    const CALL: CallId = CallId(7);

    /// An owner with one caller and one server, whose connections the test holds; the call was made.
    fn with_call() -> (Owner, Inbox<ToClient>, LinkId, Inbox<ToServer>) {
        let class = steprelay_decisions::Class { aim: 1_000_000, repeatable: true, ..Default::default() };
        let decisions = Settings { group_size: 1, classes: vec![class], ..Settings::default() };
        let site = Site { decisions, class_names: vec!["standard-check".into()], ..Site::default() };
        let shared = Shared {
            clock: Clock::start(),
            pool: Default::default(),
            site: Rc::new(site.clone()),
            inputs: mpsc::channel(1).0,
            unreadable: Rc::default(),
            calls: Rc::default(),
            unwritten: Rc::default(),
            tallies: Rc::default(),
            fleet: Rc::default(),
            copies: Rc::default(),
            heard_later: false,
        };
        let now = shared.clock.now();
        let core = Core::new(site, Bounds { connections: 8, connections_of_one: 8, bytes: 1 << 20 }, 7, now);
        let mut owner = Owner::new(core, shared, Rc::new(|_, _| {}));
        let way = Way::Platform(([127, 0, 0, 1], 1).into());
        let entry = Entry { server: SERVER, started: None, number: 0, state: Readiness::Ready };
        owner.listed(Source::Board, ListKind::All, vec![(entry, way)]);
        owner.keep_links();
        let (link, client) = (LinkId { server: SERVER, epoch: 1 }, ClientId(1));
        let (outbox, to_server) = conn::channel();
        owner.take(Input::LinkUp { link, outbox });
        let (outbox, inbox) = conn::channel();
        owner.take(Input::ClientOpened { client, peer: None, outbox });
        let request = Request {
            call: CALL,
            class: 0,
            tenant: 0,
            dest: None,
            number: "".into(),
            description: "v=0".into(),
            came: now,
            left: 5_000_000,
            was_cut: false,
        };
        owner.take(Input::Offer { client, request });
        owner.carry_out();
        (owner, inbox, link, to_server)
    }

    fn ended(link: LinkId) -> Input {
        let (cause, note, report) = (ReleaseCause::NORMAL, Cause::Untold, Report::default());
        Input::Ended { link, call: CALL, cause, note, report }
    }

    #[test]
    fn a_release_is_passed_on_though_its_connection_was_just_let_go() {
        let (mut owner, mut inbox, link, _to_server) = with_call();
        owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
        owner.carry_out();
        assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })));
        owner.take(ended(LinkId { epoch: 99, ..link }));
        owner.carry_out();
        assert!(matches!(inbox.next_now(), Some(ToClient::Released { call: CALL, .. })));
        assert_eq!(owner.core.standing(), 0);
    }

    #[test]
    fn what_such_a_connection_says_of_a_set_up_settles_nothing() {
        let (mut owner, mut inbox, link, _to_server) = with_call();
        owner.take(ended(LinkId { epoch: 99, ..link }));
        owner.carry_out();
        assert!(inbox.next_now().is_none());
        assert_eq!(owner.core.unanswered(), 1, "its attempt is out on another connection");
    }

    /// The same, where promises are copied: with the ends that whoever copies them has.
    fn with_copies() -> (Owner, Inbox<ToClient>, LinkId, Inbox<ToServer>, Arc<Lease>) {
        let (mut owner, inbox, link, to_server) = with_call();
        let (notes, noted) = mpsc::channel(64);
        // Kept for as long as the owner: a closed one takes no notes.
        std::mem::forget(noted);
        // Of a second ago: a lease may have run out by now.
        let started = std::time::Instant::now().checked_sub(std::time::Duration::from_secs(1));
        let lease = Arc::new(Lease::new(started.expect("the machine runs for longer")));
        let end = CopiesEnd { notes, lease: lease.clone(), after_copies: true, refuse_short: false };
        owner.copy(end);
        (owner, inbox, link, to_server, lease)
    }

    fn hears(owner: &mut Owner, news: News) {
        owner.take(Input::Copies(news));
        owner.look_at_copies();
        owner.carry_out();
    }

    fn heard(to_server: &mut Inbox<ToServer>) -> usize {
        std::iter::from_fn(|| to_server.next_now()).filter(|word| matches!(word, ToServer::Heard(_))).count()
    }

    #[test]
    fn a_caller_hears_that_its_call_stands_once_others_know_and_a_server_that_its_release_was_heard() {
        let (mut owner, mut inbox, link, mut to_server, _) = with_copies();
        hears(&mut owner, News::Short(false));
        owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
        owner.carry_out();
        assert!(inbox.next_now().is_none(), "nobody else knows that it stands");
        hears(&mut owner, News::Covered(1));
        assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })));
        owner.take(ended(link));
        owner.carry_out();
        owner.look_at_copies();
        assert!(matches!(inbox.next_now(), Some(ToClient::Released { call: CALL, .. })));
        assert_eq!(heard(&mut to_server), 0, "its server would not say it again");
        hears(&mut owner, News::Covered(2));
        assert_eq!(heard(&mut to_server), 1);
    }

    #[test]
    fn nobody_waits_for_others_that_are_not_there_nor_past_its_time() {
        let (mut owner, mut inbox, link, _to_server, _) = with_copies();
        owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
        owner.carry_out();
        assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })), "too few are there");
        assert_eq!(owner.copies.as_ref().map(|copies| copies.uncopied), Some(1));
        // In doubt, until its caller would give up: then it hears that it failed, and its server that it is
        // over.
        let (mut owner, mut inbox, link, mut to_server, lease) = with_copies();
        lease.set(1, 0);
        owner.look_at_copies();
        owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
        owner.carry_out();
        let late = owner.shared.clock.now() + 60_000_000;
        let given_up = owner.copies.as_mut().map(|copies| copies.given_up(late)).unwrap_or_default();
        assert!(matches!(given_up[..], [Effect::Answer { call: CALL, .. }]) && inbox.next_now().is_none());
        owner.give_up(late, given_up);
        owner.carry_out();
        assert!(matches!(inbox.next_now(), Some(ToClient::Final { call: CALL, verdict: Verdict::Failed })));
        let ends = |word: &ToServer| matches!(word, ToServer::Release(CALL, _));
        assert_eq!(std::iter::from_fn(|| to_server.next_now()).filter(ends).count(), 1);
        assert_eq!(owner.core.standing(), 0);
    }

    #[test]
    fn an_answer_of_before_waits_for_the_lease_and_is_another_one_where_it_is_lost() {
        for succeeded in [false, true] {
            let (mut owner, mut inbox, link, _to_server, lease) = with_copies();
            // One that ran out long ago, and nothing that waits to be covered.
            lease.set(1, 0);
            owner.look_at_copies();
            owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
            owner.carry_out();
            hears(&mut owner, News::Covered(1));
            assert!(inbox.next_now().is_none(), "another may have ended it");
            // What is known of a succession goes before the lease that follows it.
            lease.set(60_000, u64::from(succeeded));
            owner.look_at_copies();
            if succeeded {
                assert!(inbox.next_now().is_none());
                hears(&mut owner, News::Renounce([CALL.0].into()));
                assert!(matches!(
                    inbox.next_now(),
                    Some(ToClient::Final { call: CALL, verdict: Verdict::Failed })
                ));
            } else {
                assert!(matches!(inbox.next_now(), Some(ToClient::Answer { call: CALL, .. })));
            }
            assert!(inbox.next_now().is_none(), "once");
        }
    }
}
