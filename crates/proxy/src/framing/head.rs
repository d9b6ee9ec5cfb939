//! The framing that a message's head declares.

use super::FramingError;
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING, UPGRADE};
use actix_http::{RequestHead, ResponseHead, StatusCode, Version};
use bytes::{BufMut, BytesMut};
use std::mem::MaybeUninit;

const CHUNKED: &[u8] = b"chunked";
/// The only value of `Upgrade` for which the HTTP libraries read the rest of the connection as a body.
const WEBSOCKET: &str = "websocket";
/// The most fields of a head that are looked at to name the form of a rejected one.
const MAX_FIELDS: usize = 96;

/// Where the body of a message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes, at least one.
    Length(u64),
    /// The body is in chunks.
    Chunked,
    /// The body of a response ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// The number of bytes of the body, if the head gives it.
    pub fn length(self) -> Option<u64> {
        match self {
            BodyFraming::Empty => Some(0),
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }
}

/// Which response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedResponse {
    /// The response to a HEAD request, which never has a body.
    WithoutBody,
    /// Any other response.
    WithBody,
}

/// Decides the framing of a request.
///
/// # Errors
/// The head can be read in more than one way, or asks for an upgrade that is not supported.
pub fn of_request(head: &RequestHead) -> Result<BodyFraming, FramingError> {
    if upgrades_to_websocket(&head.headers) {
        return Err(FramingError::WebSocketUpgrade);
    }
    Ok(declared_by(head.version, &head.headers)?.unwrap_or(BodyFraming::Empty))
}

/// Decides the framing of a request from the bytes of its head.
///
/// # Errors
/// The head is malformed, can be read in more than one way, or asks for an upgrade that is not supported.
pub fn of_request_bytes(bytes: &[u8]) -> Result<BodyFraming, FramingError> {
    let mut fields = [const { MaybeUninit::uninit() }; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut []);
    let parsed = request.parse_with_uninit_headers(bytes, &mut fields);
    if !matches!(parsed, Ok(httparse::Status::Complete(_))) {
        return Err(FramingError::InvalidHead);
    }
    let values = |name: HeaderName| values_of(request.headers, name);
    if values(UPGRADE).any(|protocol| protocol.trim_ascii().eq_ignore_ascii_case(WEBSOCKET.as_bytes())) {
        return Err(FramingError::WebSocketUpgrade);
    }
    let framing = declared(version_of(request.version), values(CONTENT_LENGTH), values(TRANSFER_ENCODING))?;
    Ok(framing.unwrap_or(BodyFraming::Empty))
}

/// Decides the framing of a response, as RFC 9112, section 6.3, lists the cases.
///
/// # Errors
/// The head can be read in more than one way.
pub fn of_response(head: &ResponseHead, expected: ExpectedResponse) -> Result<BodyFraming, FramingError> {
    if expected == ExpectedResponse::WithoutBody || never_has_body(head.status) {
        return Ok(BodyFraming::Empty);
    }
    match declared_by(head.version, &head.headers)? {
        Some(framing) => Ok(framing),
        None if head.version == Version::HTTP_10 || closes_connection(&head.headers) => {
            Ok(BodyFraming::UntilClose)
        }
        None => Err(FramingError::Undelimited),
    }
}

fn never_has_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn upgrades_to_websocket(headers: &HeaderMap) -> bool {
    let mut protocols = headers.get_all(UPGRADE).filter_map(|value| value.to_str().ok());
    protocols.any(|protocol| protocol.trim().eq_ignore_ascii_case(WEBSOCKET))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn declared_by(version: Version, headers: &HeaderMap) -> Result<Option<BodyFraming>, FramingError> {
    let values = |name: HeaderName| headers.get_all(name).map(|value| value.as_bytes());
    declared(version, values(CONTENT_LENGTH), values(TRANSFER_ENCODING))
}

/// Returns the framing that the values of `Content-Length` and `Transfer-Encoding` declare; `None` without either.
fn declared<'a>(
    version: Version,
    lengths: impl Iterator<Item = &'a [u8]>,
    codings: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<BodyFraming>, FramingError> {
    let (mut lengths, mut codings) = (list_items(lengths).peekable(), list_items(codings).peekable());
    match (lengths.peek().is_some(), codings.peek().is_some()) {
        (false, false) => Ok(None),
        (true, true) => Err(FramingError::TransferEncodingWithLength),
        (false, true) if version != Version::HTTP_11 => Err(FramingError::TransferEncodingInHttp10),
        (false, true) => check_codings(codings).map(|()| Some(BodyFraming::Chunked)),
        (true, false) => declared_length(lengths).map(Some),
    }
}

/// Splits field values at their commas. An empty value is an item too.
fn list_items<'a>(values: impl Iterator<Item = &'a [u8]>) -> impl Iterator<Item = &'a [u8]> {
    values.flat_map(|value| value.split(|byte| *byte == b',')).map(<[u8]>::trim_ascii)
}

