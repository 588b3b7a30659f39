//! steprelay: a call agent on real sockets round the decisions of `steprelay-decisions`.

mod bounds;
mod cli;
mod config;
mod conformance;
mod discovery;
mod fleet;
mod front;
mod inherited;
mod net;
mod ops;
mod ports;
mod predecessor;
mod serve;
mod snmp;
mod trace;

fn main() -> std::process::ExitCode {
    cli::main()
}
