//! The project's proxy, started as the deploy file says.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// The settings of a case. `grades` are the classes, in the form of the settings object.
pub struct Settings<'a> {
    pub grades: &'a str,
    pub probes: bool,
    pub memory_mb: u32,
    pub sockets: u32,
}

fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a free port")
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let file = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = file.lines().find(|line| line.starts_with("run = ")).expect("a line `run`");
    line.split('"').nth(1).expect("a command").to_string()
}

impl Proxy {
    /// Starts a proxy and waits until it is ready.
    pub fn start(settings: &Settings, discovery: SocketAddr, known: &str) -> Result<Proxy, String> {
        let root = std::env::var_os("ROOT").map(PathBuf::from).ok_or("ROOT is not set")?;
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let address = free_address();
        let Settings { grades, probes, memory_mb, sockets } = settings;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},
            "settings":{{"accounts":[{{"name":"acme","quota-per-s":1000.0,"share":1.0}}],
            "allowed":{{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":6,
            "max-retry-after-ns":2000000000,"may-cancel":true,"most-held":20000,"probes":{probes},
            "retry-after":true,"second-copies":false,"streams-per-conn":1}},
            "dcs":["room"],"family":"chain","grades":[{grades}],"granularity-ns":5000000,"group-size":1,"me":0,
            "registry-mode":"subscribe","shapes":["std"],"stages":["front","booking"],"tier":0,"zone":"room",
            "weights":"nominal","worth-by":"request",
            "rules":{{"cold-ns":18000000000,"cold-share":0.16,"drain-grace-ns":500000000,"fall-multiple":3.0,
            "fall-ns":3000000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":10000000000}}}}}}"#
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&root))
            .current_dir(&root)
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &path)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let mut proxy = Proxy { child, address, folder };
        proxy.wait_until_ready().map(|()| proxy)
    }

    fn wait_until_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if !self.is_running() {
                return Err(format!("the proxy ended: {}", self.log()));
            }
            if let Ok(stream) = TcpStream::connect(self.address) {
                use std::io::Write;
                let mut reader = crate::http::Reader::new(stream);
                let _ = (&reader.stream).write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
                if let Ok(Some(head)) = reader.head(Instant::now() + Duration::from_secs(2))
                    && head.status() == 200
                {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the proxy was not ready within 30 s".into())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    /// A line of the process's status, such as `VmHWM`, in kB.
    pub fn status_kb(&self, key: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(key)).unwrap_or("").to_string();
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
