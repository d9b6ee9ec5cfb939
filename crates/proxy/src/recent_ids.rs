//! The ids of requests that may have been executed, so that none of them is executed again.
//!
//! Clients give each request a new id. An id that comes again belongs to a request whose client has left, or that
//! another process of an upgrade has taken. Only requests that are not safe to repeat are remembered, from the start
//! of their first attempt until it is known that none of their attempts was executed.

use actix_http::header::HeaderValue;
use rustc_hash::FxHashMap;
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

/// What the other process of an upgrade has to know of a request that is executed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdEvent {
    /// It is about to be executed.
    Executing(IdDigest),
    /// None of its attempts was executed, and there are no more.
    NeverExecuted(IdDigest),
}

type Listener = Box<dyn Fn(IdEvent)>;

/// The remembered ids.
#[derive(Default)]
pub struct RecentIds {
    /// In the order in which they are forgotten.
    queue: RefCell<VecDeque<(Instant, IdDigest)>>,
    since: RefCell<FxHashMap<IdDigest, Instant>>,
    listener: RefCell<Option<Listener>>,
}

impl RecentIds {
    /// Calls `listener` with what happens here from now on.
    pub fn set_listener(&self, listener: impl Fn(IdEvent) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Whether a request with this id may have been executed.
    pub fn contains(&self, id: &HeaderValue, now: Instant) -> bool {
        self.forget_old(now);
        self.since.borrow().contains_key(&IdDigest::of(id))
    }

    /// Records that a request is about to be executed here.
    pub fn on_attempt(&self, id: &HeaderValue, now: Instant) {
        let digest = IdDigest::of(id);
        if !self.since.borrow().contains_key(&digest) {
            self.publish(IdEvent::Executing(digest), now);
        }
    }

    /// Records that a request has ended of which no attempt was executed.
    pub fn on_never_executed(&self, id: &HeaderValue, now: Instant) {
        let digest = IdDigest::of(id);
        if self.since.borrow().contains_key(&digest) {
            self.publish(IdEvent::NeverExecuted(digest), now);
        }
    }

    fn publish(&self, event: IdEvent, now: Instant) {
        self.apply(event, now);
        self.listener.borrow().iter().for_each(|listener| listener(event));
    }

    /// Applies an event of the other process.
    pub fn apply(&self, event: IdEvent, now: Instant) {
        match event {
            IdEvent::Executing(digest) => self.remember(digest, now),
            IdEvent::NeverExecuted(digest) => _ = self.since.borrow_mut().remove(&digest),
        }
    }

    /// Remembers an id.
    pub fn remember(&self, digest: IdDigest, now: Instant) {
        if self.since.borrow_mut().insert(digest, now).is_none() {
            self.queue.borrow_mut().push_back((now, digest));
        }
        self.forget_old(now);
    }

    /// All ids that are remembered.
    pub fn all(&self) -> Vec<u64> {
        self.since.borrow().keys().map(|digest| digest.0).collect()
    }

    fn forget_old(&self, now: Instant) {
        let mut queue = self.queue.borrow_mut();
        let is_old = |queue: &VecDeque<(Instant, IdDigest)>| {
            let oldest = queue.front().map(|(since, _)| *since);
            queue.len() > MAX_IDS || oldest.is_some_and(|since| now - since >= REMEMBERED_TIME)
        };
        while is_old(&queue) {
            if let Some((_, digest)) = queue.pop_front() {
                self.since.borrow_mut().remove(&digest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
