mod random_requests;

use super::*;
use actix_http::h1::{ClientCodec, Codec, Message};
use actix_http::{Request, ResponseHead, ServiceConfig};
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// How a message with these framing fields is read, or why it is rejected.
type Reading = Result<BodyFraming, FramingError>;

/// Every combination of framing fields in an HTTP/1.1 message, and how it is read as a request. A response is read in
/// the same way, but for the row without any field.
fn matrix() -> Vec<(&'static str, Reading)> {
    use FramingError::*;
    vec![
        ("", Ok(BodyFraming::Empty)),
        ("Content-Length: 0\r\n", Ok(BodyFraming::Empty)),
        ("Content-Length: 7\r\n", Ok(BodyFraming::Length(7))),
        ("Content-Length: 007\r\n", Ok(BodyFraming::Length(7))),
        ("content-length:7\r\n", Ok(BodyFraming::Length(7))),
        ("Content-Length: 7\r\nContent-Length: 7\r\n", Err(RepeatedLength)),
        ("Content-Length: 7, 7\r\n", Err(RepeatedLength)),
        ("Content-Length: 7\r\nContent-Length: 8\r\n", Err(DifferingLengths)),
        ("Content-Length: 7, 8\r\n", Err(DifferingLengths)),
        ("Content-Length: 0\r\nContent-Length: 8\r\n", Err(DifferingLengths)),
        ("Content-Length: -7\r\n", Err(InvalidLength)),
        ("Content-Length: +7\r\n", Err(InvalidLength)),
        ("Content-Length: 0x7\r\n", Err(InvalidLength)),
        ("Content-Length: 7 7\r\n", Err(InvalidLength)),
        ("Content-Length: 7,\r\n", Err(InvalidLength)),
        ("Content-Length:\r\n", Err(InvalidLength)),
        ("Content-Length: 18446744073709551616\r\n", Err(InvalidLength)),
        ("Transfer-Encoding: chunked\r\n", Ok(BodyFraming::Chunked)),
        ("Transfer-Encoding: CHUNKED\r\n", Ok(BodyFraming::Chunked)),
        ("Transfer-Encoding: chunked\r\nContent-Length: 7\r\n", Err(TransferEncodingWithLength)),
        ("Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", Err(TransferEncodingWithLength)),
        ("Content-Length: 7\r\nTransfer-Encoding: identity\r\n", Err(TransferEncodingWithLength)),
        ("Transfer-Encoding: gzip\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding: identity\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding:\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding: xchunked\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding: gzip, chunked\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", Err(UnsupportedCoding)),
        ("Transfer-Encoding: chunked, gzip\r\n", Err(ChunkedNotLast)),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", Err(ChunkedNotLast)),
        ("Transfer-Encoding: chunked, chunked\r\n", Err(RepeatedChunked)),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Err(RepeatedChunked)),
    ]
}

fn in_runtime(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test); // the codecs need a runtime
}

fn decode_request(bytes: &str) -> Option<Request> {
    match Codec::new(ServiceConfig::default()).decode(&mut BytesMut::from(bytes)) {
        Ok(Some(Message::Item(request))) => Some(request),
        Ok(_) => panic!("incomplete: {bytes}"),
        Err(_) => None,
    }
}

fn decode_response(bytes: &str) -> Option<ResponseHead> {
    ClientCodec::default().decode(&mut BytesMut::from(bytes)).ok().map(|head| head.expect("complete"))
}

/// Reads a response head as the response monitor does.
fn read_response(bytes: &str, expected: ExpectedResponse) -> Reading {
    match decode_response(bytes) {
        Some(head) => of_response(&head, expected),
        None => Err(rejected_response_form(bytes.as_bytes())),
    }
}

/// Guards against a request that the proxy and the next recipient read in two ways.
#[test]
fn requests_of_every_form_are_read_in_one_way_or_rejected() {
    in_runtime(async {
        for (fields, expected) in matrix() {
            let bytes = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
            // What the HTTP library rejects itself never gets here.
            if let Some(request) = decode_request(&bytes) {
                assert_eq!(of_request(request.head()), expected, "{fields}");
                assert_eq!(head::of_request_bytes(bytes.as_bytes()), expected, "{fields}");
            } else {
                assert!(expected.is_err(), "{fields} is valid");
            }
        }
        let old = "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert!(decode_request(old).is_none());
        let upgrade = "GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 5\r\n\r\n";
        let request = decode_request(upgrade).expect("the library takes it");
        assert_eq!(of_request(request.head()), Err(FramingError::WebSocketUpgrade));
        assert_eq!(head::of_request_bytes(upgrade.as_bytes()), Err(FramingError::WebSocketUpgrade));
    });
}

