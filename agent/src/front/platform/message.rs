//! Messages of the platform's signalling: lines of one JSON object each.

use std::borrow::Cow;
use std::io::{self, Write};

use steprelay_core::ReleaseCause;
use steprelay_decisions::{CallId, Cause, Report};
use steprelay_settings::report_slot;

use super::json::{JsonError, Reader};
use crate::ports::conn::Split;
use crate::ports::pool::{Buffer, MAX_MESSAGE_LEN};

/// A message as read, with the fields that clients and servers may send.
#[derive(Debug, Default, PartialEq)]
pub struct Message<'a> {
    pub op: Cow<'a, str>,
    pub call: Option<CallId>,
    pub class: Option<Cow<'a, str>>,
    pub left: Option<Cow<'a, str>>,
    pub tenant: Option<Cow<'a, str>>,
    pub key: Option<Cow<'a, str>>,
    pub extras: Option<Cow<'a, str>>,
    pub note: Option<Cow<'a, str>>,
    pub waited: Option<Cow<'a, str>>,
    pub load: Option<Cow<'a, str>>,
    pub why: Option<u8>,
    pub description: Option<Cow<'a, str>>,
}

/// Returns the length of the first line, which ends with a line feed. A line that exceeds the longest message
/// breaks the stream.
pub fn split(bytes: &[u8]) -> Split {
    match bytes.iter().position(|&byte| byte == b'\n') {
        Some(at) if at <= MAX_MESSAGE_LEN => Split::Whole(at + 1),
        None if bytes.len() <= MAX_MESSAGE_LEN => Split::Partial,
        _ => Split::Broken,
    }
}

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error(transparent)]
    JsonError(#[from] JsonError),
    #[error("no call id of 16 hex digits")]
    MissingCallId,
    #[error("not a message of a server")]
    UnexpectedOp,
    #[error("invalid description")]
    InvalidDescription,
}

impl<'a> Message<'a> {
    pub fn read(line: &'a [u8]) -> Result<Self, MessageError> {
        let text = std::str::from_utf8(line).map_err(|_| MessageError::NotUtf8)?;
        let mut reader = Reader::new(text);
        let mut message = Message::default();
        reader.object(|name, reader| {
            match name {
                "op" => message.op = reader.scalar()?.into_text().unwrap_or_default(),
                "call" => message.call = reader.scalar()?.into_text().and_then(|text| call_id(&text)),
                "why" => {
                    message.why = reader.scalar()?.into_text().and_then(|text| text.parse().ok());
                }
                "desc" => message.description = reader.scalar()?.into_text(),
                "with" => reader.object(|name, reader| {
                    let value = reader.scalar()?.into_text();
                    match name {
                        "class" => message.class = value,
                        "left" => message.left = value,
                        "tenant" => message.tenant = value,
                        "key" => message.key = value,
                        "extras" => message.extras = value,
                        "note" => message.note = value,
                        "waited" => message.waited = value,
                        "load" => message.load = value,
                        _ => {}
                    }
                    Ok(())
                })?,
                _ => {
                    reader.scalar()?;
                }
            }
            Ok(())
        })?;
        reader.end()?;
        Ok(message)
    }

    pub fn required_call(&self) -> Result<CallId, MessageError> {
        self.call.ok_or(MessageError::MissingCallId)
    }

    pub fn cause(&self) -> ReleaseCause {
        ReleaseCause(self.why.unwrap_or(ReleaseCause::UNSPECIFIED.0))
    }

    /// Returns the report of the message and the number of its figures that were ignored: those that are not
    /// in `declared`, the fields that the settings name (`None` for all), and those with an invalid value.
    pub fn report(&self, declared: Option<Report>) -> (Report, u64) {
        let (mut report, mut ignored) = (Report::default(), 0);
        for (name, value) in self.load.as_deref().map(pairs).into_iter().flatten() {
            let is_declared = declared.is_none_or(|mut declared| {
                report_slot(&mut declared, name).is_some_and(|slot| slot.is_some())
            });
            let figure = parse_figure(value);
            match report_slot(&mut report, name).filter(|_| is_declared && figure.is_some()) {
                Some(slot) => *slot = figure,
                None => ignored += 1,
            }
        }
        (report, ignored)
    }

    /// The cause of a refusal, from the message's note.
    pub fn refusal_cause(&self) -> Cause {
        match self.note.as_deref() {
            Some("blocked") => Cause::NoLine,
            Some("bounced" | "far_swamped") => Cause::TurnedBack,
            Some("swamped") => {
                let wait = self.waited.as_deref().and_then(parse_figure);
                Cause::ProcessorFull { wait: wait.map(steprelay_settings::micros) }
            }
            Some("occupied") => Cause::NumberBusy,
            _ => Cause::Untold,
        }
    }
}

fn pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(';').filter_map(|pair| pair.split_once(':'))
}

/// Parses a figure, a finite number that is not negative.
fn parse_figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|figure: &f64| figure.is_finite() && *figure >= 0.0)
}

fn call_id(text: &str) -> Option<CallId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok().map(CallId)).flatten()
}

/// Writes a message. All values of `fields` are written as strings.
pub fn write(
    buffer: &mut Buffer,
    op: &str,
    call: CallId,
    fields: &[(&str, &str)],
    why: Option<u8>,
    description: Option<&str>,
) -> io::Result<()> {
    write!(buffer, "{{\"op\":\"{op}\",\"call\":\"{:016x}\",\"with\":{{", call.0)?;
    for (index, (name, value)) in fields.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        write!(buffer, "{comma}\"{name}\":")?;
        write_string(buffer, value)?;
    }
    buffer.write_all(b"}")?;
    if let Some(why) = why {
        write!(buffer, ",\"why\":{why}")?;
    }
    if let Some(description) = description {
        buffer.write_all(b",\"desc\":")?;
        write_string(buffer, description)?;
    }
    buffer.write_all(b"}\n")
}

fn write_string(buffer: &mut Buffer, text: &str) -> io::Result<()> {
    buffer.write_all(b"\"")?;
    let mut plain = 0;
    for (at, byte) in text.bytes().enumerate() {
        if !matches!(byte, b'"' | b'\\' | 0..0x20) {
            continue;
        }
        buffer.write_all(&text.as_bytes()[plain..at])?;
        plain = at + 1;
        match byte {
            b'"' => buffer.write_all(b"\\\"")?,
            b'\\' => buffer.write_all(b"\\\\")?,
            b'\n' => buffer.write_all(b"\\n")?,
            b'\r' => buffer.write_all(b"\\r")?,
            b'\t' => buffer.write_all(b"\\t")?,
            // Uses the short escapes, as senders may, so that a relayed message does not grow past the limit.
            0x08 => buffer.write_all(b"\\b")?,
            0x0c => buffer.write_all(b"\\f")?,
            _ => write!(buffer, "\\u{byte:04x}")?,
        }
    }
    buffer.write_all(&text.as_bytes()[plain..])?;
    buffer.write_all(b"\"")
}

#[cfg(test)]
mod tests;
