//! Graceful shutdown: when the process may exit, what it answers before that, and what other members have to
//! know first.

use steprelay_core::ClientId;
use steprelay_decisions::Micros;
use tokio::time::{sleep, Duration};

use super::Owner;
use crate::net::copies::ReplicationGate;
use crate::ports::input_queue::InputQueue;
use crate::ports::ToClient;

/// Time for callers to close their side once all calls are answered.
const CLIENT_CLOSE_TIMEOUT: Micros = 400_000;
/// Maximum time to wait for other members where too few of them can store replicas.
const DEGRADED_SETTLE_TIMEOUT: Micros = 1_000_000;

impl Owner {
    /// Whether an iteration that takes as long as the last one would end after `by`.
    fn is_last_iteration(&self, now: Micros, by: Option<Micros>) -> bool {
        by.is_some_and(|by| now + self.last_iteration >= by)
    }

    /// Whether another iteration would end after the exit deadline.
    pub(super) fn is_out_of_time(&self) -> bool {
        self.is_last_iteration(self.shared.clock.now(), self.core.lifecycle().exit_deadline())
    }

    /// Whether the deadline for final answers has passed, or would pass during another iteration.
    fn must_answer_all(&self, now: Micros) -> bool {
        self.core.lifecycle().may_exit(now)
            && self.is_last_iteration(now, self.core.lifecycle().final_answer_deadline())
    }

    /// Where iterations take long, all open calls are answered in the last iteration before the deadline:
    /// calls that are unanswered when the process is killed are lost.
    pub(super) fn answer_all_before_deadline(&mut self) {
        if self.must_answer_all(self.last_read) {
            self.core.answer_all(self.last_read);
        }
    }

    /// Whether the process was told to stop and nothing is open any more, or no time is left for it.
    pub(super) fn can_exit(&self, now: Micros) -> bool {
        // Answers that are given at that time are sent before the connections end.
        let is_over = self.must_answer_all(now);
        let holds_answers = self.replication.as_ref().is_some_and(ReplicationGate::holds_answers);
        let is_idle = self.core.connections() == 0 && self.core.lifecycle().may_exit(now) && !holds_answers;
        self.core.unanswered_calls() == 0 && (is_over || is_idle)
    }

    /// Sends the last answers and ends the callers' connections after them. Input that ends calls is handled
    /// until each caller has closed its side, and until the other members know what callers have
    /// acknowledged.
    pub(super) async fn flush(&mut self, queue: &mut InputQueue) {
        let exit_by = self.core.lifecycle().exit_deadline().unwrap_or_default() - self.exit_reserve;
        let began = self.shared.clock.now();
        let closed_by = (began + CLIENT_CLOSE_TIMEOUT).min(exit_by);
        let settled_by = (began + DEGRADED_SETTLE_TIMEOUT).min(exit_by);
        // Input of the last iteration is answered before the connections end.
        self.handle_all_effects();
        let callers = |owner: &Self| -> Vec<_> {
            let callers = owner.clients.iter().filter(|(client, _)| !client.is_circuit_bound());
            callers.map(|(_, outbox)| outbox.clone()).collect()
        };
        let (held, failed) = self.replication.as_mut().map(ReplicationGate::take_answers).unwrap_or_default();
        held.into_iter().for_each(|answer| self.execute(began, answer));
        self.fail_answers(began, failed);
        for outbox in callers(self) {
            outbox.post(ToClient::Finish);
        }
        let has_unwritten = |owner: &Self| {
            owner.shared.unwritten.get() > 0 || owner.clients.values().any(|outbox| !outbox.is_flushed())
        };
        loop {
            let now = self.shared.clock.now();
            let open = callers(self).iter().any(|outbox| !outbox.is_closed());
            // A set-up may arrive while a last answer is slow to be written.
            let late = has_unwritten(self) || self.core.unanswered_calls() > 0;
            let by = if self.replication.as_ref().is_some_and(ReplicationGate::is_degraded) {
                settled_by
            } else {
                exit_by
            };
            let settles = now < by && !self.is_settled();
            // A confirmation that is not written has its server tell the release to another process.
            let confirms = !self.links.are_flushed();
            if !(late && now < exit_by || (open || confirms) && now < closed_by || settles) {
                break;
            }
            sleep(Duration::from_millis(5)).await;
            self.settle(queue).await;
            self.last_read = self.shared.clock.now();
            self.core.run_timers(self.last_read);
            self.maintain_links();
            self.process_replication();
            self.handle_all_effects();
        }
    }

    /// Whether an answer to this client waits for replication.
    pub(super) fn holds_answer_to(&self, client: ClientId) -> bool {
        self.replication.as_ref().is_some_and(|replication| replication.holds_answer_to(client))
    }

    /// Whether other members and servers know what callers have acknowledged, where replication is enabled.
    fn is_settled(&self) -> bool {
        let settled = |replication: &ReplicationGate| {
            replication.is_settled() && self.core.unclaimed_releases() == 0 && self.links.are_flushed()
        };
        self.replication.as_ref().is_none_or(settled)
    }
}
