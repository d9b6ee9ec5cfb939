//! The seam between the sources and whoever runs the catalog.
//!
//! A source is an asynchronous task. It is given a [`EventSender`] and, where its origin can be asked, a receiver of
//! [`RefetchRequest`]s. It ends when the receiver of its sink is gone, and for no other reason: what it cannot reach or
//! read it says as [`Event::Silent`], and goes on trying.
//!
//! Whoever runs the catalog gives each source its own receiver of [`RefetchRequest`]s, passes every [`SourceEvent`] to
//! [`Catalog::handle`](crate::Catalog::handle) in the order of arrival, and sends each
//! [`Output::RefetchRequested`](crate::Output::AskAgain) as an [`RefetchRequest`] to the source that it names.

use crate::event::Event;
use crate::names::{ClusterName, SourceId};

/// Most events that wait for the catalog. A source that is faster waits then, and reads nothing more from its
/// origin meanwhile.
///
/// Weighed: one event may be a list of 10,000 endpoints, some 3 MB, so that a long queue would be the memory
/// of many lists, of which a proxy has 32 MB in all; and the newest update waits behind all of it.
pub const EVENT_QUEUE_CAPACITY: usize = 4;

/// Most questions that wait for a source. Whoever asks must not wait for room: a question that finds none is
/// dropped, and the catalog asks again after its next quarantine period.
pub const REFETCH_QUEUE_CAPACITY: usize = 64;

/// An event of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceEvent {
    /// Which source; the same as in the event, where the event names one.
    pub source: SourceId,
    /// What the catalog is notified of.
    pub event: Event,
}

/// Where sources send their events; to be made with [`EVENT_QUEUE_CAPACITY`].
pub type EventSender = tokio::sync::mpsc::Sender<SourceEvent>;

/// A source shall ask its origin for a cluster again and put the answer in, changed or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefetchRequest {
    /// The cluster.
    pub cluster: ClusterName,
}

/// Where a source is asked; to be made with [`REFETCH_QUEUE_CAPACITY`].
pub type RefetchReceiver = tokio::sync::mpsc::Receiver<RefetchRequest>;
