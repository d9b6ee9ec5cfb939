//! What the stages share, and all that they may ask of whoever runs the decisions.

use super::book::Book;
use crate::backends::Backends;
use olivecart_decisions::Event;
use std::rc::Weak;

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

/// What the stages of all requests share.
pub struct Context {
    /// Accounts of open requests.
    pub book: Book,
    /// Endpoints and connections.
    pub backends: Backends,
    /// Limits from the settings.
    pub limits: Limits,
    /// Not owned: it owns this.
    decisions: Weak<dyn Decisions>,
}

impl Context {
    /// No request is open yet.
    pub fn new(decisions: Weak<dyn Decisions>, backends: Backends, limits: Limits) -> Context {
        Context { book: Book::default(), backends, limits, decisions }
    }

    /// Tells the decisions; nobody, once they have been dropped at the end of the program.
    pub fn tell(&self, event: Event) {
        if let Some(decisions) = self.decisions.upgrade() {
            decisions.tell(event);
        }
    }
}
