//! A client of the M3UA front that makes one call after the other, from RFC 4666 and Q.763.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

use super::record::{Answer, Record, What};

const OURS: u32 = 2001;
const PROGRAM: u32 = 1001;
const CONTEXT: u32 = 1;
const DATA: [u8; 2] = [1, 1];
const ASP_UP: [u8; 2] = [3, 1];
const ASP_ACTIVE: [u8; 2] = [4, 1];
const IAM: u8 = 0x01;
const ANM: u8 = 0x09;
const REL: u8 = 0x0c;
const RLC: u8 = 0x10;
const CIRCUITS: u16 = 2_000;
/// Marks its calls among those of others.
const CALLS: u64 = 0x3a << 48;

fn message(kind: [u8; 2], parameters: &[(u16, &[u8])]) -> Vec<u8> {
    let mut body = Vec::new();
    for (tag, value) in parameters {
        body.extend(tag.to_be_bytes());
        body.extend((value.len() as u16 + 4).to_be_bytes());
        body.extend(*value);
        body.resize(body.len().next_multiple_of(4), 0);
    }
    let length = (body.len() as u32 + 8).to_be_bytes();
    [&[1, 0, kind[0], kind[1]][..], &length, &body].concat()
}

fn data(user: &[u8]) -> Vec<u8> {
    let mut value = [OURS.to_be_bytes(), PROGRAM.to_be_bytes(), [5, 2, 0, 0]].concat();
    value.extend(user);
    message(DATA, &[(6, &CONTEXT.to_be_bytes()), (0x210, &value)])
}

fn iam(circuit: u16) -> Vec<u8> {
    let mut user = circuit.to_le_bytes().to_vec();
    user.extend([IAM, 0, 0x20, 1, 10, 0, 2, 7, 5, 0x84, 0x10, 0x06, 0x13, 0x02]);
    user.extend([0x20, 4, 4, b'v', b'=', b'0', 0]);
    user
}

/// Makes a call on the next circuit so often, until the association ends.
pub async fn keep_calling(address: SocketAddr, every: Duration, left: u64, record: Record) {
    let Ok(stream) = TcpStream::connect(address).await else { return };
    let _ = stream.set_nodelay(true);
    let (reading, mut writing) = stream.into_split();
    let (events, mut received) = mpsc::unbounded_channel();
    let noted = record.clone();
    spawn_local(async move { read(reading, &events, &noted).await });
    let context = CONTEXT.to_be_bytes();
    let up = [message(ASP_UP, &[]), message(ASP_ACTIVE, &[(6, &context)])].concat();
    if writing.write_all(&up).await.is_err() {
        return;
    }
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Open set-ups by circuit; `false` once answered, until released.
    let mut open: BTreeMap<u16, bool> = BTreeMap::new();
    let (mut looked, mut circuit) = (record.now(), 0);
    loop {
        let done = tokio::select! {
            biased;
            event = received.recv() => match event {
                Some((circuit, kind, cause)) => {
                    react(&mut writing, &mut open, circuit, (kind, cause), &record).await
                }
                None => Err(()),
            },
            _ = ticks.tick(), if usize::from(circuit) < usize::from(CIRCUITS) => {
                circuit += 1;
                looked = record.now();
                let made = call(&mut writing, &mut open, circuit).await;
                if made.is_ok() {
                    record.note(What::Sent { call: CALLS | u64::from(circuit), left });
                }
                made
            }
        };
        if done.is_err() {
            let unanswered = open.iter().filter(|(_, unanswered)| **unanswered);
            for (circuit, _) in unanswered {
                record.note(What::Closed { call: CALLS | u64::from(*circuit), not_before: looked });
            }
            return;
        }
    }
}

async fn call(writing: &mut OwnedWriteHalf, open: &mut BTreeMap<u16, bool>, circuit: u16) -> Result<(), ()> {
    writing.write_all(&data(&iam(circuit))).await.map_err(|_| ())?;
    open.insert(circuit, true);
    Ok(())
}

async fn react(
    writing: &mut OwnedWriteHalf,
    open: &mut BTreeMap<u16, bool>,
    circuit: u16,
    (kind, cause): (u8, u8),
    record: &Record,
) -> Result<(), ()> {
    let call = CALLS | u64::from(circuit);
    match kind {
        ANM => {
            open.insert(circuit, false);
            record.note(What::Answered { call, answer: Answer::Accepted });
        }
        REL => {
            match open.remove(&circuit) {
                Some(true) => {
                    let refused = matches!(cause, 34 | 42 | 102);
                    let answer = if refused { Answer::Refused } else { Answer::Failed };
                    record.note(What::Answered { call, answer });
                }
                _ => record.note(What::HeardRelease { call }),
            }
            let complete = [&circuit.to_le_bytes()[..], &[RLC, 0]].concat();
            writing.write_all(&data(&complete)).await.map_err(|_| ())?;
        }
        _ => {}
    }
    Ok(())
}

/// Call messages that come: circuit, type and cause.
async fn read(mut reading: OwnedReadHalf, events: &mpsc::UnboundedSender<(u16, u8, u8)>, record: &Record) {
    let mut head = [0; 8];
    while reading.read_exact(&mut head).await.is_ok() {
        let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let mut body = vec![0; length.saturating_sub(8)];
        if reading.read_exact(&mut body).await.is_err() {
            return;
        }
        if head[2..4] != DATA {
            continue;
        }
        let Some(user) = protocol_data(&body).and_then(|value| value.get(12..)).filter(|user| user.len() > 3)
        else {
            record.note(What::Logged { line: "the M3UA client was sent data that it can't read".into() });
            continue;
        };
        let circuit = u16::from_le_bytes([user[0], user[1]]);
        let cause = match user[2] {
            REL => user.get(3 + usize::from(user[3]) + 2).copied().unwrap_or(0) & 0x7f,
            _ => 0,
        };
        if events.send((circuit, user[2], cause)).is_err() {
            return;
        }
    }
}

fn protocol_data(mut parameters: &[u8]) -> Option<&[u8]> {
    while parameters.len() >= 4 {
        let tag = u16::from_be_bytes([parameters[0], parameters[1]]);
        let length = usize::from(u16::from_be_bytes([parameters[2], parameters[3]]));
        if tag == 0x210 {
            return parameters.get(4..length);
        }
        parameters = parameters.get(length.next_multiple_of(4).max(4)..)?;
    }
    None
}
