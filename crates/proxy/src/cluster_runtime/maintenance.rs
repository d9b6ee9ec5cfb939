//! The maintenance task of a cluster: closes idle connections, logs violated invariants, and ends the tasks
//! of a removed cluster once its last request has ended.

use super::ClusterRuntime;
use crate::invariant::take_violations;
use slog::{error, info};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::interval;

const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a removed cluster is checked for requests that are still open.
const REMOVED_CLUSTER_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl ClusterRuntime {
    /// Runs until the cluster is retired and drained, and then aborts the timer task.
    pub(super) async fn run_maintenance(self: Rc<Self>, timers: JoinHandle<()>) {
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.retired.notified() => break,
            }
            self.context.backends.close_expired();
            self.log_violations();
        }
        self.wait_until_drained().await;
        timers.abort();
        info!(self.log, "removed cluster drained");
    }

    fn log_violations(&self) {
        for (invariant, count) in take_violations() {
            error!(self.log, "invariant violated"; "invariant" => invariant, "count" => count);
        }
    }

    /// Waits until nothing else refers to the context, as each open request, attempt and health check does.
    async fn wait_until_drained(&self) {
        let mut ticks = interval(REMOVED_CLUSTER_POLL_INTERVAL);
        while Rc::strong_count(&self.context) > 1 {
            ticks.tick().await;
        }
    }
}
