//! Tests of the memory limit: the process stays under it whatever clients and backends send, and still serves.

mod load;
mod scenario;
mod site;
use load::{BodyPlan, Ending, Exchange, LoadClient, MemoryWatch, Pace, backend};
use site::{Site, generous_settings};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::thread::spawn;
use std::time::Duration;

/// The number of backends, enough for the requests of all clients at the same time.
const BACKENDS: usize = 40;
/// The number of seeds that the soak plays unless [`SOAK_SEEDS`] says otherwise.
const DEFAULT_SOAK_SEEDS: u64 = 8;
/// How long a slow client takes for a body, at most.
const SLOWEST_CLIENT: Duration = Duration::from_secs(2);
/// The same of a backend. More would let the balancer refuse requests for want of backends.
const SLOWEST_BACKEND: Duration = Duration::from_millis(200);
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
