//! Some long answers arrive spoilt: their head gives a length that does not fit the body. A client that gets
//! such an answer must be able to tell.

use super::body_of;
use crate::client::{Answer, Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::World;
use crate::{Found, backend, discovery};
use std::sync::Arc;
use std::time::Duration;

/// The length of an answer's body.
const BODY: usize = 100_000;
/// The length that the head of a spoilt answer gives.
const TOLD: usize = 70_000;
const GRADES: &str =
    r#"{"name":"view","aim-ns":1500000000,"give-up-ns":4000000000,"effect":"repeatable","worth":2.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let mut servers = Vec::new();
    for name in ["a", "b", "c"] {
        let address = backend::start(
            name,
            world,
            true,
            Arc::new(move |x| {
                if !x.work(Duration::from_millis(20)) {
                    return false;
                }
                let body = body_of(x.id(), BODY);
                let spoilt = trouble && x.number % 4 == 3;
                let mut answer = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
                if spoilt {
                    answer += &format!("Content-Length: {TOLD}\r\n");
                    x.world.note(format!(
                        "backend {}: a spoilt answer to {}, {BODY} bytes, told as {TOLD}",
                        x.backend,
                        x.id()
                    ));
                }
                answer += "\r\n";
                let mut bytes = answer.into_bytes();
                for chunk in body.chunks(10_000) {
                    bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                    bytes.extend(chunk);
                    bytes.extend(b"\r\n");
                }
                bytes.extend(b"0\r\n\r\n");
                if !x.write(&bytes) {
                    return false;
                }
                x.answered(200);
                true
            }),
        );
        servers.push(Listed { id: name.into(), address, cell: 0 });
    }
    let list = discovery::list(&servers);
    let settings = Settings { grades: GRADES, probes: true, memory_mb: 192, sockets: 1024 };
    let proxy = match Proxy::start(&settings, discovery::start(list.clone()), &list) {
        Ok(proxy) => proxy,
        Err(why) => return Found::CouldNotRun(why),
    };
    let mut client = Client::new(proxy.address);
    let (mut served, mut wrong) = (0, Vec::new());
    for k in 0..40 {
        let id = format!("{k:016x}");
        let request = Request { id: &id, class: "view", deadline: Duration::from_secs(4), post: None };
        let answer = client.send(&request, Duration::ZERO);
        world.note(format!("client: {id} got {}", answer.text()));
        if let Answer::Got(message) = &answer
            && message.status() == 200
            && message.whole
        {
            served += 1;
            if message.body != body_of(&id, BODY) {
                wrong
                    .push(format!("{id}: 200, whole by its framing, {} of {BODY} bytes", message.body.len()));
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(proxy);
    world.note(format!("{served} answers 200, {} of them not the backend's body", wrong.len()));
    if served < 10 {
        return Found::CouldNotRun(format!("only {served} requests were served"));
    }
    match wrong.first() {
        None => Found::Held,
        Some(first) => {
            Found::Broken(format!("{} clients got a body that no backend made, such as {first}", wrong.len()))
        }
    }
}
