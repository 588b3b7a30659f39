//! The program put together: the owner of the core, the fronts before it, the notice board and SNMP.

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
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};

use crate::config::Config;
use crate::discovery;
use crate::fleet::config::FleetConfig;
use crate::fleet::{Fleet, FleetError};
use crate::front::m3ua::{self, CallStoreError, M3uaConfig};
use crate::front::platform;
use crate::net::owner::Owner;
use crate::ops;
use crate::ports::clock::Clock;
use crate::ports::{log, Input, LinkId, Shared, Way};
use crate::snmp::{self, SnmpConfig};

/// Inputs that may wait for the owner.
const INPUTS: usize = 1024;
/// The farewell of a member of a fleet has so much of the time in which the process has to end, and this much
/// where nothing is left: without it others take its calls over only once its lease is over.
const FAREWELL_RESERVE: Micros = 60_000;
const FAREWELL_LEAST: Micros = 20_000;
/// Connections of M3UA clients at once: a peer needs one, and a second while it changes over.
const MOST_M3UA: usize = 64;
/// Connections that the core has let go of, and that are not closed yet.
const CLOSING: usize = 8;

/// Why the program cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("configuration: {0}")]
    Kept(#[from] CallStoreError),
    #[error("configuration: {0}")]
    Fleet(#[from] FleetError),
}

/// Serves until it is told to stop and all that was taken in is answered.
/// `file` is the configuration's, to be read again on SIGHUP.
pub async fn serve(
    config: Config,
    file: Option<PathBuf>,
    m3ua: Option<M3uaConfig>,
    snmp: Option<SnmpConfig>,
    fleet: Option<FleetConfig>,
) -> Result<(), ServeError> {
    let clock = Clock::start();
    let (inputs, queue) = mpsc::channel(INPUTS);
    let site = Rc::new(config.site);
    let calls = Rc::new(Cell::new(config.seed ^ clock.now() as u64));
    let heard_later = fleet.as_ref().is_some_and(|fleet| fleet.copies.is_some());
    let shared = Shared { calls, heard_later, ..Shared::new(clock, site.clone(), inputs) };
    let m3ua = m3ua.map(|named| m3ua::start(named, shared.clone(), &config.name)).transpose()?;
    let terminated = first_sigterm(clock)?;
    let stop = shared.inputs.clone();
    let (accepting, accepts) = watch::channel(Accepts::All);
    // Where the socket is inherited, SIGTERM comes when another process has it too.
    let replaced = config.inherited.is_some();
    let longest_deadline = site.deadlines.iter().copied().max().unwrap_or_default();
    let connection_accept_period = Duration::from_micros(connection_accept_period(longest_deadline) as u64);
    spawn_local(async move {
        if let Ok(at) = terminated.await {
            // Before anything else: what still waits in its queue is for the other process.
            if replaced {
                accepting.send_replace(Accepts::None);
            }
            let _ = stop.send(Input::Stop { replaced, at }).await;
            sleep(connection_accept_period).await;
            accepting
                .send_if_modified(|accepts| std::mem::replace(accepts, Accepts::Waiting) == Accepts::All);
            // Other listeners than that one are not handed on, and go on until the end.
            std::future::pending::<()>().await;
        }
    });
    let hangup = signal(SignalKind::hangup())?;
    let listener = match config.inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(config.listen).await?,
    };
    eprintln!("steprelay: serving on {}", listener.local_addr()?);
    let core = Core::new((*site).clone(), config.bounds, config.seed, clock.now());
    let (dialling, known) = (shared.clone(), m3ua.clone());
    let dial = move |link: LinkId, way: Way| match way {
        Way::M3ua(place) => {
            if let Some(m3ua) = known.clone() {
                spawn_local(m3ua::maintain_link(link, place, m3ua));
            }
        }
        Way::Platform(address) => {
            spawn_local(platform::servers::maintain_link(link, address, dialling.clone()));
        }
    };
    let mut owner = Owner::new(core, shared.clone(), Rc::new(dial));
    owner.listed(config.known.source, config.known.kind, config.known.servers);
    let (board, followed) = watch::channel(config.board);
    spawn_local(discovery::watch_server_list(followed, config.known.last, shared.clone()));
    spawn_local(reread(hangup, file, board, shared.clone()));
    let fleet = fleet.map(|named| Fleet::start(named, shared.clone())).transpose()?;
    let fleet = fleet.map(|(fleet, copies)| {
        copies.into_iter().for_each(|end| owner.copy(end));
        owner.leave_time(FAREWELL_RESERVE);
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
        owner.take(m3ua.server_list());
        let serve = move |stream, number| m3ua::serve(stream, number, m3ua.clone());
        spawn_local(accept(listener, MOST_M3UA, watch::channel(Accepts::All).1, serve));
    }
    if let Some(snmp) = snmp {
        let socket = UdpSocket::bind(snmp.listen).await?;
        eprintln!("steprelay: serving SNMP on {}", socket.local_addr()?);
        spawn_local(snmp::serve(socket, snmp, shared.clone(), figures));
    }
    let serve = move |stream, number| platform::clients::serve(stream, number, shared.clone());
    spawn_local(accept(listener, config.bounds.connections + CLOSING, accepts, serve));
    let ends_by = owner.run(queue).await;
    if let Some(fleet) = fleet {
        let left = ends_by.map_or(FAREWELL_RESERVE, |at| (at - clock.now()).max(FAREWELL_LEAST));
        fleet.leave(Duration::from_micros(left as u64)).await;
    }
    Ok(())
}

/// When the first SIGTERM comes. A thread of its own takes the time: the runtime's may be busy with a long
/// turn, and the kill counts from the signal and not from its being read.
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

/// Reads the configuration again each time SIGHUP comes. The notice board may move while calls go on; what
/// else differs is for the next start.
async fn reread(
    mut hangup: Signal,
    file: Option<PathBuf>,
    board: watch::Sender<Option<SocketAddr>>,
    shared: Shared,
) {
    while hangup.recv().await.is_some() {
        match Config::load(file.as_deref()) {
            Ok(config) => {
                let named = config.board.map_or_else(|| "none".to_string(), |address| address.to_string());
                shared.tally(|tallies| tallies.reloads_taken += 1);
                log::event(format_args!("configuration read again, the notice board is {named}"));
                board.send_if_modified(|board| std::mem::replace(board, config.board) != config.board);
            }
            Err(error) => {
                shared.tally(|tallies| tallies.reloads_refused += 1);
                log::event(format_args!("configuration not taken, the one before stays: {error}"));
            }
        }
    }
}

/// Which connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepts {
    All,
    /// Those that wait by now, of callers that take them for accepted; then the listener is closed.
    Waiting,
    /// None: those that wait are for another process.
    None,
}

