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

use super::book::Over;
use super::{ClientId, Core, Effect, Promise, ReleaseCause, Wake};

/// Members get this long to say that they have given a release, where not all answer sooner. It leaves a
/// fifth of the second in which a caller is to have it.
const CLAIM_WITHIN: Micros = 800_000;
/// A release that another member had said it will give is left to that one when nothing is heard of it for so
/// long: where that member is lost, it is known by then.
const LEFT_CLAIM_WITHIN: Micros = 7_000_000;

/// A release that is given unless a member claims it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unclaimed {
    /// Who made the call, where that is known.
    pub client: Option<ClientId>,
    pub server: ServerId,
    pub cause: ReleaseCause,
    pub left: LeftTo,
}

/// Whether a member has said before that it will give a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeftTo {
    Nobody,
    Another,
}

#[derive(Default)]
pub(super) struct UnclaimedReleases(BTreeMap<CallId, Unclaimed>);

impl UnclaimedReleases {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn contains(&self, call: CallId) -> bool {
        self.0.contains_key(&call)
    }

    pub fn forget(&mut self, call: CallId) -> bool {
        self.0.remove(&call).is_some()
    }

    pub fn promise_of(&self, call: CallId) -> Option<Promise> {
        self.0.get(&call).map(|release| Promise::Owed(release.server, release.cause))
    }

    pub fn promised(&self) -> impl Iterator<Item = (CallId, Promise)> + '_ {
        self.0.iter().map(|(call, release)| (*call, Promise::Owed(release.server, release.cause)))
    }
}

impl Core {
    /// Asks all members whether they have given a release, and holds it until its time for claims is over.
    pub(super) fn hold_unclaimed(&mut self, now: Micros, call: CallId, release: Unclaimed) {
        let within = match release.left {
            LeftTo::Nobody => CLAIM_WITHIN,
            LeftTo::Another => LEFT_CLAIM_WITHIN,
        };
        self.pass_on_to_members(call);
        self.promise(call, Some(Promise::Owed(release.server, release.cause)), None);
        self.unclaimed.0.insert(call, release);
        self.wakes.push(Reverse((now + within, Wake::Unclaimed(call))));
    }

    /// The time for claims is over.
    pub(super) fn claims_over(&mut self, now: Micros, call: CallId) {
        match self.unclaimed.0.get(&call).map(|release| release.left) {
            Some(LeftTo::Nobody) => self.release_unclaimed(now, call),
            Some(LeftTo::Another) => self.yield_unclaimed(call),
            None => {}
        }
    }

    /// Nobody has claimed it: all members have answered, or their time is over.
    pub fn release_unclaimed(&mut self, now: Micros, call: CallId) {
        if let Some(Unclaimed { client, server, cause, .. }) = self.unclaimed.0.remove(&call) {
            self.release_to(now, client, server, call, cause);
        }
    }

    /// Another member sees to the end of this call, or has. It is told so where its caller hears of it here.
    pub fn over_elsewhere(&mut self, now: Micros, call: CallId) {
        if self.unclaimed.contains(call) {
            // It was told of the same release, and yields.
            return;
        }
        let is_told_here = self.pending.contains_key(&call)
            || self.deliveries.has_given(call)
            || self.book.over(call) == Some(Over::Answered);
        if !is_told_here {
            return self.drop_call(now, call);
        }
        if self.promises_are_told() {
            self.effects.push(Effect::Given { call });
        }
    }

    /// Another member was told of the same release, and it is that one which gives it.
    pub fn yield_unclaimed(&mut self, call: CallId) {
        if self.unclaimed.forget(call) {
            self.promise(call, None, None);
            self.book.note_over(call, Over::Elsewhere);
        }
    }

    /// Another member has told the caller of this call that it is over.
    pub fn given_elsewhere(&mut self, now: Micros, call: CallId) {
        self.yield_unclaimed(call);
        if !self.pending.contains_key(&call) {
            self.drop_call(now, call);
        }
    }
}
