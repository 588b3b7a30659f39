//! The connections to servers by a clock that the test moves, without sockets.

use super::connection::SOON;
use super::*;
use crate::ports::conn;
use crate::ports::dispatch::Dispatch;
use steprelay_core::SetUp;

const MS: Micros = 1_000;
const AT: ServerId = ServerId(1);

/// All that has arrived by now was read.
fn at(now: Micros) -> Silence {
    Silence { now, read_until: now }
}

/// The end of a connection that takes what is posted.
fn open() -> Outbox<ToServer> {
    let (outbox, inbox) = conn::channel(conn::Capacity::SERVER);
    std::mem::forget(inbox);
    outbox
}

fn set_up(call: u64) -> ToServer {
    let (number, description) = ("".into(), "".into());
    let set_up = SetUp { call: CallId(call), class: 0, number, description, wait: 0 };
    ToServer::SetUp(set_up, Dispatch::default())
}

/// A server with one connection that is up, among servers that answer at once.
fn links() -> Links {
    let mut links = Links { pauses: Pauses(Some((MS, 0))), ..Links::default() };
    links.listed(AT, Way::Platform(([127, 0, 0, 1], 1).into()), 0);
    let (id, _) = links.due(0)[0];
    links.up(id, open(), 0);
    links
}

/// Tests are work for servers, and those of all call agents add up: in a minute, of a connection that
/// brings a word every so many milliseconds, and then goes quiet.
#[test]
fn a_connection_on_which_calls_stand_is_tested_once_its_quiet_tells_something() {
    for (every, while_it_speaks, first_after) in [(200, 0, 1_000), (600, 0, 1_800), (5_000, 12, 3_880)] {
        let mut links = Links::default();
        links.listed(AT, Way::Platform(([127, 0, 0, 1], 1).into()), 0);
        let (id, _) = links.due(0)[0];
        let (outbox, _inbox) = conn::channel(conn::Capacity::SERVER);
        links.up(id, outbox, 0);
        let (mut tests, mut after) = (0, None);
        for ms in 1..=70_000 {
            let (now, speaks) = (ms * MS, ms <= 60_000);
            if speaks && ms % every == 0 {
                links.heard(id, Some(CallId(9)), false, now);
            }
            if after.is_some() {
                break;
            }
            assert!(links.watch(at(now), |_| false).is_empty(), "nothing stands there");
            let found = links.watch(at(now), |_| true);
            for found in found {
                assert!(matches!(found, Watch::Test(tested) if tested == id));
                assert!(links.test(id, CallId(ms as u64), now));
                match speaks {
                    true => links.heard(id, None, true, now + 20 * MS),
                    false => after = Some(ms - 60_000),
                }
                tests += u64::from(speaks);
            }
        }
        assert_eq!((tests, after), (while_it_speaks, Some(first_after)), "every {every} ms");
    }
}

/// Whatever a connection was used to: a test, its patience and the time without proof stay within the
/// limit for a release.
#[test]
fn a_quiet_connection_is_given_up_within_the_limit_for_a_release() {
    for (longest, pause) in [(0, 1), (0, 60_000), (500, 60_000), (5_000, 10), (5_000, 60_000)] {
        let (longest, pause) = (longest * MS, Some(pause * MS));
        let conn = Conn { longest, pause, ..Conn::new(1, open(), 0) };
        let quiet = (0..8_000).find(|ms| conn.is_quiet(Pauses::default(), ms * MS)).expect("at last") * MS;
        assert!(
            quiet >= SOON_QUIET && quiet + conn.patience(Pauses::default()) + NO_PROOF <= NOTICED + MS,
            "{quiet}"
        );
    }
}

fn relief(links: &mut Links, now: Micros) -> Option<LinkId> {
    links.watch(at(now), |_| false).into_iter().find_map(|found| match found {
        Watch::Relieve(id, _) => Some(id),
        _ => None,
    })
}

