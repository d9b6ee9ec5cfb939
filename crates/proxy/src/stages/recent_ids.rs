//! The ids of requests that may have been executed, so that none of them is executed again.
//!
//! Clients give each request a new id. An id that comes again belongs to a request whose client has left, or that
//! another process of an upgrade has taken. Only requests that are not safe to repeat are remembered.

use actix_http::header::HeaderValue;
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// How long an id is remembered. No client waits longer for its request.
const REMEMBERED_TIME: Duration = Duration::from_secs(60);
/// Maximum number of ids. Above it, the oldest ones are forgotten.
const MAX_IDS: usize = 8192;

/// The digest of a request's id. Both processes of an upgrade compute the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdDigest(pub u64);

impl IdDigest {
    /// Returns the digest of an id.
    pub fn of(id: &HeaderValue) -> IdDigest {
        IdDigest(xxh3_64(id.as_bytes()))
    }
}

/// Called with each id when it is first remembered.
type Listener = Box<dyn Fn(IdDigest)>;

/// The remembered ids.
#[derive(Default)]
pub struct RecentIds {
    /// In the order in which they are forgotten.
    queue: RefCell<VecDeque<(Instant, IdDigest)>>,
    digests: RefCell<FxHashSet<IdDigest>>,
    listener: RefCell<Option<Listener>>,
}

impl RecentIds {
    /// Calls `listener` with each id that is executed here from now on.
    pub fn set_listener(&self, listener: impl Fn(IdDigest) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Whether a request with this id may have been executed.
    pub fn contains(&self, id: &HeaderValue, now: Instant) -> bool {
        self.forget_old(now);
        self.digests.borrow().contains(&IdDigest::of(id))
    }

    /// Records that a request is about to be executed here.
    pub fn on_attempt(&self, id: &HeaderValue, now: Instant) {
        let digest = IdDigest::of(id);
        if self.remember(digest, now)
            && let Some(listener) = &*self.listener.borrow()
        {
            listener(digest);
        }
    }

    /// Remembers an id. Returns false if it was remembered before.
    pub fn remember(&self, digest: IdDigest, now: Instant) -> bool {
        let is_new = self.digests.borrow_mut().insert(digest);
        if is_new {
            self.queue.borrow_mut().push_back((now, digest));
            self.forget_old(now);
        }
        is_new
    }

    /// All ids that are remembered.
    pub fn all(&self) -> Vec<u64> {
        self.queue.borrow().iter().map(|(_, digest)| digest.0).collect()
    }

    fn forget_old(&self, now: Instant) {
        let mut queue = self.queue.borrow_mut();
        let is_old = |queue: &VecDeque<(Instant, IdDigest)>| {
            let oldest = queue.front().map(|(since, _)| *since);
            queue.len() > MAX_IDS || oldest.is_some_and(|since| now - since >= REMEMBERED_TIME)
        };
        while is_old(&queue) {
            if let Some((_, digest)) = queue.pop_front() {
                self.digests.borrow_mut().remove(&digest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
