//! The figures of the accountant, for threads other than the event loop.

use super::{MemoryAccountant, OWNERS};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What the accountant knew when it was last asked, in bytes, and what the kernel counts.
#[derive(Default)]
pub struct MemoryGauges {
    held: [AtomicU64; OWNERS.len()],
    /// What each owner held when all together held the most.
    peak: [AtomicU64; OWNERS.len()],
    assignable: AtomicU64,
    /// What the allocator counts, and the most of it that was published.
    allocated: AtomicU64,
    allocated_peak: AtomicU64,
    /// The anonymous resident memory of the process, which the kernel counts.
    resident: AtomicU64,
    waited: AtomicU64,
    given_up: AtomicU64,
}

impl MemoryGauges {
    /// Replaces the figures.
    pub fn publish(&self, memory: &MemoryAccountant) {
        for (n, owner) in OWNERS.into_iter().enumerate() {
            self.held[n].store(memory.usage().of(owner) as u64, Relaxed);
            self.peak[n].store(memory.peak().of(owner) as u64, Relaxed);
        }
        let (waited, given_up) = memory.waits();
        let allocated = memory.allocated() as u64;
        self.allocated.store(allocated, Relaxed);
        self.allocated_peak.fetch_max(allocated, Relaxed);
        self.assignable.store(memory.assignable() as u64, Relaxed);
        self.waited.store(waited, Relaxed);
        self.given_up.store(given_up, Relaxed);
        if let Some(resident) = anonymous_resident_bytes() {
            self.resident.store(resident, Relaxed);
        }
    }
}

impl fmt::Display for MemoryGauges {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (name, values) in [("held", &self.held), ("peak", &self.peak)] {
            for (owner, value) in OWNERS.into_iter().zip(values) {
                writeln!(f, "edge.memory_{name}.{}={}", owner.name(), value.load(Relaxed))?;
            }
        }
        writeln!(f, "edge.memory_assignable={}", self.assignable.load(Relaxed))?;
        writeln!(f, "edge.memory_allocated={}", self.allocated.load(Relaxed))?;
        writeln!(f, "edge.memory_allocated_peak={}", self.allocated_peak.load(Relaxed))?;
        writeln!(f, "edge.memory_resident={}", self.resident.load(Relaxed))?;
        writeln!(f, "edge.memory_waits={}", self.waited.load(Relaxed))?;
        writeln!(f, "edge.memory_waits_given_up={}", self.given_up.load(Relaxed))
    }
}

/// Returns the anonymous resident memory of this process, or `None` where the system does not tell it.
fn anonymous_resident_bytes() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let mut pages = statm.split(' ').skip(1).map(str::parse::<u64>);
    let (resident, shared) = (pages.next()?.ok()?, pages.next()?.ok()?);
    Some(resident.saturating_sub(shared) * rustix::param::page_size() as u64)
}

#[cfg(test)]
mod tests;
