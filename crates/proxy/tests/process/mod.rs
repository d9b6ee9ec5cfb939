//! Whole processes with operators, backends that do as they are told, and clients that are not scripted: for what a
//! scenario of single steps can't show.

#![allow(dead_code)] // no test file uses all of it

use super::scenario::{NEVER, SETTINGS, config_file, free_port, fresh, olivecart};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Instant;

/// Head, with its blank line.
pub fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// A backend that does with each connection's calls what it is told, one thread each; probes are answered.
pub fn backend(answer: impl Fn(&mut BufReader<TcpStream>, &str) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (addr, answer) = (listener.local_addr().expect("bound"), Arc::new(answer));
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(head) = head(&mut reader) {
                    if head.starts_with("GET /health") {
                        serve(&mut reader);
                    } else {
                        answer(&mut reader, &head);
                    }
                }
            });
        }
    });
    addr
}

fn serve(reader: &mut BufReader<TcpStream>) {
    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

/// A backend that serves every call, and counts them.
pub fn counting() -> (SocketAddr, Arc<AtomicUsize>) {
    let served = Arc::new(AtomicUsize::new(0));
    let count = served.clone();
    let answer = move |reader: &mut BufReader<TcpStream>, _: &str| {
        count.fetch_add(1, SeqCst);
        serve(reader);
    };
    (backend(answer), served)
}

/// What all processes of a test share: the clients' address, and the directory that outlives each of them.
pub struct Site {
    pub listen: SocketAddr,
    config: PathBuf,
    dir: PathBuf,
}

impl Site {
    /// With 256 descriptors, so much memory, and these backends in the known list.
    pub fn new(memory_mb: usize, backends: &[(&str, SocketAddr)]) -> Site {
        let (listen, discovery) = (free_port(), free_port());
        let server = |(id, addr): &(&str, SocketAddr)| {
            format!(r#"{{"id":"{id}","addr":"{addr}","state":"ready","zone":"z","cell":1}}"#)
        };
        let servers: Vec<String> = backends.iter().map(server).collect();
        let config = config_file(&format!(
            r#"{{"listen":"{listen}","discovery":"{discovery}","limits":{{"sockets":256,"memory_mb":{memory_mb}}},
            "known":{{"version":1,"full":true,"servers":[{}]}},"settings":{SETTINGS}}}"#,
            servers.join(",")
        ));
        let dir = fresh("");
        std::fs::create_dir(&dir).expect("a directory");
        Site { listen, config, dir }
    }

    pub fn start(&self) -> Process {
        let console = free_port();
        let mut program = olivecart("serve", &self.config)
            .env("TMPDIR", &self.dir)
            .env("EDGE_CONSOLE", console.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let (lines, log) = channel();
        let said = BufReader::new(program.stderr.take().expect("piped"));
        // Read to the end, whether or not anybody asks for it.
        spawn(move || said.lines().map_while(Result::ok).for_each(|line| _ = lines.send(line)));
        Process { program, console, log }
    }

    pub fn socket(&self) -> PathBuf {
        self.dir.join(format!("olivecart-{}-{}.sock", self.listen.ip(), self.listen.port()))
    }

    /// One request on a connection of its own.
    pub fn ask(&self, id: &str) -> String {
        let mut stream = TcpStream::connect(self.listen).expect("let in");
        call(&mut stream, id).expect("an answer")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A request and its whole answer, of two bytes; the answer's head, if one comes.
pub fn call(stream: &mut TcpStream, id: &str) -> Option<String> {
    let request = format!("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Class: view\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let head = head(&mut reader)?;
    reader.read_exact(&mut [0; 2]).ok()?;
    Some(head)
}

pub struct Process {
    pub program: Child,
    console: SocketAddr,
    log: Receiver<String>,
}

impl Process {
    pub fn operator(&self, method: &str, path: &str, body: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.console) else { return String::new() };
        let _ = stream.set_read_timeout(Some(NEVER)); // bound, and not answered if its start hangs
        let length = body.len();
        let _ = write!(stream, "{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    pub fn waits_for(&self, what: &str, holds: impl Fn(&Process) -> bool) {
        let end = Instant::now() + NEVER;
        while !holds(self) {
            assert!(Instant::now() < end, "never: {what}");
            std::thread::yield_now();
        }
    }

    pub fn is_ready(&self) {
        self.waits_for("ready", |p| p.operator("GET", "/_ready", "").starts_with("HTTP/1.1 200"));
    }

    pub fn told(&self, figure: &str) {
        self.waits_for(figure, |p| p.operator("GET", "/_vars", "").lines().any(|line| line == figure));
    }

    pub fn signal(&self, name: &str) {
        let id = self.program.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    pub fn ends(&mut self) {
        assert!(self.program.wait().expect("it ends").success());
    }

    /// The next line of the log with a text in it.
    pub fn logs(&self, text: &str) -> String {
        let end = Instant::now() + NEVER;
        let next = || self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
        loop {
            let line = next().unwrap_or_else(|_| panic!("never logged: {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill(); // ended already, in most tests
        let _ = self.program.wait();
    }
}
