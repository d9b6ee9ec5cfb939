use super::endpoint_list::to_entry;
use super::*;
use crate::clock::{SystemClocks, TimeSource};
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::hot_restart::State;
use crate::platform::registry;
use olivecart_decisions::{EndpointId, EndpointStatus};

#[test]
fn endpoints_are_numbered_by_name_in_the_order_of_their_first_listing() {
    let settings = r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;
    let mut site = Site::read(settings).expect("settings");
    let text = br#"{"version":43,"servers":[{"id":"s","state":"gone","zone":"y","started_ms":7},
        {"id":"t","state":"gone","zone":"z"},{"id":"s","state":"gone","zone":"y"}]}"#;
    let update = registry::read(text).expect("a delta");
    let entries: Vec<_> = update.endpoints.iter().map(|e| to_entry(&mut site, e)).collect();
    let numbers: Vec<_> = entries.iter().map(|e| (e.id.0, &*e.name, e.zone.0)).collect();
    assert_eq!(numbers, [(0, "s", 1), (1, "t", 0), (0, "s", 1)], "zone z is 0 by the settings");
    assert_eq!((entries[0].started, entries[1].started), (Some(7_000_000), None));
}

const HOUR: Nanos = 3_600_000_000_000;
/// The Unix time of these tests.
const UNIX_TIME: Nanos = 500_000 * HOUR;
const SETTINGS: &str =
    r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;

/// Starts the platform's cluster in a process whose wall clock shows `unix` at its start, from a cached list
/// or from the state of a predecessor.
fn start_platform_cluster(unix: Nanos, cached: Option<&str>, taken_over: Option<State>) -> Rc<Clusters> {
    let inherited_clock = taken_over.as_ref().and_then(|state| state.clock);
    let config = ClustersConfig {
        site: Rc::new(RefCell::new(Site::read(SETTINGS).expect("settings"))),
        clock: Clock::starting(&SteppedClock(unix), inherited_clock),
        seed: 0,
        descriptors: Rc::new(Descriptors::new(1, Rc::default())),
        discovery: None,
        cached_list: cached.map(str::to_owned),
        routing: Routing::default(),
        memory: Rc::default(),
        stats: None,
        taken_over,
    };
    Clusters::start(config, &Logger::root(slog::Discard, slog::o!()))
}

/// A wall clock that was stepped, beside a monotonic clock that was not.
struct SteppedClock(Nanos);

impl TimeSource for SteppedClock {
    fn unix(&self) -> Nanos {
        self.0
    }

    fn monotonic(&self) -> Nanos {
        SystemClocks.monotonic()
    }
}

/// Returns a response of discovery that lists one endpoint.
fn discovery_json(full: bool, name: &str, started: Nanos) -> String {
    let started_ms = started / 1_000_000;
    format!(
        r#"{{"version":9,"full":{full},"servers":[{{"id":"{name}","addr":"127.0.0.1:1","state":"ready",
        "zone":"z","started_ms":{started_ms}}}]}}"#
    )
}

fn apply_update(runtime: &ClusterRuntime, json: &str) {
    Subscriber::on_update(runtime, registry::read(json.as_bytes()).expect("valid"));
    runtime.on_list_complete();
}

fn is_in_slow_start(runtime: &ClusterRuntime, number: u32) -> bool {
    matches!(runtime.balancer.borrow().endpoint_status(EndpointId(number)), EndpointStatus::SlowStart { .. })
}

#[test]
fn endpoint_first_listed_by_a_watch_is_in_slow_start_whatever_the_wall_clock_showed_at_process_start() {
    actix_rt::System::new().block_on(async {
        for (ahead, behind) in [(HOUR, 0), (0, HOUR), (0, 0)] {
            let cached = discovery_json(true, "a", 1_000_000);
            let clusters = start_platform_cluster(UNIX_TIME + ahead - behind, Some(&cached), None);
            let runtime = clusters.platform_cluster().expect("the platform's cluster");
            assert!(!is_in_slow_start(&runtime, 0), "it started long ago");
            runtime.on_list_complete();
            apply_update(&runtime, &discovery_json(false, "b", UNIX_TIME));
            assert!(is_in_slow_start(&runtime, 1), "{ahead} ahead, {behind} behind");
            let EndpointStatus::SlowStart { started } =
                runtime.balancer.borrow().endpoint_status(EndpointId(1))
            else {
                return;
            };
            assert!(started <= runtime.shared.clock.now(), "its slow start would last for an hour or longer");
        }
    });
}

#[test]
fn successor_continues_clock_and_start_times_across_a_step_of_the_wall_clock() {
    actix_rt::System::new().block_on(async {
        let old = start_platform_cluster(UNIX_TIME + HOUR, Some(&discovery_json(true, "a", 1_000_000)), None);
        let runtime = old.platform_cluster().expect("the platform's cluster");
        runtime.on_list_complete();
        apply_update(&runtime, &discovery_json(false, "b", UNIX_TIME));
        runtime.detach("a").expect("listed");
        runtime.attach("a").expect("detached");
        let handed_over = serde_json::to_string(&old.state()).expect("serialized");
        for unix in [UNIX_TIME - HOUR, UNIX_TIME, UNIX_TIME + HOUR] {
            let state: State = serde_json::from_str(&handed_over).expect("deserialized");
            let new = start_platform_cluster(unix, None, Some(state));
            let successor = new.platform_cluster().expect("the platform's cluster");
            for number in [0, 1] {
                let status =
                    |runtime: &ClusterRuntime| runtime.balancer.borrow().endpoint_status(EndpointId(number));
                assert_eq!(status(&successor), status(&runtime));
                assert!(is_in_slow_start(&successor, number));
            }
            let difference = successor.shared.clock.now().abs_diff(runtime.shared.clock.now());
            assert!(difference < HOUR / 2, "it continues the clock of its predecessor");
            apply_update(&successor, &discovery_json(false, "b", UNIX_TIME));
            assert!(is_in_slow_start(&successor, 1), "the listed start time is unchanged: the same process");
        }
    });
}

#[test]
fn state_without_a_clock_is_read_and_written_state_has_the_fields_that_older_builds_need() {
    let older = r#"{"protocol":1,"list":null,"knowledge":null,"out":["a"],"back":{"b":7}}"#;
    let state: State = serde_json::from_str(older).expect("deserialized");
    assert_eq!((state.clock, state.list_complete_at, state.start_times.len()), (None, None, 0));
    let names = ["protocol", "list", "knowledge", "out", "back"];
    let written: serde_json::Value = serde_json::to_value(&state).expect("serialized");
    assert!(
        names.iter().all(|name| written.get(name).is_some()),
        "a field that older builds need: {written}"
    );
}
