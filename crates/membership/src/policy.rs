//! The figures of the catalog's decisions.

use std::time::Duration;

/// The figures of the catalog's decisions. [`Policy::default`] is what is meant for service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// For how long a suspicious change is held before the same again from its source confirms it; 0 s to
    /// 10 min, 30 s by default, 0 to let it pass at once.
    ///
    /// Weighed: a registry that restarts relists its instances within one heartbeat, 5 to 30 s in common
    /// ones, so that a shorter hold lets its first, partial lists through. Holding back a true loss costs
    /// little: the endpoints that are gone fail to connect, and the balancer marks them down within a second
    /// or two.
    pub hold: Duration,
    /// More than this share of a cluster's ready endpoints leaving in one update is suspicious if they are at
    /// least two; over 0, at most 1, 0.5 by default.
    ///
    /// Weighed: deployments replace a quarter to a third at a time and drain first, and what drains or fails
    /// when it leaves does not count. Half the endpoints can't be missed by mistake without the rest being
    /// overloaded; a lower share would hold back ordinary scaling down.
    pub most_gone: f64,
    /// An endpoint that is back within this time after it left has [returned](crate::Arrival::Returned) and
    /// keeps its history; 0 s to 5 min, 10 s by default.
    ///
    /// Weighed: what is known of an endpoint's health and speed goes stale in tens of seconds, and what left
    /// must be remembered for as long.
    pub returns_within: Duration,
    /// A source that has been silent for this long makes its clusters aged; 0 s to 1 h, 10 s by default:
    /// longer than a reconnect with back-off, shorter than somebody takes to wonder.
    pub aged_after: Duration,
    /// Most clusters, 1 to 100,000; 1,000 by default. A flood is refused by name.
    pub max_clusters: usize,
    /// Most endpoints of a cluster, 1 to 1,000,000; 20,000 by default: some 8 MB.
    pub max_endpoints: usize,
}

/// A figure of the policy is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("policy of the catalog: {key} must be {range}")]
pub struct BadPolicy {
    /// The figure.
    pub key: &'static str,
    /// Its range.
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
    /// A single endpoint may always leave at once, unless nothing that takes requests would be left.
    pub const FEWEST_SUSPICIOUS: usize = 2;
    /// A source is asked again about a held change no more often than this.
    pub const LEAST_ASKING: Duration = Duration::from_secs(1);
    /// Most refusals that one update of one cluster puts out by name; the rest is counted.
    pub const MOST_REFUSALS: usize = 16;

    /// Checks every figure against its range.
    ///
    /// # Errors
    /// The first one that lies outside.
    pub fn check(&self) -> Result<(), BadPolicy> {
        let within = |d: Duration, seconds| d <= Duration::from_secs(seconds);
        for (key, range, fits) in [
            ("hold", "0 s to 10 min", within(self.hold, 600)),
            ("most_gone", "over 0, at most 1", self.most_gone > 0.0 && self.most_gone <= 1.0),
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

    pub(crate) fn asking(&self) -> Duration {
        self.hold.max(Policy::LEAST_ASKING)
    }
}
