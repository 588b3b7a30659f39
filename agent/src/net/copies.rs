//! The owner's side of replication: reports the state of calls to the replication thread, and holds effects
//! back until the replicas that they depend on are stored.
//!
//! Held effects are stored by call; an event that makes one obsolete removes it. While it is uncertain
//! whether another member has taken over ([`ReplicationGate::is_ownership_uncertain`]), answers to earlier
//! calls are held too.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use steprelay_copies::member::PeerRequest;
use steprelay_core::{CallState, ClientId, Effect};
use steprelay_decisions::{CallId, Micros};
use tokio::sync::mpsc;

use crate::ports::copies::{Lease, Note};
use crate::ports::LinkId;
use crate::trace;

/// Maximum time for which a set-up waits until it is replicated.
const MAX_SET_UP_WAIT: Micros = 100_000;
/// Maximum number of releases whose servers wait for the confirmation.
const MAX_UNCONFIRMED_RELEASES: usize = 50_000;

/// Policy of the replication, and the channels to the replication thread.
pub struct ReplicationHandle {
    pub notes: mpsc::Sender<Note>,
    pub lease: Arc<Lease>,
    pub wait_for_replicas: bool,
    pub refuse_when_degraded: bool,
}

/// An effect that waits for replication.
#[derive(Debug)]
struct HeldEffect {
    effect: Effect,
    /// The effect waits until this time at most.
    expires_at: Micros,
}

/// Calls that a successor may have taken over by now.
#[derive(Debug, Default)]
pub struct UncertainCalls {
    /// Calls with a pending attempt when the uncertainty began: a successor can only have cancelled the
    /// attempt.
    pub pending: BTreeSet<CallId>,
    /// Calls with an answer or a release by then: a successor may have released them, or may do so.
    pub answered: BTreeSet<CallId>,
    /// Whether there is a successor.
    has_successor: bool,
}

impl UncertainCalls {
    fn contains(&self, call: CallId) -> bool {
        self.pending.contains(&call) || self.answered.contains(&call)
    }
}

/// Answers that were not sent and never will be.
#[derive(Debug, Default, PartialEq)]
pub struct UndeliveredAnswers {
    /// No successor can have told the callers anything: they are told that the call failed.
    pub fail: Vec<Effect>,
    /// A successor may have told the callers something; it is asked first.
    pub ask: Vec<CallId>,
}

pub struct ReplicationGate {
    handle: ReplicationHandle,
    last_update: u64,
    replicated: u64,
    ownership_losses: u64,
    /// A note was lost because the channel was full: a full update is sent when there is capacity.
    is_behind: bool,
    /// When the caller of the last recorded call has to be notified.
    notify_by: Option<Micros>,
    answers: BTreeMap<CallId, HeldEffect>,
    set_ups: BTreeMap<CallId, HeldEffect>,
    /// In the order of the update that has to be replicated first.
    order: VecDeque<(u64, CallId)>,
    /// Barriers of other members, to be confirmed once the effects of earlier events were carried out.
    barriers: Vec<PeerRequest>,
    /// Releases that were received, before and after their updates are numbered; the second by that number.
    unnumbered_releases: Vec<(LinkId, CallId)>,
    numbered_releases: VecDeque<(u64, LinkId, CallId)>,
    /// The update with which replicas know all that callers of ended calls were told and have acknowledged.
    settled_at: u64,
    /// Too few members can store replicas: nothing waits for them.
    degraded: bool,
    uncertain: Option<UncertainCalls>,
    /// Answers to calls about which the successor is asked whether it has ended them.
    relinquished_answers: BTreeMap<CallId, Effect>,
    /// Number of effects that were carried out without enough replicas.
    pub unreplicated: u64,
}

impl ReplicationGate {
    pub fn new(handle: ReplicationHandle) -> Self {
        ReplicationGate {
            handle,
            last_update: 0,
            replicated: 0,
            ownership_losses: 0,
            is_behind: false,
            notify_by: None,
            answers: BTreeMap::new(),
            set_ups: BTreeMap::new(),
            order: VecDeque::new(),
            barriers: Vec::new(),
            unnumbered_releases: Vec::new(),
            numbered_releases: VecDeque::new(),
            settled_at: 0,
            degraded: true,
            uncertain: None,
            relinquished_answers: BTreeMap::new(),
            unreplicated: 0,
        }
    }

