//! This call agent's part in a fleet: off unless `--fleet` names a file. A thread of its own talks with the
//! other members and keeps what must last; a task beside the owner of the core tells it how this call agent
//! is, and does what the fleet wants of it.

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
use crate::ports::{Input, OnDuty, Shared, Snapshot};
use config::FleetConfig;
use copies::Copies;
use owner::{Ends, FleetOwner};
use store::{Store, StoreError};

/// This call agent's figures go to the fleet so often.
const LOOK: Duration = Duration::from_millis(200);
/// In standby set-ups are taken for so long: before that nothing is said of an empty machine.
const STILL_TAKEN: Micros = 2_000_000;
/// The load is a mean over so many seconds.
const MEAN_S: f64 = 5.0;
/// Classes and their servers that are told of, at most.
const MOST_TOLD: usize = 64;
/// Notes of promises that may wait for the fleet's thread, and news that may wait for the program.
const NOTES: usize = 16_384;
const NEWS: usize = 1_024;
/// The fleet's thread gets so long to say farewell.
const FAREWELL: Duration = Duration::from_millis(500);

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("fleet: {0}")]
    Store(#[from] StoreError),
    #[error("fleet: {0}")]
    Council(#[from] ConsensusError),
    #[error("fleet: {what}: {error}")]
    Io { what: String, error: io::Error },
}

/// What the fleet wants of this call agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// It is to send its clients away, by this grant.
    pub away: Option<u64>,
    /// Check servers that get no new set-ups, each with its grant.
    pub held: BTreeMap<u32, u64>,
}

/// The fleet's thread, seen from the program.
pub struct Fleet {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl Fleet {
    /// Begins to serve the fleet. Where this machine was out for work, clients are sent away from the start.
    /// With `[copies]` comes the end by which the owner of the core has its promises copied.
    ///
    /// # Errors
    /// The directory can't be used, or the address can't be listened on.
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
        let disk = drawn().map_err(io("/dev/urandom".into()))?;
        let boot = drawn().map_err(io("/dev/urandom".into()))?;
        let (store, page, kept) =
            Store::open(&config.directory, &config.cluster, &config.name, || PersistentState::first(disk))?;
        let control = {
            let directory = config.directory.display().to_string();
            // Listens from now on: whoever reads the line below may ask.
            control::listen(&config.directory).map_err(io(directory))?
        };
        let control = control.into_std().map_err(io("control".into()))?;
        let me = Member {
            name: config.name.clone(),
            zone: config.zone.clone(),
            address: config.advertise.unwrap_or(listens),
            node: page.node,
            incarnation: page.incarnation,
            boot,
        };
        let setup = NodeConfig {
            cluster: config.cluster,
            founders: config.founders,
            limits: config.limits,
            minor: config.minor,
        };
        let (status, statuses) = watch::channel(Status::default());
        let (wanted, mut wants) = watch::channel(Wanted::default());
        let (figures, shown) = watch::channel((Metrics::default(), None));
        let started = Instant::now();
        let lease = Arc::new(Lease::new(started));
        let (notes, noted) = mpsc::channel(NOTES);
        let (news, comes) = mpsc::channel(NEWS);
        let copied = config.copies.map(|copied| {
            let end = ReplicationHandle {
                notes,
                lease: lease.clone(),
                wait_for_replicas: copied.after_copies,
                refuse_when_degraded: copied.refuse_short,
            };
            spawn_local(tell_news(shared.inputs.clone(), comes));
            (end, Copies::new(copied, &me, lease, noted, news))
        });
        let (end, copies) = copied.unzip();
        let ((stop, stops), (done, ended)) = (oneshot::channel(), oneshot::channel());
        let (ready, is_ready) = std::sync::mpsc::channel();
        let ends = Ends { status: statuses, wanted, figures, copies, stop: stops };
        let (seeds, from) = (config.seeds, SocketAddr::new(listens.ip(), 0));
        let thread = std::thread::Builder::new().name("fleet".into());
        let run = move || {
            let node = match Node::new(0, setup, me, page, &kept, seed) {
                Ok(node) => node,
                Err(error) => return drop(ready.send(Err(FleetError::Council(error)))),
            };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(error) => return drop(ready.send(Err(FleetError::Io { what: "runtime".into(), error }))),
            };
            let served = tokio::task::LocalSet::new().block_on(&runtime, async {
                let (mut owner, comes) = FleetOwner::new(from, node, store, started, seeds, ends);
                if let Err(error) = owner.carry_out() {
                    let _ = ready.send(Err(error.into()));
                    return Ok(Ok(()));
                }
                let listener = TcpListener::from_std(listener)?;
                let control = tokio::net::UnixListener::from_std(control)?;
                let _ = ready.send(Ok(()));
                Ok::<_, io::Error>(owner.run(comes, listener, control).await)
            });
            match served {
                Ok(Ok(())) => {}
                Ok(Err(error)) => eprintln!("steprelay: fleet: this member keeps still: {error}"),
                Err(error) => eprintln!("steprelay: fleet: this member keeps still: {error}"),
            }
            let _ = done.send(());
        };
        thread.spawn(run).map_err(io("thread".into()))?;
        is_ready.recv().unwrap_or(Ok(()))?;
        eprintln!("steprelay: serving the fleet on {listens}");
        // Ahead of the first caller: what the directory tells holds from the start.
        let done = wants.borrow_and_update().clone();
        let first = [
            (!done.held.is_empty()).then(|| Input::Hold(servers(&done.held))),
            done.away.map(|_| Input::Duty(OnDuty::Standby, oneshot::channel().0)),
        ];
        for input in first.into_iter().flatten() {
            shared
                .inputs
                .try_send(input)
                .map_err(|full| io("queue".into())(io::Error::other(full.to_string())))?;
        }
        spawn_local(follow(shared, wants, done, status, shown, config.capacity_milli));
        Ok((Fleet { stop: Some(stop), ended }, end))
    }

    /// Says farewell to the other members, for so long at most.
    pub async fn leave(mut self, within: Duration) {
        drop(self.stop.take());
        let _ = tokio::time::timeout(within.min(FAREWELL), &mut self.ended).await;
    }
}

