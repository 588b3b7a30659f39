//! Transcripts of the simulator's protocol: input, output and the handling of invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = concat!(
    r#"{"groupSize":2,"me":0,"services":[{"sloMs":1200.0,"hardLimitMs":9000.0,"importance":1.0,"#,
    r#""lateShare":0.2,"idempotency":"idempotent","news":[]}],"policyLimits":{"tryLimit":3,"#,
    r#""retryAfter":true,"maxRetryAfterMs":2000.0},"specifics":{"clearWaitMs":300.0,"homeNo":-1,"#,
    r#""allowedPools":[[0,1]]},"colour":"blue"}"#
);

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_steprelay-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first invalid line.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn start_instance(node: &str) -> String {
    format!(
        "power_on\t{node}\t51\t{SETUP}\ncensus\t0\t2\nm\t70\t-\t0\t0\t1\t0\tready\n\
         m\t71\t900.5\t0\t1\t1\t1\tready\nregistry\t{node}\tremembered\t4\t0\n"
    )
}

fn call_message(node: &str, call: &str) -> String {
    format!("order\t{node}\t{call}\t1\t0\tline-a\t-\t0\t-\t0\t3000.5\t-1\n")
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8")
}

#[test]
fn an_empty_batch_is_acknowledged_with_its_number() {
    assert_eq!(replies("turn\t8412.25\t1\nend\n"), "yield\t1\n");
}

#[test]
fn a_call_refused_by_a_full_server_is_sent_to_another() {
    let call = "b5ce98935d3a91c4";
    let text = format!(
        "turn\t90000.25\t7\n{}{}end\nturn\t90010.25\t8\n\
         attempt_end\tnode-3\t{call}\t10.0\t70\t1\t0\t30\t0\tspare:0,total:9,new:3,lat_ms:-1\nend\n",
        start_instance("node-3"),
        call_message("node-3", call)
    );
    let replies = replies(&text);
    assert!(replies.contains(&format!("place\tnode-3\t{call}\t70\t93000.75\n")), "{replies}");
    assert!(replies.contains(&format!("place\tnode-3\t{call}\t71\t93000.75\n")), "{replies}");
    assert!(replies.ends_with("yield\t8\n"));
}

#[test]
fn an_instance_can_restart_within_a_batch_and_lists_apply_in_order() {
    let text = format!(
        "turn\t90000.25\t7\n{}retire\tnode-3\n{}{}census\t0\t1\nm\t72\t-\t0\t0\t1\t0\tready\n\
         registry\tnode-3\tall\t5\t0\n{}end\n",
        start_instance("node-3"),
        start_instance("node-3"),
        call_message("node-3", "00000000000000aa"),
        call_message("node-3", "00000000000000ab"),
    );
    let replies = replies(&text);
    assert!(replies.contains("place\tnode-3\t00000000000000aa\t70\t"), "{replies}");
    assert!(replies.contains("place\tnode-3\t00000000000000ab\t72\t"), "{replies}");
}

#[test]
fn instances_are_independent() {
    let call = "0000000000000001";
    let alone = replies(&format!(
        "turn\t90000.25\t1\n{}{}end\n",
        start_instance("node-2"),
        call_message("node-2", call)
    ));
    let both = replies(&format!(
        "turn\t90000.25\t1\n{}{}{}{}end\n",
        start_instance("node-1"),
        start_instance("node-2"),
        call_message("node-1", "0000000000000002"),
        call_message("node-2", "0000000000000001")
    ));
    let own: Vec<&str> = both.lines().filter(|line| !line.contains("node-1")).collect();
    assert_eq!(own, alone.lines().collect::<Vec<_>>());
}

#[test]
fn unknown_messages_are_skipped_and_logged_once() {
    let output = run("turn\t1.0\t1\nweather\tnode-1\tfine\nweather\tnode-1\tfine\nend\n");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "yield\t1\n");
    assert_eq!(String::from_utf8_lossy(&output.stderr).matches("weather").count(), 1);
}

#[test]
fn invalid_input_ends_the_adapter_with_one_error_line() {
    let prefix = format!("turn\t90000.25\t1\n{}", start_instance("node-1"));
    for (input, line, field) in [
        ("turn\tnoon\t1\n".to_string(), 1, "clock"),
        ("turn\t1.0\n".to_string(), 1, "batch"),
        ("turn\t1.0\t1\ngone\tnode-9\tb5ce98935d3a91c4\n".to_string(), 2, "nodeId"),
        ("turn\t1.0\t1\nretire\tnode-9\n".to_string(), 2, "nodeId"),
        ("turn\t1.0\t1\npower_on\tnode-1\t5\t{\n".to_string(), 2, "setup"),
        (format!("{prefix}order\tnode-1\txyz\n"), 7, "call"),
        (format!("{prefix}order\tnode-1\tb5ce98935d3a91c4\t1\t0\tline-a\n"), 7, "costGuessMs"),
        (format!("{prefix}attempt_end\tnode-1\tb5ce98935d3a91c4\t1\t70\t-\t0\t99\t0\t-\n"), 7, "rc"),
        (format!("{prefix}heard\tnode-1\t1\t***\n"), 7, "contents"),
        (format!("{prefix}registry\tnode-1\tall\t3\t9\n"), 7, "ref"),
        (format!("{prefix}census\t1\t2\nm\t70\t-\t0\t0\t1\t0\tready\nend\n"), 9, "entries"),
    ] {
        let output = run(&input);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input:?} was accepted");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(&format!("line {line}:")) && message.contains(field), "{message}");
        assert!(!message.contains("panic"));
    }
}
