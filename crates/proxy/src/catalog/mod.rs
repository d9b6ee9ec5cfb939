//! Runs the catalog and its sources on a thread of their own and sends the event loop the steps that the
//! balancers of the clusters need.
//!
//! The thread keeps the work off the event loop: for a list of 10,000 endpoints, parsing takes 30 ms and the
//! catalog 5 ms without interruption, during which the event loop would serve no request. The steps refer to
//! endpoints by number and the event loop applies them one after another.

mod catalog_log;
mod members;
mod source_starter;

pub use members::NumberedEndpoint;

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

/// Capacity of the queue of steps to the event loop.
const STEP_QUEUE_CAPACITY: usize = 64;
/// Interval at which the state of sources and clusters is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// A change for the event loop to apply, in the order of the queue.
#[derive(Clone, Debug)]
pub enum Step {
    /// A cluster was added; its endpoints follow in the next steps.
    Added(ClusterName, ClusterSettings),
    /// A cluster was removed.
    Removed(ClusterName),
    /// A cluster has changed.
    Changed {
        /// The cluster.
        cluster: ClusterName,
        /// The limits from the source, if they have changed.
        limits: Option<ClusterSettings>,
        /// Changed endpoints that receive no new requests. They are applied first and all at once.
        stopping: Vec<NumberedEndpoint>,
        /// Changed endpoints that receive requests.
        ready: Vec<NumberedEndpoint>,
        /// The text to log once the step is applied.
        log_message: Option<String>,
    },
    /// The endpoints of a cluster were renumbered, to free the numbers of removed endpoints. A new balancer
    /// replaces the one of the cluster.
    Renumbered {
        /// The cluster.
        cluster: ClusterName,
        /// The limits from the source.
        limits: ClusterSettings,
        /// The endpoints that receive no new requests.
        stopping: Vec<NumberedEndpoint>,
        /// The endpoints that receive requests.
        ready: Vec<NumberedEndpoint>,
    },
}

impl Step {
    /// Returns the cluster that the step changes.
    pub fn cluster(&self) -> &ClusterName {
        match self {
            Step::Added(cluster, _) | Step::Removed(cluster) => cluster,
            Step::Changed { cluster, .. } | Step::Renumbered { cluster, .. } => cluster,
        }
    }
}

/// The catalog cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting of the policy is out of range.
    #[error(transparent)]
    Policy(#[from] BadPolicy),
    /// The thread or its runtime cannot be created.
    #[error("cannot start the catalog thread: {0}")]
    Thread(#[from] io::Error),
}

/// The event loop's handle to the catalog thread. The thread ends when the handle is dropped.
pub struct Handle {
    /// Receives the steps to apply.
    pub steps: Receiver<Step>,
    /// Requests a log report of all sources and clusters.
    pub report: Sender<()>,
}

/// Starts the catalog and its sources. Steps are sent only for the clusters in `routed`, to which rules lead.
/// `seed` is the seed of all random choices.
///
/// # Errors
/// The policy is invalid or the thread cannot be created. Nothing has been started.
pub fn start(
    sources: Vec<Source>,
    policy: Policy,
    routed: Vec<ClusterName>,
    seed: u64,
    clock: Clock,
    log: Logger,
) -> Result<Handle, StartError> {
    let catalog = Catalog::new(policy, sources.iter().map(|source| source.id.clone()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ((step_sender, steps), (report, report_requests)) = (channel(STEP_QUEUE_CAPACITY), channel(1));
    let routed: BTreeSet<_> = routed.into_iter().filter(|name| name.as_str() != REGISTRY).collect();
    let catalog_log = CatalogLog::new(log, routed.clone());
    let (event_sender, events) = channel(EVENT_QUEUE_CAPACITY);
    let starter = SourceStarter { event_sender, notices: catalog_log.notices(), policy, seed };
    let thread = CatalogThread {
        catalog,
        routed,
        members: BTreeMap::new(),
        steps: step_sender,
        refetch_senders: BTreeMap::new(),
        clock,
        catalog_log,
    };
    let run = move || runtime.block_on(thread.run(sources, starter, events, report_requests));
    std::thread::Builder::new().name("catalog".into()).spawn(run)?;
    Ok(Handle { steps, report })
}

/// The state of the catalog thread.
struct CatalogThread {
    catalog: Catalog,
    routed: BTreeSet<ClusterName>,
    members: BTreeMap<ClusterName, Members>,
    steps: Sender<Step>,
    refetch_senders: BTreeMap<SourceId, Sender<RefetchRequest>>,
    clock: Clock,
    catalog_log: CatalogLog,
}

impl CatalogThread {
    /// Runs until the event loop drops the receiver of the steps.
    async fn run(
        mut self,
        sources: Vec<Source>,
        starter: SourceStarter,
        mut events: Receiver<SourceEvent>,
        mut report_requests: Receiver<()>,
    ) {
        for source in sources {
            self.refetch_senders.insert(source.id.clone(), starter.start(source));
        }
        drop(starter);
        let mut report_timer = interval_at(Instant::now() + REPORT_INTERVAL, REPORT_INTERVAL);
        loop {
            let due = [self.catalog.deadline(), self.catalog_log.due()].into_iter().flatten().min();
            let due = due.map(|at| self.clock.instant(at));
            let timer = async {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            let (event, report) = tokio::select! {
                () = self.steps.closed() => return,
                Some(SourceEvent { event, .. }) = events.recv() => (event, None),
                () = timer => (Event::Tick, None),
                // The tick updates the catalog's time before the report.
                Some(()) = report_requests.recv() => (Event::Tick, Some(usize::MAX)),
                _ = report_timer.tick() => (Event::Tick, Some(catalog_log::MAX_REPORTED_CLUSTERS)),
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
            report.iter().for_each(|max_clusters| self.catalog_log.report(&self.catalog, *max_clusters));
        }
    }

    /// Converts an output of the catalog to steps for the event loop.
    fn steps(&mut self, output: Output) -> Vec<Step> {
        match output {
            Output::Added(added) if self.routed.contains(&added.cluster) => {
                self.members.insert(added.cluster.clone(), Members::default());
                vec![Step::Added(added.cluster, added.settings)]
            }
            Output::Removed(removed) if self.members.remove(&removed.cluster).is_some() => {
                vec![Step::Removed(removed.cluster)]
            }
            Output::Changed(change) => {
                let log_message = self.catalog_log.change_message(&change, self.clock.now());
                let Some(members) = self.members.get_mut(&change.cluster) else { return Vec::new() };
                let EndpointChanges { stopping, ready } = members.apply(&change.removed, change.upserted);
                let (cluster, limits) = (change.cluster, change.settings);
                let mut steps =
                    vec![Step::Changed { cluster: cluster.clone(), limits, stopping, ready, log_message }];
                if members.needs_renumbering() {
                    let EndpointChanges { stopping, ready } = members.renumber();
                    let limits = self.catalog.cluster(&cluster).map(|served| *served.settings);
                    let limits = limits.unwrap_or_default();
                    steps.push(Step::Renumbered { cluster, limits, stopping, ready });
                }
                steps
            }
            Output::RefetchRequested { cluster, source } => {
                // Waiting here for a source that waits for this thread would deadlock. If the queue is full,
                // the request is dropped, and the catalog repeats it later.
                self.refetch_senders
                    .get(&source)
                    .into_iter()
                    .for_each(|sender| _ = sender.try_send(RefetchRequest { cluster: cluster.clone() }));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
