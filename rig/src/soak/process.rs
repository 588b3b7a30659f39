//! The process of a run: its configuration, its signals and its end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::plan::{millis, Plan, Signal};
use super::record::{Record, What};
use super::Soak;
use crate::child::Child;

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
        let mut command = Command::new(&soak.program);
        command.args(["serve", "--config"]).arg(&config).arg("--m3ua").arg(&m3ua);
        Ok(Process { child: Child::spawn(&mut command)?, config, record: record.clone(), template })
    }

    /// Waits until it serves.
    ///
    /// # Errors
    /// It does not.
    pub async fn doors(&mut self) -> std::io::Result<Doors> {
        let clients = self.child.logged("serving on ", SERVES_WITHIN).await?;
        let m3ua = self.child.logged("serving M3UA on ", SERVES_WITHIN).await?;
        let address = |text: String| text.parse().map_err(std::io::Error::other);
        Ok(Doors { clients: address(clients)?, m3ua: address(m3ua)? })
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
            self.note_lines();
            if let Some(code) = self.child.exit_code()? {
                self.record.note(What::Exited { code });
                break;
            }
            if terminated.is_some_and(|at: Instant| at.elapsed() >= millis(plan.kill_after())) {
                self.child.kill()?;
                self.record.note(What::Killed);
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
                self.child.signal(name)?;
                // It came somewhere in between: the kill is counted from its earliest moment, calls from the
                // latest.
                if is_first {
                    self.record.note(What::Terminated);
                }
            }
            sleep(LOOK).await;
        }
        for line in self.child.last_lines().await {
            self.record.note(What::Logged { line });
        }
        Ok(())
    }

    fn note_lines(&mut self) {
        for line in self.child.lines() {
            self.record.note(What::Logged { line });
        }
    }
}
