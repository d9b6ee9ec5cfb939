//! Reading of HTTP/1.1 messages from a blocking socket.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message: the start line, the headers with lower-case names, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing announced.
    pub whole: bool,
    /// When the head was read whole.
    pub head_at: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A socket with the bytes that were read ahead on it.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// Whether bytes or the end of the stream wait to be read; used to see that the peer has closed.
    pub fn peer_has_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match seen {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits, and returns true at once when the peer closes.
    pub fn closes_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if self.peer_has_closed() {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            std::thread::sleep(left.min(Duration::from_millis(1)));
        }
    }

    /// Waits, and returns true if nothing arrives meanwhile: no byte of another request, and no close.
    pub fn is_quiet_for(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while self.buffer.is_empty() && self.nothing_waits() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_micros(200)));
        }
        false
    }

    fn nothing_waits(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self, until: Instant) -> io::Result<bool> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(timed_out());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 65536];
        match self.stream.read(&mut chunk) {
            Ok(n) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(n > 0)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(timed_out())
            }
            Err(e) => Err(e),
        }
    }

    /// Reads a line without its end, or `None` at the end of the stream.
    fn line(&mut self, until: Instant) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if !self.fill(until)? {
                return Ok(None);
            }
        }
    }

    /// Reads a head, without interim (1xx) responses. `None` if the stream ends before it.
    pub fn head(&mut self, until: Instant) -> io::Result<Option<Message>> {
        let Some(start) = self.line(until)? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line(until)? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        if message.start.starts_with("HTTP/") && (100..200).contains(&message.status()) {
            return self.head(until);
        }
        message.head_at = Some(Instant::now());
        Ok(Some(message))
    }

    /// Reads the body that the head of `message` announces. `is_response` tells whether a body without a
    /// length ends with the connection.
    pub fn body(&mut self, message: &mut Message, is_response: bool, until: Instant) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let Some(size) = self.line(until)? else { return Ok(()) };
                let size = size.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(()) };
                if !self.exactly(size, &mut message.body, until)? {
                    return Ok(());
                }
                let Some(_) = self.line(until)? else { return Ok(()) };
                if size == 0 {
                    message.whole = true;
                    return Ok(());
                }
            }
        }
        match message.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
            Some(length) => message.whole = self.exactly(length, &mut message.body, until)?,
            None if !is_response => message.whole = true,
            None => {
                while self.fill(until)? {}
                message.body = std::mem::take(&mut self.buffer);
                message.whole = true;
            }
        }
        Ok(())
    }

    fn exactly(&mut self, mut size: usize, into: &mut Vec<u8>, until: Instant) -> io::Result<bool> {
        while size > 0 {
            if self.buffer.is_empty() {
                match self.fill(until) {
                    Ok(true) => {}
                    Ok(false) => return Ok(false),
                    Err(e) if e.kind() == io::ErrorKind::TimedOut => return Err(e),
                    Err(_) => return Ok(false),
                }
            }
            let n = size.min(self.buffer.len());
            into.extend(self.buffer.drain(..n));
            size -= n;
        }
        Ok(true)
    }
}
