//! Membership: endpoints of any source, through one checked catalog, to the smallest change for each cluster.
//!
//! Sources (a control plane over xDS, watched files, a registry) put what they say into [`Event`]s. The
//! [`Catalog`] checks it, holds back what looks like a mistake, merges sources, and answers with [`Output`]s.
//! It does no I/O and reads no clock: the time is passed in, and a shell wakes it at [`Catalog::deadline`].
//!
//! ```
//! use olivecart_membership::{Catalog, Cluster, Endpoint, Event, EndpointUpdate, Output, Policy, SourceId, Version};
//!
//! let files = SourceId::new("files");
//! let mut catalog = Catalog::new(Policy::default(), [files.clone()]).expect("a usable policy");
//! let cart = Cluster::new("cart", vec![Endpoint::ready("cart-1", "10.0.0.1:8080".parse().unwrap())]);
//! let event = Event::Update { source: files, version: Version::new("1"), update: EndpointUpdate::FullSnapshot(vec![cart]) };
//! let mut out = Vec::new();
//! catalog.handle(0, event, &mut out);
//! assert!(matches!(&out[..], [Output::Added(_), Output::Changed(change)] if change.upserted.len() == 1));
//! ```
//!
//! What a source must do, and nobody else can do for it:
//! - put its events in the order in which it heard them; versions are opaque and have no order here;
//! - wait with a cluster until it knows its endpoints (warming): a list of none is a mistake here;
//! - say [`Event::Silent`] when it should have heard and has not, and [`Event::Reconnected`] when it is in touch
//!   again;
//! - on [`Output::RefetchRequested`], ask its origin for the cluster once more and put the answer in, changed or not.

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
