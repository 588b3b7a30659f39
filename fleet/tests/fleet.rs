//! Clusters in a simulation with virtual time and fault injection.

mod world;

use steprelay_fleet::cluster_state::{Command, Rejection};
use steprelay_fleet::maintenance::{State, TargetKind};
use steprelay_fleet::messages::{LeaderRequest, LeaderResponse, Payload};
use steprelay_fleet::swim::{Health, Member, Swim};
use world::Simulation;

fn converged(seed: u64, size: usize) -> Simulation {
    let mut sim = Simulation::new(seed, size, 3, 1, 1_000);
    sim.start_all();
    assert!(sim.run_until(20_000, Simulation::has_converged), "no convergence: {}", sim.logs());
    sim
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}\n{}", &sim.violations[..1], sim.logs());
}

/// Finishes the maintenance of every machine that is out, until no request is open.
fn finish_all(sim: &mut Simulation, within_ms: u64) -> bool {
    let until = sim.now + within_ms;
    while sim.now < until {
        let Some(leader) = sim.leader() else {
            sim.step();
            continue;
        };
        let open: Vec<(String, State)> = sim
            .node(leader)
            .cluster_state()
            .open_requests
            .iter()
            .map(|i| (i.machine.clone(), i.state))
            .collect();
        if open.is_empty() {
            return true;
        }
        let out = open.iter().find(|(_, state)| matches!(state, State::Out | State::Overdue));
        match out.and_then(|(name, _)| (0..sim.machines.len()).find(|index| sim.name(*index) == *name)) {
            Some(index) => {
                let _ = sim.finish(leader, index);
            }
            None => sim.step(),
        }
    }
    false
}

#[test]
fn nine_members_in_three_zones_are_each_approved_once() {
    let mut sim = converged(1, 9);
    for index in 0..9 {
        assert_eq!(sim.request_maintenance(8 - index, index), Some(Ok(())), "{}", sim.logs());
    }
    assert!(finish_all(&mut sim, 240_000), "{}", sim.logs());
    assert_no_violations(&sim);
    for index in 0..9 {
        assert_eq!(sim.machines[index].approvals_used.len(), 1, "{}", sim.name(index));
    }
    let approvals: Vec<u64> = sim.departures.iter().map(|(approval, _)| *approval).collect();
    assert!(approvals.windows(2).all(|pair| pair[0] < pair[1]), "approval numbers grow: {approvals:?}");
}

/// Guards against a member that takes a new disk identity and drops the agreed state: it reported to
/// operators that no request was open, and released check servers under maintenance, until the first
/// message of the group arrived.
#[test]
fn a_member_with_a_new_disk_identity_keeps_the_agreed_state() {
    let mut sim = converged(21, 5);
    let (kind, zone) = (TargetKind::Server(1), String::new());
    let machine = "s-00000001".to_string();
    let asked = Command::Add {
        machine,
        kind,
        zone,
        reason: String::new(),
        for_ms: 600_000,
        after: Vec::new(),
        within_ms: None,
    };
    assert_eq!(sim.command(4, asked), Some(Ok(())));
    let holds = |sim: &Simulation, index: usize| sim.machines[index].held.contains_key(&1);
    assert!(sim.run_until(20_000, |sim| (0..5).all(|index| holds(sim, index))), "{}", sim.logs());
    let old = (0..3).find(|index| sim.leader() != Some(*index)).expect("a voter that does not lead");
    sim.back_up_disk(old);
    let copy = sim.machines[old].backups[0].clone();
    for directory in [None, Some(copy)] {
        sim.kill(old);
        if let Some(copy) = directory {
            sim.machines[old].directory = copy;
        }
        sim.start(old);
        for _ in 0..400 {
            sim.step();
            assert!(holds(&sim, old), "{}", sim.logs());
            assert_eq!(sim.node(old).cluster_state().open_requests.len(), 1, "{}", sim.logs());
        }
    }
    assert!(sim.logs().contains("takes the new disk identity"), "{}", sim.logs());
}

