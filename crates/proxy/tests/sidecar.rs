//! The sidecar on sockets: order of start and end, the application that dies and comes back, what it calls, and the
//! admin listener.

mod fleet;
mod scenario;

use fleet::{Backend, Client};
use scenario::program::Program;
use scenario::{NEVER, call_once, free_port, fresh, read_message, serve};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// What is around a sidecar: its file, and the addresses in it.
struct Sidecar {
    program: Program,
    inbound: SocketAddr,
    calls: SocketAddr,
    admin: SocketAddr,
    disk: PathBuf,
}

impl Sidecar {
    /// Before an application, with one service to call, whose endpoints are listed in a file.
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

    /// Waits until the admin listener says so of `/ready`.
    fn until_ready(&self, ready: bool) {
        let end = Instant::now() + NEVER;
        while self.admin("GET /ready").0 != if ready { 200 } else { 503 } {
            assert!(Instant::now() < end, "never");
            std::thread::yield_now();
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.disk);
    }
}

fn list(backend: &Backend) -> String {
    format!(
        "version = 1\n[[clusters]]\nname = \"cart\"\n[[clusters.endpoints]]\nname = \"a\"\naddress = \"{}\"\n[end]\n",
        backend.addr
    )
}

/// An application that answers when it is told to, and calls out when it is asked for `/out`.
struct Held {
    addr: SocketAddr,
    /// A request has come; who answers it.
    asked: Receiver<Sender<String>>,
}

impl Held {
    fn new() -> Held {
        let (tell, asked) = channel();
        let addr = serve(move |stream| held(stream, &tell));
        Held { addr, asked }
    }
}

