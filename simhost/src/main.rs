//! The simulator's adapter. It reads messages as lines from standard input, passes them to one controller per
//! instance, and writes the controllers' actions to standard output. It makes no decisions itself.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use steprelay_decisions::{Action, Controller, Entry, Event, Micros};
use wire::{Fields, LineError};

/// The controllers of all instances, and the state of the input.
#[derive(Default)]
struct Host {
    /// Time of the current batch; `None` before the first one.
    now: Option<Micros>,
    batch: String,
    controllers: BTreeMap<String, Controller>,
    /// Server lists by their reference number.
    lists: BTreeMap<u32, Vec<Entry>>,
    /// The list that is being read: its reference number and the number of missing entries.
    incomplete_list: Option<(u32, u64)>,
    /// Unknown message names that have been logged.
    unknown_messages: BTreeSet<String>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line. Returns `true` when a reply is complete and has to be written.
    fn handle_line(&mut self, line: &str, out: &mut String) -> Result<bool, LineError> {
        let (name, rest) = line.split_once('\t').unwrap_or((line, ""));
        let mut fields = Fields::new(rest);
        if let Some((list, missing)) = self.incomplete_list {
            if missing > 0 {
                if name != "m" {
                    return Err(LineError::new("entries", "the list has fewer entries than announced"));
                }
                self.lists.entry(list).or_default().push(wire::parse_entry(&mut fields)?);
                self.incomplete_list = Some((list, missing - 1));
                return Ok(false);
            }
        }
        match name {
            "" => return Ok(false),
            "turn" => {
                self.now = Some(fields.time("clock")?);
                self.batch = fields.text("batch")?.to_string();
            }
            "end" => {
                out.push_str("yield\t");
                out.push_str(&self.batch);
                out.push('\n');
                return Ok(true);
            }
            "census" => {
                let list = fields.number("ref")?;
                let entries: u64 = fields.number("elements")?;
                self.lists.insert(list, Vec::new());
                self.incomplete_list = Some((list, entries));
            }
            "m" => return Err(LineError::new("m", "list entry outside a list")),
            "power_on" => {
                let node = fields.text("nodeId")?.to_string();
                let seed = fields.seed("randomSeed")?;
                let settings = wire::parse_settings(fields.rest("setup")?)?;
                let now = self.batch_time()?;
                self.controllers.insert(node, Controller::new(settings, seed, now));
            }
            "retire" => {
                let node = fields.text("nodeId")?;
                if self.controllers.remove(node).is_none() {
                    return Err(LineError::new("nodeId", "unknown instance"));
                }
            }
            _ => return self.handle_event(name, &mut fields, out).map(|()| false),
        }
        Ok(false)
    }

    fn batch_time(&self) -> Result<Micros, LineError> {
        self.now.ok_or_else(|| LineError::new("turn", "event before the first batch"))
    }

    /// Passes an event to its controller and writes the resulting actions. A panic of a controller is
    /// reported to the simulator.
    fn handle_event(&mut self, name: &str, fields: &mut Fields, out: &mut String) -> Result<(), LineError> {
        if !wire::EVENT_NAMES.contains(&name) {
            if self.unknown_messages.insert(name.to_string()) {
                eprintln!("steprelay-benchlink: skipping unknown message '{}'", name.escape_debug());
            }
            return Ok(());
        }
        let now = self.batch_time()?;
        let node = fields.text("nodeId")?;
        let mut bytes = Vec::new();
        let event: Event = match name {
            "registry" => {
                let kind = wire::parse_list_kind(fields.text("mode")?)?;
                fields.text("version")?;
                let entries = match kind {
                    steprelay_decisions::ListKind::Failed => &[],
                    _ => {
                        let list: u32 = fields.number("ref")?;
                        self.lists.get(&list).ok_or_else(|| LineError::new("ref", "unknown list"))?.as_slice()
                    }
                };
                Event::ServerList { kind, entries }
            }
            _ => wire::parse_event(name, fields, &mut bytes)?,
        };
        let Some(controller) = self.controllers.get_mut(node) else {
            return Err(LineError::new("nodeId", "unknown instance"));
        };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions))) {
            Ok(()) => {
                for action in self.actions.iter() {
                    wire::write_action(out, node, now, action);
                }
            }
            Err(panic) => {
                let text = panic
                    .downcast_ref::<&str>()
                    .map(|text| text.to_string())
                    .or_else(|| panic.downcast_ref::<String>().cloned())
                    .unwrap_or_default();
                let text = text.replace(['\n', '\t', '\r'], " ");
                out.push_str(&format!("exception\t{node}\tthe decision module panicked: {text}\n"));
            }
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    let mut raw_line = Vec::new();
    let mut reply = String::new();
    for number in 1u64.. {
        raw_line.clear();
        match input.read_until(b'\n', &mut raw_line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                eprintln!("steprelay-benchlink: line {number}: cannot read: {error}");
                return ExitCode::FAILURE;
            }
        }
        let handled = std::str::from_utf8(&raw_line)
            .map_err(|_| LineError::new("line", "not UTF-8"))
            .and_then(|line| host.handle_line(line.trim_end_matches(['\n', '\r']), &mut reply));
        match handled {
            Ok(false) => {}
            Ok(true) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    eprintln!("steprelay-benchlink: line {number}: cannot write the reply");
                    return ExitCode::FAILURE;
                }
                reply.clear();
            }
            Err(error) => {
                eprintln!("steprelay-benchlink: line {number}: field '{}': {}", error.field, error.reason);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
