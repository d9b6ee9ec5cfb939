//! A backend takes more than a second between two parts of a long answer. The proxy must not cut off what the
//! backend still gives.

use super::body_of;
use crate::client::{Answer, Client, Request};
use crate::discovery::Listed;
use crate::proxy::{Proxy, Settings};
use crate::world::{End, World};
use crate::{Found, backend, discovery};
use std::sync::Arc;
use std::time::Duration;

/// The length of an answer's body.
const BODY: usize = 100_000;
/// What the backend writes before it pauses.
const FIRST: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(1500);
const GRADES: &str =
    r#"{"name":"book","aim-ns":2500000000,"give-up-ns":6000000000,"effect":"once","worth":3.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let pause = if trouble { PAUSE } else { Duration::from_millis(20) };
    let mut servers = Vec::new();
    for name in ["a", "b"] {
        let address = backend::start(
            name,
            world,
            true,
            Arc::new(move |x| {
                if !x.work(Duration::from_millis(50)) {
                    return false;
                }
                let body = body_of(x.id(), BODY);
                let chunk =
                    |bytes: &[u8]| [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
                if !x.write(&[head, chunk(&body[..FIRST])].concat()) || !x.work(pause) {
                    return false;
                }
                let rest = [chunk(&body[FIRST..]), b"0\r\n\r\n".to_vec()].concat();
                if !x.write(&rest) {
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
    let (mut served, mut cut) = (0, Vec::new());
    for k in 0..6 {
        let id = format!("{k:016x}");
        let request = Request {
            id: &id,
            class: "book",
            deadline: Duration::from_secs(6),
            post: Some((None, b"a booking")),
        };
        let answer = client.send(&request, Duration::from_secs(10));
        world.note(format!("client: {id} got {}", answer.text()));
        std::thread::sleep(Duration::from_millis(100)); // the backend has seen by then whether its connection was closed
        let attempts = world.attempts_of(&id);
        let closed = attempts.iter().any(|a| matches!(a.ended, Some((_, End::Closed))));
        let is_served =
            matches!(&answer, Answer::Got(m) if m.status() == 200 && m.whole && m.body == body_of(&id, BODY));
        served += u32::from(is_served);
        if closed && !is_served {
            cut.push(format!("{id}: the connection was closed while the backend still gave its answer, and the client got {}", answer.text()));
        }
    }
    drop(proxy);
    world.note(format!("{served} requests served, {} answers cut off", cut.len()));
    match cut.first() {
        None if served == 0 => Found::CouldNotRun("nothing was served".into()),
        None => Found::Held,
        Some(first) => Found::Broken(format!("{} long answers were cut off, such as {first}", cut.len())),
    }
}
