//! Starts the program's parts and connects them: the owner of the core, the front ends, service discovery,
//! the cluster, the operators' port and SNMP.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use steprelay_core::lifecycle::connection_accept_period;
use steprelay_core::Core;
use steprelay_decisions::Micros;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};

use crate::config::Config;
use crate::discovery;
use crate::fleet::config::FleetConfig;
use crate::fleet::{FleetError, FleetThread};
use crate::front::m3ua::{self, CallStoreError, M3uaConfig};
use crate::front::platform;
use crate::net::owner::Owner;
use crate::ops;
use crate::ports::clock::Clock;
use crate::ports::{input_queue, log, Endpoint, Input, LinkId, Shared};
use crate::predecessor::{self, Presence};
use crate::snmp::{self, SnmpConfig};

/// Part of the shutdown deadline that is reserved for leaving the cluster, and the minimum where nothing of
/// it is left. Without the leave message other members take over this member's calls only after its lease
/// expires.
const LEAVE_RESERVE_MICROS: Micros = 60_000;
const MIN_LEAVE_MICROS: Micros = 20_000;
/// Limit of concurrent M3UA client connections: a peer needs one, and a second one during a changeover.
const MAX_M3UA_CONNECTIONS: usize = 64;
/// Connections that the core has already released and that are not closed yet.
const CLOSING_CONNECTIONS: usize = 8;

/// Why the program cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("configuration: {0}")]
    PersistedState(#[from] CallStoreError),
    #[error("configuration: {0}")]
    Fleet(#[from] FleetError),
}

/// Serves until the process is told to stop and every accepted call is answered.
/// `file` is the path of the configuration, which is reloaded on SIGHUP.
///
/// # Errors
/// A socket or a signal handler cannot be set up, or the state of the M3UA front or of the cluster is
/// unusable.
pub async fn serve(
    config: Config,
    file: Option<PathBuf>,
    m3ua: Option<M3uaConfig>,
    snmp: Option<SnmpConfig>,
    fleet: Option<FleetConfig>,
) -> Result<(), ServeError> {
    let clock = Clock::start();
    let (inputs, queue) = input_queue::channel(config.bounds.inputs);
    let site = Rc::new(config.site);
    let calls = Rc::new(Cell::new(config.seed ^ clock.now() as u64));
    let shared = Shared { calls, ..Shared::new(clock, site.clone(), inputs) };
    let m3ua = m3ua.map(|m3ua| m3ua::start(m3ua, shared.clone(), &config.name)).transpose()?;
    let terminated = first_sigterm(clock)?;
    let stop = shared.inputs.clone();
    let (accepting, accepts) = watch::channel(AcceptMode::All);
    // With an inherited socket, SIGTERM arrives when another process listens on the same socket.
    let replaced = config.inherited.is_some();
    let longest_deadline = site.deadlines.iter().copied().max().unwrap_or_default();
    let connection_accept_period = Duration::from_micros(connection_accept_period(longest_deadline) as u64);
    spawn_local(async move {
        if let Ok(at) = terminated.await {
            // Comes first: connections in the socket's backlog are left to the other process.
            if replaced {
                accepting.send_replace(AcceptMode::None);
            }
            let _ = stop.send(Input::Stop { replaced, at }).await;
            sleep(connection_accept_period).await;
            accepting.send_if_modified(|accepts| {
                std::mem::replace(accepts, AcceptMode::Backlog) == AcceptMode::All
            });
            // The other listeners are not inherited by another process and accept until this one ends.
            std::future::pending::<()>().await;
        }
    });
    let hangup = signal(SignalKind::hangup())?;
    if config.inherited.is_some() {
        match Presence::announce(&std::env::temp_dir(), config.listen) {
            Ok(presence) => drop(spawn_local(predecessor::watch(presence, shared.clone()))),
            Err(error) => log::event(format_args!("the end of an earlier process goes unnoticed: {error}")),
        }
    }
    let listener = match config.inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(config.listen).await?,
    };
    eprintln!("steprelay: serving on {}", listener.local_addr()?);
    let core = Core::new((*site).clone(), config.bounds.core, config.seed, clock.now());
    let (platform_shared, m3ua_servers) = (shared.clone(), m3ua.clone());
    let dial = move |link: LinkId, endpoint: Endpoint| match endpoint {
        Endpoint::M3ua(place) => {
            if let Some(m3ua) = m3ua_servers.clone() {
                spawn_local(m3ua::maintain_link(link, place, m3ua));
            }
        }
        Endpoint::Platform(address) => {
            spawn_local(platform::servers::maintain_link(link, address, platform_shared.clone()));
        }
    };
    let mut owner = Owner::new(core, shared.clone(), Rc::new(dial));
    owner.update_servers(config.known.source, config.known.kind, config.known.servers);
    let (discovery, discovery_address) = watch::channel(config.discovery);
    spawn_local(discovery::watch_server_list(discovery_address, config.known.last_revision, shared.clone()));
    spawn_local(reload_on_sighup(hangup, file, discovery, shared.clone()));
    let fleet = fleet.map(|config| FleetThread::start(config, shared.clone())).transpose()?;
    let fleet = fleet.map(|(fleet, copies)| {
        copies.into_iter().for_each(|end| owner.enable_replication(end));
        owner.reserve_exit_time(LEAVE_RESERVE_MICROS);
        fleet
    });
    if let Some(address) = config.ops {
        let listener = TcpListener::bind(address).await?;
        eprintln!("steprelay: answering operators on {}", listener.local_addr()?);
        spawn_local(ops::serve(listener, shared.clone()));
    }
    let figures = m3ua.as_ref().map(|m3ua| m3ua.metrics_reader());
    if let Some(m3ua) = m3ua {
        let listener = TcpListener::bind(m3ua.config.listen).await?;
        eprintln!("steprelay: serving M3UA on {}", listener.local_addr()?);
        owner.handle(m3ua.server_list());
        let serve = move |stream, number| m3ua::serve(stream, number, m3ua.clone());
        spawn_local(accept(listener, MAX_M3UA_CONNECTIONS, watch::channel(AcceptMode::All).1, serve));
    }
    if let Some(snmp) = snmp {
        let socket = UdpSocket::bind(snmp.listen).await?;
        eprintln!("steprelay: serving SNMP on {}", socket.local_addr()?);
        spawn_local(snmp::serve(socket, snmp, shared.clone(), figures));
    }
    let serve = move |stream, number| platform::clients::serve(stream, number, shared.clone());
    spawn_local(accept(listener, config.bounds.core.connections + CLOSING_CONNECTIONS, accepts, serve));
    let ends_by = owner.run(queue).await;
    if let Some(fleet) = fleet {
        let time_left = ends_by.map_or(LEAVE_RESERVE_MICROS, |at| (at - clock.now()).max(MIN_LEAVE_MICROS));
        fleet.leave(Duration::from_micros(time_left as u64)).await;
    }
    Ok(())
}

