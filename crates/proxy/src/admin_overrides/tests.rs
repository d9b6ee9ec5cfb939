use super::*;

fn entry(name: &str, state: EndpointState, started: Option<Nanos>) -> EndpointEntry {
    EndpointEntry { state, started, ..EndpointEntry::ready(EndpointId(0), name) }
}

#[test]
fn whatever_lists_say_one_that_is_out_drains_until_it_is_put_back_and_is_cold_then() {
    let mut overrides = AdminOverrides::default();
    overrides.apply(entry("a", EndpointState::Ready, Some(5)), None);
    assert!(matches!(overrides.detach("b"), Err(UnknownEndpoint)));
    let (out, _) = overrides.detach("a").expect("known").expect("a change");
    assert_eq!(out.state, EndpointState::Draining);
    assert!(matches!(overrides.detach("a"), Ok(None)), "once more changes nothing");
    overrides.begin_snapshot();
    let says = |overrides: &mut AdminOverrides, state, started| {
        let entry = overrides.apply(entry("a", state, started), None);
        (entry.state, entry.started)
    };
    assert_eq!(says(&mut overrides, EndpointState::Ready, Some(7)).0, EndpointState::Draining, "restarted");
    assert_eq!(says(&mut overrides, EndpointState::Removed, None).0, EndpointState::Removed);
    assert!(matches!(overrides.attach("a", 100), Ok(None)), "not listed, and yet it may be put back");
    assert!(matches!(overrides.attach("a", 200), Err(UnknownEndpoint)), "it is back, and nobody lists it");
    assert_eq!(says(&mut overrides, EndpointState::Ready, Some(9)), (EndpointState::Ready, Some(100)));
    assert!(matches!(overrides.attach("a", 200), Ok(None)), "one call back is enough, and no second start");
    assert_eq!(
        says(&mut overrides, EndpointState::Ready, Some(300)),
        (EndpointState::Ready, Some(300)),
        "a later start"
    );
    assert_eq!(says(&mut overrides, EndpointState::Draining, None), (EndpointState::Draining, Some(100)));
}

#[test]
fn the_pool_is_what_is_listed_and_avoided_is_who_is_out_for_any_reason() {
    let mut overrides = AdminOverrides::default();
    for (id, name, state) in [
        (0, "a", EndpointState::Ready),
        (1, "b", EndpointState::Ready),
        (2, "c", EndpointState::Draining),
        (3, "d", EndpointState::Removed),
    ] {
        overrides.apply(EndpointEntry { state, ..EndpointEntry::ready(EndpointId(id), name) }, None);
    }
    assert_eq!(overrides.pool(|_| false), Pool { size: 3, ejected: 1 });
    overrides.detach("a").expect("known");
    assert_eq!(overrides.pool(|id| id == EndpointId(1)), Pool { size: 3, ejected: 3 });
    assert!(!overrides.detaches_all_ready(), "b is marked down, and may come back by itself");
    overrides.detach("b").expect("known");
    assert!(overrides.detaches_all_ready() && !AdminOverrides::default().detaches_all_ready());
}
