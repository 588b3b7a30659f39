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
const CATCH_UP: Micros = 400_000;
/// In standby no set-up is taken after this: what is left by then never falls quiet by itself, and 4 s after
/// the command no connection may carry a set-up of the last 2 s.
const LAST_TAKEN: Micros = 1_900_000;
/// The last connection stays for calls of others until this: 4 s after the command none may be idle, and what
/// ends in between has 1 s to be told, for which clients are back in time.
const FOR_OTHERS: Micros = 3_850_000;
/// One that was replaced takes set-ups for so long: a caller that is refused is served by the other.
const LAST_TAKEN_REPLACED: Micros = 600_000;
/// One that stops without a successor serves as ever for so long: set-ups come on new connections for 0.4 s,
/// on those for 0.2 s more, and some time to arrive.
const SERVES_STOPPING: Micros = 700_000;
/// What comes until then is taken where it is answered before the kill, since it may have been read late.
const LAST_TAKEN_STOPPING: Micros = 900_000;
/// Where the kill is near, no set-up is taken for so long before it: callers' connections are closed in that
/// time.
const NONE_TAKEN_BEFORE_KILL: Micros = 350_000;
/// Connections are accepted for so long after the last set-ups that are served as ever may come.
const ACCEPTS_STOPPING: Micros = 800_000;
/// One that another has replaced takes no connections any more; what it had accepted is known by now.
const REPLACED_STAYS: Micros = 200_000;
/// The kill may come this long after the longest deadline, which counts as so much at most.
const KILL_AFTER_DEADLINE: Micros = 700_000;
const MOST_DEADLINE: Micros = 3_000_000;
/// Every call has its final answer so long before the kill, and the process has ended so long before it.
const ANSWERED_BEFORE_KILL: Micros = 250_000;
const ENDED_BEFORE_KILL: Micros = 120_000;

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
pub struct IsStopping;

#[derive(Clone, Copy, Debug)]
struct Stopping {
    since: Micros,
    /// Another process serves in its place.
    replaced: bool,
    killed_at: Micros,
}

impl Stopping {
    /// Until when set-ups are taken, where that is so long after SIGTERM if the kill allows it.
    fn takes_until(&self, usual: Micros) -> Micros {
        (self.since + usual).min(self.killed_at - NONE_TAKEN_BEFORE_KILL)
    }

    fn last_taken(&self) -> Micros {
        self.takes_until(if self.replaced { LAST_TAKEN_REPLACED } else { LAST_TAKEN_STOPPING })
    }
}

/// How long after SIGTERM the kill may come; `longest_deadline`: 0 for none.
fn kill_after(longest_deadline: Micros) -> Micros {
    let deadline = if longest_deadline > 0 { longest_deadline.min(MOST_DEADLINE) } else { MOST_DEADLINE };
    deadline + KILL_AFTER_DEADLINE
}

