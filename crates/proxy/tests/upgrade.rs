//! Upgrades: the next process takes over from the one that serves, and nobody at the door notices.

mod scenario;
use scenario::{NEVER, SETTINGS, config_file, free_port, fresh, olivecart};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread::{JoinHandle, spawn};
use std::time::Instant;

/// Serves every call, and counts those that are no probes.
fn backend() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (addr, served) = (listener.local_addr().expect("bound"), Arc::new(AtomicUsize::new(0)));
    let count = served.clone();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(head) = head(&mut reader) {
                    count.fetch_add(usize::from(!head.starts_with("GET /health")), SeqCst);
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    (addr, served)
}

fn head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// What all processes of a test share: the clients' address, and the directory that outlives each of them.
struct Site {
    listen: SocketAddr,
    config: PathBuf,
    dir: PathBuf,
}

impl Site {
    fn new(backends: &[(&str, SocketAddr)]) -> Site {
        let (listen, discovery) = (free_port(), free_port());
        let server = |(id, addr): &(&str, SocketAddr)| {
            format!(r#"{{"id":"{id}","addr":"{addr}","state":"ready","zone":"z"}}"#)
        };
        let servers: Vec<String> = backends.iter().map(server).collect();
        let config = config_file(&format!(
            r#"{{"listen":"{listen}","discovery":"{discovery}","limits":{{"sockets":256}},
            "known":{{"version":1,"full":true,"servers":[{}]}},"settings":{SETTINGS}}}"#,
            servers.join(",")
        ));
        let dir = fresh("");
        std::fs::create_dir(&dir).expect("a directory");
        Site { listen, config, dir }
    }

    fn start(&self) -> Process {
        let console = free_port();
        let program = olivecart("serve", &self.config)
            .env("TMPDIR", &self.dir)
            .env("EDGE_CONSOLE", console.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        Process { program, console }
    }

    fn socket(&self) -> PathBuf {
        self.dir.join(format!("olivecart-{}-{}.sock", self.listen.ip(), self.listen.port()))
    }

    /// One request on a connection of its own.
    fn ask(&self, id: &str) -> String {
        let mut stream = TcpStream::connect(self.listen).expect("let in");
        call(&mut stream, id)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A request and its whole answer; the answer's head.
fn call(stream: &mut TcpStream, id: &str) -> String {
    let request = format!("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Class: view\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("read by somebody");
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let head = head(&mut reader).expect("an answer");
    reader.read_exact(&mut [0; 2]).expect("its body");
    head
}

struct Process {
    program: Child,
    console: SocketAddr,
}

impl Process {
    fn operator(&self, method: &str, path: &str, body: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.console) else { return String::new() };
        let length = body.len();
        let _ = write!(stream, "{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    fn waits_for(&self, what: &str, holds: impl Fn(&Process) -> bool) {
        let end = Instant::now() + NEVER;
        while !holds(self) {
            assert!(Instant::now() < end, "never: {what}");
            std::thread::yield_now();
        }
    }

    fn is_ready(&self) {
        self.waits_for("ready", |p| p.operator("GET", "/_ready", "").starts_with("HTTP/1.1 200"));
    }

    fn told(&self, figure: &str) {
        self.waits_for(figure, |p| p.operator("GET", "/_vars", "").lines().any(|line| line == figure));
    }

    fn signal(&self, name: &str) {
        let id = self.program.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    fn ends(mut self) {
        assert!(self.program.wait().expect("it ends").success());
    }

    fn logs(&mut self, text: &str) {
        let lines = BufReader::new(self.program.stderr.take().expect("piped")).lines();
        let mut lines = lines.map_while(Result::ok);
        assert!(lines.any(|line| line.contains(text)), "never logged: {text}");
        spawn(move || lines.for_each(drop));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill(); // ended already, in most tests
        let _ = self.program.wait();
    }
}

/// Clients that call until told to stop, on kept connections and on new ones, each request once.
fn crowd(listen: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<usize>> {
    let client = |n: usize| {
        let stop = stop.clone();
        spawn(move || {
            let (mut kept, mut answered) = (None, 0);
            while !stop.load(SeqCst) {
                let mut stream = kept.take().unwrap_or_else(|| TcpStream::connect(listen).expect("let in"));
                let head = call(&mut stream, &format!("{n}-{answered}"));
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                answered += 1;
                let closes = head.to_lowercase().contains("connection: close");
                kept = Some(stream).filter(|_| n.is_multiple_of(2) && !closes);
            }
            answered
        })
    };
    (0..8).map(client).collect()
}

#[test]
fn upgrades_one_after_another_lose_no_request_and_no_connection() {
    let (backend, served) = backend();
    let site = Site::new(&[("a", backend)]);
    let mut serving = site.start();
    serving.is_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = crowd(site.listen, &stop);
    for _ in 0..4 {
        let next = site.start();
        next.is_ready();
        serving.signal("-TERM");
        std::mem::replace(&mut serving, next).ends();
        let before = served.load(SeqCst);
        serving.waits_for("served by the next one alone", |_| served.load(SeqCst) > before + 20);
    }
    stop.store(true, SeqCst);
    let answered: usize =
        clients.into_iter().map(|client| client.join().expect("each was answered 200")).sum();
    assert_eq!(served.load(SeqCst), answered, "each ran once");
}

#[test]
fn what_is_out_by_hand_stays_so_and_calls_to_either_process_bind_both() {
    let ((a, served), (b, _)) = (backend(), backend());
    let site = Site::new(&[("a", a), ("b", b), ("c", b), ("d", b)]);
    let old = site.start();
    old.is_ready();
    let by_hand = |p: &Process, what: &str, id: &str| {
        let answer = p.operator("POST", &format!("/_backends/{what}"), &format!(r#"{{"target":"{id}"}}"#));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    by_hand(&old, "detach", "a");
    let new = site.start();
    new.told("edge.pool_ejected=1");
    by_hand(&new, "detach", "b");
    old.told("edge.pool_ejected=2");
    by_hand(&old, "detach", "c");
    new.told("edge.pool_ejected=3");
    by_hand(&new, "attach", "c");
    old.told("edge.pool_ejected=2");
    new.is_ready();
    old.signal("-TERM");
    old.ends();
    let before = served.load(SeqCst);
    for n in 0..20 {
        assert!(site.ask(&format!("r{n}")).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(served.load(SeqCst), before, "a is out");
}

#[test]
fn a_new_process_that_dies_changes_nothing() {
    let (a, _) = backend();
    let site = Site::new(&[("a", a)]);
    let mut old = site.start();
    old.is_ready();
    for ready in [false, true] {
        let mut new = site.start();
        if ready {
            new.is_ready();
            new.waits_for("accepted by it alone", |_| {
                site.ask("x");
                new.operator("GET", "/_vars", "").contains("edge.ok.view=1")
            });
        } else {
            new.logs("takes over");
        }
        new.signal("-KILL");
        let _ = new.program.wait();
        assert!(site.ask("y").starts_with("HTTP/1.1 200"));
    }
    old.logs("ended");
    let new = site.start();
    new.is_ready();
    old.signal("-TERM");
    old.ends();
    assert!(site.ask("z").starts_with("HTTP/1.1 200"));
}

#[test]
fn whatever_lies_in_the_directory_a_process_starts() {
    let (a, _) = backend();
    let stale = |path: &Path| drop(std::os::unix::net::UnixListener::bind(path).expect("bound"));
    let foreign = |path: &Path| std::fs::write(path, "{\"state\":").expect("written");
    let directory = |path: &Path| std::fs::create_dir(path).expect("made");
    // Somebody who answers, but in no words of ours, and gives no socket.
    let other_build = |path: &Path| {
        let listener = std::os::unix::net::UnixListener::bind(path).expect("bound");
        spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let _ = stream.write_all(b"{\"state\":{\"protocol\":99,\"out\":[],\"back\":{}}}\n");
            }
        });
    };
    let mute = |path: &Path| {
        let listener = std::os::unix::net::UnixListener::bind(path).expect("bound");
        spawn(move || listener.incoming().map_while(Result::ok).collect::<Vec<_>>());
    };
    let cases: [&dyn Fn(&Path); 5] = [&stale, &foreign, &directory, &other_build, &mute];
    for (n, lay) in cases.iter().enumerate() {
        let site = Site::new(&[("a", a)]);
        lay(&site.socket());
        let process = site.start();
        process.is_ready();
        assert!(site.ask("x").starts_with("HTTP/1.1 200"), "case {n}");
        if n == 2 {
            // No path to hand over at; the address is shared all the same.
            let next = site.start();
            next.is_ready();
        }
    }
}
