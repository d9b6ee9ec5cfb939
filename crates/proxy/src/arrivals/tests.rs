use super::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn bytes_that_lie_unread_keep_the_time_at_which_they_arrived() {
    let start = Instant::now();
    let arrivals = Arrivals::new(start);
    arrivals.on_read(100, start + MS);
    assert_eq!((arrivals.last_at(), arrivals.of_request(), arrivals.has_unread()), (start + MS, 100, false));
    arrivals.on_unread(50, start + 2 * MS);
    arrivals.on_unread(50, start + 3 * MS); // looked at again
    arrivals.on_read(30, start + 4 * MS);
    arrivals.on_unread(20, start + 5 * MS);
    assert_eq!(
        (arrivals.last_at(), arrivals.of_request(), arrivals.has_unread()),
        (start + 2 * MS, 150, true)
    );
    arrivals.on_read(20, start + 6 * MS);
    assert_eq!((arrivals.last_at(), arrivals.has_unread()), (start + 2 * MS, false));
    arrivals.on_read(1, start + 7 * MS);
    assert_eq!((arrivals.last_at(), arrivals.of_request()), (start + 7 * MS, 151));
}

#[test]
fn bytes_of_an_earlier_request_do_not_count_and_those_that_are_read_ahead_do() {
    let start = Instant::now();
    let arrivals = Arrivals::new(start);
    arrivals.on_read(100, start);
    arrivals.on_unread(40, start);
    arrivals.on_request_ended();
    assert_eq!(arrivals.of_request(), 40);
}
