//! What a call agent is told at its start.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Deserialize;
use steprelay_core::{Bounds, Source};
use steprelay_decisions::{Entry, ListKind, Readiness};
use steprelay_settings::Site;

use crate::board;
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
    #[error("{field}: {why}")]
    Wrong { field: &'static str, why: String },
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
    pub bounds: Bounds,
}

/// The list of servers as it was before the start.
#[derive(Debug)]
pub struct Known {
    pub source: Source,
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
/// The program's own descriptors: its listeners, the board, the servers, the runtime's; and connections that
/// close.
const OWN_SOCKETS: usize = 32;

impl Config {
    /// Reads the file that was named, or else the one in `LB_CONFIG`.
    pub fn load(named: Option<&Path>) -> Result<Self, ConfigError> {
        let path = match named {
            Some(path) => path.to_path_buf(),
            None => std::env::var_os("LB_CONFIG").map(PathBuf::from).ok_or(ConfigError::NotNamed)?,
        };
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let raw = serde_json::from_str(&text).map_err(|error| ConfigError::NotJson { path, error })?;
        let mut raw: RawConfig = raw;
        // Two processes of an upgrade share the file, and differ in this address.
        let named = std::env::var("LB_OPS").ok();
        if let Some(named) = &named {
            address("LB_OPS", named)?;
        }
        raw.ops = named.or(raw.ops);
        let mut config = Self::from_raw(raw)?;
        if let Ok(number) = std::env::var("LB_SOCKET_FD") {
            config.inherited = Some(inherited::listener(&number, config.listen)?);
            // Two processes of an upgrade share the descriptors.
            let bounds = &mut config.bounds;
            bounds.connections = (bounds.connections / 2).max(1);
        }
        Ok(config)
    }

    fn from_raw(raw: RawConfig) -> Result<Self, ConfigError> {
        let site = steprelay_settings::site(&raw.settings);
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
        let own = OWN_SOCKETS + if ops.is_some() { ops::MOST } else { 0 };
        Ok(Config {
            name: raw.name,
            listen: address("listen", &raw.listen)?,
            inherited: None,
            ops,
            seed,
            board: raw.board.as_deref().map(|text| address("board", text)).transpose()?,
            known: known(raw.known)?,
            site,
            bounds: Bounds {
                // Callers hold a third of the descriptors; the second third is for others that come to call.
                connections: (sockets * 2 / 3).min(sockets.saturating_sub(own)).max(1),
                connections_of_one: (sockets / 3).max(1),
                bytes: memory / HELD_PART,
            },
        })
    }
}

fn wrong(field: &'static str, why: impl Into<String>) -> ConfigError {
    ConfigError::Wrong { field, why: why.into() }
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(field, format!("'{}' is no address with a port", text.escape_debug())))
}

/// Plays the known events, one after the other, down to the list that they leave.
fn known(raw: RawKnown) -> Result<Known, ConfigError> {
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
            servers.insert(id, (board::entry(id, target.pod_group, state, target.boot_ms), way));
        }
    }
    let servers = servers.into_values().filter(|(entry, _)| entry.state != Readiness::Gone).collect();
    Ok(Known { source: Source::Board, kind: ListKind::Remembered, last: raw.rev, servers })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Config, String> {
        let raw = serde_json::from_str(text).map_err(|error| error.to_string())?;
        Config::from_raw(raw).map_err(|error| error.to_string())
    }

    #[test]
    fn known_events_are_played_to_the_present_list() {
        let target = |uid: &str, state: &str| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"127.0.0.2:5070","pod_group":2,"state":"{state}","boot_ms":0}}"#
            )
        };
        let notice = |all: bool, targets: &[String]| {
            format!(r#"{{"rev":1,"pool":{{"rev":1,"all":{all},"targets":[{}]}}}}"#, targets.join(","))
        };
        let first = notice(true, &[target("s-0000000a", "up"), target("s-0000000b", "up")]);
        let then = notice(false, &[target("s-0000000a", "draining"), target("s-0000000b", "removed")]);
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
                "known":{{"rev":7,"notices":[{first},{then}]}},
                "settings":{{"services":[{{"name":"voice"}}]}}}}"#
        );
        let config = read(&text).expect("well formed");
        assert_eq!((config.seed, config.known.last), (0x8c1f_30d2_7a5b_e964, 7));
        let left: Vec<_> =
            config.known.servers.iter().map(|(entry, _)| (entry.server.0, entry.state)).collect();
        assert_eq!(left, [(10, Readiness::Draining)]);
    }

    #[test]
    fn what_is_wrong_is_said_plainly() {
        let settings = r#""settings":{"services":[{"name":"voice"}]}"#;
        let bad = |rest: &str| read(&format!("{{{rest}}}")).expect_err("bad");
        assert_eq!(
            bad(&format!(r#""listen":"here",{settings}"#)),
            "listen: 'here' is no address with a port"
        );
        let empty = bad(r#""listen":"127.0.0.1:1","settings":{}"#);
        assert_eq!(empty, "settings.services: no class of call is named");
        assert!(bad(&format!(r#""listen":"127.0.0.1:1","seed":"x",{settings}"#)).starts_with("seed: "));
    }
}
