//! Backends give some answers a second time, some milliseconds late. The second answer was made anew, so that
//! its head has the load report of its own moment. A client may be served only what was made for its request.

use super::body_of;
use crate::client::{Answer, Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::World;
use crate::{Found, backend, discovery, relay};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How late the second answer comes.
const LATE: Duration = Duration::from_millis(7);
/// One answer in so many comes a second time.
const SHARE: usize = 5;
/// How long bytes are on their way between the proxy and a backend.
const NETWORK: Duration = Duration::from_micros(750);
/// How often a backend's load report is refreshed.
const REFRESH_MS: f64 = 60.0;
const LENGTH: Duration = Duration::from_secs(25);
const BACKENDS: u32 = 10;
const CLIENTS: u32 = 24;
const GRADES: &str =
    r#"{"name":"view","aim-ns":1500000000,"give-up-ns":4000000000,"effect":"repeatable","worth":2.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let mut servers = Vec::new();
    for k in 0..BACKENDS {
        let name = format!("s{k}");
        let handler = Arc::new(move |x: &mut backend::Exchange| {
            // Not the same time for all requests.
            let work = 40 + x.id().bytes().map(u64::from).sum::<u64>() * 7 % 60;
            if !x.work(Duration::from_millis(work)) {
                return false;
            }
            let body = body_of(x.id(), 200);
            if !x.write(&answer(x, &body)) {
                return false;
            }
            x.answered(200);
            // The second answer comes only when nothing else waits on the connection.
            if trouble && x.number % SHARE == SHARE - 1 && x.reader.is_quiet_for(LATE) {
                let second = answer(x, &body);
                if x.write(&second) {
                    x.world.note(format!("backend {}: second answer to {}", x.backend, x.id()));
                }
            }
            true
        });
        let address = relay::start(backend::start(&name, world, true, handler), NETWORK);
        servers.push(Listed { id: name, address, cell: 0 });
    }
    let list = discovery::list(&servers);
    let settings = Settings { grades: GRADES, probes: true, memory_mb: 192, sockets: 1024 };
    let proxy = match Proxy::start(&settings, discovery::start(list.clone()), &list) {
        Ok(proxy) => proxy,
        Err(why) => return Found::CouldNotRun(why),
    };
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (world, to) = (world.clone(), proxy.address);
            std::thread::spawn(move || {
                let mut client = Client::new(to);
                let (mut served, mut foreign) = (0, Vec::new());
                for k in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let id = format!("{n:02x}{k:08x}");
                    world.note(format!("client {n}: sends {id}"));
                    let request =
                        Request { id: &id, class: "view", deadline: Duration::from_secs(2), post: None };
                    let answer = client.send(&request, Duration::ZERO);
                    world.note(format!("client {n}: {id} got {}", answer.text()));
                    if let Answer::Got(message) = &answer
                        && message.status() == 200
                    {
                        served += 1;
                        if message.body != body_of(&id, 200) {
                            let got = String::from_utf8_lossy(&message.body[..id.len()]).to_string();
                            let line = format!("{id} was served the answer to {got}");
                            world.note(format!("BROKEN {line}"));
                            foreign.push(line);
                        }
                    }
                }
                (served, foreign)
            })
        })
        .collect();
    let (mut served, mut foreign) = (0, Vec::new());
    for client in clients {
        let (s, f) = client.join().unwrap_or_default();
        served += s;
        foreign.extend(f);
    }
    drop(proxy);
    world.note(format!("{served} answers 200, {} of them made for another request", foreign.len()));
    if served < 500 {
        return Found::CouldNotRun(format!("only {served} requests were served"));
    }
    match foreign.first() {
        None => Found::Held,
        Some(first) => Found::Broken(format!(
            "{} of {served} requests were served the answer to another one, such as {first}",
            foreign.len()
        )),
    }
}

/// An answer with the load report of this moment: how many requests the backend has had, by the last refresh.
fn answer(x: &backend::Exchange, body: &[u8]) -> Vec<u8> {
    let refreshed = (x.world.now() / REFRESH_MS).floor() * REFRESH_MS;
    let attempts = x.world.attempts.lock().unwrap();
    let recent = |a: &&crate::world::Attempt| {
        a.backend == x.backend && a.arrived <= refreshed && a.arrived > refreshed - 1000.0
    };
    let qps = attempts.iter().rev().take(2000).filter(recent).count();
    drop(attempts);
    let util = 0.2 + (refreshed / 977.0).fract() * 0.1;
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Load: util={util:.3},qps={qps}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
