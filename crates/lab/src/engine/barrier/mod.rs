//! A barrier for threads that synchronize every few microseconds of real time.
//!
//! The standard library's barrier parks threads in the kernel, which costs more than the work between two
//! synchronizations. This barrier spins first, then yields, and sleeps only after that: with more threads
//! than cores, spinning threads would take cores from the working ones.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};

/// The number of times that a waiting thread checks the barrier before it yields its core.
const SPINS: u32 = 1000;
/// The number of times that a waiting thread yields its core before it sleeps.
const YIELDS: u32 = 20;

/// A reusable barrier for a fixed number of threads (sense reversal by generation; Hensgen, Finkel and Manber
/// 1988).
pub struct Barrier {
    threads: usize,
    arrived: AtomicUsize,
    generation: AtomicUsize,
    sleepers: AtomicUsize,
    broken: AtomicBool,
    sleep_lock: Mutex<()>,
    wake_up: Condvar,
}

impl Barrier {
    /// Creates a barrier for this number of threads.
    pub fn new(threads: usize) -> Barrier {
        Barrier {
            threads,
            arrived: AtomicUsize::new(0),
            generation: AtomicUsize::new(0),
            sleepers: AtomicUsize::new(0),
            broken: AtomicBool::new(false),
            sleep_lock: Mutex::new(()),
            wake_up: Condvar::new(),
        }
    }

    /// Breaks the barrier because a thread will no longer arrive. All current and later waits return at once.
    pub fn break_barrier(&self) {
        self.broken.store(true, Ordering::SeqCst);
        self.wake_sleepers();
    }

    /// Wakes the sleeping threads. A sleeper holds the lock from its check to its sleep; without taking the
    /// lock here, a sleeper that has just checked would miss the notification.
    fn wake_sleepers(&self) {
        if self.sleepers.load(Ordering::SeqCst) > 0 {
            drop(self.sleep_lock.lock().unwrap_or_else(PoisonError::into_inner));
            self.wake_up.notify_all();
        }
    }

    /// Returns `true` once all threads have arrived; everything that they wrote before is then visible to
    /// all. Returns `false` if the barrier is broken.
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
        self.wait_for_change_from(generation);
        self.has_passed(generation)
    }

    /// Spins, then yields, then sleeps until all threads have arrived or the barrier is broken.
    fn wait_for_change_from(&self, generation: usize) {
        for _ in 0..SPINS {
            if self.is_released(generation) {
                return;
            }
            std::hint::spin_loop();
        }
        for _ in 0..YIELDS {
            if self.is_released(generation) {
                return;
            }
            std::thread::yield_now();
        }
        self.sleep_until_released(generation);
    }

    fn has_passed(&self, generation: usize) -> bool {
        self.generation.load(Ordering::SeqCst) != generation
    }

    fn is_released(&self, generation: usize) -> bool {
        self.has_passed(generation) || self.broken.load(Ordering::SeqCst)
    }

    fn sleep_until_released(&self, generation: usize) {
        self.sleepers.fetch_add(1, Ordering::SeqCst);
        let mut guard = self.sleep_lock.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.is_released(generation) {
            guard = self.wake_up.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
        drop(guard);
        self.sleepers.fetch_sub(1, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
