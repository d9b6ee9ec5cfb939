use super::*;

#[test]
fn endpoints_are_numbered_by_name_in_the_order_they_are_heard_of() {
    let settings = r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;
    let mut site = Site::read(settings).expect("settings");
    let text = br#"{"version":43,"servers":[{"id":"s","state":"gone","zone":"y","started_ms":7},
        {"id":"t","state":"gone","zone":"z"},{"id":"s","state":"gone","zone":"y"}]}"#;
    let news = registry::read(text).expect("a change");
    let entries: Vec<_> = news.endpoints.iter().map(|e| numbered(&mut site, e)).collect();
    let numbers: Vec<_> = entries.iter().map(|e| (e.id.0, &*e.name, e.zone.0)).collect();
    assert_eq!(numbers, [(0, "s", 1), (1, "t", 0), (0, "s", 1)], "zone z is 0 by the settings");
    assert_eq!((entries[0].started, entries[1].started), (Some(7_000_000), None));
}
