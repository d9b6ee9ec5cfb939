//! What the cases share: a record, HTTP/1.1 messages, a discovery service, and the proxy as a process.
//!
//! Everything listens on loopback addresses and free ports. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

// The record.

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(case: &Path) {
    let file = File::create(case.join("record.txt")).expect("record.txt can be written");
    RECORD.set((Instant::now(), Mutex::new(file))).ok().expect("the record is opened once");
}

pub fn ms_now() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64() * 1e3)
}

pub fn record(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:10.1} ms  {line}", start.elapsed().as_secs_f64() * 1e3);
    }
}

#[macro_export]
macro_rules! note { ($($t:tt)*) => { $crate::record(&format!($($t)*)) } }

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// HTTP.

pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A connection with the bytes that were read ahead.
pub struct Peer {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        let _ = stream.set_nodelay(true);
        Peer { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Peer> {
        Ok(Peer::new(TcpStream::connect(to)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut space = [0; 16 * 1024];
        let read = self.stream.read(&mut space)?;
        self.buffer.extend_from_slice(&space[..read]);
        Ok(read)
    }

    /// Reads a head; `None` if the peer ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, head: &str) -> io::Result<Vec<u8>> {
        if header(head, "transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        let length = header(head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.read_head()? else { return Ok(None) };
        let body = self.read_body(&head)?;
        Ok(Some(Message { head, body }))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Bytes that this side has written and the other machine has not accepted yet (SIOCOUTQ).
    pub fn unaccepted(&self) -> i32 {
        use std::os::fd::AsRawFd;
        let mut bytes = 0i32;
        unsafe { ioctl(self.stream.as_raw_fd(), 0x5411, &mut bytes as *mut i32) };
        bytes
    }
}

pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own. `None` if there was no whole answer within the time.
pub fn call(to: SocketAddr, request: &str, within: Duration) -> Option<Message> {
    let mut peer = Peer::connect(to).ok()?;
    peer.stream.set_read_timeout(Some(within)).ok()?;
    peer.write(request.as_bytes()).ok()?;
    peer.read_message().ok()?
}

/// Listens on a free port and serves each connection on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// An address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address")
}

/// A small generator (xorshift); each has another start.
pub struct Random(u64);

impl Random {
    pub fn new() -> Random {
        static STARTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let start = STARTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1;
        Random(start.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn step(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn next(&mut self, range: std::ops::Range<u64>) -> u64 {
        range.start + self.step() % (range.end - range.start)
    }

    pub fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform = ((self.step() >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        Duration::from_secs_f64(-uniform.ln() * mean_ms / 1e3)
    }
}

impl Default for Random {
    fn default() -> Random {
        Random::new()
    }
}

// Discovery.

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub cell: u32,
    pub state: &'static str,
}

#[derive(Default)]
struct Registry {
    version: u64,
    /// Each server with the version at which it last changed.
    servers: BTreeMap<String, (Server, u64)>,
    /// Takes no new connection.
    closed: bool,
    /// Ends the open connections.
    ended: bool,
}

/// The discovery service: the whole list, and watches with an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    name: &'static str,
    registry: Arc<(Mutex<Registry>, Condvar)>,
}

impl Discovery {
    pub fn start(name: &'static str, first_version: u64, servers: &[Server]) -> Discovery {
        let entries = servers.iter().map(|s| (s.id.clone(), (s.clone(), first_version))).collect();
        let registry = Registry { version: first_version, servers: entries, ..Registry::default() };
        let registry = Arc::new((Mutex::new(registry), Condvar::new()));
        let shared = registry.clone();
        let address = listen(move |stream| {
            if !shared.0.lock().unwrap().closed {
                let _ = Discovery::serve(name, &shared, Peer::new(stream));
            }
        });
        Discovery { address, name, registry }
    }

    /// Changes the state of a server and tells it on all watches.
    pub fn set_state(&self, id: &str, state: &'static str) {
        let (registry, changed) = &*self.registry;
        let mut registry = registry.lock().unwrap();
        registry.version += 1;
        let version = registry.version;
        if let Some((server, at)) = registry.servers.get_mut(id) {
            (server.state, *at) = (state, version);
        }
        note!("{}: {id} is {state} from version {version} on", self.name);
        changed.notify_all();
    }

    /// From now on new connections are closed at once.
    pub fn close(&self) {
        self.registry.0.lock().unwrap().closed = true;
    }

    /// Ends the open connections.
    pub fn end(&self) {
        self.registry.0.lock().unwrap().ended = true;
        self.registry.1.notify_all();
    }

    pub fn list(&self) -> String {
        object(&self.registry.0.lock().unwrap(), 0, true)
    }

    fn serve(name: &str, shared: &(Mutex<Registry>, Condvar), mut peer: Peer) -> io::Result<()> {
        let (registry, changed) = shared;
        while let Some(request) = peer.read_message()? {
            let target = request.target().to_owned();
            if !target.contains("watch=1") {
                let list = object(&registry.lock().unwrap(), 0, true);
                note!("{name}: whole list told on {target}");
                peer.write(&answer("200 OK", "Content-Type: application/json\r\n", list.as_bytes()))?;
                continue;
            }
            let mut told: u64 =
                target.split("after=").nth(1).and_then(|v| v.split('&').next()?.parse().ok()).unwrap_or(0);
            peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            note!("{name}: watch opened after version {told}");
            let mut is_first = true;
            loop {
                let text = {
                    let mut guard = registry.lock().unwrap();
                    if !is_first && guard.version == told && !guard.ended {
                        guard = changed.wait_timeout(guard, Duration::from_secs(2)).unwrap().0;
                    }
                    if guard.ended {
                        return Ok(());
                    }
                    let text = if guard.version == told && !is_first {
                        "\n".to_owned()
                    } else {
                        let whole = told == 0 || told > guard.version;
                        let text = object(&guard, told, whole) + "\n";
                        if guard.version != told {
                            note!("{name}: watch tells version {}", guard.version);
                        }
                        text
                    };
                    (told, is_first) = (guard.version, false);
                    text
                };
                peer.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            }
        }
        Ok(())
    }
}

fn object(registry: &Registry, after: u64, whole: bool) -> String {
    let servers: Vec<String> = registry
        .servers
        .values()
        .filter(|(server, at)| if whole { server.state != "gone" } else { *at > after })
        .map(|(s, _)| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std","cell":{},"state":"{}","weight":1.0,"started_ms":0}}"#,
                s.id, s.addr, s.zone, s.cell, s.state
            )
        })
        .collect();
    format!(r#"{{"version":{},"full":{whole},"servers":[{}]}}"#, registry.version, servers.join(","))
}

// The proxy.

/// The settings of the wire page's example, for a proxy of the first tier.
pub const SETTINGS: &str = r#"{"accounts":[{"name":"lakeshore","quota-per-s":600.0,"share":0.5},{"name":"harbor-tongues","quota-per-s":600.0,"share":0.5}],
"allowed":{"connect-timeout-ns":250000000,"cpu-us-per-request":0.0,"cpu-us-per-s":800000,"idle-close-ns":30000000000,"max-attempts":6,"max-retry-after-ns":2000000000,"may-cancel":true,"most-held":20000,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":1},
"callers":{"marks-retry":false},"dcs":["duluth-room"],"extra":{"passes-deadline":false},"family":"chain",
"goal":{"whole":0.7,"worst-class":0.1,"worst-tenant":0.1,"worst-window":0.1},
"grades":[{"aim-ns":1500000000,"effect":"repeatable","give-up-ns":4000000000,"group":"all","late-worth":0.2,"name":"view-schedule","stream":false,"window-ns":5000000000,"worth":2.0},{"aim-ns":2500000000,"effect":"by_key","give-up-ns":6000000000,"group":"cell","late-worth":0.25,"name":"book-lesson","stream":false,"window-ns":10000000000,"worth":3.0}],
"granularity-ns":5000000,"group-size":1,"me":0,"over-share-worth":0.05,
"penalties":{"connection":0.08,"cross-zone":0.0,"handshake":0.08,"late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"registry-mode":0.0,"waste":0.05},
"registry-mode":"subscribe","report":{"names":["cpu","rps"],"source":"answers"},
"rules":{"cold-ns":18000000000,"cold-share":0.16,"drain-grace-ns":500000000,"fall-multiple":3.0,"fall-ns":3000000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":10000000000},
"shapes":["std"],"stages":["front","booking","records"],"tier":0,"weights":"nominal","worth-by":"request","zone":"duluth-room"}"#;

/// The settings of `more/mass/other/dakar-transferts.toml`, in the form of the wire page, for a proxy of its first tier.
pub const DAKAR_SETTINGS: &str = r#"{"accounts":[{"name":"caisse-diaspora","quota-per-s":600.0,"share":0.44},{"name":"reseau-touba","quota-per-s":400.0,"share":0.3},{"name":"mutuelle-kaolack","quota-per-s":200.0,"share":0.14},{"name":"agents-casamance","quota-per-s":160.0,"share":0.12}],
"allowed":{"connect-timeout-ns":75000000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"idle-close-ns":10000000000,"max-attempts":5,"max-retry-after-ns":2500000000,"may-cancel":true,"most-held":20000,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":true,"streams-per-conn":1},
"callers":{"marks-retry":true},"dcs":["dakar-plateau","dakar-almadies"],"extra":{"passes-deadline":false},"family":"chain",
"goal":{"whole":0.4,"worst-class":0.2,"worst-tenant":0.3,"worst-window":0.1},
"grades":[{"aim-ns":2000000000,"effect":"repeatable","give-up-ns":5000000000,"group":"all","late-worth":0.3,"name":"consulter","stream":false,"window-ns":5000000000,"worth":2.0},{"aim-ns":1000000000,"effect":"by_key","give-up-ns":2500000000,"group":"cell","late-worth":0.3,"name":"envoyer","stream":false,"window-ns":4000000000,"worth":5.0},{"aim-ns":800000000,"effect":"by_key","give-up-ns":2000000000,"group":"all","late-worth":0.5,"name":"payer","stream":false,"window-ns":3000000000,"worth":3.0},{"aim-ns":1200000000,"effect":"by_key","give-up-ns":3000000000,"group":"cell","late-worth":0.5,"name":"annuler","stream":false,"window-ns":5000000000,"worth":3.0}],
"granularity-ns":2000000,"group-size":1,"me":0,"over-share-worth":0.05,
"penalties":{"connection":0.0,"cross-zone":0.0,"handshake":0.02,"late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"registry-mode":0.005,"waste":0.04},
"registry-mode":"subscribe","report":{"names":[],"source":"none"},
"rules":{"cold-ns":8900000000,"cold-share":0.3,"drain-grace-ns":1000000000,"fall-multiple":3.0,"fall-ns":3000000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":6000000000},
"shapes":["std"],"stages":["guichet","registre"],"tier":0,"weights":"rough","worth-by":"request","zone":"dakar-plateau"}"#;

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.subsec_nanos());
        let path = std::env::temp_dir().join(format!("rv-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a proxy is told.
pub struct Told {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub console: Option<SocketAddr>,
    /// The configuration file.
    pub config: PathBuf,
    /// `$TMPDIR` of the process.
    pub folder: PathBuf,
    /// Where its log goes.
    pub log: PathBuf,
}

/// Writes a configuration file as a whole, in place of the one before.
pub fn write_config(path: &Path, listen: SocketAddr, discovery: SocketAddr, known: &str) {
    write_config_with(path, listen, discovery, known, SETTINGS, 192, 1024);
}

/// The same with other settings and limits.
pub fn write_config_with(
    path: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
    memory_mb: u64,
    sockets: usize,
) {
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    );
    let beside = path.with_extension("new");
    std::fs::write(&beside, text).expect("the configuration can be written");
    std::fs::rename(&beside, path).expect("the configuration can be replaced");
}

pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
}

/// The root of the repository: the folder above `review/`.
pub fn root(case: &Path) -> PathBuf {
    case.parent().and_then(Path::parent).expect("review/N lies in the repository").to_owned()
}

fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("`run` in the deploy file");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

impl Proxy {
    /// Starts `run` of the deploy file. Has to be called on the main thread, with which the proxy ends.
    pub fn start(root: &Path, told: &Told) -> Proxy {
        let log = File::options().create(true).append(true).open(&told.log).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("TMPDIR", &told.folder)
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", told.listen.to_string())
            .env("EDGE_DISCOVERY", told.discovery.to_string())
            .env("EDGE_CONFIG", &told.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        if let Some(console) = told.console {
            command.env("EDGE_CONSOLE", console.to_string());
        }
        // The proxy does not outlive this program, whatever ends it.
        unsafe { command.pre_exec(|| { prctl(1, SIGKILL as u64); Ok(()) }) };
        let child = command.spawn().expect("the proxy can be started");
        note!("proxy {} started: listens at {}, discovery {}", child.id(), told.listen, told.discovery);
        Proxy { child, listen: told.listen }
    }

    /// Waits until `GET /health/ready` has answered 200.
    pub fn wait_until_ready(&self) {
        wait_for("the proxy is ready", Duration::from_secs(20), || {
            let get = "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
            call(self.listen, get, Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
        });
        note!("proxy {} is ready", self.child.id());
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        note!("signal {signal} to proxy {}", self.child.id());
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(match (status.code(), status.signal()) {
            (Some(code), _) => format!("exit {code}"),
            (_, signal) => format!("signal {}", signal.unwrap_or(0)),
        })
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn wait_for(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < within, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn run_case(play: impl FnOnce(&Path) -> Result<(), String> + std::panic::UnwindSafe) -> ! {
    let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let case = case.canonicalize().expect("the folder of the case");
    open_record(&case);
    note!("TROUBLE={}", u8::from(trouble()));
    let code = match std::panic::catch_unwind(|| play(&case)) {
        Ok(Ok(())) => {
            note!("RULE HELD");
            println!("rule held");
            0
        }
        Ok(Err(broken)) => {
            note!("RULE BROKEN: {broken}");
            println!("rule broken: {broken}");
            1
        }
        Err(_) => {
            note!("COULD NOT RUN");
            println!("could not run");
            2
        }
    };
    std::process::exit(code)
}
