//! The connections to servers: one each, dialled as soon as the server is listed and again when it is lost.
//!
//! A connection can go silent without an end. Where one has owed a word for too long, a second is dialled
//! and takes over what is new. The first is closed once the second has brought an answer and it has not.
//! Another follows then, since a server sends the releases that it wrote to a dead connection on the next
//! that is opened. Where the first answers too, it stays: a release may be on its way on it.

use std::collections::BTreeMap;

use steprelay_core::{LinkLoss, NotSent};
use steprelay_decisions::{CallId, Micros, ServerId};

use crate::ports::conn::{Outbox, Weight};
use crate::ports::{LinkId, ToServer, Way};

mod connection;
mod untold;

use connection::{Conn, Pauses, LATE, SOON_QUIET};
use untold::Untold;

const FIRST_PAUSE: Micros = 100_000;
const LONGEST_PAUSE: Micros = 1_000_000;
/// What stood at a server that has given no sign for so long, though it was dialled, has ended: the limit for
/// its release is 8 s from the end, and the rest is for a second connection to its caller.
const OUT_OF_REACH: Micros = 7_300_000;
/// A dial that began less than this ago tells nothing yet.
const DIAL_TELLS_AFTER: Micros = 500_000;
/// What both connections were asked comes this much later on the first, or never.
const GRACE: Micros = 80_000;
/// Without an answer on either, the first is closed after this.
const NO_PROOF: Micros = 3_000_000;
/// A connection is known to be silent, or has a second one in its place, within this of its last word.
const NOTICED: Micros = 7_000_000;
const _: () = assert!(SOON_QUIET + LATE + NO_PROOF <= NOTICED && NOTICED < OUT_OF_REACH);
/// From one second connection to the next: where the way is bad, the second may soon be silent too.
const RELIEF_PAUSE: Micros = 300_000;
/// Behind the redial of a connection that was closed on this side another follows after this: what its server
/// wrote before it learned of the close comes on the next that is opened, and the redial may be there before
/// that.
const FOLLOW_UP: Micros = 150_000;
/// A peer of the M3UA front has one association. It answers a heartbeat within this, or the association ends.
const BEAT: Micros = 2_000_000;

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
    /// It is up. What waits goes out once it is known which callers are still there.
    Opening(Conn, Vec<ToServer>),
    Up(Conn),
}

struct Link {
    way: Way,
    state: State,
    former: Option<Former>,
    /// A second connection that is being dialled, and when the next may be.
    relief: Option<u64>,
    relief_after: Micros,
    /// When another connection is dialled whatever this one does.
    follow_up: Option<Micros>,
    /// What the server has to be told on its next connection, where it is one of the platform's.
    untold: Untold,
    /// When a heartbeat was sent to a silent peer of the M3UA front.
    beat: Option<Micros>,
    pause: Micros,
    /// It is without a connection, after it had one.
    lost: bool,
    /// When it last gave a sign: a word on any connection, or one that came up or was ended by it.
    heard: Micros,
    /// When it was first dialled since then.
    dialled: Option<Micros>,
    /// What stood there was given up, and it has given no sign since.
    given_up: bool,
}

impl Link {
    /// Lets go of all its connections; returns the set-ups that may have run.
    fn end(&mut self, next: State) -> Vec<CallId> {
        self.relief = None;
        self.beat = None;
        let mut out = self.end_former();
        match std::mem::replace(&mut self.state, next) {
            State::Up(conn) => out.extend(conn.end(&mut self.untold)),
            State::Opening(conn, waiting) => {
                out.extend(conn.end(&mut self.untold));
                self.keep_releases(waiting);
            }
            State::Dialling(_, waiting) => self.keep_releases(waiting),
            State::Down(_) => {}
        }
        out
    }

    /// Lets go of the first connection; returns the set-ups that may have run.
    fn end_former(&mut self) -> Vec<CallId> {
        let former = self.former.take();
        former.map(|former| former.conn.end(&mut self.untold)).unwrap_or_default()
    }

    fn keep_releases(&mut self, waiting: Vec<ToServer>) {
        for message in waiting {
            if let ToServer::Release(call, cause) = message {
                self.untold.release(call, cause);
            }
        }
    }

