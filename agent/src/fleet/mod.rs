//! Membership of a cluster, off unless `--fleet` names a file. A separate thread exchanges messages with the
//! other members and persists the cluster's state. A task beside the owner of the core reports this call
//! agent's status to that thread and carries out the cluster's directives.

pub mod command;
pub mod config;
mod control;
mod copies;
mod frames;
mod links;
mod owner;
#[expect(clippy::result_large_err, reason = "they are boxed where they leave the module")]
mod store;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use steprelay_copies::member::{ReplicationEvent, ReplicationStats};
use steprelay_core::lifecycle::State;
use steprelay_decisions::{Micros, Readiness, ServerId};
use steprelay_fleet::consensus::ConsensusError;
use steprelay_fleet::messages::Status;
use steprelay_fleet::node::{Metrics, Node, NodeConfig, PersistentState};
use steprelay_fleet::swim::Member;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{interval, Duration, MissedTickBehavior};

use crate::net::copies::ReplicationHandle;
use crate::ports::copies::Lease;
use crate::ports::input_queue::InputSender;
use crate::ports::{Input, LifecycleCommand, Shared, Snapshot};
use config::FleetConfig;
use copies::Copies;
use owner::{Channels, FleetOwner};
use store::{Store, StoreError};

/// Interval at which this call agent's status is reported.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Set-ups are still accepted for this long after the change to standby, so the machine is not reported as
/// free of calls before.
const STANDBY_ACCEPT_MICROS: Micros = 2_000_000;
/// Time constant of the load's moving average, in seconds.
const LOAD_AVERAGE_SECONDS: f64 = 5.0;
/// Limit of the classes, and of the servers of each, in a status report.
const MAX_REPORTED: usize = 64;
/// Capacities of the queues of notes towards the cluster thread and of replication events towards the
/// program.
const NOTE_QUEUE_CAPACITY: usize = 16_384;
const EVENT_QUEUE_CAPACITY: usize = 1_024;
/// Limit of the time the cluster thread gets to leave the cluster.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("fleet: {0}")]
    Store(#[from] StoreError),
    #[error("fleet: {0}")]
    Consensus(#[from] ConsensusError),
    #[error("fleet: {what}: {error}")]
    Io { what: String, error: io::Error },
}

/// The cluster's directives to this call agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directives {
    /// Clients are to be drained, under this approval.
    pub drain_approval: Option<u64>,
    /// Check servers that get no new set-ups, each with its approval.
    pub held: BTreeMap<u32, u64>,
}

