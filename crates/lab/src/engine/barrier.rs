//! A barrier for threads that meet every few microseconds of real time.
//!
//! The standard library's barrier parks threads in the kernel, which costs more than the work between two
//! meetings. This one spins for a while, then yields, and sleeps only where that did not help: where there are
//! more threads than cores, those that wait are in the way of those that work.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};

/// Looks at the counter this often before the core is offered to others...
const SPINS: u32 = 1000;
/// ...and this often more before the thread sleeps.
const YIELDS: u32 = 20;

/// A reusable meeting point of a fixed number of threads (sense reversal by generation; Hensgen, Finkel and
/// Manber 1988).
pub struct Barrier {
    threads: usize,
    arrived: AtomicUsize,
    generation: AtomicUsize,
    sleepers: AtomicUsize,
    bed: Mutex<()>,
    bell: Condvar,
}

impl Barrier {
    /// For so many threads.
    pub fn new(threads: usize) -> Barrier {
        let zero = || AtomicUsize::new(0);
        let (arrived, generation, sleepers) = (zero(), zero(), zero());
        Barrier { threads, arrived, generation, sleepers, bed: Mutex::new(()), bell: Condvar::new() }
    }

    /// Returns once all threads are here. What each wrote before is seen by all afterwards.
    pub fn wait(&self) {
        let generation = self.generation.load(Ordering::Acquire);
        if self.arrived.fetch_add(1, Ordering::AcqRel) + 1 == self.threads {
            self.arrived.store(0, Ordering::Relaxed);
            self.generation.store(generation.wrapping_add(1), Ordering::SeqCst);
            // Danger: a sleeper that looked at the generation just before this would miss the bell; it holds
            // the lock from its look to its sleep.
            if self.sleepers.load(Ordering::SeqCst) > 0 {
                drop(self.bed.lock().unwrap_or_else(PoisonError::into_inner));
                self.bell.notify_all();
            }
            return;
        }
        let is_over = || self.generation.load(Ordering::SeqCst) != generation;
        for _ in 0..SPINS {
            if is_over() {
                return;
            }
            std::hint::spin_loop();
        }
        for _ in 0..YIELDS {
            if is_over() {
                return;
            }
            std::thread::yield_now();
        }
        self.sleep_until(is_over);
    }

    fn sleep_until(&self, is_over: impl Fn() -> bool) {
        self.sleepers.fetch_add(1, Ordering::SeqCst);
        let mut guard = self.bed.lock().unwrap_or_else(PoisonError::into_inner);
        while !is_over() {
            guard = self.bell.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
        drop(guard);
        self.sleepers.fetch_sub(1, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nobody_passes_before_all_are_there() {
        let (barrier, count) = (Barrier::new(4), AtomicUsize::new(0));
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    for round in 1..=500 {
                        count.fetch_add(1, Ordering::Relaxed);
                        barrier.wait();
                        assert_eq!(count.load(Ordering::Relaxed), 4 * round);
                        barrier.wait();
                    }
                });
            }
        });
    }
}
