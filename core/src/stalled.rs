//! Clients that have sent a part of a message and then nothing for a while.
//!
//! A sound client may pause within a message, as where a segment was lost on the way. Its connection is
//! closed only if no set-up waits on it for its answer.

use steprelay_decisions::Micros;

use super::lifecycle::State;
use super::{ClientId, Core, Effect};

/// A message that begins within this time of the connection, and is not completed, is that of a bad client:
/// it has to see the connection end within 3 s of connecting.
const PROBATION: Micros = 1_000_000;
/// Time for writing the last answers to a client, after which its connection is closed without them.
const FINISH_TIMEOUT: Micros = 1_000_000;

impl Core {
    /// A message of the client that began at `since` is overdue. Reported again while it stays so.
    pub fn client_stalled(&mut self, now: Micros, client: ClientId, since: Micros) {
        if let Some(finished_at) = self.clients.finished_at(client) {
            if now >= finished_at + FINISH_TIMEOUT {
                self.effects.push(Effect::Close { client });
            }
            return;
        }
        let is_kept = self.clients.open(client) > 0 || self.is_awaited(now, client, since);
        if !is_kept && self.clients.is_connected(client) {
            self.accounting.counts.stalled_clients += 1;
            self.clients.finish(client, now);
            self.effects.push(Effect::CloseStalled { client });
        }
    }

    /// Whether the rest of a message may still come in time: on a connection on which a call was established,
    /// and for as long as the caller of a set-up waits.
    fn is_awaited(&self, now: Micros, client: ClientId, since: Micros) -> bool {
        let longest_wait = self.site.deadlines.iter().copied().max().unwrap_or_default();
        self.lifecycle.state() == State::Serving
            && self.clients.is_proven(client)
            && self.clients.opened_at(client).is_some_and(|opened| since >= opened + PROBATION)
            && now < since + longest_wait
    }
}
