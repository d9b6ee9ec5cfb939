//! Order and deadlines of the queue.

use super::*;

#[test]
fn oldest_request_is_first_and_each_next_one_follows() {
    let mut queue = RequestQueue::default();
    for id in [7, 3, 5] {
        queue.insert(RequestId(id));
    }
    assert_eq!(queue.next_after(None), Some(RequestId(3)));
    assert_eq!(queue.next_after(Some(RequestId(3))), Some(RequestId(5)));
    assert_eq!(queue.next_after(Some(RequestId(4))), Some(RequestId(5)), "one that has left the queue");
    queue.remove(RequestId(7));
    assert_eq!(queue.next_after(Some(RequestId(5))), None);
}

#[test]
fn request_waits_for_capacity_no_longer_than_for_an_endpoint() {
    let deadlines = QueueDeadlines::new(1_000, 1_000, 400);
    assert_eq!(deadlines.current(false), 1_400, "0.4 of the time that is left");
    assert_eq!(deadlines.current(true), 1_100, "a quarter of the objective");
    let short = QueueDeadlines::new(1_000, 100, 4_000);
    assert_eq!(short.current(true), 1_040);
}
