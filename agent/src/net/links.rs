//! The connections to servers: one each, dialled as soon as the server is listed and again when it is lost.

use std::collections::BTreeMap;

use steprelay_decisions::{CallId, Micros, ServerId};

use super::conn::Outbox;
use super::ports::{LinkId, ToServer, Way};
use crate::core::LinkLoss;

const FIRST_PAUSE: Micros = 100_000;
const LONGEST_PAUSE: Micros = 1_000_000;
/// What stood at a server that cannot be reached has ended after this long, seen from its caller: the limit
/// for its release is 8 s.
const OUT_OF_REACH: Micros = 6_500_000;

enum State {
    /// Dialled again at this time.
    Down(Micros),
    /// What waits goes out when the connection is up, or is told as never sent when it fails.
    Dialling(Vec<ToServer>),
    Up(Outbox<ToServer>),
}

struct Link {
    way: Way,
    epoch: u64,
    state: State,
    pause: Micros,
    /// Since when it has been without a connection, after it had one.
    lost: Option<Micros>,
}

#[derive(Default)]
pub struct Links {
    links: BTreeMap<ServerId, Link>,
    epochs: u64,
}

impl Links {
    /// Takes in where a server is; true when an earlier connection to it ended with that.
    pub fn listed(&mut self, server: ServerId, way: Way, now: Micros) -> bool {
        let same = self.links.get(&server).is_some_and(|link| link.way == way);
        if same {
            return false;
        }
        let had = self.remove(server).is_some();
        let link = Link { way, epoch: 0, state: State::Down(now), pause: FIRST_PAUSE, lost: None };
        self.links.insert(server, link);
        had
    }

    /// Lets go of a server; returns the set-ups that had not left.
    pub fn remove(&mut self, server: ServerId) -> Option<Vec<CallId>> {
        let link = self.links.remove(&server)?;
        match link.state {
            State::Up(outbox) => {
                outbox.cut();
                Some(Vec::new())
            }
            State::Dialling(waiting) => Some(set_ups(waiting)),
            State::Down(_) => Some(Vec::new()),
        }
    }

    /// Whether this is the present connection to its server.
    pub fn is_current(&self, id: LinkId) -> bool {
        self.links.get(&id.server).is_some_and(|link| link.epoch == id.epoch)
    }

    /// Those to dial now; each counts as dialled with that.
    pub fn due(&mut self, now: Micros) -> Vec<(LinkId, Way)> {
        let mut due = Vec::new();
        for (server, link) in &mut self.links {
            if matches!(link.state, State::Down(at) if at <= now) {
                self.epochs += 1;
                link.epoch = self.epochs;
                link.state = State::Dialling(Vec::new());
                due.push((LinkId { server: *server, epoch: link.epoch }, link.way));
            }
        }
        due
    }

    pub fn next_due(&self) -> Option<Micros> {
        let times = self.links.values().filter_map(|link| match link.state {
            State::Down(at) => Some(at),
            _ => None,
        });
        times.min()
    }

    pub fn up(&mut self, id: LinkId, outbox: Outbox<ToServer>) {
        let Some(link) = self.links.get_mut(&id.server) else { return };
        let before = std::mem::replace(&mut link.state, State::Up(outbox));
        (link.pause, link.lost) = (FIRST_PAUSE, None);
        if let State::Dialling(waiting) = before {
            for message in waiting {
                self.post(id.server, message);
            }
        }
    }

    pub fn lost(&mut self, id: LinkId, loss: LinkLoss, now: Micros) {
        let Some(link) = self.links.get_mut(&id.server) else { return };
        let pause = if loss == LinkLoss::Dropped { 0 } else { link.pause };
        link.pause = (2 * link.pause).min(LONGEST_PAUSE);
        link.state = State::Down(now + pause);
        if loss == LinkLoss::Dropped {
            link.lost = Some(now);
        }
    }

    /// Puts a message on its way; false when it is sure that it does not leave.
    pub fn post(&mut self, server: ServerId, message: ToServer) -> bool {
        match self.links.get_mut(&server).map(|link| &mut link.state) {
            Some(State::Up(outbox)) => outbox.post(message),
            Some(State::Dialling(waiting)) => {
                match message {
                    // Neither needs to arrive: the set-up has not left.
                    ToServer::GiveUp(call) => waiting
                        .retain(|waits| !matches!(waits, ToServer::SetUp(set_up) if set_up.call == call)),
                    message => waiting.push(message),
                }
                true
            }
            Some(State::Down(_)) | None => false,
        }
    }

    /// Takes back the set-ups that still wait for a connection to a server that takes nothing new.
    pub fn take_waiting(&mut self, server: ServerId) -> Vec<CallId> {
        match self.links.get_mut(&server).map(|link| &mut link.state) {
            Some(State::Dialling(waiting)) => set_ups(std::mem::take(waiting)),
            _ => Vec::new(),
        }
    }

    /// Servers that have been out of reach for too long; each is named once.
    pub fn out_of_reach(&mut self, now: Micros) -> Vec<ServerId> {
        let late =
            self.links.iter_mut().filter(|(_, link)| link.lost.is_some_and(|at| at + OUT_OF_REACH <= now));
        late.map(|(server, link)| {
            link.lost = None;
            *server
        })
        .collect()
    }
}

fn set_ups(waiting: Vec<ToServer>) -> Vec<CallId> {
    let calls = waiting.into_iter().filter_map(|message| match message {
        ToServer::SetUp(set_up) => Some(set_up.call),
        _ => None,
    });
    calls.collect()
}
