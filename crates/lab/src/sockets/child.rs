//! Runs a real proxy as a child process.

use super::client::Pool;
use super::protocol::READY;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// How long a child may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// The time between two checks of a child's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of characters from the end of a child's log that an error quotes.
const MAX_QUOTED_LOG_CHARS: usize = 600;

/// Why a child does not run.
#[derive(Debug, thiserror::Error)]
pub enum ChildError {
    /// A file of the child cannot be written, or the program cannot be started.
    #[error("{}: {}", .0.display(), .1)]
    Start(PathBuf, io::Error),
    /// The child ended unexpectedly.
    #[error("{name} ended ({status}): {log}")]
    Ended {
        /// The child's name.
        name: String,
        /// The exit status.
        status: String,
        /// The end of the child's log.
        log: String,
    },
    /// The child did not become ready in time.
    #[error("{name} was not ready after {READY_TIMEOUT:?}: {log}")]
    NotReady {
        /// The child's name.
        name: String,
        /// The end of the child's log.
        log: String,
    },
}

/// A running proxy. Dropping it kills and reaps the process, even if it is stopped.
pub struct Child {
    name: String,
    listen: SocketAddr,
    process: std::process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts `olivecart serve` with a configuration; its files are written to `folder`. The child has its
    /// own process group. Otherwise, an interrupt from the terminal would reach the child too, and it would
    /// exit before the parent process had handled the interrupt.
    ///
    /// # Errors
    /// A file cannot be written, or the program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        listen: SocketAddr,
        config: &Value,
    ) -> Result<Child, ChildError> {
        let (file, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        let start_error = |path: &Path, e| ChildError::Start(path.to_owned(), e);
        std::fs::write(&file, config.to_string()).map_err(|e| start_error(&file, e))?;
        let log_file =
            File::options().create(true).append(true).open(&log).map_err(|e| start_error(&log, e))?;
        let mut command = Command::new(program);
        command.arg("serve").env("EDGE_CONFIG", &file).process_group(0);
        ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"].iter().for_each(|name| _ = command.env_remove(name));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
        let process = command.spawn().map_err(|e| start_error(program, e))?;
        Ok(Child { name: name.to_owned(), listen, process, log })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns the child's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address on which the child listens.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Checks that the child still runs.
    ///
    /// # Errors
    /// The child has ended.
    pub fn check(&mut self) -> Result<(), ChildError> {
        match self.process.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(ChildError::Ended {
                name: self.name.clone(),
                status: status.to_string(),
                log: log_tail(&self.log),
            }),
            Err(e) => Err(ChildError::Start(self.log.clone(), e)),
        }
    }

    /// Returns the error for a child that did not become ready in time.
    pub fn not_ready(&self) -> ChildError {
        ChildError::NotReady { name: self.name.clone(), log: log_tail(&self.log) }
    }

    /// Asks the child to shut down with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the child with SIGSTOP, as if its machine had vanished: it sends nothing more, and its
    /// connections stay open.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process);
        let _ = kill_process(pid, signal); // the child may have ended, but is not reaped yet
    }

    /// Waits for the child to end. Returns `false` if it still runs after `time`.
    pub async fn wait_for_exit(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            if !matches!(self.process.try_wait(), Ok(None)) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill(); // an error means that the child has ended already
        let _ = self.process.wait();
    }
}

/// Waits until a proxy reports that it is ready. Returns `false` if it does not do so in time, and stops
/// early with the error of `check` if that fails.
pub async fn becomes_ready<E>(
    listen: SocketAddr,
    mut check: impl FnMut() -> Result<(), E>,
) -> Result<bool, E> {
    let (pool, end) = (Pool::new(listen, 1), Instant::now() + READY_TIMEOUT);
    while Instant::now() < end {
        check()?;
        let request = Request::get(READY).header("host", "api.internal").body(Full::<Bytes>::default());
        let response = timeout(READY_TIMEOUT / 10, pool.call(request.unwrap_or_default())).await;
        if matches!(response, Ok(Ok(answer)) if answer.status == StatusCode::OK) {
            return Ok(true);
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(false)
}

fn log_tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let from = text.char_indices().rev().nth(MAX_QUOTED_LOG_CHARS).map_or(0, |(at, _)| at);
    text[from..].trim().replace('\n', " / ")
}
