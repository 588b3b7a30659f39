//! Service discovery: a watch of the server list, as numbered events over one connection.

mod frames;

pub use frames::server_entry;

use std::io;
use std::net::SocketAddr;

use steprelay_core::ListSource;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Duration, Instant};

use crate::ports::Input;
use crate::ports::Shared;
use frames::FrameReader;

/// Service discovery sends a frame at least each second; without a whole frame for this long the connection
/// counts as dead.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest time until the first frame on a connection, for a busy service discovery. A change counts as
/// published 4 s after a stop, and the next connection has to be attempted by then.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(3300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Watches the server list until the program ends, at the current address of service discovery. Each
/// connection continues after the last event that was read.
pub async fn watch_server_list(mut endpoint: watch::Receiver<Option<SocketAddr>>, last: u64, shared: Shared) {
    let mut last = last;
    while !shared.inputs.is_closed() {
        let address = *endpoint.borrow_and_update();
        let watching = async {
            if let Some(address) = address {
                shared.count(|io_counts| io_counts.discovery_calls += 1);
                let end = read_events(address, &mut last, &shared).await;
                shared.count(|io_counts| io_counts.discovery_failures += 1);
                let end = end.map_or_else(|error| error.kind().to_string(), |()| "closed".to_string());
                let line = format!("service discovery at {address}: {end}, at event {last}");
                shared.discovery.log(shared.clock.now(), &line);
                sleep(RECONNECT_DELAY).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = watching => {}
            changed = endpoint.changed() => if changed.is_err() { return },
        }
    }
}

async fn read_events(address: SocketAddr, last: &mut u64, shared: &Shared) -> io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.write_all(&last.to_be_bytes()).await?;
    let mut frames = FrameReader::default();
    let mut bytes = [0; 4096];
    // Only whole frames reset the timeout: a service that stops in the middle of a frame has stopped.
    let (mut last_frame_at, mut frame_timeout) = (Instant::now(), FIRST_FRAME_TIMEOUT);
    loop {
        let read = timeout_at(last_frame_at + frame_timeout, stream.read(&mut bytes)).await??;
        if read == 0 {
            return Ok(());
        }
        frames.push(&bytes[..read]);
        while let Some(frame) = frames.next()? {
            (last_frame_at, frame_timeout) = (Instant::now(), FRAME_TIMEOUT);
            // An event that is sent again is not applied again: a newer one may have been applied in between.
            let Some((kind, servers)) = frame.list.filter(|_| frame.event > *last) else { continue };
            let input = Input::ServersListed { source: ListSource::Discovery, kind, servers };
            if shared.inputs.send(input).await.is_err() {
                return Ok(());
            }
            *last = frame.event;
        }
    }
}
