//! The oracle: an upper bound for what can be reached. It sees the true state of the servers and sends each
//! request where it is expected to finish first.
//!
//! It knows who serves, how much work is queued, and what a cold or slow server can do at present; it knows
//! neither what other proxies have on the way, nor how long a request really takes. It sheds only what no
//! server can take, even where all responses will come too late.

use super::{EndpointPicker, PolicyRng, lowest_score, random_allowed};
use crate::policy::TrueStateView;
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::{EndpointId, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::rc::Rc;

/// How many endpoints are compared for a request; a longer list is sampled.
const SAMPLE_SIZE: usize = 64;
/// For so long an attempt of its own may be on the way (connection and network) before the server's state
/// includes it. Danger: without counting these, all requests of a moment go to one server.
const TIME_ON_THE_WAY: Nanos = 2_000_000;

/// An attempt that the reported true state may not include yet.
struct UnseenAttempt {
    until: Nanos,
    endpoint: EndpointId,
    work: Nanos,
}

/// The lowest expected completion time, among all endpoints or a sample of 64.
pub struct Oracle {
    true_state: Rc<dyn TrueStateView>,
    /// Its own attempts that may not be included in the true state yet, oldest first.
    unseen_attempts: VecDeque<UnseenAttempt>,
    /// Their work summed up by endpoint; only looked up, never iterated.
    unseen_work: FxHashMap<EndpointId, Nanos>,
}

impl Oracle {
    /// An oracle that reads `true_state`.
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

    /// Expected time until a request that is sent now is finished there; infinite if it never is.
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
        let until = request.now + TIME_ON_THE_WAY + self.true_state.age();
        self.unseen_attempts.push_back(UnseenAttempt { until, endpoint: id, work });
        *self.unseen_work.entry(id).or_default() += work;
    }
}
