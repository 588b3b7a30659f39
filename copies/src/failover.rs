//! Recovery of a stream by its successor: the successor queries every member that may hold a replica and
//! continues from the longest one. Replicas are prefixes of one stream, so the longest replica of the
//! latest epoch contains everything that any other replica does.

use std::collections::BTreeMap;

use crate::messages::{Message, PartAssembler};
use crate::{Call, CallRecord, Millis, StreamId};

/// A holder that has not replied is queried again after this time.
const QUERY_RETRY_INTERVAL_MS: Millis = 200;
/// A holder that is alive according to other members but has not replied is not awaited for longer than
/// this: a release may take 8 s, and most of that time has passed by now.
const QUERY_TIMEOUT_MS: Millis = 2_000;

/// The query of one possible holder.
#[derive(Debug)]
struct HolderQuery {
    sent_at: Option<Millis>,
    /// The epoch that the replica was written in, and the parts of it received so far.
    assembler: Option<(u64, PartAssembler)>,
    is_complete: bool,
}

/// The complete content of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredStream {
    pub epoch: u64,
    pub sequence: u64,
    pub records: BTreeMap<Call, CallRecord>,
}

/// The recovery of one stream.
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
    /// Starts the recovery. `own`: the successor's own replica; `others`: all other members that may hold
    /// one.
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

    /// Whether another member succeeds in a later epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes the queries that are due, each with the name of its recipient.
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

    /// Stops waiting for members that are no longer alive.
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
                    // Requests the next part at once.
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

    /// The state to continue from once enough members have replied; `None` while replies are awaited.
    pub fn recovered(&self, now: Millis) -> Option<RecoveredStream> {
        let all_answered = self.queries.values().all(|query| query.is_complete);
        let is_ready = all_answered || now.saturating_sub(self.started_at) >= QUERY_TIMEOUT_MS;
        (is_ready && !self.fenced).then(|| self.best.clone().unwrap_or_default())
    }
}
