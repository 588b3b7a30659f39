//! Who calls are taken from: the connections of callers and the peers of the M3UA front. Bounds how many
//! there are, and lets go of those that are of no use, so that nobody keeps the places that others need.

use std::collections::BTreeMap;

use steprelay_decisions::Micros;

use super::round_trip::RoundTrips;

/// A connection that has sent nothing that makes sense is let go after this time.
const SILENT: Micros = 2_000_000;
/// One with no call on it, after this: callers close theirs after 4 s.
const IDLE: Micros = 5_000_000;
/// Clients that are sent away have this long for the first word on a new connection.
const FIRST: Micros = 200_000;
/// A connection on which nothing comes for so long after a release has left is taken for one that does not
/// listen: one that has made tests only; one that has made calls; one that has acknowledged a release before.
/// Each leaves time for another one in the second in which a caller is to have a release.
const PATIENCE_TESTS_ONLY: Micros = 150_000;
const PATIENCE_CALLING: Micros = 400_000;
const PATIENCE_LISTENING: Micros = 600_000;
/// The same for the later connections that are given one release: the first took most of the second.
const PATIENCE_REDELIVERED: Micros = 150_000;
/// Where acknowledgements take longer than that, since this machine or the callers' are far behind, so does
/// the patience with callers, within this.
const MAX_PATIENCE: Micros = 4_000_000;

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

/// The machine that a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub u128);

/// What may be held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of callers in all, and those of one peer.
    pub connections: usize,
    pub connections_of_one: usize,
    /// Bytes of descriptions and numbers of waiting calls.
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    peer: Option<Peer>,
    opened: Micros,
    /// What came from it, whether it made sense or not.
    inputs: u64,
    /// When something that makes sense last came from it.
    heard: Option<Micros>,
    /// When it last made a call that was taken in, and whether any has stood.
    called: Option<Micros>,
    proven: bool,
    /// When the latest release that it has acknowledged had left.
    acknowledged: Option<Micros>,
    /// A release was not acknowledged in time, and nothing has come since.
    silent: bool,
    /// It can be told nothing for now.
    away: bool,
    /// Its calls that wait for an answer, and those that stand.
    open: usize,
    standing: usize,
}

impl Client {
    /// The lower, the less is lost with its connection.
    fn worth(&self) -> impl Ord {
        (self.called.is_some(), self.standing > 0, self.heard, self.opened)
    }
}

pub struct Clients {
    bounds: Bounds,
    clients: BTreeMap<ClientId, Client>,
    /// From when a release has left until its acknowledgement is read.
    round_trips: RoundTrips,
}

impl Clients {
    pub fn new(bounds: Bounds) -> Self {
        Clients { bounds, clients: BTreeMap::new(), round_trips: RoundTrips::default() }
    }

    /// Takes in a connection; returns the one to let go of where there are too many.
    pub fn opened(&mut self, id: ClientId, peer: Option<Peer>, now: Micros) -> Option<ClientId> {
        let (heard, called, proven) = (None, None, id.is_bound());
        let (opened, acknowledged, silent, away) = (now, None, false, false);
        let (inputs, open, standing) = (0, 0, 0);
        let client = Client {
            peer,
            opened,
            inputs,
            heard,
            called,
            proven,
            acknowledged,
            silent,
            away,
            open,
            standing,
        };
        self.clients.insert(id, client);
        let of_peer = |client: &Client| peer.is_some() && client.peer == peer;
        if self.clients.values().filter(|client| of_peer(client)).count() > self.bounds.connections_of_one {
            return Some(self.spare(of_peer, id));
        }
        (self.connections() > self.bounds.connections).then(|| self.spare(|_| true, id))
    }

    /// The connection that is missed least, of those without an open set-up; the latest as the last choice.
    fn spare(&self, among: impl Fn(&Client) -> bool, latest: ClientId) -> ClientId {
        let free = self
            .clients
            .iter()
            .filter(|(id, client)| !id.is_bound() && **id != latest && client.open == 0 && among(client));
        free.min_by_key(|(_, client)| client.worth()).map_or(latest, |(id, _)| *id)
    }

    /// Connections that only hold a place.
    pub fn useless(&self, now: Micros) -> Vec<ClientId> {
        let useless = self.clients.iter().filter(|(id, client)| {
            let idle = client.open == 0 && client.standing == 0;
            !id.is_bound()
                && match client.heard {
                    Some(heard) => idle && now >= heard + IDLE,
                    None => now >= client.opened + SILENT,
                }
        });
        useless.map(|(id, _)| *id).collect()
    }

    pub fn closed(&mut self, client: ClientId) {
        self.clients.remove(&client);
    }

    fn change(&mut self, client: ClientId, change: impl FnOnce(&mut Client)) {
        if let Some(client) = self.clients.get_mut(&client) {
            change(client);
        }
    }

    pub fn heard(&mut self, client: ClientId, now: Micros) {
        self.change(client, |client| {
            client.heard = Some(now);
            client.silent = false;
            client.inputs += 1;
        });
    }

    pub fn is_here(&self, client: ClientId) -> bool {
        self.clients.contains_key(&client)
    }

