use super::eviction::{EVICTION_GRACE, STALLED_EVICTION_AGE};
use super::*;
use std::task::Waker;

fn is_close_requested(client: &Client) -> bool {
    client.close_intent.get() != CloseIntent::KeepOpen
}

fn close_requests(all: &[&Rc<Client>]) -> Vec<bool> {
    all.iter().map(|client| is_close_requested(client)).collect()
}

/// Evicts one connection and unregisters it immediately.
fn evict_one(clients: &Clients, all: &[&Rc<Client>], now: Instant) {
    clients.evict_one_at(now, IdleEviction::Allowed);
    let closing = |client: &&&Rc<Client>| matches!(client.state.get(), State::Closing(_));
    all.iter().filter(closing).for_each(|client| clients.unregister(client));
}

/// The time at which a silent connection was registered. Relative to this time, ages do not depend on how
/// long the setup of a test takes.
fn registered_at(silent: &Client) -> Instant {
    let State::Silent((since, _)) = silent.state.get() else { panic!("the connection is not silent") };
    since
}

#[test]
fn slow_sender_is_evicted_only_after_all_silent_connections() {
    let clients: Rc<Clients> = Rc::default();
    let slow = clients.register();
    slow.on_bytes_received();
    let silent = [0; 3].map(|_| clients.register());
    let idle = clients.register();
    idle.on_request_dispatched(RequestBody::Complete);
    idle.on_response_sent();
    let all = [&slow, &idle, &silent[0], &silent[1], &silent[2]];
    let now = registered_at(&silent[0]);
    // New connections are not evicted; an idle one is.
    evict_one(&clients, &all, now);
    evict_one(&clients, &all, now);
    assert_eq!(close_requests(&all), [false, true, false, false, false]);
    // Silent connections are evicted next, oldest first, and the partial one last.
    let later = now + Duration::from_millis(100);
    slow.on_bytes_received();
    evict_one(&clients, &all, now + Duration::from_millis(10));
    assert_eq!(close_requests(&all), [false, true, false, false, false]);
    for (n, _) in silent.iter().enumerate() {
        evict_one(&clients, &all, later);
        assert!(is_close_requested(&silent[n]) && !is_close_requested(&slow));
    }
    evict_one(&clients, &all, later);
    assert!(is_close_requested(&slow), "no other connection is left");
}

#[test]
fn used_idle_connection_is_evicted_last_during_shutdown() {
    let clients: Rc<Clients> = Rc::default();
    let (health_checker, user, other) = (clients.register(), clients.register(), clients.register());
    for client in [&user, &other] {
        client.on_head_received();
        client.on_request_dispatched(RequestBody::Complete);
    }
    [&health_checker, &user, &other].into_iter().for_each(Client::on_response_sent);
    let stalled = clients.register();
    stalled.on_bytes_received();
    let silent = clients.register();
    let now = registered_at(&silent);
    let all = [&health_checker, &user, &other, &stalled, &silent];
    // The connection that sent only health checks is evicted first. Outside a shutdown, an idle connection
    // follows, since its client can reconnect.
    evict_one(&clients, &all, now);
    assert_eq!(close_requests(&all), [true, false, false, false, false]);
    evict_one(&clients, &all, now);
    assert_eq!(close_requests(&all), [true, true, false, false, false]);
    // During a shutdown the remaining idle connection is kept, also while the silent connection is still new.
    clients.protect_idle();
    evict_one(&clients, &all, now);
    assert_eq!(close_requests(&all), [true, true, false, false, false]);
    let later = now + Duration::from_millis(1100);
    evict_one(&clients, &all, later);
    evict_one(&clients, &all, later);
    assert_eq!(close_requests(&all), [true, true, false, true, true]);
    evict_one(&clients, &all, later);
    assert!(is_close_requested(&other), "no other connection is left");
}

#[test]
fn closing_connection_is_evicted_first_once_its_client_had_time_to_read_the_response() {
    let clients: Rc<Clients> = Rc::default();
    let (idle, rejected) = (clients.register(), clients.register());
    idle.on_request_dispatched(RequestBody::Complete);
    idle.on_response_sent();
    rejected.on_request_rejected();
    let State::Closing((since, _)) = rejected.state.get() else { panic!("the connection is not closing") };
    let abandoned = |client: &Client| client.is_abandoned();
    clients.evict_one_at(since + EVICTION_GRACE - Duration::from_millis(1), IdleEviction::Allowed);
    assert!(is_close_requested(&idle) && !abandoned(&rejected));
    clients.evict_one_at(since + EVICTION_GRACE, IdleEviction::Allowed);
    assert!(!abandoned(&rejected), "its response is still being written");
    rejected.on_close_event(Event::Flushed);
    clients.evict_one_at(since + EVICTION_GRACE, IdleEviction::Allowed);
    assert!(abandoned(&rejected) && rejected.state.get() == State::Closed);
    // Later events do not reopen it.
    rejected.on_bytes_received();
    rejected.on_response_sent();
    assert!(abandoned(&rejected) && rejected.state.get() == State::Closed);
    assert_eq!(clients.open(), 2, "the connection counts as open until its descriptor is closed");
}

