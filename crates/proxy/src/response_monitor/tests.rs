use super::*;

fn closed() -> Gate {
    Box::new(|| Err(io::Error::other("closed")))
}

#[test]
fn only_bytes_of_current_request_count_as_written_on_pooled_connection() {
    let seen = ResponseMonitor::new(usize::MAX);
    seen.on_connected();
    seen.begin(None);
    assert!(!seen.written());
    assert!(seen.on_write().is_ok() && seen.written());
    // The next request on it, which has not begun: were it called off now, it would never have run.
    seen.begin(None);
    assert!(!seen.written() && !seen.withheld());
}

#[test]
fn write_gate_is_checked_before_first_byte_only_and_rejected_bytes_do_not_count_as_written() {
    let seen = ResponseMonitor::new(usize::MAX);
    seen.begin(Some(closed()));
    assert!(seen.on_write().is_err());
    assert!(seen.withheld() && !seen.written());
    let asked = std::rc::Rc::new(Cell::new(0));
    let counts = asked.clone();
    seen.begin(Some(Box::new(move || {
        counts.set(counts.get() + 1);
        if counts.get() > 1 { Err(io::Error::other("closed by now")) } else { Ok(()) }
    })));
    assert!(seen.on_write().is_ok() && seen.on_write().is_ok(), "the rest of what has begun goes on");
    assert_eq!(asked.get(), 1);
    assert!(seen.written() && !seen.withheld());
}

#[test]
fn connection_established_in_place_of_pooled_one_checks_same_write_gate() {
    let seen = ResponseMonitor::new(usize::MAX);
    seen.on_connected();
    seen.begin(Some(closed()));
    seen.on_connected(); // the kept one had ended
    assert!(seen.reconnected.get() && seen.on_write().is_err());
}
