//! One TCP link to each other member, dialled by either side. Each link has a bounded send queue: messages to
//! a lost or slow member are dropped and delay no other member.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::frames::{self, FrameError};
use steprelay_fleet::messages::{Envelope, Payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Limits of one member's send queue, in frames and in octets. Beyond them the oldest frames are dropped,
/// since newer ones supersede them.
const MAX_QUEUED_FRAMES: usize = 256;
const MAX_QUEUED_OCTETS: usize = 4 << 20;
/// Limit of links, including those being dialled.
const MAX_LINKS: usize = 512;
/// Limit of accepted connections whose member is not known yet.
const MAX_UNIDENTIFIED: usize = 32;
/// Limits of a connection's first frame: its length in octets, and the time until it is received.
const MAX_HELLO_LENGTH: usize = 4096;
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum delay before an unreachable member is dialled again.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// A link on which frames are sent and none is received for this long is replaced: after a network partition
/// the frames in the socket buffers would arrive far too late.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// A link without traffic is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of the time to write a rejection.
const REJECTION_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Received from a link.
pub enum LinkEvent {
    Frame {
        link: u64,
        envelope: Box<Envelope>,
    },
    /// A frame was unreadable or not allowed, for this reason; the link is closed. The sender of an
    /// invalid first frame has been sent the reason.
    Rejected(String),
}

struct SendQueue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    octets: std::cell::Cell<usize>,
    wake: Notify,
    /// The handshake is done; until then only handshake frames are sent.
    is_open: std::cell::Cell<bool>,
    is_closed: std::cell::Cell<bool>,
}

impl SendQueue {
    fn new() -> Rc<Self> {
        Rc::new(SendQueue {
            frames: RefCell::default(),
            octets: 0.into(),
            wake: Notify::new(),
            is_open: false.into(),
            is_closed: false.into(),
        })
    }

    /// Queues a frame; returns how many older ones were dropped for it.
    fn push(&self, frame: Vec<u8>) -> u64 {
        let mut frames = self.frames.borrow_mut();
        self.octets.set(self.octets.get() + frame.len());
        frames.push_back(frame);
        let mut dropped = 0;
        while frames.len() > MAX_QUEUED_FRAMES || self.octets.get() > MAX_QUEUED_OCTETS {
            let Some(oldest) = frames.pop_front() else { break };
            self.octets.set(self.octets.get() - oldest.len());
            dropped += 1;
        }
        self.wake.notify_one();
        dropped
    }

    fn pop(&self) -> Option<Vec<u8>> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.octets.set(self.octets.get() - frame.len());
        Some(frame)
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }
}

#[derive(PartialEq)]
enum Phase {
    Dialling,
    Up,
    /// The member could not be reached, or the connection has ended.
    Down,
}

struct Link {
    number: u64,
    queue: Rc<SendQueue>,
    phase: Phase,
    since: Instant,
    /// When the first frame was sent since the last one received, and when a frame last went either way.
    unanswered: Option<Instant>,
    last_used: Instant,
}

/// All links of this member, by the other member's address.
pub struct Links {
    me: SocketAddr,
    name: String,
    links: BTreeMap<SocketAddr, Link>,
    count: u64,
    events: mpsc::Sender<LinkEvent>,
    ended: mpsc::UnboundedSender<(SocketAddr, u64)>,
    ends: mpsc::UnboundedReceiver<(SocketAddr, u64)>,
    /// Frames that were dropped before they were sent.
    pub dropped_frames: u64,
    /// Octets of the frames that were queued to be sent.
    pub queued_octets: u64,
}

impl Links {
    /// `me`: the source address of outgoing links, with port 0.
    pub fn new(me: SocketAddr, name: String, events: mpsc::Sender<LinkEvent>) -> Self {
        let (ended, ends) = mpsc::unbounded_channel();
        Links {
            me,
            name,
            links: BTreeMap::new(),
            count: 0,
            events,
            ended,
            ends,
            dropped_frames: 0,
            queued_octets: 0,
        }
    }

