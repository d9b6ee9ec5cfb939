//! A session with a control plane over the aggregated stream, both variants, as a state machine without I/O.
//!
//! The transport feeds it [`Input`]s and carries out its [`Output`]s; it reads no clock and decides all else.
//!
//! Clusters (CDS) are asked for all, endpoints (EDS) by the names that the clusters give. A cluster is told
//! when its endpoints have come. The rules, with what was weighed:
//!
//! - **Versions are opaque.** What the control plane sends counts, also if its version was there before or is
//!   smaller: a control plane that restarts begins again. A new stream tells which endpoints are held, so that
//!   only what differs is sent. ResourceContent differs and has the same version by chance is not sent then; so all that
//!   is held is asked for once more a little later, each proxy at a time of its own.
//! - **A refusal** names resources and fields. Of an incremental response the valid resources hold; a response
//!   of the state of the world is refused whole. After the first refusal in a row the next ones wait.
//! - **Clusters that are missing** from the state of the world are removed, as the protocol says; all at once
//!   are not: that is a control plane that has lost its own source. The catalog is told, and holds it until an
//!   explicit word. The incremental variant has that word.
//! - **Endpoints that are withdrawn** while their cluster stands, by removal or by their time to live, are
//!   told as a list of none, which the catalog takes for a mistake until it is confirmed.
//! - **A time to live** counts only while the control plane says something else meanwhile: its silence ages
//!   clusters and removes nothing.

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
