use super::*;

fn rejecting() -> WriteCheckFn {
    Box::new(|| Err(io::Error::other("rejected")))
}

#[test]
fn only_bytes_of_current_request_count_as_written_on_pooled_connection() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(None);
    assert!(!monitor.is_written());
    assert!(monitor.on_write().is_ok() && monitor.is_written());
    // The next request on the connection: if it is cancelled before its first byte, it was never executed.
    monitor.begin_request(None);
    assert!(!monitor.is_written() && !monitor.is_write_rejected());
}

#[test]
fn write_check_runs_before_first_byte_only_and_rejected_bytes_do_not_count_as_written() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.begin_request(Some(rejecting()));
    assert!(monitor.on_write().is_err());
    assert!(monitor.is_write_rejected() && !monitor.is_written());
    let checks = std::rc::Rc::new(Cell::new(0));
    let counted = checks.clone();
    monitor.begin_request(Some(Box::new(move || {
        counted.set(counted.get() + 1);
        if counted.get() > 1 { Err(io::Error::other("checked again")) } else { Ok(()) }
    })));
    assert!(monitor.on_write().is_ok() && monitor.on_write().is_ok(), "the second write is not checked");
    assert_eq!(checks.get(), 1);
    assert!(monitor.is_written() && !monitor.is_write_rejected());
}

#[test]
fn connection_established_in_place_of_pooled_one_runs_same_write_check() {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(Some(rejecting()));
    monitor.on_connected(); // the pooled connection was closed
    assert!(monitor.reconnected.get() && monitor.on_write().is_err());
}
