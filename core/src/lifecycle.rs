//! Lifecycle of this call agent: whether it accepts set-ups, and when it closes callers' connections.
//!
//! | state | health checks and `status` | new set-ups | callers' connections |
//! | --- | --- | --- | --- |
//! | starting | `status` fails | accepted | kept |
//! | serving | both pass | accepted | kept |
//! | standby | both fail | accepted, later refused | closed when idle |
//! | stopping | `status` fails | accepted, later refused | kept, later closed when idle |
//! | stopping, replaced | `status` fails | accepted, later refused | closed when idle |
//!
//! A connection is idle when no set-up on it waits for its answer.
//!
//! The supervisor kills a stopping process at a time that follows from the settings. Before that, the process
//! has answered every call and ended by itself, whatever its peers do.

use steprelay_decisions::Micros;

/// How long after the standby command draining begins. The callers' platform checks the health ten times a
/// second and opens connections until 0.2 s after a failed check; after 0.4 s a client whose connection is
/// closed does not reconnect here.
const STANDBY_DRAIN_DELAY: Micros = 400_000;
/// How long set-ups are accepted in standby. Connections that are busy by then never become idle by
/// themselves, and 4 s after the command no connection may carry a set-up of the last 2 s.
const STANDBY_ACCEPT_PERIOD: Micros = 1_900_000;
/// How long the last connection is kept in standby for the releases of other connections' calls. 4 s after
/// the command no connection may be idle; a call that ends in between has 1 s for its release, and clients
/// reconnect elsewhere in that time.
const STANDBY_RELEASE_PERIOD: Micros = 3_850_000;
/// How long a replaced process accepts set-ups; a caller that is refused is served by the new process.
const REPLACED_ACCEPT_PERIOD: Micros = 600_000;
/// How long a stopping process without a replacement accepts set-ups as usual: new connections are opened for
/// 0.4 s, carry set-ups for 0.2 s more, and the set-ups need some time to arrive.
const STOPPING_SERVE_PERIOD: Micros = 700_000;
/// How long a stopping process without a replacement still accepts set-ups that are answered before the kill,
/// since they may have been read late.
const STOPPING_ACCEPT_PERIOD: Micros = 900_000;
/// No set-ups are accepted for this time before the kill; callers' connections are closed in it.
const REJECT_BEFORE_KILL: Micros = 350_000;
/// How long a stopping process accepts connections: until after the last set-up that is accepted as usual.
const STOPPING_CONNECT_PERIOD: Micros = 800_000;
/// How long a replaced process lives at least. It accepts no new connections, and all that it had accepted
/// are known by then.
const REPLACED_MIN_LIFETIME: Micros = 200_000;
/// The kill may come this long after the longest deadline, of which at most `MAX_COUNTED_DEADLINE` counts.
const KILL_GRACE: Micros = 700_000;
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// How long before the kill every call has its final answer, and how long before it the process has ended.
const FINAL_ANSWER_MARGIN: Micros = 250_000;
const EXIT_MARGIN: Micros = 120_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Starting,
    Serving,
    Standby,
    Stopping,
}

/// Returned when a lifecycle change is requested of a stopping process, which cannot return to another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stopping")]
pub struct AlreadyStopping;

#[derive(Clone, Copy, Debug)]
struct Stopping {
    since: Micros,
    /// Another process accepts connections in its place.
    replaced: bool,
    kill_at: Micros,
}

impl Stopping {
    /// The end of a period after SIGTERM in which set-ups are accepted, cut short if the kill comes early.
    fn accepts_until(&self, period: Micros) -> Micros {
        (self.since + period).min(self.kill_at - REJECT_BEFORE_KILL)
    }

    fn accept_deadline(&self) -> Micros {
        self.accepts_until(if self.replaced { REPLACED_ACCEPT_PERIOD } else { STOPPING_ACCEPT_PERIOD })
    }
}

/// How long after SIGTERM the kill may come; `longest_deadline` is 0 if there is none.
fn kill_after(longest_deadline: Micros) -> Micros {
    let deadline =
        if longest_deadline > 0 { longest_deadline.min(MAX_COUNTED_DEADLINE) } else { MAX_COUNTED_DEADLINE };
    deadline + KILL_GRACE
}

/// How long after SIGTERM connections are accepted.
pub fn connection_accept_period(longest_deadline: Micros) -> Micros {
    STOPPING_CONNECT_PERIOD.min(kill_after(longest_deadline) - REJECT_BEFORE_KILL)
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    ready: bool,
    /// When standby began, and with it the draining of clients.
    standby_since: Option<Micros>,
    stopping: Option<Stopping>,
}

