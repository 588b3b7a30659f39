//! `steprelay fleet`: the operators' commands and their output. Exit code 0 for done, 1 for refused or not
//! possible now, 2 for incorrect usage.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use steprelay_fleet::Millis;

use super::config::{check_name, FleetConfig, FleetConfigError};
use super::control::{send_request, ControlError, CopyRow, MaintenanceRow, MemberRow, Request, Response};

/// Interval at which `work wait` polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which `work wait` tolerates a program that restarts or a cluster without a leader.
const MAX_UNAVAILABLE: Duration = Duration::from_secs(30);

/// Query and control the fleet through the call agent on this machine.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    /// the fleet file that the call agent uses
    #[argh(option)]
    fleet: PathBuf,
    #[argh(subcommand)]
    command: FleetCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum FleetCommand {
    Members(Members),
    Work(Work),
    Roll(Roll),
    Explain(Explain),
    Forget(Forget),
    Pause(Pause),
    Resume(Resume),
    Refound(Refound),
    Copies(CopiesCommand),
}

/// Start no work on machines until `resume`; machines that are out return as usual.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
struct Pause {
    /// the reason, shown to those who ask why a machine waits
    #[argh(option, default = "String::from(\"staff said so\")")]
    reason: String,
}

/// Allow work on machines again.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
struct Resume {}

/// List the streams of call records that this member writes or holds copies of.
#[derive(FromArgs)]
#[argh(subcommand, name = "copies")]
struct CopiesCommand {
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// List the members and their state.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Manage work on machines.
#[derive(FromArgs)]
#[argh(subcommand, name = "work")]
struct Work {
    #[argh(subcommand)]
    command: WorkCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum WorkCommand {
    Add(Add),
    List(List),
    Show(Show),
    Withdraw(Withdraw),
    Extend(Extend),
    Done(Done),
    Wait(Wait),
}

/// Request work on a machine: a call agent's by its name, a check server's by its id.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    #[argh(positional)]
    machine: String,
    /// how long it may be out: 90s, 10m, 2h
    #[argh(option, long = "for", from_str_fn(duration))]
    for_: Millis,
    /// the reason, shown in the list
    #[argh(option, default = "String::new()")]
    reason: String,
    /// a machine whose work must be over first; may be given more than once
    #[argh(option)]
    after: Vec<String>,
    /// how long the request stays valid if it is not granted
    #[argh(option, from_str_fn(duration))]
    within: Option<Millis>,
}

/// List the requested work and its state.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Show the work on one machine.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    #[argh(positional)]
    machine: String,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Withdraw a request; a machine that is out returns.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    #[argh(positional)]
    machine: String,
}

/// Give a machine more time.
#[derive(FromArgs)]
#[argh(subcommand, name = "extend")]
struct Extend {
    #[argh(positional)]
    machine: String,
    /// how much more: 90s, 10m, 2h
    #[argh(option, long = "for", from_str_fn(duration))]
    for_: Millis,
}

/// Report that the work is over: the machine returns.
#[derive(FromArgs)]
#[argh(subcommand, name = "done")]
struct Done {
    #[argh(positional)]
    machine: String,
}

/// Wait until a machine is out. Exit code 1 if that will not happen.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct Wait {
    #[argh(positional)]
    machine: String,
    /// give up after this: 90s, 10m, 2h
    #[argh(option, from_str_fn(duration))]
    within: Option<Millis>,
}

/// Request work on all machines, or on those of a zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "roll")]
struct Roll {
    /// the machines of this zone
    #[argh(option)]
    zone: Option<String>,
    /// all machines
    #[argh(switch)]
    all: bool,
    /// how long each may be out: 90s, 10m, 2h
    #[argh(option, long = "for", from_str_fn(duration), default = "600_000")]
    for_: Millis,
    /// the reason, shown in the list
    #[argh(option, default = "\"roll\".into()")]
    reason: String,
}

/// Explain why work on a machine has not been granted yet.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    #[argh(positional)]
    machine: String,
}

/// Remove a machine that is lost for good: it no longer counts as out.
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
struct Forget {
    #[argh(positional)]
    machine: String,
}

/// Found a new council from this member's state, after the majority of the old one is lost for good.
#[derive(FromArgs)]
#[argh(subcommand, name = "refound")]
struct Refound {}

const RISK: &str = "\
A new council is founded from what this member knows. What the old one agreed after that is lost: a machine \
that it let go then is not counted as out. Should a majority of the old one come back, its members follow \
the new one. Do this on one member only.";

#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("configuration: {0}")]
    Config(#[from] FleetConfigError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("{0}")]
    Refused(String),
    #[error("{0}")]
    Usage(String),
}

