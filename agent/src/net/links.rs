//! The connections to servers: one each, dialled as soon as the server is listed and again when it is lost.
//!
//! A connection can go silent without an end. Where one has owed a word for too long, a second is dialled
//! and takes over what is new. The first is closed once the second has brought an answer and it has not.
//! Another follows then, since a server sends the releases that it wrote to a dead connection on the next
//! that is opened. Where the first answers too, it stays: a release may be on its way on it.

use std::collections::{BTreeMap, BTreeSet};

use steprelay_core::LinkLoss;
use steprelay_decisions::{CallId, Micros, ServerId};

use crate::ports::conn::Outbox;
use crate::ports::{LinkId, ToServer, Way};

const FIRST_PAUSE: Micros = 100_000;
const LONGEST_PAUSE: Micros = 1_000_000;
/// What stood at a server that cannot be reached has ended after this long, seen from its caller: the limit
/// for its release is 8 s.
const OUT_OF_REACH: Micros = 6_500_000;
/// A connection that owes a word is taken for silent after so many times the longest pause it lately made,
/// or after what all servers' pauses tell if that is longer, within these bounds: a server that is short of
/// processor answers late on a connection that is well, and of one that is asked now and then little is
/// known.
const PAUSES: Micros = 3;
const SOON: Micros = 120_000;
const LATE: Micros = 2_000_000;
/// The longest pause that is remembered falls by one part in so many with each shorter one. Time alone tells
/// nothing: where a server is asked every few seconds, the one pause before would be all that counts.
const FORGETS: Micros = 10;
/// What is rare among pauses before any is known.
const RARE: Micros = 1_000_000;
/// A connection on which calls stand is tested once it has brought no word for so many times the mean pause
/// between its words, since their releases come on it; but not within the second. Tests are work for
/// servers, and those of all call agents add up: where little comes anyway, a pause tells little, and the
/// limit for a release alone says when.
const QUIET: Micros = 3;
const SOON_QUIET: Micros = 1_000_000;
/// The mean moves by one part in so many with each word.
const WORDS: Micros = 8;
/// What both connections were asked comes this much later on the first, or never.
const GRACE: Micros = 80_000;
/// Without an answer on either, the first is closed after this.
const NO_PROOF: Micros = 3_000_000;
/// A release comes within 8 s of the call's end whatever its connection does; the last second is for a dial
/// and the way.
const RELEASED: Micros = 7_000_000;
const _: () = assert!(SOON_QUIET + LATE + NO_PROOF <= RELEASED);
/// From one second connection to the next: where the way is bad, the second may soon be silent too.
const RELIEF_PAUSE: Micros = 300_000;
/// A peer of the M3UA front has one association. It answers a heartbeat within this, or the association ends.
const BEAT: Micros = 2_000_000;

/// The pauses of all servers before a word that is owed: mean and mean deviation, and what follows from
/// these, as RFC 6298 has it (2.1 to 2.3) for one connection.
#[derive(Clone, Copy, Default)]
struct Pauses(Option<(Micros, Micros)>);

impl Pauses {
    fn take(&mut self, pause: Micros) {
        self.0 = Some(match self.0 {
            None => (pause, pause / 2),
            Some((mean, deviation)) => {
                let away = (mean - pause).abs();
                (mean - mean / 8 + pause / 8, deviation - deviation / 4 + away / 4)
            }
        });
    }

    /// A pause that is longer is a rare one.
    fn rare(self) -> Micros {
        self.0.map_or(RARE, |(mean, deviation)| mean + 4 * deviation)
    }
}

/// A connection that is open.
struct Conn {
    epoch: u64,
    outbox: Outbox<ToServer>,
    /// Set-ups that wait on it for an answer.
    out: BTreeSet<CallId>,
    heard: Micros,
    /// Since when it has owed a word, and the longest that lately took.
    owes: Option<Micros>,
    longest: Micros,
    /// When the last word about a call came, and the mean pause between two.
    word: Micros,
    pause: Option<Micros>,
}

impl Conn {
    fn new(epoch: u64, outbox: Outbox<ToServer>, now: Micros) -> Self {
        Conn {
            epoch,
            outbox,
            out: BTreeSet::new(),
            heard: now,
            owes: None,
            longest: 0,
            word: now,
            pause: None,
        }
    }