/// Accepts connections, as many at once as the descriptors allow. The others wait in the machine's queue.
async fn accept<S, F>(listener: TcpListener, most: usize, mut accepts: watch::Receiver<Accepts>, serve: S)
where
    S: Fn(TcpStream, u64) -> F,
    F: Future<Output = ()> + 'static,
{
    let places = Arc::new(Semaphore::new(most.max(1)));
    for number in 1.. {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let Some(stream) = next_connection(&listener, &mut accepts).await else { return };
        let serving = serve(stream, number);
        spawn_local(async move {
            serving.await;
            drop(place);
        });
    }
}

/// The next connection that is accepted; `None` where none is any more.
async fn next_connection(
    listener: &TcpListener,
    accepts: &mut watch::Receiver<Accepts>,
) -> Option<TcpStream> {
    loop {
        let now = *accepts.borrow();
        let accepted = tokio::select! {
            biased;
            // Without an end in sight where whoever says so has gone.
            true = async { accepts.wait_for(|accepts| *accepts != now).await.is_ok() } => continue,
            accepted = listener.accept(), if now != Accepts::None => accepted,
            () = std::future::ready(()), if now != Accepts::All => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(error) => {
                // Out of descriptors, most often: it passes when connections close.
                log::event(format_args!("cannot take a connection: {error}"));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
