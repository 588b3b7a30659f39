//! The soak's fake servers.

use serde_json::{json, Value};
use steprelay_rig::soak::plan::ServerKind;
use steprelay_rig::soak::record::Record;
use steprelay_rig::soak::servers::{self, hex};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{timeout, Duration};

/// Guards against the release of an attempt that was given up: it ended the next attempt of its call.
#[test]
fn an_attempt_that_was_given_up_is_neither_answered_nor_released() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let server = servers::start(1, ServerKind::Prompt, 7, Record::default()).await.expect("a port");
        let mut stream = BufReader::new(TcpStream::connect(server).await.expect("it listens"));
        let message = |op: &str| json!({"op": op, "call": hex(9), "with": {}});
        let lines = format!("{}\n{}\n{}\n", message("offer"), message("end"), message("offer"));
        stream.write_all(lines.as_bytes()).await.expect("it reads");
        let mut said = Vec::new();
        while said.last().is_none_or(|op| op != "end") {
            let mut line = String::new();
            let read = timeout(Duration::from_secs(20), stream.read_line(&mut line)).await;
            read.expect("it goes on").expect("readable");
            let message: Value = serde_json::from_str(&line).expect("JSON");
            said.push(message["op"].as_str().expect("text").to_string());
        }
        assert_eq!(said, ["group", "accept", "end"]);
    });
}
