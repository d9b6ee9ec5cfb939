//! A stand-in for a client: one request at a time on a connection, which it keeps.

use crate::http::{Message, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client got.
#[derive(Clone, Debug)]
pub enum Answer {
    /// An answer, whole or visibly broken off.
    Got(Message),
    /// The connection ended without an answer.
    Closed,
    /// Nothing, until half a second after the request's time.
    Nothing,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Got(m) => format!(
                "{} with {} bytes, {}",
                m.status(),
                m.body.len(),
                if m.whole { "whole" } else { "broken off" }
            ),
            Answer::Closed => "connection closed without an answer".into(),
            Answer::Nothing => "no answer in time".into(),
        }
    }
}

pub struct Client {
    to: SocketAddr,
    connection: Option<Reader>,
}

/// A request of a client.
pub struct Request<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub deadline: Duration,
    /// `None` for a `GET`; the idempotency key and the body of a `POST`.
    pub post: Option<(Option<&'a str>, &'a [u8])>,
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.post.is_some() { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: acme\r\nX-Deadline: {}m\r\n",
            self.id,
            self.class,
            self.deadline.as_millis()
        );
        let mut body: &[u8] = &[];
        if let Some((key, bytes)) = self.post {
            if let Some(key) = key {
                head += &format!("Idempotency-Key: {key}\r\n");
            }
            head += &format!("Content-Length: {}\r\n", bytes.len());
            body = bytes;
        }
        [head.as_bytes(), b"\r\n", body].concat()
    }
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, connection: None }
    }

    /// Sends a request and waits for its answer, up to half a second after its time. With `beyond`, an answer
    /// that has begun is read for that much longer.
    pub fn send(&mut self, request: &Request, beyond: Duration) -> Answer {
        let bytes = request.bytes();
        let sent = match &mut self.connection {
            Some(reader) => (&reader.stream).write_all(&bytes),
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        if sent.is_err() {
            let Ok(stream) = TcpStream::connect(self.to) else { return Answer::Closed };
            let reader = Reader::new(stream);
            if (&reader.stream).write_all(&bytes).is_err() {
                return Answer::Closed;
            }
            self.connection = Some(reader);
        }
        let until = Instant::now() + request.deadline + Duration::from_millis(500);
        let Some(mut reader) = self.connection.take() else { return Answer::Closed };
        let mut answer = match reader.head(until) {
            Ok(Some(message)) => message,
            Ok(None) => return Answer::Closed,
            Err(e) if e.kind() == io::ErrorKind::TimedOut => return Answer::Nothing,
            Err(_) => return Answer::Closed,
        };
        let _ = reader.body(&mut answer, true, until + beyond);
        let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if answer.whole && !closes {
            self.connection = Some(reader);
        }
        Answer::Got(answer)
    }
}
