//! The close of a client's connection, and the planned end: what crosses them on the wire.

mod fleet;
mod scenario;
mod site;
use fleet::Backend;
use scenario::{NEVER, SETTINGS, free_port, olivecart, play_with, program::Program};
use site::Site;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

/// As long as the proxy reads on after it has shut its side. What a slower machine shows says nothing.
const LINGER: Duration = Duration::from_secs(1);

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(NEVER)).expect("set");
    stream.set_nodelay(true).expect("set");
    stream
}

fn request(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {path}\r\nX-Class: view\r\n{more}\r\n")
}

/// What comes up to the end of the stream, which is no reset.
fn rest(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = stream.read_to_end(&mut all);
    let all = String::from_utf8_lossy(&all).into_owned();
    assert!(read.is_ok(), "{read:?} after {all:?}");
    all
}

#[test]
fn who_is_turned_away_in_the_middle_of_what_it_sends_reads_its_answer_and_no_reset() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let _proxy = site.serving();
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
        client.write_all(text.as_bytes()).expect("taken");
        let answer = rest(&mut client);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    }
}

#[test]
fn what_comes_after_our_side_is_shut_is_dropped_and_neither_sent_on_nor_answered_with_a_reset() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let _proxy = site.serving();
    let play = |n: u32| {
        let mut client = connect(site.listen);
        client.write_all(request(&format!("/{n}"), "Connection: close\r\n").as_bytes()).expect("taken");
        assert!(rest(&mut client).starts_with("HTTP/1.1 200 "));
        let shut = Instant::now();
        client.write_all(request("/late", "").as_bytes()).expect("taken");
        client.shutdown(Shutdown::Write).expect("still there");
        let read = client.read(&mut [0]);
        let in_time = shut.elapsed() < LINGER;
        assert!(!in_time || matches!(read, Ok(0)), "{read:?}");
        in_time
    };
    let plays = (1..=10).find(|n| play(*n)).expect("one play in time");
    // What the first ones may have left behind comes before this.
    let mut client = connect(site.listen);
    client.write_all(request("/last", "Connection: close\r\n").as_bytes()).expect("taken");
    assert!(rest(&mut client).starts_with("HTTP/1.1 200 "));
    assert_eq!(backend.calls(), u64::from(plays) + 1);
}

/// What a client sends behind a request in flight.
enum Behind {
    Text(String),
    /// As much as the connection takes.
    Flood,
}

#[test]
fn a_client_that_leaves_behind_what_nobody_reads_takes_its_call_along() {
    let patient = SETTINGS.replace("50000000000", "500000000000");
    let body =
        "POST /2 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\nContent-Length: 900000\r\n\r\n";
    for behind in [
        Behind::Text(String::new()),
        Behind::Text("nonsense\r\n\r\n".into()),
        Behind::Text("x".repeat(100_000)),
        Behind::Text(request("/2", "").repeat(40)),
        Behind::Text(format!("{body}{}", "x".repeat(150_000))),
        Behind::Flood,
    ] {
        for reset in [false, true] {
            let (backend, calls) = Silent::start();
            let site = Site::with(&patient, 32, &[("a", backend)]);
            let _proxy = site.serving();
            let mut client = connect(site.listen);
            let text = match &behind {
                Behind::Text(text) => text.as_str(),
                Behind::Flood => "",
            };
            client.write_all((request("/1", "") + text).as_bytes()).expect("taken");
            let mut call = calls.recv_timeout(NEVER).expect("the call");
            if matches!(behind, Behind::Flood) {
                client.set_write_timeout(Some(Duration::from_millis(50))).expect("set");
                while client.write_all(&[b'x'; 64 * 1024]).is_ok() {}
            }
            if reset {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
            }
            drop(client);
            let ended = call.read_to_end(&mut Vec::new());
            let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
            assert!(ended.as_ref().err().is_none_or(reset), "not called off: {ended:?}");
        }
    }
}

/// A backend that answers probes and holds everything else for good.
struct Silent;

impl Silent {
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
                stream.set_read_timeout(Some(NEVER)).expect("set");
                let _ = sender.lock().expect("no panic").send(stream);
                return;
            }
        });
        (addr, calls)
    }
}

#[test]
fn a_second_signal_does_not_cut_off_what_the_first_one_lets_end() {
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
fn a_signal_before_the_proxy_is_ready_ends_it_in_good_order() {
    // Nobody to send to: it serves, and is not ready.
    play_with(
        &[],
        SETTINGS,
        "proxy expect unready
         proxy send TERM
         proxy wait exit",
    );
    // It waits for an address that somebody else has.
    let site = Site::new(32, &[]);
    let _holder = TcpListener::bind(site.listen).expect("free");
    let mut program = olivecart("serve", &site.config);
    program.env("EDGE_CONSOLE", free_port().to_string()).env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
    let mut program = Program::start(&mut program);
    program.line("no process to take over from");
    program.signal("TERM");
    let status = program.ends();
    assert!(status.success(), "{status}, by signal {:?}", status.signal());
}

#[test]
fn with_short_deadlines_what_hangs_at_the_end_is_answered_in_time_and_nobody_holds_the_end_up() {
    // Rejected, answered and silent clients that never close, and one whose backend hangs.
    let settings = SETTINGS.replace("50000000000", "1000000000").replace("20000000000", "500000000");
    let (backend, calls) = Silent::start();
    let site = Site::with(&settings, 32, &[("a", backend)]);
    let mut proxy = site.serving();
    let mut rejected = connect(site.listen);
    rejected.write_all(b"nonsense\r\n\r\n").expect("taken");
    let (_silent, mut idle) = (connect(site.listen), connect(site.listen));
    idle.write_all(request("/health/live", "").as_bytes()).expect("taken");
    proxy.program.signal("TERM");
    proxy.program.line("shutdown started");
    let mut hung = connect(site.listen);
    hung.write_all(request("/hung", "").as_bytes()).expect("taken");
    let _call = calls.recv_timeout(NEVER).expect("the call");
    let answer = rest(&mut hung);
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(proxy.program.ends().success());
    assert!(rest(&mut rejected).starts_with("HTTP/1.1 400 "));
    assert!(rest(&mut idle).starts_with("HTTP/1.1 200 "));
}