    /// Sets whether too few members can store replicas; returns whether set-ups are refused meanwhile.
    pub fn set_degraded(&mut self, degraded: bool) -> bool {
        self.degraded = degraded;
        degraded && self.handle.refuse_when_degraded
    }

    /// Records the changed state of a call; `None`: the call is over.
    pub fn record_state(&mut self, call: CallId, state: Option<CallState>, notify_by: Option<Micros>) {
        self.notify_by = notify_by;
        if !matches!(state, Some(CallState::AttemptPending(_))) {
            self.set_ups.remove(&call);
        }
        self.send(Note::Promise(call, state));
        if state.is_none() {
            self.settled_at = self.last_update;
        }
    }

    pub fn record_announcement(&mut self, call: CallId) {
        // Lost where the channel is full: the other members find out when they are told of the server.
        let _ = self.handle.notes.try_send(Note::PassedOn(call));
    }

    pub fn record_acknowledgement(&mut self, call: CallId) {
        // Lost where the channel is full: replica holders do not answer for this release then.
        let _ = self.handle.notes.try_send(Note::Acknowledged(call));
    }

    pub fn record_delivery(&mut self, call: CallId) {
        // Lost where the channel is full: the caller may be told twice then.
        let _ = self.handle.notes.try_send(Note::Given(call));
    }

    /// Adds the barrier of another member, which is confirmed after the effects of what that member was told.
    pub fn add_barrier(&mut self, barrier: PeerRequest) {
        self.barriers.push(barrier);
    }

    /// Confirms the barriers: all preceding effects were carried out.
    pub fn confirm_barriers(&mut self) {
        for barrier in self.barriers.drain(..) {
            // Lost where the channel is full: the other member asks again.
            let _ = self.handle.notes.try_send(Note::Confirmed(barrier));
        }
    }

    /// Records that a release is sent.
    pub fn release_sent(&mut self) {
        self.settled_at = self.last_update;
    }

    fn send(&mut self, note: Note) {
        if !self.is_behind && self.handle.notes.try_send(note).is_ok() {
            self.last_update += 1;
        } else {
            self.is_behind = true;
        }
    }

    /// Whether a full update is to be sent with [`ReplicationGate::send_full_update`].
    pub fn needs_full_update(&self) -> bool {
        self.is_behind && self.handle.notes.capacity() > self.handle.notes.max_capacity() / 2
    }

    pub fn send_full_update(&mut self, states: Vec<(CallId, CallState)>) {
        self.is_behind = false;
        self.send(Note::All(states));
        self.settled_at = self.last_update;
    }

    /// Holds an effect that must not be carried out yet, and returns any other.
    pub fn hold(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        let is_unreplicated =
            self.handle.wait_for_replicas && (self.is_behind || self.replicated < self.last_update);
        let must_wait = is_unreplicated && !self.degraded;
        match &effect {
            Effect::Answer { call, .. } => {
                let is_uncertain = self.is_uncertain(*call);
                if !must_wait && !is_uncertain {
                    self.unreplicated += u64::from(is_unreplicated);
                    return Some(effect);
                }
                let (call, expires_at) = (*call, self.notify_by.unwrap_or(now));
                self.answers.insert(call, HeldEffect { effect, expires_at });
                self.order.push_back((self.last_update, call));
                None
            }
            Effect::SetUp { set_up, .. } if must_wait && self.uncertain.is_none() => {
                let (call, expires_at) = (set_up.call, now + MAX_SET_UP_WAIT);
                self.set_ups.insert(call, HeldEffect { effect, expires_at });
                self.order.push_back((self.last_update, call));
                None
            }
            // The set-up was not sent.
            Effect::CancelAttempt { call, .. } if self.set_ups.remove(call).is_some() => None,
            _ => Some(effect),
        }
    }

