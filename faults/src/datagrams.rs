//! Datagrams among the members of a mesh, under the same plan. A sender's socket and a member make a flow,
//! which stands for a connection.

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

use crate::mesh::{Inner, Place};

/// The longest datagram there is.
const LONGEST: usize = 65_535;
/// Flows towards one member. The one that was used longest ago makes way.
const MOST_FLOWS: usize = 64;
/// Datagrams of one direction of a flow that wait; what comes beyond is lost, as networks have it.
const UNDER_WAY: usize = 4_096;

/// One direction of a flow.
struct Way {
    inner: Arc<Inner>,
    from: String,
    to: String,
    connection: u64,
    index: Cell<u64>,
    under_way: Cell<usize>,
    /// They go behind the next one.
    behind: RefCell<Vec<Vec<u8>>>,
    socket: Rc<UdpSocket>,
    target: SocketAddr,
}

impl Way {
    fn pass(self: &Rc<Self>, datagram: &[u8]) {
        let index = self.index.replace(self.index.get() + 1);
        let place = Place { from: &self.from, to: &self.to, connection: self.connection, index };
        let fate = self.inner.decide(place);
        if fate.copies == 0 || self.under_way.get() >= UNDER_WAY {
            return;
        }
        if fate.behind {
            self.behind.borrow_mut().push(datagram.to_vec());
            return;
        }
        let mut datagrams = vec![datagram.to_vec(); fate.copies.into()];
        datagrams.append(&mut self.behind.borrow_mut());
        self.under_way.set(self.under_way.get() + datagrams.len());
        let way = self.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(fate.delay_ms.into())).await;
            for datagram in datagrams {
                way.under_way.set(way.under_way.get() - 1);
                way.inner.passed(datagram.len());
                // A member that is not there loses it.
                let _ = way.socket.send_to(&datagram, way.target).await;
            }
        });
    }
}

struct Flow {
    forth: Rc<Way>,
    back: JoinHandle<()>,
    used: u64,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.back.abort();
    }
}

/// Relays what comes for a member until the mesh ends.
pub(crate) async fn relay(inner: Arc<Inner>, to: usize, front: UdpSocket) {
    let front = Rc::new(front);
    let mut flows: BTreeMap<SocketAddr, Flow> = BTreeMap::new();
    let mut bytes = vec![0; LONGEST];
    for count in 0.. {
        // An error tells of an earlier datagram that met nobody.
        let Ok((length, near)) = front.recv_from(&mut bytes).await else { continue };
        if !flows.contains_key(&near) {
            let oldest = flows.iter().min_by_key(|(_, flow)| flow.used).map(|(near, _)| *near);
            if let Some(oldest) = oldest.filter(|_| flows.len() >= MOST_FLOWS) {
                flows.remove(&oldest);
            }
            let Ok(flow) = begin(&inner, to, near, &front).await else { continue };
            flows.insert(near, flow);
        }
        if let Some(flow) = flows.get_mut(&near) {
            flow.used = count;
            flow.forth.pass(&bytes[..length]);
        }
    }
}

async fn begin(inner: &Arc<Inner>, to: usize, near: SocketAddr, front: &Rc<UdpSocket>) -> io::Result<Flow> {
    let far = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let connection = inner.connections.fetch_add(1, Ordering::Relaxed);
    let (from, to, target) =
        (inner.name_of(near.ip()), inner.members[to].name.clone(), inner.members[to].address);
    let way = |from: &str, to: &str, socket: &Rc<UdpSocket>, target| {
        Rc::new(Way {
            inner: inner.clone(),
            from: from.into(),
            to: to.into(),
            connection,
            index: Cell::new(0),
            under_way: Cell::new(0),
            behind: RefCell::default(),
            socket: socket.clone(),
            target,
        })
    };
    let (forth, back) = (way(&from, &to, &far, target), way(&to, &from, front, near));
    let back = spawn_local(async move {
        let mut bytes = vec![0; LONGEST];
        loop {
            if let Ok((length, _)) = far.recv_from(&mut bytes).await {
                back.pass(&bytes[..length]);
            }
        }
    });
    Ok(Flow { forth, back, used: 0 })
}
