//! The catalog in the proxy: a thread of its own that runs the sources and the catalog, and tells the event
//! loop only what each cluster's decisions have to know.
//!
//! Weighed against a task of the event loop: a list of 10,000 endpoints takes a parser 30 ms and the catalog
//! 5 ms in one piece, and no request could be served meanwhile. What crosses over is in numbers already, and
//! in pieces that the loop takes one after another.

mod catalog_log;
mod members;
mod source_starter;

pub use members::Numbered;

use crate::clock::Clock;
use crate::cluster_config::{REGISTRY, Source};
use catalog_log::CatalogLog;
use members::{EndpointChanges, Members};
use olivecart_membership::source::{EVENT_QUEUE_CAPACITY, RefetchRequest, SourceEvent};
use olivecart_membership::{
    BadPolicy, Catalog, ClusterName, ClusterSettings, Event, Output, Policy, SourceId,
};
use slog::Logger;
use source_starter::SourceStarter;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, interval_at, sleep_until};

/// Most steps that wait for the event loop.
const MOST_QUEUED_STEPS: usize = 64;
/// How often all is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// What the event loop has to do, in order.
#[derive(Clone, Debug)]
pub enum Step {
    /// A cluster is there, without endpoints yet.
    Added(ClusterName, ClusterSettings),
    /// A cluster is no more.
    Removed(ClusterName),
    /// A cluster has changed.
    Changed {
        /// Which.
        cluster: ClusterName,
        /// Limits that come with it, if they have changed.
        limits: Option<ClusterSettings>,
        /// Endpoints that take nothing new: to be taken in before the others, and all in one changes.
        stops: Vec<Numbered>,
        /// Endpoints that take requests.
        takes: Vec<Numbered>,
        /// What to tell the log when it is done.
        words: Option<String>,
    },
    /// A cluster begins anew with these endpoints: numbers that are spent are given back.
    Renewed {
        /// Which.
        cluster: ClusterName,
        /// Limits that come with it.
        limits: ClusterSettings,
        /// Its endpoints that take nothing new.
        stops: Vec<Numbered>,
        /// Those that take requests.
        takes: Vec<Numbered>,
    },
}

impl Step {
    /// The cluster that it is about.
    pub fn cluster(&self) -> &ClusterName {
        match self {
            Step::Added(cluster, _) | Step::Removed(cluster) => cluster,
            Step::Changed { cluster, .. } | Step::Renewed { cluster, .. } => cluster,
        }
    }
}

/// Why the catalog did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A figure of its caution.
    #[error(transparent)]
    Policy(#[from] BadPolicy),
    /// No thread.
    #[error("no thread for the catalog: {0}")]
    Thread(#[from] io::Error),
}

/// The catalog's thread, seen from the event loop. It ends when this is dropped.
pub struct Handle {
    /// What it says.
    pub steps: Receiver<Step>,
    /// Whoever asks here has all told to the log.
    pub report: Sender<()>,
}

/// Starts the sources and the catalog. Only the clusters in `named` are told of: nothing leads to others. `seed`
/// feeds all chance.
///
/// # Errors
/// Nothing has been started.
pub fn start(
    sources: Vec<Source>,
    policy: Policy,
    named: Vec<ClusterName>,
    seed: u64,
    clock: Clock,
    log: Logger,
) -> Result<Handle, StartError> {
    let catalog = Catalog::new(policy, sources.iter().map(|source| source.id.clone()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ((into, steps), (report, reports)) = (channel(MOST_QUEUED_STEPS), channel(1));
    let named: BTreeSet<_> = named.into_iter().filter(|name| name.as_str() != REGISTRY).collect();
    let catalog_log = CatalogLog::new(log, named.clone());
    let (sink, heard) = channel(EVENT_QUEUE_CAPACITY);
    let starter = SourceStarter { sink, notices: catalog_log.notices(), policy, seed };
    let thread = CatalogThread {
        catalog,
        named,
        members: BTreeMap::new(),
        steps: into,
        asks: BTreeMap::new(),
        clock,
        catalog_log,
    };
    let keep = move || runtime.block_on(thread.run(sources, starter, heard, reports));
    std::thread::Builder::new().name("catalog".into()).spawn(keep)?;
    Ok(Handle { steps, report })
}

/// What the thread owns.
struct CatalogThread {
    catalog: Catalog,
    named: BTreeSet<ClusterName>,
    members: BTreeMap<ClusterName, Members>,
    steps: Sender<Step>,
    asks: BTreeMap<SourceId, Sender<RefetchRequest>>,
    clock: Clock,
    catalog_log: CatalogLog,
}

impl CatalogThread {
    /// Runs until the event loop has gone.
    async fn run(
        mut self,
        sources: Vec<Source>,
        starter: SourceStarter,
        mut heard: Receiver<SourceEvent>,
        mut reports: Receiver<()>,
    ) {
        for source in sources {
            self.asks.insert(source.id.clone(), starter.start(source));
        }
        drop(starter);
        let mut every = interval_at(Instant::now() + REPORT_INTERVAL, REPORT_INTERVAL);
        loop {
            let due = [self.catalog.deadline(), self.catalog_log.due()].into_iter().flatten().min();
            let due = due.map(|at| self.clock.instant(at));
            let tick = async {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            let (event, report) = tokio::select! {
                () = self.steps.closed() => return,
                Some(SourceEvent { event, .. }) = heard.recv() => (event, None),
                () = tick => (Event::Tick, None),
                // The tick brings the catalog's time up to date.
                Some(()) = reports.recv() => (Event::Tick, Some(usize::MAX)),
                _ = every.tick() => (Event::Tick, Some(catalog_log::MOST_REPORTED_CLUSTERS)),
            };
            self.catalog_log.flush(self.clock.now());
            let mut outputs = Vec::new();
            self.catalog.handle(self.clock.now(), event, &mut outputs);
            for output in outputs {
                self.catalog_log.log_output(&output, self.clock.now());
                for step in self.steps(output) {
                    if self.steps.send(step).await.is_err() {
                        return;
                    }
                }
            }
            report.iter().for_each(|most| self.catalog_log.report(&self.catalog, *most));
        }
    }

    /// What the event loop has to know of an output.
    fn steps(&mut self, output: Output) -> Vec<Step> {
        match output {
            Output::Added(added) if self.named.contains(&added.cluster) => {
                self.members.insert(added.cluster.clone(), Members::default());
                vec![Step::Added(added.cluster, added.settings)]
            }
            Output::Removed(removed) if self.members.remove(&removed.cluster).is_some() => {
                vec![Step::Removed(removed.cluster)]
            }
            Output::Changed(change) => {
                let words = self.catalog_log.change_message(&change, self.clock.now());
                let Some(members) = self.members.get_mut(&change.cluster) else { return Vec::new() };
                let EndpointChanges { stops, takes } = members.apply(&change.removed, change.upserted);
                let (cluster, limits) = (change.cluster, change.settings);
                let mut steps = vec![Step::Changed { cluster: cluster.clone(), limits, stops, takes, words }];
                if members.is_spent() {
                    let EndpointChanges { stops, takes } = members.renew();
                    let limits = self.catalog.cluster(&cluster).map(|served| *served.settings);
                    let limits = limits.unwrap_or_default();
                    steps.push(Step::Renewed { cluster, limits, stops, takes });
                }
                steps
            }
            Output::RefetchRequested { cluster, source } => {
                // Danger: waiting for a source that waits for us. Without room the catalog asks again later.
                self.asks
                    .get(&source)
                    .into_iter()
                    .for_each(|asks| _ = asks.try_send(RefetchRequest { cluster: cluster.clone() }));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
