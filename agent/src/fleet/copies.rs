//! Copies on the fleet's thread: hands to [`Member`] what the program notes and what others say, and carries
//! its words and news on.

use std::collections::VecDeque;
use std::sync::Arc;

use steprelay_copies::member::{Authority, Figures, Known, Member, News, Other};
use steprelay_copies::words::Word;
use steprelay_copies::StreamId;
use steprelay_fleet::messages::{HeldReplica, StreamEpoch};
use steprelay_fleet::node::Node;
use steprelay_fleet::swim;
use steprelay_fleet::Millis;
use tokio::sync::mpsc;

use super::config::CopiesConfig;
use super::control::CopyRow;
use crate::ports::copies::{record, Lease, Note};

/// Notes taken at once before anything else is looked at.
const AT_ONCE: usize = 4_096;

pub struct Copies {
    member: Member,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<Note>,
    news: mpsc::Sender<News>,
    /// News that found no room yet.
    waiting: VecDeque<News>,
    /// Somebody waits for what is noted to be held; else it goes out with the next tick, many notes in one
    /// word.
    urgent: bool,
    /// A lease that others gave, but that the program is not told of before the news ahead of it.
    leased: Option<Millis>,
}

impl Copies {
    pub fn new(
        config: CopiesConfig,
        me: &swim::Member,
        lease: Arc<Lease>,
        notes: mpsc::Receiver<Note>,
        news: mpsc::Sender<News>,
    ) -> Self {
        let member = Member::new(&me.name, &me.zone, me.boot, config.limits);
        let urgent = config.after_copies;
        Copies { member, lease, notes, news, waiting: VecDeque::new(), urgent, leased: None }
    }

    /// The next note of the program; those that wait with it are taken too.
    pub async fn next(&mut self) -> Option<Note> {
        self.notes.recv().await
    }

    /// Takes notes; whether they are to go out at once.
    pub fn note(&mut self, now: Millis, first: Note) -> bool {
        let mut next = Some(first);
        for _ in 0..AT_ONCE {
            match next {
                Some(Note::Promise(call, promise)) => self.member.note(call.0, promise.map(record)),
                Some(Note::All(all)) => {
                    let records = all.into_iter().map(|(call, promise)| (call.0, record(promise)));
                    self.member.replace(records.collect());
                }
                Some(Note::PassedOn(call)) => self.member.passed_on(now, call.0),
                Some(Note::Acknowledged(call)) => self.member.acknowledged(call.0),
                Some(Note::Given(call)) => self.member.given(now, call.0),
                Some(Note::Confirmed(question)) => self.member.confirm(question),
                Some(Note::Relinquished(calls)) => {
                    self.member.relinquish(now, calls.into_iter().map(|call| call.0).collect());
                }
                None => break,
            }
            next = self.notes.try_recv().ok();
        }
        self.urgent
    }

    /// Takes the notes that wait.
    pub fn note_waiting(&mut self, now: Millis) {
        if let Ok(first) = self.notes.try_recv() {
            self.note(now, first);
        }
    }

    pub fn received(&mut self, now: Millis, from: &swim::Member, bytes: &[u8]) {
        // Spoilt words settle nothing.
        if let Ok(word) = postcard::from_bytes::<Word>(bytes) {
            self.member.received(now, &from.name, from.boot, word);
        }
    }

    /// Time has passed: what the fleet knows by now counts.
    pub fn tick(&mut self, now: Millis, node: &mut Node) {
        let cluster_state = node.cluster_state();
        let authorities = cluster_state.stream_owners.iter().map(|(stream, by)| Authority {
            stream: StreamId(*stream),
            name: by.name.clone(),
            boot: by.boot,
            epoch: by.epoch,
        });
        let others = node.replica_candidates().map(|(member, serves)| Other {
            name: member.name.clone(),
            zone: member.zone.clone(),
            boot: member.boot,
            serves,
        });
        let known = Known {
            leased: node.lease().is_some_and(|until| now < until),
            others: others.collect(),
            authorities: authorities.collect(),
            settled: cluster_state.closed_streams.iter().copied().map(StreamId).collect(),
        };
        self.member.tick(now, &known);
        for (stream, epoch) in self.member.settle(now) {
            node.close_stream(now, stream.0, epoch);
        }
        let writes = self.member.writes().into_iter();
        let writes = writes.map(|(stream, epoch)| StreamEpoch { stream: stream.0, epoch });
        let copies = self.member.holder().copies().filter(|(_, copy)| !copy.records().is_empty());
        let holds = copies.map(|(stream, copy)| HeldReplica {
            stream_epoch: StreamEpoch { stream: stream.0, epoch: copy.epoch() },
            primary: copy.writer().into(),
            primary_boot: copy.boot(),
            sequence: copy.number(),
        });
        node.set_streams(writes.collect(), holds.collect());
    }

    /// Says what is new, and tells the program what came of it.
    pub fn turn(&mut self, now: Millis, node: &mut Node) {
        self.member.poll(now);
        for (to, word) in self.member.take_words() {
            // Nothing that a word holds can fail to be written into memory.
            node.send_replication(&to, postcard::to_stdvec(&word).unwrap_or_default());
        }
        while let Some(news) = self.member.take_news() {
            self.waiting.push_back(news);
        }
        while let Some(news) = self.waiting.pop_front() {
            if let Err(mpsc::error::TrySendError::Full(news)) = self.news.try_send(news) {
                self.waiting.push_front(news);
                break;
            }
        }
        if node.lease() != self.leased {
            self.leased = node.lease();
            self.lease.set(self.leased.unwrap_or(0), self.member.figures().renounced);
        }
    }

    pub fn figures(&self) -> Figures {
        self.member.figures()
    }

    /// A row for each stream that is written or held here.
    pub fn rows(&self) -> Vec<CopyRow> {
        let written = self.member.written().map(|writer| CopyRow {
            stream: format!("{:x}", writer.stream().0),
            writer: self.member.name().into(),
            epoch: writer.epoch(),
            records: writer.records().len() as u64,
            holders: writer.holders().map(str::to_string).collect(),
            under_copied: writer.under_copied() as u64,
        });
        let held = self.member.holder().copies().filter(|(_, copy)| copy.number() > 0);
        let held = held.map(|(stream, copy)| CopyRow {
            stream: format!("{:x}", stream.0),
            writer: copy.writer().into(),
            epoch: copy.epoch(),
            records: copy.records().len() as u64,
            holders: vec![self.member.name().into()],
            under_copied: 0,
        });
        written.chain(held).collect()
    }
}
