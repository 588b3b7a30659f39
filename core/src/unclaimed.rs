//! Releases that another member may have given, where promises are told to other members.
//!
//! A server says a release again on the next open connection, whoever's it is, when the connection that took
//! it ends unconfirmed. The call may be another member's, who has given the release or is about to. So all
//! members are told first that it will be given here: one that has the call drops it, and one that has told
//! its caller already says so. Once all have answered, or their time is over, and none has said so, the
//! release is given. Where two members were told of it, the one whose name comes first gives it.
//!
//! So are the releases of calls that stand here, while it is not known whether another member has taken them
//! over ([`Core::doubt`]): a successor may have given a release of its own, as that of a server that is gone.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use steprelay_decisions::{CallId, Micros, ServerId};

use super::accounting::CallEnd;
use super::{CallState, ClientId, Core, Effect, ReleaseCause, TimerEvent};

/// Members get this long to say that they have given a release, where not all answer sooner. It leaves a
/// fifth of the second in which a caller is to have it.
const CLAIM_TIMEOUT: Micros = 800_000;
/// A release that another member had said it will give is left to that one when nothing is heard of it for so
/// long: where that member is lost, it is known by then.
const PRIOR_CLAIM_TIMEOUT: Micros = 7_000_000;

/// A release that is given unless a member claims it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnclaimedRelease {
    /// Who made the call, where that is known.
    pub client: Option<ClientId>,
    pub server: ServerId,
    pub cause: ReleaseCause,
    pub prior_claim: PriorClaim,
}

/// Whether a member has said before that it will give a release.
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

    pub fn remove(&mut self, call: CallId) -> bool {
        self.0.remove(&call).is_some()
    }

    pub fn state_of(&self, call: CallId) -> Option<CallState> {
        self.0.get(&call).map(|release| CallState::ReleasePending(release.server, release.cause))
    }

    pub fn states(&self) -> impl Iterator<Item = (CallId, CallState)> + '_ {
        self.0.iter().map(|(call, release)| (*call, CallState::ReleasePending(release.server, release.cause)))
    }
}

impl Core {
    /// Asks all members whether they have given a release, and holds it until its time for claims is over.
    pub(super) fn hold_for_claims(&mut self, now: Micros, call: CallId, release: UnclaimedRelease) {
        let timeout = match release.prior_claim {
            PriorClaim::Unclaimed => CLAIM_TIMEOUT,
            PriorClaim::OtherMember => PRIOR_CLAIM_TIMEOUT,
        };
        self.announce_release(call);
        self.publish_state(call, Some(CallState::ReleasePending(release.server, release.cause)), None);
        self.unclaimed.0.insert(call, release);
        self.timers.push(Reverse((now + timeout, TimerEvent::ClaimTimeout(call))));
    }

    /// The time for claims is over.
    pub(super) fn claims_timed_out(&mut self, now: Micros, call: CallId) {
        match self.unclaimed.0.get(&call).map(|release| release.prior_claim) {
            Some(PriorClaim::Unclaimed) => self.deliver_unclaimed(now, call),
            Some(PriorClaim::OtherMember) => self.yield_release(call),
            None => {}
        }
    }

    /// Nobody has claimed it: all members have answered, or their time is over.
    pub fn deliver_unclaimed(&mut self, now: Micros, call: CallId) {
        if let Some(UnclaimedRelease { client, server, cause, .. }) = self.unclaimed.0.remove(&call) {
            self.start_delivery(now, client, server, call, cause);
        }
    }

    /// Another member sees to the end of this call, or has. It is told so where its caller hears of it here.
    pub fn ended_elsewhere(&mut self, now: Micros, call: CallId) {
        if self.unclaimed.contains(call) {
            // It was told of the same release, and yields.
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

    /// Another member was told of the same release, and it is that one which gives it.
    pub fn yield_release(&mut self, call: CallId) {
        if self.unclaimed.remove(call) {
            self.publish_state(call, None, None);
            self.accounting.record_end(call, CallEnd::HandledElsewhere);
        }
    }

    /// Another member has told the caller of this call that it is over.
    pub fn delivered_elsewhere(&mut self, now: Micros, call: CallId) {
        self.yield_release(call);
        if !self.pending.contains_key(&call) {
            self.drop_call(now, call);
        }
    }
}
