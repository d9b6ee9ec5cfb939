//! Random requests on one connection, in random pieces, through the scanner and the codec of the HTTP library, which
//! have to find the same ends.

use super::*;
use std::env;

/// The number of connections in an ordinary run. `OLIVECART_FUZZ_REQUESTS` sets another one, `OLIVECART_FUZZ_SEED` the
/// seed.
const CONNECTIONS: usize = 20_000;
const SEED: u64 = 0x5eed_0048;
const MAX_REQUESTS: usize = 6;
const MAX_BODY: usize = 600;

fn pick<'a>(random: &mut fastrand::Rng, texts: &[&'a str]) -> &'a str {
    texts[random.usize(..texts.len())]
}

/// Returns a line end, mostly the usual one.
fn line_end(random: &mut fastrand::Rng) -> &'static str {
    if random.u8(..40) == 0 { "\n" } else { "\r\n" }
}

fn random_body(random: &mut fastrand::Rng) -> Vec<u8> {
    let length = random.usize(..MAX_BODY);
    (0..length).map(|_| if random.bool() { b"\r\n0;G:"[random.usize(..6)] } else { random.u8(..) }).collect()
}

/// Returns a body in chunks, now and then with a fault.
fn random_chunks(random: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..random.usize(..5) {
        let data = random_body(random);
        if data.is_empty() {
            continue;
        }
        let extension = pick(random, &["", "", "", "", ";a=b", " ", "\t"]);
        bytes.extend_from_slice(format!("{:x}{extension}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(&data);
        bytes.extend_from_slice(if random.u8(..200) == 0 { b"\r" } else { b"\r\n" });
    }
    let trailers = pick(random, &["", "", "", "T: u\r\n", "T: u\r\nV: w\r\n"]);
    bytes.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    bytes
}

fn random_request(random: &mut fastrand::Rng) -> Vec<u8> {
    let (field, body) = match random.u8(..61) {
        0..20 => (String::new(), Vec::new()),
        20..40 => {
            let body = random_body(random);
            (format!("Content-Length: {}", body.len()), body)
        }
        40..60 => ("Transfer-Encoding: chunked".to_owned(), random_chunks(random)),
        _ => {
            let fields =
                ["Content-Length: 3\r\nTransfer-Encoding: chunked", "Content-Length: x", "Bad", "A : b"];
            (pick(random, &fields).to_owned(), random_body(random))
        }
    };
    let mut head = pick(random, &["", "", "", "\r\n", "\n\r\n"]).to_owned();
    head += pick(random, &["GET /a ", "POST /a "]);
    head += if random.u8(..20) == 0 { "HTTP/1.0" } else { "HTTP/1.1" };
    for field in ["Host: h", field.as_str(), "X-A:", "X-B: c d\t"].iter().filter(|field| !field.is_empty()) {
        head += line_end(random);
        head += field;
    }
    head += line_end(random);
    head += line_end(random);
    [head.as_bytes(), &body].concat()
}

/// How a connection's requests were read.
#[derive(Debug, Default)]
struct Ends {
    /// Where requests end for the library.
    found: usize,
    /// Whether one was rejected by the library, by the framing, or by the scanner.
    rejected: bool,
}

/// Reads a connection with both, and compares where its requests end.
fn read_connection(random: &mut fastrand::Rng, bytes: &[u8]) -> Ends {
    let (mut scanner, mut codec) = (RequestScanner::default(), Codec::new(ServiceConfig::default()));
    let mut is_in_body = false;
    let (mut ends, mut fed, mut unread) = (Ends { found: 0, rejected: false }, 0, BytesMut::new());
    let largest = random.usize(1..=bytes.len());
    while fed < bytes.len() {
        let piece = &bytes[fed..][..random.usize(1..=largest).min(bytes.len() - fed)];
        let accepted = scanner.scan(piece);
        if accepted == 0 {
            assert!(scanner.error().is_some(), "the library found no head");
            return Ends { rejected: true, ..ends };
        }
        fed += accepted;
        unread.extend_from_slice(&piece[..accepted]);
        loop {
            let message = codec.decode(&mut unread);
            let consumed = (fed - unread.len()) as u64;
            let has_ended = match message {
                Ok(None) => break,
                Ok(Some(Message::Chunk(Some(_)))) => false,
                Ok(Some(Message::Chunk(None))) => true,
                Ok(Some(Message::Item(request))) => {
                    let framing = of_request(request.head());
                    let begun = framing.and_then(|framing| scanner.begin_body(framing));
                    if let Err(error) = begun {
                        assert!(error != FramingError::InvalidHead, "the scanner found no head");
                        return Ends { rejected: true, ..ends };
                    }
                    is_in_body = framing != Ok(BodyFraming::Empty);
                    !is_in_body
                }
                // What is a head for the scanner may be none for the library.
                Err(_) => {
                    assert!(!is_in_body, "the scanner accepts what the library does not");
                    return Ends { rejected: true, ..ends };
                }
            };
            if has_ended {
                is_in_body = false;
                assert_eq!(scanner.request_end(), Some(consumed));
                ends.found += 1;
            }
        }
    }
    ends
}

fn from_env(name: &str) -> Option<u64> {
    env::var(name).ok().map(|value| value.parse().expect("a number"))
}

#[test]
fn random_requests_end_where_the_http_library_finds_their_ends() {
    in_runtime(async {
        let connections = from_env("OLIVECART_FUZZ_REQUESTS").map_or(CONNECTIONS, |number| number as usize);
        let seed = from_env("OLIVECART_FUZZ_SEED").unwrap_or(SEED);
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut found, mut rejected) = (0, 0);
        for number in 0..connections {
            let requests = 1 + random.usize(..MAX_REQUESTS);
            let bytes: Vec<u8> = (0..requests).flat_map(|_| random_request(&mut random)).collect();
            let mut pieces = random.fork();
            let read = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                read_connection(&mut pieces, &bytes)
            }));
            let ends = read.unwrap_or_else(|_| {
                panic!("seed {seed}, connection {number}: {:?}", String::from_utf8_lossy(&bytes))
            });
            found += ends.found;
            rejected += usize::from(ends.rejected);
        }
        // Most are read to the end, and some are not.
        assert!(found > 2 * connections && rejected > connections / 50, "{found} ends, {rejected} rejected");
    });
}
