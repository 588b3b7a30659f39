//! A member that was taken for lost and wakes: what its callers are told, and by which of two members.

use super::*;
use crate::ports::copies::Note;

/// An owner whose only call has come so far when it falls asleep.
struct Sleeper {
    owner: Owner,
    callers: Inbox<ToClient>,
    link: LinkId,
    to_server: Inbox<ToServer>,
    lease: Arc<Lease>,
    notes: mpsc::Receiver<Note>,
}

impl Sleeper {
    fn new() -> Self {
        let (owner, callers, link, to_server, lease, notes) = with_noted_copies();
        let mut sleeper = Sleeper { owner, callers, link, to_server, lease, notes };
        hears(&mut sleeper.owner, ReplicationEvent::Degraded(false));
        sleeper
    }

    fn answered(&mut self) {
        let (link, description) = (self.link, "v=1".into());
        self.owner.take(Input::Answered { link, call: CALL, description });
    }

    /// Its lease has run out meanwhile.
    fn wakes(&mut self) {
        self.lease.set(1, 0);
        self.owner.look_at_copies();
    }

    /// What its caller is told.
    fn said(&mut self) -> Vec<ToClient> {
        self.owner.carry_out();
        self.owner.look_at_copies();
        self.owner.carry_out();
        std::iter::from_fn(|| self.callers.next_now()).collect()
    }

    fn is_succeeded(&mut self) {
        hears(&mut self.owner, ReplicationEvent::OwnershipLost([CALL.0].into()));
        self.lease.set(60_000, 1);
    }

    fn noted(&mut self, wanted: impl Fn(&Note) -> bool) -> bool {
        std::iter::from_fn(|| self.notes.try_recv().ok()).any(|note| wanted(&note))
    }
}

fn is_failed(said: &[ToClient]) -> bool {
    matches!(said, [ToClient::Final { call: CALL, verdict: Verdict::Failed }])
}