    /// Queues a frame for a member. Without a link one is dialled, and `hello` is its first frame.
    /// `is_handshake`: the frame completes the handshake and goes ahead of the queued ones.
    pub fn send(&mut self, to: SocketAddr, frame: Vec<u8>, is_handshake: bool, hello: impl Fn() -> Vec<u8>) {
        self.close_expired();
        let now = Instant::now();
        let known = self.links.get(&to).map(|link| (link.phase == Phase::Down, link.since));
        match known {
            Some((true, since)) if now < since + RECONNECT_DELAY => {
                self.dropped_frames += 1;
                return;
            }
            None | Some((true, _)) => {
                if !self.dial(to, hello()) {
                    self.dropped_frames += 1;
                    return;
                }
            }
            Some((false, _)) => {}
        }
        let Some(link) = self.links.get_mut(&to) else { return };
        self.queued_octets += frame.len() as u64;
        link.last_used = now;
        // Handshake frames are not held back, and go ahead of the frames that wait for the handshake.
        if is_handshake {
            link.queue.frames.borrow_mut().push_front(frame.clone());
            link.queue.octets.set(link.queue.octets.get() + frame.len());
            link.queue.is_open.set(true);
            link.queue.wake.notify_one();
        } else {
            self.dropped_frames += link.queue.push(frame);
        }
        if link.phase == Phase::Up {
            link.unanswered.get_or_insert(now);
        }
    }

    /// Dials a member unless there is a link to it already or it was dialled a moment ago.
    pub fn greet(&mut self, to: SocketAddr, hello: impl Fn() -> Vec<u8>) {
        let may_dial =
            |link: &Link| link.phase == Phase::Down && Instant::now() >= link.since + RECONNECT_DELAY;
        if self.links.get(&to).is_none_or(may_dial) {
            self.dial(to, hello());
        }
    }

    fn dial(&mut self, to: SocketAddr, hello: Vec<u8>) -> bool {
        if self.links.len() >= MAX_LINKS {
            // Evicts the least recently used link.
            let oldest =
                self.links.iter().min_by_key(|(_, link)| link.last_used).map(|(address, _)| *address);
            oldest.and_then(|address| self.links.remove(&address)).iter().for_each(|link| link.queue.close());
        }
        self.count += 1;
        let (number, queue) = (self.count, SendQueue::new());
        let now = Instant::now();
        let link = Link {
            number,
            queue: queue.clone(),
            phase: Phase::Dialling,
            since: now,
            unanswered: None,
            last_used: now,
        };
        self.links.insert(to, link);
        let (me, events, ended) = (self.me, self.events.clone(), self.ended.clone());
        spawn_local(async move {
            let dialled = timeout(CONNECT_TIMEOUT, dial(me, to)).await;
            if let Ok(Ok(mut stream)) = dialled {
                if stream.write_all(&hello).await.is_ok() {
                    run_link(stream, number, queue, events).await;
                }
            }
            let _ = ended.send((to, number));
        });
        true
    }

    /// Registers a connection that a member dialled, after its hello. `None`: this member's own connection to
    /// it is kept instead.
    fn register_accepted(&mut self, from: SocketAddr, name: &str) -> Option<(u64, Rc<SendQueue>)> {
        let now = Instant::now();
        if let Some(link) = self.links.get(&from) {
            // Both sides dial at once: both keep the connection that the member with the lower name dialled.
            if link.phase == Phase::Dialling
                && self.name.as_str() < name
                && now < link.since + CONNECT_TIMEOUT
            {
                return None;
            }
            link.queue.close();
        }
        self.count += 1;
        let (number, queue) = (self.count, SendQueue::new());
        let link = Link {
            number,
            queue: queue.clone(),
            phase: Phase::Up,
            since: now,
            unanswered: None,
            last_used: now,
        };
        if let Some(before) = self.links.insert(from, link) {
            // The new link takes over the queued frames.
            queue.octets.set(before.queue.octets.get());
            queue.frames.replace(before.queue.frames.take());
        }
        Some((number, queue))
    }

    /// Records a received frame; returns whether its link is still in use.
    pub fn record_received(&mut self, link: u64, from: SocketAddr, payload: &Payload) -> bool {
        let now = Instant::now();
        let Some(known) = self.links.get_mut(&from).filter(|known| known.number == link) else {
            return false;
        };
        (known.phase, known.unanswered, known.last_used) = (Phase::Up, None, now);
        if matches!(payload, Payload::Welcome { .. }) {
            known.queue.is_open.set(true);
            known.queue.wake.notify_one();
        }
        true
    }

    /// Ends the link to a member.
    pub fn close(&mut self, to: SocketAddr) {
        if let Some(link) = self.links.get_mut(&to) {
            link.queue.close();
        }
    }

