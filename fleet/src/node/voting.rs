//! This member's part in the council: founding it, voting in it, and taking over what it agrees.

use super::*;

/// What it missed is not made up for beyond this: a member that slept calls no election for it.
const MOST_TICKS: u64 = 3;
/// A founder looks for a council that there may be for so long.
const LOOK_ROUND: Millis = 2_000;

impl Node {
    /// Takes up another's council where ours is none or an older one; whether both are of the same one now.
    pub(super) fn adopt(&mut self, now: Millis, from: &Member, theirs: Foundation) -> bool {
        let ours = self.page.foundation;
        if theirs == ours {
            return true;
        }
        if theirs.number > ours.number {
            if ours.is_some() {
                self.log(format!("fleet: council {} of {} replaces ours", theirs.number, from.name));
            }
            self.page.foundation = theirs;
            self.page.index = 0;
            (self.leader, self.leader_heard) = (None, now);
            self.begin_log(None);
            return true;
        }
        if theirs.number == ours.number && !std::mem::replace(&mut self.conflict, true) {
            self.log(format!(
                "fleet: {} has another council of the same number, staff must choose",
                from.name
            ));
        }
        // Another one that is older will take up ours; membership is the same for all.
        theirs.number == 0
    }

    pub(super) fn found_council(&mut self, now: Millis) {
        let first = self.setup.founders.first() == Some(&self.me().name);
        if !first || self.page.foundation.is_some() || now < self.started + LOOK_ROUND {
            return;
        }
        // A majority of the founders must know of none: of a council that stands, one of them would know.
        if 2 * (self.none_known.len() + 1) > self.setup.founders.len() {
            self.begin_council(now, 1);
            self.log("fleet: the council is founded".into());
        }
    }

    pub(super) fn begin_council(&mut self, now: Millis, number: u64) {
        let me = self.me().clone();
        self.page.foundation = Foundation { number, founder: me.node ^ me.boot };
        let voter = Voter { name: me.name, zone: me.zone, address: me.address };
        self.page.agreed.voters = BTreeMap::from([(me.node, voter)]);
        let write = Council::founding(me.node, self.agreed_bytes());
        let mut kept = crate::council::Disk::default();
        kept.write(write.clone());
        self.page.index = 1;
        self.begin_log(Some(write));
        self.council = Council::new(me.node, &kept.kept()).ok();
        (self.leader, self.leader_heard) = (None, now);
    }

    /// A voter with a log from before may only speak once enough of the others found its disk to be the one
    /// they had seen last: with itself a majority, so that one of them heard of whatever it had said.
    pub(super) fn may_speak(&mut self) -> bool {
        let vouched = |council: &Council| council.is_majority(&self.vouched);
        self.may_speak = self.may_speak || self.council.as_ref().is_none_or(vouched);
        self.may_speak
    }

    pub(super) fn raft(&mut self, now: Millis, from: &Member, bytes: &[u8]) {
        if !self.may_speak() {
            return;
        }
        if self.council.is_none() && self.page.foundation.is_some() {
            self.council = Council::new(self.page.node, &Kept::default()).ok();
        }
        let Some(council) = &mut self.council else { return };
        if council.received(bytes) && council.leader() == Some(from.node) {
            self.leader_heard = now;
        }
    }

    pub(super) fn tick_council(&mut self, now: Millis) {
        let ticks = (now.saturating_sub(self.ticked) / TICK).min(MOST_TICKS);
        if ticks > 0 {
            self.ticked = now;
            if self.may_speak() {
                if let Some(council) = &mut self.council {
                    for _ in 0..ticks {
                        council.tick();
                    }
                }
            }
        }
        self.turn_council(now);
    }

