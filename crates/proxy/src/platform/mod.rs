//! The platform's protocol: header names, status codes, and the format of discovery. No module outside this
//! directory knows a header's name. Support for another protocol would be a sibling of this module.

pub mod backend;
pub mod client;
pub mod registry;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The names of the headers that the proxy interprets.
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

/// Headers that apply to one connection only, and those that the HTTP library sets for the body's framing.
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

/// Returns the headers that are forwarded: all but the hop-by-hop headers and those that `Connection` lists.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderValue> = headers.remove(header::CONNECTION).collect();
    let listed = listed.iter().filter_map(|value| value.to_str().ok());
    for name in listed.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse::<HeaderName>().ok()) {
        headers.remove(&name);
    }
    HOP_BY_HOP.iter().for_each(|name| _ = headers.remove(name));
    headers
}
