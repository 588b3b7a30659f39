//! How staff's commands reach the program of a fleet's file on the same machine: a socket in its directory,
//! a line of JSON each way. Who may read the directory may command.

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

/// Commands of staff at once, and those that wait for the fleet's thread.
const MOST: usize = 16;
/// A command is a line of at most so many octets, and comes within this.
const LONGEST: u64 = 16 * 1024;
const LINE_WITHIN: Duration = Duration::from_secs(2);
/// An answer takes no longer than the council has for it, and some.
const ANSWER_WITHIN: Duration = Duration::from_secs(12);

/// What staff want. `Pause` with a reason keeps all machines in, and without one lets them go on.
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
    /// What it speaks; empty where it was not heard yet.
    pub version: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow {
    pub machine: String,
    pub state: String,
    pub grant: Option<u64>,
    pub zone: String,
    pub reason: String,
    pub for_s: u64,
    pub after: Vec<String>,
    /// Seconds in this state, and until it is overdue (below 0: since).
    pub since_s: u64,
    pub due_s: Option<i64>,
}

/// A stream of copies that is written or held by the member that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRow {
    pub stream: String,
    pub writer: String,
    pub epoch: u64,
    pub records: u64,
    pub holders: Vec<String>,
    /// Records that fewer hold than should, as its writer knows.
    pub under_copied: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "told")]
pub enum Response {
    Done,
    Refused { why: String },
    Text { text: String },
    Members { members: Vec<MemberRow> },
    Work { work: Vec<WorkRow> },
    Copies { copies: Vec<CopyRow> },
}

#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    #[error("no program serves the fleet from {}: {error}", path.display())]
    NotThere { path: PathBuf, error: std::io::Error },
    #[error("the program gave no answer: {0}")]
    NoAnswer(std::io::Error),
    #[error("the program's answer can't be read: {0}")]
    NotJson(#[from] serde_json::Error),
}

/// The socket's name as the kernel takes it: a directory's own path may be longer than a socket's may.
fn short(directory: &Path) -> std::io::Result<(OwnedFd, PathBuf)> {
    let opened: OwnedFd = std::fs::File::open(directory)?.into();
    let path = PathBuf::from(format!("/proc/self/fd/{}/control", opened.as_raw_fd()));
    Ok((opened, path))
}

/// Listens in a directory; a socket that a process before this one left goes.
pub fn listen(directory: &Path) -> std::io::Result<UnixListener> {
    let (_opened, path) = short(directory)?;
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(path)
}

/// A request, and where its answer goes.
pub type Asked = (Request, oneshot::Sender<Response>);

/// Takes commands and hands them to the fleet's owner.
pub async fn serve(listener: UnixListener, asked: mpsc::Sender<Asked>) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST));
    loop {
        let Ok(place) = std::sync::Arc::clone(&places).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let asked = asked.clone();
        spawn_local(async move {
            // Whoever asked may have gone meanwhile.
            let _ = answer_one(stream, asked).await;
            drop(place);
        });
    }
}

async fn answer_one(stream: UnixStream, asked: mpsc::Sender<Asked>) -> std::io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut line = String::new();
    let mut reader = tokio::io::BufReader::new(read.take(LONGEST));
    let response = match timeout(LINE_WITHIN, reader.read_line(&mut line)).await {
        Ok(Ok(0)) => return Ok(()),
        Ok(read) => {
            read?;
            match serde_json::from_str(&line) {
                Ok(request) => {
                    let (answer, answered) = oneshot::channel();
                    let sent = asked.send((request, answer)).await;
                    let told = timeout(ANSWER_WITHIN, answered).await;
                    match (sent, told) {
                        (Ok(()), Ok(Ok(response))) => response,
                        _ => Response::Refused { why: "the program is stopping".into() },
                    }
                }
                Err(error) => Response::Refused { why: format!("the command can't be read: {error}") },
            }
        }
        Err(_) => Response::Refused { why: "no whole line came".into() },
    };
    let mut text = serde_json::to_vec(&response)?;
    text.push(b'\n');
    timeout(LINE_WITHIN, write.write_all(&text)).await?
}

/// Asks the program that serves from a directory.
///
/// # Errors
/// None does, or it gives no answer in time.
pub fn ask(directory: &Path, request: &Request) -> Result<Response, ControlError> {
    let connect = || {
        let (_opened, path) = short(directory)?;
        StdStream::connect(path)
    };
    let stream = connect().map_err(|error| ControlError::NotThere { path: directory.into(), error })?;
    let exchange = || {
        stream.set_read_timeout(Some(ANSWER_WITHIN + LINE_WITHIN))?;
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