    /// Tells the server on the connection that is up what it may not have heard.
    fn tell_untold(&mut self, now: Micros) {
        let Link { state: State::Up(conn), former, untold, way: Way::Platform(_), .. } = self else { return };
        if untold.is_empty() {
            return;
        }
        let former_out = |call| former.as_ref().is_some_and(|former| former.conn.out.contains_key(&call));
        for message in untold.take(|call| conn.out.contains_key(&call) || former_out(call)) {
            let ToServer::Release(call, cause) = message else { continue };
            if conn.post(message, now).is_err() {
                untold.release(call, cause);
            }
        }
    }
}

impl Link {
    /// It has given a sign.
    fn heard(&mut self, now: Micros) {
        (self.heard, self.dialled, self.given_up) = (now, None, false);
    }

    /// When it counts as out of reach, unless it gives a sign until then.
    fn out_of_reach_at(&self) -> Option<Micros> {
        let dialled = self.dialled.filter(|_| !self.given_up)?;
        Some((self.heard + OUT_OF_REACH).max(dialled + DIAL_TELLS_AFTER))
    }

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
        self.dialled.get_or_insert(now);
        self.relief = Some(*epochs);
        self.relief_after = now + RELIEF_PAUSE;
        Some(Watch::Relieve(LinkId { server, epoch: *epochs }, self.way))
    }
}

/// A server that nothing has come from for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfReach {
    pub server: ServerId,
    /// How long ago the last word came.
    pub silent_for: Micros,
}

/// What has to be done about a silent connection.
pub enum Watch {
    /// Is tested, by this connection.
    Test(LinkId),
    /// A second connection is dialled.
    Relieve(LinkId, Way),
    /// Another is dialled behind one that was closed on this side.
    FollowUp(LinkId, Way),
    /// These set-ups went with a connection that is closed.
    Reset(ServerId, Vec<CallId>),
}

#[derive(Default)]
pub struct Links {
    links: BTreeMap<ServerId, Link>,
    epochs: u64,
    pauses: Pauses,
    opening: bool,
    /// A server's time for a word is over, by a clock that is ahead of what was read of its connections.
    overdue: bool,
}

/// What the silence of a server is measured by.
#[derive(Clone, Copy)]
pub struct Silence {
    pub now: Micros,
    /// All that had arrived by then was read. What a peer has said since may wait in its socket: a late turn
    /// of this process is not the peer's silence.
    pub read_until: Micros,
}

