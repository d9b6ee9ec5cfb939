use super::*;

fn change() -> ManualChange {
    ManualChange::Detach("a".into())
}

#[test]
fn successor_takes_over_and_accepts_the_next_successor() {
    let (mut old, first) = RestartState::start(false);
    assert_eq!(first, [Action::Listen]);
    assert_eq!(old.handle(Event::Ready), []);
    assert_eq!(old.handle(Event::SuccessorConnected), [Action::ShareLimits(2), Action::SendState]);
    let (mut new, first) = RestartState::start(true);
    assert_eq!(first, [Action::ShareLimits(2)]);
    assert_eq!(new.handle(Event::LocalChange(change())), [Action::SendChange(Peer::Predecessor, change())]);
    assert_eq!(old.handle(Event::PeerChange(Peer::Successor, change())), [Action::ApplyChange(change())]);
    assert_eq!(new.handle(Event::Ready), [Action::SendReady]);
    assert_eq!(new.handle(Event::ReadySent), [Action::Listen]);
    assert_eq!(old.handle(Event::SuccessorReady), [Action::SetAccepting(false)]);
    assert!(old.is_replaced());
    assert_eq!(new.handle(Event::PeerDisconnected(Peer::Predecessor)), [Action::ShareLimits(1)]);
    assert_eq!(
        new.handle(Event::SuccessorConnected),
        [Action::ShareLimits(2), Action::SendState],
        "next hot restart"
    );
    assert_eq!(new.handle(Event::SuccessorConnected), [Action::RejectSuccessor]);
}

#[test]
fn old_process_resumes_when_its_successor_dies_unless_it_shuts_down() {
    let (mut old, _) = RestartState::start(false);
    old.handle(Event::SuccessorConnected);
    assert_eq!(old.handle(Event::PeerDisconnected(Peer::Successor)), [Action::ShareLimits(1)]);
    old.handle(Event::SuccessorConnected);
    old.handle(Event::SuccessorReady);
    let again = [Action::SetAccepting(true), Action::ShareLimits(1), Action::Listen];
    assert_eq!(old.handle(Event::PeerDisconnected(Peer::Successor)), again);
    assert!(!old.is_replaced());
    old.handle(Event::SuccessorConnected);
    old.handle(Event::SuccessorReady);
    old.handle(Event::ShutdownStarted);
    assert_eq!(
        old.handle(Event::PeerDisconnected(Peer::Successor)),
        [Action::ShareLimits(1)],
        "the process shuts down, and another successor may exist"
    );
    let (mut new, _) = RestartState::start(true);
    assert_eq!(
        new.handle(Event::PeerDisconnected(Peer::Predecessor)),
        [Action::ShareLimits(1), Action::Listen]
    );
}

#[test]
fn old_process_listens_at_the_path_whenever_its_successor_dies() {
    for steps in 0..4 {
        let ((mut old, _), (mut new, _)) = (RestartState::start(false), RestartState::start(true));
        old.handle(Event::SuccessorConnected);
        let all = [("new", Event::Ready), ("old", Event::SuccessorReady), ("new", Event::ReadySent)];
        let events = all.into_iter().take(steps).chain([("old", Event::PeerDisconnected(Peer::Successor))]);
        let listens = |(process, event): &(&str, Event)| {
            let state = if *process == "new" { &mut new } else { &mut old };
            state.handle(event.clone()).contains(&Action::Listen)
        };
        let last = events.filter(listens).last();
        assert!(last.is_none_or(|(process, _)| process == "old"), "after {steps} steps");
    }
}

/// Compares the effect of all actions with a simple model of which processes are connected.
#[test]
fn process_accepts_unless_replaced_and_keeps_its_share_for_any_order_of_events() {
    use proptest::prelude::*;
    let event = prop_oneof![
        Just(Event::Ready),
        Just(Event::ReadySent),
        Just(Event::SuccessorConnected),
        Just(Event::SuccessorReady),
        Just(Event::PeerDisconnected(Peer::Predecessor)),
        Just(Event::PeerDisconnected(Peer::Successor)),
        Just(Event::ShutdownStarted),
        Just(Event::LocalChange(change())),
        Just(Event::PeerChange(Peer::Predecessor, change())),
        Just(Event::PeerChange(Peer::Successor, change())),
    ];
    proptest!(|(has_predecessor: bool, events in prop::collection::vec(event, 0..40))| {
        let (mut state, mut actions) = RestartState::start(has_predecessor);
        let (mut predecessor, mut successor, mut successor_ready) = (has_predecessor, false, false);
        let (mut accepts, mut share, mut listens, mut shuts_down) = (true, 1, false, false);
        for event in events {
            actions.extend(state.handle(event.clone()));
            match event {
                Event::SuccessorConnected => successor = true,
                Event::SuccessorReady => successor_ready = successor,
                Event::ShutdownStarted => shuts_down |= successor_ready,
                Event::PeerDisconnected(Peer::Successor) => (successor, successor_ready) = (false, false),
                Event::PeerDisconnected(Peer::Predecessor) => predecessor = false,
                _ => {}
            }
            for action in actions.drain(..) {
                match action {
                    Action::SetAccepting(on) => accepts = on,
                    Action::ShareLimits(n) => share = n,
                    Action::Listen => listens = true,
                    Action::SendChange(Peer::Predecessor, _) => prop_assert!(predecessor),
                    Action::SendChange(Peer::Successor, _) => prop_assert!(successor),
                    _ => {}
                }
            }
            prop_assert!(
                accepts != successor_ready || shuts_down && !accepts,
                "exactly one of the two accepts"
            );
            prop_assert_eq!(share, 1 + u32::from(predecessor) + u32::from(successor));
            prop_assert!(listens || predecessor, "one of the processes listens at the path");
        }
    });
}
