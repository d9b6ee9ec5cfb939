//! Tests of the order of events, which is compared with that of a sorted set.

use super::*;

fn event(at: Nanos, sender: u32, sequence: u32) -> Event<EventKey> {
    let key = EventKey { at, sender, sequence };
    Event { key, receiver: 0, message: key }
}

#[test]
fn simultaneous_events_are_ordered_by_sender_and_then_by_sequence() {
    let mut queue = EventQueue::new(100);
    for (at, sender, sequence) in [(5, 1, 0), (5, 0, 7), (5, 0, 3), (4, 9, 9), (6, 0, 0)] {
        queue.push(event(at, sender, sequence));
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop_before(6)).map(|event| event.key).collect();
    let order: Vec<_> = order.iter().map(|key| (key.at, key.sender, key.sequence)).collect();
    assert_eq!(order, [(4, 9, 9), (5, 0, 3), (5, 0, 7), (5, 1, 0)]);
    assert_eq!(queue.next_due(), Some(6), "later events stay in the queue");
}

/// Compares the queue with a sorted set, for events due between now and many groups of buckets ahead.
#[test]
fn event_queue_agrees_with_a_sorted_set() {
    for width in [1, 7, 1000] {
        let (mut queue, mut plain) = (EventQueue::new(width), std::collections::BTreeSet::new());
        let (mut now, mut state) = (0, 1u64);
        for sequence in 0..60_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let ahead = (state >> 33) % [3, 50, 5_000, 4_000_000][(state >> 60) as usize % 4];
            let event = event(now + ahead, (state >> 40) as u32 % 5, sequence);
            plain.insert(event.key);
            queue.push(event);
            if !state.is_multiple_of(3) {
                let end = now + (state >> 50) % 100;
                let first = plain.first().copied().filter(|key| key.at < end);
                let got = queue.pop_before(end).map(|event| event.key);
                assert_eq!(got, first);
                first.iter().for_each(|key| _ = plain.remove(key));
                now = first.map_or(end.max(now), |key| key.at);
                assert_eq!(queue.next_due(), plain.first().map(|key| key.at));
            }
            assert_eq!(queue.len(), plain.len());
        }
        let rest: Vec<_> =
            std::iter::from_fn(|| queue.pop_before(Nanos::MAX)).map(|event| event.key).collect();
        assert_eq!(rest, plain.into_iter().collect::<Vec<_>>());
        assert!(queue.is_empty());
    }
}