/// Guards against a response that reaches its client cut, and complete by its framing.
#[test]
fn responses_of_every_form_are_read_in_one_way_or_rejected() {
    use ExpectedResponse::*;
    in_runtime(async {
        for (fields, expected) in matrix() {
            let undelimited = fields.is_empty();
            let expected = if undelimited { Err(FramingError::Undelimited) } else { expected };
            let bytes = |start: &str| format!("{start}\r\n{fields}\r\n");
            assert_eq!(read_response(&bytes("HTTP/1.1 200 OK"), WithBody), expected, "{fields}");
            assert_eq!(read_response(&bytes("HTTP/1.1 404 No"), WithBody), expected, "{fields}");
            for status in ["204 No", "304 Same"] {
                let framing = read_response(&bytes(&format!("HTTP/1.1 {status}")), WithBody);
                // A head that the library rejects has no body either, but is not needed.
                assert!(
                    framing.is_err() && expected.is_err() || framing == Ok(BodyFraming::Empty),
                    "{fields}"
                );
            }
            let old = match expected {
                Err(FramingError::TransferEncodingWithLength | FramingError::InvalidLength) => expected,
                _ if fields.contains("Transfer") => Err(FramingError::TransferEncodingInHttp10),
                _ if undelimited => Ok(BodyFraming::UntilClose),
                _ => expected,
            };
            assert_eq!(read_response(&bytes("HTTP/1.0 200 OK"), WithBody), old, "HTTP/1.0 {fields}");
        }
        let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        assert_eq!(read_response(closing, WithBody), Ok(BodyFraming::UntilClose));
        assert_eq!(
            read_response("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", WithoutBody),
            Ok(BodyFraming::Empty)
        );
        assert_eq!(read_response("HTTP 200 OK\r\n\r\n", WithBody), Err(FramingError::InvalidHead));
    });
}

/// Guards against a head that the proxy has decided on, and that the HTTP client reads in another way.
#[test]
fn http_client_reads_the_head_as_decided() {
    in_runtime(async {
        let heads = [
            "HTTP/1.1 204 No\r\nContent-Length: 7\r\n\r\n",
            "HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\n",
            "HTTP/1.1 426 Other\r\nUpgrade: websocket\r\nContent-Length: 7\r\nX-A: b\r\n\r\n",
            "HTTP/1.1 200 OK\r\nUpgrade: websocket\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
        ];
        for bytes in heads {
            let head = decode_response(bytes).expect("a head");
            let framing = of_response(&head, ExpectedResponse::WithBody).expect("one reading");
            let passed_on = canonical_head(&head, framing);
            let mut passed_on = passed_on.unwrap_or_else(|| BytesMut::from(bytes));
            passed_on.extend_from_slice(b"3\r\nabc\r\n0\r\n\r\n");
            let mut codec = ClientCodec::default();
            let read = codec.decode(&mut passed_on).expect("valid").expect("complete");
            assert_eq!(read.status, head.status, "{bytes}");
            assert_eq!(read.headers.get("x-a"), head.headers.get("x-a"));
            let body = match codec.message_type() {
                actix_http::h1::MessageType::None => BytesMut::new(),
                _ => {
                    let chunk = codec.into_payload_codec().decode(&mut passed_on).expect("valid");
                    BytesMut::from(&chunk.flatten().expect("a chunk")[..])
                }
            };
            let expected: &[u8] = match framing {
                BodyFraming::Empty => b"",
                BodyFraming::Length(_) => b"3\r\nabc\r",
                BodyFraming::Chunked => b"abc",
                BodyFraming::UntilClose => b"3\r\nabc\r\n0\r\n\r\n",
            };
            assert_eq!(body, expected, "{bytes}");
        }
    });
}

/// How long a body in chunks is and whether it is complete, or why it is rejected.
type ScannedBody = Result<(u64, bool), FramingError>;

fn scan_chunks(bytes: &[u8], piece: usize) -> Result<(usize, u64, bool), FramingError> {
    let mut scanner = BodyScanner::new(BodyFraming::Chunked).expect("a body");
    let (mut at, mut body_bytes) = (0, 0);
    for piece in bytes.chunks(piece) {
        let scanned = scanner.scan(piece)?;
        (at, body_bytes) = (at + scanned.bytes, body_bytes + scanned.body_bytes);
        if scanned.is_complete {
            return Ok((at, body_bytes, true));
        }
    }
    Ok((at, body_bytes, false))
}

