//! Tests of the time taken for SIGTERM.

use super::*;
use std::process::Command;
use std::time::{Duration, Instant};

/// Guards against a shutdown deadline that counts from when the runtime reads the signal: during a long turn
/// the runtime read it 0.4 s late.
#[test]
fn takes_the_time_of_sigterm_while_its_own_runtime_is_busy() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let clock = Clock::start();
        let mut terminated = first_sigterm(clock).expect("the signal handler is installed");
        let sent = Command::new("kill").args(["-TERM", &std::process::id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
        // Keeps the runtime busy until the time is taken.
        let began = Instant::now();
        let at = loop {
            if let Ok(at) = terminated.try_recv() {
                break at;
            }
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "the signal is not read while the runtime is busy"
            );
            std::thread::yield_now();
        };
        assert!(at <= clock.now());
    });
}
