//! Requests and their responses.

use std::ops::Bound;

use rasn::types::{Integer, ObjectIdentifier};
use rasn_snmp::v2::{Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

use super::mib::Objects;

/// A response with more variables than this is cut short, as GETBULK permits.
const MOST_VARIABLES: usize = 128;
/// No response is longer.
const LONGEST: usize = 16 * 1024;

/// Reads a request of this community; `None` for anything else, which gets no answer.
pub fn read(bytes: &[u8], community: &[u8]) -> Option<Message<Pdus>> {
    let message: Message<Pdus> = rasn::ber::decode(bytes).ok()?;
    let known = message.version == Integer::from(Message::<Pdus>::VERSION) && message.community == community;
    let request = matches!(
        message.data,
        Pdus::GetRequest(_) | Pdus::GetNextRequest(_) | Pdus::GetBulkRequest(_) | Pdus::SetRequest(_)
    );
    (known && request).then_some(message)
}

/// The response to a request; `None` where even its error would not fit.
pub fn answer(request: Message<Pdus>, objects: &Objects) -> Option<Vec<u8>> {
    let (request_id, names, outcome) = match request.data {
        Pdus::GetRequest(get) => {
            let found = get.0.variable_bindings.iter().map(|asked| exact(objects, &asked.name)).collect();
            (get.0.request_id, get.0.variable_bindings, Ok(found))
        }
        Pdus::GetNextRequest(get) => {
            let found = get.0.variable_bindings.iter().map(|asked| next(objects, &asked.name)).collect();
            (get.0.request_id, get.0.variable_bindings, Ok(found))
        }
        Pdus::GetBulkRequest(bulk) => {
            let bulk = bulk.0;
            let (fixed, repeated) = bulk
                .variable_bindings
                .split_at((bulk.non_repeaters as usize).min(bulk.variable_bindings.len()));
            let mut found: Vec<VarBind> = fixed.iter().map(|asked| next(objects, &asked.name)).collect();
            let mut row: Vec<ObjectIdentifier> = repeated.iter().map(|asked| asked.name.clone()).collect();
            for _ in 0..bulk.max_repetitions {
                if row.is_empty() || found.len() + row.len() > MOST_VARIABLES {
                    break;
                }
                let values: Vec<_> = row.iter().map(|name| next(objects, name)).collect();
                row = values.iter().map(|value| value.name.clone()).collect();
                let ended = values.iter().all(|value| value.value == VarBindValue::EndOfMibView);
                found.extend(values);
                if ended {
                    break;
                }
            }
            (bulk.request_id, bulk.variable_bindings, Ok(found))
        }
        Pdus::SetRequest(set) => {
            (set.0.request_id, set.0.variable_bindings, Err(Pdu::ERROR_STATUS_NOT_WRITABLE))
        }
        _ => return None,
    };
    let response = |error_status, error_index, variable_bindings| {
        let data = Response(Pdu { request_id, error_status, error_index, variable_bindings });
        let message =
            Message { version: request.version.clone(), community: request.community.clone(), data };
        rasn::ber::encode(&message).ok().filter(|bytes| bytes.len() <= LONGEST)
    };
    match outcome {
        Ok(found) => response(Pdu::ERROR_STATUS_NO_ERROR, 0, found)
            .or_else(|| response(Pdu::ERROR_STATUS_TOO_BIG, 0, Vec::new())),
        Err(error) => response(error, 1, names),
    }
}

fn exact(objects: &Objects, name: &ObjectIdentifier) -> VarBind {
    let value = objects.get(&name[..]);
    let value = value.map_or(VarBindValue::NoSuchInstance, |value| VarBindValue::Value(value.clone()));
    VarBind { name: name.clone(), value }
}

fn next(objects: &Objects, name: &ObjectIdentifier) -> VarBind {
    let after = (Bound::Excluded(name.to_vec()), Bound::Unbounded);
    match objects.range(after).next() {
        Some((next, value)) => VarBind {
            name: ObjectIdentifier::new_unchecked(next.clone().into()),
            value: VarBindValue::Value(value.clone()),
        },
        None => VarBind { name: name.clone(), value: VarBindValue::EndOfMibView },
    }
}
