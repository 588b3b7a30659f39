//! The local control socket: operators' commands reach the member on the same machine through a Unix socket
//! in the cluster directory, with one line of JSON each way. Access to the directory gives access to the
//! commands.

use std::io::{BufRead, BufReader, Write};
use std::os::fd::{AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream as StdStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use steprelay_fleet::Millis;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Limit of concurrent control connections.
const MAX_CONNECTIONS: usize = 16;
/// Limits of a request: its length in octets, and the time until its line is received.
const MAX_REQUEST_LENGTH: u64 = 16 * 1024;
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of the wait for a response: longer than the cluster's own limit for a command.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// An operator's request. `Pause` with a reason stops new maintenance, and without one resumes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ask")]
pub enum Request {
    Members,
    Work,
    Add { machine: String, for_ms: Millis, reason: String, after: Vec<String>, within_ms: Option<Millis> },
    Extend { machine: String, more_ms: Millis },
    Withdraw { machine: String },
    Done { machine: String },
    Forget { machine: String },
    Explain { machine: String },
    Refound,
    Pause { reason: Option<String> },
    Copies,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: String,
    pub zone: String,
    pub state: String,
    pub address: String,
    pub voter: bool,
    pub leader: bool,
    /// Its protocol version; empty until a message of it is received.
    pub version: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRow {
    pub machine: String,
    pub state: String,
    pub grant: Option<u64>,
    pub zone: String,
    pub reason: String,
    pub for_s: u64,
    pub after: Vec<String>,
    /// Seconds in this state, and seconds until the request is overdue (negative: since then).
    pub since_s: u64,
    pub due_s: Option<i64>,
}

/// A replication stream whose primary or replica is the responding member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRow {
    pub stream: String,
    pub writer: String,
    pub epoch: u64,
    pub records: u64,
    pub holders: Vec<String>,
    /// Records with fewer replicas than configured, as the primary knows.
    pub under_copied: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "told")]
pub enum Response {
    Done,
    Refused { why: String },
    Text { text: String },
    Members { members: Vec<MemberRow> },
    Work { work: Vec<MaintenanceRow> },
    Copies { copies: Vec<CopyRow> },
}

#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    #[error("no program serves the fleet from {}: {error}", path.display())]
    NotThere { path: PathBuf, error: std::io::Error },
    #[error("the program did not respond: {0}")]
    NoAnswer(std::io::Error),
    #[error("the program's response cannot be read: {0}")]
    NotJson(#[from] serde_json::Error),
}

/// A path of the socket that is short enough for a socket address, however long the directory's path is. The
/// path is valid while the returned descriptor is open.
fn short_socket_path(directory: &Path) -> std::io::Result<(OwnedFd, PathBuf)> {
    let opened: OwnedFd = std::fs::File::open(directory)?.into();
    let path = PathBuf::from(format!("/proc/self/fd/{}/control", opened.as_raw_fd()));
    Ok((opened, path))
}

/// Listens in a directory; removes the socket of an earlier process.
///
/// # Errors
/// The directory cannot be opened, or the socket cannot be replaced.
pub fn listen(directory: &Path) -> std::io::Result<UnixListener> {
    let (_opened, path) = short_socket_path(directory)?;
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(path)
}

/// A request, and the sender of its response.
pub type PendingRequest = (Request, oneshot::Sender<Response>);

/// Accepts control connections and passes their requests to the cluster thread.
pub async fn serve(listener: UnixListener, requests: mpsc::Sender<PendingRequest>) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let requests = requests.clone();
        spawn_local(async move {
            // The requester may have disconnected.
            let _ = serve_connection(stream, requests).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: UnixStream, requests: mpsc::Sender<PendingRequest>) -> std::io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    let mut reader = tokio::io::BufReader::new(read.take(MAX_REQUEST_LENGTH));
    let response = match timeout(LINE_TIMEOUT, reader.read_line(&mut line)).await {
        Ok(Ok(0)) => return Ok(()),
        Ok(read) => {
            read?;
            match serde_json::from_str(&line) {
                Ok(request) => {
                    let (answer, answered) = oneshot::channel();
                    let sent = requests.send((request, answer)).await;
                    let response = timeout(RESPONSE_TIMEOUT, answered).await;
                    match (sent, response) {
                        (Ok(()), Ok(Ok(response))) => response,
                        _ => Response::Refused { why: "the program is stopping".into() },
                    }
                }
                Err(error) => Response::Refused { why: format!("the command cannot be read: {error}") },
            }
        }
        Err(_) => Response::Refused { why: "no complete line was received in time".into() },
    };
    let mut text = serde_json::to_vec(&response)?;
    text.push(b'\n');
    timeout(LINE_TIMEOUT, write.write_all(&text)).await?
}

/// Sends a request to the program that serves from a directory; returns its response.
///
/// # Errors
/// No program serves there, it does not respond in time, or the response is not valid JSON.
pub fn send_request(directory: &Path, request: &Request) -> Result<Response, ControlError> {
    let connect = || {
        let (_opened, path) = short_socket_path(directory)?;
        StdStream::connect(path)
    };
    let stream = connect().map_err(|error| ControlError::NotThere { path: directory.into(), error })?;
    let exchange = || {
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT + LINE_TIMEOUT))?;
        let mut text = serde_json::to_vec(request)?;
        text.push(b'\n');
        (&stream).write_all(&text)?;
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line)?;
        Ok(line)
    };
    let line = exchange().map_err(ControlError::NoAnswer)?;
    Ok(serde_json::from_str(&line)?)
}
