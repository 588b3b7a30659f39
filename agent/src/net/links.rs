//! The connections to check servers: one for each server, dialled as soon as the server is listed and
//! redialled when it is lost.
//!
//! A connection can go silent without being closed. Where a response has been outstanding for too long, a
//! second connection is dialled and takes over new messages. The first is closed once the second has brought
//! a response and the first has not. A further connection is dialled then, since a server sends the releases
//! that it wrote to a dead connection on the next one that is opened. Where the first connection responds
//! too, it stays open: a release may be on its way on it. It also stays open where the second one does not
//! come up.
//!
//! What shows that established calls have ended with their server: the server list, or that nothing was
//! received for [`UNREACHABLE_TIMEOUT`]. A refused connection does not, since a server that holds as many
//! connections as it accepts refuses others; it counts if the server names no earlier call for that time.

use std::collections::BTreeMap;

use steprelay_core::{LinkLoss, NotSent};
use steprelay_decisions::{CallId, Micros, ServerId};

use crate::ports::conn::{Outbox, Weight};
use crate::ports::{Endpoint, LinkId, ToServer, UNREACHABLE_TIMEOUT};

mod connection;
mod link;
mod pending_releases;

use connection::{Conn, ResponseTimes, MAX_PATIENCE, MIN_IDLE_TIME};
use link::{Link, Previous, State, MIN_REDIAL_DELAY};

/// A dial that is in progress for less than this does not show yet that its server is unreachable.
const MIN_DIAL_TIME: Micros = 500_000;
/// Where both connections were probed and the second has responded, the first has this much longer to
/// respond.
const RESPONSE_GRACE: Micros = 80_000;
/// Where neither connection responds, the first is closed after this time.
const REPLACEMENT_TIMEOUT: Micros = 3_000_000;
/// A silent connection is detected, or has a replacement, within this time of its last message.
const MAX_DETECTION_TIME: Micros = 7_000_000;
const _: () = assert!(
    MIN_IDLE_TIME + MAX_PATIENCE + REPLACEMENT_TIMEOUT <= MAX_DETECTION_TIME
        && MAX_DETECTION_TIME < UNREACHABLE_TIMEOUT
);
/// Minimum time between two replacement connections: on a bad path, the replacement may soon be silent too.
const MIN_REPLACEMENT_INTERVAL: Micros = 300_000;
/// Delay of the additional connection that is dialled after a connection was closed on this side: what its
/// server wrote before it noticed the close arrives on the next connection that is opened, and the redial may
/// be accepted before the server notices.
const FOLLOW_UP_DELAY: Micros = 150_000;
/// A peer of the M3UA front has a single association. A heartbeat is acknowledged within this time, or the
/// association is closed.
const HEARTBEAT_TIMEOUT: Micros = 2_000_000;

/// A server from which nothing was received for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachableServer {
    pub server: ServerId,
    /// Time since the last activity.
    pub silent_for: Micros,
}

/// An action that a silent connection requires.
pub enum LinkAction {
    /// The connection is probed.
    Probe(LinkId),
    /// A replacement connection is dialled.
    DialReplacement(LinkId, Endpoint),
    /// An additional connection is dialled after one that was closed on this side.
    DialFollowUp(LinkId, Endpoint),
    /// These attempts were lost with a connection that is closed.
    AttemptsLost(ServerId, Vec<CallId>),
}

#[derive(Default)]
pub struct Links {
    links: BTreeMap<ServerId, Link>,
    last_epoch: u64,
    response_times: ResponseTimes,
    has_opening: bool,
    /// A deadline has passed for which the messages that have arrived were not read yet.
    overdue: bool,
}

/// The time up to which the silence of a server can be judged.
#[derive(Clone, Copy)]
pub struct ReadProgress {
    pub now: Micros,
    /// Everything that had arrived by this time was read. Later messages of a peer may wait in its socket: a
    /// late iteration of this process is not the peer's silence.
    pub read_until: Micros,
}