    fn post(&mut self, message: ToServer, now: Micros) -> bool {
        match &message {
            ToServer::SetUp(set_up) => {
                self.out.insert(set_up.call);
                self.owes.get_or_insert(now);
            }
            ToServer::Probe(_) => {
                self.owes.get_or_insert(now);
            }
            ToServer::GiveUp(call) => {
                self.out.remove(call);
            }
            ToServer::Release(..) | ToServer::Heard(_) | ToServer::Finish => {}
        }
        self.outbox.post(message)
    }

    /// Something came on it; returns whether that answers a set-up that waits.
    fn heard(&mut self, about: Option<CallId>, now: Micros) -> bool {
        if let Some(since) = self.owes {
            self.longest = (self.longest - self.longest / FORGETS).max(now - since);
        }
        self.heard = now;
        if about.is_some() {
            let (pause, mean) = (now - self.word, self.pause);
            self.pause = Some(mean.map_or(pause, |mean| mean - mean / WORDS + pause / WORDS));
            self.word = now;
        }
        let answers = about.is_some_and(|call| self.out.remove(&call));
        self.owes = (!self.out.is_empty()).then_some(now);
        answers
    }

    /// How long it may owe a word.
    fn patience(&self, of_all: Pauses) -> Micros {
        (PAUSES * self.longest).max(of_all.rare()).clamp(SOON, LATE)
    }

    fn is_silent(&self, of_all: Pauses, now: Micros) -> bool {
        self.owes.is_some_and(|since| now - since >= self.patience(of_all))
    }

    /// It owes nothing, and has brought nothing for longer than it lately did, or than the limit for a
    /// release allows: what follows a test that is not answered takes its time too.
    fn is_quiet(&self, of_all: Pauses, now: Micros) -> bool {
        let latest = RELEASED - NO_PROOF - self.patience(of_all);
        let usual = self.pause.map_or(latest, |pause| (QUIET * pause).clamp(SOON_QUIET, latest));
        self.owes.is_none() && now >= self.heard + usual
    }

    /// Lets go of one that is well and on which nothing waits. The server may be writing a release on it at
    /// this moment, so it is read on until the server ends it too.
    fn finish(self) {
        debug_assert!(self.out.is_empty());
        if !self.outbox.post(ToServer::Finish) {
            self.outbox.cut();
        }
    }

    fn end(self) -> Vec<CallId> {
        self.outbox.cut();
        self.out.into_iter().collect()
    }
}

/// The first connection, while what is new goes by a second.
struct Former {
    conn: Conn,
    since: Micros,
    /// When the second brought an answer.
    proof: Option<Micros>,
}

impl Former {
    /// It has brought something since it was taken for silent.
    fn is_well(&self) -> bool {
        self.conn.heard > self.since
    }
}

enum State {
    /// Dialled again at this time.
    Down(Micros),
    /// What waits goes out when the connection is up, or is told as never sent when it fails.
    Dialling(u64, Vec<ToServer>),
    Up(Conn),
}

struct Link {
    way: Way,
    state: State,
    former: Option<Former>,
    /// A second connection that is being dialled, and when the next may be.
    relief: Option<u64>,
    relief_after: Micros,
    /// When a heartbeat was sent to a silent peer of the M3UA front.
    beat: Option<Micros>,
    pause: Micros,
    /// Since when it has been without a connection, after it had one.
    lost: Option<Micros>,
}

impl Link {
    /// Lets go of all its connections; returns the set-ups that may have run.
    fn end(&mut self, next: State) -> Vec<CallId> {
        self.relief = None;
        self.beat = None;
        let mut out = self.former.take().map(|former| former.conn.end()).unwrap_or_default();
        if let State::Up(conn) = std::mem::replace(&mut self.state, next) {
            out.extend(conn.end());
        }
        out
    }
}

impl Link {
    /// Has another connection dialled, unless one is already.
    fn relieve(&mut self, server: ServerId, epochs: &mut u64, now: Micros) -> Option<Watch> {
        if self.relief.is_some() || !matches!(self.state, State::Up(_)) {
            return None;
        }
        // A third makes way first, so that what the server wrote to it meanwhile comes on the next.
        if let Some(former) = self.former.take_if(|former| former.conn.out.is_empty()) {
            former.conn.finish();
        }
        *epochs += 1;
        self.relief = Some(*epochs);
        self.relief_after = now + RELIEF_PAUSE;
        Some(Watch::Relieve(LinkId { server, epoch: *epochs }, self.way))
    }
}

