//! A process of the program, its log lines as they come, and signals to it.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

pub struct Child {
    child: std::process::Child,
    lines: mpsc::UnboundedReceiver<String>,
}

impl Child {
    /// # Errors
    /// It can't be started.
    pub fn spawn(command: &mut Command) -> std::io::Result<Self> {
        let command = command.env_remove("LB_OPS").env_remove("LB_SOCKET_FD");
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| std::io::Error::other("no standard error"))?;
        let (sender, lines) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.for_each(|line| drop(sender.send(line)));
        });
        Ok(Child { child, lines })
    }

    /// Reads its log up to a line that holds this, and returns what follows there.
    ///
    /// # Errors
    /// There is none within this time.
    pub async fn logged(&mut self, what: &str, within: Duration) -> std::io::Result<String> {
        let found = async {
            loop {
                let line = self.lines.recv().await?;
                if let Some((_, rest)) = line.split_once(what) {
                    return Some(rest.to_string());
                }
            }
        };
        let found = timeout(within, found).await.ok().flatten();
        found.ok_or_else(|| std::io::Error::other(format!("the program does not say {what:?}")))
    }

    /// Lines of its log that have come since.
    pub fn lines(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.lines.try_recv().ok()).collect()
    }

    /// The rest of its log, once it has ended.
    pub async fn last_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(line) = self.lines.recv().await {
            lines.push(line);
        }
        lines
    }

    /// Its exit code, where it has ended; -1 where a signal has ended it.
    ///
    /// # Errors
    /// It is no child of this process.
    pub fn exit_code(&mut self) -> std::io::Result<Option<i32>> {
        Ok(self.child.try_wait()?.map(|status| status.code().unwrap_or(-1)))
    }

    /// # Errors
    /// `kill` can't be run.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([name, &id]).stderr(Stdio::null()).status().map(drop)
    }

    /// # Errors
    /// It has ended already.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
