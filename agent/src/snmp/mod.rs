//! A read-only SNMP v2c agent for monitoring; it serves `mibs/STEPRELAY-MIB`.

mod mib;
mod pdu;

use std::net::SocketAddr;

use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::ports::{Input, RequestSignallingFigures, Shared};

/// The configuration of the SNMP agent (`deploy/snmp.toml`).
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    pub listen: SocketAddr,
    community: String,
}

/// Longest request in bytes, more than any valid request takes.
const MAX_REQUEST_LEN: usize = 8 * 1024;

/// Answers requests one after the other, each from a current snapshot.
pub async fn serve(
    socket: UdpSocket,
    config: SnmpConfig,
    shared: Shared,
    signalling: RequestSignallingFigures,
) {
    let mut bytes = vec![0; MAX_REQUEST_LEN];
    let mut bad_requests = 0;
    loop {
        // An error here means that an earlier peer has closed its port; the next request is not affected.
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
        let Some(request) = pdu::decode_request(&bytes[..length], config.community.as_bytes()) else {
            bad_requests += 1;
            continue;
        };
        let (ask, answer) = oneshot::channel();
        if shared.inputs.send(Input::Snapshot(ask)).await.is_err() {
            return;
        }
        let Ok(snapshot) = answer.await else { return };
        let signalling = signalling.as_ref().map(|ask| ask()).unwrap_or_default();
        if let Some(response) = pdu::encode_response(
            request,
            &mib::objects(&snapshot, &shared.site.class_names, &signalling, bad_requests),
        ) {
            let _ = socket.send_to(&response, from).await;
        }
    }
}