/// What has to be done about a silent connection.
pub enum Watch {
    /// Is tested, by this connection.
    Test(LinkId),
    /// A second connection is dialled.
    Relieve(LinkId, Way),
    /// These set-ups went with a connection that is closed.
    Reset(ServerId, Vec<CallId>),
}

#[derive(Default)]
pub struct Links {
    links: BTreeMap<ServerId, Link>,
    epochs: u64,
    pauses: Pauses,
}

impl Links {
    /// Takes in where a server is; true when an earlier connection to it ended with that.
    pub fn listed(&mut self, server: ServerId, way: Way, now: Micros) -> bool {
        let same = self.links.get(&server).is_some_and(|link| link.way == way);
        if same {
            return false;
        }
        let had = self.remove(server);
        let link = Link {
            way,
            state: State::Down(now),
            former: None,
            relief: None,
            relief_after: now,
            beat: None,
            pause: FIRST_PAUSE,
            lost: None,
        };
        self.links.insert(server, link);
        had
    }

    /// Lets go of a server; false where there was none.
    pub fn remove(&mut self, server: ServerId) -> bool {
        let link = self.links.remove(&server);
        link.map(|mut link| link.end(State::Down(0))).is_some()
    }

    /// Whether this is a present connection to its server.
    pub fn is_current(&self, id: LinkId) -> bool {
        self.links.get(&id.server).is_some_and(|link| {
            let present = match &link.state {
                State::Down(_) => None,
                State::Dialling(epoch, _) => Some(*epoch),
                State::Up(conn) => Some(conn.epoch),
            };
            let former = link.former.as_ref().map(|former| former.conn.epoch);
            [present, link.relief, former].contains(&Some(id.epoch))
        })
    }

    /// Those to dial now; each counts as dialled with that.
    pub fn due(&mut self, now: Micros) -> Vec<(LinkId, Way)> {
        let mut due = Vec::new();
        for (server, link) in &mut self.links {
            if matches!(link.state, State::Down(at) if at <= now) {
                self.epochs += 1;
                link.state = State::Dialling(self.epochs, Vec::new());
                due.push((LinkId { server: *server, epoch: self.epochs }, link.way));
            }
        }
        due
    }

    /// Whether no first dial of a server is under way.
    pub fn are_settled(&self) -> bool {
        !self.links.values().any(|link| matches!(link.state, State::Dialling(..)) && link.lost.is_none())
    }

    pub fn next_due(&self) -> Option<Micros> {
        let times = self.links.values().filter_map(|link| match link.state {
            State::Down(at) => Some(at),
            _ => None,
        });
        times.min()
    }

    /// A connection is there. Where it relieves another, both are to be tested, which tells whether that one
    /// is dead or its server only slow; returns these, and the set-ups that went with one before them.
    pub fn up(&mut self, id: LinkId, outbox: Outbox<ToServer>, now: Micros) -> (Vec<LinkId>, Vec<CallId>) {
        let Some(link) = self.links.get_mut(&id.server) else { return Default::default() };
        (link.pause, link.lost, link.beat) = (FIRST_PAUSE, None, None);
        let conn = Conn::new(id.epoch, outbox, now);
        match std::mem::replace(&mut link.state, State::Up(conn)) {
            State::Up(conn) => {
                link.relief = None;
                let first = LinkId { server: id.server, epoch: conn.epoch };
                let before = link.former.replace(Former { conn, since: now, proof: None });
                let out = before.map(|former| former.conn.end()).unwrap_or_default();
                (vec![first, id], out)
            }
            State::Dialling(_, waiting) => {
                for message in waiting {
                    self.post(id.server, message, now);
                }
                Default::default()
            }
            State::Down(_) => Default::default(),
        }
    }

    /// A connection has ended, or could not be had; returns the set-ups that may have run.
    pub fn lost(&mut self, id: LinkId, loss: LinkLoss, now: Micros) -> Vec<CallId> {
        let Some(link) = self.links.get_mut(&id.server) else { return Vec::new() };
        if link.former.as_ref().is_some_and(|former| former.conn.epoch == id.epoch) {
            return link.former.take().map(|former| former.conn.end()).unwrap_or_default();
        }
        // A second connection that cannot be had tells that the first is no better.
        let pause = if loss == LinkLoss::Dropped { 0 } else { link.pause };
        link.pause = (2 * link.pause).min(LONGEST_PAUSE);
        if loss == LinkLoss::Dropped || link.relief == Some(id.epoch) {
            link.lost = Some(now);
        }
        link.end(State::Down(now + pause))
    }

