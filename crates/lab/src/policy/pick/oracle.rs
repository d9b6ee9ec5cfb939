//! The oracle: an upper bound of achievable performance. It uses the true state of the servers and sends each
//! request to the server where it is expected to finish first.
//!
//! It knows which servers are serving, how much work is queued, and the current speed of cold or slow
//! servers. It knows neither the attempts in transit from other proxies nor the actual work of a request. It
//! sheds a request only if no server can accept it, even if all responses will be late.

use super::{EndpointPicker, PolicyRng, lowest_score, random_allowed};
use crate::policy::TrueStateView;
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::{EndpointId, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::rc::Rc;

/// The maximum number of endpoints compared for a request; a longer list is sampled.
const SAMPLE_SIZE: usize = 64;
/// The time that an attempt of this proxy may be in transit (connection and network) before the server's
/// state includes it. Without counting these attempts, all requests of a short period would go to one server.
const MAX_TRANSIT_TIME: Nanos = 2_000_000;

/// An attempt that the reported true state may not include yet.
struct UnseenAttempt {
    until: Nanos,
    endpoint: EndpointId,
    work: Nanos,
}

/// Picks the endpoint with the lowest expected completion time, among all endpoints or a sample of 64.
pub struct Oracle {
    true_state: Rc<dyn TrueStateView>,
    /// Attempts of this proxy that the true state may not include yet, oldest first.
    unseen_attempts: VecDeque<UnseenAttempt>,
    /// The sum of their work by endpoint; only looked up, never iterated over.
    unseen_work: FxHashMap<EndpointId, Nanos>,
}

impl Oracle {
    /// Creates an oracle that reads `true_state`.
    pub fn new(true_state: Rc<dyn TrueStateView>) -> Oracle {
        Oracle { true_state, unseen_attempts: VecDeque::new(), unseen_work: FxHashMap::default() }
    }

    fn drop_seen_attempts(&mut self, now: Nanos) {
        while self.unseen_attempts.front().is_some_and(|attempt| attempt.until <= now) {
            let Some(attempt) = self.unseen_attempts.pop_front() else { return };
            let sum = self.unseen_work.get(&attempt.endpoint);
            let remaining = sum.map_or(0, |sum| sum.saturating_sub(attempt.work));
            if remaining == 0 {
                self.unseen_work.remove(&attempt.endpoint);
            } else {
                self.unseen_work.insert(attempt.endpoint, remaining);
            }
        }
    }

    /// The expected time until the endpoint finishes a request that is sent now; infinite if it is not
    /// serving.
    fn completion_time(&self, id: EndpointId, work: Nanos) -> f64 {
        let state = self.true_state.true_state(id);
        if !state.is_serving || state.capacity <= 0.0 {
            return f64::INFINITY;
        }
        let unseen_work = self.unseen_work.get(&id).map_or(0.0, |sum| *sum as f64);
        let core_speed = if state.core_speed > 0.0 { state.core_speed } else { state.capacity };
        state.queue_delay as f64 + unseen_work / state.capacity + work as f64 / core_speed
    }

    fn fastest(
        &self,
        candidates: impl Iterator<Item = EndpointId>,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        let completion_time = |id| self.completion_time(id, request.estimated_work);
        let fastest = lowest_score(candidates, completion_time, rng)?;
        completion_time(fastest).is_finite().then_some(fastest)
    }
}

impl EndpointPicker for Oracle {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        self.drop_seen_attempts(request.now);
        if pool.ready().len() > SAMPLE_SIZE && !pool.is_confined_to_cell(request) {
            let sample: Vec<_> =
                (0..SAMPLE_SIZE).filter_map(|_| random_allowed(pool, request, rng)).collect();
            if let Some(id) = self.fastest(sample.into_iter(), request, rng) {
                return Some(id);
            }
        }
        self.fastest(pool.candidates(request), request, rng)
    }

    fn attempt_started(&mut self, _pool: &EndpointPool, id: EndpointId, request: &PickRequest) {
        let work = request.estimated_work.max(1);
        let until = request.now + MAX_TRANSIT_TIME + self.true_state.age();
        self.unseen_attempts.push_back(UnseenAttempt { until, endpoint: id, work });
        *self.unseen_work.entry(id).or_default() += work;
    }
}
