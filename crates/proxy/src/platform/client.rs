//! The clients' side of this platform's protocol: the headers that a request must have, and the responses of the proxy's
//! own.
//!
//! `stages/parse.rs` and `listen.rs` call it. It knows nothing of connections or endpoints.

use super::{end_to_end, names};
use crate::bodies::LONGEST;
use crate::call::{Absent, AnswerBody, Body, Call, Payload, Traits, Verdict};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use std::time::Duration;

/// Paths that the proxy answers itself.
pub const READY: &str = "/health/ready";
/// Whether the process runs at all.
pub const LIVE: &str = "/health/live";

/// `Retry-After` of a refusal for which the decisions name none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Why a caller's request is not taken.
#[derive(Debug, thiserror::Error)]
pub enum Reject {
    /// A header is missing or says what makes no sense.
    #[error("{0}: {1}")]
    Header(HeaderName, &'static str),
    /// The method cannot be passed on.
    #[error("method not allowed")]
    Method,
    /// The body is over the limit.
    #[error("the body is larger than {LONGEST} bytes")]
    TooLarge,
    /// The body did not arrive whole, or not in time.
    #[error("the body broke off")]
    Broken,
    /// There is no memory for a long body now.
    #[error("no room for a body of this length")]
    NoRoom,
    /// Another request with this id is open.
    #[error("a request with this id is open")]
    Open,
}

impl Reject {
    fn status(&self) -> StatusCode {
        match self {
            Reject::Header(..) | Reject::Broken => StatusCode::BAD_REQUEST,
            Reject::Method => StatusCode::METHOD_NOT_ALLOWED,
            Reject::Open => StatusCode::CONFLICT,
            Reject::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reject::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// What the decisions need of a request's head.
pub struct Fields {
    /// The request's id.
    pub id: HeaderValue,
    /// The class, by name.
    pub class: String,
    /// The tenant, by name.
    pub tenant: Option<String>,
    /// How long the client waits from its sending of the request.
    pub left: Option<Duration>,
    /// The client marked a repeated try.
    pub retry: bool,
    /// How long its body is, where its head says so.
    pub length: Option<u64>,
}

/// Reads the head of a request.
pub fn fields(head: &RequestHead) -> Result<Fields, Reject> {
    if head.method == Method::CONNECT {
        return Err(Reject::Method);
    }
    let text = |name: &HeaderName| match head.headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_| Reject::Header(name.clone(), "not plain text")),
    };
    // A length that is known to be too much is turned away unread.
    let length = text(&header::CONTENT_LENGTH)?.and_then(|l| l.trim().parse::<u64>().ok());
    if length.is_some_and(|length| length > LONGEST) {
        return Err(Reject::TooLarge);
    }
    // Danger: a backend takes a request without an id for a stray one.
    let id = text(&names::REQUEST_ID)?.filter(|id| !id.is_empty());
    let id = id.and_then(|_| head.headers.get(&names::REQUEST_ID).cloned());
    let id = id.ok_or(Reject::Header(names::REQUEST_ID, "missing"))?;
    let class = text(&names::CLASS)?.ok_or(Reject::Header(names::CLASS, "missing"))?;
    let left = match text(&names::DEADLINE)? {
        None => None,
        Some(value) => Some(deadline(value).ok_or(Reject::Header(
            names::DEADLINE,
            "not a number followed by m (milliseconds) or u (microseconds)",
        ))?),
    };
    let (class, tenant) = (class.to_owned(), text(&names::TENANT)?.map(str::to_owned));
    Ok(Fields { id, class, tenant, left, retry: text(&names::RETRY)? == Some("1"), length })
}

/// An unknown class, told as a bad header.
pub fn unknown_class() -> Reject {
    Reject::Header(names::CLASS, "no such class")
}

fn deadline(value: &str) -> Option<Duration> {
    let value = value.trim();
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None; // what else a float may look like: signs, exponents, "inf"
    }
    let seconds = number.parse::<f64>().ok()? * if unit == "m" { 1e-3 } else { 1e-6 };
    // A day is longer than anybody waits; the bound keeps sums of times from running over.
    (matches!(unit, "m" | "u") && seconds <= 86_400.0).then(|| Duration::from_secs_f64(seconds))
}

/// How long the proxy waits, in the form of the deadline header.
pub fn deadline_text(left: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{}u", left.as_micros())).unwrap_or(HeaderValue::from_static("0u"))
}

/// The part of a request that goes on as it came: method, target, end-to-end headers and body.
pub fn payload(head: &RequestHead, body: Body) -> Payload {
    let mut headers = end_to_end(&head.headers);
    headers.remove(&names::DEADLINE);
    Payload { method: head.method.clone(), target: head.uri.path_and_query().cloned(), headers, body }
}

/// What rules look at. An authority in the request's target counts before the header (RFC 9112, 3.2.2).
pub fn traits(call: &Call) -> Traits<'_> {
    let Payload { method, target, headers, .. } = &*call.payload;
    let host = || headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let authority = call.authority.as_ref().map(|authority| authority.as_str()).or_else(host);
    Traits {
        authority: authority.map_or("", |a| a.rsplit_once('@').map_or(a, |(_, host)| host)),
        path: target.as_ref().map_or("", |target| target.path()),
        method: method.as_str(),
        class: call.class,
    }
}

