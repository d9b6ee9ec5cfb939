//! A small scenario language for tests over sockets. Each line is one step: the actor, the verb and its arguments.
//!
//! ```text
//! c send POST /api X-Class=book | body     client c sends a request, on its open connection if it has one
//! a expect POST /api | body                waits for the next request that reaches backend a, and compares it
//! a send 200 | body                        backend a responds; `send raw TEXT` writes arbitrary bytes,
//!                                          `send chunk TEXT` one chunk
//! c expect 200 | body                      reads the client's response and compares it; NAME=* requires that
//!                                          a header is present, NAME= that it is absent
//! c expect started                         waits for the first byte of the client's response
//! c close                                  closes the connection; `expect closed` waits until the proxy does
//! proxy send TERM                          sends a signal to the proxy
//! proxy wait ready                         waits until the proxy is `ready`, for its successful `exit`, or for
//!                                          its end by `signal N`; `expect unready` waits until it is not ready
//! proxy expect log TEXT                    waits for a log line that contains the text
//! file send discovery=@moved               replaces an address in the configuration file; `send raw TEXT`
//!                                          replaces the whole file
//! disk list NAME cart=a,b/draining book=d  replaces a file of endpoints by a rename; `raw NAME TEXT` writes a
//!                                          file in place; `remove NAME`; `mkdir NAME`
//! plane list cart=a,b/draining             sets clusters of the xDS control plane; `cluster NAME` adds one
//!                                          without endpoints; `remove NAME`; `drop` closes its streams;
//!                                          `restart` also replaces all clusters; `expect TEXT .. TEXT` waits
//!                                          for a line of its journal
//! c repeat GET /x until a same             client c sends requests, which backend a answers with 200, until one
//!                                          arrives on the connection of a's last request before this step; the
//!                                          step fails if that connection is closed. `until a closed` repeats until
//!                                          it is closed, `until a another` until a request arrives on a connection
//!                                          of an earlier repetition; both fail if one arrives on that connection
//! console expect 200 POST /path BODY       sends a request to the admin server and compares the status
//! console wait NAME=VALUE NAME=VALUE       waits until the admin server reports all these statistics
//! ```
//!
//! Clients are `c`, `c2` and so on. Backends `a` and `b` answer health checks themselves; `a` is the preferred
//! endpoint. `a expect` with `on=same` or `on=new` requires the request to arrive on the same or a new connection.
//! Endpoint `x` is preferred to `a` and refuses connections. Connections to `latecomer` are not established before
//! `latecomer accept`; `latecomer expect POST / left=c` requires the deadline header to contain at most the time that
//! client `c` had left at that step, plus the slack. `a expect nothing` waits for the end of a connection on which no
//! request arrived. `discovery` and `moved` are scripted peers like the backends. No step sleeps: every wait is for
//! an event.

#![allow(dead_code)] // no test file uses all of it

pub mod http;
pub mod plane;
pub mod program;

pub use http::{Message, read_message};
use olivecart_lab::control_plane::Resources;
use plane::Plane;
use program::Program;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// The timeout of every wait, longer than any step takes on any machine; a test that reaches it has failed.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum by which the deadline header of an attempt may exceed the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

pub const SETTINGS: &str = r#"{"a-key-of-tomorrow":[1],"dcs":["z"],"zone":"z","me":0,"group-size":1,"tier":0,
"registry-mode":"automatic","granularity-ns":1000000,"accounts":[{"name":"t","share":1.0,"quota-per-s":100.0}],
"allowed":{"may-cancel":true,"probes":true,"max-attempts":3,"second-copies":false,"retry-after":true,
"max-retry-after-ns":2000000000,"connect-timeout-ns":2000000000,"idle-close-ns":60000000000},
"rules":{"must-ask-in-ns":10000000000},"report":{"names":["cpu"],"source":"answers"},"grades":[
{"name":"view","aim-ns":20000000000,"give-up-ns":50000000000,"effect":"repeatable"},
{"name":"book","aim-ns":20000000000,"give-up-ns":50000000000,"effect":"by_key","group":"cell","window-ns":10000000000}]}"#;

