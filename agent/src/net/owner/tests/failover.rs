//! A member that was suspended, counted as lost and resumes: what its callers are told, and by which of the
//! two members.

use super::*;
use crate::ports::copies::Note;

/// An owner with one call, at the point where the process is suspended.
struct SuspendedMember {
    owner: Owner,
    callers: Inbox<ToClient>,
    link: LinkId,
    to_server: Inbox<ToServer>,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<Note>,
}

impl SuspendedMember {
    fn new() -> Self {
        let (owner, callers, link, to_server, lease, notes) = with_replication_notes();
        let mut member = SuspendedMember { owner, callers, link, to_server, lease, notes };
        replicate(&mut member.owner, ReplicationEvent::Degraded(false));
        member
    }

    fn answered(&mut self) {
        let (link, description) = (self.link, "v=1".into());
        self.owner.handle(Input::Answered { link, call: CALL, description });
    }

    /// The process resumes after its lease expired.
    fn resumes(&mut self) {
        self.lease.set(1, 0);
        self.owner.process_replication();
    }

    /// The messages that its caller receives.
    fn received(&mut self) -> Vec<ToClient> {
        self.owner.handle_all_effects();
        self.owner.process_replication();
        self.owner.handle_all_effects();
        std::iter::from_fn(|| self.callers.next_now()).collect()
    }

    fn is_taken_over(&mut self) {
        replicate(&mut self.owner, ReplicationEvent::OwnershipLost([CALL.0].into()));
        self.lease.set(60_000, 1);
    }

    fn notes_sent(&mut self, matches_note: impl Fn(&Note) -> bool) -> bool {
        std::iter::from_fn(|| self.notes.try_recv().ok()).any(|note| matches_note(&note))
    }
}

fn is_failed(received: &[ToClient]) -> bool {
    matches!(received, [ToClient::Final { call: CALL, verdict: Verdict::Failed }])
}

