//! The interface between the sources and the task that runs the catalog.
//!
//! A source is an asynchronous task. It has an [`EventSender`] and, if its origin can be queried, a receiver
//! of [`RefetchRequest`]s. It ends only when the receiver of its events is dropped: if it cannot reach or
//! read its origin, it sends [`Event::Silent`] and retries.
//!
//! The task that runs the catalog gives each source its own receiver of [`RefetchRequest`]s, passes each
//! [`SourceEvent`] to [`Catalog::handle`](crate::Catalog::handle) in the order of arrival, and forwards each
//! [`Output::RefetchRequested`](crate::Output::RefetchRequested) as a [`RefetchRequest`] to the named source.

use crate::event::Event;
use crate::names::{ClusterName, SourceId};

/// The maximum number of events that wait for the catalog. If the queue is full, the source waits and reads
/// nothing more from its origin.
///
/// One event may be a list of 10,000 endpoints, some 3 MB, and a proxy has 32 MB for all lists. A long queue
/// would also delay the newest update.
pub const EVENT_QUEUE_CAPACITY: usize = 4;

/// The maximum number of requests that wait for a source. The sender must not block: if the queue is full, it
/// drops the request, and the catalog repeats it after the next quarantine period.
pub const REFETCH_QUEUE_CAPACITY: usize = 64;

/// An event of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceEvent {
    /// The source; the same as in the event if the event names one.
    pub source: SourceId,
    /// The event for the catalog.
    pub event: Event,
}

/// The channel to which sources send their events. Its capacity must be [`EVENT_QUEUE_CAPACITY`].
pub type EventSender = tokio::sync::mpsc::Sender<SourceEvent>;

/// A request to a source to fetch a cluster from its origin again and report it, changed or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefetchRequest {
    /// The cluster.
    pub cluster: ClusterName,
}

/// The channel from which a source receives requests. Its capacity must be [`REFETCH_QUEUE_CAPACITY`].
pub type RefetchReceiver = tokio::sync::mpsc::Receiver<RefetchRequest>;
