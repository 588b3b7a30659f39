//! Carries out what the core wants done, and puts messages on their way.

use steprelay_core::{ClientId, Effect, NotSent, SetUp};
use steprelay_decisions::{Micros, ServerId};

use super::Owner;
use crate::ports::dispatch::Dispatch;
use crate::ports::{log, ToClient, ToServer};
use crate::trace;

impl Owner {
    pub(super) fn carry_out(&mut self) {
        self.do_all();
        // Behind what takes them back.
        self.send_deferred();
        self.do_all();
        if let Some(copies) = &mut self.copies {
            copies.number_releases();
            copies.answer_questions();
        }
    }

    fn do_all(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.do_one(effect);
            }
        }
    }

    fn do_one(&mut self, effect: Effect) {
        let now = self.shared.clock.now();
        trace::effect(&self.core, now, &effect);
        if self.copies.is_some() {
            self.look_at_doubt(now);
            if let Effect::DeliverRelease { client, call, .. } = &effect {
                if !self.may_release(now, *client, *call) {
                    return;
                }
            }
            if let Some(effect) = self.copies.as_mut().and_then(|copies| copies.hold(now, effect)) {
                self.say(now, effect);
            }
            return;
        }
        self.say(now, effect);
    }

    pub(super) fn say(&mut self, now: Micros, effect: Effect) {
        if let Some(copies) = &self.copies {
            copies.trace_lease(&effect);
        }
        match effect {
            Effect::SetUp { server, set_up } => {
                self.deferred.withdraw(set_up.call);
                let attempt = self.core.attempt_of(set_up.call);
                if attempt.is_some_and(|(client, _)| self.deferred.waits_for(client)) {
                    return self.deferred.put(server, set_up);
                }
                self.send(server, set_up);
            }
            // It has not left.
            Effect::CancelAttempt { call, .. } if self.deferred.withdraw(call) => {}
            Effect::CancelAttempt { server, call } => {
                let _ = self.links.post(server, ToServer::GiveUp(call), now);
            }
            Effect::WithdrawSetUp { server, call } => {
                let waited = self.copies.as_mut().is_some_and(|copies| copies.withdraw(call));
                if waited || self.deferred.withdraw(call) || self.links.withdraw(server, call) {
                    self.not_sent(now, server, call, NotSent::Withdrawn);
                }
            }
            Effect::Release { server, call, cause } => {
                let _ = self.links.post(server, ToServer::Release(call, cause), now);
            }
            Effect::Probe { server } => {
                let call = self.shared.new_call();
                self.probes.retain(|_, (_, sent)| now - *sent < 10_000_000);
                if self.links.post(server, ToServer::Probe(call), now).is_ok() {
                    self.probes.insert(call, (server, now));
                }
            }
            Effect::Answer { client, call, description } => {
                self.tell(client, ToClient::Answer { call, description })
            }
            Effect::FinalAnswer { client, call, verdict } => {
                self.tell(client, ToClient::Final { call, verdict })
            }
            Effect::DeliverRelease { client, call, cause } => self.give_release(client, call, cause),
            Effect::WithdrawRelease { client, call } => self.withdraw_release(now, client, call),
            // Behind what the connection does not take it would never be asked.
            Effect::CheckUnreadInput { client, call } if self.is_blocked(client) => {
                self.core.no_unread_input(now, client, call);
            }
            Effect::CheckUnreadInput { client, call } => self.post(client, ToClient::AskIfSilent(call)),
            // It is let go of once it has its answer.
            Effect::CloseIfIdle { client, .. } | Effect::Pause { client } if self.holds_answer_to(client) => {
            }
            Effect::CloseIfPaused { client, .. } if self.holds_answer_to(client) => {
                self.post(client, ToClient::Resume);
            }
            Effect::CloseIfIdle { client, inputs } => self.post(client, ToClient::LetGo { inputs }),
            Effect::Pause { client } => self.post(client, ToClient::Pause),
            Effect::CloseIfPaused { client, inputs } => self.post(client, ToClient::CloseIfPaused { inputs }),
            Effect::Resume { client } => self.post(client, ToClient::Resume),
            Effect::Close { client } => {
                if let Some(outbox) = self.clients.get(&client) {
                    outbox.cut();
                }
            }
            Effect::DeliveryAbandoned { deliveries, .. } => {
                let line = format!("a release is given up, {deliveries} connections did not acknowledge it");
                self.shared.abandoned.say(now, &line);
            }
            Effect::Log(text) => log::event(text),
            Effect::CallStateChanged { call, state, notify_by } => {
                if let Some(copies) = &mut self.copies {
                    copies.note(call, state, notify_by);
                }
            }
            Effect::ReleaseAcknowledged { call } => {
                if let Some(copies) = &mut self.copies {
                    copies.acknowledged(call);
                }
            }
            Effect::AnnounceRelease { call } => self.pass_on(now, call),
            Effect::ReleaseDelivered { call } => {
                if let Some(copies) = &mut self.copies {
                    copies.given(call);
                }
            }
        }
    }

    pub(super) fn send(&mut self, server: ServerId, set_up: SetUp) {
        let (now, call) = (self.shared.clock.now(), set_up.call);
        // Its server may have been told to drain since this was decided.
        let message = ToServer::SetUp(set_up, Dispatch::default());
        let posted = match self.core.is_ready(server) {
            true => self.links.post(server, message, now),
            false => Err(NotSent::Withdrawn),
        };
        if let Err(reason) = posted {
            self.not_sent(now, server, call, reason);
        }
    }

    /// Puts a message on its way that is not missed where it finds no room: it is said again.
    pub(super) fn post(&self, client: ClientId, message: ToClient) {
        if let Some(outbox) = self.clients.get(&client) {
            outbox.post(message);
        }
    }

    pub(super) fn tell(&mut self, client: ClientId, message: ToClient) {
        if self.clients.get(&client).is_some_and(|outbox| !outbox.post(message)) {
            if let Some(outbox) = self.clients.remove(&client) {
                log::event("a client does not read, its connection is cut");
                outbox.cut();
            }
        }
    }
}
