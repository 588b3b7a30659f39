//! Delivery of releases to callers: each is given to a connection that can take it, and to another one until
//! a caller acknowledges it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use steprelay_decisions::{CallId, Micros, ServerId};

use super::{ClientId, Core, Effect, Promise, ReleaseCause, Wake};

/// A release is worth delivering for so long.
const DELIVERY_DEADLINE: Micros = 8_000_000;
/// More of them than this are not kept.
const MAX_PENDING_RELEASES: usize = 20_000;
/// A caller acknowledges a release within this, or else another connection is given it: the first may have
/// gone, or belong to somebody who does not listen. A connection with nothing but tests takes it only after
/// this time.
const ACKNOWLEDGED_WITHIN: Micros = 150_000;
/// So many connections are given one release.
const MAX_DELIVERIES: usize = 6;

/// A release that no caller has acknowledged.
#[derive(Clone, Debug)]
struct Delivery {
    /// Who made the call, where that is known.
    client: Option<ClientId>,
    server: ServerId,
    cause: ReleaseCause,
    since: Micros,
    /// The connections that were given it, the last one last.
    given: Vec<ClientId>,
    /// When it is given to another one.
    redelivered_at: Micros,
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

    /// Connections that were just given a release, and may still acknowledge it.
    pub fn unacknowledged(&self, now: Micros) -> BTreeSet<ClientId> {
        let given = self.releases.values().filter(|release| release.redelivered_at > now);
        given.filter_map(|release| release.given.last().copied()).collect()
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
}

impl Core {
    /// A client acknowledges a release.
    pub fn release_heard(&mut self, now: Micros, client: ClientId, call: CallId) {
        self.clients.heard(client, now);
        if self.deliveries.releases.get(&call).is_some_and(|release| release.given.contains(&client)) {
            self.deliveries.releases.remove(&call);
            self.promise(call, None, None);
        }
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
        let release = Delivery { client, server, cause, since: now, given: Vec::new(), redelivered_at: now };
        self.deliveries.releases.insert(call, release);
        self.deliveries.pending.insert(call);
        self.delivery_due(now, call);
    }

    /// Looks after a release until it is acknowledged, or nobody waits for it any more.
    pub(super) fn delivery_due(&mut self, now: Micros, call: CallId) {
        let Some(release) = self.deliveries.releases.get(&call) else { return };
        if release.redelivered_at <= now && !self.is_doubted(release.since) {
            if now >= release.since + DELIVERY_DEADLINE || release.given.len() >= MAX_DELIVERIES {
                self.deliveries.releases.remove(&call);
                if self.deliveries.pending.remove(&call) {
                    self.book.counts.releases_lost += 1;
                }
                self.promise(call, None, None);
                return;
            }
            self.deliver(now, call);
        }
        if let Some(release) = self.deliveries.releases.get(&call) {
            let at = match self.is_doubted(release.since) {
                true => now + ACKNOWLEDGED_WITHIN,
                false => release.redelivered_at.max(now + 1),
            };
            self.wakes.push(Reverse((at, Wake::Delivery(call))));
        }
    }

    /// Gives a release to the next connection that can take it.
    fn deliver(&mut self, now: Micros, call: CallId) {
        let Some(since) = self.deliveries.releases.get(&call).map(|release| release.since) else { return };
        // Another member may have given it meanwhile.
        let doubted = self.is_doubted(since);
        let Some(release) = self.deliveries.releases.get_mut(&call) else { return };
        let untested = now >= release.since + ACKNOWLEDGED_WITHIN;
        release.redelivered_at = now + ACKNOWLEDGED_WITHIN;
        if doubted {
            return;
        }
        let Some(client) = self.clients.taker(release.client, &release.given, untested) else { return };
        self.effects.push(Effect::Released { client, call, cause: release.cause });
        release.given.push(client);
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
        let given = |release: &Delivery| release.given.last() == Some(&client);
        let calls = self.deliveries.releases.iter().filter(|(_, release)| given(release));
        for call in calls.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.deliver(now, call);
        }
    }
}
