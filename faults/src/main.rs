//! `steprelay-faults`: runs the fault-injecting proxy with a plan and records its decisions.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use steprelay_faults::plan::Plan;
use steprelay_faults::relay::Relay;
use tokio::signal::unix::{signal, SignalKind};

/// A relay that brings about faults, decided by a seed and repeatable.
#[derive(FromArgs)]
struct Command {
    #[argh(subcommand)]
    command: SubCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SubCommand {
    Check(Check),
    Run(Run),
}

/// Read a plan and say what is wrong with it, or what it holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the plan, as JSON
    #[argh(positional)]
    plan: PathBuf,
}

/// Relay as a plan says until told to stop (SIGTERM or SIGINT).
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the plan, as JSON
    #[argh(positional)]
    plan: PathBuf,
    /// another seed than the plan's
    #[argh(option)]
    seed: Option<u64>,
    /// where to write what was decided, a line each, at the end
    #[argh(option)]
    record: Option<PathBuf>,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: std::io::Error },
    #[error("{}, line {}, column {}: {error}", path.display(), error.line(), error.column())]
    Plan { path: PathBuf, error: serde_json::Error },
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

fn load_plan(path: &Path) -> Result<Plan, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::File { path: path.into(), error })?;
    serde_json::from_str(&text).map_err(|error| Error::Plan { path: path.into(), error })
}

fn main() -> ExitCode {
    let command: Command = argh::from_env();
    let result = match command.command {
        SubCommand::Check(check) => load_plan(&check.plan).map(|plan| {
            println!("seed {}, {} links, {} rules", plan.seed, plan.links.len(), plan.rules.len());
        }),
        SubCommand::Run(run) => run.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("steprelay-faults: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Run {
    fn run(self) -> Result<(), Error> {
        let mut plan = load_plan(&self.plan)?;
        plan.seed = self.seed.unwrap_or(plan.seed);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            let names: Vec<String> = plan.links.iter().map(|link| link.name.clone()).collect();
            let relay = Relay::start(plan)?;
            for (name, address) in names.iter().zip(relay.addresses()) {
                eprintln!("steprelay-faults: link {name} on {address}");
            }
            let (mut terminate, mut interrupt) =
                (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if let Some(path) = self.record {
                let mut lines = Vec::new();
                for decision in relay.decisions() {
                    serde_json::to_writer(&mut lines, &decision).map_err(std::io::Error::from)?;
                    lines.write_all(b"\n")?;
                }
                std::fs::write(&path, lines).map_err(|error| Error::File { path, error })?;
            }
            Ok(())
        })
    }
}
