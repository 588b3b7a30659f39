//! Connections, and the servers and callers at their other ends.

use std::collections::VecDeque;

use rand::RngExt;
use steprelay_decisions::Micros;

use super::{Connection, Event, Peer, ToMember, ToPeer, World, MEMBERS, MS};
use crate::judge::End;
use crate::peers::{Saying, DIAL_AGAIN, EVERY, HOLDS};
use crate::plan::CALLS_UNTIL;
use crate::ports::ToServer;
use crate::trace;

/// New connections are taken until so long after SIGTERM (`serve.rs`).
const LAST_CONNECTION: Micros = 800 * MS;
/// A server that refuses is dialled again after this.
pub(super) const DIAL_PAUSE: Micros = 200 * MS;

/// A connection that a member has closed is read on for so long (`clients.rs`).
const READ_ON: Micros = 250 * MS;

impl World {
    /// Whether a caller that has made a call and listens can be told something by this start.
    pub(super) fn look_at_reach(&mut self, boot: u64) {
        let now = self.now();
        let listens = |one: &Connection| {
            let open = one.boot == boot && one.member_open && one.half_closed.is_none();
            open && !one.deaf && one.inputs > 0 && matches!(one.peer, Peer::Caller(_))
        };
        match self.connections.values().any(listens) {
            true => drop(self.judge.reached.entry(boot).or_insert(now)),
            false => {
                self.judge.reached.remove(&boot);
                self.judge.out_of_reach.push((boot, now));
            }
        }
    }

    /// A member says nothing more on a caller's connection, and reads on for a while.
    pub(super) fn half_close(&mut self, number: u64) {
        let until = self.now() + READ_ON;
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.member_open && connection.half_closed.is_none() {
            connection.half_closed = Some(until);
            let boot = connection.boot;
            self.look_at_reach(boot);
            self.send_to_peer(number, ToPeer::Closed);
            self.at(until, Event::ReadOver(number));
        }
    }

    pub(super) fn send_to_peer(&mut self, number: u64, word: ToPeer) {
        let at = self.now() + self.way();
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.to_peer = at.max(connection.to_peer + 1);
        let at = connection.to_peer;
        self.at(at, Event::Reaches(number, word));
    }

    pub(super) fn send_to_member(&mut self, number: u64, what: ToMember) {
        let comes = self.now() + self.way();
        let at = comes + self.late();
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.to_member = at.max(connection.to_member + 1);
        connection.unread.push_back(comes.max(connection.unread.back().copied().unwrap_or(0)));
        let at = connection.to_member;
        self.at(at, Event::Arrives(number, what));
    }

    pub(super) fn connect(&mut self, member: usize, boot: u64, peer: Peer) -> u64 {
        let number = self.number();
        let connection = Connection {
            member,
            boot,
            peer,
            to_member: 0,
            to_peer: 0,
            member_open: true,
            peer_open: true,
            half_closed: None,
            inputs: 0,
            unread: VecDeque::new(),
            cut: false,
            deaf: false,
        };
        self.connections.insert(number, connection);
        number
    }

    pub(super) fn dial_server(&mut self, member: usize, boot: u64, server: usize) {
        if self.running(member, boot).is_none() {
            let there = self.members[member].as_ref().is_some_and(|process| process.start.boot == boot);
            if there {
                // It dials when it wakes.
                self.at(self.now() + DIAL_PAUSE, Event::DialServer(member, boot, server));
            }
            return;
        }
        if self.servers[server].gone {
            let at = self.now() + self.way();
            return self.at(at, Event::Refused(member, boot, server));
        }
        let number = self.connect(member, boot, Peer::Server(server));
        self.send_to_peer(number, ToPeer::Opened);
    }

