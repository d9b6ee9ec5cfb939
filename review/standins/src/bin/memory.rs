//! Long request bodies, more at once than memory holds. The platform kills the proxy over its limit on memory.
use review_standins::*;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The configuration states 32 to 192 MB and 256 to 1,024 descriptors; these are of a day that the bench played.
const MEMORY_MB: u64 = 48;
const SOCKETS: usize = 576;
/// Clients hold at most a third of the descriptors for requests.
const CLIENTS: usize = SOCKETS / 3;
/// Bodies are up to 32 MB long.
const LONG_BODY: usize = 1_000_000;
const SHORT_BODY: usize = 1_000;
const WORK: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(3);
/// Each client begins so much later than the one before.
const STAGGER: Duration = Duration::from_millis(6);
const ROUNDS: usize = 3;

fn serve_backend(stream: TcpStream, arrived: &AtomicUsize) -> std::io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(request) = peer.read_message()? {
        let Some(id) = request.header("x-request-id") else {
            peer.write(&answer("200 OK", "", b""))?; // a probe
            continue;
        };
        arrived.fetch_add(1, SeqCst);
        thread::sleep(WORK);
        peer.write(&answer("200 OK", "", format!("done {id}\n").as_bytes()))?;
    }
    Ok(())
}

/// What the process holds of its own, in kB: `RssAnon`, which counts neither its program nor other files.
fn memory_of(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("RssAnon:")?.trim().split(' ').next()?.parse().ok())
}

fn book(to: SocketAddr, peer: &mut Option<Peer>, id: &str, body: &[u8]) -> std::io::Result<u16> {
    let mut open = match peer.take() {
        Some(open) => open,
        None => Peer::connect(to)?,
    };
    open.stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(2)))?;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: book-lesson\r\nX-Tenant: lakeshore\r\nX-Deadline: {}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    open.write(head.as_bytes())?;
    open.write(body)?;
    let answer = open.read_message()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if !answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        *peer = Some(open);
    }
    Ok(answer.status())
}

fn play(case: &Path) -> Result<(), String> {
    let arrived = Arc::new(AtomicUsize::new(0));
    let servers: Vec<Server> = (0..12)
        .map(|number| {
            let arrived = arrived.clone();
            let addr = listen(move |stream| _ = serve_backend(stream, &arrived));
            Server { id: format!("s-{number}"), addr, zone: "duluth-room", cell: number / 4 }
        })
        .collect();
    let discovery = Discovery::start(&servers);
    let stated = Stated { settings: SETTINGS, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let mut proxy = Proxy::start(case, &discovery, &stated);
    let pid = proxy.pid();
    note!("at rest the proxy holds {} kB", memory_of(pid).expect("its memory can be read"));

    // Each client sends one request at a time on its connection, some 160 a second, three times over.
    let body_bytes = if trouble() { LONG_BODY } else { SHORT_BODY };
    note!("{CLIENTS} clients send bodies of {body_bytes} bytes");
    let start = Arc::new(Barrier::new(CLIENTS));
    let body = Arc::new(vec![b'x'; body_bytes]);
    let answers: Arc<Mutex<Vec<(String, Result<u16, String>)>>> = Default::default();
    let done = Arc::new(AtomicUsize::new(0));
    let killed = Arc::new(AtomicBool::new(false));
    for client in 0..CLIENTS {
        let (start, body, answers, done, killed) =
            (start.clone(), body.clone(), answers.clone(), done.clone(), killed.clone());
        let to = proxy.listen;
        thread::spawn(move || {
            let mut peer = None;
            for round in 0..ROUNDS {
                start.wait();
                if killed.load(SeqCst) {
                    break;
                }
                thread::sleep(STAGGER * client as u32);
                let id = format!("r{round}-{client}");
                let result = book(to, &mut peer, &id, &body).map_err(|e| e.to_string());
                answers.lock().unwrap().push((id, result));
                start.wait();
                thread::sleep(Duration::from_millis(500));
            }
            done.fetch_add(1, SeqCst);
        });
    }
    // The platform: it kills the proxy that is over its limit. A megabyte is taken as 1,024 kB.
    let (limit, mut peak, since) = (MEMORY_MB * 1024, 0, Instant::now());
    while done.load(SeqCst) < CLIENTS && proxy.ended().is_none() && since.elapsed() < Duration::from_secs(60)
    {
        if let Some(held) = memory_of(pid) {
            peak = peak.max(held);
            if held > limit {
                note!("the proxy holds {held} kB, over its limit of {limit} kB: the platform kills it");
                killed.store(true, SeqCst);
                proxy.signal(SIGKILL);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    let end = proxy.ended();
    thread::sleep(Duration::from_millis(300)); // the clients notice
    let answers = answers.lock().unwrap();
    for (id, result) in answers.iter() {
        note!("{id}: {result:?}");
    }
    let of = |status: u16| answers.iter().filter(|(_, r)| *r == Ok(status)).count();
    let without = answers.iter().filter(|(_, r)| r.is_err()).count();
    note!(
        "peak {peak} kB of {limit} kB; 200: {}, 503: {}, no answer: {without}; arrived at backends: {}",
        of(200),
        of(503),
        arrived.load(SeqCst)
    );
    match (end, killed.load(SeqCst)) {
        (Some(_), true) => Err(format!(
            "killed for memory ({peak} kB held, limit {limit} kB); {without} requests without an answer"
        )),
        (Some(end), false) => Err(format!("the proxy has ended by itself: {end}")),
        (None, _) => {
            assert!(done.load(SeqCst) == CLIENTS, "the clients end in time");
            Ok(())
        }
    }
}

fn main() {
    run_case(play)
}
