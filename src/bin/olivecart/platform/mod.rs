//! This platform's protocol: header names, statuses, and the form of discovery's answers. Nothing outside
//! this folder knows a header's name; another front or another kind of backend is a sibling of it.

pub mod backend;
pub mod client;
pub mod registry;

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

/// Largest body, either way.
pub const BODY_LIMIT: usize = 64 * 1024;
