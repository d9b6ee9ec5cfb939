mod random_responses;

use super::*;

/// A socket in which no byte, or one byte, has arrived.
struct Received(bool);

impl Peek for Received {
    fn peek_byte(&self) -> io::Result<usize> {
        if self.0 { Ok(1) } else { Err(io::ErrorKind::WouldBlock.into()) }
    }
}

const NOTHING: Received = Received(false);

fn rejecting() -> WriteCheckFn {
    Box::new(|| Err(io::Error::other("rejected")))
}

#[test]
fn only_bytes_of_current_request_count_as_written_on_pooled_connection() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(None);
    assert!(!monitor.is_written());
    assert!(monitor.on_write(&NOTHING).is_ok() && monitor.is_written());
    // The next request on the connection: if it is cancelled before its first byte, it was never executed.
    monitor.begin_request(None);
    assert!(!monitor.is_written() && !monitor.is_write_rejected());
}

#[test]
fn write_check_runs_before_first_byte_only_and_rejected_bytes_do_not_count_as_written() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.begin_request(Some(rejecting()));
    assert!(monitor.on_write(&NOTHING).is_err());
    assert!(monitor.is_write_rejected() && !monitor.is_written());
    let checks = std::rc::Rc::new(Cell::new(0));
    let counted = checks.clone();
    monitor.begin_request(Some(Box::new(move || {
        counted.set(counted.get() + 1);
        if counted.get() > 1 { Err(io::Error::other("checked again")) } else { Ok(()) }
    })));
    assert!(
        monitor.on_write(&NOTHING).is_ok() && monitor.on_write(&NOTHING).is_ok(),
        "the second write is not checked"
    );
    assert_eq!(checks.get(), 1);
    assert!(monitor.is_written() && !monitor.is_write_rejected());
}

#[test]
fn connection_established_in_place_of_pooled_one_runs_same_write_check() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(Some(rejecting()));
    monitor.on_connected(); // the pooled connection was closed
    assert!(monitor.reconnected.get() && monitor.on_write(&NOTHING).is_err());
}

/// Returns whether the bytes are a valid response to a request, on a socket in which they were noticed, or not,
/// before the second write of the request.
fn is_valid_response(noticed_before_last_write: bool, bytes: &str) -> bool {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(None);
    monitor.on_write(&Received(true)).expect("no check"); // a first write is not checked here
    monitor.on_write(&Received(noticed_before_last_write)).expect("no check");
    let mut reading = monitor.reading.borrow_mut();
    reading.raw.extend_from_slice(bytes.as_bytes());
    monitor.split_messages(&mut reading).is_ok()
}

#[test]
fn success_that_precedes_the_last_byte_of_the_request_is_malformed() {
    let success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let rejection = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    // The codec needs a runtime.
    actix_rt::System::new().block_on(async {
        assert!(is_valid_response(false, success));
        assert!(!is_valid_response(true, success));
        assert!(
            is_valid_response(true, rejection),
            "an endpoint may reject a request before it has all of it"
        );
        assert!(
            is_valid_response(true, &format!("{interim}{success}")),
            "only the first may have been early"
        );
    });
}

const FIRST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const OTHER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

/// Returns a monitor of a connection on which `FIRST` was received and another request was written, and which drops
/// copies, or not.
fn monitor_after_first(drops_copies: bool) -> ResponseMonitor {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.on_write(&NOTHING).expect("no check");
    assert_eq!(receive(&monitor, FIRST), FIRST);
    monitor.begin_request(None);
    monitor.set_drops_copies(drops_copies);
    monitor.on_write(&NOTHING).expect("no check");
    monitor
}

/// Returns what awc may read after these bytes were received.
fn receive(monitor: &ResponseMonitor, bytes: &str) -> String {
    let mut reading = monitor.reading.borrow_mut();
    reading.raw.extend_from_slice(bytes.as_bytes());
    monitor.split_messages(&mut reading).expect("a valid response");
    if monitor.may_be_copy(&reading) {
        return String::new();
    }
    let decoded = reading.decoded.split();
    String::from_utf8_lossy(&decoded).into_owned()
}

#[test]
fn copy_of_the_previous_response_is_dropped_and_the_next_response_awaited() {
    // The codec needs a runtime.
    actix_rt::System::new().block_on(async {
        for pieces in [1, 7, FIRST.len()] {
            let monitor = monitor_after_first(true);
            let copy: Vec<char> = FIRST.chars().collect();
            for piece in copy.chunks(pieces) {
                assert_eq!(receive(&monitor, &piece.iter().collect::<String>()), "");
            }
            assert!(monitor.has_dropped_copy() && !monitor.is_response_complete());
            assert_eq!(receive(&monitor, OTHER), OTHER);
            assert!(monitor.is_response_complete());
            assert!(!monitor.is_reusable(), "the responses may be out of step");
        }
        let monitor = monitor_after_first(true);
        assert_eq!(receive(&monitor, &format!("{FIRST}{OTHER}")), OTHER, "both are received at once");
    });
}

#[test]
fn response_that_differs_or_is_received_on_a_quiet_connection_is_no_copy() {
    actix_rt::System::new().block_on(async {
        let monitor = monitor_after_first(true);
        assert_eq!(receive(&monitor, &OTHER[..30]), "", "it may still be a copy");
        assert_eq!(receive(&monitor, &OTHER[30..]), OTHER);
        assert!(monitor.is_reusable());
        let monitor = monitor_after_first(true);
        let longer = format!("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}", "x".repeat(30));
        assert_eq!(receive(&monitor, &longer), longer, "longer than the previous response");
        let monitor = monitor_after_first(false);
        assert_eq!(receive(&monitor, FIRST), FIRST);
        assert!(monitor.is_reusable());
    });
}

#[test]
fn failure_that_equals_the_previous_response_is_no_copy() {
    let failure = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";
    actix_rt::System::new().block_on(async {
        let monitor = monitor_after_first(true);
        assert_eq!(receive(&monitor, failure), failure);
        monitor.on_write(&NOTHING).expect("no check");
        assert_eq!(receive(&monitor, failure), failure);
        assert!(monitor.is_reusable());
    });
}

#[test]
fn excess_bytes_are_reported_once_also_after_a_reconnect() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.reading.borrow_mut().raw.extend_from_slice(b"HTTP/1.1 200 OK\r\n\r\n");
    monitor.split_messages(&mut monitor.reading.borrow_mut()).expect("no response is awaited");
    monitor.on_connected();
    assert!(monitor.is_reusable(), "the new connection has none");
    assert!(monitor.take_excess_noticed());
    assert!(!monitor.take_excess_noticed());
}
