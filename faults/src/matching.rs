//! Matches rules against the content of messages.

use steprelay_signalling::isup;
use steprelay_signalling::m3ua::{self, tag, ProtocolData};

use crate::plan::{Framing, Match};

/// Whether the content of a message satisfies a rule. Where the message was received is checked elsewhere.
pub fn matches(matches: &Match, framing: Framing, message: &[u8]) -> bool {
    let has_line_rule = [&matches.op, &matches.call, &matches.class].iter().any(|wanted| wanted.is_some());
    if (has_line_rule || matches.cause.is_some()) && !line_matches(matches, framing, message) {
        return false;
    }
    let has_signalling_rule = matches.m3ua.is_some() || matches.isup.is_some() || matches.circuit.is_some();
    !has_signalling_rule || signalling_matches(matches, framing, message)
}

fn line_matches(matches: &Match, framing: Framing, message: &[u8]) -> bool {
    if framing != Framing::Lines {
        return false;
    }
    let Ok(line) = serde_json::from_slice::<serde_json::Value>(message) else { return false };
    let is_match = |wanted: &Option<String>, found: &serde_json::Value| {
        wanted.as_deref().is_none_or(|wanted| found.as_str() == Some(wanted))
    };
    is_match(&matches.op, &line["op"])
        && is_match(&matches.call, &line["call"])
        && is_match(&matches.class, &line["with"]["class"])
        && matches.cause.is_none_or(|wanted| line["why"].as_u64() == Some(wanted.into()))
}

fn signalling_matches(matches: &Match, framing: Framing, message: &[u8]) -> bool {
    let Some(&[_, _, class, kind]) = message.first_chunk().filter(|_| framing == Framing::M3ua) else {
        return false;
    };
    if matches.m3ua.is_some_and(|wanted| wanted != (class, kind)) {
        return false;
    }
    if matches.isup.is_none() && matches.circuit.is_none() {
        return true;
    }
    let data = m3ua::Message::read(message).ok().and_then(|message| message.parameter(tag::PROTOCOL_DATA));
    let user_part = data.and_then(|data| ProtocolData::read(data).ok());
    let Some(message) = user_part.and_then(|data| isup::Message::read(data.payload).ok()) else {
        return false;
    };
    matches.isup.is_none_or(|wanted| wanted == message.body.kind())
        && matches.circuit.is_none_or(|wanted| wanted == message.circuit)
}
