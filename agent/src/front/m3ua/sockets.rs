//! The TCP connections of the front: they pass whole received messages to the front's task and write its
//! messages.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use steprelay_core::LinkLoss;
use steprelay_signalling::m3ua::gateway::Association;
use steprelay_signalling::m3ua::{self, ErrorCode};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, Duration};

use super::{FrontEvent, Handle, OutboundMessage};
use crate::front::platform::servers::dial;
use crate::ports::conn::{self, Capacity, Inbox, Incoming, Part, Split, Weight};
use crate::ports::{Input, LinkId};

/// A message is overdue this long after its first part.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Delay until an address is dialled again after its connection failed or ended, while a sibling connection
/// carries the traffic. Also limits the writing of the last error message to a peer.
const REDIAL_DELAY: Duration = Duration::from_millis(1000);

/// Returns the length of the first M3UA message in the bytes.
pub fn split(bytes: &[u8]) -> Split {
    match m3ua::split(bytes) {
        m3ua::Split::Whole(length) => Split::Whole(length),
        m3ua::Split::Partial => Split::Partial,
        m3ua::Split::Broken => Split::Broken,
    }
}

/// Serves one connection of a client; `number` identifies the connection.
pub async fn serve(stream: TcpStream, number: u64, front: Handle) {
    let association = Association(number << 1);
    let (outbox, inbox) = conn::channel(Capacity::ASSOCIATION);
    front.send(FrontEvent::ClientConnected(association, outbox)).await;
    run_association(stream, association, inbox, &front).await;
    front.send(FrontEvent::Closed(association)).await;
}

/// Runs one association until either side ends it.
async fn run_association(
    stream: TcpStream,
    association: Association,
    mut inbox: Inbox<OutboundMessage>,
    front: &Handle,
) {
    let _ = stream.set_nodelay(true);
    let cut = inbox.cut();
    let ended = tokio::select! {
        ended = read(&stream, association, front) => ended,
        ended = write(&stream, &mut inbox) => ended,
        () = cut.notified() => Ok(()),
    };
    let line = match ended.map_err(|error| error.kind()) {
        Err(io::ErrorKind::InvalidData) => {
            "m3ua: invalid message from a peer: protocol error; closing its connection"
        }
        Err(io::ErrorKind::TimedOut) => "m3ua: incomplete message from a peer; closing its connection",
        _ => return,
    };
    // A stream that cannot be split into messages ends the connection; an ERR tells the peer why.
    let error = m3ua::error_message(ErrorCode::Protocol, &[]);
    let _ = tokio::time::timeout(REDIAL_DELAY, conn::write_all(&stream, &error)).await;
    front.shared.unreadable.log(front.shared.clock.now(), line);
}

async fn read(stream: &TcpStream, association: Association, front: &Handle) -> io::Result<()> {
    let mut incoming = Incoming::new(stream, &front.shared.pool, split, MESSAGE_TIMEOUT);
    loop {
        let received = incoming.next().await.map(|bytes| bytes.map(<[u8]>::to_vec));
        let bytes = match received {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                if !front.keeps_stalled(association, incoming.partial_for()) {
                    return Err(error);
                }
                continue;
            }
            Err(error) => return Err(error),
        };
        let received_at = front.shared.clock.now();
        front.send(FrontEvent::Received(association, bytes, received_at)).await;
    }
}

/// Writes the queued messages, all that are queued in one write. Drops those that were cancelled meanwhile.
async fn write(stream: &TcpStream, inbox: &mut Inbox<OutboundMessage>) -> io::Result<()> {
    while let Some(first) = inbox.next().await {
        stream.writable().await?;
        let (mut bytes, mut parts, mut next) = (Vec::new(), Vec::new(), Some(first));
        while let Some(message) = next {
            if message.is_cancelled() {
                inbox.done(&message);
            } else {
                bytes.extend(&message.bytes);
                parts.push(Part { message, end: bytes.len() });
            }
            next = inbox.next_now();
        }
        let written = conn::write_available(stream, &bytes, &parts).await?;
        conn::finish(inbox, &mut parts, written);
    }
    Ok(())
}

/// Maintains the associations of a server until the link ends or no address can be reached; reports the loss
/// to the owner.
pub async fn maintain_link(link: LinkId, server: usize, front: Handle) {
    let (stop, mut stopped) = oneshot::channel();
    front.send(FrontEvent::LinkRequested { link, server, stop }).await;
    let addresses = &front.config.servers[server].addresses;
    let (failed, mut failures) = mpsc::channel(addresses.len().max(1));
    let mut tasks = JoinSet::new();
    for (sibling, &address) in addresses.iter().enumerate() {
        tasks.spawn_local(maintain_association(
            link,
            server,
            (sibling, address),
            front.clone(),
            failed.clone(),
        ));
    }
    let mut losses = vec![None; addresses.len()];
    let loss = loop {
        tokio::select! {
            _ = &mut stopped => break LinkLoss::Dropped,
            Some((sibling, loss)) = failures.recv() => {
                losses[sibling] = Some(loss);
                // Only if no association is active: the front itself signals the end of an active one.
                let all: Option<Vec<LinkLoss>> = losses.iter().copied().collect();
                if let Some(all) = all.filter(|_| !front.office.borrow().servers()[server].0.is_active()) {
                    let refused = all.iter().all(|loss| *loss == LinkLoss::Refused);
                    break if refused { LinkLoss::Refused } else { LinkLoss::Unanswered };
                }
            }
        }
    };
    drop(tasks);
    front.send(FrontEvent::LinkEnded { link, server, refused: loss == LinkLoss::Refused }).await;
    let _ = front.shared.inputs.send(Input::LinkLost { link, loss }).await;
}

/// Dials one address of a server and runs the association; dials again after it ends.
async fn maintain_association(
    link: LinkId,
    server: usize,
    (sibling, address): (usize, SocketAddr),
    front: Handle,
    failed: mpsc::Sender<(usize, LinkLoss)>,
) {
    // Associations of client connections have even numbers, those of servers odd ones.
    let numbers = Rc::clone(&front.shared.calls);
    loop {
        let loss = match dial(address, &front.shared).await {
            Ok(stream) => {
                numbers.set(numbers.get().wrapping_add(1));
                let association = Association(numbers.get() << 1 | 1);
                let (outbox, inbox) = conn::channel(Capacity::ASSOCIATION);
                front.send(FrontEvent::ServerConnected(link, server, association, outbox)).await;
                run_association(stream, association, inbox, &front).await;
                front.send(FrontEvent::Closed(association)).await;
                LinkLoss::Unanswered
            }
            Err(loss) => loss,
        };
        if failed.send((sibling, loss)).await.is_err() {
            return;
        }
        sleep(REDIAL_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
