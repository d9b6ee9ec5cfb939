//! Half of the backends hang: they accept connections, and read and answer nothing any more. A request with a
//! long body has to get its final answer in time all the same.

use super::body_of;
use crate::client::Request;
use crate::discovery::Listed;
use crate::http::Reader;
use crate::proxy::{Proxy, Settings};
use crate::world::World;
use crate::{Found, backend, discovery};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bodies of several lengths: how much the kernel holds for a connection that nobody reads differs.
const LENGTHS: [usize; 8] =
    [3_500_000, 3_800_000, 4_100_000, 4_400_000, 4_700_000, 5_000_000, 5_300_000, 5_600_000];
const DEADLINE: Duration = Duration::from_secs(3);
/// A request is lost if its answer comes later than half a second after its time; every time limit is longer
/// by 50 ms.
const LATEST_MS: f64 = 3000.0 + 500.0 + 50.0;
const CLIENTS: usize = 24;
const GRADES: &str =
    r#"{"name":"book","aim-ns":2500000000,"give-up-ns":6000000000,"effect":"once","worth":3.0}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Found {
    let mut servers = Vec::new();
    for name in ["a", "b", "c", "d"] {
        let address = if trouble && ["c", "d"].contains(&name) {
            hanging()
        } else {
            backend::start(
                name,
                world,
                true,
                Arc::new(|x| x.work(Duration::from_millis(300)) && x.answer(200, b"booked")),
            )
        };
        servers.push(Listed { id: name.into(), address, cell: 0 });
    }
    let list = discovery::list(&servers);
    let settings = Settings { grades: GRADES, probes: false, memory_mb: 192, sockets: 1024 };
    let proxy = match Proxy::start(&settings, discovery::start(list.clone()), &list) {
        Ok(proxy) => proxy,
        Err(why) => return Found::CouldNotRun(why),
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (world, to) = (world.clone(), proxy.address);
            std::thread::spawn(move || book(&world, to, n))
        })
        .collect();
    let mut taken = 0;
    let mut late = Vec::new();
    for client in clients {
        let Ok(Some((line, is_late))) = client.join() else { continue };
        taken += 1;
        if is_late {
            world.note(format!("BROKEN {line}"));
            late.push(line);
        }
    }
    drop(proxy);
    world
        .note(format!("{taken} requests taken whole, {} of them without a final answer in time", late.len()));
    if taken < 4 {
        return Found::CouldNotRun(format!("only {taken} requests were taken whole"));
    }
    match late.first() {
        None => Found::Held,
        Some(first) => {
            Found::Broken(format!("{} requests had no final answer in time, such as {first}", late.len()))
        }
    }
}

/// A backend that hangs: its machine accepts connections and holds some bytes, and nobody reads them.
fn hanging() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            held.push(stream);
        }
    });
    address
}

/// Sends one booking. Returns `None` if the proxy did not take its last byte, and otherwise what came of it.
fn book(world: &World, to: SocketAddr, n: usize) -> Option<(String, bool)> {
    let id = format!("{n:016x}");
    let body = body_of(&id, LENGTHS[n / 3]);
    let request = Request { id: &id, class: "book", deadline: DEADLINE, post: Some((None, &body)) };
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(20)));
    world.note(format!("client {n}: sends {id}, {} bytes", body.len()));
    if stream.write_all(&request.bytes()).is_err() {
        let _ = stream.shutdown(Shutdown::Both);
        world.note(format!("client {n}: {id} could not be sent whole"));
        return None;
    }
    // The last byte counts once the proxy's machine has accepted it: nothing is left in this socket.
    let until = Instant::now() + Duration::from_secs(5);
    while unaccepted(&stream) != Some(0) {
        if Instant::now() > until {
            world.note(format!("client {n}: the last byte of {id} was not accepted"));
            return None;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let taken = world.now();
    world.note(format!("client {n}: the last byte of {id} is at the proxy's machine"));
    let mut reader = Reader::new(stream);
    let head = reader.head(Instant::now() + Duration::from_secs(15));
    let took = world.now() - taken;
    let text = match &head {
        Ok(Some(head)) => format!("{}", head.status()),
        Ok(None) => "the end of the connection".into(),
        Err(e) => format!("nothing ({})", e.kind()),
    };
    world.note(format!("client {n}: {id} got {text} after {took:.0} ms"));
    Some((
        format!("{id} with {text} {took:.0} ms after its last byte"),
        took > LATEST_MS || !matches!(head, Ok(Some(_))),
    ))
}

/// How many bytes of a connection its peer's machine has not accepted yet, as the kernel tells it.
fn unaccepted(stream: &TcpStream) -> Option<u64> {
    let (local, peer) = (stream.local_addr().ok()?.port(), stream.peer_addr().ok()?.port());
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table.lines().find(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let port = |f: Option<&str>| f.and_then(|f| u16::from_str_radix(f.split(':').nth(1)?, 16).ok());
        port(fields.next()) == Some(local) && port(fields.next()) == Some(peer)
    })?;
    u64::from_str_radix(line.split_whitespace().nth(4)?.split(':').next()?, 16).ok()
}
