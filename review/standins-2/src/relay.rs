//! A network between the proxy and a backend: passes bytes on unchanged, each some milliseconds later.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Starts a relay to `to` that delays the bytes in each direction, and returns its address.
pub fn start(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { continue };
            pass_on(near, far_too, delay);
            pass_on(far, near_too, delay);
        }
    });
    address
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut chunk = [0; 65536];
        loop {
            let n = from.read(&mut chunk).unwrap_or(0);
            if sender.send((Instant::now() + delay, chunk[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(if bytes.is_empty() { Shutdown::Write } else { Shutdown::Both });
                return;
            }
        }
    });
}
