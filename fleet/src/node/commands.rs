//! Following the council, and commands: those of staff by way of this member, and those of others to it as
//! the leader.

use super::*;

/// Statuses go to the leader so often in a small fleet; and this longer for each member.
const FOLLOW: Millis = 250;
const FOLLOW_MEMBER: Millis = 10;
/// A command is said again to whoever leads after this, and given up after that.
const ASK_AGAIN: Millis = 500;
const ASK_FOR: Millis = 8_000;
const MOST_PROPOSING: usize = 1024;

impl Node {
    pub(super) fn follow_every(&self) -> Millis {
        FOLLOW.max(FOLLOW_MEMBER * (self.peers.len() as Millis + 1))
    }

    /// A status is fresh up to this age.
    pub(super) fn fresh(&self) -> Millis {
        3 * self.follow_every() + 500
    }

    pub(super) fn follow(&mut self, now: Millis) {
        if now < self.followed + self.follow_every() || self.leads() {
            return;
        }
        self.followed = now;
        let known = self.leader_name().and_then(|name| self.peers.get(&name));
        let known = known.filter(|peer| peer.health == Health::Alive).map(|peer| peer.member.address);
        let to = known.or_else(|| {
            // Anybody may know more than we do; another one every time.
            let others = self.addresses();
            self.next_peer += 1;
            (!others.is_empty()).then(|| others[self.next_peer % others.len()])
        });
        if let Some(to) = to {
            let (known, status) = (self.page.index, self.own.clone());
            self.send(to, Payload::Follow { known, status });
        }
    }

    pub(super) fn state(
        &mut self,
        now: Millis,
        from: &Member,
        index: u64,
        leader: Option<String>,
        agreed: Option<Vec<u8>>,
    ) {
        let agreed: Option<Agreed> = agreed.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        if self.council.as_ref().is_some_and(Council::votes) {
            // A voter hears of it by the log; but one that was replaced while it heard nothing never does.
            let gone = agreed.is_some_and(|agreed| !agreed.voters.contains_key(&self.page.node));
            if gone && index > self.page.index {
                self.reborn(now, 0, "the council went on without this member");
            }
            return;
        }
        if leader.is_some() {
            // Where to ask, whoever says so; but only a voter knows that there is one.
            if self.page.agreed.voters.contains_key(&from.node) {
                self.leader_heard = now;
            }
            self.leader = leader;
        }
        if now > self.leader_heard + LEADERLESS {
            self.leader = None;
        }
        if index > self.page.index {
            if let Some(agreed) = agreed {
                (self.page.agreed, self.page.index) = (agreed, index);
                self.settle_asks();
            }
        }
    }

