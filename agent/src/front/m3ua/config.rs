//! The configuration of the M3UA front (`deploy/m3ua.toml`): the own point code, the peers on both sides and
//! the timers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use steprelay_decisions::{Entry, Micros, Readiness, ServerId};
use steprelay_settings::Site;
use steprelay_signalling::circuits::{self, ControlledCircuits, OnStart, Selection, Timers};
use steprelay_signalling::m3ua::{asp, gateway, TrafficMode};
use steprelay_signalling::office::{self, Destination};
use steprelay_signalling::trie::{PrefixError, PrefixTrie};

use crate::config::{read_toml, FileError};
use crate::ports::Endpoint;

/// Why the configuration of the M3UA front is rejected.
#[derive(Debug, thiserror::Error)]
pub enum M3uaConfigError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("m3ua: {0}")]
    Invalid(String),
    #[error("m3ua: route: {0}")]
    Prefix(#[from] PrefixError),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    listen: SocketAddr,
    point_code: u32,
    #[serde(default = "national_network")]
    network_indicator: u8,
    /// The file of established calls, which is read after a crash.
    kept_calls: Option<PathBuf>,
    #[serde(default)]
    m3ua: RawM3uaTimers,
    #[serde(default)]
    timers: RawTimers,
    #[serde(default)]
    class: Vec<RawClass>,
    #[serde(default)]
    route: Vec<RawRoute>,
    #[serde(default)]
    client: Vec<RawClient>,
    #[serde(default)]
    server: Vec<RawServer>,
}

fn national_network() -> u8 {
    2
}

/// The timers of M3UA, with the limits that belong to them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawM3uaTimers {
    recovery_ms: u32,
    queue: usize,
    ack_ms: u32,
    ack_tries: u32,
    beat_ms: u32,
    beat_misses: u32,
    audit_ms: u32,
    most_asps: usize,
}

impl Default for RawM3uaTimers {
    fn default() -> Self {
        RawM3uaTimers {
            recovery_ms: 2000,
            queue: 256,
            ack_ms: 700,
            ack_tries: 3,
            beat_ms: 0,
            beat_misses: 3,
            audit_ms: 0,
            most_asps: 8,
        }
    }
}

