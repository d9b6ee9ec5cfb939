//! Tests of long bodies: they are forwarded intact for any write size, stay within the memory limit when many
//! are in flight, and stay truncated if the sender truncates them.

mod scenario;
mod site;
use scenario::http::read_head;
use scenario::{STEP_TIMEOUT, free_port, serve};
use site::{Process, Site, generous_settings};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::thread::spawn;

const MB: usize = 1 << 20;
/// The lowest memory limit that can be configured. Two fifths of it are for long bodies.
const MEMORY_MB: usize = 32;

/// Returns a range of the body with this number. The content differs between positions and between bodies, so
/// that misplaced bytes are found.
fn body_bytes(number: usize, from: usize, length: usize) -> Vec<u8> {
    let byte = |at: usize| ((at ^ (at >> 8) ^ (at >> 16)).wrapping_mul(167).wrapping_add(number * 31)) as u8;
    (from..from + length).map(byte).collect()
}

/// Starts a backend that handles requests with `answer`, on a thread for each connection, and answers health
/// checks itself.
fn backend(answer: impl Fn(&mut BufReader<TcpStream>, &str) + Send + Sync + 'static) -> SocketAddr {
    serve(move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            if head.starts_with("GET /health") {
                let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            } else {
                answer(&mut reader, &head);
            }
        }
    })
}

fn header(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// Reads the body that a head announces and compares it with the one of this number. Returns its length.
fn read_and_compare_body(reader: &mut impl BufRead, head: &str, number: usize) -> std::io::Result<usize> {
    let mut at = 0;
    let mut take = |reader: &mut dyn Read, length: usize| {
        let mut left = length;
        while left > 0 {
            let mut part = vec![0; left.min(MB)];
            reader.read_exact(&mut part)?;
            assert!(part == body_bytes(number, at, part.len()), "body {number} differs from {at} on");
            (at, left) = (at + part.len(), left - part.len());
        }
        Ok::<_, std::io::Error>(())
    };
    if let Some(length) = header(head, "content-length") {
        take(reader, length.parse().expect("a number"))?;
        return Ok(at);
    }
    assert!(header(head, "transfer-encoding").is_some_and(|t| t == "chunked"), "{head}");
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).expect("a chunk's length");
        take(reader, length)?;
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(at);
        }
    }
}

fn connect(listen: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(listen).expect("connected");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
    BufReader::new(stream)
}

struct Proxy {
    site: Site,
    process: Process,
}

impl Proxy {
    fn start(backends: &[SocketAddr]) -> Proxy {
        Proxy::with(&generous_settings(), backends)
    }

    fn with(settings: &str, backends: &[SocketAddr]) -> Proxy {
        let ids: Vec<String> = (0..backends.len()).map(|n| n.to_string()).collect();
        let backends: Vec<_> = ids.iter().map(String::as_str).zip(backends.iter().copied()).collect();
        let site = Site::with(settings, MEMORY_MB, &backends);
        let process = site.start_ready();
        Proxy { site, process }
    }

    /// Shuts the proxy down gracefully and returns the peak memory of long bodies, in bytes.
    fn stop_and_read_peak(mut self) -> usize {
        self.process.program.signal("TERM");
        let line = self.process.program.line("long_bodies_peak");
        assert!(self.process.program.wait_for_exit().success());
        let peak = line.split("long_bodies_peak: ").nth(1).expect("logged");
        peak.split(',').next().expect("logged").trim().parse().expect("a number")
    }
}

fn request(method: &str, number: usize, more: &str) -> String {
    format!(
        "{method} /{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r{number}\r\nX-Class: view\r\n{more}\r\n"
    )
}

/// Sends a request and reads the head of its response.
fn start_response(proxy: &Proxy, number: usize, more: &str) -> (BufReader<TcpStream>, String) {
    let mut link = connect(proxy.site.listen);
    link.get_mut().write_all(request("GET", number, more).as_bytes()).expect("read");
    let head = read_head(&mut link).expect("an answer that has begun");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    (link, head)
}

