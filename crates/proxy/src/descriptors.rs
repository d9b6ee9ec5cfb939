//! The descriptors for connections to backends: one budget for all clusters.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Counts as one open connection while it lives.
pub type Open = Rc<()>;

/// Whoever holds idle connections.
pub trait Holder {
    /// How many the endpoint holds that holds most.
    fn most_idle(&self) -> usize;
    /// Closes the one of it that has been idle longest.
    fn give_up(&self);
}

/// Most connections, idle ones included, how many there are, and who may hold idle ones.
pub struct Descriptors {
    most: Cell<usize>,
    open: Open,
    holders: RefCell<Vec<Weak<dyn Holder>>>,
}

impl Descriptors {
    /// None is open.
    pub fn new(most: usize) -> Descriptors {
        Descriptors { most: Cell::new(most), open: Rc::default(), holders: RefCell::default() }
    }

    /// Another limit holds from now on.
    pub fn adopt(&self, most: usize) {
        self.most.set(most);
    }

    /// One more that may give up idle connections, while it lives.
    pub fn enter(&self, holder: Weak<dyn Holder>) {
        let mut holders = self.holders.borrow_mut();
        holders.retain(|holder| holder.strong_count() > 0);
        holders.push(holder);
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    /// One more; none if all are in work. The one that has been idle longest, of whoever has most to spare in
    /// all clusters, makes room. Danger: a caller that has borrowed what its holder needs.
    pub fn take(&self) -> Option<Open> {
        if self.open() >= self.most.get() {
            let holders = self.holders.borrow();
            let holders = holders.iter().filter_map(Weak::upgrade);
            let (_, fullest) = holders
                .map(|h| (h.most_idle(), h))
                .filter(|(idle, _)| *idle > 0)
                .max_by_key(|(idle, _)| *idle)?;
            fullest.give_up();
        }
        Some(self.open.clone())
    }
}

#[cfg(test)]
mod tests;
