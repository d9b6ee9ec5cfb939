//! What operators see of the catalog: a line at each change, and all of it every minute or when asked.

use olivecart_membership::{Catalog, Change, ClusterName, Nanos, Output, SourceId};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// Clusters that are told of every minute; those with something amiss first.
pub const MOST_LINES: usize = 50;
/// Lines about the changes of one cluster are at least so far apart.
const APART: Nanos = 1_000_000_000;

/// Who tells operators.
pub struct Sight {
    log: Logger,
    named: BTreeSet<ClusterName>,
    told: BTreeMap<ClusterName, Told>,
    notices: Notices,
}

/// What was told of a cluster's changes.
#[derive(Default)]
struct Told {
    /// When one was last told.
    at: Nanos,
    /// How many were not since then, and the last of them.
    untold: u64,
    last: String,
}

/// What sources told of themselves last, shared with them.
#[derive(Clone)]
pub struct Notices {
    log: Logger,
    last: Arc<Mutex<BTreeMap<SourceId, String>>>,
}

impl Notices {
    /// Notes and tells what a source says of itself.
    pub fn note(&self, source: &SourceId, tone: Tone, words: &dyn fmt::Display) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match tone {
            Tone::Fine => _ = last.remove(source),
            Tone::Amiss => _ = last.insert(source.clone(), words.to_string()),
            Tone::Remark => {}
        }
        drop(last);
        match tone {
            Tone::Amiss => warn!(self.log, "source"; "source" => %source, "is" => %words),
            Tone::Fine | Tone::Remark => info!(self.log, "source"; "source" => %source, "is" => %words),
        }
    }
}

/// What something that a source says of itself means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tone {
    /// All is well with it again.
    Fine,
    /// It changes nothing.
    Remark,
    /// Somebody should look, until all is well.
    Amiss,
}

impl Sight {
    /// `named`: the clusters that anything leads to.
    pub fn new(log: Logger, named: BTreeSet<ClusterName>) -> Sight {
        let notices = Notices { log: log.clone(), last: Arc::default() };
        Sight { log, named, told: BTreeMap::new(), notices }
    }

    /// For sources to tell of themselves.
    pub fn notices(&self) -> Notices {
        self.notices.clone()
    }

    /// Tells of what the catalog put out, but for what the event loop tells when it has done it: clusters that
    /// come, change and go.
    pub fn see(&mut self, output: &Output, now: Nanos) {
        match output {
            Output::Added(added) if !self.named.contains(&added.cluster) => {
                info!(self.log, "cluster not served: nothing leads to it"; "cluster" => %added.cluster,
                    "source" => %added.source);
            }
            Output::Removed(removed) => _ = self.told.remove(&removed.cluster),
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

    /// What to tell of a change once it is done; none where one was told a moment ago. Danger: an endpoint
    /// that changes ten times a second would fill the log.
    pub fn words(&mut self, change: &Change, now: Nanos) -> Option<String> {
        let told = self.told.entry(change.cluster.clone()).or_default();
        let Change { source, version, removed, upserted, cause, .. } = change;
        let words = format!(
            "version {version} of {source}: {} removed, {} changed: {cause}",
            removed.len(),
            upserted.len()
        );
        if now.saturating_sub(told.at) < APART {
            (told.untold, told.last) = (told.untold + 1, words);
            return None;
        }
        (told.at, told.untold) = (now, 0);
        Some(words)
    }

    /// When [`flush`](Self::flush) is wanted.
    pub fn due(&self) -> Option<Nanos> {
        self.told.values().filter(|told| told.untold > 0).map(|told| told.at + APART).min()
    }

    /// Tells the last of the changes that have waited for long enough.
    pub fn flush(&mut self, now: Nanos) {
        for (cluster, told) in &mut self.told {
            if told.untold > 0 && now.saturating_sub(told.at) >= APART {
                info!(self.log, "cluster changed"; "cluster" => %cluster, "last" => &told.last,
                    "changes" => told.untold);
                (told.at, told.untold) = (now, 0);
            }
        }
    }

    /// Tells of all clusters, or of so many.
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
