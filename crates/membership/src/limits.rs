//! The ranges of an endpoint's values, for their validation and for the error messages.

/// The largest priority; xDS has the same limit.
pub(crate) const MAX_PRIORITY: u32 = 128;
/// The largest weight: the limit of xDS, and low enough that sums of weights stay exact.
pub(crate) const MAX_WEIGHT: f64 = u32::MAX as f64;
/// The maximum number of pairs in an endpoint's metadata.
pub(crate) const MAX_METADATA_PAIRS: usize = 32;
/// The maximum total size of all keys and values in an endpoint's metadata, in bytes.
pub(crate) const MAX_METADATA_BYTES: usize = 4096;
