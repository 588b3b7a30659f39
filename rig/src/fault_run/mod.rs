//! Short runs of one process after the other under several faults at once, by seed: servers that vanish,
//! hang, are cut off or replaced; service discovery that is silent or down; configurations in quick
//! succession; clients that leave, come again at once or misbehave; answers that are spoilt, connections that
//! are reset or come up late.
//!
//! A [`plan`] follows from the seed. [`client`]s and [`server`]s write what they see into a [`record`], and
//! the [`checker`] judges it by the protocol's figures. It shares no code with the program.

pub mod checker;
pub mod client;
pub mod discovery;
pub mod plan;
pub mod process;
pub mod record;
pub mod server;

use std::path::PathBuf;
use std::rc::Rc;

use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::soak::plan::millis;
use checker::Findings;
use discovery::Discovery;
use plan::Plan;
use process::Processes;
use record::Record;
use server::Machine;

/// What was said last is read after the last process has ended.
const AFTER_END: u64 = 100;

/// One run.
#[derive(Clone, Debug)]
pub struct FaultRun {
    /// The program, and a directory that the run may fill.
    pub program: PathBuf,
    pub directory: PathBuf,
    pub seed: u64,
}

impl FaultRun {
    /// Plays the run of this seed and judges it.
    ///
    /// # Errors
    /// Something of the run itself could not be started.
    pub fn run(&self) -> std::io::Result<Findings> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let plan = Plan::from_seed(self.seed);
        let record = Record::default();
        runtime.block_on(LocalSet::new().run_until(self.play(&plan, &record)))?;
        Ok(checker::judge(&record.events(), &plan))
    }

    async fn play(&self, plan: &Plan, record: &Record) -> std::io::Result<()> {
        let discovery = Discovery::start(&plan.discovery, record).await?;
        for (place, server) in (0..).zip(&plan.servers) {
            let machine = Machine::start(place, server, plan.seed, record)?;
            machine.list(&discovery);
            spawn_local(machine.fail_by_plan(discovery.clone()));
        }
        let door = Rc::default();
        for client in plan.clients.iter().cloned() {
            spawn_local(client::keep_calling(client, Rc::clone(&door), record.clone()));
        }
        for (number, kind) in (0..).zip(&plan.bad_clients) {
            spawn_local(client::misbehave(*kind, number, Rc::clone(&door)));
        }
        let processes = Processes {
            program: self.program.clone(),
            directory: self.directory.clone(),
            discovery,
            door,
            record: record.clone(),
        };
        processes.run(plan).await?;
        sleep(millis(AFTER_END)).await;
        Ok(())
    }
}
