//! The fronts: each translates between one signalling protocol and the core's requests and outcomes.

pub mod m3ua;
#[cfg(test)]
mod pieces;
pub mod platform;