    /// Says what is under way again where nobody answered, and gives up in time.
    pub(super) fn ask_on(&mut self, now: Millis) {
        let due: Vec<CommandId> = self
            .asks
            .iter()
            .filter(|(_, asked)| asked.sent.is_none_or(|sent| now >= sent + ASK_AGAIN))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(asked) = self.asks.get_mut(&id) else { continue };
            if now >= asked.since + ASK_FOR {
                self.asks.remove(&id);
                let told = Told::Outcome(Err(Refusal::NoMajority));
                self.effects.push(Effect::Told { id, told });
                continue;
            }
            asked.sent = Some(now);
            let ask = asked.ask.clone();
            if self.leads() {
                self.asked(id, ask, Asker::Here);
                continue;
            }
            let leader = self.leader_name().and_then(|name| self.peers.get(&name));
            if let Some(to) = leader.map(|peer| peer.member.address) {
                self.send(to, Payload::Ask { id, ask });
            }
        }
        self.turn_council(now);
    }

    /// Somebody asks this member as the leader.
    pub(super) fn asked(&mut self, id: CommandId, ask: Ask, asker: Asker) {
        if !self.leads() {
            return self.answer(id, Told::NotLeading(self.leader_name()), asker);
        }
        match ask {
            Ask::Explain(machine) => {
                let (sight, limits) = (self.sight(self.ticked), &self.setup.limits);
                let text = order::explain(&self.page.agreed, &sight, limits, &machine);
                self.answer(id, Told::Text(text), asker);
            }
            Ask::Do(command) => {
                if let Some(outcome) = self.page.agreed.answer(id) {
                    let told = Told::Outcome(outcome.clone());
                    return self.answer(id, told, asker);
                }
                if let Err(refusal) = self.allowed(&command) {
                    return self.answer(id, Told::Outcome(Err(refusal)), asker);
                }
                if self.proposing.len() >= MOST_PROPOSING {
                    self.proposing.pop_first();
                }
                self.proposing.insert(id, asker);
                self.propose(id, command);
            }
        }
    }

    /// What the leader refuses by what it is told, before the log sees it.
    pub(super) fn allowed(&self, command: &Command) -> Result<(), Refusal> {
        self.page.agreed.level(command)?;
        match command {
            Command::Forget { name } => {
                let alive = |peer: &Peer| matches!(peer.health, Health::Alive | Health::Suspect);
                if *name == self.me().name || self.peers.get(name).is_some_and(alive) {
                    return Err(Refusal::Alive(name.clone()));
                }
                Ok(())
            }
            Command::Add { machine, kind: Kind::Server(number), .. } => {
                let lists = |status: &Status| status.classes.iter().any(|class| class.contains(number));
                let told = self.peers.values().filter_map(|peer| peer.status.as_ref());
                if lists(&self.own) || told.into_iter().any(|(status, _)| lists(status)) {
                    return Ok(());
                }
                Err(Refusal::UnknownMachine(machine.clone()))
            }
            // These are the leader's own.
            Command::Grant { .. } | Command::Clock | Command::Join { .. } | Command::Succeed { .. } => {
                Err(Refusal::Not("only the council says that".into()))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn propose(&mut self, id: CommandId, command: Command) {
        let now = self.ticked;
        let at_ms = self
            .lead
            .as_ref()
            .map_or(self.page.agreed.time_ms, |lead| lead.time_ms + now.saturating_sub(lead.since));
        let entry = Entry { id, at_ms, command };
        if let Some(council) = &mut self.council {
            council.propose(postcard::to_stdvec(&entry).unwrap_or_default());
        }
    }

    /// A command of the leader's own.
    pub(super) fn order(&mut self, command: Command) {
        self.count += 1;
        let id = CommandId { origin: self.me().boot, count: self.count };
        self.propose(id, command);
    }

    pub(super) fn answer(&mut self, id: CommandId, told: Told, asker: Asker) {
        match asker {
            Asker::At(to) => self.send(to, Payload::Told { id, told }),
            Asker::Here => self.told(id, told),
        }
    }

    pub(super) fn told(&mut self, id: CommandId, told: Told) {
        if let Told::NotLeading(_) = told {
            return;
        }
        // An answer that came before settles nothing more.
        if self.asks.remove(&id).is_none() {
            return;
        }
        if self.begin.is_some_and(|(begin, ..)| begin == id) {
            return self.word_came(&told);
        }
        if let Some((saying, event, grant, _)) = self.saying.filter(|(saying, ..)| *saying == id) {
            let agreed = told == Told::Outcome(Ok(()));
            self.saying = agreed.then_some((saying, event, grant, true));
            return;
        }
        self.effects.push(Effect::Told { id, told });
    }

    /// Answers that came by way of the log or of what was followed.
    pub(super) fn settle_asks(&mut self) {
        let known: Vec<CommandId> =
            self.asks.keys().filter(|id| self.page.agreed.answer(**id).is_some()).copied().collect();
        for id in known {
            if let Some(outcome) = self.page.agreed.answer(id).cloned() {
                self.told(id, Told::Outcome(outcome));
            }
        }
    }
}
