//! Who does what while two processes serve one address: a state machine without I/O.
//!
//! A process has at most one that was there before it and one that came after it. Of these it needs to know only
//! whether they live, and whether the later one is ready.

/// A backend taken out or put back by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ByHand {
    /// Its id.
    pub target: String,
    /// Put back; otherwise taken out.
    pub back: bool,
}

/// The other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that was there before.
    Older,
    /// The one that came after.
    Newer,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process is ready to serve.
    Ready,
    /// The earlier process has been told so, and will read it whatever becomes of this one.
    ReadyTold,
    /// A later process asks to be let in.
    NewerCame,
    /// It is ready to serve.
    NewerReady,
    /// The other process has ended, or the connection to it.
    Gone(Side),
    /// This process has been told to end.
    Leaving,
    /// An operator's call was done here.
    ByHand(ByHand),
    /// The other process tells of one that was done there.
    Told(Side, ByHand),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer later processes from now on.
    Answer,
    /// Give the later process what it needs to serve.
    Give,
    /// Turn away a later process: there is one already.
    TurnAway,
    /// Accept connections from clients, or leave them to the later process.
    Accept(bool),
    /// Keep to this part of the limits: one in so many.
    Share(u32),
    /// Tell the earlier process that this one is ready.
    TellReady,
    /// Take a backend out here, or put it back.
    Apply(ByHand),
    /// Tell the other process of it.
    Tell(Side, ByHand),
}

/// What a process knows of the two beside it.
#[derive(Clone, Debug)]
pub struct Core {
    older: bool,
    newer: Option<Newer>,
    answers: bool,
    /// It ends, and a later one serves in its place.
    leaves: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Newer {
    Starts,
    Ready,
}

impl Core {
    /// A process that has just started, and what it begins with. `older`: it was let in by another.
    pub fn start(older: bool) -> (Core, Vec<Action>) {
        let core = Core { older, newer: None, answers: !older, leaves: false };
        let first = if older { Action::Share(core.share()) } else { Action::Answer };
        (core, vec![first])
    }

    /// Whether the later process serves in place of this one.
    pub fn is_replaced(&self) -> bool {
        self.newer == Some(Newer::Ready)
    }

    fn share(&self) -> u32 {
        1 + u32::from(self.older) + u32::from(self.newer.is_some())
    }

    /// Danger: answered at the path by one that never gets ready, the next process would be let in by nobody that
    /// serves.
    fn answer(&mut self) -> Option<Action> {
        (!std::mem::replace(&mut self.answers, true)).then_some(Action::Answer)
    }

