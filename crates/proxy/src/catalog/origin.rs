//! Starts a source of the kind that the operators' file names.

use super::sight::{Notices, Tone};
use crate::operators::{Source, SourceKind, Watched, Xds};
use olivecart_membership::source::{EventSender, REFETCH_QUEUE_CAPACITY, RefetchReceiver, RefetchRequest};
use olivecart_membership::watch::{self, Kind, Parser, Watch};
use olivecart_membership::xds::session::{Config, Node, SessionNotice};
use olivecart_membership::xds::transport::{self, Target};
use olivecart_membership::{Policy, SourceId};
use rustc_hash::FxBuildHasher;
use std::hash::BuildHasher;
use tokio::sync::mpsc::{Sender, channel};

/// What sources are started with.
pub struct Origins {
    /// Where they put what they hear.
    pub sink: EventSender,
    /// Where they tell of themselves.
    pub notices: Notices,
    /// The catalog's figures: what it would refuse, a control plane is told.
    pub policy: Policy,
    /// Feeds all chance.
    pub seed: u64,
}

impl Origins {
    /// Starts a source, and tells where it is asked.
    pub fn start(&self, Source { id, kind }: Source) -> Sender<RefetchRequest> {
        let (asks, asked) = channel(REFETCH_QUEUE_CAPACITY);
        match kind {
            SourceKind::File(watched) => self.watch(id, watched, Kind::File, watch::parse_documented, asked),
            SourceKind::Directory(watched) => {
                self.watch(id, watched, Kind::Directory, watch::parse_documented, asked);
            }
            SourceKind::Envoy(watched) => self.watch(id, watched, Kind::File, watch::parse_envoy, asked),
            SourceKind::Xds(xds) => self.talk(id, xds, asked),
        }
        asks
    }

    fn watch(&self, source: SourceId, watched: Watched, kind: Kind, parse: Parser, asked: RefetchReceiver) {
        let Watched { path, poll } = watched;
        let (notices, of) = (self.notices.clone(), source.clone());
        let tell = move |notice: watch::Notice| {
            let tone = match &notice {
                watch::Notice::Recovered => Tone::Fine,
                watch::Notice::Warning(_) => Tone::Remark,
                watch::Notice::Rejected(_)
                | watch::Notice::Unavailable(_)
                | watch::Notice::EventsUnavailable(_) => Tone::Amiss,
            };
            notices.note(&of, tone, &notice);
        };
        let watch = Watch { source, path, kind, poll };
        tokio::spawn(watch::run(watch, parse, self.sink.clone(), asked, tell));
    }

    fn talk(&self, source: SourceId, xds: Xds, asked: RefetchReceiver) {
        let (notices, of) = (self.notices.clone(), source.clone());
        let tell = move |note: &SessionNotice| {
            let tone = match note {
                SessionNotice::Connected => Tone::Fine,
                note if note.is_warning() => Tone::Amiss,
                _ => Tone::Remark,
            };
            notices.note(&of, tone, note);
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