/// Parses a duration of a command line, such as `90s`, into milliseconds.
pub fn duration(text: &str) -> Result<Millis, String> {
    let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return Err(format!("'{text}' is not a duration: 90s, 10m, 2h")),
    };
    let number: Millis = number.parse().map_err(|_| format!("'{text}' is not a duration: 90s, 10m, 2h"))?;
    match number.checked_mul(factor) {
        Some(time) if time > 0 && time <= 366 * 86_400_000 => Ok(time),
        _ => Err(format!("'{text}' is not between 1ms and a year")),
    }
}

impl Fleet {
    pub fn run(self) -> ExitCode {
        match self.carry_out() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("steprelay: {error}");
                ExitCode::from(if matches!(error, CommandError::Usage(_)) { 2 } else { 1 })
            }
        }
    }

    fn carry_out(self) -> Result<(), CommandError> {
        let config = FleetConfig::load(&self.fleet)?;
        let ask = |request: Request| match send_request(&config.directory, &request)? {
            Response::Refused { why } => Err(CommandError::Refused(why)),
            response => Ok(response),
        };
        match self.command {
            FleetCommand::Members(Members { json }) => {
                let members = members(ask(Request::Members)?);
                if json {
                    return print_json(&members);
                }
                let rows = members.into_iter().map(|row| {
                    let part = match (row.leader, row.voter) {
                        (true, _) => "leads",
                        (false, true) => "votes",
                        (false, false) => "",
                    };
                    vec![row.name, row.zone, row.state, part.into(), row.version, row.address]
                });
                print_table(["NAME", "ZONE", "STATE", "COUNCIL", "VERSION", "ADDRESS"], rows);
            }
            FleetCommand::Explain(Explain { machine }) => {
                if let Response::Text { text } = ask(Request::Explain { machine })? {
                    println!("{text}");
                }
            }
            FleetCommand::Forget(Forget { machine }) => drop(ask(Request::Forget { machine })?),
            FleetCommand::Pause(Pause { reason }) => drop(ask(Request::Pause { reason: Some(reason) })?),
            FleetCommand::Resume(Resume {}) => drop(ask(Request::Pause { reason: None })?),
            FleetCommand::Refound(Refound {}) => {
                println!("{RISK}");
                ask(Request::Refound)?;
            }
            FleetCommand::Copies(CopiesCommand { json }) => {
                let rows = match ask(Request::Copies)? {
                    Response::Copies { copies } => copies,
                    _ => Vec::new(),
                };
                if json {
                    return print_json(&rows);
                }
                let tolerance = loss_tolerance(&rows, &config);
                let rows = rows.into_iter().map(|row| {
                    let (epoch, records) = (row.epoch.to_string(), row.records.to_string());
                    let holders = row.holders.join(", ");
                    vec![row.stream, row.writer, epoch, records, row.under_copied.to_string(), holders]
                });
                print_table(["STREAM", "WRITER", "EPOCH", "RECORDS", "UNDER-COPIED", "HELD BY"], rows);
                println!("{} may be lost now: {tolerance}", config.name);
            }
            FleetCommand::Roll(roll) => return roll.run(ask),
            FleetCommand::Work(Work { command }) => return command.run(ask),
        }
        Ok(())
    }
}

/// Says whether the member's machine may be lost with its disk without losing a call, or why not.
fn loss_tolerance(rows: &[CopyRow], config: &FleetConfig) -> String {
    let copies = config.copies.map_or(0, |copies| copies.limits.replicas);
    let own = || rows.iter().filter(|row| row.writer == config.name && row.records > 0);
    let under_replicated: u64 = own().map(|row| row.under_copied).sum();
    match own().map(|row| row.holders.len()).min() {
        Some(0) => "no: nobody holds its promises".into(),
        _ if under_replicated > 0 => {
            format!("no: {under_replicated} of its promises are held by fewer than {copies} others")
        }
        Some(holders) if holders < copies => {
            format!("yes, and no other after it: {holders} of {copies} hold copies")
        }
        _ => "yes".into(),
    }
}

impl Roll {
    fn run(self, ask: impl Fn(Request) -> Result<Response, CommandError>) -> Result<(), CommandError> {
        if self.all == self.zone.is_some() {
            return Err(CommandError::Usage("give a zone with --zone, or --all".into()));
        }
        let members = members(ask(Request::Members)?);
        let in_zone = |row: &&MemberRow| self.zone.as_ref().is_none_or(|zone| row.zone == *zone);
        let names: Vec<&MemberRow> = members.iter().filter(in_zone).collect();
        if names.is_empty() {
            return Err(CommandError::Refused("no member is in that zone".into()));
        }
        let mut refused = Vec::new();
        for row in names {
            let (machine, reason) = (row.name.clone(), self.reason.clone());
            let request =
                Request::Add { machine, for_ms: self.for_, reason, after: Vec::new(), within_ms: None };
            match ask(request) {
                Ok(_) => println!("{}: requested", row.name),
                Err(CommandError::Refused(why)) => refused.push(format!("{}: {why}", row.name)),
                Err(error) => return Err(error),
            }
        }
        if refused.is_empty() {
            return Ok(());
        }
        Err(CommandError::Refused(refused.join("\n")))
    }
}

