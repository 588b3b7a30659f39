//! Links among many: every member has a front of its own, for connections and for datagrams, and what passes
//! between any two is decided by a plan with phases. Who speaks is told by the address that it comes from, so
//! each member has one of its own.
//!
//! [`Plan::decide`] is pure: a decision depends on the seed, the phase, the two members, the connection and
//! the place of the message, and on nothing else. [`Mesh`] carries it out on sockets, on a thread of its
//! own, and records it.

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

/// More decisions than this are not recorded: a record is for a test, not for a service.
const MOST_RECORDED: usize = 1_000_000;
/// Messages under way on one way of one connection.
const UNDER_WAY: usize = 4_096;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    /// The first one is in force at the start.
    pub phases: Vec<Phase>,
}

/// What holds for a while. All rules that fit a message apply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: String,
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// What becomes of messages from some members to others; no names at all means any. Shares are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    pub from: Vec<String>,
    pub to: Vec<String>,
    /// The other direction too.
    pub both: bool,
    /// Nothing passes; connections stay open and say nothing.
    pub cut: bool,
    pub drop: f64,
    pub double: f64,
    /// It waits so many milliseconds, drawn between the two; those behind it keep their order.
    pub delay_ms: (u32, u32),
    /// It lets those behind it pass.
    pub reorder: f64,
}

impl Rule {
    /// Nothing passes between these and those.
    pub fn cut(from: &[String], to: &[String], both: bool) -> Self {
        Rule { from: from.to_vec(), to: to.to_vec(), both, cut: true, ..Rule::default() }
    }

    fn fits(&self, from: &str, to: &str) -> bool {
        let names =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|known| known == name);
        names(&self.from, from) && names(&self.to, to)
            || self.both && names(&self.from, to) && names(&self.to, from)
    }
}

/// A message between two members, on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place<'a> {
    pub from: &'a str,
    pub to: &'a str,
    pub connection: u64,
    pub index: u64,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fate {
    pub copies: u8,
    pub delay_ms: u32,
    /// It goes behind those that come later.
    pub behind: bool,
}

/// A decision, as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    pub phase: usize,
    pub from: String,
    pub to: String,
    pub connection: u64,
    pub index: u64,
    pub fate: Fate,
}

impl Plan {
    /// What becomes of a message in a phase.
    pub fn decide(&self, phase: usize, place: Place) -> Fate {
        let mut fate = Fate { copies: 1, ..Fate::default() };
        let Some(rules) = self.phases.get(phase).map(|phase| &phase.rules) else { return fate };
        for (number, rule) in rules.iter().enumerate().filter(|(_, rule)| rule.fits(place.from, place.to)) {
            let draw = |salt: u64| self.draw(place, phase as u64, number as u64 * 8 + salt);
            if rule.cut || draw(0) < rule.drop {
                return Fate::default();
            }
            fate.copies += u8::from(draw(1) < rule.double);
            let (least, most) = rule.delay_ms;
            fate.delay_ms += least + (draw(2) * f64::from(most.saturating_sub(least))) as u32;
            fate.behind |= draw(3) < rule.reorder;
        }
        fate
    }

    /// A number from 0 to 1 that belongs to this message.
    fn draw(&self, place: Place, phase: u64, salt: u64) -> f64 {
        let name = |name: &str| name.bytes().fold(0, |drawn, byte| mix(drawn ^ u64::from(byte)));
        let parts = [name(place.from), name(place.to), place.connection, place.index, phase, salt];
        let drawn = parts.into_iter().fold(mix(self.seed), |drawn, part| mix(drawn ^ mix(part)));
        (drawn >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A member behind its front.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    /// Where it listens, and where its own connections come from.
    pub address: SocketAddr,
}

pub(crate) struct Inner {
    plan: Plan,
    pub(crate) members: Vec<Member>,
    phase: AtomicUsize,
    pub(crate) connections: AtomicU64,
    record: Mutex<Vec<Decision>>,
    passed: AtomicU64,
    octets: AtomicU64,
}

/// Fronts of all members, running.
pub struct Mesh {
    inner: Arc<Inner>,
    fronts: Vec<SocketAddr>,
    datagram_fronts: Vec<SocketAddr>,
    _stop: watch::Sender<()>,
}

impl Mesh {
    /// Opens a front for each member on loopback, and relays from then on.
    ///
    /// # Errors
    /// An address is no loopback address, or can't be listened on.
    pub fn start(plan: Plan, members: Vec<Member>) -> io::Result<Self> {
        let (mut listeners, mut sockets) = (Vec::new(), Vec::new());
        for member in &members {
            if !member.address.ip().is_loopback() {
                let told = format!("{}: faults stay on loopback addresses", member.name);
                return Err(io::Error::new(io::ErrorKind::InvalidInput, told));
            }
            let listener = StdListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            listeners.push(listener);
            let socket = StdUdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let fronts = listeners.iter().map(StdListener::local_addr).collect::<io::Result<_>>()?;
        let datagram_fronts = sockets.iter().map(StdUdpSocket::local_addr).collect::<io::Result<_>>()?;
        let inner = Arc::new(Inner {
            plan,
            members,
            phase: AtomicUsize::new(0),
            connections: AtomicU64::new(0),
            record: Mutex::default(),
            passed: AtomicU64::new(0),
            octets: AtomicU64::new(0),
        });
        let (stop, mut stopped) = watch::channel(());
        let shared = inner.clone();
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
                // Ends with its sender.
                while stopped.changed().await.is_ok() {}
            });
        });
        Ok(Mesh { inner, fronts, datagram_fronts, _stop: stop })
    }

    /// Where others reach each member, in the order in which they were named.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// The same for datagrams.
    pub fn datagram_fronts(&self) -> &[SocketAddr] {
        &self.datagram_fronts
    }

    /// Has a phase in force from now on; `false` where the plan has none of that name.
    pub fn enter(&self, name: &str) -> bool {
        let place = self.inner.plan.phases.iter().position(|phase| phase.name == name);
        if let Some(place) = place {
            self.inner.phase.store(place, Ordering::Relaxed);
        }
        place.is_some()
    }

    /// Messages and octets that were passed on.
    pub fn passed(&self) -> (u64, u64) {
        (self.inner.passed.load(Ordering::Relaxed), self.inner.octets.load(Ordering::Relaxed))
    }

    /// What was decided otherwise than to pass it on, by members and place.
    pub fn record(&self) -> Vec<Decision> {
        let mut record = self.inner.record.lock().map(|record| record.clone()).unwrap_or_default();
        record.sort_by(|one, other| {
            (&one.from, &one.to, one.connection, one.index).cmp(&(
                &other.from,
                &other.to,
                other.connection,
                other.index,
            ))
        });
        record
    }
}

