use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
const NOW: Nanos = 1_000 * HOUR;

fn name(name: &str) -> Rc<str> {
    name.into()
}

#[test]
fn an_endpoint_that_is_named_first_after_a_complete_list_has_not_been_there_for_longer() {
    let mut starts = StartTimes::default();
    starts.list_is_complete(NOW - 2 * SECOND);
    // By a wall clock that was an hour ahead here, it started an hour ago.
    let effective = starts.effective(&name("a"), Some(NOW - HOUR), NOW);
    assert_eq!(effective, Some(NOW - 2 * SECOND));
    // Later lists change nothing, nor does its absence from one.
    starts.list_is_complete(NOW + HOUR);
    assert_eq!(starts.effective(&name("a"), Some(NOW - HOUR), NOW + 2 * HOUR), effective);
    // Where the clocks agree, the list's word holds.
    assert_eq!(starts.effective(&name("b"), Some(NOW + HOUR + 1), NOW + 2 * HOUR), Some(NOW + HOUR + 1));
}

#[test]
fn an_endpoint_that_started_in_the_future_started_now_at_most() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.effective(&name("a"), Some(NOW + HOUR), NOW), Some(NOW));
    assert_eq!(starts.effective(&name("a"), Some(NOW + HOUR), NOW + SECOND), Some(NOW));
}

#[test]
fn what_a_first_list_names_is_as_old_as_it_says_since_nothing_else_is_known() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.effective(&name("a"), Some(NOW - HOUR), NOW), Some(NOW - HOUR));
    assert_eq!(starts.effective(&name("b"), None, NOW), None);
    assert_eq!(starts.amended().count(), 0);
}

#[test]
fn another_listed_start_is_another_process_whatever_the_bounds_make_of_it() {
    let mut starts = StartTimes::default();
    starts.list_is_complete(NOW - SECOND);
    let first = starts.effective(&name("a"), Some(NOW - HOUR), NOW);
    let second = starts.effective(&name("a"), Some(NOW - HOUR + SECOND), NOW);
    assert_eq!((first, second), (Some(NOW - SECOND), Some(NOW - SECOND + 1)));
}

#[test]
fn the_next_process_has_the_same_start_times_and_the_list_its_own_words() {
    let mut old = StartTimes::default();
    old.list_is_complete(NOW - SECOND);
    let effective = old.effective(&name("a"), Some(NOW - HOUR), NOW);
    old.effective(&name("b"), Some(NOW - SECOND / 2), NOW);
    assert_eq!(old.listed("a", effective), Some(NOW - HOUR));
    assert_eq!(old.listed("b", Some(7)), Some(7), "put back by hand since");
    let handed = old.amended().collect();
    let mut new = StartTimes::restored(old.complete_at(), &handed);
    assert_eq!(new.effective(&name("a"), Some(NOW - HOUR), NOW + SECOND), effective);
    assert_eq!(new.effective(&name("c"), Some(NOW - HOUR), NOW + SECOND), Some(NOW - SECOND));
}

#[test]
fn only_so_many_are_remembered_that_are_not_listed() {
    let mut starts = StartTimes::default();
    for n in 0..=MOST {
        starts.effective(&name(&n.to_string()), Some(NOW + HOUR), NOW);
    }
    starts.bound(|name| name == "7");
    assert_eq!(starts.by_name.len(), 1);
    assert_eq!(starts.effective(&name("7"), Some(NOW + HOUR), NOW + SECOND), Some(NOW));
}
