//! Load tests: backends that record when they get requests, clients that send requests continuously, and a proxy
//! that watches a file of endpoints. For behavior that a scenario of single steps cannot show.

#![allow(dead_code)] // no test file uses all of it

use super::scenario::{self, program::Program};
use super::scenario::{STEP_TIMEOUT, config_file, free_port, fresh, olivecart, read_message};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A backend that responds with its name.
pub struct Backend {
    pub addr: SocketAddr,
    log: Arc<RequestLog>,
}

#[derive(Default)]
struct RequestLog {
    calls: Mutex<Requests>,
    called: Condvar,
}

#[derive(Default)]
struct Requests {
    count: u64,
    /// Since when the backend should get no requests.
    stopped: Option<Instant>,
    /// How long after that the last request arrived.
    late: Option<Duration>,
}

impl Backend {
    pub fn new(name: &str) -> Backend {
        let log = Arc::<RequestLog>::default();
        let (name, noted) = (name.to_owned(), log.clone());
        let addr = scenario::serve(move |stream| serve(stream, &name, &noted));
        Backend { addr, log }
    }

    /// Sets whether the backend should get no requests from now on. Returns how long after the previous stop the
    /// last request arrived, or `None` if there was none.
    pub fn stop(&self, stop: bool) -> Option<Duration> {
        let mut calls = self.log.calls.lock().expect("no panic");
        calls.stopped = stop.then(Instant::now);
        calls.late.take()
    }

    pub fn calls(&self) -> u64 {
        self.log.calls.lock().expect("no panic").count
    }

    /// Waits until the backend has received more requests than this.
    pub fn wait_past(&self, count: u64) {
        let calls = self.log.calls.lock().expect("no panic");
        let few = |calls: &mut Requests| calls.count <= count;
        let (_calls, waited) =
            self.log.called.wait_timeout_while(calls, STEP_TIMEOUT, few).expect("no panic");
        assert!(!waited.timed_out(), "{} received no request", self.addr);
    }
}

fn serve(stream: TcpStream, name: &str, log: &RequestLog) {
    let Ok(mut reader) = stream.try_clone().map(BufReader::new) else { return };
    let mut writer = stream;
    while let Ok(Some(message)) = read_message(&mut reader) {
        let is_probe = message.first.starts_with("GET /health/");
        if !is_probe {
            let mut calls = log.calls.lock().expect("no panic");
            calls.count += 1;
            calls.late = calls.stopped.map(|at| at.elapsed()).or(calls.late);
            log.called.notify_all();
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{name}", name.len());
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A proxy with an operators' file, and `fleet.toml` with the endpoints in the same directory.
pub struct Proxy {
    pub program: Program,
    pub listen: SocketAddr,
    pub disk: PathBuf,
}

impl Proxy {
    pub fn start(operators: Option<&str>, settings: &str) -> Proxy {
        let (listen, disk) = (free_port(), fresh(""));
        let config = config_file(&format!(
            r#"{{"listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},"settings":{settings}}}"#,
            free_port()
        ));
        std::fs::create_dir(&disk).expect("a directory");
        let mut program = olivecart("serve", &config);
        if let Some(text) = operators {
            std::fs::write(disk.join("clusters.toml"), text).expect("written");
            program.arg("--clusters").arg(disk.join("clusters.toml"));
        }
        let proxy = Proxy { program: Program::start(&mut program), listen, disk };
        proxy.program.line("listening");
        proxy
    }

    /// Replaces `fleet.toml` by a rename.
    pub fn list(&self, text: &str) {
        let temporary = self.disk.join(".beside");
        std::fs::write(&temporary, text).expect("written");
        std::fs::rename(temporary, self.disk.join("fleet.toml")).expect("renamed");
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.disk);
    }
}

/// A client with one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
    /// The last response had `Connection: close`.
    pub closes: bool,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("connected");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        Client { stream: BufReader::new(stream), closes: false }
    }

    /// Sends a request and returns the status and body of the response, or `None` if the connection ended.
    pub fn call(&mut self) -> Option<(u16, String)> {
        self.get("/x")
    }

    pub fn get(&mut self, path: &str) -> Option<(u16, String)> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let id = NUMBER.fetch_add(1, SeqCst);
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{id}\r\nX-Class: view\r\n\r\n");
        self.stream.get_mut().write_all(text.as_bytes()).ok()?;
        let answer = read_message(&mut self.stream).ok()??;
        self.closes = answer.headers.get("connection").is_some_and(|value| value == "close");
        Some((answer.first.get(..3)?.parse().ok()?, answer.body))
    }
}

/// Clients that each send requests one after another until [`Load::end`].
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<BTreeMap<u16, u64>>>,
}

impl Load {
    pub fn start(to: SocketAddr, clients: usize) -> Load {
        let stop = Arc::<AtomicBool>::default();
        let client = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut client, mut tally) = (Client::new(to), BTreeMap::new());
                while !stop.load(SeqCst) {
                    match client.call() {
                        Some((status, _)) => *tally.entry(status).or_default() += 1,
                        None => client = Client::new(to),
                    }
                }
                tally
            })
        };
        let clients = (0..clients).map(client).collect();
        Load { stop, clients }
    }

    /// Stops the clients and returns the number of responses by status.
    pub fn end(self) -> BTreeMap<u16, u64> {
        self.stop.store(true, SeqCst);
        let mut sum = BTreeMap::new();
        for client in self.clients {
            for (status, n) in client.join().expect("no panic") {
                *sum.entry(status).or_default() += n;
            }
        }
        sum
    }
}
