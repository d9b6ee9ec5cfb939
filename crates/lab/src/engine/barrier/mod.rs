//! A barrier for threads that meet every few microseconds of real time.
//!
//! The standard library's barrier parks threads in the kernel, which costs more than the work between two
//! meetings. This one spins for a while, then yields, and sleeps only if that did not help: with more threads
//! than cores, the waiting threads are in the way of the working ones.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};

/// A waiting thread checks the barrier this often before it offers its core to others...
const SPINS: u32 = 1000;
/// ...and this often more before it sleeps.
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
    /// A barrier for this number of threads.
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

    /// Breaks the barrier because a thread will not arrive any more: nobody waits from now on.
    pub fn break_barrier(&self) {
        self.broken.store(true, Ordering::SeqCst);
        self.wake_sleepers();
    }

    /// Danger: a sleeper that checked just before a change would miss the notification; it holds the lock from
    /// its check to its sleep.
    fn wake_sleepers(&self) {
        if self.sleepers.load(Ordering::SeqCst) > 0 {
            drop(self.sleep_lock.lock().unwrap_or_else(PoisonError::into_inner));
            self.wake_up.notify_all();
        }
    }

    /// Returns true once all threads have arrived: what each wrote before is then visible to all. Returns
    /// false if the barrier is broken.
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
