//! Tests of cluster changes under load.

mod fleet;
mod scenario;

use fleet::{Backend, Client, Load, Proxy};
use olivecart_lab::fault_injector::{EndpointFile, FileFault, FileFaultInjector, ListedEndpoint};
use scenario::SETTINGS;
use std::time::Duration;

const OPERATORS: &str = r#"version = 1
default = "cart"
[[sources]]
name = "fleet"
file = "fleet.toml"
[catalog]
hold = "0s"
"#;

/// A draining or removed endpoint gets no new requests after this time.
const GRACE: Duration = Duration::from_millis(500);

fn listed<'a>(endpoints: impl IntoIterator<Item = (&'a str, &'a Backend, &'static str)>) -> EndpointFile {
    let endpoint = |(name, backend, state): (&str, &Backend, _)| ListedEndpoint {
        name: name.to_owned(),
        address: backend.addr,
        state,
    };
    EndpointFile { cluster: "cart".into(), endpoints: endpoints.into_iter().map(endpoint).collect() }
}

#[test]
fn draining_and_removed_endpoints_get_no_requests_after_500_ms() {
    // A window of six endpoints moves over 24: with each push, one is added and the oldest drains or is removed.
    // A removed endpoint returns much later with the same id.
    let (count, live, pushes) = (24, 6, 300);
    let ids: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
    let backends: Vec<Backend> = ids.iter().map(|id| Backend::new(id)).collect();
    let proxy = Proxy::start(Some(OPERATORS), SETTINGS);
    let window = |first: usize, last_state: &'static str| {
        let ready = (first..first + live).map(|n| (n % count, "ready"));
        let drains = (first + count - 3..first + count)
            .map(|n| (n % count, last_state))
            .filter(|(_, s)| !s.is_empty());
        listed(ready.chain(drains).map(|(n, state)| (ids[n].as_str(), &backends[n], state)))
    };
    proxy.list(&window(0, "").to_toml(1));
    proxy.program.line("cluster changed");
    let load = Load::start(proxy.listen, 12);
    let mut late = Vec::new();
    for push in 1..=pushes {
        let (stops, joins) = (&backends[(push - 1) % count], &backends[(push + live - 1) % count]);
        late.extend(joins.stop(false));
        let before = joins.calls();
        stops.stop(true);
        proxy.list(&window(push, ["draining", "", "unhealthy"][push % 3]).to_toml(1));
        joins.wait_past(before);
    }
    late.extend(backends.iter().filter_map(|backend| backend.stop(false)));
    let tally = load.end();
    let latest = late.iter().max().copied().unwrap_or_default();
    println!(
        "{pushes} pushes, {} with a request after them, the latest after {latest:?}; {tally:?}",
        late.len()
    );
    assert!(latest < GRACE, "a request {latest:?} after the push");
    assert_eq!(tally.keys().collect::<Vec<_>>(), [&200], "{tally:?}");
}

#[test]
fn under_file_faults_only_valid_versions_are_served_and_the_last_one_stays() {
    let trap = Backend::new("trap");
    let names = ["a", "b", "d", "e", "f"];
    let backends = names.map(Backend::new);
    let proxy = Proxy::start(Some(OPERATORS), SETTINGS);
    let mut injector = FileFaultInjector::new(proxy.disk.join("fleet.toml"), 8, trap.addr);
    // Two of five at a time, so that requests to the added endpoint show that a valid version was applied.
    let version = |n: usize| {
        let pair = [n % names.len(), (n + 1) % names.len()];
        listed(pair.map(|at| (names[at], &backends[at], "ready")))
    };
    injector.inject(FileFault::Renamed, &version(0)).expect("done");
    proxy.program.line("cluster changed");
    let load = Load::start(proxy.listen, 8);
    let (mut done, mut valid) = (0, 0);
    while done < 1000 {
        for _ in 0..19 {
            injector.inject_random(&version(valid)).expect("done");
        }
        valid += 1;
        let joins = &backends[(valid + 1) % names.len()];
        let before = joins.calls();
        let fault = if valid % 2 == 0 { FileFault::Renamed } else { FileFault::InPlace };
        injector.inject(fault, &version(valid)).expect("done");
        joins.wait_past(before);
        done += 20;
    }
    let last = Backend::new("last");
    injector.inject(FileFault::InPlace, &listed([("last", &last, "ready")])).expect("done");
    last.wait_past(0);
    proxy.program.lines();
    for _ in 0..9 {
        let invalid: Vec<_> = FileFault::ALL.into_iter().filter(|fault| !fault.is_valid()).collect();
        invalid.iter().for_each(|fault| injector.inject(*fault, &version(0)).expect("done"));
    }
    proxy.program.line("No such file"); // the proxy has seen the last fault
    let mut client = Client::new(proxy.listen);
    (0..200).for_each(|_| assert_eq!(client.call(), Some((200, "last".into()))));
    let tally = load.end();
    assert_eq!(tally.keys().collect::<Vec<_>>(), [&200], "{tally:?}");
    assert_eq!(trap.calls(), 0, "an invalid version was served");
}
