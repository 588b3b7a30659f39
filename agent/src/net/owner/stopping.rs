//! The end of a process that was told to stop: when it may end, what it answers before that, and what others
//! have to know first.

use steprelay_core::ClientId;
use steprelay_decisions::Micros;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

use super::Owner;
use crate::net::copies::Copies;
use crate::ports::{Input, ToClient};

/// Callers get this long to close their side once all is answered.
const CLOSING: Micros = 400_000;
/// Where too few other members can take copies, they are waited for this long before the end.
const SETTLED_SHORT_WITHIN: Micros = 1_000_000;

impl Owner {
    /// Whether another turn like the last would end too late for what has to be done by then.
    fn is_due(&self, now: Micros, by: Option<Micros>) -> bool {
        by.is_some_and(|by| now + self.turn >= by)
    }

    /// Whether the process would not end in time after another turn.
    pub(super) fn is_out_of_time(&self) -> bool {
        self.is_due(self.shared.clock.now(), self.core.lifecycle().exit_deadline())
    }

    /// Whether the time to answer all has come, or will be over after another turn.
    fn answers_all(&self, now: Micros) -> bool {
        self.core.lifecycle().may_exit(now) && self.is_due(now, self.core.lifecycle().final_answer_deadline())
    }

    /// Where turns take long, all that is open is answered in the last one that is in time for it: what the
    /// kill finds unanswered is lost.
    pub(super) fn answer_all_in_time(&mut self) {
        if self.answers_all(self.polled) {
            self.core.answer_all(self.polled);
        }
    }

    /// Whether it was told to stop and nothing is open any more, or no more time is left for that.
    pub(super) fn is_done(&self, now: Micros) -> bool {
        // What is answered at that time goes out ahead of the ends of connections.
        let is_over = self.answers_all(now);
        let holds_answers = self.copies.as_ref().is_some_and(Copies::holds_answers);
        let is_idle = self.core.connections() == 0 && self.core.lifecycle().may_exit(now) && !holds_answers;
        self.core.unanswered_calls() == 0 && (is_over || is_idle)
    }

    /// Lets the last answers leave, and ends the callers' connections behind them. What ends calls is taken
    /// in until each caller has closed its side, too, and until others know what callers have acknowledged.
    pub(super) async fn flush(&mut self, queue: &mut mpsc::Receiver<Input>) {
        let ends_by = self.core.lifecycle().exit_deadline().unwrap_or_default() - self.farewell;
        let began = self.shared.clock.now();
        let closed_by = (began + CLOSING).min(ends_by);
        let settled_by = (began + SETTLED_SHORT_WITHIN).min(ends_by);
        // What was heard in the last turn is answered ahead of the ends of connections.
        self.carry_out();
        let callers = |owner: &Self| -> Vec<_> {
            let callers = owner.clients.iter().filter(|(client, _)| !client.is_circuit_bound());
            callers.map(|(_, outbox)| outbox.clone()).collect()
        };
        let (held, failed) = self.copies.as_mut().map(Copies::take_answers).unwrap_or_default();
        held.into_iter().for_each(|answer| self.say(began, answer));
        self.give_up(began, failed);
        for outbox in callers(self) {
            outbox.post(ToClient::Finish);
        }
        let waits = |owner: &Self| {
            owner.shared.unwritten.get() > 0 || owner.clients.values().any(|outbox| !outbox.is_flushed())
        };
        loop {
            let now = self.shared.clock.now();
            let open = callers(self).iter().any(|outbox| !outbox.is_closed());
            // A set-up may come where a last answer is slow to leave.
            let late = waits(self) || self.core.unanswered_calls() > 0;
            let by = if self.copies.as_ref().is_some_and(Copies::is_short) { settled_by } else { ends_by };
            let settles = now < by && !self.is_settled();
            if !(late && now < ends_by || open && now < closed_by || settles) {
                break;
            }
            sleep(Duration::from_millis(5)).await;
            self.settle(queue).await;
            self.polled = self.shared.clock.now();
            self.core.run_timers(self.polled);
            self.keep_links();
            self.look_at_copies();
            self.carry_out();
        }
    }

    /// Whether an answer to this client waits until others know of it.
    pub(super) fn holds_answer_to(&self, client: ClientId) -> bool {
        self.copies.as_ref().is_some_and(|copies| copies.holds_answer_to(client))
    }

    /// Whether other members and servers know what callers have acknowledged, where promises are copied.
    fn is_settled(&self) -> bool {
        let settled = |copies: &Copies| {
            copies.is_settled() && self.core.unclaimed_releases() == 0 && self.links.are_flushed()
        };
        self.copies.as_ref().is_none_or(settled)
    }
}
