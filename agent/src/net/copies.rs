//! The owner's side of copies: tells promises as the core does, and keeps back what may be said only once
//! others hold them.
//!
//! What waits is kept by call; a word that makes it moot takes it out. While it is not known whether another
//! has taken over ([`Copies::in_doubt`]), answers to calls of before wait too.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use steprelay_copies::member::PeerRequest;
use steprelay_core::{CallState, ClientId, Effect};
use steprelay_decisions::{CallId, Micros};
use tokio::sync::mpsc;

use crate::ports::copies::{Lease, Note};
use crate::ports::LinkId;
use crate::trace;

/// A set-up waits so long at most for others to know of it.
const SET_UP_WITHIN: Micros = 100_000;
/// Releases that servers wait to be told of, at most.
const MOST_HEARD: usize = 50_000;

/// How copies are kept, and the ends of whoever keeps them.
pub struct CopiesEnd {
    pub notes: mpsc::Sender<Note>,
    pub lease: Arc<Lease>,
    pub after_copies: bool,
    pub refuse_short: bool,
}

/// What waits for others.
#[derive(Debug)]
struct Waiting {
    effect: Effect,
    /// It waits no longer than this.
    by: Micros,
}

/// Calls that a successor may have taken over by now.
#[derive(Debug, Default)]
pub struct Doubt {
    /// An attempt was out when the doubt began: a successor can only have called it off.
    pub out: BTreeSet<CallId>,
    /// These had an answer or a release then: a successor may say, or have said, that they are over.
    pub answered: BTreeSet<CallId>,
    /// There is a successor.
    succeeded: bool,
}

impl Doubt {
    fn contains(&self, call: CallId) -> bool {
        self.out.contains(&call) || self.answered.contains(&call)
    }
}

/// Answers that were never given and never will be.
#[derive(Debug, Default, PartialEq)]
pub struct Unanswered {
    /// No successor can have told their callers anything: they are told that they failed.
    pub fail: Vec<Effect>,
    /// A successor may have told their callers something, which it is asked first.
    pub ask: Vec<CallId>,
}

pub struct Copies {
    end: CopiesEnd,
    noted: u64,
    covered: u64,
    renounced: u64,
    /// A note found no room: all that is promised goes in one when there is some.
    behind: bool,
    /// When the caller of the call noted last must have heard of it.
    by: Option<Micros>,
    answers: BTreeMap<CallId, Waiting>,
    set_ups: BTreeMap<CallId, Waiting>,
    /// By the number of the note that has to be covered.
    order: VecDeque<(u64, CallId)>,
    /// Of other members, to be confirmed once what precedes them was carried out.
    questions: Vec<PeerRequest>,
    /// Releases that came, until the notes of them are numbered; and then by that number.
    came: Vec<(LinkId, CallId)>,
    heard: VecDeque<(u64, LinkId, CallId)>,
    /// The note by which others know all that callers were told of calls that are over, and acknowledged.
    settled_by: u64,
    /// Too few others can take copies: nothing waits for them.
    short: bool,
    doubt: Option<Doubt>,
    /// Answers to calls of which a successor is asked whether it has ended them.
    relinquished: BTreeMap<CallId, Effect>,
    /// Went out though too few others knew.
    pub uncopied: u64,
}

impl Copies {
    pub fn new(end: CopiesEnd) -> Self {
        Copies {
            end,
            noted: 0,
            covered: 0,
            renounced: 0,
            behind: false,
            by: None,
            answers: BTreeMap::new(),
            set_ups: BTreeMap::new(),
            order: VecDeque::new(),
            questions: Vec::new(),
            came: Vec::new(),
            heard: VecDeque::new(),
            settled_by: 0,
            short: true,
            doubt: None,
            relinquished: BTreeMap::new(),
            uncopied: 0,
        }
    }

    /// Whether too few others can take copies; returns whether set-ups are refused meanwhile.
    pub fn short(&mut self, short: bool) -> bool {
        self.short = short;
        short && self.end.refuse_short
    }

