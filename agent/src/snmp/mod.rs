//! A read-only SNMP v2c agent with a MIB of its own (`mibs/STEPRELAY-MIB`), for the operators' monitoring.

mod mib;
mod pdu;

use std::net::SocketAddr;

use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::ports::{Input, RequestSignallingFigures, Shared};

/// What `deploy/snmp.toml` says.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnmpConfig {
    pub listen: SocketAddr,
    community: String,
}

/// No request that makes sense is longer.
const LONGEST: usize = 8 * 1024;

/// Answers requests one after the other, each from figures of its moment.
pub async fn serve(
    socket: UdpSocket,
    config: SnmpConfig,
    shared: Shared,
    signalling: RequestSignallingFigures,
) {
    let mut bytes = vec![0; LONGEST];
    let mut bad = 0;
    loop {
        // An error here is a peer's that has closed its port: the next request is not concerned.
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
        let Some(request) = pdu::read(&bytes[..length], config.community.as_bytes()) else {
            bad += 1;
            continue;
        };
        let (ask, answer) = oneshot::channel();
        if shared.inputs.send(Input::Snapshot(ask)).await.is_err() {
            return;
        }
        let Ok(snapshot) = answer.await else { return };
        let signalling = signalling.as_ref().map(|ask| ask()).unwrap_or_default();
        if let Some(response) =
            pdu::answer(request, &mib::objects(&snapshot, &shared.site.class_names, &signalling, bad))
        {
            let _ = socket.send_to(&response, from).await;
        }
    }
}
