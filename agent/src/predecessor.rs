//! Notices the end of the process that this one replaces in an upgrade.
//!
//! What a server tells the old process in its last moments, and nobody confirms, the server tells again on
//! the next connection that is opened. So this process opens one once the old one has ended.
//!
//! Each process that inherits the callers' socket holds a lock on a file of its own for as long as it lives,
//! whatever ends it. The files are beside each other in the temporary folder, which the processes share.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::time::{sleep, Duration};

use crate::ports::{log, Input, Shared};

/// Interval of the checks whether an earlier process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The lock of this process, held until it is dropped, and those of the processes that were there before.
pub struct Presence {
    own: OwnLock,
    predecessors: Vec<OtherLock>,
}

struct OwnLock {
    path: PathBuf,
    _locked: File,
}

impl Drop for OwnLock {
    fn drop(&mut self) {
        // A file that stays is removed by the next process.
        let _ = fs::remove_file(&self.path);
    }
}

/// The lock of another process.
struct OtherLock {
    path: PathBuf,
    file: File,
}

impl OtherLock {
    /// Whether its process has ended; removes the file then.
    fn is_free(&self) -> bool {
        let is_free = self.file.try_lock().is_ok();
        if is_free {
            let _ = fs::remove_file(&self.path);
        }
        is_free
    }
}

impl Presence {
    /// Locks a file for this process; `socket` is the callers' socket, which all processes of an upgrade
    /// share.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn announce(folder: &Path, socket: SocketAddr) -> io::Result<Self> {
        let prefix = format!("steprelay-{}-{}-", socket.ip(), socket.port());
        let predecessors = others(folder, &prefix)?;
        let process = std::process::id();
        let path = folder.join(format!("{prefix}{process}.lock"));
        let unlocked = folder.join(format!(".{prefix}{process}.new"));
        let file = File::create(&unlocked)?;
        file.try_lock().map_err(io::Error::from)?;
        // Nobody sees the file before it is locked.
        fs::rename(&unlocked, &path)?;
        Ok(Presence { own: OwnLock { path, _locked: file }, predecessors })
    }
}

/// The locks of other processes that are held.
fn others(folder: &Path, prefix: &str) -> io::Result<Vec<OtherLock>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        if !name.to_str().is_some_and(|name| name.starts_with(prefix) && name.ends_with(".lock")) {
            continue;
        }
        let path = entry.path();
        let Ok(file) = File::open(&path) else { continue };
        let other = OtherLock { path, file };
        if !other.is_free() {
            found.push(other);
        }
    }
    Ok(found)
}

/// Reports the end of each process that was there before this one, and keeps the lock of this process.
pub async fn watch(presence: Presence, shared: Shared) {
    let Presence { own: _own, mut predecessors } = presence;
    while !predecessors.is_empty() {
        sleep(POLL_INTERVAL).await;
        let before = predecessors.len();
        predecessors.retain(|other| !other.is_free());
        if predecessors.len() < before {
            log::event("the process before this one has ended");
            if shared.inputs.send(Input::PredecessorEnded).await.is_err() {
                return;
            }
        }
    }
    std::future::pending().await
}