    pub fn set_away(&mut self, client: ClientId, away: bool) {
        self.change(client, |client| client.away = away);
    }

    pub fn is_away(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(|client| client.away)
    }

    /// It has acknowledged a release that had left at this time.
    pub fn acknowledged(&mut self, now: Micros, client: ClientId, sent: Micros) {
        self.round_trips.measured(now - sent);
        self.change(client, |client| client.acknowledged = client.acknowledged.max(Some(sent)));
    }

    /// It has not acknowledged a release in time: it comes last for others until it says something.
    pub fn set_silent(&mut self, client: ClientId) {
        self.change(client, |client| client.silent = true);
    }

    /// Until when the acknowledgement of a release that left at this time is waited for; `deliveries`: to so
    /// many connections by now. A connection that is known to listen is heard out while it says anything, for
    /// `MAX_PATIENCE` at most, unless it has acknowledged a later release and so passed this one over.
    pub fn patience_ends(&self, client: ClientId, sent: Micros, deliveries: usize) -> Micros {
        let Some(client) = self.clients.get(&client) else { return sent };
        let patience = |first: Micros| {
            let least = if deliveries > 1 { PATIENCE_REDELIVERED } else { first };
            least.max(self.round_trips.timeout()).min(MAX_PATIENCE)
        };
        match (client.acknowledged, client.called) {
            (Some(latest), _) if latest <= sent => {
                let heard = client.heard.map_or(sent, |heard| heard.max(sent));
                (heard + patience(PATIENCE_LISTENING)).min(sent + MAX_PATIENCE)
            }
            (Some(_), _) => sent + patience(PATIENCE_LISTENING),
            (None, Some(_)) => sent + patience(PATIENCE_CALLING),
            (None, None) => sent + PATIENCE_TESTS_ONLY,
        }
    }

    /// Something that makes no sense came from it.
    pub fn unfit(&mut self, client: ClientId) {
        self.change(client, |client| client.inputs += 1);
    }

    /// The connection that is kept for releases when clients are sent away, the one with most calls standing,
    /// and how many those are.
    pub fn last_to_go(&self) -> Option<(ClientId, usize)> {
        let called = self.clients.iter().filter(|(id, client)| !id.is_bound() && client.called.is_some());
        let last = called.max_by_key(|(id, client)| (client.standing, client.called, **id));
        last.map(|(id, client)| (*id, client.standing))
    }

    /// Connections of callers.
    pub fn connections(&self) -> usize {
        self.clients.keys().filter(|id| !id.is_bound()).count()
    }

    /// Those without an open set-up, with how many inputs each has brought; not one that was just opened, on
    /// which the first is on its way.
    pub fn quiet(&self, now: Micros) -> impl Iterator<Item = (ClientId, u64)> + '_ {
        let quiet = self.clients.iter().filter(move |(id, client)| {
            let began = client.inputs > 0 || now >= client.opened + FIRST;
            !id.is_bound() && client.open == 0 && began
        });
        quiet.map(|(id, client)| (*id, client.inputs))
    }

    pub fn called(&mut self, client: ClientId, now: Micros) {
        self.change(client, |client| {
            client.called = Some(now);
            client.open += 1;
        });
    }

    /// A call of it waits no more.
    pub fn settled(&mut self, client: ClientId) {
        self.change(client, |client| client.open = client.open.saturating_sub(1));
    }

    pub fn stood(&mut self, client: ClientId) {
        self.change(client, |client| {
            client.proven = true;
            client.standing += 1;
        });
    }

    /// A call of it stands no more.
    pub fn over(&mut self, client: ClientId) {
        self.change(client, |client| client.standing = client.standing.saturating_sub(1));
    }

    pub fn open(&self, client: ClientId) -> usize {
        self.clients.get(&client).map_or(0, |client| client.open)
    }

    /// Whether a call of it has stood, so that its set-ups are known to make sense to servers.
    pub fn is_proven(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(|client| client.proven)
    }

    /// Who can pass on the release of a call of `own`, other than those that were given it: a peer that owns
    /// the call, else the connection that made it, else one that is known to listen: that has acknowledged a
    /// release, then one on which a call has stood, then the one that made the latest call. One that has made
    /// none may be there for tests alone and not listen, so it comes last, and only if `untested` ones may.
    pub fn taker(&self, own: Option<ClientId>, given: &[ClientId], untested: bool) -> Option<ClientId> {
        let listens = |own: &ClientId| self.clients.get(own).is_some_and(|client| !client.silent);
        if let Some(own) = own.filter(|own| listens(own) && !given.contains(own)) {
            return Some(own);
        }
        if own.is_some_and(ClientId::is_bound) {
            return None;
        }
        let others = self.clients.iter().filter(|(id, client)| {
            !id.is_bound() && !given.contains(id) && (untested || client.called.is_some())
        });
        let listens = |client: &Client| (!client.silent, client.acknowledged.is_some(), client.proven);
        let latest = |client: &Client| (client.called, client.heard, client.opened);
        others.max_by_key(|(_, client)| (listens(client), latest(client))).map(|(id, _)| *id)
    }
}
