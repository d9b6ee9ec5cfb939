//! Ranges of what a source may say of an endpoint, for the check and for the words of what fails it.

/// The largest priority; xDS has the same limit.
pub(crate) const MAX_PRIORITY: u32 = 128;
/// The largest weight: that of xDS, and far below where sums of weights lose exactness.
pub(crate) const MAX_WEIGHT: f64 = u32::MAX as f64;
/// Most pairs of an endpoint's metadata.
pub(crate) const MAX_METADATA_PAIRS: usize = 32;
/// Most bytes of all keys and values of an endpoint's metadata together.
pub(crate) const MAX_METADATA_BYTES: usize = 4096;