/// The answer that a verdict comes to.
pub fn answer(verdict: Verdict) -> Response<AnswerBody> {
    let plain =
        |status, text: &'static str| built(ResponseBuilder::new(status), Bytes::from_static(text.as_bytes()));
    match verdict {
        Verdict::Served(answer) => {
            let mut response = Response::with_body(answer.status, answer.body);
            *response.headers_mut() = answer.headers;
            response
        }
        Verdict::Refused { come_back } => buffered(refusal(come_back)),
        Verdict::Failed => buffered(plain(StatusCode::BAD_GATEWAY, "failed\n")),
        Verdict::Overdue => buffered(plain(StatusCode::GATEWAY_TIMEOUT, "out of time\n")),
    }
}

/// A response whose body is held whole.
pub fn buffered(response: Response<Bytes>) -> Response<AnswerBody> {
    response.map_body(|_, body| body.into())
}

/// A refusal; trying again is harmless.
pub fn refusal(retry_after: Duration) -> Response<Bytes> {
    let retry_after = if retry_after.is_zero() { DEFAULT_RETRY_AFTER } else { retry_after };
    let mut response = ResponseBuilder::new(StatusCode::SERVICE_UNAVAILABLE);
    response.insert_header((header::RETRY_AFTER, format!("{:.3}", retry_after.as_secs_f64())));
    built(response, Bytes::from_static(b"refused\n"))
}

/// A refusal because the request's cluster is not there.
pub fn absent(absent: &Absent) -> Response<Bytes> {
    refusal(Duration::ZERO).set_body(Bytes::from(format!("refused: {absent}\n")))
}

/// A refusal for want of connections or memory, which ends the connection too.
pub fn overloaded() -> Response<Bytes> {
    let mut refusal = refusal(Duration::ZERO);
    refusal.head_mut().set_connection_type(ConnectionType::Close);
    refusal
}

/// The answer to a request that was not taken. It ends the connection. Danger: a client that sends the same
/// again as soon as it is turned away keeps the proxy busy with nothing else.
pub fn rejection(reject: &Reject) -> Response<Bytes> {
    let mut response = ResponseBuilder::new(reject.status());
    response.force_close();
    built(response, Bytes::from(format!("{reject}\n")))
}

/// The answer to a health check.
pub fn health(good: bool) -> Response<Bytes> {
    let status = if good { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    built(ResponseBuilder::new(status), Bytes::from_static(if good { b"ready\n" } else { b"not ready\n" }))
}

fn built(mut response: ResponseBuilder, body: Bytes) -> Response<Bytes> {
    response.message_body(body).unwrap_or_else(|_| Response::internal_server_error().set_body(Bytes::new()))
}

#[cfg(test)]
mod tests;
