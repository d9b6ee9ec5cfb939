//! Events that are due, in a total order that no hash table and no number of threads has a part in.

use olivecart_decisions::Nanos;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Where an event stands: by time, then by who caused it, then in the order in which that one caused it.
/// No two events have the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// When it is due.
    pub at: Nanos,
    /// The node that caused it.
    pub from: u32,
    /// How many that node had caused before.
    pub number: u32,
}

/// An event on its way to a node.
#[derive(Debug)]
pub struct Event<M> {
    /// Its place in the order.
    pub place: Place,
    /// The node it is for.
    pub to: u32,
    /// What happens.
    pub message: M,
}

/// Buckets of the near future.
const NEAR: u64 = 1024;

/// By place, so that the greatest of a heap is the earliest.
struct Earliest<M>(Event<M>);

impl<M> PartialEq for Earliest<M> {
    fn eq(&self, other: &Earliest<M>) -> bool {
        self.0.place == other.0.place
    }
}

impl<M> Eq for Earliest<M> {}

impl<M> PartialOrd for Earliest<M> {
    fn partial_cmp(&self, other: &Earliest<M>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Earliest<M> {
    fn cmp(&self, other: &Earliest<M>) -> Ordering {
        other.0.place.cmp(&self.0.place)
    }
}

/// Events by their order: a timing wheel of two levels (Varghese and Lauck 1987) whose bucket is sorted when
/// its time has come. A heap over everything that waits costs a miss of the cache for each of its levels, and
/// most of what waits are timers of seconds.
pub struct Queue<M> {
    /// Width of a bucket; messages between nodes take at least as long, so that hardly anything is added to
    /// the bucket that is being played.
    width: Nanos,
    /// The bucket that is being played, the earliest last; and what came for its time or before since.
    current: Vec<Event<M>>,
    fresh: BinaryHeap<Earliest<M>>,
    /// Its number.
    at: u64,
    /// The near future: buckets of one group, by their number within it.
    near: Vec<Vec<Event<M>>>,
    /// The rest, by group.
    far: BTreeMap<u64, Vec<Event<M>>>,
    len: usize,
}

impl<M> Queue<M> {
    /// An empty one; the width of its buckets is a matter of speed alone.
    pub fn new(width: Nanos) -> Queue<M> {
        Queue {
            width: width.max(1),
            current: Vec::new(),
            fresh: BinaryHeap::new(),
            at: 0,
            near: (0..NEAR).map(|_| Vec::new()).collect(),
            far: BTreeMap::new(),
            len: 0,
        }
    }

    /// Events that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// When the next one is due.
    pub fn next_at(&mut self) -> Option<Nanos> {
        self.next_place().map(|place| place.at)
    }

    /// Adds one.
    pub fn push(&mut self, event: Event<M>) {
        self.len += 1;
        let bucket = event.place.at / self.width;
        match () {
            () if bucket <= self.at => self.fresh.push(Earliest(event)),
            () if bucket / NEAR == self.at / NEAR => self.near[(bucket % NEAR) as usize].push(event),
            () => self.far.entry(bucket / NEAR).or_default().push(event),
        }
    }

    /// Takes the first one if it is due before a time.
    pub fn pop_before(&mut self, end: Nanos) -> Option<Event<M>> {
        let place = self.next_place()?;
        if place.at >= end {
            return None;
        }
        self.len -= 1;
        match self.current.last() {
            Some(event) if event.place == place => self.current.pop(),
            _ => self.fresh.pop().map(|earliest| earliest.0),
        }
    }

    fn next_place(&mut self) -> Option<Place> {
        if self.current.is_empty() && self.fresh.is_empty() {
            self.turn();
        }
        let current = self.current.last().map(|event| event.place);
        let fresh = self.fresh.peek().map(|earliest| earliest.0.place);
        match (current, fresh) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Goes on to the next bucket that holds anything.
    fn turn(&mut self) {
        loop {
            let first = self.at % NEAR + 1;
            let next = (first..NEAR).find(|bucket| !self.near[*bucket as usize].is_empty());
            if let Some(bucket) = next {
                self.at = self.at / NEAR * NEAR + bucket;
                return self.play(bucket);
            }
            let Some((group, events)) = self.far.pop_first() else { return };
            self.at = group * NEAR;
            for event in events {
                let bucket = event.place.at / self.width % NEAR;
                self.near[bucket as usize].push(event);
            }
            if !self.near[0].is_empty() {
                return self.play(0);
            }
        }
    }

    fn play(&mut self, bucket: u64) {
        std::mem::swap(&mut self.current, &mut self.near[bucket as usize]);
        self.current.sort_unstable_by_key(|event| std::cmp::Reverse(event.place));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(at: Nanos, from: u32, number: u32) -> Event<Place> {
        let place = Place { at, from, number };
        Event { place, to: 0, message: place }
    }

    #[test]
    fn events_of_one_instant_come_by_who_caused_them_and_then_in_their_order() {
        let mut queue = Queue::new(100);
        for (at, from, number) in [(5, 1, 0), (5, 0, 7), (5, 0, 3), (4, 9, 9), (6, 0, 0)] {
            queue.push(event(at, from, number));
        }
        let order: Vec<_> = std::iter::from_fn(|| queue.pop_before(6)).map(|e| e.place).collect();
        let order: Vec<_> = order.iter().map(|p| (p.at, p.from, p.number)).collect();
        assert_eq!(order, [(4, 9, 9), (5, 0, 3), (5, 0, 7), (5, 1, 0)]);
        assert_eq!(queue.next_at(), Some(6), "what is due later stays");
    }

    /// Against a plain sorted set, with times from the same instant to many groups of buckets ahead.
    #[test]
    fn the_wheel_gives_what_a_sorted_set_gives() {
        for width in [1, 7, 1000] {
            let (mut queue, mut plain) = (Queue::new(width), std::collections::BTreeSet::new());
            let (mut now, mut state) = (0, 1u64);
            for number in 0..60_000 {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let ahead = (state >> 33) % [3, 50, 5_000, 4_000_000][(state >> 60) as usize % 4];
                let event = event(now + ahead, (state >> 40) as u32 % 5, number);
                plain.insert(event.place);
                queue.push(event);
                if !state.is_multiple_of(3) {
                    let end = now + (state >> 50) % 100;
                    let first = plain.first().copied().filter(|place| place.at < end);
                    let got = queue.pop_before(end).map(|e| e.place);
                    assert_eq!(got, first);
                    first.iter().for_each(|place| _ = plain.remove(place));
                    now = first.map_or(end.max(now), |place| place.at);
                    assert_eq!(queue.next_at(), plain.first().map(|place| place.at));
                }
                assert_eq!(queue.len(), plain.len());
            }
            let rest: Vec<_> = std::iter::from_fn(|| queue.pop_before(Nanos::MAX)).map(|e| e.place).collect();
            assert_eq!(rest, plain.into_iter().collect::<Vec<_>>());
            assert!(queue.is_empty());
        }
    }
}
