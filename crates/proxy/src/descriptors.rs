//! The descriptor limit for connections to backends, shared by all clusters.

use crate::memory::{ConnectionCharge, ConnectionKind, MemoryAccountant};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Counts as one open connection until it is dropped.
pub type OpenConnection = Rc<()>;

/// A connection that may be opened, and its memory.
pub struct ConnectionPermit {
    _open: OpenConnection,
    _memory: ConnectionCharge,
}

/// An owner of idle connections, such as the connections of one cluster.
pub trait IdleConnectionPool {
    /// Returns the largest number of idle connections to a single endpoint.
    fn max_idle_per_endpoint(&self) -> usize;
    /// Closes the connection that has been idle longest among those to the endpoint with the most idle
    /// connections.
    fn close_longest_idle(&self);
}

/// The limit on connections, idle ones included, the number of open ones, and the pools that can close idle
/// ones.
pub struct Descriptors {
    limit: Cell<usize>,
    open: OpenConnection,
    memory: Rc<MemoryAccountant>,
    pools: RefCell<Vec<Weak<dyn IdleConnectionPool>>>,
}

impl Descriptors {
    /// Creates a limit without open connections, which are charged to `memory`.
    pub fn new(limit: usize, memory: Rc<MemoryAccountant>) -> Descriptors {
        Descriptors { limit: Cell::new(limit), open: Rc::default(), memory, pools: RefCell::default() }
    }

    /// The memory of the process.
    pub fn memory(&self) -> &Rc<MemoryAccountant> {
        &self.memory
    }

    /// Replaces the limit.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Adds a pool that can close idle connections, until it is dropped.
    pub fn register(&self, pool: Weak<dyn IdleConnectionPool>) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(pool);
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    /// Whether another connection can be opened only if an idle one is closed.
    pub fn is_at_limit(&self) -> bool {
        self.open() >= self.limit.get()
    }

    /// Counts one more connection and returns its guard, or `None` if the limit is reached and no connection
    /// is idle. At the limit, or if memory is short, closes the connection that has been idle longest to the
    /// endpoint with the most idle connections of all clusters. The caller must not hold a borrow of a pool's
    /// table, which [`IdleConnectionPool`] borrows as well.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        if self.is_at_limit() {
            self.close_idle_connection()?;
        } else if !self.memory.has_room_for_backend() {
            // A request that was taken must not fail for memory, so that the connection is opened in any case.
            self.close_idle_connection();
        }
        Some(ConnectionPermit {
            _open: self.open.clone(),
            _memory: self.memory.charge_connection(ConnectionKind::Backend),
        })
    }

    fn close_idle_connection(&self) -> Option<()> {
        let pools = self.pools.borrow();
        let pools = pools.iter().filter_map(Weak::upgrade);
        let (_, fullest) = pools
            .map(|pool| (pool.max_idle_per_endpoint(), pool))
            .filter(|(idle, _)| *idle > 0)
            .max_by_key(|(idle, _)| *idle)?;
        fullest.close_longest_idle();
        Some(())
    }
}

#[cfg(test)]
mod tests;
