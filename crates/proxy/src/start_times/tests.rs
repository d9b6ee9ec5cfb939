use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
const NOW: Nanos = 1_000 * HOUR;

fn name(name: &str) -> Rc<str> {
    name.into()
}

#[test]
fn start_time_of_new_endpoint_is_no_earlier_than_last_complete_list() {
    let mut start_times = StartTimes::default();
    start_times.mark_list_complete(NOW - 2 * SECOND);
    // The wall clock was an hour ahead when this process read it, so that the listed time is an hour ago.
    let effective = start_times.effective(&name("a"), Some(NOW - HOUR), NOW);
    assert_eq!(effective, Some(NOW - 2 * SECOND));
    // Neither later lists nor the endpoint's absence from one change the result.
    start_times.mark_list_complete(NOW + HOUR);
    assert_eq!(start_times.effective(&name("a"), Some(NOW - HOUR), NOW + 2 * HOUR), effective);
    // A listed time within the bounds is used unchanged.
    assert_eq!(start_times.effective(&name("b"), Some(NOW + HOUR + 1), NOW + 2 * HOUR), Some(NOW + HOUR + 1));
}

#[test]
fn start_time_in_the_future_is_capped_at_now() {
    let mut start_times = StartTimes::default();
    assert_eq!(start_times.effective(&name("a"), Some(NOW + HOUR), NOW), Some(NOW));
    assert_eq!(start_times.effective(&name("a"), Some(NOW + HOUR), NOW + SECOND), Some(NOW));
}

#[test]
fn first_list_is_trusted() {
    let mut start_times = StartTimes::default();
    assert_eq!(start_times.effective(&name("a"), Some(NOW - HOUR), NOW), Some(NOW - HOUR));
    assert_eq!(start_times.effective(&name("b"), None, NOW), None);
    assert_eq!(start_times.corrected().count(), 0);
}

#[test]
fn changed_listed_time_changes_effective_time_even_at_a_bound() {
    let mut start_times = StartTimes::default();
    start_times.mark_list_complete(NOW - SECOND);
    let first = start_times.effective(&name("a"), Some(NOW - HOUR), NOW);
    let second = start_times.effective(&name("a"), Some(NOW - HOUR + SECOND), NOW);
    assert_eq!((first, second), (Some(NOW - SECOND), Some(NOW - SECOND + 1)));
}

#[test]
fn successor_restores_effective_times_and_listed_times_stay_available() {
    let mut predecessor = StartTimes::default();
    predecessor.mark_list_complete(NOW - SECOND);
    let effective = predecessor.effective(&name("a"), Some(NOW - HOUR), NOW);
    predecessor.effective(&name("b"), Some(NOW - SECOND / 2), NOW);
    assert_eq!(predecessor.listed("a", effective), Some(NOW - HOUR));
    assert_eq!(predecessor.listed("b", Some(7)), Some(7), "attached by an operator since");
    let handed_over = predecessor.corrected().collect();
    let mut successor = StartTimes::restored(predecessor.complete_at(), &handed_over);
    assert_eq!(successor.effective(&name("a"), Some(NOW - HOUR), NOW + SECOND), effective);
    assert_eq!(successor.effective(&name("c"), Some(NOW - HOUR), NOW + SECOND), Some(NOW - SECOND));
}

#[test]
fn unlisted_endpoints_beyond_the_limit_are_evicted() {
    let mut start_times = StartTimes::default();
    for n in 0..=MAX_START_TIMES {
        start_times.effective(&name(&n.to_string()), Some(NOW + HOUR), NOW);
    }
    start_times.evict_unlisted(|name| name == "7");
    assert_eq!(start_times.by_name.len(), 1);
    assert_eq!(start_times.effective(&name("7"), Some(NOW + HOUR), NOW + SECOND), Some(NOW));
}