/// Guards against an answer that is sent after the call was taken over: nobody would release the call.
#[test]
fn sends_no_queued_answer_to_a_call_that_was_taken_over() {
    let mut member = SuspendedMember::new();
    member.answered();
    // The answer is an effect that was pending when the process was suspended.
    member.lease.set(1, 0);
    member.owner.handle(Input::Copies(ReplicationEvent::OwnershipLost([CALL.0].into())));
    assert!(member.received().is_empty(), "its successor may have ended the call");
    assert!(member.notes_sent(|note| *note == Note::Relinquished(vec![CALL])), "the successor is asked");
    replicate(&mut member.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
    assert!(is_failed(&member.received()));
}

/// Guards against a second final answer by the resumed member, and against a release after the first one.
#[test]
fn leaves_an_unanswered_caller_to_the_member_that_ended_its_call() {
    for ended_by_successor in [false, true] {
        let mut member = SuspendedMember::new();
        member.answered();
        assert!(member.received().is_empty(), "its state is not replicated yet");
        member.resumes();
        assert!(member.received().is_empty());
        member.is_taken_over();
        assert!(member.received().is_empty(), "its successor may have ended the call");
        if ended_by_successor {
            replicate(&mut member.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
        }
        replicate(&mut member.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
        let received = member.received();
        assert!(if ended_by_successor { received.is_empty() } else { is_failed(&received) }, "{received:?}");
        member.owner.handle(ended(member.link));
        assert!(member.received().is_empty(), "its caller has received its final message");
        let releases = |message: &ToServer| matches!(message, ToServer::Release(CALL, _));
        assert_eq!(std::iter::from_fn(|| member.to_server.next_now()).filter(releases).count(), 1);
    }
}

/// Guards against two ends of one call, for its unsent answer and for the loss of its server.
#[test]
fn reports_a_failure_once_while_the_lease_is_lost() {
    for suspended_when_answered in [false, true] {
        let mut member = SuspendedMember::new();
        if !suspended_when_answered {
            member.answered();
            assert!(member.received().is_empty());
        }
        member.resumes();
        if suspended_when_answered {
            member.answered();
        }
        member.owner.handle(ended(member.link));
        let received = member.received();
        // Other members may know the first answer; in the other case they know only of a pending attempt.
        assert!(
            if suspended_when_answered { is_failed(&received) } else { received.is_empty() },
            "{received:?}"
        );
        member.lease.set(60_000, 0);
        let received = member.received();
        assert!(
            if suspended_when_answered { received.is_empty() } else { is_failed(&received) },
            "{received:?}"
        );
        member.owner.handle(ended(member.link));
        assert!(member.received().is_empty());
    }
}

/// Guards against two ends of one call, where it ended while its answer was held: by then no record is left
/// by which the successor's takeover could name it.
#[test]
fn asks_the_successor_about_a_call_that_ended_before_the_takeover_was_known() {
    for ended_by_successor in [false, true] {
        let mut member = SuspendedMember::new();
        member.answered();
        assert!(member.received().is_empty(), "its state is not replicated yet");
        member.resumes();
        member.owner.handle(ended(member.link));
        assert!(member.received().is_empty());
        replicate(&mut member.owner, ReplicationEvent::OwnershipLost(Default::default()));
        member.lease.set(60_000, 1);
        assert!(member.received().is_empty(), "its successor may have ended the call");
        assert!(member.notes_sent(|note| *note == Note::Relinquished(vec![CALL])), "the successor is asked");
        if ended_by_successor {
            replicate(&mut member.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
        }
        replicate(&mut member.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
        let received = member.received();
        assert!(if ended_by_successor { received.is_empty() } else { is_failed(&received) }, "{received:?}");
    }
}

/// The other members have answered about the release of the call; returns how often it is delivered then.
fn deliveries_once_answered(member: &mut SuspendedMember, successor_has_delivered: bool) -> usize {
    if successor_has_delivered {
        replicate(&mut member.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
    }
    replicate(&mut member.owner, ReplicationEvent::AllNotified(vec![CALL.0]));
    let received = member.received();
    assert!(
        received.iter().all(|message| matches!(message, ToClient::Released { call: CALL, .. })),
        "{received:?}"
    );
    received.len()
}

/// Guards against a release that the resumed member delivers and its successor has delivered or is handed.
#[test]
fn asks_all_members_before_it_records_or_delivers_a_release() {
    for (successor_has_delivered, taken_over_first) in [(false, false), (false, true), (true, true)] {
        let mut member = SuspendedMember::new();
        member.answered();
        member.owner.handle_all_effects();
        replicate(&mut member.owner, ReplicationEvent::Committed(1));
        assert!(matches!(member.received()[..], [ToClient::Answer { call: CALL, .. }]));
        member.resumes();
        while member.notes.try_recv().is_ok() {}
        member.owner.handle(ended(member.link));
        assert!(member.received().is_empty(), "its successor may have delivered it");
        assert_eq!(member.notes.try_recv(), Ok(Note::PassedOn(CALL)));
        let given = usize::from(!successor_has_delivered);
        if taken_over_first {
            member.is_taken_over();
            assert_eq!(member.owner.core.call_states().count(), 1, "it remains a call of this member");
        }
        assert_eq!(deliveries_once_answered(&mut member, successor_has_delivered), given);
        if !taken_over_first {
            member.is_taken_over();
        }
        // The release stays pending until a caller acknowledges it.
        assert_eq!(member.owner.core.call_states().count(), given);
    }
}

/// Guards against the same release from both members, where it was decided before the suspension.
#[test]
fn asks_all_members_about_a_release_that_was_queued_before_suspension() {
    for successor_has_delivered in [false, true] {
        let mut member = SuspendedMember::new();
        member.answered();
        member.owner.handle_all_effects();
        replicate(&mut member.owner, ReplicationEvent::Committed(1));
        member.received();
        member.owner.handle(ended(member.link));
        member.resumes();
        assert!(member.received().is_empty(), "its successor may have delivered it");
        assert!(member.notes_sent(|note| *note == Note::PassedOn(CALL)));
        let given = usize::from(!successor_has_delivered);
        assert_eq!(deliveries_once_answered(&mut member, successor_has_delivered), given);
    }
}
