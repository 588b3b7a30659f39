//! One member's part in copies: what it writes, what it holds, what it takes over, and what it says.
//!
//! Its process notes what it promises ([`Member::note`]) and is told [`News`]. Nothing is written, and
//! nothing taken over, without a lease: whoever sleeps or is cut off finds out first whether it was
//! succeeded.

mod handover;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use handover::{Ended, EndedBy, Handing, Successor, Teller};

use crate::holder::Holder;
use crate::placement::{holders, Place};
use crate::takeover::{Found, Takeover};
use crate::words::Word;
use crate::writer::{Limits, Writer};
use crate::{Call, Change, Millis, Record, StreamId};

/// Who holds what is looked at so often.
const PLACE: Millis = 500;
/// A holder that was slow is not chosen again for so long.
const AVOID: Millis = 10_000;
/// Notes that wait to be covered, at most. Past that the oldest count as covered, and as missed.
const MOST_WAITING: usize = 65_536;
/// Calls that are over elsewhere are remembered for so long, and so many of them.
const REMEMBER: Millis = 60_000;
const MOST_REMEMBERED: usize = 100_000;
/// Words that are owed an answer are said again after this, and given up after that.
const AGAIN: Millis = 300;
const TOLD_FOR: Millis = 10_000;
/// Calls of one such word, and words of that kind at once.
const MOST_CALLS: usize = 512;
const MOST_TELLINGS: usize = 256;
/// Questions of others that wait for their answers, at most.
const MOST_QUESTIONS: usize = 1_024;
/// The number of a word that answers another and is not confirmed itself.
const ANSWER: u64 = 0;
/// A release is left to a member that has announced it and is there after this: a lost one is known by then.
const LEFT_FOR: Millis = 5_000;
/// A stream that is over is put into the log so often until it is there.
const SETTLE: Millis = 1_000;

/// Another member that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Other {
    pub name: String,
    pub zone: String,
    pub boot: u64,
    /// It takes calls, and is not about to go.
    pub serves: bool,
}

/// Who writes a stream by the log, since its first writer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    pub stream: StreamId,
    pub name: String,
    pub boot: u64,
    pub epoch: u64,
}

/// What is known of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Whether this member's lease holds.
    pub leased: bool,
    pub others: Vec<Other>,
    pub authorities: Vec<Authority>,
    pub settled: Vec<StreamId>,
}

/// What the process is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// Enough others hold the first so many of its notes.
    Covered(u64),
    /// It keeps these promises from now on, of others that are lost.
    Adopt(Vec<(Call, Record)>),
    /// What such a one says, that only slept, of what it did last.
    Handed(Vec<Change>),
    /// Another keeps what was promised of these calls.
    Renounce(BTreeSet<Call>),
    /// Others have seen to the end of these calls, or are about to.
    Over(Vec<Call>, Precedence),
    /// All that precedes this was carried out: to be answered with [`Member::confirm`].
    Confirm(Question),
    /// All other members have said of these calls, which they were told are over, what they had to say.
    AllTold(Vec<Call>),
    /// Other members, which are there, have announced the end of these calls, and see to it.
    LeftTo(Vec<Call>),
    /// Others have told the callers of these calls that they are over.
    Given(Vec<Call>),
    /// Of calls that were relinquished: the successor has told their callers nothing, and never will.
    Relinquished(Vec<Call>),
    /// Whether too few others can take copies.
    Short(bool),
}

/// A word of another member that is confirmed once this member's process has answered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    pub from: String,
    pub count: u64,
}

/// Which of two members gives a release that both are about to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    Ours,
    Theirs,
}

/// Figures of one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Records of this member's own, and those it has taken over.
    pub own: u64,
    pub adopted: u64,
    /// Of these, how many fewer than `copies` others hold; and others that hold its own.
    pub under_copied: u64,
    pub holders: u64,
    /// What it holds of others.
    pub held_streams: u64,
    pub held: u64,
    /// Successions it has begun, and times that it gave something up to another.
    pub takeovers: u64,
    pub renounced: u64,
    /// Notes that counted as covered without being so.
    pub missed: u64,
}

#[derive(Debug)]
struct Telling {
    count: u64,
    calls: Vec<Call>,
    waiting: BTreeSet<String>,
    said: Option<Millis>,
    until: Millis,
}

