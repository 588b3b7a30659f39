//! Reading and writing of whole messages on one connection, whatever their form.

use std::cell::Cell;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::time::{timeout_at, Duration, Instant};

use super::pool::{Buffer, Pool, LONGEST_MESSAGE};

mod gate;
mod queue;
pub use gate::Gate;
pub use queue::{channel, Capacity, Inbox, Outbox, Weight};

/// How far the first message in some bytes goes.
pub enum Split {
    /// It takes so many bytes.
    Whole(usize),
    Partial,
    /// No message can follow.
    Broken,
}

/// The messages that arrive on a connection, one after the other.
pub struct Incoming<'a> {
    stream: &'a TcpStream,
    pool: &'a Pool,
    split: fn(&[u8]) -> Split,
    /// A message is whole this long after its first part, or never.
    whole_within: Duration,
    buffer: Option<Buffer>,
    taken: usize,
    part_since: Option<Instant>,
    in_part: Rc<Cell<bool>>,
    gate: Rc<Gate>,
}

impl<'a> Incoming<'a> {
    pub fn new(
        stream: &'a TcpStream,
        pool: &'a Pool,
        split: fn(&[u8]) -> Split,
        whole_within: Duration,
    ) -> Self {
        Incoming {
            stream,
            pool,
            split,
            whole_within,
            buffer: None,
            taken: 0,
            part_since: None,
            in_part: Rc::default(),
            gate: Rc::default(),
        }
    }

    /// By which the reading can be paused.
    pub fn gate(&self) -> Rc<Gate> {
        self.gate.clone()
    }

    /// Whether part of a message has come and its end has not.
    pub fn in_part(&self) -> Rc<Cell<bool>> {
        self.in_part.clone()
    }

    /// The next whole message; `None` at the end of the stream. Messages that are longer than a buffer, or
    /// that do not come to their end in time, are an error.
    /// Nothing is lost when this is dropped while it waits.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        let whole = loop {
            if let Some(buffer) = &mut self.buffer {
                buffer.consume(std::mem::take(&mut self.taken));
                match (self.split)(buffer.filled()) {
                    Split::Whole(len) => break len,
                    Split::Broken => return Err(io::ErrorKind::InvalidData.into()),
                    Split::Partial if buffer.free_mut().is_empty() => {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                    Split::Partial => {}
                }
                if buffer.len() == 0 {
                    self.pool.put(self.buffer.take().expect("just looked at"));
                    self.part_since = None;
                }
            }
            self.in_part.set(self.buffer.is_some());
            self.gate.waits();
            match &self.buffer {
                None => self.stream.readable().await?,
                Some(_) => {
                    let since = *self.part_since.get_or_insert_with(Instant::now);
                    let readable = timeout_at(since + self.whole_within, self.stream.readable()).await;
                    readable.map_err(|_| io::ErrorKind::InvalidData)??;
                }
            }
            self.gate.pass().await;
            let buffer = self.buffer.get_or_insert_with(|| self.pool.take());
            match self.stream.try_read(buffer.free_mut()) {
                Ok(0) => return Ok(None),
                Ok(read) => buffer.grow(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        };
        self.in_part.set(false);
        self.taken = whole;
        self.part_since = None;
        Ok(self.buffer.as_ref().map(|buffer| &buffer.filled()[..whole]))
    }
}

impl Drop for Incoming<'_> {
    fn drop(&mut self) {
        if let Some(buffer) = self.buffer.take() {
            self.pool.put(buffer);
        }
    }
}

/// Writes what is posted until the owner lets go of the connection. A message that is too long for the
/// protocol, or has no form in it, is left out; `left_out` says whether it was the last. `written` hears of
/// each message that has left whole.
///
/// Nothing is chosen before the connection takes it: what is cancelled until then does not leave.
pub async fn write_posted<M: Weight>(
    stream: &TcpStream,
    pool: &Pool,
    inbox: &mut Inbox<M>,
    encode: impl Fn(&M, &mut Buffer) -> io::Result<()>,
    left_out: impl Fn(&M) -> io::Result<ControlFlow<()>>,
    written: impl Fn(&M),
) -> io::Result<()> {
    while let Some(first) = inbox.next().await {
        inbox.writes(stream.writable()).await?;
        let mut buffer = pool.take();
        let mut parts = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let mark = buffer.len();
            if message.is_cancelled() {
                inbox.done(&message);
            } else if encode(&message, &mut buffer).is_ok() && buffer.len() - mark <= LONGEST_MESSAGE + 1 {
                parts.push(Part { message, end: buffer.len() });
            } else {
                buffer.truncate(mark);
                if mark > 0 {
                    inbox.put_back(message);
                    break;
                }
                inbox.done(&message);
                if left_out(&message)?.is_break() {
                    pool.put(buffer);
                    return Ok(());
                }
            }
            next = inbox.next_now();
        }
        let taken = inbox.writes(write_taken(stream, buffer.filled(), &parts)).await;
        pool.put(buffer);
        finish(inbox, &mut parts, taken?);
        parts.iter().for_each(|part| written(&part.message));
    }
    Ok(())
}

/// Of these messages so many were written; the others wait, and may be cancelled meanwhile.
pub fn finish<M: Weight>(inbox: &mut Inbox<M>, parts: &mut Vec<Part<M>>, written: usize) {
    parts.drain(written..).rev().for_each(|part| inbox.put_back(part.message));
    parts.iter().for_each(|part| inbox.done(&part.message));
}

/// A message among bytes, and where it ends there.
pub struct Part<M> {
    pub message: M,
    pub end: usize,
}

/// Writes as many whole messages as the connection takes now, and the rest of one that it takes in part;
/// returns how many. The others wait, and may be cancelled meanwhile.
pub async fn write_taken<M: Weight>(
    stream: &TcpStream,
    bytes: &[u8],
    parts: &[Part<M>],
) -> io::Result<usize> {
    let (mut written, mut until) = (0, bytes.len());
    while written < until {
        let whole = parts.partition_point(|part| part.end <= written);
        match stream.try_write(&bytes[written..until]) {
            Ok(more) => {
                written += more;
                let begun = parts[whole..].iter().scan(whole, |place, part| {
                    let start = place.checked_sub(1).map_or(0, |before| parts[before].end);
                    *place += 1;
                    (start < written).then_some(part)
                });
                begun.for_each(|part| part.message.begins());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if written == whole.checked_sub(1).map_or(0, |before| parts[before].end) {
                    return Ok(whole);
                }
                until = parts[whole].end;
                stream.writable().await?;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(parts.partition_point(|part| part.end <= written))
}

pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
