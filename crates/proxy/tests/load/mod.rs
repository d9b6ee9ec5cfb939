//! Clients and backends that send and read bodies of any length, framing and pace, and the memory of the process
//! between them.

#![allow(dead_code)] // no test file uses all of it

use super::scenario::{STEP_TIMEOUT, serve};
use super::site::Process;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep, spawn, yield_now};
use std::time::Duration;

/// The most bytes that a peer reads with one call.
const MAX_READ_BYTES: usize = 256 * 1024;

/// How a peer writes or reads.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The bytes of one call.
    pub piece: usize,
    /// The pause after each call.
    pub pause: Duration,
}

impl Pace {
    pub const FULL_SPEED: Pace = Pace { piece: 64 * 1024, pause: Duration::ZERO };

    fn to_words(self) -> String {
        format!("{} {}", self.piece, self.pause.as_micros())
    }

    fn wait(self) {
        if !self.pause.is_zero() {
            sleep(self.pause);
        }
    }
}

/// A peer that reads at a pace, over all chunks of a body.
struct PacedReader {
    pace: Pace,
    /// The bytes since the last pause.
    read_bytes: usize,
    buffer: Vec<u8>,
}

impl PacedReader {
    fn new(pace: Pace) -> PacedReader {
        PacedReader { pace, read_bytes: 0, buffer: vec![0; pace.piece.min(MAX_READ_BYTES)] }
    }

    fn read(&mut self, from: &mut impl Read, length: usize) -> io::Result<()> {
        let mut left = length;
        while left > 0 {
            let piece = self.buffer.len().min(left);
            from.read_exact(&mut self.buffer[..piece])?;
            left -= piece;
            self.read_bytes += piece;
            if self.read_bytes >= self.pace.piece {
                self.read_bytes = 0;
                self.pace.wait();
            }
        }
        Ok(())
    }
}

/// A body and how it is written.
#[derive(Clone, Copy, Debug)]
pub struct BodyPlan {
    pub bytes: usize,
    pub chunked: bool,
    pub pace: Pace,
}

impl BodyPlan {
    /// A body with a length, written at full speed.
    pub fn fast(bytes: usize) -> BodyPlan {
        BodyPlan { bytes, chunked: false, pace: Pace::FULL_SPEED }
    }

    fn framing(&self) -> String {
        if self.chunked {
            "Transfer-Encoding: chunked\r\n".into()
        } else {
            format!("Content-Length: {}\r\n", self.bytes)
        }
    }

    /// Writes a head and the body. The first piece goes with the head.
    fn write(&self, head: &str, to: &mut impl Write) -> io::Result<()> {
        let filler = vec![b'x'; self.pace.piece.min(self.bytes)];
        let mut text = format!("{head}{}\r\n", self.framing()).into_bytes();
        let mut left = self.bytes;
        while left > 0 {
            let piece = &filler[..filler.len().min(left)];
            if self.chunked {
                text.extend(format!("{:x}\r\n", piece.len()).bytes());
            }
            text.extend_from_slice(piece);
            text.extend(if self.chunked { "\r\n" } else { "" }.bytes());
            to.write_all(&text)?;
            text.clear();
            left -= piece.len();
            self.pace.wait();
        }
        text.extend(if self.chunked { "0\r\n\r\n" } else { "" }.bytes());
        to.write_all(&text)
    }
}

/// A request, and how both peers treat it and its response.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    pub request: BodyPlan,
    pub response: BodyPlan,
    pub backend_reads: Pace,
    pub client_reads: Pace,
}

impl Exchange {
    /// Bodies with a length, sent and read at full speed.
    pub fn fast(request_bytes: usize, response_bytes: usize) -> Exchange {
        Exchange {
            request: BodyPlan::fast(request_bytes),
            response: BodyPlan::fast(response_bytes),
            backend_reads: Pace::FULL_SPEED,
            client_reads: Pace::FULL_SPEED,
        }
    }

    fn header_lines(&self) -> String {
        let BodyPlan { bytes, chunked, pace } = self.response;
        let (writes, reads) = (pace.to_words(), self.backend_reads.to_words());
        format!("X-Respond: {bytes} {} {writes}\r\nX-Read: {reads}\r\n", u8::from(chunked))
    }
}

/// A message that was read to its end.
struct Message {
    head: String,
    body_bytes: usize,
}

impl Message {
    /// The numbers in a header.
    fn numbers(head: &str, name: &str) -> Vec<usize> {
        let value = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        let numbers = value.into_iter().flat_map(|value| value.split(' ').map(str::parse));
        numbers.map(|number| number.expect("a number")).collect()
    }

