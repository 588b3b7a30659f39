//! What a message says of itself, as far as rules ask for it.

use steprelay_signalling::isup;
use steprelay_signalling::m3ua::{self, tag, ProtocolData};

use crate::plan::{Framing, Match};

/// Whether a message is what a rule asks for, but for where it came.
pub fn fit(matches: &Match, framing: Framing, message: &[u8]) -> bool {
    let line = [&matches.op, &matches.call, &matches.class].iter().any(|wanted| wanted.is_some());
    if (line || matches.cause.is_some()) && !line_fits(matches, framing, message) {
        return false;
    }
    let signalling = matches.m3ua.is_some() || matches.isup.is_some() || matches.circuit.is_some();
    !signalling || signalling_fits(matches, framing, message)
}

fn line_fits(matches: &Match, framing: Framing, message: &[u8]) -> bool {
    if framing != Framing::Lines {
        return false;
    }
    let Ok(line) = serde_json::from_slice::<serde_json::Value>(message) else { return false };
    let same = |wanted: &Option<String>, found: &serde_json::Value| {
        wanted.as_deref().is_none_or(|wanted| found.as_str() == Some(wanted))
    };
    same(&matches.op, &line["op"])
        && same(&matches.call, &line["call"])
        && same(&matches.class, &line["with"]["class"])
        && matches.cause.is_none_or(|wanted| line["why"].as_u64() == Some(wanted.into()))
}

fn signalling_fits(matches: &Match, framing: Framing, message: &[u8]) -> bool {
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
    let call = data.and_then(|data| ProtocolData::read(data).ok());
    let Some(call) = call.and_then(|data| isup::Message::read(data.payload).ok()) else { return false };
    matches.isup.is_none_or(|wanted| wanted == call.body.kind())
        && matches.circuit.is_none_or(|wanted| wanted == call.circuit)
}
