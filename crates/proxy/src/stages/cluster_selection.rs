//! Selects the cluster of a call by the routing rules, and rejects the call if that cluster is not available.

use super::context::Context;
use crate::call::{ClusterUnavailable, RequestAttributes};
use crate::cluster_config::Rules;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The clusters that requests can be routed to, and the routing rules.
pub struct Routes {
    rules: Rules<usize>,
    /// The first route is the default for calls that no rule matches.
    routes: Vec<Route>,
}

/// The route to one cluster.
pub struct Route {
    /// The name of the cluster.
    pub cluster: Rc<str>,
    state: RefCell<State>,
    refused: Cell<u64>,
}

enum State {
    Serving(Rc<Context>),
    /// No source has announced the cluster yet.
    Awaited,
    /// The cluster was removed.
    Removed,
}

impl Routes {
    /// Creates routes to clusters that are not available yet. The rules refer to clusters by their index.
    pub fn new(clusters: impl IntoIterator<Item = Rc<str>>, rules: Rules<usize>) -> Routes {
        let route = |cluster| Route { cluster, state: RefCell::new(State::Awaited), refused: Cell::new(0) };
        Routes { rules, routes: clusters.into_iter().map(route).collect() }
    }

    /// Returns the context of the cluster for a call. Without rules the attributes of the call are not
    /// evaluated.
    ///
    /// # Errors
    /// The cluster is not available.
    pub fn choose<'a>(
        &self,
        attributes: impl FnOnce() -> RequestAttributes<'a>,
    ) -> Result<Rc<Context>, ClusterUnavailable> {
        let index = if self.rules.is_empty() { None } else { self.rules.find(&attributes()).copied() };
        let Some(route) = self.routes.get(index.unwrap_or(0)) else {
            return Err(ClusterUnavailable { cluster: "".into(), removed: false }); // unreachable
        };
        match &*route.state.borrow() {
            State::Serving(context) => Ok(context.clone()),
            unavailable => {
                route.refused.set(route.refused.get() + 1);
                let removed = matches!(unavailable, State::Removed);
                Err(ClusterUnavailable { cluster: route.cluster.clone(), removed })
            }
        }
    }

    /// Returns the route to a cluster, or `None` if no rule refers to it.
    pub fn get(&self, cluster: &str) -> Option<&Route> {
        self.routes.iter().find(|route| *route.cluster == *cluster)
    }

    /// All routes, the default first.
    pub fn all(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Whether any cluster has an endpoint that takes requests. If all clusters were required to have one, a
    /// single empty cluster would take the whole proxy out of service.
    pub fn any_takes_requests(&self) -> bool {
        let takes = |route: &Route| match &*route.state.borrow() {
            State::Serving(context) => context.backends.any_takes_requests(),
            _ => false,
        };
        self.routes.iter().any(takes)
    }
}

impl Route {
    /// Marks the cluster as available, replacing any earlier context.
    pub fn serve(&self, context: Rc<Context>) {
        *self.state.borrow_mut() = State::Serving(context);
    }

    /// Marks the cluster as removed.
    pub fn remove(&self) {
        *self.state.borrow_mut() = State::Removed;
    }

    /// Returns the context of the cluster, if it is available.
    pub fn context(&self) -> Option<Rc<Context>> {
        if let State::Serving(context) = &*self.state.borrow() { Some(context.clone()) } else { None }
    }

    /// The number of requests that were refused because the cluster was not available.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }
}
