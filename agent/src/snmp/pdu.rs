//! Decoding of SNMP requests and encoding of their responses.

use std::ops::Bound;

use rasn::types::{Integer, ObjectIdentifier};
use rasn_snmp::v2::{Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

use super::mib::Objects;

/// Most variable bindings in a GETBULK response; a response may have fewer repetitions than requested.
const MAX_VARIABLE_BINDINGS: usize = 128;
/// Longest response in bytes.
const MAX_RESPONSE_LEN: usize = 16 * 1024;

/// Decodes a request of this community; `None` for anything else, which gets no response.
pub fn decode_request(bytes: &[u8], community: &[u8]) -> Option<Message<Pdus>> {
    let message: Message<Pdus> = rasn::ber::decode(bytes).ok()?;
    let is_authorized =
        message.version == Integer::from(Message::<Pdus>::VERSION) && message.community == community;
    let is_request = matches!(
        message.data,
        Pdus::GetRequest(_) | Pdus::GetNextRequest(_) | Pdus::GetBulkRequest(_) | Pdus::SetRequest(_)
    );
    (is_authorized && is_request).then_some(message)
}

/// Encodes the response to a request; `None` if not even the error response fits into a response.
pub fn encode_response(request: Message<Pdus>, objects: &Objects) -> Option<Vec<u8>> {
    let (request_id, names, outcome) = match request.data {
        Pdus::GetRequest(request) => {
            let found =
                request.0.variable_bindings.iter().map(|requested| get(objects, &requested.name)).collect();
            (request.0.request_id, request.0.variable_bindings, Ok(found))
        }
        Pdus::GetNextRequest(request) => {
            let found = request
                .0
                .variable_bindings
                .iter()
                .map(|requested| get_next(objects, &requested.name))
                .collect();
            (request.0.request_id, request.0.variable_bindings, Ok(found))
        }
        Pdus::GetBulkRequest(bulk) => {
            let bulk = bulk.0;
            let (fixed, repeated) = bulk
                .variable_bindings
                .split_at((bulk.non_repeaters as usize).min(bulk.variable_bindings.len()));
            let mut found: Vec<VarBind> =
                fixed.iter().map(|requested| get_next(objects, &requested.name)).collect();
            let mut row: Vec<ObjectIdentifier> =
                repeated.iter().map(|requested| requested.name.clone()).collect();
            for _ in 0..bulk.max_repetitions {
                if row.is_empty() || found.len() + row.len() > MAX_VARIABLE_BINDINGS {
                    break;
                }
                let values: Vec<_> = row.iter().map(|name| get_next(objects, name)).collect();
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
        rasn::ber::encode(&message).ok().filter(|bytes| bytes.len() <= MAX_RESPONSE_LEN)
    };
    match outcome {
        Ok(found) => response(Pdu::ERROR_STATUS_NO_ERROR, 0, found)
            .or_else(|| response(Pdu::ERROR_STATUS_TOO_BIG, 0, Vec::new())),
        Err(error) => response(error, 1, names),
    }
}

fn get(objects: &Objects, name: &ObjectIdentifier) -> VarBind {
    let value = objects.get(&name[..]);
    let value = value.map_or(VarBindValue::NoSuchInstance, |value| VarBindValue::Value(value.clone()));
    VarBind { name: name.clone(), value }
}

fn get_next(objects: &Objects, name: &ObjectIdentifier) -> VarBind {
    let after = (Bound::Excluded(name.to_vec()), Bound::Unbounded);
    match objects.range(after).next() {
        Some((next, value)) => VarBind {
            name: ObjectIdentifier::new_unchecked(next.clone().into()),
            value: VarBindValue::Value(value.clone()),
        },
        None => VarBind { name: name.clone(), value: VarBindValue::EndOfMibView },
    }
}