impl Silence {
    /// Whether it has lasted until then, as far as is known; `overdue` where that has to be read first.
    fn lasts(self, until: Micros, overdue: &mut bool) -> bool {
        *overdue |= self.now >= until && self.read_until < until;
        self.read_until >= until
    }
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
            follow_up: None,
            untold: Untold::default(),
            beat: None,
            pause: FIRST_PAUSE,
            lost: false,
            heard: now,
            dialled: None,
            given_up: false,
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
                State::Opening(conn, _) | State::Up(conn) => Some(conn.epoch),
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
                link.dialled.get_or_insert(now);
                link.state = State::Dialling(self.epochs, Vec::new());
                due.push((LinkId { server: *server, epoch: self.epochs }, link.way));
            }
        }
        due
    }

    /// Whether no first dial of a server is under way.
    pub fn are_settled(&self) -> bool {
        !self.links.values().any(|link| matches!(link.state, State::Dialling(..)) && !link.lost)
    }

    /// Whether what has arrived has to be read before a silence is judged.
    pub fn are_overdue(&self) -> bool {
        self.overdue
    }

    pub fn next_due(&self) -> Option<Micros> {
        if self.overdue {
            return Some(0);
        }
        let times = self.links.values().flat_map(|link| {
            let dialled_at = match link.state {
                State::Down(at) => Some(at),
                State::Up(_) => link.follow_up,
                _ => None,
            };
            [dialled_at, link.out_of_reach_at()]
        });
        times.flatten().min()
    }

    /// A connection is there. Where it relieves another, both are to be tested, which tells whether that one
    /// is dead or its server only slow; returns these, and the set-ups that went with one before them.
    pub fn up(&mut self, id: LinkId, outbox: Outbox<ToServer>, now: Micros) -> (Vec<LinkId>, Vec<CallId>) {
        let Some(link) = self.links.get_mut(&id.server) else { return Default::default() };
        (link.pause, link.lost, link.beat) = (FIRST_PAUSE, false, None);
        link.heard(now);
        let conn = Conn::new(id.epoch, outbox, now);
        match std::mem::replace(&mut link.state, State::Up(conn)) {
            State::Up(conn) => {
                link.relief = None;
                let first = LinkId { server: id.server, epoch: conn.epoch };
                let out = link.end_former();
                link.former = Some(Former { conn, since: now, proof: None });
                link.tell_untold(now);
                (vec![first, id], out)
            }
            State::Dialling(_, waiting) if !waiting.is_empty() => {
                if let State::Up(conn) = std::mem::replace(&mut link.state, State::Down(now)) {
                    link.state = State::Opening(conn, waiting);
                    self.opening = true;
                }
                Default::default()
            }
            State::Dialling(..) | State::Opening(..) | State::Down(_) => {
                link.tell_untold(now);
                Default::default()
            }
        }
    }

    /// Whether what waited for a connection is about to go out.
    pub fn opens(&self) -> bool {
        self.opening
    }

    /// Lets what waited for connections that are up go out; returns the set-ups that they do not take.
    pub fn open(&mut self, now: Micros) -> Vec<(ServerId, CallId, NotSent)> {
        let mut left = Vec::new();
        if !std::mem::take(&mut self.opening) {
            return left;
        }
        for (server, link) in &mut self.links {
            match std::mem::replace(&mut link.state, State::Down(now)) {
                State::Opening(conn, waiting) => {
                    link.state = State::Up(conn);
                    link.tell_untold(now);
                    let State::Up(conn) = &mut link.state else { continue };
                    for message in waiting {
                        let call = message.set_up();
                        if let Err(reason) = conn.post(message, now) {
                            left.extend(call.map(|call| (*server, call, reason)));
                        }
                    }
                }
                state => link.state = state,
            }
        }
        left
    }

    /// A connection has ended, or could not be had; returns the set-ups that may have run.
    pub fn lost(&mut self, id: LinkId, loss: LinkLoss, now: Micros) -> Vec<CallId> {
        let Some(link) = self.links.get_mut(&id.server) else { return Vec::new() };
        if link.former.as_ref().is_some_and(|former| former.conn.epoch == id.epoch) {
            return link.end_former();
        }
        // A second connection that cannot be had tells that the first is no better.
        let was_up = matches!(loss, LinkLoss::Dropped | LinkLoss::Unreadable);
        if was_up {
            link.heard(now);
        }
        if loss == LinkLoss::Unreadable {
            link.follow_up = Some(now + FOLLOW_UP);
        }
        let pause = if was_up { 0 } else { link.pause };
        link.pause = (2 * link.pause).min(LONGEST_PAUSE);
        if was_up || link.relief == Some(id.epoch) {
            link.lost = true;
        }
        link.end(State::Down(now + pause))
    }

    /// Something came on a connection: about a call, or an answer to a test, or neither.
    pub fn heard(&mut self, id: LinkId, about: Option<CallId>, tested: bool, now: Micros) {
        let Some(link) = self.links.get_mut(&id.server) else { return };
        link.heard(now);
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
    pub fn watch(&mut self, silence: Silence, stand: impl Fn(ServerId) -> bool) -> Vec<Watch> {
        let (now, mut overdue) = (silence.now, false);
        let mut found = Vec::new();
        for (&server, link) in &mut self.links {
            link.tell_untold(now);
            let is_up = matches!(link.state, State::Up(_));
            let follows = is_up && link.follow_up.take_if(|at| *at <= now).is_some();
            // Where there is a second connection already, it has followed.
            if follows && link.former.is_none() {
                if let Some(Watch::Relieve(id, way)) = link.relieve(server, &mut self.epochs, now) {
                    found.push(Watch::FollowUp(id, way));
                }
            }
            if let Some(former) = link.former.as_ref().filter(|former| !former.is_well()) {
                let until = former.proof.map_or(former.since + NO_PROOF, |at| at + GRACE);
                if silence.lasts(until, &mut overdue) {
                    let out = link.end_former();
                    found.push(Watch::Reset(server, out));
                    found.extend(link.relieve(server, &mut self.epochs, now));
                }
                continue;
            }
            let State::Up(conn) = &mut link.state else { continue };
            let this = LinkId { server, epoch: conn.epoch };
            let silent_from = conn.silent_from(self.pauses);
            if !silent_from.is_some_and(|from| silence.lasts(from, &mut overdue)) {
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
                (Way::M3ua(_), Some(at)) if silence.lasts(at + BEAT, &mut overdue) => {
                    link.lost = true;
                    found.push(Watch::Reset(server, link.end(State::Down(now))));
                }
                (Way::M3ua(_), Some(_)) => {}
            }
        }
        self.overdue = overdue;
        found
    }

    /// Puts a message on its way; an error says why it is sure that it does not leave.
    pub fn post(&mut self, server: ServerId, message: ToServer, now: Micros) -> Result<(), NotSent> {
        let Some(link) = self.links.get_mut(&server) else { return Err(NotSent::Unreachable) };
        if let (ToServer::GiveUp(call), Some(former)) = (&message, &mut link.former) {
            if former.conn.out.contains_key(call) {
                return former.conn.post(message, now);
            }
        }
        match &mut link.state {
            State::Up(conn) => conn.post(message, now),
            State::Dialling(_, waiting) | State::Opening(_, waiting) => {
                match message {
                    // Neither needs to arrive: the set-up has not left.
                    ToServer::GiveUp(call) => {
                        self.withdraw(server, call);
                    }
                    message => waiting.push(message),
                }
                Ok(())
            }
            State::Down(_) => match message {
                ToServer::Release(call, cause) if matches!(link.way, Way::Platform(_)) => {
                    link.untold.release(call, cause);
                    Ok(())
                }
                _ => Err(NotSent::Unreachable),
            },
        }
    }

    /// Whether nothing waits to be written to any server that is connected.
    pub fn are_flushed(&self) -> bool {
        let former = |link: &Link| link.former.as_ref().is_none_or(|former| former.conn.outbox.is_flushed());
        let present = |link: &Link| match &link.state {
            State::Up(conn) => conn.outbox.is_flushed(),
            _ => true,
        };
        self.links.values().all(|link| former(link) && present(link))
    }

    /// Takes back a set-up, unless a byte of it has left.
    pub fn withdraw(&mut self, server: ServerId, call: CallId) -> bool {
        let Some(link) = self.links.get_mut(&server) else { return false };
        if let State::Dialling(_, waiting) | State::Opening(_, waiting) = &mut link.state {
            let place = waiting.iter().position(|message| message.set_up() == Some(call));
            return place.map(|place| waiting.remove(place)).is_some();
        }
        let former = link.former.as_mut().map(|former| &mut former.conn);
        let present = if let State::Up(conn) = &mut link.state { Some(conn) } else { None };
        former.into_iter().chain(present).any(|conn| conn.withdraw(call))
    }

    /// Puts a test on one connection.
    pub fn test(&mut self, id: LinkId, call: CallId, now: Micros) -> bool {
        let Some(link) = self.links.get_mut(&id.server) else { return false };
        match (&mut link.state, &mut link.former) {
            (State::Up(conn), _) if conn.epoch == id.epoch => conn.post(ToServer::Probe(call), now).is_ok(),
            (_, Some(former)) if former.conn.epoch == id.epoch => {
                former.conn.post(ToServer::Probe(call), now).is_ok()
            }
            _ => false,
        }
    }

    /// Takes back the set-ups to a server that takes nothing new of which no byte has left: they wait for a
    /// connection, or for one that takes nothing now.
    pub fn take_waiting(&mut self, server: ServerId) -> Vec<CallId> {
        let Some(link) = self.links.get_mut(&server) else { return Vec::new() };
        let mut waited = link.former.as_mut().map(|former| former.conn.take_queued()).unwrap_or_default();
        waited.extend(match &mut link.state {
            State::Dialling(_, waiting) | State::Opening(_, waiting) => set_ups(waiting),
            State::Up(conn) => conn.take_queued(),
            State::Down(_) => Vec::new(),
        });
        waited
    }

    /// Servers that have been out of reach for too long; each is named once, until it gives a sign.
    pub fn out_of_reach(&mut self, silence: Silence) -> Vec<OutOfReach> {
        let overdue = &mut self.overdue;
        let late = self.links.iter_mut().filter_map(|(server, link)| {
            let at = link.out_of_reach_at()?;
            link.given_up = silence.lasts(at, overdue);
            let silent_for = silence.now - link.heard;
            link.given_up.then_some(OutOfReach { server: *server, silent_for })
        });
        late.collect()
    }
}

/// Takes the set-ups out of what waits.
fn set_ups(waiting: &mut Vec<ToServer>) -> Vec<CallId> {
    let taken = waiting.extract_if(.., |message| message.is_attempt());
    taken.filter_map(|message| message.set_up()).collect()
}

#[cfg(test)]
mod tests;
