//! Tests of `olivecart sidecar` over sockets: readiness and draining, an application that dies and returns, its
//! outbound requests, reloads, and the admin listener.

mod fleet;
mod scenario;

use fleet::{Backend, Client};
use scenario::program::Program;
use scenario::{STEP_TIMEOUT, call_once, free_port, fresh, read_message, serve};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// A running sidecar, with its directory and the addresses in its configuration.
struct Sidecar {
    program: Program,
    inbound: SocketAddr,
    calls: SocketAddr,
    admin: SocketAddr,
    disk: PathBuf,
}

impl Sidecar {
    /// Starts a sidecar for an application, with one outbound service whose endpoints are listed in a file.
    fn start(application: SocketAddr, endpoints: &str) -> Sidecar {
        let (inbound, calls, admin, disk) = (free_port(), free_port(), free_port(), fresh(""));
        std::fs::create_dir(&disk).expect("a directory");
        std::fs::write(disk.join("fleet.toml"), endpoints).expect("written");
        let text = format!(
            "version = 1\nkind = \"proxy\"\nname = \"booking\"\ntier = 1\n[settings]\ndescriptors = 256\nmemory = \"32MiB\"\n\
             largest_body = \"16KiB\"\n[admin]\nlisten = \"{admin}\"\n[inbound]\nlisten = \"{inbound}\"\n\
             application = \"{application}\"\nmax_requests = 2\n[[outbound]]\napplication = \"records\"\nlisten = \"{calls}\"\n\
             attempts = 2\nclusters = [\"cart\"]\n[[classes]]\nname = \"view\"\naim = \"20s\"\ndeadline = \"50s\"\n\
             effect = \"repeatable\"\nattempt = \"20s\"\nrepeat = \"anywhere\"\nworth = 1.0\nlate_worth = 0.0\n\
             stream = false\n[[sources]]\nname = \"list\"\nfile = \"fleet.toml\"\n"
        );
        std::fs::write(disk.join("proxy.toml"), text).expect("written");
        let mut program = Command::new(env!("CARGO_BIN_EXE_olivecart"));
        let program = program.arg("sidecar").arg("--config").arg(disk.join("proxy.toml"));
        let sidecar = Sidecar { program: Program::start(program), inbound, calls, admin, disk };
        sidecar.program.line("listening");
        sidecar.program.line("cluster changed");
        sidecar
    }

    fn admin(&self, request: &str) -> (u16, String) {
        let answer = call_once(self.admin, request, "").expect("answered");
        (answer.first[..3].parse().expect("a status"), answer.body)
    }

    /// Waits until `/ready` of the admin listener reports this readiness.
    fn wait_until_ready(&self, ready: bool) {
        let end = Instant::now() + STEP_TIMEOUT;
        while self.admin("GET /ready").0 != if ready { 200 } else { 503 } {
            assert!(Instant::now() < end, "readiness not reported in time");
            std::thread::yield_now();
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.disk);
    }
}

fn endpoints_file(backend: &Backend) -> String {
    format!(
        "version = 1\n[[clusters]]\nname = \"cart\"\n[[clusters.endpoints]]\nname = \"a\"\naddress = \"{}\"\n[end]\n",
        backend.addr
    )
}

/// An application that waits for the test to provide the body of each response. Health checks are answered at once.
struct ControlledApplication {
    addr: SocketAddr,
    /// For each request that arrives, the sender of the response body.
    requests: Receiver<Sender<String>>,
}

impl ControlledApplication {
    fn new() -> ControlledApplication {
        let (arrivals, requests) = channel();
        let addr = serve(move |stream| serve_controlled(stream, &arrivals));
        ControlledApplication { addr, requests }
    }
}

