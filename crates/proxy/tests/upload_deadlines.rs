//! Tests of the time of long requests: it runs from the last byte at the proxy's machine, also while the proxy can't
//! read that byte because its backend takes no more.

mod scenario;
mod site;
use scenario::{STEP_TIMEOUT, serve_at};
use site::{Process, Site, generous_settings};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 64;
/// How long clients wait after their last byte.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// A response may be this much later than the deadline (STANDING), and limits are longer by 50 ms.
const GRACE: Duration = Duration::from_millis(550);
/// What clients write at once.
const PIECE_BYTES: usize = 32 * 1024;
/// The segments of the backends, which make the buffers between the proxy and each of them small or less small.
const SEGMENT_BYTES: [u32; 8] = [536, 2_000, 4_000, 8_000, 12_000, 16_000, 24_000, 32_000];
const SMALL_BUFFER_BYTES: usize = 4 * 1024;
/// A body that is not at the proxy's machine after this time is longer than all buffers on its way.
const TAKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
}

/// How a backend reads a request's body.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// Nothing, or this many bytes and no more.
    Part(usize),
    /// This many bytes after each pause, to the end.
    Slowly(usize, Duration),
}

fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Starts a backend that reads bodies in one way, and answers once it has read to the end.
fn backend(reading: Reading, segment_bytes: u32) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    if !matches!(reading, Reading::Slowly(bytes, _) if bytes >= PIECE_BYTES) {
        // The system gives connections with small segments small buffers, so that a part of a body lies unread at
        // the proxy.
        socket.set_tcp_mss(segment_bytes).expect("set");
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("set");
    }
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(64).expect("it listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("bound");
    serve_at(listener, move |mut stream| {
        let mut reader = BufReader::with_capacity(1_024, stream.try_clone().expect("cloned"));
        while let Some(head) = read_head(&mut reader) {
            if !head.starts_with("GET /health") && !read_body(&mut reader, &head, reading) {
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    addr
}

/// Waits, without reading, until the proxy gives the connection up.
fn wait_for_reset(stream: &TcpStream) {
    let end = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < end && stream.take_error().is_ok_and(|error| error.is_none()) {
        sleep(Duration::from_millis(20));
    }
}

/// Reads a body. Returns whether it ended.
fn read_body(reader: &mut BufReader<TcpStream>, head: &str, reading: Reading) -> bool {
    let length = head
        .to_lowercase()
        .split_once("content-length: ")
        .and_then(|(_, rest)| rest.lines().next()?.parse::<usize>().ok());
    let (mut received, mut tail) = (0, Vec::new());
    let mut left_of_piece = 0;
    loop {
        if left_of_piece == 0 {
            left_of_piece = match reading {
                Reading::Part(bytes) if received >= bytes => {
                    wait_for_reset(reader.get_ref());
                    return false;
                }
                Reading::Part(bytes) => bytes - received,
                Reading::Slowly(bytes, pause) => {
                    sleep(pause);
                    bytes
                }
            };
        }
        let left = length.map_or(usize::MAX, |length| length - received);
        let mut bytes = vec![0; left_of_piece.min(left)];
        let Ok(read @ 1..) = reader.read(&mut bytes) else { return false };
        (received, left_of_piece) = (received + read, left_of_piece - read);
        tail.extend_from_slice(&bytes[..read]);
        tail.drain(..tail.len().saturating_sub(5));
        if length.map_or(tail == b"0\r\n\r\n", |length| received == length) {
            return true;
        }
    }
}

struct Proxy {
    site: Site,
    process: Process,
}

/// Starts a proxy with backends of one kind, so many that no request waits for one.
fn proxy(reading: Reading) -> Proxy {
    proxy_with(&generous_settings(), reading)
}

fn proxy_with(settings: &str, reading: Reading) -> Proxy {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let addresses = SEGMENT_BYTES.map(|segment_bytes| backend(reading, segment_bytes));
    let backends: Vec<(&str, SocketAddr)> = names.into_iter().zip(addresses).collect();
    let site = Site::with(settings, MEMORY_MB, &backends);
    let process = site.start_ready();
    Proxy { site, process }
}

/// How a request ended for its client.
struct Ended {
    /// The length of its body.
    length: usize,
    /// The status, or 0 if the connection ended without one.
    status: u32,
    /// The time from the last byte at the proxy's machine to the response; `None` if that byte did not get there.
    took: Option<Duration>,
}

/// The two ends of a connection.
struct Ends {
    local: SocketAddr,
    peer: SocketAddr,
}

impl Ends {
    /// Whether all that the local side has written is at the other side's machine.
    fn all_is_acknowledged(&self) -> bool {
        let text = |addr: SocketAddr| match addr {
            SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
            SocketAddr::V6(_) => panic!("IPv4 only"),
        };
        let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
        let wanted = format!("{} {} 01 ", text(self.local), text(self.peer)); // 01: the connection is open
        let line = table.lines().find(|line| line.contains(&wanted));
        let queue = line.and_then(|line| line.split_whitespace().nth(4)?.split(':').next());
        queue.is_some_and(|queue| u64::from_str_radix(queue, 16) == Ok(0))
    }
}

/// Sends a request with a body of this length, with a pause after each piece, and waits for its response. Gives up if the
/// proxy's machine does not take the body for `patience`.
fn send(listen: SocketAddr, framing: Framing, length: usize, pause: Duration, patience: Duration) -> Ended {
    let mut stream = TcpStream::connect(listen).expect("connected");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
    stream.set_write_timeout(Some(patience)).expect("set");
    let (local, peer) = (stream.local_addr().expect("bound"), stream.peer_addr().expect("connected"));
    let ends = Ends { local, peer };
    let field = match framing {
        Framing::Length => format!("Content-Length: {length}"),
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
    };
    let deadline = DEADLINE.as_millis();
    let head = format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: {framing:?}{length}\r\nX-Class: view\r\nX-Deadline: {deadline}m\r\n{field}\r\n\r\n"
    );
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let written = stream.write_all(head.as_bytes()).and_then(|()| {
        let mut left = length;
        while left > 0 {
            let piece = vec![b'x'; left.min(PIECE_BYTES)];
            left -= piece.len();
            match framing {
                Framing::Length => stream.write_all(&piece)?,
                Framing::Chunks => {
                    let size = format!("{:x}\r\n", piece.len());
                    stream.write_all(&[size.as_bytes(), &piece, b"\r\n"].concat())?;
                }
            }
            sleep(pause);
        }
        if framing == Framing::Chunks { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
    });
    let end = Instant::now() + patience;
    let mut is_taken = written.is_ok() && ends.all_is_acknowledged();
    while written.is_ok() && !is_taken && Instant::now() < end {
        std::thread::yield_now();
        is_taken = ends.all_is_acknowledged();
    }
    let taken_at = Instant::now();
    if !is_taken {
        return Ended { length, status: 0, took: None };
    }
    let head = read_head(&mut reader).unwrap_or_default();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ended { length, status, took: Some(taken_at.elapsed()) }
}

/// Sends requests of many lengths at once.
fn send_all_lengths(listen: SocketAddr, framing: Framing) -> Vec<JoinHandle<Ended>> {
    // Longer than what the proxy reads ahead, so that a part lies unread there.
    let lengths = [265_000, 280_000, 300_000, 320_000, 340_000, 360_000, 380_000, 400_000];
    let start = |length| spawn(move || send(listen, framing, length, Duration::ZERO, TAKEN_TIMEOUT));
    lengths.map(start).into()
}

/// Checks that each request whose last byte is at the proxy's machine has a response in time.
fn check_all_in_time(clients: Vec<JoinHandle<Ended>>) {
    let mut taken = 0;
    for client in clients {
        let Ended { length, status, took } = client.join().expect("no panic");
        let Some(took) = took else { continue }; // longer than all buffers
        taken += 1;
        println!("{length} bytes: {status} after {took:?}");
        assert!([502, 503, 504].contains(&status), "{length} bytes: {status} after {took:?}");
        assert!(took < DEADLINE + GRACE, "{length} bytes: {status} after {took:?}");
    }
    assert!(taken >= 2, "{taken} bodies fit into the buffers");
}

fn check_hanging_backend(reading: Reading, framing: Framing) {
    let proxy = proxy(reading);
    check_all_in_time(send_all_lengths(proxy.site.listen, framing));
}

/// Guards against review case 10: a request to a backend that hangs was answered 7 s after its time, because the proxy
/// had not read its last byte.
#[test]
fn request_with_a_length_is_answered_in_time_whatever_its_backend_reads() {
    check_hanging_backend(Reading::Part(0), Framing::Length);
    check_hanging_backend(Reading::Part(100_000), Framing::Length);
}

#[test]
fn request_in_chunks_is_answered_in_time_whatever_its_backend_reads() {
    check_hanging_backend(Reading::Part(0), Framing::Chunks);
    check_hanging_backend(Reading::Part(100_000), Framing::Chunks);
}

/// Guards against a backend that takes a little at a time, which counted as progress without end.
#[test]
fn request_is_answered_in_time_while_its_backend_reads_a_little_at_a_time() {
    let little = Reading::Slowly(1_000, Duration::from_millis(50));
    for framing in [Framing::Length, Framing::Chunks] {
        check_hanging_backend(little, framing);
    }
}

/// Guards against two attempts of a request, of which neither reads its body, and whose time never begins.
#[test]
fn request_that_may_be_hedged_is_answered_in_time() {
    let settings = generous_settings().replace("\"second-copies\":false", "\"second-copies\":true");
    let proxy = proxy_with(&settings, Reading::Part(0));
    check_all_in_time(send_all_lengths(proxy.site.listen, Framing::Length));
}

/// Guards against requests that are lost when a process ends, or is replaced, while their bodies lie unread.
#[test]
fn request_is_answered_in_time_across_a_shutdown_and_an_upgrade() {
    for is_upgrade in [false, true] {
        let mut proxy = proxy(Reading::Part(0));
        let clients = send_all_lengths(proxy.site.listen, Framing::Length);
        proxy.process.wait_until("requests in flight", |process| {
            let vars = process.admin_request("GET /_vars", "");
            let active = vars.lines().find_map(|line| line.strip_prefix("edge.active="));
            active.is_some_and(|active| active.parse::<u32>().is_ok_and(|active| active >= 4))
        });
        let _successor = is_upgrade.then(|| proxy.site.start_ready());
        proxy.process.program.signal("TERM");
        check_all_in_time(clients);
        assert!(proxy.process.program.wait_for_exit().success());
    }
}

/// Guards against a clock that runs while a client still sends, or while a slow backend keeps reading.
#[test]
fn honest_slow_uploads_are_served() {
    let fast = proxy(Reading::Slowly(256 * 1024, Duration::ZERO));
    let slow = proxy(Reading::Slowly(256 * 1024, Duration::from_millis(40)));
    let mut clients = Vec::new();
    for framing in [Framing::Length, Framing::Chunks] {
        let (fast, slow) = (fast.site.listen, slow.site.listen);
        // Two and a half times the deadline: a client that sends slowly, and a backend that reads slowly.
        clients.push((
            "slow client",
            framing,
            spawn(move || send(fast, framing, 32 * PIECE_BYTES, Duration::from_millis(160), STEP_TIMEOUT)),
        ));
        clients.push((
            "one pause",
            framing,
            spawn(move || send(fast, framing, 10 * PIECE_BYTES, Duration::from_millis(700), STEP_TIMEOUT)),
        ));
        clients.push((
            "slow backend",
            framing,
            spawn(move || send(slow, framing, 900 * PIECE_BYTES, Duration::ZERO, STEP_TIMEOUT)),
        ));
    }
    for (name, framing, client) in clients {
        let Ended { status, took, .. } = client.join().expect("no panic");
        assert_eq!(status, 200, "{name}, {framing:?}, {took:?}");
    }
}
