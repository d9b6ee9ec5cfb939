//! The counters and gauges that the admin server reports. Only the event loop writes them, each at one place.
//! Any thread can read them without the event loop.

use crate::framing::RejectedForms;
use crate::memory::{MemoryAccountant, MemoryGauges};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering::Relaxed};

/// The result of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The request was answered with 200.
    Ok,
    /// The request was rejected, and a retry is safe.
    Shed,
    /// The request failed, or its client disconnected.
    Error,
}

/// All counters and gauges.
#[derive(Default)]
pub struct Stats {
    classes: Vec<Class>,
    received: AtomicU64,
    attempts: AtomicU64,
    active: AtomicI64,
    pool_size: AtomicU64,
    pool_ejected: AtomicU64,
    ready: AtomicBool,
    memory: MemoryGauges,
    rejected_forms: RejectedForms,
}

struct Class {
    name: String,
    /// Indexed by [`RequestResult`].
    ended: [AtomicU64; 3],
}

/// A request that was received and has not ended. Counted when it is dropped: as an error, unless
/// [`ActiveRequest::set_result`] was called, since then its client has disconnected or its task was
/// cancelled.
pub struct ActiveRequest {
    stats: Arc<Stats>,
    class: usize,
    result: RequestResult,
}

/// The numbers of endpoints at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Endpoints in the list.
    pub size: usize,
    /// Endpoints in the list that get no requests.
    pub ejected: usize,
}

impl Stats {
    /// Creates counters at 0. `classes` are the names of the classes, in the order of the settings.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Stats {
        let class = |name: &str| Class { name: name.to_owned(), ended: Default::default() };
        Stats { classes: classes.map(class).collect(), ..Stats::default() }
    }

    /// Counts a request that was received completely.
    pub fn count_request(self: &Arc<Self>, class: usize) -> ActiveRequest {
        self.received.fetch_add(1, Relaxed);
        self.active.fetch_add(1, Relaxed);
        ActiveRequest { stats: self.clone(), class, result: RequestResult::Error }
    }

    /// Counts an attempt whose last byte was written.
    pub fn count_attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// Updates the gauges of the pool, and whether the proxy is ready to serve.
    pub fn publish(&self, pool: Pool, ready: bool) {
        self.pool_size.store(pool.size as u64, Relaxed);
        self.pool_ejected.store(pool.ejected as u64, Relaxed);
        self.ready.store(ready, Relaxed);
    }

    /// The gauges of memory.
    pub fn memory(&self) -> &MemoryGauges {
        &self.memory
    }

    /// The messages that were rejected for their form.
    pub fn rejected_forms(&self) -> &RejectedForms {
        &self.rejected_forms
    }

    /// Updates the gauges of memory.
    pub fn publish_memory(&self, memory: &MemoryAccountant) {
        self.memory.publish(memory);
    }

    /// Whether the proxy is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// Whether received = ok + shed + errors + active. Only valid in the event loop, which is the only
    /// writer.
    fn is_balanced(&self) -> bool {
        let ended = self.classes.iter().flat_map(|class| &class.ended).map(|n| n.load(Relaxed)).sum::<u64>();
        let active = u64::try_from(self.active.load(Relaxed));
        active.is_ok_and(|active| self.received.load(Relaxed) == ended + active)
    }
}

impl ActiveRequest {
    /// Sets the result, once the response was sent.
    pub fn set_result(&mut self, result: RequestResult) {
        self.result = result;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if let Some(class) = self.stats.classes.get(self.class) {
            class.ended[self.result as usize].fetch_add(1, Relaxed);
        }
        self.stats.active.fetch_sub(1, Relaxed);
        crate::invariant::check_invariant(self.stats.is_balanced(), "received = ok + shed + errors + active");
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (name, at) in [("ok", 0), ("shed", 1), ("errors", 2)] {
            for class in &self.classes {
                writeln!(f, "edge.{name}.{}={}", class.name, class.ended[at].load(Relaxed))?;
            }
        }
        writeln!(f, "edge.tries={}", self.attempts.load(Relaxed))?;
        writeln!(f, "edge.active={}", self.active.load(Relaxed).max(0))?;
        writeln!(f, "edge.pool_size={}", self.pool_size.load(Relaxed))?;
        writeln!(f, "edge.pool_ejected={}", self.pool_ejected.load(Relaxed))?;
        self.rejected_forms.fmt(f)
    }
}

#[cfg(test)]
mod tests;
