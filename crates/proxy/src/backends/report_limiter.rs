//! Limits how often the log reports what an endpoint does again and again.

use std::time::{Duration, Instant};

/// The minimum time between two reports of the same kind.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// The reports of one kind about one endpoint.
#[derive(Debug, Default)]
pub struct ReportLimiter {
    reported_at: Option<Instant>,
}

impl ReportLimiter {
    /// Whether a report is due at `now`. If so, the next one is due after an interval.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
