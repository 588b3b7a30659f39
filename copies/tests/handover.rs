//! A member that wakes and its successor: which of them tells callers that calls are over.

use steprelay_copies::member::{Authority, Known, Member, News, Other, Precedence};
use steprelay_copies::words::Word;
use steprelay_copies::writer::Limits;
use steprelay_copies::{Millis, Record, StreamId};

const BOOTS: [u64; 2] = [41, 42];
const CALL: u64 = 7;
const TICK: Millis = 50;

/// Member 0 promises calls and sleeps; member 1 holds its copies and succeeds it.
struct Pair {
    now: Millis,
    members: [Member; 2],
    authorities: Vec<Authority>,
    settled: Vec<StreamId>,
    leased: [bool; 2],
    /// Member 1 takes member 0 for lost.
    taken_for_lost: bool,
    /// Words that say that calls are over do not arrive.
    loses_over: bool,
}

fn name(member: usize) -> String {
    format!("n{member}")
}

impl Pair {
    fn new() -> Self {
        let limits = Limits { copies: 1, needed: 1 };
        let member = |of: usize| Member::new(&name(of), "z1", BOOTS[of], limits);
        Pair {
            now: 1_000,
            members: [0, 1].map(member),
            authorities: Vec::new(),
            settled: Vec::new(),
            leased: [true, true],
            taken_for_lost: false,
            loses_over: false,
        }
    }

    fn known(&self, of: usize) -> Known {
        let other = 1 - of;
        let there = Other { name: name(other), zone: "z2".into(), boot: BOOTS[other], serves: true };
        let others = if of == 1 && self.taken_for_lost { Vec::new() } else { vec![there] };
        let (authorities, settled) = (self.authorities.clone(), self.settled.clone());
        Known { leased: self.leased[of], others, authorities, settled }
    }

    /// Both live on for so long, and hear each other; what each of them is told.
    fn live(&mut self, ticks: u64) -> [Vec<News>; 2] {
        let mut news = [Vec::new(), Vec::new()];
        for _ in 0..ticks {
            self.now += TICK;
            for of in [0, 1] {
                let known = self.known(of);
                self.members[of].tick(self.now, &known);
            }
            for from in [0, 1, 0, 1] {
                for (to, word) in self.members[from].take_words() {
                    if self.loses_over && matches!(word, Word::Over { .. }) {
                        continue;
                    }
                    let to = if to == name(0) { 0 } else { 1 };
                    self.members[to].received(self.now, &name(from), BOOTS[from], word);
                }
            }
            for (of, heard) in news.iter_mut().enumerate() {
                heard.extend(std::iter::from_fn(|| self.members[of].take_news()));
            }
        }
        news
    }

    /// Member 0 slept, and member 1 writes its stream on.
    fn succeed(&mut self) -> [Vec<News>; 2] {
        self.leased[0] = false;
        let before = self.live(1);
        let stream = StreamId(BOOTS[0]);
        self.authorities = vec![Authority { stream, name: name(1), boot: BOOTS[1], epoch: 1 }];
        let mut after = self.live(20);
        for (of, news) in before.into_iter().enumerate() {
            after[of].splice(0..0, news);
        }
        after
    }

    fn with_established_call() -> Self {
        let mut pair = Pair::new();
        pair.live(20);
        pair.members[0].note(CALL, Some(Record::Stands { server: 1 }));
        pair.live(5);
        pair
    }
}

fn relinquished(news: &[News]) -> bool {
    news.contains(&News::Relinquished(vec![CALL]))
}

