//! The processes of a run, one after the other at one address: configuration, signals, ends.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::client::Door;
use super::discovery::{Discovery, Entry, State};
use super::plan::{Instance, Plan, Signal};
use super::record::{Record, What};
use crate::child::Child;
use crate::soak::plan::millis;

/// The program serves within this, also beside busy processes.
const SERVES_WITHIN: Duration = Duration::from_secs(20);
/// Its end is looked for so often.
const LOOK: Duration = Duration::from_millis(2);
/// New connections come until so long after SIGTERM.
const LAST_CONNECTION: u64 = 400;

pub struct Processes {
    pub program: PathBuf,
    pub directory: PathBuf,
    pub discovery: Rc<Discovery>,
    pub door: Door,
    pub record: Record,
}

impl Processes {
    fn configuration(&self, plan: &Plan, listen: &str, discovery: SocketAddr) -> String {
        let class = |name: &str, importance: f64| {
            json!({"name": name, "sloMs": plan.deadline, "hardLimitMs": plan.deadline,
                "importance": importance, "idempotency": "idempotent"})
        };
        let (last, entries) = self.discovery.known();
        let target = |entry: &Entry| {
            let state = match entry.state {
                State::Ready => "up",
                State::Draining => "draining",
                State::Gone => "removed",
            };
            json!({"uid": format!("s-{:08x}", entry.id), "endpoint": entry.address,
                "pod_group": entry.place, "state": state, "boot_ms": 0})
        };
        let targets: Vec<_> = entries.iter().map(target).collect();
        let list = json!({"rev": last, "pool": {"rev": last, "all": true, "targets": targets}});
        let pools: Vec<usize> = (0..plan.servers.len()).collect();
        json!({
            "name": "n0", "listen": listen, "seed": format!("{:016x}", plan.seed), "board": discovery,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "known": {"rev": last, "notices": [list]},
            "settings": {
                "groupSize": 1,
                "services": [class("standard-check", 1.0), class("signing-check", 8.0)],
                "parties": [{"name": "lembah-realty", "quotaRps": 10_000}],
                "policyLimits": {"cancel": true, "mayProbe": true, "dialTimeoutMs": 500, "tryLimit": 5,
                    "retryAfter": true, "maxRetryAfterMs": 2_000, "maxOpen": 20_000},
                "specifics": {"clearWaitMs": 200, "widths": [1, 1], "allowedPools": [pools, pools]},
                "rules": {"stopSendingWithinMs": 500},
            },
        })
        .to_string()
    }

    /// Runs all instances of a plan.
    ///
    /// # Errors
    /// One can't be started, or its files can't be written.
    pub async fn run(&self, plan: &Plan) -> std::io::Result<()> {
        std::fs::create_dir_all(&self.directory)?;
        let mut listen = "127.0.0.1:0".to_string();
        for instance in &plan.instances {
            let address = self.run_one(plan, instance, &listen).await?;
            listen = address.to_string();
        }
        Ok(())
    }

    async fn run_one(&self, plan: &Plan, instance: &Instance, listen: &str) -> std::io::Result<SocketAddr> {
        let config = self.directory.join("config.json");
        let mut place = 0;
        let write = |place: usize| {
            std::fs::write(&config, self.configuration(plan, listen, self.discovery.addresses[place]))
        };
        write(place)?;
        let mut child = Child::spawn(Command::new(&self.program).args(["serve", "--config"]).arg(&config))?;
        let address = child.logged("serving on ", SERVES_WITHIN).await?;
        let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let began = Instant::now();
        self.record.note(What::Started);
        self.door.set(Some(address));
        let mut signals = instance.signals.iter().copied().peekable();
        let mut terminated: Option<Instant> = None;
        loop {
            child.lines().into_iter().for_each(|line| self.record.note(What::Logged { line }));
            if let Some(code) = child.exit_code()? {
                self.record.note(What::Exited { code });
                break;
            }
            if terminated.is_some_and(|at| at.elapsed() >= millis(plan.kill_after())) {
                child.kill()?;
                self.record.note(What::Killed);
                break;
            }
            if let Some((_, signal)) = signals.next_if(|(at, _)| began.elapsed() >= millis(*at)) {
                if signal == Signal::HangupMoved {
                    place = 1 - place;
                    write(place)?;
                    self.discovery.moved();
                }
                let is_first = signal == Signal::Terminate && terminated.is_none();
                if is_first {
                    terminated = Some(Instant::now());
                    self.close_door_later();
                }
                child.signal(if signal == Signal::Terminate { "-TERM" } else { "-HUP" })?;
                if is_first {
                    self.record.note(What::Terminated);
                }
            }
            sleep(LOOK).await;
        }
        self.door.set(None);
        for line in child.last_lines().await {
            self.record.note(What::Logged { line });
        }
        Ok(address)
    }

    /// New connections come for a while after SIGTERM.
    fn close_door_later(&self) {
        let (door, open) = (self.door.clone(), self.door.get());
        spawn_local(async move {
            sleep(millis(LAST_CONNECTION)).await;
            if door.get() == open {
                door.set(None);
            }
        });
    }
}
