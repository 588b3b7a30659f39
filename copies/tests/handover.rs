//! A member that wakes and its successor: which of them tells callers that calls are over.

use steprelay_copies::member::{ClusterView, Member, PeerMember, Precedence, ReplicationEvent, StreamOwner};
use steprelay_copies::messages::Message;
use steprelay_copies::primary::ReplicationPolicy;
use steprelay_copies::{CallRecord, Millis, StreamId};

const BOOTS: [u64; 2] = [41, 42];
const CALL: u64 = 7;
const TICK: Millis = 50;

/// Member 0 promises calls and sleeps; member 1 holds its copies and succeeds it.
struct Pair {
    now: Millis,
    members: [Member; 2],
    stream_owners: Vec<StreamOwner>,
    settled: Vec<StreamId>,
    leased: [bool; 2],
    /// Member 1 takes member 0 for lost.
    is_declared_lost: bool,
    /// Words that say that calls are over do not arrive.
    drops_call_ends: bool,
}

fn name(member: usize) -> String {
    format!("n{member}")
}

impl Pair {
    fn new() -> Self {
        let policy = ReplicationPolicy { replicas: 1, required_acks: 1 };
        let member = |of: usize| Member::new(&name(of), "z1", BOOTS[of], policy);
        Pair {
            now: 1_000,
            members: [0, 1].map(member),
            stream_owners: Vec::new(),
            settled: Vec::new(),
            leased: [true, true],
            is_declared_lost: false,
            drops_call_ends: false,
        }
    }

    fn known(&self, of: usize) -> ClusterView {
        let other = 1 - of;
        let peer = PeerMember { name: name(other), zone: "z2".into(), boot: BOOTS[other], is_serving: true };
        let peers = if of == 1 && self.is_declared_lost { Vec::new() } else { vec![peer] };
        let (stream_owners, settled) = (self.stream_owners.clone(), self.settled.clone());
        ClusterView { has_lease: self.leased[of], peers, stream_owners, settled }
    }

    /// Both live on for so long, and hear each other; what each of them is told.
    fn run(&mut self, ticks: u64) -> [Vec<ReplicationEvent>; 2] {
        let mut events = [Vec::new(), Vec::new()];
        for _ in 0..ticks {
            self.now += TICK;
            for of in [0, 1] {
                let known = self.known(of);
                self.members[of].tick(self.now, &known);
            }
            for from in [0, 1, 0, 1] {
                for (to, message) in self.members[from].take_messages() {
                    if self.drops_call_ends && matches!(message, Message::CallsEnded { .. }) {
                        continue;
                    }
                    let to = if to == name(0) { 0 } else { 1 };
                    self.members[to].handle_message(self.now, &name(from), BOOTS[from], message);
                }
            }
            for (of, heard) in events.iter_mut().enumerate() {
                heard.extend(std::iter::from_fn(|| self.members[of].next_event()));
            }
        }
        events
    }

    /// Member 0 slept, and member 1 writes its stream on.
    fn fail_over(&mut self) -> [Vec<ReplicationEvent>; 2] {
        self.leased[0] = false;
        let before = self.run(1);
        let stream = StreamId(BOOTS[0]);
        self.stream_owners = vec![StreamOwner { stream, name: name(1), boot: BOOTS[1], epoch: 1 }];
        let mut after = self.run(20);
        for (of, events) in before.into_iter().enumerate() {
            after[of].splice(0..0, events);
        }
        after
    }

    fn with_established_call() -> Self {
        let mut pair = Pair::new();
        pair.run(20);
        pair.members[0].record_change(CALL, Some(CallRecord::Established { server: 1 }));
        pair.run(5);
        pair
    }
}

fn relinquished(events: &[ReplicationEvent]) -> bool {
    events.contains(&ReplicationEvent::Relinquished(vec![CALL]))
}

