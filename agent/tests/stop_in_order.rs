//! A member that stops in order while its replicas do not run: they are held (SIGSTOP) from before its last
//! releases until its process would have ended.

mod rigs;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use rigs::*;
use steprelay_rig::history::What;
use steprelay_rig::rig::{Rig, Setting};

const SIZE: usize = 4;
/// It serves as ever for 0.7 s after SIGTERM (protocol, planned restart); its replicas are held from then on.
const SERVES: Duration = Duration::from_millis(700);
/// Shorter than the lease of 1.2 s, and over before the process may be killed, 3.7 s after SIGTERM.
const HELD: Duration = Duration::from_millis(900);

/// The process of a machine, which this process has started.
fn process(rig: &Rig, place: usize) -> u32 {
    let config = format!("/{}.json", rig.name(place));
    let own = std::process::id().to_string();
    let is_it = |process: &u32| {
        let read =
            |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let parent =
            read("stat").rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1).map(String::from));
        parent.as_deref() == Some(&own) && read("cmdline").split('\0').any(|word| word.ends_with(&config))
    };
    let names = Path::new("/proc").read_dir().expect("readable").flatten();
    let mut all = names.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    all.find(is_it).expect("it runs")
}

/// Its parent has not waited for it yet.
fn has_ended(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_none_or(|rest| rest.trim_start().starts_with(['Z', 'X']) || rest.is_empty())
}

/// Guards against a release that its caller has confirmed to a member that stops, and that another gives
/// again: the member ended before the others knew of it.
#[test]
fn a_release_that_was_heard_by_a_member_that_stops_is_not_given_again() {
    let holds = Duration::from_millis(500);
    let copies = Some("copies = 1".into());
    let mut rig = start(Setting { holds, copies, rate: 20.0, ..setting("stop-in-order", SIZE, 3) });
    rig.always(seconds(2), "calls come to stand", |rig| rig.runs(0));
    let stopped = (rig.leader().expect("one leads") + 1) % SIZE;
    let process = process(&rig, stopped);
    let told = Command::new("kill").args(["-TERM", &process.to_string()]).status();
    assert!(told.is_ok_and(|status| status.success()));
    rig.always(SERVES, "the others run", |rig| rig.runs(0));
    let others: Vec<usize> = (0..SIZE).filter(|place| *place != stopped).collect();
    others.iter().for_each(|place| rig.stall(*place));
    let (since, held) = (rig.history.now(), Instant::now());
    while !has_ended(process) && held.elapsed() < HELD {
        std::thread::sleep(Duration::from_millis(5));
    }
    let until = rig.history.now();
    others.iter().for_each(|place| rig.go_on(*place));
    rig.stop(stopped);
    let findings = rig.finish();
    let name = rig.name(stopped).to_string();
    let mut ends: BTreeMap<u64, Vec<(u64, String)>> = BTreeMap::new();
    for event in rig.history.events() {
        match event.what {
            What::Answered { call } => drop(ends.entry(call).or_default()),
            What::Ended { call, machine, .. } => {
                ends.entry(call).and_modify(|ends| ends.push((event.at, machine)));
            }
            _ => {}
        }
    }
    let meanwhile = |(at, machine): &(u64, String)| *machine == name && (since..until).contains(at);
    let heard = ends.values().filter(|ends| ends.iter().any(meanwhile)).count();
    assert!(heard > 0, "nothing was released while the others were held");
    let again: Vec<_> = ends.iter().filter(|(_, ends)| ends.len() > 1).collect();
    assert!(again.is_empty(), "{} of {heard} and others, held {since} to {until}: {again:?}", again.len());
    assert!(findings.broken.is_empty(), "{:#?}\n{}", findings.broken, rig.told());
}
