//! This machine's own work: it asks before it leaves, says what became of it, and comes back.

use super::*;

/// The council's word that this machine may leave holds for so long from when it was asked for.
pub const WORD_HOLDS: Millis = 2_000;

impl Node {
    pub(super) fn look_at_self(&mut self, now: Millis) {
        if self.page.index == 0 {
            // Nothing is known of this council yet; what was promised to the one before stays.
            return;
        }
        let name = self.me().name.clone();
        let item = self.page.agreed.item(&name).filter(|item| item.kind == Kind::Agent).cloned();
        let Some(item) = item.filter(|item| item.grant.is_some()) else {
            return self.come_back();
        };
        let grant = item.grant.unwrap_or(0);
        match item.state {
            State::Granted | State::Draining | State::Out | State::Overdue => {
                // An older number is nobody's word any more.
                if self.page.left.is_some_and(|left| left >= grant) && self.away {
                    if self.page.left == Some(grant) && item.state == State::Draining {
                        self.say_drained(now, &name, grant);
                    }
                    return;
                }
                self.ask_to_leave(now, &name, grant);
            }
            State::Returning | State::Lost => {
                self.come_back();
                if self.own.serving {
                    self.say(now, &name, grant, Event::Back);
                }
            }
            State::Requested | State::Done | State::Withdrawn => self.come_back(),
        }
    }

    /// Asks the council whether the grant still holds, by way of the log: once that is agreed, the machine
    /// counts as out until it says otherwise itself.
    pub(super) fn ask_to_leave(&mut self, now: Millis, name: &str, grant: u64) {
        let waits = self.begin.is_some_and(|(id, ..)| self.asks.contains_key(&id));
        if waits {
            return;
        }
        if let Some((id, ..)) = self.begin.take() {
            self.asks.remove(&id);
        }
        let command = Command::About { machine: name.into(), grant, event: Event::Begin };
        // Noted first: the answer may come at once where this member leads.
        let id = CommandId { origin: self.me().boot, count: self.count + 1 };
        self.begin = Some((id, now, grant));
        self.ask(now, Ask::Do(command));
    }

    /// The council's word on that.
    pub(super) fn word_came(&mut self, told: &Told) {
        let Some((_, since, grant)) = self.begin.take() else { return };
        // `ticked` is of this moment or the tick before; a member that slept has dropped the question.
        if *told != Told::Outcome(Ok(())) || self.ticked > since + WORD_HOLDS {
            return;
        }
        let name = self.me().name.clone();
        // Another one may have come since it was asked about this one.
        if self.page.agreed.item(&name).is_some_and(|item| item.grant == Some(grant)) {
            self.leave_by(grant);
        }
    }

    pub(super) fn leave_by(&mut self, grant: u64) {
        self.page.left = Some(grant);
        self.keep();
        self.away = true;
        self.effects.push(Effect::Leave { grant });
        self.log(format!("fleet: this machine leaves for work, grant {grant}"));
    }

    pub(super) fn say_drained(&mut self, now: Millis, name: &str, grant: u64) {
        if !self.own.serving && self.own.calls == 0 {
            self.say(now, name, grant, Event::Drained);
        }
    }

    /// Says something of itself, once, until it is agreed or refused.
    pub(super) fn say(&mut self, now: Millis, machine: &str, grant: u64, event: Event) {
        let said = |(id, said, by, agreed): (CommandId, Event, u64, bool)| {
            (said, by) == (event, grant) && (agreed || self.asks.contains_key(&id))
        };
        if self.saying.is_some_and(said) {
            return;
        }
        let command = Command::About { machine: machine.into(), grant, event };
        let id = CommandId { origin: self.me().boot, count: self.count + 1 };
        self.saying = Some((id, event, grant, false));
        self.ask(now, Ask::Do(command));
    }

    pub(super) fn come_back(&mut self) {
        if std::mem::take(&mut self.away) {
            self.page.left = None;
            self.effects.push(Effect::Return);
            self.log("fleet: this machine serves again".into());
            self.keep();
        }
        self.begin = None;
    }

    pub(super) fn hold(&mut self) {
        let held: BTreeMap<u32, u64> = self
            .page
            .agreed
            .open
            .iter()
            .filter(|item| matches!(item.state, State::Draining | State::Out | State::Overdue))
            .filter_map(|item| match item.kind {
                Kind::Server(number) => Some((number, item.grant.unwrap_or(0))),
                Kind::Agent => None,
            })
            .collect();
        if held != self.held {
            self.held.clone_from(&held);
            self.effects.push(Effect::Hold(held));
        }
    }
}