/// Guards against two final answers of one call, the successor's and that of the member that wakes.
#[test]
fn says_which_relinquished_calls_it_has_ended_before_it_confirms() {
    for ended_by_successor in [false, true] {
        let mut pair = Pair::with_established_call();
        let [woken, successor] = pair.succeed();
        assert!(successor.contains(&News::Adopt(vec![(CALL, Record::Stands { server: 1 })])));
        assert!(woken.contains(&News::Renounce([CALL].into())));
        if ended_by_successor {
            // The one that sleeps is not among the others that are told at once.
            pair.taken_for_lost = true;
            pair.members[1].passed_on(pair.now, CALL);
            pair.live(1);
            pair.taken_for_lost = false;
        }
        pair.members[0].relinquish(pair.now, vec![CALL]);
        let [woken, successor] = pair.live(10);
        let over = woken.iter().position(|news| *news == News::Given(vec![CALL]));
        let confirmed = woken.iter().position(|news| *news == News::Relinquished(vec![CALL]));
        assert!(confirmed.is_some(), "{woken:?}");
        assert_eq!(over.is_some_and(|over| Some(over) < confirmed), ended_by_successor, "{woken:?}");
        let dropped = successor.contains(&News::Handed(vec![(CALL, None)]));
        assert_eq!(dropped, !ended_by_successor, "{successor:?}");
    }
}

/// Guards against callers that are told nothing, since the successor had kept all and forgot the stream.
#[test]
fn confirms_relinquished_calls_of_a_stream_that_is_settled() {
    let mut pair = Pair::with_established_call();
    pair.succeed();
    pair.members[1].note(CALL, None);
    pair.live(1);
    pair.settled = pair.authorities.drain(..).map(|authority| authority.stream).collect();
    pair.live(1);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    assert!(relinquished(&pair.live(10)[0]));
}

/// Guards against a caller that is told a verdict which the successor may have contradicted, or will.
#[test]
fn leaves_calls_to_a_successor_that_never_confirms() {
    let mut pair = Pair::with_established_call();
    pair.succeed();
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let mut news = Vec::new();
    for _ in 0..300 {
        pair.now += TICK;
        let known = pair.known(0);
        pair.members[0].tick(pair.now, &known);
        pair.members[0].take_words();
        news.extend(std::iter::from_fn(|| pair.members[0].take_news()));
    }
    assert!(!relinquished(&news) && news.contains(&News::Given(vec![CALL])), "{news:?}");
}

/// Guards against a release that the member that wakes gives, and hands to its successor too.
#[test]
fn hands_over_no_release_that_it_gives_itself() {
    for given_here in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.leased[0] = false;
        pair.live(1);
        if given_here {
            pair.members[0].passed_on(pair.now, CALL);
        }
        pair.members[0].note(CALL, Some(Record::Owed { server: 1, cause: 16 }));
        pair.loses_over = true;
        let [_, mut successor] = pair.succeed();
        pair.loses_over = false;
        successor.append(&mut pair.live(10)[1]);
        let owed = (CALL, Some(Record::Owed { server: 1, cause: 16 }));
        let is_handed = |news: &News| matches!(news, News::Handed(changes) if changes.contains(&owed));
        assert_eq!(successor.iter().any(is_handed), !given_here, "{successor:?}");
        assert_eq!(
            successor.contains(&News::Over(vec![CALL], Precedence::Theirs)),
            given_here,
            "{successor:?}"
        );
        let kept = pair.members[0].written().any(|writer| writer.records().contains_key(&CALL));
        assert_eq!(kept, given_here, "whoever gives it keeps it until it is confirmed");
    }
}

/// Guards against the answer to the question being taken for news of this member's own.
#[test]
fn says_nothing_of_calls_that_others_ended() {
    let mut pair = Pair::with_established_call();
    pair.succeed();
    let over = Word::Over { count: 9, calls: vec![CALL] };
    pair.members[1].received(pair.now, "n9", 99, over);
    pair.members[0].relinquish(pair.now, vec![CALL]);
    let [woken, _] = pair.live(10);
    assert!(relinquished(&woken) && !woken.contains(&News::Given(vec![CALL])), "{woken:?}");
}

