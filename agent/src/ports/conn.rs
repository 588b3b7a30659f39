//! Reading and writing of complete messages on one connection, independent of their encoding.

use std::cell::Cell;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Duration, Instant};

use super::pool::{Buffer, Pool, BUFFER_SIZE, MAX_MESSAGE_LEN};

mod gate;
mod queue;
pub use gate::Gate;
pub use queue::{channel, Capacity, Inbox, Outbox, Weight};

/// Extent of the first message in a buffer.
pub enum Split {
    /// The message is complete and has this length in bytes.
    Whole(usize),
    Partial,
    /// The bytes are not a valid message.
    Broken,
}

/// A message that has arrived in part.
#[derive(Clone, Copy)]
struct Partial {
    since: Instant,
    /// When it is reported as overdue next.
    overdue_at: Instant,
}

/// Interval of the reports of a message that stays overdue.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(200);

/// Reader of the messages that arrive on a connection.
pub struct Incoming<'a> {
    stream: &'a TcpStream,
    pool: &'a Pool,
    split: fn(&[u8]) -> Split,
    /// Time from the first part of a message after which it is overdue.
    message_timeout: Duration,
    buffer: Option<Buffer>,
    consumed: usize,
    /// Bytes that were read since other tasks have run.
    read_in_turn: usize,
    /// The peer has ended its side of the connection, behind what is unread.
    has_peer_closed: Rc<Cell<bool>>,
    partial: Option<Partial>,
    in_partial_message: Rc<Cell<bool>>,
    gate: Rc<Gate>,
}

impl<'a> Incoming<'a> {
    pub fn new(
        stream: &'a TcpStream,
        pool: &'a Pool,
        split: fn(&[u8]) -> Split,
        message_timeout: Duration,
    ) -> Self {
        Incoming {
            stream,
            pool,
            split,
            message_timeout,
            buffer: None,
            consumed: 0,
            read_in_turn: 0,
            has_peer_closed: Rc::default(),
            partial: None,
            in_partial_message: Rc::default(),
            gate: Rc::default(),
        }
    }

    /// The gate that pauses reading.
    pub fn gate(&self) -> Rc<Gate> {
        self.gate.clone()
    }

    /// Whether the peer has ended its side of the connection. What it wrote before that may be unread.
    pub fn has_peer_closed(&self) -> Rc<Cell<bool>> {
        self.has_peer_closed.clone()
    }

    /// Whether a message has arrived in part.
    pub fn in_partial_message(&self) -> Rc<Cell<bool>> {
        self.in_partial_message.clone()
    }

    /// How long ago the message began that has arrived in part.
    pub fn partial_for(&self) -> Duration {
        self.partial.map_or(Duration::ZERO, |partial| partial.since.elapsed())
    }

    /// Returns the next complete message, or `None` at the end of the stream. Dropping the future loses no
    /// data.
    ///
    /// # Errors
    /// `InvalidData` for bytes that are no message, or a message that is longer than a buffer; `TimedOut` for
    /// a message that is overdue, after which it can still be read, and is reported again while it stays so.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        let whole = loop {
            if let Some(buffer) = &mut self.buffer {
                buffer.consume(std::mem::take(&mut self.consumed));
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
                    self.partial = None;
                }
            }
            self.in_partial_message.set(self.buffer.is_some());
            self.gate.set_waiting();
            let ready = match &self.buffer {
                None => self.stream.ready(Interest::READABLE).await?,
                Some(_) => {
                    let message_timeout = self.message_timeout;
                    let partial = self.partial.get_or_insert_with(|| {
                        let since = Instant::now();
                        Partial { since, overdue_at: since + message_timeout }
                    });
                    match timeout_at(partial.overdue_at, self.stream.ready(Interest::READABLE)).await {
                        Ok(readable) => readable?,
                        Err(_) => {
                            partial.overdue_at = Instant::now() + OVERDUE_INTERVAL;
                            return Err(io::ErrorKind::TimedOut.into());
                        }
                    }
                }
            };
            if ready.is_read_closed() {
                self.has_peer_closed.set(true);
            }
            self.gate.pass().await;
            if self.read_in_turn >= BUFFER_SIZE {
                // A peer that never pauses would hold up all others: sockets are polled between turns only.
                self.read_in_turn = 0;
                yield_now().await;
            }
            let buffer = self.buffer.get_or_insert_with(|| self.pool.take());
            match self.stream.try_read(buffer.free_mut()) {
                Ok(0) => return Ok(None),
                Ok(read) => {
                    buffer.grow(read);
                    self.read_in_turn += read;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        };
        self.in_partial_message.set(false);
        self.consumed = whole;
        self.partial = None;
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

/// Writes posted messages until the owner drops the connection's outboxes. A message that is too long for the
/// protocol, or that it cannot express, is skipped; `skip` tells whether writing ends with it. `written` is
/// called for each completely written message.
///
/// Messages are chosen only when the connection accepts data: a message that is cancelled before that is not
/// sent.
pub async fn write_posted<M: Weight>(
    stream: &TcpStream,
    pool: &Pool,
    inbox: &mut Inbox<M>,
    encode: impl Fn(&M, &mut Buffer) -> io::Result<()>,
    skip: impl Fn(&M) -> io::Result<ControlFlow<()>>,
    written: impl Fn(&M),
) -> io::Result<()> {
    while let Some(first) = inbox.next().await {
        inbox.while_blocked(stream.writable()).await?;
        let mut buffer = pool.take();
        let mut parts = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let mark = buffer.len();
            if message.is_cancelled() {
                inbox.done(&message);
            } else if encode(&message, &mut buffer).is_ok() && buffer.len() - mark <= MAX_MESSAGE_LEN + 1 {
                parts.push(Part { message, end: buffer.len() });
            } else {
                buffer.truncate(mark);
                if mark > 0 {
                    inbox.put_back(message);
                    break;
                }
                inbox.done(&message);
                if skip(&message)?.is_break() {
                    pool.put(buffer);
                    return Ok(());
                }
            }
            next = inbox.next_now();
        }
        let consumed = inbox.while_blocked(write_available(stream, buffer.filled(), &parts)).await;
        pool.put(buffer);
        finish(inbox, &mut parts, consumed?);
        parts.iter().for_each(|part| written(&part.message));
    }
    Ok(())
}

/// Completes the first `written` messages; the others return to the queue and can still be cancelled.
pub fn finish<M: Weight>(inbox: &mut Inbox<M>, parts: &mut Vec<Part<M>>, written: usize) {
    parts.drain(written..).rev().for_each(|part| inbox.put_back(part.message));
    parts.iter().for_each(|part| inbox.done(&part.message));
}

/// A message in an encoded buffer, and the offset of its end.
pub struct Part<M> {
    pub message: M,
    pub end: usize,
}

/// Writes as many complete messages as the connection accepts now, and the rest of one that it accepts in
/// part; returns their number. The others are not sent and can still be cancelled.
pub async fn write_available<M: Weight>(
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
                begun.for_each(|part| part.message.mark_begun());
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
