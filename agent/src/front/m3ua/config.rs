//! What `deploy/m3ua.toml` says: our point code, the peers on either side, and how long things are waited
//! for.

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
use crate::ports::Way;

#[derive(Debug, thiserror::Error)]
pub enum M3uaConfigError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("m3ua: {0}")]
    Wrong(String),
    #[error("m3ua: route: {0}")]
    Prefix(#[from] PrefixError),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    listen: SocketAddr,
    point_code: u32,
    #[serde(default = "national")]
    network_indicator: u8,
    /// Where standing calls are kept for after a crash.
    kept_calls: Option<PathBuf>,
    #[serde(default)]
    m3ua: RawTimes,
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

fn national() -> u8 {
    2
}

/// The timers of M3UA and what goes with them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTimes {
    recovery_ms: u32,
    queue: usize,
    ack_ms: u32,
    ack_tries: u32,
    beat_ms: u32,
    beat_misses: u32,
    audit_ms: u32,
    most_asps: usize,
}

impl Default for RawTimes {
    fn default() -> Self {
        RawTimes {
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

/// The timers of Q.764, where they are to be others than its lowest.
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
    /// The tenant whose calls come from it, where it calls too.
    calls_as: Option<String>,
    #[serde(default)]
    controls: RawControls,
    longest: Option<usize>,
}

#[derive(Debug)]
pub struct M3uaConfig {
    pub listen: SocketAddr,
    pub point_code: u32,
    network: u8,
    pub kept_calls: Option<PathBuf>,
    times: RawTimes,
    classes: Vec<CallClass>,
    routes: PrefixTrie<Destination>,
    pub clients: Vec<ClientPeer>,
    pub servers: Vec<ServerPeer>,
}

/// A class of call, by the calling party's category that stands for it.
#[derive(Debug)]
pub struct CallClass {
    pub category: u8,
    pub class: usize,
    /// How long a caller of this class waits: its message does not say.
    pub wait: Micros,
}

#[derive(Debug)]
pub struct ClientPeer {
    pub name: String,
    tenant: usize,
    config: gateway::ServerConfig,
    circuits: circuits::Config,
}

#[derive(Debug)]
pub struct ServerPeer {
    pub name: String,
    /// Where its associations go: to siblings that share its traffic, or stand by.
    pub addresses: Vec<SocketAddr>,
    number: u32,
    tenant: Option<usize>,
    asp: asp::Config,
    circuits: circuits::Config,
}

/// Ids of servers that no notice board names.
const FIRST_ID: u32 = 0xffff_0000;
/// A circuit's code has 12 bits.
const MOST_CIRCUITS: u16 = steprelay_signalling::HIGHEST_CIRCUIT;
/// A connection on which the peer has not come up within this holds a place for nothing. The same goes for
/// one on which it has gone down again.
const COMING_UP: Micros = 2_500_000;
/// A segmented message still needs room for its head and some of the description.
const SHORTEST: usize = 64;

fn wrong<T>(why: String) -> Result<T, M3uaConfigError> {
    Err(M3uaConfigError::Wrong(why))
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
        let place = |names: &[String], name: &str, what: &str| {
            let place = names.iter().position(|known| known == name);
            place.ok_or_else(|| M3uaConfigError::Wrong(format!("the settings name no {what} '{name}'")))
        };
        let timers = raw.timers.timers();
        let classes = raw.class.into_iter().map(|raw| {
            let class = place(&site.class_names, &raw.class, "class")?;
            Ok(CallClass { category: raw.category, class, wait: micros(raw.wait_ms) })
        });
        let clients = raw.client.into_iter().map(|raw| {
            let tenant = place(&site.tenant_names, &raw.tenant, "tenant")?;
            raw.peer(tenant, timers)
        });
        let (point_code, network) = (raw.point_code, raw.network_indicator);
        let servers = raw.server.into_iter().map(|raw| {
            let tenant = raw.calls_as.as_deref();
            let tenant = tenant.map(|tenant| place(&site.tenant_names, tenant, "tenant")).transpose()?;
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
            kept_calls: raw.kept_calls,
            classes: classes.collect::<Result<_, M3uaConfigError>>()?,
            routes: PrefixTrie::new(routes)?,
            clients: clients.collect::<Result<_, M3uaConfigError>>()?,
            servers: servers.collect::<Result<_, M3uaConfigError>>()?,
            times: raw.m3ua,
        };
        config.checked()
    }

    /// Checks what peers have to differ in.
    fn checked(self) -> Result<Self, M3uaConfigError> {
        let callers =
            self.clients.len() + self.servers.iter().filter(|server| server.tenant.is_some()).count();
        if callers > usize::from(u8::MAX) {
            return wrong("more than 255 clients".into());
        }
        for (place, client) in self.clients.iter().enumerate() {
            let context = client.config.routing_context;
            if self.clients[..place].iter().any(|other| other.config.routing_context == context) {
                return wrong(format!("client '{}': its routing context is another's too", client.name));
            }
            if client.config.min_active_asps > self.times.most_asps {
                return wrong(format!("client '{}': needed is over most_asps", client.name));
            }
        }
        for (place, class) in self.classes.iter().enumerate() {
            if self.classes[..place].iter().any(|other| other.category == class.category) {
                return wrong(format!("class: category {} is given twice", class.category));
            }
        }
        if self.times.ack_ms == 0 || self.times.ack_tries == 0 {
            return wrong("m3ua: ack_ms and ack_tries must be over 0".into());
        }
        Ok(self)
    }

    /// What the front's engine is made of.
    pub fn office(&self) -> office::Config {
        let times = &self.times;
        office::Config {
            gateway: gateway::Config {
                point_code: self.point_code,
                network: self.network,
                servers: self.clients.iter().map(|client| client.config.clone()).collect(),
                recovery_timeout: micros(times.recovery_ms),
                queue_capacity: times.queue,
                heartbeat_interval: micros(times.beat_ms),
                max_missed_heartbeats: times.beat_misses,
                asp_up_timeout: COMING_UP,
                max_asps_per_server: times.most_asps,
            },
            clients: self.clients.iter().map(|client| self.kept(&client.circuits)).collect(),
            servers: self
                .servers
                .iter()
                .map(|server| office::ServerConfig {
                    asp: asp::Config {
                        ack_timeout: micros(times.ack_ms),
                        max_attempts: times.ack_tries,
                        audit_interval: micros(times.audit_ms),
                        ..server.asp.clone()
                    },
                    circuits: self.kept(&server.circuits),
                })
                .collect(),
            destinations: self.routes.clone(),
        }
    }

    /// The same circuits, told of where standing calls are kept.
    fn kept(&self, circuits: &circuits::Config) -> circuits::Config {
        circuits::Config { reports_established: self.kept_calls.is_some(), ..circuits.clone() }
    }

    /// The place among the callers of a server that calls too.
    pub fn caller_place(&self, server: usize) -> Option<usize> {
        self.servers[server].tenant?;
        let before = self.servers[..server].iter().filter(|server| server.tenant.is_some()).count();
        Some(self.clients.len() + before)
    }

    /// The class of a caller's category.
    pub fn class(&self, category: u8) -> Option<&CallClass> {
        self.classes.iter().find(|class| class.category == category)
    }

    /// The category that tells a server the class.
    pub fn category(&self, class: usize) -> Option<u8> {
        self.classes.iter().find(|known| known.class == class).map(|known| known.category)
    }

    /// The name and the tenant of whoever calls from this place: a client, or behind these a server that
    /// calls too.
    fn caller(&self, place: usize) -> Option<(&str, usize)> {
        if let Some(client) = self.clients.get(place) {
            return Some((&client.name, client.tenant));
        }
        let mut calling = self.servers.iter().filter_map(|server| Some((&*server.name, server.tenant?)));
        calling.nth(place - self.clients.len())
    }

    pub fn caller_name(&self, place: usize) -> &str {
        self.caller(place).map_or("", |(name, _)| name)
    }

    pub fn tenant(&self, place: usize) -> usize {
        self.caller(place).map_or(usize::MAX, |(_, tenant)| tenant)
    }

    /// The entry of a server in the list of servers.
    pub fn entry(&self, place: usize, state: Readiness) -> (Entry, Way) {
        let number = self.servers[place].number;
        let server = ServerId(FIRST_ID + place as u32);
        (Entry { server, started: None, number, state }, Way::M3ua(place))
    }
}

impl RawTimers {
    fn timers(&self) -> Timers {
        let standard = Timers::default();
        let of = |ms: Option<u32>, standard| ms.map_or(standard, micros);
        Timers {
            repeat: of(self.t1_ms, standard.repeat),
            alert: of(self.t5_ms, standard.alert),
            suspended: of(self.t6_ms, standard.suspended),
            proceeding: of(self.t7_ms, standard.proceeding),
            continuity: of(self.t8_ms, standard.continuity),
            answer: of(self.t9_ms, standard.answer),
            recheck: of(self.t27_ms, standard.recheck),
            query: of(self.t28_ms, standard.query),
            segment: of(self.t34_ms, standard.segment),
            digits: of(self.t35_ms, standard.digits),
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
            self.circuits.filter(|(first, last)| first > last || *last > MOST_CIRCUITS)
        {
            return wrong(format!("client '{}': circuits {first} to {last} are none", self.name));
        }
        let on_start = self.on_start.on_start();
        if on_start != OnStart::Trust && self.circuits.is_none() {
            return wrong(format!("client '{}': on_start needs its circuits named", self.name));
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
        if self.circuits == 0 || self.circuits > MOST_CIRCUITS {
            return wrong(format!("server '{}': circuits must be 1 to {MOST_CIRCUITS}", self.name));
        }
        if self.longest.is_some_and(|longest| longest < SHORTEST) {
            return wrong(format!("server '{}': longest must be {SHORTEST} at least", self.name));
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
    fn the_file_in_the_repository_is_good() {
        let config = read(include_str!("../../../../deploy/m3ua.toml")).expect("good");
        assert_eq!(config.class(11).map(|class| class.class), Some(1));
        let first = |number: &str| config.routes.longest(number).map(|to| to.number);
        assert_eq!((first("6041"), first("99")), (Some(1), None));
    }

    #[test]
    fn the_example_of_every_key_is_good() {
        let config = read(include_str!("../../../../deploy/m3ua-full.toml")).expect("good");
        assert_eq!(config.servers[0].addresses.len(), 2);
        assert_eq!((config.caller_place(0), config.caller_name(1)), (Some(1), "archive"));
        let office = config.office();
        assert!(office.clients[0].reports_established && office.servers[0].circuits.incoming);
    }

    #[test]
    fn keys_that_do_not_fit_are_named() {
        let start = "listen = '127.0.0.1:0'\npoint_code = 1\n";
        let client = "[[client]]\nname = 'a'\npoint_code = 2\nrouting_context = 1\ntenant = 'seri-lets'\n";
        let server = "[[server]]\nname = 's'\naddress = '127.0.0.1:1'\npoint_code = 3\nrouting_context = 1\n\
                      number = 0\n";
        let class = "[[class]]\ncategory = 1\nclass = 'signing-check'\nwait_ms = 1\n";
        let route = "[[route]]\nprefix = '60x'\nnumber = 1\n";
        let table = [
            (format!("{client}circuits = [9, 3]"), "m3ua: client 'a': circuits 9 to 3 are none"),
            (format!("{client}on_start = 'query'"), "m3ua: client 'a': on_start needs its circuits named"),
            (format!("{client}needed = 9"), "m3ua: client 'a': needed is over most_asps"),
            (format!("{server}circuits = 0"), "m3ua: server 's': circuits must be 1 to 4095"),
            (format!("{server}circuits = 9\nlongest = 9"), "m3ua: server 's': longest must be 64 at least"),
            (format!("{server}circuits = 9\ncalls_as = 'x'"), "m3ua: the settings name no tenant 'x'"),
            (format!("{class}{class}"), "m3ua: class: category 1 is given twice"),
            (route.into(), "m3ua: route: prefix '60x' contains a character other than 0 to 9 and a to f"),
            ("[m3ua]\nack_ms = 0".into(), "m3ua: m3ua: ack_ms and ack_tries must be over 0"),
        ];
        for (text, told) in table {
            assert_eq!(read(&format!("{start}{text}")).expect_err("bad"), told);
        }
        let mode = read(&format!("{start}{client}mode = 'some'")).expect_err("bad");
        assert!(mode.contains("unknown variant `some`") && mode.contains("line 8"), "{mode}");
    }

    #[test]
    fn what_is_wrong_is_said_plainly() {
        let start = "listen = '127.0.0.1:0'\npoint_code = 1\n";
        let client = "[[client]]\nname = 'a'\npoint_code = 2\nrouting_context = 1\ntenant = ";
        let twice = format!("{start}{client}'seri-lets'\n{client}'seri-lets'\n");
        assert_eq!(read(&twice).expect_err("bad"), "m3ua: client 'a': its routing context is another's too");
        let unknown = read(&format!("{start}{client}'nobody'\n")).expect_err("bad");
        assert_eq!(unknown, "m3ua: the settings name no tenant 'nobody'");
    }
}