#[derive(Debug)]
pub struct Member {
    name: String,
    zone: String,
    boot: u64,
    limits: Limits,
    own: Writer,
    adopted: BTreeMap<StreamId, Writer>,
    /// Calls that were taken over, by their streams.
    routed: BTreeMap<Call, StreamId>,
    takeovers: BTreeMap<StreamId, Takeover>,
    holder: Holder,
    /// Notes so far, and those that are covered; in between, which change of which stream each was.
    noted: u64,
    covered: u64,
    waiting: VecDeque<(u64, StreamId, u64)>,
    /// Without a lease: the calls that others may know of from before.
    paused: Option<BTreeSet<Call>>,
    placed: Option<Millis>,
    avoided: BTreeMap<String, Millis>,
    overs: BTreeMap<Call, Ended>,
    over_order: VecDeque<Call>,
    passed_on: Vec<Call>,
    /// Calls whose releases were acknowledged, by their streams, until the replicas are told.
    acknowledged: BTreeMap<StreamId, Vec<Call>>,
    /// Releases that came here too, of calls whose end another member has announced; since when.
    left: BTreeMap<Call, (Teller, Millis)>,
    tellings: VecDeque<Telling>,
    /// Questions of other members that this member's process has not answered yet.
    questions: VecDeque<Question>,
    handings: Vec<Handing>,
    /// Of this member's own stream of before.
    successor: Option<Successor>,
    settling: BTreeMap<StreamId, Millis>,
    settled: Vec<StreamId>,
    /// Members that were alive at the last tick, and the starts of their programs.
    others: Vec<String>,
    boots: BTreeMap<String, u64>,
    short: bool,
    count: u64,
    figures: Figures,
    news: VecDeque<News>,
    words: Vec<(String, Word)>,
}

impl Member {
    /// `boot`: of this start of the program, as others know it.
    pub fn new(name: &str, zone: &str, boot: u64, limits: Limits) -> Self {
        Member {
            name: name.into(),
            zone: zone.into(),
            boot,
            limits,
            own: Writer::new(StreamId(boot), limits),
            adopted: BTreeMap::new(),
            routed: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            holder: Holder::default(),
            noted: 0,
            covered: 0,
            waiting: VecDeque::new(),
            paused: Some(BTreeSet::new()),
            placed: None,
            avoided: BTreeMap::new(),
            overs: BTreeMap::new(),
            over_order: VecDeque::new(),
            passed_on: Vec::new(),
            acknowledged: BTreeMap::new(),
            left: BTreeMap::new(),
            tellings: VecDeque::new(),
            questions: VecDeque::new(),
            handings: Vec::new(),
            successor: None,
            settling: BTreeMap::new(),
            settled: Vec::new(),
            others: Vec::new(),
            boots: BTreeMap::new(),
            short: limits.needed > 0,
            count: 0,
            figures: Figures::default(),
            news: VecDeque::new(),
            words: Vec::new(),
        }
    }

    pub fn take_news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// What is to be said, and to whom.
    pub fn take_words(&mut self) -> Vec<(String, Word)> {
        std::mem::take(&mut self.words)
    }

    pub fn figures(&self) -> Figures {
        let adopted = || self.adopted.values();
        Figures {
            own: self.own.records().len() as u64,
            adopted: adopted().map(|writer| writer.records().len() as u64).sum(),
            under_copied: adopted().chain([&self.own]).map(|writer| writer.under_copied() as u64).sum(),
            holders: self.own.holders().count() as u64,
            held_streams: self.holder.copies().count() as u64,
            held: self.holder.held() as u64,
            ..self.figures
        }
    }

    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// The streams of this member's own and those it has taken over, with the names of those that hold them.
    pub fn written(&self) -> impl Iterator<Item = &Writer> {
        [&self.own].into_iter().chain(self.adopted.values())
    }

    /// What it writes by which epoch, and is about to.
    pub fn writes(&self) -> Vec<(StreamId, u64)> {
        let written = self.written().map(|writer| (writer.stream(), writer.epoch()));
        written.chain(self.takeovers.iter().map(|(stream, takeover)| (*stream, takeover.epoch()))).collect()
    }

    /// The process promises something else of a call, or nothing any more.
    pub fn note(&mut self, call: Call, record: Option<Record>) {
        self.noted += 1;
        let stream = self.routed.get(&call).copied();
        let writer = match stream.and_then(|stream| self.adopted.get_mut(&stream)) {
            Some(writer) => writer,
            None => &mut self.own,
        };
        let number = writer.note(call, record);
        self.waiting.push_back((self.noted, writer.stream(), number));
        if record.is_none() {
            self.routed.remove(&call);
        }
        if self.waiting.len() > MOST_WAITING {
            self.waiting.pop_front();
            self.figures.missed += 1;
        }
    }

