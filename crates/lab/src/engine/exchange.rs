//! What the threads of a run share: the barrier at which they meet, their counters, and the queues of events
//! and broadcasts from thread to thread.
//!
//! Workers write into it before they wait at the barrier and read from it afterwards.

use super::barrier::Barrier;
use super::queue::Event;
use super::{Model, ThreadCounters};
use olivecart_decisions::Nanos;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Events on their way from one thread to another.
type MessageQueue<M> = Mutex<Vec<Event<<M as Model>::Message>>>;
/// Broadcasts on their way from one thread to another.
type BroadcastQueue<M> = Mutex<Vec<<M as Model>::Broadcast>>;

/// What the threads share.
pub(super) struct Exchange<M: Model> {
    pub(super) barrier: Barrier,
    /// By thread.
    next_due: Vec<AtomicU64>,
    /// By thread.
    pending_events: Vec<AtomicU64>,
    /// By thread.
    open_requests: Vec<AtomicU64>,
    /// By sending thread, then by receiving thread.
    messages: Vec<Vec<MessageQueue<M>>>,
    /// By sending thread, then by receiving thread.
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

    /// Hands events over to another thread, and leaves `events` empty.
    pub(super) fn send_events(&self, from: usize, to: usize, events: &mut Vec<Event<M::Message>>) {
        lock(&self.messages[from][to]).append(events);
    }

    /// The events that one thread has handed over to another.
    pub(super) fn take_events(&self, from: usize, to: usize) -> Vec<Event<M::Message>> {
        std::mem::take(&mut *lock(&self.messages[from][to]))
    }

    /// Hands broadcasts over to another thread.
    pub(super) fn send_broadcasts(&self, from: usize, to: usize, broadcasts: &[M::Broadcast]) {
        lock(&self.broadcasts[from][to]).extend(broadcasts.iter().cloned());
    }

    /// The broadcasts that one thread has handed over to another.
    pub(super) fn take_broadcasts(&self, from: usize, to: usize) -> Vec<M::Broadcast> {
        std::mem::take(&mut *lock(&self.broadcasts[from][to]))
    }

    /// Publishes the counters of a thread.
    pub(super) fn publish(&self, thread: usize, counters: ThreadCounters) {
        self.next_due[thread].store(counters.next_due, Ordering::Release);
        self.pending_events[thread].store(counters.pending_events, Ordering::Release);
        self.open_requests[thread].store(counters.open_requests, Ordering::Release);
    }

    /// When the next event of any thread is due.
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

/// A thread that panicked while it held the lock has ended the run already.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
