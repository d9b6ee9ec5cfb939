//! The balancer's timers: the timer queue, and the task that reports each timer to the balancer when it is
//! due.

use super::ClusterRuntime;
use crate::stages::context::EventSink;
use olivecart_decisions::{Event, Nanos, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Timers ordered by due time; timers with the same due time are ordered by when they were set.
#[derive(Default)]
pub struct TimerQueue {
    timers: RefCell<BTreeMap<(Nanos, u64), Timer>>,
    next_sequence: Cell<u64>,
    /// Notified when a timer is set that is due before all others.
    due_earlier: Notify,
}

impl TimerQueue {
    /// Adds a timer, and wakes the timer task if it is due before all others.
    pub fn insert(&self, due: Nanos, timer: Timer) {
        let is_first = self.next_due().is_none_or(|next| due < next);
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        self.timers.borrow_mut().insert((due, sequence), timer);
        if is_first {
            self.due_earlier.notify_one();
        }
    }

    fn next_due(&self) -> Option<Nanos> {
        self.timers.borrow().first_key_value().map(|((due, _), _)| *due)
    }

    fn pop_first(&self) -> Option<Timer> {
        self.timers.borrow_mut().pop_first().map(|(_, timer)| timer)
    }
}

impl ClusterRuntime {
    /// Reports timers to the balancer when they are due, until the task is aborted.
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            match self.timers.next_due() {
                None => self.timers.due_earlier.notified().await,
                Some(due) if due > self.shared.clock.now() => {
                    tokio::select! {
                        () = sleep_until(self.shared.clock.instant(due).into()) => {}
                        () = self.timers.due_earlier.notified() => {}
                    }
                }
                Some(_) => {
                    if let Some(timer) = self.timers.pop_first() {
                        self.report(Event::TimerFired(timer));
                    }
                }
            }
        }
    }
}