/// How long after SIGTERM connections are accepted.
pub fn accepts_for(longest_deadline: Micros) -> Micros {
    ACCEPTS_STOPPING.min(kill_after(longest_deadline) - NONE_TAKEN_BEFORE_KILL)
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Duty {
    ready: bool,
    /// Since when clients are sent away.
    away: Option<Micros>,
    stopping: Option<Stopping>,
}

impl Duty {
    pub fn state(&self) -> State {
        match (self.stopping, self.away, self.ready) {
            (Some(_), _, _) => State::Stopping,
            (None, Some(_), _) => State::Standby,
            (None, None, false) => State::Starting,
            (None, None, true) => State::Serving,
        }
    }

    /// All that is needed to serve is there.
    pub fn ready(&mut self) {
        self.ready = true;
    }

    /// Sends clients away; said again, it changes nothing.
    pub fn standby(&mut self, now: Micros) -> Result<(), IsStopping> {
        if self.stopping.is_some() {
            return Err(IsStopping);
        }
        self.away.get_or_insert(now);
        Ok(())
    }

    /// Back to work, at any moment of the sending away.
    pub fn active(&mut self) -> Result<(), IsStopping> {
        if self.stopping.is_some() {
            return Err(IsStopping);
        }
        self.away = None;
        Ok(())
    }

    /// `replaced`: new connections go to another process from now on. Said again, it changes nothing.
    pub fn stop(&mut self, now: Micros, replaced: bool, longest_deadline: Micros) {
        let killed_at = now + kill_after(longest_deadline);
        self.stopping.get_or_insert(Stopping { since: now, replaced, killed_at });
    }

    /// When all calls that are open then get their final answers, since the process is killed soon after.
    pub fn answers_all_at(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.killed_at - ANSWERED_BEFORE_KILL)
    }

    /// When the process has to have ended.
    pub fn ends_by(&self) -> Option<Micros> {
        self.stopping.map(|stopping| stopping.killed_at - ENDED_BEFORE_KILL)
    }

    /// Whether nothing that would be served is still to come: the process may end once nothing is open.
    pub fn may_end(&self, now: Micros) -> bool {
        self.stopping.is_some_and(|stopping| match stopping.replaced {
            true => now >= stopping.since + REPLACED_STAYS,
            false => now >= stopping.last_taken(),
        })
    }

    /// Whether a caller that tests this call agent is told that it is well. A process that stops is no matter
    /// of callers: the platform sends them elsewhere, or another process serves the same address.
    pub fn passes(&self) -> bool {
        self.away.is_none()
    }

    /// Since when another process has served in our place.
    fn replaced(&self) -> Option<Micros> {
        self.stopping.filter(|stopping| stopping.replaced).map(|stopping| stopping.since)
    }

    /// How it has been stopping without one.
    fn not_replaced(&self) -> Option<Stopping> {
        self.stopping.filter(|stopping| !stopping.replaced)
    }

    /// From when on callers' connections are let go of.
    pub fn lets_go_from(&self) -> Option<Micros> {
        let away = self.away.map(|at| at + CATCH_UP);
        let stopping = self.not_replaced().map(|stopping| stopping.last_taken());
        [self.replaced(), away, stopping].into_iter().flatten().min()
    }

    /// Whether a connection stays for the releases of what stands: `own` calls that were made on it, of `all`
    /// that there are. A process that serves in our place gets them instead, or the one that is started after
    /// this.
    pub fn keeps(&self, now: Micros, own: usize, all: usize) -> bool {
        let for_others = self.away.is_some_and(|at| now < at + FOR_OTHERS);
        self.stopping.is_none() && (own > 0 || all > 0 && for_others)
    }

    /// Whether a set-up is taken whose answer is waited for until then.
    pub fn takes(&self, now: Micros, answer_by: Micros) -> bool {
        let is_late =
            self.not_replaced().is_some_and(|stopping| now >= stopping.takes_until(SERVES_STOPPING));
        let is_carried = self.answers_all_at().is_none_or(|at| answer_by <= at);
        self.takes_set_ups(now) && (!is_late || is_carried)
    }

    /// Whether any set-up is taken.
    pub fn takes_set_ups(&self, now: Micros) -> bool {
        self.away.is_none_or(|at| now < at + LAST_TAKEN)
            && self.stopping.is_none_or(|stopping| now < stopping.last_taken())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[derive(Clone, Copy)]
    enum Do {
        Ready,
        Standby,
        Active,
        Stop,
        Replaced,
    }

    #[test]
    fn every_command_in_every_state() {
        use Do::*;
        // What was done, a second apart; then the state, whether tests pass, from when connections are let
        // go of and whether set-ups are taken another 2 s later.
        type Line<'a> = (&'a [Do], State, bool, Option<Micros>, bool);
        let table: [Line; 13] = [
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
        for (place, (done, state, passes, lets_go, takes)) in table.into_iter().enumerate() {
            let (mut duty, mut now) = (Duty::default(), 0);
            for step in done {
                let stopping = duty.state() == State::Stopping;
                let mut said = Ok(());
                match step {
                    Ready => duty.ready(),
                    Standby => said = duty.standby(now),
                    Active => said = duty.active(),
                    Stop => duty.stop(now, false, 3_000 * MS),
                    Replaced => duty.stop(now, true, 3_000 * MS),
                }
                assert_eq!(said.is_err(), stopping && matches!(step, Standby | Active), "line {place}");
                now += 1_000 * MS;
            }
            let seen =
                (duty.state(), duty.passes(), duty.lets_go_from(), duty.takes_set_ups(now + 2_000 * MS));
            assert_eq!(seen, (state, passes, lets_go, takes), "line {place}");
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
        for (replaced, longest, killed_at, taken_until) in table {
            let mut duty = Duty::default();
            assert_eq!((duty.answers_all_at(), duty.ends_by(), duty.may_end(0)), (None, None, false));
            duty.stop(0, replaced, longest);
            duty.stop(500 * MS, !replaced, 0);
            let (answers, ends) =
                (duty.answers_all_at().expect("it stops"), duty.ends_by().expect("it stops"));
            assert!(
                answers < ends && ends < killed_at && ends + 200 * MS > killed_at,
                "{replaced} {longest}"
            );
            assert!(!duty.may_end(100 * MS) && duty.may_end(900 * MS));
            assert!(duty.takes_set_ups(taken_until - 1) && !duty.takes_set_ups(taken_until));
            assert!(taken_until + 100 * MS <= answers && accepts_for(longest) < answers);
            let served_until = taken_until.min(700 * MS);
            assert!(duty.takes(served_until - 1, ends) && !duty.takes(served_until, ends));
            let in_time = duty.takes(served_until, answers);
            assert_eq!(in_time, served_until < taken_until, "it is answered in time");
        }
    }
}
