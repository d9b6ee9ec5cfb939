//! Tests of messages whose head and body do not fit each other: no client gets a response that is cut and complete
//! by its framing, and no backend a request that can be read in two ways.

mod scenario;
mod site;
use scenario::http::read_head;
use scenario::{STEP_TIMEOUT, serve};
use site::{Process, Site, generous_settings};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const MEMORY_MB: usize = 64;
/// More writes of 6 kB than all buffers on the way take.
const MAX_TRAILER_WRITES: usize = 5_000;
/// A body that is buffered whole, and one that is forwarded before its end is known.
const BODY_LENGTHS: [usize; 2] = [1_000, 100_000];

/// A response: its framing fields, and how its body is sent.
struct Form {
    start: &'static str,
    fields: &'static str,
    content: fn(&[u8]) -> Vec<u8>,
    /// Whether its client gets the body; otherwise it must notice that it does not.
    is_served: bool,
    /// The name of the form in the statistics, if it is rejected for it.
    name: Option<&'static str>,
}

fn plain(body: &[u8]) -> Vec<u8> {
    body.to_vec()
}

fn chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(7_000) {
        bytes.extend_from_slice(format!("{:x};a=b\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nT: u\r\n\r\n");
    bytes
}

fn with_overflow(body: &[u8]) -> Vec<u8> {
    [&b"10000000000000001\r\n"[..], &chunks(body)].concat()
}

fn without_last_chunk(body: &[u8]) -> Vec<u8> {
    let bytes = chunks(body);
    bytes[..bytes.len() - b"0\r\nT: u\r\n\r\n".len()].to_vec()
}

const fn form(fields: &'static str, content: fn(&[u8]) -> Vec<u8>) -> Form {
    Form { start: "HTTP/1.1 200 OK", fields, content, is_served: false, name: None }
}

const fn rejected(fields: &'static str, content: fn(&[u8]) -> Vec<u8>, name: &'static str) -> Form {
    Form { name: Some(name), ..form(fields, content) }
}

/// `LENGTH` stands for the length of the body, `SHORTER` and `LONGER` for other ones.
const RESPONSES: [Form; 20] = [
    Form { is_served: true, ..form("Content-Length: LENGTH\r\n", plain) },
    Form { is_served: true, ..form("Transfer-Encoding: chunked\r\n", chunks) },
    Form { is_served: true, ..form("Connection: close\r\n", plain) },
    Form { start: "HTTP/1.0 200 OK", is_served: true, ..form("Content-Length: LENGTH\r\n", plain) },
    rejected(
        "Transfer-Encoding: chunked\r\nContent-Length: SHORTER\r\n",
        chunks,
        "transfer_encoding_with_length",
    ),
    rejected(
        "Content-Length: LONGER\r\nTransfer-Encoding: chunked\r\n",
        chunks,
        "transfer_encoding_with_length",
    ),
    rejected(
        "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n",
        chunks,
        "transfer_encoding_with_length",
    ),
    rejected(
        "Content-Length: SHORTER\r\nTransfer-Encoding: identity\r\n",
        plain,
        "transfer_encoding_with_length",
    ),
    rejected("Content-Length: SHORTER\r\nContent-Length: LENGTH\r\n", plain, "differing_lengths"),
    rejected("Content-Length: SHORTER, LENGTH\r\n", plain, "differing_lengths"),
    rejected("Content-Length: LENGTH\r\nContent-Length: LENGTH\r\n", plain, "repeated_length"),
    rejected("Content-Length: -1\r\n", plain, "invalid_length"),
    rejected("Transfer-Encoding: chunked, identity\r\n", chunks, "chunked_not_last"),
    rejected("Transfer-Encoding: gzip, chunked\r\n", chunks, "unsupported_coding"),
    rejected("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks, "repeated_chunked"),
    rejected("Transfer-Encoding: chunked\r\n", with_overflow, "chunk_size_overflow"),
    Form {
        start: "HTTP/1.0 200 OK",
        ..rejected("Transfer-Encoding: chunked\r\n", chunks, "transfer_encoding_in_http_1_0")
    },
    rejected("X-No-Length: 1\r\n", plain, "undelimited"),
    form("Content-Length: LONGER\r\n", plain),
    form("Transfer-Encoding: chunked\r\n", without_last_chunk),
];

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

/// Starts a backend that answers `GET /FORM/LENGTH` with a response of that form, and closes.
fn backend() -> SocketAddr {
    serve(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(head) = read_head(&mut reader) {
            if head.starts_with("GET /health") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                continue;
            }
            let mut numbers = head.split(['/', ' ']).filter_map(|word| word.parse::<usize>().ok());
            let form = &RESPONSES[numbers.next().expect("a form")];
            let body = body(numbers.next().expect("a length"));
            let fields = form.fields.replace("LENGTH", &body.len().to_string());
            let fields = fields.replace("SHORTER", &(body.len() * 7 / 10).to_string());
            let fields = fields.replace("LONGER", &(body.len() * 2).to_string());
            let _ = stream.write_all(format!("{}\r\n{fields}\r\n", form.start).as_bytes());
            let _ = stream.write_all(&(form.content)(&body));
            let _ = stream.shutdown(Shutdown::Write);
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
            return;
        }
    })
}

