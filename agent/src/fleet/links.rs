//! One TCP link to each member that is talked with, dialled by either side. What is said to a member waits
//! in a queue of its own with a bound: one that is lost or slow loses words, and holds up nobody.

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

/// Frames that wait for one member, and their octets. Past that the oldest words go: newer ones count more.
const MOST_WAITING: usize = 256;
const MOST_OCTETS: usize = 4 << 20;
/// Links at once, those that are being made too.
const MOST_LINKS: usize = 512;
/// Connections that have not said who they are.
const MOST_STRANGERS: usize = 32;
/// A first word is no longer than this, and comes within that.
const LONGEST_FIRST: usize = 4096;
const FIRST_WITHIN: Duration = Duration::from_secs(2);
const DIAL_WITHIN: Duration = Duration::from_millis(800);
/// A member that could not be reached is dialled again after this at the soonest.
const DIAL_AGAIN: Duration = Duration::from_millis(300);
/// A link on which we speak and hear nothing for so long is made anew: what waits in the machine's buffers
/// after a cut would come far too late.
const SILENT: Duration = Duration::from_secs(3);
/// A link that nobody used is closed after this.
const UNUSED: Duration = Duration::from_secs(60);
/// A word of refusal is written within this.
const REFUSE_WITHIN: Duration = Duration::from_secs(1);

/// What comes from links.
pub enum Came {
    Frame {
        link: u64,
        envelope: Box<Envelope>,
    },
    /// A frame could not be read, or nobody may say it; told to the other side already.
    Strange(String),
}

struct Queue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    octets: std::cell::Cell<usize>,
    wake: Notify,
    /// Both sides have said who they are; until then only first words go.
    open: std::cell::Cell<bool>,
    closed: std::cell::Cell<bool>,
}

impl Queue {
    fn new() -> Rc<Self> {
        Rc::new(Queue {
            frames: RefCell::default(),
            octets: 0.into(),
            wake: Notify::new(),
            open: false.into(),
            closed: false.into(),
        })
    }

    /// Takes a frame; says how many had to go for it.
    fn push(&self, frame: Vec<u8>) -> u64 {
        let mut frames = self.frames.borrow_mut();
        self.octets.set(self.octets.get() + frame.len());
        frames.push_back(frame);
        let mut lost = 0;
        while frames.len() > MOST_WAITING || self.octets.get() > MOST_OCTETS {
            let Some(oldest) = frames.pop_front() else { break };
            self.octets.set(self.octets.get() - oldest.len());
            lost += 1;
        }
        self.wake.notify_one();
        lost
    }

    fn pop(&self) -> Option<Vec<u8>> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.octets.set(self.octets.get() - frame.len());
        Some(frame)
    }

    fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }
}

#[derive(PartialEq)]
enum Phase {
    Dialling,
    Up,
    /// It could not be reached, or has ended.
    Down,
}

struct Link {
    number: u64,
    queue: Rc<Queue>,
    phase: Phase,
    since: Instant,
    /// When the first word was said after the last one that was heard, and when either was.
    unanswered: Option<Instant>,
    used: Instant,
}

/// All links of a member.
pub struct Links {
    me: SocketAddr,
    name: String,
    links: BTreeMap<SocketAddr, Link>,
    count: u64,
    came: mpsc::Sender<Came>,
    ended: mpsc::UnboundedSender<(SocketAddr, u64)>,
    ends: mpsc::UnboundedReceiver<(SocketAddr, u64)>,
    /// Words that were lost on the way out.
    pub lost: u64,
    pub octets: u64,
}

impl Links {
    /// `me`: the address that outgoing links come from, with port 0.
    pub fn new(me: SocketAddr, name: String, came: mpsc::Sender<Came>) -> Self {
        let (ended, ends) = mpsc::unbounded_channel();
        Links { me, name, links: BTreeMap::new(), count: 0, came, ended, ends, lost: 0, octets: 0 }
    }

