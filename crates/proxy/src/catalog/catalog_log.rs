//! The log of the catalog: a line at each change, and all of it every minute or when asked.
//!
//! The catalog's thread owns it. Sources log through [`Notices`]. It decides nothing.

use olivecart_membership::{Catalog, Change, ClusterName, Nanos, Output, SourceId};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// Most clusters that are reported every minute; those with a problem first.
pub const MOST_REPORTED_CLUSTERS: usize = 50;
/// Least time between two lines about the changes of one cluster.
const MINIMUM_LOG_INTERVAL: Nanos = 1_000_000_000;

/// The log, and what it has logged lately.
pub struct CatalogLog {
    log: Logger,
    named: BTreeSet<ClusterName>,
    logged: BTreeMap<ClusterName, LoggedChanges>,
    notices: Notices,
}

/// What was logged of a cluster's changes.
#[derive(Default)]
struct LoggedChanges {
    /// When one was last logged.
    at: Nanos,
    /// How many were not since then, and the last of them.
    suppressed: u64,
    last: String,
}

/// The last problem of each source, shared with them.
#[derive(Clone)]
pub struct Notices {
    log: Logger,
    last: Arc<Mutex<BTreeMap<SourceId, String>>>,
}

impl Notices {
    /// Records and logs what a source says of itself.
    pub fn record(&self, source: &SourceId, severity: Severity, words: &dyn fmt::Display) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match severity {
            Severity::Recovered => _ = last.remove(source),
            Severity::Warning => _ = last.insert(source.clone(), words.to_string()),
            Severity::Info => {}
        }
        drop(last);
        match severity {
            Severity::Warning => warn!(self.log, "source"; "source" => %source, "is" => %words),
            Severity::Recovered | Severity::Info => {
                info!(self.log, "source"; "source" => %source, "is" => %words)
            }
        }
    }
}

/// What a notice of a source means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// It has no problem any more.
    Recovered,
    /// It changes nothing.
    Info,
    /// It has a problem, until it has recovered.
    Warning,
}

impl CatalogLog {
    /// `named`: the clusters that anything leads to.
    pub fn new(log: Logger, named: BTreeSet<ClusterName>) -> CatalogLog {
        let notices = Notices { log: log.clone(), last: Arc::default() };
        CatalogLog { log, named, logged: BTreeMap::new(), notices }
    }

    /// For sources to log by.
    pub fn notices(&self) -> Notices {
        self.notices.clone()
    }

    /// Logs what the catalog put out, but for what the event loop logs when it has done it: clusters that
    /// come, change and go.
    pub fn log_output(&mut self, output: &Output, now: Nanos) {
        match output {
            Output::Added(added) if !self.named.contains(&added.cluster) => {
                info!(self.log, "cluster not served: nothing leads to it"; "cluster" => %added.cluster,
                    "source" => %added.source);
            }
            Output::Removed(removed) => _ = self.logged.remove(&removed.cluster),
            Output::Stale(aged) => {
                let for_ms = now.saturating_sub(aged.since) / 1_000_000;
                warn!(self.log, "cluster aged"; "cluster" => %aged.cluster, "source" => %aged.source,
                    "silent_ms" => for_ms);
            }
            Output::Recovered { cluster, source } => {
                info!(self.log, "cluster renewed"; "cluster" => %cluster, "source" => %source);
            }
            Output::Quarantined(held) => warn!(self.log, "held"; "what" => %held),
            Output::Released { cluster, source, cause } => {
                info!(self.log, "released"; "cluster" => %cluster, "source" => %source, "because" => %cause);
            }
            Output::QuarantineDropped { cluster, source } => {
                info!(self.log, "withdrawn"; "cluster" => %cluster, "source" => %source);
            }
            Output::Rejected(refusal) => warn!(self.log, "refused"; "what" => %refusal),
            Output::Added(_) | Output::Changed(_) | Output::RefetchRequested { .. } => {}
        }
    }

    /// What to log of a change once it is done; none where one was logged a moment ago. Danger: an endpoint
    /// that changes ten times a second would fill the log.
    pub fn change_message(&mut self, change: &Change, now: Nanos) -> Option<String> {
        let logged = self.logged.entry(change.cluster.clone()).or_default();
        let Change { source, version, removed, upserted, cause, .. } = change;
        let words = format!(
            "version {version} of {source}: {} removed, {} changed: {cause}",
            removed.len(),
            upserted.len()
        );
        if now.saturating_sub(logged.at) < MINIMUM_LOG_INTERVAL {
            (logged.suppressed, logged.last) = (logged.suppressed + 1, words);
            return None;
        }
        (logged.at, logged.suppressed) = (now, 0);
        Some(words)
    }

    /// When [`flush`](Self::flush) is wanted.
    pub fn due(&self) -> Option<Nanos> {
        self.logged
            .values()
            .filter(|logged| logged.suppressed > 0)
            .map(|logged| logged.at + MINIMUM_LOG_INTERVAL)
            .min()
    }

    /// Logs the last of the changes that have waited for long enough.
    pub fn flush(&mut self, now: Nanos) {
        for (cluster, logged) in &mut self.logged {
            if logged.suppressed > 0 && now.saturating_sub(logged.at) >= MINIMUM_LOG_INTERVAL {
                info!(self.log, "cluster changed"; "cluster" => %cluster, "last" => &logged.last,
                    "changes" => logged.suppressed);
                (logged.at, logged.suppressed) = (now, 0);
            }
        }
    }

    /// Logs all sources, and most clusters.
    pub fn report(&self, catalog: &Catalog, most: usize) {
        for source in catalog.sources() {
            let last = self.notices.last.lock().unwrap_or_else(PoisonError::into_inner);
            let last = last.get(&source.source).cloned();
            let refusal =
                source.rejection.map(|refusal| format!("{} ms ago: {}", refusal.ms_ago, refusal.reason));
            let silent = source.silent.map(|(silence, ms)| format!("{silence} for {ms} ms"));
            let is = silent.into_iter().chain(last).chain(refusal).collect::<Vec<_>>().join("; ");
            let is = if is.is_empty() { "in touch" } else { &is };
            info!(self.log, "source"; "source" => %source.source, "is" => is);
        }
        let mut views = catalog.view();
        let there: BTreeSet<_> = views.iter().map(|view| view.cluster.clone()).collect();
        for missing in self.named.difference(&there) {
            warn!(self.log, "cluster"; "is" => format!("{missing}: requests are led here, and no source has it"));
        }
        let amiss = |feed: &olivecart_membership::SubscriptionView| {
            feed.quarantine.is_some() || feed.rejection.is_some()
        };
        views.sort_by_key(|view| !(view.is_stale || view.subscriptions.iter().any(amiss)));
        for view in views.iter().take(most) {
            let text = view.to_string();
            text.lines().for_each(|line| info!(self.log, "cluster"; "is" => line));
        }
        if views.len() > most {
            info!(self.log, "cluster"; "is" => format!("{} more; SIGUSR1 tells of all", views.len() - most));
        }
    }
}