    /// Closes links that are unresponsive or idle. Called at each tick.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        while let Ok((address, number)) = self.ends.try_recv() {
            if let Some(link) = self.links.get_mut(&address).filter(|link| link.number == number) {
                (link.phase, link.since) = (Phase::Down, now);
                link.queue.close();
            }
        }
        for link in self.links.values_mut().filter(|link| link.phase != Phase::Down) {
            let unresponsive = link.unanswered.is_some_and(|since| now > since + RESPONSE_TIMEOUT);
            let handshake_overdue = link.phase == Phase::Dialling && now > link.since + RESPONSE_TIMEOUT;
            if unresponsive || handshake_overdue || now > link.last_used + IDLE_TIMEOUT {
                link.queue.close();
                (link.phase, link.since) = (Phase::Down, now);
            }
        }
        self.links.retain(|_, link| link.phase != Phase::Down || now < link.since + IDLE_TIMEOUT);
    }
}

async fn dial(me: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if me.is_ipv4() == to.is_ipv4() {
        socket.bind(me)?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends and receives on a link until either side ends it.
async fn run_link(stream: TcpStream, link: u64, queue: Rc<SendQueue>, events: mpsc::Sender<LinkEvent>) {
    let (read, write) = stream.into_split();
    tokio::select! {
        () = receive_frames(read, link, &events) => {}
        _ = send_frames(write, &queue) => {}
    }
    queue.close();
}

async fn send_frames(mut write: OwnedWriteHalf, queue: &SendQueue) -> io::Result<()> {
    loop {
        while queue.is_open.get() {
            let Some(frame) = queue.pop() else { break };
            write.write_all(&frame).await?;
        }
        if queue.is_closed.get() {
            return write.shutdown().await;
        }
        queue.wake.notified().await;
    }
}

async fn receive_frames(mut read: OwnedReadHalf, link: u64, events: &mpsc::Sender<LinkEvent>) {
    loop {
        match read_frame(&mut read, frames::MAX_FRAME_LENGTH).await {
            Ok(Ok(Some(envelope))) => {
                if events.send(LinkEvent::Frame { link, envelope: Box::new(envelope) }).await.is_err() {
                    return;
                }
            }
            // A message of a newer version that is not known here.
            Ok(Ok(None)) => {}
            Ok(Err(error)) => {
                let _ = events.send(LinkEvent::Rejected(error.to_string())).await;
                return;
            }
            Err(_) => return,
        }
    }
}

async fn read_frame(
    read: &mut (impl AsyncReadExt + Unpin),
    max_length: usize,
) -> io::Result<Result<Option<Envelope>, FrameError>> {
    let mut head = [0; 4];
    read.read_exact(&mut head).await?;
    let length = match frames::length(head) {
        Ok(length) if length <= max_length => length,
        Ok(length) => return Ok(Err(FrameError::TooLong(length))),
        Err(error) => return Ok(Err(error)),
    };
    let mut body = vec![0; length];
    read.read_exact(&mut body).await?;
    Ok(frames::decode(&body))
}

/// Accepts connections of other members. Reports a connection's hello, and the frames after it once the
/// member is registered; anything else in place of a hello is rejected with `refuse`.
pub async fn accept(listener: TcpListener, links: Rc<RefCell<Links>>, refuse: Rc<dyn Fn(String) -> Vec<u8>>) {
    let unidentified = Arc::new(Semaphore::new(MAX_UNIDENTIFIED));
    loop {
        let Ok(permit) = Arc::clone(&unidentified).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (links, refuse) = (links.clone(), refuse.clone());
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let events = links.borrow().events.clone();
            let first_frame = timeout(HELLO_TIMEOUT, read_frame(&mut read, MAX_HELLO_LENGTH)).await;
            let why = match first_frame {
                Ok(Ok(Ok(Some(envelope)))) if envelope.payload == Payload::Hello => {
                    let (from, name) = (envelope.from.address, envelope.from.name.clone());
                    let accepted = links.borrow_mut().register_accepted(from, &name);
                    drop(permit);
                    let Some((link, queue)) = accepted else { return };
                    let ended = links.borrow().ended.clone();
                    if events.send(LinkEvent::Frame { link, envelope: Box::new(envelope) }).await.is_ok() {
                        if let Ok(stream) = read.reunite(write) {
                            run_link(stream, link, queue, events).await;
                        }
                    }
                    let _ = ended.send((from, link));
                    return;
                }
                Ok(Ok(Ok(_))) => "a first word is a greeting".to_string(),
                Ok(Ok(Err(error))) => error.to_string(),
                Ok(Err(_)) => return,
                Err(_) => "no greeting came".to_string(),
            };
            let frame = refuse(why.clone());
            let _ = timeout(REJECTION_WRITE_TIMEOUT, write.write_all(&frame)).await;
            let _ = events.send(LinkEvent::Rejected(why)).await;
            drop(permit);
        });
    }
}