#[test]
fn a_silent_connection_is_relieved_as_often_as_it_takes() {
    let (mut links, mut now) = (links(), 0);
    for round in 1..=3 {
        // One may be silent from its start; the next follows without waiting long.
        links.post(AT, set_up(round), now).expect("it is up");
        assert!(relief(&mut links, now + SOON - MS).is_none());
        now += RELIEF_PAUSE;
        let second = relief(&mut links, now).expect("the connection has said nothing");
        assert!(relief(&mut links, now + MS).is_none(), "one at a time");
        assert_eq!(links.up(second, open(), now).0.len(), 2, "both are tested");
        now += MS;
        links.heard(second, None, true, now);
        now += GRACE;
        let found = links.watch(at(now), |_| false);
        let [Watch::Reset(AT, calls), Watch::Relieve(third, _)] = &found[..] else {
            panic!("the first is closed, and one more opened");
        };
        assert_eq!(*calls, [CallId(round)]);
        links.up(*third, open(), now);
        now += MS;
        links.heard(second, None, true, now);
        links.heard(*third, None, true, now);
        assert!(links.watch(at(now + GRACE), |_| false).is_empty(), "both are well and stay");
    }
}

#[test]
fn a_server_that_is_used_to_long_pauses_is_given_time() {
    let mut links = links();
    let first = LinkId { server: AT, epoch: 1 };
    links.post(AT, set_up(1), 0).expect("it is up");
    links.heard(first, Some(CallId(1)), false, 400 * MS);
    links.post(AT, set_up(2), 400 * MS).expect("it is up");
    assert!(relief(&mut links, 1_400 * MS).is_none());
    assert!(relief(&mut links, 1_700 * MS).is_some());
}

/// One that takes 400 ms every other time, and is asked every 5 s among others that answer at once, is no
/// more silent than they are: what it took counts however long ago it was.
#[test]
fn a_slow_server_among_quick_ones_is_known_as_slow() {
    let (mut links, mut now) = (links(), 0);
    let (slow, quick) = (LinkId { server: AT, epoch: 1 }, ServerId(2));
    links.listed(quick, Way::Platform(([127, 0, 0, 1], 2).into()), now);
    let (other, _) = links.due(now)[0];
    links.up(other, open(), now);
    for call in 1..=10 {
        now += 4_000 * MS;
        for number in 0..20 {
            let asked = now + number * 50 * MS;
            links.post(quick, set_up(100 + call), asked).expect("it is up");
            links.heard(other, Some(CallId(100 + call)), false, asked + MS);
        }
        now += 1_000 * MS;
        links.post(AT, set_up(call), now).expect("it is up");
        let pause = if call % 2 == 1 { 400 } else { 20 };
        if call > 1 {
            assert!(relief(&mut links, now + (pause - 1) * MS).is_none(), "call {call}");
        }
        links.heard(slow, Some(CallId(call)), false, now + pause * MS);
    }
    links.post(AT, set_up(11), now + 1_000 * MS).expect("it is up");
    assert!(relief(&mut links, now + 2_200 * MS).is_some(), "but three times that is silence");
}

/// Servers that are asked every 5 s and answer after 150 to 350 ms are not silent, and neither is another
/// one when it is asked first. Remembered by time alone, each was taken for silent every time.
#[test]
fn servers_that_are_asked_seldom_are_given_the_time_that_all_take() {
    let mut links = Links { pauses: Pauses::default(), ..links() };
    let first = LinkId { server: AT, epoch: 1 };
    let pauses = [150, 350, 200, 300].map(|pause: Micros| pause * MS);
    let mut now = 0;
    for (call, pause) in (1..).zip(pauses.into_iter().cycle().take(20)) {
        now += 5_000 * MS;
        links.post(AT, set_up(call), now).expect("it is up");
        assert!(relief(&mut links, now + pause - MS).is_none(), "call {call}");
        links.heard(first, Some(CallId(call)), false, now + pause);
    }
    let other = ServerId(2);
    links.listed(other, Way::Platform(([127, 0, 0, 1], 2).into()), now);
    let (second, _) = links.due(now)[0];
    links.up(second, open(), now);
    links.post(other, set_up(99), now).expect("it is up");
    assert!(relief(&mut links, now + 350 * MS).is_none());
    assert!(relief(&mut links, now + 900 * MS).is_some(), "a rare pause is one that is too long");
}

#[test]
fn a_second_connection_that_cannot_be_had_ends_the_first() {
    let mut links = links();
    links.post(AT, set_up(1), 0).expect("it is up");
    let second = relief(&mut links, SOON).expect("silent");
    assert_eq!(links.lost(second, LinkLoss::Unanswered, SOON), [CallId(1)], "it may have run");
    let posted = links.post(AT, set_up(2), SOON);
    assert_eq!(posted, Err(NotSent::Unreachable), "nothing goes on the first any more");
}

