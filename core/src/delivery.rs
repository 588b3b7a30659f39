//! Delivery of releases to callers. A release is delivered on one connection, and redelivered on another one
//! if the first does not acknowledge it, until a caller acknowledges it.
//!
//! | stage | meaning | next step |
//! | --- | --- | --- |
//! | pending | no connection could take the release | delivered on the next one that can |
//! | queued | it is in a connection's send queue | sent; withdrawn if the connection does not drain |
//! | sent | its last byte was sent | acknowledged; else the connection is checked for unread input |
//! | sent, no unread input | the caller did not acknowledge in time | redelivered |
//! | acknowledged | a caller knows of the release | removed |
//!
//! The acknowledgement timeout starts when the release has been sent, and expires only after the connection's
//! own reader has reported that it holds no unread input. So a delay of this process is never taken for a
//! missing acknowledgement. Redelivery to a caller that has already received the release would break the rule
//! that it is delivered once.

use std::collections::{BTreeMap, BTreeSet};

use steprelay_decisions::{CallId, Micros, ServerId};

use super::unclaimed::{PriorClaim, UnclaimedRelease};
use super::{CallState, ClientId, Core, Effect, ReleaseCause, TimerEvent};

/// How long the delivery of a release is attempted.
const DELIVERY_DEADLINE: Micros = 8_000_000;
/// Retry interval of a release that no connection could take.
const RETRY_INTERVAL: Micros = 150_000;
/// A release that was not sent within this time is withdrawn: its connection does not drain.
const SEND_TIMEOUT: Micros = 150_000;
/// Interval between two checks for unread input on a connection that has not acknowledged a release.
const UNREAD_CHECK_INTERVAL: Micros = 50_000;
/// How long a connection that may still acknowledge a release is kept open: while clients are drained, and
/// when it is idle.
pub const DRAIN_ACK_GRACE: Micros = 600_000;
pub const IDLE_ACK_GRACE: Micros = 250_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No connection could take it.
    Pending,
    /// It is in the send queue of its last recipient.
    Queued,
    /// Its last byte was sent on that connection at this time.
    Sent(Micros),
}

/// A release that no caller has acknowledged.
#[derive(Clone, Debug)]
struct Delivery {
    /// The client that made the call, if known.
    client: Option<ClientId>,
    server: ServerId,
    cause: ReleaseCause,
    since: Micros,
    /// The connections that it was delivered on, the last one last, and when it was queued on that one.
    recipients: Vec<ClientId>,
    delivered_at: Micros,
    stage: Stage,
    /// When it is checked again.
    due: Micros,
}

impl Delivery {
    fn is_last_recipient(&self, client: ClientId) -> bool {
        self.recipients.last() == Some(&client)
    }
}

/// The releases that no caller has acknowledged.
#[derive(Default)]
pub struct Deliveries {
    releases: BTreeMap<CallId, Delivery>,
    /// The releases that wait for a connection.
    pending: BTreeSet<CallId>,
}

impl Deliveries {
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    pub fn contains(&self, call: CallId) -> bool {
        self.releases.contains_key(&call)
    }

    pub fn state_of(&self, call: CallId) -> Option<CallState> {
        self.releases.get(&call).map(|release| CallState::ReleasePending(release.server, release.cause))
    }

    pub fn states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        self.releases
            .iter()
            .map(|(call, release)| (*call, CallState::ReleasePending(release.server, release.cause)))
    }

    /// The last recipients of releases that were delivered less than `within` ago and may still be
    /// acknowledged.
    pub fn unacknowledged(&self, now: Micros, within: Micros) -> BTreeSet<ClientId> {
        let may_be_acknowledged =
            |release: &&Delivery| release.stage != Stage::Pending && now < release.delivered_at + within;
        self.releases
            .values()
            .filter(may_be_acknowledged)
            .filter_map(|release| release.recipients.last().copied())
            .collect()
    }

    /// Whether the delivery of a release began before this moment.
    pub fn began_before(&self, call: CallId, moment: Micros) -> bool {
        self.releases.get(&call).is_some_and(|release| release.since < moment)
    }

    /// Whether the release was delivered on any connection.
    pub fn was_delivered(&self, call: CallId) -> bool {
        self.releases.get(&call).is_some_and(|release| !release.recipients.is_empty())
    }

    fn remove(&mut self, call: CallId) {
        self.releases.remove(&call);
        self.pending.remove(&call);
    }

    /// The release of a call, if this connection is its last recipient.
    fn delivered_to(&mut self, client: ClientId, call: CallId) -> Option<&mut Delivery> {
        self.releases.get_mut(&call).filter(|release| release.is_last_recipient(client))
    }
}

