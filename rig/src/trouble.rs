//! Faults drawn from a seed, three at a time, on a rig whose machines are all worked on meanwhile.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steprelay_faults::mesh::{partition, Phase, Rule};

use crate::rig::Rig;

/// A fault lasts so long: longer than a suspicion, shorter than staff's patience.
const LASTS: Duration = Duration::from_secs(5);

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
    let bad = Rule { drop: 0.1, duplicate: 0.3, delay_ms: (0, 80), reorder: 0.1, ..Rule::default() };
    let slow = Rule { delay_ms: (200, 700), duplicate: 0.2, ..Rule::default() };
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
        rig.until(2 * LASTS, "staff ask", |rig| self.staff(rig) || Instant::now() >= until);
        // One of the links, which have one phase at a time, and two of machines; or three of machines.
        let mut machines = 3;
        if self.random.random_bool(0.8) {
            self.of_links(rig);
            machines = 2;
        }
        (0..machines).for_each(|_| self.of_a_machine(rig));
        rig.always(LASTS, "staff work on", |rig| {
            self.staff(rig);
            true
        });
        rig.phase("well");
        for place in 0..rig.size() {
            if !rig.runs(place) {
                self.back(rig, place);
            }
        }
        rig.settle();
    }

    fn of_links(&mut self, rig: &Rig) {
        let name = rig.name(self.random.random_range(0..rig.size()));
        let phase = match self.random.random_range(0..6) {
            0 => "bad".into(),
            1 => "slow".into(),
            2 => "halves".into(),
            3 => "thirds".into(),
            4 => format!("deaf {name}"),
            _ => format!("dumb {name}"),
        };
        rig.phase(&phase);
        self.done.push(format!("links: {phase}"));
    }

    /// One of those that run stalls or is killed; the last one runs on.
    fn of_a_machine(&mut self, rig: &mut Rig) {
        let running: Vec<usize> = (0..rig.size()).filter(|place| rig.runs(*place)).collect();
        if running.len() < 2 {
            return;
        }
        let place = running[self.random.random_range(0..running.len())];
        let name = rig.name(place).to_string();
        if self.random.random_bool(0.5) {
            rig.stall(place);
            return self.done.push(format!("{name} stalls"));
        }
        rig.kill(place);
        // One directory at a time is an older one: what a majority keeps is kept.
        if self.old.is_some() {
            return self.done.push(format!("{name} is killed"));
        }
        self.old = Some((place, rig.copy_disk(place)));
        rig.run(place);
        self.done.push(format!("{name} is killed, started, and later comes back with its older directory"));
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
