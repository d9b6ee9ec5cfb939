//! What may have changed when a connection to a backend comes up at last: the first byte of an attempt is written, or
//! it never is. Both sides of each instant are forced: the backend `latecomer` lets a connection come up only when the test
//! has seen the other event in the program's log.

mod scenario;
use scenario::{SETTINGS, play_with};

/// `latecomer` comes first in the preferred order, and nothing connects to it for checks.
fn play_late(known: &[&str], settings: &str, text: &str) {
    play_with(known, &settings.replace("\"probes\":true", "\"probes\":false"), text);
}

fn patient() -> String {
    SETTINGS.replace("\"connect-timeout-ns\":2000000000", "\"connect-timeout-ns\":60000000000")
}

const WATCH: &str = "discovery expect GET /registry/instances?watch=1&after=41
    discovery send raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n";

#[test]
fn a_connection_that_comes_up_late_carries_its_request_if_nothing_has_changed() {
    play_late(
        &["latecomer"],
        &patient(),
        "c send POST /1 X-Class=book | x
         proxy expect log connect
         latecomer accept
         latecomer expect POST /1 | x
         latecomer send 200 | yes
         c expect 200 | yes",
    );
}

/// Half a second of the first request's time passes for certain before its connection comes up: that of the second one.
#[test]
fn a_head_tells_what_is_left_when_its_connection_has_come_up_and_not_what_was_when_it_was_decided() {
    play_late(
        &["latecomer"],
        &patient(),
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
fn nothing_is_written_to_an_endpoint_that_drains_by_the_time_its_connection_comes_up() {
    play_late(
        &["latecomer", "a"],
        &patient(),
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
fn nothing_is_written_to_another_process_than_the_one_that_was_chosen() {
    play_late(
        &["latecomer", "a"],
        &patient(),
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
fn nothing_is_written_for_a_client_that_has_left() {
    play_late(
        &["latecomer"],
        &patient(),
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
fn a_repeat_is_not_written_once_its_window_is_over() {
    // The window of 800 ms ends while the connection for the repeat is held back, whatever the machine does.
    let settings = patient()
        .replace("\"group\":\"cell\",\"window-ns\":10000000000", "\"group\":\"all\",\"window-ns\":800000000");
    play_late(
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
fn of_a_burst_of_clients_that_left_while_they_waited_for_a_connection_or_for_room_nothing_is_written() {
    let each = |step: fn(u32) -> String| (1..=80).map(step).collect::<String>();
    let (send, leave) = (
        each(|n| format!("c{n} send GET /{n}\n")),
        each(|n| format!("c{n} close\nproxy expect log aborted\n")),
    );
    play_late(
        &["latecomer"],
        &patient(),
        &format!(
            "{send}
             {leave}
             c100 send POST /100 X-Class=book | y
             latecomer accept
             latecomer expect POST /100 | y
             latecomer send 200 | yes
             c100 expect 200 | yes
             c101 send GET /101
             latecomer expect GET /101 on=same"
        ),
    );
}

#[test]
fn a_request_that_is_held_for_want_of_endpoints_is_not_sent_once_its_client_has_left() {
    let list = |version: u32, state: &str| {
        format!(
            "discovery send chunk {{\"version\":{version},\"servers\":[{{\"id\":\"a-0\",\"addr\":\"@a\",\"state\":\"{state}\"}}]}}\\n
             proxy expect log version: {version}\n"
        )
    };
    let (drains, ready) = (list(42, "draining"), list(43, "ready"));
    play_late(
        &["a", "latecomer"], // whose presence lets the program log what is aborted
        &patient(),
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
             c3 send GET /next
             a expect GET /next on=same"
        ),
    );
}
