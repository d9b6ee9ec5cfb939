//! One call of an operator's: read from its bytes, and worded. No I/O, and nothing of the proxy's.

use serde::Deserialize;
use std::fmt;

/// Largest head, and largest body, of a call.
const HEAD: usize = 8 * 1024;
const BODY: usize = 64 * 1024;
const HEADERS: usize = 64;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures.
    Vars,
    /// Leave a backend out, by its id.
    Detach(String),
    /// Put a backend back, by its id.
    Attach(String),
}

/// Why a call gets a no.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum No {
    /// It can't be read.
    #[error("not a request of HTTP/1.1: {0}")]
    Unreadable(String),
    /// Its head is too long.
    #[error("the head is larger than {HEAD} bytes")]
    LongHead,
    /// Its body is too long.
    #[error("the body is larger than {BODY} bytes")]
    LongBody,
    /// Its body has no length.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// Nothing is there.
    #[error("{0}: no such call; there are /_ready, /_vars, /_backends/detach and /_backends/attach")]
    Path(String),
    /// The path takes another method.
    #[error("{0}: the method is {1}")]
    Method(String, &'static str),
    /// The body is no good.
    #[error("the body is not of the form {{\"target\":\"ID\"}}: {0}")]
    Form(String),
    /// Nobody has that id.
    #[error("{0}: no backend in the list has this id")]
    Unknown(String),
    /// The process is not ready to serve.
    #[error("not ready")]
    NotReady,
    /// The event loop did not come round in time.
    #[error("busy: it is not known whether this was done; call again, which is harmless")]
    Busy,
}

#[derive(Deserialize)]
struct Target {
    target: String,
}

/// Reads a call from what has come so far. None: it takes more.
///
/// # Errors
/// It will never be a call.
pub fn read(came: &[u8]) -> Result<Option<Call>, No> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(came) {
        Err(e) => return Err(No::Unreadable(e.to_string())),
        Ok(httparse::Status::Partial) if came.len() > HEAD => return Err(No::LongHead),
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) if length > HEAD => return Err(No::LongHead),
        Ok(httparse::Status::Complete(length)) => length,
    };
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let wanted = match path {
        "/_ready" | "/_vars" => "GET",
        "/_backends/detach" | "/_backends/attach" => "POST",
        _ => return Err(No::Path(path.to_owned())),
    };
    if method != wanted {
        return Err(No::Method(path.to_owned(), wanted));
    }
    match path {
        "/_ready" => return Ok(Some(Call::Ready)),
        "/_vars" => return Ok(Some(Call::Vars)),
        _ => {}
    }
    let body = &came[length..];
    let Some(length) = body_length(head.headers)? else { return Err(No::LengthRequired) };
    if body.len() < length {
        return Ok(None);
    }
    let read: Result<Target, _> = serde_json::from_slice(&body[..length]);
    let Target { target } = read.map_err(|e| No::Form(e.to_string()))?;
    Ok(Some(if path.ends_with("detach") { Call::Detach(target) } else { Call::Attach(target) }))
}

/// The length that a head says its body has.
fn body_length(headers: &[httparse::Header]) -> Result<Option<usize>, No> {
    let said = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    if said("transfer-encoding").next().is_some() {
        return Err(No::LengthRequired);
    }
    let mut lengths = said("content-length").map(|h| std::str::from_utf8(h.value).unwrap_or("").trim());
    let Some(length) = lengths.next() else { return Ok(None) };
    // Danger: two lengths, of which a reader between us and the caller may have taken the other.
    if lengths.any(|other| other != length) || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(No::Unreadable("its Content-Length is no single number".into()));
    }
    match length.parse() {
        Ok(length) if length <= BODY => Ok(Some(length)),
        _ => Err(No::LongBody),
    }
}

impl No {
    fn status(&self) -> &'static str {
        match self {
            No::Unreadable(_) | No::Form(_) => "400 Bad Request",
            No::Path(_) | No::Unknown(_) => "404 Not Found",
            No::Method(..) => "405 Method Not Allowed",
            No::LengthRequired => "411 Length Required",
            No::LongBody => "413 Content Too Large",
            No::LongHead => "431 Request Header Fields Too Large",
            No::NotReady | No::Busy => "503 Service Unavailable",
        }
    }
}

/// The whole answer, which ends the connection.
pub fn word(answer: &Result<String, No>) -> String {
    let text: &dyn fmt::Display = match answer {
        Ok(text) => text,
        Err(no) => no,
    };
    let (text, status) = (text.to_string(), answer.as_ref().map_or_else(No::status, |_| "200 OK"));
    let text = if text.ends_with('\n') { text } else { text + "\n" };
    let allow = match answer {
        Err(No::Method(_, wanted)) => format!("Allow: {wanted}\r\n"),
        _ => String::new(),
    };
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}"
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(path: &str, body: &str) -> String {
        format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    #[test]
    fn calls_are_read_in_any_number_of_pieces() {
        let text = post("/_backends/detach", r#"{"target":"s-1","why":"disk"}"#);
        for end in 0..text.len() {
            assert_eq!(read(&text.as_bytes()[..end]), Ok(None), "{end} bytes");
        }
        assert_eq!(read(text.as_bytes()), Ok(Some(Call::Detach("s-1".into()))));
        let attach = post("/_backends/attach", r#"{"target":"s-1"}"#);
        assert_eq!(read(attach.as_bytes()), Ok(Some(Call::Attach("s-1".into()))));
        assert_eq!(read(b"GET /_vars?all=1 HTTP/1.1\r\nHost: h\r\n\r\n"), Ok(Some(Call::Vars)));
        assert_eq!(read(b"GET /_ready HTTP/1.1\r\n\r\n"), Ok(Some(Call::Ready)));
    }

    #[test]
    fn each_bad_call_gets_a_no_of_its_own() {
        let long = "x".repeat(HEAD);
        let bad = [
            ("GET / HTTP/1.1\r\n\r\n".into(), "404"),
            ("GET /_backends/detach HTTP/1.1\r\n\r\n".into(), "405 Method Not Allowed\r\nAllow: POST"),
            (post("/_vars", ""), "405 Method Not Allowed\r\nAllow: GET"),
            (post("/_backends/attach", "no json"), "400"),
            (post("/_backends/attach", r#"{"id":"s-1"}"#), "400"),
            (post("/_backends/attach", r#"{"target":7}"#), "400"),
            ("POST /_backends/attach HTTP/1.1\r\n\r\n".into(), "411"),
            ("POST /_backends/attach HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".into(), "411"),
            ("POST /_backends/attach HTTP/1.1\r\nContent-Length: -4\r\n\r\n".into(), "400"),
            ("POST /_backends/attach HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n".into(), "413"),
            ("nonsense\r\n\r\n".into(), "400"),
            (format!("GET /_vars HTTP/1.1\r\nX: {long}\r\n\r\n"), "431"),
            (format!("GET /_vars HTTP/1.1\r\nX: {long}"), "431"),
        ];
        for (text, status) in bad {
            let answer = read(text.as_bytes()).map(|_| String::new());
            assert!(word(&answer).starts_with(&format!("HTTP/1.1 {status}")), "{text}: {answer:?}");
        }
        let answer = word(&Ok("edge.active=0\n".into()));
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.ends_with("\r\n\r\nedge.active=0\n"));
    }
}
