//! The status of each endpoint as seen by a replica, for reports only. No decision depends on it.

use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, Nanos};

#[cfg(test)]
mod tests;

/// The status of an endpoint as of the last event. If several apply, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint has not appeared in an endpoint list.
    Unknown,
    /// The endpoint is listed as draining or removed, or is no longer listed.
    DrainingOrRemoved,
    /// The last health check failed.
    Unhealthy,
    /// Outlier detection ejected the endpoint because attempts failed or hung.
    Ejected {
        /// When it was last ejected.
        since: Nanos,
    },
    /// The endpoint rejected an attempt as overloaded, or refused a connection soon after a response, and
    /// is not sent attempts for a short time.
    Overloaded {
        /// When it may be sent attempts again.
        until: Nanos,
    },
    /// The endpoint started recently and is limited to its slow start budget.
    SlowStart {
        /// When the endpoint started.
        started: Nanos,
    },
    /// The endpoint is sent attempts up to its capacity.
    Healthy,
}

impl Balancer {
    /// Returns the status of an endpoint.
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