/// Checks that the only coding is `chunked`.
fn check_codings<'a>(codings: impl Iterator<Item = &'a [u8]>) -> Result<(), FramingError> {
    let (mut chunked, mut unsupported, mut last_is_chunked) = (0, false, false);
    for coding in codings {
        last_is_chunked = coding.eq_ignore_ascii_case(CHUNKED);
        chunked += usize::from(last_is_chunked);
        unsupported |= !last_is_chunked;
    }
    match (chunked, unsupported) {
        (1, false) => Ok(()),
        (0, _) => Err(FramingError::UnsupportedCoding),
        _ if !last_is_chunked => Err(FramingError::ChunkedNotLast),
        (1, true) => Err(FramingError::UnsupportedCoding),
        _ => Err(FramingError::RepeatedChunked),
    }
}

fn declared_length<'a>(mut lengths: impl Iterator<Item = &'a [u8]>) -> Result<BodyFraming, FramingError> {
    let length = parse_length(lengths.next().unwrap_or_default())?;
    let mut is_repeated = false;
    for other in lengths {
        if parse_length(other)? != length {
            return Err(FramingError::DifferingLengths);
        }
        is_repeated = true;
    }
    match length {
        _ if is_repeated => Err(FramingError::RepeatedLength),
        0 => Ok(BodyFraming::Empty),
        length => Ok(BodyFraming::Length(length)),
    }
}

fn parse_length(digits: &[u8]) -> Result<u64, FramingError> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength); // the parser below would also take a sign
    }
    let digits = std::str::from_utf8(digits).map_err(|_| FramingError::InvalidLength)?;
    digits.parse().map_err(|_| FramingError::InvalidLength)
}

/// Returns the bytes of a head that the HTTP client can read in no other way than as decided, or `None` if that
/// holds for the head as it was received.
pub fn canonical_head(head: &ResponseHead, framing: BodyFraming) -> Option<BytesMut> {
    let has_length = head.headers.contains_key(CONTENT_LENGTH);
    let has_coding = head.headers.contains_key(TRANSFER_ENCODING);
    let is_read_as_decided = match framing {
        BodyFraming::Empty => head.version == Version::HTTP_11 && !has_coding && reads_no_body(head),
        BodyFraming::Length(_) | BodyFraming::Chunked => true,
        BodyFraming::UntilClose => head.version == Version::HTTP_10 && !has_length && !has_coding,
    };
    if is_read_as_decided && !upgrades_to_websocket(&head.headers) {
        return None;
    }
    // The HTTP client reads a body until the close for HTTP/1.0 only.
    let version = if framing == BodyFraming::UntilClose { "HTTP/1.0" } else { "HTTP/1.1" };
    let mut bytes = BytesMut::with_capacity(512);
    bytes.put_slice(format!("{version} {} \r\n", head.status.as_str()).as_bytes());
    for (name, value) in head.headers.iter() {
        if ![CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE].contains(name) {
            put_field(&mut bytes, name.as_str().as_bytes(), value.as_bytes());
        }
    }
    match framing {
        BodyFraming::Empty => put_field(&mut bytes, b"content-length", b"0"),
        BodyFraming::Length(length) => {
            put_field(&mut bytes, b"content-length", length.to_string().as_bytes());
        }
        BodyFraming::Chunked => put_field(&mut bytes, b"transfer-encoding", CHUNKED),
        BodyFraming::UntilClose => {}
    }
    bytes.put_slice(b"\r\n");
    Some(bytes)
}

/// Whether the HTTP client reads no body for a head that has no transfer coding.
fn reads_no_body(head: &ResponseHead) -> bool {
    let mut lengths = head.headers.get_all(CONTENT_LENGTH);
    lengths.all(|length| parse_length(length.as_bytes().trim_ascii()) == Ok(0))
}

fn put_field(bytes: &mut BytesMut, name: &[u8], value: &[u8]) {
    bytes.put_slice(name);
    bytes.put_slice(b": ");
    bytes.put_slice(value);
    bytes.put_slice(b"\r\n");
}

/// Returns the form of a response head that the HTTP library does not accept.
pub fn rejected_response_form(bytes: &[u8]) -> FramingError {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let mut config = httparse::ParserConfig::default();
    config.allow_spaces_after_header_name_in_responses(true); // as the HTTP library does
    if !matches!(config.parse_response(&mut response, bytes), Ok(httparse::Status::Complete(_))) {
        return FramingError::InvalidHead;
    }
    let values = |name: HeaderName| values_of(response.headers, name);
    let decided = declared(version_of(response.version), values(CONTENT_LENGTH), values(TRANSFER_ENCODING));
    decided.err().unwrap_or(FramingError::InvalidHead)
}

/// The version of a head that was parsed, from its minor number.
fn version_of(minor: Option<u8>) -> Version {
    if minor == Some(1) { Version::HTTP_11 } else { Version::HTTP_10 }
}

/// Returns the values of the fields of this name.
fn values_of<'a>(
    fields: &'a [httparse::Header<'a>],
    name: HeaderName,
) -> impl Iterator<Item = &'a [u8]> + use<'a> {
    let named = fields.iter().filter(move |field| name.as_str().eq_ignore_ascii_case(field.name));
    named.map(|field| field.value)
}