/// A server is told to drain: set-ups of which no byte has left go elsewhere, whether they wait for its
/// connection or in the queue of one that takes nothing; what has begun stays, and so does a release.
#[test]
fn what_has_not_left_is_taken_back_and_a_release_stays() {
    let release = || ToServer::Release(CallId(9), steprelay_core::ReleaseCause::NORMAL);
    let mut links = Links::default();
    links.listed(AT, Way::Platform(([127, 0, 0, 1], 1).into()), 0);
    let (id, _) = links.due(0)[0];
    for message in [set_up(1), release(), set_up(2)] {
        assert_eq!(links.post(AT, message, 0), Ok(()));
    }
    assert_eq!(links.take_waiting(AT), [CallId(1), CallId(2)]);
    links.post(AT, set_up(3), MS).expect("it is up");
    let (outbox, mut inbox) = conn::channel(conn::Capacity::SERVER);
    links.up(id, outbox, MS);
    // It is up; what waited goes out a turn later, and can be taken back until then.
    assert!(links.opens() && inbox.next_now().is_none());
    assert_eq!(links.take_waiting(AT), [CallId(3)]);
    assert!(links.open(MS).is_empty() && !links.opens());
    assert!(matches!(inbox.next_now(), Some(ToServer::Release(CallId(9), _))));
    for call in [4, 5, 6] {
        assert_eq!(links.post(AT, set_up(call), 2 * MS), Ok(()));
    }
    let begun = inbox.next_now().expect("the first set-up");
    begun.begins();
    assert!(!links.withdraw(AT, CallId(4)), "it has left");
    assert!(links.withdraw(AT, CallId(5)) && !links.withdraw(AT, CallId(5)));
    assert_eq!(links.take_waiting(AT), [CallId(6)]);
    assert!(std::iter::from_fn(|| inbox.next_now()).all(|message| message.is_cancelled()));
    // The one that has left is given up by a word, and one that has not by none.
    links.post(AT, set_up(7), 3 * MS).expect("it is up");
    links.post(AT, ToServer::GiveUp(CallId(4)), 3 * MS).expect("it is up");
    links.post(AT, ToServer::GiveUp(CallId(7)), 3 * MS).expect("it is up");
    let said: Vec<_> = std::iter::from_fn(|| inbox.next_now()).filter(|said| !said.is_cancelled()).collect();
    assert!(matches!(said[..], [ToServer::GiveUp(CallId(4))]), "{said:?}");
}

/// Looks for silence at this time with all read that had arrived until then, or until an earlier time.
fn verdicts(links: &mut Links, now: Micros, read_until: Micros) -> Vec<Watch> {
    links.watch(Silence { now, read_until }, |_| false)
}

/// Guards against a turn of this process that was late and is taken for a server's silence: what was said in
/// time lay in the socket, and an association or a connection was closed with all that was out on it.
#[test]
fn a_late_turn_is_no_silence_of_a_server() {
    type Silent = fn() -> (Links, Micros);
    let owes: Silent = || {
        let mut links = links();
        links.post(AT, set_up(1), 0).expect("it is up");
        (links, SOON)
    };
    let unproven: Silent = || {
        let mut links = links();
        links.post(AT, set_up(1), 0).expect("it is up");
        let second = relief(&mut links, SOON).expect("silent");
        links.up(second, open(), SOON);
        (links, SOON + NO_PROOF)
    };
    let proven: Silent = || {
        let mut links = links();
        links.post(AT, set_up(1), 0).expect("it is up");
        let second = relief(&mut links, SOON).expect("silent");
        links.up(second, open(), SOON);
        links.heard(LinkId { server: AT, epoch: 2 }, None, true, 2 * SOON);
        (links, 2 * SOON + GRACE)
    };
    let beat: Silent = || {
        let mut links = Links { pauses: Pauses(Some((MS, 0))), ..Links::default() };
        links.listed(AT, Way::M3ua(0), 0);
        let (id, _) = links.due(0)[0];
        links.up(id, open(), 0);
        links.post(AT, set_up(1), 0).expect("it is up");
        assert!(matches!(verdicts(&mut links, SOON, SOON)[..], [Watch::Test(tested)] if tested == id));
        (links, SOON + BEAT)
    };
    for (silent, name) in [(owes, "owes"), (unproven, "no proof"), (proven, "proof"), (beat, "heartbeat")] {
        let first = LinkId { server: AT, epoch: 1 };
        for speaks in [true, false] {
            let (mut links, over) = silent();
            let late = over + 5_000 * MS;
            assert!(verdicts(&mut links, late, over - MS).is_empty(), "{name}: judged before it was read");
            assert!(links.are_overdue() && links.next_due() == Some(0), "{name}: read at once");
            if speaks {
                links.heard(first, Some(CallId(1)), false, late);
            }
            assert_eq!(verdicts(&mut links, late, late).is_empty(), speaks, "{name}, speaks {speaks}");
            assert!(!links.are_overdue(), "{name}: judged");
        }
    }
}

