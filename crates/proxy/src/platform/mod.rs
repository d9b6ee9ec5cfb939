//! This platform's protocol: header names, statuses, and the form of discovery's answers. Nothing outside
//! this folder knows a header's name; another front or another kind of backend is a sibling of it.

pub mod backend;
pub mod client;
pub mod registry;

use actix_http::header::{self, HeaderMap, HeaderName};

/// The headers that mean something here.
mod names {
    use actix_http::header::HeaderName;

    pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
    pub const CLASS: HeaderName = HeaderName::from_static("x-class");
    pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
    pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
    pub const RETRY: HeaderName = HeaderName::from_static("x-retry");
    pub const LOAD: HeaderName = HeaderName::from_static("x-load");
    pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
}

/// Headers of one connection, and those that the body's framing makes anew.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// The headers that go on as they came: all but those of the connection, and what it names as its own.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed = headers.get_all(header::CONNECTION).filter_map(|v| v.to_str().ok());
    for name in listed.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse::<HeaderName>().ok()) {
        kept.remove(&name);
    }
    HOP_BY_HOP.iter().for_each(|name| _ = kept.remove(name));
    kept
}
