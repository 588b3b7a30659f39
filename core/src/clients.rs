//! Who calls are taken from: the connections of callers and the peers of the M3UA front. Bounds how many
//! there are, and lets go of those that are of no use, so that nobody keeps the places that others need.

use std::collections::BTreeMap;

use steprelay_decisions::Micros;

use super::round_trip::RoundTrips;

/// A connection that has sent nothing that makes sense is let go after this time.
const FIRST_INPUT_TIMEOUT: Micros = 2_000_000;
/// One with no call on it, after this: callers close theirs after 4 s.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Clients that are sent away have this long for the first word on a new connection.
const FIRST_INPUT_GRACE: Micros = 200_000;
/// A connection on which nothing comes for so long after a release has left is taken for one that does not
/// listen: one that has made tests only; one that has made calls; one that has acknowledged a release before.
/// Each leaves time for another one in the second in which a caller is to have a release.
const ACK_TIMEOUT_HEALTH_CHECK_ONLY: Micros = 150_000;
const ACK_TIMEOUT_CALLING: Micros = 400_000;
const ACK_TIMEOUT_ACKNOWLEDGING: Micros = 600_000;
/// The same for the later connections that are given one release: the first took most of the second.
const ACK_TIMEOUT_REDELIVERY: Micros = 150_000;
/// Where acknowledgements take longer than that, since this machine or the callers' are far behind, so does
/// the patience with callers, within this.
const MAX_ACK_TIMEOUT: Micros = 4_000_000;

/// Whoever calls are taken from and answered to: a caller's connection, or a peer of the M3UA front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

impl ClientId {
    /// Marks the ids of clients whose calls are bound to circuits of theirs.
    pub const CIRCUIT_BOUND: u64 = 1 << 63;

    /// Whether calls of this client can be released through it only.
    pub fn is_circuit_bound(self) -> bool {
        self.0 & Self::CIRCUIT_BOUND != 0
    }
}

/// The machine that a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub u128);

/// What may be held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreLimits {
    /// Connections of callers in all, and those of one peer.
    pub connections: usize,
    pub connections_per_peer: usize,
    /// Bytes of descriptions and numbers of waiting calls.
    pub pending_call_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    peer: Option<Peer>,
    opened: Micros,
    /// What came from it, whether it made sense or not.
    inputs: u64,
    /// When something that makes sense last came from it.
    last_input: Option<Micros>,
    /// When it last made a call that was taken in, and whether any has stood.
    last_call: Option<Micros>,
    proven: bool,
    /// When the latest release that it has acknowledged had left.
    last_acknowledged: Option<Micros>,
    /// A release was not acknowledged in time, and nothing has come since.
    unresponsive: bool,
    /// It can be told nothing for now.
    unreachable: bool,
    /// Its calls that wait for an answer, and those that stand.
    open: usize,
    established: usize,
}

impl Client {
    /// The lower, the less is lost with its connection.
    fn eviction_rank(&self) -> impl Ord {
        (self.last_call.is_some(), self.established > 0, self.last_input, self.opened)
    }
}

pub struct Clients {
    limits: CoreLimits,
    clients: BTreeMap<ClientId, Client>,
    /// From when a release has left until its acknowledgement is read.
    round_trips: RoundTrips,
}

impl Clients {
    pub fn new(limits: CoreLimits) -> Self {
        Clients { limits, clients: BTreeMap::new(), round_trips: RoundTrips::default() }
    }

    /// Takes in a connection; returns the one to let go of where there are too many.
    pub fn opened(&mut self, id: ClientId, peer: Option<Peer>, now: Micros) -> Option<ClientId> {
        let (last_input, last_call, proven) = (None, None, id.is_circuit_bound());
        let (opened, last_acknowledged, unresponsive, unreachable) = (now, None, false, false);
        let (inputs, open, established) = (0, 0, 0);
        let client = Client {
            peer,
            opened,
            inputs,
            last_input,
            last_call,
            proven,
            last_acknowledged,
            unresponsive,
            unreachable,
            open,
            established,
        };
        self.clients.insert(id, client);
        let of_peer = |client: &Client| peer.is_some() && client.peer == peer;
        if self.clients.values().filter(|client| of_peer(client)).count() > self.limits.connections_per_peer {
            return Some(self.eviction_candidate(of_peer, id));
        }
        (self.connections() > self.limits.connections).then(|| self.eviction_candidate(|_| true, id))
    }

    /// The connection that is missed least, of those without an open set-up; the latest as the last choice.
    fn eviction_candidate(&self, among: impl Fn(&Client) -> bool, latest: ClientId) -> ClientId {
        let candidates = self.clients.iter().filter(|(id, client)| {
            !id.is_circuit_bound() && **id != latest && client.open == 0 && among(client)
        });
        candidates.min_by_key(|(_, client)| client.eviction_rank()).map_or(latest, |(id, _)| *id)
    }

    /// Connections that only hold a place.
    pub fn idle(&self, now: Micros) -> Vec<ClientId> {
        let idle = self.clients.iter().filter(|(id, client)| {
            let is_idle = client.open == 0 && client.established == 0;
            !id.is_circuit_bound()
                && match client.last_input {
                    Some(at) => is_idle && now >= at + IDLE_TIMEOUT,
                    None => now >= client.opened + FIRST_INPUT_TIMEOUT,
                }
        });
        idle.map(|(id, _)| *id).collect()
    }

    pub fn closed(&mut self, client: ClientId) {
        self.clients.remove(&client);
    }

