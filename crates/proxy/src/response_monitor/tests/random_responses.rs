//! Random responses, in random pieces, through the monitor and the codec of the HTTP client. An independent strict
//! reader, which has the whole bytes at once, says what the body is.

use super::*;
use actix_http::h1::MessageType;
use std::env;

/// The number of responses in an ordinary run. `OLIVECART_FUZZ_RESPONSES` sets another one.
const RESPONSES: usize = 20_000;
const SEED: u64 = 0x5eed_0047;
const MAX_BODY: usize = 4_000;

/// What a strict reader makes of a response.
#[derive(Debug, PartialEq)]
enum StrictReading {
    Body(Vec<u8>),
    Rejected,
    Incomplete,
}

/// Picks one of several texts.
fn pick<'a>(random: &mut fastrand::Rng, texts: &[&'a str]) -> &'a str {
    texts[random.usize(..texts.len())]
}

fn random_bytes(random: &mut fastrand::Rng) -> Vec<u8> {
    let length = if random.bool() { random.usize(..40) } else { random.usize(..MAX_BODY) };
    (0..length)
        .map(|_| if random.u8(..8) == 0 { b"\r\n0;"[random.usize(..4)] } else { random.u8(..) })
        .collect()
}

/// Returns a body in chunks, now and then with a fault.
fn chunked(random: &mut fastrand::Rng, body: &[u8]) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), body);
    while !rest.is_empty() {
        let length = random.usize(1..=rest.len());
        let size = match random.u8(..60) {
            0 => format!("{:x}", length + 1),
            1 => pick(random, &["-1", "g", "", "ffffffffffffffffff", "1 1"]).to_owned(),
            2 => format!("00{length:X}"),
            _ => format!("{length:x}"),
        };
        let extension =
            if random.u8(..20) == 0 { pick(random, &[";a", ";a=\"b\"", " ", "\t;c", ";\n"]) } else { "" };
        bytes.extend_from_slice(format!("{size}{extension}\r\n").as_bytes());
        bytes.extend_from_slice(&rest[..length]);
        bytes.extend_from_slice(if random.u8(..80) == 0 { b"\n" } else { b"\r\n" });
        rest = &rest[length..];
    }
    if random.u8(..20) > 0 {
        bytes.extend_from_slice(b"0\r\n");
        bytes.extend_from_slice(if random.u8(..10) == 0 { b"T: u\r\n\r\n" } else { b"\r\n" });
    }
    bytes
}

/// Returns a response whose head and body mostly fit each other.
fn random_response(random: &mut fastrand::Rng) -> Vec<u8> {
    let body = random_bytes(random);
    let version = if random.u8(..8) == 0 { "HTTP/1.0" } else { "HTTP/1.1" };
    let status = pick(random, &["200 OK", "200 OK", "200 OK", "404 No", "204 No", "304 Same", "500 Broken"]);
    let is_chunked = random.bool();
    let mut fields: Vec<String> = Vec::new();
    if is_chunked {
        fields.push(format!(
            "Transfer-Encoding: {}",
            match random.u8(..12) {
                0 => pick(
                    random,
                    &["identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "Chunked"]
                ),
                _ => "chunked",
            }
        ));
    }
    if !is_chunked || random.u8(..8) == 0 {
        fields.push(match random.u8(..16) {
            0 => format!(
                "Content-Length: {}",
                pick(random, &["-1", "+1", "x", "", "99999999999999999999", "1, 1"])
            ),
            1 => format!("Content-Length: {}", random.usize(..MAX_BODY)),
            2 => "X-No-Length: 1".to_owned(),
            _ => format!("Content-Length: {}", body.len()),
        });
    }
    for (share, field) in [
        (10, "Connection: close"),
        (20, "Upgrade: websocket"),
        (40, "Content-Length: 3"),
        (40, "Transfer-Encoding: chunked"),
    ] {
        if random.u8(..share) == 0 {
            fields.push(field.to_owned());
        }
    }
    random.shuffle(&mut fields);
    let mut bytes = format!("{version} {status}\r\n{}\r\n\r\n", fields.join("\r\n")).into_bytes();
    let content = if is_chunked { chunked(random, &body) } else { body };
    bytes.extend_from_slice(&content);
    if random.u8(..6) == 0 {
        let length = bytes.len() - random.usize(..content.len() + 1);
        bytes.truncate(length);
    }
    bytes
}

/// Reads a whole response with the strictest rules, without the code under test.
fn read_strictly(bytes: &[u8]) -> StrictReading {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return StrictReading::Incomplete;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let body = &bytes[end + 4..];
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_lowercase()))
        .collect();
    let values = |wanted: &str| -> Vec<&str> {
        fields.iter().filter(|(name, _)| name == wanted).map(|(_, value)| value.as_str()).collect()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    let has_no_body = start.contains(" 204 ") || start.contains(" 304 ");
    // A head that is wrong in itself may be rejected or not where there is no body.
    match (&lengths[..], &codings[..]) {
        _ if has_no_body => StrictReading::Body(Vec::new()),
        ([], []) if start.starts_with("HTTP/1.0") || values("connection").contains(&"close") => {
            StrictReading::Body(body.to_vec())
        }
        ([], ["chunked"]) if start.starts_with("HTTP/1.1") => read_chunks_strictly(body),
        ([length], []) if !length.is_empty() && length.bytes().all(|digit| digit.is_ascii_digit()) => {
            match length.parse::<usize>() {
                Ok(length) if body.len() < length => StrictReading::Incomplete,
                Ok(length) => StrictReading::Body(body[..length].to_vec()),
                Err(_) => StrictReading::Rejected,
            }
        }
        _ => StrictReading::Rejected,
    }
}

