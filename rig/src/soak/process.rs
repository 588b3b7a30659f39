//! The process of a run: its configuration, its signals and its end.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::plan::{millis, Plan, Signal};
use super::record::{Record, What};
use super::Soak;

/// The program serves within this, also beside busy processes.
const SERVES_WITHIN: Duration = Duration::from_secs(20);
/// Its end is looked for so often.
const LOOK: Duration = Duration::from_millis(2);

/// Where the program takes clients.
#[derive(Clone, Copy, Debug)]
pub struct Doors {
    pub clients: SocketAddr,
    pub m3ua: SocketAddr,
}

pub struct Process {
    child: Child,
    lines: mpsc::UnboundedReceiver<String>,
    config: PathBuf,
    record: Record,
    /// The configuration, with `BOARD` in the place of an address.
    template: String,
}

fn configuration(plan: &Plan, servers: &[SocketAddr]) -> String {
    let class = |name: &str, importance: f64| {
        json!({"name": name, "sloMs": plan.deadline, "hardLimitMs": plan.deadline, "importance": importance,
            "idempotency": "idempotent"})
    };
    let targets: Vec<_> = (1..)
        .zip(servers)
        .map(|(id, address): (u32, _)| {
            json!({"uid": format!("s-{id:08x}"), "endpoint": address, "pod_group": id - 1, "state": "up",
                "boot_ms": 0})
        })
        .collect();
    let pools: Vec<usize> = (0..servers.len()).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": format!("{:016x}", plan.seed), "board": "BOARD",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": true, "targets": targets}}]},
        "settings": {
            "groupSize": 1,
            "services": [class("standard-check", 1.0), class("signing-check", 8.0)],
            "parties": [{"name": "lembah-realty", "quotaRps": 10_000}],
            "policyLimits": {"cancel": true, "mayProbe": true, "dialTimeoutMs": 500, "tryLimit": 5,
                "retryAfter": true, "maxRetryAfterMs": 2000, "maxOpen": 20000},
            "specifics": {"clearWaitMs": 200, "widths": [1, 1], "allowedPools": [pools, pools]},
            "rules": {"stopSendingWithinMs": 500},
        },
    })
    .to_string()
}

const M3UA: &str = "listen = '127.0.0.1:0'\npoint_code = 1001\n\
    [[class]]\ncategory = 10\nclass = 'standard-check'\nwait_ms = WAIT\n\
    [[route]]\nprefix = '603'\nnumber = 0\n\
    [[client]]\nname = 'branch-a'\npoint_code = 2001\nrouting_context = 1\ntenant = 'lembah-realty'\n";

impl Process {
    /// # Errors
    /// It can't be started, or its files can't be written.
    pub fn start(
        soak: &Soak,
        plan: &Plan,
        servers: &[SocketAddr],
        discovery: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Self> {
        let config = soak.directory.join("config.json");
        let m3ua = soak.directory.join("m3ua.toml");
        let template = configuration(plan, servers);
        std::fs::write(&config, template.replace("BOARD", &discovery.to_string()))?;
        std::fs::write(&m3ua, M3UA.replace("WAIT", &plan.deadline.to_string()))?;
        let mut child = Command::new(&soak.program)
            .args(["serve", "--config"])
            .arg(&config)
            .arg("--m3ua")
            .arg(&m3ua)
            .env_remove("LB_OPS")
            .env_remove("LB_SOCKET_FD")
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| std::io::Error::other("no standard error"))?;
        let (sender, lines) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.for_each(|line| drop(sender.send(line)));
        });
        Ok(Process { child, lines, config, record: record.clone(), template })
    }

    /// Waits until it serves.
    ///
    /// # Errors
    /// It does not.
    pub async fn doors(&mut self) -> std::io::Result<Doors> {
        let doors = async {
            let (mut clients, mut m3ua) = (None, None);
            while let Some(line) = self.lines.recv().await {
                let after = |what: &str| line.split_once(what).and_then(|(_, rest)| rest.parse().ok());
                clients = clients.or(after("serving on "));
                m3ua = m3ua.or(after("serving M3UA on "));
                if let (Some(clients), Some(m3ua)) = (clients, m3ua) {
                    return Some(Doors { clients, m3ua });
                }
            }
            None
        };
        let served = timeout(SERVES_WITHIN, doors).await.ok().flatten();
        served.ok_or_else(|| std::io::Error::other("the program does not serve"))
    }

    /// Sends the signals of the plan, and kills the process at the earliest moment after the first SIGTERM
    /// unless it has ended by itself.
    ///
    /// # Errors
    /// A signal can't be sent, or a file can't be written.
    pub async fn signals(mut self, plan: &Plan, moved: &str) -> std::io::Result<()> {
        let began = Instant::now();
        let mut signals = plan.signals.iter().copied().peekable();
        let mut terminated = None;
        loop {
            while let Ok(line) = self.lines.try_recv() {
                self.record.note(What::Logged { line });
            }
            if let Some(status) = self.child.try_wait()? {
                self.record.note(What::Exited { code: status.code().unwrap_or(-1) });
                break;
            }
            if terminated.is_some_and(|at: Instant| at.elapsed() >= millis(plan.kill_after())) {
                self.child.kill()?;
                self.record.note(What::Killed);
                self.child.wait()?;
                break;
            }
            if let Some((_, signal)) = signals.next_if(|(at, _)| began.elapsed() >= millis(*at)) {
                if signal == Signal::HangupMoved {
                    std::fs::write(&self.config, self.template.replace("BOARD", moved))?;
                }
                let name = if signal == Signal::Terminate { "-TERM" } else { "-HUP" };
                let is_first = signal == Signal::Terminate && terminated.is_none();
                if is_first {
                    terminated = Some(Instant::now());
                }
                let id = self.child.id().to_string();
                Command::new("kill").args([name, &id]).stderr(Stdio::null()).status()?;
                // It came somewhere in between: the kill is counted from its earliest moment, calls from the
                // latest.
                if is_first {
                    self.record.note(What::Terminated);
                }
            }
            sleep(LOOK).await;
        }
        while let Some(line) = self.lines.recv().await {
            self.record.note(What::Logged { line });
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
