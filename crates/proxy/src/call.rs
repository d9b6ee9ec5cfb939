//! A call on its way between a front and the decisions, and the end that it comes to.

use crate::bodies::{BodyMemoryReservation, Broken, RequestBody, ResponseBody};
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

/// What goes to a backend as it came.
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
    /// All of it, with its share of the memory if it is long.
    Whole {
        /// The bytes as they came.
        bytes: Bytes,
        /// Held with them.
        _share: Option<BodyMemoryReservation>,
    },
    /// It is still coming.
    Streamed(Rc<RequestBody>),
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
    /// When the client stops waiting; of a body that is still coming, if it ended now.
    pub deadline: Instant,
    /// The authority, where the request's target names one; otherwise it is among the headers.
    pub authority: Option<Authority>,
    /// What is passed on.
    pub payload: Rc<Payload>,
}

/// What of a call rules look at.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// The authority as the client gave it, with or without a port; empty if it gave none.
    pub authority: &'a str,
    /// The path as it came, without the query. It is not decoded and not normalised: a backend that reads
    /// `/a/../b` as `/b` must not rely on rules to keep requests apart.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// The class.
    pub class: ClassId,
}

/// Why a call is not put to its cluster: it is not there.
#[derive(Debug, PartialEq)]
pub struct Absent {
    /// The cluster.
    pub cluster: Rc<str>,
    /// It was there; otherwise it is awaited.
    pub removed: bool,
}

impl fmt::Display for Absent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "cluster {} {}",
            self.cluster,
            if self.removed { "was removed" } else { "is not there yet" }
        )
    }
}

/// A backend's answer.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, as it came.
    pub body: AnswerBody,
}

/// An answer's body.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// It is still coming.
    Streamed(ResponseBody),
}

impl From<Bytes> for AnswerBody {
    fn from(whole: Bytes) -> AnswerBody {
        AnswerBody::Whole(whole)
    }
}

impl MessageBody for AnswerBody {
    type Error = Broken;

    fn size(&self) -> BodySize {
        match self {
            AnswerBody::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            AnswerBody::Streamed(download) => download.size(),
        }
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            AnswerBody::Streamed(download) => Pin::new(download).poll_next(cx),
        }
    }
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
