//! The clients that calls are received from: callers' connections and the peers of the M3UA front. Limits
//! their number and closes idle ones, so that no client can use up the connections.

use std::collections::BTreeMap;

use steprelay_decisions::Micros;

use super::round_trip::RoundTrips;

/// A connection without any valid input is closed after this time.
const FIRST_INPUT_TIMEOUT: Micros = 2_000_000;
/// A connection without calls is closed after this time; callers close theirs after 4 s.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// While clients are drained, a new connection has this long to send its first input.
const FIRST_INPUT_GRACE: Micros = 200_000;
/// A connection on which nothing is received for this long after a release was sent is taken for one that is
/// not read: one that has sent only health checks; one that has made calls; one that has acknowledged a
/// release before. Each leaves time for another connection in the one second in which a caller must receive a
/// release.
const ACK_TIMEOUT_HEALTH_CHECK_ONLY: Micros = 150_000;
const ACK_TIMEOUT_CALLING: Micros = 400_000;
const ACK_TIMEOUT_ACKNOWLEDGING: Micros = 600_000;
/// The same for further connections that a release is redelivered on, since the first one took most of the
/// second.
const ACK_TIMEOUT_REDELIVERY: Micros = 150_000;
/// If acknowledgements take longer than these timeouts, since this machine or the callers' are overloaded,
/// the timeouts grow with them up to this limit.
const MAX_ACK_TIMEOUT: Micros = 4_000_000;

/// A client that makes calls and receives answers: a caller's connection, or a peer of the M3UA front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

impl ClientId {
    /// Set in the ids of clients whose calls are bound to circuits.
    pub const CIRCUIT_BOUND: u64 = 1 << 63;

    /// Whether the calls of this client can be released through this client only.
    pub fn is_circuit_bound(self) -> bool {
        self.0 & Self::CIRCUIT_BOUND != 0
    }
}

/// The address of the machine that a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub u128);

/// Limits on what the core holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreLimits {
    /// Connections of callers in total, and from one peer.
    pub connections: usize,
    pub connections_per_peer: usize,
    /// Bytes of all calls: of each that has not ended, and of the descriptions and numbers of unanswered
    /// ones.
    pub total_call_bytes: usize,
    /// Bytes of a call beside its description and number.
    pub call_bytes: usize,
    /// Ids of ended calls in one generation.
    pub ended_calls: usize,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    peer: Option<Peer>,
    opened: Micros,
    /// Number of inputs received, valid or not.
    inputs: u64,
    /// When the last valid input was received.
    last_input: Option<Micros>,
    /// When its last accepted call was made, and whether any of its calls has been established.
    last_call: Option<Micros>,
    proven: bool,
    /// When the latest release that it has acknowledged was sent.
    last_acknowledged: Option<Micros>,
    /// It did not acknowledge a release in time, and no input was received since.
    unresponsive: bool,
    /// It cannot be sent messages for now.
    unreachable: bool,
    /// Its unanswered calls, and its established calls.
    open: usize,
    established: usize,
}

impl Client {
    /// Connections are evicted in ascending order; the lower the rank, the less is lost with the connection.
    fn eviction_rank(&self) -> impl Ord {
        (self.last_call.is_some(), self.established > 0, self.last_input, self.opened)
    }
}

pub struct Clients {
    limits: CoreLimits,
    clients: BTreeMap<ClientId, Client>,
    /// Clients whose connections end with what was already sent to them, and since when.
    finished: BTreeMap<ClientId, Micros>,
    /// Times from sending a release to reading its acknowledgement.
    round_trips: RoundTrips,
}

impl Clients {
    pub fn new(limits: CoreLimits) -> Self {
        Clients {
            limits,
            clients: BTreeMap::new(),
            finished: BTreeMap::new(),
            round_trips: RoundTrips::default(),
        }
    }

    /// Adds a connection; returns the one to close if a limit is exceeded.
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

