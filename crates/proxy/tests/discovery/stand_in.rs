//! A stand-in of the discovery service that answers each request from a script.

use super::scenario::{STEP_TIMEOUT, read_message};
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The interval between the repeated parts of a response.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The response to a request.
#[derive(Clone)]
pub enum Answer {
    /// Exactly these bytes.
    Raw(&'static str, End),
    /// The head of a valid response, and this text as its first chunk.
    Lines(String, End),
}

/// What follows the first part of a response.
#[derive(Clone, Copy)]
pub enum End {
    /// Nothing.
    Silence,
    /// Nothing, and a reset when the stand-in stops.
    Reset,
    /// This text as a chunk, repeatedly.
    Repeats(&'static str),
    /// Empty lines, the keep-alive of a valid watch.
    KeepAlives,
}

impl Answer {
    pub fn lines(text: &str, end: End) -> Answer {
        Answer::Lines(text.into(), end)
    }
}

pub struct Discovery {
    pub addr: SocketAddr,
    calls: Receiver<String>,
    closed: Receiver<()>,
    stop: Arc<AtomicBool>,
}

struct Script {
    next: Mutex<VecDeque<Answer>>,
    last: Answer,
    calls: Mutex<Sender<String>>,
    closed: Mutex<Sender<()>>,
    stop: Arc<AtomicBool>,
}

impl Discovery {
    /// Starts a stand-in that answers the first requests with `first`, and all others with `last`.
    pub fn start(first: Vec<Answer>, last: Answer) -> Discovery {
        Discovery::listen(TcpListener::bind("127.0.0.1:0").expect("a port"), first, last)
    }

    /// Same as [`Discovery::start`], at an unused address.
    pub fn start_at(at: SocketAddr, first: Vec<Answer>, last: Answer) -> Discovery {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            match TcpListener::bind(at) {
                Ok(listener) => return Discovery::listen(listener, first, last),
                Err(e) => assert!(Instant::now() < end, "{at}: {e}"),
            }
        }
    }

    fn listen(listener: TcpListener, first: Vec<Answer>, last: Answer) -> Discovery {
        let ((calls, called), (closed, was_closed), stop) =
            (channel(), channel(), Arc::<AtomicBool>::default());
        let addr = listener.local_addr().expect("bound");
        let (next, calls, closed) = (Mutex::new(first.into()), Mutex::new(calls), Mutex::new(closed));
        let script = Arc::new(Script { next, last, calls, closed, stop: stop.clone() });
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if script.stop.load(Ordering::SeqCst) {
                    return;
                }
                let script = script.clone();
                std::thread::spawn(move || _ = script.answer(stream));
            }
        });
        Discovery { addr, calls: called, closed: was_closed, stop }
    }

    /// Waits for the next request and returns its first line.
    pub fn call(&self) -> String {
        self.calls.recv_timeout(STEP_TIMEOUT).expect("a request")
    }

    /// Waits until the proxy has closed a connection.
    pub fn closed(&self) {
        self.closed.recv_timeout(STEP_TIMEOUT).expect("a closed connection");
    }
}

impl Drop for Discovery {
    /// Stops listening.
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr); // wakes the accept loop
    }
}

impl Script {
    fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let Some(call) = read_message(&mut BufReader::new(stream.try_clone()?))? else { return Ok(()) };
        let answer = self.next.lock().expect("no panic").pop_front().unwrap_or_else(|| self.last.clone());
        let (text, end) = match answer {
            Answer::Raw(text, end) => (text.into(), end),
            Answer::Lines(text, end) => {
                (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&text)), end)
            }
        };
        let _ = self.calls.lock().expect("no panic").send(call.first);
        stream.set_nodelay(true)?;
        stream.write_all(text.as_bytes())?;
        stream.set_read_timeout(Some(REPEAT_INTERVAL))?;
        let mut rest = [0; 64];
        while !self.stop.load(Ordering::SeqCst) {
            match stream.read(&mut rest) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => match end {
                    End::Repeats(text) => stream.write_all(chunk(text).as_bytes())?,
                    End::KeepAlives => stream.write_all(chunk("\n").as_bytes())?,
                    _ => {}
                },
                Ok(n) if n > 0 => {}
                _ => break,
            }
        }
        if let End::Reset = end {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        let _ = self.closed.lock().expect("no panic").send(());
        Ok(())
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