/// Runs a scenario with backends `a` and `b`, each in a separate cell.
pub fn play(text: &str) {
    play_with(&["a", "b"], SETTINGS, text);
}

/// Runs a scenario with these backends in the cached endpoint list, and these settings.
pub fn play_with(listed: &[&str], settings: &str, text: &str) {
    play_all(listed, settings, None, text);
}

/// Runs a scenario with an operators' file in the directory of the `disk` steps. In that file and those of the
/// steps, `@NAME` is replaced with a backend's address.
pub fn play_clusters(operators: &str, text: &str) {
    play_all(&["a", "b"], SETTINGS, Some(operators), text);
}

fn play_all(listed: &[&str], settings: &str, operators: Option<&str>, text: &str) {
    let console = text.contains("console ").then(free_port);
    let mut harness = Harness::start(listed, settings, operators, console);
    for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
        if let Err(error) = harness.step(line) {
            panic!("at `{line}`: {error}; log lines since: {:#?}", harness.program.lines());
        }
    }
}

/// Serves each connection on a separate thread until the process ends.
pub fn serve(connection: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    serve_at(listener, connection);
    addr
}

/// Serves each connection of a listener on a separate thread until the process ends.
pub fn serve_at(listener: TcpListener, connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let connection = Arc::new(connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let connection = connection.clone();
            std::thread::spawn(move || connection(stream));
        }
    });
}

/// Sends one request on a new connection and returns the response.
pub fn call_once(at: SocketAddr, first: &str, body: &str) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(STEP_TIMEOUT))?; // a process that hangs accepts and does not answer
    let length = body.len();
    let head =
        format!("{first} HTTP/1.1\r\nHost: p\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Compares a message with the arguments of an `expect` step.
fn compare(got: &Message, wanted: &Arguments) -> Result<(), String> {
    if !format!("{} ", got.first).starts_with(&format!("{} ", wanted.first)) {
        return Err(format!("got `{}` with {:?} | {}", got.first, got.headers, got.body));
    }
    for (name, value) in &wanted.headers {
        match got.headers.get(&name.to_lowercase()) {
            None if value.is_empty() => {}
            Some(got) if value == "*" || got == value => {}
            other => return Err(format!("header {name} is {other:?}")),
        }
    }
    match &wanted.body {
        Some(body) if *body != got.body => Err(format!("body is {:?}", got.body)),
        _ => Ok(()),
    }
}

/// The arguments of a step: words, NAME=VALUE headers, and a body after a bar.
struct Arguments {
    first: String,
    headers: Vec<(String, String)>,
    body: Option<String>,
}

impl Arguments {
    fn parse(text: &str) -> Arguments {
        let (head, body) = match text.split_once(" | ") {
            Some((head, body)) => (head, Some(unescape(body))),
            None => (text, None),
        };
        let is_header = |w: &&str| w.contains('=') && !w.starts_with('/');
        let (headers, words): (Vec<&str>, Vec<&str>) = head.split_whitespace().partition(is_header);
        let pair = |w: &str| w.split_once('=').map(|(n, v)| (n.to_owned(), v.to_owned()));
        Arguments { first: words.join(" "), headers: headers.into_iter().filter_map(pair).collect(), body }
    }

    fn header_lines(&self) -> String {
        let given = self.headers.iter().filter(|(_, v)| !v.is_empty());
        given.map(|(n, v)| format!("{n}: {v}\r\n")).collect()
    }
}

/// The deadline of a client's request, and the time when sending it started.
#[derive(Clone, Copy)]
struct SentDeadline {
    deadline: Duration,
    at: Instant,
}

/// Checks that the deadline header of an attempt contains no more time than its client had left when the
/// backend began to accept connections, which is before the head was written.
fn check_deadline(got: &Message, sent: SentDeadline, opened: Instant) -> Result<(), String> {
    let value = got.headers.get("x-deadline").and_then(|value| value.strip_suffix('u')?.parse().ok());
    let deadline = Duration::from_micros(value.ok_or("no deadline")?);
    let left = sent.deadline.saturating_sub(opened.duration_since(sent.at)) + DEADLINE_SLACK;
    if deadline <= left { Ok(()) } else { Err(format!("deadline is {deadline:?}, with {left:?} left")) }
}

fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

enum Arrival {
    Request(Message, u32, TcpStream),
    Closed(u32),
}

/// A scripted peer of the proxy.
struct Peer {
    addr: SocketAddr,
    arrivals: Receiver<Arrival>,
    /// Arrivals that no step has consumed yet.
    waiting: Vec<Arrival>,
    current: Option<(u32, TcpStream)>,
    /// Present while connections to this peer cannot be established.
    blocked: Option<BlockedListener>,
    /// When the peer began to accept connections.
    opened: Option<Instant>,
}

/// A listener whose accept queue is full, so that the system establishes no further connections.
struct BlockedListener {
    listener: TcpListener,
    /// The connection that fills the queue.
    queued: TcpStream,
}

impl BlockedListener {
    fn new() -> BlockedListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let queued = TcpStream::connect(listener.local_addr().expect("bound")).expect("queued");
        BlockedListener { listener, queued }
    }

    /// Accepts the queued connection, which frees the queue. Pending connections are established when the
    /// system next sends their SYN: within a second, if they have not waited longer.
    fn open(self) -> TcpListener {
        let (_, peer) = self.listener.accept().expect("the queued connection");
        assert_eq!(peer, self.queued.local_addr().expect("connected"));
        self.listener
    }
}

