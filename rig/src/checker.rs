//! Judges a history. It shares no code with the program, and believes no member: calls are judged by what
//! callers and servers saw, leavings by how machines answered, crashes by what the rig did.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{Event, What};

/// What has to hold.
#[derive(Clone, Debug)]
pub struct Rules {
    pub zones: BTreeMap<String, String>,
    pub most_out: usize,
    /// A call has its answer within this, and its release within that of the server's; time for which its
    /// machine was stalled does not count.
    pub answer_ms: u64,
    pub release_ms: u64,
    /// A machine that was killed or stalled is known as lost to the others after this.
    pub noticed_ms: u64,
    /// What is promised is copied: a call that stood when its machine was killed has its release within that
    /// of its end, or of the kill, and one that nobody was told of is ended at its server.
    pub copied: bool,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Broken rules, in words.
    pub broken: Vec<String>,
    pub offered: usize,
    pub stood: usize,
    /// Answered with a refusal or an error.
    pub refused: usize,
    /// Set-ups that crossed the close of their connection, and came again.
    pub crossed: usize,
    /// Second ends that are excused, in words: the member that gave the first one was killed right after it,
    /// and nobody could know whether it was heard.
    pub again: Vec<String>,
    /// Calls that were open at a machine when it was killed or had stopped in order. After a kill no answer
    /// and, but where promises are copied, no release is owed for them; after a stop both are.
    pub taken: usize,
    /// The most machines that were not serving at once, and the fewest that served.
    pub most_away: usize,
    pub least_serving: usize,
    /// Machines that left for work, in order.
    pub left: Vec<String>,
}

/// A caller's confirmation of an end has reached its member, and the replicas, within this.
const CONFIRMED_MS: u64 = 500;
/// A set-up that crosses the close of its connection within this time is sent again, once.
const CROSSING_MS: u64 = 50;

/// The end of the connection on which a call was offered, as its caller saw it.
struct Close {
    at: u64,
    written: u64,
    not_before: u64,
}

impl Close {
    /// Whether it may have come so soon after the set-up: its caller may have seen it late.
    fn is_crossed(&self) -> bool {
        self.not_before <= self.written + CROSSING_MS
    }
}

#[derive(Default)]
struct Call<'a> {
    machine: &'a str,
    offered: u64,
    /// The closes of the connections on which it came before.
    crossed: Vec<Close>,
    answered: Option<u64>,
    closed: Option<Close>,
    released: Option<u64>,
    asked: bool,
    cut: bool,
    answers: u32,
    /// When it was ended, and by which member.
    ends: Vec<(u64, &'a str)>,
}

impl Call<'_> {
    fn ended(&self) -> Option<u64> {
        self.ends.first().map(|(at, _)| *at)
    }

    /// Whether it was open at a moment, or so soon before or after that it may have been.
    fn is_open_at(&self, moment: u64) -> bool {
        let unheard = self.closed.as_ref().filter(|_| self.answered.is_none()).map(|close| close.at);
        let over = self.ended().or(unheard).unwrap_or(u64::MAX);
        self.offered <= moment + 100 && over.saturating_add(100) >= moment
    }
}

/// What was done to machines, each time.
#[derive(Default)]
struct Machines<'a> {
    started: BTreeMap<&'a str, Vec<u64>>,
    /// Without a plan.
    killed: BTreeMap<&'a str, Vec<u64>>,
    /// In order, when the process had ended.
    stopped: BTreeMap<&'a str, Vec<u64>>,
    /// From when until when.
    stalled: BTreeMap<&'a str, Vec<(u64, u64)>>,
}

impl Machines<'_> {
    /// The kill that excuses that an end was followed by another one: of the member that gave the first, in
    /// the time in which its caller's confirmation was on its way, and ahead of the second. The same member
    /// gives that only after it was started anew.
    fn excuse(&self, first: (u64, &str), second: (u64, &str)) -> Option<u64> {
        let on_its_way = first.0..=first.0 + CONFIRMED_MS;
        let kills = self.killed.get(first.1)?.iter().copied();
        let mut kills = kills.filter(|at| on_its_way.contains(at) && *at <= second.0);
        let starts = self.started.get(first.1).map_or(&[][..], Vec::as_slice);
        let back = |kill: u64| starts.iter().any(|at| (kill..=second.0).contains(at));
        kills.find(|kill| first.1 != second.1 || back(*kill))
    }
}

