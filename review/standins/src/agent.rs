//! The call agent as a process of its own, started by the command of the deploy file.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Mutex};
use std::time::{Duration, Instant};

use crate::{could_not_run, Record};

/// The command of `deploy/balancer.toml`.
const RUN: &str = "exec target/release/steprelay serve";

/// The call agents of this run that were not seen to end.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn started(change: impl FnOnce(&mut Vec<u32>)) {
    change(&mut STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
}

fn kill(signal: &str, process: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {process}")]).status();
}

/// Ends all call agents that this run has started.
pub fn end_all() {
    started(|processes| processes.drain(..).for_each(|process| kill("KILL", process)));
}

pub struct Agent {
    child: Child,
    record: Record,
    pub address: SocketAddr,
}

/// A port of this address that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no free port"));
    listener.local_addr().map_or(0, |address| address.port())
}

/// A small deployment, with these check servers by their ids and addresses.
pub fn config(name: &str, listen: u16, servers: &[(u32, SocketAddr)]) -> String {
    let targets: Vec<String> = servers
        .iter()
        .map(|(id, address)| {
            format!(
                r#"{{"uid":"s-{id:08x}","endpoint":"{address}","pod_group":{},"state":"up","boot_ms":0}}"#,
                id - 1
            )
        })
        .collect();
    let pools: Vec<String> = (0..servers.len().max(3)).map(|pool| pool.to_string()).collect();
    let (targets, pools) = (targets.join(","), pools.join(","));
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:{listen}","seed":"52c0ffee0badcafe",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{targets}]}}}}]}},
 "settings":{{"groupSize":1,
  "services":[{{"name":"plain","sloMs":1500,"hardLimitMs":9000,"importance":1.0,"lateShare":0.2,
                "idempotency":"idempotent","stream":true}},
              {{"name":"urgent","sloMs":800,"hardLimitMs":6000,"importance":8.0,"lateShare":0.2,
                "idempotency":"idempotent","stream":true}}],
  "parties":[{{"name":"branch","quotaRps":200}}],
  "policyLimits":{{"cancel":true,"mayProbe":true,"connIdleMs":600000,"dialTimeoutMs":500,"tryLimit":5,
                   "retryAfter":true,"maxRetryAfterMs":2000,"maxOpen":20000,"secondCopies":false}},
  "report":{{"how":"answers","fields":["spare","total","allowed"]}},
  "specifics":{{"layout":"groups","clearWaitMs":200,"widths":[1,1],"allowedPools":[[{pools}],[{pools}]],
                "meanHoldMs":[9000,5500],"t1Ms":400}},
  "rules":{{"stopSendingWithinMs":500,"answerSlackMs":20,"startCapacity":0.3,"rampTimeMs":14000,
            "fallMultiple":2.5,"fallMs":1500}}}}}}
"#
    )
}

impl Agent {
    /// Starts the call agent at the root of the project, with further arguments behind the deploy file's
    /// command, and waits until it serves.
    pub fn start(root: &Path, config: &Path, arguments: &str, record: &Record) -> Self {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{RUN}{arguments}")])
            .current_dir(root)
            .env("LB_CONFIG", config)
            .env_remove("LB_OPS")
            .env_remove("LB_SOCKET_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("the call agent does not start: {error}")));
        let process = child.id();
        started(|processes| processes.push(process));
        // For run-case.sh, which ends what a run that was cut short has left.
        let noted = config.with_file_name("started");
        let noted = std::fs::OpenOptions::new().create(true).append(true).open(noted);
        let _ = noted.and_then(|mut file| writeln!(file, "{process}"));
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (lines, heard) = mpsc::channel();
        let logged = record.clone();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                logged.note(&format!("agent log: {line}"));
                let _ = lines.send(line);
            }
        });
        let mut agent =
            Agent { child, record: record.clone(), address: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let until = Instant::now() + Duration::from_secs(10);
        while agent.address.port() == 0 {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(line) = heard.recv_timeout(left) else {
                drop(agent);
                could_not_run("the call agent is not ready within 10 s")
            };
            if let Some((_, address)) = line.split_once("serving on ") {
                agent.address = address.parse().unwrap_or(agent.address);
            }
        }
        agent.record.note(&format!("agent {} serves", agent.child.id()));
        agent
    }

    /// Kills the process outright.
    pub fn kill(self) {
        self.record.note(&format!("agent {} is killed", self.child.id()));
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let process = self.child.id();
        started(|processes| processes.retain(|of| *of != process));
    }
}

/// Writes a file of the run.
pub fn file(scratch: &Path, name: &str, text: &str) -> PathBuf {
    let path = scratch.join(name);
    std::fs::write(&path, text).unwrap_or_else(|error| could_not_run(&format!("{name}: {error}")));
    path
}
