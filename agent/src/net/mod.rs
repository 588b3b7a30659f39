//! Sockets: one task owns the core, and the tasks of connections talk to it by bounded channels.
//!
//! All tasks run on one thread, so nothing here is locked. The owner never waits for a connection, and a
//! connection that waits for the owner holds up its own peer only.

pub mod clock;
pub mod conn;
mod links;
mod owner;
pub mod pool;
pub mod ports;

use std::io;
use std::rc::Rc;

use steprelay_settings::Site;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::board;
use crate::config::Config;
use crate::core::Core;
use crate::front::platform;
use clock::Clock;
use owner::Owner;
use pool::Pool;
use ports::Input;

/// Inputs that may wait for the owner.
const INPUTS: usize = 1024;

/// What every task of a connection needs.
#[derive(Clone)]
pub struct Shared {
    pub clock: Clock,
    pub pool: Pool,
    pub site: Rc<Site>,
    pub inputs: mpsc::Sender<Input>,
}

/// Serves until it is told to stop and all that was taken in is answered.
pub async fn serve(config: Config) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    eprintln!("steprelay: serving on {}", listener.local_addr()?);
    run(config, listener).await
}

/// Serves on a listening socket.
pub async fn run(config: Config, listener: TcpListener) -> io::Result<()> {
    let clock = Clock::start();
    let (inputs, queue) = mpsc::channel(INPUTS);
    let site = Rc::new(config.site);
    let shared = Shared { clock, pool: Pool::default(), site: site.clone(), inputs };
    let mut terminate = signal(SignalKind::terminate())?;
    let stop = shared.inputs.clone();
    tokio::task::spawn_local(async move {
        if terminate.recv().await.is_some() {
            let _ = stop.send(Input::Stop).await;
        }
    });
    let core = Core::new((*site).clone(), config.seed, clock.now());
    let mut owner = Owner::new(core, shared.clone());
    owner.listed(config.known.source, config.known.kind, config.known.servers);
    if let Some(address) = config.board {
        tokio::task::spawn_local(board::follow(address, config.known.last, shared.clone()));
    }
    tokio::task::spawn_local(platform::clients::accept(listener, config.most_clients, shared));
    owner.run(queue).await;
    Ok(())
}
