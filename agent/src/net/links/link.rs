//! The connections to one server: the present one, the one that it replaces, and the one that is being
//! dialled.

use steprelay_core::{LinkLoss, NotSent};
use steprelay_decisions::{CallId, Micros, ServerId};

use super::connection::{Conn, ResponseTimes};
use super::pending_releases::PendingReleases;
use super::{LinkAction, FOLLOW_UP_DELAY, MIN_DIAL_TIME, MIN_REPLACEMENT_INTERVAL};
use crate::ports::{Endpoint, LinkId, ToServer, UNREACHABLE_TIMEOUT};

pub const MIN_REDIAL_DELAY: Micros = 100_000;
const MAX_REDIAL_DELAY: Micros = 1_000_000;

/// The first connection, while new messages go to its replacement.
pub struct Previous {
    pub conn: Conn,
    pub since: Micros,
    /// When the replacement received its first response.
    pub replacement_confirmed: Option<Micros>,
}

impl Previous {
    /// Whether the connection has received something since it was taken for silent.
    pub fn has_recovered(&self) -> bool {
        self.conn.last_received > self.since
    }
}

/// The process of a server may have ended: a connection was refused while none was open. It may also be the
/// process from before, which holds as many connections as it accepts. The calls established before are
/// released unless it names one of them in time.
#[derive(Clone, Copy, Debug)]
pub struct SuspectedEnd {
    /// The last activity before the first refusal.
    last_received: Micros,
    first_refused: Micros,
    latest_refused: Micros,
}

pub enum State {
    /// Without a connection; redialled at this time.
    Down(Micros),
    /// Waiting messages are sent when the connection is established, or reported as not sent when the dial
    /// fails.
    Dialling(u64, Vec<ToServer>),
    /// Established. Waiting messages are sent once it is known which callers are still connected.
    Opening(Conn, Vec<ToServer>),
    Up(Conn),
}

/// A server and its connections.
pub struct Link {
    pub endpoint: Endpoint,
    pub state: State,
    pub previous: Option<Previous>,
    /// Epoch of a replacement that is being dialled, and the earliest time for the next one.
    pub replacement: Option<u64>,
    pub replacement_after: Micros,
    /// When an additional connection is dialled regardless of the state of this one.
    pub follow_up: Option<Micros>,
    /// Releases to be sent on the next connection, for servers of the platform.
    pub pending_releases: PendingReleases,
    /// When a heartbeat was sent to a silent peer of the M3UA front.
    pub heartbeat_sent: Option<Micros>,
    pub redial_delay: Micros,
    /// Whether the server has no connection after it had one.
    pub was_lost: bool,
    /// When the server last showed activity: it sent a message on any connection, accepted a connection or
    /// closed one.
    pub last_received: Micros,
    /// When the server was first dialled after `last_received`.
    pub dialled_at: Option<Micros>,
    /// Whether the server was reported as unreachable and has shown no activity since.
    pub is_unreachable: bool,
    pub suspected_end: Option<SuspectedEnd>,
}

impl Link {
    pub fn new(endpoint: Endpoint, now: Micros) -> Self {
        Link {
            endpoint,
            state: State::Down(now),
            previous: None,
            replacement: None,
            replacement_after: now,
            follow_up: None,
            pending_releases: PendingReleases::default(),
            heartbeat_sent: None,
            redial_delay: MIN_REDIAL_DELAY,
            was_lost: false,
            last_received: now,
            dialled_at: None,
            is_unreachable: false,
            suspected_end: None,
        }
    }

    /// Closes all connections of the server; returns the attempts that may have reached it.
    pub fn end(&mut self, next: State) -> Vec<CallId> {
        self.replacement = None;
        self.heartbeat_sent = None;
        let mut out = self.end_previous();
        match std::mem::replace(&mut self.state, next) {
            State::Up(conn) => out.extend(conn.close(&mut self.pending_releases)),
            State::Opening(conn, waiting) => {
                out.extend(conn.close(&mut self.pending_releases));
                self.store_releases(waiting);
            }
            State::Dialling(_, waiting) => self.store_releases(waiting),
            State::Down(_) => {}
        }
        out
    }

    /// Whether a connection to the server is open.
    pub fn is_connected(&self) -> bool {
        matches!(self.state, State::Opening(..) | State::Up(_))
    }

    /// Handles the loss of the present connection, or the failure of its dial; returns the attempts that may
    /// have reached the server on it. Where the connection that it has replaced is still open, messages are
    /// sent on that one again.
    pub fn present_lost(&mut self, loss: LinkLoss, now: Micros) -> Vec<CallId> {
        let was_up = matches!(loss, LinkLoss::Dropped | LinkLoss::Unreadable);
        // The end of an M3UA server's association may be reported as the failure of the dial that follows it.
        let was_connected = self.is_connected();
        if was_up {
            self.received(now);
        } else if loss == LinkLoss::Refused && (self.was_lost || was_connected) {
            self.suspect_end(now);
        }
        if loss == LinkLoss::Unreadable {
            self.follow_up(loss, now);
        }
        let pause = if was_up { 0 } else { self.redial_delay };
        self.increase_redial_delay();
        let (previous, replacement) = (self.previous.take(), self.replacement);
        let out = self.end(State::Down(now + pause));
        if let Some(previous) = previous {
            self.state = State::Up(previous.conn);
            self.replacement = replacement;
            self.follow_up(loss, now);
        } else if was_connected {
            self.was_lost = true;
        }
        out
    }