/// Members of two versions, each upgraded while it is out: a command of the newer version is rejected until
/// all members support it, and a member that is downgraded after that is rejected.
#[test]
fn a_newer_command_is_rejected_until_all_members_are_upgraded() {
    let mut sim = Simulation::new(22, 6, 3, 1, 1_000);
    (0..6).for_each(|index| sim.machines[index].minor = u16::from(index % 2 == 1));
    sim.start_all();
    assert!(sim.run_until(20_000, Simulation::has_converged), "{}", sim.logs());
    let pause = |sim: &mut Simulation, by: usize, reason: Option<&str>| {
        sim.command(by, Command::Pause { reason: reason.map(str::to_string) })
    };
    for index in [0, 2, 4] {
        let early = pause(&mut sim, 1, Some("an incident"));
        assert!(matches!(early, Some(Err(Rejection::VersionTooOld(..)))), "{early:?}");
        assert_eq!(sim.request_maintenance(1, index), Some(Ok(())));
        let out = |sim: &Simulation| sim.state_of(index, 1) == Some(State::Out);
        assert!(sim.run_until(40_000, out), "{}", sim.logs());
        sim.kill(index);
        sim.machines[index].minor = 1;
        sim.start(index);
        assert_eq!(sim.finish(1, index), Some(Ok(())));
        let done = |sim: &Simulation| sim.state_of(index, 1) == Some(State::Done);
        assert!(sim.run_until(40_000, done), "{}", sim.logs());
    }
    sim.run(2_000);
    assert_eq!(pause(&mut sim, 0, Some("an incident")), Some(Ok(())));
    assert_eq!(sim.request_maintenance(1, 5), Some(Ok(())));
    sim.run(10_000);
    assert_eq!(
        sim.state_of(5, 1),
        Some(State::Requested),
        "nothing is approved while paused: {}",
        sim.logs()
    );
    let leader = sim.leader().expect("a leader");
    let explained = sim.request(leader, LeaderRequest::Explain("n6".into()));
    assert_eq!(
        explained,
        Some(LeaderResponse::Text("n6: not yet, because all work is paused: an incident".into()))
    );
    assert_eq!(pause(&mut sim, 3, None), Some(Ok(())));
    assert!(finish_all(&mut sim, 40_000), "{}", sim.logs());
    // A downgraded member can't read the agreed state, and is rejected with the reason.
    let back = (0..6).find(|index| sim.leader() != Some(*index)).expect("another member");
    sim.kill(back);
    sim.machines[back].minor = 0;
    sim.start(back);
    sim.run(3_000);
    assert!(sim.logs().contains("version 1.0 is too old, the log has entries of 1.1"), "{}", sim.logs());
    assert_no_violations(&sim);
}

/// Only the progress of a member's own clock counts: the clocks are up to a day apart, drift by up to 4 %,
/// and each jumps a minute ahead, like that of a machine that was suspended.
#[test]
fn clock_offsets_drift_and_jumps_have_no_effect() {
    let mut sim = Simulation::new(23, 6, 3, 1, 1_000);
    for (index, drift) in [(0, 40_000), (1, 20_000), (2, 0)] {
        sim.machines[index].drift = drift;
    }
    sim.start_all();
    assert!(sim.run_until(20_000, Simulation::has_converged), "{}", sim.logs());
    (0..6).for_each(|index| assert_eq!(sim.request_maintenance(index, index), Some(Ok(()))));
    for jumps in 0..6 {
        sim.run(3_000);
        sim.machines[jumps].skew += 60_000;
    }
    assert!(finish_all(&mut sim, 120_000), "{}", sim.logs());
    assert_no_violations(&sim);
    (0..6).for_each(|index| assert_eq!(sim.machines[index].approvals_used.len(), 1, "{}", sim.logs()));
    assert!(sim.logs().contains("stalled for 6") && !sim.logs().contains(" is dead"), "{}", sim.logs());
}

#[test]
fn invalid_requests_are_rejected_with_the_reason() {
    let mut sim = converged(2, 3);
    assert_eq!(sim.request_maintenance(0, 1), Some(Ok(())));
    let again = sim.request_maintenance(2, 1).expect("an outcome");
    assert!(matches!(again, Err(Rejection::AlreadyRequested(..))), "{again:?}");
    let unknown = sim.command(1, Command::Withdraw { machine: "n9".into() });
    assert_eq!(unknown, Some(Err(Rejection::NoRequest("n9".into()))));
    let approval = sim.command(1, Command::Approve { machine: "n2".into(), base_version: 0, max_out: 9 });
    assert!(matches!(approval, Some(Err(Rejection::NotAllowed(_)))), "{approval:?}");
}

