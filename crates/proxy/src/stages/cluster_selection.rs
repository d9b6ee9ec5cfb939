//! Puts a call to a cluster: what the rules say, and whether it is there.

use super::context::Context;
use crate::call::{Absent, Traits};
use crate::cluster_config::Rules;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The clusters that requests can be put to, and the rules.
pub struct Routes {
    rules: Rules<usize>,
    /// The first one takes what no rule fits.
    places: Vec<Place>,
}

/// The place of one cluster.
pub struct Place {
    /// Its name.
    pub cluster: Rc<str>,
    state: RefCell<State>,
    refused: Cell<u64>,
}

enum State {
    Serving(Rc<Context>),
    /// No source has brought it yet.
    Awaited,
    /// It was there.
    Removed,
}

impl Routes {
    /// None of the clusters is there yet; rules lead to them by their place in the list.
    pub fn new(clusters: impl IntoIterator<Item = Rc<str>>, rules: Rules<usize>) -> Routes {
        let place = |cluster| Place { cluster, state: RefCell::new(State::Awaited), refused: Cell::new(0) };
        Routes { rules, places: clusters.into_iter().map(place).collect() }
    }

    /// The cluster for a call. Without rules nobody looks at the call.
    ///
    /// # Errors
    /// It is not there.
    pub fn choose<'a>(&self, traits: impl FnOnce() -> Traits<'a>) -> Result<Rc<Context>, Absent> {
        let at = if self.rules.is_empty() { None } else { self.rules.find(&traits()).copied() };
        let Some(place) = self.places.get(at.unwrap_or(0)) else {
            return Err(Absent { cluster: "".into(), removed: false }); // there is always a default
        };
        match &*place.state.borrow() {
            State::Serving(context) => Ok(context.clone()),
            absent => {
                place.refused.set(place.refused.get() + 1);
                let removed = matches!(absent, State::Removed);
                Err(Absent { cluster: place.cluster.clone(), removed })
            }
        }
    }

    /// The place of a cluster; none if nothing leads to it.
    pub fn place(&self, cluster: &str) -> Option<&Place> {
        self.places.iter().find(|place| *place.cluster == *cluster)
    }

    /// All of them.
    pub fn places(&self) -> impl Iterator<Item = &Place> {
        self.places.iter()
    }

    /// Whether any cluster has an endpoint that takes requests. Danger: with "all" in place of "any" one
    /// empty cluster among many would take the whole proxy out of service.
    pub fn any_takes_requests(&self) -> bool {
        let takes = |place: &Place| match &*place.state.borrow() {
            State::Serving(context) => context.backends.any_takes_requests(),
            _ => false,
        };
        self.places.iter().any(takes)
    }
}

impl Place {
    /// The cluster is there, whatever was there before.
    pub fn serve(&self, context: Rc<Context>) {
        *self.state.borrow_mut() = State::Serving(context);
    }

    /// The cluster is no more.
    pub fn remove(&self) {
        *self.state.borrow_mut() = State::Removed;
    }

    /// What the stages share of it, if it is there.
    pub fn context(&self) -> Option<Rc<Context>> {
        if let State::Serving(context) = &*self.state.borrow() { Some(context.clone()) } else { None }
    }

    /// Requests refused because it was not there.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }
}
