//! A stand-in for a backend: accepts connections, reads one request at a time, and lets the case answer it.

use crate::http::{Message, Reader};
use crate::world::{End, World};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A request at a backend, and the connection that it came on.
pub struct Exchange<'a> {
    pub world: &'a Arc<World>,
    pub backend: &'a str,
    pub request: &'a Message,
    /// The index of the attempt in the record.
    pub attempt: usize,
    pub reader: &'a mut Reader,
    /// The number of requests that this backend got before.
    pub number: usize,
}

impl Exchange<'_> {
    pub fn id(&self) -> &str {
        self.request.header("x-request-id").unwrap_or("")
    }

    /// Works for a while. Returns false if the proxy closed the connection meanwhile; the attempt is over
    /// then.
    pub fn work(&mut self, time: Duration) -> bool {
        let closed = self.reader.closes_within(time);
        if closed {
            self.world.ended(self.attempt, End::Closed);
        }
        !closed
    }

    /// Writes bytes. Returns false if the connection has failed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        (&self.reader.stream).write_all(bytes).is_ok()
    }

    /// Records that the last byte of the answer was written.
    pub fn answered(&mut self, status: u16) {
        self.world.ended(self.attempt, End::Answered(status));
    }

    /// Writes an ordinary answer with a length and records it.
    pub fn answer(&mut self, status: u16, body: &[u8]) -> bool {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        let written = self.write(&[head.as_bytes(), body].concat());
        if written {
            self.answered(status);
        } else {
            self.world.ended(self.attempt, End::Closed);
        }
        written
    }
}

/// What a backend does with a request. Returns whether the connection stays open.
pub type Handler = dyn Fn(&mut Exchange) -> bool + Send + Sync;

/// Starts a backend on a free port and returns its address. `probes` tells whether it answers probes with
/// 200, as deployments do whose settings allow them.
pub fn start(name: &str, world: &Arc<World>, probes: bool, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (name, world) = (name.to_string(), world.clone());
    let count = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, world, handler, count) = (name.clone(), world.clone(), handler.clone(), count.clone());
            std::thread::spawn(move || serve(Reader::new(stream), &name, &world, probes, &*handler, &count));
        }
    });
    address
}

fn serve(
    mut reader: Reader,
    name: &str,
    world: &Arc<World>,
    probes: bool,
    handler: &Handler,
    count: &AtomicUsize,
) {
    loop {
        let until = Instant::now() + Duration::from_secs(100);
        let Ok(Some(mut request)) = reader.head(until) else { return };
        if reader.body(&mut request, false, until).is_err() || !request.whole {
            return world.note(format!("backend {name}: a request broke off before its last byte"));
        }
        if request.target() == "/health/live" {
            world.note(format!("backend {name}: probe"));
            let answer: &[u8] = if probes {
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            } else {
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
            };
            if (&reader.stream).write_all(answer).is_err() {
                return;
            }
            continue;
        }
        let id = request.header("x-request-id").unwrap_or("").to_string();
        let attempt = world.arrived(&id, name);
        let number = count.fetch_add(1, Ordering::SeqCst);
        let mut exchange =
            Exchange { world, backend: name, request: &request, attempt, reader: &mut reader, number };
        if !handler(&mut exchange) {
            return;
        }
    }
}
