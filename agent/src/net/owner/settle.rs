//! Hearing what has arrived before anything is sent, and what waits until its caller was heard out.
//!
//! A caller may have left behind messages of its own that are still being read. Its set-ups wait for that,
//! and nobody else's do: on a machine far behind, reading takes seconds.

use std::collections::{BTreeMap, BTreeSet};

use steprelay_core::{ClientId, SetUp};
use steprelay_decisions::{CallId, Micros, ServerId};
use tokio::sync::mpsc;
use tokio::task::yield_now;

use super::Owner;
use crate::ports::Input;

/// Turns of the runtime in which what has arrived reaches the owner: in the first the sockets are looked at,
/// in the next their tasks read, in the third that of a front hands it on. While more comes it goes on, but
/// not for ever.
pub(super) const LEAST_TURNS: usize = 3;
pub(super) const MOST_TURNS: usize = 12;
/// Nor for longer than this beyond the least, while set-ups of other callers wait.
pub(super) const SETTLE_WITHIN: Micros = 100_000;

/// Set-ups that wait until their callers are heard out.
#[derive(Default)]
pub(super) struct Deferred {
    set_ups: BTreeMap<CallId, (ServerId, SetUp)>,
    /// Callers of whom more came in the last turn of hearing.
    unheard: BTreeSet<ClientId>,
    /// Turns for which the first of them has waited.
    turns: usize,
}

impl Deferred {
    pub fn is_empty(&self) -> bool {
        self.set_ups.is_empty()
    }

    /// Whether a set-up of this caller has to wait.
    pub fn waits_for(&self, client: ClientId) -> bool {
        self.unheard.contains(&client)
    }

    pub fn put(&mut self, server: ServerId, set_up: SetUp) {
        self.set_ups.insert(set_up.call, (server, set_up));
    }

    /// Takes back a set-up; whether it waited.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        self.set_ups.remove(&call).is_some()
    }

    fn take_all(&mut self) -> BTreeMap<CallId, (ServerId, SetUp)> {
        std::mem::take(&mut self.set_ups)
    }

    fn count_turns(&mut self, turns: usize) {
        self.turns = if self.set_ups.is_empty() { 0 } else { self.turns + turns };
        if self.turns >= MOST_TURNS {
            self.unheard.clear();
            self.turns = 0;
        }
    }
}

/// What was taken in at once: whether there was anything, and from which callers.
pub(super) struct Drained {
    any: bool,
    callers: BTreeSet<ClientId>,
}

impl Owner {
    /// Takes in what waits, as far as it waited, and while there is time for it.
    pub(super) fn drain(&mut self, queue: &mut mpsc::Receiver<Input>) -> Drained {
        let waits = queue.len();
        let ends_by = self.core.lifecycle().exit_deadline();
        let mut drained = Drained { any: waits > 0, callers: BTreeSet::new() };
        for _ in 0..waits {
            let Ok(input) = queue.try_recv() else { break };
            drained.callers.extend(input.client());
            self.take(input);
            if ends_by.is_some_and(|at| self.shared.clock.now() >= at) {
                break;
            }
        }
        drained
    }

    /// Takes in all that has arrived at this machine by now, before anything is sent or a timer is heeded:
    /// where a caller has gone, or a server has answered, what follows from that comes first. Returns whether
    /// there was any.
    pub(super) async fn settle(&mut self, queue: &mut mpsc::Receiver<Input>) -> bool {
        let mut any = false;
        let began = self.shared.clock.now();
        let until = began + SETTLE_WITHIN;
        let ends_by = self.core.lifecycle().exit_deadline().unwrap_or(Micros::MAX);
        let mut turns = 0;
        while turns < MOST_TURNS {
            turns += 1;
            // The sockets are looked at before this resumes, and their tasks run before it resumes again.
            yield_now().await;
            let drained = self.drain(queue);
            any |= drained.any;
            self.deferred.unheard = drained.callers;
            let now = self.shared.clock.now();
            let is_over = !drained.any || now >= until;
            if turns >= LEAST_TURNS && is_over || now >= ends_by {
                break;
            }
        }
        if turns == MOST_TURNS {
            self.deferred.unheard.clear();
        }
        self.deferred.count_turns(turns);
        self.read_until = began;
        any
    }

    /// Sends what waited for its caller to be heard out, where nothing has come of it meanwhile.
    pub(super) fn send_deferred(&mut self) {
        for (call, (server, set_up)) in self.deferred.take_all() {
            match self.core.attempt_of(call) {
                Some((client, at)) if at == server && self.deferred.waits_for(client) => {
                    self.deferred.put(server, set_up);
                }
                Some((_, at)) if at == server => self.send(server, set_up),
                _ => {}
            }
        }
    }
}
