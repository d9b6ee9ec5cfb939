//! More long requests with long answers at once than the proxy has memory for. What a backend gives must not
//! be held back for 2 s or cut off.

use super::body_of;
use crate::client::{Answer, Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::{End, World};
use crate::{Found, backend, discovery};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The length of a request's body.
const UPLOAD: usize = 300_000;
/// The length of an answer's body.
const DOWNLOAD: usize = 600_000;
/// An answer must not be held back for 2 s; every time limit on sockets is longer by 50 ms.
const HELD_BACK_MS: f64 = 2050.0;
const GRADES: &str =
    r#"{"name":"book","aim-ns":2500000000,"give-up-ns":6000000000,"effect":"once","worth":3.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    // When a backend began to give the answer to a request, in ms.
    let given: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let mut servers = Vec::new();
    for k in 0..10 {
        let name = format!("s{k}");
        let given = given.clone();
        let address = backend::start(
            &name,
            world,
            true,
            Arc::new(move |x| {
                if !x.work(Duration::from_millis(300)) {
                    return false;
                }
                let body = body_of(x.id(), DOWNLOAD);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {DOWNLOAD}\r\n\r\n");
                if !x.write(head.as_bytes()) {
                    x.world.ended(x.attempt, End::Closed);
                    return false;
                }
                x.world.note(format!("backend {}: gives the answer to {}", x.backend, x.id()));
                given.lock().unwrap().insert(x.id().to_string(), x.world.now());
                if !x.write(&body) {
                    x.world.ended(x.attempt, End::Closed);
                    return false;
                }
                x.answered(200);
                true
            }),
        );
        servers.push(Listed { id: name, address, cell: 0 });
    }
    let list = discovery::list(&servers);
    let settings = Settings { grades: GRADES, probes: true, memory_mb: 32, sockets: 256 };
    let proxy = match Proxy::start(&settings, discovery::start(list.clone()), &list) {
        Ok(proxy) => proxy,
        Err(why) => return Found::CouldNotRun(why),
    };
    let at_once = if trouble { 40 } else { 8 };
    let clients: Vec<_> = (0..at_once)
        .map(|n| {
            let (world, to) = (world.clone(), proxy.address);
            std::thread::spawn(move || {
                let mut client = Client::new(to);
                let mut answers = Vec::new();
                for k in 0..3 {
                    let id = format!("{n:02x}{k:04x}");
                    let body = body_of(&id, UPLOAD);
                    let request = Request {
                        id: &id,
                        class: "book",
                        deadline: Duration::from_secs(6),
                        post: Some((None, &body)),
                    };
                    let answer = client.send(&request, Duration::from_secs(10));
                    world.note(format!("client {n}: {id} got {}", answer.text()));
                    answers.push((id, answer));
                    std::thread::sleep(Duration::from_millis(300));
                }
                answers
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    world.note(format!("VmHWM {} kB", proxy.status_kb("VmHWM")));
    drop(proxy);
    let given = given.lock().unwrap();
    let mut served = 0;
    let mut lost = Vec::new();
    for (id, answer) in &answers {
        let Some(given) = given.get(id) else { continue };
        let whole = matches!(answer, Answer::Got(m) if m.status() == 200 && m.whole && m.body == body_of(id, DOWNLOAD));
        let head_at = if let Answer::Got(m) = answer { m.head_at } else { None };
        let held = head_at.map_or(f64::INFINITY, |at| (at - world.start).as_secs_f64() * 1e3 - given);
        served += u32::from(whole && held <= HELD_BACK_MS);
        if held > HELD_BACK_MS || !whole {
            let line = format!(
                "{id}: a backend gave its answer from {given:.0} ms on, and {held:.0} ms later the client had {}",
                answer.text()
            );
            world.note(format!("BROKEN {line}"));
            lost.push(line);
        }
    }
    world.note(format!(
        "{} requests, {served} served, {} with a backend's answer that was held back for 2 s or given up",
        answers.len(),
        lost.len()
    ));
    match lost.first() {
        None if served == 0 => Found::CouldNotRun("nothing was served".into()),
        None => Found::Held,
        Some(first) => Found::Broken(format!("{} answers were held back, such as {first}", lost.len())),
    }
}