fn held(stream: TcpStream, tell: &Sender<Sender<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut stream = stream;
    while let Ok(Some(message)) = read_message(&mut reader) {
        let body = if message.first == "GET /health/live" {
            "ok".to_owned()
        } else {
            let (answer, told) = channel();
            if tell.send(answer).is_err() {
                return;
            }
            told.recv().unwrap_or_default()
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn it_is_ready_when_the_application_is_and_not_when_that_has_died() {
    let application = free_port();
    let records = Backend::new("records");
    let sidecar = Sidecar::start(application, &list(&records));
    // The application is slow to come up: nothing goes there, and clients are told to come back.
    assert_eq!(sidecar.admin("GET /ready").0, 503);
    assert_eq!(Client::new(sidecar.inbound).get("/1").map(|(status, _)| status), Some(503));
    // What listens there speaks another protocol first.
    let stranger = TcpListener::bind(application).expect("free");
    let (mut stream, _) = stranger.accept().expect("a check comes");
    stream.write_all(b"220 mail ready\r\n").expect("written");
    drop((stream, stranger));
    assert_eq!(sidecar.admin("GET /ready").0, 503);
    let listener = bound(application);
    let (stop, stopped) = channel::<()>();
    let serving = serve_until(listener, stopped);
    sidecar.until_ready(true);
    assert_eq!(Client::new(sidecar.inbound).get("/2"), Some((200, "application".into())));
    // It dies: not ready, and 503 at once instead of a wait.
    drop(stop);
    serving.join().expect("no panic");
    sidecar.until_ready(false);
    assert_eq!(Client::new(sidecar.inbound).get("/3").map(|(status, _)| status), Some(503));
    // What it calls is not touched by that.
    assert_eq!(Client::new(sidecar.calls).get("/4"), Some((200, "records".into())));
    // And it comes back.
    let (_stop, stopped) = channel::<()>();
    let _serving = serve_until(bound(application), stopped);
    sidecar.until_ready(true);
    assert_eq!(Client::new(sidecar.inbound).get("/5"), Some((200, "application".into())));
}

/// The address again, though connections of before may linger.
fn bound(at: SocketAddr) -> TcpListener {
    let end = Instant::now() + NEVER;
    loop {
        match TcpListener::bind(at) {
            Ok(listener) => return listener,
            Err(error) => assert!(Instant::now() < end, "{at}: {error}"),
        }
        std::thread::yield_now();
    }
}

/// Answers each request on a connection of its own until the sender is dropped; then nobody listens any more.
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
fn at_its_end_what_was_taken_is_answered_and_may_still_call_others() {
    let (application, records) = (Held::new(), Backend::new("records"));
    let mut sidecar = Sidecar::start(application.addr, &list(&records));
    sidecar.until_ready(true);
    let (inbound, calls) = (sidecar.inbound, sidecar.calls);
    let client = std::thread::spawn(move || Client::new(inbound).get("/taken"));
    let answer = application.asked.recv_timeout(NEVER).expect("it comes");
    assert_eq!(sidecar.admin("POST /drain"), (200, "leaving\n".into()));
    sidecar.until_ready(false);
    // The application, in the middle of the request, calls another through the sidecar that is leaving.
    assert_eq!(Client::new(calls).get("/out"), Some((200, "records".into())));
    answer.send("done".into()).expect("asked for");
    assert_eq!(client.join().expect("no panic"), Some((200, "done".into())));
    sidecar.program.line("inbound listener drained");
    assert!(sidecar.program.ends().success());
}

#[test]
fn the_application_is_sent_no_more_than_its_limit_and_an_id_may_be_handed_on() {
    let (application, records) = (Held::new(), Backend::new("records"));
    let sidecar = Sidecar::start(application.addr, &list(&records));
    sidecar.until_ready(true);
    let send = |to: SocketAddr, id: &str| {
        let mut stream = TcpStream::connect(to).expect("it listens");
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
        open.iter().map(|_| application.asked.recv_timeout(NEVER).expect("it comes")).collect();
    assert_eq!(status(&mut send(sidecar.inbound, "three")), "503", "a third at a time");
    assert_eq!(status(&mut send(sidecar.calls, "one")), "200", "the id of what it serves");
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
    answers.iter().for_each(|answer| answer.send("fine".into()).expect("asked for"));
    open.iter_mut().for_each(|stream| assert_eq!(status(stream), "200"));
}

#[test]
fn a_new_configuration_is_taken_in_as_far_as_it_can_be_and_a_bad_one_not_at_all() {
    let (application, records) = (Held::new(), Backend::new("records"));
    let sidecar = Sidecar::start(application.addr, &list(&records));
    sidecar.until_ready(true);
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
    let asked = || application.asked.recv_timeout(NEVER).expect("it comes");
    let mut answers = vec![asked(), asked()];
    assert_eq!(client().join().expect("no panic"), Some(503), "two at a time");
    for round in 0..50 {
        // Torn, bad, and valid with a key that waits for a start.
        reload(&text[..text.len() / 2]);
        sidecar.program.line("configuration reload rejected");
        reload(&text.replace("max_requests = 2", "max_requests = 0"));
        sidecar.program.line("configuration reload rejected");
        let most = 2 + round % 2;
        let other = text.replace("max_requests = 2", &format!("max_requests = {most}"));
        reload(&other.replace("attempts = 2", "attempts = 1"));
        sidecar.program.line("keys: outbound[records].attempts");
        sidecar.program.line("configuration reloaded");
    }
    // The last one allows three.
    open.push(client());
    answers.push(asked());
    assert_eq!(client().join().expect("no panic"), Some(503), "three at a time");
    answers.iter().for_each(|answer| answer.send("fine".into()).expect("asked for"));
    for client in open {
        assert_eq!(client.join().expect("no panic"), Some(200), "what was open is answered");
    }
}

#[test]
fn what_is_wrong_with_its_file_is_told_and_nothing_starts() {
    let path = fresh(".toml");
    std::fs::write(&path, "version = 1\nkind = \"proxy\"\nname = \"p\"\ntier = 0\nclasses = []\n")
        .expect("written");
    let run = |path: &std::path::Path| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_olivecart"));
        let run = program.arg("sidecar").arg("--config").arg(path).output().expect("it runs");
        (run.status.code(), String::from_utf8_lossy(&run.stderr).into_owned())
    };
    let (code, said) = run(&path);
    assert!(code == Some(1) && said.contains("error[OC0005]: the list is empty"), "{said}");
    let fleet =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet/fleet.toml");
    let (code, said) = run(&fleet);
    assert!(code == Some(1) && said.contains("kind = \"proxy\""), "{said}");
}
