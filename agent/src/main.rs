//! steprelay: a call agent on real sockets round the decisions of `steprelay-decisions`.

mod board;
mod cli;
mod config;
mod core;
mod front;
mod net;
mod snmp;

fn main() -> std::process::ExitCode {
    cli::main()
}
