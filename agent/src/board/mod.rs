//! The notice board: which servers there are, as numbered events over one connection.

mod frames;

pub use frames::entry;

use std::io;
use std::net::SocketAddr;

use steprelay_core::ListSource;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Duration, Instant};

use crate::ports::Input;
use crate::ports::Shared;
use frames::Frames;

/// A frame comes each second at least; without a whole one for this long the connection is taken for dead.
const SILENCE: Duration = Duration::from_millis(2500);
/// The first frame of a call may take so long, where service discovery has much to do: a change counts as
/// told 4 s after a stop, and the next call has to be made by then.
const FIRST_FRAME: Duration = Duration::from_millis(3300);
const DIAL: Duration = Duration::from_millis(1000);
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the board for good, wherever it is at present, each time from the last event that was read.
pub async fn follow(mut place: watch::Receiver<Option<SocketAddr>>, last: u64, shared: Shared) {
    let mut last = last;
    while !shared.inputs.is_closed() {
        let address = *place.borrow_and_update();
        let listening = async {
            if let Some(address) = address {
                shared.count(|io_counts| io_counts.discovery_calls += 1);
                let end = listen(address, &mut last, &shared).await;
                shared.count(|io_counts| io_counts.discovery_failures += 1);
                let end = end.map_or_else(|error| error.kind().to_string(), |()| "closed".to_string());
                let line = format!("service discovery at {address}: {end}, at event {last}");
                shared.discovery.log(shared.clock.now(), &line);
                sleep(PAUSE).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = listening => {}
            moved = place.changed() => if moved.is_err() { return },
        }
    }
}

async fn listen(address: SocketAddr, last: &mut u64, shared: &Shared) -> io::Result<()> {
    let mut stream = timeout(DIAL, TcpStream::connect(address)).await??;
    stream.write_all(&last.to_be_bytes()).await?;
    let mut frames = Frames::default();
    let mut bytes = [0; 4096];
    // Parts of a frame are no sign of life: a board that stops in the middle of one has stopped.
    let (mut alive, mut silence) = (Instant::now(), FIRST_FRAME);
    loop {
        let read = timeout_at(alive + silence, stream.read(&mut bytes)).await??;
        if read == 0 {
            return Ok(());
        }
        frames.push(&bytes[..read]);
        while let Some(frame) = frames.next()? {
            (alive, silence) = (Instant::now(), SILENCE);
            // What was written twice is applied once: in between, something newer may have been told.
            let Some((kind, servers)) = frame.list.filter(|_| frame.number > *last) else { continue };
            let input = Input::ServersListed { source: ListSource::Discovery, kind, servers };
            if shared.inputs.send(input).await.is_err() {
                return Ok(());
            }
            *last = frame.number;
        }
    }
}
