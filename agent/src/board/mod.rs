//! The notice board: which servers there are, as numbered events over one connection.

mod frames;

pub use frames::entry;

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

use crate::core::Source;
use crate::net::ports::Input;
use crate::net::Shared;
use frames::Frames;

/// An empty frame comes each second; without any for this long the connection is taken for dead.
const SILENCE: Duration = Duration::from_millis(2500);
const DIAL: Duration = Duration::from_millis(1000);
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the board for good, each time from the last event that was read.
pub async fn follow(address: SocketAddr, last: u64, shared: Shared) {
    let mut last = last;
    loop {
        let _ = listen(address, &mut last, &shared).await;
        if shared.inputs.is_closed() {
            return;
        }
        sleep(PAUSE).await;
    }
}

async fn listen(address: SocketAddr, last: &mut u64, shared: &Shared) -> io::Result<()> {
    let mut stream = timeout(DIAL, TcpStream::connect(address)).await??;
    stream.write_all(&last.to_be_bytes()).await?;
    let mut frames = Frames::default();
    let mut bytes = [0; 4096];
    loop {
        let read = timeout(SILENCE, stream.read(&mut bytes)).await??;
        if read == 0 {
            return Ok(());
        }
        frames.push(&bytes[..read]);
        while let Some(frame) = frames.next()? {
            let Some((kind, servers)) = frame.list else { continue };
            *last = frame.number;
            let input = Input::Listed { source: Source::Board, kind, servers };
            if shared.inputs.send(input).await.is_err() {
                return Ok(());
            }
        }
    }
}
