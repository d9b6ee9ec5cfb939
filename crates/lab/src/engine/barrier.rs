//! A barrier for threads that meet every few microseconds of real time.
//!
//! The standard library's barrier parks threads in the kernel, which costs more than the work between two
//! meetings. This one spins for a while, then yields, and sleeps only where that did not help: where there are
//! more threads than cores, those that wait are in the way of those that work.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    broken: AtomicBool,
    bed: Mutex<()>,
    bell: Condvar,
}

impl Barrier {
    /// For so many threads.
    pub fn new(threads: usize) -> Barrier {
        let zero = || AtomicUsize::new(0);
        let (arrived, generation, sleepers) = (zero(), zero(), zero());
        let (broken, bed, bell) = (AtomicBool::new(false), Mutex::new(()), Condvar::new());
        Barrier { threads, arrived, generation, sleepers, broken, bed, bell }
    }

    /// A thread will come no more: nobody waits from now on.
    pub fn break_up(&self) {
        self.broken.store(true, Ordering::SeqCst);
        self.wake_sleepers();
    }

    /// Danger: a sleeper that looked just before a change would miss the bell; it holds the lock from its look
    /// to its sleep.
    fn wake_sleepers(&self) {
        if self.sleepers.load(Ordering::SeqCst) > 0 {
            drop(self.bed.lock().unwrap_or_else(PoisonError::into_inner));
            self.bell.notify_all();
        }
    }

    /// Returns once all threads are here: what each wrote before is seen by all afterwards. False: one of them
    /// will not come.
    pub fn wait(&self) -> bool {
        if self.broken.load(Ordering::SeqCst) {
            return false;
        }
        let generation = self.generation.load(Ordering::Acquire);
        if self.arrived.fetch_add(1, Ordering::AcqRel) + 1 == self.threads {
            self.arrived.store(0, Ordering::Relaxed);
            self.generation.store(generation.wrapping_add(1), Ordering::SeqCst);
            self.wake_sleepers();
            return true;
        }
        let met = || self.generation.load(Ordering::SeqCst) != generation;
        let is_over = || met() || self.broken.load(Ordering::SeqCst);
        for _ in 0..SPINS {
            if is_over() {
                return met();
            }
            std::hint::spin_loop();
        }
        for _ in 0..YIELDS {
            if is_over() {
                return met();
            }
            std::thread::yield_now();
        }
        self.sleep_until(is_over);
        met()
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
                        assert!(barrier.wait());
                        assert_eq!(count.load(Ordering::Relaxed), 4 * round);
                        assert!(barrier.wait());
                    }
                });
            }
        });
    }

    #[test]
    fn nobody_waits_for_one_who_will_not_come() {
        let barrier = Barrier::new(3);
        std::thread::scope(|scope| {
            let waiting: Vec<_> = (0..2).map(|_| scope.spawn(|| barrier.wait())).collect();
            barrier.break_up();
            assert!(waiting.into_iter().all(|thread| !thread.join().expect("it ends")));
        });
        assert!(!barrier.wait(), "nor later");
    }
}
