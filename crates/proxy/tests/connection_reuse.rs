//! Tests of connections to endpoints that carry several requests: a response is served only to the request for
//! which it was made, also if the endpoint sends responses twice or too early.

mod scenario;
mod site;
use scenario::http::read_head;
use scenario::{Message, STEP_TIMEOUT, read_message, serve};
use site::{Process, Site};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How late the second copy of a response is, unless another request arrives earlier.
const SECOND_COPY_DELAY: Duration = Duration::from_millis(7);
/// A run in which the second copy was written later than this proves nothing and is repeated.
const MAX_SECOND_COPY_DELAY: Duration = Duration::from_millis(20);
/// Longer than the part of a body that is buffered before it is forwarded, and than what sockets hold.
const LONG_BODY_BYTES: usize = 24 << 20;

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

struct Proxy {
    site: Site,
    _process: Process,
}

impl Proxy {
    fn start(backend: SocketAddr) -> Proxy {
        let site = Site::new(32, &[("a", backend)]);
        let process = site.start_ready();
        Proxy { site, _process: process }
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.site.listen).expect("connected");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
        BufReader::new(stream)
    }
}

/// Sends a request without a body and returns the response.
fn get(client: &mut BufReader<TcpStream>, path: &str) -> Message {
    let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {path}\r\nX-Class: view\r\n\r\n");
    client.get_mut().write_all(head.as_bytes()).expect("written");
    read_message(client).expect("readable").expect("a response")
}

/// Answers each request with its own first line. Sends the answer to `/first` twice: the second copy some
/// milliseconds later, or when a byte of the next request arrives, as a copy that is already on its way. Reports
/// how late it was.
fn answer_first_request_twice(stream: TcpStream, delay: &Sender<Duration>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let text = response(&request.first);
        let written_at = Instant::now();
        reader.get_mut().write_all(text.as_bytes())?;
        if request.first == "GET /first" {
            reader.get_ref().set_read_timeout(Some(SECOND_COPY_DELAY))?;
            let _ = reader.get_ref().peek(&mut [0]);
            reader.get_mut().write_all(text.as_bytes())?;
            let _ = delay.send(written_at.elapsed());
            reader.get_ref().set_read_timeout(None)?;
        }
    }
    Ok(())
}

/// Returns the bodies of the responses to `/first` and `/second`, which the client sends at once after it, and how
/// late the second copy of the response to `/first` was. Before, the endpoint gives so many different responses.
fn responses_beside_a_second_copy(earlier_responses: usize) -> ([String; 2], Duration) {
    let (sender, delay) = channel();
    let sender = Mutex::new(sender);
    let proxy = Proxy::start(serve(move |stream| {
        let sender = sender.lock().expect("not poisoned").clone();
        let _ = answer_first_request_twice(stream, &sender);
    }));
    let mut client = proxy.connect();
    for number in 0..earlier_responses {
        get(&mut client, &format!("/earlier/{number}"));
    }
    let bodies = ["/first", "/second"].map(|path| get(&mut client, path).body);
    (bodies, delay.recv_timeout(STEP_TIMEOUT).expect("a second copy"))
}

/// Guards against serving the second copy of a response to the next request on the connection (review/1), at an
/// endpoint of which nothing is known and at one whose responses differ.
#[test]
fn late_second_copy_of_a_response_is_not_served_to_the_next_request() {
    for earlier_responses in [0, 10] {
        let mut runs = std::iter::repeat_with(|| responses_beside_a_second_copy(earlier_responses)).take(20);
        let (bodies, _) = runs.find(|(_, delay)| *delay < MAX_SECOND_COPY_DELAY).expect("one run in time");
        assert_eq!(bodies, ["GET /first", "GET /second"], "after {earlier_responses} responses");
    }
}

/// Reads the head of an upload, sends a response that no request asked for, waits, and answers the upload.
fn respond_before_the_upload_ends(stream: TcpStream, sent: &Sender<()>, is_whole: &AtomicBool) -> Option<()> {
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        if !head.starts_with("POST") {
            reader.get_mut().write_all(response("healthy").as_bytes()).ok()?;
            continue;
        }
        reader.get_mut().write_all(response("of an earlier request").as_bytes()).ok()?;
        sent.send(()).ok()?;
        let copied = std::io::copy(
            &mut std::io::Read::take(&mut reader, LONG_BODY_BYTES as u64),
            &mut std::io::sink(),
        );
        is_whole.store(copied.is_ok_and(|length| length == LONG_BODY_BYTES as u64), Ordering::SeqCst);
        reader.get_mut().write_all(response("of this request").as_bytes()).ok()?;
    }
    Some(())
}

/// Guards against serving a response that arrived while the request was still being sent, for which an endpoint
/// can't have made it.
#[test]
fn success_before_the_end_of_the_upload_is_not_served() {
    let (sender, sent): (_, Receiver<()>) = channel();
    let (sender, is_whole) = (Mutex::new(sender), Arc::new(AtomicBool::new(false)));
    let received_whole = is_whole.clone();
    let proxy = Proxy::start(serve(move |stream| {
        let sender = sender.lock().expect("not poisoned").clone();
        let _ = respond_before_the_upload_ends(stream, &sender, &received_whole);
    }));
    let mut client = proxy.connect();
    let head = format!(
        "POST /long HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    client.get_mut().write_all(head.as_bytes()).expect("written");
    let body = vec![b'x'; LONG_BODY_BYTES];
    let (first, rest) = body.split_at(512 * 1024);
    client.get_mut().write_all(first).expect("written");
    sent.recv_timeout(STEP_TIMEOUT).expect("the backend has responded");
    client.get_mut().write_all(rest).expect("written");
    let message = read_message(&mut client).expect("readable").expect("a response");
    assert_eq!((message.first.as_str(), message.body.as_str()), ("502 Bad Gateway", "failed\n"));
    assert!(is_whole.load(Ordering::SeqCst), "the request was sent to its end");
}