    /// The connection with the lowest eviction rank among those that have no unanswered call and never had an
    /// established one; the latest one if there is no other. A new connection displaces no proven one.
    fn eviction_candidate(&self, among: impl Fn(&Client) -> bool, latest: ClientId) -> ClientId {
        let candidates = self.clients.iter().filter(|(id, client)| {
            !id.is_circuit_bound() && **id != latest && client.open == 0 && !client.proven && among(client)
        });
        candidates.min_by_key(|(_, client)| client.eviction_rank()).map_or(latest, |(id, _)| *id)
    }

    /// Connections that have been idle for too long.
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
        self.finished.remove(&client);
    }

    /// The connection ends with what was already sent on it.
    pub fn finish(&mut self, client: ClientId, now: Micros) {
        self.clients.remove(&client);
        self.finished.insert(client, now);
    }

    pub fn finished_at(&self, client: ClientId) -> Option<Micros> {
        self.finished.get(&client).copied()
    }

    pub fn opened_at(&self, client: ClientId) -> Option<Micros> {
        self.clients.get(&client).map(|client| client.opened)
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

    /// The client acknowledged a release that was sent at this time.
    pub fn release_acknowledged(&mut self, now: Micros, client: ClientId, sent: Micros) {
        self.round_trips.record(now - sent);
        self.change(client, |client| client.last_acknowledged = client.last_acknowledged.max(Some(sent)));
    }

    /// The client did not acknowledge a release in time: it is the last choice for other releases until input
    /// is received from it.
    pub fn set_unresponsive(&mut self, client: ClientId) {
        self.change(client, |client| client.unresponsive = true);
    }

    /// When the acknowledgement of a release that was sent at this time is overdue; `deliveries`: the number
    /// of connections it was delivered on so far. A connection that has acknowledged releases before gets
    /// more time while input is received on it, up to `MAX_ACK_TIMEOUT`, unless it has acknowledged a later
    /// release and so skipped this one.
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

    /// Invalid input was received from the client.
    pub fn invalid_input_received(&mut self, client: ClientId) {
        self.change(client, |client| client.inputs += 1);
    }

    /// The connection that is kept for releases while clients are drained, which is the one with most
    /// established calls, and the number of those calls.
    pub fn last_to_drain(&self) -> Option<(ClientId, usize)> {
        let callers =
            self.clients.iter().filter(|(id, client)| !id.is_circuit_bound() && client.last_call.is_some());
        let last = callers.max_by_key(|(id, client)| (client.established, client.last_call, **id));
        last.map(|(id, client)| (*id, client.established))
    }

    /// Number of callers' connections.
    pub fn connections(&self) -> usize {
        self.clients.keys().filter(|id| !id.is_circuit_bound()).count()
    }

    /// Connections without an unanswered call, with the number of inputs received on each. Leaves out a
    /// connection that was just opened, whose first input is on its way.
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

    /// A call of the client is no longer unanswered.
    pub fn call_answered(&mut self, client: ClientId) {
        self.change(client, |client| client.open = client.open.saturating_sub(1));
    }

    pub fn call_established(&mut self, client: ClientId) {
        self.change(client, |client| {
            client.proven = true;
            client.established += 1;
        });
    }

    /// An established call of the client has ended.
    pub fn call_ended(&mut self, client: ClientId) {
        self.change(client, |client| client.established = client.established.saturating_sub(1));
    }

    pub fn open(&self, client: ClientId) -> usize {
        self.clients.get(&client).map_or(0, |client| client.open)
    }

    /// Whether a call of the client has been established, which shows that its set-ups are valid to servers.
    pub fn is_proven(&self, client: ClientId) -> bool {
        self.clients.get(&client).is_some_and(|client| client.proven)
    }

    /// The client to deliver the release of a call of `own` on, other than the previous `recipients`. That is
    /// the client that owns the call if its calls are circuit-bound, else the connection that made the call,
    /// else a connection that is known to be read: one that has acknowledged a release, then one that has had
    /// an established call, then the one that made the latest call. A connection that has made no call may be
    /// there for health checks only and ignore releases, so it comes last, and only if `any_client` is set.
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
