//! Connections of callers: set-ups are received, answers and releases are sent on them.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::{IpAddr, Shutdown};
use std::ops::ControlFlow;
use std::rc::Rc;

use socket2::SockRef;
use steprelay_core::{ClientId, Peer, ReleaseCause, Request, Verdict};
use steprelay_decisions::{CallId, Micros};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};

use super::message::{self, Message, MessageError};
use crate::ports::conn::{self, Capacity, Incoming};
use crate::ports::pool::Buffer;
use crate::ports::Shared;
use crate::ports::{Input, ToClient};

/// A line is overdue this long after its first part. A caller that sends part of a line, has no call open and
/// then waits has to see the connection end within 3 s.
const LINE_TIMEOUT: Duration = Duration::from_millis(2000);

/// How long a connection is still read after it was shut down for writing. A caller that is writing sees the
/// shutdown after one network delay and the wait for its reading task.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// Serves one connection of a caller; `number` identifies the connection.
pub async fn serve(stream: TcpStream, number: u64, shared: Shared) {
    let client = ClientId(number);
    let _ = stream.set_nodelay(true);
    let (outbox, mut inbox) = conn::channel(Capacity::CLIENT);
    let peer = stream.peer_addr().ok().map(|address| match address.ip() {
        IpAddr::V4(ip) => Peer(u32::from(ip).into()),
        IpAddr::V6(ip) => Peer(ip.into()),
    });
    if shared.inputs.send(Input::ClientOpened { client, peer, outbox }).await.is_err() {
        return;
    }
    let cut = inbox.cut();
    let mut incoming = Incoming::new(&stream, &shared.pool, message::split, LINE_TIMEOUT);
    let (inputs, in_partial_message, gate) = (Cell::new(0), incoming.in_partial_message(), incoming.gate());
    // An answer that cannot be encoded ends the connection, so that its caller notices. So does the owner's
    // request to close the connection, unless input was received that the owner had not seen.
    let on_skipped = |line: &ToClient| match line {
        ToClient::CloseIfIdle { inputs: seen }
            if inputs.get() != *seen || in_partial_message.get() || has_unread_input(&stream) =>
        {
            Ok(ControlFlow::Continue(()))
        }
        ToClient::Pause => {
            let paused = gate.close(has_unread_input(&stream));
            let paused_input = Input::ClientPaused { client, inputs: inputs.get() };
            if paused && shared.inputs.try_send(paused_input).is_err() {
                gate.open();
            }
            Ok(ControlFlow::Continue(()))
        }
        ToClient::CloseIfPaused { inputs: seen } if inputs.get() != *seen || !gate.may_end() => {
            gate.open();
            Ok(ControlFlow::Continue(()))
        }
        ToClient::Resume => {
            gate.open();
            Ok(ControlFlow::Continue(()))
        }
        ToClient::CheckUnreadInput(call) => {
            if gate.is_waiting() && !in_partial_message.get() && !has_unread_input(&stream) {
                // If the owner's queue is full, the owner asks again.
                let _ = shared.inputs.try_send(Input::NothingUnread { client, call: *call });
            }
            Ok(ControlFlow::Continue(()))
        }
        ToClient::CloseIfIdle { .. } | ToClient::CloseIfPaused { .. } | ToClient::Finish => {
            Ok(ControlFlow::Break(()))
        }
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    let on_written = |line: &ToClient| {
        if let ToClient::Released { call, .. } = line {
            let sent = Input::ReleaseSent { client, call: *call, at: shared.clock.now() };
            // If the owner's queue is full, the owner learns it when it takes the release back.
            let _ = shared.inputs.try_send(sent);
        }
    };
    let ended = tokio::select! {
        ended = read(&mut incoming, client, &shared, &inputs, true) => ended,
        ended = conn::write_posted(&stream, &shared.pool, &mut inbox, encode, on_skipped, on_written) => {
            // Closing a connection with unread input resets it, which discards the last answers that the
            // caller has not read. So the input is read for a while; a caller whose set-up is ignored here
            // sends it again elsewhere.
            if ended.is_ok() && SockRef::from(&stream).shutdown(Shutdown::Write).is_ok() {
                gate.open();
                let _ = timeout(LINGER_TIMEOUT, read(&mut incoming, client, &shared, &inputs, false)).await;
            }
            ended
        }
        _ = cut.notified() => Ok(()),
    };
    if ended.is_err_and(|error| error.kind() == io::ErrorKind::InvalidData) {
        shared.unreadable.log(shared.clock.now(), "invalid message from a client; closing its connection");
    }
    let _ = shared.inputs.send(Input::ClientClosed { client }).await;
}

/// Whether a connection has received bytes that were not read.
fn has_unread_input(stream: &TcpStream) -> bool {
    // An end of the stream or an error is no input that could be lost.
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|length| length > 0)
}