    /// Some notes were lost on the way; this is all that the process promises. It counts as one note.
    pub fn replace(&mut self, records: BTreeMap<Call, Record>) {
        self.noted += 1;
        let gone: Vec<Call> =
            self.routed.keys().filter(|call| !records.contains_key(call)).copied().collect();
        for call in gone {
            if let Some(writer) = self.routed.remove(&call).and_then(|stream| self.adopted.get_mut(&stream)) {
                writer.note(call, None);
            }
        }
        let (routed, own): (BTreeMap<_, _>, BTreeMap<_, _>) =
            records.into_iter().partition(|(call, _)| self.routed.contains_key(call));
        for (call, record) in routed {
            let writer = self.routed.get(&call).and_then(|stream| self.adopted.get_mut(stream));
            if let Some(writer) = writer {
                writer.note(call, Some(record));
            }
        }
        let number = self.own.replace(own);
        self.waiting.push_back((self.noted, self.own.stream(), number));
    }

    /// A word of another member, in its start `boot`.
    pub fn received(&mut self, now: Millis, from: &str, boot: u64, word: Word) {
        match word {
            Word::Holds { .. } | Word::Full { .. } => {
                self.at_writers(now, from, boot, &word);
            }
            Word::Fenced { .. } | Word::Fetched { .. } => {
                self.at_writers(now, from, boot, &word);
                self.takeovers.values_mut().for_each(|takeover| takeover.received(from, word.clone()));
            }
            Word::Over { count: ANSWER, calls } => {
                for call in &calls {
                    self.remember(*call, Ended { at: now, by: EndedBy::Told });
                    self.left.remove(call);
                }
                self.news.push_back(News::Given(calls));
            }
            Word::Acknowledged { calls } => self.take_acknowledged(now, calls),
            Word::Over { count, calls } => {
                self.answer_for_acknowledged(from, &calls);
                for call in &calls {
                    let by = EndedBy::Announced(Teller { name: from.into(), boot });
                    self.remember(*call, Ended { at: now, by });
                }
                let precedence =
                    if from < self.name.as_str() { Precedence::Theirs } else { Precedence::Ours };
                self.news.push_back(News::Over(calls, precedence));
                self.take_question(Question { from: from.into(), count });
            }
            Word::OverHeard { count } => {
                for telling in self.tellings.iter_mut().filter(|telling| telling.count == count) {
                    telling.waiting.remove(from);
                }
                self.finish_tellings();
            }
            Word::Handover { count, stream, epoch, changes } => {
                self.take_handover(from, count, stream, epoch, changes);
            }
            Word::HandedOver { count } => {
                let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.handings)
                    .into_iter()
                    .partition(|handing| handing.count == count);
                self.handings = open;
                for handing in done.into_iter().filter(|handing| handing.relinquished) {
                    let calls = handing.changes.into_iter().map(|(call, _)| call).collect();
                    self.news.push_back(News::Relinquished(calls));
                }
            }
            word => {
                if let Some(answer) = self.holder.received(now, from, boot, word) {
                    self.words.push((from.into(), answer));
                }
            }
        }
        self.look_at_covered();
    }

    fn at_writers(&mut self, now: Millis, from: &str, boot: u64, word: &Word) {
        for writer in [&mut self.own].into_iter().chain(self.adopted.values_mut()) {
            writer.received(now, from, boot, word.clone());
        }
    }

    fn look_at_covered(&mut self) {
        let before = self.covered;
        while let Some((count, stream, number)) = self.waiting.front().copied() {
            let writer =
                if stream == self.own.stream() { Some(&self.own) } else { self.adopted.get(&stream) };
            if writer.is_some_and(|writer| writer.covered() < number) {
                break;
            }
            self.covered = count;
            self.waiting.pop_front();
        }
        if self.covered > before {
            // One word for many, where nobody has asked meanwhile.
            if let Some(News::Covered(covered)) = self.news.back_mut() {
                *covered = self.covered;
            } else {
                self.news.push_back(News::Covered(self.covered));
            }
        }
    }

    /// Says what is new, between ticks.
    pub fn poll(&mut self, now: Millis) {
        self.tell_acknowledged();
        if self.paused.is_none() {
            for writer in [&mut self.own].into_iter().chain(self.adopted.values_mut()) {
                self.words.extend(writer.poll(now));
            }
        }
        self.look_at_covered();
    }

    /// Time has passed, and the fleet is so.
    pub fn tick(&mut self, now: Millis, known: &Known) {
        self.settled.clone_from(&known.settled);
        self.others = known.others.iter().map(|other| other.name.clone()).collect();
        self.boots = known.others.iter().map(|other| (other.name.clone(), other.boot)).collect();
        for stream in &known.settled {
            self.holder.over(*stream);
            self.settling.remove(stream);
            if self.adopted.get(stream).is_some_and(|writer| writer.records().is_empty()) {
                self.adopted.remove(stream);
            }
        }
        self.look_at_authorities(now, known);
        self.look_at_left(now);
        self.tell(now, known);
        let there = |name: &str, boot: u64| {
            known.others.iter().any(|other| (other.name.as_str(), other.boot) == (name, boot))
        };
        self.holder.sweep(there);
        if !known.leased {
            // What is new from now on nobody else hears of.
            if self.paused.is_none() {
                let calls = self.written().flat_map(|writer| writer.records().keys().copied()).collect();
                self.paused = Some(calls);
            }
        } else {
            self.paused = None;
            self.take_over(now, known);
            if self.placed.is_none_or(|placed| now >= placed + PLACE) {
                self.placed = Some(now);
                self.place(now, known);
            }
        }
        let short = self.paused.is_some() && self.limits.needed > 0 || !self.own.has_room(now);
        if std::mem::replace(&mut self.short, short) != short {
            self.news.push_back(News::Short(short));
        }
        self.poll(now);
    }

    /// What others write by now is written here no more; what is this member's to write is taken over.
    fn look_at_authorities(&mut self, now: Millis, known: &Known) {
        for authority in &known.authorities {
            let Authority { stream, name, boot, epoch } = authority;
            self.holder.fence(*stream, *epoch);
            if *stream == self.own.stream() {
                self.succeeded(now, authority);
                continue;
            }
            let mine = name == &self.name && *boot == self.boot;
            if self.adopted.get(stream).is_some_and(|writer| !mine || writer.epoch() < *epoch) {
                if let Some(writer) = self.adopted.remove(stream) {
                    self.hand_over(now, &writer, authority);
                    let calls: BTreeSet<Call> = writer.records().keys().copied().collect();
                    self.routed.retain(|call, _| !calls.contains(call));
                    self.renounce(calls);
                }
            }
            let under_way = self.takeovers.get(stream).map(Takeover::epoch);
            if !mine {
                self.takeovers.remove(stream);
            } else if !self.adopted.contains_key(stream) && under_way.is_none_or(|known| known < *epoch) {
                self.begin_takeover(now, known, *stream, *epoch);
            }
        }
    }

    /// This member's own stream has a successor: it was taken for lost.
    fn succeeded(&mut self, now: Millis, by: &Authority) {
        let all = || self.own.records().keys().copied().collect();
        let exposed: BTreeSet<Call> = self.paused.clone().unwrap_or_else(all);
        let next = StreamId(self.own.stream().0.rotate_left(23) ^ self.boot ^ by.epoch);
        let old = std::mem::replace(&mut self.own, Writer::new(next, self.limits));
        self.successor = Some(self.hand_over(now, &old, by));
        // What came since nobody else could hear of it goes on here, and releases that are given here.
        let kept = |call: &Call| !exposed.contains(call) || self.ended_here(*call);
        let kept: Vec<(Call, Record)> = old
            .records()
            .iter()
            .filter(|(call, _)| kept(call))
            .map(|(call, record)| (*call, *record))
            .collect();
        for (call, record) in kept {
            self.own.note(call, Some(record));
        }
        self.waiting.retain(|(_, stream, _)| *stream != old.stream());
        self.waiting.push_back((self.noted, next, self.own.number()));
        self.placed = None;
        self.renounce(exposed);
    }

    fn renounce(&mut self, calls: BTreeSet<Call>) {
        self.figures.renounced += 1;
        self.news.push_back(News::Renounce(calls));
    }

    fn begin_takeover(&mut self, now: Millis, known: &Known, stream: StreamId, epoch: u64) {
        let own = self.holder.copy(stream).map(|copy| Found {
            epoch: copy.epoch(),
            number: copy.number(),
            records: copy.records().clone(),
        });
        let others: Vec<String> = known.others.iter().map(|other| other.name.clone()).collect();
        self.takeovers.insert(stream, Takeover::new(now, stream, epoch, own, &others));
        self.figures.takeovers += 1;
    }

    fn take_over(&mut self, now: Millis, known: &Known) {
        for takeover in self.takeovers.values_mut() {
            takeover.waits_for(|name| known.others.iter().any(|other| other.name == name));
            self.words.extend(takeover.poll(now));
        }
        let ready = |(stream, takeover): (&StreamId, &Takeover)| {
            takeover.found(now).map(|found| (*stream, takeover.epoch(), found))
        };
        let ready: Vec<_> = self.takeovers.iter().filter_map(ready).collect();
        for (stream, epoch, found) in ready {
            self.takeovers.remove(&stream);
            let Found { number, records, .. } = found;
            let mut writer = Writer::resume(stream, epoch, self.limits, number, records.clone());
            let (over, adopted): (Vec<_>, Vec<_>) =
                records.into_iter().partition(|(call, record)| self.is_over(*call, Some(*record)));
            for (call, _) in over {
                writer.note(call, None);
            }
            self.routed.extend(adopted.iter().map(|(call, _)| (*call, stream)));
            self.adopted.insert(stream, writer);
            self.news.push_back(News::Adopt(adopted));
            self.placed = None;
        }
        // Said until it is in the log.
        for (stream, writer) in &self.adopted {
            if writer.records().is_empty() {
                self.settling.entry(*stream).or_insert(0);
            }
        }
        let open = |stream: &StreamId| known.authorities.iter().any(|authority| authority.stream == *stream);
        self.settling.retain(|stream, _| open(stream));
    }

    /// Streams of which all is kept, to be put into the log, each with its epoch.
    pub fn settle(&mut self, now: Millis) -> Vec<(StreamId, u64)> {
        let mut due = Vec::new();
        for (stream, said) in &mut self.settling {
            let writer = self.adopted.get(stream).filter(|writer| writer.records().is_empty());
            if let Some(writer) = writer.filter(|_| *said == 0 || now >= *said + SETTLE) {
                *said = now.max(1);
                due.push((*stream, writer.epoch()));
            }
        }
        due
    }

    fn place(&mut self, now: Millis, known: &Known) {
        self.avoided.retain(|_, until| now < *until);
        for writer in [&self.own].into_iter().chain(self.adopted.values()) {
            self.avoided.extend(writer.slow(now).map(|name| (name.to_string(), now + AVOID)));
        }
        let pick = |pass: &dyn Fn(&Other) -> bool| -> Vec<Place> {
            let fit = known.others.iter().filter(|other| pass(other));
            fit.map(|other| Place { name: &other.name, zone: &other.zone, weight: 1.0, load: 0 }).collect()
        };
        let best = pick(&|other| other.serves && !self.avoided.contains_key(&other.name));
        let some = if best.len() >= self.limits.copies { best } else { pick(&|_| true) };
        let boot =
            |name: &str| known.others.iter().find(|other| other.name == name).map_or(0, |other| other.boot);
        for writer in [&mut self.own].into_iter().chain(self.adopted.values_mut()) {
            let chosen = holders(writer.stream().0, &self.zone, &some, self.limits.copies);
            let chosen: Vec<(String, u64)> =
                chosen.into_iter().map(|name| (name.to_string(), boot(name))).collect();
            writer.place(now, &chosen);
        }
    }

    /// What is said until it is heard.
    fn tell(&mut self, now: Millis, known: &Known) {
        let calls = std::mem::take(&mut self.passed_on);
        for calls in calls.chunks(MOST_CALLS) {
            self.count += 1;
            let waiting = known.others.iter().map(|other| other.name.clone()).collect();
            let (count, until) = (self.count, now + TOLD_FOR);
            self.tellings.push_back(Telling { count, calls: calls.to_vec(), waiting, said: None, until });
        }
        self.tellings.drain(..self.tellings.len().saturating_sub(MOST_TELLINGS));
        self.tellings.retain(|telling| now < telling.until);
        for telling in &mut self.tellings {
            // Nobody waits for the word of a member that is lost.
            telling.waiting.retain(|name| known.others.iter().any(|other| other.name == *name));
        }
        self.finish_tellings();
        let due = |said: Option<Millis>| said.is_none_or(|said| now >= said + AGAIN);
        for telling in self.tellings.iter_mut().filter(|telling| due(telling.said)) {
            telling.said = Some(now);
            for to in &telling.waiting {
                let word = Word::Over { count: telling.count, calls: telling.calls.clone() };
                self.words.push((to.clone(), word));
            }
        }
        self.expire_handings(now);
        for handing in self.handings.iter_mut().filter(|handing| due(handing.said)) {
            handing.said = Some(now);
            let Handing { count, to, changes, .. } = handing;
            let Successor { name, stream, epoch } = to.clone();
            let word = Word::Handover { count: *count, stream, epoch, changes: changes.clone() };
            self.words.push((name, word));
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }
}
