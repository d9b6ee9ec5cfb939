//! Tests of clusters from a control plane over xDS and from Envoy's files. `scenario/mod.rs` documents the scenario
//! language.

mod fleet;
mod scenario;

use fleet::{Backend, Load, Proxy};
use olivecart_lab::control_plane::{HealthStatus, Resources};
use scenario::plane::Plane;
use scenario::{SETTINGS, play_clusters};
use std::net::SocketAddr;
use std::time::Duration;

const OPERATORS: &str = r#"version = 1
default = "cart"
[[sources]]
name = "plane"
xds = "@plane"
node = "n1"
node_cluster = "front"
zone = "z"
backoff = "100ms"
[[rules]]
cluster = "book"
class = "book"
[catalog]
hold = "0s"
"#;

/// A draining or removed endpoint gets no new requests after this time.
const GRACE: Duration = Duration::from_millis(500);

#[test]
fn cluster_serves_once_it_has_endpoints_and_is_removed_with_requests_open() {
    play_clusters(
        OPERATORS,
        "plane cluster cart
         plane expect EDS .. [cart]
         c send GET /1
         c expect 503 retry-after=*
         plane list cart=d book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         c send GET /kept
         d expect GET /kept
         d send 200 | kept
         c expect 200 | kept
         c send GET /open
         d expect GET /open
         plane remove cart
         proxy expect log cluster removed
         c2 send GET /new
         c2 expect 503 retry-after=* | refused: cluster cart was removed\\n
         plane list cart=a
         proxy expect log cluster changed
         c2 send GET /new
         a expect GET /new
         a send 200 | another
         c2 expect 200 | another
         d send 200 | whole
         c expect 200 | whole
         c3 send POST /book X-Class=book | x
         e expect POST /book | x
         e send 200 | undisturbed
         c3 expect 200 | undisturbed
         proxy expect log removed cluster drained",
    );
}

#[test]
fn dropped_stream_is_resumed_and_restarted_versions_are_accepted() {
    for variant in ["incremental", "state-of-the-world"] {
        let operators = OPERATORS.replace("node =", &format!("variant = \"{variant}\"\nnode ="));
        let resumes = match variant {
            "incremental" => "2 < EDS .. initial={cart=2}",
            _ => "2 < EDS version=\"2\"",
        };
        play_clusters(
            &operators,
            &format!(
                "plane list cart=d
                 proxy expect log cluster changed
                 plane expect 1 < EDS .. nonce=\"2\"
                 plane drop
                 plane expect {resumes}
                 c send GET /1
                 d expect GET /1
                 d send 200 | as before
                 c expect 200 | as before
                 plane list cart=d/draining,e
                 proxy expect log cluster changed
                 c send GET /2
                 e expect GET /2
                 e send 200 | new
                 c expect 200 | new
                 plane restart cart=a
                 proxy expect log cluster changed
                 c send GET /3
                 a expect GET /3
                 a send 200 | of the new life
                 c expect 200 | of the new life"
            ),
        );
    }
}

#[test]
fn empty_endpoint_list_is_quarantined_and_logged() {
    play_clusters(
        OPERATORS,
        "plane list cart=d,e
         proxy expect log cluster changed
         plane list cart=
         proxy expect log update quarantined
         proxy send USR1
         proxy expect log cart: from plane, 2 ready
         c send GET /1
         e expect GET /1
         e send 200 | 1
         c expect 200 | 1
         plane restart
         proxy expect log stream failed
         proxy expect log stream opened
         c send GET /2
         e expect GET /2
         e send 200 | 2
         c expect 200 | 2",
    );
}

#[test]
fn only_the_configured_clusters_are_subscribed() {
    let operators = OPERATORS.replace("node =", "clusters = [\"book\"]\nnode =");
    play_clusters(
        &operators,
        "plane list cart=d book=e
         plane expect 1 < CDS .. subscribe=[book]
         plane expect 1 < EDS .. subscribe=[book]
         proxy expect log cluster changed
         c send POST /1 X-Class=book | x
         e expect POST /1 | x
         e send 200 | 1
         c expect 200 | 1
         c send GET /1
         c expect 503 retry-after=* | refused: cluster cart is not there yet\\n",
    );
}

