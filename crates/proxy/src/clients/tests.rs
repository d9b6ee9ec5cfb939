use super::*;

fn is_ending(client: &Client) -> bool {
    client.close_intent.get() != CloseIntent::KeepOpen
}

fn gone(all: &[&Rc<Client>]) -> Vec<bool> {
    all.iter().map(|client| is_ending(client)).collect()
}

/// Makes room once, and has whoever is to go close at once.
fn make_room(clients: &Clients, all: &[&Rc<Client>], now: Instant) {
    clients.make_room_at(now);
    let closing = |client: &&&Rc<Client>| matches!(client.state.get(), State::Closing(_));
    all.iter().filter(closing).for_each(|client| clients.unregister(client));
}

/// When one that has sent nothing came: however long a test takes to set up, it is as old as it says.
fn came_at(silent: &Client) -> Instant {
    let State::Silent((since, _)) = silent.state.get() else { panic!("it has sent something") };
    since
}

#[test]
fn who_sends_slowly_is_kept_while_others_that_send_nothing_come_and_go() {
    let clients: Rc<Clients> = Rc::default();
    let slow = clients.register();
    slow.on_bytes_received();
    let silent = [0; 3].map(|_| clients.register());
    let idle = clients.register();
    idle.on_request_taken(RequestBody::Complete);
    idle.on_response_sent();
    let all = [&slow, &idle, &silent[0], &silent[1], &silent[2]];
    let now = came_at(&silent[0]);
    // Nobody is cut off who has just come, but for one that lies idle.
    make_room(&clients, &all, now);
    make_room(&clients, &all, now);
    assert_eq!(gone(&all), [false, true, false, false, false]);
    // Then those that have sent nothing, oldest first; and only then who has sent a part.
    let later = now + Duration::from_millis(100);
    slow.on_bytes_received();
    make_room(&clients, &all, now + Duration::from_millis(10));
    assert_eq!(gone(&all), [false, true, false, false, false]);
    for (n, _) in silent.iter().enumerate() {
        make_room(&clients, &all, later);
        assert!(is_ending(&silent[n]) && !is_ending(&slow));
    }
    make_room(&clients, &all, later);
    assert!(is_ending(&slow), "there is nobody else");
}

#[test]
fn who_has_called_keeps_an_idle_connection_of_a_leaving_proxy_while_any_other_can_go() {
    let clients: Rc<Clients> = Rc::default();
    let (visitor, caller, other) = (clients.register(), clients.register(), clients.register());
    for client in [&caller, &other] {
        client.on_head_received();
        client.on_request_taken(RequestBody::Complete);
    }
    [&visitor, &caller, &other].into_iter().for_each(Client::on_response_sent);
    let stalled = clients.register();
    stalled.on_bytes_received();
    let silent = clients.register();
    let now = came_at(&silent);
    let all = [&visitor, &caller, &other, &stalled, &silent];
    // Whoever only looked in goes first; then, in service, the idle one whose client can come again.
    make_room(&clients, &all, now);
    assert_eq!(gone(&all), [true, false, false, false, false]);
    make_room(&clients, &all, now);
    assert_eq!(gone(&all), [true, true, false, false, false]);
    // Not so once the proxy is leaving, nor while those that send nothing have just come.
    clients.protect_idle();
    make_room(&clients, &all, now);
    assert_eq!(gone(&all), [true, true, false, false, false]);
    let later = now + Duration::from_millis(1100);
    make_room(&clients, &all, later);
    make_room(&clients, &all, later);
    assert_eq!(gone(&all), [true, true, false, true, true]);
    make_room(&clients, &all, later);
    assert!(is_ending(&other), "there is nobody else");
}

#[test]
fn one_that_is_being_closed_and_had_time_to_read_its_answer_goes_before_all_others() {
    let clients: Rc<Clients> = Rc::default();
    let (idle, refused) = (clients.register(), clients.register());
    idle.on_request_taken(RequestBody::Complete);
    idle.on_response_sent();
    refused.on_request_rejected();
    let State::Closing((since, _)) = refused.state.get() else { panic!("it is being closed") };
    let over = |client: &Client| client.is_abandoned();
    clients.make_room_at(since + EVICTION_GRACE - Duration::from_millis(1));
    assert!(is_ending(&idle) && !over(&refused));
    clients.make_room_at(since + EVICTION_GRACE);
    assert!(over(&refused) && refused.state.get() == State::Closed);
    // Nothing brings it back.
    refused.on_bytes_received();
    refused.on_response_sent();
    assert!(over(&refused) && refused.state.get() == State::Closed);
    assert_eq!(clients.open(), 2, "until its descriptor is closed");
}

