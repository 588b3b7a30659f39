//! Whether this call agent takes work, and when callers' connections are let go of.
//!
//! | state | tests and `status` | new set-ups | callers' connections |
//! | --- | --- | --- | --- |
//! | starting | `status` says no | served | stay |
//! | serving | yes | served | stay |
//! | standby | no | served, refused in the end | let go of as each falls quiet |
//! | stopping | `status` says no | served | stay |
//! | the same, replaced | `status` says no | served, refused in the end | let go of as each falls quiet |

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
/// One that was replaced is killed 0.7 s after the longest deadline: what it takes by now has its answer by
/// then, and a caller that is refused is served by the other.
const LAST_TAKEN_REPLACED: Micros = 600_000;

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

#[derive(Clone, Copy, Debug, Default)]
pub struct Duty {
    ready: bool,
    /// Since when clients are sent away.
    away: Option<Micros>,
    /// Since when it stops, and whether another process serves in its place.
    stopping: Option<(Micros, bool)>,
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

    /// `replaced`: new connections go to another process from now on.
    pub fn stop(&mut self, now: Micros, replaced: bool) {
        self.stopping.get_or_insert((now, replaced));
    }

    /// Whether a caller that tests this call agent is told that it is well. A process that stops is no matter
    /// of callers: the platform sends them elsewhere, or another process serves the same address.
    pub fn passes(&self) -> bool {
        self.away.is_none()
    }

    /// Since when another process has served in our place.
    fn replaced(&self) -> Option<Micros> {
        self.stopping.filter(|(_, replaced)| *replaced).map(|(at, _)| at)
    }

    /// From when on callers' connections are let go of.
    pub fn lets_go_from(&self) -> Option<Micros> {
        self.replaced().into_iter().chain(self.away.map(|at| at + CATCH_UP)).min()
    }

    /// Whether a connection stays for the releases of what stands: `own` calls that were made on it, of `all`
    /// that there are. A process that serves in our place gets them instead.
    pub fn keeps(&self, now: Micros, own: usize, all: usize) -> bool {
        let for_others = self.away.is_some_and(|at| now < at + FOR_OTHERS);
        self.replaced().is_none() && (own > 0 || all > 0 && for_others)
    }

    pub fn takes_set_ups(&self, now: Micros) -> bool {
        self.away.is_none_or(|at| now < at + LAST_TAKEN)
            && self.replaced().is_none_or(|at| now < at + LAST_TAKEN_REPLACED)
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
            (&[Ready, Stop], State::Stopping, true, None, true),
            (&[Ready, Stop, Standby], State::Stopping, true, None, true),
            (&[Ready, Replaced], State::Stopping, true, Some(1_000 * MS), false),
            (&[Ready, Standby, Replaced, Active], State::Stopping, false, Some(1_400 * MS), false),
            (&[Ready, Stop, Replaced, Active], State::Stopping, true, None, true),
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
                    Stop => duty.stop(now, false),
                    Replaced => duty.stop(now, true),
                }
                assert_eq!(said.is_err(), stopping && matches!(step, Standby | Active), "line {place}");
                now += 1_000 * MS;
            }
            let seen =
                (duty.state(), duty.passes(), duty.lets_go_from(), duty.takes_set_ups(now + 2_000 * MS));
            assert_eq!(seen, (state, passes, lets_go, takes), "line {place}");
        }
    }
}
