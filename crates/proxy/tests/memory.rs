//! Tests of the memory limit: the process stays under it whatever clients and backends send, and still serves.

mod load;
mod scenario;
mod site;
use load::{BodyPlan, Ending, Exchange, LoadClient, MemoryWatch, Pace, backend};
use site::{Site, generous_settings};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The number of backends, enough for the requests of all clients at the same time.
const BACKENDS: usize = 40;
/// The number of seeds that the soak plays unless [`SOAK_SEEDS`] says otherwise.
const DEFAULT_SOAK_SEEDS: u64 = 8;
/// How long a slow client takes for a body, at most.
const SLOWEST_CLIENT: Duration = Duration::from_secs(2);
/// The same of a backend. More would let the balancer refuse requests for want of backends.
const SLOWEST_BACKEND: Duration = Duration::from_millis(200);
/// The number of clients that hold memory, how long they do, and their pauses.
const HOLDING_CLIENTS: usize = 400;
const HOLDING_TIME: Duration = Duration::from_secs(3);
const HOLDER_PAUSE: Duration = Duration::from_millis(50);
/// The memory of the program's own pages, which the accountant counts in as well. Those of a debug build are more.
const PROGRAM_BYTES: usize = 6_500_000;
/// The variable with the number of seeds for a longer soak.
const SOAK_SEEDS: &str = "OLIVECART_SOAK_SEEDS";

/// What one run plays.
struct Load {
    memory_mb: usize,
    sockets: usize,
    /// The requests of each client, one after another. All clients begin each round at the same time.
    clients: Vec<Vec<Exchange>>,
}

/// What the clients got.
#[derive(Debug)]
struct Outcome {
    served: usize,
    refused: usize,
    /// Endings other than these two.
    others: Vec<Ending>,
    /// The most anonymous resident memory of the proxy, in bytes.
    peak_bytes: usize,
}

impl Load {
    /// Clients that all send the same.
    fn alike(memory_mb: usize, sockets: usize, clients: usize, exchange: Exchange) -> Load {
        Load { memory_mb, sockets, clients: vec![vec![exchange; 3]; clients] }
    }

    fn play(self) -> Outcome {
        let backends: Vec<_> = (0..BACKENDS).map(|number| (format!("b-{number}"), backend())).collect();
        let listed: Vec<_> = backends.iter().map(|(id, address)| (id.as_str(), *address)).collect();
        let site = Site::with_limits(&generous_settings(), self.sockets, self.memory_mb, &listed);
        let process = site.start_ready();
        let watch = MemoryWatch::start(&process);
        let start = Arc::new(Barrier::new(self.clients.len()));
        let clients: Vec<_> = self
            .clients
            .into_iter()
            .enumerate()
            .map(|(number, exchanges)| {
                let (start, mut client) = (start.clone(), LoadClient::new(site.listen));
                spawn(move || {
                    let send = |(round, exchange): (usize, &Exchange)| {
                        start.wait();
                        client.send(&format!("r{round}-{number}"), exchange)
                    };
                    exchanges.iter().enumerate().map(send).collect::<Vec<Ending>>()
                })
            })
            .collect();
        let endings: Vec<Ending> =
            clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        let peak_bytes = watch.stop();
        let of = |wanted: Ending| endings.iter().filter(|ending| **ending == wanted).count();
        let others = |ending: &&Ending| !matches!(ending, Ending::Served | Ending::Refused);
        Outcome {
            served: of(Ending::Served),
            refused: of(Ending::Refused),
            others: endings.iter().filter(others).copied().collect(),
            peak_bytes,
        }
    }

    /// Plays the load and checks that the proxy stayed under its limit and served nine requests in ten.
    fn check(self) {
        let limit = self.memory_mb * 1_000_000;
        let outcome = self.play();
        assert!(outcome.peak_bytes <= limit && outcome.others.is_empty(), "{outcome:?}");
        assert!(outcome.served >= 9 * outcome.refused, "{outcome:?}");
    }
}

/// Guards against long bodies that are read before there is memory for them: the process was killed for it.
#[test]
fn long_bodies_of_all_clients_at_once_stay_under_the_memory_limit() {
    Load::alike(32, 600, 200, Exchange::fast(1_000_000, 10)).check();
}

/// Guards against connections whose buffers keep the memory that bodies wait for. All clients begin at once.
#[test]
fn clients_of_a_third_of_the_descriptors_are_served_with_little_memory() {
    Load::alike(32, 1024, 341, Exchange::fast(300_000, 70_000)).check();
}

