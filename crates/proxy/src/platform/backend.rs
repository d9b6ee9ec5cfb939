//! What backends are sent and what comes back.

use super::{client, end_to_end, names};
use crate::call::Payload;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use awc::{Client, ClientRequest};
use olivecart_decisions::{LoadReport, Outcome};
use olivecart_settings::load_field;
use std::net::SocketAddr;
use std::time::Duration;

const PROBE: &str = "/health/live";

/// A request as a backend gets it. awc's own redirects and decompression would change what passes through.
pub fn request(client: &Client, to: SocketAddr, payload: &Payload, left: Duration) -> ClientRequest {
    let target = payload.target.as_ref().map_or("/", |t| t.as_str());
    let mut request = client.request(payload.method.clone(), uri(to, target));
    *request.headers_mut() = payload.headers.clone();
    request.insert_header((names::DEADLINE, client::deadline_text(left))).no_decompress()
}

/// A probe: it tells whether the process answers, beside its queue.
pub fn probe(client: &Client, to: SocketAddr) -> ClientRequest {
    client.request(Method::GET, uri(to, PROBE)).no_decompress()
}

fn uri(to: SocketAddr, target: &str) -> Uri {
    let uri = Uri::builder().scheme("http").authority(to.to_string()).path_and_query(target);
    uri.build().unwrap_or_default()
}

/// What an answer that came whole means for an attempt.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_run = || headers.get(&names::NOT_RUN).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Ok,
        // The request is at fault and would be anywhere: nothing is held against the backend, which did not run
        // it, and nothing is gained by asking another.
        status if status.is_client_error() => Outcome::Cancelled,
        // Without the mark it may have run, whatever the status suggests.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// Whether an answer goes to the client: the one made for its request, be it that the request is no good.
pub fn is_final(status: StatusCode) -> bool {
    status == StatusCode::OK || status.is_client_error()
}

/// The headers of an answer that the client gets too: the load report is for the proxy alone.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(&names::LOAD);
    kept
}

/// The load report of an answer, if it carries a readable one.
pub fn load(headers: &HeaderMap) -> Option<LoadReport> {
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
mod tests {
    use super::*;
    use actix_http::header::HeaderValue;

    #[test]
    fn only_the_mark_proves_that_a_call_never_ran() {
        let mut headers = HeaderMap::new();
        assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Error);
        headers.insert(names::NOT_RUN, HeaderValue::from_static("1"));
        assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Overloaded);
        assert_eq!(outcome(StatusCode::GATEWAY_TIMEOUT, &headers), Outcome::Overloaded);
        assert_eq!(outcome(StatusCode::INTERNAL_SERVER_ERROR, &headers), Outcome::Error);
        assert_eq!(outcome(StatusCode::NOT_FOUND, &headers), Outcome::Cancelled);
    }

    #[test]
    fn a_load_report_is_read_by_names_and_rubbish_is_skipped() {
        let mut headers = HeaderMap::new();
        headers.insert(names::LOAD, HeaderValue::from_static("inflight=7,util=0.61,new=1,qps=inf,=,x"));
        let load = load(&headers).expect("a report");
        assert_eq!((load.active, load.cpu, load.rate), (Some(7.0), Some(0.61), None));
    }
}
