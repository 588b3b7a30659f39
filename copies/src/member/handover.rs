//! Calls that change hands: what a member that was succeeded tells its successor, and which of them tells
//! callers that their calls are over.

use super::{
    Authority, Member, News, Question, Telling, ANSWER, MOST_CALLS, MOST_REMEMBERED, REMEMBER, TOLD_FOR,
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

/// The end of a call that a member was told of, or has itself told the caller of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) at: Millis,
    pub(super) here: bool,
}

impl Member {
    /// The process has given the release of a call that it did not know: others must hear that it is over.
    pub fn passed_on(&mut self, now: Millis, call: Call) {
        if !self.ended_here(call) {
            self.remember(call, Ended { at: now, here: true });
            self.passed_on.push(call);
        }
    }

    /// The process has carried out all that preceded this question: what it has to say of it is on its way.
    pub fn confirm(&mut self, question: Question) {
        self.words.push((question.from, Word::OverHeard { count: question.count }));
    }

    /// Tells the process of calls whose end all others have confirmed.
    pub(super) fn finish_tellings(&mut self) {
        let all = std::mem::take(&mut self.tellings).into_iter();
        let (told, open): (Vec<Telling>, Vec<Telling>) = all.partition(|telling| telling.waiting.is_empty());
        self.tellings = open.into();
        self.news.extend(told.into_iter().map(|telling| News::AllTold(telling.calls)));
    }

    /// The process has told the caller of a call that it is over, which another member is about to do: it is
    /// told so once, since it waits for that for less time than a second word would take.
    pub fn given(&mut self, now: Millis, call: Call) {
        self.remember(call, Ended { at: now, here: true });
        for to in &self.others {
            let word = Word::Over { count: ANSWER, calls: vec![call] };
            self.words.push((to.clone(), word));
        }
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
        self.overs.get(&call).is_some_and(|ended| ended.here)
    }

    pub(super) fn remember(&mut self, call: Call, ended: Ended) {
        let Ended { at: now, here } = ended;
        let before = self.overs.get(&call).map(|ended| ended.here);
        self.overs.insert(call, Ended { at: now, here: here || before == Some(true) });
        if before.is_none() {
            self.over_order.push_back(call);
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
        let calls = changes.into_iter().filter(|(call, _)| !self.overs.contains_key(call));
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
