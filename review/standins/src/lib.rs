//! What the cases share: a record, HTTP/1.1 messages, a discovery service, and the proxy as a process.
//!
//! Everything listens on loopback addresses and free ports. Only the standard library is used.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

// The record.

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(case: &Path) {
    let file = File::create(case.join("record.txt")).expect("record.txt can be written");
    assert!(RECORD.set((Instant::now(), Mutex::new(file))).is_ok(), "the record is opened once");
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
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
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
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
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
}

/// The discovery service: the whole list, and watches with an empty line every 2 s. The list never changes.
pub struct Discovery {
    pub address: SocketAddr,
    /// The whole list.
    pub list: String,
}

impl Discovery {
    pub fn start(servers: &[Server]) -> Discovery {
        let entries: Vec<String> = servers
            .iter()
            .map(|s| {
                format!(
                    r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std","cell":{},"state":"ready","weight":1.0,"started_ms":0}}"#,
                    s.id, s.addr, s.zone, s.cell
                )
            })
            .collect();
        let list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, entries.join(","));
        let told = list.clone();
        let address = listen(move |stream| _ = Discovery::serve(&told, Peer::new(stream)));
        Discovery { address, list }
    }

    fn serve(list: &str, mut peer: Peer) -> io::Result<()> {
        while let Some(request) = peer.read_message()? {
            note!("discovery: {}", request.target());
            if !request.target().contains("watch=1") {
                peer.write(&answer("200 OK", "Content-Type: application/json\r\n", list.as_bytes()))?;
                continue;
            }
            peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let mut text = format!("{list}\n");
            loop {
                peer.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                text = "\n".into();
                thread::sleep(Duration::from_secs(2));
            }
        }
        Ok(())
    }
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

/// What the configuration of a proxy states.
pub struct Stated {
    pub settings: &'static str,
    pub memory_mb: u64,
    pub sockets: usize,
}

pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
    /// Its configuration, its `$TMPDIR` and its log.
    _folder: Folder,
}

/// The root of the repository: the folder above `review/`.
fn root(case: &Path) -> PathBuf {
    case.parent().and_then(Path::parent).expect("review/N lies in the repository").to_owned()
}

fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("`run` in the deploy file");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

impl Proxy {
    /// Starts `run` of the deploy file and waits until it is ready. Has to be called on the main thread, with which
    /// the proxy ends.
    pub fn start(case: &Path, discovery: &Discovery, stated: &Stated) -> Proxy {
        let (root, folder, listen) = (root(case), Folder::new(), free_address());
        let (temporary, config) = (folder.0.join("tmp"), folder.0.join("config.json"));
        std::fs::create_dir_all(&temporary).expect("a folder");
        let Stated { settings, memory_mb, sockets } = stated;
        let (address, known) = (discovery.address, &discovery.list);
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{address}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&config, text).expect("the configuration can be written");
        let log = File::create(folder.0.join("proxy.log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command(&root)])
            .current_dir(root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("TMPDIR", temporary)
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", address.to_string())
            .env("EDGE_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // The proxy does not outlive this program, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().expect("the proxy can be started");
        note!("proxy {} started: listens at {listen}, discovery {address}", child.id());
        let proxy = Proxy { child, listen, _folder: folder };
        proxy.wait_until_ready();
        proxy
    }

    /// Waits until `GET /health/ready` has answered 200.
    fn wait_until_ready(&self) {
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

/// A run may take 120 s.
const LONGEST_RUN: Duration = Duration::from_secs(100);

/// Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn run_case(play: impl FnOnce(&Path) -> Result<(), String> + std::panic::UnwindSafe) -> ! {
    let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let case = case.canonicalize().expect("the folder of the case");
    open_record(&case);
    note!("TROUBLE={}", u8::from(trouble()));
    // Whatever stands still, the run ends within its time; the proxy ends with this program.
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        note!("COULD NOT RUN: not over after {LONGEST_RUN:?}");
        std::process::exit(2);
    });
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
