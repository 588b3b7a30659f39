//! A release is given to a second connection where its caller does not listen on the first, and nowhere else:
//! a program that has not run for a while, or has much to read, hears first what was said meanwhile. It is
//! held (SIGSTOP) while its callers speak.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

const CALL: u64 = 1;
/// Calls of other connections have ids from here on.
const OTHERS: u64 = 1 << 32;
/// Held for so long, the program finds that it has waited longer than it wants to for each confirmation.
const HELD: Duration = Duration::from_millis(400);
/// What has stood and is over is released towards its client within this (protocol, the rules on sockets).
const RELEASED_WITHIN: Duration = Duration::from_secs(1);
/// So many connections of one machine are taken, of two machines.
const FLOODING: usize = 320;
const TESTS: usize = 200;

fn test(call: u64) -> Value {
    json!({"op": "test", "call": hex(call), "with": {}, "why": 0})
}

fn heard(call: u64) -> Value {
    json!({"op": "ended", "call": hex(call), "with": {}})
}

/// A server that answers each set-up with its own description, on every connection that is opened.
struct Echo {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Echo {
    fn start() -> Self {
        let server = Server::new();
        let echo = Echo { address: server.address, open: Arc::default() };
        let open = echo.open.clone();
        std::thread::spawn(move || loop {
            let mut at = server.accept();
            open.lock().expect("not poisoned").push(at.stream.try_clone().expect("clonable"));
            std::thread::spawn(move || {
                while let Some(said) = at.next() {
                    if said["op"] == "offer" {
                        at.say(
                            json!({"op": "accept", "call": said["call"], "with": {}, "desc": said["desc"]}),
                        );
                    }
                }
            });
        });
        echo
    }

    /// Releases the call; when it did.
    fn releases(&self) -> Instant {
        let open = self.open.lock().expect("not poisoned");
        let stream = open.last().expect("one is open").try_clone().expect("clonable");
        let released = Instant::now();
        Lines::new(stream).say(end(CALL, 16));
        released
    }
}

fn stands(caller: &mut Lines, call: u64) {
    caller.offer(call, 9000, 0);
    caller.expect("accept", call);
}

/// The program with one server, and two callers with a call each that stands there.
struct Scene {
    server: Echo,
    first: Lines,
    second: Lines,
    agent: Agent,
}

impl Scene {
    fn new() -> Self {
        Self::with_first(Agent::caller)
    }

    fn with_first(first: impl Fn(&Agent) -> Lines) -> Self {
        let server = Echo::start();
        let agent = Setting::new(&[server.address]).start();
        let (mut first, mut second) = (first(&agent), agent.caller());
        stands(&mut first, CALL);
        stands(&mut second, OTHERS);
        Scene { server, first, second, agent }
    }

    /// The first caller has its release; the program is held, something happens, and the caller confirms.
    fn confirms_while_held(&mut self, before: impl FnOnce()) {
        self.server.releases();
        self.first.expect("end", CALL);
        self.agent.held(|| {
            before();
            self.first.say(heard(CALL));
            self.first.delivered();
            pass(HELD);
        });
    }