impl Core {
    /// Confirms a release to its server. With replication, the owner does that once the release is
    /// replicated.
    pub(super) fn confirm_release(&mut self, server: ServerId, call: CallId) {
        if !self.is_replicated() {
            self.effects.push(Effect::ConfirmRelease { server, call });
        }
    }

    /// Ends the delivery of a release, with its timer.
    pub(super) fn remove_delivery(&mut self, call: CallId) {
        self.deliveries.remove(call);
        self.timers.cancel(TimerEvent::DeliveryCheck(call));
    }

    /// Removes a release that was not delivered on any connection; returns whether there was one.
    pub(super) fn remove_undelivered(&mut self, call: CallId) -> bool {
        let release = self.deliveries.releases.get(&call);
        let is_undelivered = release.is_some_and(|release| release.recipients.is_empty());
        if is_undelivered {
            self.remove_delivery(call);
        }
        is_undelivered
    }

    /// The last byte of a release was sent on a connection at this time.
    pub fn release_sent(&mut self, at: Micros, client: ClientId, call: CallId) {
        if let Some(release) = self.deliveries.delivered_to(client, call) {
            release.stage = Stage::Sent(at);
            release.due = self.clients.ack_deadline(client, at, release.recipients.len());
        }
    }

    /// A queued release was withdrawn before its first byte was sent. If no other connection can take the
    /// release, the same one gets it again.
    pub fn release_withdrawn(&mut self, now: Micros, client: ClientId, call: CallId) {
        if self.take_back(client, call) {
            // The connection is the last choice until input is received on it.
            self.clients.set_unresponsive(client);
            self.deliver(now, call);
        }
    }

    /// Undoes the delivery on a connection; returns whether that connection was the last recipient.
    fn take_back(&mut self, client: ClientId, call: CallId) -> bool {
        let release = self.deliveries.delivered_to(client, call);
        let taken_back = release.map(|release| {
            release.stage = Stage::Pending;
            release.recipients.pop();
        });
        taken_back.is_some()
    }

    /// Called just before a release is sent; returns whether it must be withheld. That is so if its delivery
    /// began before ownership of calls became uncertain: the other members are asked first whether one has
    /// taken the call over.
    pub fn withhold_release(&mut self, now: Micros, client: ClientId, call: CallId) -> bool {
        let Some(release) = self.deliveries.delivered_to(client, call) else { return false };
        let (client_of_call, server, cause) = (release.client, release.server, release.cause);
        let (since, deliveries) = (release.since, release.recipients.len());
        if !self.is_ownership_uncertain(since) {
            return false;
        }
        if deliveries > 1 {
            // An earlier recipient may have acknowledged the release by now.
            return self.take_back(client, call);
        }
        self.remove_delivery(call);
        let prior_claim = PriorClaim::Unclaimed;
        self.hold_for_claims(
            now,
            call,
            UnclaimedRelease { client: client_of_call, server, cause, prior_claim },
        );
        true
    }

    /// Reply to [`Effect::CheckUnreadInput`]: the connection holds no input that was not handed on before
    /// this.
    pub fn no_unread_input(&mut self, now: Micros, client: ClientId, call: CallId) {
        let Some(release) = self.deliveries.delivered_to(client, call) else { return };
        let Stage::Sent(at) = release.stage else { return };
        if now >= self.clients.ack_deadline(client, at, release.recipients.len()) {
            self.clients.set_unresponsive(client);
            self.deliver(now, call);
        }
    }

    /// A client acknowledges a release.
    pub fn release_acknowledged(&mut self, now: Micros, client: ClientId, call: CallId) {
        self.clients.input_received(client, now);
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        if !release.recipients.contains(&client) {
            return;
        }
        let server = release.server;
        if let (Stage::Sent(at), true) = (release.stage, release.is_last_recipient(client)) {
            self.clients.release_acknowledged(now, client, at);
        }
        self.remove_delivery(call);
        self.confirm_release(server, call);
        if self.is_replicated() {
            self.effects.push(Effect::ReleaseAcknowledged { call });
        }
        self.publish_state(call, None, None);
    }

