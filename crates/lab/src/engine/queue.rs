//! Events that are due, in a total order that no hash table and no number of threads has a part in.

use olivecart_decisions::Nanos;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

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

#[derive(Clone, Copy)]
struct Due {
    place: Place,
    slot: u32,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.place == other.place
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest: the heap gives its greatest first.
    fn cmp(&self, other: &Due) -> Ordering {
        other.place.cmp(&self.place)
    }
}

/// Events by their order. What is moved about in the heap is small; messages lie still in slots beside it.
pub struct Queue<M> {
    heap: BinaryHeap<Due>,
    slots: Vec<Option<(u32, M)>>,
    free: Vec<u32>,
}

impl<M> Default for Queue<M> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), slots: Vec::new(), free: Vec::new() }
    }
}

impl<M> Queue<M> {
    /// Events that wait.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// When the next one is due.
    pub fn next_at(&self) -> Option<Nanos> {
        self.heap.peek().map(|due| due.place.at)
    }

    /// Adds one.
    pub fn push(&mut self, event: Event<M>) {
        let body = Some((event.to, event.message));
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = body;
                slot
            }
            None => {
                self.slots.push(body);
                (self.slots.len() - 1) as u32
            }
        };
        self.heap.push(Due { place: event.place, slot });
    }

    /// Takes the first one if it is due before a time.
    pub fn pop_before(&mut self, end: Nanos) -> Option<Event<M>> {
        if self.next_at()? >= end {
            return None;
        }
        let due = self.heap.pop()?;
        let (to, message) = self.slots[due.slot as usize].take()?;
        self.free.push(due.slot);
        Some(Event { place: due.place, to, message })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_of_one_instant_come_by_who_caused_them_and_then_in_their_order() {
        let mut queue = Queue::default();
        let places = [(5, 1, 0), (5, 0, 7), (5, 0, 3), (4, 9, 9), (6, 0, 0)];
        for (at, from, number) in places {
            queue.push(Event { place: Place { at, from, number }, to: 0, message: (at, from, number) });
        }
        let order: Vec<_> = std::iter::from_fn(|| queue.pop_before(6)).map(|e| e.message).collect();
        assert_eq!(order, [(4, 9, 9), (5, 0, 3), (5, 0, 7), (5, 1, 0)]);
        assert_eq!(queue.next_at(), Some(6), "what is due later stays");
    }

    #[test]
    fn slots_are_used_again() {
        let mut queue = Queue::default();
        for round in 0..1000 {
            for number in 0..3 {
                queue.push(Event { place: Place { at: round, from: 0, number }, to: 0, message: () });
            }
            while queue.pop_before(round + 1).is_some() {}
        }
        assert_eq!(queue.slots.len(), 3);
    }
}