pub fn judge(events: &[Event], rules: &Rules) -> Findings {
    let mut findings = Findings { least_serving: rules.zones.len(), ..Findings::default() };
    calls(events, rules, &mut findings);
    leavings(events, rules, &mut findings);
    grants(events, &mut findings);
    findings
}

/// When something is due that was to come so long after a moment, by a machine that was stalled meanwhile.
fn due(from: u64, within: u64, stalls: &[(u64, u64)]) -> u64 {
    stalls.iter().filter(|(_, until)| *until > from).fold(from + within, |due, (since, until)| {
        due + if *since <= due { until - since.max(&from) } else { 0 }
    })
}

/// Each call gets one answer, and each that stood one release; but what was at a machine that was killed.
fn calls(events: &[Event], rules: &Rules, findings: &mut Findings) {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut machines = Machines::default();
    let end = events.last().map_or(0, |event| event.at);
    for Event { at, what } in events {
        match what {
            What::Offered { call, machine } => {
                let call = calls.entry(*call).or_default();
                (call.machine, call.offered) = (machine, *at);
            }
            What::Answered { call } => {
                let call = calls.entry(*call).or_default();
                call.answered.get_or_insert(*at);
                call.answers += 1;
            }
            What::Ended { call, machine, .. } => calls.entry(*call).or_default().ends.push((*at, machine)),
            What::OfferedAgain { call, machine } => {
                let call = calls.entry(*call).or_default();
                (call.machine, call.offered) = (machine, *at);
                call.crossed.extend(call.closed.take());
            }
            What::Closed { call, written, not_before } => {
                let close = Close { at: *at, written: *written, not_before: *not_before };
                calls.entry(*call).or_default().closed = Some(close);
            }
            What::Asked { call, .. } => calls.entry(*call).or_default().asked = true,
            What::Cut { call } => calls.entry(*call).or_default().cut = true,
            What::Released { call } => calls.entry(*call).or_default().released = Some(*at),
            What::Started { machine } => machines.started.entry(machine).or_default().push(*at),
            What::Killed { machine } => machines.killed.entry(machine).or_default().push(*at),
            What::Stopped { machine, code } => {
                machines.stopped.entry(machine).or_default().push(*at);
                if *code != 0 {
                    findings.broken.push(format!("at {at} {machine} stopped with code {code}"));
                }
            }
            What::Stalled { machine } => machines.stalled.entry(machine).or_default().push((*at, end)),
            What::Continued { machine } => {
                let stalls = machines.stalled.entry(machine).or_default();
                stalls.last_mut().into_iter().for_each(|stall| stall.1 = *at);
            }
            _ => {}
        }
    }
    for (id, call) in &calls {
        judge_call(*id, call, &machines, end, rules, findings);
    }
}

fn judge_call(id: u64, call: &Call, machines: &Machines, end: u64, rules: &Rules, findings: &mut Findings) {
    let open_at = |times: &BTreeMap<&str, Vec<u64>>| {
        times.get(call.machine).and_then(|times| times.iter().copied().find(|at| call.is_open_at(*at)))
    };
    let (killed, stopped) = (open_at(&machines.killed), open_at(&machines.stopped));
    let stalls = machines.stalled.get(call.machine).map_or(&[][..], Vec::as_slice);
    let (machine, offered, ended) = (call.machine, call.offered, call.ended());
    findings.offered += 1;
    findings.taken += usize::from(killed.or(stopped).is_some());
    findings.stood += usize::from(call.answered.is_some());
    findings.refused += usize::from(call.answered.is_none() && ended.is_some());
    let mut broken = Vec::new();
    for pair in call.ends.windows(2) {
        let ((first, by), (second, next)) = (pair[0], pair[1]);
        match machines.excuse(pair[0], pair[1]).filter(|_| rules.copied) {
            Some(killed) => findings.again.push(format!(
                "call {id}: ended by {by} at {first}, which was killed at {killed}, and by {next} at {second}"
            )),
            None => broken.push(format!("ended twice, by {by} at {first} and by {next} at {second}")),
        }
    }
    if call.answers > 1 {
        broken.push("answered twice".into());
    }
    findings.crossed += usize::from(!call.crossed.is_empty());
    broken.extend(call.crossed.iter().filter(|close| !close.is_crossed()).map(unanswered));
    if call.crossed.len() > 1 {
        broken.push("it came again more than once".into());
    }
    if let (true, Some(from)) = (rules.copied, killed.or(stopped)) {
        let over = call.released.unwrap_or(from).max(from) + rules.release_ms;
        let told = call.answered.is_some();
        match ended {
            None if told && end > over => {
                broken.push("its machine was lost, and nobody gave its release".into());
            }
            Some(at) if told && at > over => {
                broken.push("its machine was lost, and its release came late".into());
            }
            None if call.asked && !told && !call.cut && call.released.is_none() && end > over => {
                broken.push("its machine was lost, and it stands at its server".into());
            }
            _ => {}
        }
    }
    // A machine that stops in order answers what it has taken; others release what it does not.
    if killed.is_none() {
        let answer_by = due(offered, rules.answer_ms, stalls);
        // What another connection is told later is no answer to a set-up whose own was closed without one.
        let first = call.answered.or(ended.filter(|_| call.closed.is_none()));
        match (first, &call.closed) {
            (None, Some(close)) if !close.is_crossed() => broken.push(unanswered(close)),
            (None, Some(close)) if end > answer_by => broken.push(format!(
                "its connection was closed at {} without an answer, and it came no more",
                close.at
            )),
            (None, None) if end > answer_by => broken.push("no answer".into()),
            (Some(at), _) if at > answer_by => broken.push("answered too late".into()),
            _ => {}
        }
        if let (Some(_), None, Some(released)) = (call.answered, ended, call.released) {
            if end > due(released, rules.release_ms, stalls) {
                broken.push(format!("released by its server at {released}, and not towards its caller"));
            }
        }
    }
    let of_call = |what| format!("call {id} offered to {machine} at {offered}: {what}");
    findings.broken.extend(broken.into_iter().map(of_call));
}

