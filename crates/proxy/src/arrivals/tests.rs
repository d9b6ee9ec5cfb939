use super::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Reads bytes, of which some may not have been noticed before.
fn read(arrivals: &Arrivals, bytes: u64, now: Instant) {
    arrivals.on_at_least_unread(bytes, now);
    arrivals.on_read(bytes);
}

#[test]
fn bytes_that_lie_unread_keep_the_time_at_which_they_arrived() {
    let start = Instant::now();
    let arrivals = Arrivals::new(start);
    read(&arrivals, 100, start + MS);
    assert_eq!((arrivals.last_at(), arrivals.total(), arrivals.has_unread()), (start + MS, 100, false));
    arrivals.on_unread(50, start + 2 * MS);
    arrivals.on_unread(50, start + 3 * MS); // looked at again
    read(&arrivals, 30, start + 4 * MS);
    arrivals.on_unread(20, start + 5 * MS);
    assert_eq!((arrivals.last_at(), arrivals.total(), arrivals.has_unread()), (start + 2 * MS, 150, true));
    read(&arrivals, 20, start + 6 * MS);
    assert_eq!((arrivals.last_at(), arrivals.has_unread()), (start + 2 * MS, false));
    read(&arrivals, 1, start + 7 * MS);
    assert_eq!((arrivals.last_at(), arrivals.total()), (start + 7 * MS, 151));
}

#[test]
fn request_has_ended_when_its_last_byte_arrived_whatever_comes_behind_it() {
    let start = Instant::now();
    let arrivals = Arrivals::new(start);
    read(&arrivals, 100, start);
    arrivals.set_request_end(Some(180));
    arrivals.on_unread(79, start + MS);
    assert_eq!(arrivals.request_ended_at(), None);
    arrivals.on_unread(80, start + 2 * MS);
    assert_eq!(arrivals.request_ended_at(), Some(start + 2 * MS));
    arrivals.on_unread(90, start + 3 * MS); // of the next request
    read(&arrivals, 90, start + 4 * MS);
    assert_eq!(arrivals.request_ended_at(), Some(start + 2 * MS));
    arrivals.set_request_end(Some(190));
    assert_eq!(arrivals.request_ended_at(), Some(start + 3 * MS), "it had arrived before it was parsed");
    arrivals.set_request_end(None);
    assert_eq!(arrivals.request_ended_at(), None, "the end of the next one is not known yet");
}
