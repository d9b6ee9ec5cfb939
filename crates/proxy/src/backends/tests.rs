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
