//! A planned end while a crowd connects: clients that have called are served for as long as they come.

mod fleet;
mod scenario;
mod site;
use fleet::{Backend, Client};
use site::Site;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Less than the pause after which a proxy takes it that nobody comes. What a slower machine shows says nothing.
const PAUSE: Duration = Duration::from_millis(300);
/// Longer than it serves on where nobody comes.
const LONGER: Duration = Duration::from_millis(2200);

/// How long a proxy that was told to end serves one who calls again and again, beside more than it has descriptors for
/// that say nothing; and the longest pause between two calls.
fn serves_for() -> (Duration, Duration) {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let mut proxy = site.serving();
    let mut caller = Client::new(site.listen);
    caller.call().expect("an answer");
    proxy.program.signal("TERM");
    proxy.program.line("shutdown started");
    let began = Instant::now();
    let crowd: Vec<_> = (0..200).map(|_| TcpStream::connect(site.listen).expect("queued")).collect();
    let (mut last, mut longest) = (began, Duration::ZERO);
    while let Some((status, _)) = caller.call() {
        assert_eq!(status, 200);
        longest = longest.max(last.elapsed());
        last = Instant::now();
    }
    drop(crowd);
    assert!(proxy.program.ends().success());
    (last - began, longest)
}

#[test]
fn who_calls_on_a_kept_connection_is_served_beside_a_crowd_until_no_answer_would_be_in_time() {
    let mut plays = std::iter::repeat_with(serves_for).take(10);
    let (served, _) = plays.find(|(_, pause)| *pause < PAUSE).expect("one play without a long pause");
    assert!(served > LONGER, "for {served:?}");
}

#[test]
fn where_clients_wait_for_a_second_all_is_answered_before_the_kill_that_follows_it() {
    let backend = Backend::new("a");
    for (deadline_ms, answered_ms) in [(1000, 1400), (500_000, 3400)] {
        let settings = scenario::SETTINGS.replace("50000000000", &format!("{deadline_ms}000000"));
        let site = Site::with(&settings, 32, &[("a", backend.addr)]);
        let mut proxy = site.serving();
        proxy.program.signal("TERM");
        proxy.program.line(&format!("all_answered_ms: {answered_ms}"));
        assert!(proxy.program.ends().success());
    }
}
