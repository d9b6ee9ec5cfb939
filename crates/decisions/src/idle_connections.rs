//! Decides when to close idle connections to an endpoint.
//!
//! The module does not see connections; it estimates their number from the attempts in flight at the same
//! time. It is updated with each attempt and each health check. The balancer turns a surplus into
//! [`Action::CloseIdleConnections`](crate::Action::CloseIdleConnections).

#[cfg(test)]
mod tests;

/// Up to this many connections to one endpoint are always kept.
const MIN_KEPT_CONNECTIONS: u32 = 2;

/// The demand for connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionDemand {
    /// The maximum number of attempts in flight since the last health check.
    peak_in_flight: u32,
    /// The maximum number of attempts in flight since idle connections were last closed, an estimate of
    /// the number of open connections.
    open_estimate: u32,
}

impl ConnectionDemand {
    /// Creates the demand of an endpoint with no other connections than those of its attempts in flight.
    pub(crate) fn new(in_flight: u32) -> ConnectionDemand {
        ConnectionDemand { peak_in_flight: in_flight, open_estimate: in_flight }
    }

    /// Records a new attempt, which `in_flight` includes.
    pub(crate) fn on_attempt_started(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        self.open_estimate = self.open_estimate.max(in_flight);
        debug_assert!(self.peak_in_flight <= self.open_estimate);
    }

    /// Ends a period between health checks and returns whether idle connections should be closed.
    ///
    /// Idle connections left over from a peak fill the endpoint's connection table and lock out other
    /// clients. But opening a connection costs more than keeping one for a while, so connections are
    /// closed only if a whole period did not need them.
    pub(crate) fn end_period(&mut self, in_flight: u32) -> bool {
        let has_surplus =
            self.open_estimate > MIN_KEPT_CONNECTIONS && self.peak_in_flight * 2 <= self.open_estimate;
        if has_surplus {
            self.open_estimate = self.peak_in_flight;
        }
        self.peak_in_flight = in_flight;
        has_surplus
    }
}
