//! The beginning of a succession: the successor asks all that may hold a stream, and takes up the most that
//! any of them has. Holders have prefixes of one stream, so the longest one of the latest epoch knows all
//! that any of the others knows.

use std::collections::BTreeMap;

use crate::messages::{Message, PartAssembler};
use crate::{Call, CallRecord, Millis, StreamId};

/// Who has not answered is query again after this.
const QUERY_RETRY_INTERVAL_MS: Millis = 200;
/// Who is alive, by what others say, and has not answered after this is waited for no more: a release may
/// take 8 s, and most of that is gone by now.
const QUERY_TIMEOUT_MS: Millis = 2_000;

#[derive(Debug)]
struct HolderQuery {
    sent_at: Option<Millis>,
    /// By which epoch it was written, and what came of it so far.
    assembler: Option<(u64, PartAssembler)>,
    is_complete: bool,
}

/// What a holder has, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredStream {
    pub epoch: u64,
    pub sequence: u64,
    pub records: BTreeMap<Call, CallRecord>,
}

#[derive(Debug)]
pub struct Failover {
    stream: StreamId,
    epoch: u64,
    started_at: Millis,
    queries: BTreeMap<String, HolderQuery>,
    best: Option<RecoveredStream>,
    fenced: bool,
}

impl Failover {
    /// `own`: what the successor holds itself; `others`: all that may hold something.
    pub fn new(
        now: Millis,
        stream: StreamId,
        epoch: u64,
        own: Option<RecoveredStream>,
        others: &[String],
    ) -> Self {
        let query = |name: &String| {
            (name.clone(), HolderQuery { sent_at: None, assembler: None, is_complete: false })
        };
        let queries = others.iter().map(query).collect();
        Failover { stream, epoch, started_at: now, queries, best: own, fenced: false }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Another one succeeds by a later epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What is to be query now.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Message)> {
        let (stream, epoch) = (self.stream, self.epoch);
        let open = self.queries.iter_mut().filter(|(_, query)| !query.is_complete);
        let due = open.filter(|(_, query)| {
            query.sent_at.is_none_or(|sent_at| now >= sent_at + QUERY_RETRY_INTERVAL_MS)
        });
        due.map(|(name, query)| {
            query.sent_at = Some(now);
            let from = query.assembler.as_ref().map_or(0, |(_, assembler)| assembler.received());
            (name.clone(), Message::Fetch { stream, epoch, from })
        })
        .collect()
    }

    /// Only these are alive any more: nobody else is waited for.
    pub fn retain_alive(&mut self, is_alive: impl Fn(&str) -> bool) {
        self.queries.retain(|name, query| query.is_complete || is_alive(name));
    }

    pub fn handle_message(&mut self, from: &str, message: Message) {
        match message {
            Message::Fenced { stream, epoch } if stream == self.stream => self.fenced |= epoch > self.epoch,
            Message::Fetched { stream, epoch, replica_epoch, sequence, part }
                if (stream, epoch) == (self.stream, self.epoch) =>
            {
                let Some(query) = self.queries.get_mut(from).filter(|query| !query.is_complete) else {
                    return;
                };
                let assembler = match &mut query.assembler {
                    Some((by, assembler)) if *by == replica_epoch && assembler.accepts(sequence, &part) => {
                        assembler
                    }
                    other => &mut other.insert((replica_epoch, PartAssembler::new(sequence, part.total))).1,
                };
                let received_before = assembler.received();
                query.is_complete = assembler.push(part);
                if assembler.received() > received_before {
                    // The next part is query for at once.
                    query.sent_at = None;
                }
                if !query.is_complete {
                    return;
                }
                let Some((epoch, assembler)) = query.assembler.take() else { return };
                let sequence = assembler.sequence;
                let is_newer = |best: &RecoveredStream| (best.epoch, best.sequence) < (epoch, sequence);
                if self.best.as_ref().is_none_or(is_newer) {
                    let records = assembler.records().into_iter().collect();
                    self.best = Some(RecoveredStream { epoch, sequence, records });
                }
            }
            _ => {}
        }
    }

    /// What is taken up, once enough have answered. `None`: others are still waited for.
    pub fn recovered(&self, now: Millis) -> Option<RecoveredStream> {
        let all_answered = self.queries.values().all(|query| query.is_complete);
        let is_ready = all_answered || now.saturating_sub(self.started_at) >= QUERY_TIMEOUT_MS;
        (is_ready && !self.fenced).then(|| self.best.clone().unwrap_or_default())
    }
}
