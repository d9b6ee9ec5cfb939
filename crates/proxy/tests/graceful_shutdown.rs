//! Tests of graceful shutdown while many clients connect: clients that send requests on open connections are still
//! served.

mod fleet;
mod scenario;
mod site;
use fleet::{Backend, Client};
use site::Site;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
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

/// Longer than the part of a body that is buffered before it is forwarded.
const LONG_BODY_BYTES: usize = 300 * 1024;
/// Longer than this process waits for open requests at a shutdown.
const CLIENT_DEADLINE: &str = "600000m";

/// Starts a backend that reads requests and never answers them. It reports the first line of each.
fn hanging_backend() -> (SocketAddr, Receiver<String>) {
    let (sender, requests) = channel();
    let sender = Mutex::new(sender);
    let addr = scenario::serve(move |stream| {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
            if line.starts_with("GET /health") {
                let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            } else if line.starts_with("POST") {
                let _ = sender.lock().expect("not poisoned").send(line.trim().to_owned());
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
            }
            line.clear();
        }
    });
    (addr, requests)
}

/// Sends the head of a request with a long body, and a part of the body.
fn start_upload(listen: SocketAddr, path: &str, sent_bytes: usize) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(listen).expect("connected");
    stream.set_read_timeout(Some(scenario::STEP_TIMEOUT)).expect("set");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {path}\r\nX-Class: book\r\nX-Deadline: {CLIENT_DEADLINE}\r\n\
         Content-Length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    stream.write_all(&vec![b'x'; sent_bytes]).expect("written");
    BufReader::new(stream)
}

/// Guards against a long upload that has no response when the process is killed at the end of a shutdown
/// (review/3).
#[test]
fn long_uploads_are_answered_at_the_end_of_a_shutdown_beside_a_hanging_backend() {
    let (backend, requests) = hanging_backend();
    let settings = scenario::SETTINGS.replace("50000000000", "1000000000");
    let site = Site::with(&settings, 32, &[("a", backend)]);
    let mut proxy = site.start_ready();
    let part = LONG_BODY_BYTES / 2;
    let mut never_ends = start_upload(site.listen, "/never-ends", part);
    let mut ends_after_signal = start_upload(site.listen, "/ends-after-signal", part);
    for _ in 0..2 {
        requests.recv_timeout(scenario::STEP_TIMEOUT).expect("the upload reaches the backend");
    }
    proxy.program.signal("TERM");
    proxy.program.line("shutdown started");
    let mut begins_after_signal = start_upload(site.listen, "/begins-after-signal", LONG_BODY_BYTES);
    ends_after_signal.get_mut().write_all(&vec![b'x'; LONG_BODY_BYTES - part]).expect("written");
    let mut statuses = Vec::new();
    for client in [&mut begins_after_signal, &mut ends_after_signal, &mut never_ends] {
        let response = scenario::read_message(client).expect("readable");
        statuses.push(response.map_or("none".to_owned(), |message| message.first));
    }
    // The last one was never executed, so that it may be repeated.
    assert_eq!(statuses, ["504 Gateway Timeout", "504 Gateway Timeout", "503 Service Unavailable"]);
    drop((begins_after_signal, ends_after_signal, never_ends));
    assert!(proxy.program.wait_for_exit().success());
}
