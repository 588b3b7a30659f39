//! Parsing and formatting of single lines of the simulator's protocol.

use std::fmt::Write;
use std::str::FromStr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use steprelay_decisions::{
    Action, AttemptEnd, Call, CallId, Cause, Entry, Event, ListKind, Micros, Outcome, Readiness, Report,
    ServerId, Settings, Timer,
};
use steprelay_settings::micros;

/// An invalid line: the field at fault and the reason.
#[derive(Debug)]
pub struct LineError {
    pub field: &'static str,
    pub reason: String,
}

impl LineError {
    pub fn new(field: &'static str, reason: impl Into<String>) -> Self {
        LineError { field, reason: reason.into() }
    }
}

/// Names of the messages that are events for a controller.
pub const EVENT_NAMES: [&str; 8] =
    ["registry", "order", "ack_first", "attempt_end", "gone", "elapsed", "sampled", "heard"];

/// The tab-separated fields of a line, read from left to right. `-` and an empty field mean that the value is
/// absent.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(values: &'a str) -> Self {
        Fields { rest: (!values.is_empty()).then_some(values) }
    }

    /// Reads the next field, which may be absent.
    fn value(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let rest = self.rest.ok_or_else(|| LineError::new(field, "missing"))?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(value)
    }

    /// Reads a field that has to be present.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let value = self.value(field)?;
        if value.is_empty() || value == "-" {
            return Err(LineError::new(field, "missing"));
        }
        Ok(value)
    }

    fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        Ok(Some(self.value(field)?).filter(|value| !value.is_empty() && *value != "-"))
    }

    /// Returns the rest of the line.
    pub fn rest(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.take().ok_or_else(|| LineError::new(field, "missing"))
    }

    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        parse(field, self.text(field)?)
    }

    fn number_or<T: FromStr>(&mut self, field: &'static str, absent: T) -> Result<T, LineError> {
        self.optional(field)?.map_or(Ok(absent), |value| parse(field, value))
    }

    /// Reads a 64-bit seed, signed or unsigned.
    pub fn seed(&mut self, field: &'static str) -> Result<u64, LineError> {
        let value: i128 = self.number(field)?;
        Ok(value as u64)
    }

    /// Reads a time in milliseconds and returns microseconds.
    pub fn time(&mut self, field: &'static str) -> Result<Micros, LineError> {
        Ok(micros(self.finite(field)?))
    }

    fn finite(&mut self, field: &'static str) -> Result<f64, LineError> {
        let value: f64 = self.number(field)?;
        if !value.is_finite() {
            return Err(LineError::new(field, "not a finite number"));
        }
        Ok(value)
    }

    /// Reads a call's id of 16 lower-case hexadecimal digits.
    fn call(&mut self, field: &'static str) -> Result<CallId, LineError> {
        let value = self.text(field)?;
        if value.len() != 16 || !value.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f')) {
            return Err(LineError::new(field, "not 16 lower-case hexadecimal digits"));
        }
        Ok(CallId(u64::from_str_radix(value, 16).map_err(|error| LineError::new(field, error.to_string()))?))
    }

    fn server(&mut self, field: &'static str) -> Result<ServerId, LineError> {
        Ok(ServerId(self.number(field)?))
    }

    fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(LineError::new(field, format!("'{}' is neither 0 nor 1", other.escape_debug()))),
        }
    }

    /// Reads a load report. Values with unknown names are ignored.
    fn report(&mut self, field: &'static str) -> Result<Report, LineError> {
        let mut report = Report::default();
        let Some(pairs) = self.optional(field)? else { return Ok(report) };
        for pair in pairs.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(LineError::new(field, "not name:value pairs"));
            };
            if let Some(slot) = steprelay_settings::report_slot(&mut report, name) {
                *slot = Some(parse(field, value)?);
            }
        }
        Ok(report)
    }
}

fn parse<T: FromStr>(field: &'static str, value: &str) -> Result<T, LineError> {
    value
        .parse()
        .map_err(|_| LineError::new(field, format!("'{}' is not a valid number", value.escape_debug())))
}

/// Parses an entry of a server list.
pub fn parse_entry(fields: &mut Fields) -> Result<Entry, LineError> {
    let server = fields.server("server")?;
    let started = fields.number_or("cameUpMs", 0.0)?;
    fields.optional("generationHw")?;
    fields.optional("rackZone")?;
    fields.optional("rating")?;
    let number = fields.number("number")?;
    let state = match fields.text("readiness")? {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        other => {
            return Err(LineError::new("readiness", format!("unknown readiness '{}'", other.escape_debug())))
        }
    };
    Ok(Entry { server, started: (started != 0.0).then(|| micros(started)), number, state })
}

/// Parses the kind of a server list.
pub fn parse_list_kind(mode: &str) -> Result<ListKind, LineError> {
    match mode {
        "changes" => Ok(ListKind::Changes),
        "all" => Ok(ListKind::All),
        "remembered" => Ok(ListKind::Cached),
        "refused" => Ok(ListKind::Failed),
        other => Err(LineError::new("mode", format!("unknown list mode '{}'", other.escape_debug()))),
    }
}