    /// A promise has changed.
    pub fn note(&mut self, call: CallId, promise: Option<CallState>, by: Option<Micros>) {
        self.by = by;
        if !matches!(promise, Some(CallState::AttemptPending(_))) {
            self.set_ups.remove(&call);
        }
        self.say(Note::Promise(call, promise));
        if promise.is_none() {
            self.settled_by = self.noted;
        }
    }

    pub fn passed_on(&mut self, call: CallId) {
        // Lost where there is no room: the others find out when they are told of the server.
        let _ = self.end.notes.try_send(Note::PassedOn(call));
    }

    pub fn acknowledged(&mut self, call: CallId) {
        // Lost where there is no room: replicas do not answer for this release then.
        let _ = self.end.notes.try_send(Note::Acknowledged(call));
    }

    pub fn given(&mut self, call: CallId) {
        // Lost where there is no room: its caller may be told twice then.
        let _ = self.end.notes.try_send(Note::Given(call));
    }

    /// Another member waits for what is to be said of calls that it was told of: it goes out behind that.
    pub fn confirm(&mut self, question: PeerRequest) {
        self.questions.push(question);
    }

    /// All that precedes the questions of other members was carried out.
    pub fn answer_questions(&mut self) {
        for question in self.questions.drain(..) {
            // Lost where there is no room: it is asked again.
            let _ = self.end.notes.try_send(Note::Confirmed(question));
        }
    }

    /// A release leaves.
    pub fn release_leaves(&mut self) {
        self.settled_by = self.noted;
    }

    fn say(&mut self, note: Note) {
        if !self.behind && self.end.notes.try_send(note).is_ok() {
            self.noted += 1;
        } else {
            self.behind = true;
        }
    }

    /// Whether all that is promised is to be told anew, with [`Copies::all`].
    pub fn is_behind(&self) -> bool {
        self.behind && self.end.notes.capacity() > self.end.notes.max_capacity() / 2
    }

    pub fn all(&mut self, promised: Vec<(CallId, CallState)>) {
        self.behind = false;
        self.say(Note::All(promised));
        self.settled_by = self.noted;
    }

    /// What is not to go out yet is kept; all else comes back.
    pub fn hold(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        let uncovered = self.end.after_copies && (self.behind || self.covered < self.noted);
        let waits = uncovered && !self.short;
        match &effect {
            Effect::Answer { call, .. } => {
                let doubted = self.doubts(*call);
                if !waits && !doubted {
                    self.uncopied += u64::from(uncovered);
                    return Some(effect);
                }
                let (call, by) = (*call, self.by.unwrap_or(now));
                self.answers.insert(call, Waiting { effect, by });
                self.order.push_back((self.noted, call));
                None
            }
            Effect::SetUp { set_up, .. } if waits && self.doubt.is_none() => {
                let (call, by) = (set_up.call, now + SET_UP_WITHIN);
                self.set_ups.insert(call, Waiting { effect, by });
                self.order.push_back((self.noted, call));
                None
            }
            // It has not left.
            Effect::CancelAttempt { call, .. } if self.set_ups.remove(call).is_some() => None,
            _ => Some(effect),
        }
    }

