//! A stand-in for discovery: the whole list, and a watch that tells it once and then an empty line every 2 s.

use crate::http::Reader;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A backend in the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
}

/// The list in discovery's form.
pub fn list(servers: &[Listed]) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|s| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"room","kind":"std","cell":{},"state":"ready","weight":1.0,"started_ms":0}}"#,
                s.id, s.address, s.cell
            )
        })
        .collect();
    format!(r#"{{"version":41,"full":true,"servers":[{}]}}"#, servers.join(","))
}

/// Starts discovery with a list that does not change, and returns its address.
pub fn start(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || serve(Reader::new(stream), &list));
        }
    });
    address
}

fn serve(mut reader: Reader, list: &str) {
    let Ok(Some(request)) = reader.head(Instant::now() + Duration::from_secs(10)) else { return };
    let mut stream = &reader.stream;
    if !request.target().contains("watch=1") {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        return;
    }
    let line = format!("{list}\n");
    let first =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    let mut written = stream.write_all(first.as_bytes());
    while written.is_ok() {
        std::thread::sleep(Duration::from_secs(2));
        written = stream.write_all(b"1\r\n\n\r\n");
    }
}