/// Every 10 ms from `from` on, until the server counts as out of reach; when that was.
fn given_up_at(links: &mut Links, from: Micros) -> Option<Micros> {
    let times = (0..1_000).map(|step| from + step * 10 * MS);
    times.into_iter().find(|now| {
        for found in links.watch(at(*now), |_| true) {
            match found {
                Watch::Test(link) => drop(links.test(link, CallId(1), *now)),
                Watch::Relieve(link, _) => drop(links.lost(link, LinkLoss::Unanswered, *now)),
                _ => {}
            }
        }
        for (link, _) in links.due(*now) {
            links.lost(link, LinkLoss::Unanswered, *now);
        }
        !links.out_of_reach(at(*now)).is_empty()
    })
}

#[test]
fn a_server_is_out_of_reach_by_its_last_sign_however_late_its_silence_was_noticed() {
    let first = LinkId { server: AT, epoch: 1 };
    for pause in [1, 500, 60_000] {
        let mut links = links();
        links.heard(first, Some(CallId(9)), false, pause * MS);
        let given_up = given_up_at(&mut links, pause * MS).expect("it is given up");
        assert!(given_up - pause * MS <= OUT_OF_REACH + 10 * MS, "{pause} ms: {given_up}");
        assert_eq!(given_up_at(&mut links, given_up), None, "once");
    }
}

/// Guards a process that was stopped for longer than the limit: what its servers said lies unread.
#[test]
fn a_process_that_was_stopped_dials_before_it_takes_a_server_for_gone() {
    let mut links = links();
    links.post(AT, set_up(1), 0).expect("it is up");
    let woken = 2 * OUT_OF_REACH;
    relief(&mut links, woken).expect("nothing has come since");
    let told = woken + DIAL_TELLS_AFTER;
    assert!(links.out_of_reach(at(told - MS)).is_empty(), "the dial may come up");
    assert!(links.out_of_reach(Silence { now: told, read_until: told - MS }).is_empty(), "not read yet");
    assert_eq!(links.out_of_reach(at(told)).len(), 1);
}

/// What a server is told to release on a connection.
fn released(inbox: &mut conn::Inbox<ToServer>) -> Vec<CallId> {
    let said = std::iter::from_fn(|| inbox.next_now());
    let released = said.filter_map(|message| match message {
        ToServer::Release(call, _) => Some(call),
        _ => None,
    });
    released.collect()
}

#[test]
fn a_server_is_told_of_what_went_with_a_connection_unless_it_is_sent_again() {
    let mut links = links();
    let first = LinkId { server: AT, epoch: 1 };
    for call in [1, 2] {
        links.post(AT, set_up(call), 0).expect("it is up");
    }
    let second = relief(&mut links, SOON).expect("silent");
    let (outbox, mut inbox) = conn::channel(conn::Capacity::SERVER);
    links.up(second, outbox, SOON);
    assert_eq!(links.lost(first, LinkLoss::Dropped, SOON), [CallId(1), CallId(2)]);
    links.post(AT, set_up(2), SOON).expect("it is up");
    links.watch(at(SOON), |_| false);
    assert_eq!(released(&mut inbox), [CallId(1)]);
    links.watch(at(SOON), |_| false);
    assert_eq!(released(&mut inbox), [], "once");
}