    /// Withdraws a set-up that waits for replication.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.set_ups.remove(&call).is_some()
    }

    /// Takes the held answer to a call, when something else is about to be sent to its caller.
    pub fn take_answer(&mut self, call: CallId) -> Option<Effect> {
        Some(self.answers.remove(&call)?.effect)
    }

    /// Drops the answer to a call whose caller is gone.
    pub fn drop_answer(&mut self, call: CallId) -> bool {
        self.relinquished_answers.remove(&call);
        self.answers.remove(&call).is_some()
    }

    /// Expires the uncertain answer to a call that is over before its caller got the answer: it waits only
    /// until it is known which member may tell the caller. Returns whether there was such an answer.
    pub fn expire_uncertain_answer(&mut self, call: CallId) -> bool {
        let is_uncertain = self.is_uncertain(call);
        let held = self.answers.get_mut(&call).filter(|_| is_uncertain);
        held.map(|held| held.expires_at = Micros::MIN).is_some()
    }

    fn is_uncertain(&self, call: CallId) -> bool {
        self.uncertain.as_ref().is_some_and(|uncertain| uncertain.contains(call))
    }

    /// Records a release by a server, which gets the confirmation once the release is replicated.
    pub fn release_received(&mut self, link: LinkId, call: CallId) {
        self.unnumbered_releases.push((link, call));
    }

    /// Numbers the received releases: all updates that follow from them were recorded.
    pub fn number_releases(&mut self) {
        let number = self.last_update;
        self.numbered_releases
            .extend(self.unnumbered_releases.drain(..).map(|(link, call)| (number, link, call)));
        if self.numbered_releases.len() > MAX_UNCONFIRMED_RELEASES {
            // Servers send them again.
            self.numbered_releases.pop_front();
        }
    }

    pub fn set_replicated(&mut self, replicated: u64) {
        self.replicated = self.replicated.max(replicated);
    }

    /// Takes the effects that may be carried out now, and the releases that are to be confirmed to their
    /// servers.
    pub fn take_due(&mut self, now: Micros) -> (Vec<Effect>, Vec<(LinkId, CallId)>) {
        let mut effects = Vec::new();
        while let Some((number, call)) = self.order.front().copied() {
            if number > self.replicated && !self.degraded {
                break;
            }
            self.unreplicated += u64::from(number > self.replicated);
            self.order.pop_front();
            effects.extend(self.set_ups.remove(&call).map(|held| held.effect));
            if !self.is_uncertain(call) {
                effects.extend(self.answers.remove(&call).map(|held| held.effect));
            }
        }
        // No effect is held past its deadline.
        let uncertain = self.uncertain.as_ref();
        let late = |(call, held): (&CallId, &HeldEffect)| {
            let is_uncertain = uncertain.is_some_and(|uncertain| uncertain.contains(*call));
            (now >= held.expires_at && !is_uncertain).then_some(*call)
        };
        let late: Vec<CallId> = self.answers.iter().chain(&self.set_ups).filter_map(late).collect();
        for call in late {
            let held = self.set_ups.remove(&call).or_else(|| self.answers.remove(&call));
            effects.extend(held.map(|held| held.effect));
            self.unreplicated += 1;
        }
        let mut confirmed = Vec::new();
        while let Some((_, link, call)) =
            self.numbered_releases.front().filter(|(number, ..)| *number <= self.replicated)
        {
            confirmed.push((*link, *call));
            self.numbered_releases.pop_front();
        }
        (effects, confirmed)
    }

    /// Takes the held answers of uncertain calls whose callers' time is over and which no successor can have
    /// told anything: these calls fail.
    pub fn take_expired_answers(&mut self, now: Micros) -> Vec<Effect> {
        let Some(uncertain) = &self.uncertain else { return Vec::new() };
        let late = |(call, held): (&CallId, &HeldEffect)| {
            (now >= held.expires_at && uncertain.pending.contains(call)).then_some(*call)
        };
        let late: Vec<CallId> = self.answers.iter().filter_map(late).collect();
        late.iter().filter_map(|call| self.answers.remove(call)).map(|held| held.effect).collect()
    }

    /// Whether an answer to this client is held.
    pub fn holds_answer_to(&self, client: ClientId) -> bool {
        let mut answers = self.answers.values().map(|held| &held.effect);
        answers.any(|effect| matches!(effect, Effect::Answer { client: of, .. } if *of == client))
    }

    pub fn holds_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Takes all held answers at the end of the process, whether replicated or not, and separately the
    /// uncertain ones that are never sent, as far as no successor can have told their callers anything.
    pub fn take_answers(&mut self) -> (Vec<Effect>, Vec<Effect>) {
        let (uncertain, held): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(call, _)| self.is_uncertain(*call));
        self.unreplicated += held.len() as u64;
        let was_pending =
            |call: &CallId| self.uncertain.as_ref().is_some_and(|uncertain| uncertain.pending.contains(call));
        let failed = uncertain.into_iter().filter(|(call, _)| was_pending(call));
        let failed = failed.map(|(_, held)| held.effect).collect();
        (held.into_values().map(|held| held.effect).collect(), failed)
    }

    /// Whether replicas hold all that callers of ended calls were told, and servers got their confirmations:
    /// otherwise a successor, or another member that a server tells, delivers a release again.
    pub fn is_settled(&self) -> bool {
        let confirmed = self.numbered_releases.front().is_none_or(|(number, ..)| *number > self.settled_at);
        !self.is_behind
            && self.unnumbered_releases.is_empty()
            && self.replicated >= self.settled_at
            && confirmed
    }

    /// Whether too few members can store replicas now.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }

    /// Whether anything is held that time alone may release.
    pub fn has_pending(&self) -> bool {
        !self.answers.is_empty() || !self.set_ups.is_empty() || self.uncertain.is_some() || self.is_behind
    }

    /// Whether another member may have taken over earlier calls.
    pub fn is_ownership_uncertain(&self) -> bool {
        !self.handle.lease.holds(self.ownership_losses)
    }

    /// Traces the lease under which a caller is told something.
    pub fn trace_lease(&self, effect: &Effect) {
        match effect {
            Effect::Answer { call, .. }
            | Effect::FinalAnswer { call, .. }
            | Effect::DeliverRelease { call, .. } => {
                trace::lease(*call, self.handle.lease.left(), self.ownership_losses);
            }
            _ => {}
        }
    }

    pub fn has_uncertain_calls(&self) -> bool {
        self.uncertain.is_some()
    }

    pub fn begin_uncertainty(&mut self, uncertain: UncertainCalls) {
        self.uncertain = Some(uncertain);
    }

    /// Ends the uncertainty: returns the answers that were held because of it, and those that are never sent,
    /// since their callers' time or the calls are over.
    pub fn end_uncertainty(&mut self, now: Micros) -> (Vec<Effect>, UndeliveredAnswers) {
        let Some(uncertain) = self.uncertain.take() else { return Default::default() };
        let calls = uncertain.pending.iter().chain(&uncertain.answered);
        let waited: Vec<HeldEffect> = calls.filter_map(|call| self.answers.remove(call)).collect();
        let (in_time, late): (Vec<_>, Vec<_>) = waited.into_iter().partition(|held| now < held.expires_at);
        let effects = |waited: Vec<HeldEffect>| waited.into_iter().map(|held| held.effect).collect();
        let late = effects(late);
        let unanswered = match uncertain.has_successor {
            true => self.split_undelivered(&uncertain.pending, late),
            false => UndeliveredAnswers { fail: late, ask: Vec::new() },
        };
        (effects(in_time), unanswered)
    }

    /// Splits answers that are never sent, where there is a successor: the successor is asked whether it has
    /// told their callers something, except for the calls in `pending`, of which it cannot have.
    fn split_undelivered(&mut self, pending: &BTreeSet<CallId>, answers: Vec<Effect>) -> UndeliveredAnswers {
        let mut unanswered = UndeliveredAnswers::default();
        for effect in answers {
            let Effect::Answer { call, .. } = &effect else { continue };
            if pending.contains(call) {
                unanswered.fail.push(effect);
            } else {
                unanswered.ask.push(*call);
                self.relinquished_answers.insert(*call, effect);
            }
        }
        if !unanswered.ask.is_empty() {
            // Lost where the channel is full: the callers are told nothing then.
            let _ = self.handle.notes.try_send(Note::Relinquished(unanswered.ask.clone()));
        }
        unanswered
    }

    /// Handles the loss of calls to a successor; `queued`: answers to some of them that were not held yet.
    pub fn ownership_lost(&mut self, calls: &BTreeSet<CallId>, queued: Vec<Effect>) -> UndeliveredAnswers {
        self.ownership_losses += 1;
        let held = calls.iter().filter_map(|call| self.answers.remove(call)).map(|held| held.effect);
        let answers = held.chain(queued).collect();
        let pending = self.uncertain.as_mut().map(|uncertain| {
            uncertain.has_successor = true;
            uncertain.pending.clone()
        });
        self.split_undelivered(&pending.unwrap_or_default(), answers)
    }

    /// Takes the unsent answers to calls of whose callers the successor has told, and will tell, nothing.
    pub fn take_relinquished(&mut self, calls: &[CallId]) -> Vec<Effect> {
        calls.iter().filter_map(|call| self.relinquished_answers.remove(call)).collect()
    }

    /// Handles the end of a call at another member.
    pub fn ended_elsewhere(&mut self, call: CallId) {
        self.relinquished_answers.remove(&call);
    }
}
