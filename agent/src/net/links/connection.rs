//! One open connection to a server: its unanswered attempts, and the criteria by which it counts as silent or
//! idle.

use std::collections::BTreeMap;

use steprelay_core::{NotSent, ReleaseCause};
use steprelay_decisions::{CallId, Micros};

use super::pending_releases::{PendingReleases, RecentReleases};
use super::{MAX_DETECTION_TIME, REPLACEMENT_TIMEOUT};
use crate::ports::conn::Outbox;
use crate::ports::dispatch::Dispatch;
use crate::ports::ToServer;

/// A connection counts as silent when a response has been outstanding for this many times its longest recent
/// response time, or for longer than the response times of all servers suggest if that is more, within these
/// bounds: a server that is short of processor time responds late on a healthy connection, and little is
/// known of a server that rarely gets requests.
const PATIENCE_FACTOR: Micros = 3;
pub const MIN_PATIENCE: Micros = 120_000;
pub const MAX_PATIENCE: Micros = 2_000_000;
/// The recorded longest response time falls by this fraction with each shorter one. It does not decay with
/// time: for a server that gets a request every few seconds, the one response before would be all that
/// counts.
const DECAY_DIVISOR: Micros = 10;
/// The slow response time that is assumed before any was measured.
const INITIAL_SLOW_RESPONSE: Micros = 1_000_000;
/// A connection with established calls is probed once nothing was received for this many times the mean
/// interval between its messages, since the releases of these calls arrive on it; but not within the first
/// second. Probes are work for servers, and those of all call agents add up: where messages are rare anyway,
/// an interval tells little, and the limit for a release alone determines the time.
const IDLE_FACTOR: Micros = 3;
pub const MIN_IDLE_TIME: Micros = 1_000_000;
/// The weight of a new interval in the mean is one divided by this.
const MEAN_DIVISOR: Micros = 8;

/// Response times of all servers: mean and mean deviation, and the bound that follows from them, as RFC 6298
/// (2.1 to 2.3) computes it for one connection.
#[derive(Clone, Copy, Default)]
pub struct ResponseTimes(pub Option<(Micros, Micros)>);

impl ResponseTimes {
    pub fn record(&mut self, time: Micros) {
        self.0 = Some(match self.0 {
            None => (time, time / 2),
            Some((mean, deviation)) => {
                let difference = (mean - time).abs();
                (mean - mean / 8 + time / 8, deviation - deviation / 4 + difference / 4)
            }
        });
    }

    /// A response that takes longer than this is unusually slow.
    pub fn slow_response(self) -> Micros {
        self.0.map_or(INITIAL_SLOW_RESPONSE, |(mean, deviation)| mean + 4 * deviation)
    }
}

/// An open connection.
pub struct Conn {
    pub epoch: u64,
    pub outbox: Outbox<ToServer>,
    /// Attempts that wait for an answer on this connection.
    pub attempts: BTreeMap<CallId, Dispatch>,
    pub last_received: Micros,
    /// Since when a response is outstanding, and the longest recent response time.
    pub awaiting_since: Option<Micros>,
    pub longest_response: Micros,
    /// When the last message about a call was received, and the mean interval between two.
    pub last_message: Micros,
    pub mean_interval: Option<Micros>,
    pub releases: RecentReleases,
    /// Whether the attempts were given up since the server may have vanished, and nothing was received since.
    /// Set-ups are not accepted meanwhile.
    pub is_given_up: bool,
}

impl Conn {
    pub fn new(epoch: u64, outbox: Outbox<ToServer>, now: Micros) -> Self {
        Conn {
            epoch,
            outbox,
            attempts: BTreeMap::new(),
            last_received: now,
            awaiting_since: None,
            longest_response: 0,
            last_message: now,
            mean_interval: None,
            releases: RecentReleases::default(),
            is_given_up: false,
        }
    }

    pub fn post(&mut self, message: ToServer, now: Micros) -> Result<(), NotSent> {
        if self.is_given_up && message.set_up().is_some() {
            return Err(NotSent::Unreachable);
        }
        let out = match &message {
            ToServer::SetUp(set_up, dispatch) => Some((set_up.call, dispatch.clone())),
            // A set-up that was not sent needs no cancellation message.
            ToServer::Cancel(call)
                if self.attempts.remove(call).is_some_and(|dispatch| dispatch.cancel()) =>
            {
                return Ok(());
            }
            _ => None,
        };
        let expects_response = out.is_some() || matches!(message, ToServer::Probe(_));
        let released = match &message {
            ToServer::Release(call, cause) => Some((*call, *cause)),
            _ => None,
        };
        if !self.outbox.post(message) {
            let is_closed = self.outbox.is_closed();
            return Err(if is_closed { NotSent::Unreachable } else { NotSent::QueueFull });
        }
        if let Some((call, cause)) = released {
            self.releases.posted(now, call, cause);
        }
        if expects_response {
            self.attempts.extend(out);
            self.awaiting_since.get_or_insert(now);
        }
        Ok(())
    }

