//! The platform front: signalling in JSON lines over TCP.

pub mod clients;
pub mod json;
pub mod message;
pub mod servers;
