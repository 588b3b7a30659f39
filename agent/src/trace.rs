//! Traces the steps of each call by its id, one line per step, where `LB_TRACE=calls` enables it. Otherwise
//! each step costs one comparison with the highest level of `tracing`.

use std::fmt;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use steprelay_core::{Core, Effect, Verdict};
use steprelay_decisions::{CallId, Micros, Readiness, ServerId};
use tracing::level_filters::LevelFilter;
use tracing::trace;
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};

use crate::ports::{Input, LinkId};

/// `LB_TRACE` names an unknown trace.
#[derive(Debug, thiserror::Error)]
#[error("LB_TRACE: {0:?} cannot be traced, only \"calls\"")]
pub struct UnknownTrace(String);

/// Starts the trace that `LB_TRACE` names, if there is one.
///
/// # Errors
/// `LB_TRACE` names an unknown trace.
pub fn start() -> Result<(), UnknownTrace> {
    match std::env::var("LB_TRACE") {
        Ok(named) if named == "calls" => {
            tracing_subscriber::fmt()
                .with_max_level(LevelFilter::TRACE)
                .with_writer(io::stderr)
                .with_ansi(false)
                .with_level(false)
                .with_target(false)
                .with_timer(UnixTime)
                .init();
            Ok(())
        }
        Ok(named) if !named.is_empty() => Err(UnknownTrace(named)),
        _ => Ok(()),
    }
}

/// Starts each line with the program's prefix and the Unix time, which matches the time in peers' logs.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(writer, "steprelay: call {}.{:06}", at.as_secs(), at.subsec_micros())
    }
}

/// A call id in the form it has on the wire.
struct Id(CallId);

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0 .0)
    }
}

/// Formats the ready servers, each with the bound of its image, and a `!` where it is avoided after failures:
/// the reasons of a refusal.
struct Servers<'a>(&'a Core, Micros);

impl fmt::Display for Servers<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (entry, _, bound) in self.0.servers(self.1) {
            if entry.state == Readiness::Ready {
                let age = entry.started.map(|started| (self.1 - started) / 1_000);
                write!(formatter, "{}", entry.server.0)?;
                age.map(|age| write!(formatter, "@{age}ms")).transpose()?;
                bound.map(|bound| write!(formatter, "<{bound:.2}")).transpose()?;
                if self.0.avoids(self.1, entry.server) {
                    formatter.write_str("!")?;
                }
                formatter.write_str(" ")?;
            }
        }
        Ok(())
    }
}

/// An input on a call.
pub fn input(input: &Input) {
    if LevelFilter::current() < LevelFilter::TRACE {
        return;
    }
    match input {
        Input::Offer { client, request } => trace!(
            "{} set-up from {} class {} tenant {} dest {:?} number {} left {} ms",
            Id(request.call),
            client.0,
            request.class,
            request.tenant,
            request.dest,
            request.number,
            request.remaining / 1_000
        ),
        Input::InvalidSetUp { client, call, .. } => trace!("{} unfit set-up from {}", Id(*call), client.0),
        Input::ClientEnded { client, call, cause } => {
            trace!("{} ended by {} cause {}", Id(*call), client.0, cause.0)
        }
        Input::ReleaseSent { client, call, .. } => trace!("{} release sent to {}", Id(*call), client.0),
        Input::NothingUnread { client, call } => trace!("{} nothing waits from {}", Id(*call), client.0),
        Input::ReleaseAcknowledged { client, call } => trace!("{} release heard by {}", Id(*call), client.0),
        Input::Answered { link, call, .. } => trace!("{} answered by server {}", Id(*call), link.server.0),
        Input::Ended { link, call, cause, note, .. } => {
            trace!("{} ended by server {} cause {} {note:?}", Id(*call), link.server.0, cause.0)
        }
        _ => {}
    }
}

/// An attempt ended without a response of its server.
pub fn attempt_ended(server: ServerId, call: CallId, reason: impl fmt::Display) {
    trace!("{} {reason}, server {}", Id(call), server.0);
}

/// The effect on a call of another member's loss or return.
pub fn replicated(call: CallId, event: impl fmt::Display) {
    trace!("{} {event}", Id(call));
}

/// The lease under which a caller is sent a message. `left`: milliseconds until it ends, negative after that,
/// `None` before the first one. `renounced`: how often calls were given up to a successor.
pub fn lease(call: CallId, left: Option<i64>, renounced: u64) {
    match left {
        Some(left) => trace!("{} told with {left} ms of lease left, renounced {renounced}", Id(call)),
        None => trace!("{} told before the first lease", Id(call)),
    }
}

/// A change of a connection to a server.
pub fn link(link: LinkId, what: impl fmt::Display) {
    trace!("- connection {} to server {} {what}", link.epoch, link.server.0);
}

/// A change of an association of the M3UA front.
pub fn association(number: u64, what: &str) {
    trace!("- association {number} {what}");
}

/// A turn of the owner that took long, or the next one that begins late.
pub fn turn(took: Micros, late: Micros) {
    const LONG: Micros = 20_000;
    if took >= LONG || late >= LONG {
        trace!("- turn of the owner took {} ms, the next is {} ms late", took / 1_000, late / 1_000);
    }
}

/// An effect on a call.
pub fn effect(core: &Core, now: Micros, effect: &Effect) {
    if LevelFilter::current() < LevelFilter::TRACE {
        return;
    }
    match effect {
        Effect::SetUp { server, set_up } => {
            trace!("{} set-up to server {} waits {} ms", Id(set_up.call), server.0, set_up.wait / 1_000)
        }
        Effect::CancelAttempt { server, call } => trace!("{} given up at server {}", Id(*call), server.0),
        Effect::Release { server, call, cause } => {
            trace!("{} released at server {} cause {}", Id(*call), server.0, cause.0)
        }
        Effect::Answer { client, call, .. } => trace!("{} answered to {}", Id(*call), client.0),
        Effect::FinalAnswer { client, call, verdict: Verdict::Refused { wait } } => {
            trace!("{} refused to {} wait {wait:?}, ready: {}", Id(*call), client.0, Servers(core, now))
        }
        Effect::FinalAnswer { client, call, verdict } => trace!("{} {verdict:?} to {}", Id(*call), client.0),
        Effect::WithdrawRelease { client, call } => {
            trace!("{} release to {} is taken back if it has not left", Id(*call), client.0)
        }
        Effect::CheckUnreadInput { client, call } => {
            trace!("{} release not acknowledged by {}, which is asked for", Id(*call), client.0)
        }
        Effect::DeliveryAbandoned { call, deliveries } => {
            trace!("{} release is given up, {deliveries} connections did not acknowledge it", Id(*call))
        }
        Effect::DeliverRelease { client, call, cause } => {
            trace!("{} released to {} cause {}", Id(*call), client.0, cause.0)
        }
        _ => {}
    }
}
