//! The memory that long bodies may hold, all together.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// So many bytes, and how many are held.
#[derive(Default)]
pub struct Budget {
    most: Cell<usize>,
    held: Cell<usize>,
    /// The most that was ever held.
    peak: Cell<usize>,
    freed: Notify,
}

/// Some of it, while it lives.
pub struct Share {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Nothing is held.
    pub fn new(most: usize) -> Budget {
        Budget { most: Cell::new(most), ..Budget::default() }
    }

    /// Another limit holds from now on. What is held stays.
    pub fn adopt(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_waiters();
    }

    /// The most that was ever held.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Some of it, if there is so much. The first share is always had: a limit below it would let nothing pass.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<Share> {
        let held = self.held.get() + bytes;
        if held > self.most.get() && self.held.get() > 0 {
            return None;
        }
        self.held.set(held);
        self.peak.set(self.peak.get().max(held));
        Some(Share { budget: self.clone(), bytes })
    }

    /// The same, as soon as there is so much.
    pub async fn wait(self: &Rc<Self>, bytes: usize) -> Share {
        loop {
            let freed = self.freed.notified();
            if let Some(share) = self.take(bytes) {
                return share;
            }
            freed.await;
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
        self.budget.freed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_util::FutureExt;

    #[test]
    fn what_is_held_stays_under_the_limit_and_who_waits_has_it_when_it_is_given_back() {
        let budget = Rc::new(Budget::new(10));
        let first = budget.take(6).expect("room");
        assert!(budget.take(5).is_none());
        let mut waits = Box::pin(budget.wait(5));
        assert!((&mut waits).now_or_never().is_none());
        drop(first);
        let second = (&mut waits).now_or_never().expect("given back");
        assert!(budget.take(6).is_none());
        budget.adopt(11);
        let third = budget.take(6).expect("a higher limit");
        drop((second, third));
        assert!(budget.take(100).is_some(), "one alone passes, however long");
        assert_eq!(budget.peak(), 100);
    }
}
