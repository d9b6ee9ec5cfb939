use super::*;

fn closed() -> Gate {
    Box::new(|| Err(io::Error::other("closed")))
}

#[test]
fn of_a_kept_connection_only_what_is_written_for_this_request_counts() {
    let seen = Seen::new(usize::MAX);
    seen.comes_up();
    seen.begin(None);
    assert!(!seen.written());
    assert!(seen.writes().is_ok() && seen.written());
    // The next request on it, which has not begun: were it called off now, it would never have run.
    seen.begin(None);
    assert!(!seen.written() && !seen.withheld());
}

#[test]
fn the_gate_is_asked_before_the_first_byte_only_and_nothing_counts_as_written_that_it_held_back() {
    let seen = Seen::new(usize::MAX);
    seen.begin(Some(closed()));
    assert!(seen.writes().is_err());
    assert!(seen.withheld() && !seen.written());
    let asked = std::rc::Rc::new(Cell::new(0));
    let counts = asked.clone();
    seen.begin(Some(Box::new(move || {
        counts.set(counts.get() + 1);
        if counts.get() > 1 { Err(io::Error::other("closed by now")) } else { Ok(()) }
    })));
    assert!(seen.writes().is_ok() && seen.writes().is_ok(), "the rest of what has begun goes on");
    assert_eq!(asked.get(), 1);
    assert!(seen.written() && !seen.withheld());
}

#[test]
fn a_connection_that_comes_up_in_the_place_of_a_kept_one_asks_the_same_gate() {
    let seen = Seen::new(usize::MAX);
    seen.comes_up();
    seen.begin(Some(closed()));
    seen.comes_up(); // the kept one had ended
    assert!(seen.replaced.get() && seen.writes().is_err());
}