impl Peer {
    fn new() -> Peer {
        let ((sender, arrivals), numbers) = (channel(), AtomicU32::new(1));
        let addr = serve(move |stream| listen(stream, numbers.fetch_add(1, Ordering::Relaxed), &sender));
        Peer { addr, arrivals, waiting: Vec::new(), current: None, blocked: None, opened: None }
    }

    /// Creates a peer to which connections cannot be established before [`Peer::accept`].
    fn late() -> Peer {
        let blocked = BlockedListener::new();
        let addr = blocked.listener.local_addr().expect("bound");
        Peer {
            addr,
            arrivals: channel().1,
            waiting: Vec::new(),
            current: None,
            blocked: Some(blocked),
            opened: None,
        }
    }

    fn accept(&mut self) -> Result<(), String> {
        let ((sender, arrivals), numbers) = (channel(), AtomicU32::new(1));
        self.arrivals = arrivals;
        self.opened = Some(Instant::now());
        let listener = self.blocked.take().ok_or("already accepting")?.open();
        serve_at(listener, move |stream| listen(stream, numbers.fetch_add(1, Ordering::Relaxed), &sender));
        Ok(())
    }

    fn next<T>(
        &mut self,
        wanted: impl Fn(&Arrival) -> bool,
        take: impl Fn(Arrival) -> T,
    ) -> Result<T, String> {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(at) = self.waiting.iter().position(&wanted) {
                return Ok(take(self.waiting.remove(at)));
            }
            let left = end.saturating_duration_since(Instant::now());
            self.waiting.push(self.arrivals.recv_timeout(left).map_err(|_| "nothing arrived")?);
        }
    }

    /// Whether the end of a connection has arrived.
    fn is_closed(&mut self, number: u32) -> bool {
        self.waiting.extend(self.arrivals.try_iter());
        self.waiting.iter().any(|arrival| matches!(arrival, Arrival::Closed(closed) if *closed == number))
    }

    fn step(
        &mut self,
        verb: &str,
        rest: &str,
        deadlines: &HashMap<String, SentDeadline>,
    ) -> Result<(), String> {
        let (number, stream) = match &self.current {
            Some((number, stream)) => (*number, Some(stream)),
            None => (0, None),
        };
        match (verb, rest) {
            ("accept", "") => self.accept(),
            ("expect", "nothing") => match self.next(|_| true, |a| a)? {
                Arrival::Closed(_) => Ok(()),
                Arrival::Request(message, ..) => Err(format!("got `{}`", message.first)),
            },
            ("expect", "closed") => self.next(|a| matches!(a, Arrival::Closed(n) if *n == number), drop),
            ("expect", _) => {
                let request = self.next(|a| matches!(a, Arrival::Request(..)), |a| a)?;
                let Arrival::Request(message, number, stream) = request else { return Ok(()) };
                let before = self.current.replace((number, stream)).map(|(number, _)| number);
                let mut wanted = Arguments::parse(rest);
                if let Some(at) = wanted.headers.iter().position(|(name, _)| name == "on")
                    && (wanted.headers.remove(at).1 == "same") != (before == Some(number))
                {
                    return Err(format!("on connection {number} after {before:?}"));
                }
                if let Some(at) = wanted.headers.iter().position(|(name, _)| name == "left") {
                    let client = wanted.headers.remove(at).1;
                    let opened = self.opened.ok_or("not a late peer")?;
                    check_deadline(&message, *deadlines.get(&client).ok_or("no deadline")?, opened)?;
                }
                compare(&message, &wanted)
            }
            ("send", _) => {
                let text = match (rest.strip_prefix("raw "), rest.strip_prefix("chunk ")) {
                    (Some(raw), _) => unescape(raw),
                    (_, Some(chunk)) => format!("{:x}\r\n{}\r\n", unescape(chunk).len(), unescape(chunk)),
                    _ => {
                        let answer = Arguments::parse(rest);
                        let body = answer.body.clone().unwrap_or_default();
                        let (status, headers) = (&answer.first, answer.header_lines());
                        format!(
                            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}",
                            body.len()
                        )
                    }
                };
                let mut stream = stream.ok_or("no connection")?;
                stream.write_all(text.as_bytes()).map_err(|e| e.to_string())
            }
            ("close", _) => {
                stream.ok_or("no connection")?.shutdown(Shutdown::Both).map_err(|e| e.to_string())
            }
            _ => Err("no such step".into()),
        }
    }
}

