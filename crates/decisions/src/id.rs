//! Numeric IDs, and time.
//!
//! The embedding program replaces the names of deployments, zones, classes, tenants and machine kinds by
//! numbers, in the order of the settings or of first appearance. Only endpoint names are passed on,
//! because the order of preference is derived from their hash and learned state is stored under them.

/// A time or a duration, in nanoseconds. The origin of the clock is arbitrary.
pub type Nanos = u64;

/// The ID of an endpoint, assigned in the order in which this replica first learned of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// The ID of a request, assigned in the order of arrival and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// An index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub u16);

/// The ID of a zone (failure domain).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// The ID of a machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKindId(pub u16);

/// The ID of a cell, a small group of endpoints that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);