#[test]
fn a_leader_that_dies_between_approval_and_delivery_loses_nothing() {
    let mut sim = converged(3, 5);
    assert_eq!(sim.request_maintenance(1, 4), Some(Ok(())));
    // The machine receives nothing while its request is approved, and then the leader dies.
    let deaf: Vec<_> = (0..4).map(|from| (from, 4)).collect();
    sim.run(600);
    sim.blocked_paths.extend(deaf);
    assert!(
        sim.run_until(8_000, |sim| {
            sim.leader().is_some_and(|leader| sim.state_of(4, leader) == Some(State::Approved))
        }) || sim.leader().is_some_and(|leader| sim.state_of(4, leader) == Some(State::Requested))
    );
    let leader = sim.leader().expect("a leader");
    sim.kill(leader);
    sim.heal();
    assert!(sim.run_until(15_000, |sim| sim.leader().is_some()), "{}", sim.logs());
    sim.start(leader);
    assert!(finish_all(&mut sim, 90_000), "{}", sim.logs());
    assert_no_violations(&sim);
}

/// A successor can act only after the next leader is elected, so the election must be over within the
/// longest election timeout and the time for the votes. No two voters may start an election at the same
/// time.
#[test]
fn a_leader_that_dies_is_followed_by_the_first_election() {
    let took = (0..60).map(|seed| {
        let mut sim = converged(200 + seed, 5);
        sim.run(seed * 37);
        let leader = sim.leader().expect("a leader");
        sim.kill(leader);
        let killed = sim.now;
        let other = |sim: &Simulation| sim.leader().is_some_and(|now| now != leader);
        assert!(sim.run_until(20_000, other), "{}", sim.logs());
        sim.now - killed
    });
    let longest = took.inspect(|took| print!("{took} ")).max();
    assert!(longest < Some(2_000), "{longest:?} ms");
}

/// The leader is killed in each state of another machine's maintenance and comes back: each transition
/// happens once, under the same approval if one was given and used.
#[test]
fn a_leader_that_dies_at_any_step_changes_nothing() {
    let steps = [State::Requested, State::Approved, State::Draining, State::Out, State::Returning];
    for (seed, step) in (40..).zip(steps) {
        let mut sim = converged(seed, 6);
        assert_eq!(sim.request_maintenance(1, 5), Some(Ok(())));
        let at =
            |sim: &Simulation, step| sim.leader().is_some_and(|leader| sim.state_of(5, leader) == Some(step));
        if step == State::Returning {
            assert!(sim.run_until(40_000, |sim| at(sim, State::Out)), "{}", sim.logs());
            let leader = sim.leader().expect("a leader");
            let machine = "n6".into();
            let local = sim.now + sim.machines[leader].skew;
            let node = sim.machines[leader].node.as_mut().expect("it runs");
            node.submit(local, LeaderRequest::Execute(Command::Finish { machine }));
        }
        assert!(sim.run_until(40_000, |sim| at(sim, step)), "{step:?} {}", sim.logs());
        let leader = sim.leader().expect("a leader");
        sim.kill(leader);
        let other = |sim: &Simulation| sim.leader().is_some_and(|now| now != leader);
        assert!(sim.run_until(20_000, other), "{step:?} {}", sim.logs());
        sim.start(leader);
        assert!(finish_all(&mut sim, 90_000), "{step:?} {}", sim.logs());
        assert_no_violations(&sim);
        assert_eq!(sim.machines[5].approvals_used.len(), 1, "{step:?} {}", sim.logs());
    }
}

/// Two members are both told to found a new group: each logs the conflict, and neither adopts the other's
/// group until an operator chooses one.
#[test]
fn two_groups_of_one_number_remain_until_an_operator_chooses() {
    let mut sim = converged(50, 5);
    for index in [0, 1] {
        sim.kill(index);
        sim.lose_disk(index);
    }
    sim.partition(|index| usize::from(index == 2));
    sim.run(8_000);
    assert!(sim.recreate_group(2) && sim.recreate_group(3), "{}", sim.logs());
    sim.run(3_000);
    sim.heal();
    sim.run(8_000);
    assert!(sim
        .logs()
        .contains("is in another consensus group of the same number, an operator must choose one"));
    let number = |sim: &Simulation, index: usize| sim.node(index).metrics().group_number;
    assert_eq!((number(&sim, 2), number(&sim, 3)), (2, 2));
    // The other member comes back without its directory, and with it the machine that followed neither of
    // them.
    assert!(sim.run_until(20_000, |sim| sim.node(3).metrics().leader.is_some()), "{}", sim.logs());
    sim.kill(2);
    sim.lose_disk(2);
    sim.run(8_000);
    [0, 1, 2].into_iter().for_each(|index| sim.start(index));
    assert!(sim.run_until(60_000, Simulation::has_converged), "{}{}", sim.dump(), sim.logs());
    assert_eq!(sim.request_maintenance(0, 4), Some(Ok(())));
    assert!(finish_all(&mut sim, 60_000), "{}", sim.logs());
    assert_no_violations(&sim);
}