/// Guards against a release that the member that wakes gives, since the answer that its successor has given
/// it went to those alone whom the successor takes for alive.
#[test]
fn says_to_whoever_asks_that_it_has_given_a_release() {
    let mut pair = Pair::with_established_call();
    pair.taken_for_lost = true;
    pair.succeed();
    pair.members[0].passed_on(pair.now, CALL);
    let [mut woken, successor] = pair.live(1);
    let question = successor.iter().find_map(|news| match news {
        News::Confirm(question) => Some(question.clone()),
        _ => None,
    });
    pair.members[1].given(pair.now, CALL);
    pair.members[1].confirm(question.expect("it is asked"));
    woken.append(&mut pair.live(2)[0]);
    let given = woken.iter().position(|news| *news == News::Given(vec![CALL]));
    let all_told = woken.iter().position(|news| *news == News::AllTold(vec![CALL]));
    assert!(given.is_some() && given < all_told, "{woken:?}");
}

/// Guards against a second release where the member that gave it is lost before its server heard of that: a
/// replica answers for what was acknowledged, and for nothing that was only let go of.
#[test]
fn answers_for_a_release_that_was_acknowledged_to_a_lost_member() {
    for acknowledged in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].note(CALL, Some(Record::Owed { server: 1, cause: 16 }));
        if acknowledged {
            pair.members[0].acknowledged(CALL);
        }
        pair.members[0].note(CALL, None);
        pair.live(1);
        pair.members[1].take_words();
        let asks = Word::Over { count: 9, calls: vec![CALL] };
        pair.members[1].received(pair.now, "n9", 99, asks);
        let claims = ("n9".to_string(), Word::Over { count: 0, calls: vec![CALL] });
        assert_eq!(pair.members[1].take_words().contains(&claims), acknowledged, "another asks");
        pair.members[1].passed_on(pair.now, CALL);
        let news: Vec<News> = std::iter::from_fn(|| pair.members[1].take_news()).collect();
        let given = news.contains(&News::Given(vec![CALL]));
        assert_eq!(given, acknowledged, "its own server says it: {news:?}");
    }
}

/// Guards against the same where the server is quicker than what the replica hears.
#[test]
fn gives_up_a_release_that_it_hears_was_acknowledged() {
    let mut pair = Pair::with_established_call();
    pair.members[1].passed_on(pair.now, CALL);
    pair.members[0].acknowledged(CALL);
    pair.members[0].note(CALL, None);
    assert!(pair.live(1)[1].contains(&News::Given(vec![CALL])));
}

/// Guards against a release that nobody gives: its member had told the others that it is about to, and was
/// lost before that. While that member is there, it is left to it.
#[test]
fn takes_over_a_pending_release_that_its_lost_member_had_announced() {
    for lost in [false, true] {
        let mut pair = Pair::with_established_call();
        let owed = Record::Owed { server: 1, cause: 16 };
        pair.members[0].passed_on(pair.now, CALL);
        pair.members[0].note(CALL, Some(owed));
        pair.live(5);
        pair.taken_for_lost = lost;
        let [_, successor] = pair.succeed();
        assert_eq!(successor.contains(&News::Adopt(vec![(CALL, owed)])), lost, "{successor:?}");
    }
}

/// Guards against a release that two members give, one of which had heard that the other is about to: it is
/// left to that one while it is there, and given here once it is lost.
#[test]
fn leaves_a_release_to_the_living_member_that_announced_it() {
    for lost in [false, true] {
        let mut pair = Pair::with_established_call();
        pair.members[0].passed_on(pair.now, CALL);
        pair.live(5);
        pair.members[1].passed_on(pair.now, CALL);
        pair.taken_for_lost = lost;
        let [announcer, other] = pair.live(150);
        assert_eq!(other.contains(&News::AllTold(vec![CALL])), lost, "{other:?}");
        assert_eq!(other.contains(&News::LeftTo(vec![CALL])), !lost, "{other:?}");
        assert!(lost || announcer.contains(&News::Over(vec![CALL], Precedence::Ours)), "it is asked");
    }
}
