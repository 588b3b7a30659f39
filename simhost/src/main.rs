//! Reads the wire on standard input, hosts one controller an instance and writes replies. Decides nothing.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use steprelay_decisions::{Action, Controller, Entry, Event, Micros};
use wire::{Bad, Fields};

#[derive(Default)]
struct Host {
    now: Option<Micros>,
    batch: String,
    nodes: BTreeMap<String, Controller>,
    lists: BTreeMap<u32, Vec<Entry>>,
    /// The list that is being read: its number and how many entries are still to come.
    filling: Option<(u32, u64)>,
    unknown: BTreeSet<String>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line; true when a reply is complete and has to be flushed.
    fn line(&mut self, line: &str, out: &mut String) -> Result<bool, Bad> {
        let (name, rest) = line.split_once('\t').unwrap_or((line, ""));
        let mut fields = Fields::new(rest);
        if let Some((list, left)) = self.filling {
            if left > 0 {
                if name != "m" {
                    return Err(Bad::new("entries", "fewer list entries than announced"));
                }
                self.lists.entry(list).or_default().push(wire::entry(&mut fields)?);
                self.filling = Some((list, left - 1));
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
                self.filling = Some((list, entries));
            }
            "m" => return Err(Bad::new("m", "a list entry outside a list")),
            "power_on" => {
                let node = fields.text("nodeId")?.to_string();
                let seed = fields.seed("randomSeed")?;
                let settings = wire::settings(fields.rest("setup")?)?;
                let now = self.clock()?;
                self.nodes.insert(node, Controller::new(settings, seed, now));
            }
            "retire" => {
                let node = fields.text("nodeId")?;
                if self.nodes.remove(node).is_none() {
                    return Err(Bad::new("nodeId", "unknown instance"));
                }
            }
            _ => return self.event(name, &mut fields, out).map(|()| false),
        }
        Ok(false)
    }

    fn clock(&self) -> Result<Micros, Bad> {
        self.now.ok_or_else(|| Bad::new("turn", "an event before the first batch"))
    }

    fn event(&mut self, name: &str, fields: &mut Fields, out: &mut String) -> Result<(), Bad> {
        if !wire::EVENTS.contains(&name) {
            if self.unknown.insert(name.to_string()) {
                eprintln!("steprelay-benchlink: unknown message '{}' skipped", name.escape_debug());
            }
            return Ok(());
        }
        let now = self.clock()?;
        let node = fields.text("nodeId")?;
        let mut bytes = Vec::new();
        let event: Event = match name {
            "registry" => {
                let kind = wire::list_kind(fields.text("mode")?)?;
                fields.text("version")?;
                let entries = match kind {
                    steprelay_decisions::ListKind::Failed => &[],
                    _ => {
                        let list: u32 = fields.number("ref")?;
                        self.lists.get(&list).ok_or_else(|| Bad::new("ref", "no such list"))?.as_slice()
                    }
                };
                Event::ServerList { kind, entries }
            }
            _ => wire::event(name, fields, &mut bytes)?,
        };
        let Some(controller) = self.nodes.get_mut(node) else {
            return Err(Bad::new("nodeId", "unknown instance"));
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
    let mut raw = Vec::new();
    let mut reply = String::new();
    for number in 1u64.. {
        raw.clear();
        match input.read_until(b'\n', &mut raw) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                eprintln!("steprelay-benchlink: line {number}: cannot read: {error}");
                return ExitCode::FAILURE;
            }
        }
        let step = std::str::from_utf8(&raw)
            .map_err(|_| Bad::new("line", "not UTF-8"))
            .and_then(|line| host.line(line.trim_end_matches(['\n', '\r']), &mut reply));
        match step {
            Ok(false) => {}
            Ok(true) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    eprintln!("steprelay-benchlink: line {number}: the reply cannot be written");
                    return ExitCode::FAILURE;
                }
                reply.clear();
            }
            Err(bad) => {
                eprintln!("steprelay-benchlink: line {number}: field '{}': {}", bad.field, bad.why);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
