//! Callers that load the program, and what it holds meanwhile.
#![allow(dead_code)]

use crate::common::{end, Agent, Lines};

/// Makes calls from the first to the last, so many open at once, and ends each that stands.
pub fn make_calls(caller: &mut Lines, calls: u64, open: u64) {
    (1..=open).for_each(|call| caller.offer(call, 9000, 0));
    for next in open + 1..=calls + open {
        let message = caller.next().expect("an answer");
        assert_eq!(message["op"], "accept", "{message}");
        caller.say(end(u64::from_str_radix(message["call"].as_str().expect("text"), 16).expect("hex"), 16));
        if next <= calls {
            caller.offer(next, 9000, 0);
        }
    }
}

/// Bytes of memory that it holds.
pub fn memory(agent: &Agent) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/status", agent.id())).expect("it runs");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("told");
    let kib = line.trim().trim_end_matches(" kB").trim();
    kib.parse::<usize>().expect("a number") * 1024
}

/// Seconds of processor time that its one thread has used.
pub fn processor(agent: &Agent) -> f64 {
    // In nanoseconds; the ticks of `stat` are too coarse for runs of a second.
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", agent.id())).expect("it runs");
    text.split(' ').next().expect("figures").parse::<f64>().expect("a number") / 1e9
}