#[test]
fn expired_connection_is_kept_only_if_a_request_has_arrived() {
    let clients: Rc<Clients> = Rc::default();
    let (idle, silent, partial) = (clients.register(), clients.register(), clients.register());
    idle.on_request_dispatched(RequestBody::Complete);
    idle.on_response_sent();
    partial.on_bytes_received();
    let State::Silent(awaited_since) = silent.state.get() else { panic!("the connection is not silent") };
    clients.close_expired_at(Instant::now() + IDLE_TIMEOUT);
    assert_eq!(
        [&idle, &silent].map(|c| c.close_intent.get()),
        [CloseIntent::UnlessRequestArrives(None), CloseIntent::UnlessRequestArrives(Some(awaited_since))]
    );
    assert!(partial.is_closing(), "a partial connection is closed without a check for unread bytes");
    [&idle, &silent].into_iter().for_each(Client::on_bytes_received);
    assert!(!is_close_requested(&idle) && matches!(idle.state.get(), State::Partial(..)));
    // The first byte does not restart the timeout of the request head.
    assert!(
        !is_close_requested(&silent)
            && matches!(silent.state.get(), State::Partial(since, _) if since == awaited_since)
    );
    clients.close_expired_at(awaited_since.0 + REQUEST_HEAD_TIMEOUT);
    assert!(silent.is_closing() && silent.close_state.get().is_some());
}

#[test]
fn closing_connection_is_abandoned_only_without_write_progress() {
    let clients: Rc<Clients> = Rc::default();
    let (reads, stalls) = (clients.register(), clients.register());
    [&reads, &stalls].into_iter().for_each(Client::on_request_rejected);
    let State::Closing((began, _)) = stalls.state.get() else { panic!("the connection is not closing") };
    let flush = |client: &Client| match client.next_step(began) {
        Step::Flush { deadline } => deadline,
        step => panic!("{step:?}"),
    };
    while flush(&reads) <= flush(&stalls) {
        reads.on_close_event(Event::Written); // repeated until the clock has advanced
    }
    clients.close_expired_at(flush(&stalls));
    assert_eq!(
        [&reads, &stalls].map(|client| client.is_abandoned() || client.state.get() == State::Closed),
        [false, true]
    );
}

#[test]
fn silent_connection_is_closed_at_the_eviction_age_while_idle_connections_are_closed() {
    let clients: Rc<Clients> = Rc::default();
    let silent = clients.register();
    let since = registered_at(&silent);
    clients.close_expired_at(since + SILENT_EVICTION_AGE);
    assert!(!is_close_requested(&silent));
    clients.close_idle();
    clients.close_expired_at(since + SILENT_EVICTION_AGE - Duration::from_millis(1));
    assert!(!is_close_requested(&silent));
    clients.close_expired_at(since + SILENT_EVICTION_AGE);
    assert!(is_close_requested(&silent) && !silent.is_closing(), "it is closed unless a request has arrived");
}

/// Maximum time that a client which stalls in the middle of a request waits for an error response or a close.
const MAX_WAIT: Duration = Duration::from_secs(3);

#[test]
fn connection_stalled_in_a_request_is_closed_within_three_seconds() {
    let clients: Rc<Clients> = Rc::default();
    let [silent, partial, trickling, uploading, second_request] = [0; 5].map(|_| clients.register());
    partial.on_bytes_received();
    trickling.on_bytes_received();
    uploading.on_bytes_received();
    uploading.on_head_received();
    // A second request on a connection whose first request was answered.
    second_request.on_request_dispatched(RequestBody::Complete);
    second_request.on_response_sent();
    second_request.on_bytes_received();
    // The latest byte of a head that never ends has just arrived; the first byte arrived earlier.
    let stopped = Instant::now();
    trickling.on_bytes_received();
    // Timeouts are checked at this interval, so the connection has to be closed at the last check before
    // `MAX_WAIT`.
    clients.close_expired_at(stopped + MAX_WAIT - crate::listen::TIMEOUT_CHECK_INTERVAL);
    for (name, client) in [
        ("partial", &partial),
        ("trickling", &trickling),
        ("uploading", &uploading),
        ("second request", &second_request),
    ] {
        assert!(client.is_closing(), "{name}");
    }
    assert!(is_close_requested(&silent), "it is closed unless a request has arrived");
}

/// Guards against a whole request that waits for memory, and whose connection is closed as that of a stalled upload.
#[test]
fn only_an_upload_whose_client_has_stopped_is_evicted_for_memory() {
    let clients: Rc<Clients> = Rc::default();
    let [whole, unread, stopped] = [0; 3].map(|_| clients.register());
    for (client, end) in [(&whole, 0), (&unread, 9), (&stopped, 9)] {
        client.on_head_received();
        client.incoming().arrivals().set_request_end(Some(end));
    }
    unread.allowance().set(0);
    unread.allowance().poll_remaining(&Context::from_waker(Waker::noop()));
    let State::Uploading((since, _)) = stopped.state.get() else { panic!("the body is not being received") };
    let evict_after = |age| clients.evict_for_memory_at(since + age, IdleEviction::Rested);
    evict_after(STALLED_EVICTION_AGE - Duration::from_millis(1));
    assert_eq!(close_requests(&[&whole, &unread, &stopped]), [false; 3]);
    (0..3).for_each(|_| evict_after(STALLED_EVICTION_AGE));
    assert_eq!(close_requests(&[&whole, &unread, &stopped]), [false, false, true]);
}
