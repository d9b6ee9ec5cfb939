//! The figures: what the proxy has done since its start and what it holds now. Written by the event loop alone, each at
//! one place; read by anybody, without it.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering::Relaxed};

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Served.
    Ok,
    /// Refused: trying again is harmless.
    Shed,
    /// Failed, or its client left first.
    Error,
}

/// All figures.
#[derive(Default)]
pub struct Stats {
    classes: Vec<Class>,
    taken: AtomicU64,
    tries: AtomicU64,
    active: AtomicI64,
    pool_size: AtomicU64,
    pool_ejected: AtomicU64,
    ready: AtomicBool,
}

struct Class {
    name: String,
    /// By [`Ended`].
    ended: [AtomicU64; 3],
}

/// One request that was taken and has not ended: dropped without a word, its client has left or its task is no more,
/// and it counts as an error.
pub struct Taken {
    stats: Arc<Stats>,
    class: usize,
    ended: Ended,
}

/// What is known of the pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Endpoints in the list.
    pub size: usize,
    /// Those of them that are avoided.
    pub ejected: usize,
}

impl Stats {
    /// Everything is 0. `classes`: their names, in the order of the settings.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Stats {
        let class = |name: &str| Class { name: name.to_owned(), ended: Default::default() };
        Stats { classes: classes.map(class).collect(), ..Stats::default() }
    }

    /// A request was taken in whole.
    pub fn take(self: &Arc<Self>, class: usize) -> Taken {
        self.taken.fetch_add(1, Relaxed);
        self.active.fetch_add(1, Relaxed);
        Taken { stats: self.clone(), class, ended: Ended::Error }
    }

    /// The last byte of an attempt was written.
    pub fn tried(&self) {
        self.tries.fetch_add(1, Relaxed);
    }

    /// The pool as it is now, and whether the proxy is ready to serve.
    pub fn publish(&self, pool: Pool, ready: bool) {
        self.pool_size.store(pool.size as u64, Relaxed);
        self.pool_ejected.store(pool.ejected as u64, Relaxed);
        self.ready.store(ready, Relaxed);
    }

    /// Whether the proxy is ready to serve.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// taken = ok + shed + errors + active. Only the event loop may ask: it alone writes.
    fn balanced(&self) -> bool {
        let ended = self.classes.iter().flat_map(|class| &class.ended).map(|n| n.load(Relaxed)).sum::<u64>();
        let active = u64::try_from(self.active.load(Relaxed));
        active.is_ok_and(|active| self.taken.load(Relaxed) == ended + active)
    }
}

impl Taken {
    /// How it ended, once its answer is through.
    pub fn ends(&mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some(class) = self.stats.classes.get(self.class) {
            class.ended[self.ended as usize].fetch_add(1, Relaxed);
        }
        self.stats.active.fetch_sub(1, Relaxed);
        crate::invariant::check_invariant(self.stats.balanced(), "taken = ok + shed + errors + active");
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (name, at) in [("ok", 0), ("shed", 1), ("errors", 2)] {
            for class in &self.classes {
                writeln!(f, "edge.{name}.{}={}", class.name, class.ended[at].load(Relaxed))?;
            }
        }
        writeln!(f, "edge.tries={}", self.tries.load(Relaxed))?;
        writeln!(f, "edge.active={}", self.active.load(Relaxed).max(0))?;
        writeln!(f, "edge.pool_size={}", self.pool_size.load(Relaxed))?;
        writeln!(f, "edge.pool_ejected={}", self.pool_ejected.load(Relaxed))
    }
}

#[cfg(test)]
mod tests;
