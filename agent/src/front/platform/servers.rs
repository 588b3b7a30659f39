//! Connections to check servers, one for each server: set-ups are sent and answers are received on it.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::ops::ControlFlow;
use std::rc::Rc;

use socket2::SockRef;
use steprelay_core::{LinkLoss, ReleaseCause};
use steprelay_decisions::{Cause, Report};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};

use super::message::{self, Message, MessageError};
use crate::ports::conn::{self, Capacity, Incoming};
use crate::ports::pool::Buffer;
use crate::ports::Shared;
use crate::ports::{Input, LinkId, ToServer};

/// Longest time for a dial, unless the settings have one.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection is still read after it was shut down for writing. Messages that the server wrote
/// before it saw the shutdown arrive after one network delay and the wait for the reading task.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time from the first part of a line to its end. Servers write a line at once; while a line stays
/// incomplete, every call on the connection waits in vain.
const LINE_TIMEOUT: Duration = Duration::from_millis(500);

/// Dials a server and serves the connection until it ends; reports the loss to the owner.
pub async fn maintain_link(link: LinkId, address: SocketAddr, shared: Shared) {
    let loss = match dial(address, &shared).await {
        Ok(stream) => serve(stream, link, &shared).await,
        Err(loss) => loss,
    };
    let _ = shared.server_inputs.send(Input::LinkLost { link, loss }).await;
}

/// Connects to a server.
///
/// # Errors
/// `Refused` if the connection is refused, which proves that no process is there; `Unanswered` for any other
/// failure, which the network may have caused.
pub async fn dial(address: SocketAddr, shared: &Shared) -> Result<TcpStream, LinkLoss> {
    let limit = match shared.site.dial_timeout {
        0 => DEFAULT_DIAL_TIMEOUT,
        limit => Duration::from_micros(limit as u64),
    };
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Err(LinkLoss::Refused),
        _ => Err(LinkLoss::Unanswered),
    }
}

async fn serve(stream: TcpStream, link: LinkId, shared: &Shared) -> LinkLoss {
    let _ = stream.set_nodelay(true);
    let (outbox, mut inbox) = conn::channel(Capacity::SERVER);
    if shared.server_inputs.send(Input::LinkUp { link, outbox }).await.is_err() {
        return LinkLoss::Dropped;
    }
    let cut = inbox.cut();
    // A set-up is not encodable if it is too long in this format, which happens only to set-ups received in
    // another format.
    let on_skipped = |line: &ToServer| match line {
        ToServer::SetUp(set_up, _) => {
            let (call, cause, report) = (set_up.call, ReleaseCause::PROTOCOL, Report::default());
            let input = Input::Ended { link, call, cause, note: Cause::Unproven, report };
            shared.server_inputs.try_send(input).map_err(|_| io::ErrorKind::BrokenPipe)?;
            Ok(ControlFlow::Continue(()))
        }
        ToServer::Finish => Ok(ControlFlow::Break(())),
        _ => Ok(ControlFlow::Continue(())),
    };
    let on_written = |line: &ToServer| {
        if line.set_up().is_some() {
            shared.count(|io_counts| io_counts.dispatches += 1);
        }
    };
    let encode = |line: &ToServer, buffer: &mut Buffer| encode(line, buffer, &shared.site.class_names);
    let mut incoming = Incoming::new(&stream, &shared.pool, message::split, LINE_TIMEOUT);
    tokio::select! {
        ended = read(&mut incoming, link, shared) => {
            let line = match ended.map_err(|error| error.kind()) {
                Err(io::ErrorKind::InvalidData) => "invalid message from a server; closing its connection",
                Err(io::ErrorKind::TimedOut) => "incomplete message from a server; closing its connection",
                _ => return LinkLoss::Dropped,
            };
            shared.unreadable.log(shared.clock.now(), line);
            return LinkLoss::Unreadable;
        }
        ended = conn::write_posted(&stream, &shared.pool, &mut inbox, encode, on_skipped, on_written) => {
            // A release may be in flight or partly received, so the connection is read on for a while. Its
            // outcome does not matter.
            if ended.is_ok() && SockRef::from(&stream).shutdown(Shutdown::Write).is_ok() {
                let _ = timeout(LINGER_TIMEOUT, read(&mut incoming, link, shared)).await;
            }
        }
        _ = cut.notified() => {}
    };
    LinkLoss::Dropped
}

async fn read(incoming: &mut Incoming<'_>, link: LinkId, shared: &Shared) -> io::Result<()> {
    while let Some(line) = incoming.next().await? {
        // A message is parsed only once there is room for it in the queue, which bounds what is held.
        let Ok(room) = shared.server_inputs.reserve().await else { return Ok(()) };
        let input = Message::read(line).and_then(|message| parse_server_message(&message, link, shared));
        room.send(input.map_err(|_| io::ErrorKind::InvalidData)?);
    }
    Ok(())
}

/// Translates a message of a server to an input of the owner.
///
/// # Errors
/// The message cannot be one of a server. Later messages on the connection cannot be trusted either, and the
/// expected ones may never arrive.
fn parse_server_message(message: &Message, link: LinkId, shared: &Shared) -> Result<Input, MessageError> {
    let (report, ignored) = message.report(shared.site.report_fields);
    if ignored > 0 {
        shared.count(|io_counts| io_counts.invalid_figures += ignored);
    }
    if message.op == "group" {
        return Ok(Input::Reported { link, report });
    }
    let call = message.required_call()?;
    Ok(match message.op.as_ref() {
        "accept" => {
            let description = message.description.as_deref().filter(|text| is_plausible_description(text));
            let description = Rc::from(description.ok_or(MessageError::InvalidDescription)?);
            Input::Answered { link, call, description }
        }
        "end" if message.why.is_some() => {
            Input::Ended { link, call, cause: message.cause(), note: message.refusal_cause(), report }
        }
        "tested" => Input::ProbeAnswered { link, call, passed: message.why == Some(1), report },
        "ringing" | "ended" => Input::Progress { link },
        _ => return Err(MessageError::UnexpectedOp),
    })
}

/// Whether a description is text that a server may have made, and not garbage within the quotes.
fn is_plausible_description(description: &str) -> bool {
    let is_garbage =
        |c: char| c == char::REPLACEMENT_CHARACTER || c.is_control() && !matches!(c, '\r' | '\n' | '\t');
    !description.is_empty() && !description.contains(is_garbage)
}

fn encode(line: &ToServer, buffer: &mut Buffer, classes: &[String]) -> io::Result<()> {
    match line {
        ToServer::SetUp(set_up, _) => {
            let left = (set_up.wait / 1000).max(1).to_string();
            let class = classes.get(set_up.class).map_or("", String::as_str);
            let fields = [("class", class), ("left", &left), ("key", &set_up.number)];
            message::write(buffer, "offer", set_up.call, &fields, None, Some(&set_up.description))
        }
        ToServer::Cancel(call) => {
            message::write(buffer, "end", *call, &[], Some(ReleaseCause::NORMAL.0), None)
        }
        ToServer::Release(call, cause) => message::write(buffer, "end", *call, &[], Some(cause.0), None),
        ToServer::Probe(call) => message::write(buffer, "test", *call, &[], Some(0), None),
        ToServer::ConfirmRelease(call) => message::write(buffer, "ended", *call, &[], None, None),
        // Not a message on the wire: the writer skips it and calls `on_skipped`.
        ToServer::Finish => Err(io::ErrorKind::Unsupported.into()),
    }
}
