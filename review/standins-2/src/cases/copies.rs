//! A backend whose queue is full turns some requests away (503 with `X-Not-Run: 1`), and that answer comes a
//! second time some milliseconds late. A request of a class that is unsafe to repeat may run once only.

use super::body_of;
use crate::client::{Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::World;
use crate::{Found, backend, discovery, relay};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How late the second copy comes.
const LATE: Duration = Duration::from_millis(11);
/// How long bytes are on their way between the proxy and a backend.
const NETWORK: Duration = Duration::from_millis(3);
/// The time of a request at a backend.
const WORK: Duration = Duration::from_millis(2);
const LENGTH: Duration = Duration::from_secs(25);
const CLIENTS: u32 = 8;
const GRADES: &str =
    r#"{"name":"book","aim-ns":2500000000,"give-up-ns":6000000000,"effect":"once","worth":3.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let full = backend::start(
        "a",
        world,
        true,
        Arc::new(move |x| {
            if x.number % 5 != 4 {
                return run(x);
            }
            let body = format!("full {}", x.id());
            let whole =
                format!("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if !x.write(whole.as_bytes()) {
                return false;
            }
            x.answered(503);
            // The second copy comes only when nothing else waits on the connection.
            if trouble && x.reader.is_quiet_for(LATE) && x.write(whole.as_bytes()) {
                x.world.note(format!("backend a: second copy of the answer 503 to {}", x.id()));
            }
            true
        }),
    );
    let mut servers = vec![Listed { id: "a".into(), address: relay::start(full, NETWORK), cell: 0 }];
    for name in ["b", "c"] {
        servers.push(Listed {
            id: name.into(),
            address: relay::start(backend::start(name, world, true, Arc::new(run)), NETWORK),
            cell: 0,
        });
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
                for k in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{n:02x}{k:08x}");
                    world.note(format!("client {n}: sends {id}"));
                    let request = Request {
                        id: &id,
                        class: "book",
                        deadline: Duration::from_secs(3),
                        post: Some((None, b"a booking")),
                    };
                    let answer = client.send(&request, Duration::ZERO);
                    world.note(format!("client {n}: {id} got {}", answer.text()));
                    std::thread::sleep(Duration::from_millis(4));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(200));
    drop(proxy);
    judge(world)
}

/// Runs a request: it takes effect once its work is done, whether or not the proxy still waits.
fn run(x: &mut backend::Exchange) -> bool {
    std::thread::sleep(WORK);
    x.world.ran(x.attempt);
    let body = body_of(x.id(), 200);
    x.answer(200, &body)
}

fn judge(world: &World) -> Found {
    let attempts = world.attempts.lock().unwrap().clone();
    let mut runs: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|a| a.ran) {
        let text = format!("{} (arrived at {:.1} ms)", attempt.backend, attempt.arrived);
        runs.entry(&attempt.id).or_default().push(text);
    }
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (id, runs) in &twice {
        world.note(format!("BROKEN {id} ran at {}", runs.join(" and at ")));
    }
    world.note(format!("{} requests ran, {} of them more than once", runs.len(), twice.len()));
    if runs.len() < 200 {
        return Found::CouldNotRun(format!("only {} requests ran", runs.len()));
    }
    match twice.first() {
        None => Found::Held,
        Some((id, runs)) => Found::Broken(format!(
            "{} requests ran twice, such as {id}: at {}",
            twice.len(),
            runs.join(" and at ")
        )),
    }
}
