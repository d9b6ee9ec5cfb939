//! The state that the threads of a run share: the barrier at which they synchronize, their counters, and the
//! queues of events and broadcasts between threads.
//!
//! Workers write to it before they wait at the barrier and read from it afterwards.

use super::barrier::Barrier;
use super::queue::Event;
use super::{Model, ThreadCounters};
use olivecart_decisions::Nanos;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Events sent from one thread to another.
type MessageQueue<M> = Mutex<Vec<Event<<M as Model>::Message>>>;
/// Broadcasts sent from one thread to another.
type BroadcastQueue<M> = Mutex<Vec<<M as Model>::Broadcast>>;

/// The state that the threads share.
pub(super) struct Exchange<M: Model> {
    pub(super) barrier: Barrier,
    /// The due time of the earliest event of each thread.
    next_due: Vec<AtomicU64>,
    /// The number of pending events of each thread.
    pending_events: Vec<AtomicU64>,
    /// The number of open requests of each thread.
    open_requests: Vec<AtomicU64>,
    /// The events in transit, by sending thread and then by receiving thread.
    messages: Vec<Vec<MessageQueue<M>>>,
    /// The broadcasts in transit, by sending thread and then by receiving thread.
    broadcasts: Vec<Vec<BroadcastQueue<M>>>,
}

impl<M: Model> Exchange<M> {
    pub(super) fn new(threads: usize) -> Exchange<M> {
        Exchange {
            barrier: Barrier::new(threads),
            next_due: by_thread(threads),
            pending_events: by_thread(threads),
            open_requests: by_thread(threads),
            messages: (0..threads).map(|_| by_thread(threads)).collect(),
            broadcasts: (0..threads).map(|_| by_thread(threads)).collect(),
        }
    }

    /// Sends events to another thread and leaves `events` empty.
    pub(super) fn send_events(&self, from: usize, to: usize, events: &mut Vec<Event<M::Message>>) {
        lock(&self.messages[from][to]).append(events);
    }

    /// Removes and returns the events that one thread has sent to another.
    pub(super) fn take_events(&self, from: usize, to: usize) -> Vec<Event<M::Message>> {
        std::mem::take(&mut *lock(&self.messages[from][to]))
    }

    /// Sends broadcasts to another thread.
    pub(super) fn send_broadcasts(&self, from: usize, to: usize, broadcasts: &[M::Broadcast]) {
        lock(&self.broadcasts[from][to]).extend(broadcasts.iter().cloned());
    }

    /// Removes and returns the broadcasts that one thread has sent to another.
    pub(super) fn take_broadcasts(&self, from: usize, to: usize) -> Vec<M::Broadcast> {
        std::mem::take(&mut *lock(&self.broadcasts[from][to]))
    }

    /// Publishes the counters of a thread.
    pub(super) fn publish(&self, thread: usize, counters: ThreadCounters) {
        self.next_due[thread].store(counters.next_due, Ordering::Release);
        self.pending_events[thread].store(counters.pending_events, Ordering::Release);
        self.open_requests[thread].store(counters.open_requests, Ordering::Release);
    }

    /// The due time of the earliest event of all threads.
    pub(super) fn next_due(&self) -> Nanos {
        self.next_due.iter().map(|due| due.load(Ordering::Acquire)).min().unwrap_or(Nanos::MAX)
    }

    pub(super) fn pending_events(&self) -> u64 {
        sum(&self.pending_events)
    }

    pub(super) fn open_requests(&self) -> u64 {
        sum(&self.open_requests)
    }
}

fn by_thread<T: Default>(threads: usize) -> Vec<T> {
    (0..threads).map(|_| T::default()).collect()
}

fn sum(counters: &[AtomicU64]) -> u64 {
    counters.iter().map(|counter| counter.load(Ordering::Acquire)).sum()
}

/// Locks a mutex. Poisoning is ignored: a thread that panicked with the lock has already ended the run.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
