//! In which order work is granted, and why not yet: what the leader makes of what it is told.

use steprelay_fleet::cluster_state::{ClusterState, Command, CommandId, LogEntry};
use steprelay_fleet::maintenance::{Event, TargetKind};
use steprelay_fleet::messages::Status;
use steprelay_fleet::scheduler::{explain, next_candidate, ClusterView, Limits, ObservedMember};
use steprelay_fleet::swim::Health;

const LIMITS: Limits = Limits { max_out: 1, reserve: 0.5, calm_ms: 1_000 };

/// Four machines in two zones, each with a load of 10 a second that could be 20; all but n4 are to be
/// worked on.
struct Stand {
    cluster_state: ClusterState,
    view: ClusterView,
    count: u64,
}

impl Stand {
    fn new() -> Self {
        let mut stand =
            Stand { cluster_state: ClusterState::default(), view: ClusterView::default(), count: 0 };
        stand.view.max_status_age_ms = 1_000;
        for number in 1..=4 {
            let (name, zone) = (format!("n{number}"), format!("z{}", (number + 1) / 2));
            stand.say(Command::Join { name: name.clone(), zone: zone.clone(), minor: 1 });
            let status = Status {
                serving: true,
                load_milli: 10_000,
                capacity_milli: 20_000,
                classes: vec![vec![1, 2], vec![2]],
                ..Status::default()
            };
            stand.view.members.push(ObservedMember {
                name,
                zone,
                health: Health::Alive,
                status: Some((status, 100)),
            });
        }
        (1..=3).for_each(|number| stand.add(&format!("n{number}"), TargetKind::Agent));
        stand
    }

    fn say(&mut self, command: Command) {
        self.count += 1;
        let id = CommandId { origin: 1, count: self.count };
        self.cluster_state.apply(&LogEntry { id, at_ms: self.count, command }).expect("carried out");
    }

    fn add(&mut self, machine: &str, kind: TargetKind) {
        self.say(Command::Add {
            machine: machine.into(),
            kind,
            zone: String::new(),
            reason: String::new(),
            for_ms: 1,
            after: Vec::new(),
            within_ms: None,
        });
    }

    /// A machine goes and comes back.
    fn done(&mut self, machine: &str) {
        let (base_version, approval) = (self.cluster_state.version, self.cluster_state.last_approval + 1);
        self.say(Command::Approve { machine: machine.into(), base_version, max_out: 9 });
        for event in [Event::Begin, Event::Drained] {
            self.say(Command::ReportEvent { machine: machine.into(), approval, event });
        }
        self.say(Command::Finish { machine: machine.into() });
        self.say(Command::ReportEvent { machine: machine.into(), approval, event: Event::Returned });
    }

    fn member(&mut self, name: &str) -> &mut ObservedMember {
        self.view.members.iter_mut().find(|seen| seen.name == name).expect("a machine")
    }

    fn status(&mut self, name: &str) -> &mut (Status, u64) {
        self.member(name).status.as_mut().expect("a word")
    }

    fn next(&self) -> Option<String> {
        next_candidate(&self.cluster_state, &self.view, &LIMITS).ok()
    }

    fn why(&self, machine: &str) -> String {
        explain(&self.cluster_state, &self.view, &LIMITS, machine)
    }
}

/// What is done to the stand, and what staff are told about n1 then.
#[test]
fn each_reason_to_wait_is_told() {
    type Do = fn(&mut Stand);
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
        // Where one does not know what it can take, the sum is not known.
        (|s| s.status("n4").0.capacity_milli = 0, "n1: it is next"),
        (|s| s.status("n1").0.load_milli = 20_000, "n1: not yet, because n2 goes first"),
        (|s| s.done("n1"), "n1: its work is done"),
        (|s| s.say(Command::Withdraw { machine: "n1".into() }), "n1: its work is withdrawn"),
    ];
    for (place, (change, told)) in table.into_iter().enumerate() {
        let mut stand = Stand::new();
        // Three are left of four: 60 for 40 and half as much again.
        change(&mut stand);
        if told.contains("goes first") {
            stand.status("n2").0.load_milli = 0;
        }
        assert_eq!(stand.why("n1"), told, "line {place}");
    }
    assert_eq!(Stand::new().why("n4"), "n4: no work was requested");
}

#[test]
fn zones_go_one_after_the_other_and_nobody_starves() {
    let mut stand = Stand::new();
    assert_eq!(stand.next().as_deref(), Some("n1"), "the oldest");
    stand.done("n1");
    assert_eq!(stand.next().as_deref(), Some("n2"), "of the same zone");
    stand.done("n2");
    assert_eq!(stand.next().as_deref(), Some("n3"));
    // One that is always less loaded and of the right zone passes another eight times at most.
    let mut stand = Stand::new();
    stand.say(Command::Withdraw { machine: "n2".into() });
    stand.status("n3").0.load_milli = 19_000;
    stand.status("n1").0.load_milli = 0;
    let mut turns = Vec::new();
    for _ in 0..10 {
        let machine = stand.next().expect("one can go");
        stand.done(&machine);
        stand.add(&machine, TargetKind::Agent);
        turns.push(machine);
    }
    assert_eq!(turns.iter().position(|machine| machine == "n3"), Some(8), "{turns:?}");
}

#[test]
fn the_last_check_server_of_a_class_stays() {
    let mut stand = Stand::new();
    stand.add("s-00000001", TargetKind::Server(1));
    stand.add("s-00000002", TargetKind::Server(2));
    assert_eq!(stand.why("s-00000001"), "s-00000001: it is next");
    let told = stand.why("s-00000002");
    assert!(told.ends_with("s-00000002 would be the last check server that can serve class 1"), "{told}");
    // Once the other is out, this one is the last for class 0 as well.
    let base_version = stand.cluster_state.version;
    stand.say(Command::Approve { machine: "s-00000001".into(), base_version, max_out: 2 });
    let limits = Limits { max_out: 2, ..LIMITS };
    let told = explain(&stand.cluster_state, &stand.view, &limits, "s-00000002");
    assert!(told.ends_with("serve class 0"), "{told}");
}
