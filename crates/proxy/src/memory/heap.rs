//! The memory of the heap that is in use, as the allocator counts it.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the bytes that are allocated now, without what the allocator keeps for itself.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}
