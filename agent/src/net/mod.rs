//! The owner of the core, and the connections to servers that it keeps.
//!
//! All tasks run on one thread, so nothing here is locked. The owner never waits for a connection, and a
//! connection that waits for the owner holds up its own peer only.

pub mod copies;
mod links;
pub mod owner;