/// Parses an event other than a server list, from the fields after the instance's name. `bytes` holds the
/// payload of a peer message.
pub fn parse_event<'a>(
    name: &str,
    fields: &mut Fields,
    bytes: &'a mut Vec<u8>,
) -> Result<Event<'a>, LineError> {
    Ok(match name {
        "order" => {
            let id = fields.call("call")?;
            fields.optional("width")?;
            let bits: u64 = fields.number_or("bits", 0)?;
            let called_number = fields.optional("subject")?.unwrap_or_default().to_string();
            fields.optional("costGuessMs")?;
            let dest: f64 = fields.number("dest")?;
            let tenant = fields.number_or("project", 0)?;
            let class = fields.number("cls")?;
            let remaining = fields.time("remainingMs")?;
            let (is_redial, is_in_transit, was_cut) = (bits & 2 != 0, bits & 8 != 0, bits & 16 != 0);
            Event::Call(Call {
                id,
                class,
                tenant,
                dest: dest as u32,
                called_number,
                remaining,
                is_redial,
                was_cut,
                is_in_transit,
            })
        }
        "ack_first" => {
            let (call, server) = (fields.call("call")?, fields.server("server")?);
            let attempt = fields.number("copy")?;
            Event::Answered { call, server, attempt, lag: fields.time("lagMs")? }
        }
        "attempt_end" => {
            let (call, lag) = (fields.call("call")?, fields.time("lagMs")?);
            let server = fields.server("server")?;
            let cause = parse_cause(fields.number_or("cause", 0)?);
            let attempt = fields.number("copy")?;
            let outcome = parse_outcome(fields.number("rc")?)?;
            let is_final = fields.flag("final")?;
            let report = fields.report("usage")?;
            Event::AttemptEnded(AttemptEnd { call, server, attempt, lag, outcome, cause, is_final, report })
        }
        "gone" => Event::CallerGone { call: fields.call("call")? },
        "elapsed" => Event::Timer(match fields.text("nonce")? {
            "tick" => Timer::Tick,
            nonce => {
                let id = nonce.strip_prefix("call-").and_then(|id| u64::from_str_radix(id, 16).ok());
                Timer::Call(CallId(id.ok_or_else(|| LineError::new("nonce", "not a timer of this program"))?))
            }
        }),
        "sampled" => {
            let lag = fields.time("lagMs")?;
            let ok = parse_outcome(fields.number("rc")?)? == Outcome::Ok;
            Event::ProbeAnswered {
                server: fields.server("server")?,
                ok,
                lag,
                report: fields.report("usage")?,
            }
        }
        _ => {
            let from = fields.number("from")?;
            let contents = fields.optional("contents")?.unwrap_or_default();
            *bytes =
                STANDARD.decode(contents).map_err(|error| LineError::new("contents", error.to_string()))?;
            Event::PeerMessage { from, bytes }
        }
    })
}

/// Parses the cause of an outcome. The low four bits are its code; the higher bits are the wait in
/// milliseconds that a full processor asks for, or 0.
fn parse_cause(code: u32) -> Cause {
    match code % 16 {
        1 => Cause::NoLine,
        2 => Cause::TurnedBack,
        3 => Cause::ProcessorFull { wait: (code >= 16).then(|| Micros::from(code / 16) * 1000) },
        4 => Cause::NumberBusy,
        _ => Cause::Untold,
    }
}

fn parse_outcome(code: u32) -> Result<Outcome, LineError> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Full,
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        other => return Err(LineError::new("rc", format!("unknown outcome {other}"))),
    })
}

/// Parses the settings in an instance's first message.
pub fn parse_settings(text: &str) -> Result<Settings, LineError> {
    let all = serde_json::from_str(text).map_err(|error| LineError::new("setup", error.to_string()))?;
    Ok(steprelay_settings::decision_settings(&all))
}

/// Appends the line for an action to `out`.
pub fn write_action(out: &mut String, node: &str, now: Micros, action: &Action) {
    let millis = |time: Micros| time as f64 / 1000.0;
    let written = match action {
        Action::Send { call, server, stop_at } => {
            let stop_at = millis(*stop_at);
            writeln!(out, "place\t{node}\t{:016x}\t{}\t{stop_at}", call.0, server.0)
        }
        Action::Refuse { call, retry_after: Some(wait) } => {
            writeln!(out, "deny\t{node}\t{:016x}\t{}", call.0, millis(*wait))
        }
        Action::Refuse { call, retry_after: None } => writeln!(out, "deny\t{node}\t{:016x}\t0", call.0),
        Action::Fail { call } => writeln!(out, "lose\t{node}\t{:016x}", call.0),
        Action::Cancel { call, attempt } => writeln!(out, "undo_send\t{node}\t{:016x}\t{attempt}", call.0),
        Action::SetTimer { timer: Timer::Tick, after } => {
            writeln!(out, "wake_at\t{node}\ttick\t{}", millis(*after))
        }
        Action::SetTimer { timer: Timer::Call(call), after } => {
            writeln!(out, "wake_at\t{node}\tcall-{:016x}\t{}", call.0, millis(*after))
        }
        Action::Probe { server } => writeln!(out, "poll\t{node}\t{}", server.0),
        Action::SendToPeer { to, bytes } => {
            let to = to.map_or(-1, i64::from);
            writeln!(out, "post\t{node}\t{to}\t{}", STANDARD.encode(bytes))
        }
        Action::WatchServerList => writeln!(out, "observe\t{node}\t1"),
        Action::Log(text) => {
            let text = text.replace(['\n', '\t', '\r'], " ");
            writeln!(out, "log\t{node}\tt={:.1}s {text}", now as f64 / 1e6)
        }
    };
    written.expect("writing to a string cannot fail");
}
