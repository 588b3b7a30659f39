//! What is promised of calls, told as it changes to whoever keeps copies of it, and taken over from a call
//! agent that was lost. Nothing of it happens unless it is asked for ([`Core::tell_promises`]).
//!
//! While it is not known whether another has taken over ([`Core::doubt`]), nothing is said of calls of before
//! on this call agent's own account. What a server says of one meanwhile is passed on, since it says so to
//! one call agent alone, once the others were asked whether they have told the caller
//! ([`super::unclaimed`]).

use std::collections::BTreeSet;

use steprelay_decisions::{CallId, Event, Micros, Outcome, Report, ServerId};

use super::book::Over;
use super::relay::Standing;
use super::send::Attempt;
use super::{BoundCall, Core, Effect, ReleaseCause, Verdict};

/// What is promised of a call. Calls that are bound to circuits are no part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// An attempt is out at a server, and nobody was told anything yet.
    Out(ServerId),
    /// Its caller was told that it stands.
    Stands(ServerId),
    /// Its server has released it, and its caller has not confirmed that.
    Owed(ServerId, ReleaseCause),
}

/// Whether promises are told, and what is in doubt.
#[derive(Default)]
pub(super) struct Promises {
    told: bool,
    /// Calls of before this moment may have been taken over by another.
    doubt: Option<Micros>,
    /// Servers that went meanwhile, with the time before which calls came to stand there.
    gone: Vec<(ServerId, Micros)>,
    /// New set-ups are refused: nobody could hold copies of them.
    short: bool,
}

impl Core {
    /// Has promises told from now on.
    pub fn tell_promises(&mut self) {
        self.promises.told = true;
    }

    /// Set-ups are refused while this is so.
    pub fn refuse_uncopied(&mut self, short: bool) {
        self.promises.short = short;
    }

    pub(super) fn is_short(&self) -> bool {
        self.promises.short
    }

    pub(super) fn promises_are_told(&self) -> bool {
        self.promises.told
    }

    /// The promise of a call is another one, or over. `by`: when its caller must have heard of it, where that
    /// follows from it.
    pub(super) fn promise(&mut self, call: CallId, promise: Option<Promise>, by: Option<Micros>) {
        if self.promises.told && BoundCall::of(call).is_none() {
            self.effects.push(Effect::Promised { call, promise, by });
        }
    }