    /// What the first caller has confirmed is not given to the second.
    fn assert_given_once(mut self) {
        // The confirmation has been read when what follows it is answered.
        self.first.say(test(0xfeed));
        while self.first.next().expect("a message")["call"] != hex(0xfeed) {}
        self.second.say(test(0xfeed));
        let said = self.second.next().expect("a message");
        assert_eq!(said["op"], "tested", "the first connection had confirmed: {said}");
    }
}

/// Guards against a release given twice by a program that was not run between its words and their answer.
#[test]
fn a_release_that_was_confirmed_while_the_program_was_held_is_given_once() {
    let mut scene = Scene::new();
    scene.confirms_while_held(|| {});
    scene.assert_given_once();
}

/// A caller on another machine that has tested the program: it is not taken for one that never speaks.
fn settled(agent: &Agent, machine: u8) -> Lines {
    let mut caller = agent.caller_from(machine);
    caller.settle();
    caller
}

/// Guards against the same where many others have spoken before the confirmation.
#[test]
fn a_confirmation_behind_what_others_have_said_meanwhile_is_heard_before_it_counts_as_late() {
    let mut scene = Scene::new();
    let machines = [1, 2].into_iter().flat_map(|machine| [machine; FLOODING]);
    let mut others: Vec<Lines> = machines.map(|machine| settled(&scene.agent, machine)).collect();
    let tests = format!("{}\n", test(OTHERS)).repeat(TESTS);
    scene.confirms_while_held(|| others.iter_mut().for_each(|other| other.raw(tests.as_bytes())));
    scene.assert_given_once();
}

/// A caller that confirms each release of the call as soon as it comes, in a thread of its own.
struct Listener {
    stream: TcpStream,
    ends: mpsc::Receiver<Instant>,
}

impl Listener {
    fn new(mut caller: Lines) -> Self {
        let stream = caller.stream.try_clone().expect("clonable");
        let (came, ends) = mpsc::channel();
        std::thread::spawn(move || {
            while let Some(said) = caller.next().filter(|said| said["call"] != hex(0xfeed)) {
                if said["op"] == "end" && said["call"] == hex(CALL) {
                    caller.say(heard(CALL));
                    came.send(Instant::now()).expect("the test waits");
                }
            }
        });
        Listener { stream, ends }
    }

    fn has_it_within_the_protocols_time(self, released: Instant) {
        let left = RELEASED_WITHIN.saturating_sub(released.elapsed());
        self.ends.recv_timeout(left).expect("its release within the protocol's time");
    }

    /// How often it has come by the time that the program has answered a test.
    fn count(self) -> usize {
        Lines::new(self.stream).say(test(0xfeed));
        self.ends.iter().count()
    }
}

/// A caller whose connection takes little that is not read.
fn narrow_caller(agent: &Agent) -> Lines {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("settable");
    socket.set_tcp_mss(536).expect("settable");
    socket.connect(&agent.address.into()).expect("it listens");
    Lines::new(socket.into())
}

/// Has more of a caller's calls answered than its connection takes: the last answers wait in the program.
fn fill(caller: &mut Lines, other: &mut Lines) {
    let (mut call, mut unsent, mut same) = (OTHERS, 0, 0);
    while same < 3 {
        call += 2;
        let mut long = offer(call, 9000, 0);
        long["desc"] = json!("y".repeat(15_000));
        caller.say(long);
        // The program has taken that set-up when this is answered, and its answer when the next call stands.
        other.settle();
        stands(other, call + 1);
        let now = unsent_to(caller);
        same = if now > 0 && now == unsent { same + 1 } else { 0 };
        unsent = now;
    }
}

/// Guards against the time in which a release waits in the program being taken for the caller's.
#[test]
fn a_release_whose_bytes_leave_late_is_given_once() {
    let Scene { server, mut first, mut second, agent: _agent } = Scene::with_first(narrow_caller);
    fill(&mut first, &mut second);
    let second = Listener::new(second);
    server.releases();
    pass(HELD);
    // It takes what waits for it from now on, and confirms at once.
    let first = Listener::new(first);
    let times = [first.count(), second.count()];
    assert_eq!(times.iter().sum::<usize>(), 1, "given to the first and the second connection: {times:?}");
}

/// Guards against a release that is lost with a connection nobody listens on: what the second one is for.
#[test]
fn a_release_that_its_caller_does_not_confirm_is_given_to_another_in_time() {
    for full in [false, true] {
        let Scene { server, mut first, mut second, agent: _agent } = Scene::with_first(narrow_caller);
        if full {
            fill(&mut first, &mut second);
        }
        let released = server.releases();
        Listener::new(second).has_it_within_the_protocols_time(released);
    }
}

/// Guards against the same where the caller has gone, and the first that is given its release only tests.
#[test]
fn a_release_that_a_connection_for_tests_does_not_confirm_is_given_to_another_in_time() {
    let Scene { server, first, second, agent } = Scene::new();
    let _ = (Leaves::Closes.now(first, []), Leaves::Closes.now(second, []));
    let mut other = agent.caller();
    other.settle();
    // Heard later than the other one: it comes first among those that have made no call.
    let mut tests = agent.caller();
    tests.settle();
    let released = server.releases();
    Listener::new(other).has_it_within_the_protocols_time(released);
}