impl ReadProgress {
    /// Whether the time `until` has passed for everything that was read; sets `overdue` where reading has to
    /// catch up first.
    fn has_passed(self, until: Micros, overdue: &mut bool) -> bool {
        *overdue |= self.now >= until && self.read_until < until;
        self.read_until >= until
    }
}

impl Links {
    /// Sets the address of a server; returns whether an earlier connection to it was closed.
    pub fn set_address(&mut self, server: ServerId, endpoint: Endpoint, now: Micros) -> bool {
        let same = self.links.get(&server).is_some_and(|link| link.endpoint == endpoint);
        if same {
            return false;
        }
        let was_known = self.remove(server);
        self.links.insert(server, Link::new(endpoint, now));
        was_known
    }

    /// The address of a server.
    pub fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.links.get(&server).map(|link| link.endpoint)
    }

    /// Removes a server and closes its connections; returns whether it was known.
    pub fn remove(&mut self, server: ServerId) -> bool {
        let link = self.links.remove(&server);
        link.map(|mut link| link.end(State::Down(0))).is_some()
    }

    /// Whether the id is that of a current connection to its server.
    pub fn is_current(&self, id: LinkId) -> bool {
        self.links.get(&id.server).is_some_and(|link| {
            let present = match &link.state {
                State::Down(_) => None,
                State::Dialling(epoch, _) => Some(*epoch),
                State::Opening(conn, _) | State::Up(conn) => Some(conn.epoch),
            };
            let previous = link.previous.as_ref().map(|previous| previous.conn.epoch);
            [present, link.replacement, previous].contains(&Some(id.epoch))
        })
    }

    /// Whether the id is that of a replacement connection that is being dialled.
    pub fn is_replacement(&self, id: LinkId) -> bool {
        self.links.get(&id.server).is_some_and(|link| link.replacement == Some(id.epoch))
    }

    /// Returns the connections that are due to be dialled, and marks them as dialling.
    pub fn take_due_dials(&mut self, now: Micros) -> Vec<(LinkId, Endpoint)> {
        let mut due = Vec::new();
        for (server, link) in &mut self.links {
            if matches!(link.state, State::Down(at) if at <= now) {
                self.last_epoch += 1;
                link.dialled_at.get_or_insert(now);
                link.state = State::Dialling(self.last_epoch, Vec::new());
                due.push((LinkId { server: *server, epoch: self.last_epoch }, link.endpoint));
            }
        }
        due
    }

    /// Whether no server's first dial is in progress.
    pub fn are_settled(&self) -> bool {
        !self.links.values().any(|link| matches!(link.state, State::Dialling(..)) && !link.was_lost)
    }

    /// Whether pending input has to be read before a silence can be judged.
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
            let suspected_end = link.suspected_end_due().map(|(at, _)| at);
            [dialled_at, link.unreachable_at(), suspected_end]
        });
        times.flatten().min()
    }

    /// Handles an established connection. Where it is a replacement, both connections are to be probed, which
    /// shows whether the first one is dead or its server is only slow. Returns the connections to probe, and
    /// the attempts lost with an older connection.
    pub fn connected(
        &mut self,
        id: LinkId,
        outbox: Outbox<ToServer>,
        now: Micros,
    ) -> (Vec<LinkId>, Vec<CallId>) {
        let Some(link) = self.links.get_mut(&id.server) else { return Default::default() };
        (link.redial_delay, link.was_lost, link.heartbeat_sent) = (MIN_REDIAL_DELAY, false, None);
        link.received(now);
        let conn = Conn::new(id.epoch, outbox, now);
        match std::mem::replace(&mut link.state, State::Up(conn)) {
            State::Up(conn) => {
                link.replacement = None;
                let first = LinkId { server: id.server, epoch: conn.epoch };
                let out = link.end_previous();
                link.previous = Some(Previous { conn, since: now, replacement_confirmed: None });
                link.send_pending_releases(now);
                (vec![first, id], out)
            }
            State::Dialling(_, waiting) if !waiting.is_empty() => {
                if let State::Up(conn) = std::mem::replace(&mut link.state, State::Down(now)) {
                    link.state = State::Opening(conn, waiting);
                    self.has_opening = true;
                }
                Default::default()
            }
            State::Dialling(..) | State::Opening(..) | State::Down(_) => {
                link.send_pending_releases(now);
                Default::default()
            }
        }
    }

    /// Whether messages that waited for a connection are about to be sent.
    pub fn has_opening(&self) -> bool {
        self.has_opening
    }

    /// Sends the messages that waited for connections now established; returns the attempts that the
    /// connections do not accept.
    pub fn send_waiting(&mut self, now: Micros) -> Vec<(ServerId, CallId, NotSent)> {
        let mut left = Vec::new();
        if !std::mem::take(&mut self.has_opening) {
            return left;
        }
        for (server, link) in &mut self.links {
            match std::mem::replace(&mut link.state, State::Down(now)) {
                State::Opening(conn, waiting) => {
                    link.state = State::Up(conn);
                    link.send_pending_releases(now);
                    for message in waiting {
                        let call = message.set_up();
                        if let Err(reason) = link.post(message, now) {
                            left.extend(call.map(|call| (*server, call, reason)));
                        }
                    }
                }
                state => link.state = state,
            }
        }
        left
    }

    /// Handles a lost connection or a failed dial; returns the attempts that may have reached the server.
    pub fn connection_lost(&mut self, id: LinkId, loss: LinkLoss, now: Micros) -> Vec<CallId> {
        let response_times = self.response_times;
        let Some(link) = self.links.get_mut(&id.server) else { return Vec::new() };
        if link.previous.as_ref().is_some_and(|previous| previous.conn.epoch == id.epoch) {
            link.follow_up(loss, now);
            return link.end_previous();
        }
        if link.replacement == Some(id.epoch) {
            return link.replacement_failed(loss, response_times, now);
        }
        link.present_lost(loss, now)
    }

    /// Has a further connection dialled to each server: what a server told an earlier process in vain, it
    /// tells again on the next one.
    pub fn follow_up_all(&mut self, now: Micros) {
        for link in self.links.values_mut() {
            if matches!(link.endpoint, Endpoint::Platform(_)) {
                link.follow_up = Some(now);
            }
        }
    }

    /// Whether a connection to the server is open.
    pub fn is_connected(&self, server: ServerId) -> bool {
        self.links.get(&server).is_some_and(Link::is_connected)
    }

    /// The server has named a call on a current connection that was established at this time.
    pub fn confirm_process(&mut self, server: ServerId, established: Micros) {
        if let Some(link) = self.links.get_mut(&server) {
            link.confirm_process(established);
        }
    }

    /// Whether the present attempt of a call was sent on this connection. A message about another attempt
    /// says nothing about the present one.
    pub fn holds_attempt(&self, id: LinkId, call: CallId) -> bool {
        let Some(link) = self.links.get(&id.server) else { return false };
        let previous = link.previous.as_ref().map(|previous| &previous.conn);
        let present = if let State::Up(conn) = &link.state { Some(conn) } else { None };
        let conn = previous.into_iter().chain(present).find(|conn| conn.epoch == id.epoch);
        conn.is_some_and(|conn| conn.attempts.contains_key(&call))
    }

    /// Handles a received message: `about` is its call, if it has one; `probe_answered` is true for the
    /// response to a probe.
    pub fn received(&mut self, id: LinkId, about: Option<CallId>, probe_answered: bool, now: Micros) {
        let Some(link) = self.links.get_mut(&id.server) else { return };
        link.received(now);
        match (&mut link.state, &mut link.previous) {
            (State::Up(conn), previous) if conn.epoch == id.epoch => {
                link.heartbeat_sent = None;
                if let Some(since) = conn.awaiting_since {
                    self.response_times.record((now - since).min(MAX_PATIENCE));
                }
                if conn.received(about, now) || probe_answered {
                    if let Some(previous) = previous {
                        previous.replacement_confirmed.get_or_insert(now);
                    }
                }
            }
            (_, Some(previous)) if previous.conn.epoch == id.epoch => {
                previous.conn.received(about, now);
            }
            _ => {}
        }
    }

    /// Returns the actions for silent connections. `has_established_calls` tells whether a server has
    /// established calls.
    pub fn check_silence(
        &mut self,
        progress: ReadProgress,
        has_established_calls: impl Fn(ServerId) -> bool,
    ) -> Vec<LinkAction> {
        let (now, mut overdue) = (progress.now, false);
        let mut found = Vec::new();
        for (&server, link) in &mut self.links {
            link.send_pending_releases(now);
            let is_up = matches!(link.state, State::Up(_));
            let follows = is_up && link.follow_up.take_if(|at| *at <= now).is_some();
            // An existing replacement serves the purpose.
            if follows && link.previous.is_none() {
                if let Some(LinkAction::DialReplacement(id, endpoint)) =
                    link.dial_replacement(server, &mut self.last_epoch, now)
                {
                    found.push(LinkAction::DialFollowUp(id, endpoint));
                }
            }
            if let Some(previous) = link.previous.as_ref().filter(|previous| !previous.has_recovered()) {
                let until = previous
                    .replacement_confirmed
                    .map_or(previous.since + REPLACEMENT_TIMEOUT, |at| at + RESPONSE_GRACE);
                if progress.has_passed(until, &mut overdue) {
                    let out = link.end_previous();
                    found.push(LinkAction::AttemptsLost(server, out));
                    found.extend(link.dial_replacement(server, &mut self.last_epoch, now));
                }
                continue;
            }
            let State::Up(conn) = &mut link.state else { continue };
            let this = LinkId { server, epoch: conn.epoch };
            let silent_from = conn.silent_from(self.response_times);
            if !silent_from.is_some_and(|from| progress.has_passed(from, &mut overdue)) {
                if conn.is_idle(self.response_times, now) && has_established_calls(server) {
                    found.push(LinkAction::Probe(this));
                }
                continue;
            }
            match (link.endpoint, link.heartbeat_sent) {
                (Endpoint::Platform(_), _) if now >= link.replacement_after => {
                    found.extend(link.dial_replacement(server, &mut self.last_epoch, now));
                }
                (Endpoint::Platform(_), _) => {}
                (Endpoint::M3ua(_), None) => {
                    link.heartbeat_sent = Some(now);
                    found.push(LinkAction::Probe(this));
                }
                (Endpoint::M3ua(_), Some(at))
                    if progress.has_passed(at + HEARTBEAT_TIMEOUT, &mut overdue) =>
                {
                    link.was_lost = true;
                    found.push(LinkAction::AttemptsLost(server, link.end(State::Down(now))));
                }
                (Endpoint::M3ua(_), Some(_)) => {}
            }
        }
        self.overdue = overdue;
        found
    }

    /// Queues a message; an error is the reason why it is certainly not sent.
    pub fn post(&mut self, server: ServerId, message: ToServer, now: Micros) -> Result<(), NotSent> {
        let Some(link) = self.links.get_mut(&server) else { return Err(NotSent::Unreachable) };
        if let (ToServer::Cancel(call), Some(previous)) = (&message, &mut link.previous) {
            if previous.conn.attempts.contains_key(call) {
                return previous.conn.post(message, now);
            }
        }
        match &mut link.state {
            State::Up(_) => link.post(message, now),
            State::Dialling(_, waiting) | State::Opening(_, waiting) => {
                match message {
                    // Neither message needs to be sent: the set-up has not left.
                    ToServer::Cancel(call) => {
                        self.withdraw(server, call);
                    }
                    message => waiting.push(message),
                }
                Ok(())
            }
            State::Down(_) => match message {
                ToServer::Release(call, cause) if matches!(link.endpoint, Endpoint::Platform(_)) => {
                    link.pending_releases.release(call, cause);
                    Ok(())
                }
                _ => Err(NotSent::Unreachable),
            },
        }
    }

    /// Whether all messages to connected servers were written.
    pub fn are_flushed(&self) -> bool {
        let previous =
            |link: &Link| link.previous.as_ref().is_none_or(|previous| previous.conn.outbox.is_flushed());
        let present = |link: &Link| match &link.state {
            State::Up(conn) => conn.outbox.is_flushed(),
            _ => true,
        };
        self.links.values().all(|link| previous(link) && present(link))
    }

    /// Withdraws a set-up, unless its first byte was written; returns whether it was withdrawn.
    pub fn withdraw(&mut self, server: ServerId, call: CallId) -> bool {
        let Some(link) = self.links.get_mut(&server) else { return false };
        if let State::Dialling(_, waiting) | State::Opening(_, waiting) = &mut link.state {
            let place = waiting.iter().position(|message| message.set_up() == Some(call));
            return place.map(|place| waiting.remove(place)).is_some();
        }
        let previous = link.previous.as_mut().map(|previous| &mut previous.conn);
        let present = if let State::Up(conn) = &mut link.state { Some(conn) } else { None };
        previous.into_iter().chain(present).any(|conn| conn.withdraw(call))
    }

    /// Sends a probe on one connection; returns whether it was queued.
    pub fn probe(&mut self, id: LinkId, call: CallId, now: Micros) -> bool {
        let Some(link) = self.links.get_mut(&id.server) else { return false };
        match (&mut link.state, &mut link.previous) {
            (State::Up(conn), _) if conn.epoch == id.epoch => conn.post(ToServer::Probe(call), now).is_ok(),
            (_, Some(previous)) if previous.conn.epoch == id.epoch => {
                previous.conn.post(ToServer::Probe(call), now).is_ok()
            }
            _ => false,
        }
    }

    /// Withdraws the set-ups to a server that accepts no new ones, as far as no byte of them was written:
    /// they wait for a connection, or in the send queue of a blocked one.
    pub fn withdraw_all(&mut self, server: ServerId) -> Vec<CallId> {
        let Some(link) = self.links.get_mut(&server) else { return Vec::new() };
        let mut waited =
            link.previous.as_mut().map(|previous| previous.conn.take_queued()).unwrap_or_default();
        waited.extend(match &mut link.state {
            State::Dialling(_, waiting) | State::Opening(_, waiting) => set_ups(waiting),
            State::Up(conn) => conn.take_queued(),
            State::Down(_) => Vec::new(),
        });
        waited
    }

    /// Returns the servers that became unreachable; each is returned once, until it shows activity.
    pub fn take_unreachable(&mut self, progress: ReadProgress) -> Vec<UnreachableServer> {
        let overdue = &mut self.overdue;
        let late = self.links.iter_mut().filter_map(|(server, link)| {
            let at = link.unreachable_at()?;
            link.is_unreachable = progress.has_passed(at, overdue);
            let silent_for = progress.now - link.last_received;
            link.is_unreachable.then_some(UnreachableServer { server: *server, silent_for })
        });
        late.collect()
    }

    /// Returns the servers whose process is suspected to have ended and has named no earlier call in time,
    /// each with the time before which the calls were established that count as ended.
    pub fn take_suspected_ends(&mut self, progress: ReadProgress) -> Vec<(ServerId, Micros)> {
        let overdue = &mut self.overdue;
        let due = self.links.iter_mut().filter_map(|(server, link)| {
            let (at, before) = link.suspected_end_due()?;
            let is_due = progress.has_passed(at, overdue);
            link.suspected_end.take_if(|_| is_due).map(|_| (*server, before))
        });
        due.collect()
    }

    /// The servers that are unreachable.
    pub fn unreachable(&self) -> Vec<ServerId> {
        let unreachable = self.links.iter().filter(|(_, link)| link.is_unreachable);
        unreachable.map(|(server, _)| *server).collect()
    }
}

/// Removes the set-ups from the waiting messages.
fn set_ups(waiting: &mut Vec<ToServer>) -> Vec<CallId> {
    let taken = waiting.extract_if(.., |message| message.is_attempt());
    taken.filter_map(|message| message.set_up()).collect()
}

#[cfg(test)]
mod tests;
