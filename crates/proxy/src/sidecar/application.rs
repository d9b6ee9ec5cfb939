//! The application behind the inbound listener. Checks its health, and adds its cluster while the checks
//! pass.
//!
//! [`super`] starts one task of [`Application::run_health_checks`], which ends with the runtime.

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

/// The name of the application's cluster.
pub const CLUSTER: &str = "application";
/// The interval between health checks while the application is unhealthy, or after a failed check.
const CHECK_INTERVAL_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// The interval between health checks while the application is healthy.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A health check that takes longer has failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of consecutive failures after which the application is unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// The request of a health check, with the same path as the health checks of the decision module.
const CHECK_REQUEST: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: application\r\nConnection: close\r\n\r\n";

/// The health of the application according to its checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    is_healthy: bool,
    consecutive_failures: u32,
}

impl Health {
    /// Records the result of a health check. Returns whether the application is healthy if that has changed.
    pub fn record_check(&mut self, passed: bool) -> Option<bool> {
        self.consecutive_failures = if passed { 0 } else { self.consecutive_failures.saturating_add(1) };
        let is_healthy = passed || (self.is_healthy && self.consecutive_failures < UNHEALTHY_THRESHOLD);
        (std::mem::replace(&mut self.is_healthy, is_healthy) != is_healthy).then_some(is_healthy)
    }

    /// Returns the time until the next check.
    pub fn next_check_delay(&self) -> Duration {
        if self.is_healthy && self.consecutive_failures == 0 {
            CHECK_INTERVAL
        } else {
            CHECK_INTERVAL_AFTER_FAILURE
        }
    }
}

/// The limit on open requests to the application.
pub struct RequestLimit {
    max_requests: Cell<u32>,
    clusters: Rc<Clusters>,
}

impl RequestLimit {
    /// Creates a limit, which takes effect when the application becomes healthy.
    pub fn new(max_requests: u32, clusters: Rc<Clusters>) -> RequestLimit {
        RequestLimit { max_requests: Cell::new(max_requests), clusters }
    }

    /// Changes the limit. Requests that are already open are not affected.
    pub async fn set(&self, max_requests: u32) {
        self.max_requests.set(max_requests);
        let (cluster, limits) = (CLUSTER.into(), Some(self.cluster_settings()));
        let step =
            Step::Changed { cluster, limits, stopping: Vec::new(), ready: Vec::new(), log_message: None };
        self.clusters.apply(step).await;
    }

    fn cluster_settings(&self) -> ClusterSettings {
        ClusterSettings { max_requests: Some(self.max_requests.get()), ..ClusterSettings::default() }
    }
}

/// The application and the state that depends on its health.
pub struct Application {
    address: SocketAddr,
    limit: Rc<RequestLimit>,
    ready: Rc<Cell<bool>>,
    log: Logger,
}

impl Application {
    /// Creates an application that has not been checked yet, and gets no requests.
    pub fn new(
        address: SocketAddr,
        limit: Rc<RequestLimit>,
        ready: Rc<Cell<bool>>,
        log: Logger,
    ) -> Application {
        Application { address, limit, ready, log }
    }

    /// Checks the application's health forever, and routes requests to it while it is healthy.
    pub async fn run_health_checks(self) {
        let mut health = Health::default();
        loop {
            let passed = matches!(timeout(CHECK_TIMEOUT, check_health(self.address)).await, Ok(Ok(true)));
            if let Some(is_healthy) = health.record_check(passed) {
                self.on_health_changed(is_healthy).await;
            }
            sleep(health.next_check_delay()).await;
        }
    }

    async fn on_health_changed(&self, is_healthy: bool) {
        match is_healthy {
            true => info!(self.log, "application became healthy"; "address" => %self.address),
            false => warn!(self.log, "application became unhealthy"; "address" => %self.address),
        }
        if !is_healthy {
            // The whole cluster is removed, since with an empty cluster the decision module would queue
            // requests, and their clients would wait in vain. Requests that were already sent end by their
            // deadlines.
            self.ready.set(false);
            return self.limit.clusters.apply(Step::Removed(CLUSTER.into())).await;
        }
        let clusters = &self.limit.clusters;
        clusters.apply(Step::Added(CLUSTER.into(), self.limit.cluster_settings())).await;
        let endpoint = Arc::new(Endpoint::ready(CLUSTER, self.address));
        let ready = vec![NumberedEndpoint { number: 0, state: EndpointState::Ready, endpoint }];
        let (cluster, stopping) = (CLUSTER.into(), Vec::new());
        clusters.apply(Step::Changed { cluster, limits: None, stopping, ready, log_message: None }).await;
        self.ready.set(true);
    }
}

/// Sends a health check. Returns whether the response has status 200, since another protocol may be spoken at
/// this address.
async fn check_health(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(CHECK_REQUEST).await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(&head == b"HTTP/1.1 200")
}

#[cfg(test)]
mod tests;