/// The timers of Q.764 that differ from its lowest values, in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTimers {
    t1_ms: Option<u32>,
    t5_ms: Option<u32>,
    t6_ms: Option<u32>,
    t7_ms: Option<u32>,
    t8_ms: Option<u32>,
    t9_ms: Option<u32>,
    t27_ms: Option<u32>,
    t28_ms: Option<u32>,
    t34_ms: Option<u32>,
    t35_ms: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    category: u8,
    class: String,
    wait_ms: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    prefix: String,
    number: u32,
    #[serde(default)]
    digits: usize,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawMode {
    #[default]
    Override,
    Loadshare,
    Broadcast,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawSelection {
    #[default]
    Sequential,
    MostIdle,
    OwnFirst,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawControls {
    #[default]
    All,
    Even,
    Odd,
    None,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawStart {
    #[default]
    Trust,
    Query,
    Reset,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClient {
    name: String,
    point_code: u32,
    routing_context: u32,
    tenant: String,
    #[serde(default)]
    mode: RawMode,
    #[serde(default = "one")]
    needed: usize,
    #[serde(default)]
    asp_identifiers: Vec<u32>,
    #[serde(default)]
    registration: bool,
    circuits: Option<(u16, u16)>,
    #[serde(default)]
    overlap: bool,
    #[serde(default)]
    on_start: RawStart,
}

fn one() -> usize {
    1
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawServer {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    siblings: Vec<SocketAddr>,
    point_code: u32,
    routing_context: u32,
    number: u32,
    circuits: u16,
    #[serde(default)]
    mode: RawMode,
    #[serde(default)]
    names_mode: bool,
    asp_identifier: Option<u32>,
    #[serde(default)]
    selection: RawSelection,
    #[serde(default)]
    on_start: RawStart,
    /// The tenant of the calls that the server makes, if it also calls.
    calls_as: Option<String>,
    #[serde(default)]
    controls: RawControls,
    longest: Option<usize>,
}

/// The validated configuration of the M3UA front.
#[derive(Debug)]
pub struct M3uaConfig {
    pub listen: SocketAddr,
    pub point_code: u32,
    network: u8,
    pub call_store_path: Option<PathBuf>,
    m3ua_timers: RawM3uaTimers,
    classes: Vec<CallClass>,
    routes: PrefixTrie<Destination>,
    pub clients: Vec<ClientPeer>,
    pub servers: Vec<ServerPeer>,
}

/// A class of call and the calling party's category that denotes it.
#[derive(Debug)]
pub struct CallClass {
    pub category: u8,
    pub class: usize,
    /// How long a caller of this class waits, since the initial address message does not say.
    pub wait: Micros,
}

/// A peer that sends calls to this call agent.
#[derive(Debug)]
pub struct ClientPeer {
    pub name: String,
    tenant: usize,
    config: gateway::ServerConfig,
    circuits: circuits::Config,
}

/// A check server that is reached over M3UA.
#[derive(Debug)]
pub struct ServerPeer {
    pub name: String,
    /// The addresses of its associations: siblings that share its traffic or are on standby.
    pub addresses: Vec<SocketAddr>,
    number: u32,
    tenant: Option<usize>,
    asp: asp::Config,
    circuits: circuits::Config,
}

/// First id of the servers of this front, which service discovery does not list.
const FIRST_SERVER_ID: u32 = 0xffff_0000;
/// Highest circuit identification code, which has 12 bits.
const MAX_CIRCUITS: u16 = steprelay_signalling::HIGHEST_CIRCUIT;
/// Time for a peer to bring its ASP up on a connection, also after the ASP went down again. After that the
/// connection counts among the server's ASPs (`most_asps`) without being of use.
const ASP_UP_TIMEOUT: Micros = 2_500_000;
/// Least message length for segmentation, in octets: each segment has to fit its header and some of the
/// description.
const MIN_MESSAGE_LEN: usize = 64;

fn invalid<T>(reason: String) -> Result<T, M3uaConfigError> {
    Err(M3uaConfigError::Invalid(reason))
}

fn micros(ms: u32) -> Micros {
    Micros::from(ms) * 1000
}

impl M3uaConfig {
    pub fn load(path: &Path, site: &Site) -> Result<Self, M3uaConfigError> {
        let raw = read_toml(path)?;
        Self::from_raw(raw, site)
    }

    fn from_raw(raw: Raw, site: &Site) -> Result<Self, M3uaConfigError> {
        let index_of = |names: &[String], name: &str, what: &str| {
            let index = names.iter().position(|known| known == name);
            index.ok_or_else(|| M3uaConfigError::Invalid(format!("the settings define no {what} '{name}'")))
        };
        let timers = raw.timers.timers();
        let classes = raw.class.into_iter().map(|raw| {
            let class = index_of(&site.class_names, &raw.class, "class")?;
            Ok(CallClass { category: raw.category, class, wait: micros(raw.wait_ms) })
        });
        let clients = raw.client.into_iter().map(|raw| {
            let tenant = index_of(&site.tenant_names, &raw.tenant, "tenant")?;
            raw.peer(tenant, timers)
        });
        let (point_code, network) = (raw.point_code, raw.network_indicator);
        let servers = raw.server.into_iter().map(|raw| {
            let tenant = raw.calls_as.as_deref();
            let tenant = tenant.map(|tenant| index_of(&site.tenant_names, tenant, "tenant")).transpose()?;
            raw.peer(tenant, (point_code, network), timers)
        });
        let routes = raw
            .route
            .into_iter()
            .map(|raw| (raw.prefix, Destination { number: raw.number, digits: raw.digits }));
        let config = M3uaConfig {
            listen: raw.listen,
            point_code,
            network,
            call_store_path: raw.kept_calls,
            classes: classes.collect::<Result<_, M3uaConfigError>>()?,
            routes: PrefixTrie::new(routes)?,
            clients: clients.collect::<Result<_, M3uaConfigError>>()?,
            servers: servers.collect::<Result<_, M3uaConfigError>>()?,
            m3ua_timers: raw.m3ua,
        };
        config.validated()
    }

    /// Checks that the peers and classes do not conflict with each other.
    fn validated(self) -> Result<Self, M3uaConfigError> {
        let callers =
            self.clients.len() + self.servers.iter().filter(|server| server.tenant.is_some()).count();
        if callers > usize::from(u8::MAX) {
            return invalid("more than 255 clients".into());
        }
        for (index, client) in self.clients.iter().enumerate() {
            let context = client.config.routing_context;
            if self.clients[..index].iter().any(|other| other.config.routing_context == context) {
                return invalid(format!(
                    "client '{}': routing context is already used by another client",
                    client.name
                ));
            }
            if client.config.min_active_asps > self.m3ua_timers.most_asps {
                return invalid(format!("client '{}': needed exceeds most_asps", client.name));
            }
        }
        for (index, class) in self.classes.iter().enumerate() {
            if self.classes[..index].iter().any(|other| other.category == class.category) {
                return invalid(format!("class: duplicate category {}", class.category));
            }
        }
        if self.m3ua_timers.ack_ms == 0 || self.m3ua_timers.ack_tries == 0 {
            return invalid("m3ua: ack_ms and ack_tries must be greater than 0".into());
        }
        Ok(self)
    }

    /// Returns the configuration of the front's office.
    pub fn office(&self) -> office::Config {
        let timers = &self.m3ua_timers;
        office::Config {
            gateway: gateway::Config {
                point_code: self.point_code,
                network: self.network,
                servers: self.clients.iter().map(|client| client.config.clone()).collect(),
                recovery_timeout: micros(timers.recovery_ms),
                queue_capacity: timers.queue,
                heartbeat_interval: micros(timers.beat_ms),
                max_missed_heartbeats: timers.beat_misses,
                asp_up_timeout: ASP_UP_TIMEOUT,
                max_asps_per_server: timers.most_asps,
            },
            clients: self
                .clients
                .iter()
                .map(|client| self.with_established_reports(&client.circuits))
                .collect(),
            servers: self
                .servers
                .iter()
                .map(|server| office::ServerConfig {
                    asp: asp::Config {
                        ack_timeout: micros(timers.ack_ms),
                        max_attempts: timers.ack_tries,
                        audit_interval: micros(timers.audit_ms),
                        ..server.asp.clone()
                    },
                    circuits: self.with_established_reports(&server.circuits),
                })
                .collect(),
            destinations: self.routes.clone(),
        }
    }

    /// Returns the circuits' configuration, with reports of established calls if these are stored.
    fn with_established_reports(&self, circuits: &circuits::Config) -> circuits::Config {
        circuits::Config { reports_established: self.call_store_path.is_some(), ..circuits.clone() }
    }

    /// Returns the index among the callers of a server that also calls.
    pub fn caller_index(&self, server: usize) -> Option<usize> {
        self.servers[server].tenant?;
        let before = self.servers[..server].iter().filter(|server| server.tenant.is_some()).count();
        Some(self.clients.len() + before)
    }

    /// The longest wait of a caller of any class.
    pub fn longest_wait(&self) -> Micros {
        self.classes.iter().map(|class| class.wait).max().unwrap_or_default()
    }

    /// Returns the class that a calling party's category denotes.
    pub fn class(&self, category: u8) -> Option<&CallClass> {
        self.classes.iter().find(|class| class.category == category)
    }

    /// Returns the calling party's category that denotes a class to a server.
    pub fn category(&self, class: usize) -> Option<u8> {
        self.classes.iter().find(|known| known.class == class).map(|known| known.category)
    }

    /// Returns the name and the tenant of a caller. Callers are the clients, followed by the servers that
    /// also call.
    fn caller(&self, index: usize) -> Option<(&str, usize)> {
        if let Some(client) = self.clients.get(index) {
            return Some((&client.name, client.tenant));
        }
        let mut calling = self.servers.iter().filter_map(|server| Some((&*server.name, server.tenant?)));
        calling.nth(index - self.clients.len())
    }

    pub fn caller_name(&self, index: usize) -> &str {
        self.caller(index).map_or("", |(name, _)| name)
    }

    pub fn tenant(&self, index: usize) -> usize {
        self.caller(index).map_or(usize::MAX, |(_, tenant)| tenant)
    }

    /// Returns the entry of a server in the server list.
    pub fn list_entry(&self, index: usize, state: Readiness) -> (Entry, Endpoint) {
        let number = self.servers[index].number;
        let server = ServerId(FIRST_SERVER_ID + index as u32);
        (Entry { server, started: None, number, state }, Endpoint::M3ua(index))
    }
}

impl RawTimers {
    fn timers(&self) -> Timers {
        let defaults = Timers::default();
        let or_default = |ms: Option<u32>, default| ms.map_or(default, micros);
        Timers {
            repeat: or_default(self.t1_ms, defaults.repeat),
            alert: or_default(self.t5_ms, defaults.alert),
            suspended: or_default(self.t6_ms, defaults.suspended),
            proceeding: or_default(self.t7_ms, defaults.proceeding),
            continuity: or_default(self.t8_ms, defaults.continuity),
            answer: or_default(self.t9_ms, defaults.answer),
            recheck: or_default(self.t27_ms, defaults.recheck),
            query: or_default(self.t28_ms, defaults.query),
            segment: or_default(self.t34_ms, defaults.segment),
            digits: or_default(self.t35_ms, defaults.digits),
        }
    }
}

impl RawMode {
    fn mode(self) -> TrafficMode {
        match self {
            RawMode::Override => TrafficMode::Override,
            RawMode::Loadshare => TrafficMode::Loadshare,
            RawMode::Broadcast => TrafficMode::Broadcast,
        }
    }
}

impl RawStart {
    fn on_start(self) -> OnStart {
        match self {
            RawStart::Trust => OnStart::Trust,
            RawStart::Query => OnStart::Query,
            RawStart::Reset => OnStart::Reset,
        }
    }
}

impl RawClient {
    fn peer(self, tenant: usize, timers: Timers) -> Result<ClientPeer, M3uaConfigError> {
        if let Some((first, last)) =
            self.circuits.filter(|(first, last)| first > last || *last > MAX_CIRCUITS)
        {
            return invalid(format!(
                "client '{}': circuits {first} to {last} are not a valid range",
                self.name
            ));
        }
        let on_start = self.on_start.on_start();
        if on_start != OnStart::Trust && self.circuits.is_none() {
            return invalid(format!("client '{}': on_start requires circuits", self.name));
        }
        let config = gateway::ServerConfig {
            point_code: self.point_code,
            routing_context: self.routing_context,
            mode: self.mode.mode(),
            min_active_asps: self.needed,
            identifiers: self.asp_identifiers,
            allows_registration: self.registration,
        };
        let circuits = circuits::Config {
            equipped: self.circuits,
            overlap: self.overlap,
            on_start,
            timers,
            ..circuits::Config::default()
        };
        Ok(ClientPeer { name: self.name, tenant, config, circuits })
    }
}

impl RawServer {
    fn peer(
        self,
        tenant: Option<usize>,
        (point_code, network): (u32, u8),
        timers: Timers,
    ) -> Result<ServerPeer, M3uaConfigError> {
        if self.circuits == 0 || self.circuits > MAX_CIRCUITS {
            return invalid(format!("server '{}': circuits must be 1 to {MAX_CIRCUITS}", self.name));
        }
        if self.longest.is_some_and(|longest| longest < MIN_MESSAGE_LEN) {
            return invalid(format!("server '{}': longest must be at least {MIN_MESSAGE_LEN}", self.name));
        }
        let asp = asp::Config {
            point_code,
            peer_point_code: self.point_code,
            network,
            routing_context: self.routing_context,
            mode: self.mode.mode(),
            sends_mode: self.names_mode,
            identifier: self.asp_identifier,
            ack_timeout: 0,
            max_attempts: 0,
            audit_interval: 0,
        };
        let circuits = circuits::Config {
            equipped: Some((1, self.circuits)),
            incoming: tenant.is_some(),
            outgoing: true,
            controls: match self.controls {
                RawControls::All => ControlledCircuits::All,
                RawControls::Even => ControlledCircuits::Even,
                RawControls::Odd => ControlledCircuits::Odd,
                RawControls::None => ControlledCircuits::None,
            },
            selection: match self.selection {
                RawSelection::Sequential => Selection::Sequential,
                RawSelection::MostIdle => Selection::MostIdle,
                RawSelection::OwnFirst => Selection::OwnFirst,
            },
            on_start: self.on_start.on_start(),
            max_message_len: self.longest,
            timers,
            ..circuits::Config::default()
        };
        let mut addresses = vec![self.address];
        addresses.extend(self.siblings);
        Ok(ServerPeer { name: self.name, addresses, number: self.number, tenant, asp, circuits })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn site() -> Site {
        let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
        Site {
            class_names: names(&["standard-check", "signing-check"]),
            tenant_names: names(&["lembah-realty", "teratai-homes", "seri-lets"]),
            ..Site::default()
        }
    }

    fn read(text: &str) -> Result<M3uaConfig, String> {
        M3uaConfig::from_raw(toml::from_str(text).map_err(|error| error.to_string())?, &site())
            .map_err(|error| error.to_string())
    }

    #[test]
    fn the_example_file_is_valid() {
        let config = read(include_str!("../../../../deploy/m3ua.toml")).expect("valid");
        assert_eq!(config.class(11).map(|class| class.class), Some(1));
        let first = |number: &str| config.routes.longest(number).map(|to| to.number);
        assert_eq!((first("6041"), first("99")), (Some(1), None));
    }

    #[test]
    fn the_example_file_with_every_key_is_valid() {
        let config = read(include_str!("../../../../deploy/m3ua-full.toml")).expect("valid");
        assert_eq!(config.servers[0].addresses.len(), 2);
        assert_eq!((config.caller_index(0), config.caller_name(1)), (Some(1), "archive"));
        let office = config.office();
        assert!(office.clients[0].reports_established && office.servers[0].circuits.incoming);
    }

    #[test]
    fn errors_name_the_invalid_key() {
        let start = "listen = '127.0.0.1:0'\npoint_code = 1\n";
        let client = "[[client]]\nname = 'a'\npoint_code = 2\nrouting_context = 1\ntenant = 'seri-lets'\n";
        let server = "[[server]]\nname = 's'\naddress = '127.0.0.1:1'\npoint_code = 3\nrouting_context = 1\n\
                      number = 0\n";
        let class = "[[class]]\ncategory = 1\nclass = 'signing-check'\nwait_ms = 1\n";
        let route = "[[route]]\nprefix = '60x'\nnumber = 1\n";
        let table = [
            (format!("{client}circuits = [9, 3]"), "m3ua: client 'a': circuits 9 to 3 are not a valid range"),
            (format!("{client}on_start = 'query'"), "m3ua: client 'a': on_start requires circuits"),
            (format!("{client}needed = 9"), "m3ua: client 'a': needed exceeds most_asps"),
            (format!("{server}circuits = 0"), "m3ua: server 's': circuits must be 1 to 4095"),
            (format!("{server}circuits = 9\nlongest = 9"), "m3ua: server 's': longest must be at least 64"),
            (format!("{server}circuits = 9\ncalls_as = 'x'"), "m3ua: the settings define no tenant 'x'"),
            (format!("{class}{class}"), "m3ua: class: duplicate category 1"),
            (route.into(), "m3ua: route: prefix '60x' contains a character other than 0 to 9 and a to f"),
            ("[m3ua]\nack_ms = 0".into(), "m3ua: m3ua: ack_ms and ack_tries must be greater than 0"),
        ];
        for (text, message) in table {
            assert_eq!(read(&format!("{start}{text}")).expect_err("invalid"), message);
        }
        let mode = read(&format!("{start}{client}mode = 'some'")).expect_err("invalid");
        assert!(mode.contains("unknown variant `some`") && mode.contains("line 8"), "{mode}");
    }

    #[test]
    fn duplicate_routing_contexts_and_unknown_tenants_are_rejected() {
        let start = "listen = '127.0.0.1:0'\npoint_code = 1\n";
        let client = "[[client]]\nname = 'a'\npoint_code = 2\nrouting_context = 1\ntenant = ";
        let twice = format!("{start}{client}'seri-lets'\n{client}'seri-lets'\n");
        assert_eq!(
            read(&twice).expect_err("invalid"),
            "m3ua: client 'a': routing context is already used by another client"
        );
        let unknown = read(&format!("{start}{client}'nobody'\n")).expect_err("invalid");
        assert_eq!(unknown, "m3ua: the settings define no tenant 'nobody'");
    }
}