/// Guards against two final answers of one call, the successor's and that of the member that wakes.
#[test]
fn says_which_relinquished_calls_it_has_ended_before_it_confirms() {
    for ended_by_successor in [false, true] {
        let mut pair = Pair::with_established_call();
        let [woken, successor] = pair.fail_over();
        assert!(successor
            .contains(&ReplicationEvent::TakenOver(vec![(CALL, CallRecord::Established { server: 1 })])));
        assert!(woken.contains(&ReplicationEvent::OwnershipLost([CALL].into())));
        if ended_by_successor {
            // The one that sleeps is not among the others that are told at once.
            pair.is_declared_lost = true;
            pair.members[1].announce_release(pair.now, CALL);
            pair.run(1);
            pair.is_declared_lost = false;
        }
        pair.members[0].relinquish(pair.now, vec![CALL]);
        let [woken, successor] = pair.run(10);
        let over = woken.iter().position(|events| *events == ReplicationEvent::ReleaseDelivered(vec![CALL]));
        let confirmed = woken.iter().position(|events| *events == ReplicationEvent::Relinquished(vec![CALL]));
        assert!(confirmed.is_some(), "{woken:?}");
        assert_eq!(over.is_some_and(|over| Some(over) < confirmed), ended_by_successor, "{woken:?}");
        let dropped = successor.contains(&ReplicationEvent::LateChanges(vec![(CALL, None)]));
        assert_eq!(dropped, !ended_by_successor, "{successor:?}");
    }
}

/// Guards against callers that are told nothing, since the successor had kept all and forgot the stream.
#[test]
fn confirms_relinquished_calls_of_a_stream_that_is_settled() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    pair.members[1].record_change(CALL, None);
    pair.run(1);
    pair.settled = pair.stream_owners.drain(..).map(|owner| owner.stream).collect();
    pair.run(1);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    assert!(relinquished(&pair.run(10)[0]));
}

/// Guards against a caller that is told a verdict which the successor may have contradicted, or will.
#[test]
fn leaves_calls_to_a_successor_that_never_confirms() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let mut events = Vec::new();
    for _ in 0..300 {
        pair.now += TICK;
        let known = pair.known(0);
        pair.members[0].tick(pair.now, &known);
        pair.members[0].take_messages();
        events.extend(std::iter::from_fn(|| pair.members[0].next_event()));
    }
    assert!(
        !relinquished(&events) && events.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])),
        "{events:?}"
    );
}

/// Guards against a release that the member that wakes gives, and hands to its successor too.
#[test]
fn hands_over_no_release_that_it_gives_itself() {
    for is_released_locally in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.leased[0] = false;
        pair.run(1);
        if is_released_locally {
            pair.members[0].announce_release(pair.now, CALL);
        }
        pair.members[0].record_change(CALL, Some(CallRecord::ReleasePending { server: 1, cause: 16 }));
        pair.drops_call_ends = true;
        let [_, mut successor] = pair.fail_over();
        pair.drops_call_ends = false;
        successor.append(&mut pair.run(10)[1]);
        let pending = (CALL, Some(CallRecord::ReleasePending { server: 1, cause: 16 }));
        let is_handed = |events: &ReplicationEvent| matches!(events, ReplicationEvent::LateChanges(changes) if changes.contains(&pending));
        assert_eq!(successor.iter().any(is_handed), !is_released_locally, "{successor:?}");
        assert_eq!(
            successor.contains(&ReplicationEvent::EndedElsewhere(vec![CALL], Precedence::Theirs)),
            is_released_locally,
            "{successor:?}"
        );
        let kept = pair.members[0].primaries().any(|primary| primary.records().contains_key(&CALL));
        assert_eq!(kept, is_released_locally, "whoever gives it keeps it until it is confirmed");
    }
}

/// Guards against the answer to the question being taken for events of this member's own.
#[test]
fn says_nothing_of_calls_that_others_ended() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    let over = Message::CallsEnded { id: 9, calls: vec![CALL] };
    pair.members[1].handle_message(pair.now, "n9", 99, over);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let [woken, _] = pair.run(10);
    assert!(
        relinquished(&woken) && !woken.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])),
        "{woken:?}"
    );
}

