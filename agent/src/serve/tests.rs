//! The moment of SIGTERM.

use super::*;
use std::process::Command;
use std::time::{Duration, Instant};

/// Guards against a process that counts the time to its kill from when it comes to read the signal: busy with
/// a long turn, it read it 0.4 s late.
#[test]
fn takes_the_time_of_sigterm_while_its_own_runtime_is_busy() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let clock = Clock::start();
        let mut terminated = first_sigterm(clock).expect("it can be heard of");
        let sent = Command::new("kill").args(["-TERM", &std::process::id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
        // A turn that goes on until the moment was taken.
        let began = Instant::now();
        let at = loop {
            if let Ok(at) = terminated.try_recv() {
                break at;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "the signal waits for the runtime");
            std::thread::yield_now();
        };
        assert!(at <= clock.now());
    });
}