    /// Something came on a connection: about a call, or an answer to a test, or neither.
    pub fn heard(&mut self, id: LinkId, about: Option<CallId>, tested: bool, now: Micros) {
        let Some(link) = self.links.get_mut(&id.server) else { return };
        match (&mut link.state, &mut link.former) {
            (State::Up(conn), former) if conn.epoch == id.epoch => {
                link.beat = None;
                if let Some(since) = conn.owes {
                    self.pauses.take((now - since).min(LATE));
                }
                if conn.heard(about, now) || tested {
                    if let Some(former) = former {
                        former.proof.get_or_insert(now);
                    }
                }
            }
            (_, Some(former)) if former.conn.epoch == id.epoch => {
                former.conn.heard(about, now);
            }
            _ => {}
        }
    }

    /// Looks for connections that are silent. `stand` tells where calls stand.
    pub fn watch(&mut self, now: Micros, stand: impl Fn(ServerId) -> bool) -> Vec<Watch> {
        let mut found = Vec::new();
        for (&server, link) in &mut self.links {
            if let Some(former) = link.former.as_ref().filter(|former| !former.is_well()) {
                let over = match former.proof {
                    Some(at) => now >= at + GRACE,
                    None => now >= former.since + NO_PROOF,
                };
                if over {
                    let out = link.former.take().map(|former| former.conn.end()).unwrap_or_default();
                    found.push(Watch::Reset(server, out));
                    found.extend(link.relieve(server, &mut self.epochs, now));
                }
                continue;
            }
            let State::Up(conn) = &mut link.state else { continue };
            let this = LinkId { server, epoch: conn.epoch };
            if !conn.is_silent(self.pauses, now) {
                if conn.is_quiet(self.pauses, now) && stand(server) {
                    found.push(Watch::Test(this));
                }
                continue;
            }
            match (link.way, link.beat) {
                (Way::Platform(_), _) if now >= link.relief_after => {
                    found.extend(link.relieve(server, &mut self.epochs, now));
                }
                (Way::Platform(_), _) => {}
                (Way::M3ua(_), None) => {
                    link.beat = Some(now);
                    found.push(Watch::Test(this));
                }
                (Way::M3ua(_), Some(at)) if now >= at + BEAT => {
                    link.lost = Some(now);
                    found.push(Watch::Reset(server, link.end(State::Down(now))));
                }
                (Way::M3ua(_), Some(_)) => {}
            }
        }
        found
    }

    /// Puts a message on its way; false when it is sure that it does not leave.
    pub fn post(&mut self, server: ServerId, message: ToServer, now: Micros) -> bool {
        let Some(link) = self.links.get_mut(&server) else { return false };
        if let (ToServer::GiveUp(call), Some(former)) = (&message, &mut link.former) {
            if former.conn.out.contains(call) {
                return former.conn.post(message, now);
            }
        }
        match &mut link.state {
            State::Up(conn) => conn.post(message, now),
            State::Dialling(_, waiting) => {
                match message {
                    // Neither needs to arrive: the set-up has not left.
                    ToServer::GiveUp(call) => waiting
                        .retain(|waits| !matches!(waits, ToServer::SetUp(set_up) if set_up.call == call)),
                    message => waiting.push(message),
                }
                true
            }
            State::Down(_) => false,
        }
    }

    /// Puts a test on one connection.
    pub fn test(&mut self, id: LinkId, call: CallId, now: Micros) -> bool {
        let Some(link) = self.links.get_mut(&id.server) else { return false };
        match (&mut link.state, &mut link.former) {
            (State::Up(conn), _) if conn.epoch == id.epoch => conn.post(ToServer::Probe(call), now),
            (_, Some(former)) if former.conn.epoch == id.epoch => {
                former.conn.post(ToServer::Probe(call), now)
            }
            _ => false,
        }
    }

    /// Takes back the set-ups that still wait for a connection to a server that takes nothing new.
    pub fn take_waiting(&mut self, server: ServerId) -> Vec<CallId> {
        match self.links.get_mut(&server).map(|link| &mut link.state) {
            Some(State::Dialling(_, waiting)) => set_ups(std::mem::take(waiting)),
            _ => Vec::new(),
        }
    }

