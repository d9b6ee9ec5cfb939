//! Parses requests to the admin server and formats responses. [`super`] does the I/O.

use serde::Deserialize;
use std::fmt;

/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum size of a request's body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Returns whether this process is ready to serve.
    Ready,
    /// Returns the statistics.
    Vars,
    /// Detaches the endpoint with this id.
    Detach(String),
    /// Attaches the endpoint with this id.
    Attach(String),
}

/// The reason a request is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The head or the Content-Length cannot be parsed.
    #[error("not a request of HTTP/1.1: {0}")]
    Malformed(String),
    /// The head is too large.
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The body is too large.
    #[error("the body is larger than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The request has no Content-Length.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// The path is unknown.
    #[error("{0}: no such call; there are /_ready, /_vars, /_backends/detach and /_backends/attach")]
    UnknownPath(String),
    /// The path requires another method.
    #[error("{0}: the method is {1}")]
    MethodNotAllowed(String, &'static str),
    /// The body is invalid.
    #[error("the body is not of the form {{\"target\":\"ID\"}}: {0}")]
    InvalidBody(String),
    /// No endpoint has this id.
    #[error("{0}: no backend in the list has this id")]
    UnknownEndpoint(String),
    /// The process is not ready to serve.
    #[error("not ready")]
    NotReady,
    /// The event loop did not apply the change in time.
    #[error("busy: it is not known whether this was done; call again, which is harmless")]
    Busy,
}

#[derive(Deserialize)]
struct Target {
    target: String,
}

/// Parses a request from the bytes received so far. Returns `None` if it is incomplete.
///
/// # Errors
/// Returns an error if the bytes are not the start of a valid request.
pub fn parse(received: &[u8]) -> Result<Option<AdminRequest>, AdminError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(received) {
        Err(e) => return Err(AdminError::Malformed(e.to_string())),
        Ok(httparse::Status::Partial) if received.len() > MAX_HEAD_BYTES => {
            return Err(AdminError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) if length > MAX_HEAD_BYTES => {
            return Err(AdminError::HeadTooLarge);
        }
        Ok(httparse::Status::Complete(length)) => length,
    };
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let expected_method = match path {
        "/_ready" | "/_vars" => "GET",
        "/_backends/detach" | "/_backends/attach" => "POST",
        _ => return Err(AdminError::UnknownPath(path.to_owned())),
    };
    if method != expected_method {
        return Err(AdminError::MethodNotAllowed(path.to_owned(), expected_method));
    }
    match path {
        "/_ready" => return Ok(Some(AdminRequest::Ready)),
        "/_vars" => return Ok(Some(AdminRequest::Vars)),
        _ => {}
    }
    let body = &received[length..];
    let Some(length) = body_length(head.headers)? else { return Err(AdminError::LengthRequired) };
    if body.len() < length {
        return Ok(None);
    }
    let parsed: Result<Target, _> = serde_json::from_slice(&body[..length]);
    let Target { target } = parsed.map_err(|e| AdminError::InvalidBody(e.to_string()))?;
    Ok(Some(if path.ends_with("detach") {
        AdminRequest::Detach(target)
    } else {
        AdminRequest::Attach(target)
    }))
}

/// Returns the length of the body according to the headers.
fn body_length(headers: &[httparse::Header]) -> Result<Option<usize>, AdminError> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    if named("transfer-encoding").next().is_some() {
        return Err(AdminError::LengthRequired);
    }
    let mut lengths = named("content-length").map(|h| std::str::from_utf8(h.value).unwrap_or("").trim());
    let Some(length) = lengths.next() else { return Ok(None) };
    // With two different lengths, an intermediary may have used the other one (request smuggling).
    if lengths.any(|other| other != length) || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(AdminError::Malformed("its Content-Length is no single number".into()));
    }
    match length.parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(Some(length)),
        _ => Err(AdminError::BodyTooLarge),
    }
}

impl AdminError {
    fn status(&self) -> &'static str {
        match self {
            AdminError::Malformed(_) | AdminError::InvalidBody(_) => "400 Bad Request",
            AdminError::UnknownPath(_) | AdminError::UnknownEndpoint(_) => "404 Not Found",
            AdminError::MethodNotAllowed(..) => "405 Method Not Allowed",
            AdminError::LengthRequired => "411 Length Required",
            AdminError::BodyTooLarge => "413 Content Too Large",
            AdminError::HeadTooLarge => "431 Request Header Fields Too Large",
            AdminError::NotReady | AdminError::Busy => "503 Service Unavailable",
        }
    }
}

/// Formats the complete response, which closes the connection.
pub fn response(result: &Result<String, AdminError>) -> String {
    let text: &dyn fmt::Display = match result {
        Ok(text) => text,
        Err(error) => error,
    };
    let (text, status) = (text.to_string(), result.as_ref().map_or_else(AdminError::status, |_| "200 OK"));
    let text = if text.ends_with('\n') { text } else { text + "\n" };
    let allow = match result {
        Err(AdminError::MethodNotAllowed(_, expected_method)) => format!("Allow: {expected_method}\r\n"),
        _ => String::new(),
    };
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}"
    )
}

#[cfg(test)]
mod tests;