    /// All that is promised now.
    pub fn promised(&self) -> impl Iterator<Item = (CallId, Promise)> + '_ {
        let out = self
            .pending
            .iter()
            .filter_map(|(call, pending)| Some((*call, Promise::Out(pending.out?.server))));
        let released = self.deliveries.promised().chain(self.unclaimed.promised());
        let released = self.relay.promised().chain(released);
        out.chain(released).filter(|(call, _)| BoundCall::of(*call).is_none())
    }

    /// It is not known from now on, or known again, whether another has taken over what was promised before.
    pub fn doubt(&mut self, now: Micros, doubt: bool) {
        if !doubt {
            self.promises.doubt = None;
            for (server, before) in std::mem::take(&mut self.promises.gone) {
                self.server_dead(now, server, before);
            }
        } else if self.promises.doubt.is_none() {
            self.promises.doubt = Some(now);
        }
    }

    /// Whether something that is so since then may be another's by now.
    pub(super) fn is_doubted(&self, since: Micros) -> bool {
        self.promises.doubt.is_some_and(|from| since < from)
    }

    /// All members are told that this call's release is given here, where promises are told.
    pub(super) fn pass_on_to_members(&mut self, call: CallId) {
        if self.promises.told && BoundCall::of(call).is_none() {
            self.effects.push(Effect::PassedOn { call });
        }
    }

    /// Gives the release of a call that another call agent had.
    fn release_adopted(&mut self, now: Micros, server: ServerId, call: CallId, cause: ReleaseCause) {
        self.pass_on_to_members(call);
        // Its server may say it here too, once it was acknowledged.
        self.book.note_over(call, Over::Answered);
        self.release_to(now, None, server, call, cause);
    }

    /// A server went; what stood there is looked at again once there is no doubt.
    pub(super) fn note_gone(&mut self, server: ServerId, before: Micros) {
        if self.promises.doubt.is_some() && !self.promises.gone.contains(&(server, before)) {
            self.promises.gone.push((server, before));
        }
    }

    /// Takes over what another call agent had promised, which is lost.
    pub fn adopt(&mut self, now: Micros, call: CallId, promise: Promise) {
        // What another member was about to tell the caller, it has not told by its own last word.
        let is_untold = matches!(promise, Promise::Owed(..)) && self.is_left_to_another(call);
        // Its server has told the other one that it is over, and tells nobody again.
        if matches!(promise, Promise::Owed(..)) && self.relay.stands(call).is_some() {
            return self.handed(now, call, Some(promise));
        }
        if self.is_known(call) && !is_untold {
            return self.promise(call, self.promise_of(call), None);
        }
        match promise {
            Promise::Out(server) => {
                // Nobody is at the other end of it. It may stand there by now: its release cuts that, too.
                self.book.note_over(call, Over::CalledOff);
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::NORMAL });
                self.promise(call, None, None);
            }
            Promise::Stands(server) if self.route.is_listed(server) => {
                let attempt = Attempt { server, number: 0, sent: now };
                self.relay.adopt(call, Standing::adopted(attempt));
            }
            Promise::Stands(server) => self.release_adopted(now, server, call, ReleaseCause::TEMPORARY),
            Promise::Owed(server, cause) => self.release_adopted(now, server, call, cause),
        }
    }

    /// What one that was succeeded by this call agent knows beyond what was copied in time.
    pub fn handed(&mut self, now: Micros, call: CallId, promise: Option<Promise>) {
        match promise {
            None | Some(Promise::Out(_)) => self.drop_call(now, call),
            Some(Promise::Owed(server, cause)) => {
                let stood = self.relay.take_standing(call);
                if let Some(standing) = stood {
                    self.release_adopted(now, server, call, cause);
                    self.call_over(now, call, standing, Outcome::Ok, Report::default());
                } else if !self.is_known(call) {
                    self.release_adopted(now, server, call, cause);
                }
            }
            Some(promise) => self.adopt(now, call, promise),
        }
    }

    /// The answer to a call will not be given to its caller: the call ends at its server, and what its server
    /// says of it later is nobody's news.
    pub fn withdraw_answer(&mut self, now: Micros, call: CallId) {
        if let Some(standing) = self.relay.take_standing(call) {
            self.promise(call, None, None);
            let (server, cause) = (standing.server(), ReleaseCause::NORMAL);
            self.effects.push(Effect::Release { server, call, cause });
            self.call_over(now, call, standing, Outcome::Cancelled, Report::default());
        } else if self.deliveries.contains(call) || self.unclaimed.contains(call) {
            self.deliveries.forget(call);
            self.unclaimed.forget(call);
            self.promise(call, None, None);
        }
        self.effects.retain(|effect| !matches!(effect, Effect::Released { call: of, .. } if *of == call));
        self.book.note_over(call, Over::Answered);
    }

    /// Takes back answers to these calls that have not left the core yet.
    pub fn take_answers(&mut self, calls: &BTreeSet<CallId>) -> Vec<Effect> {
        let is_answer =
            |effect: &mut Effect| matches!(effect, Effect::Answer { call, .. } if calls.contains(call));
        self.effects.extract_if(.., is_answer).collect()
    }

    /// A call that is no longer this call agent's, and whose end is another's to tell.
    pub(super) fn drop_call(&mut self, now: Micros, call: CallId) {
        if let Some(standing) = self.relay.take_standing(call) {
            self.call_over(now, call, standing, Outcome::Ok, Report::default());
        } else if !self.deliveries.forget_pending(call) {
            return self.book.note_unknown_over_elsewhere(call);
        }
        self.promise(call, None, None);
        self.book.note_over(call, Over::Elsewhere);
    }

    /// Another call agent has taken these calls over: nothing more is said of them, but for set-ups that have
    /// no answer yet, which get theirs now.
    pub fn renounce(&mut self, now: Micros, calls: &BTreeSet<CallId>) {
        let told = std::mem::replace(&mut self.promises.told, false);
        for call in calls {
            if let Some(pending) = self.pending.get(call) {
                let out = pending.out;
                self.decide(now, Event::CallerGone { call: *call });
                if let Some(attempt) = out {
                    self.cancel(now, *call, attempt.number);
                }
                self.finish(now, *call, Verdict::Failed);
            } else if let Some(standing) = self.relay.take_standing(*call) {
                // Not known to be over: where its server says here that it is, that is passed on.
                self.let_standing_go(now, *call, standing);
            } else if self.promises.doubt.is_none_or(|from| self.deliveries.began_before(*call, from)) {
                // What came up since the doubt began all members were told of: it is given here.
                self.deliveries.forget(*call);
                self.unclaimed.forget(*call);
            }
        }
        self.promises.told = told;
    }

    /// Whether nothing is known of a call but that another member sees to its end.
    pub(super) fn is_left_to_another(&self, call: CallId) -> bool {
        self.book.over(call) == Some(Over::Elsewhere) && self.promise_of(call).is_none()
    }

    fn is_known(&self, call: CallId) -> bool {
        self.pending.contains_key(&call)
            || self.relay.stands(call).is_some()
            || self.deliveries.contains(call)
            || self.unclaimed.contains(call)
            || self.book.over(call).is_some()
    }

    fn promise_of(&self, call: CallId) -> Option<Promise> {
        let out = self.pending.get(&call).and_then(|pending| pending.out);
        let out = out.map(|attempt| Promise::Out(attempt.server));
        out.or_else(|| self.deliveries.promise_of(call))
            .or_else(|| self.relay.promise_of(call))
            .or_else(|| self.unclaimed.promise_of(call))
    }
}
