//! The clients' side of this platform's protocol: the headers of a request, and the responses that the proxy
//! creates itself.
//!
//! `stages/parse.rs` and `listen.rs` call it. It knows nothing of connections or endpoints.

use super::{end_to_end, names};
use crate::bodies::{MAX_BODY_BYTES, RequestBodyError};
use crate::call::{Body, Call, ClusterUnavailable, Payload, RequestAttributes, ResponseContent, Verdict};
use crate::framing::{BodyFraming, FramingError};
use crate::received_request::ReceivedHead;
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use std::time::Duration;

/// The path of the readiness check: whether the process takes requests.
pub const READY: &str = "/health/ready";
/// The path of the liveness check: whether the process runs.
pub const LIVE: &str = "/health/live";

/// The `Retry-After` of a refusal if the balancer gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Why a client's request is rejected. The messages are sent to the client.
#[derive(Debug, thiserror::Error)]
pub enum Reject {
    /// A header is missing or has an invalid value.
    #[error("{0}: {1}")]
    Header(HeaderName, &'static str),
    /// Where its body ends is not certain.
    #[error("{0}")]
    Framing(#[from] FramingError),
    /// The method cannot be forwarded.
    #[error("method not allowed")]
    Method,
    /// The body is longer than the limit.
    #[error("the body is larger than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// The body is incomplete, or did not arrive in time.
    #[error("the body broke off")]
    Broken,
    /// No memory for a long body became free in time.
    #[error("no room for a body of this length")]
    NoRoom,
    /// Another request with this id is open, or may have been executed.
    #[error("a request with this id is open or may have run")]
    DuplicateId,
}

impl Reject {
    fn status(&self) -> StatusCode {
        match self {
            Reject::Header(..) | Reject::Framing(_) | Reject::Broken => StatusCode::BAD_REQUEST,
            Reject::Method => StatusCode::METHOD_NOT_ALLOWED,
            Reject::DuplicateId => StatusCode::CONFLICT,
            Reject::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reject::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<RequestBodyError> for Reject {
    fn from(error: RequestBodyError) -> Reject {
        match error {
            RequestBodyError::Framing(form) => Reject::Framing(form),
            RequestBodyError::TooLong => Reject::TooLarge,
            RequestBodyError::Incomplete(_) | RequestBodyError::Released => Reject::Broken,
        }
    }
}

/// The fields of a request's head that the balancer needs.
pub struct Fields {
    /// The request's id.
    pub id: HeaderValue,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant.
    pub tenant: Option<String>,
    /// How long the client waits for a response after it sent the request.
    pub time_left: Option<Duration>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
}

/// Reads the fields from the head of a request whose body has this framing.
pub fn fields(head: &RequestHead, framing: BodyFraming) -> Result<Fields, Reject> {
    if head.method == Method::CONNECT {
        return Err(Reject::Method);
    }
    let text = |name: &HeaderName| match head.headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_| Reject::Header(name.clone(), "not plain text")),
    };
    // A body that is known to be too long is rejected unread.
    if framing.length().is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(Reject::TooLarge);
    }
    // Endpoints don't execute requests without an id.
    let id = text(&names::REQUEST_ID)?.filter(|id| !id.is_empty());
    let id = id.and_then(|_| head.headers.get(&names::REQUEST_ID).cloned());
    let id = id.ok_or(Reject::Header(names::REQUEST_ID, "missing"))?;
    let class = text(&names::CLASS)?.ok_or(Reject::Header(names::CLASS, "missing"))?;
    let time_left = match text(&names::DEADLINE)? {
        None => None,
        Some(value) => Some(parse_deadline(value).ok_or(Reject::Header(
            names::DEADLINE,
            "not a number followed by m (milliseconds) or u (microseconds)",
        ))?),
    };
    let (class, tenant) = (class.to_owned(), text(&names::TENANT)?.map(str::to_owned));
    Ok(Fields { id, class, tenant, time_left, retry: text(&names::RETRY)? == Some("1") })
}

/// Returns the rejection of a request whose class header names an unknown class.
pub fn unknown_class() -> Reject {
    Reject::Header(names::CLASS, "no such class")
}

fn parse_deadline(value: &str) -> Option<Duration> {
    let value = value.trim();
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None; // a float may also have a sign or an exponent, or be "inf"
    }
    let seconds = number.parse::<f64>().ok()? * if unit == "m" { 1e-3 } else { 1e-6 };
    // No client waits for a day; without this bound, sums of times could overflow.
    (matches!(unit, "m" | "u") && seconds <= 86_400.0).then(|| Duration::from_secs_f64(seconds))
}

/// Formats the time that is left as the value of a deadline header.
pub fn format_deadline(time_left: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{}u", time_left.as_micros())).unwrap_or(HeaderValue::from_static("0u"))
}

/// Returns the part of a request that is forwarded unchanged: method, target, end-to-end headers and body.
pub fn payload(head: ReceivedHead, body: Body) -> Payload {
    let mut headers = end_to_end(head.headers);
    headers.remove(&names::DEADLINE);
    Payload { method: head.method, target: head.uri.path_and_query().cloned(), headers, body }
}

/// Returns the attributes that routing rules match. An authority in the request's target takes precedence
/// over the `Host` header (RFC 9112, 3.2.2).
pub fn attributes(call: &Call) -> RequestAttributes<'_> {
    let Payload { method, target, headers, .. } = &*call.payload;
    let host = || headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let authority = call.authority.as_ref().map(|authority| authority.as_str()).or_else(host);
    RequestAttributes {
        authority: authority.map_or("", |a| a.rsplit_once('@').map_or(a, |(_, host)| host)),
        path: target.as_ref().map_or("", |target| target.path()),
        method: method.as_str(),
        class: call.class,
    }
}

