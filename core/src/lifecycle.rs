//! Whether this call agent takes work, and when callers' connections are let go of.
//!
//! | state | tests and `status` | new set-ups | callers' connections |
//! | --- | --- | --- | --- |
//! | starting | `status` says no | served | stay |
//! | serving | yes | served | stay |
//! | standby | no | served, refused in the end | let go of as each falls quiet |
//! | stopping | `status` says no | served, refused in the end | stay, then closed once nothing is open on
//! each | | the same, replaced | `status` says no | served, refused in the end | let go of as each falls
//! quiet |
//!
//! A process that stops is killed at a time that follows from the settings. It has answered everything and
//! ended by itself before that, whatever its peers do.

use steprelay_decisions::Micros;

/// The front of the callers asks ten times a second and opens connections until 0.2 s after a no; so much
/// later nobody whose connection ends comes back here.
const STANDBY_DRAIN_DELAY: Micros = 400_000;
/// In standby no set-up is taken after this: what is left by then never falls quiet by itself, and 4 s after
/// the command no connection may carry a set-up of the last 2 s.
const STANDBY_ACCEPT_PERIOD: Micros = 1_900_000;
/// The last connection stays for calls of others until this: 4 s after the command none may be idle, and what
/// ends in between has 1 s to be told, for which clients are back in time.
const STANDBY_RELEASE_PERIOD: Micros = 3_850_000;
/// One that was replaced takes set-ups for so long: a caller that is refused is served by the other.
const REPLACED_ACCEPT_PERIOD: Micros = 600_000;
/// One that stops without a successor serves as ever for so long: set-ups come on new connections for 0.4 s,
/// on those for 0.2 s more, and some time to arrive.
const STOPPING_SERVE_PERIOD: Micros = 700_000;
/// What comes until then is taken where it is answered before the kill, since it may have been read late.
const STOPPING_ACCEPT_PERIOD: Micros = 900_000;
/// Where the kill is near, no set-up is taken for so long before it: callers' connections are closed in that
/// time.
const REJECT_BEFORE_KILL: Micros = 350_000;
/// Connections are accepted for so long after the last set-ups that are served as ever may come.
const STOPPING_CONNECT_PERIOD: Micros = 800_000;
/// One that another has replaced takes no connections any more; what it had accepted is known by now.
const REPLACED_MIN_LIFETIME: Micros = 200_000;
/// The kill may come this long after the longest deadline, which counts as so much at most.
const KILL_GRACE: Micros = 700_000;
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Every call has its final answer so long before the kill, and the process has ended so long before it.
const FINAL_ANSWER_MARGIN: Micros = 250_000;
const EXIT_MARGIN: Micros = 120_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Starting,
    Serving,
    Standby,
    Stopping,
}

/// What a process that has been told to stop can't go back from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stopping")]
pub struct AlreadyStopping;

#[derive(Clone, Copy, Debug)]
struct Stopping {
    since: Micros,
    /// Another process serves in its place.
    replaced: bool,
    kill_at: Micros,
}

impl Stopping {
    /// Until when set-ups are taken, where that is so long after SIGTERM if the kill allows it.
    fn accepts_until(&self, period: Micros) -> Micros {
        (self.since + period).min(self.kill_at - REJECT_BEFORE_KILL)
    }

    fn accept_deadline(&self) -> Micros {
        self.accepts_until(if self.replaced { REPLACED_ACCEPT_PERIOD } else { STOPPING_ACCEPT_PERIOD })
    }
}

