//! A mesh of links between many members. Each member has a proxy in front of it, for connections and for
//! datagrams, and a plan with phases decides what passes between any two members. The source address
//! identifies the sender, so each member has an address of its own.
//!
//! [`Plan::decide`] is pure: a decision depends on the seed, the phase, the two members, the connection and
//! the message's index, and on nothing else. [`Mesh`] applies the decisions to sockets, on a thread of its
//! own, and records them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener as StdListener, UdpSocket as StdUdpSocket};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::datagrams;
use crate::decide::mix;
use crate::frames::Frames;
use crate::plan::Framing;

/// Bound on recorded decisions: the record serves tests, not long-running services.
const MAX_RECORDED_DECISIONS: usize = 1_000_000;
/// Bound on the messages in flight in one direction of a connection.
const MAX_IN_FLIGHT_MESSAGES: usize = 4_096;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    /// The first phase is active at the start.
    pub phases: Vec<Phase>,
}

/// Rules that are active for some time. All rules that match a message apply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: String,
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// The faults of messages from some members to others; empty lists match all members. Probabilities are
/// from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    pub from: Vec<String>,
    pub to: Vec<String>,
    /// Applies to the opposite direction as well.
    pub both: bool,
    /// Nothing passes; connections stay open but silent.
    pub cut: bool,
    pub drop: f64,
    #[serde(rename = "double")]
    pub duplicate: f64,
    /// Range of the delay in milliseconds; later messages keep their order behind the delayed one.
    pub delay_ms: (u32, u32),
    /// Later messages may overtake the message.
    pub reorder: f64,
}

impl Rule {
    /// A rule that drops everything between these members.
    pub fn cut(from: &[String], to: &[String], both: bool) -> Self {
        Rule { from: from.to_vec(), to: to.to_vec(), both, cut: true, ..Rule::default() }
    }

    fn matches(&self, from: &str, to: &str) -> bool {
        let matches_any =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|known| known == name);
        matches_any(&self.from, from) && matches_any(&self.to, to)
            || self.both && matches_any(&self.from, to) && matches_any(&self.to, from)
    }
}

/// Identifies a message between two members on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageId<'a> {
    pub from: &'a str,
    pub to: &'a str,
    pub connection: u64,
    pub index: u64,
}

/// What happens to the message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub copies: u8,
    pub delay_ms: u32,
    /// The message is sent behind later ones.
    #[serde(rename = "behind")]
    pub is_reordered: bool,
}

/// A decision, as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    pub phase: usize,
    pub from: String,
    pub to: String,
    pub connection: u64,
    pub index: u64,
    #[serde(rename = "fate")]
    pub outcome: Outcome,
}

impl Plan {
    /// Decides what happens to a message in a phase.
    pub fn decide(&self, phase: usize, message: MessageId) -> Outcome {
        let mut outcome = Outcome { copies: 1, ..Outcome::default() };
        let Some(rules) = self.phases.get(phase).map(|phase| &phase.rules) else { return outcome };
        for (number, rule) in
            rules.iter().enumerate().filter(|(_, rule)| rule.matches(message.from, message.to))
        {
            let draw = |salt: u64| self.draw(message, phase as u64, number as u64 * 8 + salt);
            if rule.cut || draw(0) < rule.drop {
                return Outcome::default();
            }
            outcome.copies += u8::from(draw(1) < rule.duplicate);
            let (min, max) = rule.delay_ms;
            outcome.delay_ms += min + (draw(2) * f64::from(max.saturating_sub(min))) as u32;
            outcome.is_reordered |= draw(3) < rule.reorder;
        }
        outcome
    }

