//! Tests of closing client connections and of graceful shutdown, with bytes or signals that arrive meanwhile.

mod fleet;
mod scenario;
mod site;
use fleet::Backend;
use scenario::{SETTINGS, STEP_TIMEOUT, free_port, olivecart, play_with, program::Program};
use site::Site;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

/// How long the proxy reads after its half-close. A run that is slower than this proves nothing and is repeated.
const LINGER: Duration = Duration::from_secs(1);

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
    stream.set_nodelay(true).expect("set");
    stream
}

fn request(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {path}\r\nX-Class: view\r\n{more}\r\n")
}

/// Reads up to the end of the stream, and checks that it is not a reset.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = stream.read_to_end(&mut all);
    let all = String::from_utf8_lossy(&all).into_owned();
    assert!(read.is_ok(), "{read:?} after {all:?}");
    all
}

#[test]
fn client_rejected_while_sending_reads_its_response_without_a_reset() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let _proxy = site.start_ready();
    let head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: ";
    let much = "x".repeat(200_000);
    let chunk = format!("{:x}\r\n{much}\r\n", much.len());
    for (text, status) in [
        (format!("nonsense\r\n\r\n{much}"), 400),
        (format!("GET /x HTTP/1.1\r\nX-Pad: {much}"), 431),
        (format!("{head}steal\r\nContent-Length: 900000\r\n\r\n{much}"), 400),
        (format!("{head}steal\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"), 400),
        (format!("{head}view\r\nContent-Length: 60000000\r\n\r\n{much}"), 413),
        (format!("{}{much}", request("/health/live", "Connection: close\r\n")), 200),
    ] {
        let mut client = connect(site.listen);
        client.write_all(text.as_bytes()).expect("written");
        let answer = read_to_end(&mut client);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    }
}

#[test]
fn request_after_half_close_is_dropped_without_a_reset() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let _proxy = site.start_ready();
    let run = |n: u32| {
        let mut client = connect(site.listen);
        client.write_all(request(&format!("/{n}"), "Connection: close\r\n").as_bytes()).expect("written");
        assert!(read_to_end(&mut client).starts_with("HTTP/1.1 200 "));
        let half_closed = Instant::now();
        client.write_all(request("/late", "").as_bytes()).expect("written");
        client.shutdown(Shutdown::Write).expect("connected");
        let read = client.read(&mut [0]);
        let in_time = half_closed.elapsed() < LINGER;
        assert!(!in_time || matches!(read, Ok(0)), "{read:?}");
        in_time
    };
    let runs = (1..=10).find(|n| run(*n)).expect("one run in time");
    // A late request that was forwarded by mistake would reach the backend before this one.
    let mut client = connect(site.listen);
    client.write_all(request("/last", "Connection: close\r\n").as_bytes()).expect("written");
    assert!(read_to_end(&mut client).starts_with("HTTP/1.1 200 "));
    assert_eq!(backend.calls(), u64::from(runs) + 1);
}

/// What a client sends after a request in flight.
enum Trailing {
    Text(String),
    /// As many bytes as the connection accepts.
    Flood,
}

#[test]
fn client_disconnect_with_unread_bytes_cancels_its_attempt() {
    let patient = SETTINGS.replace("50000000000", "500000000000");
    let body =
        "POST /2 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\nContent-Length: 900000\r\n\r\n";
    for trailing in [
        Trailing::Text(String::new()),
        Trailing::Text("nonsense\r\n\r\n".into()),
        Trailing::Text("x".repeat(100_000)),
        Trailing::Text(request("/2", "").repeat(40)),
        Trailing::Text(format!("{body}{}", "x".repeat(150_000))),
        Trailing::Flood,
    ] {
        for reset in [false, true] {
            let (backend, calls) = SilentBackend::start();
            let site = Site::with(&patient, 32, &[("a", backend)]);
            let _proxy = site.start_ready();
            let mut client = connect(site.listen);
            let text = match &trailing {
                Trailing::Text(text) => text.as_str(),
                Trailing::Flood => "",
            };
            client.write_all((request("/1", "") + text).as_bytes()).expect("written");
            let mut call = calls.recv_timeout(STEP_TIMEOUT).expect("the call");
            if matches!(trailing, Trailing::Flood) {
                client.set_write_timeout(Some(Duration::from_millis(50))).expect("set");
                while client.write_all(&[b'x'; 64 * 1024]).is_ok() {}
            }
            if reset {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
            }
            drop(client);
            let ended = call.read_to_end(&mut Vec::new());
            let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
            assert!(ended.as_ref().err().is_none_or(reset), "not cancelled: {ended:?}");
        }
    }
}

