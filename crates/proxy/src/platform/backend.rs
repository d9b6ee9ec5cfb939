//! The endpoints' side of this platform's protocol: the requests sent to endpoints and the meaning of their
//! responses.

use super::{client, end_to_end, names};
use crate::call::Payload;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use awc::{Client, ClientRequest};
use olivecart_decisions::{LoadReport, Outcome};
use olivecart_settings::load_field;
use std::net::SocketAddr;
use std::time::Duration;

const HEALTH_CHECK_PATH: &str = "/health/live";

/// Builds a request to an endpoint. Redirects and decompression by awc would change what is passed through,
/// so both are off.
pub fn request(client: &Client, addr: SocketAddr, payload: &Payload, time_left: Duration) -> ClientRequest {
    let target = payload.target.as_ref().map_or("/", |t| t.as_str());
    let mut request = client.request(payload.method.clone(), uri(addr, target));
    *request.headers_mut() = payload.headers.clone();
    request.insert_header((names::DEADLINE, client::format_deadline(time_left))).no_decompress()
}

/// Builds a health check. Endpoints respond to it without queueing it.
pub fn health_check(client: &Client, addr: SocketAddr) -> ClientRequest {
    client.request(Method::GET, uri(addr, HEALTH_CHECK_PATH)).no_decompress()
}

fn uri(addr: SocketAddr, target: &str) -> Uri {
    let uri = Uri::builder().scheme("http").authority(addr.to_string()).path_and_query(target);
    uri.build().unwrap_or_default()
}

/// Returns the outcome of an attempt that received a complete response.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_run = || headers.get(&names::NOT_RUN).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Ok,
        // The request is invalid at every endpoint: the endpoint did not execute it and is not at fault, and
        // a retry at another endpoint would not help.
        status if status.is_client_error() => Outcome::Cancelled,
        // Without the header the request may have been executed, whatever the status suggests.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// Whether a response is forwarded to the client: a success, or a client error.
pub fn is_final(status: StatusCode) -> bool {
    status == StatusCode::OK || status.is_client_error()
}

/// Returns the headers of a response that are forwarded to the client. The load report is for the proxy only.
pub fn forwarded_headers(headers: HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(&names::LOAD);
    forwarded
}

/// Returns the load report of a response, if it has a readable one.
pub fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&names::LOAD)?.to_str().ok()?;
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|part| part.split_once('=')) {
        if let Some(field) = load_field(&mut load, name.trim()) {
            *field = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        }
    }
    Some(load)
}

#[cfg(test)]
mod tests;