/// Handle of the cluster thread.
pub struct FleetThread {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl FleetThread {
    /// Starts the cluster thread. Where this machine was out for maintenance, clients are drained from the
    /// start. With `[copies]`, also returns the owner of the core's end of replication.
    ///
    /// # Errors
    /// The directory cannot be used, or the address cannot be listened on.
    pub fn start(
        config: FleetConfig,
        shared: Shared,
    ) -> Result<(Self, Option<ReplicationHandle>), FleetError> {
        let io = |what: String| move |error| FleetError::Io { what, error };
        let seed = shared.new_call().0;
        let listener =
            std::net::TcpListener::bind(config.listen).map_err(io(format!("listen {}", config.listen)))?;
        listener.set_nonblocking(true).map_err(io("listen".into()))?;
        let listens = listener.local_addr().map_err(io("listen".into()))?;
        let disk = random_u64().map_err(io("/dev/urandom".into()))?;
        let boot = random_u64().map_err(io("/dev/urandom".into()))?;
        let (store, state, log) =
            Store::open(&config.directory, &config.cluster, &config.name, || PersistentState::first(disk))?;
        let control = {
            let directory = config.directory.display().to_string();
            // Listens before the log line below is printed, after which clients may connect.
            control::listen(&config.directory).map_err(io(directory))?
        };
        let control = control.into_std().map_err(io("control".into()))?;
        let me = Member {
            name: config.name.clone(),
            zone: config.zone.clone(),
            address: config.advertise.unwrap_or(listens),
            node: state.node,
            incarnation: state.incarnation,
            boot,
        };
        let setup = NodeConfig {
            cluster: config.cluster,
            founders: config.founders,
            limits: config.limits,
            minor: config.minor,
        };
        let (status, status_receiver) = watch::channel(Status::default());
        let (directives, mut directive_receiver) = watch::channel(Directives::default());
        let (metrics, metrics_receiver) = watch::channel((Metrics::default(), None));
        let started = Instant::now();
        let lease = Arc::new(Lease::new(started));
        let (notes, note_receiver) = mpsc::channel(NOTE_QUEUE_CAPACITY);
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let replication = config.copies.map(|copies| {
            let end = ReplicationHandle {
                notes,
                lease: lease.clone(),
                wait_for_replicas: copies.after_copies,
                refuse_when_degraded: copies.refuse_short,
            };
            spawn_local(forward_replication_events(shared.inputs.clone(), event_receiver));
            (end, Copies::new(copies, &me, lease, note_receiver, events))
        });
        let (end, copies) = replication.unzip();
        let ((stop, stops), (done, ended)) = (oneshot::channel(), oneshot::channel());
        let (ready, is_ready) = std::sync::mpsc::channel();
        let channels = Channels { status: status_receiver, directives, metrics, copies, stop: stops };
        let (seeds, from) = (config.seeds, SocketAddr::new(listens.ip(), 0));
        let thread = std::thread::Builder::new().name("fleet".into());
        let run = move || {
            let node = match Node::new(0, setup, me, state, &log, seed) {
                Ok(node) => node,
                Err(error) => return drop(ready.send(Err(FleetError::Consensus(error)))),
            };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(error) => return drop(ready.send(Err(FleetError::Io { what: "runtime".into(), error }))),
            };
            let served = tokio::task::LocalSet::new().block_on(&runtime, async {
                let (mut owner, events) = FleetOwner::new(from, node, store, started, seeds, channels);
                if let Err(error) = owner.carry_out() {
                    let _ = ready.send(Err(error.into()));
                    return Ok(Ok(()));
                }
                let listener = TcpListener::from_std(listener)?;
                let control = tokio::net::UnixListener::from_std(control)?;
                let _ = ready.send(Ok(()));
                Ok::<_, io::Error>(owner.run(events, listener, control).await)
            });
            match served {
                Ok(Ok(())) => {}
                Ok(Err(error)) => eprintln!("steprelay: fleet: this member stops participating: {error}"),
                Err(error) => eprintln!("steprelay: fleet: this member stops participating: {error}"),
            }
            let _ = done.send(());
        };
        thread.spawn(run).map_err(io("thread".into()))?;
        is_ready.recv().unwrap_or(Ok(()))?;
        eprintln!("steprelay: serving the fleet on {listens}");
        // The persisted directives apply before the first caller is accepted.
        let applied = directive_receiver.borrow_and_update().clone();
        let first = [
            (!applied.held.is_empty()).then(|| Input::HoldServers(server_ids(&applied.held))),
            applied.drain_approval.map(|_| Input::Lifecycle(LifecycleCommand::Standby, oneshot::channel().0)),
        ];
        for input in first.into_iter().flatten() {
            shared
                .inputs
                .try_send(input)
                .map_err(|full| io("queue".into())(io::Error::other(full.to_string())))?;
        }
        spawn_local(synchronize(
            shared,
            directive_receiver,
            applied,
            status,
            metrics_receiver,
            config.capacity_milli,
        ));
        Ok((FleetThread { stop: Some(stop), ended }, end))
    }

    /// Sends the leave messages and waits for the thread, at most `limit` and the leave timeout.
    pub async fn leave(mut self, limit: Duration) {
        drop(self.stop.take());
        let _ = tokio::time::timeout(limit.min(LEAVE_TIMEOUT), &mut self.ended).await;
    }
}

/// Forwards replication events to the owner of the core.
async fn forward_replication_events(inputs: InputSender, mut events: mpsc::Receiver<ReplicationEvent>) {
    while let Some(event) = events.recv().await {
        if inputs.send(Input::Replication(event)).await.is_err() {
            return;
        }
    }
}

/// A random number, to tell starts and disks apart.
fn random_u64() -> io::Result<u64> {
    let mut bytes = [0; 8];
    io::Read::read_exact(&mut std::fs::File::open("/dev/urandom")?, &mut bytes)?;
    Ok(u64::from_ne_bytes(bytes))
}

fn server_ids(held: &BTreeMap<u32, u64>) -> Vec<ServerId> {
    held.keys().map(|number| ServerId(*number)).collect()
}

