//! The same scenario on real sockets: a fleet of stand-ins and its discovery, a load with clients that never
//! wait for each other, proxies as children, and a stage that brings all of it up on loopback.
//!
//! Who plays and what goes wrong when is drawn as for the model ([`Topology`](crate::model::Topology)), so that one
//! seed means the same in both. What decides is plain: a server's queue and cores ([`server`]), the key
//! tables ([`effects`]), and discovery's list ([`registry`]). The rest moves bytes.

pub mod chance;
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
pub mod registry;
pub mod server;
pub mod settings;
pub mod show;
pub mod stage;
pub mod stream;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// What a lock guards, also after a panic of somebody who held it: each change here is whole in itself.
fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}
