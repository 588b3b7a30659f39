//! What happened, as a list of events with times.

use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// A caller wants a call, by way of a machine.
    Offered {
        call: u64,
        machine: String,
    },
    /// The call stands.
    Answered {
        call: u64,
    },
    /// The call is over, or never stood; by way of which machine.
    Ended {
        call: u64,
        why: u64,
        machine: String,
    },
    /// It comes again, by way of a machine: its set-up crossed the close of its connection.
    OfferedAgain {
        call: u64,
        machine: String,
    },
    /// The connection on which it was offered has ended. Its set-up was written at `written` at the latest,
    /// and at `not_before` the connection was open, with nothing left to be read.
    Closed {
        call: u64,
        written: u64,
        not_before: u64,
    },
    /// A check server (by its number, from 1) was asked.
    Asked {
        call: u64,
        server: u32,
    },
    /// It said that the call is over.
    Released {
        call: u64,
    },
    /// It was told that the call is over.
    Cut {
        call: u64,
    },
    /// How a machine answers operators: `serving`, `standby`, `starting`, `stopping`, or `silent`.
    Seen {
        machine: String,
        state: String,
    },
    Started {
        machine: String,
    },
    /// Its process was killed.
    Killed {
        machine: String,
    },
    /// Its process was told to stop in order.
    Terminated {
        machine: String,
    },
    /// Its process, which was told to stop, has ended by itself, with this exit code.
    Stopped {
        machine: String,
        code: i32,
    },
    Stalled {
        machine: String,
    },
    Continued {
        machine: String,
    },
    /// A line of a machine's log.
    Logged {
        machine: String,
        line: String,
    },
    /// A phase of the plan of faults begins.
    Phase {
        name: String,
    },
    /// Staff say something by the command line; with its exit code.
    Staff {
        words: String,
        code: i32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds since the start.
    pub at: u64,
    #[serde(flatten)]
    pub what: What,
}

/// Takes events from any thread.
#[derive(Clone)]
pub struct History {
    started: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for History {
    fn default() -> Self {
        History { started: Instant::now(), events: Arc::default() }
    }
}

impl History {
    pub fn note(&self, what: What) {
        if let Ok(mut events) = self.events.lock() {
            let at = self.now();
            events.push(Event { at, what });
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().map(|events| events.clone()).unwrap_or_default()
    }

    /// Writes it, a line of JSON an event.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = BufWriter::new(std::fs::File::create(path)?);
        for event in self.events() {
            serde_json::to_writer(&mut file, &event)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
