//! A client's request in the form that is independent of the listener's protocol, and the verdict that ends
//! it.

use crate::bodies::{IncompleteResponse, Pieces, RequestBody, ResponseBody};
use crate::memory::Reservation;
use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use awc::http::uri::{Authority, PathAndQuery};
use bytes::Bytes;
use olivecart_decisions::{ClassId, TenantId};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The part of a request that is forwarded to an endpoint unchanged.
pub struct Payload {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Option<PathAndQuery>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// A request's body.
pub enum Body {
    /// A body that is buffered whole. A long one has a memory reservation.
    Buffered {
        /// The bytes as they were received.
        bytes: Bytes,
        /// Released with the bytes.
        _reservation: Option<Reservation>,
    },
    /// A long body that is still being received.
    Streamed(Rc<RequestBody>),
}

/// A request with all fields that the balancer needs.
pub struct Call {
    /// The client's id for the request.
    pub id: HeaderValue,
    /// The class.
    pub class: ClassId,
    /// The tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// When the client stops waiting. For a streamed body, this assumes that the body ends now.
    pub deadline: Instant,
    /// The authority in the request's target; `None` if it is only in the `Host` header.
    pub authority: Option<Authority>,
    /// What is forwarded.
    pub payload: Rc<Payload>,
    /// The memory of the request until its response was sent.
    pub open_request: Reservation,
    /// Tells whether the client still waits.
    pub client: ClientCheck,
    /// Whether the request is safe to repeat.
    pub is_repeatable: bool,
}

/// Tells whether the client of a request has left.
#[derive(Default)]
pub struct ClientCheck(Option<Box<dyn Fn() -> bool>>);

impl ClientCheck {
    /// Creates a check that asks `has_left`.
    pub fn new(has_left: impl Fn() -> bool + 'static) -> ClientCheck {
        ClientCheck(Some(Box::new(has_left)))
    }

    /// Whether the client has closed its connection, whether or not that was read.
    pub fn has_left(&self) -> bool {
        self.0.as_ref().is_some_and(|has_left| has_left())
    }
}

/// The attributes of a request that routing rules match.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// The authority as the client sent it, with or without a port; empty if it sent none.
    pub authority: &'a str,
    /// The path as it was received, without the query. It is neither decoded nor normalised: if a backend
    /// reads `/a/../b` as `/b`, routing rules can't be relied on to keep requests apart.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// The class.
    pub class: ClassId,
}

/// The cluster that a call is routed to is not available.
#[derive(Debug, PartialEq)]
pub struct ClusterUnavailable {
    /// The name of the cluster.
    pub cluster: Rc<str>,
    /// Whether the cluster was removed; otherwise no source has announced it yet.
    pub removed: bool,
}

impl fmt::Display for ClusterUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "cluster {} {}",
            self.cluster,
            if self.removed { "was removed" } else { "is not there yet" }
        )
    }
}

/// An endpoint's response.
pub struct EndpointResponse {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body as it was received.
    pub body: ResponseContent,
}

/// The body of a response, from an endpoint or from the proxy itself.
#[derive(Debug)]
pub enum ResponseContent {
    /// A body that is buffered whole.
    Buffered(Pieces),
    /// A long body that is still being received.
    Streamed(ResponseBody),
}

impl From<Bytes> for ResponseContent {
    fn from(bytes: Bytes) -> ResponseContent {
        ResponseContent::Buffered(bytes.into())
    }
}

impl MessageBody for ResponseContent {
    type Error = IncompleteResponse;

    fn size(&self) -> BodySize {
        match self {
            ResponseContent::Buffered(pieces) => pieces.size(),
            ResponseContent::Streamed(download) => download.size(),
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        match &mut *self {
            ResponseContent::Buffered(pieces) => Poll::Ready(pieces.next_piece().map(Ok)),
            ResponseContent::Streamed(download) => Pin::new(download).poll_next(cx),
        }
    }
}

/// The result of a request.
pub enum Verdict {
    /// An endpoint's final response: a success, or a client error.
    Served(EndpointResponse),
    /// The request was refused, and a retry is safe.
    Refused {
        /// When the client should retry; zero if the balancer did not say.
        retry_after: Duration,
    },
    /// The request may or may not have been executed.
    Failed,
    /// The balancer gave no verdict in time.
    Overdue,
}