    /// Withdraws a set-up, unless its first byte was written; returns whether it was withdrawn.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        let queued =
            self.attempts.get(&call).is_some_and(|dispatch| !dispatch.has_begun() && dispatch.cancel());
        queued && self.attempts.remove(&call).is_some()
    }

    /// Withdraws all set-ups of which no byte was written.
    pub fn take_queued(&mut self) -> Vec<CallId> {
        let out: Vec<CallId> = self.attempts.keys().copied().collect();
        out.into_iter().filter(|call| self.withdraw(*call)).collect()
    }

    /// Gives up all attempts at their server and accepts no set-up until something is received; returns the
    /// attempts. The connection stays open for the releases of established calls.
    pub fn give_up_attempts(&mut self, now: Micros) -> Vec<CallId> {
        self.is_given_up = true;
        let calls: Vec<CallId> = self.attempts.keys().copied().collect();
        for &call in &calls {
            if self.withdraw(call) {
                continue;
            }
            if self.post(ToServer::Cancel(call), now).is_err() {
                // Its end gives up what the server cannot be told.
                self.outbox.cut();
            }
            self.releases.posted(now, call, ReleaseCause::NORMAL);
        }
        calls
    }

    /// Handles a received message; returns whether it answers an attempt.
    pub fn received(&mut self, about: Option<CallId>, now: Micros) -> bool {
        if let Some(since) = self.awaiting_since {
            self.longest_response =
                (self.longest_response - self.longest_response / DECAY_DIVISOR).max(now - since);
        }
        self.last_received = now;
        self.is_given_up = false;
        self.releases.received(now);
        if about.is_some() {
            let (interval, mean) = (now - self.last_message, self.mean_interval);
            self.mean_interval =
                Some(mean.map_or(interval, |mean| mean - mean / MEAN_DIVISOR + interval / MEAN_DIVISOR));
            self.last_message = now;
        }
        let answers = about.is_some_and(|call| self.attempts.remove(&call).is_some());
        self.awaiting_since = (!self.attempts.is_empty()).then_some(now);
        answers
    }

    /// How long a response may be outstanding.
    pub fn patience(&self, response_times: ResponseTimes) -> Micros {
        (PATIENCE_FACTOR * self.longest_response)
            .max(response_times.slow_response())
            .clamp(MIN_PATIENCE, MAX_PATIENCE)
    }

    /// When the connection counts as silent, where a response is outstanding.
    pub fn silent_from(&self, response_times: ResponseTimes) -> Option<Micros> {
        self.awaiting_since.map(|since| since + self.patience(response_times))
    }

    /// Whether a response has been outstanding for too long.
    pub fn is_silent(&self, response_times: ResponseTimes, now: Micros) -> bool {
        self.silent_from(response_times).is_some_and(|from| from <= now)
    }

    /// Whether no response is outstanding, and nothing was received for longer than is usual on this
    /// connection, or than the limit for a release allows: the detection that follows an unanswered probe
    /// takes time too.
    pub fn is_idle(&self, response_times: ResponseTimes, now: Micros) -> bool {
        let latest = MAX_DETECTION_TIME - REPLACEMENT_TIMEOUT - self.patience(response_times);
        let usual = self
            .mean_interval
            .map_or(latest, |interval| (IDLE_FACTOR * interval).clamp(MIN_IDLE_TIME, latest));
        self.awaiting_since.is_none() && now >= self.last_received + usual
    }

    /// Ends a healthy connection without unanswered attempts. The server may be writing a release on it at
    /// this moment, so it is read until the server closes it too.
    pub fn finish(self) {
        debug_assert!(self.attempts.is_empty());
        if !self.outbox.post(ToServer::Finish) {
            self.outbox.cut();
        }
    }

    pub fn close(self, pending_releases: &mut PendingReleases) -> Vec<CallId> {
        self.outbox.cut();
        let out: Vec<CallId> = self.attempts.into_keys().collect();
        pending_releases.connection_ended(&out, self.releases);
        out
    }
}
