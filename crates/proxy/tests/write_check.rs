//! Tests of the write check: if the state that an attempt depends on changes while its connection is being
//! established, nothing is written. The order of events is forced in both directions: the backend `latecomer`
//! accepts connections only after the test has seen the other event in the proxy's log.

mod scenario;
use scenario::{SETTINGS, play_with};

/// Runs a scenario without health checks. `latecomer` is the preferred endpoint.
fn run_late_scenario(listed: &[&str], settings: &str, text: &str) {
    play_with(listed, &settings.replace("\"probes\":true", "\"probes\":false"), text);
}

fn settings_with_long_connect_timeout() -> String {
    SETTINGS.replace("\"connect-timeout-ns\":2000000000", "\"connect-timeout-ns\":60000000000")
}

const WATCH: &str = "discovery expect GET /registry/instances?watch=1&after=41
    discovery send raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n";

#[test]
fn request_is_sent_on_a_late_connection_if_nothing_has_changed() {
    run_late_scenario(
        &["latecomer"],
        &settings_with_long_connect_timeout(),
        "c send POST /1 X-Class=book | x
         proxy expect log connect
         latecomer accept
         latecomer expect POST /1 | x
         latecomer send 200 | yes
         c expect 200 | yes",
    );
}

/// The 500 ms deadline of the second request ensures that as much of the first request's time passes before the
/// connection is established.
#[test]
fn deadline_header_contains_the_time_left_when_the_connection_is_established() {
    run_late_scenario(
        &["latecomer"],
        &settings_with_long_connect_timeout(),
        "c send POST /1 X-Class=book X-Deadline=10000m | x
         proxy expect log connect
         c2 send GET /2 X-Deadline=500m
         c2 expect 503
         latecomer accept
         latecomer expect POST /1 left=c | x
         latecomer send 200 | yes
         c expect 200 | yes",
    );
}

#[test]
fn request_is_not_written_to_an_endpoint_that_drains_while_connecting() {
    run_late_scenario(
        &["latecomer", "a"],
        &settings_with_long_connect_timeout(),
        &format!(
            "{WATCH}
             c send POST /1 X-Class=book | x
             proxy expect log connect
             discovery send chunk {{\"version\":42,\"servers\":[{{\"id\":\"latecomer-0\",\"addr\":\"@latecomer\",\"state\":\"draining\"}}]}}\\n
             proxy expect log version: 42
             latecomer accept
             latecomer expect nothing
             a expect POST /1 | x
             a send 200 | from a
             c expect 200 | from a"
        ),
    );
}

#[test]
fn request_is_not_written_to_an_endpoint_that_restarts_while_connecting() {
    run_late_scenario(
        &["latecomer", "a"],
        &settings_with_long_connect_timeout(),
        &format!(
            "{WATCH}
             c send POST /1 X-Class=book | x
             proxy expect log connect
             discovery send chunk {{\"version\":42,\"servers\":[{{\"id\":\"latecomer-0\",\"addr\":\"@latecomer\",\"state\":\"ready\",\"zone\":\"z\",\"started_ms\":77}}]}}\\n
             proxy expect log version: 42
             latecomer accept
             latecomer expect nothing
             a expect POST /1 | x
             a send 200 | from a
             c expect 200 | from a"
        ),
    );
}

#[test]
fn request_is_not_written_after_its_client_disconnects() {
    run_late_scenario(
        &["latecomer"],
        &settings_with_long_connect_timeout(),
        "c send POST /1 X-Class=book | x
         proxy expect log connect
         c close
         proxy expect log aborted
         c2 send POST /2 X-Class=book | y
         proxy expect log connect
         latecomer accept
         latecomer expect POST /2 | y
         latecomer send 200 | yes
         c2 expect 200 | yes",
    );
}

#[test]
fn retry_is_not_written_after_the_deduplication_window() {
    // The deduplication window of 800 ms ends while the connection for the retry is delayed, on any machine.
    let settings = settings_with_long_connect_timeout()
        .replace("\"group\":\"cell\",\"window-ns\":10000000000", "\"group\":\"all\",\"window-ns\":800000000");
    run_late_scenario(
        &["e", "latecomer"],
        &settings,
        "c send POST /1 X-Class=book | x
         e expect POST /1
         e send 500
         proxy expect log connect
         proxy expect log connect
         latecomer accept
         latecomer expect nothing
         c expect 503 retry-after=*",
    );
}

#[test]
fn requests_of_many_clients_that_disconnect_while_waiting_are_not_written() {
    let each = |step: fn(u32) -> String| (1..=80).map(step).collect::<String>();
    let (send, leave) = (
        each(|n| format!("c{n} send GET /{n}\n")),
        each(|n| format!("c{n} close\nproxy expect log aborted\n")),
    );
    run_late_scenario(
        &["latecomer"],
        &settings_with_long_connect_timeout(),
        &format!(
            "{send}
             {leave}
             c100 send POST /100 X-Class=book | y
             latecomer accept
             latecomer expect POST /100 | y
             latecomer send 200 | yes
             c100 expect 200 | yes
             c101 repeat GET /101 until latecomer same"
        ),
    );
}

#[test]
fn request_queued_without_endpoints_is_not_sent_after_its_client_disconnects() {
    let list = |version: u32, state: &str| {
        format!(
            "discovery send chunk {{\"version\":{version},\"servers\":[{{\"id\":\"a-0\",\"addr\":\"@a\",\"state\":\"{state}\"}}]}}\\n
             proxy expect log version: {version}\n"
        )
    };
    let (drains, ready) = (list(42, "draining"), list(43, "ready"));
    run_late_scenario(
        &["a", "latecomer"], // `latecomer` enables debug logs, which the steps below wait for
        &settings_with_long_connect_timeout(),
        &format!(
            "{WATCH}
             discovery send chunk {{\"version\":41,\"servers\":[{{\"id\":\"latecomer-0\",\"addr\":\"@latecomer\",\"state\":\"draining\"}}]}}\\n
             {drains}
             proxy expect unready
             c send GET /left
             c2 send GET /stays
             proxy expect log request: 1
             c close
             proxy expect log aborted
             {ready}
             a expect GET /stays
             a send 200 | yes
             c2 expect 200 | yes
             c3 repeat GET /next until a same"
        ),
    );
}
