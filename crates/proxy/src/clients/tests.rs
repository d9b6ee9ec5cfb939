use super::*;

fn gone(all: &[&Rc<Client>]) -> Vec<bool> {
    all.iter().map(|client| client.cut.get()).collect()
}

/// When one that has sent nothing came: however long a test takes to set up, it is as old as it says.
fn came_at(silent: &Client) -> Instant {
    let State::Silent((since, _)) = silent.state.get() else { panic!("it has sent something") };
    since
}

#[test]
fn who_sends_slowly_is_kept_while_others_that_send_nothing_come_and_go() {
    let clients: Rc<Clients> = Rc::default();
    let slow = clients.enter();
    slow.came();
    let silent = [0; 3].map(|_| clients.enter());
    let idle = clients.enter();
    idle.in_work();
    idle.idles();
    let all = [&slow, &idle, &silent[0], &silent[1], &silent[2]];
    let now = came_at(&silent[0]);
    // Nobody is cut off who has just come, but for one that lies idle.
    clients.make_room_at(now);
    clients.make_room_at(now);
    assert_eq!(gone(&all), [false, true, false, false, false]);
    // Then those that have sent nothing, oldest first; and only then who has sent a part.
    let later = now + Duration::from_millis(100);
    slow.came();
    clients.make_room_at(now + Duration::from_millis(10));
    assert_eq!(gone(&all), [false, true, false, false, false]);
    for (n, _) in silent.iter().enumerate() {
        clients.make_room_at(later);
        assert!(silent[n].cut.get() && !slow.cut.get());
    }
    clients.make_room_at(later);
    assert!(slow.cut.get(), "there is nobody else");
}

#[test]
fn who_has_called_keeps_an_idle_connection_of_a_leaving_proxy_while_any_other_can_go() {
    let clients: Rc<Clients> = Rc::default();
    let (visitor, caller, other) = (clients.enter(), clients.enter(), clients.enter());
    for client in [&caller, &other] {
        client.uploads();
        client.in_work();
    }
    [&visitor, &caller, &other].into_iter().for_each(Client::idles);
    let stalled = clients.enter();
    stalled.came();
    let silent = clients.enter();
    let now = came_at(&silent);
    let all = [&visitor, &caller, &other, &stalled, &silent];
    // Whoever only looked in goes first; then, in service, the idle one whose client can come again.
    clients.make_room_at(now);
    assert_eq!(gone(&all), [true, false, false, false, false]);
    clients.make_room_at(now);
    assert_eq!(gone(&all), [true, true, false, false, false]);
    // Not so once the proxy is leaving, nor while those that send nothing have just come.
    clients.hold_idle();
    clients.make_room_at(now);
    assert_eq!(gone(&all), [true, true, false, false, false]);
    let later = now + Duration::from_millis(1100);
    clients.make_room_at(later);
    clients.make_room_at(later);
    assert_eq!(gone(&all), [true, true, false, true, true]);
    clients.make_room_at(later);
    assert!(other.cut.get(), "there is nobody else");
}