    /// Takes back a set-up that waits for others.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.set_ups.remove(&call).is_some()
    }

    /// The answer to a call that waits, where something else is about to be said to its caller.
    pub fn answer_first(&mut self, call: CallId) -> Option<Effect> {
        Some(self.answers.remove(&call)?.effect)
    }

    /// Its caller has gone: it is to hear nothing any more.
    pub fn drop_answer(&mut self, call: CallId) -> bool {
        self.relinquished.remove(&call);
        self.answers.remove(&call).is_some()
    }

    /// The call is over, and its caller was not told that it stood: it waits no longer than until it is known
    /// who may say so. Whether there was such an answer.
    pub fn expire_doubted_answer(&mut self, call: CallId) -> bool {
        let doubted = self.doubts(call);
        let waiting = self.answers.get_mut(&call).filter(|_| doubted);
        waiting.map(|waiting| waiting.by = Micros::MIN).is_some()
    }

    fn doubts(&self, call: CallId) -> bool {
        self.doubt.as_ref().is_some_and(|doubt| doubt.contains(call))
    }

    /// A server has released something, and is to hear that once others know.
    pub fn release_came(&mut self, link: LinkId, call: CallId) {
        self.came.push((link, call));
    }

    /// All that follows from what came has been noted.
    pub fn number_releases(&mut self) {
        let number = self.noted;
        self.heard.extend(self.came.drain(..).map(|(link, call)| (number, link, call)));
        if self.heard.len() > MOST_HEARD {
            // Servers say them again.
            self.heard.pop_front();
        }
    }

    pub fn covered(&mut self, covered: u64) {
        self.covered = self.covered.max(covered);
    }

    /// What may go out now: effects, and releases whose servers are to hear that they were heard.
    pub fn due(&mut self, now: Micros) -> (Vec<Effect>, Vec<(LinkId, CallId)>) {
        let mut effects = Vec::new();
        while let Some((number, call)) = self.order.front().copied() {
            if number > self.covered && !self.short {
                break;
            }
            self.uncopied += u64::from(number > self.covered);
            self.order.pop_front();
            effects.extend(self.set_ups.remove(&call).map(|waiting| waiting.effect));
            if !self.doubts(call) {
                effects.extend(self.answers.remove(&call).map(|waiting| waiting.effect));
            }
        }
        // Nobody waits past its time for others.
        let doubt = self.doubt.as_ref();
        let late = |(call, waiting): (&CallId, &Waiting)| {
            let doubted = doubt.is_some_and(|doubt| doubt.contains(*call));
            (now >= waiting.by && !doubted).then_some(*call)
        };
        let late: Vec<CallId> = self.answers.iter().chain(&self.set_ups).filter_map(late).collect();
        for call in late {
            let waiting = self.set_ups.remove(&call).or_else(|| self.answers.remove(&call));
            effects.extend(waiting.map(|waiting| waiting.effect));
            self.uncopied += 1;
        }
        let mut heard = Vec::new();
        while let Some((_, link, call)) = self.heard.front().filter(|(number, ..)| *number <= self.covered) {
            heard.push((*link, *call));
            self.heard.pop_front();
        }
        (effects, heard)
    }

    /// Answers that waited because of a doubt, whose callers' time is over and whom no successor can have
    /// told anything: they are to get another one.
    pub fn given_up(&mut self, now: Micros) -> Vec<Effect> {
        let Some(doubt) = &self.doubt else { return Vec::new() };
        let late = |(call, waiting): (&CallId, &Waiting)| {
            (now >= waiting.by && doubt.out.contains(call)).then_some(*call)
        };
        let late: Vec<CallId> = self.answers.iter().filter_map(late).collect();
        late.iter().filter_map(|call| self.answers.remove(call)).map(|waiting| waiting.effect).collect()
    }

    /// Whether an answer to this client waits.
    pub fn holds_answer_to(&self, client: ClientId) -> bool {
        let mut answers = self.answers.values().map(|waiting| &waiting.effect);
        answers.any(|effect| matches!(effect, Effect::Answer { client: of, .. } if *of == client))
    }

    pub fn holds_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// The answers that wait, where no time is left for that, whether others know or not; and those that were
    /// held in doubt, which are never given, of calls whose callers no successor can have told anything.
    pub fn take_answers(&mut self) -> (Vec<Effect>, Vec<Effect>) {
        let (doubted, held): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(call, _)| self.doubts(*call));
        self.uncopied += held.len() as u64;
        let is_out = |call: &CallId| self.doubt.as_ref().is_some_and(|doubt| doubt.out.contains(call));
        let failed = doubted.into_iter().filter(|(call, _)| is_out(call));
        let failed = failed.map(|(_, waiting)| waiting.effect).collect();
        (held.into_values().map(|waiting| waiting.effect).collect(), failed)
    }

    /// Whether others hold all that callers were told of calls that are over, and servers were told that it
    /// was heard: else a successor, or another member whom a server tells, gives a release again.
    pub fn is_settled(&self) -> bool {
        let told = self.heard.front().is_none_or(|(number, ..)| *number > self.settled_by);
        !self.behind && self.came.is_empty() && self.covered >= self.settled_by && told
    }

    /// Whether too few others can take copies now.
    pub fn is_short(&self) -> bool {
        self.short
    }

    /// Whether anything waits that time alone may let out.
    pub fn waits(&self) -> bool {
        !self.answers.is_empty() || !self.set_ups.is_empty() || self.doubt.is_some() || self.behind
    }

    /// Whether another may have taken over what was promised before.
    pub fn in_doubt(&self) -> bool {
        !self.end.lease.holds(self.renounced)
    }

    /// Traces the lease under which a caller is told something.
    pub fn trace_lease(&self, effect: &Effect) {
        match effect {
            Effect::Answer { call, .. }
            | Effect::FinalAnswer { call, .. }
            | Effect::DeliverRelease { call, .. } => {
                trace::lease(*call, self.end.lease.left(), self.renounced);
            }
            _ => {}
        }
    }

    pub fn was_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    pub fn doubt_begins(&mut self, doubt: Doubt) {
        self.doubt = Some(doubt);
    }

    /// There is none any more: the answers that waited because of it, and those that are never given, since
    /// the time of their callers is over or their calls are.
    pub fn doubt_ends(&mut self, now: Micros) -> (Vec<Effect>, Unanswered) {
        let Some(doubt) = self.doubt.take() else { return Default::default() };
        let calls = doubt.out.iter().chain(&doubt.answered);
        let waited: Vec<Waiting> = calls.filter_map(|call| self.answers.remove(call)).collect();
        let (in_time, late): (Vec<_>, Vec<_>) = waited.into_iter().partition(|waiting| now < waiting.by);
        let effects = |waited: Vec<Waiting>| waited.into_iter().map(|waiting| waiting.effect).collect();
        let late = effects(late);
        let unanswered = match doubt.succeeded {
            true => self.never_answered(&doubt.out, late),
            false => Unanswered { fail: late, ask: Vec::new() },
        };
        (effects(in_time), unanswered)
    }

    /// Parts answers that are never given, where there is a successor: it is asked whether it has told their
    /// callers something. `out`: calls of which it can't have.
    fn never_answered(&mut self, out: &BTreeSet<CallId>, answers: Vec<Effect>) -> Unanswered {
        let mut unanswered = Unanswered::default();
        for effect in answers {
            let Effect::Answer { call, .. } = &effect else { continue };
            if out.contains(call) {
                unanswered.fail.push(effect);
            } else {
                unanswered.ask.push(*call);
                self.relinquished.insert(*call, effect);
            }
        }
        if !unanswered.ask.is_empty() {
            // Lost where there is no room: nothing is said of them then.
            let _ = self.end.notes.try_send(Note::Relinquished(unanswered.ask.clone()));
        }
        unanswered
    }

    /// These calls were given up to a successor; `queued`: answers to some that had not come here yet.
    pub fn renounced(&mut self, calls: &BTreeSet<CallId>, queued: Vec<Effect>) -> Unanswered {
        self.renounced += 1;
        let held = calls.iter().filter_map(|call| self.answers.remove(call)).map(|waiting| waiting.effect);
        let answers = held.chain(queued).collect();
        let out = self.doubt.as_mut().map(|doubt| {
            doubt.succeeded = true;
            doubt.out.clone()
        });
        self.never_answered(&out.unwrap_or_default(), answers)
    }

    /// The successor has told their callers nothing, and will not: the answers that were never given.
    pub fn relinquished(&mut self, calls: &[CallId]) -> Vec<Effect> {
        calls.iter().filter_map(|call| self.relinquished.remove(call)).collect()
    }

    /// Another member has seen to the end of the call.
    pub fn over_elsewhere(&mut self, call: CallId) {
        self.relinquished.remove(&call);
    }
}