#[test]
fn an_approved_machine_that_stalled_confirms_its_approval_again() {
    let mut sim = converged(4, 6);
    assert_eq!(sim.request_maintenance(0, 5), Some(Ok(())));
    assert!(sim.run_until(20_000, |sim| {
        sim.leader().is_some_and(|leader| sim.state_of(5, leader) == Some(State::Approved))
    }));
    sim.stall(5, 10_000);
    // In the meantime the request is withdrawn, and another machine is requested.
    let leader = sim.leader().expect("a leader");
    let withdrawn = sim.command(leader, Command::Withdraw { machine: "n6".into() });
    assert!(withdrawn.is_some(), "{}", sim.logs());
    let _ = sim.request_maintenance(leader, 4);
    sim.run(12_000);
    assert!(finish_all(&mut sim, 60_000), "{}", sim.logs());
    assert_no_violations(&sim);
}

#[test]
fn only_the_majority_side_of_a_partition_approves() {
    let mut sim = converged(5, 9);
    sim.partition(|index| usize::from(index % 3 == 0));
    sim.run(8_000);
    let minority = (0..9).filter(|index| index % 3 == 0);
    for index in minority {
        assert!(!sim.node(index).is_leader(), "{} leads without a majority", sim.name(index));
    }
    assert!(
        sim.run_until(8_000, |sim| sim.leader().is_some_and(|leader| leader % 3 != 0)),
        "{}",
        sim.dump() + &sim.logs()
    );
    let leader = sim.leader().expect("the majority leads");
    assert_eq!(sim.request_maintenance(leader, 4), Some(Ok(())), "{}", sim.logs());
    let alone = sim.request_maintenance(0, 3);
    assert_eq!(alone, Some(Err(Rejection::NoQuorum)));
    sim.run(10_000);
    assert_eq!(sim.state_of(4, leader), Some(State::Requested), "unreachable machines count as out");
    sim.heal();
    assert!(sim.run_until(30_000, Simulation::has_converged), "{}", sim.logs());
    assert!(finish_all(&mut sim, 90_000), "{}", sim.logs());
    assert_no_violations(&sim);
}

#[test]
fn a_voter_without_its_disk_gets_a_new_identity() {
    let mut sim = converged(6, 4);
    let before = sim.node(1).me().node;
    sim.kill(1);
    sim.lose_disk(1);
    sim.run(1_000);
    sim.start(1);
    assert!(
        sim.run_until(40_000, |sim| {
            sim.leader().is_some_and(|leader| {
                let voters = &sim.node(leader).cluster_state().voters;
                voters.len() == 3 && !voters.contains_key(&before)
            })
        }),
        "{}",
        sim.logs()
    );
    assert_ne!(sim.node(1).me().node, before);
    assert!(sim.run_until(20_000, Simulation::has_converged), "{}", sim.logs());
}

#[test]
fn an_outdated_directory_is_detected() {
    let mut sim = converged(7, 4);
    let before = sim.node(2).me().node;
    sim.kill(2);
    sim.back_up_disk(2);
    for _ in 0..2 {
        sim.start(2);
        sim.run(8_000);
        sim.kill(2);
    }
    sim.run(500);
    sim.machines[2].directory = sim.machines[2].backups[0].clone();
    sim.start(2);
    assert!(sim.run_until(10_000, |sim| sim.node(2).me().node != before), "{}", sim.logs());
    assert!(sim.run_until(40_000, Simulation::has_converged), "{}", sim.logs());
}

#[test]
fn a_machine_that_never_returns_blocks_the_others() {
    let mut sim = converged(8, 6);
    assert_eq!(sim.request_maintenance(0, 5), Some(Ok(())));
    assert!(sim.run_until(30_000, |sim| sim.machines[5].away.is_some()), "{}", sim.logs());
    sim.kill(5);
    let leader = sim.leader().expect("a leader");
    assert_eq!(sim.request_maintenance(leader, 4), Some(Ok(())));
    sim.run(30_000);
    let leader = sim.leader().expect("a leader");
    assert_eq!(sim.state_of(4, leader), Some(State::Requested), "{}", sim.logs());
    // Operators give the machine up and remove it; then the next one may go.
    assert!(sim.command(leader, Command::Withdraw { machine: "n6".into() }).is_some());
    assert_eq!(sim.command(leader, Command::Forget { name: "n6".into() }), Some(Ok(())), "{}", sim.logs());
    assert_no_violations(&sim);
}