    /// Has the engine do what it has to, and takes over what was agreed.
    pub(super) fn turn_council(&mut self, now: Millis) {
        let Some(mut council) = self.council.take() else { return };
        let voted = council.votes();
        let mut answers = Vec::new();
        let page = &mut self.page;
        let steps = council.steps(|step| {
            match step {
                Step::Apply { index, data } => {
                    let known = |entry: &Entry| entry.command.since() <= self.setup.minor;
                    if let Some(entry) = postcard::from_bytes::<Entry>(data).ok().filter(known) {
                        let before = page.agreed.version;
                        let outcome = page.agreed.apply(&entry);
                        answers.push((entry, outcome, page.agreed.version > before));
                    }
                    page.index = *index;
                }
                Step::Voters { ids, context } => {
                    page.agreed.voters_are(ids, postcard::from_bytes(context).unwrap_or_default());
                }
                Step::Restore { data, .. } => {
                    if let Ok(agreed) = postcard::from_bytes(data) {
                        page.agreed = agreed;
                    }
                }
                Step::Write(_) | Step::Send { .. } => {}
            }
            postcard::to_stdvec(&page.agreed).unwrap_or_default()
        });
        self.page.index = self.page.index.max(council.applied());
        let replaced = voted && !council.votes();
        for step in steps {
            match step {
                Step::Write(write) => self.effects.push(Effect::Write(write)),
                Step::Send { to, bytes } => {
                    if let Some(to) = self.address_of(to) {
                        self.send(to, Payload::Raft(bytes));
                    }
                }
                Step::Apply { .. } | Step::Voters { .. } | Step::Restore { .. } => {}
            }
        }
        if council.leads() {
            self.leader_heard = now;
        }
        self.council = Some(council);
        for (entry, outcome, moved) in answers {
            if matches!(outcome, Err(Refusal::Fenced { .. } | Refusal::Stale { .. })) {
                self.fenced += 1;
            }
            if moved {
                self.tell_work(&entry);
            }
            if let Some(asker) = self.proposing.remove(&entry.id) {
                self.answer(entry.id, Told::Outcome(outcome), asker);
            }
        }
        self.settle_asks();
        if replaced {
            self.reborn(now, 0, "the council has replaced this member");
        }
    }

    /// A line of the log for staff, at the leader alone.
    pub(super) fn tell_work(&mut self, entry: &Entry) {
        if !self.leads() {
            return;
        }
        let machine = match &entry.command {
            Command::Add { machine, .. }
            | Command::Extend { machine, .. }
            | Command::Withdraw { machine }
            | Command::Finish { machine }
            | Command::Grant { machine, .. }
            | Command::About { machine, .. } => machine.clone(),
            Command::Pause { reason: Some(why) } => return self.log(format!("fleet: work is paused: {why}")),
            Command::Pause { reason: None } => return self.log("fleet: work goes on".into()),
            Command::Succeed { stream, epoch, name, .. } => {
                let line = format!("fleet: {name} takes over what stream {stream:x} promised, epoch {epoch}");
                return self.log(line);
            }
            Command::Settle { stream, .. } => {
                return self.log(format!("fleet: all that stream {stream:x} promised is kept"));
            }
            Command::Join { .. } | Command::Forget { .. } | Command::Clock => return,
        };
        let agreed = &self.page.agreed;
        let over = || agreed.over.iter().rev().find(|item| item.machine == machine);
        if let Some(item) = agreed.item(&machine).or_else(over) {
            let grant = item.grant.map_or_else(String::new, |grant| format!(", grant {grant}"));
            let state = item.state.word();
            self.log(format!("fleet: work on {machine} is {state}{grant}"));
        }
    }

    pub(super) fn address_of(&self, id: u64) -> Option<SocketAddr> {
        let peer = self.peers.values().find(|peer| peer.member.node == id).map(|peer| peer.member.address);
        peer.or_else(|| self.page.agreed.voters.get(&id).map(|voter| voter.address))
    }

    pub(super) fn leader_name(&self) -> Option<String> {
        let council = self.council.as_ref().filter(|council| council.votes());
        match council {
            Some(council) if council.leads() => Some(self.me().name.clone()),
            Some(council) => {
                let id = council.leader()?;
                self.page.agreed.voters.get(&id).map(|voter| voter.name.clone())
            }
            None => self.leader.clone(),
        }
    }

    pub(super) fn agreed_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.page.agreed).unwrap_or_default()
    }
}