/// Returns the response for a verdict.
pub fn verdict_response(verdict: Verdict) -> Response<ResponseContent> {
    let plain =
        |status, text: &'static str| build(ResponseBuilder::new(status), Bytes::from_static(text.as_bytes()));
    match verdict {
        Verdict::Served(received) => {
            let mut response = Response::with_body(received.status, received.body);
            *response.headers_mut() = received.headers;
            response
        }
        Verdict::Refused { retry_after } => buffered(refusal(retry_after)),
        Verdict::Failed => buffered(plain(StatusCode::BAD_GATEWAY, "failed\n")),
        Verdict::Overdue => buffered(plain(StatusCode::GATEWAY_TIMEOUT, "out of time\n")),
    }
}

/// Converts a response with a buffered body to the common body type.
pub fn buffered(response: Response<Bytes>) -> Response<ResponseContent> {
    response.map_body(|_, body| body.into())
}

/// Returns a refusal, after which a retry is safe. A `retry_after` of zero stands for the default.
pub fn refusal(retry_after: Duration) -> Response<Bytes> {
    let retry_after = if retry_after.is_zero() { DEFAULT_RETRY_AFTER } else { retry_after };
    let mut response = ResponseBuilder::new(StatusCode::SERVICE_UNAVAILABLE);
    response.insert_header((header::RETRY_AFTER, format_retry_after(retry_after)));
    build(response, Bytes::from_static(b"refused\n"))
}

/// Returns a refusal as it is written where there is no library that would write it. The connection ends with it.
pub fn refusal_bytes() -> String {
    let retry_after = format_retry_after(DEFAULT_RETRY_AFTER);
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {retry_after}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    )
}

fn format_retry_after(retry_after: Duration) -> String {
    format!("{:.3}", retry_after.as_secs_f64())
}

/// Returns a refusal because the request's cluster is not available.
pub fn cluster_unavailable(error: &ClusterUnavailable) -> Response<Bytes> {
    refusal(Duration::ZERO).set_body(Bytes::from(format!("refused: {error}\n")))
}

/// Returns a refusal because a limit on requests or connections is reached. It also closes the connection.
pub fn overloaded() -> Response<Bytes> {
    let mut refusal = refusal(Duration::ZERO);
    refusal.head_mut().set_connection_type(ConnectionType::Close);
    refusal
}

/// Returns the response to a rejected request. It closes the connection: otherwise a client that resends the
/// request immediately on the same connection could keep the proxy fully busy.
pub fn rejection(reject: &Reject) -> Response<Bytes> {
    let mut response = ResponseBuilder::new(reject.status());
    response.force_close();
    if matches!(reject, Reject::NoRoom) {
        response.insert_header((header::RETRY_AFTER, format_retry_after(DEFAULT_RETRY_AFTER)));
    }
    build(response, Bytes::from(format!("{reject}\n")))
}

/// Returns the response to a health check of this proxy.
pub fn health(ready: bool) -> Response<Bytes> {
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    build(ResponseBuilder::new(status), Bytes::from_static(if ready { b"ready\n" } else { b"not ready\n" }))
}

fn build(mut response: ResponseBuilder, body: Bytes) -> Response<Bytes> {
    response.message_body(body).unwrap_or_else(|_| Response::internal_server_error().set_body(Bytes::new()))
}

#[cfg(test)]
mod tests;
