//! Tests of endpoints that write their responses or read their requests slowly.

mod scenario;
mod site;
use scenario::{STEP_TIMEOUT, play, serve};
use site::{Site, generous_settings};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The latency objective of the classes of a scenario.
const SCENARIO_OBJECTIVE: Duration = Duration::from_secs(20);
/// The time that the clients of uploads have, and how much later a response may come.
const CLIENT_TIME: Duration = Duration::from_millis(2000);
const LATENESS: Duration = Duration::from_millis(500);

/// Guards against a response in chunks that is given up because its endpoint pauses within the first 64 KiB.
#[test]
fn response_whose_endpoint_pauses_is_passed_on_while_it_comes() {
    for (start, body) in [("", "world"), ("5\\r\\nhello\\r\\n", "helloworld")] {
        play(&format!(
            "c send POST /api X-Class=book Idempotency-Key=k | x
             a expect POST /api | x
             a send raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{start}
             c expect started
             a send raw 5\\r\\nworld\\r\\n0\\r\\n\\r\\n
             c expect 200 | {body}"
        ));
    }
}

/// Guards against a wait for the rest of a response that is not forwarded.
#[test]
fn error_response_that_stalls_is_given_up_at_once() {
    let began = Instant::now();
    play(
        "c send POST /api X-Class=book Idempotency-Key=k | x
         a expect POST /api | x
         a send raw HTTP/1.1 500 No\\r\\nContent-Length: 9\\r\\n\\r\\nhalf
         c expect 502",
    );
    assert!(began.elapsed() < SCENARIO_OBJECTIVE / 4);
}

/// Guards against a response seconds after its time: the client was done, but its machine still held what the endpoint
/// had not read.
#[test]
fn request_that_its_endpoint_reads_slowly_is_answered_in_the_time_of_its_client() {
    let address = serve(|mut stream| {
        let mut piece = vec![0; 200_000];
        while let Ok(1..) = stream.read(&mut piece) {
            if piece.starts_with(b"GET") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            } else {
                sleep(Duration::from_millis(200));
            }
        }
    });
    let site = Site::with_limits(&generous_settings(), 256, 48, &[("a", address), ("b", address)]);
    let _process = site.start_ready();
    let upload = |length: usize| {
        let mut link = TcpStream::connect(site.listen).expect("connected");
        link.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
        spawn(move || {
            let head = format!(
                "POST / HTTP/1.1\r\nhost: h\r\nx-request-id: {length}\r\nx-class: book\r\nidempotency-key: {length}\r\nx-deadline: {}m\r\ncontent-length: {length}\r\n\r\n",
                CLIENT_TIME.as_millis()
            );
            link.write_all(head.as_bytes()).expect("sent");
            let written = link.write_all(&vec![b'x'; length]);
            let sent_at = Instant::now();
            let answered = link.read(&mut [0; 64]).is_ok_and(|length| length > 0);
            (length, written.is_ok(), answered, sent_at.elapsed())
        })
    };
    let uploads: Vec<_> = (4..15).map(|megabytes| upload(megabytes << 20)).collect();
    for upload in uploads {
        let (length, is_written, is_answered, time) = upload.join().expect("no panic");
        // A client that is still writing has its own time.
        assert!(!is_written || is_answered && time <= CLIENT_TIME + LATENESS, "{length} bytes: {time:?}");
    }
}