    pub(super) fn dial_member(&mut self, caller: usize) {
        let now = self.now();
        let member = self.callers[caller].next % MEMBERS;
        self.callers[caller].next += 1;
        let takes = self.members[member]
            .as_ref()
            .filter(|process| process.told_to_stop.is_none_or(|at| now < at + LAST_CONNECTION));
        let Some(boot) = takes.map(|process| process.start.boot) else {
            return self.at(now + DIAL_AGAIN, Event::DialMember(caller));
        };
        let number = self.connect(member, boot, Peer::Caller(caller));
        self.callers[caller].connection = Some(number);
        self.send_to_member(number, ToMember::Opened);
    }

    pub(super) fn call(&mut self, caller: usize) {
        let now = self.now();
        if now >= CALLS_UNTIL {
            return;
        }
        if let Some(number) = self.callers[caller].connection {
            let call = 100_000 + self.number();
            self.send_to_member(number, ToMember::Offer(call));
        }
        let next = now + self.rng.random_range(EVERY.0..EVERY.1);
        self.at(next, Event::Call(caller));
    }

    /// Something reaches a server or a caller.
    pub(super) fn reaches(&mut self, number: u64, word: ToPeer) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let is_end = matches!(word, ToPeer::Closed);
        if !connection.peer_open || connection.deaf || connection.cut && !is_end {
            return;
        }
        match (connection.peer, word) {
            (Peer::Server(server), ToPeer::Opened) => {
                if self.servers[server].gone {
                    return self.send_to_member(number, ToMember::Closed);
                }
                self.send_to_member(number, ToMember::Opened);
                self.send_to_member(number, ToMember::Load);
                let sayings = self.servers[server].opened(number);
                self.say_releases(sayings);
            }
            (Peer::Server(server), ToPeer::Server(message)) => match *message {
                ToServer::SetUp(set_up) => {
                    let call = set_up.call.0;
                    self.servers[server].asked(call, number);
                    let holds = self.rng.random_range(HOLDS.0..HOLDS.1);
                    self.at(now + holds, Event::ReleaseDue(server, call));
                    self.send_to_member(number, ToMember::Accept(call));
                }
                ToServer::ConfirmRelease(call) => self.servers[server].heard(call.0),
                ToServer::Cancel(call) | ToServer::Release(call, _) => {
                    if self.servers[server].cut(call.0) {
                        self.judge.call(call.0).released.get_or_insert(now);
                    }
                }
            },
            (Peer::Server(server), ToPeer::Closed) => {
                connection.peer_open = false;
                let sayings = self.servers[server].closed(number);
                self.say_releases(sayings);
            }
            (Peer::Caller(_), ToPeer::Accept(call)) => {
                trace::line(call, || format!("at {now} its caller has the answer"));
                self.judge.call(call).answered.get_or_insert(now);
            }
            (Peer::Caller(_), ToPeer::End(call)) => {
                trace::line(call, || format!("at {now} its caller has the end, connection {number}"));
                let call_of = self.judge.call(call);
                let given = call_of.given.iter().find(|end| end.connection == number).copied();
                call_of.ends.extend(given.map(|given| End { at: now, ..given }));
                self.send_to_member(number, ToMember::Confirms(call));
            }
            (Peer::Caller(caller), ToPeer::Closed) => {
                connection.peer_open = false;
                self.send_to_member(number, ToMember::Closed);
                self.callers[caller].connection = None;
                self.at(now + DIAL_AGAIN, Event::DialMember(caller));
            }
            _ => {}
        }
    }

    pub(super) fn released(&mut self, server: usize, call: u64, saying: Option<Saying>) {
        let now = self.now();
        trace::line(call, || format!("at {now} released by server {server}"));
        self.judge.call(call).released.get_or_insert(now);
        self.say_releases(saying.into_iter().collect());
    }

    pub(super) fn say_releases(&mut self, sayings: Vec<Saying>) {
        let now = self.now();
        for (connection, call) in sayings {
            trace::line(call, || format!("at {now} its release is said on connection {connection}"));
            self.send_to_member(connection, ToMember::Release(call));
        }
    }
}
