//! Starts the tasks of sources, by the kinds that the operators' file names.
//!
//! The catalog's thread calls it once for each source; the tasks end with that thread's runtime.

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

/// What sources are started with.
pub struct SourceStarter {
    /// Where they put what they hear.
    pub sink: EventSender,
    /// Where they log.
    pub notices: Notices,
    /// The catalog's figures: what it would refuse, a control plane is told.
    pub policy: Policy,
    /// Feeds all chance.
    pub seed: u64,
}

impl SourceStarter {
    /// Starts a source, and returns where it is asked for a cluster.
    pub fn start(&self, Source { id, kind }: Source) -> Sender<RefetchRequest> {
        let (asks, asked) = channel(REFETCH_QUEUE_CAPACITY);
        match kind {
            SourceKind::File(watched) => {
                self.start_watch(id, watched, Kind::File, watch::parse_documented, asked)
            }
            SourceKind::Directory(watched) => {
                self.start_watch(id, watched, Kind::Directory, watch::parse_documented, asked);
            }
            SourceKind::Envoy(watched) => {
                self.start_watch(id, watched, Kind::File, watch::parse_envoy, asked)
            }
            SourceKind::Xds(xds) => self.start_xds(id, xds, asked),
        }
        asks
    }

    fn start_watch(
        &self,
        source: SourceId,
        watched: Watched,
        kind: Kind,
        parse: Parser,
        asked: RefetchReceiver,
    ) {
        let Watched { path, poll } = watched;
        let (notices, of) = (self.notices.clone(), source.clone());
        let tell = move |notice: watch::Notice| {
            let severity = match &notice {
                watch::Notice::Recovered => Severity::Recovered,
                watch::Notice::Warning(_) => Severity::Info,
                watch::Notice::Rejected(_)
                | watch::Notice::Unavailable(_)
                | watch::Notice::EventsUnavailable(_) => Severity::Warning,
            };
            notices.record(&of, severity, &notice);
        };
        let watch = Watch { source, path, kind, poll };
        tokio::spawn(watch::run(watch, parse, self.sink.clone(), asked, tell));
    }

    fn start_xds(&self, source: SourceId, xds: Xds, asked: RefetchReceiver) {
        let (notices, of) = (self.notices.clone(), source.clone());
        let tell = move |note: &SessionNotice| {
            let severity = match note {
                SessionNotice::Connected => Severity::Recovered,
                note if note.is_warning() => Severity::Warning,
                _ => Severity::Info,
            };
            notices.record(&of, severity, note);
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
            // Danger: with one seed for all, proxies that lose their control plane together come back together.
            seed: self.seed ^ FxBuildHasher.hash_one((source.as_str(), &node.id)),
            ..Config::new(source, node)
        };
        tokio::spawn(transport::run(Target::new(xds.address), config, self.sink.clone(), asked, tell));
    }
}
