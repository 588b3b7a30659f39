//! The connections of the front: bytes in, whole messages to the front's task, bytes out.

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

use super::{Bytes, Handle, Told};
use crate::front::platform::servers::dial;
use crate::ports::conn::{self, Capacity, Inbox, Incoming, Part, Split, Weight};
use crate::ports::{Input, LinkId};

/// A message is whole this long after its first part.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A sibling connection that could not be had is dialled again after this, while another one carries.
const PAUSE: Duration = Duration::from_millis(1000);

/// How far the first message in some bytes goes.
pub fn split(bytes: &[u8]) -> Split {
    match m3ua::split(bytes) {
        m3ua::Split::Whole(length) => Split::Whole(length),
        m3ua::Split::Partial => Split::Partial,
        m3ua::Split::Broken => Split::Broken,
    }
}

/// Serves one connection of a client, the `number`th there was.
pub async fn serve(stream: TcpStream, number: u64, front: Handle) {
    let association = Association(number << 1);
    let (outbox, inbox) = conn::channel(Capacity::ASSOCIATION);
    front.tell(Told::Client(association, outbox)).await;
    carry(stream, association, inbox, &front).await;
    front.tell(Told::Closed(association)).await;
}

/// Carries one association until either side ends it.
async fn carry(stream: TcpStream, association: Association, mut inbox: Inbox<Bytes>, front: &Handle) {
    let _ = stream.set_nodelay(true);
    let cut = inbox.cut();
    let ended = tokio::select! {
        ended = read(&stream, association, front) => ended,
        ended = write(&stream, &mut inbox) => ended,
        () = cut.notified() => Ok(()),
    };
    if ended.is_err_and(|error| error.kind() == io::ErrorKind::InvalidData) {
        // What can't be told apart ends the connection, and its peer learns why where it reads that.
        let error = m3ua::error_message(ErrorCode::Protocol, &[]);
        let _ = tokio::time::timeout(PAUSE, conn::write_all(&stream, &error)).await;
        let line = "m3ua: a peer's message is refused: protocol error, its connection is closed";
        front.shared.unreadable.log(front.shared.clock.now(), line);
    }
}

async fn read(stream: &TcpStream, association: Association, front: &Handle) -> io::Result<()> {
    let mut incoming = Incoming::new(stream, &front.shared.pool, split, WHOLE_WITHIN);
    while let Some(bytes) = incoming.next().await? {
        let came = front.shared.clock.now();
        front.tell(Told::Received(association, bytes.to_vec(), came)).await;
    }
    Ok(())
}

/// Writes what is posted, as much at once as there is and the connection takes.
async fn write(stream: &TcpStream, inbox: &mut Inbox<Bytes>) -> io::Result<()> {
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

/// Keeps the associations of a server until the last is gone or none can be had; tells the owner how.
pub async fn keep(link: LinkId, place: usize, front: Handle) {
    let (over, mut is_over) = oneshot::channel();
    front.tell(Told::Link { link, place, over }).await;
    let addresses = &front.config.servers[place].addresses;
    let (failed, mut failures) = mpsc::channel(addresses.len().max(1));
    let mut tasks = JoinSet::new();
    for (sibling, &address) in addresses.iter().enumerate() {
        tasks.spawn_local(keep_one(link, place, (sibling, address), front.clone(), failed.clone()));
    }
    let mut losses = vec![None; addresses.len()];
    let loss = loop {
        tokio::select! {
            _ = &mut is_over => break LinkLoss::Dropped,
            Some((sibling, loss)) = failures.recv() => {
                losses[sibling] = Some(loss);
                // None of them ever carried: the front tells the end of one that did.
                let all: Option<Vec<LinkLoss>> = losses.iter().copied().collect();
                if let Some(all) = all.filter(|_| !front.office.borrow().servers()[place].0.is_active()) {
                    let refused = all.iter().all(|loss| *loss == LinkLoss::Refused);
                    break if refused { LinkLoss::Refused } else { LinkLoss::Unanswered };
                }
            }
        }
    };
    drop(tasks);
    front.tell(Told::Unlink { link, place, refused: loss == LinkLoss::Refused }).await;
    let _ = front.shared.inputs.send(Input::LinkLost { link, loss }).await;
}

/// Dials one address of a server, again and again.
async fn keep_one(
    link: LinkId,
    place: usize,
    (sibling, address): (usize, SocketAddr),
    front: Handle,
    failed: mpsc::Sender<(usize, LinkLoss)>,
) {
    // Numbers of client connections are even ones.
    let numbers = Rc::clone(&front.shared.calls);
    loop {
        let loss = match dial(address, &front.shared).await {
            Ok(stream) => {
                numbers.set(numbers.get().wrapping_add(1));
                let association = Association(numbers.get() << 1 | 1);
                let (outbox, inbox) = conn::channel(Capacity::ASSOCIATION);
                front.tell(Told::Server(link, place, association, outbox)).await;
                carry(stream, association, inbox, &front).await;
                front.tell(Told::Closed(association)).await;
                LinkLoss::Unanswered
            }
            Err(loss) => loss,
        };
        if failed.send((sibling, loss)).await.is_err() {
            return;
        }
        sleep(PAUSE).await;
    }
}

#[cfg(test)]
mod tests;
