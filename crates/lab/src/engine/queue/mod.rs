//! The queue of pending events. Their total order depends neither on hash tables nor on the number of
//! threads.

use olivecart_decisions::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

/// The sort key of an event: its time, then its sender, then the order in which the sender sent its events.
/// No two events have the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventKey {
    /// The time at which the event is due.
    pub at: Nanos,
    /// The node that sent it.
    pub sender: u32,
    /// The number of events that the sender had sent before.
    pub sequence: u32,
}

/// An event for a node.
#[derive(Debug)]
pub struct Event<M> {
    /// The sort key of the event.
    pub key: EventKey,
    /// The node that receives it.
    pub receiver: u32,
    /// The message that the node handles.
    pub message: M,
}

/// The number of buckets in a group.
const NEAR_BUCKETS: u64 = 1024;

/// Reverses the order of events, so that the greatest element of a heap is the earliest event.
struct EarliestFirst<M>(Event<M>);

impl<M> PartialEq for EarliestFirst<M> {
    fn eq(&self, other: &EarliestFirst<M>) -> bool {
        self.0.key == other.0.key
    }
}

impl<M> Eq for EarliestFirst<M> {}

impl<M> PartialOrd for EarliestFirst<M> {
    fn partial_cmp(&self, other: &EarliestFirst<M>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for EarliestFirst<M> {
    fn cmp(&self, other: &EarliestFirst<M>) -> Ordering {
        other.0.key.cmp(&self.0.key)
    }
}

/// A queue of pending events: a timing wheel of two levels (Varghese and Lauck 1987) whose buckets are sorted
/// when they become current. A heap over all pending events would cost a cache miss for each of its levels,
/// and most pending events are timers that are due seconds later.
pub struct EventQueue<M> {
    /// The width of a bucket. Messages between nodes take at least this long, so that few events are added to
    /// the current bucket.
    bucket_width: Nanos,
    /// The current bucket, the earliest event last.
    current: Vec<Event<M>>,
    /// Events for the current bucket or earlier that were added after the bucket was sorted.
    late_arrivals: BinaryHeap<EarliestFirst<M>>,
    /// The number of the current bucket.
    current_bucket: u64,
    /// The buckets of the current group, by their number within the group.
    near: Vec<Vec<Event<M>>>,
    /// The events of later groups, by group.
    far: BTreeMap<u64, Vec<Event<M>>>,
    len: usize,
}

impl<M> EventQueue<M> {
    /// Creates an empty queue. The width of its buckets affects only its speed.
    pub fn new(bucket_width: Nanos) -> EventQueue<M> {
        EventQueue {
            bucket_width: bucket_width.max(1),
            current: Vec::new(),
            late_arrivals: BinaryHeap::new(),
            current_bucket: 0,
            near: (0..NEAR_BUCKETS).map(|_| Vec::new()).collect(),
            far: BTreeMap::new(),
            len: 0,
        }
    }

    /// The number of pending events.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the time at which the next event is due.
    pub fn next_due(&mut self) -> Option<Nanos> {
        self.next_key().map(|key| key.at)
    }

    /// Adds an event.
    pub fn push(&mut self, event: Event<M>) {
        self.len += 1;
        let bucket = event.key.at / self.bucket_width;
        if bucket <= self.current_bucket {
            self.late_arrivals.push(EarliestFirst(event));
        } else if bucket / NEAR_BUCKETS == self.current_bucket / NEAR_BUCKETS {
            self.near[(bucket % NEAR_BUCKETS) as usize].push(event);
        } else {
            self.far.entry(bucket / NEAR_BUCKETS).or_default().push(event);
        }
    }

    /// Removes and returns the first event if it is due before `end`.
    pub fn pop_before(&mut self, end: Nanos) -> Option<Event<M>> {
        let key = self.next_key()?;
        if key.at >= end {
            return None;
        }
        self.len -= 1;
        match self.current.last() {
            Some(event) if event.key == key => self.current.pop(),
            _ => self.late_arrivals.pop().map(|earliest| earliest.0),
        }
    }

    fn next_key(&mut self) -> Option<EventKey> {
        if self.current.is_empty() && self.late_arrivals.is_empty() {
            self.advance();
        }
        let current = self.current.last().map(|event| event.key);
        let late_arrival = self.late_arrivals.peek().map(|earliest| earliest.0.key);
        match (current, late_arrival) {
            (Some(current), Some(late_arrival)) => Some(current.min(late_arrival)),
            (current, late_arrival) => current.or(late_arrival),
        }
    }

    /// Advances to the next bucket that is not empty.
    fn advance(&mut self) {
        loop {
            let first = self.current_bucket % NEAR_BUCKETS + 1;
            let next = (first..NEAR_BUCKETS).find(|bucket| !self.near[*bucket as usize].is_empty());
            if let Some(bucket) = next {
                self.current_bucket = self.current_bucket / NEAR_BUCKETS * NEAR_BUCKETS + bucket;
                return self.load_bucket(bucket);
            }
            let Some((group, events)) = self.far.pop_first() else { return };
            self.current_bucket = group * NEAR_BUCKETS;
            for event in events {
                let bucket = event.key.at / self.bucket_width % NEAR_BUCKETS;
                self.near[bucket as usize].push(event);
            }
            if !self.near[0].is_empty() {
                return self.load_bucket(0);
            }
        }
    }

    fn load_bucket(&mut self, bucket: u64) {
        std::mem::swap(&mut self.current, &mut self.near[bucket as usize]);
        self.current.sort_unstable_by_key(|event| Reverse(event.key));
    }
}

#[cfg(test)]
mod tests;
