//! A backend's second copy of an answer arrives on a kept connection when the next request has been written.
use review_standins::*;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// One way between the proxy and the backends, which are in another zone: 2.8 to 5.2 ms (`cross_ms`).
const LINK_DELAY: Duration = Duration::from_millis(4);
/// "A second answer may come some milliseconds late."
const SECOND_COPY_AFTER: Duration = Duration::from_millis(7);
/// One answer in so many has a second copy, unless another request waits.
const ONE_IN: u64 = 20;
const SERVERS: usize = 10;
/// The work of the first tier: 43% of 220 to 390 ms and of 99 to 170 ms.
const LOOKUP_MS: std::ops::Range<u64> = 95..168;
const PAYMENT_MS: std::ops::Range<u64> = 43..73;
const CLIENTS: usize = 24;
/// The mean time from an answer to the next request of a client.
const THINK_MS: f64 = 20.0;
const PLAY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    copies: AtomicU64,
    held_back: AtomicU64,
}

/// What the backends answered 200 to, by request id.
type Made = Arc<Mutex<BTreeMap<String, Vec<Vec<u8>>>>>;

fn serve_backend(name: &str, stream: TcpStream, made: &Made, counts: &Counts) -> std::io::Result<()> {
    let (mut peer, mut random) = (Peer::new(stream), Random::new());
    while let Some(request) = peer.read_message()? {
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            peer.write(&answer("200 OK", "", b""))?; // a probe
            continue;
        };
        let work = if request.head.starts_with("GET") { LOOKUP_MS } else { PAYMENT_MS };
        thread::sleep(Duration::from_millis(random.next(work)));
        let body = format!("answer to {id}, made by {name}\n").into_bytes();
        made.lock().unwrap().entry(id.clone()).or_default().push(body.clone());
        let bytes = answer("200 OK", "", &body);
        note!("{name}: 200 to {id}");
        peer.write(&bytes)?;
        if counts.answers.fetch_add(1, SeqCst) % ONE_IN != ONE_IN - 1 || !trouble() {
            continue;
        }
        // Only while nothing else waits on the connection: a byte of another request calls it off.
        thread::sleep(SECOND_COPY_AFTER);
        let mut byte = [0; 1];
        peer.stream.set_nonblocking(true)?;
        let waiting = peer.stream.peek(&mut byte);
        peer.stream.set_nonblocking(false)?;
        match waiting {
            Ok(_) => _ = counts.held_back.fetch_add(1, SeqCst),
            Err(_) => {
                note!("{name}: second copy of the answer to {id}");
                counts.copies.fetch_add(1, SeqCst);
                peer.write(&bytes)?;
            }
        }
    }
    Ok(())
}

/// Passes on what comes from one side to the other, later.
fn delay(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut space = [0; 16 * 1024];
        while let Ok(read) = from.read(&mut space) {
            if sender.send((Instant::now() + LINK_DELAY, space[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, bytes) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || std::io::Write::write_all(&mut to, &bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

/// A link with the delay of another zone in front of a backend.
fn link(to: SocketAddr) -> SocketAddr {
    listen(move |near| {
        let Ok(far) = TcpStream::connect(to) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let copies = (near.try_clone().expect("a copy"), far.try_clone().expect("a copy"));
        delay(near, copies.1);
        delay(far, copies.0);
    })
}

fn play(case: &Path) -> Result<(), String> {
    let (made, counts): (Made, Arc<Counts>) = Default::default();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let id = format!("s-{number}");
            let (name, made, counts) = (id.clone(), made.clone(), counts.clone());
            let backend = listen(move |stream| _ = serve_backend(&name, stream, &made, &counts));
            Server { id, addr: link(backend), zone: "dakar-almadies", cell: number as u32 / 5 }
        })
        .collect();
    let discovery = Discovery::start(&servers);
    let stated = Stated { settings: DAKAR_SETTINGS, memory_mb: 192, sockets: 1024 };
    let mut proxy = Proxy::start(case, &discovery, &stated);

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16, Vec<u8>)>>> = Default::default();
    let listen = proxy.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || run_client(client, listen, &stop, &answers))
        })
        .collect();
    thread::sleep(PLAY);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    if let Some(end) = proxy.ended() {
        return Err(format!("the proxy has ended: {end}"));
    }

    let (made, answers) = (made.lock().unwrap(), answers.lock().unwrap());
    let served = answers.iter().filter(|(_, status, _)| *status == 200).count();
    let (copies, held_back) = (counts.copies.load(SeqCst), counts.held_back.load(SeqCst));
    note!("sent {}, served {served}, second copies {copies}, called off {held_back}", answers.len());
    assert!(served > 200, "too few requests were served: {served}");
    // A 200 has to be the body of a backend's 200 answer to this request, unchanged.
    let foreign: Vec<_> = answers
        .iter()
        .filter(|(id, status, body)| *status == 200 && !made.get(id).is_some_and(|own| own.contains(body)))
        .collect();
    for (id, _, body) in &foreign {
        let own: Vec<_> = made
            .get(id)
            .into_iter()
            .flatten()
            .map(|own| String::from_utf8_lossy(own).trim().to_owned())
            .collect();
        note!("FOREIGN: {id} was served \"{}\"; made for it: {own:?}", String::from_utf8_lossy(body).trim());
    }
    match foreign.len() {
        0 => Ok(()),
        n => Err(format!(
            "{n} of {served} served requests got the answer to another one, after {copies} second copies"
        )),
    }
}

fn run_client(
    client: usize,
    to: SocketAddr,
    stop: &AtomicBool,
    answers: &Mutex<Vec<(String, u16, Vec<u8>)>>,
) {
    let (mut peer, mut random): (Option<Peer>, Random) = (None, Random::new());
    thread::sleep(random.exponential(THINK_MS));
    for number in 0.. {
        if stop.load(SeqCst) {
            return;
        }
        let mut open = match peer.take() {
            Some(open) => open,
            None => {
                let open = Peer::connect(to).expect("the proxy accepts");
                open.stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
                open
            }
        };
        let id = format!("c{client}-{number}");
        // More than half of the 2 s of a payment and of the 5 s of a lookup.
        let deadline = if number % 3 == 0 { 1500 } else { 3000 };
        let tenant = ["caisse-diaspora", "reseau-touba", "mutuelle-kaolack", "agents-casamance"][client % 4];
        let common = format!(
            "Host: api.internal\r\nX-Request-Id: {id}\r\nX-Tenant: {tenant}\r\nX-Deadline: {deadline}m\r\n"
        );
        // A third of the requests are payments.
        let request = match number % 3 {
            0 => format!(
                "POST /api HTTP/1.1\r\n{common}X-Class: payer\r\nIdempotency-Key: key-{id}\r\nContent-Length: 10\r\n\r\npay {number:06}"
            ),
            _ => format!("GET /api HTTP/1.1\r\n{common}X-Class: consulter\r\n\r\n"),
        };
        note!("client {client}: sends {id}");
        let answered = open.write(request.as_bytes()).and_then(|()| open.read_message());
        match answered {
            Ok(Some(message)) => {
                note!("client {client}: {id} got {}", message.status());
                let closes = message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                answers.lock().unwrap().push((id, message.status(), message.body));
                if !closes {
                    peer = Some(open);
                }
            }
            _ => {
                note!("client {client}: {id} got no answer");
                answers.lock().unwrap().push((id, 0, Vec::new()));
            }
        }
        thread::sleep(random.exponential(THINK_MS));
    }
}

fn main() {
    run_case(play)
}