#[test]
fn one_whose_time_is_up_is_kept_if_its_request_has_come_and_only_then() {
    let clients: Rc<Clients> = Rc::default();
    let (idle, silent, partial) = (clients.register(), clients.register(), clients.register());
    idle.on_request_taken(RequestBody::Complete);
    idle.on_response_sent();
    partial.on_bytes_received();
    let State::Silent(owed) = silent.state.get() else { panic!("it has sent nothing") };
    clients.expire_at(Instant::now() + IDLE_TIMEOUT);
    assert_eq!(
        [&idle, &silent].map(|c| c.close_intent.get()),
        [CloseIntent::UnlessRequestArrives(None), CloseIntent::UnlessRequestArrives(Some(owed))]
    );
    assert!(partial.is_ending(), "who sends a byte now and then is not looked at");
    [&idle, &silent].into_iter().for_each(Client::on_bytes_received);
    assert!(!is_ending(&idle) && matches!(idle.state.get(), State::Partial(..)));
    // For its head it has no more time than it had.
    assert!(!is_ending(&silent) && matches!(silent.state.get(), State::Partial(since, _) if since == owed));
    clients.expire_at(owed.0 + REQUEST_HEAD_TIMEOUT);
    assert!(silent.is_ending() && silent.close_state.get().is_some());
}

#[test]
fn who_takes_nothing_of_its_last_answer_is_given_up_and_who_takes_some_is_not() {
    let clients: Rc<Clients> = Rc::default();
    let (takes, rests) = (clients.register(), clients.register());
    [&takes, &rests].into_iter().for_each(Client::on_request_rejected);
    let State::Closing((began, _)) = rests.state.get() else { panic!("it is being closed") };
    let flush = |client: &Client| match client.next_step(began) {
        Step::Flush { until } => until,
        step => panic!("{step:?}"),
    };
    while flush(&takes) <= flush(&rests) {
        takes.on_close_event(Event::Wrote); // until the clock has moved on
    }
    clients.expire_at(flush(&rests));
    assert_eq!(
        [&takes, &rests].map(|client| client.is_abandoned() || client.state.get() == State::Closed),
        [false, true]
    );
}

#[test]
fn where_all_are_to_end_a_first_request_is_waited_for_as_long_as_an_ordinary_client_needs() {
    let clients: Rc<Clients> = Rc::default();
    let silent = clients.register();
    let since = came_at(&silent);
    clients.expire_at(since + SILENT_EVICTION_AGE);
    assert!(!is_ending(&silent));
    clients.close_idle();
    clients.expire_at(since + SILENT_EVICTION_AGE - Duration::from_millis(1));
    assert!(!is_ending(&silent));
    clients.expire_at(since + SILENT_EVICTION_AGE);
    assert!(is_ending(&silent) && !silent.is_ending(), "after a last look");
}

/// Longest that a client which stops in the middle of its request and stays waits for its error or a close.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

#[test]
fn clients_that_stop_anywhere_in_a_request_and_stay_are_ended_within_three_seconds() {
    let clients: Rc<Clients> = Rc::default();
    let [silent, partial, trickles, uploads, again] = [0; 5].map(|_| clients.register());
    partial.on_bytes_received();
    trickles.on_bytes_received();
    uploads.on_bytes_received();
    uploads.on_head_received();
    // A second request on a connection that has had its answer.
    again.on_request_taken(RequestBody::Complete);
    again.on_response_sent();
    again.on_bytes_received();
    // The last byte of a head that never ends came just now; its first one long before.
    let stopped = Instant::now();
    trickles.on_bytes_received();
    // Ended no later than the tick before the wait is over, since ticks come that far apart.
    clients.expire_at(stopped + LONGEST_WAIT - crate::listen::TIMEOUT_CHECK_INTERVAL);
    for (what, client) in
        [("partial", &partial), ("trickles", &trickles), ("uploads", &uploads), ("again", &again)]
    {
        assert!(client.is_ending(), "{what}");
    }
    assert!(is_ending(&silent), "after a last look");
}
