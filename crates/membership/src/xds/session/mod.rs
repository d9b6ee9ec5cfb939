//! A session with a control plane over the aggregated stream (ADS), in both protocol variants, as a state
//! machine without I/O.
//!
//! The transport passes [`Input`]s to the session with the current time and executes the returned
//! [`Output`]s. The session reads no clock.
//!
//! The session subscribes to all clusters (CDS), or to the configured ones, and to the endpoints (EDS) by the
//! names that the clusters refer to. A cluster is published to the catalog once its endpoints are received.
//! The rules:
//!
//! - **Versions are opaque.** A received resource is applied even if its version was seen before or is
//!   smaller, since a restarted control plane may number its versions from the start. A new stream sends the
//!   versions of the known endpoints, so that the control plane sends only changes. A changed resource that
//!   has the same version by chance is not sent then; therefore all endpoints are requested again after a
//!   random delay.
//! - **A rejection** names resources and fields. The valid resources of an incremental response are applied.
//!   A state of the world response is rejected as a whole. Only the first of consecutive rejections is sent
//!   at once; the others are delayed.
//! - **Clusters missing** from the state of the world are removed, as the protocol specifies, unless all are
//!   missing: then the control plane has probably lost its own source. The catalog receives an empty
//!   snapshot, which it quarantines until the removal is explicit. The incremental variant removes clusters
//!   explicitly.
//! - **Endpoints that are removed** or expire while their cluster exists are published as an empty list,
//!   which the catalog quarantines until it is confirmed.
//! - **A resource expires** after its time to live only if the control plane sent other responses meanwhile.
//!   If the control plane is silent, its clusters become stale and nothing is removed.

mod cluster_store;
mod config;
mod event;
mod expiry;
mod lease;
mod message;
mod notice;
mod pacing;
mod receive;
mod state_machine;
mod timers;
mod type_subscription;

pub use config::{Config, Node, Variant};
pub use event::{Input, Output};
pub use message::{Request, Response};
pub use notice::SessionNotice;
pub use state_machine::Session;
