//! What the rig's callers do at the close of a connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use steprelay_rig::history::{History, What};
use steprelay_rig::peers::{Caller, Door, Doors};

/// Something comes within this.
const SOON: Duration = Duration::from_secs(10);

/// Two machines that the test speaks for, and a caller at home at the first one that makes one call.
struct Site {
    machines: [TcpListener; 2],
    doors: Doors,
    history: History,
    caller: Caller,
}

impl Site {
    fn new() -> Self {
        let machines = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let doors = machines.iter().zip(["n1", "n2"]).map(|(machine, name)| Door {
            address: Some(machine.local_addr().expect("bound")),
            ..Door::of(name)
        });
        let doors: Doors = Arc::new(Mutex::new(doors.collect()));
        let (history, calls) = (History::default(), Arc::new(AtomicU64::new(1)));
        let caller = Caller::start(history.clone(), doors.clone(), 0, Duration::from_secs(3_600), calls);
        Site { machines, doors, history, caller }
    }

    /// The next connection to a machine, with the first message on it.
    fn accept(&self, place: usize) -> (TcpStream, Value) {
        let stream = self.machines[place].accept().expect("a connection").0;
        stream.set_read_timeout(Some(SOON)).expect("set");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a message");
        (stream, serde_json::from_str(&line).expect("JSON"))
    }

    /// How often something happened.
    fn count(&self, holds: impl Fn(&What) -> bool) -> usize {
        self.history.events().iter().filter(|event| holds(&event.what)).count()
    }

    fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let until = Instant::now() + SOON;
        while !holds(self) {
            assert!(Instant::now() < until, "not in time: {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The caller has seen the end of the first call's connection so often.
    fn closed(&self, times: usize) {
        let closed = |what: &What| matches!(what, What::Closed { call: 1, .. });
        self.until("it has found out", |site| site.count(closed) == times);
    }

    fn came_again(&mut self) -> usize {
        self.caller.finish();
        self.count(|what| matches!(what, What::OfferedAgain { call: 1, .. }))
    }
}

#[test]
fn a_set_up_that_crosses_a_close_comes_again_once() {
    let mut site = Site::new();
    let (first, set_up) = site.accept(0);
    drop(first);
    let (mut second, again) = site.accept(1);
    assert_eq!(again, set_up, "unchanged");
    let end = json!({"op": "end", "call": set_up["call"], "with": {"wait": "0"}, "why": 34});
    second.write_all(format!("{end}\n").as_bytes()).expect("written");
    let ended = |what: &What| matches!(what, What::Ended { call: 1, why: 34, .. });
    site.until("it is over", |site| site.count(ended) == 1);
    assert_eq!(site.came_again(), 1);
    let mut site = Site::new();
    drop(site.accept(0));
    drop(site.accept(1));
    site.closed(2);
    assert_eq!(site.came_again(), 1, "not a third time");
}

#[test]
fn a_set_up_that_does_not_cross_the_close_is_lost() {
    let mut site = Site::new();
    let (first, _) = site.accept(0);
    // It looks every 5 ms whether the connection is open.
    std::thread::sleep(Duration::from_secs(1));
    drop(first);
    site.closed(1);
    assert_eq!(site.came_again(), 0);
    let lost = |what: &What| match what {
        What::Closed { call, written, not_before } => *call == 1 && *not_before > written + 50,
        _ => false,
    };
    assert_eq!(site.count(lost), 1, "{:?}", site.history.events());
}

#[test]
fn a_kill_is_no_close() {
    let mut site = Site::new();
    let (first, _) = site.accept(0);
    site.doors.lock().expect("whole")[0].kills += 1;
    drop(first);
    site.closed(1);
    assert_eq!(site.came_again(), 0);
}