/// A set-up without an answer on a connection that was closed later than what crosses it.
fn unanswered(close: &Close) -> String {
    let Close { at, written, not_before } = close;
    format!("written at {written}, and its connection was closed at {not_before} to {at} without an answer")
}

/// No more machines leave than may, nor of two zones, and none while others are known to be lost.
fn leavings(events: &[Event], rules: &Rules, findings: &mut Findings) {
    let mut states: BTreeMap<&str, &str> = BTreeMap::new();
    let mut all_served = false;
    // Since when a machine is down by the rig's doing.
    let mut down: BTreeMap<&str, u64> = BTreeMap::new();
    for Event { at, what } in events {
        match what {
            What::Killed { machine } | What::Stopped { machine, .. } => {
                down.entry(machine).or_insert(*at);
                states.insert(machine, "silent");
            }
            What::Stalled { machine } => {
                down.entry(machine).or_insert(*at);
            }
            What::Started { machine } | What::Continued { machine } => {
                down.remove(machine.as_str());
            }
            // One that is up and slow to answer is as it was: else it would leave unseen.
            What::Seen { machine, state } if state == "silent" && !down.contains_key(machine.as_str()) => {}
            What::Seen { machine, state } => {
                let before = states.insert(machine, state);
                let leaves = state == "standby" && matches!(before, Some("serving"));
                let away: BTreeSet<&str> = states
                    .iter()
                    .filter(|(name, state)| **state == "standby" && !down.contains_key(**name))
                    .map(|(name, _)| *name)
                    .collect();
                let serving = states.values().filter(|state| **state == "serving").count();
                all_served |= serving == rules.zones.len();
                if all_served {
                    findings.least_serving = findings.least_serving.min(serving);
                }
                findings.most_away = findings.most_away.max(away.len());
                if !leaves {
                    continue;
                }
                findings.left.push(machine.clone());
                // Machines that the others must know to be lost, and those under work that were stopped.
                let lost: BTreeSet<&str> = down
                    .iter()
                    .filter(|(name, since)| *at > **since + rules.noticed_ms && **name != machine.as_str())
                    .map(|(name, _)| *name)
                    .collect();
                let out: BTreeSet<&str> = away.union(&lost).copied().collect();
                if out.len() > rules.most_out {
                    findings.broken.push(format!("at {at} {machine} leaves, and {out:?} are out"));
                }
                let zones: BTreeSet<&String> = out.iter().filter_map(|name| rules.zones.get(*name)).collect();
                if zones.len() > 1 {
                    findings.broken.push(format!("at {at} {machine} leaves, and zones {zones:?} are out"));
                }
            }
            _ => {}
        }
    }
}

