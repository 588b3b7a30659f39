//! What a call agent is told at its start.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Deserialize;
use steprelay_core::{CoreLimits, ListSource};
use steprelay_decisions::{Entry, ListKind, Readiness};
use steprelay_settings::{SettingsError, Site};

use crate::discovery;
use crate::inherited::{self, InheritedError};
use crate::ops;
use crate::ports::Way;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("no configuration: name a file with --config or in LB_CONFIG")]
    NotNamed,
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}: {error}", path.display())]
    NotJson { path: PathBuf, error: serde_json::Error },
    #[error("LB_SOCKET_FD: {0}")]
    Inherited(#[from] InheritedError),
    #[error("{}: {wrong}", path.display())]
    Wrong { path: PathBuf, wrong: Wrong },
    #[error("LB_OPS: {0}")]
    Ops(String),
}

/// What the file holds that cannot be, and where.
#[derive(Debug, thiserror::Error)]
pub enum Wrong {
    #[error("{field}: {why}")]
    Field { field: &'static str, why: String },
    #[error("settings.{0}")]
    Settings(#[from] SettingsError),
}

/// Why one of our own files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}: {error}", path.display())]
    NotToml { path: PathBuf, error: Box<toml::de::Error> },
}

/// Reads one of our own files.
pub fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let named = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|error| FileError::Unreadable { path: named(), error })?;
    toml::from_str(&text).map_err(|error| FileError::NotToml { path: named(), error: Box::new(error) })
}

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The socket that listens there, where the platform holds it and another process may have it too.
    pub inherited: Option<TcpListener>,
    /// Where operators ask, if anywhere.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    pub board: Option<SocketAddr>,
    pub known: Known,
    pub site: Site,
    pub bounds: CoreLimits,
}

/// The list of servers as it was before the start.
#[derive(Debug)]
pub struct Known {
    pub source: ListSource,
    pub kind: ListKind,
    pub last: u64,
    pub servers: Vec<(Entry, Way)>,
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: String,
    listen: String,
    ops: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    board: Option<String>,
    #[serde(default)]
    known: RawKnown,
    settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

#[derive(Deserialize, Default)]
struct RawKnown {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    notices: Vec<RawNotice>,
}

#[derive(Deserialize)]
struct RawNotice {
    pool: RawPool,
}

#[derive(Deserialize)]
struct RawPool {
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<RawTarget>,
}

#[derive(Deserialize)]
struct RawTarget {
    uid: String,
    endpoint: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    boot_ms: u64,
}

/// Where the limits name no number of descriptors.
const SOCKETS: usize = 1024;
/// Where they name no memory, in MB; and the part of it that calls that wait may take.
const MEMORY: usize = 192;
const HELD_PART: usize = 4;
/// The program's own descriptors: its listeners, the board, the runtime's, and callers' connections that
/// close.
const OWN_SOCKETS: usize = 16;
/// Those for servers, of which so many may come to be listed: a connection each, and one that relieves it. No
/// caller takes these, so that servers and the board can be had whoever fills the others.
const SERVERS: usize = 8;
const OF_SERVER: usize = 2;

impl Config {
    /// Reads the file that was named, or else the one in `LB_CONFIG`.
    pub fn load(named: Option<&Path>) -> Result<Self, ConfigError> {
        let path = match named {
            Some(path) => path.to_path_buf(),
            None => std::env::var_os("LB_CONFIG").map(PathBuf::from).ok_or(ConfigError::NotNamed)?,
        };
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let raw = serde_json::from_str(&text);
        let mut raw: RawConfig = raw.map_err(|error| ConfigError::NotJson { path: path.clone(), error })?;
        // Two processes of an upgrade share the file, and differ in this address.
        let named = std::env::var("LB_OPS").ok();
        if let Some(named) = &named {
            address("LB_OPS", named).map_err(|_| ConfigError::Ops(no_address(named)))?;
        }
        raw.ops = named.or(raw.ops);
        let mut config = Self::from_raw(raw).map_err(|wrong| ConfigError::Wrong { path, wrong })?;
        if let Ok(number) = std::env::var("LB_SOCKET_FD") {
            config.inherited = Some(inherited::listener(&number, config.listen)?);
            // Two processes of an upgrade share the descriptors.
            let bounds = &mut config.bounds;
            bounds.connections = (bounds.connections / 2).max(1);
        }
        Ok(config)
    }

    fn from_raw(raw: RawConfig) -> Result<Self, Wrong> {
        steprelay_settings::check(&raw.settings)?;
        let site = steprelay_settings::site_settings(&raw.settings);
        if site.class_names.is_empty() {
            return Err(wrong("settings.services", "no class of call is named"));
        }
        let seed = match raw.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|error| wrong("seed", error.to_string()))?,
        };
        let memory = raw.limits.memory_mb.unwrap_or(MEMORY) << 20;
        let sockets = raw.limits.sockets.unwrap_or(SOCKETS);
        let ops = raw.ops.as_deref().map(|text| address("ops", text)).transpose()?;
        let known = known(raw.known)?;
        let servers = OF_SERVER * known.servers.len().max(SERVERS);
        let own = OWN_SOCKETS + servers + if ops.is_some() { ops::MOST } else { 0 };
        Ok(Config {
            name: raw.name,
            listen: address("listen", &raw.listen)?,
            inherited: None,
            ops,
            seed,
            board: raw.board.as_deref().map(|text| address("board", text)).transpose()?,
            known,
            site,
            bounds: CoreLimits {
                // Callers hold a third of the descriptors; the second third is for others that come to call.
                connections: (sockets * 2 / 3).min(sockets.saturating_sub(own)).max(1),
                connections_per_peer: (sockets / 3).max(1),
                pending_call_bytes: memory / HELD_PART,
            },
        })
    }
}

fn wrong(field: &'static str, why: impl Into<String>) -> Wrong {
    Wrong::Field { field, why: why.into() }
}

fn no_address(text: &str) -> String {
    format!("'{}' is no address with a port", text.escape_debug())
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, Wrong> {
    text.parse().map_err(|_| wrong(field, no_address(text)))
}

/// Plays the known events, one after the other, down to the list that they leave.
fn known(raw: RawKnown) -> Result<Known, Wrong> {
    let mut servers = BTreeMap::new();
    for notice in raw.notices {
        if notice.pool.all {
            servers.clear();
        }
        for target in notice.pool.targets {
            let id = target.uid.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
            let id = id.ok_or_else(|| wrong("known", format!("'{}' is no id", target.uid.escape_debug())))?;
            let state = match target.state.as_str() {
                "up" => Readiness::Ready,
                "draining" => Readiness::Draining,
                "removed" => Readiness::Gone,
                other => return Err(wrong("known", format!("unknown state '{}'", other.escape_debug()))),
            };
            let way = Way::Platform(address("known", &target.endpoint)?);
            servers.insert(id, (discovery::server_entry(id, target.pod_group, state, target.boot_ms), way));
        }
    }
    let servers = servers.into_values().filter(|(entry, _)| entry.state != Readiness::Gone).collect();
    Ok(Known { source: ListSource::Discovery, kind: ListKind::Cached, last: raw.rev, servers })
}

#[cfg(test)]
mod tests;