    /// Has a frame sent. Where there is no link one is dialled, and `hello` is its first word.
    pub fn send(&mut self, to: SocketAddr, frame: Vec<u8>, first: bool, hello: impl Fn() -> Vec<u8>) {
        self.reap();
        let now = Instant::now();
        let known = self.links.get(&to).map(|link| (link.phase == Phase::Down, link.since));
        match known {
            Some((true, since)) if now < since + DIAL_AGAIN => {
                self.lost += 1;
                return;
            }
            None | Some((true, _)) => {
                if !self.dial(to, hello()) {
                    self.lost += 1;
                    return;
                }
            }
            Some((false, _)) => {}
        }
        let Some(link) = self.links.get_mut(&to) else { return };
        self.octets += frame.len() as u64;
        link.used = now;
        // First words wait for nothing, and go ahead of what waits for them.
        if first {
            link.queue.frames.borrow_mut().push_front(frame.clone());
            link.queue.octets.set(link.queue.octets.get() + frame.len());
            link.queue.open.set(true);
            link.queue.wake.notify_one();
        } else {
            self.lost += link.queue.push(frame);
        }
        if link.phase == Phase::Up {
            link.unanswered.get_or_insert(now);
        }
    }

    /// Has a link to a seed, or one that was lost, made where there is none.
    pub fn greet(&mut self, to: SocketAddr, hello: impl Fn() -> Vec<u8>) {
        let down = |link: &Link| link.phase == Phase::Down && Instant::now() >= link.since + DIAL_AGAIN;
        if self.links.get(&to).is_none_or(down) {
            self.dial(to, hello());
        }
    }

    fn dial(&mut self, to: SocketAddr, hello: Vec<u8>) -> bool {
        if self.links.len() >= MOST_LINKS {
            // The one that was used longest ago makes way.
            let oldest = self.links.iter().min_by_key(|(_, link)| link.used).map(|(address, _)| *address);
            oldest.and_then(|address| self.links.remove(&address)).iter().for_each(|link| link.queue.close());
        }
        self.count += 1;
        let (number, queue) = (self.count, Queue::new());
        let now = Instant::now();
        let link = Link {
            number,
            queue: queue.clone(),
            phase: Phase::Dialling,
            since: now,
            unanswered: None,
            used: now,
        };
        self.links.insert(to, link);
        let (me, came, ended) = (self.me, self.came.clone(), self.ended.clone());
        spawn_local(async move {
            let dialled = timeout(DIAL_WITHIN, dial(me, to)).await;
            if let Ok(Ok(mut stream)) = dialled {
                if stream.write_all(&hello).await.is_ok() {
                    carry(stream, number, queue, came).await;
                }
            }
            let _ = ended.send((to, number));
        });
        true
    }

    /// A member's first word came on a connection that it dialled. `None`: ours to it is to stay.
    fn accepted(&mut self, from: SocketAddr, name: &str) -> Option<(u64, Rc<Queue>)> {
        let now = Instant::now();
        if let Some(link) = self.links.get(&from) {
            // Both dial at once: the one of the lower name stays, on both sides.
            if link.phase == Phase::Dialling && self.name.as_str() < name && now < link.since + DIAL_WITHIN {
                return None;
            }
            link.queue.close();
        }
        self.count += 1;
        let (number, queue) = (self.count, Queue::new());
        let link =
            Link { number, queue: queue.clone(), phase: Phase::Up, since: now, unanswered: None, used: now };
        if let Some(before) = self.links.insert(from, link) {
            // What waited goes by the new one.
            queue.octets.set(before.queue.octets.get());
            queue.frames.replace(before.queue.frames.take());
        }
        Some((number, queue))
    }

