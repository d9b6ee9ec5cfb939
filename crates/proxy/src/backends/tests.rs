use super::*;

#[test]
fn requests_are_taken_while_any_endpoint_is_listed_as_ready() {
    let log = Logger::root(slog::Discard, slog::o!());
    let backends = Backends::new(
        Duration::from_secs(1),
        Duration::from_secs(1),
        Rc::new(Descriptors::new(1, Rc::default())),
        log,
    );
    let update = |id, ready| backends.update_endpoint(EndpointId(id), None, None, ready);
    assert!(!backends.any_takes_requests());
    update(3, true);
    update(3, true);
    update(1, true);
    update(3, false);
    assert!(backends.any_takes_requests(), "1 is ready");
    update(1, false);
    update(1, false);
    assert!(!backends.any_takes_requests());
    update(0, true);
    backends.mark_all_unready();
    assert!(!backends.any_takes_requests() && !backends.takes_requests(EndpointId(0)));
    update(0, true);
    assert!(backends.any_takes_requests());
}

#[test]
fn established_connection_has_tcp_nodelay() {
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let log = Logger::root(slog::Discard, slog::o!());
        let second = Duration::from_secs(1);
        let backends = Backends::new(second, second, Rc::new(Descriptors::new(1, Rc::default())), log);
        backends.update_endpoint(EndpointId(0), listener.local_addr().ok(), None, true);
        let lease = backends.lease(EndpointId(0)).expect("the endpoint is listed");
        lease.connect().await.expect("connected");
        let stream = lease.established.take().expect("the client has not taken it yet");
        assert!(stream.nodelay().expect("a socket"));
    });
}