/// Passes received messages to the owner, set-ups only if `accepts_set_ups`; `inputs` counts the messages
/// that the owner gets.
async fn read(
    incoming: &mut Incoming<'_>,
    client: ClientId,
    shared: &Shared,
    inputs: &Cell<u64>,
    accepts_set_ups: bool,
) -> io::Result<()> {
    let has_peer_closed = incoming.has_peer_closed();
    loop {
        let line = match incoming.next().await {
            Ok(Some(line)) => line,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                // The owner closes the connection unless calls are open on it.
                let since = shared.clock.now() - incoming.partial_for().as_micros() as Micros;
                if shared.inputs.send(Input::ClientStalled { client, since }).await.is_err() {
                    return Ok(());
                }
                continue;
            }
            Err(error) => return Err(error),
        };
        let received_at = shared.clock.now();
        // Nobody waits for the answers to set-ups whose caller has left.
        let accepts_set_ups = accepts_set_ups && !has_peer_closed.get();
        // A message is parsed only once there is room for it in the queue, which bounds what is held.
        let Ok(room) = shared.inputs.reserve().await else { return Ok(()) };
        match parse_client_message(line, client, received_at, shared) {
            Ok(Some(Input::Offer { .. } | Input::InvalidSetUp { .. })) if !accepts_set_ups => {}
            Ok(Some(input)) => {
                inputs.set(inputs.get() + 1);
                room.send(input);
            }
            Ok(None) => {}
            Err(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Translates a message of a caller to an input of the owner; `None` for an unknown operation. An invalid
/// set-up with a call id is answered with a rejection.
///
/// # Errors
/// The message cannot be read or has no call id, so it cannot be answered; the connection has to end.
fn parse_client_message(
    line: &[u8],
    client: ClientId,
    received_at: Micros,
    shared: &Shared,
) -> Result<Option<Input>, MessageError> {
    let message = Message::read(line)?;
    let call = message.required_call()?;
    Ok(Some(match message.op.as_ref() {
        "offer" => match parse_request(&message, call, received_at, shared) {
            Some(request) => Input::Offer { client, request },
            None => {
                let class =
                    message.class.as_deref().and_then(|class| index_of(&shared.site.class_names, class));
                Input::InvalidSetUp { client, call, class }
            }
        },
        "end" => Input::ClientEnded { client, call, cause: message.cause() },
        "ended" => Input::ReleaseAcknowledged { client, call },
        "test" => Input::HealthCheck { client, call },
        _ => return Ok(None),
    }))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn parse_request(message: &Message, call: CallId, received_at: Micros, shared: &Shared) -> Option<Request> {
    let site = &shared.site;
    let class = index_of(&site.class_names, message.class.as_deref()?)?;
    let tenant = match message.tenant.as_deref() {
        Some(name) => index_of(&site.tenant_names, name)?,
        None => usize::MAX,
    };
    let left: f64 = message.left.as_deref()?.parse().ok().filter(|left: &f64| left.is_finite())?;
    let extras = parse_extras(message.extras.as_deref().unwrap_or_default())?;
    if extras
        .width
        .is_some_and(|width| site.lines_per_call.iter().max().is_some_and(|&widest| width > widest))
    {
        return None;
    }
    Some(Request {
        call,
        class,
        tenant,
        dest: extras.dest,
        number: Rc::from(message.key.as_deref().unwrap_or_default()),
        description: Rc::from(message.description.as_deref()?),
        received_at,
        remaining: steprelay_settings::micros(left),
        was_cut: extras.was_cut,
    })
}

/// The parameters in the `extras` field of a set-up.
#[derive(Default)]
struct Extras {
    dest: Option<u32>,
    width: Option<u32>,
    was_cut: bool,
}

/// Parses the parameters; `None` if one is not a number or is out of its range.
fn parse_extras(text: &str) -> Option<Extras> {
    let mut extras = Extras::default();
    for pair in text.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':')?;
        match name {
            "dest" => extras.dest = Some(value.parse().ok()?),
            "width" => extras.width = Some(value.parse().ok().filter(|&width| width > 0)?),
            "again" => extras.was_cut = value == "1",
            _ => {
                value.parse().ok().filter(|figure: &f64| figure.is_finite())?;
            }
        }
    }
    Some(extras)
}

fn encode(line: &ToClient, buffer: &mut Buffer) -> io::Result<()> {
    match line {
        ToClient::Answer { call, description } => {
            message::write(buffer, "accept", *call, &[], None, Some(description))
        }
        ToClient::Final { call, verdict: Verdict::Refused { wait: Some(wait) } } => {
            // Rounded up, so that no caller retries before the delay is over.
            let wait = ((wait + 999) / 1000).to_string();
            let cause = Some(ReleaseCause::CONGESTION.0);
            message::write(buffer, "end", *call, &[("wait", &wait)], cause, None)
        }
        ToClient::Final { call, verdict } => {
            let cause = match verdict {
                Verdict::Refused { .. } => ReleaseCause::CONGESTION,
                Verdict::Failed => ReleaseCause::TEMPORARY,
                Verdict::Invalid => ReleaseCause::PROTOCOL,
            };
            message::write(buffer, "end", *call, &[], Some(cause.0), None)
        }
        ToClient::Released { call, cause, .. } => {
            message::write(buffer, "end", *call, &[], Some(cause.0), None)
        }
        // Callers of this front learn of these states from their tests.
        ToClient::Draining | ToClient::Pressure(_) => Ok(()),
        ToClient::HealthCheckPassed(call) => message::write(buffer, "tested", *call, &[], Some(1), None),
        ToClient::HealthCheckFailed(call) => message::write(buffer, "tested", *call, &[], Some(0), None),
        // Not a message on the wire: the writer skips it and calls `on_skipped`.
        ToClient::CheckUnreadInput(_)
        | ToClient::CloseIfIdle { .. }
        | ToClient::Pause
        | ToClient::CloseIfPaused { .. }
        | ToClient::Resume
        | ToClient::Finish => Err(io::ErrorKind::Unsupported.into()),
    }
}

#[cfg(test)]
mod tests;
