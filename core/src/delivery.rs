//! Delivery of releases to callers: each is given to a connection that can take it, and to another one where
//! that connection turns out not to listen, until a caller acknowledges it.
//!
//! | stage | what is known | what comes next |
//! | --- | --- | --- |
//! | pending | no connection could take it | given to the next one that can |
//! | queued | it waits in a connection's send queue | sent; taken back where that takes nothing |
//! | sent | its last byte has left | acknowledged; else the connection is asked for unread words |
//! | sent, silent | nothing came that was not handed on | redelivered |
//! | acknowledged | a caller knows | forgotten |
//!
//! A deadline on a caller's word begins when the release has left, and is over only when the connection's own
//! reader has said that nothing waits on it. So a late turn of this process is never taken for a caller's
//! silence. Redelivery to a caller that has heard the release already breaks the rule that it is given once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use steprelay_decisions::{CallId, Micros, ServerId};

use super::unclaimed::{LeftTo, Unclaimed};
use super::{ClientId, Core, Effect, Promise, ReleaseCause, Wake};

/// A release is worth delivering for so long.
const DELIVERY_DEADLINE: Micros = 8_000_000;
/// More of them than this are not kept.
const MAX_PENDING_RELEASES: usize = 20_000;
/// A release that no connection could take is tried again this often.
const RETRY_INTERVAL: Micros = 150_000;
/// A release that has not left within this is taken back: its connection takes nothing.
const SENT_WITHIN: Micros = 150_000;
/// A connection that is not known to be silent is asked again after this.
const SILENCE_CHECK_INTERVAL: Micros = 50_000;
/// A connection on which a caller may still acknowledge a release is not let go of for so long where clients
/// are sent away, and for so long where it is idle.
pub const KEPT_OPEN_FOR: Micros = 600_000;
pub const KEPT_IDLE_FOR: Micros = 250_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No connection could take it.
    Pending,
    /// It waits in the send queue of the connection that was given it last.
    Queued,
    /// Its last byte has left on that connection at this time.
    Sent(Micros),
}

/// A release that no caller has acknowledged.
#[derive(Clone, Debug)]
struct Delivery {
    /// Who made the call, where that is known.
    client: Option<ClientId>,
    server: ServerId,
    cause: ReleaseCause,
    since: Micros,
    /// The connections that were given it, the last one last, and when that one was.
    given: Vec<ClientId>,
    given_at: Micros,
    stage: Stage,
    /// When it is looked at again.
    due: Micros,
}

impl Delivery {
    fn is_with(&self, client: ClientId) -> bool {
        self.given.last() == Some(&client)
    }
}

/// The releases that no caller has acknowledged.
#[derive(Default)]
pub struct Deliveries {
    releases: BTreeMap<CallId, Delivery>,
    /// Those of them that no connection could be given yet.
    pending: BTreeSet<CallId>,
}

impl Deliveries {
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    pub fn contains(&self, call: CallId) -> bool {
        self.releases.contains_key(&call)
    }

    pub fn promise_of(&self, call: CallId) -> Option<Promise> {
        self.releases.get(&call).map(|release| Promise::Owed(release.server, release.cause))
    }

    pub fn promised(&self) -> impl Iterator<Item = (CallId, Promise)> + '_ {
        self.releases.iter().map(|(call, release)| (*call, Promise::Owed(release.server, release.cause)))
    }

    /// Connections that were given a release less than so long ago, and may still acknowledge it.
    pub fn unacknowledged(&self, now: Micros, within: Micros) -> BTreeSet<ClientId> {
        let open = |release: &&Delivery| release.stage != Stage::Pending && now < release.given_at + within;
        self.releases.values().filter(open).filter_map(|release| release.given.last().copied()).collect()
    }

    /// Whether a release came up before this moment.
    pub fn began_before(&self, call: CallId, moment: Micros) -> bool {
        self.releases.get(&call).is_some_and(|release| release.since < moment)
    }

    /// Whether a caller was given the release.
    pub fn has_given(&self, call: CallId) -> bool {
        self.releases.get(&call).is_some_and(|release| !release.given.is_empty())
    }

    pub fn forget(&mut self, call: CallId) {
        self.releases.remove(&call);
        self.pending.remove(&call);
    }

    /// Forgets a release that nobody was given yet; whether there was one.
    pub fn forget_pending(&mut self, call: CallId) -> bool {
        let pending = self.releases.get(&call).is_some_and(|release| release.given.is_empty());
        if pending {
            self.forget(call);
        }
        pending
    }

    /// The release of a call, where this connection was given it last.
    fn with(&mut self, client: ClientId, call: CallId) -> Option<&mut Delivery> {
        self.releases.get_mut(&call).filter(|release| release.is_with(client))
    }
}