    fn change(&mut self, client: ClientId, change: impl FnOnce(&mut Client)) {
        if let Some(client) = self.clients.get_mut(&client) {
            change(client);
        }
    }

    pub fn input_received(&mut self, client: ClientId, now: Micros) {
        self.change(client, |client| {
            client.last_input = Some(now);
            client.unresponsive = false;
            client.inputs += 1;
        });
    }

    pub fn is_connected(&self, client: ClientId) -> bool {
        self.clients.contains_key(&client)
    }

    pub fn set_unreachable(&mut self, client: ClientId, unreachable: bool) {
        self.change(client, |client| client.unreachable = unreachable);
    }

    pub fn is_unreachable(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(|client| client.unreachable)
    }

    /// It has acknowledged a release that had left at this time.
    pub fn release_acknowledged(&mut self, now: Micros, client: ClientId, sent: Micros) {
        self.round_trips.record(now - sent);
        self.change(client, |client| client.last_acknowledged = client.last_acknowledged.max(Some(sent)));
    }

    /// It has not acknowledged a release in time: it comes last for others until it says something.
    pub fn set_unresponsive(&mut self, client: ClientId) {
        self.change(client, |client| client.unresponsive = true);
    }

    /// Until when the acknowledgement of a release that left at this time is waited for; `deliveries`: to so
    /// many connections by now. A connection that is known to listen is heard out while it says anything, for
    /// `MAX_PATIENCE` at most, unless it has acknowledged a later release and so passed this one over.
    pub fn ack_deadline(&self, client: ClientId, sent: Micros, deliveries: usize) -> Micros {
        let Some(client) = self.clients.get(&client) else { return sent };
        let timeout = |first: Micros| {
            let minimum = if deliveries > 1 { ACK_TIMEOUT_REDELIVERY } else { first };
            minimum.max(self.round_trips.timeout()).min(MAX_ACK_TIMEOUT)
        };
        match (client.last_acknowledged, client.last_call) {
            (Some(latest), _) if latest <= sent => {
                let last_input = client.last_input.map_or(sent, |at| at.max(sent));
                (last_input + timeout(ACK_TIMEOUT_ACKNOWLEDGING)).min(sent + MAX_ACK_TIMEOUT)
            }
            (Some(_), _) => sent + timeout(ACK_TIMEOUT_ACKNOWLEDGING),
            (None, Some(_)) => sent + timeout(ACK_TIMEOUT_CALLING),
            (None, None) => sent + ACK_TIMEOUT_HEALTH_CHECK_ONLY,
        }
    }

    /// Something that makes no sense came from it.
    pub fn invalid_input_received(&mut self, client: ClientId) {
        self.change(client, |client| client.inputs += 1);
    }

    /// The connection that is kept for releases when clients are sent away, the one with most calls standing,
    /// and how many those are.
    pub fn last_to_drain(&self) -> Option<(ClientId, usize)> {
        let callers =
            self.clients.iter().filter(|(id, client)| !id.is_circuit_bound() && client.last_call.is_some());
        let last = callers.max_by_key(|(id, client)| (client.established, client.last_call, **id));
        last.map(|(id, client)| (*id, client.established))
    }

    /// Connections of callers.
    pub fn connections(&self) -> usize {
        self.clients.keys().filter(|id| !id.is_circuit_bound()).count()
    }

    /// Those without an open set-up, with how many inputs each has brought; not one that was just opened, on
    /// which the first is on its way.
    pub fn without_open_calls(&self, now: Micros) -> impl Iterator<Item = (ClientId, u64)> + '_ {
        let clients = self.clients.iter().filter(move |(id, client)| {
            let has_begun = client.inputs > 0 || now >= client.opened + FIRST_INPUT_GRACE;
            !id.is_circuit_bound() && client.open == 0 && has_begun
        });
        clients.map(|(id, client)| (*id, client.inputs))
    }

    pub fn call_offered(&mut self, client: ClientId, now: Micros) {
        self.change(client, |client| {
            client.last_call = Some(now);
            client.open += 1;
        });
    }

    /// A call of it waits no more.
    pub fn call_answered(&mut self, client: ClientId) {
        self.change(client, |client| client.open = client.open.saturating_sub(1));
    }

    pub fn call_established(&mut self, client: ClientId) {
        self.change(client, |client| {
            client.proven = true;
            client.established += 1;
        });
    }

    /// A call of it stands no more.
    pub fn call_ended(&mut self, client: ClientId) {
        self.change(client, |client| client.established = client.established.saturating_sub(1));
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
    pub fn release_recipient(
        &self,
        own: Option<ClientId>,
        recipients: &[ClientId],
        any_client: bool,
    ) -> Option<ClientId> {
        let is_responsive = |own: &ClientId| self.clients.get(own).is_some_and(|client| !client.unresponsive);
        if let Some(own) = own.filter(|own| is_responsive(own) && !recipients.contains(own)) {
            return Some(own);
        }
        if own.is_some_and(ClientId::is_circuit_bound) {
            return None;
        }
        let others = self.clients.iter().filter(|(id, client)| {
            !id.is_circuit_bound() && !recipients.contains(id) && (any_client || client.last_call.is_some())
        });
        let responsiveness =
            |client: &Client| (!client.unresponsive, client.last_acknowledged.is_some(), client.proven);
        let last_activity = |client: &Client| (client.last_call, client.last_input, client.opened);
        others.max_by_key(|(_, client)| (responsiveness(client), last_activity(client))).map(|(id, _)| *id)
    }
}
