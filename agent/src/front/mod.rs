//! The fronts: each translates one kind of signalling to and from the core's requests and outcomes.

pub mod m3ua;
#[cfg(test)]
mod pieces;
pub mod platform;