#[test]
fn envoy_files_are_watched_like_other_files() {
    let operators = "version = 1\ndefault = \"cart\"\n[[sources]]\nname = \"fleet\"\nenvoy = \"fleet.yaml\"\n\
        [catalog]\nhold = \"0s\"\n";
    let file = |id: &str, policy: &str| {
        format!(
            "static_resources:\\n  clusters:\\n  - name: cart\\n{policy}    load_assignment:\\n      \
            cluster_name: cart\\n      endpoints:\\n      - lb_endpoints:\\n        - endpoint: {{ address: \
            {{ socket_address: {{ address: 127.0.0.1, port_value: {id} }} }} }}\\n"
        )
    };
    // The scenario language inserts whole addresses only, so the ports come from backends created here.
    let (first, second) = (Backend::new("first"), Backend::new("second"));
    let (first, second) = (first.addr.port().to_string(), second.addr.port().to_string());
    let policy = "    lb_policy: RING_HASH\\n";
    play_clusters(
        operators,
        &format!(
            "disk raw fleet.yaml {}...\\n
             proxy expect log lb_policy
             proxy expect log cluster changed
             c send GET /1
             c expect 200 | first
             disk raw fleet.yaml {}
             proxy expect log rejected; the last valid content stays in use
             c send GET /2
             c expect 200 | first
             disk raw fleet.yaml {}...\\n
             proxy expect log valid again
             proxy expect log cluster changed
             c send GET /3
             c expect 200 | second",
            file(&first, policy),
            file(&second, ""),
            file(&second, ""),
        ),
    );
}

/// Moves a window of six endpoints over 24 under load: with each push, one is added and the oldest drains or is
/// removed. A removed endpoint returns much later with the same id. Returns, for each endpoint with a request after
/// its push, how long after.
fn measure_late_requests(variant: &str, pushes: usize) -> Vec<Duration> {
    let (count, live) = (24, 6);
    let ids: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
    let backends: Vec<Backend> = ids.iter().map(|id| Backend::new(id)).collect();
    let window = |first: usize, last: Option<HealthStatus>| -> Vec<(&str, SocketAddr, HealthStatus)> {
        let at = |n: usize, health| (ids[n % count].as_str(), backends[n % count].addr, health);
        let ready = (first..first + live).map(|n| at(n, HealthStatus::Healthy));
        let drains = (first + count - 3..first + count).filter_map(|n| Some(at(n, last?)));
        ready.chain(drains).collect()
    };
    let mut resources = Resources::default();
    resources.set_cluster("cart");
    resources.set_health("cart", &window(0, None));
    let plane = Plane::start(resources);
    let operators = OPERATORS
        .replace("@plane", &plane.address().to_string())
        .replace("node =", &format!("variant = \"{variant}\"\nnode ="));
    let proxy = Proxy::start(Some(&operators), SETTINGS);
    proxy.program.line("cluster changed");
    let load = Load::start(proxy.listen, 12);
    let mut late = Vec::new();
    for push in 1..=pushes {
        let (stops, joins) = (&backends[(push - 1) % count], &backends[(push + live - 1) % count]);
        late.extend(joins.stop(false));
        let before = joins.calls();
        stops.stop(true);
        let last = [Some(HealthStatus::Draining), None, Some(HealthStatus::Unhealthy)][push % 3];
        plane.change(|resources| resources.set_health("cart", &window(push, last)));
        joins.wait_past(before);
    }
    late.extend(backends.iter().filter_map(|backend| backend.stop(false)));
    let tally = load.end();
    println!("{variant}: {pushes} pushes, {} with a request after them; {tally:?}", late.len());
    assert_eq!(tally.keys().collect::<Vec<_>>(), [&200], "{tally:?}");
    late
}

#[test]
fn over_1000_pushes_draining_and_removed_endpoints_get_no_requests_after_500_ms() {
    for variant in ["incremental", "state-of-the-world"] {
        let latest = measure_late_requests(variant, 500).into_iter().max().unwrap_or_default();
        println!("the latest request {latest:?} after its push");
        assert!(latest < GRACE, "{variant}: a request {latest:?} after the push");
    }
}