impl Lifecycle {
    pub fn state(&self) -> State {
        match (self.stopping, self.standby_since, self.ready) {
            (Some(_), _, _) => State::Stopping,
            (None, Some(_), _) => State::Standby,
            (None, None, false) => State::Starting,
            (None, None, true) => State::Serving,
        }
    }

    /// Records that everything needed to serve is available.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Enters standby, which drains the clients; has no effect if already in standby.
    pub fn enter_standby(&mut self, now: Micros) -> Result<(), AlreadyStopping> {
        if self.stopping.is_some() {
            return Err(AlreadyStopping);
        }
        self.standby_since.get_or_insert(now);
        Ok(())
    }

    /// Leaves standby, at any moment of the draining.
    pub fn resume_serving(&mut self) -> Result<(), AlreadyStopping> {
        if self.stopping.is_some() {
            return Err(AlreadyStopping);
        }
        self.standby_since = None;
        Ok(())
    }

    /// Begins to stop. `replaced`: another process accepts new connections from now on. Has no effect if
    /// already stopping.
    pub fn stop(&mut self, now: Micros, replaced: bool, longest_deadline: Micros) {
        let kill_at = now + kill_after(longest_deadline);
        self.stopping.get_or_insert(Stopping { since: now, replaced, kill_at });
    }