/// A backend that answers health checks and never responds to other requests.
struct SilentBackend;

impl SilentBackend {
    fn start() -> (SocketAddr, std::sync::mpsc::Receiver<TcpStream>) {
        let (sender, calls) = std::sync::mpsc::channel();
        let sender = std::sync::Mutex::new(sender);
        let addr = scenario::serve(move |mut stream| {
            let Ok(mut reader) = stream.try_clone().map(std::io::BufReader::new) else { return };
            while let Ok(Some(message)) = scenario::read_message(&mut reader) {
                if message.first.starts_with("GET /health/") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    continue;
                }
                stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
                let _ = sender.lock().expect("no panic").send(stream);
                return;
            }
        });
        (addr, calls)
    }
}

#[test]
fn second_signal_does_not_abort_a_graceful_shutdown() {
    for again in ["TERM", "INT"] {
        play_with(
            &["a"],
            &SETTINGS.replace("\"may-cancel\":true", "\"may-cancel\":false"),
            &format!(
                "c send GET /held
                 a expect GET /held
                 proxy send TERM
                 proxy expect log shutdown started
                 proxy send {again}
                 proxy send {again}
                 proxy expect unready
                 a send 200 | held
                 c expect 200 | held
                 proxy wait exit"
            ),
        );
    }
}

#[test]
fn signal_before_readiness_shuts_down_cleanly() {
    // Without endpoints: the proxy serves and is not ready.
    play_with(
        &[],
        SETTINGS,
        "proxy expect unready
         proxy send TERM
         proxy wait exit",
    );
    // While it waits for an address that another process uses.
    let site = Site::new(32, &[]);
    let _holder = TcpListener::bind(site.listen).expect("free");
    let mut program = olivecart("serve", &site.config);
    program.env("EDGE_CONSOLE", free_port().to_string()).env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
    let mut program = Program::start(&mut program);
    program.line("no process to take over from");
    program.signal("TERM");
    let status = program.wait_for_exit();
    assert!(status.success(), "{status}, by signal {:?}", status.signal());
}

#[test]
fn shutdown_with_short_deadlines_answers_hanging_requests_and_waits_for_no_client() {
    // Rejected, answered and silent clients that never close, and a client whose backend hangs.
    let settings = SETTINGS.replace("50000000000", "1000000000").replace("20000000000", "500000000");
    let (backend, calls) = SilentBackend::start();
    let site = Site::with(&settings, 32, &[("a", backend)]);
    let mut proxy = site.start_ready();
    let mut rejected = connect(site.listen);
    rejected.write_all(b"nonsense\r\n\r\n").expect("written");
    let (_silent, mut idle) = (connect(site.listen), connect(site.listen));
    idle.write_all(request("/health/live", "").as_bytes()).expect("written");
    proxy.program.signal("TERM");
    proxy.program.line("shutdown started");
    let mut hung = connect(site.listen);
    hung.write_all(request("/hung", "").as_bytes()).expect("written");
    let _call = calls.recv_timeout(STEP_TIMEOUT).expect("the call");
    let answer = read_to_end(&mut hung);
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(proxy.program.wait_for_exit().success());
    assert!(read_to_end(&mut rejected).starts_with("HTTP/1.1 400 "));
    assert!(read_to_end(&mut idle).starts_with("HTTP/1.1 200 "));
}

/// Guards against requests that were read with the one before them, and whose connection closes without an answer to them.
#[test]
fn requests_read_behind_the_last_one_of_a_connection_are_answered() {
    let raw = |path: &str| request(path, "").replace("\r\n", "\\r\\n");
    play_with(
        &["a"],
        SETTINGS,
        &format!(
            "c send GET /0
             a expect GET /0
             a send 200
             c expect 200
             c2 send raw {}{}{}
             a expect GET /1
             proxy send TERM
             c expect closed
             a send 200 | 1
             c2 expect 200 | 1
             c2 expect 503
             c2 expect 503
             c2 expect closed",
            raw("/1"),
            raw("/2"),
            raw("/3")
        ),
    );
}
