//! A call on its way between a front and the decisions, and the end that it comes to.

use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use olivecart_decisions::{ClassId, TenantId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What goes to a backend as it came.
pub struct Payload {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Option<PathAndQuery>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A request with all that the decisions need of it.
pub struct Call {
    /// What the client calls it.
    pub id: HeaderValue,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the settings know it.
    pub tenant: Option<TenantId>,
    /// The client marked a repeated try.
    pub retry: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// What is passed on.
    pub payload: Rc<Payload>,
}

/// A backend's whole answer.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, as it came.
    pub body: Bytes,
}

/// How a request ended.
pub enum Verdict {
    /// With a backend's answer: it did what was asked, or will have none of it.
    Served(Answer),
    /// Trying again is harmless.
    Refused {
        /// When to come back; zero: nothing was said.
        come_back: Duration,
    },
    /// Nothing is promised.
    Failed,
    /// The decisions did not end it in time.
    Overdue,
}
