//! How a replica sees its endpoints, for reports. It decides nothing, and nothing is decided from it.

use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, Nanos};

#[cfg(test)]
mod tests;

/// How a replica sees an endpoint, as of the last event. Of several that hold, the first in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// No list has named it yet.
    Unknown,
    /// The list says that it drains, or it is no longer listed.
    DrainingOrRemoved,
    /// Its last health check failed.
    Unhealthy,
    /// Outlier detection has ejected it: attempts fail or hang.
    Ejected {
        /// Since when.
        since: Nanos,
    },
    /// It rejected an attempt as overloaded and gets none for a moment.
    Overloaded {
        /// Until when.
        until: Nanos,
    },
    /// It started a short while ago and gets no more than a budget.
    SlowStart {
        /// When it started.
        started: Nanos,
    },
    /// It gets all that it has capacity for.
    Healthy,
}

impl Balancer {
    /// How this replica sees an endpoint.
    pub fn endpoint_status(&self, endpoint: EndpointId) -> EndpointStatus {
        match self.endpoints.get(endpoint.0 as usize) {
            Some(endpoint) if endpoint.is_known() => self.status_of(endpoint),
            _ => EndpointStatus::Unknown,
        }
    }

    fn status_of(&self, endpoint: &Endpoint) -> EndpointStatus {
        if !endpoint.is_ready() {
            return EndpointStatus::DrainingOrRemoved;
        }
        if !endpoint.health.is_healthy {
            return EndpointStatus::Unhealthy;
        }
        if let Some(since) = endpoint.outlier.ejected_since {
            return EndpointStatus::Ejected { since };
        }
        if endpoint.capacity.is_overloaded(self.now) {
            return EndpointStatus::Overloaded { until: endpoint.capacity.overloaded_until };
        }
        let window = self.settings.rules.slow_start_window;
        match endpoint.entry.started {
            Some(started) if self.now.saturating_sub(started) < window => {
                EndpointStatus::SlowStart { started }
            }
            _ => EndpointStatus::Healthy,
        }
    }
}
