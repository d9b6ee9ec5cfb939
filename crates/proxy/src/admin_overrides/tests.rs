use super::*;

fn entry(name: &str, state: EndpointState, started: Option<Nanos>) -> EndpointEntry {
    EndpointEntry { state, started, ..EndpointEntry::ready(EndpointId(0), name) }
}

#[test]
fn detached_endpoint_drains_until_attached_and_then_is_in_slow_start() {
    let mut overrides = AdminOverrides::default();
    overrides.apply(entry("a", EndpointState::Ready, Some(5)), None);
    assert!(matches!(overrides.detach("b"), Err(UnknownEndpoint)));
    let (detached, _) = overrides.detach("a").expect("known").expect("a change");
    assert_eq!(detached.state, EndpointState::Draining);
    assert!(matches!(overrides.detach("a"), Ok(None)), "a second detach changes nothing");
    overrides.begin_snapshot();
    let apply = |overrides: &mut AdminOverrides, state, started| {
        let entry = overrides.apply(entry("a", state, started), None);
        (entry.state, entry.started)
    };
    assert_eq!(apply(&mut overrides, EndpointState::Ready, Some(7)).0, EndpointState::Draining, "restarted");
    assert_eq!(apply(&mut overrides, EndpointState::Removed, None).0, EndpointState::Removed);
    assert!(matches!(overrides.attach("a", 100), Ok(None)), "an unlisted endpoint can be attached");
    assert!(matches!(overrides.attach("a", 200), Err(UnknownEndpoint)), "neither detached nor listed");
    assert_eq!(apply(&mut overrides, EndpointState::Ready, Some(9)), (EndpointState::Ready, Some(100)));
    assert!(matches!(overrides.attach("a", 200), Ok(None)), "a second attach does not restart slow start");
    assert_eq!(
        apply(&mut overrides, EndpointState::Ready, Some(300)),
        (EndpointState::Ready, Some(300)),
        "a later listed start time"
    );
    assert_eq!(apply(&mut overrides, EndpointState::Draining, None), (EndpointState::Draining, Some(100)));
}

#[test]
fn pool_counts_listed_endpoints_and_those_excluded_for_any_reason() {
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
    assert!(!overrides.detaches_all_ready(), "b is ejected, and may recover");
    overrides.detach("b").expect("known");
    assert!(overrides.detaches_all_ready() && !AdminOverrides::default().detaches_all_ready());
}