    /// A pseudorandom number in [0, 1) that belongs to this message.
    fn draw(&self, message: MessageId, phase: u64, salt: u64) -> f64 {
        let name_hash = |name: &str| name.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let parts =
            [name_hash(message.from), name_hash(message.to), message.connection, message.index, phase, salt];
        let hash = parts.into_iter().fold(mix(self.seed), |hash, part| mix(hash ^ mix(part)));
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A member behind its proxy.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    /// The address that the member listens on, and whose IP address its own connections come from.
    pub address: SocketAddr,
}

/// What the proxies of a mesh share.
pub(crate) struct MeshState {
    plan: Plan,
    pub(crate) members: Vec<Member>,
    phase: AtomicUsize,
    pub(crate) connections: AtomicU64,
    decisions: Mutex<Vec<Decision>>,
    forwarded: AtomicU64,
    octets: AtomicU64,
}

/// The running proxies of all members.
pub struct Mesh {
    state: Arc<MeshState>,
    proxy_addresses: Vec<SocketAddr>,
    datagram_proxy_addresses: Vec<SocketAddr>,
    _stop: watch::Sender<()>,
}

impl Mesh {
    /// Starts a proxy for each member on loopback, and forwards from then on.
    ///
    /// # Errors
    /// An address is no loopback address, or cannot be listened on.
    pub fn start(plan: Plan, members: Vec<Member>) -> io::Result<Self> {
        let (mut listeners, mut sockets) = (Vec::new(), Vec::new());
        for member in &members {
            if !member.address.ip().is_loopback() {
                let reason = format!("{}: fault injection is limited to loopback addresses", member.name);
                return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
            }
            let listener = StdListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            listeners.push(listener);
            let socket = StdUdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let proxy_addresses = listeners.iter().map(StdListener::local_addr).collect::<io::Result<_>>()?;
        let datagram_proxy_addresses =
            sockets.iter().map(StdUdpSocket::local_addr).collect::<io::Result<_>>()?;
        let state = Arc::new(MeshState {
            plan,
            members,
            phase: AtomicUsize::new(0),
            connections: AtomicU64::new(0),
            decisions: Mutex::default(),
            forwarded: AtomicU64::new(0),
            octets: AtomicU64::new(0),
        });
        let (stop, mut stopped) = watch::channel(());
        let shared = state.clone();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            tokio::task::LocalSet::new().block_on(&runtime, async {
                for (to, listener) in listeners.into_iter().enumerate() {
                    if let Ok(listener) = TcpListener::from_std(listener) {
                        spawn_local(accept(shared.clone(), to, listener));
                    }
                }
                for (to, socket) in sockets.into_iter().enumerate() {
                    if let Ok(socket) = UdpSocket::from_std(socket) {
                        spawn_local(datagrams::relay(shared.clone(), to, socket));
                    }
                }
                // Ends when the sender is dropped.
                while stopped.changed().await.is_ok() {}
            });
        });
        Ok(Mesh { state, proxy_addresses, datagram_proxy_addresses, _stop: stop })
    }

    /// The addresses at which other members reach each member, in the order of the members.
    pub fn proxy_addresses(&self) -> &[SocketAddr] {
        &self.proxy_addresses
    }

    /// The addresses for datagrams, in the order of the members.
    pub fn datagram_proxy_addresses(&self) -> &[SocketAddr] {
        &self.datagram_proxy_addresses
    }

    /// Activates a phase; `false` if the plan has no phase of that name.
    pub fn enter_phase(&self, name: &str) -> bool {
        let phase = self.state.plan.phases.iter().position(|phase| phase.name == name);
        if let Some(phase) = phase {
            self.state.phase.store(phase, Ordering::Relaxed);
        }
        phase.is_some()
    }

    /// The number of messages and of octets that were forwarded.
    pub fn forwarded(&self) -> (u64, u64) {
        (self.state.forwarded.load(Ordering::Relaxed), self.state.octets.load(Ordering::Relaxed))
    }

    /// The decisions that altered, delayed or dropped a message, sorted by members, connection and index.
    pub fn decisions(&self) -> Vec<Decision> {
        let mut decisions =
            self.state.decisions.lock().map(|decisions| decisions.clone()).unwrap_or_default();
        decisions.sort_by(|one, other| {
            (&one.from, &one.to, one.connection, one.index).cmp(&(
                &other.from,
                &other.to,
                other.connection,
                other.index,
            ))
        });
        decisions
    }
}

async fn accept(state: Arc<MeshState>, to: usize, listener: TcpListener) {
    while let Ok((client, peer)) = listener.accept().await {
        let from = state.member_name(peer.ip());
        spawn_local(proxy(state.clone(), from, to, client));
    }
}