/// Carries out the directives that differ from those `applied`, and reports this call agent's status.
async fn synchronize(
    shared: Shared,
    mut directives: watch::Receiver<Directives>,
    mut applied: Directives,
    status: watch::Sender<Status>,
    metrics: watch::Receiver<(Metrics, Option<ReplicationStats>)>,
    capacity_milli: u64,
) {
    let mut ticks = interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut load = Load::default();
    // Since when clients are drained.
    let mut drained_since = shared.clock.now();
    loop {
        tokio::select! {
            biased;
            changed = directives.changed() => if changed.is_err() { return },
            _ = ticks.tick() => {}
        }
        let (figures, copies) = metrics.borrow().clone();
        shared.fleet.replace(Some(figures));
        shared.copies.set(copies);
        let directive = directives.borrow_and_update().clone();
        if directive.held != applied.held {
            applied.held.clone_from(&directive.held);
            if shared.inputs.send(Input::HoldServers(server_ids(&applied.held))).await.is_err() {
                return;
            }
        }
        if directive.drain_approval != applied.drain_approval {
            let duty = if directive.drain_approval.is_some() {
                LifecycleCommand::Standby
            } else {
                LifecycleCommand::Active
            };
            let (ask, answer) = oneshot::channel();
            if shared.inputs.send(Input::Lifecycle(duty, ask)).await.is_err() {
                return;
            }
            // Refused only while the program stops, which drains clients as well.
            let _ = answer.await;
            if applied.drain_approval.is_none() {
                drained_since = shared.clock.now();
            }
            applied.drain_approval = directive.drain_approval;
        }
        let (ask, answer) = oneshot::channel();
        if shared.inputs.send(Input::Snapshot(ask)).await.is_err() {
            return;
        }
        let Ok(figures) = answer.await else { return };
        let now = shared.clock.now();
        let still_accepting = applied.drain_approval.is_some() && now < drained_since + STANDBY_ACCEPT_MICROS;
        let mut report = status_report(&figures, &shared, &applied.held);
        report.load_milli = load.update(now, figures.counts.offered);
        report.capacity_milli = capacity_milli;
        report.calls += u32::from(still_accepting);
        if status.send(report).is_err() {
            return;
        }
    }
}

/// Moving average of the set-ups offered per second.
#[derive(Default)]
struct Load {
    last: Option<(Micros, u64)>,
    mean: f64,
}

impl Load {
    fn update(&mut self, now: Micros, offered: u64) -> u64 {
        if let Some((at, before)) = self.last.filter(|(at, _)| now > *at) {
            let seconds = (now - at) as f64 / 1e6;
            let rate = offered.saturating_sub(before) as f64 / seconds;
            self.mean += (rate - self.mean) * (1.0 - (-seconds / LOAD_AVERAGE_SECONDS).exp());
        }
        self.last = Some((now, offered));
        (self.mean * 1000.0) as u64
    }
}

fn status_report(figures: &Snapshot, shared: &Shared, held: &BTreeMap<u32, u64>) -> Status {
    let up = |server: &&(steprelay_decisions::Entry, _, _)| server.0.state == Readiness::Ready;
    let classes = shared.site.decisions.classes.iter().take(MAX_REPORTED).map(|class| {
        let may_serve =
            |number: u32| class.allowed_servers.as_ref().is_none_or(|servers| servers.contains(&number));
        // Includes held servers, which would serve the class once they are released.
        let serving = figures.servers.iter().filter(|server| {
            (up(server) || held.contains_key(&server.0.server.0)) && may_serve(server.0.number)
        });
        serving.map(|(entry, ..)| entry.server.0).take(MAX_REPORTED).collect()
    });
    let has_established = |server: u32| figures.held.contains(&(ServerId(server), true));
    Status {
        serving: figures.lifecycle == State::Serving,
        load_milli: 0,
        capacity_milli: 0,
        calls: figures.concurrent() as u32,
        servers: figures.targets as u32,
        avoided: figures.targets_disabled as u32,
        held: held
            .iter()
            .filter(|(server, _)| figures.held.iter().any(|(known, _)| known.0 == **server))
            .map(|(server, approval)| (*server, *approval, has_established(*server)))
            .collect(),
        classes: classes.collect(),
    }
}