/// Tells the owner of the core what comes of copies.
async fn tell_news(inputs: mpsc::Sender<Input>, mut comes: mpsc::Receiver<ReplicationEvent>) {
    while let Some(news) = comes.recv().await {
        if inputs.send(Input::Copies(news)).await.is_err() {
            return;
        }
    }
}

/// A number that no other start or disk has.
fn drawn() -> io::Result<u64> {
    let mut bytes = [0; 8];
    io::Read::read_exact(&mut std::fs::File::open("/dev/urandom")?, &mut bytes)?;
    Ok(u64::from_ne_bytes(bytes))
}

fn servers(held: &BTreeMap<u32, u64>) -> Vec<ServerId> {
    held.keys().map(|number| ServerId(*number)).collect()
}

/// Does what the fleet wants beyond what is `done`, and tells it how this call agent is.
async fn follow(
    shared: Shared,
    mut wants: watch::Receiver<Wanted>,
    mut done: Wanted,
    status: watch::Sender<Status>,
    shown: watch::Receiver<(Metrics, Option<ReplicationStats>)>,
    capacity_milli: u64,
) {
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut load = Load::default();
    // Since when clients are sent away.
    let mut since = shared.clock.now();
    loop {
        tokio::select! {
            biased;
            changed = wants.changed() => if changed.is_err() { return },
            _ = look.tick() => {}
        }
        let (figures, copies) = shown.borrow().clone();
        shared.fleet.replace(Some(figures));
        shared.copies.set(copies);
        let wanted = wants.borrow_and_update().clone();
        if wanted.held != done.held {
            done.held.clone_from(&wanted.held);
            if shared.inputs.send(Input::Hold(servers(&done.held))).await.is_err() {
                return;
            }
        }
        if wanted.away != done.away {
            let duty = if wanted.away.is_some() { OnDuty::Standby } else { OnDuty::Active };
            let (ask, answer) = oneshot::channel();
            if shared.inputs.send(Input::Duty(duty, ask)).await.is_err() {
                return;
            }
            // Refused where the program stops, which is as good as away.
            let _ = answer.await;
            if done.away.is_none() {
                since = shared.clock.now();
            }
            done.away = wanted.away;
        }
        let (ask, answer) = oneshot::channel();
        if shared.inputs.send(Input::Snapshot(ask)).await.is_err() {
            return;
        }
        let Ok(figures) = answer.await else { return };
        let now = shared.clock.now();
        let leaving = done.away.is_some() && now < since + STILL_TAKEN;
        let mut told = tell(&figures, &shared, &done.held);
        told.load_milli = load.look(now, figures.counts.offered);
        told.capacity_milli = capacity_milli;
        told.calls += u32::from(leaving);
        if status.send(told).is_err() {
            return;
        }
    }
}

/// Set-ups offered a second, as a mean of the last seconds.
#[derive(Default)]
struct Load {
    last: Option<(Micros, u64)>,
    mean: f64,
}

impl Load {
    fn look(&mut self, now: Micros, offered: u64) -> u64 {
        if let Some((at, before)) = self.last.filter(|(at, _)| now > *at) {
            let seconds = (now - at) as f64 / 1e6;
            let rate = offered.saturating_sub(before) as f64 / seconds;
            self.mean += (rate - self.mean) * (1.0 - (-seconds / MEAN_S).exp());
        }
        self.last = Some((now, offered));
        (self.mean * 1000.0) as u64
    }
}

fn tell(figures: &Snapshot, shared: &Shared, held: &BTreeMap<u32, u64>) -> Status {
    let up = |server: &&(steprelay_decisions::Entry, _, _)| server.0.state == Readiness::Ready;
    let classes = shared.site.decisions.classes.iter().take(MOST_TOLD).map(|class| {
        let fits =
            |number: u32| class.allowed_servers.as_ref().is_none_or(|servers| servers.contains(&number));
        // Those that are held would serve it, were they not.
        let serving = figures
            .servers
            .iter()
            .filter(|server| (up(server) || held.contains_key(&server.0.server.0)) && fits(server.0.number));
        serving.map(|(entry, ..)| entry.server.0).take(MOST_TOLD).collect()
    });
    let stands = |server: u32| figures.held.contains(&(ServerId(server), true));
    Status {
        serving: figures.duty == State::Serving,
        load_milli: 0,
        capacity_milli: 0,
        calls: figures.concurrent() as u32,
        servers: figures.targets as u32,
        avoided: figures.targets_disabled as u32,
        held: held
            .iter()
            .filter(|(server, _)| figures.held.iter().any(|(known, _)| known.0 == **server))
            .map(|(server, grant)| (*server, *grant, stands(*server)))
            .collect(),
        classes: classes.collect(),
    }
}
