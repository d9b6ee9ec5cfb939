//! The policy of the catalog: its limits and time spans.

use std::time::Duration;

/// The limits and time spans that control the catalog's decisions. [`Policy::default`] is meant for
/// production.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The quarantine period: how long a suspicious change is held back before repetition by its source
    /// confirms it; 0 s to 10 min, 30 s by default. With 0, the change is accepted at once.
    ///
    /// A registry that restarts lists its instances again within one heartbeat, 5 to 30 s in common
    /// registries. A shorter period would accept its first, partial lists. Delaying a genuine loss costs
    /// little: connections to the lost endpoints fail, and the load balancer ejects them within one or two
    /// seconds.
    pub hold: Duration,
    /// The largest share of a cluster's ready endpoints that one update may remove without being suspicious;
    /// greater than 0, at most 1, 0.5 by default. Removing a single endpoint is not suspicious by its share.
    ///
    /// Deployments replace a quarter to a third of the endpoints at a time and drain them first; endpoints
    /// that are draining or unhealthy when they are removed do not count. Losing more than half of the
    /// endpoints by mistake would overload the rest, while a lower share would delay ordinary scaling down.
    pub most_gone: f64,
    /// An endpoint that is added again within this time after its removal has
    /// [returned](crate::Arrival::Returned) and keeps its history; 0 s to 5 min, 10 s by default.
    ///
    /// Knowledge of an endpoint's health and speed becomes outdated within tens of seconds, and removed
    /// endpoints occupy memory for this time.
    pub returns_within: Duration,
    /// The clusters of a source are stale after it has been silent for this long; 0 s to 1 h, 10 s by
    /// default. It is longer than a reconnect with backoff, and short enough that operators learn of the
    /// outage early.
    pub aged_after: Duration,
    /// The maximum number of clusters, 1 to 100,000; 1,000 by default. Further clusters are rejected by name.
    pub max_clusters: usize,
    /// The maximum number of endpoints in a cluster, 1 to 1,000,000; 20,000 by default, which take some 8 MB.
    pub max_endpoints: usize,
}

/// The error for a policy value that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("catalog policy: {key} must be {range}")]
pub struct BadPolicy {
    /// The key of the value.
    pub key: &'static str,
    /// The valid range.
    pub range: &'static str,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            hold: Duration::from_secs(30),
            most_gone: 0.5,
            returns_within: Duration::from_secs(10),
            aged_after: Duration::from_secs(10),
            max_clusters: 1_000,
            max_endpoints: 20_000,
        }
    }
}

impl Policy {
    /// The smallest number of removals in one update that can be suspicious. A single endpoint may always be
    /// removed, unless no endpoint that accepts requests would remain.
    pub const MIN_SUSPICIOUS_REMOVALS: usize = 2;
    /// The shortest interval at which a source is asked again about a quarantined change.
    pub const MIN_REFETCH_INTERVAL: Duration = Duration::from_secs(1);
    /// The maximum number of rejections that are reported one by one for an update of a cluster; further ones
    /// are counted.
    pub const MAX_NAMED_REJECTIONS: usize = 16;

    /// Checks each value against its range.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
    pub fn check(&self) -> Result<(), BadPolicy> {
        let within = |d: Duration, seconds| d <= Duration::from_secs(seconds);
        for (key, range, fits) in [
            ("hold", "0 s to 10 min", within(self.hold, 600)),
            ("most_gone", "greater than 0, at most 1", self.most_gone > 0.0 && self.most_gone <= 1.0),
            ("returns_within", "0 s to 5 min", within(self.returns_within, 300)),
            ("aged_after", "0 s to 1 h", within(self.aged_after, 3600)),
            ("max_clusters", "1 to 100,000", (1..=100_000).contains(&self.max_clusters)),
            ("max_endpoints", "1 to 1,000,000", (1..=1_000_000).contains(&self.max_endpoints)),
        ] {
            if !fits {
                return Err(BadPolicy { key, range });
            }
        }
        Ok(())
    }

    pub(crate) fn refetch_interval(&self) -> Duration {
        self.hold.max(Policy::MIN_REFETCH_INTERVAL)
    }
}
