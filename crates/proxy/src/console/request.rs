//! Requests to the admin server: parsed from their bytes, and their responses written.
//!
//! [`super`] does the I/O. Nothing here knows the rest of the proxy.

use serde::Deserialize;
use std::fmt;

/// Longest head of a request.
const LONGEST_HEAD_BYTES: usize = 8 * 1024;
/// Longest body of a request.
const LONGEST_BODY_BYTES: usize = 64 * 1024;
/// Most headers of a request.
const MOST_HEADERS: usize = 64;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures.
    Vars,
    /// Detach an endpoint, by its id.
    Detach(String),
    /// Attach an endpoint, by its id.
    Attach(String),
}

/// Why a request is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// It can't be read.
    #[error("not a request of HTTP/1.1: {0}")]
    Unreadable(String),
    /// Its head is too long.
    #[error("the head is larger than {LONGEST_HEAD_BYTES} bytes")]
    LongHead,
    /// Its body is too long.
    #[error("the body is larger than {LONGEST_BODY_BYTES} bytes")]
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
pub fn read(received: &[u8]) -> Result<Option<AdminRequest>, AdminError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(received) {
        Err(e) => return Err(AdminError::Unreadable(e.to_string())),
        Ok(httparse::Status::Partial) if received.len() > LONGEST_HEAD_BYTES => {
            return Err(AdminError::LongHead);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) if length > LONGEST_HEAD_BYTES => {
            return Err(AdminError::LongHead);
        }
        Ok(httparse::Status::Complete(length)) => length,
    };
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let wanted = match path {
        "/_ready" | "/_vars" => "GET",
        "/_backends/detach" | "/_backends/attach" => "POST",
        _ => return Err(AdminError::Path(path.to_owned())),
    };
    if method != wanted {
        return Err(AdminError::Method(path.to_owned(), wanted));
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
    let read: Result<Target, _> = serde_json::from_slice(&body[..length]);
    let Target { target } = read.map_err(|e| AdminError::Form(e.to_string()))?;
    Ok(Some(if path.ends_with("detach") {
        AdminRequest::Detach(target)
    } else {
        AdminRequest::Attach(target)
    }))
}

/// The length that a head says its body has.
fn body_length(headers: &[httparse::Header]) -> Result<Option<usize>, AdminError> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    if named("transfer-encoding").next().is_some() {
        return Err(AdminError::LengthRequired);
    }
    let mut lengths = named("content-length").map(|h| std::str::from_utf8(h.value).unwrap_or("").trim());
    let Some(length) = lengths.next() else { return Ok(None) };
    // Danger: two lengths, of which a reader between us and the caller may have taken the other.
    if lengths.any(|other| other != length) || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(AdminError::Unreadable("its Content-Length is no single number".into()));
    }
    match length.parse() {
        Ok(length) if length <= LONGEST_BODY_BYTES => Ok(Some(length)),
        _ => Err(AdminError::LongBody),
    }
}

impl AdminError {
    fn status(&self) -> &'static str {
        match self {
            AdminError::Unreadable(_) | AdminError::Form(_) => "400 Bad Request",
            AdminError::Path(_) | AdminError::Unknown(_) => "404 Not Found",
            AdminError::Method(..) => "405 Method Not Allowed",
            AdminError::LengthRequired => "411 Length Required",
            AdminError::LongBody => "413 Content Too Large",
            AdminError::LongHead => "431 Request Header Fields Too Large",
            AdminError::NotReady | AdminError::Busy => "503 Service Unavailable",
        }
    }
}

/// The whole answer, which ends the connection.
pub fn response(answer: &Result<String, AdminError>) -> String {
    let text: &dyn fmt::Display = match answer {
        Ok(text) => text,
        Err(no) => no,
    };
    let (text, status) = (text.to_string(), answer.as_ref().map_or_else(AdminError::status, |_| "200 OK"));
    let text = if text.ends_with('\n') { text } else { text + "\n" };
    let allow = match answer {
        Err(AdminError::Method(_, wanted)) => format!("Allow: {wanted}\r\n"),
        _ => String::new(),
    };
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}"
    )
}

#[cfg(test)]
mod tests;
