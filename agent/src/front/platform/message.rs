//! Lines of the platform's signalling: one JSON object each.

use std::borrow::Cow;
use std::io::{self, Write};

use steprelay_core::ReleaseCause;
use steprelay_decisions::{CallId, Cause, Report};
use steprelay_settings::report_slot;

use super::json::{NotJson, Reader};
use crate::ports::conn::Split;
use crate::ports::pool::{Buffer, MAX_MESSAGE_LEN};

/// A line as read, with the fields that any party may send.
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

/// Lines end with a line feed; one that is longer than a message may be can't be followed.
pub fn split(bytes: &[u8]) -> Split {
    match bytes.iter().position(|&byte| byte == b'\n') {
        Some(at) if at <= MAX_MESSAGE_LEN => Split::Whole(at + 1),
        None if bytes.len() <= MAX_MESSAGE_LEN => Split::Partial,
        _ => Split::Broken,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("not UTF-8")]
    NotText,
    #[error(transparent)]
    NotJson(#[from] NotJson),
    #[error("no call named by 16 hex digits")]
    NoCall,
    #[error("no message of a server")]
    NotAServers,
    #[error("a description that no server made")]
    Spoilt,
}

impl<'a> Message<'a> {
    pub fn read(line: &'a [u8]) -> Result<Self, Unreadable> {
        let text = std::str::from_utf8(line).map_err(|_| Unreadable::NotText)?;
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

    pub fn named_call(&self) -> Result<CallId, Unreadable> {
        self.call.ok_or(Unreadable::NoCall)
    }

    pub fn cause(&self) -> ReleaseCause {
        ReleaseCause(self.why.unwrap_or(ReleaseCause::UNSPECIFIED.0))
    }

    /// The report that it carries, of figures that are `told` of, and how many others were in it: some that
    /// the settings do not name, or that cannot be. Those count for nothing.
    pub fn report(&self, told: Option<Report>) -> (Report, u64) {
        let (mut report, mut unfit) = (Report::default(), 0);
        for (name, value) in self.load.as_deref().map(pairs).into_iter().flatten() {
            let is_told =
                told.is_none_or(|mut told| report_slot(&mut told, name).is_some_and(|slot| slot.is_some()));
            let figure = figure(value);
            match report_slot(&mut report, name).filter(|_| is_told && figure.is_some()) {
                Some(slot) => *slot = figure,
                None => unfit += 1,
            }
        }
        (report, unfit)
    }

    pub fn noted(&self) -> Cause {
        match self.note.as_deref() {
            Some("blocked") => Cause::NoLine,
            Some("bounced" | "far_swamped") => Cause::TurnedBack,
            Some("swamped") => {
                let wait = self.waited.as_deref().and_then(figure);
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

/// A figure that can be: a number from 0 on.
fn figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|figure: &f64| figure.is_finite() && *figure >= 0.0)
}

fn call_id(text: &str) -> Option<CallId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok().map(CallId)).flatten()
}

/// Writes a line. `fields` are given with their values; strings all of them.
pub fn write(
    buffer: &mut Buffer,
    op: &str,
    call: CallId,
    fields: &[(&str, &str)],
    why: Option<u8>,
    description: Option<&str>,
) -> io::Result<()> {
    write!(buffer, "{{\"op\":\"{op}\",\"call\":\"{:016x}\",\"with\":{{", call.0)?;
    for (place, (name, value)) in fields.iter().enumerate() {
        let comma = if place > 0 { "," } else { "" };
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
            // Short as they came, so that no message outgrows the protocol on its way through.
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