/// Guards against chunks whose end two recipients would find in different places.
#[test]
fn chunks_of_every_form_are_read_in_one_way_or_rejected() {
    use FramingError::*;
    let long = "x".repeat(20_000);
    let cases: Vec<(String, ScannedBody)> = vec![
        ("3\r\nabc\r\n0\r\n\r\n".into(), Ok((3, true))),
        ("3;a=b\r\nabc\r\n000\r\nT: u\r\n\r\n".into(), Ok((3, true))),
        ("3 \t\r\nabc\r\n0\r\n\r\n".into(), Ok((3, true))),
        ("A\r\n0123456789\r\n0\r\n\r\n".into(), Ok((10, true))),
        ("3\r\nabc\r\n0\r\n".into(), Ok((3, false))),
        ("3\r\nab".into(), Ok((2, false))),
        ("".into(), Ok((0, false))),
        ("\r\n".into(), Err(InvalidChunkSize)),
        ("-3\r\nabc\r\n".into(), Err(InvalidChunkSize)),
        ("0x3\r\nabc\r\n".into(), Err(InvalidChunkSize)),
        ("3 3\r\nabc\r\n".into(), Err(InvalidChunkSize)),
        ("3\nabc\r\n0\r\n\r\n".into(), Err(InvalidChunkSize)),
        ("3\r\rabc".into(), Err(InvalidChunkSize)),
        ("10000000000000000\r\n".into(), Err(ChunkSizeOverflow)),
        ("ffffffffffffffffffff\r\n".into(), Err(ChunkSizeOverflow)),
        ("3\r\nabcd\r\n0\r\n\r\n".into(), Err(InvalidChunkEnd)),
        ("3\r\nabc\n0\r\n\r\n".into(), Err(InvalidChunkEnd)),
        ("3;a\nb\r\nabc\r\n".into(), Err(InvalidChunkExtension)),
        (format!("3;{long}\r\nabc\r\n"), Err(InvalidChunkExtension)),
        (format!("{}3\r\nabc\r\n", "0".repeat(20_000)), Err(InvalidChunkExtension)),
        (format!("0\r\nT: {long}\r\n\r\n"), Err(InvalidTrailers)),
        (format!("0\r\n{}\r\n", "T: u\r\n".repeat(5_000)), Err(InvalidTrailers)),
        ("0\r\nT: u\rX\r\n\r\n".into(), Err(InvalidTrailers)),
        ("0\r\n\rX".into(), Err(InvalidTrailers)),
    ];
    for (bytes, expected) in cases {
        for piece in [1, 2, 3, 7, bytes.len().max(1)] {
            let read = scan_chunks(bytes.as_bytes(), piece).map(|(_, body, complete)| (body, complete));
            assert_eq!(read, expected, "{:?} in pieces of {piece}", &bytes[..bytes.len().min(60)]);
        }
    }
    let followed = b"3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK";
    assert_eq!(scan_chunks(followed, followed.len()), Ok((13, 3, true)), "the next message is left alone");
}

#[test]
fn chunks_with_more_bytes_beside_the_body_than_it_can_need_are_rejected() {
    let mut scanner = BodyScanner::new(BodyFraming::Chunked).expect("a body");
    for _ in 0..100_000 {
        scanner.scan(b"1\r\na\r\n").expect("five bytes for each of the body");
    }
    let mut scanner = BodyScanner::new(BodyFraming::Chunked).expect("a body");
    let chunk = format!("1;{}\r\na\r\n", "x".repeat(1_000));
    let scanned = (0..1_000).find_map(|at| Some((at, scanner.scan(chunk.as_bytes()).err()?)));
    assert!(matches!(scanned, Some((10..100, FramingError::ExcessiveOverhead))), "{scanned:?}");
}

/// Scans a connection in pieces, and returns where its requests end.
fn scan_requests(bytes: &[u8], piece: usize, framings: &[BodyFraming]) -> Vec<Option<u64>> {
    let (mut scanner, mut at, mut ends) = (RequestScanner::default(), 0, Vec::new());
    while at < bytes.len() {
        at += scanner.scan(&bytes[at..bytes.len().min(at + piece)]);
        if let Some(end) = ends.last_mut() {
            *end = scanner.request_end();
        }
        // The HTTP library hands over a request once it has the head.
        while let Some(next) = framings.get(ends.len())
            && scanner.begin_body(*next).is_ok()
        {
            ends.push(scanner.request_end());
        }
    }
    ends
}

