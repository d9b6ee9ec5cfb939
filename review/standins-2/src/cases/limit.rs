//! Requests and answers of ordinary classes are as long as they may be, on all connections that clients may
//! use for requests. The proxy must stay under its memory limit, or it is killed.

use super::body_of;
use crate::client::{Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::World;
use crate::{Found, backend, discovery};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 512;
/// A third of the descriptors.
const CLIENTS: u32 = SOCKETS / 3;
/// The longest body that the protocol page allows.
const BODY: usize = 64 * 1024;
const LENGTH: Duration = Duration::from_secs(12);
const GRADES: &str = r#"{"name":"view","aim-ns":1500000000,"give-up-ns":4000000000,"effect":"by_key","group":"all","window-ns":10000000000,"worth":2.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let length = if trouble { BODY } else { 500 };
    let mut servers = Vec::new();
    for k in 0..10 {
        let name = format!("s{k}");
        let address = backend::start(
            &name,
            world,
            true,
            Arc::new(move |x| {
                let body = body_of(x.id(), length);
                x.work(Duration::from_millis(600)) && x.answer(200, &body)
            }),
        );
        servers.push(Listed { id: name, address, cell: 0 });
    }
    let list = discovery::list(&servers);
    let settings = Settings { grades: GRADES, probes: true, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let mut proxy = match Proxy::start(&settings, discovery::start(list.clone()), &list) {
        Ok(proxy) => proxy,
        Err(why) => return Found::CouldNotRun(why),
    };
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (world, to) = (world.clone(), proxy.address);
            std::thread::Builder::new()
                .stack_size(512 * 1024)
                .spawn(move || {
                    let mut client = Client::new(to);
                    for k in 0.. {
                        if Instant::now() >= until {
                            return;
                        }
                        let id = format!("{n:04x}{k:04x}");
                        let body = body_of(&id, length);
                        let request = Request {
                            id: &id,
                            class: "view",
                            deadline: Duration::from_secs(4),
                            post: Some((Some(&id), &body)),
                        };
                        let answer = client.send(&request, Duration::ZERO);
                        world.note(format!("client {n}: {id} got {}", answer.text()));
                        std::thread::sleep(Duration::from_millis(if answer.status() == 200 {
                            100
                        } else {
                            600
                        }));
                    }
                })
                .expect("a thread")
        })
        .collect();
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    let mut most = 0;
    let mut over_at = None;
    while clients.iter().any(|c| !c.is_finished()) {
        std::thread::sleep(Duration::from_millis(20));
        let used = proxy.status_kb("RssAnon");
        if used > most + 1024 {
            world.note(format!("proxy: {used} kB of memory"));
        }
        most = most.max(used);
        if used > limit_kb && over_at.is_none() {
            over_at = Some(world.now());
            world.note(format!(
                "BROKEN proxy: {used} kB of memory, the limit is {MEMORY_MB} MiB = {limit_kb} kB"
            ));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if !proxy.is_running() {
        return Found::Broken("the proxy ended".into());
    }
    drop(proxy);
    let attempts = world.attempts.lock().unwrap().len();
    world.note(format!("{attempts} attempts; at most {most} kB of memory of {limit_kb} kB"));
    if attempts < 20 {
        return Found::CouldNotRun(format!("only {attempts} attempts"));
    }
    match over_at {
        None => Found::Held,
        Some(at) => Found::Broken(format!(
            "{most} kB of memory where {MEMORY_MB} MB are allowed, first over it after {at:.0} ms: the platform kills it"
        )),
    }
}
