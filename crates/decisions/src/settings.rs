//! The settings with which a balancer starts.
//!
//! The embedding program builds them from its own configuration; the package `olivecart-settings` defines
//! the platform's format of them. Durations are in nanoseconds.

use crate::event::EndpointEntry;
use crate::id::{Nanos, ZoneId};
use std::fmt;

/// The set of endpoints that share the idempotency keys they have seen. Each of them drops a retry of a
/// keyed request that another one has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the endpoint that may have run the request.
    Zone,
    /// The endpoints in the cell of the endpoint that may have run the request.
    Cell,
}

impl DeduplicationScope {
    /// Returns whether two endpoints share one deduplication scope, so that each drops the retries of
    /// keyed requests that the other has run.
    pub fn is_shared_by(self, a: &EndpointEntry, b: &EndpointEntry) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.zone == b.zone,
            DeduplicationScope::Cell => a.cell == b.cell,
        }
    }
}

/// Whether the requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may run any number of times.
    Idempotent,
    /// The idempotency key prevents a second effect, within a deduplication scope and window.
    Keyed {
        /// The endpoints that drop a retry.
        scope: DeduplicationScope,
        /// How long a retry is dropped, from the first attempt that may have run.
        window: Nanos,
    },
    /// A request must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time counts with the full weight. Greater than 0.
    pub latency_objective: Nanos,
    /// The longest time that a client waits, over all its retries. Greater than 0.
    pub client_deadline: Nanos,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The weight of one request relative to other classes.
    pub priority_weight: f64,
    /// The share of its weight that a response after the latency objective keeps, from 0 to 1.
    pub late_weight_ratio: f64,
    /// Whether responses are streamed.
    pub streaming: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 100_000_000,
            client_deadline: 400_000_000,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
            late_weight_ratio: 0.0,
            streaming: false,
        }
    }
}

/// A tenant and its entitlement.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The quota in requests per second, over all replicas.
    pub quota_per_s: f64,
    /// The tenant's share of the service.
    pub share: f64,
}

/// How the replica obtains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive without a subscription.
    Automatic,
    /// Updates arrive only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) or
    /// [`Action::RefreshEndpoints`](crate::Action::RefreshEndpoints).
    Subscribe,
}

/// The limits that a deployment sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of attempts of one request. Greater than 0.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_enabled: bool,
    /// Whether [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub cancellation_enabled: bool,
    /// Whether [`Action::StartHealthCheck`](crate::Action::StartHealthCheck) may be used.
    pub health_checks_enabled: bool,
    /// The longest Retry-After that clients honour; 0 if none may be sent.
    pub max_retry_after: Nanos,
    /// The time after which a connection that is not yet established has failed.
    pub connect_timeout: Nanos,
}

/// The parameters of slow start, overload, draining and discovery.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The least share of its capacity that an endpoint has right after its start, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// The time after its start by which an endpoint has its full capacity.
    pub slow_start_window: Nanos,
    /// An endpoint fails if it is sent more than this multiple of its current capacity for
    /// [`overload_window`](Rules::overload_window). Greater than 0.
    pub overload_multiple: f64,
    /// See [`overload_multiple`](Rules::overload_multiple).
    pub overload_window: Nanos,
    /// The time within which attempts to a draining or removed endpoint must stop.
    pub drain_grace: Nanos,
    /// Without a subscription, the time within which the endpoint list must be requested. Greater than 0.
    pub poll_interval: Nanos,
}

/// The cost of one unit of each kind of overhead, as a fraction of the whole service.
#[derive(Clone, Debug, Default)]
pub struct CostWeights {
    /// Attempts to another zone, per first attempt.
    pub cross_zone: f64,
    /// Endpoint work without a response, as a fraction of the work offered.
    pub wasted_work: f64,
    /// Health checks, per first attempt.
    pub health_check: f64,
    /// Weight of requests that fail after their latency objective, as a fraction of all weight.
    pub late_failure: f64,
}