impl Core {
    /// A release has left on a connection, at this time.
    pub fn release_sent(&mut self, at: Micros, client: ClientId, call: CallId) {
        if let Some(release) = self.deliveries.with(client, call) {
            release.stage = Stage::Sent(at);
            release.due = self.clients.patience_ends(client, at, release.given.len());
        }
    }

    /// A release that waited for a connection was taken back before its first byte left. Where no other one
    /// can take it, that connection is given it again.
    pub fn release_withdrawn(&mut self, now: Micros, client: ClientId, call: CallId) {
        if self.take_back(client, call) {
            // It comes last until it says something.
            self.clients.set_silent(client);
            self.deliver(now, call);
        }
    }

    /// A connection was not given a release in the end; whether it was the last one that it was for.
    fn take_back(&mut self, client: ClientId, call: CallId) -> bool {
        let release = self.deliveries.with(client, call);
        let taken_back = release.map(|release| {
            release.stage = Stage::Pending;
            release.given.pop();
        });
        taken_back.is_some()
    }

    /// A release is about to leave. Returns whether it is not to: it was decided on before the doubt whether
    /// another member has taken the call over, which is asked first.
    pub fn withhold_release(&mut self, now: Micros, client: ClientId, call: CallId) -> bool {
        let Some(release) = self.deliveries.with(client, call) else { return false };
        let (client_of_call, server, cause) = (release.client, release.server, release.cause);
        let (since, deliveries) = (release.since, release.given.len());
        if !self.is_doubted(since) {
            return false;
        }
        if deliveries > 1 {
            // A connection that was given it before may have acknowledged it by now.
            return self.take_back(client, call);
        }
        self.deliveries.forget(call);
        let left = LeftTo::Nobody;
        self.hold_unclaimed(now, call, Unclaimed { client: client_of_call, server, cause, left });
        true
    }

    /// Asked for by [`Effect::AskIfSilent`]: nothing waits on a connection that was not handed on before
    /// this.
    pub fn client_silent(&mut self, now: Micros, client: ClientId, call: CallId) {
        let Some(release) = self.deliveries.with(client, call) else { return };
        let Stage::Sent(at) = release.stage else { return };
        if now >= self.clients.patience_ends(client, at, release.given.len()) {
            self.clients.set_silent(client);
            self.deliver(now, call);
        }
    }

    /// A client acknowledges a release.
    pub fn release_heard(&mut self, now: Micros, client: ClientId, call: CallId) {
        self.clients.heard(client, now);
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        if !release.given.contains(&client) {
            return;
        }
        if let (Stage::Sent(at), true) = (release.stage, release.is_with(client)) {
            self.clients.acknowledged(now, client, at);
        }
        self.deliveries.forget(call);
        if self.promises_are_told() {
            self.effects.push(Effect::Acknowledged { call });
        }
        self.promise(call, None, None);
    }

    /// Takes a release on, and gives it to a connection if one can take it.
    pub(super) fn release_to(
        &mut self,
        now: Micros,
        client: Option<ClientId>,
        server: ServerId,
        call: CallId,
        cause: ReleaseCause,
    ) {
        if self.deliveries.len() >= MAX_PENDING_RELEASES {
            self.book.counts.releases_lost += 1;
            self.promise(call, None, None);
            return;
        }
        self.promise(call, Some(Promise::Owed(server, cause)), None);
        let (given, stage) = (Vec::new(), Stage::Pending);
        let release = Delivery { client, server, cause, since: now, given, given_at: now, stage, due: now };
        self.deliveries.releases.insert(call, release);
        self.deliveries.pending.insert(call);
        self.delivery_due(now, call);
    }