/// Guards against bodies of 64 KiB, which no limit counted, in requests and responses.
#[test]
fn bodies_that_are_buffered_whole_stay_under_the_memory_limit() {
    Load::alike(32, 600, 200, Exchange::fast(64 * 1024, 64 * 1024)).check();
}

/// Guards against requests that hold the memory which their responses wait for.
#[test]
fn long_requests_with_long_responses_do_not_wait_for_each_others_memory() {
    Load::alike(32, 256, 40, Exchange::fast(300_000, 600_000)).check();
}

/// Guards against request heads without an end, of which the HTTP library buffers 128 KiB each.
#[test]
fn unfinished_heads_stay_under_the_memory_limit_and_others_are_served() {
    let site = Site::with_limits(&generous_settings(), 900, 16, &[("a", backend())]);
    let process = site.start_ready();
    let watch = MemoryWatch::start(&process);
    let unfinished = vec![b'x'; 120 * 1024];
    let links: Vec<_> = (0..200)
        .map(|_| {
            let mut link = TcpStream::connect(site.listen).expect("connected");
            link.set_nonblocking(true).expect("set");
            let _ = link.write_all(b"GET / HTTP/1.1\r\nX-Pad: ");
            let _ = link.write(&unfinished); // as much as the system takes
            link
        })
        .collect();
    for number in 0..20 {
        let ending = LoadClient::new(site.listen).send(&format!("r{number}"), &Exchange::fast(5, 5));
        assert_eq!(ending, Ending::Served);
    }
    drop(links);
    let peak_bytes = watch.stop();
    assert!(peak_bytes <= 16_000_000, "{peak_bytes} bytes");
}

/// A client that holds as much of the proxy's memory as it can: what it writes, and in which pieces.
struct Holder {
    name: &'static str,
    text: fn(usize) -> String,
    piece: usize,
}

const HOLDERS: [Holder; 6] = [
    Holder { name: "heads of many short fields", text: |n| head(n, 88, "2 0 1 400000"), piece: 1 << 20 },
    Holder {
        name: "many such heads at once",
        text: |n| (0..16).map(|i| head(16 * n + i, 85, "2 0 1 400000")).collect(),
        piece: 1 << 20,
    },
    Holder { name: "long answers read slowly", text: |n| head(n, 0, "500000 0 65536 0"), piece: 1 << 20 },
    Holder { name: "short answers read slowly", text: |n| head(n, 0, "9000 0 65536 0"), piece: 1 << 20 },
    Holder {
        name: "stopped half way",
        text: |n| {
            head(n, 0, "2 0 2 0").replace("\r\n\r\n", "\r\ncontent-length: 900000\r\n\r\n")
                + &"x".repeat(450_000)
        },
        piece: 1 << 20,
    },
    Holder {
        name: "heads written slowly",
        text: |n| head(n, 90, "2 0 2 0") + &"x: y\r\n".repeat(200),
        piece: 20,
    },
];

/// A request without a body, with so many more fields.
fn head(number: usize, fields: usize, respond: &str) -> String {
    let fields: String = (0..fields).map(|field| format!("{field:x}:\r\n")).collect();
    format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx-request-id: h{number}\r\nx-class: view\r\nX-Respond: {respond}\r\n{fields}\r\n"
    )
}

impl Holder {
    /// Connects, writes all as far as the proxy takes it, and reads slowly what comes, until `end`.
    fn hold(&self, number: usize, to: std::net::SocketAddr, end: Instant) {
        let Ok(mut link) = TcpStream::connect(to) else { return };
        link.set_read_timeout(Some(HOLDER_PAUSE)).expect("set");
        link.set_write_timeout(Some(HOLDER_PAUSE)).expect("set");
        for piece in (self.text)(number).as_bytes().chunks(self.piece) {
            if link.write_all(piece).is_err() || Instant::now() >= end {
                break;
            }
            if piece.len() == self.piece {
                std::thread::sleep(HOLDER_PAUSE);
            }
        }
        while Instant::now() < end && !matches!(link.read(&mut [0; 2048]), Ok(0)) {
            std::thread::sleep(HOLDER_PAUSE);
        }
    }
}