/// Sends a request and compares the body of the response with the body of number 0.
fn read_response(proxy: &Proxy, more: &str) -> std::io::Result<usize> {
    let (mut link, head) = start_response(proxy, 0, more);
    read_and_compare_body(&mut link, &head, 0)
}

/// Responds to each request with the body of the number in the path, of the length in the `x-size` header.
/// Reads the request's body first.
fn mirror(piece: usize, chunked: bool) -> impl Fn(&mut BufReader<TcpStream>, &str) {
    move |reader, head| {
        let number: usize = head.split(['/', ' ']).nth(2).and_then(|n| n.parse().ok()).expect("a number");
        if !head.starts_with("GET") {
            let Ok(_) = read_and_compare_body(reader, head, number) else { return };
        }
        let size: usize = header(head, "x-size").expect("a size").parse().expect("a number");
        // The proxy may have closed the connection.
        let _ = write_body(reader.get_mut(), "HTTP/1.1 200 OK\r\n", number, size, piece, chunked);
    }
}

/// Writes a head and a body in pieces. A chunked body has an extension in each chunk and a trailer.
fn write_body(
    stream: &mut TcpStream,
    head: &str,
    number: usize,
    size: usize,
    piece: usize,
    chunked: bool,
) -> std::io::Result<()> {
    let framing =
        if chunked { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {size}") };
    // The first piece is written with the head: the proxy gives up on a response that stalls for a second after
    // its head.
    let mut text = format!("{head}{framing}\r\n\r\n").into_bytes();
    for from in (0..size).step_by(piece) {
        let part = body_bytes(number, from, piece.min(size - from));
        if chunked {
            text.extend(format!("{:x};why=not\r\n", part.len()).bytes());
        }
        text.extend(part);
        text.extend(if chunked { "\r\n" } else { "" }.bytes());
        stream.write_all(&text)?;
        text.clear();
    }
    text.extend(if chunked { "0\r\nX-Trailer: seen\r\n\r\n" } else { "" }.bytes());
    stream.write_all(&text)
}

/// Sends a request with a body of `up` bytes, written in pieces, and compares the response body of `down` bytes.
fn exchange(listen: SocketAddr, number: usize, up: usize, down: usize, piece: usize, chunked: bool) {
    let mut link = connect(listen);
    let head_text = request("POST", number, &format!("X-Size: {down}\r\n"));
    let head_text = head_text.strip_suffix("\r\n").expect("its blank line");
    write_body(link.get_mut(), head_text, number, up, piece, chunked).expect("read");
    let head = read_head(&mut link).expect("an answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(read_and_compare_body(&mut link, &head, number).expect("complete"), down);
}

#[test]
fn concurrent_32_mb_bodies_are_forwarded_intact_within_the_memory_limit() {
    let proxy = Proxy::start(&[backend(mirror(MB, false)), backend(mirror(3 * MB + 1, true))]);
    let listen = proxy.site.listen;
    // 256 MB in total in each direction, with a memory limit of 32 MB.
    let clients = (0..8).map(|number| {
        spawn(move || exchange(listen, number, 32 * MB, 32 * MB, MB - number, number % 2 == 1))
    });
    let clients: Vec<_> = clients.collect();
    // At the same time, a client that reads nothing of its response, and clients with short bodies.
    let mut stuck = connect(proxy.site.listen);
    let idle = request("GET", 99, &format!("X-Size: {}\r\n", 32 * MB));
    stuck.get_mut().write_all(idle.as_bytes()).expect("read");
    for number in 100..150 {
        exchange(proxy.site.listen, number, 10, 10, 3, false);
    }
    clients.into_iter().for_each(|client| client.join().expect("all bytes intact"));
    drop(stuck);
    let peak = proxy.stop_and_read_peak();
    assert!(peak > 256 * 1024 && peak <= MEMORY_MB * 400_000, "{peak} bytes");
}

#[test]
fn body_is_intact_for_any_write_size() {
    let proxy = Proxy::start(&[backend(mirror(1, true))]);
    for (number, (size, piece)) in
        [(70_000, 1), (65_536, 65_536), (65_537, 7), (300_000, 1000), (1, 1)].into_iter().enumerate()
    {
        exchange(proxy.site.listen, number, size, size, piece, false);
        exchange(proxy.site.listen, 10 + number, size, size, piece.max(10), true);
    }
}

#[test]
fn truncated_response_stays_truncated_and_response_ended_by_close_is_complete() {
    let truncate = |reader: &mut BufReader<TcpStream>, head: &str| {
        let (framing, body) = match header(head, "x-case").as_deref() {
            Some("length") => ("Content-Length: 300000\r\n", body_bytes(0, 0, 200_000)),
            Some("chunk") => {
                let mut body = format!("{:x}\r\n", 200_000).into_bytes();
                body.extend(body_bytes(0, 0, 200_000));
                body.extend(b"\r\n");
                ("Transfer-Encoding: chunked\r\n", body)
            }
            _ => ("Connection: close\r\n", body_bytes(0, 0, 200_000)),
        };
        let stream = reader.get_mut();
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
        let _ = stream.write_all(&body);
        let _ = stream.shutdown(Shutdown::Write);
    };
    let proxy = Proxy::start(&[backend(truncate)]);
    for case in ["length", "chunk", "close"] {
        let received = read_response(&proxy, &format!("X-Case: {case}\r\n"));
        match case {
            "close" => assert_eq!(received.expect("complete"), 200_000),
            _ => assert!(received.is_err(), "{case}: {received:?}"),
        }
    }
    ["edge.ok.view=1", "edge.errors.view=2", "edge.active=0"]
        .iter()
        .for_each(|figure| proxy.process.wait_for_var(figure));
}

#[test]
fn buffered_body_is_retried_and_released_body_is_not() {
    // One backend closes the connection before the request body arrives; the other responds.
    let (calls, arrived) = channel();
    let calls = Mutex::new(calls);
    let closes = backend(move |reader, _| {
        let _ = calls.lock().expect("one at a time").send(());
        let _ = reader.get_mut().shutdown(Shutdown::Both);
    });
    let refuses = free_port();
    let good = backend(mirror(MB, false));
    // The connection is refused: the request did not run, and none of the long body has been read yet.
    let proxy = Proxy::start(&[refuses, good]);
    for number in 0..6 {
        exchange(proxy.site.listen, number, 2 * MB, 10, MB, false);
    }
    // Part of the body was released: the request is rejected at once, since it did not run without its last byte,
    // and cannot be retried.
    let proxy = Proxy::start(&[closes]);
    let mut link = connect(proxy.site.listen);
    let text = request("POST", 7, &format!("Content-Length: {}\r\n", 32 * MB));
    let mut writer = link.get_ref().try_clone().expect("cloned");
    let sender = spawn(move || {
        let part = body_bytes(7, 0, MB);
        // Fails when the connection is closed.
        writer.write_all(text.as_bytes()).and_then(|()| (0..32).try_for_each(|_| writer.write_all(&part)))
    });
    let head = read_head(&mut link).expect("an answer");
    assert!(head.starts_with("HTTP/1.1 503") && header(&head, "retry-after").is_some(), "{head}");
    drop(link);
    let _ = sender.join().expect("no panic");
    assert_eq!(arrived.try_iter().count(), 1, "one attempt");
}

#[test]
fn expect_continue_is_answered_and_head_responses_have_no_body() {
    let proxy = Proxy::start(&[backend(|reader, head| {
        let length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_ok() {
            assert!(header(head, "expect").is_none(), "{head}");
            let answer = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
            let _ = reader.get_mut().write_all(answer);
            if !head.starts_with("HEAD") {
                let _ = reader.get_mut().write_all(&body_bytes(1, 0, 100_000));
            }
        }
    })]);
    let mut link = connect(proxy.site.listen);
    let text = request("POST", 1, "Content-Length: 70000\r\nExpect: 100-continue\r\n");
    link.get_mut().write_all(text.as_bytes()).expect("read");
    assert!(read_head(&mut link).expect("an interim response").starts_with("HTTP/1.1 100"));
    link.get_mut().write_all(&body_bytes(1, 0, 70_000)).expect("read");
    let answer = read_head(&mut link).expect("an answer");
    assert_eq!(read_and_compare_body(&mut link, &answer, 1).expect("complete"), 100_000);
    // On the same connection: a HEAD response without a body, pipelined with two more requests.
    let two = request("HEAD", 2, "") + &request("GET", 3, "") + &request("GET", 4, "");
    link.get_mut().write_all(two.as_bytes()).expect("read");
    assert!(read_head(&mut link).expect("an answer").starts_with("HTTP/1.1 200"));
    for _ in 0..2 {
        let answer = read_head(&mut link).expect("an answer");
        assert_eq!(read_and_compare_body(&mut link, &answer, 1).expect("complete"), 100_000);
    }
}

#[test]
fn response_in_progress_is_not_cancelled_with_its_hedged_request() {
    // The first attempt starts its response once the hedged request has arrived, and ends it once that is cancelled.
    let ((hedge_arrived, arrived), (hedge_cancelled, cancelled)) = (channel(), channel());
    let (first, hedges) =
        (Mutex::new(Some((arrived, cancelled))), Mutex::new((hedge_arrived, hedge_cancelled)));
    let either = backend(move |reader, _| {
        let Some((arrived, cancelled)) = first.lock().expect("no panic").take() else {
            let (arrived, cancelled) = hedges.lock().expect("no panic").clone();
            let _ = arrived.send(());
            let _ = reader.read(&mut [0]); // until it is closed
            let _ = cancelled.send(());
            return;
        };
        arrived.recv().expect("a hedged request");
        let stream = reader.get_mut();
        let answer =
            [&b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"[..], &body_bytes(0, 0, 100_000)].concat();
        stream.write_all(&answer).expect("read");
        cancelled.recv().expect("cancelled");
        let _ = stream.write_all(&body_bytes(0, 100_000, 100_000));
    });
    let settings = generous_settings()
        .replace(r#""second-copies":false"#, r#""second-copies":true"#)
        .replace("20000000000", "40000000")
        .replace(r#""connect-timeout-ns":2000000000"#, r#""connect-timeout-ns":300000000"#);
    let proxy = Proxy::with(&settings, &[either, either]);
    assert_eq!(read_response(&proxy, "").expect("complete"), 200_000);
}

#[test]
fn slow_readers_of_long_responses_do_not_use_up_the_endpoint_limit() {
    let proxy = Proxy::start(&[backend(mirror(MB, false))]);
    // More than the endpoint limit of six; each reads the head of the response and then nothing.
    let readers: Vec<_> =
        (0..12).map(|number| start_response(&proxy, number, &format!("X-Size: {}\r\n", 32 * MB))).collect();
    exchange(proxy.site.listen, 99, 10, 10, 10, false);
    drop(readers);
}

#[test]
fn endpoint_that_dies_during_a_long_response_is_ejected_at_once() {
    let dies = serve(|stream| {
        let mut reader = BufReader::new(stream);
        // Closes the connections of health checks. With this interval, the only one follows the broken response.
        if read_head(&mut reader).is_some_and(|head| !head.starts_with("GET /health")) {
            let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
            let _ = reader.get_mut().write_all(&body_bytes(0, 0, 200_000));
        }
    });
    let proxy = Proxy::with(
        &generous_settings().replace(r#""must-ask-in-ns":1"#, r#""must-ask-in-ns":1000"#),
        &[dies],
    );
    assert!(read_response(&proxy, "").is_err());
    proxy.process.wait_for_var("edge.pool_ejected=1");
}