fn serve_controlled(stream: TcpStream, arrivals: &Sender<Sender<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut stream = stream;
    while let Ok(Some(message)) = read_message(&mut reader) {
        let body = if message.first == "GET /health/live" {
            "ok".to_owned()
        } else {
            let (answer, body) = channel();
            if arrivals.send(answer).is_err() {
                return;
            }
            body.recv().unwrap_or_default()
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn sidecar_is_ready_only_while_the_application_is_healthy() {
    let application = free_port();
    let records = Backend::new("records");
    let sidecar = Sidecar::start(application, &endpoints_file(&records));
    // The application is not up yet: nothing is sent there, and clients get a 503.
    assert_eq!(sidecar.admin("GET /ready").0, 503);
    assert_eq!(Client::new(sidecar.inbound).get("/1").map(|(status, _)| status), Some(503));
    // First, a server of another protocol listens at its address.
    let stranger = TcpListener::bind(application).expect("free");
    let (mut stream, _) = stranger.accept().expect("a health check");
    stream.write_all(b"220 mail ready\r\n").expect("written");
    drop((stream, stranger));
    assert_eq!(sidecar.admin("GET /ready").0, 503);
    let listener = bind_again(application);
    let (stop, stopped) = channel::<()>();
    let serving = serve_until(listener, stopped);
    sidecar.wait_until_ready(true);
    assert_eq!(Client::new(sidecar.inbound).get("/2"), Some((200, "application".into())));
    // The application dies: not ready, and requests get a 503 at once instead of waiting.
    drop(stop);
    serving.join().expect("no panic");
    sidecar.wait_until_ready(false);
    assert_eq!(Client::new(sidecar.inbound).get("/3").map(|(status, _)| status), Some(503));
    // Outbound requests are not affected.
    assert_eq!(Client::new(sidecar.calls).get("/4"), Some((200, "records".into())));
    // The application returns.
    let (_stop, stopped) = channel::<()>();
    let _serving = serve_until(bind_again(application), stopped);
    sidecar.wait_until_ready(true);
    assert_eq!(Client::new(sidecar.inbound).get("/5"), Some((200, "application".into())));
}

/// Binds an address that was in use before, as soon as earlier connections allow it.
fn bind_again(at: SocketAddr) -> TcpListener {
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        match TcpListener::bind(at) {
            Ok(listener) => return listener,
            Err(error) => assert!(Instant::now() < end, "{at}: {error}"),
        }
        std::thread::yield_now();
    }
}

/// Answers one request per connection until the sender is dropped, and then closes the listener.
fn serve_until(listener: TcpListener, stopped: Receiver<()>) -> std::thread::JoinHandle<()> {
    listener.set_nonblocking(true).expect("set");
    std::thread::spawn(move || {
        while !matches!(stopped.try_recv(), Err(std::sync::mpsc::TryRecvError::Disconnected)) {
            let Ok((mut stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("set");
            let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                line.clear();
            }
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nConnection: close\r\n\r\napplication";
            let _ = stream.write_all(answer.as_bytes());
        }
    })
}

#[test]
fn draining_sidecar_answers_open_requests_which_may_still_send_requests() {
    let (application, records) = (ControlledApplication::new(), Backend::new("records"));
    let mut sidecar = Sidecar::start(application.addr, &endpoints_file(&records));
    sidecar.wait_until_ready(true);
    let (inbound, calls) = (sidecar.inbound, sidecar.calls);
    let client = std::thread::spawn(move || Client::new(inbound).get("/taken"));
    let answer = application.requests.recv_timeout(STEP_TIMEOUT).expect("a request");
    assert_eq!(sidecar.admin("POST /drain"), (200, "leaving\n".into()));
    sidecar.wait_until_ready(false);
    // The application, while handling the request, sends a request through the draining sidecar.
    assert_eq!(Client::new(calls).get("/out"), Some((200, "records".into())));
    answer.send("done".into()).expect("the application waits");
    assert_eq!(client.join().expect("no panic"), Some((200, "done".into())));
    sidecar.program.line("inbound listener drained");
    assert!(sidecar.program.wait_for_exit().success());
}

#[test]
fn application_limit_is_enforced_and_request_ids_are_separate_per_listener() {
    let (application, records) = (ControlledApplication::new(), Backend::new("records"));
    let sidecar = Sidecar::start(application.addr, &endpoints_file(&records));
    sidecar.wait_until_ready(true);
    let send = |to: SocketAddr, id: &str| {
        let mut stream = TcpStream::connect(to).expect("connected");
        let text = format!("GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Class: view\r\n\r\n");
        stream.write_all(text.as_bytes()).expect("written");
        stream
    };
    let status = |stream: &mut TcpStream| {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).expect("answered");
        line.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    let mut open = [send(sidecar.inbound, "one"), send(sidecar.inbound, "two")];
    let answers: Vec<_> =
        open.iter().map(|_| application.requests.recv_timeout(STEP_TIMEOUT).expect("a request")).collect();
    assert_eq!(status(&mut send(sidecar.inbound, "three")), "503", "a third concurrent request");
    assert_eq!(status(&mut send(sidecar.calls, "one")), "200", "the id of an open inbound request");
    let (code, clusters) = sidecar.admin("GET /clusters");
    assert!(
        code == 200 && clusters.contains("cluster application: takes requests true, open requests 2"),
        "{clusters}"
    );
    let (_, metrics) = sidecar.admin("GET /metrics");
    let line = "olivecart_open_requests{listener=\"inbound\",cluster=\"application\"} 2";
    assert!(metrics.contains(line) && metrics.ends_with("# EOF\n"), "{metrics}");
    let (_, config) = sidecar.admin("GET /config");
    assert!(config.contains("max_requests = 2") && config.contains("(proxy)"), "{config}");
    assert_eq!((sidecar.admin("GET /drain").0, sidecar.admin("GET /nothing").0), (405, 404));
    answers.iter().for_each(|answer| answer.send("fine".into()).expect("the application waits"));
    open.iter_mut().for_each(|stream| assert_eq!(status(stream), "200"));
}

#[test]
fn reload_applies_live_keys_and_rejects_invalid_configurations() {
    let (application, records) = (ControlledApplication::new(), Backend::new("records"));
    let sidecar = Sidecar::start(application.addr, &endpoints_file(&records));
    sidecar.wait_until_ready(true);
    let file = sidecar.disk.join("proxy.toml");
    let text = std::fs::read_to_string(&file).expect("written");
    let reload = |text: &str| {
        std::fs::write(&file, text).expect("written");
        sidecar.program.signal("HUP");
    };
    let client = || {
        let inbound = sidecar.inbound;
        std::thread::spawn(move || Client::new(inbound).get("/x").map(|(status, _)| status))
    };
    let mut open: Vec<_> = (0..2).map(|_| client()).collect();
    let requests = || application.requests.recv_timeout(STEP_TIMEOUT).expect("a request");
    let mut answers = vec![requests(), requests()];
    assert_eq!(client().join().expect("no panic"), Some(503), "limit of two");
    for round in 0..50 {
        // A truncated file, an invalid value, and a valid file with a key that applies only after a restart.
        reload(&text[..text.len() / 2]);
        sidecar.program.line("configuration reload rejected");
        reload(&text.replace("max_requests = 2", "max_requests = 0"));
        sidecar.program.line("configuration reload rejected");
        let limit = 2 + round % 2;
        let changed = text.replace("max_requests = 2", &format!("max_requests = {limit}"));
        reload(&changed.replace("attempts = 2", "attempts = 1"));
        sidecar.program.line("keys: outbound[records].attempts");
        sidecar.program.line("configuration reloaded");
    }
    // The last configuration allows three concurrent requests.
    open.push(client());
    answers.push(requests());
    assert_eq!(client().join().expect("no panic"), Some(503), "limit of three");
    answers.iter().for_each(|answer| answer.send("fine".into()).expect("the application waits"));
    for client in open {
        assert_eq!(client.join().expect("no panic"), Some(200), "open requests are answered");
    }
}

#[test]
fn invalid_configuration_file_is_reported_and_nothing_starts() {
    let path = fresh(".toml");
    std::fs::write(&path, "version = 1\nkind = \"proxy\"\nname = \"p\"\ntier = 0\nclasses = []\n")
        .expect("written");
    let run = |path: &std::path::Path| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_olivecart"));
        let run = program.arg("sidecar").arg("--config").arg(path).output().expect("the program runs");
        (run.status.code(), String::from_utf8_lossy(&run.stderr).into_owned())
    };
    let (code, errors) = run(&path);
    assert!(code == Some(1) && errors.contains("error[OC0005]: the list is empty"), "{errors}");
    let fleet =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet/fleet.toml");
    let (code, errors) = run(&fleet);
    assert!(code == Some(1) && errors.contains("kind = \"proxy\""), "{errors}");
}