#[test]
fn without_a_majority_nothing_is_approved_until_the_group_is_recreated() {
    let mut sim = converged(9, 5);
    let leader = sim.leader().expect("a leader");
    let voters: Vec<usize> = (0..5)
        .filter(|index| sim.node(leader).cluster_state().voters.contains_key(&sim.node(*index).me().node))
        .collect();
    let last = sim.node(leader).cluster_state().last_approval;
    let rest: Vec<usize> = (0..5).filter(|index| !voters.contains(index)).collect();
    sim.kill(voters[0]);
    sim.kill(voters[1]);
    sim.lose_disk(voters[0]);
    sim.lose_disk(voters[1]);
    sim.run(15_000);
    assert_eq!(sim.leader(), None);
    assert_eq!(sim.request_maintenance(rest[0], rest[1]), Some(Err(Rejection::NoQuorum)));
    assert!(sim.recreate_group(rest[0]), "the group has no leader");
    sim.start(voters[0]);
    sim.start(voters[1]);
    assert!(sim.run_until(60_000, Simulation::has_converged), "{}", sim.logs());
    let leader = sim.leader().expect("a leader");
    assert!(sim.node(leader).cluster_state().last_approval > last);
    assert_eq!(sim.node(voters[2]).metrics().group_number, 2);
}

/// Guards against suspicions that never expire: a member that was declared dead continues under a new
/// incarnation, and the members it suspected before stayed suspect for ever, which blocked all approvals.
#[test]
fn suspicions_expire_also_in_the_next_incarnation() {
    let member = |name: &str, incarnation| {
        let (zone, address) = ("z1".to_string(), "127.0.0.1:7801".parse().expect("an address"));
        Member { name: name.into(), zone, address, node: 1, incarnation, boot: 1 }
    };
    let (one, other) = (member("n1", 1), member("n2", 1));
    let mut swims = [Swim::new(0, one.clone(), 1), Swim::new(0, other.clone(), 2)];
    let found = swims[0].announce(0, &other);
    for (_, bytes) in found.send {
        for (_, bytes) in swims[1].receive(0, &bytes).send {
            swims[0].receive(0, &bytes);
        }
    }
    let [swim, _] = &mut swims;
    let health =
        |swim: &Swim| swim.members().find(|(member, _)| member.name == "n2").map(|(_, health)| health);
    let mut now = 0;
    while health(swim) == Some(Health::Alive) {
        assert!(now < 5_000, "the member is not suspected");
        now += 50;
        swim.tick(now);
    }
    assert_eq!(health(swim), Some(Health::Suspect));
    swim.change_identity(now, member("n1", 2));
    for _ in 0..100 {
        now += 50;
        swim.tick(now);
    }
    assert_eq!(health(swim), Some(Health::Dead), "5 s later");
}

/// A rejected member sends a greeting every second, and the log reports it once a minute.
#[test]
fn a_rejection_is_logged_once_a_minute() {
    let mut sim = converged(23, 3);
    let mut stranger = sim.node(1).envelope(Payload::Hello);
    stranger.cluster = "other".into();
    for second in 0..62 {
        let now = sim.now + sim.machines[0].skew;
        let node = sim.machines[0].node.as_mut().expect("it runs");
        assert!(!node.receive(now, stranger.clone()));
        sim.run(1_000);
        let logged =
            sim.machines[0].log.iter().filter(|line| line.contains("is rejected: this is cluster kl"));
        assert_eq!(logged.count(), if second < 60 { 1 } else { 2 }, "after {second} s");
    }
    assert_eq!(sim.node(0).metrics().unexpected_messages, 62);
}

#[test]
fn a_stalled_member_suspects_no_others() {
    let mut sim = converged(10, 5);
    for _ in 0..5 {
        sim.stall(4, 1_500);
        sim.run(4_000);
    }
    for (member, health) in sim.node(4).members() {
        assert_eq!(health, Health::Alive, "{} is {health:?} to the stalled member", member.name);
    }
    assert!(sim.node(4).metrics().stalled_ms >= 5_000);
    let declared_dead: Vec<_> = sim.machines[4].log.iter().filter(|line| line.ends_with("is dead")).collect();
    assert!(declared_dead.is_empty(), "{declared_dead:?}");
}

