//! The settings and limits of a cluster: those of the platform, overridden by the operators' file and the
//! source.

use super::Clusters;
use crate::cluster_config::REGISTRY;
use crate::cluster_runtime::ClusterRuntime;
use olivecart_decisions::{Discovery, Nanos, Settings};
use olivecart_membership::{ClusterName, ClusterSettings};
use slog::info;
use std::time::Duration;

impl Clusters {
    /// Returns the settings that a cluster's balancer is started with.
    pub(super) fn settings(&self, cluster: &ClusterName, from_source: &ClusterSettings) -> Settings {
        let overrides = self.overrides.get(cluster).copied().unwrap_or_default();
        let mut settings = self.shared.site.borrow().settings.clone();
        if cluster.as_str() != REGISTRY {
            settings.discovery = Discovery::Automatic; // the catalog pushes updates
        }
        let limits = &mut settings.limits;
        if let Some(timeout) = overrides.over(from_source).connect_timeout {
            limits.connect_timeout = timeout.as_nanos() as Nanos;
        }
        if let Some(max_attempts) = overrides.max_attempts {
            limits.max_attempts = limits.max_attempts.min(max_attempts);
        }
        limits.health_checks_enabled &= overrides.probes.unwrap_or(true);
        settings
    }

    /// Applies the limits that can change while a cluster is in use.
    pub(super) fn apply_limits(
        &self,
        cluster: &ClusterName,
        runtime: &ClusterRuntime,
        from_source: &ClusterSettings,
    ) {
        let limits = self.overrides.get(cluster).copied().unwrap_or_default().over(from_source);
        let default_timeout = Duration::from_nanos(self.shared.site.borrow().settings.limits.connect_timeout);
        let connect_timeout = limits.connect_timeout.unwrap_or(default_timeout);
        runtime.context.backends.set_limits(connect_timeout, count_or_unlimited(limits.max_connections));
        runtime.context.set_max_open_requests(count_or_unlimited(limits.max_requests));
        if limits.max_pending_requests.is_some() || limits.max_retries.is_some() {
            info!(self.log, "cluster limits ignored"; "cluster" => %cluster,
                "limits" => "max_pending_requests, max_retries",
                "reason" => "the balancer limits queued requests and retries by its own budgets");
        }
    }
}

fn count_or_unlimited(limit: Option<u32>) -> usize {
    limit.map_or(usize::MAX, |count| count as usize)
}