/// Reads the requests on one connection of a peer and answers health checks.
fn listen(stream: TcpStream, number: u32, arrivals: &Sender<Arrival>) {
    let Ok(mut reader) = stream.try_clone().map(BufReader::new) else { return };
    while let Ok(Some(message)) = read_message(&mut reader) {
        let Ok(mut writer) = stream.try_clone() else { return };
        if message.first == "GET /health/live" {
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        } else if arrivals.send(Arrival::Request(message, number, writer)).is_err() {
            return;
        }
    }
    let _ = arrivals.send(Arrival::Closed(number));
}

/// The proxy with its scripted peers and clients.
struct Harness {
    program: Program,
    listen: SocketAddr,
    peers: HashMap<String, Peer>,
    clients: HashMap<String, BufReader<TcpStream>>,
    /// The deadlines of the clients that sent one in milliseconds.
    deadlines: HashMap<String, SentDeadline>,
    file: PathBuf,
    disk: PathBuf,
    /// Present if the operators' file refers to it.
    plane: Option<Plane>,
    /// Present if the scenario has `console` steps.
    console: Option<SocketAddr>,
}

/// Returns an address without a listener that no other test of this run uses: each process uses a loopback
/// address of its own. A port found free by binding it could be given to a peer of another test, which would then
/// answer in place of a program that has not started yet; and a child process that another test starts meanwhile
/// would keep the port bound until its exec.
pub fn free_port() -> SocketAddr {
    static NUMBER: AtomicU16 = AtomicU16::new(10_000);
    let [_, rest, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high, low, rest + 1], NUMBER.fetch_add(1, Ordering::Relaxed)))
}

