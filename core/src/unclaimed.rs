//! Releases that another member may have delivered, where replication is enabled.
//!
//! A server sends a release again on its next open connection, to any member, if the connection that took it
//! ended before the acknowledgement. The call may belong to another member that has delivered the release or
//! is about to. So the release is first announced to all members: a member that holds the call drops it, and
//! a member that has told the caller replies so. Once all members have replied, or the timeout has passed,
//! and none has claimed the release, it is delivered here. If two members announce the same release, the one
//! whose name sorts first delivers it.
//!
//! The same applies to the releases of calls established here while ownership is uncertain
//! ([`Core::set_ownership_uncertain`]): a successor may have delivered a release of its own, such as one for
//! a server that ended.

use std::collections::BTreeMap;

use steprelay_decisions::{CallId, Micros, ServerId};

use super::accounting::CallEnd;
use super::{CallState, ClientId, Core, Effect, ReleaseCause, TimerEvent};

/// How long members may take to claim a release, if not all reply sooner. It leaves a fifth of the one second
/// in which the caller must receive the release.
const CLAIM_TIMEOUT: Micros = 800_000;
/// A release that another member has announced is left to that member if nothing is heard of it for this
/// long: if that member were lost, it would be known by then.
const PRIOR_CLAIM_TIMEOUT: Micros = 7_000_000;

/// A release that is delivered unless a member claims it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnclaimedRelease {
    /// The client that made the call, if known.
    pub client: Option<ClientId>,
    pub server: ServerId,
    pub cause: ReleaseCause,
    pub prior_claim: PriorClaim,
}

/// Whether a member has announced earlier that it delivers a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorClaim {
    Unclaimed,
    OtherMember,
}

#[derive(Default)]
pub(super) struct UnclaimedReleases(BTreeMap<CallId, UnclaimedRelease>);

impl UnclaimedReleases {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn contains(&self, call: CallId) -> bool {
        self.0.contains_key(&call)
    }

    pub fn state_of(&self, call: CallId) -> Option<CallState> {
        self.0.get(&call).map(|release| CallState::ReleasePending(release.server, release.cause))
    }

    pub fn states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        self.0.iter().map(|(call, release)| (*call, CallState::ReleasePending(release.server, release.cause)))
    }
}

impl Core {
    /// Announces a release to all members and holds it until the claim timeout.
    pub(super) fn hold_for_claims(&mut self, now: Micros, call: CallId, release: UnclaimedRelease) {
        let timeout = match release.prior_claim {
            PriorClaim::Unclaimed => CLAIM_TIMEOUT,
            PriorClaim::OtherMember => PRIOR_CLAIM_TIMEOUT,
        };
        self.announce_release(call);
        self.publish_state(call, Some(CallState::ReleasePending(release.server, release.cause)), None);
        self.unclaimed.0.insert(call, release);
        self.timers.schedule(now + timeout, TimerEvent::ClaimTimeout(call));
    }

    /// Removes a release that waits for claims, with its timer.
    pub(super) fn remove_unclaimed(&mut self, call: CallId) -> Option<UnclaimedRelease> {
        let release = self.unclaimed.0.remove(&call)?;
        self.timers.cancel(TimerEvent::ClaimTimeout(call));
        Some(release)
    }

    /// Handles the claim timeout of a release.
    pub(super) fn claims_timed_out(&mut self, now: Micros, call: CallId) {
        match self.unclaimed.0.get(&call).map(|release| release.prior_claim) {
            Some(PriorClaim::Unclaimed) => self.deliver_unclaimed(now, call),
            Some(PriorClaim::OtherMember) => self.yield_release(call),
            None => {}
        }
    }

    /// Delivers a release that no member has claimed: all have replied, or the timeout has passed.
    pub fn deliver_unclaimed(&mut self, now: Micros, call: CallId) {
        if let Some(UnclaimedRelease { client, server, cause, .. }) = self.remove_unclaimed(call) {
            self.start_delivery(now, client, server, call, cause);
        }
    }

    /// Another member handles the end of this call, or has done so. It is told if the caller learns of the
    /// end here.
    pub fn ended_elsewhere(&mut self, now: Micros, call: CallId) {
        if self.unclaimed.contains(call) {
            // The other member announced the same release, and yields.
            return;
        }
        let is_answered_here = self.pending.contains_key(&call)
            || self.deliveries.was_delivered(call)
            || self.accounting.ended(call) == Some(CallEnd::Answered);
        if !is_answered_here {
            return self.drop_call(now, call);
        }
        if self.is_replicated() {
            self.effects.push(Effect::ReleaseDelivered { call });
        }
    }

    /// Leaves a release to another member that announced it, too.
    pub fn yield_release(&mut self, call: CallId) {
        if self.remove_unclaimed(call).is_some() {
            self.publish_state(call, None, None);
            self.accounting.record_end(call, CallEnd::HandledElsewhere);
        }
    }

    /// Another member has told the caller of this call that it has ended.
    pub fn delivered_elsewhere(&mut self, now: Micros, call: CallId) {
        self.yield_release(call);
        if !self.pending.contains_key(&call) {
            self.drop_call(now, call);
        }
    }
}
