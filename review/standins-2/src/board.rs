//! The notice board. An event is told to whoever asks, some time after the question where the board is slow.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire;

#[derive(Clone)]
pub struct Board {
    pub address: String,
    record: Record,
    /// How long a question waits for its first frame, in milliseconds.
    slow: Arc<AtomicU64>,
    events: Arc<Mutex<Vec<Vec<u8>>>>,
}

/// A record of a server as the page has it: state 0 ready, 1 draining, 2 gone.
pub fn server(id: u32, address: &str, state: u8, cell: u16) -> Vec<u8> {
    let (host, port) = address.rsplit_once(':').expect("host and port");
    let mut record = id.to_be_bytes().to_vec();
    record.extend(host.split('.').map(|part| part.parse::<u8>().expect("an address")));
    record.extend(port.parse::<u16>().expect("a port").to_be_bytes());
    record.extend([state, 0, 0]);
    record.extend(cell.to_be_bytes());
    record.extend(1000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

impl Board {
    /// Its events are numbered on from the one event that the configuration holds.
    pub fn start(host: &str, record: &Record) -> Board {
        let listener = wire::listen(&format!("{host}:0"));
        let board = Board {
            address: listener.local_addr().expect("bound").to_string(),
            record: record.clone(),
            slow: Arc::default(),
            events: Arc::default(),
        };
        let takes = board.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = takes.clone();
                spawn(move || board.tell(stream));
            }
        });
        board
    }

    pub fn answers_after(&self, millis: u64) {
        self.slow.store(millis, Ordering::SeqCst);
    }

    /// Puts an event of changes on the board.
    pub fn put(&self, what: &str, servers: &[Vec<u8>]) {
        self.events.lock().expect("not poisoned").push(servers.concat());
        self.record.note("board", &format!("event: {what}"));
    }

    fn tell(&self, mut stream: TcpStream) {
        let mut last = [0; 8];
        if stream.read_exact(&mut last).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last);
        self.record.note("board", &format!("asked for what follows event {last}"));
        sleep(Duration::from_millis(self.slow.load(Ordering::SeqCst)));
        let mut beat = Instant::now() - Duration::from_secs(1);
        loop {
            let events = self.events.lock().expect("not poisoned").clone();
            for (index, event) in events.iter().enumerate() {
                let number = index as u64 + 2;
                if number > last {
                    if stream.write_all(&frame(number, 2, event)).is_err() {
                        self.record.note("board", "who asked has left before the answer");
                        return;
                    }
                    self.record.note("board", &format!("told event {number}"));
                    last = number;
                }
            }
            if beat.elapsed() >= Duration::from_secs(1) {
                beat = Instant::now();
                if stream.write_all(&frame(last, 0, &[])).is_err() {
                    self.record.note("board", "who asked has left");
                    return;
                }
            }
            sleep(Duration::from_millis(20));
        }
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = (9 + payload.len() as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}