/// A number is one machine's alone, and later leavings go by greater ones.
fn grants(events: &[Event], findings: &mut Findings) {
    let mut last = 0;
    let mut by: BTreeMap<u64, &str> = BTreeMap::new();
    for Event { at, what } in events {
        let What::Logged { machine, line } = what else { continue };
        let Some((_, number)) = line.split_once("this machine leaves for work, grant ") else { continue };
        let Ok(number) = number.trim().parse::<u64>() else { continue };
        if by.insert(number, machine).is_some_and(|before| before != machine) {
            findings.broken.push(format!("at {at} grant {number} is used by {machine} too"));
        }
        if number < last {
            findings.broken.push(format!("at {at} {machine} leaves by grant {number} after {last}"));
        }
        last = last.max(number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules() -> Rules {
        let zones = [("n1", "z1"), ("n2", "z2"), ("n3", "z2")];
        let zones = zones.into_iter().map(|(name, zone)| (name.to_string(), zone.to_string())).collect();
        Rules { zones, most_out: 1, answer_ms: 100, release_ms: 100, noticed_ms: 50, copied: false }
    }

    fn judged(events: &[(u64, What)]) -> Vec<String> {
        judged_by(&rules(), events)
    }

    fn judged_by(rules: &Rules, events: &[(u64, What)]) -> Vec<String> {
        findings(rules, events).broken
    }

    fn findings(rules: &Rules, events: &[(u64, What)]) -> Findings {
        let events: Vec<Event> =
            events.iter().map(|(at, what)| Event { at: *at, what: what.clone() }).collect();
        judge(&events, rules)
    }

    fn seen(machine: &str, state: &str) -> What {
        What::Seen { machine: machine.into(), state: state.into() }
    }

    /// Each breach that the checker is there for is found, and its harmless neighbour is not.
    #[test]
    fn it_finds_what_it_is_there_for() {
        let offered = (0, What::Offered { call: 1, machine: "n1".into() });
        let answered = (10, What::Answered { call: 1 });
        let released = (20, What::Released { call: 1 });
        let ended = (30, What::Ended { call: 1, why: 16, machine: "n1".into() });
        let later = (500, What::Phase { name: "end".into() });
        let good = [offered.clone(), answered.clone(), released.clone(), ended.clone(), later.clone()];
        assert_eq!(judged(&good), Vec::<String>::new());
        let without = |place: usize| {
            let mut events = good.to_vec();
            events.remove(place);
            judged(&events)
        };
        assert!(without(3)[0].contains("not towards its caller"));
        assert!(judged(&[offered.clone(), later.clone()])[0].contains("no answer"));
        let mut twice = good.to_vec();
        twice.insert(3, answered.clone());
        assert!(judged(&twice)[0].contains("answered twice"));
        let mut twice = good.to_vec();
        twice.insert(4, ended.clone());
        assert!(judged(&twice)[0].contains("ended twice"));
        let killed = (15, What::Killed { machine: "n1".into() });
        let taken = [offered.clone(), killed, later.clone()];
        assert_eq!(judged(&taken), Vec::<String>::new(), "its machine took it along");
        let stalled = |from, until| {
            let machine = || "n1".to_string();
            [(from, What::Stalled { machine: machine() }), (until, What::Continued { machine: machine() })]
        };
        let during = |[stall, goes_on]: [(u64, What); 2], at| {
            judged(&[offered.clone(), stall, goes_on, (at, What::Answered { call: 1 }), later.clone()])
        };
        assert_eq!(during(stalled(50, 300), 340), Vec::<String>::new(), "its machine was stalled for 250 ms");
        assert!(during(stalled(50, 300), 360)[0].contains("answered too late"));
        assert!(during(stalled(101, 300), 340)[0].contains("answered too late"), "it was late before");
        let [stall, goes_on] = stalled(15, 250);
        let lost = [offered, answered, stall, released, goes_on, later];
        assert!(judged(&lost)[0].contains("not towards its caller"), "a stall loses nothing");
    }

    /// Where promises are copied a machine that was killed takes no promise along.
    #[test]
    fn it_finds_promises_that_were_lost_with_a_machine() {
        let rules = Rules { copied: true, ..rules() };
        let offered = (0, What::Offered { call: 1, machine: "n1".into() });
        let asked = (5, What::Asked { call: 1, server: 1 });
        let answered = (10, What::Answered { call: 1 });
        let killed = (20, What::Killed { machine: "n1".into() });
        let released = |at| (at, What::Released { call: 1 });
        let ended = |at| (at, What::Ended { call: 1, why: 16, machine: "n1".into() });
        let later = (900, What::Phase { name: "end".into() });
        let of = |events: &[(u64, What)]| judged_by(&rules, events);
        let stood = [offered.clone(), asked.clone(), answered, killed.clone()];
        let then = |more: &[(u64, What)]| of(&[&stood[..], more, std::slice::from_ref(&later)].concat());
        assert!(then(&[released(300), ended(390)]).is_empty());
        assert!(then(&[released(300), ended(410)])[0].contains("came late"));
        assert!(then(&[released(15), ended(115)]).is_empty(), "by the kill, where that was later");
        assert!(then(&[released(300)])[0].contains("nobody gave its release"));
        assert!(then(&[released(300), ended(310), ended(320)])[0].contains("ended twice"));
        let untold = |more: &[(u64, What)]| {
            of(&[&[offered.clone(), asked.clone(), killed.clone()][..], more, std::slice::from_ref(&later)]
                .concat())
        };
        assert!(untold(&[])[0].contains("stands at its server"));
        assert!(untold(&[(50, What::Cut { call: 1 })]).is_empty());
        assert!(untold(&[released(60)]).is_empty(), "its server has ended it");
    }

    /// A set-up that crosses a close within 50 ms comes again, once; one that came before that has an answer.
    #[test]
    fn it_finds_set_ups_that_are_lost_at_a_close() {
        let offered = (0, What::Offered { call: 1, machine: "n1".into() });
        let closed = |at, written, not_before| (at, What::Closed { call: 1, written, not_before });
        let again = |at| (at, What::OfferedAgain { call: 1, machine: "n2".into() });
        let answered = |at| (at, What::Answered { call: 1 });
        let later = (900, What::Phase { name: "end".into() });
        let of = |more: &[(u64, What)]| {
            findings(&rules(), &[std::slice::from_ref(&offered), more, std::slice::from_ref(&later)].concat())
        };
        for close in [closed(1, 0, 0), closed(60, 10, 60), closed(300, 10, 60)] {
            let crossed = of(&[close.clone(), again(310), answered(400)]);
            assert!(crossed.broken.is_empty() && crossed.crossed == 1, "{crossed:?}");
            assert!(of(&[close]).broken[0].contains("came no more"));
        }
        let late = closed(70, 10, 61);
        assert!(of(std::slice::from_ref(&late)).broken[0].contains("closed at 61 to 70 without an answer"));
        let ended = (80, What::Ended { call: 1, why: 16, machine: "n2".into() });
        assert!(
            of(&[late.clone(), ended]).broken[0].contains("without an answer"),
            "no answer to its caller"
        );
        assert_eq!(of(&[late, again(80), answered(90)]).broken.len(), 1, "it was lost before it came again");
        assert_eq!(of(&[closed(1, 0, 0), again(10)]).broken.len(), 1, "no answer");
        assert!(of(&[closed(1, 0, 0), again(10), answered(111)]).broken[0].contains("too late"));
        let twice = [closed(1, 0, 0), again(10), closed(11, 10, 10)];
        assert_eq!(of(&twice).broken.len(), 1, "only once");
        assert_eq!(of(&[&twice[..], &[again(20), answered(30)]].concat()).broken.len(), 1, "only once");
        let killed = (500, What::Killed { machine: "n1".into() });
        assert_eq!(of(&[closed(70, 10, 61), killed]).broken.len(), 1, "it was lost long before the kill");
    }

    /// A second end is excused by an unplanned kill of the member that gave the first one, right after it.
    #[test]
    fn it_excuses_a_second_end_after_the_kill_of_the_member_that_gave_the_first() {
        let rules = Rules { copied: true, ..rules() };
        let machine = |name: &str| name.to_string();
        let ended = |at, by| (at, What::Ended { call: 1, why: 16, machine: machine(by) });
        let killed = |at, name| (at, What::Killed { machine: machine(name) });
        let stopped = (40, What::Stopped { machine: machine("n1"), code: 0 });
        let of = |more: &[(u64, What)]| {
            let given = [
                (0, What::Offered { call: 1, machine: machine("n1") }),
                (10, What::Answered { call: 1 }),
                (20, What::Released { call: 1 }),
                ended(30, "n1"),
            ];
            let later = [(2_000, What::Phase { name: "end".into() })];
            findings(&rules, &[&given[..], more, &later].concat())
        };
        let excused = of(&[killed(40, "n1"), ended(60, "n2")]);
        assert!(excused.broken.is_empty() && excused.again.len() == 1, "{excused:?}");
        let started = (50, What::Started { machine: machine("n1") });
        let back = of(&[killed(40, "n1"), started, ended(60, "n1")]);
        assert!(back.broken.is_empty() && back.again.len() == 1, "{back:?}");
        for (more, why) in [
            (&[stopped, ended(60, "n2")][..], "a stop in order is no kill"),
            (&[killed(40, "n3"), ended(60, "n2")], "another member was killed"),
            (&[killed(531, "n1"), ended(560, "n2")], "it had been confirmed for long"),
            (&[ended(35, "n2"), killed(40, "n1")], "the second end was first"),
            (&[killed(40, "n1"), ended(60, "n1")], "both were given by the one that was killed"),
            (&[killed(40, "n1"), ended(60, "n2"), ended(70, "n2")], "the second one was not killed"),
        ] {
            let found = of(more);
            assert!(found.broken.len() == 1 && found.broken[0].contains("ended twice"), "{why}: {found:?}");
        }
    }

    /// A machine that stops in order counts as away, and is excused from nothing.
    #[test]
    fn it_excuses_nothing_at_a_machine_that_stops_in_order() {
        let offered = (0, What::Offered { call: 1, machine: "n1".into() });
        let answered = (10, What::Answered { call: 1 });
        let released = (30, What::Released { call: 1 });
        let ended = |at| (at, What::Ended { call: 1, why: 16, machine: "n2".into() });
        let stopped = |code| (20, What::Stopped { machine: "n1".into(), code });
        let later = (900, What::Phase { name: "end".into() });
        let of = |copied, events: &[(u64, What)]| findings(&Rules { copied, ..rules() }, events);
        let stood = [offered.clone(), answered, stopped(0), released];
        let then = |copied, more: &[(u64, What)]| of(copied, &[&stood[..], more].concat());
        for copied in [false, true] {
            let good = then(copied, &[ended(90), later.clone()]);
            assert!(good.broken.is_empty() && good.taken == 1, "{good:?}");
            assert!(!then(copied, std::slice::from_ref(&later)).broken.is_empty(), "no release");
            let unanswered = of(copied, &[offered.clone(), stopped(0), later.clone()]);
            assert!(unanswered.broken[0].contains("no answer"), "{unanswered:?}");
        }
        assert!(then(true, &[ended(131), later.clone()]).broken[0].contains("came late"));
        assert!(of(false, &[stopped(1), later]).broken[0].contains("stopped with code 1"));
        let all = ["n1", "n2", "n3"].map(|name| (0, seen(name, "serving")));
        let left = [&all[..], &[stopped(0), (200, seen("n2", "standby"))]].concat();
        assert_eq!(judged(&left).len(), 2, "another leaves while it is away, of another zone");
    }

    #[test]
    fn it_finds_machines_that_leave_together() {
        let all = ["n1", "n2", "n3"].map(|name| (0, seen(name, "serving")));
        let of = |more: &[(u64, What)]| judged(&[&all[..], more].concat());
        assert!(of(&[(1, seen("n2", "standby")), (2, seen("n2", "serving")), (3, seen("n1", "standby"))])
            .is_empty());
        assert_eq!(of(&[(1, seen("n2", "standby")), (2, seen("n3", "standby"))]).len(), 1, "two at once");
        assert_eq!(of(&[(1, seen("n2", "standby")), (2, seen("n1", "standby"))]).len(), 2, "and two zones");
        let killed = What::Killed { machine: "n3".into() };
        assert!(of(&[(1, killed.clone()), (20, seen("n2", "standby"))]).is_empty(), "not known yet");
        assert_eq!(of(&[(1, killed.clone()), (200, seen("n2", "standby"))]).len(), 1, "it is known");
        let slow = [(1, seen("n3", "standby")), (2, seen("n2", "silent")), (3, seen("n2", "standby"))];
        assert_eq!(of(&slow).len(), 1, "one that is slow to answer leaves too");
        let started = What::Started { machine: "n3".into() };
        let back = [(1, killed), (2, started), (3, seen("n3", "standby")), (4, seen("n2", "standby"))];
        assert_eq!(of(&back).len(), 1, "one that starts under work does not leave, and is out");
        let grant = |at, machine: &str, number| {
            let line = format!("fleet: this machine leaves for work, grant {number}");
            (at, What::Logged { machine: machine.into(), line })
        };
        assert!(judged(&[grant(1, "n1", 1), grant(2, "n2", 2)]).is_empty());
        assert_eq!(judged(&[grant(1, "n1", 2), grant(2, "n2", 1)]).len(), 1);
        assert_eq!(judged(&[grant(1, "n1", 2), grant(2, "n2", 2)]).len(), 1);
    }
}
