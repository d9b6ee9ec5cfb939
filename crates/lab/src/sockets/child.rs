//! A real proxy as a child process.

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

/// Longest wait until a child is ready.
const STARTS: Duration = Duration::from_secs(15);
/// Between two looks.
const LOOKS: Duration = Duration::from_millis(10);
/// Of a child's log, as much is told when it fails.
const TOLD: usize = 600;

/// Why a child does not run.
#[derive(Debug, thiserror::Error)]
pub enum ChildError {
    /// Its files cannot be written, or the program cannot be started.
    #[error("{}: {}", .0.display(), .1)]
    Start(PathBuf, io::Error),
    /// It ended by itself.
    #[error("{name} ended ({status}): {log}")]
    Ended {
        /// Its name.
        name: String,
        /// How.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// It does not become ready.
    #[error("{name} was not ready after {STARTS:?}: {log}")]
    NotReady {
        /// Its name.
        name: String,
        /// The end of its log.
        log: String,
    },
}

/// A proxy that runs. Dropped, it is killed and reaped, whatever state it is in.
pub struct Child {
    name: String,
    listen: SocketAddr,
    process: std::process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts `olivecart serve` with a configuration; its files go into a folder. It has a process group of
    /// its own. Danger: an interrupt from the terminal would reach it too, and it would leave before whoever
    /// started it has seen the interrupt.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        listen: SocketAddr,
        config: &Value,
    ) -> Result<Child, ChildError> {
        let (file, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        let at = |path: &Path, e| ChildError::Start(path.to_owned(), e);
        std::fs::write(&file, config.to_string()).map_err(|e| at(&file, e))?;
        let to = File::options().create(true).append(true).open(&log).map_err(|e| at(&log, e))?;
        let mut command = Command::new(program);
        command.arg("serve").env("EDGE_CONFIG", &file).process_group(0);
        ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"].iter().for_each(|name| _ = command.env_remove(name));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(to);
        let process = command.spawn().map_err(|e| at(program, e))?;
        Ok(Child { name: name.to_owned(), listen, process, log })
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Whether it has ended, and that nobody asked it to.
    ///
    /// # Errors
    /// It has.
    pub fn check(&mut self) -> Result<(), ChildError> {
        match self.process.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(ChildError::Ended {
                name: self.name.clone(),
                status: status.to_string(),
                log: end_of(&self.log),
            }),
            Err(e) => Err(ChildError::Start(self.log.clone(), e)),
        }
    }

    /// The child as it is not ready yet.
    pub fn not_ready(&self) -> ChildError {
        ChildError::NotReady { name: self.name.clone(), log: end_of(&self.log) }
    }

    /// Asks it to leave.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops it as if its machine had vanished: it says nothing more, and its connections stay open.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process);
        let _ = kill_process(pid, signal); // it has ended, and is not reaped before it is dropped
    }

    /// Waits for its end. False: it still runs after this time.
    pub async fn ends_within(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            if !matches!(self.process.try_wait(), Ok(None)) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(LOOKS).await;
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill(); // it has ended already
        let _ = self.process.wait();
    }
}

/// Waits until a proxy says that it is ready, as long as `runs` does not say why it will not be. False: it
/// did not become ready in time.
pub async fn becomes_ready<E>(
    listen: SocketAddr,
    mut runs: impl FnMut() -> Result<(), E>,
) -> Result<bool, E> {
    let (pool, end) = (Pool::new(listen, 1), Instant::now() + STARTS);
    while Instant::now() < end {
        runs()?;
        let ask = Request::get(READY).header("host", "api.internal").body(Full::<Bytes>::default());
        let asked = timeout(STARTS / 10, pool.call(ask.unwrap_or_default())).await;
        if matches!(asked, Ok(Ok(answer)) if answer.status == StatusCode::OK) {
            return Ok(true);
        }
        sleep(LOOKS).await;
    }
    Ok(false)
}

fn end_of(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let from = text.char_indices().rev().nth(TOLD).map_or(0, |(at, _)| at);
    text[from..].trim().replace('\n', " / ")
}
