//! M3UA over TCP with ISUP call messages, as stand-ins of clients and servers speak it (RFC 4666, Q.763).

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use crate::Record;

pub const OURS: u32 = 1001;
pub const CLIENT: (u32, u32) = (2001, 1);
pub const SERVER: (u32, u32) = (3001, 7);

pub const NTFY: (u8, u8) = (0, 1);
pub const DATA: (u8, u8) = (1, 1);
pub const DAVA: (u8, u8) = (2, 2);
pub const DAUD: (u8, u8) = (2, 3);
pub const DRST: (u8, u8) = (2, 6);
pub const ASPUP: (u8, u8) = (3, 1);
pub const BEAT: (u8, u8) = (3, 3);
pub const ASPUP_ACK: (u8, u8) = (3, 4);
pub const BEAT_ACK: (u8, u8) = (3, 6);
pub const ASPAC: (u8, u8) = (4, 1);
pub const ASPAC_ACK: (u8, u8) = (4, 3);

pub const IAM: u8 = 0x01;
pub const ACM: u8 = 0x06;
pub const ANM: u8 = 0x09;
pub const REL: u8 = 0x0c;
pub const RLC: u8 = 0x10;

/// A message as it came: its kind and its parameters by tag.
#[derive(Clone, Debug)]
pub struct Heard {
    pub kind: (u8, u8),
    pub parameters: BTreeMap<u16, Vec<u8>>,
}

impl Heard {
    /// The call message in it: circuit, type, and what follows.
    pub fn call(&self) -> Option<(u16, u8, &[u8])> {
        let user = self.parameters.get(&0x210).filter(|_| self.kind == DATA)?.get(12..)?;
        Some((u16::from_le_bytes([*user.first()?, *user.get(1)?]), *user.get(2)?, user.get(3..)?))
    }
}

/// One association.
pub struct Peer {
    stream: TcpStream,
    label: (u32, u32),
    heard: mpsc::Receiver<Heard>,
    ended: Arc<AtomicBool>,
}

impl Peer {
    /// `answers`: what is answered at once, by a thread that reads the association.
    pub fn new(
        stream: TcpStream,
        label: (u32, u32),
        name: &str,
        record: &Record,
        answers: impl Fn(&Heard) -> Option<((u8, u8), Vec<(u16, Vec<u8>)>)> + Send + 'static,
    ) -> Self {
        let _ = stream.set_nodelay(true);
        let (sender, heard) = mpsc::channel();
        let mut reading = stream.try_clone().expect("clonable");
        let mut writing = stream.try_clone().expect("clonable");
        let (name, record) = (name.to_string(), record.clone());
        let ended = Arc::<AtomicBool>::default();
        let over = ended.clone();
        std::thread::spawn(move || {
            while let Some(message) = read(&mut reading) {
                match message.call() {
                    Some((circuit, kind, _)) => {
                        record.note(&format!("{name} reads call message {kind:#04x} on circuit {circuit}"))
                    }
                    None => record.note(&format!("{name} reads {:?}", message.kind)),
                }
                if let Some((kind, parameters)) = answers(&message) {
                    let _ = write(&mut writing, kind, &parameters);
                }
                if sender.send(message).is_err() {
                    return;
                }
            }
            record.note(&format!("{name}: the association has ended"));
            over.store(true, Ordering::SeqCst);
        });
        Peer { stream, label, heard, ended }
    }

    pub fn say(&mut self, kind: (u8, u8), parameters: &[(u16, Vec<u8>)]) {
        let _ = write(&mut self.stream, kind, parameters);
    }

    /// Sends a call message.
    pub fn data(&mut self, user: &[u8]) {
        let mut value = self.label.0.to_be_bytes().to_vec();
        value.extend(OURS.to_be_bytes());
        value.extend([5, 2, 0, 0]);
        value.extend(user);
        self.say(DATA, &[(6, self.label.1.to_be_bytes().to_vec()), (0x210, value)]);
    }

    pub fn hear(&mut self, within: Duration) -> Option<Heard> {
        self.heard.recv_timeout(within).ok()
    }

    /// Whether the association was ended by the other side.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn end(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn write(stream: &mut TcpStream, kind: (u8, u8), parameters: &[(u16, Vec<u8>)]) -> io::Result<()> {
    let mut body = Vec::new();
    for (tag, value) in parameters {
        body.extend(tag.to_be_bytes());
        body.extend((value.len() as u16 + 4).to_be_bytes());
        body.extend(value);
        body.resize(body.len().next_multiple_of(4), 0);
    }
    let mut bytes = vec![1, 0, kind.0, kind.1];
    bytes.extend((body.len() as u32 + 8).to_be_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

fn read(stream: &mut TcpStream) -> Option<Heard> {
    let mut head = [0; 8];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let mut body = vec![0; length.checked_sub(8)?];
    stream.read_exact(&mut body).ok()?;
    let (mut parameters, mut at) = (BTreeMap::new(), 0);
    while at + 4 <= body.len() {
        let tag = u16::from_be_bytes([body[at], body[at + 1]]);
        let length = usize::from(u16::from_be_bytes([body[at + 2], body[at + 3]]));
        parameters.insert(tag, body.get(at + 4..at + length)?.to_vec());
        at += length.next_multiple_of(4);
    }
    Some(Heard { kind: (head[2], head[3]), parameters })
}

/// A set-up to 603 and two more digits, of this category.
pub fn iam(circuit: u16, category: u8, description: &str) -> Vec<u8> {
    let mut user = circuit.to_le_bytes().to_vec();
    user.extend([IAM, 0, 0x20, 1, category, 0, 2, 7, 5, 0x84, 0x10, 0x06, 0x13, 0x02]);
    user.extend(optional(description));
    user
}

/// User-to-user information, in as many parameters as it takes.
fn optional(text: &str) -> Vec<u8> {
    let parts = text.as_bytes().chunks(128);
    let mut bytes: Vec<u8> =
        parts.flat_map(|part| [&[0x20, part.len() as u8 + 1, 4], part].concat()).collect();
    bytes.push(0);
    bytes
}

pub fn anm(circuit: u16, description: &str) -> Vec<u8> {
    [&circuit.to_le_bytes()[..], &[ANM, 1], &optional(description)].concat()
}

pub fn rel(circuit: u16, cause: u8) -> Vec<u8> {
    [&circuit.to_le_bytes()[..], &[REL, 2, 0, 2, 0x80, 0x80 | cause]].concat()
}

pub fn rlc(circuit: u16) -> Vec<u8> {
    [&circuit.to_le_bytes()[..], &[RLC, 0]].concat()
}

/// Answers to what needs one at once, by clients and servers: heartbeats, and on a server's side the ASP's
/// requests.
pub fn attends(heard: &Heard) -> Option<((u8, u8), Vec<(u16, Vec<u8>)>)> {
    match heard.kind {
        ASPUP => Some((ASPUP_ACK, Vec::new())),
        ASPAC => Some((ASPAC_ACK, Vec::new())),
        BEAT => {
            Some((BEAT_ACK, heard.parameters.get(&9).map(|data| (9, data.clone())).into_iter().collect()))
        }
        _ => None,
    }
}
