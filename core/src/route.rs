//! Third stage: the decision module, and the one list of servers it is told from several places.

use std::collections::{BTreeMap, VecDeque};

use steprelay_decisions::{Action, Controller, Entry, Event, ListKind, Micros, Readiness, ServerId};
use steprelay_settings::Site;

use super::Source;

/// Servers that are gone are shown until there are so many. Guards a process that runs for months at a site
/// that replaces its servers all the time.
const MOST_GONE: usize = 16;

pub struct Route {
    controller: Controller,
    /// As they count: one that is held drains, whatever its place in the list says.
    entries: BTreeMap<ServerId, (Source, Entry)>,
    /// Servers that are held, with what the list says of them (if it names them).
    held: BTreeMap<ServerId, Option<Readiness>>,
    scratch: Vec<Action>,
}

impl Route {
    pub fn new(site: &Site, seed: u64, now: Micros) -> Self {
        Route {
            controller: Controller::new(site.decisions.clone(), seed, now),
            entries: BTreeMap::new(),
            held: BTreeMap::new(),
            scratch: Vec::new(),
        }
    }

    pub fn decide(&mut self, now: Micros, event: Event, actions: &mut VecDeque<Action>) {
        self.controller.handle(now, event, &mut self.scratch);
        actions.extend(self.scratch.drain(..));
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|(_, entry)| entry)
    }

    pub fn is_shown(&self, server: ServerId) -> bool {
        self.entries.contains_key(&server)
    }

    /// Whether it is in the list, ready or not.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.entries.get(&server).is_some_and(|(_, entry)| entry.state != Readiness::Gone)
    }

    pub fn ready(&self, server: ServerId) -> bool {
        self.entries.get(&server).is_some_and(|(_, entry)| entry.state == Readiness::Ready)
    }

    /// The servers in the list, drained ones too, and those of them that the decisions avoid.
    pub fn targets(&self, now: Micros) -> (usize, usize) {
        let listed = self.entries().filter(|entry| entry.state != Readiness::Gone);
        listed.fold((0, 0), |(listed, avoided), entry| {
            (listed + 1, avoided + usize::from(self.controller.avoids(now, entry.server)))
        })
    }

    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        self.controller.avoids(now, server)
    }

    pub fn image(&self, now: Micros, server: ServerId) -> Option<f64> {
        self.controller.bound(now, server)
    }

    /// Holds these servers and no others; returns the entries that changed by it.
    pub fn hold(&mut self, servers: &[ServerId]) -> Vec<Entry> {
        let mut changes = Vec::new();
        let freed: Vec<ServerId> = self.held.keys().filter(|held| !servers.contains(held)).copied().collect();
        for server in freed {
            let told = self.held.remove(&server).flatten();
            if let (Some(told), Some((_, entry))) = (told, self.entries.get_mut(&server)) {
                if std::mem::replace(&mut entry.state, told) != told {
                    changes.push(entry.clone());
                }
            }
        }
        for server in servers {
            if self.held.contains_key(server) {
                continue;
            }
            let told = self.entries.get_mut(server).map(|(_, entry)| {
                let told = entry.state;
                entry.state = drained(told);
                if entry.state != told {
                    changes.push(entry.clone());
                }
                told
            });
            self.held.insert(*server, told);
        }
        changes
    }

    pub fn held(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.held.keys().copied()
    }

    /// Takes in a list; returns the entries that the decisions are told, and the servers whose process is
    /// over, with the time before which calls came to stand in it.
    pub fn merge(
        &mut self,
        source: Source,
        kind: ListKind,
        entries: &[Entry],
    ) -> (Vec<Entry>, Vec<(ServerId, Micros)>) {
        let gone = |entry: &Entry| entry.state == Readiness::Gone;
        if self.entries.values().filter(|(_, entry)| gone(entry)).count() >= MOST_GONE {
            self.entries.retain(|_, (_, entry)| !gone(entry));
        }
        let mut changes = entries.to_vec();
        if matches!(kind, ListKind::All | ListKind::Cached) {
            // A whole list names all there are in its place: the others are gone, and told as such.
            let missing = self.entries.values().filter(|(place, entry)| {
                *place == source
                    && entry.state != Readiness::Gone
                    && !entries.iter().any(|listed| listed.server == entry.server)
            });
            changes.extend(missing.map(|(_, entry)| Entry { state: Readiness::Gone, ..entry.clone() }));
        }
        for entry in &mut changes {
            if let Some(told) = self.held.get_mut(&entry.server) {
                *told = Some(entry.state);
                entry.state = drained(entry.state);
            }
        }
        let mut over = Vec::new();
        for entry in &changes {
            let before = self.entries.insert(entry.server, (source, entry.clone()));
            let restarted = before.is_some_and(|(_, before)| before.started != entry.started);
            match entry.started {
                _ if entry.state == Readiness::Gone => over.push((entry.server, Micros::MAX)),
                Some(started) if restarted => over.push((entry.server, started)),
                _ => {}
            }
        }
        (changes, over)
    }
}

/// How a server that is held counts, by what the list says of it.
fn drained(told: Readiness) -> Readiness {
    match told {
        Readiness::Ready => Readiness::Draining,
        other => other,
    }
}
