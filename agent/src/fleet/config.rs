//! The file that `--fleet` names: the same for all members of a cluster except for names and addresses.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use steprelay_copies::primary::ReplicationPolicy;
use steprelay_fleet::messages::{MAJOR, MINOR};
use steprelay_fleet::scheduler::Limits;
use steprelay_fleet::Millis;
use toml::Spanned;

/// Maximum length of the name of a cluster, member or zone.
const MAX_NAME_LENGTH: usize = 64;
/// Limits of the number of seeds and of founders.
const MAX_SEEDS: usize = 64;
const MAX_FOUNDERS: usize = 5;
/// Limit of the replicas of a stream.
const MAX_REPLICAS: usize = 8;
/// Limit of `calm_s`: a cluster that has to be calm for longer than a day before an approval would never
/// approve.
const MAX_CALM_SECONDS: f64 = 86_400.0;

#[derive(Debug, thiserror::Error)]
pub enum FleetConfigError {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{}: {error}", path.display())]
    NotToml { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{}, line {line}, {key}: {why}", path.display())]
    Invalid { path: PathBuf, line: usize, key: &'static str, why: String },
}

/// The validated contents of the file.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub cluster: String,
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    /// The address at which other members reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub founders: Vec<String>,
    /// Directory of the persisted state, relative to the file.
    pub directory: PathBuf,
    pub limits: Limits,
    /// Capacity in thousandths of a set-up per second; 0 where it is not known.
    pub capacity_milli: u64,
    /// The minor protocol version to use.
    pub minor: u16,
    /// Replication of the call records; off where this is `None`.
    pub copies: Option<CopiesConfig>,
}

/// The validated table `[copies]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopiesConfig {
    pub limits: ReplicationPolicy,
    /// Callers are answered once enough replicas are acknowledged; else at once.
    pub after_copies: bool,
    /// Set-ups are refused while too few members can hold replicas; else they are served without replication.
    pub refuse_short: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    cluster: Spanned<String>,
    name: Spanned<String>,
    #[serde(default = "no_zone")]
    zone: Spanned<String>,
    listen: Spanned<String>,
    advertise: Option<Spanned<String>>,
    #[serde(default = "none")]
    seeds: Spanned<Vec<String>>,
    founders: Spanned<Vec<String>>,
    directory: Spanned<PathBuf>,
    #[serde(default)]
    beyond_loopback: bool,
    speaks: Option<Spanned<String>>,
    #[serde(default)]
    work: RawWork,
    copies: Option<RawCopies>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawCopies {
    copies: Spanned<usize>,
    needed: Spanned<usize>,
    answer: Spanned<String>,
    when_short: Spanned<String>,
    directory: Option<Spanned<PathBuf>>,
}

impl Default for RawCopies {
    fn default() -> Self {
        RawCopies {
            copies: Spanned::new(0..0, 2),
            needed: Spanned::new(0..0, 1),
            answer: Spanned::new(0..0, "after-copies".into()),
            when_short: Spanned::new(0..0, "serve".into()),
            directory: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawWork {
    most_out: Spanned<u32>,
    reserve: Spanned<f64>,
    calm_s: Spanned<f64>,
    capacity: Spanned<f64>,
}

impl Default for RawWork {
    fn default() -> Self {
        RawWork {
            most_out: Spanned::new(0..0, 1),
            reserve: Spanned::new(0..0, 0.2),
            calm_s: Spanned::new(0..0, 30.0),
            capacity: Spanned::new(0..0, 0.0),
        }
    }
}

fn no_zone() -> Spanned<String> {
    Spanned::new(0..0, "default".into())
}

fn none() -> Spanned<Vec<String>> {
    Spanned::new(0..0, Vec::new())
}

/// Validates values and reports the line of an invalid one.
struct Checker<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Checker<'_> {
    fn invalid(&self, span: Range<usize>, key: &'static str, why: impl Into<String>) -> FleetConfigError {
        let line = 1 + self.text.bytes().take(span.start).filter(|byte| *byte == b'\n').count();
        FleetConfigError::Invalid { path: self.path.into(), line, key, why: why.into() }
    }

    fn name(&self, name: &Spanned<String>, key: &'static str) -> Result<String, FleetConfigError> {
        check_name(name.get_ref()).map_err(|why| self.invalid(name.span(), key, why))?;
        Ok(name.get_ref().clone())
    }

    fn address(
        &self,
        text: &str,
        span: Range<usize>,
        key: &'static str,
        anywhere: bool,
    ) -> Result<SocketAddr, FleetConfigError> {
        let address: SocketAddr = text.parse().map_err(|_| {
            self.invalid(
                span.clone(),
                key,
                format!("'{}' is not an address with a port", text.escape_debug()),
            )
        })?;
        if !anywhere && !address.ip().is_loopback() {
            let why = format!("{address} is not a loopback address; beyond_loopback = true allows it");
            return Err(self.invalid(span, key, why));
        }
        Ok(address)
    }

    /// Whether the value is `one`; it must be `one` or `other`.
    fn either(
        &self,
        value: &Spanned<String>,
        key: &'static str,
        one: &str,
        other: &str,
    ) -> Result<bool, FleetConfigError> {
        match value.get_ref().as_str() {
            text if text == one => Ok(true),
            text if text == other => Ok(false),
            _ => Err(self.invalid(value.span(), key, format!("\"{one}\" or \"{other}\""))),
        }
    }

    fn copies(&self, raw: &RawCopies) -> Result<CopiesConfig, FleetConfigError> {
        let (replicas, required_acks) = (*raw.copies.get_ref(), *raw.needed.get_ref());
        if !(1..=MAX_REPLICAS).contains(&replicas) {
            return Err(self.invalid(raw.copies.span(), "copies.copies", format!("1 to {MAX_REPLICAS}")));
        }
        if required_acks > replicas {
            return Err(self.invalid(
                raw.needed.span(),
                "copies.needed",
                format!("more than the copies, {replicas}"),
            ));
        }
        let after_copies = self.either(&raw.answer, "copies.answer", "after-copies", "at-once")?;
        if after_copies && required_acks == 0 {
            let why = "0 needs no acknowledgement; use answer = \"at-once\"";
            return Err(self.invalid(raw.needed.span(), "copies.needed", why));
        }
        if let Some(directory) = &raw.directory {
            let why = "copies on disk are not supported";
            return Err(self.invalid(directory.span(), "copies.directory", why));
        }
        Ok(CopiesConfig {
            limits: ReplicationPolicy { replicas, required_acks },
            after_copies,
            refuse_short: self.either(&raw.when_short, "copies.when_short", "refuse", "serve")?,
        })
    }

    /// A value from 0 to `most`.
    fn bounded(&self, value: &Spanned<f64>, key: &'static str, most: f64) -> Result<f64, FleetConfigError> {
        let number = *value.get_ref();
        if (0.0..=most).contains(&number) {
            return Ok(number);
        }
        Err(self.invalid(value.span(), key, format!("{number} is not between 0 and {most}")))
    }
}

/// Checks a name of a member, a zone or a cluster.
///
/// # Errors
/// The name is empty, too long or has other characters than the allowed ones.
pub fn check_name(name: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        return Err(format!(
            "'{}' is not a valid name: 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'",
            name.escape_debug()
        ));
    }
    Ok(())
}

/// The number of a check server, from its name on the platform, such as `s-0000000a`.
pub fn server_number(name: &str) -> Option<u32> {
    let hex = name.strip_prefix("s-").filter(|hex| (1..=8).contains(&hex.len()))?;
    u32::from_str_radix(hex, 16).ok()
}

impl FleetConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// The file cannot be read, or a value is invalid; the error names the file, the line and the key.
    pub fn load(path: &Path) -> Result<Self, FleetConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FleetConfigError::Unreadable { path: path.into(), error })?;
        Self::read(path, &text)
    }

    fn read(path: &Path, text: &str) -> Result<Self, FleetConfigError> {
        let raw: Raw = toml::from_str(text)
            .map_err(|error| FleetConfigError::NotToml { path: path.into(), error: Box::new(error) })?;
        let check = Checker { path, text };
        let anywhere = raw.beyond_loopback;
        let name = check.name(&raw.name, "name")?;
        if server_number(&name).is_some() {
            return Err(check.invalid(raw.name.span(), "name", format!("'{name}' names a check server")));
        }
        let one =
            |address: &Spanned<String>, key| check.address(address.get_ref(), address.span(), key, anywhere);
        let seeds = raw.seeds.get_ref();
        if seeds.len() > MAX_SEEDS {
            return Err(check.invalid(raw.seeds.span(), "seeds", format!("more than {MAX_SEEDS}")));
        }
        let founders = raw.founders.get_ref();
        let named = |why: String| check.invalid(raw.founders.span(), "founders", why);
        if founders.is_empty() || founders.len() > MAX_FOUNDERS {
            return Err(named(format!("1 to {MAX_FOUNDERS} names, best 3 or 5")));
        }
        for (place, founder) in founders.iter().enumerate() {
            check_name(founder).map_err(named)?;
            if founders[..place].contains(founder) {
                return Err(named(format!("'{founder}' is listed twice")));
            }
        }
        if raw.directory.get_ref().as_os_str().is_empty() {
            return Err(check.invalid(raw.directory.span(), "directory", "no directory is named"));
        }
        let work = &raw.work;
        if *work.most_out.get_ref() == 0 {
            return Err(check.invalid(
                work.most_out.span(),
                "work.most_out",
                "0 would never allow work on a machine",
            ));
        }
        let minor = match &raw.speaks {
            None => MINOR,
            Some(speaks) => {
                (0..=MINOR).find(|minor| *speaks.get_ref() == format!("{MAJOR}.{minor}")).ok_or_else(
                    || check.invalid(speaks.span(), "speaks", format!("{MAJOR}.0 to {MAJOR}.{MINOR}")),
                )?
            }
        };
        let copies = raw.copies.as_ref().map(|copies| check.copies(copies)).transpose()?;
        Ok(FleetConfig {
            minor,
            copies,
            cluster: check.name(&raw.cluster, "cluster")?,
            zone: check.name(&raw.zone, "zone")?,
            listen: one(&raw.listen, "listen")?,
            advertise: raw.advertise.as_ref().map(|address| one(address, "advertise")).transpose()?,
            seeds: seeds
                .iter()
                .map(|seed| check.address(seed, raw.seeds.span(), "seeds", anywhere))
                .collect::<Result<_, _>>()?,
            founders: founders.clone(),
            directory: path.parent().unwrap_or(Path::new("")).join(raw.directory.get_ref()),
            limits: Limits {
                max_out: *work.most_out.get_ref(),
                reserve: check.bounded(&work.reserve, "work.reserve", 100.0)?,
                calm_ms: (check.bounded(&work.calm_s, "work.calm_s", MAX_CALM_SECONDS)? * 1000.0) as Millis,
            },
            capacity_milli: (check.bounded(&work.capacity, "work.capacity", 1e9)? * 1000.0) as u64,
            name,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"cluster = "kl"
name = "n1"
zone = "z1"
listen = "127.0.0.1:7801"
seeds = ["127.0.0.2:7801"]
founders = ["n1", "n2", "n3"]
directory = "state"

[work]
most_out = 1
reserve = 1
calm_s = 2.5
"#;

    #[test]
    fn a_valid_file_is_read_with_its_limits() {
        let config = FleetConfig::read(Path::new("/etc/fleet/n1.toml"), VALID).expect("good");
        assert_eq!(config.directory, Path::new("/etc/fleet/state"));
        assert_eq!(config.limits, Limits { max_out: 1, reserve: 1.0, calm_ms: 2_500 });
        assert_eq!(config.copies, None, "off without its table");
        let config =
            FleetConfig::read(Path::new("n1.toml"), &format!("{VALID}[copies]\n")).expect("defaults");
        let limits = ReplicationPolicy { replicas: 2, required_acks: 1 };
        assert_eq!(config.copies, Some(CopiesConfig { limits, after_copies: true, refuse_short: false }));
        let short = VALID.split("[work]").next().expect("a part");
        let config = FleetConfig::read(Path::new("n1.toml"), short).expect("defaults");
        assert_eq!(config.limits, Limits { max_out: 1, reserve: 0.2, calm_ms: 30_000 });
    }

    #[test]
    fn errors_name_the_file_line_and_key() {
        for (from, to, said) in [
            ("\"kl\"", "\"\"", "f.toml, line 1, cluster: '' is not a valid name"),
            ("\"n1\"\nzone", "\"s-0a\"\nzone", "f.toml, line 2, name: 's-0a' names a check server"),
            (
                "\"127.0.0.1:7801\"",
                "\"here\"",
                "f.toml, line 4, listen: 'here' is not an address with a port",
            ),
            ("\"127.0.0.1:7801\"", "\"10.0.0.1:1\"", "f.toml, line 4, listen: 10.0.0.1:1 is not a loopback"),
            ("[\"127.0.0.2:7801\"]", "[\"x\"]", "f.toml, line 5, seeds: 'x' is not an address"),
            ("\"n2\", \"n3\"", "\"n1\"", "f.toml, line 6, founders: 'n1' is listed twice"),
            ("[\"n1\", \"n2\", \"n3\"]", "[]", "f.toml, line 6, founders: 1 to 5 names"),
            ("\"state\"", "\"\"", "f.toml, line 7, directory: no directory"),
            ("most_out = 1", "most_out = 0", "f.toml, line 10, work.most_out: 0 would"),
            ("reserve = 1", "reserve = -1", "f.toml, line 11, work.reserve: -1 is not between"),
            ("calm_s = 2.5", "calm_s = 1e9", "f.toml, line 12, work.calm_s: 1000000000 is not"),
            ("calm_s = 2.5", "calm = 2.5", "line 12"),
            ("directory", "speaks = \"1.9\"\ndirectory", "f.toml, line 7, speaks: 1.0 to 1."),
            ("[work]", "[copies]\ncopies = 9\n[work]", "f.toml, line 10, copies.copies: 1 to 8"),
            (
                "[work]",
                "[copies]\nneeded = 3\n[work]",
                "f.toml, line 10, copies.needed: more than the copies, 2",
            ),
            (
                "[work]",
                "[copies]\nneeded = 0\n[work]",
                "f.toml, line 10, copies.needed: 0 needs no acknowledgement",
            ),
            (
                "[work]",
                "[copies]\nanswer = \"soon\"\n[work]",
                "f.toml, line 10, copies.answer: \"after-copies\" or",
            ),
            (
                "[work]",
                "[copies]\nwhen_short = \"\"\n[work]",
                "f.toml, line 10, copies.when_short: \"refuse\" or",
            ),
            (
                "[work]",
                "[copies]\ndirectory = \"d\"\n[work]",
                "f.toml, line 10, copies.directory: copies on disk",
            ),
        ] {
            assert!(VALID.contains(from), "{from}");
            let text = VALID.replacen(from, to, 1);
            let error = FleetConfig::read(Path::new("f.toml"), &text).expect_err(said).to_string();
            assert!(error.contains(said), "{error} does not say {said}");
        }
    }

    #[test]
    fn check_server_names_are_recognized() {
        assert_eq!(server_number("s-0000000a"), Some(10));
        assert_eq!(server_number("s-"), None);
        assert_eq!(server_number("n1"), None);
    }
}