    /// Reads a message. `None` if the connection ends before it.
    fn read(from: &mut BufReader<TcpStream>, pace: impl FnOnce(&str) -> Pace) -> io::Result<Option<Message>> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if from.read_line(&mut head)? == 0 {
                return if head.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
        let mut reader = PacedReader::new(pace(&head));
        let lower = head.to_lowercase();
        let body_bytes = if lower.contains("\r\ntransfer-encoding: chunked") {
            let mut all = 0;
            loop {
                let mut line = String::new();
                from.read_line(&mut line)?;
                let chunk = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::UnexpectedEof)?;
                reader.read(from, chunk + 2)?;
                all += chunk;
                if chunk == 0 {
                    break all;
                }
            }
        } else {
            let length = Message::numbers(&lower, "content-length").first().copied().unwrap_or(0);
            reader.read(from, length)?;
            length
        };
        Ok(Some(Message { head, body_bytes }))
    }
}

/// Starts a backend that reads each request to its end and answers it, both as the request's headers say.
pub fn backend() -> SocketAddr {
    serve(|stream| {
        let mut reader = BufReader::new(stream);
        let read_pace = |head: &str| match Message::numbers(head, "x-read")[..] {
            [piece, pause] => Pace { piece, pause: Duration::from_micros(pause as u64) },
            _ => Pace::FULL_SPEED,
        };
        while let Ok(Some(message)) = Message::read(&mut reader, read_pace) {
            let response = match Message::numbers(&message.head, "x-respond")[..] {
                [bytes, chunked, piece, pause] => BodyPlan {
                    bytes,
                    chunked: chunked == 1,
                    pace: Pace { piece, pause: Duration::from_micros(pause as u64) },
                },
                _ => BodyPlan::fast(2), // a health check
            };
            if response.write("HTTP/1.1 200 OK\r\n", reader.get_mut()).is_err() {
                return; // the proxy gave up on the response
            }
        }
    })
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole response of a backend.
    Served,
    /// A refusal that may be tried again.
    Refused,
    /// Another response of the proxy.
    Failed(u16),
    /// A response that began and broke off.
    BrokenOff,
    /// No response.
    Unanswered,
}

/// A client with a connection that it keeps.
pub struct LoadClient {
    to: SocketAddr,
    link: Option<BufReader<TcpStream>>,
}

impl LoadClient {
    pub fn new(to: SocketAddr) -> LoadClient {
        LoadClient { to, link: None }
    }

    /// Sends a request and reads its response.
    pub fn send(&mut self, id: &str, exchange: &Exchange) -> Ending {
        let kept = self.link.take().filter(|link| !is_closed(link.get_ref()));
        let mut link = kept.unwrap_or_else(|| {
            let stream = TcpStream::connect(self.to).expect("connected");
            stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
            BufReader::new(stream)
        });
        let head = format!(
            "POST / HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nx-class: view\r\n{}",
            exchange.header_lines()
        );
        // A proxy that refuses the request stops reading it.
        let _ = exchange.request.write(&head, link.get_mut());
        let mut has_begun = false;
        let message = Message::read(&mut link, |_| {
            has_begun = true;
            exchange.client_reads
        });
        match message {
            Ok(Some(message)) => {
                let status = message.head.split(' ').nth(1).and_then(|status| status.parse().ok());
                if !message.head.to_lowercase().contains("connection: close") {
                    self.link = Some(link);
                }
                match status.expect("a status") {
                    200 if message.body_bytes == exchange.response.bytes => Ending::Served,
                    200 => Ending::BrokenOff,
                    503 => Ending::Refused,
                    other => Ending::Failed(other),
                }
            }
            Ok(None) | Err(_) if has_begun => Ending::BrokenOff,
            Ok(None) | Err(_) => Ending::Unanswered,
        }
    }
}

/// Whether the other end has closed an idle connection.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("set");
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Samples the memory of a process.
pub struct MemoryWatch {
    stop: Arc<AtomicBool>,
    watching: JoinHandle<usize>,
}

impl MemoryWatch {
    pub fn start(process: &Process) -> MemoryWatch {
        let (process, stop) = (process.program.id(), Arc::new(AtomicBool::new(false)));
        let stopped = stop.clone();
        let watching = spawn(move || {
            let mut peak = 0;
            while !stopped.load(SeqCst) {
                peak = peak.max(resident_bytes(process).expect("it runs"));
                yield_now();
            }
            peak
        });
        MemoryWatch { stop, watching }
    }

    /// Returns the most anonymous resident memory of the process so far, in bytes.
    pub fn stop(self) -> usize {
        self.stop.store(true, SeqCst);
        self.watching.join().expect("the process ran")
    }
}

/// The resident memory of a process without its program, in bytes. `None` if it has ended.
pub fn resident_bytes(process: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let kilobytes = |name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().split(' ').next()?.parse::<usize>().ok()
    };
    Some((kilobytes("RssAnon:")? + kilobytes("RssShmem:")?) * 1024)
}