    /// Servers that have been out of reach for too long; each is named once.
    pub fn out_of_reach(&mut self, now: Micros) -> Vec<ServerId> {
        let late =
            self.links.iter_mut().filter(|(_, link)| link.lost.is_some_and(|at| at + OUT_OF_REACH <= now));
        late.map(|(server, link)| {
            link.lost = None;
            *server
        })
        .collect()
    }
}

fn set_ups(waiting: Vec<ToServer>) -> Vec<CallId> {
    let calls = waiting.into_iter().filter_map(|message| match message {
        ToServer::SetUp(set_up) => Some(set_up.call),
        _ => None,
    });
    calls.collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ports::conn;
    use steprelay_core::SetUp;

    const MS: Micros = 1_000;
    const AT: ServerId = ServerId(1);

    fn set_up(call: u64) -> ToServer {
        let (number, description) = ("".into(), "".into());
        ToServer::SetUp(SetUp { call: CallId(call), class: 0, number, description, wait: 0 })
    }

    /// A server with one connection that is up, among servers that answer at once.
    fn links() -> Links {
        let mut links = Links { pauses: Pauses(Some((MS, 0))), ..Links::default() };
        links.listed(AT, Way::Platform(([127, 0, 0, 1], 1).into()), 0);
        let (id, _) = links.due(0)[0];
        links.up(id, conn::channel().0, 0);
        links
    }

    /// Tests are work for servers, and those of all call agents add up: in a minute, of a connection that
    /// brings a word every so many milliseconds, and then goes quiet.
    #[test]
    fn a_connection_on_which_calls_stand_is_tested_once_its_quiet_tells_something() {
        for (every, while_it_speaks, first_after) in [(200, 0, 1_000), (600, 0, 1_800), (5_000, 12, 3_880)] {
            let mut links = Links::default();
            links.listed(AT, Way::Platform(([127, 0, 0, 1], 1).into()), 0);
            let (id, _) = links.due(0)[0];
            let (outbox, _inbox) = conn::channel();
            links.up(id, outbox, 0);
            let (mut tests, mut after) = (0, None);
            for ms in 1..=70_000 {
                let (now, speaks) = (ms * MS, ms <= 60_000);
                if speaks && ms % every == 0 {
                    links.heard(id, Some(CallId(9)), false, now);
                }
                if after.is_some() {
                    break;
                }
                assert!(links.watch(now, |_| false).is_empty(), "nothing stands there");
                let found = links.watch(now, |_| true);
                for found in found {
                    assert!(matches!(found, Watch::Test(tested) if tested == id));
                    assert!(links.test(id, CallId(ms as u64), now));
                    match speaks {
                        true => links.heard(id, None, true, now + 20 * MS),
                        false => after = Some(ms - 60_000),
                    }
                    tests += u64::from(speaks);
                }
            }
            assert_eq!((tests, after), (while_it_speaks, Some(first_after)), "every {every} ms");
        }
    }

    /// Whatever a connection was used to: a test, its patience and the time without proof stay within the
    /// limit for a release.
    #[test]
    fn a_quiet_connection_is_given_up_within_the_limit_for_a_release() {
        for (longest, pause) in [(0, 1), (0, 60_000), (500, 60_000), (5_000, 10), (5_000, 60_000)] {
            let (longest, pause) = (longest * MS, Some(pause * MS));
            let conn = Conn { longest, pause, ..Conn::new(1, conn::channel().0, 0) };
            let quiet =
                (0..8_000).find(|ms| conn.is_quiet(Pauses::default(), ms * MS)).expect("at last") * MS;
            assert!(
                quiet >= SOON_QUIET && quiet + conn.patience(Pauses::default()) + NO_PROOF <= RELEASED + MS,
                "{quiet}"
            );
        }
    }

    fn relief(links: &mut Links, now: Micros) -> Option<LinkId> {
        links.watch(now, |_| false).into_iter().find_map(|found| match found {
            Watch::Relieve(id, _) => Some(id),
            _ => None,
        })
    }

    #[test]
    fn a_silent_connection_is_relieved_as_often_as_it_takes() {
        let (mut links, mut now) = (links(), 0);
        for round in 1..=3 {
            // One may be silent from its start; the next follows without waiting long.
            links.post(AT, set_up(round), now);
            assert!(relief(&mut links, now + SOON - MS).is_none());
            now += RELIEF_PAUSE;
            let second = relief(&mut links, now).expect("the connection has said nothing");
            assert!(relief(&mut links, now + MS).is_none(), "one at a time");
            assert_eq!(links.up(second, conn::channel().0, now).0.len(), 2, "both are tested");
            now += MS;
            links.heard(second, None, true, now);
            now += GRACE;
            let found = links.watch(now, |_| false);
            let [Watch::Reset(AT, calls), Watch::Relieve(third, _)] = &found[..] else {
                panic!("the first is closed, and one more opened");
            };
            assert_eq!(*calls, [CallId(round)]);
            links.up(*third, conn::channel().0, now);
            now += MS;
            links.heard(second, None, true, now);
            links.heard(*third, None, true, now);
            assert!(links.watch(now + GRACE, |_| false).is_empty(), "both are well and stay");
        }
    }

    #[test]
    fn a_server_that_is_used_to_long_pauses_is_given_time() {
        let mut links = links();
        let first = LinkId { server: AT, epoch: 1 };
        links.post(AT, set_up(1), 0);
        links.heard(first, Some(CallId(1)), false, 400 * MS);
        links.post(AT, set_up(2), 400 * MS);
        assert!(relief(&mut links, 1_400 * MS).is_none());
        assert!(relief(&mut links, 1_700 * MS).is_some());
    }

    /// One that takes 400 ms every other time, and is asked every 5 s among others that answer at once, is no
    /// more silent than they are: what it took counts however long ago it was.
    #[test]
    fn a_slow_server_among_quick_ones_is_known_as_slow() {
        let (mut links, mut now) = (links(), 0);
        let (slow, quick) = (LinkId { server: AT, epoch: 1 }, ServerId(2));
        links.listed(quick, Way::Platform(([127, 0, 0, 1], 2).into()), now);
        let (other, _) = links.due(now)[0];
        links.up(other, conn::channel().0, now);
        for call in 1..=10 {
            now += 4_000 * MS;
            for number in 0..20 {
                let asked = now + number * 50 * MS;
                links.post(quick, set_up(100 + call), asked);
                links.heard(other, Some(CallId(100 + call)), false, asked + MS);
            }
            now += 1_000 * MS;
            links.post(AT, set_up(call), now);
            let pause = if call % 2 == 1 { 400 } else { 20 };
            if call > 1 {
                assert!(relief(&mut links, now + (pause - 1) * MS).is_none(), "call {call}");
            }
            links.heard(slow, Some(CallId(call)), false, now + pause * MS);
        }
        links.post(AT, set_up(11), now + 1_000 * MS);
        assert!(relief(&mut links, now + 2_200 * MS).is_some(), "but three times that is silence");
    }

    /// Servers that are asked every 5 s and answer after 150 to 350 ms are not silent, and neither is another
    /// one when it is asked first. Remembered by time alone, each was taken for silent every time.
    #[test]
    fn servers_that_are_asked_seldom_are_given_the_time_that_all_take() {
        let mut links = Links { pauses: Pauses::default(), ..links() };
        let first = LinkId { server: AT, epoch: 1 };
        let pauses = [150, 350, 200, 300].map(|pause: Micros| pause * MS);
        let mut now = 0;
        for (call, pause) in (1..).zip(pauses.into_iter().cycle().take(20)) {
            now += 5_000 * MS;
            links.post(AT, set_up(call), now);
            assert!(relief(&mut links, now + pause - MS).is_none(), "call {call}");
            links.heard(first, Some(CallId(call)), false, now + pause);
        }
        let other = ServerId(2);
        links.listed(other, Way::Platform(([127, 0, 0, 1], 2).into()), now);
        let (second, _) = links.due(now)[0];
        links.up(second, conn::channel().0, now);
        links.post(other, set_up(99), now);
        assert!(relief(&mut links, now + 350 * MS).is_none());
        assert!(relief(&mut links, now + 900 * MS).is_some(), "a rare pause is one that is too long");
    }

    #[test]
    fn a_second_connection_that_cannot_be_had_ends_the_first() {
        let mut links = links();
        links.post(AT, set_up(1), 0);
        let second = relief(&mut links, SOON).expect("silent");
        assert_eq!(links.lost(second, LinkLoss::Unanswered, SOON), [CallId(1)], "it may have run");
        assert!(!links.post(AT, set_up(2), SOON), "nothing goes on the first any more");
    }
}