/// Guards against a request behind another one, whose last byte was not recognised because its head was read before.
#[test]
fn ends_of_requests_are_found_in_pieces_of_any_length() {
    let five = "POST /a HTTP/1.1\r\nContent-Length: 5\n\r\n";
    let get = "\r\n\nGET / HTTP/1.1\n\n";
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = "3;x\r\na\n\n\r\n0\r\nT: u\r\n\r\n";
    let thousand = "POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n";
    let messages = [&format!("{five}\n\nabc"), get, &format!("{chunked}{chunks}"), get, thousand];
    let bytes = messages.concat();
    let mut end = 0;
    let mut expected = messages.map(|message| {
        end += message.len() as u64;
        Some(end)
    });
    expected[4] = Some(end + 1_000);
    let framings = [
        BodyFraming::Length(5),
        BodyFraming::Empty,
        BodyFraming::Chunked,
        BodyFraming::Empty,
        BodyFraming::Length(1_000),
    ];
    for piece in 1..=bytes.len() {
        assert_eq!(scan_requests(bytes.as_bytes(), piece, &framings), expected, "in pieces of {piece}");
    }
}

#[test]
fn bytes_that_do_not_fit_the_framing_are_not_accepted() {
    let mut scanner = RequestScanner::default();
    assert_eq!(scanner.begin_body(BodyFraming::Empty), Err(FramingError::InvalidHead), "no head was read");
    let head = "POST /a HTTP/1.1\r\n\r\n";
    assert_eq!(scanner.scan(&head.as_bytes()[..9]), 9);
    let behind = format!("{}3\r\nab", &head[9..]);
    assert_eq!(scanner.scan(behind.as_bytes()), head.len() - 9, "the head was not read at once");
    assert!(!scanner.accepts_bytes() && scanner.scan(b"3\r\nab") == 0, "its framing is not decided");
    scanner.begin_body(BodyFraming::Chunked).expect("the end of the head");
    assert_eq!(scanner.scan(b"3\r\nab"), 5);
    assert_eq!((scanner.error(), scanner.request_end()), (None, None));
    assert_eq!(scanner.scan(b"cX"), 0);
    assert_eq!((scanner.error(), scanner.request_end()), (Some(FramingError::InvalidChunkEnd), None));
    assert_eq!(scanner.scan(b"GET / HTTP/1.1\r\n\r\n"), 0, "nothing behind them is a request");
    assert_eq!(scanner.begin_body(BodyFraming::Empty), Err(FramingError::InvalidChunkEnd));
}

#[test]
fn requests_that_were_not_handed_over_are_not_the_current_one() {
    let head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (whole, mut scanner) = (format!("{head}0\r\n\r\n"), RequestScanner::default());
    let bytes = format!("{whole}{whole}{head}X");
    assert_eq!(scanner.scan(bytes.as_bytes()), bytes.len() - 1);
    assert_eq!((scanner.request_end(), scanner.error()), (None, None));
    for number in 1..=2 {
        scanner.begin_body(BodyFraming::Chunked).expect("as scanned");
        let end = number * whole.len() as u64;
        assert_eq!((scanner.request_end(), scanner.error()), (Some(end), None), "the fault is behind it");
    }
    assert_eq!(scanner.begin_body(BodyFraming::Chunked), Err(FramingError::InvalidChunkSize));

    let mut scanner = RequestScanner::default();
    scanner.scan(whole.as_bytes());
    assert_eq!(
        scanner.begin_body(BodyFraming::Length(5)),
        Err(FramingError::InvalidHead),
        "read in another way"
    );

    let (get, mut scanner) = ("GET / HTTP/1.1\r\n\r\n", RequestScanner::default());
    assert_eq!(scanner.scan(get.repeat(40).as_bytes()), 16 * get.len(), "as many as the library takes");
    scanner.begin_body(BodyFraming::Empty).expect("as scanned");
    assert_eq!(scanner.scan(get.repeat(24).as_bytes()), get.len());
}

#[test]
fn rejected_forms_are_counted_by_name_and_side() {
    let counts = RejectedForms::default();
    assert_eq!(counts.to_string(), "");
    counts.count(Side::Client, FramingError::DifferingLengths);
    counts.count(Side::Endpoint, FramingError::TransferEncodingWithLength);
    counts.count(Side::Endpoint, FramingError::TransferEncodingWithLength);
    let expected =
        "edge.rejected_request.differing_lengths=1\nedge.rejected_response.transfer_encoding_with_length=2\n";
    assert_eq!(counts.to_string(), expected);
}