/// The settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The index of this replica in its tier, from 0.
    pub replica_index: u32,
    /// The number of replicas in the tier.
    pub replica_count: u32,
    /// The tier of endpoints that the replica sends to; clients call tier 0.
    pub tier: u32,
    /// The zone in which the replica runs.
    pub zone: ZoneId,
    /// The least time between two batches of events.
    pub clock_granularity: Nanos,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its weight that a request over its tenant's quota keeps, from 0 to 1.
    pub over_quota_weight_ratio: f64,
    /// Whether weight counts per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Whether a request to the next tier carries the time left to its caller.
    pub propagates_deadline: bool,
    /// How the replica obtains the endpoint list.
    pub discovery: Discovery,
    /// The limits that the deployment sets.
    pub limits: Limits,
    /// The parameters of slow start, overload, draining and discovery.
    pub rules: Rules,
    /// The cost of each kind of overhead.
    pub cost_weights: CostWeights,
}

impl Default for Settings {
    fn default() -> Self {
        const SECOND: Nanos = 1_000_000_000;
        Settings {
            replica_index: 0,
            replica_count: 1,
            tier: 0,
            zone: ZoneId(0),
            clock_granularity: SECOND / 1000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight_ratio: 1.0,
            weight_by_work: false,
            propagates_deadline: true,
            discovery: Discovery::Automatic,
            limits: Limits {
                max_attempts: 3,
                hedging_enabled: false,
                cancellation_enabled: false,
                health_checks_enabled: true,
                max_retry_after: 0,
                connect_timeout: SECOND / 4,
            },
            rules: Rules {
                slow_start_initial_share: 0.1,
                slow_start_window: 30 * SECOND,
                overload_multiple: 2.0,
                overload_window: SECOND,
                drain_grace: SECOND / 4,
                poll_interval: 10 * SECOND,
            },
            cost_weights: CostWeights::default(),
        }
    }
}

impl Settings {
    /// Checks the settings for missing and out-of-range values.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        if self.classes.is_empty() {
            return Err(InvalidSettings::NoClasses);
        }
        if self.replica_count == 0 || self.replica_index >= self.replica_count {
            return Err(InvalidSettings::ReplicaIndexOutOfRange);
        }
        if self.limits.max_attempts == 0 {
            return Err(InvalidSettings::NoAttempts);
        }
        if self.classes.iter().any(|class| class.latency_objective == 0 || class.client_deadline == 0) {
            return Err(InvalidSettings::ZeroClassDuration);
        }
        let has_valid_share = (0.0..=1.0).contains(&self.rules.slow_start_initial_share);
        let has_valid_multiple = self.rules.overload_multiple > 0.0;
        if !has_valid_share || !has_valid_multiple {
            return Err(InvalidSettings::SlowStartOutOfRange);
        }
        Ok(())
    }
}

/// The reason why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidSettings {
    /// [`Settings::classes`] is empty.
    NoClasses,
    /// [`Settings::replica_index`] is not below [`Settings::replica_count`].
    ReplicaIndexOutOfRange,
    /// [`Limits::max_attempts`] is 0.
    NoAttempts,
    /// The latency objective or the deadline of a [`Class`] is 0.
    ZeroClassDuration,
    /// [`Rules::slow_start_initial_share`] or [`Rules::overload_multiple`] is out of its range.
    SlowStartOutOfRange,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            InvalidSettings::NoClasses => "settings: no request class is configured",
            InvalidSettings::ReplicaIndexOutOfRange => "settings: the replica index is out of range",
            InvalidSettings::NoAttempts => "settings: the maximum number of attempts is 0",
            InvalidSettings::ZeroClassDuration => "settings: a class has an objective or a deadline of 0",
            InvalidSettings::SlowStartOutOfRange => "settings: a slow start value is out of range",
        })
    }
}

impl std::error::Error for InvalidSettings {}
