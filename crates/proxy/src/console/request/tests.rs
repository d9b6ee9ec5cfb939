use super::*;

fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn requests_are_parsed_from_any_number_of_pieces() {
    let text = post("/_backends/detach", r#"{"target":"s-1","why":"disk"}"#);
    for end in 0..text.len() {
        assert_eq!(parse(&text.as_bytes()[..end]), Ok(None), "{end} bytes");
    }
    assert_eq!(parse(text.as_bytes()), Ok(Some(AdminRequest::Detach("s-1".into()))));
    let attach = post("/_backends/attach", r#"{"target":"s-1"}"#);
    assert_eq!(parse(attach.as_bytes()), Ok(Some(AdminRequest::Attach("s-1".into()))));
    assert_eq!(parse(b"GET /_vars?all=1 HTTP/1.1\r\nHost: h\r\n\r\n"), Ok(Some(AdminRequest::Vars)));
    assert_eq!(parse(b"GET /_ready HTTP/1.1\r\n\r\n"), Ok(Some(AdminRequest::Ready)));
}

#[test]
fn each_invalid_request_gets_its_own_status() {
    let long = "x".repeat(MAX_HEAD_BYTES);
    let invalid = [
        ("GET / HTTP/1.1\r\n\r\n".into(), "404"),
        ("GET /_backends/detach HTTP/1.1\r\n\r\n".into(), "405 Method Not Allowed\r\nAllow: POST"),
        (post("/_vars", ""), "405 Method Not Allowed\r\nAllow: GET"),
        (post("/_backends/attach", "no json"), "400"),
        (post("/_backends/attach", r#"{"id":"s-1"}"#), "400"),
        (post("/_backends/attach", r#"{"target":7}"#), "400"),
        ("POST /_backends/attach HTTP/1.1\r\n\r\n".into(), "411"),
        ("POST /_backends/attach HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".into(), "411"),
        ("POST /_backends/attach HTTP/1.1\r\nContent-Length: -4\r\n\r\n".into(), "400"),
        ("POST /_backends/attach HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n".into(), "413"),
        ("nonsense\r\n\r\n".into(), "400"),
        (format!("GET /_vars HTTP/1.1\r\nX: {long}\r\n\r\n"), "431"),
        (format!("GET /_vars HTTP/1.1\r\nX: {long}"), "431"),
    ];
    for (text, status) in invalid {
        let result = parse(text.as_bytes()).map(|_| String::new());
        assert!(response(&result).starts_with(&format!("HTTP/1.1 {status}")), "{text}: {result:?}");
    }
    let answer = response(&Ok("edge.active=0\n".into()));
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.ends_with("\r\n\r\nedge.active=0\n"));
}
