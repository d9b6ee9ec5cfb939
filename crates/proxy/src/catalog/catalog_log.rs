//! Logs the events of the catalog and, periodically or on request, the state of its sources and clusters.
//!
//! Owned by the catalog thread. Sources log through [`Notices`].

use olivecart_membership::{Catalog, Change, ClusterName, Nanos, Output, SourceId};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// Largest number of clusters in a periodic report. Clusters with a problem come first.
pub const MAX_REPORTED_CLUSTERS: usize = 50;
/// Minimum interval between logged changes of the same cluster, in nanoseconds.
const MIN_LOG_INTERVAL_NS: Nanos = 1_000_000_000;

/// Logs the catalog's events and limits the rate of logged changes.
pub struct CatalogLog {
    log: Logger,
    routed: BTreeSet<ClusterName>,
    logged: BTreeMap<ClusterName, LoggedChanges>,
    notices: Notices,
}

/// The rate limit state of a cluster's changes.
#[derive(Default)]
struct LoggedChanges {
    /// The time of the last logged change.
    at: Nanos,
    /// The number of changes since then that were not logged.
    suppressed: u64,
    /// The message of the last suppressed change.
    last: String,
}

/// Logs the notices of sources and keeps the current problem of each. Shared by the sources.
#[derive(Clone)]
pub struct Notices {
    log: Logger,
    last: Arc<Mutex<BTreeMap<SourceId, String>>>,
}

impl Notices {
    /// Records and logs a notice of a source.
    pub fn record(&self, source: &SourceId, severity: Severity, notice: &dyn fmt::Display) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match severity {
            Severity::Recovered => _ = last.remove(source),
            Severity::Warning => _ = last.insert(source.clone(), notice.to_string()),
            Severity::Info => {}
        }
        drop(last);
        match severity {
            Severity::Warning => warn!(self.log, "source degraded"; "source" => %source, "reason" => %notice),
            Severity::Recovered | Severity::Info => {
                info!(self.log, "source status changed"; "source" => %source, "status" => %notice)
            }
        }
    }
}

/// The effect of a notice on the state of its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The source has no problem any more.
    Recovered,
    /// The state of the source is unchanged.
    Info,
    /// The source has a problem, until the next [`Recovered`](Severity::Recovered).
    Warning,
}

impl CatalogLog {
    /// `routed` are the clusters that routing rules lead to.
    pub fn new(log: Logger, routed: BTreeSet<ClusterName>) -> CatalogLog {
        let notices = Notices { log: log.clone(), last: Arc::default() };
        CatalogLog { log, routed, logged: BTreeMap::new(), notices }
    }

    /// Returns the logger for sources.
    pub fn notices(&self) -> Notices {
        self.notices.clone()
    }

    /// Logs an output of the catalog, except for added, changed and removed clusters, which the event loop
    /// logs once it has applied them.
    pub fn log_output(&mut self, output: &Output, now: Nanos) {
        match output {
            Output::Added(added) if !self.routed.contains(&added.cluster) => {
                info!(self.log, "cluster ignored"; "cluster" => %added.cluster, "source" => %added.source,
                    "reason" => "no routing rule leads to it");
            }
            Output::Removed(removed) => _ = self.logged.remove(&removed.cluster),
            Output::Stale(stale) => {
                let silent_ms = now.saturating_sub(stale.since) / 1_000_000;
                warn!(self.log, "cluster stale"; "cluster" => %stale.cluster, "source" => %stale.source,
                    "silent_ms" => silent_ms);
            }
            Output::Recovered { cluster, source } => {
                info!(self.log, "stale cluster recovered"; "cluster" => %cluster, "source" => %source);
            }
            Output::Quarantined(quarantined) => {
                warn!(self.log, "update quarantined"; "cluster" => %quarantined.cluster,
                    "source" => %quarantined.source, "reason" => %quarantined);
            }
            Output::Released { cluster, source, cause } => {
                info!(self.log, "quarantine released"; "cluster" => %cluster, "source" => %source,
                    "reason" => %cause);
            }
            Output::QuarantineDropped { cluster, source } => {
                info!(self.log, "quarantined update withdrawn"; "cluster" => %cluster, "source" => %source);
            }
            Output::Rejected(rejection) => {
                // Without a key for the cluster: its name may be invalid, and `reason` quotes it.
                warn!(self.log, "endpoint update rejected"; "source" => %rejection.source,
                    "reason" => %rejection);
            }
            Output::Added(_) | Output::Changed(_) | Output::RefetchRequested { .. } => {}
        }
    }

