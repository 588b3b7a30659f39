//! One start of a member: its owner of the core and its thread of copies, between their sockets.

use std::collections::VecDeque;
use std::sync::Arc;

use steprelay_copies::member::{Known, Member, Other};
use steprelay_copies::words::Word;
use steprelay_copies::writer::Limits;
use steprelay_copies::Millis;
use steprelay_core::{Bounds, Core};
use steprelay_decisions::{Class, Entry, ListKind, Micros, Readiness, ServerId, Settings};
use steprelay_settings::Site;
use tokio::sync::mpsc;

use crate::council::{Council, Start, RENEW};
use crate::net::copies::CopiesEnd;
use crate::net::owner::{Input, Owner};
use crate::ports::copies::{record, Lease, Note};
use crate::ports::Clock;

const NOTES: usize = 4_096;
/// The thread of copies looks at what is agreed so often.
pub const TICK: Millis = 50;
/// How long callers wait for an answer at most.
pub const DEADLINE: Micros = 3_000_000;
/// Two others are to hold what is promised, and one must before anybody is told.
const LIMITS: Limits = Limits { copies: 2, needed: 1 };
const BOUNDS: Bounds = Bounds { connections: 100, connections_of_one: 100, bytes: 1 << 20 };
const MAX_OPEN: usize = 1_000;

/// What happens to a process after so many more effects of its core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    Stall(Micros),
    Kill,
}

pub struct Process {
    pub start: Start,
    pub owner: Owner,
    member: Member,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<Note>,
    clock: Clock,
    /// What was read from sockets, and from members.
    pub inbox: VecDeque<Input>,
    pub words: VecDeque<(Start, Word)>,
    /// When the next turn of the owner, and of the thread of copies, is due.
    pub owner_due: Option<Micros>,
    pub copies_due: Option<Micros>,
    ticked: Millis,
    asked: Millis,
    /// It gets no processor until then.
    pub stalled_until: Option<Micros>,
    pub ran_until: Millis,
    pub strike: Option<(u32, Strike)>,
    pub told_to_stop: Option<Micros>,
}

fn site() -> Site {
    let class = Class { slo: DEADLINE / 2, importance: 1.0, is_idempotent: true, ..Class::default() };
    let decisions =
        Settings { group_size: 3, classes: vec![class], retry_delay: 200_000, ..Settings::default() };
    Site {
        decisions,
        class_names: vec!["standard-check".into()],
        deadlines: vec![DEADLINE],
        max_open: MAX_OPEN,
        ..Site::default()
    }
}

impl Process {
    pub fn new(start: Start, clock: Clock, servers: usize, seed: u64) -> Self {
        let (now, lease) = (clock.now(), Arc::new(Lease::new(clock.clone())));
        let (sender, notes) = mpsc::channel(NOTES);
        let mut core = Core::new(site(), BOUNDS, seed, now);
        let listed = |number: usize| Entry {
            server: ServerId(number as u32),
            started: None,
            number: number as u32,
            state: Readiness::Ready,
        };
        let entries: Vec<Entry> = (0..servers).map(listed).collect();
        core.list(now, steprelay_core::Source::Board, ListKind::All, &entries);
        core.on_duty(now, |duty| duty.ready());
        let end = CopiesEnd { notes: sender, lease: lease.clone(), after_copies: true, refuse_short: false };
        let ran_until = (now / 1_000) as Millis;
        Process {
            member: Member::new(&start.name, &format!("z-{}", start.name), start.boot, LIMITS),
            owner: Owner::new(core, clock.clone(), end),
            start,
            lease,
            notes,
            clock,
            inbox: VecDeque::new(),
            words: VecDeque::new(),
            owner_due: None,
            copies_due: None,
            ticked: 0,
            asked: 0,
            stalled_until: None,
            ran_until,
            strike: None,
            told_to_stop: None,
        }
    }

    pub fn is_stalled(&self) -> bool {
        self.stalled_until.is_some()
    }

    /// What the member holds of others.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// A turn of the thread of copies; what it says to others.
    pub fn copies_turn(&mut self, council: &mut Council, others: &[Other]) -> Vec<(String, Word)> {
        let now = (self.clock.now() / 1_000) as Millis;
        self.ran_until = now;
        for (from, word) in std::mem::take(&mut self.words) {
            self.member.received(now, &from.name, from.boot, word);
        }
        while let Ok(note) = self.notes.try_recv() {
            match note {
                Note::Promise(call, promise) => self.member.note(call.0, promise.map(record)),
                Note::All(all) => {
                    let records = all.into_iter().map(|(call, promise)| (call.0, record(promise)));
                    self.member.replace(records.collect());
                }
                Note::PassedOn(call) => self.member.passed_on(now, call.0),
                Note::Acknowledged(call) => self.member.acknowledged(call.0),
                Note::Given(call) => self.member.given(now, call.0),
                Note::Confirmed(question) => self.member.confirm(question),
                Note::Relinquished(calls) => {
                    self.member.relinquish(now, calls.into_iter().map(|call| call.0).collect());
                }
            }
        }
        let mut renewed = None;
        if now >= self.ticked + TICK {
            self.ticked = now;
            let (authorities, settled) = (council.authorities(), council.settled());
            let leased = self.lease.left().is_some_and(|left| left > 0);
            let known = Known { leased, others: others.to_vec(), authorities, settled };
            self.member.tick(now, &known);
            for (stream, epoch) in self.member.settle(now) {
                council.settle(stream, epoch);
            }
            if now >= self.asked + RENEW {
                self.asked = now;
                renewed = council.renew(now, &self.start, &self.member.writes());
            }
        }
        self.member.poll(now);
        while let Some(news) = self.member.take_news() {
            self.inbox.push_back(Input::Copies(news));
        }
        // Behind the news, as the program is told.
        if let Some(until) = renewed {
            self.lease.set(until, self.member.figures().renounced);
        }
        self.member.take_words()
    }

    /// Its last turn: what was noted by now others are told ahead of the farewell.
    pub fn last_copies_turn(&mut self, council: &mut Council, others: &[Other]) -> Vec<(String, Word)> {
        self.ticked = 0;
        self.copies_turn(council, others)
    }

    /// Whether a note waits for the thread of copies.
    pub fn has_notes(&self) -> bool {
        !self.notes.is_empty()
    }
}
