//! Starts the task of each source, according to the kind of the source.
//!
//! The catalog thread starts every source once; the tasks end with the runtime of that thread.

use super::catalog_log::{Notices, Severity};
use crate::cluster_config::{Source, SourceKind, Watched, Xds};
use olivecart_membership::source::{EventSender, REFETCH_QUEUE_CAPACITY, RefetchReceiver, RefetchRequest};
use olivecart_membership::watch::{self, Kind, Parser, Watch};
use olivecart_membership::xds::session::{Config, Node, SessionNotice};
use olivecart_membership::xds::transport::{self, Target};
use olivecart_membership::{Policy, SourceId};
use rustc_hash::FxBuildHasher;
use std::hash::BuildHasher;
use tokio::sync::mpsc::{Sender, channel};

/// The parameters that all sources share.
pub struct SourceStarter {
    /// Receives the events of the sources.
    pub event_sender: EventSender,
    /// Receives the notices of the sources.
    pub notices: Notices,
    /// The limits of the catalog. An xDS source rejects resources that exceed them, so that the control plane
    /// learns of it.
    pub policy: Policy,
    /// The seed of all random choices.
    pub seed: u64,
}

impl SourceStarter {
    /// Starts a source and returns the sender of refetch requests to it.
    pub fn start(&self, Source { id, kind }: Source) -> Sender<RefetchRequest> {
        let (refetch_sender, refetch_receiver) = channel(REFETCH_QUEUE_CAPACITY);
        match kind {
            SourceKind::File(watched) => {
                self.start_watch(id, watched, Kind::File, watch::parse_documented, refetch_receiver)
            }
            SourceKind::Directory(watched) => {
                self.start_watch(id, watched, Kind::Directory, watch::parse_documented, refetch_receiver);
            }
            SourceKind::Envoy(watched) => {
                self.start_watch(id, watched, Kind::File, watch::parse_envoy, refetch_receiver)
            }
            SourceKind::Xds(xds) => self.start_xds(id, xds, refetch_receiver),
        }
        refetch_sender
    }

    fn start_watch(
        &self,
        source: SourceId,
        watched: Watched,
        kind: Kind,
        parse: Parser,
        refetch_receiver: RefetchReceiver,
    ) {
        let Watched { path, poll } = watched;
        let (notices, source_id) = (self.notices.clone(), source.clone());
        let on_notice = move |notice: watch::Notice| {
            let severity = match &notice {
                watch::Notice::Recovered => Severity::Recovered,
                watch::Notice::Warning(_) => Severity::Info,
                watch::Notice::Rejected(_)
                | watch::Notice::Unavailable(_)
                | watch::Notice::EventsUnavailable(_) => Severity::Warning,
            };
            notices.record(&source_id, severity, &notice);
        };
        let watch = Watch { source, path, kind, poll };
        tokio::spawn(watch::run(watch, parse, self.event_sender.clone(), refetch_receiver, on_notice));
    }

    fn start_xds(&self, source: SourceId, xds: Xds, refetch_receiver: RefetchReceiver) {
        let (notices, source_id) = (self.notices.clone(), source.clone());
        let on_notice = move |notice: &SessionNotice| {
            let severity = match notice {
                SessionNotice::Connected => Severity::Recovered,
                notice if notice.is_warning() => Severity::Warning,
                _ => Severity::Info,
            };
            notices.record(&source_id, severity, notice);
        };
        let node = Node { id: xds.node, cluster: xds.node_cluster, region: xds.region, zone: xds.zone };
        let config = Config {
            clusters: xds.clusters.into_iter().collect(),
            variant: xds.variant,
            first_fetch: xds.first_fetch,
            backoff_most: xds.backoff,
            backoff_base: Config::BACKOFF_BASE.min(xds.backoff),
            max_clusters: self.policy.max_clusters,
            max_endpoints: self.policy.max_endpoints,
            // A seed of its own for each node: with a common one, proxies that lose their control plane
            // together would all reconnect at the same time.
            seed: self.seed ^ FxBuildHasher.hash_one((source.as_str(), &node.id)),
            ..Config::new(source, node)
        };
        tokio::spawn(transport::run(
            Target::new(xds.address),
            config,
            self.event_sender.clone(),
            refetch_receiver,
            on_notice,
        ));
    }
}
