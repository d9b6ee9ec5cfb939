//! Tests of clients that leave: nothing of theirs is sent on, and no request is executed again.

mod load;
mod scenario;
mod site;
use load::{Ending, Exchange, LoadClient};
use scenario::{Message, SETTINGS, STEP_TIMEOUT, play, play_with, read_message, serve};
use site::{Site, generous_settings};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;

/// How often the process is stopped, and the clients that leave meanwhile.
const STOPS: usize = 10;
const CLIENTS: usize = 8;

/// Guards against a booking that runs twice, once for a client that has left.
#[test]
fn id_of_a_client_that_has_left_is_not_executed_again() {
    play(
        "c send POST /api X-Request-Id=again X-Class=book Idempotency-Key=k | body
         a expect POST /api | body
         c close
         a expect closed
         c2 send POST /api X-Request-Id=again X-Class=book Idempotency-Key=k | body
         c2 expect 409
         c3 send POST /api X-Request-Id=other X-Class=book Idempotency-Key=k2 | body
         a expect POST /api | body",
    );
}

/// Guards against a retry with the same id that is rejected although nothing was executed.
#[test]
fn id_of_a_request_that_was_never_executed_may_come_again() {
    play_with(
        &["x"],
        SETTINGS,
        "c send POST /api X-Request-Id=again X-Class=book Idempotency-Key=k X-Deadline=900m | body
         c expect 503
         c send POST /api X-Request-Id=again X-Class=book Idempotency-Key=k X-Deadline=900m | body
         c expect 503",
    );
}

/// Guards against a booking that runs in both processes of an upgrade.
#[test]
fn id_that_one_process_of_an_upgrade_has_executed_is_not_executed_by_the_other() {
    let (arrived, requests) = channel();
    let address = serve(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(Message { first, .. }) = read_message(&mut reader).expect("a message") {
            if first.starts_with("POST") {
                arrived.send(()).expect("the test runs"); // never answered
                continue;
            }
            let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
    });
    let site = Site::with_limits(&generous_settings(), 256, 48, &[("a", address)]);
    let text = |id: &str| {
        format!(
            "POST / HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nx-class: book\r\nidempotency-key: {id}\r\ncontent-length: 0\r\n\r\n"
        )
    };
    let old = site.start_ready();
    let send = |id: &str| {
        let mut link = TcpStream::connect(site.listen).expect("connected");
        link.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
        link.write_all(text(id).as_bytes()).expect("sent");
        link
    };
    let mut kept = TcpStream::connect(site.listen).expect("connected");
    kept.write_all(b"GET /health/live HTTP/1.1\r\nhost: h\r\n\r\n").expect("sent");
    read_message(&mut BufReader::new(kept.try_clone().expect("cloned")))
        .expect("answered by the old process");
    let before = send("before");
    requests.recv().expect("executed");
    let _new = site.start_ready();
    old.program.line("accepting changed");
    kept.write_all(text("during").as_bytes()).expect("sent to the old process");
    requests.recv().expect("executed");
    drop((before, kept));
    for id in ["before", "during"] {
        let link = send(id);
        let response = read_message(&mut BufReader::new(link)).expect("answered").expect("a response");
        assert!(response.first.contains("409"), "{id}: {}", response.first);
    }
    assert!(requests.try_recv().is_err());
}

/// Guards against requests that are read long after their clients have left.
#[test]
fn requests_of_clients_that_left_while_the_process_stood_still_are_not_sent_on() {
    let (arrived, requests) = channel();
    let address = serve(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Ok(Some(Message { first, .. })) = read_message(&mut reader) {
            arrived.send(first).expect("the test runs");
            let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
    });
    let site = Site::with_limits(&generous_settings(), 256, 48, &[("a", address)]);
    let process = site.start_ready();
    for round in 0..STOPS {
        let links: Vec<_> =
            (0..CLIENTS).map(|_| TcpStream::connect(site.listen).expect("connected")).collect();
        let accepted = LoadClient::new(site.listen).send(&format!("ordinary{round}"), &Exchange::fast(0, 0));
        assert_eq!(accepted, Ending::Served);
        process.program.signal("STOP");
        for (number, mut link) in links.into_iter().enumerate() {
            let head = format!(
                "GET /left HTTP/1.1\r\nhost: h\r\nx-request-id: l{round}-{number}\r\nx-class: view\r\n\r\n"
            );
            link.write_all(head.as_bytes()).expect("sent");
        }
        process.program.signal("CONT");
    }
    let last = LoadClient::new(site.listen).send("last", &Exchange::fast(0, 0));
    assert_eq!(last, Ending::Served);
    assert!(!requests.try_iter().any(|first| first.contains("/left")));
}