    /// Has a further connection dialled, since what the server wrote to the one that was lost arrives on the
    /// next one that is opened.
    pub fn follow_up(&mut self, loss: LinkLoss, now: Micros) {
        let delay = if loss == LinkLoss::Unreadable { FOLLOW_UP_DELAY } else { 0 };
        self.follow_up = Some(now + delay);
    }

    /// Handles the failed dial of a replacement. The present connection stays open: a server may accept no
    /// second one, and some connections come up late or never. A dying process resets its connections.
    ///
    /// Returns the attempts that were given up. That is so where the server may have vanished: the present
    /// connection is silent, and the dial was not answered. A machine that refuses a connection is there.
    pub fn replacement_failed(
        &mut self,
        loss: LinkLoss,
        response_times: ResponseTimes,
        now: Micros,
    ) -> Vec<CallId> {
        self.replacement = None;
        self.replacement_after = self.replacement_after.max(now + self.redial_delay);
        self.increase_redial_delay();
        match &mut self.state {
            State::Up(conn) if loss == LinkLoss::Unanswered && conn.is_silent(response_times, now) => {
                conn.give_up_attempts(now)
            }
            _ => Vec::new(),
        }
    }

    fn increase_redial_delay(&mut self) {
        self.redial_delay = (2 * self.redial_delay).min(MAX_REDIAL_DELAY);
    }

    fn suspect_end(&mut self, now: Micros) {
        let (last_received, first_refused) = (self.last_received, now);
        let suspected = SuspectedEnd { last_received, first_refused, latest_refused: now };
        self.suspected_end.get_or_insert(suspected).latest_refused = now;
    }

    /// The server has named a call on a current connection that was established at this time: its process was
    /// there then.
    pub fn confirm_process(&mut self, established: Micros) {
        let Some(suspected) = &mut self.suspected_end else { return };
        if established < suspected.first_refused {
            self.suspected_end = None;
        } else if established < suspected.latest_refused {
            suspected.latest_refused = suspected.first_refused;
        }
    }

    /// When the calls of a process that is suspected to have ended count as ended, and the time before which
    /// those calls were established.
    pub fn suspected_end_due(&self) -> Option<(Micros, Micros)> {
        let due = |suspected: SuspectedEnd| suspected.last_received + UNREACHABLE_TIMEOUT;
        self.suspected_end.map(|suspected| (due(suspected), suspected.latest_refused))
    }

    /// Closes the first connection; returns the attempts that may have reached the server on it.
    pub fn end_previous(&mut self) -> Vec<CallId> {
        let previous = self.previous.take();
        previous.map(|previous| previous.conn.close(&mut self.pending_releases)).unwrap_or_default()
    }

    pub fn store_releases(&mut self, waiting: Vec<ToServer>) {
        for message in waiting {
            if let ToServer::Release(call, cause) = message {
                self.pending_releases.release(call, cause);
            }
        }
    }

    /// Queues a message on the present connection, where there is one.
    pub fn post(&mut self, message: ToServer, now: Micros) -> Result<(), NotSent> {
        let call = message.set_up();
        let State::Up(conn) = &mut self.state else { return Err(NotSent::Unreachable) };
        conn.post(message, now)?;
        if let Some(call) = call {
            self.attempt_sent(call);
        }
        Ok(())
    }

    /// A further attempt of a call is sent to the server: the releases of earlier ones are not sent again.
    fn attempt_sent(&mut self, call: CallId) {
        self.pending_releases.forget(call);
        if let Some(previous) = &mut self.previous {
            previous.conn.releases.forget(call);
        }
        if let State::Up(conn) = &mut self.state {
            conn.releases.forget(call);
        }
    }

    /// Sends the pending releases on the established connection.
    pub fn send_pending_releases(&mut self, now: Micros) {
        let Link {
            state: State::Up(conn), previous, pending_releases, endpoint: Endpoint::Platform(_), ..
        } = self
        else {
            return;
        };
        if pending_releases.is_empty() {
            return;
        }
        let previous_has =
            |call| previous.as_ref().is_some_and(|previous| previous.conn.attempts.contains_key(&call));
        for message in pending_releases.take(|call| conn.attempts.contains_key(&call) || previous_has(call)) {
            let ToServer::Release(call, cause) = message else { continue };
            if conn.post(message, now).is_err() {
                pending_releases.release(call, cause);
            }
        }
    }

    /// Records activity of the server.
    pub fn received(&mut self, now: Micros) {
        (self.last_received, self.dialled_at, self.is_unreachable) = (now, None, false);
    }

    /// When the server counts as unreachable, unless it shows activity before that.
    pub fn unreachable_at(&self) -> Option<Micros> {
        let dialled = self.dialled_at.filter(|_| !self.is_unreachable)?;
        Some((self.last_received + UNREACHABLE_TIMEOUT).max(dialled + MIN_DIAL_TIME))
    }

    /// Returns the dial of a replacement connection, unless one is being dialled already.
    pub fn dial_replacement(
        &mut self,
        server: ServerId,
        last_epoch: &mut u64,
        now: Micros,
    ) -> Option<LinkAction> {
        if self.replacement.is_some() || !matches!(self.state, State::Up(_)) {
            return None;
        }
        // The previous connection is finished first, so that what the server wrote to it meanwhile arrives on
        // the next one.
        if let Some(previous) = self.previous.take_if(|previous| previous.conn.attempts.is_empty()) {
            previous.conn.finish();
        }
        *last_epoch += 1;
        self.dialled_at.get_or_insert(now);
        self.replacement = Some(*last_epoch);
        self.replacement_after = now + MIN_REPLACEMENT_INTERVAL;
        Some(LinkAction::DialReplacement(LinkId { server, epoch: *last_epoch }, self.endpoint))
    }
}