/// How long after SIGTERM the kill may come; `longest_deadline`: 0 for none.
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
    /// Since when clients are sent away.
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

    /// All that is needed to serve is there.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Sends clients away; said again, it changes nothing.
    pub fn enter_standby(&mut self, now: Micros) -> Result<(), AlreadyStopping> {
        if self.stopping.is_some() {
            return Err(AlreadyStopping);
        }
        self.standby_since.get_or_insert(now);
        Ok(())
    }

    /// Back to work, at any moment of the sending away.
    pub fn resume_serving(&mut self) -> Result<(), AlreadyStopping> {
        if self.stopping.is_some() {
            return Err(AlreadyStopping);
        }
        self.standby_since = None;
        Ok(())
    }

    /// `replaced`: new connections go to another process from now on. Said again, it changes nothing.
    pub fn stop(&mut self, now: Micros, replaced: bool, longest_deadline: Micros) {
        let kill_at = now + kill_after(longest_deadline);
        self.stopping.get_or_insert(Stopping { since: now, replaced, kill_at });
    }

    /// When all calls that are open then get their final answers, since the process is killed soon after.
    pub fn final_answer_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.kill_at - FINAL_ANSWER_MARGIN)
    }

    /// When the process has to have ended.
    pub fn exit_deadline(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.kill_at - EXIT_MARGIN)
    }

    /// Whether nothing that would be served is still to come: the process may end once nothing is open.
    pub fn may_exit(&self, now: Micros) -> bool {
        self.stopping.is_some_and(|stopping| match stopping.replaced {
            true => now >= stopping.since + REPLACED_MIN_LIFETIME,
            false => now >= stopping.accept_deadline(),
        })
    }

    /// Whether a caller that tests this call agent is told that it is well. A process that stops is no matter
    /// of callers: the platform sends them elsewhere, or another process serves the same address.
    pub fn passes_health_check(&self) -> bool {
        self.standby_since.is_none()
    }

    /// Since when another process has served in our place.
    fn replaced_since(&self) -> Option<Micros> {
        self.stopping.filter(|stopping| stopping.replaced).map(|stopping| stopping.since)
    }

    /// How it has been stopping without one.
    fn stopping_unreplaced(&self) -> Option<Stopping> {
        self.stopping.filter(|stopping| !stopping.replaced)
    }

    /// From when on callers' connections are let go of.
    pub fn drains_from(&self) -> Option<Micros> {
        let standby = self.standby_since.map(|at| at + STANDBY_DRAIN_DELAY);
        let stopping = self.stopping_unreplaced().map(|stopping| stopping.accept_deadline());
        [self.replaced_since(), standby, stopping].into_iter().flatten().min()
    }

    /// Whether a connection stays for the releases of what stands: `own` calls that were made on it, of `all`
    /// that there are. A process that serves in our place gets them instead, or the one that is started after
    /// this.
    pub fn keeps_connection(&self, now: Micros, own: usize, total: usize) -> bool {
        let is_kept_for_others = self.standby_since.is_some_and(|at| now < at + STANDBY_RELEASE_PERIOD);
        self.stopping.is_none() && (own > 0 || total > 0 && is_kept_for_others)
    }

    /// Whether a set-up is taken whose answer is waited for until then.
    pub fn accepts_set_up(&self, now: Micros, answer_deadline: Micros) -> bool {
        let is_past_serve_period = self
            .stopping_unreplaced()
            .is_some_and(|stopping| now >= stopping.accepts_until(STOPPING_SERVE_PERIOD));
        let is_answered_in_time = self.final_answer_deadline().is_none_or(|at| answer_deadline <= at);
        self.accepts_set_ups(now) && (!is_past_serve_period || is_answered_in_time)
    }

    /// Whether any set-up is taken.
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
    fn every_command_in_every_state() {
        use Command::*;
        // What was done, a second apart; then the state, whether tests pass, from when connections are let
        // go of and whether set-ups are taken another 2 s later.
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

    /// What follows from the settings: the longest deadline counts as 3 s at most. All is answered and ended
    /// before the kill, and nothing is taken shortly before it.
    #[test]
    fn ends_before_the_kill_that_follows_from_the_longest_deadline() {
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
                lifecycle.final_answer_deadline().expect("it stops"),
                lifecycle.exit_deadline().expect("it stops"),
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
            assert_eq!(accepted, served_until < accepted_until, "it is answered in time");
        }
    }
}
