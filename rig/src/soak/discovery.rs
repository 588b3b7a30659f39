//! A stand-in of service discovery, by the protocol's page: numbered events in frames, an empty one each
//! second.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::plan::{millis, DiscoveryKind, Plan};
use super::record::{Record, What};

const DRAINING: u8 = 1;
const CHANGES: u8 = 2;

pub struct Discovery {
    pub address: SocketAddr,
    /// The events from the second on; the first is in the configuration.
    events: Rc<RefCell<Vec<Vec<u8>>>>,
    record: Record,
}

/// # Errors
/// No port is free.
pub async fn start(plan: &Plan, record: &Record) -> std::io::Result<Discovery> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let events: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
    let told = events.clone();
    match plan.discovery {
        DiscoveryKind::Down => drop(listener),
        kind => drop(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(watch(stream, kind, told.clone()));
            }
        })),
    }
    Ok(Discovery { address, events, record: record.clone() })
}

async fn watch(mut stream: TcpStream, kind: DiscoveryKind, events: Rc<RefCell<Vec<Vec<u8>>>>) {
    let Ok(last) = stream.read_u64().await else { return };
    if kind == DiscoveryKind::Slow {
        std::future::pending::<()>().await;
    }
    let mut told = last.saturating_sub(1) as usize;
    for tick in 0u64.. {
        let event = events.borrow().get(told).cloned();
        let frame = match event {
            Some(payload) => {
                told += 1;
                frame(told as u64 + 1, CHANGES, &payload)
            }
            None if tick % 50 == 0 => frame(told as u64 + 1, 0, &[]),
            None => Vec::new(),
        };
        if stream.write_all(&frame).await.is_err() {
            return;
        }
        sleep(millis(20)).await;
    }
}

pub(crate) fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = 9 + payload.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
}

pub(crate) fn record_of(id: u32, place: u16, address: SocketAddr, state: u8) -> Vec<u8> {
    let mut record = id.to_be_bytes().to_vec();
    if let SocketAddr::V4(address) = address {
        record.extend(address.ip().octets());
    }
    record.extend(address.port().to_be_bytes());
    record.extend([state, 0, 0]);
    record.extend(place.to_be_bytes());
    record.extend(1_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

impl Discovery {
    pub fn drain(&self, server: u32, address: SocketAddr) {
        self.events.borrow_mut().push(record_of(server, server as u16 - 1, address, DRAINING));
        self.record.note(What::Drained { server });
    }
}
