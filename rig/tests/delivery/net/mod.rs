//! The agent's own code of replication, compiled as it is, and the owner around it.

#[allow(dead_code, reason = "the agent uses more of it")]
#[path = "../../../../agent/src/net/copies.rs"]
pub mod copies;
pub mod owner;
