//! Stories of upgrades: a second process beside the first, with the listening socket that both inherit.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use common::{accept, answer_all, ask, bytes, end, figure, frame, record, Agent, Lines, Server, Setting};
use serde_json::json;

struct Site {
    server: Server,
    setting: Setting,
    socket: TcpListener,
}

impl Site {
    fn new() -> Self {
        let server = Server::new();
        let mut setting = Setting::new(&[server.address]);
        setting.ops = Some("127.0.0.1:0".into());
        Site { server, setting, socket: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    /// One more process, once it says yes.
    fn start(&self) -> (Agent, SocketAddr) {
        let mut agent = self.setting.start_on(&self.socket);
        let ops = agent.ops();
        while ask(ops, b"status\n") != "+OK serving\n" {}
        (agent, ops)
    }

    fn caller(&self) -> Lines {
        Lines::new(TcpStream::connect(self.socket.local_addr().expect("bound")).expect("it listens"))
    }
}

fn upgraded(old: &mut Agent) {
    old.signal("TERM");
    old.logged("told to stop");
}

#[test]
fn what_the_old_process_took_is_answered_and_the_queue_is_the_new_ones() {
    let site = Site::new();
    let (mut old, old_ops) = site.start();
    let mut at_old = site.server.accept();
    let (mut busy, mut idle) = (site.caller(), site.caller());
    busy.offer(1, 9000, 0);
    at_old.expect("offer", 1);
    idle.settle();
    let (_new, _) = site.start();
    let mut at_new = site.server.accept();
    upgraded(&mut old);
    assert_eq!(idle.next(), None, "nothing waits on it");
    assert_eq!(ask(old_ops, b"status\n"), "-ERR stopping\n");
    // Whoever connects from now on is the new one's, though the old one still runs.
    let mut late = site.caller();
    late.offer(2, 9000, 0);
    at_new.expect("offer", 2);
    at_new.say(accept(2));
    late.expect("accept", 2);
    at_old.say(accept(1));
    busy.expect("accept", 1);
    assert_eq!(busy.next(), None, "its last answer was given");
    assert!(old.ended().success());
    // What stood in the old process is released through the new one.
    at_new.say(end(1, 16));
    late.expect("end", 1);
    late.say(json!({"op": "ended", "call": common::hex(1), "with": {}}));
}

#[test]
fn no_call_is_lost_over_upgrades_in_a_row() {
    let site = Site::new();
    let over = Arc::new(AtomicBool::new(false));
    let (mut agent, _) = site.start();
    let server = site.server.listener.try_clone().expect("clonable");
    std::thread::spawn(move || answer_all(server));
    let callers: Vec<_> = (0..4u64)
        .map(|caller| {
            let (address, over) = (site.socket.local_addr().expect("bound"), over.clone());
            std::thread::spawn(move || {
                let connect = || Lines::new(TcpStream::connect(address).expect("never refused"));
                let (mut lines, mut closed, mut call) = (connect(), 0, (caller + 1) << 32);
                while !over.load(Ordering::Relaxed) {
                    call += 1;
                    lines.offer(call, 9000, 0);
                    let mut answer = lines.next();
                    // The set-up may have crossed the close of its connection, once.
                    if answer.is_none() {
                        closed += 1;
                        lines = connect();
                        lines.offer(call, 9000, 0);
                        answer = lines.next();
                    }
                    let answer = answer.expect("a final answer");
                    assert_eq!(
                        (&answer["op"], &answer["call"]),
                        (&json!("accept"), &json!(common::hex(call)))
                    );
                }
                closed
            })
        })
        .collect();
    for _ in 0..3 {
        let (next, _) = site.start();
        upgraded(&mut agent);
        assert!(agent.ended().success());
        agent = next;
    }
    over.store(true, Ordering::Relaxed);
    let closed: usize = callers.into_iter().map(|caller| caller.join().expect("no call was lost")).sum();
    assert!(closed <= 3 * 4, "a connection ends once an upgrade: {closed}");
}

#[test]
fn a_start_that_fails_leaves_the_old_process_at_work() {
    let site = Site::new();
    let (old, ops) = site.start();
    let mut link = site.server.accept();
    let mut second = Setting::new(&[site.server.address]);
    second.ops = Some(ops.to_string());
    let config = second.file(&site.socket.local_addr().expect("bound").to_string());
    let start = |number: &str, listens: &dyn Fn() -> Stdio| {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec 4<&0; exec \"$@\"", "sh", env!("CARGO_BIN_EXE_steprelay"), "serve"]);
        command.arg("--config").arg(&config).env("LB_SOCKET_FD", number).env_remove("LB_OPS");
        let output = command.stdin(listens()).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let own = || Stdio::from(std::os::fd::OwnedFd::from(site.socket.try_clone().expect("clonable")));
    let (code, said) = start("4", &own);
    assert_eq!(
        (code, said.contains("in use")),
        (Some(1), true),
        "the second address is the old one's: {said}"
    );
    let none = || Stdio::null();
    let wrong = "steprelay: configuration: LB_SOCKET_FD: descriptor 4 is no listening TCP socket\n";
    assert_eq!(start("4", &none), (Some(1), wrong.to_string()));
    assert_eq!(start("four", &none).0, Some(1));
    let mut caller = site.caller();
    caller.offer(1, 9000, 0);
    link.expect("offer", 1);
    assert_eq!(ask(ops, b"status\n"), "+OK serving\n");
    drop(old);
}

#[test]
fn an_old_process_that_is_killed_takes_nobody_else_along() {
    let site = Site::new();
    let (mut old, old_ops) = site.start();
    let mut at_old = site.server.accept();
    let mut caller = site.caller();
    caller.offer(1, 9000, 0);
    at_old.expect("offer", 1);
    assert_eq!(ask(old_ops, b"standby\n"), "+OK\n");
    let (new, ops) = site.start();
    let mut at_new = site.server.accept();
    upgraded(&mut old);
    new.signal("HUP");
    old.signal("HUP");
    old.logged("configuration read again");
    old.signal("KILL");
    assert!(!old.ended().success());
    assert_eq!(caller.next(), None, "its set-up went with the process");
    let mut again = site.caller();
    again.offer(2, 9000, 0);
    at_new.expect("offer", 2);
    at_new.say(accept(2));
    again.expect("accept", 2);
    assert_eq!(ask(ops, b"status\n"), "+OK serving\n", "standby was said to the other");
}

#[test]
fn a_drain_during_an_upgrade_is_kept_by_both() {
    let (mut site, draining, board) =
        (Site::new(), Server::new(), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let other = site.server.address;
    site.setting.servers = vec![(1, draining.address), (2, other)];
    site.setting.board = Some(board.local_addr().expect("bound"));
    let told = || {
        let (mut stream, _) = board.accept().expect("a connection");
        assert_eq!(bytes(&mut stream, 8), 1u64.to_be_bytes());
        stream
    };
    let (mut old, old_ops) = site.start();
    let (mut at_old, mut board_of_old) = (site.server.accept(), told());
    let mut before = site.caller();
    before.settle();
    let (_new, new_ops) = site.start();
    let (mut at_new, mut board_of_new) = (site.server.accept(), told());
    let event = frame(2, 2, &[record(1, draining.address, 1)]);
    for (board, ops) in [(&mut board_of_old, old_ops), (&mut board_of_new, new_ops)] {
        board.write_all(&event).expect("read");
        while figure(ops, "targets_disabled") == 0 {}
    }
    before.offer(1, 9000, 0);
    at_old.expect("offer", 1);
    upgraded(&mut old);
    let mut after = site.caller();
    after.offer(2, 9000, 0);
    at_new.expect("offer", 2);
    at_old.say(accept(1));
    before.expect("accept", 1);
}
