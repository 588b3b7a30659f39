//! The second address, for operators alone: `status`, `stats`, `standby` and `active`, a line a connection.

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
use line::{BadLine, Command};

/// Connections at once. So many descriptors are kept back for them.
pub const MOST: usize = 24;
/// Who keeps a connection longer without a whole line is told so. Some take 4 s.
const WHOLE_WITHIN: Duration = Duration::from_secs(6);
/// An answer that nobody reads is given up after this.
const READ_WITHIN: Duration = Duration::from_secs(2);

/// The connections that have brought no whole line, the oldest first.
#[derive(Clone, Default)]
struct Waiting(Rc<RefCell<VecDeque<(u64, AbortHandle)>>>);

impl Waiting {
    fn leave(&self, number: u64) {
        self.0.borrow_mut().retain(|(waits, _)| *waits != number);
    }
}

/// Counts the connections that are open.
struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Takes connections. Where too many are open, the one that has waited longest without a line makes way, so
/// that those who say nothing keep nobody out.
pub async fn serve(listener: TcpListener, shared: Shared) {
    let (waiting, open) = (Waiting::default(), Rc::new(Cell::new(0)));
    for number in 0.. {
        while open.get() >= MOST {
            let oldest = waiting.0.borrow_mut().pop_front();
            match oldest {
                Some((_, task)) => {
                    task.abort();
                    // Its descriptor is closed when the runtime next comes round to it.
                    tokio::task::yield_now().await;
                }
                // All are being answered.
                None => sleep(Duration::from_millis(5)).await,
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        open.set(open.get() + 1);
        let (counted, waits, shared) = (Open(open.clone()), waiting.clone(), shared.clone());
        let task = spawn_local(async move {
            let _counted = counted;
            // Whoever asked may have gone meanwhile.
            let _ = answer_one(&stream, &shared, || waits.leave(number)).await;
            waits.leave(number);
        });
        waiting.0.borrow_mut().push_back((number, task.abort_handle()));
    }
}

async fn answer_one(stream: &TcpStream, shared: &Shared, whole: impl FnOnce()) -> io::Result<()> {
    let read = timeout(WHOLE_WITHIN, read_line(stream)).await;
    let command = match read {
        Ok(Ok(Some(command))) => command,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => return Err(error),
        Err(_) => Err(BadLine::NoEnd),
    };
    whole();
    let text = match command {
        Ok(command) => carry_out(command, shared).await.unwrap_or_else(|| "-ERR stopping\n".into()),
        Err(bad) => format!("-ERR {bad}\n"),
    };
    timeout(READ_WITHIN, write_all(stream, text.as_bytes())).await?
}

/// The command of a connection; `None` where it ends before one.
async fn read_line(stream: &TcpStream) -> io::Result<Option<Result<Command, BadLine>>> {
    let mut bytes = [0; line::LONGEST + 2];
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

/// What is answered; `None` where the owner has ended.
async fn carry_out(command: Command, shared: &Shared) -> Option<String> {
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
