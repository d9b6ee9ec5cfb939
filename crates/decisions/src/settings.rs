//! What a replica is told at its start.
//!
//! The embedding program reads it from its own configuration; the platform's words for it are in the package
//! `olivecart-settings`. Lengths of time are in nanoseconds.

use crate::event::EndpointEntry;
use crate::id::{Nanos, ZoneId};
use std::fmt;

/// The endpoints that share which idempotency keys they have seen: a retry of a keyed request is dropped by
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any endpoint.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether two endpoints lie in one scope, so that each drops what the other has run.
    pub fn is_shared_by(self, a: &EndpointEntry, b: &EndpointEntry) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.zone == b.zone,
            DeduplicationScope::Cell => a.cell == b.cell,
        }
    }
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be sent again at will.
    Idempotent,
    /// Its idempotency key keeps it from taking effect twice, inside one scope and for a while.
    Keyed {
        /// Where a retry is dropped.
        scope: DeduplicationScope,
        /// For how long after the first attempt that may have run.
        window: Nanos,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time has the full weight. Greater than 0.
    pub latency_objective: Nanos,
    /// The longest that a client waits, over all its retries. Greater than 0.
    pub client_deadline: Nanos,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// Weight of one request against those of other classes.
    pub priority_weight: f64,
    /// Share of the weight left to a response after the latency objective, from 0 to 1.
    pub late_weight_ratio: f64,
    /// The response comes as a stream.
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

/// One tenant and what it is owed.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all replicas.
    pub quota_per_s: f64,
    /// Its part of the service.
    pub share: f64,
}

/// How the list of endpoints comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Automatic,
    /// Only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) or
    /// [`Action::RefreshEndpoints`](crate::Action::RefreshEndpoints).
    Subscribe,
}

/// What the site allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request. Greater than 0.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at the same time.
    pub hedging_enabled: bool,
    /// [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub cancellation_enabled: bool,
    /// [`Action::StartHealthCheck`](crate::Action::StartHealthCheck) may be used.
    pub health_checks_enabled: bool,
    /// Longest Retry-After that clients honour; 0 where none may be given.
    pub max_retry_after: Nanos,
    /// A connection not established in this time has failed.
    pub connect_timeout: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// An endpoint that has just started has at least this share of its capacity, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// It has all of it no later than this after its start.
    pub slow_start_window: Nanos,
    /// It falls over when sent more than this multiple of its present capacity, greater than 0...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_window: Nanos,
    /// Attempts to a draining or removed endpoint must stop within this time.
    pub drain_grace: Nanos,
    /// Without a subscription, the list must be asked for within this time. Greater than 0.
    pub poll_interval: Nanos,
}

/// What a unit of each costs, as a fraction of all the service.
#[derive(Clone, Debug, Default)]
pub struct CostWeights {
    /// An attempt across zones, per first attempt.
    pub cross_zone: f64,
    /// Endpoint work that yields no response, as a fraction of the work offered.
    pub wasted_work: f64,
    /// A health check, per first attempt.
    pub health_check: f64,
    /// Weight that ends unserved after its latency objective, per weight.
    pub late_failure: f64,
}

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this replica among those of its tier, from 0.
    pub replica_index: u32,
    /// How many replicas its tier has.
    pub replica_count: u32,
    /// The tier it sends to; 0 is the one that clients call.
    pub tier: u32,
    /// Where it runs.
    pub zone: ZoneId,
    /// Least time between two batches of events.
    pub clock_granularity: Nanos,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Share of its weight left to a request beyond its tenant's quota, from 0 to 1.
    pub over_quota_weight_ratio: f64,
    /// Weight is counted for each unit of work instead of each request.
    pub weight_by_work: bool,
    /// A request to the next tier carries the time that its caller has left.
    pub propagates_deadline: bool,
    /// How the list comes.
    pub discovery: Discovery,
    /// What the site allows.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// What things cost.
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
    /// Says what makes these settings unusable or contradictory, if anything.
    ///
    /// # Errors
    /// The first that is found.
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

/// Why settings are unusable.
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
