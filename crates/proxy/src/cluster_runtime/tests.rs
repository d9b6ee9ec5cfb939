use super::endpoint_list::numbered;
use super::*;
use crate::clock::{SystemClocks, TimeSource};
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::hot_restart::State;
use crate::platform::registry;
use olivecart_decisions::{EndpointId, EndpointStatus};

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

const HOUR: Nanos = 3_600_000_000_000;
/// Unix time of these tests.
const WALL: Nanos = 500_000 * HOUR;
const SETTINGS: &str =
    r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;

/// The platform's own cluster, in a process that started by this wall clock, or took over.
fn cluster(unix: Nanos, known: Option<&str>, taken_over: Option<State>) -> Rc<Clusters> {
    let handed = taken_over.as_ref().and_then(|state| state.clock);
    let config = ClustersConfig {
        site: Rc::new(RefCell::new(Site::read(SETTINGS).expect("settings"))),
        clock: Clock::starting(&SteppedClock(unix), handed),
        seed: 0,
        descriptors: Rc::new(Descriptors::new(1)),
        discovery: None,
        cached_list: known.map(str::to_owned),
        routing: Routing::default(),
        budget: Rc::default(),
        stats: None,
        taken_over,
    };
    Clusters::start(config, &Logger::root(slog::Discard, slog::o!()))
}

/// A wall clock that was stepped; the other runs on.
struct SteppedClock(Nanos);

impl TimeSource for SteppedClock {
    fn unix(&self) -> Nanos {
        self.0
    }

    fn monotonic(&self) -> Nanos {
        SystemClocks.monotonic()
    }
}

/// An object of discovery's that names one endpoint.
fn object(full: bool, name: &str, started: Nanos) -> String {
    let started_ms = started / 1_000_000;
    format!(
        r#"{{"version":9,"full":{full},"servers":[{{"id":"{name}","addr":"127.0.0.1:1","state":"ready",
        "zone":"z","started_ms":{started_ms}}}]}}"#
    )
}

fn tell(runtime: &ClusterRuntime, object: &str) {
    Subscriber::on_update(runtime, registry::read(object.as_bytes()).expect("an object"));
    runtime.on_list_complete();
}

fn is_in_slow_start(runtime: &ClusterRuntime, number: u32) -> bool {
    matches!(runtime.balancer.borrow().endpoint_status(EndpointId(number)), EndpointStatus::SlowStart { .. })
}

#[test]
fn an_endpoint_that_a_watch_names_first_starts_slowly_wherever_the_wall_clock_stood_at_the_start() {
    actix_rt::System::new().block_on(async {
        for (ahead, behind) in [(HOUR, 0), (0, HOUR), (0, 0)] {
            let known = object(true, "a", 1_000_000);
            let clusters = cluster(WALL + ahead - behind, Some(&known), None);
            let runtime = clusters.platform_cluster().expect("the platform's own");
            assert!(!is_in_slow_start(&runtime, 0), "it has been there for ever");
            runtime.on_list_complete();
            tell(&runtime, &object(false, "b", WALL));
            assert!(is_in_slow_start(&runtime, 1), "{ahead} ahead, {behind} behind");
            let EndpointStatus::SlowStart { started } =
                runtime.balancer.borrow().endpoint_status(EndpointId(1))
            else {
                return;
            };
            assert!(started <= runtime.shared.clock.now(), "it would be cold for an hour and more");
        }
    });
}

#[test]
fn the_next_process_goes_on_with_clock_and_start_times_across_a_step_of_the_wall_clock() {
    actix_rt::System::new().block_on(async {
        let old = cluster(WALL + HOUR, Some(&object(true, "a", 1_000_000)), None);
        let runtime = old.platform_cluster().expect("the platform's own");
        runtime.on_list_complete();
        tell(&runtime, &object(false, "b", WALL));
        runtime.detach("a").expect("listed");
        runtime.attach("a").expect("out");
        let handed = serde_json::to_string(&old.state()).expect("written");
        for wall in [WALL - HOUR, WALL, WALL + HOUR] {
            let state: State = serde_json::from_str(&handed).expect("read");
            let new = cluster(wall, None, Some(state));
            let successor = new.platform_cluster().expect("the platform's own");
            for number in [0, 1] {
                let standing =
                    |runtime: &ClusterRuntime| runtime.balancer.borrow().endpoint_status(EndpointId(number));
                assert_eq!(standing(&successor), standing(&runtime));
                assert!(is_in_slow_start(&successor, number));
            }
            let apart = successor.shared.clock.now().abs_diff(runtime.shared.clock.now());
            assert!(apart < HOUR / 2, "it goes on from the clock of the one before");
            tell(&successor, &object(false, "b", WALL));
            assert!(is_in_slow_start(&successor, 1), "the same process, as the list's own words have it");
        }
    });
}

#[test]
fn builds_before_hand_over_no_clock_and_read_what_this_one_hands_over() {
    let before = r#"{"protocol":1,"list":null,"knowledge":null,"out":["a"],"back":{"b":7}}"#;
    let state: State = serde_json::from_str(before).expect("read");
    assert_eq!((state.clock, state.list_complete_at, state.start_times.len()), (None, None, 0));
    let names = ["protocol", "list", "knowledge", "out", "back"];
    let now: serde_json::Value = serde_json::to_value(&state).expect("written");
    assert!(names.iter().all(|name| now.get(name).is_some()), "a field that the build before needs: {now}");
}
