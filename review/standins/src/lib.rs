//! Stand-ins for the peers of a call agent, the call agent's process, and the record of a run.

pub mod agent;
pub mod caller;
pub mod json;
pub mod server;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }
}

/// What a run is told: the folder of its case, the root of the project, and whether there is a disruption.
pub struct Run {
    pub root: PathBuf,
    pub scratch: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Run {
    /// Reads the arguments FOLDER, ROOT and SCRATCH, and the variable TROUBLE.
    pub fn from_environment() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let mut next =
            || arguments.next().unwrap_or_else(|| could_not_run("usage: CASE FOLDER ROOT SCRATCH"));
        let (folder, root, scratch) = (next(), next(), next());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&folder.join("record.txt"));
        record.note(if trouble { "run with the disruption" } else { "run without the disruption" });
        Run { root, scratch, trouble, record }
    }

    /// Ends the run with its verdict: 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: &[String]) -> ! {
        for line in broken {
            self.record.note(&format!("BROKEN: {line}"));
            println!("broken: {line}");
        }
        if broken.is_empty() {
            self.record.note("the rule held");
            println!("the rule held");
        }
        agent::end_all();
        std::process::exit(i32::from(!broken.is_empty()))
    }
}

/// Ends a run that could not take place.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    agent::end_all();
    std::process::exit(2)
}

pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}