fn read_chunks_strictly(mut rest: &[u8]) -> StrictReading {
    let mut body = Vec::new();
    let line = |rest: &[u8]| rest.windows(2).position(|two| two == b"\r\n");
    loop {
        let Some(end) = line(rest) else {
            return if is_size_line(rest) { StrictReading::Incomplete } else { StrictReading::Rejected };
        };
        if !is_size_line(&rest[..end]) || end == 0 {
            return StrictReading::Rejected;
        }
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let digits = text.split([';', ' ', '\t']).next().unwrap_or_default().to_owned();
        let Ok(size) = u64::from_str_radix(&digits, 16) else { return StrictReading::Rejected };
        rest = &rest[end + 2..];
        if size == 0 {
            break;
        }
        if (rest.len() as u64) < size {
            return StrictReading::Incomplete;
        }
        body.extend_from_slice(&rest[..size as usize]);
        rest = &rest[size as usize..];
        match rest {
            [b'\r', b'\n', ..] => rest = &rest[2..],
            [] | [b'\r'] => return StrictReading::Incomplete,
            _ => return StrictReading::Rejected,
        }
    }
    loop {
        match line(rest) {
            None => return StrictReading::Incomplete,
            Some(0) => return StrictReading::Body(body),
            Some(end) => rest = &rest[end + 2..],
        }
    }
}

/// Whether bytes may be the line of a chunk's size, or the start of one.
fn is_size_line(bytes: &[u8]) -> bool {
    let digits = bytes.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let mut rest = &bytes[digits..];
    if digits == 0 {
        return bytes.is_empty();
    }
    while let [b' ' | b'\t', tail @ ..] = rest {
        rest = tail;
    }
    match rest {
        [] | [b'\r'] => true,
        [b';', extension @ ..] => {
            let extension = extension.strip_suffix(b"\r").unwrap_or(extension);
            extension.iter().all(|byte| *byte == b'\t' || *byte >= b' ' && *byte != 127)
        }
        _ => false,
    }
}

/// Passes bytes in pieces through the monitor, and what it passes on through the codec of the HTTP client.
fn read_through_monitor(random: &mut fastrand::Rng, bytes: &[u8]) -> StrictReading {
    let monitor = ResponseMonitor::new(usize::MAX);
    monitor.on_connected();
    monitor.begin_request(None);
    monitor.on_write(&NOTHING).expect("no check");
    let mut passed_on = BytesMut::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = random.usize(1..=rest.len());
        let mut reading = monitor.reading.borrow_mut();
        reading.raw.extend_from_slice(&rest[..length]);
        if monitor.split_messages(&mut reading).is_err() {
            return StrictReading::Rejected;
        }
        passed_on.extend_from_slice(&reading.decoded.split());
        rest = &rest[length..];
    }
    let mut codec = ClientCodec::default();
    let Ok(Some(_)) = codec.decode(&mut passed_on) else { return StrictReading::Incomplete };
    let mut body = Vec::new();
    if monitor.framing() != BodyFraming::Empty {
        assert!(!matches!(codec.message_type(), MessageType::None), "the client reads no body");
        let mut codec = codec.into_payload_codec();
        let mut has_ended = false;
        while !has_ended {
            match codec.decode(&mut passed_on).expect("what the monitor passes on is valid") {
                Some(Some(chunk)) => body.extend_from_slice(&chunk),
                Some(None) => has_ended = true,
                None => break,
            }
        }
        let is_complete = monitor.is_response_complete();
        assert!(
            monitor.framing() == BodyFraming::UntilClose || has_ended == is_complete,
            "the readings differ"
        );
        if monitor.framing() != BodyFraming::UntilClose && !is_complete {
            return StrictReading::Incomplete;
        }
    }
    StrictReading::Body(body)
}

/// Guards against any response that the monitor, the HTTP client and a strict reader do not read alike.
#[test]
fn random_responses_are_read_as_a_strict_reader_reads_them() {
    let responses = env::var("OLIVECART_FUZZ_RESPONSES").ok().and_then(|count| count.parse().ok());
    let seed = env::var("OLIVECART_FUZZ_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    actix_rt::System::new().block_on(async {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut served = 0;
        for number in 0..responses.unwrap_or(RESPONSES) {
            let bytes = random_response(&mut random);
            let (expected, read) = (read_strictly(&bytes), read_through_monitor(&mut random, &bytes));
            let text = || String::from_utf8_lossy(&bytes).into_owned();
            match (&read, &expected) {
                // The library may reject a head that is wrong in itself, also where there is no body.
                (StrictReading::Rejected, StrictReading::Body(body)) if body.is_empty() => {
                    let head = text();
                    assert!(head.contains(" 204 ") || head.contains(" 304 "), "response {number}: {head:?}");
                }
                // What is missing can't make it valid any more, or that is not yet known.
                (
                    StrictReading::Rejected | StrictReading::Incomplete,
                    StrictReading::Incomplete | StrictReading::Rejected,
                ) => {}
                _ => assert!(read == expected, "response {number}: {read:?}, not {expected:?}: {:?}", text()),
            }
            served += usize::from(matches!(read, StrictReading::Body(_)));
        }
        assert!(served > responses.unwrap_or(RESPONSES) / 5, "most are valid: {served}");
    });
}
