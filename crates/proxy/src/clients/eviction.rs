//! Which client connection is closed when others need its descriptor or its memory.

use super::{Client, Clients, CloseIntent, QueueKey};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Age from which, under descriptor pressure, a connection that has sent nothing is evicted before an idle
/// one. While idle connections are being closed, such a connection is closed at this age.
pub(super) const SILENT_EVICTION_AGE: Duration = Duration::from_millis(250);
/// Minimum age for evicting a silent, partial or closing connection: the first bytes of a normal client may
/// still be in transit.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(20);
/// Age from which an idle connection is evicted for requests that wait for memory. A younger one may be about to send
/// its next request.
const RESTED_AGE: Duration = Duration::from_millis(500);
/// Age from which a connection that has made no progress is evicted although its client may be slow: in front of
/// protected idle connections, or for memory. A client that writes its head within 2 s pauses for less.
pub(super) const STALLED_EVICTION_AGE: Duration = Duration::from_secs(1);
/// Maximum number of connections that are evicted at once for requests that wait for memory.
const MAX_EVICTIONS_PER_CHECK: usize = 8;

/// Whether an idle connection that has sent requests may be evicted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum IdleEviction {
    /// It is evicted at any age.
    Allowed,
    /// Only if it has been idle for [`RESTED_AGE`]. Slow senders are spared as well.
    Rested,
    /// Its client may be about to send the next request.
    Forbidden,
}

impl Clients {
    /// Evicts at most one connection, in this order of preference: a closing connection whose client had time
    /// to read its response; a connection that was accepted some time ago and has sent nothing; an idle one,
    /// since its client can open another; the one whose request head has made no progress for the longest
    /// time. A legitimate client may take 2 s for its request head, so it must not be evicted for thousands
    /// of new connections that send nothing.
    pub fn evict_one(&self) {
        self.evict_one_at(Instant::now(), IdleEviction::Allowed);
    }

    /// Evicts at most one connection to free memory. If there is none to evict otherwise, closes one whose client has
    /// stopped within its request.
    pub fn evict_for_memory(&self, idle_eviction: IdleEviction) {
        self.evict_for_memory_at(Instant::now(), idle_eviction);
    }

    /// Evicts some connections if requests wait for the memory that connections hold.
    pub fn evict_for_waiting_requests(&self) {
        for _ in 0..MAX_EVICTIONS_PER_CHECK {
            if !self.memory().requests_wait() {
                return;
            }
            self.evict_for_memory(IdleEviction::Rested);
        }
    }

    pub(super) fn evict_for_memory_at(&self, now: Instant, idle_eviction: IdleEviction) {
        if self.evict_one_at(now, idle_eviction) {
            return;
        }
        if let Some(client) = self.longest_stalled_upload(now) {
            client.request_close();
        }
    }

    /// Returns whether there was a connection to evict.
    pub(super) fn evict_one_at(&self, now: Instant, idle_eviction: IdleEviction) -> bool {
        if let Some(client) = self.oldest_abandonable(now) {
            client.abandon();
            return true;
        }
        let has_age = |queue, age| Clients::oldest_entry_time(queue).is_some_and(|since| now - since >= age);
        let (spares_idle, rests) =
            (idle_eviction == IdleEviction::Forbidden, idle_eviction == IdleEviction::Rested);
        let idle = (&self.idle, if rests { RESTED_AGE } else { Duration::ZERO });
        let stalled = (&self.partial, STALLED_EVICTION_AGE);
        let stalled_or_idle = if self.protects_idle.get() || spares_idle { stalled } else { idle };
        let mut order = vec![
            (&self.silent, SILENT_EVICTION_AGE),
            (&self.idle_unused, Duration::ZERO),
            stalled_or_idle,
            (&self.silent, EVICTION_GRACE),
        ];
        // Slow senders and protected idle connections are evicted only if there is no silent connection.
        // Otherwise they would be evicted whenever all silent connections are still younger than
        // `EVICTION_GRACE`.
        if self.silent.borrow().is_empty() {
            order.extend((!spares_idle).then_some(idle));
            order.push(if rests { stalled } else { (&self.partial, EVICTION_GRACE) });
        }
        let Some((queue, _)) = order.into_iter().find(|(queue, age)| has_age(queue, *age)) else {
            return false;
        };
        Clients::close_oldest(queue);
        true
    }

    /// Returns the closing connection that has waited for its client the longest, if it may be abandoned. While a
    /// response is being written, a slow reader gets more time.
    fn oldest_abandonable(&self, now: Instant) -> Option<Rc<Client>> {
        let may_be_abandoned = |(since, _): &QueueKey, client: &Client| {
            client.has_written_all() || now - *since >= STALLED_EVICTION_AGE
        };
        let closing = self.closing.borrow();
        let mut waiting = closing.iter().take_while(|((since, _), _)| now - *since >= EVICTION_GRACE);
        waiting.find(|(key, client)| may_be_abandoned(key, client)).map(|(_, client)| client.clone())
    }

    /// Returns the connection whose request has made no progress for the longest time because its client has sent
    /// nothing. A request that waits for memory has stopped as well, but its client is owed a response.
    fn longest_stalled_upload(&self, now: Instant) -> Option<Rc<Client>> {
        let uploading = self.uploading.borrow();
        let mut stalled = uploading.iter().take_while(|((since, _), _)| now - *since >= STALLED_EVICTION_AGE);
        stalled.find(|(_, client)| client.waits_for_its_client()).map(|(_, client)| client.clone())
    }

    /// Refuses the requests whose heads have waited for memory since `timeout` or longer.
    pub(super) fn close_held_heads(&self, now: Instant, timeout: Duration) {
        let partial = self.partial.borrow();
        let old = partial.iter().take_while(|((since, _), _)| now - *since >= timeout);
        let held = old.map(|(_, client)| client).filter(|client| client.head_memory.holds_head());
        let held: Vec<Rc<Client>> = held.cloned().collect();
        drop(partial);
        held.iter().for_each(Client::request_close);
    }
}

impl Client {
    /// Closes the connection without a check for unread bytes.
    fn request_close(self: &Rc<Self>) {
        self.begin_close(CloseIntent::Now);
        self.wake();
    }

    /// Whether the rest of the request that is being received has yet to be sent.
    fn waits_for_its_client(&self) -> bool {
        let is_whole = self.incoming.arrivals().request_ended_at().is_some();
        !is_whole && !self.allowance.is_exhausted()
    }
}
