//! A request as the HTTP library hands it over.

use actix_http::header::HeaderMap;
use actix_http::{Request, RequestHead};
use std::ops::{Deref, DerefMut};

/// A request whose table of header fields is freed with it. The library keeps dropped heads for later requests, with
/// the capacity of their tables.
pub struct ReceivedRequest(Request);

/// The parts of a head that are forwarded.
pub struct ReceivedHead {
    /// The method.
    pub method: actix_http::Method,
    /// The target.
    pub uri: actix_http::Uri,
    /// All header fields.
    pub headers: HeaderMap,
}

impl ReceivedRequest {
    /// Takes over a request.
    pub fn new(request: Request) -> ReceivedRequest {
        ReceivedRequest(request)
    }

    /// Takes the head without a copy of its fields.
    pub fn take_head(&mut self) -> ReceivedHead {
        let RequestHead { method, uri, headers, .. } = self.0.head_mut();
        ReceivedHead { method: method.clone(), uri: uri.clone(), headers: std::mem::take(headers) }
    }
}

impl Deref for ReceivedRequest {
    type Target = Request;

    fn deref(&self) -> &Request {
        &self.0
    }
}

impl DerefMut for ReceivedRequest {
    fn deref_mut(&mut self) -> &mut Request {
        &mut self.0
    }
}

impl Drop for ReceivedRequest {
    fn drop(&mut self) {
        drop(std::mem::take(self.0.headers_mut()));
    }
}
