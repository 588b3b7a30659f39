//! A rig for tests: real programs on loopback, each with a machine of its own (a process and a directory),
//! check servers and callers under load, and every link between members through [`steprelay_faults::mesh`].
//!
//! All that happens goes into one [`history`]. The [`checker`] judges it afterwards and shares no code with
//! the program: it goes by what callers and servers saw and by what machines really did, not by what they
//! claim.

pub mod checker;
pub mod child;
pub mod fault_run;
pub mod history;
pub mod peers;
pub mod rig;
pub mod soak;
pub mod trouble;
