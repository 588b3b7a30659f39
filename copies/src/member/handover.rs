//! Calls that change hands: what a member that was succeeded tells its successor, and which of them tells
//! callers that their calls are over.

use std::collections::BTreeSet;

use super::{
    Authority, Member, News, Question, Telling, ANSWER, LEFT_FOR, MOST_CALLS, MOST_QUESTIONS,
    MOST_REMEMBERED, REMEMBER, TOLD_FOR,
};
use crate::words::Word;
use crate::writer::Writer;
use crate::{Call, Change, Millis, Record, StreamId};

#[derive(Debug)]
pub(super) struct Handing {
    pub(super) count: u64,
    pub(super) to: Successor,
    pub(super) changes: Vec<Change>,
    /// These calls were relinquished: the process waits to be told that they are the successor's no more.
    pub(super) relinquished: bool,
    pub(super) said: Option<Millis>,
    pub(super) until: Millis,
}

/// Who writes a stream after its writer was taken for lost.
#[derive(Clone, Debug)]
pub(super) struct Successor {
    pub(super) name: String,
    pub(super) stream: StreamId,
    pub(super) epoch: u64,
}

/// Who sees to it that a caller hears of the end of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EndedBy {
    /// This member's process: it has told the caller, or is about to.
    Here,
    /// Another member was about to.
    Announced(Teller),
    /// Another member has told the caller.
    Told,
    /// The caller has acknowledged it to another member, of which this one holds a replica.
    Acknowledged,
}

/// Another member, in one start of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Teller {
    pub(super) name: String,
    pub(super) boot: u64,
}

/// The end of a call.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) at: Millis,
    pub(super) by: EndedBy,
}

impl Member {
    /// The process gives, or is about to give, the release of a call that may be another's: others must hear
    /// that it is over. Where a member that is there, and whose name comes first, has announced the same
    /// before, that one alone is asked.
    pub fn passed_on(&mut self, now: Millis, call: Call) {
        if self.is_acknowledged(call) {
            return self.news.push_back(News::Given(vec![call]));
        }
        let precedes = |teller: &Teller| teller.name < self.name;
        if let Some(teller) = self.living_teller(call).filter(precedes) {
            self.count += 1;
            let waiting = [teller.name.clone()].into();
            let (count, until) = (self.count, now + TOLD_FOR);
            self.tellings.push_back(Telling { count, calls: vec![call], waiting, said: None, until });
            self.left.insert(call, (teller, now));
        } else if !self.ended_here(call) {
            self.remember(call, Ended { at: now, by: EndedBy::Here });
            self.passed_on.push(call);
        }
    }

    /// Another member waits for what the process has to say of calls.
    pub(super) fn take_question(&mut self, question: Question) {
        if !self.questions.contains(&question) {
            self.questions.push_back(question.clone());
            if self.questions.len() > MOST_QUESTIONS {
                self.questions.pop_front();
            }
        }
        self.news.push_back(News::Confirm(question));
    }

    /// The process has carried out all that preceded this question: what it has to say of it is on its way.
    pub fn confirm(&mut self, question: Question) {
        self.questions.retain(|open| *open != question);
        self.words.push((question.from, Word::OverHeard { count: question.count }));
    }

    /// The member that has announced the end of a call, where it is there.
    fn living_teller(&self, call: Call) -> Option<Teller> {
        match &self.overs.get(&call)?.by {
            EndedBy::Announced(teller) => Some(teller.clone()).filter(|teller| self.is_there(teller)),
            EndedBy::Here | EndedBy::Told | EndedBy::Acknowledged => None,
        }
    }

    fn is_there(&self, teller: &Teller) -> bool {
        self.boots.get(&teller.name) == Some(&teller.boot)
    }

    /// Decides on releases that were left to members that had announced them: who is lost gives none, and who
    /// is there for longer than a lost one would be taken for it does.
    pub(super) fn look_at_left(&mut self, now: Millis) {
        for (call, (teller, since)) in std::mem::take(&mut self.left) {
            if !self.is_there(&teller) {
                self.passed_on(now, call);
                if !self.left.contains_key(&call) {
                    self.news.push_back(News::AllTold(vec![call]));
                }
            } else if now >= since + LEFT_FOR {
                self.news.push_back(News::LeftTo(vec![call]));
            } else {
                self.left.insert(call, (teller, since));
            }
        }
    }

