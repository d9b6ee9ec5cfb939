use super::*;
use actix_http::header::HeaderValue;

#[test]
fn only_the_not_run_header_makes_an_error_status_an_overload() {
    let mut headers = HeaderMap::new();
    assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Error);
    headers.insert(names::NOT_RUN, HeaderValue::from_static("1"));
    assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Overloaded);
    assert_eq!(outcome(StatusCode::GATEWAY_TIMEOUT, &headers), Outcome::Overloaded);
    assert_eq!(outcome(StatusCode::INTERNAL_SERVER_ERROR, &headers), Outcome::Error);
    assert_eq!(outcome(StatusCode::NOT_FOUND, &headers), Outcome::Cancelled);
}

#[test]
fn load_report_fields_are_read_by_name_and_invalid_ones_are_skipped() {
    let mut headers = HeaderMap::new();
    headers.insert(names::LOAD, HeaderValue::from_static("inflight=7,util=0.61,new=1,qps=inf,=,x"));
    let load = load_report(&headers).expect("a report");
    assert_eq!((load.active, load.cpu, load.rate), (Some(7.0), Some(0.61), None));
}
