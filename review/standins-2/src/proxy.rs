//! A proxy before one address, which resets connections when it is told to.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::Duration;

use crate::record::Record;
use crate::wire;

/// How soon the ends of a connection are reset after the word.
const TURN: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Proxy {
    pub address: String,
    record: Record,
    open: Arc<Mutex<Vec<Arc<Passage>>>>,
}

/// A connection and the one that it is passed on by. Their sockets close with the last reference.
struct Passage {
    near: TcpStream,
    far: TcpStream,
    is_reset: AtomicBool,
}

impl Proxy {
    pub fn start(host: &str, before: &str, record: &Record) -> Proxy {
        let listener = wire::listen(&format!("{host}:0"));
        let address = listener.local_addr().expect("bound").to_string();
        let proxy = Proxy { address, record: record.clone(), open: Arc::default() };
        let (takes, before) = (proxy.clone(), before.to_string());
        spawn(move || {
            for near in listener.incoming().flatten() {
                let Some(far) = wire::dial(&before) else { continue };
                for stream in [&near, &far] {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(TURN));
                }
                let passage = Arc::new(Passage { near, far, is_reset: AtomicBool::new(false) });
                takes.open.lock().expect("not poisoned").push(passage.clone());
                let back = passage.clone();
                spawn(move || pass(&passage, &passage.near, &passage.far));
                spawn(move || pass(&back, &back.far, &back.near));
            }
        });
        proxy
    }

    /// Resets all connections that are open now, on both sides.
    pub fn reset_all(&self) {
        self.record.note("proxy", "resets the connections that are open");
        for passage in self.open.lock().expect("not poisoned").drain(..) {
            wire::reset_on_close(&passage.near);
            wire::reset_on_close(&passage.far);
            passage.is_reset.store(true, Ordering::SeqCst);
        }
    }
}

fn pass(passage: &Passage, mut from: &TcpStream, mut to: &TcpStream) {
    let mut bytes = [0; 16384];
    while !passage.is_reset.load(Ordering::SeqCst) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(read) if to.write_all(&bytes[..read]).is_err() => break,
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    if !passage.is_reset.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
