//! A barrier for threads that meet every few microseconds of real time.
//!
//! The standard library's barrier parks threads in the kernel, which costs more than the work between two
//! meetings. This one spins for a while, then yields, so that it is also usable with more threads than cores.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Looks at the counter this often before the core is offered to others.
const SPINS: u32 = 2000;

/// A reusable meeting point of a fixed number of threads (sense reversal by generation; Hensgen, Finkel and
/// Manber 1988).
pub struct Barrier {
    threads: usize,
    arrived: AtomicUsize,
    generation: AtomicUsize,
}

impl Barrier {
    /// For so many threads.
    pub fn new(threads: usize) -> Barrier {
        Barrier { threads, arrived: AtomicUsize::new(0), generation: AtomicUsize::new(0) }
    }

    /// Returns once all threads are here. What each wrote before is seen by all afterwards.
    pub fn wait(&self) {
        let generation = self.generation.load(Ordering::Acquire);
        if self.arrived.fetch_add(1, Ordering::AcqRel) + 1 == self.threads {
            self.arrived.store(0, Ordering::Relaxed);
            self.generation.store(generation.wrapping_add(1), Ordering::Release);
            return;
        }
        let mut spins = 0;
        while self.generation.load(Ordering::Acquire) == generation {
            spins += 1;
            if spins < SPINS {
                std::hint::spin_loop();
            } else {
                std::thread::yield_now();
            }
        }
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
