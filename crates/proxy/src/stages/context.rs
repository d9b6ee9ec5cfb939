//! What the stages share, and all that they may ask of whoever runs the decisions.

use super::request_table::RequestTable;
use crate::backends::Backends;
use crate::bodies::BodyMemoryLimit;
use crate::stats::Stats;
use olivecart_decisions::Event;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Whoever runs the decisions.
pub trait Decisions {
    /// Puts an event to them and does what they answer, before it returns; or, for an event that such an
    /// answer brings about, as soon as that answer is done.
    fn tell(&self, event: Event);
}

/// Limits that the stages keep to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Open requests at a time, at most.
    pub open_requests: usize,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
}

/// What the stages of all requests to a cluster share.
pub struct Context {
    /// Accounts of the open requests of all clusters.
    pub request_table: Rc<RequestTable>,
    /// Endpoints and connections.
    pub backends: Backends,
    /// Limits from the settings.
    pub limits: Limits,
    /// The memory for long bodies.
    pub budget: Rc<BodyMemoryLimit>,
    /// The figures, where anybody reads them.
    pub stats: Option<Arc<Stats>>,
    /// Requests that are open here, and the most.
    open: Cell<usize>,
    most: Cell<usize>,
    /// Administrators drained whatever could take requests.
    all_out: Cell<bool>,
    /// Not owned: it owns this.
    decisions: Weak<dyn Decisions>,
}

impl Context {
    /// No request is open here yet.
    pub fn new(
        decisions: Weak<dyn Decisions>,
        request_table: Rc<RequestTable>,
        backends: Backends,
        limits: Limits,
        budget: Rc<BodyMemoryLimit>,
        stats: Option<Arc<Stats>>,
    ) -> Context {
        let (open, most, all_out) = (Cell::new(0), Cell::new(usize::MAX), Cell::new(false));
        Context { request_table, backends, limits, budget, stats, open, most, all_out, decisions }
    }

    /// Another limit to the requests that are open here holds from now on.
    pub fn adopt(&self, most: usize) {
        self.most.set(most);
    }

    /// Administrators drained whatever could take requests, or no longer.
    pub fn set_all_out(&self, all_out: bool) {
        self.all_out.set(all_out);
    }

    /// Whether they did.
    pub fn all_out(&self) -> bool {
        self.all_out.get()
    }

    /// Requests that are open here.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Whether there is room for one more here, and in the proxy.
    pub fn has_room(&self) -> bool {
        self.open.get() < self.most.get() && self.request_table.open_requests() < self.limits.open_requests
    }

    /// One more is open here.
    pub fn enter(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// One less is.
    pub fn leave(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Tells the decisions; nobody, once they have been dropped at the end of the program.
    pub fn tell(&self, event: Event) {
        if let Some(decisions) = self.decisions.upgrade() {
            decisions.tell(event);
        }
    }
}