impl WorkCommand {
    fn run(self, ask: impl Fn(Request) -> Result<Response, CommandError>) -> Result<(), CommandError> {
        match self {
            WorkCommand::Add(Add { machine, for_, reason, after, within }) => {
                for name in after.iter().chain([&machine]) {
                    check_name(name).map_err(CommandError::Usage)?;
                }
                ask(Request::Add { machine, for_ms: for_, reason, after, within_ms: within })?;
            }
            WorkCommand::Extend(Extend { machine, for_ }) => {
                ask(Request::Extend { machine, more_ms: for_ })?;
            }
            WorkCommand::Withdraw(Withdraw { machine }) => drop(ask(Request::Withdraw { machine })?),
            WorkCommand::Done(Done { machine }) => drop(ask(Request::Done { machine })?),
            WorkCommand::List(List { json }) => show(work(ask(Request::Work)?), json)?,
            WorkCommand::Show(Show { machine, json }) => {
                let mut rows = work(ask(Request::Work)?);
                rows.retain(|row| row.machine == machine);
                if rows.is_empty() {
                    return Err(CommandError::Refused(format!("no work on {machine} was requested")));
                }
                show(rows, json)?;
            }
            WorkCommand::Wait(Wait { machine, within }) => return wait(&machine, within, ask),
        }
        Ok(())
    }
}

fn wait(
    machine: &str,
    within: Option<Millis>,
    ask: impl Fn(Request) -> Result<Response, CommandError>,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut last_response = started;
    loop {
        match ask(Request::Work) {
            Ok(response) => {
                last_response = Instant::now();
                let row = work(response).into_iter().find(|row| row.machine == machine);
                match row.as_ref().map_or("", |row| row.state.as_str()) {
                    "out" => return Ok(()),
                    "requested" | "granted" | "draining" => {}
                    "" => {
                        return Err(CommandError::Refused(format!("no work on {machine} was requested")));
                    }
                    state => return Err(CommandError::Refused(format!("work on {machine} is {state}"))),
                }
            }
            // The program may be restarting; the wait is limited.
            Err(error) if last_response.elapsed() >= MAX_UNAVAILABLE => return Err(error),
            Err(CommandError::Control(_)) => {}
            Err(error) => return Err(error),
        }
        if within.is_some_and(|within| started.elapsed() >= Duration::from_millis(within)) {
            return Err(CommandError::Refused(format!("{machine} is not out yet")));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn members(response: Response) -> Vec<MemberRow> {
    match response {
        Response::Members { members } => members,
        _ => Vec::new(),
    }
}

fn work(response: Response) -> Vec<MaintenanceRow> {
    match response {
        Response::Work { work } => work,
        _ => Vec::new(),
    }
}

fn show(rows: Vec<MaintenanceRow>, json: bool) -> Result<(), CommandError> {
    if json {
        return print_json(&rows);
    }
    let rows = rows.into_iter().map(|row| {
        let due = match row.due_s {
            Some(due) if due < 0 => format!("overdue for {} s", -due),
            Some(due) => format!("due in {due} s"),
            None => String::new(),
        };
        let grant = row.grant.map_or_else(String::new, |grant| grant.to_string());
        vec![
            row.machine,
            row.state,
            grant,
            format!("{} s", row.since_s),
            due,
            row.after.join(" "),
            row.reason,
        ]
    });
    print_table(["MACHINE", "STATE", "GRANT", "FOR", "", "AFTER", "REASON"], rows);
    Ok(())
}

fn print_json<T: serde::Serialize>(rows: &T) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string_pretty(rows).map_err(ControlError::NotJson)?);
    Ok(())
}

fn print_table<const N: usize>(head: [&str; N], rows: impl Iterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(head).add_rows(rows);
    println!("{table}");
}

#[cfg(test)]
mod tests {
    use super::duration;

    #[test]
    fn durations_are_parsed() {
        for (text, time) in
            [("10m", 600_000), ("90s", 90_000), ("2h", 7_200_000), ("250ms", 250), ("1d", 86_400_000)]
        {
            assert_eq!(duration(text), Ok(time));
        }
        for text in ["", "10", "m", "-1s", "0s", "1.5h", "10 m", "99999999999999999999s", "400d"] {
            assert!(duration(text).is_err(), "{text}");
        }
    }
}
