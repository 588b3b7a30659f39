//! Handover between a suspended member and its successor: which of the two tells callers that their calls
//! are released.

use steprelay_copies::member::{ClusterView, Member, PeerMember, Precedence, ReplicationEvent, StreamOwner};
use steprelay_copies::messages::Message;
use steprelay_copies::primary::ReplicationPolicy;
use steprelay_copies::{CallRecord, Millis, StreamId};

const BOOTS: [u64; 2] = [41, 42];
const CALL: u64 = 7;
const TICK: Millis = 50;

/// Member 0 owns calls and is suspended; member 1 holds its replica and succeeds it.
struct Pair {
    now: Millis,
    members: [Member; 2],
    stream_owners: Vec<StreamOwner>,
    settled: Vec<StreamId>,
    leased: [bool; 2],
    /// Member 1 has declared member 0 lost.
    is_declared_lost: bool,
    /// `CallsEnded` messages are lost.
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

    fn view(&self, of: usize) -> ClusterView {
        let other = 1 - of;
        let peer = PeerMember { name: name(other), zone: "z2".into(), boot: BOOTS[other], is_serving: true };
        let peers = if of == 1 && self.is_declared_lost { Vec::new() } else { vec![peer] };
        let (stream_owners, settled) = (self.stream_owners.clone(), self.settled.clone());
        ClusterView { has_lease: self.leased[of], peers, stream_owners, settled }
    }

    /// Runs both members for a number of ticks, delivers their messages, and returns the events of each.
    fn run(&mut self, ticks: u64) -> [Vec<ReplicationEvent>; 2] {
        let mut events = [Vec::new(), Vec::new()];
        for _ in 0..ticks {
            self.now += TICK;
            for of in [0, 1] {
                let view = self.view(of);
                self.members[of].tick(self.now, &view);
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
            for (of, received) in events.iter_mut().enumerate() {
                received.extend(std::iter::from_fn(|| self.members[of].next_event()));
            }
        }
        events
    }

    /// Member 0 is suspended, and member 1 takes over its stream.
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

fn has_relinquished(events: &[ReplicationEvent]) -> bool {
    events.contains(&ReplicationEvent::Relinquished(vec![CALL]))
}

/// Guards against two final answers to one call: one of the successor and one of the resumed member.
#[test]
fn reports_ended_relinquished_calls_before_its_acknowledgement() {
    for ended_by_successor in [false, true] {
        let mut pair = Pair::with_established_call();
        let [resumed, successor] = pair.fail_over();
        assert!(successor
            .contains(&ReplicationEvent::TakenOver(vec![(CALL, CallRecord::Established { server: 1 })])));
        assert!(resumed.contains(&ReplicationEvent::OwnershipLost([CALL].into())));
        if ended_by_successor {
            // The suspended member is not among the members that are notified at once.
            pair.is_declared_lost = true;
            pair.members[1].announce_release(pair.now, CALL);
            pair.run(1);
            pair.is_declared_lost = false;
        }
        pair.members[0].relinquish(pair.now, vec![CALL]);
        let [resumed, successor] = pair.run(10);
        let ended = resumed.iter().position(|event| *event == ReplicationEvent::ReleaseDelivered(vec![CALL]));
        let acknowledged_at =
            resumed.iter().position(|event| *event == ReplicationEvent::Relinquished(vec![CALL]));
        assert!(acknowledged_at.is_some(), "{resumed:?}");
        assert_eq!(
            ended.is_some_and(|ended| Some(ended) < acknowledged_at),
            ended_by_successor,
            "{resumed:?}"
        );
        let dropped = successor.contains(&ReplicationEvent::LateChanges(vec![(CALL, None)]));
        assert_eq!(dropped, !ended_by_successor, "{successor:?}");
    }
}

/// Guards against callers that are told nothing because the successor had ended all calls and forgotten the
/// stream.
#[test]
fn acknowledges_relinquished_calls_of_a_settled_stream() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    pair.members[1].record_change(CALL, None);
    pair.run(1);
    pair.settled = pair.stream_owners.drain(..).map(|owner| owner.stream).collect();
    pair.run(1);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    assert!(has_relinquished(&pair.run(10)[0]));
}

/// Guards against a caller that is told an outcome which the successor contradicts, or has contradicted.
#[test]
fn leaves_calls_to_a_successor_that_never_acknowledges() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let mut events = Vec::new();
    for _ in 0..300 {
        pair.now += TICK;
        let view = pair.view(0);
        pair.members[0].tick(pair.now, &view);
        pair.members[0].take_messages();
        events.extend(std::iter::from_fn(|| pair.members[0].next_event()));
    }
    assert!(
        !has_relinquished(&events) && events.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])),
        "{events:?}"
    );
}

/// Guards against a release that the resumed member delivers and also hands over to its successor.
#[test]
fn hands_over_no_release_that_it_delivers_itself() {
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
        let is_handed = |event: &ReplicationEvent| {
            matches!(
                event,
                ReplicationEvent::LateChanges(changes) if changes.contains(&pending)
            )
        };
        assert_eq!(successor.iter().any(is_handed), !is_released_locally, "{successor:?}");
        assert_eq!(
            successor.contains(&ReplicationEvent::EndedElsewhere(vec![CALL], Precedence::Theirs)),
            is_released_locally,
            "{successor:?}"
        );
        let kept = pair.members[0].primaries().any(|primary| primary.records().contains_key(&CALL));
        assert_eq!(
            kept, is_released_locally,
            "the member that delivers the release keeps its record until it is acknowledged"
        );
    }
}

