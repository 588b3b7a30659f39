//! What was sent, answered and run, with the milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    since: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record { since: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    pub fn note(&self, who: &str, what: &str) {
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{:>7} ms  {who:<10} {}", self.now(), what.trim_end());
    }
}
