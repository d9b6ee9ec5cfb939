use super::*;

fn change() -> ManualChange {
    ManualChange::Detach("a".into())
}

#[test]
fn an_upgrade_goes_from_one_process_to_the_next() {
    let (mut old, first) = RestartState::start(false);
    assert_eq!(first, [Action::Listen]);
    assert_eq!(old.handle(Event::Ready), []);
    assert_eq!(old.handle(Event::SuccessorConnected), [Action::ShareLimits(2), Action::SendState]);
    let (mut new, first) = RestartState::start(true);
    assert_eq!(first, [Action::ShareLimits(2)]);
    assert_eq!(new.handle(Event::ChangedHere(change())), [Action::SendChange(Peer::Predecessor, change())]);
    assert_eq!(old.handle(Event::ChangedByPeer(Peer::Successor, change())), [Action::ApplyChange(change())]);
    assert_eq!(new.handle(Event::Ready), [Action::SendReady]);
    assert_eq!(new.handle(Event::ReadySent), [Action::Listen]);
    assert_eq!(old.handle(Event::SuccessorReady), [Action::SetAccepting(false)]);
    assert!(old.is_replaced());
    assert_eq!(new.handle(Event::PeerGone(Peer::Predecessor)), [Action::ShareLimits(1)]);
    assert_eq!(
        new.handle(Event::SuccessorConnected),
        [Action::ShareLimits(2), Action::SendState],
        "the next upgrade"
    );
    assert_eq!(new.handle(Event::SuccessorConnected), [Action::RejectSuccessor]);
}

#[test]
fn where_the_new_process_dies_the_old_one_goes_on_as_if_nothing_had_been() {
    let (mut old, _) = RestartState::start(false);
    old.handle(Event::SuccessorConnected);
    assert_eq!(old.handle(Event::PeerGone(Peer::Successor)), [Action::ShareLimits(1)]);
    old.handle(Event::SuccessorConnected);
    old.handle(Event::SuccessorReady);
    let again = [Action::SetAccepting(true), Action::ShareLimits(1), Action::Listen];
    assert_eq!(old.handle(Event::PeerGone(Peer::Successor)), again);
    assert!(!old.is_replaced());
    old.handle(Event::SuccessorConnected);
    old.handle(Event::SuccessorReady);
    old.handle(Event::ShutdownStarted);
    assert_eq!(
        old.handle(Event::PeerGone(Peer::Successor)),
        [Action::ShareLimits(1)],
        "it ends, and may not be the last"
    );
    let (mut new, _) = RestartState::start(true);
    assert_eq!(new.handle(Event::PeerGone(Peer::Predecessor)), [Action::ShareLimits(1), Action::Listen]);
}

#[test]
fn wherever_the_new_process_dies_the_old_one_answers_at_the_path() {
    for steps in 0..4 {
        let ((mut old, _), (mut new, _)) = (RestartState::start(false), RestartState::start(true));
        old.handle(Event::SuccessorConnected);
        let all = [("new", Event::Ready), ("old", Event::SuccessorReady), ("new", Event::ReadySent)];
        let events = all.into_iter().take(steps).chain([("old", Event::PeerGone(Peer::Successor))]);
        let answers = |(who, event): &(&str, Event)| {
            let core = if *who == "new" { &mut new } else { &mut old };
            core.handle(event.clone()).contains(&Action::Listen)
        };
        let last = events.filter(answers).last();
        assert!(last.is_none_or(|(who, _)| who == "old"), "after {steps} steps");
    }
}

/// What the actions so far amount to, against a plain account of who is there.
#[test]
fn on_any_order_of_events_it_accepts_unless_replaced_and_keeps_to_its_part() {
    use proptest::prelude::*;
    let event = prop_oneof![
        Just(Event::Ready),
        Just(Event::ReadySent),
        Just(Event::SuccessorConnected),
        Just(Event::SuccessorReady),
        Just(Event::PeerGone(Peer::Predecessor)),
        Just(Event::PeerGone(Peer::Successor)),
        Just(Event::ShutdownStarted),
        Just(Event::ChangedHere(change())),
        Just(Event::ChangedByPeer(Peer::Predecessor, change())),
        Just(Event::ChangedByPeer(Peer::Successor, change())),
    ];
    proptest!(|(with_older: bool, events in prop::collection::vec(event, 0..40))| {
        let (mut core, mut actions) = RestartState::start(with_older);
        let (mut older, mut newer, mut newer_ready) = (with_older, false, false);
        let (mut accepts, mut share, mut answers, mut leaves) = (true, 1, false, false);
        for event in events {
            actions.extend(core.handle(event.clone()));
            match event {
                Event::SuccessorConnected => newer = true,
                Event::SuccessorReady => newer_ready = newer,
                Event::ShutdownStarted => leaves |= newer_ready,
                Event::PeerGone(Peer::Successor) => (newer, newer_ready) = (false, false),
                Event::PeerGone(Peer::Predecessor) => older = false,
                _ => {}
            }
            for action in actions.drain(..) {
                match action {
                    Action::SetAccepting(on) => accepts = on,
                    Action::ShareLimits(n) => share = n,
                    Action::Listen => answers = true,
                    Action::SendChange(Peer::Predecessor, _) => prop_assert!(older),
                    Action::SendChange(Peer::Successor, _) => prop_assert!(newer),
                    _ => {}
                }
            }
            prop_assert!(accepts != newer_ready || leaves && !accepts, "exactly one of the two accepts");
            prop_assert_eq!(share, 1 + u32::from(older) + u32::from(newer));
            prop_assert!(answers || older, "somebody answers at the path");
        }
    });
}
