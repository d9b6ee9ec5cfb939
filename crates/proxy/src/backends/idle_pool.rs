//! The idle connections to one endpoint: which of them the next request uses, and when it may be written.
//!
//! HTTP/1.1 ties a response to its request by nothing but the order on the connection. If an endpoint sends a
//! response twice, some milliseconds apart, the second copy may arrive when the next request is already written,
//! and would be taken for its response. There are two ways to prevent this. Either the connection is used again
//! only after it was quiet for longer than such a copy takes, so that the copy is found in the socket before
//! anything is written. Or the copy is recognised by its bytes, and dropped. The second way costs nothing, but
//! works only for endpoints that hardly ever give the same response twice
//! ([`ResponseVariety`](super::response_variety::ResponseVariety)): from others, the response to the next request
//! may have the same bytes as well.

use crate::response_digest::ResponseDigest;
use std::time::{Duration, Instant};

/// The time without received bytes after a response, from which on no copy of it is expected. Endpoints repeat
/// responses, and close connections after them, some milliseconds late.
pub const QUIET_PERIOD: Duration = Duration::from_millis(25);

/// If a peer closes a connection right after a response, the close is noticed here within this time. It is waited
/// for at endpoints that lately did so.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(5);

/// Idle connections to one endpoint. `T` is a connection.
pub struct IdlePool<T> {
    /// In the order in which they became idle.
    connections: Vec<IdleConnection<T>>,
    /// How long it took to establish the last connection.
    connect_time: Duration,
    /// The last successful response on any connection, unless it was long.
    last_response: Option<ResponseDigest>,
    /// When the endpoint was last found to have closed a pooled connection.
    closed_pooled_at: Option<Instant>,
}

struct IdleConnection<T> {
    connection: T,
    since: Instant,
    /// Whether the last response can be compared with the next one.
    has_digest: bool,
}

impl<T> IdleConnection<T> {
    /// When a request may be written. After a response that has a digest, it has to wait for `min_rest` only,
    /// if copies are recognised.
    fn usable_at(&self, recognises_copies: bool, min_rest: Duration) -> Instant {
        let rest = if recognises_copies && self.has_digest { min_rest } else { QUIET_PERIOD };
        self.since + rest
    }
}

/// A connection for another request.
#[derive(Debug, PartialEq, Eq)]
pub struct ReusedConnection<T> {
    /// The connection.
    pub connection: T,
    /// The request must not be written before this time.
    pub usable_at: Instant,
    /// Whether a copy of the previous response may still arrive after this time.
    pub may_receive_copy: bool,
}

/// Whether a request may wait longer for an idle connection than it takes to establish a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaxWait {
    /// At most as long as the last connection took to be established.
    ConnectTime,
    /// For the whole quiet period, because no new connection may be established.
    QuietPeriod,
}

impl<T> Default for IdlePool<T> {
    fn default() -> IdlePool<T> {
        IdlePool {
            connections: Vec::new(),
            connect_time: Duration::ZERO,
            last_response: None,
            closed_pooled_at: None,
        }
    }
}

impl<T> IdlePool<T> {
    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection whose response was received to its end at `now`. `has_digest` is whether the response can
    /// be compared with the next one.
    pub fn put(&mut self, connection: T, now: Instant, has_digest: bool) {
        self.connections.push(IdleConnection { connection, since: now, has_digest });
    }

    /// Takes the connection for a request: the most recently used one that is usable now, or else the one that
    /// is usable first, if that is within `max_wait`.
    pub fn take(
        &mut self,
        now: Instant,
        max_wait: MaxWait,
        recognises_copies: bool,
    ) -> Option<ReusedConnection<T>> {
        let min_rest = if self.closed_pooled_at.is_some() { CLOSE_DETECTION_DELAY } else { Duration::ZERO };
        let usable_at = |idle: &IdleConnection<T>| idle.usable_at(recognises_copies, min_rest);
        let usable_now = self.connections.iter().rposition(|idle| usable_at(idle) <= now);
        let usable_first = || (0..self.len()).min_by_key(|index| usable_at(&self.connections[*index]));
        let index = usable_now.or_else(usable_first)?;
        let usable_at = usable_at(&self.connections[index]);
        if max_wait == MaxWait::ConnectTime && usable_at.saturating_duration_since(now) > self.connect_time {
            return None;
        }
        let IdleConnection { connection, since, .. } = self.connections.remove(index);
        let may_receive_copy = usable_at.max(now) < since + QUIET_PERIOD;
        Some(ReusedConnection { connection, usable_at, may_receive_copy })
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }

    /// Closes the connection that has been idle for the longest time.
    pub fn close_longest_idle(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// Closes the connections that have been idle for `lifetime`, and forgets closes that are as old.
    pub fn close_expired(&mut self, now: Instant, lifetime: Duration) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < lifetime;
        self.connections.retain(|idle| is_recent(&idle.since));
        self.closed_pooled_at = self.closed_pooled_at.filter(is_recent);
    }

    /// Records that the endpoint closed a pooled connection.
    pub fn on_pooled_connection_closed(&mut self, now: Instant) {
        self.closed_pooled_at = Some(now);
    }

    /// Records how long it took to establish a connection.
    pub fn on_connected(&mut self, connect_time: Duration) {
        self.connect_time = connect_time;
    }

    /// Records a successful response, and returns the one before it.
    pub fn replace_last_response(&mut self, response: ResponseDigest) -> Option<ResponseDigest> {
        self.last_response.replace(response)
    }
}

#[cfg(test)]
mod tests;