    /// Starts the delivery of a release, on a connection if one can take it.
    pub(super) fn start_delivery(
        &mut self,
        now: Micros,
        client: Option<ClientId>,
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
    ) {
        self.publish_state(call, Some(CallState::ReleasePending(server, cause)), None);
        let (recipients, stage) = (Vec::new(), Stage::Pending);
        let release =
            Delivery { client, server, cause, since: now, recipients, delivered_at: now, stage, due: now };
        self.deliveries.releases.insert(call, release);
        self.deliveries.pending.insert(call);
        self.check_delivery(now, call);
    }

    /// Advances the delivery of a release and schedules its next check, unless the delivery has ended.
    pub(super) fn check_delivery(&mut self, now: Micros, call: CallId) {
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        if release.due <= now && !self.is_ownership_uncertain(release.since) {
            self.advance(now, call);
        }
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        let at = match self.is_ownership_uncertain(release.since) {
            true => now + RETRY_INTERVAL,
            false => release.due.max(now + 1),
        };
        self.timers.schedule(at, TimerEvent::DeliveryCheck(call));
    }

    /// Takes the next step of a delivery that is due.
    fn advance(&mut self, now: Micros, call: CallId) {
        let Some(release) = self.deliveries.releases.get_mut(&call) else { return };
        if now >= release.since + DELIVERY_DEADLINE {
            return self.abandon_delivery(call);
        }
        let Some(&client) = release.recipients.last() else { return self.deliver(now, call) };
        match release.stage {
            Stage::Pending => self.deliver(now, call),
            Stage::Queued => {
                release.due = now + SEND_TIMEOUT;
                self.effects.push(Effect::WithdrawRelease { client, call });
            }
            Stage::Sent(at) => {
                let ack_deadline = self.clients.ack_deadline(client, at, release.recipients.len());
                if now < ack_deadline {
                    release.due = ack_deadline;
                    return;
                }
                release.due = now + UNREAD_CHECK_INTERVAL;
                self.effects.push(Effect::CheckUnreadInput { client, call });
            }
        }
    }

    /// Ends a delivery without acknowledgement at its deadline.
    fn abandon_delivery(&mut self, call: CallId) {
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        let deliveries = release.recipients.len();
        match self.deliveries.pending.contains(&call) {
            true => self.accounting.counts.releases_lost += 1,
            false => self.accounting.counts.releases_unacknowledged += 1,
        }
        self.effects.push(Effect::DeliveryAbandoned { call, deliveries });
        self.remove_delivery(call);
        self.publish_state(call, None, None);
    }

    /// Delivers a release on the next connection that can take it.
    fn deliver(&mut self, now: Micros, call: CallId) {
        let Some(since) = self.deliveries.releases.get(&call).map(|release| release.since) else { return };
        // Another member may have delivered it meanwhile.
        let is_uncertain = self.is_ownership_uncertain(since);
        let Some(release) = self.deliveries.releases.get_mut(&call) else { return };
        let any_client = now >= release.since + RETRY_INTERVAL;
        release.due = now + RETRY_INTERVAL;
        if is_uncertain {
            return;
        }
        let Some(client) = self.clients.release_recipient(release.client, &release.recipients, any_client)
        else {
            return;
        };
        self.accounting.counts.releases_redelivered += u64::from(!release.recipients.is_empty());
        self.effects.push(Effect::DeliverRelease { client, call, cause: release.cause });
        release.recipients.push(client);
        (release.delivered_at, release.stage, release.due) = (now, Stage::Queued, now + SEND_TIMEOUT);
        self.deliveries.pending.remove(&call);
        if client.is_circuit_bound() {
            let server = release.server;
            self.confirm_release(server, call);
            // The signalling front makes sure that the release is acknowledged.
            self.remove_delivery(call);
            self.publish_state(call, None, None);
        }
    }

    /// Delivers the releases that wait for a connection.
    pub(super) fn deliver_pending(&mut self, now: Micros) {
        for call in self.deliveries.pending.iter().copied().collect::<Vec<_>>() {
            self.deliver(now, call);
        }
    }

    /// A connection was closed: the releases delivered on it last may never have arrived.
    pub(super) fn redeliver_from(&mut self, now: Micros, client: ClientId) {
        let calls = self.deliveries.releases.iter().filter(|(_, release)| release.is_last_recipient(client));
        for call in calls.map(|(call, _)| *call).collect::<Vec<_>>() {
            if let Some(release) = self.deliveries.releases.get_mut(&call) {
                release.stage = Stage::Pending;
            }
            self.deliveries.pending.insert(call);
            self.deliver(now, call);
        }
    }
}
