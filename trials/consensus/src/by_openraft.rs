//! `openraft`: asynchronous, with tasks and timers of its own. A fake now is tokio's paused clock; its
//! network is a trait, and its store here the one that comes with it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::storage::Adaptor;
use openraft::{Config, Raft};
use openraft_memstore::{ClientRequest, MemNodeId, MemStore, TypeConfig};
use tokio::time::{sleep, Instant};

use crate::{Life, AFTER, BEFORE, BOUND, DELAY, EVERY, VOTERS};

type Node = Raft<TypeConfig>;

#[derive(Clone, Default)]
struct Net {
    nodes: Arc<Mutex<BTreeMap<MemNodeId, Node>>>,
    said: Arc<AtomicU64>,
    /// 0: nobody is cut off.
    cut: Arc<AtomicU64>,
}

struct Link {
    net: Net,
    from: MemNodeId,
    to: MemNodeId,
}

#[derive(Debug, thiserror::Error)]
#[error("cut off")]
struct Cut;

impl Link {
    /// Has the other one answer; the way there and the way back take their time.
    async fn ask<T, E: std::error::Error>(
        &self,
        ask: impl AsyncFnOnce(Node) -> Result<T, RaftError<MemNodeId, E>>,
    ) -> Result<T, Failed<E>> {
        self.net.said.fetch_add(2, Ordering::Relaxed);
        sleep(Duration::from_millis(DELAY)).await;
        let cut = self.net.cut.load(Ordering::Relaxed);
        let there = cut != self.from && cut != self.to;
        let nodes = self.net.nodes.lock().expect("no thread panics").clone();
        let other = nodes.get(&self.to).filter(|_| there).cloned();
        let other = other.ok_or_else(|| RPCError::Network(NetworkError::new(&Cut)))?;
        let answer = ask(other).await;
        sleep(Duration::from_millis(DELAY)).await;
        answer.map_err(|error| RPCError::RemoteError(RemoteError::new(self.to, error)))
    }
}

impl RaftNetworkFactory<TypeConfig> for Ends {
    type Network = Link;

    async fn new_client(&mut self, target: MemNodeId, _node: &()) -> Link {
        Link { net: self.net.clone(), from: self.from, to: target }
    }
}

/// The network as one of the nodes has it.
struct Ends {
    net: Net,
    from: MemNodeId,
}

type Failed<E = openraft::error::Infallible> = RPCError<MemNodeId, (), RaftError<MemNodeId, E>>;

impl RaftNetwork<TypeConfig> for Link {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        _option: RPCOption,
    ) -> Result<AppendEntriesResponse<MemNodeId>, Failed> {
        self.ask(async |other| other.append_entries(rpc).await).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        _option: RPCOption,
    ) -> Result<InstallSnapshotResponse<MemNodeId>, Failed<InstallSnapshotError>> {
        self.ask(async |other| other.install_snapshot(rpc).await).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<MemNodeId>,
        _option: RPCOption,
    ) -> Result<VoteResponse<MemNodeId>, Failed> {
        self.ask(async |other| other.vote(rpc).await).await
    }
}

/// The leader that a node which can be reached believes in and that can be reached itself.
async fn leader(net: &Net) -> Node {
    let started = Instant::now();
    loop {
        let cut = net.cut.load(Ordering::Relaxed);
        let nodes = net.nodes.lock().expect("no thread panics").clone();
        for (id, node) in &nodes {
            let metrics = node.metrics().borrow().clone();
            if *id != cut && metrics.current_leader == Some(*id) && metrics.state.is_leader() {
                return node.clone();
            }
        }
        assert!(started.elapsed() < Duration::from_millis(BOUND), "no leader");
        sleep(Duration::from_millis(1)).await;
    }
}

async fn give(net: &Net, command: u64) -> u64 {
    let node = leader(net).await;
    let started = Instant::now();
    let request = ClientRequest { client: "trial".into(), serial: command, status: command.to_string() };
    node.client_write(request).await.expect("taken");
    started.elapsed().as_millis() as u64
}

async fn scenario() -> Life {
    let (net, mut life) = (Net::default(), Life::default());
    // Patience as the other engines have it: heartbeats of 200 ms, elections after 1 to 2 s.
    let config = Config {
        heartbeat_interval: 200,
        election_timeout_min: 1_000,
        election_timeout_max: 2_000,
        ..Config::default()
    };
    let config = Arc::new(config.validate().expect("a good one"));
    for id in 1..=VOTERS {
        let (log, state) = Adaptor::new(MemStore::new_async().await);
        let ends = Ends { net: net.clone(), from: id };
        let node = Raft::new(id, config.clone(), ends, log, state).await.expect("a voter");
        net.nodes.lock().expect("no thread panics").insert(id, node);
    }
    let started = Instant::now();
    let first = net.nodes.lock().expect("no thread panics")[&1].clone();
    first.initialize((1..=VOTERS).collect::<std::collections::BTreeSet<_>>()).await.expect("founded");
    leader(&net).await;
    life.leader_ms = started.elapsed().as_millis() as u64;
    let before = net.said.load(Ordering::Relaxed);
    let mut times = Vec::new();
    for command in 0..BEFORE {
        times.push(give(&net, command).await);
        sleep(Duration::from_millis(EVERY)).await;
    }
    life.took(times);
    life.messages = net.said.load(Ordering::Relaxed) - before;
    let old = leader(&net).await.metrics().borrow().id;
    net.cut.store(old, Ordering::Relaxed);
    let cut = Instant::now();
    give(&net, BEFORE).await;
    life.next_ms = cut.elapsed().as_millis() as u64;
    for command in BEFORE + 1..BEFORE + AFTER {
        give(&net, command).await;
        sleep(Duration::from_millis(EVERY)).await;
    }
    net.cut.store(0, Ordering::Relaxed);
    let nodes = net.nodes.lock().expect("no thread panics").clone();
    let applied = || nodes.values().map(|node| node.metrics().borrow().last_applied).collect::<Vec<_>>();
    let healed = Instant::now();
    while applied().windows(2).any(|pair| pair[0] != pair[1]) {
        assert!(healed.elapsed() < Duration::from_millis(BOUND), "not the same in time");
        sleep(Duration::from_millis(1)).await;
    }
    life.same = true;
    for node in nodes.values() {
        let _ = node.shutdown().await;
    }
    life
}

pub fn live() -> Life {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(scenario())
}
