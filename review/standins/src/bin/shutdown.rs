//! A planned restart while half of the backends hang, with requests whose body is long.
use review_standins::*;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The whole time that the client waits, as `X-Deadline` tells it: half of the 6 s of a booking.
const DEADLINE: Duration = Duration::from_secs(3);
/// SIGKILL comes no sooner than the longest deadline (3 s where it is longer) and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// On sockets every time limit is longer by this.
const SLACK: Duration = Duration::from_millis(50);
/// The requests are sent so long after SIGTERM; those that arrive within 0.7 s are not counted.
const SEND_AFTER: Duration = Duration::from_secs(1);
/// Half of them have a long body, half a short one.
const CLIENTS: usize = 16;
const LONG_BODY: usize = 300 * 1024;
const SHORT_BODY: usize = 2 * 1024;
const SERVERS: usize = 4;

fn serve_backend(name: &str, stream: TcpStream, hangs: &AtomicBool) -> std::io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(request) = peer.read_message()? {
        let Some(id) = request.header("x-request-id") else {
            peer.write(&answer("200 OK", "", b""))?; // a probe: it is answered beside the work
            continue;
        };
        note!("{name}: {id} has arrived, {} bytes of body", request.body.len());
        if hangs.load(SeqCst) {
            note!("{name}: hangs with {id}");
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        }
        thread::sleep(Duration::from_millis(30));
        peer.write(&answer("200 OK", "", format!("done {id}\n").as_bytes()))?;
    }
    Ok(())
}

struct Sent {
    id: String,
    is_long: bool,
    /// When the last byte had been written, after SIGTERM.
    at: Option<Instant>,
    /// The status and when the last byte of the answer came.
    answered: Option<(u16, Instant)>,
}

fn book(peer: &mut Peer, id: &str, body: usize) -> std::io::Result<()> {
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: book-lesson\r\nX-Tenant: lakeshore\r\nX-Deadline: {}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {body}\r\n\r\n",
        DEADLINE.as_millis()
    );
    peer.write(head.as_bytes())?;
    peer.write(&vec![b'x'; body])
}

fn run_client(number: usize, to: SocketAddr, term_at: Instant) -> Sent {
    // Short and long bodies in turn: what is short shows that the proxy is in time there.
    let is_long = number % 2 == 0;
    let mut peer = Peer::connect(to).expect("the proxy accepts");
    // An ordinary request some time before SIGTERM, so that the connection is one that stays open.
    book(&mut peer, &format!("before-{number}"), SHORT_BODY).expect("written");
    let first = peer.read_message().expect("an answer").expect("an answer");
    assert_eq!(first.status(), 200, "before the disruption all is served");
    let at = term_at + SEND_AFTER + Duration::from_millis(number as u64);
    thread::sleep(at.saturating_duration_since(Instant::now()));
    let id = format!("{}-{number}", if is_long { "long" } else { "short" });
    let written = book(&mut peer, &id, if is_long { LONG_BODY } else { SHORT_BODY });
    let mut sent = Sent { id, is_long, at: written.is_ok().then(Instant::now), answered: None };
    note!("client {number}: {} sent whole: {}", sent.id, written.is_ok());
    peer.stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    let answer = peer.read_message();
    sent.answered = answer.as_ref().ok().and_then(|a| Some((a.as_ref()?.status(), Instant::now())));
    let told = answer.map(|a| a.map(|a| a.status()));
    note!("client {number}: {} got {told:?}", sent.id);
    sent
}

fn play(case: &Path) -> Result<(), String> {
    let hangs: Arc<Vec<AtomicBool>> = Arc::new((0..SERVERS).map(|_| AtomicBool::new(false)).collect());
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let id = format!("s-{number}");
            let (name, hangs) = (id.clone(), hangs.clone());
            let addr = listen(move |stream| _ = serve_backend(&name, stream, &hangs[number]));
            Server { id, addr, zone: "duluth-room", cell: 0 }
        })
        .collect();
    let discovery = Discovery::start(&servers);
    let stated = Stated { settings: SETTINGS, memory_mb: 192, sockets: 1024 };
    let mut proxy = Proxy::start(case, &discovery, &stated);

    let term_at = Instant::now() + Duration::from_millis(1500);
    let sent: Arc<Mutex<Vec<Sent>>> = Default::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (sent, to) = (sent.clone(), proxy.listen);
            thread::spawn(move || {
                let own = run_client(number, to, term_at);
                sent.lock().unwrap().push(own);
            })
        })
        .collect();
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    if trouble() {
        for number in 0..SERVERS / 2 {
            hangs[number].store(true, SeqCst);
            note!("s-{number} hangs from now on");
        }
        proxy.signal(SIGTERM);
        // SIGKILL, no sooner than the pages say.
        let kill_at = term_at + KILL_AFTER + SLACK;
        while Instant::now() < kill_at && proxy.ended().is_none() {
            thread::sleep(Duration::from_millis(5));
        }
        match proxy.ended() {
            Some(end) => note!("the proxy has ended by itself: {end}"),
            None => proxy.signal(SIGKILL),
        }
    }
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));

    let mut lost = Vec::new();
    for Sent { id, is_long, at, answered } in sent.lock().unwrap().iter() {
        let Some(at) = at else {
            note!("{id}: not written whole, so that nothing is owed");
            continue;
        };
        let after_term = at.saturating_duration_since(term_at);
        let took = answered.map(|(status, end)| (status, end.saturating_duration_since(*at)));
        note!("{id}: last byte {after_term:?} after SIGTERM, answer {took:?}");
        // Only what arrived more than 0.7 s after SIGTERM, and up to half a second after its time an answer counts.
        let is_owed = after_term > Duration::from_millis(700) + SLACK;
        let is_answered = took.is_some_and(|(_, time)| time <= DEADLINE + Duration::from_millis(500) + SLACK);
        if is_owed && !is_answered {
            lost.push((id.clone(), *is_long));
        }
    }
    let (long, short) = (lost.iter().filter(|(_, l)| *l).count(), lost.iter().filter(|(_, l)| !*l).count());
    note!("lost: {long} with a long body, {short} with a short one");
    match lost.len() {
        0 => Ok(()),
        _ => Err(format!(
            "{long} of 8 requests with a long body were never answered, {short} of 8 with a short one"
        )),
    }
}

fn main() {
    run_case(play)
}
