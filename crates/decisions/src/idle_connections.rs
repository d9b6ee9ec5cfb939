//! How many idle connections to an endpoint are worth keeping.
//!
//! The module sees no connections; it estimates their number from the attempts that were in flight at a time.
//! Updated with each attempt and each health check; the balancer turns a surplus into
//! [`Action::CloseIdleConnections`](crate::Action::CloseIdleConnections).

#[cfg(test)]
mod tests;

/// So many idle connections to one endpoint are never too many.
const MIN_KEPT_CONNECTIONS: u32 = 2;

/// The demand for connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionDemand {
    /// Most attempts in flight at a time since the last health check.
    peak_in_flight: u32,
    /// The same since idle connections were last closed: about as many are open.
    open_estimate: u32,
}

impl ConnectionDemand {
    /// The demand of an endpoint that has so many attempts in flight and nothing else.
    pub(crate) fn new(in_flight: u32) -> ConnectionDemand {
        ConnectionDemand { peak_in_flight: in_flight, open_estimate: in_flight }
    }

    /// Takes in an attempt; `in_flight` counts it.
    pub(crate) fn on_attempt_started(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        self.open_estimate = self.open_estimate.max(in_flight);
        debug_assert!(self.peak_in_flight <= self.open_estimate);
    }

    /// Ends a period between health checks, and says whether idle connections are to be closed.
    ///
    /// Danger: idle connections left from a peak fill the endpoint's table and lock others out. But a new one
    /// costs more than one kept for a while, so that only what a whole period did not need is let go.
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
