//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use crate::config::{read_toml, Config, ConfigError, FileError};
use crate::conformance::{self, ConformanceError, RunOptions};
use crate::fleet::command::Fleet;
use crate::fleet::config::{FleetConfig, FleetConfigError};
use crate::front::m3ua::{M3uaConfig, M3uaConfigError};
use crate::serve;
use crate::snmp::SnmpConfig;
use crate::trace::{self, UnknownTrace};

/// A call agent in front of a few shared check servers.
#[derive(FromArgs)]
struct Command {
    #[argh(subcommand)]
    command: SubCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SubCommand {
    Serve(Serve),
    CheckConfig(CheckConfig),
    Conformance(Conformance),
    Fleet(Fleet),
    Version(Version),
}

/// Serve calls until told to stop (SIGTERM).
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; by default the file that LB_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// also serve M3UA, as this file configures it
    #[argh(option)]
    m3ua: Option<PathBuf>,
    /// also answer SNMP, as this file configures it
    #[argh(option)]
    snmp: Option<PathBuf>,
    /// be a member of the fleet that this file describes
    #[argh(option)]
    fleet: Option<PathBuf>,
}

/// Check the configuration and print a summary of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration; by default the file that LB_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// read the file of the M3UA front too
    #[argh(option)]
    m3ua: Option<PathBuf>,
    /// read the file of the SNMP agent too
    #[argh(option)]
    snmp: Option<PathBuf>,
    /// read the file of the fleet too
    #[argh(option)]
    fleet: Option<PathBuf>,
}

/// Run the M3UA and ISUP conformance suite against a peer on a loopback address.
#[derive(FromArgs)]
#[argh(subcommand, name = "conformance")]
struct Conformance {
    /// where the peer listens for M3UA
    #[argh(option)]
    address: SocketAddr,
    /// how the peer is configured, by the suite's names; "default" is deploy/m3ua.toml
    #[argh(option, default = "\"default\".into()")]
    profile: String,
    /// milliseconds that a case may let pass; cases that need more are not applicable
    #[argh(option, default = "0")]
    patience: u64,
    /// run only cases whose names start with this
    #[argh(option, default = "String::new()")]
    only: String,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    #[error("configuration: {0}")]
    M3ua(#[from] M3uaConfigError),
    #[error("configuration: {0}")]
    File(#[from] FileError),
    #[error("configuration: {0}")]
    Fleet(#[from] FleetConfigError),
    #[error("configuration: {0}")]
    Trace(#[from] UnknownTrace),
    #[error(transparent)]
    Conformance(#[from] ConformanceError),
    #[error(transparent)]
    Serve(#[from] serve::ServeError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

pub fn main() -> ExitCode {
    let command: Command = match parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let done = match command.command {
        SubCommand::Serve(serve) => serve.run(),
        SubCommand::CheckConfig(check) => check.run(),
        SubCommand::Conformance(asked) => asked.run(),
        SubCommand::Fleet(fleet) => return fleet.run(),
        SubCommand::Version(Version {}) => {
            println!("steprelay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("steprelay: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the command line, or returns the exit code: 2 for incorrect usage of `fleet`, which scripts call.
fn parse() -> Result<Command, ExitCode> {
    let words: Vec<String> = std::env::args_os().map(|word| word.to_string_lossy().into_owned()).collect();
    let rest: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    Command::from_args(&["steprelay"], &rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun steprelay --help for more information.", exit.output);
            ExitCode::from(if rest.first() == Some(&"fleet") { 2 } else { 1 })
        }
    })
}

impl Serve {
    fn run(self) -> Result<(), Error> {
        let config = Config::load(self.config.as_deref())?;
        let m3ua = self.m3ua.as_deref().map(|path| M3uaConfig::load(path, &config.site)).transpose()?;
        let snmp = self.snmp.as_deref().map(read_toml).transpose()?;
        let fleet = self.fleet.as_deref().map(FleetConfig::load).transpose()?;
        trace::start()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let local = tokio::task::LocalSet::new();
        Ok(local.block_on(&runtime, serve::serve(config, self.config, m3ua, snmp, fleet))?)
    }
}

impl Conformance {
    fn run(self) -> Result<(), Error> {
        let Conformance { address, profile, patience, only, json } = self;
        let patience = Duration::from_millis(patience);
        Ok(conformance::run(RunOptions { address, profile, max_wait: patience, json, name_prefix: only })?)
    }
}

impl CheckConfig {
    fn run(self) -> Result<(), Error> {
        let config = Config::load(self.config.as_deref())?;
        println!(
            "{}: listens on {}, {} classes, {} tenants, {} servers known",
            config.name,
            config.listen,
            config.site.class_names.len(),
            config.site.tenant_names.len(),
            config.known.servers.len()
        );
        if let Some(ops) = config.ops {
            println!("ops: answers on {ops}");
        }
        if let Some(path) = self.m3ua {
            let m3ua = M3uaConfig::load(&path, &config.site)?;
            println!(
                "M3UA: listens on {} as point code {}, {} clients, {} servers",
                m3ua.listen,
                m3ua.point_code,
                m3ua.clients.len(),
                m3ua.servers.len()
            );
        }
        if let Some(path) = self.snmp {
            let snmp: SnmpConfig = read_toml(&path)?;
            println!("SNMP: answers on {}", snmp.listen);
        }
        if let Some(path) = self.fleet {
            let fleet = FleetConfig::load(&path)?;
            println!(
                "fleet: {} of {} in zone {}, listens on {}, founded by {}",
                fleet.name,
                fleet.cluster,
                fleet.zone,
                fleet.listen,
                fleet.founders.join(", ")
            );
        }
        Ok(())
    }
}
