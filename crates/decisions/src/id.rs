//! Numbers that stand for names, and time.
//!
//! Names of deployments, zones, classes, tenants and machine kinds never come this far: they are numbered by
//! whoever embeds the module, in the order of the settings or in the order in which they were first heard of.
//! Only an endpoint's name is passed on, because the order of preference is a hash of it.

/// A point in time or a length of time, in nanoseconds. The clock has no particular origin.
pub type Nanos = u64;

/// One endpoint, numbered in the order in which this replica heard of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// One request, numbered in the order of arrival; never used again after it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub u16);

/// A zone (failure domain), numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A kind of machine, numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKindId(pub u16);

/// A cell: a small group of endpoints that share which idempotency keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);
