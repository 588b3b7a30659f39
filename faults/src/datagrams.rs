//! Forwards datagrams between the members of a mesh under the same plan as connections. The datagrams
//! between one sender's socket and one member are a flow, which counts as a connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::mesh::{MeshState, MessageId};

/// The largest possible UDP payload.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Bound on the flows towards one member; the least recently used flow is evicted.
const MAX_FLOWS_PER_MEMBER: usize = 64;
/// Bound on delayed datagrams in one direction of a flow. Further datagrams are dropped, as networks do.
const MAX_IN_FLIGHT_DATAGRAMS: usize = 4_096;

/// One direction of a flow.
struct FlowDirection {
    state: Arc<MeshState>,
    from: String,
    to: String,
    connection: u64,
    index: Cell<u64>,
    in_flight: Cell<usize>,
    /// Reordered datagrams, sent behind the next one.
    held_back: RefCell<Vec<Vec<u8>>>,
    socket: Rc<UdpSocket>,
    target: SocketAddr,
}

impl FlowDirection {
    fn forward(self: &Rc<Self>, datagram: &[u8]) {
        let index = self.index.replace(self.index.get() + 1);
        let message = MessageId { from: &self.from, to: &self.to, connection: self.connection, index };
        let outcome = self.state.decide(message);
        if outcome.copies == 0 || self.in_flight.get() >= MAX_IN_FLIGHT_DATAGRAMS {
            return;
        }
        if outcome.is_reordered {
            self.held_back.borrow_mut().push(datagram.to_vec());
            return;
        }
        let mut datagrams = vec![datagram.to_vec(); outcome.copies.into()];
        datagrams.append(&mut self.held_back.borrow_mut());
        self.in_flight.set(self.in_flight.get() + datagrams.len());
        let direction = self.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(outcome.delay_ms.into())).await;
            for datagram in datagrams {
                direction.in_flight.set(direction.in_flight.get() - 1);
                direction.state.count_forwarded(datagram.len());
                // A datagram to a member that is not running is lost.
                let _ = direction.socket.send_to(&datagram, direction.target).await;
            }
        });
    }
}

/// Both directions of a flow.
struct Flow {
    forward: Rc<FlowDirection>,
    reverse: JoinHandle<()>,
    last_used: u64,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.reverse.abort();
    }
}

/// Forwards the datagrams towards one member until the mesh stops.
pub(crate) async fn relay(state: Arc<MeshState>, to: usize, proxy_socket: UdpSocket) {
    let proxy_socket = Rc::new(proxy_socket);
    let mut flows: BTreeMap<SocketAddr, Flow> = BTreeMap::new();
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    for count in 0.. {
        // The error concerns an earlier datagram that had no receiver.
        let Ok((length, sender)) = proxy_socket.recv_from(&mut bytes).await else { continue };
        if !flows.contains_key(&sender) {
            let oldest = flows.iter().min_by_key(|(_, flow)| flow.last_used).map(|(sender, _)| *sender);
            if let Some(oldest) = oldest.filter(|_| flows.len() >= MAX_FLOWS_PER_MEMBER) {
                flows.remove(&oldest);
            }
            let Ok(flow) = start_flow(&state, to, sender, &proxy_socket).await else { continue };
            flows.insert(sender, flow);
        }
        if let Some(flow) = flows.get_mut(&sender) {
            flow.last_used = count;
            flow.forward.forward(&bytes[..length]);
        }
    }
}

async fn start_flow(
    state: &Arc<MeshState>,
    to: usize,
    sender: SocketAddr,
    proxy_socket: &Rc<UdpSocket>,
) -> io::Result<Flow> {
    let socket_to_member = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let connection = state.connections.fetch_add(1, Ordering::Relaxed);
    let (from, to, target) =
        (state.member_name(sender.ip()), state.members[to].name.clone(), state.members[to].address);
    let direction = |from: &str, to: &str, socket: &Rc<UdpSocket>, target| {
        Rc::new(FlowDirection {
            state: state.clone(),
            from: from.into(),
            to: to.into(),
            connection,
            index: Cell::new(0),
            in_flight: Cell::new(0),
            held_back: RefCell::default(),
            socket: socket.clone(),
            target,
        })
    };
    let (forward, reverse) =
        (direction(&from, &to, &socket_to_member, target), direction(&to, &from, proxy_socket, sender));
    let reverse = spawn_local(async move {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok((length, _)) = socket_to_member.recv_from(&mut bytes).await {
                reverse.forward(&bytes[..length]);
            }
        }
    });
    Ok(Flow { forward, reverse, last_used: 0 })
}
