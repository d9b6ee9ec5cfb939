//! Tests of the order and the deadlines of the queue.

use super::*;

#[test]
fn requests_are_returned_oldest_first() {
    let mut queue = RequestQueue::default();
    for id in [7, 3, 5] {
        queue.insert(RequestId(id));
    }
    assert_eq!(queue.next_after(None), Some(RequestId(3)));
    assert_eq!(queue.next_after(Some(RequestId(3))), Some(RequestId(5)));
    assert_eq!(queue.next_after(Some(RequestId(4))), Some(RequestId(5)), "after a request not in the queue");
    queue.remove(RequestId(7));
    assert_eq!(queue.next_after(Some(RequestId(5))), None);
}

#[test]
fn capacity_deadline_is_never_after_the_unavailable_deadline() {
    let deadlines = QueueDeadlines::new(1_000, 1_000, 400);
    assert_eq!(deadlines.current(false), 1_400, "0.4 of the time left");
    assert_eq!(deadlines.current(true), 1_100, "a quarter of the objective");
    let short = QueueDeadlines::new(1_000, 100, 4_000);
    assert_eq!(short.current(true), 1_040);
}
