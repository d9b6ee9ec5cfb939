//! What the stages of all requests to a cluster share, and the [`EventSink`] through which they report events
//! to the balancer.

use super::request_table::RequestTable;
use crate::backends::{Backends, Target};
use crate::framing::Side;
use crate::memory::MemoryAccountant;
use crate::response_monitor::ResponseMonitor;
use crate::stats::Stats;
use olivecart_decisions::Event;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Receives the balancer's events; implemented by the runtime of a cluster.
pub trait EventSink {
    /// Passes an event to the balancer and carries out the resulting actions before it returns. An event that
    /// is caused by such an action is processed once all actions of the current event have been carried out.
    fn report(&self, event: Event);
}

/// Limits from the settings that the stages enforce.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open requests, over all clusters.
    pub max_open_requests: usize,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging_enabled: bool,
}

/// What the stages of all requests to a cluster share.
pub struct Context {
    /// The open requests of all clusters.
    pub request_table: Rc<RequestTable>,
    /// The cluster's endpoints and the connections to them.
    pub backends: Backends,
    /// Limits from the settings.
    pub limits: Limits,
    /// The memory of the process.
    pub memory: Rc<MemoryAccountant>,
    /// Metrics; `None` if nothing reads them.
    pub stats: Option<Arc<Stats>>,
    /// The number of open requests of this cluster, and its limit.
    open_requests: Cell<usize>,
    max_open_requests: Cell<usize>,
    /// Whether operators detached every endpoint that could take requests.
    all_detached: Cell<bool>,
    /// A weak reference, since the event sink owns this context.
    event_sink: Weak<dyn EventSink>,
}

impl Context {
    /// Creates a context without open requests and without a limit of the cluster's own.
    pub fn new(
        event_sink: Weak<dyn EventSink>,
        request_table: Rc<RequestTable>,
        backends: Backends,
        limits: Limits,
        memory: Rc<MemoryAccountant>,
        stats: Option<Arc<Stats>>,
    ) -> Context {
        let (open_requests, max_open_requests, all_detached) =
            (Cell::new(0), Cell::new(usize::MAX), Cell::new(false));
        Context {
            request_table,
            backends,
            limits,
            memory,
            stats,
            open_requests,
            max_open_requests,
            all_detached,
            event_sink,
        }
    }

    /// Sets the limit on open requests of this cluster.
    pub fn set_max_open_requests(&self, max_open_requests: usize) {
        self.max_open_requests.set(max_open_requests);
    }

    /// Records whether operators detached every endpoint that could take requests.
    pub fn set_all_detached(&self, all_detached: bool) {
        self.all_detached.set(all_detached);
    }

    /// Whether operators detached every endpoint that could take requests.
    pub fn all_detached(&self) -> bool {
        self.all_detached.get()
    }

    /// The number of open requests of this cluster.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Whether another request may be opened under the limits of the cluster and of the whole proxy.
    pub fn has_capacity(&self) -> bool {
        self.open_requests.get() < self.max_open_requests.get()
            && self.request_table.open_requests() < self.limits.max_open_requests
    }

    /// Counts a request that was opened.
    pub fn on_request_opened(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Counts a request that was closed.
    pub fn on_request_closed(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
    }

    /// Reports bytes behind a response, and a response that was rejected for its form, if there were any.
    pub fn report_faulty_response(&self, target: Target, monitor: &ResponseMonitor) {
        self.backends.report_excess_bytes(target, monitor);
        let Some(form) = monitor.take_rejected_form() else { return };
        self.backends.log_rejected_form(target, form);
        self.stats.iter().for_each(|stats| stats.rejected_forms().count(Side::Endpoint, form));
    }

    /// Reports an event to the balancer. Does nothing once the event sink was dropped at the end of the
    /// process.
    pub fn report(&self, event: Event) {
        if let Some(event_sink) = self.event_sink.upgrade() {
            event_sink.report(event);
        }
    }
}