/// Guards against a caller that is told that its call stands after the call was given up: nobody released it.
#[test]
fn says_no_answer_that_was_queued_when_its_call_was_given_up() {
    let mut sleeper = Sleeper::new();
    sleeper.answered();
    // The answer is an effect that was not carried out when the process fell asleep.
    sleeper.lease.set(1, 0);
    sleeper.owner.take(Input::Copies(ReplicationEvent::OwnershipLost([CALL.0].into())));
    assert!(sleeper.said().is_empty(), "its successor may have ended it");
    assert!(sleeper.noted(|note| *note == Note::Relinquished(vec![CALL])), "it is asked");
    hears(&mut sleeper.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
    assert!(is_failed(&sleeper.said()));
}

/// Guards against a second final answer from the member that wakes, and against a release behind the first.
#[test]
fn leaves_a_caller_that_was_told_nothing_to_whoever_ended_its_call() {
    for ended_by_successor in [false, true] {
        let mut sleeper = Sleeper::new();
        sleeper.answered();
        assert!(sleeper.said().is_empty(), "nobody else knows that it stands");
        sleeper.wakes();
        assert!(sleeper.said().is_empty());
        sleeper.is_succeeded();
        assert!(sleeper.said().is_empty(), "its successor may have ended it");
        if ended_by_successor {
            hears(&mut sleeper.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
        }
        hears(&mut sleeper.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
        let said = sleeper.said();
        assert!(if ended_by_successor { said.is_empty() } else { is_failed(&said) }, "{said:?}");
        sleeper.owner.take(ended(sleeper.link));
        assert!(sleeper.said().is_empty(), "its caller has heard its last word");
        let releases = |word: &ToServer| matches!(word, ToServer::Release(CALL, _));
        assert_eq!(std::iter::from_fn(|| sleeper.to_server.next_now()).filter(releases).count(), 1);
    }
}

/// Guards against two ends of one call, for its answer that was never given and for its server that is gone.
#[test]
fn tells_a_caller_once_that_fails_while_the_lease_is_lost() {
    for asleep_when_answered in [false, true] {
        let mut sleeper = Sleeper::new();
        if !asleep_when_answered {
            sleeper.answered();
            assert!(sleeper.said().is_empty());
        }
        sleeper.wakes();
        if asleep_when_answered {
            sleeper.answered();
        }
        sleeper.owner.take(ended(sleeper.link));
        let said = sleeper.said();
        // Others may know the answer that came before, and of the other one only that an attempt was out.
        assert!(if asleep_when_answered { is_failed(&said) } else { said.is_empty() }, "{said:?}");
        sleeper.lease.set(60_000, 0);
        let said = sleeper.said();
        assert!(if asleep_when_answered { said.is_empty() } else { is_failed(&said) }, "{said:?}");
        sleeper.owner.take(ended(sleeper.link));
        assert!(sleeper.said().is_empty());
    }
}

/// Guards against two ends of one call, where it ended while its answer was held: by then no record of it is
/// left that the successor's could be named by.
#[test]
fn asks_its_successor_of_a_call_that_ended_before_it_knew_of_one() {
    for ended_by_successor in [false, true] {
        let mut sleeper = Sleeper::new();
        sleeper.answered();
        assert!(sleeper.said().is_empty(), "nobody else knows that it stands");
        sleeper.wakes();
        sleeper.owner.take(ended(sleeper.link));
        assert!(sleeper.said().is_empty());
        hears(&mut sleeper.owner, ReplicationEvent::OwnershipLost(Default::default()));
        sleeper.lease.set(60_000, 1);
        assert!(sleeper.said().is_empty(), "its successor may have ended it");
        assert!(sleeper.noted(|note| *note == Note::Relinquished(vec![CALL])), "it is asked");
        if ended_by_successor {
            hears(&mut sleeper.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
        }
        hears(&mut sleeper.owner, ReplicationEvent::Relinquished(vec![CALL.0]));
        let said = sleeper.said();
        assert!(if ended_by_successor { said.is_empty() } else { is_failed(&said) }, "{said:?}");
    }
}

/// Others have answered what they were asked about the release of the call; how often it is given then.
fn given_once_asked(sleeper: &mut Sleeper, successor_has_given_it: bool) -> usize {
    if successor_has_given_it {
        hears(&mut sleeper.owner, ReplicationEvent::ReleaseDelivered(vec![CALL.0]));
    }
    hears(&mut sleeper.owner, ReplicationEvent::AllNotified(vec![CALL.0]));
    let said = sleeper.said();
    assert!(said.iter().all(|word| matches!(word, ToClient::Released { call: CALL, .. })), "{said:?}");
    said.len()
}

/// Guards against a release that the member that wakes gives, and its successor has given or is handed.
#[test]
fn asks_all_members_of_a_release_before_it_notes_or_gives_it() {
    for (successor_has_given_it, succeeded_first) in [(false, false), (false, true), (true, true)] {
        let mut sleeper = Sleeper::new();
        sleeper.answered();
        sleeper.owner.carry_out();
        hears(&mut sleeper.owner, ReplicationEvent::Committed(1));
        assert!(matches!(sleeper.said()[..], [ToClient::Answer { call: CALL, .. }]));
        sleeper.wakes();
        while sleeper.notes.try_recv().is_ok() {}
        sleeper.owner.take(ended(sleeper.link));
        assert!(sleeper.said().is_empty(), "its successor may have given it");
        assert_eq!(sleeper.notes.try_recv(), Ok(Note::PassedOn(CALL)));
        let given = usize::from(!successor_has_given_it);
        if succeeded_first {
            sleeper.is_succeeded();
            assert_eq!(sleeper.owner.core.call_states().count(), 1, "it stays this member's");
        }
        assert_eq!(given_once_asked(&mut sleeper, successor_has_given_it), given);
        if !succeeded_first {
            sleeper.is_succeeded();
        }
        // It is looked after until a caller confirms it.
        assert_eq!(sleeper.owner.core.call_states().count(), given);
    }
}

/// Guards against the same release from both, where it was decided on before the member fell asleep.
#[test]
fn asks_all_members_of_a_release_that_was_queued_when_it_fell_asleep() {
    for successor_has_given_it in [false, true] {
        let mut sleeper = Sleeper::new();
        sleeper.answered();
        sleeper.owner.carry_out();
        hears(&mut sleeper.owner, ReplicationEvent::Committed(1));
        sleeper.said();
        sleeper.owner.take(ended(sleeper.link));
        sleeper.wakes();
        assert!(sleeper.said().is_empty(), "its successor may have given it");
        assert!(sleeper.noted(|note| *note == Note::PassedOn(CALL)));
        let given = usize::from(!successor_has_given_it);
        assert_eq!(given_once_asked(&mut sleeper, successor_has_given_it), given);
    }
}