#[test]
fn thirty_members_converge_at_a_tenth_of_loss() {
    let mut sim = Simulation::new(11, 30, 3, 2, 1_000);
    sim.loss_rate = 0.1;
    sim.start_all();
    assert!(sim.run_until(60_000, Simulation::has_converged), "{}", sim.logs());
}

#[test]
fn the_permission_to_leave_expires() {
    let mut sim = converged(12, 6);
    assert_eq!(sim.request_maintenance(0, 5), Some(Ok(())));
    assert!(sim.run_until(20_000, |sim| {
        sim.leader().is_some_and(|leader| sim.state_of(5, leader) == Some(State::Approved))
    }));
    // From now on a round trip takes longer than the permission to leave is valid.
    sim.distant = Some((5, 1_300));
    let mut allowed = false;
    for _ in 0..80 {
        sim.run(50);
        let state = sim.leader().and_then(|leader| sim.state_of(5, leader));
        allowed |= state == Some(State::Draining);
        assert_eq!(sim.machines[5].away, None, "{}", sim.logs());
    }
    assert!(allowed, "the group gave permission: {}", sim.logs());
    assert_no_violations(&sim);
}

#[test]
fn a_machine_that_restarts_while_it_is_out_does_not_serve() {
    let mut sim = converged(13, 5);
    assert_eq!(sim.request_maintenance(0, 4), Some(Ok(())));
    let out = |sim: &Simulation| sim.leader().is_some_and(|by| sim.state_of(4, by) == Some(State::Out));
    assert!(sim.run_until(30_000, out), "{}", sim.logs());
    sim.kill(4);
    sim.run(10_000);
    assert!(out(&sim), "a machine under maintenance is expected to be unreachable");
    sim.start(4);
    assert!(sim.machines[4].remains_out);
    sim.run(10_000);
    assert!(sim.machines[4].remains_out && out(&sim), "{}", sim.logs());
    let leader = sim.leader().expect("a leader");
    assert_eq!(sim.finish(leader, 4), Some(Ok(())));
    assert!(sim.run_until(10_000, |sim| !sim.machines[4].remains_out), "{}", sim.logs());
    assert!(finish_all(&mut sim, 10_000), "{}", sim.logs());
}

#[test]
fn a_restarted_voter_sends_no_raft_messages_until_its_disk_is_confirmed() {
    let mut sim = converged(14, 4);
    let leader = sim.leader().expect("a leader");
    let voters = sim.node(leader).cluster_state().voters.clone();
    let votes = |index: &usize| voters.contains_key(&sim.node(*index).me().node);
    let voter = (0..4).filter(|index| *index != leader).find(votes).expect("another voter");
    sim.kill(voter);
    sim.partition(|index| usize::from(index == voter));
    sim.start(voter);
    let before = sim.raft_messages_sent.get(&voter).copied();
    sim.run(5_000);
    assert_eq!(sim.raft_messages_sent.get(&voter).copied(), before, "the voter sent Raft messages");
    sim.heal();
    assert!(
        sim.run_until(10_000, |sim| sim.raft_messages_sent.get(&voter).copied() > before),
        "{}",
        sim.logs()
    );
}

/// Takes minutes; run by `make rig`, and prints its cost. While a tenth of all messages is lost, some
/// member is suspected somewhere at every moment, so the cluster converges only after that.
#[test]
#[ignore = "long"]
fn three_hundred_members_converge_after_loss_and_leave_in_turn() {
    let mut sim = Simulation::new(15, 300, 3, 1, 1_000);
    sim.loss_rate = 0.1;
    sim.start_all();
    sim.run(3_000);
    sim.heal();
    let healed = sim.now;
    assert!(sim.run_until(60_000, Simulation::has_converged), "{}", sim.dump());
    println!("300 members, 3 s with a tenth of messages lost: converged {} ms later", sim.now - healed);
    sim.run(20_000);
    let (now, octets) = (sim.now, sim.octets);
    sim.run(10_000);
    let each = (sim.octets - octets) * 1_000 / (sim.now - now) / 300;
    println!("idle: {each} octets/s a member");
    for index in [7, 8, 9] {
        assert_eq!(sim.request_maintenance(index, index + 100), Some(Ok(())));
    }
    let asked = sim.now;
    assert!(finish_all(&mut sim, 120_000), "{}", sim.dump());
    println!("maintenance of three of them finished after {} ms", sim.now - asked);
    assert_no_violations(&sim);
    assert_eq!(sim.departures.len(), 3);
}