    /// When all open calls get their final answers because the kill is near.
    pub fn final_answer_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.kill_at - FINAL_ANSWER_MARGIN)
    }

    /// When the process must have ended.
    pub fn exit_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.kill_at - EXIT_MARGIN)
    }

    /// Whether no set-up that would be accepted can still arrive, so that the process may end once no call is
    /// open.
    pub fn may_exit(&self, now: Micros) -> bool {
        self.stopping.is_some_and(|stopping| match stopping.replaced {
            true => now >= stopping.since + REPLACED_MIN_LIFETIME,
            false => now >= stopping.accept_deadline(),
        })
    }

    /// Whether a caller's health check passes. It passes in a stopping process too: the platform sends
    /// callers elsewhere, or another process serves the same address.
    pub fn passes_health_check(&self) -> bool {
        self.standby_since.is_none()
    }

    /// Since when another process has served in place of this one.
    fn replaced_since(&self) -> Option<Micros> {
        self.stopping.filter(|stopping| stopping.replaced).map(|stopping| stopping.since)
    }

    /// The state of stopping, if no other process replaces this one.
    fn stopping_unreplaced(&self) -> Option<Stopping> {
        self.stopping.filter(|stopping| !stopping.replaced)
    }

    /// From when on callers' connections are closed as they become idle.
    pub fn drains_from(&self) -> Option<Micros> {
        let standby = self.standby_since.map(|at| at + STANDBY_DRAIN_DELAY);
        let stopping = self.stopping_unreplaced().map(|stopping| stopping.accept_deadline());
        [self.replaced_since(), standby, stopping].into_iter().flatten().min()
    }

    /// Whether a connection is kept for the releases of established calls: `own` calls were made on it, of
    /// `total`. A stopping process keeps none, since the process that replaces it, or the next one, delivers
    /// the releases.
    pub fn keeps_connection(&self, now: Micros, own: usize, total: usize) -> bool {
        let is_kept_for_others = self.standby_since.is_some_and(|at| now < at + STANDBY_RELEASE_PERIOD);
        self.stopping.is_none() && (own > 0 || total > 0 && is_kept_for_others)
    }

    /// Whether a set-up is accepted whose final answer is due at `answer_deadline`.
    pub fn accepts_set_up(&self, now: Micros, answer_deadline: Micros) -> bool {
        let is_past_serve_period = self
            .stopping_unreplaced()
            .is_some_and(|stopping| now >= stopping.accepts_until(STOPPING_SERVE_PERIOD));
        let is_answered_in_time = self.final_answer_deadline().is_none_or(|at| answer_deadline <= at);
        self.accepts_set_ups(now) && (!is_past_serve_period || is_answered_in_time)
    }

    /// Whether any set-up is accepted.
    pub fn accepts_set_ups(&self, now: Micros) -> bool {
        self.standby_since.is_none_or(|at| now < at + STANDBY_ACCEPT_PERIOD)
            && self.stopping.is_none_or(|stopping| now < stopping.accept_deadline())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[derive(Clone, Copy)]
    enum Command {
        Ready,
        Standby,
        Active,
        Stop,
        Replaced,
    }

    #[test]
    fn every_command_in_every_state_has_its_effect() {
        use Command::*;
        // Commands, given one second apart; then the state, whether health checks pass, when draining begins,
        // and whether set-ups are accepted 2 s later.
        type Row<'a> = (&'a [Command], State, bool, Option<Micros>, bool);
        let table: [Row; 13] = [
            (&[], State::Starting, true, None, true),
            (&[Ready], State::Serving, true, None, true),
            (&[Standby], State::Standby, false, Some(400 * MS), false),
            (&[Standby, Ready], State::Standby, false, Some(400 * MS), false),
            (&[Ready, Standby], State::Standby, false, Some(1_400 * MS), false),
            (&[Ready, Standby, Standby], State::Standby, false, Some(1_400 * MS), false),
            (&[Ready, Standby, Active], State::Serving, true, None, true),
            (&[Ready, Active, Active], State::Serving, true, None, true),
            (&[Ready, Stop], State::Stopping, true, Some(1_900 * MS), false),
            (&[Ready, Stop, Standby], State::Stopping, true, Some(1_900 * MS), false),
            (&[Ready, Replaced], State::Stopping, true, Some(1_000 * MS), false),
            (&[Ready, Standby, Replaced, Active], State::Stopping, false, Some(1_400 * MS), false),
            (&[Ready, Stop, Replaced, Active], State::Stopping, true, Some(1_900 * MS), false),
        ];
        for (row, (commands, state, passes_health_check, drains_from, accepts)) in
            table.into_iter().enumerate()
        {
            let (mut lifecycle, mut now) = (Lifecycle::default(), 0);
            for command in commands {
                let stopping = lifecycle.state() == State::Stopping;
                let mut result = Ok(());
                match command {
                    Ready => lifecycle.set_ready(),
                    Standby => result = lifecycle.enter_standby(now),
                    Active => result = lifecycle.resume_serving(),
                    Stop => lifecycle.stop(now, false, 3_000 * MS),
                    Replaced => lifecycle.stop(now, true, 3_000 * MS),
                }
                assert_eq!(result.is_err(), stopping && matches!(command, Standby | Active), "row {row}");
                now += 1_000 * MS;
            }
            let actual = (
                lifecycle.state(),
                lifecycle.passes_health_check(),
                lifecycle.drains_from(),
                lifecycle.accepts_set_ups(now + 2_000 * MS),
            );
            assert_eq!(actual, (state, passes_health_check, drains_from, accepts), "row {row}");
        }
    }

    /// The longest deadline counts as 3 s at most. All calls are answered and the process has ended before
    /// the kill, and no set-up is accepted shortly before it.
    #[test]
    fn ends_before_the_kill_time_derived_from_the_longest_deadline() {
        let table = [
            (false, 0, 3_700 * MS, 900 * MS),
            (false, 200 * MS, 900 * MS, 550 * MS),
            (false, 300 * MS, 1_000 * MS, 650 * MS),
            (false, 800 * MS, 1_500 * MS, 900 * MS),
            (false, 3_000 * MS, 3_700 * MS, 900 * MS),
            (false, 9_000 * MS, 3_700 * MS, 900 * MS),
            (true, 200 * MS, 900 * MS, 550 * MS),
            (true, 1_000 * MS, 1_700 * MS, 600 * MS),
            (true, 9_000 * MS, 3_700 * MS, 600 * MS),
        ];
        for (replaced, longest, kill_at, accepted_until) in table {
            let mut lifecycle = Lifecycle::default();
            assert_eq!(
                (lifecycle.final_answer_deadline(), lifecycle.exit_deadline(), lifecycle.may_exit(0)),
                (None, None, false)
            );
            lifecycle.stop(0, replaced, longest);
            lifecycle.stop(500 * MS, !replaced, 0);
            let (answer_deadline, exit_deadline) = (
                lifecycle.final_answer_deadline().expect("the process is stopping"),
                lifecycle.exit_deadline().expect("the process is stopping"),
            );
            assert!(
                answer_deadline < exit_deadline
                    && exit_deadline < kill_at
                    && exit_deadline + 200 * MS > kill_at,
                "{replaced} {longest}"
            );
            assert!(!lifecycle.may_exit(100 * MS) && lifecycle.may_exit(900 * MS));
            assert!(
                lifecycle.accepts_set_ups(accepted_until - 1) && !lifecycle.accepts_set_ups(accepted_until)
            );
            assert!(
                accepted_until + 100 * MS <= answer_deadline
                    && connection_accept_period(longest) < answer_deadline
            );
            let served_until = accepted_until.min(700 * MS);
            assert!(
                lifecycle.accepts_set_up(served_until - 1, exit_deadline)
                    && !lifecycle.accepts_set_up(served_until, exit_deadline)
            );
            let accepted = lifecycle.accepts_set_up(served_until, answer_deadline);
            assert_eq!(accepted, served_until < accepted_until, "its answer is due before the final answers");
        }
    }
}
