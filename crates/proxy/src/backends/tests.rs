use super::*;

#[test]
fn there_is_somebody_to_send_to_while_the_list_names_one_as_ready() {
    let log = Logger::root(slog::Discard, slog::o!());
    let backends =
        Backends::new(Duration::from_secs(1), Duration::from_secs(1), Rc::new(Descriptors::new(1)), log);
    let place = |id, ready| backends.place(EndpointId(id), None, None, ready);
    assert!(!backends.any_takes_requests());
    place(3, true);
    place(3, true);
    place(1, true);
    place(3, false);
    assert!(backends.any_takes_requests(), "1 is ready");
    place(1, false);
    place(1, false);
    assert!(!backends.any_takes_requests());
    place(0, true);
    backends.forget_all();
    assert!(!backends.any_takes_requests() && !backends.takes_requests(EndpointId(0)));
    place(0, true);
    assert!(backends.any_takes_requests());
}

#[test]
fn a_connection_that_has_come_up_sends_small_requests_without_delay() {
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let log = Logger::root(slog::Discard, slog::o!());
        let second = Duration::from_secs(1);
        let backends = Backends::new(second, second, Rc::new(Descriptors::new(1)), log);
        backends.place(EndpointId(0), listener.local_addr().ok(), None, true);
        let lease = backends.lease(EndpointId(0)).expect("it is listed");
        lease.connect().await.expect("connected");
        let stream = lease.established.take().expect("it waits for its client");
        assert!(stream.nodelay().expect("a socket"));
    });
}
