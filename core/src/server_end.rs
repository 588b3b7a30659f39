//! The end of a server's process: what shows it, and what follows for the calls that were established there.

use std::fmt;

use steprelay_decisions::{CallId, Micros, Outcome, Report, ServerId};

use super::{Core, Effect, ReleaseCause};

/// What shows that a server's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEnd {
    /// The server list has it as gone, or leaves it out.
    ListedGone,
    /// The server list has a later start of it.
    ListedRestart,
    /// It refused a connection while none was open, and has named no earlier call for too long since.
    NotConfirmed,
    /// Nothing was received from it for longer than an established call can go without its release.
    Unreachable,
}

impl ServerEnd {
    /// Whether the calls may still be up at the server, which then has to be told of their release.
    fn is_presumed(self) -> bool {
        matches!(self, ServerEnd::NotConfirmed | ServerEnd::Unreachable)
    }
}

impl fmt::Display for ServerEnd {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            ServerEnd::ListedGone => "listed as gone",
            ServerEnd::ListedRestart => "listed as restarted",
            ServerEnd::NotConfirmed => "refused a connection and has named no earlier call since",
            ServerEnd::Unreachable => "unreachable",
        })
    }
}

/// A server whose process has ended, and how many calls are released for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerEndReport {
    pub server: ServerId,
    pub shown_by: ServerEnd,
    pub calls: usize,
}

impl Core {
    /// The ends of servers with established calls since the last call of this function, for the log.
    pub fn take_server_ends(&mut self) -> Vec<ServerEndReport> {
        std::mem::take(&mut self.server_ends)
    }

    /// Whether any established call is at a server.
    pub fn has_established_call_at(&self, server: ServerId) -> bool {
        self.established.calls.values().any(|established| established.attempt.server == server)
    }

    /// When a call was established that this call agent has set up at a server.
    pub fn established_since(&self, call: CallId, server: ServerId) -> Option<Micros> {
        let established = self.established.get(call)?;
        (established.server() == server && !established.is_taken_over()).then_some(established.since)
    }

    /// A server's process has ended, and with it the calls established there before this time. Releases them
    /// towards their callers, and at the server where they may still be up; returns how many.
    pub(super) fn server_process_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        before: Micros,
        shown_by: ServerEnd,
    ) -> usize {
        let cut = self
            .established
            .calls
            .iter()
            .filter(|(_, established)| established.attempt.server == server && established.since < before)
            .filter(|(_, established)| !self.is_ownership_uncertain(established.since));
        let cut: Vec<_> = cut.map(|(call, established)| (*call, *established)).collect();
        let calls = cut.len();
        // How long an unreachable server was silent is known to the owner, which reports that end itself.
        if calls > 0 && shown_by != ServerEnd::Unreachable {
            self.server_ends.push(ServerEndReport { server, shown_by, calls });
        }
        for (call, established) in cut {
            self.established.calls.remove(&call);
            self.release_established(now, server, call, established, ReleaseCause::TEMPORARY);
            self.end_established(now, call, established, Outcome::Reset, Report::default());
            if shown_by.is_presumed() {
                self.effects.push(Effect::Release { server, call, cause: ReleaseCause::TEMPORARY });
            }
        }
        self.defer_server_end(server, before, shown_by);
        calls
    }

    /// A server has been unreachable for longer than its established calls can stay up without a release.
    /// Ends them and returns how many.
    pub fn server_unreachable(&mut self, now: Micros, server: ServerId) -> usize {
        let ended = self.server_process_ended(now, server, Micros::MAX, ServerEnd::Unreachable);
        self.accounting.counts.servers_out_of_reach += 1;
        self.accounting.counts.ended_out_of_reach += ended as u64;
        ended
    }

    /// Calls were taken over, and this server is unreachable: ends those that are established there.
    pub fn taken_over_at_unreachable(&mut self, now: Micros, server: ServerId) {
        let ended = self.server_process_ended(now, server, Micros::MAX, ServerEnd::Unreachable);
        self.accounting.counts.ended_out_of_reach += ended as u64;
    }

    /// A server refused a connection while none was open, and has named none of the calls established before
    /// this time for longer than they can go without a release. Ends them.
    pub fn server_not_confirmed(&mut self, now: Micros, server: ServerId, before: Micros) {
        let ended = self.server_process_ended(now, server, before, ServerEnd::NotConfirmed);
        self.accounting.counts.ended_out_of_reach += ended as u64;
    }
}
