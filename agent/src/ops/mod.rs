//! The operators' port: `status`, `stats`, `standby` and `active`, one command line per connection.

pub mod line;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Duration};

use crate::ports::conn::write_all;
use crate::ports::{Input, LifecycleCommand, Shared};
use line::{Command, InvalidLine};

/// Limit of concurrent connections. As many descriptors are reserved for them.
pub const MAX_CONNECTIONS: usize = 24;
/// Limit of the time to a complete line; then the connection gets an error. Some clients take 4 s.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// Limit of the time to write a response to a client that does not read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The connections without a complete line, the oldest first.
#[derive(Clone, Default)]
struct IncompleteConnections(Rc<RefCell<VecDeque<(u64, AbortHandle)>>>);

impl IncompleteConnections {
    fn remove(&self, number: u64) {
        self.0.borrow_mut().retain(|(waiting, _)| *waiting != number);
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections. At the limit, the oldest connection without a complete line is closed, so that idle
/// clients keep no other out.
pub async fn serve(listener: TcpListener, shared: Shared) {
    let (waiting, open) = (IncompleteConnections::default(), Rc::new(Cell::new(0)));
    for number in 0.. {
        while open.get() >= MAX_CONNECTIONS {
            let oldest = waiting.0.borrow_mut().pop_front();
            match oldest {
                Some((_, task)) => {
                    task.abort();
                    // Its descriptor is closed when the runtime next polls the task.
                    tokio::task::yield_now().await;
                }
                // All connections are being answered.
                None => sleep(Duration::from_millis(5)).await,
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        open.set(open.get() + 1);
        let (counted, waits, shared) = (OpenConnection(open.clone()), waiting.clone(), shared.clone());
        let task = spawn_local(async move {
            let _counted = counted;
            // The client may have disconnected.
            let _ = answer_one(&stream, &shared, || waits.remove(number)).await;
            waits.remove(number);
        });
        waiting.0.borrow_mut().push_back((number, task.abort_handle()));
    }
}

async fn answer_one(stream: &TcpStream, shared: &Shared, on_line: impl FnOnce()) -> io::Result<()> {
    let read = timeout(LINE_TIMEOUT, read_line(stream)).await;
    let command = match read {
        Ok(Ok(Some(command))) => command,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => return Err(error),
        Err(_) => Err(InvalidLine::NoEnd),
    };
    on_line();
    let text = match command {
        Ok(command) => execute(command, shared).await.unwrap_or_else(|| "-ERR stopping\n".into()),
        Err(invalid) => format!("-ERR {invalid}\n"),
    };
    timeout(WRITE_TIMEOUT, write_all(stream, text.as_bytes())).await?
}

/// Reads the command of a connection; `None` where the connection ends first.
async fn read_line(stream: &TcpStream) -> io::Result<Option<Result<Command, InvalidLine>>> {
    let mut bytes = [0; line::MAX_LENGTH + 2];
    let mut filled = 0;
    loop {
        if let Some(command) = line::read(&bytes[..filled]) {
            return Ok(Some(command));
        }
        stream.readable().await?;
        match stream.try_read(&mut bytes[filled..]) {
            Ok(0) => return Ok(None),
            Ok(read) => filled += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Executes a command; `None` where the owner has ended.
async fn execute(command: Command, shared: &Shared) -> Option<String> {
    let wanted = match command {
        Command::Stats => {
            let (ask, answer) = oneshot::channel();
            shared.inputs.send(Input::Snapshot(ask)).await.ok()?;
            let figures = answer.await.ok()?;
            return Some(line::stats(&figures, &shared.site.class_names));
        }
        Command::Status => LifecycleCommand::Query,
        Command::Standby => LifecycleCommand::Standby,
        Command::Active => LifecycleCommand::Active,
    };
    let (ask, answer) = oneshot::channel();
    shared.inputs.send(Input::Lifecycle(wanted, ask)).await.ok()?;
    Some(match answer.await.ok()? {
        Ok(state) if wanted == LifecycleCommand::Query => line::status(state).into(),
        Ok(_) => "+OK\n".into(),
        Err(refused) => format!("-ERR {refused}\n"),
    })
}
