//! Third stage: passes events to the decision module, and merges the server lists of all sources into one.

use std::collections::{BTreeMap, VecDeque};

use steprelay_decisions::{Action, Controller, Entry, Event, ListKind, Micros, Readiness, ServerId};
use steprelay_settings::Site;

use super::ListSource;

/// Servers that are gone are shown until there are this many. Limits the memory of a process that runs for
/// months at a site that replaces its servers all the time.
const MAX_GONE_SERVERS: usize = 16;

pub struct Route {
    controller: Controller,
    /// The servers in their effective states: a held one is draining, whatever the list says.
    entries: BTreeMap<ServerId, (ListSource, Entry)>,
    /// The held servers, each with its state in the list, if it is listed.
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

    /// Whether a server is in the list, ready or not.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.entries.get(&server).is_some_and(|(_, entry)| entry.state != Readiness::Gone)
    }

    pub fn is_ready(&self, server: ServerId) -> bool {
        self.entries.get(&server).is_some_and(|(_, entry)| entry.state == Readiness::Ready)
    }

    /// Number of listed servers, including draining ones, and of those among them that the decisions avoid.
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

    /// Holds exactly these servers; returns the entries whose effective state changed.
    pub fn set_held(&mut self, servers: &[ServerId]) -> Vec<Entry> {
        let mut changes = Vec::new();
        let released: Vec<ServerId> =
            self.held.keys().filter(|held| !servers.contains(held)).copied().collect();
        for server in released {
            let listed = self.held.remove(&server).flatten();
            if let (Some(listed), Some((_, entry))) = (listed, self.entries.get_mut(&server)) {
                if std::mem::replace(&mut entry.state, listed) != listed {
                    changes.push(entry.clone());
                }
            }
        }
        for server in servers {
            if self.held.contains_key(server) {
                continue;
            }
            let listed = self.entries.get_mut(server).map(|(_, entry)| {
                let listed = entry.state;
                entry.state = drained(listed);
                if entry.state != listed {
                    changes.push(entry.clone());
                }
                listed
            });
            self.held.insert(*server, listed);
        }
        changes
    }

    pub fn held(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.held.keys().copied()
    }

    /// Merges a list. Returns the entries to pass to the decisions, and the servers whose process has ended,
    /// each with the time before which the calls were established that ended with it.
    pub fn merge(
        &mut self,
        source: ListSource,
        kind: ListKind,
        entries: &[Entry],
    ) -> (Vec<Entry>, Vec<(ServerId, Micros)>) {
        let is_gone = |entry: &Entry| entry.state == Readiness::Gone;
        if self.entries.values().filter(|(_, entry)| is_gone(entry)).count() >= MAX_GONE_SERVERS {
            self.entries.retain(|_, (_, entry)| !is_gone(entry));
        }
        let mut changes = entries.to_vec();
        if matches!(kind, ListKind::All | ListKind::Cached) {
            // A full list names all servers of its source: the ones it leaves out are gone, and are reported
            // as gone.
            let missing = self.entries.values().filter(|(listed_by, entry)| {
                *listed_by == source
                    && entry.state != Readiness::Gone
                    && !entries.iter().any(|listed| listed.server == entry.server)
            });
            changes.extend(missing.map(|(_, entry)| Entry { state: Readiness::Gone, ..entry.clone() }));
        }
        for entry in &mut changes {
            if let Some(listed) = self.held.get_mut(&entry.server) {
                *listed = Some(entry.state);
                entry.state = drained(entry.state);
            }
        }
        let mut ended = Vec::new();
        for entry in &changes {
            let before = self.entries.insert(entry.server, (source, entry.clone()));
            let restarted = before.is_some_and(|(_, before)| before.started != entry.started);
            match entry.started {
                _ if entry.state == Readiness::Gone => ended.push((entry.server, Micros::MAX)),
                // The M3UA front infers a start from refused connections, which does not show that the
                // process from before has ended.
                Some(started) if restarted && source == ListSource::Discovery => {
                    ended.push((entry.server, started));
                }
                _ => {}
            }
        }
        (changes, ended)
    }
}

/// The effective state of a held server with this state in the list.
fn drained(listed: Readiness) -> Readiness {
    match listed {
        Readiness::Ready => Readiness::Draining,
        other => other,
    }
}