    /// Tells the process of calls whose end all others have confirmed.
    pub(super) fn finish_tellings(&mut self) {
        let all = std::mem::take(&mut self.tellings).into_iter();
        let (told, open): (Vec<Telling>, Vec<Telling>) = all.partition(|telling| telling.waiting.is_empty());
        self.tellings = open.into();
        for telling in told {
            let calls: Vec<Call> =
                telling.calls.into_iter().filter(|call| !self.left.contains_key(call)).collect();
            self.news.push_back(News::AllTold(calls));
        }
    }

    /// The process has told the caller of a call that it is over, which another member is about to do: it is
    /// told so once, since it waits for that for less time than a second word would take. Whoever asks is
    /// told also where it is not among the members that are alive yet, as one that has just woken.
    pub fn given(&mut self, now: Millis, call: Call) {
        self.remember(call, Ended { at: now, by: EndedBy::Here });
        let asking = self.questions.iter().map(|question| &question.from);
        let tell: BTreeSet<&String> = self.others.iter().chain(asking).collect();
        for to in tell {
            let word = Word::Over { count: ANSWER, calls: vec![call] };
            self.words.push((to.clone(), word));
        }
    }

    /// The caller of a call has acknowledged its release.
    pub fn acknowledged(&mut self, call: Call) {
        let stream = self.routed.get(&call).copied().unwrap_or(self.own.stream());
        self.acknowledged.entry(stream).or_default().push(call);
    }

    /// Tells those that hold a stream of the calls whose releases were acknowledged.
    pub(super) fn tell_acknowledged(&mut self) {
        for (stream, calls) in std::mem::take(&mut self.acknowledged) {
            let writer =
                if stream == self.own.stream() { Some(&self.own) } else { self.adopted.get(&stream) };
            for holder in writer.into_iter().flat_map(Writer::holders) {
                for calls in calls.chunks(MOST_CALLS) {
                    let word = Word::Acknowledged { calls: calls.to_vec() };
                    self.words.push((holder.to_string(), word));
                }
            }
        }
    }

    /// The writer of a stream that is held here says which releases were acknowledged. The process is told of
    /// those that it is about to give itself.
    pub(super) fn take_acknowledged(&mut self, now: Millis, calls: Vec<Call>) {
        let (own, others): (Vec<Call>, Vec<Call>) =
            calls.into_iter().partition(|call| self.ended_here(*call) || self.left.contains_key(call));
        for call in own.iter().chain(&others) {
            self.remember(*call, Ended { at: now, by: EndedBy::Acknowledged });
            self.left.remove(call);
        }
        if !own.is_empty() {
            self.news.push_back(News::Given(own));
        }
    }

    /// Another member is about to give the releases of these calls: it is told which of them were
    /// acknowledged to a member that may be lost by now.
    pub(super) fn answer_for_acknowledged(&mut self, from: &str, calls: &[Call]) {
        let calls: Vec<Call> = calls.iter().copied().filter(|call| self.is_acknowledged(*call)).collect();
        if !calls.is_empty() {
            self.words.push((from.into(), Word::Over { count: ANSWER, calls }));
        }
    }

    fn is_acknowledged(&self, call: Call) -> bool {
        self.overs.get(&call).is_some_and(|ended| ended.by == EndedBy::Acknowledged)
    }

    /// Calls that were given up to the successor of this member's own stream, and whose callers were told
    /// nothing here: the successor is asked to drop them, and says which of them it has ended.
    pub fn relinquish(&mut self, now: Millis, calls: Vec<Call>) {
        let Some(successor) = self.successor.clone() else {
            return self.news.push_back(News::Relinquished(calls));
        };
        for calls in calls.chunks(MOST_CALLS) {
            let changes = calls.iter().map(|call| (*call, None)).collect();
            self.hand(now, &successor, changes, true);
        }
    }

    fn hand(&mut self, now: Millis, to: &Successor, changes: Vec<Change>, relinquished: bool) {
        self.count += 1;
        let (count, to, until) = (self.count, to.clone(), now + TOLD_FOR);
        self.handings.push(Handing { count, to, changes, relinquished, said: None, until });
    }

    pub(super) fn ended_here(&self, call: Call) -> bool {
        self.overs.get(&call).is_some_and(|ended| ended.by == EndedBy::Here)
    }

