//! Logs the traffic of all clusters periodically and on request.

use super::Clusters;
use slog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, interval_at};

const REPORT_INTERVAL: Duration = Duration::from_secs(60);

impl Clusters {
    /// Logs the traffic of all clusters every [`REPORT_INTERVAL`] and at each notification. Never returns.
    pub async fn run_reports(self: Rc<Self>, report_requested: Rc<Notify>) {
        let mut ticks = interval_at(Instant::now() + REPORT_INTERVAL, REPORT_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = report_requested.notified() => {}
            }
            self.log_traffic();
        }
    }

    fn log_traffic(&self) {
        for route in self.routes.all() {
            let context = route.context();
            let requests = context.as_ref().map_or(0, |context| context.open_requests());
            let connections = context.as_ref().map_or(0, |context| context.backends.connections());
            info!(self.log, "traffic reported"; "cluster" => &*route.cluster, "present" => context.is_some(),
                "open_requests" => requests, "connections" => connections, "refused" => route.refused());
        }
        info!(self.log, "traffic reported"; "connections" => self.shared.descriptors.open(),
            "longest_batch_us" => self.longest_batch.get().as_micros() as u64);
    }
}
