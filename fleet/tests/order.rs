//! Order of approvals, and the reasons to wait, as the leader derives them from reported knowledge.

use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry};
use steprelay_fleet::maintenance::{Event, TargetKind};
use steprelay_fleet::messages::Status;
use steprelay_fleet::scheduler::{explain, next_candidate, ClusterView, Limits, ObservedMember};
use steprelay_fleet::swim::Health;

const LIMITS: Limits = Limits { max_out: 1, reserve: 0.5, calm_ms: 1_000 };

/// Four machines in two zones, each with a load of 10 a second and a capacity of 20; all but n4 have an
/// open request.
struct Fixture {
    cluster_state: ClusterState,
    view: ClusterView,
    count: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture =
            Fixture { cluster_state: ClusterState::default(), view: ClusterView::default(), count: 0 };
        fixture.view.max_status_age_ms = 1_000;
        for number in 1..=4 {
            let (name, zone) = (format!("n{number}"), format!("z{}", (number + 1) / 2));
            fixture.apply(Command::Join { name: name.clone(), zone: zone.clone(), minor: 1 });
            let status = Status {
                serving: true,
                load_milli: 10_000,
                capacity_milli: 20_000,
                classes: vec![vec![1, 2], vec![2]],
                ..Status::default()
            };
            fixture.view.members.push(ObservedMember {
                name,
                zone,
                health: Health::Alive,
                status: Some((status, 100)),
            });
        }
        (1..=3).for_each(|number| fixture.add(&format!("n{number}"), TargetKind::Agent));
        fixture
    }

    fn apply(&mut self, command: Command) {
        self.count += 1;
        let id = CommandId { origin: 1, count: self.count };
        self.cluster_state.apply(&LogEntry { id, at_ms: self.count, command }).expect("command accepted");
    }

    fn add(&mut self, machine: &str, kind: TargetKind) {
        self.apply(Command::Add {
            machine: machine.into(),
            kind,
            zone: String::new(),
            reason: String::new(),
            for_ms: 1,
            after: Vec::new(),
            within_ms: None,
        });
    }

    /// A machine leaves and returns.
    fn complete_maintenance(&mut self, machine: &str) {
        let (base_version, approval) = (self.cluster_state.version, self.cluster_state.last_approval + 1);
        self.apply(Command::Approve { machine: machine.into(), base_version, max_out: 9 });
        for event in [Event::Begin, Event::Drained] {
            self.apply(Command::ReportEvent { machine: machine.into(), approval, event });
        }
        self.apply(Command::Finish { machine: machine.into() });
        self.apply(Command::ReportEvent { machine: machine.into(), approval, event: Event::Returned });
    }

    fn member(&mut self, name: &str) -> &mut ObservedMember {
        self.view.members.iter_mut().find(|seen| seen.name == name).expect("a machine")
    }

    fn status(&mut self, name: &str) -> &mut (Status, u64) {
        self.member(name).status.as_mut().expect("a status")
    }

    fn next(&self) -> Option<String> {
        next_candidate(&self.cluster_state, &self.view, &LIMITS).ok()
    }

    fn explanation(&self, machine: &str) -> String {
        explain(&self.cluster_state, &self.view, &LIMITS, machine)
    }
}

/// A change to the fixture, and the explanation for n1 that follows.
#[test]
fn each_reason_to_wait_is_explained() {
    type Do = fn(&mut Fixture);
    let table: [(Do, &str); 13] = [
        (|_| {}, "n1: it is next"),
        (
            |s| s.member("n4").health = Health::Suspect,
            "n1: not yet, because n4 is not serving, and counts as out",
        ),
        (|s| s.member("n4").status = None, "n1: not yet, because n4 is not serving, and counts as out"),
        (|s| s.status("n4").1 = 1_001, "n1: not yet, because n4 is not serving, and counts as out"),
        (|s| s.status("n2").0.serving = false, "n1: not yet, because n2 is not serving, and counts as out"),
        (|s| s.status("n1").0.serving = false, "n1: not yet, because the machine itself is not serving"),
        (
            |s| s.view.disturbance = Some(("n3 was lost".into(), 999)),
            "n1: not yet, because n3 was lost 999 ms ago, 1000 ms without a disturbance are required",
        ),
        (|s| s.view.disturbance = Some(("n3 was lost".into(), 1_000)), "n1: it is next"),
        (
            |s| s.status("n4").0.capacity_milli = 19_000,
            "n1: not yet, because 59 set-ups a second would remain, 40 and the reserve are needed",
        ),
        // With one unknown capacity the total is unknown.
        (|s| s.status("n4").0.capacity_milli = 0, "n1: it is next"),
        (|s| s.status("n1").0.load_milli = 20_000, "n1: not yet, because n2 goes first"),
        (|s| s.complete_maintenance("n1"), "n1: its work is done"),
        (|s| s.apply(Command::Withdraw { machine: "n1".into() }), "n1: its work is withdrawn"),
    ];
    for (place, (change, expected)) in table.into_iter().enumerate() {
        let mut fixture = Fixture::new();
        // Three of four machines remain: 60 for a load of 40 plus half of it in reserve.
        change(&mut fixture);
        if expected.contains("goes first") {
            fixture.status("n2").0.load_milli = 0;
        }
        assert_eq!(fixture.explanation("n1"), expected, "line {place}");
    }
    assert_eq!(Fixture::new().explanation("n4"), "n4: no work was requested");
}

#[test]
fn zones_are_completed_in_turn_and_no_request_starves() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.next().as_deref(), Some("n1"), "oldest request");
    fixture.complete_maintenance("n1");
    assert_eq!(fixture.next().as_deref(), Some("n2"), "same zone");
    fixture.complete_maintenance("n2");
    assert_eq!(fixture.next().as_deref(), Some("n3"));
    // A machine that is always less loaded and of the preferred zone passes another one over eight times at
    // most.
    let mut fixture = Fixture::new();
    fixture.apply(Command::Withdraw { machine: "n2".into() });
    fixture.status("n3").0.load_milli = 19_000;
    fixture.status("n1").0.load_milli = 0;
    let mut turns = Vec::new();
    for _ in 0..10 {
        let machine = fixture.next().expect("one is eligible");
        fixture.complete_maintenance(&machine);
        fixture.add(&machine, TargetKind::Agent);
        turns.push(machine);
    }
    assert_eq!(turns.iter().position(|machine| machine == "n3"), Some(8), "{turns:?}");
}

#[test]
fn the_last_check_server_of_a_class_stays() {
    let mut fixture = Fixture::new();
    fixture.add("s-00000001", TargetKind::Server(1));
    fixture.add("s-00000002", TargetKind::Server(2));
    assert_eq!(fixture.explanation("s-00000001"), "s-00000001: it is next");
    let explanation = fixture.explanation("s-00000002");
    assert!(
        explanation.ends_with("s-00000002 would be the last check server that can serve class 1"),
        "{explanation}"
    );
    // Once the other server is out, this one is the last for class 0, too.
    let base_version = fixture.cluster_state.version;
    fixture.apply(Command::Approve { machine: "s-00000001".into(), base_version, max_out: 2 });
    let limits = Limits { max_out: 2, ..LIMITS };
    let explanation = explain(&fixture.cluster_state, &fixture.view, &limits, "s-00000002");
    assert!(explanation.ends_with("serve class 0"), "{explanation}");
}
