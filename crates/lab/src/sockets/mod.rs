//! Runs scenarios on real sockets: stand-in servers and discovery ([`fleet`]), an open-loop load ([`load`]),
//! real proxies as child processes ([`child`]), and a testbed that starts all of them on loopback
//! ([`testbed`]).
//!
//! Machines and faults are drawn from the seed as in the model ([`Topology`](crate::model::Topology)), so the
//! same seed gives the same run in both. The logic is free of I/O: a server's queue and cores ([`server`]),
//! deduplication tables ([`effects`]), and the list of servers in discovery ([`registry`]).

pub mod child;
pub mod client;
pub mod clock;
pub mod effects;
pub mod fleet;
pub mod load;
pub mod overhead;
pub mod proc;
pub mod program;
pub mod protocol;
pub mod random;
pub mod registry;
pub mod server;
pub mod settings;
pub mod show;
pub mod stream;
pub mod testbed;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: each change under these locks leaves a consistent state.
fn lock<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}