async fn proxy(state: Arc<MeshState>, from: String, to: usize, client: TcpStream) {
    let connection = state.connections.fetch_add(1, Ordering::Relaxed);
    let Ok(upstream) = TcpStream::connect(state.members[to].address).await else {
        // A refused connection is passed on as a reset.
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let ((client_read, client_write), (upstream_read, upstream_write)) =
        (client.into_split(), upstream.into_split());
    let to = state.members[to].name.clone();
    // Each direction ends with its reader and then closes the other side's stream.
    tokio::join!(
        carry(&state, from.clone(), to.clone(), connection, client_read, upstream_write),
        carry(&state, to, from, connection, upstream_read, client_write),
    );
}

/// Forwards one direction until it ends. Reads never wait for delayed messages.
async fn carry(
    state: &MeshState,
    from: String,
    to: String,
    connection: u64,
    mut read: OwnedReadHalf,
    write: OwnedWriteHalf,
) {
    let (queue, out) = mpsc::channel(MAX_IN_FLIGHT_MESSAGES);
    let writer = write_messages(write, out);
    // Ends with its stream; messages that are already queued are still written.
    let reader = async move {
        let mut frames = Frames::new(Framing::LengthPrefixed);
        let (mut bytes, mut index) = ([0; 16 * 1024], 0);
        let mut last = Instant::now();
        let mut held_back: Vec<Vec<u8>> = Vec::new();
        loop {
            let count = read.read(&mut bytes).await.unwrap_or(0);
            if count == 0 {
                return;
            }
            frames.push(&bytes[..count]);
            while let Some(message) = frames.next_message() {
                let outcome = state.decide(MessageId { from: &from, to: &to, connection, index });
                index += 1;
                let due = (Instant::now() + Duration::from_millis(outcome.delay_ms.into())).max(last);
                last = due;
                if outcome.is_reordered && outcome.copies > 0 {
                    held_back.push(message);
                    continue;
                }
                for _ in 0..outcome.copies {
                    state.count_forwarded(message.len());
                    if queue.send((due, message.clone())).await.is_err() {
                        return;
                    }
                }
                for message in held_back.drain(..) {
                    if queue.send((due, message)).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    tokio::join!(reader, writer);
}

async fn write_messages(mut write: OwnedWriteHalf, mut out: mpsc::Receiver<(Instant, Vec<u8>)>) {
    while let Some((due, message)) = out.recv().await {
        // Timers have a resolution of whole milliseconds and would delay even messages that are due.
        if due > Instant::now() {
            sleep_until(due).await;
        }
        if write.write_all(&message).await.is_err() {
            return;
        }
    }
    let _ = write.shutdown().await;
}

impl MeshState {
    /// The name of the member with this address. Any other address gets the name `stranger`, which plans do
    /// not list.
    pub(crate) fn member_name(&self, ip: IpAddr) -> String {
        let known = self.members.iter().find(|member| member.address.ip() == ip);
        known.map_or_else(|| "stranger".to_string(), |member| member.name.clone())
    }

    /// Decides what happens to a message in the active phase, and records the decision.
    pub(crate) fn decide(&self, message: MessageId) -> Outcome {
        let phase = self.phase.load(Ordering::Relaxed);
        let outcome = self.plan.decide(phase, message);
        self.record(phase, message, outcome);
        outcome
    }

    pub(crate) fn count_forwarded(&self, octets: usize) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        self.octets.fetch_add(octets as u64, Ordering::Relaxed);
    }

    fn record(&self, phase: usize, message: MessageId, outcome: Outcome) {
        if outcome == (Outcome { copies: 1, ..Outcome::default() }) {
            return;
        }
        let Ok(mut decisions) = self.decisions.lock() else { return };
        if decisions.len() < MAX_RECORDED_DECISIONS {
            decisions.push(Decision {
                phase,
                from: message.from.into(),
                to: message.to.into(),
                connection: message.connection,
                index: message.index,
                outcome,
            });
        }
    }
}

/// The smallest set of rules that separates these groups of members from one another.
pub fn partition(groups: &[Vec<String>]) -> Vec<Rule> {
    let mut rules = Vec::new();
    for (index, one) in groups.iter().enumerate() {
        for other in &groups[index + 1..] {
            rules.push(Rule::cut(one, other, true));
        }
    }
    rules
}

/// Counts the recorded decisions by their outcome.
pub fn count_outcomes(decisions: &[Decision]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for Decision { outcome, .. } in decisions {
        let kind = match outcome {
            Outcome { copies: 0, .. } => "dropped",
            Outcome { copies: 2.., .. } => "duplicated",
            Outcome { is_reordered: true, .. } => "reordered",
            _ => "delayed",
        };
        *counts.entry(kind).or_insert(0) += 1;
    }
    counts
}