/// Reports when the first SIGTERM arrived. A separate thread takes the time: the runtime's thread may be busy
/// with a long turn, and the shutdown deadline counts from the signal, not from when the runtime reads it.
fn first_sigterm(clock: Clock) -> io::Result<oneshot::Receiver<Micros>> {
    let (sender, receiver) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let mut terminate = {
        let _entered = runtime.enter();
        signal(SignalKind::terminate())?
    };
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        if runtime.block_on(terminate.recv()).is_some() {
            let _ = sender.send(clock.now());
        }
    })?;
    Ok(receiver)
}

/// Reloads the configuration on each SIGHUP. Only the address of service discovery changes while calls go on;
/// all other changes apply at the next start.
async fn reload_on_sighup(
    mut hangup: Signal,
    file: Option<PathBuf>,
    discovery: watch::Sender<Option<SocketAddr>>,
    shared: Shared,
) {
    while hangup.recv().await.is_some() {
        match Config::load(file.as_deref()) {
            Ok(config) => {
                let address_text =
                    config.discovery.map_or_else(|| "none".to_string(), |address| address.to_string());
                shared.count(|io_counts| io_counts.reloads_taken += 1);
                log::event(format_args!("configuration reloaded, service discovery at {address_text}"));
                discovery.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery) != config.discovery
                });
            }
            Err(error) => {
                shared.count(|io_counts| io_counts.reloads_refused += 1);
                log::event(format_args!("configuration rejected, keeping the previous one: {error}"));
            }
        }
    }
}

/// Which connections a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptMode {
    All,
    /// Those already in the socket's backlog, which their callers see as established; then the listener
    /// closes.
    Backlog,
    /// None: the backlog is left to another process.
    None,
}

/// Accepts connections, at most `limit` at once. Further ones wait in the socket's backlog.
async fn accept<S, F>(listener: TcpListener, limit: usize, mut accepts: watch::Receiver<AcceptMode>, serve: S)
where
    S: Fn(TcpStream, u64) -> F,
    F: Future<Output = ()> + 'static,
{
    let permits = Arc::new(Semaphore::new(limit.max(1)));
    for number in 1.. {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Some(stream) = next_connection(&listener, &mut accepts).await else { return };
        let serving = serve(stream, number);
        spawn_local(async move {
            serving.await;
            drop(permit);
        });
    }
}

/// Returns the next accepted connection, or `None` once the listener accepts no more.
async fn next_connection(
    listener: &TcpListener,
    accepts: &mut watch::Receiver<AcceptMode>,
) -> Option<TcpStream> {
    loop {
        let mode = *accepts.borrow();
        let accepted = tokio::select! {
            biased;
            // Never completes with `true` once the sender of the mode is gone.
            true = async { accepts.wait_for(|accepts| *accepts != mode).await.is_ok() } => continue,
            accepted = listener.accept(), if mode != AcceptMode::None => accepted,
            () = std::future::ready(()), if mode != AcceptMode::All => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(error) => {
                // Usually the process is out of descriptors, until connections close.
                log::event(format_args!("cannot accept a connection: {error}"));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