    /// Takes one event, and says what is to be done, in this order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            // Danger: answered at the path before the older one is sure to know, one that dies between the two leaves
            // nobody there, and the next process shares the address where it should take over.
            Event::Ready if self.older => vec![Action::TellReady],
            Event::Ready | Event::ReadyTold => self.answer().into_iter().collect(),
            Event::NewerCame if self.newer.is_some() => vec![Action::TurnAway],
            Event::NewerCame => {
                self.newer = Some(Newer::Starts);
                vec![Action::Share(self.share()), Action::Give]
            }
            Event::NewerReady if self.newer == Some(Newer::Starts) => {
                self.newer = Some(Newer::Ready);
                vec![Action::Accept(false)]
            }
            Event::NewerReady => Vec::new(),
            Event::Gone(Side::Newer) => {
                let Some(newer) = self.newer.take() else { return Vec::new() };
                // Danger: one that answers long bodies outlives the later one, which a third has replaced, and would
                // take what is the third one's.
                let back = newer == Newer::Ready && !self.leaves;
                let accept = back.then_some(Action::Accept(true));
                // The path is the other's by now, if it was ready.
                let answer = back.then_some(Action::Answer);
                accept.into_iter().chain([Action::Share(self.share())]).chain(answer).collect()
            }
            Event::Gone(Side::Older) if self.older => {
                self.older = false;
                let answer = self.answer();
                [Action::Share(self.share())].into_iter().chain(answer).collect()
            }
            Event::Gone(Side::Older) => Vec::new(),
            Event::Leaving => {
                self.leaves |= self.is_replaced();
                Vec::new()
            }
            Event::ByHand(change) => self.tell(None, &change),
            Event::Told(from, change) => {
                let others = self.tell(Some(from), &change);
                [Action::Apply(change)].into_iter().chain(others).collect()
            }
        }
    }

    /// Tells those beside it, but not who told it.
    fn tell(&self, but: Option<Side>, change: &ByHand) -> Vec<Action> {
        let here = [(Side::Older, self.older), (Side::Newer, self.newer.is_some())];
        let others = here.into_iter().filter(|(side, here)| *here && Some(*side) != but);
        others.map(|(side, _)| Action::Tell(side, change.clone())).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change() -> ByHand {
        ByHand { target: "a".into(), back: false }
    }

    #[test]
    fn an_upgrade_goes_from_one_process_to_the_next() {
        let (mut old, first) = Core::start(false);
        assert_eq!(first, [Action::Answer]);
        assert_eq!(old.handle(Event::Ready), []);
        assert_eq!(old.handle(Event::NewerCame), [Action::Share(2), Action::Give]);
        let (mut new, first) = Core::start(true);
        assert_eq!(first, [Action::Share(2)]);
        assert_eq!(new.handle(Event::ByHand(change())), [Action::Tell(Side::Older, change())]);
        assert_eq!(old.handle(Event::Told(Side::Newer, change())), [Action::Apply(change())]);
        assert_eq!(new.handle(Event::Ready), [Action::TellReady]);
        assert_eq!(new.handle(Event::ReadyTold), [Action::Answer]);
        assert_eq!(old.handle(Event::NewerReady), [Action::Accept(false)]);
        assert!(old.is_replaced());
        assert_eq!(new.handle(Event::Gone(Side::Older)), [Action::Share(1)]);
        assert_eq!(new.handle(Event::NewerCame), [Action::Share(2), Action::Give], "the next upgrade");
        assert_eq!(new.handle(Event::NewerCame), [Action::TurnAway]);
    }

    #[test]
    fn where_the_new_process_dies_the_old_one_goes_on_as_if_nothing_had_been() {
        let (mut old, _) = Core::start(false);
        old.handle(Event::NewerCame);
        assert_eq!(old.handle(Event::Gone(Side::Newer)), [Action::Share(1)]);
        old.handle(Event::NewerCame);
        old.handle(Event::NewerReady);
        let again = [Action::Accept(true), Action::Share(1), Action::Answer];
        assert_eq!(old.handle(Event::Gone(Side::Newer)), again);
        assert!(!old.is_replaced());
        old.handle(Event::NewerCame);
        old.handle(Event::NewerReady);
        old.handle(Event::Leaving);
        assert_eq!(
            old.handle(Event::Gone(Side::Newer)),
            [Action::Share(1)],
            "it ends, and may not be the last"
        );
        let (mut new, _) = Core::start(true);
        assert_eq!(new.handle(Event::Gone(Side::Older)), [Action::Share(1), Action::Answer]);
    }

    #[test]
    fn wherever_the_new_process_dies_the_old_one_answers_at_the_path() {
        for steps in 0..4 {
            let ((mut old, _), (mut new, _)) = (Core::start(false), Core::start(true));
            old.handle(Event::NewerCame);
            let all = [("new", Event::Ready), ("old", Event::NewerReady), ("new", Event::ReadyTold)];
            let events = all.into_iter().take(steps).chain([("old", Event::Gone(Side::Newer))]);
            let answers = |(who, event): &(&str, Event)| {
                let core = if *who == "new" { &mut new } else { &mut old };
                core.handle(event.clone()).contains(&Action::Answer)
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
            Just(Event::ReadyTold),
            Just(Event::NewerCame),
            Just(Event::NewerReady),
            Just(Event::Gone(Side::Older)),
            Just(Event::Gone(Side::Newer)),
            Just(Event::Leaving),
            Just(Event::ByHand(change())),
            Just(Event::Told(Side::Older, change())),
            Just(Event::Told(Side::Newer, change())),
        ];
        proptest!(|(with_older: bool, events in prop::collection::vec(event, 0..40))| {
            let (mut core, mut actions) = Core::start(with_older);
            let (mut older, mut newer, mut newer_ready) = (with_older, false, false);
            let (mut accepts, mut share, mut answers, mut leaves) = (true, 1, false, false);
            for event in events {
                actions.extend(core.handle(event.clone()));
                match event {
                    Event::NewerCame => newer = true,
                    Event::NewerReady => newer_ready = newer,
                    Event::Leaving => leaves |= newer_ready,
                    Event::Gone(Side::Newer) => (newer, newer_ready) = (false, false),
                    Event::Gone(Side::Older) => older = false,
                    _ => {}
                }
                for action in actions.drain(..) {
                    match action {
                        Action::Accept(on) => accepts = on,
                        Action::Share(n) => share = n,
                        Action::Answer => answers = true,
                        Action::Tell(Side::Older, _) => prop_assert!(older),
                        Action::Tell(Side::Newer, _) => prop_assert!(newer),
                        _ => {}
                    }
                }
                prop_assert!(accepts != newer_ready || leaves && !accepts, "exactly one of the two accepts");
                prop_assert_eq!(share, 1 + u32::from(older) + u32::from(newer));
                prop_assert!(answers || older, "somebody answers at the path");
            }
        });
    }
}