async fn accept(inner: Arc<Inner>, to: usize, listener: TcpListener) {
    while let Ok((near, peer)) = listener.accept().await {
        let from = inner.name_of(peer.ip());
        spawn_local(serve(inner.clone(), from, to, near));
    }
}

async fn serve(inner: Arc<Inner>, from: String, to: usize, near: TcpStream) {
    let connection = inner.connections.fetch_add(1, Ordering::Relaxed);
    let Ok(far) = TcpStream::connect(inner.members[to].address).await else {
        // A dial that is refused is passed on as a reset.
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let to = inner.members[to].name.clone();
    // Each way ends when its reader does, and has the other side's end follow.
    tokio::join!(
        carry(&inner, from.clone(), to.clone(), connection, near_read, far_write),
        carry(&inner, to, from, connection, far_read, near_write),
    );
}

/// Carries one way to its end. Reading never waits for a delay.
async fn carry(
    inner: &Inner,
    from: String,
    to: String,
    connection: u64,
    mut read: OwnedReadHalf,
    write: OwnedWriteHalf,
) {
    let (under_way, out) = mpsc::channel(UNDER_WAY);
    let writing = write_on(write, out);
    // Ends with its reader; what is under way by then is still written.
    let reading = async move {
        let mut frames = Frames::new(Framing::Board);
        let (mut bytes, mut index) = ([0; 16 * 1024], 0);
        let mut last = Instant::now();
        let mut behind: Vec<Vec<u8>> = Vec::new();
        loop {
            let count = read.read(&mut bytes).await.unwrap_or(0);
            if count == 0 {
                return;
            }
            frames.push(&bytes[..count]);
            while let Some(message) = frames.take() {
                let fate = inner.decide(Place { from: &from, to: &to, connection, index });
                index += 1;
                let at = (Instant::now() + Duration::from_millis(fate.delay_ms.into())).max(last);
                last = at;
                if fate.behind && fate.copies > 0 {
                    behind.push(message);
                    continue;
                }
                for _ in 0..fate.copies {
                    inner.passed(message.len());
                    if under_way.send((at, message.clone())).await.is_err() {
                        return;
                    }
                }
                for message in behind.drain(..) {
                    if under_way.send((at, message)).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    tokio::join!(reading, writing);
}

async fn write_on(mut write: OwnedWriteHalf, mut out: mpsc::Receiver<(Instant, Vec<u8>)>) {
    while let Some((at, message)) = out.recv().await {
        // Timers are of whole milliseconds, also those that are due.
        if at > Instant::now() {
            sleep_until(at).await;
        }
        if write.write_all(&message).await.is_err() {
            return;
        }
    }
    let _ = write.shutdown().await;
}

impl Inner {
    /// Strangers are no matter of a plan: they are let pass as such.
    pub(crate) fn name_of(&self, ip: IpAddr) -> String {
        let known = self.members.iter().find(|member| member.address.ip() == ip);
        known.map_or_else(|| "stranger".to_string(), |member| member.name.clone())
    }

    /// What becomes of a message now; it is recorded.
    pub(crate) fn decide(&self, place: Place) -> Fate {
        let phase = self.phase.load(Ordering::Relaxed);
        let fate = self.plan.decide(phase, place);
        self.note(phase, place, fate);
        fate
    }

    pub(crate) fn passed(&self, octets: usize) {
        self.passed.fetch_add(1, Ordering::Relaxed);
        self.octets.fetch_add(octets as u64, Ordering::Relaxed);
    }

    fn note(&self, phase: usize, place: Place, fate: Fate) {
        if fate == (Fate { copies: 1, ..Fate::default() }) {
            return;
        }
        let Ok(mut record) = self.record.lock() else { return };
        if record.len() < MOST_RECORDED {
            record.push(Decision {
                phase,
                from: place.from.into(),
                to: place.to.into(),
                connection: place.connection,
                index: place.index,
                fate,
            });
        }
    }
}

/// Groups of members that hear only each other, as rules: the fewest that cut all others apart.
pub fn partition(groups: &[Vec<String>]) -> Vec<Rule> {
    let mut rules = Vec::new();
    for (place, one) in groups.iter().enumerate() {
        for other in &groups[place + 1..] {
            rules.push(Rule::cut(one, other, true));
        }
    }
    rules
}

/// How often each fate was decided in a record.
pub fn tally(record: &[Decision]) -> BTreeMap<&'static str, usize> {
    let mut tally = BTreeMap::new();
    for Decision { fate, .. } in record {
        let what = match fate {
            Fate { copies: 0, .. } => "dropped",
            Fate { copies: 2.., .. } => "doubled",
            Fate { behind: true, .. } => "reordered",
            _ => "delayed",
        };
        *tally.entry(what).or_insert(0) += 1;
    }
    tally
}
