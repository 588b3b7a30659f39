//! Who calls are taken from: the connections of callers and the peers of the M3UA front.

use std::collections::BTreeMap;

use steprelay_decisions::Micros;

/// Whoever calls are taken from and answered to: a caller's connection, or a peer of the M3UA front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

impl ClientId {
    /// Marks the ids of clients whose calls are bound to circuits of theirs.
    pub const BOUND: u64 = 1 << 63;

    /// Whether calls of this client can be released through it only.
    pub fn is_bound(self) -> bool {
        self.0 & Self::BOUND != 0
    }
}

#[derive(Clone, Copy, Debug)]
struct Client {
    heard: Micros,
    /// When it last made a call that was taken in.
    called: Option<Micros>,
}

#[derive(Default)]
pub struct Clients {
    clients: BTreeMap<ClientId, Client>,
}

impl Clients {
    pub fn opened(&mut self, client: ClientId, now: Micros) {
        self.clients.insert(client, Client { heard: now, called: None });
    }

    pub fn closed(&mut self, client: ClientId) {
        self.clients.remove(&client);
    }

    pub fn heard(&mut self, client: ClientId, now: Micros) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.heard = now;
        }
    }

    pub fn called(&mut self, client: ClientId, now: Micros) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.called = Some(now);
        }
    }

    /// Who can pass on the release of a call of `own`, other than those that were given it: a peer that owns
    /// the call, else the connection that made it, else the one that made the latest call. One that has made
    /// none may be there for tests alone and not listen, so it comes last, and only if `untested` ones may.
    pub fn taker(&self, own: Option<ClientId>, given: &[ClientId], untested: bool) -> Option<ClientId> {
        if let Some(own) = own.filter(|own| self.clients.contains_key(own) && !given.contains(own)) {
            return Some(own);
        }
        if own.is_some_and(ClientId::is_bound) {
            return None;
        }
        let others = self.clients.iter().filter(|(id, client)| {
            !id.is_bound() && !given.contains(id) && (untested || client.called.is_some())
        });
        others.max_by_key(|(_, client)| (client.called, client.heard)).map(|(id, _)| *id)
    }
}