    /// Whether the end of a call with this record is another's to tell, or was told. What a member that is
    /// lost was about to tell, and had not told by its own record, it did not tell.
    pub(super) fn is_over(&self, call: Call, record: Option<Record>) -> bool {
        let Some(ended) = self.overs.get(&call) else { return false };
        let is_pending = matches!(record, Some(Record::Owed { .. }));
        match &ended.by {
            EndedBy::Announced(teller) => !is_pending || self.is_there(teller),
            // The process knows whether it has told the caller, or has left that to another since.
            EndedBy::Here => !is_pending,
            EndedBy::Told | EndedBy::Acknowledged => true,
        }
    }

    pub(super) fn remember(&mut self, call: Call, ended: Ended) {
        let now = ended.at;
        match self.overs.get_mut(&call) {
            None => {
                self.overs.insert(call, ended);
                self.over_order.push_back(call);
            }
            Some(before) if matches!(before.by, EndedBy::Here | EndedBy::Acknowledged) => before.at = now,
            Some(before) if before.by == EndedBy::Told && ended.by != EndedBy::Here => before.at = now,
            // Of two members that have announced it the one gives it whose name comes first.
            Some(Ended { at, by: EndedBy::Announced(first) })
                if matches!(&ended.by, EndedBy::Announced(next) if first.name < next.name)
                    && self.boots.get(&first.name) == Some(&first.boot) =>
            {
                *at = now;
            }
            Some(before) => *before = ended,
        }
        while let Some(oldest) = self.over_order.front().copied() {
            let old = self.overs.get(&oldest).is_none_or(|ended| now > ended.at + REMEMBER);
            if !old && self.over_order.len() <= MOST_REMEMBERED {
                break;
            }
            self.over_order.pop_front();
            self.overs.remove(&oldest);
        }
    }

    /// What the writer of a stream that this member took over noted last. It says it again until what the
    /// holders had is taken up here.
    pub(super) fn take_handover(
        &mut self,
        from: &str,
        count: u64,
        stream: StreamId,
        epoch: u64,
        changes: Vec<Change>,
    ) {
        let taken = self.adopted.get(&stream).is_some_and(|writer| writer.epoch() == epoch);
        if !taken && !self.settling.contains_key(&stream) && !self.settled.contains(&stream) {
            return;
        }
        // Ahead of the confirmation, so that the other one does not end them too.
        let dropped = changes.iter().filter(|(_, record)| record.is_none()).map(|(call, _)| *call);
        let calls: Vec<Call> = dropped.filter(|call| self.ended_here(*call)).collect();
        if !calls.is_empty() {
            self.words.push((from.into(), Word::Over { count: ANSWER, calls }));
        }
        let calls = changes.into_iter().filter(|(call, record)| !self.is_over(*call, *record));
        self.news.push_back(News::Handed(calls.collect()));
        self.words.push((from.into(), Word::HandedOver { count }));
    }

    pub(super) fn hand_over(&mut self, now: Millis, old: &Writer, by: &Authority) -> Successor {
        let exposed = self.paused.as_ref();
        let known = |call: &Call| exposed.is_none_or(|calls| calls.contains(call));
        let changes: Vec<Change> = old.unsure();
        // An attempt is called off here; and of calls that began without a lease nobody else has heard.
        let told = changes.into_iter().filter(|(call, record)| {
            !matches!(record, Some(Record::Out { .. })) && (record.is_none() || known(call))
        });
        // Of what is given here all members are told that it is over.
        let changes: Vec<Change> = told.filter(|(call, _)| !self.ended_here(*call)).collect();
        let successor = Successor { name: by.name.clone(), stream: old.stream(), epoch: by.epoch };
        for changes in changes.chunks(MOST_CALLS) {
            self.hand(now, &successor, changes.to_vec(), false);
        }
        successor
    }

    /// What a successor has not confirmed by now stays its own.
    pub(super) fn expire_handings(&mut self, now: Millis) {
        let (open, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.handings).into_iter().partition(|handing| now < handing.until);
        self.handings = open;
        for handing in late.into_iter().filter(|handing| handing.relinquished) {
            self.news.push_back(News::Given(handing.changes.into_iter().map(|(call, _)| call).collect()));
        }
    }
}
