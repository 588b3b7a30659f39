//! Carries out the core's effects and sends messages.

use steprelay_core::{ClientId, Effect, NotSent, SetUp};
use steprelay_decisions::{Micros, ServerId};

use super::Owner;
use crate::ports::dispatch::Dispatch;
use crate::ports::{log, ToClient, ToServer};
use crate::trace;

impl Owner {
    pub(super) fn handle_all_effects(&mut self) {
        self.handle_effects();
        // After the effects that may withdraw the deferred set-ups.
        self.send_deferred();
        self.handle_effects();
        if let Some(replication) = &mut self.replication {
            replication.number_releases();
            replication.confirm_barriers();
        }
        for end in self.core.take_server_ends() {
            log::event(format_args!(
                "server {}: {}; releasing its {} calls",
                end.server.0, end.shown_by, end.calls
            ));
        }
    }

    fn handle_effects(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.handle_effect(effect);
            }
        }
    }

    fn handle_effect(&mut self, effect: Effect) {
        let now = self.shared.clock.now();
        trace::effect(&self.core, now, &effect);
        if self.replication.is_some() {
            self.check_ownership(now);
            if let Effect::DeliverRelease { client, call, .. } = &effect {
                if !self.may_release(now, *client, *call) {
                    return;
                }
            }
            if let Some(effect) =
                self.replication.as_mut().and_then(|replication| replication.hold(now, effect))
            {
                self.execute(now, effect);
            }
            return;
        }
        self.execute(now, effect);
    }

    pub(super) fn execute(&mut self, now: Micros, effect: Effect) {
        if let Some(replication) = &self.replication {
            replication.trace_lease(&effect);
        }
        match effect {
            Effect::SetUp { server, set_up } => {
                self.deferred.withdraw(set_up.call);
                let attempt = self.core.attempt_of(set_up.call);
                if attempt.is_some_and(|(client, _)| self.deferred.is_active(client)) {
                    return self.deferred.insert(server, set_up);
                }
                self.send(server, set_up);
            }
            // The set-up was not sent.
            Effect::CancelAttempt { call, .. } if self.deferred.withdraw(call) => {}
            Effect::CancelAttempt { server, call } => {
                let _ = self.links.post(server, ToServer::Cancel(call), now);
            }
            Effect::WithdrawSetUp { server, call } => {
                let waited = self.replication.as_mut().is_some_and(|replication| replication.withdraw(call));
                if waited || self.deferred.withdraw(call) || self.links.withdraw(server, call) {
                    self.not_sent(now, server, call, NotSent::Withdrawn);
                }
            }
            Effect::Release { server, call, cause } => {
                let _ = self.links.post(server, ToServer::Release(call, cause), now);
            }
            Effect::ConfirmRelease { server, call } => {
                // A server that is not told tells the release again.
                let _ = self.links.post(server, ToServer::ConfirmRelease(call), now);
            }
            Effect::Probe { server } => {
                let call = self.shared.new_call();
                self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
                if self.links.post(server, ToServer::Probe(call), now).is_ok() {
                    self.probes.insert(call, (server, now));
                }
            }
            Effect::Answer { client, call, description } => {
                self.send_or_cut(client, ToClient::Answer { call, description })
            }
            Effect::FinalAnswer { client, call, verdict } => {
                self.send_or_cut(client, ToClient::Final { call, verdict })
            }
            Effect::DeliverRelease { client, call, cause } => self.deliver_release(client, call, cause),
            Effect::WithdrawRelease { client, call } => self.withdraw_release(now, client, call),
            // Behind data that the connection does not accept, the check would never be made.
            Effect::CheckUnreadInput { client, call } if self.is_blocked(client) => {
                self.core.no_unread_input(now, client, call);
            }
            Effect::CheckUnreadInput { client, call } => self.post(client, ToClient::CheckUnreadInput(call)),
            // The connection may be closed once its answer was sent.
            Effect::CloseIfIdle { client, .. } | Effect::Pause { client } if self.holds_answer_to(client) => {
            }
            Effect::CloseIfPaused { client, .. } if self.holds_answer_to(client) => {
                self.post(client, ToClient::Resume);
            }
            Effect::CloseIfIdle { client, inputs } => self.post(client, ToClient::CloseIfIdle { inputs }),
            Effect::Pause { client } => self.post(client, ToClient::Pause),
            Effect::CloseIfPaused { client, inputs } => self.post(client, ToClient::CloseIfPaused { inputs }),
            Effect::Resume { client } => self.post(client, ToClient::Resume),
            Effect::CloseStalled { client } => {
                let line = "incomplete message from a client; closing its connection";
                self.shared.unreadable.log(now, line);
                self.post(client, ToClient::Finish);
            }
            Effect::Close { client } => {
                if let Some(outbox) = self.clients.get(&client) {
                    outbox.cut();
                }
            }
            Effect::DeliveryAbandoned { deliveries, .. } => {
                let line = format!("a release is abandoned, {deliveries} connections did not acknowledge it");
                self.shared.abandoned.log(now, &line);
            }
            Effect::Log(text) => log::event(text),
            Effect::CallStateChanged { call, state, notify_by } => {
                if let Some(replication) = &mut self.replication {
                    replication.record_state(call, state, notify_by);
                }
            }
            Effect::ReleaseAcknowledged { call } => {
                if let Some(replication) = &mut self.replication {
                    replication.record_acknowledgement(call);
                }
            }
            Effect::AnnounceRelease { call } => self.announce_release(now, call),
            Effect::ReleaseDelivered { call } => {
                if let Some(replication) = &mut self.replication {
                    replication.record_delivery(call);
                }
            }
        }
    }

    pub(super) fn send(&mut self, server: ServerId, set_up: SetUp) {
        let (now, call) = (self.shared.clock.now(), set_up.call);
        // The server may have begun to drain since this was decided.
        let message = ToServer::SetUp(set_up, Dispatch::default());
        let posted = match self.core.is_ready(server) {
            true => self.links.post(server, message, now),
            false => Err(NotSent::Withdrawn),
        };
        if let Err(reason) = posted {
            self.not_sent(now, server, call, reason);
        }
    }

    /// Queues a message that may be lost where the queue is full: it is sent again.
    pub(super) fn post(&self, client: ClientId, message: ToClient) {
        if let Some(outbox) = self.clients.get(&client) {
            outbox.post(message);
        }
    }

    pub(super) fn send_or_cut(&mut self, client: ClientId, message: ToClient) {
        if self.clients.get(&client).is_some_and(|outbox| !outbox.post(message)) {
            if let Some(outbox) = self.clients.remove(&client) {
                log::event("a client does not read; its connection is closed");
                outbox.cut();
            }
        }
    }
}