fn connect(listen: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(listen).expect("connected");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("set");
    BufReader::new(stream)
}

/// Reads the body of a response; `None` if it is not complete by its framing.
fn read_body(reader: &mut impl BufRead, head: &str) -> Option<Vec<u8>> {
    let head = head.to_lowercase();
    let mut body = Vec::new();
    if let Some((_, length)) = head.split_once("content-length: ") {
        body.resize(length.lines().next()?.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        reader.read_line(&mut line).ok()?;
        if length == 0 {
            return Some(body);
        }
    }
}

fn vars(process: &Process) -> String {
    process.admin_request("GET /_vars", "")
}

/// Guards against review case 8: a long response in chunks with a false length reached its client cut, and complete by
/// its framing.
#[test]
fn response_of_any_form_is_served_whole_or_its_client_notices() {
    let backend = backend();
    let settings = generous_settings().replace("\"max-attempts\":3", "\"max-attempts\":1");
    for (number, form) in RESPONSES.iter().enumerate() {
        let site = Site::with(&settings, MEMORY_MB, &[("a", backend)]);
        let process = site.start_ready();
        for length in BODY_LENGTHS {
            let mut client = connect(site.listen);
            let request = format!(
                "GET /{number}/{length} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r{length}\r\nX-Class: view\r\n\r\n"
            );
            client.get_mut().write_all(request.as_bytes()).expect("written");
            let head = read_head(&mut client);
            let is_ok = head.as_ref().is_some_and(|head| head.starts_with("HTTP/1.1 200"));
            let received =
                if is_ok { read_body(&mut client, head.as_deref().unwrap_or_default()) } else { None };
            let name = format!("{} {:?} of {length}", form.start, form.fields);
            match received {
                Some(received) => assert!(form.is_served && received == body(length), "{name}"),
                None => assert!(!form.is_served, "{name}: {head:?}"),
            }
            if let Some(name) = form.name {
                // Nothing of a head that is rejected is forwarded. Chunks are rejected when they come.
                let is_head = !name.contains("chunk_size");
                assert!(!is_ok || !is_head, "{name}: {head:?}");
            }
        }
        if let Some(name) = form.name {
            process.wait_until(name, |process| {
                vars(process).contains(&format!("edge.rejected_response.{name}="))
            });
            process.program.line(&format!("form: {name}"));
        }
    }
}

/// Guards against a response that breaks off, and that looks complete to a client for which the end of the connection
/// is the end of the response.
#[test]
fn response_that_breaks_off_towards_an_http_1_0_client_ends_with_a_reset() {
    let (chunked, without_end) = (1, RESPONSES.len() - 1);
    let site = Site::with(&generous_settings(), MEMORY_MB, &[("a", backend())]);
    let _process = site.start_ready();
    for (number, is_complete) in [(chunked, true), (without_end, false)] {
        let mut client = connect(site.listen);
        let request =
            format!("GET /{number}/100000 HTTP/1.0\r\nX-Request-Id: r{number}\r\nX-Class: view\r\n\r\n");
        client.get_mut().write_all(request.as_bytes()).expect("written");
        let head = read_head(&mut client).expect("a head");
        assert!(head.contains(" 200 ") && !head.to_lowercase().contains("content-length"), "{head}");
        let mut received = Vec::new();
        let end = client.read_to_end(&mut received).map_err(|error| error.kind());
        if is_complete {
            assert_eq!(end, Ok(100_000), "{head}");
            assert!(received == body(100_000));
        } else {
            assert_eq!(end, Err(ErrorKind::ConnectionReset));
        }
    }
}

/// Guards against a request that the proxy and a backend read in two ways.
#[test]
fn request_of_a_rejected_form_gets_400_and_no_backend_sees_it() {
    let requests = Arc::new(AtomicUsize::new(0));
    let heads = Arc::new(Mutex::new(Vec::new()));
    let (counted, seen) = (requests.clone(), heads.clone());
    let backend = serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(head) = read_head(&mut reader) {
            if !head.starts_with("GET /health") {
                counted.fetch_add(1, Ordering::Relaxed);
                let body = read_body(&mut reader, &head).expect("complete");
                seen.lock().expect("unpoisoned").push((head, body));
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let site = Site::with(&generous_settings(), MEMORY_MB, &[("a", backend)]);
    let process = site.start_ready();
    let rejected = [
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: identity\r\n",
        "Connection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 3\r\n",
        "Connection: upgrade\r\nUpgrade: websocket\r\n",
    ];
    let send = |fields: &str, content: &str| {
        let mut client = connect(site.listen);
        let request = format!(
            "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\n{fields}\r\n{content}"
        );
        client.get_mut().write_all(request.as_bytes()).expect("written");
        let head = read_head(&mut client).expect("a response");
        (client, head)
    };
    for fields in rejected {
        let (mut client, head) = send(fields, "3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
        assert!(head.starts_with("HTTP/1.1 400"), "{fields}: {head}");
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).expect("closed without a reset");
        assert!(!String::from_utf8_lossy(&rest).contains("HTTP/1.1"), "{fields}: only one response");
    }
    assert_eq!(requests.load(Ordering::Relaxed), 0);
    let counts = vars(&process);
    let counted: u64 = counts
        .lines()
        .filter_map(|line| {
            line.strip_prefix("edge.rejected_request.")?.split_once('=')?.1.parse::<u64>().ok()
        })
        .sum();
    assert_eq!(counted, rejected.len() as u64, "{counts}");
    assert!(counts.contains("edge.rejected_request.websocket_upgrade=2\n"), "{counts}");

    for (fields, content) in [
        ("Content-Length: 3\r\n", "abc"),
        ("Transfer-Encoding: chunked\r\n", "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n"),
    ] {
        let (_, head) = send(fields, content);
        assert!(head.starts_with("HTTP/1.1 200"), "{fields}: {head}");
        let (head, body) = heads.lock().expect("unpoisoned").pop().expect("seen");
        assert_eq!((head.to_lowercase().contains("content-length: 3\r\n"), &body[..]), (true, &b"abc"[..]));
    }
}

/// Guards against a body that the HTTP library takes and a strict reader does not, and against one that is rejected without
/// a name once a part of it was passed on.
#[test]
fn request_body_that_does_not_fit_its_chunks_gets_400_and_no_backend_has_it_whole() {
    let whole = Arc::new(AtomicUsize::new(0));
    let counted = whole.clone();
    let backend = serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(head) = read_head(&mut reader) {
            if !head.starts_with("GET /health") {
                if read_body(&mut reader, &head).is_none() {
                    return;
                }
                counted.fetch_add(1, Ordering::Relaxed);
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let site = Site::with(&generous_settings(), MEMORY_MB, &[("a", backend)]);
    let process = site.start_ready();
    let long_line = "x".repeat(20_000);
    let endings = [
        ("3\r\nabcd\r\n0\r\n\r\n", "invalid_chunk_end"),
        ("-3\r\nabc\r\n0\r\n\r\n", "invalid_chunk_size"),
        ("10000000000000003\r\nabc\r\n0\r\n\r\n", "chunk_size_overflow"),
        ("3;a\nb\r\nabc\r\n0\r\n\r\n", "invalid_chunk_extension"),
        (&format!("3;{long_line}\r\nabc\r\n0\r\n\r\n"), "invalid_chunk_extension"),
        ("0\r\nT: \u{7}\r\n\r\n", "invalid_trailers"),
        ("0\r\nT: u\nV: w\r\n\r\n", "invalid_trailers"),
        (&format!("0\r\nT: {long_line}\r\n\r\n"), "invalid_trailers"),
        (&format!("0\r\nT: {long_line}"), "invalid_trailers"),
    ];
    let count = |name: &str| {
        let prefix = format!("edge.rejected_request.{name}=");
        vars(&process).lines().find_map(|line| line.strip_prefix(&prefix)?.parse::<usize>().ok()).unwrap_or(0)
    };
    // A body that is buffered whole, and one that is passed on before its end.
    for start in [0, 400_000] {
        for (ending, name) in endings {
            let (mut client, before) = (connect(site.listen), count(name));
            let head = "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\nTransfer-Encoding: chunked\r\n\r\n";
            let start = chunks(&body(start));
            let start = &start[..start.len() - b"0\r\nT: u\r\n\r\n".len()];
            let request = [head.as_bytes(), start, ending.as_bytes()].concat();
            client.get_mut().write_all(&request).expect("written");
            let head = read_head(&mut client).expect("a response");
            assert!(head.starts_with("HTTP/1.1 400"), "{name} behind {}: {head}", start.len());
            assert_eq!(count(name), before + 1, "{name}");
        }
    }
    assert_eq!(whole.load(Ordering::Relaxed), 0);
}

/// Guards against trailers without end, which hold a connection and its memory for as long as the client likes.
#[test]
fn request_with_trailers_without_end_is_rejected() {
    let backend = backend();
    let site = Site::with(&generous_settings(), MEMORY_MB, &[("a", backend)]);
    let process = site.start_ready();
    let mut client = connect(site.listen);
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Class: view\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.get_mut().write_all(format!("{head}3\r\nabc\r\n0\r\n").as_bytes()).expect("written");
    let trailers = "T: u\r\n".repeat(1_000);
    // The proxy closes at some point, and the client can't write any more then.
    let is_closed = (0..MAX_TRAILER_WRITES).any(|_| client.get_mut().write_all(trailers.as_bytes()).is_err());
    assert!(is_closed, "the proxy reads on");
    let form = "edge.rejected_request.invalid_trailers=1";
    process.wait_until(form, |process| vars(process).contains(form));
}
