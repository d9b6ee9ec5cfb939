//! Cluster membership: combines the endpoints of several sources into one validated catalog.
//!
//! Sources (an xDS control plane, watched files, a registry) report their state as [`Event`]s. The
//! [`Catalog`] validates them, quarantines changes that are likely mistakes, merges the sources, and emits
//! the smallest change for each cluster as [`Output`]s. It does no I/O and reads no clock: the caller passes
//! the time in, and calls the catalog again at [`Catalog::deadline`].
//!
//! ```
//! use olivecart_membership::{Catalog, Cluster, Endpoint, Event, EndpointUpdate, Output, Policy, SourceId, Version};
//!
//! let files = SourceId::new("files");
//! let mut catalog = Catalog::new(Policy::default(), [files.clone()]).expect("a valid policy");
//! let cart = Cluster::new("cart", vec![Endpoint::ready("cart-1", "10.0.0.1:8080".parse().unwrap())]);
//! let event = Event::Update { source: files, version: Version::new("1"), update: EndpointUpdate::FullSnapshot(vec![cart]) };
//! let mut out = Vec::new();
//! catalog.handle(0, event, &mut out);
//! assert!(matches!(&out[..], [Output::Added(_), Output::Changed(change)] if change.upserted.len() == 1));
//! ```
//!
//! Each source must:
//! - send its events in the order in which it received them, since versions are opaque and have no order
//!   here;
//! - delay a cluster until it knows its endpoints (warming), since an empty list counts as a mistake;
//! - send [`Event::Silent`] when an expected update is missing, and [`Event::Reconnected`] when it is
//!   connected again;
//! - on [`Output::RefetchRequested`], fetch the cluster from its origin again and report it, changed or not.

#[macro_use]
mod names;
mod anomaly;
mod catalog;
mod diff;
mod endpoint;
mod event;
pub mod file;
mod invalid;
mod limits;
mod output;
mod policy;
mod rejection;
#[cfg(feature = "sources")]
pub mod source;
mod summary;
#[cfg(feature = "sources")]
pub mod watch;
#[cfg(feature = "xds")]
pub mod xds;

pub use anomaly::Anomaly;
pub use catalog::{
    Catalog, ClusterView, QuarantineView, RejectionView, Served, SourceView, SubscriptionView,
};
pub use diff::{Difference, Edit, diff, quarantined_changes};
pub use endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints, Metadata, State};
pub use event::{ClusterDelta, EndpointUpdate, Event, Silence};
pub use invalid::Invalid;
pub use names::{ClusterName, EndpointName, Label, SourceId, Version};
pub use olivecart_decisions::Nanos;
pub use output::{
    Added, Arrival, Cause, Change, ConfirmationSource, Output, Quarantined, Removed, Stale, Upserted,
};
pub use policy::{BadPolicy, Policy};
pub use rejection::Rejection;
pub use summary::{ClusterSummary, Summary, summary};