/// Guards against a process that was killed for memory while hundreds of clients held some: what the libraries make of
/// a head was not counted, and responses were not paid for.
#[test]
fn process_stays_under_its_limit_whatever_hundreds_of_clients_hold() {
    for (memory_mb, sockets) in [(16, 1024), (32, 1024), (48, 576)] {
        for holder in &HOLDERS {
            let backends: Vec<_> = (0..8).map(|number| (format!("b-{number}"), backend())).collect();
            let listed: Vec<_> = backends.iter().map(|(id, address)| (id.as_str(), *address)).collect();
            let site = Site::with_limits(&generous_settings(), sockets, memory_mb, &listed);
            let process = site.start_ready();
            let watch = MemoryWatch::start(&process);
            let (listen, end) = (site.listen, Instant::now() + HOLDING_TIME);
            let holding: Vec<_> =
                (0..HOLDING_CLIENTS).map(|number| spawn(move || holder.hold(number, listen, end))).collect();
            let ordinary = || LoadClient::new(site.listen).send("ordinary", &Exchange::fast(5, 5));
            let endings: Vec<Ending> = (0..5).map(|_| ordinary()).collect();
            holding.into_iter().for_each(|client| client.join().expect("no panic"));
            assert_eq!(ordinary(), Ending::Served, "{} at {memory_mb} MB", holder.name);
            let allowed = memory_mb * 1_000_000 - PROGRAM_BYTES;
            let peak_bytes = watch.stop();
            println!("{} at {memory_mb} MB: {:.1} MB, {endings:?}", holder.name, peak_bytes as f64 / 1e6);
            assert!(peak_bytes <= allowed, "{} at {memory_mb} MB: {peak_bytes} bytes", holder.name);
            let answered = |ending: &&Ending| matches!(ending, Ending::Served | Ending::Refused);
            assert!(endings.iter().filter(answered).count() >= 4, "{}: {endings:?}", holder.name);
        }
    }
}

/// Draws a length from 1 byte to 32 MB. Most bodies are short.
fn draw_length(random: &mut fastrand::Rng) -> usize {
    let most = match random.u32(0..400) {
        0 => 32 << 20,
        1..=12 => 4 << 20,
        13..=80 => 512 << 10,
        81..=200 => 64 << 10,
        _ => 4 << 10,
    };
    random.usize(1..=most)
}

/// Draws a pace. A third of the peers are slow, and take up to `most` for a body.
fn draw_pace(random: &mut fastrand::Rng, bytes: usize, most: Duration) -> Pace {
    if random.u32(0..3) > 0 {
        return Pace { piece: random.usize(1_000..100_000), pause: Duration::ZERO };
    }
    let pieces = random.usize(1..40);
    Pace { piece: (bytes / pieces).max(1), pause: most.mul_f64(random.f64()) / pieces as u32 }
}

fn draw_body(random: &mut fastrand::Rng, most: Duration) -> BodyPlan {
    let bytes = draw_length(random);
    BodyPlan { bytes, chunked: random.bool(), pace: draw_pace(random, bytes, most) }
}

fn draw_exchange(random: &mut fastrand::Rng) -> Exchange {
    let request = draw_body(random, SLOWEST_CLIENT);
    let response = draw_body(random, SLOWEST_BACKEND);
    Exchange {
        request,
        response,
        backend_reads: draw_pace(random, request.bytes, SLOWEST_BACKEND),
        client_reads: draw_pace(random, response.bytes, SLOWEST_CLIENT),
    }
}

/// Plays random limits, bodies and peers. What a seed played and got is printed.
#[test]
fn random_bodies_and_peers_stay_under_the_memory_limit() {
    let seeds = std::env::var(SOAK_SEEDS).ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SOAK_SEEDS) {
        let random = &mut fastrand::Rng::with_seed(seed);
        let memory_mb = [32, 48, 64, 192][seed as usize % 4];
        let sockets = [256, 576, 1024][random.usize(0..3)];
        let clients = (0..sockets / 3).map(|_| vec![draw_exchange(random), draw_exchange(random)]);
        let load = Load { memory_mb, sockets, clients: clients.collect() };
        let outcome = load.play();
        let Outcome { served, refused, ref others, peak_bytes } = outcome;
        println!(
            "seed {seed}: {memory_mb} MB, {sockets} descriptors: peak {:.1} MB, {served} served, {refused} refused",
            peak_bytes as f64 / 1e6
        );
        assert!(peak_bytes <= memory_mb * 1_000_000, "seed {seed}: {outcome:?}");
        assert!(others.is_empty(), "seed {seed}: {outcome:?}");
        assert!(served >= refused, "seed {seed}: {outcome:?}");
    }
}