/// Guards against a release that the member that wakes gives, since the answer that its successor has given
/// it went to those alone whom the successor takes for alive.
#[test]
fn says_to_whoever_asks_that_it_has_given_a_release() {
    let mut pair = Pair::with_established_call();
    pair.is_declared_lost = true;
    pair.fail_over();
    pair.members[0].announce_release(pair.now, CALL);
    let [mut woken, successor] = pair.run(1);
    let question = successor.iter().find_map(|events| match events {
        ReplicationEvent::Barrier(question) => Some(question.clone()),
        _ => None,
    });
    pair.members[1].release_delivered(pair.now, CALL);
    pair.members[1].confirm(question.expect("it is asked"));
    woken.append(&mut pair.run(2)[0]);
    let given = woken.iter().position(|events| *events == ReplicationEvent::ReleaseDelivered(vec![CALL]));
    let all_told = woken.iter().position(|events| *events == ReplicationEvent::AllNotified(vec![CALL]));
    assert!(given.is_some() && given < all_told, "{woken:?}");
}

/// Guards against a second release where the member that gave it is lost before its server heard of that: a
/// replica answers for what was acknowledged, and for nothing that was only let go of.
#[test]
fn answers_for_a_release_that_was_acknowledged_to_a_lost_member() {
    for acknowledged in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].record_change(CALL, Some(CallRecord::ReleasePending { server: 1, cause: 16 }));
        if acknowledged {
            pair.members[0].release_acknowledged(CALL);
        }
        pair.members[0].record_change(CALL, None);
        pair.run(1);
        pair.members[1].take_messages();
        let asks = Message::CallsEnded { id: 9, calls: vec![CALL] };
        pair.members[1].handle_message(pair.now, "n9", 99, asks);
        let claims = ("n9".to_string(), Message::CallsEnded { id: 0, calls: vec![CALL] });
        assert_eq!(pair.members[1].take_messages().contains(&claims), acknowledged, "another asks");
        pair.members[1].announce_release(pair.now, CALL);
        let events: Vec<ReplicationEvent> = std::iter::from_fn(|| pair.members[1].next_event()).collect();
        let given = events.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL]));
        assert_eq!(given, acknowledged, "its own server says it: {events:?}");
    }
}

/// Guards against the same where the server is quicker than what the replica hears.
#[test]
fn gives_up_a_release_that_it_hears_was_acknowledged() {
    let mut pair = Pair::with_established_call();
    pair.members[1].announce_release(pair.now, CALL);
    pair.members[0].release_acknowledged(CALL);
    pair.members[0].record_change(CALL, None);
    assert!(pair.run(1)[1].contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])));
}

/// Guards against a release that nobody gives: its member had told the others that it is about to, and was
/// lost before that. While that member is there, it is left to it.
#[test]
fn takes_over_a_pending_release_that_its_lost_member_had_announced() {
    for lost in [false, true] {
        let mut pair = Pair::with_established_call();
        let pending = CallRecord::ReleasePending { server: 1, cause: 16 };
        pair.members[0].announce_release(pair.now, CALL);
        pair.members[0].record_change(CALL, Some(pending));
        pair.run(5);
        pair.is_declared_lost = lost;
        let [_, successor] = pair.fail_over();
        assert_eq!(
            successor.contains(&ReplicationEvent::TakenOver(vec![(CALL, pending)])),
            lost,
            "{successor:?}"
        );
    }
}

/// Guards against a release that two members give, one of which had heard that the other is about to: it is
/// left to that one while it is there, and given here once it is lost.
#[test]
fn leaves_a_release_to_the_living_member_that_announced_it() {
    for lost in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].announce_release(pair.now, CALL);
        pair.run(5);
        pair.members[1].announce_release(pair.now, CALL);
        pair.is_declared_lost = lost;
        let [announcer, other] = pair.run(150);
        assert_eq!(other.contains(&ReplicationEvent::AllNotified(vec![CALL])), lost, "{other:?}");
        assert_eq!(other.contains(&ReplicationEvent::DelegatedToPeer(vec![CALL])), !lost, "{other:?}");
        assert!(
            lost || announcer.contains(&ReplicationEvent::EndedElsewhere(vec![CALL], Precedence::Ours)),
            "it is asked"
        );
    }
}
