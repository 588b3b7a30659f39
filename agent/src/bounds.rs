//! Bounds on what peers can make this process hold, derived from its memory limit and its descriptors.
//!
//! The memory is divided into fixed shares. Each collection that a peer's input fills belongs to one share,
//! and refuses or closes what exceeds it (`docs/memory.md`).

use steprelay_core::CoreLimits;

use crate::ports::pool::{BUFFER_SIZE, MAX_MESSAGE_LEN};

/// Shares of the memory, of [`SHARES`] in all. What is left is for the program itself and its allocator.
const SHARES: usize = 32;
const CONNECTION_SHARES: usize = 12;
const CALL_SHARES: usize = 5;
const INPUT_SHARES: usize = 2;
const NUMBER_SHARES: usize = 1;
const ENDED_CALL_SHARES: usize = 1;

/// Memory in bytes of a connection beside its read buffer: its task and the smallest send queue.
const CONNECTION_BYTES: usize = 8 << 10;
/// Memory in bytes of a call beside its number and description: its entries in the core and the decisions.
const CALL_BYTES: usize = 512;
/// Memory in bytes of a remembered number, in both tables of the decisions.
const NUMBER_BYTES: usize = 96;
/// Memory in bytes of the id of an ended call, in both generations, at the lowest load of their tables.
const ENDED_CALL_BYTES: usize = 96;
const MAX_ENDED_CALLS: usize = 20_000;
const MIN_INPUTS: usize = 64;
const MAX_INPUTS: usize = 1024;

/// The bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub core: CoreLimits,
    /// Inputs that wait for the owner of the core.
    pub inputs: usize,
    /// Called numbers that the decisions remember.
    pub remembered_numbers: usize,
}

impl Bounds {
    /// `memory` in bytes; `own`: descriptors that are not for callers.
    pub fn new(memory: usize, sockets: usize, own: usize) -> Self {
        let share = memory / SHARES;
        let by_memory = CONNECTION_SHARES * share / (BUFFER_SIZE + CONNECTION_BYTES);
        // One peer may hold a third of the descriptors; the second third is left to other callers.
        let by_descriptors = (sockets * 2 / 3).min(sockets.saturating_sub(own));
        Bounds {
            core: CoreLimits {
                connections: by_descriptors.min(by_memory).max(1),
                connections_per_peer: (sockets / 3).max(1),
                total_call_bytes: CALL_SHARES * share,
                call_bytes: CALL_BYTES,
                ended_calls: (ENDED_CALL_SHARES * share / ENDED_CALL_BYTES).clamp(1, MAX_ENDED_CALLS),
            },
            inputs: (INPUT_SHARES * share / MAX_MESSAGE_LEN).clamp(MIN_INPUTS, MAX_INPUTS),
            remembered_numbers: (NUMBER_SHARES * share / NUMBER_BYTES).max(1),
        }
    }
}
