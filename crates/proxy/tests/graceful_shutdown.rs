//! Tests of graceful shutdown while many clients connect: clients that send requests on open connections are still
//! served.

mod fleet;
mod scenario;
mod site;
use fleet::{Backend, Client};
use site::Site;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Less than the pause without requests after which a proxy stops accepting. A run with a longer pause proves
/// nothing and is repeated.
const MAX_PAUSE: Duration = Duration::from_millis(300);
/// Longer than a proxy without new requests keeps serving after the signal.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(2200);

/// Returns how long a proxy serves a client that sends requests continuously after SIGTERM, with more silent
/// connections than it has descriptors, and the longest pause between two requests.
fn measure_service_after_signal() -> (Duration, Duration) {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let mut proxy = site.start_ready();
    let mut caller = Client::new(site.listen);
    caller.call().expect("an answer");
    proxy.program.signal("TERM");
    proxy.program.line("shutdown started");
    let began = Instant::now();
    let idle_clients: Vec<_> = (0..200).map(|_| TcpStream::connect(site.listen).expect("queued")).collect();
    let (mut last, mut longest) = (began, Duration::ZERO);
    while let Some((status, _)) = caller.call() {
        assert_eq!(status, 200);
        longest = longest.max(last.elapsed());
        last = Instant::now();
    }
    drop(idle_clients);
    assert!(proxy.program.wait_for_exit().success());
    (last - began, longest)
}

#[test]
fn client_on_an_open_connection_is_served_until_no_response_would_be_in_time() {
    let mut runs = std::iter::repeat_with(measure_service_after_signal).take(10);
    let (served, _) = runs.find(|(_, pause)| *pause < MAX_PAUSE).expect("one run without a long pause");
    assert!(served > MIN_SERVICE_TIME, "served for {served:?}");
}

#[test]
fn announced_answer_time_after_the_signal_follows_the_deadlines() {
    let backend = Backend::new("a");
    for (deadline_ms, answered_ms) in [(1000, 1400), (500_000, 3400)] {
        let settings = scenario::SETTINGS.replace("50000000000", &format!("{deadline_ms}000000"));
        let site = Site::with(&settings, 32, &[("a", backend.addr)]);
        let mut proxy = site.start_ready();
        proxy.program.signal("TERM");
        proxy.program.line(&format!("all_answered_ms: {answered_ms}"));
        assert!(proxy.program.wait_for_exit().success());
    }
}
