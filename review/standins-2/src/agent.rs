//! The call agent: the deploy file's `run`, by `/bin/sh -c` from the root of the repository.

use std::fs::{self, File};
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire;

pub struct Agent {
    child: Child,
    /// A file that names its process while that runs.
    pid: PathBuf,
    record: Record,
}

/// What a configuration differs by.
pub struct Config {
    pub listen: String,
    pub board: Option<String>,
    /// Id, address, pool.
    pub servers: Vec<(u32, String, u16)>,
    pub seed: u64,
    pub memory_mb: u64,
}

impl Config {
    fn text(&self) -> String {
        let targets: Vec<String> = self
            .servers
            .iter()
            .map(|(id, address, pool)| {
                format!(
                    r#"{{"uid":"s-{id:08x}","endpoint":"{address}","pod_group":{pool},"state":"up",
  "boot_ms":0}}"#
                )
            })
            .collect();
        let board = self.board.as_ref().map_or(String::new(), |board| format!(r#""board":"{board}","#));
        let pools: Vec<String> = self.servers.iter().map(|(_, _, pool)| pool.to_string()).collect();
        let pools = pools.join(",");
        // The settings as the pages have them for semak-kl-penang, figures within its site file's ranges.
        format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"{seed:016x}",{board}
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
 "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{targets}]}}}}]}},
 "settings":{{"groupSize":1,"me":0,"family":"trunks","discovery":"automatic",
  "services":[
   {{"name":"standard-check","sloMs":1500,"hardLimitMs":9000,"importance":1.0,"lateShare":0.25,
    "idempotency":"idempotent","stream":true}},
   {{"name":"signing-check","sloMs":800,"hardLimitMs":6000,"importance":8.0,"lateShare":0.1,
    "idempotency":"idempotent","stream":true}}],
  "parties":[{{"name":"lembah-realty","fraction":1.0,"quotaRps":1000}}],"overShareWorth":0.2,
  "policyLimits":{{"cancel":true,"mayProbe":true,"peers":false,"retryAfter":true,"maxRetryAfterMs":2000,
   "tryLimit":5,"dialTimeoutMs":500,"connIdleMs":600000,"maxOpen":20000,"secondCopies":false}},
  "report":{{"how":"answers","fields":["x0","x1","qps"]}},
  "rules":{{"stopSendingWithinMs":500,"startCapacity":0.3,"rampTimeMs":14000,"fallMultiple":2.5,"fallMs":1500,
   "answerSlackMs":20}},
  "specifics":{{"layout":"groups","homeNo":-1,"clearWaitMs":200,"t1Ms":400,"widths":[1,1],
   "meanHoldMs":[9800,5900],"allowedPools":[[{pools}],[{pools}]],"remoteLoad":"answers"}},
  "clientHabits":{{"marksRetry":false}}}}}}"#,
            listen = self.listen,
            seed = self.seed,
            memory_mb = self.memory_mb,
            targets = targets.join(",")
        )
    }
}

/// What the processes of an upgrade get: the callers' listening socket, and each a second address.
pub struct Upgrade<'a> {
    pub socket: &'a TcpListener,
    pub ops: String,
}

/// The descriptor under which a process inherits the socket.
const INHERITED: i32 = 4;

/// The value of a key of the deploy file.
fn deployed(root: &Path, key: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("the key");
    line.split('"').nth(1).expect("a quoted value").to_string()
}

impl Agent {
    fn spawn(
        config: &Config,
        folder: &Path,
        name: &str,
        record: &Record,
        upgrade: Option<&Upgrade>,
    ) -> Option<Agent> {
        let root = PathBuf::from(std::env::var_os("ROOT").expect("run.sh names the root"));
        let file = folder.join("config.json");
        fs::write(&file, config.text()).expect("a temporary file");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a temporary file");
        let run = deployed(&root, "run");
        record.note("platform", &format!("starts {name}: {run}"));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", &config.listen)
            .env("LB_CONFIG", &file)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log);
        if let Some(Upgrade { socket, ops }) = upgrade {
            let socket = socket.as_raw_fd();
            command.env("LB_SOCKET_FD", INHERITED.to_string()).env("LB_OPS", ops);
            // SAFETY: the two calls that follow the fork are safe there, and the descriptor is open.
            unsafe { command.pre_exec(move || wire::inherit(socket, INHERITED)) };
        }
        let child = command.spawn().ok()?;
        // For run.sh, should this process be ended before the call agent.
        let pid = folder.join(format!("pid-{}", child.id()));
        fs::write(&pid, "").expect("a temporary file");
        Some(Agent { child, pid, record: record.clone() })
    }

    /// Starts the call agent, and waits until it takes connections.
    pub fn start(config: &Config, folder: &Path, name: &str, record: &Record) -> Option<Agent> {
        let mut agent = Self::spawn(config, folder, name, record, None)?;
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until && agent.runs() {
            if let Some(stream) = wire::dial(&config.listen) {
                // The front's test.
                wire::send(&stream, r#"{"op":"test","call":"00000000000000aa","with":{},"why":0}"#);
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let mut passed = false;
                wire::lines(&stream, |line| {
                    passed = wire::op(line) == "tested" && wire::field(line, "why").as_deref() == Some("1");
                    wire::close(&stream);
                });
                if passed {
                    record.note("platform", &format!("{name} has passed a test"));
                    return Some(agent);
                }
            }
            sleep(Duration::from_millis(20));
        }
        None
    }

    /// Starts the call agent with the callers' socket of the platform, and waits until it says yes.
    pub fn start_with(
        config: &Config,
        folder: &Path,
        name: &str,
        record: &Record,
        with: &Upgrade,
    ) -> Option<Agent> {
        let mut agent = Self::spawn(config, folder, name, record, Some(with))?;
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until && agent.runs() {
            if let Some(stream) = wire::dial(&with.ops) {
                wire::send(&stream, "status");
                let mut yes = false;
                wire::lines(&stream, |line| yes |= line.starts_with("+OK"));
                if yes {
                    record.note("platform", &format!("{name} says yes"));
                    return Some(agent);
                }
            }
            sleep(Duration::from_millis(20));
        }
        None
    }

    pub fn signal(&self, signal: &str) {
        self.record.note("platform", &format!("SIG{signal} to the call agent"));
        let _ = Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
    }

    /// Waits for its end; ends it by SIGKILL at that time.
    pub fn ends_within(&mut self, millis: u64) -> Option<ExitStatus> {
        let until = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                let _ = fs::remove_file(&self.pid);
                self.record.note("platform", &format!("the call agent has ended: {status}"));
                return Some(status);
            }
            sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        self.record.note("platform", "SIGKILL to the call agent");
        let status = self.child.wait().ok();
        let _ = fs::remove_file(&self.pid);
        status
    }

    /// The memory that it has in use, in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pid);
    }
}