    /// Returns the text to log once a change is applied, or `None` within [`MIN_LOG_INTERVAL_NS`] of the last
    /// logged change of the cluster. Without this limit, an endpoint that changes ten times a second would
    /// flood the log.
    pub fn change_message(&mut self, change: &Change, now: Nanos) -> Option<String> {
        let logged = self.logged.entry(change.cluster.clone()).or_default();
        let Change { source, version, removed, upserted, cause, .. } = change;
        let message = format!(
            "version {version} of {source}: {} removed, {} changed: {cause}",
            removed.len(),
            upserted.len()
        );
        if now.saturating_sub(logged.at) < MIN_LOG_INTERVAL_NS {
            (logged.suppressed, logged.last) = (logged.suppressed + 1, message);
            return None;
        }
        (logged.at, logged.suppressed) = (now, 0);
        Some(message)
    }

    /// Returns when [`flush`](Self::flush) is due next.
    pub fn due(&self) -> Option<Nanos> {
        self.logged
            .values()
            .filter(|logged| logged.suppressed > 0)
            .map(|logged| logged.at + MIN_LOG_INTERVAL_NS)
            .min()
    }

    /// Logs the last suppressed change of each cluster whose interval has passed.
    pub fn flush(&mut self, now: Nanos) {
        for (cluster, logged) in &mut self.logged {
            if logged.suppressed > 0 && now.saturating_sub(logged.at) >= MIN_LOG_INTERVAL_NS {
                info!(self.log, "cluster changed"; "cluster" => %cluster, "last_change" => &logged.last,
                    "changes" => logged.suppressed);
                (logged.at, logged.suppressed) = (now, 0);
            }
        }
    }

    /// Logs the state of all sources and of at most `max_clusters` clusters.
    pub fn report(&self, catalog: &Catalog, max_clusters: usize) {
        for source in catalog.sources() {
            let last = self.notices.last.lock().unwrap_or_else(PoisonError::into_inner);
            let last = last.get(&source.source).cloned();
            let rejection = source
                .rejection
                .map(|rejection| format!("{} ms ago: {}", rejection.ms_ago, rejection.reason));
            let silent = source.silent.map(|(silence, ms)| format!("{silence} for {ms} ms"));
            let status = silent.into_iter().chain(last).chain(rejection).collect::<Vec<_>>().join("; ");
            let status = if status.is_empty() { "healthy" } else { &status };
            info!(self.log, "source reported"; "source" => %source.source, "status" => status);
        }
        let mut views = catalog.view();
        let present: BTreeSet<_> = views.iter().map(|view| view.cluster.clone()).collect();
        for missing in self.routed.difference(&present) {
            warn!(self.log, "cluster missing"; "cluster" => %missing,
                "reason" => "requests are routed to it, but no source provides it");
        }
        let has_problem = |subscription: &olivecart_membership::SubscriptionView| {
            subscription.quarantine.is_some() || subscription.rejection.is_some()
        };
        views.sort_by_key(|view| !(view.is_stale || view.subscriptions.iter().any(has_problem)));
        for view in views.iter().take(max_clusters) {
            let text = view.to_string();
            text.lines().for_each(|line| info!(self.log, "cluster reported"; "status" => line));
        }
        if views.len() > max_clusters {
            info!(self.log, "cluster report truncated"; "omitted" => views.len() - max_clusters,
                "reason" => "SIGUSR1 reports all clusters");
        }
    }
}
