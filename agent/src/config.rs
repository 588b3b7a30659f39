//! The configuration of a call agent, read at its start.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Deserialize;
use steprelay_core::ListSource;
use steprelay_decisions::{Entry, ListKind, Readiness};
use steprelay_settings::{SettingsError, Site};

use crate::bounds::Bounds;
use crate::discovery;
use crate::inherited::{self, InheritedError};
use crate::ops;
use crate::ports::Endpoint;

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
    #[error("{}: {invalid}", path.display())]
    Invalid { path: PathBuf, invalid: InvalidConfig },
    #[error("LB_OPS: {0}")]
    Ops(String),
}

/// An invalid value in the file, and where it is.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    #[error("{field}: {why}")]
    Field { field: &'static str, why: String },
    #[error("settings.{0}")]
    Settings(#[from] SettingsError),
}

/// Why one of the program's own TOML files cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}: {error}", path.display())]
    NotToml { path: PathBuf, error: Box<toml::de::Error> },
}

/// Reads one of the program's own TOML files.
///
/// # Errors
/// The file cannot be read, or is not TOML of this form.
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
    /// The listening socket, where the platform owns it; another process may have inherited it too.
    pub inherited: Option<TcpListener>,
    /// The address for operators, if there is one.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    /// The address of service discovery, if there is one.
    pub discovery: Option<SocketAddr>,
    pub known: KnownServers,
    pub site: Site,
    pub bounds: Bounds,
}

/// The server list cached before the start.
#[derive(Debug)]
pub struct KnownServers {
    pub source: ListSource,
    pub kind: ListKind,
    /// Revision of the last event in the list.
    pub last_revision: u64,
    pub servers: Vec<(Entry, Endpoint)>,
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

/// Descriptors, where the limits give no number.
const DEFAULT_MAX_SOCKETS: usize = 1024;
/// Memory in MB, where the limits give none.
const DEFAULT_MEMORY_MB: usize = 192;
/// During an upgrade two processes share the memory and the descriptors.
const UPGRADE_PROCESSES: usize = 2;
/// The program's own descriptors: its listeners, the service discovery connection, the runtime's, and
/// callers' connections that are being closed.
const OWN_DESCRIPTORS: usize = 16;
/// Descriptors are reserved for at least this many servers, for each a connection and its replacement.
/// Callers cannot use them, so that servers and service discovery stay reachable when callers take all the
/// others.
const MIN_RESERVED_SERVERS: usize = 8;
const DESCRIPTORS_PER_SERVER: usize = 2;

impl Config {
    /// Reads the file `named`, or else the one in `LB_CONFIG`.
    ///
    /// # Errors
    /// No file is named, it cannot be read or is invalid, or `LB_OPS` or `LB_SOCKET_FD` is invalid.
    pub fn load(named: Option<&Path>) -> Result<Self, ConfigError> {
        let path = match named {
            Some(path) => path.to_path_buf(),
            None => std::env::var_os("LB_CONFIG").map(PathBuf::from).ok_or(ConfigError::NotNamed)?,
        };
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let raw = serde_json::from_str(&text);
        let mut raw: RawConfig = raw.map_err(|error| ConfigError::NotJson { path: path.clone(), error })?;
        // During an upgrade two processes share the file and differ only in this address.
        let named = std::env::var("LB_OPS").ok();
        if let Some(named) = &named {
            address("LB_OPS", named).map_err(|_| ConfigError::Ops(invalid_address(named)))?;
        }
        raw.ops = named.or(raw.ops);
        let inherited = std::env::var("LB_SOCKET_FD").ok();
        let processes = if inherited.is_some() { UPGRADE_PROCESSES } else { 1 };
        let mut config =
            Self::from_raw(raw, processes).map_err(|invalid| ConfigError::Invalid { path, invalid })?;
        if let Some(number) = inherited {
            config.inherited = Some(inherited::listener(&number, config.listen)?);
        }
        Ok(config)
    }

    /// `processes`: how many share the limits.
    fn from_raw(raw: RawConfig, processes: usize) -> Result<Self, InvalidConfig> {
        steprelay_settings::check(&raw.settings)?;
        let mut site = steprelay_settings::site_settings(&raw.settings);
        if site.class_names.is_empty() {
            return Err(invalid("settings.services", "no class of call is named"));
        }
        let seed = match raw.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|error| invalid("seed", error.to_string()))?,
        };
        let memory = (raw.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20) / processes;
        let sockets = raw.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS);
        let ops = raw.ops.as_deref().map(|text| address("ops", text)).transpose()?;
        let known = replay_known(raw.known)?;
        let servers = DESCRIPTORS_PER_SERVER * known.servers.len().max(MIN_RESERVED_SERVERS);
        let own = OWN_DESCRIPTORS + servers + if ops.is_some() { ops::MAX_CONNECTIONS } else { 0 };
        let mut bounds = Bounds::new(memory, sockets, own);
        bounds.core.connections = (bounds.core.connections / processes).max(1);
        site.decisions.max_remembered_numbers = bounds.remembered_numbers;
        Ok(Config {
            name: raw.name,
            listen: address("listen", &raw.listen)?,
            inherited: None,
            ops,
            seed,
            discovery: raw.board.as_deref().map(|text| address("board", text)).transpose()?,
            known,
            site,
            bounds,
        })
    }
}

fn invalid(field: &'static str, why: impl Into<String>) -> InvalidConfig {
    InvalidConfig::Field { field, why: why.into() }
}

fn invalid_address(text: &str) -> String {
    format!("'{}' is not an address with a port", text.escape_debug())
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, InvalidConfig> {
    text.parse().map_err(|_| invalid(field, invalid_address(text)))
}

/// Applies the cached events in order; returns the server list that results.
fn replay_known(raw: RawKnown) -> Result<KnownServers, InvalidConfig> {
    let mut servers = BTreeMap::new();
    for notice in raw.notices {
        if notice.pool.all {
            servers.clear();
        }
        for target in notice.pool.targets {
            let id = target.uid.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
            let id =
                id.ok_or_else(|| invalid("known", format!("'{}' is not an id", target.uid.escape_debug())))?;
            let state = match target.state.as_str() {
                "up" => Readiness::Ready,
                "draining" => Readiness::Draining,
                "removed" => Readiness::Gone,
                other => return Err(invalid("known", format!("unknown state '{}'", other.escape_debug()))),
            };
            let endpoint = Endpoint::Platform(address("known", &target.endpoint)?);
            servers
                .insert(id, (discovery::server_entry(id, target.pod_group, state, target.boot_ms), endpoint));
        }
    }
    let servers = servers.into_values().filter(|(entry, _)| entry.state != Readiness::Gone).collect();
    Ok(KnownServers {
        source: ListSource::Discovery,
        kind: ListKind::Cached,
        last_revision: raw.rev,
        servers,
    })
}

#[cfg(test)]
mod tests;
