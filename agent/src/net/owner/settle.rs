//! Reading of all input that has arrived before anything is sent, and set-ups that are deferred until their
//! caller's input was read.
//!
//! A caller may have closed its connection and left messages that are still being read. Its own set-ups wait
//! for them, and those of no other caller: on an overloaded machine, reading takes seconds.

use std::collections::{BTreeMap, BTreeSet};

use steprelay_core::{ClientId, SetUp};
use steprelay_decisions::{CallId, Micros, ServerId};
use tokio::task::yield_now;

use super::Owner;
use crate::ports::input_queue::InputQueue;

/// Number of turns of the runtime in which input that has arrived reaches the owner: in the first the sockets
/// are polled, in the second their tasks read, in the third the task of a front passes the input on. While
/// more input arrives, further turns follow, up to a maximum.
pub(super) const MIN_SETTLE_TURNS: usize = 3;
pub(super) const MAX_SETTLE_TURNS: usize = 12;
/// Maximum time spent beyond the minimum number of turns, while set-ups of other callers wait.
pub(super) const MAX_SETTLE_TIME: Micros = 100_000;

/// Set-ups that wait until their callers' input was read.
#[derive(Default)]
pub(super) struct Deferred {
    set_ups: BTreeMap<CallId, (ServerId, SetUp)>,
    /// Callers with more input in the last turn.
    active_callers: BTreeSet<ClientId>,
    /// Number of turns for which the first of the set-ups has waited.
    turns: usize,
}

impl Deferred {
    pub fn is_empty(&self) -> bool {
        self.set_ups.is_empty()
    }

    /// Whether set-ups of this caller have to wait.
    pub fn is_active(&self, client: ClientId) -> bool {
        self.active_callers.contains(&client)
    }

    pub fn insert(&mut self, server: ServerId, set_up: SetUp) {
        self.set_ups.insert(set_up.call, (server, set_up));
    }

    /// Withdraws a set-up; returns whether it was waiting.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.set_ups.remove(&call).is_some()
    }

    fn take_all(&mut self) -> BTreeMap<CallId, (ServerId, SetUp)> {
        std::mem::take(&mut self.set_ups)
    }

    fn count_turns(&mut self, turns: usize) {
        self.turns = if self.set_ups.is_empty() { 0 } else { self.turns + turns };
        if self.turns >= MAX_SETTLE_TURNS {
            self.active_callers.clear();
            self.turns = 0;
        }
    }
}

/// Result of one read of the queue: whether it held any input, and from which callers.
pub(super) struct Drained {
    any: bool,
    callers: BTreeSet<ClientId>,
}

impl Owner {
    /// Handles the input that is queued at the start, while there is time for it.
    pub(super) fn drain(&mut self, queue: &mut InputQueue) -> Drained {
        let queued = queue.len();
        let exit_by = self.core.lifecycle().exit_deadline();
        let mut drained = Drained { any: queued > 0, callers: BTreeSet::new() };
        for _ in 0..queued {
            let Some(input) = queue.try_recv() else { break };
            drained.callers.extend(input.client());
            self.handle(input);
            if exit_by.is_some_and(|at| self.shared.clock.now() >= at) {
                break;
            }
        }
        drained
    }

    /// Handles all input that has arrived at this machine by now, before anything is sent or a timer fires:
    /// where a caller is gone or a server has answered, the consequences come first. Returns whether there
    /// was any input.
    pub(super) async fn settle(&mut self, queue: &mut InputQueue) -> bool {
        let mut any = false;
        let began = self.shared.clock.now();
        let until = began + MAX_SETTLE_TIME;
        let exit_by = self.core.lifecycle().exit_deadline().unwrap_or(Micros::MAX);
        let mut turns = 0;
        while turns < MAX_SETTLE_TURNS {
            turns += 1;
            // The sockets are polled before this resumes, and their tasks run before it resumes again.
            yield_now().await;
            let drained = self.drain(queue);
            any |= drained.any;
            self.deferred.active_callers = drained.callers;
            let now = self.shared.clock.now();
            let is_over = !drained.any || now >= until;
            if turns >= MIN_SETTLE_TURNS && is_over || now >= exit_by {
                break;
            }
        }
        if turns == MAX_SETTLE_TURNS {
            self.deferred.active_callers.clear();
        }
        self.deferred.count_turns(turns);
        self.read_until = began;
        any
    }

    /// Sends the set-ups that waited for their callers' input, unless that input has made them obsolete.
    pub(super) fn send_deferred(&mut self) {
        for (call, (server, set_up)) in self.deferred.take_all() {
            match self.core.attempt_of(call) {
                Some((client, at)) if at == server && self.deferred.is_active(client) => {
                    self.deferred.insert(server, set_up);
                }
                Some((_, at)) if at == server => self.send(server, set_up),
                _ => {}
            }
        }
    }
}
