//! A restart soak: one process of the program under load, told to stop while its clients go on, and killed at
//! the earliest moment that the protocol allows.
//!
//! A [`plan`] follows from a seed: clients, servers, service discovery, signals, a crowd. [`clients`] and
//! [`servers`] write what they see into a [`record`], and the [`checker`] judges it by the times at its
//! clients.

pub mod checker;
pub mod clients;
pub mod discovery;
pub mod m3ua_client;
pub mod plan;
pub mod process;
pub mod record;
pub mod servers;

use std::path::PathBuf;
use std::time::Duration;

use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use checker::Findings;
use plan::{millis, Plan};
use process::Process;
use record::Record;

/// Clients that were started, and servers, for as long as a run takes them.
const AFTER_KILL: Duration = Duration::from_millis(100);

/// One run.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The program, and a directory that the run may fill.
    pub program: PathBuf,
    pub directory: PathBuf,
    pub seed: u64,
    /// The deadline of every class, in milliseconds.
    pub deadline: u64,
}

impl Soak {
    /// Plays the run of this seed and judges it.
    ///
    /// # Errors
    /// Something of the run itself could not be started.
    pub fn run(&self) -> std::io::Result<Findings> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let plan = Plan::from_seed(self.seed, self.deadline);
        let record = Record::default();
        let local = LocalSet::new();
        runtime.block_on(local.run_until(self.play(&plan, &record)))?;
        Ok(checker::judge(&record.events(), &plan))
    }

    async fn play(&self, plan: &Plan, record: &Record) -> std::io::Result<()> {
        let discovery = [discovery::start(plan, record).await?, discovery::start(plan, record).await?];
        let mut addresses = Vec::new();
        for (number, kind) in (1..).zip(&plan.servers) {
            addresses.push(servers::start(number, *kind, plan.seed, record.clone()).await?);
        }
        std::fs::create_dir_all(&self.directory)?;
        let mut process = Process::start(self, plan, &addresses, discovery[0].address, record)?;
        let doors = process.doors().await?;
        for client in plan.clients.iter().cloned() {
            spawn_local(clients::keep_calling(client, doors.clients, record.clone()));
        }
        for client in plan.bad_clients.iter().cloned() {
            spawn_local(clients::misbehave(client, doors.clients));
        }
        if let Some(every) = plan.m3ua_every {
            spawn_local(m3ua_client::keep_calling(doors.m3ua, millis(every), plan.deadline, record.clone()));
        }
        let crowd = crowd(plan.clone(), doors.clients, record.clone());
        let drains = async {
            if let Some((at, place)) = plan.drain {
                sleep(millis(at)).await;
                discovery.iter().for_each(|board| board.drain(place as u32 + 1, addresses[place]));
            }
        };
        let moved = discovery[1].address.to_string();
        let signals = process.signals(plan, &moved);
        let (ended, (), ()) = tokio::join!(signals, crowd, drains);
        ended?;
        sleep(AFTER_KILL).await;
        Ok(())
    }
}

/// New connections in the time in which they may still come.
async fn crowd(plan: Plan, address: std::net::SocketAddr, record: Record) {
    sleep(millis(plan.stop_at)).await;
    let mut last = 0;
    for (at, client) in plan.crowd {
        sleep(millis(at - last)).await;
        last = at;
        spawn_local(clients::keep_calling(client, address, record.clone()));
    }
}
