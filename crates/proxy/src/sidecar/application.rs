//! The application behind the inbound listener: health checks, and the cluster that is there while they pass.
//!
//! [`super`] starts one task of [`Application::watch`], which ends with the runtime.

use crate::catalog::{NumberedEndpoint, Step};
use crate::clusters::Clusters;
use olivecart_decisions::EndpointState;
use olivecart_membership::{ClusterSettings, Endpoint};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The cluster that it is.
pub const CLUSTER: &str = "application";
/// Between two checks while it is down, or after one that failed.
const CHECK_INTERVAL_WHILE_DOWN: Duration = Duration::from_millis(100);
/// Between two checks while it is up.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A check that takes longer has failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Checks that fail in a row before it is down.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// What a check asks for; the same as the decisions' probes.
const CHECK: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: application\r\nConnection: close\r\n\r\n";

/// Whether it is up, from its checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    is_up: bool,
    failed: u32,
}

impl Health {
    /// Takes in a check. Tells what it is from now on, if that is another.
    pub fn checked(&mut self, passed: bool) -> Option<bool> {
        self.failed = if passed { 0 } else { self.failed.saturating_add(1) };
        let is_up = passed || (self.is_up && self.failed < FAILURES_UNTIL_DOWN);
        (std::mem::replace(&mut self.is_up, is_up) != is_up).then_some(is_up)
    }

    /// When it is checked next.
    pub fn next_check_after(&self) -> Duration {
        if self.is_up && self.failed == 0 { CHECK_INTERVAL } else { CHECK_INTERVAL_WHILE_DOWN }
    }
}

/// How many requests may be open at the application.
pub struct Limit {
    most: Cell<u32>,
    clusters: Rc<Clusters>,
}

impl Limit {
    /// A limit, which is in force from when the application is up.
    pub fn new(most: u32, clusters: Rc<Clusters>) -> Limit {
        Limit { most: Cell::new(most), clusters }
    }

    /// Another one holds from now on; what is open stays open.
    pub async fn set(&self, most: u32) {
        self.most.set(most);
        let (cluster, limits) = (CLUSTER.into(), Some(self.settings()));
        let step =
            Step::Changed { cluster, limits, stopping: Vec::new(), ready: Vec::new(), log_message: None };
        self.clusters.apply(step).await;
    }

    fn settings(&self) -> ClusterSettings {
        ClusterSettings { max_requests: Some(self.most.get()), ..ClusterSettings::default() }
    }
}

/// The application and its cluster.
pub struct Application {
    address: SocketAddr,
    limit: Rc<Limit>,
    ready: Rc<Cell<bool>>,
    log: Logger,
}

impl Application {
    /// One that has not been checked yet: nothing is sent to it.
    pub fn new(address: SocketAddr, limit: Rc<Limit>, ready: Rc<Cell<bool>>, log: Logger) -> Application {
        Application { address, limit, ready, log }
    }

    /// Checks it for good, and has requests go to it while it is up.
    pub async fn watch(self) {
        let mut health = Health::default();
        loop {
            let passed = matches!(timeout(CHECK_TIMEOUT, passes(self.address)).await, Ok(Ok(true)));
            if let Some(is_up) = health.checked(passed) {
                self.on_health_changed(is_up).await;
            }
            sleep(health.next_check_after()).await;
        }
    }

    async fn on_health_changed(&self, is_up: bool) {
        match is_up {
            true => info!(self.log, "the application is up"; "at" => %self.address),
            false => warn!(self.log, "the application is down"; "at" => %self.address),
        }
        if !is_up {
            // Danger: without an endpoint the decisions hold requests, and their clients wait for nothing. What
            // was sent already ends by its own deadline.
            self.ready.set(false);
            return self.limit.clusters.apply(Step::Removed(CLUSTER.into())).await;
        }
        let clusters = &self.limit.clusters;
        clusters.apply(Step::Added(CLUSTER.into(), self.limit.settings())).await;
        let endpoint = Arc::new(Endpoint::ready(CLUSTER, self.address));
        let ready = vec![NumberedEndpoint { number: 0, state: EndpointState::Ready, endpoint }];
        let (cluster, stopping) = (CLUSTER.into(), Vec::new());
        clusters.apply(Step::Changed { cluster, limits: None, stopping, ready, log_message: None }).await;
        self.ready.set(true);
    }
}

/// Whether it answers a check with 200. Danger: what listens there now may speak another protocol.
async fn passes(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(CHECK).await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(&head == b"HTTP/1.1 200")
}

#[cfg(test)]
mod tests;