    /// A frame came by a link; whether the link is one of ours still.
    pub fn heard(&mut self, link: u64, from: SocketAddr, payload: &Payload) -> bool {
        let now = Instant::now();
        let Some(known) = self.links.get_mut(&from).filter(|known| known.number == link) else {
            return false;
        };
        (known.phase, known.unanswered, known.used) = (Phase::Up, None, now);
        if matches!(payload, Payload::Welcome { .. }) {
            known.queue.open.set(true);
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

    /// Lets go of links that are silent or unused. Comes with every tick.
    pub fn reap(&mut self) {
        let now = Instant::now();
        while let Ok((address, number)) = self.ends.try_recv() {
            if let Some(link) = self.links.get_mut(&address).filter(|link| link.number == number) {
                (link.phase, link.since) = (Phase::Down, now);
                link.queue.close();
            }
        }
        for link in self.links.values_mut().filter(|link| link.phase != Phase::Down) {
            let silent = link.unanswered.is_some_and(|since| now > since + SILENT);
            let unmet = link.phase == Phase::Dialling && now > link.since + SILENT;
            if silent || unmet || now > link.used + UNUSED {
                link.queue.close();
                (link.phase, link.since) = (Phase::Down, now);
            }
        }
        self.links.retain(|_, link| link.phase != Phase::Down || now < link.since + UNUSED);
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

/// Carries both ways of a link until either side ends it.
async fn carry(stream: TcpStream, link: u64, queue: Rc<Queue>, came: mpsc::Sender<Came>) {
    let (read, write) = stream.into_split();
    tokio::select! {
        () = read_on(read, link, &came) => {}
        _ = write_on(write, &queue) => {}
    }
    queue.close();
}

async fn write_on(mut write: OwnedWriteHalf, queue: &Queue) -> io::Result<()> {
    loop {
        while queue.open.get() {
            let Some(frame) = queue.pop() else { break };
            write.write_all(&frame).await?;
        }
        if queue.closed.get() {
            return write.shutdown().await;
        }
        queue.wake.notified().await;
    }
}

async fn read_on(mut read: OwnedReadHalf, link: u64, came: &mpsc::Sender<Came>) {
    loop {
        match read_frame(&mut read, frames::LONGEST).await {
            Ok(Ok(Some(envelope))) => {
                if came.send(Came::Frame { link, envelope: Box::new(envelope) }).await.is_err() {
                    return;
                }
            }
            // A newer version's word that is not known here.
            Ok(Ok(None)) => {}
            Ok(Err(error)) => {
                let _ = came.send(Came::Strange(error.to_string())).await;
                return;
            }
            Err(_) => return,
        }
    }
}

async fn read_frame(
    read: &mut (impl AsyncReadExt + Unpin),
    longest: usize,
) -> io::Result<Result<Option<Envelope>, FrameError>> {
    let mut head = [0; 4];
    read.read_exact(&mut head).await?;
    let length = match frames::length(head) {
        Ok(length) if length <= longest => length,
        Ok(length) => return Ok(Err(FrameError::TooLong(length))),
        Err(error) => return Ok(Err(error)),
    };
    let mut body = vec![0; length];
    read.read_exact(&mut body).await?;
    Ok(frames::decode(&body))
}

/// Takes connections of other members; hands over first words, and the rest of a connection once it is known
/// whose it is.
pub async fn accept(listener: TcpListener, links: Rc<RefCell<Links>>, refuse: Rc<dyn Fn(String) -> Vec<u8>>) {
    let strangers = Arc::new(Semaphore::new(MOST_STRANGERS));
    loop {
        let Ok(place) = Arc::clone(&strangers).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (links, refuse) = (links.clone(), refuse.clone());
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let came = links.borrow().came.clone();
            let first = timeout(FIRST_WITHIN, read_frame(&mut read, LONGEST_FIRST)).await;
            let why = match first {
                Ok(Ok(Ok(Some(envelope)))) if envelope.payload == Payload::Hello => {
                    let (from, name) = (envelope.from.address, envelope.from.name.clone());
                    let accepted = links.borrow_mut().accepted(from, &name);
                    drop(place);
                    let Some((link, queue)) = accepted else { return };
                    let ended = links.borrow().ended.clone();
                    if came.send(Came::Frame { link, envelope: Box::new(envelope) }).await.is_ok() {
                        if let Ok(stream) = read.reunite(write) {
                            carry(stream, link, queue, came).await;
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
            let _ = timeout(REFUSE_WITHIN, write.write_all(&frame)).await;
            let _ = came.send(Came::Strange(why)).await;
            drop(place);
        });
    }
}
