//! Ids of calls on circuits, which arrive without an id. Such an id names the client and its circuit, so that
//! a process that was started after the call was established can still relay its release.

use steprelay_decisions::CallId;

use super::ClientId;

/// Tells these ids from others, which are random.
const MARKER: u64 = 0x4d33;
const CIRCUIT_BITS: u32 = 12;
const INCARNATION_BITS: u32 = 10;
const SERIAL_BITS: u32 = 18;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitCall {
    /// The index of the client among those with circuit-bound calls.
    pub client: u8,
    pub circuit: u16,
    /// Tells this incarnation of the process from earlier ones, with near certainty.
    pub incarnation: u16,
}

fn low_bits(value: u64, bits: u32) -> u64 {
    value & ((1 << bits) - 1)
}

impl CircuitCall {
    pub fn id(self, serial: u64) -> CallId {
        let client = MARKER << 8 | u64::from(self.client);
        let circuit = client << CIRCUIT_BITS | low_bits(self.circuit.into(), CIRCUIT_BITS);
        let incarnation = circuit << INCARNATION_BITS | low_bits(self.incarnation.into(), INCARNATION_BITS);
        CallId(incarnation << SERIAL_BITS | low_bits(serial, SERIAL_BITS))
    }

    pub fn of(call: CallId) -> Option<Self> {
        let incarnation = call.0 >> SERIAL_BITS;
        let circuit = incarnation >> INCARNATION_BITS;
        let client = circuit >> CIRCUIT_BITS;
        (client >> 8 == MARKER).then_some(CircuitCall {
            client: client as u8,
            circuit: low_bits(circuit, CIRCUIT_BITS) as u16,
            incarnation: low_bits(incarnation, INCARNATION_BITS) as u16,
        })
    }

    pub fn client_id(self) -> ClientId {
        ClientId(ClientId::CIRCUIT_BOUND | u64::from(self.client))
    }
}
