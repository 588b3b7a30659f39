//! Faults drawn from a seed, three at a time, on a rig whose machines are all worked on meanwhile.

use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steprelay_faults::mesh::{partition, Phase, Rule};

use crate::rig::Rig;

/// A fault lasts so long: longer than a suspicion, shorter than staff's patience.
const LASTS: Duration = Duration::from_secs(5);
/// Staff look at what is out so often meanwhile.
const STAFF: Duration = Duration::from_millis(400);

/// What the links can do, besides being well.
pub fn phases(names: &[String]) -> Vec<Phase> {
    let group = |of: usize, number: usize| {
        names
            .iter()
            .enumerate()
            .filter(|(place, _)| place % of == number)
            .map(|(_, name)| name.clone())
            .collect()
    };
    let bad = Rule { drop: 0.1, double: 0.3, delay_ms: (0, 80), reorder: 0.1, ..Rule::default() };
    let slow = Rule { delay_ms: (200, 700), double: 0.2, ..Rule::default() };
    let phase = |name: &str, rules| Phase { name: name.into(), rules };
    let mut phases = vec![
        phase("bad", vec![bad]),
        phase("slow", vec![slow]),
        phase("halves", partition(&[group(2, 0), group(2, 1)])),
        phase("thirds", partition(&[group(3, 0), group(3, 1), group(3, 2)])),
    ];
    for name in names {
        let name = [name.clone()];
        phases.push(phase(&format!("deaf {}", name[0]), vec![Rule::cut(&[], &name, false)]));
        phases.push(phase(&format!("dumb {}", name[0]), vec![Rule::cut(&name, &[], false)]));
    }
    phases
}

/// Faults of one seed, and what is needed to undo them.
pub struct Trouble {
    random: StdRng,
    /// An older copy of a directory, of the machine whose turn it is to come back with one.
    old: Option<(usize, PathBuf)>,
    /// What was done, in words.
    pub done: Vec<String>,
}

impl Trouble {
    pub fn new(seed: u64) -> Self {
        Trouble { random: StdRng::seed_from_u64(seed), old: None, done: Vec::new() }
    }

    /// Three faults at once while staff work on; then all is well again, and the fleet whole.
    pub fn round(&mut self, rig: &mut Rig) {
        // The faults come while a machine is on its way, if one goes in time.
        let until = Instant::now() + LASTS;
        while Instant::now() < until && !self.staff(rig) {
            std::thread::sleep(STAFF / 4);
        }
        // One of the links, which have one phase at a time, and two of machines; or three of machines.
        let kinds = 0..if self.random.random_bool(0.8) { 6 } else { 0 };
        for place in 0..3 {
            self.fault(rig, if place == 0 { kinds.clone() } else { 0..0 });
        }
        let until = Instant::now() + LASTS;
        while Instant::now() < until {
            std::thread::sleep(STAFF);
            self.staff(rig);
        }
        rig.phase("well");
        for place in 0..rig.size() {
            if !rig.runs(place) {
                self.back(rig, place);
            }
        }
        rig.settle();
    }

    /// One fault; of the links, if there are kinds of them to draw from.
    fn fault(&mut self, rig: &mut Rig, links: Range<u32>) {
        let place = self.random.random_range(0..rig.size());
        let name = rig.name(place).to_string();
        let kind =
            if links.is_empty() { self.random.random_range(6..8) } else { self.random.random_range(links) };
        let what = match kind {
            0 => self.links(rig, "bad"),
            1 => self.links(rig, "slow"),
            2 => self.links(rig, "halves"),
            3 => self.links(rig, "thirds"),
            4 => self.links(rig, &format!("deaf {name}")),
            5 => self.links(rig, &format!("dumb {name}")),
            6 if rig.runs(place) => {
                rig.stall(place);
                format!("{name} stalls")
            }
            _ if rig.runs(place) => {
                rig.kill(place);
                // One directory at a time is an older one: what a majority keeps is kept.
                if self.old.is_none() {
                    self.old = Some((place, rig.copy_disk(place)));
                    rig.run(place);
                    format!("{name} is killed, started, and later comes back with its older directory")
                } else {
                    format!("{name} is killed")
                }
            }
            _ => format!("{name} is down already"),
        };
        self.done.push(what);
    }

    fn links(&mut self, rig: &Rig, phase: &str) -> String {
        rig.phase(phase);
        format!("links: {phase}")
    }

    fn back(&mut self, rig: &mut Rig, place: usize) {
        if rig.stalled(place) {
            return rig.go_on(place);
        }
        if self.old.as_ref().is_some_and(|(of, _)| *of == place) {
            if let Some((_, copy)) = self.old.take() {
                rig.restore_disk(place, &copy);
                self.done.push(format!("{} has its older directory", rig.name(place)));
            }
        }
        rig.run(place);
    }

    /// Whoever is out has been worked on; whoever is not asked for is asked for now and then. Whether one is
    /// on its way.
    fn staff(&mut self, rig: &Rig) -> bool {
        let by = self.random.random_range(0..rig.size());
        let machine = rig.name(self.random.random_range(0..rig.size())).to_string();
        if !rig.runs(by) {
            return false;
        }
        let rows = rig.work(by).unwrap_or_default();
        let out = rows.iter().find(|row| row["state"] == "out").and_then(|row| row["machine"].as_str());
        match out {
            Some(name) => drop(rig.staff(by, &["work", "done", name])),
            None => drop(rig.staff(by, &["work", "add", &machine, "--for", "10m"])),
        }
        rows.iter().any(|row| matches!(row["state"].as_str(), Some("granted" | "draining")))
    }
}