/// Guards against taking calls that other members ended for calls that this member ended.
#[test]
fn reports_no_calls_that_other_members_ended() {
    let mut pair = Pair::with_established_call();
    pair.fail_over();
    let ended = Message::CallsEnded { id: 9, calls: vec![CALL] };
    pair.members[1].handle_message(pair.now, "n9", 99, ended);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let [resumed, _] = pair.run(10);
    assert!(
        has_relinquished(&resumed) && !resumed.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])),
        "{resumed:?}"
    );
}

/// Guards against a release that the resumed member delivers a second time because its successor, which has
/// delivered it, notified only the members that it considers alive.
#[test]
fn tells_every_requester_of_a_delivered_release() {
    let mut pair = Pair::with_established_call();
    pair.is_declared_lost = true;
    pair.fail_over();
    pair.members[0].announce_release(pair.now, CALL);
    let [mut resumed, successor] = pair.run(1);
    let request = successor.iter().find_map(|event| match event {
        ReplicationEvent::Barrier(request) => Some(request.clone()),
        _ => None,
    });
    pair.members[1].release_delivered(pair.now, CALL);
    pair.members[1].confirm(request.expect("a request is queued"));
    resumed.append(&mut pair.run(2)[0]);
    let delivered = resumed.iter().position(|event| *event == ReplicationEvent::ReleaseDelivered(vec![CALL]));
    let all_notified = resumed.iter().position(|event| *event == ReplicationEvent::AllNotified(vec![CALL]));
    assert!(delivered.is_some() && delivered < all_notified, "{resumed:?}");
}

/// Guards against a second release when the member that delivered the first is lost before the server
/// learns of the acknowledgement: a replica holder reports releases that were acknowledged, and none of
/// calls that were merely removed.
#[test]
fn reports_a_release_acknowledged_to_a_lost_member() {
    for acknowledged in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].record_change(CALL, Some(CallRecord::ReleasePending { server: 1, cause: 16 }));
        if acknowledged {
            pair.members[0].release_acknowledged(CALL);
        }
        pair.members[0].record_change(CALL, None);
        pair.run(1);
        pair.members[1].take_messages();
        let request = Message::CallsEnded { id: 9, calls: vec![CALL] };
        pair.members[1].handle_message(pair.now, "n9", 99, request);
        let reply = ("n9".to_string(), Message::CallsEnded { id: 0, calls: vec![CALL] });
        assert_eq!(pair.members[1].take_messages().contains(&reply), acknowledged, "reply to another member");
        pair.members[1].announce_release(pair.now, CALL);
        let events: Vec<ReplicationEvent> = std::iter::from_fn(|| pair.members[1].next_event()).collect();
        let delivered = events.contains(&ReplicationEvent::ReleaseDelivered(vec![CALL]));
        assert_eq!(delivered, acknowledged, "release from its own server: {events:?}");
    }
}

/// Guards against a second release when the server's release arrives before the notice of the
/// acknowledgement does.
#[test]
fn cancels_a_release_reported_as_acknowledged() {
    let mut pair = Pair::with_established_call();
    pair.members[1].announce_release(pair.now, CALL);
    pair.members[0].release_acknowledged(CALL);
    pair.members[0].record_change(CALL, None);
    assert!(pair.run(1)[1].contains(&ReplicationEvent::ReleaseDelivered(vec![CALL])));
}

/// Guards against a release that nobody delivers because the member that had announced it is lost. While
/// that member is alive, the release is left to it.
#[test]
fn takes_over_a_pending_release_announced_by_a_lost_member() {
    for is_lost in [false, true] {
        let mut pair = Pair::with_established_call();
        let pending = CallRecord::ReleasePending { server: 1, cause: 16 };
        pair.members[0].announce_release(pair.now, CALL);
        pair.members[0].record_change(CALL, Some(pending));
        pair.run(5);
        pair.is_declared_lost = is_lost;
        let [_, successor] = pair.fail_over();
        assert_eq!(
            successor.contains(&ReplicationEvent::TakenOver(vec![(CALL, pending)])),
            is_lost,
            "{successor:?}"
        );
    }
}

/// Guards against a release that two members deliver although one had heard the other's announcement. It is
/// left to the announcing member while that one is alive, and delivered here once that one is lost.
#[test]
fn leaves_a_release_to_the_living_member_that_announced_it() {
    for is_lost in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].announce_release(pair.now, CALL);
        pair.run(5);
        pair.members[1].announce_release(pair.now, CALL);
        pair.is_declared_lost = is_lost;
        let [announcer, other] = pair.run(150);
        assert_eq!(other.contains(&ReplicationEvent::AllNotified(vec![CALL])), is_lost, "{other:?}");
        assert_eq!(other.contains(&ReplicationEvent::DelegatedToPeer(vec![CALL])), !is_lost, "{other:?}");
        assert!(
            is_lost || announcer.contains(&ReplicationEvent::EndedElsewhere(vec![CALL], Precedence::Ours)),
            "a request is queued"
        );
    }
}
