//! The proxy: listeners, their connections, and the two directions of each connection.
//!
//! A direction reads, decides and writes in turn. A slow reader therefore slows its peer, and at most one
//! read and one message are buffered for it.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::decide::{Decider, Decision, Direction};
use crate::frames::Frames;
use crate::plan::{Action, Plan};

/// Bound on recorded decisions: the record serves tests, not long-running services.
const MAX_RECORDED_DECISIONS: usize = 1_000_000;

/// A running proxy with the decisions made so far.
#[derive(Clone)]
pub struct Relay {
    decider: Rc<Decider>,
    decisions: Rc<RefCell<Vec<Decision>>>,
    addresses: Vec<SocketAddr>,
}

impl Relay {
    /// Listens on the links of the plan and forwards connections from then on, on the current local task
    /// set.
    ///
    /// # Errors
    /// An address is no loopback address, or cannot be listened on.
    pub fn start(plan: Plan) -> io::Result<Self> {
        let mut listeners = Vec::new();
        for link in &plan.links {
            if !link.listen.ip().is_loopback() || !link.upstream.ip().is_loopback() {
                let reason =
                    format!("link '{}': fault injection is limited to loopback addresses", link.name);
                return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
            }
            let listener = StdListener::bind(link.listen)?;
            listener.set_nonblocking(true)?;
            listeners.push((TcpListener::from_std(listener)?, link.upstream));
        }
        let addresses =
            listeners.iter().map(|(listener, _)| listener.local_addr()).collect::<Result<_, _>>()?;
        let relay = Relay { decider: Rc::new(Decider::new(plan)), decisions: Rc::default(), addresses };
        for (link, (listener, upstream)) in listeners.into_iter().enumerate() {
            spawn_local(relay.clone().accept(link, listener, upstream));
        }
        Ok(relay)
    }

    /// The listening address of each link.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// All decisions, sorted by connection and message index, so that their order in time does not show.
    pub fn decisions(&self) -> Vec<Decision> {
        let mut decisions = self.decisions.borrow().clone();
        decisions.sort_by_key(|decision| (decision.direction, decision.index));
        decisions
    }

    async fn accept(self, link: usize, listener: TcpListener, upstream: SocketAddr) {
        for connection in 0.. {
            let Ok((client, _)) = listener.accept().await else { return };
            spawn_local(self.clone().proxy(link, connection, client, upstream));
        }
    }

    async fn proxy(self, link: usize, connection: u64, client: TcpStream, upstream: SocketAddr) {
        // A refused upstream connection is passed on as a reset of the client's connection.
        let Ok(upstream_stream) = TcpStream::connect(upstream).await else { return abort(client) };
        let _ = (client.set_nodelay(true), upstream_stream.set_nodelay(true));
        let ((client_read, client_write), (upstream_read, upstream_write)) =
            (client.into_split(), upstream_stream.into_split());
        let direction = |to_upstream| Direction { link, connection, to_upstream };
        let reset = ResetSignal::default();
        let ((client_read, upstream_write), (upstream_read, client_write)) = tokio::join!(
            self.carry(direction(true), client_read, upstream_write, &reset),
            self.carry(direction(false), upstream_read, client_write, &reset),
        );
        if reset.is_set.get() {
            // A reset needs both halves of each stream.
            for (read, write) in [(client_read, client_write), (upstream_read, upstream_write)] {
                if let Ok(stream) = read.reunite(write) {
                    abort(stream);
                }
            }
        }
    }

    /// Forwards one direction until it ends or the connection is reset; returns both halves.
    async fn carry(
        &self,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        reset: &ResetSignal,
    ) -> (OwnedReadHalf, OwnedWriteHalf) {
        tokio::select! {
            () = self.forward(direction, &mut from, &mut to, reset) => {}
            () = reset.wait() => {}
        }
        (from, to)
    }

    async fn forward(
        &self,
        direction: Direction,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        reset: &ResetSignal,
    ) {
        let mut frames = Frames::new(self.decider.framing(direction.link));
        let (mut index, mut swapped, mut is_forwarding) = (0, None, true);
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes).await.unwrap_or_default();
            let is_at_end = read == 0;
            frames.push(&bytes[..read]);
            while let Some(message) = next_message(&mut frames, is_at_end) {
                if !is_forwarding {
                    continue;
                }
                let decision = self.decider.decide(direction, index, &message);
                index += 1;
                self.record(&decision);
                match decision.action {
                    Action::Delay(ms) => tokio::time::sleep(Duration::from_millis(ms.into())).await,
                    Action::Reset => return reset.set(),
                    Action::HalfClose => {
                        is_forwarding = false;
                        let _ = to.shutdown().await;
                    }
                    Action::Silence => is_forwarding = false,
                    _ => {}
                }
                let mut out = self.decider.apply(&decision, message);
                if decision.action == Action::Swap && swapped.is_none() {
                    swapped = out.pop();
                    continue;
                }
                out.extend(swapped.take());
                for message in out {
                    if to.write_all(&message).await.is_err() {
                        return;
                    }
                }
            }
            if is_at_end {
                if let Some(message) = swapped.take() {
                    let _ = to.write_all(&message).await;
                }
                if is_forwarding {
                    let _ = to.shutdown().await;
                }
                return;
            }
        }
    }

    fn record(&self, decision: &Decision) {
        let mut decisions = self.decisions.borrow_mut();
        if decisions.len() < MAX_RECORDED_DECISIONS {
            decisions.push(decision.clone());
        }
    }
}

/// Tells both directions of a connection that it is reset.
#[derive(Default)]
struct ResetSignal {
    is_set: Cell<bool>,
    notify: Notify,
}

impl ResetSignal {
    fn set(&self) {
        self.is_set.set(true);
        self.notify.notify_waiters();
    }

    async fn wait(&self) {
        let notified = self.notify.notified();
        if !self.is_set.get() {
            notified.await;
        }
    }
}

/// Closes a connection with a reset.
fn abort(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// The next message; at the end of the stream also an incomplete one.
fn next_message(frames: &mut Frames, is_at_end: bool) -> Option<Vec<u8>> {
    match frames.next_message() {
        None if is_at_end => frames.take_remainder(),
        message => message,
    }
}