/// Returns a path that nothing else in this run uses.
pub fn fresh(suffix: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let name = format!("{}-{}{suffix}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

pub fn config_file(text: &str) -> PathBuf {
    let path = fresh(".json");
    std::fs::write(&path, text).expect("written");
    path
}

/// Returns the text of a file of endpoints, from `CLUSTER=ID/STATE,ID` words. `at` returns the address of an id.
pub fn endpoints_file(words: &str, at: impl Fn(&str) -> String) -> String {
    let mut text = "version = 1\n".to_owned();
    for (cluster, ids) in words.split_whitespace().filter_map(|word| word.split_once('=')) {
        text += &format!("[[clusters]]\nname = \"{cluster}\"\n");
        text += if ids.is_empty() { "empty = true\n" } else { "" };
        for (cell, id) in ids.split(',').filter(|id| !id.is_empty()).enumerate() {
            let (id, state) = id.split_once('/').unwrap_or((id, "ready"));
            text += &format!("[[clusters.endpoints]]\nname = \"{id}-0\"\naddress = \"{}\"\n", at(id));
            text += &format!("state = \"{state}\"\nzone = \"z\"\ncell = {cell}\n");
        }
    }
    text + "[end]\n"
}

pub fn olivecart(command: &str, config: &Path) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_olivecart"));
    program.arg(command).env("EDGE_CONFIG", config);
    ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_CONSOLE", "OLIVECART_CLUSTERS"]
        .iter()
        .for_each(|name| _ = program.env_remove(name));
    program
}

impl Harness {
    fn start(
        listed: &[&str],
        settings: &str,
        operators: Option<&str>,
        console: Option<SocketAddr>,
    ) -> Harness {
        let names = ["a", "b", "d", "e", "discovery", "moved"];
        let mut peers: HashMap<_, _> = names.iter().map(|n| (n.to_string(), Peer::new())).collect();
        let late = listed.contains(&"latecomer");
        if late {
            peers.insert("latecomer".to_owned(), Peer::late());
        }
        let listen = free_port();
        let server = |(cell, name): (usize, &&str)| {
            let addr = peers.get(*name).map_or_else(free_port, |p| p.addr);
            format!(r#"{{"id":"{name}-0","addr":"{addr}","state":"ready","zone":"z","cell":{cell}}}"#)
        };
        let servers: Vec<_> = listed.iter().enumerate().map(server).collect();
        let config = config_file(&format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964","later":1,
            "limits":{{"sockets":256}},"known":{{"version":41,"full":true,"servers":[{}]}},"settings":{settings}}}"#,
            peers["discovery"].addr,
            servers.join(",")
        ));
        let mut program = olivecart("serve", &config);
        program.env("EDGE_DISCOVERY", peers["discovery"].addr.to_string());
        if late {
            program.env("OLIVECART_LOG", "debug"); // the start of a connection attempt is logged at this level
        }
        console.iter().for_each(|console| _ = program.env("EDGE_CONSOLE", console.to_string()));
        let disk = fresh("");
        let names_plane = operators.is_some_and(|text| text.contains("@plane"));
        let plane = names_plane.then(|| Plane::start(Resources::default()));
        if let Some(text) = operators {
            let address = plane.as_ref().map(|plane| plane.address().to_string()).unwrap_or_default();
            let text = text.replace("@plane", &address);
            std::fs::create_dir(&disk).expect("a directory");
            std::fs::write(disk.join("clusters.toml"), text).expect("written");
            program.env("OLIVECART_CLUSTERS", disk.join("clusters.toml"));
        }
        let program = Program::start(&mut program);
        let (clients, deadlines) = (HashMap::new(), HashMap::new());
        let harness =
            Harness { program, listen, peers, clients, deadlines, file: config, disk, plane, console };
        harness.wait_for_status("/health/live", "200").expect("the program starts");
        harness
    }

    /// Waits until the proxy responds to a path with a status.
    fn wait_for_status(&self, path: &str, status: &str) -> Result<(), String> {
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            let answer = call_once(self.listen, &format!("GET {path}"), "");
            if answer.is_ok_and(|message| message.first.starts_with(status)) {
                return Ok(());
            }
            std::thread::yield_now();
        }
        Err(format!("status {status} not received"))
    }

    fn step(&mut self, line: &str) -> Result<(), String> {
        let mut words = line.splitn(3, ' ');
        let (who, verb, rest) = (words.next(), words.next(), words.next().unwrap_or_default());
        let (who, verb) = (who.unwrap_or_default(), verb.unwrap_or_default());
        match (who, verb, rest) {
            ("proxy", "wait", "ready") => self.wait_for_status("/health/ready", "200"),
            ("proxy", "expect", "unready") => self.wait_for_status("/health/ready", "503"),
            ("proxy", "send", name) => {
                self.program.signal(name);
                Ok(())
            }
            ("proxy", "expect", _) if rest.starts_with("log ") => {
                self.program.line(&rest[4..]);
                Ok(())
            }
            ("file", "send", _) => {
                let old = std::fs::read_to_string(&self.file).map_err(|e| e.to_string())?;
                let text = match (rest.strip_prefix("raw "), rest.split_once("=@")) {
                    (Some(raw), _) => raw.to_owned(),
                    (_, Some((from, to))) => {
                        old.replace(&self.peers[from].addr.to_string(), &self.peers[to].addr.to_string())
                    }
                    _ => return Err("no such step".into()),
                };
                std::fs::write(&self.file, text).map_err(|e| e.to_string())
            }
            ("console", _, _) => self.admin_step(verb, rest),
            ("disk", _, _) => self.disk_step(verb, rest),
            ("plane", _, _) => {
                let Harness { plane, peers, .. } = self;
                plane.as_mut().ok_or("no control plane")?.step(verb, rest, |id| peers[id].addr)
            }
            ("proxy", "wait", "exit") => {
                let status = self.program.wait_for_exit();
                if status.success() { Ok(()) } else { Err(status.to_string()) }
            }
            ("proxy", "wait", _) if rest.starts_with("signal ") => {
                let status = self.program.wait_for_exit();
                let ended = status.signal().map(|signal| signal.to_string());
                if ended.as_deref() == Some(&rest[7..]) { Ok(()) } else { Err(status.to_string()) }
            }
            (_, "repeat", _) => self.repeat_step(who, rest),
            _ if self.peers.contains_key(who) => {
                let rest = self.insert_addresses(rest);
                self.peers.get_mut(who).ok_or("no such peer")?.step(verb, &rest, &self.deadlines)
            }
            _ if who.starts_with('c') => self.client_step(who, verb, rest),
            _ => Err("no such step".into()),
        }
    }

    /// Replaces `@NAME` with the address of the peer.
    fn insert_addresses(&self, text: &str) -> String {
        let at = |text: String, (name, peer): (&String, &Peer)| {
            text.replace(&format!("@{name}"), &peer.addr.to_string())
        };
        self.peers.iter().fold(text.to_owned(), at)
    }

    /// Sends requests until the connection of a peer's last request is used again or closed.
    fn repeat_step(&mut self, client: &str, rest: &str) -> Result<(), String> {
        let (request, until) = rest.split_once(" until ").ok_or("no condition")?;
        let (peer, condition) = until.split_once(' ').ok_or("no condition")?;
        let number = self.peers[peer].current.as_ref().ok_or("no connection")?.0;
        let mut opened = Vec::new();
        let end = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < end {
            self.client_step(client, "send", request)?;
            let peer = self.peers.get_mut(peer).ok_or("no such peer")?;
            peer.step("expect", request, &self.deadlines)?;
            peer.step("send", "200", &self.deadlines)?;
            let used = peer.current.as_ref().ok_or("no connection")?.0;
            let is_closed = peer.is_closed(number);
            self.client_step(client, "expect", "200")?;
            match condition {
                "same" if used == number => return Ok(()),
                "same" if is_closed => return Err(format!("connection {number} was closed")),
                "closed" | "another" if used == number => return Err(format!("on connection {number}")),
                "closed" if is_closed => return Ok(()),
                "another" if opened.contains(&used) => return Ok(()),
                "same" | "closed" | "another" => opened.push(used),
                _ => return Err("no such condition".into()),
            }
        }
        Err(format!("connection {number} is neither used nor closed"))
    }

    fn admin_step(&self, verb: &str, rest: &str) -> Result<(), String> {
        let at = self.console.ok_or("no console")?;
        let call = |first: &str, body: &str| call_once(at, first, body).map_err(|e| e.to_string());
        let words: Vec<&str> = rest.splitn(4, ' ').collect();
        match (verb, &words[..]) {
            ("expect", [status, method, path, body @ ..]) => {
                let answer = call(&format!("{method} {path}"), body.first().unwrap_or(&""))?;
                if answer.first.starts_with(status) {
                    Ok(())
                } else {
                    Err(format!("got {} | {}", answer.first, answer.body))
                }
            }
            ("wait", _) => {
                let end = Instant::now() + STEP_TIMEOUT;
                loop {
                    let text = call("GET /_vars", "")?.body;
                    let vars: Vec<&str> = text.lines().collect();
                    if rest.split_whitespace().all(|var| vars.contains(&format!("edge.{var}").as_str())) {
                        return Ok(());
                    }
                    if Instant::now() > end {
                        return Err(format!("timed out; last reported {vars:?}"));
                    }
                    std::thread::yield_now();
                }
            }
            _ => Err("no such step".into()),
        }
    }

    fn disk_step(&mut self, verb: &str, rest: &str) -> Result<(), String> {
        let (name, content) = rest.split_once(' ').unwrap_or((rest, ""));
        let path = self.disk.join(name);
        let done = match verb {
            "list" => {
                let text = endpoints_file(content, |id| self.peers[id].addr.to_string());
                let temporary = self.disk.join(".beside");
                std::fs::write(&temporary, text).and_then(|()| std::fs::rename(temporary, path))
            }
            "raw" => std::fs::write(path, unescape(&self.insert_addresses(content))),
            "remove" if path.is_dir() => std::fs::remove_dir(path),
            "remove" => std::fs::remove_file(path),
            "mkdir" => std::fs::create_dir(path),
            _ => return Err("no such step".into()),
        };
        done.map_err(|e| e.to_string())
    }

    fn client_step(&mut self, who: &str, verb: &str, rest: &str) -> Result<(), String> {
        let to_text = |e: std::io::Error| e.to_string();
        if verb == "send" && !self.clients.contains_key(who) {
            let stream = TcpStream::connect(self.listen).map_err(to_text)?;
            stream.set_read_timeout(Some(STEP_TIMEOUT)).map_err(to_text)?;
            self.clients.insert(who.to_owned(), BufReader::new(stream));
        }
        let connection = self.clients.get_mut(who).ok_or("not connected")?;
        match (verb, rest) {
            ("send", _) => {
                let text = match rest.strip_prefix("raw ") {
                    Some(raw) => unescape(raw),
                    None => request(Arguments::parse(rest)),
                };
                let deadline = rest.split_whitespace().find_map(|word| word.strip_prefix("X-Deadline="));
                if let Some(ms) = deadline.and_then(|text| text.strip_suffix('m')?.parse().ok()) {
                    let deadline = SentDeadline { deadline: Duration::from_millis(ms), at: Instant::now() };
                    self.deadlines.insert(who.to_owned(), deadline);
                }
                connection.get_mut().write_all(text.as_bytes()).map_err(to_text)
            }
            ("expect", "started") => connection.get_ref().peek(&mut [0; 1]).map(drop).map_err(to_text),
            ("expect", "closed") => match connection.read(&mut [0; 1]) {
                Ok(0) => self.clients.remove(who).map(drop).ok_or_else(String::new),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    self.clients.remove(who).map(drop).ok_or_else(String::new)
                }
                other => Err(format!("not closed: {other:?}")),
            },
            ("expect", _) => {
                let message = read_message(connection).map_err(to_text)?.ok_or("closed without an answer")?;
                compare(&message, &Arguments::parse(rest))
            }
            ("close", _) => self.clients.remove(who).map(drop).ok_or_else(String::new),
            _ => Err("no such step".into()),
        }
    }
}

/// Formats a client's request. Adds the headers that every request needs, unless they are given; a header given
/// as empty is left out.
fn request(mut wanted: Arguments) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    for (name, value) in [("Host", "api.internal"), ("X-Request-Id", &id), ("X-Class", "view")] {
        if !wanted.headers.iter().any(|(n, _)| n == name) {
            wanted.headers.push((name.into(), value.into()));
        }
    }
    let length = wanted.body.as_ref().map_or(String::new(), |b| format!("Content-Length: {}\r\n", b.len()));
    let (first, headers, body) = (&wanted.first, wanted.header_lines(), wanted.body.as_deref().unwrap_or(""));
    format!("{first} HTTP/1.1\r\n{headers}{length}\r\n{body}")
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.disk); // exists only with an operators' file
    }
}
