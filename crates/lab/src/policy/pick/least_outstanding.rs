//! Least outstanding requests: picks the endpoint with the fewest attempts of this proxy in flight.

use super::{EndpointPicker, MAX_PROBES, PolicyRng, lowest_score};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// The position of an endpoint that is not in any bucket.
const NOT_IN_A_BUCKET: u32 = u32::MAX;

/// Picks the endpoint with the fewest attempts of this proxy in flight. Ties are broken uniformly at random.
///
/// The ready endpoints are grouped into buckets by their number of attempts, so that picking an endpoint and
/// changing a number take constant time.
#[derive(Default)]
pub struct LeastOutstanding {
    /// The buckets by number of attempts; unordered within a bucket.
    buckets: Vec<Vec<EndpointId>>,
    /// The position of each endpoint within its bucket.
    positions: Vec<u32>,
    /// All buckets below this one are empty.
    lowest_bucket: usize,
}

impl LeastOutstanding {
    fn insert(&mut self, id: EndpointId, count: u32) {
        let index = id.0 as usize;
        let count = count as usize;
        if self.positions.len() <= index {
            self.positions.resize(index + 1, NOT_IN_A_BUCKET);
        }
        if self.buckets.len() <= count {
            self.buckets.resize_with(count + 1, Vec::new);
        }
        self.positions[index] = self.buckets[count].len() as u32;
        self.buckets[count].push(id);
        self.lowest_bucket = self.lowest_bucket.min(count);
    }

    /// Removes an endpoint from the bucket of `count`. Returns whether it was in a bucket.
    fn remove(&mut self, id: EndpointId, count: u32) -> bool {
        let Some(position) = self.positions.get_mut(id.0 as usize) else { return false };
        let position = std::mem::replace(position, NOT_IN_A_BUCKET);
        let Some(bucket) = self.buckets.get_mut(count as usize).filter(|_| position != NOT_IN_A_BUCKET)
        else {
            return false;
        };
        bucket.swap_remove(position as usize);
        if let Some(moved) = bucket.get(position as usize) {
            self.positions[moved.0 as usize] = position;
        }
        while self.buckets.get(self.lowest_bucket).is_some_and(Vec::is_empty) {
            self.lowest_bucket += 1;
        }
        true
    }

    fn move_between_buckets(&mut self, id: EndpointId, before: u32, after: u32) {
        if self.remove(id, before) {
            self.insert(id, after);
        }
    }
}

impl EndpointPicker for LeastOutstanding {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        if pool.is_confined_to_cell(request) {
            return lowest_score(pool.candidates(request), |id| pool.in_flight(id), rng);
        }
        for bucket in self.buckets.iter().skip(self.lowest_bucket).filter(|b| !b.is_empty()) {
            for _ in 0..MAX_PROBES {
                let id = bucket[rng.random_range(0..bucket.len())];
                if pool.allows(request, id) {
                    return Some(id);
                }
            }
            let allowed = bucket.iter().copied().filter(|id| pool.allows(request, *id));
            if let Some(id) = lowest_score(allowed, |_| 0, rng) {
                return Some(id);
            }
        }
        None
    }

    fn endpoint_added(&mut self, pool: &EndpointPool, id: EndpointId, _name: &str) {
        self.insert(id, pool.in_flight(id));
    }

    fn endpoint_removed(&mut self, pool: &EndpointPool, id: EndpointId) {
        self.remove(id, pool.in_flight(id));
    }

    fn attempt_started(&mut self, pool: &EndpointPool, id: EndpointId, _request: &PickRequest) {
        let count = pool.in_flight(id);
        self.move_between_buckets(id, count - 1, count);
    }

    fn attempt_ended(&mut self, pool: &EndpointPool, id: EndpointId) {
        let count = pool.in_flight(id);
        self.move_between_buckets(id, count + 1, count);
    }
}