    /// Looks after a release until it is acknowledged, or nobody waits for it any more.
    pub(super) fn delivery_due(&mut self, now: Micros, call: CallId) {
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        if release.due <= now && !self.is_doubted(release.since) {
            self.advance(now, call);
        }
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        let at = match self.is_doubted(release.since) {
            true => now + RETRY_INTERVAL,
            false => release.due.max(now + 1),
        };
        self.wakes.push(Reverse((at, Wake::Delivery(call))));
    }

    /// Does what is due for a release.
    fn advance(&mut self, now: Micros, call: CallId) {
        let Some(release) = self.deliveries.releases.get_mut(&call) else { return };
        if now >= release.since + DELIVERY_DEADLINE {
            return self.abandon_delivery(call);
        }
        let Some(&client) = release.given.last() else { return self.deliver(now, call) };
        match release.stage {
            Stage::Pending => self.deliver(now, call),
            Stage::Queued => {
                release.due = now + SENT_WITHIN;
                self.effects.push(Effect::WithdrawRelease { client, call });
            }
            Stage::Sent(at) => {
                let patience_ends = self.clients.patience_ends(client, at, release.given.len());
                if now < patience_ends {
                    release.due = patience_ends;
                    return;
                }
                release.due = now + SILENCE_CHECK_INTERVAL;
                self.effects.push(Effect::AskIfSilent { client, call });
            }
        }
    }

    /// Nobody waits for a release any more.
    fn abandon_delivery(&mut self, call: CallId) {
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        let deliveries = release.given.len();
        match self.deliveries.pending.contains(&call) {
            true => self.book.counts.releases_lost += 1,
            false => self.book.counts.releases_unacknowledged += 1,
        }
        self.effects.push(Effect::DeliveryAbandoned { call, deliveries });
        self.deliveries.forget(call);
        self.promise(call, None, None);
    }

    /// Gives a release to the next connection that can take it.
    fn deliver(&mut self, now: Micros, call: CallId) {
        let Some(since) = self.deliveries.releases.get(&call).map(|release| release.since) else { return };
        // Another member may have given it meanwhile.
        let doubted = self.is_doubted(since);
        let Some(release) = self.deliveries.releases.get_mut(&call) else { return };
        let untested = now >= release.since + RETRY_INTERVAL;
        release.due = now + RETRY_INTERVAL;
        if doubted {
            return;
        }
        let Some(client) = self.clients.taker(release.client, &release.given, untested) else { return };
        self.book.counts.releases_redelivered += u64::from(!release.given.is_empty());
        self.effects.push(Effect::Released { client, call, cause: release.cause });
        release.given.push(client);
        (release.given_at, release.stage, release.due) = (now, Stage::Queued, now + SENT_WITHIN);
        self.deliveries.pending.remove(&call);
        if client.is_bound() {
            // Its front sees to it that the release is acknowledged.
            self.deliveries.releases.remove(&call);
            self.promise(call, None, None);
        }
    }

    /// Delivers the releases that wait for a connection.
    pub(super) fn deliver_pending(&mut self, now: Micros) {
        for call in self.deliveries.pending.iter().copied().collect::<Vec<_>>() {
            self.deliver(now, call);
        }
    }

    /// A connection is gone: what it was given last may never have arrived.
    pub(super) fn redeliver_from(&mut self, now: Micros, client: ClientId) {
        let calls = self.deliveries.releases.iter().filter(|(_, release)| release.is_with(client));
        for call in calls.map(|(call, _)| *call).collect::<Vec<_>>() {
            if let Some(release) = self.deliveries.releases.get_mut(&call) {
                release.stage = Stage::Pending;
            }
            self.deliveries.pending.insert(call);
            self.deliver(now, call);
        }
    }
}
