use super::*;

#[test]
fn delta_is_read_with_addresses_and_start_times() {
    let text = br#"{"version":43,"servers":[{"id":"s","addr":"127.0.0.9:1","state":"ready","started_ms":7},
        {"id":"t","state":"resting","addr":"127.0.0.9:2"},{"id":"s","state":"gone"}],"more":1}"#;
    let update = read(text).expect("a delta");
    assert_eq!((update.version, update.full), (43, false));
    let states: Vec<_> = update.endpoints.iter().map(|e| (&*e.name, e.state, e.addr.is_some())).collect();
    assert_eq!(
        states,
        [
            ("s", EndpointState::Ready, true),
            ("t", EndpointState::Draining, true),
            ("s", EndpointState::Removed, false)
        ]
    );
    assert_eq!(update.endpoints[0].started, Some(7_000_000));
    assert_eq!(update.endpoints[1].started, None);
}

#[test]
fn snapshot_is_read_with_defaults_for_missing_fields_and_written_back_unchanged() {
    let text = br#"{"version":1,"full":true,"servers":[{"id":"a\u00e9","addr":"[::1]:9","state":"ready",
        "zone":"z","kind":"k","cell":4,"weight":2.5},{"id":"b","state":"ready","addr":"nowhere"}]}"#;
    let update = read(text).expect("a snapshot");
    assert!(update.full);
    let [a, b] = &update.endpoints[..] else { panic!("{} endpoints", update.endpoints.len()) };
    assert_eq!((&*a.name, &*a.zone, &*a.kind, a.cell, a.size), ("aé", "z", "k", 4, 2.5));
    assert_eq!((&*b.zone, &*b.kind, b.cell, b.size), ("", "", 0, 1.0));
    assert_eq!((b.state, b.addr), (EndpointState::Draining, None), "ready, but without a valid address");
    assert!(read(br#"{"version":1,"servers":[{"id":"a"}]}"#).is_err(), "no state");
    let text = write(&update);
    let again = read(text.as_bytes()).expect("valid");
    assert_eq!(write(&again), text);
    assert_eq!((again.full, &*again.endpoints[0].name, again.endpoints[0].addr), (true, "aé", a.addr));
}
